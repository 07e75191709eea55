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

// The tests in this file explore, in every order, the messages that one machine's agent and its leaders can exchange:
// reports and delayed copies of them; probes; commands (start, stop, reap) that are late or lost; a task that ends by
// itself; an agent that restarts under its name, with numbers that continue or restart at 1; a lease expiry; and a new
// leader while commands of the old one are in flight. The agent and the network are simulated; the leader's state and
// its evaluation of reports are the production code.
//
// A command in flight to an earlier incarnation of the agent is lost when the agent's connections close. A copy of a
// command that was answered may reach the new incarnation, but not before that has received a token: no leader can
// prevent its execution then.

// mutation is a fault that a test injects into the protocol and that the exploration must detect.
type mutation int

const (
	noMutation mutation = iota
	// A copy of a report is taken for the response to a probe, and its token is ignored.
	copyTakenAsResponse
	responseNotAwaited     // a start in flight in the response to a report is ignored
	unansweredStartIgnored // a direct start without a response counts as never sent
	anyEpochTrusted        // the epoch of any report ends the runs of lower epochs
	// A relay that has already responded to a report still forwards the leader's later response to the agent, even if
	// the agent has sent other reports since.
	relayForwardsLateResponse
	// The end of an attempt is logged and the attempt is reaped although a start of it may be in flight, and nothing
	// fences that start.
	reapsEarly
	// An attempt whose start was answered is reaped under the token of that start, so that a copy of the start runs the
	// attempt again.
	reapsUnderStartToken
	// The response to a report that proves nothing carries the token of starts that were sent to an earlier incarnation
	// of the agent.
	staleReportNotFenced
)

// faultSet is the set of faults that an exploration injects. A smaller set has fewer interleavings and is explored to a
// greater depth.
type faultSet uint

const (
	lostMessages   faultSet = 1 << iota // the sender stops waiting for a response, or a response is lost
	copiedReports                       // copies of reports arrive
	copiedCommands                      // copies of direct commands arrive after the commands were answered
	probes                              // the leader probes the agent
	restarts                            // the agent restarts
	leaseExpiry
	failover

	withoutCommandCopies = lostMessages | copiedReports | probes | restarts | leaseExpiry | failover
	allFaults            = withoutCommandCopies | copiedCommands
)

const (
	maxCopies  = 2 // copies of direct commands
	maxReports = 3 // reports kept, of which copies may arrive
	// maxCopiedCommandsDepth is the maximum depth of TestCopiedCommandsNeverStartTaskTwice.
	maxCopiedCommandsDepth = 24
)

// inFlightMessage is a message from a leader that the agent has not received yet.
type inFlightMessage struct {
	incarnation, token, epoch uint64 // incarnation is that of the recipient
	commands                  []wire.Command
	isResponse                bool // response to the report in flight
	isCopy                    bool // the agent has received the message before
	senderWaits               bool // the sender still waits for the response
	probe                     *staleness.ProbeBaseline
	term                      uint64
}

// exploredState is the combined state of the agent, the network and the leader.
type exploredState struct {
	mutation      mutation
	faults        faultSet
	copies        int    // copies of direct commands made
	model         *Model // of the leader
	incarnation   uint64 // of the agent, like the following fields up to exited
	epoch         uint64
	seq           uint64
	token         uint64 // highest seen by the agent
	agentAttempt  uint64 // attempt on the machine that is not reaped yet; 0: none
	exited        bool   // the attempt has ended
	earlyReaped   uint64 // attempt that reapsEarly reaps once a report lists it as exited
	runsElsewhere bool   // the task runs on another machine
	reports       []wire.Heartbeat
	awaitedReport int // 1-based index of the report that awaits its response; 0: none, -1: response in flight
	inFlight      []inFlightMessage
	probe         *staleness.ProbeBaseline
	terms         int
	leaseExpiries int
	violation     string
	relay         bool // a relay may respond to reports before the leader receives them
	relayedReport int  // 1-based index of the report answered by a relay and not yet received by the leader; 0: none
}

const testTaskID = "req-000007/0"

func (w exploredState) clone() exploredState {
	m := w.model.Clone()
	for i, machine := range w.model.MachinesInOrder {
		copied := m.MachinesInOrder[i]
		copied.Contact.unresolvedStarts = maps.Clone(machine.Contact.unresolvedStarts)
		copied.Contact.sentStarts = maps.Clone(machine.Contact.sentStarts)
		copied.Contact.reapable = slices.Clone(machine.Contact.reapable)
		copied.Contact.previousReapable = slices.Clone(machine.Contact.previousReapable)
		m.MachinesByName[machine.Info.Name] = copied
	}
	w.model, w.reports, w.inFlight = m, slices.Clone(w.reports), slices.Clone(w.inFlight)
	return w
}

