package controller

import (
	"sync"
	"testing"
	"time"

	"fieldhill/internal/emulator"
	"fieldhill/wire"
)

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
