package scheduler

import (
	"cmp"
	"container/heap"
	"slices"

	"fieldhill/internal/model"
)

// This file makes room for urgent work: what may be preempted, and what is.

const (
	// minCostCPUs is the least number of CPUs that a task counts with where something is lost.
	minCostCPUs = 0.1
	// maxClaims bounds for how many tasks of a job room is made at once.
	maxClaims = 64
)

// mayPreempt tells whether a run may be preempted for a job: it is of lower priority,
// or the job is within its team's guarantee and the run's team is beyond its own. What
// a team has of its guarantee that wants more preempts nothing: whose turn it is changes with
// every task that ends, and two teams once preempted each other's tasks thousands of times.
func mayPreempt(run *model.Run, j *model.Job) bool {
	if run.Job == j || !run.IsWanted() || run.Job.Kind == model.Service ||
		run.Job.Scheduling.Rank >= j.Scheduling.Rank {
		// What is served before the job would be placed again before it, and
		// preempted again, round after round.
		return false
	}
	if run.Job.Priority < j.Priority {
		return true
	}
	if !j.Scheduling.Guaranteed || j.Scheduling.Deferrable || run.Job.Scheduling.Guaranteed ||
		run.Job.Team == j.Team || run.Job.Team == nil {
		return false
	}
	t := run.Job.Team
	return t.UsedCPUs > t.CPUs+epsilon && t.CPUs > 0 || t.UsedGPUs > t.GPUs+epsilon && run.Job.Spec.GPUs > 0
}

// preemptionCost is what preempting a run costs, in CPU seconds that are done again.
func preemptionCost(run *model.Run, now model.Time) float64 {
	if run.StartedAt == 0 {
		return 0.5
	}
	lostSeconds := (now - run.StartedAt).Seconds()
	if run.Job.Spec.CheckpointIntervalS > 0 {
		lostSeconds = run.Job.Spec.CheckpointWriteS + 1
	}
	return 1 + lostSeconds*max(run.Job.Spec.CPUs, minCostCPUs)
}

// preemptionChoice is a machine on which a task would find room once some runs are preempted.
type preemptionChoice struct {
	view  *machineView
	cost  float64
	runs  []*model.Run
	index int // among the machines of the round: of equal costs the first one is taken
}

// choiceHeap has the choice that costs least first.
type choiceHeap []preemptionChoice

// Len is for heap.Interface.
func (h choiceHeap) Len() int { return len(h) }

// Swap is for heap.Interface.
func (h choiceHeap) Swap(i, k int) { h[i], h[k] = h[k], h[i] }

// Less is for heap.Interface.
func (h choiceHeap) Less(i, k int) bool {
	return h[i].cost < h[k].cost || h[i].cost == h[k].cost && h[i].index < h[k].index
}

// Push is for heap.Interface.
func (h *choiceHeap) Push(x any) { *h = append(*h, x.(preemptionChoice)) }

// Pop is for heap.Interface.
func (h *choiceHeap) Pop() any {
	last := (*h)[len(*h)-1]
	*h = (*h)[:len(*h)-1]
	return last
}

// preemptAll preempts the runs of a choice.
func (r *round) preemptAll(c *preemptionChoice, reason string) {
	for _, run := range c.runs {
		r.binder.Preempt(run, false, reason)
	}
	c.view.stoppingKnown = false
}

