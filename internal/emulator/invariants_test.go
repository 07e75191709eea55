package emulator

import (
	"strings"
	"testing"
	"time"

	"fieldhill/wire"
)

// TestInvariantCheckerDetectsViolations checks that the checker detects a task that starts on two machines, a team that
// exceeds its limit after many tasks started and ended, and a wrong usage sum in the checker. If the checker missed
// violations, every test that relies on it would pass.
func TestInvariantCheckerDetectsViolations(t *testing.T) {
	checker := NewInvariantChecker(map[string][2]float64{"red": {10, 0}}, time.Minute)
	checker.RegisterJob(&wire.JobSpec{ID: wire.JobID(1), Team: "red", Shape: wire.Array, Tasks: 200, CPUs: 0.1})
	checker.RegisterJob(&wire.JobSpec{ID: wire.JobID(2), Team: "red", Shape: wire.Array, Tasks: 1, CPUs: 0.2})
	a, b := &Worker{Name: "a"}, &Worker{Name: "b"}
	for i := range 200 {
		checker.RecordStart(wire.TaskID(1, i), a)
		if i >= 99 {
			checker.RecordExit(wire.TaskID(1, i-99), a, true)
		}
	}
	checker.Check()
	if violations := checker.Violations(); len(violations) != 0 {
		t.Fatalf("tasks within the limit: got violations %v, want none", violations)
	}
	checker.RecordStart(wire.TaskID(2, 0), a) // 9.9 + 0.2 CPUs of 10
	checker.RecordStart(wire.TaskID(1, 199), b)
	violations := strings.Join(checker.Violations(), "\n")
	if !strings.Contains(violations, "quota") || !strings.Contains(violations, "ran_twice") {
		t.Errorf("over the limit and on two machines: got violations %q, want quota and ran_twice", violations)
	}
	checker.usage["red"] = [2]float64{}
	checker.Check()
	if violations := strings.Join(checker.Violations(), "\n"); !strings.Contains(violations, "miscounted") {
		t.Errorf("wrong usage sum: got violations %q, want miscounted", violations)
	}
}
