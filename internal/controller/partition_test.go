package controller

import (
	"testing"
	"time"

	"fieldhill/internal/emulator"
	"fieldhill/wire"
)

// TestZonePartition checks that agents that cannot reach the leader but can reach another controller keep their tasks
// running, and that the tasks of a job cancelled during the partition end there by the cancellation deadline.
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
			t.Errorf("%d replicas of the cancelled service are running, want none", n)
		}
		for _, n := range []uint64{1, 3, 4} {
			if k := w.Checker.RunningTasks(wire.JobID(n)); k != 2 {
				t.Errorf("%d replicas of service %d are running, want 2", k, n)
			}
		}
		if k := w.Checker.Starts() - starts; k != 0 {
			t.Errorf("%d tasks were restarted, want none", k)
		}
	})
}

// TestZoneFullyPartitioned checks that, if a zone and its controller are partitioned from everything else, tasks in the
// zone keep running for the stale renewal limit and end when their agents' leases expire. Only then do they start in
// another zone. After the partition, the zone's machines are used again.
func TestZoneFullyPartitioned(t *testing.T) {
	runCluster(t, 14, func(w *emulator.Environment) {
		time.Sleep(6 * time.Second)
		zone := "b"
		for n := 1; n <= 7; n++ { // each service needs a machine of its own; three must run in zone b
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
			t.Errorf("%d tasks were restarted within the stale renewal limit, want none", k)
		}
		time.Sleep(50 * time.Second) // the zone is still partitioned
		if other := unexpectedTaskCounts(w, 4, 7, 1); len(other) > 0 {
			t.Errorf("services without exactly 1 running replica: %v", other)
		}
		if k := w.Checker.Starts() - starts; k == 0 {
			t.Error("0 tasks were restarted in another zone, want at least 1")
		}
		partition(false)
		time.Sleep(40 * time.Second)
		if other := unexpectedTaskCounts(w, 1, 7, 1); len(other) > 0 {
			t.Errorf("services without exactly 1 running replica after the partition: %v", other)
		}
	})
}

// TestPartitionedZoneNotReleased checks that a leader elected while a zone is partitioned does not release the zone's
// machines. At that time, they hold no tasks according to the log and have not sent this leader a heartbeat.
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
			t.Errorf("machines %v were released during the partition, want none", lost)
		}
		partition(false)
		time.Sleep(40 * time.Second)
	})
}

// TestLeaderLosesStore checks that a leader that has lost only its connection to the store forwards users' requests to
// the next leader. Otherwise it would refuse all requests until it can read the log again, while the load balancer
// still routes users to it.
func TestLeaderLosesStore(t *testing.T) {
	runCluster(t, 16, func(w *emulator.Environment) {
		time.Sleep(6 * time.Second)
		w.Submit(newReplicatedService(1, 2))
		time.Sleep(20 * time.Second)
		for i := range 3 { // in one of the rounds, node i is the leader
			w.PartitionStore(i, true)
			time.Sleep(8 * time.Second)
			for k := range 5 {
				checkRequestsForwarded(t, w, i, newWebService(10+10*i+k, 0.1))
				time.Sleep(time.Second)
			}
			if code, _ := w.RequestAt(i, "cancel", wire.JobID(uint64(10+10*i)), nil); code != 200 {
				t.Errorf("node %d: cancellation returned status %d, want 200", i, code)
			}
			w.PartitionStore(i, false)
			time.Sleep(20 * time.Second)
		}
		if k := w.Checker.RunningTasks("req-000001"); k != 2 {
			t.Errorf("%d replicas are running, want 2", k)
		}
	})
}

// checkRequestsForwarded requires that a controller without access to the store accepts a submission, within 500 ms,
// and answers a poll of the job.
func checkRequestsForwarded(t *testing.T, w *emulator.Environment, node int, s *wire.JobSpec) {
	t.Helper()
	body, began := registerJob(t, w, s), time.Now()
	if code, _ := w.RequestAt(node, "submit", s.ID, body); code != 201 {
		t.Errorf("node %d: submission returned status %d, want 201", node, code)
	}
	if d := time.Since(began); d > 500*time.Millisecond {
		t.Errorf("node %d: submission took %v, want at most 500 ms", node, d)
	}
	if code, _ := w.RequestAt(node, "poll", s.ID, nil); code != 200 {
		t.Errorf("node %d: poll returned status %d, want 200", node, code)
	}
}

// TestLeaderLosesWorkers checks that a leader that no agent can reach hands leadership over to a controller that agents
// can reach, before the agents' leases expire.
func TestLeaderLosesWorkers(t *testing.T) {
	savedThreshold := *relayThreshold
	defer func() { *relayThreshold = savedThreshold }()
	*relayThreshold = 0 // disables relays, with which no handover is needed (TestRelayFaults)
	runCluster(t, 17, func(w *emulator.Environment) {
		time.Sleep(6 * time.Second)
		submitOnePerMachine(w)
		time.Sleep(40 * time.Second)
		starts := w.Checker.Starts()
		for i := range 3 { // in one of the rounds, node i is the leader
			led := findLeader() == i
			partitionAgents(w, i, true)
			began := time.Now()
			for led && findLeader() == i && time.Since(began) < time.Minute {
				time.Sleep(100 * time.Millisecond)
			}
			if d := time.Since(began); d > 5500*time.Millisecond { // a heartbeat interval and 1.5 s for responses
				t.Errorf("node %d led for %v after the partition began, want at most 5.5 s", i, d)
			}
			time.Sleep(time.Until(began.Add(40 * time.Second)))
			partitionAgents(w, i, false)
			time.Sleep(10 * time.Second)
		}
		if other := unexpectedTaskCounts(w, 1, 12, 1); len(other) > 0 {
			t.Errorf("services without exactly 1 running replica: %v", other)
		}
		if k := w.Checker.Starts() - starts; k != 0 {
			t.Errorf("%d tasks were restarted, want none", k)
		}
	})
}
