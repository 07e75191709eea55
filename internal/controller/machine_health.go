package controller

import (
	"time"

	"fieldhill/internal/agents/health"
	"fieldhill/internal/config"
	"fieldhill/internal/model"
	"fieldhill/internal/scheduling/scheduler"
)

// machineHealth is what the leader judges and does regularly about machines that are silent, quarantined, slow or in a
// partitioned zone, and about its own isolation. It gathers what is observed of them, has package health decide, and
// carries the actions out: probes, suspicions and releases go through the components that own them.
//
// It owns no state beyond its part of a term (machineHealthTerm). Of what the model keeps it writes when a heartbeat
// counts as received after a stall (resetFailureDetectors), that a machine is inbound partitioned, and its token.
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

// machineHealthTerm is what machineHealth keeps for one term of leadership; it alone writes it, in the loop.
type machineHealthTerm struct {
	detector health.Detector
}

// resetFailureDetectors begins the detection of silence anew by as much as this controller did not listen itself: a
// process that was stopped, or starved, finds everybody silent at once, and what they sent meanwhile is still to be
// read. One that is late again and again, never for a second, receives the heartbeats of a part of the fleet only: four
// hundred machines that were well were once released as silent within three seconds, when the cloud was back and a
// third of the fleet was to be replaced.
func (mh *machineHealth) resetFailureDetectors(delay time.Duration) {
	now := mh.now()
	for _, machine := range mh.replica.model.Order {
		machine.Contact.LastReport = min(now, machine.Contact.LastReport+delay)
	}
	if delay+maintenanceInterval <= stallThreshold {
		return
	}
	mh.log.Info("event loop stalled", "duration", delay+maintenanceInterval)
	if term := mh.term.ownTerm; term != nil {
		term.health.detector.OnStall()
		term.heartbeats.lastHeartbeat = now
	}
}

// healthRules are the bounds by which machines are judged, from the settings.
func (mh *machineHealth) healthRules() *health.Rules {
	return &health.Rules{
		HeartbeatS:     mh.settings.Params.Workers.HeartbeatS,
		ProbeAfter:     mh.probeAfter(),
		SilentAfter:    mh.silentAfter(),
		CancelPatience: mh.cancelPatience(),
		Zones:          len(mh.settings.Params.Zones),
	}
}

// cancelPatience is for how long a cancelled job may keep tasks on a machine of a partitioned zone before the machine
// is released: its agent ends them in time by itself, unless it hangs, and the rest of the time that a cancellation has
// is for the cloud.
func (mh *machineHealth) cancelPatience() model.Time {
	return config.Seconds(mh.settings.Params.Workers.CancelS * 3 / 4)
}

