package virtualtime

import (
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"
)

func TestMain(m *testing.M) { Main(m) }

// TestTimersOfOneInstant wakes goroutines that read a timer's channel at the instant at which other timers start
// goroutines. On eight processors and under the race detector it ended in a segmentation fault, or a failed check of
// the detector's, in nine of nine runs before this test was written down.
func TestTimersOfOneInstant(t *testing.T) {
	const rounds, timersPerRound = 1000, 64
	synctest.Test(t, func(t *testing.T) {
		var started, received atomic.Int64
		for range rounds {
			for range timersPerRound {
				time.AfterFunc(time.Second, func() { started.Add(1) })
				due := time.NewTimer(time.Second)
				go func() {
					time.Sleep(time.Second)
					select {
					case <-due.C:
						received.Add(1)
					default:
					}
				}()
			}
			time.Sleep(2 * time.Second)
		}
		if started.Load() != rounds*timersPerRound || received.Load() != rounds*timersPerRound {
			t.Errorf("of %d timers each %d started a goroutine and %d could be read",
				rounds*timersPerRound, started.Load(), received.Load())
		}
	})
}
