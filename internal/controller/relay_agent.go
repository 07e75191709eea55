package controller

import (
	"context"
	"net/http"
	"sync/atomic"
	"time"

	"fieldhill/internal/agents/relay"
	"fieldhill/internal/api"
	"fieldhill/internal/rpc"
)

// relayAgent is this follower's part as a relay: it offers itself, and passes commands and questions on to agents.
type relayAgent struct {
	*environment
	replica *replica
	term    *termState

	// state is this node's part in ending workers' connections for the leader.
	state *relaying
}

// relaying is this node as a relay. The loop writes it; the goroutines of workers' connections read it.
type relaying struct {
	leaderLink atomic.Pointer[rpc.Link] // to the leader; nil: this node leads, or does not reach one
	enabled    atomic.Bool              // the leader wants reports passed on
	reports    slots                    // reports under way
	orders     slots                    // direct commands under way
	probes     slots                    // questions under way
	offeredAt  time.Time
	offeredTo  *rpc.Link
	// neverOffers is for tests: the node behaves as one of a version without relays.
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

func (s slots) release() { <-s }

// maintainRelay keeps the way to the leader up to date and offers this node as a relay.
func (ry *relayAgent) maintainRelay() {
	state := ry.state
	var target *rpc.Link
	if ry.term.ownTerm == nil && ry.replica.loaded && ry.term.leader != nil {
		if link := ry.links[ry.term.leader.Node]; link != nil && time.Since(link.LastResponse()) < linkFreshness {
			target = link
		}
	}
	if state.neverOffers {
		target = nil
	}
	state.leaderLink.Store(target)
	if target == nil || target == state.offeredTo && time.Since(state.offeredAt) < offerInterval {
		return
	}
	state.offeredTo, state.offeredAt = target, time.Now()
	offer := relay.Offer{Node: ry.settings.Node, HasCapacity: !ry.connLimiter.NearLimit()}
	go func() {
		ctx, cancel := context.WithTimeout(ry.ctx, offerInterval)
		defer cancel()
		reply, err := target.Do(ctx, &rpc.Request{Op: rpc.OpRelayOffer, Body: offer.Append(nil)})
		if err != nil {
			return // what was agreed stands until the leader can be asked
		}
		enabled, err := relay.ReadOfferAnswer(reply.Body)
		state.enabled.Store(reply.Status == http.StatusOK && err == nil && enabled)
	}()
}

// forwardQuery asks a worker for the leader.
func (ry *relayAgent) forwardQuery(ctx context.Context, request *rpc.Request) *rpc.Response {
	if !ry.state.probes.tryAcquire() {
		return &rpc.Response{Status: statusBusy}
	}
	defer ry.state.probes.release()
	report, err := ry.agents.Probe(ctx, request.ID, probeTimeout)
	if err != nil {
		return &rpc.Response{Status: http.StatusServiceUnavailable}
	}
	return &rpc.Response{Status: http.StatusOK, Body: relay.AppendReport(nil, report)}
}

// forwardOrders sends a direct command for the leader.
func (ry *relayAgent) forwardOrders(ctx context.Context, request *rpc.Request) *rpc.Response {
	orders, err := relay.ReadOrders(request.Body)
	if err != nil {
		return api.Refuse(http.StatusBadRequest, err.Error())
	}
	if !ry.state.orders.tryAcquire() {
		return &rpc.Response{Status: statusBusy}
	}
	defer ry.state.orders.release()
	fate, report, _ := ry.agents.SendOrders(ctx, request.ID, orders)
	return &rpc.Response{
		Status: http.StatusOK,
		Body:   relay.CommandResult{Fate: uint8(fate), Report: report}.Append(nil),
	}
}
