package model

import (
	"testing"

	"github.com/google/go-cmp/cmp"

	"fieldhill/wire"
)

// TestStartsWaitForCommit: no start goes out before its placement is committed, and
// until then, but for a new leader, the run can end without a report of the machine.
func TestStartsWaitForCommit(t *testing.T) {
	m, machine, run := newPlacedModel(t)
	if c := m.Commands(machine, 3, true); len(c) != 0 || !run.IsUnsent(3) {
		t.Errorf("before its placement is committed: %v, unsent %v", verbs(c), run.IsUnsent(3))
	}
	if run.IsUnsent(4) {
		t.Error("unsent although its placement is committed")
	}
	if run.Inherited = true; run.IsUnsent(3) {
		t.Error("unsent by an earlier leader")
	}
	run.Inherited = false
	if d := cmp.Diff([]string{"run req-000007/0"}, verbs(m.Commands(machine, 4, true))); d != "" {
		t.Error(d)
	}
}

// TestLateStartIsFenced: a start whose direct command got no answer may run at any later
// time, so its task counts as placed until the agent has seen a higher token.
func TestLateStartIsFenced(t *testing.T) {
	m, machine, run := newPlacedModel(t)
	cmds := m.Commands(machine, 4, false)
	m.StartsSent(machine, cmds, m.Token(machine))
	m.StartsLost(machine, cmds, m.Token(machine))
	run.Stop = true
	if v := m.Observe(machine, testReport(1, 2, 3<<24), nil, 1); len(v.Entries) != 0 {
		t.Fatal("the run was declared gone while its start may still be executed")
	}
	if m.Token(machine) != 3<<24+1 {
		t.Fatalf("the machine's token is %d: the late start is not fenced", m.Token(machine))
	}
	if v := m.Observe(machine, testReport(1, 3, 3<<24), nil, 1); len(v.Entries) != 0 {
		t.Fatal("gone before the agent has seen the higher token")
	}
	v := m.Observe(machine, testReport(1, 4, 3<<24+1), nil, 1)
	if len(v.Entries) != 1 || v.Entries[0].Kind != EntryEnded {
		t.Fatalf("not gone although the late start can't be executed any more: %v", v.Entries)
	}
}

// TestTwoLostCopiesOfAStart: the answer to the second copy of a start says nothing about
// the first one, if both carry the same token.
func TestTwoLostCopiesOfAStart(t *testing.T) {
	m, machine, _ := newPlacedModel(t)
	cmds := m.Commands(machine, 4, false)
	token := m.Token(machine)
	m.StartsSent(machine, cmds, token)
	m.StartsLost(machine, cmds, token)
	m.StartsSent(machine, cmds, token)
	m.StartsAnswered(machine, cmds, token, true)
	failed := testStatus(wire.TaskExited, wire.CauseError)
	v := m.Observe(machine, testReport(1, 2, token, failed), m.BeginProbe(machine), 1)
	for _, e := range v.Entries {
		_ = m.Apply(e, 5, 1)
	}
	m.SealReapable(machine, 5)
	for _, c := range m.Commands(machine, 9, true) {
		if c.Verb == wire.Forget {
			t.Error("the attempt is forgotten while a copy of its start is under way: it would run again")
		}
	}
	m.Observe(machine, testReport(1, 3, m.Token(machine), failed), nil, 2)
	m.SealReapable(machine, 5)
	if d := cmp.Diff([]string{"reap req-000007/0"}, verbs(m.Commands(machine, 9, true))); d != "" {
		t.Error(d)
	}
}

// TestInheritedStart: after a change of leaders a start of the old one may be
// under way until the agent reports a token of the new term.
func TestInheritedStart(t *testing.T) {
	m, machine, _ := newPlacedModel(t)
	_ = m.Apply(&Entry{Kind: EntryCancel, Job: 7}, 5, 0)
	m.BeginTerm(4<<24, 0)
	if v := m.Observe(machine, testReport(1, 5, 3<<24), nil, 1); len(v.Entries) != 0 {
		t.Fatal("gone under the old token")
	}
	if v := m.Observe(machine, testReport(1, 6, 4<<24), nil, 1); len(v.Entries) != 1 {
		t.Fatal("not gone under the new token")
	}
}

