package scheduler

import (
	"container/heap"

	"fieldhill/internal/config"
	"fieldhill/internal/model"
	"fieldhill/internal/scheduling/pending"
)

// This file places the tasks of arrays and services.

// placeAll places the jobs of a queue in order. Jobs of equal rank are placed round-robin, except that jobs served
// shortest first are placed one after the other.
func (r *round) placeAll(queue []queuedJob) {
	for len(queue) > 0 {
		n := 1
		for n < len(queue) && queue[n].rank == queue[0].rank && !queue[n].shortestFirst && !queue[0].shortestFirst {
			n++
		}
		r.placeRoundRobin(queue[:n])
		queue = queue[n:]
	}
}

// placeRoundRobin places one task of each job in turn until no job can continue.
func (r *round) placeRoundRobin(jobs []queuedJob) {
	active := make([]*jobPlacement, 0, len(jobs))
	for i := range jobs {
		active = append(active, &jobPlacement{job: jobs[i].job, need: TaskDemand(jobs[i].job)})
	}
	for len(active) > 0 {
		rest := active[:0]
		for _, p := range active {
			if r.placeNext(p) {
				rest = append(rest, p)
			}
		}
		active = rest
	}
}

// jobPlacement is the placement of a job in the current round, with a heap of candidate machines, lowest score first.
// The score of a machine is computed again before the machine is used: placements made since the last computation can
// only have increased it.
type jobPlacement struct {
	job         *model.Job
	need        Resources
	built       bool // candidates has been computed
	candidates  []candidate
	zoneLimited bool // some machine was excluded by the zone constraints
	awaitLocal  bool // the score of a busy machine is below the DAD threshold
}

// candidate is a machine with free resources for a task of a job.
type candidate struct {
	view     *machineView
	locality float64
	score    float64
	index    int // in round.machines; breaks ties between equal scores
}

// Len implements heap.Interface.
func (p *jobPlacement) Len() int { return len(p.candidates) }

// Swap implements heap.Interface.
func (p *jobPlacement) Swap(i, k int) {
	p.candidates[i], p.candidates[k] = p.candidates[k], p.candidates[i]
}

// Less implements heap.Interface.
func (p *jobPlacement) Less(i, k int) bool {
	a, b := &p.candidates[i], &p.candidates[k]
	return a.score < b.score || a.score == b.score && a.index < b.index
}

// Push implements heap.Interface.
func (p *jobPlacement) Push(x any) { p.candidates = append(p.candidates, x.(candidate)) }

// Pop implements heap.Interface.
func (p *jobPlacement) Pop() any {
	c := p.candidates[len(p.candidates)-1]
	p.candidates = p.candidates[:len(p.candidates)-1]
	return c
}

// zoneCache caches which zones allow one more task of a job.
type zoneCache struct {
	job   *model.Job
	known [16]int8 // 0: unknown, 1: allowed, 2: not allowed
}

func (z *zoneCache) allow(zone int32) bool {
	if !z.job.Spec.SameZone && !z.job.Spec.Spread {
		return true
	}
	if int(zone) >= len(z.known) {
		return z.job.ZoneAllows(zone)
	}
	if z.known[zone] == 0 {
		z.known[zone] = 2
		if z.job.ZoneAllows(zone) {
			z.known[zone] = 1
		}
	}
	return z.known[zone] == 1
}

// buildCandidates builds the heap of machines that have free resources for a task of the job.
func (r *round) buildCandidates(p *jobPlacement) {
	p.built = true
	j := p.job
	zones := zoneCache{job: j}
	for i := range r.machines {
		view := &r.machines[i]
		if !r.mayUse(j, view, p.need) {
			continue
		}
		if !zones.allow(view.machine.Zone) {
			p.zoneLimited = true
			continue
		}
		if !r.hasResources(j, view, p.need) {
			if !p.awaitLocal && r.mayWait(j) {
				p.awaitLocal = r.scoreOn(j, view.machine) < r.params.Threshold
			}
			continue
		}
		c := candidate{view: view, locality: locality(r.model, j, view.machine), index: i}
		c.score = r.params.score(c.locality, load(r.model, view.machine)) + r.gpuMismatchPenalty(j, view)
		p.candidates = append(p.candidates, c)
	}
	heap.Init(p)
}

// placeNext tries to place the next task of a job, or a whole gang. It reports whether the job may continue in this
// round.
func (r *round) placeNext(p *jobPlacement) bool {
	j := p.job
	if j.Kind == model.Gang {
		r.placeGang(p)
		return false
	}
	task := j.NextWaiting()
	if task < 0 || !r.withinLowPriorityLimit(j) {
		return false
	}
	if !r.quota.allows(j, 1) {
		j.Scheduling.PendingReason = r.quota.reason(j, 1)
		if shortfall, feasible := r.teamPreemption(j, 1); feasible && r.claimMachine(p) {
			r.preemptInTeam(j, 1, shortfall)
		}
		return false
	}
	j.Scheduling.PendingReason = pending.Reason{Code: pending.NoCapacity, Unit: "CPUs", Need: p.need.CPUs}
	best := r.findCandidate(p)
	if best == nil {
		r.preemptForTask(p)
		return false
	}
	if r.shouldWait(p, best) {
		return false
	}
	startOverdue := isStartOverdue(j, r.now)
	r.bind(j, best.view, task, j.Tasks[task].Attempt+1, best.score)
	if startOverdue {
		r.lowPriorityDeferred = true // the other tasks are placed in the next round, in the regular order
		return false
	}
	best.locality = locality(r.model, j, best.view.machine)
	best.score = r.params.score(best.locality, load(r.model, best.view.machine)) + r.gpuMismatchPenalty(j, best.view)
	heap.Fix(p, 0)
	return !j.Observed.Faulty
}

