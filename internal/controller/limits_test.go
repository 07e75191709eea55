package controller

import (
	"context"
	"fmt"
	"log/slog"
	"testing"
	"testing/synctest"
	"time"

	"fieldhill/internal/agents/relay"
	"fieldhill/internal/codec"
	"fieldhill/internal/config"
	"fieldhill/internal/emulator"
	"fieldhill/internal/model"
	"fieldhill/internal/scheduling/provisioner"
	"fieldhill/wire"
)

// These tests hold limits on numbers of things against fleets of more machines than tests of whole deployments have.

// aloneWith runs f with a node of a deployment that has so many sockets; the node is not running.
func aloneWith(t *testing.T, sockets int, f func(n *Controller)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		ctx, stop := context.WithCancel(t.Context())
		defer stop()
		params := emulator.DefaultParams()
		params.Limits.MaxSockets = sockets
		n := New(emulator.NewNetwork().Host("n0"), &config.Settings{Node: "n0", Zone: "a", Params: params}, Options{},
			slog.New(slog.DiscardHandler))
		n.ctx = ctx
		f(n)
	})
}

// addMachine applies to a node's copy of the log that there is a machine.
func addMachine(t *testing.T, n *Controller, name string) *model.Machine {
	t.Helper()
	e := &model.Entry{Kind: model.EntryMachine, Machine: n.replica.model.NextMachine,
		Info: &model.MachineInfo{Name: name, Addr: name + ":1", Type: "small", Zone: "a"}}
	if err := n.replica.model.Apply(e, 1, n.now()); err != nil {
		t.Fatal(err)
	}
	return n.replica.model.ByName[name]
}

// TestKeptWorkersAreRemembered: of any fleet's workers that come to a node which does not reach the leader, each is
// kept for a while and then sent to look for the leader, and none is forgotten meanwhile; later nothing of them is
// left.
func TestKeptWorkersAreRemembered(t *testing.T) {
	for _, fleet := range []int{400, 4001, 10_000} {
		t.Run(fmt.Sprint(fleet), func(t *testing.T) {
			aloneWith(t, 2500, func(n *Controller) {
				sent := func() (sent int) {
					for i := range fleet {
						if !n.keepalives.retainsAgent(fmt.Sprintf("host-%06d", i), false) {
							sent++
						}
					}
					return sent
				}
				for i := range fleet {
					n.keepalives.retainsAgent(fmt.Sprintf("host-%06d", i), false)
				}
				n.runMaintenance()
				time.Sleep(firstRetention + time.Second)
				n.runMaintenance()
				if k := sent(); k != fleet {
					t.Errorf("%d of %d workers were sent to look for the leader", k, fleet)
				}
				time.Sleep(2 * time.Minute)
				n.runMaintenance()
				if k := len(n.keepalives.noRedirectUntil); k != 0 {
					t.Errorf("%d names are kept for nothing", k)
				}
			})
		})
	}
}

// TestMadeUpNamesAreBounded: names that nobody has ever heard of don't fill the memory.
func TestMadeUpNamesAreBounded(t *testing.T) {
	aloneWith(t, 2500, func(n *Controller) {
		for i := range 200_000 {
			n.keepalives.retainsAgent(fmt.Sprint("made-up-", i), false)
			if i%1000 == 0 {
				n.runMaintenance()
			}
		}
		if k := len(n.keepalives.noRedirectUntil); k > maxNoRedirectEntries+1000 {
			t.Errorf("%d names are kept", k)
		}
	})
}

// TestClearedMachinesAreRemembered: that a machine holds nothing of a cancelled job is known of every machine of a
// large fleet, for as long as it is told, and is dropped afterwards.
func TestClearedMachinesAreRemembered(t *testing.T) {
	for _, fleet := range []int{400, 4001, 10_000} {
		t.Run(fmt.Sprint(fleet), func(t *testing.T) {
			aloneWith(t, 2500, func(n *Controller) {
				job := &wire.JobSpec{ID: wire.JobID(1), Class: "c", Team: "guest", Shape: wire.Array,
					Priority: wire.Low,
					Tasks:    fleet, CPUs: 1, MemoryGB: 1, Image: "i", ImageGB: 1}
				entries := []*model.Entry{model.Accepted(job, 0)}
				for i := range fleet {
					machine := addMachine(t, n, fmt.Sprintf("host-%06d", i))
					entries = append(entries,
						&model.Entry{Kind: model.EntryPlace, Job: 1, Task: int32(i), Attempt: 1, Machine: machine.ID})
				}
				entries = append(entries, &model.Entry{Kind: model.EntryCancel, Job: 1})
				for _, e := range entries {
					if err := n.replica.model.Apply(e, 2, n.now()); err != nil {
						t.Fatal(err)
					}
				}
				for _, machine := range n.replica.model.Order {
					n.keepalives.renewAsFollower(&wire.Heartbeat{Machine: machine.Info.Name, AgentEpoch: 1})
				}
				n.runMaintenance()
				told := 0
				for r := (&codec.Reader{Data: n.keepalives.clearedMachines.encode(n.replica.model, time.Now(), 1<<20)}); len(r.Data) > 0; told++ {
					r.Uint()
				}
				if told != fleet {
					t.Errorf("%d of %d machines are known to be clear", told, fleet)
				}
				time.Sleep(2*partitionReportInterval + sweepInterval)
				n.runMaintenance()
				if k := len(n.keepalives.clearedMachines); k != 0 {
					t.Errorf("%d machines are kept for nothing", k)
				}
			})
		})
	}
}

