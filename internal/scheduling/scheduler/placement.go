package scheduler

import (
	"container/heap"

	"fieldhill/internal/config"
	"fieldhill/internal/model"
	"fieldhill/internal/scheduling/pending"
)

// This file places the tasks of arrays and services, by turns.

// placeByTurns lets the jobs of a tier take turns, a task each, until none can go on.
func (s *Scheduler) placeByTurns(m *model.Model, jobs []queuedJob, now model.Time, tick bool, binder Binder) {
	active := make([]*placementTurn, 0, len(jobs))
	for i := range jobs {
		active = append(active, &placementTurn{job: jobs[i].job, need: TaskDemand(jobs[i].job)})
	}
	for len(active) > 0 {
		rest := active[:0]
		for _, t := range active {
			if s.placeNext(m, t, now, tick, binder) {
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
	built       bool
	candidates  []candidate
	zoneLimited bool // some machine was passed over for its zone
	awaitLocal  bool // a busy machine is local
}

type candidate struct {
	view     *machineView
	locality float64
	score    float64
	index    int
}

func (t *placementTurn) Len() int { return len(t.candidates) }

func (t *placementTurn) Swap(i, k int) {
	t.candidates[i], t.candidates[k] = t.candidates[k], t.candidates[i]
}

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
func (s *Scheduler) buildCandidates(m *model.Model, t *placementTurn) {
	t.built = true
	j := t.job
	z := zoneCache{job: j}
	for i := range s.machines {
		view := &s.machines[i]
		if !s.mayUse(m, j, view, t.need) {
			continue
		}
		if !z.allow(view.machine.Zone) {
			t.zoneLimited = true
			continue
		}
		if !s.hasResources(m, j, view, t.need) {
			if !t.awaitLocal && s.mayWait(j) {
				t.awaitLocal = s.score(locality(m, j, view.machine), load(m, view.machine)) < s.Params.Threshold
			}
			continue
		}
		localityScore := locality(m, j, view.machine)
		t.candidates = append(
			t.candidates,
			candidate{
				view,
				localityScore,
				s.score(localityScore, load(m, view.machine)) + s.gpuMismatchPenalty(m, j, view),
				i,
			},
		)
	}
	heap.Init(t)
}

// placeNext tries to place the job's next task, or a whole gang. It tells whether the
// job may go on this round.
func (s *Scheduler) placeNext(m *model.Model, t *placementTurn, now model.Time, tick bool, binder Binder) bool {
	j := t.job
	if j.Kind == model.Gang {
		s.placeGang(m, t, now, binder)
		return false
	}
	task := j.NextWaiting()
	if task < 0 {
		return false
	}
	if s.LowPriorityLimit > 0 && j.Priority == model.Low {
		if s.lowPriorityPlaced >= s.LowPriorityLimit {
			s.LowPriorityDeferred, j.Scheduling.PendingReason = true, pending.Reason{
				Code:  pending.Throttled,
				Count: s.LowPriorityLimit,
			}
			return false
		}
		s.lowPriorityPlaced++
	}
	if !s.teamLimitAllows(j, 1) {
		j.Scheduling.PendingReason = s.TeamReason(j, 1)
		if shortfall, feasible := s.teamPreemption(m, j, 1); feasible {
			s.preemptInTeam(j, 1, shortfall, now, binder)
		}
		return false
	}
	kind := kindOf(j)
	j.Scheduling.PendingReason = pending.Reason{Code: pending.NoCapacity, Unit: "CPUs", Need: t.need.CPUs}
	if j.Observed.FailedOn == nil && !t.built && coveredBy(s.unplaceable, kind, t.need) {
		s.preemptForTask(m, t, now, binder)
		return false
	}
	best := s.choose(m, t)
	if best == nil {
		if j.Observed.FailedOn == nil && !t.zoneLimited {
			s.unplaceable = append(s.unplaceable, demandShape{kind, t.need})
		}
		s.preemptForTask(m, t, now, binder)
		return false
	}
	if s.AwaitingHeartbeats && best.locality*s.Params.Beta >= s.Params.Threshold {
		j.Scheduling.PendingReason = pending.Reason{Code: pending.AwaitingHeartbeats}
		return false
	}
	if best.score >= s.Params.Threshold && t.awaitLocal && s.mayWait(j) {
		if tick {
			j.Scheduling.WaitedRounds++
		}
		j.Scheduling.PendingReason = pending.Reason{
			Code:  pending.ImageBusy,
			Count: s.Params.WaitRounds - j.Scheduling.WaitedRounds,
		}
		return false
	}
	if best.locality*s.Params.Beta >= s.Params.Threshold && s.preemptAtImage(m, t, best, now, binder) {
		j.Scheduling.PendingReason = pending.Reason{Code: pending.Preempting}
		return false
	}
	startsOverdue := mustBegin(j, now)
	s.bind(m, j, best.view, task, j.Tasks[task].Attempt+1, best.score, binder)
	if startsOverdue {
		s.LowPriorityDeferred = true // the rest of it has its turn in the next round
		return false
	}
	best.locality = locality(m, j, best.view.machine)
	best.score = s.score(best.locality, load(m, best.view.machine)) + s.gpuMismatchPenalty(m, j, best.view)
	heap.Fix(t, 0)
	return !j.Observed.Faulty
}

// preemptAtImage lets low work make room for a service where its image is, when the
// free machines would have to fetch it for longer than the service may take to
// start. Low work that stops has left within a moment. It tells whether the
// service should wait for that; it does so for a part of its time only.
func (s *Scheduler) preemptAtImage(
	m *model.Model,
	t *placementTurn,
	free *candidate,
	now model.Time,
	binder Binder,
) bool {
	j := t.job
	if j.Kind != model.Service {
		return false
	}
	if !s.fetchTooLate(m, j, free.view.machine) {
		return false
	}
	within, _ := s.startWithin(j)
	if since := now - j.Scheduling.LocalRoomSince; j.Scheduling.LocalRoomSince != 0 && since < localRetryAfter &&
		since > config.Seconds(within*0.6) {
		return false // once for all its tasks, not for each
	}
	z := zoneCache{job: j}
	var choices choiceHeap
	for i := range s.machines {
		view := &s.machines[i]
		if !s.mayUse(m, j, view, t.need) || !view.machine.HasImage(j.Image) || !s.serviceAllowed(j, view) ||
			!z.allow(view.machine.Zone) ||
			!view.capacity.Minus(Reserved(view.machine)).Minus(view.claimed).Contains(t.need) {
			continue
		}
		if runs, cost, ok := s.victims(j, view, t.need, model.Normal, now); ok {
			choices = append(choices, preemptionChoice{view, cost, runs, i})
		}
	}
	found := len(choices) > 0
	s.claimBest(m, j, t.need, choices, model.Normal, true, "room where its image is, for "+j.Spec.ID, now, binder)
	if found && (j.Scheduling.LocalRoomSince == 0 || now-j.Scheduling.LocalRoomSince >= localRetryAfter) {
		j.Scheduling.LocalRoomSince = now
	}
	return found
}

// localRetryAfter is after how long a service may wait anew for room where its image is.
const localRetryAfter = model.Time(60e9)

// mayWait tells whether a job may wait another round for a busy local machine.
func (s *Scheduler) mayWait(j *model.Job) bool {
	return j.Kind != model.Service && j.Scheduling.WaitedRounds < s.Params.WaitRounds
}

func (s *Scheduler) bind(
	m *model.Model,
	j *model.Job,
	view *machineView,
	task int32,
	attempt uint32,
	score float64,
	binder Binder,
) {
	j.Scheduling.PendingReason = pending.Reason{}
	binder.Bind(j, task, attempt, view.machine, score)
	if view.capacity.GPUs > 0 && j.Kind == model.Service && s.ServiceSlots[view.machine] > 0 {
		s.ServiceSlots[view.machine]--
	}
	if view.capacity.GPUs == 0 && !view.machine.Spot {
		s.freeServiceCPUs -= j.Spec.CPUs
	}
}

// choose finds the free machine with the lowest score, which is then the first
// candidate, or nil.
func (s *Scheduler) choose(m *model.Model, t *placementTurn) *candidate {
	if !t.built {
		s.buildCandidates(m, t)
	}
	j := t.job
	z := zoneCache{job: j}
	for len(t.candidates) > 0 {
		c := &t.candidates[0]
		if !z.allow(c.view.machine.Zone) {
			t.zoneLimited = true
			heap.Pop(t)
			continue
		}
		s.Examined++
		score := s.score(c.locality, load(m, c.view.machine))
		if !s.hasResources(m, j, c.view, t.need) {
			t.awaitLocal = t.awaitLocal || score < s.Params.Threshold
			heap.Pop(t)
			continue
		}
		if score += s.gpuMismatchPenalty(m, j, c.view); score > c.score {
			c.score = score
			heap.Fix(t, 0)
			continue
		}
		return c
	}
	return nil
}
