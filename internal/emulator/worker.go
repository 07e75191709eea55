package emulator

import (
	"context"
	"errors"
	"io"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"fieldhill/internal/platform/host"
	"fieldhill/internal/platform/msgpackhttp"
	"fieldhill/wire"
)

// Worker plays the worker of one machine.
type Worker struct {
	Name, Addr, Type, Zone string
	Spot                   bool
	environment            *Environment
	rng                    *rand.Rand

	mu                  sync.Mutex
	epoch               uint64
	sequence            uint64
	fencingToken        uint64
	tasks               []*runningTask
	leaseExpiry         time.Time // lease_s after the sending of the last answered report
	changed             bool
	hungUntil           time.Time // executes nothing until then
	failsTasks          bool
	terminated          bool            // the machine is gone
	inboundPartitioned  bool            // its reports arrive, answers and commands don't reach it
	outboundPartitioned bool            // it reaches no controller, direct commands and questions reach it
	commandDelay        time.Duration   // direct commands are held up by so much, their senders get no answer
	delayedCommands     int             // how many were
	incarnation         int             // how often it was started again
	lastHeartbeat       *wire.Heartbeat // the last one
	stop                context.CancelFunc
	cachedImages        map[string]bool
	controllerIndex     int
}

type runningTask struct {
	id           string
	attempt      uint64
	spec         *wire.JobSpec
	state        string
	cause        string
	checkpointed bool
	stateSince   time.Time // of the state
	remaining    time.Duration
	onMachine    bool // counts as being on the machine
}

const tickInterval = 100 * time.Millisecond

func (w *Worker) run(ctx context.Context) {
	h := w.environment.networkOf(w.Name)
	ln, err := h.Listen(w.Addr)
	if err != nil {
		panic(err)
	}
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+wire.PathOrders, w.handleCommands)
	mux.HandleFunc("GET "+wire.PathShow, func(rw http.ResponseWriter, r *http.Request) {
		for w.isHung() {
			time.Sleep(tickInterval)
		}
		w.dropIfInboundPartitioned()
		w.mu.Lock()
		defer w.mu.Unlock()
		respond(rw, 200, w.buildHeartbeat())
	})
	serve(ctx, ln, mux)
	w.mu.Lock()
	w.epoch, w.leaseExpiry = 1, time.Now().Add(w.environment.leaseDuration)
	w.mu.Unlock()
	go w.heartbeatLoop(ctx, h)
	t := time.NewTicker(tickInterval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
			w.mu.Lock()
			if time.Now().After(w.hungUntil) {
				w.advance()
			}
			w.mu.Unlock()
		}
	}
}

// Hang makes the machine execute nothing for a while. One that hangs already is left alone, and between two hangs it
// comes to run: two that followed on each other once kept it for longer than a cancellation has, which no service can
// help while the state service is away, and which the protocol excludes, since a machine that hangs goes on within
// its lease or not at all.
func (w *Worker) Hang(d time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if time.Now().Before(w.hungUntil) {
		return
	}
	w.advance()
	w.hungUntil = time.Now().Add(d)
}

func (w *Worker) isHung() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return !w.terminated && time.Now().Before(w.hungUntil)
}

// SetInboundPartition has the machine's reports arrive while answers and commands don't reach it, or ends that.
func (w *Worker) SetInboundPartition(on bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.inboundPartitioned = on
}

// SetOutboundPartition has the machine reach no controller, while direct commands and questions reach it, or ends that.
func (w *Worker) SetOutboundPartition(on bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.outboundPartitioned = on
}

// DelayCommands has direct commands to the machine held up from now on: their senders get no answer, and they are
// carried out so much later if token and session still match. 0 ends that for those that come from then on.
func (w *Worker) DelayCommands(d time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.commandDelay = d
}

// DelayedCommands counts the direct commands that were held up.
func (w *Worker) DelayedCommands() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.delayedCommands
}

