// Package health decides what a leader does about machines whose agents are silent, partitioned or quarantined, and
// whether the leader itself is isolated. It performs no I/O: the caller collects observations, and executes the actions
// for one machine before it passes in the next one.
//
// When many machines of a zone fall silent at once, a partition is likely, and the machines keep working; one or two
// silent machines are more likely dead or hung. Each round of decisions therefore first counts the silent machines by
// zone (Census), and then judges each machine by these counts (Round). The Detector keeps state between the rounds of
// one term of leadership.
//
// An expired lease does not prove that a machine's tasks have ended: a hung agent ends them only when it resumes, and
// they may run until then. The cloud's confirmation of a release always proves that they have ended, and the cloud is
// not part of any zone. A machine in a partitioned zone is kept until its lease has expired, since its tasks keep
// running. After that it is released if it runs urgent tasks that may run elsewhere, or low-priority tasks for which
// there is free capacity elsewhere. Releasing the other machines gains nothing, and they are available again when the
// partition ends. Releasing all machines of a zone, half of them for low-priority tasks that then only queue elsewhere,
// can require a third of the fleet to be booted again.
//
// An agent ends the tasks of a cancelled job within the permitted time, unless it hangs. A silent machine with such
// tasks is therefore released before that time is over, even if its zone is partitioned from the leader only, unless a
// controller in the zone has just received a report of the machine that lists no such task. The time counts from the
// cancellation and not from the election, and a new leader releases a machine that does not answer it without waiting
// until the machine counts as lost: where leaders change often, it would never count as lost.
//
// While the cloud is unavailable, it cannot confirm a release, and no machine is released because of its tasks: the
// partition may end first.
package health

import (
	"time"

	"fieldhill/internal/config"
)

// Time is monotonic time since the process started.
type Time = time.Duration

// Rules are the time-outs by which machines are judged. They are derived from the settings and don't change.
type Rules struct {
	HeartbeatS         float64 // heartbeat interval of agents in seconds
	ProbeAfter         Time    // a machine that is silent for longer is probed
	SilentAfter        Time    // a machine that is silent for longer, despite probes, is considered lost
	CancelReleaseDelay Time    // how long tasks of a cancelled job may remain on a silent machine
	Zones              int     // number of zones in the settings
}

// missedHeartbeatAge returns the age of the last heartbeat above which the next one counts as missed.
func (r *Rules) missedHeartbeatAge() Time { return config.Seconds(r.HeartbeatS * 1.25) }

const (
	// firstHeartbeatGrace extends SilentAfter before an agent's first heartbeat in a term, as the agent may still be
	// searching for the leader. It does not apply to an agent with tasks and a known address: such an agent is probed
	// as soon as a leader is elected, and stays silent only if it hangs or is gone.
	firstHeartbeatGrace = 6 * time.Second
	// latenessInterval is the interval of the lateness checks, which read all tasks of all machines, and of raising the
	// fencing tokens in a zone that receives no responses.
	latenessInterval = 5 * time.Second
	// minInboundPartitioned is the number of machines of a zone that must be without responses before the fencing
	// tokens of all machines in the zone are raised, to test whether they receive responses.
	minInboundPartitioned = 2
	// minSilentInZone is the minimum number of silent machines for a zone to be considered partitioned.
	minSilentInZone = 3
	// partitionRecovery is how long a zone is still considered partitioned after the last round that detected it:
	// agents need some time to find the leader again.
	partitionRecovery = 15 * time.Second
	// maxPartitionSilence is the silence after which a machine is released even if its zone is considered partitioned.
	maxPartitionSilence = 100 * time.Second
	// overdueCancelSilence is how long an unresponsive machine may be silent in a term while it holds tasks of a job
	// that was cancelled too long ago: long enough for two probes, and shorter than the term of a leader where leaders
	// change every few seconds.
	overdueCancelSilence = 4 * time.Second
)

// Machine is the leader's observation of one machine.
type Machine struct {
	Zone               int32
	Reported           bool // a heartbeat was received in this term
	Occupied           bool // tasks are placed on the machine
	HasAddr            bool // the agent's address is known
	Unresponsive       bool // no message arrived in this term, and a probe was not answered
	Suspect            bool // marked as suspect in the log: only the leader may renew the lease
	Releasing          bool // the decision to release it is in the log
	Quarantined        bool
	InboundPartitioned bool // responses are known not to reach the agent
	SinceHeartbeat     Time // age of the last heartbeat
	SilentFor          Time // time since the last message, or since responses are known not to arrive
}

