package explanation

import (
	"fmt"

	"fieldhill/internal/model"
	"fieldhill/internal/scheduling/pending"
	"fieldhill/internal/scheduling/scheduler"
	"fieldhill/wire"
)

// lift is a reason that can be taken away: whether it holds, with its figures, and what the
// world is without it.
type lift struct {
	code  pending.Code
	holds func(t *trial) (pending.Reason, bool)
	lift  func(t *trial)
}

// lifts are all of them, in the order in which a waiting task meets them.
var lifts = []lift{
	{pending.Paused, func(t *trial) (pending.Reason, bool) {
		return pending.Reason{N: t.j.Errors, In: t.j.NotBefore - t.now}, t.now < t.j.NotBefore
	}, func(t *trial) { t.j.NotBefore = 0 }},
	{pending.Faulty, func(t *trial) (pending.Reason, bool) {
		return pending.Reason{N: t.j.Errors}, t.j.Faulty
	}, func(t *trial) { t.j.Faulty = false }},
	{pending.Ending, func(t *trial) (pending.Reason, bool) {
		return pending.Reason{N: t.j.Live}, t.j.Kind == model.Gang && t.j.Live > 0
	}, func(t *trial) {
		for i := range t.j.Tasks {
			if r := t.j.Tasks[i].Run; r != nil {
				// It can't fail: the run is there. The job may settle if it was cancelled.
				_ = t.m.Apply(&model.Entry{Kind: model.EntryEnded, Job: t.j.ID, Task: r.Task, Attempt: r.Attempt}, 0, t.now)
			}
		}
	}},
	{pending.Queue, func(t *trial) (r pending.Reason, ok bool) {
		for _, o := range t.s.Ahead(t.m, t.j, t.now) {
			if r.N++; r.N == 1 {
				r.Who = o.Spec.ID
			}
		}
		return r, r.N > 0
	}, func(t *trial) { t.s.Only = t.j }},
	{pending.Paced, func(t *trial) (pending.Reason, bool) {
		return pending.Reason{N: t.s.LowMost}, t.s.LowMost > 0 && t.j.Priority == model.Low && t.j.Waiting() > t.s.LowMost
	}, func(t *trial) { t.s.LowMost = 0 }},
	{pending.Team, func(t *trial) (pending.Reason, bool) {
		n := members(t.j)
		r, most := t.s.TeamReason(t.j, n), 0.0
		for _, o := range t.m.JobsInOrder() { // who uses it, and the first of them who uses most
			use := o.Spec.CPUs
			if r.Of == "GPUs" {
				use = o.Spec.GPUs
			}
			if use *= float64(o.Live); o.Team == t.j.Team && use > 0 {
				if r.N++; use > most {
					r.Who, most = o.Spec.ID, use
				}
			}
		}
		return r, t.j.Team == nil || !t.j.TeamAllows(n)
	}, func(t *trial) {
		// Its own copy of the team: the others' limit stays.
		team := model.Team{}
		if t.j.Team != nil {
			team = *t.j.Team
		}
		team.CPUsMax, team.GPUsMax = 0, 0
		t.j.Team = &team
	}},
	{pending.Small, func(t *trial) (r pending.Reason, ok bool) {
		r.N, r.Who = t.machines(func(mc *model.Machine) bool {
			return t.allowed(mc) && !scheduler.Total(t.m, mc).Holds(scheduler.Need(t.j))
		})
		r.Of, r.Need = "CPUs", t.j.Spec.CPUs
		return r, r.N > 0
	}, func(t *trial) {
		for i := range t.m.Types {
			ty, s := &t.m.Types[i], t.j.Spec
			if ty.Known && t.j.Allowed(int32(i), t.j.Zone, false) {
				ty.CPUs, ty.GPUs, ty.MemoryGB = max(ty.CPUs, s.CPUs), max(ty.GPUs, s.GPUs), max(ty.MemoryGB, s.MemoryGB)
			}
		}
	}},
	ofMachines(pending.Booting, func(t *trial, mc *model.Machine) bool { return !mc.Reported && !mc.Releasing && !mc.Suspect },
		func(t *trial, mc *model.Machine) { mc.Reported = true }),
	ofMachines(pending.Returning, func(t *trial, mc *model.Machine) bool { return mc.Releasing },
		func(t *trial, mc *model.Machine) { mc.Releasing, mc.Reported = false, true }),
	ofMachines(pending.Suspect, func(t *trial, mc *model.Machine) bool { return mc.Suspect },
		func(t *trial, mc *model.Machine) { mc.Suspect, mc.Reported = false, true }),
	ofMachines(pending.Distrusted, func(t *trial, mc *model.Machine) bool { return mc.Bad || mc.DoubtSince != 0 },
		func(t *trial, mc *model.Machine) { mc.Bad, mc.DoubtSince = false, 0 }),
	ofMachines(pending.Draining, func(t *trial, mc *model.Machine) bool { return mc.Draining || mc.Notice != 0 },
		func(t *trial, mc *model.Machine) { mc.Draining, mc.Notice = false, 0 }),
	ofMachines(pending.Slow, func(t *trial, mc *model.Machine) bool { return mc.ServicesOnly(t.now) && t.j.Kind != model.Service },
		func(t *trial, mc *model.Machine) { mc.SlowUntil, mc.MuteSince = 0, 0 }),
	{pending.Failed, func(t *trial) (r pending.Reason, ok bool) {
		r.N, r.Who = t.machines(func(mc *model.Machine) bool { return t.j.FailedOn != nil && t.j.Avoids(mc, t.now) })
		return r, r.N > 0
	}, func(t *trial) { t.j.FailedOn = nil }},
	{pending.Spread, func(t *trial) (pending.Reason, bool) {
		return pending.Reason{N: (len(t.j.Tasks) + 1) / 2}, t.j.Spec.Spread && t.zoneClosed()
	}, func(t *trial) { t.respec().Spread = false }},
	{pending.SameZone, func(t *trial) (pending.Reason, bool) {
		return pending.Reason{}, t.j.Spec.SameZone && (t.zoneClosed() || members(t.j) > 1)
	}, func(t *trial) { t.respec().SameZone = false }},
	{pending.Headroom, func(t *trial) (pending.Reason, bool) {
		return pending.Reason{Of: "CPUs", Need: t.s.Headroom}, t.s.Headroom > 0 && t.j.Priority < model.Production
	}, func(t *trial) { t.s.Headroom = 0 }},
	{pending.Dear, func(t *trial) (r pending.Reason, ok bool) {
		r.N, r.Who = t.machines(func(mc *model.Machine) bool {
			return t.fits(mc) && scheduler.Total(t.m, mc).GPUs > 0 && !t.s.LowMay[mc]
		})
		return r, r.N > 0 && t.j.Spec.GPUs == 0 && t.j.Priority == model.Low
	}, func(t *trial) {
		for _, mc := range t.m.Order {
			t.s.LowMay[mc] = true
		}
	}},
	{pending.ForGPUs, func(t *trial) (r pending.Reason, ok bool) {
		r.N, r.Who = t.machines(func(mc *model.Machine) bool { return t.fits(mc) && !t.s.ServiceMayUse(t.m, t.j, mc) })
		return r, r.N > 0
	}, func(t *trial) {
		for _, mc := range t.m.Order {
			t.s.ForServices[mc] += t.j.Waiting()
		}
	}},
	noWait,
	{pending.Full, func(t *trial) (r pending.Reason, ok bool) {
		need, room := scheduler.Need(t.j), 0
		r.N, r.Who = t.machines(func(mc *model.Machine) bool {
			if !t.fits(mc) || !mc.Usable() {
				return false
			}
			free := scheduler.Total(t.m, mc).Minus(scheduler.Room{CPUs: mc.CPUs, GPUs: mc.GPUs, Mem: mc.Mem})
			for ; free.Holds(need) && room < t.j.Waiting(); room++ {
				free = free.Minus(need)
			}
			return !free.Holds(need)
		})
		r.Of, r.Need = "CPUs", need.CPUs
		return r, room < t.j.Waiting()
	}, addMachines},
}

