package scheduler

import (
	"math"

	"fieldhill/internal/model"
)

// epsilon is the tolerance when comparing amounts of resources.
const epsilon = 1e-6

// Resources is an amount of CPUs, GPUs and memory, and a number of tasks: a machine also has room for a limited number
// of tasks.
type Resources struct{ CPUs, GPUs, MemoryGB, Tasks float64 }

// Plus returns a + b.
func (a Resources) Plus(b Resources) Resources {
	return Resources{a.CPUs + b.CPUs, a.GPUs + b.GPUs, a.MemoryGB + b.MemoryGB, a.Tasks + b.Tasks}
}

// Minus returns a - b.
func (a Resources) Minus(b Resources) Resources {
	return Resources{a.CPUs - b.CPUs, a.GPUs - b.GPUs, a.MemoryGB - b.MemoryGB, a.Tasks - b.Tasks}
}

// Scaled returns a multiplied by n.
func (a Resources) Scaled(n float64) Resources {
	return Resources{a.CPUs * n, a.GPUs * n, a.MemoryGB * n, a.Tasks * n}
}

// Contains reports whether b fits into a.
func (a Resources) Contains(b Resources) bool {
	return a.CPUs+epsilon >= b.CPUs && a.GPUs+epsilon >= b.GPUs && a.MemoryGB+epsilon >= b.MemoryGB &&
		a.Tasks+epsilon >= b.Tasks
}

// Count returns how many times b fits into a, up to limit.
func (a Resources) Count(b Resources, limit int) int {
	count := float64(limit)
	for _, amount := range [...]struct{ available, need float64 }{
		{a.CPUs, b.CPUs}, {a.GPUs, b.GPUs}, {a.MemoryGB, b.MemoryGB}, {a.Tasks, b.Tasks},
	} {
		switch {
		case amount.available+epsilon < amount.need:
			return 0
		case amount.need > 0:
			count = min(count, math.Floor((amount.available+epsilon)/amount.need))
		}
	}
	return int(count)
}

// GPUDemand maps job classes that use GPUs to the resources per task.
type GPUDemand map[int32]Resources

// FitsAny reports whether the demand of at least one class fits on an empty machine with the given total resources.
func (g GPUDemand) FitsAny(total Resources) bool {
	for _, need := range g {
		if total.Contains(need) {
			return true
		}
	}
	return false
}

// BlockedBy reports whether the demand of at least one class fits on an empty machine with the given total resources
// but not beside the work that stays there.
func (g GPUDemand) BlockedBy(total, staying Resources) bool {
	for _, need := range g {
		if total.Contains(need) && !total.Minus(staying).Contains(need) {
			return true
		}
	}
	return false
}

// TaskDemand returns the resources that a task of a job takes.
func TaskDemand(j *model.Job) Resources {
	return Resources{j.Spec.CPUs, j.Spec.GPUs, j.Spec.MemoryGB, 1}
}

// TypeCapacity returns the resources of an empty machine of a type.
func TypeCapacity(t *model.Type) Resources {
	return Resources{t.CPUs, t.GPUs, t.MemoryGB, model.MaxMachineTasks}
}

// MachineCapacity returns the total resources of a machine.
func MachineCapacity(m *model.Model, machine *model.Machine) Resources {
	return TypeCapacity(m.TypeOf(machine))
}

// Used returns the resources taken by the tasks on a machine.
func Used(machine *model.Machine) Resources {
	return Resources{machine.CPUs, machine.GPUs, machine.Mem, float64(len(machine.Runs))}
}

// ServiceUsage returns the resources taken by services without GPUs on a machine.
func ServiceUsage(machine *model.Machine) Resources {
	return Resources{machine.Reserved.CPUs, machine.Reserved.GPUs, machine.Reserved.Mem, machine.Reserved.Tasks}
}

// MovableTasks summarizes the work on a machine that could run in another zone if the machine were lost. It returns
// whether any of this work is above low priority, so that other work would be preempted for it, and the total demand of
// the low-priority work.
func MovableTasks(machine *model.Machine) (urgent bool, low Resources) {
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

// FreeOutsideZone returns the resources that are free for new work on machines outside a zone.
func FreeOutsideZone(m *model.Model, zone int32) (free Resources) {
	for _, machine := range m.MachinesInOrder {
		if machine.Zone != zone && machine.IsUsable() {
			free = free.Plus(MachineCapacity(m, machine).Minus(Used(machine)))
		}
	}
	return free
}
