package controller

import (
	"sync/atomic"
	"time"

	"fieldhill/internal/model"
)

// readiness decides what the load balancer is told: whether this controller can take requests, and whom it reaches.
// The loop writes what it decides; health checks read it.
type readiness struct {
	*environment
	forward    *forwarder
	leadership *leadership
	replica    *replica
	term       *termState

	ready        atomic.Bool
	lastLoopTurn atomic.Int64 // since the start, when the loop last ran the maintenance
}

// Ready tells whether this controller can take requests.
func (rd *readiness) Ready() bool {
	// What was found before the process stalled says nothing of now.
	return rd.ready.Load() && rd.now()-model.Time(rd.lastLoopTurn.Load()) < 2*stallThreshold
}

// linkFreshness is how recent the last answer of another controller must be for it to count as reached.
const linkFreshness = 1500 * time.Millisecond

// updateReadiness decides anew, in the loop. A short time without a leader is no reason not to be ready: it comes for
// all controllers alike, and requests are refused with a time to come back.
func (rd *readiness) updateReadiness() {
	rd.leadership.eligibility.warm.Store(rd.replica.isStoreReachable())
	rd.ready.Store(rd.canServe())
}

// canServe tells whether requests that come here can be answered, here or by those that this controller reaches.
func (rd *readiness) canServe() bool {
	if !rd.replica.loaded {
		return false
	}
	if rd.term.ownTerm == nil && rd.term.leader != nil {
		link := rd.links[rd.term.leader.Node]
		if link != nil && !isReached(link) &&
			time.Since(rd.replica.caughtUpAt) >= 2*linkFreshness+followTimeout {
			return false // without the leader it can still accept jobs and answer, but by the log alone
		}
	}
	// If neither the log nor any controller that has it is reached, nothing can be answered but what is final, while
	// the controllers that are not reached may be well.
	return !rd.forward.isIsolated() || rd.term.isActive() ||
		rd.term.ownTerm == nil && rd.replica.isStoreReachable()
}
