// Package oplog is the durable log in the state service: numbered batches of
// entries, snapshots that let old batches go, and the leader key that guards
// every write.
//
// Why an unanswered or late write is harmless. Every batch is written in one
// transaction that requires (a) the leader key at the version under which its
// writer was elected, and (b) that the batch's own key does not exist. The
// writer repeats the very same transaction until it knows its fate, and writes
// no later batch before. A copy that is applied late either finds the key there,
// or the leader key changed, and fails; or it is the first copy applied, while
// its writer still leads and still waits: then it is the write that was meant.
// A new leader reads the log after its own election, when no older copy can
// pass (a) any more, so what it reads is final.
//
// After compaction the batch's key is gone again (but for the last one that the snapshot covers), so a copy that is
// applied very late could bring it back; its number is below the snapshot's and nobody reads it, and the compactions
// of the next minutes delete it again (lateWriteWindow). The key that names the snapshot is written under a condition
// on its own version, so it never goes back.
package oplog

import (
	"context"
	"encoding/base64"
	"errors"
	"fmt"
	"log/slog"
	"net/http"
	"slices"
	"strings"
	"sync/atomic"
	"time"

	"github.com/vmihailenco/msgpack/v5"
	"golang.org/x/time/rate"

	"fieldhill/internal/platform/kvstore"
	"fieldhill/internal/platform/msgpackhttp"
	"fieldhill/wire"
)

// Keys. Everything lives under one prefix, so that one watch sees all of it.
const (
	prefix            = "f/"
	KeyLeader         = "f/leader"
	KeyTerm           = "f/term"
	keyMeta           = "f/meta"
	prefixLog         = "f/log/"
	prefixSnapshot    = "f/snap/"
	prefixPartitioned = "f/apart/"
	// prefixPartitionedParts has what does not fit into a node's record under prefixPartitioned: NODE/0001 and on.
	prefixPartitionedParts = "f/apartmore/"
	formatVersion          = 1
)

// ErrDeposed says that another leader was elected, or none is.
var ErrDeposed = errors.New("oplog: no longer the leader")

// errGap says that the log changed under a reader, who must begin again.
var errGap = errors.New("oplog: batches are missing")

func batchKey(seq uint64) string { return fmt.Sprintf("%s%015d", prefixLog, seq) }
func snapshotKey(seq uint64, part int) string {
	return fmt.Sprintf("%s%015d/%04d", prefixSnapshot, seq, part)
}

// Batch is a numbered group of entries.
type Batch struct {
	Seq  uint64
	Term uint64
	Data []byte
}

// Leader is what the leader key says.
type Leader struct {
	Node    string
	Term    uint64
	Lease   uint64
	Version uint64 // of the key
}

// Loaded is the whole log as read at start.
type Loaded struct {
	SnapshotSeq uint64 // 0: no snapshot
	Snapshot    []byte
	Batches     []Batch
	Revision    uint64 // follow on from here
	Leader      *Leader
}

// Log reads and writes the log.
type Log struct {
	store          *kvstore.Client
	writes         *rate.Limiter
	maxData        int
	maxTxnOps      int
	logger         *slog.Logger
	lastUnanswered atomic.Int64 // when a write had no answer last, in nanoseconds; 0: none had
}

// New makes a log on the state service; writeRPS and valueKB are its limits.
func New(store *kvstore.Client, writeRPS, valueKB float64, maxTxnOps int, logger *slog.Logger) *Log {
	return &Log{
		store: store, writes: newLimiter(writeRPS * DefaultWriteShare), logger: logger,
		maxData: max(256, (int(valueKB*1024)-200)/4*3), maxTxnOps: maxTxnOps,
	}
}

func newLimiter(writeRPS float64) *rate.Limiter {
	return rate.NewLimiter(rate.Limit(writeRPS), burst(writeRPS))
}

func burst(writeRPS float64) int { return max(3, int(writeRPS*0.7)) }

// SetWriteShare sets which part of the state service's write rate this node's log and clean-up may take.
func (l *Log) SetWriteShare(writeRPS, share float64) {
	limit := writeRPS * share
	l.writes.SetLimit(rate.Limit(limit))
	l.writes.SetBurst(burst(limit))
}

// DefaultWriteShare is the part of the write rate that a leader takes who cleans up as well. Room is kept for the
// election of the next leader.
const DefaultWriteShare = 0.85

