package explanation

import (
	"testing"

	"fieldhill/internal/model"
	"fieldhill/wire"
)

// BenchmarkClone measures copying a model with 1,250 machines of eight runs each and 5,000 waiting jobs. Every
// explanation makes such copies.
func BenchmarkClone(b *testing.B) {
	cluster := newLargeCluster(b)
	for b.Loop() {
		cluster.model.Clone()
	}
}

// BenchmarkExplain measures explaining a job that waits in the model of BenchmarkClone.
func BenchmarkExplain(b *testing.B) {
	cluster := newLargeCluster(b)
	j := cluster.job(9000, nil)
	for b.Loop() {
		if a := cluster.explain(j); a.Waiting != 1 {
			b.Fatalf("waiting tasks: got %d, want 1", a.Waiting)
		}
	}
}

func newLargeCluster(t testing.TB) *testCluster {
	cluster := newTestCluster(t)
	for i := range 1250 {
		mc := cluster.machine([]string{"small", "large"}[i%2], []string{"a", "b"}[i/2%2])
		j := cluster.job(uint64(i+1), func(s *wire.JobSpec) {
			s.Team, s.Types, s.Tasks, s.CPUs, s.MemoryGB, s.Priority = "blue", nil, 8, 0.5, 1, wire.Production
		})
		for k := range int32(8) {
			cluster.place(j, k, mc)
			mc.Runs[k].Phase = model.Running
		}
	}
	for n := range uint64(5000) {
		cluster.job(2000+n, func(s *wire.JobSpec) { s.Team, s.Tasks = "blue", 1+int(n%4) })
	}
	return cluster
}
