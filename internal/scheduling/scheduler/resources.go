package scheduler

import (
	"fieldhill/internal/model"
	"fieldhill/internal/scheduling/pending"
)

// This file is what fits where: rooms, limits, and what is left to others.

// Resources is what a task takes, or what a machine has.
type Resources struct{ CPUs, GPUs, MemoryGB float64 }

// Plus adds.
func (a Resources) Plus(b Resources) Resources {
	return Resources{a.CPUs + b.CPUs, a.GPUs + b.GPUs, a.MemoryGB + b.MemoryGB}
}

// Minus subtracts.
func (a Resources) Minus(b Resources) Resources {
	return Resources{a.CPUs - b.CPUs, a.GPUs - b.GPUs, a.MemoryGB - b.MemoryGB}
}

// Contains tells whether b fits into a.
func (a Resources) Contains(b Resources) bool {
	const epsilon = 1e-6
	return a.CPUs+epsilon >= b.CPUs && a.GPUs+epsilon >= b.GPUs && a.MemoryGB+epsilon >= b.MemoryGB
}

// GPUDemand holds what the classes of work that uses GPUs need, as far as they were seen.
type GPUDemand map[int32]Resources

// FitsAny tells whether any of it fits a machine.
func (g GPUDemand) FitsAny(total Resources) bool {
	for _, need := range g {
		if total.Contains(need) {
			return true
		}
	}
	return false
}

// BlockedBy tells whether some of it would fit a machine, but not beside what stays there.
func (g GPUDemand) BlockedBy(total, staying Resources) bool {
	for _, need := range g {
		if total.Contains(need) && !total.Minus(staying).Contains(need) {
			return true
		}
	}
	return false
}

// TaskDemand is what a task of a job takes.
func TaskDemand(j *model.Job) Resources { return Resources{j.Spec.CPUs, j.Spec.GPUs, j.Spec.MemoryGB} }

// TypeCapacity is what an empty machine of a type has.
func TypeCapacity(t *model.Type) Resources { return Resources{t.CPUs, t.GPUs, t.MemoryGB} }

// MachineCapacity is what a machine has.
func MachineCapacity(m *model.Model, machine *model.Machine) Resources {
	return TypeCapacity(m.TypeOf(machine))
}

func used(machine *model.Machine) Resources {
	return Resources{machine.CPUs, machine.GPUs, machine.Mem}
}

// MovableWork tells of what on a machine may run in another zone once it is gone: whether any of it is urgent, so
// that room is made for it, and how much the rest needs.
func MovableWork(machine *model.Machine) (urgent bool, low Resources) {
	for _, r := range machine.Runs {
		switch {
		case !r.IsWanted() || r.Job.Zone >= 0:
		case r.Job.Priority > model.Low:
			urgent = true
		default:
			low = low.Plus(TaskDemand(r.Job))
		}
	}
	return urgent, low
}

// FreeOutsideZone is the room that machines outside a zone have for new work.
func FreeOutsideZone(m *model.Model, zone int32) (free Resources) {
	for _, machine := range m.Order {
		if machine.Zone != zone && machine.IsUsable() {
			free = free.Plus(MachineCapacity(m, machine).Minus(used(machine)))
		}
	}
	return free
}

// demandShape is what a job asks of a machine: jobs of the same kind of shape that
// need more than one which found nothing find nothing either, since room only
// shrinks in a round. It keeps a round's work from growing with what waits.
type demandShape struct {
	kind shapeKind
	need Resources
}

type shapeKind struct {
	types                                             string
	zone                                              int32
	spot, service, needsGPUs, production, lowPriority bool
	priority                                          model.Priority // these three only where others are stopped
	guaranteed                                        bool
	team                                              *model.Team
}

func kindOf(j *model.Job) shapeKind {
	return shapeKind{
		types:       j.TypesKey,
		zone:        j.Zone,
		spot:        j.Spec.Spot,
		service:     j.Kind == model.Service,
		needsGPUs:   j.Spec.GPUs > 0,
		production:  j.Priority == model.Production,
		lowPriority: j.Priority == model.Low,
	}
}

// preemptionKindOf is the kind where others are stopped: whom a job may stop is part of it.
func preemptionKindOf(j *model.Job) shapeKind {
	k := kindOf(j)
	k.priority, k.guaranteed, k.team = j.Priority, j.Scheduling.Guaranteed, j.Team
	return k
}

// coveredBy tells whether a need is at least one that found nothing.
func coveredBy(list []demandShape, k shapeKind, need Resources) bool {
	for i := range list {
		if list[i].kind == k && need.Contains(list[i].need) {
			return true
		}
	}
	return false
}

