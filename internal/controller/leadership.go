package controller

import (
	"context"
	"errors"
	"time"

	"fieldhill/internal/agents/relay"
	"fieldhill/internal/config"
	"fieldhill/internal/model"
	"fieldhill/internal/replication/candidacy"
	"fieldhill/internal/replication/election"
	"fieldhill/internal/replication/oplog"
	"fieldhill/internal/scheduling/autoscaler"
	"fieldhill/internal/scheduling/provisioner"
	"fieldhill/internal/scheduling/scheduler"
)

// leadership stands for election, takes a term over in its phases, serves it, and steps down.
type leadership struct {
	*environment
	commits      *commitPipeline
	forward      *forwarder
	intake       *intake
	loop         *eventLoop
	probes       *probes
	provisioning *provisioning
	replica      *replica
	rounds       *schedulingRounds
	assignments  *relayAssignments
	term         *termState

	eligibility *eligibility
}

// leadershipTerm is what leadership keeps for one term of leadership.
type leadershipTerm struct {
	reportGraceEnd time.Time
	timeline       candidacy.Timeline // of the takeover
	failoverLogged bool
}

// sleep waits for a while, or until the context ends.
func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

// runReplication keeps the replica up to date, and leads when elected.
func (ls *leadership) runReplication(ctx context.Context) {
	failing := false
	var abstainUntil time.Time // this node does not stand for election until then
	for ctx.Err() == nil {
		revision, err := ls.replica.load(ctx)
		if err != nil {
			if !failing { // once for an outage, not for every try
				ls.log.Warn("log read failed, retrying", "err", err)
			}
			failing = true
			sleep(ctx, 300*time.Millisecond)
			continue
		}
		failing = false
		for ctx.Err() == nil {
			var leader *oplog.Leader
			ls.loop.postAndWait(func() { leader = ls.term.leader })
			if ls.revokeOwnStaleLease(ctx, leader) {
				leader = nil
				ls.loop.postAndWait(func() { ls.term.leader = nil })
			}
			followDuration := followTimeout
			eligible, retryAfter := ls.eligibility.mayStand(leader != nil)
			if leader == nil && !eligible {
				followDuration = retryAfter // a warm one may take the lead; if none does, this one has to
			}
			if eligible && time.Now().After(abstainUntil) {
				won, err := election.Acquire(ctx, ls.store, ls.settings.Node, ls.log)
				if err == nil {
					err := ls.serveTerm(ctx, won)
					if err != nil && ctx.Err() == nil {
						ls.log.Info("leadership ended", "term", won.Term, "err", err)
					}
					if errors.Is(err, errHeartbeatsMissing) {
						abstainUntil = time.Now().Add(abstainDuration)
						_ = ls.store.Revoke(ctx, won.Lease) // it ends by itself otherwise
					}
					break // read everything anew
				}
				if !errors.Is(err, election.ErrTaken) {
					sleep(ctx, 200*time.Millisecond)
				}
			}
			sentAt := time.Now()
			update, err := ls.oplog.Follow(ctx, revision, followDuration)
			if err != nil {
				ls.log.Debug("log watch failed", "err", err)
				sleep(ctx, 250*time.Millisecond)
				break
			}
			revision = update.Revision
			ok := true
			ls.loop.postAndWait(func() { ok = ls.replica.applyUpdate(update, sentAt) })
			if !ok {
				break
			}
			if !update.LeaderChanged || update.Leader != nil {
				sleep(ctx, 100*time.Millisecond) // news come together, not one by one
			}
		}
	}
}

// errHeartbeatsMissing ends the term of a leader that the machines don't reach, while other
// controllers do: one of them leads better.
var errHeartbeatsMissing = errors.New("controller: heartbeats missing from most machines")

// abstainDuration is how long a node leaves the lead to others after that. If none of
// them takes it, this one does again.
const abstainDuration = 10 * time.Second

// revokeOwnStaleLease ends the lease of a lead that names this node while this process does not lead, and tells
// whether it did: an earlier process led and is dead, or the transaction by which it, or this one, asked for the lead
// was carried out after nobody waited for it any more. The others would wait for three seconds. Only the storage's
// goroutine calls it, in whose hands a lead of this process is from its election to its end.
func (ls *leadership) revokeOwnStaleLease(ctx context.Context, leader *oplog.Leader) bool {
	if leader == nil || leader.Node != ls.settings.Node {
		return false
	}
	ls.log.Info("revoking stale own lease", "term", leader.Term)
	ls.eligibility.recordLeader()
	return ls.store.Revoke(ctx, leader.Lease) == nil
}