// preemptForTask claims room for tasks that find none: what is being freed
// already, or else the machine where preempting others costs least, and
// preempts them once the job has waited long enough. It tells whether there will be
// room for all of them.
func (r *round) preemptForTask(t *placementTurn) bool {
	j := t.job
	if j.Priority == model.Low && (!j.Scheduling.Guaranteed || j.Scheduling.Deferrable) || j.Observed.Faulty {
		return false
	}
	kind := preemptionKindOf(j)
	if j.Observed.FailedOn == nil && coveredBy(r.infeasible.unpreemptable, kind, t.need) {
		return false
	}
	zones := zoneCache{job: j}
	zoneLimited := false
	var choices choiceHeap
	for i := range r.machines {
		view := &r.machines[i]
		if !r.mayUse(j, view, t.need) || !r.serviceAllowed(j, view) ||
			!view.unclaimedWithoutServices().Contains(t.need) {
			continue
		}
		if !zones.allow(view.machine.Zone) {
			zoneLimited = true
			continue
		}
		if runs, cost, ok := r.victims(j, view, t.need, model.Production); ok {
			choices = append(choices, preemptionChoice{view, cost + fetchIdleCost(r.model, j, view.machine), runs, i})
		}
	}
	unclaimed := r.claimBest(claim{
		job:         j,
		need:        t.need,
		maxPriority: model.Production,
		preempt:     !r.isPatient(j),
		reason:      "room for " + j.Spec.ID,
	}, choices)
	if unclaimed > 0 && !zoneLimited && !j.Spec.Spread && j.Observed.FailedOn == nil {
		r.infeasible.unpreemptable = append(r.infeasible.unpreemptable, demandShape{kind, t.need})
	}
	return unclaimed == 0
}

// claim is room that is to be made for the waiting tasks of a job.
type claim struct {
	job         *model.Job
	need        Resources
	maxPriority model.Priority // of what may be preempted
	preempt     bool           // false: the room is only claimed, for when it is free
	reason      string
}

// claimBest claims room where it costs least, and preempts what is in the way if it may. It returns for how many
// tasks there was none.
func (r *round) claimBest(c claim, choices choiceHeap) int {
	j := c.job
	heap.Init(&choices)
	inZone := map[int32]int{} // claimed by this job
	unclaimed := min(j.Waiting(), maxClaims)
	for unclaimed > 0 && len(choices) > 0 {
		best := &choices[0]
		if zone := best.view.machine.Zone; j.Spec.Spread {
			if in, _ := j.ZoneCount(zone); in+inZone[zone]+1 > (len(j.Tasks)+1)/2 {
				heap.Pop(&choices)
				continue
			}
			inZone[zone]++
		}
		unclaimed--
		best.view.claim(c.need)
		if c.preempt {
			r.preemptAll(best, c.reason)
		}
		var ok bool
		if best.runs, best.cost, ok = r.victims(j, best.view, c.need, c.maxPriority); ok {
			best.cost += fetchIdleCost(r.model, j, best.view.machine)
			heap.Fix(&choices, 0)
		} else {
			heap.Pop(&choices)
		}
	}
	return unclaimed
}

// victim is a run that may be preempted.
type victim struct {
	run  *model.Run
	cost float64
}

// victims finds runs of at most a priority whose end makes room on a machine, the least cost first. Up to normal
// priority these are tasks of arrays: they leave within a moment, and nobody waits for them.
func (r *round) victims(
	j *model.Job,
	view *machineView,
	need Resources,
	maxPriority model.Priority,
) (runs []*model.Run, cost float64, ok bool) {
	available := view.capacity.Minus(used(view.machine)).Plus(view.stoppingResources()).Minus(view.claimed)
	if available.Contains(need) {
		return nil, 0, true
	}
	pool := r.victimPool[:0]
	reclaimable := available
	for _, run := range view.machine.Runs {
		if run.Job.Priority <= maxPriority && mayPreempt(run, j) &&
			(maxPriority > model.Normal || servedShortestFirst(run.Job)) {
			pool = append(pool, victim{run, preemptionCost(run, r.now)})
			reclaimable = reclaimable.Plus(TaskDemand(run.Job))
		}
	}
	r.victimPool = pool
	if !reclaimable.Contains(need) {
		return nil, 0, false
	}
	slices.SortStableFunc(pool, func(a, b victim) int {
		if c := cmp.Compare(a.run.Job.Priority, b.run.Job.Priority); c != 0 {
			return c
		}
		return cmp.Compare(a.cost, b.cost)
	})
	for i, v := range pool {
		available = available.Plus(TaskDemand(v.run.Job))
		cost += v.cost
		if available.Contains(need) {
			runs = make([]*model.Run, i+1)
			for k := range runs {
				runs[k] = pool[k].run
			}
			return runs, cost, true
		}
	}
	return nil, 0, false
}
