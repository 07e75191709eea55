package emulator

import (
	"net/http"
	"time"

	"fieldhill/wire"
)

// Hang suspends the machine for a duration. It does nothing if the machine already hangs, and it advances the tasks
// before each hang. Otherwise consecutive hangs could together be longer than the time within which a cancellation must
// take effect, which no service can prevent while the key-value store is unavailable. The protocol excludes such hangs:
// a machine that hangs resumes within its lease or not at all.
func (w *Worker) Hang(d time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if time.Now().Before(w.hungUntil) {
		return
	}
	w.advance()
	w.hungUntil = time.Now().Add(d)
}

// isHung reports whether the machine hangs; a terminated one does not.
func (w *Worker) isHung() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return !w.terminated && time.Now().Before(w.hungUntil)
}

// SetInboundPartition starts or ends a partition in which the machine's heartbeats arrive at controllers, while
// responses and commands don't reach the machine.
func (w *Worker) SetInboundPartition(on bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.inboundPartitioned = on
}

// SetOutboundPartition starts or ends a partition in which the machine reaches no controller, while direct commands and
// probes reach the machine.
func (w *Worker) SetOutboundPartition(on bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.outboundPartitioned = on
}

// DelayCommands delays direct commands to the machine that arrive from now on: they are not answered, and are executed
// after the delay if fencing token and epoch still match. With a delay of 0, later commands are executed at once and
// answered.
func (w *Worker) DelayCommands(d time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.commandDelay = d
}

// DelayedCommands returns the number of requests with direct commands that were delayed.
func (w *Worker) DelayedCommands() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.delayedCommands
}

// inboundPartitionHoldTicks is the number of ticks for which a request waits for the end of an inbound partition. The
// sender's timeout is shorter.
const inboundPartitionHoldTicks = 50

// dropIfInboundPartitioned drops a request to a machine in an inbound partition, unless the partition ends while the
// request waits.
func (w *Worker) dropIfInboundPartitioned() {
	for range inboundPartitionHoldTicks {
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

// Reboot ends the machine's agent and all tasks, and starts the agent again under the same name. The protocol does not
// define the values of the agent's counters after a reboot. Without resetCounters, the epoch increases and the other
// counters continue; with resetCounters, the epoch is 1 and the others are 0. A terminated machine is not rebooted.
func (w *Worker) Reboot(resetCounters bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.terminated {
		return
	}
	for _, t := range w.tasks {
		w.removeTask(t, false)
	}
	w.tasks, w.heartbeatDue, w.cachedImages = nil, true, map[string]bool{}
	w.leaseExpiry = time.Now().Add(w.environment.leaseDuration)
	w.incarnation++
	if w.epoch++; resetCounters {
		w.epoch, w.sequence, w.fencingToken = 1, 0, 0
	}
}

// LastHeartbeat returns the heartbeat that the machine sent last, or nil if it has sent none.
func (w *Worker) LastHeartbeat() *wire.Heartbeat {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.lastHeartbeat
}

// FencingToken returns the highest fencing token that the agent has seen since its counters were last reset.
func (w *Worker) FencingToken() uint64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.fencingToken
}

// FailAllTasks makes every task that runs on the machine from now on fail.
func (w *Worker) FailAllTasks() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.failAllTasks = true
}
