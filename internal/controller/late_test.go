package controller

import (
	"testing"
	"time"

	"fieldhill/internal/emulator"
)

// TestLateLeaderGivesNobodyUp: a leader whose loop is late again and again, though never for a second, hears of a part of the fleet only. What
// it did not listen to counts against nobody: a machine that says nothing is given up after ten seconds of listening, which take it
// three times as long. Four hundred machines that were well were once returned as silent within three seconds.
func TestLateLeaderGivesNobodyUp(t *testing.T) {
	gaveUp := func(late time.Duration) (took time.Duration) {
		inWorld(t, 60, func(w *emulator.World) {
			settle(w, 3)
			hung := hangOne(w, 55*time.Second)
			n, began := nodeAt(leaderOf()), time.Now()
			for gone := false; !gone && time.Since(began) < 50*time.Second; {
				if late > 0 {
					n.post(func() { time.Sleep(late) })
				}
				time.Sleep(50 * time.Millisecond)
				n.ask(func() {
					mc := n.m.ByName[hung.Name]
					gone = mc == nil || mc.Releasing
				})
			}
			took = time.Since(began)
		})
		return took
	}
	usual, late := gaveUp(0), gaveUp(700*time.Millisecond)
	t.Logf("given up after %v, by a late leader after %v", usual, late)
	if usual > 15*time.Second || late < 2*usual || late > 45*time.Second {
		t.Errorf("given up after %v, by a late leader after %v", usual, late)
	}
}
