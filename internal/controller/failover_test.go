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

// These tests combine faults with failovers.

// changeLeader makes leadership change in a way that is drawn: the leader is restarted, refused by the store, or
// frozen, now and then during a store outage. It returns what ends that.
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

// TestCancelDuringFailover: leaders change ten times in two minutes, also inside an outage, and jobs are cancelled in
// the seconds around each change, while their tasks fetch and run; with distributed singleton roles too. The tasks end
// in time; those that start after the confirmation are counted.
func TestCancelDuringFailover(t *testing.T) {
	defer func() { distributedRoles = false }()
	for _, distributedRoles = range []bool{false, true} {
		t.Run(fmt.Sprintf("distributed roles %v", distributedRoles), cancelDuringFailover)
	}
}

// cancelDuringFailover is TestCancelDuringFailover for one setting of the singleton roles.
func cancelDuringFailover(t *testing.T) {
	cancelled, late := atomic.Int64{}, 0
	runFaultCombination(t, 1, 70, func(t *testing.T, w *emulator.Environment, _ uint64, rng *rand.Rand) {
		startServices(w, 3)
		terms := map[uint64]bool{}
		n := 100
		for range 10 {
			for range 6 { // some fetch, some run when the leader changes
				submitAndCancel(w, rng, n, &cancelled)
				n++
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
			t.Errorf("%d leaders were seen: the fault combination did not occur", len(terms))
		}
		time.Sleep(70 * time.Second)
		for k := 100; k < n; k++ {
			if err := pollEndedOrUnknown(w, wire.JobID(uint64(k))); err != nil {
				t.Error(err)
			}
		}
		if k := servicesUp(w, 3); k != 3 {
			t.Errorf("%d of 3 services run", k)
		}
		late += w.Checker.StartsAfterCancel()
	})
	t.Logf("%d jobs were cancelled, %d tasks started after that was confirmed", cancelled.Load(), late)
	if cancelled.Load() < 30 {
		t.Errorf("%d jobs were cancelled: the fault combination did not occur", cancelled.Load())
	}
}

// submitAndCancel submits an array and cancels it some seconds later, without waiting, and counts the confirmations.
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

// TestCancelAsStoreRefusesLeader: jobs are cancelled at the very moment at which the store refuses the leader alone,
// and a second later there is an outage for all that lasts longer than a cancellation may take. The tasks of every
// confirmed cancellation end in time.
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
			if w.Checker.Running(id) == 0 {
				t.Errorf("%s, which was not cancelled, does not run", id)
			}
		}
	})
	if confirmed.Load() == 0 {
		t.Error("no cancellation was confirmed: the fault combination did not occur")
	}
}

// TestStaleReportsAfterFailover: copies of heartbeats are retained, of machines that were released, rebooted, got a new
// agent epoch, hang or are suspect, and reach every controller just as a new leader begins, and a moment before and
// after. They prove nothing: nothing starts twice, and nothing that runs is started again.
func TestStaleReportsAfterFailover(t *testing.T) {
	runFaultCombination(t, 2, 74, func(t *testing.T, w *emulator.Environment, _ uint64, rng *rand.Rand) {
		startServices(w, 5)
		w.RetainHeartbeats(0.5)
		sent, n := 0, 100
		for range 4 {
			for range 4 {
				w.Submit(newHighArray(n, 1+rng.IntN(4), 0.5, 4+30*rng.Float64()))
				n++
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
			t.Errorf("%d copies arrived as a leader began: the fault combination did not occur", sent)
		}
		for k := 100; k < n; k++ {
			waitState(t, w, wire.JobID(uint64(k)), wire.JobDone, 3*time.Minute)
		}
		if k := servicesUp(w, 5); k != 5 {
			t.Errorf("%d of 5 services run", k)
		}
	})
}

// disturbMachines reboots, hangs and, if they are idle, reclaims an eighth of the machines each.
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

// replayAtNextLeader sends the retained heartbeats as soon as another controller leads than the old leader, and now and
// then before, and returns how many were sent then. Most machines hang meanwhile, so that the copies arrive before the
// answers to the next leader's probes.
func replayAtNextLeader(w *emulator.Environment, rng *rand.Rand, old int) (sent int) {
	for _, worker := range w.Cloud.Workers() {
		if rng.IntN(3) > 0 {
			worker.Hang(randomMillis(rng, 3000, 3000))
		}
	}
	for began := time.Now(); time.Since(began) < 15*time.Second; time.Sleep(20 * time.Millisecond) {
		if l := findLeader(); l >= 0 && l != old {
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
	open map[string][]string // jobs that were not cancelled, by team
}

// quotaTeams are the teams that TestTeamsAtQuota fills up to their limits of 24 and 20 CPUs.
var quotaTeams = []string{"red", "blue"}

// TestTeamsAtQuota: every team is at its limit, with more pending, while jobs are cancelled whose machines are
// partitioned or hang, and the leader changes. What a cancelled job still holds counts until its end is proven, through
// the log and its snapshot (a compaction every few batches): no team exceeds its limit. Afterwards each uses all of it
// again.
func TestTeamsAtQuota(t *testing.T) {
	defer func() { compactEvery = 0 }()
	compactEvery = 5
	runFaultCombination(t, 2, 76, func(t *testing.T, w *emulator.Environment, _ uint64, rng *rand.Rand) {
		startServices(w, 1)
		q := &quotaTest{w: w, rng: rng, next: 100, open: map[string][]string{}}
		for _, team := range quotaTeams {
			for range 14 { // more than the limit
				q.submit(team)
			}
		}
		time.Sleep(45 * time.Second)
		q.checkAtLimit(t, "before")
		if t.Failed() {
			t.Fatal("the fault combination did not occur")
		}
		cancelledTasks := 0
		for range 3 {
			cancelledTasks += q.cancelDuringFaults()
		}
		if cancelledTasks < 12 {
			t.Errorf("%d tasks were on machines as their jobs were cancelled: the fault combination did not occur",
				cancelledTasks)
		}
		time.Sleep(60 * time.Second)
		q.checkAtLimit(t, "afterwards")
	})
}

// submit submits a job of two tasks of one CPU.
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

// checkAtLimit requires that each team uses all of its limit but what a job of two CPUs, beside a service of three,
// may leave.
func (q *quotaTest) checkAtLimit(t *testing.T, phase string) {
	t.Helper()
	teams := q.w.Params.Teams
	for _, team := range quotaTeams {
		limit := teams[slices.IndexFunc(teams, func(t config.Team) bool { return t.Name == team })].CPUsMax
		if used := q.w.Checker.UsedCPUs(team); used < limit-1.5 {
			t.Errorf("%s: %s uses %g of %g CPUs", phase, team, used, limit)
		}
	}
}

// cancelDuringFaults replaces four jobs of each team while machines are partitioned or hang, and restarts the leader.
// It returns how many tasks of the cancelled jobs ran.
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
			running += w.Checker.Running(id)
			go w.Cancel(id)
			q.submit(team) // competes with the pending jobs for what becomes free
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
