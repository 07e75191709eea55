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

// followerKeepalives answers the heartbeats of agents that cannot reach the leader, while this controller does not
// lead. It renews their leases within the limit of leaseRenewal, so that their tasks keep running, and starts no tasks.
//
// It owns the record of the agents that recently sent heartbeats to this controller, of how long each is retained
// before it is redirected to the leader, and of the machines that hold no task of a cancelled job. This state is
// written on the event loop only and outlives terms. zoneLiveness reads clearedMachines.
type followerKeepalives struct {
	*environment
	leases  *leaseRenewal
	replica *replica
	term    *termState

	noRedirectUntil map[string]time.Time // by machine: until when its agent is not redirected
	lastSweep       time.Time            // when noRedirectUntil and clearedMachines were last swept
	clearedMachines clearedMachines
}

// clearedMachines maps a machine to the time of its last heartbeat to this controller as a follower, if it held no task
// of a cancelled job then.
type clearedMachines map[model.MachineID]time.Time

const (
	// firstRetention and repeatRetention are how long this controller retains an agent that cannot reach the leader
	// before it redirects the agent to the leader: after the agent's first heartbeat here, and after the agent was
	// redirected and has come back.
	firstRetention  = 3 * time.Second
	repeatRetention = 20 * time.Second
	// returnWindow is how long after the end of its retention an agent that sends a heartbeat here still counts as
	// coming back.
	returnWindow = time.Minute
	// maxFollowerStops is the maximum number of stop commands in a follower's response; further ones follow in the next
	// response.
	maxFollowerStops = 300
	// maxNoRedirectEntries is the maximum number of entries in noRedirectUntil, in addition to two per registered
	// machine. Heartbeats are not authenticated, so a larger number may come from a flood of invented names.
	maxNoRedirectEntries = 20_000
)

// onReportAsFollower answers an agent's heartbeat while this controller does not lead.
func (fk *followerKeepalives) onReportAsFollower(report *wire.Heartbeat) result.Result {
	if !fk.replica.loaded {
		return result.Redirected{}
	}
	if leader := fk.term.leader; leader != nil && leader.Node != fk.settings.Node {
		link := fk.links[leader.Node]
		leaderReached := link != nil && time.Since(link.LastResponse()) < linkTimeout
		if !fk.retainsAgent(report.Machine, leaderReached) {
			return result.Redirected{Node: leader.Node}
		}
	}
	return fk.renewAsFollower(report)
}

// retainsAgent reports whether this controller retains an agent, although it cannot assign work to the agent, instead
// of redirecting it to the leader. leaderReached reports whether this controller can reach the leader.
func (fk *followerKeepalives) retainsAgent(machine string, leaderReached bool) bool {
	now := time.Now()
	until, known := fk.noRedirectUntil[machine]
	if !known || now.Sub(until) > returnWindow {
		// This is the agent's first heartbeat here: the leader did not answer the agent, and the agent's lease may be
		// about to expire. The agent is retained before it is redirected, because its search for the leader takes long
		// if no controller responds.
		until = now.Add(firstRetention)
	} else if !leaderReached && now.After(until) {
		until = now.Add(repeatRetention) // if the agent comes back, it cannot reach the leader either
		leaderReached = true
	}
	if !leaderReached || known {
		fk.noRedirectUntil[machine] = until
	}
	return !leaderReached
}

// renewAsFollower renews an agent's lease under the agent's own token while the leader cannot. It starts no tasks, and
// stops those of jobs that the log shows as cancelled. The renewals end at the stale renewal limit, because this
// controller may not know of later cancellations: the leases then expire, so that a job cancelled after the last log
// read still loses its tasks within cancel_s.
//
// An agent that has seen no token is not renewed. It holds no tasks, and may be a new incarnation in the epoch of an
// earlier one: without a token, only the end of that epoch makes it reject copies of commands to the earlier one.
func (fk *followerKeepalives) renewAsFollower(report *wire.Heartbeat) result.Result {
	machine := fk.replica.model.MachinesByName[report.Machine]
	if report.FencingToken == 0 ||
		machine != nil && (machine.Suspect || fk.leases.delayedStartPossible(machine, report)) {
		return leaseExpiring
	}
	commands := fk.stopCommandsForCancelled(report)
	if machine != nil {
		if delete(fk.clearedMachines, machine.ID); len(commands) == 0 {
			fk.clearedMachines[machine.ID] = time.Now()
		}
	}
	return fk.leases.renew(report.Machine, report.FencingToken, commands)
}

// stopCommandsForCancelled returns stop commands for those tasks in a heartbeat whose jobs are cancelled according to
// the log.
func (fk *followerKeepalives) stopCommandsForCancelled(report *wire.Heartbeat) []wire.Command {
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
			Verb: wire.VerbStop, Task: t.Task, Attempt: t.Attempt, GraceS: new(float64),
		})
	}
	return commands
}

// isCancelled reports whether the committed part of the log shows a job as cancelled.
func (fk *followerKeepalives) isCancelled(id model.JobID) bool {
	if fk.replica.model.Finals[id] == model.FinalCancelled {
		return true
	}
	j := fk.replica.model.Jobs[id]
	return j != nil && j.Cancelled &&
		(fk.term.ownTerm == nil || j.FinalSeq <= fk.term.ownTerm.commits.committedSeq)
}

// sweep removes expired entries of noRedirectUntil and clearedMachines. Other entries are kept at any fleet size, since
// an agent whose entry is lost would be retained for firstRetention each time and never be redirected to the leader.
// The exception is a flood of invented names: if noRedirectUntil exceeds its limit (maxNoRedirectEntries), all its
// entries are removed.
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
	if len(fk.noRedirectUntil) > maxNoRedirectEntries+2*len(fk.replica.model.MachinesInOrder) {
		clear(fk.noRedirectUntil)
	}
}

// encode returns the IDs of the machines that hold a task of a cancelled job according to the log, but whose last
// heartbeat to this controller as a follower listed none and is not older than partitionReportTTL. The IDs are varints
// in at most maxBytes bytes. The leader needs no information about machines that hold no such task.
func (c clearedMachines) encode(m *model.Model, now time.Time, maxBytes int) (b []byte) {
	for _, machine := range m.MachinesInOrder {
		if at, ok := c[machine.ID]; ok && now.Sub(at) < partitionReportTTL && machine.HasCancelledTask() &&
			len(b)+binary.MaxVarintLen32 <= maxBytes {
			b = codec.Uint(b, uint64(machine.ID))
		}
	}
	return b
}
