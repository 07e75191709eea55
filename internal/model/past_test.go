package model

import (
	"testing"

	"github.com/google/go-cmp/cmp"

	"fieldhill/internal/scheduling/pending"
)

// TestPastReasons: a job keeps its last reasons with the times at which they began, the present
// one first; while a reason stays, with other figures, nothing is noted, and noting takes no memory.
func TestPastReasons(t *testing.T) {
	j := &Job{}
	for i, c := range []pending.Code{pending.None, pending.Full, pending.Full, pending.Team, pending.Full, pending.None} {
		j.Why = pending.Reason{Code: c, N: i}
		j.NoteWhy(Time(i+1) * 1e9)
	}
	want := []Past{{pending.None, 6e9}, {pending.Full, 5e9}, {pending.Team, 4e9}, {pending.Full, 2e9}}
	if d := cmp.Diff(want, j.Past()); d != "" {
		t.Error(d)
	}
	at := Time(10e9)
	if n := testing.AllocsPerRun(100, func() {
		at++
		j.Why.Code = pending.Team + pending.Code(at%2) // it changes every time
		j.NoteWhy(at)
	}); n != 0 {
		t.Errorf("%g allocations for a change of reason", n)
	}
	if got := j.Past(); len(got) != pastReasons || got[0].From != at || got[pastReasons-1].From != at-pastReasons+1 {
		t.Errorf("after many changes: %+v at %d", got, at)
	}
}
