// Package candidacy decides whether a controller may stand for election now. It does no I/O: the inputs are the status
// of the other controllers, whether a leader is known, and the time; the output is whether to stand, or when to ask
// again.
//
// A process that restarts after a crash is back within a fraction of a second, knows at once that its own leadership is
// over, and would be the first to acquire it again, with nothing loaded, while others run that follow the log. So a
// fresh process yields while there is a warm one, for longer after each recent restart. Safety does not depend on these
// rules: only the key in the key-value store decides who leads, and a node that has yielded for its maximum time
// stands.
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

// Rules are the periods for which a candidate yields.
type Rules struct {
	FreshPeriod        Time // how long a process is fresh; doubled for each recent restart of its node
	MaxFreshPeriod     Time // upper bound of that
	RestartMemory      Time // how long the other nodes remember an earlier process of a node
	YieldToWarm        Time // how long a fresh process yields to a warm one; doubled like FreshPeriod
	MaxYield           Time // upper bound of that, since some node has to lead
	YieldToUnreachable Time // how long a fresh process yields to one that does not respond
	StatusTTL          Time // how long a node's status is valid
}

// DefaultRules are the rules in use. A warm node that notices the vacancy leads within about 0.2 s. YieldToUnreachable
// is several times that, and no longer, since nodes that do not respond may all be down.
var DefaultRules = Rules{
	FreshPeriod:        2 * time.Second,
	MaxFreshPeriod:     time.Minute,
	RestartMemory:      2 * time.Minute,
	YieldToWarm:        1500 * time.Millisecond,
	MaxYield:           6 * time.Second,
	YieldToUnreachable: 800 * time.Millisecond,
	StatusTTL:          1500 * time.Millisecond,
}

// Status is what a node reports about itself in response to a ping.
type Status struct {
	Warm               bool // it has read the log to its end, reaches the key-value store and is not fresh
	RecentIncarnations int  // recent processes of the requester that it has seen, the requesting one included
}

const statusVersion = 1

const (
	// maxDoublings bounds how often the periods of a fresh process double.
	maxDoublings = 7
	// retriesPerYield is the minimum number of times that a yielding node asks again within YieldToUnreachable.
	retriesPerYield = 8
)

// maxIncarnations bounds the number of processes of a node that are remembered and reported.
const maxIncarnations = 16

// Append appends the encoded status: version, Warm, RecentIncarnations.
func (s Status) Append(b []byte) []byte {
	return codec.Uint(codec.Bool(append(b, statusVersion), s.Warm), uint64(s.RecentIncarnations))
}

// ErrMalformed means that a message of another node is malformed or has an unsupported version.
var ErrMalformed = errors.New("candidacy: malformed message or unsupported version")

// ReadStatus decodes a status. Its error is ErrMalformed.
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

// AppendQuery appends the encoded body of a ping: version, the requester's node, and a number that distinguishes the
// requesting process from earlier ones of that node.
func AppendQuery(b []byte, node string, incarnation uint64) []byte {
	return codec.Uint(codec.String(append(b, statusVersion), node), incarnation)
}

// ReadQuery decodes the body of a ping. Its error is ErrMalformed.
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

// peerState is what is known of another node.
type peerState struct {
	reachable    bool
	status       Status
	statusAt     Time          // when it was received
	incarnations []incarnation // its recent processes, newest last
}

// incarnation is one process of a node.
type incarnation struct {
	id        uint64
	firstSeen Time
}

// Eligibility holds what decides whether a node may stand for election. The other nodes are identified by indices from
// 0.
type Eligibility struct {
	rules           Rules
	startedAt       Time
	peers           []peerState
	leaderless      bool // no leader is known
	leaderlessSince Time // when that was first noted
	sawLeader       bool // a leader was known at some time
}

// New returns the eligibility of a node that has the given number of peers.
func New(rules Rules, peers int, now Time) *Eligibility {
	return &Eligibility{rules: rules, startedAt: now, peers: make([]peerState, peers)}
}

// RecordStatus records the status received from a node.
func (e *Eligibility) RecordStatus(node int, status Status, now Time) {
	peer := &e.peers[node]
	peer.reachable, peer.statusAt, peer.status = true, now, status
}

// RecordUnreachable records that a node can no longer be reached.
func (e *Eligibility) RecordUnreachable(node int) { e.peers[node].reachable = false }

// RecordIncarnation records a process of another node and returns how many of that node were seen recently.
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

// RecordLeader records whether a leader is known. A leadership of an earlier process of this node, which this process
// ends, counts as a known leader.
func (e *Eligibility) RecordLeader(known bool, now Time) {
	if !known && !e.leaderless {
		e.leaderlessSince = now
	}
	e.leaderless, e.sawLeader = !known, e.sawLeader || known
}

// restartFactor is the factor by which the periods of this process grow for recent earlier processes of its node.
func (e *Eligibility) restartFactor() Time {
	incarnations := 1
	for i := range e.peers {
		if e.peers[i].reachable {
			incarnations = max(incarnations, e.peers[i].status.RecentIncarnations)
		}
	}
	return 1 << (min(incarnations, maxDoublings+1) - 1)
}

// IsFresh tells whether this process started only recently.
func (e *Eligibility) IsFresh(now Time) bool {
	return now-e.startedAt < min(e.rules.MaxFreshPeriod, e.rules.FreshPeriod*e.restartFactor())
}

// MayBeCandidate tells whether this node may stand for election now. If not, retryAfter is the longest time until it
// must ask again.
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
		// An unreachable node may be running and warm, and has then just seen the same vacancy. Without an earlier
		// leader, it would have stood long ago.
		wait = e.rules.YieldToUnreachable
	}
	if warm {
		wait = max(wait, min(e.rules.MaxYield, e.rules.YieldToWarm*e.restartFactor()))
	}
	if waited := now - e.leaderlessSince; waited < wait {
		// Ask again sooner than the end of the wait, since the status of the others may change.
		return false, min(wait-waited, e.rules.YieldToUnreachable/retriesPerYield)
	}
	return true, 0
}

// LeaderlessSince returns when the absence of a leader was first noted, if there is none.
func (e *Eligibility) LeaderlessSince() (Time, bool) { return e.leaderlessSince, e.leaderless }

// HasWarmPeer tells whether another node currently reports that it is warm.
func (e *Eligibility) HasWarmPeer(now Time) bool {
	for i := range e.peers {
		if peer := &e.peers[i]; peer.reachable && now-peer.statusAt <= e.rules.StatusTTL && peer.status.Warm {
			return true
		}
	}
	return false
}
