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

// TestGoldenClearedMachines checks that the encoding of the list of cleared machines, which controllers write to the
// store, has not changed.
func TestGoldenClearedMachines(t *testing.T) {
	now, settings := time.Now(), emulator.DefaultParams()
	m, all := model.New(&settings), clearedMachines{}
	want := map[model.MachineID]bool{1: true, 127: true, 128: true, 300_000: true}
	for i, id := range slices.Sorted(maps.Keys(want)) {
		job := model.JobID(i + 1)
		machine := &model.MachineInfo{Name: fmt.Sprint("host-", id), Type: "small", Zone: "a"}
		for _, e := range []*model.Entry{
			{Kind: model.EntryMachine, Machine: id, Info: machine},
			model.NewAcceptance(&wire.JobSpec{ID: wire.JobID(uint64(job)), Tasks: 1}, 0),
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
		t.Errorf("decoded %v, want %v", got, want)
	}
	golden.CheckDetectsByteChanges(t, "cleared.hex", func(b []byte) (again []byte, err error) {
		for _, id := range slices.Sorted(maps.Keys(decodeCleared(&oplog.PartitionedNode{Data: b}))) {
			again = codec.Uint(again, uint64(id))
		}
		return again, nil
	})
}

// TestGoldenCommandOutcomes checks the numbers that stand for the command outcomes in messages between controllers.
func TestGoldenCommandOutcomes(t *testing.T) {
	for number, outcome := range []agent.CommandOutcome{agent.Executed, agent.Refused, agent.Unsent, agent.Unknown} {
		if int(outcome) != number {
			t.Errorf("got number %d for a command outcome, want %d", outcome, number)
		}
	}
}

// recordingPeer is a controller that is connected to a single peer and runs the work queued for its event loop, but not
// the loop's periodic work. The peer records the requests that it receives. The controller regards the peer as the
// leader.
type recordingPeer struct {
	*Controller
	link     *rpc.Link
	requests chan *rpc.Request
}

// withRecordingPeer starts a recordingPeer, runs f with it, and stops it.
func withRecordingPeer(t *testing.T, f func(ctx context.Context, c *recordingPeer)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		network, quiet := emulator.NewNetwork(), slog.New(slog.DiscardHandler)
		set := &config.Settings{Params: emulator.DefaultParams(), Node: "n0",
			Members: []config.Member{{Node: "n1", Addr: "10.0.0.2:81"}}}
		ctx, stop := context.WithCancel(context.Background())
		c := &recordingPeer{
			Controller: New(network.Host("n0"), set, Options{SingletonRoles: true}, quiet),
			requests:   make(chan *rpc.Request, 100),
		}
		c.ctx, c.link = ctx, c.links["n1"]
		ln, err := network.Host("n1").Listen(set.Members[0].Addr)
		if err != nil {
			t.Fatal(err)
		}
		record := func(_ context.Context, request *rpc.Request) *rpc.Response {
			if request.Op != rpc.OpPing {
				c.requests <- request
			}
			return &rpc.Response{Status: http.StatusOK}
		}
		go func() { _ = rpc.Serve(ctx, ln, record, &rpc.Traffic{}, quiet) }()
		go c.link.Run(ctx)
		go c.runQueues(ctx)
		time.Sleep(time.Second)
		c.term.leader, c.replica.loaded = &oplog.Leader{Node: "n1"}, true
		c.forward.routing.Store(&routingView{leader: "n1"})
		f(ctx, c)
		stop()
		time.Sleep(time.Minute)
	})
}

// runQueues runs the work queued for the event loop until ctx ends, without the loop's periodic work.
func (c *recordingPeer) runQueues(ctx context.Context) {
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
}

