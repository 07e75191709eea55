package controller

import (
	"context"
	"errors"
	"time"

	"fieldhill/internal/replication/candidacy"
	"fieldhill/internal/replication/election"
	"fieldhill/internal/replication/oplog"
)

// leadership follows the log, stands for election, and begins and ends this controller's terms.
//
// Methods run in the event loop if their comments say so. The others run in the replication goroutine (runReplication),
// which serves a term from the election to its end, or in goroutines that it starts for the term. The replication
// goroutine owns abstainUntil and loadFailing; termState and replica are changed in the event loop only.
type leadership struct {
	*environment
	commits     *commitPipeline
	forward     *forwarder
	loop        *eventLoop
	replica     *replica
	term        *termState
	eligibility *eligibility
	components  termComponents

	abstainUntil time.Time // this controller does not stand for election before this time
	loadFailing  bool      // the last load failed; limits logging to once per outage
}

// termComponents starts the work of the other components for a term. leadership calls them through this interface
// because they depend on leadership.
type termComponents interface {
	// newTerm creates the state of a term that was just won.
	newTerm(ctx context.Context, cancel context.CancelFunc, leader oplog.Leader) *leaderTerm
	// prepare creates the scheduler, the autoscaler and the provisioner, before the term begins. It runs in the event
	// loop.
	prepare(term *leaderTerm)
	// start begins to contact agents and relays. It runs in the event loop, as the last step of beginning the term.
	start(term *leaderTerm)
	// ingest proposes log entries for jobs that were accepted without a leader. It runs in the event loop.
	ingest(term *leaderTerm, jobs []oplog.Intake)
	// watchIntake ingests jobs that are accepted without a leader from the given revision on, until the term ends.
	watchIntake(term *leaderTerm, revision uint64)
}

// newLeadership returns the leadership of a controller that does not lead yet; the caller has to set components.
func newLeadership(
	env *environment, loop *eventLoop, term *termState, replica *replica, forward *forwarder, commits *commitPipeline,
) *leadership {
	return &leadership{
		environment: env,
		loop:        loop,
		term:        term,
		replica:     replica,
		forward:     forward,
		commits:     commits,
		eligibility: newEligibility(env.settings, env.links, env.now),
	}
}

// leadershipTerm is leadership's state for one term. The event loop owns it, except that the replication goroutine
// records the timeline's phases up to LogRead before it passes the term to the event loop.
type leadershipTerm struct {
	reportGraceEnd time.Time          // agents known to the previous leader send a heartbeat by then
	timeline       candidacy.Timeline // phases of the failover
	failoverLogged bool
}

const (
	// loadRetryPause, acquireRetryPause and followRetryPause are the pauses after failed key-value store operations.
	loadRetryPause    = 300 * time.Millisecond
	acquireRetryPause = 200 * time.Millisecond
	followRetryPause  = 250 * time.Millisecond
	// followPause is the pause between two watches, so that several updates are applied together.
	followPause = 100 * time.Millisecond
)

// sleep waits for the given duration or until the context ends.
func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

// runReplication keeps the replica up to date, and serves a term whenever this controller is elected, until the context
// ends.
func (ls *leadership) runReplication(ctx context.Context) {
	for ctx.Err() == nil {
		revision, err := ls.replica.load(ctx, ls.revokeOwnStaleLease)
		if err != nil {
			if !ls.loadFailing {
				ls.log.Warn("log read failed, retrying", "err", err)
			}
			ls.loadFailing = true
			sleep(ctx, loadRetryPause)
			continue
		}
		ls.loadFailing = false
		for inSync := true; inSync && ctx.Err() == nil; {
			revision, inSync = ls.followOrLead(ctx, revision)
		}
	}
}

// followOrLead serves a term if this controller wins an election, and otherwise watches the log from the given
// revision. inSync is false if the log has to be reloaded; otherwise next is the revision from which to continue.
func (ls *leadership) followOrLead(ctx context.Context, revision uint64) (next uint64, inSync bool) {
	hasLeader := ls.findLeader(ctx)
	followDuration := followTimeout
	eligible, retryAfter := ls.eligibility.mayBeCandidate(hasLeader)
	if !hasLeader && !eligible {
		followDuration = retryAfter // leave the election to a controller whose replica is up to date, then check again
	}
	if eligible && time.Now().After(ls.abstainUntil) {
		won, err := election.Acquire(ctx, ls.store, ls.settings.Node, ls.log)
		if err == nil {
			ls.lead(ctx, won)
			return 0, false
		}
		if !errors.Is(err, election.ErrTaken) {
			sleep(ctx, acquireRetryPause)
		}
	}
	return ls.follow(ctx, revision, followDuration)
}

