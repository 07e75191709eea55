package controller

import (
	"context"
	"errors"
	"time"

	"fieldhill/internal/api"
	"fieldhill/internal/result"
	"fieldhill/internal/rpc"
	"fieldhill/internal/scheduling/admission"
)

// eventLoop runs all work on the controller's state one piece at a time, users' requests behind everything else, and
// refuses when it is behind.
type eventLoop struct {
	*environment
	commits    *commitPipeline
	controller *Controller
	forward    *forwarder
	rounds     *schedulingRounds
	term       *termState

	workQueue chan func()
	// requestQueue is what users want of the loop; it waits for all that is in work.
	requestQueue   chan queuedRequest
	loopDone       chan struct{}  // closed when the loop runs no more
	admissionGate  admission.Gate // for new jobs
	roundRequested bool
	lastRound      time.Time
	roundGap       time.Duration // between rounds that events wake
}

// errBusy says that the loop is behind: the request is refused at once.
var errBusy = errors.New("controller: busy")

// post hands work to the loop without waiting for it.
func (el *eventLoop) post(f func()) {
	select {
	case el.workQueue <- f:
	case <-el.ctx.Done():
	}
}

// tryPost hands a user's or worker's work to the loop, unless it is far behind.
func (el *eventLoop) tryPost(f func()) error {
	select {
	case el.workQueue <- f:
		return nil
	default:
		return errBusy
	}
}

// postAndWait runs work in the loop and waits for it. While the node stops, the work may not be
// run; but it never runs after ask has returned, when the caller reads what it wrote.
func (el *eventLoop) postAndWait(f func()) {
	done := make(chan struct{})
	el.post(func() { f(); close(done) })
	select {
	case <-done:
	case <-el.loopDone:
	}
}

func (el *eventLoop) run(ctx context.Context) {
	roundTicker := time.NewTicker(el.options.RoundInterval)
	defer roundTicker.Stop()
	maintenanceTicker := time.NewTicker(maintenanceInterval)
	defer maintenanceTicker.Stop()
	wakeTimer := time.NewTimer(time.Hour)
	defer wakeTimer.Stop()
	batchTimer := time.NewTimer(time.Hour)
	defer batchTimer.Stop()
	wakeArmed := false
	for {
		select {
		case <-ctx.Done():
			return
		case f := <-el.workQueue:
			f()
			el.drainWork() // whatever else is waiting goes into the same batch
		case r := <-el.requestQueue:
			el.drainWork()
			el.drainRequests(r)
		case <-roundTicker.C:
			el.rounds.runScheduler(true)
		case <-maintenanceTicker.C:
			el.controller.runMaintenance()
		case <-wakeTimer.C:
			wakeArmed = false
			el.rounds.runScheduler(false)
		case <-batchTimer.C:
		}
		if el.roundRequested && !wakeArmed {
			wakeArmed = true
			wakeTimer.Reset(max(0, el.roundGap-time.Since(el.lastRound)))
		}
		el.commits.flush()
		el.forward.publish()
		if r := el.term.ownTerm; r != nil && !r.commits.writeInFlight && len(r.commits.queue) > 0 {
			batchTimer.Reset(max(0, batchDelay-time.Since(r.commits.queuedAt)))
		}
	}
}

const (
	// maxQueuedRequests bounds users' requests that wait for the loop; further ones are refused.
	maxQueuedRequests = 256
	// workPerTurn and requestsPerTurn are how many pieces of each queue go into the same batch.
	workPerTurn     = 64
	requestsPerTurn = 16
)

// queuedRequest is a piece of a user's request that waits for the loop.
type queuedRequest struct {
	run      func()
	queuedAt time.Time
}

// answer runs f in the loop; f must send exactly one result, at once or later. What the loop does not get to, or not
// through with in time, is result.NotHandled.
func (el *eventLoop) answer(ctx context.Context, f func(send func(result.Result))) result.Result {
	return el.awaitResult(ctx, el.tryPost, f)
}

// What is answered where the loop has not replied in time.
var (
	loopBusy = result.NotHandled{Reason: "busy", RetryAfter: 2 * time.Second}
	loopSlow = result.NotHandled{Reason: "the state service is slow", RetryAfter: time.Second}
	canceled = result.NotHandled{Reason: "given up", RetryAfter: time.Second}
	stopping = result.NotHandled{Reason: "stopping", RetryAfter: time.Second}
)

// respond is answer for what does not use results yet.
func (el *eventLoop) respond(ctx context.Context, f func(send func(*rpc.Response))) *rpc.Response {
	r := el.answer(ctx, func(send func(result.Result)) {
		f(func(response *rpc.Response) { send(result.Forwarded{Response: response}) })
	})
	switch r {
	case loopBusy:
		return loopBusyResponse
	case loopSlow:
		return loopSlowResponse
	case canceled:
		return canceledResponse
	case stopping:
		return stoppingResponse
	}
	return api.Respond(r)
}

// The same as responses, which are told apart by their addresses.
var (
	loopBusyResponse = api.Respond(loopBusy)
	loopSlowResponse = api.Respond(loopSlow)
	canceledResponse = api.Respond(canceled)
	stoppingResponse = api.Respond(stopping)
)

// tryPostRequest hands a piece of a user's request to the loop, unless it is far behind.
func (el *eventLoop) tryPostRequest(f func()) error {
	select {
	case el.requestQueue <- queuedRequest{f, time.Now()}:
		return nil
	default:
		return errBusy
	}
}

// answerInTurn runs f in the loop, after what is more urgent; f must send exactly one result, at once or later.
func (el *eventLoop) answerInTurn(ctx context.Context, f func(send func(result.Result))) result.Result {
	return el.awaitResult(ctx, el.tryPostRequest, f)
}

// awaitResult has the loop run f and waits for what it sends.
func (el *eventLoop) awaitResult(
	ctx context.Context,
	enqueue func(func()) error,
	f func(send func(result.Result)),
) result.Result {
	results := make(chan result.Result, 1)
	if enqueue(func() { f(func(r result.Result) { results <- r }) }) != nil {
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

// drainWork runs what waits in n.work, up to a turn.
func (el *eventLoop) drainWork() {
	for range workPerTurn {
		select {
		case f := <-el.workQueue:
			f()
		default:
			return
		}
	}
}

// drainRequests runs a user's request and more of them, up to a turn.
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
