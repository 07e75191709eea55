// Package admission decides whether new work is taken while a controller is late. It is pure.
//
// A controller that takes more than it can do ends up doing less: what it has taken waits, its users ask again, and
// the answers that keep running work alive wait behind both. So new jobs are refused at the door, with a time to come
// back, while work has to queue for longer than it should. As in CoDel (Nichols and Jacobson, 2012) the measure is
// the shortest wait of an interval: a burst lets some wait and others not, while a queue that stands lets all wait.
package admission

import "time"

// Time is steady time since the process began.
type Time = time.Duration

const (
	// TargetWait is how long work may queue in a controller that keeps up.
	TargetWait = 250 * time.Millisecond
	// Interval is how long all of it has to queue for longer before new work is refused, and for how long a verdict
	// stands.
	Interval = time.Second
	// maxRetryAfter bounds the time after which a refused user is asked to come back.
	maxRetryAfter = 8 * time.Second
)

// Gate judges by how long work waited in a queue. The zero value is open.
type Gate struct {
	intervalStart Time // of the interval
	minWait       Time // the shortest wait in it
	observed      bool // whether any was seen
	lateIntervals int  // how many intervals in a row were too long
}

// ObserveWait notes how long a piece of work queued that is begun now.
func (g *Gate) ObserveWait(wait, now Time) {
	g.rollInterval(now)
	if !g.observed || wait < g.minWait {
		g.minWait, g.observed = wait, true
	}
}

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

// Admit tells whether new work is taken, and if not, after how long it may be tried again.
func (g *Gate) Admit(now Time) (retryAfter time.Duration, ok bool) {
	g.rollInterval(now)
	if g.lateIntervals == 0 {
		return 0, true
	}
	return min(maxRetryAfter, time.Second<<min(g.lateIntervals-1, 3)), false
}
