package admission

import (
	"testing"
	"time"
)

// TestGate: a burst, in which some wait and others do not, closes nothing; a queue that stands does, for longer pauses the longer it
// stands; once it is gone, or nothing is asked any more, new work is taken again.
func TestGate(t *testing.T) {
	var g Gate
	now := Time(0)
	second := func(waits ...time.Duration) {
		for _, w := range waits {
			now += time.Second / time.Duration(len(waits))
			g.Waited(w, now)
		}
	}
	admits := func(want bool, retry time.Duration) {
		t.Helper()
		if got, ok := g.Admit(now); ok != want || got != retry {
			t.Errorf("at %v: %v, retry after %v; want %v, %v", now, ok, got, want, retry)
		}
	}
	admits(true, 0)
	second(2*time.Second, 0, 2*time.Second)
	second(2*time.Second, time.Millisecond)
	admits(true, 0)
	second(time.Second, time.Second)
	second(time.Second, time.Second)
	admits(false, time.Second)
	for range 6 {
		second(time.Second, 400*time.Millisecond)
	}
	admits(false, mostRetry)
	second(0, 0)
	second(0, 0)
	admits(true, 0)
	second(time.Second, time.Second)
	second(time.Second, time.Second)
	now += 2 * Interval
	admits(false, 2*time.Second) // what waited last waited too long
	now += 2 * Interval
	admits(true, 0)
}
