package controller

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"sync/atomic"
	"testing"
	"time"

	"fieldhill/internal/config"
	"fieldhill/internal/emulator"
	"fieldhill/wire"
)

// The tests in this file combine faults with failovers.

// changeLeader injects a random fault that makes the leader change: it restarts the leader, makes the store refuse the
// leader's requests, or freezes the leader for 4 s. With a probability of 1/3, a store outage of up to 5.5 s begins at
// the same time. end makes the store accept the requests again.
func changeLeader(w *emulator.Environment, rng *rand.Rand) (end func()) {
	i := leaderOrFirst()
	if rng.IntN(3) == 0 {
		w.Store.SetOutage(true)
		time.AfterFunc(randomMillis(rng, 500, 5000), func() { w.Store.SetOutage(false) })
	}
	switch rng.IntN(3) {
	case 0:
		w.Restart(i, randomMillis(rng, 20, 900))
	case 1:
		w.RefuseStore(i, true)
		return func() { w.RefuseStore(i, false) }
	default:
		freeze(w, i, 4*time.Second)
	}
	return func() {}
}

// TestCancelDuringFailover checks that the tasks of cancelled jobs end by the cancellation deadline if jobs are
// cancelled within seconds of a leader change, while their tasks fetch images or run. Ten faults within two minutes
// make the leader change, also during store outages, with and without distributed singleton roles. The log of the test
// states how many tasks started after the cancellation of their job was confirmed.
func TestCancelDuringFailover(t *testing.T) {
	defer func() { distributedRoles = false }()
	for _, distributedRoles = range []bool{false, true} {
		t.Run(fmt.Sprintf("distributed roles %v", distributedRoles), cancelDuringFailover)
	}
}

// cancelDuringFailover runs TestCancelDuringFailover with the current setting of distributedRoles.
func cancelDuringFailover(t *testing.T) {
	cancelled, late := atomic.Int64{}, 0
	runFaultCombination(t, 1, 70, func(t *testing.T, w *emulator.Environment, _ uint64, rng *rand.Rand) {
		startServices(w, 3)
		terms := map[uint64]bool{}
		next := 100 // number of the next job
		for range 10 {
			for range 6 { // some jobs are fetching images and some are running when the leader changes
				submitAndCancel(w, rng, next, &cancelled)
				next++
				time.Sleep(randomMillis(rng, 0, 400))
			}
			end := changeLeader(w, rng)
			time.Sleep(randomMillis(rng, 6000, 3000))
			end()
			if term := currentTerm(); term > 0 {
				terms[term] = true
			}
		}
		if len(terms) < 7 {
			t.Errorf("%d leader terms observed, want at least 7: the fault combination did not occur", len(terms))
		}
		time.Sleep(70 * time.Second)
		for n := 100; n < next; n++ {
			if err := pollEndedOrUnknown(w, wire.JobID(uint64(n))); err != nil {
				t.Error(err)
			}
		}
		if up := servicesUp(w, 3); up != 3 {
			t.Errorf("%d services are running, want 3", up)
		}
		late += w.Checker.StartsAfterCancel()
	})
	t.Logf("%d jobs were cancelled, %d tasks started after the confirmation", cancelled.Load(), late)
	if cancelled.Load() < 30 {
		t.Errorf("%d jobs were cancelled, want at least 30: the fault combination did not occur", cancelled.Load())
	}
}

// submitAndCancel submits array job n in the background, cancels it after 0.5 s to 7.5 s, and increments cancelled if
// the cancellation is confirmed.
func submitAndCancel(w *emulator.Environment, rng *rand.Rand, n int, cancelled *atomic.Int64) {
	j := newHighArray(n, 1+rng.IntN(3), 0.25, 30)
	j.Image = fmt.Sprint("img-", n%9)
	after := randomMillis(rng, 500, 7000)
	go func() {
		w.Submit(j)
		time.Sleep(after)
		if w.Cancel(j.ID) == 200 {
			cancelled.Add(1)
		}
	}()
}

