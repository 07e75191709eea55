package oplog

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"time"

	"fieldhill/wire"
)

// Fence is the key that authorizes compaction: the leader key, or the key of the compaction role. Every write of a
// compaction requires that the key is still at Version. Term distinguishes the snapshots of one holder from those of
// other holders.
type Fence struct {
	Key     string
	Version uint64
	Term    uint64
}

// Fence returns the fence of the leader key.
func (ld *Leader) Fence() Fence { return Fence{KeyLeader, ld.Version, ld.Term} }

func (f Fence) condition() wire.Condition { return wire.Condition{Key: f.Key, Version: f.Version} }

// deposed returns ErrDeposed if the fence's key is among the failed conditions.
func (f Fence) deposed(failed []string) error {
	if slices.Contains(failed, f.Key) {
		return ErrDeposed
	}
	return nil
}

// Compactor compacts the log during one term of a leader, or of a holder of the compaction role.
type Compactor struct {
	store      *store
	fence      Fence
	lastSweep  time.Time // when the latest complete compaction began to delete keys; zero before the first
	OnProgress func()    // if set, called after every committed write
}

// NewCompactor returns a compactor whose writes require the given fence. The compactor reads the manifest from the
// store rather than relying on the one that this node has loaded: another node may have compacted the log between that
// load and this node's election. Two compactors under different fences do not harm each other: the manifest is written
// under a condition on its own version, and only the compactor whose manifest is current deletes anything, and only
// what that manifest has replaced.
func (l *Log) NewCompactor(fence Fence) *Compactor { return &Compactor{store: l.store, fence: fence} }

// manifest is the content of the manifest key, which names the current snapshot; zero if there is none.
type manifest struct {
	seq     uint64 // last batch covered by the snapshot
	parts   int
	term    uint64 // term of the writer
	version uint64 // version of the key
}

// readManifest reads the manifest, retrying until it succeeds or the context ends.
func (c *Compactor) readManifest(ctx context.Context) (m manifest, err error) {
	err = retryRead(ctx, func() error {
		value, _, version, err := c.store.get(ctx, keyMeta)
		if err == nil && value != nil {
			m = manifest{seq: value.Seq, parts: value.Count, term: value.Term, version: version}
		}
		return err
	})
	return m, err
}

// SnapshotSeq returns the last batch covered by the current snapshot, 0 if there is no snapshot.
func (c *Compactor) SnapshotSeq(ctx context.Context) (seq uint64, err error) {
	current, err := c.readManifest(ctx)
	if err != nil {
		return 0, fmt.Errorf("oplog: read %s: %w", keyMeta, err)
	}
	return current.seq, nil
}

// Compact writes a snapshot that covers the batches up to seq and deletes the keys that it replaces, a few at a time.
// If the current snapshot covers these batches already, Compact does nothing. The log can be loaded after every step:
// first the parts are written, then the manifest that names them, then the replaced keys are deleted. No key is deleted
// before the manifest is known to name this snapshot. Otherwise a compactor whose manifest the store refuses, because
// another compactor has replaced the previous one, would delete batches that the current snapshot does not cover.
func (c *Compactor) Compact(ctx context.Context, seq uint64, snapshot []byte) error {
	if err := c.compact(ctx, seq, snapshot); err != nil {
		return fmt.Errorf("oplog: compact up to batch %d: %w", seq, err)
	}
	return nil
}

func (c *Compactor) compact(ctx context.Context, seq uint64, snapshot []byte) error {
	previous, err := c.readManifest(ctx)
	if err != nil {
		return err
	}
	if previous.seq >= seq {
		return nil
	}
	parts, err := c.writeParts(ctx, seq, snapshot)
	if err != nil {
		return err
	}
	if err := c.replaceManifest(ctx, previous, seq, parts); err != nil {
		return err
	}
	obsolete := replacedKeys(previous, seq)
	start := time.Now()
	if c.needsSweep() {
		leftovers, err := c.leftoverKeys(ctx, previous.seq, seq)
		if err != nil {
			return err
		}
		obsolete = append(obsolete, leftovers...)
	}
	if err := c.deleteKeys(ctx, obsolete); err != nil {
		return err
	}
	c.lastSweep = start
	return nil
}

// writeParts writes the parts of a snapshot, which readers ignore until the manifest names them.
func (c *Compactor) writeParts(ctx context.Context, seq uint64, snapshot []byte) (parts int, err error) {
	for remaining := snapshot; len(remaining) > 0; parts++ {
		n := min(len(remaining), c.store.maxDataBytes)
		key := snapshotKey(seq, parts)
		txn := &wire.Txn{
			If: []wire.Condition{c.fence.condition(), {Key: key}},
			Then: []wire.Write{{Put: key, Value: &wire.LogValue{
				Version: FormatVersion, Term: c.fence.Term, Data: encodeData(remaining[:n])}}},
		}
		if err := c.store.commitPaced(ctx, txn, c.fence.deposed); err != nil {
			return 0, fmt.Errorf("write %s: %w", key, err)
		}
		c.notifyProgress()
		remaining = remaining[n:]
	}
	return parts, nil
}

