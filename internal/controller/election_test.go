package controller

import (
	"log/slog"
	"net/http"
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

// waitForLeader waits until a controller other than the one with index except leads. It returns the index of the leader
// and the time waited, and fails the test if no such controller leads after the time within.
func waitForLeader(t *testing.T, except int, within time.Duration) (i int, took time.Duration) {
	t.Helper()
	began := time.Now()
	for time.Since(began) < within {
		if i = findLeader(); i >= 0 && i != except {
			return i, time.Since(began)
		}
		time.Sleep(10 * time.Millisecond)
	}
	t.Fatalf("no controller other than node %d became leader within %v", except, within)
	return -1, 0
}

// TestLeaderCrashLoop checks that a leader that crashes repeatedly and restarts within a fraction of a second is
// replaced: another controller leads as soon as the new process has revoked the old lease, and stays leader through all
// later crashes. Without the rule that warm controllers, whose replica is up to date, go first, the restarted process
// wins the election again with an empty replica. No task may be started again.
func TestLeaderCrashLoop(t *testing.T) {
	for k, downtime := range []time.Duration{20 * time.Millisecond, 200 * time.Millisecond, 300 * time.Millisecond} {
		runCluster(t, uint64(40+k), func(w *emulator.Environment) {
			time.Sleep(6 * time.Second)
			for n := 1; n <= 4; n++ {
				w.Submit(newWebService(n, 1, "small"))
			}
			time.Sleep(30 * time.Second)
			starts := w.Checker.Starts()
			first := findLeader()
			w.Restart(first, downtime)
			next, took := waitForLeader(t, first, 3*time.Second)
			if took > 500*time.Millisecond {
				t.Errorf("another node became leader after %v, want at most 500 ms", took)
			}
			for range 8 {
				time.Sleep(2 * time.Second)
				w.Restart(first, downtime)
				time.Sleep(500 * time.Millisecond)
				if i := findLeader(); i != next {
					t.Errorf("node %d is leader, want node %d", i, next)
				}
			}
			time.Sleep(30 * time.Second)
			if restarts := w.Checker.Starts() - starts; restarts != 0 {
				t.Errorf("%d tasks were started again, want none", restarts)
			}
		})
	}
}

// TestElectionWithoutWarmCandidate checks that a newly started controller becomes leader if no warm one can, either
// because all controllers were restarted or because the others are stopped or unreachable.
func TestElectionWithoutWarmCandidate(t *testing.T) {
	for name, c := range map[string]struct {
		inject func(w *emulator.Environment)
		within time.Duration
	}{
		"all restarted in sequence": {func(w *emulator.Environment) {
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
				c.inject(w)
				_, took := waitForLeader(t, -1, 5*time.Second)
				t.Logf("leader elected after %v", took)
				if took > c.within {
					t.Errorf("leader elected after %v, want at most %v", took, c.within)
				}
			})
		})
	}
}

// TestColdPartitionedNodeYields checks that a restarted controller that cannot reach any other controller leaves the
// election to a warm controller, one with an up-to-date replica, that sees the leader key disappear.
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

// TestDelayedElectionTransaction checks the case in which the store applies an election transaction of an ended process
// after the next process of that node has read the log. The leader key then names a running controller that does not
// lead. That controller has to revoke the lease of the key, so that the others need not wait for it to expire.
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
			t.Errorf("leader elected after %v, want at most 500 ms", took)
		}
		node = nodeAt(k)
		node.loop.postAndWait(func() {
			if node.term.ownTerm.leader.Term != won.Term+1 {
				t.Errorf("leader's term is %d, want the one after unused term %d",
					node.term.ownTerm.leader.Term, won.Term)
			}
		})
	})
}

// TestRequestsBeforeLogLoaded checks how a controller answers requests before it has loaded the log, right after a
// restart that no other controller has noticed: it reports no job as unknown, ends no agent's lease, and tells clients
// to retry.
func TestRequestsBeforeLogLoaded(t *testing.T) {
	runCluster(t, 52, func(w *emulator.Environment) {
		time.Sleep(6 * time.Second)
		w.Submit(newWebService(1, 1, "small"))
		time.Sleep(20 * time.Second)
		i := (findLeader() + 1) % 3
		w.Store.SetLatency(400 * time.Millisecond) // requests arrive while the log is being loaded
		w.Restart(i, 20*time.Millisecond)
		time.Sleep(20 * time.Millisecond)
		node := nodeAt(i)
		loaded := true
		node.loop.postAndWait(func() { loaded = node.replica.loaded })
		if loaded {
			t.Error("the log is already loaded: precondition not met")
		}
		heartbeat := &wire.Heartbeat{Machine: "host-000001", AgentEpoch: 1, Seq: 1}
		response := api.Respond(node.heartbeatRouter.Heartbeat(w.Context(), heartbeat))
		if response.Status != http.StatusMisdirectedRequest {
			t.Errorf("heartbeat returned status %d, want %d", response.Status, http.StatusMisdirectedRequest)
		}
		for range 10 { // the job exists, so 404 would be wrong at any time
			if code, _ := w.RequestAt(i, "poll", "req-000001", nil); code != 200 && code != 503 {
				t.Errorf("poll returned status %d, want 200 or 503", code)
			}
			time.Sleep(100 * time.Millisecond)
		}
		w.Store.SetLatency(3 * time.Millisecond)
		time.Sleep(40 * time.Second)
		if running := w.Checker.RunningTasks("req-000001"); running != 1 {
			t.Errorf("%d replicas are running, want 1", running)
		}
	})
}

