package scheduler

import (
	"cmp"
	"container/heap"
	"slices"

	"fieldhill/internal/model"
)

// This file implements preemption for urgent work.

const (
	// minCostCPUs is the minimum number of CPUs assumed for a task when the cost of lost time is computed.
	minCostCPUs = 0.1
	// maxClaims limits the number of tasks of a job for which one search claims resources.
	maxClaims = 64
)

// mayPreempt reports whether a run may be preempted for a job. The run must have a lower rank. In addition, either the
// run must have a lower priority, or the job must be within its team's guarantee while the run's team exceeds its own.
// A job that holds a deferrable share of a guarantee, because its team wants more than the guarantee, may preempt only
// runs of lower priority: which jobs hold the share changes whenever a task ends, and two teams would preempt each
// other's tasks in a loop, thousands of times.
func mayPreempt(run *model.Run, j *model.Job) bool {
	if run.Job == j || !run.IsWanted() || run.Job.Kind == model.Service ||
		run.Job.Scheduling.Rank >= j.Scheduling.Rank {
		// A run that does not rank below the job would be placed before the job again, and preempted again, in each
		// further round.
		return false
	}
	if run.Job.Priority < j.Priority {
		return true
	}
	if !j.Scheduling.Guaranteed || j.Scheduling.Deferrable || run.Job.Scheduling.Guaranteed ||
		run.Job.Team == j.Team || run.Job.Team == nil {
		return false
	}
	team := run.Job.Team
	return team.UsedCPUs > team.CPUs+epsilon && team.CPUs > 0 ||
		team.UsedGPUs > team.GPUs+epsilon && run.Job.Spec.GPUs > 0
}

// preemptionCost returns the cost of preempting a run: the work to be repeated, in CPU seconds.
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

// preemptionChoice is a machine that has resources for a task once some runs are preempted.
type preemptionChoice struct {
	view  *machineView
	cost  float64
	runs  []*model.Run
	index int // in round.machines; breaks ties between equal costs
}

// choiceHeap is a min-heap of choices by cost.
type choiceHeap []preemptionChoice

// Len implements heap.Interface.
func (h choiceHeap) Len() int { return len(h) }

// Swap implements heap.Interface.
func (h choiceHeap) Swap(i, k int) { h[i], h[k] = h[k], h[i] }

// Less implements heap.Interface.
func (h choiceHeap) Less(i, k int) bool {
	return h[i].cost < h[k].cost || h[i].cost == h[k].cost && h[i].index < h[k].index
}

// Push implements heap.Interface.
func (h *choiceHeap) Push(x any) { *h = append(*h, x.(preemptionChoice)) }

// Pop implements heap.Interface.
func (h *choiceHeap) Pop() any {
	last := (*h)[len(*h)-1]
	*h = (*h)[:len(*h)-1]
	return last
}

func (r *round) preemptAll(c *preemptionChoice, reason string) {
	for _, run := range c.runs {
		r.binder.Preempt(run, false, reason)
	}
	c.view.stoppingKnown = false
}

// preemptForTask claims resources for the waiting tasks of a job that has found no free machine: resources that
// preempted tasks are releasing already, or else those where preemption costs least. It preempts only once the job has
// waited for its preemption delay. It also reserves the part of the team limit that the tasks will take: otherwise less
// urgent work of the team takes it while the resources become free, and is preempted in its turn, in a loop. It reports
// whether the claims suffice for all tasks that may be placed, up to maxClaims.
func (r *round) preemptForTask(p *jobPlacement) bool {
	tasks := min(p.job.Placeable(), maxClaims)
	claimed := r.claimByPreemption(p, tasks)
	for n := claimed; n > 0; n-- {
		if r.quota.allows(p.job, n) {
			r.quota.reserve(p.job, n)
			break
		}
	}
	return claimed == tasks
}

// claimMachine claims resources for one task of a job, on a free machine or by preemption, and reports whether there
// are any. Without them, work that is preempted for the team limit would be placed again, and preempted again; without
// the claim, less urgent work would take the resources before the job is within the limit.
func (r *round) claimMachine(p *jobPlacement) bool {
	if best := r.findCandidate(p); best != nil {
		best.view.claim(p.need)
		return true
	}
	return r.claimByPreemption(p, 1) == 1
}

