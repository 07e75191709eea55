package controller

import (
	"context"
	"time"

	"fieldhill/internal/replication/commitfence"
	"fieldhill/internal/result"
	"fieldhill/internal/rpc"
)

// commitFence determines, while this controller cannot reach the key-value store, the latest time at which the
// controller's copy of the log is known to have been complete, that is, to have contained every committed entry. The
// event loop owns the fields of commitFence.
type commitFence struct {
	*environment
	loop    *eventLoop
	replica *replica
	term    *termState

	provenAt         time.Time // latest time for which the other controllers confirmed that the local copy was complete
	lastBarrierRound time.Time // start of the last barrier round
}

func newCommitFence(env *environment, loop *eventLoop, replica *replica, term *termState) *commitFence {
	return &commitFence{environment: env, loop: loop, replica: replica, term: term}
}

// knownCommittedAt returns the latest time at which the local copy of the log was known to be complete, either because
// it was read to its end or because a barrier round confirmed it.
func (cf *commitFence) knownCommittedAt() time.Time {
	if cf.provenAt.After(cf.replica.caughtUpAt) {
		return cf.provenAt
	}
	return cf.replica.caughtUpAt
}

// barrierInterval is the interval between barrier rounds, and the timeout of the queries of one round.
const barrierInterval = 2 * time.Second

// replyWatermarks answers the watermark query of a controller that cannot reach the key-value store. The answer
// contains the age of this process and the newest batch that it has known to be committed.
func (cf *commitFence) replyWatermarks(ctx context.Context) result.Result {
	return cf.loop.answer(ctx, func(send func(result.Result)) {
		send(result.Done{Body: cf.replica.watermarks.Report(cf.now()).Append(nil)})
	})
}

// barrierRound collects the other controllers' watermarks, to find the latest time at which the local copy of the log
// was complete.
type barrierRound struct {
	*commitfence.BarrierRound
	generation int // replica.generation at the start of the round
}

// runBarrierRound asks all other controllers for the newest batch that each knows to be committed. If all of them
// answer and none knows of a batch that this controller has not applied, this controller may go on renewing agents'
// leases although it cannot read the log. Without this, a key-value store outage longer than StaleRenewalLimit would
// let all leases expire and end all tasks.
func (cf *commitFence) runBarrierRound() {
	now := time.Now()
	if !cf.barrierDue(now) {
		return
	}
	cf.lastBarrierRound = now
	round := &barrierRound{
		BarrierRound: cf.replica.watermarks.BeginRound(
			cf.now(), cf.knownCommittedAt().Sub(cf.startTime), cf.replica.appliedSeq, len(cf.settings.Members),
		),
		generation: cf.replica.generation,
	}
	if len(cf.settings.Members) == 0 {
		cf.advance(round)
		return
	}
	for i, member := range cf.settings.Members {
		go cf.queryWatermark(cf.ctx, round, i, cf.links[member.Node])
	}
}

// barrierDue reports whether to start a barrier round: this controller cannot reach the key-value store, its copy of
// the log is not older than the renewal limit, all other controllers are reachable, and barrierInterval has passed
// since the last round.
func (cf *commitFence) barrierDue(now time.Time) bool {
	if cf.term.isActive() || !cf.replica.loaded || cf.term.ownTerm == nil && cf.replica.isStoreReachable() ||
		now.Sub(cf.knownCommittedAt()) > cf.settings.StaleRenewalLimit() ||
		now.Sub(cf.lastBarrierRound) < barrierInterval {
		return false
	}
	for _, link := range cf.links {
		if !isReachable(link) {
			return false
		}
	}
	return true
}

// queryWatermark queries the controller with the given index and records its watermark. If that controller does not
// answer, is busy, or runs an older version that does not support the query, provenAt does not change.
func (cf *commitFence) queryWatermark(ctx context.Context, round *barrierRound, index int, link *rpc.Link) {
	ctx, cancel := context.WithTimeout(ctx, barrierInterval)
	defer cancel()
	response, err := link.Do(ctx, &rpc.Request{Op: rpc.OpWatermark})
	if err != nil || !result.IsDone(result.Forwarded{Response: response}) {
		return
	}
	report, err := commitfence.ReadReport(response.Body)
	if err != nil {
		cf.log.Warn("malformed watermark report", "node", link.Node, "err", err)
		return
	}
	cf.loop.post(func() {
		round.Record(index, report, cf.now())
		cf.advance(round)
	})
}

// advance moves provenAt forward if the round has proven that the local copy of the log was complete at a later time.
func (cf *commitFence) advance(round *barrierRound) {
	provenOffset, ok := round.CompleteAt()
	if !ok || cf.replica.generation != round.generation || !cf.replica.loaded {
		return // not proven, or the local copy of the log has been replaced since the round began
	}
	provenAt := cf.startTime.Add(provenOffset)
	if !provenAt.After(cf.knownCommittedAt()) {
		return
	}
	if !cf.provenAt.After(cf.replica.caughtUpAt) {
		cf.log.Info("key-value store unreachable from all controllers, leases extended",
			"duration", time.Since(cf.replica.caughtUpAt).Round(time.Second))
	}
	cf.provenAt = provenAt
}