// serveTerm leads until the lead is lost.
func (ls *leadership) serveTerm(ctx context.Context, won *election.Leadership) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	term := newLeaderTerm(ctx, cancel, won.Leader, ls.probes.maxZoneProbes)
	if since, vacant := ls.eligibility.vacantSince(); vacant {
		term.leadership.timeline.Mark(candidacy.LeaderLost, since)
	}
	term.leadership.timeline.Mark(candidacy.Elected, ls.now())
	ls.term.extendTrust(term, won.TrustedUntil)
	errs := make(chan error, 4)
	term.errs = errs
	go func() {
		errs <- election.RenewUntilLost(ctx, ls.store, won, func(until time.Time) {
			ls.loop.post(func() {
				if term.handingOver {
					return
				}
				ls.term.extendTrust(term, until)
				if ls.term.ownTerm == term {
					ls.replica.caughtUpAt = until.Add(-election.TrustPeriod)
				}
			})
		})
	}()
	defer ls.loop.postAndWait(func() { ls.stepDown(term) })
	var afterSeq uint64
	ls.loop.postAndWait(func() { afterSeq = ls.replica.appliedSeq })
	var batches []oplog.Batch
	var intakeJobs []oplog.Intake
	var revision uint64
	err := retryRead(ctx, errs, func() (err error) { batches, err = ls.oplog.BatchesAfter(ctx, afterSeq); return err })
	if err != nil {
		return err
	}
	term.leadership.timeline.Mark(candidacy.LogRead, ls.now())
	// Before anything is answered the leader knows every job that was accepted
	// without one.
	if err := retryRead(
		ctx,
		errs,
		func() (err error) { intakeJobs, revision, err = ls.oplog.ListIntake(ctx); return err },
	); err != nil {
		return err
	}
	ls.loop.postAndWait(func() {
		for _, b := range batches {
			if err = ls.replica.applyBatch(b); err != nil {
				return
			}
		}
		ls.beginTerm(term)
		ls.intake.ingest(term, intakeJobs)
	})
	if err != nil {
		return err
	}
	go ls.intake.watch(term, revision)
	go func() {
		for {
			select {
			case <-ctx.Done():
				return
			case b := <-term.commits.batches:
				if err := ls.oplog.Append(ctx, &term.leader, b); err != nil {
					errs <- err
					return
				}
				ls.loop.post(func() { ls.commits.onCommitted(term, b.Seq) })
			}
		}
	}()
	go func() {
		compactor := ls.oplog.NewCompactor(term.leader.Fence())
		// What earlier terms left uncompacted counts too, or a log whose leaders change often
		// would grow without bound.
		if seq, err := compactor.SnapshotSeq(ctx); err == nil {
			ls.loop.post(func() { term.commits.batchesSinceSnapshot = int(term.commits.committedSeq - seq) })
		}
		for {
			select {
			case <-ctx.Done():
				return
			case s := <-term.commits.snapshots:
				switch err := compactor.Compact(ctx, s.seq, s.data); {
				case errors.Is(err, oplog.ErrDeposed):
					errs <- err
					return
				case err != nil && ctx.Err() == nil:
					ls.log.Warn("log compaction failed, previous snapshot kept", "seq", s.seq, "bytes", len(s.data),
						"err", err)
				default:
					ls.log.Debug("log compacted", "seq", s.seq, "bytes", len(s.data), "err", err)
				}
			}
		}
	}()
	return <-errs
}

// retryRead repeats a read until it works, the lead is lost, or the context ends.
func retryRead(ctx context.Context, lost <-chan error, read func() error) error {
	for {
		if read() == nil {
			return nil
		}
		select {
		case err := <-lost:
			return err
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(100 * time.Millisecond):
		}
	}
}

func (ls *leadership) beginTerm(term *leaderTerm) {
	ls.term.ownTerm = term
	ls.term.leader = &term.leader
	term.commits.committedSeq = ls.replica.appliedSeq
	term.commits.batchesSinceSnapshot = 0
	ls.replica.model.BeginTerm(term.leader.Term<<machineTokenBits, ls.now())
	ls.rounds.scheduler = scheduler.New(
		scheduler.Params{
			Beta:       ls.options.Beta,
			Threshold:  ls.options.Threshold,
			WaitRounds: ls.options.WaitRounds,
			Objectives: ls.settings.Params.Objectives,
		},
	)
	ls.provisioning.autoscaler = autoscaler.New(ls.settings.Params.Objectives)
	term.provisioning.provisioner = ls.provisioning.newProvisioner(
		term.ctx,
		func() bool { return ls.now() < model.Time(term.trustedUntilOffset.Load()) },
		func(o provisioner.Result) {
			if ls.term.ownTerm == term {
				ls.provisioning.onProvisionerResult(term, &o)
			}
		},
	)
	// Machines that worked for the last leader report within this time.
	term.leadership.reportGraceEnd = time.Now().Add(config.Seconds(ls.settings.Params.Workers.HeartbeatS * 1.25))
	term.leadership.timeline.Mark(candidacy.Leading, ls.now())
	ls.loop.roundRequested = true
	term.heartbeats.lastHeartbeat, term.rounds.lowPriorityLimit = ls.now(), maxLowPerRound
	nodeCount := len(ls.settings.Members) + 1
	term.assignments.table, term.assignments.acceptingNodes, term.assignments.lastRelayOffers = relay.NewTable(
		nodeCount,
	), make(
		[]bool,
		nodeCount,
	), make(
		[]model.Time,
		nodeCount,
	)
	ls.assignments.maintainAssignments(term)
	ls.probes.probeAll()
	ls.metrics.Terms.Inc()
	ls.log.Info("leader elected", "term", term.leader.Term, "seq", ls.replica.appliedSeq,
		"jobs", len(ls.replica.model.Jobs), "machines", len(ls.replica.model.Order))
}

func (ls *leadership) stepDown(term *leaderTerm) {
	term.cancel()
	if ls.term.ownTerm != term {
		return
	}
	ls.replica.reset()
	ls.term.leader = nil
	for _, w := range term.commits.commitWaiters {
		w.onResult(false)
	}
	term.commits.commitWaiters = nil
}

// logFailover tells once how long each part of the takeover took, when all have come or no more are waited for.
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

// failoverLogTimeout is how long after the time for all machines a takeover is told of, though parts of it did not
// come: nothing waited for a place.
const failoverLogTimeout = 5 * time.Second

// hasPossibleSuccessor tells, at a leader whose lead can't be renewed, whether another node may lead in its place:
// none is heard of, which they may be well all the same, or one says that it reads the log. Where it is the state
// service that is down, all say that they don't.
func (ls *leadership) hasPossibleSuccessor() bool {
	return ls.forward.isIsolated() || ls.eligibility.hasWarmPeer()
}
