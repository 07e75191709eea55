package controller

import (
	"fmt"
	"testing"
	"time"

	"fieldhill/internal/emulator"
	"fieldhill/wire"
)

// These tests are of what a worker's word proves, and of machines that are heard and do not hear.

// TestAgentRestart: a machine whose worker is back within a moment under the same name holds nothing any more,
// whether its numbers go on or begin at 1, also beside a takeover and when it is back again and again. One whose
// numbers began at 1 used to be taken for a late copy of its own past: it was answered and given nothing, and its
// replicas stayed down for good.
func TestAgentRestart(t *testing.T) {
	for _, resetNumbers := range []bool{false, true} {
		for _, times := range []int{1, 3} {
			for _, takeover := range []time.Duration{-1, 3300 * time.Millisecond} {
				t.Run(fmt.Sprint(resetNumbers, times, takeover), func(t *testing.T) {
					runCluster(t, 31, func(w *emulator.Environment) {
						startServices(w, 5)
						if takeover >= 0 {
							w.Restart(findLeader(), 200*time.Millisecond)
							time.Sleep(takeover)
						}
						for _, worker := range w.Cloud.Workers() {
							if w.Checker.HasTasks(worker.Name) {
								for range times {
									worker.Reboot(resetNumbers)
									time.Sleep(300 * time.Millisecond)
								}
							}
						}
						if d := waitServicesUp(w, 5, time.Minute); d > 12*time.Second {
							t.Errorf("%d of 5 services run %v after the machines were back", servicesUp(w, 5), d)
						}
						time.Sleep(30 * time.Second)
						if k := servicesUp(w, 5); k != 5 {
							t.Errorf("%d of 5 services run half a minute later", k)
						}
					})
				})
			}
		}
	}
}

// TestStaleReportCopies: copies of what machines said before they were gone, or cut off, prove nothing about now:
// neither for the leader that heard the first of them, nor for the next one, to whom all numbers are new.
func TestStaleReportCopies(t *testing.T) {
	flood := func(w *emulator.Environment, reports []*wire.Heartbeat, until func() bool) {
		for !until() {
			for _, r := range reports {
				for i := range 3 {
					go w.SendDuplicate(w.UserAddr(i), r)
				}
			}
			time.Sleep(2 * time.Second)
		}
	}
	for _, takeover := range []bool{false, true} {
		t.Run(fmt.Sprint("gone, takeover ", takeover), func(t *testing.T) {
			runCluster(t, 32, func(w *emulator.Environment) {
				startServices(w, 5)
				var reports []*wire.Heartbeat
				for _, worker := range w.Cloud.Workers() {
					if w.Checker.HasTasks(worker.Name) && len(reports) < 2 {
						reports = append(reports, worker.LastHeartbeat())
						w.Cloud.Reclaim(worker.Name)
					}
				}
				if takeover {
					w.Restart(findLeader(), 200*time.Millisecond)
				}
				began := time.Now()
				go flood(w, reports, func() bool { return time.Since(began) > 2*time.Minute })
				if d := waitServicesUp(w, 5, time.Minute); d > 25*time.Second {
					t.Errorf("%d of 5 services run %v after two machines were lost", servicesUp(w, 5), d)
				}
				time.Sleep(time.Until(began.Add(100 * time.Second)))
				leader := nodeAt(findLeader())
				leader.loop.postAndWait(func() {
					for _, r := range reports {
						if leader.replica.model.ByName[r.Machine] != nil {
							t.Errorf("%s, which is gone, counts as a machine", r.Machine)
						}
					}
				})
				time.Sleep(30 * time.Second)
			})
		})
	}
	t.Run("cut off", func(t *testing.T) {
		runCluster(t, 33, func(w *emulator.Environment) {
			startServices(w, 6)
			var reports []*wire.Heartbeat
			for _, worker := range w.Cloud.Workers() {
				if worker.Zone == "b" {
					reports = append(reports, worker.LastHeartbeat())
				}
			}
			partitionZone(w, true)
			w.PartitionWorkers("b", 1, true)
			w.PartitionStore(1, true)
			began := time.Now()
			go flood(w, reports, func() bool { return time.Since(began) > 2*time.Minute })
			time.Sleep(20 * time.Second)
			// Silence, the bound of 25 s less its margin, a lease of 24 s and a start: as without copies.
			if d := waitServicesUp(w, 6, 2*time.Minute); d > 50*time.Second {
				t.Errorf("%d of 6 services run %v after the zone was cut off", servicesUp(w, 6), d+20*time.Second)
			}
			partitionZone(w, false)
			w.PartitionWorkers("b", 1, false)
			w.PartitionStore(1, false)
			time.Sleep(time.Until(began.Add(3 * time.Minute)))
		})
	})
	t.Run("never there", func(t *testing.T) {
		runCluster(t, 34, func(w *emulator.Environment) {
			startServices(w, 2)
			report := *w.Cloud.Workers()[0].LastHeartbeat()
			report.Machine, report.Addr, report.Tasks = "host-900000", "10.9.0.1:90", nil
			for i := range 3 {
				w.SendDuplicate(w.UserAddr(i), &report)
			}
			time.Sleep(time.Second)
			leader := nodeAt(findLeader())
			leader.loop.postAndWait(func() {
				if leader.replica.model.ByName[report.Machine] != nil {
					t.Error("a machine that nobody can ask counts as one")
				}
			})
		})
	})
}

