package model

import (
	"fmt"
	"testing"
)

// TestAddressOfProvisionedMachine: what a machine tells of its address is kept for the
// next leader, in the log and in snapshots.
func TestAddressOfProvisionedMachine(t *testing.T) {
	m := New(params())
	for _, addr := range []string{"", "x:9", ""} {
		i := testInfo("host-1")
		i.Addr = addr
		if err := m.Apply(&Entry{Kind: EntryMachine, Machine: 1, Info: i}, 1, 0); err != nil {
			t.Fatal(err)
		}
	}
	again := New(params())
	if err := again.Restore(m.Snapshot(), 1, 0); err != nil {
		t.Fatal(err)
	}
	if len(again.Order) != 1 || again.Order[0].Info.Addr != "x:9" {
		t.Errorf("%d machines, the address is %q", len(again.Order), again.Order[0].Info.Addr)
	}
}

// fleetHistory has machines come and go.
type fleetHistory struct {
	test  *testing.T
	model *Model
}

func (h *fleetHistory) name(i int) string { return fmt.Sprintf("host-%06d", i) }

func (h *fleetHistory) provision(from, to int) {
	h.test.Helper()
	for i := from; i < to; i++ {
		applyAll(h.test, h.model, NewMachine(MachineID(i+1), 0, testInfo(h.name(i))))
	}
}

func (h *fleetHistory) lose(from, to int) {
	h.test.Helper()
	for i := from; i < to; i++ {
		applyAll(h.test, h.model, NewMachineGone(MachineID(i+1)))
	}
}

// requireRemembered checks that none of the first n machines is forgotten.
func (h *fleetHistory) requireRemembered(when string, n int) {
	h.test.Helper()
	for i := range n {
		if !h.model.Tombstones[h.name(i)] {
			h.test.Fatalf("%s: machine %d of %d is forgotten", when, i, n)
		}
	}
}

// TestGoneZoneIsRemembered: as many machines as a fleet ever had may be lost twice over, and none of their names is
// forgotten, also not by a node that begins from a snapshot: a late report or a lagging list would bring it back.
func TestGoneZoneIsRemembered(t *testing.T) {
	for _, fleet := range []int{512, 1024, 4000, 10_000} {
		t.Run(fmt.Sprint(fleet), func(t *testing.T) {
			h := &fleetHistory{test: t, model: New(params())}
			h.provision(0, fleet)
			h.lose(0, fleet/2)
			h.requireRemembered("half is lost", fleet/2)
			h.lose(fleet/2, fleet)
			h.requireRemembered("all are lost", fleet)
			restored := New(params())
			if err := restored.Restore(h.model.Snapshot(), 1, 0); err != nil {
				t.Fatal(err)
			}
			h.model = restored
			h.requireRemembered("from a snapshot", fleet)
			h.provision(fleet, 2*fleet)
			h.lose(fleet, 2*fleet)
			h.requireRemembered("all are lost again", 2*fleet)
			h.provision(2*fleet, 3*fleet)
			h.lose(2*fleet, 3*fleet)
			if kept := max(minTombstones, 2*fleet); len(h.model.Tombstones) != kept {
				t.Errorf("%d names are kept, not %d", len(h.model.Tombstones), kept)
			}
		})
	}
}
