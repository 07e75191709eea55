package controller

import (
	"time"

	"fieldhill/internal/agents/staleness"
	"fieldhill/internal/model"
	"fieldhill/internal/platform/agent"
	"fieldhill/internal/replication/candidacy"
	"fieldhill/wire"
)

// commandDispatcher sends machines their commands at once, as soon as the log permits, instead of with the answer to
// their next heartbeat, and takes in what became of them.
//
// It owns which machines have commands waiting (commandDispatcherTerm), and of the model's observations whether a
// direct command to a machine is under way and whether the last one got no answer (DirectInFlight, DirectFailed). All
// of this is written in the loop; goroutines wait for the agents' answers and post them to it.
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

// commandDispatcherTerm is what commandDispatcher keeps for one term of leadership. commitPipeline moves machines from
// the second set to the first when a batch is committed.
type commandDispatcherTerm struct {
	dirtyMachines    map[*model.Machine]bool // may have commands waiting
	dirtyAfterCommit map[*model.Machine]bool // will have, once the log has it
}

// ordersTimeout is how long an agent has to answer a direct command.
const ordersTimeout = 3 * time.Second

// markForCommands marks a machine as having commands waiting.
func (cd *commandDispatcher) markForCommands(machine *model.Machine) {
	if term := cd.term.ownTerm; term != nil {
		term.dispatch.dirtyMachines[machine] = true
	}
}

// acceptsDirect tells whether direct commands may be sent to a machine: its agent has reported, is expected to answer,
// and the machine is to stay.
func (cd *commandDispatcher) acceptsDirect(machine *model.Machine) bool {
	return cd.replica.model.Machines[machine.ID] == machine && !machine.Contact.DirectFailed &&
		machine.Contact.Reported && machine.Info.Addr != "" && !machine.Releasing
}

// sendDirect sends a machine its commands at once instead of with the answer to its next heartbeat. One command is
// under way to a machine at a time.
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
	// What waits for the log is sent once it is committed, not by trying again at once: that would be a loop of
	// commands that say nothing new.
	delete(term.dispatch.dirtyMachines, machine)
	if cd.hasUncommitted(machine) {
		term.dispatch.dirtyAfterCommit[machine] = true
	}
	if len(commands) == 0 && machine.Contact.Reports.Fenced() {
		return
	}
	cd.send(term, machine, commands)
}

// directCommand is a direct command under way to a machine.
type directCommand struct {
	term     *leaderTerm
	machine  *model.Machine
	commands []wire.Command
	token    uint64
	question *staleness.Question // what was known of the agent as it was sent
}

// send sends commands to a machine under its present token and has the loop take in what becomes of them.
func (cd *commandDispatcher) send(term *leaderTerm, machine *model.Machine, commands []wire.Command) {
	sent := &directCommand{
		term: term, machine: machine, commands: commands,
		token: cd.replica.model.Token(machine), question: cd.replica.model.BeginProbe(machine),
	}
	cd.replica.model.StartsSent(machine, commands, sent.token)
	machine.Contact.DirectInFlight = true
	term.leadership.timeline.Mark(candidacy.FirstCommand, cd.now())
	orders := &wire.Orders{FencingToken: sent.token, AgentEpoch: machine.Contact.Session, Commands: commands}
	addr, via := machine.Info.Addr, cd.assignments.relayFor(machine)
	go func() {
		fate, report, err := cd.assignments.sendOrders(term.ctx, via, addr, orders)
		cd.loop.post(func() { cd.onSent(sent, fate, report, err) })
	}()
}

// onSent takes in what became of a direct command, and the status with which the agent answered it, if it did.
func (cd *commandDispatcher) onSent(sent *directCommand, fate agent.CommandFate, report *wire.Heartbeat, err error) {
	if cd.term.ownTerm != sent.term {
		return
	}
	machine := sent.machine
	machine.Contact.DirectInFlight = false
	if cd.replica.model.Machines[machine.ID] != machine {
		return
	}
	switch fate {
	case agent.Unknown:
		cd.log.Debug("command outcome unknown", "machine", machine.Info.Name, "err", err)
		cd.replica.model.StartsLost(machine, sent.commands, sent.token)
		cd.probes.probeMachine(machine, func() { cd.onProbedAfterLoss(sent) })
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
		cd.heartbeats.observe(machine, report, sent.question)
	}
	if sent.term.dispatch.dirtyMachines[machine] {
		cd.sendDirect(machine)
	}
}

// onProbedAfterLoss marks a machine as inbound partitioned if it did not answer the probe either that followed a
// command of unknown outcome. Heartbeats may go on to come from it.
func (cd *commandDispatcher) onProbedAfterLoss(sent *directCommand) {
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

// hasUncommitted tells whether a machine will have commands once the log has what was proposed: a placement, the end of
// a job, or the end of a task that its agent is to forget.
func (cd *commandDispatcher) hasUncommitted(machine *model.Machine) bool {
	for _, run := range machine.Runs {
		if run.PlacedSeq > cd.term.ownTerm.commits.committedSeq ||
			run.Job.FinalSeq > cd.term.ownTerm.commits.committedSeq {
			return true
		}
	}
	return cd.replica.model.ReapPending(machine, cd.term.ownTerm.commits.committedSeq)
}

// stopRun ends a run that is to be stopped, or whose job is cancelled: at once if its start can't have been sent, or
// else by a command to its machine.
func (cd *commandDispatcher) stopRun(run *model.Run) {
	if run.IsUnsent(cd.term.ownTerm.commits.committedSeq) {
		// Its placement is on the way into the log and nothing else happened: the room need wait neither for the log
		// nor for the agent's answer.
		cd.commits.propose(model.NewAttemptEnd(run.Job.ID, run.Task, run.Attempt))
		cd.loop.requestRound()
		return
	}
	cd.markForCommands(run.Machine)
	cd.sendDirect(run.Machine)
}

// sendCommitted sends the commands that waited for a commit.
func (cd *commandDispatcher) sendCommitted(term *leaderTerm) {
	for machine := range term.dispatch.dirtyAfterCommit {
		term.dispatch.dirtyMachines[machine] = true
	}
	clear(term.dispatch.dirtyAfterCommit)
	for machine := range term.dispatch.dirtyMachines {
		cd.sendDirect(machine)
	}
}