// TestInboundPartition: a machine whose reports arrive while nothing reaches it gets no work, and what it held runs
// elsewhere when its own lease has run out, or it was returned; one machine, a zone, and beside a takeover. Jobs
// cancelled meanwhile end in time, which the referee sees.
func TestInboundPartition(t *testing.T) {
	for _, c := range []struct {
		name           string
		zone, takeover bool
		within         time.Duration
	}{
		{"one", false, false, 35 * time.Second},
		{"one and a takeover", false, true, 40 * time.Second},
		{"a zone", true, false, 45 * time.Second},
		{"a zone and a takeover", true, true, 45 * time.Second},
	} {
		t.Run(c.name, func(t *testing.T) {
			runCluster(t, 35, func(w *emulator.Environment) {
				startServices(w, 5) // the other zone has four such machines
				var partitioned []*emulator.Worker
				for _, worker := range w.Cloud.Workers() {
					if c.zone && worker.Zone == "b" ||
						!c.zone && len(partitioned) == 0 && w.Checker.HasTasks(worker.Name) {
						worker.SetInboundPartition(true)
						partitioned = append(partitioned, worker)
					}
				}
				w.Cancel(wire.JobID(5))
				if c.takeover {
					w.Restart(findLeader(), 200*time.Millisecond)
				}
				time.Sleep(c.within)
				servicesRunning := func() (n int) {
					for k := 1; k <= 4; k++ {
						if w.Checker.Running(wire.JobID(uint64(k))) == 1 {
							n++
						}
					}
					return n
				}
				if k := servicesRunning(); k != 4 {
					t.Errorf("%d of 4 services run %v after %d machines ceased to hear", k, c.within, len(partitioned))
				}
				// New work finds a machine that hears.
				for n := 10; n < 14; n++ {
					began := time.Now()
					j := newWebService(n, 0.5, "small")
					w.Submit(j)
					waitRunning(w, j.ID, began)
					if d := time.Since(began); d > 15*time.Second {
						t.Errorf("a new service ran after %v", d)
					}
				}
				for _, worker := range partitioned {
					worker.SetInboundPartition(false)
				}
				time.Sleep(40 * time.Second)
				if k := servicesRunning(); k != 4 {
					t.Errorf("%d of 4 services run at the end", k)
				}
			})
		})
	}
}