// requestSenders returns functions that each make the controller send one kind of request to its peer, in the order of
// the golden file.
func (c *recordingPeer) requestSenders(ctx context.Context, t *testing.T) []func() {
	t.Helper()
	report := &wire.Heartbeat{
		Machine:    "host-1",
		Addr:       "10.1.0.1:9",
		AgentEpoch: 1,
		Seq:        2,
		Tasks:      []wire.TaskStatus{},
	}
	suspects := renewalQuery{link: c.link, zoneName: "a", suspectSeq: 300}
	scaledOut := &provisioner.Result{
		Kind:     provisioner.ScaledOut,
		ScaleOut: provisioner.ScaleOut{Name: "fh-3-1", Count: 2},
		Machines: []string{"host-1"},
	}
	batch := &wire.CommandBatch{FencingToken: 1, AgentEpoch: 2,
		Commands: []wire.Command{{Verb: wire.VerbStart, Task: "req-000007.0", Attempt: 1}}}
	return []func(){
		func() { c.submissions.Submit(ctx, mustMarshal(t, newJobSpec(7, wire.Array, 1, 1))) },
		func() { c.jobStatus.Status(ctx, "req-000007") },
		func() { c.cancellations.Cancel(ctx, "req-000007") },
		func() { c.explanations.Explain(ctx, "req-000007") },
		func() {
			c.explanations.Queue(ctx, adminapi.Filter{Team: "red", Class: "web", Reason: "limit", Limit: 20})
		},
		func() { c.explanations.Queue(ctx, adminapi.Filter{Limit: 1}) },
		func() { c.roles.publishResult(ctx, c.roles.state.roles[singleton.Provisioning], 300, scaledOut) },
		func() { c.leases.queryZoneRenewals(ctx, &leaderTerm{}, suspects) },
		func() { c.loop.postAndWait(func() { c.replica.caughtUpAt = time.Now(); c.fence.runBarrierRound() }) },
		func() { c.loop.postAndWait(c.relay.maintainRelay) },
		func() {
			c.relay.state.leaderLink.Store(c.link)
			c.relay.state.enabled.Store(true)
			c.heartbeatRouter.forwardReport(ctx, report)
		},
		func() { _, _, _ = c.assignments.sendCommands(ctx, c.link, "10.1.0.1:9", batch) },
		func() { _, _ = probeThroughRelay(ctx, c.link, "10.1.0.1:9") },
	}
}

// TestGoldenPeerRequests checks that the encoding of each request to another controller has not changed, and that
// requests in this encoding are accepted. The golden file lists, for each request, its operation number, ID and body,
// and the status with which this controller responds to the request as a leader if it is a queue request, and as a
// follower otherwise. A truncated body has to be rejected as malformed.
func TestGoldenPeerRequests(t *testing.T) {
	var all strings.Builder
	withRecordingPeer(t, func(ctx context.Context, c *recordingPeer) {
		for _, send := range c.requestSenders(ctx, t) {
			send()
			time.Sleep(200 * time.Millisecond)
			if len(c.requests) == 0 {
				t.Errorf("got no request after these, want one:\n%s", all.String())
				continue
			}
			request := <-c.requests
			for len(c.requests) > 0 {
				<-c.requests
			}
			// Only a leader decodes the filter of a queue request.
			c.forward.routing.Store(&routingView{leader: "n1", leads: request.Op == rpc.OpQueue})
			status := c.handlePeerRequest(ctx, request).Status
			fmt.Fprintf(&all, "%d %q %x -> %d\n", request.Op, request.ID, request.Body, status)
			switch request.Op {
			case rpc.OpQueue, rpc.OpRoleResult, rpc.OpRenewals, rpc.OpRelayOffer, rpc.OpRelayHeartbeat,
				rpc.OpRelayCommands:
				request.Body = bytes.Clone(request.Body[:len(request.Body)-1])
				fmt.Fprintf(&all, "  cut short -> %d\n", c.handlePeerRequest(ctx, request).Status)
			}
			c.forward.routing.Store(&routingView{leader: "n1"})
		}
	})
	golden.Check(t, "calls.txt", []byte(all.String()))
}

// registerJob registers a job with the invariant checker and returns its encoded submission. It is for tests that
// submit the job to a particular controller or expect a refusal.
func registerJob(t *testing.T, w *emulator.Environment, s *wire.JobSpec) []byte {
	t.Helper()
	w.Checker.RegisterJob(s)
	return mustMarshal(t, s)
}

// pollEach polls each job with probability 1/oneIn, without waiting for the answers.
func pollEach(w *emulator.Environment, rng *rand.Rand, ids []string, oneIn int) {
	for _, id := range ids {
		if rng.IntN(oneIn) == 0 {
			go w.Request("poll", id, nil)
		}
	}
}

// endedError returns an error unless a poll of job id, which returned code and status, reports a final state.
func endedError(id string, code int, status *wire.JobStatus) error {
	if code != http.StatusOK || status.State != wire.JobDone && status.State != wire.JobCancelled {
		return fmt.Errorf("job %s: poll returned status %d, %+v; want a final state", id, code, status)
	}
	return nil
}

// pollEnded polls a job and returns an error unless it is done or cancelled.
func pollEnded(w *emulator.Environment, id string) error {
	code, status := w.Request("poll", id, nil)
	return endedError(id, code, status)
}

// pollEndedOrUnknown polls a job and returns an error unless it is done, cancelled or unknown. The invariant checker
// verifies that a job reported as unknown was never accepted.
func pollEndedOrUnknown(w *emulator.Environment, id string) error {
	code, status := w.Request("poll", id, nil)
	if code == http.StatusNotFound {
		return nil
	}
	return endedError(id, code, status)
}
