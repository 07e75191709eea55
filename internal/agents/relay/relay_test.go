package relay

import (
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"fieldhill/wire"
)

// TestTableAsPlain compares the table with a plain list of who reports where, over drawn reports, machines that fall silent and
// nodes that close: the counts are right, nobody is sent to a node that is closed or already has its share, and once
// workers follow, no open node has more than its share and the slack.
func TestTableAsPlain(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		nodes := rapid.IntRange(1, 5).Draw(t, "nodes")
		table, plain, heard := NewTable(nodes), map[string]int{}, map[string]Time{}
		open := make([]bool, nodes)
		table.Switch(1000, 10)
		for now := time.Second; now < 200*time.Second; now += time.Second {
			for i := range open {
				open[i] = rapid.IntRange(0, 9).Draw(t, "open") > 0
			}
			machine, node := fmt.Sprint("m", rapid.IntRange(0, 60).Draw(t, "machine")), rapid.IntRange(0, nodes-1).Draw(t, "node")
			table.Heard(machine, node, now)
			plain[machine], heard[machine] = node, now
			before := append([]int(nil), table.Counts()...)
			if to, move := table.Move(machine, node, func(i int) bool { return open[i] }, now); move {
				if to == node || to != Leader && !open[to] || before[to] >= before[node] {
					t.Fatalf("moved from %d (%d) to %d (%d), open %v", node, before[node], to, before[to], open)
				}
				plain[machine] = to
			}
			if rapid.IntRange(0, 19).Draw(t, "sweep") == 0 {
				table.Forget(now - 20*time.Second)
				for m, at := range heard {
					if at < now-20*time.Second {
						delete(plain, m)
						delete(heard, m)
					}
				}
			}
			counts := make([]int, nodes)
			for m, at := range plain {
				counts[at]++
				if table.Node(m) != at {
					t.Fatalf("%s at %d, want %d", m, table.Node(m), at)
				}
			}
			if diff := cmp.Diff(counts, table.Counts()); diff != "" {
				t.Fatal(diff)
			}
		}
	})
}

// TestTableEvensOut: all workers come to the leader at once, and are spread within a few of their reports; a node that is
// back gets its share again.
func TestTableEvensOut(t *testing.T) {
	table, open := NewTable(3), func(int) bool { return true }
	table.Switch(3000, 2000)
	round := func() (moves int) {
		for i := range 3000 {
			m := fmt.Sprint("m", i)
			at := table.Node(m)
			table.Heard(m, at, 1)
			if _, move := table.Move(m, at, open, 1); move {
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
	table.Switch(1700, 2000)
	if !table.On() {
		t.Error("spreading ends at 1700 machines")
	}
	table.Switch(1500, 2000)
	if to, move := table.Move("m1", 1, open, 2); !move || to != Leader {
		t.Errorf("a worker is not sent back to the leader of a small cell: %d, %v", to, move)
	}
}

func drawReport(t *rapid.T) *wire.Report {
	text := rapid.StringMatching(`[a-z0-9/.:-]{0,20}`)
	r := &wire.Report{Machine: text.Draw(t, "machine"), Addr: text.Draw(t, "addr"), Type: text.Draw(t, "type"), Zone: text.Draw(t, "zone"),
		Spot: rapid.Bool().Draw(t, "spot"), Session: rapid.Uint64().Draw(t, "session"), Seq: rapid.Uint64().Draw(t, "seq"), Token: rapid.Uint64().Draw(t, "token"),
		Tasks: []wire.TaskStatus{}}
	if rapid.Bool().Draw(t, "notice") {
		s := rapid.Float64Range(0, 1e6).Draw(t, "notice_s")
		r.NoticeS = &s
	}
	word := rapid.OneOf(rapid.SampledFrom(words), text)
	for range rapid.IntRange(0, 5).Draw(t, "tasks") {
		r.Tasks = append(r.Tasks, wire.TaskStatus{Task: text.Draw(t, "task"), Attempt: rapid.Uint64().Draw(t, "attempt"),
			State: word.Draw(t, "state"), Cause: word.Draw(t, "cause"), Saved: rapid.Bool().Draw(t, "saved")})
	}
	return r
}

// TestMessagesComeBack: what is encoded is decoded the same, and what is cut short or has something behind it is refused.
func TestMessagesComeBack(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := drawReport(t)
		o := &wire.Orders{Token: r.Token, Session: r.Session, Commands: []wire.Command{}}
		for _, s := range r.Tasks {
			o.Commands = append(o.Commands, wire.Command{Verb: s.State, Task: s.Task, Attempt: s.Attempt, GraceS: r.NoticeS})
		}
		out := Outcome{Fate: uint8(len(r.Tasks)), Report: r}
		offer := Offer{Node: r.Machine, Open: r.Spot}
		for _, c := range []struct {
			b    []byte
			want any
			read func([]byte) (any, error)
		}{
			{AppendReport(nil, r), r, func(b []byte) (any, error) { return ReadReport(b) }},
			{AppendOrders(nil, o), o, func(b []byte) (any, error) { return ReadOrders(b) }},
			{out.Append(nil), out, func(b []byte) (any, error) { return ReadOutcome(b) }},
			{offer.Append(nil), offer, func(b []byte) (any, error) { return ReadOffer(b) }},
			{AppendTerms(nil, r.Spot), r.Spot, func(b []byte) (any, error) { return ReadTerms(b) }},
		} {
			got, err := c.read(c.b)
			if err != nil {
				t.Fatal(err)
			}
			if diff := cmp.Diff(c.want, got); diff != "" {
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
