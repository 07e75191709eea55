package model

import (
	"testing"

	"fieldhill/internal/config"
	"fieldhill/wire"
)

// TestGangStartWaitsForLongFetch checks the start of a gang whose image takes longer to fetch than its members wait for
// each other. The member with a cached image must be started only once the fetching member has the image too. If the
// fetch is short, both members must be started at once.
func TestGangStartWaitsForLongFetch(t *testing.T) {
	for _, c := range []struct {
		gb    float64
		waits bool
	}{{30, true}, {5, false}} {
		p := params()
		p.Workers = config.Workers{GangWaitS: 35}
		m := New(p)
		s := testSpec(7, 2)
		s.Shape, s.ImageGB, s.Team = wire.Gang, c.gb, "blue"
		machineType := testType()
		machineType.CacheGB, machineType.FetchGBPerS = 50, 1
		applyAll(t, m,
			NewMachineType(machineType),
			NewMachine(1, 0, testInfo("host-1")),
			NewMachine(2, 0, testInfo("host-2")),
			NewAcceptance(s, 0),
			NewPlacement(7, 0, 1, 1, 1),
			NewPlacement(7, 1, 1, 2, 1),
		)
		j, has, fetches := m.Jobs[7], m.Machines[1], m.Machines[2]
		m.MinToken = 3 << 24
		m.Observe(has, testReport(1, 1, 3<<24), nil, 0)
		m.Observe(fetches, testReport(1, 1, 3<<24), nil, 0)
		has.TouchImage(m, j, 0)
		if actual := len(m.Commands(has, 9, false)) == 0; actual != c.waits {
			t.Errorf("%g GB: start of the member with a cached image is held: %v, want %v", c.gb, actual, c.waits)
		}
		if k := len(m.Commands(fetches, 9, false)); k != 1 {
			t.Errorf("%g GB: the fetching member got %d commands, want 1", c.gb, k)
		}
		state := func(seq uint64, state string) ReportVerdict {
			status := wire.TaskStatus{Task: "req-000007/1", Attempt: 1, State: state}
			return m.Observe(fetches, testReport(1, seq, 3<<24, status), nil, 1)
		}
		if v := state(2, wire.TaskFetching); len(v.GangReadyMachines) != 0 {
			t.Errorf("%g GB: %d machines are ready during the fetch, want 0", c.gb, len(v.GangReadyMachines))
		}
		if v := state(3, wire.TaskWaiting); len(v.GangReadyMachines) != 1 || v.GangReadyMachines[0] != has {
			t.Errorf("%g GB: after the fetch, %d machines are ready, want the one with the cached image",
				c.gb, len(v.GangReadyMachines))
		}
		if k := len(m.Commands(has, 9, false)); k != 1 {
			t.Errorf("%g GB: after the fetch, the member with a cached image got %d commands, want 1", c.gb, k)
		}
	}
}
