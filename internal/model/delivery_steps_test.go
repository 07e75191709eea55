package model

import (
	"fmt"
	"slices"

	"fieldhill/internal/agents/staleness"
	"fieldhill/internal/testing/modelcheck"
	"fieldhill/wire"
)

// NextSteps returns the possible next steps, in the order in which they are explored.
func (w exploredState) NextSteps() (list []modelcheck.Step) {
	s := &stepList{from: w}
	s.addReports()
	s.addResponses()
	s.addProbe()
	s.addCommandsInFlight()
	s.addDirectCommand()
	s.addScheduling()
	s.addAgentEvents()
	s.addFailover()
	return s.list
}

// stepList collects the steps from a state.
type stepList struct {
	from exploredState
	list []modelcheck.Step
}

func (s *stepList) add(name string, change func(w *exploredState)) {
	s.list = append(s.list, modelcheck.Step{Name: name, Take: func() modelcheck.State {
		next := s.from.clone()
		change(&next)
		return next
	}})
}

// machine returns the only machine of the model.
func (w *exploredState) machine() *Machine { return w.model.MachinesInOrder[0] }

// addReports adds steps in which the agent sends a report, and in which a report or a copy of it arrives.
func (s *stepList) addReports() {
	copied := s.from.allows(copiedReports)
	if s.from.awaitedReport == 0 && (!copied || len(s.from.reports) < maxReports) {
		s.add("the agent reports", func(w *exploredState) {
			if !copied {
				w.reports = nil // earlier reports cannot arrive any more
			}
			w.reports = append(w.reports, *w.report())
			w.awaitedReport = len(w.reports)
		})
	}
	for i := range s.from.reports {
		if s.from.awaitedReport != i+1 {
			if copied {
				s.add(fmt.Sprint("a copy of report ", i, " arrives"), func(w *exploredState) {
					w.observeCopy(w.reports[i])
				})
			}
			continue
		}
		s.add(fmt.Sprint("report ", i, " arrives"), func(w *exploredState) { w.respondToReport(&w.reports[i]) })
		if s.from.allows(lostMessages) {
			s.add("the agent abandons its report", func(w *exploredState) { w.awaitedReport = 0 })
		}
		if s.from.relay && s.from.relayedReport == 0 {
			s.add(fmt.Sprint("a relay responds to report ", i), func(w *exploredState) {
				w.awaitedReport, w.relayedReport = 0, i+1
			})
		}
	}
}

// observeCopy passes a copy of a report to the leader, which may have received the report before.
func (w *exploredState) observeCopy(r wire.Heartbeat) {
	var probe *staleness.ProbeBaseline
	if w.mutation == copyTakenAsResponse {
		probe = w.model.BeginProbe(w.machine())
		r.FencingToken = w.model.MinToken + 1<<20
	}
	w.observe(&r, probe)
}

// newResponse returns the leader's response to a report, without commands.
func (w *exploredState) newResponse(r *wire.Heartbeat) inFlightMessage {
	return inFlightMessage{
		incarnation: w.incarnation,
		epoch:       r.AgentEpoch,
		isResponse:  true,
		token:       w.model.Token(w.machine()),
		term:        w.model.MinToken,
	}
}

// respondToReport passes to the leader the report for which the agent awaits a response, and sends the leader's
// response.
func (w *exploredState) respondToReport(r *wire.Heartbeat) {
	v := w.observe(r, nil)
	var commands []wire.Command
	switch {
	case !v.IsStale():
		commands = w.commands(true)
	case w.mutation != staleReportNotFenced:
		w.model.FenceUnprovenAgent(w.machine(), r)
	}
	u := w.newResponse(r)
	u.commands = commands
	if !v.IsStale() {
		w.machine().Contact.Reports.RecordResponse(u.token)
		for _, run := range w.machine().Runs {
			if w.mutation == responseNotAwaited && run.startResponseSeq != 0 {
				run.startResponseSeq = 0
				run.setPhase(Fetching)
			}
		}
	}
	w.inFlight = append(w.inFlight, u)
	w.awaitedReport = -1 // the response is in flight
}

