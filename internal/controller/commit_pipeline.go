package controller

import (
	"slices"
	"time"

	"fieldhill/internal/model"
	"fieldhill/internal/replication/oplog"
)

// commitPipeline proposes log entries, groups them into batches, and notifies callers once a batch is committed. The
// event loop owns it. Entries are applied to the replica's model immediately, so that later decisions build on them;
// commands and responses that depend on them are sent only after the commit.
type commitPipeline struct {
	*environment
	replica *replica
	term    *termState
	// afterCommit is called after each commit, once the callbacks registered with whenCommitted have run.
	afterCommit func(term *leaderTerm)
	// compactsLog reports whether the leader, rather than the holder of the compaction role, compacts the log.
	compactsLog func() bool

	snapshotInterval int // batches between two compactions; overridden in tests
}

// newCommitPipeline returns a pipeline. Before using it, the caller has to set afterCommit and compactsLog.
func newCommitPipeline(env *environment, replica *replica, term *termState) *commitPipeline {
	return &commitPipeline{
		environment:      env,
		replica:          replica,
		term:             term,
		snapshotInterval: defaultSnapshotInterval,
	}
}

// commitPipelineTerm is the commit pipeline's state for one leadership term. The event loop owns it; the channels feed
// the term's log writer and compactor goroutines, which leadership runs.
type commitPipelineTerm struct {
	committedSeq         uint64    // last batch known to be committed
	writeInFlight        bool      // batch committedSeq+1 is being written
	writeStarted         time.Time // when that batch was passed to the writer
	queue                [][]byte  // batches not yet passed to the writer; entries are appended to the last one
	urgent               bool      // the queue may hold an urgent entry, see isUrgent
	queuedAt             time.Time // start of the batching delay of the first queued batch
	batches              chan oplog.Batch
	newJobs              map[uint64][]uint64 // oplog.Batch.NewJobs of the queued batches, by batch number
	lastBatch            committedBatch
	commitWaiters        []commitWaiter
	batchesSinceSnapshot int
	snapshots            chan snapshot
}

// committedBatch is the batch committed last, for its waiters.
type committedBatch struct {
	newJobs  []uint64 // oplog.Batch.NewJobs
	recorded []uint64 // those of newJobs that had intake records
}

// recordPresence is whether the intake had a record of a job when the batch that accepts the job was committed.
type recordPresence int

const (
	presenceUnknown recordPresence = iota
	recordAbsent
	recordPresent
)

// recordOf returns whether the intake had a record of a job that the batch accepts.
func (b *committedBatch) recordOf(job model.JobID) recordPresence {
	switch {
	case slices.Contains(b.recorded, uint64(job)):
		return recordPresent
	case slices.Contains(b.newJobs, uint64(job)):
		return recordAbsent
	}
	return presenceUnknown
}

// snapshot is the encoded model after batch seq, to be written by the compactor.
type snapshot struct {
	seq  uint64
	data []byte
}

// commitWaiter is a callback that receives true once batch seq is committed, or false if the term has ended and this
// controller cannot know whether the batch is committed.
type commitWaiter struct {
	seq      uint64
	onResult func(ok bool)
}

const (
	// defaultSnapshotInterval is the number of batches after which the log is compacted.
	defaultSnapshotInterval = 500
	// batchDelay is how long non-urgent entries may wait for others to join their batch.
	batchDelay = 250 * time.Millisecond
	// maxWriteTime and maxQueuedBatches are the duration of the current write and the number of queued batches above
	// which the log counts as stalled: new jobs are refused and no tasks are placed until the log has caught up.
	maxWriteTime     = 1200 * time.Millisecond
	maxQueuedBatches = 16
)

// nextSeq returns the number of the batch that an entry proposed now would be appended to.
func (r *leaderTerm) nextSeq() uint64 {
	seq := r.commits.committedSeq
	if r.commits.writeInFlight {
		seq++
	}
	return seq + uint64(max(1, len(r.commits.queue)))
}

// stalled reports whether the current write takes longer than maxWriteTime or more than maxQueuedBatches are queued
// behind it.
func (r *leaderTerm) stalled() bool {
	commits := &r.commits
	return commits.writeInFlight && time.Since(commits.writeStarted) > maxWriteTime ||
		len(commits.queue) > maxQueuedBatches
}

// propose queues an entry for the log, applies it to the model, and returns the number of its batch.
func (cp *commitPipeline) propose(entry *model.Entry) uint64 {
	term := cp.term.ownTerm
	commits := &term.commits
	data := entry.Append(nil)
	index := commits.enqueue(data, cp.oplog.MaxBatchBytes(), entry.Kind == model.EntryAccept)
	seq := term.nextSeq() - uint64(len(commits.queue)-1-index)
	commits.urgent = commits.urgent || cp.isUrgent(entry)
	if err := cp.replica.model.Apply(entry, seq, cp.now()); err != nil {
		cp.log.Error("log entry apply failed", "err", err)
	}
	return seq
}

// proposeNewJob proposes the acceptance of a job that no log entry names. When the batch is committed, its waiters can
// ask whether the intake contained the job (committedBatch.recordOf), unless the batch accepts too many jobs.
func (cp *commitPipeline) proposeNewJob(acceptance *model.Entry) uint64 {
	seq := cp.propose(acceptance)
	commits := &cp.term.ownTerm.commits
	if jobs := commits.newJobs[seq]; len(jobs) < cp.oplog.MaxNewJobs() {
		commits.newJobs[seq] = append(jobs, uint64(acceptance.Job))
	}
	return seq
}

