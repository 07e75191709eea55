package autoscaler

import (
	"testing"

	"fieldhill/internal/model"
	"fieldhill/wire"
)

// TestLowPriorityTasksWaitForeverBesideGPUMachine guards against counting the free CPUs of a machine on which GPU work
// runs as room for low-priority tasks, which may not use it: nothing was provisioned, and the tasks waited for as long
// as the GPU work ran.
func TestLowPriorityTasksWaitForeverBesideGPUMachine(t *testing.T) {
	for _, shape := range []string{wire.Array, wire.Gang} {
		c := newTestCloud(t, 0)
		c.model.Types[1].Price = 50 // too expensive for the low-priority tasks
		c.apply(model.NewAcceptance(wholeMachineGang(1), 0))
		c.Bind(c.model.Jobs[1], 0, 1, c.boot(c.expensiveIn("a")), 0)
		low := longArray(2, 1)
		low.ID, low.Shape, low.Priority = wire.JobID(2), shape, wire.Low
		c.apply(model.NewAcceptance(low, 0))
		c.available[InstanceOffer{}] = 1
		c.runUntilPlaced(t, 2, 60e9)
	}
}
