package autoscaler

import (
	"slices"

	"fieldhill/internal/config"
	"fieldhill/internal/model"
)

// This file learns how long machines take to come up. What the cloud says of a type is
// the usual time: some take several times as long, some never come up and are charged
// until they are deleted, and at times a whole zone or type is slow, or all are up at
// once. One that is late while others that were provisioned no earlier are up is a failure of its own,
// and is replaced and abandoned early; where nothing has come up, everything may be slow,
// and abandoning would only begin the wait anew.

// Multiples of the usual time to come up.
const (
	lateWhenOthersUp    = 1.7 // late, others that were provisioned no earlier came up
	lateAlways          = 2.5 // late in any case
	abandonWhenOthersUp = 2.5 // won't come, others came up
	abandonAlways       = 3.5 // won't come, or not soon enough
)

const (
	// minOvertakers is how many others have to be up for one to count as late on its own.
	minOvertakers = 2
	// bootSamples is how many of the last boots the average is over, and minBootSamples from how many on it counts.
	bootSamples, minBootSamples = 6, 4
	// An average between these is the usual time.
	nominalRatioMin, nominalRatioMax = 0.6, 1.5
	// latePenaltyStep is by how much each late machine makes an offer count as more expensive, up to maxLatePenalized.
	latePenaltyStep, maxLatePenalized = 0.5, 6
	// sameTimeMS is how much earlier, in ms, another one may have been provisioned to count as no earlier.
	sameTimeMS = 500
)

// bootStats is what was learnt of a type in a zone.
type bootStats struct {
	ratio   float64 // of the time taken to the usual time, averaged
	samples int
}

// typeZone is a machine type in a zone.
type typeZone struct{ machineType, zone int32 }

// OnBooted notes how long a machine took, as a multiple of its type's usual time.
func (a *Autoscaler) OnBooted(typ, zone int32, ratio float64) {
	b := a.bootTimes[typeZone{typ, zone}]
	b.samples++
	b.ratio += (ratio - b.ratio) / float64(min(b.samples, bootSamples))
	a.bootTimes[typeZone{typ, zone}] = b
}

// bootSeconds is how long a machine of a type takes to come up, as learnt: what the cloud
// says, unless some that came up lately say something clearly different.
func (a *Autoscaler) bootSeconds(m *model.Model, typ, zone int32) float64 {
	nominal := m.Types[typ].BootS
	b := a.bootTimes[typeZone{typ, zone}]
	if b.samples >= minBootSamples && (b.ratio < nominalRatioMin || b.ratio > nominalRatioMax) {
		return nominal * b.ratio
	}
	return nominal
}

// CheckBoots marks the machines that are late, so that demand is covered anew, and
// returns those that won't come up; at is the time of day in ms, and settleTime how long a new
// leader gives machines that are up to report to it.
func (a *Autoscaler) CheckBoots(m *model.Model, at int64, now, settleTime model.Time) (abandoned []*model.Machine) {
	var provisionTimes map[int32][]int64 // made when the first late machine is found
	clear(a.lateMachines)
	for _, machine := range m.Order {
		machine.Lifecycle.BootOverdue = false
		boot := max(m.TypeOf(machine).BootS, 10)
		age := float64(at-machine.At) / 1000
		if machine.Contact.Reported || len(machine.Runs) > 0 || machine.Suspect || machine.Releasing ||
			age < lateWhenOthersUp*boot+3 || now-machine.Contact.KnownSince < settleTime {
			continue
		}
		if provisionTimes == nil {
			provisionTimes = provisionTimesOfReporting(m)
		}
		times := provisionTimes[machine.Type]
		first, _ := slices.BinarySearch(times, machine.At-sameTimeMS)
		alone := len(times)-first >= minOvertakers
		machine.Lifecycle.BootOverdue = alone || age > lateAlways*boot+5
		if machine.Lifecycle.BootOverdue {
			a.lateMachines[typeZone{machine.Type, machine.Zone}]++
		}
		if alone && age > abandonWhenOthersUp*boot+5 || age > abandonAlways*boot+10 {
			abandoned = append(abandoned, machine)
		}
	}
	return abandoned
}

// provisionTimesOfReporting lists, for each type, when the machines that are up were provisioned, the earliest first.
func provisionTimesOfReporting(m *model.Model) map[int32][]int64 {
	times := map[int32][]int64{}
	for _, machine := range m.Order {
		if machine.Contact.Reported {
			times[machine.Type] = append(times[machine.Type], machine.At)
		}
	}
	for _, list := range times {
		slices.Sort(list)
	}
	return times
}

// latePenalty is by how much an offer counts as more expensive because machines there are late.
func (a *Autoscaler) latePenalty(o InstanceOffer) float64 {
	return 1 + latePenaltyStep*float64(min(a.lateMachines[typeZone{o.Type, o.Zone}], maxLatePenalized))
}

// BootRatio is how long a machine took to come up, as a multiple of the usual time.
func BootRatio(m *model.Model, machine *model.Machine, now model.Time) float64 {
	nominal := config.Seconds(max(m.TypeOf(machine).BootS, 1))
	return float64(now-machine.Lifecycle.ProvisionedAt) / float64(nominal)
}
