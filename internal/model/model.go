// Package model owns the scheduler's state: jobs, tasks, machines and teams, and the rules for what is evidence of a
// change. It is pure: entries, heartbeats and the time go in, entries to log and commands to send come out.
//
// The replicated part (jobs, placements, machines, final states) changes only through Apply, with the log's entries in
// the log's order, so every replica that has read the same log holds the same state. Observations (agent epochs,
// phases, caches, health) belong to the leader and are gathered anew by each; they are kept in types of their own
// (MachineContact, MachineHealth, MachineLifecycle, JobScheduling, JobObservation).
//
// Invariants:
//   - a task has at most one Run, from the entry that placed it until evidence that it is gone (rule: ran_twice);
//   - a Run counts against its team, zone and machine as long as it exists, whatever its job has become (rules: quota,
//     wrong_place).
package model

import (
	"time"

	"fieldhill/internal/agents/lease"
	"fieldhill/internal/agents/staleness"
	"fieldhill/internal/config"
)

// Time is steady time since the process began.
type Time = time.Duration

// epsilon is by how much sums of resources may differ from the limit they are compared with: they are sums of
// fractions, and rounding must not refuse what fits exactly.
const epsilon = 1e-6

// Model is the state of one replica. Each part has its concern and the state for it; what needs several of them is
// a method of the Model.
type Model struct {
	catalog
	jobTable
	machineTable
	teamTable
	completionTable
	durationStats
	leaderTerm

	// GangWait is how long a gang's member waits for the others before it exits, by the platform.
	GangWait Time
}

// New makes an empty model with the teams and zones of the settings.
func New(p *config.Params) *Model {
	m := &Model{
		jobTable:     newJobTable(),
		machineTable: newMachineTable(),
		teamTable:    newTeamTable(p.Teams),
		GangWait:     config.Seconds(p.Workers.GangWaitS),
	}
	m.ByTeam = make([]CompletionStats, len(m.Teams))
	for _, z := range p.Zones {
		m.Zones.ID(z)
	}
	return m
}

// BeginTerm makes the replica that holds the model the leader: nothing that was observed under earlier terms counts,
// and their commands may still be under way. The base is the lowest token of the new term.
func (m *Model) BeginTerm(base uint64, now Time) {
	m.TermBase = base
	for _, machine := range m.Order {
		machine.beginTerm(now)
	}
}

// beginTerm forgets what earlier terms observed of a machine. How well it has served and whether it is drained stays
// from an earlier term of this process, and a probe that is under way ends by itself.
func (machine *Machine) beginTerm(now Time) {
	contact, lifecycle := &machine.Contact, &machine.Lifecycle
	contact.Session = 0
	contact.Reports = staleness.Tracker{}
	contact.InboundPartitionSince = 0
	contact.OutboundPartitionSince = 0
	contact.TokenBump = 0
	contact.Reported = false
	contact.LastReport = now
	contact.KnownSince = now
	contact.DirectInFlight = false
	contact.DirectFailed = false
	contact.SuspectFrom = 0
	if machine.Suspect {
		contact.SuspectFrom = now
	}
	contact.unresolvedStarts = nil
	contact.reapable = nil
	contact.Renewals = lease.ExpiryProof{}
	lifecycle.PreemptionAt = 0
	lifecycle.ProvisionedAt = 0
	lifecycle.BootOverdue = false
	for _, r := range machine.Runs {
		r.setPhase(Unseen)
		r.Inherited = true
		r.answeredReportSeq = 0
		r.Stop = false
		r.goneFromToken = 0
	}
}
