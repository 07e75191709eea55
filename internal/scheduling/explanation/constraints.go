package explanation

import (
	"fmt"

	"fieldhill/internal/model"
	"fieldhill/internal/scheduling/pending"
	"fieldhill/internal/scheduling/scheduler"
	"fieldhill/wire"
)

// constraint is a reason that can be taken away: whether it holds, with its figures, and what the
// world is without it.
type constraint struct {
	code  pending.Code
	holds func(t *simulation) (pending.Reason, bool)
	lift  func(t *simulation)
}

// constraints are all of them, in the order in which a waiting task meets them.
var constraints = []constraint{
	{pending.BackingOff, func(t *simulation) (pending.Reason, bool) {
		return pending.Reason{
			Count:     t.job.Observed.Errors,
			Remaining: t.job.Scheduling.NotBefore - t.now,
		}, t.now < t.job.Scheduling.NotBefore
	}, func(t *simulation) { t.job.Scheduling.NotBefore = 0 }},
	{pending.Faulty, func(t *simulation) (pending.Reason, bool) {
		return pending.Reason{Count: t.job.Observed.Errors}, t.job.Observed.Faulty
	}, func(t *simulation) { t.job.Observed.Faulty = false }},
	{pending.AttemptEnding, func(t *simulation) (pending.Reason, bool) {
		return pending.Reason{Count: t.job.Live}, t.job.Kind == model.Gang && t.job.Live > 0
	}, func(t *simulation) {
		for i := range t.job.Tasks {
			if r := t.job.Tasks[i].Run; r != nil {
				// It can't fail: the run is there. The job may settle if it was cancelled.
				_ = t.model.Apply(
					&model.Entry{Kind: model.EntryEnded, Job: t.job.ID, Task: r.Task, Attempt: r.Attempt},
					0,
					t.now,
				)
			}
		}
	}},
	{pending.QueuedBehind, func(t *simulation) (r pending.Reason, ok bool) {
		for _, o := range t.scheduler.Ahead(t.model, t.job, t.now) {
			if r.Count++; r.Count == 1 {
				r.First = o.Spec.ID
			}
		}
		return r, r.Count > 0
	}, func(t *simulation) { t.scheduler.OnlyJob = t.job }},
	{pending.Throttled, func(t *simulation) (pending.Reason, bool) {
		return pending.Reason{
				Count: t.scheduler.LowPriorityLimit,
			}, t.scheduler.LowPriorityLimit > 0 && t.job.Priority == model.Low &&
				t.job.Waiting() > t.scheduler.LowPriorityLimit
	}, func(t *simulation) { t.scheduler.LowPriorityLimit = 0 }},
	{pending.TeamLimit, func(t *simulation) (pending.Reason, bool) {
		n := minTasksAtOnce(t.job)
		r, most := t.scheduler.TeamReason(t.job, n), 0.0
		for _, o := range t.model.JobsInOrder() { // who uses it, and the first of them who uses most
			use := o.Spec.CPUs
			if r.Unit == "GPUs" {
				use = o.Spec.GPUs
			}
			if use *= float64(o.Live); o.Team == t.job.Team && use > 0 {
				if r.Count++; use > most {
					r.First, most = o.Spec.ID, use
				}
			}
		}
		return r, t.job.Team == nil || !t.job.TeamLimitAllows(n)
	}, func(t *simulation) {
		// Its own copy of the team: the others' limit stays.
		team := model.Team{}
		if t.job.Team != nil {
			team = *t.job.Team
		}
		team.CPUsMax, team.GPUsMax = 0, 0
		t.job.Team = &team
	}},
	{pending.TooSmall, func(t *simulation) (r pending.Reason, ok bool) {
		r.Count, r.First = t.countMachines(func(mc *model.Machine) bool {
			return t.allowed(mc) && !scheduler.MachineCapacity(t.model, mc).Contains(scheduler.TaskDemand(t.job))
		})
		r.Unit, r.Need = "CPUs", t.job.Spec.CPUs
		return r, r.Count > 0
	}, func(t *simulation) {
		for i := range t.model.Types {
			ty, s := &t.model.Types[i], t.job.Spec
			if ty.Known && t.job.AllowsMachine(int32(i), t.job.Zone, false) {
				ty.CPUs, ty.GPUs, ty.MemoryGB = max(ty.CPUs, s.CPUs), max(ty.GPUs, s.GPUs), max(ty.MemoryGB, s.MemoryGB)
			}
		}
	}},
	machineConstraint(
		pending.Booting,
		func(t *simulation, mc *model.Machine) bool {
			return !mc.Contact.Reported && !mc.Releasing && !mc.Suspect
		},
		func(t *simulation, mc *model.Machine) { mc.Contact.Reported = true },
	),
	machineConstraint(pending.Releasing, func(t *simulation, mc *model.Machine) bool { return mc.Releasing },
		func(t *simulation, mc *model.Machine) { mc.Releasing, mc.Contact.Reported = false, true }),
	machineConstraint(pending.Suspect, func(t *simulation, mc *model.Machine) bool { return mc.Suspect },
		func(t *simulation, mc *model.Machine) { mc.Suspect, mc.Contact.Reported = false, true }),
	machineConstraint(
		pending.Quarantined,
		func(t *simulation, mc *model.Machine) bool { return mc.Health.Quarantined || mc.Health.DoubtSince != 0 },
		func(t *simulation, mc *model.Machine) { mc.Health.Quarantined, mc.Health.DoubtSince = false, 0 },
	),
	machineConstraint(
		pending.Draining,
		func(t *simulation, mc *model.Machine) bool {
			return mc.Lifecycle.Draining || mc.Lifecycle.PreemptionAt != 0
		},
		func(t *simulation, mc *model.Machine) { mc.Lifecycle.Draining, mc.Lifecycle.PreemptionAt = false, 0 },
	),
	machineConstraint(pending.Slow, func(t *simulation, mc *model.Machine) bool {
		return mc.ServicesOnly(t.now) && t.job.Kind != model.Service
	},
		func(t *simulation, mc *model.Machine) { mc.Health.SlowUntil, mc.Contact.OutboundPartitionSince = 0, 0 }),
	{pending.FailedBefore, func(t *simulation) (r pending.Reason, ok bool) {
		r.Count, r.First = t.countMachines(
			func(mc *model.Machine) bool { return t.job.Observed.FailedOn != nil && t.job.Avoids(mc, t.now) },
		)
		return r, r.Count > 0
	}, func(t *simulation) { t.job.Observed.FailedOn = nil }},
	{pending.ZoneSpread, func(t *simulation) (pending.Reason, bool) {
		return pending.Reason{Count: (len(t.job.Tasks) + 1) / 2}, t.job.Spec.Spread && t.zoneClosed()
	}, func(t *simulation) { t.copySpec().Spread = false }},
	{pending.SameZone, func(t *simulation) (pending.Reason, bool) {
		return pending.Reason{}, t.job.Spec.SameZone && (t.zoneClosed() || minTasksAtOnce(t.job) > 1)
	}, func(t *simulation) { t.copySpec().SameZone = false }},
	{pending.Headroom, func(t *simulation) (pending.Reason, bool) {
		return pending.Reason{
				Unit: "CPUs",
				Need: t.scheduler.ServiceHeadroom,
			}, t.scheduler.ServiceHeadroom > 0 &&
				t.job.Priority < model.Production
	}, func(t *simulation) { t.scheduler.ServiceHeadroom = 0 }},
	{pending.TooExpensive, func(t *simulation) (r pending.Reason, ok bool) {
		r.Count, r.First = t.countMachines(func(mc *model.Machine) bool {
			return t.fits(mc) && scheduler.MachineCapacity(t.model, mc).GPUs > 0 && !t.scheduler.LowPriorityAllowed[mc]
		})
		return r, r.Count > 0 && t.job.Spec.GPUs == 0 && t.job.Priority == model.Low
	}, func(t *simulation) {
		for _, mc := range t.model.Order {
			t.scheduler.LowPriorityAllowed[mc] = true
		}
	}},
	{pending.ReservedForGPUs, func(t *simulation) (r pending.Reason, ok bool) {
		r.Count, r.First = t.countMachines(
			func(mc *model.Machine) bool { return t.fits(mc) && !t.scheduler.ServiceAllowedOn(t.model, t.job, mc) },
		)
		return r, r.Count > 0
	}, func(t *simulation) {
		for _, mc := range t.model.Order {
			t.scheduler.ServiceSlots[mc] += t.job.Waiting()
		}
	}},
	imageWait,
	{pending.NoCapacity, func(t *simulation) (r pending.Reason, ok bool) {
		need, placeable := scheduler.TaskDemand(t.job), 0
		r.Count, r.First = t.countMachines(func(mc *model.Machine) bool {
			if !t.fits(mc) || !mc.IsUsable() {
				return false
			}
			free := scheduler.MachineCapacity(t.model, mc).
				Minus(scheduler.Resources{CPUs: mc.CPUs, GPUs: mc.GPUs, MemoryGB: mc.Mem})
			for ; free.Contains(need) && placeable < t.job.Waiting(); placeable++ {
				free = free.Minus(need)
			}
			return !free.Contains(need)
		})
		r.Unit, r.Need = "CPUs", need.CPUs
		return r, placeable < t.job.Waiting()
	}, addMachines},
}

