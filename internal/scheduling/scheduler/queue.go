package scheduler

import (
	"cmp"
	"slices"

	"fieldhill/internal/config"
	"fieldhill/internal/model"
	"fieldhill/internal/scheduling/pending"
)

// This file defines the order in which jobs are served.

const (
	// maxStartSeconds is the start time limit used to derive the preemption delay if no objective sets a tighter one.
	maxStartSeconds = 30.0
	// preemptionDelayShare and productionPreemptionDelayShare are the shares of its start time limit that a job below
	// production priority and a production job wait before other work is preempted for them.
	preemptionDelayShare, productionPreemptionDelayShare = 0.15, 0.05
)

// startWithin returns the time in seconds within which the objectives require the tasks of a job to start, and whether
// there is such an objective.
func (p *Params) startWithin(j *model.Job) (float64, bool) {
	return config.StartWithin(p.Objectives, j.Spec.Class)
}

// preemptionDelay returns how long a job waits for resources before other work is preempted for it.
func (p *Params) preemptionDelay(j *model.Job) model.Time {
	limit := maxStartSeconds
	if within, ok := p.startWithin(j); ok {
		limit = min(limit, within)
	}
	for _, o := range p.Objectives {
		if o.Kind == "guarantee" && j.Scheduling.Guaranteed {
			limit = min(limit, o.WithinS)
		}
	}
	if j.Priority == model.Production {
		return config.Seconds(limit * productionPreemptionDelayShare)
	}
	return config.Seconds(limit * preemptionDelayShare)
}

// tier returns the tier of a job; higher tiers are served first. Production work has the highest tier, followed by work
// within a guarantee and then all other work, each by priority.
func tier(j *model.Job) int {
	t := int(j.Priority)
	if j.Scheduling.Guaranteed && j.Priority < model.Production {
		t += int(model.Production)
	} else if j.Priority == model.Production {
		t += 2 * int(model.Production)
	}
	return t
}

// isLowPriorityArray reports whether a job is a low-priority array. The submission order entitles such a job to its
// team's guarantee only while the job is new.
func isLowPriorityArray(j *model.Job) bool {
	return j.Kind == model.Array && j.Priority == model.Low
}

// servedShortestFirst reports whether a job is an array below high priority. Such arrays are served shortest first
// instead of round-robin: with more work than capacity, round-robin makes every job late, whereas shortest first lets
// most of them meet their objectives.
func servedShortestFirst(j *model.Job) bool {
	return j.Kind == model.Array && j.Priority < model.High
}

// remainingWork returns the expected work of the waiting tasks of a job, in CPU seconds. Tasks that are placed already
// do not compete for resources and are not counted.
func remainingWork(m *model.Model, j *model.Job) float64 {
	return float64(j.Waiting()) * max(1, m.ExpectedSeconds(j)) * max(0.01, j.Spec.CPUs)
}

// missedObjectives returns how many completion objectives a job would miss if it were placed now and ran for the
// expected time. Jobs that miss fewer objectives are served first. The result is -1 for a job whose start is overdue,
// which is served before all other jobs of its rank and urgency.
func (p *Params) missedObjectives(m *model.Model, j *model.Job, now model.Time) (missed int) {
	if isStartOverdue(j, now) {
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

// startDeadline is the waiting time after which an array below high priority without any started task is served before
// other arrays of its rank regardless of its size. Without it, the largest arrays would starve while smaller ones keep
// arriving.
const startDeadline = model.Time(120e9)

// isStartOverdue reports whether an array below high priority has waited beyond startDeadline without starting. Its
// first task is then placed before the tasks of other arrays of its rank, and its other tasks in the regular order.
func isStartOverdue(j *model.Job, now model.Time) bool {
	return j.PlacedTasks+j.Done == 0 && now-j.Observed.KnownSince > startDeadline && servedShortestFirst(j)
}

// queuedJob is a job with waiting tasks and the sort keys of its queue position.
type queuedJob struct {
	job              *model.Job
	rank             int
	urgency          urgencyClass
	shortestFirst    bool
	missedObjectives int
	remainingWork    float64 // in CPU seconds; the job with less goes first; 0 if the amount does not matter
}

// updateSortInputs updates the job attributes that determine queue positions.
func (s *Scheduler) updateSortInputs(m *model.Model, jobs []*model.Job, now model.Time) {
	UpdateGuarantees(m, jobs, now, s.Params.Objectives)
	cpus := 0.0
	for _, machine := range m.MachinesInOrder {
		if t := m.TypeOf(machine); t.Known && machine.IsUsable() {
			cpus += t.CPUs
		}
	}
	s.minimumShare.recompute(m, jobs, cpus, now)
	for _, j := range jobs {
		_, j.Scheduling.UnderServed = s.minimumShare.underServed(j)
	}
}

// queue returns the jobs with waiting tasks that take part in the round, in the order in which they are served. It sets
// the pending reason of the other jobs with waiting tasks, except those that OnlyJob excludes.
func (s *Scheduler) queue(m *model.Model, jobs []*model.Job, now model.Time) []queuedJob {
	var queue []queuedJob
	for _, j := range jobs {
		j.Scheduling.Rank = s.minimumShare.rank(j)
		switch {
		case j.Waiting() == 0, s.OnlyJob != nil && j != s.OnlyJob:
			continue
		case s.AwaitingHeartbeats && (j.Priority < model.High || j.Kind == model.Gang && j.PlacedTasks > 0):
			j.Scheduling.PendingReason = pending.Reason{Code: pending.AwaitingHeartbeats}
			continue
		case now < j.Scheduling.NotBefore:
			j.Scheduling.PendingReason = pending.Reason{
				Code:      pending.BackingOff,
				Count:     j.Observed.Errors,
				Remaining: j.Scheduling.NotBefore - now,
			}
			continue
		case j.Placeable() == 0:
			j.Scheduling.PendingReason = pending.Reason{Code: pending.Faulty, Count: j.Observed.Errors}
			continue
		}
		entry := queuedJob{job: j, rank: j.Scheduling.Rank, shortestFirst: servedShortestFirst(j)}
		entry.urgency, entry.remainingWork = s.Params.urgencyOf(m, j, now)
		if entry.shortestFirst {
			entry.missedObjectives, entry.remainingWork = s.Params.missedObjectives(m, j, now), remainingWork(m, j)
		}
		queue = append(queue, entry)
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
		return cmp.Compare(a.remainingWork, b.remainingWork)
	})
	return queue
}

// WaitingJobs returns the jobs with waiting tasks: active are those that take part in a round, in the order in which
// they are served, and rest are the others, for example those backing off after failures.
func (s *Scheduler) WaitingJobs(m *model.Model, now model.Time) (active, rest []*model.Job) {
	jobs := m.JobsInOrder()
	s.updateSortInputs(m, jobs, now)
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

// JobsAhead returns the jobs that are served before a waiting job, in order, or none if the job does not take part in a
// round.
func (s *Scheduler) JobsAhead(m *model.Model, j *model.Job, now model.Time) []*model.Job {
	active, _ := s.WaitingJobs(m, now)
	return active[:max(0, slices.Index(active, j))]
}
