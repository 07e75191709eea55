package model

import (
	"fmt"
	"slices"

	"fieldhill/internal/agents/staleness"
	"fieldhill/internal/testing/modelcheck"
	"fieldhill/wire"
)

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
		s.add("the agent reports", func(w *exploredState) {
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
		s.add("the agent abandons its report", func(w *exploredState) { w.awaitedReport = 0 })
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
	} // else the relay has no connection any more on which the agent waits for it
}

// addProbe: the leader asks a question, and it is answered.
func (s *stepList) addProbe() {
	if s.from.question == nil {
		s.add("the leader probes", func(w *exploredState) { w.question = w.model.BeginProbe(w.machine()) })
		return
	}
	s.add("the agent answers the probe", func(w *exploredState) {
		q := w.question
		w.question = nil
		w.observe(w.report(), q)
	})
}

// addCommandsInFlight: what is on its way to the agent arrives, or its sender waits for it no longer.
func (s *stepList) addCommandsInFlight() {
	for i, u := range s.from.inFlight {
		what := "the command"
		if u.answer {
			what = "the answer"
		}
		s.add(fmt.Sprintf("%s of term %d arrives", what, u.term>>24), func(w *exploredState) { w.deliver(i) })
		if u.awaited {
			s.add("the leader abandons a command", func(w *exploredState) { w.abandon(i) })
		}
	}
}

// deliver has the agent take in a message, and its sender the answer to it.
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

// addAgentEvents: the task ends, the agent restarts, and its lease runs out.
func (s *stepList) addAgentEvents() {
	if s.from.heldAttempt != 0 && !s.from.exited {
		s.add("the task ends by itself", func(w *exploredState) { w.exited = true })
	}
	if s.from.incarnation < 2 {
		for _, afresh := range []bool{false, true} {
			s.add(fmt.Sprint("the agent restarts, afresh ", afresh), func(w *exploredState) {
				w.incarnation, w.heldAttempt, w.exited, w.awaitedReport = w.incarnation+1, 0, false, 0
				if w.session++; afresh {
					w.session, w.seq, w.token = 1, 0, 0
				}
			})
		}
	}
	if s.from.lapses == 0 {
		s.add("the agent's lease expires", func(w *exploredState) {
			w.lapses, w.session, w.heldAttempt, w.exited = 1, w.session+1, 0, false
		})
	}
}

// addFailover: another node is elected.
func (s *stepList) addFailover() {
	if s.from.terms == 0 {
		s.add("another node is elected", func(w *exploredState) {
			w.terms++
			w.question = nil
			w.model.BeginTerm(w.model.TermBase+1<<24, 1)
		})
	}
}
