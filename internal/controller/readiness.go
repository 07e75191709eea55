package controller

import (
	"sync/atomic"
	"time"
)

// readiness determines whether this controller reports itself as ready to the load balancer. The event loop writes the
// result; health checks read it.
type readiness struct {
	*environment
	forward    *forwarder
	leadership *leadership
	loop       *eventLoop
	replica    *replica
	term       *termState

	ready atomic.Bool
}

// Ready reports whether this controller can answer requests, itself or through another controller.
func (rd *readiness) Ready() bool {
	// The result is out of date if the process has stalled since it was written.
	return rd.ready.Load() && rd.loop.sinceMaintenance() < 2*stallThreshold
}

// linkTimeout is the maximum age of the last response over a link for its other end to count as reachable.
const linkTimeout = 1500 * time.Millisecond

// updateReadiness determines, on the event loop, whether this controller reports itself as ready, and whether it counts
// as warm for elections. A short time without a leader does not make a controller unready: it affects all controllers
// alike, and requests are refused with a Retry-After.
func (rd *readiness) updateReadiness() {
	rd.leadership.eligibility.warm.Store(rd.replica.isStoreReachable())
	rd.ready.Store(rd.canServe())
}

// canServe reports whether requests can be answered by this controller or by another one that it can reach.
func (rd *readiness) canServe() bool {
	if !rd.replica.loaded {
		return false
	}
	if rd.term.ownTerm == nil && rd.term.leader != nil {
		link := rd.links[rd.term.leader.Node]
		if link != nil && !isReachable(link) &&
			time.Since(rd.replica.caughtUpAt) >= 2*linkTimeout+followTimeout {
			return false // cut off from the leader, this controller would answer from the log alone
		}
	}
	// A controller that can reach neither the log nor another controller can report only the status of finished jobs,
	// while the other controllers may be healthy.
	return !rd.forward.isIsolated() || rd.term.isActive() ||
		rd.term.ownTerm == nil && rd.replica.isStoreReachable()
}
