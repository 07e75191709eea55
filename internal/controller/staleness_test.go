package controller

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"fieldhill/internal/emulator"
	"fieldhill/internal/model"
	"fieldhill/wire"
)

// The tests in this file check which conclusions a leader draws from heartbeats, also from delayed ones, and how it
// handles machines that are partitioned in one direction only.

// TestAgentRestart checks that the leader regards a machine as holding no tasks after its agent has restarted quickly
// under the same name. The sequence numbers of its heartbeats may continue or start again at 1, and the restart may be
// shortly after a failover or repeated. If the heartbeats of an agent whose numbers start again at 1 are mistaken for
// delayed duplicates, the agent is answered but assigned nothing, and its replicas stay down permanently.
func TestAgentRestart(t *testing.T) {
	for _, resetNumbers := range []bool{false, true} {
		for _, times := range []int{1, 3} {
			for _, failover := range []time.Duration{-1, 3300 * time.Millisecond} {
				t.Run(fmt.Sprint(resetNumbers, times, failover), func(t *testing.T) {
					runCluster(t, 31, func(w *emulator.Environment) {
						agentRestart(t, w, resetNumbers, times, failover)
					})
				})
			}
		}
	}
}

// agentRestart runs TestAgentRestart for one combination: the agents restart the given number of times, with sequence
// numbers that start again at 1 if resetNumbers is set. If failover is not negative, the leader is restarted first, and
// failover is the time between its restart and that of the agents.
func agentRestart(t *testing.T, w *emulator.Environment, resetNumbers bool, times int, failover time.Duration) {
	t.Helper()
	startServices(w, 5)
	if failover >= 0 {
		w.Restart(findLeader(), 200*time.Millisecond)
		time.Sleep(failover)
	}
	for _, worker := range w.Cloud.Workers() {
		if !w.Checker.HasTasks(worker.Name) {
			continue
		}
		for range times {
			worker.Reboot(resetNumbers)
			time.Sleep(300 * time.Millisecond)
		}
	}
	if d := waitServicesUp(w, 5, time.Minute); d > 12*time.Second {
		t.Errorf("%d of 5 services are running %v after the agents restarted, want all within 12 s",
			servicesUp(w, 5), d)
	}
	time.Sleep(30 * time.Second)
	if k := servicesUp(w, 5); k != 5 {
		t.Errorf("%d services are running 30 s later, want 5", k)
	}
}

// replayHeartbeats sends copies of heartbeats to every controller every two seconds for two minutes.
func replayHeartbeats(w *emulator.Environment, reports []*wire.Heartbeat) {
	for began := time.Now(); time.Since(began) <= 2*time.Minute; time.Sleep(2 * time.Second) {
		for _, r := range reports {
			for i := range 3 {
				go w.SendDuplicate(w.UserAddr(i), r)
			}
		}
	}
}

// checkNotRegistered requires that none of the machines that sent the heartbeats is registered at the leader.
func checkNotRegistered(t *testing.T, reports ...*wire.Heartbeat) {
	t.Helper()
	leader := nodeAt(findLeader())
	leader.loop.postAndWait(func() {
		for _, r := range reports {
			if leader.replica.model.MachinesByName[r.Machine] != nil {
				t.Errorf("machine %s is registered at the leader, want it unknown: it was reclaimed or never existed",
					r.Machine)
			}
		}
	})
}

// TestStaleReportCopies checks that a leader draws no conclusion about the current state from duplicates of heartbeats
// that machines sent before they were reclaimed or partitioned. This holds for the leader that received the originals
// and for the next leader, which does not know their sequence numbers.
func TestStaleReportCopies(t *testing.T) {
	for _, failover := range []bool{false, true} {
		t.Run(fmt.Sprint("reclaimed, failover ", failover), func(t *testing.T) {
			runCluster(t, 32, func(w *emulator.Environment) { replayOfReclaimedMachines(t, w, failover) })
		})
	}
	t.Run("partitioned", func(t *testing.T) {
		runCluster(t, 33, func(w *emulator.Environment) { replayOfPartitionedZone(t, w) })
	})
	t.Run("never existed", func(t *testing.T) {
		runCluster(t, 34, func(w *emulator.Environment) {
			startServices(w, 2)
			report := *w.Cloud.Workers()[0].LastHeartbeat()
			report.Machine, report.Addr, report.Tasks = "host-900000", "10.9.0.1:90", nil
			for i := range 3 {
				w.SendDuplicate(w.UserAddr(i), &report)
			}
			time.Sleep(time.Second)
			checkNotRegistered(t, &report)
		})
	})
}

