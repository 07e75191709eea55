// Package singleton decides which node holds a role that only one may hold at a time, besides leading: provisioning,
// which deals with the cloud, and compaction, which cleans up in the key-value store. It is pure: what was seen of
// the role's key, responses and the time go in; what to request of the store comes out.
//
// A role is held by a key in the store that hangs on a lease of its own. The key's version, which is the revision of
// the change that made it, is the role's term: it only grows, and every write of the role requires it. The lease
// can't end earlier than its time after the last renewal that was answered was sent, so a holder trusts its own clock
// until that long after sending, less the drift of two clocks.
//
// A holder renews only while the role makes progress. Past its patience it releases the role and backs off for a
// growing while, so that a node that reaches the other side better acquires it. How many holders in a row made no
// progress stands in a key beside it (ObserveStalledHolders): when all did not, the other side is unavailable for
// everybody, and patience grows.
package singleton

import (
	"cmp"
	"hash/fnv"
	"slices"
	"time"
)

// Time is monotonic time since the process began.
type Time = time.Duration

// Name is a role.
type Name uint8

// The roles. Scheduling is the leader's, whose lease is that of package election.
const (
	Provisioning Name = iota // the cloud's machine types and list, scale out and scale in
	Compaction               // snapshots, compaction, deletion of records that the log has
	NameCount                // how many there are
)

// String is the role's name in keys, the log and metrics.
func (n Name) String() string {
	switch n {
	case Provisioning:
		return "rent"
	case Compaction:
		return "clean"
	}
	return "?"
}

// Rules are a role's times.
type Rules struct {
	TTL           Time // of the lease
	Trust         Time // how long after the sending of a renewal the lease surely lasts; below TTL
	RenewInterval Time // between two renewals
	Patience      Time // the longest time without progress
	Backoff       Time // how long a holder without progress backs off at first; it doubles
	MaxBackoff    Time // and does not get longer than this
	TurnDelay     Time // a free role is acquired by the first in rank at once, by each next one so much later
	SettleTime    Time // how long there must be a better holder before a good one releases the role
}

const (
	// maxClockDriftDivisor is by how much two clocks may differ, as one part in so many, and trustMargin what is left
	// beside that for the scheduling of this process.
	maxClockDriftDivisor = 500
	trustMargin          = 20 * time.Millisecond
	// settleTime is that of the first role; each next one's is so much longer, so that two are never released at
	// once.
	settleTime = 20 * time.Second
)

// DefaultRules are the rules of a role. The lease is twice as long as a leader's, since nothing that a user waits for
// hangs on it.
func DefaultRules(n Name) Rules {
	rules := Rules{
		TTL:           6 * time.Second,
		RenewInterval: 1500 * time.Millisecond,
		Patience:      20 * time.Second,
		Backoff:       10 * time.Second,
		MaxBackoff:    5 * time.Minute,
		TurnDelay:     500 * time.Millisecond,
		SettleTime:    settleTime + settleTime*Time(n),
	}
	if n == Compaction {
		rules.Patience = time.Minute
	}
	rules.Trust = rules.TTL - rules.TTL/maxClockDriftDivisor - trustMargin
	return rules
}

// RoleHolder is what the role's key says.
type RoleHolder struct {
	Node  string // "": nobody holds it
	Term  uint64 // the key's version
	Since Time   // since when this node knows it
}

// View is what a node knows of the others.
type View struct {
	Ready  bool     // all members take part: with older nodes among them the leader does everything itself
	Live   []string // nodes that respond, this one among them
	Leader string   // "": unknown
}

// Decision is what to do next.
type Decision uint8

// What to do. Acquire and Renew are requested once, and again only after their response.
const (
	NoAction Decision = iota
	Acquire           // request a lease, and the key if there is none: then call Acquired
	Renew             // renew the lease: then call Renewed
	Release           // write what NoProgress says, end the lease, and with it the key: then call Released
)

