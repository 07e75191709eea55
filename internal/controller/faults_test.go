package controller

import (
	"time"

	"fieldhill/internal/emulator"
)

// freeze suspends a controller's network and event loop for the given duration.
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

// hangBusyMachine makes a machine that holds tasks hang for the given duration, and returns the machine, or nil if no
// machine holds tasks.
func hangBusyMachine(w *emulator.Environment, d time.Duration) *emulator.Worker {
	busy := busyMachines(w)
	if len(busy) == 0 {
		return nil
	}
	busy[0].Hang(d)
	return busy[0]
}

// delayCommands delays the execution of direct commands by all machines by d and leaves the commands unanswered. It
// returns a function that removes the delay.
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

// restrictAgentsTo partitions the agents from all controllers but the one with the given index if on is set, and ends
// that partition otherwise.
func restrictAgentsTo(w *emulator.Environment, node int, on bool) {
	for k := range 3 {
		if k != node {
			partitionAgents(w, k, on)
		}
	}
}

// partitionAgents partitions the agents of both zones from a controller if on is set, and ends that partition
// otherwise.
func partitionAgents(w *emulator.Environment, node int, on bool) {
	w.PartitionWorkers("a", node, on)
	w.PartitionWorkers("b", node, on)
}

// partitionZone partitions controller 1 and the agents of zone b from controllers 0 and 2, which are in zone a, if on
// is set, and ends that partition otherwise.
func partitionZone(w *emulator.Environment, on bool) {
	w.PartitionControllers(0, 1, on)
	w.PartitionControllers(1, 2, on)
	w.PartitionWorkers("b", 0, on)
	w.PartitionWorkers("b", 2, on)
}

// partitionControllers partitions the controllers from each other, but not from the store, if on is set, and ends that
// partition otherwise.
func partitionControllers(w *emulator.Environment, on bool) {
	for k := range 3 {
		w.PartitionControllers(k, (k+1)%3, on)
	}
}

// partitionZoneAgents partitions the agents of zone b from all controllers if on is set, and ends that partition
// otherwise.
func partitionZoneAgents(w *emulator.Environment, on bool) {
	for i := range 3 {
		w.PartitionWorkers("b", i, on)
	}
}

func startAll(w *emulator.Environment) {
	for i := range 3 {
		w.Start(i)
	}
}

// crashAll crashes all controllers and returns when they have ended.
func crashAll(w *emulator.Environment) {
	for i := range 3 {
		w.StopAndWait(i)
	}
}

// killAll kills the processes of all controllers without an orderly shutdown.
func killAll(w *emulator.Environment) {
	for i := range 3 {
		w.Kill(i)
	}
}
