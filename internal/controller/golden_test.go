package controller

import (
	"bytes"
	"context"
	"fmt"
	"log/slog"
	"maps"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"fieldhill/internal/adminapi"
	"fieldhill/internal/codec"
	"fieldhill/internal/config"
	"fieldhill/internal/emulator"
	"fieldhill/internal/golden"
	"fieldhill/internal/model"
	"fieldhill/internal/platform/agent"
	"fieldhill/internal/replication/oplog"
	"fieldhill/internal/replication/singleton"
	"fieldhill/internal/rpc"
	"fieldhill/internal/scheduling/provisioner"
	"fieldhill/wire"
)

// TestGoldenCleared: the list of cleared machines that a node puts into the state service is written and read as it
// always was.
func TestGoldenCleared(t *testing.T) {
	now, settings := time.Now(), emulator.DefaultParams()
	m, all := model.New(&settings), clearedMachines{}
	want := map[model.MachineID]bool{1: true, 127: true, 128: true, 300_000: true}
	for i, id := range slices.Sorted(maps.Keys(want)) {
		job := model.JobID(i + 1)
		machine := &model.MachineInfo{Name: fmt.Sprint("host-", id), Type: "small", Zone: "a"}
		for _, e := range []*model.Entry{
			{Kind: model.EntryMachine, Machine: id, Info: machine},
			model.Accepted(&wire.JobSpec{ID: wire.JobID(uint64(job)), Tasks: 1}, 0),
			{Kind: model.EntryPlace, Job: job, Attempt: 1, Machine: id},
			{Kind: model.EntryCancel, Job: job},
		} {
			if err := m.Apply(e, 1, 0); err != nil {
				t.Fatal(err)
			}
		}
		all[id] = now
	}
	golden.Check(t, "cleared.hex", all.encode(m, now, 1000))
	if got := decodeCleared(&oplog.PartitionedNode{Data: golden.Read(t, "cleared.hex")}); !maps.Equal(got, want) {
		t.Errorf("read as %v", got)
	}
	golden.FlipFinds(t, "cleared.hex", func(b []byte) (again []byte, err error) {
		for _, id := range slices.Sorted(maps.Keys(decodeCleared(&oplog.PartitionedNode{Data: b}))) {
			again = codec.Uint(again, uint64(id))
		}
		return again, nil
	})
}

// TestGoldenFates: the fates of direct commands go between controllers by number.
func TestGoldenFates(t *testing.T) {
	for number, fate := range []agent.CommandFate{agent.Executed, agent.Refused, agent.Unsent, agent.Unknown} {
		if int(fate) != number {
			t.Errorf("fate %d has number %d", number, fate)
		}
	}
}

// calling is a node whose loop takes work, and the calls that the other one, which it takes for the leader, got.
type calling struct {
	*Controller
	to    *rpc.Link
	calls chan *rpc.Request
}

// inCall runs f with such a node.
func inCall(t *testing.T, f func(ctx context.Context, c *calling)) {
	synctest.Test(t, func(t *testing.T) {
		network, quiet := emulator.NewNetwork(), slog.New(slog.DiscardHandler)
		set := &config.Settings{Params: emulator.DefaultParams(), Node: "n0",
			Members: []config.Member{{Node: "n1", Addr: "10.0.0.2:81"}}}
		ctx, stop := context.WithCancel(context.Background())
		c := &calling{
			Controller: New(network.Host("n0"), set, Options{SingletonRoles: true}, quiet),
			calls:      make(chan *rpc.Request, 100),
		}
		c.Controller.ctx, c.to = ctx, c.links["n1"]
		ln, err := network.Host("n1").Listen(set.Members[0].Addr)
		if err != nil {
			t.Fatal(err)
		}
		answer := func(_ context.Context, call *rpc.Request) *rpc.Response {
			if call.Op != rpc.OpPing {
				c.calls <- call
			}
			return &rpc.Response{Status: http.StatusOK}
		}
		go func() { _ = rpc.Serve(ctx, ln, answer, &rpc.Traffic{}, quiet) }()
		go c.to.Run(ctx)
		go func() {
			for {
				select {
				case work := <-c.loop.workQueue:
					work()
				case request := <-c.loop.requestQueue:
					request.run()
				case <-ctx.Done():
					return
				}
			}
		}()
		time.Sleep(time.Second)
		c.term.leader, c.replica.loaded = &oplog.Leader{Node: "n1"}, true
		c.forward.routing.Store(&routingView{leader: "n1"})
		f(ctx, c)
		stop()
		time.Sleep(time.Minute)
	})
}

