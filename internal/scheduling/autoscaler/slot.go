package autoscaler

import (
	"sort"

	"fieldhill/internal/model"
	"fieldhill/internal/scheduling/scheduler"
)

// slot is a machine that is up, booting, requested or planned, with its remaining free resources.
type slot struct {
	machine      *model.Machine // nil: not granted yet
	offer        InstanceOffer
	free         scheduler.Resources
	total        scheduler.Resources
	used         bool   // runs work, or was assigned demand, that justifies the machine
	planned      bool   // to be requested by this plan
	purpose      string // demand that a planned machine serves; logged
	servicesOnly bool   // accepts only services
}

// slots returns a slot for each machine that demand may be packed onto, including machines that are booting or
// requested.
func (a *Autoscaler) slots(m *model.Model, now model.Time) []*slot {
	var out []*slot
	for _, machine := range m.MachinesInOrder {
		if a.isPackable(m, machine) {
			out = append(out, newMachineSlot(m, machine, now))
		}
	}
	for o, n := range a.InFlight {
		if a.partitionedZones[o.Zone] {
			continue
		}
		total := scheduler.TypeCapacity(&m.Types[o.Type])
		for range n {
			out = append(out, &slot{offer: o, total: total, free: total})
		}
	}
	// Machines in use come first, so that idle ones remain unused and can be released.
	sort.SliceStable(out, func(i, k int) bool { return out[i].used && !out[k].used })
	return out
}

// isPackable reports whether demand may be packed onto a machine: the machine must be reachable, or booting and not
// overdue, and must not be quarantined, being released or about to be preempted by the cloud.
func (a *Autoscaler) isPackable(m *model.Model, machine *model.Machine) bool {
	if !m.TypeOf(machine).Known || machine.Health.Quarantined || machine.Releasing ||
		machine.Lifecycle.PreemptionAt != 0 || machine.Lifecycle.BootOverdue ||
		machine.Suspect || machine.Contact.InboundPartitionSince != 0 {
		return false
	}
	// A machine that boots in a partitioned zone cannot be reached until the partition ends.
	return machine.Contact.Reported || !a.partitionedZones[machine.Zone]
}

func newMachineSlot(m *model.Model, machine *model.Machine, now model.Time) *slot {
	total := scheduler.MachineCapacity(m, machine)
	s := &slot{
		machine:      machine,
		offer:        offerOf(machine),
		total:        total,
		free:         total,
		servicesOnly: machine.ServicesOnly(now),
	}
	for _, r := range machine.Runs {
		// Preemptible work yields to more urgent demand, so its resources count as free; it is packed again after that
		// demand.
		if !isPreemptible(r.Job) {
			s.used = true
			s.free = s.free.Minus(scheduler.TaskDemand(r.Job))
		}
	}
	return s
}

// hasGPUWork reports whether tasks that use GPUs run on the slot's machine.
func (s *slot) hasGPUWork() bool {
	for _, r := range s.machine.Runs {
		if r.Job.Spec.GPUs > 0 {
			return true
		}
	}
	return false
}
