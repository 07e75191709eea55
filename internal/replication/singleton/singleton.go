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
	Provisioning Name = iota // types, list, rentals and returns of the cloud
	Compaction               // snapshots, compaction, records that the log has
	NameCount                // how many there are
)

// String is the duty's name in keys, the log and counters.
func (n Name) String() string {
	switch n {
	case Provisioning:
		return "rent"
	case Compaction:
		return "clean"
	}
	return "?"
}

// Rules are a duty's times.
type Rules struct {
	TTL           Time // of the lease
	Trust         Time // how long after the sending of a renewal the lease surely lasts; below TTL
	RenewInterval Time // between two renewals
	Patience      Time // the longest time without progress
	Backoff       Time // how long a holder that got nowhere stands back, first; it doubles
	MaxBackoff    Time
	TurnDelay     Time // a free duty is taken by the first in line at once, by each next one so much later
	SettleTime    Time // how long there must be a better holder before a good one gives way
}

// DefaultRules are the rules of a duty. The lease is twice as long as a leader's, since nothing that a user waits for
// hangs on it.
func DefaultRules(n Name) Rules {
	rules := Rules{
		TTL:           6 * time.Second,
		RenewInterval: 1500 * time.Millisecond,
		Patience:      20 * time.Second,
		Backoff:       10 * time.Second,
		MaxBackoff:    5 * time.Minute,
		TurnDelay:     500 * time.Millisecond,
		SettleTime:    20*time.Second + 20*time.Second*Time(n),
	} // never two at once
	if n == Compaction {
		rules.Patience = time.Minute
	}
	rules.Trust = rules.TTL - rules.TTL/500 - 20*time.Millisecond
	return rules
}

