package controller

import (
	"time"

	"fieldhill/internal/agents/staleness"
	"fieldhill/internal/model"
	"fieldhill/internal/result"
	"fieldhill/internal/scheduling/autoscaler"
	"fieldhill/wire"
)

// heartbeats takes agents' status in as the leader, from heartbeats and from the answers to probes and direct commands,
// and reconciles it with the state: the model tells what a status proves, and that is proposed to the log.
//
// It alone writes what the model has observed of an agent (model.MachineContact) from its status, in the loop. Of its
// own it has only its part of a term.
type heartbeats struct {
	*environment
	commits      *commitPipeline
	dispatch     *commandDispatcher
	keepalives   *followerKeepalives
	leadership   *leadership
	leases       *leaseRenewal
	loop         *eventLoop
	probes       *probes
	provisioning *provisioning
	replica      *replica
	assignments  *relayAssignments
	term         *termState
}

// heartbeatsTerm is what heartbeats keeps for one term of leadership. After a stall machineHealth sets lastHeartbeat.
type heartbeatsTerm struct {
	lastHeartbeat   model.Time      // when a heartbeat of any machine was last received
	unknownMachines map[string]bool // machines that are in no log, and that are being probed
}

// The answers to agents whose heartbeats are not taken in.
var (
	machineReleased   = result.Unavailable{Reason: "this machine was returned", RetryAfter: time.Second}
	machineUnknown    = result.Unavailable{Reason: "this machine is not known", RetryAfter: time.Second}
	machineNotReached = result.Unavailable{Reason: "this machine does not answer", RetryAfter: time.Second}
	leaseToExpire     = result.Unavailable{Reason: "its lease is to run out", RetryAfter: time.Second}
)

// onReportAsLeader takes a heartbeat that came to this controller, or through another one, by its index in the relay
// table.
func (hb *heartbeats) onReportAsLeader(report *wire.Heartbeat, node int, send func(result.Result)) {
	machine := hb.replica.model.ByName[report.Machine]
	if answer := hb.answerUntaken(machine, report); answer != nil {
		send(answer)
		return
	}
	switch {
	case machine == nil:
		hb.onUnknownMachine(report, send)
	case machine.Suspect:
		hb.onSuspectReport(machine, report, send)
	default:
		send(hb.takeIn(machine, report, node))
	}
}

// answerUntaken is the answer to a heartbeat that proves nothing to this leader, or that it may not act on: nil if the
// heartbeat is to be taken in. The machine is nil if it is in no log.
func (hb *heartbeats) answerUntaken(machine *model.Machine, report *wire.Heartbeat) result.Result {
	active := hb.term.isActive()
	switch {
	case report.FencingToken >= hb.replica.model.TermBase+1<<machineTokenBits:
		return result.Redirected{} // its agent obeys a later term than this one
	case !hb.leases.mayRenew():
		// Nobody may keep leases alive for longer than a cancellation that this controller can't know of leaves time.
		return result.NoLeader{}
	case !active && hb.leadership.hasPossibleSuccessor() && !hb.keepalives.retainsAgent(report.Machine, false):
		return result.Redirected{} // another controller may lead by now, or will soon
	case hb.replica.model.Tombstones[report.Machine]:
		return machineReleased
	case machine == nil && !active:
		return hb.keepalives.renewAsFollower(report)
	case machine != nil && machine.Suspect && !active:
		return result.NoLeader{}
	}
	return nil
}

// takeIn takes in the heartbeat of a machine whose lease may be renewed, and answers it.
func (hb *heartbeats) takeIn(machine *model.Machine, report *wire.Heartbeat, node int) result.Result {
	if to, move := hb.assignments.redirectTarget(machine, node); move {
		hb.metrics.Reassigned.Inc()
		return result.Redirected{Node: to}
	}
	firstReport := !machine.Contact.Reported
	verdict := hb.observe(machine, report, nil)
	if verdict.IsStale() {
		return hb.replyToStale(machine)
	}
	if firstReport {
		hb.loop.requestRound()
	}
	return hb.replyToMachine(machine)
}

