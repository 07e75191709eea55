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

// The tests in this file check limits with fleets that are larger than those of the tests that run a complete
// deployment.

// withIdleController runs f with a controller that has the given limit of sockets and whose event loop does not run.
func withIdleController(t *testing.T, sockets int, f func(c *Controller)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		ctx, stop := context.WithCancel(t.Context())
		defer stop()
		params := emulator.DefaultParams()
		params.Limits.MaxSockets = sockets
		settings := &config.Settings{Node: "n0", Zone: "a", Params: params}
		c := New(emulator.NewNetwork().Host("n0"), settings, Options{}, slog.New(slog.DiscardHandler))
		c.ctx = ctx
		f(c)
	})
}

// largeFleets are the numbers of machines that limits are tested with.
var largeFleets = []int{400, 4001, 10_000}

// hostName returns the name of machine i in tests without an emulated cloud.
func hostName(i int) string { return fmt.Sprintf("host-%06d", i) }

// addMachine adds a machine of zone a to a controller's model and returns it.
func addMachine(t *testing.T, c *Controller, name string) *model.Machine {
	t.Helper()
	e := &model.Entry{Kind: model.EntryMachine, Machine: c.replica.model.NextMachine,
		Info: &model.MachineInfo{Name: name, Addr: name + ":1", Type: "small", Zone: "a"}}
	if err := c.replica.model.Apply(e, 1, c.now()); err != nil {
		t.Fatal(err)
	}
	return c.replica.model.MachinesByName[name]
}

// TestRetentionOfLargeFleet checks that a controller that cannot reach the leader retains each agent for firstRetention
// after the agent's first contact and then redirects it, that it keeps an entry for each agent of a fleet of any size
// until then, and that it has deleted the entries two minutes later.
func TestRetentionOfLargeFleet(t *testing.T) {
	for _, fleet := range largeFleets {
		t.Run(fmt.Sprint(fleet), func(t *testing.T) {
			withIdleController(t, 2500, func(c *Controller) {
				countRedirected := func() (redirected int) {
					for i := range fleet {
						if !c.keepalives.retainsAgent(hostName(i), false) {
							redirected++
						}
					}
					return redirected
				}
				countRedirected() // this is the first contact of each agent
				c.runMaintenance()
				time.Sleep(firstRetention + time.Second)
				c.runMaintenance()
				if redirected := countRedirected(); redirected != fleet {
					t.Errorf("%d of %d agents were redirected, want all", redirected, fleet)
				}
				time.Sleep(2 * time.Minute)
				c.runMaintenance()
				if entries := len(c.keepalives.noRedirectUntil); entries != 0 {
					t.Errorf("%d entries are left, want none", entries)
				}
			})
		})
	}
}

// TestRetentionOfUnknownNamesBounded checks that the number of entries of retained agents stays bounded if heartbeats
// arrive under many names that no machine has.
func TestRetentionOfUnknownNamesBounded(t *testing.T) {
	withIdleController(t, 2500, func(c *Controller) {
		for i := range 200_000 {
			c.keepalives.retainsAgent(fmt.Sprint("made-up-", i), false)
			if i%1000 == 0 {
				c.runMaintenance()
			}
		}
		if entries := len(c.keepalives.noRedirectUntil); entries > maxNoRedirectEntries+1000 {
			t.Errorf("%d entries are left, want at most %d", entries, maxNoRedirectEntries+1000)
		}
	})
}

// TestClearedMachinesOfLargeFleet checks that every machine of a large fleet whose last heartbeat showed no task of a
// cancelled job any more is listed as cleared until that heartbeat is too old to be reported, and is removed from the
// list afterwards.
func TestClearedMachinesOfLargeFleet(t *testing.T) {
	for _, fleet := range largeFleets {
		t.Run(fmt.Sprint(fleet), func(t *testing.T) {
			withIdleController(t, 2500, func(c *Controller) {
				placeAndCancel(t, c, fleet)
				for _, machine := range c.replica.model.MachinesInOrder {
					c.keepalives.renewAsFollower(&wire.Heartbeat{
						Machine: machine.Info.Name, AgentEpoch: 1, FencingToken: 1,
					})
				}
				c.runMaintenance()
				listed := 0
				encoded := c.keepalives.clearedMachines.encode(c.replica.model, time.Now(), 1<<20)
				for r := (&codec.Reader{Data: encoded}); len(r.Data) > 0; listed++ {
					r.Uint()
				}
				if listed != fleet {
					t.Errorf("%d of %d machines are listed as cleared, want all", listed, fleet)
				}
				time.Sleep(2*partitionReportInterval + sweepInterval)
				c.runMaintenance()
				if entries := len(c.keepalives.clearedMachines); entries != 0 {
					t.Errorf("%d entries are left, want none", entries)
				}
			})
		})
	}
}

// placeAndCancel adds a cancelled job to a controller's model, with one task on each of the given number of machines.
func placeAndCancel(t *testing.T, c *Controller, machines int) {
	t.Helper()
	job := &wire.JobSpec{ID: wire.JobID(1), Class: "c", Team: "guest", Shape: wire.Array, Priority: wire.Low,
		Tasks: machines, CPUs: 1, MemoryGB: 1, Image: "i", ImageGB: 1}
	entries := []*model.Entry{model.NewAcceptance(job, 0)}
	for i := range machines {
		machine := addMachine(t, c, hostName(i))
		entries = append(entries,
			&model.Entry{Kind: model.EntryPlace, Job: 1, Task: int32(i), Attempt: 1, Machine: machine.ID})
	}
	entries = append(entries, &model.Entry{Kind: model.EntryCancel, Job: 1})
	for _, e := range entries {
		if err := c.replica.model.Apply(e, 2, c.now()); err != nil {
			t.Fatal(err)
		}
	}
}

