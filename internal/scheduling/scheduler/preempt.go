package scheduler

import (
	"cmp"
	"container/heap"
	"slices"

	"fieldhill/internal/model"
)

// This file makes room for urgent work: what may be stopped, and what is.

// mayPreempt tells whether a run may be stopped for a job: it is of lower priority,
// or the job is within its team's guarantee and the run's team is beyond its own. What
// a team has of its guarantee that wants more stops nothing: whose turn it is changes with
// every task that ends, and two teams once stopped each other's tasks thousands of times.
func mayPreempt(r *model.Run, j *model.Job) bool {
	if r.Job == j || !r.IsWanted() || r.Job.Kind == model.Service || r.Job.Scheduling.Rank >= j.Scheduling.Rank {
		// What is served before the job would be placed again before it, and
		// stopped again, round after round.
		return false
	}
	if r.Job.Priority < j.Priority {
		return true
	}
	if !j.Scheduling.Guaranteed || j.Scheduling.Deferrable || r.Job.Scheduling.Guaranteed || r.Job.Team == j.Team ||
		r.Job.Team == nil {
		return false
	}
	t := r.Job.Team
	return t.UsedCPUs > t.CPUs+1e-6 && t.CPUs > 0 || t.UsedGPUs > t.GPUs+1e-6 && r.Job.Spec.GPUs > 0
}

// preemptionCost is what stopping a run costs, in CPU seconds that are done again.
func preemptionCost(r *model.Run, now model.Time) float64 {
	if r.StartedAt == 0 {
		return 0.5
	}
	lostSeconds := (now - r.StartedAt).Seconds()
	if r.Job.Spec.CheckpointIntervalS > 0 {
		lostSeconds = r.Job.Spec.CheckpointWriteS + 1
	}
	return 1 + lostSeconds*max(r.Job.Spec.CPUs, 0.1)
}

// fetchSeconds is how many seconds a machine takes to have a job's image, with the fetches that share the line; 0: it
// has it.
func fetchSeconds(m *model.Model, j *model.Job, machine *model.Machine) float64 {
	rate := m.TypeOf(machine).FetchGBPerS
	if rate <= 0 || machine.HasImage(j.Image) {
		return 0
	}
	fetching, backlogGB := machine.FetchBacklog(j.Image)
	if !fetching {
		backlogGB += j.Spec.ImageGB
	}
	return backlogGB / rate
}

// fetchIdleCost is what a task of a job costs, in CPU seconds, while its machine fetches its image: its place is
// taken and it does nothing. It stands beside the harm of stopping others, so that room is made where the image is
// unless that undoes more than the fetch takes.
func fetchIdleCost(m *model.Model, j *model.Job, machine *model.Machine) float64 {
	return fetchSeconds(m, j, machine) * max(j.Spec.CPUs, 0.1)
}

// preemptionChoice is a machine on which a task would find room once some runs are stopped.
type preemptionChoice struct {
	view  *machineView
	cost  float64
	runs  []*model.Run
	index int
}

type choiceHeap []preemptionChoice

func (o choiceHeap) Len() int { return len(o) }

func (o choiceHeap) Swap(i, k int) { o[i], o[k] = o[k], o[i] }

func (o choiceHeap) Less(i, k int) bool {
	return o[i].cost < o[k].cost || o[i].cost == o[k].cost && o[i].index < o[k].index
}

// Push is for heap.Interface.
func (o *choiceHeap) Push(x any) { *o = append(*o, x.(preemptionChoice)) }

// Pop is for heap.Interface.
func (o *choiceHeap) Pop() any {
	last := (*o)[len(*o)-1]
	*o = (*o)[:len(*o)-1]
	return last
}

// maxClaims bounds for how many tasks of a job room is made at once.
const maxClaims = 64

