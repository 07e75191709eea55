package scheduler

import (
	"slices"
	"testing"

	"fieldhill/internal/model"
	"fieldhill/wire"
)

// TestEvacuationReachesAll checks that replicas that fit on no other machine do not block the evacuation of other
// replicas, however many there are, whether they run on separate machines or all on one machine.
func TestEvacuationReachesAll(t *testing.T) {
	t.Run("separate machines", func(t *testing.T) { testEvacuationReachesAll(t, func(i int) int { return i }) })
	t.Run("one machine", func(t *testing.T) {
		testEvacuationReachesAll(t, func(i int) int {
			if i < immovableReplicas {
				return 0
			}
			return i
		})
	})
}

// immovableReplicas is the number of replicas that fit on no other machine, movableReplicas that of the others.
const immovableReplicas, movableReplicas = 40, 60

func testEvacuationReachesAll(t *testing.T, machineOf func(i int) int) {
	const replicas = immovableReplicas + movableReplicas
	env := newEnvironment(t, 2*replicas)
	for _, machine := range env.model.MachinesInOrder[:replicas] {
		machine.Lifecycle.PreemptionAt = 1
	}
	run := func(n uint64, machine *model.Machine, cpus float64) {
		env.submit(n, func(s *wire.JobSpec) {
			s.Shape, s.Priority, s.CPUs, s.Team, s.Spot = wire.Service, wire.Production, cpus, "guest", true
		})
		env.place(model.JobID(n), machine)
		machine.Runs[len(machine.Runs)-1].Phase = model.Running
	}
	for i := range replicas {
		cpus := 1.0
		if i < immovableReplicas {
			cpus = 4
		}
		run(uint64(1+i), env.model.MachinesInOrder[machineOf(i)], cpus)
		run(uint64(1001+i), env.model.MachinesInOrder[replicas+i], 1) // leaves 3 of 4 CPUs free
	}
	s := New(Params{})
	for round := range 4 {
		s.Round(env.model, model.Time(1e9)*model.Time(round+1), false, env)
	}
	for i := range replicas {
		moved := slices.Contains(env.stopped, wire.TaskID(uint64(1+i), 0))
		if moved != (i >= immovableReplicas) {
			t.Errorf("replica %d moved: %v, want %v", i, moved, i >= immovableReplicas)
		}
	}
	if len(env.placed) > 0 {
		t.Errorf("placed %v during the evacuation, want none", env.placed)
	}
}
