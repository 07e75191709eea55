package scheduler

import (
	"fieldhill/internal/model"
	"fieldhill/internal/scheduling/pending"
)

// This file is what fits where: rooms, limits, and what is left to others.

// Room is what a task takes, or what a machine has.
type Room struct{ CPUs, GPUs, Mem float64 }

// Plus adds.
func (a Room) Plus(b Room) Room { return Room{a.CPUs + b.CPUs, a.GPUs + b.GPUs, a.Mem + b.Mem} }

// Minus subtracts.
func (a Room) Minus(b Room) Room { return Room{a.CPUs - b.CPUs, a.GPUs - b.GPUs, a.Mem - b.Mem} }

// Holds tells whether b fits into a.
func (a Room) Holds(b Room) bool {
	const eps = 1e-6
	return a.CPUs+eps >= b.CPUs && a.GPUs+eps >= b.GPUs && a.Mem+eps >= b.Mem
}

// GPUWork holds what the classes of work that uses GPUs need, as far as they were seen.
type GPUWork map[int32]Room

// Fits tells whether any of it fits a machine.
func (g GPUWork) Fits(total Room) bool {
	for _, need := range g {
		if total.Holds(need) {
			return true
		}
	}
	return false
}

// Spoiled tells whether some of it would fit a machine, but not beside what stays there.
func (g GPUWork) Spoiled(total, stays Room) bool {
	for _, need := range g {
		if total.Holds(need) && !total.Minus(stays).Holds(need) {
			return true
		}
	}
	return false
}

// Need is what a task of a job takes.
func Need(j *model.Job) Room { return Room{j.Spec.CPUs, j.Spec.GPUs, j.Spec.MemoryGB} }

// Whole is what an empty machine of a type has.
func Whole(t *model.Type) Room { return Room{t.CPUs, t.GPUs, t.MemoryGB} }

// Total is what a machine has.
func Total(m *model.Model, mc *model.Machine) Room { return Whole(m.TypeOf(mc)) }

func used(mc *model.Machine) Room { return Room{mc.CPUs, mc.GPUs, mc.Mem} }

// Movable tells of what on a machine may run in another zone once it is gone: whether any of it is urgent, so that room is made for it, and
// how much the rest needs.
func Movable(mc *model.Machine) (urgent bool, low Room) {
	for _, r := range mc.Runs {
		switch {
		case !r.Wanted() || r.Job.Zone >= 0:
		case r.Job.Priority > model.Low:
			urgent = true
		default:
			low = low.Plus(Need(r.Job))
		}
	}
	return urgent, low
}

// Outside is the room that machines outside a zone have for new work.
func Outside(m *model.Model, zone int32) (free Room) {
	for _, mc := range m.Order {
		if mc.Zone != zone && mc.Usable() {
			free = free.Plus(Total(m, mc).Minus(used(mc)))
		}
	}
	return free
}

// shape is what a job asks of a machine: jobs of the same kind of shape that
// need more than one which found nothing find nothing either, since room only
// shrinks in a round. It keeps a round's work from growing with what waits.
type shape struct {
	kind shapeKind
	need Room
}

type shapeKind struct {
	types                         string
	zone                          int32
	spot, service, gpus, prod, lo bool
	priority                      model.Priority // these three only where others are stopped
	guaranteed                    bool
	team                          *model.Team
}

func kindOf(j *model.Job) shapeKind {
	return shapeKind{types: j.TypesKey, zone: j.Zone, spot: j.Spec.Spot, service: j.Kind == model.Service, gpus: j.Spec.GPUs > 0,
		prod: j.Priority == model.Production, lo: j.Priority == model.Low}
}

// kindToStop is the kind where others are stopped: whom a job may stop is part of it.
func kindToStop(j *model.Job) shapeKind {
	k := kindOf(j)
	k.priority, k.guaranteed, k.team = j.Priority, j.Guaranteed, j.Team
	return k
}

// covered tells whether a need is at least one that found nothing.
func covered(list []shape, k shapeKind, need Room) bool {
	for i := range list {
		if list[i].kind == k && need.Holds(list[i].need) {
			return true
		}
	}
	return false
}

