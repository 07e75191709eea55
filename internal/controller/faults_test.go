package controller

import (
	"time"

	"fieldhill/internal/emulator"
)

// freeze stops a controller's network and event loop for a while.
func freeze(w *emulator.Environment, i int, d time.Duration) {
	w.Freeze(i, d)
	if node := nodeAt(i); node != nil {
		go node.loop.post(func() { time.Sleep(d) })
	}
}

// busyMachines returns the machines that hold tasks.
func busyMachines(w *emulator.Environment) (busy []*emulator.Worker) {
	for _, worker := range w.Cloud.Workers() {
		if w.Checker.HasTasks(worker.Name) {
			busy = append(busy, worker)
		}
	}
	return busy
}

// hangBusyMachine makes a machine that holds tasks hang for a while, and returns it, or nil if there is none.
func hangBusyMachine(w *emulator.Environment, d time.Duration) *emulator.Worker {
	busy := busyMachines(w)
	if len(busy) == 0 {
		return nil
	}
	busy[0].Hang(d)
	return busy[0]
}

// delayCommands delays the direct commands to all machines, and returns what ends that.
func delayCommands(w *emulator.Environment, d time.Duration) (end func()) {
	all := w.Cloud.Workers()
	for _, worker := range all {
		worker.DelayCommands(d)
	}
	return func() {
		for _, worker := range all {
			worker.DelayCommands(0)
		}
	}
}

// restrictAgentsTo lets the agents reach one controller only, or ends that.
func restrictAgentsTo(w *emulator.Environment, node int, on bool) {
	for k := range 3 {
		if k != node {
			partitionAgents(w, k, on)
		}
	}
}

// partitionAgents partitions the agents of both zones from a controller, or ends that.
func partitionAgents(w *emulator.Environment, node int, on bool) {
	w.PartitionWorkers("a", node, on)
	w.PartitionWorkers("b", node, on)
}

// partitionZone partitions zone b from controllers 0 and 2, which are in zone a, or ends that: controller 1, which is
// in zone b, and its agents.
func partitionZone(w *emulator.Environment, on bool) {
	w.PartitionControllers(0, 1, on)
	w.PartitionControllers(1, 2, on)
	w.PartitionWorkers("b", 0, on)
	w.PartitionWorkers("b", 2, on)
}

// partitionControllers partitions the controllers from each other, or ends that: each answers from the store alone.
func partitionControllers(w *emulator.Environment, on bool) {
	for k := range 3 {
		w.PartitionControllers(k, (k+1)%3, on)
	}
}

// partitionZoneAgents partitions the agents of zone b from all controllers, or ends that.
func partitionZoneAgents(w *emulator.Environment, on bool) {
	for i := range 3 {
		w.PartitionWorkers("b", i, on)
	}
}

// startAll starts all controllers.
func startAll(w *emulator.Environment) {
	for i := range 3 {
		w.Start(i)
	}
}

// crashAll ends all controllers and waits until they have ended.
func crashAll(w *emulator.Environment) {
	for i := range 3 {
		w.Crash(i)
	}
}

// killAll kills the processes of all controllers, which get no time to end anything in order.
func killAll(w *emulator.Environment) {
	for i := range 3 {
		w.Kill(i)
	}
}
