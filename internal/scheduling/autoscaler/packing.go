package autoscaler

import (
	"sort"

	"fieldhill/internal/scheduling/scheduler"
)

// unplacedServices is services for which there is no room and nothing to be provisioned.
type unplacedServices struct {
	demand    *demand
	remaining int
}

// packing is one demand on its way onto the slots.
type packing struct {
	*planning
	demand    *demand
	remaining int // tasks without a place
}

// slotFilter tells whether a slot will do.
type slotFilter func(*slot) bool

func anySlot(*slot) bool { return true }

// pack puts a demand's tasks onto slots, and plans machines for those that find no room.
func (p *planning) pack(d *demand) {
	k := packing{planning: p, demand: d, remaining: d.count}
	k.fillSuitable()
	k.fillGPUMachines()
	k.scaleOut()
}

// fillSlot places tasks on a slot for as long as they fit.
func (k *packing) fillSlot(s *slot, allowed slotFilter) {
	d := k.demand
	for k.remaining > 0 && allowed(s) && s.free.Contains(d.need) && d.canUse(s) {
		d.placeOn(s)
		k.remaining--
		if d.service && !d.standby && s.machine != nil && s.total.GPUs > 0 {
			k.plan.ForServices[s.machine]++
		}
	}
}

// fill places tasks on the slots in their order.
func (k *packing) fill(allowed slotFilter) {
	for _, s := range k.slots {
		if k.remaining <= 0 {
			return
		}
		k.fillSlot(s, allowed)
	}
}

// fillSuitable fills the machines that suit the demand: those with GPUs only if it uses them.
func (k *packing) fillSuitable() {
	d := k.demand
	suits := func(s *slot) bool { return d.need.GPUs > 0 || s.total.GPUs == 0 }
	if d.maxPriceFactor == 0 {
		k.fill(suits)
		return
	}
	// First what is there anyway, then what it is worth paying for.
	k.fill(func(s *slot) bool { return s.used && suits(s) })
	worth := affordable(k.model, d)
	k.fill(func(s *slot) bool { return (suits(s) || !d.standby) && worth(s.offer) })
}

// fillGPUMachines fills machines with GPUs that are in use with a demand that needs none: it is not to keep idle ones.
func (k *packing) fillGPUMachines() {
	d := k.demand
	if d.need.GPUs > 0 {
		return
	}
	if !d.service {
		k.fill(func(s *slot) bool { return s.used })
		return
	}
	a := k.autoscaler
	k.fill(func(s *slot) bool { return s.total.GPUs > 0 && !a.arrivals.gpuWork.FitsAny(s.total) && s.used })
	k.eachServiceMachine(func(s *slot) {
		before := k.remaining
		k.fillSlot(s, a.isFragmented)
		if d.standby && k.remaining < before {
			k.plan.ForServices[s.machine] += before - k.remaining // it is theirs already
		}
	})
}

// scaleOut plans machines for the tasks that found no room, the cheapest first.
func (k *packing) scaleOut() {
	d := k.demand
	isWaitingService := d.need.GPUs == 0 && d.service && !d.standby
	for k.remaining > 0 {
		o, ok := k.autoscaler.cheapest(k.model, d, k.remaining, k.now)
		withGPUs := ok && k.model.Types[o.Type].GPUs > 0
		if isWaitingService && (!ok || withGPUs) && k.fillAnyMachine() {
			continue
		}
		if !ok && isWaitingService {
			k.unplaced = append(k.unplaced, unplacedServices{d, k.remaining})
		}
		if !ok || d.need.GPUs == 0 && d.standby && withGPUs {
			// Machines with GPUs are not provisioned to stand idle for work without.
			return
		}
		k.planMachine(o)
		if plannedCount(k.slots) >= maxPlannedMachines {
			return
		}
	}
}

// fillAnyMachine puts services onto machines with GPUs when nothing without can be provisioned: those that hold
// services already first, then those that are up, then all. It tells whether any found room.
func (k *packing) fillAnyMachine() bool {
	before := k.remaining
	k.eachServiceMachine(func(s *slot) { k.fillSlot(s, anySlot) })
	k.fill(func(s *slot) bool { return s.machine != nil && s.machine.Contact.Reported })
	k.fill(anySlot)
	return k.remaining < before
}

// planMachine plans a machine of an offer, and fills it.
func (k *packing) planMachine(o InstanceOffer) {
	d := k.demand
	total := scheduler.TypeCapacity(&k.model.Types[o.Type])
	s := &slot{offer: o, total: total, free: total, used: true, planned: true, purpose: d.purpose}
	for k.remaining > 0 && s.free.Contains(d.need) && d.allows(o) {
		d.placeOn(s)
		k.remaining--
	}
	k.slots = append(k.slots, s)
}

func plannedCount(slots []*slot) int {
	n := 0
	for _, s := range slots {
		if s.planned {
			n++
		}
	}
	return n
}

// eachServiceMachine calls a function for the machines with GPUs that hold services, the
// one with most of them first: the fewer machines they keep, the better.
func (p *planning) eachServiceMachine(each func(*slot)) {
	var candidates []*slot
	for _, s := range p.slots {
		if s.machine != nil && s.machine != p.autoscaler.vacating && s.total.GPUs > 0 &&
			scheduler.Reserved(s.machine).CPUs > 0 {
			candidates = append(candidates, s)
		}
	}
	sort.SliceStable(candidates, func(i, k int) bool {
		return scheduler.Reserved(candidates[i].machine).CPUs > scheduler.Reserved(candidates[k].machine).CPUs
	})
	for _, s := range candidates {
		each(s)
	}
}
