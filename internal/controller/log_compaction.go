package controller

import (
	"context"
	"errors"

	"fieldhill/internal/replication/oplog"
	"fieldhill/internal/replication/singleton"
)

const (
	// compactionShare is the part of the key-value store's write rate that the compactor takes, and logShare the log's
	// part while compaction is a role of its own.
	compactionShare = 0.3
	logShare        = 0.55
	// compactionTermBase sets the terms of compactors apart from leaders'.
	compactionTermBase = 1 << 40
)

// logCompactor compacts the log while this controller holds the compaction role. The loop owns it; the work itself is
// done beside the loop, one step at a time.
type logCompactor struct {
	ctx         context.Context // of the hold; what the work that is begun from the loop runs under
	compactor   *oplog.Compactor
	snapshotSeq uint64 // of the last snapshot
	seqKnown    bool   // snapshotSeq was read, and no other compactor has taken over since
	busy        bool   // a step is under way
}

// newCompactor begins to compact the log under a term of the role, by finding out how far the last holder came.
func (rs *singletonRoles) newCompactor(ctx context.Context, role *singleton.Role, term uint64) *logCompactor {
	fence := oplog.Fence{Key: oplog.RoleKey(role.Name.String()), Version: term, Term: compactionTermBase + term}
	shared := rs.oplog.WithWriteShare(rs.settings.Params.KVStore.WriteRPS, compactionShare, rs.log)
	compactor := &logCompactor{ctx: ctx, busy: true, compactor: shared.NewCompactor(fence)}
	//nolint:contextcheck // the record of progress is not to end with the hold of the role, whose context this is
	compactor.compactor.OnProgress = func() {
		rs.loop.post(func() {
			if role.Term() == term {
				rs.onRoleProgress(role)
			}
		})
	}
	go func() {
		seq, err := compactor.compactor.SnapshotSeq(ctx)
		rs.loop.post(func() {
			compactor.busy = false
			if compactor.seqKnown = err == nil; compactor.seqKnown {
				compactor.snapshotSeq = seq
			}
		})
	}()
	return compactor
}

// compactLog compacts the log once it has enough new batches, at a moment at which the model is what the log has.
func (rs *singletonRoles) compactLog(role *singleton.Role, compactor *logCompactor) {
	switch {
	case compactor.busy:
		return
	case !rs.compactionDue(compactor):
		role.RecordIdle(rs.now())
		return
	case !rs.modelCommitted():
		return
	}
	compactor.busy = true
	seq, data, ctx := rs.replica.appliedSeq, rs.replica.model.Snapshot(), compactor.ctx
	go func() {
		err := compactor.compactor.Compact(ctx, seq, data)
		rs.loop.post(func() {
			compactor.busy = false
			if err == nil {
				compactor.snapshotSeq = seq
				rs.log.Debug("log compacted", "seq", seq, "bytes", len(data))
			} else if ctx.Err() == nil {
				rs.log.Warn("log compaction failed, previous snapshot kept", "seq", seq, "bytes", len(data), "err", err)
				if errors.Is(err, oplog.ErrDeposed) {
					compactor.seqKnown = false // the watch tells who holds the role now
				}
			}
		})
	}()
}

// compactionDue tells whether the log has enough batches since the last snapshot.
func (rs *singletonRoles) compactionDue(compactor *logCompactor) bool {
	return compactor.seqKnown && (rs.replica.loaded || rs.term.ownTerm != nil) &&
		rs.replica.appliedSeq >= compactor.snapshotSeq+uint64(rs.commits.snapshotInterval)
}

// modelCommitted tells whether the model is what the log has: a leader's may be ahead of it.
func (rs *singletonRoles) modelCommitted() bool {
	term := rs.term.ownTerm
	return term == nil || !term.commits.writeInFlight && len(term.commits.queue) == 0 &&
		term.commits.committedSeq == rs.replica.appliedSeq
}
