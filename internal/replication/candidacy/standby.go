// Package standby decides whether a controller may stand for election now. It is pure: what the others say of
// themselves, whether a leader is known, and the time go in; whether to stand, or when to ask again, comes out.
//
// A process that has just ended is back within a fraction of a second, knows at once that its own lead is over,
// and would be the first to take it again: cold, while others run on that follow the log. So a fresh process
// stands back while a warm one is there, for longer each time that it has ended lately. No rule depends on it: who leads
// is decided by the key in the state service alone, and whoever stands back too long stands after all.
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
	Fresh     Time // a process is fresh for so long; twice as long for each earlier one of its node met lately
	FreshMost Time
	Lately    Time // how long an ended process is remembered by the others
	Behind    Time // a fresh process leaves the lead to a warm one for so long; longer as Fresh is
	Most      Time // but for no longer than this: somebody has to lead
	Unheard   Time // and to one that it can't hear of for so long
	Counts    Time // how long what a node said of itself counts
}

// Usual are the rules. A warm node that notices has the lead within some 0.2 s; where the others can't be heard of, that
// is waited for several times over, and no longer: they may all be gone.
var Usual = Rules{
	Fresh: 2 * time.Second, FreshMost: time.Minute, Lately: 2 * time.Minute, Behind: 1500 * time.Millisecond, Most: 6 * time.Second,
	Unheard: 800 * time.Millisecond, Counts: 1500 * time.Millisecond,
}

// Word is what a node says of itself when it is asked whether it is there.
type Word struct {
	Warm bool // it has the log to its end and reaches the state service, and is no longer fresh
	Met  int  // processes of the asker that it has met lately, the one that asks among them
}

const wordVersion = 1

// mostMet bounds how many processes are told of and remembered.
const mostMet = 16

// Append encodes a word: its version, warm, met.
func (w Word) Append(b []byte) []byte {
	return codec.Uint(codec.Bool(append(b, wordVersion), w.Warm), uint64(w.Met))
}

// ErrWord says that what another node said is not to be understood: it is of another version, or cut short.
var ErrWord = errors.New("standby: not a word of this version")

// ReadWord decodes a word.
func ReadWord(b []byte) (w Word, err error) {
	if len(b) == 0 || b[0] != wordVersion {
		return w, ErrWord
	}
	r := codec.Reader{B: b[1:]}
	w.Warm, w.Met = r.Bool(), r.Max(mostMet)
	if !r.Done() {
		return Word{}, ErrWord
	}
	return w, nil
}

// AppendAsk encodes what the asker says: its version, its node, and a number that tells this process of it from
// earlier ones.
func AppendAsk(b []byte, node string, life uint64) []byte {
	return codec.Uint(codec.String(append(b, wordVersion), node), life)
}

// ReadAsk decodes it.
func ReadAsk(b []byte) (node string, life uint64, err error) {
	if len(b) == 0 || b[0] != wordVersion {
		return "", 0, ErrWord
	}
	r := codec.Reader{B: b[1:]}
	node, life = r.String(), r.Uint()
	if !r.Done() {
		return "", 0, ErrWord
	}
	return node, life, nil
}

// other is another node, as far as it is known.
type other struct {
	heard bool
	at    Time // when
	word  Word
	lives []life // its processes, the newest last
}

type life struct {
	id uint64
	at Time // when it was first met
}

// Watch is what a node knows that decides whether it stands. The other nodes go by numbers from 0.
type Watch struct {
	rules  Rules
	began  Time
	others []other
	vacant bool
	since  Time // when there was first seen to be no leader
	saw    bool // a leader, before that
}

// New begins to watch so many other nodes.
func New(rules Rules, others int, now Time) *Watch {
	return &Watch{rules: rules, began: now, others: make([]other, others)}
}

// Heard notes what a node said of itself.
func (w *Watch) Heard(node int, word Word, now Time) {
	o := &w.others[node]
	o.heard, o.at, o.word = true, now, word
}

// Lost notes that a node is no longer reached.
func (w *Watch) Lost(node int) { w.others[node].heard = false }

// Met notes a process of another node, and tells how many of them were met lately.
func (w *Watch) Met(node int, id uint64, now Time) int {
	o := &w.others[node]
	known := false
	keep := o.lives[:0]
	for _, l := range o.lives {
		if l.id == id {
			known = true
		} else if now-l.at > w.rules.Lately {
			continue
		}
		keep = append(keep, l)
	}
	o.lives = keep
	if !known {
		if len(o.lives) == mostMet {
			o.lives = append(o.lives[:0], o.lives[1:]...)
		}
		o.lives = append(o.lives, life{id, now})
	}
	return len(o.lives)
}

// Leads notes whether a leader is known. That of an earlier process of this node, which this one ends, counts.
func (w *Watch) Leads(known bool, now Time) {
	if !known && !w.vacant {
		w.since = now
	}
	w.vacant, w.saw = !known, w.saw || known
}

// times is by how much this process stands back longer for those that ended before it.
func (w *Watch) times() Time {
	met := 1
	for i := range w.others {
		if w.others[i].heard {
			met = max(met, w.others[i].word.Met)
		}
	}
	return 1 << (min(met, 8) - 1)
}

// Fresh tells whether this process has only just begun.
func (w *Watch) Fresh(now Time) bool {
	return now-w.began < min(w.rules.FreshMost, w.rules.Fresh*w.times())
}

// May tells whether this node may stand for election; if not, again is in how long to ask anew at the latest.
func (w *Watch) May(now Time) (ok bool, again Time) {
	if !w.vacant {
		return false, w.rules.Fresh
	}
	if len(w.others) == 0 || !w.Fresh(now) {
		return true, 0
	}
	warm, unheard := false, false
	for i := range w.others {
		switch o := &w.others[i]; {
		case !o.heard || now-o.at > w.rules.Counts:
			unheard = true
		case o.word.Warm:
			warm = true
		}
	}
	wait := Time(0)
	if unheard && w.saw {
		// It may be there, and warm, and only not reached: then it has just seen what this one saw. Where there was no
		// leader to begin with, it would have stood long ago.
		wait = w.rules.Unheard
	}
	if warm {
		wait = max(wait, min(w.rules.Most, w.rules.Behind*w.times()))
	}
	if waited := now - w.since; waited < wait {
		// What the others say may change before that.
		return false, min(wait-waited, w.rules.Unheard/8)
	}
	return true, 0
}

// WarmOther tells whether another node says now that it is warm.
func (w *Watch) WarmOther(now Time) bool {
	for i := range w.others {
		if o := &w.others[i]; o.heard && now-o.at <= w.rules.Counts && o.word.Warm {
			return true
		}
	}
	return false
}
