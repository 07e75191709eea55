package controller

import (
	"bytes"
	"context"
	"flag"
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"fieldhill/internal/api"
	"fieldhill/internal/config"
	"fieldhill/internal/emulator"
	"fieldhill/internal/metrics"
	"fieldhill/internal/model"
	"fieldhill/internal/platform/host"
	"fieldhill/internal/platform/msgpackhttp"
	"fieldhill/internal/replication/oplog"
	"fieldhill/internal/result"
	"fieldhill/wire"
)

// These tests run whole deployments in virtual time: three real controllers
// among stand-ins, with a referee that reads the rules plainly.

// nodeRegistry are the running controllers of a test, for those that stop them in their tracks.
type nodeRegistry struct {
	mu     sync.Mutex
	byName map[string]*Controller
}

var runningNodes = nodeRegistry{byName: map[string]*Controller{}}

// nodeAt returns the node that runs at a place, or nil. Only the test's own goroutine
// calls it: it waits until the others are idle, so that the test reads what a node's start
// has written.
func nodeAt(i int) *Controller {
	synctest.Wait()
	runningNodes.mu.Lock()
	defer runningNodes.mu.Unlock()
	if node := runningNodes.byName[emulator.ControllerName(i)]; node != nil && node.ctx.Err() == nil {
		return node
	}
	return nil
}

// freeze has a node stand still for a while: its network and its loop.
func freeze(w *emulator.Environment, i int, d time.Duration) {
	w.Freeze(i, d)
	if node := nodeAt(i); node != nil {
		go node.loop.post(func() { time.Sleep(d) })
	}
}

// findLeader finds the node that leads, or -1.
func findLeader() int {
	for i := range 3 {
		leads := false
		if node := nodeAt(i); node != nil {
			node.loop.postAndWait(func() { leads = node.term.isActive() })
		}
		if leads {
			return i
		}
	}
	return -1
}

// compactEvery is after how many batches nodes that are started now compact the log; 0: as usual.
var compactEvery int

// relayThreshold is with more than how many machines nodes that are started now spread workers over the cell; 0: as
// usual.
var relayThreshold = flag.Int(
	"relays",
	0,
	"spread workers over the controllers from so many machines on, in every test",
)

// maxSilentProbes is how many silent machines of a zone nodes that are started now ask at once; 0: as usual.
var maxSilentProbes int

// distributedRoles tells whether nodes that are started now hold duties one by one.
var distributedRoles bool

func metricsAddr(node string) string { return "10.4.0." + node[1:] + ":80" }

func adminAddr(node string) string { return "10.5.0." + node[1:] + ":80" }

func runController(t *testing.T) emulator.ControllerFunc {
	var out io.Writer = io.Discard
	level := slog.LevelInfo
	if os.Getenv("LOG_LEVEL") != "" {
		out = os.Stderr
		_ = level.UnmarshalText([]byte(os.Getenv("LOG_LEVEL")))
	}
	return func(ctx context.Context, network host.Net, settings *config.Settings) error {
		log := slog.New(slog.NewTextHandler(out, &slog.HandlerOptions{Level: level})).With("node", settings.Node)
		node := New(
			network,
			settings,
			Options{
				Beta:           0.8,
				Threshold:      0.5,
				WaitRounds:     2,
				RoundInterval:  2 * time.Second,
				MetricsAddr:    metricsAddr(settings.Node),
				AdminAddr:      adminAddr(settings.Node),
				SingletonRoles: distributedRoles,
			},
			log,
		)
		node.ctx = ctx
		if compactEvery > 0 {
			node.commits.snapshotInterval = compactEvery
		}
		if maxSilentProbes > 0 {
			node.probes.maxZoneProbes = maxSilentProbes
		}
		if *relayThreshold > 0 {
			node.assignments.spreadThreshold = *relayThreshold
		}
		runningNodes.mu.Lock()
		runningNodes.byName[settings.Node] = node
		runningNodes.mu.Unlock()
		return node.Run(ctx)
	}
}

// runCluster runs f in a world with started nodes and then demands that no rule was broken.
func runCluster(t *testing.T, seed uint64, f func(w *emulator.Environment)) {
	runClusterWithTeams(t, seed, nil, f)
}

// runClusterWithTeams does so with other teams than usual.
func runClusterWithTeams(t *testing.T, seed uint64, teams []config.Team, f func(w *emulator.Environment)) {
	synctest.Test(t, func(t *testing.T) {
		ctx, stop := context.WithCancel(context.Background())
		w := emulator.New(ctx, 3, seed, runController(t))
		if teams != nil {
			w.SetTeams(teams)
		}
		for i := range 3 {
			w.Start(i)
		}
		f(w)
		finished, accepted := w.Checker.Finished()
		writes, keys := w.Store.Load()
		t.Logf(
			"%d starts, %d jobs accepted, %d over; %d writes, at most %d keys",
			w.Checker.Starts(),
			accepted,
			finished,
			writes,
			keys,
		)
		for _, b := range w.Checker.Violations() {
			t.Error(b)
		}
		stop()
		time.Sleep(time.Minute) // everything ends
		synctest.Wait()
	})
}

func newJobSpec(n int, shape string, tasks int, run float64) *wire.JobSpec {
	return &wire.JobSpec{
		ID:        wire.JobID(uint64(n)),
		Class:     "batch",
		Team:      "red",
		Shape:     shape,
		Priority:  wire.Low,
		Tasks:     tasks,
		CPUs:      1,
		MemoryGB:  2,
		Image:     "img",
		ImageGB:   1,
		EstimateS: run,
	}
}

// newWebService is a production service of one task.
func newWebService(n int, cpus float64, types ...string) *wire.JobSpec {
	s := newJobSpec(n, wire.Service, 1, 0)
	s.Priority, s.Class, s.CPUs, s.Types = wire.Production, "web", cpus, types
	return s
}

// startServices waits until a node leads, submits services of three CPUs, and waits until they run.
func startServices(w *emulator.Environment, services int) {
	time.Sleep(6 * time.Second)
	for n := 1; n <= services; n++ {
		w.Submit(newWebService(n, 3, "small"))
	}
	time.Sleep(40 * time.Second)
}

// hangBusyMachine has a machine with work hang for a while, and returns it.
func hangBusyMachine(w *emulator.Environment, d time.Duration) *emulator.Worker {
	for _, worker := range w.Cloud.Workers() {
		if w.Checker.HasTasks(worker.Name) {
			worker.Hang(d)
			return worker
		}
	}
	return nil
}

// waitRunning waits until a task of a job runs, or a minute has passed since it began.
func waitRunning(w *emulator.Environment, id string, began time.Time) {
	for w.Checker.Running(id) == 0 && time.Since(began) < time.Minute {
		time.Sleep(50 * time.Millisecond)
	}
}

// waitState polls a job until it is in a state.
func waitState(t *testing.T, w *emulator.Environment, id, state string, within time.Duration) {
	t.Helper()
	end := time.Now().Add(within)
	for {
		if code, s := w.Request("poll", id, nil); code == 200 && s.State == state {
			return
		}
		if time.Now().After(end) {
			t.Errorf("%s is not %s after %v", id, state, within)
			return
		}
		time.Sleep(500 * time.Millisecond)
	}
}

