package scheduler

import (
	"cmp"
	"math"
	"slices"

	"fieldhill/internal/config"
	"fieldhill/internal/model"
)

// This file decides which jobs are scheduled as part of their team's guarantee.

// defaultNewJobSeconds is how long a job within its team's guarantee counts as new if there is no guarantee objective.
const defaultNewJobSeconds = 10.0

// newJobSeconds returns for how many seconds a low-priority array counts as new: the longest start time limit among the
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

// guaranteeCovers reports whether a team's guarantee covers the given usage, which includes the demand of job j.
func guaranteeCovers(t *model.Team, usage Resources, j *model.Job) bool {
	return (t.CPUs > 0 || j.Spec.CPUs == 0 || j.Spec.GPUs > 0) && (t.CPUs == 0 || usage.CPUs <= t.CPUs+epsilon) &&
		usage.GPUs <= t.GPUs+epsilon && (t.GPUs > 0 || j.Spec.GPUs == 0)
}

// unfinishedDemand returns the total CPUs and GPUs of the unfinished tasks of a job.
func unfinishedDemand(j *model.Job) Resources {
	n := float64(len(j.Tasks) - j.Done)
	return Resources{CPUs: j.Spec.CPUs * n, GPUs: j.Spec.GPUs * n}
}

// guaranteeOrder returns the sort key by which a team's jobs of equal priority receive the rest of its guarantee: first
// running gangs, which keep their part, then under-served gangs that have waited for underServedMaxWaitSeconds, then
// the other under-served gangs, smallest first, and then all other jobs in submission order. By submission order alone,
// a few large gangs would hold the whole guarantee, and the small gangs behind them, which suffice to serve half of the
// class, would not start.
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

// UpdateGuarantees updates, for each job, whether it is within its team's guarantee and whether it is scheduled as
// such. A job is within the guarantee if it fits together with the team's earlier unfinished jobs.
//
// If a team wants more than its guarantee, the guarantee must be distributed among its jobs. Giving all of it to the
// oldest jobs would mean first come, first served among low-priority arrays, ahead of more urgent work: with twice as
// much work as there are machines, large arrays that arrived early would keep hundreds of small ones from starting.
// Low-priority arrays are therefore entitled by submission order only while they are new. The rest of the guarantee
// goes to the team's most urgent work, and among low-priority arrays and under-served gangs to those with the least
// remaining work. The guarantee is promised only to teams whose unfinished jobs all fit. In a team whose jobs do not
// all fit, low-priority arrays therefore hold their share as deferrable: it may wait for under-served work.
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

// distributeGuarantees assigns the unspent part of each guarantee, to the most urgent work first. spent is the part of
// each guarantee that is assigned already, by team index.
func distributeGuarantees(claims []guaranteeClaim, spent []Resources) {
	slices.SortStableFunc(claims, func(a, b guaranteeClaim) int {
		if c := cmp.Compare(b.job.Priority, a.job.Priority); c != 0 {
			return c
		}
		return cmp.Compare(a.order, b.order)
	})
	// A job that does not fit blocks the later jobs of its team, so that smaller jobs do not overtake it. Low-priority
	// arrays neither block nor are blocked.
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
