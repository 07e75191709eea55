package controller

import (
	"context"
	"slices"
	"testing"
	"time"

	"fieldhill/internal/emulator"
	"fieldhill/wire"
)

// TestFrozenLeader checks that new services start within 7 s although the leader is frozen, for 1.5 s to 60 s. If the
// freeze outlasts the leader's lease, another controller replaces the leader. The frozen controller does not act as a
// leader when it continues: it does not release machines whose heartbeats it missed, and no task is started again.
func TestFrozenLeader(t *testing.T) {
	runCluster(t, 20, func(w *emulator.Environment) {
		startServices(w, 6)
		starts, busy := w.Checker.Starts(), busyMachines(w)
		pauses := []time.Duration{1500 * time.Millisecond, 7 * time.Second, 30 * time.Second, 60 * time.Second}
		for i, pause := range pauses {
			checkServedWhileFrozen(t, w, newWebService(10+i, 0.1), pause)
			starts++
		}
		if restarts := w.Checker.Starts() - starts; restarts != 0 {
			t.Errorf("%d tasks were started again, want none", restarts)
		}
		up := w.Cloud.Workers()
		for _, worker := range busy {
			if !slices.Contains(up, worker) {
				t.Errorf("machine %s was released", worker.Name)
			}
		}
	})
}

// checkServedWhileFrozen freezes the leader and checks that another controller accepts a service within 200 ms and that
// the service runs within 7 s of the start of the freeze. It returns ten seconds after the end of the freeze.
func checkServedWhileFrozen(t *testing.T, w *emulator.Environment, s *wire.JobSpec, pause time.Duration) {
	t.Helper()
	i := findLeader()
	freeze(w, i, pause)
	began := time.Now()
	body := registerJob(t, w, s)
	time.Sleep(100 * time.Millisecond)
	if code, _ := w.RequestAt((i+1)%3, "submit", s.ID, body); code != 201 {
		t.Errorf("submission to another node returned status %d, want 201", code)
	}
	if took := time.Since(began) - 100*time.Millisecond; took > 200*time.Millisecond {
		t.Errorf("submission to another node took %v, want at most 200 ms", took)
	}
	waitRunning(w, s.ID, began)
	if took := time.Since(began); took > 7*time.Second {
		t.Errorf("leader frozen for %v: service was running after %v, want at most 7 s", pause, took)
	}
	time.Sleep(time.Until(began.Add(pause + 10*time.Second)))
}

// TestElectionUnderPolls checks that status requests received while there is no leader do not delay the election. If a
// controller read the end of the log once per status request, the election would wait behind these reads for the
// controller's share of the store's request rate.
func TestElectionUnderPolls(t *testing.T) {
	runCluster(t, 12, func(w *emulator.Environment) {
		time.Sleep(6 * time.Second)
		for i := range 40 {
			w.Submit(newWebService(300+i, 0.1))
		}
		time.Sleep(20 * time.Second)
		w.Store.SetLatency(40 * time.Millisecond)
		for i := range 3 { // in one of the rounds, node i is the leader
			w.StopAndWait(i)
			ctx, stop := context.WithCancel(context.Background())
			for k := range 300 { // users polling while there is no leader
				id, delay := wire.JobID(uint64(300+k%40)), time.Duration(k)*3*time.Millisecond
				go pollEverySecond(ctx, w, (i+1+k%2)%3, id, delay)
			}
			began := time.Now()
			for { // a cancellation succeeds only if there is a leader
				code, _ := w.RequestAt((i+1)%3, "cancel", wire.JobID(uint64(300+i)), nil)
				if code == 200 {
					break
				}
				time.Sleep(100 * time.Millisecond)
			}
			if took := time.Since(began); took > 4500*time.Millisecond {
				t.Errorf("no leader for %v after the crash of node %d, want at most 4.5 s", took, i)
			}
			stop()
			w.Start(i)
			time.Sleep(10 * time.Second)
		}
	})
}

// pollEverySecond polls a job at a controller every second, after a delay, until the context ends.
func pollEverySecond(ctx context.Context, w *emulator.Environment, node int, id string, delay time.Duration) {
	time.Sleep(delay)
	for ctx.Err() == nil {
		w.RequestAt(node, "poll", id, nil) //nolint:contextcheck // a request may outlive ctx
		time.Sleep(time.Second)
	}
}

// TestNewLeaderProbesMachines checks that a new leader probes the machines with tasks, so that it can place new tasks
// long before all of their agents have sent it a heartbeat.
func TestNewLeaderProbesMachines(t *testing.T) {
	runCluster(t, 18, func(w *emulator.Environment) {
		startServices(w, 5)
		for i := range 3 { // in one of the rounds, node i is the leader
			checkPlacedAfterCrash(t, w, i, newWebService(10+i, 0.5, "small"))
			w.Start(i)
			time.Sleep(10 * time.Second)
		}
	})
}

// checkPlacedAfterCrash crashes a controller and checks that a service then runs within 5.5 s: 3 s for the lease to
// expire, and the rest for the election, probes, and an image fetch of 1.5 s.
func checkPlacedAfterCrash(t *testing.T, w *emulator.Environment, node int, s *wire.JobSpec) {
	t.Helper()
	w.StopAndWait(node)
	began := time.Now()
	w.Submit(s)
	waitRunning(w, s.ID, began)
	if took := time.Since(began); took > 3*time.Second+2500*time.Millisecond {
		t.Errorf("node %d: service was running %v after the crash, want at most 5.5 s", node, took)
	}
}

// TestNewLeaderProbeUnanswered checks that one silent machine with tasks does not prevent a new leader from placing new
// tasks for a whole heartbeat interval. If the leader waited that long for the machine, the tasks would start 8.0 s
// after the crash.
func TestNewLeaderProbeUnanswered(t *testing.T) {
	runCluster(t, 18, func(w *emulator.Environment) {
		startServices(w, 5)
		if hangBusyMachine(w, time.Hour) == nil {
			t.Error("no machine has tasks: precondition not met")
		}
		i := findLeader()
		checkPlacedAfterCrash(t, w, i, newWebService(10, 0.5, "small"))
		w.Start(i)
		time.Sleep(30 * time.Second)
	})
}
