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
func (n *Controller) Cancel(ctx context.Context, id string) *rpc.Response {
	if _, ok := wire.JobNumber(id); !ok {
		return api.Refuse(http.StatusNotFound, "no such job")
	}
	request := &rpc.Request{Op: rpc.OpCancel, ID: id}
	leads, storeReachable := n.routingState()
	if leads && storeReachable {
		return n.cancelAsLeader(ctx, id)
	}
	if !leads {
		if response, ok := n.toLeader(ctx, request, responseTimeout); ok && response.Status != http.StatusServiceUnavailable {
			return response
		}
	}
	if response, ok := n.toOthers(ctx, request); ok {
		return response
	}
	if leads {
		return n.cancelAsLeader(ctx, id)
	}
	return noLeaderResponse
}

func (n *Controller) cancelAsLeader(ctx context.Context, id string) *rpc.Response {
	jobNumber, ok := wire.JobNumber(id)
	if !ok {
		return api.Refuse(http.StatusNotFound, "no such job")
	}
	if !n.resolve(ctx, jobNumber) {
		return noLeaderResponse
	}
	return n.respond(ctx, func(send func(*rpc.Response)) { n.cancelJob(model.JobID(jobNumber), send) })
}

func (n *Controller) cancelJob(id model.JobID, send func(*rpc.Response)) {
	if !n.isActive() {
		send(noLeaderResponse)
		return
	}
	job := n.model.Jobs[id]
	var seq uint64
	switch {
	case job == nil && n.model.Finals[id] == 0:
		send(api.Refuse(http.StatusNotFound, "no such job"))
		return
	case job == nil:
		seq = n.model.FinalSeq(id)
	case job.Cancelled:
		seq = job.FinalSeq
	default:
		seq = n.propose(&model.Entry{Kind: model.EntryCancel, Job: id})
		job.CancelledFrom = n.now()
		n.stopJobRuns(job)
		n.log.Debug("job cancelled", "job", wire.JobID(uint64(id)))
	}
	n.whenCommitted(seq, func(ok bool) {
		status := n.committedStatus(id)
		if !ok || status == nil {
			send(noLeaderResponse)
			return
		}
		send(api.Encode(http.StatusOK, status))
	})
}

// stopJobRuns stops what a cancelled job has on machines, before the log has the cancellation: a stop that is sent in vain is decided again or made good
// by another start, and its user has no use for the job. So next to nothing of it starts after the user is told, which is when the log has it.
func (n *Controller) stopJobRuns(job *model.Job) {
	for i := range job.Tasks {
		if r := job.Tasks[i].Run; r != nil {
			n.stopRun(r)
		}
	}
}
