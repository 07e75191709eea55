package scheduler

import (
	"cmp"
	"slices"

	"fieldhill/internal/config"
	"fieldhill/internal/model"
	"fieldhill/internal/scheduling/pending"
)

// This file is the order in which jobs are served.

// patience is how long a job may wait for room before others are stopped for it.
func (s *Sched) patience(j *model.Job) model.Time {
	best := 30.0
	if within, ok := s.startWithin(j); ok {
		best = min(best, within)
	}
	for _, o := range s.P.Objectives {
		if o.Kind == "guarantee" && j.Guaranteed {
			best = min(best, o.WithinS)
		}
	}
	if j.Priority == model.Production {
		return config.Seconds(best * 0.05)
	}
	return config.Seconds(best * 0.15)
}

// tier orders jobs: replicas of production services first, then work within a
// guarantee, then the rest; inside each by priority.
func tier(j *model.Job) int {
	t := int(j.Priority)
	if j.Guaranteed && j.Priority < model.Production {
		t += int(model.Production)
	} else if j.Priority == model.Production {
		t += 2 * int(model.Production)
	}
	return t
}

// shortFirst tells whether a job is a low array, which keeps its team's guarantee for being early only while it is new.
func shortFirst(j *model.Job) bool {
	return j.Kind == model.Array && j.Priority == model.Low
}

// notByTurns tells whether a job is an array that is not urgent. These are served shortest first instead of by turns: when there is
// more work than room, turns make every job late, and this way most are in time.
func notByTurns(j *model.Job) bool {
	return j.Kind == model.Array && j.Priority < model.High
}

// remaining is the work of a job that still wants room, in CPU seconds as expected.
// What has its place already takes none from others.
func remaining(m *model.Model, j *model.Job) float64 {
	return float64(j.Waiting()) * max(1, m.Takes(j)) * max(0.01, j.Spec.CPUs)
}

// behind tells which of the times that the objectives set a job it can't keep any more, if it were placed now and took as long as is
// expected: 0, none; 1, the first; and so on. A job that can't keep the last one is served after all that can keep more.
func (s *Sched) behind(m *model.Model, j *model.Job, now model.Time) (missed int) {
	if overdue(j, now) {
		return -1
	}
	ends := (now - j.Began).Seconds() + m.Takes(j)
	for _, o := range s.P.Objectives {
		switch {
		case o.Class != j.Spec.Class:
		case o.Kind == "finished" && ends > o.WithinS, o.Kind == "deadline" && j.Spec.DeadlineS != nil && ends > *j.Spec.DeadlineS*max(1, o.Times):
			missed++
		}
	}
	return missed
}

// beginsBy is after how long an array of which nothing has begun goes before the others, whatever its size: the largest ones would be
// last for as long as smaller ones come.
const beginsBy = model.Time(120e9)

// overdue tells whether an array is to begin now: its first task is placed before those of others, and the rest in its turn.
func overdue(j *model.Job, now model.Time) bool {
	return j.Live+j.Done == 0 && now-j.Began > beginsBy && notByTurns(j)
}

// queued is a job that wants room, with what its place in the queue follows from.
type queued struct {
	j      *model.Job
	rank   int
	call   call
	short  bool
	behind int
	left   float64 // CPU seconds of work, where the smallest goes first
}

// order marks what a job's place in the queue follows from.
func (s *Sched) order(m *model.Model, jobs []*model.Job, now model.Time) {
	Guarantees(m, jobs, now, s.P.Objectives)
	cpus := 0.0
	for _, mc := range m.Order {
		if t := m.TypeOf(mc); t.Known && mc.Usable() {
			cpus += t.CPUs
		}
	}
	s.floor.look(m, jobs, cpus, now)
	for _, j := range jobs {
		_, j.Owed = s.floor.owed(j)
	}
}

// queue lists the jobs that want room, in the order in which they are served.
func (s *Sched) queue(m *model.Model, jobs []*model.Job, now model.Time) []queued {
	var q []queued
	for _, j := range jobs {
		j.Rank = s.floor.rank(j)
		switch {
		case j.Waiting() == 0, s.Only != nil && j != s.Only:
			continue
		case s.Early && (j.Priority < model.High || j.Kind == model.Gang && j.Live > 0):
			j.Why = pending.Reason{Code: pending.Listening}
			continue
		case now < j.NotBefore:
			j.Why = pending.Reason{Code: pending.Paused, N: j.Errors, In: j.NotBefore - now}
			continue
		case j.Faulty && j.Kind != model.Gang && j.Live > 0:
			j.Why = pending.Reason{Code: pending.Faulty, N: j.Errors}
			continue
		}
		e := queued{j: j, rank: j.Rank, short: notByTurns(j)}
		e.call, e.left = s.callOf(m, j, now)
		if e.short {
			e.behind, e.left = s.behind(m, j, now), remaining(m, j)
		}
		q = append(q, e)
	}
	slices.SortStableFunc(q, func(a, b queued) int {
		switch {
		case a.rank != b.rank:
			return cmp.Compare(b.rank, a.rank)
		case a.call != b.call:
			return cmp.Compare(a.call, b.call)
		case a.behind != b.behind:
			return cmp.Compare(a.behind, b.behind)
		}
		return cmp.Compare(a.left, b.left)
	})
	return q
}

// startWithin is how soon a job's tasks are to start by the objectives.
func (s *Sched) startWithin(j *model.Job) (float64, bool) {
	return config.StartWithin(s.P.Objectives, j.Spec.Class)
}

// Waiting lists the jobs with waiting tasks: those that take part in a round, in the order in which
// they are served, and the rest (paused, or one task at a time after failures).
func (s *Sched) Waiting(m *model.Model, now model.Time) (in, rest []*model.Job) {
	jobs := m.JobsInOrder()
	s.order(m, jobs, now)
	part := map[*model.Job]bool{}
	for _, q := range s.queue(m, jobs, now) {
		in, part[q.j] = append(in, q.j), true
	}
	for _, j := range jobs {
		if j.Waiting() > 0 && !part[j] {
			rest = append(rest, j)
		}
	}
	return in, rest
}

// Ahead lists the jobs that are served before a waiting job, in their order; none if it does not take part.
func (s *Sched) Ahead(m *model.Model, j *model.Job, now model.Time) []*model.Job {
	in, _ := s.Waiting(m, now)
	return in[:max(0, slices.Index(in, j))]
}
