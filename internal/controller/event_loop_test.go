package controller

import (
	"testing"
	"time"

	"fieldhill/internal/emulator"
)

// TestStopDuringLoopRequest checks that postAndWait returns only after the event loop has run the function, or after
// the loop has ended without running it, even if the controller stops in the meantime.
func TestStopDuringLoopRequest(t *testing.T) {
	runCluster(t, 24, func(w *emulator.Environment) {
		time.Sleep(6 * time.Second)
		node, result := nodeAt(0), 0
		go func() {
			time.Sleep(100 * time.Millisecond)
			w.StopAndWait(0)
		}()
		node.loop.postAndWait(func() {
			time.Sleep(time.Second)
			result = 1
		})
		if result != 1 {
			t.Errorf("got result %d when postAndWait returned, want 1", result)
		}
		if nodeAt(0) != nil {
			t.Error("the controller is still running after StopAndWait")
		}
		node.loop.postAndWait(func() { t.Error("work was run by a stopped controller") })
	})
}
