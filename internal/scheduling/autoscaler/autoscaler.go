// Package autoscaler decides which machines to provision and which to release. It does no I/O: it reads the model,
// keeps statistics of demand and of the cloud's capacity, and returns a plan.
//
// The fleet size follows demand. Waiting tasks are packed onto free resources, including those of machines that are
// still booting; for the tasks that do not fit, machines are requested from the offer with the lowest cost per task.
// Services that must start sooner than a machine boots get headroom for the arrivals expected during a boot, and gangs
// that cannot wait for a boot get standby machines for the usual number of concurrent gangs.
package autoscaler

import (
	"fmt"

	"fieldhill/internal/config"
	"fieldhill/internal/model"
	"fieldhill/internal/scheduling/scheduler"
)

// InstanceOffer is a machine type in a zone, on demand or as a spot instance.
type InstanceOffer struct {
	Type, Zone int32
	Spot       bool
}

// ScaleOut is a request for machines of one offer.
type ScaleOut struct {
	InstanceOffer
	Count   int
	Purpose string // demand served by the first, most urgent machine; logged
}

// Plan holds the machines to request and release, and the restrictions that the scheduler applies until the next plan.
type Plan struct {
	// ScaleOuts are ordered by the urgency of their demand, most urgent first.
	ScaleOuts []ScaleOut
	// ScaleIn lists the machines that no demand needs and that have been idle for the minimum time.
	ScaleIn []*model.Machine
	// Draining holds the machines that only low-priority work uses and whose price this work does not justify. They
	// receive no new tasks and are released once empty.
	Draining map[*model.Machine]bool
	// ServiceHeadroom is the number of CPUs that work below production priority must leave free for services.
	ServiceHeadroom float64
	// ServiceSlots maps machines with GPUs to the number of service tasks that may be placed there because no other
	// machine has room. All other machines with GPUs stay reserved for work that uses GPUs.
	ServiceSlots map[*model.Machine]int
	// LowPriorityAllowed holds the machines with GPUs that low-priority work may use, either because this work
	// justifies their price or because they are kept anyway. On other machines, low-priority work would prolong the
	// rental of an expensive machine after its last gang has ended, by up to the run time of the longest low-priority
	// task.
	LowPriorityAllowed map[*model.Machine]bool
	// DrainTarget is a machine with GPUs that runs only services and whose replicas all fit on other machines, or nil.
	// The replicas are moved one at a time, and the machine is then released.
	DrainTarget *model.Machine
}

// Autoscaler computes plans. It holds the statistics and the state that are kept from one plan to the next.
type Autoscaler struct {
	Objectives []config.Objective
	// InFlight counts, for each offer, the machines that were requested and neither granted nor refused yet.
	InFlight map[InstanceOffer]int

	arrivals arrivals
	refusals map[InstanceOffer]refusal
	// drainTarget is Plan.DrainTarget of the latest plan.
	drainTarget *model.Machine
	// machineCounts is the number of machines of each offer. Price comparisons use it to spread machines over offers of
	// equal price.
	machineCounts map[InstanceOffer]int
	// partitionedZones holds the zones with suspect machines. Machines provisioned there would be unreachable.
	partitionedZones map[int32]bool
	bootTimes        map[typeZone]bootStats
	// overdueMachines counts, for each type and zone, the machines whose boot is overdue.
	overdueMachines map[typeZone]int
}

// New returns an autoscaler without any statistics.
func New(objectives []config.Objective) *Autoscaler {
	return &Autoscaler{
		Objectives:       objectives,
		arrivals:         newArrivals(),
		refusals:         map[InstanceOffer]refusal{},
		partitionedZones: map[int32]bool{},
		machineCounts:    map[InstanceOffer]int{},
		bootTimes:        map[typeZone]bootStats{},
		overdueMachines:  map[typeZone]int{},
	}
}

// RequestName returns the name of scale-out request n of a leadership term. The name is unique across controllers and
// restarts, because term numbers are never reused.
func RequestName(term uint64, n int) string { return fmt.Sprintf("fh-%d-%d", term, n) }

// isPreemptible reports whether a job is a low-priority array, which yields to all other work.
func isPreemptible(j *model.Job) bool {
	return j.Kind == model.Array && j.Priority == model.Low
}

// observeFleet updates the partitioned zones and the machine count of each offer.
func (a *Autoscaler) observeFleet(m *model.Model) {
	clear(a.partitionedZones)
	clear(a.machineCounts)
	for _, machine := range m.MachinesInOrder {
		if machine.Suspect {
			a.partitionedZones[machine.Zone] = true
		}
		a.machineCounts[offerOf(machine)]++
	}
}

func offerOf(machine *model.Machine) InstanceOffer {
	return InstanceOffer{machine.Type, machine.Zone, machine.Spot}
}

// isFragmented reports whether a slot is a machine on which services occupy so many resources that some GPU work that
// would fit on the empty machine does not fit beside them.
func (a *Autoscaler) isFragmented(s *slot) bool {
	return s.machine != nil && a.arrivals.gpuDemand.BlockedBy(s.total, scheduler.ServiceUsage(s.machine))
}
