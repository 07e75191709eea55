package controller

import (
	"time"

	"fieldhill/internal/model"
)

// This file judges whether this node can take requests, and whom it reaches.

// Ready tells whether the node can take requests.
func (n *Controller) Ready() bool {
	// What was found before this node stood still says nothing of now.
	return n.ready.Load() && n.now()-model.Time(n.lastLoopTurn.Load()) < 2*stallThreshold
}

// linkFreshness is how recent an answer must be for the leader to count as reached.
const linkFreshness = 1500 * time.Millisecond

// isIsolated tells whether no other controller has been heard of for a while, though there are some.
func (n *Controller) isIsolated() bool {
	for _, l := range n.links {
		if time.Since(l.LastResponse()) < 2*linkFreshness {
			return false
		}
	}
	return len(n.links) > 0
}

// hasPossibleSuccessor tells, at a leader whose lead can't be renewed, whether another node may lead in its place: none is heard of, which they may be
// well all the same, or one says that it reads the log. Where it is the state service that is down, all say that they don't.
func (n *Controller) hasPossibleSuccessor() bool {
	return n.isIsolated() || n.eligibility.hasWarmPeer()
}

// updateReadiness decides what the load balancer is told. A short time without a
// leader is no reason to be passed over: it passes for all nodes alike, and
// requests are refused with a time to come back.
func (n *Controller) updateReadiness() {
	ready := n.loaded
	n.eligibility.warm.Store(n.isStoreReachable())
	if ready && n.ownTerm == nil && n.leader != nil {
		if link := n.links[n.leader.Node]; link != nil && time.Since(link.LastResponse()) > linkFreshness {
			// Without the leader it can still take and tell, by the log alone.
			ready = time.Since(n.caughtUpAt) < 2*linkFreshness+followTimeout
		}
	}
	if ready && n.isIsolated() && !n.isActive() && (n.ownTerm != nil || !n.isStoreReachable()) {
		// Neither the log nor anybody who has it is reached: it can answer nothing but what is over, while those that it does
		// not hear of may be well.
		ready = false
	}
	n.ready.Store(ready)
}
