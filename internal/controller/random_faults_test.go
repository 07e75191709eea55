package controller

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"sync/atomic"
	"testing"
	"time"

	"fieldhill/internal/emulator"
	"fieldhill/wire"
)

var (
	seedCount             = flag.Uint64("days", defaultSeeds, "how many random days to play")
	firstSeed             = flag.Uint64("from", 0, "the first one")
	alwaysDistributeRoles = flag.Bool("duties", false, "hold duties one by one on every random day, not on two of four")
)

// defaultSeeds is how many are played in CI.
const defaultSeeds = 8

// seeds are those of a test of a meeting: so many in CI, and as many as asked for otherwise.
func seeds(count uint64) func(yield func(uint64) bool) {
	to := *firstSeed + count
	if *seedCount != defaultSeeds {
		to = *firstSeed + *seedCount
	}
	return func(yield func(uint64) bool) {
		for seed := *firstSeed; seed < to && yield(seed); seed++ {
		}
	}
}

// TestRandomFaults throws every failure at the service, at random but with fixed
// seeds, and demands that the rules hold and that everything ends well. Every other one
// compacts the log every few batches: as usual it would not be once in most days, and what a
// compaction after a change of leaders deleted too much was found by none. Two of four hold duties one by one.
func TestRandomFaults(t *testing.T) {
	savedThreshold := *relayThreshold
	defer func() { compactEvery, distributedRoles, *relayThreshold = 0, false, savedThreshold }()
	for seed := range seeds(defaultSeeds) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			*relayThreshold = max(savedThreshold, int(seed%3)*2) // two days of three with relays
			compactEvery, distributedRoles = int(seed%2)*10, seed%4 >= 2 || *alwaysDistributeRoles
			runCluster(t, seed, func(w *emulator.Environment) { runRandomFaults(t, w, rand.New(rand.NewPCG(seed, 9))) })
		})
	}
}

func runRandomFaults(t *testing.T, w *emulator.Environment, rng *rand.Rand) {
	endFaults := backgroundFaults(w, rand.New(rand.NewPCG(rng.Uint64(), 10)))
	w.SetFaults(0.1, 20*time.Second)
	// what a process used up is missing to the next one
	w.Store.SetRateLimits(w.Params.KVStore.RPS, w.Params.KVStore.WriteRPS)
	time.Sleep(6 * time.Second)
	n, up := 0, []bool{true, true, true}
	var open []string
	for range 60 {
		for range rng.IntN(3) {
			n++
			s := newJobSpec(n, wire.Array, 1+rng.IntN(10), 2+10*rng.Float64())
			switch rng.IntN(4) {
			case 0:
				s.Shape, s.Tasks, s.CheckpointIntervalS, s.CheckpointWriteS, s.Priority = wire.Gang, 1+rng.IntN(
					3,
				), 3, 1, wire.High
				s.SameZone = rng.IntN(2) == 0
			case 1:
				s.Shape, s.Tasks, s.Spread, s.Class, s.Priority = wire.Service, 1+rng.IntN(
					3,
				), true, "web", wire.Production
			}
			s.Spot = rng.IntN(2) == 0
			if rng.IntN(2) == 0 {
				s.Team = "blue"
			}
			s.CPUs = []float64{0.5, 1, 2}[rng.IntN(3)]
			s.Image = fmt.Sprint("img-", rng.IntN(3))
			if rng.IntN(4) == 0 {
				s.Types = []string{"large"}
			}
			open = append(open, s.ID)
			w.Checker.RegisterJob(s)
			go w.Submit(s)
		}
		for _, id := range open {
			if rng.IntN(3) == 0 {
				go w.Request("poll", id, nil)
			}
		}
		if len(open) > 5 && rng.IntN(3) == 0 {
			go w.Cancel(open[rng.IntN(len(open))])
		}
		i := rng.IntN(3)
		switch rng.IntN(23) {
		case 20, 21:
			// A node ends and is back within a fraction of a second, also again and again; or all of them do.
			for range 1 + rng.IntN(3) {
				if up[i] {
					w.Restart(i, time.Duration(20+rng.IntN(280))*time.Millisecond)
				}
				time.Sleep(time.Duration(rng.IntN(1500)) * time.Millisecond)
			}
		case 22:
			for k := range 3 {
				if up[k] {
					w.Kill(k)
				}
			}
			for k := range 3 {
				time.Sleep(time.Duration(20+rng.IntN(280)) * time.Millisecond)
				if up[k] {
					w.Start(k)
				}
			}
		case 14:
			w.PartitionStore(i, true)
		case 15:
			w.PartitionStore(i, false)
			w.Store.SetLatency(3 * time.Millisecond)
		case 16:
			w.Store.SetLatency(time.Duration(50+rng.IntN(400)) * time.Millisecond)
		case 17:
			w.Cloud.SetBootFaults(1+4*rng.Float64(), 2+rng.IntN(4))
		case 18:
			if len(open) > 0 {
				w.FailJob(open[rng.IntN(len(open))])
			}
		case 19:
			w.Cloud.DelayDeletions(time.Duration(rng.IntN(25000)) * time.Millisecond)
		case 12, 13:
			if up[i] {
				freeze(w, i, time.Duration(rng.IntN(30000))*time.Millisecond)
			}
		case 0, 1:
			if up[i] {
				w.Crash(i)
			} else {
				w.Start(i)
			}
			up[i] = !up[i]
		case 2:
			w.Store.SetOutage(true)
		case 3, 4:
			w.Store.SetOutage(false)
		case 5:
			if all := w.Cloud.Workers(); len(all) > 0 {
				all[rng.IntN(len(all))].Hang(time.Duration(rng.IntN(40)) * time.Second)
			}
		case 6:
			if all := w.Cloud.Workers(); len(all) > 0 {
				w.Cloud.Reclaim(all[rng.IntN(len(all))].Name)
			}
		case 7:
			w.PartitionControllers(i, (i+1)%3, true)
			w.PartitionWorkers("b", i, true)
		case 8, 9:
			for k := range 3 {
				w.PartitionControllers(k, (k+1)%3, false)
				w.PartitionWorkers("b", k, false)
			}
		}
		time.Sleep(time.Duration(rng.IntN(8000)) * time.Millisecond)
	}
	endFaults()
	w.SetFaults(0, 0)
	w.Store.SetOutage(false)
	w.Store.SetLatency(3 * time.Millisecond)
	w.Cloud.SetBootFaults(1, 0)
	w.Cloud.DelayDeletions(0)
	for k := range 3 {
		w.PartitionStore(k, false)
		w.PartitionControllers(k, (k+1)%3, false)
		w.PartitionWorkers("b", k, false)
		if !up[k] {
			w.Start(k)
		}
	}
	checkConvergence(t, w, open)
}