// RoleHolder is what the duty's key says.
type RoleHolder struct {
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

// Decision is what to do next.
type Decision uint8

// What a keeper may ask for. Each is asked once, and again only after its answer.
const (
	NoAction Decision = iota
	Acquire           // a lease, and the key if there is none: Took answers
	Renew             // Renewed answers
	Release           // end the lease, and with it the key: no answer; Stuck tells whether to write that first
)

// Role is one node's part in one duty.
type Role struct {
	Name  Name
	Node  string
	Rules Rules

	holder         RoleHolder
	observed       bool // anything at all
	freeSince      Time
	stalledHolders int // holders in a row that got nowhere

	awaitingAnswer bool // Take or Renew is under way
	lease          uint64
	term           uint64 // 0: not held
	trustedUntil   Time   // trusted until
	renewSentAt    Time   // when a renewal was last sent
	heldSince      Time
	lastProgress   Time // when it last got on
	progressed     bool // it got on in this term
	betterSince    Time // since when another would do better; 0: not
	backoffUntil   Time
	backoff        Time
	noProgress     bool   // it was let go for that
	releaseReason  string // why it was last let go
}

// New makes a keeper that holds nothing and knows nothing.
func New(n Name, node string, rules Rules) *Role { return &Role{Name: n, Node: node, Rules: rules} }

// Observe notes what the key says. Without a holder the term is the number of the change since which there is
// none: terms and changes are counted alike, so an older word, come by a slower way, is told from a newer one.
func (r *Role) Observe(holder RoleHolder, now Time) {
	if r.observed && (holder.Term < r.holder.Term || holder.Term == r.holder.Term && holder.Node == r.holder.Node) {
		return
	}
	if holder.Since = now; holder.Node == "" {
		r.freeSince = now
	}
	r.holder, r.observed = holder, true
	if r.term != 0 && holder.Term != r.term {
		r.lose("another may hold it")
	}
}

// ObserveStalledHolders notes how many holders in a row got nowhere.
func (r *Role) ObserveStalledHolders(n int) { r.stalledHolders = n }

// lose ends this node's hold.
func (r *Role) lose(reason string) {
	r.term, r.lease, r.trustedUntil, r.betterSince, r.releaseReason = 0, 0, 0, 0, reason
}

// Term is the term under which this node holds the duty, 0 if it does not. Who acts asks Trusted as well.
func (r *Role) Term() uint64 { return r.term }

// Lease is the lease on which the key hangs.
func (r *Role) Lease() uint64 { return r.lease }

// TrustedUntil tells until when the hold is trusted.
func (r *Role) TrustedUntil() Time { return r.trustedUntil }

// Trusted tells whether this node surely holds the duty.
func (r *Role) Trusted(now Time) bool { return r.term != 0 && now < r.trustedUntil }

// Holder is who holds the duty, as far as was seen.
func (r *Role) Holder() RoleHolder { return r.holder }

// HeldSince is when this node took it, Progress when it last got on, Why why it last let go.
func (r *Role) HeldSince() Time { return r.heldSince }

// LastProgress is when the duty last got on at this node.
func (r *Role) LastProgress() Time { return r.lastProgress }

// ReleaseReason is why this node last let it go.
func (r *Role) ReleaseReason() string { return r.releaseReason }

// NoProgress tells whether it was let go because it got nowhere, which is to be written as Stuck.
func (r *Role) NoProgress() bool { return r.noProgress }

// StalledHolders is how many holders in a row got nowhere.
func (r *Role) StalledHolders() int { return r.stalledHolders }

// IsCurrent tells whether what a holder says under a term is to be believed: it is no older than what was
// seen of the key.
func (r *Role) IsCurrent(term uint64) bool { return term != 0 && term >= r.holder.Term }

// patience is the longest time without progress: longer when all others got nowhere either.
func (r *Role) patience(v *View) Time {
	limit := r.Rules.Patience
	for rounds := r.stalledHolders / max(1, len(v.Live)); rounds > 0 && limit < r.Rules.MaxBackoff; rounds-- {
		limit *= 2
	}
	return limit
}

// RecordProgress notes that the duty got on. It tells whether that ends a row of holders that did not, which is
// then to be written.
func (r *Role) RecordProgress(now Time) (endsStall bool) {
	if r.term == 0 {
		return false
	}
	r.lastProgress, r.backoff = now, 0
	endsStall = r.stalledHolders > 0 && !r.progressed
	r.progressed = true
	return endsStall
}

// RecordIdle notes that there is nothing to get on with.
func (r *Role) RecordIdle(now Time) {
	if r.term != 0 {
		r.lastProgress = now
	}
}

// rank is this node's place in the line for the duty: by a hash of both, the leader last, since it has most to
// do already.
func (r *Role) rank(v *View) int {
	line := slices.Clone(v.Live)
	weight := func(node string) uint64 {
		hash := fnv.New64a()
		hash.Write([]byte(r.Name.String() + "/" + node))
		return hash.Sum64()
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
	return max(0, slices.Index(line, r.Node))
}

// Decide tells what to do.
func (r *Role) Decide(now Time, v *View) Decision {
	if r.awaitingAnswer || !r.observed {
		return NoAction
	}
	if r.term == 0 {
		if !v.Ready || r.holder.Node != "" || now < r.backoffUntil ||
			now < r.freeSince+Time(r.rank(v))*r.Rules.TurnDelay {
			return NoAction
		}
		r.awaitingAnswer = true
		return Acquire
	}
	switch {
	case now >= r.trustedUntil:
		r.lose("its lease was not renewed in time")
		return NoAction
	case now-r.lastProgress > r.patience(v):
		r.stalledHolders++
		r.noProgress = true
		r.backoff = min(max(2*r.backoff, r.Rules.Backoff), r.Rules.MaxBackoff)
		r.backoffUntil = now + r.backoff
		r.releaseReason = "it gets nowhere"
		return Release
	case !v.Ready:
		r.releaseReason = "an older node is there"
		return Release
	case r.Node == v.Leader && len(v.Live) > 1:
		if r.betterSince == 0 {
			r.betterSince = now
		}
		if now-r.betterSince > r.Rules.SettleTime {
			r.releaseReason, r.backoffUntil = "others have less to do", now+2*r.Rules.TurnDelay
			return Release
		}
	default:
		r.betterSince = 0
	}
	if now-r.renewSentAt < r.Rules.RenewInterval {
		return NoAction
	}
	r.awaitingAnswer = true
	return Renew
}

// Released notes that the key was given up: what was asked for by Leave was sent, or will not be.
func (r *Role) Released() {
	reason := r.releaseReason
	r.lose(reason)
}

// Acquired is the answer to Take: sent is when the lease was asked for, term the key's version, 0 if it was not won.
func (r *Role) Acquired(sent, now Time, lease, term uint64) {
	r.awaitingAnswer = false
	if term == 0 || term < r.holder.Term {
		return
	}
	r.term, r.lease, r.trustedUntil, r.renewSentAt = term, lease, sent+r.Rules.Trust, sent
	r.heldSince, r.lastProgress, r.progressed, r.noProgress, r.betterSince = now, now, false, false, 0
	r.holder, r.observed = RoleHolder{Node: r.Node, Term: term, Since: now}, true
}

// Renewed is the answer to Renew, sent at a time: ok, or gone if the lease had ended. Without either its fate is
// unknown, and it is sent again.
func (r *Role) Renewed(sent Time, ok, gone bool) {
	r.awaitingAnswer = false
	switch {
	case r.term == 0:
	case gone:
		r.lose("its lease has ended")
	case ok:
		r.trustedUntil, r.renewSentAt = max(r.trustedUntil, sent+r.Rules.Trust), sent
	}
}
