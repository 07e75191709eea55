package scheduler

import (
	"math"

	"fieldhill/internal/model"
)

// This file is the minimum share: what the last in the queue still gets when there is not room for all.
//
// Priorities and guarantees say who goes first, and the shortest first says how most jobs are done;
// neither says that a class or a team is served at all. How well one is served is read in two ways,
// by jobs and by tasks, and the worse one counts: shortest first serves many jobs of few tasks, turns serve
// many tasks of jobs that are never done. A class or team below the minimum share is under-served: among the work that
// has no better right, it goes first until it is above the minimum again.
//
// What is under-served takes nothing from production, nor from a team whose unfinished jobs all fit into its guarantee,
// nor from new work within one; it preempts nothing that it could not preempt before. While it is under-served it is
// not preempted either for work that has no better right than its own. A team counts as under-served only as long as it
// uses less than its fair share of the machines, and classes that do go before those that don't: who sends nine tenths
// of all jobs does not go before the others for being served badly.

const (
	// A class or team is under-served when less than these parts of its jobs or of its tasks are served: half of
	// them, and some room to spare.
	minimumJobShare, minimumTaskShare = 0.7, 0.5
	// recoveredShare is the share from which on it is not under-served any more.
	recoveredShare = 0.75
	// shareStep is the difference by which who is served worse goes first; in the same step it is shortest first.
	shareStep = 0.05
	// shareSteps is how many steps there are below recoveredShare.
	shareSteps = 15
)

// minimumShare is how well each class and team is served.
type minimumShare struct {
	classes, teams []standing
}

// standing is how well a class or a team is served, from 0 to 1, and whether it is under-served.
type standing struct {
	share         float64
	underServed   bool
	overFairShare bool // it uses its fair share of the machines, or more
}

// tally is what a standing is computed from: what is asked, and what of it is served, which is completed
// lately or placed.
type tally struct {
	jobs, tasks             float64 // asked for, by recency
	jobsServed, tasksServed float64
	wants, uses             float64 // CPUs
}

func (t *tally) add(j *model.Job, now model.Time) {
	weight := model.RecencyWeight(now - j.Observed.KnownSince)
	taskCount, servedCount := float64(len(j.Tasks)), float64(j.Done+j.Live)
	t.jobs += weight
	t.tasks += weight * taskCount
	t.jobsServed += weight * servedCount / taskCount
	t.tasksServed += weight * servedCount
	t.wants += (taskCount - float64(j.Done)) * j.Spec.CPUs
	t.uses += float64(j.Live) * j.Spec.CPUs
}

// share is the worse of the two readings. That of tasks is held to a lower minimum: what waits is mostly large
// arrays, since shortest first leaves them for when there is room, and on most days there is, later.
func (t *tally) share(s *model.CompletionStats, now model.Time) float64 {
	jobs, tasks := s.RecentlyCompleted(now)
	if t.jobs+jobs == 0 {
		return 1
	}
	jobShare := (t.jobsServed + jobs) / (t.jobs + jobs)
	taskShare := (t.tasksServed + tasks) / (t.tasks + tasks)
	return min(jobShare, taskShare*minimumJobShare/minimumTaskShare)
}

// recompute computes the standings anew.
func (s *minimumShare) recompute(m *model.Model, jobs []*model.Job, cpus float64, now model.Time) {
	classes := make([]tally, len(m.ByClass))
	teams := make([]tally, len(m.Teams))
	for _, j := range jobs {
		if j.Cancelled || j.Observed.Faulty || j.Team == nil {
			continue
		}
		classes[j.Class].add(j, now)
		teams[j.Team.Index].add(j, now)
	}
	for len(s.classes) < len(classes) {
		s.classes = append(s.classes, standing{})
	}
	for len(s.teams) < len(teams) {
		s.teams = append(s.teams, standing{})
	}
	limit := fairShare(classes, cpus)
	for i := range classes {
		s.classes[i].set(classes[i].share(&m.ByClass[i], now))
		s.classes[i].overFairShare = classes[i].uses >= limit
	}
	limit = fairShare(teams, cpus)
	for i := range teams {
		s.teams[i].set(teams[i].share(&m.ByTeam[i], now))
		s.teams[i].overFairShare = m.Teams[i].UsedCPUs >= max(limit, min(m.Teams[i].CPUs, teams[i].wants))
	}
}

func (s *standing) set(share float64) {
	s.underServed = share < minimumJobShare || s.underServed && share < recoveredShare
	s.share = share
}

// fairShare is the most CPUs that a team may use so that no other has to have less: those who want less
// have what they want, and the rest is divided in equal parts.
func fairShare(teams []tally, cpus float64) float64 {
	share := 0.0
	for range len(teams) + 1 {
		left, n := cpus, 0
		for i := range teams {
			if teams[i].wants <= share {
				left -= teams[i].wants
			} else {
				n++
			}
		}
		if n == 0 {
			return math.Inf(1)
		}
		if nextShare := left / float64(n); nextShare > share {
			share = nextShare
		} else {
			break
		}
	}
	return share
}

// underServed tells whether a job goes first for the minimum share's sake, and in which position: in steps of how badly
// its class or team is served, those first that use less than their fair share. A class with ten times more work than
// there is room for is served worst by the count of its tasks, and would go before all others for good.
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

// The ranks of what has no better right than to be placed when there is room. Between the tiers of
// work beyond guarantees and those of work within them there is what is under-served, and behind it the low-priority
// arrays that have a part of their team's guarantee though the team wants more than that.
//
// Of what is under-served the more urgent goes first, and only then who is served worse: what is preempted for
// something more urgent is served worse by that, and would take its place again at once.
const (
	ranksPerTier     = 1000 // times a tier
	rankUnderServed  = ranksPerTier*int(model.Production) - 500
	rankDeferrable   = ranksPerTier*int(model.Production) - 600
	ranksPerPriority = 2*shareSteps + 2 // times a priority
)

// rank orders jobs: by tier, and for the minimum share.
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

// ClassStanding is how well a class is served, from 0 to 1, and whether it is under-served; what is unknown is served.
func (s *Scheduler) ClassStanding(class int32) (share float64, underServed bool) {
	return standingOf(s.minimumShare.classes, int(class))
}

// TeamStanding is the same of a team by its index.
func (s *Scheduler) TeamStanding(team int) (share float64, underServed bool) {
	return standingOf(s.minimumShare.teams, team)
}

func standingOf(list []standing, i int) (share float64, underServed bool) {
	if i >= len(list) {
		return 1, false
	}
	return list[i].share, list[i].underServed
}

// WorstClass is how well the class that is served worst is, and how many are under-served.
func (s *Scheduler) WorstClass() (share float64, underServed int) {
	return worstStanding(s.minimumShare.classes)
}

// WorstTeam is the same of teams.
func (s *Scheduler) WorstTeam() (share float64, underServed int) {
	return worstStanding(s.minimumShare.teams)
}

func worstStanding(list []standing) (share float64, underServed int) {
	share = 1
	for i := range list {
		if share = min(share, list[i].share); list[i].underServed {
			underServed++
		}
	}
	return share, underServed
}
