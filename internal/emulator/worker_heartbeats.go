package emulator

import (
	"context"
	"errors"
	"io"
	"net/http"
	"time"

	"fieldhill/internal/platform/host"
	"fieldhill/internal/platform/msgpackhttp"
	"fieldhill/wire"
)

const (
	// heartbeatTimeout is how long an agent waits for the answer to a heartbeat.
	heartbeatTimeout = 4 * time.Second
	// minHeartbeatPause keeps heartbeats at least half a second apart, and failurePause somewhat less after a failure.
	minHeartbeatPause = 400 * time.Millisecond
	failurePause      = 300 * time.Millisecond
	// dialPause is how long it takes to find that no connection can be made.
	dialPause = 500 * time.Millisecond
	// commandLatency is how long direct commands take to be looked at.
	commandLatency = time.Millisecond
)

// errNoAnswer is what an agent sees whose answers are lost.
var errNoAnswer = errors.New("no answer")

// buildHeartbeat is the machine's next heartbeat, which also answers probes and direct commands.
func (w *Worker) buildHeartbeat() *wire.Heartbeat {
	w.sequence++
	heartbeat := &wire.Heartbeat{
		Machine:      w.Name,
		Addr:         w.Addr,
		Type:         w.Type,
		Zone:         w.Zone,
		Spot:         w.Spot,
		AgentEpoch:   w.epoch,
		Seq:          w.sequence,
		FencingToken: w.fencingToken,
	}
	for _, t := range w.tasks {
		heartbeat.Tasks = append(heartbeat.Tasks, wire.TaskStatus{
			Task:         t.id,
			Attempt:      t.attempt,
			State:        t.state,
			Cause:        t.cause,
			Checkpointed: t.checkpointed,
		})
	}
	return heartbeat
}

// handleProbe answers a controller that asks for the machine's state.
func (w *Worker) handleProbe(rw http.ResponseWriter, _ *http.Request) {
	for w.isHung() {
		time.Sleep(tickInterval)
	}
	w.dropIfInboundPartitioned()
	w.mu.Lock()
	defer w.mu.Unlock()
	respond(rw, http.StatusOK, w.buildHeartbeat())
}

// handleCommands executes direct commands, sometimes late, after their sender's timeout.
func (w *Worker) handleCommands(rw http.ResponseWriter, r *http.Request) {
	time.Sleep(commandLatency)
	body, _ := io.ReadAll(r.Body) // a body cut short is malformed
	var orders wire.Orders
	if err := wire.Unmarshal(body, &orders); err != nil {
		respond(rw, http.StatusBadRequest, payload{})
		return
	}
	late, delay := w.environment.drawCommandDelay()
	w.mu.Lock()
	if w.commandDelay > 0 {
		late, delay = true, w.commandDelay
		w.delayedCommands++
	}
	w.mu.Unlock()
	if late {
		w.executeLater(&orders, delay)
		panic(http.ErrAbortHandler)
	}
	w.dropIfInboundPartitioned()
	w.lockWhenNotHung()
	defer w.mu.Unlock()
	code := http.StatusOK
	w.advance() //nolint:contextcheck // a user cancels a job whether or not its machine goes on
	if orders.FencingToken < w.fencingToken || orders.AgentEpoch != w.epoch {
		code = http.StatusConflict
	} else {
		w.fencingToken = orders.FencingToken
		w.execute(orders.Commands)
	}
	respond(rw, code, w.buildHeartbeat())
}

// executeLater executes direct commands after a delay, if they are still valid then. Those on their way to an earlier
// incarnation of the agent end with its connections.
func (w *Worker) executeLater(orders *wire.Orders, delay time.Duration) {
	w.mu.Lock()
	incarnation := w.incarnation
	w.mu.Unlock()
	go func() {
		time.Sleep(delay)
		w.mu.Lock()
		defer w.mu.Unlock()
		if w.terminated || w.inboundPartitioned || w.incarnation != incarnation ||
			orders.FencingToken < w.fencingToken || orders.AgentEpoch != w.epoch {
			return
		}
		w.fencingToken = orders.FencingToken
		w.execute(orders.Commands)
	}()
}

// lockWhenNotHung takes the lock as soon as the machine does not hang, or is gone.
func (w *Worker) lockWhenNotHung() {
	for {
		w.mu.Lock()
		if w.terminated || time.Now().After(w.hungUntil) {
			return
		}
		w.mu.Unlock()
		time.Sleep(tickInterval)
	}
}

