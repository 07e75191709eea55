package explanation

import (
	"testing"

	"fieldhill/internal/model"
	"fieldhill/wire"
)

// BenchmarkClone copies a model of 1,250 machines with eight runs each, and 5,000 waiting jobs, as
// for one answer.
func BenchmarkClone(b *testing.B) {
	w := large(b)
	for b.Loop() {
		w.m.Clone()
	}
}

// BenchmarkExplain accounts for a job that waits in it.
func BenchmarkExplain(b *testing.B) {
	w := large(b)
	j := w.job(9000, nil)
	for b.Loop() {
		if a := w.explain(j); a.Waiting != 1 {
			b.Fatal(a)
		}
	}
}

func large(t testing.TB) *world {
	w := newWorld(t)
	for i := range 1250 {
		mc := w.machine([]string{"small", "large"}[i%2], []string{"a", "b"}[i/2%2])
		j := w.job(uint64(i+1), func(s *wire.JobSpec) {
			s.Team, s.Types, s.Tasks, s.CPUs, s.MemoryGB, s.Priority = "blue", nil, 8, 0.5, 1, wire.Production
		})
		for k := range int32(8) {
			w.place(j, k, mc)
			mc.Runs[k].Phase = model.Running
		}
	}
	for n := range uint64(5000) {
		w.job(2000+n, func(s *wire.JobSpec) { s.Team, s.Tasks = "blue", 1+int(n%4) })
	}
	return w
}