// The reasons for which a role is released or lost. They are in the admin API and in the log.
const (
	reasonSuperseded   = "another may hold it"
	reasonLeaseExpired = "its lease was not renewed in time"
	reasonLeaseEnded   = "its lease has ended"
	reasonNoProgress   = "it gets nowhere"
	reasonOlderNode    = "an older node is there"
	reasonLeaderIsBusy = "others have less to do"
)

// Role is one node's local state of one role.
type Role struct {
	Name  Name
	Node  string // this node
	Rules Rules

	// What was seen of the role's keys.
	holder         RoleHolder
	observed       bool // anything at all
	freeSince      Time
	stalledHolders int // holders in a row without progress

	// This node's own hold.
	awaitingAnswer bool   // an Acquire or Renew has no response yet
	lease          uint64 // on which the key hangs
	term           uint64 // 0: not held
	trustedUntil   Time
	renewSentAt    Time // when a renewal was last sent
	heldSince      Time
	lastProgress   Time
	progressed     bool // it made progress in this term
	betterSince    Time // since when another would be a better holder; 0: none would
	backoffUntil   Time
	backoff        Time
	noProgress     bool   // it was released for that
	releaseReason  string // why it was last released or lost
}

// New makes the state of a role that this node does not hold and knows nothing of.
func New(n Name, node string, rules Rules) *Role { return &Role{Name: n, Node: node, Rules: rules} }

// Observe notes what the key says. Without a holder the term is the number of the change since which there is
// none: terms and changes are counted alike, so an older message that came a slower way is told from a newer one.
func (r *Role) Observe(holder RoleHolder, now Time) {
	if r.observed && (holder.Term < r.holder.Term || holder.Term == r.holder.Term && holder.Node == r.holder.Node) {
		return
	}
	if holder.Since = now; holder.Node == "" {
		r.freeSince = now
	}
	r.holder, r.observed = holder, true
	if r.term != 0 && holder.Term != r.term {
		r.lose(reasonSuperseded)
	}
}

// ObserveStalledHolders notes how many holders in a row made no progress.
func (r *Role) ObserveStalledHolders(n int) { r.stalledHolders = n }

// lose ends this node's hold.
func (r *Role) lose(reason string) {
	r.term, r.lease, r.trustedUntil, r.betterSince, r.releaseReason = 0, 0, 0, 0, reason
}

// Term is the term under which this node holds the role, 0 if it does not. To act, it must be Trusted as well.
func (r *Role) Term() uint64 { return r.term }

// Lease is the lease on which the key hangs.
func (r *Role) Lease() uint64 { return r.lease }

// TrustedUntil tells until when the hold is trusted.
func (r *Role) TrustedUntil() Time { return r.trustedUntil }

// Trusted tells whether this node surely holds the role.
func (r *Role) Trusted(now Time) bool { return r.term != 0 && now < r.trustedUntil }

// Holder is who holds the role, as far as was seen.
func (r *Role) Holder() RoleHolder { return r.holder }

// HeldSince is when this node acquired the role.
func (r *Role) HeldSince() Time { return r.heldSince }

// LastProgress is when the role last made progress at this node.
func (r *Role) LastProgress() Time { return r.lastProgress }

// ReleaseReason is why this node last released or lost the role.
func (r *Role) ReleaseReason() string { return r.releaseReason }

// NoProgress tells whether the role was released since it made no progress, which is to be written for the next
// holders.
func (r *Role) NoProgress() bool { return r.noProgress }

// StalledHolders is how many holders in a row made no progress.
func (r *Role) StalledHolders() int { return r.stalledHolders }

// IsCurrent tells whether what a holder reports under a term counts: it is no older than what was seen of the key.
func (r *Role) IsCurrent(term uint64) bool { return term != 0 && term >= r.holder.Term }

// patience is the longest time without progress: longer when no other node made any either.
func (r *Role) patience(v *View) Time {
	limit := r.Rules.Patience
	for rounds := r.stalledHolders / max(1, len(v.Live)); rounds > 0 && limit < r.Rules.MaxBackoff; rounds-- {
		limit *= 2
	}
	return limit
}

