// Package virtualtime contains TestMain helpers for tests that run in virtual time (testing/synctest) and gives them
// deterministic results under the race detector. Only tests import this package.
//
// The runtime runs all timers of a synctest bubble in one race detector context, which only one thread may use at a
// time. Two threads can use it concurrently: while the root of the bubble runs the timers of an instant, a goroutine
// woken by one of them may receive from the channel of another timer that is due, and then runs that timer itself. With
// more than one processor this occasionally corrupts the state of the detector, which shows as a segmentation fault in
// its runtime, a failed internal check or a false data race. The root runs timers on its system stack, where it isn't
// preempted, so the problem can't occur with one processor. The detector finds races by the happens-before order rather
// than by timing, so it finds as many races with one processor.
package virtualtime

import (
	"runtime"
	"testing"
)

// Main is called from TestMain in every package whose tests use testing/synctest. It runs the tests on one processor
// unless -cpu says otherwise. When TestMain returns, the process exits with the status of the tests.
func Main(m *testing.M) {
	runtime.GOMAXPROCS(1)
	m.Run()
}