func TestJobLifecycle(t *testing.T) {
	runCluster(t, 1, func(w *emulator.Environment) {
		time.Sleep(6 * time.Second)
		if c := w.Submit(newJobSpec(1, wire.Array, 12, 5)); c != 201 {
			t.Errorf("submission got %d", c)
		}
		g := newJobSpec(2, wire.Gang, 3, 8)
		g.SameZone = true
		w.Submit(g)
		s := newJobSpec(3, wire.Service, 3, 0)
		s.Priority, s.Spread, s.Class = wire.Production, true, "web"
		w.Submit(s)
		bad := newJobSpec(4, wire.Array, 1, 5)
		bad.Team = "green"
		if c := w.Submit(bad); c != 422 {
			t.Errorf("a job of an unknown team got %d", c)
		}
		big := newJobSpec(5, wire.Gang, 30, 5)
		if c := w.Submit(big); c != 422 {
			t.Errorf("a gang over its team's limit got %d", c)
		}
		if c, _ := w.Request("poll", "req-777777", nil); c != 404 {
			t.Errorf("an unknown job got %d", c)
		}
		waitState(t, w, "req-000001", wire.JobDone, time.Minute)
		waitState(t, w, "req-000002", wire.JobDone, time.Minute)
		waitState(t, w, "req-000003", wire.JobRunning, time.Minute)
		if n := w.Checker.Running("req-000003"); n != 3 {
			t.Errorf("%d replicas run", n)
		}
		if c := w.Cancel("req-000003"); c != 200 {
			t.Errorf("the cancellation got %d", c)
		}
		time.Sleep(5 * time.Second)
		if n := w.Checker.Running("req-000003"); n != 0 {
			t.Errorf("%d replicas run after the cancellation", n)
		}
		if c := w.Submit(newJobSpec(1, wire.Array, 12, 5)); c != 200 {
			t.Errorf("a late repeat got %d", c)
		}
		time.Sleep(2 * time.Minute)
		if up := len(w.Cloud.Workers()); up > 2 {
			t.Errorf("%d machines are kept for nothing", up)
		}
	})
}

// TestAllControllersLost: a job that was accepted runs although every process
// that knew of it is gone, and a final state is kept.
func TestAllControllersLost(t *testing.T) {
	runCluster(t, 2, func(w *emulator.Environment) {
		time.Sleep(6 * time.Second)
		w.Submit(newJobSpec(1, wire.Array, 6, 4))
		waitState(t, w, "req-000001", wire.JobDone, time.Minute)
		w.Submit(newJobSpec(2, wire.Array, 20, 15))
		time.Sleep(10 * time.Second)
		for i := range 3 {
			w.Crash(i)
		}
		time.Sleep(5 * time.Second)
		for i := range 3 {
			w.Start(i)
		}
		waitState(t, w, "req-000001", wire.JobDone, 30*time.Second)
		waitState(t, w, "req-000002", wire.JobDone, 3*time.Minute)
	})
}

// TestStateOutage: running work stays alive while the state service is down for
// most of a worker's lease, and no submission is held back meanwhile.
func TestStateOutage(t *testing.T) {
	runCluster(t, 3, func(w *emulator.Environment) {
		time.Sleep(6 * time.Second)
		s := newJobSpec(1, wire.Service, 4, 0)
		s.Priority, s.Class = wire.Production, "web"
		w.Submit(s)
		waitState(t, w, "req-000001", wire.JobRunning, time.Minute)
		time.Sleep(5 * time.Second)
		w.Store.SetOutage(true)
		time.Sleep(5 * time.Second)
		starts := w.Checker.Starts()
		j := newJobSpec(2, wire.Array, 1, 1)
		w.Checker.RegisterJob(j)
		b, _ := wire.Marshal(j)
		began := time.Now()
		if code, _ := w.Request("submit", j.ID, b); code != 503 || time.Since(began) > 300*time.Millisecond {
			t.Errorf("a submission during the outage got %d after %v", code, time.Since(began))
		}
		time.Sleep(17 * time.Second)
		w.Store.SetOutage(false)
		time.Sleep(30 * time.Second)
		if w.Checker.Starts() != starts || w.Checker.Running("req-000001") != 4 {
			t.Errorf(
				"%d replicas run, %d tasks were started anew",
				w.Checker.Running("req-000001"),
				w.Checker.Starts()-starts,
			)
		}
		if c := w.Submit(j); c != 201 && c != 200 {
			t.Errorf("the submission got %d after the outage", c)
		}
	})
}

// TestHungMachine: tasks of a machine that says nothing run elsewhere once it is
// evidently gone, and a machine that returns does not run them twice.
func TestHungMachine(t *testing.T) {
	runCluster(t, 4, func(w *emulator.Environment) {
		time.Sleep(6 * time.Second)
		w.Submit(newJobSpec(1, wire.Array, 16, 25))
		waitState(t, w, "req-000001", wire.JobRunning, time.Minute)
		time.Sleep(3 * time.Second)
		for i, worker := range w.Cloud.Workers() {
			if i%2 == 0 {
				worker.Hang(12 * time.Second)
			}
		}
		waitState(t, w, "req-000001", wire.JobDone, 3*time.Minute)
	})
}

// TestHungMachineAtFailover: a machine that hangs while the lead changes is given up as
// soon as under one leader, since the new one asks it. It used to be left six seconds
// more, in which its replicas were down.
func TestHungMachineAtFailover(t *testing.T) {
	runCluster(t, 25, func(w *emulator.Environment) {
		time.Sleep(6 * time.Second)
		for n := 1; n <= 6; n++ {
			s := newWebService(n, 2, "small")
			w.Submit(s)
		}
		time.Sleep(40 * time.Second)
		var hung *emulator.Worker
		for _, worker := range w.Cloud.Workers() {
			if w.Checker.HasTasks(worker.Name) {
				hung = worker
			}
		}
		hung.Hang(50 * time.Second)
		time.Sleep(time.Second)
		w.Crash(findLeader())
		began := time.Now()
		for slices.Contains(w.Cloud.Workers(), hung) && time.Since(began) < time.Minute {
			time.Sleep(100 * time.Millisecond)
		}
		if d := time.Since(began); d > 12500*time.Millisecond { // a lease, and 7.5 s of silence
			t.Errorf("the machine was returned %v after the end of the leader", d)
		}
	})
}

// TestFaultyMachine: a machine that fails whatever it starts gets no more work
// and is returned; a job that fails everywhere harms nobody.
func TestFaultyMachine(t *testing.T) {
	runCluster(t, 5, func(w *emulator.Environment) {
		time.Sleep(6 * time.Second)
		w.Submit(newJobSpec(1, wire.Array, 4, 3))
		waitState(t, w, "req-000001", wire.JobDone, time.Minute)
		up := w.Cloud.Workers()
		if len(up) == 0 {
			t.Fatal("no machine is up")
		}
		up[0].FailAllTasks()
		for n := 2; n < 6; n++ {
			w.Submit(newJobSpec(n, wire.Array, 6, 4))
		}
		for n := 2; n < 6; n++ {
			waitState(t, w, wire.JobID(uint64(n)), wire.JobDone, 2*time.Minute)
		}
		for _, worker := range w.Cloud.Workers() {
			if worker == up[0] {
				t.Errorf("the faulty machine is still rented")
			}
		}
	})
}

