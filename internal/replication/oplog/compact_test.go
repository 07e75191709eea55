package oplog_test

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"log/slog"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"

	"fieldhill/internal/emulator"
	"fieldhill/internal/platform/kvstore"
	"fieldhill/internal/replication/election"
	"fieldhill/internal/replication/oplog"
	"fieldhill/internal/testing/virtualtime"
)

func TestMain(m *testing.M) { virtualtime.Main(m) }

// store is an emulated key-value store with logs that use it, each as a node of its own.
type store struct {
	test    *testing.T
	ctx     context.Context
	net     *emulator.Network
	service *emulator.KVStore
	lastSeq uint64 // batch appended
}

type node struct {
	*oplog.Log
	store      *kvstore.Client
	leadership *election.Leadership
}

const stateAddr = "state:1"

var discardLogger = slog.New(slog.DiscardHandler)

func withStore(t *testing.T, f func(s *store)) {
	synctest.Test(t, func(t *testing.T) {
		ctx, stop := context.WithCancel(context.Background())
		s := &store{test: t, ctx: ctx, net: emulator.NewNetwork(), service: emulator.NewKVStore(1)}
		if err := s.service.Serve(ctx, s.net.Host("state"), stateAddr); err != nil {
			t.Fatal(err)
		}
		synctest.Wait()
		f(s)
		stop()
		time.Sleep(time.Minute)
	})
}

// open makes a node that has read the log as it is now.
func (s *store) open(name string) *node {
	n := &node{store: kvstore.New(s.net.Host(name), stateAddr, 1000)}
	n.Log = oplog.New(n.store, 400, 8, 12, discardLogger)
	if _, err := n.Load(s.ctx); err != nil {
		s.test.Errorf("%s reads the log: %v", name, err)
	}
	return n
}

func (s *store) elect(n *node, name string) {
	var err error
	if n.leadership, err = election.Acquire(s.ctx, n.store, name, discardLogger); err != nil {
		s.test.Fatal(err)
	}
}

func (s *store) depose(n *node) { _ = n.store.Revoke(s.ctx, n.leadership.Lease) }

func data(seq uint64) []byte { return fmt.Appendf(nil, "batch %d", seq) }

// snapshot is some parts long.
func snapshot(seq uint64) []byte { return bytes.Repeat(fmt.Appendf(nil, "to %d;", seq), 3000) }

func (s *store) append(n *node, k int) {
	for range k {
		s.lastSeq++
		batch := oplog.Batch{Seq: s.lastSeq, Term: n.leadership.Term, Data: data(s.lastSeq)}
		if err := n.Append(s.ctx, &n.leadership.Leader, batch); err != nil {
			s.test.Fatal(err)
		}
	}
}

// requireComplete demands that a node which starts now finds everything that was appended.
func (s *store) requireComplete(stage string) (snapSeq uint64) {
	s.test.Helper()
	n := oplog.New(kvstore.New(s.net.Host("new"), stateAddr, 1000), 400, 8, 12, discardLogger)
	loaded, err := n.Load(s.ctx)
	if err != nil {
		s.test.Fatalf("%s: %v", stage, err)
	}
	if loaded.SnapshotSeq > 0 && !bytes.Equal(loaded.Snapshot, snapshot(loaded.SnapshotSeq)) {
		s.test.Errorf("%s: the snapshot to %d is not what was written", stage, loaded.SnapshotSeq)
	}
	next := loaded.SnapshotSeq
	for _, b := range loaded.Batches {
		if next++; b.Seq != next || !bytes.Equal(b.Data, data(next)) {
			s.test.Errorf("%s: batch %d is %d, %q", stage, next, b.Seq, b.Data)
		}
	}
	if next != s.lastSeq {
		s.test.Errorf("%s: the log ends at %d, not %d", stage, next, s.lastSeq)
	}
	return loaded.SnapshotSeq
}

