package emulator

import (
	"time"

	"fieldhill/wire"
)

// maxUnusedCapacityDuration is how long a job may wait, once all faults are over, although its tasks fit the free
// capacity of the machines and the limit of its team.
const maxUnusedCapacityDuration = 90 * time.Second

// freeCapacity is the unused capacity of a machine.
type freeCapacity struct {
	machineType, zone string
	spot              bool
	cpus, memoryGB    float64
}

// freeCapacities returns the unused capacity of each machine that is up, healthy and reachable.
func (c *Cloud) freeCapacities() (all []freeCapacity) {
	for _, worker := range c.Workers() {
		if free, ok := worker.freeCapacity(c.machineType(worker.Type)); ok {
			all = append(all, free)
		}
	}
	return all
}

// freeCapacity returns the unused capacity of the machine; ok is false if the agent has not started yet or a fault
// prevents the machine from accepting tasks.
func (w *Worker) freeCapacity(machineType *wire.MachineType) (remaining freeCapacity, ok bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	remaining = freeCapacity{w.Type, w.Zone, w.Spot, machineType.CPUs, machineType.MemoryGB}
	for _, t := range w.tasks {
		if t.state != wire.TaskExited {
			remaining.cpus -= t.spec.CPUs
			remaining.memoryGB -= t.spec.MemoryGB
		}
	}
	reachable := !w.inboundPartitioned && !w.outboundPartitioned && w.commandDelay == 0
	healthy := !w.terminated && !w.failAllTasks && !time.Now().Before(w.hungUntil)
	return remaining, w.epoch > 0 && reachable && healthy
}

// checkUnusedCapacity checks, once all faults are over, that no accepted job waits longer than
// maxUnusedCapacityDuration while the free capacity of the machines has room for its next task, or for all tasks of a
// gang.
func (e *Environment) checkUnusedCapacity() {
	if !e.Checker.areFaultsOver() {
		return
	}
	e.Checker.checkPlaceableJobs(e.Cloud.freeCapacities())
}

func (c *InvariantChecker) areFaultsOver() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.faultsOver
}

// checkPlaceableJobs records a violation for each pending job that canPlaceNext has reported as placeable for longer
// than maxUnusedCapacityDuration, given the free capacity of the machines.
func (c *InvariantChecker) checkPlaceableJobs(free []freeCapacity) {
	c.mu.Lock()
	defer c.mu.Unlock()
	used := map[string]float64{}
	for task, machines := range c.placements {
		n, _, _ := wire.ParseTaskID(task)
		spec := c.jobs[n].spec
		used[spec.Team] += spec.CPUs * float64(len(machines))
	}
	for _, job := range c.jobs {
		spec := job.spec
		limit := c.limits[spec.Team][0]
		open := job.accepted && !job.cancelRequested && job.finalState == ""
		pending := open && len(job.taskZones)+len(job.done) < spec.Tasks
		switch {
		case !pending || !job.canPlaceNext(free, limit-used[spec.Team], limit == 0):
			job.placeableSince = time.Time{}
		case job.placeableSince.IsZero():
			job.placeableSince = time.Now()
		case time.Since(job.placeableSince) > maxUnusedCapacityDuration:
			c.recordViolation("left_waiting",
				"%s (%s, %d tasks, %d on machines, %d done) waits for %v while there is room for it",
				spec.ID, spec.Shape, spec.Tasks, len(job.taskZones), len(job.done), time.Since(job.placeableSince))
			job.placeableSince = time.Now()
		}
	}
}

// canPlaceNext reports whether there is room for the next task of a job, or for all tasks of a gang. quotaLeft is the
// number of CPUs that the team may still use; it is ignored if the team is unlimited. Only CPUs and memory are
// considered, not GPUs. For gangs the result is that of a simple heuristic, which may miss a possible placement but
// reports none that CPUs or memory rule out.
func (j *jobRecord) canPlaceNext(free []freeCapacity, quotaLeft float64, unlimited bool) bool {
	spec := j.spec
	needed := 1
	if spec.Shape == wire.Gang {
		if len(j.taskZones) > 0 {
			return false // some tasks of this or the previous attempt are still on machines
		}
		needed = spec.Tasks
	}
	if !unlimited && spec.CPUs*float64(needed) > quotaLeft+capacityTolerance {
		return false
	}
	placedByZone := map[string]int{}
	for _, zone := range j.taskZones {
		placedByZone[zone]++
	}
	maxInZone, total := 0, 0
	for zone, count := range j.fittingByZone(free, placedByZone) {
		if spec.Spread {
			count = min(count, maxTasksPerZone(spec)-placedByZone[zone])
		}
		maxInZone = max(maxInZone, count)
		total += max(count, 0)
	}
	if spec.SameZone && spec.Shape == wire.Gang {
		return maxInZone >= needed
	}
	return total >= needed
}

// fittingByZone returns how many tasks of a job fit the free capacity of each zone.
func (j *jobRecord) fittingByZone(free []freeCapacity, placedByZone map[string]int) map[string]int {
	spec := j.spec
	fits := map[string]int{}
	for _, remaining := range free {
		usesOtherZone := spec.SameZone && len(j.taskZones) > placedByZone[remaining.zone]
		if usesOtherZone || !allowsMachine(spec, remaining.machineType, remaining.zone, remaining.spot) {
			continue
		}
		for remaining.cpus >= spec.CPUs-capacityTolerance &&
			remaining.memoryGB >= spec.MemoryGB-capacityTolerance && spec.CPUs > 0 {
			remaining.cpus -= spec.CPUs
			remaining.memoryGB -= spec.MemoryGB
			fits[remaining.zone]++
		}
	}
	return fits
}
