package controller

import (
	"context"
	"errors"
	"sync/atomic"
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

// This file is the takeover: how a node follows the log, stands for election, and what it does from its election to the
// first decision and at the end of its lead.

// runReplication keeps the replica up to date, and leads when elected.
func (n *Controller) runReplication(ctx context.Context) {
	failing := false
	var abstainUntil time.Time // this node does not stand for election until then
	for ctx.Err() == nil {
		revision, err := n.load(ctx)
		if err != nil {
			if !failing { // once for an outage, not for every try
				n.log.Warn("log read failed, retrying", "err", err)
			}
			failing = true
			sleep(ctx, 300*time.Millisecond)
			continue
		}
		failing = false
		for ctx.Err() == nil {
			var leader *oplog.Leader
			n.postAndWait(func() { leader = n.leader })
			if n.revokeOwnStaleLease(ctx, leader) {
				leader = nil
				n.postAndWait(func() { n.leader = nil })
			}
			followDuration := followTimeout
			eligible, retryAfter := n.eligibility.mayStand(leader != nil)
			if leader == nil && !eligible {
				followDuration = retryAfter // a warm one may take the lead; if none does, this one has to
			}
			if eligible && time.Now().After(abstainUntil) {
				won, err := election.Acquire(ctx, n.store, n.settings.Node, n.log)
				if err == nil {
					err := n.serveTerm(ctx, won)
					if err != nil && ctx.Err() == nil {
						n.log.Info("leadership ended", "term", won.Term, "err", err)
					}
					if errors.Is(err, errHeartbeatsMissing) {
						abstainUntil = time.Now().Add(abstainDuration)
						_ = n.store.Revoke(ctx, won.Lease) // it ends by itself otherwise
					}
					break // read everything anew
				}
				if !errors.Is(err, election.ErrTaken) {
					sleep(ctx, 200*time.Millisecond)
				}
			}
			sentAt := time.Now()
			update, err := n.oplog.Follow(ctx, revision, followDuration)
			if err != nil {
				n.log.Debug("log watch failed", "err", err)
				sleep(ctx, 250*time.Millisecond)
				break
			}
			revision = update.Revision
			ok := true
			n.postAndWait(func() { ok = n.applyUpdate(update, sentAt) })
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

// revokeOwnStaleLease ends the lease of a lead that names this node while this process does not lead, and tells whether it did: an
// earlier process led and is dead, or the transaction by which it, or this one, asked for the lead was carried out after
// nobody waited for it any more. The others would wait for three seconds. Only the storage's goroutine calls it, in whose
// hands a lead of this process is from its election to its end.
func (n *Controller) revokeOwnStaleLease(ctx context.Context, leader *oplog.Leader) bool {
	if leader == nil || leader.Node != n.settings.Node {
		return false
	}
	n.log.Info("revoking stale own lease", "term", leader.Term)
	n.eligibility.recordLeader()
	return n.store.Revoke(ctx, leader.Lease) == nil
}

// load reads the log and replaces the replica.
func (n *Controller) load(ctx context.Context) (revision uint64, err error) {
	sentAt := time.Now()
	loaded, err := n.oplog.Load(ctx)
	if err != nil {
		return 0, err
	}
	if n.revokeOwnStaleLease(ctx, loaded.Leader) {
		loaded.Leader = nil
	}
	lastSeq := loaded.SnapshotSeq + uint64(len(loaded.Batches))
	n.postAndWait(func() {
		// A request may have read the log's end after this load did. The replica
		// must not go back, or that request is given an older answer.
		if n.loaded && n.appliedSeq >= lastSeq {
			n.leader, n.lastStoreContact = loaded.Leader, time.Now()
			return
		}
		n.reset()
		now := n.now()
		if loaded.SnapshotSeq > 0 {
			if err = n.model.Restore(loaded.Snapshot, loaded.SnapshotSeq, now); err != nil {
				return
			}
		}
		n.appliedSeq = loaded.SnapshotSeq
		n.watermarks.Observe(loaded.SnapshotSeq)
		for _, b := range loaded.Batches {
			if err = n.applyBatch(b); err != nil {
				return
			}
		}
		n.leader, n.caughtUpAt, n.lastStoreContact, n.loaded = loaded.Leader, sentAt, time.Now(), true
		n.log.Info("replica loaded", "batches", len(loaded.Batches), "snapshot_seq", loaded.SnapshotSeq, "jobs", len(n.model.Jobs), "machines", len(n.model.Order))
	})
	return loaded.Revision, err
}

// serveTerm leads until the lead is lost.
func (n *Controller) serveTerm(ctx context.Context, won *election.Leadership) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	term := &leaderTerm{
		leader: won.Leader, batches: make(chan oplog.Batch, 1), snapshots: make(chan snapshot, 1),
		orders: map[string]provisioner.ScaleOut{}, cancel: cancel, ctx: ctx, dirtyMachines: map[*model.Machine]bool{},
		dirtyAfterCommit: map[*model.Machine]bool{}, zonePartitionedUntil: map[int32]model.Time{}, partitionedNodes: map[string]*partitionedNode{},
		dropping: map[uint64]bool{}, maxZoneProbes: n.maxZoneProbes, unresponsive: map[*model.Machine]bool{},
		zoneProbes: map[int32]*zoneProbeCounts{}, unknownMachines: map[string]bool{},
	}
	if since, vacant := n.eligibility.vacantSince(); vacant {
		term.timeline.Mark(candidacy.LeaderLost, since)
	}
	term.timeline.Mark(candidacy.Elected, n.now())
	n.extendTrust(term, won.TrustedUntil)
	errs := make(chan error, 4)
	term.errs = errs
	go func() {
		errs <- election.RenewUntilLost(ctx, n.store, won, func(until time.Time) {
			n.post(func() {
				if term.handingOver {
					return
				}
				n.extendTrust(term, until)
				if n.ownTerm == term {
					n.caughtUpAt = until.Add(-election.TrustPeriod)
				}
			})
		})
	}()
	defer n.postAndWait(func() { n.stepDown(term) })
	var afterSeq uint64
	n.postAndWait(func() { afterSeq = n.appliedSeq })
	var batches []oplog.Batch
	var intakeJobs []oplog.Intake
	var revision uint64
	err := retryRead(ctx, errs, func() (err error) { batches, err = n.oplog.BatchesAfter(ctx, afterSeq); return err })
	if err != nil {
		return err
	}
	term.timeline.Mark(candidacy.LogRead, n.now())
	// Before anything is answered the leader knows every job that was accepted
	// without one.
	if err := retryRead(ctx, errs, func() (err error) { intakeJobs, revision, err = n.oplog.ListIntake(ctx); return err }); err != nil {
		return err
	}
	n.postAndWait(func() {
		for _, b := range batches {
			if err = n.applyBatch(b); err != nil {
				return
			}
		}
		n.beginTerm(term)
		n.ingest(term, intakeJobs)
	})
	if err != nil {
		return err
	}
	go n.watch(term, revision)
	go func() {
		for {
			select {
			case <-ctx.Done():
				return
			case b := <-term.batches:
				if err := n.oplog.Append(ctx, &term.leader, b); err != nil {
					errs <- err
					return
				}
				n.post(func() { n.onCommitted(term, b.Seq) })
			}
		}
	}()
	go func() {
		compactor := n.oplog.NewCompactor(term.leader.Fence())
		// What earlier terms left uncompacted counts too, or a log whose leaders change often
		// would grow without bound.
		if seq, err := compactor.SnapshotSeq(ctx); err == nil {
			n.post(func() { term.batchesSinceSnapshot = int(term.committedSeq - seq) })
		}
		for {
			select {
			case <-ctx.Done():
				return
			case s := <-term.snapshots:
				switch err := compactor.Compact(ctx, s.seq, s.data); {
				case errors.Is(err, oplog.ErrDeposed):
					errs <- err
					return
				case err != nil && ctx.Err() == nil:
					n.log.Warn("log compaction failed, previous snapshot kept", "seq", s.seq, "bytes", len(s.data), "err", err)
				default:
					n.log.Debug("log compacted", "seq", s.seq, "bytes", len(s.data), "err", err)
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

func (n *Controller) beginTerm(term *leaderTerm) {
	n.ownTerm = term
	n.leader = &term.leader
	term.committedSeq = n.appliedSeq
	term.batchesSinceSnapshot = 0
	n.model.BeginTerm(term.leader.Term<<machineTokenBits, n.now())
	n.scheduler = scheduler.New(scheduler.Params{Beta: n.options.Beta, Threshold: n.options.Threshold, WaitRounds: n.options.WaitRounds, Objectives: n.settings.Params.Objectives})
	n.autoscaler = autoscaler.New(n.settings.Params.Objectives)
	term.provisioner = n.newProvisioner(term.ctx, func() bool { return n.now() < model.Time(term.trustedUntilOffset.Load()) }, func(o provisioner.Result) {
		if n.ownTerm == term {
			n.onProvisionerResult(term, &o)
		}
	})
	// Machines that worked for the last leader report within this time.
	term.reportGraceEnd = time.Now().Add(config.Seconds(n.settings.Params.Workers.HeartbeatS * 1.25))
	term.timeline.Mark(candidacy.Leading, n.now())
	n.roundRequested = true
	term.lastHeartbeat, term.lowPriorityLimit = n.now(), maxLowPerRound
	nodeCount := len(n.settings.Members) + 1
	term.relayAssignments, term.acceptingNodes, term.lastRelayOffers = relay.NewTable(nodeCount), make([]bool, nodeCount), make([]model.Time, nodeCount)
	n.maintainAssignments(term)
	n.probeAll()
	n.metrics.Terms.Inc()
	n.log.Info("leader elected", "term", term.leader.Term, "seq", n.appliedSeq, "jobs", len(n.model.Jobs), "machines", len(n.model.Order))
}

func (n *Controller) stepDown(term *leaderTerm) {
	term.cancel()
	if n.ownTerm != term {
		return
	}
	n.reset()
	n.leader = nil
	for _, w := range term.commitWaiters {
		w.onResult(false)
	}
	term.commitWaiters = nil
}

// allMachinesReported tells whether every machine with work has reported to this leader, or was asked
// in vain: it hangs, is gone or can't be reached, gets nothing new, and what it holds counts
// as placed all the same. Among a thousand machines there is always one, and for it a new
// leader placed nothing for a whole report period.
func (n *Controller) allMachinesReported() bool {
	for _, machine := range n.model.Order {
		if !machine.Reported && len(machine.Runs) > 0 && !machine.Suspect && !n.ownTerm.unresponsive[machine] && !n.ownTerm.zoneProbe(machine.Zone).silent.Load() {
			return false
		}
	}
	return len(n.model.Order) > 0
}

// zoneProbeCounts is what came of asking the machines of a zone, and of their reports, in this term.
type zoneProbeCounts struct {
	answered, unanswered int
	silent               atomic.Bool // some were asked in vain, and none was heard of
	slots                slots       // silent machines that are being asked
}

// silentZoneThreshold is after how many machines of a zone that were asked in vain, while none was heard of, the rest of it is not waited for: it is cut off, most
// likely, and a third of a large fleet took ten seconds to be asked, while answers of other zones waited behind it.
const silentZoneThreshold = 5

func (r *leaderTerm) zoneProbe(zone int32) *zoneProbeCounts {
	z := r.zoneProbes[zone]
	if z == nil {
		z = &zoneProbeCounts{slots: make(slots, r.maxZoneProbes)}
		r.zoneProbes[zone] = z
	}
	return z
}

// recordProbe counts a machine of a zone that was heard of, or asked in vain. Where nothing is heard of other zones either, it
// may be this node that is late.
func (r *leaderTerm) recordProbe(counts *zoneProbeCounts, answered bool) {
	if answered {
		counts.answered++
		r.heartbeatCount++
	} else {
		counts.unanswered++
	}
	counts.silent.Store(counts.answered == 0 && counts.unanswered >= silentZoneThreshold && r.heartbeatCount >= silentZoneThreshold)
}

// probeAll asks all machines with work how they are. A new leader places nothing
// before it has heard of them, and many of their workers take a report period and
// longer to find it.
func (n *Controller) probeAll() {
	for _, machine := range n.model.Order {
		if len(machine.Runs) > 0 && !machine.Suspect {
			n.probeSilent(machine, true)
		}
	}
}

// logFailover tells once how long each part of the takeover took, when all have come or no more are waited for.
func (n *Controller) logFailover(term *leaderTerm) {
	if term.failoverLogged || !term.timeline.IsComplete() && time.Since(term.reportGraceEnd) < failoverLogTimeout {
		return
	}
	term.failoverLogged = true
	args := []any{"term", term.leader.Term}
	for p := range candidacy.PhaseCount {
		if after, came := term.timeline.ReachedAfter(p); came {
			args = append(args, p.String(), after)
			n.metrics.ObserveFailover(p, after.Seconds())
		}
	}
	n.log.Info("failover complete", args...)
}

// failoverLogTimeout is how long after the time for all machines a takeover is told of, though parts of it did not come:
// nothing waited for a place.
const failoverLogTimeout = 5 * time.Second
