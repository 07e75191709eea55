package controller

import (
	"context"

	"fieldhill/internal/model"
	"fieldhill/internal/result"
	"fieldhill/internal/rpc"
	"fieldhill/wire"
)

// cancellations cancels jobs and stops their tasks. Only the leader cancels a job, by committing a log entry; other
// controllers forward the request. The component is stateless: the cancelled flag is part of the model.
type cancellations struct {
	*environment
	commits   *commitPipeline
	dispatch  *commandDispatcher
	forward   *forwarder
	intake    *intake
	loop      *eventLoop
	replica   *replica
	jobStatus *jobStatus
	term      *termState
}

// Cancel cancels a job and returns its state. If this controller does not lead, or cannot reach the key-value store, it
// first forwards the request to another controller.
func (cn *cancellations) Cancel(ctx context.Context, id string) result.Result {
	if _, ok := wire.ParseJobID(id); !ok {
		return noSuchJob
	}
	request := &rpc.Request{Op: rpc.OpCancel, ID: id}
	leads, storeReachable := cn.forward.routingState()
	if leads && storeReachable {
		return cn.cancelAsLeader(ctx, id)
	}
	if !leads {
		answer, ok := cn.forward.toLeader(ctx, request, responseTimeout)
		if ok && !result.IsUnavailable(answer) {
			return answer
		}
	}
	if answer, ok := cn.forward.toOthers(ctx, request); ok {
		return answer
	}
	if leads {
		return cn.cancelAsLeader(ctx, id)
	}
	return result.NoLeader{}
}

// cancelAsLeader cancels a job as the leader. If the model does not contain the job, the leader first reads the job's
// intake record, because another controller may have accepted the job.
func (cn *cancellations) cancelAsLeader(ctx context.Context, id string) result.Result {
	jobNumber, ok := wire.ParseJobID(id)
	if !ok {
		return noSuchJob
	}
	if !cn.intake.resolve(ctx, jobNumber) {
		return result.NoLeader{}
	}
	return cn.loop.answer(ctx, func(send func(result.Result)) { cn.cancelJob(model.JobID(jobNumber), send) })
}

// cancelJob cancels a job on the event loop. It sends the job's state once the cancellation is committed or, if the job
// was already done or cancelled, once that final state is committed.
func (cn *cancellations) cancelJob(id model.JobID, send func(result.Result)) {
	if !cn.term.isActive() {
		send(result.NoLeader{})
		return
	}
	job := cn.replica.model.Jobs[id]
	var seq uint64
	switch {
	case job == nil && cn.replica.model.Finals[id] == 0:
		send(noSuchJob)
		return
	case job == nil:
		seq = cn.replica.model.FinalSeq(id)
	case job.Cancelled:
		seq = job.FinalSeq
	default:
		seq = cn.commits.propose(model.NewCancellation(id))
		job.Observed.CancelledSince = cn.now()
		cn.stopJobRuns(job)
		cn.log.Debug("job cancelled", "job", wire.JobID(uint64(id)))
	}
	cn.commits.whenCommitted(seq, func(ok bool) {
		status := cn.jobStatus.committedStatus(id)
		if !ok || status == nil {
			send(result.NoLeader{})
			return
		}
		send(result.JobState{Status: *status})
	})
}

// stopJobRuns stops the runs of a job without waiting for the commit of its cancellation, so that almost none of its
// tasks can still start when the user gets the answer after the commit. If the cancellation is lost with the term, the
// stops do no harm: the next leader either processes a repeated request to cancel the job or starts its tasks again.
func (cn *cancellations) stopJobRuns(job *model.Job) {
	for i := range job.Tasks {
		if run := job.Tasks[i].Run; run != nil {
			cn.dispatch.stopRun(run)
		}
	}
}
