package controller

import (
	"testing"
	"time"

	"fieldhill/internal/emulator"
	"fieldhill/wire"
)

// TestZonePartition checks that agents that cannot reach the leader, but another controller, keep their tasks running,
// and that a job cancelled during the partition loses its tasks there in time.
func TestZonePartition(t *testing.T) {
	runCluster(t, 6, func(w *emulator.Environment) {
		time.Sleep(6 * time.Second)
		for n := 1; n <= 4; n++ {
			s := newWebService(n, 3, "small") // each replica needs a machine of its own
			s.Tasks, s.Spread = 2, true
			w.Submit(s)
		}
		time.Sleep(40 * time.Second)
		starts := w.Checker.Starts()
		partition := func(on bool) {
			partitionZone(w, on)
			w.PartitionWorkers("a", 1, on)
		}
		partition(true)
		time.Sleep(10 * time.Second)
		w.Cancel("req-000002")
		time.Sleep(50 * time.Second)
		partition(false)
		time.Sleep(20 * time.Second)
		if n := w.Checker.RunningTasks("req-000002"); n != 0 {
			t.Errorf("%d replicas of the cancelled service are running", n)
		}
		for _, n := range []uint64{1, 3, 4} {
			if k := w.Checker.RunningTasks(wire.JobID(n)); k != 2 {
				t.Errorf("%d replicas of service %d are running, want 2", k, n)
			}
		}
		if k := w.Checker.Starts() - starts; k != 0 {
			t.Errorf("%d tasks were restarted", k)
		}
	})
}

// TestZoneFullyPartitioned checks that work in a partitioned zone, including its controller, continues for the stale
// renewal limit and ends with its agents' leases. Only then does it start elsewhere, and the machines are used again
// after the partition.
func TestZoneFullyPartitioned(t *testing.T) {
	runCluster(t, 14, func(w *emulator.Environment) {
		time.Sleep(6 * time.Second)
		zone := "b"
		for n := 1; n <= 7; n++ { // one machine each; three must be in zone b
			s := newWebService(n, 3, "small")
			if n <= 3 {
				s.Zone = &zone
			} else {
				s.CPUs, s.MemoryGB, s.Types, s.Team = 5, 40, []string{"large"}, "blue"
			}
			w.Submit(s)
		}
		time.Sleep(40 * time.Second)
		starts := w.Checker.Starts()
		partition := func(on bool) {
			partitionZone(w, on)
			w.PartitionWorkers("a", 1, on)
			w.PartitionStore(1, on)
		}
		partition(true)
		time.Sleep(35 * time.Second)
		if k := w.Checker.Starts() - starts; k != 0 {
			t.Errorf("%d tasks were restarted within the stale renewal limit", k)
		}
		time.Sleep(50 * time.Second) // the zone is still partitioned
		if other := unexpectedTaskCounts(w, 4, 7, 1); len(other) > 0 {
			t.Errorf("services without exactly 1 running replica: %v", other)
		}
		if k := w.Checker.Starts() - starts; k == 0 {
			t.Error("no task was restarted in another zone")
		}
		partition(false)
		time.Sleep(40 * time.Second)
		if other := unexpectedTaskCounts(w, 1, 7, 1); len(other) > 0 {
			t.Errorf("services without exactly 1 running replica after the partition: %v", other)
		}
	})
}

// TestPartitionedZoneNotReleased checks that a leader elected during the partition does not release the machines of the
// zone, which are empty according to the log and have not sent it a heartbeat.
func TestPartitionedZoneNotReleased(t *testing.T) {
	runCluster(t, 15, func(w *emulator.Environment) {
		time.Sleep(6 * time.Second)
		zone := "b"
		for n := 1; n <= 4; n++ {
			s := newWebService(n, 3, "small")
			s.Zone = &zone
			w.Submit(s)
		}
		time.Sleep(40 * time.Second)
		lost := map[string]bool{}
		for _, worker := range busyMachines(w) {
			if worker.Zone == zone {
				lost[worker.Name] = true
			}
		}
		if len(lost) < 3 {
			t.Fatalf("%d machines of the zone hold tasks, want at least 3", len(lost))
		}
		partition := func(on bool) {
			partitionZone(w, on)
			w.PartitionStore(1, on)
		}
		partition(true)
		time.Sleep(70 * time.Second)
		w.StopAndWait(0)
		w.StopAndWait(2)
		w.Start(0)
		w.Start(2)
		time.Sleep(70 * time.Second)
		for _, worker := range w.Cloud.Workers() {
			delete(lost, worker.Name)
		}
		if len(lost) > 0 {
			t.Errorf("machines %v were released during the partition", lost)
		}
		partition(false)
		time.Sleep(40 * time.Second)
	})
}