// MaxData is how many bytes a batch may hold.
func (l *Log) MaxData() int { return l.maxData }

// pageKeys is how many keys a read asks for at once. A page may have fewer, by its bytes.
const pageKeys = 1000

// rangeAll reads every key with a prefix behind a key, page after page, and returns the revision of the first page: a
// watch from there sees whatever changes meanwhile.
func (l *Log) rangeAll(
	ctx context.Context,
	prefix, after string,
	visit func(it *wire.Item) error,
) (rev uint64, err error) {
	for {
		page, err := l.store.Range(ctx, prefix, after, pageKeys)
		if err != nil {
			return 0, err
		}
		if rev == 0 {
			rev = page.Revision
		}
		for i := range page.Items {
			if err := visit(&page.Items[i]); err != nil {
				return 0, err
			}
			after = page.Items[i].Key
		}
		if !page.More || len(page.Items) == 0 {
			return rev, nil
		}
	}
}

func decodeValue(raw msgpack.RawMessage) (*wire.LogValue, []byte, error) {
	var value wire.LogValue
	if err := wire.Unmarshal(raw, &value); err != nil {
		return nil, nil, err
	}
	if value.Version != formatVersion {
		return nil, nil, fmt.Errorf("oplog: value of version %d", value.Version)
	}
	data, err := base64.StdEncoding.DecodeString(value.Data)
	return &value, data, err
}

func decodeLeader(raw msgpack.RawMessage, keyVersion uint64) (*Leader, error) {
	value, _, err := decodeValue(raw)
	if err != nil {
		return nil, err
	}
	return &Leader{Node: value.Node, Term: value.Term, Lease: value.Lease, Version: keyVersion}, nil
}

// Load reads snapshot and log. If a compaction runs meanwhile it begins again.
func (l *Log) Load(ctx context.Context) (*Loaded, error) {
	for range 5 {
		loaded, err := l.load(ctx)
		if !errors.Is(err, errGap) {
			return loaded, err
		}
	}
	return nil, errGap
}

func (l *Log) load(ctx context.Context) (*Loaded, error) {
	loaded := &Loaded{}
	// The first page holds everything outside log and snapshots, and its
	// revision is where the watch begins: whatever changes from here on is
	// seen again by the watch.
	var items []wire.Item
	rev, err := l.rangeAll(ctx, prefix, "", func(it *wire.Item) error {
		items = append(items, *it)
		return nil
	})
	if err != nil {
		return nil, err
	}
	loaded.Revision = rev
	byKey := map[string]*wire.Item{}
	for i := range items {
		byKey[items[i].Key] = &items[i]
	}
	if it := byKey[KeyLeader]; it != nil {
		if loaded.Leader, err = decodeLeader(it.Value, it.Version); err != nil {
			return nil, err
		}
	}
	if it := byKey[keyMeta]; it != nil {
		value, _, err := decodeValue(it.Value)
		if err != nil {
			return nil, err
		}
		loaded.SnapshotSeq = value.Seq
		for p := range value.Count {
			part := byKey[snapshotKey(value.Seq, p)]
			if part == nil {
				return nil, fmt.Errorf("%w: part %d of the snapshot to %d", errGap, p, value.Seq)
			}
			_, data, err := decodeValue(part.Value)
			if err != nil {
				return nil, err
			}
			loaded.Snapshot = append(loaded.Snapshot, data...)
		}
	}
	next := loaded.SnapshotSeq + 1
	for i := range items {
		key := items[i].Key
		if !strings.HasPrefix(key, prefixLog) || key < batchKey(next) {
			continue
		}
		if key != batchKey(next) {
			return nil, fmt.Errorf("%w: number %d, the snapshot is to %d", errGap, next, loaded.SnapshotSeq)
		}
		value, data, err := decodeValue(items[i].Value)
		if err != nil {
			return nil, err
		}
		loaded.Batches = append(loaded.Batches, Batch{Seq: next, Term: value.Term, Data: data})
		next++
	}
	return loaded, nil
}

// Update is what a watch saw.
type Update struct {
	Batches  []Batch
	Revision uint64
	// LeaderChanged tells whether the leader key changed, and Leader what to; nil: it is gone.
	LeaderChanged bool
	Leader        *Leader
}

