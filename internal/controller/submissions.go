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

// submissions accepts jobs, each once however often and by whichever controller it is submitted: as the leader into
// the log, and otherwise by passing them to the leader or by the intake.
//
// Its methods run on the goroutines of requests; they read the model, and change it by entries of the log, only in work
// that they hand to the loop.
type submissions struct {
	*environment
	commits   *commitPipeline
	forward   *forwarder
	intake    *intake
	loop      *eventLoop
	replica   *replica
	jobStatus *jobStatus
	term      *termState

	// forwardLatency is a moving average, in nanoseconds, of how long the leader takes to answer a submission that this
	// controller passes on. Goroutines of requests read and write it; an update that is lost does not matter.
	forwardLatency atomic.Int64
}

// Submit accepts a job, or says why it does not.
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
		return answer
	}
	if leads {
		return sb.submitAsLeader(ctx, body)
	}
	return sb.submitToIntake(ctx, body)
}

const (
	// minForwardWait is how long the leader has at least for a submission before the intake is used as well.
	minForwardWait = 60 * time.Millisecond
	// forwardLatencyFactor is how many times its average latency the leader may take before that.
	forwardLatencyFactor = 3
	// forwardLatencyWeight is the part of the average that the last latency makes up, as a divisor.
	forwardLatencyWeight = 4
)

// submitWithFallback passes a job to the leader, and accepts it by the intake as well if the leader takes much longer
// than it usually does: it may have ended, be stopped or partitioned, which is not known for some seconds. A job that
// arrives both ways is accepted once, since a record in the intake of a job that the log has is dropped.
func (sb *submissions) submitWithFallback(ctx context.Context, body []byte) result.Result {
	averageLatency := time.Duration(sb.forwardLatency.Load())
	forwarded := sb.forwardSubmission(ctx, body, averageLatency)
	fallbackTimer := time.NewTimer(min(forwardTimeout, max(minForwardWait, forwardLatencyFactor*averageLatency)))
	defer fallbackTimer.Stop()
	select {
	case answer := <-forwarded:
		if answer != nil {
			return answer
		}
		return sb.submitToIntake(ctx, body)
	case <-fallbackTimer.C:
	}
	recorded := make(chan result.Result, 1)
	go func() { recorded <- sb.submitToIntake(ctx, body) }()
	return firstFinal(forwarded, recorded)
}

// forwardSubmission passes a job to the leader and sends its answer, or nil if there is none or it decides nothing.
func (sb *submissions) forwardSubmission(
	ctx context.Context, body []byte, averageLatency time.Duration,
) <-chan result.Result {
	start := time.Now()
	answers := make(chan result.Result, 1)
	go func() {
		answer, ok := sb.forward.toLeader(ctx, &rpc.Request{Op: rpc.OpSubmit, Body: body}, forwardTimeout)
		if !ok {
			answers <- nil
			return
		}
		latency := time.Since(start)
		sb.forwardLatency.Store(int64(averageLatency + (latency-averageLatency)/forwardLatencyWeight))
		if result.IsUnavailable(answer) {
			answers <- nil
			return
		}
		answers <- answer
	}()
	return answers
}

// firstFinal is the first of the answers of the leader and the intake that decides about the job. The leader's is nil
// where it decides nothing; if neither decides, the intake's says so.
func firstFinal(forwarded, recorded <-chan result.Result) result.Result {
	select {
	case answer := <-forwarded:
		if answer != nil {
			return answer
		}
		return <-recorded
	case answer := <-recorded:
		if !result.IsUnavailable(answer) {
			return answer
		}
		if final := <-forwarded; final != nil {
			return final
		}
		return answer
	}
}

