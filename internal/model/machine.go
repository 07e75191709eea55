package model

import (
	"math"
	"slices"

	"fieldhill/internal/agents/lease"
	"fieldhill/internal/agents/staleness"
)

// MachineID numbers machines in the order in which they appear in the log.
type MachineID uint32

// MachineInfo is the name, address, type, zone and pricing of a machine.
type MachineInfo struct {
	Name, Addr, Type, Zone string
	Spot                   bool
}

// ReservedResources is the part of a machine's resources that is used by services without GPUs, which are not
// preempted.
type ReservedResources struct{ CPUs, GPUs, Mem, Tasks float64 }

// Machine is a provisioned machine that is not known to be gone. Its own fields are replicated, except the inferred
// image cache. What the current leader has observed and decided is in Contact, Health and Lifecycle.
type Machine struct {
	ID            MachineID
	Info          MachineInfo
	Type          int32 // index in Model.Types
	Zone          int32 // index in Model.Zones
	Spot          bool
	FirstLoggedMS int64   // wall-clock time of its first entry in the log, ms
	Runs          []*Run  // unordered
	CPUs          float64 // used by its runs, like GPUs and Mem (in GB)
	GPUs          float64
	Mem           float64
	Reserved      ReservedResources // part of CPUs, GPUs and Mem used by services without GPUs
	cache         []cachedImage
	fetches       []pendingFetch

	// Only the leader may renew the agent's lease, because heartbeats have been missing for long. Suspect is set and
	// cleared by log entries.
	Suspect bool
	// The machine's deletion may be in flight. Fencing tokens do not cover the cloud's deletion call: a call may be
	// executed at any later time if its leader stalled before sending it, or the network delayed it. So the release is
	// logged first, no later leader places work on the machine, and each leader repeats the deletion until the cloud
	// responds.
	Releasing  bool
	ReleaseSeq uint64 // log sequence number of the release entry

	suspectSeq uint64 // log sequence number of the last entry that set or cleared Suspect
	Contact    MachineContact
	Health     MachineHealth
	Lifecycle  MachineLifecycle
}

// MachineContact is what the current leader has observed of a machine's agent since its term began. It is not in the
// log.
type MachineContact struct {
	AgentEpoch uint64            // agent epoch of the last valid message
	Reports    staleness.Tracker // report numbers and tokens received, to judge what a message proves
	// Since when responses do not seem to reach the agent; 0: they seem to reach it.
	InboundPartitionSince Time
	// Offset of the machine's fencing token from the lowest token of the term.
	TokenOffset uint64
	Reported    bool // a valid message was received in this term
	LastReport  Time // time of the last valid message, or the start of the term
	KnownSince  Time // when this replica learned of the machine, or the start of the term
	// Since when the machine's heartbeats reach no controller, so that its lease expired, although it responds to
	// probes; 0: heartbeats arrive.
	OutboundPartitionSince Time
	// When the log entry that marked the machine as suspect was committed, or the start of the term if that is later;
	// 0: no such entry is committed. Replicas that have applied the entry do not renew the machine's lease.
	SuspectFrom      Time
	Renewals         lease.ExpiryProof      // last renewals of the lease that the other replicas have reported
	DirectInFlight   bool                   // a direct command is in flight
	Probing          bool                   // a probe is in flight
	ProbedAt         Time                   // when the machine was last probed because of a report
	DirectFailed     bool                   // the last direct command got no response
	unresolvedStarts map[runKey]startTokens // direct starts that may still be executed
	// Highest token under which a start of an attempt was sent in this term, by any path and whether answered or not,
	// unless the agent has shown a higher token. Copies of the start may arrive at any later time.
	sentStarts       map[runKey]uint64
	reapable         []reapableTask // attempts listed by the agent that it must forget or stop
	previousReapable []reapableTask // reapable of the previous report
	observationCount uint64         // number of valid messages
	lastObservedAt   Time           // time of the last valid message
	silenceEndedAt   Time           // time of the first valid message after the last long silence
}

// MachineHealth records how reliably and how fast a machine has run this leader's tasks. It is not in the log.
type MachineHealth struct {
	Quarantined     bool           // gets no new tasks; its tasks move to other machines
	SlowUntil       Time           // found to be slow, and gets only services until then
	Failures        int            // failed attempts since the last completion
	FailedJobs      map[JobID]*Job // jobs of these attempts
	CordonedSince   Time           // since when it is cordoned or quarantined because of failed jobs; 0: neither
	slowdown        average        // mean logarithm of the ratio of its tasks' durations to those of their peers
	slowdownJobs    int            // number of series of consecutive tasks of one job in slowdown
	lastSlowdownJob JobID          // job of the last task in slowdown
	lastOnTimeStart Time           // latest start of a task that took less than slowFactor times as long as its peers
	slowFoundAt     Time           // when the machine was last found to be slow
	slowCount       int            // how often the machine was found to be slow
}

