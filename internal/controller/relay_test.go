package controller

import (
	"context"
	"fmt"
	"log/slog"
	"net/http"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"fieldhill/internal/agents/relay"
	"fieldhill/internal/api"
	"fieldhill/internal/emulator"
	"fieldhill/internal/platform/agent"
	"fieldhill/internal/rpc"
	"fieldhill/wire"
)

// withRelays runs f against a deployment that assigns agents to all three controllers, with a service on each of twelve
// machines.
func withRelays(t *testing.T, seed uint64, f func(w *emulator.Environment)) {
	t.Helper()
	savedThreshold := *relayThreshold
	defer func() { *relayThreshold = savedThreshold }()
	*relayThreshold = 2
	runCluster(t, seed, func(w *emulator.Environment) {
		time.Sleep(6 * time.Second)
		submitOnePerMachine(w)
		time.Sleep(40 * time.Second)
		f(w)
	})
}

// submitOnePerMachine submits twelve single-replica services, each of which needs a machine of its own.
func submitOnePerMachine(w *emulator.Environment) {
	submitServices(w, 1, 8)
	for n := 9; n <= 12; n++ {
		s := newWebService(n, 5, "large")
		s.MemoryGB, s.Team = 60, "blue"
		w.Submit(s)
	}
}

// agentsPerNode returns the number of agents that report through each controller according to the leader's relay table,
// the leader first.
func agentsPerNode(leader *Controller) (perNode []int) {
	leader.loop.postAndWait(func() { perNode = append(perNode, leader.term.ownTerm.assignments.table.Counts()...) })
	return perNode
}

// TestRelayFaults checks that agents are distributed evenly over the controllers. It also checks that no task is
// restarted, no lease expires and new work starts during each of these faults: the leader or a relay restarts, a
// controller is partitioned from the agents, a relay is partitioned from the leader or from the store and all peers, or
// the leader is frozen.
func TestRelayFaults(t *testing.T) {
	n := 100
	for name, begin := range map[string]func(w *emulator.Environment, leader, follower int) (end func()){
		"leader restarted": func(w *emulator.Environment, leader, _ int) func() {
			w.Restart(leader, 300*time.Millisecond)
			return func() {}
		},
		"relay restarted": func(w *emulator.Environment, _, follower int) func() {
			w.Restart(follower, 2*time.Second)
			return func() {}
		},
		"leader partitioned from agents": func(w *emulator.Environment, leader, _ int) func() {
			partitionAgents(w, leader, true)
			return func() { partitionAgents(w, leader, false) }
		},
		"relay partitioned from agents": func(w *emulator.Environment, _, follower int) func() {
			partitionAgents(w, follower, true)
			return func() { partitionAgents(w, follower, false) }
		},
		"relay partitioned from leader": func(w *emulator.Environment, leader, follower int) func() {
			w.PartitionControllers(leader, follower, true)
			return func() { w.PartitionControllers(leader, follower, false) }
		},
		"relay partitioned from store and peers": func(w *emulator.Environment, _, follower int) func() {
			w.PartitionFromStoreAndPeers(follower, true)
			return func() { w.PartitionFromStoreAndPeers(follower, false) }
		},
		"leader frozen": func(w *emulator.Environment, leader, _ int) func() {
			freeze(w, leader, 10*time.Second)
			return func() {}
		},
	} {
		t.Run(name, func(t *testing.T) {
			withRelays(t, 61, func(w *emulator.Environment) {
				leader := findLeader()
				if c := agentsPerNode(nodeAt(leader)); slices.Min(c) < 3 || slices.Max(c) > 10 {
					t.Errorf("agents by node: got %v, want 3 to 10 at each", c)
				}
				starts := w.Checker.Starts()
				end := begin(w, leader, (leader+1)%3)
				time.Sleep(15 * time.Second)
				checkEpochsUnchanged(t, w, starts, name)
				n++
				job := newGuestArray(n, 4, 3)
				job.CPUs = 0.25
				w.Submit(job)
				waitState(t, w, job.ID, wire.JobDone, 30*time.Second)
				end()
				starts = w.Checker.Starts()
				time.Sleep(30 * time.Second)
				checkEpochsUnchanged(t, w, starts, name+", after the fault ended")
			})
		})
	}
}

// TestRelayRenewsLeases checks that no agent loses its lease while the leader is too slow to answer heartbeats for the
// duration of several leases. During that time, the relays renew the leases without the leader, within the stale
// renewal limit. Relays then also send stop commands for the tasks of cancelled jobs, which this test does not check.
func TestRelayRenewsLeases(t *testing.T) {
	withRelays(t, 62, func(w *emulator.Environment) {
		leaderIndex := findLeader()
		leader := nodeAt(leaderIndex)
		starts := w.Checker.Starts()
		for began := time.Now(); time.Since(began) < 80*time.Second; time.Sleep(100 * time.Millisecond) {
			if findLeader() != leaderIndex {
				t.Error("the leader was replaced, want the slow one to stay leader: the slow leader was not tested")
				break
			}
			leader.loop.post(func() { time.Sleep(2300 * time.Millisecond) })
		}
		answered := uint64(0)
		for i := range 3 {
			answered += nodeAt(i).metrics.AnsweredLocally.Get()
		}
		if answered < 10 {
			t.Errorf("relays answered %d heartbeats without the leader, want at least 10: renewal was not tested",
				answered)
		}
		time.Sleep(20 * time.Second)
		checkEpochsUnchanged(t, w, starts, "slow leader")
	})
}

