package model

import (
	"testing"

	"github.com/google/go-cmp/cmp"

	"fieldhill/internal/scheduling/pending"
)

// TestReasonHistory checks that the most recent reasons are kept with their start times, latest first; that a change of
// a reason's count alone adds no record; and that recording does not allocate.
func TestReasonHistory(t *testing.T) {
	j := &Job{}
	for i, c := range []pending.Code{
		pending.None, pending.NoCapacity, pending.NoCapacity, pending.TeamLimit, pending.NoCapacity, pending.None,
	} {
		j.Scheduling.PendingReason = pending.Reason{Code: c, Count: i}
		j.RecordReason(Time(i+1) * 1e9)
	}
	want := []ReasonSince{
		{pending.None, 6e9},
		{pending.NoCapacity, 5e9},
		{pending.TeamLimit, 4e9},
		{pending.NoCapacity, 2e9},
	}
	if d := cmp.Diff(want, j.ReasonHistory()); d != "" {
		t.Error(d)
	}
	at := Time(10e9)
	if n := testing.AllocsPerRun(100, func() {
		at++
		j.Scheduling.PendingReason.Code = pending.TeamLimit + pending.Code(at%2) // different code each time
		j.RecordReason(at)
	}); n != 0 {
		t.Errorf("%g allocations per recorded reason, want 0", n)
	}
	if actual := j.ReasonHistory(); len(actual) != maxReasonHistory || actual[0].Since != at ||
		actual[maxReasonHistory-1].Since != at-maxReasonHistory+1 {
		t.Errorf("after many changes: got %+v, want the last %d reasons up to time %d", actual, maxReasonHistory, at)
	}
}
