package controller

import (
	"context"
	"time"

	"fieldhill/internal/metrics"
	"fieldhill/internal/model"
	"fieldhill/internal/replication/oplog"
	"fieldhill/internal/result"
	"fieldhill/wire"
)

// This file decides which submissions are answered as new. A submission is answered with result.Accepted only if nobody
// was told before its arrival that the job is accepted; every other acceptance is answered with result.JobState, which
// is no older than any state that was told. Users are told only what is in the log or in the intake. So a submission is
// new if, at one instant after its arrival, neither contained the job:
//
//   - Without the leader, while the log is quiet, the log is read, and the job is recorded if there is no record and
//     the log has not moved. If it has, or is not quiet, the intake is read and then the log (jobStatus.readStored),
//     and the job is recorded unless there is a record by now.
//   - The leader knows the log. The batch that accepts the job requires that the intake has no record of it
//     (commitPipeline.proposeNewJob). While the store is slow, the leader instead writes the record itself, under the
//     condition that it still leads and that there is no record.
//
// If neither can be shown, the submission is answered as a repeated one, with the job's committed state.

// submitToIntake accepts a job without the leader, if neither the intake nor the log contains the job and the key-value
// store accepts the intake record.
func (sb *submissions) submitToIntake(ctx context.Context, body []byte) result.Result {
	jobNumber, err := wire.PeekJobID(body)
	if err != nil {
		return result.Invalid{Reason: err.Error()}
	}
	allowed, logQuiet := sb.intake.allow()
	if !allowed {
		return result.NoLeader{}
	}
	spec, specErr := wire.ParseJob(body)
	submission := &intakeSubmission{id: model.JobID(jobNumber), spec: spec, specErr: specErr}
	if logQuiet {
		if sb.replica.catchUp(ctx) != nil {
			return result.NoLeader{}
		}
		answer := sb.recordUnlessKnown(ctx, submission, nil, true)
		if answer != nil && !result.IsRejection(answer) {
			return answer
		}
		// The log moved, or the job may be known with an earlier specification.
	}
	record, err := sb.jobStatus.readStored(ctx, submission.id, sb.intake.lookupForSubmission)
	if err != nil {
		return result.NoLeader{}
	}
	return sb.recordUnlessKnown(ctx, submission, record, false)
}

// intakeSubmission is a submission that is handled without the leader.
type intakeSubmission struct {
	id      model.JobID
	spec    *wire.JobSpec
	specErr error
}

// intakeCandidate is a job that may be recorded in the intake if the log still has the given end.
type intakeCandidate struct {
	entry *model.Entry
	end   oplog.End
}

// recordUnlessKnown records a job in the intake and returns result.Accepted, or the job's state if it is known, or the
// reason why it is refused. The log was read before; record is the intake record that was read before that. With atEnd,
// no record was read: the job is recorded only if the log still has the same end, and otherwise the answer is nil.
func (sb *submissions) recordUnlessKnown(
	ctx context.Context, submission *intakeSubmission, record *oplog.Intake, atEnd bool,
) result.Result {
	var candidate intakeCandidate
	answer := sb.loop.answerRequest(ctx, func(send func(result.Result)) {
		var decision result.Result
		candidate.entry, decision = sb.decideForIntake(submission, record)
		candidate.end = sb.replica.end()
		send(decision)
	})
	accepted, ok := answer.(result.Accepted)
	if !ok {
		return answer // on a timeout the loop may still write candidate, so it must not be read
	}
	if atEnd && !candidate.end.IsKnown() {
		return nil
	}
	write, err := sb.putCandidate(ctx, candidate, atEnd)
	switch {
	case err != nil:
		return result.NoLeader{}
	case write.LogMoved:
		return nil
	case write.Created:
		sb.noteRecorded(submission.id, write)
		return accepted
	}
	if sb.replica.catchUp(ctx) != nil { // the job may have been ingested, and ended, since its record was written
		return result.NoLeader{}
	}
	sb.noteRepeat(submission.id, metrics.FoundInIntake, write.Revision)
	return sb.jobStatus.answerFromLog(ctx, submission.id, true)
}

// putCandidate writes the intake record of a job, with atEnd only if the log still has the same end.
func (sb *submissions) putCandidate(
	ctx context.Context, candidate intakeCandidate, atEnd bool,
) (oplog.IntakeWrite, error) {
	ctx, cancel := context.WithTimeout(ctx, responseTimeout)
	defer cancel()
	record := oplog.Intake{Job: uint64(candidate.entry.Job), Data: candidate.entry.Append(nil)}
	if atEnd {
		return sb.oplog.PutIntakeAtEnd(ctx, candidate.end, record)
	}
	return sb.oplog.PutIntake(ctx, record)
}

// decideForIntake decides, on the event loop, whether a job may be accepted without the leader. record is the job's
// intake record, if it was read and there is one. decideForIntake returns the log entry for the intake record only
// together with result.Accepted.
func (sb *submissions) decideForIntake(
	submission *intakeSubmission, record *oplog.Intake,
) (*model.Entry, result.Result) {
	if sb.term.ownTerm != nil || !sb.replica.loaded {
		return nil, result.NoLeader{}
	}
	id := submission.id
	if status := sb.jobStatus.committedStatus(id); status != nil {
		sb.noteRepeat(id, metrics.FoundInLog, sb.replica.appliedSeq)
		return nil, result.JobState{Status: *status}
	}
	if record != nil {
		sb.noteRepeat(id, metrics.FoundInIntake, record.Version)
		return nil, result.JobState{Status: pendingStatus(uint64(id))}
	}
	if refusal := sb.refusal(submission.spec, submission.specErr); refusal != nil {
		return nil, refusal
	}
	entry := model.NewAcceptance(submission.spec, time.Now().UnixMilli())
	return entry, result.Accepted{Status: pendingStatus(uint64(id))}
}

