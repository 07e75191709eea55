package scheduler

import (
	"fieldhill/internal/model"
)

// epsilon is the least difference of amounts that counts.
const epsilon = 1e-6

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

// times is so many of them.
func (a Resources) times(n float64) Resources {
	return Resources{a.CPUs * n, a.GPUs * n, a.MemoryGB * n}
}

// Contains tells whether b fits into a.
func (a Resources) Contains(b Resources) bool {
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

// used is what the tasks on a machine take.
func used(machine *model.Machine) Resources {
	return Resources{machine.CPUs, machine.GPUs, machine.Mem}
}

// Reserved is what services without GPUs take of a machine.
func Reserved(machine *model.Machine) Resources {
	return Resources{machine.Reserved.CPUs, machine.Reserved.GPUs, machine.Reserved.Mem}
}

// MovableWork looks at what on a machine may run in another zone once it is gone: whether any of it is urgent, so
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

// FreeOutsideZone is what machines outside a zone have free for new work.
func FreeOutsideZone(m *model.Model, zone int32) (free Resources) {
	for _, machine := range m.Order {
		if machine.Zone != zone && machine.IsUsable() {
			free = free.Plus(MachineCapacity(m, machine).Minus(used(machine)))
		}
	}
	return free
}
