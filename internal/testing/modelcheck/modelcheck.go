// Package modelcheck is an explicit-state model checker for small systems. Explore visits every order of a system's
// steps to a given depth, breadth first, so that the first violation found has a trace of minimal length. Walk takes
// random steps, and reaches orders that are too long for Explore. A system models the environment of production code
// without I/O and calls that code the way the service does. Only tests import this package.
package modelcheck

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
)

// State is an immutable state of a system: NextSteps creates new states and doesn't modify this one.
type State interface {
	// Key identifies the state. Of states with equal keys only one is explored, so they must have the same behavior.
	Key() string
	// NextSteps lists all steps that are possible in the state.
	NextSteps() []Step
	// Violation describes the property that the state violates; "" means none.
	Violation() string
}

// Step is a transition to another state.
type Step struct {
	Name string
	Take func() State // returns the state after the step
}

// Result is the outcome of an exploration.
type Result struct {
	States    int      // distinct states visited by Explore
	Depth     int      // depth to which Explore visited all states
	Exhausted bool     // all reachable states were visited, regardless of depth
	Violation string   // violation of the first violating state; "" if there is none
	Trace     []string // names of the steps from the start to that state
}

// String formats the result for a test's log.
func (r *Result) String() string {
	if r.Violation == "" {
		return fmt.Sprintf("%d states to depth %d, exhausted %v, no violation", r.States, r.Depth, r.Exhausted)
	}
	var b strings.Builder
	fmt.Fprintf(&b, "violation after %d steps (%d states visited): %s\n", len(r.Trace), r.States, r.Violation)
	for i, step := range r.Trace {
		fmt.Fprintf(&b, "%3d. %s\n", i+1, step)
	}
	return b.String()
}

// predecessor is the step by which a state was first reached.
type predecessor struct {
	parent int32 // index of the previous state, -1 for the start
	step   string
}

// frontierState is a visited state that hasn't been expanded.
type frontierState struct {
	state State
	index int32 // in explorer.predecessors
}

// explorer holds the progress of an exploration. Of expanded states it retains only the key and the step that led to
// them, so that millions of states fit in memory.
type explorer struct {
	maxStates    int
	seen         map[string]bool
	predecessors []predecessor
	result       Result
}

// Explore visits the states reachable in at most depth steps. It stops early at the first violation or after maxStates
// states.
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

// Walk takes up to maxSteps random steps from the start, and repeats this the given number of times. The seed
// determines all steps. Walk stops at the first violation. In the result, States is the number of steps taken and Depth
// that of the longest walk.
func Walk(start State, seed uint64, walks, maxSteps int) *Result {
	rng := rand.New(rand.NewPCG(seed, 0))
	r := &Result{}
	for range walks {
		r.walk(start, rng, maxSteps)
		if r.Violation != "" {
			break
		}
	}
	return r
}

// walk takes up to maxSteps random steps from a state.
func (r *Result) walk(state State, rng *rand.Rand, maxSteps int) {
	var trace []string
	for range maxSteps {
		steps := state.NextSteps()
		if len(steps) == 0 {
			return
		}
		step := steps[rng.IntN(len(steps))]
		state = step.Take()
		trace = append(trace, step.Name)
		r.States++
		r.Depth = max(r.Depth, len(trace))
		if r.Violation = state.Violation(); r.Violation != "" {
			r.Trace = trace
			return
		}
	}
}

// expand takes every step from the states of one depth. It returns the newly reached states, or reports that the
// exploration has stopped, in which case the result is complete.
func (e *explorer) expand(frontier []frontierState) (next []frontierState, stopped bool) {
	for _, from := range frontier {
		for _, step := range from.state.NextSteps() {
			to := step.Take()
			key := to.Key()
			if e.seen[key] {
				continue
			}
			e.seen[key] = true
			index := int32(len(e.predecessors))
			e.predecessors = append(e.predecessors, predecessor{from.index, step.Name})
			e.result.Violation = to.Violation()
			if e.result.Violation != "" {
				e.result.Trace = e.trace(index)
			}
			if e.result.Violation != "" || len(e.seen) >= e.maxStates {
				e.result.States = len(e.seen)
				return nil, true
			}
			next = append(next, frontierState{to, index})
		}
	}
	return next, false
}

// trace returns the names of the steps from the start to a state.
func (e *explorer) trace(index int32) (steps []string) {
	for ; e.predecessors[index].parent >= 0; index = e.predecessors[index].parent {
		steps = append(steps, e.predecessors[index].step)
	}
	slices.Reverse(steps)
	return steps
}
