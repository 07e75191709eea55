package autoscaler

import (
	"sort"

	"fieldhill/internal/model"
	"fieldhill/internal/scheduling/scheduler"
)

// unplacedServices are the service tasks of a demand that fit on no machine and for which no machine can be
// provisioned.
type unplacedServices struct {
	demand    *demand
	remaining int
}

// packing is the state of packing one demand onto the slots.
type packing struct {
	*planner
	demand     *demand
	affordable offerFilter
	remaining  int // tasks not yet placed
	// withoutGPUs is the number of tasks placed on machines without GPUs, including planned ones.
	withoutGPUs int
	// unavailable reports that no machine can be requested for the remaining tasks.
	unavailable bool
}

// slotFilter reports whether a slot is acceptable.
type slotFilter func(*slot) bool

func anySlot(*slot) bool { return true }

// pack places a demand's tasks on slots, and plans machines for the remaining ones.
func (p *planner) pack(d *demand) {
	if d.sameZone && d.zone < 0 {
		d.zone = p.chooseZone(d)
	}
	pk := packing{planner: p, demand: d, remaining: d.count, affordable: affordable(p.model, d)}
	pk.fillSuitable()
	pk.fillGPUMachines()
	pk.scaleOut()
	p.plan.ServiceHeadroom += pk.headroom()
}

// headroom returns the number of CPUs that other work leaves free for the expected arrivals of a standby demand: no
// more than the demand has on machines without GPUs or will get there. Otherwise, tasks would wait for machines that
// nobody requests, beside free CPUs.
func (k *packing) headroom() float64 {
	tasks := k.withoutGPUs
	if !k.unavailable {
		tasks += k.remaining // requested by the next plans
	}
	return min(k.demand.headroomCPUs, float64(tasks)*k.demand.taskResources.CPUs)
}

// place places a task on a slot.
func (k *packing) place(s *slot) {
	k.demand.placeTask(s)
	k.remaining--
	if s.total.GPUs == 0 {
		k.withoutGPUs++
	}
}

// fillSlot places tasks on a slot while the filter accepts it, the constraints allow it and the tasks fit.
func (k *packing) fillSlot(s *slot, allowed slotFilter) {
	d := k.demand
	for k.remaining > 0 && allowed(s) && s.free.Contains(d.taskResources) && d.canUse(s) && k.allowsPriority(s) {
		k.place(s)
		if d.service && !d.standby && s.machine != nil && s.total.GPUs > 0 {
			k.plan.ServiceSlots[s.machine]++
		}
	}
}

// allowsPriority reports whether the scheduler places tasks of the demand's priority on the machine of a slot: tasks
// without GPUs and of low priority may use a machine with GPUs only as Plan.LowPriorityAllowed says.
func (k *packing) allowsPriority(s *slot) bool {
	d := k.demand
	return d.priority > model.Low || d.standby || d.taskResources.GPUs > 0 || s.total.GPUs == 0 ||
		k.isKeptForOthers(s) || d.maxPriceFactor > 0 && k.affordable(s.offer)
}

// fill places tasks on the slots that the filter accepts, in order.
func (k *packing) fill(allowed slotFilter) {
	for _, s := range k.slots {
		if k.remaining <= 0 {
			return
		}
		k.fillSlot(s, allowed)
	}
}

// suits reports whether the machine of a slot suits the demand: machines with GPUs suit only tasks that use GPUs.
func (d *demand) suits(s *slot) bool { return d.taskResources.GPUs > 0 || s.total.GPUs == 0 }

// fillSuitable places tasks on the machines that suit the demand. Arrays may also use machines with GPUs that are
// affordable.
func (k *packing) fillSuitable() {
	d := k.demand
	if d.maxPriceFactor == 0 {
		k.fill(d.suits)
		return
	}
	// Machines in use are filled first because they are kept anyway, then affordable ones.
	k.fill(func(s *slot) bool { return s.used && d.suits(s) })
	k.fill(func(s *slot) bool { return (d.suits(s) || !d.standby) && k.affordable(s.offer) })
}

// fillGPUMachines places a demand that needs no GPUs on machines with GPUs that are in use. Idle machines with GPUs
// must not be kept for such a demand.
func (k *packing) fillGPUMachines() {
	d := k.demand
	if d.taskResources.GPUs > 0 {
		return
	}
	if !d.service {
		k.fill(func(s *slot) bool { return s.used })
		return
	}
	a := k.autoscaler
	k.fill(func(s *slot) bool { return s.total.GPUs > 0 && !a.arrivals.gpuDemand.FitsAny(s.total) && s.used })
	k.eachServiceMachine(func(s *slot) {
		before := k.remaining
		k.fillSlot(s, a.isFragmented)
		if d.standby && k.remaining < before {
			k.plan.ServiceSlots[s.machine] += before - k.remaining // services already occupy this machine
		}
	})
}

// scaleOut plans machines for the remaining tasks, from the cheapest offer first.
func (k *packing) scaleOut() {
	d := k.demand
	isWaitingService := d.taskResources.GPUs == 0 && d.service && !d.standby
	for k.remaining > 0 {
		o, ok := k.autoscaler.cheapest(k.model, d, k.remaining, k.now)
		withGPUs := ok && k.model.Types[o.Type].GPUs > 0
		if isWaitingService && (!ok || withGPUs) && k.fillAnyMachine() {
			continue
		}
		if !ok && isWaitingService {
			k.unplaced = append(k.unplaced, unplacedServices{d, k.remaining})
		}
		if !ok || d.taskResources.GPUs == 0 && d.standby && withGPUs {
			// Machines with GPUs are not provisioned as standby for work that needs no GPUs.
			k.unavailable = true
			return
		}
		k.planMachine(o)
		if plannedCount(k.slots) >= maxPlannedMachines {
			return
		}
	}
}

// fillAnyMachine places services on machines with GPUs when no machine without GPUs can be provisioned: first on
// machines that already run services, then on machines that are up, then on any. It reports whether any task was
// placed.
func (k *packing) fillAnyMachine() bool {
	before := k.remaining
	k.eachServiceMachine(func(s *slot) { k.fillSlot(s, anySlot) })
	k.fill(func(s *slot) bool { return s.machine != nil && s.machine.Contact.Reported })
	k.fill(anySlot)
	return k.remaining < before
}

// planMachine adds a slot for a new machine of an offer, and fills it.
func (k *packing) planMachine(o InstanceOffer) {
	d := k.demand
	total := scheduler.TypeCapacity(&k.model.Types[o.Type])
	s := &slot{offer: o, total: total, free: total, used: true, planned: true, purpose: d.purpose}
	for k.remaining > 0 && s.free.Contains(d.taskResources) && d.allows(o) {
		k.place(s)
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

// eachServiceMachine calls a function for the machines with GPUs that run services, except the drain target, in
// descending order of the CPUs that services use, so that services occupy as few of these machines as possible.
func (p *planner) eachServiceMachine(each func(*slot)) {
	var candidates []*slot
	for _, s := range p.slots {
		if s.machine != nil && s.machine != p.autoscaler.drainTarget && s.total.GPUs > 0 &&
			scheduler.ServiceUsage(s.machine).CPUs > 0 {
			candidates = append(candidates, s)
		}
	}
	sort.SliceStable(candidates, func(i, k int) bool {
		return scheduler.ServiceUsage(candidates[i].machine).CPUs > scheduler.ServiceUsage(candidates[k].machine).CPUs
	})
	for _, s := range candidates {
		each(s)
	}
}
