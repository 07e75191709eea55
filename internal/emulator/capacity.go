package emulator

import (
	"time"

	"fieldhill/wire"
)

// capacityUnusedFor is for how long a job may wait, once all troubles are over, while a machine that fits has room
// and its team is under its limit.
const capacityUnusedFor = 90 * time.Second

// freeMachine is what is left of a machine.
type freeMachine struct {
	machineType, zone string
	spot              bool
	cpus, memoryGB    float64
}

// freeMachines is what is left of the machines that are up, well and reached.
func (c *Cloud) freeMachines() (all []freeMachine) {
	for _, worker := range c.Workers() {
		worker.mu.Lock()
		t := c.machineType(worker.Type)
		r := freeMachine{worker.Type, worker.Zone, worker.Spot, t.CPUs, t.MemoryGB}
		for _, x := range worker.tasks {
			if x.state != wire.TaskExited {
				r.cpus, r.memoryGB = r.cpus-x.spec.CPUs, r.memoryGB-x.spec.MemoryGB
			}
		}
		healthy := worker.epoch > 0 && !worker.terminated && !worker.inboundPartitioned &&
			!worker.outboundPartitioned &&
			!worker.failsTasks &&
			worker.commandDelay == 0 &&
			!time.Now().Before(worker.hungUntil)
		worker.mu.Unlock()
		if healthy {
			all = append(all, r)
		}
	}
	return all
}

// checkUnusedCapacity looks for jobs that wait though there is room for them.
func (w *Environment) checkUnusedCapacity() {
	f := w.Checker
	f.mu.Lock()
	faultsOver := f.faultsOver
	f.mu.Unlock()
	if !faultsOver {
		return
	}
	free := w.Cloud.freeMachines()
	f.mu.Lock()
	defer f.mu.Unlock()
	used := map[string]float64{}
	for task, machines := range f.placements {
		n, _, _ := wire.ParseTaskID(task)
		used[f.jobs[n].spec.Team] += f.jobs[n].spec.CPUs * float64(len(machines))
	}
	for _, t := range f.jobs {
		s := t.spec
		switch quota := f.limits[s.Team][0]; {
		case !t.accepted || t.cancelRequested || t.finalState != "" || len(t.taskZones)+len(t.done) >= s.Tasks || !t.canPlaceNext(free, quota-used[s.Team], quota == 0):
			t.placeableSince = time.Time{}
		case t.placeableSince.IsZero():
			t.placeableSince = time.Now()
		case time.Since(t.placeableSince) > capacityUnusedFor:
			f.violate(
				"left_waiting",
				"%s (%s, %d tasks, %d there, %d done) waits for %v while there is room for it",
				s.ID,
				s.Shape,
				s.Tasks,
				len(t.taskZones),
				len(t.done),
				time.Since(t.placeableSince),
			)
			t.placeableSince = time.Now()
		}
	}
}

// canPlaceNext tells whether there is room for what is next of a job: a task, or all of a gang, which for this is
// packed plainly: it is not said to fit where it does not, but may be said not to fit where it does.
func (t *jobRecord) canPlaceNext(free []freeMachine, quotaLeft float64, unlimited bool) bool {
	s := t.spec
	need := 1
	if s.Shape == wire.Gang {
		if len(t.taskZones) > 0 {
			return false // some of it are there still, of this attempt or the last
		}
		need = s.Tasks
	}
	if !unlimited && s.CPUs*float64(need) > quotaLeft+1e-9 {
		return false
	}
	placedIn := map[string]int{}
	for _, z := range t.taskZones {
		placedIn[z]++
	}
	fits := map[string]int{}
	for _, r := range free {
		ok := s.Types == nil
		for _, x := range s.Types {
			ok = ok || x == r.machineType
		}
		if !ok || s.Zone != nil && *s.Zone != r.zone || r.spot && !s.Spot ||
			s.SameZone && len(t.taskZones) > placedIn[r.zone] {
			continue
		}
		for r.cpus >= s.CPUs-1e-9 && r.memoryGB >= s.MemoryGB-1e-9 && s.CPUs > 0 {
			r.cpus, r.memoryGB = r.cpus-s.CPUs, r.memoryGB-s.MemoryGB
			fits[r.zone]++
		}
	}
	bestZone, total := 0, 0
	for zone, k := range fits {
		if s.Spread {
			k = min(k, (s.Tasks+1)/2-placedIn[zone])
		}
		bestZone, total = max(bestZone, k), total+max(k, 0)
	}
	if s.SameZone && s.Shape == wire.Gang {
		return bestZone >= need
	}
	return total >= need
}
