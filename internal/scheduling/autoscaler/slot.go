package autoscaler

import (
	"sort"

	"fieldhill/internal/model"
	"fieldhill/internal/scheduling/scheduler"
)

// slot is a machine that exists, boots or is to be asked for, with the resources that are left of it.
type slot struct {
	machine      *model.Machine // nil: it does not exist yet
	offer        InstanceOffer
	free         scheduler.Resources
	total        scheduler.Resources
	used         bool   // something that is worth the machine is there, or was packed onto it
	planned      bool   // this plan asks for it
	purpose      string // of a planned one
	servicesOnly bool
}

// slots lists the machines that demand may be packed onto.
func (a *Autoscaler) slots(m *model.Model, now model.Time) []*slot {
	var out []*slot
	for _, machine := range m.Order {
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
	// Fuller machines first, so that empty ones stay unused and can go.
	sort.SliceStable(out, func(i, k int) bool { return out[i].used && !out[k].used })
	return out
}

// isPackable tells whether a machine counts as room for demand.
func (a *Autoscaler) isPackable(m *model.Model, machine *model.Machine) bool {
	if !m.TypeOf(machine).Known || machine.Health.Quarantined || machine.Releasing ||
		machine.Lifecycle.PreemptionAt != 0 || machine.Lifecycle.BootOverdue ||
		machine.Suspect || machine.Contact.InboundPartitionSince != 0 {
		return false
	}
	// In a partitioned zone it would boot for the end of the partition.
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
		// Low-priority work gives way, so its resources are not lost to what is more
		// urgent; it is packed again behind it.
		if !isPreemptible(r.Job) {
			s.used = true
			s.free = s.free.Minus(scheduler.TaskDemand(r.Job))
		}
	}
	return s
}

// hasGPUWork tells whether work that uses GPUs runs on the slot's machine.
func (s *slot) hasGPUWork() bool {
	for _, r := range s.machine.Runs {
		if r.Job.Spec.GPUs > 0 {
			return true
		}
	}
	return false
}