// preemptForTask keeps room for tasks that find none: it claims what is being freed
// already, or else the machine where stopping others does the least harm, and
// stops them once the job has waited long enough. It tells whether there will be
// room for all of them.
func (s *Scheduler) preemptForTask(m *model.Model, t *placementTurn, now model.Time, binder Binder) bool {
	j := t.job
	if j.Priority == model.Low && (!j.Scheduling.Guaranteed || j.Scheduling.Deferrable) || j.Observed.Faulty {
		return false
	}
	kind := preemptionKindOf(j)
	if j.Observed.FailedOn == nil && coveredBy(s.unpreemptable, kind, t.need) {
		return false
	}
	z := zoneCache{job: j}
	limited := false
	var choices choiceHeap
	for i := range s.machines {
		view := &s.machines[i]
		if !s.mayUse(m, j, view, t.need) || !s.serviceAllowed(j, view) ||
			!view.capacity.Minus(Reserved(view.machine)).Minus(view.claimed).Contains(t.need) {
			continue
		}
		if !z.allow(view.machine.Zone) {
			limited = true
			continue
		}
		if runs, cost, ok := s.victims(j, view, t.need, model.Production, now); ok {
			choices = append(choices, preemptionChoice{view, cost + fetchIdleCost(m, j, view.machine), runs, i})
		}
	}
	patient := s.AwaitingHeartbeats || now-j.Observed.KnownSince < s.preemptAfter(j)
	unclaimed := s.claimBest(m, j, t.need, choices, model.Production, !patient, "room for "+j.Spec.ID, now, binder)
	if unclaimed > 0 && !limited && !j.Spec.Spread && j.Observed.FailedOn == nil {
		s.unpreemptable = append(s.unpreemptable, demandShape{kind, t.need})
	}
	return unclaimed == 0
}

// claimBest claims room for the waiting tasks of a job where it costs least, and
// stops what is in the way, up to a priority, if it may. It returns how many found none.
func (s *Scheduler) claimBest(
	m *model.Model,
	j *model.Job,
	need Resources,
	choices choiceHeap,
	maxPriority model.Priority,
	stop bool,
	reason string,
	now model.Time,
	binder Binder,
) int {
	heap.Init(&choices)
	inZone := map[int32]int{} // claimed by this job
	unclaimed := min(j.Waiting(), maxClaims)
	for unclaimed > 0 && len(choices) > 0 {
		o := &choices[0]
		if zone := o.view.machine.Zone; j.Spec.Spread {
			if in, _ := j.ZoneCount(zone); in+inZone[zone]+1 > (len(j.Tasks)+1)/2 {
				heap.Pop(&choices)
				continue
			}
			inZone[zone]++
		}
		unclaimed--
		o.view.claimed = o.view.claimed.Plus(need)
		if stop {
			for _, r := range o.runs {
				binder.Preempt(r, false, reason)
			}
			o.view.stoppingKnown = false
		}
		var ok bool
		if o.runs, o.cost, ok = s.victims(j, o.view, need, maxPriority, now); ok {
			o.cost += fetchIdleCost(m, j, o.view.machine)
			heap.Fix(&choices, 0)
		} else {
			heap.Pop(&choices)
		}
	}
	return unclaimed
}

type victim struct {
	run  *model.Run
	cost float64
}

// victims finds runs of at most a priority whose end makes room on a machine, least
// harm first. Up to normal rank these are tasks of arrays: they leave within a moment, and nobody waits for them.
func (s *Scheduler) victims(
	j *model.Job,
	view *machineView,
	need Resources,
	maxPriority model.Priority,
	now model.Time,
) ([]*model.Run, float64, bool) {
	available := view.capacity.Minus(used(view.machine)).Plus(view.stoppingResources()).Minus(view.claimed)
	if available.Contains(need) {
		return nil, 0, true
	}
	pool := s.victimPool[:0]
	reclaimable := available
	for _, r := range view.machine.Runs {
		if r.Job.Priority <= maxPriority && mayPreempt(r, j) &&
			(maxPriority > model.Normal || servedShortestFirst(r.Job)) {
			pool = append(pool, victim{r, preemptionCost(r, now)})
			reclaimable = reclaimable.Plus(TaskDemand(r.Job))
		}
	}
	s.victimPool = pool
	if !reclaimable.Contains(need) {
		return nil, 0, false
	}
	slices.SortStableFunc(pool, func(a, b victim) int {
		if c := cmp.Compare(a.run.Job.Priority, b.run.Job.Priority); c != 0 {
			return c
		}
		return cmp.Compare(a.cost, b.cost)
	})
	cost := 0.0
	for i, v := range pool {
		available = available.Plus(TaskDemand(v.run.Job))
		cost += v.cost
		if available.Contains(need) {
			runs := make([]*model.Run, i+1)
			for k := range runs {
				runs[k] = pool[k].run
			}
			return runs, cost, true
		}
	}
	return nil, 0, false
}

