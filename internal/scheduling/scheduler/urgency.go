package scheduler

import "fieldhill/internal/model"

// urgencyClass orders the gangs of a tier when there is not enough capacity for all of them. First come, first served
// would make every gang of a burst late, because each would wait for earlier gangs that are late already. So gangs that
// can still meet their start objectives go before those that cannot, which wait until their last start objective is
// near. Within a class the gang with the least work goes first, because it releases its resources soonest.
//
// The value is urgencyOverdue, or urgencyOnTime plus the number of start objectives that the gang misses. Among
// low-priority arrays, new ones within a guarantee have the value urgencyOverdue, since they must start immediately.
type urgencyClass int8

const (
	// urgencyOverdue is for jobs whose last start objective is near or has been exceeded by far.
	urgencyOverdue urgencyClass = iota
	// urgencyOnTime is for jobs that miss no start objective yet.
	urgencyOnTime
)

const (
	// minStartSeconds is the minimum time from the placement of a task to its start.
	minStartSeconds = 2.0
	// nearLastObjectiveShare is the share of the last start objective from which the objective counts as near.
	nearLastObjectiveShare = 2. / 3
	// minObjectiveRatio is the minimum ratio of the last start objective to the first one for which a near last
	// objective makes a gang overdue.
	minObjectiveRatio = 2.0
	// overdueFactor and overdueSeconds determine when a job is overdue: once it has waited for overdueFactor times its
	// last start objective, but at least for overdueSeconds.
	overdueFactor, overdueSeconds = 3.0, 60.0
	// underServedMaxWaitSeconds is used instead of overdueSeconds while the class or team of the job is under-served.
	underServedMaxWaitSeconds = 600.0
)

// urgencyOf returns the urgency class of a job and, if its size matters within the class, its remaining work. The size
// does not matter, and the remaining work is 0, for jobs that were started before and for jobs without a start
// objective, because no objective would limit how long large jobs wait for small ones.
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
		// While there is not enough capacity for all, half of a class is served by starting its small gangs. If large
		// gangs that have waited long went first, all arrivals of a long burst would queue behind them, and half of the
		// class would not be served. So small gangs overtake large ones until the class has recovered, but not
		// indefinitely.
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
