// Package admission decides whether new work is taken while a controller is late. It is pure.
//
// A controller that takes more than it can do ends up doing less: what it has taken waits, its users ask again, and
// the answers that keep running work alive wait behind both. So new jobs are refused on arrival, with a time to retry
// after, while work has to queue for longer than it should. As in CoDel (Nichols and Jacobson, 2012) the measure is
// the shortest wait of an interval: a burst lets some wait and others not, while a standing queue lets all wait.
package admission

import "time"

// Time is steady time since the process began.
type Time = time.Duration

const (
	// TargetWait is how long work may queue in a controller that keeps up.
	TargetWait = 250 * time.Millisecond
	// Interval is how long all of it has to queue for longer before new work is refused, and for how long a verdict
	// holds.
	Interval = time.Second
	// maxRetryAfter bounds the time after which a refused user is asked to retry; it doubles from a second to there.
	maxRetryAfter     = 8 * time.Second
	maxRetryDoublings = 3
)

// Gate judges by how long work waited in a queue. The zero value is open.
type Gate struct {
	intervalStart Time
	minWait       Time // the shortest wait in the interval
	observed      bool // some work was seen in the interval
	lateIntervals int  // how many intervals in a row were too long
}

// ObserveWait notes how long a piece of work queued that is begun now.
func (g *Gate) ObserveWait(wait, now Time) {
	g.rollInterval(now)
	if !g.observed || wait < g.minWait {
		g.minWait, g.observed = wait, true
	}
}

// rollInterval ends the interval if it is over, with the verdict on it.
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

// Admit tells whether new work is taken, and if not, after how long to retry.
func (g *Gate) Admit(now Time) (retryAfter time.Duration, ok bool) {
	g.rollInterval(now)
	if g.lateIntervals == 0 {
		return 0, true
	}
	return min(maxRetryAfter, time.Second<<min(g.lateIntervals-1, maxRetryDoublings)), false
}
