package relay

import (
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"fieldhill/wire"
)

// TestTableMatchesModel compares the table with a plain list of who reports where, over drawn reports, machines that
// fall silent and nodes that close: the counts are right, nobody is sent to a node that is closed or already has its
// share, and once workers follow, no open node has more than its share and the slack.
func TestTableMatchesModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		nodes := rapid.IntRange(1, 5).Draw(t, "nodes")
		table, reference, lastReport := NewTable(nodes), map[string]int{}, map[string]Time{}
		open := make([]bool, nodes)
		table.UpdateSpreading(1000, 10)
		for now := time.Second; now < 200*time.Second; now += time.Second {
			for i := range open {
				open[i] = rapid.IntRange(0, 9).Draw(t, "open") > 0
			}
			machine, node := fmt.Sprint(
				"m",
				rapid.IntRange(0, 60).Draw(t, "machine"),
			), rapid.IntRange(0, nodes-1).
				Draw(t, "node")
			table.RecordReport(machine, node, now)
			reference[machine], lastReport[machine] = node, now
			before := append([]int(nil), table.Counts()...)
			if to, redirect := table.Redirect(machine, node, func(i int) bool { return open[i] }, now); redirect {
				if to == node || to != Leader && !open[to] || before[to] >= before[node] {
					t.Fatalf("moved from %d (%d) to %d (%d), open %v", node, before[node], to, before[to], open)
				}
				reference[machine] = to
			}
			if rapid.IntRange(0, 19).Draw(t, "sweep") == 0 {
				table.Forget(now - 20*time.Second)
				for m, at := range lastReport {
					if at < now-20*time.Second {
						delete(reference, m)
						delete(lastReport, m)
					}
				}
			}
			counts := make([]int, nodes)
			for m, at := range reference {
				counts[at]++
				if table.NodeOf(m) != at {
					t.Fatalf("%s at %d, want %d", m, table.NodeOf(m), at)
				}
			}
			if diff := cmp.Diff(counts, table.Counts()); diff != "" {
				t.Fatal(diff)
			}
		}
	})
}

// TestTableBalances: all workers come to the leader at once, and are spread within a few of their reports; a node
// that is back gets its share again.
func TestTableBalances(t *testing.T) {
	table, open := NewTable(3), func(int) bool { return true }
	table.UpdateSpreading(3000, 2000)
	round := func() (moves int) {
		for i := range 3000 {
			m := fmt.Sprint("m", i)
			at := table.NodeOf(m)
			table.RecordReport(m, at, 1)
			if _, redirect := table.Redirect(m, at, open, 1); redirect {
				moves++
			}
		}
		return moves
	}
	round()
	for i, c := range table.Counts() {
		if c > 1125 || c < 850 {
			t.Errorf("node %d has %d of 3000 workers", i, c)
		}
	}
	if moves := round(); moves != 0 {
		t.Errorf("%d workers move though all nodes have their share", moves)
	}
	table.UpdateSpreading(1700, 2000)
	if !table.Spreading() {
		t.Error("spreading ends at 1700 machines")
	}
	table.UpdateSpreading(1500, 2000)
	if to, redirect := table.Redirect("m1", 1, open, 2); !redirect || to != Leader {
		t.Errorf("a worker is not sent back to the leader of a small cell: %d, %v", to, redirect)
	}
}

func drawReport(t *rapid.T) *wire.Heartbeat {
	text := rapid.StringMatching(`[a-z0-9/.:-]{0,20}`)
	report := &wire.Heartbeat{
		Machine: text.Draw(t, "machine"),
		Addr:    text.Draw(t, "addr"),
		Type:    text.Draw(t, "type"),
		Zone:    text.Draw(t, "zone"),
		Spot: rapid.Bool().
			Draw(t, "spot"),
		AgentEpoch:   rapid.Uint64().Draw(t, "session"),
		Seq:          rapid.Uint64().Draw(t, "seq"),
		FencingToken: rapid.Uint64().Draw(t, "token"),
		Tasks:        []wire.TaskStatus{},
	}
	if rapid.Bool().Draw(t, "notice") {
		s := rapid.Float64Range(0, 1e6).Draw(t, "notice_s")
		report.NoticeS = &s
	}
	knownOrText := rapid.OneOf(rapid.SampledFrom(knownTexts), text)
	for range rapid.IntRange(0, 5).Draw(t, "tasks") {
		report.Tasks = append(
			report.Tasks,
			wire.TaskStatus{
				Task:    text.Draw(t, "task"),
				Attempt: rapid.Uint64().Draw(t, "attempt"),
				State: knownOrText.Draw(
					t,
					"state",
				),
				Cause:        knownOrText.Draw(t, "cause"),
				Checkpointed: rapid.Bool().Draw(t, "saved"),
			},
		)
	}
	return report
}

// TestMessagesRoundTrip: what is encoded is decoded the same, and what is cut short or has something behind it is
// refused.
func TestMessagesRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		report := drawReport(t)
		orders := &wire.Orders{
			FencingToken: report.FencingToken,
			AgentEpoch:   report.AgentEpoch,
			Commands:     []wire.Command{},
		}
		for _, s := range report.Tasks {
			orders.Commands = append(
				orders.Commands,
				wire.Command{Verb: s.State, Task: s.Task, Attempt: s.Attempt, GraceS: report.NoticeS},
			)
		}
		result := CommandResult{Fate: uint8(len(report.Tasks)), Report: report}
		offer := Offer{Node: report.Machine, HasCapacity: report.Spot}
		for _, c := range []struct {
			b    []byte
			want any
			read func([]byte) (any, error)
		}{
			{AppendReport(nil, report), report, func(b []byte) (any, error) { return ReadReport(b) }},
			{AppendOrders(nil, orders), orders, func(b []byte) (any, error) { return ReadOrders(b) }},
			{result.Append(nil), result, func(b []byte) (any, error) { return ReadCommandResult(b) }},
			{offer.Append(nil), offer, func(b []byte) (any, error) { return ReadOffer(b) }},
			{AppendOfferAnswer(nil, report.Spot), report.Spot, func(b []byte) (any, error) { return ReadOfferAnswer(b) }},
		} {
			decoded, err := c.read(c.b)
			if err != nil {
				t.Fatal(err)
			}
			if diff := cmp.Diff(c.want, decoded); diff != "" {
				t.Fatal(diff)
			}
			if _, err := c.read(append(c.b[:len(c.b):len(c.b)], 0)); err == nil {
				t.Fatalf("%T with a byte behind it is read", c.want)
			}
			if _, err := c.read(c.b[:rapid.IntRange(0, len(c.b)-1).Draw(t, "cut")]); err == nil {
				t.Fatalf("%T cut short is read", c.want)
			}
		}
	})
}
