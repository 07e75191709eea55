package model

import (
	"testing"

	"github.com/google/go-cmp/cmp"

	"fieldhill/wire"
)

// TestStartsWaitForCommit checks that a start is sent only after its placement is committed. Until then the run can end
// without a report of the machine, unless an earlier leader placed it.
func TestStartsWaitForCommit(t *testing.T) {
	m, machine, run := newPlacedModel(t)
	if c := m.Commands(machine, 3, true); len(c) != 0 || !run.IsUnsent(3) {
		t.Errorf("before the placement is committed: commands %v, unsent %v", verbs(c), run.IsUnsent(3))
	}
	if run.IsUnsent(4) {
		t.Error("unsent although the placement is committed")
	}
	if run.Inherited = true; run.IsUnsent(3) {
		t.Error("a run inherited from an earlier leader counts as unsent")
	}
	run.Inherited = false
	if d := cmp.Diff([]string{"run req-000007/0"}, verbs(m.Commands(machine, 4, true))); d != "" {
		t.Error(d)
	}
}

// TestUnansweredStartIsFenced checks that a start without a response, which may be executed at any later time, keeps
// its task placed until the agent has seen a higher token.
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
		t.Fatalf("token %d does not fence the unanswered start", m.Token(machine))
	}
	if v := m.Observe(machine, testReport(1, 3, 3<<24), nil, 1); len(v.Entries) != 0 {
		t.Fatal("the run was ended before the agent saw the higher token")
	}
	v := m.Observe(machine, testReport(1, 4, 3<<24+1), nil, 1)
	if len(v.Entries) != 1 || v.Entries[0].Kind != EntryAttemptEnded {
		t.Fatalf("the run was not ended although its start is fenced: %v", v.Entries)
	}
}

// TestDuplicateUnansweredStart checks that the response to the second copy of a start proves nothing about the first
// one if both carry the same token.
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
		if c.Verb == wire.Forget {
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

func TestNewerEpochEndsRuns(t *testing.T) {
	m, machine, run := newPlacedModel(t)
	run.Phase = Running
	run.Job.Running = 1
	if v := m.Observe(machine, testReport(1, 1, 3<<24), nil, 1); !v.IsStale() {
		t.Error("an old report was accepted")
	}
	// The report may be from an earlier incarnation of the agent with higher epochs. It causes a probe, and counts only
	// with a token that was issued since.
	v := m.Observe(machine, testReport(2, 1, 3<<24), nil, 1)
	if len(v.Entries) != 0 || !v.NeedsProbe {
		t.Errorf("report with a newer epoch: entries %v, probe requested %v", v.Entries, v.NeedsProbe)
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
		t.Errorf("a newer epoch with the raised token: entries %v", v.Entries)
	}
	// The response to a probe counts at once, both for a newer epoch and for a run that is no longer listed.
	for _, epoch := range []uint64{1, 2} {
		m, machine, run := newPlacedModel(t)
		run.Phase = Running
		run.Job.Running = 1
		v := m.Observe(machine, testReport(epoch, 9, 3<<24), m.BeginProbe(machine), 1)
		if len(v.Entries) != 1 || v.Entries[0].Kind != EntryAttemptEnded {
			t.Errorf("response to a probe, epoch %d: entries %v", epoch, v.Entries)
		}
	}
}

// TestLateCompletionCounts checks that a completion that is reported after an earlier leader ended the attempt still
// counts if the task waits.
func TestLateCompletionCounts(t *testing.T) {
	m, machine, _ := newPlacedModel(t)
	_ = m.Apply(&Entry{Kind: EntryAttemptEnded, Job: 7, Task: 0, Attempt: 1}, 5, 0)
	v := m.Observe(machine, testReport(1, 2, 3<<24, testStatus(wire.TaskExited, wire.CauseDone)), nil, 1)
	if len(v.Entries) != 1 || v.Entries[0].Kind != EntryTaskDone {
		t.Errorf("got %v", v.Entries)
	}
}

// TestReportFromEarlierIncarnation checks the first report that a new leader receives from a machine. It may be a
// delayed copy from an earlier incarnation of the agent, with a higher epoch than the present one. If that epoch
// counted as proof that runs of lower epochs have ended, they would be started elsewhere while still running.
func TestReportFromEarlierIncarnation(t *testing.T) {
	m, machine, run := newPlacedModel(t) // a run in epoch 1 of the present incarnation
	m.BeginTerm(4<<24, 0)
	if v := m.Observe(machine, testReport(2, 45, 2<<24), nil, 1); len(v.Entries) != 0 || !v.IsStale() {
		t.Errorf("a copy from epoch 2 gives %d entries", len(v.Entries))
	}
	running := testStatus(wire.TaskRunning, "")
	v := m.Observe(machine, testReport(1, 7, 3<<24, running), m.BeginProbe(machine), 2)
	if len(v.Entries) != 0 || run.Phase != Running {
		t.Errorf("a response that lists the run gives %d entries, phase %d", len(v.Entries), run.Phase)
	}
}
