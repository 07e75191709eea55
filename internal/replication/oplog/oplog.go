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
// After compaction the batch's key is gone again (but for the last one that the snapshot covers), so a copy that is applied
// very late could bring it back; its number is below the snapshot's and nobody
// reads it, and the compactions of the next minutes delete it again (lateWrites). The key that names the snapshot is written under a condition on its
// own version, so it never goes back.
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
	prefix    = "f/"
	KeyLeader = "f/leader"
	KeyTerm   = "f/term"
	keyMeta   = "f/meta"
	prefixLog = "f/log/"
	prefixSnp = "f/snap/"
	prefixApt = "f/apart/"
	// prefixMore has what does not fit into a node's record under prefixApt: NODE/0001 and on.
	prefixMore = "f/apartmore/"
	version    = 1
)

// ErrDeposed says that another leader was elected, or none is.
var ErrDeposed = errors.New("oplog: no longer the leader")

// errGap says that the log changed under a reader, who must begin again.
var errGap = errors.New("oplog: batches are missing")

func keyLog(seq uint64) string            { return fmt.Sprintf("%s%015d", prefixLog, seq) }
func keySnap(seq uint64, part int) string { return fmt.Sprintf("%s%015d/%04d", prefixSnp, seq, part) }

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
	SnapSeq  uint64 // 0: no snapshot
	Snapshot []byte
	Batches  []Batch
	Revision uint64 // follow on from here
	Leader   *Leader
}

// Log reads and writes the log.
type Log struct {
	svc     *kvstore.Client
	writes  *rate.Limiter
	maxData int
	txnOps  int
	logger  *slog.Logger
	unsure  atomic.Int64 // when a write had no answer last, in nanoseconds; 0: none had
}

// New makes a log on the state service; writeRPS and valueKB are its limits.
func New(svc *kvstore.Client, writeRPS, valueKB float64, txnOps int, logger *slog.Logger) *Log {
	return &Log{
		svc: svc, writes: limiter(writeRPS * Usual), logger: logger,
		maxData: max(256, (int(valueKB*1024)-200)/4*3), txnOps: txnOps,
	}
}

func limiter(r float64) *rate.Limiter { return rate.NewLimiter(rate.Limit(r), burst(r)) }

func burst(r float64) int { return max(3, int(r*0.7)) }

// Share sets which part of the state service's write rate this node's log and clean-up may take.
func (l *Log) Share(writeRPS, part float64) {
	r := writeRPS * part
	l.writes.SetLimit(rate.Limit(r))
	l.writes.SetBurst(burst(r))
}

// Usual is the part of the write rate that a leader takes who cleans up as well. Room is kept for the election of the
// next leader.
const Usual = 0.85

// MaxData is how many bytes a batch may hold.
func (l *Log) MaxData() int { return l.maxData }

// pageKeys is how many keys a read asks for at once. A page may have fewer, by its bytes.
const pageKeys = 1000

