package model

import (
	"testing"

	"github.com/google/go-cmp/cmp"

	"fieldhill/internal/why"
)

// TestPastReasons: a job keeps its last reasons with the times at which they began, the present
// one first; while a reason stays, with other figures, nothing is noted, and noting takes no memory.
func TestPastReasons(t *testing.T) {
	j := &Job{}
	for i, c := range []why.Code{why.None, why.Full, why.Full, why.Team, why.Full, why.None} {
		j.Why = why.Reason{Code: c, N: i}
		j.NoteWhy(Time(i+1) * 1e9)
	}
	want := []Past{{why.None, 6e9}, {why.Full, 5e9}, {why.Team, 4e9}, {why.Full, 2e9}}
	if d := cmp.Diff(want, j.Past()); d != "" {
		t.Error(d)
	}
	at := Time(10e9)
	if n := testing.AllocsPerRun(100, func() {
		at++
		j.Why.Code = why.Team + why.Code(at%2) // it changes every time
		j.NoteWhy(at)
	}); n != 0 {
		t.Errorf("%g allocations for a change of reason", n)
	}
	if got := j.Past(); len(got) != pastReasons || got[0].From != at || got[pastReasons-1].From != at-pastReasons+1 {
		t.Errorf("after many changes: %+v at %d", got, at)
	}
}
