// Package standby decides whether a controller may stand for election now. It is pure: what the others say of
// themselves, whether a leader is known, and the time go in; whether to stand, or when to ask again, comes out.
//
// A process that has just ended is back within a fraction of a second, knows at once that its own lead is over, and
// would be the first to take it again: cold, while others run on that follow the log. So a fresh process stands back
// while a warm one is there, for longer each time that it has ended lately. No rule depends on it: who leads is
// decided by the key in the state service alone, and whoever stands back too long stands after all.
package candidacy

import (
	"errors"
	"time"

	"fieldhill/internal/codec"
)

// Time is steady time since the process began.
type Time = time.Duration

// Rules are the times that a node keeps when it stands back.
type Rules struct {
	FreshFor           Time // a process is fresh for so long; twice as long for each earlier one of its node met lately
	MaxFreshFor        Time
	RestartMemory      Time // how long an ended process is remembered by the others
	YieldToWarm        Time // a fresh process leaves the lead to a warm one for so long; longer as Fresh is
	MaxYield           Time // but for no longer than this: somebody has to lead
	YieldToUnreachable Time // and to one that it can't hear of for so long
	StatusTTL          Time // how long what a node said of itself counts
}

// DefaultRules are the rules. A warm node that notices has the lead within some 0.2 s; where the others can't be
// heard of, that is waited for several times over, and no longer: they may all be gone.
var DefaultRules = Rules{
	FreshFor:           2 * time.Second,
	MaxFreshFor:        time.Minute,
	RestartMemory:      2 * time.Minute,
	YieldToWarm:        1500 * time.Millisecond,
	MaxYield:           6 * time.Second,
	YieldToUnreachable: 800 * time.Millisecond,
	StatusTTL:          1500 * time.Millisecond,
}

// Status is what a node says of itself when it is asked whether it is there.
type Status struct {
	Warm               bool // it has the log to its end and reaches the state service, and is no longer fresh
	RecentIncarnations int  // processes of the asker that it has met lately, the one that asks among them
}

const statusVersion = 1

// maxIncarnations bounds how many processes are told of and remembered.
const maxIncarnations = 16

// Append encodes a word: its version, warm, met.
func (s Status) Append(b []byte) []byte {
	return codec.Uint(codec.Bool(append(b, statusVersion), s.Warm), uint64(s.RecentIncarnations))
}

// ErrMalformed says that what another node said is not to be understood: it is of another version, or cut short.
var ErrMalformed = errors.New("standby: not a word of this version")

// ReadStatus decodes a word.
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

// AppendQuery encodes what the asker says: its version, its node, and a number that tells this process of it from
// earlier ones.
func AppendQuery(b []byte, node string, incarnation uint64) []byte {
	return codec.Uint(codec.String(append(b, statusVersion), node), incarnation)
}

// ReadQuery decodes it.
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
	statusAt     Time // when
	status       Status
	incarnations []incarnation // its processes, the newest last
}

type incarnation struct {
	id        uint64
	firstSeen Time // when it was first met
}

// Eligibility is what a node knows that decides whether it stands. The other nodes go by numbers from 0.
type Eligibility struct {
	rules       Rules
	startedAt   Time
	peers       []peerState
	vacant      bool
	vacantSince Time // when there was first seen to be no leader
	sawLeader   bool // a leader, before that
}

// New begins to watch so many other nodes.
func New(rules Rules, peers int, now Time) *Eligibility {
	return &Eligibility{rules: rules, startedAt: now, peers: make([]peerState, peers)}
}

// RecordStatus notes what a node said of itself.
func (e *Eligibility) RecordStatus(node int, status Status, now Time) {
	peer := &e.peers[node]
	peer.reachable, peer.statusAt, peer.status = true, now, status
}

// RecordUnreachable notes that a node is no longer reached.
func (e *Eligibility) RecordUnreachable(node int) { e.peers[node].reachable = false }

// RecordIncarnation notes a process of another node, and tells how many of them were met lately.
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

// RecordLeader notes whether a leader is known. That of an earlier process of this node, which this one ends, counts.
func (e *Eligibility) RecordLeader(known bool, now Time) {
	if !known && !e.vacant {
		e.vacantSince = now
	}
	e.vacant, e.sawLeader = !known, e.sawLeader || known
}

// restartFactor is by how much this process stands back longer for those that ended before it.
func (e *Eligibility) restartFactor() Time {
	incarnations := 1
	for i := range e.peers {
		if e.peers[i].reachable {
			incarnations = max(incarnations, e.peers[i].status.RecentIncarnations)
		}
	}
	return 1 << (min(incarnations, 8) - 1)
}

// IsFresh tells whether this process has only just begun.
func (e *Eligibility) IsFresh(now Time) bool {
	return now-e.startedAt < min(e.rules.MaxFreshFor, e.rules.FreshFor*e.restartFactor())
}

// MayStand tells whether this node may stand for election; if not, again is in how long to ask anew at the latest.
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
		// It may be there, and warm, and only not reached: then it has just seen what this one saw. Where there was no
		// leader to begin with, it would have stood long ago.
		wait = e.rules.YieldToUnreachable
	}
	if warm {
		wait = max(wait, min(e.rules.MaxYield, e.rules.YieldToWarm*e.restartFactor()))
	}
	if waited := now - e.vacantSince; waited < wait {
		// What the others say may change before that.
		return false, min(wait-waited, e.rules.YieldToUnreachable/8)
	}
	return true, 0
}

// HasWarmPeer tells whether another node says now that it is warm.
func (e *Eligibility) HasWarmPeer(now Time) bool {
	for i := range e.peers {
		if peer := &e.peers[i]; peer.reachable && now-peer.statusAt <= e.rules.StatusTTL && peer.status.Warm {
			return true
		}
	}
	return false
}
