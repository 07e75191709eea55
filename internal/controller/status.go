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

// tellFrom is the number of the batch that must be in the log before anything is told of a job: that of its end, or of its cancellation, if there is one.
// Until then it can't be told without either: a batch is read by the others as soon as it is carried out, and its writer may
// wait for the answer for seconds, so another node may have told of it already.
func (n *Node) tellFrom(id model.JobID) (seq uint64, known bool) {
	j := n.m.Jobs[id]
	switch {
	case j != nil && j.Cancelled:
		return j.FinalSeq, true
	case j != nil:
		return j.AcceptSeq, true
	}
	return n.m.FinalAt(id), n.m.Finals[id] != 0
}

// tellKnown answers for a job that is known, once what is told is committed. What comes to pass while that is waited for is waited for too.
func (n *Node) tellKnown(id model.JobID, send func(*rpc.Reply)) bool {
	seq, known := n.tellFrom(id)
	if !known {
		return false
	}
	n.whenCommitted(seq, func(ok bool) {
		if !ok {
			send(noLeader)
			return
		}
		if at, known := n.tellFrom(id); known && at > n.role.committed {
			n.tellKnown(id, send)
			return
		}
		s := n.status(id)
		if s == nil {
			send(noLeader)
			return
		}
		send(api.Encode(http.StatusOK, s))
	})
	return true
}

// status is what may be told of a job now: nothing that is not committed.
func (n *Node) status(id model.JobID) *wire.JobStatus {
	s := &wire.JobStatus{ID: wire.JobID(uint64(id))}
	switch n.m.Finals[id] {
	case model.FinalDone:
		s.State = wire.JobDone
		return s
	case model.FinalCancelled:
		s.State = wire.JobCancelled
		return s
	}
	j := n.m.Jobs[id]
	if j == nil {
		return nil
	}
	s.Done, s.Running, s.State = j.Done, j.Running, wire.JobPending
	if n.role == nil {
		s.Running = j.Live // a replica does not know phases
	}
	if s.Running > 0 {
		s.State = wire.JobRunning
	}
	if j.Cancelled && (n.role == nil || j.FinalSeq <= n.role.committed) {
		s.State = wire.JobCancelled
	}
	return s
}

// Status tells how a job is.
func (n *Node) Status(ctx context.Context, id string) *rpc.Reply {
	num, ok := wire.JobNumber(id)
	if !ok {
		return api.Refuse(http.StatusNotFound, "no such job")
	}
	leads, inTouch := n.standing()
	if leads && inTouch {
		return n.statusHere(ctx, id)
	}
	// A final state that the replica knows can't change any more.
	var final *wire.JobStatus
	n.ask(func() {
		if (n.role == nil || n.m.FinalAt(model.JobID(num)) <= n.role.committed) && n.m.Finals[model.JobID(num)] != 0 {
			final = n.status(model.JobID(num))
		}
	})
	if final != nil {
		return api.Encode(http.StatusOK, final)
	}
	if r, ok := n.byOthers(ctx, &rpc.Call{Op: rpc.OpStatus, ID: id}, leads, inTouch); ok {
		return r
	}
	if leads {
		return n.statusHere(ctx, id)
	}
	return n.statusFromLog(ctx, model.JobID(num))
}

func (n *Node) statusHere(ctx context.Context, id string) *rpc.Reply {
	num, ok := wire.JobNumber(id)
	if !ok {
		return api.Refuse(http.StatusNotFound, "no such job")
	}
	if !n.lookIn(ctx, num) {
		return noLeader
	}
	return n.inTurn(ctx, func(send func(*rpc.Reply)) {
		id := model.JobID(num)
		if n.role != nil && n.m.Finals[id] != 0 && n.m.FinalAt(id) <= n.role.committed {
			send(api.Encode(http.StatusOK, n.status(id)))
			return
		}
		switch {
		case !n.active():
			send(noLeader)
		case !n.tellKnown(id, send):
			send(api.Refuse(http.StatusNotFound, "no such job"))
		}
	})
}

// statusFromLog answers from the replica. Whatever any node told a user was in
// the log before; so a replica that has read the log after the request came
// can't give an older answer.
func (n *Node) statusFromLog(ctx context.Context, id model.JobID) *rpc.Reply {
	known := false
	n.ask(func() { known = n.m.Jobs[id] != nil })
	var in *oplog.Intake
	if !known {
		var err error
		if in, err = n.getIntake(ctx, uint64(id)); err != nil {
			return noLeader
		}
	}
	if err := n.catchUp(ctx); err != nil {
		n.log.Debug("can't catch up", "err", err)
		return noLeader
	}
	return n.inTurn(ctx, func(send func(*rpc.Reply)) {
		if n.role != nil || !n.loaded {
			send(noLeader)
			return
		}
		if s := n.status(id); s != nil {
			send(api.Encode(http.StatusOK, s))
			return
		}
		if in != nil {
			send(pendingResponse(http.StatusOK, uint64(id)))
			return
		}
		send(api.Refuse(http.StatusNotFound, "no such job"))
	})
}

// catchUp reads the log's end. Requests that come while a read is under way
// share the next one, because that one begins after they came.
func (n *Node) catchUp(ctx context.Context) error {
	for turn := 0; ; turn++ {
		n.catchMu.Lock()
		c := n.catching
		if c == nil {
			c = &catch{done: make(chan struct{})}
			n.catching = c
			n.catchMu.Unlock()
			// Others wait for this read too, so it does not end with this request.
			c.err = n.state.ForUser(n.ctx, answerWithin, n.readEnd)
			n.catchMu.Lock()
			n.catching = nil
			n.catchMu.Unlock()
			close(c.done)
			return c.err
		}
		n.catchMu.Unlock()
		select {
		case <-c.done:
		case <-ctx.Done():
			return ctx.Err()
		}
		if turn > 0 { // it began after the request came
			return c.err
		}
	}
}

// catch is a read of the log's end that is under way.
type catch struct {
	done chan struct{}
	err  error
}

var errNotLoaded = errors.New("controller: the log is not read yet")

func (n *Node) readEnd(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, 1500*time.Millisecond)
	defer cancel()
	var from uint64
	var ok bool
	n.ask(func() { from, ok = n.applied, n.loaded && n.role == nil })
	if !ok {
		return errNotLoaded
	}
	batches, err := n.oplog.Since(ctx, from)
	if err != nil {
		return err
	}
	n.ask(func() {
		if !n.loaded || n.role != nil {
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
