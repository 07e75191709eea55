// Package relay is the pure part of spreading workers' connections over the controllers of a cell: which controller ends
// which worker's connection (Table), and the binary form in which reports and orders travel between controllers.
//
// A controller that does not lead may end workers' connections and pass each report on to the leader, and the leader's
// answer back. Such a relay decides nothing: to the leader it is a part of the network, which may delay, lose or repeat
// what it carries, and everything that the leader concludes from a report it concludes from the report's own numbers.
package relay

import "time"

// Time is steady time since the process began.
type Time = time.Duration

// Leader is the index of the leader itself in a Table; the other members of the cell follow from 1 on.
const Leader = 0

const (
	// offShare is the share of the threshold below which spreading ends again, so that it does not go on and off with
	// every machine.
	offShareNumerator, offShareDenominator = 4, 5
	// slackDivisor and leastSlack are how far above its fair share a node may be before workers are moved away from it.
	slackDivisor = 8
	leastSlack   = 4
	// firstPause is for how long no workers are sent to a node after one that was sent there came through another: the
	// workers may not reach it. The pause doubles up to mostPause until one does.
	firstPause = 10 * time.Second
	mostPause  = 160 * time.Second
)

type seat struct {
	node  int
	heard Time
	sent  bool // it was sent there and has not been heard through it yet
}

// Table is which node ends each worker's connection, as far as the leader has seen in its term.
type Table struct {
	seats  map[string]seat
	counts []int
	pause  []Time // by node: how long the next pause is
	closed []Time // by node: no workers are sent there until then
	on     bool
}

// NewTable makes an empty table for a cell of so many nodes.
func NewTable(nodes int) *Table {
	return &Table{seats: map[string]seat{}, counts: make([]int, nodes), pause: make([]Time, nodes), closed: make([]Time, nodes)}
}

// Switch decides whether workers are spread: when the cell has more machines than the leader takes connections.
func (t *Table) Switch(machines, most int) {
	if t.on {
		t.on = machines*offShareDenominator >= most*offShareNumerator
	} else {
		t.on = machines > most
	}
}

// On tells whether workers are spread over the nodes.
func (t *Table) On() bool { return t.on }

// Heard notes that a machine's report came through a node.
func (t *Table) Heard(machine string, node int, now Time) {
	s, known := t.seats[machine]
	switch {
	case s.sent && s.node == node:
		t.pause[node] = 0
	case s.sent && now >= t.closed[s.node]:
		t.pause[s.node] = min(mostPause, max(firstPause, 2*t.pause[s.node]))
		t.closed[s.node] = now + t.pause[s.node]
	}
	if known {
		t.counts[s.node]--
	}
	t.seats[machine] = seat{node: node, heard: now}
	t.counts[node]++
}

// Node is the node through which a machine was last heard; the leader itself if there is none.
func (t *Table) Node(machine string) int { return t.seats[machine].node }

// Counts is how many machines report through each node.
func (t *Table) Counts() []int { return t.counts }

// Move decides whether a machine that reports through a node is sent to another one. Open tells which nodes take more
// workers now, and is asked only where workers are spread; the leader always does. The machine counts as moved at once, so that no more are sent than needed.
func (t *Table) Move(machine string, node int, open func(node int) bool, now Time) (to int, move bool) {
	if !t.on {
		return Leader, node != Leader
	}
	nodes, to := 0, node
	for i := range t.counts {
		if now < t.closed[i] || i != Leader && !open(i) {
			continue // the leader too is closed where workers that were sent to it came back
		}
		nodes++
		if t.counts[i] < t.counts[to] {
			to = i
		}
	}
	fair := (len(t.seats) + nodes - 1) / max(1, nodes)
	slack := max(leastSlack, fair/slackDivisor)
	if to == node || t.counts[node] <= fair+slack || t.counts[to] >= fair {
		return node, false
	}
	t.counts[node]--
	t.counts[to]++
	t.seats[machine] = seat{node: to, heard: now, sent: true}
	return to, true
}

// Forget drops the machines that were not heard of since a time.
func (t *Table) Forget(before Time) {
	for m, s := range t.seats {
		if s.heard < before {
			t.counts[s.node]--
			delete(t.seats, m)
		}
	}
}
