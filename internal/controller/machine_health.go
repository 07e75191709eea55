package controller

import (
	"time"

	"fieldhill/internal/config"
	"fieldhill/internal/model"
	"fieldhill/internal/scheduling/scheduler"
)

// machineHealth judges silent, faulty, slow and cut-off machines, and the leader's own reach.
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

// machineHealthTerm is what machineHealth keeps for one term of leadership.
type machineHealthTerm struct {
	lastLatenessLog        time.Time
	zonePartitionedUntil   map[int32]model.Time // zones that are cut off, or were until recently
	heartbeatsMissingSince time.Time            // since when hardly any machine is heard of; zero: some are
}

// resetFailureDetectors begins all detectors of silence anew by as much as this node did not
// listen itself: a process that was stopped, or starved, sees everybody silent at once,
// and what they said meanwhile still waits to be read. One that is late again and again, never for a second,
// hears of a part of the fleet only: four hundred machines that were well were once returned as silent
// within three seconds, when the cloud was back and a third of the fleet was to be replaced.
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
		term.health.heartbeatsMissingSince, term.heartbeats.lastHeartbeat = time.Time{}, now
	}
}

// slowCheckInterval paces the look for machines that are slow, which reads all runs.
const slowCheckInterval = 5 * time.Second

// checkMachineHealth gives up machines that are silent, faulty or never came up, and
// returns those in a zone that is cut off whose work is over and wanted elsewhere.
func (mh *machineHealth) checkMachineHealth(term *leaderTerm) {
	now := mh.now()
	silentLimit := mh.silentAfter()
	upByZone, silentByZone, partitionedByZone := map[int32]int{}, map[int32]int{}, map[int32]int{}
	isSilent := func(machine *model.Machine) bool {
		limit := silentLimit
		if !machine.Contact.Reported && (len(machine.Runs) == 0 || machine.Info.Addr == "") {
			// Its worker may still be looking for the leader. One with work is asked
			// as soon as a node leads, and says nothing only if it hangs or is gone.
			limit += 6 * time.Second
		}
		return machine.SilentFor(now) > limit
	}
	// A suspect machine was up too, though a new leader finds nothing on it: a
	// whole zone was returned as never having come up, just as its cut ended.
	wasUp := func(machine *model.Machine) bool {
		return machine.Contact.Reported || len(machine.Runs) > 0 || machine.Suspect
	}
	for _, machine := range mh.replica.model.Order {
		if wasUp(machine) {
			upByZone[machine.Zone]++
			// When the first machine of a cut zone is given up, every other one
			// has missed a report too; outside a cut few have.
			if machine.Contact.InboundPartitionSince != 0 ||
				now-machine.Contact.LastReport > config.Seconds(mh.settings.Params.Workers.HeartbeatS*1.25) {
				silentByZone[machine.Zone]++
			}
			if machine.Contact.InboundPartitionSince != 0 {
				partitionedByZone[machine.Zone]++
			}
		}
	}
	mh.checkSelfIsolation(term, upByZone, silentByZone)
	mh.leases.queryRenewals(term)
	checkPartition, freeByZone := false, map[int32]*scheduler.Resources{}
	checkSlow := time.Since(term.health.lastLatenessLog) > slowCheckInterval
	if checkSlow {
		term.health.lastLatenessLog = time.Now()
	}
	for _, machine := range mh.replica.model.Order {
		if checkSlow && partitionedByZone[machine.Zone] >= minInboundPartitioned && machine.Contact.Reported {
			mh.replica.model.RaiseToken(machine) // the others of its zone hear as little, most likely
		}
		if checkSlow && mh.replica.model.DetectSlow(machine, now) {
			mh.heartbeats.logSlow(machine)
		}
		if doubtSince := machine.Health.DoubtSince; doubtSince != 0 && !machine.Health.Quarantined {
			mh.replica.model.UpdateQuarantine(machine, now)
			switch {
			case machine.Health.Quarantined:
				mh.heartbeats.logQuarantined(machine)
			case machine.Health.DoubtSince == 0:
				mh.loop.roundRequested = true // of use again: its jobs fail elsewhere too
			}
		}
		if !machine.Releasing && wasUp(machine) && machine.SilentFor(now) > mh.probeAfter() {
			mh.probes.probeSilent(machine, false)
		}
		// Many machines of a zone silent at once look like a cut, in which they
		// go on working; one or two look dead or hung. After a cut the workers
		// need some time to find the leader again.
		zoneCut := silentByZone[machine.Zone] >= 3 && silentByZone[machine.Zone]*2 > upByZone[machine.Zone]
		if zoneCut {
			term.health.zonePartitionedUntil[machine.Zone] = now + 15*time.Second
		}
		zoneCut = zoneCut || now < term.health.zonePartitionedUntil[machine.Zone]
		switch {
		case machine.Releasing:
		case mh.releaseInCutZone(term, machine, wasUp(machine) && isSilent(machine), freeByZone):
		case machine.Health.Quarantined && len(machine.Runs) == 0:
			mh.provisioning.releaseMachine(machine, "quarantined")
		case wasUp(machine) && isSilent(machine):
			if !zoneCut || machine.SilentFor(now) >= zoneCutPatience {
				mh.provisioning.releaseMachine(machine, "heartbeats missing")
				continue
			}
			// Idle ones, too: what was placed on them would wait for the end of the cut.
			machine.MarkInboundPartition(now)
			mh.replica.model.RaiseToken(machine)
			if !machine.Suspect && len(machine.Runs) > 0 {
				checkPartition = true
				if !mh.zones.mayBeAlive(term, mh.replica.model.Zones.Name(machine.Zone)) {
					mh.markSuspect(machine)
				}
			}
		}
	}
	for _, machine := range mh.provisioning.autoscaler.CheckBoots(mh.replica.model, time.Now().UnixMilli(), now, silentLimit+10*time.Second) {
		if now >= term.health.zonePartitionedUntil[machine.Zone] {
			mh.provisioning.releaseMachine(machine, "boot timed out")
		}
	}
	if checkPartition && !term.zones.partitionQueryInFlight &&
		time.Since(term.zones.lastPartitionQuery) > partitionReportInterval/2 {
		mh.zones.queryPartitionedNodes(term)
	}
}

