package controller

import (
	"slices"
	"testing"
	"time"

	"fieldhill/internal/emulator"
	"fieldhill/wire"
)

// TestHungMachine checks that the tasks of a silent machine are not started on another machine while the silent one may
// still run them, and that a machine that recovers does not run them a second time.
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

// TestHungMachineAtFailover checks that a machine that hangs during a failover is released as early as one that hangs
// without a failover, because the new leader probes it. Without the probe, the machine is kept six seconds longer, and
// its replicas are down for that time.
func TestHungMachineAtFailover(t *testing.T) {
	runCluster(t, 25, func(w *emulator.Environment) {
		time.Sleep(6 * time.Second)
		for n := 1; n <= 6; n++ {
			w.Submit(newWebService(n, 2, "small"))
		}
		time.Sleep(40 * time.Second)
		busy := busyMachines(w)
		hung := busy[len(busy)-1]
		hung.Hang(50 * time.Second)
		time.Sleep(time.Second)
		w.StopAndWait(findLeader())
		began := time.Now()
		for slices.Contains(w.Cloud.Workers(), hung) && time.Since(began) < time.Minute {
			time.Sleep(100 * time.Millisecond)
		}
		if d := time.Since(began); d > 12500*time.Millisecond { // a lease period and 7.5 s of silence
			t.Errorf("the machine was released %v after the leader crashed, want at most 12.5 s", d)
		}
	})
}

// TestFaultyMachine checks that a machine on which every task fails is assigned no more tasks and is released.
func TestFaultyMachine(t *testing.T) {
	runCluster(t, 5, func(w *emulator.Environment) {
		time.Sleep(6 * time.Second)
		w.Submit(newJobSpec(1, wire.Array, 4, 3))
		waitState(t, w, "req-000001", wire.JobDone, time.Minute)
		up := w.Cloud.Workers()
		if len(up) == 0 {
			t.Fatal("got 0 booted machines, want at least 1")
		}
		faulty := up[0]
		faulty.FailAllTasks()
		for n := 2; n < 6; n++ {
			w.Submit(newJobSpec(n, wire.Array, 6, 4))
		}
		for n := 2; n < 6; n++ {
			waitState(t, w, wire.JobID(uint64(n)), wire.JobDone, 2*time.Minute)
		}
		if slices.Contains(w.Cloud.Workers(), faulty) {
			t.Errorf("faulty machine %s is still provisioned, want it released", faulty.Name)
		}
	})
}

// TestFaultyJobs checks that, if all tasks of several jobs fail on every machine, the failures are attributed to the
// jobs: only the machine that is really faulty is released, other work continues, and the jobs are retried at a low
// rate. If the failures were attributed to the machines, two such jobs could cause the release of every machine that
// they ran on.
func TestFaultyJobs(t *testing.T) {
	runCluster(t, 19, func(w *emulator.Environment) {
		time.Sleep(6 * time.Second)
		w.Submit(newReplicatedService(1, 3))
		w.Submit(newJobSpec(2, wire.Array, 12, 3))
		waitState(t, w, "req-000002", wire.JobDone, time.Minute)
		var serving []*emulator.Worker // machines that must not be released
		var faulty *emulator.Worker
		for _, worker := range w.Cloud.Workers() {
			if w.Checker.HasTasks(worker.Name) {
				serving = append(serving, worker)
			} else {
				faulty = worker
			}
		}
		faulty.FailAllTasks()
		submitFailingJobs(w)
		for n := 20; n < 24; n++ {
			w.Submit(newJobSpec(n, wire.Array, 8, 20))
		}
		for n := 20; n < 24; n++ {
			waitState(t, w, wire.JobID(uint64(n)), wire.JobDone, 3*time.Minute)
		}
		up := w.Cloud.Workers()
		if slices.Contains(up, faulty) {
			t.Errorf("faulty machine %s is still provisioned, want it released", faulty.Name)
		}
		for _, worker := range serving {
			if !slices.Contains(up, worker) {
				t.Errorf("%s, which is not faulty, was released", worker.Name)
			}
		}
		for n := 10; n < 14; n++ {
			checkRetryRate(t, w, wire.JobID(uint64(n)))
		}
		if n := w.Checker.RunningTasks("req-000001"); n != 3 {
			t.Errorf("%d replicas are running, want 3", n)
		}
	})
}

