package autoscaler

import (
	"testing"

	"fieldhill/internal/model"
	"fieldhill/wire"
)

// TestFaultyGangWaitsForeverWithoutMachines guards against a job that fails on two faulty machines and is never run
// again, because nothing is provisioned for a faulty job once its machines have been returned.
func TestFaultyGangWaitsForeverWithoutMachines(t *testing.T) {
	c := newTestCloud(t, 0)
	c.available[c.expensiveIn("a")] = 1
	c.apply(model.NewAcceptance(wholeMachineGang(1), 0))
	c.model.Jobs[1].Observed.Faulty, c.model.Jobs[1].Scheduling.NotBefore = true, 30e9
	c.runUntilPlaced(t, 1, 60e9)
	if c.now < 30e9 {
		t.Errorf("placed after %v, want no placement during the backoff of 30s", c.now)
	}
}

// TestFaultyServiceWaitsForeverBehindLowPriorityWork guards against a faulty job that waits as long as low-priority
// work fills the machines: the plan counts that work as preemptible, so it must yield to one task of the job.
func TestFaultyServiceWaitsForeverBehindLowPriorityWork(t *testing.T) {
	c := newTestCloud(t, 1)
	low := webService(1, 2)
	low.Shape, low.Priority, low.EstimateS = wire.Array, wire.Low, 600
	c.apply(model.NewAcceptance(low, 0))
	for task := range int32(2) {
		c.Bind(c.model.Jobs[1], task, 1, c.model.Machines[1], 0)
	}
	c.apply(model.NewAcceptance(webService(2, 2), 0))
	j := c.model.Jobs[2]
	j.Observed.Faulty = true
	for range 15 { // not until a task proves the service not faulty
		c.step()
	}
	if j.PlacedTasks != 1 || c.model.Jobs[1].PlacedTasks != 1 {
		t.Errorf("placed %d tasks of the faulty service and %d low-priority ones, want 1 and 1", j.PlacedTasks,
			c.model.Jobs[1].PlacedTasks)
	}
}