// enqueue adds an entry to the last queued batch, or to a new batch if the last one is full, and returns the batch's
// index in the queue. With firstFit, the entry goes into the first batch that has space, so the caller must ensure that
// the entry does not depend on any queued one. propose uses firstFit for the acceptance of a job, which then does not
// wait behind bulk entries while a user waits for the response.
func (commits *commitPipelineTerm) enqueue(data []byte, maxBatchBytes int, firstFit bool) int {
	if len(commits.queue) == 0 {
		commits.queuedAt = time.Now()
	}
	hasSpace := func(batch []byte) bool { return len(batch)+len(data) <= maxBatchBytes }
	if k := len(commits.queue); k == 0 || !hasSpace(commits.queue[k-1]) {
		commits.queue = append(commits.queue, nil)
	}
	index := len(commits.queue) - 1
	if firstFit {
		if first := slices.IndexFunc(commits.queue, hasSpace); first >= 0 {
			index = first
		}
	}
	commits.queue[index] = append(commits.queue[index], data...)
	return index
}

// isUrgent reports whether a user waits for a response that depends on the entry, or the entry starts high-priority
// work. Other entries are delayed and batched, because the key-value store accepts only a few writes per second: each
// write then carries more entries, and an urgent entry more often finds no write in progress.
func (cp *commitPipeline) isUrgent(entry *model.Entry) bool {
	switch entry.Kind {
	case model.EntryAccept, model.EntryCancel:
		return true
	case model.EntryPlace:
		job := cp.replica.model.Jobs[entry.Job]
		return job != nil && job.Priority >= model.High
	}
	return false
}

// whenCommitted calls onResult with true once the batch is committed, or with false if this controller's term has
// ended, after which it cannot know whether the batch is committed.
func (cp *commitPipeline) whenCommitted(seq uint64, onResult func(ok bool)) {
	term := cp.term.ownTerm
	if term == nil {
		onResult(false)
		return
	}
	if seq <= term.commits.committedSeq {
		onResult(true)
		return
	}
	term.commits.commitWaiters = append(term.commits.commitWaiters, commitWaiter{seq, onResult})
}

// flush passes the next batch to the writer if the writer is free and the batch is urgent, full, or older than
// batchDelay.
func (cp *commitPipeline) flush() {
	term := cp.term.ownTerm
	if term == nil {
		return
	}
	commits := &term.commits
	if commits.writeInFlight || len(commits.queue) == 0 {
		return
	}
	if !commits.urgent && len(commits.queue) == 1 && time.Since(commits.queuedAt) < batchDelay {
		return
	}
	seq := commits.committedSeq + 1
	batch := oplog.Batch{Seq: seq, Term: term.leader.Term, Data: commits.queue[0], NewJobs: commits.newJobs[seq]}
	commits.queue = commits.queue[1:]
	delete(commits.newJobs, seq)
	commits.writeInFlight, commits.writeStarted = true, time.Now()
	cp.metrics.LogBytes.Add(len(batch.Data))
	commits.queuedAt = commits.writeStarted
	commits.urgent = commits.urgent && len(commits.queue) > 0 // the other batches may hold urgent entries too
	commits.batches <- batch
}

// batchWait returns the remaining batching delay of the next batch. pending is false if no batch is queued or the
// writer is busy.
func (cp *commitPipeline) batchWait() (wait time.Duration, pending bool) {
	term := cp.term.ownTerm
	if term == nil || term.commits.writeInFlight || len(term.commits.queue) == 0 {
		return 0, false
	}
	return max(0, batchDelay-time.Since(term.commits.queuedAt)), true
}

// onCommitted records that a batch is committed, notifies its waiters, and triggers a compaction if one is due.
func (cp *commitPipeline) onCommitted(term *leaderTerm, seq uint64, batch committedBatch) {
	if cp.term.ownTerm != term {
		return
	}
	term.commits.committedSeq, term.commits.writeInFlight = seq, false
	term.commits.lastBatch = batch
	cp.replica.watermarks.Observe(seq)
	cp.metrics.LogWrite.Update(time.Since(term.commits.writeStarted).Seconds())
	cp.replica.appliedSeq = seq
	cp.replica.model.ForgetCommitted(seq)
	for _, waiter := range term.commits.takeWaiters(seq) {
		waiter.onResult(true)
	}
	cp.afterCommit(term)
	cp.offerSnapshot(term, seq)
}

// takeWaiters removes the waiters for batches up to seq and returns them in the order of registration.
func (commits *commitPipelineTerm) takeWaiters(seq uint64) []commitWaiter {
	var ready []commitWaiter
	kept := commits.commitWaiters[:0]
	for _, waiter := range commits.commitWaiters {
		if waiter.seq <= seq {
			ready = append(ready, waiter)
		} else {
			kept = append(kept, waiter)
		}
	}
	clear(commits.commitWaiters[len(kept):])
	commits.commitWaiters = kept
	return ready
}

// offerSnapshot passes a snapshot to the compactor if the leader compacts the log, enough batches were committed since
// the last snapshot, the model contains no uncommitted entries, and the compactor is free.
func (cp *commitPipeline) offerSnapshot(term *leaderTerm, seq uint64) {
	commits := &term.commits
	commits.batchesSinceSnapshot++
	if commits.batchesSinceSnapshot <= cp.snapshotInterval || len(commits.queue) > 0 || !cp.compactsLog() {
		return
	}
	select {
	case commits.snapshots <- snapshot{seq, cp.replica.model.Snapshot()}:
		commits.batchesSinceSnapshot = 0
	default:
	}
}

// failWaiters calls all remaining waiters with false at the end of the term, because the outcome of their batches is
// then unknown.
func (commits *commitPipelineTerm) failWaiters() {
	for _, waiter := range commits.commitWaiters {
		waiter.onResult(false)
	}
	commits.commitWaiters = nil
}
