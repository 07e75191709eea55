package emulator

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"fieldhill/internal/config"
	"fieldhill/internal/platform/host"
	"fieldhill/internal/platform/msgpackhttp"
	"fieldhill/wire"
)

// defaultFetchDuration is how long a machine takes to fetch an image, unless a test says otherwise.
const defaultFetchDuration = 1500 * time.Millisecond

// Environment is a whole deployment: controllers, and emulators of everything around them. What controllers, users,
// tasks and the network do is in the embedded types, each with its own state; their exported methods are the
// environment's.
type Environment struct {
	Network *Network // nil on any network but the one in memory
	Store   *KVStore
	Cloud   *Cloud
	Checker *InvariantChecker
	Params  config.Params

	*controllerGroup
	*userGroup
	*heartbeatCopier
	*taskBehavior
	gangs *gangTable

	ctx               context.Context // ends with the environment
	networkOf         networkFunc
	addresses         Addresses
	random            *randomSource
	leaseDuration     time.Duration
	heartbeatInterval time.Duration

	mu                sync.Mutex
	lateCommandChance float64       // that a direct command is executed only after its sender's timeout
	maxCommandDelay   time.Duration // by how much at most
}

// networkFunc returns the network as a host of some name sees it.
type networkFunc func(name string) host.Net

// Addresses are the addresses at which everything listens.
type Addresses struct {
	Store, Cloud string
	Users, Peers func(controller int) string
	Worker       func(machine int) string
}

var inMemoryAddresses = Addresses{
	Store: "10.2.0.1:1", Cloud: "10.2.0.2:1",
	Users:  func(i int) string { return fmt.Sprintf("10.0.0.%d:80", i+1) },
	Peers:  func(i int) string { return fmt.Sprintf("10.0.0.%d:81", i+1) },
	Worker: func(i int) string { return fmt.Sprintf("10.1.0.%d:90", i) },
}

// DefaultParams are the settings of the deployment that tests run on.
func DefaultParams() config.Params {
	return config.Params{
		InitialSize: 3,
		Zones:       []string{"a", "b"},
		TimeBoundMS: 500,
		Teams: []config.Team{
			{Name: "red", CPUs: 16, CPUsMax: 24},
			{Name: "blue", CPUs: 8, CPUsMax: 20},
			{Name: "guest"},
		},
		Objectives: []config.Objective{{Kind: "wait", Class: "web", WithinS: 2, Share: 0.9}},
		Workers:    config.Workers{HeartbeatS: 3, LeaseS: 24, GangWaitS: 40, GangPeerS: 5, CancelS: 49},
		KVStore:    config.KVStore{RPS: 100, WriteRPS: 20, ValueKB: 8, TxnOps: 12},
		Cloud:      config.Cloud{RPS: 8, ListLagS: 3},
		Limits:     config.Limits{CPUShare: 0.5, MemoryMB: 179, MaxSockets: 2500},
	}
}

// Deployment says what a deployment consists of.
type Deployment struct {
	Params config.Params
	Types  []wire.MachineType
	// MaxMachines is how many machines of a type and kind each zone has; nil: SetCapacity's number of each.
	MaxMachines func(typ string, spot bool) int
	// PageSize is how many machines a page of the cloud's list has.
	PageSize int
	// OnTaskStart, if not nil, is called whenever a worker begins a task.
	OnTaskStart func(s *wire.JobSpec)
}

// SmallDeployment is the deployment that tests run on.
func SmallDeployment() Deployment {
	// small pages, to have them tested
	return Deployment{Params: DefaultParams(), Types: smallDeploymentTypes, PageSize: 2}
}

// New makes an environment in memory with so many controllers, which are not started yet.
func New(ctx context.Context, controllers int, seed uint64, run ControllerFunc) *Environment {
	network := NewNetwork()
	networkOf := func(name string) host.Net { return network.Host(name) }
	w, err := NewOnNetwork(ctx, networkOf, inMemoryAddresses, controllers, seed, run)
	if err != nil {
		panic(err)
	}
	w.Network = network
	return w
}

