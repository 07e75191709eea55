// Package oplog is the durable operation log in the key-value store: numbered batches of entries, snapshots that allow
// old batches to be deleted, and the leader key that fences every write.
//
// Writes that have no response, or that the store applies late, are harmless. Every batch is written in one transaction
// that requires (a) the leader key at the version under which its writer was elected, and (b) that the batch's own key
// does not exist. The writer repeats that same transaction until its outcome is known, and writes no later batch before
// then. A copy that is applied late finds the batch's key present or the leader key changed, and fails. Otherwise it is
// the first copy to be applied, while its writer still leads and waits for it, and so it is the intended write. A new
// leader reads the log after its own election, when no copy from an earlier term can satisfy (a) any more, so no
// earlier leader can still add to what it reads.
//
// Compaction deletes the keys of the batches covered by the snapshot (except that of the last one), so a copy that is
// applied very late can recreate such a key. No reader uses the recreated batch, since the snapshot covers its number,
// and the compactions of the next few minutes delete the key again (lateWriteWindow). The manifest, which names the
// current snapshot, is written under a condition on its own version, so it never reverts to an older snapshot.
//
// Files: log.go appends, loads and follows; compaction.go replaces batches by snapshots; intake.go, partitioned.go and
// roles.go hold the records stored beside the log; store.go holds the keys and values common to all of them, and txn.go
// the writes.
package oplog

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"slices"
	"strings"
	"time"

	"fieldhill/internal/platform/kvstore"
	"fieldhill/wire"
)

// Batch is a numbered group of encoded entries that is written to the log in one transaction.
type Batch struct {
	Seq  uint64 // starts at 1, without gaps
	Term uint64 // term of the leader that wrote it
	Data []byte
	// Version is the version of the batch's key, if the batch was read.
	Version uint64
	// NewJobs are the jobs that the batch accepts and whose intake records Append looks for. It is not stored.
	NewJobs []uint64
}

// Leader is the content of the leader key.
type Leader struct {
	Node    string
	Term    uint64
	Lease   uint64 // the key is deleted when this lease ends
	Version uint64 // version of the key: the fencing token of all writes of this leader
}

// LogState is the complete log, as read by Load.
type LogState struct {
	SnapshotSeq uint64 // last batch covered by the snapshot; 0 if there is no snapshot
	Snapshot    []byte
	Batches     []Batch // batches after the snapshot
	End         End
	Revision    uint64  // revision from which Follow reports every later change
	Leader      *Leader // nil if there is no leader
}

// End is the end of the log, as far as a reader knows it: the last batch and the version of its key.
type End struct {
	Seq     uint64 // 0 if there is no batch
	Version uint64 // 0 if there is no batch, or its key was deleted before it was read
}

// conditions returns conditions that hold if and only if no batch was written after the end. Batches are deleted in the
// order of their numbers, so a later one that was written and deleted does not go unnoticed.
func (e End) conditions() []wire.Condition {
	if e.Seq == 0 {
		return []wire.Condition{{Key: batchKey(1)}, {Key: keyMeta}}
	}
	return []wire.Condition{{Key: batchKey(e.Seq), Version: e.Version}, {Key: batchKey(e.Seq + 1)}}
}

// IsKnown reports whether the end can be compared with the log.
func (e End) IsKnown() bool { return e.Seq == 0 || e.Version > 0 }

// Log reads and writes the log and the records beside it: intake, partitioned nodes and singleton roles.
type Log struct {
	store *store
	intakeRecords
	partitionRecords
	roleRecords
}

// New returns a log stored in a key-value store. writeRPS, valueKB and maxTxnOps are the limits of the store: writes
// per second, size of a value, and writes per transaction.
func New(client *kvstore.Client, writeRPS, valueKB float64, maxTxnOps int, logger *slog.Logger) *Log {
	return newLog(&store{
		client: client, writeLimiter: newWriteLimiter(writeRPS * DefaultWriteShare), logger: logger,
		maxDataBytes: maxDataBytes(valueKB), maxTxnOps: maxTxnOps,
	})
}

func newLog(s *store) *Log {
	return &Log{
		store:            s,
		intakeRecords:    intakeRecords{store: s},
		partitionRecords: partitionRecords{store: s},
		roleRecords:      roleRecords{store: s},
	}
}

// DefaultWriteShare is the share of the store's write rate used by a leader that also compacts. The rest is left for
// the election of the next leader.
const DefaultWriteShare = 0.85

// SetWriteShare sets the share of the store's write rate that the log and its compaction on this node may use.
func (l *Log) SetWriteShare(writeRPS, share float64) {
	l.store.setWriteRate(writeRPS * share)
}

