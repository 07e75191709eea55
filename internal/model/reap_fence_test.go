package model

import (
	"testing"

	"github.com/google/go-cmp/cmp"

	"fieldhill/wire"
)

// TestReapFencesCopiesOfStart checks for each way in which an attempt ends that the agent is told to forget it under a
// higher token than that of its start, whether the start was sent directly or in a response.
func TestReapFencesCopiesOfStart(t *testing.T) {
	for _, cause := range []string{
		wire.CauseDone, wire.CauseStopped, wire.CausePeers, wire.CauseGangIncomplete, wire.CauseError,
		wire.CauseNoCapacity, wire.CauseBusy, wire.CauseUnknown,
	} {
		for _, inResponse := range []bool{false, true} {
			m, machine, _ := newPlacedModel(t)
			commands := m.Commands(machine, 4, inResponse)
			startToken := m.Token(machine)
			if !inResponse {
				m.StartsSent(machine, commands, startToken)
				m.StartsAnswered(machine, commands, startToken, true)
			}
			observeExit(t, m, machine, 2, cause)
			if c := m.Commands(machine, 9, true); len(c) != 0 || !m.NeedsDirectReap(machine, 9) {
				t.Errorf("%s: response has commands %v, want none: it must not raise the token", cause, verbs(c))
			}
			if d := cmp.Diff([]string{"reap req-000007/0"}, verbs(m.Commands(machine, 9, false))); d != "" {
				t.Errorf("%s: %s", cause, d)
			}
			if reapToken := m.Token(machine); reapToken != startToken+1 {
				t.Errorf("%s: reaped under token %d, want %d, above that of the start", cause, reapToken, startToken+1)
			}
			if d := cmp.Diff([]string{"reap req-000007/0"}, verbs(m.Commands(machine, 9, true))); d != "" {
				t.Errorf("%s: under the raised token, in a response: %s", cause, d)
			}
		}
	}
}

// observeExit passes to the leader a heartbeat that lists the attempt of newPlacedModel as exited, and commits the
// resulting entries.
func observeExit(t *testing.T, m *Model, machine *Machine, seq uint64, cause string) {
	t.Helper()
	token := machine.Contact.Reports.Token()
	v := m.Observe(machine, testReport(1, seq, token, testStatus(wire.TaskExited, cause)), nil, 1)
	applyAll(t, m, v.Entries...)
	m.SetReapableSeq(machine, 5)
}

// TestReapRaisesTokenOnce checks that a message that reaps several attempts raises the token once, that a start in such
// a message counts as sent under the raised token, and that a token which the agent has shown is not raised again.
func TestReapRaisesTokenOnce(t *testing.T) {
	m, machine, _ := newPlacedModel(t)
	applyAll(t, m, NewPlacement(7, 1, 1, 1, 1))
	m.Commands(machine, 9, false)
	v := m.Observe(machine, testReport(1, 2, 3<<24,
		wire.TaskStatus{Task: "req-000007/0", Attempt: 1, State: wire.TaskExited, Cause: wire.CauseDone},
		wire.TaskStatus{Task: "req-000007/1", Attempt: 1, State: wire.TaskExited, Cause: wire.CauseError}), nil, 1)
	applyAll(t, m, v.Entries...)
	applyAll(t, m, NewPlacement(7, 1, 2, 1, 1))
	m.SetReapableSeq(machine, 5)
	want := []string{"reap req-000007/0", "reap req-000007/1", "run req-000007/1"}
	if d := cmp.Diff(want, verbs(m.Commands(machine, 9, false))); d != "" {
		t.Error(d)
	}
	if m.Token(machine) != 3<<24+1 {
		t.Errorf("token is %d after two reaps in one message, want %d", m.Token(machine), 3<<24+1)
	}
	secondStart := wire.TaskStatus{Task: "req-000007/1", Attempt: 2, State: wire.TaskExited, Cause: wire.CauseError}
	applyAll(t, m, m.Observe(machine, testReport(1, 3, 3<<24+1, secondStart), nil, 1).Entries...)
	m.SetReapableSeq(machine, 5)
	m.Commands(machine, 9, false)
	if m.Token(machine) != 3<<24+2 {
		t.Errorf("token is %d after the reap of the second start, want %d", m.Token(machine), 3<<24+2)
	}
	m.Observe(machine, testReport(1, 4, 3<<24+2), nil, 1)
	if n := len(machine.Contact.sentStarts); n != 0 {
		t.Errorf("%d starts are kept although the agent has shown a higher token, want none", n)
	}
}
