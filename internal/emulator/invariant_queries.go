package emulator

import (
	"slices"

	"fieldhill/wire"
)

// Violations lists the violations so far, each with its time and rule.
func (c *InvariantChecker) Violations() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]string(nil), c.violations...)
}

// isLastTask reports whether a task is the only one of its job that is not done.
func (c *InvariantChecker) isLastTask(task string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	n, k, _ := wire.ParseTaskID(task)
	t := c.jobs[n]
	return t != nil && t.accepted && !t.cancelRequested && !t.done[k] && len(t.done) == t.spec.Tasks-1
}

// RacingReads counts the answers to questions that came within a moment after a user was answered that a job is
// accepted, done or cancelled.
func (c *InvariantChecker) RacingReads() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.racingReads
}

// OpenJobs lists some jobs that have tasks on machines, and that nobody has asked to cancel.
func (c *InvariantChecker) OpenJobs(limit int) (ids []string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, t := range c.jobs {
		if t.accepted && !t.cancelRequested && t.finalState == "" && len(t.taskZones) > 0 {
			ids = append(ids, t.spec.ID)
		}
	}
	slices.Sort(ids)
	return ids[:min(limit, len(ids))]
}

// isDone reports whether a task completed: its result is stored, and if it is started again it is done at once.
func (c *InvariantChecker) isDone(task string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	n, k, _ := wire.ParseTaskID(task)
	t := c.jobs[n]
	return t != nil && t.done[k]
}

// StartsAfterCancel counts the tasks that were started after the cancellation of their job was confirmed, within the
// time that the protocol leaves.
func (c *InvariantChecker) StartsAfterCancel() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.startsAfterCancel
}

// Starts counts the tasks that were started.
func (c *InvariantChecker) Starts() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.starts
}

// StartsOf counts the tasks of a job that were started.
func (c *InvariantChecker) StartsOf(id string) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	n, _ := wire.JobNumber(id)
	if t := c.jobs[n]; t != nil {
		return t.starts
	}
	return 0
}

// Finished counts the jobs of which a user was answered that they are over, and all that were accepted.
func (c *InvariantChecker) Finished() (finished, accepted int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, t := range c.jobs {
		if t.accepted {
			accepted++
		}
		if t.finalState != "" {
			finished++
		}
	}
	return finished, accepted
}

// Running counts the tasks of a job that are on machines.
func (c *InvariantChecker) Running(id string) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	n, _ := wire.JobNumber(id)
	if t := c.jobs[n]; t != nil {
		return len(t.taskZones)
	}
	return 0
}

// UsedCPUs is how many CPUs a team's tasks use.
func (c *InvariantChecker) UsedCPUs(team string) (cpus float64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.usage[team][0]
}

// Tasks counts all tasks that are on machines.
func (c *InvariantChecker) Tasks() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.placements)
}

// HasTasks reports whether any task is on a machine.
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
