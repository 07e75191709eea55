package controller

import (
	"context"
	"errors"
	"net/http"
	"time"

	"fieldhill/internal/agents/relay"
	"fieldhill/internal/model"
	"fieldhill/internal/platform/agent"
	"fieldhill/internal/result"
	"fieldhill/internal/rpc"
	"fieldhill/wire"
)

// relayAssignments is the leader's side of relaying, which spreads the agents of a large cell over its controllers: a
// relay ends agents' connections, passes each heartbeat on to the leader and the leader's answer back, and sends the
// leader's direct commands. internal/agents/relay decides which agent reports where; docs/REGIONS.md has the argument
// why nothing more is needed for the rules.
//
// It owns the assignments, which are forgotten with the term, and is written in the loop alone. What it sends,
// goroutines send that have looked the way up before.
type relayAssignments struct {
	*environment
	loop    *eventLoop
	replica *replica
	term    *termState

	// spreadThreshold is with more than how many machines agents are spread over the controllers; tests change it.
	spreadThreshold int
}

// relayAssignmentsTerm is what relayAssignments keeps for one term of leadership.
type relayAssignmentsTerm struct {
	table               *relay.Table // through which controller each machine reports
	acceptingNodes      []bool       // controllers that take more agents, by their index in the table
	lastRelayOffers     []model.Time // when they last offered to be relays; 0: never
	lastAssignmentSweep model.Time   // when the table was last swept
}

// errNotSent is the failure of a command or a probe that a relay did not send: it has too many under way, or is
// stopping.
var errNotSent = errors.New("controller: relay did not send the request")

// onRelayOffer answers a controller that offers itself as a relay.
func (ra *relayAssignments) onRelayOffer(ctx context.Context, request *rpc.Request) result.Result {
	offer, err := relay.ReadOffer(request.Body)
	if err != nil {
		return result.Invalid{Reason: err.Error()}
	}
	return ra.loop.answer(ctx, func(send func(result.Result)) {
		index := ra.memberIndex(offer.Node)
		if ra.term.ownTerm == nil || index == relay.Leader {
			send(result.NotLeader{})
			return
		}
		term := ra.term.ownTerm
		term.assignments.acceptingNodes[index] = offer.HasCapacity
		term.assignments.lastRelayOffers[index] = ra.now()
		send(result.Done{Body: relay.AppendOfferAnswer(nil, term.assignments.table.Spreading())})
	})
}

// memberIndex is a controller's index in the relay table; relay.Leader if there is no such controller.
func (ra *relayAssignments) memberIndex(node string) int {
	for i, m := range ra.settings.Members {
		if m.Node == node {
			return i + 1
		}
	}
	return relay.Leader
}

// redirectTarget tells whether an agent is to report through another controller, and through which.
func (ra *relayAssignments) redirectTarget(machine *model.Machine, node int) (to string, move bool) {
	term := ra.term.ownTerm
	now := ra.now()
	term.assignments.table.RecordReport(machine.Info.Name, node, now)
	if !machine.Contact.Reported || now-machine.Contact.LastReport > ra.leaseDuration()/4 {
		return "", false // its lease is renewed first: to find another controller takes time
	}
	open := func(index int) bool { return term.assignments.acceptingNodes[index] && ra.isRelay(index) }
	index, move := term.assignments.table.Redirect(machine.Info.Name, node, open, now)
	switch {
	case !move:
		return "", false
	case index == relay.Leader:
		return ra.settings.Node, true
	}
	return ra.settings.Members[index-1].Node, true
}

// isRelay tells whether a controller, by its index in the relay table, offered itself as a relay a moment ago and is
// reached.
func (ra *relayAssignments) isRelay(node int) bool {
	at := ra.term.ownTerm.assignments.lastRelayOffers[node]
	return at != 0 && ra.now()-at < offerTTL &&
		time.Since(ra.links[ra.settings.Members[node-1].Node].LastResponse()) < linkFreshness
}

// maintainAssignments decides from the size of the fleet whether agents are spread, and forgets those that are silent.
func (ra *relayAssignments) maintainAssignments(term *leaderTerm) {
	term.assignments.table.UpdateSpreading(len(ra.replica.model.Order), ra.spreadThreshold)
	if now := ra.now(); now-term.assignments.lastAssignmentSweep > sweepInterval {
		term.assignments.lastAssignmentSweep = now
		term.assignments.table.Forget(now - ra.silentAfter())
	}
}

// sendOrders sends a direct command, through the relay by which the machine reports, if there is one. A command whose
// relay is lost meanwhile may be executed at any later time, as one that a network delays.
func (ra *relayAssignments) sendOrders(
	ctx context.Context, via *rpc.Link, addr string, orders *wire.Orders,
) (agent.CommandFate, *wire.Heartbeat, error) {
	if via == nil {
		return ra.agents.SendOrders(ctx, addr, orders)
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

// relayFor is the link to the relay by which a machine reports; nil: it is sent commands from here.
func (ra *relayAssignments) relayFor(machine *model.Machine) *rpc.Link {
	i := ra.term.ownTerm.assignments.table.NodeOf(machine.Info.Name)
	if i == relay.Leader || !ra.isRelay(i) {
		return nil
	}
	return ra.links[ra.settings.Members[i-1].Node]
}

// routesTo is how a machine may be probed: through the controller by which it reports and, if that fails, one other
// way; nil stands for directly. A leader that is partitioned from agents whose relays are not must not take them for
// silent.
func (ra *relayAssignments) routesTo(machine *model.Machine) []*rpc.Link {
	if !ra.term.ownTerm.assignments.table.Spreading() {
		return []*rpc.Link{nil}
	}
	if via := ra.relayFor(machine); via != nil {
		return []*rpc.Link{via, nil}
	}
	for i, m := range ra.settings.Members {
		if ra.isRelay(i + 1) {
			return []*rpc.Link{nil, ra.links[m.Node]}
		}
	}
	return []*rpc.Link{nil}
}

// queryMachine asks an agent for its status, by one route after the other until it answers.
func (ra *relayAssignments) queryMachine(
	ctx context.Context, routes []*rpc.Link, addr string,
) (report *wire.Heartbeat, err error) {
	for _, via := range routes {
		if via == nil {
			report, err = ra.agents.Probe(ctx, addr, probeTimeout)
		} else {
			report, err = queryThrough(ctx, via, addr)
		}
		if err == nil {
			return report, nil
		}
	}
	return nil, err
}

// queryThrough asks an agent for its status through a relay, which has the time of a probe and some on the way.
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
