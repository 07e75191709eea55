package emulator

import "time"

// SetFaults sets the probability of each kind of lost answer and late execution, and by how much things may be late.
func (w *Environment) SetFaults(probability float64, maxDelay time.Duration) {
	w.mu.Lock()
	w.lateCommandChance, w.maxCommandDelay = probability, maxDelay
	w.mu.Unlock()
	w.Store.setTxnFaults(probability/2, probability/2, 0, maxDelay/2)
	w.Cloud.DropResponses(2 * probability)
}

// drawCommandDelay decides whether a direct command is executed late, and by how much.
func (w *Environment) drawCommandDelay() (late bool, delay time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	late = w.random.chance(w.lateCommandChance)
	return late, w.random.delay(w.maxCommandDelay)
}

// Freeze has a controller's host neither send nor receive for a while; the test stops what the controller does itself.
func (w *Environment) Freeze(controller int, d time.Duration) {
	w.Network.Freeze(w.processes[controller].name, d)
}

// PartitionControllers partitions a controller from another one, in both directions.
func (w *Environment) PartitionControllers(a, b int, partitioned bool) {
	w.Network.SetPartition(w.processes[a].name, w.processes[b].peerAddr, partitioned)
	w.Network.SetPartition(w.processes[b].name, w.processes[a].peerAddr, partitioned)
}

// PartitionStore partitions a controller from the key-value store.
func (w *Environment) PartitionStore(controller int, partitioned bool) {
	w.Network.SetPartition(w.processes[controller].name, w.addresses.Store, partitioned)
}

// RefuseStore has the key-value store refuse a controller alone, or ends that.
func (w *Environment) RefuseStore(controller int, on bool) {
	w.Store.RefuseHost(w.processes[controller].name, on)
}

// PartitionFromStoreAndPeers partitions a controller from the key-value store and the other controllers, not from its
// workers.
func (w *Environment) PartitionFromStoreAndPeers(controller int, partitioned bool) {
	w.PartitionStore(controller, partitioned)
	for other := range w.processes {
		if other != controller {
			w.PartitionControllers(controller, other, partitioned)
		}
	}
}

// PartitionCloud partitions a controller from the cloud.
func (w *Environment) PartitionCloud(controller int, partitioned bool) {
	w.Network.SetPartition(w.processes[controller].name, w.addresses.Cloud, partitioned)
}

// PartitionWorkers partitions the workers that a zone has at the moment from a controller, in both directions.
func (w *Environment) PartitionWorkers(zone string, controller int, partitioned bool) {
	process := w.processes[controller]
	for _, worker := range w.Cloud.Workers() {
		if worker.Zone == zone {
			w.Network.SetPartition(worker.Name, process.userAddr, partitioned)
			w.Network.SetPartition(process.name, worker.Addr, partitioned)
		}
	}
}
