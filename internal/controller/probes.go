package controller

import (
	"sync/atomic"

	"fieldhill/internal/model"
)

// probes asks machines for their status and keeps what came of it by zone.
type probes struct {
	*environment
	heartbeats  *heartbeats
	loop        *eventLoop
	replica     *replica
	assignments *relayAssignments
	term        *termState

	maxZoneProbes     int // silent machines of a zone that are asked at once; tests change it
	maxFollowUpProbes int // machines that are asked at once because of what they said
}

// probesTerm is what probes keeps for one term of leadership.
type probesTerm struct {
	maxZoneProbes  int                        // silent machines of a zone that are asked at once
	unresponsive   map[*model.Machine]bool    // asked, without an answer, and not heard of in this term
	zones          map[int32]*zoneProbeCounts // what came of asking, by zone
	followUpProbes int                        // machines that are being asked because of what they said
	heartbeatCount int                        // how often any machine was heard of in this term
}

// allMachinesReported tells whether every machine with work has reported to this leader, or was asked
// in vain: it hangs, is gone or can't be reached, gets nothing new, and what it holds counts
// as placed all the same. Among a thousand machines there is always one, and for it a new
// leader placed nothing for a whole report period.
func (pr *probes) allMachinesReported() bool {
	for _, machine := range pr.replica.model.Order {
		if !machine.Contact.Reported && len(machine.Runs) > 0 && !machine.Suspect &&
			!pr.term.ownTerm.probes.unresponsive[machine] &&
			!pr.term.ownTerm.zoneProbe(machine.Zone).silent.Load() {
			return false
		}
	}
	return len(pr.replica.model.Order) > 0
}

// zoneProbeCounts is what came of asking the machines of a zone, and of their reports, in this term.
type zoneProbeCounts struct {
	answered, unanswered int
	silent               atomic.Bool // some were asked in vain, and none was heard of
	slots                slots       // silent machines that are being asked
}

// silentZoneThreshold is after how many machines of a zone that were asked in vain, while none was heard of, the rest
// of it is not waited for: it is cut off, most likely, and a third of a large fleet took ten seconds to be asked,
// while answers of other zones waited behind it.
const silentZoneThreshold = 5

func (r *leaderTerm) zoneProbe(zone int32) *zoneProbeCounts {
	z := r.probes.zones[zone]
	if z == nil {
		z = &zoneProbeCounts{slots: make(slots, r.probes.maxZoneProbes)}
		r.probes.zones[zone] = z
	}
	return z
}

// recordProbe counts a machine of a zone that was heard of, or asked in vain. Where nothing is heard of other zones
// either, it may be this node that is late.
func (r *leaderTerm) recordProbe(counts *zoneProbeCounts, answered bool) {
	if answered {
		counts.answered++
		r.probes.heartbeatCount++
	} else {
		counts.unanswered++
	}
	counts.silent.Store(
		counts.answered == 0 && counts.unanswered >= silentZoneThreshold &&
			r.probes.heartbeatCount >= silentZoneThreshold,
	)
}

// probeAll asks all machines with work how they are. A new leader places nothing
// before it has heard of them, and many of their workers take a report period and
// longer to find it.
func (pr *probes) probeAll() {
	for _, machine := range pr.replica.model.Order {
		if len(machine.Runs) > 0 && !machine.Suspect {
			pr.probeSilent(machine, true)
		}
	}
}

// probeMachine asks a machine how it is now; then, if not nil, is called when it has answered or has not. It tells
// whether it asks.
func (pr *probes) probeMachine(machine *model.Machine, onDone func()) bool {
	term := pr.term.ownTerm
	if machine.Info.Addr == "" || term.probes.followUpProbes >= pr.maxFollowUpProbes ||
		onDone == nil && pr.now()-machine.Contact.ProbedAt < probeInterval {
		return false
	}
	term.probes.followUpProbes++
	machine.Contact.ProbedAt = pr.now()
	addr, routes, question := machine.Info.Addr, pr.assignments.routesTo(machine), pr.replica.model.BeginProbe(machine)
	go func() {
		report, err := pr.assignments.queryMachine(term.ctx, routes, addr)
		pr.loop.post(func() {
			term.probes.followUpProbes--
			if pr.term.ownTerm == term && err == nil {
				pr.heartbeats.onProbeAnswer(machine, report, question)
			}
			if onDone != nil {
				onDone()
			}
		})
	}()
	return true
}

func (pr *probes) logInboundPartition(machine *model.Machine) {
	pr.log.Info("machine inbound partition changed", "machine", machine.Info.Name, "zone", machine.Info.Zone,
		"inbound_partition", machine.Contact.InboundPartitionSince != 0, "tasks", len(machine.Runs))
}

// probeSilent asks a silent machine how it is. A worker that lost its node may take
// long to find the leader; one that is dead or hangs does not answer at all.
// With first it is not asked any more once its zone is known to be mute.
func (pr *probes) probeSilent(machine *model.Machine, skipIfZoneSilent bool) {
	term := pr.term.ownTerm
	if machine.Contact.Probing || machine.Contact.DirectInFlight || machine.Info.Addr == "" {
		return
	}
	machine.Contact.Probing = true
	addr, routes, zone := machine.Info.Addr, pr.assignments.routesTo(machine), term.zoneProbe(machine.Zone)
	question := pr.replica.model.BeginProbe(machine)
	go func() {
		select {
		case zone.slots <- struct{}{}:
		case <-term.ctx.Done():
			return
		}
		defer zone.slots.release()
		if skipIfZoneSilent && zone.silent.Load() {
			pr.loop.post(func() { machine.Contact.Probing = false })
			return
		}
		report, err := pr.assignments.queryMachine(term.ctx, routes, addr)
		pr.loop.post(func() {
			machine.Contact.Probing = false
			if pr.term.ownTerm == term && err != nil && !machine.Contact.Reported {
				term.probes.unresponsive[machine] = true
				term.recordProbe(zone, false)
				pr.loop.roundRequested = true
			}
			if pr.term.ownTerm == term && err == nil {
				pr.heartbeats.onProbeAnswer(machine, report, question)
			}
		})
	}()
}
