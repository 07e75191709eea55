package admission

import (
	"testing"
	"time"
)

// TestGate checks that the gate stays open in a burst that delays only some of the work, that it closes during a
// standing queue, with retry-after times that grow while the queue persists, and that it opens again once the queue is
// gone or no work arrives.
func TestGate(t *testing.T) {
	var g Gate
	now := Time(0)
	runSecond := func(waits ...time.Duration) {
		for _, wait := range waits {
			now += time.Second / time.Duration(len(waits))
			g.ObserveWait(wait, now)
		}
	}
	expectAdmit := func(want bool, retry time.Duration) {
		t.Helper()
		if retryAfter, ok := g.Admit(now); ok != want || retryAfter != retry {
			t.Errorf("at %v: admitted %v, retry after %v; want %v, %v", now, ok, retryAfter, want, retry)
		}
	}
	expectAdmit(true, 0)
	runSecond(2*time.Second, 0, 2*time.Second)
	runSecond(2*time.Second, time.Millisecond)
	expectAdmit(true, 0)
	runSecond(time.Second, time.Second)
	runSecond(time.Second, time.Second)
	expectAdmit(false, time.Second)
	for range 6 {
		runSecond(time.Second, 400*time.Millisecond)
	}
	expectAdmit(false, maxRetryAfter)
	runSecond(0, 0)
	runSecond(0, 0)
	expectAdmit(true, 0)
	runSecond(time.Second, time.Second)
	runSecond(time.Second, time.Second)
	now += 2 * Interval
	expectAdmit(false, 2*time.Second) // the last observed interval was late
	now += 2 * Interval
	expectAdmit(true, 0)
}
