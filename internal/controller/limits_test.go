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

// These tests compare limits on numbers of things with larger fleets than tests of whole deployments have.

// withIdleController runs f with a controller that has so many sockets and is not running.
func withIdleController(t *testing.T, sockets int, f func(n *Controller)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		ctx, stop := context.WithCancel(t.Context())
		defer stop()
		params := emulator.DefaultParams()
		params.Limits.MaxSockets = sockets
		settings := &config.Settings{Node: "n0", Zone: "a", Params: params}
		n := New(emulator.NewNetwork().Host("n0"), settings, Options{}, slog.New(slog.DiscardHandler))
		n.ctx = ctx
		f(n)
	})
}

// largeFleets are the numbers of machines for which bounds on numbers of machines are tested.
var largeFleets = []int{400, 4001, 10_000}

// hostName is the name of a machine of a test without a cloud.
func hostName(i int) string { return fmt.Sprintf("host-%06d", i) }

// addMachine applies to a controller's replica of the log that there is a machine.
func addMachine(t *testing.T, n *Controller, name string) *model.Machine {
	t.Helper()
	e := &model.Entry{Kind: model.EntryMachine, Machine: n.replica.model.NextMachine,
		Info: &model.MachineInfo{Name: name, Addr: name + ":1", Type: "small", Zone: "a"}}
	if err := n.replica.model.Apply(e, 1, n.now()); err != nil {
		t.Fatal(err)
	}
	return n.replica.model.ByName[name]
}

// TestRetentionOfLargeFleet: of the agents of any fleet that come to a controller which does not reach the leader, each
// is retained for a while and then redirected to look for the leader, and none is forgotten meanwhile; later nothing of
// them is left.
func TestRetentionOfLargeFleet(t *testing.T) {
	for _, fleet := range largeFleets {
		t.Run(fmt.Sprint(fleet), func(t *testing.T) {
			withIdleController(t, 2500, func(n *Controller) {
				redirected := func() (redirected int) {
					for i := range fleet {
						if !n.keepalives.retainsAgent(hostName(i), false) {
							redirected++
						}
					}
					return redirected
				}
				redirected() // each comes for the first time
				n.runMaintenance()
				time.Sleep(firstRetention + time.Second)
				n.runMaintenance()
				if k := redirected(); k != fleet {
					t.Errorf("%d of %d agents were redirected", k, fleet)
				}
				time.Sleep(2 * time.Minute)
				n.runMaintenance()
				if k := len(n.keepalives.noRedirectUntil); k != 0 {
					t.Errorf("%d entries are left", k)
				}
			})
		})
	}
}

// TestRetentionOfUnknownNamesBounded: names that no machine has don't fill the memory.
func TestRetentionOfUnknownNamesBounded(t *testing.T) {
	withIdleController(t, 2500, func(n *Controller) {
		for i := range 200_000 {
			n.keepalives.retainsAgent(fmt.Sprint("made-up-", i), false)
			if i%1000 == 0 {
				n.runMaintenance()
			}
		}
		if k := len(n.keepalives.noRedirectUntil); k > maxNoRedirectEntries+1000 {
			t.Errorf("%d entries are left", k)
		}
	})
}

// TestClearedMachinesOfLargeFleet: every machine of a large fleet that holds nothing of a cancelled job is listed as
// cleared, for as long as that is reported, and is dropped afterwards.
func TestClearedMachinesOfLargeFleet(t *testing.T) {
	for _, fleet := range largeFleets {
		t.Run(fmt.Sprint(fleet), func(t *testing.T) {
			withIdleController(t, 2500, func(n *Controller) {
				placeAndCancel(t, n, fleet)
				for _, machine := range n.replica.model.Order {
					n.keepalives.renewAsFollower(&wire.Heartbeat{Machine: machine.Info.Name, AgentEpoch: 1})
				}
				n.runMaintenance()
				listed := 0
				encoded := n.keepalives.clearedMachines.encode(n.replica.model, time.Now(), 1<<20)
				for r := (&codec.Reader{Data: encoded}); len(r.Data) > 0; listed++ {
					r.Uint()
				}
				if listed != fleet {
					t.Errorf("%d of %d machines are listed as cleared", listed, fleet)
				}
				time.Sleep(2*partitionReportInterval + sweepInterval)
				n.runMaintenance()
				if k := len(n.keepalives.clearedMachines); k != 0 {
					t.Errorf("%d entries are left", k)
				}
			})
		})
	}
}

// placeAndCancel applies to a controller's replica of the log that a job was placed on so many machines, and cancelled.
func placeAndCancel(t *testing.T, n *Controller, machines int) {
	t.Helper()
	job := &wire.JobSpec{ID: wire.JobID(1), Class: "c", Team: "guest", Shape: wire.Array, Priority: wire.Low,
		Tasks: machines, CPUs: 1, MemoryGB: 1, Image: "i", ImageGB: 1}
	entries := []*model.Entry{model.Accepted(job, 0)}
	for i := range machines {
		machine := addMachine(t, n, hostName(i))
		entries = append(entries,
			&model.Entry{Kind: model.EntryPlace, Job: 1, Task: int32(i), Attempt: 1, Machine: machine.ID})
	}
	entries = append(entries, &model.Entry{Kind: model.EntryCancel, Job: 1})
	for _, e := range entries {
		if err := n.replica.model.Apply(e, 2, n.now()); err != nil {
			t.Fatal(err)
		}
	}
}

