package emulator

import (
	"time"

	"fieldhill/wire"
)

// capacityUnusedFor is for how long a job may wait, once all faults are over, while a machine that fits has room
// and its team is under its limit.
const capacityUnusedFor = 90 * time.Second

// freeMachine is what is left of a machine.
type freeMachine struct {
	machineType, zone string
	spot              bool
	cpus, memoryGB    float64
}

// freeMachines is what is left of the machines that are up, healthy and reachable.
func (c *Cloud) freeMachines() (all []freeMachine) {
	for _, worker := range c.Workers() {
		if free, ok := worker.free(c.machineType(worker.Type)); ok {
			all = append(all, free)
		}
	}
	return all
}

// free is what is left of a machine of a type; not ok if a fault keeps it from taking tasks.
func (w *Worker) free(machineType *wire.MachineType) (left freeMachine, ok bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	left = freeMachine{w.Type, w.Zone, w.Spot, machineType.CPUs, machineType.MemoryGB}
	for _, t := range w.tasks {
		if t.state != wire.TaskExited {
			left.cpus -= t.spec.CPUs
			left.memoryGB -= t.spec.MemoryGB
		}
	}
	reachable := !w.inboundPartitioned && !w.outboundPartitioned && w.commandDelay == 0
	healthy := !w.terminated && !w.failsTasks && !time.Now().Before(w.hungUntil)
	return left, w.epoch > 0 && reachable && healthy
}

// checkUnusedCapacity looks for jobs that wait though there is room for them.
func (w *Environment) checkUnusedCapacity() {
	if !w.Checker.areFaultsOver() {
		return
	}
	w.Checker.checkWaiting(w.Cloud.freeMachines())
}

func (c *InvariantChecker) areFaultsOver() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.faultsOver
}

// checkWaiting checks that no job waits for long which could be placed on what is left of the machines.
func (c *InvariantChecker) checkWaiting(free []freeMachine) {
	c.mu.Lock()
	defer c.mu.Unlock()
	used := map[string]float64{}
	for task, machines := range c.placements {
		n, _, _ := wire.ParseTaskID(task)
		spec := c.jobs[n].spec
		used[spec.Team] += spec.CPUs * float64(len(machines))
	}
	for _, t := range c.jobs {
		s := t.spec
		quota := c.limits[s.Team][0]
		waits := t.accepted && !t.cancelRequested && t.finalState == "" && len(t.taskZones)+len(t.done) < s.Tasks
		switch {
		case !waits || !t.canPlaceNext(free, quota-used[s.Team], quota == 0):
			t.placeableSince = time.Time{}
		case t.placeableSince.IsZero():
			t.placeableSince = time.Now()
		case time.Since(t.placeableSince) > capacityUnusedFor:
			c.violate("left_waiting", "%s (%s, %d tasks, %d there, %d done) waits for %v while there is room for it",
				s.ID, s.Shape, s.Tasks, len(t.taskZones), len(t.done), time.Since(t.placeableSince))
			t.placeableSince = time.Now()
		}
	}
}

// canPlaceNext reports whether there is room for what is next of a job: a task, or all of a gang, which for this is
// packed plainly: it is not said to fit where it does not, but may be said not to fit where it does.
func (t *jobRecord) canPlaceNext(free []freeMachine, quotaLeft float64, unlimited bool) bool {
	s := t.spec
	need := 1
	if s.Shape == wire.Gang {
		if len(t.taskZones) > 0 {
			return false // some of its tasks are there still, of this attempt or the last
		}
		need = s.Tasks
	}
	if !unlimited && s.CPUs*float64(need) > quotaLeft+capacityTolerance {
		return false
	}
	placedIn := map[string]int{}
	for _, zone := range t.taskZones {
		placedIn[zone]++
	}
	bestZone, total := 0, 0
	for zone, count := range t.fitsByZone(free, placedIn) {
		if s.Spread {
			count = min(count, maxTasksPerZone(s)-placedIn[zone])
		}
		bestZone = max(bestZone, count)
		total += max(count, 0)
	}
	if s.SameZone && s.Shape == wire.Gang {
		return bestZone >= need
	}
	return total >= need
}

// fitsByZone counts how many tasks of a job fit on what is left of the machines of each zone.
func (t *jobRecord) fitsByZone(free []freeMachine, placedIn map[string]int) map[string]int {
	s := t.spec
	fits := map[string]int{}
	for _, left := range free {
		isElsewhere := s.SameZone && len(t.taskZones) > placedIn[left.zone]
		if isElsewhere || !allowsMachine(s, left.machineType, left.zone, left.spot) {
			continue
		}
		for left.cpus >= s.CPUs-capacityTolerance && left.memoryGB >= s.MemoryGB-capacityTolerance && s.CPUs > 0 {
			left.cpus -= s.CPUs
			left.memoryGB -= s.MemoryGB
			fits[left.zone]++
		}
	}
	return fits
}