// findLeader reports whether the log names a leader. If the named leader is this node under a stale lease, it first
// revokes that lease and returns false.
func (ls *leadership) findLeader(ctx context.Context) bool {
	var leader *oplog.Leader
	ls.loop.postAndWait(func() { leader = ls.term.leader })
	if ls.revokeOwnStaleLease(ctx, leader) {
		leader = nil
		ls.loop.postAndWait(func() { ls.term.leader = nil })
	}
	return leader != nil
}

// follow watches the log and applies the updates. Its results have the same meaning as those of followOrLead.
func (ls *leadership) follow(ctx context.Context, revision uint64, timeout time.Duration) (next uint64, inSync bool) {
	sentAt := time.Now()
	update, err := ls.oplog.Follow(ctx, revision, timeout)
	if err != nil {
		ls.log.Debug("log watch failed", "err", err)
		sleep(ctx, followRetryPause)
		return 0, false
	}
	inSync = true
	ls.loop.postAndWait(func() { inSync = ls.replica.applyUpdate(update, sentAt) })
	if !inSync {
		return 0, false
	}
	if !update.LeaderChanged || update.Leader != nil {
		sleep(ctx, followPause)
	}
	return update.Revision, true
}

// errHeartbeatsMissing ends the term of a leader that agents cannot reach while they reach other controllers, so that
// one of those becomes the leader.
var errHeartbeatsMissing = errors.New("controller: heartbeats missing from most machines")

// abstainDuration is how long a controller does not stand for election after resigning because of errHeartbeatsMissing.
// If no other controller is elected by then, it stands again.
const abstainDuration = 10 * time.Second

// errTokensExhausted ends a term in which a machine's fencing token was raised too often.
var errTokensExhausted = errors.New("controller: fencing tokens of a machine are used up in this term")

// lead serves a term and logs why it ended. After a resignation it revokes the lease, and lets other controllers stand
// for election first if agents do not reach this one.
func (ls *leadership) lead(ctx context.Context, won *election.Leadership) {
	err := ls.serveTerm(ctx, won)
	if err != nil && ctx.Err() == nil {
		ls.log.Info("leadership ended", "term", won.Term, "err", err)
	}
	if errors.Is(err, errHeartbeatsMissing) {
		ls.abstainUntil = time.Now().Add(abstainDuration)
	}
	if errors.Is(err, errHeartbeatsMissing) || errors.Is(err, errTokensExhausted) {
		_ = ls.store.Revoke(ctx, won.Lease) // if this fails, the lease expires
	}
}

// revokeOwnStaleLease revokes the leader's lease if the leader key names this node although this process does not lead,
// and reports whether it did. Either an earlier process of the node led and has ended, or an election transaction of
// that process or this one was applied after its client had stopped waiting for the result. Without the revocation, all
// controllers would wait three seconds for the lease to expire. Only the replication goroutine calls this method, and
// it serves each term of this process from the election to the end, so no term of this process is in progress.
func (ls *leadership) revokeOwnStaleLease(ctx context.Context, leader *oplog.Leader) bool {
	if leader == nil || leader.Node != ls.settings.Node {
		return false
	}
	ls.log.Info("revoking stale own lease", "term", leader.Term)
	ls.eligibility.recordLeader()
	return ls.store.Revoke(ctx, leader.Lease) == nil
}

// logFailover logs, once per term, how long each phase of the failover took, when all phases are complete or
// failoverLogTimeout has passed. It runs in the event loop.
func (ls *leadership) logFailover(term *leaderTerm) {
	if term.leadership.failoverLogged ||
		!term.leadership.timeline.IsComplete() && time.Since(term.leadership.reportGraceEnd) < failoverLogTimeout {
		return
	}
	term.leadership.failoverLogged = true
	args := []any{"term", term.leader.Term}
	for p := range candidacy.PhaseCount {
		if after, reached := term.leadership.timeline.ReachedAfter(p); reached {
			args = append(args, p.String(), after)
			ls.metrics.ObserveFailover(p, after.Seconds())
		}
	}
	ls.log.Info("failover complete", args...)
}

// failoverLogTimeout is how long after reportGraceEnd an incomplete failover is logged. Some phases are never reached
// if no tasks are waiting to be placed.
const failoverLogTimeout = 5 * time.Second

// hasPossibleSuccessor reports whether another controller may become leader in place of this one, whose own lease as
// the leader is not certain to be valid any more. This is assumed if no other controller responds, since the others may
// be healthy but unreachable, or if one of them reports that it follows the log. During a key-value store outage, all
// of them report that they do not follow the log. The method runs in the event loop.
func (ls *leadership) hasPossibleSuccessor() bool {
	return ls.forward.isIsolated() || ls.eligibility.hasWarmPeer()
}
