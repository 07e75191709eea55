package controller

import (
	"maps"
	"math"
	"sort"
	"time"

	"fieldhill/internal/config"
	"fieldhill/internal/model"
	"fieldhill/internal/scheduling/pending"
	"fieldhill/internal/scheduling/scheduler"
)

// This file is what the leader judges and does regularly.

func (n *Controller) runMaintenance() {
	now := time.Now()
	elapsed := now.Sub(n.startTime) - model.Time(n.lastLoopTurn.Swap(int64(now.Sub(n.startTime))))
	if len(n.requestQueue) == 0 {
		n.admissionGate.ObserveWait(max(0, elapsed-maintenanceInterval), n.now())
	}
	if delay := elapsed - maintenanceInterval; delay > toleratedDelay {
		n.resetFailureDetectors(delay)
	}
	if term := n.ownTerm; term != nil {
		term.lowPriorityLimit = nextLowLimit(term.lowPriorityLimit, elapsed-maintenanceInterval)
	}
	n.updateReadiness()
	n.reportPartition()
	n.runBarrierRound()
	n.maintainRoles()
	n.maintainRelay()
	n.sweep(now)
	term := n.ownTerm
	if term == nil || !n.isActive() {
		return
	}
	for machine := range term.dirtyMachines {
		n.sendDirect(machine)
	}
	if now.Sub(term.lastAutoscale) > 500*time.Millisecond && now.After(term.reportGraceEnd) && !term.stalled() {
		term.lastAutoscale = now
		n.runAutoscaler(term)
	}
	n.model.AccrueServiceTime(elapsed)
	n.maintainAssignments(term)
	n.logFailover(term)
	n.runProvisioner(now)
}

// maxNoRedirectEntries is how many names of workers a node keeps beside two for each machine of the log. Reports are not
// authenticated, so a flood of names that were made up may be behind a larger number.
const maxNoRedirectEntries = 20_000

// sweep drops what no longer counts of workers that came while this node did not lead. What still counts is
// kept at any size of the fleet: a worker whose entry is lost is kept for some seconds more, again and again, and
// never sent to look for the leader.
func (n *Controller) sweep(now time.Time) {
	if now.Sub(n.lastSweep) >= sweepInterval {
		n.lastSweep = now
		maps.DeleteFunc(n.noRedirectUntil, func(_ string, until time.Time) bool { return now.Sub(until) > returnWindow })
		maps.DeleteFunc(n.clearedMachines, func(_ model.MachineID, at time.Time) bool { return now.Sub(at) >= 2*partitionReportInterval })
	}
	if len(n.noRedirectUntil) > maxNoRedirectEntries+2*len(n.model.Order) {
		clear(n.noRedirectUntil)
	}
}

const (
	maxLowPerRound = 400 // low tasks in a round, when this node keeps up
	minLowPerRound = 4   // when it does not
	paceThreshold  = 25 * time.Millisecond
)

// nextLowLimit is how many low tasks may be placed in a round, given how late the housekeeping
// came. A start costs a placement, its place in the log, a command and two or three
// reports: one huge array of tiny tasks used to take the whole processor of a small
// node, and users waited.
func nextLowLimit(limit int, delay time.Duration) int {
	if delay > paceThreshold {
		return max(minLowPerRound, limit/2)
	}
	return min(maxLowPerRound, limit+limit/8+1)
}

const (
	// stallThreshold is how long the loop may do nothing before that is told, and counts as a gap in all that it hears.
	stallThreshold = 4 * maintenanceInterval
	// toleratedDelay is how late the housekeeping may come before that time counts against nobody.
	toleratedDelay = 100 * time.Millisecond
)

// resetFailureDetectors begins all detectors of silence anew by as much as this node did not
// listen itself: a process that was stopped, or starved, sees everybody silent at once,
// and what they said meanwhile still waits to be read. One that is late again and again, never for a second,
// hears of a part of the fleet only: four hundred machines that were well were once returned as silent
// within three seconds, when the cloud was back and a third of the fleet was to be replaced.
func (n *Controller) resetFailureDetectors(delay time.Duration) {
	now := n.now()
	for _, machine := range n.model.Order {
		machine.LastReport = min(now, machine.LastReport+delay)
	}
	if delay+maintenanceInterval <= stallThreshold {
		return
	}
	n.log.Info("event loop stalled", "duration", delay+maintenanceInterval)
	if term := n.ownTerm; term != nil {
		term.heartbeatsMissingSince, term.lastHeartbeat = time.Time{}, now
	}
}