// imageWait is DAD's wait for a busy machine with the image.
var imageWait = constraint{pending.ImageBusy, func(t *simulation) (pending.Reason, bool) {
	return pending.Reason{
		Count: t.scheduler.Params.WaitRounds - t.job.Scheduling.WaitedRounds,
	}, t.job.Scheduling.PendingReason.Code == pending.ImageBusy
}, func(t *simulation) { t.job.Scheduling.WaitedRounds = t.scheduler.Params.WaitRounds }}

// machineConstraint is a reason that keeps some machines from being used.
func machineConstraint(
	code pending.Code,
	excludes func(t *simulation, mc *model.Machine) bool,
	restore func(t *simulation, mc *model.Machine),
) constraint {
	return constraint{code, func(t *simulation) (r pending.Reason, ok bool) {
		r.Count, r.First = t.countMachines(func(mc *model.Machine) bool { return t.fits(mc) && excludes(t, mc) })
		return r, r.Count > 0
	}, func(t *simulation) {
		for _, mc := range t.model.Order {
			if t.fits(mc) && excludes(t, mc) {
				restore(t, mc)
			}
		}
	}}
}

// minTasksAtOnce is how many tasks of a job start at once at the least.
func minTasksAtOnce(j *model.Job) int {
	if j.Kind == model.Gang {
		return len(j.Tasks) - j.Done
	}
	return 1
}

