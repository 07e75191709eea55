package controller

import (
	"context"
	"flag"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"fieldhill/internal/config"
	"fieldhill/internal/emulator"
	"fieldhill/internal/model"
	"fieldhill/wire"
)

var (
	finishedJobs  = flag.Int("history", 20_000, "finished jobs that TestKnownAgain has behind it")
	extraMachines = flag.Int(
		"machines",
		0,
		"so many machines TestKnownAgain has beside the usual ones, all with six tasks of arrays",
	)
)

// TestStatusAfterFullRestart: after the end of all controllers at once every job is answered for within a bound, the
// live ones and those that ended long ago, with everybody asking at the same time, the state service's limits, and a
// snapshot of many finished jobs to be read; also where the state service answers thirty times slower. The worst case
// is the sum in docs/DESIGN.md ("Known").
func TestStatusAfterFullRestart(t *testing.T) {
	for _, c := range []struct {
		name string
		slow time.Duration
		most time.Duration
	}{{"as usual", 3 * time.Millisecond, 8 * time.Second}, {"thirty times slower", 90 * time.Millisecond, 15 * time.Second}} {
		t.Run(c.name, func(t *testing.T) {
			runClusterWithTeams(
				t,
				51,
				[]config.Team{{Name: "red", CPUs: 16}, {Name: "blue"}},
				func(w *emulator.Environment) {
					w.Store.SetRateLimits(w.Params.KVStore.RPS, w.Params.KVStore.WriteRPS)
					w.Cloud.SetCapacity(max(4, *extraMachines))
					startServices(w, 5)
					for k := range *extraMachines / 50 {
						j := newJobSpec(1000+k, wire.Array, 300, 3600)
						j.Team, j.Types, j.CPUs, j.MemoryGB = "blue", []string{"small"}, 0.6, 1
						w.Submit(j)
					}
					if *extraMachines > 0 {
						time.Sleep(4 * time.Minute)
						t.Logf("%d machines, %d tasks", len(w.Cloud.Workers()), w.Checker.Tasks())
					}
					leader := nodeAt(findLeader())
					leader.loop.postAndWait(func() {
						for k := range *finishedJobs {
							leader.replica.model.Finals[model.JobID(100_000+k)] = model.FinalDone
						}
						leader.commits.snapshotInterval = 0 // the next batch is followed by a compaction
					})
					w.Submit(newWebService(6, 0.5, "small"))
					time.Sleep(20 * time.Second)
					w.Store.SetLatency(c.slow)
					for i := range 3 {
						w.Kill(i)
					}
					time.Sleep(200 * time.Millisecond)
					for i := range 3 {
						w.Start(i)
					}
					began := time.Now()
					var mu sync.Mutex
					worst, asked := time.Duration(0), 0
					var wg sync.WaitGroup
					for k := range 300 { // users poll about every five seconds, each its job
						id := wire.JobID(uint64(1 + k%6))
						if k >= 60 {
							old := 100_000 + (k*997)%*finishedJobs
							id = wire.JobID(uint64(old))
							w.Checker.RegisterFinishedJob(newJobSpec(old, wire.Array, 1, 5))
						}
						wg.Go(func() {
							time.Sleep(time.Duration(k*17) * time.Millisecond)
							last := began
							for time.Since(began) < 40*time.Second {
								code, s := w.Request("poll", id, nil)
								if now := time.Now(); code == 200 {
									mu.Lock()
									worst, asked = max(worst, now.Sub(last)), asked+1
									mu.Unlock()
									last = now
									if k >= 60 && s.State != wire.JobDone {
										t.Errorf("%s is %s", id, s.State)
									}
								} else if code == 404 {
									t.Errorf("%s is not known", id)
								}
								time.Sleep(5 * time.Second)
							}
							mu.Lock()
							worst = max(worst, time.Since(last))
							mu.Unlock()
						})
					}
					wg.Wait()
					t.Logf("%d answers, the longest time without one about a job %v", asked, worst)
					if worst > c.most || asked == 0 { // a poll comes every five seconds
						t.Errorf("no question about a job was answered for %v", worst)
					}
					w.Store.SetLatency(3 * time.Millisecond)
					time.Sleep(20 * time.Second)
				},
			)
		})
	}
}

// TestPollsDuringSubmissionFlood: no question about a job waits behind submissions. While the leader is not reached
// and hundreds of users submit at once, far more than the intake may take, what others ask about their jobs is
// answered; a question held to the limit of submissions is refused with them.
func TestPollsDuringSubmissionFlood(t *testing.T) {
	runCluster(t, 60, func(w *emulator.Environment) {
		w.Store.SetRateLimits(w.Params.KVStore.RPS, w.Params.KVStore.WriteRPS)
		time.Sleep(6 * time.Second)
		for n := 1; n <= 10; n++ {
			w.Submit(newWebService(n, 0.1))
		}
		time.Sleep(20 * time.Second)
		old := findLeader()
		for k := range 3 { // it leads on, and nobody reaches it
			if k != old {
				w.PartitionControllers(old, k, true)
			}
		}
		time.Sleep(3 * time.Second)
		ctx, stop := context.WithCancel(context.Background())
		var refused atomic.Int64
		for k := range 400 {
			j := newJobSpec(1000+k, wire.Array, 1, 60)
			j.CPUs = 0.01
			w.Checker.RegisterJob(j)
			b, _ := wire.Marshal(j)
			go func() {
				for ctx.Err() == nil {
					code, _ := w.RequestAt((old+1+k%2)%3, "submit", j.ID, b)
					if code == 201 || code == 200 {
						return
					}
					refused.Add(1)
					time.Sleep(time.Second)
				}
			}()
		}
		asked, answered, longest := 0, 0, time.Duration(0)
		for k := range 100 {
			began := time.Now()
			asked++
			if code, _ := w.RequestAt((old+1+k%2)%3, "poll", wire.JobID(uint64(1+k%10)), nil); code == 200 {
				answered++
				longest = max(longest, time.Since(began))
			}
			time.Sleep(100 * time.Millisecond)
		}
		stop()
		if refused.Load() < 100 {
			t.Errorf("%d submissions were refused: there was no flood", refused.Load())
		}
		if answered < asked-2 || longest > 2*time.Second { // users wait for two seconds
			t.Errorf("%d of %d questions were answered, the slowest after %v", answered, asked, longest)
		}
		for k := range 3 {
			w.PartitionControllers(old, (old+k)%3, false)
		}
		time.Sleep(30 * time.Second)
	})
}
