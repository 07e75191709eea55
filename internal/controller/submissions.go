package controller

import (
	"context"
	"sync/atomic"
	"time"

	"fieldhill/internal/model"
	"fieldhill/internal/result"
	"fieldhill/internal/rpc"
	"fieldhill/wire"
)

// submissions accepts jobs, each exactly once, no matter how often or at which controllers it is submitted. The leader
// appends a job to the log; other controllers forward it to the leader or write it to the intake.
//
// Requests are handled on their own goroutines, which post functions to the event loop. Only these functions, and the
// methods that they call, access the model and propose log entries.
type submissions struct {
	*environment
	commits   *commitPipeline
	forward   *forwarder
	intake    *intake
	loop      *eventLoop
	replica   *replica
	jobStatus *jobStatus
	term      *termState

	// forwardLatency is a moving average, in nanoseconds, of the time the leader takes to answer a forwarded
	// submission. Request goroutines update it without locking; a lost update is harmless.
	forwardLatency atomic.Int64
}

// Submit accepts a job, or returns the reason why it is refused.
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
	// minForwardWait is the minimum time for which a submission waits for the leader's answer before it is also written
	// to the intake.
	minForwardWait = 60 * time.Millisecond
	// forwardLatencyFactor is the multiple of the leader's average latency for which a submission waits. The wait is at
	// least minForwardWait and at most forwardTimeout.
	forwardLatencyFactor = 3
	// forwardLatencyWeight is the divisor of the latest sample in the moving average of the leader's latency.
	forwardLatencyWeight = 4
)

// submitWithFallback forwards a job to the leader, and also writes it to the intake if the leader takes much longer
// than usual to answer: the leader may have ended, be paused or be partitioned, which takes seconds to detect. A job
// that arrives both ways is accepted once, since an intake record of a job that is in the log is dropped.
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
	return firstDecision(forwarded, recorded)
}

// forwardSubmission forwards a job to the leader. The channel that it returns receives the leader's answer, or nil if
// there is no answer or the leader is unavailable.
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

// firstDecision waits for the answers of the leader and of the intake, and returns the first one that accepts or
// refuses the job. The leader's answer is nil if the leader did neither. If no answer accepts or refuses the job, the
// intake's answer is returned.
func firstDecision(forwarded, recorded <-chan result.Result) result.Result {
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
		if decision := <-forwarded; decision != nil {
			return decision
		}
		return answer
	}
}

// submitAsLeader accepts a job into the log, or returns the reason why it is refused.
func (sb *submissions) submitAsLeader(ctx context.Context, body []byte) result.Result {
	jobNumber, err := wire.PeekJobID(body)
	if err != nil {
		return result.Invalid{Reason: err.Error()}
	}
	spec, specErr := wire.ParseJob(body)
	//nolint:contextcheck // a job in the log is recorded under the term's context, even if its request ends
	submit := func(send func(result.Result)) { sb.accept(model.JobID(jobNumber), spec, specErr, send) }
	answer := sb.loop.answerRequest(ctx, submit)
	if !result.IsRejection(answer) {
		return answer
	}
	// Another controller may have accepted the job with an earlier specification, and the intake record may not be in
	// the log yet.
	if !sb.intake.resolve(ctx, jobNumber) {
		return result.NoLeader{}
	}
	return sb.loop.answerRequest(ctx, submit)
}

// refusal returns the reason why a job that is not known yet can't be accepted, or nil. It must run on the event loop.
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

// exceedsUnfinishedTasks reports whether a job would exceed the limit of unfinished tasks. If there is more than one
// team, it also reports true if the job would raise its team above four fifths of the limit, so that one team's arrays
// can't shut out the other teams.
func (sb *submissions) exceedsUnfinishedTasks(spec *wire.JobSpec) bool {
	limit := sb.maxUnfinishedTasks()
	team := sb.replica.model.TeamOf(spec.Team)
	return sb.replica.model.LiveTasks+spec.Tasks > limit ||
		len(sb.replica.model.Teams) > 1 && team.LiveTasks+spec.Tasks > limit*4/5
}

// trimUnknownTypes removes unknown machine types from a job's specification, to keep the job's log entry small.
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
	// minUnfinishedTasks is the lower bound of the limit of unfinished tasks, for controllers with little memory.
	minUnfinishedTasks = 20_000
	// unfinishedTaskBytes is the maximum memory that an unfinished task takes, including its run.
	unfinishedTaskBytes = 200
)

// maxUnfinishedTasks returns the limit of unfinished tasks: as many as fit into a quarter of the controller's memory,
// but at least minUnfinishedTasks.
func (sb *submissions) maxUnfinishedTasks() int {
	return max(minUnfinishedTasks, int(sb.settings.Params.Limits.MemoryMB*(1<<20)/4/unfinishedTaskBytes))
}