// Follow waits for news after a revision. A status error with code 410 means
// that the log must be loaded again.
func (l *Log) Follow(ctx context.Context, after uint64, hold time.Duration) (*Update, error) {
	changes, err := l.store.Follow(ctx, prefix, after, hold)
	if err != nil {
		return nil, err
	}
	update := &Update{Revision: max(after, changes.Revision)}
	for _, e := range changes.Events {
		switch {
		case e.Put == KeyLeader:
			if update.Leader, err = decodeLeader(e.Value, e.Version); err != nil {
				return nil, err
			}
			update.LeaderChanged = true
		case e.Delete == KeyLeader:
			update.LeaderChanged, update.Leader = true, nil
		case strings.HasPrefix(e.Put, prefixLog):
			b, err := decodeBatch(e.Put, e.Value)
			if err != nil {
				return nil, err
			}
			update.Batches = append(update.Batches, b)
		}
	}
	return update, nil
}

func decodeBatch(key string, raw msgpack.RawMessage) (Batch, error) {
	value, data, err := decodeValue(raw)
	if err != nil {
		return Batch{}, err
	}
	var seq uint64
	if _, err := fmt.Sscanf(strings.TrimPrefix(key, prefixLog), "%d", &seq); err != nil {
		return Batch{}, err
	}
	return Batch{Seq: seq, Term: value.Term, Data: data}, nil
}

// BatchesAfter reads the batches behind a number: all of them that were committed
// before the call. If they don't begin with the next number, what lies between is in the snapshot, and the
// log must be loaded anew.
func (l *Log) BatchesAfter(ctx context.Context, seq uint64) ([]Batch, error) {
	var out []Batch
	_, err := l.rangeAll(ctx, prefixLog, batchKey(seq), func(it *wire.Item) error {
		b, err := decodeBatch(it.Key, it.Value)
		out = append(out, b)
		return err
	})
	if err != nil {
		return nil, err
	}
	return out, nil
}

// Append writes a batch and returns when it is committed. It repeats the same
// transaction until its fate is known.
func (l *Log) Append(ctx context.Context, leader *Leader, b Batch) error {
	return l.commit(ctx, &wire.Txn{
		If: []wire.Condition{{Key: KeyLeader, Version: leader.Version}, {Key: batchKey(b.Seq)}},
		Then: []wire.Write{{Put: batchKey(b.Seq), Value: &wire.LogValue{
			Version: formatVersion, Term: b.Term, Data: base64.StdEncoding.EncodeToString(b.Data)}}},
	}, func(failed []string) error {
		if slices.Contains(failed, KeyLeader) {
			return ErrDeposed
		}
		// Only this leader can have written this key under this leader version,
		// and it never tries two different values: an earlier copy went through.
		return nil
	})
}

func (l *Log) commit(ctx context.Context, txn *wire.Txn, onConflict func([]string) error) error {
	pause := 20 * time.Millisecond
	for {
		if err := l.writes.WaitN(ctx, min(max(1, len(txn.Then)), l.writes.Burst())); err != nil {
			return err
		}
		err := l.send(ctx, txn)
		switch code := msgpackhttp.StatusCode(err); {
		case err == nil:
			return nil
		case code == 409:
			var answer wire.TxnResponse
			var statusErr *msgpackhttp.StatusError
			errors.As(err, &statusErr)
			if err := wire.Unmarshal(statusErr.Body, &answer); err != nil || len(answer.Failed) == 0 {
				// It can't be told which condition failed: ask again.
				l.logger.Warn("write conflict without failed conditions", "err", err)
				break
			}
			return onConflict(answer.Failed)
		case code == 400:
			return fmt.Errorf("oplog: the state service calls a write malformed: %w", err)
		}
		if ctx.Err() != nil {
			return ctx.Err()
		}
		l.logger.Debug("write outcome unknown, retrying", "err", err)
		l.lastUnanswered.Store(time.Now().UnixNano())
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(pause):
		}
		pause = min(2*pause, 300*time.Millisecond)
	}
}

// resendAfter is after how long without an answer a transaction is sent once more at the earliest,
// resendLatencyFactor after how many times the usual time, and maxCopies how many copies may be under way.
const (
	resendAfter         = 400 * time.Millisecond
	resendLatencyFactor = 4
	maxCopies           = 3
)

