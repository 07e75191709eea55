package controller

import (
	"net/http"
	"time"

	"fieldhill/internal/agents/staleness"
	"fieldhill/internal/api"
	"fieldhill/internal/model"
	"fieldhill/internal/rpc"
	"fieldhill/internal/scheduling/autoscaler"
	"fieldhill/wire"
)

// heartbeats takes agents' status in as the leader and reconciles it with the state.
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

// heartbeatsTerm is what heartbeats keeps for one term of leadership.
type heartbeatsTerm struct {
	lastHeartbeat   model.Time      // when any machine was last heard of
	unknownMachines map[string]bool // machines that nobody knows, and that are being asked
}

// onReportAsLeader takes a report that came to this node, or through another one, by its index in the table of seats.
func (hb *heartbeats) onReportAsLeader(report *wire.Heartbeat, node int, send func(*rpc.Response)) {
	machine := hb.replica.model.ByName[report.Machine]
	switch {
	case report.FencingToken >= hb.replica.model.TermBase+1<<machineTokenBits:
		// The worker obeys a later term than this node's.
		send(api.Encode(http.StatusMisdirectedRequest, &wire.Redirect{}))
		return
	case !hb.leases.mayRenew():
		// Nobody may keep leases alive for longer than a cancellation that this
		// node can't know of leaves.
		send(api.RetryLater("no leader at the moment", 1))
		return
	case !hb.term.isActive() && hb.leadership.hasPossibleSuccessor() && !hb.keepalives.retainsWorker(report.Machine, false):
		// Another node may lead by now, or will soon.
		send(api.Encode(http.StatusMisdirectedRequest, &wire.Redirect{}))
		return
	case hb.replica.model.Tombstones[report.Machine]:
		send(api.RetryLater("this machine was returned", 1))
		return
	case machine == nil && !hb.term.isActive():
		send(hb.keepalives.renewAsFollower(report))
		return
	case machine == nil:
		hb.onUnknownMachine(report, send)
		return
	case machine.Suspect && !hb.term.isActive():
		send(api.RetryLater("no leader at the moment", 1))
		return
	case machine.Suspect:
		hb.onSuspectReport(machine, report, send)
		return
	}
	if to, move := hb.assignments.redirectTarget(machine, node); move {
		hb.metrics.Reassigned.Inc()
		send(api.Encode(http.StatusMisdirectedRequest, &wire.Redirect{Node: to}))
		return
	}
	firstReport := !machine.Contact.Reported
	verdict := hb.observe(machine, report, nil)
	if verdict.IsStale() {
		// It may be a copy from the past, or the word of a worker that began anew. It is answered, which is nothing
		// to whoever is not there, and asked. It is told nothing that it has to stop, though, so one whose answers to
		// questions do not arrive is not kept for longer than by a node that knows nothing of cancellations.
		hb.probes.probeMachine(machine, nil)
		if hb.now()-machine.Contact.LastReport > hb.settings.StaleRenewalLimit() {
			send(api.RetryLater("this machine does not answer", 1))
			return
		}
		send(hb.leases.renew(report.Machine, hb.replica.model.Token(machine), []wire.Command{}))
		return
	}
	if firstReport {
		hb.loop.roundRequested = true
	}
	send(hb.replyToMachine(machine))
}

// replyToMachine is the answer to the report of a machine that was taken in.
func (hb *heartbeats) replyToMachine(machine *model.Machine) *rpc.Response {
	if !hb.leases.mayRenew() {
		return api.RetryLater("no leader at the moment", 1)
	}
	machine.Contact.Reports.RecordAnswer(hb.replica.model.Token(machine))
	return hb.leases.renew(
		machine.Info.Name,
		hb.replica.model.Token(machine),
		hb.replica.model.Commands(machine, hb.term.ownTerm.commits.committedSeq, true),
	)
}

// onSuspectReport takes the report of a machine whose lease is to run out. Before it is answered, which renews the
// lease, the suspicion is taken back by an entry; and that is done only if the machine answers now: a copy of a
// report from before the cut, or the word of one that hears nothing, would begin the count anew, again and again.
func (hb *heartbeats) onSuspectReport(machine *model.Machine, report *wire.Heartbeat, send func(*rpc.Response)) {
	if machine.Contact.Reported {
		hb.observe(machine, report, nil) // what it proves by its numbers, it proves all the same
	}
	term := hb.term.ownTerm
	if !hb.probes.probeMachine(machine, func() {
		if hb.term.ownTerm == term && hb.term.isActive() && hb.replica.model.Machines[machine.ID] == machine &&
			!machine.Suspect {
			send(hb.replyToMachine(machine))
		} else {
			send(api.RetryLater("its lease is to run out", 1))
		}
	}) {
		send(api.RetryLater("its lease is to run out", 1))
	}
}

