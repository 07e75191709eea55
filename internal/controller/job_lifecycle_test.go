package controller

import (
	"sync"
	"testing"
	"time"

	"fieldhill/internal/emulator"
	"fieldhill/wire"
)

// TestJobLifecycle checks that an array, a gang and a service run and end as specified, that jobs that can't run are
// refused, and that idle machines are released.
func TestJobLifecycle(t *testing.T) {
	runCluster(t, 1, func(w *emulator.Environment) {
		time.Sleep(6 * time.Second)
		if c := w.Submit(newJobSpec(1, wire.Array, 12, 5)); c != 201 {
			t.Errorf("submission got status %d, want 201", c)
		}
		g := newJobSpec(2, wire.Gang, 3, 8)
		g.SameZone = true
		w.Submit(g)
		s := newReplicatedService(3, 3)
		s.Spread = true
		w.Submit(s)
		invalid := newJobSpec(4, wire.Array, 1, 5)
		invalid.Team = "green"
		if c := w.Submit(invalid); c != 422 {
			t.Errorf("a job of an unknown team got status %d, want 422", c)
		}
		big := newJobSpec(5, wire.Gang, 30, 5)
		if c := w.Submit(big); c != 422 {
			t.Errorf("a gang above its team's limit got status %d, want 422", c)
		}
		if c, _ := w.Request("poll", "req-777777", nil); c != 404 {
			t.Errorf("status of an unknown job got status %d, want 404", c)
		}
		waitState(t, w, "req-000001", wire.JobDone, time.Minute)
		waitState(t, w, "req-000002", wire.JobDone, time.Minute)
		waitState(t, w, "req-000003", wire.JobRunning, time.Minute)
		if n := w.Checker.RunningTasks("req-000003"); n != 3 {
			t.Errorf("%d replicas run, want 3", n)
		}
		if c := w.Cancel("req-000003"); c != 200 {
			t.Errorf("cancellation got status %d, want 200", c)
		}
		time.Sleep(5 * time.Second)
		if n := w.Checker.RunningTasks("req-000003"); n != 0 {
			t.Errorf("%d replicas run after the cancellation, want 0", n)
		}
		if c := w.Submit(newJobSpec(1, wire.Array, 12, 5)); c != 200 {
			t.Errorf("resubmission of a completed job got status %d, want 200", c)
		}
		time.Sleep(2 * time.Minute)
		if up := len(w.Cloud.Workers()); up > 2 {
			t.Errorf("%d idle machines are kept, want at most 2", up)
		}
	})
}

// TestAllControllersLost checks that an accepted job runs to completion although all controllers end and are started
// again, and that the final state of a job that completed before is still known.
func TestAllControllersLost(t *testing.T) {
	runCluster(t, 2, func(w *emulator.Environment) {
		time.Sleep(6 * time.Second)
		w.Submit(newJobSpec(1, wire.Array, 6, 4))
		waitState(t, w, "req-000001", wire.JobDone, time.Minute)
		w.Submit(newJobSpec(2, wire.Array, 20, 15))
		time.Sleep(10 * time.Second)
		crashAll(w)
		time.Sleep(5 * time.Second)
		startAll(w)
		waitState(t, w, "req-000001", wire.JobDone, 30*time.Second)
		waitState(t, w, "req-000002", wire.JobDone, 3*time.Minute)
	})
}

