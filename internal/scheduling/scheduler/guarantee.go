package scheduler

import (
	"cmp"
	"math"
	"slices"

	"fieldhill/internal/config"
	"fieldhill/internal/model"
)

// This file decides which jobs a team's guarantee is used for.

// defaultNewJobSeconds is how long a job within its team's guarantee counts as new if no objective defines it.
const defaultNewJobSeconds = 10.0

// newJobSeconds returns for how many seconds a low-priority array counts as new: the longest start time limit of the
// guarantee objectives.
func newJobSeconds(objectives []config.Objective) float64 {
	seconds := 0.0
	for _, o := range objectives {
		if o.Kind == "guarantee" {
			seconds = max(seconds, o.WithinS)
		}
	}
	if seconds == 0 {
		return defaultNewJobSeconds
	}
	return seconds
}

// guaranteeCovers reports whether a team's guarantee covers the given usage, of which a job is part.
func guaranteeCovers(t *model.Team, usage Resources, j *model.Job) bool {
	return (t.CPUs > 0 || j.Spec.CPUs == 0 || j.Spec.GPUs > 0) && (t.CPUs == 0 || usage.CPUs <= t.CPUs+epsilon) &&
		usage.GPUs <= t.GPUs+epsilon && (t.GPUs > 0 || j.Spec.GPUs == 0)
}

// unfinishedDemand returns the total CPUs and GPUs of the unfinished tasks of a job.
func unfinishedDemand(j *model.Job) Resources {
	n := float64(len(j.Tasks) - j.Done)
	return Resources{CPUs: j.Spec.CPUs * n, GPUs: j.Spec.GPUs * n}
}

// guaranteeOrder returns the sort key by which a team's jobs of one priority receive the rest of its guarantee: running
// gangs keep theirs, followed by under-served gangs that have waited for underServedMaxWaitSeconds, the other
// under-served gangs with the smallest first, and then all others in submission order. By submission order alone a few
// large gangs held the whole guarantee, and the small gangs behind them, enough to serve half of the class, did not
// start.
func guaranteeOrder(m *model.Model, j *model.Job, now model.Time) float64 {
	switch {
	case j.Kind != model.Gang:
	case j.PlacedTasks > 0:
		return -2
	case j.Scheduling.UnderServed && (now-j.Observed.KnownSince).Seconds() > underServedMaxWaitSeconds:
		return -1
	case j.Scheduling.UnderServed:
		return remainingWork(m, j)
	}
	return math.MaxFloat64
}

// UpdateGuarantees updates, for each job, whether it is within its team's guarantee and whether it is served as such. A
// job is within the guarantee if it fits together with the team's earlier unfinished jobs.
//
// If a team wants more than its guarantee, the guarantee is an amount to be distributed. Giving all of it to the oldest
// jobs would mean first come, first served among low-priority arrays, ahead of more urgent work: with work for twice
// the machines, large arrays that arrived early kept hundreds of small ones from starting. Low-priority arrays are
// therefore entitled by submission order only while they are new. What is left goes to the team's most urgent work, and
// among low-priority arrays and under-served gangs to those with the least remaining work. Since the guarantee is
// promised to teams whose unfinished jobs all fit, low-priority arrays of other teams hold their share as deferrable:
// it may wait for under-served work.
func UpdateGuarantees(m *model.Model, jobs []*model.Job, now model.Time, objectives []config.Objective) {
	newSeconds := newJobSeconds(objectives)
	cumulativeDemand := make([]Resources, len(m.Teams))
	spent := make([]Resources, len(m.Teams))
	var claims []guaranteeClaim
	for _, j := range jobs {
		t := j.Team
		if t == nil || j.Cancelled {
			continue
		}
		unfinished := unfinishedDemand(j)
		total := &cumulativeDemand[t.Index]
		*total = total.Plus(unfinished)
		j.Scheduling.WithinGuarantee = guaranteeCovers(t, *total, j)
		j.Scheduling.Guaranteed, j.Scheduling.Deferrable = j.Scheduling.WithinGuarantee, false
		switch lowPriorityArray := isLowPriorityArray(j); {
		case lowPriorityArray && (now-j.Observed.KnownSince).Seconds() > newSeconds:
			j.Scheduling.Guaranteed = false
			claims = append(claims, guaranteeClaim{j, remainingWork(m, j)})
		case j.Scheduling.Guaranteed:
			spent[t.Index] = spent[t.Index].Plus(unfinished)
		case !lowPriorityArray:
			claims = append(claims, guaranteeClaim{j, guaranteeOrder(m, j, now)})
		}
	}
	for _, c := range claims {
		covered := guaranteeCovers(c.job.Team, cumulativeDemand[c.job.Team.Index], c.job)
		c.job.Scheduling.Deferrable = isLowPriorityArray(c.job) && !covered
	}
	distributeGuarantees(claims, spent)
}

// guaranteeClaim is a job that competes for the rest of its team's guarantee.
type guaranteeClaim struct {
	job   *model.Job
	order float64 // sort key among the team's jobs of equal priority
}

// distributeGuarantees assigns the unspent part of each guarantee to the most urgent work first.
func distributeGuarantees(claims []guaranteeClaim, spent []Resources) {
	slices.SortStableFunc(claims, func(a, b guaranteeClaim) int {
		if c := cmp.Compare(b.job.Priority, a.job.Priority); c != 0 {
			return c
		}
		return cmp.Compare(a.order, b.order)
	})
	// A job that does not fit blocks those behind it, so that smaller ones do not overtake it. Low-priority arrays are
	// exempt.
	queueBlocked := make([]bool, len(spent))
	for _, c := range claims {
		i, lowPriorityArray := c.job.Team.Index, isLowPriorityArray(c.job)
		switch total := spent[i].Plus(unfinishedDemand(c.job)); {
		case !lowPriorityArray && queueBlocked[i]:
		case guaranteeCovers(c.job.Team, total, c.job):
			spent[i], c.job.Scheduling.Guaranteed = total, true
		default:
			queueBlocked[i] = queueBlocked[i] || !lowPriorityArray
		}
	}
}
