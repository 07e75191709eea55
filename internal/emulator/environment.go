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

// defaultFetchDuration is the default time that a machine takes to fetch an image.
const defaultFetchDuration = 1500 * time.Millisecond

// Environment is a whole deployment: controllers, and emulators of the services, machines and users that they interact
// with. The embedded types implement the behavior of controllers, users, message copies and tasks, each with its own
// state; their exported methods are part of the environment's API.
type Environment struct {
	Network *Network // nil unless the in-memory network is used
	Store   *KVStore
	Cloud   *Cloud
	Checker *InvariantChecker
	Params  config.Params

	*controllerGroup
	*userGroup
	*heartbeatCopier
	*commandCopier
	*requestCopier
	*taskBehavior
	gangs *gangRegistry

	ctx               context.Context // when this context is done, the environment stops
	networkOf         networkFunc
	addresses         Addresses
	random            *randomSource
	leaseDuration     time.Duration
	heartbeatInterval time.Duration

	mu                     sync.Mutex
	delayedCommandChance   float64       // probability that a direct command is executed late and not answered
	maxCommandDelay        time.Duration // maximum delay of a command that is executed late
	commandsOutliveReboots bool          // commands that are executed late arrive also if their machine was rebooted
	lateCommands           int           // number of commands that arrived after the reboot of their machine
}

// networkFunc returns the network interface of the named host.
type networkFunc func(name string) host.Net

// Addresses holds the listen addresses of a deployment.
type Addresses struct {
	Store, Cloud string
	Users, Peers func(controller int) string // Users: serves users and agents; Peers: serves other controllers
	Worker       func(machine int) string    // of the agent of a machine
}

var inMemoryAddresses = Addresses{
	Store: "10.2.0.1:1", Cloud: "10.2.0.2:1",
	Users:  func(i int) string { return fmt.Sprintf("10.0.0.%d:80", i+1) },
	Peers:  func(i int) string { return fmt.Sprintf("10.0.0.%d:81", i+1) },
	Worker: func(i int) string { return fmt.Sprintf("10.1.0.%d:90", i) },
}

// DefaultParams returns the parameters of SmallDeployment.
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

// Deployment describes the parameters, the machine types and the capacity of an Environment.
type Deployment struct {
	Params config.Params
	Types  []wire.MachineType // machine types that the cloud offers
	// MaxMachines returns the maximum number of machines of a type, either spot or on-demand, in each zone. If it is
	// nil, the maximum is the one set by Cloud.SetCapacity.
	MaxMachines func(typ string, spot bool) int
	// PageSize is the number of machines on a page of the cloud's machine list.
	PageSize int
	// OnTaskStart, if not nil, is called whenever a worker starts a task.
	OnTaskStart func(s *wire.JobSpec)
}

// SmallDeployment returns the deployment that New and NewOnNetwork use: two zones, three teams and two machine types.
func SmallDeployment() Deployment {
	// The pages are small, so that tests exercise paging.
	return Deployment{Params: DefaultParams(), Types: smallDeploymentTypes, PageSize: 2}
}

// New creates an environment of the small deployment on an in-memory network, and starts everything except the
// controllers.
func New(ctx context.Context, controllers int, seed uint64, run ControllerFunc) *Environment {
	network := NewNetwork()
	networkOf := func(name string) host.Net { return network.Host(name) }
	e, err := NewOnNetwork(ctx, networkOf, inMemoryAddresses, controllers, seed, run)
	if err != nil {
		panic(err)
	}
	e.Network = network
	return e
}

// NewOnNetwork creates an environment of the small deployment on any network, and starts everything except the
// controllers. Partitions and freezes are available only on the in-memory network.
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

// NewDeployment creates an environment of any deployment on any network, and starts everything except the controllers.
// The environment stops when the context ends.
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
	e := &Environment{
		Store:             NewKVStore(seed),
		Checker:           NewInvariantChecker(teamLimits(params.Teams), config.Seconds(params.Workers.CancelS)),
		Params:            params,
		taskBehavior:      newTaskBehavior(deployment.OnTaskStart),
		gangs:             newGangRegistry(config.Seconds(params.Workers.GangWaitS)),
		ctx:               ctx,
		networkOf:         networkOf,
		addresses:         addresses,
		random:            &randomSource{rng: rand.New(rand.NewPCG(seed, 2))},
		requestCopier:     newRequestCopier(ctx, seed, 4),
		leaseDuration:     config.Seconds(params.Workers.LeaseS),
		heartbeatInterval: config.Seconds(params.Workers.HeartbeatS),
	}
	e.Cloud = newCloud(e, deployment)
	e.controllerGroup = newControllerGroup(ctx, run, networkOf, addresses, controllers, &e.Params)
	e.userGroup = &userGroup{
		networkOf:   networkOf,
		controllers: e.controllerGroup,
		checker:     e.Checker,
		random:      e.random,
		copier:      e.requestCopier,
	}
	e.heartbeatCopier = &heartbeatCopier{
		ctx:         ctx,
		networkOf:   networkOf,
		controllers: e.controllerGroup,
		random:      e.random,
	}
	e.commandCopier = newCommandCopier(ctx, seed)
	e.Store.copier = e.requestCopier
	if err := e.Store.Serve(ctx, networkOf("state"), addresses.Store); err != nil {
		return nil, err
	}
	if err := e.Cloud.serve(ctx); err != nil {
		return nil, err
	}
	go e.checkLoop(ctx)
	return e, nil
}

// checkLoop runs the invariant checks that depend on time every checkInterval.
func (e *Environment) checkLoop(ctx context.Context) {
	for ctx.Err() == nil {
		time.Sleep(checkInterval)
		e.Checker.Check()
		e.checkUnusedCapacity()
	}
}

func teamLimits(teams []config.Team) map[string][2]float64 {
	limits := map[string][2]float64{}
	for _, t := range teams {
		limits[t.Name] = [2]float64{t.CPUsMax, t.GPUsMax}
	}
	return limits
}

// SetTeams replaces the teams of the deployment. It must be called before the controllers start.
func (e *Environment) SetTeams(teams []config.Team) {
	e.Params.Teams = teams
	e.Checker.setLimits(teamLimits(teams))
}

// Context returns the context with which the environment was created.
func (e *Environment) Context() context.Context { return e.ctx }

// ClientFor returns a client on the named host, for tests that send requests to an emulator directly.
func (e *Environment) ClientFor(name string) *msgpackhttp.Client {
	return msgpackhttp.New(e.networkOf(name), 1, 4, time.Second)
}

// randomSource is the seeded random source of the environment. The key-value store and each worker have their own.
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

// chance returns true with the given probability.
func (r *randomSource) chance(probability float64) bool { return r.float64() < probability }

// chanceIfSet is like chance, but consumes no random number if the probability is 0.
func (r *randomSource) chanceIfSet(probability float64) bool {
	return probability > 0 && r.chance(probability)
}

// delayUpTo returns a random duration below maxDelay.
func (r *randomSource) delayUpTo(maxDelay time.Duration) time.Duration {
	return time.Duration(r.float64() * float64(maxDelay))
}
