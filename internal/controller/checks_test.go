package controller

import (
	"errors"
	"fmt"
	"testing"
	"time"

	"fieldhill/internal/emulator"
	"fieldhill/wire"
)

// checkConvergence requires that the cluster recovers once all faults are over: every job is in a known state, and
// after all jobs are cancelled no task or machine is left over.
func checkConvergence(t *testing.T, w *emulator.Environment, ids []string) {
	t.Helper()
	w.Checker.MarkFaultsOver()
	for range 20 { // no job may starve: each is polled, as users do
		for _, id := range ids {
			go w.Request("poll", id, nil)
		}
		time.Sleep(5 * time.Second)
	}
	for _, id := range ids {
		w.Cancel(id)
	}
	time.Sleep(60 * time.Second)
	for _, id := range ids {
		// A job that no controller could accept for a minute may be unknown.
		if err := pollEndedOrUnknown(w, id); err != nil {
			t.Error(err)
		}
		if k := w.Checker.RunningTasks(id); k != 0 {
			t.Errorf("%s still has %d running tasks", id, k)
		}
	}
	time.Sleep(30 * time.Second)
	leader := nodeAt(leaderOrFirst())
	if leader == nil {
		return
	}
	leader.loop.postAndWait(func() {
		for _, worker := range w.Cloud.Workers() {
			if leader.replica.model.MachinesByName[worker.Name] == nil {
				t.Errorf("machine %s is provisioned but unknown to the leader", worker.Name)
			}
		}
	})
	if err := compareMachines(w, leader); err != nil {
		t.Error(err)
	}
}

// compareMachines compares the machines in the cloud with those that a controller knows, and returns an error if they
// differ or a scale-out is still open.
func compareMachines(w *emulator.Environment, node *Controller) (err error) {
	node.loop.postAndWait(func() {
		if intents := node.replica.model.Intents; len(intents) > 0 {
			err = fmt.Errorf("open scale-outs: %+v", intents)
		}
		if up, known := len(w.Cloud.Workers()), len(node.replica.model.MachinesInOrder); up != known {
			err = errors.Join(err, fmt.Errorf("%d machines are provisioned, the controller knows %d", up, known))
		}
	})
	return err
}

// servicesUp returns the number of running replicas of services 1 to services.
func servicesUp(w *emulator.Environment, services int) (up int) {
	for k := 1; k <= services; k++ {
		up += w.Checker.RunningTasks(wire.JobID(uint64(k)))
	}
	return up
}

// unexpectedTaskCounts returns the jobs from first to last whose number of running tasks differs from want, with that
// number.
func unexpectedTaskCounts(w *emulator.Environment, first, last, want int) map[string]int {
	unexpected := map[string]int{}
	for n := first; n <= last; n++ {
		id := wire.JobID(uint64(n))
		if running := w.Checker.RunningTasks(id); running != want {
			unexpected[id] = running
		}
	}
	return unexpected
}

// waitServicesUp waits until all services of one replica run, and returns how long that took, at most limit.
func waitServicesUp(w *emulator.Environment, services int, limit time.Duration) time.Duration {
	began := time.Now()
	for servicesUp(w, services) < services && time.Since(began) < limit {
		time.Sleep(100 * time.Millisecond)
	}
	return time.Since(began)
}

// checkMachinesKnown requires that the leader knows exactly the machines in the cloud.
func checkMachinesKnown(t *testing.T, w *emulator.Environment) {
	t.Helper()
	if err := compareMachines(w, nodeAt(findLeader())); err != nil {
		t.Error(err)
	}
}

// checkEpochsUnchanged requires that no agent's lease has expired and no task was restarted.
func checkEpochsUnchanged(t *testing.T, w *emulator.Environment, starts int, label string) {
	t.Helper()
	if k := w.Checker.Starts() - starts; k != 0 {
		t.Errorf("%s: %d tasks were restarted", label, k)
	}
	for _, worker := range w.Cloud.Workers() {
		if r := worker.LastHeartbeat(); r != nil && r.AgentEpoch != 1 {
			t.Errorf("%s: the lease of %s expired", label, r.Machine)
		}
	}
}
