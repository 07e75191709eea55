package controller

import (
	"context"

	"fieldhill/internal/model"
	"fieldhill/internal/result"
	"fieldhill/internal/rpc"
	"fieldhill/wire"
)

// cancellations cancels jobs and stops their tasks. Only the leader does, by an entry of the log; other controllers
// pass a cancellation on. It has no state of its own: that a job is cancelled is in the model.
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

// Cancel cancels a job and answers with its state.
func (cn *cancellations) Cancel(ctx context.Context, id string) result.Result {
	if _, ok := wire.JobNumber(id); !ok {
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

// cancelAsLeader cancels a job once it is known whether the intake has it.
func (cn *cancellations) cancelAsLeader(ctx context.Context, id string) result.Result {
	jobNumber, ok := wire.JobNumber(id)
	if !ok {
		return noSuchJob
	}
	if !cn.intake.resolve(ctx, jobNumber) {
		return result.NoLeader{}
	}
	return cn.loop.answer(ctx, func(send func(result.Result)) { cn.cancelJob(model.JobID(jobNumber), send) })
}

// cancelJob cancels a job in the loop, and sends its state once the log has the cancellation, or the end that came
// before it.
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
		job.Observed.CancelledFrom = cn.now()
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

// stopJobRuns stops what a cancelled job has on machines, before the log has the cancellation: a stop that is sent in
// vain is decided again or made good by another start, and its user has no use for the job. So next to nothing of it
// starts after the user is answered, which is when the log has it.
func (cn *cancellations) stopJobRuns(job *model.Job) {
	for i := range job.Tasks {
		if run := job.Tasks[i].Run; run != nil {
			cn.dispatch.stopRun(run)
		}
	}
}
