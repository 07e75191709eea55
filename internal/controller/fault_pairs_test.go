package controller

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"fieldhill/internal/emulator"
	"fieldhill/wire"
)

// fault is one of the faults that TestFaultPairs combines in pairs. begin starts the fault and returns a function that
// ends it.
type fault struct {
	name  string
	begin func(w *emulator.Environment, rng *rand.Rand) (end func())
}

// onMachines injects a fault into the machines selected by pick, and returns a function that ends it.
func onMachines(
	w *emulator.Environment,
	pick func(*emulator.Worker) bool,
	apply func(worker *emulator.Worker, on bool),
) (end func()) {
	var affected []*emulator.Worker
	for _, worker := range w.Cloud.Workers() {
		if pick(worker) {
			apply(worker, true)
			affected = append(affected, worker)
		}
	}
	return func() {
		for _, worker := range affected {
			apply(worker, false)
		}
	}
}

// faults are the faults that pairs are drawn from. A seed selects faults by index, so a change of the order changes
// what each seed injects.
var faults = []fault{
	{"store outage", func(w *emulator.Environment, _ *rand.Rand) func() {
		w.Store.SetOutage(true)
		return func() { w.Store.SetOutage(false) }
	}},
	{"store refuses leader", func(w *emulator.Environment, _ *rand.Rand) func() {
		i := leaderOrFirst()
		w.RefuseStore(i, true)
		return func() { w.RefuseStore(i, false) }
	}},
	{"store refuses follower", func(w *emulator.Environment, _ *rand.Rand) func() {
		i := (leaderOrFirst() + 1) % 3
		w.RefuseStore(i, true)
		return func() { w.RefuseStore(i, false) }
	}},
	{"slow store", func(w *emulator.Environment, rng *rand.Rand) func() {
		w.Store.SetLatency(randomMillis(rng, 50, 600))
		return func() { w.Store.SetLatency(3 * time.Millisecond) }
	}},
	{"delayed transactions, commands and responses", func(w *emulator.Environment, _ *rand.Rand) func() {
		w.SetFaults(0.3, 20*time.Second)
		return func() { w.SetFaults(0, 0) }
	}},
	{"partitioned leader", func(w *emulator.Environment, _ *rand.Rand) func() {
		i := leaderOrFirst()
		w.PartitionFromStoreAndPeers(i, true)
		return func() { w.PartitionFromStoreAndPeers(i, false) }
	}},
	{"partitioned zone", func(w *emulator.Environment, _ *rand.Rand) func() {
		partitionZone(w, true)
		return func() { partitionZone(w, false) }
	}},
	{"leader partitioned from agents", func(w *emulator.Environment, _ *rand.Rand) func() {
		i := leaderOrFirst()
		partitionAgents(w, i, true)
		return func() { partitionAgents(w, i, false) }
	}},
	{"agents reach the leader only", func(w *emulator.Environment, _ *rand.Rand) func() {
		i := leaderOrFirst()
		restrictAgentsTo(w, i, true)
		return func() { restrictAgentsTo(w, i, false) }
	}},
	{"controllers partitioned from each other", func(w *emulator.Environment, _ *rand.Rand) func() {
		partitionControllers(w, true)
		return func() { partitionControllers(w, false) }
	}},
	{"frozen leader", func(w *emulator.Environment, rng *rand.Rand) func() {
		freeze(w, leaderOrFirst(), randomMillis(rng, 0, 20000))
		return func() {}
	}},
	{"inbound partition of machines", func(w *emulator.Environment, rng *rand.Rand) func() {
		return onMachines(
			w,
			func(*emulator.Worker) bool { return rng.IntN(2) == 0 },
			(*emulator.Worker).SetInboundPartition,
		)
	}},
	{"delayed commands", func(w *emulator.Environment, rng *rand.Rand) func() {
		return delayCommands(w, randomSeconds(rng, 2, 70))
	}},
	{"duplicated heartbeats", func(w *emulator.Environment, rng *rand.Rand) func() {
		w.DuplicateHeartbeats(0.3, randomSeconds(rng, 2, 50))
		return func() { w.DuplicateHeartbeats(0, 0) }
	}},
	{"hung machines", func(w *emulator.Environment, rng *rand.Rand) func() {
		for _, worker := range w.Cloud.Workers() {
			if rng.IntN(4) == 0 {
				worker.Hang(randomSeconds(rng, 0, 30))
			}
		}
		return func() {}
	}},
	{"rebooted machines", func(w *emulator.Environment, rng *rand.Rand) func() {
		for _, worker := range w.Cloud.Workers() {
			if rng.IntN(4) == 0 {
				worker.Reboot(rng.IntN(2) == 0)
			}
		}
		return func() {}
	}},
	{"cloud outage", func(w *emulator.Environment, _ *rand.Rand) func() {
		w.Cloud.SetOutage(true)
		return func() { w.Cloud.SetOutage(false) }
	}},
	{"lost responses to transactions", func(w *emulator.Environment, rng *rand.Rand) func() {
		w.Store.DropResponses(0.1 + 0.4*rng.Float64())
		return func() { w.Store.DropResponses(0) }
	}},
	{"stale heartbeats for the next leader", func(w *emulator.Environment, _ *rand.Rand) func() {
		w.RetainHeartbeats(0.5)
		time.Sleep(4 * time.Second)
		old := leaderOrFirst()
		w.Kill(old)
		for began := time.Now(); time.Since(began) < 8*time.Second; time.Sleep(20 * time.Millisecond) {
			if l := findLeader(); l >= 0 && l != old {
				break
			}
		}
		w.ReplayRetained()
		w.Start(old)
		return func() { w.ReplayRetained(); w.RetainHeartbeats(0) }
	}},
	{"outbound partition of machines", func(w *emulator.Environment, rng *rand.Rand) func() {
		zone := rng.IntN(2) == 0
		return onMachines(
			w,
			func(worker *emulator.Worker) bool { return zone && worker.Zone == "b" || !zone && rng.IntN(3) == 0 },
			(*emulator.Worker).SetOutboundPartition,
		)
	}},
	{"cancellations beside hung machines", func(w *emulator.Environment, rng *rand.Rand) func() {
		duration := randomSeconds(rng, 0, 60)
		for _, id := range w.Checker.OpenJobs(6) {
			go w.Cancel(id)
		}
		hung := 0
		for _, worker := range w.Cloud.Workers() {
			if hung < 8 && w.Checker.HasTasks(worker.Name) && rng.IntN(2) == 0 {
				worker.Hang(duration)
				hung++
			}
		}
		return func() {}
	}},
	{"cancellations at completion", func(w *emulator.Environment, _ *rand.Rand) func() {
		w.CancelAtEnd(0.5)
		return func() { w.CancelAtEnd(0) }
	}},
	{"invalid requests and repeated polls", func(w *emulator.Environment, rng *rand.Rand) func() {
		for k, id := range w.Checker.OpenJobs(4) {
			n, _ := wire.ParseJobID(id)
			go w.PollRepeatedly(w.Checker.Spec(n), 10, 30*time.Millisecond)
			if k == 0 {
				go w.Cancel(id)
			}
		}
		for k := range 4 {
			invalid := newJobSpec(900000+rng.IntN(90000), wire.Array, 1, 5)
			if invalid.Team = "green"; k%2 == 0 {
				invalid.Team, invalid.CPUs = "red", 40
			}
			b, _ := wire.Marshal(invalid)
			go w.Request("submit", invalid.ID, b)
		}
		return func() {}
	}},
	{"immediate boots and lost scale-out responses", func(w *emulator.Environment, _ *rand.Rand) func() {
		w.Cloud.SetBootFaults(0.001, 0)
		w.Cloud.DropResponses(0.3)
		return func() { w.Cloud.SetBootFaults(1, 0); w.Cloud.DropResponses(0) }
	}},
	{"reclaimed machines", func(w *emulator.Environment, rng *rand.Rand) func() {
		for _, worker := range w.Cloud.Workers() {
			if rng.IntN(3) == 0 {
				w.Cloud.Reclaim(worker.Name)
			}
		}
		return func() {}
	}},
	{"restarted leader", func(w *emulator.Environment, rng *rand.Rand) func() {
		w.Restart(leaderOrFirst(), randomMillis(rng, 20, 1000))
		return func() {}
	}},
	{"restart of all controllers", func(w *emulator.Environment, rng *rand.Rand) func() {
		killAll(w)
		for k := range 3 {
			time.Sleep(randomMillis(rng, 20, 700))
			w.Start(k)
		}
		return func() {}
	}},
}