// heartbeatAttempt is a heartbeat that is due, and what the agent was when it was built.
type heartbeatAttempt struct {
	heartbeat      *wire.Heartbeat
	controllerAddr string
	sentAt         time.Time
	incarnation    int
	partitioned    bool // outbound
}

// heartbeatLoop sends the agent's heartbeats until the context ends.
func (w *Worker) heartbeatLoop(ctx context.Context, h host.Net) {
	client := msgpackhttp.New(h, 1, 4, 2*time.Second)
	defer client.Close()
	next := time.Now()
	for ctx.Err() == nil {
		time.Sleep(tickInterval / 2)
		attempt := w.prepareHeartbeat(&next) //nolint:contextcheck // as in run
		switch {
		case attempt == nil:
		case attempt.partitioned:
			time.Sleep(dialPause)
			w.mu.Lock()
			w.controllerIndex++
			w.mu.Unlock()
		default:
			//nolint:contextcheck // the network delivers a copy whether or not the machine goes on
			w.environment.maybeDuplicate(attempt.controllerAddr, attempt.heartbeat)
			w.sendHeartbeat(ctx, client, attempt, &next)
		}
	}
}

// prepareHeartbeat builds a heartbeat if one is due, and sets when the next one is.
func (w *Worker) prepareHeartbeat(next *time.Time) *heartbeatAttempt {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := time.Now()
	if now.Before(w.hungUntil) || now.Before(*next) && !w.changed {
		return nil
	}
	w.advance()
	w.changed = false
	attempt := &heartbeatAttempt{
		heartbeat:      w.buildHeartbeat(),
		controllerAddr: w.environment.process(w.controllerIndex).userAddr,
		sentAt:         now,
		incarnation:    w.incarnation,
		partitioned:    w.outboundPartitioned,
	}
	*next = now.Add(time.Duration((0.75 + 0.5*w.rng.Float64()) * float64(w.environment.heartbeatInterval)))
	if !attempt.partitioned {
		w.lastHeartbeat = attempt.heartbeat
	}
	return attempt
}

// sendHeartbeat sends a heartbeat, takes its answer and pauses.
func (w *Worker) sendHeartbeat(
	ctx context.Context, client *msgpackhttp.Client, attempt *heartbeatAttempt, next *time.Time,
) {
	requestCtx, cancel := context.WithTimeout(ctx, heartbeatTimeout)
	var response wire.HeartbeatResponse
	err := client.Do(requestCtx, http.MethodPost, attempt.controllerAddr, wire.PathHeartbeat, attempt.heartbeat,
		&response, wire.MaxBody)
	cancel()
	w.mu.Lock()
	if w.inboundPartitioned {
		w.mu.Unlock()
		time.Sleep(heartbeatTimeout - time.Since(attempt.sentAt))
		w.mu.Lock()
		err = errNoAnswer
	}
	if w.incarnation != attempt.incarnation { // the answer was lost with the connections of the earlier one
		w.mu.Unlock()
		return
	}
	w.takeResponse(attempt, &response, err, next)
	w.mu.Unlock()
	if err != nil {
		time.Sleep(failurePause)
	} else {
		time.Sleep(minHeartbeatPause)
	}
}

// takeResponse renews the lease and executes commands, or turns to another controller.
func (w *Worker) takeResponse(
	attempt *heartbeatAttempt, response *wire.HeartbeatResponse, err error, next *time.Time,
) {
	switch {
	case err == nil:
		if attempt.heartbeat.AgentEpoch == w.epoch && response.FencingToken >= w.fencingToken && !w.terminated {
			w.fencingToken = response.FencingToken
			w.leaseExpiry = attempt.sentAt.Add(w.environment.leaseDuration)
			w.execute(response.Commands)
		}
	case msgpackhttp.StatusCode(err) == http.StatusMisdirectedRequest:
		w.controllerIndex = w.environment.redirected(redirectTarget(err), w.controllerIndex)
		*next = attempt.sentAt.Add(300 * time.Millisecond)
	default:
		w.controllerIndex++
		*next = attempt.sentAt.Add(time.Second)
	}
}

// redirectTarget is the controller that a redirect names, "" for none.
func redirectTarget(err error) string {
	var redirect wire.Redirect
	if status := (*msgpackhttp.StatusError)(nil); errors.As(err, &status) {
		_ = wire.Unmarshal(status.Body, &redirect) // a body that can't be read names nobody
	}
	return redirect.Node
}