// TestFaultyJobs: jobs that fail on every machine, several at once, are blamed
// themselves: only the machine that really is faulty is returned, other work goes on,
// and they are tried seldom. Two such jobs used to cost every machine that they met.
func TestFaultyJobs(t *testing.T) {
	runCluster(t, 19, func(w *emulator.Environment) {
		time.Sleep(6 * time.Second)
		service := newJobSpec(1, wire.Service, 3, 0)
		service.Priority, service.Class = wire.Production, "web"
		w.Submit(service)
		w.Submit(newJobSpec(2, wire.Array, 12, 3))
		waitState(t, w, "req-000002", wire.JobDone, time.Minute)
		var serving []*emulator.Worker // they stay, unless they are distrusted
		var sick *emulator.Worker
		for _, worker := range w.Cloud.Workers() {
			if w.Checker.HasTasks(worker.Name) {
				serving = append(serving, worker)
			} else {
				sick = worker
			}
		}
		sick.FailAllTasks()
		for n := 10; n < 14; n++ {
			s := newJobSpec(n, wire.Array, 20, 4)
			if n == 13 {
				s.Shape, s.Tasks, s.Priority = wire.Gang, 1, wire.High
			}
			w.FailJob(s.ID)
			w.Submit(s)
		}
		for n := 20; n < 24; n++ {
			w.Submit(newJobSpec(n, wire.Array, 8, 20))
		}
		for n := 20; n < 24; n++ {
			waitState(t, w, wire.JobID(uint64(n)), wire.JobDone, 3*time.Minute)
		}
		up := w.Cloud.Workers()
		if slices.Contains(up, sick) {
			t.Error("the faulty machine is still rented")
		}
		for _, worker := range serving {
			if !slices.Contains(up, worker) {
				t.Errorf("%s, which is not faulty, was returned", worker.Name)
			}
		}
		for n := 10; n < 14; n++ {
			id := wire.JobID(uint64(n))
			before := w.Checker.StartsOf(id)
			time.Sleep(10 * time.Second)
			if k := w.Checker.StartsOf(id) - before; k > 3 {
				t.Errorf("%s was started %d times in ten seconds", id, k)
			}
			if c := w.Cancel(id); c != 200 {
				t.Errorf("the cancellation of %s got %d", id, c)
			}
		}
		if n := w.Checker.Running("req-000001"); n != 3 {
			t.Errorf("%d of 3 replicas run", n)
		}
	})
}

// TestFrozenLeader: a leader that stands still is replaced in the time of a lease, and
// when it goes on it does nothing as a leader: no machine is given up for the silence
// that it slept through, and no replica is lost.
func TestFrozenLeader(t *testing.T) {
	runCluster(t, 20, func(w *emulator.Environment) {
		time.Sleep(6 * time.Second)
		for n := 1; n <= 6; n++ {
			s := newWebService(n, 3, "small")
			w.Submit(s)
		}
		time.Sleep(40 * time.Second)
		starts := w.Checker.Starts()
		var busy []*emulator.Worker
		for _, worker := range w.Cloud.Workers() {
			if w.Checker.HasTasks(worker.Name) {
				busy = append(busy, worker)
			}
		}
		for k, d := range []time.Duration{1500 * time.Millisecond, 7 * time.Second, 30 * time.Second, 60 * time.Second} {
			i := findLeader()
			freeze(w, i, d)
			began := time.Now()
			j := newWebService(10+k, 0.1)
			w.Checker.RegisterJob(j)
			b, _ := wire.Marshal(j)
			time.Sleep(100 * time.Millisecond)
			if code, _ := w.RequestAt((i+1)%3, "submit", j.ID, b); code != 201 {
				t.Errorf("a submission to another node got %d", code)
			}
			if took := time.Since(began) - 100*time.Millisecond; took > 200*time.Millisecond {
				t.Errorf("a submission to another node took %v", took)
			}
			waitRunning(w, j.ID, began)
			if took := time.Since(began); took > 7*time.Second {
				t.Errorf("frozen for %v: a service ran after %v", d, took)
			}
			time.Sleep(time.Until(began.Add(d + 10*time.Second)))
			starts++
		}
		if k := w.Checker.Starts() - starts; k != 0 {
			t.Errorf("%d tasks were started anew", k)
		}
		up := w.Cloud.Workers()
		for _, worker := range busy {
			if !slices.Contains(up, worker) {
				t.Errorf("%s was returned", worker.Name)
			}
		}
	})
}

// TestUnguaranteedTeamFlood: a guest without a guarantee brings one huge array and a flood of tiny jobs:
// others' submissions and services don't suffer, its work gets on, and it alone can't
// fill the room for unfinished tasks.
func TestUnguaranteedTeamFlood(t *testing.T) {
	runCluster(t, 24, func(w *emulator.Environment) {
		time.Sleep(6 * time.Second)
		huge := newJobSpec(1, wire.Array, 60_000, 20)
		huge.Team, huge.CPUs, huge.MemoryGB, huge.Spot = "guest", 0.5, 0.5, true
		if c := w.Submit(huge); c != 201 {
			t.Errorf("the huge array got %d", c)
		}
		time.Sleep(30 * time.Second)
		more := newJobSpec(2, wire.Array, 100_000, 20)
		more.Team = "guest"
		w.Checker.RegisterJob(more)
		b, _ := wire.Marshal(more)
		if c, _ := w.Request("submit", more.ID, b); c != 201 {
			t.Errorf("the second array got %d", c)
		}
		more = newJobSpec(3, wire.Array, 40_000, 20)
		more.Team = "guest"
		w.Checker.RegisterJob(more)
		b, _ = wire.Marshal(more)
		if c, _ := w.Request("submit", more.ID, b); c != 429 {
			t.Errorf("the guest's third array got %d", c)
		}
		w.Cancel("req-000002")
		var users sync.WaitGroup
		for n := range 200 { // ten a second
			users.Go(func() {
				time.Sleep(time.Duration(n) * 100 * time.Millisecond)
				s := newJobSpec(100+n, wire.Array, 1, 10)
				s.Team, s.CPUs, s.MemoryGB, s.Spot = "guest", 0.25, 0.2, true
				if c := w.Submit(s); c != 201 {
					t.Errorf("a tiny job got %d", c)
				}
			})
		}
		for n := 10; n < 20; n++ {
			s := newWebService(n, 1)
			began := time.Now()
			if c := w.Submit(s); c != 201 || time.Since(began) > 300*time.Millisecond {
				t.Errorf("a service got %d after %v", c, time.Since(began))
			}
			waitRunning(w, s.ID, began)
			if d := time.Since(began); d > 4*time.Second { // a fetch takes 1.5 s
				t.Errorf("a service ran after %v", d)
			}
			time.Sleep(time.Until(began.Add(2 * time.Second)))
		}
		users.Wait()
		for n := range 200 {
			waitState(t, w, wire.JobID(uint64(100+n)), wire.JobDone, 3*time.Minute)
		}
		if k := w.Checker.StartsOf(huge.ID); k < 100 {
			t.Errorf("%d tasks of the huge array were started", k)
		}
	})
}

