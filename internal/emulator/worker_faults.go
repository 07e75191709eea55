package emulator

import (
	"net/http"
	"time"

	"fieldhill/wire"
)

// Hang makes the machine execute nothing for a while. One that hangs already is left alone, and between two hangs it
// comes to run: two in a row once kept it for longer than the time within which a cancellation must take effect, which
// no service can prevent while the key-value store is unavailable, and which the protocol excludes, since a machine
// that hangs goes on within its lease or not at all.
func (w *Worker) Hang(d time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if time.Now().Before(w.hungUntil) {
		return
	}
	w.advance()
	w.hungUntil = time.Now().Add(d)
}

// isHung reports whether a machine that exists hangs.
func (w *Worker) isHung() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return !w.terminated && time.Now().Before(w.hungUntil)
}

// SetInboundPartition has the machine's heartbeats arrive while answers and commands don't reach it, or ends that.
func (w *Worker) SetInboundPartition(on bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.inboundPartitioned = on
}

// SetOutboundPartition has the machine reach no controller, while direct commands and probes reach it, or ends that.
func (w *Worker) SetOutboundPartition(on bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.outboundPartitioned = on
}

// DelayCommands has direct commands to the machine delayed from now on: their senders get no answer, and they are
// carried out so much later if fencing token and epoch still match. 0 ends that for those that come from then on.
func (w *Worker) DelayCommands(d time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.commandDelay = d
}

// DelayedCommands counts the direct commands that were delayed.
func (w *Worker) DelayedCommands() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.delayedCommands
}

// inboundPartitionTicks is for how many ticks a request waits for the end of an inbound partition: for longer than its
// sender does.
const inboundPartitionTicks = 50

// dropIfInboundPartitioned loses a request to a machine that can't be reached, unless the partition ends while its
// sender waits for the answer.
func (w *Worker) dropIfInboundPartitioned() {
	for range inboundPartitionTicks {
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

// Reboot ends the machine's agent with everything on it, and starts it again under the same name. The protocol does not
// say what its counters begin with: they go on in a new epoch or, if they are reset, begin at 1 as those of a new
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

// LastHeartbeat is the last heartbeat that the machine sent.
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
