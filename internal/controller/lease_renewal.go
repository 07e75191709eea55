package controller

import (
	"context"
	"net/http"
	"time"

	"fieldhill/internal/api"
	"fieldhill/internal/model"
	"fieldhill/internal/replication/commitfence"
	"fieldhill/internal/rpc"
	"fieldhill/wire"
)

// This file is who may renew a worker's lease, and until when. Every answer that does so goes through renew.

// knownCommittedAt is when this node last knew of all that had been confirmed: its copy of the log was complete, or the other controllers vouched for it.
func (n *Controller) knownCommittedAt() time.Time {
	if n.fenceProvenAt.After(n.caughtUpAt) {
		return n.fenceProvenAt
	}
	return n.caughtUpAt
}

// mayRenew tells whether this node may renew leases now. A leader may while its lead is trusted. Nobody else may for longer than a cancellation
// leaves that this node can't know of. It is asked when the report is read, which was sent before: whatever happens between this look and the
// answer, the lease counts from the report.
func (n *Controller) mayRenew() bool {
	return n.isActive() || time.Since(n.knownCommittedAt()) <= n.settings.StaleRenewalLimit()
}

// renew is the answer that renews a worker's lease, or a refusal.
func (n *Controller) renew(machine string, token uint64, commands []wire.Command) *rpc.Response {
	if !n.mayRenew() {
		return api.RetryLater("no leader at the moment", 1)
	}
	n.renewals.Renewed(machine, n.now())
	return api.Encode(http.StatusOK, &wire.HeartbeatResponse{FencingToken: token, Commands: commands})
}

// delayedStartPossible tells whether a machine may yet be told, by a command that is held up on its way, to start a task whose job was cancelled too long
// ago. Only the leader can fence such a start, and the machine's worker does not reach it. What the worker lists, in whatever state, is not started
// again, and is stopped by renewAsFollower; what it does not list may be. So the session to which the start was sent must end in time: its lease is renewed no
// longer than by a node that does not know of the cancellation. Starts held for seventy seconds in a cut zone were once carried out at its end.
func (n *Controller) delayedStartPossible(machine *model.Machine, report *wire.Heartbeat) bool {
	for _, run := range machine.Runs {
		j := run.Job
		if !j.Cancelled || run.Session < report.AgentEpoch || reportLists(report, run) {
			continue
		}
		if j.CancelledFrom == 0 || n.now()-j.CancelledFrom > n.settings.StaleRenewalLimit() {
			return true
		}
	}
	return false
}

func reportLists(report *wire.Heartbeat, run *model.Run) bool {
	id := wire.TaskID(uint64(run.Job.ID), int(run.Task))
	for i := range report.Tasks {
		if report.Tasks[i].Task == id && report.Tasks[i].Attempt == uint64(run.Attempt) {
			return true
		}
	}
	return false
}

// barrierInterval is how often a node that is out of touch asks the others to vouch for it.
const barrierInterval = 2 * time.Second

// replyWatermarks answers a controller that is out of touch.
func (n *Controller) replyWatermarks(ctx context.Context) *rpc.Response {
	return n.respond(ctx, func(send func(*rpc.Response)) {
		send(&rpc.Response{Status: http.StatusOK, Body: n.watermarks.Report(n.now()).Append(nil)})
	})
}

// runBarrierRound asks all other controllers whether anything may have been confirmed that this node does not know of, while it can't read
// the log. If all can be asked and none has, workers' leases are kept for longer: a long outage used to end all work when the bound was over.
func (n *Controller) runBarrierRound() {
	now := time.Now()
	if n.isActive() || !n.loaded || n.ownTerm == nil && n.isStoreReachable() || now.Sub(n.knownCommittedAt()) > n.settings.StaleRenewalLimit() || now.Sub(n.lastBarrierRound) < barrierInterval {
		return
	}
	for _, link := range n.links {
		if now.Sub(link.LastResponse()) > linkFreshness {
			return
		}
	}
	n.lastBarrierRound = now
	generation := n.replicaGeneration
	round := n.watermarks.BeginRound(n.now(), n.knownCommittedAt().Sub(n.startTime), n.appliedSeq, len(n.settings.Members))
	advanceFence := func() {
		at, ok := round.Proven()
		if !ok || n.replicaGeneration != generation || !n.loaded {
			return // the copy that the round was about is not there any more
		}
		if t := n.startTime.Add(at); t.After(n.knownCommittedAt()) {
			if !n.fenceProvenAt.After(n.caughtUpAt) {
				n.log.Info("key-value store unreachable from all controllers, leases extended", "duration", time.Since(n.caughtUpAt).Round(time.Second))
			}
			n.fenceProvenAt = t
		}
	}
	if len(n.settings.Members) == 0 {
		advanceFence()
		return
	}
	for i, m := range n.settings.Members {
		link := n.links[m.Node]
		go func() {
			ctx, cancel := context.WithTimeout(n.ctx, barrierInterval)
			defer cancel()
			response, err := link.Do(ctx, &rpc.Request{Op: rpc.OpWatermark})
			if err != nil || response.Status != http.StatusOK {
				return // one of an older version, or one that is busy: the old bound stands
			}
			report, err := commitfence.ReadReport(response.Body)
			if err != nil {
				n.log.Warn("malformed watermark report", "node", link.Node, "err", err)
				return
			}
			n.post(func() {
				round.Record(i, report, n.now())
				advanceFence()
			})
		}()
	}
}