// TestBootFaults: machines that are up before the cloud has answered are adopted once;
// those that never come up are replaced and returned, and work goes on.
func TestBootFaults(t *testing.T) {
	runCluster(t, 22, func(w *emulator.Environment) {
		time.Sleep(6 * time.Second)
		w.Cloud.SetBootFaults(0.001, 0)
		for n := 1; n <= 4; n++ {
			s := newJobSpec(n, wire.Service, 1, 0)
			s.Priority, s.Class, s.CPUs, s.Types = wire.Production, "other", 3, []string{"small"}
			w.Submit(s)
		}
		time.Sleep(20 * time.Second)
		if k := w.Cloud.Launched(); k != 4 {
			t.Errorf("%d machines were rented for four services", k)
		}
		w.Cloud.SetBootFaults(1, 2)
		for n := 5; n <= 8; n++ {
			s := newJobSpec(n, wire.Service, 1, 0)
			s.Priority, s.Class, s.CPUs, s.MemoryGB, s.Types, s.Team = wire.Production, "other", 3, 60, []string{
				"large",
			}, "blue"
			w.Submit(s)
		}
		time.Sleep(100 * time.Second)
		for n := 1; n <= 8; n++ {
			if k := w.Checker.Running(wire.JobID(uint64(n))); k != 1 {
				t.Errorf("%d replicas of service %d run", k, n)
			}
		}
		time.Sleep(60 * time.Second)
		if k := len(w.Cloud.Workers()); k != 8 {
			t.Errorf("%d machines are kept for eight services", k)
		}
	})
}

// TestDelayedMachineDeletion: a deletion that one leader decided, and that is carried out under
// the next, ends no work: the log has it, and the machine is given none.
func TestDelayedMachineDeletion(t *testing.T) {
	runCluster(t, 21, func(w *emulator.Environment) {
		time.Sleep(6 * time.Second)
		w.Submit(newJobSpec(1, wire.Array, 40, 4))
		waitState(t, w, "req-000001", wire.JobDone, 2*time.Minute)
		w.Cloud.DelayDeletions(25 * time.Second) // idle machines are returned from here on
		time.Sleep(16 * time.Second)
		w.Crash(findLeader())
		time.Sleep(4 * time.Second)
		for n := 2; n <= 6; n++ {
			s := newWebService(n, 3)
			w.Submit(s)
		}
		time.Sleep(20 * time.Second)
		w.Cloud.DelayDeletions(0)
		time.Sleep(40 * time.Second)
		for n := 2; n <= 6; n++ {
			if k := w.Checker.StartsOf(wire.JobID(uint64(n))); k != 1 {
				t.Errorf("service %d was started %d times", n, k)
			}
		}
	})
}

// restrictWorkersTo has the workers reach one node only, or ends that.
func restrictWorkersTo(w *emulator.Environment, node int, cut bool) {
	for k := range 3 {
		if k != node {
			partitionWorkers(w, k, cut)
		}
	}
}

// partitionWorkers parts the workers of both zones from a node.
func partitionWorkers(w *emulator.Environment, node int, cut bool) {
	w.PartitionWorkers("a", node, cut)
	w.PartitionWorkers("b", node, cut)
}

// partitionZone parts zone b from nodes 0 and 2, which are in zone a: node 1, which it holds,
// and its workers.
func partitionZone(w *emulator.Environment, cut bool) {
	w.PartitionControllers(0, 1, cut)
	w.PartitionControllers(1, 2, cut)
	w.PartitionWorkers("b", 0, cut)
	w.PartitionWorkers("b", 2, cut)
}

// TestZonePartition: workers that can't reach the leader, but another node, keep
// running; a job cancelled meanwhile loses its tasks there in time.
func TestZonePartition(t *testing.T) {
	runCluster(t, 6, func(w *emulator.Environment) {
		time.Sleep(6 * time.Second)
		for n := 1; n <= 4; n++ {
			s := newJobSpec(n, wire.Service, 2, 0)
			s.Priority, s.Class, s.Spread = wire.Production, "web", true
			s.CPUs, s.Types = 3, []string{"small"} // a machine each
			w.Submit(s)
		}
		time.Sleep(40 * time.Second)
		starts := w.Checker.Starts()
		cut := func(on bool) {
			partitionZone(w, on)
			w.PartitionWorkers("a", 1, on)
		}
		cut(true)
		time.Sleep(10 * time.Second)
		w.Cancel("req-000002")
		time.Sleep(50 * time.Second)
		cut(false)
		time.Sleep(20 * time.Second)
		if n := w.Checker.Running("req-000002"); n != 0 {
			t.Errorf("%d replicas of the cancelled service run", n)
		}
		for n := 1; n <= 4; n++ {
			if k := w.Checker.Running(wire.JobID(uint64(n))); n != 2 && k != 2 {
				t.Errorf("%d replicas of service %d run", k, n)
			}
		}
		if k := w.Checker.Starts() - starts; k != 0 {
			t.Errorf("%d tasks were started anew", k)
		}
	})
}

var (
	seedCount             = flag.Uint64("days", defaultSeeds, "how many random days to play")
	firstSeed             = flag.Uint64("from", 0, "the first one")
	alwaysDistributeRoles = flag.Bool("duties", false, "hold duties one by one on every random day, not on two of four")
)

// defaultSeeds is how many are played in CI.
const defaultSeeds = 8

// TestRandomFaults throws every failure at the service, at random but with fixed
// seeds, and demands that the rules hold and that everything ends well. Every other one
// compacts the log every few batches: as usual it would not be once in most days, and what a
// compaction after a change of leaders deleted too much was found by none. Two of four hold duties one by one.
func TestRandomFaults(t *testing.T) {
	savedThreshold := *relayThreshold
	defer func() { compactEvery, distributedRoles, *relayThreshold = 0, false, savedThreshold }()
	for seed := range seeds(defaultSeeds) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			*relayThreshold = max(savedThreshold, int(seed%3)*2) // two days of three with relays
			compactEvery, distributedRoles = int(seed%2)*10, seed%4 >= 2 || *alwaysDistributeRoles
			runCluster(t, seed, func(w *emulator.Environment) { runRandomFaults(t, w, rand.New(rand.NewPCG(seed, 9))) })
		})
	}
}