// submitToIntake accepts a job without the leader, if this controller is sure that the log does not have it and the
// key-value store takes its record.
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
		var decision result.Result
		entry, decision = sb.decideForIntake(model.JobID(jobNumber), spec, specErr)
		send(decision)
	})
	if result.IsRejection(answer) {
		switch record, err := sb.intake.lookup(ctx, jobNumber); {
		case err != nil:
			return result.NoLeader{}
		case record != nil: // accepted, with the specification that it had then
			return result.JobState{Status: pendingStatus(jobNumber)}
		}
	}
	accepted, ok := answer.(result.Accepted)
	if !ok {
		return answer // the loop may not have got to it yet: the entry must not be read
	}
	ctx, cancel := context.WithTimeout(ctx, responseTimeout)
	defer cancel()
	if err := sb.oplog.PutIntake(ctx, oplog.Intake{Job: jobNumber, Data: entry.Append(nil)}); err != nil {
		return result.NoLeader{}
	}
	sb.log.Debug("job accepted into intake", "job", spec.ID)
	return accepted
}

// decideForIntake decides in the loop about a job that is to be accepted without the leader: the entry that accepts
// it, to be recorded in the intake, goes with result.Accepted alone.
func (sb *submissions) decideForIntake(
	id model.JobID, spec *wire.JobSpec, specErr error,
) (*model.Entry, result.Result) {
	if sb.term.ownTerm != nil || !sb.replica.loaded {
		return nil, result.NoLeader{}
	}
	if status := sb.jobStatus.committedStatus(id); status != nil {
		return nil, result.JobState{Status: *status}
	}
	if refusal := sb.refusal(spec, specErr); refusal != nil {
		return nil, refusal
	}
	return model.Accepted(spec, time.Now().UnixMilli()), result.Accepted{Status: pendingStatus(uint64(id))}
}

// pendingStatus is the state of a job that was accepted and of which nothing else is known.
func pendingStatus(jobNumber uint64) wire.JobStatus {
	return wire.JobStatus{ID: wire.JobID(jobNumber), State: wire.JobPending}
}

// submitAsLeader accepts a job into the log.
func (sb *submissions) submitAsLeader(ctx context.Context, body []byte) result.Result {
	jobNumber, err := wire.PeekJobID(body)
	if err != nil {
		return result.Invalid{Reason: err.Error()}
	}
	spec, specErr := wire.ParseJob(body)
	//nolint:contextcheck // a job that is in the log is recorded for the term, whether or not its request goes on
	submit := func(send func(result.Result)) { sb.accept(model.JobID(jobNumber), spec, specErr, send) }
	answer := sb.loop.answerInTurn(ctx, submit)
	if !result.IsRejection(answer) {
		return answer
	}
	// Another controller may have accepted it, with the specification that it had then, and the log not have it yet.
	if !sb.intake.resolve(ctx, jobNumber) {
		return result.NoLeader{}
	}
	return sb.loop.answerInTurn(ctx, submit)
}

// accept decides in the loop about a job as the leader, and sends its answer at once or when the job is durable.
func (sb *submissions) accept(id model.JobID, spec *wire.JobSpec, specErr error, send func(result.Result)) {
	if !sb.term.isActive() {
		send(result.NoLeader{})
		return
	}
	// A known job is recognised before anything is checked: a repeated request must never be answered as invalid.
	if sb.jobStatus.respondIfKnown(id, send) {
		return
	}
	term := sb.term.ownTerm
	if specErr == nil && term.stalled() {
		send(result.Unavailable{Reason: "the state service does not answer", RetryAfter: 2 * time.Second})
		return
	}
	if refusal := sb.refusal(spec, specErr); refusal != nil {
		send(refusal)
		return
	}
	if wait, ok := sb.loop.admissionGate.Admit(sb.now()); !ok {
		sb.metrics.NotAdmitted.Inc()
		send(result.Overloaded{Reason: "more work is offered than can be taken", RetryAfter: wait})
		return
	}
	entry := model.Accepted(spec, time.Now().UnixMilli())
	seq := sb.commits.propose(entry)
	sb.loop.requestRound()
	sb.log.Debug("job accepted", "job", spec.ID, "class", spec.Class, "tasks", spec.Tasks)
	sb.answerWhenDurable(term, seq, entry, send)
}