// TestSilentZoneDoesNotDelayProbes checks that a machine that cannot reach the controllers but answers probes is
// probed, and therefore not released, while all machines of another zone are silent and are probed repeatedly.
func TestSilentZoneDoesNotDelayProbes(t *testing.T) {
	defer func(saved int) { maxSilentProbes = saved }(maxSilentProbes)
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
			t.Fatalf("%d machines of zone b hang, want at least 10; %d of zone a are partitioned, want 2",
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
			t.Errorf("%d of 2 machines that answer probes were released, want none", 2-left)
		}
		time.Sleep(90 * time.Second)
	})
}

// TestProbeConcurrencyByMaxSockets checks that the number of suspect machines that are probed concurrently grows with
// the socket limit. An unanswered probe occupies its slot for more than a second.
func TestProbeConcurrencyByMaxSockets(t *testing.T) {
	for sockets, atLeast := range map[int]int{800: 32, 3526: 100, 8000: 240} {
		t.Run(fmt.Sprint(sockets), func(t *testing.T) {
			withIdleController(t, sockets, func(c *Controller) {
				ctx, stop := context.WithCancel(c.ctx)
				defer stop()
				c.term.ownTerm = &leaderTerm{
					ctx: ctx, assignments: relayAssignmentsTerm{table: relay.NewTable(1)},
				}
				probed := 0
				for i := range 400 {
					if c.probes.probeMachine(addMachine(t, c, fmt.Sprint("host-", i)), func() {}) {
						probed++
					}
				}
				if probed < atLeast {
					t.Errorf("%d of 400 machines are probed concurrently, want at least %d", probed, atLeast)
				}
				for range probed {
					(<-c.loop.workQueue)()
				}
			})
		})
	}
}

// TestConnectionsStayBelowMaxSockets checks that the connections that a controller may have open to agents, as a leader
// or as a relay, leave enough sockets for the store, the cloud and the other controllers. With fewer than 1,250
// sockets, the minimum numbers of probes may exceed the limit; idle connections to agents are then closed first.
func TestConnectionsStayBelowMaxSockets(t *testing.T) {
	const others = 8 + 4 + 4*4 // sockets for the store, for the cloud, and for other controllers and operators
	for _, sockets := range []int{1250, 1500, 2500, 2680, 3526, 8000} {
		for zones := 1; zones <= 3; zones++ {
			withIdleController(t, sockets, func(c *Controller) {
				toAgents := sockets / 3
				probes := zones*zoneProbeLimit(sockets, zones) + 2*c.probes.maxFollowUpProbes
				asLeader := c.connLimiter.MaxConns + max(toAgents, toAgents/2+probes)
				asRelay := c.connLimiter.MaxConns + max(toAgents, toAgents/2+cap(c.relay.state.probes))
				if needed := max(asLeader, asRelay) + others; needed > sockets {
					t.Errorf("%d zones: %d sockets needed, want at most %d", zones, needed, sockets)
				}
			})
		}
	}
}

// TestRelaySlotsByMaxSockets checks how many heartbeats and how many commands a relay can handle concurrently with a
// given limit on open sockets: at least 256 of each with 800 sockets. With 3,526 or 8,000 sockets, the slots must
// suffice for the heartbeats that a third of 4,000 or 10,000 machines send while the leader takes two thirds of a
// second to answer, and for as many commands.
func TestRelaySlotsByMaxSockets(t *testing.T) {
	for sockets, atLeast := range map[int]int{800: 256, 3526: 1000, 8000: 2400} {
		withIdleController(t, sockets, func(c *Controller) {
			state := c.relay.state
			for kind, free := range map[string]slots{"heartbeats": state.reports, "commands": state.commands} {
				acquired := 0
				for free.tryAcquire() {
					acquired++
				}
				if acquired < atLeast {
					t.Errorf("%d sockets: slots for %d concurrent %s, want at least %d",
						sockets, acquired, kind, atLeast)
				}
			}
		})
	}
}

// TestSlowMachineListing checks that a silent machine missing from the cloud's machine listing is released only if it
// has been known for longer than reading the listing took. If the listing was read quickly, a fixed minimum time
// applies instead.
func TestSlowMachineListing(t *testing.T) {
	runCluster(t, 92, func(w *emulator.Environment) {
		startServices(w, 3)
		c := nodeAt(findLeader())
		releasedAfter := func(elapsed time.Duration) (released bool) {
			c.loop.postAndWait(func() {
				var rows []wire.ListedMachine
				youngest := c.replica.model.MachinesInOrder[len(c.replica.model.MachinesInOrder)-1]
				for _, machine := range c.replica.model.MachinesInOrder {
					if machine != youngest {
						rows = append(rows, wire.ListedMachine{Name: machine.Info.Name, State: wire.MachineRunning})
					}
				}
				youngest.Contact.KnownSince, youngest.Contact.LastReport = c.now()-25*time.Second, c.now()-6*time.Second
				c.provisioning.onOwnProvisionerResult(
					c.term.ownTerm,
					&provisioner.Result{Kind: provisioner.MachinesListed, Listing: rows, Elapsed: elapsed},
				)
				released = youngest.Releasing
				youngest.Contact.LastReport = c.now()
			})
			return released
		}
		if releasedAfter(30 * time.Second) {
			t.Error("machine known for 25 s and missing from a listing read in 30 s was released, want it kept")
		}
		if !releasedAfter(time.Second) {
			t.Error("machine known for 25 s and missing from a listing read in 1 s was kept, want it released")
		}
		time.Sleep(20 * time.Second)
	})
}
