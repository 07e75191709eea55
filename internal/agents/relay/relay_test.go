package relay

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"fieldhill/wire"
)

// TestTableMatchesModel compares the table with a plain list of who reports where, over drawn heartbeats, machines that
// fall silent and controllers that close: the counts are right, nobody is sent to a controller that is closed or
// already has its share, and once agents follow, no open controller has more than its share and the slack.
func TestTableMatchesModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		controllers := rapid.IntRange(1, 5).Draw(t, "controllers")
		reference := referenceTable{
			table:        NewTable(controllers),
			controllerOf: map[string]int{},
			lastReport:   map[string]Time{},
		}
		open := make([]bool, controllers)
		reference.table.UpdateSpreading(1000, 10)
		for now := time.Second; now < 200*time.Second; now += time.Second {
			for i := range open {
				open[i] = rapid.IntRange(0, 9).Draw(t, "open") > 0
			}
			machine := fmt.Sprint("m", rapid.IntRange(0, 60).Draw(t, "machine"))
			controller := rapid.IntRange(0, controllers-1).Draw(t, "controller")
			reference.report(t, machine, controller, open, now)
			if rapid.IntRange(0, 19).Draw(t, "sweep") == 0 {
				reference.forget(now - 20*time.Second)
			}
			reference.compare(t)
		}
	})
}

// referenceTable is a table, and a plain list of what it should say.
type referenceTable struct {
	table        *Table
	controllerOf map[string]int
	lastReport   map[string]Time
}

// report has a machine report through a controller, and checks where it is sent.
func (r *referenceTable) report(t *rapid.T, machine string, controller int, open []bool, now Time) {
	r.table.RecordReport(machine, controller, now)
	r.controllerOf[machine], r.lastReport[machine] = controller, now
	before := slices.Clone(r.table.Counts())
	if to, redirect := r.table.Redirect(machine, controller, func(i int) bool { return open[i] }, now); redirect {
		if to == controller || to != Leader && !open[to] || before[to] >= before[controller] {
			t.Fatalf("moved from %d (%d) to %d (%d), open %v", controller, before[controller], to, before[to], open)
		}
		r.controllerOf[machine] = to
	}
}

func (r *referenceTable) forget(before Time) {
	r.table.Forget(before)
	for machine, at := range r.lastReport {
		if at < before {
			delete(r.controllerOf, machine)
			delete(r.lastReport, machine)
		}
	}
}

func (r *referenceTable) compare(t *rapid.T) {
	counts := make([]int, len(r.table.Counts()))
	for machine, at := range r.controllerOf {
		counts[at]++
		if r.table.NodeOf(machine) != at {
			t.Fatalf("%s at %d, want %d", machine, r.table.NodeOf(machine), at)
		}
	}
	if diff := cmp.Diff(counts, r.table.Counts()); diff != "" {
		t.Fatal(diff)
	}
}

// TestTableBalances: all agents come to the leader at once, and are spread within a few of their heartbeats; a
// controller that is back gets its share again.
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
			t.Errorf("controller %d has %d of 3000 agents", i, c)
		}
	}
	if moves := round(); moves != 0 {
		t.Errorf("%d agents move though all controllers have their share", moves)
	}
	table.UpdateSpreading(1700, 2000)
	if !table.Spreading() {
		t.Error("spreading ends at 1700 machines")
	}
	table.UpdateSpreading(1500, 2000)
	if to, redirect := table.Redirect("m1", 1, open, 2); !redirect || to != Leader {
		t.Errorf("an agent is not sent back to the leader of a small cell: %d, %v", to, redirect)
	}
}

func drawReport(t *rapid.T) *wire.Heartbeat {
	text := rapid.StringMatching(`[a-z0-9/.:-]{0,20}`)
	report := &wire.Heartbeat{
		Machine:      text.Draw(t, "machine"),
		Addr:         text.Draw(t, "addr"),
		Type:         text.Draw(t, "type"),
		Zone:         text.Draw(t, "zone"),
		Spot:         rapid.Bool().Draw(t, "spot"),
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
		report.Tasks = append(report.Tasks, wire.TaskStatus{
			Task:         text.Draw(t, "task"),
			Attempt:      rapid.Uint64().Draw(t, "attempt"),
			State:        knownOrText.Draw(t, "state"),
			Cause:        knownOrText.Draw(t, "cause"),
			Checkpointed: rapid.Bool().Draw(t, "saved"),
		})
	}
	return report
}

// TestMessagesRoundTrip: what is encoded is decoded the same, and what is truncated or has something behind it is
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
			command := wire.Command{Verb: s.State, Task: s.Task, Attempt: s.Attempt, GraceS: report.NoticeS}
			orders.Commands = append(orders.Commands, command)
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
			{AppendOfferAnswer(nil, report.Spot), report.Spot,
				func(b []byte) (any, error) { return ReadOfferAnswer(b) }},
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
				t.Fatalf("%T truncated is read", c.want)
			}
		}
	})
}
