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

// passOn sends a request to the leader. ok is false if the leader can't be asked.
func (n *Node) passOn(ctx context.Context, c *rpc.Call, within time.Duration) (reply *rpc.Reply, ok bool) {
	to := n.stands.Load().leader
	l := n.links[to]
	if l == nil || time.Since(l.Heard()) > linkFresh {
		return nil, false
	}
	ctx, cancel := context.WithTimeout(ctx, within)
	defer cancel()
	r, err := l.Call(ctx, c)
	if err != nil {
		n.log.Debug("leader not reached", "leader", to, "err", err)
		return nil, false
	}
	return r, true
}

// elsewhere asks the other controllers, one after the other, for what this node
// can't answer: it leads no more, as far as it can tell, or reads the log no more,
// while others may do both.
func (n *Node) elsewhere(ctx context.Context, c *rpc.Call) (*rpc.Reply, bool) {
	for _, m := range n.set.Members {
		l := n.links[m.Node]
		if time.Since(l.Heard()) > linkFresh {
			continue
		}
		ctx, cancel := context.WithTimeout(ctx, 2*quickly)
		r, err := l.Call(ctx, c)
		cancel()
		if err == nil && r.Status != http.StatusServiceUnavailable {
			return r, true
		}
	}
	return nil, false
}

// byOthers asks the leader, if that is another node, and the rest if this one is out
// of touch with the state service.
func (n *Node) byOthers(ctx context.Context, c *rpc.Call, leads, inTouch bool) (*rpc.Reply, bool) {
	if !leads {
		if r, ok := n.passOn(ctx, c, quickly); ok && r.Status != http.StatusServiceUnavailable {
			return r, true
		}
	}
	if !inTouch {
		return n.elsewhere(ctx, c)
	}
	return nil, false
}

// answerPeer answers another controller.
func (n *Node) answerPeer(ctx context.Context, c *rpc.Call) *rpc.Reply {
	switch c.Op {
	case rpc.OpPing:
		return &rpc.Reply{Status: http.StatusOK, Body: n.stand.answer(c.Body)}
	case rpc.OpSubmit:
		switch leads, inTouch := n.standing(); {
		case leads:
			return n.submitHere(ctx, c.Body)
		case inTouch:
			return n.submitToIntake(ctx, c.Body)
		}
		return noLeader
	case rpc.OpStatus:
		num, ok := wire.JobNumber(c.ID)
		if leads, inTouch := n.standing(); ok && !leads {
			if !inTouch {
				return noLeader
			}
			return n.statusFromLog(ctx, model.JobID(num))
		}
		return n.statusHere(ctx, c.ID)
	case rpc.OpWhy, rpc.OpQueue:
		return n.answerOperator(ctx, c)
	case rpc.OpCancel:
		return n.cancelHere(ctx, c.ID)
	case rpc.OpDuty:
		return n.heardOfDuty(ctx, c)
	case rpc.OpRenewed:
		return n.tellRenewals(ctx, c)
	case rpc.OpVouch:
		return n.tellPast(ctx)
	case rpc.OpOffer:
		return n.takeOffer(ctx, c)
	case rpc.OpReport:
		return n.takeRelayed(ctx, c)
	case rpc.OpOrders:
		return n.passOrders(ctx, c)
	case rpc.OpShow:
		return n.passQuestion(ctx, c)
	}
	return api.Refuse(http.StatusNotImplemented, "unknown operation")
}