// shortfall is by how much n tasks of a job are over their team's limit, beside what is
// kept for more urgent work.
func (s *Scheduler) shortfall(j *model.Job, n int) (cpus, gpus float64) {
	t, reserved := j.Team, s.reservedQuota[j.Team.Index]
	if t.CPUsMax > 0 {
		cpus = t.UsedCPUs + reserved.CPUs + j.Spec.CPUs*float64(n) - t.CPUsMax
	}
	if t.GPUsMax > 0 {
		gpus = t.UsedGPUs + reserved.GPUs + j.Spec.GPUs*float64(n) - t.GPUsMax
	}
	return cpus, gpus
}

// mayPreemptInTeam tells whether a run may be stopped for a job of its own team that finds
// their limit in the way. What is served before the job would be placed again before
// it, and stopped again, round after round: a gang that was behind its team's
// guaranteed arrays once had 147,000 tasks stopped and never started.
func mayPreemptInTeam(r *model.Run, j *model.Job) bool {
	return r.Job.Priority < j.Priority && r.Job.Kind != model.Service && r.Job.Scheduling.Rank < j.Scheduling.Rank
}

// teamShortfall is what stands in the way of a job at its team's limit: by how much the team
// is over it once all that was told to stop has left, and the runs that may be stopped.
type teamShortfall struct {
	cpus, gpus float64
	pool       []victim
}

// teamPreemption looks through the runs of a job's team, and tells whether its limit would hold
// n tasks of the job once its less urgent work has left.
func (s *Scheduler) teamPreemption(m *model.Model, j *model.Job, n int) (shortfall teamShortfall, feasible bool) {
	if j.Team == nil || j.Priority == model.Low || j.Observed.Faulty {
		return shortfall, false
	}
	shortfall.cpus, shortfall.gpus = s.shortfall(j, n)
	cpus, gpus := shortfall.cpus, shortfall.gpus
	shortfall.pool = s.teamVictimPool[:0]
	for _, machine := range m.Order {
		for _, r := range machine.Runs {
			if r.Job.Team != j.Team {
				continue
			}
			c := r.Job.Spec
			switch {
			case !r.IsWanted():
				shortfall.cpus, shortfall.gpus = shortfall.cpus-c.CPUs, shortfall.gpus-c.GPUs
			case mayPreemptInTeam(r, j):
				shortfall.pool = append(shortfall.pool, victim{r, preemptionCost(r, s.now)})
			default:
				continue
			}
			cpus, gpus = cpus-c.CPUs, gpus-c.GPUs
		}
	}
	s.teamVictimPool = shortfall.pool
	return shortfall, cpus <= 1e-6 && gpus <= 1e-6
}

// preemptInTeam stops less urgent work of the job's own team when the team's limit
// stands in the way, and keeps what that leaves of the limit for the job.
func (s *Scheduler) preemptInTeam(j *model.Job, n int, shortfall teamShortfall, now model.Time, binder Binder) {
	reserved := &s.reservedQuota[j.Team.Index]
	*reserved = reserved.Plus(Resources{CPUs: j.Spec.CPUs * float64(n), GPUs: j.Spec.GPUs * float64(n)})
	if s.AwaitingHeartbeats || now-j.Observed.KnownSince < s.preemptAfter(j) {
		return
	}
	for _, v := range shortfall.pool {
		if !v.run.IsWanted() { // stopped since, for room on its machine
			shortfall.cpus, shortfall.gpus = shortfall.cpus-v.run.Job.Spec.CPUs, shortfall.gpus-v.run.Job.Spec.GPUs
		}
	}
	slices.SortStableFunc(shortfall.pool, func(a, b victim) int { return cmp.Compare(a.cost, b.cost) })
	for _, v := range shortfall.pool {
		r := v.run
		if shortfall.cpus <= 1e-6 && shortfall.gpus <= 1e-6 {
			return
		}
		if !r.IsWanted() || shortfall.cpus > 1e-6 && r.Job.Spec.CPUs == 0 ||
			shortfall.cpus <= 1e-6 && r.Job.Spec.GPUs == 0 {
			continue
		}
		shortfall.cpus, shortfall.gpus = shortfall.cpus-r.Job.Spec.CPUs, shortfall.gpus-r.Job.Spec.GPUs
		binder.Preempt(r, false, "team quota, for job "+j.Spec.ID)
	}
}
