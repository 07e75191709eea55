package controller

import (
	"context"
	"net/http"
	"time"

	"fieldhill/internal/agents/lease"
	"fieldhill/internal/api"
	"fieldhill/internal/codec"
	"fieldhill/internal/config"
	"fieldhill/internal/model"
	"fieldhill/internal/rpc"
)

// This file is whose lease was renewed when: what a node keeps of it, tells the leader, and what the leader asks.

// renewedEvery is how often the leader asks the others about a zone's suspect machines until all have answered.
const renewedEvery = time.Second

// lease is how long a worker's lease is.
func (n *Node) lease() model.Time { return config.Seconds(n.set.Params.Workers.LeaseS) }

// kept is for how long a node keeps whose lease it renewed: what is longer ago proves nothing more.
func (n *Node) kept() model.Time { return 2 * n.lease() }

// ownRenewal is from when a machine's lease counts at the latest, as far as this node goes: when it last renewed it (an earlier process of it may
// have until this one began), or last heard of the session that holds what is placed there, which has a lease from its own beginning.
func (n *Node) ownRenewal(mc *model.Machine) model.Time {
	return max(n.book.Last(mc.Info.Name, n.now()-n.kept()), mc.LastReport)
}

// tellRenewals answers the leader that asks when the leases of a zone's machines were last renewed here. Only a node that has applied the
// batch that made them suspect may say so: from then on it renews none of them.
func (n *Node) tellRenewals(ctx context.Context, c *rpc.Call) *rpc.Reply {
	r := codec.Reader{B: c.Body}
	seq := r.Uint()
	if !r.Done() {
		return api.Refuse(http.StatusBadRequest, "malformed question about renewals")
	}
	return n.inLoop(ctx, func(send func(*rpc.Reply)) {
		if n.role != nil || !n.loaded || n.applied < seq {
			send(api.Later("the log is not read so far", 1))
			return
		}
		var suspects, others []string
		for _, mc := range n.m.Order {
			switch {
			case mc.Info.Zone != c.ID:
			case mc.Suspect:
				suspects = append(suspects, mc.Info.Name)
			default:
				others = append(others, mc.Info.Name)
			}
		}
		word := n.book.Word(suspects, others, n.now(), n.kept(), rpc.MostBody)
		send(&rpc.Reply{Status: http.StatusOK, Body: word.Append(nil)})
	})
}

// askRenewals asks the other nodes about the zones that have suspect machines with work.
func (n *Node) askRenewals(r *role) {
	n.book.Forget(n.now() - n.kept())
	if time.Since(r.askedRenewals) < renewedEvery {
		return
	}
	others := len(n.set.Members)
	newest := make([]map[int32]uint64, others) // by node: zones, and the newest suspicion there that it has not answered for
	for _, mc := range n.m.Order {
		if !mc.Suspect || mc.Releasing || mc.SuspectFrom == 0 || len(mc.Runs) == 0 {
			continue
		}
		for i := range n.set.Members {
			if mc.Renewals.Missing(i, others) {
				if newest[i] == nil {
					newest[i] = map[int32]uint64{}
				}
				newest[i][mc.Zone] = max(newest[i][mc.Zone], mc.SuspectAt())
			}
		}
	}
	for i, m := range n.set.Members {
		l := n.links[m.Node]
		if time.Since(l.Heard()) > linkFresh {
			continue
		}
		for zone, seq := range newest[i] {
			r.askedRenewals = time.Now()
			go n.askRenewed(r, l, i, zone, n.m.Zones.Name(zone), seq)
		}
	}
}

func (n *Node) askRenewed(r *role, l *rpc.Link, node int, zone int32, name string, seq uint64) {
	ctx, cancel := context.WithTimeout(r.ctx, renewedEvery)
	defer cancel()
	a, err := l.Call(ctx, &rpc.Call{Op: rpc.OpRenewed, ID: name, Body: codec.Uint(nil, seq)})
	if err != nil || a.Status != http.StatusOK {
		return
	}
	w, err := lease.Read(a.Body)
	if err != nil {
		n.log.Warn("another node's word on renewals is malformed", "node", l.Node, "err", err)
		return
	}
	n.post(func() {
		if n.role != r {
			return
		}
		for _, mc := range n.m.Order {
			if mc.Zone == zone && mc.Suspect && mc.SuspectFrom > 0 && mc.SuspectAt() <= seq {
				mc.Renewals.Heard(node, len(n.set.Members), w.Last(mc.Info.Name, n.now(), n.kept()))
			}
		}
	})
}