// slowWriteThreshold is how long a transaction takes when the key-value store counts as slow.
const slowWriteThreshold = 60 * time.Millisecond

// answerWhenDurable answers for a job that was just accepted as soon as the log has it. While the key-value store is
// slow its record in the intake is as good: batches are written one after the other, so the job waits for the one that
// is being written and for its own, and the record need not wait.
func (sb *submissions) answerWhenDurable(
	term *leaderTerm, seq uint64, entry *model.Entry, send func(result.Result),
) {
	answered := false // in the loop, as all that follows is but the write of the record
	answerOnce := func(answer result.Result) {
		if !answered {
			answered = true
			send(answer)
		}
	}
	accepted := result.Accepted{Status: pendingStatus(uint64(entry.Job))}
	sb.commits.whenCommitted(seq, func(ok bool) {
		if !ok {
			answerOnce(result.NoLeader{})
			return
		}
		answerOnce(accepted)
	})
	if sb.store.TxnLatency() < slowWriteThreshold {
		return
	}
	go func() {
		ctx, cancel := context.WithTimeout(term.ctx, responseTimeout)
		defer cancel()
		if sb.oplog.TryIntake(ctx, oplog.Intake{Job: uint64(entry.Job), Data: entry.Append(nil)}) == nil {
			sb.loop.post(func() { answerOnce(accepted) })
		}
	}()
}

// refusal says why a job that is not known can't be accepted, or is nil. It is for the loop.
func (sb *submissions) refusal(spec *wire.JobSpec, specErr error) result.Result {
	switch {
	case specErr != nil:
		return result.Invalid{Reason: specErr.Error()}
	case !sb.replica.model.TypesKnown():
		return result.Unavailable{Reason: "machine types are not known yet", RetryAfter: time.Second}
	}
	if reason := sb.replica.model.CanEverRun(spec); reason != "" {
		return result.Unschedulable{Reason: reason}
	}
	if sb.exceedsUnfinishedTasks(spec) {
		return result.Overloaded{Reason: "too many unfinished tasks", RetryAfter: 10 * time.Second}
	}
	sb.trimUnknownTypes(spec)
	return nil
}

// exceedsUnfinishedTasks tells whether a job would take the unfinished tasks beyond their number, or its team beyond
// four fifths of that: no team alone fills it, or one team's arrays would shut out the others.
func (sb *submissions) exceedsUnfinishedTasks(spec *wire.JobSpec) bool {
	limit := sb.maxUnfinishedTasks()
	team := sb.replica.model.TeamOf(spec.Team)
	return sb.replica.model.LiveTasks+spec.Tasks > limit ||
		len(sb.replica.model.Teams) > 1 && team.LiveTasks+spec.Tasks > limit*4/5
}

// trimUnknownTypes drops names that no machine type has, so that a record stays small.
func (sb *submissions) trimUnknownTypes(spec *wire.JobSpec) {
	if spec.Types == nil {
		return
	}
	known := []string{}
	for _, name := range spec.Types {
		if id, ok := sb.replica.model.TypeNames.Find(name); ok && sb.replica.model.Types[id].Known {
			known = append(known, name)
		}
	}
	spec.Types = known
}

const (
	// minUnfinishedTasks is how many unfinished tasks any controller takes.
	minUnfinishedTasks = 20_000
	// unfinishedTaskBytes is the memory that an unfinished task takes with its run, at most.
	unfinishedTaskBytes = 200
)

// maxUnfinishedTasks bounds unfinished tasks by a quarter of the memory.
func (sb *submissions) maxUnfinishedTasks() int {
	return max(minUnfinishedTasks, int(sb.settings.Params.Limits.MemoryMB*(1<<20)/4/unfinishedTaskBytes))
}
