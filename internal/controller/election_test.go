package controller

import (
	"log/slog"
	"testing"
	"time"

	"fieldhill/internal/api"
	"fieldhill/internal/emulator"
	"fieldhill/internal/platform/kvstore"
	"fieldhill/internal/replication/candidacy"
	"fieldhill/internal/replication/election"
	"fieldhill/internal/replication/oplog"
	"fieldhill/wire"
)

// waitForLeader waits until another controller leads than the one that is excepted, and returns it and how long that
// took.
func waitForLeader(t *testing.T, except int, within time.Duration) (i int, took time.Duration) {
	t.Helper()
	began := time.Now()
	for time.Since(began) < within {
		if i = findLeader(); i >= 0 && i != except {
			return i, time.Since(began)
		}
		time.Sleep(10 * time.Millisecond)
	}
	t.Fatalf("nobody but node %d led within %v", except, within)
	return -1, 0
}

// TestLeaderCrashLoop: a leader that ends again and again, each time back within a fraction of a second, used to win
// the election again itself, cold, while the others ran on. Now another leads as soon as the new process has ended the
// old lease, and stays leader through all later ends. Work goes on: nothing is started again.
func TestLeaderCrashLoop(t *testing.T) {
	for k, back := range []time.Duration{20 * time.Millisecond, 200 * time.Millisecond, 300 * time.Millisecond} {
		runCluster(t, uint64(40+k), func(w *emulator.Environment) {
			time.Sleep(6 * time.Second)
			for n := 1; n <= 4; n++ {
				w.Submit(newWebService(n, 1, "small"))
			}
			time.Sleep(30 * time.Second)
			starts := w.Checker.Starts()
			first := findLeader()
			w.Restart(first, back)
			next, took := waitForLeader(t, first, 3*time.Second)
			if took > 500*time.Millisecond {
				t.Errorf("another node led %v after the new process began", took)
			}
			for range 8 {
				time.Sleep(2 * time.Second)
				w.Restart(first, back)
				time.Sleep(500 * time.Millisecond)
				if i := findLeader(); i != next {
					t.Errorf("node %d leads instead of %d", i, next)
				}
			}
			time.Sleep(30 * time.Second)
			if k := w.Checker.Starts() - starts; k != 0 {
				t.Errorf("%d tasks were started again", k)
			}
		})
	}
}

// TestElectionWithoutWarmCandidate: where all processes are equally cold, or the others are gone or unreachable, a
// fresh one leads all the same.
func TestElectionWithoutWarmCandidate(t *testing.T) {
	for name, c := range map[string]struct {
		end    func(w *emulator.Environment)
		within time.Duration
	}{
		"all restarted one after the other": {func(w *emulator.Environment) {
			killAll(w)
			for i := range 3 {
				time.Sleep(200 * time.Millisecond)
				w.Start(i)
			}
		}, 600 * time.Millisecond},
		"one of three restarted": {func(w *emulator.Environment) {
			i := findLeader()
			killAll(w)
			time.Sleep(200 * time.Millisecond)
			w.Start(i)
		}, 1300 * time.Millisecond},
		"others partitioned": {func(w *emulator.Environment) {
			i := findLeader()
			w.PartitionControllers(i, (i+1)%3, true)
			w.PartitionControllers(i, (i+2)%3, true)
			w.Kill((i + 1) % 3)
			w.Kill((i + 2) % 3)
			w.Restart(i, 200*time.Millisecond)
		}, 1300 * time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			runCluster(t, 50, func(w *emulator.Environment) {
				time.Sleep(6 * time.Second)
				w.Submit(newWebService(1, 1, "small"))
				time.Sleep(20 * time.Second)
				c.end(w)
				_, took := waitForLeader(t, -1, 5*time.Second)
				t.Logf("led after %v", took)
				if took > c.within {
					t.Errorf("a node led after %v", took)
				}
			})
		})
	}
}

