package controller

import (
	"slices"
	"time"

	"fieldhill/internal/model"
	"fieldhill/internal/replication/oplog"
)

// commitPipeline proposes entries, groups them into batches, and notifies callers once a batch is committed. The loop
// owns it. It applies entries to the replica at once, so that later decisions build on them; whatever leaves this
// controller waits for the commit.
type commitPipeline struct {
	*environment
	replica *replica
	term    *termState
	// afterCommit is called by each commit, after the callbacks that waited for it.
	afterCommit func(term *leaderTerm)
	// compactsLog tells whether the leader compacts the log itself, which otherwise the holder of that role does.
	compactsLog func() bool

	snapshotInterval int // batches between two compactions; tests change it
}

// newCommitPipeline makes a pipeline; whoever wires it sets its callbacks.
func newCommitPipeline(env *environment, replica *replica, term *termState) *commitPipeline {
	return &commitPipeline{
		environment:      env,
		replica:          replica,
		term:             term,
		snapshotInterval: defaultSnapshotInterval,
	}
}

// commitPipelineTerm is the commit pipeline's state of one term of leadership. The loop owns it; the channels go to
// the term's writer and compactor, which leadership runs.
type commitPipelineTerm struct {
	committedSeq         uint64    // last batch known to be committed
	writeInFlight        bool      // the batch after it is with the writer
	writeStarted         time.Time // when it was handed over
	queue                [][]byte  // batches not yet handed to the writer; the last one grows
	urgent               bool      // the queue holds an entry that somebody waits for
	queuedAt             time.Time // since when the queue gathers
	batches              chan oplog.Batch
	commitWaiters        []commitWaiter
	batchesSinceSnapshot int
	snapshots            chan snapshot
}

// snapshot is the replica's state after the batch seq, for the compactor.
type snapshot struct {
	seq  uint64
	data []byte
}

// commitWaiter is a callback that gets whether the batch seq was committed; false says that this controller can no
// longer know.
type commitWaiter struct {
	seq      uint64
	onResult func(ok bool)
}

const (
	// defaultSnapshotInterval is after how many batches the log is compacted.
	defaultSnapshotInterval = 500
	// batchDelay is how long entries that are not urgent may wait for others.
	batchDelay = 250 * time.Millisecond
	// stalledWrite and stalledQueue are from when on the log counts as stalled: new jobs are refused and nothing is
	// placed until it has caught up.
	stalledWrite = 1200 * time.Millisecond
	stalledQueue = 16
)

// nextSeq is the number of the batch that an entry proposed now would be part of.
func (r *leaderTerm) nextSeq() uint64 {
	seq := r.commits.committedSeq
	if r.commits.writeInFlight {
		seq++
	}
	return seq + uint64(max(1, len(r.commits.queue)))
}

// stalled tells whether a write has been under way for suspiciously long, or too much waits behind it.
func (r *leaderTerm) stalled() bool {
	commits := &r.commits
	return commits.writeInFlight && time.Since(commits.writeStarted) > stalledWrite || len(commits.queue) > stalledQueue
}

// propose appends an entry to the log and applies it; it returns the number of its batch.
func (cp *commitPipeline) propose(entry *model.Entry) uint64 {
	term := cp.term.ownTerm
	commits := &term.commits
	data := entry.Append(nil)
	index := commits.enqueue(data, cp.oplog.MaxData(), entry.Kind == model.EntryAccept)
	seq := term.nextSeq() - uint64(len(commits.queue)-1-index)
	commits.urgent = commits.urgent || cp.isUrgent(entry)
	if err := cp.replica.model.Apply(entry, seq, cp.now()); err != nil {
		cp.log.Error("log entry apply failed", "err", err)
	}
	return seq
}

// enqueue adds an entry to the last queued batch, or to a new one if it is full, and returns the batch's index in the
// queue. With ahead it goes into the first batch that has space: the caller vouches that no queued entry refers to it.
// That is so for a job's acceptance, for which a user waits; it need not wait behind bulk.
func (commits *commitPipelineTerm) enqueue(data []byte, maxData int, ahead bool) int {
	if len(commits.queue) == 0 {
		commits.queuedAt = time.Now()
	}
	hasSpace := func(batch []byte) bool { return len(batch)+len(data) <= maxData }
	if k := len(commits.queue); k == 0 || !hasSpace(commits.queue[k-1]) {
		commits.queue = append(commits.queue, nil)
	}
	index := len(commits.queue) - 1
	if ahead {
		if first := slices.IndexFunc(commits.queue, hasSpace); first >= 0 {
			index = first
		}
	}
	commits.queue[index] = append(commits.queue[index], data...)
	return index
}

// isUrgent tells whether somebody waits for an entry: a user for a response, or work of high priority for its start.
// The rest may gather for a while, so that the few writes a second that the key-value store takes carry more, and are
// left for what is urgent.
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

// whenCommitted calls onResult with true once a batch is committed, or with false once it is known that this
// controller can't tell.
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

// flush hands the next batch to the writer when it is free, and when the batch is urgent, full or has gathered for
// long enough.
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
	batch := oplog.Batch{Seq: commits.committedSeq + 1, Term: term.leader.Term, Data: commits.queue[0]}
	commits.queue = commits.queue[1:]
	commits.writeInFlight, commits.writeStarted = true, time.Now()
	cp.metrics.LogBytes.Add(len(batch.Data))
	commits.queuedAt = commits.writeStarted
	commits.urgent = commits.urgent && len(commits.queue) > 0 // more of it may be there
	commits.batches <- batch
}

// batchWait returns for how long the queued batch may still gather; pending is false if none is queued.
func (cp *commitPipeline) batchWait() (wait time.Duration, pending bool) {
	term := cp.term.ownTerm
	if term == nil || term.commits.writeInFlight || len(term.commits.queue) == 0 {
		return 0, false
	}
	return max(0, batchDelay-time.Since(term.commits.queuedAt)), true
}

// onCommitted notes that a batch is committed, tells who waits for it, and has the log compacted when that is due.
func (cp *commitPipeline) onCommitted(term *leaderTerm, seq uint64) {
	if cp.term.ownTerm != term {
		return
	}
	term.commits.committedSeq, term.commits.writeInFlight = seq, false
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

// takeWaiters removes those who wait for a batch up to seq, and returns them in the order in which they came.
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

// offerSnapshot hands a snapshot to the compactor if enough batches came since the last one, nothing is applied that
// is not committed, and the compactor is free.
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

// failWaiters tells all waiters that this controller can't know what becomes of their batches.
func (commits *commitPipelineTerm) failWaiters() {
	for _, waiter := range commits.commitWaiters {
		waiter.onResult(false)
	}
	commits.commitWaiters = nil
}
