package main

import (
	"bytes"
	"strings"
	"testing"

	"fieldhill/wire"
)

// TestPrintExplanation checks that binding reasons are printed first, that the effect of removing a reason is printed
// only on request, and that the age of an outdated explanation is printed.
func TestPrintExplanation(t *testing.T) {
	e := &wire.Explanation{
		ID:      "req-000412",
		State:   "pending",
		Waiting: 2,
		Node:    "n1",
		Reasons: []wire.Reason{
			{Code: "no-room", Text: "no room"},
			{Code: "team-limit", Text: "its team's limit", Binding: true, PlacedWithout: 2},
		},
		Pairs:   [][2]string{{"queue", "no-room"}},
		History: []wire.ReasonPeriod{{Code: "team-limit", SinceS: 5}, {Code: "no-room", SinceS: 65}},
	}
	var b bytes.Buffer
	if err := printExplanation(&b, e, true); err != nil {
		t.Error(err)
	}
	want := `req-000412 pending, 2 tasks waiting
The next round places 0 of them.
* team-limit    its team's limit
                without it: 2 placed, 0 of other jobs preempted
  no-room       no room
Removing any one of the reasons marked * would help.
Removing both would help, but neither alone: queue and no-room.
Reasons reported by the scheduler:
  team-limit    for 5s
  no-room       for 1m0s until 5s ago
`
	if b.String() != want {
		t.Errorf("printExplanation: got\n%s\nwant\n%s", b.String(), want)
	}
	b.Reset()
	e.AgeS = 7
	if err := printExplanation(&b, e, false); err != nil {
		t.Error(err)
	}
	if !strings.Contains(b.String(), "(from n1, up to 7 s out of date)") || strings.Contains(b.String(), "without it") {
		t.Errorf("got\n%s\nwant the age of the explanation, and no effects of removing reasons", b.String())
	}
}

// TestPrintQueueFitsTerminal checks that lines with names of typical length are at most 80 columns wide.
func TestPrintQueueFitsTerminal(t *testing.T) {
	var b bytes.Buffer
	queue := &wire.Queue{Tasks: 1209, More: 3, Jobs: []wire.QueuedJob{
		{Position: 1, ID: "req-000412", Team: "siliguri-loops", Class: "pipeflow-gang", Waiting: 4,
			Reason: "no-gang-room", SinceS: 61.23},
		{Position: 0, ID: "req-000413", Team: "red", Class: "meterbatch", Waiting: 1205, Reason: "paused", SinceS: 1},
	}}
	if err := printQueue(&b, queue); err != nil {
		t.Error(err)
	}
	lines := strings.Split(strings.TrimSpace(b.String()), "\n")
	for _, l := range lines {
		if len(l) > 80 {
			t.Errorf("got a line of %d columns, want at most 80: %q", len(l), l)
		}
	}
	if len(lines) != 4 || !strings.HasPrefix(lines[1], "1 ") || !strings.HasPrefix(lines[2], "- ") ||
		lines[3] != "1209 tasks waiting; 3 more jobs" {
		t.Errorf("got\n%s\nwant a header, jobs with places 1 and -, and the totals", b.String())
	}
}
