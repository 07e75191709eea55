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

// The tests in this file check limits on message and record sizes with large numbers of machines or jobs.

// awaitAnyLeader waits until a controller leads, and returns the indexes of the leader and of one follower.
func awaitAnyLeader(t *testing.T) (leader, follower int) {
	t.Helper()
	for range 200 {
		if i := findLeader(); i >= 0 {
			return i, (i + 1) % 3
		}
		time.Sleep(100 * time.Millisecond)
	}
	t.Error("no controller became leader within 20 s")
	return 0, 1
}

// TestRenewalReportOfLargeZone checks that the leader learns when the leases of a zone of 4,000 machines with names of
// twenty characters were last renewed, and that the link to the controller that it asks stays up.
func TestRenewalReportOfLargeZone(t *testing.T) {
	const machines = 4000
	runCluster(t, 61, func(w *emulator.Environment) {
		time.Sleep(6 * time.Second)
		leaderIndex, other := awaitAnyLeader(t)
		leader, asked := nodeAt(leaderIndex), nodeAt(other)
		name := func(i int) string { return fmt.Sprintf("host-of-a-zone-%05d", i) }
		var suspectSeq uint64
		asked.loop.postAndWait(func() { suspectSeq = addRenewedMachines(t, asked, machines, name) })
		link := leader.links[emulator.ControllerName(other)]
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		request := &rpc.Request{Op: rpc.OpRenewals, ID: "a", Body: codec.Uint(nil, suspectSeq)}
		response, err := link.Do(ctx, request)
		if err != nil || response.Status != http.StatusOK {
			t.Errorf("renewal query for a large zone: got response %+v, error %v; want status 200", response, err)
			return
		}
		report, err := lease.ReadReport(response.Body)
		if err != nil {
			t.Error(err)
			return
		}
		if age := report.RenewalAges[name(machines-1)]; age < (machines-1)*time.Millisecond ||
			age > (machines+1000)*time.Millisecond {
			t.Errorf("the lease of the suspect machine was renewed %v ago, want %v to 1 s more",
				age, (machines-1)*time.Millisecond)
		}
		if time.Since(link.LastResponse()) > linkTimeout {
			t.Errorf("last response over the link %v ago, want at most %v",
				time.Since(link.LastResponse()), linkTimeout)
		}
	})
}

// addRenewedMachines adds machines of zone a to a controller's replica of the log and records lease renewals for them:
// each machine's renewal is one millisecond older than that of the machine before it. The last machine is suspect, and
// the sequence number of its suspicion is returned. addRenewedMachines must be called on the event loop.
func addRenewedMachines(t *testing.T, n *Controller, machines int, name func(i int) string) (suspectSeq uint64) {
	t.Helper()
	const first = 100_000
	apply := func(e *model.Entry) {
		t.Helper()
		if err := n.replica.model.Apply(e, n.replica.appliedSeq, n.now()); err != nil {
			t.Error(err)
		}
	}
	for i := range machines {
		apply(&model.Entry{Kind: model.EntryMachine, Machine: model.MachineID(first + i),
			Info: &model.MachineInfo{Name: name(i), Type: "small", Zone: "a"}})
		n.leases.renewals.RecordRenewal(name(i), n.now()-time.Duration(i)*time.Millisecond)
	}
	apply(&model.Entry{Kind: model.EntrySuspect, Machine: model.MachineID(first + machines - 1)})
	return n.replica.appliedSeq
}

// TestQueueListingThroughFollower checks that an operator who asks a follower for the maximum number of pending jobs
// gets as many jobs as fit into a frame and the number of jobs left out, and that the follower stays connected to the
// leader.
func TestQueueListingThroughFollower(t *testing.T) {
	// jobs is the number of jobs that stay queued, run the number of further jobs, which run within the team's limit.
	const jobs, run = 500, 6
	runCluster(t, 62, func(w *emulator.Environment) {
		time.Sleep(6 * time.Second)
		leader, follower := awaitAnyLeader(t)
		for i := range jobs + run {
			job := newWebService(i+1, 4)
			job.Class = fmt.Sprintf("%s-%04d", strings.Repeat("class", 10), i)
			if code := w.Submit(job); code != http.StatusOK && code != http.StatusCreated {
				t.Errorf("job %d: submission returned status %d, want 200 or 201", i, code)
				return
			}
		}
		time.Sleep(20 * time.Second)
		link := nodeAt(follower).links[emulator.ControllerName(leader)]
		for _, node := range []int{leader, follower} {
			var queue wire.Queue
			code, err := queryAdmin(w, node, wire.PathAdminQueue+fmt.Sprintf("?most=%d", wire.MaxQueued), &queue)
			if err != nil || code != http.StatusOK {
				t.Errorf("node %d returned status %d, error %v; want status 200", node, code, err)
				continue
			}
			if listed := len(queue.Jobs); listed+queue.More != jobs || queue.Tasks != jobs || listed < 100 {
				t.Errorf("node %d listed %d jobs, %d more, %d tasks; want %d jobs and tasks, at least 100 listed",
					node, listed, queue.More, queue.Tasks, jobs)
			}
			if node == leader && queue.More > 0 {
				t.Errorf("the leader's own listing omits %d jobs, want none", queue.More)
			}
		}
		if time.Since(link.LastResponse()) > linkTimeout {
			t.Errorf("last response over the link to the leader %v ago, want at most %v",
				time.Since(link.LastResponse()), linkTimeout)
		}
	})
}

// listingLeader is the RPC server of a leader that receives machine listings from a provisioner.
type listingLeader struct {
	t         *testing.T
	term      uint64
	machines  map[string]bool // names in all listings received
	published int             // number of listings received
}

