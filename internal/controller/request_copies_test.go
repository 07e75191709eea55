package controller

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"fieldhill/internal/emulator"
)

// requestCopyShare is the share of requests to the key-value store, the cloud and from users that are copied in the
// random tests.
const requestCopyShare = 0.2

// copiedRequests are the kinds of requests that the emulator delivers once more after they were answered.
var copiedRequests = []emulator.CopiedRequest{
	emulator.CopiedTransaction, emulator.CopiedLeaseGrant, emulator.CopiedLeaseRenewal, emulator.CopiedLeaseRevoke,
	emulator.CopiedScaleOut, emulator.CopiedRelease, emulator.CopiedSubmission, emulator.CopiedCancellation,
}

// TestCopiesOfAnsweredRequests delivers all requests to the key-value store and the cloud, and all submissions and
// cancellations, once more after they were answered, while jobs run and are cancelled and leaders change.
func TestCopiesOfAnsweredRequests(t *testing.T) {
	defer func() { compactEvery = 0 }()
	for _, compactEvery = range []int{0, 10} {
		t.Run(fmt.Sprint("compaction every ", compactEvery), func(t *testing.T) {
			runFaultCombination(t, 2, 74, copyAnsweredRequests)
		})
	}
}

// copyAnsweredRequests runs TestCopiesOfAnsweredRequests for one seed.
func copyAnsweredRequests(t *testing.T, w *emulator.Environment, _ uint64, rng *rand.Rand) {
	t.Helper()
	w.DuplicateRequests(1, maxCommandCopyDelay)
	startServices(w, 3)
	var ids []string
	for range 8 {
		ids = append(ids, submitShortJobs(w, rng, 100+len(ids))...)
		time.Sleep(randomMillis(rng, 0, 6000))
		w.Cancel(ids[rng.IntN(len(ids))])
		if rng.IntN(2) == 0 {
			w.Restart(leaderOrFirst(), randomMillis(rng, 20, 300))
		}
		time.Sleep(randomMillis(rng, 0, 9000))
	}
	time.Sleep(maxCommandCopyDelay)
	checkConvergence(t, w, ids)
	copies := w.RequestCopies()
	t.Logf("copies: %v", copies)
	for _, kind := range copiedRequests {
		if copies[kind] == 0 {
			t.Errorf("no copy of a %s was delivered: the fault did not occur", kind)
		}
	}
}
