package emulator

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"fieldhill/wire"
)

const (
	// checkInterval is the interval at which the environment calls InvariantChecker.Check.
	checkInterval = 500 * time.Millisecond
	// replicaStartupGrace is the time after the submission of a service in which its replicas need not be up.
	replicaStartupGrace = 15 * time.Second
)

// CompletionCounts counts the submitted jobs of a class or team, and how many of them started and completed. It
// includes jobs that were not accepted, and excludes jobs cancelled by their users. Services don't complete; instead,
// the time that their replicas were up and the time that they should have been up are summed.
type CompletionCounts struct {
	Jobs, Started, Done                    int
	Tasks, TasksDone                       int
	ReplicaWantedSeconds, ReplicaUpSeconds float64 // summed over the replicas of services
}

// CompletedShares returns the completed share of the jobs and of the tasks, and the share of the wanted time that
// replicas were up. Each is from 0 to 1, and 1 if there are no jobs or no replicas.
func (c *CompletionCounts) CompletedShares() (jobs, tasks, up float64) {
	jobs, tasks, up = 1, 1, 1
	if c.Jobs > 0 {
		jobs, tasks = float64(c.Done)/float64(c.Jobs), float64(c.TasksDone)/float64(c.Tasks)
	}
	if c.ReplicaWantedSeconds > 0 {
		up = c.ReplicaUpSeconds / c.ReplicaWantedSeconds
	}
	return jobs, tasks, up
}

// String formats the counts for a test log.
func (c *CompletionCounts) String() string {
	s := ""
	if c.Jobs > 0 {
		s = fmt.Sprintf("started %d, done %d of %d jobs; %d of %d tasks",
			c.Started, c.Done, c.Jobs, c.TasksDone, c.Tasks)
	}
	if c.ReplicaWantedSeconds > 0 {
		s += fmt.Sprintf(" replicas up %.3f", c.ReplicaUpSeconds/c.ReplicaWantedSeconds)
	}
	return s
}

func (c *CompletionCounts) add(job *jobRecord) {
	if job.spec.Shape == wire.Service {
		c.ReplicaWantedSeconds += job.replicaWantedSeconds
		c.ReplicaUpSeconds += job.replicaUpSeconds
		return
	}
	if job.cancelRequested {
		return
	}
	c.Jobs++
	c.Tasks += job.spec.Tasks
	c.TasksDone += len(job.done)
	if job.starts > 0 {
		c.Started++
	}
	if len(job.done) == job.spec.Tasks {
		c.Done++
	}
}

// CompletionCountsByGroup returns the counts of all jobs by class and by team.
func (c *InvariantChecker) CompletionCountsByGroup() (classes, teams map[string]*CompletionCounts) {
	c.mu.Lock()
	defer c.mu.Unlock()
	classes, teams = map[string]*CompletionCounts{}, map[string]*CompletionCounts{}
	countOf := func(counts map[string]*CompletionCounts, name string) *CompletionCounts {
		if counts[name] == nil {
			counts[name] = &CompletionCounts{}
		}
		return counts[name]
	}
	for _, job := range c.jobs {
		countOf(classes, job.spec.Class).add(job)
		countOf(teams, job.spec.Team).add(job)
	}
	return classes, teams
}

// maxLargestJobWait is the time within which even the largest jobs should start.
const maxLargestJobWait = 4 * time.Minute

// LargestJobStats describes how the largest jobs of a class were served: the jobs with the most tasks, and the top
// tenth of the jobs by resource demand.
type LargestJobStats struct {
	Jobs, Started int
	Late          int           // jobs that started after maxLargestJobWait, or are still waiting after it
	WorstWait     time.Duration // longest wait until the start or, of a job that has not started, until now
}

// gpuWeight is the number of CPUs that a GPU counts as when jobs are compared by size.
const gpuWeight = 8

// resourceDemand returns the demand of all tasks of a job in CPUs, with each GPU counted as gpuWeight CPUs.
func (j *jobRecord) resourceDemand() float64 {
	return float64(j.spec.Tasks) * (j.spec.CPUs + gpuWeight*j.spec.GPUs)
}

// LargestByClass returns the statistics of the largest jobs of each class. It considers the accepted jobs that were
// submitted at least minAge ago and whose cancellation was not requested.
func (c *InvariantChecker) LargestByClass(minAge time.Duration) map[string]*LargestJobStats {
	c.mu.Lock()
	defer c.mu.Unlock()
	byClass := map[string][]*jobRecord{}
	for _, job := range c.jobs {
		if job.accepted && !job.cancelRequested && time.Since(job.submittedAt) >= minAge {
			byClass[job.spec.Class] = append(byClass[job.spec.Class], job)
		}
	}
	stats := map[string]*LargestJobStats{}
	for class, jobs := range byClass {
		stats[class] = countLargest(jobs)
	}
	return stats
}

// countLargest returns the statistics of the largest of the given jobs of a class.
func countLargest(jobs []*jobRecord) *LargestJobStats {
	slices.SortFunc(jobs, func(a, b *jobRecord) int { return cmp.Compare(b.resourceDemand(), a.resourceDemand()) })
	maxTasks := 0
	for _, job := range jobs {
		maxTasks = max(maxTasks, job.spec.Tasks)
	}
	stats := &LargestJobStats{}
	for i, job := range jobs {
		if i >= (len(jobs)+9)/10 && job.spec.Tasks < maxTasks {
			continue
		}
		wait := time.Since(job.submittedAt)
		stats.Jobs++
		if !job.startedAt.IsZero() {
			stats.Started++
			wait = job.startedAt.Sub(job.submittedAt)
		}
		stats.WorstWait = max(stats.WorstWait, wait)
		if wait > maxLargestJobWait {
			stats.Late++
		}
	}
	return stats
}
