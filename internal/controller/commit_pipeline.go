package controller

import (
	"time"

	"fieldhill/internal/model"
	"fieldhill/internal/replication/oplog"
)

// commitPipeline proposes entries, groups them into batches, and tells who waits once a batch is committed.
type commitPipeline struct {
	*environment
	dispatch *commandDispatcher
	replica  *replica
	roles    *singletonRoles
	term     *termState

	snapshotInterval int // batches between two snapshots
}

// commitPipelineTerm is what commitPipeline keeps for one term of leadership.
type commitPipelineTerm struct {
	committedSeq         uint64
	writeInFlight        bool
	writeStarted         time.Time
	queue                [][]byte // batches not yet handed to the writer; the last one grows
	urgent               bool     // the queue holds what somebody waits for
	queuedAt             time.Time
	batches              chan oplog.Batch
	commitWaiters        []commitWaiter
	batchesSinceSnapshot int
	snapshots            chan snapshot
}

type snapshot struct {
	seq  uint64
	data []byte
}

type commitWaiter struct {
	seq      uint64
	onResult func(ok bool)
}

// nextSeq is the log number that an entry appended now will get.
func (r *leaderTerm) nextSeq() uint64 {
	s := r.commits.committedSeq
	if r.commits.writeInFlight {
		s++
	}
	return s + uint64(max(1, len(r.commits.queue)))
}

// propose appends an entry to the log and applies it; it returns its number.
func (cp *commitPipeline) propose(entry *model.Entry) uint64 {
	term := cp.term.ownTerm
	data := entry.Append(nil)
	if len(term.commits.queue) == 0 {
		term.commits.queuedAt = time.Now()
	}
	if k := len(term.commits.queue); k == 0 || len(term.commits.queue[k-1])+len(data) > cp.oplog.MaxData() {
		term.commits.queue = append(term.commits.queue, nil)
	}
	k := len(term.commits.queue) - 1
	if entry.Kind == model.EntryAccept {
		// Its user waits, and nothing that is queued speaks of it: it goes ahead
		// of bulk.
		for i := range term.commits.queue {
			if len(term.commits.queue[i])+len(data) <= cp.oplog.MaxData() {
				k = i
				break
			}
		}
	}
	term.commits.queue[k] = append(term.commits.queue[k], data...)
	seq := term.nextSeq() - uint64(len(term.commits.queue)-1-k)
	term.commits.urgent = term.commits.urgent || cp.isUrgent(entry)
	if err := cp.replica.model.Apply(entry, seq, cp.now()); err != nil {
		cp.log.Error("log entry apply failed", "err", err)
	}
	return seq
}

// isUrgent tells whether somebody waits for an entry: a user for an answer, or
// work of high priority for its start. The rest may gather for a while, so that
// the few changes a second that the state service takes carry more, and are left
// for what is urgent.
func (cp *commitPipeline) isUrgent(entry *model.Entry) bool {
	switch entry.Kind {
	case model.EntryAccept, model.EntryCancel:
		return true
	case model.EntryPlace:
		j := cp.replica.model.Jobs[entry.Job]
		return j != nil && j.Priority >= model.High
	}
	return false
}

// batchDelay is how long entries that are not urgent may wait for others.
const batchDelay = 250 * time.Millisecond

// whenCommitted runs fn once a batch is in the log, or with false once it is
// known that this node can't tell.
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

// flush hands the next batch to the writer when it is free.
func (cp *commitPipeline) flush() {
	term := cp.term.ownTerm
	if term == nil || term.commits.writeInFlight || len(term.commits.queue) == 0 {
		return
	}
	if !term.commits.urgent && len(term.commits.queue) == 1 && time.Since(term.commits.queuedAt) < batchDelay {
		return
	}
	batch := oplog.Batch{Seq: term.commits.committedSeq + 1, Term: term.leader.Term, Data: term.commits.queue[0]}
	term.commits.queue = term.commits.queue[1:]
	term.commits.writeInFlight, term.commits.writeStarted = true, time.Now()
	cp.metrics.LogBytes.Add(len(batch.Data))
	term.commits.queuedAt = term.commits.writeStarted
	term.commits.urgent = term.commits.urgent && len(term.commits.queue) > 0 // more of it may be there
	term.commits.batches <- batch
}

// stalled tells whether a write has been under way for suspiciously long.
func (r *leaderTerm) stalled() bool {
	return r.commits.writeInFlight && time.Since(r.commits.writeStarted) > 1200*time.Millisecond ||
		len(r.commits.queue) > 16
}

// onCommitted notes that a batch is in the log.
func (cp *commitPipeline) onCommitted(term *leaderTerm, seq uint64) {
	if cp.term.ownTerm != term {
		return
	}
	term.commits.committedSeq, term.commits.writeInFlight = seq, false
	cp.replica.watermarks.Observe(seq)
	cp.metrics.LogWrite.Update(time.Since(term.commits.writeStarted).Seconds())
	cp.replica.appliedSeq = seq
	cp.replica.model.ForgetCommitted(seq)
	k := 0
	var ready []commitWaiter
	for _, w := range term.commits.commitWaiters {
		if w.seq <= seq {
			ready = append(ready, w)
		} else {
			term.commits.commitWaiters[k] = w
			k++
		}
	}
	clear(term.commits.commitWaiters[k:])
	term.commits.commitWaiters = term.commits.commitWaiters[:k]
	for _, w := range ready {
		w.onResult(true)
	}
	for machine := range term.dispatch.dirtyAfterCommit {
		term.dispatch.dirtyMachines[machine] = true
	}
	clear(term.dispatch.dirtyAfterCommit)
	for machine := range term.dispatch.dirtyMachines {
		cp.dispatch.sendDirect(machine)
	}
	term.commits.batchesSinceSnapshot++
	if term.commits.batchesSinceSnapshot > cp.snapshotInterval && len(term.commits.queue) == 0 &&
		term.commits.snapshots != nil &&
		!cp.roles.rolesDistributed() {
		select {
		case term.commits.snapshots <- snapshot{seq, cp.replica.model.Snapshot()}:
			term.commits.batchesSinceSnapshot = 0
		default:
		}
	}
}
