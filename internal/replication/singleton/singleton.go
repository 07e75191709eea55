// Package singleton decides which node holds a role that only one node may hold at a time, other than leadership:
// provisioning, which manages machines at the cloud, and compaction, which replaces old batches of the log in the
// key-value store by snapshots. It does no I/O: the inputs are the observed state of the role's key, responses and the
// time; the output is the request to send to the store.
//
// A role is held by means of a key in the store that is attached to a lease of its own. The key's version, which is the
// revision at which the key was created, is the holder's term: later holders have higher terms, and every write made
// for the role requires the key at this version. The lease lasts at least its TTL from the sending of the last
// successful renewal. So a holder may act for the role for that long after sending, as measured by its own clock, less
// the maximum drift between two clocks.
//
// A holder renews only while the role makes progress. After Rules.StallTimeout without progress it releases the role
// and backs off, for longer each time, so that a node with a better connection to the cloud or store can acquire the
// role. The number of consecutive holders without progress is stored in a key beside the role's
// (ObserveStalledHolders). When this number shows that all nodes have failed to make progress, the cloud or store is
// probably unavailable to all of them, and the time allowed without progress grows.
package singleton

import (
	"cmp"
	"hash/fnv"
	"slices"
	"time"
)

// Time is monotonic time since the process started.
type Time = time.Duration

// RoleName identifies a role.
type RoleName uint8

// The roles. Scheduling is not one of them: it belongs to the leader, whose lease is managed by package election.
const (
	Provisioning RoleName = iota // listing the cloud's machine types and machines, scale-out and scale-in
	Compaction                   // writing snapshots of the log and deleting the keys that they replace
	RoleCount                    // number of roles
)

// String returns the role's name in keys, logs and metrics.
func (n RoleName) String() string {
	switch n {
	case Provisioning:
		return "rent"
	case Compaction:
		return "clean"
	}
	return "?"
}

// Rules are the periods that govern a role.
type Rules struct {
	TTL            Time // duration of the lease
	TrustPeriod    Time // how long after sending a renewal the lease is guaranteed to last; below TTL
	RenewInterval  Time // between renewals
	StallTimeout   Time // how long a holder keeps the role without progress
	InitialBackoff Time // how long a node that made no progress does not acquire the role again; doubled each time
	MaxBackoff     Time // upper bound of the backoff
	RankDelay      Time // a node of rank n waits n times this period before it acquires a free role
	SettleTime     Time // how long a holder that is the leader keeps the role while other nodes are live
}

const (
	// maxClockDriftDivisor is the reciprocal of the maximum drift between two clocks; trustMargin is an additional
	// margin for scheduling delays of this process.
	maxClockDriftDivisor = 500
	trustMargin          = 20 * time.Millisecond
	// settleTime is the SettleTime of the first role, and the increment for each further one, so that two roles are
	// never released at the same time.
	settleTime = 20 * time.Second
)

// DefaultRules returns the rules of a role. The lease is twice as long as a leader's, since no user request waits for
// another node to acquire a role.
func DefaultRules(n RoleName) Rules {
	rules := Rules{
		TTL:            6 * time.Second,
		RenewInterval:  1500 * time.Millisecond,
		StallTimeout:   20 * time.Second,
		InitialBackoff: 10 * time.Second,
		MaxBackoff:     5 * time.Minute,
		RankDelay:      500 * time.Millisecond,
		SettleTime:     settleTime + settleTime*Time(n),
	}
	if n == Compaction {
		rules.StallTimeout = time.Minute
	}
	rules.TrustPeriod = rules.TTL - rules.TTL/maxClockDriftDivisor - trustMargin
	return rules
}

// RoleHolder is the content of the role's key.
type RoleHolder struct {
	Node  string // empty if no node holds the role
	Term  uint64 // version of the key; if there is no key, revision at which it was deleted
	Since Time   // when this node observed the key's current content
}

// ClusterView is what a node knows about the nodes of the cluster.
type ClusterView struct {
	// RolesDistributed reports whether all nodes take part in roles. While any node does not, the leader performs the
	// roles itself.
	RolesDistributed bool
	LiveNodes        []string // responding nodes, this one included
	Leader           string   // empty if unknown
}

// Decision is the next action of a node for a role.
type Decision uint8

// The decisions. After Acquire or Renew, Decide returns NoAction until Acquired or Renewed has been called.
const (
	NoAction Decision = iota
	Acquire           // request a lease, and create the key unless it exists; then call Acquired
	Renew             // renew the lease; then call Renewed
	// Release: store StalledHolders if ReleasedWithoutProgress; revoke the lease, which deletes the key; then call
	// Released.
	Release
)

