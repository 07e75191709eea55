package scheduler

import (
	"container/heap"

	"fieldhill/internal/config"
	"fieldhill/internal/model"
	"fieldhill/internal/scheduling/pending"
)

// This file places the tasks of arrays and services, by turns.

// placeAll places the jobs of a queue: those of a rank by turns, but what is served shortest first one by one.
func (r *round) placeAll(queue []queuedJob) {
	for len(queue) > 0 {
		n := 1
		for n < len(queue) && queue[n].rank == queue[0].rank && !queue[n].shortestFirst && !queue[0].shortestFirst {
			n++
		}
		r.placeByTurns(queue[:n])
		queue = queue[n:]
	}
}

// placeByTurns lets the jobs of a rank take turns, a task each, until none can go on.
func (r *round) placeByTurns(jobs []queuedJob) {
	active := make([]*placementTurn, 0, len(jobs))
	for i := range jobs {
		active = append(active, &placementTurn{job: jobs[i].job, need: TaskDemand(jobs[i].job)})
	}
	for len(active) > 0 {
		rest := active[:0]
		for _, t := range active {
			if r.placeNext(t) {
				rest = append(rest, t)
			}
		}
		active = rest
	}
}

// placementTurn is a job with the machines that have room for it, the lowest score first.
// A score is looked at again when its machine is about to be taken: others may
// have taken room there meanwhile, which only makes it worse.
type placementTurn struct {
	job         *model.Job
	need        Resources
	built       bool // candidates are listed
	candidates  []candidate
	zoneLimited bool // some machine was passed over for its zone
	awaitLocal  bool // a busy machine is local
}

// candidate is a machine that has room for a task of a job.
type candidate struct {
	view     *machineView
	locality float64
	score    float64
	index    int // among the machines of the round: of equal scores the first one is taken
}

// Len is for heap.Interface.
func (t *placementTurn) Len() int { return len(t.candidates) }

// Swap is for heap.Interface.
func (t *placementTurn) Swap(i, k int) {
	t.candidates[i], t.candidates[k] = t.candidates[k], t.candidates[i]
}

// Less is for heap.Interface.
func (t *placementTurn) Less(i, k int) bool {
	a, b := &t.candidates[i], &t.candidates[k]
	return a.score < b.score || a.score == b.score && a.index < b.index
}

// Push is for heap.Interface.
func (t *placementTurn) Push(x any) { t.candidates = append(t.candidates, x.(candidate)) }

// Pop is for heap.Interface.
func (t *placementTurn) Pop() any {
	c := t.candidates[len(t.candidates)-1]
	t.candidates = t.candidates[:len(t.candidates)-1]
	return c
}

