package autoscaler

import (
	"slices"

	"fieldhill/internal/config"
	"fieldhill/internal/model"
)

// This file tracks boot times. The cloud states the usual time for each type, but some machines take several times as
// long, some never come up and are charged until they are deleted, and at times a whole zone or type is slow, or comes
// up at once. A machine that is overdue while others that were provisioned no earlier are up has failed individually
// and is replaced and abandoned early. Where no machine has come up, all of them may be slow, and abandoning them would
// only restart the wait.

// Thresholds as multiples of the usual boot time.
const (
	overdueFactorOthersUp = 1.7 // overdue if others that were provisioned no earlier are up
	overdueFactor         = 2.5 // overdue in any case
	abandonFactorOthersUp = 2.5 // abandoned if others are up
	abandonFactor         = 3.5 // abandoned in any case
)

const (
	// minOthersUp is how many machines provisioned no earlier must be up for one to count as failed individually.
	minOthersUp = 2
	// The average covers about the last maxBootSamples boots and is used once there are minBootSamples.
	maxBootSamples, minBootSamples = 6, 4
	// An average ratio in this range is treated as the usual boot time.
	nominalRatioMin, nominalRatioMax = 0.6, 1.5
	// overduePenaltyStep is the relative price penalty of an offer for each overdue machine, for at most
	// maxPenalizedOverdue machines.
	overduePenaltyStep, maxPenalizedOverdue = 0.5, 6
	// provisionToleranceMS is how much earlier another machine may have been provisioned and still count as no earlier.
	provisionToleranceMS = 500
)

// bootStats holds the boot times seen of a machine type in a zone.
type bootStats struct {
	meanRatio float64 // moving average of actual to usual boot time
	samples   int
}

// typeZone is a machine type in a zone.
type typeZone struct{ machineType, zone int32 }

// OnBooted records how long a machine took to come up, as a multiple of its type's usual boot time.
func (a *Autoscaler) OnBooted(typ, zone int32, ratio float64) {
	b := a.bootTimes[typeZone{typ, zone}]
	b.samples++
	b.meanRatio += (ratio - b.meanRatio) / float64(min(b.samples, maxBootSamples))
	a.bootTimes[typeZone{typ, zone}] = b
}

// bootSeconds returns the expected boot time of a machine: the one that the cloud states, unless recent boots clearly
// differ from it.
func (a *Autoscaler) bootSeconds(m *model.Model, typ, zone int32) float64 {
	nominal := m.Types[typ].BootS
	b := a.bootTimes[typeZone{typ, zone}]
	if b.samples >= minBootSamples && (b.meanRatio < nominalRatioMin || b.meanRatio > nominalRatioMax) {
		return nominal * b.meanRatio
	}
	return nominal
}

// CheckBoots marks the machines whose boot is overdue, so that their demand is covered by new ones, and returns those
// to be abandoned. wallClockMS is the time of day; settleTime is how long a new leader waits for running machines to
// report to it.
func (a *Autoscaler) CheckBoots(
	m *model.Model,
	wallClockMS int64,
	now, settleTime model.Time,
) (abandoned []*model.Machine) {
	var provisionTimes map[int32][]int64 // computed when the first overdue machine is found
	clear(a.overdueMachines)
	for _, machine := range m.MachinesInOrder {
		machine.Lifecycle.BootOverdue = false
		bootSeconds := max(m.TypeOf(machine).BootS, 10)
		ageSeconds := float64(wallClockMS-machine.FirstLoggedMS) / 1000
		if machine.Contact.Reported || len(machine.Runs) > 0 || machine.Suspect || machine.Releasing ||
			ageSeconds < overdueFactorOthersUp*bootSeconds+3 || now-machine.Contact.KnownSince < settleTime {
			continue
		}
		if provisionTimes == nil {
			provisionTimes = provisionTimesOfReporting(m)
		}
		times := provisionTimes[machine.Type]
		first, _ := slices.BinarySearch(times, machine.FirstLoggedMS-provisionToleranceMS)
		othersUp := len(times)-first >= minOthersUp
		machine.Lifecycle.BootOverdue = othersUp || ageSeconds > overdueFactor*bootSeconds+5
		if machine.Lifecycle.BootOverdue {
			a.overdueMachines[typeZone{machine.Type, machine.Zone}]++
		}
		if othersUp && ageSeconds > abandonFactorOthersUp*bootSeconds+5 || ageSeconds > abandonFactor*bootSeconds+10 {
			abandoned = append(abandoned, machine)
		}
	}
	return abandoned
}

// provisionTimesOfReporting returns the provision times of the machines that are up, by type, in ascending order.
func provisionTimesOfReporting(m *model.Model) map[int32][]int64 {
	times := map[int32][]int64{}
	for _, machine := range m.MachinesInOrder {
		if machine.Contact.Reported {
			times[machine.Type] = append(times[machine.Type], machine.FirstLoggedMS)
		}
	}
	for _, list := range times {
		slices.Sort(list)
	}
	return times
}

// overduePenalty returns the factor on an offer's price for overdue machines in its type and zone.
func (a *Autoscaler) overduePenalty(o InstanceOffer) float64 {
	return 1 + overduePenaltyStep*float64(min(a.overdueMachines[typeZone{o.Type, o.Zone}], maxPenalizedOverdue))
}

// BootRatio returns a machine's boot time as a multiple of its type's usual boot time.
func BootRatio(m *model.Model, machine *model.Machine, now model.Time) float64 {
	nominal := config.Seconds(max(m.TypeOf(machine).BootS, 1))
	return float64(now-machine.Lifecycle.ProvisionedAt) / float64(nominal)
}
