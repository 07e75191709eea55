// Package modelcheck explores the state space of a small system: every order of its steps, to a depth, breadth first,
// so that the first violation it finds is among those with the shortest trace. A system is a model of the world around
// code that is real: the pure parts of the service are driven by it as the service drives them. It is imported by tests
// only.
package modelcheck

import (
	"fmt"
	"slices"
	"strings"
)

// State is a state of a system. It is a value: NextSteps makes new ones and leaves this one as it is.
type State interface {
	// Key identifies the state; what it leaves out can't matter for what follows.
	Key() string
	// NextSteps lists everything that may happen next.
	NextSteps() []Step
	// Violation says which property the state violates, "" for none.
	Violation() string
}

// Step is something that may happen, and the state after it.
type Step struct {
	Name string
	To   State
}

// Result is the outcome of an exploration.
type Result struct {
	States    int      // different ones that were seen
	Depth     int      // to which all states were seen
	Exhausted bool     // all reachable states were seen, at whatever depth
	Violation string   // of the first state that has one
	Trace     []string // the steps to that state
}

// String formats the result for a test's log.
func (r *Result) String() string {
	if r.Violation == "" {
		return fmt.Sprintf("%d states to depth %d, all of them %v, none is broken", r.States, r.Depth, r.Exhausted)
	}
	var b strings.Builder
	fmt.Fprintf(&b, "broken after %d steps (%d states seen): %s\n", len(r.Trace), r.States, r.Violation)
	for i, step := range r.Trace {
		fmt.Fprintf(&b, "%3d. %s\n", i+1, step)
	}
	return b.String()
}

// predecessor is how a state was reached first.
type predecessor struct {
	parent int32 // index of the state before, -1 for the start
	step   string
}

// frontierState is a state whose next steps were not taken yet.
type frontierState struct {
	state State
	index int32 // of its predecessor
}

// explorer holds what is seen so far. Only keys and steps of states are retained, so that millions of states fit.
type explorer struct {
	maxStates    int
	seen         map[string]bool
	predecessors []predecessor
	result       Result
}

// Explore visits all states that can be reached in at most depth steps, until it has seen maxStates or a violation.
func Explore(start State, depth, maxStates int) *Result {
	e := &explorer{
		maxStates:    maxStates,
		seen:         map[string]bool{start.Key(): true},
		predecessors: []predecessor{{parent: -1}},
	}
	r := &e.result
	if r.Violation = start.Violation(); r.Violation != "" {
		r.States = 1
		return r
	}
	frontier := []frontierState{{start, 0}}
	for ; r.Depth < depth && len(frontier) > 0; r.Depth++ {
		next, stopped := e.expand(frontier)
		if stopped {
			return r
		}
		frontier = next
	}
	r.States, r.Exhausted = len(e.seen), len(frontier) == 0
	return r
}

// expand takes every step from the states of one depth. It reports whether the exploration is over, with the result
// filled in.
func (e *explorer) expand(frontier []frontierState) (next []frontierState, stopped bool) {
	for _, from := range frontier {
		for _, step := range from.state.NextSteps() {
			key := step.To.Key()
			if e.seen[key] {
				continue
			}
			e.seen[key] = true
			index := int32(len(e.predecessors))
			e.predecessors = append(e.predecessors, predecessor{from.index, step.Name})
			e.result.Violation = step.To.Violation()
			if e.result.Violation != "" {
				e.result.Trace = e.trace(index)
			}
			if e.result.Violation != "" || len(e.seen) >= e.maxStates {
				e.result.States = len(e.seen)
				return nil, true
			}
			next = append(next, frontierState{step.To, index})
		}
	}
	return next, false
}

// trace lists the steps to a state from the start.
func (e *explorer) trace(index int32) (steps []string) {
	for ; e.predecessors[index].parent >= 0; index = e.predecessors[index].parent {
		steps = append(steps, e.predecessors[index].step)
	}
	slices.Reverse(steps)
	return steps
}
