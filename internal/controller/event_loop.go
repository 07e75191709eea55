package controller

import (
	"context"
	"errors"
	"sync/atomic"
	"time"

	"fieldhill/internal/result"
	"fieldhill/internal/scheduling/admission"
)

// eventLoop is the goroutine that owns the controller's state: the fields of all components are read and written only
// in this goroutine, unless a field's comment says otherwise. Other goroutines reach it through two queues:
//
//   - workQueue takes heartbeats, results of operations that run in other goroutines, cancellations, and the short
//     look-ups that a request makes before it enters requestQueue;
//   - requestQueue takes users' submissions and status requests. Before each group of at most maxRequestsPerIteration
//     requests, the loop runs up to maxWorkPerIteration items of workQueue, so that a flood of requests delays neither
//     heartbeats nor cancellations.
//
// Both queues are bounded. While a queue is full, requests and heartbeats are refused immediately with the advice to
// retry; only post and postAndWait wait for space.
//
// The queues and lastMaintenance are safe for concurrent use. The other fields are accessed by the loop only.
type eventLoop struct {
	*environment
	handler loopHandler

	workQueue       chan func()
	requestQueue    chan queuedRequest
	done            chan struct{} // closed when the loop has ended
	lastMaintenance atomic.Int64  // time of the last maintenance run, since startTime

	admissionGate  admission.Gate // admits or refuses new jobs, depending on the queueing delay of requests
	roundRequested bool           // an event requested a scheduling round before the next periodic one
	lastRound      time.Time      // start of the last scheduling round; written by schedulingRounds
	roundGap       time.Duration  // minimum time between rounds requested by events; written by schedulingRounds
}

// loopHandler does the work that the loop runs in addition to queued work. The loop calls all methods in its own
// goroutine.
type loopHandler interface {
	// runMaintenance runs the periodic maintenance, every maintenanceInterval.
	runMaintenance()
	// runRound runs the scheduler; regular is true for a periodic round and false for one requested by an event.
	runRound(regular bool)
	// afterIteration ends an iteration: it passes proposed entries to the log writer and publishes the state for other
	// goroutines. If a batch waits for more entries, it returns the remaining delay, after which the loop runs another
	// iteration.
	afterIteration() (wait time.Duration, pending bool)
}

// newEventLoop returns a loop; the caller has to set handler before run.
func newEventLoop(env *environment) *eventLoop {
	return &eventLoop{
		environment:  env,
		workQueue:    make(chan func(), workQueueSize),
		requestQueue: make(chan queuedRequest, maxQueuedRequests),
		done:         make(chan struct{}),
		roundGap:     minRoundGap,
	}
}

const (
	// workQueueSize is the capacity of workQueue; while it is full, heartbeats are refused.
	workQueueSize       = 512
	maintenanceInterval = 250 * time.Millisecond
	// initialTimerPeriod is the first period of the round timer and the batch timer, which are reset when they are
	// needed. It is harmless if they fire without having been reset.
	initialTimerPeriod = time.Hour
)

// errQueueFull is the error for work that is refused because workQueue or requestQueue is full.
var errQueueFull = errors.New("controller: event loop queue full")

// post queues work in workQueue and returns before the work runs. While the queue is full, it blocks until there is
// space or the controller stops.
func (el *eventLoop) post(work func()) {
	select {
	case el.workQueue <- work:
	case <-el.ctx.Done():
	}
}

// tryPost queues work in workQueue without waiting for space. If the queue is full, it returns errQueueFull.
func (el *eventLoop) tryPost(work func()) error {
	select {
	case el.workQueue <- work:
		return nil
	default:
		return errQueueFull
	}
}

// postAndWait runs work in the loop and waits for it to finish. If the controller stops, the work may not run at all;
// it never runs after postAndWait has returned, so the caller may safely read what the work wrote.
func (el *eventLoop) postAndWait(work func()) {
	finished := make(chan struct{})
	el.post(func() { work(); close(finished) })
	select {
	case <-finished:
	case <-el.done:
	}
}

// recordMaintenance records the time of a maintenance run, and returns the time since the previous run.
func (el *eventLoop) recordMaintenance(now time.Time) time.Duration {
	sinceStart := now.Sub(el.startTime)
	return sinceStart - time.Duration(el.lastMaintenance.Swap(int64(sinceStart)))
}

// sinceMaintenance returns the time since the last maintenance run. It is safe for concurrent use.
func (el *eventLoop) sinceMaintenance() time.Duration {
	return el.now() - time.Duration(el.lastMaintenance.Load())
}

// requestRound requests a scheduling round, which runs once roundGap has passed since the last one.
func (el *eventLoop) requestRound() { el.roundRequested = true }