// TestLeaderLosesStore checks that a leader that has lost only its connection to the store forwards users' requests to
// the new leader. Otherwise it refuses all requests until it can read the log again, while the load balancer still
// routes users to it.
func TestLeaderLosesStore(t *testing.T) {
	runCluster(t, 16, func(w *emulator.Environment) {
		time.Sleep(6 * time.Second)
		w.Submit(newReplicatedService(1, 2))
		time.Sleep(20 * time.Second)
		for i := range 3 { // one of them leads
			w.PartitionStore(i, true)
			time.Sleep(8 * time.Second)
			for k := range 5 {
				checkRequestsForwarded(t, w, i, newWebService(10+10*i+k, 0.1))
				time.Sleep(time.Second)
			}
			if code, _ := w.RequestAt(i, "cancel", wire.JobID(uint64(10+10*i)), nil); code != 200 {
				t.Errorf("node %d: cancellation returned status %d", i, code)
			}
			w.PartitionStore(i, false)
			time.Sleep(20 * time.Second)
		}
		if k := w.Checker.RunningTasks("req-000001"); k != 2 {
			t.Errorf("%d of 2 replicas are running", k)
		}
	})
}

// checkRequestsForwarded requires that a controller without access to the store answers a submission and a poll, the
// submission within 500 ms.
func checkRequestsForwarded(t *testing.T, w *emulator.Environment, node int, s *wire.JobSpec) {
	t.Helper()
	body, began := registerJob(t, w, s), time.Now()
	if code, _ := w.RequestAt(node, "submit", s.ID, body); code != 201 {
		t.Errorf("node %d: submission returned status %d", node, code)
	}
	if d := time.Since(began); d > 500*time.Millisecond {
		t.Errorf("node %d: submission took %v", node, d)
	}
	if code, _ := w.RequestAt(node, "poll", s.ID, nil); code != 200 {
		t.Errorf("node %d: poll returned status %d", node, code)
	}
}

// TestLeaderLosesWorkers checks that a leader that no agent can reach hands over to a controller that they can reach,
// before their leases expire.
func TestLeaderLosesWorkers(t *testing.T) {
	savedThreshold := *relayThreshold
	defer func() { *relayThreshold = savedThreshold }()
	*relayThreshold = 0 // disables relays, with which no handover is needed (TestRelayFaults)
	runCluster(t, 17, func(w *emulator.Environment) {
		time.Sleep(6 * time.Second)
		submitOnePerMachine(w)
		time.Sleep(40 * time.Second)
		starts := w.Checker.Starts()
		for i := range 3 { // one of them leads
			led := findLeader() == i
			partitionAgents(w, i, true)
			began := time.Now()
			for led && findLeader() == i && time.Since(began) < time.Minute {
				time.Sleep(100 * time.Millisecond)
			}
			if d := time.Since(began); d > 5500*time.Millisecond { // a heartbeat interval and 1.5 s for responses
				t.Errorf("node %d led for %v after the partition began", i, d)
			}
			time.Sleep(time.Until(began.Add(40 * time.Second)))
			partitionAgents(w, i, false)
			time.Sleep(10 * time.Second)
		}
		if other := unexpectedTaskCounts(w, 1, 12, 1); len(other) > 0 {
			t.Errorf("services without exactly 1 running replica: %v", other)
		}
		if k := w.Checker.Starts() - starts; k != 0 {
			t.Errorf("%d tasks were restarted", k)
		}
	})
}
