// Package autoscaler decides which machines to provision and which to release. It is pure: it reads the model,
// remembers what it has learnt of demand and of the cloud's capacity, and returns what to ask of the cloud.
//
// The size of the fleet follows demand: waiting work is packed onto the free resources there are, with machines that
// are booting counted in full; what is left over asks for new machines, the cheapest per task first. Services that
// must start sooner than a machine boots get headroom for the arrivals of that time, and gangs that can't wait for a
// boot find machines kept for the usual number of them.
package autoscaler

import (
	"fmt"

	"fieldhill/internal/config"
	"fieldhill/internal/model"
	"fieldhill/internal/scheduling/scheduler"
)

// InstanceOffer is something that can be provisioned: a machine type in a zone, on demand or as a spot instance.
type InstanceOffer struct {
	Type, Zone int32
	Spot       bool
}

// ScaleOut is a request for machines of one offer.
type ScaleOut struct {
	InstanceOffer
	Count   int
	Purpose string // the demand that the first of the machines serves, which is the most urgent one, for the log
}

// Plan is what to ask of the cloud, and what the scheduler has to respect meanwhile.
type Plan struct {
	// ScaleOuts are in the order of the demand's urgency, the most urgent first.
	ScaleOuts []ScaleOut
	// ScaleIn are machines that nothing needs and that have been idle for long enough.
	ScaleIn []*model.Machine
	// Drain are machines that only low-priority work uses and that cost more than it is
	// worth: they get nothing new and are released when empty.
	Drain map[*model.Machine]bool
	// Headroom is how many CPUs low-priority work must leave free for services.
	Headroom float64
	// ForServices are the machines with GPUs that services need because there is no other room for them, with the
	// number of tasks; the rest is kept whole for work that uses GPUs.
	ForServices map[*model.Machine]int
	// LowPriorityAllowed are the machines with GPUs that low-priority work may use: it is worth them,
	// or they are kept anyway. Elsewhere it would hold an expensive machine that its
	// last gang has left, for as long as its longest task runs.
	LowPriorityAllowed map[*model.Machine]bool
	// Vacate is an expensive machine that only services hold, whose replicas all have
	// room elsewhere: they are moved, one at a time, and it is released.
	Vacate *model.Machine
}

// Autoscaler holds what lasts from plan to plan.
type Autoscaler struct {
	Objectives []config.Objective
	// InFlight are the machines that were asked for and are not answered yet.
	InFlight map[InstanceOffer]int

	arrivals arrivals
	refusals map[InstanceOffer]refusal
	// vacating is the machine that the last plan had vacated.
	vacating *model.Machine
	// machineCounts are the machines of each offer, so that equal offers take turns.
	machineCounts map[InstanceOffer]int
	// partitionedZones are zones with suspect machines: what is provisioned there can't be reached.
	partitionedZones map[int32]bool
	bootTimes        map[typeZone]bootStats
	// lateMachines are the machines that should be up by now.
	lateMachines map[typeZone]int
}

// New makes an autoscaler that has learnt nothing yet.
func New(objectives []config.Objective) *Autoscaler {
	return &Autoscaler{
		Objectives:       objectives,
		arrivals:         newArrivals(),
		refusals:         map[InstanceOffer]refusal{},
		partitionedZones: map[int32]bool{},
		machineCounts:    map[InstanceOffer]int{},
		bootTimes:        map[typeZone]bootStats{},
		lateMachines:     map[typeZone]int{},
	}
}

// RequestName makes the name of a scale-out request that no other controller, term or restart uses:
// terms are never used twice.
func RequestName(term uint64, n int) string { return fmt.Sprintf("fh-%d-%d", term, n) }

// isPreemptible tells whether a job is low-priority batch work, which gives way to everything else.
func isPreemptible(j *model.Job) bool {
	return j.Kind == model.Array && j.Priority == model.Low
}

// observeFleet notes which zones are partitioned, and how many machines of each offer there are.
func (a *Autoscaler) observeFleet(m *model.Model) {
	clear(a.partitionedZones)
	clear(a.machineCounts)
	for _, machine := range m.Order {
		if machine.Suspect {
			a.partitionedZones[machine.Zone] = true
		}
		a.machineCounts[offerOf(machine)]++
	}
}

func offerOf(machine *model.Machine) InstanceOffer {
	return InstanceOffer{machine.Type, machine.Zone, machine.Spot}
}

// isFragmented tells whether services took a machine with GPUs already, so that the
// largest work that uses GPUs does not fit beside them.
func (a *Autoscaler) isFragmented(s *slot) bool {
	return s.machine != nil && a.arrivals.gpuWork.BlockedBy(s.total, scheduler.Reserved(s.machine))
}
