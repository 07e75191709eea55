package controller

import (
	"context"
	"encoding/json"
	"math"
	"net/http"
	"time"

	"fieldhill/internal/adminapi"
	"fieldhill/internal/model"
	"fieldhill/internal/rpc"
	"fieldhill/internal/scheduling/explanation"
	"fieldhill/internal/scheduling/pending"
	"fieldhill/wire"
)

// This file answers operators: why a job waits, and what the queue is. The leader copies its
// model in the loop, and plays rounds on the copy outside of it, one job at a time; others pass
// the question on.

const (
	explainRounds = 24          // for one answer
	explainEvery  = time.Second // between two answers: they share a processor with everything else
)

var (
	opNoLeader = adminapi.Refuse(http.StatusServiceUnavailable, "no leader at the moment", 1)
	opUnknown  = adminapi.Refuse(http.StatusNotFound, "no such job", 0)
	opTooSoon  = adminapi.Refuse(http.StatusTooManyRequests, "another question is being answered", 1)
)

// Why tells why a job waits.
func (n *Node) Why(ctx context.Context, id string) *rpc.Reply {
	num, ok := wire.JobNumber(id)
	if !ok {
		return opUnknown
	}
	if leads, _ := n.standing(); leads {
		return n.whyHere(ctx, model.JobID(num))
	}
	if r, ok := n.passOn(ctx, &rpc.Call{Op: rpc.OpWhy, ID: id}, answerWithin); ok && r.Status != http.StatusNotImplemented {
		return r
	}
	return n.opInLoop(ctx, func() *rpc.Reply { return n.whyWithoutLeader(model.JobID(num)) })
}

// Queue lists the jobs that wait.
func (n *Node) Queue(ctx context.Context, f adminapi.Filter) *rpc.Reply {
	if leads, _ := n.standing(); leads {
		return n.queueHere(ctx, f, math.MaxInt)
	}
	body, err := json.Marshal(f)
	if err != nil {
		return opNoLeader
	}
	if r, ok := n.passOn(ctx, &rpc.Call{Op: rpc.OpQueue, Body: body}, answerWithin); ok && r.Status != http.StatusNotImplemented {
		return r
	}
	return opNoLeader
}

// Duties tells who holds which duty, as this node knows it.
func (n *Node) Duties(ctx context.Context) *rpc.Reply {
	return n.opInLoop(ctx, func() *rpc.Reply { return adminapi.Encode(http.StatusOK, n.tellDuties()) })
}

// answerOperator answers another controller that was asked by an operator.
func (n *Node) answerOperator(ctx context.Context, c *rpc.Call) *rpc.Reply {
	if leads, _ := n.standing(); !leads {
		return opNoLeader
	}
	if c.Op == rpc.OpWhy {
		if num, ok := wire.JobNumber(c.ID); ok {
			return n.whyHere(ctx, model.JobID(num))
		}
		return opUnknown
	}
	var f adminapi.Filter
	if err := json.Unmarshal(c.Body, &f); err != nil || f.Most < 1 || f.Most > wire.MostQueued {
		return adminapi.Refuse(http.StatusBadRequest, "malformed filter", 0)
	}
	return n.queueHere(ctx, f, rpc.MostBody)
}

// opInLoop has the loop answer; an answer that it is too busy for is put into the operators' words.
func (n *Node) opInLoop(ctx context.Context, f func() *rpc.Reply) *rpc.Reply {
	r := n.inLoop(ctx, func(send func(*rpc.Reply)) { send(f()) })
	if r != nil && r.Status == http.StatusServiceUnavailable {
		return adminapi.Refuse(http.StatusServiceUnavailable, "this controller is busy, or has no leader", 1)
	}
	return r
}

// whyWithoutLeader answers from the replica, and says how old that is.
func (n *Node) whyWithoutLeader(id model.JobID) *rpc.Reply {
	j := n.m.Jobs[id]
	switch {
	case !n.loaded || j == nil && n.m.Finals[id] == 0:
		return opNoLeader // others may know it
	case j == nil:
		return n.opTold(id, &explanation.Account{}, nil)
	}
	return n.opTold(id, &explanation.Account{Waiting: j.Waiting()}, []pending.Reason{{Code: pending.NoLeader}})
}

func (n *Node) opTold(id model.JobID, a *explanation.Account, around []pending.Reason) *rpc.Reply {
	e := n.header(id)
	tell(e, n.m.Jobs[id], a, around)
	return adminapi.Encode(http.StatusOK, e)
}

// header begins an explanation; it is for the loop.
func (n *Node) header(id model.JobID) *wire.Explanation {
	e := &wire.Explanation{ID: wire.JobID(uint64(id)), Node: n.set.Node, Log: n.applied, Reasons: []wire.Reason{}, Together: [][2]string{}, Past: []wire.Past{}}
	if s := n.status(id); s != nil {
		e.State = s.State
	}
	if n.role == nil {
		e.AgeS = time.Since(n.caught).Seconds()
	}
	if j := n.m.Jobs[id]; j != nil {
		for _, p := range j.Past() {
			e.Past = append(e.Past, wire.Past{Code: p.Code.String(), SinceS: (n.now() - p.From).Seconds()})
		}
	}
	return e
}

