package autoscaler

import (
	"math"

	"fieldhill/internal/model"
	"fieldhill/internal/scheduling/scheduler"
)

// This file is what the cloud offers: what it refused of late, what a task costs on each offer, and which offers a
// demand is worth.

// The pauses after a refusal double from the first to the last of these.
const (
	minRefusalBackoff = model.Time(10e9)
	maxRefusalBackoff = model.Time(80e9)
)

const (
	// spotRiskFactor is by how much spot instances count as more expensive: some are taken, and their work with them.
	spotRiskFactor = 1.3
	// bootCostSeconds is the time to boot that doubles the price of an offer.
	bootCostSeconds = 300
	// machineCountPenalty is by how much each machine of an offer makes it count as more expensive.
	machineCountPenalty = 0.02
)

// refusal is until when an offer is not asked for again.
type refusal struct {
	until   model.Time
	backoff model.Time
}

// OnRefused notes that the cloud had nothing of an offer; it is asked again after
// pauses that grow.
func (a *Autoscaler) OnRefused(o InstanceOffer, now model.Time) {
	r := a.refusals[o]
	r.backoff = min(max(2*r.backoff, minRefusalBackoff), maxRefusalBackoff)
	r.until = now + r.backoff
	a.refusals[o] = r
}

// OnAvailable notes that the cloud has some of an offer: it filled a request, or took a machine back. When
// machines died where it had no more, their replacements waited out a pause of up to 80 s that
// had begun before.
func (a *Autoscaler) OnAvailable(o InstanceOffer) { delete(a.refusals, o) }

// RefusalsFor returns how many offers that suit a job the cloud has refused lately, and in how long
// the first of them is asked for again.
func (a *Autoscaler) RefusalsFor(m *model.Model, j *model.Job, now model.Time) (n int, retryIn model.Time) {
	for o, r := range a.refusals {
		t := &m.Types[o.Type]
		if r.until <= now || !j.AllowsMachine(o.Type, o.Zone, o.Spot) ||
			!scheduler.TypeCapacity(t).Contains(scheduler.TaskDemand(j)) {
			continue
		}
		if n++; n == 1 || r.until-now < retryIn {
			retryIn = r.until - now
		}
	}
	return n, retryIn
}

// eachOffer calls a function for everything that the cloud may provision.
func eachOffer(m *model.Model, each func(InstanceOffer)) {
	for i := range m.Types {
		for _, z := range m.Types[i].ZoneIDs {
			each(InstanceOffer{int32(i), z, false})
			each(InstanceOffer{int32(i), z, true})
		}
	}
}

// pricePerTask is what a task of a demand costs an hour on an offer, when so many of
// them are to be placed; false: it does not fit or may not go there.
func pricePerTask(m *model.Model, d *demand, o InstanceOffer, remaining int) (float64, bool) {
	t := &m.Types[o.Type]
	fit := 0
	for r := scheduler.TypeCapacity(t); fit < remaining && r.Contains(d.need); fit++ {
		r = r.Minus(d.need)
	}
	if !t.Known || fit == 0 || !d.allows(o) {
		return 0, false
	}
	price := t.Price
	if o.Spot {
		price = t.SpotPrice * spotRiskFactor
	}
	return price / float64(fit) * (1 + t.BootS/bootCostSeconds), true
}

// offerFilter tells whether an offer will do.
type offerFilter func(InstanceOffer) bool

// affordable tells which offers a demand is worth: those that cost, when full, no
// more than so many times the cheapest one.
func affordable(m *model.Model, d *demand) offerFilter {
	cheapest := math.Inf(1)
	eachOffer(m, func(o InstanceOffer) {
		if p, ok := pricePerTask(m, d, o, math.MaxInt32); ok {
			cheapest = min(cheapest, p)
		}
	})
	// Asked for each machine, and the same for all of an offer: looked at once.
	zones := m.Zones.Len()
	index := func(o InstanceOffer) int {
		i := 2 * (int(o.Type)*zones + int(o.Zone))
		if o.Spot {
			i++
		}
		return i
	}
	verdicts := make([]int8, 2*len(m.Types)*zones) // 0: not looked at, 1: yes, -1: no
	return func(o InstanceOffer) bool {
		verdict := &verdicts[index(o)]
		if *verdict == 0 {
			*verdict = -1
			p, ok := pricePerTask(m, d, o, math.MaxInt32)
			if ok && (d.maxPriceFactor == 0 || p <= cheapest*d.maxPriceFactor) {
				*verdict = 1
			}
		}
		return *verdict > 0
	}
}

// cheapest finds the offer that costs least for what is left of a demand, among those that can be had now.
func (a *Autoscaler) cheapest(m *model.Model, d *demand, remaining int, now model.Time) (InstanceOffer, bool) {
	var best InstanceOffer
	found := false
	isAffordable := affordable(m, d)
	bestCost := math.Inf(1)
	eachOffer(m, func(o InstanceOffer) {
		cost, ok := pricePerTask(m, d, o, remaining)
		if !ok || a.refusals[o].until > now || a.partitionedZones[o.Zone] || !isAffordable(o) {
			return
		}
		cost *= (1 + machineCountPenalty*float64(a.machineCounts[o])) * a.latePenalty(o)
		if cost < bestCost {
			best, bestCost, found = o, cost, true
		}
	})
	return best, found
}
