package scheduler

import (
	"container/heap"

	"fieldhill/internal/config"
	"fieldhill/internal/model"
	"fieldhill/internal/scheduling/pending"
)

// This file places the tasks of arrays and services, by turns.

// turns lets the jobs of a tier take turns, a task each, until none can go on.
func (s *Sched) turns(m *model.Model, jobs []queued, now model.Time, tick bool, do Doer) {
	open := make([]*turn, 0, len(jobs))
	for i := range jobs {
		open = append(open, &turn{j: jobs[i].j, need: Need(jobs[i].j)})
	}
	for len(open) > 0 {
		rest := open[:0]
		for _, t := range open {
			if s.step(m, t, now, tick, do) {
				rest = append(rest, t)
			}
		}
		open = rest
	}
}

// turn is a job with the machines that have room for it, the lowest score first.
// A score is looked at again when its machine is about to be taken: others may
// have taken room there meanwhile, which only makes it worse.
type turn struct {
	j       *model.Job
	need    Room
	built   bool
	cands   []cand
	limited bool // some machine was passed over for its zone
	wait    bool // a busy machine is local
}

type cand struct {
	st    *seat
	loc   float64
	score float64
	at    int
}

func (t *turn) Len() int { return len(t.cands) }

func (t *turn) Swap(i, k int) { t.cands[i], t.cands[k] = t.cands[k], t.cands[i] }

func (t *turn) Less(i, k int) bool {
	a, b := &t.cands[i], &t.cands[k]
	return a.score < b.score || a.score == b.score && a.at < b.at
}

// Push is for heap.Interface.
func (t *turn) Push(x any) { t.cands = append(t.cands, x.(cand)) }

// Pop is for heap.Interface.
func (t *turn) Pop() any {
	c := t.cands[len(t.cands)-1]
	t.cands = t.cands[:len(t.cands)-1]
	return c
}

// zones tells which zones take one more task of a job, asking once for each.
type zones struct {
	j     *model.Job
	known [16]int8 // 0: not asked, 1: yes, 2: no
}

func (z *zones) allow(zone int32) bool {
	if !z.j.Spec.SameZone && !z.j.Spec.Spread {
		return true
	}
	if int(zone) >= len(z.known) {
		return z.j.ZoneAllows(zone)
	}
	if z.known[zone] == 0 {
		z.known[zone] = 2
		if z.j.ZoneAllows(zone) {
			z.known[zone] = 1
		}
	}
	return z.known[zone] == 1
}

// build finds the machines for a turn.
func (s *Sched) build(m *model.Model, t *turn) {
	t.built = true
	j := t.j
	z := zones{j: j}
	for i := range s.seats {
		st := &s.seats[i]
		if !s.suits(m, j, st, t.need) {
			continue
		}
		if !z.allow(st.mc.Zone) {
			t.limited = true
			continue
		}
		if !s.hasRoom(m, j, st, t.need) {
			if !t.wait && s.mayWait(j) {
				t.wait = s.score(locality(m, j, st.mc), load(m, st.mc)) < s.P.Threshold
			}
			continue
		}
		loc := locality(m, j, st.mc)
		t.cands = append(t.cands, cand{st, loc, s.score(loc, load(m, st.mc)) + s.misfit(m, j, st), i})
	}
	heap.Init(t)
}