// onUnknownMachine takes the report of a machine that nobody knows: a rental whose answer was lost, or a copy from
// one that is long gone. It counts as a machine once it answers, or the cloud lists it.
func (hb *heartbeats) onUnknownMachine(report *wire.Heartbeat, send func(*rpc.Response)) {
	term := hb.term.ownTerm
	refusal := api.RetryLater("this machine is not known", 1)
	if len(term.heartbeats.unknownMachines) >= hb.probes.maxFollowUpProbes ||
		term.heartbeats.unknownMachines[report.Machine] {
		send(refusal)
		return
	}
	term.heartbeats.unknownMachines[report.Machine] = true
	go func() {
		answer, err := hb.agents.Probe(term.ctx, report.Addr, probeTimeout)
		hb.loop.post(func() {
			delete(term.heartbeats.unknownMachines, report.Machine)
			if hb.term.ownTerm != term || !hb.term.isActive() || err != nil || answer.Machine != report.Machine ||
				hb.replica.model.Tombstones[report.Machine] {
				send(refusal)
				return
			}
			if hb.replica.model.ByName[report.Machine] == nil {
				hb.log.Info("machine registered", "machine", report.Machine, "type", answer.Type,
					"zone", answer.Zone, "spot", answer.Spot)
				hb.commits.propose(
					&model.Entry{
						Kind:    model.EntryMachine,
						Machine: hb.replica.model.NextMachine,
						At:      time.Now().UnixMilli(),
						Info: &model.MachineInfo{
							Name: answer.Machine,
							Addr: answer.Addr,
							Type: answer.Type,
							Zone: answer.Zone,
							Spot: answer.Spot,
						},
					},
				)
			}
			machine := hb.replica.model.ByName[report.Machine]
			hb.observe(machine, answer, hb.replica.model.BeginProbe(machine))
			hb.loop.roundRequested = true
			send(hb.replyToMachine(machine))
		})
	}()
}

const (
	// ordersTimeout is how long a worker has to answer a direct command.
	ordersTimeout = 3 * time.Second
	// probeTimeout is how long such a machine has to answer.
	probeTimeout = 1200 * time.Millisecond
	// probeInterval is how often one is asked at most, unless somebody waits for the answer.
	probeInterval = time.Second
)

// onProbeAnswer takes the answer of a machine that was asked how it is.
func (hb *heartbeats) onProbeAnswer(machine *model.Machine, report *wire.Heartbeat, question *staleness.Question) {
	if hb.replica.model.Machines[machine.ID] != machine || report.Machine != machine.Info.Name {
		return
	}
	if machine.Suspect && hb.term.isActive() {
		// From here on its lease is renewed again.
		hb.log.Info("machine suspicion cleared", "machine", machine.Info.Name, "agent_epoch", report.AgentEpoch)
		hb.commits.propose(&model.Entry{Kind: model.EntryTrust, Machine: machine.ID})
		hb.loop.roundRequested = true
	}
	firstReport := !machine.Contact.Reported
	hb.observe(machine, report, question)
	machine.Contact.LastReport = hb.now()
	hb.loop.roundRequested = hb.loop.roundRequested || firstReport
}

// observe takes in a report, or the answer to a question, and logs what it proves.
func (hb *heartbeats) observe(
	machine *model.Machine,
	report *wire.Heartbeat,
	question *staleness.Question,
) model.ReportVerdict {
	wasQuarantined, wasPartitioned, firstReport := machine.Health.Quarantined, machine.Contact.InboundPartitionSince != 0, !machine.Contact.Reported
	verdict := hb.replica.model.Observe(machine, report, question, hb.now())
	for _, e := range verdict.Entries {
		hb.commits.propose(e)
		hb.loop.roundRequested = true
	}
	if verdict.IsStale() {
		return verdict
	}
	hb.term.ownTerm.heartbeats.lastHeartbeat = hb.now()
	hb.term.ownTerm.recordProbe(hb.term.ownTerm.zoneProbe(machine.Zone), true)
	hb.provisioning.recordAddr(machine, report.Addr)
	if firstReport && machine.Lifecycle.ProvisionedAt != 0 {
		hb.provisioning.autoscaler.OnBooted(
			machine.Type,
			machine.Zone,
			autoscaler.BootRatio(hb.replica.model, machine, hb.now()),
		)
	}
	switch {
	case verdict.Freshness == staleness.Restarted:
		hb.log.Info("agent restarted", "machine", machine.Info.Name, "agent_epoch", report.AgentEpoch,
			"seq", report.Seq, "tasks", len(machine.Runs))
		hb.dispatch.markForCommands(machine) // a token that its earlier life can't have
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
	hb.replica.model.SealReapable(machine, hb.term.ownTerm.nextSeq())
	for _, j := range verdict.Faulty {
		hb.log.Info("job faulty, retrying with backoff", "job", j.Spec.ID, "class", j.Spec.Class,
			"failures", j.Observed.Errors)
	}
	for _, o := range verdict.GangReady {
		hb.dispatch.markForCommands(o)
	}
	if len(verdict.Entries) > 0 {
		hb.dispatch.markForCommands(machine) // the worker is told to forget what is logged
	}
	if firstReport && question != nil && machine.HasCancelledTask() {
		hb.dispatch.markForCommands(machine) // its next report may be long in coming, while it looks for this leader
	}
	return verdict
}

func (hb *heartbeats) logQuarantined(machine *model.Machine) {
	hb.log.Info("machine quarantined", "machine", machine.Info.Name, "failures", machine.Health.Failures)
}

func (hb *heartbeats) logSlow(machine *model.Machine) {
	hb.log.Info("machine slow", "machine", machine.Info.Name, "tasks", len(machine.Runs),
		"duration", machine.Health.SlowUntil-hb.now())
}
