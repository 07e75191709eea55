package controller

import (
	"context"
	"net/http"
	"time"

	"fieldhill/internal/api"
	"fieldhill/internal/rpc"
)

// This file is the order in which the loop does its work. What keeps leases, ends and cancellations comes by n.work, what
// users submit and ask by n.requests, of which a few are taken at a time, after all else that waits. Short looks that a request needs
// before that still go by n.work (ask).

const (
	// maxQueuedRequests bounds users' requests that wait for the loop; further ones are refused.
	maxQueuedRequests = 256
	// workPerTurn and requestsPerTurn are how many pieces of each queue go into the same batch.
	workPerTurn     = 64
	requestsPerTurn = 16
)

// queuedRequest is a piece of a user's request that waits for the loop.
type queuedRequest struct {
	run      func()
	queuedAt time.Time
}

// responseTimeout bounds how long an answer may wait for the log. A write that
// takes longer is still repeated, but its user is told at once to ask again.
const responseTimeout = 2500 * time.Millisecond

// forwardTimeout bounds how long the leader is waited for where there is another way
// to an answer.
const forwardTimeout = 350 * time.Millisecond

// respond runs f in the loop; f must send exactly one reply, at once or later.
func (n *Controller) respond(ctx context.Context, f func(send func(*rpc.Response))) *rpc.Response {
	return n.awaitResponse(ctx, n.tryPost, f)
}

// overloadedResponse refuses a new job while this controller is late.
var overloadedResponse = api.Refuse(http.StatusTooManyRequests, "more work is offered than can be taken")

var noLeaderResponse = api.RetryLater("no leader at the moment", 1)

// What is answered where the loop has not replied in time.
var (
	loopBusyResponse = api.RetryLater("busy", 2)
	loopSlowResponse = api.RetryLater("the state service is slow", 1)
	canceledResponse = api.RetryLater("given up", 1)
	stoppingResponse = api.RetryLater("stopping", 1)
)

// tryPostRequest hands a piece of a user's request to the loop, unless it is far behind.
func (n *Controller) tryPostRequest(f func()) error {
	select {
	case n.requestQueue <- queuedRequest{f, time.Now()}:
		return nil
	default:
		return errBusy
	}
}

// respondInTurn runs f in the loop, after what is more urgent; f must send exactly one reply, at once or later.
func (n *Controller) respondInTurn(ctx context.Context, f func(send func(*rpc.Response))) *rpc.Response {
	return n.awaitResponse(ctx, n.tryPostRequest, f)
}

// awaitResponse has the loop run f and waits for its reply.
func (n *Controller) awaitResponse(ctx context.Context, enqueue func(func()) error, f func(send func(*rpc.Response))) *rpc.Response {
	responses := make(chan *rpc.Response, 1)
	if enqueue(func() { f(func(r *rpc.Response) { responses <- r }) }) != nil {
		return loopBusyResponse
	}
	timer := time.NewTimer(responseTimeout)
	defer timer.Stop()
	select {
	case r := <-responses:
		return r
	case <-timer.C:
		return loopSlowResponse
	case <-ctx.Done():
		return canceledResponse
	case <-n.ctx.Done():
		return stoppingResponse
	}
}

// drainWork runs what waits in n.work, up to a turn.
func (n *Controller) drainWork() {
	for range workPerTurn {
		select {
		case f := <-n.workQueue:
			f()
		default:
			return
		}
	}
}

// drainRequests runs a user's request and more of them, up to a turn.
func (n *Controller) drainRequests(request queuedRequest) {
	for range requestsPerTurn {
		n.admissionGate.ObserveWait(time.Since(request.queuedAt), n.now())
		request.run()
		select {
		case request = <-n.requestQueue:
		default:
			return
		}
	}
}

// routingView is how a node stands, for goroutines that choose the way of a request by it. The loop publishes it; whatever
// follows from it is looked at again in the loop.
type routingView struct {
	leads             bool
	leader            string
	trustedUntil      time.Time // of a leader: it is in touch until then
	storeContactUntil time.Time // of another node
}

func (s *routingView) storeReachable() bool {
	if s.leads {
		return time.Now().Before(s.trustedUntil)
	}
	return time.Now().Before(s.storeContactUntil)
}

// publish tells the other goroutines how this node stands.
func (n *Controller) publish() {
	view := routingView{leads: n.ownTerm != nil}
	if n.leader != nil {
		view.leader = n.leader.Node
	}
	if n.ownTerm != nil {
		view.trustedUntil = n.ownTerm.trustedUntil
	} else if n.loaded {
		view.storeContactUntil = n.lastStoreContact.Add(followTimeout + linkFreshness)
	}
	if previous := n.routing.Load(); previous == nil || *previous != view {
		n.routing.Store(&view)
	}
}

// routingState tells whether this node leads or believes so, and whether it is in touch with the state service.
func (n *Controller) routingState() (leads, storeReachable bool) {
	view := n.routing.Load()
	return view.leads, view.storeReachable()
}