// addResponses adds steps in which the leader receives a report to which a relay has responded, and in which a response
// is lost.
func (s *stepList) addResponses() {
	if s.from.relayedReport != 0 {
		s.add(fmt.Sprint("report ", s.from.relayedReport-1, " arrives from the relay"), (*exploredState).observeRelayed)
	}
	if s.from.awaitedReport == -1 && s.from.allows(lostMessages) {
		s.add("the response is lost", func(w *exploredState) {
			w.inFlight = slices.DeleteFunc(w.inFlight, func(u inFlightMessage) bool { return u.isResponse })
			w.awaitedReport = 0
		})
	}
}

// observeRelayed passes to the leader the report to which a relay has responded.
func (w *exploredState) observeRelayed() {
	r := w.reports[w.relayedReport-1]
	w.relayedReport = 0
	if v := w.observe(&r, nil); v.IsStale() {
		return
	}
	commands := w.commands(true)
	u := w.newResponse(&r)
	u.commands = commands
	w.machine().Contact.Reports.RecordResponse(u.token)
	if w.mutation == relayForwardsLateResponse {
		w.inFlight = append(w.inFlight, u)
	} // otherwise the relay drops the leader's response, since the agent's request has been answered
}

// addProbe adds steps in which the leader probes the agent and in which the agent responds.
func (s *stepList) addProbe() {
	if !s.from.allows(probes) {
		return
	}
	if s.from.probe == nil {
		s.add("the leader probes", func(w *exploredState) { w.probe = w.model.BeginProbe(w.machine()) })
		return
	}
	s.add("the agent responds to the probe", func(w *exploredState) {
		probe := w.probe
		w.probe = nil
		w.observe(w.report(), probe)
	})
}

// addCommandsInFlight adds steps in which a message in flight reaches the agent, and in which its sender stops waiting
// for the response.
func (s *stepList) addCommandsInFlight() {
	for i, u := range s.from.inFlight {
		message := "the command"
		if u.isResponse {
			message = "the response"
		}
		s.add(fmt.Sprintf("%s of term %d arrives", message, u.term>>24), func(w *exploredState) { w.deliver(i) })
		if s.from.allows(copiedCommands) && !u.isResponse && s.from.copies < maxCopies {
			s.add(fmt.Sprintf("%s of term %d arrives and is copied", message, u.term>>24), func(w *exploredState) {
				w.deliverAndCopy(i)
			})
		}
		if u.senderWaits && s.from.allows(lostMessages) {
			s.add("the leader abandons a command", func(w *exploredState) { w.abandon(i) })
		}
	}
}

// deliver passes a message in flight to the agent, and the agent's response to the leader if it still waits for it.
func (w *exploredState) deliver(i int) {
	u := w.inFlight[i]
	w.inFlight = slices.Delete(w.inFlight, i, i+1)
	if u.isResponse {
		w.awaitedReport = 0
	}
	if u.incarnation != w.incarnation && (!u.isCopy || w.token == 0) {
		return
	}
	accepted := u.epoch == w.epoch && u.token >= w.token
	if accepted {
		w.token = u.token
		w.execute(u.commands)
	}
	if u.senderWaits && u.term == w.model.MinToken {
		w.model.StartsAnswered(w.machine(), u.commands, u.token, accepted)
		w.observe(w.report(), u.probe)
	}
}

// deliverAndCopy passes a direct command to the agent, and leaves a copy of it in flight.
func (w *exploredState) deliverAndCopy(i int) {
	u := w.inFlight[i]
	w.deliver(i)
	u.senderWaits, u.probe, u.isCopy = false, nil, true
	w.copies++
	w.inFlight = append(w.inFlight, u)
}

