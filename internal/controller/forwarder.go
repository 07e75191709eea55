package controller

import (
	"context"
	"sync/atomic"
	"time"

	"fieldhill/internal/result"
	"fieldhill/internal/rpc"
)

// forwarder tells request goroutines whether this controller leads, and forwards requests to the leader or to other
// controllers. The event loop publishes routing; any goroutine may read it.
type forwarder struct {
	*environment
	replica *replica
	term    *termState

	routing atomic.Pointer[routingView]
}

// newForwarder returns a forwarder. publish must be called once before the forwarder is used.
func newForwarder(env *environment, replica *replica, term *termState) *forwarder {
	return &forwarder{environment: env, replica: replica, term: term}
}

// routingView is the state that determines where a request is routed. It may be out of date when it is read, so
// decisions based on it are checked again on the event loop.
type routingView struct {
	leads             bool
	leader            string    // node of the leader; empty if none is known
	trustedUntil      time.Time // on the leader: the key-value store counts as reachable until then
	storeContactUntil time.Time // on a follower: the key-value store counts as reachable until then
}

// followTimeout is how long a watch of the log waits for an update.
const followTimeout = 2 * time.Second

// forwardTimeout is the timeout for the leader's response to a forwarded request that can also be answered without the
// leader.
const forwardTimeout = 350 * time.Millisecond

// storeReachable reports whether the key-value store counts as reachable.
func (view *routingView) storeReachable() bool {
	if view.leads {
		return time.Now().Before(view.trustedUntil)
	}
	return time.Now().Before(view.storeContactUntil)
}

// publish makes the current state of the event loop available to other goroutines.
func (fw *forwarder) publish() {
	view := routingView{leads: fw.term.ownTerm != nil}
	if fw.term.leader != nil {
		view.leader = fw.term.leader.Node
	}
	if fw.term.ownTerm != nil {
		view.trustedUntil = fw.term.ownTerm.trustedUntil
	} else if fw.replica.loaded {
		view.storeContactUntil = fw.replica.lastStoreContact.Add(followTimeout + linkTimeout)
	}
	if previous := fw.routing.Load(); previous == nil || *previous != view {
		fw.routing.Store(&view)
	}
}

// routingState reports whether this controller leads, as far as it knows, and whether it can reach the key-value store.
func (fw *forwarder) routingState() (leads, storeReachable bool) {
	view := fw.routing.Load()
	return view.leads, view.storeReachable()
}

// toLeader forwards a request to the leader. ok is false if no other controller is known to lead, or if the leader is
// unreachable or does not respond within the timeout.
func (fw *forwarder) toLeader(
	ctx context.Context, request *rpc.Request, timeout time.Duration,
) (answer result.Forwarded, ok bool) {
	leader := fw.routing.Load().leader
	link := fw.links[leader]
	if link == nil || !isReachable(link) {
		return result.Forwarded{}, false
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	response, err := link.Do(ctx, request)
	if err != nil {
		fw.log.Debug("leader unreachable", "leader", leader, "err", err)
		return result.Forwarded{}, false
	}
	return result.Forwarded{Response: response}, true
}

// toOthers forwards a request to the other controllers, one after another, until one can answer it. It is used when
// this controller may have lost leadership or cannot read the log, while another controller may be able to answer.
func (fw *forwarder) toOthers(ctx context.Context, request *rpc.Request) (result.Forwarded, bool) {
	for _, member := range fw.settings.Members {
		link := fw.links[member.Node]
		if !isReachable(link) {
			continue
		}
		ctx, cancel := context.WithTimeout(ctx, 2*forwardTimeout)
		response, err := link.Do(ctx, request)
		cancel()
		if answer := (result.Forwarded{Response: response}); err == nil && !result.IsUnavailable(answer) {
			return answer, true
		}
	}
	return result.Forwarded{}, false
}

// toLeaderOrOthers forwards a request to the leader, if another controller leads. If the leader gives no answer and
// this controller cannot reach the key-value store, it then forwards the request to the other controllers.
func (fw *forwarder) toLeaderOrOthers(
	ctx context.Context, request *rpc.Request, leads, storeReachable bool,
) (result.Forwarded, bool) {
	if !leads {
		answer, ok := fw.toLeader(ctx, request, forwardTimeout)
		if ok && !result.IsUnavailable(answer) {
			return answer, true
		}
	}
	if !storeReachable {
		return fw.toOthers(ctx, request)
	}
	return result.Forwarded{}, false
}

// isIsolated reports whether there are other controllers but none of them has responded within 2*linkTimeout.
func (fw *forwarder) isIsolated() bool {
	for _, link := range fw.links {
		if time.Since(link.LastResponse()) < 2*linkTimeout {
			return false
		}
	}
	return len(fw.links) > 0
}