// TestCancelAsStoreRefusesLeader checks that the tasks of every job whose cancellation is confirmed end by the
// cancellation deadline if the store begins to refuse the leader's requests, but no other controller's, while jobs are
// being cancelled. A second later, a store outage that lasts longer than the cancellation deadline begins for all
// controllers.
func TestCancelAsStoreRefusesLeader(t *testing.T) {
	var confirmed atomic.Int64
	runFaultCombination(t, 2, 72, func(t *testing.T, w *emulator.Environment, _ uint64, rng *rand.Rand) {
		startServices(w, 4)
		var ids []string
		for n := 100; n < 124; n++ {
			j := newHighArray(n, 1+rng.IntN(2), 0.25, 400)
			w.Submit(j)
			ids = append(ids, j.ID)
		}
		time.Sleep(15 * time.Second)
		leaderIndex := leaderOrFirst()
		go func() {
			time.Sleep(randomMillis(rng, 0, 40))
			w.RefuseStore(leaderIndex, true)
		}()
		for _, id := range ids[:20] {
			go func() {
				if code, _ := w.RequestAt(leaderIndex, "cancel", id, nil); code == 200 {
					confirmed.Add(1)
				}
			}()
			time.Sleep(2 * time.Millisecond)
		}
		time.Sleep(time.Second)
		w.Store.SetOutage(true)
		time.Sleep(65 * time.Second)
		w.Store.SetOutage(false)
		w.RefuseStore(leaderIndex, false)
		time.Sleep(40 * time.Second)
		for _, id := range ids[20:] {
			if w.Checker.RunningTasks(id) == 0 {
				t.Errorf("job %s, which was not cancelled, has no running task", id)
			}
		}
	})
	if confirmed.Load() == 0 {
		t.Error("got 0 confirmed cancellations, want at least 1: the fault combination did not occur")
	}
}

// TestStaleReportsAfterFailover checks that stale heartbeats are ignored after a failover. Copies of heartbeats from
// machines that were released, rebooted, got a new agent epoch, hang or are suspect arrive at all controllers just as a
// new leader begins its term, and shortly before and after. These copies must not cause any task to be started a second
// time.
func TestStaleReportsAfterFailover(t *testing.T) {
	runFaultCombination(t, 2, 74, func(t *testing.T, w *emulator.Environment, _ uint64, rng *rand.Rand) {
		startServices(w, 5)
		w.RetainHeartbeats(0.5)
		sent, next := 0, 100
		for range 4 {
			for range 4 {
				w.Submit(newHighArray(next, 1+rng.IntN(4), 0.5, 4+30*rng.Float64()))
				next++
			}
			time.Sleep(randomMillis(rng, 5000, 8000))
			disturbMachines(w, rng)
			if rng.IntN(2) == 0 {
				partitionZoneAgents(w, true)
				time.Sleep(randomMillis(rng, 0, 15000))
			}
			old := leaderOrFirst()
			w.Kill(old)
			sent += replayAtNextLeader(w, rng, old)
			time.Sleep(randomMillis(rng, 0, 2000))
			w.ReplayRetained()
			partitionZoneAgents(w, false)
			w.Start(old)
		}
		w.RetainHeartbeats(0)
		if sent < 40 {
			t.Errorf("%d copies were sent to a new leader, want at least 40: the fault combination did not occur",
				sent)
		}
		for n := 100; n < next; n++ {
			waitState(t, w, wire.JobID(uint64(n)), wire.JobDone, 3*time.Minute)
		}
		if up := servicesUp(w, 5); up != 5 {
			t.Errorf("%d services are running, want 5", up)
		}
	})
}

// disturbMachines reboots, hangs or reclaims machines, with a probability of 1/8 each; a machine with tasks is not
// reclaimed.
func disturbMachines(w *emulator.Environment, rng *rand.Rand) {
	for _, worker := range w.Cloud.Workers() {
		switch rng.IntN(8) {
		case 0:
			worker.Reboot(rng.IntN(2) == 0)
		case 1:
			worker.Hang(randomSeconds(rng, 0, 20))
		case 2:
			if !w.Checker.HasTasks(worker.Name) {
				w.Cloud.Reclaim(worker.Name)
			}
		}
	}
}

// replayAtNextLeader sends the retained heartbeats again as soon as a controller other than the one with index old
// leads, and at random times before. It returns how many were sent once the new leader led. Most machines hang
// meanwhile, so that the copies arrive before the answers to the new leader's probes.
func replayAtNextLeader(w *emulator.Environment, rng *rand.Rand, old int) (sent int) {
	for _, worker := range w.Cloud.Workers() {
		if rng.IntN(3) > 0 {
			worker.Hang(randomMillis(rng, 3000, 3000))
		}
	}
	for began := time.Now(); time.Since(began) < 15*time.Second; time.Sleep(20 * time.Millisecond) {
		if leader := findLeader(); leader >= 0 && leader != old {
			return w.ReplayRetained()
		}
		if rng.IntN(40) == 0 {
			w.ReplayRetained()
		}
	}
	return 0
}

