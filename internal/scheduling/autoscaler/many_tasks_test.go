package autoscaler

import (
	"fmt"
	"math"
	"testing"

	"fieldhill/internal/model"
	"fieldhill/wire"
)

// TestTinyTasksMakeReportsTooLarge guards against more tasks on a machine than its report can list: the machine's lease
// could not be renewed, and all its work was lost. The tasks must go to further machines, one more per plan at least.
func TestTinyTasksMakeReportsTooLarge(t *testing.T) {
	const tasks = 3 * model.MaxMachineTasks
	c := newTestCloud(t, 1)
	c.available[InstanceOffer{}] = 10
	c.apply(model.NewAcceptance(longArray(tasks, 1e-9), 0))
	c.runUntilPlaced(t, 1, 30e9)
	for _, machine := range c.model.MachinesInOrder {
		if n := len(machine.Runs); n > model.MaxMachineTasks {
			t.Errorf("%d tasks on %s, want %d at most", n, machine.Info.Name, model.MaxMachineTasks)
		}
	}
	report := wire.Heartbeat{Machine: "host-000123456", Addr: "10.100.200.250:9000", Type: "t", Zone: "z", Seq: 1 << 50}
	for n := range model.MaxMachineTasks { // as many tasks that have ended as others that run
		id := fmt.Sprintf("req-%09d/%d", 123456789, 10_000+n)
		ended := wire.TaskStatus{Task: id, Attempt: 99, State: wire.TaskExited, Cause: wire.CauseStopped}
		ended.Checkpointed = true
		report.Tasks = append(report.Tasks, ended, wire.TaskStatus{Task: id, Attempt: 100, State: wire.TaskRunning})
	}
	body, err := wire.Marshal(&report)
	if err != nil {
		t.Fatal(err)
	}
	if err := wire.CheckSize(body); err != nil {
		t.Errorf("report of a full machine: %v", err)
	}
}

// TestTasksThatNeedNothingHoldThePlan guards against a plan that counts for minutes how many tasks fit on a machine
// that need no resources, during which the leader answers nothing.
func TestTasksThatNeedNothingHoldThePlan(t *testing.T) {
	for _, cpus := range []float64{0, math.SmallestNonzeroFloat64, 1e-300} {
		c := newTestCloud(t, 1)
		c.apply(model.NewAcceptance(longArray(100_000, cpus), 0))
		d := c.autoscaler.jobDemand(c.model, c.model.Jobs[1], 1, 0)
		cheap := &c.model.Types[0]
		want := cheap.Price / model.MaxMachineTasks * (1 + cheap.BootS/bootPriceDoublingSeconds)
		if price, ok := pricePerTask(c.model, &d, InstanceOffer{}, math.MaxInt32); !ok || price != want {
			t.Errorf("price of a task that needs %g CPUs: got %g, %v; want %g", cpus, price, ok, want)
		}
	}
}