func (w exploredState) Key() string {
	machine := w.model.MachinesInOrder[0]
	contact := &machine.Contact
	b := fmt.Appendf(nil, "%+v %v %v %v %v %v", contact.Reports, contact.AgentEpoch, contact.TokenOffset,
		contact.unresolvedStarts, contact.sentStarts, contact.reapable)
	for _, r := range machine.Runs {
		b = fmt.Appendf(b, " %v/%v/%v/%v/%v/%v/%v",
			r.Attempt, r.AgentEpoch, r.Phase, r.Inherited, r.startResponseSeq, r.Stop, r.endMinToken)
	}
	for _, x := range []uint64{
		w.incarnation, w.epoch, w.seq, w.token, w.agentAttempt, w.earlyReaped, uint64(w.awaitedReport),
		uint64(w.terms), uint64(w.leaseExpiries), uint64(w.copies), w.model.MinToken,
	} {
		b = binary.AppendUvarint(b, x)
	}
	b = fmt.Appendf(b, "%v %v %v %v %+v", w.runsElsewhere, w.exited, w.violation, w.relayedReport, w.reports)
	for _, u := range w.inFlight {
		b = fmt.Appendf(b, "%v %v %v %v %v %v %v %+v",
			u.incarnation, u.token, u.epoch, u.isResponse, u.isCopy, u.senderWaits, u.term, u.probe)
		for _, c := range u.commands {
			b = fmt.Appendf(b, " %v %v", c.Verb, c.Attempt)
		}
	}
	return string(fmt.Appendf(b, "%+v", w.probe))
}

func (w exploredState) allows(fault faultSet) bool { return w.faults&fault != 0 }

func (w exploredState) Violation() string { return w.violation }

// report returns the agent's next report, with a new sequence number. It lists the attempt on the machine, if there is
// one.
func (w *exploredState) report() *wire.Heartbeat {
	w.seq++
	r := testReport(w.epoch, w.seq, w.token)
	if w.agentAttempt != 0 {
		s := wire.TaskStatus{Task: testTaskID, Attempt: w.agentAttempt, State: wire.TaskRunning}
		if w.exited {
			s.State, s.Cause = wire.TaskExited, wire.CauseError
		}
		r.Tasks = append(r.Tasks, s)
	}
	return r
}

// observe passes a report to the leader and applies the resulting entries. It also injects the faults reapsEarly and
// anyEpochTrusted.
func (w *exploredState) observe(r *wire.Heartbeat, probe *staleness.ProbeBaseline) ReportVerdict {
	machine := w.model.MachinesInOrder[0]
	offset := machine.Contact.TokenOffset
	v := w.model.Observe(machine, r, probe, 1)
	if w.mutation == reapsEarly {
		machine.Contact.TokenOffset = offset
	}
	if w.mutation == anyEpochTrusted && v.Freshness == staleness.Unproven {
		for _, run := range machine.Runs {
			if run.AgentEpoch < r.AgentEpoch {
				v.Entries = append(v.Entries, &Entry{Kind: EntryAttemptEnded, Job: 7, Task: 0, Attempt: run.Attempt})
			}
		}
	}
	for _, e := range v.Entries {
		_ = w.model.Apply(e, 1, 1)
	}
	for _, s := range r.Tasks {
		if w.mutation == reapsEarly && s.State == wire.TaskExited {
			w.earlyReaped = s.Attempt
			_ = w.model.Apply(&Entry{Kind: EntryAttemptEnded, Job: 7, Task: 0, Attempt: uint32(s.Attempt)}, 1, 1)
		}
	}
	return v
}

// execute applies commands to the simulated agent. It records a violation if an attempt starts while the task runs on
// another machine, or after the end of the attempt was logged.
func (w *exploredState) execute(commands []wire.Command) {
	for _, c := range commands {
		switch c.Verb {
		case wire.VerbStart:
			switch {
			case w.agentAttempt == c.Attempt, w.agentAttempt != 0 && !w.exited: // known, or machine busy
			case w.agentAttempt != 0: // the simulated agent can hold one attempt and rejects others
			case w.runsElsewhere:
				w.violation = fmt.Sprintf("attempt %d starts while the task runs on another machine", c.Attempt)
			case w.model.findRun(7, 0, uint32(c.Attempt)) == nil:
				w.violation = fmt.Sprintf("attempt %d starts after its end was logged", c.Attempt)
			default:
				w.agentAttempt = c.Attempt
			}
		case wire.VerbStop:
			w.exited = w.exited || w.agentAttempt == c.Attempt
		case wire.VerbForget:
			if w.agentAttempt == c.Attempt && w.exited {
				w.agentAttempt, w.exited = 0, false
			}
		}
	}
}

// commands returns the commands that the leader sends now. Entries applied by observe count as committed.
func (w *exploredState) commands(inResponse bool) []wire.Command {
	machine := w.model.MachinesInOrder[0]
	w.model.SetReapableSeq(machine, 1)
	if w.mutation == reapsUnderStartToken {
		machine.Contact.sentStarts = nil
	}
	commands := w.model.Commands(machine, 9, inResponse)
	if w.earlyReaped != 0 {
		commands = append(commands, wire.Command{Verb: wire.VerbForget, Task: testTaskID, Attempt: w.earlyReaped})
	}
	return commands
}

