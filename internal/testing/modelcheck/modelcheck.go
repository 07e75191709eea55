// Package check explores all that can happen in a small system: every order of its steps, to a depth, breadth
// first, so that the first bad end it finds is among the shortest. A system is a model of the world around code
// that is real: the pure parts of the service are driven by it as the service drives them.
package modelcheck

import (
	"fmt"
	"strings"
)

// State is a state of a system. It is a value: Steps makes new ones and leaves this one as it is.
type State interface {
	// Key tells states apart; what it leaves out can't matter for what follows.
	Key() string
	// NextSteps are all that may happen next.
	NextSteps() []Step
	// Violation says what is wrong with the state, "" if nothing is.
	Violation() string
}

// Step is something that may happen, and the state after it.
type Step struct {
	Name string
	To   State
}

// Result is what an exploration found.
type Result struct {
	States    int      // different ones that were seen
	Depth     int      // to which all were
	Exhausted bool     // all states were seen, at whatever depth
	Violation string   // what is wrong in the first bad state
	Trace     []string // the steps to it
}

// String tells it for people.
func (r *Result) String() string {
	if r.Violation == "" {
		return fmt.Sprintf("%d states to depth %d, all of them %v, none is broken", r.States, r.Depth, r.Exhausted)
	}
	var b strings.Builder
	fmt.Fprintf(&b, "broken after %d steps (%d states seen): %s\n", len(r.Trace), r.States, r.Violation)
	for i, s := range r.Trace {
		fmt.Fprintf(&b, "%3d. %s\n", i+1, s)
	}
	return b.String()
}

type predecessor struct {
	parent int32 // index of the state before
	step   string
}

// Explore looks at all states that can be reached in so many steps, and at no more than so many.
func Explore(start State, depth, maxStates int) *Result {
	r := &Result{}
	seen := map[string]bool{start.Key(): true}
	predecessors := []predecessor{{parent: -1}}
	trace := func(i int32) (list []string) {
		for ; predecessors[i].parent >= 0; i = predecessors[i].parent {
			list = append([]string{predecessors[i].step}, list...)
		}
		return list
	}
	type open struct {
		s State
		i int32
	}
	frontier := []open{{start, 0}}
	if r.Violation = start.Violation(); r.Violation != "" {
		r.States = 1
		return r
	}
	for ; r.Depth < depth && len(frontier) > 0; r.Depth++ {
		var nextFrontier []open
		for _, o := range frontier {
			for _, st := range o.s.NextSteps() {
				key := st.To.Key()
				if seen[key] {
					continue
				}
				seen[key] = true
				i := int32(len(predecessors))
				predecessors = append(predecessors, predecessor{o.i, st.Name})
				if r.Violation = st.To.Violation(); r.Violation != "" {
					r.States, r.Trace = len(seen), trace(i)
					return r
				}
				if len(seen) >= maxStates {
					r.States = len(seen)
					return r
				}
				nextFrontier = append(nextFrontier, open{st.To, i})
			}
		}
		frontier = nextFrontier
	}
	r.States, r.Exhausted = len(seen), len(frontier) == 0
	return r
}
