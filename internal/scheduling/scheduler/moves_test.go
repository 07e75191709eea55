package scheduler

import (
	"slices"
	"testing"

	"fieldhill/internal/model"
	"fieldhill/wire"
)

// TestEvacuationReachesAll: replicas on machines that are to go which find no room keep nobody from theirs, however
// many they are, each on a machine of its own or all on one.
func TestEvacuationReachesAll(t *testing.T) {
	t.Run("each on its own", func(t *testing.T) { testEvacuationReachesAll(t, func(i int) int { return i }) })
	t.Run("a machine of many", func(t *testing.T) {
		testEvacuationReachesAll(t, func(i int) int {
			if i < stuckReplicas {
				return 0
			}
			return i
		})
	})
}

// stuckReplicas have no room elsewhere, movableReplicas have.
const stuckReplicas, movableReplicas = 40, 60

func testEvacuationReachesAll(t *testing.T, machineOf func(i int) int) {
	const replicas = stuckReplicas + movableReplicas
	w := newEnvironment(t, 2*replicas)
	for _, machine := range w.model.Order[:replicas] {
		machine.Lifecycle.PreemptionAt = 1
	}
	run := func(n uint64, machine *model.Machine, cpus float64) {
		w.submit(n, func(s *wire.JobSpec) {
			s.Shape, s.Priority, s.CPUs, s.Team, s.Spot = wire.Service, wire.Production, cpus, "guest", true
		})
		w.place(model.JobID(n), 0, machine)
		machine.Runs[len(machine.Runs)-1].Phase = model.Running
	}
	for i := range replicas {
		cpus := 1.0
		if i < stuckReplicas {
			cpus = 4
		}
		run(uint64(1+i), w.model.Order[machineOf(i)], cpus)
		run(uint64(1001+i), w.model.Order[replicas+i], 1) // there is room for one more, not for four
	}
	s := New(Params{})
	for round := range 4 {
		s.Round(w.model, model.Time(1e9)*model.Time(round+1), false, w)
	}
	for i := range replicas {
		moved := slices.Contains(w.stopped, wire.TaskID(uint64(1+i), 0))
		if moved != (i >= stuckReplicas) {
			t.Errorf("replica %d was moved: %v", i, moved)
		}
	}
	if len(w.placed) > 0 {
		t.Error(w.placed)
	}
}
