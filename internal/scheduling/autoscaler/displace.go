package autoscaler

import (
	"fieldhill/internal/model"
	"fieldhill/internal/scheduling/scheduler"
)

// This file gives services room on machines with GPUs by displacing less urgent gangs, and consolidates services so
// that a machine with GPUs can be released.

// epsilonCPUs is the tolerance for comparing CPU amounts.
const epsilonCPUs = 1e-6

// displaceGangs allows services on machines with less urgent gangs if the services fit nowhere else and no machine can
// be provisioned for them; the scheduler then preempts the gangs. A gang is displaced only if the services fill at
// least half of the freed resources: a few services soon find room elsewhere, and the gang would lose more than the
// services gain.
func (p *planner) displaceGangs() {
	for _, s := range p.slots {
		if len(p.unplaced) == 0 {
			return
		}
		if s.machine == nil || !s.machine.Contact.Reported || s.total.GPUs == 0 {
			continue
		}
		freed := freeWithoutGangs(s, p.unplaced[0].demand.priority)
		if freed == s.free {
			continue
		}
		counts, cpus := p.fitUnplaced(s, freed)
		if 2*cpus >= freed.CPUs {
			p.placeUnplaced(s, counts)
		}
	}
}

// freeWithoutGangs returns the resources of a slot that would be free if all gangs below a priority were preempted.
func freeWithoutGangs(s *slot, priority model.Priority) scheduler.Resources {
	free := s.free
	for _, r := range s.machine.Runs {
		if r.Job.Spec.GPUs > 0 && r.Job.Kind == model.Gang && r.Job.Priority < priority {
			free = free.Plus(scheduler.TaskDemand(r.Job))
		}
	}
	return free
}

// fitUnplaced returns how many tasks of each unplaced demand fit into the free resources, and the sum of their CPUs.
func (p *planner) fitUnplaced(s *slot, free scheduler.Resources) (counts []int, cpus float64) {
	for _, u := range p.unplaced {
		n := 0
		for n < u.remaining && free.Contains(u.demand.taskResources) && u.demand.canUse(s) {
			free = free.Minus(u.demand.taskResources)
			n++
		}
		counts = append(counts, n)
		cpus += float64(n) * u.demand.taskResources.CPUs
	}
	return counts, cpus
}

// placeUnplaced places the given number of tasks of each unplaced demand on a slot.
func (p *planner) placeUnplaced(s *slot, counts []int) {
	rest := p.unplaced[:0]
	for i, u := range p.unplaced {
		for range counts[i] {
			if u.demand.canUse(s) {
				u.demand.placeTask(s)
				p.plan.ServiceSlots[s.machine]++
				u.remaining--
			}
		}
		if u.remaining > 0 {
			rest = append(rest, u)
		}
	}
	p.unplaced = rest
}

// selectDrainTarget selects the machine to vacate: among the machines with GPUs that run only services, the one with
// the fewest CPUs reserved for them. It returns nil if there is no such machine, or if not all replicas on that machine
// fit on other machines in addition to waiting and standby demand. Replicas that fit only on other machines with GPUs
// are counted in ServiceSlots.
func (p *planner) selectDrainTarget() *model.Machine {
	source := p.leastLoadedServiceMachine()
	if source == nil {
		return nil
	}
	trial := relocation{planner: p, source: source, claimed: map[*slot]scheduler.Resources{}}
	gpuMachineSlots := map[*model.Machine]int{}
	for _, r := range source.machine.Runs {
		if r.Job.Kind != model.Service || !r.IsWanted() {
			continue
		}
		target := trial.targetFor(r.Job, gpuMachineSlots)
		if target == nil {
			return nil
		}
		trial.claimed[target] = trial.claimed[target].Plus(scheduler.TaskDemand(r.Job))
	}
	for machine, n := range gpuMachineSlots {
		p.plan.ServiceSlots[machine] += n
	}
	return source.machine
}

// leastLoadedServiceMachine returns the slot of the machine with GPUs that runs only services and has the fewest CPUs
// reserved for them, or nil.
func (p *planner) leastLoadedServiceMachine() *slot {
	var best *slot
	for _, s := range p.slots {
		if s.machine == nil || !s.machine.Contact.Reported || s.total.GPUs == 0 ||
			!p.autoscaler.arrivals.gpuDemand.FitsAny(s.total) || p.plan.ServiceSlots[s.machine] > 0 {
			continue
		}
		serviceUsage := scheduler.ServiceUsage(s.machine)
		if serviceUsage.CPUs == 0 || s.total.Minus(serviceUsage).Minus(s.free).CPUs > epsilonCPUs {
			continue // other work, such as a gang, runs there or is packed onto it
		}
		if best == nil || serviceUsage.CPUs < scheduler.ServiceUsage(best.machine).CPUs {
			best = s
		}
	}
	return best
}

// relocation is a trial move of the replicas on a machine to other machines.
type relocation struct {
	*planner
	source  *slot
	claimed map[*slot]scheduler.Resources // by the replicas relocated so far
}

// targetFor returns the slot of a machine that a replica can move to, or nil: a machine without GPUs, preferably one
// that has the image, or else a machine with GPUs that services already fragment (see isFragmented). A move to a
// machine with GPUs is counted in gpuMachineSlots.
func (r *relocation) targetFor(j *model.Job, gpuMachineSlots map[*model.Machine]int) *slot {
	var target *slot
	for _, s := range r.slots {
		if s.total.GPUs == 0 && r.fits(j, s) &&
			(target == nil || s.machine.HasImage(j.Image) && !target.machine.HasImage(j.Image)) {
			target = s
		}
	}
	if target != nil {
		return target
	}
	r.eachServiceMachine(func(s *slot) {
		if target == nil && r.autoscaler.isFragmented(s) && r.fits(j, s) {
			target = s
			gpuMachineSlots[s.machine]++
		}
	})
	return target
}

// fits reports whether a replica may move to a slot.
func (r *relocation) fits(j *model.Job, s *slot) bool {
	return s != r.source && s.machine != nil && s.machine.IsUsable() &&
		j.AllowsMachine(s.machine.Type, s.machine.Zone, s.machine.Spot) &&
		(s.machine.Zone == r.source.machine.Zone || j.ZoneAllows(s.machine.Zone)) &&
		s.free.Minus(r.claimed[s]).Contains(scheduler.TaskDemand(j))
}
