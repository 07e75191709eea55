package emulator

import (
	"strings"
	"testing"
	"time"

	"fieldhill/wire"
)

// TestRefereeFindsPlantedMistakes: a task that starts on two machines, and a team that uses more than its limit, also after
// many tasks came and went.
func TestRefereeFindsPlantedMistakes(t *testing.T) {
	f := NewReferee(map[string][2]float64{"red": {10, 0}}, time.Minute)
	f.Know(&wire.JobSpec{ID: wire.JobID(1), Team: "red", Shape: wire.Array, Tasks: 200, CPUs: 0.1})
	f.Know(&wire.JobSpec{ID: wire.JobID(2), Team: "red", Shape: wire.Array, Tasks: 1, CPUs: 0.2})
	a, b := &Worker{Name: "a"}, &Worker{Name: "b"}
	for i := range 200 {
		f.Start(wire.TaskID(1, i), a)
		if i >= 99 {
			f.Gone(wire.TaskID(1, i-99), a, true)
		}
	}
	f.Check()
	if got := f.Broken(); len(got) != 0 {
		t.Fatal(got)
	}
	f.Start(wire.TaskID(2, 0), a) // 9.9 + 0.2
	f.Start(wire.TaskID(1, 199), b)
	got := strings.Join(f.Broken(), "\n")
	if !strings.Contains(got, "quota") || !strings.Contains(got, "ran_twice") {
		t.Errorf("found: %s", got)
	}
	f.used["red"] = [2]float64{}
	f.Check()
	if got := strings.Join(f.Broken(), "\n"); !strings.Contains(got, "miscounted") {
		t.Error("a wrong sum is not found")
	}
}
