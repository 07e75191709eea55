package controller

import (
	"context"
	"errors"
	"time"

	"fieldhill/internal/replication/candidacy"
	"fieldhill/internal/replication/election"
	"fieldhill/internal/replication/oplog"
)

// leadership is how a controller follows the log, stands for election, and what it does from its election to the first
// decision and at the end of its term.
//
// Its methods run in the replication's goroutine (runReplication), which alone holds an own term from the election to
// its end, or in the loop, as each says. abstainUntil and loadFailing are that goroutine's; termState and replica are
// changed in the loop.
type leadership struct {
	*environment
	commits     *commitPipeline
	forward     *forwarder
	loop        *eventLoop
	replica     *replica
	term        *termState
	eligibility *eligibility
	components  termComponents

	abstainUntil time.Time // this controller does not stand for election until then
	loadFailing  bool      // the last load failed, which is logged once for an outage
}

// termComponents is the work of the other components that begins with a term. Leadership knows of them by this
// interface alone, since they in turn depend on it.
type termComponents interface {
	// newTerm makes the state of a term that was just won.
	newTerm(ctx context.Context, cancel context.CancelFunc, leader oplog.Leader) *leaderTerm
	// prepare makes what decisions need, before the term counts as begun. It runs in the loop.
	prepare(term *leaderTerm)
	// start begins to contact agents and relays. It runs in the loop, as the last step of beginning the term.
	start(term *leaderTerm)
	// ingest enters jobs that were accepted without a leader into the log. It runs in the loop.
	ingest(term *leaderTerm, jobs []oplog.Intake)
	// watchIntake ingests further such jobs, from the revision on, until the term ends.
	watchIntake(term *leaderTerm, revision uint64)
}

// newLeadership makes it for a controller that follows; whoever wires it sets components.
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

// leadershipTerm is leadership's state of one term. The loop owns it, but for the phases of the timeline up to
// LogRead, which are marked before the loop knows the term.
type leadershipTerm struct {
	reportGraceEnd time.Time          // agents that the last leader knew of send a heartbeat by then
	timeline       candidacy.Timeline // of the failover
	failoverLogged bool
}

const (
	// loadRetryPause, acquireRetryPause and followRetryPause are the pauses after failed calls of the key-value store.
	loadRetryPause    = 300 * time.Millisecond
	acquireRetryPause = 200 * time.Millisecond
	followRetryPause  = 250 * time.Millisecond
	// followPause lets news gather between two watches, so that they are applied together.
	followPause = 100 * time.Millisecond
)

// sleep waits for a while, or until the context ends.
func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

// runReplication keeps the replica up to date, and leads when elected, until the context ends.
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

// followOrLead serves a term if this controller wins one, and else waits for news of the log after a revision. inSync
// is false if the log has to be loaded anew; otherwise it returns the revision to go on from.
func (ls *leadership) followOrLead(ctx context.Context, revision uint64) (next uint64, inSync bool) {
	hasLeader := ls.findLeader(ctx)
	followDuration := followTimeout
	eligible, retryAfter := ls.eligibility.mayStand(hasLeader)
	if !hasLeader && !eligible {
		followDuration = retryAfter // a warm controller may win; if none does, this one has to
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

// findLeader tells whether there is a leader, as far as the log shows, after a stale lease of this controller's own is
// revoked.
func (ls *leadership) findLeader(ctx context.Context) bool {
	var leader *oplog.Leader
	ls.loop.postAndWait(func() { leader = ls.term.leader })
	if ls.revokeOwnStaleLease(ctx, leader) {
		leader = nil
		ls.loop.postAndWait(func() { ls.term.leader = nil })
	}
	return leader != nil
}

// follow waits for news of the log and applies them; its results are followOrLead's.
func (ls *leadership) follow(ctx context.Context, revision uint64, hold time.Duration) (next uint64, inSync bool) {
	sentAt := time.Now()
	update, err := ls.oplog.Follow(ctx, revision, hold)
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

// errHeartbeatsMissing ends the term of a leader that agents don't reach, while other controllers do: one of them
// leads better.
var errHeartbeatsMissing = errors.New("controller: heartbeats missing from most machines")

// abstainDuration is how long a controller leaves leadership to others after that. If none of them takes it, this one
// does again.
const abstainDuration = 10 * time.Second

// lead serves a term and logs why it ended.
func (ls *leadership) lead(ctx context.Context, won *election.Leadership) {
	err := ls.serveTerm(ctx, won)
	if err != nil && ctx.Err() == nil {
		ls.log.Info("leadership ended", "term", won.Term, "err", err)
	}
	if errors.Is(err, errHeartbeatsMissing) {
		ls.abstainUntil = time.Now().Add(abstainDuration)
		_ = ls.store.Revoke(ctx, won.Lease) // the lease expires by itself otherwise
	}
}

// revokeOwnStaleLease ends the lease of a leader that names this controller while this process does not lead, and
// tells whether it did: an earlier process led and is dead, or the transaction by which it, or this one, stood for
// election was carried out after nobody waited for it any more. The others would wait for three seconds. Only the
// replication's goroutine calls it, which holds a term of this process from its election to its end.
func (ls *leadership) revokeOwnStaleLease(ctx context.Context, leader *oplog.Leader) bool {
	if leader == nil || leader.Node != ls.settings.Node {
		return false
	}
	ls.log.Info("revoking stale own lease", "term", leader.Term)
	ls.eligibility.recordLeader()
	return ls.store.Revoke(ctx, leader.Lease) == nil
}

// logFailover logs once how long each phase of the failover took, when all have been reached or no more are waited
// for. It runs in the loop.
func (ls *leadership) logFailover(term *leaderTerm) {
	if term.leadership.failoverLogged ||
		!term.leadership.timeline.IsComplete() && time.Since(term.leadership.reportGraceEnd) < failoverLogTimeout {
		return
	}
	term.leadership.failoverLogged = true
	args := []any{"term", term.leader.Term}
	for p := range candidacy.PhaseCount {
		if after, came := term.leadership.timeline.ReachedAfter(p); came {
			args = append(args, p.String(), after)
			ls.metrics.ObserveFailover(p, after.Seconds())
		}
	}
	ls.log.Info("failover complete", args...)
}

// failoverLogTimeout is how long after reportGraceEnd a failover is logged though phases of it were not reached:
// nothing waited to be placed.
const failoverLogTimeout = 5 * time.Second

// hasPossibleSuccessor tells, at a leader whose lease can't be renewed, whether another controller may lead in its
// place: none responds, and they may be well all the same, or one says that it reads the log. Where it is the
// key-value store that is down, all say that they don't. It runs in the loop.
func (ls *leadership) hasPossibleSuccessor() bool {
	return ls.forward.isIsolated() || ls.eligibility.hasWarmPeer()
}
