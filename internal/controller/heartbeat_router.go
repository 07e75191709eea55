package controller

import (
	"context"
	"net/http"
	"time"

	"fieldhill/internal/agents/relay"
	"fieldhill/internal/result"
	"fieldhill/internal/rpc"
	"fieldhill/wire"
)

// heartbeatRouter passes each heartbeat to the component that handles it: to the leader if this controller is a relay,
// to heartbeats if it leads, and to followerKeepalives otherwise. It owns no state: relayAgent holds the agreement with
// the leader about whether this controller is a relay.
type heartbeatRouter struct {
	*environment
	heartbeats  *heartbeats
	keepalives  *followerKeepalives
	loop        *eventLoop
	relay       *relayAgent
	replica     *replica
	assignments *relayAssignments
	term        *termState
}

const (
	// offerInterval is how often a controller offers itself as a relay, and offerTTL how long an offer is valid at the
	// leader.
	offerInterval = time.Second
	offerTTL      = 3 * time.Second
	// minRelayLimit is the minimum of each of a relay's limits on concurrent heartbeats, direct commands and probes.
	minRelayLimit = 256
	// relayTimeout is how long a relay waits for the leader's response to a heartbeat. It is shorter than the agent's
	// own timeout of 4 s so that the relay has time to answer the agent itself.
	relayTimeout = 2 * time.Second
	// sweepInterval is how often expired entries are removed from the relay table and from the state of
	// followerKeepalives.
	sweepInterval = 5 * time.Second
	// statusOverloaded is the status of an overloaded leader's response to a relayed heartbeat (result.Overloaded).
	statusOverloaded = http.StatusTooManyRequests
)

// Heartbeat answers an agent's heartbeat. A relay forwards it to the leader; other controllers process it on the event
// loop.
func (hr *heartbeatRouter) Heartbeat(ctx context.Context, report *wire.Heartbeat) result.Result {
	if answer := hr.forwardReport(ctx, report); answer != nil {
		return answer
	}
	return hr.loop.answer(ctx, func(send func(result.Result)) {
		if hr.term.ownTerm != nil {
			hr.heartbeats.onReportAsLeader(report, relay.Leader, send)
			return
		}
		send(hr.keepalives.onReportAsFollower(report))
	})
}

// forwardReport forwards an agent's heartbeat to the leader. It returns nil if this controller is not a relay, or if
// the controller that it relays for no longer leads or runs an older version without relaying.
func (hr *heartbeatRouter) forwardReport(ctx context.Context, report *wire.Heartbeat) result.Result {
	state := hr.relay.state
	target := state.leaderLink.Load()
	if target == nil || !state.enabled.Load() {
		return nil
	}
	if !state.reports.tryAcquire() {
		return hr.renewRelayed(ctx, report)
	}
	defer state.reports.release()
	request := &rpc.Request{Op: rpc.OpRelayHeartbeat, ID: hr.settings.Node, Body: relay.AppendHeartbeat(nil, report)}
	relayCtx, cancel := context.WithTimeout(ctx, relayTimeout)
	defer cancel()
	reply, err := target.Do(relayCtx, request)
	if err != nil || reply.Status == statusOverloaded {
		// The request context may have expired together with the relay timeout.
		return hr.renewRelayed(context.WithoutCancel(ctx), report)
	}
	switch reply.Status {
	case http.StatusOK, http.StatusMisdirectedRequest, http.StatusServiceUnavailable:
		hr.metrics.Relayed.Inc()
		return result.Forwarded{Response: reply}
	}
	return nil
}

// renewRelayed renews the lease of an agent whose heartbeat this relay could not forward for lack of a free slot, or
// which the leader did not answer within relayTimeout or refused as overloaded. The rules and limits are those of a
// controller that cannot reach the leader. This keeps running tasks alive while the leader is overloaded.
func (hr *heartbeatRouter) renewRelayed(ctx context.Context, report *wire.Heartbeat) result.Result {
	hr.metrics.AnsweredLocally.Inc()
	return hr.loop.answer(ctx, func(send func(result.Result)) {
		switch {
		case hr.term.ownTerm != nil:
			hr.heartbeats.onReportAsLeader(report, relay.Leader, send)
		case !hr.replica.loaded:
			send(result.Redirected{})
		default:
			send(hr.keepalives.renewAsFollower(report))
		}
	})
}

// onRelayedReport processes a heartbeat forwarded by a relay. If the event loop does not answer within responseTimeout
// or its queue is full, the result is Overloaded, and the relay renews the lease itself.
func (hr *heartbeatRouter) onRelayedReport(ctx context.Context, request *rpc.Request) result.Result {
	report, err := relay.ReadHeartbeat(request.Body)
	if err != nil || report.Machine == "" || report.AgentEpoch == 0 {
		return result.Invalid{Reason: "malformed report"}
	}
	answer := hr.loop.answer(ctx, func(send func(result.Result)) {
		if node := hr.assignments.memberIndex(request.ID); hr.term.ownTerm != nil && node != relay.Leader {
			hr.heartbeats.onReportAsLeader(report, node, send)
			return
		}
		send(result.NotLeader{})
	})
	if _, notHandled := answer.(result.NotHandled); notHandled {
		return result.Overloaded{}
	}
	return answer
}
