package controller

import (
	"context"
	"net/http"
	"time"

	"fieldhill/internal/api"
	"fieldhill/internal/model"
	"fieldhill/internal/replication/oplog"
	"fieldhill/internal/rpc"
	"fieldhill/wire"
)

// This file takes jobs: as the leader into the log, and otherwise by passing them to the leader or by the intake.

// Submit takes a job.
func (n *Node) Submit(ctx context.Context, body []byte) *rpc.Reply {
	if _, err := wire.PeekJobID(body); err != nil {
		return api.Refuse(http.StatusBadRequest, err.Error())
	}
	leads, inTouch := n.standing()
	if !leads && inTouch {
		return n.submitBothWays(ctx, body)
	}
	if r, ok := n.byOthers(ctx, &rpc.Call{Op: rpc.OpSubmit, Body: body}, leads, inTouch); ok {
		return r
	}
	if leads {
		return n.submitHere(ctx, body)
	}
	return n.submitToIntake(ctx, body)
}

// submitBothWays passes a job to the leader, and takes it by the intake as well if the
// leader takes much longer than it used to: it may have ended, stand still or be cut
// off, which is not known for some seconds. A job that comes both ways is taken once,
// since a record in the intake of a job that the log knows is dropped. The first final
// answer counts.
func (n *Node) submitBothWays(ctx context.Context, body []byte) *rpc.Reply {
	began := time.Now()
	usual := time.Duration(n.usual.Load())
	passed := make(chan *rpc.Reply, 1)
	go func() {
		r, ok := n.passOn(ctx, &rpc.Call{Op: rpc.OpSubmit, Body: body}, quickly)
		if took := time.Since(began); ok {
			n.usual.Store(int64(usual + (took-usual)/4))
		}
		if ok && r.Status == http.StatusServiceUnavailable {
			r = nil
		}
		passed <- r // nil: no answer, or none that is final
	}()
	wait := time.NewTimer(min(quickly, max(soon, 3*usual)))
	defer wait.Stop()
	select {
	case r := <-passed:
		if r != nil {
			return r
		}
		return n.submitToIntake(ctx, body)
	case <-wait.C:
	}
	taken := make(chan *rpc.Reply, 1)
	go func() { taken <- n.submitToIntake(ctx, body) }()
	select {
	case r := <-passed:
		if r != nil {
			return r
		}
		return <-taken
	case r := <-taken:
		if r.Status != http.StatusServiceUnavailable {
			return r
		}
		if p := <-passed; p != nil {
			return p
		}
		return r
	}
}

// soon is how long the leader has at least for a submission before there is another way.
const soon = 60 * time.Millisecond

// pendingResponse is the answer for a job that was accepted and of which nothing else is known.
func pendingResponse(code int, num uint64) *rpc.Reply {
	return api.Encode(code, &wire.JobStatus{ID: wire.JobID(num), State: wire.JobPending})
}

func (n *Node) submitHere(ctx context.Context, body []byte) *rpc.Reply {
	num, err := wire.PeekJobID(body)
	if err != nil {
		return api.Refuse(http.StatusBadRequest, err.Error())
	}
	spec, specErr := wire.ParseJob(body)
	submit := func(send func(*rpc.Reply)) { n.submit(model.JobID(num), spec, specErr, send) }
	r := n.inTurn(ctx, submit)
	if isRefusal(r) {
		// Another node may have taken it, as it was sent then, and this one not know yet.
		if !n.lookIn(ctx, num) {
			return noLeader
		}
		return n.inTurn(ctx, submit)
	}
	return r
}

// isRefusal tells whether an answer is final for a job that is not known: it is never given to one that was accepted.
func isRefusal(r *rpc.Reply) bool {
	return r.Status == http.StatusBadRequest || r.Status == http.StatusUnprocessableEntity
}

func (n *Node) submit(id model.JobID, spec *wire.JobSpec, specErr error, send func(*rpc.Reply)) {
	if !n.active() {
		send(noLeader)
		return
	}
	r := n.role
	// A known job is recognised before anything is checked: a repeat must never
	// be told that it is invalid.
	if n.tellKnown(id, send) {
		return
	}
	if specErr == nil && r.stalled() {
		send(api.Later("the state service does not answer", 2))
		return
	}
	if r := n.refuse(spec, specErr); r != nil {
		send(r)
		return
	}
	if wait, ok := n.gate.Admit(n.now()); !ok {
		n.stats.NotAdmitted.Inc()
		send(&rpc.Reply{Status: http.StatusTooManyRequests, RetryAfter: int(wait / time.Second), Body: overloaded.Body})
		return
	}
	e := model.Accepted(spec, time.Now().UnixMilli())
	seq := n.propose(e)
	n.dirty = true
	n.log.Debug("job accepted", "job", spec.ID, "class", spec.Class, "tasks", spec.Tasks)
	told := false
	tell := func(a *rpc.Reply) {
		if !told {
			told = true
			send(a)
		}
	}
	accepted := pendingResponse(http.StatusCreated, uint64(id))
	n.whenCommitted(seq, func(ok bool) {
		if !ok {
			tell(noLeader)
			return
		}
		tell(accepted)
	})
	if n.state.WriteTime() < slowLog {
		return
	}
	// Batches are written one after the other, so with a slow state service a job
	// waits for the one under way and for its own. A record in the intake makes it
	// as safe, and need not wait.
	go func() {
		ctx, cancel := context.WithTimeout(r.ctx, answerWithin)
		defer cancel()
		if n.oplog.TryIntake(ctx, oplog.Intake{Job: uint64(id), Data: e.Append(nil)}) == nil {
			n.post(func() { tell(accepted) })
		}
	}()
}

// slowLog is how long a transaction takes when the state service counts as slow.
const slowLog = 60 * time.Millisecond

// refuse says why a job that is not known can't be taken, or nil.
func (n *Node) refuse(spec *wire.JobSpec, specErr error) *rpc.Reply {
	switch {
	case specErr != nil:
		return api.Refuse(http.StatusBadRequest, specErr.Error())
	case !n.m.TypesKnown():
		return api.Later("machine types are not known yet", 1)
	}
	if why := n.m.CanEverRun(spec); why != "" {
		return api.Refuse(http.StatusUnprocessableEntity, why)
	}
	limit := n.maxTasks()
	if t := n.m.TeamOf(spec.Team); n.m.LiveTasks+spec.Tasks > limit || len(n.m.Teams) > 1 && t.LiveTasks+spec.Tasks > limit*4/5 {
		// No team alone fills it, or a guest's arrays would shut out the others.
		a := api.Later("too many unfinished tasks", 10)
		a.Status = http.StatusTooManyRequests
		return a
	}
	n.trimTypes(spec)
	return nil
}

// trimTypes drops names that no machine type bears, so that a record stays small.
func (n *Node) trimTypes(spec *wire.JobSpec) {
	if spec.Types == nil {
		return
	}
	kept := []string{}
	for _, t := range spec.Types {
		if id, ok := n.m.TypeNames.Find(t); ok && n.m.Types[id].Known {
			kept = append(kept, t)
		}
	}
	spec.Types = kept
}

// maxTasks bounds the memory that unfinished work takes: a task costs up to some
// 200 bytes with its run.
func (n *Node) maxTasks() int {
	return max(20_000, int(n.set.Params.Limits.MemoryMB*(1<<20)/4/200))
}
