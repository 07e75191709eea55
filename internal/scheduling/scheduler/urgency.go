package scheduler

import "fieldhill/internal/model"

// urgencyClass orders the gangs of a tier when there is not room for all. First come, first served
// makes every one of them late for as long as a burst is worked off, since each waits for
// those that are late already. So those that can still start in time go before those that
// cannot, and these wait until the last time that an objective sets them comes near. Among
// those of one place the smallest work goes first, as with low arrays: it leaves room for the
// next one soonest.
//
// It is urgencyOverdue, or how many objectives on its start a gang has missed, and one. Among low arrays new
// ones within a guarantee go first, since they are to start at once.
type urgencyClass int8

const (
	urgencyOverdue urgencyClass = iota // its last objective is near, or it has waited for long beyond
	urgencyOnTime                      // it has missed none
)

const (
	startSeconds              = 2.0    // seconds from a placement to the start, at the least
	nearLastObjective         = 2. / 3 // of the last objective: from there on it is near
	objectiveSpread           = 2.0    // the last objective is so many times the first, or there is no last call
	overdueFactor             = 3.0    // times the last objective: nothing goes before what has waited for longer,
	overdueSeconds            = 60.0   // and for so many seconds
	underServedMaxWaitSeconds = 600.0  // or for so many, while its class or team is owed
)

// urgencyOf tells a job's place among those of its tier, and how much work is left of it; 0 where
// that does not count: it has no objective on its start, which would bound how long the larger
// ones wait for the smaller ones, or it was started before and is to go on.
func (s *Scheduler) urgencyOf(m *model.Model, j *model.Job, now model.Time) (urgency urgencyClass, workLeft float64) {
	waited := (now - j.Observed.KnownSince).Seconds()
	if isLowArray(j) && j.Scheduling.WithinGuarantee && waited <= newJobSeconds(s.Params.Objectives) {
		return urgencyOverdue, 0
	}
	if j.Kind != model.Gang || j.Tasks[0].Attempt > 0 {
		return urgencyOnTime, 0
	}
	firstObjective, lastObjective := 0.0, 0.0
	urgency = urgencyOnTime
	for _, o := range s.Params.Objectives {
		if !(o.Kind == "wait" && o.Class == j.Spec.Class) && !(o.Kind == "guarantee" && j.Scheduling.WithinGuarantee) {
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
