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
	heartbeatTimeout = 4 * time.Second
	// minHeartbeatPause is the pause after a successful heartbeat. Together with the other delays of the heartbeat
	// loop, it keeps heartbeats at least half a second apart.
	minHeartbeatPause = 400 * time.Millisecond
	// heartbeatRetryPause is the pause after a failed heartbeat.
	heartbeatRetryPause = 300 * time.Millisecond
	// failedDialDuration is how long a connection attempt takes to fail during an outbound partition.
	failedDialDuration = 500 * time.Millisecond
	// commandLatency is the delay before direct commands are processed.
	commandLatency = time.Millisecond
)

// errNoResponse is the error for a heartbeat whose response is lost in an inbound partition.
var errNoResponse = errors.New("emulator: no response to heartbeat")

// buildHeartbeat returns the machine's next heartbeat, which also serves as the response to probes and direct commands.
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

// handleProbe answers a controller's request for the machine's state, after waiting while the machine hangs.
func (w *Worker) handleProbe(rw http.ResponseWriter, _ *http.Request) {
	for w.isHung() {
		time.Sleep(tickInterval)
	}
	w.dropIfInboundPartitioned()
	w.mu.Lock()
	defer w.mu.Unlock()
	respond(rw, http.StatusOK, w.buildHeartbeat())
}

// handleCommands executes direct commands, either at once or after a delay and without a response.
func (w *Worker) handleCommands(rw http.ResponseWriter, r *http.Request) {
	time.Sleep(commandLatency)
	body, _ := io.ReadAll(r.Body) // a truncated body fails to decode
	var batch wire.CommandBatch
	if err := wire.Unmarshal(body, &batch); err != nil {
		respond(rw, http.StatusBadRequest, payload{})
		return
	}
	delayed, delay := w.environment.drawCommandDelay()
	w.mu.Lock()
	if w.commandDelay > 0 {
		delayed, delay = true, w.commandDelay
		w.delayedCommands++
	}
	w.mu.Unlock()
	if delayed {
		w.executeDelayed(&batch, delay)
		panic(http.ErrAbortHandler)
	}
	w.dropIfInboundPartitioned()
	w.lockWhenNotHung()
	defer w.mu.Unlock()
	code := http.StatusOK
	w.advance() //nolint:contextcheck // a cancellation by a user is independent of the machine's context
	if w.executeIfValid(&batch) {
		w.environment.commandCopier.maybeDuplicate(w, &batch) //nolint:contextcheck // as in heartbeatLoop
	} else {
		code = http.StatusConflict
	}
	respond(rw, code, w.buildHeartbeat())
}

// executeDelayed executes direct commands after a delay, if their fencing token and epoch are still valid after the
// delay. Commands are dropped if the machine was deleted or is in an inbound partition. They are also dropped if the
// machine was rebooted during the delay, unless KeepCommandsAcrossReboots was called and its agent has been answered
// since: before the first answer, no controller can prevent their execution.
func (w *Worker) executeDelayed(batch *wire.CommandBatch, delay time.Duration) {
	w.mu.Lock()
	incarnation := w.incarnation
	w.mu.Unlock()
	go func() {
		time.Sleep(delay)
		w.mu.Lock()
		defer w.mu.Unlock()
		arrives := w.incarnation == incarnation || w.fencingToken > 0 && w.environment.arrivesAfterReboot()
		if w.terminated || w.inboundPartitioned || !arrives {
			return
		}
		w.executeIfValid(batch)
		if w.incarnation != incarnation {
			w.environment.countLateCommand()
		}
	}()
}

// lockWhenNotHung waits until the machine does not hang, or is terminated, and returns with w.mu locked.
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

// heartbeatAttempt is a heartbeat to send, and the state of the agent when the heartbeat was built.
type heartbeatAttempt struct {
	heartbeat      *wire.Heartbeat
	controllerAddr string
	sentAt         time.Time
	incarnation    int
	partitioned    bool // in an outbound partition
}

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
			time.Sleep(failedDialDuration)
			w.mu.Lock()
			w.controllerIndex++
			w.mu.Unlock()
		default:
			//nolint:contextcheck // the delivery of a duplicate is independent of the machine's context
			w.environment.heartbeatCopier.maybeDuplicate(attempt.controllerAddr, attempt.heartbeat)
			w.sendHeartbeat(ctx, client, attempt, &next)
		}
	}
}

// prepareHeartbeat builds a heartbeat and schedules the next one. It returns nil if no heartbeat is due or the machine
// hangs.
func (w *Worker) prepareHeartbeat(next *time.Time) *heartbeatAttempt {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := time.Now()
	if now.Before(w.hungUntil) || now.Before(*next) && !w.heartbeatDue {
		return nil
	}
	w.advance()
	w.heartbeatDue = false
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

// sendHeartbeat sends a heartbeat, handles the response, and pauses to keep heartbeats apart.
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
		err = errNoResponse
	}
	if w.incarnation != attempt.incarnation { // the response was lost with the connections of the earlier incarnation
		w.mu.Unlock()
		return
	}
	w.handleResponse(attempt, &response, err, next)
	w.mu.Unlock()
	if err != nil {
		time.Sleep(heartbeatRetryPause)
	} else {
		time.Sleep(minHeartbeatPause)
	}
}

// handleResponse handles the response to a heartbeat, or the error that occurred instead. After a response with a valid
// fencing token and epoch, it renews the lease and executes the commands; after an error, it selects another
// controller.
func (w *Worker) handleResponse(
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
		w.controllerIndex = w.environment.redirectIndex(redirectTarget(err), w.controllerIndex)
		*next = attempt.sentAt.Add(300 * time.Millisecond)
	default:
		w.controllerIndex++
		*next = attempt.sentAt.Add(time.Second)
	}
}

// redirectTarget returns the controller named by a redirect response, or "" if there is none.
func redirectTarget(err error) string {
	var redirect wire.Redirect
	if status := (*msgpackhttp.StatusError)(nil); errors.As(err, &status) {
		_ = wire.Unmarshal(status.Body, &redirect) // a malformed body names no controller
	}
	return redirect.Node
}
