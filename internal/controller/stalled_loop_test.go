package controller

import (
	"testing"
	"time"

	"fieldhill/internal/emulator"
)

// TestStalledLeaderKeepsLease guards against a leader whose event loop stands still and that renews its lease all the
// same: nobody else leads, nothing starts, and the agents' leases expire.
func TestStalledLeaderKeepsLease(t *testing.T) {
	runCluster(t, 84, func(w *emulator.Environment) {
		startServices(w, 3)
		starts, stalled := w.Checker.Starts(), findLeader()
		nodeAt(stalled).loop.post(func() { time.Sleep(2 * time.Minute) })
		time.Sleep(20 * time.Second)
		others := 0
		for i := range 3 {
			if i != stalled {
				node := nodeAt(i)
				node.loop.postAndWait(func() {
					if node.term.isActive() {
						others++
					}
				})
			}
		}
		if others != 1 {
			t.Errorf("%d other controllers lead 20 s after the leader's event loop stalled, want 1", others)
		}
		time.Sleep(2 * time.Minute)
		if n := w.Checker.Starts() - starts; n != 0 || servicesUp(w, 3) != 3 {
			t.Errorf("%d tasks were started after the stall, want none; %d of 3 services are up", n, servicesUp(w, 3))
		}
	})
}
