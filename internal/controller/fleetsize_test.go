package controller

import (
	"context"
	"fmt"
	"log/slog"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"fieldhill/internal/agents/lease"
	"fieldhill/internal/codec"
	"fieldhill/internal/config"
	"fieldhill/internal/emulator"
	"fieldhill/internal/model"
	"fieldhill/internal/platform/kvstore"
	"fieldhill/internal/replication/oplog"
	"fieldhill/internal/replication/singleton"
	"fieldhill/internal/rpc"
	"fieldhill/internal/scheduling/provisioner"
	"fieldhill/wire"
)

// These tests hold bounds on numbers of things against fleets of 4,000 machines and more.

// awaitAnyLeader waits until a node leads, and returns it and one that does not.
func awaitAnyLeader(t *testing.T) (leads, other int) {
	t.Helper()
	for range 200 {
		if i := findLeader(); i >= 0 {
			return i, (i + 1) % 3
		}
		time.Sleep(100 * time.Millisecond)
	}
	t.Error("nobody leads")
	return 0, 1
}

// TestRenewalsOfALargeZone: the leader learns when the leases of a zone of 4,000 machines with names of twenty
// letters were renewed last, and the link to the node that it asks stays.
func TestRenewalsOfALargeZone(t *testing.T) {
	const machines = 4000
	runCluster(t, 61, func(w *emulator.Environment) {
		time.Sleep(6 * time.Second)
		leads, other := awaitAnyLeader(t)
		leader, asked := nodeAt(leads), nodeAt(other)
		name := func(i int) string { return fmt.Sprintf("host-of-a-zone-%05d", i) }
		var suspicion uint64
		asked.loop.postAndWait(func() {
			suspicion = asked.replica.appliedSeq
			for i := range machines {
				entry := &model.Entry{Kind: model.EntryMachine, Machine: model.MachineID(100_000 + i),
					Info: &model.MachineInfo{Name: name(i), Type: "small", Zone: "a"}}
				if err := asked.replica.model.Apply(entry, asked.replica.appliedSeq, asked.now()); err != nil {
					t.Error(err)
				}
				asked.leases.renewals.Renewed(name(i), asked.now()-time.Duration(i)*time.Millisecond)
			}
			_ = asked.replica.model.Apply(
				&model.Entry{Kind: model.EntrySuspect, Machine: 100_000 + machines - 1},
				asked.replica.appliedSeq,
				asked.now(),
			)
		})
		link := leader.links[emulator.ControllerName(other)]
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		call := &rpc.Request{Op: rpc.OpRenewals, ID: "a", Body: codec.Uint(nil, suspicion)}
		a, err := link.Do(ctx, call)
		if err != nil || a.Status != http.StatusOK {
			t.Errorf("the question about a large zone: %+v, %v", a, err)
			return
		}
		word, err := lease.ReadReport(a.Body)
		if err != nil {
			t.Error(err)
			return
		}
		if age := word.RenewalAges[name(machines-1)]; age < (machines-1)*time.Millisecond ||
			age > (machines+1000)*time.Millisecond {
			t.Errorf("the suspect machine was renewed %v ago", age)
		}
		if time.Since(link.LastResponse()) > linkFreshness {
			t.Error("the link is down")
		}
	})
}

// TestQueueThroughAFollower: an operator who asks a follower for as many jobs as may be asked for is told of those
// that fit, and how many more there are, and the follower keeps its leader.
func TestQueueThroughAFollower(t *testing.T) {
	const jobs, run = 500, 6 // the team's limit has room for so many more
	runCluster(t, 62, func(w *emulator.Environment) {
		time.Sleep(6 * time.Second)
		leads, other := awaitAnyLeader(t)
		for i := range jobs + run {
			job := newWebService(i+1, 4)
			job.Class = fmt.Sprintf("%s-%04d", strings.Repeat("class", 10), i)
			if code := w.Submit(job); code != http.StatusOK && code != http.StatusCreated {
				t.Errorf("job %d: %d", i, code)
				return
			}
		}
		time.Sleep(20 * time.Second)
		link := nodeAt(other).links[emulator.ControllerName(leads)]
		for _, node := range []int{leads, other} {
			var q wire.Queue
			code, err := queryAdmin(w, node, wire.PathAdminQueue+fmt.Sprintf("?most=%d", wire.MaxQueued), &q)
			if err != nil || code != http.StatusOK {
				t.Errorf("node %d answers %d, %v", node, code, err)
				continue
			}
			if len(q.Jobs)+q.More != jobs || q.Tasks != jobs || len(q.Jobs) < 100 {
				t.Errorf("node %d lists %d jobs of %d tasks, and %d more", node, len(q.Jobs), q.Tasks, q.More)
			}
			if node == leads && q.More > 0 {
				t.Errorf("the leader itself leaves out %d", q.More)
			}
		}
		if time.Since(link.LastResponse()) > linkFreshness {
			t.Error("the link to the leader is down")
		}
	})
}

