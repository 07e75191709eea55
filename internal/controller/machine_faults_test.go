package controller

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"fieldhill/internal/emulator"
	"fieldhill/wire"
)

// The tests in this file combine faults with the boot, loss and release of machines.

// TestImmediateBoot checks machines that boot within two seconds, or before the cloud has answered the scale-out
// request, and get tasks at once, while transactions are applied late and the leader restarts. Such machines may run
// tasks while only the leader knows of them, before their scale-out request has a response. They must be used or
// released, and no task may start twice.
func TestImmediateBoot(t *testing.T) {
	var justBooted atomic.Int64
	runFaultCombination(t, 2, 80, func(t *testing.T, w *emulator.Environment, _ uint64, rng *rand.Rand) {
		time.Sleep(6 * time.Second)
		w.Cloud.SetBootFaults(0.001+0.2*rng.Float64(), 0)
		w.Cloud.DropResponses(0.4)
		w.Store.DelayTxns(0.2, 10*time.Second)
		var open []string
		n := 10
		for range 6 {
			before := len(w.Cloud.Workers())
			for range 2 + rng.IntN(3) {
				open = append(open, submitForNewMachine(w, rng, n))
				n++
			}
			for range 40 { // until a machine has booted
				time.Sleep(50 * time.Millisecond)
				if len(w.Cloud.Workers()) > before {
					break
				}
			}
			time.Sleep(randomMillis(rng, 0, 1500))
			justBooted.Add(int64(max(0, len(w.Cloud.Workers())-before)))
			w.Restart(leaderOrFirst(), randomMillis(rng, 20, 900))
			time.Sleep(randomMillis(rng, 0, 4000))
			for k := range open {
				if rng.IntN(4) == 0 {
					go w.Cancel(open[k])
				}
			}
		}
		w.Cloud.DropResponses(0)
		w.Store.DelayTxns(0, 0)
		w.Cloud.SetBootFaults(1, 0)
		checkConvergence(t, w, open)
	})
	if justBooted.Load() < 6 {
		t.Errorf("%d machines had just booted at leader restarts, want at least 6: fault combination did not occur",
			justBooted.Load())
	}
}

// TestCancelledTaskOutlivesLeadersOnHungMachine guards against a cancelled task that stays on a hung machine because
// leaders change so often that for none of them the machine is silent for long enough to count as lost.
func TestCancelledTaskOutlivesLeadersOnHungMachine(t *testing.T) {
	runCluster(t, 83, func(w *emulator.Environment) {
		time.Sleep(6 * time.Second)
		w.Submit(newHighArray(1, 1, 1, 600))
		time.Sleep(30 * time.Second)
		machine := hangBusyMachine(w, 90*time.Second)
		if machine == nil || w.Cancel(wire.JobID(1)) != http.StatusOK {
			t.Fatal("no running task was cancelled")
		}
		cancelled, limit := time.Now(), time.Duration(w.Params.Workers.CancelS*float64(time.Second))
		for time.Sleep(2 * time.Second); time.Since(cancelled) < limit; time.Sleep(5 * time.Second) {
			w.Restart(leaderOrFirst(), 5*time.Second)
		}
	})
}

// submitForNewMachine submits a service that needs a machine of its own, without waiting for the response, and returns
// its ID.
func submitForNewMachine(w *emulator.Environment, rng *rand.Rand, n int) string {
	s := newWebService(n, 2+2*rng.Float64(), "small")
	if rng.IntN(2) == 0 {
		s.CPUs, s.Types, s.MemoryGB, s.Team = 3, []string{"large"}, 40, "blue"
	}
	w.Checker.RegisterJob(s)
	go w.Submit(s)
	return s.ID
}

// TestOutboundPartition checks that all jobs run again after agents were unable to open connections to any controller
// for longer than a lease, while probes and direct commands reached the agents. The partition affects one machine, a
// zone, or all machines. During the partition, jobs are cancelled and the leader changes.
func TestOutboundPartition(t *testing.T) {
	for _, c := range []struct {
		name string
		pick func(worker *emulator.Worker, partitioned int) bool
	}{
		{"one machine", func(_ *emulator.Worker, partitioned int) bool { return partitioned == 0 }},
		{"one zone", func(worker *emulator.Worker, _ int) bool { return worker.Zone == "b" }},
		{"all machines", func(*emulator.Worker, int) bool { return true }},
	} {
		t.Run(c.name, func(t *testing.T) {
			runFaultCombination(t, 1, 82, func(t *testing.T, w *emulator.Environment, _ uint64, rng *rand.Rand) {
				outboundPartition(t, w, rng, c.pick)
			})
		})
	}
}

