package controller

import (
	"testing"
	"time"

	"fieldhill/internal/emulator"
	"fieldhill/wire"
)

// TestZonePartition: agents that can't reach the leader, but another controller, keep their work running; a job
// cancelled meanwhile loses its tasks there in time.
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
		if n := w.Checker.Running("req-000002"); n != 0 {
			t.Errorf("%d replicas of the cancelled service run", n)
		}
		for _, n := range []uint64{1, 3, 4} {
			if k := w.Checker.Running(wire.JobID(n)); k != 2 {
				t.Errorf("%d replicas of service %d run", k, n)
			}
		}
		if k := w.Checker.Starts() - starts; k != 0 {
			t.Errorf("%d tasks were started again", k)
		}
	})
}

// TestZoneFullyPartitioned: work in a partitioned zone, its controller included, goes on for the stale renewal limit
// and ends with its agents' leases; then, and not before, it starts elsewhere, and the machines are used again after
// the partition.
func TestZoneFullyPartitioned(t *testing.T) {
	runCluster(t, 14, func(w *emulator.Environment) {
		time.Sleep(6 * time.Second)
		zone := "b"
		for n := 1; n <= 7; n++ { // a machine each; three must stay in zone b
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
			t.Errorf("%d tasks were started again within the limit", k)
		}
		time.Sleep(50 * time.Second) // the zone is still partitioned
		if other := otherTaskCounts(w, 4, 7, 1); len(other) > 0 {
			t.Errorf("services with other than 1 running replica: %v", other)
		}
		if k := w.Checker.Starts() - starts; k == 0 {
			t.Error("no task was started elsewhere")
		}
		partition(false)
		time.Sleep(40 * time.Second)
		if other := otherTaskCounts(w, 1, 7, 1); len(other) > 0 {
			t.Errorf("services with other than 1 running replica after the partition: %v", other)
		}
	})
}

// TestPartitionedZoneNotReleased: a leader that is elected during the partition does not release the machines of the
// zone, which are empty by the log and have not sent it a heartbeat.
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
			t.Fatalf("%d machines of the zone hold work", len(lost))
		}
		partition := func(on bool) {
			partitionZone(w, on)
			w.PartitionStore(1, on)
		}
		partition(true)
		time.Sleep(70 * time.Second)
		w.Crash(0)
		w.Crash(2)
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

// TestLeaderLosesStore: a leader that has lost the store alone forwards users' requests to the one that leads now. It
// used to refuse everything until it read the log again, while the load balancer went on sending users to it.
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
				t.Errorf("node %d: a cancellation got %d", i, code)
			}
			w.PartitionStore(i, false)
			time.Sleep(20 * time.Second)
		}
		if k := w.Checker.Running("req-000001"); k != 2 {
			t.Errorf("%d of 2 replicas run", k)
		}
	})
}

// checkRequestsForwarded requires that a controller without the store answers a submission and a poll, and fast.
func checkRequestsForwarded(t *testing.T, w *emulator.Environment, node int, s *wire.JobSpec) {
	t.Helper()
	body, began := registerJob(t, w, s), time.Now()
	if code, _ := w.RequestAt(node, "submit", s.ID, body); code != 201 {
		t.Errorf("node %d: a submission got %d", node, code)
	}
	if d := time.Since(began); d > 500*time.Millisecond {
		t.Errorf("node %d: a submission took %v", node, d)
	}
	if code, _ := w.RequestAt(node, "poll", s.ID, nil); code != 200 {
		t.Errorf("node %d: a poll got %d", node, code)
	}
}

// TestLeaderLosesWorkers: a leader that no agent reaches hands over to a controller that they reach, before their
// leases expire.
func TestLeaderLosesWorkers(t *testing.T) {
	savedThreshold := *relayThreshold
	defer func() { *relayThreshold = savedThreshold }()
	*relayThreshold = 0 // with relays it need not hand over: TestRelayFaults
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
			if d := time.Since(began); d > 5500*time.Millisecond { // a heartbeat interval, and 1.5 s to answer
				t.Errorf("node %d leads for %v more", i, d)
			}
			time.Sleep(time.Until(began.Add(40 * time.Second)))
			partitionAgents(w, i, false)
			time.Sleep(10 * time.Second)
		}
		if other := otherTaskCounts(w, 1, 12, 1); len(other) > 0 {
			t.Errorf("services with other than 1 running replica: %v", other)
		}
		if k := w.Checker.Starts() - starts; k != 0 {
			t.Errorf("%d tasks were started again", k)
		}
	})
}
