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

// store is an emulated key-value store that the logs of several nodes use.
type store struct {
	t       *testing.T
	ctx     context.Context
	net     *emulator.Network
	service *emulator.KVStore
	lastSeq uint64 // last batch appended
}

type node struct {
	*oplog.Log
	client     *kvstore.Client
	leadership *election.Leadership
}

const stateAddr = "state:1"

var discardLogger = slog.New(slog.DiscardHandler)

// withStore calls run in virtual time with an empty store.
func withStore(t *testing.T, run func(s *store)) {
	synctest.Test(t, func(t *testing.T) {
		ctx, stop := context.WithCancel(context.Background())
		s := &store{t: t, ctx: ctx, net: emulator.NewNetwork(), service: emulator.NewKVStore(1)}
		if err := s.service.Serve(ctx, s.net.Host("state"), stateAddr); err != nil {
			t.Fatal(err)
		}
		synctest.Wait()
		run(s)
		stop()
		time.Sleep(time.Minute)
	})
}

// open returns a node that has loaded the current log.
func (s *store) open(name string) *node {
	n := &node{client: kvstore.New(s.net.Host(name), stateAddr, 1000)}
	n.Log = oplog.New(n.client, 400, 8, 12, discardLogger)
	if _, err := n.Load(s.ctx); err != nil {
		s.t.Errorf("load by node %s: %v", name, err)
	}
	return n
}

func (s *store) elect(n *node, name string) {
	var err error
	if n.leadership, err = election.Acquire(s.ctx, n.client, name, discardLogger); err != nil {
		s.t.Fatal(err)
	}
}

func (s *store) depose(n *node) { _ = n.client.Revoke(s.ctx, n.leadership.Lease) }

func data(seq uint64) []byte { return fmt.Appendf(nil, "batch %d", seq) }

// snapshot returns the snapshot up to batch seq, which is long enough for several parts.
func snapshot(seq uint64) []byte { return bytes.Repeat(fmt.Appendf(nil, "to %d;", seq), 3000) }

func (s *store) append(n *node, count int) {
	for range count {
		s.lastSeq++
		batch := oplog.Batch{Seq: s.lastSeq, Term: n.leadership.Term, Data: data(s.lastSeq)}
		if _, err := n.Append(s.ctx, &n.leadership.Leader, batch); err != nil {
			s.t.Fatal(err)
		}
	}
}

// requireComplete checks that a node that starts now loads all batches that were appended, as part of the snapshot or
// after it. It returns the last batch covered by the snapshot.
func (s *store) requireComplete(stage string) (snapSeq uint64) {
	s.t.Helper()
	n := oplog.New(kvstore.New(s.net.Host("new"), stateAddr, 1000), 400, 8, 12, discardLogger)
	loaded, err := n.Load(s.ctx)
	if err != nil {
		s.t.Fatalf("%s: %v", stage, err)
	}
	if loaded.SnapshotSeq > 0 && !bytes.Equal(loaded.Snapshot, snapshot(loaded.SnapshotSeq)) {
		s.t.Errorf("%s: snapshot up to batch %d differs from the one that was written", stage, loaded.SnapshotSeq)
	}
	next := loaded.SnapshotSeq
	for _, b := range loaded.Batches {
		if next++; b.Seq != next || !bytes.Equal(b.Data, data(next)) {
			s.t.Errorf("%s: got batch %d with data %q, want batch %d with data %q",
				stage, b.Seq, b.Data, next, data(next))
		}
	}
	if next != s.lastSeq {
		s.t.Errorf("%s: log ends at batch %d, want %d", stage, next, s.lastSeq)
	}
	return loaded.SnapshotSeq
}

// TestCompactionAfterFailover checks the compaction of a new leader whose predecessor compacted the log after the new
// leader had loaded it. If the new leader relied on the manifest that it had loaded, the store would refuse its new
// manifest. If the new leader then deleted the replaced batches nevertheless, no starting node could load the log until
// the next compaction.
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
			t.Errorf("current snapshot covers up to batch %d, want 9", seq)
		}
	})
}

