package controller

import (
	"time"

	"fieldhill/internal/agents/staleness"
	"fieldhill/internal/model"
	"fieldhill/internal/result"
	"fieldhill/internal/scheduling/autoscaler"
	"fieldhill/wire"
)

// heartbeats processes agents' status reports on the leader, from heartbeats and from the responses to probes and
// direct commands, and reconciles them with the replicated state: the model determines what a report proves, and
// heartbeats proposes the resulting log entries.
type heartbeats struct {
	*environment
	commandLog   *commandLog
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

// heartbeatsTerm is the state of heartbeats for one leadership term. machineHealth also sets lastHeartbeat, after a
// stall of the event loop.
type heartbeatsTerm struct {
	lastHeartbeat   model.Time      // when a heartbeat from any machine was last received
	unknownMachines map[string]bool // unregistered machines that are being probed
}

// Responses to agents whose heartbeats do not renew the lease.
var (
	machineReleased     = result.Unavailable{Reason: "this machine was returned", RetryAfter: time.Second}
	machineUnknown      = result.Unavailable{Reason: "this machine is not known", RetryAfter: time.Second}
	machineUnresponsive = result.Unavailable{Reason: "this machine does not answer", RetryAfter: time.Second}
	leaseExpiring       = result.Unavailable{Reason: "its lease is to run out", RetryAfter: time.Second}
)

// onReportAsLeader processes a heartbeat that arrived at this controller or through a relay; node is the index in the
// relay table of the controller at which it arrived.
func (hb *heartbeats) onReportAsLeader(report *wire.Heartbeat, node int, send func(result.Result)) {
	machine := hb.replica.model.MachinesByName[report.Machine]
	if answer := hb.rejectReport(machine, report); answer != nil {
		send(answer)
		return
	}
	switch {
	case machine == nil:
		hb.onUnknownMachine(report, send)
	case machine.Suspect:
		hb.onSuspectReport(machine, report, send)
	default:
		send(hb.acceptReport(machine, report, node))
	}
}

// rejectReport returns the response to a heartbeat that this leader must not process, or nil if the heartbeat is to be
// processed. machine is nil if no log entry registers the sender.
func (hb *heartbeats) rejectReport(machine *model.Machine, report *wire.Heartbeat) result.Result {
	active := hb.term.isActive()
	switch {
	case hb.isOfLaterTerm(report.FencingToken):
		return result.Redirected{} // the machine's agent has accepted a later term than this one
	case !hb.leases.mayRenew():
		// No controller may extend leases beyond the stale renewal limit: a cancellation that the controller does not
		// know of must take effect within cancel_s.
		return result.NoLeader{}
	case !active && hb.leadership.hasPossibleSuccessor() && !hb.keepalives.retainsAgent(report.Machine, false):
		return result.Redirected{} // another controller may be the leader, or soon will be
	case hb.replica.model.Tombstones[report.Machine]:
		return machineReleased
	case machine == nil && !active:
		return hb.keepalives.renewAsFollower(report)
	case machine != nil && machine.Suspect && !active:
		return result.NoLeader{}
	}
	return nil
}

// isOfLaterTerm reports whether a fencing token belongs to a later term than this one.
func (hb *heartbeats) isOfLaterTerm(token uint64) bool {
	return token >= hb.replica.model.MinToken+1<<machineTokenBits
}

// acceptReport processes and answers the heartbeat of a registered machine that is not suspect.
func (hb *heartbeats) acceptReport(machine *model.Machine, report *wire.Heartbeat, node int) result.Result {
	if to, move := hb.assignments.redirectTarget(machine, node); move {
		hb.metrics.Reassigned.Inc()
		return result.Redirected{Node: to}
	}
	firstReport := !machine.Contact.Reported
	verdict := hb.observe(machine, report, nil)
	if verdict.IsStale() {
		return hb.replyToStale(machine, report)
	}
	if firstReport {
		hb.loop.requestRound()
	}
	return hb.replyToMachine(machine)
}

// replyToStale answers a heartbeat that may be a delayed duplicate or come from an agent process that a restart has
// replaced, and probes the machine. If the sending process no longer exists, the response has no effect. The response
// renews the lease but contains no stop commands, so the lease of an agent whose probe responses do not arrive is
// renewed only until the stale renewal limit, as by a controller that does not know of cancellations.
func (hb *heartbeats) replyToStale(machine *model.Machine, report *wire.Heartbeat) result.Result {
	hb.replica.model.FenceUnprovenAgent(machine, report)
	hb.probes.probeMachine(machine, nil)
	if hb.now()-machine.Contact.LastReport > hb.settings.StaleRenewalLimit() {
		return machineUnresponsive
	}
	return hb.leases.renew(machine.Info.Name, hb.replica.model.Token(machine), []wire.Command{})
}

// replyToMachine returns the response to a machine whose status report was processed: its lease is renewed, and it gets
// its commands.
func (hb *heartbeats) replyToMachine(machine *model.Machine) result.Result {
	if !hb.leases.mayRenew() {
		return result.NoLeader{}
	}
	committed := hb.term.ownTerm.commits.committedSeq
	commands := hb.replica.model.Commands(machine, committed, true)
	if hb.replica.model.NeedsDirectReap(machine, committed) {
		hb.dispatch.markForCommands(machine)
	}
	token := hb.replica.model.Token(machine)
	machine.Contact.Reports.RecordResponse(token)
	hb.commandLog.logSent(machine, commands, token, pathResponse)
	return hb.leases.renew(machine.Info.Name, token, commands)
}

// onSuspectReport processes the heartbeat of a suspect machine, whose lease is to expire. A response that renews the
// lease is sent only after the machine has responded to a new probe, which clears the suspicion. Otherwise a duplicate
// of a heartbeat from before the partition, or each heartbeat of an agent that can send but receives nothing, would
// restart the wait for the lease expiry.
func (hb *heartbeats) onSuspectReport(machine *model.Machine, report *wire.Heartbeat, send func(result.Result)) {
	if machine.Contact.Reported {
		hb.observe(machine, report, nil) // the epoch and sequence number are valid evidence despite the suspicion
	}
	term := hb.term.ownTerm
	onProbed := func() {
		if hb.term.ownTerm == term && hb.term.isActive() && hb.replica.model.Machines[machine.ID] == machine &&
			!machine.Suspect {
			send(hb.replyToMachine(machine))
		} else {
			send(leaseExpiring)
		}
	}
	if !hb.probes.probeMachine(machine, onProbed) {
		send(leaseExpiring)
	}
}

// onUnknownMachine processes the heartbeat of a machine that no log entry registers: a machine whose provisioning
// request got no response, or one that no longer exists and whose heartbeat was delayed. The machine is registered once
// it responds to a probe or appears in the cloud listing.
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
			send(hb.onUnknownMachineProbed(status))
		})
	}()
}