// quotaTest is the state of TestTeamsAtQuota.
type quotaTest struct {
	w    *emulator.Environment
	rng  *rand.Rand
	next int                 // number of the next job
	open map[string][]string // IDs of jobs that were not cancelled, by team
}

// quotaTeams are the teams that TestTeamsAtQuota keeps at their limits of 24 and 20 CPUs.
var quotaTeams = []string{"red", "blue"}

// TestTeamsAtQuota checks that no team exceeds its limit if jobs are cancelled while machines are partitioned or hang
// and the leader changes, with every team at its limit and more jobs pending. The resources of a cancelled job count
// towards the limit until its tasks are proven to have ended. This accounting must survive in the log and its
// snapshots, so the log is compacted every five batches. After the faults, each team has to use its whole limit again.
func TestTeamsAtQuota(t *testing.T) {
	defer func() { compactEvery = 0 }()
	compactEvery = 5
	runFaultCombination(t, 2, 76, func(t *testing.T, w *emulator.Environment, _ uint64, rng *rand.Rand) {
		startServices(w, 1)
		q := &quotaTest{w: w, rng: rng, next: 100, open: map[string][]string{}}
		for _, team := range quotaTeams {
			for range 14 { // exceeds the limit
				q.submit(team)
			}
		}
		time.Sleep(45 * time.Second)
		q.checkAtLimit(t, "before the faults")
		if t.Failed() {
			t.Fatal("teams are not at their limits before the faults: the fault combination did not occur")
		}
		cancelledTasks := 0
		for range 3 {
			cancelledTasks += q.cancelDuringFaults()
		}
		if cancelledTasks < 12 {
			t.Errorf("%d tasks of cancelled jobs were running, want at least 12: the fault combination did not occur",
				cancelledTasks)
		}
		time.Sleep(60 * time.Second)
		q.checkAtLimit(t, "after the faults")
	})
}

// submit submits a job with two tasks of one CPU each.
func (q *quotaTest) submit(team string) {
	j := newHighArray(q.next, 2, 1, 1000)
	q.next++
	j.Team = team
	if q.rng.IntN(3) == 0 {
		toGang(j, j.Tasks)
		j.CheckpointWriteS = 2
	}
	q.w.Submit(j)
	q.open[team] = append(q.open[team], j.ID)
}

// checkAtLimit checks that each team leaves at most 1.5 CPUs of its limit unused. A service of three CPUs and jobs of
// two CPUs need not fill the limit.
func (q *quotaTest) checkAtLimit(t *testing.T, phase string) {
	t.Helper()
	teams := q.w.Params.Teams
	for _, team := range quotaTeams {
		limit := teams[slices.IndexFunc(teams, func(t config.Team) bool { return t.Name == team })].CPUsMax
		if used := q.w.Checker.UsedCPUs(team); used < limit-1.5 {
			t.Errorf("%s: team %s uses %g CPUs, want at least %g", phase, team, used, limit-1.5)
		}
	}
}

// cancelDuringFaults cancels four jobs of each team and submits as many new ones while machines are partitioned or
// hang, and restarts the leader. It returns how many tasks of the cancelled jobs were running.
func (q *quotaTest) cancelDuringFaults() (running int) {
	w, rng := q.w, q.rng
	duration := randomSeconds(rng, 10, 60)
	if rng.IntN(2) == 0 {
		partitionZoneAgents(w, true)
		if rng.IntN(2) == 0 {
			partitionZone(w, true)
		}
	}
	for _, worker := range w.Cloud.Workers() {
		if rng.IntN(3) == 0 {
			worker.Hang(time.Duration(rng.IntN(int(duration))))
		}
	}
	for _, team := range quotaTeams {
		for range 4 {
			k := rng.IntN(len(q.open[team]))
			id := q.open[team][k]
			q.open[team] = slices.Delete(q.open[team], k, k+1)
			running += w.Checker.RunningTasks(id)
			go w.Cancel(id)
			q.submit(team) // this job and the pending ones compete for the freed resources
		}
	}
	time.Sleep(randomMillis(rng, 0, 3000))
	w.Restart(leaderOrFirst(), randomMillis(rng, 20, 900))
	time.Sleep(duration)
	partitionZoneAgents(w, false)
	partitionZone(w, false)
	time.Sleep(randomMillis(rng, 0, 10000))
	return running
}
