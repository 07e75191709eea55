package model

import (
	"testing"

	"github.com/google/go-cmp/cmp"

	"fieldhill/wire"
)

// TestStartsWaitForCommit checks that a start is sent only after its placement is committed. Until then the run counts
// as unsent, unless an earlier leader placed it.
func TestStartsWaitForCommit(t *testing.T) {
	m, machine, run := newPlacedModel(t)
	if c := m.Commands(machine, 3, true); len(c) != 0 || !run.IsUnsent(3) {
		t.Errorf("before commit of the placement: commands %v, unsent %v, want none, true", verbs(c), run.IsUnsent(3))
	}
	if run.IsUnsent(4) {
		t.Error("a run counts as unsent although its placement is committed")
	}
	if run.Inherited = true; run.IsUnsent(3) {
		t.Error("a run inherited from an earlier leader counts as unsent")
	}
	run.Inherited = false
	if d := cmp.Diff([]string{"run req-000007/0"}, verbs(m.Commands(machine, 4, true))); d != "" {
		t.Error(d)
	}
}

// TestUnansweredStartIsFenced checks that a run is not ended while a start of it got no response and may still be
// executed, that is, until the agent has seen a higher token.
func TestUnansweredStartIsFenced(t *testing.T) {
	m, machine, run := newPlacedModel(t)
	cmds := m.Commands(machine, 4, false)
	m.StartsSent(machine, cmds, m.Token(machine))
	m.StartsUnanswered(machine, cmds, m.Token(machine))
	run.Stop = true
	if v := m.Observe(machine, testReport(1, 2, 3<<24), nil, 1); len(v.Entries) != 0 {
		t.Fatal("the run was ended while its start may still be executed")
	}
	if m.Token(machine) != 3<<24+1 {
		t.Fatalf("token is %d, want %d to fence the unanswered start", m.Token(machine), 3<<24+1)
	}
	if v := m.Observe(machine, testReport(1, 3, 3<<24), nil, 1); len(v.Entries) != 0 {
		t.Fatal("the run was ended before the agent saw the higher token")
	}
	v := m.Observe(machine, testReport(1, 4, 3<<24+1), nil, 1)
	if len(v.Entries) != 1 || v.Entries[0].Kind != EntryAttemptEnded {
		t.Fatalf("after the start is fenced: got entries %v, want one end of an attempt", v.Entries)
	}
}

// TestDuplicateUnansweredStart checks that the response to the second copy of a start does not prove that the first
// copy is not in flight, if both carry the same token.
func TestDuplicateUnansweredStart(t *testing.T) {
	m, machine, _ := newPlacedModel(t)
	cmds := m.Commands(machine, 4, false)
	token := m.Token(machine)
	m.StartsSent(machine, cmds, token)
	m.StartsUnanswered(machine, cmds, token)
	m.StartsSent(machine, cmds, token)
	m.StartsAnswered(machine, cmds, token, true)
	failed := testStatus(wire.TaskExited, wire.CauseError)
	v := m.Observe(machine, testReport(1, 2, token, failed), m.BeginProbe(machine), 1)
	for _, e := range v.Entries {
		_ = m.Apply(e, 5, 1)
	}
	m.SetReapableSeq(machine, 5)
	for _, c := range m.Commands(machine, 9, true) {
		if c.Verb == wire.VerbForget {
			t.Error("the attempt is reaped while a copy of its start is in flight, which would run it again")
		}
	}
	m.Observe(machine, testReport(1, 3, m.Token(machine), failed), nil, 2)
	m.SetReapableSeq(machine, 5)
	if d := cmp.Diff([]string{"reap req-000007/0"}, verbs(m.Commands(machine, 9, true))); d != "" {
		t.Error(d)
	}
}

// TestInheritedStart checks that a start of an earlier leader counts as in flight until the agent reports a token of
// the new term.
func TestInheritedStart(t *testing.T) {
	m, machine, _ := newPlacedModel(t)
	_ = m.Apply(&Entry{Kind: EntryCancel, Job: 7}, 5, 0)
	m.BeginTerm(4<<24, 0)
	if v := m.Observe(machine, testReport(1, 5, 3<<24), nil, 1); len(v.Entries) != 0 {
		t.Fatal("the run was ended by a report with the old token")
	}
	if v := m.Observe(machine, testReport(1, 6, 4<<24), nil, 1); len(v.Entries) != 1 {
		t.Fatal("the run was not ended by a report with the new token")
	}
}