// onUnknownMachineProbed registers a machine that responded to a probe, unless it was registered meanwhile, and answers
// the machine's heartbeat.
func (hb *heartbeats) onUnknownMachineProbed(status *wire.Heartbeat) result.Result {
	if hb.replica.model.MachinesByName[status.Machine] == nil {
		hb.register(status)
	}
	machine := hb.replica.model.MachinesByName[status.Machine]
	hb.observe(machine, status, hb.replica.model.BeginProbe(machine))
	hb.loop.requestRound()
	return hb.replyToMachine(machine)
}

// register proposes a log entry that registers a machine as described by its agent.
func (hb *heartbeats) register(status *wire.Heartbeat) {
	hb.log.Info("machine registered", "machine", status.Machine, "type", status.Type, "zone", status.Zone,
		"spot", status.Spot)
	info := &model.MachineInfo{
		Name: status.Machine, Addr: status.Addr, Type: status.Type, Zone: status.Zone, Spot: status.Spot,
	}
	hb.commits.propose(model.NewMachine(hb.replica.model.NextMachine, time.Now().UnixMilli(), info))
}

// onProbeAnswer processes the response of a machine to a probe. The response clears the machine's suspicion.
func (hb *heartbeats) onProbeAnswer(machine *model.Machine, report *wire.Heartbeat, baseline *staleness.ProbeBaseline) {
	if hb.replica.model.Machines[machine.ID] != machine || report.Machine != machine.Info.Name {
		return
	}
	if machine.Suspect && hb.term.isActive() {
		// From here on the machine's lease is renewed again.
		hb.log.Info("machine suspicion cleared", "machine", machine.Info.Name, "agent_epoch", report.AgentEpoch)
		hb.commits.propose(model.NewSuspicionCleared(machine.ID))
		hb.loop.requestRound()
	}
	firstReport := !machine.Contact.Reported
	hb.observe(machine, report, baseline)
	machine.Contact.LastReport = hb.now()
	hb.loop.roundRequested = hb.loop.roundRequested || firstReport
}

