package controller

import (
	"context"

	"fieldhill/internal/model"
	"fieldhill/internal/replication/oplog"
	"fieldhill/internal/result"
	"fieldhill/internal/rpc"
	"fieldhill/wire"
)

// jobStatus reports the committed state of jobs. The leader answers from its model; other controllers forward the
// request to the leader, or read the log to its end and answer from the replica. The component is stateless and never
// modifies the model.
type jobStatus struct {
	*environment
	commits *commitPipeline
	forward *forwarder
	intake  *intake
	loop    *eventLoop
	replica *replica
	term    *termState
}

// Status returns the committed state of a job. If no other controller that can answer is reachable, a controller that
// does not lead answers from its replica, after reading the log to its end.
func (js *jobStatus) Status(ctx context.Context, id string) result.Result {
	jobNumber, ok := wire.ParseJobID(id)
	if !ok {
		return noSuchJob
	}
	leads, storeReachable := js.forward.routingState()
	if leads && storeReachable {
		return js.answerAsLeader(ctx, id)
	}
	// A committed final state never changes, so the replica may answer.
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

// answerAsLeader answers a request for a job's status from the leader's model. If the model does not contain the job,
// the leader first reads the job's intake record, because another controller may have accepted the job.
func (js *jobStatus) answerAsLeader(ctx context.Context, id string) result.Result {
	jobNumber, ok := wire.ParseJobID(id)
	if !ok {
		return noSuchJob
	}
	if !js.intake.resolve(ctx, jobNumber) {
		return result.NoLeader{}
	}
	return js.loop.answerRequest(ctx, func(send func(result.Result)) {
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

// answerFromReplica answers a request for a job's status from this controller's replica, after the replica has caught
// up with the log. Every state reported to a user was in the log before it was reported, so a replica that reads the
// log after the request arrived can't return an older state.
func (js *jobStatus) answerFromReplica(ctx context.Context, id model.JobID) result.Result {
	record, err := js.readStored(ctx, id, js.intake.lookup)
	if err != nil {
		js.log.Debug("replica catch-up failed", "err", err)
		return result.NoLeader{}
	}
	return js.answerFromLog(ctx, id, record != nil)
}

// readStored reads what the key-value store has of a job: first the intake, unless the replica contains the job, and
// then the log to its end. In this order a job that was accepted before the call is found in one of them, since its
// record is deleted only once the log contains the job. The record is nil if there is none.
func (js *jobStatus) readStored(
	ctx context.Context, id model.JobID, lookup func(context.Context, uint64) (*oplog.Intake, error),
) (record *oplog.Intake, err error) {
	known := false
	js.loop.postAndWait(func() { known = js.replica.model.Jobs[id] != nil || js.replica.model.Finals[id] != 0 })
	if !known {
		if record, err = lookup(ctx, uint64(id)); err != nil {
			return nil, err
		}
	}
	return record, js.replica.catchUp(ctx)
}

// answerFromLog returns the state that a job has in the log, as far as this controller's replica has read it. If the
// log does not contain the job, the answer depends on whether the intake did.
func (js *jobStatus) answerFromLog(ctx context.Context, id model.JobID, recorded bool) result.Result {
	return js.loop.answerRequest(ctx, func(send func(result.Result)) {
		if js.term.ownTerm != nil || !js.replica.loaded {
			send(result.NoLeader{})
			return
		}
		status := js.committedStatus(id)
		switch {
		case status != nil:
			send(result.JobState{Status: *status})
		case recorded:
			send(result.JobState{Status: pendingStatus(uint64(id))})
		default:
			send(noSuchJob)
		}
	})
}

// visibleSeq returns the sequence number of the batch that must be committed before the state of a job may be reported:
// the batch of the job's cancellation or final state if it has one, otherwise the batch of its acceptance. Until that
// batch is committed no earlier state may be reported either: other controllers can read a batch as soon as it is
// written, seconds before its writer gets the response, and may already have reported the new state.
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

// respondIfKnown reports whether the model contains a job and, if so, sends the job's state once that state is
// committed. If the job changes before the commit, the response waits for the commit of the change too. It must run on
// the leader's event loop.
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

// isCommitted reports whether a batch that the model contains is known to be committed. A follower's model contains
// committed batches only.
func (js *jobStatus) isCommitted(seq uint64) bool {
	return js.term.ownTerm == nil || seq <= js.term.ownTerm.commits.committedSeq
}

// finalStatus returns the status of a job whose final state is committed, otherwise nil.
func (js *jobStatus) finalStatus(id model.JobID) *wire.JobStatus {
	if js.replica.model.Finals[id] == 0 || !js.isCommitted(js.replica.model.FinalSeq(id)) {
		return nil
	}
	return js.committedStatus(id)
}

// committedStatus returns the status of a job according to committed entries only, or nil if the job is unknown.
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
		status.Running = job.PlacedTasks // a replica does not track the phases of runs
	}
	if status.Running > 0 {
		status.State = wire.JobRunning
	}
	if job.Cancelled && js.isCommitted(job.FinalSeq) {
		status.State = wire.JobCancelled
	}
	return status
}
