package controller

import (
	"context"
	"flag"
	"net/http"
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
	finishedJobs  = flag.Int("history", 20_000, "number of finished jobs in TestStatusAfterFullRestart")
	extraMachines = flag.Int(
		"machines",
		0,
		"additional machines in TestStatusAfterFullRestart, each with six tasks of array jobs",
	)
)

const (
	firstFinishedJob = 100_000 // number of the first finished job
	statusPollers    = 300     // number of users that poll a job's status
	liveJobPollers   = 60      // number of statusPollers that poll a running job
)

// TestStatusAfterFullRestart checks that, after a restart of all controllers at once, status requests are answered
// within a time limit, both for live jobs and for jobs that finished long ago. All users poll at the same time, the
// store enforces its rate limits, and a snapshot with many finished jobs has to be read. In one case, the store has
// thirty times the default latency. The section "Known" of docs/DESIGN.md derives the worst case.
func TestStatusAfterFullRestart(t *testing.T) {
	for _, c := range []struct {
		name    string
		latency time.Duration
		limit   time.Duration
	}{
		{"default latency", 3 * time.Millisecond, 8 * time.Second},
		{"thirty times slower", 90 * time.Millisecond, 15 * time.Second},
	} {
		t.Run(c.name, func(t *testing.T) {
			teams := []config.Team{{Name: "red", CPUs: 16}, {Name: "blue"}}
			runClusterWithTeams(t, 51, teams, func(w *emulator.Environment) {
				startWithHistory(t, w)
				w.Store.SetLatency(c.latency)
				killAll(w)
				time.Sleep(200 * time.Millisecond)
				startAll(w)
				polls := pollAllAfterRestart(t, w)
				t.Logf("%d polls answered, longest time without an answer %v", polls.answered, polls.longestGap)
				if polls.longestGap > c.limit || polls.answered == 0 { // each user polls every five seconds
					t.Errorf("%d polls answered, longest time without an answer %v, want at most %v",
						polls.answered, polls.longestGap, c.limit)
				}
				w.Store.SetLatency(3 * time.Millisecond)
				time.Sleep(20 * time.Second)
			})
		})
	}
}

// startWithHistory starts six services, submits array jobs for the additional machines, and makes the leader write a
// snapshot with many finished jobs.
func startWithHistory(t *testing.T, w *emulator.Environment) {
	t.Helper()
	w.Store.SetRateLimits(w.Params.KVStore.RPS, w.Params.KVStore.WriteRPS)
	w.Cloud.SetCapacity(max(4, *extraMachines))
	startServices(w, 5)
	for i := range *extraMachines / 50 {
		j := newJobSpec(1000+i, wire.Array, 300, 3600)
		j.Team, j.Types, j.CPUs, j.MemoryGB = "blue", []string{"small"}, 0.6, 1
		w.Submit(j)
	}
	if *extraMachines > 0 {
		time.Sleep(4 * time.Minute)
		t.Logf("%d machines, %d tasks", len(w.Cloud.Workers()), w.Checker.RunningTaskCount())
	}
	leader := nodeAt(findLeader())
	leader.loop.postAndWait(func() {
		for i := range *finishedJobs {
			leader.replica.model.Finals[model.JobID(firstFinishedJob+i)] = model.FinalDone
		}
		leader.commits.snapshotInterval = 0 // compact after the next batch
	})
	w.Submit(newWebService(6, 0.5, "small"))
	time.Sleep(20 * time.Second)
}

// answeredPolls counts answered polls and records the longest time for which a user received no answer.
type answeredPolls struct {
	mu         sync.Mutex
	answered   int
	longestGap time.Duration
}

// add adds to the number of answered polls and records that a user received no answer for the time gap.
func (p *answeredPolls) add(answers int, gap time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.answered += answers
	p.longestGap = max(p.longestGap, gap)
}

