package scheduler

import (
	"cmp"
	"math"
	"slices"

	"fieldhill/internal/config"
	"fieldhill/internal/model"
)

// This file is what a team's guarantee is spent on.

// defaultNewJobSeconds is how long a job within its team's guarantee counts as new where no objective says so.
const defaultNewJobSeconds = 10.0

// newJobSeconds is for how many seconds a low array counts as new: as long as the objectives give work
// within a guarantee to start.
func newJobSeconds(objectives []config.Objective) float64 {
	s := 0.0
	for _, o := range objectives {
		if o.Kind == "guarantee" {
			s = max(s, o.WithinS)
		}
	}
	if s == 0 {
		return defaultNewJobSeconds
	}
	return s
}

// guaranteeCovers tells whether a team's guarantee holds a use of it by a job.
func guaranteeCovers(t *model.Team, use Resources, j *model.Job) bool {
	return (t.CPUs > 0 || j.Spec.CPUs == 0 || j.Spec.GPUs > 0) && (t.CPUs == 0 || use.CPUs <= t.CPUs+1e-6) &&
		use.GPUs <= t.GPUs+1e-6 &&
		(t.GPUs > 0 || j.Spec.GPUs == 0)
}

// unfinishedDemand is what the unfinished tasks of a job take together.
func unfinishedDemand(j *model.Job) Resources {
	n := float64(len(j.Tasks) - j.Done)
	return Resources{CPUs: j.Spec.CPUs * n, GPUs: j.Spec.GPUs * n}
}

// guaranteeOrder orders a team's work of one priority for what its guarantee has left: gangs that run keep theirs,
// owed ones that have waited for long are next, then the other owed ones, the smallest first, and then the rest as it
// came. By age alone a few large gangs had all of it, and small ones behind them were passed over, though they were
// what half of the class would be served by.
func guaranteeOrder(m *model.Model, j *model.Job, now model.Time) float64 {
	switch {
	case j.Kind != model.Gang:
	case j.Live > 0:
		return -2
	case j.Scheduling.UnderServed && (now-j.Observed.KnownSince).Seconds() > underServedMaxWaitSeconds:
		return -1
	case j.Scheduling.UnderServed:
		return remainingWork(m, j)
	}
	return math.MaxFloat64
}

// MarkGuarantees marks the jobs that are within their team's guarantee, and those that are served so.
// Within it are those that fit into it together with the team's earlier unfinished jobs.
//
// Of a team that wants more, the guarantee is an amount, and the team's oldest jobs used to have all of it. That is
// first come, first served among low arrays, and before what is more urgent: on a day with work for twice the
// machines, large ones that came early kept hundreds of small ones from starting. So low arrays keep it for being
// early only while they are new; what is left goes to the team's most urgent work, and among low arrays, and gangs
// that are owed, to those that need least to be done. As the promise is to teams whose unfinished jobs all fit, what
// low arrays of others have of it is only spared: it may wait for what is owed (the floor).
func MarkGuarantees(m *model.Model, jobs []*model.Job, now model.Time, objectives []config.Objective) {
	newSeconds := newJobSeconds(objectives)
	wantedSoFar, spent := make([]Resources, len(m.Teams)), make([]Resources, len(m.Teams))
	type waiting struct {
		j    *model.Job
		left float64
	}
	var rest []waiting
	for _, j := range jobs {
		t := j.Team
		if t == nil || j.Cancelled {
			continue
		}
		unfinished := unfinishedDemand(j)
		r := &wantedSoFar[t.Index]
		*r = r.Plus(unfinished)
		j.Scheduling.WithinGuarantee = guaranteeCovers(t, *r, j)
		j.Scheduling.Guaranteed, j.Scheduling.Deferrable = j.Scheduling.WithinGuarantee, false
		switch short := isLowArray(j); {
		case short && (now-j.Observed.KnownSince).Seconds() > newSeconds:
			j.Scheduling.Guaranteed = false
			rest = append(rest, waiting{j, remainingWork(m, j)})
		case j.Scheduling.Guaranteed:
			spent[t.Index] = spent[t.Index].Plus(unfinished)
		case !short:
			rest = append(rest, waiting{j, guaranteeOrder(m, j, now)})
		}
	}
	slices.SortStableFunc(rest, func(a, b waiting) int {
		if c := cmp.Compare(b.j.Priority, a.j.Priority); c != 0 {
			return c
		}
		return cmp.Compare(a.left, b.left)
	})
	for _, e := range rest {
		e.j.Scheduling.Deferrable = isLowArray(e.j) && !guaranteeCovers(e.j.Team, wantedSoFar[e.j.Team.Index], e.j)
	}
	// a larger one is first in the queue: those behind don't pass it by being smaller
	queueBlocked := make([]bool, len(m.Teams))
	for _, e := range rest {
		i, short := e.j.Team.Index, isLowArray(e.j)
		switch total := spent[i].Plus(unfinishedDemand(e.j)); {
		case !short && queueBlocked[i]:
		case guaranteeCovers(e.j.Team, total, e.j):
			spent[i], e.j.Scheduling.Guaranteed = total, true
		default:
			queueBlocked[i] = queueBlocked[i] || !short
		}
	}
}
