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

// waitForLeader waits until a node leads other than the one named, and returns it and how long that took.
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

// TestLeaderCrashLoop: a leader that ends again and again, each time back within a fraction of a second, used to take
// the lead again itself, cold, while the others ran on. Now another leads as soon as its new process has ended the
// old lease, and keeps the lead through all later ends. Work goes on: nothing is started anew.
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
			now, took := waitForLeader(t, first, 3*time.Second)
			if took > 500*time.Millisecond {
				t.Errorf("another node led %v after the new process began", took)
			}
			for range 8 {
				time.Sleep(2 * time.Second)
				w.Restart(first, back)
				time.Sleep(500 * time.Millisecond)
				if i := findLeader(); i != now {
					t.Errorf("node %d leads instead of %d", i, now)
				}
			}
			time.Sleep(30 * time.Second)
			if k := w.Checker.Starts() - starts; k != 0 {
				t.Errorf("%d tasks were started anew", k)
			}
		})
	}
}

// TestElectionWithoutWarmCandidate: where all processes are equally cold, or the others are gone or can't be heard
// of, a fresh one leads all the same.
func TestElectionWithoutWarmCandidate(t *testing.T) {
	for name, c := range map[string]struct {
		end    func(w *emulator.Environment)
		within time.Duration
	}{
		"all end at once and are back one after the other": {func(w *emulator.Environment) {
			for i := range 3 {
				w.Kill(i)
			}
			for i := range 3 {
				time.Sleep(200 * time.Millisecond)
				w.Start(i)
			}
		}, 600 * time.Millisecond},
		"all end and one comes back": {func(w *emulator.Environment) {
			i := findLeader()
			for k := range 3 {
				w.Kill(k)
			}
			time.Sleep(200 * time.Millisecond)
			w.Start(i)
		}, 1300 * time.Millisecond},
		"the others are parted from it": {func(w *emulator.Environment) {
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

// TestColdPartitionedNodeYields: a fresh process that hears of nobody, since links are refused, leaves the lead to a
// warm one that sees the same key go.
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

// TestDelayedElectionTransaction: a transaction that takes the lead for a process that has ended is carried out after
// the next one has read the log. The key names a node that runs and does not lead; it ends that lease instead of
// everybody waiting for its end.
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
		won, err := election.Acquire(
			w.Context(),
			store,
			emulator.ControllerName((i+1)%3),
			slog.New(slog.DiscardHandler),
		)
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
				t.Errorf("term %d is led, after %d was nobody's", node.term.ownTerm.leader.Term, won.Term)
			}
		})
	})
}