// TestGoldenCalls: each operation is asked of another controller in the same words as ever, and what was always asked
// is understood: the file has, for each call, its number, ID and body, and the status by which this node, which has no
// lead, answers it. A body that is cut short is answered as malformed.
func TestGoldenCalls(t *testing.T) {
	var all strings.Builder
	inCall(t, func(ctx context.Context, c *calling) {
		report := &wire.Heartbeat{
			Machine:    "host-1",
			Addr:       "10.1.0.1:9",
			AgentEpoch: 1,
			Seq:        2,
			Tasks:      []wire.TaskStatus{},
		}
		hired := &provisioner.Result{
			Kind:     provisioner.ScaledOut,
			ScaleOut: provisioner.ScaleOut{Name: "fh-3-1", Count: 2},
			Machines: []string{"host-1"},
		}
		for _, ask := range []func(){
			func() { c.submissions.Submit(ctx, mustMarshal(t, newJobSpec(7, wire.Array, 1, 1))) },
			func() { c.jobStatus.Status(ctx, "req-000007") },
			func() { c.cancellations.Cancel(ctx, "req-000007") },
			func() { c.explanations.Explain(ctx, "req-000007") },
			func() {
				c.explanations.Queue(ctx, adminapi.Filter{Team: "red", Class: "web", Reason: "limit", Limit: 20})
			},
			func() { c.explanations.Queue(ctx, adminapi.Filter{Limit: 1}) },
			func() { c.roles.publishResult(ctx, c.roles.state.roles[singleton.Provisioning], 300, hired) },
			func() { c.leases.queryZoneRenewals(&leaderTerm{ctx: ctx}, c.to, 0, 0, "a", 300) },
			func() { c.loop.postAndWait(func() { c.replica.caughtUpAt = time.Now(); c.fence.runBarrierRound() }) },
			func() { c.loop.postAndWait(c.relay.maintainRelay) },
			func() {
				c.relay.state.leaderLink.Store(c.to)
				c.relay.state.enabled.Store(true)
				c.heartbeatRouter.forwardReport(ctx, report)
			},
			func() {
				_, _, _ = c.assignments.sendOrders(ctx, c.to, "10.1.0.1:9", &wire.Orders{FencingToken: 1, AgentEpoch: 2,
					Commands: []wire.Command{{Verb: wire.Start, Task: "req-000007.0", Attempt: 1}}})
			},
			func() { _, _ = queryThrough(ctx, c.to, "10.1.0.1:9") },
		} {
			ask()
			time.Sleep(200 * time.Millisecond)
			if len(c.calls) == 0 {
				t.Errorf("nothing was asked after\n%s", all.String())
				continue
			}
			call := <-c.calls
			for len(c.calls) > 0 {
				<-c.calls
			}
			// only a leader reads the filter
			c.forward.routing.Store(&routingView{leader: "n1", leads: call.Op == rpc.OpQueue})
			fmt.Fprintf(&all, "%d %q %x -> %d\n", call.Op, call.ID, call.Body, c.handlePeerRequest(ctx, call).Status)
			switch call.Op {
			case rpc.OpQueue, rpc.OpRoleResult, rpc.OpRenewals, rpc.OpRelayOffer, rpc.OpRelayReport, rpc.OpRelayOrders:
				call.Body = bytes.Clone(call.Body[:len(call.Body)-1])
				fmt.Fprintf(&all, "  cut short -> %d\n", c.handlePeerRequest(ctx, call).Status)
			}
			c.forward.routing.Store(&routingView{leader: "n1"})
		}
	})
	golden.Check(t, "calls.txt", []byte(all.String()))
}

// registerJob makes a job known to the invariant checker and returns its encoded submission, for tests that submit it
// at a controller of their choice or that expect a refusal.
func registerJob(t *testing.T, w *emulator.Environment, s *wire.JobSpec) []byte {
	t.Helper()
	w.Checker.RegisterJob(s)
	return mustMarshal(t, s)
}

// pollEach polls each of several jobs without waiting for the answers, with a probability of one in so many.
func pollEach(w *emulator.Environment, rng *rand.Rand, ids []string, oneIn int) {
	for _, id := range ids {
		if rng.IntN(oneIn) == 0 {
			go w.Request("poll", id, nil)
		}
	}
}

// endedError returns an error unless the answer to a poll reports a final state.
func endedError(id string, code int, status *wire.JobStatus) error {
	if code != http.StatusOK || status.State != wire.JobDone && status.State != wire.JobCancelled {
		return fmt.Errorf("%s: %d %+v", id, code, status)
	}
	return nil
}

// pollEnded returns an error unless a job is reported to be done or cancelled.
func pollEnded(w *emulator.Environment, id string) error {
	code, status := w.Request("poll", id, nil)
	return endedError(id, code, status)
}

// pollEndedOrUnknown returns an error unless a job is reported to be done or cancelled, or was never accepted, which
// the invariant checker verifies.
func pollEndedOrUnknown(w *emulator.Environment, id string) error {
	code, status := w.Request("poll", id, nil)
	if code == http.StatusNotFound {
		return nil
	}
	return endedError(id, code, status)
}
