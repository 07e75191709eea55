package scale

import (
	"strings"
	"testing"

	"fieldhill/internal/golden"
)

// costWithDistinctValues returns a cost whose fields have distinct values, counted from base.
func costWithDistinctValues(base float64) (cost ControllerCost) {
	for i, field := range cost.values() {
		*field = base + 1000*float64(i) + 0.125
	}
	return cost
}

// TestGoldenReport checks the printed report, whose columns and number formats scripts rely on.
func TestGoldenReport(t *testing.T) {
	region := Region{
		Leader:           costWithDistinctValues(1),
		Others:           costWithDistinctValues(20),
		Peak:             costWithDistinctValues(300),
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
		Abandoned:     92,
		Failovers:     map[string]float64{"terms": 93},
	}
	region.Workers.Up = 101
	region.Workers.BytesPerS = 10_240
	region.Workers.Sockets = 1.5
	region.Workers.LostLeases = 102
	report := &Report{
		MeasuredS: 20,
		Regions:   []Region{region, {}},
		Host: HostUsage{HollowCPU: 1.25, HollowMB: 512, HollowLagP99MS: 2.5, IdleShare: 0.5, StealShare: 0.125,
			CPUPerWorker: 0.001},
		Violations: []string{"region 0: quota: one", "region 1: forgotten: another"},
	}
	var b strings.Builder
	printReport := func() {
		t.Helper()
		if err := report.Print(&b); err != nil {
			t.Error(err)
		}
	}
	printReport()
	report.HostBottleneck, report.Violations = "its processors", nil
	printReport()
	golden.Check(t, "report.txt", []byte(b.String()))
}
