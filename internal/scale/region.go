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
	machineCPUs = 8.0
	machineGB   = 64.0
	baseCPUs    = 4.1 // of a task that keeps a machine rented: two do not fit
	cpuType     = "cpu"
	gpuType     = "gpu"
	baseTeam    = "base"
	baseClass   = "base"
	gangClass   = "gang"
	churnClass  = "churn"
	urgentClass = "urgent"
	shortClass  = "short"
	// longS is how long a task runs that outlives the run.
	longS = 100_000
	// usedShare is how much of what the base leaves of the machines the asked-for load takes.
	usedShare = 0.85
	// runsTimes is by how much the stand-in's tasks run longer than their owners say, on average.
	runsTimes  = 1.2
	warmImages = 20
	startAgain = 3 * time.Second
)

// latency is a histogram in milliseconds, up to an hour.
type latency struct {
	mu sync.Mutex
	h  *hdrhistogram.Histogram
}

func newLatency() *latency { return &latency{h: hdrhistogram.New(1, 3_600_000, 3)} }

func (l *latency) add(d time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	_ = l.h.RecordValue(max(1, d.Milliseconds())) // a longer one than an hour is not possible within a run
}

// region is a region that runs: its controllers, stand-ins and hollow workers.
type region struct {
	p                 *Profile
	index             int
	netByte           int
	net               *network
	world             *emulator.World
	keeper            *supervisor.Keeper
	rng               *rand.Rand
	rngMu             sync.Mutex
	next              atomic.Int64 // job numbers
	measured          atomic.Bool
	known             sync.Map // job id: when its user began to submit it
	starts            map[string]*latency
	submits           *latency
	accepted, refused atomic.Int64
}

// startRegion starts a region's controllers and stand-ins; nothing is submitted yet.
func startRegion(ctx context.Context, p *Profile, index, netByte int, program, dir string) (*region, error) {
	nw, err := newNetwork(ctx, netByte)
	if err != nil {
		return nil, err
	}
	dir = filepath.Join(dir, fmt.Sprintf("region-%d", index))
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return nil, err
	}
	r := &region{p: p, index: index, netByte: netByte, net: nw, rng: rand.New(rand.NewPCG(p.Seed, uint64(index))),
		keeper: &supervisor.Keeper{Program: program, Dir: dir, StartAgain: startAgain},
		starts: map[string]*latency{}, submits: newLatency()}
	for _, class := range []string{baseClass, gangClass, churnClass, urgentClass, shortClass} {
		r.starts[class] = newLatency()
	}
	failed, fail := context.WithCancelCause(ctx)
	start := func(_ context.Context, _ host.Net, s *config.Settings) error {
		if err := r.keeper.Keep(ctx, s, "--metrics", metricsOf(netByte, r.nodeIndex(s.Node))); err != nil {
			fail(err)
		}
		return nil
	}
	r.world, err = emulator.NewSite(ctx, nw.via, places(netByte), p.ControllersIn, p.Seed+uint64(index), start, r.site())
	if err != nil {
		return nil, err
	}
	r.world.State.Limit(p.Limits.StateRPS, p.Limits.WriteRPS)
	r.world.State.SetSlow(time.Duration(p.Limits.StateMs * float64(time.Millisecond)))
	for i := range p.ControllersIn {
		r.world.Start(i)
	}
	return r, context.Cause(failed)
}

func (r *region) nodeIndex(name string) int {
	for i := range r.p.ControllersIn {
		if emulator.NodeName(i) == name {
			return i
		}
	}
	return 0
}

func (r *region) cpuMachines() int { return r.p.share(r.p.Workers-r.p.gpuMachines(), r.index) }
func (r *region) gpuMachines() int { return r.p.share(r.p.gpuMachines(), r.index) }

