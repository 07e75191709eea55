package controller

import (
	"cmp"
	"flag"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"fieldhill/internal/config"
	"fieldhill/internal/emulator"
	"fieldhill/wire"
)

// workload is a stream of jobs of one class.
type workload struct {
	class, team, shape, priority string
	jobsPerSecond                float64
	from, to                     int   // first second of the scenario with jobs, and the first without
	tasks                        []int // each job has one of these numbers of tasks, chosen at random
	cpus, runSeconds             float64
}

// overloadScenario is a set of workloads that together exceed the capacity, and the faults injected meanwhile.
type overloadScenario struct {
	name          string
	inCI          bool // whether the scenario also runs without -hard
	teams         []config.Team
	loads         []workload
	runtimeFactor float64                                   // actual runtime as a multiple of the estimate; 0 means 1
	everySecond   func(w *emulator.Environment, second int) // injects the scenario's faults; called every second
}

const (
	scenarioSeconds = 300 // duration of a scenario
	warmupSeconds   = 10  // when the first jobs are submitted, in seconds after the start of the deployment
)

// defaultTeams are the teams of all scenarios: two with a guarantee and one without.
var defaultTeams = []config.Team{{Name: "red", CPUs: 120}, {Name: "blue", CPUs: 60}, {Name: "guest"}}

// The workloads that scenarios are composed of.
var (
	webLoad   = workload{"web", "red", wire.Service, wire.Production, 0.15, 0, 200, []int{2, 4}, 1, 0}
	batchLoad = workload{"batch", "blue", wire.Array, wire.Low, 0.4, 0, 260, []int{5, 10, 40, 120}, 1, 12}
	guestLoad = workload{"visit", "guest", wire.Array, wire.Low, 0.2, 0, 260, []int{4, 8, 16}, 1, 8}
	gangLoad  = workload{"sim", "red", wire.Gang, wire.High, 0.06, 0, 240, []int{1, 2}, 8, 20}
)

// scaled returns the workload with f times the jobs per second, limited to the seconds from (inclusive) to to
// (exclusive) of the scenario.
func (l workload) scaled(f float64, from, to int) workload {
	l.jobsPerSecond, l.from, l.to = l.jobsPerSecond*f, from, to
	return l
}

// newJob returns a random job of the workload.
func (l workload) newJob(n int, rng *rand.Rand) *wire.JobSpec {
	j := newJobSpec(n, l.shape, l.tasks[rng.IntN(len(l.tasks))], l.runSeconds*(0.5+rng.Float64()))
	j.Class, j.Team, j.Priority = l.class, l.team, l.priority
	j.CPUs, j.MemoryGB = l.cpus, 1
	j.Image = fmt.Sprint("img-", rng.IntN(4))
	j.Spot = l.shape != wire.Service
	j.SameZone, j.Spread = l.shape == wire.Gang, l.shape == wire.Service
	return j
}

// overloadScenarios are the scenarios of TestOverloadFairness; the seed of each is its position, from 1.
var overloadScenarios = []overloadScenario{
	{
		name:  "fourfold load of a class with half of the machines reclaimed",
		inCI:  true,
		teams: defaultTeams,
		loads: []workload{
			webLoad, batchLoad, guestLoad, gangLoad.scaled(1.5, 0, 240), batchLoad.scaled(3, 100, 200),
		},
		everySecond: reclaimHalfOfTheMachines,
	},
	{
		name:        "cloud outage with a lost zone",
		teams:       defaultTeams,
		loads:       []workload{webLoad, batchLoad, guestLoad, gangLoad},
		everySecond: loseZoneDuringCloudOutage,
	},
	{
		name:  "one team submits nine tenths of the jobs",
		teams: defaultTeams,
		loads: []workload{webLoad, gangLoad, batchLoad.scaled(0.3, 0, 260), guestLoad.scaled(9, 0, 260)},
	},
	{
		name:  "few huge arrays among many small ones",
		inCI:  true,
		teams: defaultTeams,
		loads: []workload{
			webLoad,
			batchLoad.scaled(2, 0, 260),
			{"huge", "red", wire.Array, wire.Low, 0.05, 0, 150, []int{200}, 1, 10},
		},
	},
	{
		name:  "thousands of single-task jobs",
		teams: defaultTeams,
		loads: []workload{webLoad, batchLoad, {"tiny", "guest", wire.Array, wire.Low, 8, 0, 260, []int{1}, 1, 6}},
	},
	{
		name:          "runtimes three times the estimates",
		teams:         defaultTeams,
		loads:         []workload{webLoad, batchLoad, guestLoad, gangLoad.scaled(1.5, 0, 200)},
		runtimeFactor: 3,
	},
	{
		name:        "slow leader for a minute",
		teams:       defaultTeams,
		loads:       []workload{webLoad, batchLoad, guestLoad, gangLoad},
		everySecond: slowLeaderForAMinute,
	},
	{
		name:  "gangs of four among fragments",
		teams: defaultTeams,
		loads: []workload{
			webLoad.scaled(0.5, 0, 200),
			batchLoad.scaled(2, 0, 260),
			{"sim", "red", wire.Gang, wire.High, 0.03, 20, 240, []int{4}, 9, 25},
		},
	},
	{
		name:        "all controllers restarted every minute",
		teams:       defaultTeams,
		loads:       []workload{webLoad, batchLoad, guestLoad, gangLoad},
		everySecond: restartAllEveryMinute,
	},
	{
		name:  "new class in the last third",
		teams: defaultTeams,
		loads: []workload{
			webLoad,
			batchLoad.scaled(1.5, 0, 260),
			guestLoad,
			{"late", "red", wire.Array, wire.Low, 0.5, 200, 265, []int{4, 8, 20}, 1, 8},
		},
	},
}

