package scheduler

import (
	"cmp"
	"slices"

	"fieldhill/internal/model"
	"fieldhill/internal/scheduling/pending"
)

// teamQuota tracks how much of each team's limit is reserved in this round for the team's waiting urgent work.
type teamQuota struct {
	reserved []Resources // by team index
}

func (q *teamQuota) reset(teams int) {
	q.reserved = append(q.reserved[:0], make([]Resources, teams)...)
}

// allows reports whether n more tasks of a job stay within the team limit minus what is reserved for more urgent work
// of the team.
func (q *teamQuota) allows(j *model.Job, n int) bool {
	t := j.Team
	if t == nil || !j.TeamLimitAllows(n) {
		return false
	}
	reserved, spec := q.reserved[t.Index], j.Spec
	return (t.CPUsMax == 0 || reserved.CPUs == 0 ||
		t.UsedCPUs+reserved.CPUs+spec.CPUs*float64(n) <= t.CPUsMax+epsilon) &&
		(t.GPUsMax == 0 || reserved.GPUs == 0 ||
			t.UsedGPUs+reserved.GPUs+spec.GPUs*float64(n) <= t.GPUsMax+epsilon)
}

// reserve reserves the part of the team limit that n tasks of a job take, so that less urgent jobs of the team cannot
// take it in this round.
func (q *teamQuota) reserve(j *model.Job, n int) {
	reserved := &q.reserved[j.Team.Index]
	*reserved = reserved.Plus(Resources{CPUs: j.Spec.CPUs * float64(n), GPUs: j.Spec.GPUs * float64(n)})
}

// shortfall returns by how many CPUs and GPUs n more tasks of a job would exceed the team limit minus what is reserved
// for more urgent work. A negative value is the unused rest of the limit.
func (q *teamQuota) shortfall(j *model.Job, n int) (cpus, gpus float64) {
	t, reserved := j.Team, q.reserved[j.Team.Index]
	if t.CPUsMax > 0 {
		cpus = t.UsedCPUs + reserved.CPUs + j.Spec.CPUs*float64(n) - t.CPUsMax
	}
	if t.GPUsMax > 0 {
		gpus = t.UsedGPUs + reserved.GPUs + j.Spec.GPUs*float64(n) - t.GPUsMax
	}
	return cpus, gpus
}

// reason returns the pending reason for n more tasks of a job with respect to the team limit.
func (q *teamQuota) reason(j *model.Job, n int) pending.Reason {
	t, reserved := j.Team, Resources{}
	if t == nil {
		return pending.Reason{Code: pending.TeamLimit}
	}
	if t.Index < len(q.reserved) {
		reserved = q.reserved[t.Index]
	}
	reason := pending.Reason{
		Code:  pending.TeamLimit,
		Unit:  "CPUs",
		Need:  j.Spec.CPUs * float64(n),
		Used:  t.UsedCPUs + reserved.CPUs,
		Limit: t.CPUsMax,
	}
	if g := j.Spec.GPUs * float64(n); t.GPUsMax > 0 && t.UsedGPUs+reserved.GPUs+g > t.GPUsMax+epsilon {
		reason.Unit, reason.Need, reason.Used, reason.Limit = "GPUs", g, t.UsedGPUs+reserved.GPUs, t.GPUsMax
	}
	return reason
}

// mayPreemptInTeam reports whether a run may be preempted for a job of the same team that exceeds the team limit. The
// run must have a lower rank. Otherwise the next round would place the run before the job again and preempt it again,
// without limit: a gang ranked below the guaranteed arrays of its team caused 147,000 preemptions in this way without
// ever starting.
func mayPreemptInTeam(run *model.Run, j *model.Job) bool {
	return run.Job.Priority < j.Priority && run.Job.Kind != model.Service &&
		run.Job.Scheduling.Rank < j.Scheduling.Rank
}

// teamShortfall is the amount by which a job would exceed its team limit once all stopping tasks of the team have
// ended, with the runs that may be preempted to reduce it.
type teamShortfall struct {
	cpus, gpus float64
	pool       []victim
}

// subtract reduces the shortfall by the resources that one task of a job releases when it ends.
func (t *teamShortfall) subtract(j *model.Job) {
	t.cpus, t.gpus = t.cpus-j.Spec.CPUs, t.gpus-j.Spec.GPUs
}

// teamPreemption computes the shortfall for n more tasks of a job, and reports whether they would be within the team
// limit if all less urgent work of the team were preempted.
func (r *round) teamPreemption(j *model.Job, n int) (shortfall teamShortfall, feasible bool) {
	if j.Team == nil || j.Priority == model.Low {
		return shortfall, false
	}
	shortfall.cpus, shortfall.gpus = r.quota.shortfall(j, n)
	cpus, gpus := shortfall.cpus, shortfall.gpus
	shortfall.pool = r.teamVictimPool[:0]
	for _, machine := range r.model.MachinesInOrder {
		for _, run := range machine.Runs {
			if run.Job.Team != j.Team {
				continue
			}
			switch {
			case !run.IsWanted():
				shortfall.subtract(run.Job)
			case mayPreemptInTeam(run, j):
				shortfall.pool = append(shortfall.pool, victim{run, preemptionCost(run, r.now)})
			default:
				continue
			}
			cpus, gpus = cpus-run.Job.Spec.CPUs, gpus-run.Job.Spec.GPUs
		}
	}
	r.teamVictimPool = shortfall.pool
	return shortfall, cpus <= epsilon && gpus <= epsilon
}

// preemptInTeam reserves part of the team limit for n more tasks of a job. Once the job has waited for its preemption
// delay, it also preempts less urgent work of the team until the tasks are within the limit.
func (r *round) preemptInTeam(j *model.Job, n int, shortfall teamShortfall) {
	r.quota.reserve(j, n)
	if r.preemptionDelayed(j) {
		return
	}
	for _, v := range shortfall.pool {
		if !v.run.IsWanted() { // preempted in the meantime, for resources on its machine
			shortfall.subtract(v.run.Job)
		}
	}
	slices.SortStableFunc(shortfall.pool, func(a, b victim) int { return cmp.Compare(a.cost, b.cost) })
	for _, v := range shortfall.pool {
		if shortfall.cpus <= epsilon && shortfall.gpus <= epsilon {
			return
		}
		spec := v.run.Job.Spec
		if !v.run.IsWanted() || shortfall.cpus > epsilon && spec.CPUs == 0 ||
			shortfall.cpus <= epsilon && spec.GPUs == 0 {
			continue
		}
		shortfall.subtract(v.run.Job)
		r.binder.Preempt(v.run, false, "team quota, for job "+j.Spec.ID)
	}
}