// TestCompactionInterruptedAnywhere interrupts the compactions of two successive leaders after every possible number of
// milliseconds. The log must be complete after each compaction, and the uninterrupted compaction of a third leader must
// leave no obsolete keys.
func TestCompactionInterruptedAnywhere(t *testing.T) {
	const step = time.Millisecond
	interruptions := 0
	for interruptAfter := step; ; interruptAfter += step {
		done := false
		withStore(t, func(s *store) {
			nodes := []*node{s.open("a"), s.open("b"), s.open("c")}
			for i, n := range nodes {
				s.elect(n, string(rune('a'+i)))
				stage := fmt.Sprintf("%v into compaction %d", interruptAfter, i)
				interrupted := s.compactInterrupted(n, i < 2, interruptAfter, stage)
				if interrupted {
					interruptions++
				}
				done = done || i == 1 && !interrupted
				s.depose(n)
			}
			remaining := s.keysOfLog(nodes[0])
			part := nodes[0].MaxBatchBytes()
			if want := 4 + (len(snapshot(57))+part-1)/part; len(remaining) != want {
				t.Errorf("interrupted after %v: %d keys remain, want %d: %v",
					interruptAfter, len(remaining), want, remaining)
			}
		})
		if done || t.Failed() {
			break
		}
	}
	if interruptions < 20 {
		t.Errorf("only %d compactions were interrupted, want at least 20", interruptions)
	}
}

// compactInterrupted makes a leader append batches and compact the log, cancels the compaction after interruptAfter if
// mayInterrupt, and checks that the log is complete afterwards. It reports whether the compaction was interrupted
// before its end.
func (s *store) compactInterrupted(
	n *node, mayInterrupt bool, interruptAfter time.Duration, stage string,
) (interrupted bool) {
	s.t.Helper()
	s.append(n, 20)
	ctx, stop := context.WithCancel(s.ctx)
	if mayInterrupt {
		time.AfterFunc(interruptAfter, stop)
	}
	err := n.NewCompactor(n.leadership.Fence()).Compact(ctx, s.lastSeq-3, snapshot(s.lastSeq-3))
	stop()
	time.Sleep(3 * time.Second) // requests in flight have been executed by then
	s.requireComplete(stage)
	if mayInterrupt && errors.Is(err, context.Canceled) {
		return true
	}
	if err != nil {
		s.t.Errorf("%s: %v", stage, err)
	}
	return false
}

// keysOfLog lists the keys of batches and snapshots.
func (s *store) keysOfLog(n *node) (keys []string) {
	s.t.Helper()
	page, err := n.client.Range(s.ctx, "f/", "", 1000)
	if err != nil {
		s.t.Fatal(err)
	}
	for _, item := range page.Items {
		if strings.HasPrefix(item.Key, "f/log/") || strings.HasPrefix(item.Key, "f/snap/") {
			keys = append(keys, item.Key)
		}
	}
	return keys
}

// TestEndBehindCompaction checks that a reader whose next batches were deleted by a compaction learns from BatchesAfter
// that batches are missing. If BatchesAfter returned none, a node that was paused for longer than a compaction would
// believe that it has read the log to its end, and report accepted jobs as unknown.
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
					t.Errorf("read %d batches after the last batch %d, want none", len(batches), from)
				case behind && (len(batches) == 0 || batches[len(batches)-1].Seq != s.lastSeq):
					t.Errorf("read %d batches after batch %d, want batches up to %d", len(batches), from, s.lastSeq)
				}
			}
		}
		s.requireComplete("after three compactions")
	})
}

// TestLateCopyOfADeletedBatch delays the first copy of a batch's transaction until the second copy and newer batches
// have been written and a compaction has deleted the batch. A reader must not mistake the recreated batch for the end
// of the log, and the next compaction must delete the batch again rather than leave it until another leader compacts.
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
		listBatches := func() (keys []string) {
			page, err := a.client.Range(s.ctx, "f/log/", "", 1000)
			if err != nil {
				t.Fatal(err)
			}
			for _, it := range page.Items {
				keys = append(keys, strings.TrimLeft(strings.TrimPrefix(it.Key, "f/log/"), "0"))
			}
			return keys
		}
		if actual := strings.Join(listBatches(), " "); actual != "11 12" {
			t.Fatalf("after the compaction the batches are %s, want 11 12", actual)
		}
		time.Sleep(2500 * time.Millisecond)
		if actual := strings.Join(listBatches(), " "); actual != "6 11 12" {
			t.Fatalf("after the late copy the batches are %s, want 6 11 12", actual)
		}
		s.requireComplete("after the late copy")
		actual, err := a.BatchesAfter(s.ctx, 5)
		if err != nil || len(actual) < 2 || actual[0].Seq != 6 || actual[1].Seq == 7 {
			t.Errorf("read of batches after 5 returned %v, error %v; want batch 6 and a gap after it", actual, err)
		}
		s.append(a, 4)
		if err := compactor.Compact(s.ctx, 14, snapshot(14)); err != nil {
			t.Fatal(err)
		}
		if actual := strings.Join(listBatches(), " "); actual != "14 15 16" {
			t.Errorf("after the next compaction the batches are %s, want 14 15 16", actual)
		}
		s.requireComplete("after the next compaction")
	})
}

