package controller

import (
	"context"

	"fieldhill/internal/model"
	"fieldhill/internal/replication/oplog"
	"fieldhill/internal/result"
	"fieldhill/internal/rpc"
	"fieldhill/wire"
)

// jobStatus answers what state a job is in, never anything that is not committed: as the leader from the model,
// otherwise by asking the leader, or from the replica after reading the log up to the present. It has no state of its
// own, and writes none.
type jobStatus struct {
	*environment
	commits *commitPipeline
	forward *forwarder
	intake  *intake
	loop    *eventLoop
	replica *replica
	term    *termState
}

// Status answers what state a job is in.
func (js *jobStatus) Status(ctx context.Context, id string) result.Result {
	jobNumber, ok := wire.JobNumber(id)
	if !ok {
		return noSuchJob
	}
	leads, storeReachable := js.forward.routingState()
	if leads && storeReachable {
		return js.answerAsLeader(ctx, id)
	}
	// A final state that the replica has can't change any more.
	var final *wire.JobStatus
	js.loop.postAndWait(func() { final = js.finalStatus(model.JobID(jobNumber)) })
	if final != nil {
		return result.JobState{Status: *final}
	}
	request := &rpc.Request{Op: rpc.OpStatus, ID: id}
	if answer, ok := js.forward.toLeaderOrOthers(ctx, request, leads, storeReachable); ok {
		return answer
	}
	if leads {
		return js.answerAsLeader(ctx, id)
	}
	return js.answerFromReplica(ctx, model.JobID(jobNumber))
}

// answerAsLeader answers from the model, once it is known whether the intake has the job.
func (js *jobStatus) answerAsLeader(ctx context.Context, id string) result.Result {
	jobNumber, ok := wire.JobNumber(id)
	if !ok {
		return noSuchJob
	}
	if !js.intake.resolve(ctx, jobNumber) {
		return result.NoLeader{}
	}
	return js.loop.answerInTurn(ctx, func(send func(result.Result)) {
		id := model.JobID(jobNumber)
		if js.term.ownTerm != nil {
			if final := js.finalStatus(id); final != nil {
				send(result.JobState{Status: *final})
				return
			}
		}
		switch {
		case !js.term.isActive():
			send(result.NoLeader{})
		case !js.respondIfKnown(id, send):
			send(noSuchJob)
		}
	})
}

// answerFromReplica answers from the replica. Whatever any controller answered a user was in the log before; so a
// replica that has read the log after the request came can't give an older answer.
func (js *jobStatus) answerFromReplica(ctx context.Context, id model.JobID) result.Result {
	known := false
	js.loop.postAndWait(func() { known = js.replica.model.Jobs[id] != nil })
	var record *oplog.Intake
	if !known {
		var err error
		if record, err = js.intake.lookup(ctx, uint64(id)); err != nil {
			return result.NoLeader{}
		}
	}
	if err := js.replica.catchUp(ctx); err != nil {
		js.log.Debug("replica catch-up failed", "err", err)
		return result.NoLeader{}
	}
	return js.loop.answerInTurn(ctx, func(send func(result.Result)) {
		if js.term.ownTerm != nil || !js.replica.loaded {
			send(result.NoLeader{})
			return
		}
		status := js.committedStatus(id)
		switch {
		case status != nil:
			send(result.JobState{Status: *status})
		case record != nil:
			send(result.JobState{Status: pendingStatus(uint64(id))})
		default:
			send(noSuchJob)
		}
	})
}

// visibleSeq is the number of the batch that must be in the log before anything is said of a job: that of its end, or
// of its cancellation, if there is one. Until then nothing can be said of it without either: a batch is read by the
// others as soon as it is written, and its writer may wait for the answer for seconds, so another controller may have
// reported it already.
func (js *jobStatus) visibleSeq(id model.JobID) (seq uint64, known bool) {
	job := js.replica.model.Jobs[id]
	switch {
	case job != nil && job.Cancelled:
		return job.FinalSeq, true
	case job != nil:
		return job.AcceptSeq, true
	}
	return js.replica.model.FinalSeq(id), js.replica.model.Finals[id] != 0
}

// respondIfKnown sends the state of a job that is known, once it is committed, and tells whether the job is known. It
// is for the leader's loop. What becomes of the job while that is waited for is waited for too.
func (js *jobStatus) respondIfKnown(id model.JobID, send func(result.Result)) bool {
	seq, known := js.visibleSeq(id)
	if !known {
		return false
	}
	js.commits.whenCommitted(seq, func(ok bool) {
		if !ok {
			send(result.NoLeader{})
			return
		}
		if visible, known := js.visibleSeq(id); known && visible > js.term.ownTerm.commits.committedSeq {
			js.respondIfKnown(id, send)
			return
		}
		status := js.committedStatus(id)
		if status == nil {
			send(result.NoLeader{})
			return
		}
		send(result.JobState{Status: *status})
	})
	return true
}

// isCommitted tells whether the log has a batch for sure: a replica applies nothing else.
func (js *jobStatus) isCommitted(seq uint64) bool {
	return js.term.ownTerm == nil || seq <= js.term.ownTerm.commits.committedSeq
}

// finalStatus is the state of a job that has ended and whose end is committed, or nil.
func (js *jobStatus) finalStatus(id model.JobID) *wire.JobStatus {
	if js.replica.model.Finals[id] == 0 || !js.isCommitted(js.replica.model.FinalSeq(id)) {
		return nil
	}
	return js.committedStatus(id)
}

// committedStatus is what may be said of a job now: nothing that is not committed. It is nil for a job that is not
// known.
func (js *jobStatus) committedStatus(id model.JobID) *wire.JobStatus {
	status := &wire.JobStatus{ID: wire.JobID(uint64(id))}
	switch js.replica.model.Finals[id] {
	case model.FinalDone:
		status.State = wire.JobDone
		return status
	case model.FinalCancelled:
		status.State = wire.JobCancelled
		return status
	}
	job := js.replica.model.Jobs[id]
	if job == nil {
		return nil
	}
	status.Done, status.Running, status.State = job.Done, job.Running, wire.JobPending
	if js.term.ownTerm == nil {
		status.Running = job.Live // a replica does not know phases
	}
	if status.Running > 0 {
		status.State = wire.JobRunning
	}
	if job.Cancelled && js.isCommitted(job.FinalSeq) {
		status.State = wire.JobCancelled
	}
	return status
}
