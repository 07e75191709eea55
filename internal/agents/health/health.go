// Package health decides what a leader does about machines whose agents are silent, partitioned or quarantined, and
// whether it is the leader itself that is isolated. It is pure: observations go in, actions come out; the caller
// gathers the observations, and carries out the actions for one machine before it has the next one judged.
//
// Many machines of a zone that fall silent at once look like a partition, in which they go on working; one or two look
// dead or hung. So a round of decisions counts silent machines by zone first (Census) and judges each machine (Round)
// by that count. What is remembered from round to round is the Detector, one for each term of leadership.
//
// That a machine's lease has expired does not prove its tasks gone: an agent that hangs ends them only when it wakes,
// and they count until then. The cloud's answer to a release proves it, hung or not, and the cloud belongs to no zone.
// Before the lease has expired a machine of a partitioned zone is left alone, since work there goes on; afterwards it
// is released if it holds urgent work that may run elsewhere, or low-priority work that finds free room there. Of the
// others nothing would be gained, and they are there when the partition ends: when all of a zone were released, half of
// them for low-priority work that then waited elsewhere, a third of the fleet had to boot anew. Tasks of a cancelled
// job are ended by the agent in time, unless it hangs: such a machine is released before that time is over, also if its
// zone is partitioned from the leader alone, unless the controller there has just heard that no such task is left.
// While the cloud is unavailable nothing is proven, and nothing is released for these reasons: the partition may end
// first.
package health

import (
	"time"

	"fieldhill/internal/config"
)

// Time is steady time since the process began.
type Time = time.Duration

// Rules are the bounds by which machines are judged. They follow from the settings and don't change.
type Rules struct {
	HeartbeatS     float64 // seconds between two heartbeats of an agent
	ProbeAfter     Time    // for how long a machine may be silent before it is probed
	SilentAfter    Time    // for how long it may be silent, also when probed, before it counts as lost
	CancelPatience Time    // for how long tasks of a cancelled job may remain on a machine that is not heard of
	Zones          int     // how many zones the settings name
}

// heartbeatMissed is the age of the last heartbeat from which the next one counts as missed.
func (r *Rules) heartbeatMissed() Time { return config.Seconds(r.HeartbeatS * 1.25) }

const (
	// firstContactGrace is what an agent gets on top of SilentAfter before its first heartbeat in a term, as it may
	// still be looking for the leader. One with tasks and a known address is probed as soon as a leader is elected,
	// and is silent then only if it hangs or is gone.
	firstContactGrace = 6 * time.Second
	// latenessInterval paces what reads all runs of all machines, and the raising of tokens in a partitioned zone.
	latenessInterval = 5 * time.Second
	// minInboundPartitioned is from how many machines of a zone that don't receive answers the others are tested, too.
	minInboundPartitioned = 2
	// minSilentInZone is from how many silent machines on a zone may count as partitioned.
	minSilentInZone = 3
	// partitionAftermath is for how long after its last sign a zone counts as partitioned: agents need some time to
	// find the leader again.
	partitionAftermath = 15 * time.Second
	// partitionPatience is after how long a silent machine is released although its zone looks partitioned.
	partitionPatience = 100 * time.Second
)

// Machine is what the leader has observed of one machine when it is judged.
type Machine struct {
	Zone               int32
	Reported           bool // a heartbeat of it was received in this term
	Occupied           bool // tasks are placed on it
	HasAddr            bool // the address of its agent is known
	Suspect            bool // the log forbids all but the leader to renew its lease
	Releasing          bool // its release is decided and in the log
	Quarantined        bool
	InboundPartitioned bool // answers to it are known not to arrive
	SinceHeartbeat     Time // age of the last heartbeat
	SilentFor          Time // for how long nothing was received of it, or it is known not to receive answers
}

// wasUp tells whether a machine has ever come up. A suspect one has, too, though a new leader finds no task on it: a
// whole zone was once released as never having come up, just as its partition ended.
func (m *Machine) wasUp() bool { return m.Reported || m.Occupied || m.Suspect }

// isLost tells whether a machine that came up has been silent for longer than it may be.
func (m *Machine) isLost(rules *Rules) bool {
	limit := rules.SilentAfter
	if !m.Reported && (!m.Occupied || !m.HasAddr) {
		limit += firstContactGrace
	}
	return m.wasUp() && m.SilentFor > limit
}

// Room is what tasks need, or what machines have free.
type Room struct{ CPUs, GPUs float64 }

// Evidence answers what is costly to find out about the machine that is being judged, and so is asked for only when a
// decision turns on it. Nothing is changed by asking.
type Evidence interface {
	// CancelledFor is for how long a job with a task on the machine has been cancelled; of several the longest.
	CancelledFor() Time
	// Cleared tells whether a controller that does not reach the leader has just heard from the machine, and no task
	// of a cancelled job was left there.
	Cleared() bool
	// LeaseExpired tells whether the lease of the machine, which is suspect, has surely expired.
	LeaseExpired() bool
	// MovableWork tells whether urgent tasks on the machine may run in another zone, and what the others that may need.
	MovableWork() (urgent bool, low Room)
	// FreeOutsideZone is the room for low-priority work outside the machine's zone. It is asked for once a round and
	// zone.
	FreeOutsideZone() Room
	// ZoneMayBeAlive tells whether work in the machine's zone may go on under a controller there.
	ZoneMayBeAlive() bool
}

// ActionKind is what is to be done about a machine.
type ActionKind uint8

