package controller

import (
	"errors"
	"fmt"
	"slices"
	"strings"
	"testing"

	"fieldhill/internal/replication/oplog"
)

// TestEnqueue checks into which batch an entry goes: the last, unless it is full, and with ahead the first that has
// space for it.
func TestEnqueue(t *testing.T) {
	const maxData = 8
	for name, test := range map[string]struct {
		queue []string
		data  string
		ahead bool
		want  []string
		index int
	}{
		"first entry":            {nil, "ab", false, []string{"ab"}, 0},
		"last batch has space":   {[]string{"abcdef"}, "gh", false, []string{"abcdefgh"}, 0},
		"last batch is full":     {[]string{"abcdefg"}, "hi", false, []string{"abcdefg", "hi"}, 1},
		"behind earlier batches": {[]string{"a", "b"}, "c", false, []string{"a", "bc"}, 1},
		"ahead of bulk":          {[]string{"a", "b"}, "c", true, []string{"ac", "b"}, 0},
		"ahead where it fits":    {[]string{"abcdefg", "b", "c"}, "de", true, []string{"abcdefg", "bde", "c"}, 1},
		"ahead, none has space":  {[]string{"abcdefg"}, "hi", true, []string{"abcdefg", "hi"}, 1},
		"larger than a batch":    {[]string{"a"}, "0123456789", true, []string{"a", "0123456789"}, 1},
	} {
		t.Run(name, func(t *testing.T) {
			commits := &commitPipelineTerm{}
			for _, batch := range test.queue {
				commits.queue = append(commits.queue, []byte(batch))
			}
			index := commits.enqueue([]byte(test.data), maxData, test.ahead)
			got := make([]string, 0, len(commits.queue))
			for _, batch := range commits.queue {
				got = append(got, string(batch))
			}
			if index != test.index || !slices.Equal(got, test.want) {
				t.Errorf("batch %d of %q, want %d of %q", index, got, test.index, test.want)
			}
		})
	}
}

// TestCommitWaiters checks that a commit is told to those who wait for it or for an earlier one, in their order, and
// the end of a term to the rest.
func TestCommitWaiters(t *testing.T) {
	commits := &commitPipelineTerm{}
	var told []string
	for _, seq := range []uint64{3, 1, 2, 4} {
		commits.commitWaiters = append(commits.commitWaiters, commitWaiter{seq, func(ok bool) {
			told = append(told, fmt.Sprint(seq, ok))
		}})
	}
	for _, waiter := range commits.takeWaiters(2) {
		waiter.onResult(true)
	}
	commits.failWaiters()
	want := "1 true, 2 true, 3 false, 4 false"
	if got := strings.Join(told, ", "); got != want || len(commits.commitWaiters) > 0 {
		t.Errorf("%s and %d waiting, want %s", got, len(commits.commitWaiters), want)
	}
}

// TestSequenceGap checks that a batch which does not follow the last one applied is refused by a typed error, and one
// that is applied already is passed over.
func TestSequenceGap(t *testing.T) {
	withIdleController(t, 800, func(c *Controller) {
		if err := c.replica.applyBatches([]oplog.Batch{{Seq: 1}, {Seq: 1}, {Seq: 2}}); err != nil {
			t.Fatal(err)
		}
		err := c.replica.applyBatch(oplog.Batch{Seq: 4})
		var gap *sequenceGapError
		if !errors.As(err, &gap) || gap.Seq != 4 || gap.Applied != 2 || c.replica.appliedSeq != 2 {
			t.Errorf("%v after batch %d", err, c.replica.appliedSeq)
		}
	})
}

// TestListenersAreClosed checks that a controller which can't listen on all of its addresses listens on none.
func TestListenersAreClosed(t *testing.T) {
	withIdleController(t, 800, func(c *Controller) {
		c.settings.Bind, c.settings.PeerListen = "n0:1", "n0:2"
		taken, err := c.network.Listen(c.settings.PeerListen)
		if err != nil {
			t.Fatal(err)
		}
		if _, err := c.listen(); err == nil || !strings.Contains(err.Error(), "peer listener") {
			t.Errorf("error %v, want one that names the peer listener", err)
		}
		if err := taken.Close(); err != nil {
			t.Fatal(err)
		}
		opened, err := c.listen()
		if err != nil {
			t.Fatalf("the API listener was left open: %v", err)
		}
		if err := opened.close(); err != nil {
			t.Error(err)
		}
	})
}
