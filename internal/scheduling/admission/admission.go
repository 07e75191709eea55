// Package admission decides whether new work is taken while a controller is late. It is pure.
//
// A controller that takes more than it can do ends up doing less: what it has taken waits, its users ask again, and the
// answers that keep running work alive wait behind both. So new jobs are refused at the door, with a time to come back,
// while work has to queue for longer than it should. As in CoDel (Nichols and Jacobson, 2012) the measure is the shortest
// wait of an interval: a burst lets some wait and others not, while a queue that stands lets all wait.
package admission

import "time"

// Time is steady time since the process began.
type Time = time.Duration

const (
	// Target is how long work may queue in a controller that keeps up.
	Target = 250 * time.Millisecond
	// Interval is how long all of it has to queue for longer before new work is refused, and for how long a verdict stands.
	Interval = time.Second
	// mostRetry bounds the time after which a refused user is asked to come back.
	mostRetry = 8 * time.Second
)

// Gate judges by how long work waited in a queue. The zero value is open.
type Gate struct {
	began  Time // of the interval
	least  Time // the shortest wait in it
	seen   bool // whether any was seen
	closed int  // how many intervals in a row were too long
}

// Waited notes how long a piece of work queued that is begun now.
func (g *Gate) Waited(wait, now Time) {
	g.turn(now)
	if !g.seen || wait < g.least {
		g.least, g.seen = wait, true
	}
}

func (g *Gate) turn(now Time) {
	if now-g.began < Interval {
		return
	}
	if g.seen && g.least > Target {
		g.closed++
	} else {
		g.closed = 0
	}
	g.began, g.seen = now, false
}

// Admit tells whether new work is taken, and if not, after how long it may be tried again.
func (g *Gate) Admit(now Time) (retryAfter time.Duration, ok bool) {
	g.turn(now)
	if g.closed == 0 {
		return 0, true
	}
	return min(mostRetry, time.Second<<min(g.closed-1, 3)), false
}