// pendingStatus returns the status of a job of which only its acceptance is known.
func pendingStatus(jobNumber uint64) wire.JobStatus {
	return wire.JobStatus{ID: wire.JobID(jobNumber), State: wire.JobPending}
}

// accept decides on the leader's event loop whether to accept a job. It sends a refusal at once, and an acceptance when
// the job is durable.
func (sb *submissions) accept(id model.JobID, spec *wire.JobSpec, specErr error, send func(result.Result)) {
	if !sb.term.isActive() {
		send(result.NoLeader{})
		return
	}
	// Known jobs are handled before any validation: a repeated submission must never be refused as invalid.
	if sb.jobStatus.respondIfKnown(id, send) {
		sb.noteRepeat(id, metrics.FoundInLog, sb.replica.appliedSeq)
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
	sb.appendNewJob(term, model.NewAcceptance(spec, time.Now().UnixMilli()), send)
	sb.loop.requestRound()
}

// slowWriteThreshold is the transaction latency from which the key-value store counts as slow.
const slowWriteThreshold = 60 * time.Millisecond

// appendNewJob appends a job to the log and sends the answer as soon as the job is durable, or result.NoLeader if the
// term ends before that. A job is durable once it is committed to the log. While the key-value store is slow, and the
// write budget has room, appendNewJob also writes an intake record, which is just as durable and faster: log batches
// are written one at a time, so the job waits for the batch in progress and then for its own, while the record is
// written at once.
func (sb *submissions) appendNewJob(term *leaderTerm, entry *model.Entry, send func(result.Result)) {
	answer := &singleAnswer{send: send}
	if sb.store.TxnLatency() >= slowWriteThreshold && sb.oplog.ReserveIntakeWrite() {
		sb.answerWhenCommitted(term, sb.commits.propose(entry), entry.Job, answer)
		go sb.answerWhenRecorded(term, entry, answer)
		return
	}
	sb.answerWhenCommitted(term, sb.commits.proposeNewJob(entry), entry.Job, answer)
}

// singleAnswer sends the first answer to a submission. The event loop owns it.
type singleAnswer struct {
	send func(result.Result)
	sent bool
}

// give sends an answer unless one was sent before, and reports whether it did.
func (a *singleAnswer) give(answer result.Result) bool {
	if a.sent {
		return false
	}
	a.sent = true
	a.send(answer)
	return true
}

// answerWhenCommitted answers a submission once the batch that accepts the job is committed.
func (sb *submissions) answerWhenCommitted(term *leaderTerm, seq uint64, id model.JobID, answer *singleAnswer) {
	sb.commits.whenCommitted(seq, func(ok bool) {
		switch {
		case answer.sent:
			return
		case !ok:
			answer.give(result.NoLeader{})
			return
		}
		record := term.commits.lastBatch.recordOf(id)
		if record == recordPresent {
			sb.noteRepeat(id, metrics.FoundInIntake, seq)
		} else {
			sb.metrics.AcceptedIntoLog.Inc()
			sb.log.Info("job accepted", "job", wire.JobID(uint64(id)), "seq", seq, "new", record == recordAbsent)
		}
		if record == recordAbsent {
			answer.give(result.Accepted{Status: pendingStatus(uint64(id))})
		} else {
			sb.jobStatus.respondIfKnown(id, func(state result.Result) { answer.give(state) })
		}
	})
}

// answerWhenRecorded writes the intake record of a job that the leader has proposed, and answers the submission if
// there was no record before.
func (sb *submissions) answerWhenRecorded(term *leaderTerm, entry *model.Entry, answer *singleAnswer) {
	ctx, cancel := context.WithTimeout(term.ctx, responseTimeout)
	defer cancel()
	record := oplog.Intake{Job: uint64(entry.Job), Data: entry.Append(nil)}
	write, err := sb.oplog.PutIntakeAsLeader(ctx, &term.leader, record)
	if err != nil || !write.Created {
		return
	}
	sb.loop.post(func() {
		if answer.give(result.Accepted{Status: pendingStatus(uint64(entry.Job))}) {
			sb.noteRecorded(entry.Job, write)
		}
	})
}

// noteRecorded logs and counts that a new job was accepted into the intake.
func (sb *submissions) noteRecorded(id model.JobID, write oplog.IntakeWrite) {
	sb.metrics.AcceptedIntoIntake.Inc()
	sb.log.Info("job accepted into intake", "job", wire.JobID(uint64(id)), "revision", write.Revision)
}

// noteRepeat logs and counts a submission that is not answered as new, where its job was found, and how far that was
// read: up to a batch of the log, or at a revision of the store. If the leader found the job in the intake, at is the
// batch that it wrote without requiring that there is no record.
func (sb *submissions) noteRepeat(id model.JobID, found metrics.RepeatSource, at uint64) {
	sb.metrics.Repeats[found].Inc()
	sb.log.Info("submission repeated", "job", wire.JobID(uint64(id)), "found", found.String(), "at", at)
}
