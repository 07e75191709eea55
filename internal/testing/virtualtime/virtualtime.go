// Package virtualtime is the harness of tests that run in virtual time (testing/synctest), so that they end with the
// same verdict under the race detector every time. It is imported by tests only.
//
// The runtime runs all timers of a bubble in one context of the race detector, which only one thread may use at a time.
// Two do: while the bubble's root runs the timers of an instant, a goroutine that one of them woke may read a timer's
// channel whose time has come too, and then runs that timer itself. On more than one processor the detector's records
// are overwritten now and then: a segmentation fault in its runtime, a failed check, or a data race that is none. The
// root runs timers on its system stack, where nothing preempts it, so one processor rules this out. The detector
// recognises a race by the order of synchronisation, not by time, so it finds as many on one processor.
package virtualtime

import (
	"runtime"
	"testing"
)

// Main is for the TestMain of every package whose tests use testing/synctest. It runs the tests on one processor,
// unless -cpu asks for others; TestMain returns after it, and the test's process then ends with the tests' verdict.
func Main(m *testing.M) {
	runtime.GOMAXPROCS(1)
	m.Run()
}
