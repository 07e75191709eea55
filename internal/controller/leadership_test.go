package controller

import (
	"context"
	"slices"
	"testing"
	"time"

	"fieldhill/internal/emulator"
	"fieldhill/wire"
)

// TestFrozenLeader: a leader that is frozen is replaced within a lease, and when it goes on it does nothing as a
// leader: no machine is released for the silence that it slept through, and no replica is lost.
func TestFrozenLeader(t *testing.T) {
	runCluster(t, 20, func(w *emulator.Environment) {
		startServices(w, 6)
		starts, busy := w.Checker.Starts(), busyMachines(w)
		pauses := []time.Duration{1500 * time.Millisecond, 7 * time.Second, 30 * time.Second, 60 * time.Second}
		for k, pause := range pauses {
			checkServedWhileFrozen(t, w, newWebService(10+k, 0.1), pause)
			starts++
		}
		if k := w.Checker.Starts() - starts; k != 0 {
			t.Errorf("%d tasks were started again", k)
		}
		up := w.Cloud.Workers()
		for _, worker := range busy {
			if !slices.Contains(up, worker) {
				t.Errorf("%s was released", worker.Name)
			}
		}
	})
}

// checkServedWhileFrozen freezes the leader and requires that another controller accepts a service at once and that it
// runs after a failover. It returns ten seconds after the leader goes on.
func checkServedWhileFrozen(t *testing.T, w *emulator.Environment, s *wire.JobSpec, pause time.Duration) {
	t.Helper()
	i := findLeader()
	freeze(w, i, pause)
	began := time.Now()
	body := registerJob(t, w, s)
	time.Sleep(100 * time.Millisecond)
	if code, _ := w.RequestAt((i+1)%3, "submit", s.ID, body); code != 201 {
		t.Errorf("a submission to another node got %d", code)
	}
	if took := time.Since(began) - 100*time.Millisecond; took > 200*time.Millisecond {
		t.Errorf("a submission to another node took %v", took)
	}
	waitRunning(w, s.ID, began)
	if took := time.Since(began); took > 7*time.Second {
		t.Errorf("frozen for %v: a service ran after %v", pause, took)
	}
	time.Sleep(time.Until(began.Add(pause + 10*time.Second)))
}

// TestElectionUnderPolls: the polls of a moment without a leader do not delay the next election. Each used to read the
// end of the log for itself, and the election waited behind them in this controller's share of the store's rate.
func TestElectionUnderPolls(t *testing.T) {
	runCluster(t, 12, func(w *emulator.Environment) {
		time.Sleep(6 * time.Second)
		for i := range 40 {
			w.Submit(newWebService(300+i, 0.1))
		}
		time.Sleep(20 * time.Second)
		w.Store.SetLatency(40 * time.Millisecond)
		for i := range 3 { // one of them leads
			w.Crash(i)
			ctx, stop := context.WithCancel(context.Background())
			for k := range 300 { // users poll while there is no leader
				id, delay := wire.JobID(uint64(300+k%40)), time.Duration(k)*3*time.Millisecond
				go pollEverySecond(ctx, w, (i+1+k%2)%3, id, delay)
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

// pollEverySecond polls a job at a controller, after a delay, until the context ends.
func pollEverySecond(ctx context.Context, w *emulator.Environment, node int, id string, delay time.Duration) {
	time.Sleep(delay)
	for ctx.Err() == nil {
		w.RequestAt(node, "poll", id, nil) //nolint:contextcheck // a request outlives the user's loop
		time.Sleep(time.Second)
	}
}

// TestNewLeaderProbesMachines: a new leader probes the machines with work, and so places new work long before all
// their agents have found it.
func TestNewLeaderProbesMachines(t *testing.T) {
	runCluster(t, 18, func(w *emulator.Environment) {
		startServices(w, 5)
		for i := range 3 { // one of them leads
			checkPlacedAfterCrash(t, w, i, newWebService(10+i, 0.5, "small"))
			w.Start(i)
			time.Sleep(10 * time.Second)
		}
	})
}

// checkPlacedAfterCrash crashes a controller and requires that a service runs within the time of a lease, the election,
// probing the machines, and fetching the image for 1.5 s.
func checkPlacedAfterCrash(t *testing.T, w *emulator.Environment, node int, s *wire.JobSpec) {
	t.Helper()
	w.Crash(node)
	began := time.Now()
	w.Submit(s)
	waitRunning(w, s.ID, began)
	if d := time.Since(began); d > 3*time.Second+2500*time.Millisecond {
		t.Errorf("node %d: a service ran %v after the crash", node, d)
	}
}

// TestNewLeaderProbeUnanswered: one silent machine with work does not keep a new leader from placing new work for a
// whole heartbeat interval (8.0 s after the crash).
func TestNewLeaderProbeUnanswered(t *testing.T) {
	runCluster(t, 18, func(w *emulator.Environment) {
		startServices(w, 5)
		if hangBusyMachine(w, time.Hour) == nil {
			t.Error("no machine holds work: nothing is tested")
		}
		i := findLeader()
		checkPlacedAfterCrash(t, w, i, newWebService(10, 0.5, "small"))
		w.Start(i)
		time.Sleep(30 * time.Second)
	})
}
