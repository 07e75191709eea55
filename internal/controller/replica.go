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

// replica is this controller's copy of the replicated state: a model built from the log. It loads the log, applies the
// updates that a watch returns, and reads the log to its end for requests that must see every batch committed before
// they arrived.
//
// The event loop owns all fields except catchUpMu and catchUpRead. On the leader, commitPipeline also applies entries
// to model before they are committed and advances appliedSeq, and leadership advances caughtUpAt with each renewal of
// the leader's lease.
type replica struct {
	*environment
	loop    *eventLoop
	term    *termState
	onReset func() // called by reset, for state of other components that refers to the model

	model            *model.Model
	loaded           bool
	appliedSeq       uint64                 // last batch applied (follower) or committed (leader)
	appliedVersion   uint64                 // oplog.End.Version of that batch, on a follower
	lastBatchAt      time.Time              // when a follower applied that batch
	caughtUpAt       time.Time              // latest time at which the model is known to have been complete
	lastStoreContact time.Time              // last time the key-value store answered a watch or a load
	watermarks       commitfence.Watermarks // newest batch that this process has known to be committed; kept on reset
	generation       int                    // number of resets; identifies the current model

	catchUpMu   sync.Mutex // guards catchUpRead, which is used by the goroutines of requests
	catchUpRead *catchUpRead
}

// newReplica returns a replica without a model; reset creates an empty one.
func newReplica(env *environment, loop *eventLoop, term *termState) *replica {
	return &replica{environment: env, loop: loop, term: term, onReset: func() {}}
}

// sequenceGapError reports that at least one log batch is missing between the last batch applied and the next one
// received. The log then has to be reloaded.
type sequenceGapError struct {
	Seq, Applied uint64 // the batch received, and the last batch applied
}

// Error names the batch received and the last batch applied.
func (e *sequenceGapError) Error() string {
	return fmt.Sprintf("controller: gap in log: got batch %d after batch %d", e.Seq, e.Applied)
}

// reset discards the model and, if this controller leads, its term.
func (rp *replica) reset() {
	rp.model = model.New(&rp.settings.Params)
	rp.appliedSeq, rp.appliedVersion, rp.loaded = 0, 0, false
	rp.term.ownTerm = nil
	rp.onReset()
	rp.generation++
}

// isStoreReachable reports whether a follower can reach the key-value store. caughtUpAt cannot be used for this: on an
// idle log it lags by up to two watches, the current one and the previous one.
func (rp *replica) isStoreReachable() bool {
	return rp.loaded && time.Since(rp.lastStoreContact) < followTimeout+linkTimeout
}

// applyBatch applies a batch committed by another controller. A batch that was already applied is ignored. If batches
// are missing before it, the error is a *sequenceGapError.
func (rp *replica) applyBatch(batch oplog.Batch) error {
	if batch.Seq <= rp.appliedSeq {
		return nil
	}
	if batch.Seq != rp.appliedSeq+1 {
		return &sequenceGapError{Seq: batch.Seq, Applied: rp.appliedSeq}
	}
	reader := &codec.Reader{Data: batch.Data}
	for len(reader.Data) > 0 {
		entry, err := model.ReadEntry(reader)
		if err != nil {
			return fmt.Errorf("controller: decode log batch %d: %w", batch.Seq, err)
		}
		if job := rp.model.Jobs[entry.Job]; entry.Kind == model.EntryCancel && rp.loaded && job != nil {
			job.Observed.CancelledSince = rp.caughtUpAt.Sub(rp.startTime) // the job was not cancelled yet at that time
		}
		if err := rp.model.Apply(entry, batch.Seq, rp.now()); err != nil {
			rp.log.Error("log entry apply failed", "seq", batch.Seq, "err", err)
		}
	}
	rp.appliedSeq, rp.appliedVersion, rp.lastBatchAt = batch.Seq, batch.Version, time.Now()
	rp.watermarks.Observe(batch.Seq)
	rp.model.ForgetCommitted(batch.Seq)
	return nil
}

// minQuietTime is the time without a batch after which the log is taken for quiet: a leader that is well writes more
// often while there is work.
const minQuietTime = 2 * batchDelay

// isLogQuiet reports whether the log is unlikely to move before the next write. It must run on the event loop.
func (rp *replica) isLogQuiet() bool { return time.Since(rp.lastBatchAt) > minQuietTime }

// end returns the end of the log, as far as this follower has applied it.
func (rp *replica) end() oplog.End { return oplog.End{Seq: rp.appliedSeq, Version: rp.appliedVersion} }

