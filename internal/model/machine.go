package model

import (
	"math"
	"slices"

	"fieldhill/internal/agents/lease"
	"fieldhill/internal/agents/staleness"
)

// MachineID numbers machines in the order in which the log names them.
type MachineID uint32

// MachineInfo is what identifies a machine.
type MachineInfo struct {
	Name, Addr, Type, Zone string
	Spot                   bool
}

// ReservedResources is what services without GPUs use of a machine: it is not preempted.
type ReservedResources struct{ CPUs, GPUs, Mem float64 }

// Machine is a provisioned machine that is not evidently gone. Its own fields are replicated, but for the inferred
// image cache; what this leader has observed and decided is in Contact, Health and Lifecycle.
type Machine struct {
	ID       MachineID
	Info     MachineInfo
	Type     int32 // in Model.Types
	Zone     int32 // in Model.Zones
	Spot     bool
	At       int64   // time of day when the log first named it, ms
	Runs     []*Run  // in no order
	CPUs     float64 // in use by its runs
	GPUs     float64
	Mem      float64
	Reserved ReservedResources // of that, what services without GPUs use
	cache    []cachedImage
	fetches  []pendingFetch

	// Suspect tells that the log forbids all replicas but the leader to renew its agent's lease: no heartbeat of it
	// has come for long.
	Suspect bool
	// Releasing tells that its release is under way. No token fences a deletion: one that was decided before its
	// leader stalled, or was held up by the network, may be carried out at any later time. So the log has it first,
	// and no later leader gives the machine work; it repeats the deletion until the cloud answers.
	Releasing  bool
	ReleaseSeq uint64 // the log's number of that

	suspectSeq uint64 // the log's number of the entry that made it suspect, or took that back
	Contact    MachineContact
	Health     MachineHealth
	Lifecycle  MachineLifecycle
}

// MachineContact is what this leader has observed of a machine's agent since its term began. It is not in the log.
type MachineContact struct {
	Session uint64            // the agent epoch of the last message that proved something
	Reports staleness.Tracker // the numbers and tokens that were received, for judging what a message proves
	// InboundPartitionSince is since when answers are known not to reach the agent; 0: they do.
	InboundPartitionSince Time
	// TokenBump is by how much the machine's fencing token is above the term's lowest.
	TokenBump  uint64
	Reported   bool // a message of it proved something in this term
	LastReport Time // when the last one did, or when the term began
	KnownSince Time // when this replica learnt of the machine, or when the term began
	// OutboundPartitionSince is since when its heartbeats reach no controller though it answers probes, as its lease
	// expired meanwhile; 0: they do.
	OutboundPartitionSince Time
	// SuspectFrom is since when every replica that may renew the lease of a suspect machine either knows of that or
	// has a copy of the log older than this; 0: the entry is not committed.
	SuspectFrom      Time
	Renewals         lease.ExpiryProof      // when the other replicas last renewed its lease, as far as they reported
	DirectInFlight   bool                   // a direct command is under way
	Probing          bool                   // a probe is under way
	ProbedAt         Time                   // when it was last probed because of what it reported
	DirectFailed     bool                   // the last direct command got no answer
	unresolvedStarts map[runKey]startTokens // direct starts that may still be executed
	reapable         []reapableTask         // listed attempts that are to be forgotten or stopped
	observation      uint64                 // counts the messages that proved something
	lastObservedAt   Time                   // when the last one came
	silenceEndedAt   Time                   // when the first one after a long silence came
}

// MachineHealth is how well a machine has served this leader's tasks. It is not in the log.
type MachineHealth struct {
	Quarantined     bool           // it gets nothing new, and what is on it moves to others
	SlowUntil       Time           // it was found to be slow, and gets only services until then
	Failures        int            // attempts that failed since the last completion
	FailedJobs      map[JobID]*Job // whose attempts these were
	DoubtSince      Time           // since when it gets nothing new, because jobs failed on it; 0: it does
	pace            average        // of its tasks' durations against those of their peers, in logarithms
	paceJobs        int            // how many jobs in turn that is from
	lastPaceJob     JobID          // the last of these
	lastOnTimeStart Time           // when the last task started that completed in time
	slowFoundAt     Time           // when it was last found to be slow
	slowCount       int            // how often it was
}

