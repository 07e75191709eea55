package controller

import (
	"context"
	"net/http"
	"time"

	"fieldhill/internal/agents/relay"
	"fieldhill/internal/api"
	"fieldhill/internal/rpc"
	"fieldhill/wire"
)

// heartbeatRouter brings a heartbeat to whoever may take it: the leader, by relay or here, or the keepalives.
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

// Heartbeat takes a worker's report.
func (hr *heartbeatRouter) Heartbeat(ctx context.Context, report *wire.Heartbeat) *rpc.Response {
	if reply := hr.forwardReport(ctx, report); reply != nil {
		return reply
	}
	return hr.loop.respond(ctx, func(send func(*rpc.Response)) {
		if hr.term.ownTerm != nil {
			hr.heartbeats.onReportAsLeader(report, relay.Leader, send)
			return
		}
		send(hr.keepalives.onReportAsFollower(report))
	})
}

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

// forwardReport passes a worker's report on to the leader. It returns nil where this node is no relay.
func (hr *heartbeatRouter) forwardReport(ctx context.Context, report *wire.Heartbeat) *rpc.Response {
	state := hr.relay.state
	target := state.leaderLink.Load()
	if target == nil || !state.enabled.Load() {
		return nil
	}
	if !state.reports.tryAcquire() {
		return hr.renewRelayed(ctx, report)
	}
	defer state.reports.release()
	ctx, cancel := context.WithTimeout(ctx, relayTimeout)
	defer cancel()
	reply, err := target.Do(
		ctx,
		&rpc.Request{Op: rpc.OpRelayReport, ID: hr.settings.Node, Body: relay.AppendReport(nil, report)},
	)
	switch {
	case err != nil || reply.Status == statusBusy:
		return hr.renewRelayed(hr.ctx, report)
	case reply.Status == http.StatusOK || reply.Status == http.StatusMisdirectedRequest || reply.Status == http.StatusServiceUnavailable:
		hr.metrics.Relayed.Inc()
		return reply
	}
	return nil // it leads no more, or is of an older version
}

// renewRelayed renews the lease of a worker whose report the leader did not take in time, as any node does that does
// not reach the leader, and within the same bounds. Under overload this is what keeps running work alive.
func (hr *heartbeatRouter) renewRelayed(ctx context.Context, report *wire.Heartbeat) *rpc.Response {
	hr.metrics.AnsweredLocally.Inc()
	return hr.loop.respond(ctx, func(send func(*rpc.Response)) {
		switch {
		case hr.term.ownTerm != nil:
			hr.heartbeats.onReportAsLeader(report, relay.Leader, send)
		case !hr.replica.loaded:
			send(api.Encode(http.StatusMisdirectedRequest, &wire.Redirect{}))
		default:
			send(hr.keepalives.renewAsFollower(report))
		}
	})
}

// onRelayedReport takes a report that a relay passes on.
func (hr *heartbeatRouter) onRelayedReport(ctx context.Context, request *rpc.Request) *rpc.Response {
	report, err := relay.ReadReport(request.Body)
	if err != nil || report.Machine == "" || report.AgentEpoch == 0 {
		return api.Refuse(http.StatusBadRequest, "malformed report")
	}
	reply := hr.loop.respond(ctx, func(send func(*rpc.Response)) {
		if node := hr.assignments.memberIndex(request.ID); hr.term.ownTerm != nil && node != relay.Leader {
			hr.heartbeats.onReportAsLeader(report, node, send)
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
