package controller

import (
	"time"

	"fieldhill/internal/agents/health"
	"fieldhill/internal/config"
	"fieldhill/internal/model"
	"fieldhill/internal/scheduling/scheduler"
)

// machineHealth performs the leader's periodic health checks: of machines that are silent, quarantined, slow or in a
// partitioned zone, and of the leader's own isolation. It collects the observations, lets package health decide, and
// applies the resulting actions through the components that own the probes, suspicions and releases.
//
// It owns no state except machineHealthTerm. In the model it writes three properties of a machine: the time of the last
// heartbeat after a stall (resetFailureDetectors), the inbound partition, and the fencing token.
type machineHealth struct {
	*environment
	commits      *commitPipeline
	heartbeats   *heartbeats
	leases       *leaseRenewal
	loop         *eventLoop
	probes       *probes
	provisioning *provisioning
	replica      *replica
	rounds       *schedulingRounds
	term         *termState
	zones        *zoneLiveness
}

// machineHealthTerm is the state of machineHealth for one leadership term; only machineHealth writes it, on the event
// loop.
type machineHealthTerm struct {
	detector health.Detector
}

// resetFailureDetectors moves the start of the silence detection forward by the time in which this controller did not
// process messages. A process that was suspended or starved of CPU finds all machines silent at once, while their
// heartbeats are still unread. Short delays count as well: an event loop that is repeatedly late by less than a second
// receives the heartbeats of only part of the fleet. Without this, 400 healthy machines can be released as silent
// within 3 s while a third of the fleet is about to be replaced after a cloud outage.
func (mh *machineHealth) resetFailureDetectors(delay time.Duration) {
	now := mh.now()
	for _, machine := range mh.replica.model.MachinesInOrder {
		machine.Contact.LastReport = min(now, machine.Contact.LastReport+delay)
	}
	if delay+maintenanceInterval <= stallThreshold {
		return
	}
	mh.log.Info("event loop stalled", "duration", delay+maintenanceInterval)
	if term := mh.term.ownTerm; term != nil {
		term.health.detector.ResetIsolation()
		term.heartbeats.lastHeartbeat = now
	}
}

// healthRules returns the thresholds of the health checks, from the settings.
func (mh *machineHealth) healthRules() *health.Rules {
	return &health.Rules{
		HeartbeatS:         mh.settings.Params.Workers.HeartbeatS,
		ProbeAfter:         mh.probeAfter(),
		SilentAfter:        mh.silentAfter(),
		CancelReleaseDelay: mh.cancelReleaseDelay(),
		Zones:              len(mh.settings.Params.Zones),
	}
}

// cancelReleaseDelay is how long a machine of a partitioned zone may hold tasks of a cancelled job before the machine
// is released. Unless its agent hangs, the agent ends these tasks itself in this time; the rest of the cancellation
// deadline is left for the cloud to release the machine.
func (mh *machineHealth) cancelReleaseDelay() model.Time {
	return config.Seconds(mh.settings.Params.Workers.CancelS * 3 / 4)
}

// checkMachineHealth checks all machines and applies the resulting actions: among others, it releases machines that are
// silent, quarantined or failed to boot, and those of a partitioned zone whose work may run elsewhere.
func (mh *machineHealth) checkMachineHealth(term *leaderTerm) {
	now, rules := mh.now(), mh.healthRules()
	census := &health.Census{}
	for _, machine := range mh.replica.model.MachinesInOrder {
		observed := observeMachine(machine, now)
		census.Add(rules, &observed)
	}
	mh.checkSelfIsolation(term, rules, census)
	mh.leases.queryRenewals(term)
	round := term.health.detector.Begin(rules, census, now, term.provisioning.cloudUnavailable)
	evidence := &healthEvidence{machineHealth: mh, ownTerm: term, now: now}
	for _, machine := range mh.replica.model.MachinesInOrder {
		mh.checkTaskHealth(machine, round.ChecksLateness(), now)
		evidence.machine = machine
		observed := observeMachine(machine, now)
		observed.Unresponsive = term.probes.unresponsive[machine] && !machine.Contact.Reported
		for _, action := range round.Judge(&observed, evidence) {
			mh.applyAction(machine, action, now)
		}
	}
	settleTime := mh.silentAfter() + bootSettleTime
	for _, machine := range mh.provisioning.autoscaler.CheckBoots(
		mh.replica.model, time.Now().UnixMilli(), now, settleTime,
	) {
		if round.ReleasesUnbooted(machine.Zone) {
			mh.provisioning.releaseMachine(machine, string(health.BootTimedOut))
		}
	}
	if round.QueriesPartitions() {
		mh.zones.queryIfDue(term)
	}
}

// bootSettleTime is how long after the silence limit a new leader waits for the report of a machine that is already
// running, before the machine's boot counts as failed.
const bootSettleTime = 10 * time.Second

// observeMachine returns the observations of a machine that package health evaluates.
func observeMachine(machine *model.Machine, now model.Time) health.Machine {
	return health.Machine{
		Zone:               machine.Zone,
		Reported:           machine.Contact.Reported,
		Occupied:           len(machine.Runs) > 0,
		HasAddr:            machine.Info.Addr != "",
		Suspect:            machine.Suspect,
		Releasing:          machine.Releasing,
		Quarantined:        machine.Health.Quarantined,
		InboundPartitioned: machine.Contact.InboundPartitionSince != 0,
		SinceHeartbeat:     now - machine.Contact.LastReport,
		SilentFor:          machine.SilentFor(now),
	}
}

