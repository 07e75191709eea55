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
func (n *Controller) Submit(ctx context.Context, body []byte) *rpc.Response {
	if _, err := wire.PeekJobID(body); err != nil {
		return api.Refuse(http.StatusBadRequest, err.Error())
	}
	leads, storeReachable := n.routingState()
	if !leads && storeReachable {
		return n.submitWithFallback(ctx, body)
	}
	if response, ok := n.toLeaderOrOthers(ctx, &rpc.Request{Op: rpc.OpSubmit, Body: body}, leads, storeReachable); ok {
		return response
	}
	if leads {
		return n.submitAsLeader(ctx, body)
	}
	return n.submitToIntake(ctx, body)
}

// submitWithFallback passes a job to the leader, and takes it by the intake as well if the
// leader takes much longer than it used to: it may have ended, stand still or be cut
// off, which is not known for some seconds. A job that comes both ways is taken once,
// since a record in the intake of a job that the log knows is dropped. The first final
// answer counts.
func (n *Controller) submitWithFallback(ctx context.Context, body []byte) *rpc.Response {
	began := time.Now()
	averageLatency := time.Duration(n.submitLatency.Load())
	forwarded := make(chan *rpc.Response, 1)
	go func() {
		response, ok := n.toLeader(ctx, &rpc.Request{Op: rpc.OpSubmit, Body: body}, forwardTimeout)
		if latency := time.Since(began); ok {
			n.submitLatency.Store(int64(averageLatency + (latency-averageLatency)/4))
		}
		if ok && response.Status == http.StatusServiceUnavailable {
			response = nil
		}
		forwarded <- response // nil: no answer, or none that is final
	}()
	fallbackTimer := time.NewTimer(min(forwardTimeout, max(minForwardWait, 3*averageLatency)))
	defer fallbackTimer.Stop()
	select {
	case response := <-forwarded:
		if response != nil {
			return response
		}
		return n.submitToIntake(ctx, body)
	case <-fallbackTimer.C:
	}
	intakeResponses := make(chan *rpc.Response, 1)
	go func() { intakeResponses <- n.submitToIntake(ctx, body) }()
	select {
	case response := <-forwarded:
		if response != nil {
			return response
		}
		return <-intakeResponses
	case response := <-intakeResponses:
		if response.Status != http.StatusServiceUnavailable {
			return response
		}
		if final := <-forwarded; final != nil {
			return final
		}
		return response
	}
}

// minForwardWait is how long the leader has at least for a submission before there is another way.
const minForwardWait = 60 * time.Millisecond

// pendingResponse is the answer for a job that was accepted and of which nothing else is known.
func pendingResponse(code int, jobNumber uint64) *rpc.Response {
	return api.Encode(code, &wire.JobStatus{ID: wire.JobID(jobNumber), State: wire.JobPending})
}

func (n *Controller) submitAsLeader(ctx context.Context, body []byte) *rpc.Response {
	jobNumber, err := wire.PeekJobID(body)
	if err != nil {
		return api.Refuse(http.StatusBadRequest, err.Error())
	}
	spec, specErr := wire.ParseJob(body)
	submit := func(send func(*rpc.Response)) { n.accept(model.JobID(jobNumber), spec, specErr, send) }
	response := n.respondInTurn(ctx, submit)
	if isRejection(response) {
		// Another node may have taken it, as it was sent then, and this one not know yet.
		if !n.resolve(ctx, jobNumber) {
			return noLeaderResponse
		}
		return n.respondInTurn(ctx, submit)
	}
	return response
}

// isRejection tells whether an answer is final for a job that is not known: it is never given to one that was accepted.
func isRejection(response *rpc.Response) bool {
	return response.Status == http.StatusBadRequest || response.Status == http.StatusUnprocessableEntity
}

func (n *Controller) accept(id model.JobID, spec *wire.JobSpec, specErr error, send func(*rpc.Response)) {
	if !n.isActive() {
		send(noLeaderResponse)
		return
	}
	r := n.ownTerm
	// A known job is recognised before anything is checked: a repeat must never
	// be told that it is invalid.
	if n.respondIfKnown(id, send) {
		return
	}
	if specErr == nil && r.stalled() {
		send(api.RetryLater("the state service does not answer", 2))
		return
	}
	if r := n.rejection(spec, specErr); r != nil {
		send(r)
		return
	}
	if wait, ok := n.admissionGate.Admit(n.now()); !ok {
		n.metrics.NotAdmitted.Inc()
		send(&rpc.Response{Status: http.StatusTooManyRequests, RetryAfter: int(wait / time.Second), Body: overloadedResponse.Body})
		return
	}
	entry := model.Accepted(spec, time.Now().UnixMilli())
	seq := n.propose(entry)
	n.roundRequested = true
	n.log.Debug("job accepted", "job", spec.ID, "class", spec.Class, "tasks", spec.Tasks)
	responded := false
	respond := func(response *rpc.Response) {
		if !responded {
			responded = true
			send(response)
		}
	}
	accepted := pendingResponse(http.StatusCreated, uint64(id))
	n.whenCommitted(seq, func(ok bool) {
		if !ok {
			respond(noLeaderResponse)
			return
		}
		respond(accepted)
	})
	if n.store.TxnLatency() < slowWriteThreshold {
		return
	}
	// Batches are written one after the other, so with a slow state service a job
	// waits for the one under way and for its own. A record in the intake makes it
	// as safe, and need not wait.
	go func() {
		ctx, cancel := context.WithTimeout(r.ctx, responseTimeout)
		defer cancel()
		if n.oplog.TryIntake(ctx, oplog.Intake{Job: uint64(id), Data: entry.Append(nil)}) == nil {
			n.post(func() { respond(accepted) })
		}
	}()
}

// slowWriteThreshold is how long a transaction takes when the state service counts as slow.
const slowWriteThreshold = 60 * time.Millisecond

// rejection says why a job that is not known can't be taken, or nil.
func (n *Controller) rejection(spec *wire.JobSpec, specErr error) *rpc.Response {
	switch {
	case specErr != nil:
		return api.Refuse(http.StatusBadRequest, specErr.Error())
	case !n.model.TypesKnown():
		return api.RetryLater("machine types are not known yet", 1)
	}
	if reason := n.model.CanEverRun(spec); reason != "" {
		return api.Refuse(http.StatusUnprocessableEntity, reason)
	}
	limit := n.maxUnfinishedTasks()
	if team := n.model.TeamOf(spec.Team); n.model.LiveTasks+spec.Tasks > limit || len(n.model.Teams) > 1 && team.LiveTasks+spec.Tasks > limit*4/5 {
		// No team alone fills it, or a guest's arrays would shut out the others.
		response := api.RetryLater("too many unfinished tasks", 10)
		response.Status = http.StatusTooManyRequests
		return response
	}
	n.trimUnknownTypes(spec)
	return nil
}

// trimUnknownTypes drops names that no machine type bears, so that a record stays small.
func (n *Controller) trimUnknownTypes(spec *wire.JobSpec) {
	if spec.Types == nil {
		return
	}
	known := []string{}
	for _, t := range spec.Types {
		if id, ok := n.model.TypeNames.Find(t); ok && n.model.Types[id].Known {
			known = append(known, t)
		}
	}
	spec.Types = known
}

// maxUnfinishedTasks bounds the memory that unfinished work takes: a task costs up to some
// 200 bytes with its run.
func (n *Controller) maxUnfinishedTasks() int {
	return max(20_000, int(n.settings.Params.Limits.MemoryMB*(1<<20)/4/200))
}