// NewOnNetwork makes an environment of the small deployment on another network, on which nothing can be partitioned or
// frozen.
func NewOnNetwork(
	ctx context.Context,
	networkOf func(name string) host.Net,
	addresses Addresses,
	controllers int,
	seed uint64,
	run ControllerFunc,
) (*Environment, error) {
	return NewDeployment(ctx, networkOf, addresses, controllers, seed, run, SmallDeployment())
}

// NewDeployment makes an environment of any deployment on any network, and starts everything but the controllers. It
// ends with the context.
func NewDeployment(
	ctx context.Context,
	networkOf func(name string) host.Net,
	addresses Addresses,
	controllers int,
	seed uint64,
	run ControllerFunc,
	deployment Deployment,
) (*Environment, error) {
	params := deployment.Params
	w := &Environment{
		Store:             NewKVStore(seed),
		Checker:           NewInvariantChecker(teamLimits(params.Teams), config.Seconds(params.Workers.CancelS)),
		Params:            params,
		taskBehavior:      newTaskBehavior(deployment.OnTaskStart),
		gangs:             newGangTable(config.Seconds(params.Workers.GangWaitS)),
		ctx:               ctx,
		networkOf:         networkOf,
		addresses:         addresses,
		random:            &randomSource{rng: rand.New(rand.NewPCG(seed, 2))},
		leaseDuration:     config.Seconds(params.Workers.LeaseS),
		heartbeatInterval: config.Seconds(params.Workers.HeartbeatS),
	}
	w.Cloud = newCloud(w, deployment)
	w.controllerGroup = newControllerGroup(ctx, run, networkOf, addresses, controllers, &w.Params)
	w.userGroup = &userGroup{
		networkOf:   networkOf,
		controllers: w.controllerGroup,
		checker:     w.Checker,
		random:      w.random,
	}
	w.heartbeatCopier = &heartbeatCopier{
		ctx:         ctx,
		networkOf:   networkOf,
		controllers: w.controllerGroup,
		random:      w.random,
	}
	if err := w.Store.Serve(ctx, networkOf("state"), addresses.Store); err != nil {
		return nil, err
	}
	if err := w.Cloud.serve(ctx); err != nil {
		return nil, err
	}
	go w.checkLoop(ctx)
	return w, nil
}

// checkLoop checks every checkInterval what can only be seen over time.
func (w *Environment) checkLoop(ctx context.Context) {
	for ctx.Err() == nil {
		time.Sleep(checkInterval)
		w.Checker.Check()
		w.checkUnusedCapacity()
	}
}

func teamLimits(teams []config.Team) map[string][2]float64 {
	limits := map[string][2]float64{}
	for _, t := range teams {
		limits[t.Name] = [2]float64{t.CPUsMax, t.GPUsMax}
	}
	return limits
}

// SetTeams gives the deployment other teams, before its controllers start.
func (w *Environment) SetTeams(teams []config.Team) {
	w.Params.Teams = teams
	w.Checker.setLimits(teamLimits(teams))
}

// Context ends with the environment.
func (w *Environment) Context() context.Context { return w.ctx }

// ClientFor is a client for tests that call an emulator themselves, from a host of that name.
func (w *Environment) ClientFor(name string) *msgpackhttp.Client {
	return msgpackhttp.New(w.networkOf(name), 1, 4, time.Second)
}

// randomSource is the source of everything that the environment leaves to chance, but for what the key-value store and
// each worker draw for themselves: one seed gives one sequence.
type randomSource struct {
	mu  sync.Mutex
	rng *rand.Rand
}

func (r *randomSource) float64() float64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.rng.Float64()
}

func (r *randomSource) intN(n int) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.rng.IntN(n)
}

// chance draws with a probability.
func (r *randomSource) chance(probability float64) bool { return r.float64() < probability }

// chanceIfSet is chance, but draws nothing for a probability of 0.
func (r *randomSource) chanceIfSet(probability float64) bool {
	return probability > 0 && r.chance(probability)
}

// delay draws a duration up to a bound.
func (r *randomSource) delay(bound time.Duration) time.Duration {
	return time.Duration(r.float64() * float64(bound))
}