// observe records a status report, from a heartbeat or in response to a request, and proposes the log entries that
// follow from the report. baseline is what BeginProbe returned for the request, or nil for a heartbeat. A stale report
// has no further effect.
func (hb *heartbeats) observe(
	machine *model.Machine, report *wire.Heartbeat, baseline *staleness.ProbeBaseline,
) model.ReportVerdict {
	wasQuarantined := machine.Health.Quarantined
	wasPartitioned := machine.Contact.InboundPartitionSince != 0
	firstReport := !machine.Contact.Reported
	verdict := hb.replica.model.Observe(machine, report, baseline, hb.now())
	for _, entry := range verdict.Entries {
		hb.commits.propose(entry)
		hb.loop.requestRound()
	}
	if verdict.IsStale() {
		return verdict
	}
	term := hb.term.ownTerm
	term.heartbeats.lastHeartbeat = hb.now()
	term.probes.recordProbe(term.probes.zoneCounts(machine.Zone), true)
	hb.provisioning.recordAddr(machine, report.Addr)
	if firstReport && machine.Lifecycle.ProvisionedAt != 0 {
		bootRatio := autoscaler.BootRatio(hb.replica.model, machine, hb.now())
		hb.provisioning.autoscaler.OnBooted(machine.Type, machine.Zone, bootRatio)
	}
	switch {
	case verdict.Freshness == staleness.Restarted:
		hb.log.Info("agent restarted", "machine", machine.Info.Name, "agent_epoch", report.AgentEpoch,
			"seq", report.Seq, "tasks", len(machine.Runs))
		hb.dispatch.markForCommands(machine) // under a new token, which the agent's previous process cannot have
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
	hb.replica.model.SetReapableSeq(machine, term.nextSeq())
	hb.applyVerdict(machine, &verdict, firstReport && baseline != nil)
	return verdict
}

// applyVerdict logs the jobs that, according to the verdict on a report, fail on every machine or no longer do, and the
// attempts that cannot be on the machine. It marks the machines that need commands because of the report. firstByProbe
// reports whether this is the machine's first report in this term and was requested by this controller.
func (hb *heartbeats) applyVerdict(machine *model.Machine, verdict *model.ReportVerdict, firstByProbe bool) {
	for _, j := range verdict.Faulty {
		hb.log.Info("job faulty, retrying with backoff", "job", j.Spec.ID, "class", j.Spec.Class,
			"failures", j.Observed.Errors)
	}
	for _, j := range verdict.Cleared {
		hb.log.Info("job no longer faulty", "job", j.Spec.ID, "class", j.Spec.Class, "failures", j.Observed.Errors)
		hb.loop.requestRound()
	}
	if verdict.UnexpectedCount > 0 && !hb.isOfLaterTerm(machine.Contact.Reports.Token()) {
		hb.logUnexpected(machine, verdict)
	}
	for _, ready := range verdict.GangReadyMachines {
		hb.dispatch.markForCommands(ready)
	}
	if len(verdict.Entries) > 0 {
		hb.dispatch.markForCommands(machine) // the agent is to discard finished tasks whose ends are logged
	}
	if firstByProbe && machine.HasCancelledTask() {
		// The machine's next heartbeat may be delayed while its agent searches for this leader.
		hb.dispatch.markForCommands(machine)
	}
}

// logUnexpected counts the attempts that a machine lists although they cannot be there, and logs the first of them.
// They show that the machine has executed a command that it should not have received, or that its report is wrong.
func (hb *heartbeats) logUnexpected(machine *model.Machine, verdict *model.ReportVerdict) {
	hb.metrics.UnexpectedAttempts.Add(verdict.UnexpectedCount)
	first := verdict.Unexpected[0]
	hb.log.Warn("unexpected attempt listed", "machine", machine.Info.Name, "task", first.Task, "attempt", first.Attempt,
		"state", first.State, "reason", string(first.Reason), "count", verdict.UnexpectedCount,
		"agent_epoch", machine.Contact.AgentEpoch, "seq", machine.Contact.Reports.Number().Seq,
		"token", machine.Contact.Reports.Token())
}

func (hb *heartbeats) logQuarantined(machine *model.Machine) {
	hb.log.Info("machine quarantined", "machine", machine.Info.Name, "failures", machine.Health.Failures)
}

// logSlow logs that a machine was found to be slow, and for how long it will be assigned services only.
func (hb *heartbeats) logSlow(machine *model.Machine) {
	hb.log.Info("machine slow", "machine", machine.Info.Name, "tasks", len(machine.Runs),
		"duration", machine.Health.SlowUntil-hb.now())
}
