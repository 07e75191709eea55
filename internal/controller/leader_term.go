package controller

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"fieldhill/internal/config"
	"fieldhill/internal/replication/candidacy"
	"fieldhill/internal/replication/election"
	"fieldhill/internal/replication/oplog"
)

// termReadPause is the pause before a new leader retries a failed read.
const termReadPause = 100 * time.Millisecond

// serveTerm leads until leadership is lost or resigned, and returns the reason. It first starts to renew the leader's
// lease, then reads the batches and intake records that the replica lacks, begins the term in the event loop, and then
// writes batches and compacts the log until the term ends. All goroutines that it starts have ended when it returns.
func (ls *leadership) serveTerm(ctx context.Context, won *election.Leadership) error {
	ctx, cancel := context.WithCancel(ctx)
	term := ls.components.newTerm(ctx, cancel, won.Leader)
	if since, leaderless := ls.eligibility.leaderlessSince(); leaderless {
		term.leadership.timeline.Mark(candidacy.LeaderLost, since)
	}
	term.leadership.timeline.Mark(candidacy.Elected, ls.now())
	ls.term.extendTrust(term, won.TrustedUntil)
	var tasks sync.WaitGroup
	defer func() {
		ls.loop.postAndWait(func() { ls.stepDown(term) })
		cancel()
		tasks.Wait()
	}()
	tasks.Go(func() { term.errs <- ls.renewLease(ctx, term, won) })

	missing, err := ls.readMissing(ctx, term)
	if err != nil {
		return err
	}
	ls.loop.postAndWait(func() {
		if err = ls.replica.applyBatches(missing.batches); err != nil {
			return
		}
		ls.beginTerm(term)
		ls.components.ingest(term, missing.intake)
	})
	if err != nil {
		return err
	}
	tasks.Go(func() { ls.components.watchIntake(term, missing.intakeRevision) })
	tasks.Go(func() { ls.writeBatches(ctx, term) })
	tasks.Go(func() { ls.compactLog(ctx, term) })
	return <-term.errs
}

// maxLeaderStall is how long the event loop of a leader may stand still before the leader gives up its lease: with the
// lease and an election, less than the leases of agents, so that the next leader renews these in time.
const maxLeaderStall = 8 * time.Second

// renewLease renews the leader's lease, and extends the term's trust period with each renewal, until the lease is lost,
// the event loop stands still or the context ends. It returns the reason.
func (ls *leadership) renewLease(ctx context.Context, term *leaderTerm, won *election.Leadership) error {
	inProgress := func() bool { return ls.loop.sinceMaintenance() <= maxLeaderStall }
	err := election.RenewUntilLost(ctx, ls.store, won, inProgress, func(until time.Time) {
		ls.loop.post(func() {
			if term.resigned {
				return
			}
			ls.term.extendTrust(term, until)
			if ls.term.ownTerm == term {
				ls.replica.caughtUpAt = until.Add(-election.TrustPeriod)
			}
		})
	})
	if errors.Is(err, election.ErrStalled) {
		ls.log.Warn("leadership resigned, event loop stalled", "term", won.Term)
	}
	return err
}

// missingState is the committed state that a new leader's replica lacks.
type missingState struct {
	batches        []oplog.Batch
	intake         []oplog.Intake // jobs that other controllers accepted without a leader
	intakeRevision uint64         // revision from which to watch the intake
}

// readMissing reads the batches and intake records that the replica lacks, so that the leader knows every job that was
// accepted without a leader before it answers any request.
func (ls *leadership) readMissing(ctx context.Context, term *leaderTerm) (*missingState, error) {
	var afterSeq uint64
	ls.loop.postAndWait(func() { afterSeq = ls.replica.appliedSeq })
	missing := &missingState{}
	err := retryRead(ctx, term.errs, func() (err error) {
		missing.batches, err = ls.oplog.BatchesAfter(ctx, afterSeq)
		return err
	})
	if err != nil {
		return nil, fmt.Errorf("controller: read log after batch %d: %w", afterSeq, err)
	}
	term.leadership.timeline.Mark(candidacy.LogRead, ls.now())
	err = retryRead(ctx, term.errs, func() (err error) {
		missing.intake, missing.intakeRevision, err = ls.oplog.ListIntake(ctx)
		return err
	})
	if err != nil {
		return nil, fmt.Errorf("controller: list intake: %w", err)
	}
	return missing, nil
}

