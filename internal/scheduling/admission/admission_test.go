package admission

import (
	"testing"
	"time"
)

// TestGate: a burst, in which some wait and others do not, closes nothing; a standing queue does, for longer
// pauses the longer it lasts; once it is gone, or nothing is asked any more, new work is taken again.
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
			t.Errorf("at %v: %v, retry after %v; want %v, %v", now, ok, retryAfter, want, retry)
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
	expectAdmit(false, 2*time.Second) // what waited last waited too long
	now += 2 * Interval
	expectAdmit(true, 0)
}
