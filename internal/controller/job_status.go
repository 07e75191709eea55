package controller

import (
	"context"
	"errors"
	"net/http"
	"time"

	"fieldhill/internal/api"
	"fieldhill/internal/model"
	"fieldhill/internal/replication/oplog"
	"fieldhill/internal/rpc"
	"fieldhill/wire"
)

// This file tells users how a job is: as the leader from the model, and otherwise by asking the leader, or from the replica after reading the log up to the present.

// visibleSeq is the number of the batch that must be in the log before anything is told of a job: that of its end, or of its cancellation, if there is one.
// Until then it can't be told without either: a batch is read by the others as soon as it is carried out, and its writer may
// wait for the answer for seconds, so another node may have told of it already.
func (n *Controller) visibleSeq(id model.JobID) (seq uint64, known bool) {
	j := n.model.Jobs[id]
	switch {
	case j != nil && j.Cancelled:
		return j.FinalSeq, true
	case j != nil:
		return j.AcceptSeq, true
	}
	return n.model.FinalSeq(id), n.model.Finals[id] != 0
}

// respondIfKnown answers for a job that is known, once what is told is committed. What comes to pass while that is waited for is waited for too.
func (n *Controller) respondIfKnown(id model.JobID, send func(*rpc.Response)) bool {
	seq, known := n.visibleSeq(id)
	if !known {
		return false
	}
	n.whenCommitted(seq, func(ok bool) {
		if !ok {
			send(noLeaderResponse)
			return
		}
		if visible, known := n.visibleSeq(id); known && visible > n.ownTerm.committedSeq {
			n.respondIfKnown(id, send)
			return
		}
		status := n.committedStatus(id)
		if status == nil {
			send(noLeaderResponse)
			return
		}
		send(api.Encode(http.StatusOK, status))
	})
	return true
}

// committedStatus is what may be told of a job now: nothing that is not committed.
func (n *Controller) committedStatus(id model.JobID) *wire.JobStatus {
	status := &wire.JobStatus{ID: wire.JobID(uint64(id))}
	switch n.model.Finals[id] {
	case model.FinalDone:
		status.State = wire.JobDone
		return status
	case model.FinalCancelled:
		status.State = wire.JobCancelled
		return status
	}
	job := n.model.Jobs[id]
	if job == nil {
		return nil
	}
	status.Done, status.Running, status.State = job.Done, job.Running, wire.JobPending
	if n.ownTerm == nil {
		status.Running = job.Live // a replica does not know phases
	}
	if status.Running > 0 {
		status.State = wire.JobRunning
	}
	if job.Cancelled && (n.ownTerm == nil || job.FinalSeq <= n.ownTerm.committedSeq) {
		status.State = wire.JobCancelled
	}
	return status
}

// Status tells how a job is.
func (n *Controller) Status(ctx context.Context, id string) *rpc.Response {
	jobNumber, ok := wire.JobNumber(id)
	if !ok {
		return api.Refuse(http.StatusNotFound, "no such job")
	}
	leads, storeReachable := n.routingState()
	if leads && storeReachable {
		return n.answerAsLeader(ctx, id)
	}
	// A final state that the replica knows can't change any more.
	var final *wire.JobStatus
	n.postAndWait(func() {
		if (n.ownTerm == nil || n.model.FinalSeq(model.JobID(jobNumber)) <= n.ownTerm.committedSeq) && n.model.Finals[model.JobID(jobNumber)] != 0 {
			final = n.committedStatus(model.JobID(jobNumber))
		}
	})
	if final != nil {
		return api.Encode(http.StatusOK, final)
	}
	if response, ok := n.toLeaderOrOthers(ctx, &rpc.Request{Op: rpc.OpStatus, ID: id}, leads, storeReachable); ok {
		return response
	}
	if leads {
		return n.answerAsLeader(ctx, id)
	}
	return n.answerFromReplica(ctx, model.JobID(jobNumber))
}

func (n *Controller) answerAsLeader(ctx context.Context, id string) *rpc.Response {
	jobNumber, ok := wire.JobNumber(id)
	if !ok {
		return api.Refuse(http.StatusNotFound, "no such job")
	}
	if !n.resolve(ctx, jobNumber) {
		return noLeaderResponse
	}
	return n.respondInTurn(ctx, func(send func(*rpc.Response)) {
		id := model.JobID(jobNumber)
		if n.ownTerm != nil && n.model.Finals[id] != 0 && n.model.FinalSeq(id) <= n.ownTerm.committedSeq {
			send(api.Encode(http.StatusOK, n.committedStatus(id)))
			return
		}
		switch {
		case !n.isActive():
			send(noLeaderResponse)
		case !n.respondIfKnown(id, send):
			send(api.Refuse(http.StatusNotFound, "no such job"))
		}
	})
}

// answerFromReplica answers from the replica. Whatever any node told a user was in
// the log before; so a replica that has read the log after the request came
// can't give an older answer.
func (n *Controller) answerFromReplica(ctx context.Context, id model.JobID) *rpc.Response {
	known := false
	n.postAndWait(func() { known = n.model.Jobs[id] != nil })
	var record *oplog.Intake
	if !known {
		var err error
		if record, err = n.lookup(ctx, uint64(id)); err != nil {
			return noLeaderResponse
		}
	}
	if err := n.catchUp(ctx); err != nil {
		n.log.Debug("replica catch-up failed", "err", err)
		return noLeaderResponse
	}
	return n.respondInTurn(ctx, func(send func(*rpc.Response)) {
		if n.ownTerm != nil || !n.loaded {
			send(noLeaderResponse)
			return
		}
		if status := n.committedStatus(id); status != nil {
			send(api.Encode(http.StatusOK, status))
			return
		}
		if record != nil {
			send(pendingResponse(http.StatusOK, uint64(id)))
			return
		}
		send(api.Refuse(http.StatusNotFound, "no such job"))
	})
}

// catchUp reads the log's end. Requests that come while a read is under way
// share the next one, because that one begins after they came.
func (n *Controller) catchUp(ctx context.Context) error {
	for turn := 0; ; turn++ {
		n.catchUpMu.Lock()
		read := n.catchUpRead
		if read == nil {
			read = &catchUpRead{done: make(chan struct{})}
			n.catchUpRead = read
			n.catchUpMu.Unlock()
			// Others wait for this read too, so it does not end with this request.
			read.err = n.store.ForUser(n.ctx, responseTimeout, n.readLogEnd)
			n.catchUpMu.Lock()
			n.catchUpRead = nil
			n.catchUpMu.Unlock()
			close(read.done)
			return read.err
		}
		n.catchUpMu.Unlock()
		select {
		case <-read.done:
		case <-ctx.Done():
			return ctx.Err()
		}
		if turn > 0 { // it began after the request came
			return read.err
		}
	}
}

// catchUpRead is a read of the log's end that is under way.
type catchUpRead struct {
	done chan struct{}
	err  error
}

var errNotLoaded = errors.New("controller: the log is not read yet")

func (n *Controller) readLogEnd(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, 1500*time.Millisecond)
	defer cancel()
	var appliedSeq uint64
	var ok bool
	n.postAndWait(func() { appliedSeq, ok = n.appliedSeq, n.loaded && n.ownTerm == nil })
	if !ok {
		return errNotLoaded
	}
	batches, err := n.oplog.BatchesAfter(ctx, appliedSeq)
	if err != nil {
		return err
	}
	n.postAndWait(func() {
		if !n.loaded || n.ownTerm != nil {
			err = errNotLoaded
			return
		}
		for _, b := range batches {
			if err = n.applyBatch(b); err != nil {
				return
			}
		}
	})
	return err
}
