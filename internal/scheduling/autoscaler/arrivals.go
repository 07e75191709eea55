package autoscaler

import (
	"math"

	"fieldhill/internal/model"
	"fieldhill/internal/scheduling/scheduler"
)

// This file learns from the jobs that arrive what each class usually needs, and how often it comes.

const (
	// averagingSeconds is over how many seconds arrivals are averaged.
	averagingSeconds = 240.0
	// minAveragingSeconds keeps the rate from being read off too short a time.
	minAveragingSeconds = 30
	// newestWeight is the weight of the newest job in the averages of its class.
	newestWeight = 0.1
	// The largest image and the largest job of a class shrink by these factors with each job that arrives.
	imageDecay, largestJobDecay = 0.8, 0.98
)

// jobClass is what was learnt of a class of jobs. Its kind, needs and constraints are those of its newest job.
type jobClass struct {
	kind        model.Kind
	need        scheduler.Resources
	types       []int32
	zone        int32
	spot        bool
	spread      bool
	tasksPerJob float64 // averaged
	runSeconds  float64 // for how long a task occupies its resources, averaged
	imageGB     float64
	largestJob  float64 // tasks of the largest job of late
	arrived     float64 // tasks that arrived, the older ones counted for less
}

// arrivals is what was learnt of all classes.
type arrivals struct {
	classes map[int32]*jobClass
	// gpuWork is the last need seen of each class that uses GPUs.
	gpuWork   scheduler.GPUDemand
	seen      map[model.JobID]bool
	started   bool
	since     model.Time
	lastDecay model.Time
}

func newArrivals() arrivals {
	return arrivals{classes: map[int32]*jobClass{}, gpuWork: scheduler.GPUDemand{}, seen: map[model.JobID]bool{}}
}

// observe takes in the jobs that are new.
func (a *arrivals) observe(m *model.Model, jobs []*model.Job, now model.Time) {
	if !a.started {
		a.started, a.since, a.lastDecay = true, now, now
		// What is there at the start says nothing of how often jobs come.
		for _, j := range jobs {
			a.seen[j.ID] = true
			a.record(m, j)
		}
		return
	}
	decay := math.Exp(-(now - a.lastDecay).Seconds() / averagingSeconds)
	a.lastDecay = now
	for _, c := range a.classes {
		c.arrived *= decay
	}
	for _, j := range jobs {
		if !a.seen[j.ID] {
			a.seen[j.ID] = true
			a.record(m, j).arrived += float64(len(j.Tasks))
		}
	}
	a.forgetFinished(m)
}

// forgetFinished drops the jobs that are gone once they are most of those seen.
func (a *arrivals) forgetFinished(m *model.Model) {
	if len(a.seen) <= 4*len(m.Jobs)+1000 {
		return
	}
	for id := range a.seen {
		if m.Jobs[id] == nil {
			delete(a.seen, id)
		}
	}
}

// record brings the averages of a job's class up to date, and returns the class.
func (a *arrivals) record(m *model.Model, j *model.Job) *jobClass {
	c := a.classes[j.Class]
	if c == nil {
		c = &jobClass{tasksPerJob: float64(len(j.Tasks)), runSeconds: m.ExpectedSeconds(j)}
		a.classes[j.Class] = c
	}
	c.kind, c.need = j.Kind, scheduler.TaskDemand(j)
	c.types, c.zone, c.spot, c.spread = j.Types, j.Zone, j.Spec.Spot, j.Spec.Spread
	if c.need.GPUs > 0 {
		a.gpuWork[j.Class] = c.need
	} else {
		delete(a.gpuWork, j.Class)
	}
	c.imageGB = max(j.Spec.ImageGB, imageDecay*c.imageGB)
	c.tasksPerJob += (float64(len(j.Tasks)) - c.tasksPerJob) * newestWeight
	c.runSeconds += (m.ExpectedSeconds(j) - c.runSeconds) * newestWeight
	c.largestJob = max(c.largestJob*largestJobDecay, float64(len(j.Tasks)))
	return c
}

// rate is how many tasks of a class arrive in a second.
func (a *arrivals) rate(c *jobClass, now model.Time) float64 {
	elapsed := (now - a.since).Seconds()
	span := averagingSeconds * (1 - math.Exp(-elapsed/averagingSeconds))
	return c.arrived / max(span, minAveragingSeconds)
}
