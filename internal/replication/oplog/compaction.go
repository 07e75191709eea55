package oplog

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"time"

	"fieldhill/wire"
)

// Fence is the key that entitles to compact: the leader's, or that of the compaction role. It is required, at its
// version, by every write. Term tells the snapshots of one holder from those of all others.
type Fence struct {
	Key     string
	Version uint64
	Term    uint64
}

// Fence is the leader's.
func (ld *Leader) Fence() Fence { return Fence{KeyLeader, ld.Version, ld.Term} }

func (f Fence) condition() wire.Condition { return wire.Condition{Key: f.Key, Version: f.Version} }

// deposed is ErrDeposed if the fence is among the conditions that failed.
func (f Fence) deposed(failed []string) error {
	if slices.Contains(failed, f.Key) {
		return ErrDeposed
	}
	return nil
}

// Compactor compacts the log for one term of a leader, or of a holder of the compaction role.
type Compactor struct {
	store      *store
	fence      Fence
	sweptSince time.Time // since when what earlier terms left behind is deleted; zero: not yet
	OnProgress func()    // if set, it is called whenever a write got through
}

// NewCompactor makes a compactor. Which snapshot is in force it reads itself: between the time at which this node
// read the log and its election others may have compacted it. Two that compact under different fences do no harm to
// each other: the manifest is written under a condition on its own version, and only the one whose manifest is in
// force then deletes, and only what that manifest has replaced.
func (l *Log) NewCompactor(fence Fence) *Compactor { return &Compactor{store: l.store, fence: fence} }

// manifest is what the key of the snapshot in force says; all is 0 if there is none.
type manifest struct {
	seq     uint64 // the last batch that the snapshot covers
	parts   int
	term    uint64 // of who wrote it
	version uint64 // of the key
}

// readManifest repeats the reading of the manifest until there is an answer.
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

// SnapshotSeq tells to which number the snapshot in force is, 0 without one.
func (c *Compactor) SnapshotSeq(ctx context.Context) (seq uint64, err error) {
	current, err := c.readManifest(ctx)
	if err != nil {
		return 0, fmt.Errorf("oplog: read %s: %w", keyMeta, err)
	}
	return current.seq, nil
}

// Compact writes a snapshot taken at a number and deletes what it replaces, a few keys at a time. Each step leaves a
// log that loads: parts first, then the manifest that names them, then the deletions. Nothing is deleted before the
// manifest surely names this snapshot: a leader that took its predecessor's snapshot for an older one once had its
// own refused and went on to delete the batches behind the one in force.
func (c *Compactor) Compact(ctx context.Context, seq uint64, snapshot []byte) error {
	if err := c.compact(ctx, seq, snapshot); err != nil {
		return fmt.Errorf("oplog: compact to %d: %w", seq, err)
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
	if c.mustSweep() {
		leftovers, err := c.leftoverKeys(ctx, previous.seq, seq)
		if err != nil {
			return err
		}
		obsolete = append(obsolete, leftovers...)
	}
	if err := c.deleteKeys(ctx, obsolete); err != nil {
		return err
	}
	c.sweptSince = start
	return nil
}

// writeParts writes the parts of a snapshot, which count for nothing until the manifest names them.
func (c *Compactor) writeParts(ctx context.Context, seq uint64, snapshot []byte) (parts int, err error) {
	for remaining := snapshot; len(remaining) > 0; parts++ {
		n := min(len(remaining), c.store.maxData)
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

// replaceManifest puts a snapshot into force in place of the previous one.
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
		// An earlier copy of this write went through, or somebody else's did: the key says which.
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

// replacedKeys lists what a snapshot replaces: the previous one, and the batches since.
//
// The last batch that the snapshot covers stays until the next one: a reader of the log's end that knows it to an
// older number finds it there, and learns that what lies between is gone. A node that woke after a compaction found
// nothing behind its own number, took that for the end, and called accepted jobs unknown.
func replacedKeys(previous manifest, seq uint64) (keys []string) {
	for s := max(1, previous.seq); s < seq; s++ {
		keys = append(keys, batchKey(s))
	}
	for p := range previous.parts {
		keys = append(keys, snapshotKey(previous.seq, p))
	}
	return keys
}

// deleteKeys deletes keys, as many at once as fit into a transaction and as half of a burst allows.
func (c *Compactor) deleteKeys(ctx context.Context, keys []string) error {
	for len(keys) > 0 {
		n := min(len(keys), c.store.maxTxnOps, max(1, c.store.writes.Burst()/2))
		txn := deleteTxn(c.fence.condition(), keys[:n])
		if err := c.store.commitPaced(ctx, txn, c.fence.deposed); err != nil {
			return fmt.Errorf("delete %s and %d more: %w", keys[0], n-1, err)
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

// lateWriteWindow is for how long after a write without an answer each compaction looks for what a late copy may have
// brought back: a batch, or a part of a snapshot, that was deleted meanwhile. Nobody reads it, but it would stay for
// good, and a leader may lead for months.
const lateWriteWindow = 5 * time.Minute

// mustSweep tells whether there may be keys that are not known from the manifest: of earlier terms, before the first
// sweep, or of late copies.
func (c *Compactor) mustSweep() bool {
	lastUnanswered := time.Unix(0, c.store.lastUnanswered.Load())
	return c.sweptSince.IsZero() || c.sweptSince.Before(lastUnanswered.Add(lateWriteWindow))
}

// leftoverKeys lists what compactions that ended early have left: batches that the previous snapshot covered, and
// parts of snapshots other than it and the one that replaced it.
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

// sweepPageSize is how many keys a sweep reads at once, with their values of some kilobytes each.
const sweepPageSize = 64

// keysBefore lists the keys with a prefix that come before another.
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

// readRetryPause is between two tries of a read.
const readRetryPause = 500 * time.Millisecond

// retryRead repeats a read until it has an answer.
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