// claimByPreemption claims resources for the given number of tasks of a job where preemption costs least, and returns
// the number of tasks for which it found any. It preempts only once the job has waited for its preemption delay.
func (r *round) claimByPreemption(p *jobPlacement, tasks int) (claimed int) {
	j := p.job
	if j.Priority == model.Low && (!j.Scheduling.Guaranteed || j.Scheduling.Deferrable) {
		return 0
	}
	key := preemptionKeyOf(j)
	if j.Observed.FailedOn == nil && isKnownInfeasible(r.infeasible.unpreemptable, key, p.need) {
		return 0
	}
	choices, zoneLimited := r.preemptionChoices(p)
	unclaimed := r.claimCheapest(claim{
		job:         j,
		need:        p.need,
		tasks:       tasks,
		maxPriority: model.Production,
		preempt:     !r.preemptionDelayed(j),
		reason:      "capacity for job " + j.Spec.ID,
	}, choices)
	if unclaimed > 0 && !zoneLimited && !j.Spec.Spread && j.Observed.FailedOn == nil {
		r.infeasible.unpreemptable = append(r.infeasible.unpreemptable, demandShape{key, p.need})
	}
	return tasks - unclaimed
}

// preemptionChoices returns the machines that have resources for a task of a job once some runs are preempted.
// zoneLimited reports whether the zone constraints of the job exclude some machine.
func (r *round) preemptionChoices(p *jobPlacement) (choices choiceHeap, zoneLimited bool) {
	j := p.job
	zones := zoneCache{job: j}
	for i := range r.machines {
		view := &r.machines[i]
		if !r.mayUse(j, view, p.need) || !r.serviceAllowed(j, view) ||
			!view.unclaimedWithoutServices().Contains(p.need) {
			continue
		}
		if !zones.allow(view.machine.Zone) {
			zoneLimited = true
			continue
		}
		if runs, cost, ok := r.victims(j, view, p.need, model.Production); ok {
			choices = append(choices, preemptionChoice{view, cost + fetchIdleCost(r.model, j, view.machine), runs, i})
		}
	}
	return choices, zoneLimited
}

// claim describes resources to be claimed for the waiting tasks of a job.
type claim struct {
	job         *model.Job
	need        Resources
	tasks       int            // number of tasks to claim resources for
	maxPriority model.Priority // highest priority that may be preempted
	preempt     bool           // false: claim the resources without preempting
	reason      string
}

// claimCheapest claims resources on the machines where this costs least, and preempts the runs that occupy them if the
// claim permits it. It returns the number of tasks for which nothing was claimed.
func (r *round) claimCheapest(c claim, choices choiceHeap) int {
	j := c.job
	heap.Init(&choices)
	claimedInZone := map[int32]int{} // number of tasks with a claim, by zone
	unclaimed := c.tasks
	for unclaimed > 0 && len(choices) > 0 {
		best := &choices[0]
		if zone := best.view.machine.Zone; j.Spec.Spread {
			if placed, _ := j.ZoneCount(zone); placed+claimedInZone[zone]+1 > (len(j.Tasks)+1)/2 {
				heap.Pop(&choices)
				continue
			}
			claimedInZone[zone]++
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

// victim is a run that may be preempted, with its preemption cost.
type victim struct {
	run  *model.Run
	cost float64
}

// victims selects the runs to preempt on a machine so that a task fits, among the runs up to maxPriority: lowest
// priority first, then lowest cost. If maxPriority is at most normal, it selects only array tasks, since they stop
// quickly and no user waits for an individual array task. It returns no runs if the task fits anyway. ok is false if
// preemption cannot free enough resources.
func (r *round) victims(
	j *model.Job,
	view *machineView,
	need Resources,
	maxPriority model.Priority,
) (runs []*model.Run, cost float64, ok bool) {
	available := view.capacity.Minus(Used(view.machine)).Plus(view.stoppingResources()).Minus(view.claimed)
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
