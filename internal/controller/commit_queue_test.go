package controller

import (
	"errors"
	"fmt"
	"slices"
	"strings"
	"testing"

	"fieldhill/internal/replication/oplog"
)

// TestEnqueue checks which batch of the queue an entry is added to: the last batch or, with firstFit, the first batch
// that has space. An entry that does not fit there is added to a new batch at the end.
func TestEnqueue(t *testing.T) {
	const maxBatchBytes = 8
	for name, test := range map[string]struct {
		queue     []string
		data      string
		firstFit  bool
		want      []string
		wantIndex int
	}{
		"first entry":                 {nil, "ab", false, []string{"ab"}, 0},
		"last batch has space":        {[]string{"abcdef"}, "gh", false, []string{"abcdefgh"}, 0},
		"last batch is full":          {[]string{"abcdefg"}, "hi", false, []string{"abcdefg", "hi"}, 1},
		"several batches":             {[]string{"a", "b"}, "c", false, []string{"a", "bc"}, 1},
		"first fit in first batch":    {[]string{"a", "b"}, "c", true, []string{"ac", "b"}, 0},
		"first fit in later batch":    {[]string{"abcdefg", "b", "c"}, "de", true, []string{"abcdefg", "bde", "c"}, 1},
		"first fit, all batches full": {[]string{"abcdefg"}, "hi", true, []string{"abcdefg", "hi"}, 1},
		"larger than a batch":         {[]string{"a"}, "0123456789", true, []string{"a", "0123456789"}, 1},
	} {
		t.Run(name, func(t *testing.T) {
			commits := &commitPipelineTerm{}
			for _, batch := range test.queue {
				commits.queue = append(commits.queue, []byte(batch))
			}
			index := commits.enqueue([]byte(test.data), maxBatchBytes, test.firstFit)
			got := make([]string, 0, len(commits.queue))
			for _, batch := range commits.queue {
				got = append(got, string(batch))
			}
			if index != test.wantIndex || !slices.Equal(got, test.want) {
				t.Errorf("batch %d of %q, want %d of %q", index, got, test.wantIndex, test.want)
			}
		})
	}
}

// TestCommitWaiters checks that a commit notifies the waiters for its batch and for earlier ones, in order of
// registration, and that the end of a term notifies the remaining waiters of an unknown outcome.
func TestCommitWaiters(t *testing.T) {
	commits := &commitPipelineTerm{}
	var results []string
	for _, seq := range []uint64{3, 1, 2, 4} {
		commits.commitWaiters = append(commits.commitWaiters, commitWaiter{seq, func(ok bool) {
			results = append(results, fmt.Sprint(seq, ok))
		}})
	}
	for _, waiter := range commits.takeWaiters(2) {
		waiter.onResult(true)
	}
	commits.failWaiters()
	want := "1 true, 2 true, 3 false, 4 false"
	if got := strings.Join(results, ", "); got != want || len(commits.commitWaiters) > 0 {
		t.Errorf("got results %s and %d remaining waiters, want %s and none", got, len(commits.commitWaiters), want)
	}
}

// TestSequenceGap checks that a log batch that does not directly follow the last one applied is rejected with a
// sequenceGapError, and that a batch that was applied before is ignored.
func TestSequenceGap(t *testing.T) {
	withIdleController(t, 800, func(c *Controller) {
		if err := c.replica.applyBatches([]oplog.Batch{{Seq: 1}, {Seq: 1}, {Seq: 2}}); err != nil {
			t.Fatal(err)
		}
		err := c.replica.applyBatch(oplog.Batch{Seq: 4})
		var gap *sequenceGapError
		if !errors.As(err, &gap) || gap.Seq != 4 || gap.Applied != 2 || c.replica.appliedSeq != 2 {
			t.Errorf("got error %v with batch %d applied, want a gap before batch 4 with batch 2 applied",
				err, c.replica.appliedSeq)
		}
	})
}

// TestListenersAreClosed checks that a controller that fails to listen on one of its addresses closes the listeners
// that it has opened on the others.
func TestListenersAreClosed(t *testing.T) {
	withIdleController(t, 800, func(c *Controller) {
		c.settings.Bind, c.settings.PeerListen = "n0:1", "n0:2"
		taken, err := c.network.Listen(c.settings.PeerListen)
		if err != nil {
			t.Fatal(err)
		}
		if _, err := c.listen(); err == nil || !strings.Contains(err.Error(), "peer listener") {
			t.Errorf("got error %v, want one that names the peer listener", err)
		}
		if err := taken.Close(); err != nil {
			t.Fatal(err)
		}
		opened, err := c.listen()
		if err != nil {
			t.Fatalf("listen after a failed attempt: got error %v, want none", err)
		}
		if err := opened.close(); err != nil {
			t.Error(err)
		}
	})
}
