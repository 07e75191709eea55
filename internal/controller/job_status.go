package controller

import (
	"context"

	"fieldhill/internal/model"
	"fieldhill/internal/replication/oplog"
	"fieldhill/internal/result"
	"fieldhill/internal/rpc"
	"fieldhill/wire"
)

// jobStatus answers what state a job is in, never anything that is not committed.
type jobStatus struct {
	*environment
	commits *commitPipeline
	forward *forwarder
	intake  *intake
	loop    *eventLoop
	replica *replica
	term    *termState
}

// visibleSeq is the number of the batch that must be in the log before anything is told of a job: that of its end, or
// of its cancellation, if there is one. Until then it can't be told without either: a batch is read by the others as
// soon as it is carried out, and its writer may wait for the answer for seconds, so another node may have told of it
// already.
func (js *jobStatus) visibleSeq(id model.JobID) (seq uint64, known bool) {
	j := js.replica.model.Jobs[id]
	switch {
	case j != nil && j.Cancelled:
		return j.FinalSeq, true
	case j != nil:
		return j.AcceptSeq, true
	}
	return js.replica.model.FinalSeq(id), js.replica.model.Finals[id] != 0
}

// respondIfKnown answers for a job that is known, once what is told is committed. What comes to pass while that is
// waited for is waited for too.
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

// committedStatus is what may be told of a job now: nothing that is not committed.
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
	if job.Cancelled && (js.term.ownTerm == nil || job.FinalSeq <= js.term.ownTerm.commits.committedSeq) {
		status.State = wire.JobCancelled
	}
	return status
}

// Status tells how a job is.
func (js *jobStatus) Status(ctx context.Context, id string) result.Result {
	jobNumber, ok := wire.JobNumber(id)
	if !ok {
		return noSuchJob
	}
	leads, storeReachable := js.forward.routingState()
	if leads && storeReachable {
		return js.answerAsLeader(ctx, id)
	}
	// A final state that the replica knows can't change any more.
	var final *wire.JobStatus
	js.loop.postAndWait(func() {
		if (js.term.ownTerm == nil || js.replica.model.FinalSeq(model.JobID(jobNumber)) <= js.term.ownTerm.commits.committedSeq) &&
			js.replica.model.Finals[model.JobID(jobNumber)] != 0 {
			final = js.committedStatus(model.JobID(jobNumber))
		}
	})
	if final != nil {
		return result.JobState{Status: *final}
	}
	request := &rpc.Request{Op: rpc.OpStatus, ID: id}
	if answer, ok := js.forward.toLeaderOrOthers(ctx, request, leads, storeReachable); ok {
		return result.Forwarded{Response: answer}
	}
	if leads {
		return js.answerAsLeader(ctx, id)
	}
	return js.answerFromReplica(ctx, model.JobID(jobNumber))
}

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
		if js.term.ownTerm != nil && js.replica.model.Finals[id] != 0 &&
			js.replica.model.FinalSeq(id) <= js.term.ownTerm.commits.committedSeq {
			send(result.JobState{Status: *js.committedStatus(id)})
			return
		}
		switch {
		case !js.term.isActive():
			send(result.NoLeader{})
		case !js.respondIfKnown(id, send):
			send(noSuchJob)
		}
	})
}

// answerFromReplica answers from the replica. Whatever any node told a user was in
// the log before; so a replica that has read the log after the request came
// can't give an older answer.
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
		if status := js.committedStatus(id); status != nil {
			send(result.JobState{Status: *status})
			return
		}
		if record != nil {
			send(result.JobState{Status: pendingStatus(uint64(id))})
			return
		}
		send(noSuchJob)
	})
}
