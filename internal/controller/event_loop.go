package controller

import (
	"context"
	"errors"
	"time"

	"fieldhill/internal/result"
	"fieldhill/internal/scheduling/admission"
)

// eventLoop is the one goroutine that owns the controller's state: every component's fields are read and written in
// its turns alone, unless a field says otherwise. Other goroutines reach it through two queues:
//
//   - workQueue takes what keeps leases, ends of tasks and cancellations come by, and the short look-ups that a
//     request needs before it is queued itself;
//   - requestQueue takes what users submit and ask. It is served after all other waiting work, a few requests a turn,
//     so that a flood of requests delays neither heartbeats nor cancellations.
//
// Both are bounded: beyond their length the caller is refused at once and told to come back.
//
// The queues may be used by any goroutine. The rest is the loop's own.
type eventLoop struct {
	*environment
	turns turnHandler

	workQueue    chan func()
	requestQueue chan queuedRequest
	done         chan struct{} // closed when the loop has ended

	admissionGate  admission.Gate // decides from requests' queueing delay whether new jobs are admitted
	roundRequested bool           // an event calls for a scheduling round before the next regular one
	lastRound      time.Time      // start of the last scheduling round; written by schedulingRounds
	roundGap       time.Duration  // between rounds that events request; written by schedulingRounds
}

// turnHandler is what the loop calls besides the work that is queued. All calls come from the loop's goroutine.
type turnHandler interface {
	// runMaintenance runs the periodic maintenance, every maintenanceInterval.
	runMaintenance()
	// runRound runs the scheduler; regular tells a periodic round from one that an event requested.
	runRound(regular bool)
	// afterTurn ends a turn: it hands proposed entries to the log and publishes the state for other goroutines. If a
	// batch still gathers entries, it returns for how long; the loop has another turn when that time is over.
	afterTurn() (wait time.Duration, pending bool)
}

// newEventLoop returns a loop that is not yet running; whoever wires it sets turns before run.
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
	// workQueueSize bounds the pieces of work that wait for the loop; while it is full heartbeats are refused.
	workQueueSize = 512
	// maintenanceInterval is the period of the maintenance.
	maintenanceInterval = 250 * time.Millisecond
	// idleTimer is the first period of timers that are armed by need; firing without need does no harm.
	idleTimer = time.Hour
)

// errBusy reports that the loop is behind and the work was refused.
var errBusy = errors.New("controller: event loop queue full")

// post queues work without waiting for it to run. It blocks while the queue is full, and gives up when the controller
// stops.
func (el *eventLoop) post(work func()) {
	select {
	case el.workQueue <- work:
	case <-el.ctx.Done():
	}
}

// tryPost queues work, or returns errBusy when the queue is full.
func (el *eventLoop) tryPost(work func()) error {
	select {
	case el.workQueue <- work:
		return nil
	default:
		return errBusy
	}
}

// postAndWait runs work in the loop and waits for it. While the controller stops, the work may not be run; but it
// never runs after postAndWait has returned, when the caller reads what the work wrote.
func (el *eventLoop) postAndWait(work func()) {
	finished := make(chan struct{})
	el.post(func() { work(); close(finished) })
	select {
	case <-finished:
	case <-el.done:
	}
}

// requestRound asks for a scheduling round as soon as the gap after the last one allows.
func (el *eventLoop) requestRound() { el.roundRequested = true }