// MachineLifecycle is the lifecycle of a machine as tracked by the current leader. It is not in the log.
type MachineLifecycle struct {
	ProvisionedAt Time // when this leader provisioned it; 0: another leader did
	BootOverdue   bool // it has exceeded its expected boot time
	PreemptionAt  Time // when the cloud reclaims it; 0: no notice
	Draining      bool // it gets no new tasks and is released when empty
	IdleSince     Time // since when it has no runs
}

// IsUsable reports whether new tasks may be placed on the machine.
func (machine *Machine) IsUsable() bool {
	return machine.Contact.Reported && !machine.IsLeaving() && !machine.Releasing && !machine.Suspect &&
		machine.Health.CordonedSince == 0 &&
		machine.Contact.InboundPartitionSince == 0
}

// IsLeaving reports whether the machine's tasks are to move to other machines.
func (machine *Machine) IsLeaving() bool {
	return machine.Lifecycle.Draining || machine.Health.Quarantined || machine.Lifecycle.PreemptionAt != 0
}

// ServicesOnly reports whether only services may be placed on the machine. The reason is either that it is slow, which
// does not affect services, or that its heartbeats reach no controller. In the latter case the agent ends all tasks at
// every lease expiry, which costs services a short interruption but other tasks all their progress.
func (machine *Machine) ServicesOnly(now Time) bool {
	return machine.IsSlow(now) || machine.Contact.OutboundPartitionSince != 0
}

// MarkInboundPartition records that messages to the machine do not seem to arrive. The machine gets no new tasks until
// one of its reports shows that messages to it arrive.
func (machine *Machine) MarkInboundPartition(now Time) { machine.Contact.markInboundPartition(now) }

func (c *MachineContact) markInboundPartition(now Time) {
	if c.InboundPartitionSince == 0 {
		c.InboundPartitionSince = max(now, 1)
	}
}

// SilentFor returns how long nothing has been received from the machine or, if that is longer, how long messages to the
// machine have not seemed to arrive.
func (machine *Machine) SilentFor(now Time) Time { return machine.Contact.silentFor(now) }

func (c *MachineContact) silentFor(now Time) Time {
	if c.InboundPartitionSince != 0 {
		return max(now-c.LastReport, now-c.InboundPartitionSince)
	}
	return now - c.LastReport
}

// SuspectSeq returns the log sequence number of the last entry that set or cleared Suspect.
func (machine *Machine) SuspectSeq() uint64 { return machine.suspectSeq }

// SuspicionCommitted records that the entry with the given sequence number, which marked the machine as suspect, is
// committed. Only the latest such entry counts: between two such entries the machine was not suspect, and a replica
// that has applied the log only up to a point between them may still renew the machine's lease.
func (machine *Machine) SuspicionCommitted(seq uint64, now Time) {
	if machine.Suspect && machine.suspectSeq == seq {
		machine.Contact.SuspectFrom = now
	}
}

// LeaseExpired reports whether the lease of a suspect machine has certainly expired. others is the number of other
// replicas, and ownRenewal the time of this replica's last renewal. If all others have reported their last renewals,
// the lease runs for duration from the latest of all renewals. Otherwise any replica may have renewed the lease until
// the duration bound had passed since the suspicion was committed: bound is the maximum age of the log copy on which a
// replica may act.
func (machine *Machine) LeaseExpired(bound, duration, ownRenewal, now Time, others int) bool {
	contact := &machine.Contact
	if !machine.Suspect || contact.SuspectFrom == 0 {
		return false
	}
	from, complete := contact.Renewals.LeaseStart(others, ownRenewal)
	if complete && lease.Expired(from, duration, now) {
		return true
	}
	return lease.Expired(contact.SuspectFrom, bound+duration, now)
}

// HasCancelledTask reports whether the machine runs a task of a cancelled job.
func (machine *Machine) HasCancelledTask() bool {
	return slices.ContainsFunc(machine.Runs, func(r *Run) bool { return r.Job.Cancelled })
}

// cancelledFor returns the longest time for which a job with a task on the machine has been cancelled: 0 if there is no
// such job, and math.MaxInt64 if one was cancelled before this replica began to follow the log.
func (machine *Machine) cancelledFor(now Time) (longest Time) {
	for _, r := range machine.Runs {
		switch {
		case !r.Job.Cancelled:
		case r.Job.Observed.CancelledSince == 0:
			return math.MaxInt64 // cancelled before this replica began to follow the log
		default:
			longest = max(longest, now-r.Job.Observed.CancelledSince)
		}
	}
	return longest
}

// latestRunEpoch returns the latest epoch of the machine's runs, which the log proves the agent to have reached.
func (machine *Machine) latestRunEpoch() (epoch uint64) {
	for _, r := range machine.Runs {
		epoch = max(epoch, r.AgentEpoch)
	}
	return epoch
}

func (machine *Machine) removeRun(r *Run) {
	for i, o := range machine.Runs {
		if o == r {
			machine.Runs[i] = machine.Runs[len(machine.Runs)-1]
			machine.Runs = machine.Runs[:len(machine.Runs)-1]
			return
		}
	}
}