// TestFaultPairs injects random pairs of faults, the second beginning within a second of the beginning or the end of
// the first, and restarts controllers in between, while users submit, poll and cancel jobs and copies of answered
// commands arrive. All invariants must hold, no job may be lost, and the cluster must recover.
func TestFaultPairs(t *testing.T) {
	defer func() { compactEvery = 0 }()
	seenPairs := map[string]bool{}
	for seed := range seeds(1) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			compactEvery = int(seed%2) * 10
			runCluster(t, seed, func(w *emulator.Environment) {
				for _, pair := range runFaultPairs(t, w, rand.New(rand.NewPCG(seed, 42))) {
					seenPairs[pair] = true
				}
			})
		})
	}
	t.Logf("%d of %d pairs occurred", len(seenPairs), len(faults)*len(faults))
	if len(seenPairs) < 3 {
		t.Errorf("%d pairs occurred, want at least 3", len(seenPairs))
	}
}

// runFaultPairs injects four pairs of faults one after the other while users are active, and returns the names of the
// pairs.
func runFaultPairs(t *testing.T, w *emulator.Environment, rng *rand.Rand) (pairs []string) {
	t.Helper()
	w.Store.SetRateLimits(w.Params.KVStore.RPS, w.Params.KVStore.WriteRPS)
	w.DuplicateCommands(commandCopyShare, maxCommandCopyDelay)
	w.DuplicateRequests(requestCopyShare, maxCommandCopyDelay)
	teamsAtQuota := rng.IntN(3) == 0
	startServices(w, 3)
	done := make(chan struct{})
	submitted := make(chan []string)
	go func(rng *rand.Rand) {
		submitted <- submitPollAndCancel(w, rng, teamsAtQuota, done)
	}(rand.New(rand.NewPCG(rng.Uint64(), 43)))
	for range 4 {
		pairs = append(pairs, injectPair(w, rng))
		time.Sleep(randomSeconds(rng, 0, 20))
	}
	close(done)
	ids := <-submitted
	for k := range 3 {
		w.RefuseStore(k, false)
	}
	checkConvergence(t, w, ids)
	checkCommandCopies(t, w)
	return pairs
}