// withinLowPriorityLimit counts a task of a low-priority job against LowPriorityLimit and reports whether it is within
// the limit. Tasks of other jobs always are.
func (r *round) withinLowPriorityLimit(j *model.Job) bool {
	limit := r.directives.LowPriorityLimit
	if limit == 0 || j.Priority != model.Low {
		return true
	}
	if r.lowPriorityPlaced >= limit {
		r.lowPriorityDeferred = true
		j.Scheduling.PendingReason = pending.Reason{Code: pending.Throttled, Count: limit}
		return false
	}
	r.lowPriorityPlaced++
	return true
}

// findCandidate returns the best candidate, or nil. A demand without candidate is recorded, so that the search is not
// repeated for it in this round.
func (r *round) findCandidate(p *jobPlacement) *candidate {
	key, failedBefore := constraintKeyOf(p.job), p.job.Observed.FailedOn != nil
	if !failedBefore && !p.built && isKnownInfeasible(r.infeasible.unplaceable, key, p.need) {
		return nil
	}
	best := r.bestCandidate(p)
	if best == nil && !failedBefore && !p.zoneLimited {
		r.infeasible.unplaceable = append(r.infeasible.unplaceable, demandShape{key, p.need})
	}
	return best
}

// shouldWait reports whether a task should wait for a better machine instead of using the best free one. If so, it sets
// the pending reason of the job.
func (r *round) shouldWait(p *jobPlacement, best *candidate) bool {
	j := p.job
	switch {
	case r.directives.AwaitingHeartbeats && r.isRemote(best.locality):
		j.Scheduling.PendingReason = pending.Reason{Code: pending.AwaitingHeartbeats}
	case best.score >= r.params.Threshold && p.awaitLocal && r.mayWait(j):
		if r.tick {
			j.Scheduling.WaitedRounds++
		}
		j.Scheduling.PendingReason = pending.Reason{
			Code:  pending.ImageBusy,
			Count: r.params.WaitRounds - j.Scheduling.WaitedRounds,
		}
	case r.isRemote(best.locality) && r.preemptForImageLocality(p, best):
		j.Scheduling.PendingReason = pending.Reason{Code: pending.Preempting}
	default:
		return false
	}
	return true
}

// localWaitRetryInterval is the minimum time from when a service begins to wait for a machine that has its image until
// it may begin to wait again.
const localWaitRetryInterval = model.Time(60e9)

// serviceLocalWaitShare is how long a service waits for a machine that has its image, as a share of its start time
// limit.
const serviceLocalWaitShare = 0.6

// preemptForImageLocality preempts array tasks for a service on machines that have its image if fetching the image on a
// free machine would take longer than the start time limit. Only arrays of at most normal priority are preempted, which
// release their resources quickly. The function reports whether the service should wait, which it does for a limited
// share of its start time limit.
func (r *round) preemptForImageLocality(p *jobPlacement, free *candidate) bool {
	j := p.job
	if j.Kind != model.Service || !r.fetchTooLate(j, free.view.machine) {
		return false
	}
	within, _ := r.params.startWithin(j)
	waitingSince := j.Scheduling.LocalWaitSince
	if since := r.now - waitingSince; waitingSince != 0 && since < localWaitRetryInterval &&
		since > config.Seconds(within*serviceLocalWaitShare) {
		return false // the time limit applies to the job, not to each task
	}
	zones := zoneCache{job: j}
	var choices choiceHeap
	for i := range r.machines {
		view := &r.machines[i]
		if !r.mayUse(j, view, p.need) || !view.machine.HasImage(j.Image) || !r.serviceAllowed(j, view) ||
			!zones.allow(view.machine.Zone) || !view.unclaimedWithoutServices().Contains(p.need) {
			continue
		}
		if runs, cost, ok := r.victims(j, view, p.need, model.Normal); ok {
			choices = append(choices, preemptionChoice{view, cost, runs, i})
		}
	}
	found := len(choices) > 0
	r.claimCheapest(claim{
		job:         j,
		need:        p.need,
		tasks:       min(j.Placeable(), maxClaims),
		maxPriority: model.Normal,
		preempt:     true,
		reason:      "image locality, for job " + j.Spec.ID,
	}, choices)
	if found && (waitingSince == 0 || r.now-waitingSince >= localWaitRetryInterval) {
		j.Scheduling.LocalWaitSince = r.now
	}
	return found
}

// mayWait reports whether a job may wait another round for a busy machine that has its image.
func (r *round) mayWait(j *model.Job) bool {
	return j.Kind != model.Service && j.Scheduling.WaitedRounds < r.params.WaitRounds
}

// bestCandidate returns the free machine with the lowest score, which is then at the top of the heap, or nil.
func (r *round) bestCandidate(p *jobPlacement) *candidate {
	if !p.built {
		r.buildCandidates(p)
	}
	j := p.job
	zones := zoneCache{job: j}
	for len(p.candidates) > 0 {
		c := &p.candidates[0]
		if !zones.allow(c.view.machine.Zone) {
			p.zoneLimited = true
			heap.Pop(p)
			continue
		}
		r.examined++
		score := r.params.score(c.locality, load(r.model, c.view.machine))
		if !r.hasResources(j, c.view, p.need) {
			p.awaitLocal = p.awaitLocal || score < r.params.Threshold
			heap.Pop(p)
			continue
		}
		if score += r.gpuMismatchPenalty(j, c.view); score > c.score {
			c.score = score
			heap.Fix(p, 0)
			continue
		}
		return c
	}
	return nil
}