// whyHere answers as the leader.
func (n *Node) whyHere(ctx context.Context, id model.JobID) *rpc.Reply {
	if !n.explaining.CompareAndSwap(false, true) {
		return opTooSoon
	}
	defer n.explaining.Store(false)
	if now := n.now(); n.explained != 0 && now-n.explained < explainEvery {
		return opTooSoon
	}
	n.explained = n.now()
	var sc explanation.Scene
	var around []pending.Reason
	var e *wire.Explanation
	r := n.opInLoop(ctx, func() *rpc.Reply {
		j := n.m.Jobs[id]
		switch {
		case n.role == nil:
			return opNoLeader
		case j == nil && n.m.Finals[id] == 0:
			return opUnknown
		case j != nil && j.AcceptSeq > n.role.committed, n.m.FinalAt(id) > n.role.committed:
			return adminapi.Refuse(http.StatusServiceUnavailable, "the log does not have it yet", 1)
		case j == nil:
			return n.opTold(id, &explanation.Account{}, nil)
		}
		e, around = n.header(id), n.around(j)
		m := n.m.Clone()
		sc = explanation.Scene{Model: m, Sched: n.sched.Dry(m), Now: n.now()}
		return nil
	})
	if r != nil {
		return r
	}
	tell(e, sc.Model.Jobs[id], explanation.Explain(sc, id, explainRounds), around)
	return adminapi.Encode(http.StatusOK, e)
}

// queueHere answers as the leader, in most bytes.
func (n *Node) queueHere(ctx context.Context, f adminapi.Filter, most int) *rpc.Reply {
	return n.opInLoop(ctx, func() *rpc.Reply {
		if !n.active() {
			return opNoLeader
		}
		now := n.now()
		q := &wire.Queue{Node: n.set.Node, Log: n.applied, Jobs: []wire.Queued{}}
		add := func(place int, j *model.Job) {
			switch {
			case f.Team != "" && f.Team != j.Spec.Team, f.Class != "" && f.Class != j.Spec.Class, f.Reason != "" && f.Reason != j.Why.Code.String():
				return
			case len(q.Jobs) >= f.Most:
				q.More++
			default:
				row := wire.Queued{Place: place, ID: j.Spec.ID, Team: j.Spec.Team, Class: j.Spec.Class, Priority: j.Spec.Priority, Waiting: j.Waiting(),
					Reason: j.Why.Code.String(), Text: j.Why.String(), AgeS: (now - j.Began).Seconds()}
				if past := j.Past(); len(past) > 0 {
					row.SinceS = (now - past[0].From).Seconds()
				}
				q.Jobs = append(q.Jobs, row)
			}
			q.Tasks += j.Waiting()
		}
		in, rest := n.sched.Waiting(n.m, now)
		for i, j := range in {
			add(i+1, j)
		}
		for _, j := range rest {
			add(0, j)
		}
		return fitQueue(q, most)
	})
}

// fitQueue encodes a queue in most bytes: the jobs that don't fit are counted, as those beyond the filter's number are.
func fitQueue(q *wire.Queue, most int) *rpc.Reply {
	for {
		r := adminapi.Encode(http.StatusOK, q)
		if len(r.Body) <= most || len(q.Jobs) == 0 {
			return r
		}
		fits := min(len(q.Jobs)-1, int(float64(len(q.Jobs))*float64(most)/float64(len(r.Body))))
		q.More += len(q.Jobs) - fits
		q.Jobs = q.Jobs[:fits]
	}
}

// around lists the reasons that lie outside of the rounds: they hold for all jobs alike, or
// for tasks that have a place.
func (n *Node) around(j *model.Job) (out []pending.Reason) {
	r := n.role
	if !n.active() {
		out = append(out, pending.Reason{Code: pending.NoLeader})
	}
	if now := time.Now(); now.Before(r.placeFrom) && !n.allReported() {
		out = append(out, pending.Reason{Code: pending.Listening, In: r.placeFrom.Sub(now)})
	}
	if r.stalled() {
		out = append(out, pending.Reason{Code: pending.StateAway})
	}
	if r.cloudDown && j.Waiting() > 0 {
		out = append(out, pending.Reason{Code: pending.CloudAway})
	} else if offers, in := n.fleet.RefusedTo(n.m, j, n.now()); offers > 0 && j.Waiting() > 0 {
		out = append(out, pending.Reason{Code: pending.Refused, N: offers, In: in})
	}
	var fetching, gathering pending.Reason
	for i := range j.Tasks {
		run := j.Tasks[i].Run
		switch {
		case run == nil:
		case run.Phase == model.Fetching:
			fetching.Code, fetching.N, fetching.Who = pending.Fetching, fetching.N+1, run.Machine.Info.Name
		case run.Phase == model.Gathering:
			gathering.Code, gathering.N, gathering.Who = pending.Gathering, gathering.N+1, run.Machine.Info.Name
		}
	}
	for _, r := range []pending.Reason{fetching, gathering} {
		if r.Is() {
			out = append(out, r)
		}
	}
	return out
}

// tell puts an account into the words of the interface. The job is nil if it is over.
func tell(e *wire.Explanation, j *model.Job, a *explanation.Account, around []pending.Reason) {
	e.Waiting, e.Places, e.Stops, e.Complete, e.Partial = a.Waiting, a.Now.Placed, a.Now.Room, a.Complete, a.Cut
	if j != nil {
		e.Starting = j.Live - j.Running
	}
	put := func(r pending.Reason, f explanation.Finding) {
		e.Reasons = append(e.Reasons, wire.Reason{Code: r.Code.String(), Text: r.String(), Binds: f.Binds, Gains: f.Outcome.Placed, Stops: f.Outcome.Room,
			ForS: r.In.Seconds(), Number: r.N, First: r.Who, Of: r.Of, Need: r.Need, Used: r.Used, Limit: r.Limit})
	}
	for _, r := range around {
		// While no round is run nothing else matters.
		none := r.Code == pending.NoLeader || r.Code == pending.Listening || r.Code == pending.StateAway
		put(r, explanation.Finding{Binds: none && a.Waiting > 0})
	}
	for _, f := range a.Findings {
		put(f.Reason, f)
	}
	for _, p := range a.Together {
		e.Together = append(e.Together, [2]string{p[0].String(), p[1].String()})
	}
}