// dropIfInboundPartitioned loses what was sent to a machine that can't be reached: its sender gets no answer while it
// waits for one.
func (w *Worker) dropIfInboundPartitioned() {
	for range 50 {
		w.mu.Lock()
		partitioned := w.inboundPartitioned
		w.mu.Unlock()
		if !partitioned {
			return
		}
		time.Sleep(tickInterval)
	}
	panic(http.ErrAbortHandler)
}

// Reboot ends the machine's worker with everything on it, and starts it again under the same name. The protocol does
// not say what its numbers begin with: they go on in a new session, or, if afresh, begin at 1 as those of a new
// machine do.
func (w *Worker) Reboot(resetCounters bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.terminated {
		return
	}
	for _, t := range w.tasks {
		w.removeTask(t, false)
	}
	w.tasks, w.changed, w.cachedImages = nil, true, map[string]bool{}
	w.leaseExpiry = time.Now().Add(w.environment.leaseDuration)
	w.incarnation++
	if w.epoch++; resetCounters {
		w.epoch, w.sequence, w.fencingToken = 1, 0, 0
	}
}

// LastHeartbeat is the last report that the machine sent.
func (w *Worker) LastHeartbeat() *wire.Heartbeat {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.lastHeartbeat
}

// FailAllTasks makes every task that runs on the machine fail.
func (w *Worker) FailAllTasks() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.failsTasks = true
}

// advance moves tasks on by a step and ends the session when the lease is over.
func (w *Worker) advance() {
	if w.terminated {
		return
	}
	now := time.Now()
	if now.After(w.leaseExpiry) {
		for _, t := range w.tasks {
			w.removeTask(t, false)
		}
		w.tasks, w.changed = nil, true
		w.epoch++
		w.leaseExpiry = now.Add(w.environment.leaseDuration)
	}
	for _, t := range w.tasks {
		switch t.state {
		case wire.TaskFetching:
			if w.cachedImages[t.spec.Image] || now.Sub(t.stateSince) > w.environment.imageFetchDuration() {
				w.cachedImages[t.spec.Image] = true
				t.onMachine = true
				w.environment.Checker.RecordStart(t.id, w)
				if w.environment.Checker.isDone(t.id) ||
					t.spec.Shape == wire.Gang && w.environment.isGangFinished(t.id) {
					w.exitTask(t, wire.CauseDone, false)
				} else if t.spec.Shape == wire.Gang {
					w.environment.joinGang(t.id, t.attempt, w.Name)
					w.setTaskState(t, wire.TaskWaiting)
				} else {
					w.setTaskState(t, wire.TaskRunning)
				}
			}
		case wire.TaskWaiting:
			if w.environment.isGangComplete(t.id, t.attempt, t.spec.Tasks) {
				w.setTaskState(t, wire.TaskRunning)
			} else if now.Sub(t.stateSince) > w.environment.gangTimeout {
				w.exitTask(t, wire.CauseGangIncomplete, false)
			}
		case wire.TaskRunning:
			if w.failsTasks || w.environment.isFailing(t.spec.ID) {
				w.exitTask(t, wire.CauseError, false)
				continue
			}
			if t.spec.Shape == wire.Gang && w.environment.isGangFinished(t.id) {
				w.exitTask(t, wire.CauseDone, false)
				continue
			}
			if t.spec.Shape == wire.Gang && !w.environment.isGangComplete(t.id, t.attempt, t.spec.Tasks) {
				w.exitTask(t, wire.CausePeers, false)
				continue
			}
			if t.spec.Shape != wire.Service {
				if t.remaining -= tickInterval; t.remaining <= 0 {
					w.environment.onTaskEnding(t.id)
					w.exitTask(t, wire.CauseDone, false)
				}
			}
		case wire.TaskCheckpointing:
			if now.Sub(t.stateSince).Seconds() > t.spec.CheckpointWriteS {
				w.exitTask(t, wire.CauseStopped, true)
			}
		}
	}
}

func (w *Worker) setTaskState(t *runningTask, state string) {
	t.state, t.stateSince, w.changed = state, time.Now(), true
}

func (w *Worker) exitTask(t *runningTask, cause string, saved bool) {
	w.setTaskState(t, wire.TaskExited)
	t.cause, t.checkpointed = cause, saved
	w.removeTask(t, cause == wire.CauseDone)
}