// reclaimHalfOfTheMachines makes the cloud reclaim every second machine at second 100, and limits its capacity to two
// machines per type, zone and kind.
func reclaimHalfOfTheMachines(w *emulator.Environment, second int) {
	if second != 100 {
		return
	}
	w.Cloud.SetCapacity(2)
	for i, worker := range w.Cloud.Workers() {
		if i%2 == 0 {
			w.Cloud.Reclaim(worker.Name)
		}
	}
}

// loseZoneDuringCloudOutage reclaims all machines of a zone at second 100, at the start of a cloud outage of 150
// seconds.
func loseZoneDuringCloudOutage(w *emulator.Environment, second int) {
	switch second {
	case 100:
		w.Cloud.SetOutage(true)
		for _, worker := range zoneMachines(w, "b") {
			w.Cloud.Reclaim(worker.Name)
		}
	case 250:
		w.Cloud.SetOutage(false)
	}
}

// slowLeaderForAMinute keeps the leader's event loop busy for more than half of the time, for a minute from second 100.
func slowLeaderForAMinute(_ *emulator.Environment, second int) {
	if second < 100 || second >= 160 {
		return
	}
	if n := nodeAt(leaderOrFirst()); n != nil {
		for range 3 {
			go n.loop.post(func() { time.Sleep(200 * time.Millisecond) })
		}
	}
}

// restartAllEveryMinute stops all controllers for three seconds every minute.
func restartAllEveryMinute(w *emulator.Environment, second int) {
	if second == 0 || second%60 != 0 {
		return
	}
	crashAll(w)
	time.Sleep(3 * time.Second)
	startAll(w)
}

// allScenarios enables scenarios and measurements that take too long for CI.
var allScenarios = flag.Bool("hard", false, "run all overload scenarios and measurements, not only those run in CI")

// TestOverloadFairness runs deployments whose workload exceeds their capacity, with additional faults. By the end of a
// scenario, half of the jobs and half of the tasks of every class and every team must have been served if the capacity
// was sufficient for that, and services must have been up for half of the time. Each scenario takes half a minute under
// the race detector, so only two run by default: one with a class of few large arrays, and one in which a team without
// a guarantee queues behind a burst.
func TestOverloadFairness(t *testing.T) {
	for i, scenario := range overloadScenarios {
		if !*allScenarios && !scenario.inCI {
			continue
		}
		t.Run(scenario.name, func(t *testing.T) {
			runClusterWithTeams(t, uint64(i+1), scenario.teams, func(w *emulator.Environment) {
				runOverload(t, w, scenario, rand.New(rand.NewPCG(uint64(i), 5)))
			})
		})
	}
}

// feasibleShare limits what the test requires: half of the work has to be served only if, according to capacityModel,
// this half needs less than this share of the capacity. The limit is below 1 because, unlike in the model, machines
// have to boot and to fetch images, and their capacity is fragmented.
const feasibleShare = 0.7

// runOverload submits the workloads of a scenario and then checks which jobs were served.
func runOverload(t *testing.T, w *emulator.Environment, scenario overloadScenario, rng *rand.Rand) {
	t.Helper()
	time.Sleep(warmupSeconds * time.Second)
	n := 0
	capacity := &capacityModel{runtimeFactor: max(1, scenario.runtimeFactor)}
	w.SetRuntimeFactor(capacity.runtimeFactor)
	for second := range scenarioSeconds {
		began := time.Now()
		for _, l := range scenario.loads {
			if second < l.from || second >= l.to {
				continue
			}
			for expected := l.jobsPerSecond; expected > 0 && rng.Float64() < expected; expected-- {
				n++
				j := l.newJob(n, rng)
				capacity.add(second, j)
				w.Checker.RegisterJob(j)
				go w.Submit(j)
			}
		}
		capacity.available = append(capacity.available, w.Cloud.BootedCPUs())
		if scenario.everySecond != nil {
			scenario.everySecond(w, second)
		}
		time.Sleep(time.Second - time.Since(began))
	}
	checkLargestServed(t, w)
	classes, teams := w.Checker.CompletionCountsByGroup()
	checkHalfServed(t, capacity, "class", classes, func(j demand) string { return j.spec.Class })
	checkHalfServed(t, capacity, "team", teams, func(j demand) string { return j.spec.Team })
}