// TestSilentZoneDoesNotDelayProbes: while all machines of a zone are silent for good, and are probed again and again, a
// machine of another zone that only does not reach the controllers is probed too, and not replaced.
func TestSilentZoneDoesNotDelayProbes(t *testing.T) {
	defer func(k int) { maxSilentProbes = k }(maxSilentProbes)
	maxSilentProbes = 2
	runClusterWithTeams(t, 91, defaultTeams, func(w *emulator.Environment) {
		w.Cloud.SetCapacity(20)
		startServices(w, 30)
		hung, partitioned := 0, map[string]bool{}
		for _, worker := range busyMachines(w) {
			switch {
			case worker.Zone == "b":
				worker.Hang(90 * time.Second)
				hung++
			case len(partitioned) < 2:
				worker.SetOutboundPartition(true)
				partitioned[worker.Name] = true
			}
		}
		if hung < 10 || len(partitioned) < 2 {
			t.Fatalf("%d machines of zone b hang and %d of zone a are partitioned: nothing is tested",
				hung, len(partitioned))
		}
		time.Sleep(20 * time.Second)
		left := 0
		for _, worker := range w.Cloud.Workers() {
			if partitioned[worker.Name] {
				left++
				worker.SetOutboundPartition(false)
			}
		}
		if left != 2 {
			t.Errorf("%d of 2 machines that answer probes were released", 2-left)
		}
		time.Sleep(90 * time.Second)
	})
}

// TestProbeConcurrencyByMaxSockets: as many suspect machines are probed at once as the sockets allow; a probe that is
// not answered holds its slot for more than a second.
func TestProbeConcurrencyByMaxSockets(t *testing.T) {
	for sockets, atLeast := range map[int]int{800: 32, 3526: 100, 8000: 240} {
		t.Run(fmt.Sprint(sockets), func(t *testing.T) {
			withIdleController(t, sockets, func(n *Controller) {
				ctx, stop := context.WithCancel(n.ctx)
				defer stop()
				n.term.ownTerm = &leaderTerm{
					ctx: ctx, assignments: relayAssignmentsTerm{table: relay.NewTable(1)},
				}
				probed := 0
				for i := range 400 {
					if n.probes.probeMachine(addMachine(t, n, fmt.Sprint("host-", i)), func() {}) {
						probed++
					}
				}
				if probed < atLeast {
					t.Errorf("%d machines are probed at once, at least %d of 400 should be", probed, atLeast)
				}
				for range probed {
					(<-n.loop.workQueue)()
				}
			})
		})
	}
}

// TestConnectionsStayBelowMaxSockets: all connections that a controller may have open at once, as a leader or as a
// relay, leave sockets for the store, the cloud and the other controllers. With fewer than 1,250 sockets the least
// numbers of probes may be more than that, as they always could; idle connections to agents are closed then first.
func TestConnectionsStayBelowMaxSockets(t *testing.T) {
	const others = 8 + 4 + 4*4 // the store's, the cloud's, and the other controllers' and operators'
	for _, sockets := range []int{1250, 1500, 2500, 2680, 3526, 8000} {
		for zones := 1; zones <= 3; zones++ {
			withIdleController(t, sockets, func(n *Controller) {
				toAgents := sockets / 3
				probes := zones*zoneProbeLimit(sockets, zones) + 2*n.probes.maxFollowUpProbes
				asLeader := n.connLimiter.MaxConns + max(toAgents, toAgents/2+probes)
				asRelay := n.connLimiter.MaxConns + max(toAgents, toAgents/2+cap(n.relay.state.probes))
				if needed := max(asLeader, asRelay) + others; needed > sockets {
					t.Errorf("%d zones: %d of %d sockets", zones, needed, sockets)
				}
			})
		}
	}
}

// TestRelaySlotsByMaxSockets: a relay of a third of 4,000 machines, or of 10,000, has slots for the heartbeats that
// come while the leader takes two thirds of a second to answer, and for as many commands.
func TestRelaySlotsByMaxSockets(t *testing.T) {
	for sockets, atLeast := range map[int]int{800: 256, 3526: 1000, 8000: 2400} {
		withIdleController(t, sockets, func(n *Controller) {
			state := n.relay.state
			for kind, free := range map[string]slots{"heartbeats": state.reports, "commands": state.orders} {
				acquired := 0
				for free.tryAcquire() {
					acquired++
				}
				if acquired < atLeast {
					t.Errorf("%d sockets: %d %s at once, at least %d should be", sockets, acquired, kind, atLeast)
				}
			}
		})
	}
}

// TestSlowMachineListing: that a silent machine is missing in a listing of the cloud's machines which took long to read
// counts only if the machine was known for longer than that; in a listing that was read at once it counts after the
// default time.
func TestSlowMachineListing(t *testing.T) {
	runCluster(t, 92, func(w *emulator.Environment) {
		startServices(w, 3)
		n := nodeAt(findLeader())
		releasedAfter := func(elapsed time.Duration) (released bool) {
			n.loop.postAndWait(func() {
				var rows []wire.ListedMachine
				youngest := n.replica.model.Order[len(n.replica.model.Order)-1]
				for _, machine := range n.replica.model.Order {
					if machine != youngest {
						rows = append(rows, wire.ListedMachine{Name: machine.Info.Name, State: wire.MachineRunning})
					}
				}
				youngest.Contact.KnownSince, youngest.Contact.LastReport = n.now()-25*time.Second, n.now()-6*time.Second
				n.provisioning.onProvisionerResult(
					n.term.ownTerm,
					&provisioner.Result{Kind: provisioner.MachinesListed, Listing: rows, Elapsed: elapsed},
				)
				released = youngest.Releasing
				youngest.Contact.LastReport = n.now()
			})
			return released
		}
		if releasedAfter(30 * time.Second) {
			t.Error("a machine that is 25 s old was released since a listing lacks it that took 30 s to read")
		}
		if !releasedAfter(time.Second) {
			t.Error("a silent machine that the cloud does not list was kept: nothing is tested")
		}
		time.Sleep(20 * time.Second)
	})
}
