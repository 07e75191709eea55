package emulator

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"fieldhill/wire"
)

// Worker emulates the agent of one machine and the tasks on it, which run nothing.
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
	tasks           []*runningTask
	leaseExpiry     time.Time // lease_s after the last answered heartbeat was sent
	changed         bool      // a heartbeat is due at once
	terminated      bool      // the machine is gone
	incarnation     int       // how often it was rebooted
	lastHeartbeat   *wire.Heartbeat
	cachedImages    map[string]bool
	controllerIndex int // of the controller that gets its heartbeats

	hungUntil           time.Time // executes nothing until then
	failsTasks          bool
	inboundPartitioned  bool          // its heartbeats arrive, answers and commands don't reach it
	outboundPartitioned bool          // it reaches no controller, direct commands and probes reach it
	commandDelay        time.Duration // by which direct commands are delayed, with no answer to their senders
	delayedCommands     int           // how many were
}

// runningTask is one attempt of a task on a machine, until the controller has it forgotten.
type runningTask struct {
	id           string
	attempt      uint64
	spec         *wire.JobSpec
	state        string
	cause        string
	checkpointed bool
	stateSince   time.Time
	remaining    time.Duration // until it is done
	onMachine    bool          // the invariant checker counts it as being on the machine
}

// isGang reports whether the task runs only together with others.
func (t *runningTask) isGang() bool { return t.spec.Shape == wire.Gang }

// tickInterval is the length of the steps in which tasks move on.
const tickInterval = 100 * time.Millisecond

// run serves the machine's address, sends its heartbeats and moves its tasks on until the context ends.
func (w *Worker) run(ctx context.Context) {
	h := w.environment.networkOf(w.Name)
	ln, err := h.Listen(w.Addr)
	if err != nil {
		panic(err)
	}
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+wire.PathOrders, w.handleCommands)
	mux.HandleFunc("GET "+wire.PathShow, w.handleProbe)
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
				w.advance() //nolint:contextcheck // a user cancels a job whether or not its machine goes on
			}
			w.mu.Unlock()
		}
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