// submitFailingJobs submits jobs 10 to 13, whose tasks fail on every machine: three arrays and a gang.
func submitFailingJobs(w *emulator.Environment) {
	for n := 10; n < 14; n++ {
		s := newJobSpec(n, wire.Array, 20, 4)
		if n == 13 {
			s.Shape, s.Tasks, s.Priority = wire.Gang, 1, wire.High
		}
		w.FailJob(s.ID)
		w.Submit(s)
	}
}

// checkRetryRate requires that a failing job is started at most three times in ten seconds, and cancels it.
func checkRetryRate(t *testing.T, w *emulator.Environment, id string) {
	t.Helper()
	before := w.Checker.StartsOf(id)
	time.Sleep(10 * time.Second)
	if k := w.Checker.StartsOf(id) - before; k > 3 {
		t.Errorf("%s was started %d times within 10 s, want at most 3", id, k)
	}
	if c := w.Cancel(id); c != 200 {
		t.Errorf("cancellation of %s returned status %d, want 200", id, c)
	}
}

// TestBootFaults checks that a machine that boots before the cloud has answered the scale-out request is counted once,
// that a machine that fails to boot is replaced and released, and that work continues.
func TestBootFaults(t *testing.T) {
	runCluster(t, 22, func(w *emulator.Environment) {
		time.Sleep(6 * time.Second)
		w.Cloud.SetBootFaults(0.001, 0)
		for n := 1; n <= 4; n++ {
			s := newWebService(n, 3, "small")
			s.Class = "other"
			w.Submit(s)
		}
		time.Sleep(20 * time.Second)
		if k := w.Cloud.Launched(); k != 4 {
			t.Errorf("%d machines were provisioned for four services, want 4", k)
		}
		w.Cloud.SetBootFaults(1, 2)
		for n := 5; n <= 8; n++ {
			s := newWebService(n, 3, "large")
			s.Class, s.MemoryGB, s.Team = "other", 60, "blue"
			w.Submit(s)
		}
		time.Sleep(100 * time.Second)
		if other := unexpectedTaskCounts(w, 1, 8, 1); len(other) > 0 {
			t.Errorf("services without exactly 1 running replica: %v", other)
		}
		time.Sleep(60 * time.Second)
		if k := len(w.Cloud.Workers()); k != 8 {
			t.Errorf("%d machines remain for eight services, want 8", k)
		}
	})
}

// TestDelayedMachineDeletion checks that a machine deletion that one leader requests and the cloud carries out under
// the next leader interrupts no task: the release is in the log, so neither leader assigns tasks to the machine.
func TestDelayedMachineDeletion(t *testing.T) {
	runCluster(t, 21, func(w *emulator.Environment) {
		time.Sleep(6 * time.Second)
		w.Submit(newJobSpec(1, wire.Array, 40, 4))
		waitState(t, w, "req-000001", wire.JobDone, 2*time.Minute)
		w.Cloud.DelayDeletions(25 * time.Second) // idle machines are released from here on
		time.Sleep(16 * time.Second)
		w.StopAndWait(findLeader())
		time.Sleep(4 * time.Second)
		for n := 2; n <= 6; n++ {
			w.Submit(newWebService(n, 3))
		}
		time.Sleep(20 * time.Second)
		w.Cloud.DelayDeletions(0)
		time.Sleep(40 * time.Second)
		for n := 2; n <= 6; n++ {
			if k := w.Checker.StartsOf(wire.JobID(uint64(n))); k != 1 {
				t.Errorf("service %d was started %d times, want once", n, k)
			}
		}
	})
}
