// Package candidacy decides whether a controller may stand for election now. It does no I/O: the inputs are the status
// of the other controllers, whether a leader is known, and the time; the output is whether to stand, or when to ask
// again.
//
// Without these rules, a leader that crashes would often win the next election: its new process starts within a
// fraction of a second, and it knows at once that its earlier leadership is over, which the other nodes have yet to
// notice. But the new process has to load the log first, whereas a node that follows the log can take over at once. So
// a process that started recently (a fresh one) yields to one that has read the log to its end (a warm one), for longer
// after each recent restart. Safety does not depend on these rules: only the key in the key-value store decides who
// leads. A node that has yielded for its maximum time stands in any case.
//
// Timeline measures the phases of a failover.
package candidacy

import (
	"errors"
	"time"

	"fieldhill/internal/codec"
)

// Time is monotonic time since the process started.
type Time = time.Duration

// Rules are the periods that determine whether a candidate yields, and for how long.
type Rules struct {
	FreshPeriod        Time // how long a process is fresh; doubled for each recent restart of its node
	MaxFreshPeriod     Time // upper bound of FreshPeriod after doubling
	RestartMemory      Time // how long the other nodes count a process of a node as recent, from when they first see it
	YieldToWarm        Time // how long a fresh process yields to a warm one; doubled like FreshPeriod
	MaxYield           Time // upper bound of YieldToWarm after doubling, since some node has to lead
	YieldToUnreachable Time // how long a fresh process yields to a node that does not respond
	StatusTTL          Time // how long a node's status is valid after it was received
}

// DefaultRules are the rules of all controllers. A warm node leads within about 0.2 s of noticing that there is no
// leader. YieldToUnreachable is several times as long, so that a warm node that is running but unreachable can take
// over first. It is not longer than that, since all nodes that do not respond may be down.
var DefaultRules = Rules{
	FreshPeriod:        2 * time.Second,
	MaxFreshPeriod:     time.Minute,
	RestartMemory:      2 * time.Minute,
	YieldToWarm:        1500 * time.Millisecond,
	MaxYield:           6 * time.Second,
	YieldToUnreachable: 800 * time.Millisecond,
	StatusTTL:          1500 * time.Millisecond,
}

// Status is the response of a node to a ping: the node's own state, and the number of recent processes of the pinging
// node.
type Status struct {
	Warm               bool // the node has read the log to its end, reaches the key-value store and is not fresh
	RecentIncarnations int  // recent processes of the pinging node that the responder has seen, this one included
}

// statusVersion is the format version of statuses and queries.
const statusVersion = 1

const (
	// maxDoublings is the maximum number of times that the periods of a fresh process are doubled.
	maxDoublings = 7
	// retriesPerYield is the minimum number of times that a yielding node calls MayBeCandidate within
	// YieldToUnreachable.
	retriesPerYield = 8
)

// maxIncarnations is the maximum number of recent processes of a node that another node remembers and reports.
const maxIncarnations = 16

// Append appends the encoded status to b: version, Warm, RecentIncarnations.
func (s Status) Append(b []byte) []byte {
	return codec.Uint(codec.Bool(append(b, statusVersion), s.Warm), uint64(s.RecentIncarnations))
}

// ErrMalformed means that a status or query of another node is malformed or has an unsupported version.
var ErrMalformed = errors.New("candidacy: malformed message or unsupported version")

// ReadStatus decodes a status. The error, if any, is ErrMalformed.
func ReadStatus(b []byte) (status Status, err error) {
	if len(b) == 0 || b[0] != statusVersion {
		return status, ErrMalformed
	}
	r := codec.Reader{Data: b[1:]}
	status.Warm, status.RecentIncarnations = r.Bool(), r.Max(maxIncarnations)
	if !r.Done() {
		return Status{}, ErrMalformed
	}
	return status, nil
}

// AppendQuery appends the encoded body of a ping to b: version, the node that sends the ping, and a number that
// distinguishes the sending process from earlier ones of that node.
func AppendQuery(b []byte, node string, incarnation uint64) []byte {
	return codec.Uint(codec.String(append(b, statusVersion), node), incarnation)
}

// ReadQuery decodes the body of a ping. The error, if any, is ErrMalformed.
func ReadQuery(b []byte) (node string, incarnation uint64, err error) {
	if len(b) == 0 || b[0] != statusVersion {
		return "", 0, ErrMalformed
	}
	r := codec.Reader{Data: b[1:]}
	node, incarnation = r.String(), r.Uint()
	if !r.Done() {
		return "", 0, ErrMalformed
	}
	return node, incarnation, nil
}

// peerState is what this node knows about one of its peers.
type peerState struct {
	reachable    bool
	status       Status
	statusAt     Time          // when the status was received
	incarnations []incarnation // recent processes of the peer, newest last
}

// incarnation identifies a process of a peer, and records when this node first received a ping from that process.
type incarnation struct {
	id        uint64
	firstSeen Time
}