// backgroundFaults begins what goes on beside a random day: machines whose reports arrive while nothing reaches them,
// one or a zone; copies of reports, from seconds to twice a lease late; a controller that loses the state service and
// the others but not its workers; and machines that are back under their names within a moment. It returns what ends
// all of it.
func backgroundFaults(w *emulator.Environment, rng *rand.Rand) (endFaults func()) {
	var ended atomic.Bool
	if rng.IntN(2) == 0 {
		w.DuplicateHeartbeats(
			0.05+0.3*rng.Float64(),
			time.Duration(2+rng.IntN(2*int(w.Params.Workers.LeaseS)))*time.Second,
		)
	}
	go func() {
		for w.Context().Err() == nil {
			time.Sleep(time.Duration(1000+rng.IntN(20000)) * time.Millisecond)
			all := w.Cloud.Workers()
			if ended.Load() {
				return
			}
			if len(all) == 0 {
				continue
			}
			target, wholeZone, i := all[rng.IntN(len(all))], rng.IntN(4) == 0, rng.IntN(3)
			duration := time.Duration(rng.IntN(60)) * time.Second
			switch fault := rng.IntN(4); fault {
			case 0:
				for _, worker := range all {
					if worker == target || wholeZone && worker.Zone == target.Zone {
						worker.SetInboundPartition(true)
						time.AfterFunc(duration, func() { worker.SetInboundPartition(false) })
					}
				}
			case 1:
				w.PartitionFromStoreAndPeers(i, true)
				time.AfterFunc(duration, func() { w.PartitionFromStoreAndPeers(i, false) })
			default:
				for range 1 + rng.IntN(3) {
					target.Reboot(fault == 2)
					time.Sleep(time.Duration(50+rng.IntN(600)) * time.Millisecond)
				}
			}
		}
	}()
	return func() {
		ended.Store(true)
		w.DuplicateHeartbeats(0, 0)
		for _, worker := range w.Cloud.Workers() {
			worker.SetInboundPartition(false)
		}
		for i := range 3 {
			w.PartitionFromStoreAndPeers(i, false)
		}
	}
}
