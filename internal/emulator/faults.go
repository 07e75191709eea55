package emulator

import "time"

// SetFaults sets the probability that a direct command is executed late and not answered, and the maximum delay. It
// also sets the faults of the key-value store and the cloud, with probabilities and delays in fixed ratios to the given
// ones.
func (e *Environment) SetFaults(probability float64, maxDelay time.Duration) {
	e.DelayCommands(probability, maxDelay)
	e.Store.setTxnFaults(probability/2, probability/2, 0, maxDelay/2)
	e.Cloud.DropResponses(2 * probability)
}

// DelayCommands sets the probability that a direct command is executed late and not answered, and the maximum delay.
func (e *Environment) DelayCommands(probability float64, maxDelay time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.delayedCommandChance, e.maxCommandDelay = probability, maxDelay
}

// KeepCommandsAcrossReboots makes delayed commands arrive also if their machine is rebooted during the delay. Otherwise
// a reboot drops them.
func (e *Environment) KeepCommandsAcrossReboots() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.commandsOutliveReboots = true
}

// arrivesAfterReboot reports whether a command that is delayed across a reboot of its machine arrives.
func (e *Environment) arrivesAfterReboot() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.commandsOutliveReboots
}

// countLateCommand counts a command that arrived after the reboot of its machine.
func (e *Environment) countLateCommand() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.lateCommands++
}

// LateCommands returns the number of delayed commands that arrived after the reboot of their machine.
func (e *Environment) LateCommands() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.lateCommands
}

// drawCommandDelay randomly decides whether a direct command is executed late, and with what delay.
func (e *Environment) drawCommandDelay() (delayed bool, delay time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	delayed = e.random.chance(e.delayedCommandChance)
	return delayed, e.random.delayUpTo(e.maxCommandDelay)
}

// Freeze stops a controller's host from sending and receiving for a duration. The controller keeps running; a test that
// needs it stopped has to stop it separately.
func (e *Environment) Freeze(controller int, d time.Duration) {
	e.Network.Freeze(e.processes[controller].name, d)
}

// PartitionControllers starts or ends a partition between two controllers, in both directions.
func (e *Environment) PartitionControllers(a, b int, partitioned bool) {
	e.Network.SetPartition(e.processes[a].name, e.processes[b].peerAddr, partitioned)
	e.Network.SetPartition(e.processes[b].name, e.processes[a].peerAddr, partitioned)
}

// PartitionStore starts or ends a partition of a controller from the key-value store.
func (e *Environment) PartitionStore(controller int, partitioned bool) {
	e.Network.SetPartition(e.processes[controller].name, e.addresses.Store, partitioned)
}

// RefuseStore makes the key-value store start or stop refusing the requests of one controller.
func (e *Environment) RefuseStore(controller int, on bool) {
	e.Store.RefuseHost(e.processes[controller].name, on)
}

// PartitionFromStoreAndPeers starts or ends a partition of a controller from the key-value store and the other
// controllers, but not from its workers.
func (e *Environment) PartitionFromStoreAndPeers(controller int, partitioned bool) {
	e.PartitionStore(controller, partitioned)
	for other := range e.processes {
		if other != controller {
			e.PartitionControllers(controller, other, partitioned)
		}
	}
}

// PartitionCloud starts or ends a partition of a controller from the cloud.
func (e *Environment) PartitionCloud(controller int, partitioned bool) {
	e.Network.SetPartition(e.processes[controller].name, e.addresses.Cloud, partitioned)
}

// PartitionWorkers starts or ends a partition between a controller and the current workers of a zone, in both
// directions.
func (e *Environment) PartitionWorkers(zone string, controller int, partitioned bool) {
	process := e.processes[controller]
	for _, worker := range e.Cloud.Workers() {
		if worker.Zone == zone {
			e.Network.SetPartition(worker.Name, process.userAddr, partitioned)
			e.Network.SetPartition(process.name, worker.Addr, partitioned)
		}
	}
}