// outboundPartition runs TestOutboundPartition with an outbound partition of the busy machines for which pick returns
// true. The second argument of pick is the number of machines picked so far.
func outboundPartition(
	t *testing.T,
	w *emulator.Environment,
	rng *rand.Rand,
	pick func(worker *emulator.Worker, partitioned int) bool,
) {
	t.Helper()
	startServices(w, 4)
	for n := 100; n < 108; n++ {
		w.Submit(newHighArray(n, 2, 0.5, 1000))
	}
	time.Sleep(20 * time.Second)
	starts, partitioned := w.Checker.Starts(), 0
	for _, worker := range busyMachines(w) {
		if pick(worker, partitioned) {
			worker.SetOutboundPartition(true)
			partitioned++
		}
	}
	if partitioned == 0 {
		t.Fatal("got 0 partitioned machines, want at least 1: the fault combination did not occur")
	}
	time.Sleep(randomSeconds(rng, 5, 15))
	for n := 100; n < 103; n++ {
		if code := w.Cancel(wire.JobID(uint64(n))); code != 200 {
			t.Errorf("cancellation returned status %d, want 200", code)
		}
	}
	w.Restart(leaderOrFirst(), 300*time.Millisecond)
	time.Sleep(75 * time.Second)
	t.Logf("%d partitioned machines, %d tasks restarted, %d of 4 services running",
		partitioned, w.Checker.Starts()-starts, servicesUp(w, 4))
	for _, worker := range w.Cloud.Workers() {
		worker.SetOutboundPartition(false)
	}
	time.Sleep(40 * time.Second)
	if up := servicesUp(w, 4); up != 4 {
		t.Errorf("%d services are running, want 4", up)
	}
	if other := unexpectedTaskCounts(w, 103, 107, 2); len(other) > 0 {
		t.Errorf("jobs without exactly 2 running tasks: %v", other)
	}
}

// TestZoneConstrainedJobs checks that arrays and gangs complete although two thirds of them may run in one zone only,
// and that zone's machines are reclaimed, hang and reboot, with failovers in between. There is more work than capacity,
// and images are fetched over slow links.
func TestZoneConstrainedJobs(t *testing.T) {
	runFaultCombination(t, 1, 84, func(t *testing.T, w *emulator.Environment, _ uint64, rng *rand.Rand) {
		w.Cloud.SetCapacity(2)
		w.SetFetchDuration(8 * time.Second)
		time.Sleep(6 * time.Second)
		zone := "b"
		var ids []string
		for n := 1; n <= 24; n++ {
			j := newJobSpec(n, wire.Array, 2+rng.IntN(8), 3+5*rng.Float64())
			j.Image = fmt.Sprint("img-", n%4)
			switch n % 4 {
			case 0:
				toGang(j, 1+rng.IntN(3))
				j.Priority, j.SameZone = wire.High, true
			case 1:
				j.Team = "blue"
			}
			if n%3 > 0 {
				j.Zone = &zone
			}
			w.Submit(j)
			ids = append(ids, j.ID)
		}
		lost := 0
		for range 6 {
			time.Sleep(randomMillis(rng, 4000, 9000))
			lost += loseZoneMachines(w, rng, zone)
			if rng.IntN(2) == 0 {
				w.Restart(leaderOrFirst(), randomMillis(rng, 20, 300))
			}
		}
		if lost < 3 {
			t.Errorf("%d machines of the zone were lost, want at least 3: the fault combination did not occur", lost)
		}
		w.Checker.MarkFaultsOver()
		for _, id := range ids {
			waitState(t, w, id, wire.JobDone, 8*time.Minute)
		}
	})
}

// loseZoneMachines reclaims, hangs or reboots each busy machine of a zone with a probability of 3/4, and returns the
// number of machines affected.
func loseZoneMachines(w *emulator.Environment, rng *rand.Rand, zone string) (lost int) {
	for _, worker := range busyMachines(w) {
		if worker.Zone != zone {
			continue
		}
		switch lost++; rng.IntN(4) {
		case 0:
			w.Cloud.Reclaim(worker.Name)
		case 1:
			worker.Hang(randomSeconds(rng, 0, 40))
		case 2:
			worker.Reboot(rng.IntN(2) == 0)
		default:
			lost--
		}
	}
	return lost
}

// floodJobs is the number of jobs that TestSubmissionFlood submits, at four per second for two minutes.
const floodJobs = 480

