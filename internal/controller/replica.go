package controller

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"fieldhill/internal/codec"
	"fieldhill/internal/model"
	"fieldhill/internal/replication/commitfence"
	"fieldhill/internal/replication/oplog"
)

// replica keeps this controller's copy of the log up to date: loads, applies, follows, and reads up to the end for a
// request.
type replica struct {
	*environment
	keepalives *followerKeepalives
	leadership *leadership
	loop       *eventLoop
	term       *termState

	// Owned by the loop.
	model            *model.Model
	loaded           bool
	appliedSeq       uint64                 // last batch applied (follower) or committed (leader)
	caughtUpAt       time.Time              // the replica was complete then
	lastStoreContact time.Time              // the state service answered a watch, or the load, then
	watermarks       commitfence.Watermarks // what this process has ever seen of the log
	generation       int                    // how often the copy was thrown away
	catchUpMu        sync.Mutex
	catchUpRead      *catchUpRead
}

func (rp *replica) reset() {
	rp.model = model.New(&rp.settings.Params)
	rp.appliedSeq, rp.loaded, rp.term.ownTerm = 0, false, nil
	// machines' numbers are the log's, but those that are gone need not be kept
	rp.keepalives.clearedMachines = clearedMachines{}
	rp.generation++
}

// isStoreReachable tells whether a follower is in touch with the state service. What its replica is surely complete
// up to is no measure of that: where nothing happens it lags by two watches, the one that is under way and the one
// before.
func (rp *replica) isStoreReachable() bool {
	return rp.loaded && time.Since(rp.lastStoreContact) < followTimeout+linkFreshness
}

// applyBatch applies a batch that others committed. One that is known already is
// passed over.
func (rp *replica) applyBatch(batch oplog.Batch) error {
	if batch.Seq <= rp.appliedSeq {
		return nil
	}
	if batch.Seq != rp.appliedSeq+1 {
		return fmt.Errorf("batch %d follows %d", batch.Seq, rp.appliedSeq)
	}
	reader := &codec.Reader{Data: batch.Data}
	for len(reader.Data) > 0 {
		entry, err := model.ReadEntry(reader)
		if err != nil {
			return err
		}
		if j := rp.model.Jobs[entry.Job]; entry.Kind == model.EntryCancel && rp.loaded && j != nil {
			j.Observed.CancelledFrom = rp.caughtUpAt.Sub(rp.startTime) // it was complete then, without this
		}
		if err := rp.model.Apply(entry, batch.Seq, rp.now()); err != nil {
			rp.log.Error("log entry apply failed", "seq", batch.Seq, "err", err)
		}
	}
	rp.appliedSeq = batch.Seq
	rp.watermarks.Observe(batch.Seq)
	rp.model.ForgetCommitted(batch.Seq)
	return nil
}

// applyUpdate takes in what a watch saw.
func (rp *replica) applyUpdate(update *oplog.Update, sentAt time.Time) bool {
	for _, b := range update.Batches {
		if err := rp.applyBatch(b); err != nil {
			rp.log.Warn("replica out of sync, reloading", "err", err)
			rp.loaded = false
			return false
		}
	}
	if update.LeaderChanged {
		rp.term.leader = update.Leader
	}
	rp.caughtUpAt, rp.lastStoreContact = sentAt, time.Now()
	return true
}

// load reads the log and replaces the replica.
func (rp *replica) load(ctx context.Context) (revision uint64, err error) {
	sentAt := time.Now()
	loaded, err := rp.oplog.Load(ctx)
	if err != nil {
		return 0, err
	}
	if rp.leadership.revokeOwnStaleLease(ctx, loaded.Leader) {
		loaded.Leader = nil
	}
	lastSeq := loaded.SnapshotSeq + uint64(len(loaded.Batches))
	rp.loop.postAndWait(func() {
		// A request may have read the log's end after this load did. The replica
		// must not go back, or that request is given an older answer.
		if rp.loaded && rp.appliedSeq >= lastSeq {
			rp.term.leader, rp.lastStoreContact = loaded.Leader, time.Now()
			return
		}
		rp.reset()
		now := rp.now()
		if loaded.SnapshotSeq > 0 {
			if err = rp.model.Restore(loaded.Snapshot, loaded.SnapshotSeq, now); err != nil {
				return
			}
		}
		rp.appliedSeq = loaded.SnapshotSeq
		rp.watermarks.Observe(loaded.SnapshotSeq)
		for _, b := range loaded.Batches {
			if err = rp.applyBatch(b); err != nil {
				return
			}
		}
		rp.term.leader, rp.caughtUpAt, rp.lastStoreContact, rp.loaded = loaded.Leader, sentAt, time.Now(), true
		rp.log.Info("replica loaded", "batches", len(loaded.Batches), "snapshot_seq", loaded.SnapshotSeq,
			"jobs", len(rp.model.Jobs), "machines", len(rp.model.Order))
	})
	return loaded.Revision, err
}

// catchUp reads the log's end. Requests that come while a read is under way
// share the next one, because that one begins after they came.
func (rp *replica) catchUp(ctx context.Context) error {
	for turn := 0; ; turn++ {
		rp.catchUpMu.Lock()
		read := rp.catchUpRead
		if read == nil {
			read = &catchUpRead{done: make(chan struct{})}
			rp.catchUpRead = read
			rp.catchUpMu.Unlock()
			// Others wait for this read too, so it does not end with this request.
			read.err = rp.store.ForUser(rp.ctx, responseTimeout, rp.readLogEnd)
			rp.catchUpMu.Lock()
			rp.catchUpRead = nil
			rp.catchUpMu.Unlock()
			close(read.done)
			return read.err
		}
		rp.catchUpMu.Unlock()
		select {
		case <-read.done:
		case <-ctx.Done():
			return ctx.Err()
		}
		if turn > 0 { // it began after the request came
			return read.err
		}
	}
}

// catchUpRead is a read of the log's end that is under way.
type catchUpRead struct {
	done chan struct{}
	err  error
}

var errNotLoaded = errors.New("controller: the log is not read yet")

func (rp *replica) readLogEnd(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, 1500*time.Millisecond)
	defer cancel()
	var appliedSeq uint64
	var ok bool
	rp.loop.postAndWait(func() { appliedSeq, ok = rp.appliedSeq, rp.loaded && rp.term.ownTerm == nil })
	if !ok {
		return errNotLoaded
	}
	batches, err := rp.oplog.BatchesAfter(ctx, appliedSeq)
	if err != nil {
		return err
	}
	rp.loop.postAndWait(func() {
		if !rp.loaded || rp.term.ownTerm != nil {
			err = errNotLoaded
			return
		}
		for _, b := range batches {
			if err = rp.applyBatch(b); err != nil {
				return
			}
		}
	})
	return err
}
