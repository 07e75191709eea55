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

// leaseRenewal renews agents' leases and provides the leader with the proof that a lease has expired. It decides
// whether this controller may renew leases; every response that renews a lease is created by renew. It also records the
// renewals of this controller, reports them to the leader, and as the leader queries those of the other controllers.
//
// It owns the table of renewals, which outlives a term and is written on the event loop only: by renew, and by
// queryRenewals, which removes entries that are too old to matter. The other controllers' reports are recorded in the
// model, in each machine's proof of lease expiry.
type leaseRenewal struct {
	*environment
	fence   *commitFence
	loop    *eventLoop
	replica *replica
	term    *termState

	renewals *lease.RenewalTable // when this process last renewed each lease
}

// leaseRenewalTerm is the state of leaseRenewal for one leadership term; only leaseRenewal writes it, on the event
// loop.
type leaseRenewalTerm struct {
	lastRenewalQuery time.Time // when the other controllers were last queried
}

// mayRenew reports whether this controller may renew leases now. A leader may do so while its leadership is trusted.
// Any other controller may do so until its copy of the log is older than the stale renewal limit, so that cancellations
// that it does not know of take effect within cancel_s. The check happens after the heartbeat was sent, and the lease
// counts from the sending of the heartbeat, so a delay between this check and the response does not extend the lease.
func (lr *leaseRenewal) mayRenew() bool {
	return lr.term.isActive() || time.Since(lr.fence.knownCommittedAt()) <= lr.settings.StaleRenewalLimit()
}

// renew returns the response that renews an agent's lease, or result.NoLeader if this controller may not renew leases.
func (lr *leaseRenewal) renew(machine string, token uint64, commands []wire.Command) result.Result {
	if !lr.mayRenew() {
		return result.NoLeader{}
	}
	lr.renewals.RecordRenewal(machine, lr.now())
	return result.Renewed{FencingToken: token, Commands: commands}
}

// delayedStartPossible reports whether a machine may still receive a delayed start command for a task whose job was
// cancelled longer ago than the stale renewal limit. Only the leader can fence such a start, and the machine's agent
// cannot reach the leader. Tasks that the agent lists, in any state, are not started again and are stopped by
// renewAsFollower; tasks that it does not list may still be started. The agent epoch to which the start was sent must
// therefore end within cancel_s, so the agent's lease is renewed no longer than by a controller that does not know of
// the cancellation. Without this check, starts that are delayed by 70 s in a partitioned zone are executed when the
// partition ends.
func (lr *leaseRenewal) delayedStartPossible(machine *model.Machine, report *wire.Heartbeat) bool {
	for _, run := range machine.Runs {
		j := run.Job
		if !j.Cancelled || run.AgentEpoch < report.AgentEpoch || reportContains(report, run) {
			continue
		}
		if j.Observed.CancelledSince == 0 || lr.now()-j.Observed.CancelledSince > lr.settings.StaleRenewalLimit() {
			return true
		}
	}
	return false
}

// reportContains reports whether a heartbeat lists a run, in any state.
func reportContains(report *wire.Heartbeat, run *model.Run) bool {
	id := wire.TaskID(uint64(run.Job.ID), int(run.Task))
	for i := range report.Tasks {
		if report.Tasks[i].Task == id && report.Tasks[i].Attempt == uint64(run.Attempt) {
			return true
		}
	}
	return false
}

// renewalQueryInterval is how often the leader queries the other controllers about the suspect machines of a zone until
// all have answered.
const renewalQueryInterval = time.Second

// retention is how long renewals are recorded. Older renewals no longer matter for the proof that a lease has expired.
func (lr *leaseRenewal) retention() model.Time { return 2 * lr.leaseDuration() }

// latestOwnRenewal returns the latest time from which a machine's lease may count, as far as this controller knows.
// This is the later of two times: the last renewal by this controller, whose earlier processes are assumed to have
// renewed the lease until this process started; and the last heartbeat from the agent epoch that holds the placed
// tasks, because an epoch's lease begins with the epoch.
func (lr *leaseRenewal) latestOwnRenewal(machine *model.Machine) model.Time {
	return max(lr.renewals.LastRenewal(machine.Info.Name, lr.now()-lr.retention()), machine.Contact.LastReport)
}

// answerRenewalQuery answers the leader's query for when this controller last renewed the leases of a zone's machines.
// It answers only after it has applied the batch that made the machines suspect, because from then on it does not renew
// their leases.
func (lr *leaseRenewal) answerRenewalQuery(ctx context.Context, request *rpc.Request) result.Result {
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
		for _, machine := range lr.replica.model.MachinesInOrder {
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

// queryRenewals asks the other controllers, at most once per renewalQueryInterval, when they last renewed the leases of
// the machines in each zone that has suspect machines with tasks. On each call it also removes entries older than the
// retention period from the table of renewals.
func (lr *leaseRenewal) queryRenewals(term *leaderTerm) {
	lr.renewals.Forget(lr.now() - lr.retention())
	if time.Since(term.leases.lastRenewalQuery) < renewalQueryInterval {
		return
	}
	newestSuspicions := lr.newestSuspicions()
	for i, m := range lr.settings.Members {
		link := lr.links[m.Node]
		if time.Since(link.LastResponse()) > linkTimeout {
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

// newestSuspicions returns, by index of the other controller and by zone, the log sequence number of the newest
// suspicion of a machine with tasks about which that controller has not answered yet.
func (lr *leaseRenewal) newestSuspicions() []map[int32]uint64 {
	others := len(lr.settings.Members)
	newest := make([]map[int32]uint64, others)
	for _, machine := range lr.replica.model.MachinesInOrder {
		if !machine.Suspect || machine.Releasing || machine.Contact.SuspectFrom == 0 || len(machine.Runs) == 0 {
			continue
		}
		for i := range others {
			if !machine.Contact.Renewals.AwaitsReport(i, others) {
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

// renewalQuery asks another controller when it last renewed the leases of a zone's machines.
type renewalQuery struct {
	link       *rpc.Link
	member     int // index of the other controller in the settings
	zone       int32
	zoneName   string
	suspectSeq uint64 // batch with the newest suspicion in the zone; the other controller must have applied it
}

// queryZoneRenewals sends a query about a zone to another controller and posts that controller's report to the event
// loop.
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

// onRenewalReport records when another controller last renewed the leases of the machines that it was queried about.
// The report does not cover machines that became suspect after the query.
func (lr *leaseRenewal) onRenewalReport(term *leaderTerm, query renewalQuery, report *lease.RenewalReport) {
	if lr.term.ownTerm != term {
		return
	}
	for _, machine := range lr.replica.model.MachinesInOrder {
		if machine.Zone != query.zone || !machine.Suspect || machine.Contact.SuspectFrom <= 0 ||
			machine.SuspectSeq() > query.suspectSeq {
			continue
		}
		lastRenewal := report.LastRenewal(machine.Info.Name, lr.now(), lr.retention())
		machine.Contact.Renewals.Record(query.member, len(lr.settings.Members), lastRenewal)
	}
}