// all reads every key with a prefix behind a key, page after page, and returns the revision of the first page: a watch
// from there sees whatever changes meanwhile.
func (l *Log) all(ctx context.Context, prefix, after string, visit func(it *wire.Item) error) (rev uint64, err error) {
	for {
		page, err := l.svc.Range(ctx, prefix, after, pageKeys)
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
	var v wire.LogValue
	if err := wire.Unmarshal(raw, &v); err != nil {
		return nil, nil, err
	}
	if v.Version != version {
		return nil, nil, fmt.Errorf("oplog: value of version %d", v.Version)
	}
	data, err := base64.StdEncoding.DecodeString(v.Data)
	return &v, data, err
}

func decodeLeader(raw msgpack.RawMessage, ver uint64) (*Leader, error) {
	v, _, err := decodeValue(raw)
	if err != nil {
		return nil, err
	}
	return &Leader{Node: v.Node, Term: v.Term, Lease: v.Lease, Version: ver}, nil
}

// Load reads snapshot and log. If a compaction runs meanwhile it begins again.
func (l *Log) Load(ctx context.Context) (*Loaded, error) {
	for range 5 {
		got, err := l.load(ctx)
		if !errors.Is(err, errGap) {
			return got, err
		}
	}
	return nil, errGap
}

func (l *Log) load(ctx context.Context) (*Loaded, error) {
	out := &Loaded{}
	// The first page holds everything outside log and snapshots, and its
	// revision is where the watch begins: whatever changes from here on is
	// seen again by the watch.
	var items []wire.Item
	rev, err := l.all(ctx, prefix, "", func(it *wire.Item) error {
		items = append(items, *it)
		return nil
	})
	if err != nil {
		return nil, err
	}
	out.Revision = rev
	byKey := map[string]*wire.Item{}
	for i := range items {
		byKey[items[i].Key] = &items[i]
	}
	if it := byKey[KeyLeader]; it != nil {
		if out.Leader, err = decodeLeader(it.Value, it.Version); err != nil {
			return nil, err
		}
	}
	if it := byKey[keyMeta]; it != nil {
		v, _, err := decodeValue(it.Value)
		if err != nil {
			return nil, err
		}
		out.SnapSeq = v.Seq
		for p := range v.Count {
			part := byKey[keySnap(v.Seq, p)]
			if part == nil {
				return nil, fmt.Errorf("%w: part %d of the snapshot to %d", errGap, p, v.Seq)
			}
			_, data, err := decodeValue(part.Value)
			if err != nil {
				return nil, err
			}
			out.Snapshot = append(out.Snapshot, data...)
		}
	}
	next := out.SnapSeq + 1
	for i := range items {
		key := items[i].Key
		if !strings.HasPrefix(key, prefixLog) || key < keyLog(next) {
			continue
		}
		if key != keyLog(next) {
			return nil, fmt.Errorf("%w: number %d, the snapshot is to %d", errGap, next, out.SnapSeq)
		}
		v, data, err := decodeValue(items[i].Value)
		if err != nil {
			return nil, err
		}
		out.Batches = append(out.Batches, Batch{Seq: next, Term: v.Term, Data: data})
		next++
	}
	return out, nil
}

// Tail is what a watch saw.
type Tail struct {
	Batches  []Batch
	Revision uint64
	// LeaderKnown tells whether the leader key changed, and Leader what to; nil: it is gone.
	LeaderKnown bool
	Leader      *Leader
}

// Follow waits for news after a revision. A status error with code 410 means
// that the log must be loaded again.
func (l *Log) Follow(ctx context.Context, after uint64, hold time.Duration) (*Tail, error) {
	ev, err := l.svc.Follow(ctx, prefix, after, hold)
	if err != nil {
		return nil, err
	}
	t := &Tail{Revision: max(after, ev.Revision)}
	for _, e := range ev.Events {
		switch {
		case e.Put == KeyLeader:
			if t.Leader, err = decodeLeader(e.Value, e.Version); err != nil {
				return nil, err
			}
			t.LeaderKnown = true
		case e.Delete == KeyLeader:
			t.LeaderKnown, t.Leader = true, nil
		case strings.HasPrefix(e.Put, prefixLog):
			b, err := batchOf(e.Put, e.Value)
			if err != nil {
				return nil, err
			}
			t.Batches = append(t.Batches, b)
		}
	}
	return t, nil
}

func batchOf(key string, raw msgpack.RawMessage) (Batch, error) {
	v, data, err := decodeValue(raw)
	if err != nil {
		return Batch{}, err
	}
	var seq uint64
	if _, err := fmt.Sscanf(strings.TrimPrefix(key, prefixLog), "%d", &seq); err != nil {
		return Batch{}, err
	}
	return Batch{Seq: seq, Term: v.Term, Data: data}, nil
}

// Since reads the batches behind a number: all of them that were committed
// before the call. If they don't begin with the next number, what lies between is in the snapshot, and the
// log must be loaded anew.
func (l *Log) Since(ctx context.Context, seq uint64) ([]Batch, error) {
	var out []Batch
	_, err := l.all(ctx, prefixLog, keyLog(seq), func(it *wire.Item) error {
		b, err := batchOf(it.Key, it.Value)
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
func (l *Log) Append(ctx context.Context, ld *Leader, b Batch) error {
	return l.commit(ctx, &wire.Txn{
		If: []wire.Guard{{Key: KeyLeader, Version: ld.Version}, {Key: keyLog(b.Seq)}},
		Then: []wire.Write{{Put: keyLog(b.Seq), Value: &wire.LogValue{
			Version: version, Term: b.Term, Data: base64.StdEncoding.EncodeToString(b.Data)}}},
	}, func(failed []string) error {
		if slices.Contains(failed, KeyLeader) {
			return ErrDeposed
		}
		// Only this leader can have written this key under this leader version,
		// and it never tries two different values: an earlier copy went through.
		return nil
	})
}

func (l *Log) commit(ctx context.Context, t *wire.Txn, conflict func([]string) error) error {
	pause := 20 * time.Millisecond
	for {
		if err := l.writes.WaitN(ctx, min(max(1, len(t.Then)), l.writes.Burst())); err != nil {
			return err
		}
		err := l.send(ctx, t)
		switch code := msgpackhttp.Code(err); {
		case err == nil:
			return nil
		case code == 409:
			var a wire.TxnAnswer
			var se *msgpackhttp.StatusError
			errors.As(err, &se)
			if err := wire.Unmarshal(se.Body, &a); err != nil || len(a.Failed) == 0 {
				// It can't be told which condition failed: ask again.
				l.logger.Warn("state service refused a write without saying why", "err", err)
				break
			}
			return conflict(a.Failed)
		case code == 400:
			return fmt.Errorf("oplog: the state service calls a write malformed: %w", err)
		}
		if ctx.Err() != nil {
			return ctx.Err()
		}
		l.logger.Debug("write without a result, repeating", "err", err)
		l.unsure.Store(time.Now().UnixNano())
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(pause):
		}
		pause = min(2*pause, 300*time.Millisecond)
	}
}

// sendAgain is after how long without an answer a transaction is sent once more at the earliest, sendAgainTimes after how many times the usual time, and sendMost
// how many copies may be under way.
const (
	sendAgain      = 400 * time.Millisecond
	sendAgainTimes = 4
	sendMost       = 3
)

// send sends a transaction, and again, unchanged, if the answer is long in coming: it may be lost, and everybody who waits for the log would wait for two seconds. The
// first answer that tells the transaction's fate counts; the other copies are like any that come late. Every transaction that is sent here may be repeated, see commit.
func (l *Log) send(ctx context.Context, t *wire.Txn) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	got := make(chan error, sendMost)
	try := func() {
		_, err := l.svc.Txn(ctx, t)
		got <- err
	}
	go try()
	again := time.NewTicker(max(sendAgain, sendAgainTimes*l.svc.WriteTime()))
	defer again.Stop()
	sent := 1
	for under := 1; ; {
		select {
		case err := <-got:
			if code := msgpackhttp.Code(err); err == nil || code == 409 || code == 400 || under == 1 {
				return err
			}
			under--
		case <-again.C:
			if sent < sendMost && l.writes.AllowN(time.Now(), max(1, len(t.Then))) {
				l.unsure.Store(time.Now().UnixNano())
				sent, under = sent+1, under+1
				go try()
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
	log   *Log
	fence Fence
	swept time.Time // since when what earlier terms left behind is deleted; zero: not yet
	Moved func()    // if set, it is called whenever a write got through
}

// Compactor makes one. What is in force it reads itself: between the time at which this node
// read the log and its election others may have compacted it. Two that compact under different keys do no harm
// to each other: what names the snapshot is written under a condition on its own version, and only whose name
// stands then deletes, what that name has replaced.
func (l *Log) Compactor(f Fence) *Compactor { return &Compactor{log: l, fence: f} }

// Fence is the leader's.
func (ld *Leader) Fence() Fence { return Fence{KeyLeader, ld.Version, ld.Term} }

// errMoved says that another snapshot came into force, which only another leader can bring about.
var errMoved = errors.New("oplog: the snapshot in force was replaced by another leader")

// meta reads which snapshot is in force, of how many parts, and the version of the key that
// says so; all are 0 if there is none.
func (l *Log) meta(ctx context.Context) (v *wire.LogValue, ver uint64, err error) {
	it, err := l.svc.Get(ctx, keyMeta)
	switch {
	case msgpackhttp.Code(err) == http.StatusNotFound:
		return &wire.LogValue{}, 0, nil
	case err != nil:
		return nil, 0, err
	}
	v, _, err = decodeValue(it.Value)
	return v, it.Version, err
}

// again repeats a read until it has an answer.
func again(ctx context.Context, read func() error) error {
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

// InForce tells to which number the snapshot in force is, 0 without one.
func (c *Compactor) InForce(ctx context.Context) (seq uint64, err error) {
	err = again(ctx, func() error {
		v, _, err := c.log.meta(ctx)
		if err == nil {
			seq = v.Seq
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
func (c *Compactor) Compact(ctx context.Context, seq uint64, snap []byte) error {
	l := c.log
	var old *wire.LogValue
	var ver uint64
	if err := again(ctx, func() (err error) { old, ver, err = l.meta(ctx); return err }); err != nil {
		return err
	}
	if old.Seq >= seq {
		return nil
	}
	deposed := func(failed []string) error {
		if slices.Contains(failed, c.fence.Key) {
			return ErrDeposed
		}
		return nil
	}
	guard := wire.Guard{Key: c.fence.Key, Version: c.fence.Version}
	parts := 0
	for rest := snap; len(rest) > 0; parts++ {
		n := min(len(rest), l.maxData)
		key := keySnap(seq, parts)
		t := &wire.Txn{If: []wire.Guard{guard, {Key: key}}, Then: []wire.Write{{Put: key, Value: &wire.LogValue{
			Version: version, Term: c.fence.Term, Data: base64.StdEncoding.EncodeToString(rest[:n])}}}}
		if err := l.paced(ctx, t, deposed); err != nil {
			return err
		}
		c.moved()
		rest = rest[n:]
	}
	err := l.commit(ctx, &wire.Txn{
		If:   []wire.Guard{guard, {Key: keyMeta, Version: ver}},
		Then: []wire.Write{{Put: keyMeta, Value: &wire.LogValue{Version: version, Term: c.fence.Term, Seq: seq, Count: parts}}},
	}, func(failed []string) error {
		if err := deposed(failed); err != nil {
			return err
		}
		// An earlier copy of this write went through, or somebody else's did: the key says which.
		var now *wire.LogValue
		if err := again(ctx, func() (err error) { now, _, err = l.meta(ctx); return err }); err != nil {
			return err
		}
		if now.Seq != seq || now.Term != c.fence.Term {
			return errMoved
		}
		return nil
	})
	if err != nil {
		return err
	}
	var drop []string
	// The last batch that the snapshot covers stays until the next one: who reads the log's end from an older number finds
	// it there, and that what lies between is gone. A node that woke after a compaction found nothing behind
	// its own number, took that for the end, and called accepted jobs unknown.
	for s := max(1, old.Seq); s < seq; s++ {
		drop = append(drop, keyLog(s))
	}
	for p := range old.Count {
		drop = append(drop, keySnap(old.Seq, p))
	}
	begun := time.Now()
	if c.swept.IsZero() || c.swept.Before(time.Unix(0, l.unsure.Load()).Add(lateWrites)) {
		more, err := l.leftBehind(ctx, old.Seq, seq)
		if err != nil {
			return err
		}
		drop = append(drop, more...)
	}
	for len(drop) > 0 {
		n := min(len(drop), l.txnOps, max(1, l.writes.Burst()/2))
		t := &wire.Txn{If: []wire.Guard{guard}}
		for _, k := range drop[:n] {
			t.Then = append(t.Then, wire.Write{Delete: k})
		}
		if err := l.paced(ctx, t, deposed); err != nil {
			return err
		}
		c.moved()
		drop = drop[n:]
	}
	c.swept = begun
	return nil
}

func (c *Compactor) moved() {
	if c.Moved != nil {
		c.Moved()
	}
}

// leftBehind lists what compactions that were cut short have left: batches that the last
// snapshot covered, and parts of snapshots other than it and the one that replaced it.
func (l *Log) leftBehind(ctx context.Context, last, now uint64) (keys []string, err error) {
	known := func(key string) bool {
		for _, seq := range []uint64{last, now} {
			if strings.HasPrefix(key, strings.TrimSuffix(keySnap(seq, 0), "0000")) {
				return true
			}
		}
		return false
	}
	for _, in := range []struct{ prefix, end string }{{prefixLog, keyLog(last + 1)}, {prefixSnp, keySnap(now, 0)}} {
		after, more := "", true
		for more {
			var page *wire.Items
			if err := again(ctx, func() (err error) { page, err = l.svc.Range(ctx, in.prefix, after, sweepPage); return err }); err != nil {
				return nil, err
			}
			more = page.More && len(page.Items) > 0
			for _, it := range page.Items {
				if after = it.Key; after >= in.end {
					more = false
				} else if !known(after) {
					keys = append(keys, after)
				}
			}
		}
	}
	return keys, nil
}

// lateWrites is for how long after a write without an answer each compaction looks for what a late copy may have brought back: a batch, or a part of
// a snapshot, that was deleted meanwhile. Nobody reads it, but it would stay for good, and a leader may lead for months.
const lateWrites = 5 * time.Minute

// sweepPage is how many keys a sweep reads at once, with their values of some kilobytes each.
const sweepPage = 64

// Apart is a node that reads the log but does not reach the leader.
type Apart struct {
	Node    string
	Seq     uint64 // how far it had read the log
	Version uint64 // of the record: it grows with each
	Data    []byte // what else it says, at most MaxData bytes
	// More is what it says beyond that, ApartParts-1 parts at most. Each, and Data, is complete in itself: a reader may
	// find parts that are newer than Data, and an older version reads Data alone.
	More [][]byte
}

// mostTxn is less than what the state service takes as one transaction, which is 64 KiB, and valueFrame more than a
// value takes besides its data.
const (
	mostTxn    = 60 << 10
	valueFrame = 256
)

// ApartParts is into how many parts of MaxData bytes what a node says may be cut: they are written in one transaction.
func (l *Log) ApartParts() int {
	return max(1, min(l.txnOps, mostTxn/(base64.StdEncoding.EncodedLen(l.maxData)+valueFrame)))
}

func keyMore(node string, part int) string { return fmt.Sprintf("%s%s/%04d", prefixMore, node, part) }

// PutApart tells the leader that this node does not reach it. Further parts of an earlier, longer record stay and count
// for nothing.
func (l *Log) PutApart(ctx context.Context, a Apart) error {
	t := &wire.Txn{Then: []wire.Write{{Put: prefixApt + a.Node, Value: &wire.LogValue{Version: version, Node: a.Node,
		Seq: a.Seq, Count: len(a.More), Data: base64.StdEncoding.EncodeToString(a.Data)}}}}
	for i, part := range a.More {
		t.Then = append(t.Then, wire.Write{Put: keyMore(a.Node, i+1), Value: &wire.LogValue{
			Version: version, Node: a.Node, Data: base64.StdEncoding.EncodeToString(part)}})
	}
	_, err := l.svc.Txn(ctx, t)
	if msgpackhttp.Code(err) == http.StatusBadRequest && len(a.More) > 0 {
		a.More = nil // that it is written at all matters more
		return l.PutApart(ctx, a)
	}
	return err
}

// Apart lists the nodes that at some time did not reach the leader.
func (l *Log) Apart(ctx context.Context) ([]Apart, error) {
	var out []Apart
	long := false
	_, err := l.all(ctx, prefixApt, "", func(it *wire.Item) error {
		v, data, err := decodeValue(it.Value)
		if err != nil {
			return err
		}
		a := Apart{Node: v.Node, Seq: v.Seq, Version: it.Version, Data: data}
		if v.Count > 0 && v.Count <= pageKeys {
			a.More, long = make([][]byte, v.Count), true
		}
		out = append(out, a)
		return nil
	})
	if err != nil || !long {
		return out, err
	}
	byKey := map[string][]byte{}
	_, err = l.all(ctx, prefixMore, "", func(it *wire.Item) error {
		_, data, err := decodeValue(it.Value)
		byKey[it.Key] = data
		return err
	})
	if err != nil {
		return nil, err
	}
	for _, a := range out {
		for i := range a.More {
			a.More[i] = byKey[keyMore(a.Node, i+1)]
		}
	}
	return out, nil
}

// paced does the work of a compaction, which nobody waits for: it takes only what
// the budget has left over, so that a batch for which users wait finds room at
// once. When little is ever left over it goes on slowly all the same, or the log
// would grow without bound.
func (l *Log) paced(ctx context.Context, t *wire.Txn, conflict func([]string) error) error {
	const look, patience = 100 * time.Millisecond, 3 * time.Second
	need := float64(min(len(t.Then), l.writes.Burst()))
	spare := min(float64(l.writes.Burst()), need+float64(l.writes.Burst())/2)
	for waited := time.Duration(0); l.writes.Tokens() < spare && waited < patience; waited += look {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(look):
		}
	}
	return l.commit(ctx, t, conflict)
}