// hasBeenUp reports whether a machine is known to have been up. This includes a suspect machine without tasks:
// otherwise a new leader could release all machines of a zone as not booted, just when the zone's partition ends.
func (m *Machine) hasBeenUp() bool { return m.Reported || m.Occupied || m.Suspect }

// isLost reports whether a machine that was up has exceeded the permitted silence.
func (m *Machine) isLost(rules *Rules) bool {
	limit := rules.SilentAfter
	if !m.Reported && (!m.Occupied || !m.HasAddr) {
		limit += firstHeartbeatGrace
	}
	return m.hasBeenUp() && m.SilentFor > limit
}

// Resources is an amount of resources: what tasks need, or what is free on machines.
type Resources struct{ CPUs, GPUs float64 }

// Evidence provides facts about the judged machine that are costly to determine, and therefore requested only when a
// decision depends on them. Its methods have no side effects.
type Evidence interface {
	// CancelledFor returns the time since the earliest cancellation of a job with a task on the machine.
	CancelledFor() Time
	// Cleared reports whether another controller has just received a report of the machine that lists no task of a
	// cancelled job.
	Cleared() bool
	// LeaseExpired reports whether the lease of a suspect machine has certainly expired.
	LeaseExpired() bool
	// MovableTasks reports whether urgent tasks on the machine may run in another zone, and returns the resources
	// needed by its low-priority tasks that may run in another zone.
	MovableTasks() (urgent bool, low Resources)
	// FreeOutsideZone returns the free resources for low-priority tasks outside the machine's zone. It is called at
	// most once per round and zone.
	FreeOutsideZone() Resources
	// ZoneMayBeAlive reports whether a controller in the machine's zone may be keeping the machine's tasks running.
	ZoneMayBeAlive() bool
}

// ActionKind is the type of an action on a machine.
type ActionKind uint8

// Kinds of actions.
const (
	RaiseToken      ActionKind = iota + 1 // raise the fencing token: the next heartbeat shows whether responses arrive
	Probe                                 // request the agent's status
	MarkPartitioned                       // place nothing on the machine until a message from it arrives
	MarkSuspect                           // mark as suspect in the log, so that the lease expires
	Release                               // release the machine to the cloud
)

// ReleaseReason is the reason for a release, as it is logged.
type ReleaseReason string

// Reasons for a release.
const (
	HeartbeatsMissing ReleaseReason = "heartbeats missing"
	Quarantined       ReleaseReason = "quarantined"
	BootTimedOut      ReleaseReason = "boot timed out"
	CancelOverdue     ReleaseReason = "zone partitioned, cancelled tasks overdue"
	NeededElsewhere   ReleaseReason = "zone partitioned, lease expired, tasks needed elsewhere"
)

// Action is an action on a machine. Reason is set for Release only.
type Action struct {
	Kind   ActionKind
	Reason ReleaseReason
}

// Detector is the state of a leader's failure detection between the rounds of one term. The zero value is ready to use.
// It is not safe for concurrent use.
type Detector struct {
	nextLatenessCheck Time           // the first round after this time checks lateness
	partitionedUntil  map[int32]Time // by zone: end of its partition, including partitionRecovery
	missingSince      Time           // since when most heartbeats are missing; 0: most arrive
}

// Round is one round of decisions about all machines. It holds the counts taken at its start, and tracks the free
// resources that its decisions have used.
type Round struct {
	rules             *Rules
	detector          *Detector
	census            *Census
	now               Time
	cloudUnavailable  bool
	checksLateness    bool
	queriesPartitions bool
	freeOutside       map[int32]*Resources // by zone: resources free in other zones and not yet used in this round
}

// Begin starts a round with the counts of all machines. While the cloud is unavailable, no machine is released because
// of its tasks.
func (d *Detector) Begin(rules *Rules, census *Census, now Time, cloudUnavailable bool) *Round {
	r := &Round{
		rules: rules, detector: d, census: census, now: now, checksLateness: now > d.nextLatenessCheck,
		freeOutside: map[int32]*Resources{}, cloudUnavailable: cloudUnavailable,
	}
	if r.checksLateness {
		d.nextLatenessCheck = now + latenessInterval
	}
	if d.partitionedUntil == nil {
		d.partitionedUntil = map[int32]Time{}
	}
	for zone, count := range census.zones {
		if count.silent >= minSilentInZone && count.silent*2 > count.up {
			d.partitionedUntil[zone] = now + partitionRecovery
		}
	}
	return r
}

