package controller

import (
	"context"
	"sync/atomic"
	"time"

	"fieldhill/internal/result"
	"fieldhill/internal/rpc"
)

// forwarder tells requests' goroutines whether this controller leads, and asks the leader or another controller on
// their behalf. The loop publishes routing; any goroutine reads it.
type forwarder struct {
	*environment
	replica *replica
	term    *termState

	routing atomic.Pointer[routingView]
}

// newForwarder makes a forwarder; it may be used after the first publish.
func newForwarder(env *environment, replica *replica, term *termState) *forwarder {
	return &forwarder{environment: env, replica: replica, term: term}
}

// routingView is what the way of a request is chosen by. It may be out of date when it is read: whatever follows from
// it is checked again in the loop.
type routingView struct {
	leads             bool
	leader            string    // node of the leader; "": none is known
	trustedUntil      time.Time // of a leader: it is in touch with the key-value store until then
	storeContactUntil time.Time // the same of a follower
}

// followTimeout is how long a watch of the log waits for news.
const followTimeout = 2 * time.Second

// forwardTimeout bounds how long the leader's response is waited for where there is another way to an answer.
const forwardTimeout = 350 * time.Millisecond

// storeReachable tells whether the controller is in touch with the key-value store.
func (view *routingView) storeReachable() bool {
	if view.leads {
		return time.Now().Before(view.trustedUntil)
	}
	return time.Now().Before(view.storeContactUntil)
}

// publish makes the loop's present state known to the other goroutines.
func (fw *forwarder) publish() {
	view := routingView{leads: fw.term.ownTerm != nil}
	if fw.term.leader != nil {
		view.leader = fw.term.leader.Node
	}
	if fw.term.ownTerm != nil {
		view.trustedUntil = fw.term.ownTerm.trustedUntil
	} else if fw.replica.loaded {
		view.storeContactUntil = fw.replica.lastStoreContact.Add(followTimeout + linkFreshness)
	}
	if previous := fw.routing.Load(); previous == nil || *previous != view {
		fw.routing.Store(&view)
	}
}

// routingState tells whether this controller leads or believes so, and whether it is in touch with the key-value
// store.
func (fw *forwarder) routingState() (leads, storeReachable bool) {
	view := fw.routing.Load()
	return view.leads, view.storeReachable()
}

// toLeader sends a request to the leader. ok is false if the leader can't be asked or does not respond in time.
func (fw *forwarder) toLeader(
	ctx context.Context, request *rpc.Request, timeout time.Duration,
) (answer result.Forwarded, ok bool) {
	leader := fw.routing.Load().leader
	link := fw.links[leader]
	if link == nil || !isReached(link) {
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

// toOthers asks the other controllers, one after the other, for what this one can't answer: as far as it can tell it
// no longer leads, or it no longer reads the log, while others may do both.
func (fw *forwarder) toOthers(ctx context.Context, request *rpc.Request) (result.Forwarded, bool) {
	for _, member := range fw.settings.Members {
		link := fw.links[member.Node]
		if !isReached(link) {
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

// toLeaderOrOthers asks the leader, if that is another controller, and then the rest if this one is out of touch with
// the key-value store.
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

// isIsolated tells whether no other controller has responded for a while, though there are some.
func (fw *forwarder) isIsolated() bool {
	for _, link := range fw.links {
		if time.Since(link.LastResponse()) < 2*linkFreshness {
			return false
		}
	}
	return len(fw.links) > 0
}
