// Package duty decides which node does what only one may do at a time, besides leading: dealing with the
// cloud, cleaning up in the state service. It is pure: what was seen of the duty's key, answers and the time
// go in; what to ask of the state service comes out.
//
// A duty is held by a key in the state service that hangs on a lease of its own. The key's version, which is
// the number of the change that made it, is the duty's term: it only grows, and every write of the duty
// requires it. The lease can't end earlier than its time after the last renewal that was answered was sent,
// so a holder trusts its own clock until that long after sending, less the drift of two clocks.
//
// A holder renews only while the duty progresses. Past its patience it lets go and stands back for a growing
// while, so that a node that reaches the other side better takes it. How many holders in a row got nowhere
// stands in a key beside it (Stuck): when all did, the other side is away for everybody, and patience grows.
package singleton

import (
	"cmp"
	"hash/fnv"
	"slices"
	"time"
)

// Time is steady time since the process began.
type Time = time.Duration

// Name is a duty.
type Name uint8

// The duties. Placing is the leader's, whose lease is package lead's.
const (
	Rent  Name = iota // types, list, rentals and returns of the cloud
	Clean             // snapshots, compaction, records that the log has
	Names             // how many there are
)

// String is the duty's name in keys, the log and counters.
func (n Name) String() string {
	switch n {
	case Rent:
		return "rent"
	case Clean:
		return "clean"
	}
	return "?"
}

// Rules are a duty's times.
type Rules struct {
	TTL      Time // of the lease
	Trust    Time // how long after the sending of a renewal the lease surely lasts; below TTL
	Every    Time // between two renewals
	Patience Time // the longest time without progress
	Back     Time // how long a holder that got nowhere stands back, first; it doubles
	BackMost Time
	Turn     Time // a free duty is taken by the first in line at once, by each next one so much later
	Settle   Time // how long there must be a better holder before a good one gives way
}

// Usual are the rules of a duty. The lease is twice as long as a leader's, since nothing that a user waits for
// hangs on it.
func Usual(n Name) Rules {
	r := Rules{TTL: 6 * time.Second, Every: 1500 * time.Millisecond, Patience: 20 * time.Second, Back: 10 * time.Second, BackMost: 5 * time.Minute,
		Turn: 500 * time.Millisecond, Settle: 20*time.Second + 20*time.Second*Time(n)} // never two at once
	if n == Clean {
		r.Patience = time.Minute
	}
	r.Trust = r.TTL - r.TTL/500 - 20*time.Millisecond
	return r
}

// Holder is what the duty's key says.
type Holder struct {
	Node  string // "": nobody holds it
	Term  uint64 // the key's version
	Since Time   // when this node saw it
}

// View is what a node knows of the others.
type View struct {
	Ready  bool     // all members take part: with older nodes among them the leader does everything itself
	Live   []string // nodes that are heard, this one among them
	Leader string   // "": unknown
}

// Do is what to do next.
type Do uint8

// What a keeper may ask for. Each is asked once, and again only after its answer.
const (
	Nothing Do = iota
	Take       // a lease, and the key if there is none: Took answers
	Renew      // Renewed answers
	Leave      // end the lease, and with it the key: no answer; Stuck tells whether to write that first
)

// Keeper is one node's part in one duty.
type Keeper struct {
	Name  Name
	Node  string
	Rules Rules

	holder    Holder
	seen      bool // anything at all
	freeSince Time
	stuck     int // holders in a row that got nowhere

	asking    bool // Take or Renew is under way
	lease     uint64
	term      uint64 // 0: not held
	until     Time   // trusted until
	renewed   Time   // when a renewal was last sent
	since     Time
	progress  Time // when it last got on
	got       bool // it got on in this term
	better    Time // since when another would do better; 0: not
	backUntil Time
	back      Time
	nowhere   bool   // it was let go for that
	why       string // why it was last let go
}

// New makes a keeper that holds nothing and knows nothing.
func New(n Name, node string, r Rules) *Keeper { return &Keeper{Name: n, Node: node, Rules: r} }

// Seen notes what the key says. Without a holder the term is the number of the change since which there is
// none: terms and changes are counted alike, so an older word, come by a slower way, is told from a newer one.
func (k *Keeper) Seen(h Holder, now Time) {
	if k.seen && (h.Term < k.holder.Term || h.Term == k.holder.Term && h.Node == k.holder.Node) {
		return
	}
	if h.Since = now; h.Node == "" {
		k.freeSince = now
	}
	k.holder, k.seen = h, true
	if k.term != 0 && h.Term != k.term {
		k.drop("another may hold it")
	}
}

// SeenStuck notes how many holders in a row got nowhere.
func (k *Keeper) SeenStuck(n int) { k.stuck = n }

// drop ends this node's hold.
func (k *Keeper) drop(why string) {
	k.term, k.lease, k.until, k.better, k.why = 0, 0, 0, 0, why
}

// Term is the term under which this node holds the duty, 0 if it does not. Who acts asks Trusted as well.
func (k *Keeper) Term() uint64 { return k.term }