// checkLargestServed requires that, of the largest jobs of each class, at least half started, and at most half waited
// for their start for more than four minutes.
func checkLargestServed(t *testing.T, w *emulator.Environment) {
	t.Helper()
	for class, l := range w.Checker.LargestByClass(time.Minute) {
		t.Logf("largest jobs of class %s: %+v", class, *l)
		if 2*l.Started < l.Jobs {
			t.Errorf("class %s: %d of the %d largest jobs started, want at least half", class, l.Started, l.Jobs)
		}
		if 2*l.Late > l.Jobs {
			t.Errorf("class %s: %d of the %d largest jobs did not start within four minutes, want at most half",
				class, l.Late, l.Jobs)
		}
	}
}

// checkHalfServed requires that half of the jobs and half of the tasks of each class or team were served, where that is
// feasible according to the capacity model, and that services were up half of the time.
func checkHalfServed(
	t *testing.T,
	capacity *capacityModel,
	kind string,
	counts map[string]*emulator.CompletionCounts,
	nameOf func(demand) string,
) {
	t.Helper()
	needJobs, needTasks := capacity.requiredShare(nameOf, true), capacity.requiredShare(nameOf, false)
	t.Logf("half of the jobs of each %s need at most %.2f of the capacity, half of the tasks %.2f",
		kind, needJobs, needTasks)
	for _, name := range slices.Sorted(maps.Keys(counts)) {
		count := counts[name]
		jobs, tasks, up := count.CompletedShares()
		t.Logf("%s %s: %v", kind, name, count)
		if jobs < 0.5 && needJobs < feasibleShare || tasks < 0.5 && needTasks < feasibleShare || up < 0.5 {
			t.Errorf("%s %s: %.2f of jobs and %.2f of tasks served, want at least 0.5 if feasible; "+
				"services up %.2f of the time, want at least 0.5", kind, name, jobs, tasks, up)
		}
	}
}

// capacityModel estimates an upper bound on the work that could be served. It treats the machines as one pool of CPUs
// without fragmentation, image fetches or lost work.
type capacityModel struct {
	jobs          []demand
	available     []float64 // available CPUs, by second
	runtimeFactor float64   // actual runtime as a multiple of the estimate
}

// demand is a submitted job in the capacity model.
type demand struct {
	second     int // second of the scenario at which the job was submitted
	spec       *wire.JobSpec
	cpuSeconds float64 // estimated CPU time of all tasks together
}

// add records a job submitted at a second of the scenario.
func (c *capacityModel) add(second int, j *wire.JobSpec) {
	taskSeconds := j.EstimateS*c.runtimeFactor*1.2 + 1.5
	c.jobs = append(c.jobs, demand{second, j, float64(j.Tasks) * j.CPUs * taskSeconds})
}

// requiredShare returns the share of the capacity left by all services that is needed to serve the smaller half of the
// jobs of each class or team if jobs is set, or else half of the work of each job. It is the maximum, over all seconds
// of the scenario, of the part of this work that is submitted from that second on, divided by the capacity from that
// second on.
func (c *capacityModel) requiredShare(nameOf func(demand) string, jobs bool) float64 {
	byName := map[string][]demand{}
	left, wanted := slices.Clone(c.available), make([]float64, len(c.available))
	for _, j := range c.jobs {
		switch {
		case j.spec.Shape == wire.Service:
			for s := j.second; s < len(left); s++ {
				left[s] -= float64(j.spec.Tasks) * j.spec.CPUs
			}
		case jobs:
			byName[nameOf(j)] = append(byName[nameOf(j)], j)
		default:
			wanted[j.second] += j.cpuSeconds / 2
		}
	}
	for _, list := range byName {
		slices.SortFunc(list, func(a, b demand) int { return cmp.Compare(a.cpuSeconds, b.cpuSeconds) })
		for _, j := range list[:(len(list)+1)/2] {
			wanted[j.second] += j.cpuSeconds
		}
	}
	worst, capacity, want := 0.0, 0.0, 0.0
	for s := len(left) - 1; s >= 0; s-- {
		capacity += max(0, left[s])
		if want += wanted[s]; want > 0 {
			worst = max(worst, want/max(capacity, 1))
		}
	}
	return worst
}
