package controller

import (
	"context"
	"net/http"
	"sync/atomic"
	"time"

	"fieldhill/internal/rpc"
)

// forwarder tells request goroutines whether this controller leads, and asks the leader or another controller on
// their behalf.
type forwarder struct {
	*environment
	replica *replica
	term    *termState

	routing atomic.Pointer[routingView]
}

// routingView is how a node stands, for goroutines that choose the way of a request by it. The loop publishes it;
// whatever follows from it is looked at again in the loop.
type routingView struct {
	leads             bool
	leader            string
	trustedUntil      time.Time // of a leader: it is in touch until then
	storeContactUntil time.Time // of another node
}

// followTimeout is how long a watch waits for news.
const followTimeout = 2 * time.Second

// forwardTimeout bounds how long the leader is waited for where there is another way
// to an answer.
const forwardTimeout = 350 * time.Millisecond

func (s *routingView) storeReachable() bool {
	if s.leads {
		return time.Now().Before(s.trustedUntil)
	}
	return time.Now().Before(s.storeContactUntil)
}

// publish tells the other goroutines how this node stands.
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

// routingState tells whether this node leads or believes so, and whether it is in touch with the state service.
func (fw *forwarder) routingState() (leads, storeReachable bool) {
	view := fw.routing.Load()
	return view.leads, view.storeReachable()
}

// toLeader sends a request to the leader. ok is false if the leader can't be asked.
func (fw *forwarder) toLeader(
	ctx context.Context,
	request *rpc.Request,
	timeout time.Duration,
) (response *rpc.Response, ok bool) {
	leader := fw.routing.Load().leader
	link := fw.links[leader]
	if link == nil || time.Since(link.LastResponse()) > linkFreshness {
		return nil, false
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	r, err := link.Do(ctx, request)
	if err != nil {
		fw.log.Debug("leader unreachable", "leader", leader, "err", err)
		return nil, false
	}
	return r, true
}

// toOthers asks the other controllers, one after the other, for what this node
// can't answer: it leads no more, as far as it can tell, or reads the log no more,
// while others may do both.
func (fw *forwarder) toOthers(ctx context.Context, request *rpc.Request) (*rpc.Response, bool) {
	for _, m := range fw.settings.Members {
		link := fw.links[m.Node]
		if time.Since(link.LastResponse()) > linkFreshness {
			continue
		}
		ctx, cancel := context.WithTimeout(ctx, 2*forwardTimeout)
		response, err := link.Do(ctx, request)
		cancel()
		if err == nil && response.Status != http.StatusServiceUnavailable {
			return response, true
		}
	}
	return nil, false
}

// toLeaderOrOthers asks the leader, if that is another node, and the rest if this one is out
// of touch with the state service.
func (fw *forwarder) toLeaderOrOthers(
	ctx context.Context,
	request *rpc.Request,
	leads, storeReachable bool,
) (*rpc.Response, bool) {
	if !leads {
		if response, ok := fw.toLeader(
			ctx,
			request,
			forwardTimeout,
		); ok &&
			response.Status != http.StatusServiceUnavailable {
			return response, true
		}
	}
	if !storeReachable {
		return fw.toOthers(ctx, request)
	}
	return nil, false
}

// isIsolated tells whether no other controller has been heard of for a while, though there are some.
func (fw *forwarder) isIsolated() bool {
	for _, l := range fw.links {
		if time.Since(l.LastResponse()) < 2*linkFreshness {
			return false
		}
	}
	return len(fw.links) > 0
}