func runRandomFaults(t *testing.T, w *emulator.Environment, rng *rand.Rand) {
	endFaults := backgroundFaults(w, rand.New(rand.NewPCG(rng.Uint64(), 10)))
	w.SetFaults(0.1, 20*time.Second)
	// what a process used up is missing to the next one
	w.Store.SetRateLimits(w.Params.KVStore.RPS, w.Params.KVStore.WriteRPS)
	time.Sleep(6 * time.Second)
	n, up := 0, []bool{true, true, true}
	var open []string
	for range 60 {
		for range rng.IntN(3) {
			n++
			s := newJobSpec(n, wire.Array, 1+rng.IntN(10), 2+10*rng.Float64())
			switch rng.IntN(4) {
			case 0:
				s.Shape, s.Tasks, s.CheckpointIntervalS, s.CheckpointWriteS, s.Priority = wire.Gang, 1+rng.IntN(
					3,
				), 3, 1, wire.High
				s.SameZone = rng.IntN(2) == 0
			case 1:
				s.Shape, s.Tasks, s.Spread, s.Class, s.Priority = wire.Service, 1+rng.IntN(
					3,
				), true, "web", wire.Production
			}
			s.Spot = rng.IntN(2) == 0
			if rng.IntN(2) == 0 {
				s.Team = "blue"
			}
			s.CPUs = []float64{0.5, 1, 2}[rng.IntN(3)]
			s.Image = fmt.Sprint("img-", rng.IntN(3))
			if rng.IntN(4) == 0 {
				s.Types = []string{"large"}
			}
			open = append(open, s.ID)
			w.Checker.RegisterJob(s)
			go w.Submit(s)
		}
		for _, id := range open {
			if rng.IntN(3) == 0 {
				go w.Request("poll", id, nil)
			}
		}
		if len(open) > 5 && rng.IntN(3) == 0 {
			go w.Cancel(open[rng.IntN(len(open))])
		}
		i := rng.IntN(3)
		switch rng.IntN(23) {
		case 20, 21:
			// A node ends and is back within a fraction of a second, also again and again; or all of them do.
			for range 1 + rng.IntN(3) {
				if up[i] {
					w.Restart(i, time.Duration(20+rng.IntN(280))*time.Millisecond)
				}
				time.Sleep(time.Duration(rng.IntN(1500)) * time.Millisecond)
			}
		case 22:
			for k := range 3 {
				if up[k] {
					w.Kill(k)
				}
			}
			for k := range 3 {
				time.Sleep(time.Duration(20+rng.IntN(280)) * time.Millisecond)
				if up[k] {
					w.Start(k)
				}
			}
		case 14:
			w.PartitionStore(i, true)
		case 15:
			w.PartitionStore(i, false)
			w.Store.SetLatency(3 * time.Millisecond)
		case 16:
			w.Store.SetLatency(time.Duration(50+rng.IntN(400)) * time.Millisecond)
		case 17:
			w.Cloud.SetBootFaults(1+4*rng.Float64(), 2+rng.IntN(4))
		case 18:
			if len(open) > 0 {
				w.FailJob(open[rng.IntN(len(open))])
			}
		case 19:
			w.Cloud.DelayDeletions(time.Duration(rng.IntN(25000)) * time.Millisecond)
		case 12, 13:
			if up[i] {
				freeze(w, i, time.Duration(rng.IntN(30000))*time.Millisecond)
			}
		case 0, 1:
			if up[i] {
				w.Crash(i)
			} else {
				w.Start(i)
			}
			up[i] = !up[i]
		case 2:
			w.Store.SetOutage(true)
		case 3, 4:
			w.Store.SetOutage(false)
		case 5:
			if all := w.Cloud.Workers(); len(all) > 0 {
				all[rng.IntN(len(all))].Hang(time.Duration(rng.IntN(40)) * time.Second)
			}
		case 6:
			if all := w.Cloud.Workers(); len(all) > 0 {
				w.Cloud.Reclaim(all[rng.IntN(len(all))].Name)
			}
		case 7:
			w.PartitionControllers(i, (i+1)%3, true)
			w.PartitionWorkers("b", i, true)
		case 8, 9:
			for k := range 3 {
				w.PartitionControllers(k, (k+1)%3, false)
				w.PartitionWorkers("b", k, false)
			}
		}
		time.Sleep(time.Duration(rng.IntN(8000)) * time.Millisecond)
	}
	endFaults()
	w.SetFaults(0, 0)
	w.Store.SetOutage(false)
	w.Store.SetLatency(3 * time.Millisecond)
	w.Cloud.SetBootFaults(1, 0)
	w.Cloud.DelayDeletions(0)
	for k := range 3 {
		w.PartitionStore(k, false)
		w.PartitionControllers(k, (k+1)%3, false)
		w.PartitionWorkers("b", k, false)
		if !up[k] {
			w.Start(k)
		}
	}
	checkConvergence(t, w, open)
}

// checkConvergence demands that all ends well once all troubles are over: nobody is forgotten, and once all jobs are
// cancelled nothing is left behind.
func checkConvergence(t *testing.T, w *emulator.Environment, open []string) {
	w.Checker.MarkFaultsOver()
	for range 20 { // nobody is forgotten, and none waits for long: each job is asked about, as users do
		for _, id := range open {
			go w.Request("poll", id, nil)
		}
		time.Sleep(5 * time.Second)
	}
	for _, id := range open {
		w.Cancel(id)
	}
	time.Sleep(60 * time.Second)
	for _, id := range open {
		// A job that no node could take for a minute was never accepted; the
		// referee knows the difference.
		if code, s := w.Request(
			"poll",
			id,
			nil,
		); code != 404 &&
			(code != 200 || s.State != wire.JobDone && s.State != wire.JobCancelled) {
			t.Errorf("%s: %d %+v", id, code, s)
		}
		if k := w.Checker.Running(id); k != 0 {
			t.Errorf("%s has %d tasks left", id, k)
		}
	}
	// Nothing is left behind: no rental under way, and every machine that the cloud has is known.
	time.Sleep(30 * time.Second)
	if leader := nodeAt(max(0, findLeader())); leader != nil {
		leader.loop.postAndWait(func() {
			if len(leader.replica.model.Intents) > 0 {
				t.Errorf("rentals are still under way: %+v", leader.replica.model.Intents)
			}
			for _, worker := range w.Cloud.Workers() {
				if leader.replica.model.ByName[worker.Name] == nil {
					t.Errorf("%s is rented, and nobody knows it", worker.Name)
				}
			}
			if up := len(w.Cloud.Workers()); up != len(leader.replica.model.Order) {
				t.Errorf("%d machines are rented, %d are known", up, len(leader.replica.model.Order))
			}
		})
	}
}

// backgroundFaults begins what goes on beside a random day: machines whose reports arrive while nothing reaches them,
// one or a zone; copies of reports, from seconds to twice a lease late; a controller that loses the state service and
// the others but not its workers; and machines that are back under their names within a moment. It returns what ends
// all of it.
func backgroundFaults(w *emulator.Environment, rng *rand.Rand) (endFaults func()) {
	var ended atomic.Bool
	if rng.IntN(2) == 0 {
		w.DuplicateHeartbeats(
			0.05+0.3*rng.Float64(),
			time.Duration(2+rng.IntN(2*int(w.Params.Workers.LeaseS)))*time.Second,
		)
	}
	go func() {
		for w.Context().Err() == nil {
			time.Sleep(time.Duration(1000+rng.IntN(20000)) * time.Millisecond)
			all := w.Cloud.Workers()
			if ended.Load() {
				return
			}
			if len(all) == 0 {
				continue
			}
			target, wholeZone, i := all[rng.IntN(len(all))], rng.IntN(4) == 0, rng.IntN(3)
			duration := time.Duration(rng.IntN(60)) * time.Second
			switch fault := rng.IntN(4); fault {
			case 0:
				for _, worker := range all {
					if worker == target || wholeZone && worker.Zone == target.Zone {
						worker.SetInboundPartition(true)
						time.AfterFunc(duration, func() { worker.SetInboundPartition(false) })
					}
				}
			case 1:
				w.PartitionFromStoreAndPeers(i, true)
				time.AfterFunc(duration, func() { w.PartitionFromStoreAndPeers(i, false) })
			default:
				for range 1 + rng.IntN(3) {
					target.Reboot(fault == 2)
					time.Sleep(time.Duration(50+rng.IntN(600)) * time.Millisecond)
				}
			}
		}
	}()
	return func() {
		ended.Store(true)
		w.DuplicateHeartbeats(0, 0)
		for _, worker := range w.Cloud.Workers() {
			worker.SetInboundPartition(false)
		}
		for i := range 3 {
			w.PartitionFromStoreAndPeers(i, false)
		}
	}
}

