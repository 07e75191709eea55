package controller

import (
	"fieldhill/internal/model"
	"fieldhill/internal/platform/agent"
	"fieldhill/internal/replication/candidacy"
	"fieldhill/wire"
)

// commandDispatcher gives machines their commands at once, as soon as the log permits, instead of with the next
// heartbeat.
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

// commandDispatcherTerm is what commandDispatcher keeps for one term of leadership.
type commandDispatcherTerm struct {
	dirtyMachines    map[*model.Machine]bool // have something to be told
	dirtyAfterCommit map[*model.Machine]bool // will have, once the log has it
}

// markForCommands marks a machine as having something to be told.
func (cd *commandDispatcher) markForCommands(machine *model.Machine) {
	if term := cd.term.ownTerm; term != nil {
		term.dispatch.dirtyMachines[machine] = true
	}
}

// sendDirect gives a machine its commands at once instead of with its next report.
func (cd *commandDispatcher) sendDirect(machine *model.Machine) {
	term := cd.term.ownTerm
	if term == nil || machine.Contact.DirectInFlight {
		return
	}
	if cd.replica.model.Machines[machine.ID] != machine || machine.Contact.DirectFailed || !machine.Contact.Reported ||
		machine.Info.Addr == "" ||
		machine.Releasing {
		delete(term.dispatch.dirtyMachines, machine)
		return
	}
	commands := cd.replica.model.Commands(machine, term.commits.committedSeq, false)
	// What waits for the log is told once it is there, not by asking again at
	// once: that would be a loop of commands that say nothing new.
	delete(term.dispatch.dirtyMachines, machine)
	if cd.hasUncommitted(machine) {
		term.dispatch.dirtyAfterCommit[machine] = true
	}
	if len(commands) == 0 && machine.Contact.Reports.Fenced() {
		return
	}
	token, question := cd.replica.model.Token(machine), cd.replica.model.BeginProbe(machine)
	cd.replica.model.StartsSent(machine, commands, token)
	machine.Contact.DirectInFlight = true
	term.leadership.timeline.Mark(candidacy.FirstCommand, cd.now())
	orders := &wire.Orders{FencingToken: token, AgentEpoch: machine.Contact.Session, Commands: commands}
	addr, via := machine.Info.Addr, cd.assignments.relayFor(machine)
	go func() {
		fate, report, err := cd.assignments.sendOrders(term.ctx, via, addr, orders)
		cd.loop.post(func() {
			if cd.term.ownTerm != term {
				return
			}
			machine.Contact.DirectInFlight = false
			if cd.replica.model.Machines[machine.ID] != machine {
				return
			}
			switch fate {
			case agent.Unknown:
				cd.log.Debug("command outcome unknown", "machine", machine.Info.Name, "err", err)
				cd.replica.model.StartsLost(machine, commands, token)
				cd.probes.probeMachine(machine, func() {
					// Reports may go on to come from it.
					if cd.term.ownTerm == term && cd.replica.model.Machines[machine.ID] == machine &&
						cd.now()-machine.Contact.LastReport > probeTimeout &&
						machine.Contact.DirectFailed &&
						machine.Contact.InboundPartitionSince == 0 {
						machine.MarkInboundPartition(cd.now())
						cd.replica.model.RaiseToken(machine)
						cd.probes.logInboundPartition(machine)
					}
				})
			case agent.Unsent:
				cd.replica.model.StartsAnswered(machine, commands, token, false)
				machine.Contact.DirectFailed = true
			case agent.Refused:
				cd.replica.model.StartsAnswered(machine, commands, token, false)
			case agent.Executed:
				term.leadership.timeline.Mark(candidacy.FirstExecution, cd.now())
				cd.replica.model.StartsAnswered(machine, commands, token, true)
			}
			if report != nil && report.Machine == machine.Info.Name {
				cd.heartbeats.observe(machine, report, question)
			}
			if term.dispatch.dirtyMachines[machine] {
				cd.sendDirect(machine)
			}
		})
	}()
}

// hasUncommitted tells whether a machine has a placement that is not committed yet.
func (cd *commandDispatcher) hasUncommitted(machine *model.Machine) bool {
	for _, run := range machine.Runs {
		if run.PlacedSeq > cd.term.ownTerm.commits.committedSeq ||
			run.Job.FinalSeq > cd.term.ownTerm.commits.committedSeq {
			return true
		}
	}
	return cd.replica.model.ReapPending(machine, cd.term.ownTerm.commits.committedSeq)
}

// stopRun has a run end that is to be stopped, or whose job is cancelled: at once if nothing of it has left this
// node, or else by telling its machine.
func (cd *commandDispatcher) stopRun(run *model.Run) {
	if run.IsUnsent(cd.term.ownTerm.commits.committedSeq) {
		// Its placement is on the way into the log and nothing else happened: the
		// room need not wait for the log and for the machine's word.
		cd.commits.propose(&model.Entry{Kind: model.EntryEnded, Job: run.Job.ID, Task: run.Task, Attempt: run.Attempt})
		cd.loop.roundRequested = true
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