// ChecksLateness reports whether this round includes the lateness checks, which compare tasks with their peers on other
// machines.
func (r *Round) ChecksLateness() bool { return r.checksLateness }

// QueriesPartitions reports whether a decision depended on which machines the controllers of a zone still reach.
func (r *Round) QueriesPartitions() bool { return r.queriesPartitions }

// ReleasesUnbooted reports whether machines of a zone that did not boot in time are released. In a partitioned zone
// such machines may be up although no message from them arrives.
func (r *Round) ReleasesUnbooted(zone int32) bool { return !r.isPartitioned(zone) }

func (r *Round) isPartitioned(zone int32) bool { return r.now < r.detector.partitionedUntil[zone] }

// Judge returns the actions on a machine. The caller executes them in this order before it observes the next machine.
func (r *Round) Judge(m *Machine, evidence Evidence) []Action {
	var actions []Action
	if r.checksLateness && m.Reported && r.census.inboundPartitioned(m.Zone) >= minInboundPartitioned {
		actions = append(actions, Action{Kind: RaiseToken}) // this machine likely receives no responses either
	}
	if m.Releasing {
		return actions
	}
	if m.hasBeenUp() && m.SilentFor > r.rules.ProbeAfter || m.Unresponsive && r.isCancelOverdue(evidence) {
		actions = append(actions, Action{Kind: Probe})
	}
	lost := m.isLost(r.rules)
	if reason, due := r.releaseInPartition(m, lost, evidence); due {
		return append(actions, Action{Release, reason})
	}
	switch {
	case m.Quarantined && !m.Occupied:
		return append(actions, Action{Release, Quarantined})
	case !lost:
		return actions
	case !r.isPartitioned(m.Zone) || m.SilentFor >= maxPartitionSilence:
		return append(actions, Action{Release, HeartbeatsMissing})
	}
	// Idle machines are marked too: tasks placed on them would wait for the end of the partition.
	actions = append(actions, Action{Kind: MarkPartitioned}, Action{Kind: RaiseToken})
	if !m.Suspect && m.Occupied {
		r.queriesPartitions = true
		if !evidence.ZoneMayBeAlive() {
			actions = append(actions, Action{Kind: MarkSuspect})
		}
	}
	return actions
}

// releaseInPartition decides whether a suspect, lost or unresponsive machine is released because of its tasks, and for
// which reason.
// The package comment explains the rules.
func (r *Round) releaseInPartition(m *Machine, lost bool, evidence Evidence) (reason ReleaseReason, due bool) {
	switch {
	case !m.Occupied || r.cloudUnavailable:
		return "", false
	case (lost || m.Suspect || m.Unresponsive && m.SilentFor > overdueCancelSilence) && r.isCancelOverdue(evidence) &&
		!evidence.Cleared():
		return CancelOverdue, true
	case m.Suspect && evidence.LeaseExpired() && r.neededElsewhere(m.Zone, evidence):
		return NeededElsewhere, true
	}
	return "", false
}

// isCancelOverdue reports whether a machine holds a task of a job that was cancelled too long ago.
func (r *Round) isCancelOverdue(evidence Evidence) bool {
	return evidence.CancelledFor() > r.rules.CancelReleaseDelay
}

// neededElsewhere reports whether a machine's tasks are to continue in another zone now. Urgent tasks always are, since
// capacity is freed for them; low-priority tasks only if they fit into the free resources that earlier decisions of
// this round have not used.
func (r *Round) neededElsewhere(zone int32, evidence Evidence) bool {
	urgent, low := evidence.MovableTasks()
	if urgent || low.CPUs == 0 && low.GPUs == 0 {
		return urgent
	}
	free := r.freeOutside[zone]
	if free == nil {
		outside := evidence.FreeOutsideZone()
		free = &outside
		r.freeOutside[zone] = free
	}
	if low.CPUs > free.CPUs || low.GPUs > free.GPUs {
		return false
	}
	free.CPUs -= low.CPUs
	free.GPUs -= low.GPUs
	return true
}
