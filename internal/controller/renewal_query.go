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

// renewalQueryInterval is how often the leader asks the others about a zone's suspect machines until all have answered.
const renewalQueryInterval = time.Second

// leaseDuration is how long a worker's lease is.
func (n *Controller) leaseDuration() model.Time {
	return config.Seconds(n.settings.Params.Workers.LeaseS)
}

// retention is for how long a node keeps whose lease it renewed: what is longer ago proves nothing more.
func (n *Controller) retention() model.Time { return 2 * n.leaseDuration() }

// latestOwnRenewal is from when a machine's lease counts at the latest, as far as this node goes: when it last renewed it (an earlier process of it may
// have until this one began), or last heard of the session that holds what is placed there, which has a lease from its own beginning.
func (n *Controller) latestOwnRenewal(machine *model.Machine) model.Time {
	return max(n.renewals.LastRenewal(machine.Info.Name, n.now()-n.retention()), machine.LastReport)
}

// replyRenewals answers the leader that asks when the leases of a zone's machines were last renewed here. Only a node that has applied the
// batch that made them suspect may say so: from then on it renews none of them.
func (n *Controller) replyRenewals(ctx context.Context, request *rpc.Request) *rpc.Response {
	reader := codec.Reader{Data: request.Body}
	seq := reader.Uint()
	if !reader.Done() {
		return api.Refuse(http.StatusBadRequest, "malformed question about renewals")
	}
	return n.respond(ctx, func(send func(*rpc.Response)) {
		if n.ownTerm != nil || !n.loaded || n.appliedSeq < seq {
			send(api.RetryLater("the log is not read so far", 1))
			return
		}
		var suspects, others []string
		for _, machine := range n.model.Order {
			switch {
			case machine.Info.Zone != request.ID:
			case machine.Suspect:
				suspects = append(suspects, machine.Info.Name)
			default:
				others = append(others, machine.Info.Name)
			}
		}
		word := n.renewals.Report(suspects, others, n.now(), n.retention(), rpc.MaxBody)
		send(&rpc.Response{Status: http.StatusOK, Body: word.Append(nil)})
	})
}

// queryRenewals asks the other nodes about the zones that have suspect machines with work.
func (n *Controller) queryRenewals(term *leaderTerm) {
	n.renewals.Forget(n.now() - n.retention())
	if time.Since(term.lastRenewalQuery) < renewalQueryInterval {
		return
	}
	others := len(n.settings.Members)
	newestSuspicions := make([]map[int32]uint64, others) // by node: zones, and the newest suspicion there that it has not answered for
	for _, machine := range n.model.Order {
		if !machine.Suspect || machine.Releasing || machine.SuspectFrom == 0 || len(machine.Runs) == 0 {
			continue
		}
		for i := range n.settings.Members {
			if machine.Renewals.IsMissing(i, others) {
				if newestSuspicions[i] == nil {
					newestSuspicions[i] = map[int32]uint64{}
				}
				newestSuspicions[i][machine.Zone] = max(newestSuspicions[i][machine.Zone], machine.SuspectSeq())
			}
		}
	}
	for i, m := range n.settings.Members {
		link := n.links[m.Node]
		if time.Since(link.LastResponse()) > linkFreshness {
			continue
		}
		for zone, seq := range newestSuspicions[i] {
			term.lastRenewalQuery = time.Now()
			go n.queryZoneRenewals(term, link, i, zone, n.model.Zones.Name(zone), seq)
		}
	}
}

func (n *Controller) queryZoneRenewals(term *leaderTerm, link *rpc.Link, node int, zone int32, name string, seq uint64) {
	ctx, cancel := context.WithTimeout(term.ctx, renewalQueryInterval)
	defer cancel()
	response, err := link.Do(ctx, &rpc.Request{Op: rpc.OpRenewals, ID: name, Body: codec.Uint(nil, seq)})
	if err != nil || response.Status != http.StatusOK {
		return
	}
	report, err := lease.ReadReport(response.Body)
	if err != nil {
		n.log.Warn("malformed renewal report", "node", link.Node, "err", err)
		return
	}
	n.post(func() {
		if n.ownTerm != term {
			return
		}
		for _, machine := range n.model.Order {
			if machine.Zone == zone && machine.Suspect && machine.SuspectFrom > 0 && machine.SuspectSeq() <= seq {
				machine.Renewals.Record(node, len(n.settings.Members), report.LastRenewal(machine.Info.Name, n.now(), n.retention()))
			}
		}
	})
}
