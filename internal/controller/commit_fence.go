package controller

import (
	"context"
	"time"

	"fieldhill/internal/replication/commitfence"
	"fieldhill/internal/result"
	"fieldhill/internal/rpc"
)

// commitFence proves, out of touch with the key-value store, until when nothing was committed that this controller
// lacks. The loop owns its fields.
type commitFence struct {
	*environment
	loop    *eventLoop
	replica *replica
	term    *termState

	provenAt         time.Time // the other controllers showed that nothing this one lacks was committed by then
	lastBarrierRound time.Time // when they were last asked
}

// newCommitFence makes a fence that has proven nothing.
func newCommitFence(env *environment, loop *eventLoop, replica *replica, term *termState) *commitFence {
	return &commitFence{environment: env, loop: loop, replica: replica, term: term}
}

// knownCommittedAt is when this controller last knew of all that had been committed: its copy of the log was complete,
// or a barrier round proved it.
func (cf *commitFence) knownCommittedAt() time.Time {
	if cf.provenAt.After(cf.replica.caughtUpAt) {
		return cf.provenAt
	}
	return cf.replica.caughtUpAt
}

// barrierInterval is how often a controller that is out of touch asks the others for their watermarks.
const barrierInterval = 2 * time.Second

// replyWatermarks answers a controller that is out of touch.
func (cf *commitFence) replyWatermarks(ctx context.Context) result.Result {
	return cf.loop.answer(ctx, func(send func(result.Result)) {
		send(result.Done{Body: cf.replica.watermarks.Report(cf.now()).Append(nil)})
	})
}

// barrierRound is one round of asking all other controllers for their watermarks.
type barrierRound struct {
	*commitfence.BarrierRound
	generation int // of the copy that the round is about
}

// runBarrierRound asks all other controllers whether anything may have been committed that this one does not know of,
// while it can't read the log. If all can be asked and none has, agents' leases are renewed for longer: without this
// an outage of the key-value store longer than the bound ends all work.
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

// barrierDue tells whether a round is of use: this controller is out of touch, its copy is not too old to be vouched
// for, and all the others can be asked.
func (cf *commitFence) barrierDue(now time.Time) bool {
	if cf.term.isActive() || !cf.replica.loaded || cf.term.ownTerm == nil && cf.replica.isStoreReachable() ||
		now.Sub(cf.knownCommittedAt()) > cf.settings.StaleRenewalLimit() ||
		now.Sub(cf.lastBarrierRound) < barrierInterval {
		return false
	}
	for _, link := range cf.links {
		if !isReached(link) {
			return false
		}
	}
	return true
}

// queryWatermark asks the controller with this index for its watermark and records the answer. Without one, or with
// one from an older version or a busy controller, the bound stays as it was.
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

// advance moves the proven time forward if a round has proven a later one.
func (cf *commitFence) advance(round *barrierRound) {
	provenOffset, ok := round.Proven()
	if !ok || cf.replica.generation != round.generation || !cf.replica.loaded {
		return // not proven, or the copy that the round was about is gone
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