// noWait is DAD's wait for a busy machine with the image.
var noWait = lift{pending.Image, func(t *trial) (pending.Reason, bool) {
	return pending.Reason{N: t.s.P.WaitRounds - t.j.Waited}, t.j.Why.Code == pending.Image
}, func(t *trial) { t.j.Waited = t.s.P.WaitRounds }}

// ofMachines is a reason that keeps some machines from being used.
func ofMachines(code pending.Code, kept func(t *trial, mc *model.Machine) bool, free func(t *trial, mc *model.Machine)) lift {
	return lift{code, func(t *trial) (r pending.Reason, ok bool) {
		r.N, r.Who = t.machines(func(mc *model.Machine) bool { return t.fits(mc) && kept(t, mc) })
		return r, r.N > 0
	}, func(t *trial) {
		for _, mc := range t.m.Order {
			if t.fits(mc) && kept(t, mc) {
				free(t, mc)
			}
		}
	}}
}

// members is how many tasks of a job start at once at the least.
func members(j *model.Job) int {
	if j.Kind == model.Gang {
		return len(j.Tasks) - j.Done
	}
	return 1
}

// machines counts those that are so, and names the first.
func (t *trial) machines(so func(*model.Machine) bool) (n int, first string) {
	for _, mc := range t.m.Order {
		if so(mc) {
			if n++; n == 1 {
				first = mc.Info.Name
			}
		}
	}
	return n, first
}