// send sends a transaction, and again, unchanged, if the answer is long in coming: it may be lost, and everybody who
// waits for the log would wait for two seconds. The first answer that tells the transaction's fate counts; the other
// copies are like any that come late. Every transaction that is sent here may be repeated, see commit.
func (l *Log) send(ctx context.Context, txn *wire.Txn) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	results := make(chan error, maxCopies)
	attempt := func() {
		_, err := l.store.Txn(ctx, txn)
		results <- err
	}
	go attempt()
	resend := time.NewTicker(max(resendAfter, resendLatencyFactor*l.store.TxnLatency()))
	defer resend.Stop()
	sent := 1
	for inFlight := 1; ; {
		select {
		case err := <-results:
			if code := msgpackhttp.StatusCode(err); err == nil || code == 409 || code == 400 || inFlight == 1 {
				return err
			}
			inFlight--
		case <-resend.C:
			if sent < maxCopies && l.writes.AllowN(time.Now(), max(1, len(txn.Then))) {
				l.lastUnanswered.Store(time.Now().UnixNano())
				sent, inFlight = sent+1, inFlight+1
				go attempt()
			}
		}
	}
}

// Fence is the key that entitles to compact: the leader's, or that of the duty to clean up. It is required, at its
// version, by every write. Term tells the snapshots of one holder from those of all others.
type Fence struct {
	Key     string
	Version uint64
	Term    uint64
}

// Compactor compacts the log for one term of a leader, or of who cleans up.
type Compactor struct {
	log        *Log
	fence      Fence
	sweptSince time.Time // since when what earlier terms left behind is deleted; zero: not yet
	OnProgress func()    // if set, it is called whenever a write got through
}

// NewCompactor makes one. What is in force it reads itself: between the time at which this node
// read the log and its election others may have compacted it. Two that compact under different keys do no harm
// to each other: what names the snapshot is written under a condition on its own version, and only whose name
// stands then deletes, what that name has replaced.
func (l *Log) NewCompactor(fence Fence) *Compactor { return &Compactor{log: l, fence: fence} }

// Fence is the leader's.
func (ld *Leader) Fence() Fence { return Fence{KeyLeader, ld.Version, ld.Term} }

// errSnapshotReplaced says that another snapshot came into force, which only another leader can bring about.
var errSnapshotReplaced = errors.New("oplog: the snapshot in force was replaced by another leader")

// currentSnapshot reads which snapshot is in force, of how many parts, and the version of the key that
// says so; all are 0 if there is none.
func (l *Log) currentSnapshot(ctx context.Context) (value *wire.LogValue, keyVersion uint64, err error) {
	it, err := l.store.Get(ctx, keyMeta)
	switch {
	case msgpackhttp.StatusCode(err) == http.StatusNotFound:
		return &wire.LogValue{}, 0, nil
	case err != nil:
		return nil, 0, err
	}
	value, _, err = decodeValue(it.Value)
	return value, it.Version, err
}

// retryRead repeats a read until it has an answer.
func retryRead(ctx context.Context, read func() error) error {
	err := read()
	for err != nil {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(500 * time.Millisecond):
		}
		err = read()
	}
	return nil
}

// SnapshotSeq tells to which number the snapshot in force is, 0 without one.
func (c *Compactor) SnapshotSeq(ctx context.Context) (seq uint64, err error) {
	err = retryRead(ctx, func() error {
		value, _, err := c.log.currentSnapshot(ctx)
		if err == nil {
			seq = value.Seq
		}
		return err
	})
	return seq, err
}

