package controller

import (
	"context"
	"net/http"
	"sync/atomic"
	"time"

	"fieldhill/internal/api"
	"fieldhill/internal/model"
	"fieldhill/internal/replication/oplog"
	"fieldhill/internal/rpc"
	"fieldhill/wire"
)

// submissions accepts jobs idempotently: into the log as the leader, by the leader, or by the intake.
type submissions struct {
	*environment
	commits   *commitPipeline
	forward   *forwarder
	intake    *intake
	loop      *eventLoop
	replica   *replica
	jobStatus *jobStatus
	term      *termState

	submitLatency atomic.Int64 // how long the leader takes to answer a submission, averaged
}

// submitToIntake takes a job without the leader, if this node is sure that the
// log does not know it and the state service takes its record.
func (sb *submissions) submitToIntake(ctx context.Context, body []byte) *rpc.Response {
	jobNumber, err := wire.PeekJobID(body)
	if err != nil {
		return api.Refuse(http.StatusBadRequest, err.Error())
	}
	if !sb.intake.allow() || sb.replica.catchUp(ctx) != nil {
		return noLeaderResponse
	}
	spec, specErr := wire.ParseJob(body)
	var entry *model.Entry
	response := sb.loop.respondInTurn(ctx, func(send func(*rpc.Response)) {
		if sb.term.ownTerm != nil || !sb.replica.loaded {
			send(noLeaderResponse)
			return
		}
		if status := sb.jobStatus.committedStatus(model.JobID(jobNumber)); status != nil {
			send(api.Encode(http.StatusOK, status))
			return
		}
		if r := sb.rejection(spec, specErr); r != nil {
			send(r)
			return
		}
		entry = model.Accepted(spec, time.Now().UnixMilli())
		send(&rpc.Response{Status: http.StatusCreated})
	})
	if isRejection(response) {
		switch record, err := sb.intake.lookup(ctx, jobNumber); {
		case err != nil:
			return noLeaderResponse
		case record != nil: // accepted, as it was sent then
			return pendingResponse(http.StatusOK, jobNumber)
		}
	}
	if response.Status != http.StatusCreated {
		return response // the loop may not have come to it yet: the entry is not to be read
	}
	ctx, cancel := context.WithTimeout(ctx, responseTimeout)
	defer cancel()
	if err := sb.oplog.PutIntake(ctx, oplog.Intake{Job: jobNumber, Data: entry.Append(nil)}); err != nil {
		return noLeaderResponse
	}
	sb.log.Debug("job accepted into intake", "job", spec.ID)
	return pendingResponse(http.StatusCreated, jobNumber)
}

// overloadedResponse refuses a new job while this controller is late.
var overloadedResponse = api.Refuse(http.StatusTooManyRequests, "more work is offered than can be taken")

// Submit takes a job.
func (sb *submissions) Submit(ctx context.Context, body []byte) *rpc.Response {
	if _, err := wire.PeekJobID(body); err != nil {
		return api.Refuse(http.StatusBadRequest, err.Error())
	}
	leads, storeReachable := sb.forward.routingState()
	if !leads && storeReachable {
		return sb.submitWithFallback(ctx, body)
	}
	if response, ok := sb.forward.toLeaderOrOthers(
		ctx,
		&rpc.Request{Op: rpc.OpSubmit, Body: body},
		leads,
		storeReachable,
	); ok {
		return response
	}
	if leads {
		return sb.submitAsLeader(ctx, body)
	}
	return sb.submitToIntake(ctx, body)
}