// TestWholeListIsTold: who deals with the cloud and does not lead tells the leader of all machines that the log does
// not know, however many. It told of 300 a list.
func TestWholeListIsTold(t *testing.T) {
	const machines = 4000
	synctest.Test(t, func(t *testing.T) {
		ctx, stop := context.WithCancel(t.Context())
		network := emulator.NewNetwork()
		const at = "10.0.0.9:81"
		ln, err := network.Host("leader").Listen(at)
		if err != nil {
			t.Fatal(err)
		}
		told, calls := map[string]bool{}, 0
		handler := func(_ context.Context, c *rpc.Request) *rpc.Response {
			if c.Op != rpc.OpRoleResult {
				return &rpc.Response{Status: http.StatusOK}
			}
			r := codec.Reader{Data: c.Body}
			term := r.Uint()
			o, err := provisioner.ReadResult(r.Data)
			if err != nil || term != 7 || o.Kind != provisioner.MachinesListed {
				t.Errorf("told %d bytes of term %d: %v", len(c.Body), term, err)
				return &rpc.Response{Status: http.StatusBadRequest}
			}
			calls++
			for _, row := range o.Listing {
				told[row.Name] = true
			}
			return &rpc.Response{Status: http.StatusOK}
		}
		go func() { _ = rpc.Serve(ctx, ln, handler, &rpc.Traffic{}, slog.New(slog.DiscardHandler)) }()
		set := &config.Settings{Node: "n2", Zone: "a", Members: []config.Member{{Node: "leader", Zone: "b", Addr: at}}}
		n := New(network.Host("n2"), set, Options{}, slog.New(slog.DiscardHandler))
		n.forward.routing.Store(&routingView{leader: "leader"})
		go n.links["leader"].Run(ctx)
		time.Sleep(time.Second)
		list := make([]wire.ListedMachine, machines)
		for i := range list {
			list[i] = wire.ListedMachine{
				Name:  fmt.Sprintf("host-%06d", i),
				Addr:  "10.1.0.1:1",
				Type:  "small",
				Zone:  "a",
				State: wire.MachineRunning,
			}
		}
		n.roles.publishResult(
			ctx,
			&singleton.Role{},
			7,
			&provisioner.Result{Kind: provisioner.MachinesListed, Listing: list},
		)
		time.Sleep(5 * time.Second)
		synctest.Wait()
		if len(told) != machines {
			t.Errorf("the leader was told of %d of %d machines", len(told), machines)
		}
		before := calls
		n.roles.publishResult(ctx, &singleton.Role{}, 7, &provisioner.Result{Kind: provisioner.MachinesListed})
		time.Sleep(5 * time.Second)
		synctest.Wait()
		if calls != before+1 {
			t.Errorf("an empty list was told %d times", calls-before)
		}
		stop()
		time.Sleep(time.Minute)
	})
}

// TestClearOfManyMachines: the leader learns of 10,000 machines that they came to a node which does not reach it and
// held nothing of a cancelled job. It learnt of 1,997 at values of 8 KiB, and returned the others.
func TestClearOfManyMachines(t *testing.T) {
	const machines, first = 10_000, 20_000 // numbers of three bytes, as those of a fleet that is some weeks old
	synctest.Test(t, func(t *testing.T) {
		ctx, stop := context.WithCancel(t.Context())
		network := emulator.NewNetwork()
		const at = "state:1"
		go emulator.NewKVStore(1).Serve(ctx, network.Host("state"), at)
		time.Sleep(time.Second)
		store := oplog.New(kvstore.New(network.Host("n2"), at, 1000), 20, 8, 12, slog.New(slog.DiscardHandler))
		leader := config.Member{Node: "leader", Zone: "b", Addr: "leader:1"}
		set := &config.Settings{Node: "n2", Zone: "a", Members: []config.Member{leader}}
		n := New(network.Host("n2"), set, Options{}, slog.New(slog.DiscardHandler))
		n.ctx, n.oplog, n.replica.loaded, n.replica.caughtUpAt, n.term.leader = ctx, store, true, time.Now(), &oplog.Leader{
			Node: "leader",
		}
		holdCancelled(t, n, first, machines)
		for _, machine := range n.replica.model.Order {
			n.keepalives.clearedMachines[machine.ID] = time.Now()
		}
		n.zones.reportPartition()
		time.Sleep(time.Second)
		list, err := store.PartitionedNodes(ctx)
		if err != nil || len(list) != 1 {
			t.Errorf("%d records: %v", len(list), err)
		} else {
			clear := decodeCleared(&list[0])
			for _, machine := range n.replica.model.Order {
				if !clear[machine.ID] {
					t.Errorf("machine %d is not among the %d that are clear", machine.ID, len(clear))
					break
				}
			}
		}
		stop()
		time.Sleep(time.Minute)
	})
}

// holdCancelled enters machines into a node's model, each with a task of a job that is cancelled then.
func holdCancelled(t *testing.T, n *Controller, first, machines int) {
	t.Helper()
	apply := func(e *model.Entry) {
		t.Helper()
		if err := n.replica.model.Apply(e, 1, n.now()); err != nil {
			t.Fatal(err)
		}
	}
	small := &wire.MachineType{Name: "small", CPUs: 4, MemoryGB: 16, Zones: []string{"a"}}
	apply(&model.Entry{Kind: model.EntryType, Type: small})
	apply(&model.Entry{Kind: model.EntryAccept, Job: 1, Spec: newJobSpec(1, wire.Array, machines, 60)})
	for i := range machines {
		id := model.MachineID(first + i)
		apply(&model.Entry{Kind: model.EntryMachine, Machine: id,
			Info: &model.MachineInfo{Name: fmt.Sprintf("host-%06d", i), Addr: "10.1.0.1:1", Type: "small", Zone: "a"}})
		apply(&model.Entry{Kind: model.EntryPlace, Job: 1, Task: int32(i), Attempt: 1, Machine: id, Session: 1})
	}
	apply(&model.Entry{Kind: model.EntryCancel, Job: 1})
}
