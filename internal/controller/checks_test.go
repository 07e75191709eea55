package controller

import (
	"testing"
	"time"

	"fieldhill/internal/emulator"
	"fieldhill/wire"
)

// checkConvergence demands that all ends well once all troubles are over: nobody is forgotten, and once all jobs are
// cancelled nothing is left behind.
func checkConvergence(t *testing.T, w *emulator.Environment, open []string) {
	w.Checker.MarkFaultsOver()
	for range 20 { // nobody is forgotten, and none waits for long: each job is asked about, as users do
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
		// A job that no node could take for a minute was never accepted; the
		// referee knows the difference.
		if code, s := w.Request(
			"poll",
			id,
			nil,
		); code != 404 &&
			(code != 200 || s.State != wire.JobDone && s.State != wire.JobCancelled) {
			t.Errorf("%s: %d %+v", id, code, s)
		}
		if k := w.Checker.Running(id); k != 0 {
			t.Errorf("%s has %d tasks left", id, k)
		}
	}
	// Nothing is left behind: no rental under way, and every machine that the cloud has is known.
	time.Sleep(30 * time.Second)
	if leader := nodeAt(max(0, findLeader())); leader != nil {
		leader.loop.postAndWait(func() {
			if len(leader.replica.model.Intents) > 0 {
				t.Errorf("rentals are still under way: %+v", leader.replica.model.Intents)
			}
			for _, worker := range w.Cloud.Workers() {
				if leader.replica.model.ByName[worker.Name] == nil {
					t.Errorf("%s is rented, and nobody knows it", worker.Name)
				}
			}
			if up := len(w.Cloud.Workers()); up != len(leader.replica.model.Order) {
				t.Errorf("%d machines are rented, %d are known", up, len(leader.replica.model.Order))
			}
		})
	}
}

// running counts the replicas of services 1 to n that are up.
func servicesUp(w *emulator.Environment, services int) (up int) {
	for k := 1; k <= services; k++ {
		up += w.Checker.Running(wire.JobID(uint64(k)))
	}
	return up
}

// waitServicesUp waits until so many services of one replica run, and tells how long that took, at most a given time.
func waitServicesUp(w *emulator.Environment, services int, limit time.Duration) time.Duration {
	began := time.Now()
	for servicesUp(w, services) < services && time.Since(began) < limit {
		time.Sleep(100 * time.Millisecond)
	}
	return time.Since(began)
}

// checkMachinesKnown compares the machines that the cloud has with those that the leader knows, and demands that no
// rental is open.
func checkMachinesKnown(t *testing.T, w *emulator.Environment) {
	t.Helper()
	leader := nodeAt(findLeader())
	leader.loop.postAndWait(func() {
		if len(leader.replica.model.Intents) > 0 {
			t.Errorf("rentals are still under way: %+v", leader.replica.model.Intents)
		}
		if up := len(w.Cloud.Workers()); up != len(leader.replica.model.Order) {
			t.Errorf("%d machines are rented, %d are known", up, len(leader.replica.model.Order))
		}
	})
}

// checkSessionsUnchanged demands that no worker's lease ran out and no task was started anew meanwhile.
func checkSessionsUnchanged(t *testing.T, w *emulator.Environment, starts int, label string) {
	t.Helper()
	if k := w.Checker.Starts() - starts; k != 0 {
		t.Errorf("%s: %d tasks were started anew", label, k)
	}
	for _, worker := range w.Cloud.Workers() {
		if r := worker.LastHeartbeat(); r != nil && r.AgentEpoch != 1 {
			t.Errorf("%s: the lease of %s ran out", label, r.Machine)
		}
	}
}