// countMachines counts those that are so, and names the first.
func (t *simulation) countMachines(match func(*model.Machine) bool) (n int, first string) {
	for _, mc := range t.model.Order {
		if match(mc) {
			if n++; n == 1 {
				first = mc.Info.Name
			}
		}
	}
	return n, first
}

func (t *simulation) allowed(mc *model.Machine) bool {
	return t.model.TypeOf(mc).Known && t.job.AllowsMachine(mc.Type, mc.Zone, mc.Spot)
}

// fits tells whether a task would fit a machine if that were empty.
func (t *simulation) fits(mc *model.Machine) bool {
	return t.allowed(mc) && scheduler.MachineCapacity(t.model, mc).Contains(scheduler.TaskDemand(t.job))
}

// zoneClosed tells whether a zone with machines that suit the job takes no more of its tasks.
func (t *simulation) zoneClosed() bool {
	n, _ := t.countMachines(func(mc *model.Machine) bool { return t.fits(mc) && !t.job.ZoneAllows(mc.Zone) })
	return n > 0
}

// copySpec gives the job a description of its own to be changed.
func (t *simulation) copySpec() *wire.JobSpec {
	s := *t.job.Spec
	t.job.Spec = &s
	return &s
}

// maxAdded bounds the machines that stand for room.
const maxAdded = 200

// addMachines adds an empty machine that suits the job for each of its waiting tasks, of each
// kind that it allows.
func addMachines(t *simulation) {
	need, added := scheduler.TaskDemand(t.job), 0
	for index := range t.model.Types {
		machineType := &t.model.Types[index]
		if !machineType.Known || !scheduler.TypeCapacity(machineType).Contains(need) {
			continue
		}
		for _, zone := range machineType.ZoneIDs {
			for k := 0; k < t.job.Waiting() && t.job.AllowsMachine(int32(index), zone, false) && added < maxAdded; k++ {
				added++
				id := t.model.NextMachine
				name := fmt.Sprintf("room-for-%s-%d", t.job.Spec.ID, added)
				// Names of machines in the model come from the cloud, so this one is new.
				if t.model.Apply(
					&model.Entry{
						Kind:    model.EntryMachine,
						Machine: id,
						Info:    &model.MachineInfo{Name: name, Type: machineType.Name, Zone: t.model.Zones.Name(zone)},
					},
					0,
					t.now,
				) != nil {
					continue
				}
				mc := t.model.Machines[id]
				mc.Contact.Reported, mc.Contact.Session = true, 1
				t.scheduler.ServiceSlots[mc] += t.job.Waiting()
				t.scheduler.LowPriorityAllowed[mc] = true
			}
		}
	}
}