// pollAllAfterRestart simulates users that each poll one job about every five seconds, for forty seconds, and returns
// the counts for all users together.
func pollAllAfterRestart(t *testing.T, w *emulator.Environment) *answeredPolls {
	t.Helper()
	began, polls := time.Now(), &answeredPolls{}
	var users sync.WaitGroup
	for k := range statusPollers {
		id, finished := wire.JobID(uint64(1+k%6)), k >= liveJobPollers
		if finished {
			n := firstFinishedJob + (k*997)%*finishedJobs
			id = wire.JobID(uint64(n))
			w.Checker.RegisterFinishedJob(newJobSpec(n, wire.Array, 1, 5))
		}
		users.Go(func() {
			time.Sleep(time.Duration(k*17) * time.Millisecond)
			pollAfterRestart(t, w, id, finished, began, polls)
		})
	}
	users.Wait()
	return polls
}

// pollAfterRestart polls a job until forty seconds after the restart, which was at the time began, and records the
// answers in polls.
func pollAfterRestart(
	t *testing.T,
	w *emulator.Environment,
	id string,
	finished bool,
	began time.Time,
	polls *answeredPolls,
) {
	t.Helper()
	lastAnswer := began
	for time.Since(began) < 40*time.Second {
		code, s := w.Request("poll", id, nil)
		now := time.Now()
		switch code {
		case http.StatusOK:
			polls.add(1, now.Sub(lastAnswer))
			lastAnswer = now
			if finished && s.State != wire.JobDone {
				t.Errorf("job %s is reported as %s, want %s", id, s.State, wire.JobDone)
			}
		case http.StatusNotFound:
			t.Errorf("job %s is reported as unknown, want its status", id)
		}
		time.Sleep(5 * time.Second)
	}
	polls.add(0, time.Since(lastAnswer))
}

// TestPollsDuringSubmissionFlood checks that polls don't wait behind submissions. While the other controllers cannot
// reach the leader, hundreds of users submit jobs at the same time, far more than the intake may accept, and the polls
// of other users have to be answered. If polls counted towards the limit on submissions, they would be refused too.
func TestPollsDuringSubmissionFlood(t *testing.T) {
	runCluster(t, 60, func(w *emulator.Environment) {
		w.Store.SetRateLimits(w.Params.KVStore.RPS, w.Params.KVStore.WriteRPS)
		time.Sleep(6 * time.Second)
		for n := 1; n <= 10; n++ {
			w.Submit(newWebService(n, 0.1))
		}
		time.Sleep(20 * time.Second)
		old := findLeader()
		for k := range 3 { // the leader continues to lead, but no other controller reaches it
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
			body := registerJob(t, w, j)
			go submitEverySecond(ctx, w, (old+1+k%2)%3, j.ID, body, &refused)
		}
		polls, answered, slowest := 0, 0, time.Duration(0)
		for k := range 100 {
			began := time.Now()
			polls++
			if code, _ := w.RequestAt((old+1+k%2)%3, "poll", wire.JobID(uint64(1+k%10)), nil); code == 200 {
				answered++
				slowest = max(slowest, time.Since(began))
			}
			time.Sleep(100 * time.Millisecond)
		}
		stop()
		if refused.Load() < 100 {
			t.Errorf("%d submissions were refused, want at least 100: there was no flood", refused.Load())
		}
		if answered < polls-2 || slowest > 2*time.Second { // users wait two seconds for an answer
			t.Errorf("%d of %d polls were answered, want at least %d; the slowest after %v, want at most 2 s",
				answered, polls, polls-2, slowest)
		}
		for k := range 3 {
			w.PartitionControllers(old, (old+k)%3, false)
		}
		time.Sleep(30 * time.Second)
	})
}

// submitEverySecond submits a job to the given controller until it is accepted or the context ends, and adds the
// refusals to refused.
func submitEverySecond(
	ctx context.Context,
	w *emulator.Environment,
	node int,
	id string,
	body []byte,
	refused *atomic.Int64,
) {
	for ctx.Err() == nil {
		//nolint:contextcheck // a request outlives the user's loop
		if code, _ := w.RequestAt(node, "submit", id, body); code == 201 || code == 200 {
			return
		}
		refused.Add(1)
		time.Sleep(time.Second)
	}
}
