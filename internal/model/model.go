// Package model holds the scheduler's state: jobs, tasks, machines and teams, and the rules for which changes of state
// an agent's report proves. It performs no I/O: its inputs are log entries, heartbeats and the time; its outputs are
// entries to log and commands to send.
//
// The replicated part (jobs, placements, machines, final states) changes only through Apply, with the log's entries in
// log order, so replicas that have read the same log hold the same state. Observations (agent epochs, phases of runs,
// image caches, machine health) are not in the log: each leader collects its own, in separate types: MachineContact,
// MachineHealth, MachineLifecycle, JobScheduling and JobObservation.
//
// Invariants, with the names of the emulator's checks for them:
//   - A task has at most one Run, from the entry that placed it until there is evidence that it has ended (ran_twice).
//   - A Run counts against its team, zone and machine as long as it exists, even if its job is over (quota,
//     wrong_place).
package model

import (
	"time"

	"fieldhill/internal/agents/lease"
	"fieldhill/internal/agents/staleness"
	"fieldhill/internal/config"
)

// Time is monotonic time since the start of the process.
type Time = time.Duration

// epsilon is the tolerance when sums of resources are compared with a limit. Requests may be fractions, and rounding
// errors in their sums must not reject an exact fit.
const epsilon = 1e-6

// Model is the state of one replica. Each embedded type covers one concern; operations that span several of them are
// methods of Model.
type Model struct {
	catalog
	jobTable
	machineTable
	teamTable
	completionTable
	durationStats
	leaderTerm

	// How long a gang member waits for the others before it exits, as set by the platform.
	GangWait Time
}

// New returns an empty model with the configured teams and zones.
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

// BeginTerm makes this replica the leader. base is the lowest fencing token of the new term. The observations of
// machines in earlier terms are discarded, except their health and draining state, and all runs are marked as
// inherited, because commands of earlier leaders may still be in flight.
func (m *Model) BeginTerm(base uint64, now Time) {
	m.MinToken = base
	for _, machine := range m.MachinesInOrder {
		machine.beginTerm(now)
	}
}

// beginTerm discards what earlier terms observed of the machine. It keeps the machine's health and draining state from
// an earlier term of this process, and the flag for a probe in flight, which is cleared when that probe ends.
func (machine *Machine) beginTerm(now Time) {
	contact, lifecycle := &machine.Contact, &machine.Lifecycle
	contact.AgentEpoch = 0
	contact.Reports = staleness.Tracker{}
	contact.InboundPartitionSince = 0
	contact.OutboundPartitionSince = 0
	contact.TokenOffset = 0
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
	contact.sentStarts = nil
	contact.reapable, contact.previousReapable = nil, nil
	contact.Renewals = lease.ExpiryProof{}
	lifecycle.PreemptionAt = 0
	lifecycle.ProvisionedAt = 0
	lifecycle.BootOverdue = false
	for _, r := range machine.Runs {
		r.setPhase(Unseen)
		r.Inherited = true
		r.startResponseSeq = 0
		r.Stop = false
		r.endMinToken = 0
	}
}
