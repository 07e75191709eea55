package controller

import (
	"slices"
	"testing"
	"time"

	"fieldhill/internal/emulator"
	"fieldhill/wire"
)

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
