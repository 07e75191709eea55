// Package admission implements admission control for new work on an overloaded controller. It does no I/O.
//
// A controller that accepts more work than it can handle becomes less effective: accepted work queues up, users retry,
// and both delay the responses to agents that running tasks depend on. So new jobs are rejected on arrival, with a
// retry-after time, while the queueing delay is too long. As in CoDel (Nichols and Jacobson, 2012), the criterion is
// the minimum queueing delay within an interval: in a burst only some of the work is delayed, in a standing queue all
// of it is.
package admission

import "time"

// Time is monotonic time since the process started.
type Time = time.Duration

const (
	// TargetWait is the maximum queueing delay in a controller that keeps up.
	TargetWait = 250 * time.Millisecond
	// Interval is the length of a measuring interval. If the queueing delay exceeded TargetWait throughout an interval,
	// new work is rejected during the next one.
	Interval = time.Second
	// maxRetryAfter is the upper limit of the retry-after time, which starts at one second and doubles with each
	// further consecutive interval above TargetWait, at most maxRetryDoublings times.
	maxRetryAfter     = 8 * time.Second
	maxRetryDoublings = 3
)

// Gate admits or rejects new work based on the observed queueing delay. The zero value is ready for use and admits
// work.
type Gate struct {
	intervalStart Time
	minWait       Time // minimum delay in the interval
	observed      bool // a delay was observed in the interval
	lateIntervals int  // consecutive intervals above TargetWait
}

// ObserveWait records the queueing delay of a work item whose processing starts now.
func (g *Gate) ObserveWait(wait, now Time) {
	g.rollInterval(now)
	if !g.observed || wait < g.minWait {
		g.minWait, g.observed = wait, true
	}
}

// If the current interval is over, rollInterval evaluates it and starts the next one.
func (g *Gate) rollInterval(now Time) {
	if now-g.intervalStart < Interval {
		return
	}
	if g.observed && g.minWait > TargetWait {
		g.lateIntervals++
	} else {
		g.lateIntervals = 0
	}
	g.intervalStart, g.observed = now, false
}

// Admit reports whether new work is accepted, and if not, after what time the client may retry.
func (g *Gate) Admit(now Time) (retryAfter time.Duration, ok bool) {
	g.rollInterval(now)
	if g.lateIntervals == 0 {
		return 0, true
	}
	return min(maxRetryAfter, time.Second<<min(g.lateIntervals-1, maxRetryDoublings)), false
}