// TestCompactionAfterFailover: a follower that becomes leader compacts a log that its predecessor has compacted since
// it read it. It took the predecessor's snapshot for the one that it had read itself, so that its own was refused,
// and deleted the batches behind it all the same: until its next compaction no node that started could read the log.
func TestCompactionAfterFailover(t *testing.T) {
	withStore(t, func(s *store) {
		a, b := s.open("a"), s.open("b")
		s.elect(a, "a")
		s.append(a, 6)
		if err := a.NewCompactor(a.leadership.Fence()).Compact(s.ctx, 4, snapshot(4)); err != nil {
			t.Fatal(err)
		}
		s.depose(a)
		s.elect(b, "b")
		s.append(b, 4)
		if err := b.NewCompactor(b.leadership.Fence()).Compact(s.ctx, 9, snapshot(9)); err != nil {
			t.Fatal(err)
		}
		if seq := s.requireComplete("after the second leader's compaction"); seq != 9 {
			t.Errorf("the snapshot in force is that to %d", seq)
		}
	})
}

// TestCompactionCutAnywhere ends compactions of three leaders in turn at any moment: the log
// is whole after each, and the last one, which is not cut, leaves nothing behind.
func TestCompactionCutAnywhere(t *testing.T) {
	const step = time.Millisecond
	cutCount := 0
	for cutAfter := step; ; cutAfter += step {
		done := false
		withStore(t, func(s *store) {
			nodes := []*node{s.open("a"), s.open("b"), s.open("c")}
			for i, n := range nodes {
				s.elect(n, string(rune('a'+i)))
				cut := s.compactCut(n, i < 2, cutAfter, fmt.Sprintf("%v into compaction %d", cutAfter, i))
				if cut {
					cutCount++
				}
				done = done || i == 1 && !cut
				s.depose(n)
			}
			remaining := s.keysOfLog(nodes[0])
			part := nodes[0].MaxData()
			if want := 4 + (len(snapshot(57))+part-1)/part; len(remaining) != want {
				t.Errorf("cut after %v: %d keys are left instead of %d: %v", cutAfter, len(remaining), want, remaining)
			}
		})
		if done || t.Failed() {
			break
		}
	}
	if cutCount < 20 {
		t.Errorf("only %d compactions were cut", cutCount)
	}
}

// compactCut has a leader append and compact, ends the compaction after a while if it is to be cut, and demands that
// the log is whole then. It tells whether the compaction was cut.
func (s *store) compactCut(n *node, mayCut bool, cutAfter time.Duration, stage string) (cut bool) {
	s.test.Helper()
	s.append(n, 20)
	ctx, stop := context.WithCancel(s.ctx)
	if mayCut {
		time.AfterFunc(cutAfter, stop)
	}
	err := n.NewCompactor(n.leadership.Fence()).Compact(ctx, s.lastSeq-3, snapshot(s.lastSeq-3))
	stop()
	time.Sleep(3 * time.Second) // what was under way has arrived
	s.requireComplete(stage)
	if mayCut && errors.Is(err, context.Canceled) {
		return true
	}
	if err != nil {
		s.test.Errorf("%s: %v", stage, err)
	}
	return false
}

// keysOfLog lists the keys of batches and snapshots.
func (s *store) keysOfLog(n *node) (keys []string) {
	s.test.Helper()
	page, err := n.store.Range(s.ctx, "f/", "", 1000)
	if err != nil {
		s.test.Fatal(err)
	}
	for _, item := range page.Items {
		if strings.HasPrefix(item.Key, "f/log/") || strings.HasPrefix(item.Key, "f/snap/") {
			keys = append(keys, item.Key)
		}
	}
	return keys
}