func (w *Worker) removeTask(t *runningTask, done bool) {
	if t.onMachine {
		t.onMachine = false
		w.environment.Checker.RecordExit(t.id, w, done)
	}
	if t.spec != nil && t.spec.Shape == wire.Gang {
		w.environment.leaveGang(t.id, t.attempt, w.Name, done)
	}
}

// terminate takes the machine away with everything on it.
func (w *Worker) terminate() {
	w.mu.Lock()
	w.terminated = true
	for _, t := range w.tasks {
		w.removeTask(t, false)
	}
	w.tasks = nil
	w.mu.Unlock()
	w.stop()
}

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
		heartbeat.Tasks = append(
			heartbeat.Tasks,
			wire.TaskStatus{
				Task:         t.id,
				Attempt:      t.attempt,
				State:        t.state,
				Cause:        t.cause,
				Checkpointed: t.checkpointed,
			},
		)
	}
	return heartbeat
}

func (w *Worker) execute(cmds []wire.Command) {
	for _, c := range cmds {
		var found *runningTask
		for _, t := range w.tasks {
			if t.id == c.Task && t.attempt == c.Attempt {
				found = t
			}
		}
		switch {
		case c.Verb == wire.Start && found == nil:
			w.startTask(c)
		case c.Verb == wire.Stop && found != nil && found.state != wire.TaskExited:
			grace := 0.0
			if c.GraceS != nil {
				grace = *c.GraceS
			}
			switch {
			case found.state == wire.TaskCheckpointing && grace > 0:
			case found.state == wire.TaskRunning && found.spec.CheckpointIntervalS > 0 && grace >= found.spec.CheckpointWriteS:
				w.setTaskState(found, wire.TaskCheckpointing)
			default:
				w.exitTask(found, wire.CauseStopped, false)
			}
		case c.Verb == wire.Forget && found != nil && found.state == wire.TaskExited:
			for i, t := range w.tasks {
				if t == found {
					w.tasks = append(w.tasks[:i:i], w.tasks[i+1:]...)
					break
				}
			}
			w.changed = true
		}
	}
}

func (w *Worker) startTask(c wire.Command) {
	w.changed = true
	t := &runningTask{id: c.Task, attempt: c.Attempt, stateSince: time.Now(), state: wire.TaskFetching}
	w.tasks = append(w.tasks, t)
	n, _, _ := wire.ParseTaskID(c.Task)
	t.spec = w.environment.Checker.Spec(n)
	if t.spec == nil {
		w.exitTask(t, wire.CauseUnknown, false)
		return
	}
	if w.environment.onTaskStart != nil {
		w.environment.onTaskStart(t.spec)
	}
	t.remaining = time.Duration(float64(w.environment.taskDuration(t.spec.EstimateS)) * (0.7 + w.rng.Float64()))
	machineType := w.environment.Cloud.machineType(w.Type)
	cpus, gpus, memory := 0.0, 0.0, 0.0
	for _, other := range w.tasks {
		if other.state != wire.TaskExited {
			cpus, gpus, memory = cpus+other.spec.CPUs, gpus+other.spec.GPUs, memory+other.spec.MemoryGB
			if other != t && other.id == t.id {
				w.exitTask(t, wire.CauseBusy, false)
				return
			}
		}
	}
	if cpus > machineType.CPUs+1e-9 || gpus > machineType.GPUs+1e-9 || memory > machineType.MemoryGB+1e-9 {
		w.exitTask(t, wire.CauseNoCapacity, false)
	}
}

