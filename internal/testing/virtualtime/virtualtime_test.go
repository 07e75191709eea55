package virtualtime

import (
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"
)

func TestMain(m *testing.M) { Main(m) }

// TestTimersOfOneInstant guards against the race detector failure described in the package comment. It makes goroutines
// receive from timer channels at the instant at which other timers start goroutines. With eight processors and the race
// detector, nine of nine runs ended in a segmentation fault or a failed internal check of the detector.
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
			t.Errorf("got %d started goroutines and %d received timers, want %d of each",
				started.Load(), received.Load(), rounds*timersPerRound)
		}
	})
}