func (t *trial) allowed(mc *model.Machine) bool {
	return t.m.TypeOf(mc).Known && t.j.Allowed(mc.Type, mc.Zone, mc.Spot)
}

// fits tells whether a task would fit a machine if that were empty.
func (t *trial) fits(mc *model.Machine) bool {
	return t.allowed(mc) && scheduler.Total(t.m, mc).Holds(scheduler.Need(t.j))
}

// zoneClosed tells whether a zone with machines that suit the job takes no more of its tasks.
func (t *trial) zoneClosed() bool {
	n, _ := t.machines(func(mc *model.Machine) bool { return t.fits(mc) && !t.j.ZoneAllows(mc.Zone) })
	return n > 0
}

// respec gives the job a description of its own to be changed.
func (t *trial) respec() *wire.JobSpec {
	s := *t.j.Spec
	t.j.Spec = &s
	return &s
}

// mostAdded bounds the machines that stand for room.
const mostAdded = 200

// addMachines adds an empty machine that suits the job for each of its waiting tasks, of each
// kind that it allows.
func addMachines(t *trial) {
	need, added := scheduler.Need(t.j), 0
	for typ := range t.m.Types {
		ty := &t.m.Types[typ]
		if !ty.Known || !scheduler.Whole(ty).Holds(need) {
			continue
		}
		for _, zone := range ty.ZoneIDs {
			for k := 0; k < t.j.Waiting() && t.j.Allowed(int32(typ), zone, false) && added < mostAdded; k++ {
				added++
				id := t.m.NextMachine
				name := fmt.Sprintf("room-for-%s-%d", t.j.Spec.ID, added)
				// Names of machines in the model come from the cloud, so this one is new.
				if t.m.Apply(&model.Entry{Kind: model.EntryMachine, Machine: id, Info: &model.MachineInfo{Name: name, Type: ty.Name, Zone: t.m.Zones.Name(zone)}}, 0, t.now) != nil {
					continue
				}
				mc := t.m.Machines[id]
				mc.Reported, mc.Session = true, 1
				t.s.ForServices[mc] += t.j.Waiting()
				t.s.LowMay[mc] = true
			}
		}
	}
}