// minInboundPartitioned is how many machines of a zone that do not hear have the others tried.
const minInboundPartitioned = 2

// isolationGrace is how long hardly any machine may be heard of, though some are asked,
// before the lead is handed over: longer than they have to answer.
const isolationGrace = 1500 * time.Millisecond

// isolationSilence is how long nothing at all may come from so many machines before that is
// no accident: a dozen reports are missing.
func (mh *machineHealth) isolationSilence(machines int) time.Duration {
	return max(time.Second, config.Seconds(12*mh.settings.Params.Workers.HeartbeatS/float64(machines)))
}

// checkSelfIsolation hands the lead over when the machines of all zones are silent at once
// and don't answer when asked, while another controller is there: then it is this
// node that has lost them, and their leases would run out under it.
func (mh *machineHealth) checkSelfIsolation(term *leaderTerm, upByZone, silentByZone map[int32]int) {
	total, silent, zones := 0, 0, 0
	for z, k := range upByZone {
		total, silent = total+k, silent+silentByZone[z]
		if silentByZone[z] > 0 {
			zones++
		}
	}
	peerReachable := false
	for _, l := range mh.links {
		peerReachable = peerReachable || time.Since(l.LastResponse()) < linkFreshness
	}
	now := time.Now()
	minZones := min(2, len(mh.settings.Params.Zones)) // where there is only one zone a cut of it looks the same
	nothingReceived := total >= 3 && len(upByZone) >= minZones &&
		mh.now()-term.heartbeats.lastHeartbeat > mh.isolationSilence(total)
	mostSilent := silent >= 3 && silent*10 >= total*9 && zones >= minZones
	// A new leader is looked for first.
	if !peerReachable || !nothingReceived && !mostSilent ||
		now.Sub(term.leadership.reportGraceEnd) < 2*config.Seconds(mh.settings.Params.Workers.HeartbeatS) {
		term.health.heartbeatsMissingSince = time.Time{}
		return
	}
	if term.health.heartbeatsMissingSince.IsZero() {
		term.health.heartbeatsMissingSince = now
		for i, machine := range mh.replica.model.Order {
			if i%max(1, len(mh.replica.model.Order)/isolationProbes) == 0 {
				mh.probes.probeSilent(machine, false)
			}
		}
	}
	if now.Sub(term.health.heartbeatsMissingSince) < isolationGrace {
		return
	}
	mh.log.Info("leadership resigned, heartbeats missing", "machines", total, "silent", silent)
	term.handingOver = true
	mh.term.extendTrust(term, time.Time{}) // from here on it decides nothing
	select {
	case term.errs <- errHeartbeatsMissing:
	default:
	}
}