// TestColdPartitionedNodeYields: a fresh process that reaches none of the others leaves leadership to a warm one that
// sees the same key go.
func TestColdPartitionedNodeYields(t *testing.T) {
	runCluster(t, 51, func(w *emulator.Environment) {
		time.Sleep(10 * time.Second)
		i := findLeader()
		w.PartitionControllers(i, (i+1)%3, true)
		w.PartitionControllers(i, (i+2)%3, true)
		time.Sleep(3 * time.Second)
		w.Restart(i, 200*time.Millisecond)
		waitForLeader(t, i, 500*time.Millisecond)
	})
}

// TestDelayedElectionTransaction: a transaction that acquires leadership for a process that has ended is applied after
// the next process has read the log. The key names a controller that runs and does not lead; it ends that lease instead
// of everybody waiting for its expiry.
func TestDelayedElectionTransaction(t *testing.T) {
	runCluster(t, 54, func(w *emulator.Environment) {
		time.Sleep(10 * time.Second)
		i := findLeader()
		var old oplog.Leader
		node := nodeAt(i)
		node.loop.postAndWait(func() { old = node.term.ownTerm.leader })
		store := kvstore.New(w.Network.Host("late"), node.settings.Endpoints.KVStore, 100)
		defer store.Close()
		w.Kill(i)
		for k := range 2 {
			freeze(w, (i+1+k)%3, 100*time.Millisecond)
		}
		if err := store.Revoke(w.Context(), old.Lease); err != nil {
			t.Fatal(err)
		}
		next := emulator.ControllerName((i + 1) % 3)
		won, err := election.Acquire(w.Context(), store, next, slog.New(slog.DiscardHandler))
		if err != nil {
			t.Fatal(err)
		}
		began := time.Now()
		k, _ := waitForLeader(t, -1, 3*time.Second)
		if took := time.Since(began); took > 500*time.Millisecond {
			t.Errorf("a node led after %v", took)
		}
		node = nodeAt(k)
		node.loop.postAndWait(func() {
			if node.term.ownTerm.leader.Term != won.Term+1 {
				t.Errorf("the leader's term is %d, the term before it that nobody led is %d",
					node.term.ownTerm.leader.Term, won.Term)
			}
		})
	})
}

// TestRequestsBeforeLogLoaded: a process that has just begun, when nobody has noticed yet that the one before it ended,
// gets requests at once. It reports no job as unknown, ends no agent's lease, and says when to come back.
func TestRequestsBeforeLogLoaded(t *testing.T) {
	runCluster(t, 52, func(w *emulator.Environment) {
		time.Sleep(6 * time.Second)
		w.Submit(newWebService(1, 1, "small"))
		time.Sleep(20 * time.Second)
		i := (findLeader() + 1) % 3
		w.Store.SetLatency(400 * time.Millisecond) // so that there is time for requests
		w.Restart(i, 20*time.Millisecond)
		time.Sleep(20 * time.Millisecond)
		node := nodeAt(i)
		loaded := true
		node.loop.postAndWait(func() { loaded = node.replica.loaded })
		if loaded {
			t.Error("the log was read already: nothing is tested")
		}
		heartbeat := &wire.Heartbeat{Machine: "host-000001", AgentEpoch: 1, Seq: 1}
		if a := api.Respond(node.heartbeatRouter.Heartbeat(w.Context(), heartbeat)); a.Status != 421 {
			t.Errorf("a heartbeat got %d", a.Status)
		}
		for range 10 { // the job exists, whenever the log is read
			if code, _ := w.RequestAt(i, "poll", "req-000001", nil); code != 200 && code != 503 {
				t.Errorf("a poll got %d", code)
			}
			time.Sleep(100 * time.Millisecond)
		}
		w.Store.SetLatency(3 * time.Millisecond)
		time.Sleep(40 * time.Second)
		if k := w.Checker.Running("req-000001"); k != 1 {
			t.Errorf("%d replicas run", k)
		}
	})
}

