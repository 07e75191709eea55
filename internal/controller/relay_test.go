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

// withRelays runs f in a world whose workers are spread over three controllers, with a service on each of twelve machines.
func withRelays(t *testing.T, seed uint64, f func(w *emulator.World)) {
	usual := *relayOver
	defer func() { *relayOver = usual }()
	*relayOver = 2
	inWorld(t, seed, func(w *emulator.World) {
		time.Sleep(6 * time.Second)
		onePerMachine(w)
		time.Sleep(40 * time.Second)
		f(w)
	})
}

// onePerMachine submits twelve services of a replica that has a machine for itself.
func onePerMachine(w *emulator.World) {
	for n := 1; n <= 12; n++ {
		s := web(n, 3, "small")
		if n > 8 {
			s.CPUs, s.MemoryGB, s.Types, s.Team = 5, 60, []string{"large"}, "blue"
		}
		w.Submit(s)
	}
}

// counts is how many workers report through each node, the leader first, as the leader sees it.
func counts(n *Node) (c []int) {
	n.ask(func() { c = append(c, n.role.seats.Counts()...) })
	return c
}

// sameSessions demands that no worker's lease ran out and no task was started anew meanwhile.
func sameSessions(t *testing.T, w *emulator.World, starts int, what string) {
	t.Helper()
	if k := w.Referee.Starts() - starts; k != 0 {
		t.Errorf("%s: %d tasks were started anew", what, k)
	}
	for _, wk := range w.Cloud.Up() {
		if r := wk.Sent(); r != nil && r.Session != 1 {
			t.Errorf("%s: the lease of %s ran out", what, r.Machine)
		}
	}
}

// TestRelays: workers are spread evenly; nothing is started anew and no lease runs out while the leader ends, a relay ends, any node
// loses the workers, a relay loses the leader or all of the others, or the leader stands still; and work goes on to be started.
func TestRelays(t *testing.T) {
	n := 100
	for name, trouble := range map[string]func(w *emulator.World, lead int) (end func()){
		"leader ends": func(w *emulator.World, lead int) func() { w.Restart(lead, 300*time.Millisecond); return func() {} },
		"relay ends":  func(w *emulator.World, lead int) func() { w.Restart((lead+1)%3, 2*time.Second); return func() {} },
		"leader loses workers": func(w *emulator.World, lead int) func() {
			cutWorkers(w, lead, true)
			return func() { cutWorkers(w, lead, false) }
		},
		"relay loses workers": func(w *emulator.World, lead int) func() {
			cutWorkers(w, (lead+1)%3, true)
			return func() { cutWorkers(w, (lead+1)%3, false) }
		},
		"relay loses the leader": func(w *emulator.World, lead int) func() {
			w.CutNode(lead, (lead+1)%3, true)
			return func() { w.CutNode(lead, (lead+1)%3, false) }
		},
		"relay loses state and peers": func(w *emulator.World, lead int) func() {
			w.Island((lead+1)%3, true)
			return func() { w.Island((lead+1)%3, false) }
		},
		"leader stands still": func(w *emulator.World, lead int) func() { freeze(w, lead, 10*time.Second); return func() {} },
	} {
		t.Run(name, func(t *testing.T) {
			withRelays(t, 61, func(w *emulator.World) {
				lead := leaderOf()
				if c := counts(nodeAt(lead)); slices.Min(c) < 3 || slices.Max(c) > 10 {
					t.Errorf("workers by node: %v", c)
				}
				starts := w.Referee.Starts()
				end := trouble(w, lead)
				time.Sleep(15 * time.Second)
				sameSessions(t, w, starts, name)
				n++
				job := spec(n, wire.Array, 4, 3)
				job.CPUs, job.Team = 0.25, "guest"
				w.Submit(job)
				waitFor(t, w, job.ID, wire.JobDone, 30*time.Second)
				end()
				starts = w.Referee.Starts()
				time.Sleep(30 * time.Second)
				sameSessions(t, w, starts, name+", after its end")
			})
		})
	}
}

// TestRelayKeepsLeases: a leader that is too late to answer reports, for several leases, costs no worker its lease, because relays
// answer by themselves; before the bound for what they can't know of, and stops of cancelled jobs included.
func TestRelayKeepsLeases(t *testing.T) {
	withRelays(t, 62, func(w *emulator.World) {
		lead := leaderOf()
		leader := nodeAt(lead)
		starts := w.Referee.Starts()
		for began := time.Now(); time.Since(began) < 80*time.Second; time.Sleep(100 * time.Millisecond) {
			if leaderOf() != lead {
				t.Error("the leader was replaced: nothing is tested")
				break
			}
			leader.post(func() { time.Sleep(2300 * time.Millisecond) })
		}
		kept := uint64(0)
		for i := range 3 {
			kept += nodeAt(i).stats.Kept.Get()
		}
		if kept < 10 {
			t.Errorf("relays answered %d reports by themselves: nothing is tested", kept)
		}
		time.Sleep(20 * time.Second)
		sameSessions(t, w, starts, "late leader")
	})
}

