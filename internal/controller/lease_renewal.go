package controller

import (
	"context"
	"net/http"
	"time"

	"fieldhill/internal/agents/lease"
	"fieldhill/internal/codec"
	"fieldhill/internal/model"
	"fieldhill/internal/result"
	"fieldhill/internal/rpc"
	"fieldhill/wire"
)

// leaseRenewal renews agents' leases and proves to the leader when they were last renewed: who may renew an agent's
// lease, and until when; every answer that does so goes through renew. And whose lease was renewed when: what a
// controller keeps of it, tells the leader, and what the leader asks.
//
// It owns the table of renewals, which outlives a term. It is written in the loop alone: by renew, and by
// queryRenewals, which forgets what proves nothing more. What the others report goes into the machine's proof of expiry
// in the model.
type leaseRenewal struct {
	*environment
	fence   *commitFence
	loop    *eventLoop
	replica *replica
	term    *termState

	renewals *lease.RenewalTable // whose lease this process renewed when
}

// leaseRenewalTerm is what leaseRenewal keeps for one term of leadership; it alone writes it, in the loop.
type leaseRenewalTerm struct {
	lastRenewalQuery time.Time // when the others were last asked whose lease they renewed
}

// mayRenew tells whether this controller may renew leases now. A leader may while its leadership is trusted. Nobody
// else may for longer than a cancellation that this controller can't know of leaves time. It is checked when the
// heartbeat is read, which was sent before: whatever happens between this check and the answer, the lease counts from
// the sending of the heartbeat.
func (lr *leaseRenewal) mayRenew() bool {
	return lr.term.isActive() || time.Since(lr.fence.knownCommittedAt()) <= lr.settings.StaleRenewalLimit()
}

// renew is the answer that renews an agent's lease, or a refusal.
func (lr *leaseRenewal) renew(machine string, token uint64, commands []wire.Command) result.Result {
	if !lr.mayRenew() {
		return result.NoLeader{}
	}
	lr.renewals.Renewed(machine, lr.now())
	return result.Renewed{FencingToken: token, Commands: commands}
}

// delayedStartPossible tells whether a machine may yet receive, by a command that is delayed on its way, the start of a
// task whose job was cancelled too long ago. Only the leader can fence such a start, and the machine's agent does not
// reach it. What the agent lists, in whatever state, is not started again, and is stopped by renewAsFollower; what it
// does not list may be started. So the agent epoch to which the start was sent must end in time: its lease is renewed
// no longer than by a controller that does not know of the cancellation. Starts delayed by seventy seconds in a
// partitioned zone were once carried out when the partition ended.
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

// reportLists tells whether a heartbeat lists a run, in whatever state.
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

// retention is for how long a controller remembers whose lease it renewed: what is longer ago proves nothing more.
func (lr *leaseRenewal) retention() model.Time { return 2 * lr.leaseDuration() }

// latestOwnRenewal is from when a machine's lease counts at the latest, as far as this controller knows: when it last
// renewed it (an earlier process of it may have until this one began), or last received a heartbeat of the agent epoch
// that holds what is placed there, which has a lease from its own beginning.
func (lr *leaseRenewal) latestOwnRenewal(machine *model.Machine) model.Time {
	return max(lr.renewals.LastRenewal(machine.Info.Name, lr.now()-lr.retention()), machine.Contact.LastReport)
}