// Eligibility decides whether this node may stand for election, based on what was recorded about the leader and the
// peers (the other nodes). Peers are identified by indices from 0.
type Eligibility struct {
	rules           Rules
	startedAt       Time
	peers           []peerState
	leaderless      bool // no leader is known
	leaderlessSince Time // when leaderless last became true
	sawLeader       bool // a leader was known at least once since this process started
}

// New returns the eligibility of a node that has the given number of peers and whose process starts now.
func New(rules Rules, peers int, now Time) *Eligibility {
	return &Eligibility{rules: rules, startedAt: now, peers: make([]peerState, peers)}
}

// RecordStatus records the status received from a peer.
func (e *Eligibility) RecordStatus(node int, status Status, now Time) {
	peer := &e.peers[node]
	peer.reachable, peer.statusAt, peer.status = true, now, status
}

// RecordUnreachable records that a peer can no longer be reached.
func (e *Eligibility) RecordUnreachable(node int) { e.peers[node].reachable = false }

// RecordIncarnation records that the process with the given id sent a ping from a peer. It returns the number of recent
// processes of that peer, this one included.
func (e *Eligibility) RecordIncarnation(node int, id uint64, now Time) int {
	peer := &e.peers[node]
	known := false
	recent := peer.incarnations[:0]
	for _, inc := range peer.incarnations {
		if inc.id == id {
			known = true
		} else if now-inc.firstSeen > e.rules.RestartMemory {
			continue
		}
		recent = append(recent, inc)
	}
	peer.incarnations = recent
	if !known {
		if len(peer.incarnations) == maxIncarnations {
			peer.incarnations = append(peer.incarnations[:0], peer.incarnations[1:]...)
		}
		peer.incarnations = append(peer.incarnations, incarnation{id, now})
	}
	return len(peer.incarnations)
}

// RecordLeader records whether a leader is known. For a leader that is an earlier process of this node, known is true
// until this process has revoked that leader's lease.
func (e *Eligibility) RecordLeader(known bool, now Time) {
	if !known && !e.leaderless {
		e.leaderlessSince = now
	}
	e.leaderless, e.sawLeader = !known, e.sawLeader || known
}

// restartFactor returns the factor by which the periods of this process are multiplied. The factor is doubled, up to
// maxDoublings times, for each recent earlier process of this node. Their number is taken from the reachable peer that
// has reported the most.
func (e *Eligibility) restartFactor() Time {
	incarnations := 1
	for i := range e.peers {
		if e.peers[i].reachable {
			incarnations = max(incarnations, e.peers[i].status.RecentIncarnations)
		}
	}
	return 1 << (min(incarnations, maxDoublings+1) - 1)
}

// IsFresh reports whether this process started less than FreshPeriod ago, where FreshPeriod is multiplied by
// restartFactor, up to MaxFreshPeriod.
func (e *Eligibility) IsFresh(now Time) bool {
	return now-e.startedAt < min(e.rules.MaxFreshPeriod, e.rules.FreshPeriod*e.restartFactor())
}

// MayBeCandidate reports whether this node may stand for election now. If not, the caller must call it again after
// retryAfter, or earlier if a peer's status or the leader changes.
func (e *Eligibility) MayBeCandidate(now Time) (ok bool, retryAfter Time) {
	if !e.leaderless {
		return false, e.rules.FreshPeriod
	}
	if len(e.peers) == 0 || !e.IsFresh(now) {
		return true, 0
	}
	warm, unreachable := false, false
	for i := range e.peers {
		switch peer := &e.peers[i]; {
		case !peer.reachable || now-peer.statusAt > e.rules.StatusTTL:
			unreachable = true
		case peer.status.Warm:
			warm = true
		}
	}
	wait := Time(0)
	if unreachable && e.sawLeader {
		// An unreachable node may be running and warm, and may have noticed the loss of the leader only now. If this
		// process has never known a leader, such a node has already had the time to stand.
		wait = e.rules.YieldToUnreachable
	}
	if warm {
		wait = max(wait, min(e.rules.MaxYield, e.rules.YieldToWarm*e.restartFactor()))
	}
	if waited := now - e.leaderlessSince; waited < wait {
		// The caller asks again before the wait ends, since the status of the peers may change.
		return false, min(wait-waited, e.rules.YieldToUnreachable/retriesPerYield)
	}
	return true, 0
}

// LeaderlessSince returns the start of the current period without a known leader. The second result is false if a
// leader is known.
func (e *Eligibility) LeaderlessSince() (Time, bool) { return e.leaderlessSince, e.leaderless }

// HasWarmPeer reports whether a peer is reachable and its latest status, if still valid, says that it is warm.
func (e *Eligibility) HasWarmPeer(now Time) bool {
	for i := range e.peers {
		if peer := &e.peers[i]; peer.reachable && now-peer.statusAt <= e.rules.StatusTTL && peer.status.Warm {
			return true
		}
	}
	return false
}