// zoneCache tells which zones take one more task of a job, asking once for each.
type zoneCache struct {
	job   *model.Job
	known [16]int8 // 0: not asked, 1: yes, 2: no
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

// buildCandidates finds the machines for a turn.
func (r *round) buildCandidates(t *placementTurn) {
	t.built = true
	j := t.job
	zones := zoneCache{job: j}
	for i := range r.machines {
		view := &r.machines[i]
		if !r.mayUse(j, view, t.need) {
			continue
		}
		if !zones.allow(view.machine.Zone) {
			t.zoneLimited = true
			continue
		}
		if !r.hasResources(j, view, t.need) {
			if !t.awaitLocal && r.mayWait(j) {
				t.awaitLocal = r.scoreOn(j, view.machine) < r.params.Threshold
			}
			continue
		}
		c := candidate{view: view, locality: locality(r.model, j, view.machine), index: i}
		c.score = r.params.score(c.locality, load(r.model, view.machine)) + r.gpuMismatchPenalty(j, view)
		t.candidates = append(t.candidates, c)
	}
	heap.Init(t)
}

// placeNext tries to place the job's next task, or a whole gang. It tells whether the
// job may go on this round.
func (r *round) placeNext(t *placementTurn) bool {
	j := t.job
	if j.Kind == model.Gang {
		r.placeGang(t)
		return false
	}
	task := j.NextWaiting()
	if task < 0 || !r.withinLowPriorityLimit(j) {
		return false
	}
	if !r.quota.allows(j, 1) {
		j.Scheduling.PendingReason = r.quota.reason(j, 1)
		if shortfall, feasible := r.teamPreemption(j, 1); feasible {
			r.preemptInTeam(j, 1, shortfall)
		}
		return false
	}
	j.Scheduling.PendingReason = pending.Reason{Code: pending.NoCapacity, Unit: "CPUs", Need: t.need.CPUs}
	best := r.chooseFeasible(t)
	if best == nil {
		r.preemptForTask(t)
		return false
	}
	if r.shouldWait(t, best) {
		return false
	}
	startsOverdue := mustBegin(j, r.now)
	r.bind(j, best.view, task, j.Tasks[task].Attempt+1, best.score)
	if startsOverdue {
		r.lowPriorityDeferred = true // the rest of it has its turn in the next round
		return false
	}
	best.locality = locality(r.model, j, best.view.machine)
	best.score = r.params.score(best.locality, load(r.model, best.view.machine)) + r.gpuMismatchPenalty(j, best.view)
	heap.Fix(t, 0)
	return !j.Observed.Faulty
}

// withinLowPriorityLimit counts a low-priority task against the limit of a round, and tells whether it holds it.
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

// chooseFeasible chooses a machine unless the same shape found none already, and remembers a shape that finds none.
func (r *round) chooseFeasible(t *placementTurn) *candidate {
	kind, failedBefore := kindOf(t.job), t.job.Observed.FailedOn != nil
	if !failedBefore && !t.built && coveredBy(r.infeasible.unplaceable, kind, t.need) {
		return nil
	}
	best := r.choose(t)
	if best == nil && !failedBefore && !t.zoneLimited {
		r.infeasible.unplaceable = append(r.infeasible.unplaceable, demandShape{kind, t.need})
	}
	return best
}

// shouldWait tells whether a task should not go to the best of the free machines, but wait for a better one.
func (r *round) shouldWait(t *placementTurn, best *candidate) bool {
	j := t.job
	switch {
	case r.directives.AwaitingHeartbeats && r.isRemote(best.locality):
		j.Scheduling.PendingReason = pending.Reason{Code: pending.AwaitingHeartbeats}
	case best.score >= r.params.Threshold && t.awaitLocal && r.mayWait(j):
		if r.tick {
			j.Scheduling.WaitedRounds++
		}
		j.Scheduling.PendingReason = pending.Reason{
			Code:  pending.ImageBusy,
			Count: r.params.WaitRounds - j.Scheduling.WaitedRounds,
		}
	case r.isRemote(best.locality) && r.preemptAtImage(t, best):
		j.Scheduling.PendingReason = pending.Reason{Code: pending.Preempting}
	default:
		return false
	}
	return true
}

// localRetryAfter is after how long a service may wait anew for room where its image is.
const localRetryAfter = model.Time(60e9)

// localWaitShare is the part of its time to start that a service waits for room where its image is.
const localWaitShare = 0.6

// preemptAtImage has low-priority work make room for a service where its image is, when the
// free machines would have to fetch it for longer than the service may take to
// start. Low-priority work that is preempted has left within a moment. It tells whether the
// service should wait for that; it does so for a part of its time only.
func (r *round) preemptAtImage(t *placementTurn, free *candidate) bool {
	j := t.job
	if j.Kind != model.Service || !r.fetchTooLate(j, free.view.machine) {
		return false
	}
	within, _ := r.params.startWithin(j)
	roomSince := j.Scheduling.LocalRoomSince
	if since := r.now - roomSince; roomSince != 0 && since < localRetryAfter &&
		since > config.Seconds(within*localWaitShare) {
		return false // once for all its tasks, not for each
	}
	zones := zoneCache{job: j}
	var choices choiceHeap
	for i := range r.machines {
		view := &r.machines[i]
		if !r.mayUse(j, view, t.need) || !view.machine.HasImage(j.Image) || !r.serviceAllowed(j, view) ||
			!zones.allow(view.machine.Zone) || !view.unclaimedWithoutServices().Contains(t.need) {
			continue
		}
		if runs, cost, ok := r.victims(j, view, t.need, model.Normal); ok {
			choices = append(choices, preemptionChoice{view, cost, runs, i})
		}
	}
	found := len(choices) > 0
	r.claimBest(claim{
		job:         j,
		need:        t.need,
		maxPriority: model.Normal,
		preempt:     true,
		reason:      "room where its image is, for " + j.Spec.ID,
	}, choices)
	if found && (roomSince == 0 || r.now-roomSince >= localRetryAfter) {
		j.Scheduling.LocalRoomSince = r.now
	}
	return found
}

// mayWait tells whether a job may wait another round for a busy local machine.
func (r *round) mayWait(j *model.Job) bool {
	return j.Kind != model.Service && j.Scheduling.WaitedRounds < r.params.WaitRounds
}

// choose finds the free machine with the lowest score, which is then the first
// candidate, or nil.
func (r *round) choose(t *placementTurn) *candidate {
	if !t.built {
		r.buildCandidates(t)
	}
	j := t.job
	zones := zoneCache{job: j}
	for len(t.candidates) > 0 {
		c := &t.candidates[0]
		if !zones.allow(c.view.machine.Zone) {
			t.zoneLimited = true
			heap.Pop(t)
			continue
		}
		r.examined++
		score := r.params.score(c.locality, load(r.model, c.view.machine))
		if !r.hasResources(j, c.view, t.need) {
			t.awaitLocal = t.awaitLocal || score < r.params.Threshold
			heap.Pop(t)
			continue
		}
		if score += r.gpuMismatchPenalty(j, c.view); score > c.score {
			c.score = score
			heap.Fix(t, 0)
			continue
		}
		return c
	}
	return nil
}
