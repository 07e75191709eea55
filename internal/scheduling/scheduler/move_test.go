package scheduler

import (
	"fmt"
	"slices"
	"testing"

	"fieldhill/internal/model"
	"fieldhill/wire"
)

// TestEvacuationReachesAll: replicas on machines that are to go which find no room keep nobody from theirs, however
// many they are, each on a machine of its own or all on one.
func TestEvacuationReachesAll(t *testing.T) {
	const stuck, movable = 40, 60
	for name, machineOf := range map[string]func(i int) int{
		"each on its own": func(i int) int { return i },
		"a machine of many": func(i int) int {
			if i < stuck {
				return 0
			}
			return i
		},
	} {
		t.Run(name, func(t *testing.T) {
			w := newEnvironment(t, 2*(stuck+movable))
			for _, machine := range w.model.Order[:stuck+movable] {
				machine.Lifecycle.PreemptionAt = 1
			}
			run := func(n uint64, machine *model.Machine, cpus float64) {
				w.submit(n, func(s *wire.JobSpec) {
					s.Shape, s.Priority, s.CPUs, s.Team, s.Spot = wire.Service, wire.Production, cpus, "guest", true
				})
				w.apply(&model.Entry{Kind: model.EntryPlace, Job: model.JobID(n), Attempt: 1, Machine: machine.ID,
					Session: machine.Contact.Session})
				machine.Runs[len(machine.Runs)-1].Phase = model.Running
			}
			for i := range stuck + movable {
				cpus := 1.0
				if i < stuck {
					cpus = 4
				}
				run(uint64(1+i), w.model.Order[machineOf(i)], cpus)
				run(uint64(1001+i), w.model.Order[stuck+movable+i], 1) // there is room for one more, not for four
			}
			s := New(Params{})
			for round := range 4 {
				s.Round(w.model, model.Time(1e9)*model.Time(round+1), false, w)
			}
			for i := range stuck + movable {
				if told := slices.Contains(w.stopped, wire.TaskID(uint64(1+i), 0)); told != (i >= stuck) {
					t.Errorf("replica %d was told to move: %v", i, told)
				}
			}
			if len(w.placed) > 0 {
				t.Error(fmt.Sprint(w.placed))
			}
		})
	}
}