// TestIdleFollowerConnected: where nothing happens a follower counts as connected to the store all the same. By the age
// of its replica it did not for a third of the time, and forwarded users to others.
func TestIdleFollowerConnected(t *testing.T) {
	runCluster(t, 53, func(w *emulator.Environment) {
		time.Sleep(30 * time.Second)
		follower := nodeAt((findLeader() + 1) % 3)
		for range 100 {
			time.Sleep(107 * time.Millisecond)
			if _, connected := follower.forward.routingState(); !connected {
				t.Fatal("a follower does not count as connected to the store")
			}
		}
		w.Store.SetOutage(true)
		time.Sleep(2*followTimeout + linkFreshness) // a watch that was open may still be answered
		if _, connected := follower.forward.routingState(); connected {
			t.Error("a follower counts as connected to the store during an outage")
		}
		w.Store.SetOutage(false)
	})
}

// TestFailoverTimeline: one silent machine with work does not delay urgent work: it is placed while the machine is
// still probed, which takes more than a second. Every phase of the failover is recorded, in order.
func TestFailoverTimeline(t *testing.T) {
	runCluster(t, 55, func(w *emulator.Environment) {
		startServices(w, 5)
		if hangBusyMachine(w, 40*time.Second) == nil {
			t.Error("no machine holds work: nothing is tested")
		}
		i := findLeader()
		w.Restart(i, 200*time.Millisecond)
		k, _ := waitForLeader(t, i, 3*time.Second)
		began := time.Now()
		j := newWebService(10, 0.5, "small")
		w.Submit(j)
		waitRunning(w, j.ID, began)
		if d := time.Since(began); d > time.Second {
			t.Errorf("a service ran %v after the election", d)
		}
		time.Sleep(3 * time.Second)
		var timeline candidacy.Timeline
		leader := nodeAt(k)
		leader.loop.postAndWait(func() { timeline = leader.term.ownTerm.leadership.timeline })
		last := time.Duration(-1)
		for phase := range candidacy.AgentsAccounted {
			after, reached := timeline.ReachedAfter(phase)
			if !reached || after < last {
				t.Errorf("%s: %v, %v; the phase before it was reached after %v", phase, reached, after, last)
			}
			last = after
		}
		leads, _ := timeline.ReachedAfter(candidacy.Leading)
		accounted, reached := timeline.ReachedAfter(candidacy.AgentsAccounted)
		if !reached || leads > 500*time.Millisecond || accounted-leads < time.Second {
			t.Errorf("it led after %v, and had accounted for all agents after %v (%v)", leads, accounted, reached)
		}
	})
}

// TestFailoverDuringZonePartition: a new leader does not wait for each machine of a partitioned zone: once some probes
// are unanswered, and no agent of the zone was seen while others were, the rest is not waited for, and not probed
// before the other zones' machines. Its tasks count as placed where they are.
func TestFailoverDuringZonePartition(t *testing.T) {
	defer func(n int) { maxSilentProbes = n }(maxSilentProbes)
	maxSilentProbes = 6
	runClusterWithTeams(t, 56, defaultTeams, func(w *emulator.Environment) {
		w.Cloud.SetCapacity(20)
		startServices(w, 20)
		first := findLeader()
		starts := w.Checker.Starts()
		held := 0
		for _, worker := range busyMachines(w) {
			if worker.Zone == "b" {
				held++
			}
		}
		if held < silentZoneThreshold+2 {
			t.Fatalf("zone b holds work on %d machines only", held)
		}
		partitionZoneAgents(w, true)
		w.Restart(first, 200*time.Millisecond)
		k, _ := waitForLeader(t, first, 3*time.Second)
		time.Sleep(4 * time.Second)
		leader := nodeAt(k)
		leader.loop.postAndWait(func() {
			timeline := &leader.term.ownTerm.leadership.timeline
			leads, _ := timeline.ReachedAfter(candidacy.Leading)
			accounted, reached := timeline.ReachedAfter(candidacy.AgentsAccounted)
			if !reached || accounted-leads > 2*time.Second {
				t.Errorf("it had accounted for all reachable agents %v after it led (%v)", accounted-leads, reached)
			}
		})
		partitionZoneAgents(w, false)
		time.Sleep(20 * time.Second)
		if d := w.Checker.Starts() - starts; d != 0 {
			t.Errorf("%d tasks were started again", d)
		}
	})
}
