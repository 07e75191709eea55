package controller

import (
	"sync/atomic"
	"time"

	"fieldhill/internal/agents/staleness"
	"fieldhill/internal/model"
	"fieldhill/wire"
)

// probes asks machines for their status when their heartbeats are missing or prove too little, and counts by zone what
// came of it.
//
// It owns the counts of a term (probesTerm), and of the model's observations that a machine is being probed and when it
// last was (Probing, ProbedAt). All of this is written in the loop; goroutines wait for the answers and post them to
// it.
type probes struct {
	*environment
	heartbeats  *heartbeats
	loop        *eventLoop
	replica     *replica
	assignments *relayAssignments
	term        *termState

	maxZoneProbes     int // silent machines of a zone that are probed at once; tests change it
	maxFollowUpProbes int // machines that are probed at once because of what they reported
}

// probesTerm is what probes keeps for one term of leadership. heartbeats counts the machines of a zone, too, when it
// receives their status (recordProbe).
type probesTerm struct {
	maxZoneProbes  int                        // as in probes when the term began
	unresponsive   map[*model.Machine]bool    // probed without an answer, and not heard of in this term
	zones          map[int32]*zoneProbeCounts // what came of probes, by zone
	followUpProbes int                        // machines that are being probed because of what they reported
	heartbeatCount int                        // how often a status of any machine was received in this term
}

const (
	// probeTimeout is how long an agent has to answer a probe.
	probeTimeout = 1200 * time.Millisecond
	// probeInterval is how often a machine is probed at most because of what it reported, unless somebody waits for the
	// answer.
	probeInterval = time.Second
	// silentZoneThreshold is after how many machines of a zone that were probed in vain, while none was heard of, the
	// rest of it is not waited for: it is partitioned, most likely, and a third of a large fleet took ten seconds to be
	// probed, while answers of other zones waited behind it.
	silentZoneThreshold = 5
)

// allMachinesReported tells whether every machine with tasks has reported to this leader, or was probed in vain: it
// hangs, is gone or can't be reached, gets nothing new, and what it holds counts as placed all the same. Among a
// thousand machines there is always one, and for it a new leader placed nothing for a whole heartbeat interval.
func (pr *probes) allMachinesReported() bool {
	term := pr.term.ownTerm
	for _, machine := range pr.replica.model.Order {
		if !machine.Contact.Reported && len(machine.Runs) > 0 && !machine.Suspect &&
			!term.probes.unresponsive[machine] && !term.probes.zoneProbe(machine.Zone).silent.Load() {
			return false
		}
	}
	return len(pr.replica.model.Order) > 0
}

// zoneProbeCounts is what came of probes to the machines of a zone, and of their heartbeats, in this term. The loop
// writes it; goroutines that are about to probe read whether the zone is silent, and take slots.
type zoneProbeCounts struct {
	answered, unanswered int
	silent               atomic.Bool // some were probed in vain, and none was heard of
	slots                slots       // silent machines that are being probed
}

// zoneProbe is the counts of a zone, which begin with the first question for them.
func (pt *probesTerm) zoneProbe(zone int32) *zoneProbeCounts {
	counts := pt.zones[zone]
	if counts == nil {
		counts = &zoneProbeCounts{slots: make(slots, pt.maxZoneProbes)}
		pt.zones[zone] = counts
	}
	return counts
}

// recordProbe counts a machine of a zone whose status was received, or that was probed in vain. Where nothing is
// received from other zones either, it may be this controller that is late.
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

// probeAll probes all machines with tasks. A new leader places nothing before it has heard of them, and many of their
// agents take a heartbeat interval and longer to find it.
func (pr *probes) probeAll() {
	for _, machine := range pr.replica.model.Order {
		if len(machine.Runs) > 0 && !machine.Suspect {
			pr.probeSilent(machine, true)
		}
	}
}

// probeMachine probes a machine now, because of what it reported; onDone, if not nil, is called in the loop when it has
// answered or has not. It tells whether the machine is probed.
func (pr *probes) probeMachine(machine *model.Machine, onDone func()) bool {
	term := pr.term.ownTerm
	if machine.Info.Addr == "" || term.probes.followUpProbes >= pr.maxFollowUpProbes ||
		onDone == nil && pr.now()-machine.Contact.ProbedAt < probeInterval {
		return false
	}
	term.probes.followUpProbes++
	machine.Contact.ProbedAt = pr.now()
	addr, routes := machine.Info.Addr, pr.assignments.routesTo(machine)
	question := pr.replica.model.BeginProbe(machine)
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

// logInboundPartition logs that answers to a machine are known not to arrive, or arrive again.
func (pr *probes) logInboundPartition(machine *model.Machine) {
	pr.log.Info("machine inbound partition changed", "machine", machine.Info.Name, "zone", machine.Info.Zone,
		"inbound_partition", machine.Contact.InboundPartitionSince != 0, "tasks", len(machine.Runs))
}

// probeSilent probes a silent machine. An agent that lost its controller may take long to find the leader; one that is
// dead or hangs does not answer at all. With skipIfZoneSilent it is not probed any more once its zone is known to be
// silent.
func (pr *probes) probeSilent(machine *model.Machine, skipIfZoneSilent bool) {
	term := pr.term.ownTerm
	if machine.Contact.Probing || machine.Contact.DirectInFlight || machine.Info.Addr == "" {
		return
	}
	machine.Contact.Probing = true
	addr, routes, zone := machine.Info.Addr, pr.assignments.routesTo(machine), term.probes.zoneProbe(machine.Zone)
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
		pr.loop.post(func() { pr.onSilentProbed(term, machine, report, err, question) })
	}()
}

// onSilentProbed takes in the answer of a silent machine, or that there was none.
func (pr *probes) onSilentProbed(
	term *leaderTerm, machine *model.Machine, report *wire.Heartbeat, err error, question *staleness.Question,
) {
	machine.Contact.Probing = false
	if pr.term.ownTerm != term {
		return
	}
	if err == nil {
		pr.heartbeats.onProbeAnswer(machine, report, question)
		return
	}
	if !machine.Contact.Reported {
		term.probes.unresponsive[machine] = true
		term.probes.recordProbe(term.probes.zoneProbe(machine.Zone), false)
		pr.loop.requestRound()
	}
}