// replyToStale answers a heartbeat that may be a copy from the past, or from an agent that restarted. It is answered,
// which is nothing to an agent that is not there, and probed. It gets no stops, though, so one whose answers to probes
// do not arrive is kept alive for no longer than by a controller that knows nothing of cancellations.
func (hb *heartbeats) replyToStale(machine *model.Machine) result.Result {
	hb.probes.probeMachine(machine, nil)
	if hb.now()-machine.Contact.LastReport > hb.settings.StaleRenewalLimit() {
		return machineNotReached
	}
	return hb.leases.renew(machine.Info.Name, hb.replica.model.Token(machine), []wire.Command{})
}

// replyToMachine is the answer to a machine whose status was taken in: its lease is renewed, and it gets its commands.
func (hb *heartbeats) replyToMachine(machine *model.Machine) result.Result {
	if !hb.leases.mayRenew() {
		return result.NoLeader{}
	}
	token := hb.replica.model.Token(machine)
	machine.Contact.Reports.RecordAnswer(token)
	commands := hb.replica.model.Commands(machine, hb.term.ownTerm.commits.committedSeq, true)
	return hb.leases.renew(machine.Info.Name, token, commands)
}

// onSuspectReport takes the heartbeat of a machine whose lease is to expire. Before it is answered, which renews the
// lease, the suspicion is cleared by an entry; and that is done only if the machine answers a probe now: a copy of a
// heartbeat from before the partition, or one of an agent that receives nothing, would begin the wait for the expiry
// anew, again and again.
func (hb *heartbeats) onSuspectReport(machine *model.Machine, report *wire.Heartbeat, send func(result.Result)) {
	if machine.Contact.Reported {
		hb.observe(machine, report, nil) // what it proves by its numbers, it proves all the same
	}
	term := hb.term.ownTerm
	onProbed := func() {
		if hb.term.ownTerm == term && hb.term.isActive() && hb.replica.model.Machines[machine.ID] == machine &&
			!machine.Suspect {
			send(hb.replyToMachine(machine))
		} else {
			send(leaseToExpire)
		}
	}
	if !hb.probes.probeMachine(machine, onProbed) {
		send(leaseToExpire)
	}
}

// onUnknownMachine takes the heartbeat of a machine that is in no log: one whose provisioning was not answered, or a
// copy from one that is long gone. It counts as a machine once it answers a probe, or the cloud lists it.
func (hb *heartbeats) onUnknownMachine(report *wire.Heartbeat, send func(result.Result)) {
	term := hb.term.ownTerm
	unknown := term.heartbeats.unknownMachines
	if len(unknown) >= hb.probes.maxFollowUpProbes || unknown[report.Machine] {
		send(machineUnknown)
		return
	}
	unknown[report.Machine] = true
	go func() {
		status, err := hb.agents.Probe(term.ctx, report.Addr, probeTimeout)
		hb.loop.post(func() {
			delete(unknown, report.Machine)
			if hb.term.ownTerm != term || !hb.term.isActive() || err != nil || status.Machine != report.Machine ||
				hb.replica.model.Tombstones[report.Machine] {
				send(machineUnknown)
				return
			}
			send(hb.onUnknownAnswered(status))
		})
	}()
}

// onUnknownAnswered registers a machine that answered a probe, unless that was done meanwhile, and answers its
// heartbeat.
func (hb *heartbeats) onUnknownAnswered(status *wire.Heartbeat) result.Result {
	if hb.replica.model.ByName[status.Machine] == nil {
		hb.register(status)
	}
	machine := hb.replica.model.ByName[status.Machine]
	hb.observe(machine, status, hb.replica.model.BeginProbe(machine))
	hb.loop.requestRound()
	return hb.replyToMachine(machine)
}

// register logs a machine as its agent describes it.
func (hb *heartbeats) register(status *wire.Heartbeat) {
	hb.log.Info("machine registered", "machine", status.Machine, "type", status.Type, "zone", status.Zone,
		"spot", status.Spot)
	info := &model.MachineInfo{
		Name: status.Machine, Addr: status.Addr, Type: status.Type, Zone: status.Zone, Spot: status.Spot,
	}
	hb.commits.propose(model.NewMachine(hb.replica.model.NextMachine, time.Now().UnixMilli(), info))
}