// run serves the queues and the timers until the context ends.
func (el *eventLoop) run(ctx context.Context) {
	defer close(el.done)
	roundTicker := time.NewTicker(el.options.RoundInterval)
	defer roundTicker.Stop()
	maintenanceTicker := time.NewTicker(maintenanceInterval)
	defer maintenanceTicker.Stop()
	roundTimer := time.NewTimer(idleTimer)
	defer roundTimer.Stop()
	batchTimer := time.NewTimer(idleTimer)
	defer batchTimer.Stop()
	roundTimerArmed := false
	for {
		select {
		case <-ctx.Done():
			return
		case work := <-el.workQueue:
			work()
			el.drainWork() // whatever else is waiting goes into the same batch
		case request := <-el.requestQueue:
			el.drainWork()
			el.drainRequests(request)
		case <-roundTicker.C:
			el.turns.runRound(true)
		case <-maintenanceTicker.C:
			el.turns.runMaintenance()
		case <-roundTimer.C:
			roundTimerArmed = false
			el.turns.runRound(false)
		case <-batchTimer.C:
		}
		if el.roundRequested && !roundTimerArmed {
			roundTimerArmed = true
			roundTimer.Reset(max(0, el.roundGap-time.Since(el.lastRound)))
		}
		if wait, pending := el.turns.afterTurn(); pending {
			batchTimer.Reset(wait)
		}
	}
}

const (
	// maxQueuedRequests bounds the users' requests that wait for the loop; further ones are refused.
	maxQueuedRequests = 256
	// workPerTurn and requestsPerTurn are how many pieces of each queue are run in one turn, whose entries go into the
	// same batch.
	workPerTurn     = 64
	requestsPerTurn = 16
)

// queuedRequest is the part of a user's request that runs in the loop, and since when it waits for its turn.
type queuedRequest struct {
	run      func()
	queuedAt time.Time
}

// answer runs handle in the loop and returns its result; handle must send exactly one, at once or later. What the loop
// does not get to, or not through with in time, is result.NotHandled.
func (el *eventLoop) answer(ctx context.Context, handle func(send func(result.Result))) result.Result {
	return el.awaitResult(ctx, el.tryPost, handle)
}

// Results of requests to which the loop has not responded in time.
var (
	loopBusy = result.NotHandled{Reason: "busy", RetryAfter: 2 * time.Second}
	loopSlow = result.NotHandled{Reason: "the state service is slow", RetryAfter: time.Second}
	canceled = result.NotHandled{Reason: "given up", RetryAfter: time.Second}
	stopping = result.NotHandled{Reason: "stopping", RetryAfter: time.Second}
)

// tryPostRequest queues a user's request, or returns errBusy when the queue is full.
func (el *eventLoop) tryPostRequest(work func()) error {
	select {
	case el.requestQueue <- queuedRequest{run: work, queuedAt: time.Now()}:
		return nil
	default:
		return errBusy
	}
}

// answerInTurn is answer for users' requests, which come after all other waiting work.
func (el *eventLoop) answerInTurn(ctx context.Context, handle func(send func(result.Result))) result.Result {
	return el.awaitResult(ctx, el.tryPostRequest, handle)
}

// awaitResult queues handle by enqueue and waits for its result, for a bounded time.
func (el *eventLoop) awaitResult(
	ctx context.Context, enqueue func(func()) error, handle func(send func(result.Result)),
) result.Result {
	results := make(chan result.Result, 1)
	send := func(r result.Result) { results <- r }
	if enqueue(func() { handle(send) }) != nil {
		return loopBusy
	}
	timer := time.NewTimer(responseTimeout)
	defer timer.Stop()
	select {
	case r := <-results:
		return r
	case <-timer.C:
		return loopSlow
	case <-ctx.Done():
		return canceled
	case <-el.ctx.Done():
		return stopping
	}
}

// drainWork runs what waits in workQueue, up to workPerTurn pieces.
func (el *eventLoop) drainWork() {
	for range workPerTurn {
		select {
		case work := <-el.workQueue:
			work()
		default:
			return
		}
	}
}

// drainRequests runs a user's request and those that wait behind it, up to requestsPerTurn, and reports the queueing
// delay of each to the admission gate.
func (el *eventLoop) drainRequests(request queuedRequest) {
	for range requestsPerTurn {
		el.admissionGate.ObserveWait(time.Since(request.queuedAt), el.now())
		request.run()
		select {
		case request = <-el.requestQueue:
		default:
			return
		}
	}
}
