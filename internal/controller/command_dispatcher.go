package controller

import (
	"time"

	"fieldhill/internal/agents/staleness"
	"fieldhill/internal/model"
	"fieldhill/internal/platform/agent"
	"fieldhill/internal/replication/candidacy"
	"fieldhill/wire"
)

// commandDispatcher sends commands to machines as soon as the log entries that they depend on are committed, instead of
// with the response to the next heartbeat, and processes the outcomes.
//
// It owns the set of machines that have pending commands (commandDispatcherTerm) and, of the observed state in the
// model, whether a direct command to a machine is in flight and whether the last one got no response (DirectInFlight,
// DirectFailed). All of this is written on the event loop only; goroutines wait for the agents' responses and post them
// to the loop.
type commandDispatcher struct {
	*environment
	commits     *commitPipeline
	heartbeats  *heartbeats
	loop        *eventLoop
	probes      *probes
	replica     *replica
	assignments *relayAssignments
	term        *termState
}

// commandDispatcherTerm is the state of commandDispatcher for one leadership term. commitPipeline moves machines from
// dirtyAfterCommit to dirtyMachines when a batch is committed.
type commandDispatcherTerm struct {
	dirtyMachines    map[*model.Machine]bool // may have pending commands
	dirtyAfterCommit map[*model.Machine]bool // will have pending commands once proposed entries are committed
}

// directCommandTimeout is how long an agent has to respond to a direct command.
const directCommandTimeout = 3 * time.Second

// markForCommands marks a machine as possibly having pending commands.
func (cd *commandDispatcher) markForCommands(machine *model.Machine) {
	if term := cd.term.ownTerm; term != nil {
		term.dispatch.dirtyMachines[machine] = true
	}
}

// acceptsDirect reports whether direct commands may be sent to a machine: its agent has reported in this term and is
// expected to respond, and the machine is not being released.
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
	commands := cd.replica.model.Commands(machine, term.commits.committedSeq, false)
	// Commands that depend on uncommitted entries are sent after the commit. Retrying immediately would send repeated
	// commands without new content.
	delete(term.dispatch.dirtyMachines, machine)
	if cd.hasUncommittedCommands(machine) {
		term.dispatch.dirtyAfterCommit[machine] = true
	}
	if len(commands) == 0 && machine.Contact.Reports.Fenced() {
		return
	}
	cd.send(term, machine, commands)
}

// directCommand is a direct command in flight to a machine.
type directCommand struct {
	term     *leaderTerm
	machine  *model.Machine
	commands []wire.Command
	token    uint64
	baseline *staleness.ProbeBaseline // what was known about the agent when the command was sent
}

// send sends commands to a machine under its current fencing token and posts the outcome to the event loop.
func (cd *commandDispatcher) send(term *leaderTerm, machine *model.Machine, commands []wire.Command) {
	sent := &directCommand{
		term: term, machine: machine, commands: commands,
		token: cd.replica.model.Token(machine), baseline: cd.replica.model.BeginProbe(machine),
	}
	cd.replica.model.StartsSent(machine, commands, sent.token)
	machine.Contact.DirectInFlight = true
	term.leadership.timeline.Mark(candidacy.FirstCommand, cd.now())
	orders := &wire.Orders{FencingToken: sent.token, AgentEpoch: machine.Contact.AgentEpoch, Commands: commands}
	addr, via := machine.Info.Addr, cd.assignments.relayFor(machine)
	go func() {
		outcome, report, err := cd.assignments.sendOrders(term.ctx, via, addr, orders)
		cd.loop.post(func() { cd.onCommandOutcome(sent, outcome, report, err) })
	}()
}

// onCommandOutcome processes the outcome of a direct command and the status report that the agent responded with, if
// any.
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

// onProbedAfterUnknownOutcome marks a machine as inbound partitioned if it did not respond to the probe that followed a
// command of unknown outcome either. Heartbeats from it may continue to arrive.
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

// hasUncommittedCommands reports whether a machine will have commands to execute once proposed entries are committed:
// for a placement, the end of a job, or a finished task that its agent is to discard.
func (cd *commandDispatcher) hasUncommittedCommands(machine *model.Machine) bool {
	for _, run := range machine.Runs {
		if run.PlacedSeq > cd.term.ownTerm.commits.committedSeq ||
			run.Job.FinalSeq > cd.term.ownTerm.commits.committedSeq {
			return true
		}
	}
	return cd.replica.model.HasPendingReap(machine, cd.term.ownTerm.commits.committedSeq)
}

// stopRun ends a run that is to be stopped or whose job is cancelled: immediately if its start cannot have been sent,
// otherwise by a stop command to its machine.
func (cd *commandDispatcher) stopRun(run *model.Run) {
	if run.IsUnsent(cd.term.ownTerm.commits.committedSeq) {
		// Its placement is not committed yet, so no start was sent: its resources can be freed without waiting for the
		// commit or for the agent.
		cd.commits.propose(model.NewAttemptEnd(run.Job.ID, run.Task, run.Attempt))
		cd.loop.requestRound()
		return
	}
	cd.markForCommands(run.Machine)
	cd.sendDirect(run.Machine)
}

// sendCommitted sends the commands that were waiting for a commit.
func (cd *commandDispatcher) sendCommitted(term *leaderTerm) {
	for machine := range term.dispatch.dirtyAfterCommit {
		term.dispatch.dirtyMachines[machine] = true
	}
	clear(term.dispatch.dirtyAfterCommit)
	for machine := range term.dispatch.dirtyMachines {
		cd.sendDirect(machine)
	}
}
