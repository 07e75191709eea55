package controller

import (
	"testing"
	"time"

	"fieldhill/internal/emulator"
)

// TestSlowLeaderDelaysEviction checks that a leader whose event loop is slow, with individual delays below a second,
// does not count the time in which it processes no heartbeats as silence of the machines. It receives only a part of
// the heartbeats. If the missing ones counted against the machines, 400 healthy machines would be released within 3 s.
// A machine that is really silent is released after ten seconds of processed heartbeats, which take this leader about
// three times as long.
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
					machine := leader.replica.model.MachinesByName[hung.Name]
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
		t.Errorf("released after %v, by a slow leader after %v; want at most 15 s, and from twice that long to 45 s",
			normal, slow)
	}
}
