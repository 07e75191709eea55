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

// TestTableMatchesModel compares the table with a reference model under random heartbeats, silent machines and
// controllers that do not accept agents. The numbers of agents by controller must match. Agents must be redirected only
// to controllers that accept agents and have fewer agents.
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

// referenceTable is a Table together with a simple model of its expected contents.
type referenceTable struct {
	table        *Table
	controllerOf map[string]int
	lastReport   map[string]Time
}

// report records that a machine reported through a controller, and checks whether and where the table redirects it.
func (r *referenceTable) report(t *rapid.T, machine string, controller int, open []bool, now Time) {
	r.table.RecordReport(machine, controller, now)
	r.controllerOf[machine], r.lastReport[machine] = controller, now
	before := slices.Clone(r.table.Counts())
	if to, redirect := r.table.Redirect(machine, controller, func(i int) bool { return open[i] }, now); redirect {
		if to == controller || to != Leader && !open[to] || before[to] >= before[controller] {
			t.Fatalf("redirected from %d (%d agents) to %d (%d agents), open %v",
				controller, before[controller], to, before[to], open)
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
		if r.table.ControllerOf(machine) != at {
			t.Fatalf("%s is assigned to %d, want %d", machine, r.table.ControllerOf(machine), at)
		}
	}
	if diff := cmp.Diff(counts, r.table.Counts()); diff != "" {
		t.Fatal(diff)
	}
}

// TestTableBalances checks that agents that all connect to the leader are spread over the controllers within one
// heartbeat of each agent, that agents are not redirected once the controllers are balanced, and that agents return to
// the leader when the cell has become small.
func TestTableBalances(t *testing.T) {
	table, open := NewTable(3), func(int) bool { return true }
	table.UpdateSpreading(3000, 2000)
	round := func() (moves int) {
		for i := range 3000 {
			m := fmt.Sprint("m", i)
			at := table.ControllerOf(m)
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
			t.Errorf("controller %d has %d of 3000 agents, want 850 to 1125", i, c)
		}
	}
	if moves := round(); moves != 0 {
		t.Errorf("%d agents are redirected although the controllers are balanced", moves)
	}
	table.UpdateSpreading(1700, 2000)
	if !table.Spreading() {
		t.Error("spreading ended at 1700 machines, want below 1600")
	}
	table.UpdateSpreading(1500, 2000)
	if to, redirect := table.Redirect("m1", 1, open, 2); !redirect || to != Leader {
		t.Errorf("in a small cell: redirect to %d, %v; want to the leader", to, redirect)
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
		AgentEpoch:   rapid.Uint64().Draw(t, "epoch"),
		Seq:          rapid.Uint64().Draw(t, "seq"),
		FencingToken: rapid.Uint64().Draw(t, "token"),
		Tasks:        []wire.TaskStatus{},
	}
	if rapid.Bool().Draw(t, "notice") {
		s := rapid.Float64Range(0, 1e6).Draw(t, "notice_s")
		report.ReclaimNoticeS = &s
	}
	knownOrRandom := rapid.OneOf(rapid.SampledFrom(knownTexts), text)
	for range rapid.IntRange(0, 5).Draw(t, "tasks") {
		report.Tasks = append(report.Tasks, wire.TaskStatus{
			Task:         text.Draw(t, "task"),
			Attempt:      rapid.Uint64().Draw(t, "attempt"),
			State:        knownOrRandom.Draw(t, "state"),
			Cause:        knownOrRandom.Draw(t, "cause"),
			Checkpointed: rapid.Bool().Draw(t, "checkpointed"),
		})
	}
	return report
}

// TestMessagesRoundTrip checks that messages are decoded as encoded, and that truncated messages and ones with trailing
// bytes are rejected.
func TestMessagesRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		report := drawReport(t)
		batch := &wire.CommandBatch{
			FencingToken: report.FencingToken,
			AgentEpoch:   report.AgentEpoch,
			Commands:     []wire.Command{},
		}
		for _, s := range report.Tasks {
			command := wire.Command{Verb: s.State, Task: s.Task, Attempt: s.Attempt, GraceS: report.ReclaimNoticeS}
			batch.Commands = append(batch.Commands, command)
		}
		result := CommandResult{Outcome: uint8(len(report.Tasks)), Report: report}
		offer := Offer{Node: report.Machine, HasCapacity: report.Spot}
		for _, test := range []struct {
			encoded []byte
			want    any
			decode  func([]byte) (any, error)
		}{
			{AppendHeartbeat(nil, report), report, func(b []byte) (any, error) { return ReadHeartbeat(b) }},
			{AppendCommands(nil, batch), batch, func(b []byte) (any, error) { return ReadCommands(b) }},
			{result.Append(nil), result, func(b []byte) (any, error) { return ReadCommandResult(b) }},
			{offer.Append(nil), offer, func(b []byte) (any, error) { return ReadOffer(b) }},
			{AppendOfferResponse(nil, report.Spot), report.Spot,
				func(b []byte) (any, error) { return ReadOfferResponse(b) }},
		} {
			decoded, err := test.decode(test.encoded)
			if err != nil {
				t.Fatal(err)
			}
			if diff := cmp.Diff(test.want, decoded); diff != "" {
				t.Fatal(diff)
			}
			if _, err := test.decode(append(test.encoded[:len(test.encoded):len(test.encoded)], 0)); err == nil {
				t.Fatalf("%T with a trailing byte is accepted", test.want)
			}
			length := rapid.IntRange(0, len(test.encoded)-1).Draw(t, "truncated length")
			if _, err := test.decode(test.encoded[:length]); err == nil {
				t.Fatalf("truncated %T is accepted", test.want)
			}
		}
	})
}
