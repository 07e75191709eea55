package controller

import (
	"context"
	"net/http"

	"fieldhill/internal/api"
	"fieldhill/internal/model"
	"fieldhill/internal/rpc"
	"fieldhill/wire"
)

// This file cancels jobs, which only the leader does.

// Cancel cancels a job.
func (n *Node) Cancel(ctx context.Context, id string) *rpc.Reply {
	if _, ok := wire.JobNumber(id); !ok {
		return api.Refuse(http.StatusNotFound, "no such job")
	}
	call := &rpc.Call{Op: rpc.OpCancel, ID: id}
	leads, inTouch := n.standing()
	if leads && inTouch {
		return n.cancelHere(ctx, id)
	}
	if !leads {
		if r, ok := n.passOn(ctx, call, answerWithin); ok && r.Status != http.StatusServiceUnavailable {
			return r
		}
	}
	if r, ok := n.elsewhere(ctx, call); ok {
		return r
	}
	if leads {
		return n.cancelHere(ctx, id)
	}
	return noLeader
}

func (n *Node) cancelHere(ctx context.Context, id string) *rpc.Reply {
	num, ok := wire.JobNumber(id)
	if !ok {
		return api.Refuse(http.StatusNotFound, "no such job")
	}
	if !n.lookIn(ctx, num) {
		return noLeader
	}
	return n.inLoop(ctx, func(send func(*rpc.Reply)) { n.cancel(model.JobID(num), send) })
}

func (n *Node) cancel(id model.JobID, send func(*rpc.Reply)) {
	if !n.active() {
		send(noLeader)
		return
	}
	j := n.m.Jobs[id]
	var seq uint64
	switch {
	case j == nil && n.m.Finals[id] == 0:
		send(api.Refuse(http.StatusNotFound, "no such job"))
		return
	case j == nil:
		seq = n.m.FinalAt(id)
	case j.Cancelled:
		seq = j.FinalSeq
	default:
		seq = n.propose(&model.Entry{Kind: model.EntryCancel, Job: id})
		j.CancelledFrom = n.now()
		n.stopAll(j)
		n.log.Debug("job cancelled", "job", wire.JobID(uint64(id)))
	}
	n.whenCommitted(seq, func(ok bool) {
		s := n.status(id)
		if !ok || s == nil {
			send(noLeader)
			return
		}
		send(api.Encode(http.StatusOK, s))
	})
}

// stopAll stops what a cancelled job has on machines, before the log has the cancellation: a stop that is sent in vain is decided again or made good
// by another start, and its user has no use for the job. So next to nothing of it starts after the user is told, which is when the log has it.
func (n *Node) stopAll(j *model.Job) {
	for i := range j.Tasks {
		if r := j.Tasks[i].Run; r != nil {
			n.stopped(r)
		}
	}
}
