package scale

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"path/filepath"
	"sync"
	"sync/atomic"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"fieldhill/internal/config"
	"fieldhill/internal/emulator"
	"fieldhill/internal/platform/host"
	"fieldhill/internal/supervisor"
	"fieldhill/wire"
)

const (
	machineCPUs  = 8.0
	machineGB    = 64.0
	baseTaskCPUs = 4.1 // of a task that keeps a machine from being released: two do not fit
	cpuType      = "cpu"
	gpuType      = "gpu"
	baseTeam     = "base"
	baseClass    = "base"
	gangClass    = "gang"
	churnClass   = "churn"
	urgentClass  = "urgent"
	shortClass   = "short"
	// outlivesRunS is how long a task runs that outlives the run.
	outlivesRunS = 100_000
	// churnShare is how much of what the base leaves of the machines the short tasks take.
	churnShare = 0.85
	// runtimeFactor is how many times as long as their owners say the emulator's tasks run on average.
	runtimeFactor = 1.2
	// warmImages is how many images the jobs share that are not cold.
	warmImages   = 20
	restartDelay = 3 * time.Second
)

// latencyRecorder is a histogram of latencies in milliseconds, up to an hour.
type latencyRecorder struct {
	mu        sync.Mutex
	histogram *hdrhistogram.Histogram
}

func newLatencyRecorder() *latencyRecorder {
	return &latencyRecorder{histogram: hdrhistogram.New(1, 3_600_000, 3)}
}

func (l *latencyRecorder) add(d time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	_ = l.histogram.RecordValue(max(1, d.Milliseconds())) // it refuses more than an hour, which no run has
}

// region is a region that runs: its controllers, emulators and hollow workers.
type region struct {
	profile           *Profile
	index             int
	netByte           int
	network           *network
	environment       *emulator.Environment
	supervisor        *supervisor.Supervisor
	rng               *rand.Rand
	rngMu             sync.Mutex
	lastJobNumber     atomic.Int64
	measuring         atomic.Bool
	submittedAt       sync.Map // job id: when its user began to submit it
	startLatencies    map[string]*latencyRecorder
	submitLatency     *latencyRecorder
	accepted, refused atomic.Int64
}

// startRegion starts a region's controllers and emulators; nothing is submitted yet. With an error the region is not
// nil if some of it runs.
func startRegion(ctx context.Context, profile *Profile, index, netByte int, program, dir string) (*region, error) {
	regionNetwork, err := newNetwork(ctx, netByte)
	if err != nil {
		return nil, err
	}
	dir = filepath.Join(dir, fmt.Sprintf("region-%d", index))
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return nil, err
	}
	r := newRegion(profile, index, regionNetwork, netByte)
	r.supervisor = &supervisor.Supervisor{Executable: program, Dir: dir, RestartDelay: restartDelay}
	failed, fail := context.WithCancelCause(ctx)
	runController := func(_ context.Context, _ host.Net, s *config.Settings) error {
		if err := r.supervisor.Run(ctx, s, "--metrics", metricsAddr(netByte, r.controllerIndex(s.Node))); err != nil {
			fail(err)
		}
		return nil
	}
	r.environment, err = emulator.NewDeployment(
		ctx,
		regionNetwork.hostNetwork,
		regionAddresses(netByte),
		profile.ControllersPerRegion,
		profile.Seed+uint64(index),
		runController,
		r.deployment(),
	)
	if err != nil {
		return nil, err
	}
	r.environment.Store.SetRateLimits(profile.Limits.StateRPS, profile.Limits.WriteRPS)
	r.environment.Store.SetLatency(time.Duration(profile.Limits.StateLatencyMS * float64(time.Millisecond)))
	for i := range profile.ControllersPerRegion {
		r.environment.Start(i) //nolint:contextcheck // the environment has the context
	}
	return r, context.Cause(failed)
}

func newRegion(profile *Profile, index int, regionNetwork *network, netByte int) *region {
	r := &region{
		profile:        profile,
		index:          index,
		netByte:        netByte,
		network:        regionNetwork,
		rng:            rand.New(rand.NewPCG(profile.Seed, uint64(index))),
		startLatencies: map[string]*latencyRecorder{},
		submitLatency:  newLatencyRecorder(),
	}
	for _, class := range []string{baseClass, gangClass, churnClass, urgentClass, shortClass} {
		r.startLatencies[class] = newLatencyRecorder()
	}
	return r
}

// controllerIndex is the index of a controller by its name.
func (r *region) controllerIndex(name string) int {
	for i := range r.profile.ControllersPerRegion {
		if emulator.ControllerName(i) == name {
			return i
		}
	}
	return 0
}

func (r *region) cpuMachines() int {
	return r.profile.share(r.profile.Workers-r.profile.gpuMachines(), r.index)
}

func (r *region) gpuMachines() int { return r.profile.share(r.profile.gpuMachines(), r.index) }