// TestEndBehindCompaction: a reader that knows the log to a number that a compaction has passed learns, on reading
// its end, that batches are missing. It used to read nothing, took that for the end, and a node that had been paused
// for longer than a compaction called accepted jobs unknown.
func TestEndBehindCompaction(t *testing.T) {
	withStore(t, func(s *store) {
		a := s.open("a")
		s.elect(a, "a")
		for k := uint64(1); k <= 3; k++ {
			s.append(a, 10)
			for _, from := range []uint64{0, s.lastSeq - 12, s.lastSeq - 1, s.lastSeq} {
				if from > s.lastSeq {
					continue
				}
				compactor := a.NewCompactor(a.leadership.Fence())
				if err := compactor.Compact(s.ctx, s.lastSeq, snapshot(s.lastSeq)); err != nil {
					t.Fatal(err)
				}
				batches, err := a.BatchesAfter(s.ctx, from)
				if err != nil {
					t.Fatal(err)
				}
				switch behind := from < s.lastSeq; {
				case !behind && len(batches) != 0:
					t.Errorf("behind the end, %d, there are %d batches", from, len(batches))
				case behind && (len(batches) == 0 || batches[len(batches)-1].Seq != s.lastSeq):
					t.Errorf("from %d the end at %d is not seen: %d batches", from, s.lastSeq, len(batches))
				}
			}
		}
		s.requireComplete("after three compactions")
	})
}

// TestLateCopyOfADeletedBatch: the first copy of a batch's write has no answer and is carried out after the repeat,
// after newer batches and after the compaction that deleted the batch. A reader of the log does not take it for the
// log's end, and the next compaction deletes it again: it used to stay until another leader compacted.
func TestLateCopyOfADeletedBatch(t *testing.T) {
	withStore(t, func(s *store) {
		a := s.open("a")
		s.elect(a, "a")
		s.append(a, 5)
		s.service.DelayTxns(1, time.Millisecond)
		time.AfterFunc(10*time.Millisecond, func() { s.service.DelayTxns(0, 0) })
		s.append(a, 1)
		s.append(a, 6)
		compactor := a.NewCompactor(a.leadership.Fence())
		if err := compactor.Compact(s.ctx, 11, snapshot(11)); err != nil {
			t.Fatal(err)
		}
		batchNumbers := func() (keys []string) {
			page, err := a.store.Range(s.ctx, "f/log/", "", 1000)
			if err != nil {
				t.Fatal(err)
			}
			for _, it := range page.Items {
				keys = append(keys, strings.TrimLeft(strings.TrimPrefix(it.Key, "f/log/"), "0"))
			}
			return keys
		}
		if actual := strings.Join(batchNumbers(), " "); actual != "11 12" {
			t.Fatalf("after the compaction there are %s", actual)
		}
		time.Sleep(2500 * time.Millisecond)
		if actual := strings.Join(batchNumbers(), " "); actual != "6 11 12" {
			t.Fatalf("no late copy came: %s", actual)
		}
		s.requireComplete("after the late copy")
		actual, err := a.BatchesAfter(s.ctx, 5)
		if err != nil || len(actual) < 2 || actual[0].Seq != 6 || actual[1].Seq == 7 {
			t.Errorf("a reader that knows the log to 5 does not see that batches are missing: %v, %v", actual, err)
		}
		s.append(a, 4)
		if err := compactor.Compact(s.ctx, 14, snapshot(14)); err != nil {
			t.Fatal(err)
		}
		if actual := strings.Join(batchNumbers(), " "); actual != "14 15 16" {
			t.Errorf("after the next compaction there are %s", actual)
		}
		s.requireComplete("after the next compaction")
	})
}