// Lease is the lease on which the key hangs.
func (k *Keeper) Lease() uint64 { return k.lease }

// Until tells until when the hold is trusted.
func (k *Keeper) Until() Time { return k.until }

// Trusted tells whether this node surely holds the duty.
func (k *Keeper) Trusted(now Time) bool { return k.term != 0 && now < k.until }

// Holder is who holds the duty, as far as was seen.
func (k *Keeper) Holder() Holder { return k.holder }

// Since is when this node took it, Progress when it last got on, Why why it last let go.
func (k *Keeper) Since() Time { return k.since }

// Progress is when the duty last got on at this node.
func (k *Keeper) Progress() Time { return k.progress }

// Why is why this node last let it go.
func (k *Keeper) Why() string { return k.why }

// Nowhere tells whether it was let go because it got nowhere, which is to be written as Stuck.
func (k *Keeper) Nowhere() bool { return k.nowhere }

// Stuck is how many holders in a row got nowhere.
func (k *Keeper) Stuck() int { return k.stuck }

// Current tells whether what a holder says under a term is to be believed: it is no older than what was
// seen of the key.
func (k *Keeper) Current(term uint64) bool { return term != 0 && term >= k.holder.Term }

// patience is the longest time without progress: longer when all others got nowhere either.
func (k *Keeper) patience(v *View) Time {
	p := k.Rules.Patience
	for rounds := k.stuck / max(1, len(v.Live)); rounds > 0 && p < k.Rules.BackMost; rounds-- {
		p *= 2
	}
	return p
}

// Got notes that the duty got on. It tells whether that ends a row of holders that did not, which is
// then to be written.
func (k *Keeper) Got(now Time) (clear bool) {
	if k.term == 0 {
		return false
	}
	k.progress, k.back = now, 0
	clear = k.stuck > 0 && !k.got
	k.got = true
	return clear
}

// Idle notes that there is nothing to get on with.
func (k *Keeper) Idle(now Time) {
	if k.term != 0 {
		k.progress = now
	}
}

// rank is this node's place in the line for the duty: by a hash of both, the leader last, since it has most to
// do already.
func (k *Keeper) rank(v *View) int {
	line := slices.Clone(v.Live)
	weight := func(node string) uint64 {
		h := fnv.New64a()
		h.Write([]byte(k.Name.String() + "/" + node))
		return h.Sum64()
	}
	slices.SortFunc(line, func(a, b string) int {
		if (a == v.Leader) != (b == v.Leader) {
			if a == v.Leader {
				return 1
			}
			return -1
		}
		return cmp.Compare(weight(a), weight(b))
	})
	return max(0, slices.Index(line, k.Node))
}

// Tick tells what to do.
func (k *Keeper) Tick(now Time, v *View) Do {
	if k.asking || !k.seen {
		return Nothing
	}
	if k.term == 0 {
		if !v.Ready || k.holder.Node != "" || now < k.backUntil || now < k.freeSince+Time(k.rank(v))*k.Rules.Turn {
			return Nothing
		}
		k.asking = true
		return Take
	}
	switch {
	case now >= k.until:
		k.drop("its lease was not renewed in time")
		return Nothing
	case now-k.progress > k.patience(v):
		k.stuck++
		k.nowhere = true
		k.back = min(max(2*k.back, k.Rules.Back), k.Rules.BackMost)
		k.backUntil = now + k.back
		k.why = "it gets nowhere"
		return Leave
	case !v.Ready:
		k.why = "an older node is there"
		return Leave
	case k.Node == v.Leader && len(v.Live) > 1:
		if k.better == 0 {
			k.better = now
		}
		if now-k.better > k.Rules.Settle {
			k.why, k.backUntil = "others have less to do", now+2*k.Rules.Turn
			return Leave
		}
	default:
		k.better = 0
	}
	if now-k.renewed < k.Rules.Every {
		return Nothing
	}
	k.asking = true
	return Renew
}

// Left notes that the key was given up: what was asked for by Leave was sent, or will not be.
func (k *Keeper) Left() {
	why := k.why
	k.drop(why)
}

// Took is the answer to Take: sent is when the lease was asked for, term the key's version, 0 if it was not won.
func (k *Keeper) Took(sent, now Time, lease, term uint64) {
	k.asking = false
	if term == 0 || term < k.holder.Term {
		return
	}
	k.term, k.lease, k.until, k.renewed = term, lease, sent+k.Rules.Trust, sent
	k.since, k.progress, k.got, k.nowhere, k.better = now, now, false, false, 0
	k.holder, k.seen = Holder{Node: k.Node, Term: term, Since: now}, true
}

// Renewed is the answer to Renew, sent at a time: ok, or gone if the lease had ended. Without either its fate is
// unknown, and it is sent again.
func (k *Keeper) Renewed(sent Time, ok, gone bool) {
	k.asking = false
	switch {
	case k.term == 0:
	case gone:
		k.drop("its lease has ended")
	case ok:
		k.until, k.renewed = max(k.until, sent+k.Rules.Trust), sent
	}
}