// TestLogWriteBudget: ends and placements of low work gather, and a compaction
// takes what is left over, so that a submission finds the log free. The log used
// to be written as often as the state service allows, at any load.
func TestLogWriteBudget(t *testing.T) {
	runCluster(t, 11, func(w *emulator.Environment) {
		time.Sleep(6 * time.Second)
		for i := range 6 {
			w.Submit(newJobSpec(100+i, wire.Array, 60, 3))
		}
		time.Sleep(40 * time.Second) // machines boot
		before, _ := w.Store.Load()
		const span = 20
		for i := range span {
			began := time.Now()
			if c := w.Submit(newJobSpec(200+i, wire.Array, 1, 1)); c != 201 {
				t.Errorf("submission got %d", c)
			}
			if d := time.Since(began); d > 150*time.Millisecond {
				t.Errorf("a submission took %v", d)
			}
			time.Sleep(time.Until(began.Add(time.Second)))
		}
		after, _ := w.Store.Load()
		if per := float64(after-before) / span; per > 8 {
			t.Errorf("%.1f writes a second for one submission a second and low work", per)
		}
	})
}

// TestElectionUnderPolls: the polls of a moment without a leader do not hold up the
// election of the next one. Each used to read the log's end for itself, and the
// election waited behind them in this node's share of the state service's rate.
func TestElectionUnderPolls(t *testing.T) {
	runCluster(t, 12, func(w *emulator.Environment) {
		time.Sleep(6 * time.Second)
		for i := range 40 {
			s := newWebService(300+i, 0.1)
			w.Submit(s)
		}
		time.Sleep(20 * time.Second)
		w.Store.SetLatency(40 * time.Millisecond)
		for i := range 3 { // one of them leads
			w.Crash(i)
			ctx, stop := context.WithCancel(context.Background())
			for k := range 300 { // users poll on while there is no leader
				go func() {
					time.Sleep(time.Duration(k) * 3 * time.Millisecond)
					for ctx.Err() == nil {
						w.RequestAt((i+1+k%2)%3, "poll", wire.JobID(uint64(300+k%40)), nil)
						time.Sleep(time.Second)
					}
				}()
			}
			began := time.Now()
			for { // cancellations need the leader
				code, _ := w.RequestAt((i+1)%3, "cancel", wire.JobID(uint64(300+i)), nil)
				if code == 200 {
					break
				}
				time.Sleep(100 * time.Millisecond)
			}
			if d := time.Since(began); d > 4500*time.Millisecond {
				t.Errorf("no leader for %v after node %d ended", d, i)
			}
			stop()
			w.Start(i)
			time.Sleep(10 * time.Second)
		}
	})
}

// TestSlowStateService: with a slow state service a submission does not wait for
// the batch under way and then for its own, and no job is lost or taken twice.
func TestSlowStateService(t *testing.T) {
	runCluster(t, 13, func(w *emulator.Environment) {
		time.Sleep(6 * time.Second)
		w.Submit(newJobSpec(400, wire.Array, 40, 2)) // keeps the log busy
		time.Sleep(20 * time.Second)
		w.Store.SetLatency(150 * time.Millisecond)
		time.Sleep(2 * time.Second)
		const n = 12
		took := make([]time.Duration, 0, 2*n)
		var mu sync.Mutex
		var users sync.WaitGroup
		for i := range 2 * n { // two come close together, twice a second or so
			users.Go(func() {
				time.Sleep(time.Duration(i/2)*650*time.Millisecond + time.Duration(i%2)*40*time.Millisecond)
				j := newJobSpec(401+i, wire.Array, 4, 2)
				w.Checker.RegisterJob(j)
				b, _ := wire.Marshal(j)
				began := time.Now()
				if code, _ := w.Request("submit", j.ID, b); code != 201 && code != 200 {
					t.Errorf("a submission got %d", code)
				}
				mu.Lock()
				defer mu.Unlock()
				if i%2 == 1 {
					took = append(took, time.Since(began))
				}
			})
		}
		users.Wait()
		slices.Sort(took)
		if q := took[len(took)/2]; q > 200*time.Millisecond {
			t.Errorf("half of the second ones took more than %v, a write takes 150 ms", q)
		}
		for i := range 2 * n {
			waitState(t, w, wire.JobID(uint64(401+i)), wire.JobDone, 2*time.Minute)
		}
	})
}

// TestIntakeRecordsDeletedOnce: the record of a job that the log knows is deleted once, however
// often the leader looks at the intake meanwhile. Each look used to have everything in it
// deleted again; in a flood of tiny jobs that came by the intake, these deletions took
// the log's share of the state service for a minute and longer.
func TestIntakeRecordsDeletedOnce(t *testing.T) {
	runCluster(t, 23, func(w *emulator.Environment) {
		time.Sleep(6 * time.Second)
		leader := nodeAt(findLeader())
		var all []oplog.Intake
		for k := range 24 {
			s := newJobSpec(100+k, wire.Array, 1, 500)
			w.Submit(s)
			all = append(all, oplog.Intake{Job: uint64(100 + k), Data: model.Accepted(s, 0).Append(nil)})
		}
		time.Sleep(20 * time.Second)
		w.Store.SetLatency(100 * time.Millisecond)
		before, _ := w.Store.Load()
		for i, in := range all {
			go func() {
				time.Sleep(time.Duration(i) * 60 * time.Millisecond)
				if err := leader.oplog.PutIntake(leader.ctx, in); err != nil {
					t.Error(err)
				}
			}()
		}
		time.Sleep(2 * time.Second)
		w.Submit(newJobSpec(200, wire.Array, 1, 500))
		time.Sleep(20 * time.Second)
		after, _ := w.Store.Load()
		if k := after - before; k > 2*len(all)+10 { // a record, its deletion, and little else
			t.Errorf("%d writes for %d records", k, len(all))
		}
		if in, _, err := leader.oplog.ListIntake(leader.ctx); err != nil || len(in) > 0 {
			t.Errorf("%d records are left, %v", len(in), err)
		}
	})
}