// handle records a published machine listing.
func (l *listingLeader) handle(_ context.Context, request *rpc.Request) *rpc.Response {
	if request.Op != rpc.OpRoleResult {
		return &rpc.Response{Status: http.StatusOK}
	}
	r := codec.Reader{Data: request.Body}
	term := r.Uint()
	result, err := provisioner.ReadResult(r.Data)
	if err != nil || term != l.term || result.Kind != provisioner.MachinesListed {
		l.t.Errorf("got %d bytes of term %d and error %v, want a machine listing of term %d",
			len(request.Body), term, err, l.term)
		return &rpc.Response{Status: http.StatusBadRequest}
	}
	l.published++
	for _, row := range result.Listing {
		l.machines[row.Name] = true
	}
	return &rpc.Response{Status: http.StatusOK}
}

// TestMachineListingPublishedInFull checks that a provisioner that does not lead sends the leader all machines that the
// log does not know, and that it also sends an empty listing. A limit on the number of machines per listing, for
// example 300, would withhold the others from the leader.
func TestMachineListingPublishedInFull(t *testing.T) {
	const machines = 4000
	synctest.Test(t, func(t *testing.T) {
		ctx, stop := context.WithCancel(t.Context())
		network := emulator.NewNetwork()
		const addr = "10.0.0.9:81"
		ln, err := network.Host("leader").Listen(addr)
		if err != nil {
			t.Fatal(err)
		}
		leader := &listingLeader{t: t, term: 7, machines: map[string]bool{}}
		logger := slog.New(slog.DiscardHandler)
		go func() { _ = rpc.Serve(ctx, ln, leader.handle, &rpc.Traffic{}, logger) }()
		settings := &config.Settings{Node: "n2", Zone: "a",
			Members: []config.Member{{Node: "leader", Zone: "b", Addr: addr}}}
		n := New(network.Host("n2"), settings, Options{}, logger)
		n.forward.routing.Store(&routingView{leader: "leader"})
		go n.links["leader"].Run(ctx)
		time.Sleep(time.Second)
		publish := func(listing []wire.ListedMachine) {
			result := &provisioner.Result{Kind: provisioner.MachinesListed, Listing: listing}
			n.roles.publishResult(ctx, &singleton.Role{}, leader.term, result)
			time.Sleep(5 * time.Second)
			synctest.Wait()
		}
		listing := make([]wire.ListedMachine, machines)
		for i := range listing {
			listing[i] = wire.ListedMachine{
				Name: hostName(i), Addr: "10.1.0.1:1", Type: "small", Zone: "a", State: wire.MachineRunning,
			}
		}
		publish(listing)
		if got := len(leader.machines); got != machines {
			t.Errorf("the leader received %d machines, want %d", got, machines)
		}
		before := leader.published
		publish(nil)
		if leader.published != before+1 {
			t.Errorf("an empty listing was published %d times, want once", leader.published-before)
		}
		stop()
		time.Sleep(time.Minute)
	})
}

// TestClearedMachinesRecordOfLargeFleet checks that the leader learns of all 10,000 machines that reported to a
// controller that cannot reach the leader and that held no task of a cancelled job. If the record were a single value
// of 8 KiB, it would contain only 1,997 machines, and the leader would release the others.
func TestClearedMachinesRecordOfLargeFleet(t *testing.T) {
	// IDs from 20,000 are varints of three bytes, as in a fleet that is some weeks old.
	const machines, first = 10_000, 20_000
	synctest.Test(t, func(t *testing.T) {
		ctx, stop := context.WithCancel(t.Context())
		network, logger := emulator.NewNetwork(), slog.New(slog.DiscardHandler)
		const addr = "state:1"
		go func() {
			if err := emulator.NewKVStore(1).Serve(ctx, network.Host("state"), addr); err != nil && ctx.Err() == nil {
				t.Error(err)
			}
		}()
		time.Sleep(time.Second)
		store := oplog.New(kvstore.New(network.Host("n2"), addr, 1000), 20, 8, 12, logger)
		leader := config.Member{Node: "leader", Zone: "b", Addr: "leader:1"}
		settings := &config.Settings{Node: "n2", Zone: "a", Members: []config.Member{leader}}
		n := New(network.Host("n2"), settings, Options{}, logger)
		n.ctx, n.oplog = ctx, store
		n.replica.loaded, n.replica.caughtUpAt = true, time.Now()
		n.term.leader = &oplog.Leader{Node: "leader"}
		applyCancelledTasks(t, n, first, machines)
		for _, machine := range n.replica.model.MachinesInOrder {
			n.keepalives.clearedMachines[machine.ID] = time.Now()
		}
		n.zones.reportPartition()
		time.Sleep(time.Second)
		records, err := store.PartitionedNodes(ctx)
		if err != nil || len(records) != 1 {
			t.Errorf("got %d records and error %v, want 1 and none", len(records), err)
		} else {
			cleared := decodeCleared(&records[0])
			for _, machine := range n.replica.model.MachinesInOrder {
				if !cleared[machine.ID] {
					t.Errorf("got %d cleared machines without machine %d, want all %d",
						len(cleared), machine.ID, machines)
					break
				}
			}
		}
		stop()
		time.Sleep(time.Minute)
	})
}

// applyCancelledTasks adds machines to a controller's replica of the log, each with a task of a job that is then
// cancelled.
func applyCancelledTasks(t *testing.T, n *Controller, first, machines int) {
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
			Info: &model.MachineInfo{Name: hostName(i), Addr: "10.1.0.1:1", Type: "small", Zone: "a"}})
		apply(&model.Entry{Kind: model.EntryPlace, Job: 1, Task: int32(i), Attempt: 1, Machine: id, AgentEpoch: 1})
	}
	apply(&model.Entry{Kind: model.EntryCancel, Job: 1})
}
