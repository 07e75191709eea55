package emulator

import (
	"context"
	"maps"
	"math/rand/v2"
	"sync"
	"time"
)

// CopiedRequest is a kind of request that is delivered once more after it was answered.
type CopiedRequest string

// Kinds of copied requests.
const (
	CopiedTransaction  CopiedRequest = "transaction of the key-value store"
	CopiedLeaseGrant   CopiedRequest = "lease grant"
	CopiedLeaseRenewal CopiedRequest = "lease renewal"
	CopiedLeaseRevoke  CopiedRequest = "lease revocation"
	CopiedScaleOut     CopiedRequest = "scale-out request"
	CopiedRelease      CopiedRequest = "deletion of machines"
	CopiedSubmission   CopiedRequest = "submission"
	CopiedCancellation CopiedRequest = "cancellation"
)

// minCopyDelay is the minimum delay of the copy of a request.
const minCopyDelay = 300 * time.Millisecond

// requestCopier emulates a network that delivers requests once more, some time after they were executed and answered.
type requestCopier struct {
	ctx context.Context // copies are delivered until it is done

	mu          sync.Mutex
	rng         *rand.Rand
	probability float64
	maxDelay    time.Duration
	copies      map[CopiedRequest]int
}

func newRequestCopier(ctx context.Context, seed, stream uint64) *requestCopier {
	return &requestCopier{ctx: ctx, rng: rand.New(rand.NewPCG(seed, stream)), copies: map[CopiedRequest]int{}}
}

// DuplicateRequests sets the probability that a request to the key-value store, the cloud, or from a user is delivered
// once more after it was answered, and the maximum delay of the second delivery. Short delays are more frequent than
// long ones.
func (c *requestCopier) DuplicateRequests(probability float64, maxDelay time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.probability, c.maxDelay = probability, maxDelay
}

// RequestCopies returns the number of copies delivered so far, by kind.
func (c *requestCopier) RequestCopies() map[CopiedRequest]int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return maps.Clone(c.copies)
}

// maybeCopy calls deliver after a delay with the probability set by DuplicateRequests. A nil copier makes no copies.
func (c *requestCopier) maybeCopy(kind CopiedRequest, deliver func()) {
	if c == nil {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.probability == 0 || c.rng.Float64() >= c.probability {
		return
	}
	fraction := c.rng.Float64()
	delay := minCopyDelay + time.Duration(fraction*fraction*float64(c.maxDelay-minCopyDelay))
	deliverLater(c.ctx, delay, func() {
		deliver()
		c.mu.Lock()
		defer c.mu.Unlock()
		c.copies[kind]++
	})
}

// deliverLater calls deliver in a goroutine after a delay, unless the context ends before.
func deliverLater(ctx context.Context, delay time.Duration, deliver func()) {
	go func() {
		select {
		case <-ctx.Done():
		case <-time.After(delay):
			deliver()
		}
	}()
}