// blocksGPUWork tells whether a gang that uses GPUs would not fit beside the services
// of a machine, with the job's task or without it.
func (s *Scheduler) blocksGPUWork(j *model.Job, view *machineView, with bool) bool {
	reserved := Reserved(view.machine)
	if with {
		reserved = reserved.Plus(TaskDemand(j))
	}
	return s.gpuDemand.BlockedBy(view.capacity, reserved)
}

// hasResources tells whether a task may take room on a machine now: free, not claimed
// for more urgent work, and not what services are to find free.
func (s *Scheduler) hasResources(m *model.Model, j *model.Job, view *machineView, need Resources) bool {
	machine, total := view.machine, view.capacity
	free := total.Minus(used(machine))
	if !free.Contains(need) {
		return false
	}
	if view.claimed != (Resources{}) && !free.Plus(view.stoppingResources()).Minus(view.claimed).Contains(need) {
		return false
	}
	if j.Priority < model.Production && view.reservedForServices != (Resources{}) &&
		!free.Minus(view.reservedForServices).Contains(need) {
		return false
	}
	if total.GPUs == 0 {
		return machine.Spot || j.Priority >= model.Production || s.freeServiceCPUs-need.CPUs >= s.ServiceHeadroom
	}
	if j.Spec.GPUs == 0 && j.Priority == model.Low && !s.LowPriorityAllowed[machine] {
		return false
	}
	if k := s.ServiceSlots[machine]; k > 0 && j.Kind != model.Service && j.Spec.GPUs == 0 {
		// Where services are expected, other work leaves some of their room free.
		if total.CPUs-machine.CPUs-need.CPUs < float64(min(k, 3))*s.maxServiceCPUs {
			return false
		}
	}
	return s.serviceAllowed(j, view)
}

// serviceAllowed tells whether a service may go to a machine. A service stays for
// long: it would take what a gang needs, and keep a dear machine from being
// returned. It goes to a machine that gangs use only as far as the fleet found
// no other room for services.
func (s *Scheduler) serviceAllowed(j *model.Job, view *machineView) bool {
	return j.Kind != model.Service || j.Spec.GPUs > 0 || view.capacity.GPUs == 0 || s.ServiceSlots[view.machine] > 0 ||
		!s.gpuDemand.FitsAny(view.capacity)
}

// Reserved is the room that services without GPUs have taken of a machine.
func Reserved(machine *model.Machine) Resources {
	return Resources{machine.Reserved.CPUs, machine.Reserved.GPUs, machine.Reserved.Mem}
}

// teamLimitAllows tells whether n more tasks keep the team's limit, and what of it is
// kept for the team's more urgent work.
func (s *Scheduler) teamLimitAllows(j *model.Job, n int) bool {
	t := j.Team
	if t == nil || !j.TeamLimitAllows(n) {
		return false
	}
	reserved, c := s.reservedQuota[t.Index], j.Spec
	return (t.CPUsMax == 0 || reserved.CPUs == 0 || t.UsedCPUs+reserved.CPUs+c.CPUs*float64(n) <= t.CPUsMax+1e-6) &&
		(t.GPUsMax == 0 || reserved.GPUs == 0 || t.UsedGPUs+reserved.GPUs+c.GPUs*float64(n) <= t.GPUsMax+1e-6)
}

// TeamReason tells how n more tasks of a job stand against their team's limit.
func (s *Scheduler) TeamReason(j *model.Job, n int) pending.Reason {
	t, reserved := j.Team, Resources{}
	if t == nil {
		return pending.Reason{Code: pending.TeamLimit}
	}
	if t.Index < len(s.reservedQuota) {
		reserved = s.reservedQuota[t.Index]
	}
	r := pending.Reason{
		Code:  pending.TeamLimit,
		Unit:  "CPUs",
		Need:  j.Spec.CPUs * float64(n),
		Used:  t.UsedCPUs + reserved.CPUs,
		Limit: t.CPUsMax,
	}
	if g := j.Spec.GPUs * float64(n); t.GPUsMax > 0 && t.UsedGPUs+reserved.GPUs+g > t.GPUsMax+1e-6 {
		r.Unit, r.Need, r.Used, r.Limit = "GPUs", g, t.UsedGPUs+reserved.GPUs, t.GPUsMax
	}
	return r
}

// ServiceAllowedOn tells whether a service may go to a machine as far as work that uses GPUs is
// concerned; everything else may.
func (s *Scheduler) ServiceAllowedOn(m *model.Model, j *model.Job, machine *model.Machine) bool {
	return s.serviceAllowed(j, &machineView{machine: machine, capacity: MachineCapacity(m, machine)})
}
