package controller

import (
	"testing"
	"time"

	"fieldhill/internal/emulator"
)

// TestStopDuringLoopRequest: who has asked the loop for something reads it only when the loop has
// written it, or never will, also when the node stops meanwhile.
func TestStopDuringLoopRequest(t *testing.T) {
	runCluster(t, 24, func(w *emulator.Environment) {
		time.Sleep(6 * time.Second)
		node, result := nodeAt(0), 0
		go func() {
			time.Sleep(100 * time.Millisecond)
			w.Crash(0)
		}()
		node.loop.postAndWait(func() {
			time.Sleep(time.Second)
			result = 1
		})
		if result != 1 {
			t.Error("asked in vain")
		}
		if nodeAt(0) != nil {
			t.Error("the node goes on")
		}
		node.loop.postAndWait(func() { t.Error("run by a node that has ended") })
	})
}