// WithWriteShare returns a log on the same store with its own share of the write rate, for a compactor that is not the
// leader.
func (l *Log) WithWriteShare(writeRPS, share float64, logger *slog.Logger) *Log {
	return newLog(&store{
		client: l.store.client, writeLimiter: newWriteLimiter(writeRPS * share), logger: logger,
		maxDataBytes: l.store.maxDataBytes, maxTxnOps: l.store.maxTxnOps,
	})
}

// MaxBatchBytes returns the maximum size in bytes of the data in one value, such as Batch.Data.
func (l *Log) MaxBatchBytes() int { return l.store.maxDataBytes }

// loadAttempts is the maximum number of times that Load reads the log while concurrent compactions change it.
const loadAttempts = 5

// Load reads the snapshot and the batches after it. It restarts if a concurrent compaction deleted keys that it needs;
// if that happens at every attempt, the error wraps a *MissingKeyError.
func (l *Log) Load(ctx context.Context) (loaded *LogState, err error) {
	for range loadAttempts {
		loaded, err = l.load(ctx)
		var missing *MissingKeyError
		if !errors.As(err, &missing) {
			break
		}
	}
	if err != nil {
		return nil, fmt.Errorf("oplog: load: %w", err)
	}
	return loaded, nil
}

func (l *Log) load(ctx context.Context) (*LogState, error) {
	var items []wire.Item
	revision, err := l.store.rangeAll(ctx, prefix, "", func(item *wire.Item) error {
		items = append(items, *item)
		return nil
	})
	if err != nil {
		return nil, err
	}
	// The revision is that of the first page, so that following the log from it also reports the changes made while the
	// later pages were read.
	loaded := &LogState{Revision: revision}
	byKey := map[string]*wire.Item{}
	for i := range items {
		byKey[items[i].Key] = &items[i]
	}
	if item := byKey[KeyLeader]; item != nil {
		if loaded.Leader, err = decodeLeader(item.Value, item.Version); err != nil {
			return nil, err
		}
	}
	if err := loaded.readSnapshot(byKey); err != nil {
		return nil, err
	}
	if err := loaded.readBatches(items); err != nil {
		return nil, err
	}
	return loaded, nil
}

// readSnapshot sets Snapshot and SnapshotSeq from the manifest and the parts that it names, if there is a manifest.
func (l *LogState) readSnapshot(byKey map[string]*wire.Item) error {
	item := byKey[keyMeta]
	if item == nil {
		return nil
	}
	manifest, _, err := decodeValue(keyMeta, item.Value)
	if err != nil {
		return err
	}
	l.SnapshotSeq = manifest.Seq
	for p := range manifest.Count {
		key := snapshotKey(manifest.Seq, p)
		part := byKey[key]
		if part == nil {
			return &MissingKeyError{Key: key, SnapshotSeq: manifest.Seq}
		}
		_, data, err := decodeValue(key, part.Value)
		if err != nil {
			return err
		}
		l.Snapshot = append(l.Snapshot, data...)
	}
	return nil
}

// readBatches sets Batches to those after the snapshot. The error is a *MissingKeyError if their numbers have a gap.
func (l *LogState) readBatches(items []wire.Item) error {
	next := l.SnapshotSeq + 1
	l.End.Seq = l.SnapshotSeq
	for i := range items {
		key := items[i].Key
		if l.SnapshotSeq > 0 && key == batchKey(l.SnapshotSeq) {
			l.End.Version = items[i].Version
		}
		if !strings.HasPrefix(key, prefixLog) || key < batchKey(next) {
			continue
		}
		if key != batchKey(next) {
			return &MissingKeyError{Key: batchKey(next), SnapshotSeq: l.SnapshotSeq}
		}
		batch, err := decodeBatch(&items[i])
		if err != nil {
			return err
		}
		l.Batches = append(l.Batches, batch)
		l.End = End{Seq: batch.Seq, Version: batch.Version}
		next++
	}
	return nil
}

// Update holds the new batches and the change of leader that Follow reports.
type Update struct {
	Batches  []Batch
	Revision uint64 // revision from which to follow next
	// LeaderChanged is set if the leader key changed; Leader is its new content, nil if the key was deleted.
	LeaderChanged bool
	Leader        *Leader
}