// deployment has as many machines of each type as the profile, spread over the zones, and teams of equal shares.
func (r *region) deployment() emulator.Deployment {
	profile := r.profile
	params := r.params()
	machine := func(name string, gpus float64) wire.MachineType {
		return wire.MachineType{
			Name:        name,
			CPUs:        machineCPUs,
			GPUs:        gpus,
			MemoryGB:    machineGB,
			CacheGB:     1000,
			FetchGBPerS: 1,
			Price:       1 + gpus,
			SpotPrice:   1 + gpus,
			BootS:       2,
			Zones:       params.Zones,
		}
	}
	perZone := func(n int) int { return (n + profile.ZonesPerRegion - 1) / profile.ZonesPerRegion }
	maxMachines := map[string]int{cpuType: perZone(r.cpuMachines()), gpuType: perZone(r.gpuMachines())}
	return emulator.Deployment{
		Params:   params,
		Types:    []wire.MachineType{machine(cpuType, 0), machine(gpuType, gpusPerMachine)},
		PageSize: wire.MaxList,
		MaxMachines: func(typ string, spot bool) int {
			if spot {
				return 0
			}
			return maxMachines[typ]
		},
		OnTaskStart: r.onTaskStart,
	}
}

// params are the controllers' settings. Each team is guaranteed its part of a quarter of the machines, and may use
// twice its part of all.
func (r *region) params() config.Params {
	profile, limits := r.profile, r.profile.Limits
	params := emulator.DefaultParams()
	params.Zones = nil
	for z := range profile.ZonesPerRegion {
		params.Zones = append(params.Zones, fmt.Sprintf("zone-%d-%d", r.index, z))
	}
	cpus := machineCPUs * float64(r.cpuMachines()+r.gpuMachines())
	params.Teams = []config.Team{{Name: baseTeam}}
	for t := range profile.Teams {
		params.Teams = append(params.Teams, config.Team{
			Name:    teamName(t),
			CPUs:    cpus / float64(4*profile.Teams),
			CPUsMax: max(8, 2*cpus/float64(profile.Teams)),
		})
	}
	params.Objectives = []config.Objective{{Kind: "wait", Class: urgentClass, WithinS: 6.8, Share: 0.99}}
	params.Workers.HeartbeatS = limits.ReportS
	params.Workers.LeaseS = limits.LeaseS
	params.Workers.CancelS = limits.CancelS
	params.KVStore = config.KVStore{
		RPS:      limits.StateRPS,
		WriteRPS: limits.WriteRPS,
		ValueKB:  limits.ValueKB,
		TxnOps:   limits.TxnOps,
	}
	params.Cloud.RPS = limits.CloudRPS
	params.Limits = config.Limits{CPUShare: 1, MemoryMB: 1024, MaxSockets: limits.MaxSockets}
	return params
}

func teamName(i int) string { return fmt.Sprintf("team-%02d", i) }

// onTaskStart records the start latency of a job whose user is there, during the measurement.
func (r *region) onTaskStart(s *wire.JobSpec) {
	if submittedAt, ok := r.submittedAt.Load(s.ID); ok && r.measuring.Load() {
		r.startLatencies[s.Class].add(time.Since(submittedAt.(time.Time)))
	}
}

// randomFloat draws from 0 to 1.
func (r *region) randomFloat() float64 {
	r.rngMu.Lock()
	defer r.rngMu.Unlock()
	return r.rng.Float64()
}

// newJob is a job array with a number of its own; runS is how long its owner says that a task runs.
func (r *region) newJob(class, priority, team string, tasks int, cpus, runS float64) *wire.JobSpec {
	n := r.lastJobNumber.Add(1)
	return &wire.JobSpec{
		ID:        wire.JobID(uint64(n)),
		Class:     class,
		Team:      team,
		Shape:     wire.Array,
		Priority:  priority,
		Tasks:     tasks,
		CPUs:      cpus,
		MemoryGB:  0.1,
		Image:     fmt.Sprintf("img-%d", n%warmImages),
		ImageGB:   0.1,
		EstimateS: runS,
	}
}

const (
	// pollInterval is how long users wait between two questions about a job, retryDelay between two attempts to submit
	// it, and submitTimeout is after how long they give up.
	pollInterval  = 5 * time.Second
	retryDelay    = time.Second
	submitTimeout = time.Minute
)

// runUser submits a job, insisting as users do, and asks about it until it is over.
func (r *region) runUser(ctx context.Context, s *wire.JobSpec) {
	startedAt := time.Now()
	r.submittedAt.Store(s.ID, startedAt)
	defer r.submittedAt.Delete(s.ID)
	r.environment.Checker.RegisterJob(s)
	body, err := wire.Marshal(s)
	if err != nil {
		return
	}
	for {
		//nolint:contextcheck // a request that was sent is answered or times out, as a user's
		code, _ := r.environment.Request("submit", s.ID, body)
		if code == http.StatusOK || code == http.StatusCreated {
			break
		}
		if ctx.Err() != nil || time.Since(startedAt) > submitTimeout {
			r.refused.Add(1)
			return
		}
		wait(ctx, retryDelay)
	}
	if r.measuring.Load() {
		r.submitLatency.add(time.Since(startedAt))
	}
	r.accepted.Add(1)
	for ctx.Err() == nil {
		wait(ctx, pollInterval)
		code, status := r.environment.Request("poll", s.ID, nil) //nolint:contextcheck // as the submission
		if code == http.StatusOK && (status.State == wire.JobDone || status.State == wire.JobCancelled) {
			return
		}
	}
}

// wait pauses until the context ends at the latest.
func wait(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}
