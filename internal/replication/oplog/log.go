// Package oplog is the durable log in the key-value store: numbered batches of entries, snapshots that let old
// batches go, and the leader key that fences every write.
//
// Why an unanswered or late write is harmless. Every batch is written in one transaction that requires (a) the leader
// key at the version under which its writer was elected, and (b) that the batch's own key does not exist. The writer
// repeats the very same transaction until it knows its fate, and writes no later batch before. A copy that is applied
// late either finds the key there, or the leader key changed, and fails; or it is the first copy applied, while its
// writer still leads and still waits: then it is the write that was meant. A new leader reads the log after its own
// election, when no older copy can pass (a) any more, so what it reads is final.
//
// After compaction the batch's key is gone again (but for the last one that the snapshot covers), so a copy that is
// applied very late could bring it back; its number is below the snapshot's and nobody reads it, and the compactions
// of the next minutes delete it again (lateWriteWindow). The key that names the snapshot is written under a condition
// on its own version, so it never goes back.
//
// The files: log.go appends, loads and follows; compaction.go replaces batches by snapshots; intake.go,
// partitioned.go and roles.go are the records beside the log; store.go has the keys and values under all of them,
// txn.go the writes.
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

// Batch is a numbered group of entries, the unit in which the log is written.
type Batch struct {
	Seq  uint64 // counts from 1 without gaps
	Term uint64 // of the leader that wrote it
	Data []byte
}

// Leader is what the leader key says.
type Leader struct {
	Node    string
	Term    uint64
	Lease   uint64 // the key is deleted when this lease ends
	Version uint64 // of the key: the fencing token of every write of this leader
}

// Loaded is the whole log as read at start.
type Loaded struct {
	SnapshotSeq uint64 // the last batch that the snapshot covers; 0: no snapshot
	Snapshot    []byte
	Batches     []Batch // those behind the snapshot
	Revision    uint64  // a watch from here sees every later change
	Leader      *Leader // nil: there is none
}

// Log reads and writes the log, and the records beside it: intake, partitioned nodes and singleton roles.
type Log struct {
	store *store
	intakeRecords
	partitionRecords
	roleRecords
}