// retryRead repeats a read until it succeeds, the term ends with an error, or the context ends.
func retryRead(ctx context.Context, ended <-chan error, read func() error) error {
	for {
		if read() == nil {
			return nil
		}
		select {
		case err := <-ended:
			return err
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(termReadPause):
		}
	}
}

// beginTerm makes this controller the leader. It runs in the event loop, once the replica has applied all committed
// batches.
func (ls *leadership) beginTerm(term *leaderTerm) {
	ls.term.ownTerm = term
	ls.term.leader = &term.leader
	term.commits.committedSeq = ls.replica.appliedSeq
	term.commits.batchesSinceSnapshot = 0
	ls.replica.model.BeginTerm(term.leader.Term<<machineTokenBits, ls.now())
	ls.components.prepare(term)
	// The grace period is the longest interval between two heartbeats: by its end, every agent that was known to the
	// previous leader should have sent a heartbeat.
	term.leadership.reportGraceEnd = time.Now().Add(config.Seconds(ls.settings.Params.Workers.HeartbeatS * 1.25))
	term.leadership.timeline.Mark(candidacy.Leading, ls.now())
	ls.loop.requestRound()
	ls.components.start(term)
	ls.metrics.Terms.Inc()
	ls.log.Info("leader elected", "term", term.leader.Term, "token", ls.replica.model.MinToken,
		"seq", ls.replica.appliedSeq, "jobs", len(ls.replica.model.Jobs),
		"machines", len(ls.replica.model.MachinesInOrder))
}

// stepDown ends a term in the event loop. It resets the replica, whose model contains entries that may never be
// committed.
func (ls *leadership) stepDown(term *leaderTerm) {
	term.cancel()
	if ls.term.ownTerm != term {
		return
	}
	ls.replica.reset()
	ls.term.leader = nil
	term.commits.failWaiters()
}

// writeBatches appends the term's batches to the log, one at a time. A failed append ends the term.
func (ls *leadership) writeBatches(ctx context.Context, term *leaderTerm) {
	for {
		select {
		case <-ctx.Done():
			return
		case batch := <-term.commits.batches:
			recorded, err := ls.oplog.Append(ctx, &term.leader, batch)
			if err != nil {
				term.errs <- err
				return
			}
			committed := committedBatch{newJobs: batch.NewJobs, recorded: recorded}
			ls.loop.post(func() { ls.commits.onCommitted(term, batch.Seq, committed) })
		}
	}
}

// compactLog replaces the beginning of the log by the term's snapshots. After a failed compaction the previous snapshot
// stays valid; the term ends only if the failure shows that this controller no longer leads.
func (ls *leadership) compactLog(ctx context.Context, term *leaderTerm) {
	compactor := ls.oplog.NewCompactor(term.leader.Fence())
	// Batches that earlier terms left uncompacted are counted too; otherwise the log would grow without bound if
	// leaders change often.
	if seq, err := compactor.SnapshotSeq(ctx); err == nil {
		ls.loop.post(func() { term.commits.batchesSinceSnapshot = int(term.commits.committedSeq - seq) })
	}
	for {
		select {
		case <-ctx.Done():
			return
		case snap := <-term.commits.snapshots:
			switch err := compactor.Compact(ctx, snap.seq, snap.data); {
			case errors.Is(err, oplog.ErrDeposed):
				term.errs <- err
				return
			case err != nil && ctx.Err() == nil:
				ls.log.Warn("log compaction failed, previous snapshot kept", "seq", snap.seq, "bytes", len(snap.data),
					"err", err)
			default:
				ls.log.Debug("log compacted", "seq", snap.seq, "bytes", len(snap.data), "err", err)
			}
		}
	}
}