// handleCommands executes direct commands, sometimes late: the sender has given up by then.
func (w *Worker) handleCommands(rw http.ResponseWriter, r *http.Request) {
	time.Sleep(time.Millisecond)
	body, _ := io.ReadAll(r.Body)
	var orders wire.Orders
	if err := wire.Unmarshal(body, &orders); err != nil {
		respond(rw, 400, payload{})
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
		w.mu.Lock()
		incarnation := w.incarnation // what is on its way to an earlier one ends with its connections
		w.mu.Unlock()
		go func() {
			time.Sleep(delay)
			w.mu.Lock()
			defer w.mu.Unlock()
			if !w.terminated && !w.inboundPartitioned && w.incarnation == incarnation &&
				orders.FencingToken >= w.fencingToken &&
				orders.AgentEpoch == w.epoch {
				w.fencingToken = orders.FencingToken
				w.execute(orders.Commands)
			}
		}()
		panic(http.ErrAbortHandler)
	}
	w.dropIfInboundPartitioned()
	for {
		w.mu.Lock()
		if w.terminated || time.Now().After(w.hungUntil) {
			break
		}
		w.mu.Unlock()
		time.Sleep(tickInterval)
	}
	defer w.mu.Unlock()
	code := 200
	w.advance()
	if orders.FencingToken < w.fencingToken || orders.AgentEpoch != w.epoch {
		code = 409
	} else {
		w.fencingToken = orders.FencingToken
		w.execute(orders.Commands)
	}
	respond(rw, code, w.buildHeartbeat())
}

// heartbeatLoop is the worker's loop of reports.
func (w *Worker) heartbeatLoop(ctx context.Context, h host.Net) {
	client := msgpackhttp.New(h, 1, 4, 2*time.Second)
	defer client.Close()
	next := time.Now()
	for ctx.Err() == nil {
		time.Sleep(tickInterval / 2)
		w.mu.Lock()
		now := time.Now()
		if now.Before(w.hungUntil) || now.Before(next) && !w.changed {
			w.mu.Unlock()
			continue
		}
		w.advance()
		w.changed = false
		heartbeat := w.buildHeartbeat()
		controller := w.environment.controllers[w.controllerIndex%len(w.environment.controllers)]
		next = now.Add(time.Duration((0.75 + 0.5*w.rng.Float64()) * float64(w.environment.heartbeatInterval)))
		incarnation, partitioned := w.incarnation, w.outboundPartitioned
		if !partitioned {
			w.lastHeartbeat = heartbeat
		}
		w.mu.Unlock()
		if partitioned {
			time.Sleep(500 * time.Millisecond) // no connection is made
			w.mu.Lock()
			w.controllerIndex++
			w.mu.Unlock()
			continue
		}
		w.environment.maybeDuplicate(controller.userAddr, heartbeat)
		requestCtx, cancel := context.WithTimeout(ctx, 4*time.Second)
		var response wire.HeartbeatResponse
		err := client.Do(
			requestCtx,
			"POST",
			controller.userAddr,
			wire.PathHeartbeat,
			heartbeat,
			&response,
			wire.MaxBody,
		)
		cancel()
		w.mu.Lock()
		if w.inboundPartitioned {
			w.mu.Unlock()
			time.Sleep(4*time.Second - time.Since(now))
			w.mu.Lock()
			err = errNoAnswer
		}
		if w.incarnation != incarnation { // that was an earlier one's
			w.mu.Unlock()
			continue
		}
		switch code := msgpackhttp.StatusCode(err); {
		case err == nil:
			if heartbeat.AgentEpoch == w.epoch && response.FencingToken >= w.fencingToken && !w.terminated {
				w.fencingToken = response.FencingToken
				w.leaseExpiry = now.Add(w.environment.leaseDuration)
				w.execute(response.Commands)
			}
		case code == 421:
			w.controllerIndex = w.environment.indexOf(redirectTarget(err), w.controllerIndex)
			next = now.Add(300 * time.Millisecond)
		default:
			w.controllerIndex++
			next = now.Add(time.Second)
		}
		w.mu.Unlock()
		if err != nil {
			time.Sleep(300 * time.Millisecond)
		} else {
			time.Sleep(400 * time.Millisecond) // not more often than every half second
		}
	}
}

var errNoAnswer = errors.New("no answer")

func redirectTarget(err error) string {
	var r wire.Redirect
	if se, ok := err.(*msgpackhttp.StatusError); ok {
		_ = wire.Unmarshal(se.Body, &r)
	}
	return r.Node
}
