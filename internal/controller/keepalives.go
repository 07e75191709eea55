package controller

import (
	"maps"
	"net/http"
	"time"

	"fieldhill/internal/api"
	"fieldhill/internal/codec"
	"fieldhill/internal/model"
	"fieldhill/internal/rpc"
	"fieldhill/wire"
)

// followerKeepalives keeps agents alive that do not reach the leader, without starting anything.
type followerKeepalives struct {
	*environment
	leases  *leaseRenewal
	replica *replica
	term    *termState

	noRedirectUntil map[string]time.Time // workers that don't reach the leader, and until when they are not sent to it
	lastSweep       time.Time            // when noRedirectUntil and cleared were last swept
	clearedMachines clearedMachines      // machines that came here and hold nothing of a cancelled job
}

// clearedMachines is when machines last came to this node, which does not lead, and held nothing of a cancelled job.
type clearedMachines map[model.MachineID]time.Time

// firstRetention and repeatRetention are how long a worker that does not reach the leader is
// kept by this node before it is sent to look for the leader: when it comes for the
// first time, and when it has come back.
const (
	firstRetention  = 3 * time.Second
	repeatRetention = 20 * time.Second
	// returnWindow is how long after that a worker counts as one that comes back.
	returnWindow = time.Minute
)

// onReportAsFollower answers a worker when another node leads, or none.
func (fk *followerKeepalives) onReportAsFollower(report *wire.Heartbeat) *rpc.Response {
	now := time.Now()
	if !fk.replica.loaded {
		return api.Encode(http.StatusMisdirectedRequest, &wire.Redirect{})
	}
	if fk.term.leader != nil && fk.term.leader.Node != fk.settings.Node {
		link := fk.links[fk.term.leader.Node]
		if !fk.retainsWorker(report.Machine, link != nil && now.Sub(link.LastResponse()) < linkFreshness) {
			return api.Encode(http.StatusMisdirectedRequest, &wire.Redirect{Node: fk.term.leader.Node})
		}
	}
	return fk.renewAsFollower(report)
}

// retainsWorker tells whether a worker is kept by this node, which can't serve it, or sent to look for the leader;
// reached tells whether this node reaches the leader.
func (fk *followerKeepalives) retainsWorker(machine string, reached bool) bool {
	now := time.Now()
	until, known := fk.noRedirectUntil[machine]
	if !known || now.Sub(until) > returnWindow {
		// It comes for the first time, since the leader did not answer it, and
		// its lease may be near its end: it is kept before it is sent to look
		// for the leader again, which takes long when nothing answers.
		until = now.Add(firstRetention)
	} else if !reached && now.After(until) {
		until = now.Add(repeatRetention) // if it comes back, it is cut off from the leader too
		reached = true
	}
	if !reached || known {
		fk.noRedirectUntil[machine] = until
	}
	return !reached
}

// renewAsFollower renews a worker's lease under the worker's own token while no leader
// can. Nothing is started. Tasks of jobs that the log shows as cancelled are
// stopped, and what this node can't know of any more is why it ends after a
// bound: a job cancelled after the log was last read here still loses its tasks
// in time when the leases then run out.
func (fk *followerKeepalives) renewAsFollower(report *wire.Heartbeat) *rpc.Response {
	if machine := fk.replica.model.ByName[report.Machine]; machine != nil &&
		(machine.Suspect || fk.leases.delayedStartPossible(machine, report)) {
		return api.RetryLater("its lease is to run out", 1)
	}
	commands := []wire.Command{}
	for _, t := range report.Tasks {
		num, _, ok := wire.ParseTaskID(t.Task)
		if !ok || t.State == wire.TaskExited || len(commands) >= 300 {
			continue
		}
		id := model.JobID(num)
		j := fk.replica.model.Jobs[id]
		if fk.replica.model.Finals[id] == model.FinalCancelled ||
			j != nil && j.Cancelled && (fk.term.ownTerm == nil || j.FinalSeq <= fk.term.ownTerm.commits.committedSeq) {
			commands = append(
				commands,
				wire.Command{Verb: wire.Stop, Task: t.Task, Attempt: t.Attempt, GraceS: new(float64)},
			)
		}
	}
	if machine := fk.replica.model.ByName[report.Machine]; machine != nil {
		if delete(fk.clearedMachines, machine.ID); len(commands) == 0 {
			fk.clearedMachines[machine.ID] = time.Now()
		}
	}
	return fk.leases.renew(report.Machine, report.FencingToken, commands)
}

// maxNoRedirectEntries is how many names of workers a node keeps beside two for each machine of the log. Reports are
// not authenticated, so a flood of names that were made up may be behind a larger number.
const maxNoRedirectEntries = 20_000

// sweep drops what no longer counts of workers that came while this node did not lead. What still counts is
// kept at any size of the fleet: a worker whose entry is lost is kept for some seconds more, again and again, and
// never sent to look for the leader.
func (fk *followerKeepalives) sweep(now time.Time) {
	if now.Sub(fk.lastSweep) >= sweepInterval {
		fk.lastSweep = now
		maps.DeleteFunc(
			fk.noRedirectUntil,
			func(_ string, until time.Time) bool { return now.Sub(until) > returnWindow },
		)
		maps.DeleteFunc(
			fk.clearedMachines,
			func(_ model.MachineID, at time.Time) bool { return now.Sub(at) >= 2*partitionReportInterval },
		)
	}
	if len(fk.noRedirectUntil) > maxNoRedirectEntries+2*len(fk.replica.model.Order) {
		clear(fk.noRedirectUntil)
	}
}

// encode lists the machines that came lately, of those that by the log hold something of a cancelled job, in so many
// bytes: the others are of no interest.
func (c clearedMachines) encode(m *model.Model, now time.Time, maxBytes int) (b []byte) {
	for _, machine := range m.Order {
		if at, ok := c[machine.ID]; ok && now.Sub(at) < 2*partitionReportInterval && machine.HasCancelledTask() &&
			len(b)+5 <= maxBytes {
			b = codec.Uint(b, uint64(machine.ID))
		}
	}
	return b
}