// TestLostResponses checks that a write whose response is lost is sent again soon, so that a lost response delays the
// following writes by about half a second rather than by the request's time-out of two seconds. The log must have each
// batch once, as it was first written.
func TestLostResponses(t *testing.T) {
	withStore(t, func(s *store) {
		n := s.open("n0")
		s.elect(n, "n0")
		go func() {
			_ = election.RenewUntilLost(s.ctx, n.client, n.leadership, alwaysInProgress, func(time.Time) {})
		}()
		s.service.DropResponses(0.3)
		const batches = 60
		start := time.Now()
		for seq := uint64(1); seq <= batches; seq++ {
			batch := oplog.Batch{Seq: seq, Term: n.leadership.Term, Data: data(seq)}
			if _, err := n.Append(s.ctx, &n.leadership.Leader, batch); err != nil {
				t.Error(err)
				return
			}
		}
		elapsed, lost := time.Since(start), s.service.DroppedResponses()["put f/log"]
		if lost < 10 {
			t.Errorf("%d responses were lost, want at least 10", lost)
		}
		if limit := time.Duration(lost) * 600 * time.Millisecond; elapsed > limit {
			t.Errorf("%d batches took %v with %d lost responses, want at most %v", batches, elapsed, lost, limit)
		}
		s.service.DropResponses(0)
		loaded, err := s.open("n1").Load(s.ctx)
		if err != nil || len(loaded.Batches) != batches {
			t.Errorf("load: got error %v or a wrong number of batches, want no error and %d batches", err, batches)
			return
		}
		for i, b := range loaded.Batches {
			if !bytes.Equal(b.Data, data(uint64(i+1))) {
				t.Errorf("batch %d has data %q, want %q", i+1, b.Data, data(uint64(i+1)))
			}
		}
	})
}

// TestAllNodesAreRead checks that the lists of partitioned nodes and of participants in singleton roles are complete
// even if they span several pages. If a node were missing from the lists, its zone would appear partitioned.
func TestAllNodesAreRead(t *testing.T) {
	const nodes = 60 // the emulator returns 50 keys per page
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
			t.Errorf("read %d partitioned nodes, error %v; want %d nodes", len(partitioned), err, nodes)
		}
		roles, revision, err := n.Roles(s.ctx)
		if err != nil || len(roles) != nodes || revision == 0 {
			t.Errorf("read %d participants at revision %d, error %v; want %d at a revision above 0",
				len(roles), revision, err, nodes)
		}
	})
}

// TestLongPartitionRecord checks that the record of a partitioned node is read back completely if it is longer than one
// value, and that the remaining parts of a longer record are ignored after a shorter one was written.
func TestLongPartitionRecord(t *testing.T) {
	withStore(t, func(s *store) {
		n := s.open("a")
		if n.MaxPartitionedNodeParts() < 7 {
			t.Errorf("at most %d parts per record, want at least 7", n.MaxPartitionedNodeParts())
		}
		read := func() oplog.PartitionedNode {
			t.Helper()
			list, err := n.PartitionedNodes(s.ctx)
			if err != nil || len(list) != 2 {
				t.Fatalf("got partitioned nodes %v, error %v; want 2 nodes", list, err)
			}
			return list[1]
		}
		part := func(b byte) []byte { return bytes.Repeat([]byte{b}, n.MaxBatchBytes()) }
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
				t.Errorf("record of a partitioned node (-want +got):\n%s", d)
			}
		}
		if _, err := n.Load(s.ctx); err != nil {
			t.Errorf("load of the log beside the records of partitioned nodes: %v", err)
		}
	})
}

// alwaysInProgress is the progress of a leader that never stalls.
func alwaysInProgress() bool { return true }