// The kinds of action.
const (
	RaiseToken      ActionKind = iota + 1 // raise its fencing token: the next heartbeat shows whether answers arrive
	Probe                                 // ask it for its status
	MarkPartitioned                       // nothing is placed on it until it is heard of again
	MarkSuspect                           // let its lease expire
	Release                               // release it to the cloud, for a reason
)

// ReleaseReason is why a machine is released, as logged.
type ReleaseReason string

// The reasons for a release.
const (
	HeartbeatsMissing ReleaseReason = "heartbeats missing"
	Quarantined       ReleaseReason = "quarantined"
	BootTimedOut      ReleaseReason = "boot timed out"
	CancelOverdue     ReleaseReason = "zone partitioned, cancelled tasks overdue"
	NeededElsewhere   ReleaseReason = "zone partitioned, lease expired, tasks needed elsewhere"
)

// Action is one thing to be done about a machine. Reason is set for a Release.
type Action struct {
	Kind   ActionKind
	Reason ReleaseReason
}

// Detector is what a leader remembers of machines' health from round to round of one term. The zero value is ready.
// It belongs to one goroutine.
type Detector struct {
	nextLatenessCheck Time           // lateness is checked in the first round after it
	partitionedUntil  map[int32]Time // zones that are partitioned, or were until recently
	missingSince      Time           // since when hardly any heartbeat arrives; 0: heartbeats arrive
}

// Round is one round of decisions. It holds what was counted before the first, and the room that earlier ones gave
// away.
type Round struct {
	rules             *Rules
	detector          *Detector
	census            *Census
	now               Time
	cloudUnavailable  bool
	checksLateness    bool
	queriesPartitions bool
	roomOutside       map[int32]*Room // by zone: what is free in the others and not given away in this round
}

// Begin begins a round with the count of all machines. While the cloud does not answer, nothing is released that a
// partition may give back.
func (d *Detector) Begin(rules *Rules, census *Census, now Time, cloudUnavailable bool) *Round {
	r := &Round{
		rules: rules, detector: d, census: census, now: now, checksLateness: now > d.nextLatenessCheck,
		roomOutside: map[int32]*Room{}, cloudUnavailable: cloudUnavailable,
	}
	if r.checksLateness {
		d.nextLatenessCheck = now + latenessInterval
	}
	if d.partitionedUntil == nil {
		d.partitionedUntil = map[int32]Time{}
	}
	for zone, count := range census.zones {
		if count.silent >= minSilentInZone && count.silent*2 > count.up {
			d.partitionedUntil[zone] = now + partitionAftermath
		}
	}
	return r
}

// ChecksLateness tells whether the tasks of machines are compared with their peers' in this round.
func (r *Round) ChecksLateness() bool { return r.checksLateness }

// QueriesPartitions tells whether a machine was judged for which it matters what its zone's controllers still reach.
func (r *Round) QueriesPartitions() bool { return r.queriesPartitions }

// ReleasesUnbooted tells whether a machine of a zone that did not come up in time is released: in a partitioned zone it
// may be up and not be heard of.
func (r *Round) ReleasesUnbooted(zone int32) bool { return !r.isPartitioned(zone) }

func (r *Round) isPartitioned(zone int32) bool { return r.now < r.detector.partitionedUntil[zone] }

// Judge is what is to be done about a machine, in this order, before the next one is observed.
func (r *Round) Judge(m *Machine, evidence Evidence) []Action {
	var actions []Action
	if r.checksLateness && m.Reported && r.census.inboundPartitioned(m.Zone) >= minInboundPartitioned {
		actions = append(actions, Action{Kind: RaiseToken}) // the others of its zone receive as little, most likely
	}
	if m.Releasing {
		return actions
	}
	if m.wasUp() && m.SilentFor > r.rules.ProbeAfter {
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
	case !r.isPartitioned(m.Zone) || m.SilentFor >= partitionPatience:
		return append(actions, Action{Release, HeartbeatsMissing})
	}
	// Idle ones, too: what was placed on them would wait for the end of the partition.
	actions = append(actions, Action{Kind: MarkPartitioned}, Action{Kind: RaiseToken})
	if !m.Suspect && m.Occupied {
		r.queriesPartitions = true
		if !evidence.ZoneMayBeAlive() {
			actions = append(actions, Action{Kind: MarkSuspect})
		}
	}
	return actions
}

// releaseInPartition tells whether a machine that is suspect or lost is released for what it holds, and why. The
// package comment has the reasons.
func (r *Round) releaseInPartition(m *Machine, lost bool, evidence Evidence) (reason ReleaseReason, due bool) {
	switch {
	case !m.Occupied || r.cloudUnavailable:
		return "", false
	case (lost || m.Suspect) && evidence.CancelledFor() > r.rules.CancelPatience && !evidence.Cleared():
		return CancelOverdue, true
	case m.Suspect && evidence.LeaseExpired() && r.neededElsewhere(m.Zone, evidence):
		return NeededElsewhere, true
	}
	return "", false
}

// neededElsewhere tells whether what is on a machine is to go on in another zone now: urgent work at once, as room is
// made for it, and the rest as far as there is room that was not given to that of other machines.
func (r *Round) neededElsewhere(zone int32, evidence Evidence) bool {
	urgent, low := evidence.MovableWork()
	if urgent || low.CPUs == 0 && low.GPUs == 0 {
		return urgent
	}
	free := r.roomOutside[zone]
	if free == nil {
		outside := evidence.FreeOutsideZone()
		free = &outside
		r.roomOutside[zone] = free
	}
	if low.CPUs > free.CPUs || low.GPUs > free.GPUs {
		return false
	}
	free.CPUs -= low.CPUs
	free.GPUs -= low.GPUs
	return true
}
