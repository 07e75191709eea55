package model

import (
	"encoding/binary"
	"fmt"
	"maps"
	"slices"
	"testing"

	"fieldhill/internal/agents/staleness"
	"fieldhill/internal/testing/modelcheck"
	"fieldhill/wire"
)

// This explores what one machine's agent and its leaders can send each other, in every order: reports, copies of them
// at any later time, questions, commands (starts, stops and reaps) that are late or lost, a task that ends by itself,
// an agent that restarts under its name, with numbers that go on or begin at 1, a lease that expires, and a new leader
// while the old one's commands are still under way. The model and its judgement of reports are the real ones.
//
// A command that was on its way to an earlier incarnation ends with its connection: the new one does not know it.

// mutation is what is done wrongly on purpose.
type mutation int

const (
	noMutation mutation = iota
	// a copy of a report passes for the answer to a question, and the token in it is not looked at
	copyPassesForAnswer
	answerNotAwaited // a start under way in the answer to a report is not waited for
	lostStartIgnored // a direct start without an answer is taken for one that never left
	anySessionProves // the session of any report ends the runs of lower ones
	// a relay that has answered a report itself gives the agent the leader's answer when that comes, whatever the
	// agent has said since
	relayForwardsLate
	// the end of an attempt is logged, and it is reaped, though a start of it may be under way; nothing fences that
	reapsEarly
)

// inFlightMessage is what a leader has sent to the agent and is not there yet.
type inFlightMessage struct {
	incarnation, token, session uint64 // incarnation: that it was sent to
	commands                    []wire.Command
	answer                      bool // to the report in flight
	awaited                     bool // its sender still waits for what comes of it
	question                    *staleness.Question
	term                        uint64
}

// exploredState is the state of the agent, the network and the leader.
type exploredState struct {
	mutation      mutation
	model         *Model // the leader's
	incarnation   uint64 // the agent's, as are the next ones
	session       uint64
	seq           uint64
	token         uint64 // the highest that it has seen
	heldAttempt   uint64 // the attempt that is on the machine, or was and is not reaped; 0: none
	exited        bool   // it ended
	earlyReaped   uint64 // the attempt that is reaped as soon as it is seen to have ended
	elsewhere     bool   // the task runs on another machine
	reports       []wire.Heartbeat
	awaitedReport int // the report that waits for its answer, 1 is the first; 0: none
	inFlight      []inFlightMessage
	question      *staleness.Question
	terms         int
	lapses        int
	broken        string
	relay         bool // a relay may answer reports by itself; the leader then gets them late
	relayedReport int  // the report that a relay has answered and the leader has not had yet, 1 is the first; 0: none
}

const testTaskID = "req-000007/0"

func (w exploredState) clone() exploredState {
	m := w.model.Clone()
	for i, machine := range w.model.Order {
		copied := m.Order[i]
		copied.Contact.unresolvedStarts = maps.Clone(machine.Contact.unresolvedStarts)
		copied.Contact.reapable = slices.Clone(machine.Contact.reapable)
		m.ByName[machine.Info.Name] = copied
	}
	w.model, w.reports, w.inFlight = m, slices.Clone(w.reports), slices.Clone(w.inFlight)
	return w
}

func (w exploredState) Key() string {
	machine := w.model.Order[0]
	contact := &machine.Contact
	b := fmt.Appendf(nil, "%+v %v %v %v %v",
		contact.Reports, contact.Session, contact.TokenBump, contact.unresolvedStarts, contact.reapable)
	for _, r := range machine.Runs {
		b = fmt.Appendf(b, " %v/%v/%v/%v/%v/%v/%v",
			r.Attempt, r.Session, r.Phase, r.Inherited, r.answeredReportSeq, r.Stop, r.goneFromToken)
	}
	for _, x := range []uint64{
		w.incarnation, w.session, w.seq, w.token, w.heldAttempt, w.earlyReaped, uint64(w.awaitedReport),
		uint64(w.terms), uint64(w.lapses), w.model.TermBase,
	} {
		b = binary.AppendUvarint(b, x)
	}
	b = fmt.Appendf(b, "%v %v %v %v %+v", w.elsewhere, w.exited, w.broken, w.relayedReport, w.reports)
	for _, u := range w.inFlight {
		b = fmt.Appendf(b, "%v %v %v %v %v %v %+v",
			u.incarnation, u.token, u.session, u.answer, u.awaited, u.term, u.question)
		for _, c := range u.commands {
			b = fmt.Appendf(b, " %v %v", c.Verb, c.Attempt)
		}
	}
	return string(fmt.Appendf(b, "%+v", w.question))
}

func (w exploredState) Violation() string { return w.broken }

// report is what the agent says now.
func (w *exploredState) report() *wire.Heartbeat {
	w.seq++
	r := testReport(w.session, w.seq, w.token)
	if w.heldAttempt != 0 {
		s := wire.TaskStatus{Task: testTaskID, Attempt: w.heldAttempt, State: wire.TaskRunning}
		if w.exited {
			s.State, s.Cause = wire.TaskExited, wire.CauseError
		}
		r.Tasks = append(r.Tasks, s)
	}
	return r
}