// TestCancellationNotReportedBeforeCommit: a job that is cancelled while its acceptance is being written is not
// called cancelled to one who asked before, until the log has that too.
func TestCancellationNotReportedBeforeCommit(t *testing.T) {
	runCluster(t, 25, func(w *emulator.Environment) {
		time.Sleep(6 * time.Second)
		w.Store.SetLatency(200 * time.Millisecond)
		leader, s := nodeAt(findLeader()), newJobSpec(1, wire.Array, 1, 500)
		var reportedAt []uint64 // of the cancellation: what the log had then
		record := func(r result.Result) {
			if bytes.Contains(api.Respond(r).Body, []byte(wire.JobCancelled)) {
				reportedAt = append(reportedAt, leader.term.ownTerm.commits.committedSeq)
			}
		}
		w.Checker.RegisterJob(s)
		leader.loop.postAndWait(func() { leader.submissions.accept(1, s, nil, record) })
		time.Sleep(100 * time.Millisecond) // it is being written
		var end uint64
		leader.loop.postAndWait(func() {
			leader.jobStatus.respondIfKnown(1, record)
			leader.cancellations.cancelJob(1, record)
			end = leader.replica.model.FinalSeq(1)
		})
		time.Sleep(5 * time.Second)
		leader.loop.postAndWait(func() {
			if len(reportedAt) != 2 || slices.Min(reportedAt) < end {
				t.Errorf("told of the end with %v in the log, it is in %d", reportedAt, end)
			}
		})
	})
}

// TestBalancer: what stands between users and controllers where the service is tried out
// passes over a controller that has ended, and lets the referee see the answers.
func TestBalancer(t *testing.T) {
	runCluster(t, 26, func(w *emulator.Environment) {
		const at = "10.3.0.1:80"
		if err := w.ServeBalancer(w.Context(), at); err != nil {
			t.Fatal(err)
		}
		c := w.ClientFor("user")
		defer c.Close()
		do := func(path string, in any) (s wire.JobStatus, err error) {
			ctx, cancel := context.WithTimeout(w.Context(), 3*time.Second)
			defer cancel()
			return s, c.Do(ctx, "POST", at, path, in, &s, wire.MaxBody)
		}
		if _, err := do(wire.PathJobs, newJobSpec(1, wire.Array, 1, 500)); msgpackhttp.StatusCode(err) != 503 {
			t.Errorf("before any controller is ready: %v", err)
		}
		time.Sleep(6 * time.Second)
		w.Crash((findLeader() + 1) % 3)
		time.Sleep(3 * time.Second)
		for n := 1; n <= 6; n++ {
			if _, err := do(wire.PathJobs, newJobSpec(n, wire.Array, 1, 500)); msgpackhttp.StatusCode(err) != 201 {
				t.Errorf("job %d: %v", n, err)
			}
		}
		if s, err := do(
			wire.PathJobs+"/req-000002"+wire.CancelSuffix,
			struct{}{},
		); err != nil ||
			s.State != wire.JobCancelled {
			t.Errorf("cancellation: %v %v", s, err)
		}
		if finished, accepted := w.Checker.Finished(); finished != 1 || accepted != 6 {
			t.Errorf("the referee knows of %d jobs, %d over", accepted, finished)
		}
	})
}

// TestMetricsPage: the operators' page of a leader tells who leads, what it has and how
// many requests it answered, and a follower's agrees on the jobs.
func TestMetricsPage(t *testing.T) {
	runCluster(t, 27, func(w *emulator.Environment) {
		time.Sleep(6 * time.Second)
		w.Submit(newJobSpec(1, wire.Array, 3, 500))
		w.Submit(newJobSpec(2, wire.Array, 2, 500))
		time.Sleep(30 * time.Second)
		i := findLeader()
		for range 4 {
			w.RequestAt(i, "poll", "req-000001", nil)
		}
		w.RequestAt(i, "poll", "nonsense", nil)
		read := func(i int) string {
			h := w.Network.Host("operator")
			c := http.Client{
				Transport: &http.Transport{
					DisableKeepAlives: true,
					DialContext: func(ctx context.Context, _, a string) (net.Conn, error) {
						return h.Dial(ctx, a, time.Second)
					},
				},
			}
			resp, err := c.Get("http://" + metricsAddr(emulator.ControllerName(i)) + metrics.Path)
			if err != nil {
				t.Fatal(err)
			}
			defer resp.Body.Close()
			b, err := io.ReadAll(resp.Body)
			if err != nil {
				t.Fatal(err)
			}
			return "\n" + string(b)
		}
		page := read(i)
		for _, want := range []string{"fieldhill_leads 1", "fieldhill_term 1", "fieldhill_jobs 2", `fieldhill_tasks{state="placed"} 5`, `fieldhill_tasks{state="waiting"} 0`,
			"fieldhill_tasks_placed_total 5", `fieldhill_answers_total{request="status",answer="ok"} 4`, `fieldhill_answers_total{request="status",answer="refused"} 1`,
			`fieldhill_request_seconds_count{request="status"} 5`} {
			if !strings.Contains(page, "\n"+want+"\n") {
				t.Errorf("%s is missing", want)
			}
		}
		if page := read(
			(i + 1) % 3,
		); !strings.Contains(page, "\nfieldhill_leads 0\n") ||
			!strings.Contains(page, "\nfieldhill_jobs 2\n") {
			t.Error("a follower has another view")
		}
		if t.Failed() {
			t.Log(page)
		}
	})
}

// TestStopDuringLoopRequest: who has asked the loop for something reads it only when the loop has
// written it, or never will, also when the node stops meanwhile.
func TestStopDuringLoopRequest(t *testing.T) {
	runCluster(t, 24, func(w *emulator.Environment) {
		time.Sleep(6 * time.Second)
		node, result := nodeAt(0), 0
		go func() {
			time.Sleep(100 * time.Millisecond)
			w.Crash(0)
		}()
		node.loop.postAndWait(func() {
			time.Sleep(time.Second)
			result = 1
		})
		if result != 1 {
			t.Error("asked in vain")
		}
		if nodeAt(0) != nil {
			t.Error("the node goes on")
		}
		node.loop.postAndWait(func() { t.Error("run by a node that has ended") })
	})
}

// TestZoneFullyPartitioned: work in a zone that is cut off, its controller included,
// goes on for the bound and ends with its workers' leases; then, and not before, it
// starts elsewhere, and the machines are of use again after the cut.
func TestZoneFullyPartitioned(t *testing.T) {
	runCluster(t, 14, func(w *emulator.Environment) {
		time.Sleep(6 * time.Second)
		zone := "b"
		for n := 1; n <= 7; n++ { // a machine each; three must stay in zone b
			s := newJobSpec(n, wire.Service, 1, 0)
			s.Priority, s.Class = wire.Production, "web"
			if n <= 3 {
				s.CPUs, s.Types, s.Zone = 3, []string{"small"}, &zone
			} else {
				s.CPUs, s.MemoryGB, s.Types, s.Team = 5, 40, []string{"large"}, "blue"
			}
			w.Submit(s)
		}
		time.Sleep(40 * time.Second)
		starts := w.Checker.Starts()
		cut := func(on bool) {
			partitionZone(w, on)
			w.PartitionWorkers("a", 1, on)
			w.PartitionStore(1, on)
		}
		cut(true)
		time.Sleep(35 * time.Second)
		if k := w.Checker.Starts() - starts; k != 0 {
			t.Errorf("%d tasks were started anew within the bound", k)
		}
		time.Sleep(50 * time.Second) // the zone is still cut off
		for n := 4; n <= 7; n++ {
			if k := w.Checker.Running(wire.JobID(uint64(n))); k != 1 {
				t.Errorf("%d replicas of service %d run", k, n)
			}
		}
		if k := w.Checker.Starts() - starts; k == 0 {
			t.Error("no task was started elsewhere")
		}
		cut(false)
		time.Sleep(40 * time.Second)
		for n := 1; n <= 7; n++ {
			if k := w.Checker.Running(wire.JobID(uint64(n))); k != 1 {
				t.Errorf("after the cut %d replicas of service %d run", k, n)
			}
		}
	})
}