// submitWithFallback passes a job to the leader, and takes it by the intake as well if the
// leader takes much longer than it used to: it may have ended, stand still or be cut
// off, which is not known for some seconds. A job that comes both ways is taken once,
// since a record in the intake of a job that the log knows is dropped. The first final
// answer counts.
func (sb *submissions) submitWithFallback(ctx context.Context, body []byte) *rpc.Response {
	began := time.Now()
	averageLatency := time.Duration(sb.submitLatency.Load())
	forwarded := make(chan *rpc.Response, 1)
	go func() {
		response, ok := sb.forward.toLeader(ctx, &rpc.Request{Op: rpc.OpSubmit, Body: body}, forwardTimeout)
		if latency := time.Since(began); ok {
			sb.submitLatency.Store(int64(averageLatency + (latency-averageLatency)/4))
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
		return sb.submitToIntake(ctx, body)
	case <-fallbackTimer.C:
	}
	intakeResponses := make(chan *rpc.Response, 1)
	go func() { intakeResponses <- sb.submitToIntake(ctx, body) }()
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

func (sb *submissions) submitAsLeader(ctx context.Context, body []byte) *rpc.Response {
	jobNumber, err := wire.PeekJobID(body)
	if err != nil {
		return api.Refuse(http.StatusBadRequest, err.Error())
	}
	spec, specErr := wire.ParseJob(body)
	submit := func(send func(*rpc.Response)) { sb.accept(model.JobID(jobNumber), spec, specErr, send) }
	response := sb.loop.respondInTurn(ctx, submit)
	if isRejection(response) {
		// Another node may have taken it, as it was sent then, and this one not know yet.
		if !sb.intake.resolve(ctx, jobNumber) {
			return noLeaderResponse
		}
		return sb.loop.respondInTurn(ctx, submit)
	}
	return response
}

// isRejection tells whether an answer is final for a job that is not known: it is never given to one that was accepted.
func isRejection(response *rpc.Response) bool {
	return response.Status == http.StatusBadRequest || response.Status == http.StatusUnprocessableEntity
}

func (sb *submissions) accept(id model.JobID, spec *wire.JobSpec, specErr error, send func(*rpc.Response)) {
	if !sb.term.isActive() {
		send(noLeaderResponse)
		return
	}
	r := sb.term.ownTerm
	// A known job is recognised before anything is checked: a repeat must never
	// be told that it is invalid.
	if sb.jobStatus.respondIfKnown(id, send) {
		return
	}
	if specErr == nil && r.stalled() {
		send(api.RetryLater("the state service does not answer", 2))
		return
	}
	if r := sb.rejection(spec, specErr); r != nil {
		send(r)
		return
	}
	if wait, ok := sb.loop.admissionGate.Admit(sb.now()); !ok {
		sb.metrics.NotAdmitted.Inc()
		send(
			&rpc.Response{
				Status:     http.StatusTooManyRequests,
				RetryAfter: int(wait / time.Second),
				Body:       overloadedResponse.Body,
			},
		)
		return
	}
	entry := model.Accepted(spec, time.Now().UnixMilli())
	seq := sb.commits.propose(entry)
	sb.loop.roundRequested = true
	sb.log.Debug("job accepted", "job", spec.ID, "class", spec.Class, "tasks", spec.Tasks)
	responded := false
	respond := func(response *rpc.Response) {
		if !responded {
			responded = true
			send(response)
		}
	}
	accepted := pendingResponse(http.StatusCreated, uint64(id))
	sb.commits.whenCommitted(seq, func(ok bool) {
		if !ok {
			respond(noLeaderResponse)
			return
		}
		respond(accepted)
	})
	if sb.store.TxnLatency() < slowWriteThreshold {
		return
	}
	// Batches are written one after the other, so with a slow state service a job
	// waits for the one under way and for its own. A record in the intake makes it
	// as safe, and need not wait.
	go func() {
		ctx, cancel := context.WithTimeout(r.ctx, responseTimeout)
		defer cancel()
		if sb.oplog.TryIntake(ctx, oplog.Intake{Job: uint64(id), Data: entry.Append(nil)}) == nil {
			sb.loop.post(func() { respond(accepted) })
		}
	}()
}

// slowWriteThreshold is how long a transaction takes when the state service counts as slow.
const slowWriteThreshold = 60 * time.Millisecond

// rejection says why a job that is not known can't be taken, or nil.
func (sb *submissions) rejection(spec *wire.JobSpec, specErr error) *rpc.Response {
	switch {
	case specErr != nil:
		return api.Refuse(http.StatusBadRequest, specErr.Error())
	case !sb.replica.model.TypesKnown():
		return api.RetryLater("machine types are not known yet", 1)
	}
	if reason := sb.replica.model.CanEverRun(spec); reason != "" {
		return api.Refuse(http.StatusUnprocessableEntity, reason)
	}
	limit := sb.maxUnfinishedTasks()
	if team := sb.replica.model.TeamOf(
		spec.Team,
	); sb.replica.model.LiveTasks+spec.Tasks > limit ||
		len(sb.replica.model.Teams) > 1 && team.LiveTasks+spec.Tasks > limit*4/5 {
		// No team alone fills it, or a guest's arrays would shut out the others.
		response := api.RetryLater("too many unfinished tasks", 10)
		response.Status = http.StatusTooManyRequests
		return response
	}
	sb.trimUnknownTypes(spec)
	return nil
}

// trimUnknownTypes drops names that no machine type bears, so that a record stays small.
func (sb *submissions) trimUnknownTypes(spec *wire.JobSpec) {
	if spec.Types == nil {
		return
	}
	known := []string{}
	for _, t := range spec.Types {
		if id, ok := sb.replica.model.TypeNames.Find(t); ok && sb.replica.model.Types[id].Known {
			known = append(known, t)
		}
	}
	spec.Types = known
}

// maxUnfinishedTasks bounds the memory that unfinished work takes: a task costs up to some
// 200 bytes with its run.
func (sb *submissions) maxUnfinishedTasks() int {
	return max(20_000, int(sb.settings.Params.Limits.MemoryMB*(1<<20)/4/200))
}