// Compact writes a snapshot taken at a number and lets go of what it replaces,
// a few keys at a time. Each step leaves a log that loads: parts first, then the
// key that names them, then the deletions. Nothing is deleted before that key surely
// names this snapshot: a leader that held its predecessor's snapshot for an older one
// once had its own refused and went on to delete the batches behind the one in force.
func (c *Compactor) Compact(ctx context.Context, seq uint64, snapshot []byte) error {
	l := c.log
	var previous *wire.LogValue
	var metaVersion uint64
	if err := retryRead(
		ctx,
		func() (err error) { previous, metaVersion, err = l.currentSnapshot(ctx); return err },
	); err != nil {
		return err
	}
	if previous.Seq >= seq {
		return nil
	}
	checkDeposed := func(failed []string) error {
		if slices.Contains(failed, c.fence.Key) {
			return ErrDeposed
		}
		return nil
	}
	guard := wire.Condition{Key: c.fence.Key, Version: c.fence.Version}
	parts := 0
	for remaining := snapshot; len(remaining) > 0; parts++ {
		n := min(len(remaining), l.maxData)
		key := snapshotKey(seq, parts)
		txn := &wire.Txn{If: []wire.Condition{guard, {Key: key}}, Then: []wire.Write{{Put: key, Value: &wire.LogValue{
			Version: formatVersion, Term: c.fence.Term, Data: base64.StdEncoding.EncodeToString(remaining[:n])}}}}
		if err := l.commitPaced(ctx, txn, checkDeposed); err != nil {
			return err
		}
		c.notifyProgress()
		remaining = remaining[n:]
	}
	err := l.commit(ctx, &wire.Txn{
		If: []wire.Condition{guard, {Key: keyMeta, Version: metaVersion}},
		Then: []wire.Write{
			{Put: keyMeta, Value: &wire.LogValue{Version: formatVersion, Term: c.fence.Term, Seq: seq, Count: parts}},
		},
	}, func(failed []string) error {
		if err := checkDeposed(failed); err != nil {
			return err
		}
		// An earlier copy of this write went through, or somebody else's did: the key says which.
		var current *wire.LogValue
		if err := retryRead(
			ctx,
			func() (err error) { current, _, err = l.currentSnapshot(ctx); return err },
		); err != nil {
			return err
		}
		if current.Seq != seq || current.Term != c.fence.Term {
			return errSnapshotReplaced
		}
		return nil
	})
	if err != nil {
		return err
	}
	var obsolete []string
	// The last batch that the snapshot covers stays until the next one: who reads the log's end from an older number
	// finds it there, and that what lies between is gone. A node that woke after a compaction found nothing behind
	// its own number, took that for the end, and called accepted jobs unknown.
	for s := max(1, previous.Seq); s < seq; s++ {
		obsolete = append(obsolete, batchKey(s))
	}
	for p := range previous.Count {
		obsolete = append(obsolete, snapshotKey(previous.Seq, p))
	}
	start := time.Now()
	if c.sweptSince.IsZero() || c.sweptSince.Before(time.Unix(0, l.lastUnanswered.Load()).Add(lateWriteWindow)) {
		leftovers, err := l.leftoverKeys(ctx, previous.Seq, seq)
		if err != nil {
			return err
		}
		obsolete = append(obsolete, leftovers...)
	}
	for len(obsolete) > 0 {
		n := min(len(obsolete), l.maxTxnOps, max(1, l.writes.Burst()/2))
		txn := &wire.Txn{If: []wire.Condition{guard}}
		for _, k := range obsolete[:n] {
			txn.Then = append(txn.Then, wire.Write{Delete: k})
		}
		if err := l.commitPaced(ctx, txn, checkDeposed); err != nil {
			return err
		}
		c.notifyProgress()
		obsolete = obsolete[n:]
	}
	c.sweptSince = start
	return nil
}

func (c *Compactor) notifyProgress() {
	if c.OnProgress != nil {
		c.OnProgress()
	}
}

// leftoverKeys lists what compactions that were cut short have left: batches that the last
// snapshot covered, and parts of snapshots other than it and the one that replaced it.
func (l *Log) leftoverKeys(ctx context.Context, previousSeq, currentSeq uint64) (keys []string, err error) {
	inUse := func(key string) bool {
		for _, seq := range []uint64{previousSeq, currentSeq} {
			if strings.HasPrefix(key, strings.TrimSuffix(snapshotKey(seq, 0), "0000")) {
				return true
			}
		}
		return false
	}
	for _, in := range []struct{ prefix, end string }{{prefixLog, batchKey(previousSeq + 1)}, {prefixSnapshot, snapshotKey(currentSeq, 0)}} {
		after, more := "", true
		for more {
			var page *wire.Items
			if err := retryRead(
				ctx,
				func() (err error) { page, err = l.store.Range(ctx, in.prefix, after, sweepPageSize); return err },
			); err != nil {
				return nil, err
			}
			more = page.More && len(page.Items) > 0
			for _, it := range page.Items {
				if after = it.Key; after >= in.end {
					more = false
				} else if !inUse(after) {
					keys = append(keys, after)
				}
			}
		}
	}
	return keys, nil
}

// lateWriteWindow is for how long after a write without an answer each compaction looks for what a late copy may have
// brought back: a batch, or a part of a snapshot, that was deleted meanwhile. Nobody reads it, but it would stay for
// good, and a leader may lead for months.
const lateWriteWindow = 5 * time.Minute

// sweepPageSize is how many keys a sweep reads at once, with their values of some kilobytes each.
const sweepPageSize = 64

