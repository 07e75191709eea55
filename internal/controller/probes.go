package controller

import (
	"sync/atomic"
	"time"

	"fieldhill/internal/agents/staleness"
	"fieldhill/internal/model"
	"fieldhill/wire"
)

// probes requests status reports from machines whose heartbeats are missing or inconclusive, and counts the results by
// zone.
//
// It owns the counts of a term (probesTerm) and two fields of model.MachineContact: Probing, whether a probe of the
// silent machine is in flight, and ProbedAt, when the machine was last probed because of its reports. This state is
// written on the event loop only; goroutines wait for the responses and post them to the loop.
type probes struct {
	*environment
	heartbeats  *heartbeats
	loop        *eventLoop
	replica     *replica
	assignments *relayAssignments
	term        *termState

	maxZoneProbes     int // limit on concurrent probes to silent machines of a zone; overridden by tests
	maxFollowUpProbes int // limit on concurrent probes that machines' reports cause
}

// probesTerm is the state of probes for one leadership term. heartbeats also updates the counts of a zone when it
// receives a status report (recordProbe).
type probesTerm struct {
	maxZoneProbes  int                        // probes.maxZoneProbes at the start of the term
	unresponsive   map[*model.Machine]bool    // machines without a report in this term that did not respond to a probe
	zones          map[int32]*zoneProbeCounts // results of probes by zone
	followUpProbes int                        // probes in flight that machines' reports caused
	heartbeatCount int                        // status reports received from any machine in this term
}

const (
	// probeTimeout is how long an agent has to respond to a probe.
	probeTimeout = 1200 * time.Millisecond
	// probeInterval is the minimum interval between probes that result from a machine's reports, unless a caller waits
	// for the response.
	probeInterval = time.Second
	// silentZoneThreshold is how many machines of a zone must have failed to respond to probes, while none has
	// reported, before a new leader stops waiting for the zone's other machines. The zone is then most likely
	// partitioned. Without this, probing an unreachable third of a large fleet takes 10 s and delays the responses from
	// other zones.
	silentZoneThreshold = 5
)

// allMachinesReported reports whether every machine with tasks has reported to this leader, failed to respond to a
// probe, is suspect, or is in a zone found silent. It is false if there are no machines. An unresponsive machine gets
// no new tasks, and those that it holds count as placed. Waiting for such a machine would delay a new leader's first
// placements by a heartbeat interval, because among a thousand machines there is nearly always one that does not
// respond.
func (pr *probes) allMachinesReported() bool {
	term := pr.term.ownTerm
	for _, machine := range pr.replica.model.MachinesInOrder {
		if !machine.Contact.Reported && len(machine.Runs) > 0 && !machine.Suspect &&
			!term.probes.unresponsive[machine] && !term.probes.zoneCounts(machine.Zone).silent.Load() {
			return false
		}
	}
	return len(pr.replica.model.MachinesInOrder) > 0
}

// zoneProbeCounts counts the results of probes to the machines of a zone, and the machines' heartbeats, in this term.
// The event loop writes the counts and silent; goroutines that are about to probe acquire slots and read silent.
type zoneProbeCounts struct {
	answered, unanswered int
	silent               atomic.Bool // enough probes failed, and no machine reported, see recordProbe
	slots                slots       // concurrent probes to silent machines
}

// zoneCounts returns the counts of a zone, creating them if needed.
func (pt *probesTerm) zoneCounts(zone int32) *zoneProbeCounts {
	counts := pt.zones[zone]
	if counts == nil {
		counts = &zoneProbeCounts{slots: make(slots, pt.maxZoneProbes)}
		pt.zones[zone] = counts
	}
	return counts
}

// recordProbe counts a machine of a zone that reported its status or failed to respond to a probe. A zone counts as
// silent only if enough reports arrive from other zones; otherwise this controller may be late in processing reports.
func (pt *probesTerm) recordProbe(counts *zoneProbeCounts, answered bool) {
	if answered {
		counts.answered++
		pt.heartbeatCount++
	} else {
		counts.unanswered++
	}
	counts.silent.Store(counts.answered == 0 && counts.unanswered >= silentZoneThreshold &&
		pt.heartbeatCount >= silentZoneThreshold)
}

// probeAll probes all machines with tasks. A new leader waits for reports from these machines before it places most
// tasks, and many agents take a heartbeat interval or longer to find the new leader.
func (pr *probes) probeAll() {
	for _, machine := range pr.replica.model.MachinesInOrder {
		if len(machine.Runs) > 0 && !machine.Suspect {
			pr.probeSilent(machine, true)
		}
	}
}

// probeMachine probes a machine because of what it reported, and reports whether a probe was started. If so, and onDone
// is not nil, onDone is called on the event loop after the response or failure.
func (pr *probes) probeMachine(machine *model.Machine, onDone func()) bool {
	term := pr.term.ownTerm
	if machine.Info.Addr == "" || term.probes.followUpProbes >= pr.maxFollowUpProbes ||
		onDone == nil && pr.now()-machine.Contact.ProbedAt < probeInterval {
		return false
	}
	term.probes.followUpProbes++
	machine.Contact.ProbedAt = pr.now()
	addr, routes := machine.Info.Addr, pr.assignments.routesTo(machine)
	baseline := pr.replica.model.BeginProbe(machine)
	go func() {
		report, err := pr.assignments.probeOverRoutes(term.ctx, routes, addr)
		pr.loop.post(func() {
			term.probes.followUpProbes--
			if pr.term.ownTerm == term && err == nil {
				pr.heartbeats.onProbeAnswer(machine, report, baseline)
			}
			if onDone != nil {
				onDone()
			}
		})
	}()
	return true
}

// logInboundPartition logs the beginning or end of an inbound partition of a machine.
func (pr *probes) logInboundPartition(machine *model.Machine) {
	pr.log.Info("machine inbound partition changed", "machine", machine.Info.Name, "zone", machine.Info.Zone,
		"inbound_partition", machine.Contact.InboundPartitionSince != 0, "tasks", len(machine.Runs))
}

// probeSilent probes a silent machine. An agent that lost its controller may take long to find the leader; an agent
// that is dead or hangs does not respond at all. With skipIfZoneSilent, the probe is skipped if the machine's zone has
// been found silent by the time the probe's turn comes.
func (pr *probes) probeSilent(machine *model.Machine, skipIfZoneSilent bool) {
	term := pr.term.ownTerm
	if machine.Contact.Probing || machine.Contact.DirectInFlight || machine.Info.Addr == "" {
		return
	}
	machine.Contact.Probing = true
	addr, routes, zone := machine.Info.Addr, pr.assignments.routesTo(machine), term.probes.zoneCounts(machine.Zone)
	baseline := pr.replica.model.BeginProbe(machine)
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
		report, err := pr.assignments.probeOverRoutes(term.ctx, routes, addr)
		pr.loop.post(func() { pr.onSilentProbed(term, machine, report, err, baseline) })
	}()
}

// onSilentProbed processes the result of probing a silent machine.
func (pr *probes) onSilentProbed(
	term *leaderTerm, machine *model.Machine, report *wire.Heartbeat, err error, baseline *staleness.ProbeBaseline,
) {
	machine.Contact.Probing = false
	if pr.term.ownTerm != term {
		return
	}
	if err == nil {
		pr.heartbeats.onProbeAnswer(machine, report, baseline)
		return
	}
	if !machine.Contact.Reported {
		term.probes.unresponsive[machine] = true
		term.probes.recordProbe(term.probes.zoneCounts(machine.Zone), false)
		pr.loop.requestRound()
	}
}
