package controller

import (
	"context"
	"net/http"
	"sync/atomic"
	"time"

	"fieldhill/internal/agents/relay"
	"fieldhill/internal/api"
	"fieldhill/internal/model"
	"fieldhill/internal/platform/agent"
	"fieldhill/internal/rpc"
	"fieldhill/wire"
)

// This file spreads the workers of a large cell over its controllers. A relay ends workers' connections, passes each
// report on to the leader and the leader's answer back, and sends the leader's direct commands. internal/relay decides
// which worker reports where; docs/REGIONS.md has the argument why nothing more is needed for the rules.

const (
	// offerInterval is how often a node offers itself as a relay, and offerTTL how long the leader counts on an offer.
	offerInterval = time.Second
	offerTTL      = 3 * time.Second
	// minRelayed is how many reports, and how many direct commands, a relay of any size may have under way.
	minRelayed = 256
	// relayTimeout is how long a relay waits for the leader's answer to a report. The worker gives up after 4 s, and
	// the relay still has to answer by itself.
	relayTimeout = 2 * time.Second
	// sweepInterval is how often the table of seats is swept.
	sweepInterval = 5 * time.Second
	// statusBusy and statusNotLeader answer a relayed report that was not taken: the leader is late, or does not lead.
	statusBusy      = http.StatusTooManyRequests
	statusNotLeader = http.StatusGone
)

// relayedLimit bounds the reports, and the direct commands, that a relay has under way at the same time: no more than
// half of the connections that it ends. Pings and users' requests use the same link.
func relayedLimit(connections int) int { return max(minRelayed, connections/2) }

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