// spoils tells whether a gang that uses GPUs would not fit beside the services
// of a machine, with the job's task or without it.
func (s *Sched) spoils(j *model.Job, st *seat, with bool) bool {
	firm := Firm(st.mc)
	if with {
		firm = firm.Plus(Need(j))
	}
	return s.gpuWork.Spoiled(st.total, firm)
}

// hasRoom tells whether a task may take room on a machine now: free, not claimed
// for more urgent work, and not what services are to find free.
func (s *Sched) hasRoom(m *model.Model, j *model.Job, st *seat, need Room) bool {
	mc, total := st.mc, st.total
	free := total.Minus(used(mc))
	if !free.Holds(need) {
		return false
	}
	if st.claim != (Room{}) && !free.Plus(st.leaving()).Minus(st.claim).Holds(need) {
		return false
	}
	if j.Priority < model.Production && st.kept != (Room{}) && !free.Minus(st.kept).Holds(need) {
		return false
	}
	if total.GPUs == 0 {
		return mc.Spot || j.Priority >= model.Production || s.free-need.CPUs >= s.Headroom
	}
	if j.Spec.GPUs == 0 && j.Priority == model.Low && !s.LowMay[mc] {
		return false
	}
	if k := s.ForServices[mc]; k > 0 && j.Kind != model.Service && j.Spec.GPUs == 0 {
		// Where services are expected, other work leaves some of their room free.
		if total.CPUs-mc.CPUs-need.CPUs < float64(min(k, 3))*s.service {
			return false
		}
	}
	return s.serviceMay(j, st)
}

// serviceMay tells whether a service may go to a machine. A service stays for
// long: it would take what a gang needs, and keep a dear machine from being
// returned. It goes to a machine that gangs use only as far as the fleet found
// no other room for services.
func (s *Sched) serviceMay(j *model.Job, st *seat) bool {
	return j.Kind != model.Service || j.Spec.GPUs > 0 || st.total.GPUs == 0 || s.ForServices[st.mc] > 0 || !s.gpuWork.Fits(st.total)
}

// Firm is the room that services without GPUs have taken of a machine.
func Firm(mc *model.Machine) Room { return Room{mc.Firm.CPUs, mc.Firm.GPUs, mc.Firm.Mem} }

// teamAllows tells whether n more tasks keep the team's limit, and what of it is
// kept for the team's more urgent work.
func (s *Sched) teamAllows(j *model.Job, n int) bool {
	t := j.Team
	if t == nil || !j.TeamAllows(n) {
		return false
	}
	o, c := s.owed[t.Index], j.Spec
	return (t.CPUsMax == 0 || o.CPUs == 0 || t.UsedCPUs+o.CPUs+c.CPUs*float64(n) <= t.CPUsMax+1e-6) &&
		(t.GPUsMax == 0 || o.GPUs == 0 || t.UsedGPUs+o.GPUs+c.GPUs*float64(n) <= t.GPUsMax+1e-6)
}

// TeamReason tells how n more tasks of a job stand against their team's limit.
func (s *Sched) TeamReason(j *model.Job, n int) pending.Reason {
	t, o := j.Team, Room{}
	if t == nil {
		return pending.Reason{Code: pending.Team}
	}
	if t.Index < len(s.owed) {
		o = s.owed[t.Index]
	}
	r := pending.Reason{Code: pending.Team, Of: "CPUs", Need: j.Spec.CPUs * float64(n), Used: t.UsedCPUs + o.CPUs, Limit: t.CPUsMax}
	if g := j.Spec.GPUs * float64(n); t.GPUsMax > 0 && t.UsedGPUs+o.GPUs+g > t.GPUsMax+1e-6 {
		r.Of, r.Need, r.Used, r.Limit = "GPUs", g, t.UsedGPUs+o.GPUs, t.GPUsMax
	}
	return r
}

// ServiceMayUse tells whether a service may go to a machine as far as work that uses GPUs is
// concerned; everything else may.
func (s *Sched) ServiceMayUse(m *model.Model, j *model.Job, mc *model.Machine) bool {
	return s.serviceMay(j, &seat{mc: mc, total: Total(m, mc)})
}