// isolationProbes is about how many machines are asked when nothing is heard of any.
const isolationProbes = 12

// zoneCutPatience is after how long a silent machine is returned although its zone
// looks cut off.
const zoneCutPatience = 100 * time.Second

// releaseInCutZone returns a machine of a cut zone if that is due, and tells whether it did. That its lease is over
// does not prove its tasks gone: one that hangs ends them only when it wakes, and they count until then (ran_twice,
// and ran_cancelled). The cloud's answer proves it, hung or not, and the cloud belongs to no zone. Before the lease
// is over the machine is left alone, since work in a cut zone goes on; afterwards it is returned if it holds urgent
// work that may run elsewhere, or low work that finds free room there. Of the other machines nothing would be gained,
// and they are there when the cut ends: when all of a zone were returned, half of them for low work that then waited
// elsewhere, a third of the fleet had to boot anew. What a cancelled job has there its worker ends in time by itself,
// unless it hangs: such a machine is returned before the time is over, also if its zone is only parted from this
// node, unless the controller there has just heard that nothing of the kind is left. While the cloud is down nothing
// is proven, and nothing is marked either: the end of the cut may come first.
func (mh *machineHealth) releaseInCutZone(
	term *leaderTerm,
	machine *model.Machine,
	silent bool,
	freeByZone map[int32]*scheduler.Resources,
) bool {
	if len(machine.Runs) == 0 || term.provisioning.cloudUnavailable {
		return false
	}
	switch now := mh.now(); {
	case (silent || machine.Suspect) && mh.replica.model.CancelledFor(machine, now) > mh.cancelPatience() && !term.isCleared(machine.ID):
		mh.provisioning.releaseMachine(machine, "zone partitioned, cancelled tasks overdue")
	case machine.Suspect && machine.LeaseExpired(mh.settings.StaleRenewalLimit(), mh.leaseDuration(), mh.leases.latestOwnRenewal(machine), now, len(mh.settings.Members)) && mh.wantedElsewhere(machine, freeByZone):
		mh.provisioning.releaseMachine(machine, "zone partitioned, lease expired, tasks needed elsewhere")
	default:
		return false
	}
	return true
}

// wantedElsewhere tells whether what is on a machine is to go on in another zone now. free is what was found to be
// free outside of each zone, and is not given to others yet.
func (mh *machineHealth) wantedElsewhere(machine *model.Machine, freeByZone map[int32]*scheduler.Resources) bool {
	urgent, low := scheduler.MovableWork(machine)
	if urgent || low.CPUs == 0 && low.GPUs == 0 {
		return urgent
	}
	available := freeByZone[machine.Zone]
	if available == nil {
		outside := scheduler.FreeOutsideZone(mh.replica.model, machine.Zone)
		outside.CPUs -= mh.rounds.scheduler.ServiceHeadroom // that is not for low work
		available = &outside
		freeByZone[machine.Zone] = available
	}
	if low.CPUs > available.CPUs || low.GPUs > available.GPUs {
		return false
	}
	*available = available.Minus(low)
	return true
}

// cancelPatience is for how long a cancelled job may keep tasks on a machine of a cut zone before the machine is
// returned: its worker ends them in time by itself, unless it hangs, and the rest of the time that a cancellation has
// is for the cloud.
func (mh *machineHealth) cancelPatience() model.Time {
	return config.Seconds(mh.settings.Params.Workers.CancelS * 3 / 4)
}

// markSuspect makes a machine suspect: its lease runs out. When that is over it is returned if its work may run
// elsewhere; otherwise it is left where it is, and of use again when the cut is over.
func (mh *machineHealth) markSuspect(machine *model.Machine) {
	mh.log.Info("machine suspect, zone partitioned", "machine", machine.Info.Name, "zone", machine.Info.Zone,
		"tasks", len(machine.Runs))
	seq := mh.commits.propose(&model.Entry{Kind: model.EntrySuspect, Machine: machine.ID})
	mh.commits.whenCommitted(seq, func(ok bool) {
		if ok {
			machine.SuspicionCommitted(seq, mh.now())
		}
	})
}
