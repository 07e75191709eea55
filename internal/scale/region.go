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
	machineCPUs     = 8.0
	machineMemoryGB = 64.0
	baseTaskCPUs    = 4.1 // just over half of machineCPUs, so that each machine gets one base task and stays in use
	cpuType         = "cpu"
	gpuType         = "gpu"
	baseTeam        = "base"
	baseClass       = "base"
	gangClass       = "gang"
	churnClass      = "churn"
	urgentClass     = "urgent"
	shortClass      = "short"
	// baseRuntimeS is the estimated runtime of base tasks, longer than the longest run that a profile may have.
	baseRuntimeS = 100_000
	// churnShare is the share that the short tasks use of the CPUs left free by base tasks.
	churnShare = 0.85
	// meanRuntimeFactor is the emulator's mean ratio of actual to estimated runtime of a task.
	meanRuntimeFactor = 1.2
	// warmImageCount is the number of images shared by the jobs whose image isn't cold.
	warmImageCount = 20
	restartDelay   = 3 * time.Second
)

// latencyRecorder is a histogram of latencies of up to an hour, in milliseconds.
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
	_ = l.histogram.RecordValue(max(1, d.Milliseconds())) // fails only above an hour; not recorded then
}

// region is a running region: its controllers, emulators and hollow workers.
type region struct {
	profile             *Profile
	index               int
	netByte             int
	network             *network
	environment         *emulator.Environment
	supervisor          *supervisor.Supervisor
	rng                 *rand.Rand
	rngMu               sync.Mutex
	lastJobNumber       atomic.Int64
	measuring           atomic.Bool
	submittedAt         sync.Map // time of the first submission attempt by job ID
	startLatencies      map[string]*latencyRecorder
	submitLatency       *latencyRecorder
	accepted, abandoned atomic.Int64
}

// startRegion starts a region's controllers and emulators, without submitting jobs. If it fails after it began to start
// the controllers, it returns the region together with the error.
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
	startCtx, failStart := context.WithCancelCause(ctx)
	runController := func(_ context.Context, _ host.Net, s *config.Settings) error {
		if err := r.supervisor.Run(ctx, s, "--metrics", metricsAddr(netByte, r.controllerIndex(s.Node))); err != nil {
			failStart(err)
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
	r.environment.Store.SetRateLimits(profile.Limits.StoreRPS, profile.Limits.WriteRPS)
	r.environment.Store.SetLatency(time.Duration(profile.Limits.StoreLatencyMS * float64(time.Millisecond)))
	for i := range profile.ControllersPerRegion {
		r.environment.Start(i) //nolint:contextcheck // the environment has the context
	}
	return r, context.Cause(startCtx)
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

// controllerIndex returns the index of the controller with the given name, or 0 if there is none.
func (r *region) controllerIndex(name string) int {
	for i := range r.profile.ControllersPerRegion {
		if emulator.ControllerName(i) == name {
			return i
		}
	}
	return 0
}

func (r *region) cpuMachines() int {
	return r.profile.regionShare(r.profile.Workers-r.profile.gpuMachines(), r.index)
}

func (r *region) gpuMachines() int { return r.profile.regionShare(r.profile.gpuMachines(), r.index) }

// deployment describes the emulated environment: the profile's machines of each type, spread evenly over the zones.
func (r *region) deployment() emulator.Deployment {
	profile := r.profile
	params := r.params()
	machineType := func(name string, gpus float64) wire.MachineType {
		return wire.MachineType{
			Name:        name,
			CPUs:        machineCPUs,
			GPUs:        gpus,
			MemoryGB:    machineMemoryGB,
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
		Types:    []wire.MachineType{machineType(cpuType, 0), machineType(gpuType, gpusPerMachine)},
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

// params returns the parameters in the controllers' settings. With n teams, each team is guaranteed 1/(4n) of all CPUs
// and limited to 2/n of them, but not to less than 8 CPUs.
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
	params.Workers.HeartbeatS = limits.HeartbeatS
	params.Workers.LeaseS = limits.LeaseS
	params.Workers.CancelS = limits.CancelS
	params.KVStore = config.KVStore{
		RPS:      limits.StoreRPS,
		WriteRPS: limits.WriteRPS,
		ValueKB:  limits.ValueKB,
		TxnOps:   limits.TxnOps,
	}
	params.Cloud.RPS = limits.CloudRPS
	params.Limits = config.Limits{CPUShare: 1, MemoryMB: 1024, MaxSockets: limits.MaxSockets}
	return params
}

func teamName(i int) string { return fmt.Sprintf("team-%02d", i) }

// onTaskStart records the time from the submission of a job to the start of a task, if a simulated user is still
// submitting or polling the job and the measurement is in progress.
func (r *region) onTaskStart(spec *wire.JobSpec) {
	if submittedAt, ok := r.submittedAt.Load(spec.ID); ok && r.measuring.Load() {
		r.startLatencies[spec.Class].add(time.Since(submittedAt.(time.Time)))
	}
}

// randomFloat returns a random number in [0, 1).
func (r *region) randomFloat() float64 {
	r.rngMu.Lock()
	defer r.rngMu.Unlock()
	return r.rng.Float64()
}

// newJob creates a job array with a new ID; runS is the estimated runtime of a task.
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
		Image:     fmt.Sprintf("img-%d", n%warmImageCount),
		ImageGB:   0.1,
		EstimateS: runS,
	}
}

const (
	pollInterval  = 5 * time.Second // between status requests for a job
	retryDelay    = time.Second     // between attempts to submit a job
	submitTimeout = time.Minute     // after which a user abandons a submission
)

// simulateUser submits a job, with retries, and polls the status of the job until the job ends.
func (r *region) simulateUser(ctx context.Context, spec *wire.JobSpec) {
	startedAt := time.Now()
	r.submittedAt.Store(spec.ID, startedAt)
	defer r.submittedAt.Delete(spec.ID)
	r.environment.Checker.RegisterJob(spec)
	body, err := wire.Marshal(spec)
	if err != nil {
		return
	}
	for {
		//nolint:contextcheck // users don't cancel a request; they wait for the response or a timeout
		code, _ := r.environment.Request("submit", spec.ID, body)
		if code == http.StatusOK || code == http.StatusCreated {
			break
		}
		if ctx.Err() != nil || time.Since(startedAt) > submitTimeout {
			r.abandoned.Add(1)
			return
		}
		sleep(ctx, retryDelay)
	}
	if r.measuring.Load() {
		r.submitLatency.add(time.Since(startedAt))
	}
	r.accepted.Add(1)
	for ctx.Err() == nil {
		sleep(ctx, pollInterval)
		code, status := r.environment.Request("poll", spec.ID, nil) //nolint:contextcheck // as for the submission
		if code == http.StatusOK && (status.State == wire.JobDone || status.State == wire.JobCancelled) {
			return
		}
	}
}

// sleep waits for a duration or until the context ends.
func sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}