// TestPartitionedController: a controller that has lost the state service and the other controllers, but not its
// workers, is not offered to users, and does not keep from the next leader the machines whose workers it still hears.
func TestPartitionedController(t *testing.T) {
	for _, d := range []time.Duration{5 * time.Second, 70 * time.Second} {
		t.Run(fmt.Sprint(d), func(t *testing.T) {
			runCluster(t, 36, func(w *emulator.Environment) {
				startServices(w, 5)
				first := findLeader() // while there are idle machines
				for k := range 3 {
					i := (first + k) % 3
					starts := w.Checker.Starts()
					w.PartitionFromStoreAndPeers(i, true)
					began := time.Now()
					time.Sleep(4 * time.Second)
					j := newWebService(10+i, 0.5, "small")
					w.Checker.RegisterJob(j)
					b, _ := wire.Marshal(j)
					for k := 1; ; k++ {
						if code, _ := w.RequestAt(
							(i+k)%3,
							"submit",
							j.ID,
							b,
						); code == 201 || code == 200 ||
							time.Since(began) > 30*time.Second {
							break
						}
						time.Sleep(300 * time.Millisecond)
					}
					waitRunning(w, j.ID, began)
					if k := time.Since(began); k > 4*time.Second+4*time.Second {
						t.Errorf("node %d: a new service ran %v after the cut", i, k)
					}
					if d > 10*time.Second {
						time.Sleep(time.Until(began.Add(10 * time.Second)))
						if node := nodeAt(i); node.readiness.Ready() {
							t.Errorf("node %d is offered to users", i)
						}
					}
					w.Cancel(j.ID)
					if d > 20*time.Second {
						// Idle machines, which the next leader does not ask, have found it: each worker was kept for
						// 3 s and sent away.
						time.Sleep(time.Until(began.Add(16 * time.Second)))
						node := nodeAt(findLeader())
						node.loop.postAndWait(func() {
							for _, machine := range node.replica.model.Order {
								if !machine.Contact.Reported {
									t.Errorf(
										"node %d: %s has not found the next leader after 16 s",
										i,
										machine.Info.Name,
									)
								}
							}
						})
					}
					time.Sleep(time.Until(began.Add(d)))
					w.PartitionFromStoreAndPeers(i, false)
					time.Sleep(20 * time.Second)
					if k := w.Checker.Starts() - starts - 1; k != 0 {
						t.Errorf("node %d: %d tasks were started anew", i, k)
					}
				}
				if k := servicesUp(w, 5); k != 5 {
					t.Errorf("%d of 5 services run", k)
				}
			})
		})
	}
}

// zoneWithoutController has all controllers stand in zone a. Two services may run anywhere, three must in zone b, and
// arrays that may go anywhere fill the rest of their machines, so that each machine of the zone holds something that
// may. It tells what holds work there.
func zoneWithoutController(w *emulator.Environment) (held []*emulator.Worker) {
	for i := range 3 {
		w.Crash(i)
		w.SetZone(i, "a")
	}
	for i := range 3 {
		w.Start(i)
	}
	startServices(w, 2)
	zone := "b"
	for n := 3; n <= 5; n++ {
		s := newWebService(n, 3, "small")
		s.Zone = &zone
		w.Submit(s)
	}
	for n := 6; n <= 12; n++ {
		j := newJobSpec(n, wire.Array, 2, 500)
		j.CPUs, j.Priority = 0.5, wire.High
		w.Submit(j)
	}
	time.Sleep(40 * time.Second)
	for _, worker := range w.Cloud.Workers() {
		if worker.Zone == zone && w.Checker.HasTasks(worker.Name) {
			held = append(held, worker)
		}
	}
	return held
}

// TestZoneWithoutController: all controllers stand in one zone and another one is cut off. Its leases were renewed by
// nobody since, which all controllers know of each other; so its machines are returned, and its work starts
// elsewhere, as soon as the leases are over, not after the time for which a controller that can't be asked might have
// renewed them (24 s of lease and 25 s less a margin of that bound: 57 s). One that can't be asked brings that back.
func TestZoneWithoutController(t *testing.T) {
	for _, c := range []struct {
		name string
		part bool // a controller is away, and nobody knows whose leases it renews
		from time.Duration
		to   time.Duration
	}{{"all asked", false, 24 * time.Second, 34 * time.Second}, {"one away", true, 48 * time.Second, 62 * time.Second}} {
		t.Run(c.name, func(t *testing.T) {
			runCluster(t, 37, func(w *emulator.Environment) {
				held := zoneWithoutController(w)
				if len(held) < 3 {
					t.Fatalf("%d machines of the zone hold work", len(held))
				}
				if c.part {
					w.Crash((findLeader() + 1) % 3)
				}
				partitionZoneWorkers(w, true)
				began := time.Now()
				cut := map[string]bool{}
				for _, worker := range w.Cloud.Workers() {
					cut[worker.Name] = worker.Zone == "b"
				}
				gone := func() bool { // for the leader
					k := 0
					leader := nodeAt(findLeader())
					leader.loop.postAndWait(func() {
						for _, machine := range leader.replica.model.Order {
							if cut[machine.Info.Name] {
								k += len(machine.Runs)
							}
						}
					})
					return k == 0
				}
				for !gone() && time.Since(began) < 90*time.Second {
					time.Sleep(200 * time.Millisecond)
				}
				if d := time.Since(began); d < c.from || d > c.to {
					t.Errorf("the zone's work was known to be gone after %v", d)
				}
				partitionZoneWorkers(w, false)
				time.Sleep(30 * time.Second)
				if k := servicesUp(w, 5); k != 5 {
					t.Errorf("%d of 5 services run at the end", k)
				}
			})
		})
	}
}