func newRelaying(connections, sockets int) *relaying {
	limit := relayedLimit(connections)
	return &relaying{
		reports: make(slots, limit), orders: make(slots, limit), probes: make(slots, relayedProbeLimit(sockets)),
	}
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
func (n *Controller) maintainRelay() {
	state := n.relayState
	var target *rpc.Link
	if n.ownTerm == nil && n.loaded && n.leader != nil {
		if link := n.links[n.leader.Node]; link != nil && time.Since(link.LastResponse()) < linkFreshness {
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
	offer := relay.Offer{Node: n.settings.Node, HasCapacity: !n.connLimiter.NearLimit()}
	go func() {
		ctx, cancel := context.WithTimeout(n.ctx, offerInterval)
		defer cancel()
		reply, err := target.Do(ctx, &rpc.Request{Op: rpc.OpRelayOffer, Body: offer.Append(nil)})
		if err != nil {
			return // what was agreed stands until the leader can be asked
		}
		enabled, err := relay.ReadOfferAnswer(reply.Body)
		state.enabled.Store(reply.Status == http.StatusOK && err == nil && enabled)
	}()
}

// onRelayOffer answers a node that offers itself as a relay.
func (n *Controller) onRelayOffer(ctx context.Context, request *rpc.Request) *rpc.Response {
	offer, err := relay.ReadOffer(request.Body)
	if err != nil {
		return api.Refuse(http.StatusBadRequest, err.Error())
	}
	return n.respond(ctx, func(send func(*rpc.Response)) {
		index := n.memberIndex(offer.Node)
		if n.ownTerm == nil || index == relay.Leader {
			send(&rpc.Response{Status: statusNotLeader})
			return
		}
		term := n.ownTerm
		term.acceptingNodes[index], term.lastRelayOffers[index] = offer.HasCapacity, n.now()
		send(&rpc.Response{Status: http.StatusOK, Body: relay.AppendOfferAnswer(nil, term.relayAssignments.Spreading())})
	})
}

// memberIndex is a member's index in the table of seats; relay.Leader if there is no such member.
func (n *Controller) memberIndex(node string) int {
	for i, m := range n.settings.Members {
		if m.Node == node {
			return i + 1
		}
	}
	return relay.Leader
}

// forwardReport passes a worker's report on to the leader. It returns nil where this node is no relay.
func (n *Controller) forwardReport(ctx context.Context, report *wire.Heartbeat) *rpc.Response {
	state := n.relayState
	target := state.leaderLink.Load()
	if target == nil || !state.enabled.Load() {
		return nil
	}
	if !state.reports.tryAcquire() {
		return n.renewRelayed(ctx, report)
	}
	defer state.reports.release()
	ctx, cancel := context.WithTimeout(ctx, relayTimeout)
	defer cancel()
	reply, err := target.Do(ctx, &rpc.Request{Op: rpc.OpRelayReport, ID: n.settings.Node, Body: relay.AppendReport(nil, report)})
	switch {
	case err != nil || reply.Status == statusBusy:
		return n.renewRelayed(n.ctx, report)
	case reply.Status == http.StatusOK || reply.Status == http.StatusMisdirectedRequest || reply.Status == http.StatusServiceUnavailable:
		n.metrics.Relayed.Inc()
		return reply
	}
	return nil // it leads no more, or is of an older version
}

// renewRelayed renews the lease of a worker whose report the leader did not take in time, as any node does that does not
// reach the leader, and within the same bounds. Under overload this is what keeps running work alive.
func (n *Controller) renewRelayed(ctx context.Context, report *wire.Heartbeat) *rpc.Response {
	n.metrics.AnsweredLocally.Inc()
	return n.respond(ctx, func(send func(*rpc.Response)) {
		switch {
		case n.ownTerm != nil:
			n.onReportAsLeader(report, relay.Leader, send)
		case !n.loaded:
			send(api.Encode(http.StatusMisdirectedRequest, &wire.Redirect{}))
		default:
			send(n.renewAsFollower(report))
		}
	})
}

// onRelayedReport takes a report that a relay passes on.
func (n *Controller) onRelayedReport(ctx context.Context, request *rpc.Request) *rpc.Response {
	report, err := relay.ReadReport(request.Body)
	if err != nil || report.Machine == "" || report.AgentEpoch == 0 {
		return api.Refuse(http.StatusBadRequest, "malformed report")
	}
	reply := n.respond(ctx, func(send func(*rpc.Response)) {
		if node := n.memberIndex(request.ID); n.ownTerm != nil && node != relay.Leader {
			n.onReportAsLeader(report, node, send)
			return
		}
		send(&rpc.Response{Status: statusNotLeader})
	})
	switch reply {
	case loopBusyResponse, loopSlowResponse, canceledResponse, stoppingResponse:
		return &rpc.Response{Status: statusBusy}
	}
	return reply
}

// redirectTarget tells whether a worker is to report through another node, and to which.
func (n *Controller) redirectTarget(machine *model.Machine, node int) (to string, move bool) {
	term := n.ownTerm
	now := n.now()
	term.relayAssignments.RecordReport(machine.Info.Name, node, now)
	if !machine.Reported || now-machine.LastReport > n.leaseDuration()/4 {
		return "", false // its lease is renewed first: to look for another node takes time
	}
	open := func(index int) bool { return term.acceptingNodes[index] && n.isRelay(index) }
	index, move := term.relayAssignments.Redirect(machine.Info.Name, node, open, now)
	switch {
	case !move:
		return "", false
	case index == relay.Leader:
		return n.settings.Node, true
	}
	return n.settings.Members[index-1].Node, true
}

// isRelay tells whether a node, by its index in the table of seats, offered itself as a relay a moment ago and is reached.
func (n *Controller) isRelay(node int) bool {
	at := n.ownTerm.lastRelayOffers[node]
	return at != 0 && n.now()-at < offerTTL && time.Since(n.links[n.settings.Members[node-1].Node].LastResponse()) < linkFreshness
}

// maintainAssignments is the leader's part of the housekeeping.
func (n *Controller) maintainAssignments(term *leaderTerm) {
	term.relayAssignments.UpdateSpreading(len(n.model.Order), n.spreadThreshold)
	if now := n.now(); now-term.lastAssignmentSweep > sweepInterval {
		term.lastAssignmentSweep = now
		term.relayAssignments.Forget(now - n.silentAfter())
	}
}

// sendOrders sends a direct command, through the relay by which the machine reports, if there is one. A command whose
// relay is lost meanwhile may be executed at any later time, as one that a network holds.
func (n *Controller) sendOrders(ctx context.Context, via *rpc.Link, addr string, orders *wire.Orders) (agent.CommandFate, *wire.Heartbeat, error) {
	if via == nil {
		return n.agents.SendOrders(ctx, addr, orders)
	}
	ctx, cancel := context.WithTimeout(ctx, ordersTimeout+time.Second)
	defer cancel()
	reply, err := via.Do(ctx, &rpc.Request{Op: rpc.OpRelayOrders, ID: addr, Body: relay.AppendOrders(nil, orders)})
	switch {
	case rpc.IsNotSent(err):
		return agent.Unsent, nil, err
	case err != nil:
		return agent.Unknown, nil, err
	case reply.Status != http.StatusOK:
		return agent.Unsent, nil, errNotSent
	}
	outcome, err := relay.ReadCommandResult(reply.Body)
	if err != nil || outcome.Fate > uint8(agent.Unknown) {
		return agent.Unknown, nil, relay.ErrMalformed
	}
	return agent.CommandFate(outcome.Fate), outcome.Report, nil
}

// relayFor is the link to the relay by which a machine reports; nil: it is commanded from here.
func (n *Controller) relayFor(machine *model.Machine) *rpc.Link {
	i := n.ownTerm.relayAssignments.NodeOf(machine.Info.Name)
	if i == relay.Leader || !n.isRelay(i) {
		return nil
	}
	return n.links[n.settings.Members[i-1].Node]
}

// routesTo is how a machine may be asked: by the node through which it reports and, if that fails, by one other way; nil
// stands for from here. A leader that is cut off from workers whose relays are not must not take them for silent.
func (n *Controller) routesTo(machine *model.Machine) []*rpc.Link {
	if !n.ownTerm.relayAssignments.Spreading() {
		return []*rpc.Link{nil}
	}
	if via := n.relayFor(machine); via != nil {
		return []*rpc.Link{via, nil}
	}
	for i, m := range n.settings.Members {
		if n.isRelay(i + 1) {
			return []*rpc.Link{nil, n.links[m.Node]}
		}
	}
	return []*rpc.Link{nil}
}

// queryMachine asks a worker how it is, by one way after the other until it answers.
func (n *Controller) queryMachine(ctx context.Context, routes []*rpc.Link, addr string) (report *wire.Heartbeat, err error) {
	for _, via := range routes {
		if via == nil {
			report, err = n.agents.Probe(ctx, addr, probeTimeout)
		} else {
			report, err = queryThrough(ctx, via, addr)
		}
		if err == nil {
			return report, nil
		}
	}
	return nil, err
}

func queryThrough(ctx context.Context, via *rpc.Link, addr string) (*wire.Heartbeat, error) {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout+probeTimeout/4)
	defer cancel()
	reply, err := via.Do(ctx, &rpc.Request{Op: rpc.OpRelayProbe, ID: addr})
	if err != nil {
		return nil, err
	}
	if reply.Status != http.StatusOK {
		return nil, errNotSent
	}
	return relay.ReadReport(reply.Body)
}

// forwardQuery asks a worker for the leader.
func (n *Controller) forwardQuery(ctx context.Context, request *rpc.Request) *rpc.Response {
	if !n.relayState.probes.tryAcquire() {
		return &rpc.Response{Status: statusBusy}
	}
	defer n.relayState.probes.release()
	report, err := n.agents.Probe(ctx, request.ID, probeTimeout)
	if err != nil {
		return &rpc.Response{Status: http.StatusServiceUnavailable}
	}
	return &rpc.Response{Status: http.StatusOK, Body: relay.AppendReport(nil, report)}
}

// forwardOrders sends a direct command for the leader.
func (n *Controller) forwardOrders(ctx context.Context, request *rpc.Request) *rpc.Response {
	orders, err := relay.ReadOrders(request.Body)
	if err != nil {
		return api.Refuse(http.StatusBadRequest, err.Error())
	}
	if !n.relayState.orders.tryAcquire() {
		return &rpc.Response{Status: statusBusy}
	}
	defer n.relayState.orders.release()
	fate, report, _ := n.agents.SendOrders(ctx, request.ID, orders)
	return &rpc.Response{Status: http.StatusOK, Body: relay.CommandResult{Fate: uint8(fate), Report: report}.Append(nil)}
}
