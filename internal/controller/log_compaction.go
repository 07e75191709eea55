package controller

import (
	"context"
	"errors"

	"fieldhill/internal/replication/oplog"
	"fieldhill/internal/replication/singleton"
)

const (
	// compactionShare is the compactor's share of the key-value store's write rate, and logShare the log's share while
	// compaction is a separate role.
	compactionShare = 0.3
	logShare        = 0.55
	// compactionTermBase keeps the term numbers of compactors distinct from those of leaders.
	compactionTermBase = 1 << 40
)

// logCompactor compacts the log while this controller holds the compaction role. The event loop owns it; each
// compaction runs in its own goroutine, one at a time.
type logCompactor struct {
	ctx         context.Context // ends when the role is lost; context of work started by the loop
	compactor   *oplog.Compactor
	snapshotSeq uint64 // last batch in the latest snapshot
	seqKnown    bool   // snapshotSeq has been read and no other controller has taken over the role since
	busy        bool   // a read or a compaction is in progress
}

// newCompactor returns a compactor for a term of the role, and starts to read the position of the latest snapshot.
func (rs *singletonRoles) newCompactor(ctx context.Context, role *singleton.Role, term uint64) *logCompactor {
	fence := oplog.Fence{Key: oplog.RoleKey(role.Name.String()), Version: term, Term: compactionTermBase + term}
	shared := rs.oplog.WithWriteShare(rs.settings.Params.KVStore.WriteRPS, compactionShare, rs.log)
	compactor := &logCompactor{ctx: ctx, busy: true, compactor: shared.NewCompactor(fence)}
	//nolint:contextcheck // recording progress must not be cancelled with ctx when the role is lost
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

// compactLog starts a compaction if one is due and the model contains no uncommitted entries. If none is due, it
// records that the role is idle.
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
					compactor.seqKnown = false // the role watch will report the new holder
				}
			}
		})
	}()
}

// compactionDue reports whether the replica has applied snapshotInterval batches since the last snapshot. It is false
// while the position of that snapshot is unknown or the log is not loaded.
func (rs *singletonRoles) compactionDue(compactor *logCompactor) bool {
	return compactor.seqKnown && (rs.replica.loaded || rs.term.ownTerm != nil) &&
		rs.replica.appliedSeq >= compactor.snapshotSeq+uint64(rs.commits.snapshotInterval)
}

// modelCommitted reports whether the model contains committed entries only. A leader's model may also contain entries
// that are not committed yet.
func (rs *singletonRoles) modelCommitted() bool {
	term := rs.term.ownTerm
	return term == nil || !term.commits.writeInFlight && len(term.commits.queue) == 0 &&
		term.commits.committedSeq == rs.replica.appliedSeq
}
