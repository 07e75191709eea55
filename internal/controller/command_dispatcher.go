package controller

import (
	"time"

	"fieldhill/internal/agents/staleness"
	"fieldhill/internal/metrics"
	"fieldhill/internal/model"
	"fieldhill/internal/platform/agent"
	"fieldhill/internal/replication/candidacy"
	"fieldhill/wire"
)

// commandDispatcher sends commands to machines as soon as the log entries on which the commands depend are committed,
// instead of with the response to each machine's next heartbeat, and processes the outcomes.
//
// It owns the sets of machines with pending commands (commandDispatcherTerm) and two fields of model.MachineContact:
// DirectInFlight, whether a direct command to the machine is in flight, and DirectFailed, whether the last one got no
// response. This state is written on the event loop only; goroutines wait for the agents' responses and post them to
// the loop.
type commandDispatcher struct {
	*environment
	commandLog  *commandLog
	commits     *commitPipeline
	heartbeats  *heartbeats
	loop        *eventLoop
	probes      *probes
	replica     *replica
	assignments *relayAssignments
	term        *termState
}

// commandDispatcherTerm is the state of commandDispatcher for one leadership term. When a batch is committed,
// sendCommitted moves the machines in dirtyAfterCommit to dirtyMachines.
type commandDispatcherTerm struct {
	dirtyMachines    map[*model.Machine]bool // may have pending commands
	dirtyAfterCommit map[*model.Machine]bool // will have pending commands once proposed entries are committed
}

// directCommandTimeout is how long an agent has to respond to a direct command.
const directCommandTimeout = 3 * time.Second

// markForCommands marks a machine as possibly having pending commands. They are sent after the next commit or in the
// next maintenance run, whichever is earlier.
func (cd *commandDispatcher) markForCommands(machine *model.Machine) {
	if term := cd.term.ownTerm; term != nil {
		term.dispatch.dirtyMachines[machine] = true
	}
}

// acceptsDirect reports whether direct commands may be sent to a machine: its address is known, its agent has reported
// in this term and has not failed to respond to the last direct command, and the machine is not being released.
func (cd *commandDispatcher) acceptsDirect(machine *model.Machine) bool {
	return cd.replica.model.Machines[machine.ID] == machine && !machine.Contact.DirectFailed &&
		machine.Contact.Reported && machine.Info.Addr != "" && !machine.Releasing
}

// sendDirect sends a machine its pending commands at once instead of with the response to its next heartbeat. At most
// one direct command per machine is in flight.
func (cd *commandDispatcher) sendDirect(machine *model.Machine) {
	term := cd.term.ownTerm
	if term == nil || machine.Contact.DirectInFlight {
		return
	}
	if !cd.acceptsDirect(machine) {
		delete(term.dispatch.dirtyMachines, machine)
		return
	}
	offset := machine.Contact.TokenOffset
	commands := cd.replica.model.Commands(machine, term.commits.committedSeq, false)
	if machine.Contact.TokenOffset > offset {
		cd.metrics.ReapFences.Inc()
	}
	if machine.Contact.TokenOffset >= maxTokenOffset {
		cd.term.resign(term, errTokensExhausted)
	}
	// Commands that depend on uncommitted entries are sent after the commit. If the machine stayed in dirtyMachines,
	// every maintenance run would send it the same commands again.
	delete(term.dispatch.dirtyMachines, machine)
	if cd.hasUncommittedCommands(machine) {
		term.dispatch.dirtyAfterCommit[machine] = true
	}
	if len(commands) == 0 && machine.Contact.Reports.Fenced() {
		return
	}
	cd.send(term, machine, commands)
}

// directCommand records the commands sent to a machine, and the term, token and agent epoch under which they were sent,
// until the outcome is processed.
type directCommand struct {
	term     *leaderTerm
	machine  *model.Machine
	commands []wire.Command
	token    uint64
	epoch    uint64
	baseline *staleness.ProbeBaseline // which messages from the agent had been received when the command was sent
}

// send sends commands to a machine under the machine's current fencing token and posts the outcome to the event loop.
func (cd *commandDispatcher) send(term *leaderTerm, machine *model.Machine, commands []wire.Command) {
	sent := &directCommand{
		term: term, machine: machine, commands: commands,
		token: cd.replica.model.Token(machine), epoch: machine.Contact.AgentEpoch,
		baseline: cd.replica.model.BeginProbe(machine),
	}
	cd.replica.model.StartsSent(machine, commands, sent.token)
	machine.Contact.DirectInFlight = true
	term.leadership.timeline.Mark(candidacy.FirstCommand, cd.now())
	batch := &wire.CommandBatch{FencingToken: sent.token, AgentEpoch: sent.epoch, Commands: commands}
	addr, via := machine.Info.Addr, cd.assignments.relayFor(machine)
	path := pathDirect
	if via != nil {
		path = pathRelay
	}
	cd.commandLog.logSent(machine, commands, sent.token, path)
	go func() {
		outcome, report, err := cd.assignments.sendCommands(term.ctx, via, addr, batch)
		cd.loop.post(func() { cd.onCommandOutcome(sent, outcome, report, err) })
	}()
}