// releaseMachine has a machine returned, once the log has it; its tasks are gone when the
// cloud says so.
func (n *Controller) releaseMachine(machine *model.Machine, reason string) {
	if machine.Releasing {
		return
	}
	n.propose(&model.Entry{Kind: model.EntryRelease, Machine: machine.ID})
	n.metrics.ScaledIn.Inc()
	n.log.Info("machine released", "machine", machine.Info.Name, "type", machine.Info.Type, "zone", machine.Info.Zone, "tasks", len(machine.Runs), "reason", reason)
}

// runAutoscaler rents and returns.
func (n *Controller) runAutoscaler(term *leaderTerm) {
	if !n.model.TypesKnown() {
		return
	}
	n.checkMachineHealth(term)
	n.logMachineSummary(term)
	now := n.now()
	n.autoscaler.InFlight = n.openScaleOuts()
	plan := n.autoscaler.Plan(n.model, now)
	n.scheduler.DrainTarget = plan.Vacate
	n.scheduler.ServiceHeadroom, n.scheduler.ServiceSlots, n.scheduler.LowPriorityAllowed = plan.Headroom, plan.ForServices, plan.LowPriorityAllowed
	for _, machine := range n.model.Order {
		if machine.Draining != plan.Drain[machine] {
			n.log.Info("machine drain changed", "machine", machine.Info.Name, "type", machine.Info.Type, "draining", !machine.Draining)
			machine.Draining = !machine.Draining
			n.roundRequested = true
		}
	}
	for _, machine := range plan.ScaleIn {
		if term.cloudUnavailable {
			break // it could not be returned, and not be used either
		}
		n.releaseMachine(machine, "idle and not needed")
	}
	// The cloud's rate is small, so few requests are under way at once and none
	// twice for the same offer: the answer to the first tells what is left.
	maxOpen := max(2, int(n.settings.Params.Cloud.RPS))
	for _, scaleOut := range plan.ScaleOuts {
		if len(n.autoscaler.InFlight) >= maxOpen {
			break
		}
		if n.autoscaler.InFlight[scaleOut.InstanceOffer] == 0 {
			n.scaleOut(term, scaleOut)
			n.autoscaler.InFlight[scaleOut.InstanceOffer] += scaleOut.Count
		}
	}
}

func (n *Controller) logQuarantined(machine *model.Machine) {
	n.log.Info("machine quarantined", "machine", machine.Info.Name, "failures", machine.Failures)
}

func (n *Controller) logSlow(machine *model.Machine) {
	n.log.Info("machine slow", "machine", machine.Info.Name, "tasks", len(machine.Runs), "duration", machine.SlowUntil-n.now())
}

// slowCheckInterval paces the look for machines that are slow, which reads all runs.
const slowCheckInterval = 5 * time.Second

const (
	longWait    = model.Time(20e9) // a job that waits for longer has a line of its own, whenever its reason changes
	maxLogLines = 10               // of those at once
)

// logPending logs how many tasks wait, by class and by reason, and which jobs do for long.
func (n *Controller) logPending(term *leaderTerm) {
	classes, reasons, logged := map[string]int{}, map[string]int{}, map[model.JobID]pending.Code{}
	var long []*model.Job
	for _, j := range n.model.JobsInOrder() {
		waiting := j.Waiting()
		if waiting == 0 {
			continue
		}
		classes[j.Spec.Class] += waiting
		reasons[j.PendingReason.Code.String()] += waiting
		if j.PendingReason.IsSet() && term.loggedReasons[j.ID] == j.PendingReason.Code {
			logged[j.ID] = j.PendingReason.Code
		} else if j.PendingReason.IsSet() && n.now()-j.KnownSince > longWait && len(long) < maxLogLines {
			long = append(long, j)
		}
	}
	for _, j := range long {
		logged[j.ID] = j.PendingReason.Code
		n.log.Info("job pending", "job", j.Spec.ID, "class", j.Spec.Class, "team", j.Spec.Team, "tasks", j.Waiting(), "reason", j.PendingReason.Code, "explanation", j.PendingReason)
	}
	term.loggedReasons = logged
	n.log.Info("workload summary", "jobs", len(n.model.Jobs), "pending_by_class", classes, "pending_by_reason", reasons)
	n.logServed()
}

