package autoscaler

import (
	"fmt"
	"testing"

	"fieldhill/internal/model"
	"fieldhill/wire"
)

// TestTasksWaitForeverBesideServiceHeadroom guards against tasks that wait beside CPUs left free for services while
// nothing is provisioned, because the plan keeps fewer CPUs ready for services than the scheduler leaves free for them.
// A new leader, which has seen no arrivals, plans the least.
func TestTasksWaitForeverBesideServiceHeadroom(t *testing.T) {
	for _, available := range []int{10, 0} {
		t.Run(fmt.Sprint(available, " machines available"), func(t *testing.T) {
			c := newTestCloud(t, 5)
			c.available[InstanceOffer{}] = available
			c.autoscaler.Objectives[0].WithinS = 1
			c.apply(model.NewAcceptance(webService(1, 3), 0))
			for task, machine := range []model.MachineID{1, 1, 2} {
				c.Bind(c.model.Jobs[1], int32(task), 1, c.model.Machines[machine], 0)
			}
			c.step()
			batch := longArray(13, 1)
			batch.ID = wire.JobID(2)
			c.apply(model.NewAcceptance(batch, 0))
			c.runUntilPlaced(t, 2, 60e9)
			if c.scheduler.ServiceHeadroom <= 0 {
				t.Error("no CPUs are left free for services")
			}
		})
	}
}
