// Package relay balances agents' connections over the controllers of a cell. It assigns each agent to a controller
// (Table), and defines the binary format in which controllers exchange heartbeats and commands. It performs no I/O.
//
// A follower may terminate agents' connections, forward each heartbeat to the leader, and return the leader's response.
// Such a relay makes no decisions. The leader treats it as part of the network, which may delay, lose or duplicate
// messages, and relies only on the sequence numbers in the heartbeat itself.
package relay

import "time"

// Time is monotonic time since the process started.
type Time = time.Duration

// Leader is the index of the leader in a Table. The other controllers of the cell have the indices from 1.
const Leader = 0

const (
	// Spreading ends below this fraction of the threshold at which it starts. Without this hysteresis, single machines
	// that come and go could toggle it.
	spreadingEndNumerator, spreadingEndDenominator = 4, 5
	// A controller may exceed its fair share by a fraction of 1/slackDivisor, and at least by minSlack agents, before
	// agents are moved away.
	slackDivisor = 8
	minSlack     = 4
	// No agents are redirected to a controller for minPause after a redirected agent reported through another one,
	// since agents may be unable to reach that controller. Each further such report doubles the pause, up to maxPause,
	// until a redirected agent reports through the controller.
	minPause = 10 * time.Second
	maxPause = 160 * time.Second
)

// assignment assigns an agent to the controller that terminates its connection.
type assignment struct {
	controller int
	lastReport Time
	redirected bool // the agent was redirected to the controller and has not reported through it yet
}

// Table maps each agent that has reported to the leader in its term to the controller that terminates the agent's
// connection.
type Table struct {
	assignments map[string]assignment
	counts      []int
	lastPause   []Time // by controller: length of the last pause; 0 once a redirected agent reached the controller
	pausedUntil []Time // by controller: end of the last pause
	spreading   bool
}

// NewTable returns an empty table for a cell with the given number of controllers.
func NewTable(controllers int) *Table {
	return &Table{
		assignments: map[string]assignment{},
		counts:      make([]int, controllers),
		lastPause:   make([]Time, controllers),
		pausedUntil: make([]Time, controllers),
	}
}

// UpdateSpreading decides whether agents are spread over the controllers. Spreading starts when the cell has more
// machines than the leader accepts connections (maxConns).
func (t *Table) UpdateSpreading(machines, maxConns int) {
	if t.spreading {
		t.spreading = machines*spreadingEndDenominator >= maxConns*spreadingEndNumerator
	} else {
		t.spreading = machines > maxConns
	}
}

// Spreading reports whether agents are spread over the controllers.
func (t *Table) Spreading() bool { return t.spreading }

// RecordReport records that a machine's heartbeat arrived through a controller. If the machine had been redirected,
// RecordReport also updates the pause of the controller that the machine was redirected to.
func (t *Table) RecordReport(machine string, controller int, now Time) {
	previous, known := t.assignments[machine]
	switch {
	case previous.redirected && previous.controller == controller:
		t.lastPause[controller] = 0
	case previous.redirected && now >= t.pausedUntil[previous.controller]:
		t.lastPause[previous.controller] = min(maxPause, max(minPause, 2*t.lastPause[previous.controller]))
		t.pausedUntil[previous.controller] = now + t.lastPause[previous.controller]
	}
	if known {
		t.counts[previous.controller]--
	}
	t.assignments[machine] = assignment{controller: controller, lastReport: now}
	t.counts[controller]++
}

// ControllerOf returns the controller that a machine is assigned to, or Leader for an unknown machine.
func (t *Table) ControllerOf(machine string) int { return t.assignments[machine].controller }

// Counts returns the number of machines by controller.
func (t *Table) Counts() []int { return t.counts }

// Redirect decides whether a machine that reports through a controller is redirected to another one. open reports
// whether a follower accepts more agents; it is called only while agents are spread, and never for the leader, which
// always accepts. A redirected machine counts towards its new controller at once, so that no more machines are
// redirected than needed.
func (t *Table) Redirect(machine string, controller int, open func(int) bool, now Time) (to int, redirect bool) {
	if !t.spreading {
		return Leader, controller != Leader
	}
	controllers, to := 0, controller
	for i := range t.counts {
		if now < t.pausedUntil[i] || i != Leader && !open(i) {
			continue // a pause applies to the leader too
		}
		controllers++
		if t.counts[i] < t.counts[to] {
			to = i
		}
	}
	fairShare := (len(t.assignments) + controllers - 1) / max(1, controllers)
	slack := max(minSlack, fairShare/slackDivisor)
	if to == controller || t.counts[controller] <= fairShare+slack || t.counts[to] >= fairShare {
		return controller, false
	}
	t.counts[controller]--
	t.counts[to]++
	t.assignments[machine] = assignment{controller: to, lastReport: now, redirected: true}
	return to, true
}

// Forget drops machines that have not reported since the given time.
func (t *Table) Forget(before Time) {
	for machine, assigned := range t.assignments {
		if assigned.lastReport < before {
			t.counts[assigned.controller]--
			delete(t.assignments, machine)
		}
	}
}
