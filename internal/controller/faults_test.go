package controller

import (
	"time"

	"fieldhill/internal/emulator"
)

// freeze has a node stand still for a while: its network and its loop.
func freeze(w *emulator.Environment, i int, d time.Duration) {
	w.Freeze(i, d)
	if node := nodeAt(i); node != nil {
		go node.loop.post(func() { time.Sleep(d) })
	}
}

// hangBusyMachine has a machine with work hang for a while, and returns it.
func hangBusyMachine(w *emulator.Environment, d time.Duration) *emulator.Worker {
	for _, worker := range w.Cloud.Workers() {
		if w.Checker.HasTasks(worker.Name) {
			worker.Hang(d)
			return worker
		}
	}
	return nil
}

// restrictWorkersTo has the workers reach one node only, or ends that.
func restrictWorkersTo(w *emulator.Environment, node int, cut bool) {
	for k := range 3 {
		if k != node {
			partitionWorkers(w, k, cut)
		}
	}
}

// partitionWorkers parts the workers of both zones from a node.
func partitionWorkers(w *emulator.Environment, node int, cut bool) {
	w.PartitionWorkers("a", node, cut)
	w.PartitionWorkers("b", node, cut)
}

// partitionZone parts zone b from nodes 0 and 2, which are in zone a: node 1, which it holds,
// and its workers.
func partitionZone(w *emulator.Environment, cut bool) {
	w.PartitionControllers(0, 1, cut)
	w.PartitionControllers(1, 2, cut)
	w.PartitionWorkers("b", 0, cut)
	w.PartitionWorkers("b", 2, cut)
}

// partitionControllers has the controllers not reach each other, or ends that: each answers by the state service alone.
func partitionControllers(w *emulator.Environment, cut bool) {
	for k := range 3 {
		w.PartitionControllers(k, (k+1)%3, cut)
	}
}

// partitionZoneWorkers parts the workers of zone b from all nodes.
func partitionZoneWorkers(w *emulator.Environment, cut bool) {
	for i := range 3 {
		w.PartitionWorkers("b", i, cut)
	}
}
