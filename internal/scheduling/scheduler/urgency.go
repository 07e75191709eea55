package scheduler

import "fieldhill/internal/model"

// urgencyClass orders the gangs of a tier when there is not capacity for all. First come, first served would make every
// gang of a burst late, because each would wait for those that are late already. So gangs that can still start in time
// go before those that cannot, which wait until their last start objective is near. Within a class the gang with the
// least work goes first, because it releases its resources soonest.
//
// The value is urgencyOverdue, or urgencyOnTime plus the number of start objectives missed. Among low-priority arrays,
// new ones within a guarantee are urgencyOverdue, since they must start immediately.
type urgencyClass int8

const (
	// urgencyOverdue: the last objective is near, or the job has waited far beyond it.
	urgencyOverdue urgencyClass = iota
	// urgencyOnTime: no objective is missed yet.
	urgencyOnTime
)

const (
	// minStartSeconds is the minimum time from placement to start.
	minStartSeconds = 2.0
	// nearLastObjectiveShare is the share of the last objective from which it counts as near.
	nearLastObjectiveShare = 2. / 3
	// minObjectiveRatio is the minimum ratio of the last objective to the first one for the nearness rule to apply.
	minObjectiveRatio = 2.0
	// A job is overdue once it has waited for overdueFactor times its last objective, but at least overdueSeconds.
	overdueFactor, overdueSeconds = 3.0, 60.0
	// underServedMaxWaitSeconds replaces overdueSeconds while the class or team of the job is under-served.
	underServedMaxWaitSeconds = 600.0
)

// urgencyOf returns the urgency class of a job and, if its size matters within the class, its remaining work. Size does
// not matter, and is 0, for jobs that were started before and for those without a start objective, which would bound
// how long large jobs wait for small ones.
func (p *Params) urgencyOf(m *model.Model, j *model.Job, now model.Time) (urgency urgencyClass, remaining float64) {
	waited := (now - j.Observed.KnownSince).Seconds()
	if isLowPriorityArray(j) && j.Scheduling.WithinGuarantee && waited <= newJobSeconds(p.Objectives) {
		return urgencyOverdue, 0
	}
	if j.Kind != model.Gang || j.Tasks[0].Attempt > 0 {
		return urgencyOnTime, 0
	}
	firstObjective, lastObjective := 0.0, 0.0
	urgency = urgencyOnTime
	for _, o := range p.Objectives {
		classApplies := o.Kind == "wait" && o.Class == j.Spec.Class
		guaranteeApplies := o.Kind == "guarantee" && j.Scheduling.WithinGuarantee
		if !classApplies && !guaranteeApplies {
			continue
		}
		if firstObjective == 0 || o.WithinS < firstObjective {
			firstObjective = o.WithinS
		}
		if lastObjective = max(lastObjective, o.WithinS); waited+minStartSeconds > o.WithinS {
			urgency++
		}
	}
	switch {
	case lastObjective == 0 && !j.Scheduling.UnderServed:
		return urgencyOnTime, 0
	case j.Scheduling.UnderServed:
		// While there is not capacity for all, half of a class is served by starting its small gangs. When long-waiting
		// large gangs went first, all arrivals of a long burst queued behind them, and half of the class was not
		// served. So small gangs overtake large ones until the class has recovered, but not indefinitely.
		if waited > max(underServedMaxWaitSeconds, overdueFactor*lastObjective) {
			return urgencyOverdue, 0
		}
	case waited > max(overdueSeconds, overdueFactor*lastObjective):
		return urgencyOverdue, 0
	}
	if lastObjective >= minObjectiveRatio*firstObjective && waited >= nearLastObjectiveShare*lastObjective &&
		waited+minStartSeconds <= lastObjective {
		return urgencyOverdue, 0
	}
	return urgency, remainingWork(m, j)
}