// replyRenewals answers the leader that asks when the leases of a zone's machines were last renewed here. Only a
// controller that has applied the batch that made them suspect may answer: from then on it renews none of them.
func (lr *leaseRenewal) replyRenewals(ctx context.Context, request *rpc.Request) result.Result {
	reader := codec.Reader{Data: request.Body}
	seq := reader.Uint()
	if !reader.Done() {
		return result.Invalid{Reason: "malformed question about renewals"}
	}
	return lr.loop.answer(ctx, func(send func(result.Result)) {
		if lr.term.ownTerm != nil || !lr.replica.loaded || lr.replica.appliedSeq < seq {
			send(result.Unavailable{Reason: "the log is not read so far", RetryAfter: time.Second})
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
		report := lr.renewals.Report(suspects, others, lr.now(), lr.retention(), rpc.MaxBody)
		send(result.Done{Body: report.Append(nil)})
	})
}

// queryRenewals asks the other controllers about the zones that have suspect machines with tasks.
func (lr *leaseRenewal) queryRenewals(term *leaderTerm) {
	lr.renewals.Forget(lr.now() - lr.retention())
	if time.Since(term.leases.lastRenewalQuery) < renewalQueryInterval {
		return
	}
	newestSuspicions := lr.newestSuspicions()
	for i, m := range lr.settings.Members {
		link := lr.links[m.Node]
		if time.Since(link.LastResponse()) > linkFreshness {
			continue
		}
		for zone, seq := range newestSuspicions[i] {
			term.leases.lastRenewalQuery = time.Now()
			query := renewalQuery{
				link: link, member: i, zone: zone, zoneName: lr.replica.model.Zones.Name(zone), suspectSeq: seq,
			}
			go lr.queryZoneRenewals(term.ctx, term, query)
		}
	}
}

// newestSuspicions is, by index of the other controller and by zone, the newest suspicion of a machine there with tasks
// for which that controller has not answered.
func (lr *leaseRenewal) newestSuspicions() []map[int32]uint64 {
	others := len(lr.settings.Members)
	newest := make([]map[int32]uint64, others)
	for _, machine := range lr.replica.model.Order {
		if !machine.Suspect || machine.Releasing || machine.Contact.SuspectFrom == 0 || len(machine.Runs) == 0 {
			continue
		}
		for i := range others {
			if !machine.Contact.Renewals.IsMissing(i, others) {
				continue
			}
			if newest[i] == nil {
				newest[i] = map[int32]uint64{}
			}
			newest[i][machine.Zone] = max(newest[i][machine.Zone], machine.SuspectSeq())
		}
	}
	return newest
}

// renewalQuery is a question to another controller: when it last renewed the leases of a zone's machines.
type renewalQuery struct {
	link       *rpc.Link
	member     int // index of the other controller in the settings
	zone       int32
	zoneName   string
	suspectSeq uint64 // the newest suspicion in the zone, which it must have read from the log
}

// queryZoneRenewals asks another controller about a zone and has the loop take its answer in.
func (lr *leaseRenewal) queryZoneRenewals(ctx context.Context, term *leaderTerm, query renewalQuery) {
	ctx, cancel := context.WithTimeout(ctx, renewalQueryInterval)
	defer cancel()
	response, err := query.link.Do(ctx, &rpc.Request{
		Op: rpc.OpRenewals, ID: query.zoneName, Body: codec.Uint(nil, query.suspectSeq),
	})
	if err != nil || response.Status != http.StatusOK {
		return
	}
	report, err := lease.ReadReport(response.Body)
	if err != nil {
		lr.log.Warn("malformed renewal report", "node", query.link.Node, "err", err)
		return
	}
	lr.loop.post(func() { lr.onRenewalReport(term, query, &report) })
}

// onRenewalReport records when another controller last renewed the leases of the machines that it was asked for. What
// became suspect after the question is not covered by its answer.
func (lr *leaseRenewal) onRenewalReport(term *leaderTerm, query renewalQuery, report *lease.RenewalReport) {
	if lr.term.ownTerm != term {
		return
	}
	for _, machine := range lr.replica.model.Order {
		if machine.Zone != query.zone || !machine.Suspect || machine.Contact.SuspectFrom <= 0 ||
			machine.SuspectSeq() > query.suspectSeq {
			continue
		}
		lastRenewal := report.LastRenewal(machine.Info.Name, lr.now(), lr.retention())
		machine.Contact.Renewals.Record(query.member, len(lr.settings.Members), lastRenewal)
	}
}