// replayOfReclaimedMachines makes the cloud reclaim two machines and sends their last heartbeats again afterwards.
func replayOfReclaimedMachines(t *testing.T, w *emulator.Environment, failover bool) {
	t.Helper()
	startServices(w, 5)
	var reports []*wire.Heartbeat
	for _, worker := range busyMachines(w)[:2] {
		reports = append(reports, worker.LastHeartbeat())
		w.Cloud.Reclaim(worker.Name)
	}
	if failover {
		w.Restart(findLeader(), 200*time.Millisecond)
	}
	began := time.Now()
	go replayHeartbeats(w, reports)
	if d := waitServicesUp(w, 5, time.Minute); d > 25*time.Second {
		t.Errorf("%d of 5 services are running %v after two machines were reclaimed, want all within 25 s",
			servicesUp(w, 5), d)
	}
	time.Sleep(time.Until(began.Add(100 * time.Second)))
	checkNotRegistered(t, reports...)
	time.Sleep(30 * time.Second)
}

// replayOfPartitionedZone partitions a zone and sends the last heartbeats of its machines again during the partition.
func replayOfPartitionedZone(t *testing.T, w *emulator.Environment) {
	t.Helper()
	startServices(w, 6)
	var reports []*wire.Heartbeat
	for _, worker := range zoneMachines(w, "b") {
		reports = append(reports, worker.LastHeartbeat())
	}
	partition := func(on bool) {
		partitionZone(w, on)
		w.PartitionWorkers("b", 1, on)
		w.PartitionStore(1, on)
	}
	partition(true)
	began := time.Now()
	go replayHeartbeats(w, reports)
	time.Sleep(20 * time.Second)
	// The time limit, which is the same as without duplicates, is the sum of the silence limit, the stale renewal
	// limit of 25 s less its margin, a lease of 24 s, and the time for a task start.
	if d := waitServicesUp(w, 6, 2*time.Minute); d > 50*time.Second {
		t.Errorf("%d of 6 services are running %v after the zone was partitioned, want all within 70 s",
			servicesUp(w, 6), d+20*time.Second)
	}
	partition(false)
	time.Sleep(time.Until(began.Add(3 * time.Minute)))
}

// TestInboundPartition checks that a machine whose heartbeats arrive at the controllers, but which nothing can reach,
// is assigned no tasks, and that its tasks run on another machine after its lease has expired or it was released. The
// partition affects one machine or a zone, with or without a failover. The invariant checker verifies that the tasks of
// a job cancelled during the partition end by the cancellation deadline.
func TestInboundPartition(t *testing.T) {
	oneMachine := func(w *emulator.Environment) []*emulator.Worker { return busyMachines(w)[:1] }
	wholeZone := func(w *emulator.Environment) []*emulator.Worker { return zoneMachines(w, "b") }
	for _, c := range []struct {
		name     string
		affected func(w *emulator.Environment) []*emulator.Worker
		failover bool
		within   time.Duration
	}{
		{"one machine", oneMachine, false, 35 * time.Second},
		{"one machine and a failover", oneMachine, true, 40 * time.Second},
		{"one zone", wholeZone, false, 45 * time.Second},
		{"one zone and a failover", wholeZone, true, 45 * time.Second},
	} {
		t.Run(c.name, func(t *testing.T) {
			runCluster(t, 35, func(w *emulator.Environment) {
				startServices(w, 5) // zone a has four machines of the size that a service needs
				affected := c.affected(w)
				for _, worker := range affected {
					worker.SetInboundPartition(true)
				}
				w.Cancel(wire.JobID(5))
				if c.failover {
					w.Restart(findLeader(), 200*time.Millisecond)
				}
				time.Sleep(c.within)
				if other := unexpectedTaskCounts(w, 1, 4, 1); len(other) > 0 {
					t.Errorf("services without exactly 1 running replica %v after %d machines were partitioned: %v",
						c.within, len(affected), other)
				}
				checkNewServicesStart(t, w)
				for _, worker := range affected {
					worker.SetInboundPartition(false)
				}
				time.Sleep(40 * time.Second)
				if other := unexpectedTaskCounts(w, 1, 4, 1); len(other) > 0 {
					t.Errorf("services without exactly 1 running replica at the end: %v", other)
				}
			})
		})
	}
}

