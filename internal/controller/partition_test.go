package controller

import (
	"testing"
	"time"

	"fieldhill/internal/emulator"
	"fieldhill/wire"
)

// TestZonePartition: workers that can't reach the leader, but another node, keep
// running; a job cancelled meanwhile loses its tasks there in time.
func TestZonePartition(t *testing.T) {
	runCluster(t, 6, func(w *emulator.Environment) {
		time.Sleep(6 * time.Second)
		for n := 1; n <= 4; n++ {
			s := newJobSpec(n, wire.Service, 2, 0)
			s.Priority, s.Class, s.Spread = wire.Production, "web", true
			s.CPUs, s.Types = 3, []string{"small"} // a machine each
			w.Submit(s)
		}
		time.Sleep(40 * time.Second)
		starts := w.Checker.Starts()
		cut := func(on bool) {
			partitionZone(w, on)
			w.PartitionWorkers("a", 1, on)
		}
		cut(true)
		time.Sleep(10 * time.Second)
		w.Cancel("req-000002")
		time.Sleep(50 * time.Second)
		cut(false)
		time.Sleep(20 * time.Second)
		if n := w.Checker.Running("req-000002"); n != 0 {
			t.Errorf("%d replicas of the cancelled service run", n)
		}
		for n := 1; n <= 4; n++ {
			if k := w.Checker.Running(wire.JobID(uint64(n))); n != 2 && k != 2 {
				t.Errorf("%d replicas of service %d run", k, n)
			}
		}
		if k := w.Checker.Starts() - starts; k != 0 {
			t.Errorf("%d tasks were started anew", k)
		}
	})
}

// TestZoneFullyPartitioned: work in a zone that is cut off, its controller included,
// goes on for the bound and ends with its workers' leases; then, and not before, it
// starts elsewhere, and the machines are of use again after the cut.
func TestZoneFullyPartitioned(t *testing.T) {
	runCluster(t, 14, func(w *emulator.Environment) {
		time.Sleep(6 * time.Second)
		zone := "b"
		for n := 1; n <= 7; n++ { // a machine each; three must stay in zone b
			s := newJobSpec(n, wire.Service, 1, 0)
			s.Priority, s.Class = wire.Production, "web"
			if n <= 3 {
				s.CPUs, s.Types, s.Zone = 3, []string{"small"}, &zone
			} else {
				s.CPUs, s.MemoryGB, s.Types, s.Team = 5, 40, []string{"large"}, "blue"
			}
			w.Submit(s)
		}
		time.Sleep(40 * time.Second)
		starts := w.Checker.Starts()
		cut := func(on bool) {
			partitionZone(w, on)
			w.PartitionWorkers("a", 1, on)
			w.PartitionStore(1, on)
		}
		cut(true)
		time.Sleep(35 * time.Second)
		if k := w.Checker.Starts() - starts; k != 0 {
			t.Errorf("%d tasks were started anew within the bound", k)
		}
		time.Sleep(50 * time.Second) // the zone is still cut off
		for n := 4; n <= 7; n++ {
			if k := w.Checker.Running(wire.JobID(uint64(n))); k != 1 {
				t.Errorf("%d replicas of service %d run", k, n)
			}
		}
		if k := w.Checker.Starts() - starts; k == 0 {
			t.Error("no task was started elsewhere")
		}
		cut(false)
		time.Sleep(40 * time.Second)
		for n := 1; n <= 7; n++ {
			if k := w.Checker.Running(wire.JobID(uint64(n))); k != 1 {
				t.Errorf("after the cut %d replicas of service %d run", k, n)
			}
		}
	})
}

// TestPartitionedZoneNotReleased: a leader that is elected during the cut does not return the
// machines of the zone, which are empty by the log and have not reported to it.
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
		before := map[string]bool{}
		for _, worker := range w.Cloud.Workers() {
			if worker.Zone == "b" && w.Checker.HasTasks(worker.Name) {
				before[worker.Name] = true
			}
		}
		if len(before) < 3 {
			t.Fatalf("%d machines of the zone hold work", len(before))
		}
		cut := func(on bool) {
			partitionZone(w, on)
			w.PartitionStore(1, on)
		}
		cut(true)
		time.Sleep(70 * time.Second)
		w.Crash(0)
		w.Crash(2)
		w.Start(0)
		w.Start(2)
		time.Sleep(70 * time.Second)
		for _, worker := range w.Cloud.Workers() {
			delete(before, worker.Name)
		}
		if len(before) > 0 {
			t.Errorf("machines %v were returned during the cut", before)
		}
		cut(false)
		time.Sleep(40 * time.Second)
	})
}

// TestLeaderLosesStore: a leader that has lost the state service alone passes on
// what users ask to the one that leads now. It used to refuse everything until it
// read the log again, while the balancer went on sending users to it.
func TestLeaderLosesStore(t *testing.T) {
	runCluster(t, 16, func(w *emulator.Environment) {
		time.Sleep(6 * time.Second)
		s := newJobSpec(1, wire.Service, 2, 0)
		s.Priority, s.Class = wire.Production, "web"
		w.Submit(s)
		time.Sleep(20 * time.Second)
		for i := range 3 { // one of them leads
			w.PartitionStore(i, true)
			time.Sleep(8 * time.Second)
			for k := range 5 {
				j := newWebService(10+10*i+k, 0.1)
				w.Checker.RegisterJob(j)
				b, _ := wire.Marshal(j)
				began := time.Now()
				if code, _ := w.RequestAt(i, "submit", j.ID, b); code != 201 {
					t.Errorf("node %d: a submission got %d", i, code)
				}
				if d := time.Since(began); d > 500*time.Millisecond {
					t.Errorf("node %d: a submission took %v", i, d)
				}
				if code, _ := w.RequestAt(i, "poll", j.ID, nil); code != 200 {
					t.Errorf("node %d: a poll got %d", i, code)
				}
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

// TestLeaderLosesWorkers: a leader that no worker reaches hands over to a controller
// that they reach, before their leases run out.
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
			for _, zone := range []string{"a", "b"} {
				w.PartitionWorkers(zone, i, true)
			}
			began := time.Now()
			for led && findLeader() == i && time.Since(began) < time.Minute {
				time.Sleep(100 * time.Millisecond)
			}
			if d := time.Since(began); d > 5500*time.Millisecond { // a report period, and 1.5 s to answer
				t.Errorf("node %d leads %v on", i, d)
			}
			time.Sleep(time.Until(began.Add(40 * time.Second)))
			for _, zone := range []string{"a", "b"} {
				w.PartitionWorkers(zone, i, false)
			}
			time.Sleep(10 * time.Second)
		}
		for n := 1; n <= 12; n++ {
			if k := w.Checker.Running(wire.JobID(uint64(n))); k != 1 {
				t.Errorf("%d replicas of service %d run", k, n)
			}
		}
		if k := w.Checker.Starts() - starts; k != 0 {
			t.Errorf("%d tasks were started anew", k)
		}
	})
}