// newExploredState returns the state in which the agent has reported to the leader of term 3, which has then placed a
// task on the machine.
func newExploredState(t *testing.T, injected mutation) exploredState {
	t.Helper()
	m := New(params())
	applyAll(t, m, NewMachineType(testType()), NewMachine(1, 0, testInfo("host-1")), NewAcceptance(testSpec(7, 1), 0))
	m.BeginTerm(3<<24, 0)
	w := exploredState{mutation: injected, faults: allFaults, model: m, epoch: 1, incarnation: 1, token: 3 << 24}
	w.observe(w.report(), m.BeginProbe(m.MachinesInOrder[0]))
	if err := m.Apply(NewPlacement(7, 0, 1, 1, 1), 4, 0); err != nil {
		t.Fatal(err)
	}
	return w
}

// followSteps takes the named steps in order and returns the resulting state. It fails the test if one of them is not
// possible.
func followSteps(t *testing.T, w exploredState, names ...string) exploredState {
	t.Helper()
next:
	for _, name := range names {
		for _, s := range w.NextSteps() {
			if s.Name == name {
				w = s.Take().(exploredState)
				continue next
			}
		}
		t.Fatalf("no step %q in this state", name)
	}
	return w
}

// TestDeliveryOrderNeverStartsTaskTwice explores the delivery orders from two states: a task that was just placed, and
// a task that has started while another copy of its start is delayed. The task must not be started twice in any order,
// and each injected mutation must be detected.
func TestDeliveryOrderNeverStartsTaskTwice(t *testing.T) {
	duplicateStartDelayed := []string{
		"the leader sends a command",
		"the leader abandons a command",
		"the agent reports",
		"report 0 arrives",
		"the response of term 3 arrives",
		"the agent reports",
	}
	for _, c := range []struct {
		mutation         mutation
		setup            []string
		faults           faultSet
		depth, maxStates int
		relay            bool
	}{
		{noMutation, nil, allFaults, 20, 20_000, false},
		{noMutation, duplicateStartDelayed, allFaults, 20, 20_000, false},
		{copyTakenAsResponse, nil, withoutCommandCopies, 12, 60_000, false},
		{responseNotAwaited, nil, withoutCommandCopies, 12, 60_000, false},
		{unansweredStartIgnored, nil, withoutCommandCopies, 12, 60_000, false},
		{anyEpochTrusted, nil, withoutCommandCopies, 14, 150_000, false},
		{reapsEarly, duplicateStartDelayed, withoutCommandCopies, 14, 60_000, false},
		{noMutation, nil, allFaults, 20, 30_000, true},
		{noMutation, duplicateStartDelayed, allFaults, 20, 30_000, true},
		{relayForwardsLateResponse, nil, withoutCommandCopies, 16, 60_000, true},
	} {
		w := followSteps(t, newExploredState(t, c.mutation), c.setup...)
		w.relay, w.faults = c.relay, c.faults
		checkExploration(t, c.mutation, modelcheck.Explore(w, c.depth, c.maxStates))
	}
}

// checkExploration fails the test if an exploration with a mutation finds no violation, or one without a mutation finds
// one.
func checkExploration(t *testing.T, injected mutation, r *modelcheck.Result) {
	t.Helper()
	if found := r.Violation != ""; found != (injected != noMutation) {
		t.Errorf("mutation %d: got %s, want a violation: %v", injected, r, injected != noMutation)
	} else {
		t.Logf("mutation %d: %s", injected, r)
	}
}

// TestCopiedCommandsNeverStartTaskTwice explores copies of direct commands that arrive after the commands were
// answered, from the placement of the task on. Without the other faults, the orders are explored to a greater depth;
// random walks combine the copies with all faults.
func TestCopiedCommandsNeverStartTaskTwice(t *testing.T) {
	endedNotReaped := []string{
		"the leader sends a command",
		"the command of term 3 arrives and is copied",
		"the task ends by itself",
		"the agent reports",
		"report 0 arrives",
	}
	for _, c := range []struct {
		mutation  mutation
		setup     []string
		faults    faultSet
		maxStates int
	}{
		{noMutation, nil, copiedCommands, 25_000},
		{noMutation, nil, copiedCommands | failover, 25_000},
		{noMutation, nil, copiedCommands | restarts, 25_000},
		{noMutation, nil, copiedCommands | lostMessages, 25_000},
		{noMutation, endedNotReaped, copiedCommands | restarts, 25_000},
		{reapsUnderStartToken, nil, copiedCommands, 25_000},
		{staleReportNotFenced, endedNotReaped, copiedCommands | restarts, 25_000},
	} {
		w := followSteps(t, newExploredState(t, c.mutation), c.setup...)
		w.faults = c.faults
		checkExploration(t, c.mutation, modelcheck.Explore(w, maxCopiedCommandsDepth, c.maxStates))
	}
	for _, injected := range []mutation{noMutation, reapsUnderStartToken} {
		checkExploration(t, injected, modelcheck.Walk(newExploredState(t, injected), 1, 5_000, 30))
	}
}
