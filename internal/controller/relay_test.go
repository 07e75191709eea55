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
	"fieldhill/internal/emulator"
	"fieldhill/internal/platform/agent"
	"fieldhill/internal/rpc"
	"fieldhill/wire"
)

// withRelays runs f in a world whose workers are spread over three controllers, with a service on each of twelve
// machines.
func withRelays(t *testing.T, seed uint64, f func(w *emulator.Environment)) {
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

// submitOnePerMachine submits twelve services of a replica that has a machine for itself.
func submitOnePerMachine(w *emulator.Environment) {
	for n := 1; n <= 12; n++ {
		s := newWebService(n, 3, "small")
		if n > 8 {
			s.CPUs, s.MemoryGB, s.Types, s.Team = 5, 60, []string{"large"}, "blue"
		}
		w.Submit(s)
	}
}

// workersPerNode is how many workers report through each node, the leader first, as the leader sees it.
func workersPerNode(leader *Controller) (perNode []int) {
	leader.loop.postAndWait(func() { perNode = append(perNode, leader.term.ownTerm.assignments.table.Counts()...) })
	return perNode
}

// TestRelayFaults: workers are spread evenly; nothing is started anew and no lease runs out while the leader ends, a
// relay ends, any node loses the workers, a relay loses the leader or all of the others, or the leader stands still;
// and work goes on to be started.
func TestRelayFaults(t *testing.T) {
	n := 100
	for name, begin := range map[string]func(w *emulator.Environment, leaderIndex int) (end func()){
		"leader ends": func(w *emulator.Environment, leaderIndex int) func() {
			w.Restart(leaderIndex, 300*time.Millisecond)
			return func() {}
		},
		"relay ends": func(w *emulator.Environment, leaderIndex int) func() {
			w.Restart((leaderIndex+1)%3, 2*time.Second)
			return func() {}
		},
		"leader loses workers": func(w *emulator.Environment, leaderIndex int) func() {
			partitionWorkers(w, leaderIndex, true)
			return func() { partitionWorkers(w, leaderIndex, false) }
		},
		"relay loses workers": func(w *emulator.Environment, leaderIndex int) func() {
			partitionWorkers(w, (leaderIndex+1)%3, true)
			return func() { partitionWorkers(w, (leaderIndex+1)%3, false) }
		},
		"relay loses the leader": func(w *emulator.Environment, leaderIndex int) func() {
			w.PartitionControllers(leaderIndex, (leaderIndex+1)%3, true)
			return func() { w.PartitionControllers(leaderIndex, (leaderIndex+1)%3, false) }
		},
		"relay loses state and peers": func(w *emulator.Environment, leaderIndex int) func() {
			w.PartitionFromStoreAndPeers((leaderIndex+1)%3, true)
			return func() { w.PartitionFromStoreAndPeers((leaderIndex+1)%3, false) }
		},
		"leader stands still": func(w *emulator.Environment, leaderIndex int) func() {
			freeze(w, leaderIndex, 10*time.Second)
			return func() {}
		},
	} {
		t.Run(name, func(t *testing.T) {
			withRelays(t, 61, func(w *emulator.Environment) {
				leaderIndex := findLeader()
				if c := workersPerNode(nodeAt(leaderIndex)); slices.Min(c) < 3 || slices.Max(c) > 10 {
					t.Errorf("workers by node: %v", c)
				}
				starts := w.Checker.Starts()
				end := begin(w, leaderIndex)
				time.Sleep(15 * time.Second)
				checkSessionsUnchanged(t, w, starts, name)
				n++
				job := newJobSpec(n, wire.Array, 4, 3)
				job.CPUs, job.Team = 0.25, "guest"
				w.Submit(job)
				waitState(t, w, job.ID, wire.JobDone, 30*time.Second)
				end()
				starts = w.Checker.Starts()
				time.Sleep(30 * time.Second)
				checkSessionsUnchanged(t, w, starts, name+", after its end")
			})
		})
	}
}

// TestRelayRenewsLeases: a leader that is too late to answer reports, for several leases, costs no worker its lease,
// because relays answer by themselves; before the bound for what they can't know of, and stops of cancelled jobs
// included.
func TestRelayRenewsLeases(t *testing.T) {
	withRelays(t, 62, func(w *emulator.Environment) {
		leaderIndex := findLeader()
		leader := nodeAt(leaderIndex)
		starts := w.Checker.Starts()
		for began := time.Now(); time.Since(began) < 80*time.Second; time.Sleep(100 * time.Millisecond) {
			if findLeader() != leaderIndex {
				t.Error("the leader was replaced: nothing is tested")
				break
			}
			leader.loop.post(func() { time.Sleep(2300 * time.Millisecond) })
		}
		renewed := uint64(0)
		for i := range 3 {
			renewed += nodeAt(i).metrics.AnsweredLocally.Get()
		}
		if renewed < 10 {
			t.Errorf("relays answered %d reports by themselves: nothing is tested", renewed)
		}
		time.Sleep(20 * time.Second)
		checkSessionsUnchanged(t, w, starts, "late leader")
	})
}

// TestRelayRenewalBound: a relay that can't reach the log renews no longer than any node may, and what asks a node
// that does not lead to take a report is told so.
func TestRelayRenewalBound(t *testing.T) {
	withRelays(t, 63, func(w *emulator.Environment) {
		leaderIndex := findLeader()
		other := nodeAt((leaderIndex + 1) % 3)
		report := w.Cloud.Workers()[0].LastHeartbeat()
		request := &rpc.Request{
			Op:   rpc.OpRelayReport,
			ID:   emulator.ControllerName((leaderIndex + 2) % 3),
			Body: relay.AppendReport(nil, report),
		}
		if reply := other.handlePeerRequest(context.Background(), request); reply.Status != statusNotLeader {
			t.Errorf("a node that does not lead answers a relayed report with %d", reply.Status)
		}
		request.Body = request.Body[1:]
		if reply := nodeAt(
			leaderIndex,
		).handlePeerRequest(context.Background(), request); reply.Status != http.StatusBadRequest {
			t.Errorf("a malformed report is answered with %d", reply.Status)
		}
		w.PartitionFromStoreAndPeers((leaderIndex+1)%3, true)
		time.Sleep(other.settings.StaleRenewalLimit() + 2*time.Second)
		if reply := other.heartbeatRouter.renewRelayed(context.Background(), report); reply.Status == http.StatusOK {
			t.Error("a lease is renewed for longer than a cancellation leaves")
		}
		w.PartitionFromStoreAndPeers((leaderIndex+1)%3, false)
		time.Sleep(30 * time.Second)
	})
}

// TestMixedVersions: a node of an older version, which knows no relays, is sent no workers and gets the leader's as
// before.
func TestMixedVersions(t *testing.T) {
	withRelays(t, 64, func(w *emulator.Environment) {
		leaderIndex := findLeader()
		old := nodeAt((leaderIndex + 1) % 3)
		old.loop.postAndWait(func() { old.relay.state.neverOffers = true })
		time.Sleep(40 * time.Second)
		perNode := workersPerNode(nodeAt(leaderIndex))
		if i := nodeAt(leaderIndex).assignments.memberIndex(old.settings.Node); perNode[i] != 0 {
			t.Errorf("workers by node: %v, the older one is %d", perNode, i)
		}
		checkSessionsUnchanged(t, w, w.Checker.Starts(), fmt.Sprint("mixed ", perNode))
	})
}

// TestCommandOutcomeThroughRelay: what the leader concludes of a command that a relay was to send: only what surely
// was not sent counts as not sent, since another copy of it may be executed at any later time.
func TestCommandOutcomeThroughRelay(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, stop := context.WithCancel(t.Context())
		network := emulator.NewNetwork()
		ln, err := network.Host("relay").Listen("10.0.0.9:81")
		if err != nil {
			t.Fatal(err)
		}
		hang := make(chan struct{})
		handler := func(ctx context.Context, request *rpc.Request) *rpc.Response {
			if request.Op == rpc.OpPing {
				return &rpc.Response{Status: http.StatusOK}
			}
			switch request.ID {
			case "executed":
				return &rpc.Response{
					Status: http.StatusOK,
					Body: relay.CommandResult{
						Fate:   uint8(agent.Executed),
						Report: &wire.Heartbeat{Machine: "m"},
					}.Append(
						nil,
					),
				}
			case "unanswered":
				return &rpc.Response{
					Status: http.StatusOK,
					Body:   relay.CommandResult{Fate: uint8(agent.Unknown)}.Append(nil),
				}
			case "busy":
				return &rpc.Response{Status: statusBusy}
			case "malformed":
				return &rpc.Response{Status: http.StatusOK, Body: []byte{9}}
			case "older":
				return &rpc.Response{Status: http.StatusNotImplemented}
			}
			<-hang
			return &rpc.Response{Status: http.StatusOK}
		}
		go func() { _ = rpc.Serve(ctx, ln, handler, &rpc.Traffic{}, slog.New(slog.DiscardHandler)) }()
		link := rpc.NewLink(network.Host("leader"), "relay", "10.0.0.9:81", slog.New(slog.DiscardHandler))
		node := &Controller{}
		fate := func(id string) agent.CommandFate {
			f, _, _ := node.assignments.sendOrders(ctx, link, id, &wire.Orders{})
			return f
		}
		if f := fate("executed"); f != agent.Unsent {
			t.Errorf("without a connection: %d", f)
		}
		go link.Run(ctx)
		time.Sleep(time.Second)
		for id, want := range map[string]agent.CommandFate{"executed": agent.Executed, "unanswered": agent.Unknown, "busy": agent.Unsent,
			"malformed": agent.Unknown, "older": agent.Unsent, "hangs": agent.Unknown} {
			if f := fate(id); f != want {
				t.Errorf("%s: %d, want %d", id, f, want)
			}
		}
		go func() {
			time.Sleep(time.Second)
			ln.Close()
			network.Host("relay").Terminate()
		}()
		if f := fate("lost"); f != agent.Unknown {
			t.Errorf("with the connection lost: %d", f)
		}
		close(hang)
		stop()
		time.Sleep(10 * time.Second)
	})
}
