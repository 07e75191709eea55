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
	// requestsAtOnce bounds users' requests that wait for the loop; further ones are refused.
	requestsAtOnce = 256
	// workTurn and requestTurn are how many pieces of each queue go into the same batch.
	workTurn    = 64
	requestTurn = 16
)

// request is a piece of a user's request that waits for the loop.
type request struct {
	run   func()
	since time.Time
}

// answerWithin bounds how long an answer may wait for the log. A write that
// takes longer is still repeated, but its user is told at once to ask again.
const answerWithin = 2500 * time.Millisecond

// quickly bounds how long the leader is waited for where there is another way
// to an answer.
const quickly = 350 * time.Millisecond

// inLoop runs f in the loop; f must send exactly one reply, at once or later.
func (n *Node) inLoop(ctx context.Context, f func(send func(*rpc.Reply))) *rpc.Reply {
	return n.replied(ctx, n.offer, f)
}

// overloaded refuses a new job while this controller is late.
var overloaded = api.Refuse(http.StatusTooManyRequests, "more work is offered than can be taken")

var noLeader = api.Later("no leader at the moment", 1)

// What is answered where the loop has not replied in time.
var (
	loopBusy = api.Later("busy", 2)
	loopSlow = api.Later("the state service is slow", 1)
	givenUp  = api.Later("given up", 1)
	stopping = api.Later("stopping", 1)
)

// offerRequest hands a piece of a user's request to the loop, unless it is far behind.
func (n *Node) offerRequest(f func()) error {
	select {
	case n.requests <- request{f, time.Now()}:
		return nil
	default:
		return errBusy
	}
}

// inTurn runs f in the loop, after what is more urgent; f must send exactly one reply, at once or later.
func (n *Node) inTurn(ctx context.Context, f func(send func(*rpc.Reply))) *rpc.Reply {
	return n.replied(ctx, n.offerRequest, f)
}

// replied has the loop run f and waits for its reply.
func (n *Node) replied(ctx context.Context, offer func(func()) error, f func(send func(*rpc.Reply))) *rpc.Reply {
	ch := make(chan *rpc.Reply, 1)
	if offer(func() { f(func(r *rpc.Reply) { ch <- r }) }) != nil {
		return loopBusy
	}
	t := time.NewTimer(answerWithin)
	defer t.Stop()
	select {
	case r := <-ch:
		return r
	case <-t.C:
		return loopSlow
	case <-ctx.Done():
		return givenUp
	case <-n.ctx.Done():
		return stopping
	}
}

// takeWork runs what waits in n.work, up to a turn.
func (n *Node) takeWork() {
	for range workTurn {
		select {
		case f := <-n.work:
			f()
		default:
			return
		}
	}
}

// takeRequests runs a user's request and more of them, up to a turn.
func (n *Node) takeRequests(r request) {
	for range requestTurn {
		n.gate.Waited(time.Since(r.since), n.now())
		r.run()
		select {
		case r = <-n.requests:
		default:
			return
		}
	}
}

// standing is how a node stands, for goroutines that choose the way of a request by it. The loop publishes it; whatever
// follows from it is looked at again in the loop.
type standing struct {
	leads      bool
	leader     string
	trustUntil time.Time // of a leader: it is in touch until then
	touchUntil time.Time // of another node
}

func (s *standing) inTouch() bool {
	if s.leads {
		return time.Now().Before(s.trustUntil)
	}
	return time.Now().Before(s.touchUntil)
}

// publish tells the other goroutines how this node stands.
func (n *Node) publish() {
	s := standing{leads: n.role != nil}
	if n.leader != nil {
		s.leader = n.leader.Node
	}
	if n.role != nil {
		s.trustUntil = n.role.until
	} else if n.loaded {
		s.touchUntil = n.inTouch.Add(followFor + linkFresh)
	}
	if old := n.stands.Load(); old == nil || *old != s {
		n.stands.Store(&s)
	}
}

// standing tells whether this node leads or believes so, and whether it is in touch with the state service.
func (n *Node) standing() (leads, inTouch bool) {
	s := n.stands.Load()
	return s.leads, s.inTouch()
}
