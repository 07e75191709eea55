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

// newJobSeconds is for how many seconds a low-priority array counts as new: as long as the objectives give work
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
	return (t.CPUs > 0 || j.Spec.CPUs == 0 || j.Spec.GPUs > 0) && (t.CPUs == 0 || use.CPUs <= t.CPUs+epsilon) &&
		use.GPUs <= t.GPUs+epsilon && (t.GPUs > 0 || j.Spec.GPUs == 0)
}

// unfinishedDemand is what the unfinished tasks of a job take together.
func unfinishedDemand(j *model.Job) Resources {
	n := float64(len(j.Tasks) - j.Done)
	return Resources{CPUs: j.Spec.CPUs * n, GPUs: j.Spec.GPUs * n}
}

// guaranteeOrder orders a team's work of one priority for what its guarantee has left: gangs that run keep theirs,
// under-served ones that have waited for long are next, then the other under-served ones, the smallest first, and then
// the rest as it came. By age alone a few large gangs had all of it, and small ones behind them were passed over,
// though they were what half of the class would be served by.
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
// first come, first served among low-priority arrays, and before what is more urgent: on a day with work for twice the
// machines, large ones that came early kept hundreds of small ones from starting. So low-priority arrays keep it for
// being early only while they are new; what is left goes to the team's most urgent work, and among low-priority arrays,
// and gangs that are under-served, to those that need least to be done. As the promise is to teams whose unfinished
// jobs all fit, what low-priority arrays of others have of it is only deferrable: it may wait for what is under-served.
func MarkGuarantees(m *model.Model, jobs []*model.Job, now model.Time, objectives []config.Objective) {
	newSeconds := newJobSeconds(objectives)
	wantedSoFar := make([]Resources, len(m.Teams))
	spent := make([]Resources, len(m.Teams))
	var rest []guaranteeClaim
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
			rest = append(rest, guaranteeClaim{j, remainingWork(m, j)})
		case j.Scheduling.Guaranteed:
			spent[t.Index] = spent[t.Index].Plus(unfinished)
		case !short:
			rest = append(rest, guaranteeClaim{j, guaranteeOrder(m, j, now)})
		}
	}
	for _, c := range rest {
		covered := guaranteeCovers(c.job.Team, wantedSoFar[c.job.Team.Index], c.job)
		c.job.Scheduling.Deferrable = isLowArray(c.job) && !covered
	}
	divideGuarantees(rest, spent)
}

// guaranteeClaim is a job that may have some of what its team's guarantee has left.
type guaranteeClaim struct {
	job   *model.Job
	order float64 // among the team's jobs of its priority
}

// divideGuarantees gives what is left of the teams' guarantees, beside what is spent, to the most urgent work first.
func divideGuarantees(claims []guaranteeClaim, spent []Resources) {
	slices.SortStableFunc(claims, func(a, b guaranteeClaim) int {
		if c := cmp.Compare(b.job.Priority, a.job.Priority); c != 0 {
			return c
		}
		return cmp.Compare(a.order, b.order)
	})
	// A larger one is first in the queue: those behind don't pass it by being smaller.
	queueBlocked := make([]bool, len(spent))
	for _, c := range claims {
		i, short := c.job.Team.Index, isLowArray(c.job)
		switch total := spent[i].Plus(unfinishedDemand(c.job)); {
		case !short && queueBlocked[i]:
		case guaranteeCovers(c.job.Team, total, c.job):
			spent[i], c.job.Scheduling.Guaranteed = total, true
		default:
			queueBlocked[i] = queueBlocked[i] || !short
		}
	}
}
