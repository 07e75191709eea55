package controller

import (
	"context"
	"net/http"
	"time"

	"fieldhill/internal/api"
	"fieldhill/internal/model"
	"fieldhill/internal/rpc"
	"fieldhill/wire"
)

// This file is what controllers ask each other for.

// toLeader sends a request to the leader. ok is false if the leader can't be asked.
func (n *Controller) toLeader(ctx context.Context, request *rpc.Request, timeout time.Duration) (response *rpc.Response, ok bool) {
	leader := n.routing.Load().leader
	link := n.links[leader]
	if link == nil || time.Since(link.LastResponse()) > linkFreshness {
		return nil, false
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	r, err := link.Do(ctx, request)
	if err != nil {
		n.log.Debug("leader unreachable", "leader", leader, "err", err)
		return nil, false
	}
	return r, true
}

// toOthers asks the other controllers, one after the other, for what this node
// can't answer: it leads no more, as far as it can tell, or reads the log no more,
// while others may do both.
func (n *Controller) toOthers(ctx context.Context, request *rpc.Request) (*rpc.Response, bool) {
	for _, m := range n.settings.Members {
		link := n.links[m.Node]
		if time.Since(link.LastResponse()) > linkFreshness {
			continue
		}
		ctx, cancel := context.WithTimeout(ctx, 2*forwardTimeout)
		response, err := link.Do(ctx, request)
		cancel()
		if err == nil && response.Status != http.StatusServiceUnavailable {
			return response, true
		}
	}
	return nil, false
}

// toLeaderOrOthers asks the leader, if that is another node, and the rest if this one is out
// of touch with the state service.
func (n *Controller) toLeaderOrOthers(ctx context.Context, request *rpc.Request, leads, storeReachable bool) (*rpc.Response, bool) {
	if !leads {
		if response, ok := n.toLeader(ctx, request, forwardTimeout); ok && response.Status != http.StatusServiceUnavailable {
			return response, true
		}
	}
	if !storeReachable {
		return n.toOthers(ctx, request)
	}
	return nil, false
}

// handlePeerRequest answers another controller.
func (n *Controller) handlePeerRequest(ctx context.Context, request *rpc.Request) *rpc.Response {
	switch request.Op {
	case rpc.OpPing:
		return &rpc.Response{Status: http.StatusOK, Body: n.eligibility.respond(request.Body)}
	case rpc.OpSubmit:
		switch leads, storeReachable := n.routingState(); {
		case leads:
			return n.submitAsLeader(ctx, request.Body)
		case storeReachable:
			return n.submitToIntake(ctx, request.Body)
		}
		return noLeaderResponse
	case rpc.OpStatus:
		jobNumber, ok := wire.JobNumber(request.ID)
		if leads, storeReachable := n.routingState(); ok && !leads {
			if !storeReachable {
				return noLeaderResponse
			}
			return n.answerFromReplica(ctx, model.JobID(jobNumber))
		}
		return n.answerAsLeader(ctx, request.ID)
	case rpc.OpPendingReasons, rpc.OpQueue:
		return n.handleAdminRequest(ctx, request)
	case rpc.OpCancel:
		return n.cancelAsLeader(ctx, request.ID)
	case rpc.OpRoleResult:
		return n.onRoleReport(ctx, request)
	case rpc.OpRenewals:
		return n.replyRenewals(ctx, request)
	case rpc.OpWatermark:
		return n.replyWatermarks(ctx)
	case rpc.OpRelayOffer:
		return n.onRelayOffer(ctx, request)
	case rpc.OpRelayReport:
		return n.onRelayedReport(ctx, request)
	case rpc.OpRelayOrders:
		return n.forwardOrders(ctx, request)
	case rpc.OpRelayProbe:
		return n.forwardQuery(ctx, request)
	}
	return api.Refuse(http.StatusNotImplemented, "unknown operation")
}
