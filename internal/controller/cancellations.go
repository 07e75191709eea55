package controller

import (
	"context"

	"fieldhill/internal/model"
	"fieldhill/internal/result"
	"fieldhill/internal/rpc"
	"fieldhill/wire"
)

// cancellations cancels jobs and stops their tasks.
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

// Cancel cancels a job.
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
		if answer, ok := cn.forward.toLeader(ctx, request, responseTimeout); ok {
			if forwarded := (result.Forwarded{Response: answer}); !result.IsUnavailable(forwarded) {
				return forwarded
			}
		}
	}
	if answer, ok := cn.forward.toOthers(ctx, request); ok {
		return result.Forwarded{Response: answer}
	}
	if leads {
		return cn.cancelAsLeader(ctx, id)
	}
	return result.NoLeader{}
}

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
		seq = cn.commits.propose(&model.Entry{Kind: model.EntryCancel, Job: id})
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
// starts after the user is told, which is when the log has it.
func (cn *cancellations) stopJobRuns(job *model.Job) {
	for i := range job.Tasks {
		if r := job.Tasks[i].Run; r != nil {
			cn.dispatch.stopRun(r)
		}
	}
}

// noSuchJob is the answer where the name is no job's, or no job is known by it.
var noSuchJob = result.Unknown{Reason: "no such job"}