// logServed logs how each team is served, and those classes that are served worst: what a class is called
// is its users' affair, and there may be any number of them.
func (n *Controller) logServed() {
	type line struct {
		what, name string
		share      float64
		owed       bool
		s          *model.CompletionStats
	}
	var lines []line
	for i := range n.model.ByClass {
		share, underServed := n.scheduler.ClassStanding(int32(i))
		lines = append(lines, line{"class", n.model.Classes.Name(int32(i)), share, underServed, &n.model.ByClass[i]})
	}
	sort.SliceStable(lines, func(i, k int) bool { return lines[i].share < lines[k].share })
	lines = lines[:min(len(lines), maxLogLines)]
	for i := range n.model.ByTeam {
		share, underServed := n.scheduler.TeamStanding(i)
		lines = append(lines, line{"team", n.model.Teams[i].Name, share, underServed, &n.model.ByTeam[i]})
	}
	for _, l := range lines {
		n.log.Info("completion summary", l.what, l.name, "share", math.Round(l.share*1000)/1000, "under_served", l.owed, "jobs", l.s.Jobs, "started", l.s.Started, "completed", l.s.Done,
			"cancelled", l.s.Cancelled, "tasks", l.s.Tasks, "tasks_completed", l.s.TasksDone, "availability", l.s.Availability())
	}
}

// logMachineSummary logs now and then what the machines are used for.
func (n *Controller) logMachineSummary(term *leaderTerm) {
	if time.Since(term.lastSummary) < 20*time.Second {
		return
	}
	term.lastSummary = time.Now()
	type sum struct {
		up, booting, idle              int
		total, services, gangs, arrays float64
	}
	sums := map[string]*sum{}
	var names []string
	for _, machine := range n.model.Order {
		name := machine.Info.Type
		if machine.Spot {
			name += "/spot"
		}
		s := sums[name]
		if s == nil {
			s = &sum{}
			sums[name] = s
			names = append(names, name)
		}
		if !machine.Reported {
			s.booting++
			continue
		}
		s.up++
		if len(machine.Runs) == 0 {
			s.idle++
		}
		s.total += n.model.TypeOf(machine).CPUs
		for _, run := range machine.Runs {
			switch run.Job.Kind {
			case model.Service:
				s.services += run.Job.Spec.CPUs
			case model.Gang:
				s.gangs += run.Job.Spec.CPUs
			default:
				s.arrays += run.Job.Spec.CPUs
			}
		}
	}
	sort.Strings(names)
	for _, name := range names {
		s := sums[name]
		n.log.Info("machine usage", "type", name, "up", s.up, "booting", s.booting, "idle", s.idle, "cpus", s.total,
			"service_cpus", s.services, "gang_cpus", s.gangs, "array_cpus", s.arrays)
	}
	n.logPending(term)
}

