package model

import (
	"strings"
	"testing"

	"fieldhill/wire"
)

// TestUnexpectedAttemptsAreReported checks that a verdict names attempts that cannot be on the machine, with the
// reason, and that such a report ends no run.
func TestUnexpectedAttemptsAreReported(t *testing.T) {
	running := func(task string, attempt uint64) wire.TaskStatus {
		return wire.TaskStatus{Task: task, Attempt: attempt, State: wire.TaskRunning}
	}
	for _, c := range []struct {
		listed wire.TaskStatus
		reason UnexpectedReason
	}{
		{running("req-000099/0", 1), UnknownJob},
		{running("req-000007/5", 1), InvalidAttempt},
		{running("not a task", 1), InvalidAttempt},
		{running("req-000007/1", 1<<40), InvalidAttempt},
		{running("req-000007/1", 1), AttemptEnded},
		{running("req-000008/0", 1), PlacedElsewhere},
		{running("req-000009/0", 1), JobOver},
		{wire.TaskStatus{Task: "req-000007/1", Attempt: 1, State: wire.TaskExited}, AttemptEnded},
	} {
		m, machine, run := newPlacedModel(t)
		applyAll(t, m, NewMachine(2, 0, testInfo("host-2")), NewAcceptance(testSpec(8, 1), 0),
			NewPlacement(8, 0, 1, 2, 1), NewAcceptance(testSpec(9, 1), 0), NewCompletion(9, 0, 1))
		own := testStatus(wire.TaskRunning, "")
		v := m.Observe(machine, testReport(1, 2, 3<<24, own, c.listed), nil, 1)
		if v.UnexpectedCount != 1 || v.Unexpected[0].Reason != c.reason {
			t.Errorf("%+v: got %d unexpected attempts %v, want 1: %s",
				c.listed, v.UnexpectedCount, v.Unexpected, c.reason)
		}
		if len(v.Entries) != 0 || run.Phase != Running {
			t.Errorf("%+v: got entries %v, phase %d; want none, %d", c.listed, v.Entries, run.Phase, Running)
		}
	}
}

// TestExitedAttemptIsExpectedUntilReaped checks that an exited attempt counts as unexpected only when it is listed
// again after a report without it.
func TestExitedAttemptIsExpectedUntilReaped(t *testing.T) {
	m, machine, _ := newPlacedModel(t)
	exited := testStatus(wire.TaskExited, wire.CauseError)
	for seq, c := range []struct {
		tasks []wire.TaskStatus
		want  int
	}{
		{[]wire.TaskStatus{exited}, 0},
		{[]wire.TaskStatus{exited}, 0},
		{nil, 0},
		{[]wire.TaskStatus{exited}, 1},
	} {
		v := m.Observe(machine, testReport(1, uint64(seq+2), 3<<24, c.tasks...), nil, 1)
		applyAll(t, m, v.Entries...)
		if v.UnexpectedCount != c.want {
			t.Errorf("report %d: got %d unexpected attempts, want %d", seq, v.UnexpectedCount, c.want)
		}
	}
}

// TestManyUnexpectedAttempts checks that a report with many unexpected attempts is counted in full, but described only
// in part.
func TestManyUnexpectedAttempts(t *testing.T) {
	m, machine, _ := newPlacedModel(t)
	tasks := make([]wire.TaskStatus, 1000)
	for i := range tasks {
		tasks[i] = wire.TaskStatus{Task: strings.Repeat("x", i), Attempt: 1, State: wire.TaskRunning}
	}
	v := m.Observe(machine, testReport(1, 2, 3<<24, tasks...), nil, 1)
	if v.UnexpectedCount != len(tasks) || len(v.Unexpected) != maxUnexpectedAttempts {
		t.Errorf("got %d unexpected attempts, %d described; want %d, %d",
			v.UnexpectedCount, len(v.Unexpected), len(tasks), maxUnexpectedAttempts)
	}
}
