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

// relayAgent is the follower side of relaying (relayAssignments is the leader side): it offers this controller to the
// leader as a relay, and forwards the leader's direct commands and probes to agents. heartbeatRouter forwards
// heartbeats while the leader accepts them according to relayState.
type relayAgent struct {
	*environment
	replica *replica
	term    *termState

	state *relayState
}

// relayState is the state of a relay: whether it relays for the leader, and the limits on forwarded requests. It is
// written by maintainRelay on the event loop, except for enabled, which the response to an offer sets. The goroutines
// of agents' connections and of the leader's requests read the atomic fields and acquire slots.
type relayState struct {
	leaderLink atomic.Pointer[rpc.Link] // to the leader; nil if this controller leads or cannot reach the leader
	enabled    atomic.Bool              // the leader accepts forwarded heartbeats
	reports    slots                    // heartbeats in flight
	commands   slots                    // direct commands in flight
	probes     slots                    // probes in flight
	offeredAt  time.Time                // when the last offer was sent
	offeredTo  *rpc.Link                // to which leader the last offer was sent
	// offersDisabled makes the controller behave like a version without relays, for tests.
	offersDisabled bool
}

// slots is a counting semaphore.
type slots chan struct{}

// tryAcquire acquires a slot if one is free, and reports whether it did.
func (s slots) tryAcquire() bool {
	select {
	case s <- struct{}{}:
		return true
	default:
		return false
	}
}

func (s slots) release() { <-s }

// reachableLeader returns the link to the leader, or nil if this controller cannot relay for it: it leads, has not
// loaded the log, or cannot reach the leader.
func (ry *relayAgent) reachableLeader() *rpc.Link {
	if ry.state.offersDisabled || ry.term.ownTerm != nil || !ry.replica.loaded || ry.term.leader == nil {
		return nil
	}
	link := ry.links[ry.term.leader.Node]
	if link == nil || time.Since(link.LastResponse()) >= linkTimeout {
		return nil
	}
	return link
}

// maintainRelay updates the link to the leader and offers this controller as a relay: to a new leader at once, and then
// once per offerInterval.
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

// offer offers this controller to the leader as a relay and stores whether the leader accepts forwarded heartbeats. If
// the leader does not respond, its previous response stays in effect.
func (s *relayState) offer(ctx context.Context, leader *rpc.Link, offer relay.Offer) {
	ctx, cancel := context.WithTimeout(ctx, offerInterval)
	defer cancel()
	reply, err := leader.Do(ctx, &rpc.Request{Op: rpc.OpRelayOffer, Body: offer.Append(nil)})
	if err != nil {
		return
	}
	enabled, err := relay.ReadOfferResponse(reply.Body)
	s.enabled.Store(reply.Status == http.StatusOK && err == nil && enabled)
}

// forwardProbe probes an agent on behalf of the leader.
func (ry *relayAgent) forwardProbe(ctx context.Context, request *rpc.Request) result.Result {
	if !ry.state.probes.tryAcquire() {
		return result.Overloaded{}
	}
	defer ry.state.probes.release()
	report, err := ry.agents.Probe(ctx, request.ID, probeTimeout)
	if err != nil {
		return result.Unavailable{}
	}
	return result.Done{Body: relay.AppendHeartbeat(nil, report)}
}

// forwardCommands sends a direct command to an agent on behalf of the leader.
func (ry *relayAgent) forwardCommands(ctx context.Context, request *rpc.Request) result.Result {
	batch, err := relay.ReadCommands(request.Body)
	if err != nil {
		return result.Invalid{Reason: err.Error()}
	}
	if !ry.state.commands.tryAcquire() {
		return result.Overloaded{}
	}
	defer ry.state.commands.release()
	outcome, report, _ := ry.agents.SendCommands(ctx, request.ID, batch)
	commandResult := relay.CommandResult{Outcome: uint8(outcome), Report: report}
	return result.Done{Body: commandResult.Append(nil)}
}