// TestRequestsBeforeLogLoaded: a process that has just begun, of which nobody noticed that the one before it ended,
// is asked at once. It calls no job unknown, ends no worker's lease, and says when to come back.
func TestRequestsBeforeLogLoaded(t *testing.T) {
	runCluster(t, 52, func(w *emulator.Environment) {
		time.Sleep(6 * time.Second)
		w.Submit(newWebService(1, 1, "small"))
		time.Sleep(20 * time.Second)
		i := (findLeader() + 1) % 3
		w.Store.SetLatency(400 * time.Millisecond) // so that there is time to ask
		w.Restart(i, 20*time.Millisecond)
		time.Sleep(20 * time.Millisecond)
		node := nodeAt(i)
		loaded := true
		node.loop.postAndWait(func() { loaded = node.replica.loaded })
		if loaded {
			t.Error("the log was read already: the test is for before")
		}
		report := &wire.Heartbeat{Machine: "host-000001", AgentEpoch: 1, Seq: 1}
		if a := api.Respond(node.heartbeatRouter.Heartbeat(w.Context(), report)); a.Status != 421 {
			t.Errorf("a report got %d", a.Status)
		}
		for range 10 { // the job that there is, at any time from here on
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

// TestIdleFollowerConnected: where nothing happens a follower is in touch with the state service all the same. By the
// age of its replica it was not for a third of the time, and passed users on to others.
func TestIdleFollowerConnected(t *testing.T) {
	runCluster(t, 53, func(w *emulator.Environment) {
		time.Sleep(30 * time.Second)
		follower := nodeAt((findLeader() + 1) % 3)
		for range 100 {
			time.Sleep(107 * time.Millisecond)
			if _, connected := follower.forward.routingState(); !connected {
				t.Fatal("a follower says that it does not reach the state service")
			}
		}
		w.Store.SetOutage(true)
		time.Sleep(2*followTimeout + linkFreshness) // a watch that was open may still be answered
		if _, connected := follower.forward.routingState(); connected {
			t.Error("a follower says in an outage that it reaches the state service")
		}
		w.Store.SetOutage(false)
	})
}

// TestFailoverTimeline: one silent machine with work does not keep what is urgent from its place: it is placed while
// the machine is still asked, which takes more than a second. Every part of the takeover is known, in its order.
func TestFailoverTimeline(t *testing.T) {
	runCluster(t, 55, func(w *emulator.Environment) {
		startServices(w, 5)
		hangBusyMachine(w, 40*time.Second)
		i := findLeader()
		w.Restart(i, 200*time.Millisecond)
		k, _ := waitForLeader(t, i, 3*time.Second)
		began := time.Now()
		j := newWebService(10, 0.5, "small")
		w.Submit(j)
		waitRunning(w, j.ID, began)
		if d := time.Since(began); d > time.Second {
			t.Errorf("a service ran %v after the lead", d)
		}
		time.Sleep(3 * time.Second)
		var timeline candidacy.Timeline
		leader := nodeAt(k)
		leader.loop.postAndWait(func() { timeline = leader.term.ownTerm.leadership.timeline })
		last := time.Duration(-1)
		for p := range candidacy.AgentsAccounted {
			after, reached := timeline.ReachedAfter(p)
			if !reached || after < last {
				t.Errorf("%s: %v, %v; the part before it came after %v", p, reached, after, last)
			}
			last = after
		}
		leads, _ := timeline.ReachedAfter(candidacy.Leading)
		allReported, reached := timeline.ReachedAfter(candidacy.AgentsAccounted)
		if !reached || leads > 500*time.Millisecond || allReported-leads < time.Second {
			t.Errorf("it led after %v, and had heard of all after %v (%v)", leads, allReported, reached)
		}
	})
}

// TestFailoverDuringZonePartition: a new leader does not wait for each machine of a zone that is cut off: once some
// were asked in vain, and none of it was heard of while others were, the rest is not waited for, and not asked before
// them. They count as placed where they are.
func TestFailoverDuringZonePartition(t *testing.T) {
	defer func(n int) { maxSilentProbes = n }(maxSilentProbes)
	maxSilentProbes = 6
	runClusterWithTeams(t, 56, defaultTeams, func(w *emulator.Environment) {
		w.Cloud.SetCapacity(20)
		startServices(w, 20)
		first := findLeader()
		starts := w.Checker.Starts()
		held := 0
		for _, worker := range w.Cloud.Workers() {
			if worker.Zone == "b" && w.Checker.HasTasks(worker.Name) {
				held++
			}
		}
		if held < silentZoneThreshold+2 {
			t.Fatalf("zone b holds work on %d machines only", held)
		}
		for k := range 3 {
			w.PartitionWorkers("b", k, true)
		}
		w.Restart(first, 200*time.Millisecond)
		k, _ := waitForLeader(t, first, 3*time.Second)
		time.Sleep(4 * time.Second)
		n := nodeAt(k)
		n.loop.postAndWait(func() {
			leads, _ := n.term.ownTerm.leadership.timeline.ReachedAfter(candidacy.Leading)
			if allReported, reached := n.term.ownTerm.leadership.timeline.ReachedAfter(
				candidacy.AgentsAccounted,
			); !reached ||
				allReported-leads > 2*time.Second {
				t.Errorf("it had heard of all that can be heard of %v after it led (%v)", allReported-leads, reached)
			}
		})
		for k := range 3 {
			w.PartitionWorkers("b", k, false)
		}
		time.Sleep(20 * time.Second)
		if d := w.Checker.Starts() - starts; d != 0 {
			t.Errorf("%d tasks were started anew", d)
		}
	})
}
