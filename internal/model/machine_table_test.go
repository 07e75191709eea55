package model

import (
	"fmt"
	"testing"
)

// TestMachineAddressPersists checks that an address reported by a machine is kept in the log and in snapshots, so that
// the next leader knows it.
func TestMachineAddressPersists(t *testing.T) {
	m := New(params())
	for _, addr := range []string{"", "x:9", ""} {
		i := testInfo("host-1")
		i.Addr = addr
		if err := m.Apply(&Entry{Kind: EntryMachine, Machine: 1, Info: i}, 1, 0); err != nil {
			t.Fatal(err)
		}
	}
	restored := New(params())
	if err := restored.Restore(m.Snapshot(), 1, 0); err != nil {
		t.Fatal(err)
	}
	if len(restored.MachinesInOrder) != 1 || restored.MachinesInOrder[0].Info.Addr != "x:9" {
		t.Errorf("got %d machines, the first with address %q; want one with address \"x:9\"",
			len(restored.MachinesInOrder), restored.MachinesInOrder[0].Info.Addr)
	}
}

// fleetFixture adds machines to a model and removes them from it.
type fleetFixture struct {
	test  *testing.T
	model *Model
}

func (h *fleetFixture) name(i int) string { return fmt.Sprintf("host-%06d", i) }

func (h *fleetFixture) provision(from, to int) {
	h.test.Helper()
	for i := from; i < to; i++ {
		applyAll(h.test, h.model, NewMachine(MachineID(i+1), 0, testInfo(h.name(i))))
	}
}

func (h *fleetFixture) remove(from, to int) {
	h.test.Helper()
	for i := from; i < to; i++ {
		applyAll(h.test, h.model, NewMachineGone(MachineID(i+1)))
	}
}

// requireTombstones checks that the first n machines all have tombstones.
func (h *fleetFixture) requireTombstones(when string, n int) {
	h.test.Helper()
	for i := range n {
		if !h.model.Tombstones[h.name(i)] {
			h.test.Fatalf("%s: no tombstone for machine %d of %d", when, i, n)
		}
	}
}

// TestTombstonesSurviveFleetLoss checks that a whole fleet can be lost twice without dropping a tombstone, also after a
// restore from a snapshot. Without its tombstone a late report or a stale listing would add a lost machine again.
func TestTombstonesSurviveFleetLoss(t *testing.T) {
	for _, fleet := range []int{512, 1024, 4000, 10_000} {
		t.Run(fmt.Sprint(fleet), func(t *testing.T) {
			h := &fleetFixture{test: t, model: New(params())}
			h.provision(0, fleet)
			h.remove(0, fleet/2)
			h.requireTombstones("half of the fleet lost", fleet/2)
			h.remove(fleet/2, fleet)
			h.requireTombstones("whole fleet lost", fleet)
			restored := New(params())
			if err := restored.Restore(h.model.Snapshot(), 1, 0); err != nil {
				t.Fatal(err)
			}
			h.model = restored
			h.requireTombstones("after restore", fleet)
			h.provision(fleet, 2*fleet)
			h.remove(fleet, 2*fleet)
			h.requireTombstones("whole fleet lost twice", 2*fleet)
			h.provision(2*fleet, 3*fleet)
			h.remove(2*fleet, 3*fleet)
			if kept := max(minTombstones, 2*fleet); len(h.model.Tombstones) != kept {
				t.Errorf("%d tombstones kept, want %d", len(h.model.Tombstones), kept)
			}
		})
	}
}