// RecordProgress notes that the role made progress. It tells whether that ends a row of holders that made none, which
// is then to be written.
func (r *Role) RecordProgress(now Time) (endsStall bool) {
	if r.term == 0 {
		return false
	}
	r.lastProgress, r.backoff = now, 0
	endsStall = r.stalledHolders > 0 && !r.progressed
	r.progressed = true
	return endsStall
}

// RecordIdle notes that there is nothing to do, which is no lack of progress.
func (r *Role) RecordIdle(now Time) {
	if r.term != 0 {
		r.lastProgress = now
	}
}

// rank is this node's place in the order in which nodes may acquire the role: by a hash of both, the leader last,
// since it has most to do already.
func (r *Role) rank(v *View) int {
	order := slices.Clone(v.Live)
	weight := func(node string) uint64 {
		hash := fnv.New64a()
		hash.Write([]byte(r.Name.String() + "/" + node))
		return hash.Sum64()
	}
	slices.SortFunc(order, func(a, b string) int {
		if (a == v.Leader) != (b == v.Leader) {
			if a == v.Leader {
				return 1
			}
			return -1
		}
		return cmp.Compare(weight(a), weight(b))
	})
	return max(0, slices.Index(order, r.Node))
}

// Decide tells what to do.
func (r *Role) Decide(now Time, v *View) Decision {
	switch {
	case r.awaitingAnswer || !r.observed:
		return NoAction
	case r.term == 0:
		return r.decideFree(now, v)
	}
	return r.decideHeld(now, v)
}

// decideFree decides for a node that does not hold the role.
func (r *Role) decideFree(now Time, v *View) Decision {
	if !v.Ready || r.holder.Node != "" || now < r.backoffUntil ||
		now < r.freeSince+Time(r.rank(v))*r.Rules.TurnDelay {
		return NoAction
	}
	r.awaitingAnswer = true
	return Acquire
}

// decideHeld decides for the holder.
func (r *Role) decideHeld(now Time, v *View) Decision {
	switch {
	case now >= r.trustedUntil:
		r.lose(reasonLeaseExpired)
		return NoAction
	case now-r.lastProgress > r.patience(v):
		r.stalledHolders++
		r.noProgress = true
		r.backoff = min(max(2*r.backoff, r.Rules.Backoff), r.Rules.MaxBackoff)
		r.backoffUntil = now + r.backoff
		r.releaseReason = reasonNoProgress
		return Release
	case !v.Ready:
		r.releaseReason = reasonOlderNode
		return Release
	case r.Node == v.Leader && len(v.Live) > 1:
		if r.betterSince == 0 {
			r.betterSince = now
		}
		if now-r.betterSince > r.Rules.SettleTime {
			r.releaseReason, r.backoffUntil = reasonLeaderIsBusy, now+2*r.Rules.TurnDelay
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

// Released notes that the key was released: the request for it was sent, or will not be.
func (r *Role) Released() {
	reason := r.releaseReason
	r.lose(reason)
}

// Acquired is the response to Acquire: sent is when the lease was requested, term the key's version, 0 if it was not
// won.
func (r *Role) Acquired(sent, now Time, lease, term uint64) {
	r.awaitingAnswer = false
	if term == 0 || term < r.holder.Term {
		return
	}
	r.term, r.lease, r.trustedUntil, r.renewSentAt = term, lease, sent+r.Rules.Trust, sent
	r.heldSince, r.lastProgress, r.progressed, r.noProgress, r.betterSince = now, now, false, false, 0
	r.holder, r.observed = RoleHolder{Node: r.Node, Term: term, Since: now}, true
}

// Renewed is the response to a Renew that was sent at a time: ok, or gone if the lease had ended. Without either its
// fate is unknown, and it is sent again.
func (r *Role) Renewed(sent Time, ok, gone bool) {
	r.awaitingAnswer = false
	switch {
	case r.term == 0:
	case gone:
		r.lose(reasonLeaseEnded)
	case ok:
		r.trustedUntil, r.renewSentAt = max(r.trustedUntil, sent+r.Rules.Trust), sent
	}
}
