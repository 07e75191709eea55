// Package candidacy decides whether a controller may stand for election now. It is pure: the status of the others,
// whether a leader is known, and the time go in; whether to be a candidate, or when to ask again, comes out.
//
// A process that has just ended is back within a fraction of a second, knows at once that its own leadership is over,
// and would be the first to acquire it again: cold, while others run on that follow the log. So a fresh process
// yields while there is a warm one, for longer each time that it has ended lately. No rule of safety depends on it:
// who leads is decided by the key in the key-value store alone, and a node that has yielded too long stands after
// all.
//
// Timeline measures the phases of a failover.
package candidacy

import (
	"errors"
	"time"

	"fieldhill/internal/codec"
)

// Time is monotonic time since the process began.
type Time = time.Duration

// Rules are the times for which a candidate yields.
type Rules struct {
	FreshFor           Time // a process is fresh for so long, twice as long for each earlier one of its node lately
	MaxFreshFor        Time
	RestartMemory      Time // how long an ended process is remembered by the others
	YieldToWarm        Time // a fresh process yields to a warm one for so long, longer after restarts as FreshFor is
	MaxYield           Time // but for no longer than this: somebody has to lead
	YieldToUnreachable Time // and to one that does not respond for so long
	StatusTTL          Time // how long the status of a node counts
}

// DefaultRules are the rules. A warm node that notices the vacancy leads within some 0.2 s; where the others don't
// respond, that is waited for several times over, and no longer: they may all be gone.
var DefaultRules = Rules{
	FreshFor:           2 * time.Second,
	MaxFreshFor:        time.Minute,
	RestartMemory:      2 * time.Minute,
	YieldToWarm:        1500 * time.Millisecond,
	MaxYield:           6 * time.Second,
	YieldToUnreachable: 800 * time.Millisecond,
	StatusTTL:          1500 * time.Millisecond,
}

// Status is what a node reports of itself in response to a ping.
type Status struct {
	Warm               bool // it has the log to its end and reaches the key-value store, and is no longer fresh
	RecentIncarnations int  // processes of the requester that it has seen lately, the one that asks among them
}

const statusVersion = 1

const (
	// maxDoublings bounds how often the times of a fresh process double.
	maxDoublings = 7
	// retriesPerYield is how often a node that yields asks again at least within YieldToUnreachable.
	retriesPerYield = 8
)

// maxIncarnations bounds how many processes of a node are reported and remembered.
const maxIncarnations = 16

// Append encodes a status: version, warm, incarnations.
func (s Status) Append(b []byte) []byte {
	return codec.Uint(codec.Bool(append(b, statusVersion), s.Warm), uint64(s.RecentIncarnations))
}

// ErrMalformed says that a message of another node can't be decoded: it is of another version, or truncated.
var ErrMalformed = errors.New("candidacy: not a message of this version")

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

// AppendQuery encodes the body of a ping: version, the requester's node, and a number that tells this process of it
// from earlier ones.
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

// peerState is another node, as far as it is known.
type peerState struct {
	reachable    bool
	status       Status
	statusAt     Time          // when it came
	incarnations []incarnation // its processes, the newest last
}

// incarnation is one process of a node.
type incarnation struct {
	id        uint64
	firstSeen Time
}

// Eligibility is what a node knows that decides whether it may be a candidate. The other nodes go by numbers from 0.
type Eligibility struct {
	rules       Rules
	startedAt   Time
	peers       []peerState
	vacant      bool // there is no leader
	vacantSince Time // when that was first seen
	sawLeader   bool // there was one before that
}

// New makes the eligibility of a node beside so many others.
func New(rules Rules, peers int, now Time) *Eligibility {
	return &Eligibility{rules: rules, startedAt: now, peers: make([]peerState, peers)}
}

// RecordStatus notes the status of a node.
func (e *Eligibility) RecordStatus(node int, status Status, now Time) {
	peer := &e.peers[node]
	peer.reachable, peer.statusAt, peer.status = true, now, status
}

// RecordUnreachable notes that a node is no longer reached.
func (e *Eligibility) RecordUnreachable(node int) { e.peers[node].reachable = false }

// RecordIncarnation notes a process of another node, and tells how many of them were seen lately.
func (e *Eligibility) RecordIncarnation(node int, id uint64, now Time) int {
	peer := &e.peers[node]
	known := false
	recent := peer.incarnations[:0]
	for _, l := range peer.incarnations {
		if l.id == id {
			known = true
		} else if now-l.firstSeen > e.rules.RestartMemory {
			continue
		}
		recent = append(recent, l)
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

// RecordLeader notes whether a leader is known. An earlier process of this node, whose leadership this one ends,
// counts.
func (e *Eligibility) RecordLeader(known bool, now Time) {
	if !known && !e.vacant {
		e.vacantSince = now
	}
	e.vacant, e.sawLeader = !known, e.sawLeader || known
}

// restartFactor is by how much longer this process yields for those of its node that ended before it.
func (e *Eligibility) restartFactor() Time {
	incarnations := 1
	for i := range e.peers {
		if e.peers[i].reachable {
			incarnations = max(incarnations, e.peers[i].status.RecentIncarnations)
		}
	}
	return 1 << (min(incarnations, maxDoublings+1) - 1)
}

// IsFresh tells whether this process has only just begun.
func (e *Eligibility) IsFresh(now Time) bool {
	return now-e.startedAt < min(e.rules.MaxFreshFor, e.rules.FreshFor*e.restartFactor())
}

// MayStand tells whether this node may be a candidate now; if not, retryAfter is in how long to ask again at the
// latest.
func (e *Eligibility) MayStand(now Time) (ok bool, retryAfter Time) {
	if !e.vacant {
		return false, e.rules.FreshFor
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
		// It may run, and be warm, and only not be reached: then it has just seen what this one saw. Where there was
		// no leader to begin with, it would have been a candidate long ago.
		wait = e.rules.YieldToUnreachable
	}
	if warm {
		wait = max(wait, min(e.rules.MaxYield, e.rules.YieldToWarm*e.restartFactor()))
	}
	if waited := now - e.vacantSince; waited < wait {
		// The status of the others may change before that.
		return false, min(wait-waited, e.rules.YieldToUnreachable/retriesPerYield)
	}
	return true, 0
}

// VacantSince is when there was first seen to be no leader, if there is none.
func (e *Eligibility) VacantSince() (Time, bool) { return e.vacantSince, e.vacant }

// HasWarmPeer tells whether another node is known to be warm now.
func (e *Eligibility) HasWarmPeer(now Time) bool {
	for i := range e.peers {
		if peer := &e.peers[i]; peer.reachable && now-peer.statusAt <= e.rules.StatusTTL && peer.status.Warm {
			return true
		}
	}
	return false
}