// TestRelayDecidesNothing: a relay that can't reach the log renews no longer than any node may, and what asks a node that does not
// lead to take a report is told so.
func TestRelayDecidesNothing(t *testing.T) {
	withRelays(t, 63, func(w *emulator.World) {
		lead := leaderOf()
		other := nodeAt((lead + 1) % 3)
		rep := w.Cloud.Up()[0].Sent()
		call := &rpc.Call{Op: rpc.OpReport, ID: emulator.NodeName((lead + 2) % 3), Body: relay.AppendReport(nil, rep)}
		if a := other.answerPeer(context.Background(), call); a.Status != statusNotLeader {
			t.Errorf("a node that does not lead answers a relayed report with %d", a.Status)
		}
		call.Body = call.Body[1:]
		if a := nodeAt(lead).answerPeer(context.Background(), call); a.Status != http.StatusBadRequest {
			t.Errorf("a malformed report is answered with %d", a.Status)
		}
		w.Island((lead+1)%3, true)
		time.Sleep(other.set.KeepBound() + 2*time.Second)
		if a := other.keepRelayed(context.Background(), rep); a.Status == http.StatusOK {
			t.Error("a lease is renewed for longer than a cancellation leaves")
		}
		w.Island((lead+1)%3, false)
		time.Sleep(30 * time.Second)
	})
}

// TestMixedCell: a node of an older version, which knows no relays, is sent no workers and gets the leader's as before.
func TestMixedCell(t *testing.T) {
	withRelays(t, 64, func(w *emulator.World) {
		lead := leaderOf()
		old := nodeAt((lead + 1) % 3)
		old.ask(func() { old.relaying.offersNothing = true })
		time.Sleep(40 * time.Second)
		c := counts(nodeAt(lead))
		if i := nodeAt(lead).memberIndex(old.set.Node); c[i] != 0 {
			t.Errorf("workers by node: %v, the older one is %d", c, i)
		}
		sameSessions(t, w, w.Referee.Starts(), fmt.Sprint("mixed ", c))
	})
}

// TestFateThroughRelay: what the leader concludes of a command that a relay was to send: only what surely was not sent counts as
// not sent, since another copy of it may be executed at any later time.
func TestFateThroughRelay(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, stop := context.WithCancel(t.Context())
		network := emulator.NewNetwork()
		ln, err := network.Host("relay").Listen("10.0.0.9:81")
		if err != nil {
			t.Fatal(err)
		}
		hang := make(chan struct{})
		handler := func(ctx context.Context, c *rpc.Call) *rpc.Reply {
			if c.Op == rpc.OpPing {
				return &rpc.Reply{Status: http.StatusOK}
			}
			switch c.ID {
			case "executed":
				return &rpc.Reply{Status: http.StatusOK, Body: relay.Outcome{Fate: uint8(agent.Executed), Report: &wire.Report{Machine: "m"}}.Append(nil)}
			case "unanswered":
				return &rpc.Reply{Status: http.StatusOK, Body: relay.Outcome{Fate: uint8(agent.Unknown)}.Append(nil)}
			case "busy":
				return &rpc.Reply{Status: statusBusy}
			case "malformed":
				return &rpc.Reply{Status: http.StatusOK, Body: []byte{9}}
			case "older":
				return &rpc.Reply{Status: http.StatusNotImplemented}
			}
			<-hang
			return &rpc.Reply{Status: http.StatusOK}
		}
		go func() { _ = rpc.Serve(ctx, ln, handler, &rpc.Traffic{}, slog.New(slog.DiscardHandler)) }()
		link := rpc.NewLink(network.Host("leader"), "relay", "10.0.0.9:81", slog.New(slog.DiscardHandler))
		n := &Node{}
		fate := func(id string) agent.Fate {
			f, _, _ := n.sendOrders(ctx, link, id, &wire.Orders{})
			return f
		}
		if f := fate("executed"); f != agent.Unsent {
			t.Errorf("without a connection: %d", f)
		}
		go link.Run(ctx)
		time.Sleep(time.Second)
		for id, want := range map[string]agent.Fate{"executed": agent.Executed, "unanswered": agent.Unknown, "busy": agent.Unsent,
			"malformed": agent.Unknown, "older": agent.Unsent, "hangs": agent.Unknown} {
			if f := fate(id); f != want {
				t.Errorf("%s: %d, want %d", id, f, want)
			}
		}
		go func() {
			time.Sleep(time.Second)
			ln.Close()
			network.Host("relay").End()
		}()
		if f := fate("lost"); f != agent.Unknown {
			t.Errorf("with the connection lost: %d", f)
		}
		close(hang)
		stop()
		time.Sleep(10 * time.Second)
	})
}