// submitPollAndCancel simulates the users of a deployment with three services until done is closed, and returns the IDs
// of all jobs.
func submitPollAndCancel(
	w *emulator.Environment,
	rng *rand.Rand,
	teamsAtQuota bool,
	done <-chan struct{},
) (ids []string) {
	ids = []string{wire.JobID(1), wire.JobID(2), wire.JobID(3)}
	for n := 10; ; n++ {
		select {
		case <-done:
			return ids
		case <-time.After(randomMillis(rng, 200, 2500)):
		}
		s := newJobSpec(n, wire.Array, 1+rng.IntN(4), 5+100*rng.Float64())
		s.CPUs, s.Spot, s.Image = 0.5, rng.IntN(2) == 0, fmt.Sprint("img-", rng.IntN(3))
		randomizeShape(s, rng)
		if rng.IntN(2) == 0 {
			s.Team = "blue"
		}
		if teamsAtQuota {
			s.CPUs = 2
		}
		ids = append(ids, s.ID)
		w.Checker.RegisterJob(s)
		go w.Submit(s)
		pollEach(w, rng, ids, 6)
		if rng.IntN(2) == 0 {
			go w.Cancel(ids[3+rng.IntN(len(ids)-3)])
		}
	}
}

// injectPair injects two faults, the second within a second of the beginning or the end of the first. When both have
// ended, it returns the name of the pair.
func injectPair(w *emulator.Environment, rng *rand.Rand) string {
	first, second := faults[rng.IntN(len(faults))], faults[rng.IntN(len(faults))]
	duration := randomSeconds(rng, 1, 75)
	endFirst := first.begin(w, rng)
	nearEnd := rng.IntN(2) == 0
	if nearEnd {
		time.Sleep(duration - randomMillis(rng, 0, 1000))
	} else {
		time.Sleep(randomMillis(rng, 0, 1000))
	}
	endSecond := second.begin(w, rng)
	if rng.IntN(3) == 0 {
		w.Restart(rng.IntN(3), randomMillis(rng, 20, 400))
	}
	if nearEnd {
		time.Sleep(randomMillis(rng, 0, 1000))
	} else {
		time.Sleep(duration)
	}
	endFirst()
	time.Sleep(randomSeconds(rng, 0, 75))
	endSecond()
	if first.name == second.name {
		endFirst() // equal faults share their state, so the first one is ended again after the second one
	}
	return first.name + " / " + second.name
}