// checkNewServicesStart requires that new services start on reachable machines within 15 s.
func checkNewServicesStart(t *testing.T, w *emulator.Environment) {
	t.Helper()
	for n := 10; n < 14; n++ {
		began := time.Now()
		j := newWebService(n, 0.5, "small")
		w.Submit(j)
		waitRunning(w, j.ID, began)
		if d := time.Since(began); d > 15*time.Second {
			t.Errorf("new service started after %v, want at most 15 s", d)
		}
	}
}

// TestPartitionedController checks that a controller that has lost its connections to the store and its peers, but not
// to its agents, does not report that it is ready for users' requests, and does not retain agents that the next leader
// needs.
func TestPartitionedController(t *testing.T) {
	for _, duration := range []time.Duration{5 * time.Second, 70 * time.Second} {
		t.Run(fmt.Sprint(duration), func(t *testing.T) {
			runCluster(t, 36, func(w *emulator.Environment) {
				startServices(w, 5)
				first := findLeader() // the first leader is partitioned first, while there are idle machines
				for k := range 3 {
					partitionController(t, w, (first+k)%3, duration)
				}
				if k := servicesUp(w, 5); k != 5 {
					t.Errorf("%d services are running, want 5", k)
				}
			})
		})
	}
}

// partitionController partitions the controller with index i from the store and its peers, and checks that a new
// service runs nevertheless. If the partition lasts longer than 10 s, it also checks that the controller is not ready,
// and if longer than 20 s, that all agents have found the next leader.
func partitionController(t *testing.T, w *emulator.Environment, i int, duration time.Duration) {
	t.Helper()
	starts := w.Checker.Starts()
	w.PartitionFromStoreAndPeers(i, true)
	began := time.Now()
	time.Sleep(4 * time.Second)
	j := newWebService(10+i, 0.5, "small")
	body := registerJob(t, w, j)
	for k := 1; ; k++ {
		code, _ := w.RequestAt((i+k)%3, "submit", j.ID, body)
		if code == 201 || code == 200 || time.Since(began) > 30*time.Second {
			break
		}
		time.Sleep(300 * time.Millisecond)
	}
	waitRunning(w, j.ID, began)
	if d := time.Since(began); d > 4*time.Second+4*time.Second {
		t.Errorf("node %d: new service started %v after the partition began, want at most 8 s", i, d)
	}
	if duration > 10*time.Second {
		time.Sleep(time.Until(began.Add(10 * time.Second)))
		if node := nodeAt(i); node.readiness.Ready() {
			t.Errorf("node %d reports that it is ready while partitioned, want not ready", i)
		}
	}
	w.Cancel(j.ID)
	if duration > 20*time.Second {
		// The next leader does not probe idle machines. Their agents have found this leader after 16 s, because the
		// partitioned controller retains each agent for 3 s only and then redirects it.
		time.Sleep(time.Until(began.Add(16 * time.Second)))
		node := nodeAt(findLeader())
		node.loop.postAndWait(func() {
			for _, machine := range node.replica.model.MachinesInOrder {
				if !machine.Contact.Reported {
					t.Errorf("node %d: %s has sent the next leader no heartbeat after 16 s, want one",
						i, machine.Info.Name)
				}
			}
		})
	}
	time.Sleep(time.Until(began.Add(duration)))
	w.PartitionFromStoreAndPeers(i, false)
	time.Sleep(20 * time.Second)
	if k := w.Checker.Starts() - starts - 1; k != 0 {
		t.Errorf("node %d: %d tasks were restarted, want none", i, k)
	}
}