// TestDeadZoneHidesNobody: while all machines of a zone are silent for good, and are asked again and again, a machine
// of another zone that only does not reach the controllers is asked too, and not given up.
func TestDeadZoneHidesNobody(t *testing.T) {
	defer func(k int) { maxSilentProbes = k }(maxSilentProbes)
	maxSilentProbes = 2
	runClusterWithTeams(t, 91, defaultTeams, func(w *emulator.Environment) {
		w.Cloud.SetCapacity(20)
		startServices(w, 30)
		dead, silent := 0, map[string]bool{}
		for _, worker := range w.Cloud.Workers() {
			switch {
			case !w.Checker.HasTasks(worker.Name):
			case worker.Zone == "b":
				worker.Hang(90 * time.Second)
				dead++
			case len(silent) < 2:
				worker.SetOutboundPartition(true)
				silent[worker.Name] = true
			}
		}
		if dead < 10 || len(silent) < 2 {
			t.Fatalf("%d machines of zone b are dead and %d of zone a are silent: nothing is tested", dead, len(silent))
		}
		time.Sleep(20 * time.Second)
		left := 0
		for _, worker := range w.Cloud.Workers() {
			if silent[worker.Name] {
				left++
				worker.SetOutboundPartition(false)
			}
		}
		if left != 2 {
			t.Errorf("%d of 2 machines that answer were returned", 2-left)
		}
		time.Sleep(90 * time.Second)
	})
}

// TestManySuspectsAreAsked: as many suspect machines are asked at once as the sockets allow; what does not answer
// holds its place for more than a second.
func TestManySuspectsAreAsked(t *testing.T) {
	for sockets, most := range map[int]int{800: 32, 3526: 100, 8000: 240} {
		t.Run(fmt.Sprint(sockets), func(t *testing.T) {
			aloneWith(t, sockets, func(n *Controller) {
				ctx, stop := context.WithCancel(n.ctx)
				defer stop()
				n.term.ownTerm = &leaderTerm{
					ctx: ctx, assignments: relayAssignmentsTerm{table: relay.NewTable(1)},
				}
				asked := 0
				for i := range 400 {
					if n.probes.probeMachine(addMachine(t, n, fmt.Sprint("host-", i)), func() {}) {
						asked++
					}
				}
				if asked < most {
					t.Errorf("%d machines are asked at once, at least %d of 400 should be", asked, most)
				}
				for range asked {
					(<-n.loop.workQueue)()
				}
			})
		})
	}
}

// TestSocketsAreEnough: all that a node may have open at once, as a leader or as a relay, leaves sockets to the state
// service, the cloud and the other controllers. With fewer than 1,250 sockets the least numbers of questions may be
// more than that, as they always could; idle connections to workers close then first.
func TestSocketsAreEnough(t *testing.T) {
	const others = 8 + 4 + 4*4 // the state service's, the cloud's, and the other controllers' and operators'
	for _, sockets := range []int{1250, 1500, 2500, 2680, 3526, 8000} {
		for zones := 1; zones <= 3; zones++ {
			aloneWith(t, sockets, func(n *Controller) {
				forWorkers := sockets / 3
				asks := zones*zoneProbeLimit(sockets, zones) + 2*n.probes.maxFollowUpProbes
				leads := n.connLimiter.MaxConns + max(forWorkers, forWorkers/2+asks)
				relays := n.connLimiter.MaxConns + max(forWorkers, forWorkers/2+cap(n.relay.state.probes))
				if most := max(leads, relays) + others; most > sockets {
					t.Errorf("%d zones: %d of %d sockets", zones, most, sockets)
				}
			})
		}
	}
}

// TestRelayTakesItsShare: a relay of a third of 4,000 machines, or of 10,000, has room for the reports that come
// while the leader takes two thirds of a second to answer, and for as many commands.
func TestRelayTakesItsShare(t *testing.T) {
	for sockets, most := range map[int]int{800: 256, 3526: 1000, 8000: 2400} {
		aloneWith(t, sockets, func(n *Controller) {
			for what, room := range map[string]slots{"reports": n.relay.state.reports, "commands": n.relay.state.orders} {
				taken := 0
				for room.tryAcquire() {
					taken++
				}
				if taken < most {
					t.Errorf("%d sockets: %d %s at once, at least %d should be", sockets, taken, what, most)
				}
			}
		})
	}
}

// TestSlowList: that a silent machine is missing in a list which took long to read counts only if the machine was
// known for longer than that; in one that was read at once it counts after the usual time.
func TestSlowList(t *testing.T) {
	runCluster(t, 92, func(w *emulator.Environment) {
		startServices(w, 3)
		n := nodeAt(findLeader())
		given := func(took time.Duration) (given bool) {
			n.loop.postAndWait(func() {
				var rows []wire.ListedMachine
				young := n.replica.model.Order[len(n.replica.model.Order)-1]
				for _, machine := range n.replica.model.Order {
					if machine != young {
						rows = append(rows, wire.ListedMachine{Name: machine.Info.Name, State: wire.MachineRunning})
					}
				}
				young.Contact.KnownSince, young.Contact.LastReport = n.now()-25*time.Second, n.now()-6*time.Second
				n.provisioning.onProvisionerResult(
					n.term.ownTerm,
					&provisioner.Result{Kind: provisioner.MachinesListed, Listing: rows, Elapsed: took},
				)
				given = young.Releasing
				young.Contact.LastReport = n.now()
			})
			return given
		}
		if given(30 * time.Second) {
			t.Error("a machine that is 25 s old was given up since a list lacks it that took 30 s to read")
		}
		if !given(time.Second) {
			t.Error("a silent machine that the cloud does not list was kept: nothing is tested")
		}
		time.Sleep(20 * time.Second)
	})
}
