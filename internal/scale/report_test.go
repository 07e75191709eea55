package scale

import (
	"strings"
	"testing"

	"fieldhill/internal/golden"
)

// distinctCost has a value of its own in every field.
func distinctCost(base float64) (cost ControllerCost) {
	for i, field := range cost.fields() {
		*field = base + 1000*float64(i) + 0.125
	}
	return cost
}

// TestGoldenReport: scripts and people read the printed tables; each figure stays in its column, with its digits.
func TestGoldenReport(t *testing.T) {
	region := Region{
		Leader:           distinctCost(1),
		Others:           distinctCost(20),
		Peak:             distinctCost(300),
		Store:            StoreLoad{RequestsPerS: 41.5, ChangesPerS: 42.25, BytesPerS: 43, Keys: 44},
		StartsPerS:       51.5,
		TargetStartsPerS: 52,
		TasksRunning:     53,
		JobsKnown:        54,
		StartLatency: map[string]Latency{
			urgentClass: {Count: 61, P50: 62, P99: 63, Max: 64, Mean: 65},
			churnClass:  {Count: 71, P50: 72, P99: 73, Max: 74, Mean: 75},
		},
		SubmitLatency: Latency{Count: 81, P50: 82, P99: 83, Max: 84, Mean: 85},
		Accepted:      91,
		GivenUp:       92,
		Failovers:     map[string]float64{"terms": 93},
	}
	region.Workers.Up = 101
	region.Workers.BytesS = 10_240
	region.Workers.Sockets = 1.5
	region.Workers.LostLeases = 102
	report := &Report{
		MeasuredS: 20,
		Regions:   []Region{region, {}},
		Machine: Machine{HollowCPU: 1.25, HollowMB: 512, HollowLagP99: 2.5, Idle: 0.5, Steal: 0.125,
			CPUPerWorker: 0.001},
		Violations: []string{"region 0: quota: one", "region 1: forgotten: another"},
	}
	var b strings.Builder
	print := func() {
		t.Helper()
		if err := report.Print(&b); err != nil {
			t.Error(err)
		}
	}
	print()
	report.MachineLimit, report.Violations = "its processors", nil
	print()
	golden.Check(t, "report.txt", []byte(b.String()))
}
