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

// relayAssignments is the leader side of relaying, which distributes the agents of a large fleet across the
// controllers: a relay terminates agents' connections, forwards each heartbeat to the leader and the leader's response
// back, and sends the leader's direct commands. Package internal/agents/relay decides through which controller each
// agent sends its heartbeats; docs/REGIONS.md explains why relaying needs no further safety rules.
//
// It owns the assignments, which are discarded at the end of the term and written on the event loop only. Routes are
// looked up on the event loop before goroutines send requests over them.
type relayAssignments struct {
	*environment
	loop    *eventLoop
	replica *replica
	term    *termState

	// spreadThreshold is the number of machines above which agents are distributed across the controllers; overridden
	// by tests.
	spreadThreshold int
}

// relayAssignmentsTerm is the state of relayAssignments for one leadership term.
type relayAssignmentsTerm struct {
	table               *relay.Table // through which controller each machine sends its heartbeats
	acceptingNodes      []bool       // whether each controller accepts more agents, by index in the table
	lastRelayOffers     []model.Time // when each controller last offered itself as a relay; 0 if never
	lastAssignmentSweep model.Time   // when silent agents were last removed from the table
}

// errNotForwarded is returned for a command or a probe that a relay did not send because the relay has too many
// requests in flight or is shutting down.
var errNotForwarded = errors.New("controller: relay did not send the request")

// onRelayOffer records another controller's offer to act as a relay, and whether that controller accepts more agents.
// The response states whether the leader distributes agents across the controllers.
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
		send(result.Done{Body: relay.AppendOfferResponse(nil, term.assignments.table.Spreading())})
	})
}

// memberIndex returns a controller's index in the relay table, or relay.Leader if there is no such controller.
func (ra *relayAssignments) memberIndex(node string) int {
	for i, m := range ra.settings.Members {
		if m.Node == node {
			return i + 1
		}
	}
	return relay.Leader
}

// redirectTarget records in the relay table that a machine's heartbeat arrived at the given controller, and reports
// whether the agent is to send its heartbeats through another controller, whose node it returns.
func (ra *relayAssignments) redirectTarget(machine *model.Machine, node int) (to string, move bool) {
	term := ra.term.ownTerm
	now := ra.now()
	term.assignments.table.RecordReport(machine.Info.Name, node, now)
	if !machine.Contact.Reported || now-machine.Contact.LastReport > ra.leaseDuration()/4 {
		return "", false // renew the agent's lease first: connecting to another controller takes time
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

// isRelay reports whether a controller, given by its index in the relay table, has offered itself as a relay within
// offerTTL and is reachable.
func (ra *relayAssignments) isRelay(node int) bool {
	at := ra.term.ownTerm.assignments.lastRelayOffers[node]
	return at != 0 && ra.now()-at < offerTTL &&
		time.Since(ra.links[ra.settings.Members[node-1].Node].LastResponse()) < linkTimeout
}

// maintainAssignments decides by the size of the fleet whether agents are distributed across the controllers, and
// removes the assignments of silent agents.
func (ra *relayAssignments) maintainAssignments(term *leaderTerm) {
	term.assignments.table.UpdateSpreading(len(ra.replica.model.MachinesInOrder), ra.spreadThreshold)
	if now := ra.now(); now-term.assignments.lastAssignmentSweep > sweepInterval {
		term.assignments.lastAssignmentSweep = now
		term.assignments.table.Forget(now - ra.silentAfter())
	}
}

// sendCommands sends a direct command, through the given relay or, if via is nil, directly. If the relay is lost while
// the command is in flight, the command may be executed at any later time, like a command that is delayed in the
// network.
func (ra *relayAssignments) sendCommands(
	ctx context.Context, via *rpc.Link, addr string, batch *wire.CommandBatch,
) (agent.CommandOutcome, *wire.Heartbeat, error) {
	if via == nil {
		return ra.agents.SendCommands(ctx, addr, batch)
	}
	ctx, cancel := context.WithTimeout(ctx, directCommandTimeout+time.Second)
	defer cancel()
	reply, err := via.Do(ctx, &rpc.Request{Op: rpc.OpRelayCommands, ID: addr, Body: relay.AppendCommands(nil, batch)})
	switch {
	case rpc.IsNotSent(err):
		return agent.Unsent, nil, err
	case err != nil:
		return agent.Unknown, nil, err
	case reply.Status != http.StatusOK:
		return agent.Unsent, nil, errNotForwarded
	}
	commandResult, err := relay.ReadCommandResult(reply.Body)
	if err != nil || commandResult.Outcome > uint8(agent.Unknown) {
		return agent.Unknown, nil, relay.ErrMalformed
	}
	return agent.CommandOutcome(commandResult.Outcome), commandResult.Report, nil
}

// relayFor returns the link to the relay through which a machine sends its heartbeats, or nil if commands are sent to
// the machine directly.
func (ra *relayAssignments) relayFor(machine *model.Machine) *rpc.Link {
	i := ra.term.ownTerm.assignments.table.ControllerOf(machine.Info.Name)
	if i == relay.Leader || !ra.isRelay(i) {
		return nil
	}
	return ra.links[ra.settings.Members[i-1].Node]
}

// routesTo returns the routes over which to probe a machine; nil stands for a direct connection. The first route leads
// through the relay that receives the machine's heartbeats, or is direct if there is none. While agents are
// distributed, an alternative follows if there is one: it keeps a leader that is partitioned from agents from treating
// them as silent while a relay can reach them.
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

// probeOverRoutes probes an agent over one route after the other until it responds.
func (ra *relayAssignments) probeOverRoutes(
	ctx context.Context, routes []*rpc.Link, addr string,
) (report *wire.Heartbeat, err error) {
	for _, via := range routes {
		if via == nil {
			report, err = ra.agents.Probe(ctx, addr, probeTimeout)
		} else {
			report, err = probeThroughRelay(ctx, via, addr)
		}
		if err == nil {
			return report, nil
		}
	}
	return nil, err
}

// probeThroughRelay probes an agent through a relay. Its timeout is that of a probe plus a margin for the link to the
// relay.
func probeThroughRelay(ctx context.Context, via *rpc.Link, addr string) (*wire.Heartbeat, error) {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout+probeTimeout/4)
	defer cancel()
	reply, err := via.Do(ctx, &rpc.Request{Op: rpc.OpRelayProbe, ID: addr})
	if err != nil {
		return nil, err
	}
	if reply.Status != http.StatusOK {
		return nil, errNotForwarded
	}
	return relay.ReadHeartbeat(reply.Body)
}
