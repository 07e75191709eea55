package controller

import (
	"context"
	"net/http"
	"time"

	"fieldhill/internal/replication/commitfence"
	"fieldhill/internal/rpc"
)

// commitFence proves, out of touch with the key-value store, until when nothing was committed that this controller
// lacks.
type commitFence struct {
	*environment
	loop    *eventLoop
	replica *replica
	term    *termState

	provenAt         time.Time // the other controllers showed that nothing this node lacks was confirmed by then
	lastBarrierRound time.Time // when they were last asked
}

// knownCommittedAt is when this node last knew of all that had been confirmed: its copy of the log was complete, or
// the other controllers vouched for it.
func (cf *commitFence) knownCommittedAt() time.Time {
	if cf.provenAt.After(cf.replica.caughtUpAt) {
		return cf.provenAt
	}
	return cf.replica.caughtUpAt
}

// barrierInterval is how often a node that is out of touch asks the others to vouch for it.
const barrierInterval = 2 * time.Second

// replyWatermarks answers a controller that is out of touch.
func (cf *commitFence) replyWatermarks(ctx context.Context) *rpc.Response {
	return cf.loop.respond(ctx, func(send func(*rpc.Response)) {
		send(&rpc.Response{Status: http.StatusOK, Body: cf.replica.watermarks.Report(cf.now()).Append(nil)})
	})
}

// runBarrierRound asks all other controllers whether anything may have been confirmed that this node does not know
// of, while it can't read the log. If all can be asked and none has, workers' leases are kept for longer: a long
// outage used to end all work when the bound was over.
func (cf *commitFence) runBarrierRound() {
	now := time.Now()
	if cf.term.isActive() || !cf.replica.loaded || cf.term.ownTerm == nil && cf.replica.isStoreReachable() ||
		now.Sub(cf.knownCommittedAt()) > cf.settings.StaleRenewalLimit() ||
		now.Sub(cf.lastBarrierRound) < barrierInterval {
		return
	}
	for _, link := range cf.links {
		if now.Sub(link.LastResponse()) > linkFreshness {
			return
		}
	}
	cf.lastBarrierRound = now
	generation := cf.replica.generation
	round := cf.replica.watermarks.BeginRound(
		cf.now(),
		cf.knownCommittedAt().Sub(cf.startTime),
		cf.replica.appliedSeq,
		len(cf.settings.Members),
	)
	advanceFence := func() {
		at, ok := round.Proven()
		if !ok || cf.replica.generation != generation || !cf.replica.loaded {
			return // the copy that the round was about is not there any more
		}
		if t := cf.startTime.Add(at); t.After(cf.knownCommittedAt()) {
			if !cf.provenAt.After(cf.replica.caughtUpAt) {
				cf.log.Info("key-value store unreachable from all controllers, leases extended",
					"duration", time.Since(cf.replica.caughtUpAt).Round(time.Second))
			}
			cf.provenAt = t
		}
	}
	if len(cf.settings.Members) == 0 {
		advanceFence()
		return
	}
	for i, m := range cf.settings.Members {
		link := cf.links[m.Node]
		go func() {
			ctx, cancel := context.WithTimeout(cf.ctx, barrierInterval)
			defer cancel()
			response, err := link.Do(ctx, &rpc.Request{Op: rpc.OpWatermark})
			if err != nil || response.Status != http.StatusOK {
				return // one of an older version, or one that is busy: the old bound stands
			}
			report, err := commitfence.ReadReport(response.Body)
			if err != nil {
				cf.log.Warn("malformed watermark report", "node", link.Node, "err", err)
				return
			}
			cf.loop.post(func() {
				round.Record(i, report, cf.now())
				advanceFence()
			})
		}()
	}
}
