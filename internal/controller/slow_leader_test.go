package controller

import (
	"testing"
	"time"

	"fieldhill/internal/emulator"
)

// TestSlowLeaderDelaysEviction: a leader whose event loop is slow again and again, though never for a second, receives
// the heartbeats of a part of the fleet only. What it did not process counts against no machine: a silent machine is
// released after ten seconds in which the leader processed heartbeats, which take it three times as long. Four hundred
// healthy machines were once released as silent within three seconds.
func TestSlowLeaderDelaysEviction(t *testing.T) {
	evictedAfter := func(delay time.Duration) (took time.Duration) {
		runCluster(t, 60, func(w *emulator.Environment) {
			startServices(w, 3)
			hung := hangBusyMachine(w, 55*time.Second)
			leader, began := nodeAt(findLeader()), time.Now()
			for evicted := false; !evicted && time.Since(began) < 50*time.Second; {
				if delay > 0 {
					leader.loop.post(func() { time.Sleep(delay) })
				}
				time.Sleep(50 * time.Millisecond)
				leader.loop.postAndWait(func() {
					machine := leader.replica.model.ByName[hung.Name]
					evicted = machine == nil || machine.Releasing
				})
			}
			took = time.Since(began)
		})
		return took
	}
	normal, slow := evictedAfter(0), evictedAfter(700*time.Millisecond)
	t.Logf("released after %v, by a slow leader after %v", normal, slow)
	if normal > 15*time.Second || slow < 2*normal || slow > 45*time.Second {
		t.Errorf("released after %v, by a slow leader after %v", normal, slow)
	}
}