// replaceManifest writes the manifest that makes the snapshot at seq the current one. The error wraps
// ErrSnapshotReplaced if another compactor has replaced the previous manifest.
func (c *Compactor) replaceManifest(ctx context.Context, previous manifest, seq uint64, parts int) error {
	err := c.store.commit(ctx, &wire.Txn{
		If: []wire.Condition{c.fence.condition(), {Key: keyMeta, Version: previous.version}},
		Then: []wire.Write{
			{Put: keyMeta, Value: &wire.LogValue{Version: FormatVersion, Term: c.fence.Term, Seq: seq, Count: parts}},
		},
	}, func(failed []string) error {
		if err := c.fence.deposed(failed); err != nil {
			return err
		}
		// The manifest has changed: it was written either by an earlier copy of this transaction or by another
		// compactor. Its content shows which.
		current, err := c.readManifest(ctx)
		if err != nil {
			return err
		}
		if current.seq != seq || current.term != c.fence.Term {
			return ErrSnapshotReplaced
		}
		return nil
	})
	if err != nil {
		return fmt.Errorf("write %s: %w", keyMeta, err)
	}
	return nil
}

// replacedKeys lists the keys that a snapshot at seq replaces: the parts of the previous snapshot, and the batches from
// the last one that the previous snapshot covers to the one before seq.
//
// Batch seq, the last one covered by the new snapshot, is kept until the next compaction, so that a reader that has
// fallen behind finds it and learns that the batches in between were deleted. Without it, a node that resumes after a
// compaction would find no batch after its own last one, conclude that it has read the log to its end, and report
// accepted jobs as unknown.
func replacedKeys(previous manifest, seq uint64) (keys []string) {
	for s := max(1, previous.seq); s < seq; s++ {
		keys = append(keys, batchKey(s))
	}
	for p := range previous.parts {
		keys = append(keys, snapshotKey(previous.seq, p))
	}
	return keys
}

// deleteKeys deletes keys, as many per transaction as the store and half of a write burst allow.
func (c *Compactor) deleteKeys(ctx context.Context, keys []string) error {
	for len(keys) > 0 {
		n := min(len(keys), c.store.maxTxnOps, max(1, c.store.writeLimiter.Burst()/2))
		txn := deleteTxn(c.fence.condition(), keys[:n])
		if err := c.store.commitPaced(ctx, txn, c.fence.deposed); err != nil {
			return fmt.Errorf("delete %d keys, the first being %s: %w", n, keys[0], err)
		}
		c.notifyProgress()
		keys = keys[n:]
	}
	return nil
}

func deleteTxn(fence wire.Condition, keys []string) *wire.Txn {
	txn := &wire.Txn{If: []wire.Condition{fence}}
	for _, key := range keys {
		txn.Then = append(txn.Then, wire.Write{Delete: key})
	}
	return txn
}

func (c *Compactor) notifyProgress() {
	if c.OnProgress != nil {
		c.OnProgress()
	}
}

// lateWriteWindow is how long after a write without a response each compaction looks for keys that a late copy of that
// write may have recreated: those of batches and parts of snapshots that were deleted in the meantime. Readers ignore
// such a key, but without this search it would remain as long as the same leader leads, which may be for months.
const lateWriteWindow = 5 * time.Minute

// needsSweep reports whether there may be obsolete keys other than those that replacedKeys lists: before the first
// sweep, those left by earlier terms; later, those recreated by late copies of writes.
func (c *Compactor) needsSweep() bool {
	lastUnansweredWrite := time.Unix(0, c.store.lastUnansweredWrite.Load())
	return c.lastSweep.IsZero() || c.lastSweep.Before(lastUnansweredWrite.Add(lateWriteWindow))
}

// leftoverKeys lists the keys left by interrupted compactions or recreated by late copies of writes: those of batches
// covered by the previous snapshot, and of parts of snapshots older than the current one, except the previous one.
func (c *Compactor) leftoverKeys(ctx context.Context, previousSeq, currentSeq uint64) ([]string, error) {
	batches, err := c.keysBefore(ctx, prefixLog, batchKey(previousSeq+1))
	if err != nil {
		return nil, err
	}
	parts, err := c.keysBefore(ctx, prefixSnapshot, snapshotKey(currentSeq, 0))
	if err != nil {
		return nil, err
	}
	parts = slices.DeleteFunc(parts, func(key string) bool {
		return strings.HasPrefix(key, snapshotPrefix(previousSeq)) || strings.HasPrefix(key, snapshotPrefix(currentSeq))
	})
	return append(batches, parts...), nil
}

// sweepPageSize is the number of keys per page of a sweep. It is small because the values of the keys, some kilobytes
// each, are part of the page.
const sweepPageSize = 64

// keysBefore lists the keys with a prefix that sort before end.
func (c *Compactor) keysBefore(ctx context.Context, prefix, end string) (keys []string, err error) {
	for after := ""; ; {
		var page *wire.Items
		err := retryRead(ctx, func() (err error) {
			page, err = c.store.client.Range(ctx, prefix, after, sweepPageSize)
			return err
		})
		if err != nil {
			return nil, fmt.Errorf("list %s: %w", prefix, err)
		}
		for _, item := range page.Items {
			if after = item.Key; after >= end {
				return keys, nil
			}
			keys = append(keys, after)
		}
		if !page.More || len(page.Items) == 0 {
			return keys, nil
		}
	}
}

const readRetryPause = 500 * time.Millisecond

// retryRead repeats a read until it succeeds or the context ends.
func retryRead(ctx context.Context, read func() error) error {
	err := read()
	for err != nil {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(readRetryPause):
		}
		err = read()
	}
	return nil
}
