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

// sure is when this node last knew of all that had been confirmed: its copy of the log was complete, or the other controllers vouched for it.
func (n *Node) sure() time.Time {
	if n.vouched.After(n.caught) {
		return n.vouched
	}
	return n.caught
}

// mayRenew tells whether this node may renew leases now. A leader may while its lead is trusted. Nobody else may for longer than a cancellation
// leaves that this node can't know of. It is asked when the report is read, which was sent before: whatever happens between this look and the
// answer, the lease counts from the report.
func (n *Node) mayRenew() bool { return n.active() || time.Since(n.sure()) <= n.set.KeepBound() }

// renew is the answer that renews a worker's lease, or a refusal.
func (n *Node) renew(machine string, token uint64, cmds []wire.Command) *rpc.Reply {
	if !n.mayRenew() {
		return api.Later("no leader at the moment", 1)
	}
	n.book.Renewed(machine, n.now())
	return api.Encode(http.StatusOK, &wire.ReportAnswer{Token: token, Commands: cmds})
}

// startMayCome tells whether a machine may yet be told, by a command that is held up on its way, to start a task whose job was cancelled too long
// ago. Only the leader can fence such a start, and the machine's worker does not reach it. What the worker lists, in whatever state, is not started
// again, and is stopped by keepAlive; what it does not list may be. So the session to which the start was sent must end in time: its lease is renewed no
// longer than by a node that does not know of the cancellation. Starts held for seventy seconds in a cut zone were once carried out at its end.
func (n *Node) startMayCome(mc *model.Machine, r *wire.Report) bool {
	for _, run := range mc.Runs {
		j := run.Job
		if !j.Cancelled || run.Session < r.Session || lists(r, run) {
			continue
		}
		if j.CancelledFrom == 0 || n.now()-j.CancelledFrom > n.set.KeepBound() {
			return true
		}
	}
	return false
}

func lists(r *wire.Report, run *model.Run) bool {
	id := wire.TaskID(uint64(run.Job.ID), int(run.Task))
	for i := range r.Tasks {
		if r.Tasks[i].Task == id && r.Tasks[i].Attempt == uint64(run.Attempt) {
			return true
		}
	}
	return false
}

// vouchEvery is how often a node that is out of touch asks the others to vouch for it.
const vouchEvery = 2 * time.Second

// tellPast answers a controller that is out of touch.
func (n *Node) tellPast(ctx context.Context) *rpc.Reply {
	return n.inLoop(ctx, func(send func(*rpc.Reply)) {
		send(&rpc.Reply{Status: http.StatusOK, Body: n.past.Word(n.now()).Append(nil)})
	})
}

// askPast asks all other controllers whether anything may have been confirmed that this node does not know of, while it can't read
// the log. If all can be asked and none has, workers' leases are kept for longer: a long outage used to end all work when the bound was over.
func (n *Node) askPast() {
	now := time.Now()
	if n.active() || !n.loaded || n.role == nil && n.reaches() || now.Sub(n.sure()) > n.set.KeepBound() || now.Sub(n.asksPast) < vouchEvery {
		return
	}
	for _, l := range n.links {
		if now.Sub(l.Heard()) > linkFresh {
			return
		}
	}
	n.asksPast = now
	load := n.loads
	round := n.past.Begin(n.now(), n.sure().Sub(n.start), n.applied, len(n.set.Members))
	settle := func() {
		at, ok := round.Proven()
		if !ok || n.loads != load || !n.loaded {
			return // the copy that the round was about is not there any more
		}
		if t := n.start.Add(at); t.After(n.sure()) {
			if !n.vouched.After(n.caught) {
				n.log.Info("out of touch with the state service, and so are all: leases are kept on", "for", time.Since(n.caught).Round(time.Second))
			}
			n.vouched = t
		}
	}
	if len(n.set.Members) == 0 {
		settle()
		return
	}
	for i, m := range n.set.Members {
		l := n.links[m.Node]
		go func() {
			ctx, cancel := context.WithTimeout(n.ctx, vouchEvery)
			defer cancel()
			a, err := l.Call(ctx, &rpc.Call{Op: rpc.OpVouch})
			if err != nil || a.Status != http.StatusOK {
				return // one of an older version, or one that is busy: the old bound stands
			}
			w, err := commitfence.Read(a.Body)
			if err != nil {
				n.log.Warn("another node's word on what it saw is malformed", "node", l.Node, "err", err)
				return
			}
			n.post(func() {
				round.Heard(i, w, n.now())
				settle()
			})
		}()
	}
}