// checkMachineHealth judges all machines and does what follows from it: it releases those that are silent, quarantined
// or never came up, and those of a partitioned zone whose work is needed elsewhere.
func (mh *machineHealth) checkMachineHealth(term *leaderTerm) {
	now, rules := mh.now(), mh.healthRules()
	census := &health.Census{}
	for _, machine := range mh.replica.model.Order {
		observed := observeMachine(machine, now)
		census.Add(rules, &observed)
	}
	mh.checkSelfIsolation(term, rules, census)
	mh.leases.queryRenewals(term)
	round := term.health.detector.Begin(rules, census, now, term.provisioning.cloudUnavailable)
	evidence := &healthEvidence{machineHealth: mh, ownTerm: term, now: now}
	for _, machine := range mh.replica.model.Order {
		mh.judgeTasks(machine, round.ChecksLateness(), now)
		evidence.machine = machine
		observed := observeMachine(machine, now)
		for _, action := range round.Judge(&observed, evidence) {
			mh.carryOut(machine, action, now)
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

// bootSettleTime is what machines that are up get beyond the limit of silence to report to a new leader, before they
// count as not booted.
const bootSettleTime = 10 * time.Second

// observeMachine is what this controller has observed of a machine, for package health to judge.
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

// judgeTasks has the model judge a machine by the tasks on it: whether it is slow, and whether it is to be quarantined
// for those that failed.
func (mh *machineHealth) judgeTasks(machine *model.Machine, checkSlow bool, now model.Time) {
	if checkSlow && mh.replica.model.DetectSlow(machine, now) {
		mh.heartbeats.logSlow(machine)
	}
	if machine.Health.DoubtSince == 0 || machine.Health.Quarantined {
		return
	}
	mh.replica.model.UpdateQuarantine(machine, now)
	switch {
	case machine.Health.Quarantined:
		mh.heartbeats.logQuarantined(machine)
	case machine.Health.DoubtSince == 0:
		mh.loop.requestRound() // of use again: its jobs fail elsewhere too
	}
}

// carryOut does what was decided about a machine.
func (mh *machineHealth) carryOut(machine *model.Machine, action health.Action, now model.Time) {
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

// markSuspect makes a machine suspect: its lease expires. After that it is released if its work may run elsewhere;
// otherwise it is left where it is, and of use again when the partition ends.
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

// checkSelfIsolation resigns, for another controller to lead, when it is this one that the machines don't reach.
func (mh *machineHealth) checkSelfIsolation(term *leaderTerm, rules *health.Rules, census *health.Census) {
	now := mh.now()
	reach := health.Reach{
		SinceHeartbeat: now - term.heartbeats.lastHeartbeat,
		SinceGrace:     time.Since(term.leadership.reportGraceEnd),
	}
	for _, link := range mh.links {
		reach.PeerReachable = reach.PeerReachable || time.Since(link.LastResponse()) < linkFreshness
	}
	switch term.health.detector.CheckIsolation(rules, census, reach, now) {
	case health.ProbeMachines:
		stride := health.ProbeStride(len(mh.replica.model.Order))
		for i, machine := range mh.replica.model.Order {
			if i%stride == 0 {
				mh.probes.probeSilent(machine, false)
			}
		}
	case health.Resign:
		mh.resign(term, census)
	}
}

// resign ends the term with errHeartbeatsMissing. From here on nothing is decided in it.
func (mh *machineHealth) resign(term *leaderTerm, census *health.Census) {
	total, silent := census.Totals()
	mh.log.Info("leadership resigned, heartbeats missing", "machines", total, "silent", silent)
	term.handingOver = true
	mh.term.extendTrust(term, time.Time{})
	select {
	case term.errs <- errHeartbeatsMissing:
	default:
	}
}

// healthEvidence answers what package health asks about one machine in the course of a round (health.Evidence).
type healthEvidence struct {
	*machineHealth
	ownTerm *leaderTerm
	now     model.Time
	machine *model.Machine
}

// CancelledFor is for how long a job with a task on the machine has been cancelled.
func (e *healthEvidence) CancelledFor() model.Time {
	return e.replica.model.CancelledFor(e.machine, e.now)
}

// Cleared tells whether a controller on the machine's side of a partition found no task of a cancelled job there.
func (e *healthEvidence) Cleared() bool { return e.ownTerm.zones.isCleared(e.machine.ID) }

// LeaseExpired tells whether the machine's lease has surely expired.
func (e *healthEvidence) LeaseExpired() bool {
	return e.machine.LeaseExpired(e.settings.StaleRenewalLimit(), e.leaseDuration(),
		e.leases.latestOwnRenewal(e.machine), e.now, len(e.settings.Members))
}

// MovableWork is what on the machine may run in another zone.
func (e *healthEvidence) MovableWork() (urgent bool, low health.Room) {
	urgent, resources := scheduler.MovableWork(e.machine)
	return urgent, health.Room{CPUs: resources.CPUs, GPUs: resources.GPUs}
}

// FreeOutsideZone is the room for low-priority work in the other zones: without what is kept free for services.
func (e *healthEvidence) FreeOutsideZone() health.Room {
	outside := scheduler.FreeOutsideZone(e.replica.model, e.machine.Zone)
	return health.Room{CPUs: outside.CPUs - e.rounds.scheduler.ServiceHeadroom, GPUs: outside.GPUs}
}

// ZoneMayBeAlive tells whether work in the machine's zone may go on without this controller.
func (e *healthEvidence) ZoneMayBeAlive() bool {
	return e.zones.mayBeAlive(e.ownTerm, e.replica.model.Zones.Name(e.machine.Zone))
}
