package controller

import (
	"context"
	"sync/atomic"
	"time"

	"fieldhill/internal/model"
	"fieldhill/internal/replication/oplog"
	"fieldhill/internal/result"
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
func (sb *submissions) submitToIntake(ctx context.Context, body []byte) result.Result {
	jobNumber, err := wire.PeekJobID(body)
	if err != nil {
		return result.Invalid{Reason: err.Error()}
	}
	if !sb.intake.allow() || sb.replica.catchUp(ctx) != nil {
		return result.NoLeader{}
	}
	spec, specErr := wire.ParseJob(body)
	var entry *model.Entry
	answer := sb.loop.answerInTurn(ctx, func(send func(result.Result)) {
		if sb.term.ownTerm != nil || !sb.replica.loaded {
			send(result.NoLeader{})
			return
		}
		if status := sb.jobStatus.committedStatus(model.JobID(jobNumber)); status != nil {
			send(result.JobState{Status: *status})
			return
		}
		if r := sb.rejection(spec, specErr); r != nil {
			send(r)
			return
		}
		entry = model.Accepted(spec, time.Now().UnixMilli())
		send(result.Accepted{Status: pendingStatus(jobNumber)})
	})
	if result.IsRejection(answer) {
		switch record, err := sb.intake.lookup(ctx, jobNumber); {
		case err != nil:
			return result.NoLeader{}
		case record != nil: // accepted, as it was sent then
			return result.JobState{Status: pendingStatus(jobNumber)}
		}
	}
	accepted, ok := answer.(result.Accepted)
	if !ok {
		return answer // the loop may not have come to it yet: the entry is not to be read
	}
	ctx, cancel := context.WithTimeout(ctx, responseTimeout)
	defer cancel()
	if err := sb.oplog.PutIntake(ctx, oplog.Intake{Job: jobNumber, Data: entry.Append(nil)}); err != nil {
		return result.NoLeader{}
	}
	sb.log.Debug("job accepted into intake", "job", spec.ID)
	return accepted
}

// Submit takes a job.
func (sb *submissions) Submit(ctx context.Context, body []byte) result.Result {
	if _, err := wire.PeekJobID(body); err != nil {
		return result.Invalid{Reason: err.Error()}
	}
	leads, storeReachable := sb.forward.routingState()
	if !leads && storeReachable {
		return sb.submitWithFallback(ctx, body)
	}
	request := &rpc.Request{Op: rpc.OpSubmit, Body: body}
	if answer, ok := sb.forward.toLeaderOrOthers(ctx, request, leads, storeReachable); ok {
		return result.Forwarded{Response: answer}
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
func (sb *submissions) submitWithFallback(ctx context.Context, body []byte) result.Result {
	began := time.Now()
	averageLatency := time.Duration(sb.submitLatency.Load())
	forwarded := make(chan result.Result, 1) // nil: no answer, or none that is final
	go func() {
		response, ok := sb.forward.toLeader(ctx, &rpc.Request{Op: rpc.OpSubmit, Body: body}, forwardTimeout)
		if !ok {
			forwarded <- nil
			return
		}
		latency := time.Since(began)
		sb.submitLatency.Store(int64(averageLatency + (latency-averageLatency)/4))
		if answer := (result.Forwarded{Response: response}); !result.IsUnavailable(answer) {
			forwarded <- answer
			return
		}
		forwarded <- nil
	}()
	fallbackTimer := time.NewTimer(min(forwardTimeout, max(minForwardWait, 3*averageLatency)))
	defer fallbackTimer.Stop()
	select {
	case answer := <-forwarded:
		if answer != nil {
			return answer
		}
		return sb.submitToIntake(ctx, body)
	case <-fallbackTimer.C:
	}
	intakeAnswers := make(chan result.Result, 1)
	go func() { intakeAnswers <- sb.submitToIntake(ctx, body) }()
	select {
	case answer := <-forwarded:
		if answer != nil {
			return answer
		}
		return <-intakeAnswers
	case answer := <-intakeAnswers:
		if !result.IsUnavailable(answer) {
			return answer
		}
		if final := <-forwarded; final != nil {
			return final
		}
		return answer
	}
}

// minForwardWait is how long the leader has at least for a submission before there is another way.
const minForwardWait = 60 * time.Millisecond

// pendingStatus is the state of a job that was accepted and of which nothing else is known.
func pendingStatus(jobNumber uint64) wire.JobStatus {
	return wire.JobStatus{ID: wire.JobID(jobNumber), State: wire.JobPending}
}

func (sb *submissions) submitAsLeader(ctx context.Context, body []byte) result.Result {
	jobNumber, err := wire.PeekJobID(body)
	if err != nil {
		return result.Invalid{Reason: err.Error()}
	}
	spec, specErr := wire.ParseJob(body)
	submit := func(send func(result.Result)) { sb.accept(model.JobID(jobNumber), spec, specErr, send) }
	answer := sb.loop.answerInTurn(ctx, submit)
	if result.IsRejection(answer) {
		// Another node may have taken it, as it was sent then, and this one not know yet.
		if !sb.intake.resolve(ctx, jobNumber) {
			return result.NoLeader{}
		}
		return sb.loop.answerInTurn(ctx, submit)
	}
	return answer
}

func (sb *submissions) accept(id model.JobID, spec *wire.JobSpec, specErr error, send func(result.Result)) {
	if !sb.term.isActive() {
		send(result.NoLeader{})
		return
	}
	r := sb.term.ownTerm
	// A known job is recognised before anything is checked: a repeat must never
	// be told that it is invalid.
	if sb.jobStatus.respondIfKnown(id, send) {
		return
	}
	if specErr == nil && r.stalled() {
		send(result.Unavailable{Reason: "the state service does not answer", RetryAfter: 2 * time.Second})
		return
	}
	if r := sb.rejection(spec, specErr); r != nil {
		send(r)
		return
	}
	if wait, ok := sb.loop.admissionGate.Admit(sb.now()); !ok {
		sb.metrics.NotAdmitted.Inc()
		send(result.Overloaded{Reason: "more work is offered than can be taken", RetryAfter: wait})
		return
	}
	entry := model.Accepted(spec, time.Now().UnixMilli())
	seq := sb.commits.propose(entry)
	sb.loop.roundRequested = true
	sb.log.Debug("job accepted", "job", spec.ID, "class", spec.Class, "tasks", spec.Tasks)
	responded := false
	respond := func(answer result.Result) {
		if !responded {
			responded = true
			send(answer)
		}
	}
	accepted := result.Accepted{Status: pendingStatus(uint64(id))}
	sb.commits.whenCommitted(seq, func(ok bool) {
		if !ok {
			respond(result.NoLeader{})
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
func (sb *submissions) rejection(spec *wire.JobSpec, specErr error) result.Result {
	switch {
	case specErr != nil:
		return result.Invalid{Reason: specErr.Error()}
	case !sb.replica.model.TypesKnown():
		return result.Unavailable{Reason: "machine types are not known yet", RetryAfter: time.Second}
	}
	if reason := sb.replica.model.CanEverRun(spec); reason != "" {
		return result.Unschedulable{Reason: reason}
	}
	limit := sb.maxUnfinishedTasks()
	if team := sb.replica.model.TeamOf(
		spec.Team,
	); sb.replica.model.LiveTasks+spec.Tasks > limit ||
		len(sb.replica.model.Teams) > 1 && team.LiveTasks+spec.Tasks > limit*4/5 {
		// No team alone fills it, or a guest's arrays would shut out the others.
		return result.Overloaded{Reason: "too many unfinished tasks", RetryAfter: 10 * time.Second}
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
