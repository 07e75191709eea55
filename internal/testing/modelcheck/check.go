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
	// Steps are all that may happen next.
	Steps() []Step
	// Broken says what is wrong with the state, "" if nothing is.
	Broken() string
}

// Step is something that may happen, and the state after it.
type Step struct {
	Name string
	To   State
}

// Result is what an exploration found.
type Result struct {
	States int      // different ones that were seen
	Depth  int      // to which all were
	Full   bool     // all states were seen, at whatever depth
	Broken string   // what is wrong in the first bad state
	Trace  []string // the steps to it
}

// String tells it for people.
func (r *Result) String() string {
	if r.Broken == "" {
		return fmt.Sprintf("%d states to depth %d, all of them %v, none is broken", r.States, r.Depth, r.Full)
	}
	var b strings.Builder
	fmt.Fprintf(&b, "broken after %d steps (%d states seen): %s\n", len(r.Trace), r.States, r.Broken)
	for i, s := range r.Trace {
		fmt.Fprintf(&b, "%3d. %s\n", i+1, s)
	}
	return b.String()
}

type link struct {
	from int32 // index of the state before
	step string
}

// Explore looks at all states that can be reached in so many steps, and at no more than so many.
func Explore(start State, depth, most int) *Result {
	r := &Result{}
	seen := map[string]bool{start.Key(): true}
	links := []link{{from: -1}}
	trace := func(i int32) (list []string) {
		for ; links[i].from >= 0; i = links[i].from {
			list = append([]string{links[i].step}, list...)
		}
		return list
	}
	type open struct {
		s State
		i int32
	}
	now := []open{{start, 0}}
	if r.Broken = start.Broken(); r.Broken != "" {
		r.States = 1
		return r
	}
	for ; r.Depth < depth && len(now) > 0; r.Depth++ {
		var next []open
		for _, o := range now {
			for _, st := range o.s.Steps() {
				key := st.To.Key()
				if seen[key] {
					continue
				}
				seen[key] = true
				i := int32(len(links))
				links = append(links, link{o.i, st.Name})
				if r.Broken = st.To.Broken(); r.Broken != "" {
					r.States, r.Trace = len(seen), trace(i)
					return r
				}
				if len(seen) >= most {
					r.States = len(seen)
					return r
				}
				next = append(next, open{st.To, i})
			}
		}
		now = next
	}
	r.States, r.Full = len(seen), len(now) == 0
	return r
}
