package controller

import (
	"context"
	"net/http"
	"time"

	"golang.org/x/time/rate"

	"fieldhill/internal/api"
	"fieldhill/internal/codec"
	"fieldhill/internal/model"
	"fieldhill/internal/platform/msgpackhttp"
	"fieldhill/internal/replication/oplog"
	"fieldhill/internal/rpc"
	"fieldhill/wire"
)

// This file is the intake: jobs that are taken without the leader, as records of their own in the state service, until the leader enters them into the log.

// submitToIntake takes a job without the leader, if this node is sure that the
// log does not know it and the state service takes its record.
func (n *Node) submitToIntake(ctx context.Context, body []byte) *rpc.Reply {
	num, err := wire.PeekJobID(body)
	if err != nil {
		return api.Refuse(http.StatusBadRequest, err.Error())
	}
	if !n.mayIntake() || n.catchUp(ctx) != nil {
		return noLeader
	}
	spec, specErr := wire.ParseJob(body)
	var entry *model.Entry
	reply := n.inTurn(ctx, func(send func(*rpc.Reply)) {
		if n.role != nil || !n.loaded {
			send(noLeader)
			return
		}
		if s := n.status(model.JobID(num)); s != nil {
			send(api.Encode(http.StatusOK, s))
			return
		}
		if r := n.refuse(spec, specErr); r != nil {
			send(r)
			return
		}
		entry = model.Accepted(spec, time.Now().UnixMilli())
		send(&rpc.Reply{Status: http.StatusCreated})
	})
	if isRefusal(reply) {
		switch in, err := n.getIntake(ctx, num); {
		case err != nil:
			return noLeader
		case in != nil: // accepted, as it was sent then
			return pendingResponse(http.StatusOK, num)
		}
	}
	if reply.Status != http.StatusCreated {
		return reply // the loop may not have come to it yet: the entry is not to be read
	}
	ctx, cancel := context.WithTimeout(ctx, answerWithin)
	defer cancel()
	if err := n.oplog.PutIntake(ctx, oplog.Intake{Job: num, Data: entry.Append(nil)}); err != nil {
		return noLeader
	}
	n.log.Debug("job taken without the leader", "job", spec.ID)
	return pendingResponse(http.StatusCreated, num)
}

// mayIntake bounds the jobs taken without the leader. Each costs two changes of the state
// service, one of them the leader's, beside its place in the log: all nodes together may
// use a fifth of what it takes while the leader is there and only slow, and most of it
// while there is none, since then nobody else writes.
func (n *Node) mayIntake() bool {
	share := 0.2
	n.ask(func() {
		if n.leader == nil {
			share = 0.8
		} else if l := n.links[n.leader.Node]; l != nil && time.Since(l.Heard()) > linkFresh {
			share = 0.8
		}
	})
	per := rate.Limit(n.set.Params.State.WriteRPS * share / float64(len(n.set.Members)+1))
	if n.intake.Limit() != per {
		n.intake.SetLimit(per)
	}
	return n.intake.Allow()
}

// takeIn enters jobs of the intake into the log, and deletes their keys once the
// log has them.
func (n *Node) takeIn(r *role, jobs []oplog.Intake) {
	if n.role != r || len(jobs) == 0 {
		return
	}
	var done []uint64
	seq := uint64(0)
	for _, in := range jobs {
		if r.dropping[in.Job] {
			r.lookAgain = true // it may have been written again meanwhile
			continue
		}
		e, err := model.ReadEntry(&codec.Reader{B: in.Data})
		if err != nil || e.Kind != model.EntryAccept || uint64(e.Job) != in.Job {
			n.log.Error("malformed job in the intake", "job", in.Job, "err", err)
			continue
		}
		done = append(done, in.Job)
		r.dropping[in.Job] = true
		if n.m.Jobs[e.Job] == nil && n.m.Finals[e.Job] == 0 {
			n.propose(e)
			n.dirty = true
			n.log.Info("job taken up that another node accepted", "job", e.Spec.ID)
		}
		if j := n.m.Jobs[e.Job]; j != nil {
			seq = max(seq, j.AcceptSeq)
		} else {
			seq = max(seq, n.m.FinalAt(e.Job))
		}
	}
	if len(done) == 0 {
		return
	}
	n.whenCommitted(seq, func(ok bool) {
		if ok {
			r.drops = append(r.drops, done...)
			n.drop(r)
		}
	})
}

// drop deletes the records of jobs that the log has, each once and one transaction at a
// time. Each look at the intake used to have all that it saw deleted again; in a flood
// that came by the intake, these deletions took the whole budget for a minute.
func (n *Node) drop(r *role) {
	if r.dropBusy || len(r.drops) == 0 {
		return
	}
	jobs := r.drops
	r.drops, r.dropBusy = nil, true
	go func() {
		err := n.oplog.DropIntake(r.ctx, &r.ld, jobs)
		n.post(func() {
			r.dropBusy = false
			if n.role != r {
				return
			}
			if err == nil {
				for _, j := range jobs {
					delete(r.dropping, j)
				}
			}
			if n.drop(r); !r.dropBusy && r.lookAgain {
				r.lookAgain = false
				go func() {
					if in, _, err := n.oplog.ListIntake(r.ctx); err == nil {
						n.post(func() { n.takeIn(r, in) })
					}
				}()
			}
		})
	}()
}

// lookIn makes sure that the leader knows a job that another node may have
// accepted without it. It reports whether it could find out.
func (n *Node) lookIn(ctx context.Context, num uint64) bool {
	var r *role
	known := false
	n.ask(func() {
		r = n.role
		known = r == nil || n.m.Jobs[model.JobID(num)] != nil || n.m.Finals[model.JobID(num)] != 0
	})
	if known {
		return true
	}
	in, err := n.getIntake(ctx, num)
	if err != nil {
		return false
	}
	if in != nil {
		n.ask(func() { n.takeIn(r, []oplog.Intake{*in}) })
	}
	return true
}

// watchIntake takes up the jobs that come in while this node leads.
func (n *Node) watchIntake(r *role, rev uint64) {
	for r.ctx.Err() == nil {
		next, some, err := n.oplog.WatchIntake(r.ctx, rev, 10*time.Second)
		if err == nil && !some {
			rev = next
			continue
		}
		var all []oplog.Intake
		if err == nil || msgpackhttp.Code(err) == http.StatusGone {
			all, next, err = n.oplog.ListIntake(r.ctx)
		}
		if err != nil {
			select {
			case <-r.ctx.Done():
			case <-time.After(300 * time.Millisecond):
			}
			continue
		}
		rev = next
		n.ask(func() { n.takeIn(r, all) })
	}
}

// getIntake looks for a job that waits for the leader, for a user.
func (n *Node) getIntake(ctx context.Context, job uint64) (in *oplog.Intake, err error) {
	err = n.state.ForUser(ctx, answerWithin, func(ctx context.Context) error {
		in, err = n.oplog.GetIntake(ctx, job)
		return err
	})
	return in, err
}
