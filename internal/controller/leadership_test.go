package controller

import (
	"context"
	"slices"
	"testing"
	"time"

	"fieldhill/internal/emulator"
	"fieldhill/wire"
)

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