// checkTaskHealth updates the model's judgment of a machine by its tasks: whether the machine is slow, and whether it
// is to be quarantined because of task failures.
func (mh *machineHealth) checkTaskHealth(machine *model.Machine, checkSlow bool, now model.Time) {
	if checkSlow && mh.replica.model.DetectSlow(machine, now) {
		mh.heartbeats.logSlow(machine)
	}
	if machine.Health.CordonedSince == 0 {
		return
	}
	wasQuarantined := machine.Health.Quarantined
	mh.replica.model.UpdateQuarantine(machine, now)
	switch {
	case machine.Health.Quarantined && !wasQuarantined:
		mh.heartbeats.logQuarantined(machine)
	case machine.Health.CordonedSince == 0:
		mh.loop.requestRound() // the machine is usable again
		if wasQuarantined {
			mh.log.Info("machine no longer quarantined", "machine", machine.Info.Name, "tasks", len(machine.Runs))
		}
	}
}

// applyAction applies an action that package health decided on for a machine.
func (mh *machineHealth) applyAction(machine *model.Machine, action health.Action, now model.Time) {
	switch action.Kind {
	case health.RaiseToken:
		mh.replica.model.RaiseToken(machine)
	case health.Probe:
		mh.probes.probeSilent(machine, false)
	case health.MarkPartitioned:
		machine.MarkInboundPartition(now)
	case health.MarkSuspect:
		mh.markSuspect(machine)
	case health.Release:
		mh.provisioning.releaseMachine(machine, string(action.Reason))
	}
}

// markSuspect marks a machine as suspect, so that its lease expires. Afterwards the machine is released if its work may
// run elsewhere; otherwise it is kept and used again when the partition ends.
func (mh *machineHealth) markSuspect(machine *model.Machine) {
	mh.log.Info("machine suspect, zone partitioned", "machine", machine.Info.Name, "zone", machine.Info.Zone,
		"tasks", len(machine.Runs))
	seq := mh.commits.propose(model.NewSuspicion(machine.ID))
	mh.commits.whenCommitted(seq, func(ok bool) {
		if ok {
			machine.SuspicionCommitted(seq, mh.now())
		}
	})
}

// checkSelfIsolation detects that machines cannot reach this controller, although they may reach others. As package
// health decides, it probes some of the machines to verify this, or resigns, so that another controller can lead.
func (mh *machineHealth) checkSelfIsolation(term *leaderTerm, rules *health.Rules, census *health.Census) {
	now := mh.now()
	reach := health.Reach{
		SinceHeartbeat:   now - term.heartbeats.lastHeartbeat,
		SinceGracePeriod: time.Since(term.leadership.reportGraceEnd),
	}
	for _, link := range mh.links {
		reach.PeerReachable = reach.PeerReachable || time.Since(link.LastResponse()) < linkTimeout
	}
	switch term.health.detector.CheckIsolation(rules, census, reach, now) {
	case health.ProbeMachines:
		stride := health.ProbeStride(len(mh.replica.model.MachinesInOrder))
		for i, machine := range mh.replica.model.MachinesInOrder {
			if i%stride == 0 {
				mh.probes.probeSilent(machine, false)
			}
		}
	case health.Resign:
		mh.resign(term, census)
	}
}

// resign ends the term with errHeartbeatsMissing.
func (mh *machineHealth) resign(term *leaderTerm, census *health.Census) {
	total, silent := census.Totals()
	mh.log.Info("leadership resigned, heartbeats missing", "machines", total, "silent", silent)
	mh.term.resign(term, errHeartbeatsMissing)
}

// healthEvidence implements health.Evidence: it provides package health with details about one machine at a time during
// a round of checks.
type healthEvidence struct {
	*machineHealth
	ownTerm *leaderTerm
	now     model.Time
	machine *model.Machine
}

// CancelledFor returns the longest time for which a job with a task on the machine has been cancelled.
func (e *healthEvidence) CancelledFor() model.Time {
	return e.replica.model.CancelledFor(e.machine, e.now)
}

// Cleared reports whether, according to a fresh partition report, a controller on the machine's side of a partition
// found no task of a cancelled job on the machine.
func (e *healthEvidence) Cleared() bool { return e.ownTerm.zones.isCleared(e.machine.ID) }

// LeaseExpired reports whether the machine's lease has certainly expired.
func (e *healthEvidence) LeaseExpired() bool {
	return e.machine.LeaseExpired(e.settings.StaleRenewalLimit(), e.leaseDuration(),
		e.leases.latestOwnRenewal(e.machine), e.now, len(e.settings.Members))
}

// MovableTasks describes the work on the machine that may run in another zone: whether any of it is urgent, and the
// resources that the low-priority rest needs.
func (e *healthEvidence) MovableTasks() (urgent bool, low health.Resources) {
	urgent, resources := scheduler.MovableTasks(e.machine)
	return urgent, health.Resources{CPUs: resources.CPUs, GPUs: resources.GPUs}
}

// FreeOutsideZone returns the resources in the other zones that are free for low-priority work, without the headroom
// reserved for services.
func (e *healthEvidence) FreeOutsideZone() health.Resources {
	outside := scheduler.FreeOutsideZone(e.replica.model, e.machine.Zone)
	return health.Resources{CPUs: outside.CPUs - e.rounds.scheduler.ServiceHeadroom, GPUs: outside.GPUs}
}

// ZoneMayBeAlive reports whether work in the machine's zone may continue under another controller.
func (e *healthEvidence) ZoneMayBeAlive() bool {
	return e.zones.mayBeAlive(e.ownTerm, e.replica.model.Zones.Name(e.machine.Zone))
}
