package controller

import (
	"testing"
	"time"

	"fieldhill/internal/emulator"
)

// TestStopDuringLoopRequest checks that postAndWait returns only when the loop has run the work or never will, also
// when the controller stops meanwhile.
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
			t.Error("postAndWait returned before the loop had written the result")
		}
		if nodeAt(0) != nil {
			t.Error("the controller did not stop")
		}
		node.loop.postAndWait(func() { t.Error("work was run by a stopped controller") })
	})
}
