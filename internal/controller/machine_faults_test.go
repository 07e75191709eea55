package controller

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"sync/atomic"
	"testing"
	"time"

	"fieldhill/internal/emulator"
	"fieldhill/wire"
)

// These tests bring about meetings with what machines do.

// TestImmediateBoot: machines are up within two seconds, or before the cloud has answered, and get work at once,
// while transactions are carried out late and the leader ends. Machines that run tasks before anybody but their
// leader knows them, whose rental has no answer yet: they are used or returned, and nothing starts twice.
func TestImmediateBoot(t *testing.T) {
	var justBooted atomic.Int64
	runFaultCombination(t, 2, 80, func(t *testing.T, w *emulator.Environment, seed uint64, rng *rand.Rand) {
		time.Sleep(6 * time.Second)
		w.Cloud.SetBootFaults(0.001+0.2*rng.Float64(), 0)
		w.Cloud.DropResponses(0.4)
		w.Store.DelayTxns(0.2, 10*time.Second)
		var open []string
		n := 10
		for range 6 {
			before := len(w.Cloud.Workers())
			for range 2 + rng.IntN(3) {
				s := newWebService(n, 2+2*rng.Float64(), "small")
				if rng.IntN(2) == 0 {
					s.CPUs, s.Types, s.MemoryGB, s.Team = 3, []string{"large"}, 40, "blue"
				}
				n++
				w.Checker.RegisterJob(s)
				go w.Submit(s)
				open = append(open, s.ID)
			}
			for range 40 { // until some are up
				time.Sleep(50 * time.Millisecond)
				if len(w.Cloud.Workers()) > before {
					break
				}
			}
			time.Sleep(randomMillis(rng, 0, 1500))
			justBooted.Add(int64(max(0, len(w.Cloud.Workers())-before)))
			w.Restart(leaderOrFirst(), randomMillis(rng, 20, 900))
			time.Sleep(randomMillis(rng, 0, 4000))
			for k := 0; k < len(open); k++ {
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
		t.Errorf("%d machines were just up as their leader ended: the fault combination did not occur", justBooted.Load())
	}
}

// TestOutboundPartition: workers can't open connections to any controller, while questions and direct commands reach
// them, for longer than a lease: one machine, a zone, or all of them; jobs are cancelled meanwhile, and the leader
// changes. Afterwards all run.
func TestOutboundPartition(t *testing.T) {
	for _, c := range []struct {
		name string
		mute func(worker *emulator.Worker, k int) bool
	}{
		{"one", func(_ *emulator.Worker, k int) bool { return k == 0 }},
		{"a zone", func(worker *emulator.Worker, _ int) bool { return worker.Zone == "b" }},
		{"all", func(*emulator.Worker, int) bool { return true }},
	} {
		t.Run(c.name, func(t *testing.T) {
			runFaultCombination(t, 1, 82, func(t *testing.T, w *emulator.Environment, seed uint64, rng *rand.Rand) {
				startServices(w, 4)
				for n := 100; n < 108; n++ {
					j := newJobSpec(n, wire.Array, 2, 1000)
					j.CPUs, j.Priority = 0.5, wire.High
					w.Submit(j)
				}
				time.Sleep(20 * time.Second)
				starts, k := w.Checker.Starts(), 0
				for _, worker := range w.Cloud.Workers() {
					if w.Checker.HasTasks(worker.Name) && c.mute(worker, k) {
						worker.SetOutboundPartition(true)
						k++
					}
				}
				if k == 0 {
					t.Fatal("no machine is mute: the fault combination did not occur")
				}
				time.Sleep(randomSeconds(rng, 5, 15))
				for n := 100; n < 103; n++ {
					if code := w.Cancel(wire.JobID(uint64(n))); code != 200 {
						t.Errorf("a cancellation got %d", code)
					}
				}
				w.Restart(leaderOrFirst(), 300*time.Millisecond)
				time.Sleep(75 * time.Second)
				t.Logf(
					"%d mute machines, %d tasks started anew, %d of 4 services up",
					k,
					w.Checker.Starts()-starts,
					servicesUp(w, 4),
				)
				for _, worker := range w.Cloud.Workers() {
					worker.SetOutboundPartition(false)
				}
				time.Sleep(40 * time.Second)
				if up := servicesUp(w, 4); up != 4 {
					t.Errorf("%d of 4 services run", up)
				}
				for n := 103; n < 108; n++ {
					if k := w.Checker.Running(wire.JobID(uint64(n))); k != 2 {
						t.Errorf("%d of 2 tasks of job %d run", k, n)
					}
				}
			})
		})
	}
}

// TestZoneConstrainedJobs: arrays, gangs and services that must be in one zone lose its machines, taken, hanging and
// begun anew, with a change of leader; there is more work than room, and images come over slow links. All of it is
// done, there.
func TestZoneConstrainedJobs(t *testing.T) {
	runFaultCombination(t, 1, 84, func(t *testing.T, w *emulator.Environment, seed uint64, rng *rand.Rand) {
		w.Cloud.SetCapacity(2)
		w.SetFetchDuration(8 * time.Second)
		time.Sleep(6 * time.Second)
		b := "b"
		var ids []string
		for n := 1; n <= 24; n++ {
			j := newJobSpec(n, wire.Array, 2+rng.IntN(8), 3+5*rng.Float64())
			j.Image = fmt.Sprint("img-", n%4)
			switch n % 4 {
			case 0:
				j.Shape, j.Tasks, j.CheckpointIntervalS, j.CheckpointWriteS, j.Priority, j.SameZone = wire.Gang, 1+rng.IntN(
					3,
				), 3, 1, wire.High, true
			case 1:
				j.Team = "blue"
			}
			if n%3 > 0 {
				j.Zone = &b
			}
			w.Submit(j)
			ids = append(ids, j.ID)
		}
		lost := 0
		for range 6 {
			time.Sleep(randomMillis(rng, 4000, 9000))
			up := slices.DeleteFunc(
				w.Cloud.Workers(),
				func(worker *emulator.Worker) bool { return worker.Zone != b || !w.Checker.HasTasks(worker.Name) },
			)
			for _, worker := range up {
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
			if rng.IntN(2) == 0 {
				w.Restart(leaderOrFirst(), randomMillis(rng, 20, 300))
			}
		}
		if lost < 3 {
			t.Errorf("%d machines of the zone were lost: the fault combination did not occur", lost)
		}
		w.Checker.MarkFaultsOver()
		for _, id := range ids {
			waitState(t, w, id, wire.JobDone, 8*time.Minute)
		}
	})
}

// TestSubmissionFlood: one-task jobs come four a second for minutes, a quarter cancelled, some at the moment of their
// end; with the state service's limits. Each is taken within a second, no poll is starved, all come to their end, and
// the log does not fall behind.
func TestSubmissionFlood(t *testing.T) {
	runFaultCombination(t, 1, 86, func(t *testing.T, w *emulator.Environment, seed uint64, rng *rand.Rand) {
		w.Store.SetRateLimits(w.Params.KVStore.RPS, w.Params.KVStore.WriteRPS)
		startServices(w, 3)
		w.CancelAtEnd(0.08)
		const jobs = 480 // two minutes
		var slow, refused, unanswered, polls atomic.Int64
		done := make(chan struct{})
		go func(rng *rand.Rand) {
			for {
				select {
				case <-done:
					return
				case <-time.After(60 * time.Millisecond):
				}
				go func(id string) {
					polls.Add(1)
					began := time.Now()
					if code, _ := w.Request(
						"poll",
						id,
						nil,
					); code != 200 && code != 404 ||
						time.Since(began) > 2*time.Second {
						unanswered.Add(1)
					}
				}(wire.JobID(uint64(100 + rng.IntN(jobs))))
			}
		}(rand.New(rand.NewPCG(seed, 87)))
		cancels := 0
		for n := range jobs {
			j := newJobSpec(100+n, wire.Array, 1, 4+10*rng.Float64())
			j.CPUs, j.MemoryGB, j.Image = 0.25, 0.2, fmt.Sprint("img-", n%3)
			after := time.Duration(-1)
			if rng.IntN(6) == 0 {
				after = randomMillis(rng, 0, 8000)
				cancels++
			}
			w.Checker.RegisterJob(j)
			go func() {
				began := time.Now()
				code := w.Submit(j)
				if code != 201 && code != 200 {
					refused.Add(1)
				}
				if time.Since(began) > time.Second {
					slow.Add(1)
				}
				if after >= 0 {
					time.Sleep(after)
					w.Cancel(j.ID)
				}
			}()
			time.Sleep(250 * time.Millisecond)
		}
		cancels += w.CancelledAtEnd()
		time.Sleep(60 * time.Second)
		close(done)
		t.Logf(
			"%d cancelled; %d submissions slow, %d refused; %d of %d polls unanswered",
			cancels,
			slow.Load(),
			refused.Load(),
			unanswered.Load(),
			polls.Load(),
		)
		if cancels < jobs/6 {
			t.Errorf("%d of %d jobs were cancelled: the fault combination did not occur", cancels, jobs)
		}
		if slow.Load() > jobs/50 || refused.Load() > 0 || unanswered.Load() > polls.Load()/100 {
			t.Errorf(
				"%d submissions took longer than a second, %d were refused; %d of %d polls got no answer",
				slow.Load(),
				refused.Load(),
				unanswered.Load(),
				polls.Load(),
			)
		}
		for n := range jobs {
			if code, s := w.Request(
				"poll",
				wire.JobID(uint64(100+n)),
				nil,
			); code != 200 ||
				s.State != wire.JobDone && s.State != wire.JobCancelled {
				t.Errorf("%d: %d %+v", 100+n, code, s)
			}
		}
		if leader := nodeAt(leaderOrFirst()); leader != nil {
			leader.loop.postAndWait(func() {
				if leader.term.ownTerm == nil || len(leader.term.ownTerm.commits.queue) > 2 ||
					len(leader.replica.model.Jobs) > 3 {
					t.Errorf("the log is behind: %d jobs are open", len(leader.replica.model.Jobs))
				}
			})
		}
	})
}