// observe gives the leader a message and has it apply what that proves.
func (w *exploredState) observe(r *wire.Heartbeat, q *staleness.Question) ReportVerdict {
	machine := w.model.Order[0]
	bump := machine.Contact.TokenBump
	v := w.model.Observe(machine, r, q, 1)
	if w.mutation == reapsEarly {
		machine.Contact.TokenBump = bump
	}
	if w.mutation == anySessionProves && v.Freshness == staleness.Unproven {
		for _, run := range machine.Runs {
			if run.Session < r.AgentEpoch {
				v.Entries = append(v.Entries, &Entry{Kind: EntryEnded, Job: 7, Task: 0, Attempt: run.Attempt})
			}
		}
	}
	for _, e := range v.Entries {
		_ = w.model.Apply(e, 1, 1)
	}
	for _, s := range r.Tasks {
		if w.mutation == reapsEarly && s.State == wire.TaskExited {
			w.earlyReaped = s.Attempt
			_ = w.model.Apply(&Entry{Kind: EntryEnded, Job: 7, Task: 0, Attempt: uint32(s.Attempt)}, 1, 1)
		}
	}
	return v
}

// execute has the agent carry out commands.
func (w *exploredState) execute(commands []wire.Command) {
	for _, c := range commands {
		switch c.Verb {
		case wire.Start:
			switch {
			case w.heldAttempt == c.Attempt, w.heldAttempt != 0 && !w.exited: // known, or busy
			case w.heldAttempt != 0: // one attempt is enough to list here; the other is refused
			case w.elsewhere:
				w.broken = fmt.Sprintf("attempt %d starts while the task runs elsewhere", c.Attempt)
			case w.model.findRun(7, 0, uint32(c.Attempt)) == nil:
				w.broken = fmt.Sprintf("attempt %d starts, whose end is in the log", c.Attempt)
			default:
				w.heldAttempt = c.Attempt
			}
		case wire.Stop:
			w.exited = w.exited || w.heldAttempt == c.Attempt
		case wire.Forget:
			if w.heldAttempt == c.Attempt && w.exited {
				w.heldAttempt, w.exited = 0, false
			}
		}
	}
}

// commands is what the leader says now. What observe applied counts as committed.
func (w *exploredState) commands(answer bool) []wire.Command {
	machine := w.model.Order[0]
	w.model.SealReapable(machine, 1)
	commands := w.model.Commands(machine, 9, answer)
	if w.earlyReaped != 0 {
		commands = append(commands, wire.Command{Verb: wire.Forget, Task: testTaskID, Attempt: w.earlyReaped})
	}
	return commands
}

// newExploredState is a task that was just placed on a machine of which the leader of term 3 has a report.
func newExploredState(t *testing.T, injected mutation) exploredState {
	t.Helper()
	m := New(params())
	applyAll(t, m, NewMachineType(testType()), NewMachine(1, 0, testInfo("host-1")), Accepted(testSpec(7, 1), 0))
	m.BeginTerm(3<<24, 0)
	w := exploredState{mutation: injected, model: m, session: 1, incarnation: 1, token: 3 << 24}
	w.observe(w.report(), m.BeginProbe(m.Order[0]))
	if err := m.Apply(NewPlacement(7, 0, 1, 1, 1), 4, 0); err != nil {
		t.Fatal(err)
	}
	return w
}

// followSteps takes steps by their names.
func followSteps(t *testing.T, w exploredState, names ...string) exploredState {
	t.Helper()
next:
	for _, name := range names {
		for _, s := range w.NextSteps() {
			if s.Name == name {
				w = s.To.(exploredState)
				continue next
			}
		}
		t.Fatalf("there is no step %q", name)
	}
	return w
}

// TestNoOrderStartsTwice explores the orders of all this, and finds what is done wrongly on purpose: from a task that
// was just placed, and from one that runs while another copy of its start is held up.
func TestNoOrderStartsTwice(t *testing.T) {
	held := []string{
		"the leader sends a command",
		"the leader abandons a command",
		"the agent reports",
		"report 0 arrives",
		"the answer of term 3 arrives",
		"the agent reports",
	}
	for _, c := range []struct {
		slip        mutation
		from        []string
		depth, most int
		relay       bool
	}{
		{noMutation, nil, 20, 20_000, false},
		{noMutation, held, 20, 20_000, false},
		{copyPassesForAnswer, nil, 12, 60_000, false},
		{answerNotAwaited, nil, 12, 60_000, false},
		{lostStartIgnored, nil, 12, 60_000, false},
		{anySessionProves, nil, 14, 150_000, false},
		{reapsEarly, held, 14, 60_000, false},
		{noMutation, nil, 20, 30_000, true},
		{noMutation, held, 20, 30_000, true},
		{relayForwardsLate, nil, 16, 60_000, true},
	} {
		w := followSteps(t, newExploredState(t, c.slip), c.from...)
		w.relay = c.relay
		r := modelcheck.Explore(w, c.depth, c.most)
		if found := r.Violation != ""; found != (c.slip != noMutation) {
			t.Errorf("slip %d: %s", c.slip, r)
		} else {
			t.Logf("slip %d: %s", c.slip, r)
		}
	}
}
