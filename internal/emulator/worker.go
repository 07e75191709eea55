package emulator

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"fieldhill/wire"
)

// Worker emulates the agent of one machine and the execution of its tasks.
type Worker struct {
	Name, Addr, Type, Zone string
	Spot                   bool
	environment            *Environment
	rng                    *rand.Rand
	stop                   context.CancelFunc

	mu              sync.Mutex
	epoch           uint64
	sequence        uint64
	fencingToken    uint64
	tasks           []*taskAttempt
	leaseExpiry     time.Time // the time at which the last acknowledged heartbeat was sent, plus the lease duration
	heartbeatDue    bool      // the next heartbeat is sent without waiting for the interval
	terminated      bool      // the machine was deleted
	incarnation     int       // number of reboots
	lastHeartbeat   *wire.Heartbeat
	cachedImages    map[string]bool
	controllerIndex int // controller that receives the heartbeats

	hungUntil           time.Time     // until this time, the agent and the tasks make no progress
	failAllTasks        bool          // every task that runs on the machine fails
	inboundPartitioned  bool          // heartbeats arrive; responses and commands are lost
	outboundPartitioned bool          // heartbeats are lost; commands and probes arrive
	commandDelay        time.Duration // direct commands are executed after this delay and not answered; 0: at once
	delayedCommands     int           // number of delayed command requests
}

// taskAttempt is one attempt of a task on a machine. It is kept until a controller sends a forget command for the ended
// attempt, the lease expires or the machine reboots.
type taskAttempt struct {
	id                string
	attempt           uint64
	spec              *wire.JobSpec
	state             string
	cause             string
	checkpointed      bool
	stateSince        time.Time
	remaining         time.Duration // runtime until completion
	recordedOnMachine bool          // RecordStart was called, RecordExit not yet
}

// isGang reports whether the task belongs to a gang, whose tasks must all run at the same time.
func (t *taskAttempt) isGang() bool { return t.spec.Shape == wire.Gang }

// tickInterval is the step by which task execution advances.
const tickInterval = 100 * time.Millisecond

// run serves the agent's API, sends heartbeats and advances the tasks until the context ends.
func (w *Worker) run(ctx context.Context) {
	h := w.environment.networkOf(w.Name)
	ln, err := h.Listen(w.Addr)
	if err != nil {
		panic(err)
	}
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+wire.PathCommands, w.handleCommands)
	mux.HandleFunc("GET "+wire.PathProbe, w.handleProbe)
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
				w.advance() //nolint:contextcheck // a cancellation by a user is independent of the machine's context
			}
			w.mu.Unlock()
		}
	}
}

// terminate ends the machine and all tasks on it.
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
