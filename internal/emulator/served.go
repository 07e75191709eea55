package emulator

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"fieldhill/wire"
)

const (
	// checkInterval is how often the environment has Check called.
	checkInterval = 500 * time.Millisecond
	// replicaStartupGrace is for how long after a submission no replica need be up.
	replicaStartupGrace = 15 * time.Second
)

// ServedCount is what became of the jobs of a class or a team, of those that could end: accepted or not, except those
// whose users cancelled them. Services don't end; of them the time counts that their replicas were up.
type ServedCount struct {
	Jobs, Started, Done                    int
	Tasks, TasksDone                       int
	ReplicaWantedSeconds, ReplicaUpSeconds float64 // replicas' seconds
}

// Shares are what was served, from 0 to 1: of the jobs, of the tasks, and of the replicas' time; 1 where there are
// none.
func (c *ServedCount) Shares() (jobs, tasks, up float64) {
	jobs, tasks, up = 1, 1, 1
	if c.Jobs > 0 {
		jobs, tasks = float64(c.Done)/float64(c.Jobs), float64(c.TasksDone)/float64(c.Tasks)
	}
	if c.ReplicaWantedSeconds > 0 {
		up = c.ReplicaUpSeconds / c.ReplicaWantedSeconds
	}
	return jobs, tasks, up
}

// String formats the count for a test's log.
func (c *ServedCount) String() string {
	s := ""
	if c.Jobs > 0 {
		s = fmt.Sprintf("begun %d, done %d of %d jobs; %d of %d tasks", c.Started, c.Done, c.Jobs, c.TasksDone, c.Tasks)
	}
	if c.ReplicaWantedSeconds > 0 {
		s += fmt.Sprintf(" replicas up %.3f", c.ReplicaUpSeconds/c.ReplicaWantedSeconds)
	}
	return s
}

// add counts a job.
func (c *ServedCount) add(t *jobRecord) {
	if t.spec.Shape == wire.Service {
		c.ReplicaWantedSeconds += t.replicaWantedSeconds
		c.ReplicaUpSeconds += t.replicaUpSeconds
		return
	}
	if t.cancelRequested {
		return
	}
	c.Jobs++
	c.Tasks += t.spec.Tasks
	c.TasksDone += len(t.done)
	if t.starts > 0 {
		c.Started++
	}
	if len(t.done) == t.spec.Tasks {
		c.Done++
	}
}

// ServedCounts counts by class and by team.
func (c *InvariantChecker) ServedCounts() (classes, teams map[string]*ServedCount) {
	c.mu.Lock()
	defer c.mu.Unlock()
	classes, teams = map[string]*ServedCount{}, map[string]*ServedCount{}
	countOf := func(counts map[string]*ServedCount, name string) *ServedCount {
		if counts[name] == nil {
			counts[name] = &ServedCount{}
		}
		return counts[name]
	}
	for _, t := range c.jobs {
		countOf(classes, t.spec.Class).add(t)
		countOf(teams, t.spec.Team).add(t)
	}
	return classes, teams
}

// largestStartBound is how soon also the largest jobs are to begin.
const largestStartBound = 4 * time.Minute

// LargestJobs is how the largest jobs of a class were served: those of the most tasks, and the tenth that needs most.
type LargestJobs struct {
	Jobs, Started int
	Late          int           // started after largestStartBound, or waiting for longer
	WorstWait     time.Duration // for the start, so far
}

// gpuWeight is how many CPUs a GPU counts for when jobs are compared by size.
const gpuWeight = 8

// resourceDemand is the size of a job.
func (t *jobRecord) resourceDemand() float64 {
	return float64(t.spec.Tasks) * (t.spec.CPUs + gpuWeight*t.spec.GPUs)
}

// LargestByClass counts them by class, of jobs that were not cancelled and came at least a while ago.
func (c *InvariantChecker) LargestByClass(since time.Duration) map[string]*LargestJobs {
	c.mu.Lock()
	defer c.mu.Unlock()
	byClass := map[string][]*jobRecord{}
	for _, t := range c.jobs {
		if t.accepted && !t.cancelRequested && time.Since(t.submittedAt) >= since {
			byClass[t.spec.Class] = append(byClass[t.spec.Class], t)
		}
	}
	out := map[string]*LargestJobs{}
	for class, jobs := range byClass {
		out[class] = countLargest(jobs)
	}
	return out
}

// countLargest counts the largest of some jobs.
func countLargest(jobs []*jobRecord) *LargestJobs {
	slices.SortFunc(jobs, func(a, b *jobRecord) int { return cmp.Compare(b.resourceDemand(), a.resourceDemand()) })
	maxTasks := 0
	for _, t := range jobs {
		maxTasks = max(maxTasks, t.spec.Tasks)
	}
	count := &LargestJobs{}
	for i, t := range jobs {
		if i >= (len(jobs)+9)/10 && t.spec.Tasks < maxTasks {
			continue
		}
		wait := time.Since(t.submittedAt)
		count.Jobs++
		if !t.startedAt.IsZero() {
			count.Started++
			wait = t.startedAt.Sub(t.submittedAt)
		}
		count.WorstWait = max(count.WorstWait, wait)
		if wait > largestStartBound {
			count.Late++
		}
	}
	return count
}
