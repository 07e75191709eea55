package scheduler

import (
	"cmp"
	"slices"

	"fieldhill/internal/config"
	"fieldhill/internal/model"
	"fieldhill/internal/scheduling/pending"
)

// This file is the order in which jobs are served.

const (
	// maxStartSeconds is the time to start that counts for preemption where no objective sets a tighter one.
	maxStartSeconds = 30.0
	// The part of its time to start that a job waits before others are preempted for it.
	preemptAfterShare, preemptAfterShareProduction = 0.15, 0.05
)

// startWithin is how soon a job's tasks are to start by the objectives.
func (p *Params) startWithin(j *model.Job) (float64, bool) {
	return config.StartWithin(p.Objectives, j.Spec.Class)
}

// preemptAfter is how long a job may wait for room before others are preempted for it.
func (p *Params) preemptAfter(j *model.Job) model.Time {
	best := maxStartSeconds
	if within, ok := p.startWithin(j); ok {
		best = min(best, within)
	}
	for _, o := range p.Objectives {
		if o.Kind == "guarantee" && j.Scheduling.Guaranteed {
			best = min(best, o.WithinS)
		}
	}
	if j.Priority == model.Production {
		return config.Seconds(best * preemptAfterShareProduction)
	}
	return config.Seconds(best * preemptAfterShare)
}

// tier orders jobs: replicas of production services first, then work within a
// guarantee, then the rest; inside each by priority.
func tier(j *model.Job) int {
	t := int(j.Priority)
	if j.Scheduling.Guaranteed && j.Priority < model.Production {
		t += int(model.Production)
	} else if j.Priority == model.Production {
		t += 2 * int(model.Production)
	}
	return t
}

// isLowArray tells whether a job is a low-priority array, which keeps its team's guarantee for being early only while
// it is new.
func isLowArray(j *model.Job) bool {
	return j.Kind == model.Array && j.Priority == model.Low
}

// servedShortestFirst tells whether a job is an array that is not urgent. These are served shortest first instead of
// by turns: when there is more work than room, turns make every job late, and this way most are in time.
func servedShortestFirst(j *model.Job) bool {
	return j.Kind == model.Array && j.Priority < model.High
}

// remainingWork is the work of a job that still wants room, in CPU seconds as expected.
// What is placed already takes none from others.
func remainingWork(m *model.Model, j *model.Job) float64 {
	return float64(j.Waiting()) * max(1, m.ExpectedSeconds(j)) * max(0.01, j.Spec.CPUs)
}

// missedObjectives counts the times that the objectives set a job which it can't keep any more, if it were placed
// now and took as long as is expected. A job that can't keep the last one is served
// after all that can keep more; one that must begin is served before all.
func (p *Params) missedObjectives(m *model.Model, j *model.Job, now model.Time) (missed int) {
	if mustBegin(j, now) {
		return -1
	}
	expectedEnd := (now - j.Observed.KnownSince).Seconds() + m.ExpectedSeconds(j)
	for _, o := range p.Objectives {
		switch {
		case o.Class != j.Spec.Class:
		case o.Kind == "finished" && expectedEnd > o.WithinS,
			o.Kind == "deadline" && j.Spec.DeadlineS != nil && expectedEnd > *j.Spec.DeadlineS*max(1, o.Times):
			missed++
		}
	}
	return missed
}

// beginDeadline is after how long an array of which nothing has begun goes before the others, whatever its size: the
// largest ones would be last for as long as smaller ones come.
const beginDeadline = model.Time(120e9)

// mustBegin tells whether an array is to begin now: its first task is placed before those of others, and the rest in
// its turn.
func mustBegin(j *model.Job, now model.Time) bool {
	return j.Live+j.Done == 0 && now-j.Observed.KnownSince > beginDeadline && servedShortestFirst(j)
}

// queuedJob is a job that wants room, with what its position in the queue follows from.
type queuedJob struct {
	job              *model.Job
	rank             int
	urgency          urgencyClass
	shortestFirst    bool
	missedObjectives int
	workLeft         float64 // CPU seconds of work, where the smallest goes first
}

// markOrder marks what a job's position in the queue follows from.
func (s *Scheduler) markOrder(m *model.Model, jobs []*model.Job, now model.Time) {
	MarkGuarantees(m, jobs, now, s.Params.Objectives)
	cpus := 0.0
	for _, machine := range m.Order {
		if t := m.TypeOf(machine); t.Known && machine.IsUsable() {
			cpus += t.CPUs
		}
	}
	s.minimumShare.recompute(m, jobs, cpus, now)
	for _, j := range jobs {
		_, j.Scheduling.UnderServed = s.minimumShare.underServed(j)
	}
}

// queue lists the jobs that want room, in the order in which they are served.
func (s *Scheduler) queue(m *model.Model, jobs []*model.Job, now model.Time) []queuedJob {
	var queue []queuedJob
	for _, j := range jobs {
		j.Scheduling.Rank = s.minimumShare.rank(j)
		switch {
		case j.Waiting() == 0, s.OnlyJob != nil && j != s.OnlyJob:
			continue
		case s.AwaitingHeartbeats && (j.Priority < model.High || j.Kind == model.Gang && j.Live > 0):
			j.Scheduling.PendingReason = pending.Reason{Code: pending.AwaitingHeartbeats}
			continue
		case now < j.Scheduling.NotBefore:
			j.Scheduling.PendingReason = pending.Reason{
				Code:      pending.BackingOff,
				Count:     j.Observed.Errors,
				Remaining: j.Scheduling.NotBefore - now,
			}
			continue
		case j.Observed.Faulty && j.Kind != model.Gang && j.Live > 0:
			j.Scheduling.PendingReason = pending.Reason{Code: pending.Faulty, Count: j.Observed.Errors}
			continue
		}
		e := queuedJob{job: j, rank: j.Scheduling.Rank, shortestFirst: servedShortestFirst(j)}
		e.urgency, e.workLeft = s.Params.urgencyOf(m, j, now)
		if e.shortestFirst {
			e.missedObjectives, e.workLeft = s.Params.missedObjectives(m, j, now), remainingWork(m, j)
		}
		queue = append(queue, e)
	}
	slices.SortStableFunc(queue, func(a, b queuedJob) int {
		switch {
		case a.rank != b.rank:
			return cmp.Compare(b.rank, a.rank)
		case a.urgency != b.urgency:
			return cmp.Compare(a.urgency, b.urgency)
		case a.missedObjectives != b.missedObjectives:
			return cmp.Compare(a.missedObjectives, b.missedObjectives)
		}
		return cmp.Compare(a.workLeft, b.workLeft)
	})
	return queue
}

// Waiting lists the jobs with waiting tasks: those that take part in a round, in the order in which
// they are served, and the rest (paused, or one task at a time after failures).
func (s *Scheduler) Waiting(m *model.Model, now model.Time) (active, rest []*model.Job) {
	jobs := m.JobsInOrder()
	s.markOrder(m, jobs, now)
	isActive := map[*model.Job]bool{}
	for _, q := range s.queue(m, jobs, now) {
		active, isActive[q.job] = append(active, q.job), true
	}
	for _, j := range jobs {
		if j.Waiting() > 0 && !isActive[j] {
			rest = append(rest, j)
		}
	}
	return active, rest
}

// Ahead lists the jobs that are served before a waiting job, in their order; none if it does not take part.
func (s *Scheduler) Ahead(m *model.Model, j *model.Job, now model.Time) []*model.Job {
	active, _ := s.Waiting(m, now)
	return active[:max(0, slices.Index(active, j))]
}
