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
	lateAlone   = 1.7 // late, others that were rented no earlier came up
	late        = 2.5 // late, as far as can be told
	hopeless    = 2.5 // won't come, others came up
	hopelessAll = 3.5 // won't come, or not soon enough
	overtakers  = 2   // how many others tell
)

// boots is what was learnt of a type in a zone.
type boots struct {
	ratio float64 // of the time taken to the usual time, averaged
	n     int
}

type place struct{ typ, zone int32 }

// CameUp notes how long a machine took, as a multiple of its type's usual time.
func (f *Fleet) CameUp(typ, zone int32, ratio float64) {
	b := f.boots[place{typ, zone}]
	b.n++
	b.ratio += (ratio - b.ratio) / float64(min(b.n, 6))
	f.boots[place{typ, zone}] = b
}

// bootS is how long a machine of a type takes to come up, as learnt: what the cloud
// says, unless some that came up lately say something clearly different.
func (f *Fleet) bootS(m *model.Model, typ, zone int32) float64 {
	s := m.Types[typ].BootS
	if b := f.boots[place{typ, zone}]; b.n >= 4 && (b.ratio < 0.6 || b.ratio > 1.5) {
		return s * b.ratio
	}
	return s
}

// JudgeBoots marks the machines that are late, so that demand is covered anew, and
// tells which won't come up; at is the time of day in ms, and settled how long a new
// leader gives machines that are up to report to it.
func (f *Fleet) JudgeBoots(m *model.Model, at int64, now, settled model.Time) (gone []*model.Machine) {
	var up map[int32][]int64 // when what is up was rented, by type
	clear(f.late)
	for _, mc := range m.Order {
		mc.Overdue = false
		boot := max(m.TypeOf(mc).BootS, 10)
		age := float64(at-mc.At) / 1000
		if mc.Reported || len(mc.Runs) > 0 || mc.Suspect || mc.Releasing || age < lateAlone*boot+3 || now-mc.KnownSince < settled {
			continue
		}
		if up == nil {
			up = map[int32][]int64{}
			for _, o := range m.Order {
				if o.Reported {
					up[o.Type] = append(up[o.Type], o.At)
				}
			}
			for _, list := range up {
				slices.Sort(list)
			}
		}
		first, _ := slices.BinarySearch(up[mc.Type], mc.At-500)
		alone := len(up[mc.Type])-first >= overtakers
		mc.Overdue = alone || age > late*boot+5
		if mc.Overdue {
			f.late[place{mc.Type, mc.Zone}]++
		}
		if alone && age > hopeless*boot+5 || age > hopelessAll*boot+10 {
			gone = append(gone, mc)
		}
	}
	return gone
}

// avoid is by how much an offer counts as dearer because machines there are late.
func (f *Fleet) avoid(o Offer) float64 { return 1 + 0.5*float64(min(f.late[place{o.Type, o.Zone}], 6)) }

// BootRatio tells how long a machine took to come up, as a multiple of the usual time.
func BootRatio(m *model.Model, mc *model.Machine, now model.Time) float64 {
	return float64(now-mc.RentedAt) / float64(config.Seconds(max(m.TypeOf(mc).BootS, 1)))
}