// site is the deployment: as many machines of each type as the profile has, spread over the zones, and teams of equal shares.
func (r *region) site() emulator.Site {
	p := r.p
	params := emulator.Params()
	params.Zones = nil
	for z := range p.ZonesEach {
		params.Zones = append(params.Zones, fmt.Sprintf("zone-%d-%d", r.index, z))
	}
	cpus := machineCPUs * float64(r.cpuMachines()+r.gpuMachines())
	params.Teams = []config.Team{{Name: baseTeam}}
	for t := range p.Teams {
		params.Teams = append(params.Teams, config.Team{Name: team(t), CPUs: cpus / float64(4*p.Teams), CPUsMax: max(8, 2*cpus/float64(p.Teams))})
	}
	params.Objectives = []config.Objective{{Kind: "wait", Class: urgentClass, WithinS: 6.8, Share: 0.99}}
	w, l := &params.Workers, p.Limits
	w.ReportS, w.LeaseS, w.CancelS = l.ReportS, l.LeaseS, l.CancelS
	params.State = config.State{RPS: l.StateRPS, WriteRPS: l.WriteRPS, ValueKB: l.ValueKB, TxnOps: l.TxnOps}
	params.Cloud.RPS = l.CloudRPS
	params.Limits = config.Limits{CPUShare: 1, MemoryMB: 1024, MaxSockets: l.MaxSockets}
	machine := func(name string, gpus float64) wire.MachineType {
		return wire.MachineType{Name: name, CPUs: machineCPUs, GPUs: gpus, MemoryGB: machineGB, CacheGB: 1000, FetchGBPerS: 1, Price: 1 + gpus, SpotPrice: 1 + gpus, BootS: 2, Zones: params.Zones}
	}
	perZone := func(n int) int { return (n + p.ZonesEach - 1) / p.ZonesEach }
	most := map[string]int{cpuType: perZone(r.cpuMachines()), gpuType: perZone(r.gpuMachines())}
	return emulator.Site{Params: params, Types: []wire.MachineType{machine(cpuType, 0), machine(gpuType, gpuEach)}, Page: 500,
		Most: func(typ string, spot bool) int {
			if spot {
				return 0
			}
			return most[typ]
		}, OnBegin: r.began}
}

func team(i int) string { return fmt.Sprintf("team-%02d", i) }

// began notes that a worker begins a task, when that is measured.
func (r *region) began(s *wire.JobSpec) {
	if at, ok := r.known.Load(s.ID); ok && r.measured.Load() {
		r.starts[s.Class].add(time.Since(at.(time.Time)))
	}
}

func (r *region) draw() float64 {
	r.rngMu.Lock()
	defer r.rngMu.Unlock()
	return r.rng.Float64()
}

func (r *region) job(class, priority, team string, tasks int, cpus, runS float64) *wire.JobSpec {
	n := r.next.Add(1)
	return &wire.JobSpec{ID: wire.JobID(uint64(n)), Class: class, Team: team, Shape: wire.Array, Priority: priority, Tasks: tasks, CPUs: cpus, MemoryGB: 0.1,
		Image: fmt.Sprintf("img-%d", n%warmImages), ImageGB: 0.1, EstimateS: runS}
}

const (
	// userInterval is how long users wait between two questions about a job, and between two tries to submit it.
	userInterval = 5 * time.Second
	retryAfter   = time.Second
	tryFor       = time.Minute
)

// user submits a job, insisting as users do, and asks about it until it is over.
func (r *region) user(ctx context.Context, s *wire.JobSpec, over func()) {
	began := time.Now()
	r.known.Store(s.ID, began)
	defer r.known.Delete(s.ID)
	r.world.Referee.Know(s)
	body, err := wire.Marshal(s)
	if err != nil {
		return
	}
	for {
		code, _ := r.world.Call("submit", s.ID, body)
		if code == 200 || code == 201 {
			break
		}
		if ctx.Err() != nil || time.Since(began) > tryFor {
			r.refused.Add(1)
			return
		}
		wait(ctx, retryAfter)
	}
	if r.measured.Load() {
		r.submits.add(time.Since(began))
	}
	r.accepted.Add(1)
	for ctx.Err() == nil {
		wait(ctx, userInterval)
		if code, st := r.world.Call("poll", s.ID, nil); code == 200 && (st.State == wire.JobDone || st.State == wire.JobCancelled) {
			if over != nil {
				over()
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
