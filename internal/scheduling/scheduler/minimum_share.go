package scheduler

import (
	"math"

	"fieldhill/internal/model"
)

// This file implements the minimum share: a lower bound on how well each class and team is served under overload.
//
// Priorities and guarantees decide which work is served first, and shortest first maximizes the number of completed
// jobs, but neither ensures that a given class or team is served at all. The served share is measured by jobs and by
// tasks, and the lower value counts: shortest first serves many jobs with few tasks, while round-robin serves many
// tasks of jobs that never complete. A class or team below the minimum share is under-served: among work without a
// stronger entitlement, its work is served first until its share has recovered.
//
// Under-served work takes nothing from production work, from a team whose unfinished jobs all fit into its guarantee,
// or from new work within a guarantee, and it gains no additional right to preempt. In turn, it is not preempted for
// work without a stronger entitlement. A team counts as under-served only while it uses less than its fair share of the
// machines, and classes below their fair share go before those above it. Without this rule, a class that submits nine
// tenths of all jobs would be the worst served one and would go before all others.

const (
	// minimumJobShare and minimumTaskShare are the shares of its jobs and of its tasks below which a class or team is
	// under-served. The goal is half of the jobs and tasks; the job share has a margin on top.
	minimumJobShare, minimumTaskShare = 0.7, 0.5
	// recoveredShare is the share from which a class or team is no longer under-served. The gap to minimumJobShare
	// provides hysteresis.
	recoveredShare = 0.75
	// shareStep is the width of the steps of the served share by which under-served work is ordered, lowest step first.
	// Within a step the order is shortest first.
	shareStep = 0.05
	// shareSteps is the number of steps below recoveredShare.
	shareSteps = 15
)

// minimumShare holds the served share of each class and team.
type minimumShare struct {
	classes, teams []serviceShare
}

// serviceShare is the served share of a class or team, from 0 to 1.
type serviceShare struct {
	share         float64
	underServed   bool
	overFairShare bool // uses its fair share of the machines or more
}

// demandTotals are the totals from which the served share of a class or team is computed. Tasks that are placed or
// recently completed count as served.
type demandTotals struct {
	jobs, tasks             float64 // requested, weighted by recency
	jobsServed, tasksServed float64
	wantedCPUs, usedCPUs    float64
}

func (t *demandTotals) add(j *model.Job, now model.Time) {
	weight := model.RecencyWeight(now - j.Observed.KnownSince)
	taskCount, servedCount := float64(len(j.Tasks)), float64(j.Done+j.PlacedTasks)
	t.jobs += weight
	t.tasks += weight * taskCount
	t.jobsServed += weight * servedCount / taskCount
	t.tasksServed += weight * servedCount
	t.wantedCPUs += (taskCount - float64(j.Done)) * j.Spec.CPUs
	t.usedCPUs += float64(j.PlacedTasks) * j.Spec.CPUs
}

// share returns the lower of the job share and the task share, where the task share is scaled so that both have the
// same minimum. The minimum for tasks is lower because most waiting tasks belong to large arrays, which shortest first
// defers until there is capacity, usually later on the same day.
func (t *demandTotals) share(s *model.CompletionStats, now model.Time) float64 {
	jobs, tasks := s.RecentlyCompleted(now)
	if t.jobs+jobs == 0 {
		return 1
	}
	jobShare := (t.jobsServed + jobs) / (t.jobs + jobs)
	taskShare := (t.tasksServed + tasks) / (t.tasks + tasks)
	return min(jobShare, taskShare*minimumJobShare/minimumTaskShare)
}

// recompute updates the shares of all classes and teams.
func (s *minimumShare) recompute(m *model.Model, jobs []*model.Job, cpus float64, now model.Time) {
	classes := make([]demandTotals, len(m.ByClass))
	teams := make([]demandTotals, len(m.Teams))
	for _, j := range jobs {
		if j.Cancelled || j.Observed.Faulty || j.Team == nil {
			continue
		}
		classes[j.Class].add(j, now)
		teams[j.Team.Index].add(j, now)
	}
	for len(s.classes) < len(classes) {
		s.classes = append(s.classes, serviceShare{})
	}
	for len(s.teams) < len(teams) {
		s.teams = append(s.teams, serviceShare{})
	}
	limit := fairShare(classes, cpus)
	for i := range classes {
		s.classes[i].set(classes[i].share(&m.ByClass[i], now))
		s.classes[i].overFairShare = classes[i].usedCPUs >= limit
	}
	limit = fairShare(teams, cpus)
	for i := range teams {
		s.teams[i].set(teams[i].share(&m.ByTeam[i], now))
		s.teams[i].overFairShare = m.Teams[i].UsedCPUs >= max(limit, min(m.Teams[i].CPUs, teams[i].wantedCPUs))
	}
}