// applyBatches applies batches in order and stops at the first error.
func (rp *replica) applyBatches(batches []oplog.Batch) error {
	for _, batch := range batches {
		if err := rp.applyBatch(batch); err != nil {
			return err
		}
	}
	return nil
}

// applyUpdate applies the result of a watch request that was sent at sentAt. It returns false if the log has to be
// reloaded.
func (rp *replica) applyUpdate(update *oplog.Update, sentAt time.Time) bool {
	if err := rp.applyBatches(update.Batches); err != nil {
		rp.log.Warn("replica out of sync, reloading", "err", err)
		rp.loaded = false
		return false
	}
	if update.LeaderChanged {
		rp.term.leader = update.Leader
	}
	rp.caughtUpAt, rp.lastStoreContact = sentAt, time.Now()
	return true
}

// load reads the log and replaces the model. It calls revokeStale with the leader that the log names; if revokeStale
// reports that it revoked that leader's lease, there is no leader. load returns the revision from which to watch the
// log.
func (rp *replica) load(
	ctx context.Context, revokeStale func(context.Context, *oplog.Leader) bool,
) (revision uint64, err error) {
	sentAt := time.Now()
	loaded, err := rp.oplog.Load(ctx)
	if err != nil {
		return 0, err
	}
	if revokeStale(ctx, loaded.Leader) {
		loaded.Leader = nil
	}
	rp.loop.postAndWait(func() { err = rp.replaceModel(loaded, sentAt) })
	return loaded.Revision, err
}

// replaceModel replaces the model by the result of a load that was started at sentAt. After an error the replica counts
// as not loaded.
func (rp *replica) replaceModel(loaded *oplog.LogState, sentAt time.Time) error {
	lastSeq := loaded.SnapshotSeq + uint64(len(loaded.Batches))
	if rp.loaded && rp.appliedSeq >= lastSeq {
		// A request has read the log further than this load has. The model must not go back to an older state, or later
		// requests would get stale answers.
		rp.term.leader, rp.lastStoreContact = loaded.Leader, time.Now()
		return nil
	}
	rp.reset()
	if loaded.SnapshotSeq > 0 {
		if err := rp.model.Restore(loaded.Snapshot, loaded.SnapshotSeq, rp.now()); err != nil {
			return fmt.Errorf("controller: restore snapshot %d: %w", loaded.SnapshotSeq, err)
		}
	}
	rp.appliedSeq = loaded.SnapshotSeq
	if len(loaded.Batches) == 0 {
		rp.appliedVersion = loaded.End.Version
	}
	rp.watermarks.Observe(loaded.SnapshotSeq)
	if err := rp.applyBatches(loaded.Batches); err != nil {
		return err
	}
	rp.term.leader = loaded.Leader
	rp.caughtUpAt, rp.lastStoreContact = sentAt, time.Now()
	rp.loaded = true
	rp.log.Info("replica loaded", "batches", len(loaded.Batches), "snapshot_seq", loaded.SnapshotSeq,
		"jobs", len(rp.model.Jobs), "machines", len(rp.model.MachinesInOrder))
	return nil
}

// logEndTimeout limits one read of the end of the log.
const logEndTimeout = 1500 * time.Millisecond

// catchUp reads the log to its end, so that the model contains everything committed before the call. Requests that
// arrive while a read is in progress share the next read, because only that one is certain to begin after their
// arrival.
func (rp *replica) catchUp(ctx context.Context) error {
	for attempt := 0; ; attempt++ {
		rp.catchUpMu.Lock()
		read := rp.catchUpRead
		if read == nil {
			read = &catchUpRead{done: make(chan struct{})}
			rp.catchUpRead = read
			rp.catchUpMu.Unlock()
			// Other requests share this read, so it does not end with the context of this request.
			shared := rp.ctx
			read.err = rp.store.ForUser(shared, responseTimeout, rp.readLogEnd) //nolint:contextcheck // see above
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
		if attempt > 0 { // this read began after the request arrived
			return read.err
		}
	}
}

// catchUpRead is a read of the end of the log that is in progress; err is set before done is closed.
type catchUpRead struct {
	done chan struct{}
	err  error
}

// errNotLoaded reports that the replica cannot catch up with the log, because the log has not been loaded or this
// controller leads.
var errNotLoaded = errors.New("controller: catch up with log: log not loaded, or this controller leads")

// readLogEnd reads and applies all batches that follow the last batch applied.
func (rp *replica) readLogEnd(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, logEndTimeout)
	defer cancel()
	var appliedSeq uint64
	var follows bool
	rp.loop.postAndWait(func() { appliedSeq, follows = rp.appliedSeq, rp.loaded && rp.term.ownTerm == nil })
	if !follows {
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
		err = rp.applyBatches(batches)
	})
	return err
}
