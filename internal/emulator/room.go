package emulator

import (
	"time"

	"fieldhill/wire"
)

// roomUnusedFor is for how long a job may wait, once all troubles are over, while a machine that fits has room and its team is under its limit.
const roomUnusedFor = 90 * time.Second

// room is what is left of a machine.
type room struct {
	typ, zone string
	spot      bool
	cpus, mem float64
}

// free is what is left of the machines that are up, well and reached.
func (c *Cloud) free() (all []room) {
	for _, wk := range c.Up() {
		wk.mu.Lock()
		t := c.typ(wk.Type)
		r := room{wk.Type, wk.Zone, wk.Spot, t.CPUs, t.MemoryGB}
		for _, x := range wk.tasks {
			if x.state != wire.TaskExited {
				r.cpus, r.mem = r.cpus-x.spec.CPUs, r.mem-x.spec.MemoryGB
			}
		}
		well := wk.session > 0 && !wk.lost && !wk.deaf && !wk.mute && !wk.sick && wk.held == 0 && !time.Now().Before(wk.hangs)
		wk.mu.Unlock()
		if well {
			all = append(all, r)
		}
	}
	return all
}

// checkRoom looks for jobs that wait though there is room for them.
func (w *World) checkRoom() {
	f := w.Referee
	f.mu.Lock()
	calm := f.calm
	f.mu.Unlock()
	if !calm {
		return
	}
	free := w.Cloud.free()
	f.mu.Lock()
	defer f.mu.Unlock()
	used := map[string]float64{}
	for task, where := range f.on {
		n, _, _ := wire.ParseTaskID(task)
		used[f.jobs[n].spec.Team] += f.jobs[n].spec.CPUs * float64(len(where))
	}
	for _, t := range f.jobs {
		s := t.spec
		switch most := f.limits[s.Team][0]; {
		case !t.accepted || t.asked || t.told != "" || len(t.zones)+len(t.done) >= s.Tasks || !t.could(free, most-used[s.Team], most == 0):
			t.couldFrom = time.Time{}
		case t.couldFrom.IsZero():
			t.couldFrom = time.Now()
		case time.Since(t.couldFrom) > roomUnusedFor:
			f.broke("left_waiting", "%s (%s, %d tasks, %d there, %d done) waits for %v while there is room for it", s.ID, s.Shape, s.Tasks, len(t.zones), len(t.done), time.Since(t.couldFrom))
			t.couldFrom = time.Now()
		}
	}
}

// could tells whether there is room for what is next of a job: a task, or all of a gang, which for this is packed plainly: it is not said to fit where
// it does not, but may be said not to fit where it does.
func (t *truth) could(free []room, left float64, unlimited bool) bool {
	s := t.spec
	need := 1
	if s.Shape == wire.Gang {
		if len(t.zones) > 0 {
			return false // some of it are there still, of this attempt or the last
		}
		need = s.Tasks
	}
	if !unlimited && s.CPUs*float64(need) > left+1e-9 {
		return false
	}
	in := map[string]int{}
	for _, z := range t.zones {
		in[z]++
	}
	fits := map[string]int{}
	for _, r := range free {
		ok := s.Types == nil
		for _, x := range s.Types {
			ok = ok || x == r.typ
		}
		if !ok || s.Zone != nil && *s.Zone != r.zone || r.spot && !s.Spot || s.SameZone && len(t.zones) > in[r.zone] {
			continue
		}
		for r.cpus >= s.CPUs-1e-9 && r.mem >= s.MemoryGB-1e-9 && s.CPUs > 0 {
			r.cpus, r.mem = r.cpus-s.CPUs, r.mem-s.MemoryGB
			fits[r.zone]++
		}
	}
	most, all := 0, 0
	for zone, k := range fits {
		if s.Spread {
			k = min(k, (s.Tasks+1)/2-in[zone])
		}
		most, all = max(most, k), all+max(k, 0)
	}
	if s.SameZone && s.Shape == wire.Gang {
		return most >= need
	}
	return all >= need
}
