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

// This explores what one machine and its leaders can say to each other, in every order: reports, copies of them at
// any later time, questions, commands (starts, stops and reaps) that are late or lost, a task that ends by itself, a
// worker that begins anew under its name, with numbers that go on or begin at 1, a lease that runs out, and a new
// leader while the old one's commands are still under way. The model and its judgement of reports are the real ones.
//
// A command that was on its way to an earlier life ends with its connection: the new life does not know it.

// mutation is what is done wrongly on purpose.
type mutation int

const (
	noMutation mutation = iota
	// a copy of a report passes for the answer to a question, and the token in it is not looked at
	copyPassesForAnswer
	answerNotAwaited // a start under way in the answer to a report is not waited for
	lostStartIgnored // a direct start without an answer is taken for one that never left
	anySessionProves // the session of any report ends the runs of lower ones
	// a relay that has answered a report itself gives the worker the leader's answer when that comes, whatever the
	// worker has said since
	relayForwardsLate
	// the end of an attempt is logged, and it is reaped, though a start of it may be under way; nothing fences that
	reapsEarly
)

type inFlightMessage struct {
	incarnation, token, session uint64
	commands                    []wire.Command
	answer                      bool // to the report in flight
	awaited                     bool // its sender still waits for what comes of it
	question                    *staleness.Question
	term                        uint64
}