// TestNewerEpochEndsRuns checks that a report with a newer agent epoch, which does not list a run, ends the run only if
// it shows a token that was raised since the first such report, or if it responds to a probe.
func TestNewerEpochEndsRuns(t *testing.T) {
	m, machine, run := newPlacedModel(t)
	run.Phase = Running
	run.Job.Running = 1
	if v := m.Observe(machine, testReport(1, 1, 3<<24), nil, 1); !v.IsStale() {
		t.Error("an old report was accepted")
	}
	// The report may be from an earlier incarnation of the agent with higher epochs. So it only causes a probe and
	// raises the token.
	v := m.Observe(machine, testReport(2, 1, 3<<24), nil, 1)
	if len(v.Entries) != 0 || !v.NeedsProbe {
		t.Errorf("report with a newer epoch: got entries %v, probe needed %v; want none, true", v.Entries, v.NeedsProbe)
	}
	raised := m.Token(machine)
	if raised <= 3<<24 {
		t.Error("the token was not raised")
	}
	if v := m.Observe(machine, testReport(2, 2, raised-1), nil, 1); len(v.Entries) != 0 {
		t.Errorf("a report without the raised token ended runs: %v", v.Entries)
	}
	v = m.Observe(machine, testReport(2, 3, raised), nil, 1)
	if len(v.Entries) != 1 || v.Entries[0].Kind != EntryAttemptEnded {
		t.Errorf("newer epoch with the raised token: got entries %v, want one end of an attempt", v.Entries)
	}
	// The response to a probe ends the run at once, both in the same epoch and in a newer one.
	for _, epoch := range []uint64{1, 2} {
		m, machine, run := newPlacedModel(t)
		run.Phase = Running
		run.Job.Running = 1
		v := m.Observe(machine, testReport(epoch, 9, 3<<24), m.BeginProbe(machine), 1)
		if len(v.Entries) != 1 || v.Entries[0].Kind != EntryAttemptEnded {
			t.Errorf("response to a probe, epoch %d: got entries %v, want one end of an attempt", epoch, v.Entries)
		}
	}
}

// TestLateCompletionCounts checks that a reported completion completes its task even if the end of the attempt has been
// logged before, as long as the task waits.
func TestLateCompletionCounts(t *testing.T) {
	m, machine, _ := newPlacedModel(t)
	_ = m.Apply(&Entry{Kind: EntryAttemptEnded, Job: 7, Task: 0, Attempt: 1}, 5, 0)
	v := m.Observe(machine, testReport(1, 2, 3<<24, testStatus(wire.TaskExited, wire.CauseDone)), nil, 1)
	if len(v.Entries) != 1 || v.Entries[0].Kind != EntryTaskDone {
		t.Errorf("got entries %v, want one completion", v.Entries)
	}
}

// TestReportFromEarlierIncarnation checks the first report that a new leader receives from a machine. The report may be
// a delayed copy from an earlier incarnation of the agent, with a higher epoch than the present one. If that epoch
// counted as proof that runs of lower epochs have ended, their tasks would be started elsewhere while still running.
func TestReportFromEarlierIncarnation(t *testing.T) {
	m, machine, run := newPlacedModel(t) // a run in epoch 1 of the present incarnation
	m.BeginTerm(4<<24, 0)
	if v := m.Observe(machine, testReport(2, 45, 2<<24), nil, 1); len(v.Entries) != 0 || !v.IsStale() {
		t.Errorf("copy from epoch 2: got %d entries, stale %v; want 0, true", len(v.Entries), v.IsStale())
	}
	running := testStatus(wire.TaskRunning, "")
	v := m.Observe(machine, testReport(1, 7, 3<<24, running), m.BeginProbe(machine), 2)
	if len(v.Entries) != 0 || run.Phase != Running {
		t.Errorf("response listing the run: got %d entries, phase %d; want 0, %d", len(v.Entries), run.Phase, Running)
	}
}
