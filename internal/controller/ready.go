package controller

import (
	"time"

	"fieldhill/internal/model"
)

// This file judges whether this node can take requests, and whom it reaches.

// Ready tells whether the node can take requests.
func (n *Node) Ready() bool {
	// What was found before this node stood still says nothing of now.
	return n.readyFlag.Load() && n.now()-model.Time(n.beat.Load()) < 2*stoodStill
}

// linkFresh is how recent an answer must be for the leader to count as reached.
const linkFresh = 1500 * time.Millisecond

// alone tells whether no other controller has been heard of for a while, though there are some.
func (n *Node) alone() bool {
	for _, l := range n.links {
		if time.Since(l.Heard()) < 2*linkFresh {
			return false
		}
	}
	return len(n.links) > 0
}

// others tells, at a leader whose lead can't be renewed, whether another node may lead in its place: none is heard of, which they may be
// well all the same, or one says that it reads the log. Where it is the state service that is down, all say that they don't.
func (n *Node) others() bool { return n.alone() || n.stand.warmOther() }

// judgeReady decides what the load balancer is told. A short time without a
// leader is no reason to be passed over: it passes for all nodes alike, and
// requests are refused with a time to come back.
func (n *Node) judgeReady() {
	ready := n.loaded
	n.stand.warm.Store(n.reaches())
	if ready && n.role == nil && n.leader != nil {
		if l := n.links[n.leader.Node]; l != nil && time.Since(l.Heard()) > linkFresh {
			// Without the leader it can still take and tell, by the log alone.
			ready = time.Since(n.caught) < 2*linkFresh+followFor
		}
	}
	if ready && n.alone() && !n.active() && (n.role != nil || !n.reaches()) {
		// Neither the log nor anybody who has it is reached: it can answer nothing but what is over, while those that it does
		// not hear of may be well.
		ready = false
	}
	n.readyFlag.Store(ready)
}
