package controller

import (
	"encoding/binary"
	"maps"
	"time"

	"fieldhill/internal/codec"
	"fieldhill/internal/model"
	"fieldhill/internal/result"
	"fieldhill/wire"
)

// followerKeepalives keeps agents alive that do not reach the leader: it answers their heartbeats as a follower, renews
// their leases within leaseRenewal's bound and starts nothing.
//
// It owns which agents came here of late, for how long each is kept before it is sent to the leader, and which of them
// hold nothing of a cancelled job. This is written in the loop alone and outlives terms; zoneLiveness reads the last.
type followerKeepalives struct {
	*environment
	leases  *leaseRenewal
	replica *replica
	term    *termState

	noRedirectUntil map[string]time.Time // by machine: until when its agent, which came here, is not sent to the leader
	lastSweep       time.Time            // when the two maps were last swept
	clearedMachines clearedMachines
}

// clearedMachines is when machines last reported to this controller, as a follower, and held no task of a cancelled
// job.
type clearedMachines map[model.MachineID]time.Time

const (
	// firstRetention and repeatRetention are how long an agent that does not reach the leader is kept by this
	// controller before it is sent to look for the leader: when it comes for the first time, and when it has come back.
	firstRetention  = 3 * time.Second
	repeatRetention = 20 * time.Second
	// returnWindow is for how long after that an agent counts as one that comes back.
	returnWindow = time.Minute
	// maxFollowerStops is how many stops one answer of a follower carries; the next answer has the rest.
	maxFollowerStops = 300
	// maxNoRedirectEntries is how many names of machines a controller keeps beside two for each machine of the log.
	// Heartbeats are not authenticated, so a flood of names that were made up may be behind a larger number.
	maxNoRedirectEntries = 20_000
)

// onReportAsFollower answers an agent's heartbeat when another controller leads, or none.
func (fk *followerKeepalives) onReportAsFollower(report *wire.Heartbeat) result.Result {
	if !fk.replica.loaded {
		return result.Redirected{}
	}
	if leader := fk.term.leader; leader != nil && leader.Node != fk.settings.Node {
		link := fk.links[leader.Node]
		leaderReached := link != nil && time.Since(link.LastResponse()) < linkFreshness
		if !fk.retainsAgent(report.Machine, leaderReached) {
			return result.Redirected{Node: leader.Node}
		}
	}
	return fk.renewAsFollower(report)
}

// retainsAgent tells whether an agent is kept by this controller, which can't give it work, or sent to look for the
// leader; leaderReached tells whether this controller reaches the leader.
func (fk *followerKeepalives) retainsAgent(machine string, leaderReached bool) bool {
	now := time.Now()
	until, known := fk.noRedirectUntil[machine]
	if !known || now.Sub(until) > returnWindow {
		// It comes for the first time, since the leader did not answer it, and its lease may be near its end: it is
		// kept before it is sent to look for the leader again, which takes long when nothing answers.
		until = now.Add(firstRetention)
	} else if !leaderReached && now.After(until) {
		until = now.Add(repeatRetention) // if it comes back, it is partitioned from the leader too
		leaderReached = true
	}
	if !leaderReached || known {
		fk.noRedirectUntil[machine] = until
	}
	return !leaderReached
}

// renewAsFollower renews an agent's lease under the agent's own token while no leader can. Nothing is started. Tasks of
// jobs that the log shows as cancelled are stopped, and what this controller can't know of any more is why it ends
// after a bound: a job cancelled after the log was last read here still loses its tasks in time when the leases then
// expire.
func (fk *followerKeepalives) renewAsFollower(report *wire.Heartbeat) result.Result {
	machine := fk.replica.model.ByName[report.Machine]
	if machine != nil && (machine.Suspect || fk.leases.delayedStartPossible(machine, report)) {
		return leaseToExpire
	}
	commands := fk.stopsOfCancelled(report)
	if machine != nil {
		if delete(fk.clearedMachines, machine.ID); len(commands) == 0 {
			fk.clearedMachines[machine.ID] = time.Now()
		}
	}
	return fk.leases.renew(report.Machine, report.FencingToken, commands)
}

// stopsOfCancelled are stops for the tasks of a heartbeat whose jobs the log shows as cancelled.
func (fk *followerKeepalives) stopsOfCancelled(report *wire.Heartbeat) []wire.Command {
	commands := []wire.Command{}
	for _, t := range report.Tasks {
		number, _, ok := wire.ParseTaskID(t.Task)
		if !ok || t.State == wire.TaskExited || !fk.isCancelled(model.JobID(number)) {
			continue
		}
		if len(commands) >= maxFollowerStops {
			break
		}
		commands = append(commands, wire.Command{
			Verb: wire.Stop, Task: t.Task, Attempt: t.Attempt, GraceS: new(float64),
		})
	}
	return commands
}

// isCancelled tells whether the log, as far as it is committed, shows a job as cancelled.
func (fk *followerKeepalives) isCancelled(id model.JobID) bool {
	if fk.replica.model.Finals[id] == model.FinalCancelled {
		return true
	}
	j := fk.replica.model.Jobs[id]
	return j != nil && j.Cancelled &&
		(fk.term.ownTerm == nil || j.FinalSeq <= fk.term.ownTerm.commits.committedSeq)
}

// sweep drops what no longer counts of agents that came while this controller did not lead. What still counts is kept
// at any size of the fleet: an agent whose entry is lost is kept for some seconds more, again and again, and never sent
// to look for the leader.
func (fk *followerKeepalives) sweep(now time.Time) {
	if now.Sub(fk.lastSweep) >= sweepInterval {
		fk.lastSweep = now
		maps.DeleteFunc(fk.noRedirectUntil, func(_ string, until time.Time) bool {
			return now.Sub(until) > returnWindow
		})
		maps.DeleteFunc(fk.clearedMachines, func(_ model.MachineID, at time.Time) bool {
			return now.Sub(at) >= partitionReportTTL
		})
	}
	if len(fk.noRedirectUntil) > maxNoRedirectEntries+2*len(fk.replica.model.Order) {
		clear(fk.noRedirectUntil)
	}
}

// encode lists the machines that came of late, of those that by the log hold a task of a cancelled job, in at most so
// many bytes: the others are of no interest.
func (c clearedMachines) encode(m *model.Model, now time.Time, maxBytes int) (b []byte) {
	for _, machine := range m.Order {
		if at, ok := c[machine.ID]; ok && now.Sub(at) < partitionReportTTL && machine.HasCancelledTask() &&
			len(b)+binary.MaxVarintLen32 <= maxBytes {
			b = codec.Uint(b, uint64(machine.ID))
		}
	}
	return b
}