// TestLostAnswers: a write whose answer is lost is sent again soon, and holds up those behind it for half a second,
// not for two; the log has each batch once, as it was first written.
func TestLostAnswers(t *testing.T) {
	withStore(t, func(s *store) {
		n := s.open("n0")
		s.elect(n, "n0")
		go func() { _ = election.RenewUntilLost(s.ctx, n.store, n.leadership, func(time.Time) {}) }()
		s.service.DropResponses(0.3)
		const batches = 60
		start := time.Now()
		for seq := uint64(1); seq <= batches; seq++ {
			batch := oplog.Batch{Seq: seq, Term: n.leadership.Term, Data: data(seq)}
			if err := n.Append(s.ctx, &n.leadership.Leader, batch); err != nil {
				t.Error(err)
				return
			}
		}
		elapsed, lost := time.Since(start), s.service.DroppedResponses()["put f/log"]
		if lost < 10 {
			t.Errorf("%d answers were lost: too few to test anything", lost)
		}
		if limit := time.Duration(lost) * 600 * time.Millisecond; elapsed > limit {
			t.Errorf("%d batches took %v; %d answers were lost", batches, elapsed, lost)
		}
		s.service.DropResponses(0)
		loaded, err := s.open("n1").Load(s.ctx)
		if err != nil || len(loaded.Batches) != batches {
			t.Errorf("not all batches are read: %v", err)
			return
		}
		for i, b := range loaded.Batches {
			if !bytes.Equal(b.Data, data(uint64(i+1))) {
				t.Errorf("batch %d is %q", i+1, b.Data)
			}
		}
	})
}

// TestAllNodesAreRead: a reader of the partitioned nodes, or of those that take part in singleton roles, gets all of
// them, also where they are more than one page: a zone whose node did not count was taken for a partitioned one.
func TestAllNodesAreRead(t *testing.T) {
	const nodes = 60 // a page of the emulator has 50
	withStore(t, func(s *store) {
		n := s.open("a")
		for i := range nodes {
			name := fmt.Sprintf("n%03d", i)
			if err := n.PutPartitionedNode(s.ctx, oplog.PartitionedNode{Node: name, Seq: uint64(i)}); err != nil {
				t.Error(err)
			}
			if err := n.SetParticipation(s.ctx, name, true); err != nil {
				t.Error(err)
			}
		}
		partitioned, err := n.PartitionedNodes(s.ctx)
		if err != nil || len(partitioned) != nodes {
			t.Errorf("%d of %d nodes that don't reach the leader are read: %v", len(partitioned), nodes, err)
		}
		roles, rev, err := n.Roles(s.ctx)
		if err != nil || len(roles) != nodes || rev == 0 {
			t.Errorf("%d of %d nodes that take part are read, to %d: %v", len(roles), nodes, rev, err)
		}
	})
}

// TestLongPartitionRecord: a record that is longer than one value is read back whole, and nothing of it counts once a
// shorter one was written.
func TestLongPartitionRecord(t *testing.T) {
	withStore(t, func(s *store) {
		n := s.open("a")
		if n.MaxPartitionedNodeParts() < 7 {
			t.Errorf("%d parts", n.MaxPartitionedNodeParts())
		}
		read := func() oplog.PartitionedNode {
			t.Helper()
			list, err := n.PartitionedNodes(s.ctx)
			if err != nil || len(list) != 2 {
				t.Fatalf("%v, %v", list, err)
			}
			return list[1]
		}
		part := func(b byte) []byte { return bytes.Repeat([]byte{b}, n.MaxData()) }
		long := oplog.PartitionedNode{Node: "n2", Seq: 7, Data: part(0),
			Parts: [][]byte{part(1), part(2), part(3), part(4), part(5), part(6)}}
		short := oplog.PartitionedNode{Node: "n2", Seq: 8, Data: part(9), Parts: [][]byte{part(8)}}
		none := oplog.PartitionedNode{Node: "n2", Seq: 9, Data: part(1)}
		if err := n.PutPartitionedNode(s.ctx, oplog.PartitionedNode{Node: "n1", Data: part(9)}); err != nil {
			t.Error(err)
		}
		for _, written := range []oplog.PartitionedNode{long, short, none, long} {
			if err := n.PutPartitionedNode(s.ctx, written); err != nil {
				t.Error(err)
			}
			got := read()
			got.Version = 0
			if d := cmp.Diff(written, got); d != "" {
				t.Error(d)
			}
		}
		if _, err := n.Load(s.ctx); err != nil {
			t.Errorf("the log is read with such keys: %v", err)
		}
	})
}
