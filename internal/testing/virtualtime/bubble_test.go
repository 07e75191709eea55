package virtualtime

import (
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"
)

func TestMain(m *testing.M) { Main(m) }

// TestTimersOfOneInstant wakes goroutines that read a timer's channel at the instant at
// which other timers start goroutines. On eight processors and under the race detector it
// ended in a segmentation fault, or a failed check of the detector's, in nine of nine runs before this test was written down.
func TestTimersOfOneInstant(t *testing.T) {
	const rounds, each = 1000, 64
	synctest.Test(t, func(t *testing.T) {
		var began, read atomic.Int64
		for range rounds {
			for range each {
				time.AfterFunc(time.Second, func() { began.Add(1) })
				due := time.NewTimer(time.Second)
				go func() {
					time.Sleep(time.Second)
					select {
					case <-due.C:
						read.Add(1)
					default:
					}
				}()
			}
			time.Sleep(2 * time.Second)
		}
		if began.Load() != rounds*each || read.Load() != rounds*each {
			t.Errorf("of %d timers each %d started a goroutine and %d could be read", rounds*each, began.Load(), read.Load())
		}
	})
}