// zoneWithoutController moves all controllers into zone a and submits services and arrays: two services may run
// anywhere, three must run in zone b, and arrays that may run anywhere fill the remaining capacity of the machines,
// until each machine of zone b holds a task that may run in zone a too. It returns the machines of zone b that hold
// such tasks.
func zoneWithoutController(w *emulator.Environment) (busy []*emulator.Worker) {
	for i := range 3 {
		w.StopAndWait(i)
		w.SetZone(i, "a")
	}
	startAll(w)
	startServices(w, 2)
	zone := "b"
	for n := 3; n <= 5; n++ {
		s := newWebService(n, 3, "small")
		s.Zone = &zone
		w.Submit(s)
	}
	for n := 6; n <= 12; n++ {
		w.Submit(newHighArray(n, 2, 0.5, 500))
	}
	time.Sleep(40 * time.Second)
	isZoneBound := func(worker *emulator.Worker) bool {
		return worker.Zone != zone || tasksOn(map[string]bool{worker.Name: true}, isMovable) == 0
	}
	for n := 13; n <= 24 && slices.ContainsFunc(busyMachines(w), func(worker *emulator.Worker) bool {
		return worker.Zone == zone && isZoneBound(worker)
	}); n++ {
		w.Submit(newHighArray(n, 2, 0.5, 500))
		time.Sleep(3 * time.Second)
	}
	return slices.DeleteFunc(busyMachines(w), isZoneBound)
}

// isMovable reports whether a run's task may run in any zone.
func isMovable(run *model.Run) bool { return run.Job.Zone < 0 }

// TestZoneWithoutController checks the time until the tasks of a partitioned zone without controllers are evicted. If
// all controllers are reachable, they prove that none of them has renewed the leases of that zone's machines, and the
// machines are released as soon as the leases have expired. An unreachable controller may have renewed the leases, so
// the leader then also waits for the stale renewal limit (25 s less a margin) and after it for a whole lease (24 s),
// which ends 57 s after the partition began.
func TestZoneWithoutController(t *testing.T) {
	for _, c := range []struct {
		name     string
		crashed  bool // whether one controller has crashed, so that it may have renewed leases
		from, to time.Duration
	}{
		{"all reachable", false, 24 * time.Second, 34 * time.Second},
		{"one crashed", true, 48 * time.Second, 62 * time.Second},
	} {
		t.Run(c.name, func(t *testing.T) {
			runCluster(t, 37, func(w *emulator.Environment) {
				if busy := zoneWithoutController(w); len(busy) < 3 {
					t.Fatalf("%d machines of the zone hold tasks, want at least 3", len(busy))
				}
				if c.crashed {
					w.StopAndWait((findLeader() + 1) % 3)
				}
				if d := partitionZoneUntilEvicted(w); d < c.from || d > c.to {
					t.Errorf("the zone's tasks were evicted after %v, want %v to %v", d, c.from, c.to)
				}
				partitionZoneAgents(w, false)
				time.Sleep(30 * time.Second)
				if k := servicesUp(w, 5); k != 5 {
					t.Errorf("%d services are running at the end, want 5", k)
				}
			})
		})
	}
}

// partitionZoneUntilEvicted partitions the agents of zone b from all controllers, and returns the time until the
// leader's model places no tasks on the zone's machines, at most about 90 s. It does not end the partition.
func partitionZoneUntilEvicted(w *emulator.Environment) time.Duration {
	partitionZoneAgents(w, true)
	began := time.Now()
	partitioned := map[string]bool{}
	for _, worker := range zoneMachines(w, "b") {
		partitioned[worker.Name] = true
	}
	for tasksOn(partitioned, func(*model.Run) bool { return true }) > 0 && time.Since(began) < 90*time.Second {
		time.Sleep(200 * time.Millisecond)
	}
	return time.Since(began)
}

// tasksOn returns how many tasks for which counts returns true the leader's model places on the given machines.
func tasksOn(machines map[string]bool, counts func(*model.Run) bool) (tasks int) {
	leader := nodeAt(findLeader())
	leader.loop.postAndWait(func() {
		for _, machine := range leader.replica.model.MachinesInOrder {
			for _, run := range machine.Runs {
				if machines[machine.Info.Name] && counts(run) {
					tasks++
				}
			}
		}
	})
	return tasks
}