// Follow waits up to hold for changes after a revision. If the revision is too old, the error wraps a
// *msgpackhttp.StatusError with code 410, and the log must be loaded again.
func (l *Log) Follow(ctx context.Context, after uint64, hold time.Duration) (*Update, error) {
	changes, err := l.store.client.Watch(ctx, prefix, after, hold)
	if err != nil {
		return nil, fmt.Errorf("oplog: follow: %w", err)
	}
	update := &Update{Revision: max(after, changes.Revision)}
	for i := range changes.Events {
		if err := update.apply(&changes.Events[i]); err != nil {
			return nil, fmt.Errorf("oplog: follow: %w", err)
		}
	}
	return update, nil
}

// apply adds one event to the update.
func (u *Update) apply(event *wire.Event) (err error) {
	switch {
	case event.Put == KeyLeader:
		u.LeaderChanged = true
		u.Leader, err = decodeLeader(event.Value, event.Version)
		return err
	case event.Delete == KeyLeader:
		u.LeaderChanged, u.Leader = true, nil
	case strings.HasPrefix(event.Put, prefixLog):
		batch, err := decodeBatch(&wire.Item{Key: event.Put, Value: event.Value, Version: event.Version})
		if err != nil {
			return err
		}
		u.Batches = append(u.Batches, batch)
	}
	return nil
}

// BatchesAfter reads all batches after seq that were committed before the call. If the first one is not batch seq+1,
// the batches in between are covered by the snapshot, and the log must be loaded again.
func (l *Log) BatchesAfter(ctx context.Context, seq uint64) ([]Batch, error) {
	var batches []Batch
	_, err := l.store.rangeAll(ctx, prefixLog, batchKey(seq), func(item *wire.Item) error {
		batch, err := decodeBatch(item)
		batches = append(batches, batch)
		return err
	})
	if err != nil {
		return nil, fmt.Errorf("oplog: read batches after %d: %w", seq, err)
	}
	return batches, nil
}

// MaxNewJobs returns the maximum length of Batch.NewJobs, which the store's limit of conditions sets.
func (l *Log) MaxNewJobs() int { return conditionsPerWrite*l.store.maxTxnOps - batchConditions }

const (
	conditionsPerWrite = 4 // the store's limit of conditions in a transaction, as a multiple of maxTxnOps
	batchConditions    = 2 // on the leader key and on the batch's own key
)

// Append writes a batch and returns once it is committed. It repeats the same transaction until its outcome is known or
// the context ends. The error wraps ErrDeposed if the leader key has changed.
//
// The transaction also requires that the jobs in NewJobs have no intake records. If some have, Append writes the batch
// without these conditions and returns those jobs; the other ones had no record when the batch was committed. Copies of
// the earlier transaction write the same value, so it does not matter which of the two is applied.
func (l *Log) Append(ctx context.Context, leader *Leader, b Batch) (recorded []uint64, err error) {
	for unrecorded := b.NewJobs; ; {
		var refused []uint64
		err := l.store.commit(ctx, appendTxn(leader, b, unrecorded), func(failed []string) error {
			switch {
			case slices.Contains(failed, KeyLeader):
				return ErrDeposed
			case !slices.Contains(failed, batchKey(b.Seq)):
				refused = recordedJobs(unrecorded, failed)
			}
			// Otherwise the batch's key exists. Only this leader can have written it under this version of the leader
			// key, and it never writes two different values, so an earlier copy of the transaction was applied.
			return nil
		})
		if err != nil {
			return nil, fmt.Errorf("oplog: append batch %d: %w", b.Seq, err)
		}
		if len(refused) == 0 {
			return recorded, nil
		}
		recorded = append(recorded, refused...)
		unrecorded = slices.DeleteFunc(slices.Clone(unrecorded), func(job uint64) bool {
			return slices.Contains(refused, job)
		})
	}
}

// appendTxn returns the transaction that writes a batch if no intake record of the given jobs exists.
func appendTxn(leader *Leader, b Batch, unrecorded []uint64) *wire.Txn {
	key := batchKey(b.Seq)
	conditions := []wire.Condition{{Key: KeyLeader, Version: leader.Version}, {Key: key}}
	for _, job := range unrecorded {
		conditions = append(conditions, wire.Condition{Key: intakeKey(job)})
	}
	value := &wire.LogValue{Version: FormatVersion, Term: b.Term, Data: encodeData(b.Data)}
	return &wire.Txn{If: conditions, Then: []wire.Write{{Put: key, Value: value}}}
}

// recordedJobs returns the jobs whose intake keys are among the keys of failed conditions.
func recordedJobs(jobs []uint64, failed []string) (recorded []uint64) {
	for _, job := range jobs {
		if slices.Contains(failed, intakeKey(job)) {
			recorded = append(recorded, job)
		}
	}
	return recorded
}