// TestStoreOutage checks that running tasks survive a store outage that lasts for most of an agent's lease, and that
// submissions during the outage are refused within 300 ms.
func TestStoreOutage(t *testing.T) {
	runCluster(t, 3, func(w *emulator.Environment) {
		time.Sleep(6 * time.Second)
		w.Submit(newReplicatedService(1, 4))
		waitState(t, w, "req-000001", wire.JobRunning, time.Minute)
		time.Sleep(5 * time.Second)
		w.Store.SetOutage(true)
		time.Sleep(5 * time.Second)
		starts := w.Checker.Starts()
		j := newJobSpec(2, wire.Array, 1, 1)
		body, began := registerJob(t, w, j), time.Now()
		if code, _ := w.Request("submit", j.ID, body); code != 503 || time.Since(began) > 300*time.Millisecond {
			t.Errorf("submission during the outage got status %d after %v, want 503 within 300 ms",
				code, time.Since(began))
		}
		time.Sleep(17 * time.Second)
		w.Store.SetOutage(false)
		time.Sleep(30 * time.Second)
		running, again := w.Checker.RunningTasks("req-000001"), w.Checker.Starts()-starts
		if again != 0 || running != 4 {
			t.Errorf("%d replicas run, want 4; %d tasks were restarted, want none", running, again)
		}
		if c := w.Submit(j); c != 201 && c != 200 {
			t.Errorf("submission after the outage got status %d, want 200 or 201", c)
		}
	})
}

// newGuestArray returns an array of team guest, which has no guarantee.
func newGuestArray(n, tasks int, run float64) *wire.JobSpec {
	s := newJobSpec(n, wire.Array, tasks, run)
	s.Team = "guest"
	return s
}

// TestUnguaranteedTeamFlood checks the effects of a team without a guarantee that submits one huge array and many tiny
// jobs. Submissions and services of other teams are not delayed, the team's own jobs make progress, and the team alone
// can't use up the limit of unfinished tasks.
func TestUnguaranteedTeamFlood(t *testing.T) {
	runCluster(t, 24, func(w *emulator.Environment) {
		time.Sleep(6 * time.Second)
		huge := newGuestArray(1, 60_000, 20)
		huge.CPUs, huge.MemoryGB, huge.Spot = 0.5, 0.5, true
		if c := w.Submit(huge); c != 201 {
			t.Errorf("the huge array got status %d, want 201", c)
		}
		time.Sleep(30 * time.Second)
		second := newGuestArray(2, 100_000, 20)
		if c, _ := w.Request("submit", second.ID, registerJob(t, w, second)); c != 201 {
			t.Errorf("the second array got status %d, want 201", c)
		}
		third := newGuestArray(3, 40_000, 20)
		if c, _ := w.Request("submit", third.ID, registerJob(t, w, third)); c != 429 {
			t.Errorf("the third array got status %d, want 429", c)
		}
		w.Cancel("req-000002")
		var users sync.WaitGroup
		for n := range 200 { // ten jobs per second
			users.Go(func() {
				time.Sleep(time.Duration(n) * 100 * time.Millisecond)
				s := newGuestArray(100+n, 1, 10)
				s.CPUs, s.MemoryGB, s.Spot = 0.25, 0.2, true
				if c := w.Submit(s); c != 201 {
					t.Errorf("a tiny job got status %d, want 201", c)
				}
			})
		}
		for n := 10; n < 20; n++ {
			checkServiceStarts(t, w, newWebService(n, 1))
		}
		users.Wait()
		for n := range 200 {
			waitState(t, w, wire.JobID(uint64(100+n)), wire.JobDone, 3*time.Minute)
		}
		if k := w.Checker.StartsOf(huge.ID); k < 100 {
			t.Errorf("%d tasks of the huge array were started, want at least 100", k)
		}
	})
}

// checkServiceStarts submits a service and requires that it is accepted within 300 ms and runs within 4 s, the same
// times as without other load. It returns no earlier than two seconds after the submission.
func checkServiceStarts(t *testing.T, w *emulator.Environment, s *wire.JobSpec) {
	t.Helper()
	began := time.Now()
	if c := w.Submit(s); c != 201 || time.Since(began) > 300*time.Millisecond {
		t.Errorf("submission of a service got status %d after %v, want 201 within 300 ms", c, time.Since(began))
	}
	waitRunning(w, s.ID, began)
	if d := time.Since(began); d > 4*time.Second { // fetching the image takes 1.5 s
		t.Errorf("a service started after %v, want at most 4 s", d)
	}
	time.Sleep(time.Until(began.Add(2 * time.Second)))
}
