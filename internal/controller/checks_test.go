package controller

import (
	"errors"
	"fmt"
	"testing"
	"time"

	"fieldhill/internal/emulator"
	"fieldhill/wire"
)

// checkConvergence requires that the cluster recovers after all faults have ended. It cancels all jobs and requires
// that each is then done, cancelled or unknown and has no running task, and that the leader's replica lists all
// machines in the cloud, no others, and no open scale-out.
func checkConvergence(t *testing.T, w *emulator.Environment, ids []string) {
	t.Helper()
	w.Checker.MarkFaultsOver()
	for range 20 { // the invariant checker reports jobs without progress; users poll all jobs meanwhile
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
		// The status of a job is unknown if no controller could accept its submission for a minute.
		if err := pollEndedOrUnknown(w, id); err != nil {
			t.Error(err)
		}
		if k := w.Checker.RunningTasks(id); k != 0 {
			t.Errorf("cancelled job %s has %d running tasks, want none", id, k)
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

// compareMachines returns an error if the number of machines in the cloud differs from that in a controller's replica
// of the log, or if the replica contains an open scale-out.
func compareMachines(w *emulator.Environment, node *Controller) (err error) {
	node.loop.postAndWait(func() {
		if intents := node.replica.model.Intents; len(intents) > 0 {
			err = fmt.Errorf("got open scale-outs %+v, want none", intents)
		}
		if up, known := len(w.Cloud.Workers()), len(node.replica.model.MachinesInOrder); up != known {
			err = errors.Join(err, fmt.Errorf("the controller knows %d machines, want the %d provisioned", known, up))
		}
	})
	return err
}

// servicesUp returns the number of running replicas of the services numbered 1 to services.
func servicesUp(w *emulator.Environment, services int) (up int) {
	for k := 1; k <= services; k++ {
		up += w.Checker.RunningTasks(wire.JobID(uint64(k)))
	}
	return up
}

// unexpectedTaskCounts returns the number of running tasks, by job ID, of each job numbered first to last for which it
// differs from want.
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

// waitServicesUp waits until the replicas of the single-replica services numbered 1 to services run, but at most for
// limit. It returns the time waited.
func waitServicesUp(w *emulator.Environment, services int, limit time.Duration) time.Duration {
	began := time.Now()
	for servicesUp(w, services) < services && time.Since(began) < limit {
		time.Sleep(100 * time.Millisecond)
	}
	return time.Since(began)
}

// checkMachinesKnown requires that the leader's replica lists as many machines as the cloud and no open scale-out.
func checkMachinesKnown(t *testing.T, w *emulator.Environment) {
	t.Helper()
	if err := compareMachines(w, nodeAt(findLeader())); err != nil {
		t.Error(err)
	}
}

// checkEpochsUnchanged requires that every agent is still in epoch 1, so that no lease has expired, and that the number
// of task starts equals starts.
func checkEpochsUnchanged(t *testing.T, w *emulator.Environment, starts int, label string) {
	t.Helper()
	if k := w.Checker.Starts() - starts; k != 0 {
		t.Errorf("%s: %d tasks were restarted, want none", label, k)
	}
	for _, worker := range w.Cloud.Workers() {
		if r := worker.LastHeartbeat(); r != nil && r.AgentEpoch != 1 {
			t.Errorf("%s: %s is in agent epoch %d, want 1: its lease expired", label, r.Machine, r.AgentEpoch)
		}
	}
}