// onCommandOutcome updates the model by the outcome of a direct command and, if the agent responded, by its status
// report. After an unknown outcome it probes the machine.
func (cd *commandDispatcher) onCommandOutcome(
	sent *directCommand, outcome agent.CommandOutcome, report *wire.Heartbeat, err error,
) {
	if cd.term.ownTerm != sent.term {
		return
	}
	machine := sent.machine
	machine.Contact.DirectInFlight = false
	if cd.replica.model.Machines[machine.ID] != machine {
		return
	}
	switch outcome {
	case agent.Unknown:
		cd.log.Debug("command outcome unknown", "machine", machine.Info.Name, "err", err)
		cd.replica.model.StartsUnanswered(machine, sent.commands, sent.token)
		cd.probes.probeMachine(machine, func() { cd.onProbedAfterUnknownOutcome(sent) })
	case agent.Unsent:
		cd.replica.model.StartsAnswered(machine, sent.commands, sent.token, false)
		machine.Contact.DirectFailed = true
	case agent.Refused:
		cd.replica.model.StartsAnswered(machine, sent.commands, sent.token, false)
		cd.onRefused(sent, report)
	case agent.Executed:
		sent.term.leadership.timeline.Mark(candidacy.FirstExecution, cd.now())
		cd.replica.model.StartsAnswered(machine, sent.commands, sent.token, true)
	}
	if report != nil && report.Machine == machine.Info.Name {
		cd.heartbeats.observe(machine, report, sent.baseline)
	}
	if sent.term.dispatch.dirtyMachines[machine] {
		cd.sendDirect(machine)
	}
}

// refusalReason returns why an agent refused a direct command. report is its response, or nil if that has no status
// report. currentToken is the machine's present token.
func (sent *directCommand) refusalReason(report *wire.Heartbeat, currentToken uint64) metrics.RefusalReason {
	switch {
	case report == nil:
		return metrics.RefusedOther
	case report.AgentEpoch != sent.epoch:
		return metrics.RefusedEpoch
	case report.FencingToken > currentToken:
		return metrics.RefusedLaterTerm
	case report.FencingToken > sent.token:
		return metrics.RefusedToken
	}
	return metrics.RefusedOther
}

// onRefused counts a refused direct command. If it was refused only because this leader raised the machine's token
// after it was sent, the machine is marked for commands, so that they are sent again at once under the raised token.
func (cd *commandDispatcher) onRefused(sent *directCommand, report *wire.Heartbeat) {
	reason := sent.refusalReason(report, cd.replica.model.Token(sent.machine))
	cd.metrics.CommandsRefused[reason].Inc()
	cd.log.Warn("commands refused", "machine", sent.machine.Info.Name, "reason", reason.String(), "token", sent.token,
		"agent_epoch", sent.epoch, "commands", len(sent.commands))
	if reason == metrics.RefusedToken {
		cd.markForCommands(sent.machine)
	}
}

// onProbedAfterUnknownOutcome marks a machine as inbound partitioned if its agent responded neither to a command, whose
// outcome is therefore unknown, nor to the probe that followed the command. Heartbeats from the agent may still arrive.
func (cd *commandDispatcher) onProbedAfterUnknownOutcome(sent *directCommand) {
	machine := sent.machine
	if cd.term.ownTerm != sent.term || cd.replica.model.Machines[machine.ID] != machine ||
		cd.now()-machine.Contact.LastReport <= probeTimeout ||
		!machine.Contact.DirectFailed || machine.Contact.InboundPartitionSince != 0 {
		return
	}
	machine.MarkInboundPartition(cd.now())
	cd.replica.model.RaiseToken(machine)
	cd.probes.logInboundPartition(machine)
}

// hasUncommittedCommands reports whether a machine will have commands to execute once proposed entries are committed,
// because of a placement, the end of a job, or a finished task that the machine's agent is to discard.
func (cd *commandDispatcher) hasUncommittedCommands(machine *model.Machine) bool {
	for _, run := range machine.Runs {
		if run.PlacedSeq > cd.term.ownTerm.commits.committedSeq ||
			run.Job.FinalSeq > cd.term.ownTerm.commits.committedSeq {
			return true
		}
	}
	return cd.replica.model.HasPendingReap(machine, cd.term.ownTerm.commits.committedSeq)
}

// stopRun ends a run that is to be stopped or whose job is cancelled: immediately if the start command cannot have been
// sent, otherwise by a stop command to the run's machine.
func (cd *commandDispatcher) stopRun(run *model.Run) {
	if run.IsUnsent(cd.term.ownTerm.commits.committedSeq) {
		// The run's placement is not committed yet, so no start command was sent: the run's resources can be freed
		// without waiting for the commit or for the agent.
		cd.commits.propose(model.NewAttemptEnd(run.Job.ID, run.Task, run.Attempt))
		cd.loop.requestRound()
		return
	}
	cd.markForCommands(run.Machine)
	cd.sendDirect(run.Machine)
}

// sendCommitted runs after each commit. It sends the pending commands of all marked machines, including those in
// dirtyAfterCommit.
func (cd *commandDispatcher) sendCommitted(term *leaderTerm) {
	for machine := range term.dispatch.dirtyAfterCommit {
		term.dispatch.dirtyMachines[machine] = true
	}
	clear(term.dispatch.dirtyAfterCommit)
	for machine := range term.dispatch.dirtyMachines {
		cd.sendDirect(machine)
	}
}
