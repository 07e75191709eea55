// Package relay is the pure part of spreading agents' connections over the controllers of a cell: which controller
// ends which agent's connection (Table), and the binary form in which heartbeats and commands travel between
// controllers.
//
// A controller that does not lead may end agents' connections and pass each heartbeat on to the leader, and the
// leader's answer back. Such a relay decides nothing: to the leader it is a part of the network, which may delay, lose
// or repeat what it carries, and everything that the leader concludes from a heartbeat it concludes from the
// heartbeat's own numbers.
package relay

import "time"

// Time is steady time since the process began.
type Time = time.Duration

// Leader is the index of the leader itself in a Table; the other members of the cell follow from 1 on.
const Leader = 0

const (
	// offShare is the part of the threshold below which spreading ends again, so that it does not go on and off with
	// every machine.
	offShareNumerator, offShareDenominator = 4, 5
	// slackDivisor and minSlack are how far above its fair share a controller may be before agents are moved away.
	slackDivisor = 8
	minSlack     = 4
	// firstPause is for how long no agents are sent to a controller after one that was sent there came through another:
	// the agents may not reach it. The pause doubles up to maxPause until one does.
	firstPause = 10 * time.Second
	maxPause   = 160 * time.Second
)

// assignment is the controller that ends an agent's connection.
type assignment struct {
	controller int
	lastReport Time
	redirected bool // the agent was sent there and has not reported through it yet
}

// Table is which controller ends each agent's connection, as far as the leader has seen in its term.
type Table struct {
	assignments map[string]assignment
	counts      []int
	nextPause   []Time // by controller: how long the next pause is
	closedUntil []Time // by controller: no agents are sent there until then
	spreading   bool
}

// NewTable makes an empty table for a cell of so many controllers.
func NewTable(controllers int) *Table {
	return &Table{
		assignments: map[string]assignment{},
		counts:      make([]int, controllers),
		nextPause:   make([]Time, controllers),
		closedUntil: make([]Time, controllers),
	}
}

// UpdateSpreading decides whether agents are spread: when the cell has more machines than the leader takes
// connections.
func (t *Table) UpdateSpreading(machines, maxConns int) {
	if t.spreading {
		t.spreading = machines*offShareDenominator >= maxConns*offShareNumerator
	} else {
		t.spreading = machines > maxConns
	}
}

// Spreading tells whether agents are spread over the controllers.
func (t *Table) Spreading() bool { return t.spreading }

// RecordReport notes that a machine's heartbeat came through a controller.
func (t *Table) RecordReport(machine string, controller int, now Time) {
	previous, known := t.assignments[machine]
	switch {
	case previous.redirected && previous.controller == controller:
		t.nextPause[controller] = 0
	case previous.redirected && now >= t.closedUntil[previous.controller]:
		t.nextPause[previous.controller] = min(maxPause, max(firstPause, 2*t.nextPause[previous.controller]))
		t.closedUntil[previous.controller] = now + t.nextPause[previous.controller]
	}
	if known {
		t.counts[previous.controller]--
	}
	t.assignments[machine] = assignment{controller: controller, lastReport: now}
	t.counts[controller]++
}

// NodeOf is the controller through which a machine last reported; the leader itself if there is none.
func (t *Table) NodeOf(machine string) int { return t.assignments[machine].controller }

// Counts is how many machines report through each controller.
func (t *Table) Counts() []int { return t.counts }

// Redirect decides whether a machine that reports through a controller is sent to another one. Open tells which
// controllers take more agents now, and is asked only where agents are spread; the leader always does. The machine
// counts as moved at once, so that no more are sent than needed.
func (t *Table) Redirect(machine string, controller int, open func(int) bool, now Time) (to int, redirect bool) {
	if !t.spreading {
		return Leader, controller != Leader
	}
	controllers, to := 0, controller
	for i := range t.counts {
		if now < t.closedUntil[i] || i != Leader && !open(i) {
			continue // the leader too is closed where agents that were sent to it came back
		}
		controllers++
		if t.counts[i] < t.counts[to] {
			to = i
		}
	}
	fair := (len(t.assignments) + controllers - 1) / max(1, controllers)
	slack := max(minSlack, fair/slackDivisor)
	if to == controller || t.counts[controller] <= fair+slack || t.counts[to] >= fair {
		return controller, false
	}
	t.counts[controller]--
	t.counts[to]++
	t.assignments[machine] = assignment{controller: to, lastReport: now, redirected: true}
	return to, true
}

// Forget drops the machines that have not reported since a time.
func (t *Table) Forget(before Time) {
	for m, assigned := range t.assignments {
		if assigned.lastReport < before {
			t.counts[assigned.controller]--
			delete(t.assignments, m)
		}
	}
}
