package emulator

import (
	"slices"

	"fieldhill/wire"
)

// Violations returns a description of each violation so far, with its time and rule.
func (c *InvariantChecker) Violations() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]string(nil), c.violations...)
}

// isLastTask reports whether a task is the only task of its job that is not done, and the job is accepted and not
// cancelled by its user.
func (c *InvariantChecker) isLastTask(task string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	n, k, _ := wire.ParseTaskID(task)
	job := c.jobs[n]
	return job != nil && job.accepted && !job.cancelRequested && !job.done[k] && len(job.done) == job.spec.Tasks-1
}

// RacingReads returns the number of responses to requests that were sent within racingReadWindow after a user was first
// told that the job is accepted, done or cancelled.
func (c *InvariantChecker) RacingReads() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.racingReads
}

// OpenJobs returns the IDs of up to limit accepted jobs that have tasks on machines and are neither finished nor
// cancelled by their users.
func (c *InvariantChecker) OpenJobs(limit int) (ids []string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, job := range c.jobs {
		if job.accepted && !job.cancelRequested && job.finalState == "" && len(job.taskZones) > 0 {
			ids = append(ids, job.spec.ID)
		}
	}
	slices.Sort(ids)
	return ids[:min(limit, len(ids))]
}

// isDone reports whether a task has completed. The result of a completed task is stored, so that another attempt of the
// task is done at once.
func (c *InvariantChecker) isDone(task string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	n, k, _ := wire.ParseTaskID(task)
	job := c.jobs[n]
	return job != nil && job.done[k]
}

// StartsAfterCancel returns the number of task starts of jobs whose cancellation was already confirmed. The protocol
// allows such starts for a limited time; later starts are recorded as violations, too.
func (c *InvariantChecker) StartsAfterCancel() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.startsAfterCancel
}

// Starts returns the number of task starts.
func (c *InvariantChecker) Starts() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.starts
}

// StartsOf returns the number of task starts of a job.
func (c *InvariantChecker) StartsOf(id string) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	n, _ := wire.ParseJobID(id)
	if job := c.jobs[n]; job != nil {
		return job.starts
	}
	return 0
}

// JobCounts returns the number of jobs reported to users as done or cancelled, and the number of accepted jobs.
func (c *InvariantChecker) JobCounts() (finished, accepted int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, job := range c.jobs {
		if job.accepted {
			accepted++
		}
		if job.finalState != "" {
			finished++
		}
	}
	return finished, accepted
}

// RunningTasks returns the number of tasks of a job that are on machines.
func (c *InvariantChecker) RunningTasks(id string) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	n, _ := wire.ParseJobID(id)
	if job := c.jobs[n]; job != nil {
		return len(job.taskZones)
	}
	return 0
}

// UsedCPUs returns the number of CPUs that a team's tasks use.
func (c *InvariantChecker) UsedCPUs(team string) (cpus float64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.usage[team][0]
}

// RunningTaskCount returns the number of tasks that are on machines.
func (c *InvariantChecker) RunningTaskCount() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.placements)
}

// HasTasks reports whether any task is on the given machine.
func (c *InvariantChecker) HasTasks(machine string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, machines := range c.placements {
		if machines[machine] {
			return true
		}
	}
	return false
}
