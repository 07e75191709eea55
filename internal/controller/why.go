package controller

import (
	"context"
	"net/http"
	"time"

	"fieldhill/internal/api"
	"fieldhill/internal/explain"
	"fieldhill/internal/model"
	"fieldhill/internal/peer"
	"fieldhill/internal/why"
	"fieldhill/wire"
)

// This file answers why a job waits. The leader copies its model in the loop, and plays rounds
// on the copy outside of it, one job at a time.

const (
	explainRounds = 48          // for one answer
	explainEvery  = time.Second // between two answers: they share a processor with everything else
)

// Why tells why a job waits.
func (n *Node) Why(ctx context.Context, id string) *peer.Reply {
	num, ok := wire.JobNumber(id)
	switch {
	case !n.opt.Explain:
		return api.Refuse(http.StatusNotImplemented, "explanations are not switched on (--explain)")
	case !ok:
		return api.Refuse(http.StatusNotFound, "no such job")
	}
	leads, _ := n.standing()
	if leads {
		return n.whyHere(ctx, model.JobID(num))
	}
	if r, ok := n.passOn(ctx, &peer.Call{Op: peer.OpWhy, ID: id}, answerWithin); ok {
		return r
	}
	return n.inLoop(ctx, func(send func(*peer.Reply)) { send(n.whyWithoutLeader(model.JobID(num))) })
}

// whyWithoutLeader answers from the replica, which may be some seconds old: it tells of
// nothing that the log does not have.
func (n *Node) whyWithoutLeader(id model.JobID) *peer.Reply {
	j := n.m.Jobs[id]
	switch {
	case !n.loaded || j == nil && n.m.Finals[id] == 0:
		return noLeader // it may be known to others
	case j == nil:
		return api.Encode(http.StatusOK, &wire.Explanation{ID: wire.JobID(uint64(id)), State: n.status(id).State})
	}
	return api.Encode(http.StatusOK, told(j, n.status(id).State, &explain.Account{Waiting: j.Waiting()}, []why.Reason{{Code: why.NoLeader}}))
}

// whyHere answers as the leader.
func (n *Node) whyHere(ctx context.Context, id model.JobID) *peer.Reply {
	if !n.explaining.CompareAndSwap(false, true) {
		return tooSoon
	}
	defer n.explaining.Store(false)
	if now := n.now(); n.explained != 0 && now-n.explained < explainEvery {
		return tooSoon
	}
	n.explained = n.now()
	var sc explain.Scene
	var around []why.Reason
	var state string
	r := n.inLoop(ctx, func(send func(*peer.Reply)) {
		j := n.m.Jobs[id]
		switch {
		case n.role == nil:
			send(noLeader)
			return
		case j == nil && n.m.Finals[id] == 0:
			send(api.Refuse(http.StatusNotFound, "no such job"))
			return
		case max(acceptedAt(j), n.m.FinalAt(id)) > n.role.committed:
			send(api.Later("the log does not have it yet", 1))
			return
		case j == nil:
			send(api.Encode(http.StatusOK, &wire.Explanation{ID: wire.JobID(uint64(id)), State: n.status(id).State}))
			return
		}
		state, around = n.status(id).State, n.around(j)
		m := n.m.Clone()
		sc = explain.Scene{Model: m, Sched: n.sched.Dry(m), Now: n.now()}
		send(nil)
	})
	if r != nil {
		return r
	}
	a := explain.Explain(sc, id, explainRounds)
	return api.Encode(http.StatusOK, told(sc.Model.Jobs[id], state, a, around))
}

func acceptedAt(j *model.Job) uint64 {
	if j == nil {
		return 0
	}
	return j.AcceptSeq
}

var tooSoon = func() *peer.Reply {
	r := api.Later("another explanation is under way", 1)
	r.Status = http.StatusTooManyRequests
	return r
}()

// around lists the reasons that lie outside of the rounds: they hold for all jobs alike, or
// for tasks that have a place.
func (n *Node) around(j *model.Job) (out []why.Reason) {
	r := n.role
	if !n.active() {
		out = append(out, why.Reason{Code: why.NoLeader})
	}
	if now := time.Now(); now.Before(r.placeFrom) && !n.allReported() {
		out = append(out, why.Reason{Code: why.Listening, In: r.placeFrom.Sub(now)})
	}
	if r.stalled() {
		out = append(out, why.Reason{Code: why.StateAway})
	}
	if r.cloudDown && j.Waiting() > 0 {
		out = append(out, why.Reason{Code: why.CloudAway})
	} else if offers, in := n.fleet.RefusedTo(n.m, j, n.now()); offers > 0 && j.Waiting() > 0 {
		out = append(out, why.Reason{Code: why.Refused, N: offers, In: in})
	}
	var fetching, gathering why.Reason
	for i := range j.Tasks {
		run := j.Tasks[i].Run
		switch {
		case run == nil:
		case run.Phase == model.Fetching:
			fetching.Code, fetching.N, fetching.Who = why.Fetching, fetching.N+1, run.Machine.Info.Name
		case run.Phase == model.Gathering:
			gathering.Code, gathering.N, gathering.Who = why.Gathering, gathering.N+1, run.Machine.Info.Name
		}
	}
	for _, r := range []why.Reason{fetching, gathering} {
		if r.Is() {
			out = append(out, r)
		}
	}
	return out
}

// told puts an account into the words of the interface.
func told(j *model.Job, state string, a *explain.Account, around []why.Reason) *wire.Explanation {
	e := &wire.Explanation{ID: j.Spec.ID, State: state, Waiting: a.Waiting, Places: a.Now.Placed, Stops: a.Now.Room, Reasons: []wire.Reason{}, Complete: a.Complete, Partial: a.Cut}
	if j.Live > j.Running {
		e.Starting = j.Live - j.Running
	}
	put := func(r why.Reason, f explain.Finding) {
		e.Reasons = append(e.Reasons, wire.Reason{Code: r.Code.String(), Text: r.String(), Binds: f.Binds, Gains: f.Outcome.Placed, Stops: f.Outcome.Room,
			ForS: r.In.Seconds(), Number: r.N, First: r.Who, Of: r.Of, Need: r.Need, Used: r.Used, Limit: r.Limit})
	}
	for _, r := range around {
		// While no round is run nothing else matters.
		none := r.Code == why.NoLeader || r.Code == why.Listening || r.Code == why.StateAway
		put(r, explain.Finding{Binds: none && a.Waiting > 0})
	}
	for _, f := range a.Findings {
		put(f.Reason, f)
	}
	for _, p := range a.Together {
		e.Together = append(e.Together, [2]string{p[0].String(), p[1].String()})
	}
	return e
}