// TestPartitionedZoneNotReleased: a leader that is elected during the cut does not return the
// machines of the zone, which are empty by the log and have not reported to it.
func TestPartitionedZoneNotReleased(t *testing.T) {
	runCluster(t, 15, func(w *emulator.Environment) {
		time.Sleep(6 * time.Second)
		zone := "b"
		for n := 1; n <= 4; n++ {
			s := newWebService(n, 3, "small")
			s.Zone = &zone
			w.Submit(s)
		}
		time.Sleep(40 * time.Second)
		before := map[string]bool{}
		for _, worker := range w.Cloud.Workers() {
			if worker.Zone == "b" && w.Checker.HasTasks(worker.Name) {
				before[worker.Name] = true
			}
		}
		if len(before) < 3 {
			t.Fatalf("%d machines of the zone hold work", len(before))
		}
		cut := func(on bool) {
			partitionZone(w, on)
			w.PartitionStore(1, on)
		}
		cut(true)
		time.Sleep(70 * time.Second)
		w.Crash(0)
		w.Crash(2)
		w.Start(0)
		w.Start(2)
		time.Sleep(70 * time.Second)
		for _, worker := range w.Cloud.Workers() {
			delete(before, worker.Name)
		}
		if len(before) > 0 {
			t.Errorf("machines %v were returned during the cut", before)
		}
		cut(false)
		time.Sleep(40 * time.Second)
	})
}

// TestLeaderLosesStore: a leader that has lost the state service alone passes on
// what users ask to the one that leads now. It used to refuse everything until it
// read the log again, while the balancer went on sending users to it.
func TestLeaderLosesStore(t *testing.T) {
	runCluster(t, 16, func(w *emulator.Environment) {
		time.Sleep(6 * time.Second)
		s := newJobSpec(1, wire.Service, 2, 0)
		s.Priority, s.Class = wire.Production, "web"
		w.Submit(s)
		time.Sleep(20 * time.Second)
		for i := range 3 { // one of them leads
			w.PartitionStore(i, true)
			time.Sleep(8 * time.Second)
			for k := range 5 {
				j := newWebService(10+10*i+k, 0.1)
				w.Checker.RegisterJob(j)
				b, _ := wire.Marshal(j)
				began := time.Now()
				if code, _ := w.RequestAt(i, "submit", j.ID, b); code != 201 {
					t.Errorf("node %d: a submission got %d", i, code)
				}
				if d := time.Since(began); d > 500*time.Millisecond {
					t.Errorf("node %d: a submission took %v", i, d)
				}
				if code, _ := w.RequestAt(i, "poll", j.ID, nil); code != 200 {
					t.Errorf("node %d: a poll got %d", i, code)
				}
				time.Sleep(time.Second)
			}
			if code, _ := w.RequestAt(i, "cancel", wire.JobID(uint64(10+10*i)), nil); code != 200 {
				t.Errorf("node %d: a cancellation got %d", i, code)
			}
			w.PartitionStore(i, false)
			time.Sleep(20 * time.Second)
		}
		if k := w.Checker.Running("req-000001"); k != 2 {
			t.Errorf("%d of 2 replicas run", k)
		}
	})
}

// TestLeaderLosesWorkers: a leader that no worker reaches hands over to a controller
// that they reach, before their leases run out.
func TestLeaderLosesWorkers(t *testing.T) {
	savedThreshold := *relayThreshold
	defer func() { *relayThreshold = savedThreshold }()
	*relayThreshold = 0 // with relays it need not hand over: TestRelayFaults
	runCluster(t, 17, func(w *emulator.Environment) {
		time.Sleep(6 * time.Second)
		submitOnePerMachine(w)
		time.Sleep(40 * time.Second)
		starts := w.Checker.Starts()
		for i := range 3 { // one of them leads
			led := findLeader() == i
			for _, zone := range []string{"a", "b"} {
				w.PartitionWorkers(zone, i, true)
			}
			began := time.Now()
			for led && findLeader() == i && time.Since(began) < time.Minute {
				time.Sleep(100 * time.Millisecond)
			}
			if d := time.Since(began); d > 5500*time.Millisecond { // a report period, and 1.5 s to answer
				t.Errorf("node %d leads %v on", i, d)
			}
			time.Sleep(time.Until(began.Add(40 * time.Second)))
			for _, zone := range []string{"a", "b"} {
				w.PartitionWorkers(zone, i, false)
			}
			time.Sleep(10 * time.Second)
		}
		for n := 1; n <= 12; n++ {
			if k := w.Checker.Running(wire.JobID(uint64(n))); k != 1 {
				t.Errorf("%d replicas of service %d run", k, n)
			}
		}
		if k := w.Checker.Starts() - starts; k != 0 {
			t.Errorf("%d tasks were started anew", k)
		}
	})
}

// TestNewLeaderProbesMachines: a new leader hears of the machines with work by asking them, and
// so places new work long before all their workers have found it.
func TestNewLeaderProbesMachines(t *testing.T) {
	runCluster(t, 18, func(w *emulator.Environment) {
		startServices(w, 5)
		for i := range 3 { // one of them leads
			w.Crash(i)
			began := time.Now()
			j := newWebService(10+i, 0.5, "small")
			w.Submit(j)
			waitRunning(w, j.ID, began)
			// The lease, the election, asking, and fetching the image for 1.5 s.
			if d := time.Since(began); d > 3*time.Second+2500*time.Millisecond {
				t.Errorf("node %d: a service ran %v after the crash", i, d)
			}
			w.Start(i)
			time.Sleep(10 * time.Second)
		}
	})
}

// TestNewLeaderProbeUnanswered: one machine with work that says nothing does not keep a new leader from
// placing new work for a whole report period (8.0 s after the crash).
func TestNewLeaderProbeUnanswered(t *testing.T) {
	runCluster(t, 18, func(w *emulator.Environment) {
		startServices(w, 5)
		hangBusyMachine(w, time.Hour)
		i := findLeader()
		w.Crash(i)
		began := time.Now()
		j := newWebService(10, 0.5, "small")
		w.Submit(j)
		waitRunning(w, j.ID, began)
		if d := time.Since(began); d > 3*time.Second+2500*time.Millisecond {
			t.Errorf("a service ran %v after the crash", d)
		}
		w.Start(i)
		time.Sleep(30 * time.Second)
	})
}
