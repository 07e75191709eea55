package autoscaler

import (
	"math"

	"fieldhill/internal/model"
	"fieldhill/internal/scheduling/scheduler"
)

// This file keeps per-class statistics of arriving jobs: typical resources, size, run time and arrival rate.

const (
	// averagingSeconds is the time constant of the exponentially decayed arrival counts.
	averagingSeconds = 240.0
	// minAveragingSeconds is the minimum period over which an arrival rate is averaged. Without it, the first few
	// seconds after the start would determine the rate.
	minAveragingSeconds = 30
	// averageWeight is the weight of the newest job in the moving averages of its class.
	averageWeight = 0.1
	// imageDecay and largestJobDecay are the factors by which the recorded sizes of the largest image and the largest
	// job of a class shrink with each job of the class that arrives.
	imageDecay, largestJobDecay = 0.8, 0.98
)

// jobClass holds the statistics of a job class. Kind, resources and constraints are those of its newest job.
type jobClass struct {
	kind            model.Kind
	taskResources   scheduler.Resources
	types           []int32
	zone            int32
	spot            bool
	spread          bool
	tasksPerJob     float64 // moving average
	runSeconds      float64 // moving average of the time for which a task occupies its resources
	imageGB         float64 // size of the largest image, decaying
	largestJobTasks float64 // number of tasks of the largest job, decaying
	decayedArrivals float64 // number of tasks that arrived, exponentially decayed
}

// arrivals holds the arrival statistics of all job classes.
type arrivals struct {
	classes map[int32]*jobClass
	// gpuDemand maps each class that uses GPUs to the resources per task of its newest job.
	gpuDemand scheduler.GPUDemand
	seenJobs  map[model.JobID]bool
	started   bool
	startTime model.Time
	lastDecay model.Time
}

func newArrivals() arrivals {
	return arrivals{classes: map[int32]*jobClass{}, gpuDemand: scheduler.GPUDemand{}, seenJobs: map[model.JobID]bool{}}
}

// observe updates the statistics with the jobs that arrived since the last call.
func (a *arrivals) observe(m *model.Model, jobs []*model.Job, now model.Time) {
	if !a.started {
		a.started, a.startTime, a.lastDecay = true, now, now
		// Jobs that exist at the first call say nothing about the arrival rate.
		for _, j := range jobs {
			a.seenJobs[j.ID] = true
			a.updateClass(m, j)
		}
		return
	}
	decay := math.Exp(-(now - a.lastDecay).Seconds() / averagingSeconds)
	a.lastDecay = now
	for _, c := range a.classes {
		c.decayedArrivals *= decay
	}
	for _, j := range jobs {
		if !a.seenJobs[j.ID] {
			a.seenJobs[j.ID] = true
			a.updateClass(m, j).decayedArrivals += float64(len(j.Tasks))
		}
	}
	a.pruneSeenJobs(m)
}

// pruneSeenJobs removes the IDs of jobs that have left the model once they far outnumber the remaining ones.
func (a *arrivals) pruneSeenJobs(m *model.Model) {
	if len(a.seenJobs) <= 4*len(m.Jobs)+1000 {
		return
	}
	for id := range a.seenJobs {
		if m.Jobs[id] == nil {
			delete(a.seenJobs, id)
		}
	}
}

// updateClass updates the statistics of a job's class, except the number of arrivals, and returns them.
func (a *arrivals) updateClass(m *model.Model, j *model.Job) *jobClass {
	c := a.classes[j.Class]
	if c == nil {
		c = &jobClass{tasksPerJob: float64(len(j.Tasks)), runSeconds: m.ExpectedSeconds(j)}
		a.classes[j.Class] = c
	}
	c.kind, c.taskResources = j.Kind, scheduler.TaskDemand(j)
	c.types, c.zone, c.spot, c.spread = j.Types, j.Zone, j.Spec.Spot, j.Spec.Spread
	if c.taskResources.GPUs > 0 {
		a.gpuDemand[j.Class] = c.taskResources
	} else {
		delete(a.gpuDemand, j.Class)
	}
	c.imageGB = max(j.Spec.ImageGB, imageDecay*c.imageGB)
	c.tasksPerJob += (float64(len(j.Tasks)) - c.tasksPerJob) * averageWeight
	c.runSeconds += (m.ExpectedSeconds(j) - c.runSeconds) * averageWeight
	c.largestJobTasks = max(c.largestJobTasks*largestJobDecay, float64(len(j.Tasks)))
	return c
}

// tasksPerSecond returns the average arrival rate of the tasks of a class, weighted towards recent arrivals.
func (a *arrivals) tasksPerSecond(c *jobClass, now model.Time) float64 {
	elapsed := (now - a.startTime).Seconds()
	effectiveSeconds := averagingSeconds * (1 - math.Exp(-elapsed/averagingSeconds))
	return c.decayedArrivals / max(effectiveSeconds, minAveragingSeconds)
}
