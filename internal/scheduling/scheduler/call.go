package scheduler

import "fieldhill/internal/model"

// call orders the gangs of a tier when there is not room for all. First come, first served
// makes every one of them late for as long as a burst is worked off, since each waits for
// those that are late already. So those that can still start in time go before those that
// cannot, and these wait until the last time that an objective sets them comes near. Among
// those of one place the smallest work goes first, as with low arrays: it leaves room for the
// next one soonest.
//
// It is lastCall, or how many objectives on its start a gang has missed, and one. Among low arrays new
// ones within a guarantee go first, since they are to start at once.
type call int8

const (
	lastCall call = iota // its last objective is near, or it has waited for long beyond
	inTime               // it has missed none
)

const (
	toStart  = 2.0    // seconds from a placement to the start, at the least
	nearLast = 2. / 3 // of the last objective: from there on it is near
	farApart = 2.0    // the last objective is so many times the first, or there is no last call
	beyond   = 3.0    // times the last objective: nothing goes before what has waited for longer,
	beyondS  = 60.0   // and for so many seconds
	owedS    = 600.0  // or for so many, while its class or team is owed
)

// callOf tells a job's place among those of its tier, and how much work is left of it; 0 where
// that does not count: it has no objective on its start, which would bound how long the larger
// ones wait for the smaller ones, or it was started before and is to go on.
func (s *Sched) callOf(m *model.Model, j *model.Job, now model.Time) (c call, left float64) {
	waited := (now - j.Began).Seconds()
	if shortFirst(j) && j.Within && waited <= newFor(s.P.Objectives) {
		return lastCall, 0
	}
	if j.Kind != model.Gang || j.Tasks[0].Attempt > 0 {
		return inTime, 0
	}
	first, last := 0.0, 0.0
	c = inTime
	for _, o := range s.P.Objectives {
		if !(o.Kind == "wait" && o.Class == j.Spec.Class) && !(o.Kind == "guarantee" && j.Within) {
			continue
		}
		if first == 0 || o.WithinS < first {
			first = o.WithinS
		}
		if last = max(last, o.WithinS); waited+toStart > o.WithinS {
			c++
		}
	}
	switch {
	case last == 0 && !j.Owed:
		return inTime, 0
	case j.Owed:
		// Half of a class is served by its small gangs while there is not room for all. Where the large ones that wait for long
		// went first, all that came in a long burst waited behind them in turn, and half of the class was
		// not served. They go first again as soon as the class is served; until then small ones pass them, for a while.
		if waited > max(owedS, beyond*last) {
			return lastCall, 0
		}
	case waited > max(beyondS, beyond*last):
		return lastCall, 0
	}
	if last >= farApart*first && waited >= nearLast*last && waited+toStart <= last {
		return lastCall, 0
	}
	return c, remaining(m, j)
}