// TestRelayRenewalBound checks that a relay that cannot read the log stops renewing leases after the stale renewal
// limit, as any other controller does. It also checks that a controller that does not lead rejects a relayed heartbeat,
// and that the leader rejects a malformed one.
func TestRelayRenewalBound(t *testing.T) {
	withRelays(t, 63, func(w *emulator.Environment) {
		leader := findLeader()
		relayIndex, third := (leader+1)%3, (leader+2)%3
		node := nodeAt(relayIndex)
		report := w.Cloud.Workers()[0].LastHeartbeat()
		request := &rpc.Request{
			Op:   rpc.OpRelayHeartbeat,
			ID:   emulator.ControllerName(third),
			Body: relay.AppendHeartbeat(nil, report),
		}
		if r := node.handlePeerRequest(context.Background(), request); r.Status != http.StatusGone {
			t.Errorf("node that does not lead answered a relayed heartbeat with status %d, want %d",
				r.Status, http.StatusGone)
		}
		request.Body = request.Body[1:]
		if r := nodeAt(leader).handlePeerRequest(context.Background(), request); r.Status != http.StatusBadRequest {
			t.Errorf("malformed heartbeat was answered with status %d, want %d", r.Status, http.StatusBadRequest)
		}
		w.PartitionFromStoreAndPeers(relayIndex, true)
		time.Sleep(node.settings.StaleRenewalLimit() + 2*time.Second)
		r := api.Respond(node.heartbeatRouter.renewRelayed(context.Background(), report))
		if r.Status == http.StatusOK {
			t.Errorf("heartbeat after the stale renewal limit returned status %d, want a refusal", r.Status)
		}
		w.PartitionFromStoreAndPeers(relayIndex, false)
		time.Sleep(30 * time.Second)
	})
}

// TestMixedVersions checks that the leader assigns no agents to a controller that does not offer to relay, as one of an
// older version does not, and that no agent's lease expires.
func TestMixedVersions(t *testing.T) {
	withRelays(t, 64, func(w *emulator.Environment) {
		leaderIndex := findLeader()
		older := nodeAt((leaderIndex + 1) % 3)
		older.loop.postAndWait(func() { older.relay.state.offersDisabled = true })
		time.Sleep(40 * time.Second)
		perNode := agentsPerNode(nodeAt(leaderIndex))
		if i := nodeAt(leaderIndex).assignments.memberIndex(older.settings.Node); perNode[i] != 0 {
			t.Errorf("agents by node: %v, want none at node %d, which has an older version", perNode, i)
		}
		checkEpochsUnchanged(t, w, w.Checker.Starts(), fmt.Sprint("mixed ", perNode))
	})
}

// relayWithOutcome answers a relayed command with the outcome that the request ID names. For other IDs, it responds
// only when hang is closed.
func relayWithOutcome(request *rpc.Request, hang <-chan struct{}) *rpc.Response {
	if request.Op == rpc.OpPing {
		return &rpc.Response{Status: http.StatusOK}
	}
	switch request.ID {
	case "executed":
		result := relay.CommandResult{Outcome: uint8(agent.Executed), Report: &wire.Heartbeat{Machine: "m"}}
		return &rpc.Response{Status: http.StatusOK, Body: result.Append(nil)}
	case "unanswered":
		result := relay.CommandResult{Outcome: uint8(agent.Unknown)}
		return &rpc.Response{Status: http.StatusOK, Body: result.Append(nil)}
	case "busy":
		return &rpc.Response{Status: statusOverloaded}
	case "malformed":
		return &rpc.Response{Status: http.StatusOK, Body: []byte{9}}
	case "older":
		return &rpc.Response{Status: http.StatusNotImplemented}
	}
	<-hang
	return &rpc.Response{Status: http.StatusOK}
}

// TestCommandOutcomeThroughRelay checks which outcome the leader records for a command that it gave to a relay to send.
// The outcome is unsent only if it is certain that the command was not sent; otherwise the command may still be
// executed at any later time.
func TestCommandOutcomeThroughRelay(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, stop := context.WithCancel(t.Context())
		network, logger := emulator.NewNetwork(), slog.New(slog.DiscardHandler)
		ln, err := network.Host("relay").Listen("10.0.0.9:81")
		if err != nil {
			t.Fatal(err)
		}
		hang := make(chan struct{})
		handler := func(_ context.Context, request *rpc.Request) *rpc.Response {
			return relayWithOutcome(request, hang)
		}
		go func() { _ = rpc.Serve(ctx, ln, handler, &rpc.Traffic{}, logger) }()
		link := rpc.NewLink(network.Host("leader"), "relay", "10.0.0.9:81", logger)
		node := &Controller{}
		outcomeOf := func(id string) agent.CommandOutcome {
			outcome, _, _ := node.assignments.sendCommands(ctx, link, id, &wire.CommandBatch{})
			return outcome
		}
		if outcome := outcomeOf("executed"); outcome != agent.Unsent {
			t.Errorf("without a connection: outcome %d, want unsent", outcome)
		}
		go link.Run(ctx)
		time.Sleep(time.Second)
		for id, want := range map[string]agent.CommandOutcome{
			"executed":   agent.Executed,
			"unanswered": agent.Unknown,
			"busy":       agent.Unsent,
			"malformed":  agent.Unknown,
			"older":      agent.Unsent,
			"hangs":      agent.Unknown,
		} {
			if outcome := outcomeOf(id); outcome != want {
				t.Errorf("%s: outcome %d, want %d", id, outcome, want)
			}
		}
		go func() {
			time.Sleep(time.Second)
			if err := ln.Close(); err != nil {
				t.Error(err)
			}
			network.Host("relay").Terminate()
		}()
		if outcome := outcomeOf("lost"); outcome != agent.Unknown {
			t.Errorf("with the connection lost: outcome %d, want unknown", outcome)
		}
		close(hang)
		stop()
		time.Sleep(10 * time.Second)
	})
}