// TestIdleFollowerConnected checks that a follower of an idle log counts as connected to the store. If the connection
// were judged by the age of the replica, the follower would count as disconnected for a third of the time and forward
// requests to other controllers.
func TestIdleFollowerConnected(t *testing.T) {
	runCluster(t, 53, func(w *emulator.Environment) {
		time.Sleep(30 * time.Second)
		follower := nodeAt((findLeader() + 1) % 3)
		for range 100 {
			time.Sleep(107 * time.Millisecond)
			if _, connected := follower.forward.routingState(); !connected {
				t.Fatal("follower does not count as connected to the store")
			}
		}
		w.Store.SetOutage(true)
		time.Sleep(2*followTimeout + linkTimeout) // a watch opened before the outage may still be answered
		if _, connected := follower.forward.routingState(); connected {
			t.Error("follower counts as connected to the store during an outage")
		}
		w.Store.SetOutage(false)
	})
}

// TestFailoverTimeline checks that a silent machine with tasks does not delay an urgent task after a failover: the task
// is placed while the new leader is still probing the machine, which takes more than a second. All phases of the
// failover have to be recorded in order.
func TestFailoverTimeline(t *testing.T) {
	runCluster(t, 55, func(w *emulator.Environment) {
		startServices(w, 5)
		if hangBusyMachine(w, 40*time.Second) == nil {
			t.Error("no machine has tasks: precondition not met")
		}
		i := findLeader()
		w.Restart(i, 200*time.Millisecond)
		k, _ := waitForLeader(t, i, 3*time.Second)
		began := time.Now()
		j := newWebService(10, 0.5, "small")
		w.Submit(j)
		waitRunning(w, j.ID, began)
		if d := time.Since(began); d > time.Second {
			t.Errorf("service was running %v after the election, want at most 1 s", d)
		}
		time.Sleep(3 * time.Second)
		var timeline candidacy.Timeline
		leader := nodeAt(k)
		leader.loop.postAndWait(func() { timeline = leader.term.ownTerm.leadership.timeline })
		last := time.Duration(-1)
		for phase := range candidacy.AgentsAccounted {
			after, reached := timeline.ReachedAfter(phase)
			if !reached || after < last {
				t.Errorf("phase %s: reached %v after %v, want true, not before the previous phase at %v",
					phase, reached, after, last)
			}
			last = after
		}
		leads, _ := timeline.ReachedAfter(candidacy.Leading)
		accounted, reached := timeline.ReachedAfter(candidacy.AgentsAccounted)
		if !reached || leads > 500*time.Millisecond || accounted-leads < time.Second {
			t.Errorf("leading after %v, want at most 500 ms; "+
				"agents accounted for after %v (reached %v), want at least 1 s later", leads, accounted, reached)
		}
	})
}

// TestFailoverDuringZonePartition checks that a new leader does not wait for every machine of a partitioned zone. After
// some unanswered probes, if it has received heartbeats only from agents of other zones, it stops waiting for the
// zone's machines and probes those of other zones first. The log still places tasks on the partitioned machines,
// and these tasks are not started again.
func TestFailoverDuringZonePartition(t *testing.T) {
	defer func(saved int) { maxSilentProbes = saved }(maxSilentProbes)
	maxSilentProbes = 6
	runClusterWithTeams(t, 56, defaultTeams, func(w *emulator.Environment) {
		w.Cloud.SetCapacity(20)
		startServices(w, 20)
		first := findLeader()
		starts := w.Checker.Starts()
		busy := 0
		for _, worker := range busyMachines(w) {
			if worker.Zone == "b" {
				busy++
			}
		}
		if busy < silentZoneThreshold+2 {
			t.Fatalf("only %d machines of zone b have tasks, want at least %d", busy, silentZoneThreshold+2)
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
				t.Errorf("reachable agents accounted for %v after leading (reached %v), want at most 2 s",
					accounted-leads, reached)
			}
		})
		partitionZoneAgents(w, false)
		time.Sleep(20 * time.Second)
		if restarts := w.Checker.Starts() - starts; restarts != 0 {
			t.Errorf("%d tasks were started again, want none", restarts)
		}
	})
}
