package autoscaler

import (
	"math"

	"fieldhill/internal/model"
	"fieldhill/internal/scheduling/scheduler"
)

// This file tracks what the cloud offers: recent refusals, the cost per task on each offer, and which offers are
// affordable for a demand.

// minRefusalBackoff and maxRefusalBackoff limit the backoff of an offer, which doubles with each refusal.
const (
	minRefusalBackoff = model.Time(10e9)
	maxRefusalBackoff = model.Time(80e9)
)

const (
	// spotRiskFactor scales the price of spot instances to account for the risk that they are preempted and the work of
	// their tasks is lost.
	spotRiskFactor = 1.3
	// bootPriceDoublingSeconds is the boot time that doubles the price of an offer in comparisons.
	bootPriceDoublingSeconds = 300
	// machineCountPenalty is the relative price penalty of an offer for each of its existing machines. It spreads
	// machines over offers of equal price.
	machineCountPenalty = 0.02
)

// refusal is the backoff state of an offer for which the cloud had no capacity.
type refusal struct {
	until   model.Time
	backoff model.Time
}

// OnRefused records that the cloud had no capacity for an offer. The offer is requested again after an exponential
// backoff.
func (a *Autoscaler) OnRefused(o InstanceOffer, now model.Time) {
	r := a.refusals[o]
	r.backoff = min(max(2*r.backoff, minRefusalBackoff), maxRefusalBackoff)
	r.until = now + r.backoff
	a.refusals[o] = r
}

// OnAvailable ends the backoff of an offer, because the cloud has filled a request for it or a machine of it was
// released. Without this, the replacement of a machine that died in a zone without capacity would wait for the end of
// an earlier backoff, for up to 80 s.
func (a *Autoscaler) OnAvailable(o InstanceOffer) { delete(a.refusals, o) }

// RefusalsFor returns how many offers that suit a job are in backoff, and the time until the first of these offers is
// requested again.
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

// eachOffer calls a function for each offer of the cloud.
func eachOffer(m *model.Model, each func(InstanceOffer)) {
	for i := range m.Types {
		for _, z := range m.Types[i].ZoneIDs {
			each(InstanceOffer{int32(i), z, false})
			each(InstanceOffer{int32(i), z, true})
		}
	}
}

// pricePerTask returns the hourly price of a machine of an offer divided by the number of tasks that it would run if
// the given number of tasks remained to be placed. The price is raised for spot risk and boot time. The result is false
// if no task fits on the machine or may run there.
func pricePerTask(m *model.Model, d *demand, o InstanceOffer, remaining int) (float64, bool) {
	t := &m.Types[o.Type]
	fit := scheduler.TypeCapacity(t).Count(d.taskResources, remaining)
	if !t.Known || fit == 0 || !d.allows(o) {
		return 0, false
	}
	price := t.Price
	if o.Spot {
		price = t.SpotPrice * spotRiskFactor
	}
	return price / float64(fit) * (1 + t.BootS/bootPriceDoublingSeconds), true
}

// offerFilter reports whether an offer is acceptable.
type offerFilter func(InstanceOffer) bool

// affordable returns a filter for the offers whose price per task on a fully used machine is within the demand's price
// limit.
func affordable(m *model.Model, d *demand) offerFilter {
	cheapest := math.Inf(1)
	eachOffer(m, func(o InstanceOffer) {
		if p, ok := pricePerTask(m, d, o, math.MaxInt32); ok {
			cheapest = min(cheapest, p)
		}
	})
	// The filter is called for each machine, and its result is the same for all machines of an offer, so it is cached.
	zones := m.Zones.Len()
	index := func(o InstanceOffer) int {
		i := 2 * (int(o.Type)*zones + int(o.Zone))
		if o.Spot {
			i++
		}
		return i
	}
	cache := make([]int8, 2*len(m.Types)*zones) // 0: not computed, 1: affordable, -1: not affordable
	return func(o InstanceOffer) bool {
		cached := &cache[index(o)]
		if *cached == 0 {
			*cached = -1
			p, ok := pricePerTask(m, d, o, math.MaxInt32)
			if ok && (d.maxPriceFactor == 0 || p <= cheapest*d.maxPriceFactor) {
				*cached = 1
			}
		}
		return *cached > 0
	}
}

// cheapest returns the offer with the lowest cost per task for the remaining tasks of a demand, among the affordable
// offers that can be requested now. The result is false if there is none.
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
		cost *= (1 + machineCountPenalty*float64(a.machineCounts[o])) * a.overduePenalty(o)
		if cost < bestCost {
			best, bestCost, found = o, cost, true
		}
	})
	return best, found
}