func TestEvidenceBySession(t *testing.T) {
	m, machine, run := newPlacedModel(t)
	run.Phase = Running
	run.Job.Running = 1
	if v := m.Observe(machine, testReport(1, 1, 3<<24), nil, 1); !v.IsStale() {
		t.Error("an old report was believed")
	}
	// A report may have been sent by an earlier incarnation of the agent, whose sessions had gone further: it has the
	// machine asked, and counts once it shows a token that was given out since.
	v := m.Observe(machine, testReport(2, 1, 3<<24), nil, 1)
	if len(v.Entries) != 0 || !v.NeedsProbe {
		t.Errorf("a report's newer session ends what ran in the older by itself: %v, asked %v", v.Entries, v.NeedsProbe)
	}
	raised := m.Token(machine)
	if raised <= 3<<24 {
		t.Error("no token was raised that only the present agent can show")
	}
	if v := m.Observe(machine, testReport(2, 2, raised-1), nil, 1); len(v.Entries) != 0 {
		t.Errorf("the same without the raised token: %v", v.Entries)
	}
	v = m.Observe(machine, testReport(2, 3, raised), nil, 1)
	if len(v.Entries) != 1 || v.Entries[0].Kind != EntryEnded {
		t.Errorf("a newer session ends what ran in the older: %v", v.Entries)
	}
	// The answer to a question counts at once, for a newer session as for a run that is not there any more.
	for _, session := range []uint64{1, 2} {
		m, machine, run := newPlacedModel(t)
		run.Phase = Running
		run.Job.Running = 1
		v := m.Observe(machine, testReport(session, 9, 3<<24), m.BeginProbe(machine), 1)
		if len(v.Entries) != 1 || v.Entries[0].Kind != EntryEnded {
			t.Errorf("the answer to a question, session %d: %v", session, v.Entries)
		}
	}
}

// TestLateResultStillCounts: a result that is reported after its attempt was ended by an
// earlier leader still counts, if the task waits.
func TestLateResultStillCounts(t *testing.T) {
	m, machine, _ := newPlacedModel(t)
	_ = m.Apply(&Entry{Kind: EntryEnded, Job: 7, Task: 0, Attempt: 1}, 5, 0)
	v := m.Observe(machine, testReport(1, 2, 3<<24, testStatus(wire.TaskExited, wire.CauseDone)), nil, 1)
	if len(v.Entries) != 1 || v.Entries[0].Kind != EntryDone {
		t.Errorf("got %v", v.Entries)
	}
}

// TestReportFromEarlierIncarnation: the first report that a new leader gets of a machine may be a copy from an
// earlier incarnation of its agent, whose sessions had gone further than those of the present one. Its session once
// passed for a proof that the runs of a lower one are gone, and they were started elsewhere while they ran.
func TestReportFromEarlierIncarnation(t *testing.T) {
	m, machine, run := newPlacedModel(t) // a run in session 1 of the present incarnation
	m.BeginTerm(4<<24, 0)
	if v := m.Observe(machine, testReport(2, 45, 2<<24), nil, 1); len(v.Entries) != 0 || !v.IsStale() {
		t.Errorf("a copy of session 2 proves %d ends", len(v.Entries))
	}
	running := testStatus(wire.TaskRunning, "")
	v := m.Observe(machine, testReport(1, 7, 3<<24, running), m.BeginProbe(machine), 2)
	if len(v.Entries) != 0 || run.Phase != Running {
		t.Errorf("an answer that lists the run proves %d ends, phase %d", len(v.Entries), run.Phase)
	}
}
