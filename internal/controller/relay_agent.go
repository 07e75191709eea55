package controller

import (
	"context"
	"net/http"
	"sync/atomic"
	"time"

	"fieldhill/internal/agents/relay"
	"fieldhill/internal/result"
	"fieldhill/internal/rpc"
)

// relayAgent is a follower's part in relaying (relayAssignments has the leader's): it offers itself to the leader, and
// passes the leader's direct commands and probes on to agents. Heartbeats are passed on by heartbeatRouter, by what is
// agreed here.
type relayAgent struct {
	*environment
	replica *replica
	term    *termState

	state *relaying
}

// relaying is what a controller has agreed with the leader as its relay, and what it has under way for it.
// maintainRelay alone writes it, in the loop, and the answer to its offer the flag enabled; the goroutines of agents'
// connections and of the leader's calls read the atomic fields and take slots.
type relaying struct {
	leaderLink atomic.Pointer[rpc.Link] // to the leader; nil: this controller leads, or does not reach one
	enabled    atomic.Bool              // the leader wants heartbeats passed on
	reports    slots                    // heartbeats under way
	orders     slots                    // direct commands under way
	probes     slots                    // probes under way
	offeredAt  time.Time
	offeredTo  *rpc.Link
	// neverOffers is for tests: the controller behaves as one of a version without relays.
	neverOffers bool
}

// slots bounds what is under way at the same time.
type slots chan struct{}

// tryAcquire takes a slot, if one is free.
func (s slots) tryAcquire() bool {
	select {
	case s <- struct{}{}:
		return true
	default:
		return false
	}
}

// release gives a slot back.
func (s slots) release() { <-s }

// reachableLeader is the link to the leader, if it may be relayed for; nil: this controller leads, or does not reach
// it.
func (ry *relayAgent) reachableLeader() *rpc.Link {
	if ry.state.neverOffers || ry.term.ownTerm != nil || !ry.replica.loaded || ry.term.leader == nil {
		return nil
	}
	link := ry.links[ry.term.leader.Node]
	if link == nil || time.Since(link.LastResponse()) >= linkFreshness {
		return nil
	}
	return link
}

// maintainRelay keeps the link to the leader up to date and offers this controller as a relay.
func (ry *relayAgent) maintainRelay() {
	state := ry.state
	target := ry.reachableLeader()
	state.leaderLink.Store(target)
	if target == nil || target == state.offeredTo && time.Since(state.offeredAt) < offerInterval {
		return
	}
	state.offeredTo, state.offeredAt = target, time.Now()
	go state.offer(ry.ctx, target, relay.Offer{Node: ry.settings.Node, HasCapacity: !ry.connLimiter.NearLimit()})
}

// offer offers this controller to the leader and keeps its answer. What was agreed holds until the leader answers
// again.
func (s *relaying) offer(ctx context.Context, leader *rpc.Link, offer relay.Offer) {
	ctx, cancel := context.WithTimeout(ctx, offerInterval)
	defer cancel()
	reply, err := leader.Do(ctx, &rpc.Request{Op: rpc.OpRelayOffer, Body: offer.Append(nil)})
	if err != nil {
		return
	}
	enabled, err := relay.ReadOfferAnswer(reply.Body)
	s.enabled.Store(reply.Status == http.StatusOK && err == nil && enabled)
}

// forwardQuery asks an agent for its status for the leader.
func (ry *relayAgent) forwardQuery(ctx context.Context, request *rpc.Request) result.Result {
	if !ry.state.probes.tryAcquire() {
		return result.Overloaded{}
	}
	defer ry.state.probes.release()
	report, err := ry.agents.Probe(ctx, request.ID, probeTimeout)
	if err != nil {
		return result.Unavailable{}
	}
	return result.Done{Body: relay.AppendReport(nil, report)}
}

// forwardOrders sends a direct command for the leader.
func (ry *relayAgent) forwardOrders(ctx context.Context, request *rpc.Request) result.Result {
	orders, err := relay.ReadOrders(request.Body)
	if err != nil {
		return result.Invalid{Reason: err.Error()}
	}
	if !ry.state.orders.tryAcquire() {
		return result.Overloaded{}
	}
	defer ry.state.orders.release()
	fate, report, _ := ry.agents.SendOrders(ctx, request.ID, orders)
	outcome := relay.CommandResult{Fate: uint8(fate), Report: report}
	return result.Done{Body: outcome.Append(nil)}
}