// checkMachineHealth gives up machines that are silent, faulty or never came up, and
// returns those in a zone that is cut off whose work is over and wanted elsewhere.
func (n *Controller) checkMachineHealth(term *leaderTerm) {
	now := n.now()
	silentLimit := n.silentAfter()
	upByZone, silentByZone, partitionedByZone := map[int32]int{}, map[int32]int{}, map[int32]int{}
	isSilent := func(machine *model.Machine) bool {
		limit := silentLimit
		if !machine.Reported && (len(machine.Runs) == 0 || machine.Info.Addr == "") {
			// Its worker may still be looking for the leader. One with work is asked
			// as soon as a node leads, and says nothing only if it hangs or is gone.
			limit += 6 * time.Second
		}
		return machine.SilentFor(now) > limit
	}
	// A suspect machine was up too, though a new leader finds nothing on it: a
	// whole zone was returned as never having come up, just as its cut ended.
	wasUp := func(machine *model.Machine) bool { return machine.Reported || len(machine.Runs) > 0 || machine.Suspect }
	for _, machine := range n.model.Order {
		if wasUp(machine) {
			upByZone[machine.Zone]++
			// When the first machine of a cut zone is given up, every other one
			// has missed a report too; outside a cut few have.
			if machine.InboundPartitionSince != 0 || now-machine.LastReport > config.Seconds(n.settings.Params.Workers.HeartbeatS*1.25) {
				silentByZone[machine.Zone]++
			}
			if machine.InboundPartitionSince != 0 {
				partitionedByZone[machine.Zone]++
			}
		}
	}
	n.checkSelfIsolation(term, upByZone, silentByZone)
	n.queryRenewals(term)
	checkPartition, freeByZone := false, map[int32]*scheduler.Resources{}
	checkSlow := time.Since(term.lastLatenessLog) > slowCheckInterval
	if checkSlow {
		term.lastLatenessLog = time.Now()
	}
	for _, machine := range n.model.Order {
		if checkSlow && partitionedByZone[machine.Zone] >= minInboundPartitioned && machine.Reported {
			n.model.RaiseToken(machine) // the others of its zone hear as little, most likely
		}
		if checkSlow && n.model.DetectSlow(machine, now) {
			n.logSlow(machine)
		}
		if doubtSince := machine.DoubtSince; doubtSince != 0 && !machine.Quarantined {
			n.model.UpdateQuarantine(machine, now)
			switch {
			case machine.Quarantined:
				n.logQuarantined(machine)
			case machine.DoubtSince == 0:
				n.roundRequested = true // of use again: its jobs fail elsewhere too
			}
		}
		if !machine.Releasing && wasUp(machine) && machine.SilentFor(now) > n.probeAfter() {
			n.probeSilent(machine, false)
		}
		// Many machines of a zone silent at once look like a cut, in which they
		// go on working; one or two look dead or hung. After a cut the workers
		// need some time to find the leader again.
		zoneCut := silentByZone[machine.Zone] >= 3 && silentByZone[machine.Zone]*2 > upByZone[machine.Zone]
		if zoneCut {
			term.zonePartitionedUntil[machine.Zone] = now + 15*time.Second
		}
		zoneCut = zoneCut || now < term.zonePartitionedUntil[machine.Zone]
		switch {
		case machine.Releasing:
		case n.releaseInCutZone(term, machine, wasUp(machine) && isSilent(machine), freeByZone):
		case machine.Quarantined && len(machine.Runs) == 0:
			n.releaseMachine(machine, "quarantined")
		case wasUp(machine) && isSilent(machine):
			if !zoneCut || machine.SilentFor(now) >= zoneCutPatience {
				n.releaseMachine(machine, "heartbeats missing")
				continue
			}
			// Idle ones, too: what was placed on them would wait for the end of the cut.
			machine.MarkInboundPartition(now)
			n.model.RaiseToken(machine)
			if !machine.Suspect && len(machine.Runs) > 0 {
				checkPartition = true
				if !n.mayBeAlive(term, n.model.Zones.Name(machine.Zone)) {
					n.markSuspect(machine)
				}
			}
		}
	}
	for _, machine := range n.autoscaler.CheckBoots(n.model, time.Now().UnixMilli(), now, silentLimit+10*time.Second) {
		if now >= term.zonePartitionedUntil[machine.Zone] {
			n.releaseMachine(machine, "boot timed out")
		}
	}
	if checkPartition && !term.partitionQueryInFlight && time.Since(term.lastPartitionQuery) > partitionReportInterval/2 {
		n.queryPartitionedNodes(term)
	}
}

// minInboundPartitioned is how many machines of a zone that do not hear have the others tried.
const minInboundPartitioned = 2

// isolationGrace is how long hardly any machine may be heard of, though some are asked,
// before the lead is handed over: longer than they have to answer.
const isolationGrace = 1500 * time.Millisecond

// isolationSilence is how long nothing at all may come from so many machines before that is
// no accident: a dozen reports are missing.
func (n *Controller) isolationSilence(machines int) time.Duration {
	return max(time.Second, config.Seconds(12*n.settings.Params.Workers.HeartbeatS/float64(machines)))
}

