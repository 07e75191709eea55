package controller

import (
	"context"
	"net/http"
	"time"

	"fieldhill/internal/agents/lease"
	"fieldhill/internal/api"
	"fieldhill/internal/codec"
	"fieldhill/internal/model"
	"fieldhill/internal/rpc"
	"fieldhill/wire"
)

// leaseRenewal renews agents' leases within their bound, and proves to the leader when they were last renewed.
type leaseRenewal struct {
	*environment
	fence   *commitFence
	loop    *eventLoop
	replica *replica
	term    *termState

	renewals *lease.RenewalTable // whose lease this process renewed when; it outlives the lead
}

// leaseRenewalTerm is what leaseRenewal keeps for one term of leadership.
type leaseRenewalTerm struct {
	lastRenewalQuery time.Time // when the others were last asked whose lease they renewed
}

// mayRenew tells whether this node may renew leases now. A leader may while its lead is trusted. Nobody else may for
// longer than a cancellation leaves that this node can't know of. It is asked when the report is read, which was sent
// before: whatever happens between this look and the answer, the lease counts from the report.
func (lr *leaseRenewal) mayRenew() bool {
	return lr.term.isActive() || time.Since(lr.fence.knownCommittedAt()) <= lr.settings.StaleRenewalLimit()
}

// renew is the answer that renews a worker's lease, or a refusal.
func (lr *leaseRenewal) renew(machine string, token uint64, commands []wire.Command) *rpc.Response {
	if !lr.mayRenew() {
		return api.RetryLater("no leader at the moment", 1)
	}
	lr.renewals.Renewed(machine, lr.now())
	return api.Encode(http.StatusOK, &wire.HeartbeatResponse{FencingToken: token, Commands: commands})
}

// delayedStartPossible tells whether a machine may yet be told, by a command that is held up on its way, to start a
// task whose job was cancelled too long ago. Only the leader can fence such a start, and the machine's worker does
// not reach it. What the worker lists, in whatever state, is not started again, and is stopped by renewAsFollower;
// what it does not list may be. So the session to which the start was sent must end in time: its lease is renewed no
// longer than by a node that does not know of the cancellation. Starts held for seventy seconds in a cut zone were
// once carried out at its end.
func (lr *leaseRenewal) delayedStartPossible(machine *model.Machine, report *wire.Heartbeat) bool {
	for _, run := range machine.Runs {
		j := run.Job
		if !j.Cancelled || run.Session < report.AgentEpoch || reportLists(report, run) {
			continue
		}
		if j.Observed.CancelledFrom == 0 || lr.now()-j.Observed.CancelledFrom > lr.settings.StaleRenewalLimit() {
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

// renewalQueryInterval is how often the leader asks the others about a zone's suspect machines until all have answered.
const renewalQueryInterval = time.Second

// retention is for how long a node keeps whose lease it renewed: what is longer ago proves nothing more.
func (lr *leaseRenewal) retention() model.Time { return 2 * lr.leaseDuration() }

// latestOwnRenewal is from when a machine's lease counts at the latest, as far as this node goes: when it last
// renewed it (an earlier process of it may have until this one began), or last heard of the session that holds what
// is placed there, which has a lease from its own beginning.
func (lr *leaseRenewal) latestOwnRenewal(machine *model.Machine) model.Time {
	return max(lr.renewals.LastRenewal(machine.Info.Name, lr.now()-lr.retention()), machine.Contact.LastReport)
}

// replyRenewals answers the leader that asks when the leases of a zone's machines were last renewed here. Only a node
// that has applied the batch that made them suspect may say so: from then on it renews none of them.
func (lr *leaseRenewal) replyRenewals(ctx context.Context, request *rpc.Request) *rpc.Response {
	reader := codec.Reader{Data: request.Body}
	seq := reader.Uint()
	if !reader.Done() {
		return api.Refuse(http.StatusBadRequest, "malformed question about renewals")
	}
	return lr.loop.respond(ctx, func(send func(*rpc.Response)) {
		if lr.term.ownTerm != nil || !lr.replica.loaded || lr.replica.appliedSeq < seq {
			send(api.RetryLater("the log is not read so far", 1))
			return
		}
		var suspects, others []string
		for _, machine := range lr.replica.model.Order {
			switch {
			case machine.Info.Zone != request.ID:
			case machine.Suspect:
				suspects = append(suspects, machine.Info.Name)
			default:
				others = append(others, machine.Info.Name)
			}
		}
		word := lr.renewals.Report(suspects, others, lr.now(), lr.retention(), rpc.MaxBody)
		send(&rpc.Response{Status: http.StatusOK, Body: word.Append(nil)})
	})
}

// queryRenewals asks the other nodes about the zones that have suspect machines with work.
func (lr *leaseRenewal) queryRenewals(term *leaderTerm) {
	lr.renewals.Forget(lr.now() - lr.retention())
	if time.Since(term.leases.lastRenewalQuery) < renewalQueryInterval {
		return
	}
	others := len(lr.settings.Members)
	// by node: zones, and the newest suspicion there that it has not answered for
	newestSuspicions := make([]map[int32]uint64, others)
	for _, machine := range lr.replica.model.Order {
		if !machine.Suspect || machine.Releasing || machine.Contact.SuspectFrom == 0 || len(machine.Runs) == 0 {
			continue
		}
		for i := range lr.settings.Members {
			if machine.Contact.Renewals.IsMissing(i, others) {
				if newestSuspicions[i] == nil {
					newestSuspicions[i] = map[int32]uint64{}
				}
				newestSuspicions[i][machine.Zone] = max(newestSuspicions[i][machine.Zone], machine.SuspectSeq())
			}
		}
	}
	for i, m := range lr.settings.Members {
		link := lr.links[m.Node]
		if time.Since(link.LastResponse()) > linkFreshness {
			continue
		}
		for zone, seq := range newestSuspicions[i] {
			term.leases.lastRenewalQuery = time.Now()
			go lr.queryZoneRenewals(term, link, i, zone, lr.replica.model.Zones.Name(zone), seq)
		}
	}
}

func (lr *leaseRenewal) queryZoneRenewals(
	term *leaderTerm,
	link *rpc.Link,
	node int,
	zone int32,
	name string,
	seq uint64,
) {
	ctx, cancel := context.WithTimeout(term.ctx, renewalQueryInterval)
	defer cancel()
	response, err := link.Do(ctx, &rpc.Request{Op: rpc.OpRenewals, ID: name, Body: codec.Uint(nil, seq)})
	if err != nil || response.Status != http.StatusOK {
		return
	}
	report, err := lease.ReadReport(response.Body)
	if err != nil {
		lr.log.Warn("malformed renewal report", "node", link.Node, "err", err)
		return
	}
	lr.loop.post(func() {
		if lr.term.ownTerm != term {
			return
		}
		for _, machine := range lr.replica.model.Order {
			if machine.Zone == zone && machine.Suspect && machine.Contact.SuspectFrom > 0 &&
				machine.SuspectSeq() <= seq {
				machine.Contact.Renewals.Record(
					node,
					len(lr.settings.Members),
					report.LastRenewal(machine.Info.Name, lr.now(), lr.retention()),
				)
			}
		}
	})
}
