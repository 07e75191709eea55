package autoscaler

import (
	"slices"

	"fieldhill/internal/config"
	"fieldhill/internal/model"
)

// This file learns how long machines take to come up. What the cloud says of a type is
// the usual time: some take several times as long, some never come up and are charged
// until they are deleted, and at times a whole zone or type is slow, or all are up at
// once. One that is late while others that were rented no earlier are up is on its own,
// and is covered and given up early; where nothing has come up, everything may be slow,
// and giving up would only begin the wait anew.

// Multiples of the usual time to come up.
const (
	lateWhenOthersUp    = 1.7 // late, others that were rented no earlier came up
	lateAlways          = 2.5 // late, as far as can be told
	abandonWhenOthersUp = 2.5 // won't come, others came up
	abandonAlways       = 3.5 // won't come, or not soon enough
	minOvertakers       = 2   // how many others tell
)

// bootStats is what was learnt of a type in a zone.
type bootStats struct {
	ratio   float64 // of the time taken to the usual time, averaged
	samples int
}

type typeZone struct{ machineType, zone int32 }

// OnBooted notes how long a machine took, as a multiple of its type's usual time.
func (a *Autoscaler) OnBooted(typ, zone int32, ratio float64) {
	b := a.bootTimes[typeZone{typ, zone}]
	b.samples++
	b.ratio += (ratio - b.ratio) / float64(min(b.samples, 6))
	a.bootTimes[typeZone{typ, zone}] = b
}

// bootSeconds is how long a machine of a type takes to come up, as learnt: what the cloud
// says, unless some that came up lately say something clearly different.
func (a *Autoscaler) bootSeconds(m *model.Model, typ, zone int32) float64 {
	s := m.Types[typ].BootS
	if b := a.bootTimes[typeZone{typ, zone}]; b.samples >= 4 && (b.ratio < 0.6 || b.ratio > 1.5) {
		return s * b.ratio
	}
	return s
}

// CheckBoots marks the machines that are late, so that demand is covered anew, and
// tells which won't come up; at is the time of day in ms, and settled how long a new
// leader gives machines that are up to report to it.
func (a *Autoscaler) CheckBoots(m *model.Model, at int64, now, settleTime model.Time) (abandoned []*model.Machine) {
	var rentalTimes map[int32][]int64 // when what is up was rented, by type
	clear(a.lateMachines)
	for _, mc := range m.Order {
		mc.Lifecycle.BootOverdue = false
		boot := max(m.TypeOf(mc).BootS, 10)
		age := float64(at-mc.At) / 1000
		if mc.Contact.Reported || len(mc.Runs) > 0 || mc.Suspect || mc.Releasing || age < lateWhenOthersUp*boot+3 ||
			now-mc.Contact.KnownSince < settleTime {
			continue
		}
		if rentalTimes == nil {
			rentalTimes = map[int32][]int64{}
			for _, o := range m.Order {
				if o.Contact.Reported {
					rentalTimes[o.Type] = append(rentalTimes[o.Type], o.At)
				}
			}
			for _, list := range rentalTimes {
				slices.Sort(list)
			}
		}
		first, _ := slices.BinarySearch(rentalTimes[mc.Type], mc.At-500)
		alone := len(rentalTimes[mc.Type])-first >= minOvertakers
		mc.Lifecycle.BootOverdue = alone || age > lateAlways*boot+5
		if mc.Lifecycle.BootOverdue {
			a.lateMachines[typeZone{mc.Type, mc.Zone}]++
		}
		if alone && age > abandonWhenOthersUp*boot+5 || age > abandonAlways*boot+10 {
			abandoned = append(abandoned, mc)
		}
	}
	return abandoned
}

// latePenalty is by how much an offer counts as dearer because machines there are late.
func (a *Autoscaler) latePenalty(o InstanceOffer) float64 {
	return 1 + 0.5*float64(min(a.lateMachines[typeZone{o.Type, o.Zone}], 6))
}

// BootRatio tells how long a machine took to come up, as a multiple of the usual time.
func BootRatio(m *model.Model, mc *model.Machine, now model.Time) float64 {
	return float64(now-mc.Lifecycle.ProvisionedAt) / float64(config.Seconds(max(m.TypeOf(mc).BootS, 1)))
}
