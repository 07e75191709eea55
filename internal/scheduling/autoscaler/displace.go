package autoscaler

import (
	"fieldhill/internal/model"
	"fieldhill/internal/scheduling/scheduler"
)

// This file frees machines with GPUs: gangs that give way to services, and services that move together so that a
// machine can be released.

// epsilonCPUs is the least difference of CPUs that counts.
const epsilonCPUs = 1e-6

// displaceGangs lets services onto machines of gangs that are less urgent, when there
// is no other room and nothing to be provisioned: what is behind them in the queue has to
// leave. A gang leaves only for services that fill half of its room: for a few, a place
// is free elsewhere before long, and the gang would lose more than they gain.
func (p *planning) displaceGangs() {
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

// freeWithoutGangs is what would be free on a slot without the gangs below a priority.
func freeWithoutGangs(s *slot, priority model.Priority) scheduler.Resources {
	free := s.free
	for _, r := range s.machine.Runs {
		if r.Job.Spec.GPUs > 0 && r.Job.Kind == model.Gang && r.Job.Priority < priority {
			free = free.Plus(scheduler.TaskDemand(r.Job))
		}
	}
	return free
}

// fitUnplaced counts how many tasks of each unplaced demand would fit into what is free, and their CPUs together.
func (p *planning) fitUnplaced(s *slot, free scheduler.Resources) (counts []int, cpus float64) {
	for _, u := range p.unplaced {
		n := 0
		for n < u.remaining && free.Contains(u.demand.need) && u.demand.canUse(s) {
			free = free.Minus(u.demand.need)
			n++
		}
		counts = append(counts, n)
		cpus += float64(n) * u.demand.need.CPUs
	}
	return counts, cpus
}

// placeUnplaced places so many tasks of each unplaced demand on a slot.
func (p *planning) placeUnplaced(s *slot, counts []int) {
	rest := p.unplaced[:0]
	for i, u := range p.unplaced {
		for range counts[i] {
			if u.demand.canUse(s) {
				u.demand.placeOn(s)
				p.plan.ForServices[s.machine]++
				u.remaining--
			}
		}
		if u.remaining > 0 {
			rest = append(rest, u)
		}
	}
	p.unplaced = rest
}

// findVacatable looks for the machine with GPUs that the fewest services hold, and for
// room for all of them elsewhere, beside what waits and what is kept free. The
// places on other such machines are allowed to services.
func (p *planning) findVacatable() *model.Machine {
	source := p.leastServices()
	if source == nil {
		return nil
	}
	move := relocation{planning: p, source: source, taken: map[*slot]scheduler.Resources{}}
	extra := map[*model.Machine]int{}
	for _, r := range source.machine.Runs {
		if r.Job.Kind != model.Service || !r.IsWanted() {
			continue
		}
		target := move.targetFor(r.Job, extra)
		if target == nil {
			return nil
		}
		move.taken[target] = move.taken[target].Plus(scheduler.TaskDemand(r.Job))
	}
	for machine, n := range extra {
		p.plan.ForServices[machine] += n
	}
	return source.machine
}

// leastServices finds the machine with GPUs that only services hold, and the fewest of them; nil: there is none.
func (p *planning) leastServices() *slot {
	var best *slot
	for _, s := range p.slots {
		if s.machine == nil || !s.machine.Contact.Reported || s.total.GPUs == 0 ||
			!p.autoscaler.arrivals.gpuWork.FitsAny(s.total) || p.plan.ForServices[s.machine] > 0 {
			continue
		}
		reserved := scheduler.Reserved(s.machine)
		if reserved.CPUs == 0 || s.total.Minus(reserved).Minus(s.free).CPUs > epsilonCPUs { // a gang is there, or comes
			continue
		}
		if best == nil || reserved.CPUs < scheduler.Reserved(best.machine).CPUs {
			best = s
		}
	}
	return best
}

// relocation is a trial move of the services of a machine.
type relocation struct {
	*planning
	source *slot
	taken  map[*slot]scheduler.Resources // by the services moved so far
}

// targetFor finds a machine for a replica: one without GPUs, with its image if there is one, or else one that services
// fragment already, which is counted in extra. nil: there is none.
func (r *relocation) targetFor(j *model.Job, extra map[*model.Machine]int) *slot {
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
			extra[s.machine]++
		}
	})
	return target
}

// fits tells whether a replica may move to a slot.
func (r *relocation) fits(j *model.Job, s *slot) bool {
	return s != r.source && s.machine != nil && s.machine.IsUsable() &&
		j.AllowsMachine(s.machine.Type, s.machine.Zone, s.machine.Spot) &&
		(s.machine.Zone == r.source.machine.Zone || j.ZoneAllows(s.machine.Zone)) &&
		s.free.Minus(r.taken[s]).Contains(scheduler.TaskDemand(j))
}