// abandon simulates that the leader stops waiting for the response to a command.
func (w *exploredState) abandon(i int) {
	u := &w.inFlight[i]
	u.senderWaits = false
	switch {
	case u.term != w.model.MinToken:
	case w.mutation == unansweredStartIgnored:
		w.model.StartsAnswered(w.machine(), u.commands, u.token, false)
	default:
		w.model.StartsUnanswered(w.machine(), u.commands, u.token)
	}
}

// addDirectCommand adds the step in which the leader sends a command. At most one per machine is in flight at a time.
func (s *stepList) addDirectCommand() {
	term := s.from.model.MinToken
	isAwaited := func(u inFlightMessage) bool { return u.senderWaits && u.term == term }
	if !s.from.machine().Contact.Reported || len(s.from.inFlight) >= 2+s.from.copies ||
		slices.ContainsFunc(s.from.inFlight, isAwaited) {
		return
	}
	s.add("the leader sends a command", func(w *exploredState) {
		machine := w.machine()
		commands := w.commands(false)
		u := inFlightMessage{
			incarnation: w.incarnation,
			epoch:       machine.Contact.AgentEpoch,
			token:       w.model.Token(machine),
			commands:    commands,
			senderWaits: true,
			probe:       w.model.BeginProbe(machine),
			term:        w.model.MinToken,
		}
		w.model.StartsSent(machine, commands, u.token)
		w.inFlight = append(w.inFlight, u)
	})
}

// addScheduling adds steps in which the task is placed, on this machine or another one, and in which its run is
// stopped.
func (s *stepList) addScheduling() {
	machine, task := s.from.machine(), s.from.model.Jobs[7].Tasks[0]
	if machine.Contact.Reported && task.State == Waiting && task.Attempt < 2 && !s.from.runsElsewhere {
		s.add("the task is placed on this machine", func(w *exploredState) {
			machine := w.machine()
			e := NewPlacement(7, 0, w.model.Jobs[7].Tasks[0].Attempt+1, machine.ID, machine.Contact.AgentEpoch)
			_ = w.model.Apply(e, 1, 1)
		})
	}
	if task.State == Waiting && task.Attempt > 0 && !s.from.runsElsewhere {
		s.add("the task is placed on another machine", func(w *exploredState) {
			if w.runsElsewhere = true; w.agentAttempt != 0 && !w.exited {
				w.violation = fmt.Sprintf("the task is started on another machine while attempt %d is on this one",
					w.agentAttempt)
			}
		})
	}
	for _, run := range machine.Runs {
		if !run.Stop {
			s.add("the run is no longer wanted", func(w *exploredState) { w.machine().Runs[0].Stop = true })
		}
	}
}

// addAgentEvents adds steps in which the task ends, the agent restarts, or its lease expires.
func (s *stepList) addAgentEvents() {
	if s.from.agentAttempt != 0 && !s.from.exited {
		s.add("the task ends by itself", func(w *exploredState) { w.exited = true })
	}
	if s.from.incarnation < 2 && s.from.allows(restarts) {
		for _, resetNumbers := range []bool{false, true} {
			s.add(fmt.Sprint("the agent restarts, numbers reset ", resetNumbers), func(w *exploredState) {
				w.incarnation, w.agentAttempt, w.exited, w.awaitedReport = w.incarnation+1, 0, false, 0
				if w.epoch++; resetNumbers {
					w.epoch, w.seq, w.token = 1, 0, 0
				}
			})
		}
	}
	if s.from.leaseExpiries == 0 && s.from.allows(leaseExpiry) {
		s.add("the agent's lease expires", func(w *exploredState) {
			w.leaseExpiries, w.epoch, w.agentAttempt, w.exited = 1, w.epoch+1, 0, false
		})
	}
}

// addFailover adds the step in which another node is elected.
func (s *stepList) addFailover() {
	if s.from.terms == 0 && s.from.allows(failover) {
		s.add("another node is elected", func(w *exploredState) {
			w.terms++
			w.probe = nil
			w.model.BeginTerm(w.model.MinToken+1<<24, 1)
		})
	}
}