// run serves the queues and timers until the context ends.
func (el *eventLoop) run(ctx context.Context) {
	defer close(el.done)
	roundTicker := time.NewTicker(el.options.RoundInterval)
	defer roundTicker.Stop()
	maintenanceTicker := time.NewTicker(maintenanceInterval)
	defer maintenanceTicker.Stop()
	roundTimer := time.NewTimer(initialTimerPeriod)
	defer roundTimer.Stop()
	batchTimer := time.NewTimer(initialTimerPeriod)
	defer batchTimer.Stop()
	roundTimerArmed := false
	for {
		select {
		case <-ctx.Done():
			return
		case work := <-el.workQueue:
			work()
			el.drainWork() // entries of other waiting work go into the same batch
		case request := <-el.requestQueue:
			el.drainWork()
			el.drainRequests(request)
		case <-roundTicker.C:
			el.handler.runRound(true)
		case <-maintenanceTicker.C:
			el.handler.runMaintenance()
		case <-roundTimer.C:
			roundTimerArmed = false
			el.handler.runRound(false)
		case <-batchTimer.C:
		}
		if el.roundRequested && !roundTimerArmed {
			roundTimerArmed = true
			roundTimer.Reset(max(0, el.roundGap-time.Since(el.lastRound)))
		}
		if wait, pending := el.handler.afterIteration(); pending {
			batchTimer.Reset(wait)
		}
	}
}

const (
	// maxQueuedRequests is the capacity of requestQueue.
	maxQueuedRequests = 256
	// maxWorkPerIteration and maxRequestsPerIteration limit how much of each queue is run in one iteration, whose
	// entries go into the same batch.
	maxWorkPerIteration     = 64
	maxRequestsPerIteration = 16
)

// queuedRequest is the part of a user's request that runs in the loop.
type queuedRequest struct {
	run      func()
	queuedAt time.Time
}

// answer runs handle in the loop and returns its result; handle must send exactly one result, immediately or later. If
// workQueue is full, or no result is sent within responseTimeout or before the context ends or the controller stops,
// answer returns a result.NotHandled.
func (el *eventLoop) answer(ctx context.Context, handle func(send func(result.Result))) result.Result {
	return el.awaitResult(ctx, el.tryPost, handle)
}

// Results of requests that the event loop did not answer: the queue was full, no result was sent within
// responseTimeout, the request was canceled, or the controller is stopping.
var (
	resultBusy     = result.NotHandled{Reason: "busy", RetryAfter: 2 * time.Second}
	resultSlow     = result.NotHandled{Reason: "the state service is slow", RetryAfter: time.Second}
	resultCanceled = result.NotHandled{Reason: "given up", RetryAfter: time.Second}
	resultStopping = result.NotHandled{Reason: "stopping", RetryAfter: time.Second}
)

// tryPostRequest queues a user's request without waiting for space. If the queue is full, it returns errQueueFull.
func (el *eventLoop) tryPostRequest(work func()) error {
	select {
	case el.requestQueue <- queuedRequest{run: work, queuedAt: time.Now()}:
		return nil
	default:
		return errQueueFull
	}
}

// answerRequest is like answer, but for users' requests: handle waits in requestQueue, so that it delays neither
// heartbeats nor cancellations.
func (el *eventLoop) answerRequest(ctx context.Context, handle func(send func(result.Result))) result.Result {
	return el.awaitResult(ctx, el.tryPostRequest, handle)
}

// awaitResult queues handle by calling enqueue and waits for its result, for at most responseTimeout.
func (el *eventLoop) awaitResult(
	ctx context.Context, enqueue func(func()) error, handle func(send func(result.Result)),
) result.Result {
	results := make(chan result.Result, 1)
	send := func(r result.Result) { results <- r }
	if enqueue(func() { handle(send) }) != nil {
		return resultBusy
	}
	timer := time.NewTimer(responseTimeout)
	defer timer.Stop()
	select {
	case r := <-results:
		return r
	case <-timer.C:
		return resultSlow
	case <-ctx.Done():
		return resultCanceled
	case <-el.ctx.Done():
		return resultStopping
	}
}

// drainWork runs the work waiting in workQueue, up to maxWorkPerIteration items.
func (el *eventLoop) drainWork() {
	for range maxWorkPerIteration {
		select {
		case work := <-el.workQueue:
			work()
		default:
			return
		}
	}
}

// drainRequests runs a user's request and those queued behind it, up to maxRequestsPerIteration, and reports the
// queueing delay of each to the admission gate.
func (el *eventLoop) drainRequests(request queuedRequest) {
	for range maxRequestsPerIteration {
		el.admissionGate.ObserveWait(time.Since(request.queuedAt), el.now())
		request.run()
		select {
		case request = <-el.requestQueue:
		default:
			return
		}
	}
}