// MachineLifecycle is from when to when this leader counts on a machine. It is not in the log.
type MachineLifecycle struct {
	ProvisionedAt Time // when this leader provisioned it; 0: another did
	BootOverdue   bool // it should have come up by now
	PreemptionAt  Time // when the cloud takes it back; 0: no notice
	Draining      bool // it gets no new work, and is released when empty
	IdleSince     Time // since when it has no run
}

// IsUsable tells whether a machine may be given work.
func (machine *Machine) IsUsable() bool {
	return machine.Contact.Reported && !machine.IsLeaving() && !machine.Releasing && !machine.Suspect &&
		machine.Health.DoubtSince == 0 &&
		machine.Contact.InboundPartitionSince == 0
}

// IsLeaving tells whether what is on a machine is to move to others.
func (machine *Machine) IsLeaving() bool {
	return machine.Lifecycle.Draining || machine.Health.Quarantined || machine.Lifecycle.PreemptionAt != 0
}

// ServicesOnly tells whether a machine gets services only: it is slow, which is nothing to them, or its heartbeats
// reach no controller, so that what runs there is ended with its lease again and again, by which services lose a moment
// and the rest all that it did.
func (machine *Machine) ServicesOnly(now Time) bool {
	return machine.IsSlow(now) || machine.Contact.OutboundPartitionSince != 0
}

// MarkInboundPartition notes that what is sent to a machine does not arrive, as far as is known.
func (machine *Machine) MarkInboundPartition(now Time) { machine.Contact.markInboundPartition(now) }

func (c *MachineContact) markInboundPartition(now Time) {
	if c.InboundPartitionSince == 0 {
		c.InboundPartitionSince = max(now, 1)
	}
}

// SilentFor is for how long nothing has been received of a machine, or it is known not to receive.
func (machine *Machine) SilentFor(now Time) Time { return machine.Contact.silentFor(now) }

func (c *MachineContact) silentFor(now Time) Time {
	if c.InboundPartitionSince != 0 {
		return max(now-c.LastReport, now-c.InboundPartitionSince)
	}
	return now - c.LastReport
}

// SuspectSeq is the log's number of the entry that made a machine suspect.
func (machine *Machine) SuspectSeq() uint64 { return machine.suspectSeq }

// SuspicionCommitted notes that the entry with a number, which made a machine suspect,
// is committed now. An earlier one of several proves nothing: between the two the
// machine was trusted, and a replica that read so far may renew its lease.
func (machine *Machine) SuspicionCommitted(seq uint64, now Time) {
	if machine.Suspect && machine.suspectSeq == seq {
		machine.Contact.SuspectFrom = now
	}
}

// LeaseExpired tells whether the lease of a suspect machine has surely expired: since all that may have renewed it
// reported when they last did (ownRenewal is when this replica did; others is how many there are besides it), or, where
// not all did, by the bound for which any replica may go on with an old copy of the log.
func (machine *Machine) LeaseExpired(bound, duration, ownRenewal, now Time, others int) bool {
	contact := &machine.Contact
	if !machine.Suspect || contact.SuspectFrom == 0 {
		return false
	}
	from, complete := contact.Renewals.CountsFrom(others, ownRenewal)
	if complete && lease.Expired(from, duration, now) {
		return true
	}
	return lease.Expired(contact.SuspectFrom, bound+duration, now)
}

// HasCancelledTask tells whether a machine has a task of a job that is cancelled.
func (machine *Machine) HasCancelledTask() bool {
	return slices.ContainsFunc(machine.Runs, func(r *Run) bool { return r.Job.Cancelled })
}

// cancelledFor is for how long a job that has a task on the machine has been cancelled, of several the longest.
func (machine *Machine) cancelledFor(now Time) (longest Time) {
	for _, r := range machine.Runs {
		switch {
		case !r.Job.Cancelled:
		case r.Job.Observed.CancelledFrom == 0:
			return math.MaxInt64 // for longer than this replica has followed
		default:
			longest = max(longest, now-r.Job.Observed.CancelledFrom)
		}
	}
	return longest
}

// reachedSession is a session that a machine's agent is known, by the log, to have reached.
func (machine *Machine) reachedSession() (session uint64) {
	for _, r := range machine.Runs {
		session = max(session, r.Session)
	}
	return session
}

// removeRun takes a run off the machine's list.
func (machine *Machine) removeRun(r *Run) {
	for i, o := range machine.Runs {
		if o == r {
			machine.Runs[i] = machine.Runs[len(machine.Runs)-1]
			machine.Runs = machine.Runs[:len(machine.Runs)-1]
			return
		}
	}
}
