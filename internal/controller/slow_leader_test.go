package controller

import (
	"testing"
	"time"

	"fieldhill/internal/emulator"
)

// TestSlowLeaderDelaysEviction: a leader whose loop is late again and again, though never for a second, hears of a
// part of the fleet only. What it did not listen to counts against nobody: a machine that says nothing is given up
// after ten seconds of listening, which take it three times as long. Four hundred machines that were well were once
// returned as silent within three seconds.
func TestSlowLeaderDelaysEviction(t *testing.T) {
	evictedAfter := func(late time.Duration) (took time.Duration) {
		runCluster(t, 60, func(w *emulator.Environment) {
			startServices(w, 3)
			hung := hangBusyMachine(w, 55*time.Second)
			leader, began := nodeAt(findLeader()), time.Now()
			for gone := false; !gone && time.Since(began) < 50*time.Second; {
				if late > 0 {
					leader.loop.post(func() { time.Sleep(late) })
				}
				time.Sleep(50 * time.Millisecond)
				leader.loop.postAndWait(func() {
					machine := leader.replica.model.ByName[hung.Name]
					gone = machine == nil || machine.Releasing
				})
			}
			took = time.Since(began)
		})
		return took
	}
	normal, late := evictedAfter(0), evictedAfter(700*time.Millisecond)
	t.Logf("given up after %v, by a late leader after %v", normal, late)
	if normal > 15*time.Second || late < 2*normal || late > 45*time.Second {
		t.Errorf("given up after %v, by a late leader after %v", normal, late)
	}
}
