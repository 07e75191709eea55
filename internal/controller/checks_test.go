package controller

import (
	"errors"
	"fmt"
	"testing"
	"time"

	"fieldhill/internal/emulator"
	"fieldhill/wire"
)

// checkConvergence requires that all ends well once all faults are over: every job is answered for, and once all are
// cancelled nothing is left behind.
func checkConvergence(t *testing.T, w *emulator.Environment, open []string) {
	t.Helper()
	w.Checker.MarkFaultsOver()
	for range 20 { // no job starves: each is polled, as users do
		for _, id := range open {
			go w.Request("poll", id, nil)
		}
		time.Sleep(5 * time.Second)
	}
	for _, id := range open {
		w.Cancel(id)
	}
	time.Sleep(60 * time.Second)
	for _, id := range open {
		// A job that no controller could accept for a minute is unknown.
		if err := pollEndedOrUnknown(w, id); err != nil {
			t.Error(err)
		}
		if k := w.Checker.Running(id); k != 0 {
			t.Errorf("%s has %d tasks left", id, k)
		}
	}
	time.Sleep(30 * time.Second)
	leader := nodeAt(leaderOrFirst())
	if leader == nil {
		return
	}
	leader.loop.postAndWait(func() {
		for _, worker := range w.Cloud.Workers() {
			if leader.replica.model.ByName[worker.Name] == nil {
				t.Errorf("%s is provisioned, and the leader does not know it", worker.Name)
			}
		}
	})
	if err := machinesKnown(w, leader); err != nil {
		t.Error(err)
	}
}

// machinesKnown compares the machines that the cloud has with those that a controller knows, and returns an error
// where they differ or a scale-out is still open.
func machinesKnown(w *emulator.Environment, node *Controller) (err error) {
	node.loop.postAndWait(func() {
		if intents := node.replica.model.Intents; len(intents) > 0 {
			err = fmt.Errorf("scale-outs are still open: %+v", intents)
		}
		if up, known := len(w.Cloud.Workers()), len(node.replica.model.Order); up != known {
			err = errors.Join(err, fmt.Errorf("%d machines are provisioned, %d are known", up, known))
		}
	})
	return err
}

// servicesUp counts the replicas of services 1 to n that run.
func servicesUp(w *emulator.Environment, services int) (up int) {
	for k := 1; k <= services; k++ {
		up += w.Checker.Running(wire.JobID(uint64(k)))
	}
	return up
}

// otherTaskCounts returns the jobs from first to last of which not exactly so many tasks run, with how many do.
func otherTaskCounts(w *emulator.Environment, first, last, want int) map[string]int {
	other := map[string]int{}
	for n := first; n <= last; n++ {
		id := wire.JobID(uint64(n))
		if running := w.Checker.Running(id); running != want {
			other[id] = running
		}
	}
	return other
}

// waitServicesUp waits until so many services of one replica run, and returns how long that took, at most the limit.
func waitServicesUp(w *emulator.Environment, services int, limit time.Duration) time.Duration {
	began := time.Now()
	for servicesUp(w, services) < services && time.Since(began) < limit {
		time.Sleep(100 * time.Millisecond)
	}
	return time.Since(began)
}

// checkMachinesKnown requires that the leader knows exactly the machines that the cloud has.
func checkMachinesKnown(t *testing.T, w *emulator.Environment) {
	t.Helper()
	if err := machinesKnown(w, nodeAt(findLeader())); err != nil {
		t.Error(err)
	}
}

// checkEpochsUnchanged requires that no agent's lease expired and no task was started again meanwhile.
func checkEpochsUnchanged(t *testing.T, w *emulator.Environment, starts int, label string) {
	t.Helper()
	if k := w.Checker.Starts() - starts; k != 0 {
		t.Errorf("%s: %d tasks were started again", label, k)
	}
	for _, worker := range w.Cloud.Workers() {
		if r := worker.LastHeartbeat(); r != nil && r.AgentEpoch != 1 {
			t.Errorf("%s: the lease of %s expired", label, r.Machine)
		}
	}
}