type exploredState struct {
	mutation      mutation
	model         *Model
	incarnation   uint64
	session       uint64
	seq           uint64
	token         uint64
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

// report is what the worker says now.
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

// execute has the worker carry out commands.
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

// NextSteps lists what may happen next. Their order is that in which they are explored.
func (w exploredState) NextSteps() (list []modelcheck.Step) {
	s := &stepList{from: w}
	s.addReports()
	s.addAnswers()
	s.addProbe()
	s.addCommandsInFlight()
	s.addDirectCommand()
	s.addScheduling()
	s.addAgentEvents()
	s.addFailover()
	return s.list
}

// stepList gathers the steps from a state.
type stepList struct {
	from exploredState
	list []modelcheck.Step
}

func (s *stepList) add(name string, change func(w *exploredState)) {
	n := s.from.clone()
	change(&n)
	s.list = append(s.list, modelcheck.Step{Name: name, To: n})
}

// machine is the one that all is about.
func (w *exploredState) machine() *Machine { return w.model.Order[0] }

// addReports: a report is made, and each that was made arrives, or a copy of it.
func (s *stepList) addReports() {
	if s.from.awaitedReport == 0 && len(s.from.reports) < 3 {
		s.add("the worker reports", func(w *exploredState) {
			w.reports = append(w.reports, *w.report())
			w.awaitedReport = len(w.reports)
		})
	}
	for i := range s.from.reports {
		if s.from.awaitedReport != i+1 {
			s.add(fmt.Sprint("a copy of report ", i, " comes"), func(w *exploredState) { w.observeCopy(w.reports[i]) })
			continue
		}
		s.add(fmt.Sprint("report ", i, " arrives"), func(w *exploredState) { w.answerReport(&w.reports[i]) })
		s.add("the worker gives its report up", func(w *exploredState) { w.awaitedReport = 0 })
		if s.from.relay && s.from.relayedReport == 0 {
			s.add(fmt.Sprint("a relay answers report ", i, " by itself"), func(w *exploredState) {
				w.awaitedReport, w.relayedReport = 0, i+1
			})
		}
	}
}

// observeCopy has the leader take in a report that it may have had before.
func (w *exploredState) observeCopy(r wire.Heartbeat) {
	var q *staleness.Question
	if w.mutation == copyPassesForAnswer {
		q = w.model.BeginProbe(w.machine())
		r.FencingToken = w.model.TermBase + 1<<20
	}
	w.observe(&r, q)
}

// newAnswer is an answer to a report as the leader sends it, without commands yet.
func (w *exploredState) newAnswer(r *wire.Heartbeat) inFlightMessage {
	return inFlightMessage{
		incarnation: w.incarnation,
		session:     r.AgentEpoch,
		answer:      true,
		token:       w.model.Token(w.machine()),
		term:        w.model.TermBase,
	}
}

// answerReport has the leader take in the report that waits for its answer, and send that.
func (w *exploredState) answerReport(r *wire.Heartbeat) {
	v := w.observe(r, nil)
	u := w.newAnswer(r)
	if !v.IsStale() {
		w.machine().Contact.Reports.RecordAnswer(u.token)
		u.commands = w.commands(true)
		for _, run := range w.machine().Runs {
			if w.mutation == answerNotAwaited && run.answeredReportSeq != 0 {
				run.answeredReportSeq = 0
				run.setPhase(Fetching)
			}
		}
	}
	w.inFlight = append(w.inFlight, u)
	w.awaitedReport = -1 // answered, and the answer is under way
}

// addAnswers: a report that a relay answered comes from it, and an answer is lost.
func (s *stepList) addAnswers() {
	if s.from.relayedReport != 0 {
		s.add(fmt.Sprint("report ", s.from.relayedReport-1, " comes from the relay"), (*exploredState).observeRelayed)
	}
	if s.from.awaitedReport == -1 {
		s.add("the answer is lost", func(w *exploredState) {
			w.inFlight = slices.DeleteFunc(w.inFlight, func(u inFlightMessage) bool { return u.answer })
			w.awaitedReport = 0
		})
	}
}

// observeRelayed has the leader take in the report that a relay has answered.
func (w *exploredState) observeRelayed() {
	r := w.reports[w.relayedReport-1]
	w.relayedReport = 0
	if v := w.observe(&r, nil); v.IsStale() {
		return
	}
	u := w.newAnswer(&r)
	w.machine().Contact.Reports.RecordAnswer(u.token)
	u.commands = w.commands(true)
	if w.mutation == relayForwardsLate {
		w.inFlight = append(w.inFlight, u)
	} // else the relay has no connection any more on which the worker waits for it
}

// addProbe: the leader asks a question, and it is answered.
func (s *stepList) addProbe() {
	if s.from.question == nil {
		s.add("the leader asks", func(w *exploredState) { w.question = w.model.BeginProbe(w.machine()) })
		return
	}
	s.add("the worker answers the question", func(w *exploredState) {
		q := w.question
		w.question = nil
		w.observe(w.report(), q)
	})
}

// addCommandsInFlight: what is on its way to the worker arrives, or its sender waits for it no longer.
func (s *stepList) addCommandsInFlight() {
	for i, u := range s.from.inFlight {
		what := "the command"
		if u.answer {
			what = "the answer"
		}
		s.add(fmt.Sprintf("%s of term %d arrives", what, u.term>>24), func(w *exploredState) { w.deliver(i) })
		if u.awaited {
			s.add("the leader gives a command up", func(w *exploredState) { w.abandon(i) })
		}
	}
}

// deliver has the worker take in a message, and its sender the answer to it.
func (w *exploredState) deliver(i int) {
	u := w.inFlight[i]
	w.inFlight = slices.Delete(w.inFlight, i, i+1)
	if u.answer {
		w.awaitedReport = 0
	}
	if u.incarnation != w.incarnation {
		return
	}
	taken := u.session == w.session && u.token >= w.token
	if taken {
		w.token = u.token
		w.execute(u.commands)
	}
	if u.awaited && u.term == w.model.TermBase {
		w.model.StartsAnswered(w.machine(), u.commands, u.token, taken)
		w.observe(w.report(), u.question)
	}
}

// abandon has the leader wait no longer for the answer to a command.
func (w *exploredState) abandon(i int) {
	u := &w.inFlight[i]
	u.awaited = false
	switch {
	case u.term != w.model.TermBase:
	case w.mutation == lostStartIgnored:
		w.model.StartsAnswered(w.machine(), u.commands, u.token, false)
	default:
		w.model.StartsLost(w.machine(), u.commands, u.token)
	}
}

// addDirectCommand: the leader sends a command. There is one to a machine at a time.
func (s *stepList) addDirectCommand() {
	term := s.from.model.TermBase
	isAwaited := func(u inFlightMessage) bool { return u.awaited && u.term == term }
	if !s.from.machine().Contact.Reported || len(s.from.inFlight) >= 2 ||
		slices.ContainsFunc(s.from.inFlight, isAwaited) {
		return
	}
	s.add("the leader sends a command", func(w *exploredState) {
		machine := w.machine()
		commands := w.commands(false)
		u := inFlightMessage{
			incarnation: w.incarnation,
			session:     machine.Contact.Session,
			token:       w.model.Token(machine),
			commands:    commands,
			awaited:     true,
			question:    w.model.BeginProbe(machine),
			term:        w.model.TermBase,
		}
		w.model.StartsSent(machine, commands, u.token)
		w.inFlight = append(w.inFlight, u)
	})
}

// addScheduling: the task is placed, here or elsewhere, and its run is stopped.
func (s *stepList) addScheduling() {
	machine, task := s.from.machine(), s.from.model.Jobs[7].Tasks[0]
	if machine.Contact.Reported && task.State == Waiting && task.Attempt < 2 && !s.from.elsewhere {
		s.add("the task is placed here", func(w *exploredState) {
			machine := w.machine()
			e := NewPlacement(7, 0, w.model.Jobs[7].Tasks[0].Attempt+1, machine.ID, machine.Contact.Session)
			_ = w.model.Apply(e, 1, 1)
		})
	}
	if task.State == Waiting && task.Attempt > 0 && !s.from.elsewhere {
		s.add("the task is placed elsewhere", func(w *exploredState) {
			if w.elsewhere = true; w.heldAttempt != 0 && !w.exited {
				w.broken = fmt.Sprintf("the task is started elsewhere while attempt %d is here", w.heldAttempt)
			}
		})
	}
	for _, run := range machine.Runs {
		if !run.Stop {
			s.add("the run is no longer wanted", func(w *exploredState) { w.machine().Runs[0].Stop = true })
		}
	}
}

// addAgentEvents: the task ends, the worker begins anew, and its lease runs out.
func (s *stepList) addAgentEvents() {
	if s.from.heldAttempt != 0 && !s.from.exited {
		s.add("the task ends by itself", func(w *exploredState) { w.exited = true })
	}
	if s.from.incarnation < 2 {
		for _, afresh := range []bool{false, true} {
			s.add(fmt.Sprint("the worker begins anew, afresh ", afresh), func(w *exploredState) {
				w.incarnation, w.heldAttempt, w.exited, w.awaitedReport = w.incarnation+1, 0, false, 0
				if w.session++; afresh {
					w.session, w.seq, w.token = 1, 0, 0
				}
			})
		}
	}
	if s.from.lapses == 0 {
		s.add("the worker's lease runs out", func(w *exploredState) {
			w.lapses, w.session, w.heldAttempt, w.exited = 1, w.session+1, 0, false
		})
	}
}

// addFailover: another node is elected.
func (s *stepList) addFailover() {
	if s.from.terms == 0 {
		s.add("another node leads", func(w *exploredState) {
			w.terms++
			w.question = nil
			w.model.BeginTerm(w.model.TermBase+1<<24, 1)
		})
	}
}

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
		"the leader gives a command up",
		"the worker reports",
		"report 0 arrives",
		"the answer of term 3 arrives",
		"the worker reports",
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
