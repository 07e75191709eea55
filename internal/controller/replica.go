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

// replica keeps this controller's copy of the log up to date: it loads the log, applies what a watch of it shows, and
// reads it to its end for a request.
//
// The loop owns all fields but the catch-up's. A leader's commitPipeline applies to model and advances appliedSeq as
// well, since the leader applies entries before they are committed; leadership advances caughtUpAt with each renewal.
type replica struct {
	*environment
	loop    *eventLoop
	term    *termState
	onReset func() // called by each reset, for state of others that refers to the copy

	model            *model.Model
	loaded           bool
	appliedSeq       uint64                 // last batch applied (follower) or committed (leader)
	caughtUpAt       time.Time              // the copy was complete then
	lastStoreContact time.Time              // the key-value store answered a watch, or the load, then
	watermarks       commitfence.Watermarks // what this process has ever seen of the log; outlives resets
	generation       int                    // counts resets, to recognize that the copy is another one

	catchUpMu   sync.Mutex // guards catchUpRead, which the requests' goroutines use
	catchUpRead *catchUpRead
}

// newReplica makes a replica without a copy; reset gives it an empty one.
func newReplica(env *environment, loop *eventLoop, term *termState) *replica {
	return &replica{environment: env, loop: loop, term: term, onReset: func() {}}
}

// sequenceGapError reports a batch that does not follow the last one applied: the copy has to be loaded anew.
type sequenceGapError struct {
	Seq, Applied uint64
}

func (e *sequenceGapError) Error() string {
	return fmt.Sprintf("controller: log batch %d follows batch %d", e.Seq, e.Applied)
}

// reset throws the copy away, and with it an own term that was served on it.
func (rp *replica) reset() {
	rp.model = model.New(&rp.settings.Params)
	rp.appliedSeq, rp.loaded = 0, false
	rp.term.ownTerm = nil
	rp.onReset()
	rp.generation++
}

// isStoreReachable tells whether a follower is in touch with the key-value store. caughtUpAt is no measure of that:
// where nothing happens the copy lags by two watches, the one that is under way and the one before.
func (rp *replica) isStoreReachable() bool {
	return rp.loaded && time.Since(rp.lastStoreContact) < followTimeout+linkFreshness
}

// applyBatch applies a batch that others committed. One that is applied already is passed over; one that does not
// follow the last is a *sequenceGapError.
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
			return fmt.Errorf("controller: log batch %d: %w", batch.Seq, err)
		}
		if job := rp.model.Jobs[entry.Job]; entry.Kind == model.EntryCancel && rp.loaded && job != nil {
			job.Observed.CancelledFrom = rp.caughtUpAt.Sub(rp.startTime) // the copy was complete then, without this
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

// applyBatches applies batches up to the first that can't be applied.
func (rp *replica) applyBatches(batches []oplog.Batch) error {
	for _, batch := range batches {
		if err := rp.applyBatch(batch); err != nil {
			return err
		}
	}
	return nil
}

// applyUpdate takes in what a watch that was sent at sentAt saw. It returns false if the copy has to be loaded anew.
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

// load reads the log and replaces the copy. revokeStale tells whether it ended the lease of the leader that the log
// names; that leader is not one then. It returns the revision from which to watch the log.
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
	rp.loop.postAndWait(func() { err = rp.replaceCopy(loaded, sentAt) })
	return loaded.Revision, err
}

// replaceCopy replaces the copy by what was read by a load that was sent at sentAt. After an error the copy counts as
// not loaded.
func (rp *replica) replaceCopy(loaded *oplog.Loaded, sentAt time.Time) error {
	lastSeq := loaded.SnapshotSeq + uint64(len(loaded.Batches))
	if rp.loaded && rp.appliedSeq >= lastSeq {
		// A request has read the log's end after this load did. The copy must not go back, or that request is given an
		// older answer.
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
	rp.watermarks.Observe(loaded.SnapshotSeq)
	if err := rp.applyBatches(loaded.Batches); err != nil {
		return err
	}
	rp.term.leader = loaded.Leader
	rp.caughtUpAt, rp.lastStoreContact = sentAt, time.Now()
	rp.loaded = true
	rp.log.Info("replica loaded", "batches", len(loaded.Batches), "snapshot_seq", loaded.SnapshotSeq,
		"jobs", len(rp.model.Jobs), "machines", len(rp.model.Order))
	return nil
}

// logEndTimeout bounds a read of the log's end.
const logEndTimeout = 1500 * time.Millisecond

// catchUp reads the log to its end, so that the copy holds all that was committed before the call. Requests that come
// while a read is under way share the next one, because that one begins after they came.
func (rp *replica) catchUp(ctx context.Context) error {
	for turn := 0; ; turn++ {
		rp.catchUpMu.Lock()
		read := rp.catchUpRead
		if read == nil {
			read = &catchUpRead{done: make(chan struct{})}
			rp.catchUpRead = read
			rp.catchUpMu.Unlock()
			// Others wait for this read too, so it does not end with this request.
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
		if turn > 0 { // it began after the request came
			return read.err
		}
	}
}

// catchUpRead is a read of the log's end that is under way; err is set before done is closed.
type catchUpRead struct {
	done chan struct{}
	err  error
}

// errNotLoaded reports that there is no copy of the log to be caught up, or that it is the leader's own.
var errNotLoaded = errors.New("controller: replica not loaded")

// readLogEnd applies all batches after those that the copy has.
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
