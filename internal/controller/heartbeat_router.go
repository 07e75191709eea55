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

// heartbeatRouter brings a heartbeat to whoever may take it: as a relay to the leader, as the leader to heartbeats, and
// otherwise to followerKeepalives. It owns no state; by what was agreed with the leader it goes, which relayAgent has.
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
	// offerInterval is how often a controller offers itself as a relay, and offerTTL how long the leader counts on an
	// offer.
	offerInterval = time.Second
	offerTTL      = 3 * time.Second
	// minRelayed is how many heartbeats, and how many direct commands, a relay of any size may have under way.
	minRelayed = 256
	// relayTimeout is how long a relay waits for the leader's answer to a heartbeat. The agent's own timeout is 4 s,
	// and the relay still has to answer by itself.
	relayTimeout = 2 * time.Second
	// sweepInterval is how often the relay table, and what a follower keeps of agents, are swept.
	sweepInterval = 5 * time.Second
	// statusBusy is how a leader that is late answers a relayed heartbeat (result.Overloaded).
	statusBusy = http.StatusTooManyRequests
)

// Heartbeat answers an agent's heartbeat.
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

// forwardReport passes an agent's heartbeat on to the leader. It returns nil where this controller is no relay, or the
// one that it relays for leads no more, or is of an older version.
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
	request := &rpc.Request{Op: rpc.OpRelayReport, ID: hr.settings.Node, Body: relay.AppendReport(nil, report)}
	relayCtx, cancel := context.WithTimeout(ctx, relayTimeout)
	defer cancel()
	reply, err := target.Do(relayCtx, request)
	if err != nil || reply.Status == statusBusy {
		// The request's own time may be over with the relay's.
		return hr.renewRelayed(context.WithoutCancel(ctx), report)
	}
	switch reply.Status {
	case http.StatusOK, http.StatusMisdirectedRequest, http.StatusServiceUnavailable:
		hr.metrics.Relayed.Inc()
		return result.Forwarded{Response: reply}
	}
	return nil
}

// renewRelayed renews the lease of an agent whose heartbeat the leader did not take in time, as any controller does
// that does not reach the leader, and within the same bounds. Under overload this is what keeps running work alive.
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

// onRelayedReport takes a heartbeat that a relay passes on. One that the loop did not get to, or not through with, in
// time is Overloaded to the relay, which then renews the lease by itself.
func (hr *heartbeatRouter) onRelayedReport(ctx context.Context, request *rpc.Request) result.Result {
	report, err := relay.ReadReport(request.Body)
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
