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

// termReadPause is the pause before a read that a new leader needs is repeated.
const termReadPause = 100 * time.Millisecond

// serveTerm leads until leadership is lost or resigned, and returns why. Its phases are: renew the lease from now on;
// read what the log and the intake have beyond the replica; begin the term in the loop; write batches and compact the
// log until something ends the term. All goroutines that it starts have ended when it returns.
func (ls *leadership) serveTerm(ctx context.Context, won *election.Leadership) error {
	ctx, cancel := context.WithCancel(ctx)
	term := ls.components.newTerm(ctx, cancel, won.Leader)
	if since, vacant := ls.eligibility.vacantSince(); vacant {
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

// renewLease renews the leader's lease, and with each renewal the trust in it, until it is lost or the context ends;
// it returns which.
func (ls *leadership) renewLease(ctx context.Context, term *leaderTerm, won *election.Leadership) error {
	return election.RenewUntilLost(ctx, ls.store, won, func(until time.Time) {
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
}

// missingState is what a new leader lacks of the committed state.
type missingState struct {
	batches        []oplog.Batch
	intake         []oplog.Intake // jobs accepted without a leader
	intakeRevision uint64         // from which to watch for more
}

// readMissing reads what the log and the intake have beyond the replica. Before anything is answered the leader knows
// every job that was accepted without one.
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

// retryRead repeats a read until it works, the term ends with an error, or the context ends.
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

// beginTerm makes this controller the leader. It runs in the loop, when the replica has all that is committed.
func (ls *leadership) beginTerm(term *leaderTerm) {
	ls.term.ownTerm = term
	ls.term.leader = &term.leader
	term.commits.committedSeq = ls.replica.appliedSeq
	term.commits.batchesSinceSnapshot = 0
	ls.replica.model.BeginTerm(term.leader.Term<<machineTokenBits, ls.now())
	ls.components.prepare(term)
	// Machines that worked for the last leader report within this time.
	term.leadership.reportGraceEnd = time.Now().Add(config.Seconds(ls.settings.Params.Workers.HeartbeatS * 1.25))
	term.leadership.timeline.Mark(candidacy.Leading, ls.now())
	ls.loop.requestRound()
	ls.components.start(term)
	ls.metrics.Terms.Inc()
	ls.log.Info("leader elected", "term", term.leader.Term, "seq", ls.replica.appliedSeq,
		"jobs", len(ls.replica.model.Jobs), "machines", len(ls.replica.model.Order))
}

// stepDown ends a term in the loop. The replica's copy holds entries that may never be committed, so it is dropped.
func (ls *leadership) stepDown(term *leaderTerm) {
	term.cancel()
	if ls.term.ownTerm != term {
		return
	}
	ls.replica.reset()
	ls.term.leader = nil
	term.commits.failWaiters()
}

// writeBatches appends the term's batches to the log, one at a time. An append that fails ends the term.
func (ls *leadership) writeBatches(ctx context.Context, term *leaderTerm) {
	for {
		select {
		case <-ctx.Done():
			return
		case batch := <-term.commits.batches:
			if err := ls.oplog.Append(ctx, &term.leader, batch); err != nil {
				term.errs <- err
				return
			}
			ls.loop.post(func() { ls.commits.onCommitted(term, batch.Seq) })
		}
	}
}

// compactLog replaces the log's beginning by the term's snapshots. One that fails leaves the previous snapshot in
// force; only being deposed ends the term.
func (ls *leadership) compactLog(ctx context.Context, term *leaderTerm) {
	compactor := ls.oplog.NewCompactor(term.leader.Fence())
	// What earlier terms left uncompacted counts too, or a log whose leaders change often would grow without bound.
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
