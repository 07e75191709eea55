package controller

import (
	"sync/atomic"
	"time"

	"fieldhill/internal/model"
)

// readiness decides what the load balancer is told.
type readiness struct {
	*environment
	forward    *forwarder
	leadership *leadership
	replica    *replica
	term       *termState

	ready        atomic.Bool
	lastLoopTurn atomic.Int64 // when the loop was last seen to run
}

// Ready tells whether the node can take requests.
func (rd *readiness) Ready() bool {
	// What was found before this node stood still says nothing of now.
	return rd.ready.Load() && rd.now()-model.Time(rd.lastLoopTurn.Load()) < 2*stallThreshold
}

// linkFreshness is how recent an answer must be for the leader to count as reached.
const linkFreshness = 1500 * time.Millisecond

// updateReadiness decides what the load balancer is told. A short time without a
// leader is no reason to be passed over: it passes for all nodes alike, and
// requests are refused with a time to come back.
func (rd *readiness) updateReadiness() {
	ready := rd.replica.loaded
	rd.leadership.eligibility.warm.Store(rd.replica.isStoreReachable())
	if ready && rd.term.ownTerm == nil && rd.term.leader != nil {
		if link := rd.links[rd.term.leader.Node]; link != nil && time.Since(link.LastResponse()) > linkFreshness {
			// Without the leader it can still take and tell, by the log alone.
			ready = time.Since(rd.replica.caughtUpAt) < 2*linkFreshness+followTimeout
		}
	}
	if ready && rd.forward.isIsolated() && !rd.term.isActive() &&
		(rd.term.ownTerm != nil || !rd.replica.isStoreReachable()) {
		// Neither the log nor anybody who has it is reached: it can answer nothing but what is over, while those that
		// it does not hear of may be well.
		ready = false
	}
	rd.ready.Store(ready)
}