// onProbeAnswer takes the answer of a machine to a probe.
func (hb *heartbeats) onProbeAnswer(machine *model.Machine, report *wire.Heartbeat, question *staleness.Question) {
	if hb.replica.model.Machines[machine.ID] != machine || report.Machine != machine.Info.Name {
		return
	}
	if machine.Suspect && hb.term.isActive() {
		// From here on its lease is renewed again.
		hb.log.Info("machine suspicion cleared", "machine", machine.Info.Name, "agent_epoch", report.AgentEpoch)
		hb.commits.propose(model.NewTrust(machine.ID))
		hb.loop.requestRound()
	}
	firstReport := !machine.Contact.Reported
	hb.observe(machine, report, question)
	machine.Contact.LastReport = hb.now()
	hb.loop.roundRequested = hb.loop.roundRequested || firstReport
}

// observe takes in a status, from a heartbeat or in answer to a question, and proposes what it proves. A stale one is
// nothing beyond that.
func (hb *heartbeats) observe(
	machine *model.Machine, report *wire.Heartbeat, question *staleness.Question,
) model.ReportVerdict {
	wasQuarantined := machine.Health.Quarantined
	wasPartitioned := machine.Contact.InboundPartitionSince != 0
	firstReport := !machine.Contact.Reported
	verdict := hb.replica.model.Observe(machine, report, question, hb.now())
	for _, entry := range verdict.Entries {
		hb.commits.propose(entry)
		hb.loop.requestRound()
	}
	if verdict.IsStale() {
		return verdict
	}
	term := hb.term.ownTerm
	term.heartbeats.lastHeartbeat = hb.now()
	term.probes.recordProbe(term.probes.zoneProbe(machine.Zone), true)
	hb.provisioning.recordAddr(machine, report.Addr)
	if firstReport && machine.Lifecycle.ProvisionedAt != 0 {
		bootRatio := autoscaler.BootRatio(hb.replica.model, machine, hb.now())
		hb.provisioning.autoscaler.OnBooted(machine.Type, machine.Zone, bootRatio)
	}
	switch {
	case verdict.Freshness == staleness.Restarted:
		hb.log.Info("agent restarted", "machine", machine.Info.Name, "agent_epoch", report.AgentEpoch,
			"seq", report.Seq, "tasks", len(machine.Runs))
		hb.dispatch.markForCommands(machine) // a token that its earlier incarnation can't have
	case verdict.Slow:
		hb.logSlow(machine)
	case machine.Health.Quarantined && !wasQuarantined:
		hb.logQuarantined(machine)
	}
	if partitioned := machine.Contact.InboundPartitionSince != 0; partitioned != wasPartitioned {
		hb.probes.logInboundPartition(machine)
	}
	if verdict.NeedsProbe {
		hb.probes.probeMachine(machine, nil)
	}
	hb.replica.model.SealReapable(machine, term.nextSeq())
	hb.followUp(machine, &verdict, firstReport && question != nil)
	return verdict
}

// followUp logs the jobs that a status shows to fail everywhere, and marks the machines that are to get commands for
// it; firstByProbe tells that it is the first status of the machine in this term and answers a question.
func (hb *heartbeats) followUp(machine *model.Machine, verdict *model.ReportVerdict, firstByProbe bool) {
	for _, j := range verdict.Faulty {
		hb.log.Info("job faulty, retrying with backoff", "job", j.Spec.ID, "class", j.Spec.Class,
			"failures", j.Observed.Errors)
	}
	for _, ready := range verdict.GangReady {
		hb.dispatch.markForCommands(ready)
	}
	if len(verdict.Entries) > 0 {
		hb.dispatch.markForCommands(machine) // the agent is to forget what is logged
	}
	if firstByProbe && machine.HasCancelledTask() {
		// Its next heartbeat may be long in coming, while it looks for this leader.
		hb.dispatch.markForCommands(machine)
	}
}

// logQuarantined logs that a machine was quarantined for the tasks that failed on it.
func (hb *heartbeats) logQuarantined(machine *model.Machine) {
	hb.log.Info("machine quarantined", "machine", machine.Info.Name, "failures", machine.Health.Failures)
}

// logSlow logs that a machine was found to be slow, and for how long it gets only services.
func (hb *heartbeats) logSlow(machine *model.Machine) {
	hb.log.Info("machine slow", "machine", machine.Info.Name, "tasks", len(machine.Runs),
		"duration", machine.Health.SlowUntil-hb.now())
}
