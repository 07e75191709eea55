package autoscaler

import (
	"slices"

	"fieldhill/internal/config"
	"fieldhill/internal/model"
)

// This file tracks boot times. The cloud states the usual time for each type, but some machines take several times as
// long, some never come up and are charged until they are deleted, and at times all machines of a zone or type are slow
// or, conversely, boot almost immediately. If a machine is overdue while others that were provisioned no earlier are
// up, it has failed individually: it is replaced and abandoned early. While no other machine has come up, all of them
// may be slow, and abandoning them would only restart the wait.

// Boot time thresholds, as multiples of the usual boot time.
const (
	overdueFactorOthersUp = 1.7 // overdue if minOthersUp machines provisioned no earlier are up
	overdueFactor         = 2.5 // overdue regardless of other machines
	abandonFactorOthersUp = 2.5 // abandoned if minOthersUp machines provisioned no earlier are up
	abandonFactor         = 3.5 // abandoned regardless of other machines
)

const (
	// minOthersUp is the number of machines provisioned no earlier that must be up for an overdue machine to count as
	// failed individually.
	minOthersUp = 2
	// maxBootSamples is the number of boots that bootStats.meanRatio approximately averages over; minBootSamples is the
	// number of boots needed before meanRatio is used.
	maxBootSamples, minBootSamples = 6, 4
	// nominalRatioMin and nominalRatioMax delimit the values of bootStats.meanRatio for which the boot time that the
	// cloud states is used.
	nominalRatioMin, nominalRatioMax = 0.6, 1.5
	// overduePenaltyStep is the relative price penalty of an offer for each overdue machine of its type and zone, up to
	// maxPenalizedOverdue machines.
	overduePenaltyStep, maxPenalizedOverdue = 0.5, 6
	// provisionToleranceMS is the tolerance in comparing provisioning times: a machine that was provisioned at most
	// this much earlier than another counts as provisioned no earlier.
	provisionToleranceMS = 500
)

// bootStats holds statistics of the recent boots of a machine type in a zone.
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

// bootSeconds returns the expected boot time of a machine in seconds: the time that the cloud states, unless recent
// boots clearly differ from it.
func (a *Autoscaler) bootSeconds(m *model.Model, typ, zone int32) float64 {
	nominal := m.Types[typ].BootS
	b := a.bootTimes[typeZone{typ, zone}]
	if b.samples >= minBootSamples && (b.meanRatio < nominalRatioMin || b.meanRatio > nominalRatioMax) {
		return nominal * b.meanRatio
	}
	return nominal
}

// CheckBoots marks the machines whose boot is overdue, so that other machines are planned for their demand, and returns
// the machines to abandon. wallClockMS is the wall-clock time, which is compared with provisioning times. Machines that
// this replica has known for less than settleTime, the time that a new leader waits for running machines to report to
// it, are skipped.
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

// provisionTimesOfReporting returns, for each machine type, the provisioning times of the machines that are up, in
// ascending order.
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

// overduePenalty returns the factor by which the price of an offer is raised in comparisons because of overdue machines
// of its type and zone.
func (a *Autoscaler) overduePenalty(o InstanceOffer) float64 {
	return 1 + overduePenaltyStep*float64(min(a.overdueMachines[typeZone{o.Type, o.Zone}], maxPenalizedOverdue))
}

// BootRatio returns the time since a machine was provisioned, as a multiple of its type's usual boot time. If the
// machine has just come up, this is its relative boot time.
func BootRatio(m *model.Model, machine *model.Machine, now model.Time) float64 {
	nominal := config.Seconds(max(m.TypeOf(machine).BootS, 1))
	return float64(now-machine.Lifecycle.ProvisionedAt) / float64(nominal)
}