// PartitionedNode is a node that reads the log but does not reach the leader.
type PartitionedNode struct {
	Node    string
	Seq     uint64 // how far it had read the log
	Version uint64 // of the record: it grows with each
	Data    []byte // what else it says, at most MaxData bytes
	// Parts is what it says beyond that, MaxPartitionedNodeParts-1 parts at most. Each, and Data, is complete in
	// itself: a reader may find parts that are newer than Data, and an older version reads Data alone.
	Parts [][]byte
}

// maxTxnBytes is less than what the state service takes as one transaction, which is 64 KiB, and valueOverhead more
// than a value takes besides its data.
const (
	maxTxnBytes   = 60 << 10
	valueOverhead = 256
)

// MaxPartitionedNodeParts is into how many parts of MaxData bytes what a node says may be cut: they are written in
// one transaction.
func (l *Log) MaxPartitionedNodeParts() int {
	return max(1, min(l.maxTxnOps, maxTxnBytes/(base64.StdEncoding.EncodedLen(l.maxData)+valueOverhead)))
}

func keyPartitionedPart(node string, part int) string {
	return fmt.Sprintf("%s%s/%04d", prefixPartitionedParts, node, part)
}

// PutPartitionedNode tells the leader that this node does not reach it. Further parts of an earlier, longer record
// stay and count for nothing.
func (l *Log) PutPartitionedNode(ctx context.Context, node PartitionedNode) error {
	t := &wire.Txn{
		Then: []wire.Write{
			{Put: prefixPartitioned + node.Node, Value: &wire.LogValue{Version: formatVersion, Node: node.Node,
				Seq: node.Seq, Count: len(node.Parts), Data: base64.StdEncoding.EncodeToString(node.Data)}},
		},
	}
	for i, part := range node.Parts {
		t.Then = append(t.Then, wire.Write{Put: keyPartitionedPart(node.Node, i+1), Value: &wire.LogValue{
			Version: formatVersion, Node: node.Node, Data: base64.StdEncoding.EncodeToString(part)}})
	}
	_, err := l.store.Txn(ctx, t)
	if msgpackhttp.StatusCode(err) == http.StatusBadRequest && len(node.Parts) > 0 {
		node.Parts = nil // that it is written at all matters more
		return l.PutPartitionedNode(ctx, node)
	}
	return err
}

// PartitionedNodes lists the nodes that at some time did not reach the leader.
func (l *Log) PartitionedNodes(ctx context.Context) ([]PartitionedNode, error) {
	var nodes []PartitionedNode
	long := false
	_, err := l.rangeAll(ctx, prefixPartitioned, "", func(it *wire.Item) error {
		value, data, err := decodeValue(it.Value)
		if err != nil {
			return err
		}
		a := PartitionedNode{Node: value.Node, Seq: value.Seq, Version: it.Version, Data: data}
		if value.Count > 0 && value.Count <= pageKeys {
			a.Parts, long = make([][]byte, value.Count), true
		}
		nodes = append(nodes, a)
		return nil
	})
	if err != nil || !long {
		return nodes, err
	}
	byKey := map[string][]byte{}
	_, err = l.rangeAll(ctx, prefixPartitionedParts, "", func(it *wire.Item) error {
		_, data, err := decodeValue(it.Value)
		byKey[it.Key] = data
		return err
	})
	if err != nil {
		return nil, err
	}
	for _, a := range nodes {
		for i := range a.Parts {
			a.Parts[i] = byKey[keyPartitionedPart(a.Node, i+1)]
		}
	}
	return nodes, nil
}

// commitPaced does the work of a compaction, which nobody waits for: it takes only what
// the budget has left over, so that a batch for which users wait finds room at
// once. When little is ever left over it goes on slowly all the same, or the log
// would grow without bound.
func (l *Log) commitPaced(ctx context.Context, txn *wire.Txn, onConflict func([]string) error) error {
	const pollInterval, maxWait = 100 * time.Millisecond, 3 * time.Second
	needed := float64(min(len(txn.Then), l.writes.Burst()))
	wantedTokens := min(float64(l.writes.Burst()), needed+float64(l.writes.Burst())/2)
	for waited := time.Duration(0); l.writes.Tokens() < wantedTokens && waited < maxWait; waited += pollInterval {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(pollInterval):
		}
	}
	return l.commit(ctx, txn, onConflict)
}