// checkSelfIsolation hands the lead over when the machines of all zones are silent at once
// and don't answer when asked, while another controller is there: then it is this
// node that has lost them, and their leases would run out under it.
func (n *Controller) checkSelfIsolation(term *leaderTerm, upByZone, silentByZone map[int32]int) {
	total, silent, zones := 0, 0, 0
	for z, k := range upByZone {
		total, silent = total+k, silent+silentByZone[z]
		if silentByZone[z] > 0 {
			zones++
		}
	}
	peerReachable := false
	for _, l := range n.links {
		peerReachable = peerReachable || time.Since(l.LastResponse()) < linkFreshness
	}
	now := time.Now()
	minZones := min(2, len(n.settings.Params.Zones)) // where there is only one zone a cut of it looks the same
	nothingReceived := total >= 3 && len(upByZone) >= minZones && n.now()-term.lastHeartbeat > n.isolationSilence(total)
	mostSilent := silent >= 3 && silent*10 >= total*9 && zones >= minZones
	// A new leader is looked for first.
	if !peerReachable || !nothingReceived && !mostSilent || now.Sub(term.reportGraceEnd) < 2*config.Seconds(n.settings.Params.Workers.HeartbeatS) {
		term.heartbeatsMissingSince = time.Time{}
		return
	}
	if term.heartbeatsMissingSince.IsZero() {
		term.heartbeatsMissingSince = now
		for i, machine := range n.model.Order {
			if i%max(1, len(n.model.Order)/isolationProbes) == 0 {
				n.probeSilent(machine, false)
			}
		}
	}
	if now.Sub(term.heartbeatsMissingSince) < isolationGrace {
		return
	}
	n.log.Info("leadership resigned, heartbeats missing", "machines", total, "silent", silent)
	term.handingOver = true
	n.extendTrust(term, time.Time{}) // from here on it decides nothing
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

// releaseInCutZone returns a machine of a cut zone if that is due, and tells whether it did. That its lease is over does not prove its tasks gone: one that
// hangs ends them only when it wakes, and they count until then (ran_twice, and ran_cancelled). The cloud's answer proves it, hung or
// not, and the cloud belongs to no zone. Before the lease is over the machine is left alone, since work in a cut zone goes on; afterwards it is returned if it holds
// urgent work that may run elsewhere, or low work that finds free room there. Of the other machines nothing would be gained, and they are there when the cut ends: when all of a
// zone were returned, half of them for low work that then waited elsewhere, a third of the fleet had to boot anew. What a cancelled job has there its worker ends in time by itself, unless it hangs: such a machine is returned before the time is over, also if its zone
// is only parted from this node, unless the controller there has just heard that nothing of the kind is left. While the cloud is down nothing is proven, and
// nothing is marked either: the end of the cut may come first.
func (n *Controller) releaseInCutZone(term *leaderTerm, machine *model.Machine, silent bool, freeByZone map[int32]*scheduler.Resources) bool {
	if len(machine.Runs) == 0 || term.cloudUnavailable {
		return false
	}
	switch now := n.now(); {
	case (silent || machine.Suspect) && n.model.CancelledFor(machine, now) > n.cancelPatience() && !term.isCleared(machine.ID):
		n.releaseMachine(machine, "zone partitioned, cancelled tasks overdue")
	case machine.Suspect && machine.LeaseExpired(n.settings.StaleRenewalLimit(), n.leaseDuration(), n.latestOwnRenewal(machine), now, len(n.settings.Members)) && n.wantedElsewhere(machine, freeByZone):
		n.releaseMachine(machine, "zone partitioned, lease expired, tasks needed elsewhere")
	default:
		return false
	}
	return true
}

// wantedElsewhere tells whether what is on a machine is to go on in another zone now. free is what was found to be free outside of each zone, and is not given to others yet.
func (n *Controller) wantedElsewhere(machine *model.Machine, freeByZone map[int32]*scheduler.Resources) bool {
	urgent, low := scheduler.MovableWork(machine)
	if urgent || low.CPUs == 0 && low.GPUs == 0 {
		return urgent
	}
	available := freeByZone[machine.Zone]
	if available == nil {
		outside := scheduler.FreeOutsideZone(n.model, machine.Zone)
		outside.CPUs -= n.scheduler.ServiceHeadroom // that is not for low work
		available = &outside
		freeByZone[machine.Zone] = available
	}
	if low.CPUs > available.CPUs || low.GPUs > available.GPUs {
		return false
	}
	*available = available.Minus(low)
	return true
}

// cancelPatience is for how long a cancelled job may keep tasks on a machine of a cut zone before the machine is returned: its worker ends them
// in time by itself, unless it hangs, and the rest of the time that a cancellation has is for the cloud.
func (n *Controller) cancelPatience() model.Time {
	return config.Seconds(n.settings.Params.Workers.CancelS * 3 / 4)
}

// markSuspect makes a machine suspect: its lease runs out. When that is over it is returned if its work may run elsewhere; otherwise
// it is left where it is, and of use again when the cut is over.
func (n *Controller) markSuspect(machine *model.Machine) {
	n.log.Info("machine suspect, zone partitioned", "machine", machine.Info.Name, "zone", machine.Info.Zone, "tasks", len(machine.Runs))
	seq := n.propose(&model.Entry{Kind: model.EntrySuspect, Machine: machine.ID})
	n.whenCommitted(seq, func(ok bool) {
		if ok {
			machine.SuspicionCommitted(seq, n.now())
		}
	})
}
