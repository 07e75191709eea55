package autoscaler

import (
	"maps"
	"math"
	"slices"

	"fieldhill/internal/config"
	"fieldhill/internal/model"
	"fieldhill/internal/scheduling/scheduler"
)

// This file computes standby demand: room kept ready for classes that must start sooner than a machine can be
// provisioned.

const (
	// preemptSeconds is the time to preempt low-priority work and observe that its resources are free.
	preemptSeconds = 4.0
	// coldStartBudgetShare is the share of a class's start objective that a cold start, booting a machine and fetching
	// the image, may take. A class whose cold start takes longer gets standby demand.
	coldStartBudgetShare = 0.5
	// standbyPriceFactor limits the price of standby machines to a multiple of the price of the cheapest suitable
	// offer.
	standbyPriceFactor = 6
)

// standbyDemands returns the standby demand of each class that needs it, in the order of class IDs.
func (a *Autoscaler) standbyDemands(m *model.Model, jobs []*model.Job, now model.Time) (standby []demand) {
	for _, id := range slices.Sorted(maps.Keys(a.arrivals.classes)) {
		c := a.arrivals.classes[id]
		targetSeconds, ok := config.StartWithin(a.Objectives, m.Classes.Name(id))
		if !ok {
			continue
		}
		boot, fetch := a.coldStart(m, c)
		if boot+fetch < targetSeconds*coldStartBudgetShare {
			continue // a machine can be provisioned within the start objective
		}
		rate := a.arrivals.tasksPerSecond(c, now)
		var expected, headroom float64 // numbers of tasks
		switch c.kind {
		case model.Service:
			expected = expectedServiceTasks(c, rate, boot)
			// Low-priority work is preempted within preemptSeconds; only services that must start sooner need resources
			// that are already free.
			if targetSeconds-fetch < preemptSeconds {
				headroom = rate*2*preemptSeconds + 1.5*c.largestJobTasks
			}
		case model.Gang:
			expected = expectedGangTasks(c, rate, boot, fetch, liveTasks(jobs, id))
		}
		// With less standby than headroom, the plan would find room for tasks that have to leave it free for services.
		if n := int(math.Ceil(max(expected, headroom))); n > 0 {
			d := c.standby(n, m.Classes.Name(id))
			d.headroomCPUs = headroom * c.taskResources.CPUs
			standby = append(standby, d)
		}
	}
	return standby
}

// expectedServiceTasks returns how many tasks of a service class may arrive while a machine boots: the mean plus two
// standard deviations, plus the largest job.
func expectedServiceTasks(c *jobClass, rate, boot float64) float64 {
	mean := rate * (boot*1.5 + 10)
	return mean + 2*math.Sqrt(mean*max(1, c.tasksPerJob)) + c.largestJobTasks
}

// expectedGangTasks returns for how many tasks of a gang class to keep machines ready: the usual number of concurrent
// tasks by Little's law minus the live ones, but at most as many as arrive while a machine boots.
func expectedGangTasks(c *jobClass, rate, boot, fetch float64, live int) float64 {
	concurrent := rate * (c.runSeconds*1.2 + fetch)
	n := math.Round(concurrent+0.7*math.Sqrt(concurrent)) - float64(live)
	return min(n, math.Ceil(rate*boot))
}

// standby returns the standby demand for the given number of tasks of a class.
func (c *jobClass) standby(count int, name string) demand {
	d := demand{
		taskResources:  c.taskResources,
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
		d.maxPerZone, d.countPerZone = count/2+1, map[int32]int{}
	}
	return d
}

// liveTasks returns the number of uncompleted tasks of a class, without cancelled jobs.
func liveTasks(jobs []*model.Job, class int32) int {
	n := 0
	for _, j := range jobs {
		if j.Class == class && !j.Cancelled {
			n += len(j.Tasks) - j.Done
		}
	}
	return n
}

// coldStart returns the time in seconds to boot the machine type that boots fastest among those that suit a class, and
// the time to fetch the image of the class there. Both are 0 if no type suits the class.
func (a *Autoscaler) coldStart(m *model.Model, c *jobClass) (boot, fetch float64) {
	boot = math.Inf(1)
	anyZone := demand{types: c.types, zone: -1}
	for i := range m.Types {
		t := &m.Types[i]
		if !t.Known || !scheduler.TypeCapacity(t).Contains(c.taskResources) ||
			!anyZone.allows(InstanceOffer{Type: int32(i)}) {
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