// Reasons for releasing or losing a role, as shown in the admin API and the log.
const (
	reasonSuperseded    = "another may hold it"
	reasonLeaseExpired  = "its lease was not renewed in time"
	reasonLeaseEnded    = "its lease has ended"
	reasonNoProgress    = "it gets nowhere"
	reasonOlderNode     = "an older node is there"
	reasonLeaderOffload = "others have less to do"
)

// Role is what one node knows about a role, and the node's own state as a holder or candidate of that role.
type Role struct {
	Name  RoleName
	Node  string // this node
	Rules Rules

	// Observed state of the role's keys.
	holder         RoleHolder
	observed       bool // the key was observed at least once
	freeSince      Time
	stalledHolders int // consecutive holders without progress

	// State of this node as the holder.
	awaitingResponse        bool   // an Acquire or Renew has no response yet
	lease                   uint64 // lease to which the key is attached
	term                    uint64 // 0 if this node does not hold the role
	trustedUntil            Time
	renewSentAt             Time // when the last successful renewal was sent
	heldSince               Time
	lastProgress            Time
	progressed              bool // the role made progress in this term
	betterHolderSince       Time // start of the period as leader with other live nodes (better holders); 0: none
	backoffUntil            Time
	backoff                 Time
	releasedWithoutProgress bool   // the role was released for lack of progress
	releaseReason           string // why the role was last released or lost
}

// New returns the state of a role that this node does not hold and has not observed.
func New(n RoleName, node string, rules Rules) *Role { return &Role{Name: n, Node: node, Rules: rules} }

// Observe records the content of the role's key. Updates older than the last observed one are ignored. Older updates
// are recognized by their terms, since a term is a revision of the store whether or not the role has a holder.
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

// ObserveStalledHolders records the stored number of consecutive holders that made no progress.
func (r *Role) ObserveStalledHolders(n int) { r.stalledHolders = n }

// lose records that this node no longer holds the role, and why.
func (r *Role) lose(reason string) {
	r.term, r.lease, r.trustedUntil, r.betterHolderSince, r.releaseReason = 0, 0, 0, 0, reason
}

// Term returns the term under which this node holds the role, 0 if it does not. The node may act under this term only
// while Trusted returns true.
func (r *Role) Term() uint64 { return r.term }

// Lease returns the lease to which this node has attached the key, 0 if it does not hold the role.
func (r *Role) Lease() uint64 { return r.lease }

// TrustedUntil returns the time until which this node is guaranteed to hold the role; 0 if it does not hold the role.
func (r *Role) TrustedUntil() Time { return r.trustedUntil }

// Trusted reports whether this node is guaranteed to hold the role at the given time.
func (r *Role) Trusted(now Time) bool { return r.term != 0 && now < r.trustedUntil }

// Holder returns the last observed content of the role's key.
func (r *Role) Holder() RoleHolder { return r.holder }

// HeldSince returns when this node last acquired the role.
func (r *Role) HeldSince() Time { return r.heldSince }

// LastProgress returns when this node, as the holder, last made progress or had nothing to do. It is initially the time
// at which the node acquired the role.
func (r *Role) LastProgress() Time { return r.lastProgress }

// ReleaseReason returns why this node last released or lost the role.
func (r *Role) ReleaseReason() string { return r.releaseReason }

// ReleasedWithoutProgress reports whether this node has released the role for lack of progress and has not acquired it
// since. On such a release, StalledHolders must be stored for the next holders.
func (r *Role) ReleasedWithoutProgress() bool { return r.releasedWithoutProgress }

// StalledHolders returns the number of consecutive holders that made no progress.
func (r *Role) StalledHolders() int { return r.stalledHolders }

// IsCurrentTerm reports whether results that a holder reports under the given term are valid: the term must be set and
// must not be older than that of the observed key.
func (r *Role) IsCurrentTerm(term uint64) bool { return term != 0 && term >= r.holder.Term }

// stallTimeout returns how long this node may hold the role without progress. The limit doubles each time the number of
// consecutive holders without progress grows by the number of live nodes, until it reaches MaxBackoff or more.
func (r *Role) stallTimeout(v *ClusterView) Time {
	limit := r.Rules.StallTimeout
	for rounds := r.stalledHolders / max(1, len(v.LiveNodes)); rounds > 0 && limit < r.Rules.MaxBackoff; rounds-- {
		limit *= 2
	}
	return limit
}

