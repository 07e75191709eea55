package scheduler

import "fieldhill/internal/model"

// urgencyClass orders the gangs of a tier when there is not room for all. First come, first served
// makes every one of them late for as long as a burst is worked off, since each waits for
// those that are late already. So those that can still start in time go before those that
// cannot, and these wait until the last time that an objective sets them comes near. Among
// those of one place the smallest work goes first, as with low-priority arrays: it leaves room for the
// next one soonest.
//
// It is urgencyOverdue, or how many objectives on its start a gang has missed, and one. Among low-priority arrays new
// ones within a guarantee go first, since they are to start at once.
type urgencyClass int8

const (
	// urgencyOverdue: its last objective is near, or it has waited for long beyond.
	urgencyOverdue urgencyClass = iota
	// urgencyOnTime: it has missed none.
	urgencyOnTime
)

const (
	// startSeconds is the least time from a placement to the start.
	startSeconds = 2.0
	// nearLastObjective is the part of the last objective from which on it is near.
	nearLastObjective = 2. / 3
	// objectiveSpread is how many times the first objective the last one has to be for its nearness to count.
	objectiveSpread = 2.0
	// overdueFactor is how many times the last objective, and overdueSeconds how many seconds, a job has waited when
	// nothing goes before it any more.
	overdueFactor, overdueSeconds = 3.0, 60.0
	// underServedMaxWaitSeconds is the same while its class or team is under-served.
	underServedMaxWaitSeconds = 600.0
)

// urgencyOf is a job's urgency among those of its tier, and how much work is left of it; 0 where
// that does not count: it has no objective on its start, which would bound how long the larger
// ones wait for the smaller ones, or it was started before and is to go on.
func (p *Params) urgencyOf(m *model.Model, j *model.Job, now model.Time) (urgency urgencyClass, workLeft float64) {
	waited := (now - j.Observed.KnownSince).Seconds()
	if isLowArray(j) && j.Scheduling.WithinGuarantee && waited <= newJobSeconds(p.Objectives) {
		return urgencyOverdue, 0
	}
	if j.Kind != model.Gang || j.Tasks[0].Attempt > 0 {
		return urgencyOnTime, 0
	}
	firstObjective, lastObjective := 0.0, 0.0
	urgency = urgencyOnTime
	for _, o := range p.Objectives {
		setsClass := o.Kind == "wait" && o.Class == j.Spec.Class
		setsGuarantee := o.Kind == "guarantee" && j.Scheduling.WithinGuarantee
		if !setsClass && !setsGuarantee {
			continue
		}
		if firstObjective == 0 || o.WithinS < firstObjective {
			firstObjective = o.WithinS
		}
		if lastObjective = max(lastObjective, o.WithinS); waited+startSeconds > o.WithinS {
			urgency++
		}
	}
	switch {
	case lastObjective == 0 && !j.Scheduling.UnderServed:
		return urgencyOnTime, 0
	case j.Scheduling.UnderServed:
		// Half of a class is served by its small gangs while there is not room for all. Where the large ones that
		// wait for long went first, all that came in a long burst waited behind them in turn, and half of the class
		// was not served. They go first again as soon as the class is served; until then small ones pass them, for a
		// while.
		if waited > max(underServedMaxWaitSeconds, overdueFactor*lastObjective) {
			return urgencyOverdue, 0
		}
	case waited > max(overdueSeconds, overdueFactor*lastObjective):
		return urgencyOverdue, 0
	}
	if lastObjective >= objectiveSpread*firstObjective && waited >= nearLastObjective*lastObjective &&
		waited+startSeconds <= lastObjective {
		return urgencyOverdue, 0
	}
	return urgency, remainingWork(m, j)
}