// step tries to place the job's next task, or a whole gang. It tells whether the
// job may go on this round.
func (s *Sched) step(m *model.Model, t *turn, now model.Time, tick bool, do Doer) bool {
	j := t.j
	if j.Kind == model.Gang {
		s.gang(m, t, now, do)
		return false
	}
	task := j.NextWaiting()
	if task < 0 {
		return false
	}
	if s.LowMost > 0 && j.Priority == model.Low {
		if s.low >= s.LowMost {
			s.LowLeft, j.Why = true, pending.Reason{Code: pending.Paced, N: s.LowMost}
			return false
		}
		s.low++
	}
	if !s.teamAllows(j, 1) {
		j.Why = s.TeamReason(j, 1)
		if leave, could := s.teamLeaves(m, j, 1); could {
			s.makeTeamRoom(j, 1, leave, now, do)
		}
		return false
	}
	k := kindOf(j)
	j.Why = pending.Reason{Code: pending.Full, Of: "CPUs", Need: t.need.CPUs}
	if j.FailedOn == nil && !t.built && covered(s.full, k, t.need) {
		s.makeRoom(m, t, now, do)
		return false
	}
	best := s.choose(m, t)
	if best == nil {
		if j.FailedOn == nil && !t.limited {
			s.full = append(s.full, shape{k, t.need})
		}
		s.makeRoom(m, t, now, do)
		return false
	}
	if s.Early && best.loc*s.P.Beta >= s.P.Threshold {
		j.Why = pending.Reason{Code: pending.Listening}
		return false
	}
	if best.score >= s.P.Threshold && t.wait && s.mayWait(j) {
		if tick {
			j.Waited++
		}
		j.Why = pending.Reason{Code: pending.Image, N: s.P.WaitRounds - j.Waited}
		return false
	}
	if best.loc*s.P.Beta >= s.P.Threshold && s.localRoom(m, t, best, now, do) {
		j.Why = pending.Reason{Code: pending.Making}
		return false
	}
	begins := overdue(j, now)
	s.put(m, j, best.st, task, j.Tasks[task].Attempt+1, best.score, do)
	if begins {
		s.LowLeft = true // the rest of it has its turn in the next round
		return false
	}
	best.loc = locality(m, j, best.st.mc)
	best.score = s.score(best.loc, load(m, best.st.mc)) + s.misfit(m, j, best.st)
	heap.Fix(t, 0)
	return !j.Faulty
}

// localRoom lets low work make room for a service where its image is, when the
// free machines would have to fetch it for longer than the service may take to
// start. Low work that stops has left within a moment. It tells whether the
// service should wait for that; it does so for a part of its time only.
func (s *Sched) localRoom(m *model.Model, t *turn, free *cand, now model.Time, do Doer) bool {
	j := t.j
	if j.Kind != model.Service {
		return false
	}
	if !s.fetchIsLate(m, j, free.st.mc) {
		return false
	}
	within, _ := s.startWithin(j)
	if since := now - j.LocalSince; j.LocalSince != 0 && since < localAgain && since > config.Seconds(within*0.6) {
		return false // once for all its tasks, not for each
	}
	z := zones{j: j}
	var opts options
	for i := range s.seats {
		st := &s.seats[i]
		if !s.suits(m, j, st, t.need) || !st.mc.Has(j.Image) || !s.serviceMay(j, st) || !z.allow(st.mc.Zone) ||
			!st.total.Minus(Firm(st.mc)).Minus(st.claim).Holds(t.need) {
			continue
		}
		if runs, cost, ok := s.victims(j, st, t.need, model.Normal, now); ok {
			opts = append(opts, option{st, cost, runs, i})
		}
	}
	found := len(opts) > 0
	s.claimBest(m, j, t.need, opts, model.Normal, true, "room where its image is, for "+j.Spec.ID, now, do)
	if found && (j.LocalSince == 0 || now-j.LocalSince >= localAgain) {
		j.LocalSince = now
	}
	return found
}

// localAgain is after how long a service may wait anew for room where its image is.
const localAgain = model.Time(60e9)

// mayWait tells whether a job may wait another round for a busy local machine.
func (s *Sched) mayWait(j *model.Job) bool {
	return j.Kind != model.Service && j.Waited < s.P.WaitRounds
}

func (s *Sched) put(m *model.Model, j *model.Job, st *seat, task int32, attempt uint32, score float64, do Doer) {
	j.Why = pending.Reason{}
	do.Place(j, task, attempt, st.mc, score)
	if st.total.GPUs > 0 && j.Kind == model.Service && s.ForServices[st.mc] > 0 {
		s.ForServices[st.mc]--
	}
	if st.total.GPUs == 0 && !st.mc.Spot {
		s.free -= j.Spec.CPUs
	}
}

// choose finds the free machine with the lowest score, which is then the first
// candidate, or nil.
func (s *Sched) choose(m *model.Model, t *turn) *cand {
	if !t.built {
		s.build(m, t)
	}
	j := t.j
	z := zones{j: j}
	for len(t.cands) > 0 {
		c := &t.cands[0]
		if !z.allow(c.st.mc.Zone) {
			t.limited = true
			heap.Pop(t)
			continue
		}
		s.Looked++
		score := s.score(c.loc, load(m, c.st.mc))
		if !s.hasRoom(m, j, c.st, t.need) {
			t.wait = t.wait || score < s.P.Threshold
			heap.Pop(t)
			continue
		}
		if score += s.misfit(m, j, c.st); score > c.score {
			c.score = score
			heap.Fix(t, 0)
			continue
		}
		return c
	}
	return nil
}