// New makes a log on a key-value store. writeRPS, valueKB and maxTxnOps are the store's limits: writes a second, the
// size of a value, and the writes of a transaction.
func New(client *kvstore.Client, writeRPS, valueKB float64, maxTxnOps int, logger *slog.Logger) *Log {
	return newLog(&store{
		client: client, writes: newWriteLimiter(writeRPS * DefaultWriteShare), logger: logger,
		maxData: maxDataBytes(valueKB), maxTxnOps: maxTxnOps,
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

// DefaultWriteShare is the part of the write rate that a leader takes that compacts as well. Room is left for the
// election of the next leader.
const DefaultWriteShare = 0.85

// SetWriteShare sets which part of the store's write rate the log and its compaction on this node may take.
func (l *Log) SetWriteShare(writeRPS, share float64) {
	l.store.setWriteRate(writeRPS * share)
}

// WithWriteShare makes a log on the same store that takes a part of the write rate of its own, for a compactor that
// does not lead.
func (l *Log) WithWriteShare(writeRPS, share float64, logger *slog.Logger) *Log {
	return newLog(&store{
		client: l.store.client, writes: newWriteLimiter(writeRPS * share), logger: logger,
		maxData: l.store.maxData, maxTxnOps: l.store.maxTxnOps,
	})
}

// MaxData is how many bytes a batch may hold.
func (l *Log) MaxData() int { return l.store.maxData }

// loadAttempts is how often Load reads the log at most while compactions change it underneath.
const loadAttempts = 5

// Load reads snapshot and batches. If a compaction runs meanwhile it begins again; if that happens every time the
// error is a *MissingKeyError.
func (l *Log) Load(ctx context.Context) (loaded *Loaded, err error) {
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

func (l *Log) load(ctx context.Context) (*Loaded, error) {
	var items []wire.Item
	revision, err := l.store.rangeAll(ctx, prefix, "", func(item *wire.Item) error {
		items = append(items, *item)
		return nil
	})
	if err != nil {
		return nil, err
	}
	// The revision is that of the first page: whatever changed since is seen again by a watch from there.
	loaded := &Loaded{Revision: revision}
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

// readSnapshot joins the parts of the snapshot in force, if there is one.
func (l *Loaded) readSnapshot(byKey map[string]*wire.Item) error {
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

// readBatches takes the batches behind the snapshot, which must follow each other without a gap.
func (l *Loaded) readBatches(items []wire.Item) error {
	next := l.SnapshotSeq + 1
	for i := range items {
		key := items[i].Key
		if !strings.HasPrefix(key, prefixLog) || key < batchKey(next) {
			continue
		}
		if key != batchKey(next) {
			return &MissingKeyError{Key: batchKey(next), SnapshotSeq: l.SnapshotSeq}
		}
		batch, err := decodeBatch(key, items[i].Value)
		if err != nil {
			return err
		}
		l.Batches = append(l.Batches, batch)
		next++
	}
	return nil
}

// Update is what a watch saw.
type Update struct {
	Batches  []Batch
	Revision uint64 // follow on from here
	// LeaderChanged tells whether the leader key changed, and Leader what to; nil: it is gone.
	LeaderChanged bool
	Leader        *Leader
}

// Follow waits for changes after a revision. A *msgpackhttp.StatusError with code 410 means that the log must be
// loaded again.
func (l *Log) Follow(ctx context.Context, after uint64, hold time.Duration) (*Update, error) {
	changes, err := l.store.client.Follow(ctx, prefix, after, hold)
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

// apply adds one event of the watch.
func (u *Update) apply(event *wire.Event) (err error) {
	switch {
	case event.Put == KeyLeader:
		u.LeaderChanged = true
		u.Leader, err = decodeLeader(event.Value, event.Version)
		return err
	case event.Delete == KeyLeader:
		u.LeaderChanged, u.Leader = true, nil
	case strings.HasPrefix(event.Put, prefixLog):
		batch, err := decodeBatch(event.Put, event.Value)
		if err != nil {
			return err
		}
		u.Batches = append(u.Batches, batch)
	}
	return nil
}

// BatchesAfter reads the batches behind a number: all of them that were committed before the call. If they don't
// begin with the next number, what lies between is in the snapshot, and the log must be loaded anew.
func (l *Log) BatchesAfter(ctx context.Context, seq uint64) ([]Batch, error) {
	var batches []Batch
	_, err := l.store.rangeAll(ctx, prefixLog, batchKey(seq), func(item *wire.Item) error {
		batch, err := decodeBatch(item.Key, item.Value)
		batches = append(batches, batch)
		return err
	})
	if err != nil {
		return nil, fmt.Errorf("oplog: read batches after %d: %w", seq, err)
	}
	return batches, nil
}

// Append writes a batch and returns when it is committed. It repeats the same transaction until its fate is known.
// The error is ErrDeposed once the leader key has changed.
func (l *Log) Append(ctx context.Context, leader *Leader, b Batch) error {
	key := batchKey(b.Seq)
	err := l.store.commit(ctx, &wire.Txn{
		If: []wire.Condition{{Key: KeyLeader, Version: leader.Version}, {Key: key}},
		Then: []wire.Write{{Put: key, Value: &wire.LogValue{
			Version: FormatVersion, Term: b.Term, Data: encodeData(b.Data)}}},
	}, func(failed []string) error {
		if slices.Contains(failed, KeyLeader) {
			return ErrDeposed
		}
		// Only this leader can have written this key under this leader version, and it never tries two different
		// values: an earlier copy went through.
		return nil
	})
	if err != nil {
		return fmt.Errorf("oplog: append batch %d: %w", b.Seq, err)
	}
	return nil
}
