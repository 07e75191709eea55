package autoscaler

import (
	"maps"
	"math"
	"slices"

	"fieldhill/internal/config"
	"fieldhill/internal/model"
	"fieldhill/internal/scheduling/scheduler"
)

// This file is the demand that is only expected: room that is kept ready for classes that must start sooner than a
// machine can be had.

const (
	// preemptSeconds is how long it takes to preempt low-priority work and learn that its resources are free.
	preemptSeconds = 4.0
	// coldStartShare is the part of the time to start that a cold start may take.
	coldStartShare = 0.5
	// standbyPriceFactor is how many times the cheapest price standby room is worth.
	standbyPriceFactor = 6
)

// standbyDemands lists the demand that is expected of each class, by number, and how many CPUs low-priority work is to
// leave free.
func (a *Autoscaler) standbyDemands(m *model.Model, jobs []*model.Job, now model.Time) ([]demand, float64) {
	var standby []demand
	headroom := 0.0
	for _, id := range slices.Sorted(maps.Keys(a.arrivals.classes)) {
		c := a.arrivals.classes[id]
		within, ok := config.StartWithin(a.Objectives, m.Classes.Name(id))
		if !ok {
			continue
		}
		boot, fetch := a.coldStart(m, c)
		if boot+fetch < within*coldStartShare {
			continue // a machine can be had in time
		}
		rate := a.arrivals.rate(c, now)
		var expected float64
		switch c.kind {
		case model.Service:
			expected = expectedServiceTasks(c, rate, boot)
			// Low-priority work gives way within seconds; only what must start sooner than
			// that needs room that is free already.
			if within-fetch < preemptSeconds {
				headroom += (rate*2*preemptSeconds + 1.5*c.largestJob) * c.need.CPUs
			}
		case model.Gang:
			expected = expectedGangTasks(c, rate, boot, fetch, liveTasks(jobs, id))
		}
		if n := int(math.Ceil(expected)); n > 0 {
			standby = append(standby, c.standby(n, m.Classes.Name(id)))
		}
	}
	return standby, headroom
}

// expectedServiceTasks is how many tasks of a class of services may arrive while a machine boots: the mean, twice the
// deviation, and the largest job.
func expectedServiceTasks(c *jobClass, rate, boot float64) float64 {
	mean := rate * (boot*1.5 + 10)
	return mean + 2*math.Sqrt(mean*max(1, c.tasksPerJob)) + c.largestJob
}

// expectedGangTasks is the usual number of a class's tasks at once, by Little's law, less those that run, and no more
// than arrive while a machine boots.
func expectedGangTasks(c *jobClass, rate, boot, fetch float64, live int) float64 {
	concurrent := rate * (c.runSeconds*1.2 + fetch)
	n := math.Round(concurrent+0.7*math.Sqrt(concurrent)) - float64(live)
	return min(n, math.Ceil(rate*boot))
}

// standby is room for so many tasks of a class.
func (c *jobClass) standby(count int, name string) demand {
	d := demand{
		need:           c.need,
		types:          c.types,
		zone:           c.zone,
		spot:           c.spot && c.kind != model.Service,
		count:          count,
		service:        c.kind == model.Service,
		standby:        true,
		maxPriceFactor: standbyPriceFactor,
		purpose:        "expected demand of class " + name,
	}
	if c.spread && count > 1 {
		d.maxPerZone, d.inZone = count/2+1, map[int32]int{}
	}
	return d
}

// liveTasks is how many tasks of a class are not done.
func liveTasks(jobs []*model.Job, class int32) int {
	n := 0
	for _, j := range jobs {
		if j.Class == class && !j.Cancelled {
			n += len(j.Tasks) - j.Done
		}
	}
	return n
}

// coldStart is how many seconds it takes from provisioning the best machine for a class to
// having an image there.
func (a *Autoscaler) coldStart(m *model.Model, c *jobClass) (boot, fetch float64) {
	boot = math.Inf(1)
	anywhere := demand{types: c.types, zone: -1}
	for i := range m.Types {
		t := &m.Types[i]
		if !t.Known || !scheduler.TypeCapacity(t).Contains(c.need) || !anywhere.allows(InstanceOffer{Type: int32(i)}) {
			continue
		}
		for _, z := range t.ZoneIDs {
			if s := a.bootSeconds(m, int32(i), z); s < boot {
				boot = s
				fetch = c.imageGB / max(t.FetchGBPerS, 0.01)
			}
		}
	}
	if math.IsInf(boot, 1) {
		return 0, 0
	}
	return boot, fetch
}
