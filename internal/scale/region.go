package scale

import (
	"context"
	"fmt"
	"math/rand/v2"
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
	baseTaskCPUs = 4.1 // of a task that keeps a machine rented: two do not fit
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
	// churnShare is how much of what the base leaves of the machines the asked-for load takes.
	churnShare = 0.85
	// runtimeFactor is by how much the stand-in's tasks run longer than their owners say, on average.
	runtimeFactor = 1.2
	warmImages    = 20
	restartDelay  = 3 * time.Second
)

// latencyRecorder is a histogram in milliseconds, up to an hour.
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
	_ = l.histogram.RecordValue(max(1, d.Milliseconds())) // a longer one than an hour is not possible within a run
}

// region is a region that runs: its controllers, stand-ins and hollow workers.
type region struct {
	profile           *Profile
	index             int
	netByte           int
	network           *network
	environment       *emulator.Environment
	supervisor        *supervisor.Supervisor
	rng               *rand.Rand
	rngMu             sync.Mutex
	lastJobNumber     atomic.Int64 // job numbers
	measuring         atomic.Bool
	submittedAt       sync.Map // job id: when its user began to submit it
	startLatencies    map[string]*latencyRecorder
	submitLatency     *latencyRecorder
	accepted, refused atomic.Int64
}

// startRegion starts a region's controllers and stand-ins; nothing is submitted yet.
func startRegion(ctx context.Context, profile *Profile, index, netByte int, program, dir string) (*region, error) {
	regionNetwork, err := newNetwork(ctx, netByte)
	if err != nil {
		return nil, err
	}
	dir = filepath.Join(dir, fmt.Sprintf("region-%d", index))
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return nil, err
	}
	started := &region{
		profile:        profile,
		index:          index,
		netByte:        netByte,
		network:        regionNetwork,
		rng:            rand.New(rand.NewPCG(profile.Seed, uint64(index))),
		supervisor:     &supervisor.Supervisor{Executable: program, Dir: dir, RestartDelay: restartDelay},
		startLatencies: map[string]*latencyRecorder{},
		submitLatency:  newLatencyRecorder(),
	}
	for _, class := range []string{baseClass, gangClass, churnClass, urgentClass, shortClass} {
		started.startLatencies[class] = newLatencyRecorder()
	}
	failed, fail := context.WithCancelCause(ctx)
	runController := func(_ context.Context, _ host.Net, s *config.Settings) error {
		if err := started.supervisor.Run(
			ctx,
			s,
			"--metrics",
			metricsAddr(netByte, started.nodeIndex(s.Node)),
		); err != nil {
			fail(err)
		}
		return nil
	}
	started.environment, err = emulator.NewDeployment(
		ctx,
		regionNetwork.hostNetwork,
		regionAddresses(netByte),
		profile.ControllersPerRegion,
		profile.Seed+uint64(index),
		runController,
		started.deployment(),
	)
	if err != nil {
		return nil, err
	}
	started.environment.Store.SetRateLimits(profile.Limits.StateRPS, profile.Limits.WriteRPS)
	started.environment.Store.SetLatency(time.Duration(profile.Limits.StateLatencyMS * float64(time.Millisecond)))
	for i := range profile.ControllersPerRegion {
		started.environment.Start(i)
	}
	return started, context.Cause(failed)
}

func (r *region) nodeIndex(name string) int {
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

// deployment is the deployment: as many machines of each type as the profile has, spread over the zones, and teams of
// equal shares.
func (r *region) deployment() emulator.Deployment {
	profile := r.profile
	params := emulator.DefaultParams()
	params.Zones = nil
	for z := range profile.ZonesPerRegion {
		params.Zones = append(params.Zones, fmt.Sprintf("zone-%d-%d", r.index, z))
	}
	cpus := machineCPUs * float64(r.cpuMachines()+r.gpuMachines())
	params.Teams = []config.Team{{Name: baseTeam}}
	for t := range profile.Teams {
		params.Teams = append(
			params.Teams,
			config.Team{
				Name:    teamName(t),
				CPUs:    cpus / float64(4*profile.Teams),
				CPUsMax: max(8, 2*cpus/float64(profile.Teams)),
			},
		)
	}
	params.Objectives = []config.Objective{{Kind: "wait", Class: urgentClass, WithinS: 6.8, Share: 0.99}}
	workers, limits := &params.Workers, profile.Limits
	workers.HeartbeatS, workers.LeaseS, workers.CancelS = limits.ReportS, limits.LeaseS, limits.CancelS
	params.KVStore = config.KVStore{
		RPS:      limits.StateRPS,
		WriteRPS: limits.WriteRPS,
		ValueKB:  limits.ValueKB,
		TxnOps:   limits.TxnOps,
	}
	params.Cloud.RPS = limits.CloudRPS
	params.Limits = config.Limits{CPUShare: 1, MemoryMB: 1024, MaxSockets: limits.MaxSockets}
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
		PageSize: 500,
		MaxMachines: func(typ string, spot bool) int {
			if spot {
				return 0
			}
			return maxMachines[typ]
		},
		OnTaskStart: r.onTaskStart,
	}
}

func teamName(i int) string { return fmt.Sprintf("team-%02d", i) }

// onTaskStart notes that a worker begins a task, when that is measured.
func (r *region) onTaskStart(s *wire.JobSpec) {
	if submittedAt, ok := r.submittedAt.Load(s.ID); ok && r.measuring.Load() {
		r.startLatencies[s.Class].add(time.Since(submittedAt.(time.Time)))
	}
}

func (r *region) randomFloat() float64 {
	r.rngMu.Lock()
	defer r.rngMu.Unlock()
	return r.rng.Float64()
}

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
	// pollInterval is how long users wait between two questions about a job, and between two tries to submit it.
	pollInterval  = 5 * time.Second
	retryDelay    = time.Second
	submitTimeout = time.Minute
)

// runUser submits a job, insisting as users do, and asks about it until it is over.
func (r *region) runUser(ctx context.Context, s *wire.JobSpec, onFinished func()) {
	startedAt := time.Now()
	r.submittedAt.Store(s.ID, startedAt)
	defer r.submittedAt.Delete(s.ID)
	r.environment.Checker.RegisterJob(s)
	body, err := wire.Marshal(s)
	if err != nil {
		return
	}
	for {
		code, _ := r.environment.Request("submit", s.ID, body)
		if code == 200 || code == 201 {
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
		if code, status := r.environment.Request(
			"poll",
			s.ID,
			nil,
		); code == 200 &&
			(status.State == wire.JobDone || status.State == wire.JobCancelled) {
			if onFinished != nil {
				onFinished()
			}
			return
		}
	}
}

func wait(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}