// RecordProgress records that the role made progress. It reports whether this progress ends a series of holders without
// progress, in which case the caller must store 0 as the number of stalled holders.
func (r *Role) RecordProgress(now Time) (endsStall bool) {
	if r.term == 0 {
		return false
	}
	r.lastProgress, r.backoff = now, 0
	endsStall = r.stalledHolders > 0 && !r.progressed
	r.progressed = true
	return endsStall
}

// RecordIdle records that this node, as the holder, has nothing to do, which does not count as a lack of progress.
func (r *Role) RecordIdle(now Time) {
	if r.term != 0 {
		r.lastProgress = now
	}
}

// rank returns this node's position in the order in which nodes may acquire the role: by a hash of role and node, with
// the leader last, since it has the highest load already.
func (r *Role) rank(v *ClusterView) int {
	order := slices.Clone(v.LiveNodes)
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

// Decide returns the action that this node has to take now for the role. The caller takes it and reports its outcome by
// the method that the Decision's comment names.
func (r *Role) Decide(now Time, v *ClusterView) Decision {
	switch {
	case r.awaitingResponse || !r.observed:
		return NoAction
	case r.term == 0:
		return r.decideFree(now, v)
	}
	return r.decideHeld(now, v)
}

// decideFree returns Acquire if this node, which does not hold the role, has to request the role now, and NoAction
// otherwise.
func (r *Role) decideFree(now Time, v *ClusterView) Decision {
	if !v.RolesDistributed || r.holder.Node != "" || now < r.backoffUntil ||
		now < r.freeSince+Time(r.rank(v))*r.Rules.RankDelay {
		return NoAction
	}
	r.awaitingResponse = true
	return Acquire
}

// decideHeld returns Renew or Release if this node, which holds the role, has to renew its lease or release the role
// now, and NoAction otherwise. If the node is no longer guaranteed to hold the role, it records the loss of the role.
func (r *Role) decideHeld(now Time, v *ClusterView) Decision {
	switch {
	case now >= r.trustedUntil:
		r.lose(reasonLeaseExpired)
		return NoAction
	case now-r.lastProgress > r.stallTimeout(v):
		r.stalledHolders++
		r.releasedWithoutProgress = true
		r.backoff = min(max(2*r.backoff, r.Rules.InitialBackoff), r.Rules.MaxBackoff)
		r.backoffUntil = now + r.backoff
		r.releaseReason = reasonNoProgress
		return Release
	case !v.RolesDistributed:
		r.releaseReason = reasonOlderNode
		return Release
	case r.Node == v.Leader && len(v.LiveNodes) > 1:
		if r.betterHolderSince == 0 {
			r.betterHolderSince = now
		}
		if now-r.betterHolderSince > r.Rules.SettleTime {
			r.releaseReason, r.backoffUntil = reasonLeaderOffload, now+2*r.Rules.RankDelay
			return Release
		}
	default:
		r.betterHolderSince = 0
	}
	if now-r.renewSentAt < r.Rules.RenewInterval {
		return NoAction
	}
	r.awaitingResponse = true
	return Renew
}

// Released records that this node has released the role, whether or not the store has received the request to do so.
func (r *Role) Released() {
	reason := r.releaseReason
	r.lose(reason)
}

// Acquired handles the response to Acquire: sent is when the lease was requested, and term the key's version, or 0 if
// the key was not acquired.
func (r *Role) Acquired(sent, now Time, lease, term uint64) {
	r.awaitingResponse = false
	if term == 0 || term < r.holder.Term {
		return
	}
	r.term, r.lease, r.trustedUntil, r.renewSentAt = term, lease, sent+r.Rules.TrustPeriod, sent
	r.heldSince, r.lastProgress, r.betterHolderSince = now, now, 0
	r.progressed, r.releasedWithoutProgress = false, false
	r.holder, r.observed = RoleHolder{Node: r.Node, Term: term, Since: now}, true
}

// Renewed handles the response to a Renew sent at the given time: ok if the lease was renewed, gone if the lease had
// ended. If neither is set, the outcome is unknown, and Decide returns Renew again.
func (r *Role) Renewed(sent Time, ok, gone bool) {
	r.awaitingResponse = false
	switch {
	case r.term == 0:
	case gone:
		r.lose(reasonLeaseEnded)
	case ok:
		r.trustedUntil, r.renewSentAt = max(r.trustedUntil, sent+r.Rules.TrustPeriod), sent
	}
}