func (s *serviceShare) set(share float64) {
	s.underServed = share < minimumJobShare || s.underServed && share < recoveredShare
	s.share = share
}

// fairShare returns the max-min fair limit in CPUs: classes or teams that want less than the limit get all they want,
// and the remaining CPUs are divided equally among the others. The limit is infinite if all demands fit.
func fairShare(totals []demandTotals, cpus float64) float64 {
	share := 0.0
	for range len(totals) + 1 {
		remaining, n := cpus, 0
		for i := range totals {
			if totals[i].wantedCPUs <= share {
				remaining -= totals[i].wantedCPUs
			} else {
				n++
			}
		}
		if n == 0 {
			return math.Inf(1)
		}
		if nextShare := remaining / float64(n); nextShare > share {
			share = nextShare
		} else {
			break
		}
	}
	return share
}

// underServed reports whether a job is prioritized by the minimum share, and at which position; lower positions are
// served first. A position is a step of the served share of the class or team, and classes that use less than their
// fair share come before the others. Without the precedence of such classes, a class with ten times as much work as
// there is capacity would always have the lowest task share and go before all others indefinitely.
func (s *minimumShare) underServed(j *model.Job) (position int, ok bool) {
	if j.Team == nil || int(j.Class) >= len(s.classes) || j.Team.Index >= len(s.teams) || j.Observed.Faulty {
		return 0, false
	}
	team, class := &s.teams[j.Team.Index], &s.classes[j.Class]
	position = 2 * shareSteps
	if class.underServed {
		position = min(int(class.share/shareStep), shareSteps-1)
		if class.overFairShare {
			position += shareSteps
		}
	}
	if team.underServed && !team.overFairShare {
		position = min(position, int(team.share/shareStep))
	}
	return position, position < 2*shareSteps
}

// Constants for the ranks of jobs. Each tier has ranksPerTier ranks. Under-served work ranks between the tiers of work
// beyond guarantees and those of work within guarantees. The low-priority arrays that hold a deferrable part of a
// guarantee, because their team wants more than its guarantee, rank below under-served work.
//
// Under-served work is ordered by priority first and by served share second. By share alone, work that has just been
// preempted, and has a lower share as a result, would immediately displace the more urgent work that it was preempted
// for.
const (
	ranksPerTier     = 1000
	rankUnderServed  = ranksPerTier*int(model.Production) - 500
	rankDeferrable   = ranksPerTier*int(model.Production) - 600
	ranksPerPriority = 2*shareSteps + 2
)

// rank returns the rank of a job, from its tier and the minimum share. A higher rank is served first.
func (s *minimumShare) rank(j *model.Job) int {
	jobTier := tier(j)
	deferrable := j.Scheduling.Guaranteed && j.Scheduling.Deferrable
	if jobTier >= int(model.Production) && !deferrable {
		return jobTier * ranksPerTier
	}
	if position, underServed := s.underServed(j); underServed {
		return rankUnderServed + int(j.Priority)*ranksPerPriority - position
	}
	if deferrable {
		return rankDeferrable
	}
	return jobTier * ranksPerTier
}

// ClassShare returns the served share of a class, from 0 to 1, and whether it is under-served. The share of an
// unknown class is 1.
func (s *Scheduler) ClassShare(class int32) (share float64, underServed bool) {
	return shareOf(s.minimumShare.classes, int(class))
}

// TeamShare returns the served share of the team with the given index, from 0 to 1, and whether it is under-served. The
// share of an unknown team is 1.
func (s *Scheduler) TeamShare(team int) (share float64, underServed bool) {
	return shareOf(s.minimumShare.teams, team)
}

func shareOf(shares []serviceShare, i int) (share float64, underServed bool) {
	if i >= len(shares) {
		return 1, false
	}
	return shares[i].share, shares[i].underServed
}

// LowestClassShare returns the lowest served share of any class and the number of under-served classes.
func (s *Scheduler) LowestClassShare() (share float64, underServed int) {
	return lowestShare(s.minimumShare.classes)
}

// LowestTeamShare returns the lowest served share of any team and the number of under-served teams.
func (s *Scheduler) LowestTeamShare() (share float64, underServed int) {
	return lowestShare(s.minimumShare.teams)
}

func lowestShare(shares []serviceShare) (share float64, underServed int) {
	share = 1
	for i := range shares {
		if share = min(share, shares[i].share); shares[i].underServed {
			underServed++
		}
	}
	return share, underServed
}