// submissionFlood counts the requests of TestSubmissionFlood that were slow, refused or unanswered, and all polls.
type submissionFlood struct {
	w                                *emulator.Environment
	slow, refused, unanswered, polls atomic.Int64
}

// TestSubmissionFlood submits one-task jobs at four per second for two minutes, while the store enforces its rate
// limits. About a quarter of the jobs are cancelled, some at the moment of their completion. Submissions must be
// accepted, at most 2 % of them after more than a second; at most 1 % of the polls may be unanswered; all jobs must
// end; and the queue of log batches must be short at the end.
func TestSubmissionFlood(t *testing.T) {
	runFaultCombination(t, 1, 86, func(t *testing.T, w *emulator.Environment, seed uint64, rng *rand.Rand) {
		w.Store.SetRateLimits(w.Params.KVStore.RPS, w.Params.KVStore.WriteRPS)
		startServices(w, 3)
		w.CancelAtEnd(0.08)
		flood, done := &submissionFlood{w: w}, make(chan struct{})
		go flood.pollUntil(done, rand.New(rand.NewPCG(seed, 87)))
		cancelled := flood.submit(rng) + w.CancelledAtEnd()
		time.Sleep(60 * time.Second)
		close(done)
		slow, refused := flood.slow.Load(), flood.refused.Load()
		unanswered, polls := flood.unanswered.Load(), flood.polls.Load()
		t.Logf("%d cancelled; %d submissions slow, %d refused; %d of %d polls unanswered",
			cancelled, slow, refused, unanswered, polls)
		if cancelled < floodJobs/6 {
			t.Errorf("%d of %d jobs were cancelled, want at least %d: the fault combination did not occur",
				cancelled, floodJobs, floodJobs/6)
		}
		if slow > floodJobs/50 || refused > 0 || unanswered > polls/100 {
			t.Errorf("%d submissions took over a second, want at most %d; %d were refused, want none; "+
				"%d polls were not answered within 2 s, want at most %d",
				slow, floodJobs/50, refused, unanswered, polls/100)
		}
		for n := range floodJobs {
			if err := pollEnded(w, wire.JobID(uint64(100+n))); err != nil {
				t.Error(err)
			}
		}
		leader := nodeAt(leaderOrFirst())
		if leader == nil {
			return
		}
		leader.loop.postAndWait(func() {
			if leader.term.ownTerm == nil || len(leader.term.ownTerm.commits.queue) > 2 ||
				len(leader.replica.model.Jobs) > 3 {
				t.Errorf("there is no leader, or the log has fallen behind: %d unfinished jobs, want at most 3 "+
					"and at most 2 queued batches", len(leader.replica.model.Jobs))
			}
		})
	})
}

// pollUntil polls random jobs, about sixteen times per second, until done is closed.
func (f *submissionFlood) pollUntil(done <-chan struct{}, rng *rand.Rand) {
	for {
		select {
		case <-done:
			return
		case <-time.After(60 * time.Millisecond):
		}
		go f.poll(wire.JobID(uint64(100 + rng.IntN(floodJobs))))
	}
}

// poll polls a job, and counts the poll as unanswered unless it returns status 200 or 404 within two seconds.
func (f *submissionFlood) poll(id string) {
	f.polls.Add(1)
	began := time.Now()
	code, _ := f.w.Request("poll", id, nil)
	if code != 200 && code != 404 || time.Since(began) > 2*time.Second {
		f.unanswered.Add(1)
	}
}

// submit submits all jobs and cancels some of them within 8 s after their submission. It returns the number of jobs
// that it cancels.
func (f *submissionFlood) submit(rng *rand.Rand) (cancelled int) {
	for n := range floodJobs {
		j := newJobSpec(100+n, wire.Array, 1, 4+10*rng.Float64())
		j.CPUs, j.MemoryGB, j.Image = 0.25, 0.2, fmt.Sprint("img-", n%3)
		cancelAfter := time.Duration(-1)
		if rng.IntN(6) == 0 {
			cancelAfter = randomMillis(rng, 0, 8000)
			cancelled++
		}
		f.w.Checker.RegisterJob(j)
		go func() {
			began := time.Now()
			if code := f.w.Submit(j); code != 201 && code != 200 {
				f.refused.Add(1)
			}
			if time.Since(began) > time.Second {
				f.slow.Add(1)
			}
			if cancelAfter >= 0 {
				time.Sleep(cancelAfter)
				f.w.Cancel(j.ID)
			}
		}()
		time.Sleep(250 * time.Millisecond)
	}
	return cancelled
}
