package emulator

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"sort"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"fieldhill/internal/config"
	"fieldhill/internal/platform/host"
	"fieldhill/internal/platform/msgpackhttp"
	"fieldhill/wire"
)

// ControllerFunc runs a node until its context ends; tests pass the real one.
type ControllerFunc func(ctx context.Context, h host.Net, s *config.Settings) error

// Environment is a deployment.
type Environment struct {
	Network *Network
	Store   *KVStore
	Cloud   *Cloud
	Checker *InvariantChecker
	Params  config.Params

	ctx                                           context.Context
	runController                                 ControllerFunc
	networkOf                                     func(name string) host.Net
	addresses                                     Addresses
	controllers                                   []*controllerProcess
	leaseDuration, heartbeatInterval, gangTimeout time.Duration
	fetchDuration                                 time.Duration
	rng                                           *rand.Rand
	mu                                            sync.Mutex
	gangMembers                                   map[string]map[string]bool // job and attempt: members that gathered
	// chance that a direct command is executed only after its sender gave up
	lateCommandChance float64
	maxCommandDelay   time.Duration
	duplicateChance   float64 // chance that a report comes again
	maxDuplicateDelay time.Duration
	// chance that a copy of a report is kept for the next leader
	retainChance       float64
	retainedHeartbeats []*wire.Heartbeat // those that are
	// chance that a job is cancelled at the moment of its end
	cancelAtEndChance float64
	cancelledAtEnd    int // how often that was so
	finishedGangs     map[uint64]bool
	failingJobs       map[string]bool // jobs that fail on every machine
	// tasks run so many times as long as their owners say; 0: 1
	runtimeFactor float64
	onTaskStart   func(s *wire.JobSpec)
}

type controllerProcess struct {
	name, zone, userAddr, peerAddr string
	host                           host.Net
	stop                           context.CancelFunc
	done                           chan struct{}
	killed                         *atomic.Bool // that process was ended between two statements
}

// ControllerName is the name of a node.
func ControllerName(i int) string { return fmt.Sprintf("n%d", i) }

// DefaultParams are settings for tests.
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

// Addresses are the addresses at which everything listens.
type Addresses struct {
	Store, Cloud string
	Users, Peers func(node int) string
	Worker       func(machine int) string
}

var inMemoryAddresses = Addresses{
	Store: "10.2.0.1:1", Cloud: "10.2.0.2:1",
	Users:  func(i int) string { return fmt.Sprintf("10.0.0.%d:80", i+1) },
	Peers:  func(i int) string { return fmt.Sprintf("10.0.0.%d:81", i+1) },
	Worker: func(i int) string { return fmt.Sprintf("10.1.0.%d:90", i) },
}

// New makes a world in memory with so many nodes, which are not started yet.
func New(ctx context.Context, controllers int, seed uint64, run ControllerFunc) *Environment {
	network := NewNetwork()
	w, err := NewOnNetwork(
		ctx,
		func(name string) host.Net { return network.Host(name) },
		inMemoryAddresses,
		controllers,
		seed,
		run,
	)
	if err != nil {
		panic(err)
	}
	w.Network = network
	return w
}

// Deployment is what a deployment consists of.
type Deployment struct {
	Params config.Params
	Types  []wire.MachineType
	// MaxMachines is how many machines of a type and kind each zone has, and Page how many machines a page of the
	// cloud's list has.
	MaxMachines func(typ string, spot bool) int
	PageSize    int
	// OnTaskStart, if not nil, is told whenever a worker begins a task.
	OnTaskStart func(s *wire.JobSpec)
}

// SmallDeployment is the deployment that tests run on.
func SmallDeployment() Deployment {
	// small pages, to have them tested
	return Deployment{Params: DefaultParams(), Types: smallDeploymentTypes, PageSize: 2}
}

// NewOnNetwork makes a world on some other network, on which nothing can be cut or frozen.
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

// NewDeployment makes a world of a deployment on some network.
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
		Store: NewKVStore(
			seed,
		),
		Params:        params,
		ctx:           ctx,
		runController: run,
		networkOf:     networkOf,
		addresses:     addresses,
		leaseDuration: config.Seconds(
			params.Workers.LeaseS,
		),
		heartbeatInterval: config.Seconds(params.Workers.HeartbeatS),
		gangTimeout:       config.Seconds(params.Workers.GangWaitS),
		fetchDuration:     1500 * time.Millisecond,
		rng:               rand.New(rand.NewPCG(seed, 2)),
		gangMembers:       map[string]map[string]bool{},
		finishedGangs:     map[uint64]bool{},
		failingJobs:       map[string]bool{},
	}
	w.Checker = NewInvariantChecker(teamLimits(params.Teams), config.Seconds(params.Workers.CancelS))
	w.onTaskStart = deployment.OnTaskStart
	w.Cloud = &Cloud{
		environment:       w,
		machineTypes:      deployment.Types,
		pageSize:          deployment.PageSize,
		maxMachinesOf:     deployment.MaxMachines,
		maxMachines:       defaultMaxMachines,
		Machines:          map[string]*Worker{},
		machinesByRequest: map[string][]string{},
		bootedAt:          map[string]time.Time{},
	}
	for i := range controllers {
		w.controllers = append(
			w.controllers,
			&controllerProcess{
				name:     ControllerName(i),
				zone:     params.Zones[i%len(params.Zones)],
				userAddr: addresses.Users(i),
				peerAddr: addresses.Peers(i),
			},
		)
	}
	if err := w.Store.Serve(ctx, networkOf("state"), addresses.Store); err != nil {
		return nil, err
	}
	if err := w.Cloud.serve(ctx); err != nil {
		return nil, err
	}
	go func() {
		for ctx.Err() == nil {
			time.Sleep(checkInterval)
			w.Checker.Check()
			w.checkUnusedCapacity()
		}
	}()
	return w, nil
}

func teamLimits(teams []config.Team) map[string][2]float64 {
	limits := map[string][2]float64{}
	for _, t := range teams {
		limits[t.Name] = [2]float64{t.CPUsMax, t.GPUsMax}
	}
	return limits
}

// SetTeams gives the deployment other teams, before its nodes start.
func (w *Environment) SetTeams(teams []config.Team) {
	w.Params.Teams = teams
	w.Checker.mu.Lock()
	defer w.Checker.mu.Unlock()
	w.Checker.limits = teamLimits(teams)
}

// Context ends with the world.
func (w *Environment) Context() context.Context { return w.ctx }

// Start starts a node.
func (w *Environment) Start(i int) {
	process := w.controllers[i]
	settings := &config.Settings{
		Node:       process.name,
		Zone:       process.zone,
		Bind:       process.userAddr,
		PeerListen: process.peerAddr,
		Params:     w.Params,
		Endpoints:  config.Endpoints{Cloud: w.addresses.Cloud, KVStore: w.addresses.Store},
	}
	for _, other := range w.controllers {
		if other != process {
			settings.Members = append(
				settings.Members,
				config.Member{Node: other.name, Zone: other.zone, Addr: other.peerAddr},
			)
		}
	}
	ctx, stop := context.WithCancel(w.ctx)
	done := make(chan struct{})
	h := w.networkOf(process.name)
	killed := &atomic.Bool{}
	process.host, process.stop, process.done, process.killed = h, stop, done, killed
	go func() {
		defer close(done)
		if err := w.runController(ctx, h, settings); err != nil && ctx.Err() == nil && !killed.Load() {
			panic(err)
		}
	}()
}

// Crash ends a node at once.
func (w *Environment) Crash(i int) {
	w.controllers[i].stop()
	<-w.controllers[i].done
}

// Kill ends a node between two statements, as a process is ended that gets no signal: nothing that it would do in
// order reaches anybody, its leases and what it sent live on, and a new process may be started at once.
func (w *Environment) Kill(i int) {
	w.controllers[i].killed.Store(true) // its listeners end before it does
	if h, ok := w.controllers[i].host.(*Host); ok {
		h.Terminate()
	}
	w.controllers[i].stop()
}

// Restart kills a node, whose next process begins after a while.
func (w *Environment) Restart(i int, after time.Duration) {
	w.Kill(i)
	time.Sleep(after)
	w.Start(i)
}

// SetFaults sets the chance of each kind of lost answer and late execution, and
// by how much things may be late.
func (w *Environment) SetFaults(chance float64, maxDelay time.Duration) {
	w.mu.Lock()
	w.lateCommandChance, w.maxCommandDelay = chance, maxDelay
	w.mu.Unlock()
	w.Store.mu.Lock()
	w.Store.dropResponseChance, w.Store.dropRequestChance, w.Store.minTxnDelay, w.Store.maxExtraTxnDelay = chance/2, chance/2, 0, maxDelay/2
	w.Store.mu.Unlock()
	w.Cloud.mu.Lock()
	w.Cloud.dropResponseChance = 2 * chance
	w.Cloud.mu.Unlock()
}

// DuplicateHeartbeats sets the chance that a copy of a report comes to the node that it was sent to, and by how much
// it may be late.
func (w *Environment) DuplicateHeartbeats(chance float64, maxDelay time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.duplicateChance, w.maxDuplicateDelay = chance, maxDelay
}

// maybeDuplicate sends a report once more, perhaps. Nobody is there for the answer.
func (w *Environment) maybeDuplicate(controllerAddr string, heartbeat *wire.Heartbeat) {
	w.mu.Lock()
	duplicate, delay := false, time.Duration(0)
	if w.retainChance > 0 && w.rng.Float64() < w.retainChance {
		w.retainedHeartbeats = append(
			w.retainedHeartbeats[max(0, len(w.retainedHeartbeats)-maxRetainedHeartbeats):],
			heartbeat,
		)
	}
	if w.duplicateChance > 0 {
		duplicate, delay = w.rng.Float64() < w.duplicateChance, time.Duration(
			w.rng.Float64()*float64(w.maxDuplicateDelay),
		)
	}
	w.mu.Unlock()
	if duplicate {
		go func() {
			select {
			case <-w.ctx.Done():
			case <-time.After(delay):
				w.SendDuplicate(controllerAddr, heartbeat)
			}
		}()
	}
}

// SendDuplicate sends a report as the network might that kept a copy of it.
func (w *Environment) SendDuplicate(controllerAddr string, heartbeat *wire.Heartbeat) {
	c := msgpackhttp.New(w.networkOf("copies"), 1, 1, time.Second)
	defer c.Close()
	ctx, cancel := context.WithTimeout(w.ctx, 4*time.Second)
	defer cancel()
	_ = c.Do(ctx, "POST", controllerAddr, wire.PathHeartbeat, heartbeat, &wire.HeartbeatResponse{}, wire.MaxBody)
}

// maxRetainedHeartbeats bounds the copies of reports that are kept for the next leader.
const maxRetainedHeartbeats = 500

// RetainHeartbeats sets the chance that a copy of a report is kept for the next leader.
func (w *Environment) RetainHeartbeats(share float64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.retainChance = share
}

// ReplayRetained sends copies that were kept to every node, all at once, and counts them: of each machine the oldest,
// one in the middle and the newest.
func (w *Environment) ReplayRetained() (sent int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	byMachine := map[string][]*wire.Heartbeat{}
	for _, r := range w.retainedHeartbeats {
		byMachine[r.Machine] = append(byMachine[r.Machine], r)
	}
	for _, list := range byMachine {
		for _, k := range []int{0, len(list) / 2, len(list) - 1} {
			for _, controller := range w.controllers {
				sent++
				go w.SendDuplicate(controller.userAddr, list[k])
			}
		}
	}
	return sent
}

// CancelAtEnd sets the chance that a user calls off a job at the moment at which its last task ends.
func (w *Environment) CancelAtEnd(share float64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.cancelAtEndChance = share
}

// CancelledAtEnd counts the jobs that were called off so.
func (w *Environment) CancelledAtEnd() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.cancelledAtEnd
}

// onTaskEnding is told of each task that ends as done, just before.
func (w *Environment) onTaskEnding(task string) {
	w.mu.Lock()
	chosen := w.cancelAtEndChance > 0 && w.rng.Float64() < w.cancelAtEndChance
	delay := time.Duration(w.rng.IntN(30)) * time.Millisecond
	w.mu.Unlock()
	if !chosen || !w.Checker.isLastTask(task) {
		return
	}
	w.mu.Lock()
	w.cancelledAtEnd++
	w.mu.Unlock()
	id, _, _ := strings.Cut(task, "/")
	go func() {
		time.Sleep(delay)
		w.Cancel(id)
	}()
}

// PollRepeatedly has users ask for a job at all nodes, so many times with a short pause between them, and repeat its
// submission.
func (w *Environment) PollRepeatedly(spec *wire.JobSpec, times int, pause time.Duration) {
	body, err := wire.Marshal(spec)
	if err != nil {
		panic(err)
	}
	for k := range times {
		for i := range w.controllers {
			go w.RequestAt(i, "poll", spec.ID, nil)
			if k%3 == 0 {
				go w.RequestAt(i, "submit", spec.ID, body)
			}
		}
		time.Sleep(pause)
	}
}

// SetZone has a node, which does not run, stand in a zone from its next start on.
func (w *Environment) SetZone(node int, zone string) { w.controllers[node].zone = zone }

// UserAddr is where a node takes requests.
func (w *Environment) UserAddr(node int) string { return w.controllers[node].userAddr }

// FailJob has every task of a job fail wherever it starts.
func (w *Environment) FailJob(id string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.failingJobs[id] = true
}

// SetFetchDuration sets how long a machine takes to fetch an image, from now on.
func (w *Environment) SetFetchDuration(d time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.fetchDuration = d
}

// imageFetchDuration is how long that is.
func (w *Environment) imageFetchDuration() time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.fetchDuration
}

// SetRuntimeFactor has tasks run so many times as long as their owners say.
func (w *Environment) SetRuntimeFactor(factor float64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.runtimeFactor = factor
}

// taskDuration is how long a task runs of which its owner expects so many seconds.
func (w *Environment) taskDuration(estimateS float64) time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.runtimeFactor > 0 {
		estimateS *= w.runtimeFactor
	}
	return time.Duration(estimateS * 1e9)
}

func (w *Environment) isFailing(id string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.failingJobs[id]
}

func (w *Environment) drawCommandDelay() (bool, time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.rng.Float64() < w.lateCommandChance, time.Duration(w.rng.Float64() * float64(w.maxCommandDelay))
}

// Freeze has a node's network stand still; the test stops what the node does itself.
func (w *Environment) Freeze(node int, d time.Duration) {
	w.Network.Freeze(w.controllers[node].name, d)
}

// PartitionControllers parts a node from another node, in both directions.
func (w *Environment) PartitionControllers(a, b int, partitioned bool) {
	w.Network.SetPartition(w.controllers[a].name, w.controllers[b].peerAddr, partitioned)
	w.Network.SetPartition(w.controllers[b].name, w.controllers[a].peerAddr, partitioned)
}

// PartitionStore parts a node from the state service.
func (w *Environment) PartitionStore(node int, partitioned bool) {
	w.Network.SetPartition(w.controllers[node].name, w.addresses.Store, partitioned)
}

// RefuseStore has the state service refuse a node alone, or ends that.
func (w *Environment) RefuseStore(node int, on bool) {
	w.Store.RefuseHost(w.controllers[node].name, on)
}

// PartitionFromStoreAndPeers parts a node from the state service and the other controllers, not from its workers.
func (w *Environment) PartitionFromStoreAndPeers(node int, partitioned bool) {
	w.PartitionStore(node, partitioned)
	for other := range w.controllers {
		if other != node {
			w.PartitionControllers(node, other, partitioned)
		}
	}
}

// PartitionCloud parts a node from the cloud.
func (w *Environment) PartitionCloud(node int, partitioned bool) {
	w.Network.SetPartition(w.controllers[node].name, w.addresses.Cloud, partitioned)
}

// PartitionWorkers parts the workers of a zone from a node.
func (w *Environment) PartitionWorkers(zone string, node int, partitioned bool) {
	for _, worker := range w.Cloud.Workers() {
		if worker.Zone == zone {
			w.Network.SetPartition(worker.Name, w.controllers[node].userAddr, partitioned)
			w.Network.SetPartition(w.controllers[node].name, worker.Addr, partitioned)
		}
	}
}

func (w *Environment) indexOf(name string, last int) int {
	for i, n := range w.controllers {
		if n.name == name && i != last%len(w.controllers) {
			return i
		}
	}
	return last + 1
}

func gangAttemptKey(task string, attempt uint64) string {
	n, _, _ := wire.ParseTaskID(task)
	return fmt.Sprint(n, "#", attempt)
}

func (w *Environment) joinGang(task string, attempt uint64, machine string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	k := gangAttemptKey(task, attempt)
	if w.gangMembers[k] == nil {
		w.gangMembers[k] = map[string]bool{}
	}
	w.gangMembers[k][task] = true
}

func (w *Environment) leaveGang(task string, attempt uint64, machine string, done bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if done {
		n, _, _ := wire.ParseTaskID(task)
		w.finishedGangs[n] = true
	}
	delete(w.gangMembers[gangAttemptKey(task, attempt)], task)
}

func (w *Environment) isGangComplete(task string, attempt uint64, members int) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return len(w.gangMembers[gangAttemptKey(task, attempt)]) == members
}

// isGangFinished tells whether a gang is done: its tasks complete together, and the result is kept for those whose
// end was not seen.
func (w *Environment) isGangFinished(task string) bool {
	n, _, _ := wire.ParseTaskID(task)
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.finishedGangs[n]
}

// Request sends a user's request to some node, as the load balancer would, and
// tells the referee of the answer. It returns the status, 0 for none.
func (w *Environment) Request(operation, id string, body []byte) (int, *wire.JobStatus) {
	w.mu.Lock()
	i := w.rng.IntN(len(w.controllers))
	w.mu.Unlock()
	return w.RequestAt(i, operation, id, body)
}

// RequestAt sends a user's request to a node.
func (w *Environment) RequestAt(i int, operation, id string, body []byte) (int, *wire.JobStatus) {
	code, _, _, s := w.sendRequest(context.Background(), i, operation, id, body)
	return code, s
}

// sendRequest sends a user's request to a node and tells the referee of the answer; the code is
// 0 without one.
func (w *Environment) sendRequest(
	ctx context.Context,
	i int,
	operation, id string,
	body []byte,
) (code int, header http.Header, responseBody []byte, status *wire.JobStatus) {
	transport := &http.Transport{DialContext: dialFunc(w.networkOf("user")), DisableKeepAlives: true}
	c := http.Client{Transport: transport, Timeout: 5 * time.Second}
	defer transport.CloseIdleConnections()
	method, path := "POST", wire.PathJobs
	switch operation {
	case "poll":
		method, path = "GET", wire.PathJobs+"/"+id
	case "cancel":
		w.Checker.RecordCancelRequest(id)
		path = wire.PathJobs + "/" + id + wire.CancelSuffix
	}
	req, err := http.NewRequestWithContext(ctx, method, "http://"+w.controllers[i].userAddr+path, bodyReader(body))
	if err != nil {
		return 0, nil, nil, nil
	}
	before := w.Checker.ClientViewOf(id)
	defer func() {
		if operation == "poll" && code != http.StatusOK {
			w.Checker.RecordUnanswered(id)
		}
	}()
	resp, err := c.Do(req)
	if err != nil {
		return 0, nil, nil, nil
	}
	defer resp.Body.Close()
	if responseBody, err = io.ReadAll(resp.Body); err != nil {
		return 0, nil, nil, nil
	}
	status = &wire.JobStatus{}
	if resp.StatusCode < 300 {
		if err := wire.Unmarshal(responseBody, status); err != nil {
			return 0, nil, nil, nil
		}
	}
	w.Checker.RecordResponse(id, operation, before, resp.StatusCode, status)
	return resp.StatusCode, resp.Header, responseBody, status
}

// Submit submits a job until it is accepted or refused for good, for up to a minute.
func (w *Environment) Submit(spec *wire.JobSpec) int {
	w.Checker.RegisterJob(spec)
	body, err := wire.Marshal(spec)
	if err != nil {
		panic(err)
	}
	return w.retryUntilDecided("submit", spec.ID, body)
}

// Cancel cancels a job, insisting like Submit.
func (w *Environment) Cancel(id string) int { return w.retryUntilDecided("cancel", id, nil) }

func (w *Environment) retryUntilDecided(operation, id string, body []byte) int {
	code := 0
	for range 60 {
		if code, _ = w.Request(
			operation,
			id,
			body,
		); code == 200 || code == 201 || code == 400 || code == 422 ||
			code == 404 {
			return code
		}
		time.Sleep(time.Second)
	}
	return code
}

// Cloud plays the cloud.
type Cloud struct {
	environment        *Environment
	mu                 sync.Mutex
	Machines           map[string]*Worker
	machinesByRequest  map[string][]string
	bootedAt           map[string]time.Time
	listing            []wire.ListedMachine
	launched           int
	outage             bool
	dropResponseChance float64 // chance that a request is carried out and not answered
	bootSlowdown       float64 // boots take so many times as long; 0: as usual
	neverBootsEvery    int     // one in so many never comes up; 0: none
	// by how much deletions are carried out late, their sender having given up
	deletionDelay time.Duration
	maxMachines   int                             // machines of each type, zone and kind
	maxMachinesOf func(typ string, spot bool) int // the same, where it differs
	machineTypes  []wire.MachineType
	pageSize      int // machines on a page of the list
}

// defaultMaxMachines is how many machines of each type, zone and kind there are, unless a test says otherwise.
const defaultMaxMachines = 4

// SetCapacity sets how many machines of each type, zone and kind the cloud has; it keeps what is rented.
func (c *Cloud) SetCapacity(maxMachines int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.maxMachines = maxMachines
}

// SetOutage has the cloud's interface refuse everything.
func (c *Cloud) SetOutage(on bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.outage = on
}

// CPUs counts what the machines that are up have.
func (c *Cloud) CPUs() (sum float64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, x := range c.Machines {
		if !time.Now().Before(c.bootedAt[x.Name]) {
			sum += c.machineType(x.Type).CPUs
		}
	}
	return sum
}

var smallDeploymentTypes = []wire.MachineType{
	{
		Name:        "small",
		CPUs:        4,
		MemoryGB:    16,
		CacheGB:     20,
		FetchGBPerS: 1,
		Price:       1,
		SpotPrice:   0.4,
		BootS:       6,
		Zones:       []string{"a", "b"},
	},
	{
		Name:        "large",
		CPUs:        16,
		MemoryGB:    64,
		CacheGB:     40,
		FetchGBPerS: 1,
		Price:       3,
		SpotPrice:   1,
		BootS:       8,
		Zones:       []string{"a", "b"},
	},
}

func (c *Cloud) machineType(name string) *wire.MachineType {
	for i := range c.machineTypes {
		if c.machineTypes[i].Name == name {
			return &c.machineTypes[i]
		}
	}
	return &wire.MachineType{}
}

// Workers lists the workers of machines that exist.
func (c *Cloud) Workers() []*Worker {
	c.mu.Lock()
	defer c.mu.Unlock()
	var out []*Worker
	for _, w := range c.Machines {
		out = append(out, w)
	}
	sort.Slice(out, func(i, k int) bool { return out[i].Name < out[k].Name })
	return out
}

func (c *Cloud) serve(ctx context.Context) error {
	ln, err := c.environment.networkOf("cloud").Listen(c.environment.addresses.Cloud)
	if err != nil {
		return err
	}
	go func() { // the list lags
		for ctx.Err() == nil {
			time.Sleep(3 * time.Second)
			c.mu.Lock()
			c.listing = c.listing[:0:0]
			for _, w := range c.Machines {
				st := wire.MachineRunning
				if time.Now().Before(c.bootedAt[w.Name]) {
					st = wire.MachineBooting
				}
				c.listing = append(
					c.listing,
					wire.ListedMachine{Name: w.Name, Addr: w.Addr, Type: w.Type, Zone: w.Zone, Spot: w.Spot, State: st},
				)
			}
			sort.Slice(c.listing, func(i, k int) bool { return c.listing[i].Name < c.listing[k].Name })
			c.mu.Unlock()
		}
	}()
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+wire.PathTypes, func(w http.ResponseWriter, r *http.Request) {
		c.handleRequest(w, func() any { return &wire.MachineTypes{Types: c.machineTypes} })
	})
	mux.HandleFunc("GET "+wire.PathMachines, func(w http.ResponseWriter, r *http.Request) {
		c.handleRequest(w, func() any {
			l := &wire.MachineList{}
			for _, x := range c.listing {
				if x.Name > r.URL.Query().Get("after") {
					if len(l.Machines) == c.pageSize {
						l.More = true
						break
					}
					l.Machines = append(l.Machines, x)
				}
			}
			return l
		})
	})
	mux.HandleFunc("POST "+wire.PathMachines, func(w http.ResponseWriter, r *http.Request) {
		var request wire.ScaleOutRequest
		b, _ := io.ReadAll(r.Body)
		if wire.Unmarshal(b, &request) != nil {
			respond(w, 400, payload{})
			return
		}
		c.handleRequest(w, func() any {
			if names, ok := c.machinesByRequest[request.Request]; ok {
				return &wire.MachineNames{Machines: names}
			}
			same := 0
			for _, x := range c.Machines {
				if x.Type == request.Type && x.Zone == request.Zone && x.Spot == request.Spot {
					same++
				}
			}
			maxMachines := c.maxMachines
			if c.maxMachinesOf != nil {
				maxMachines = c.maxMachinesOf(request.Type, request.Spot)
			}
			n := min(request.Count, maxMachines-same)
			if n <= 0 {
				return nil
			}
			var names []string
			for range n {
				names = append(names, c.launch(ctx, request.Type, request.Zone, request.Spot))
			}
			c.machinesByRequest[request.Request] = names
			return &wire.MachineNames{Machines: names}
		})
	})
	mux.HandleFunc("POST "+wire.PathRelease, func(w http.ResponseWriter, r *http.Request) {
		var names wire.MachineNames
		b, _ := io.ReadAll(r.Body)
		if wire.Unmarshal(b, &names) != nil {
			respond(w, 400, payload{})
			return
		}
		c.mu.Lock()
		delay := c.deletionDelay
		c.mu.Unlock()
		if delay > 0 {
			go func() {
				time.Sleep(delay)
				c.mu.Lock()
				defer c.mu.Unlock()
				c.remove(names.Machines)
			}()
			panic(http.ErrAbortHandler)
		}
		c.handleRequest(w, func() any {
			c.remove(names.Machines)
			return payload{}
		})
	})
	serve(ctx, ln, mux)
	return nil
}

func (c *Cloud) remove(names []string) {
	for _, n := range names {
		if worker := c.Machines[n]; worker != nil {
			delete(c.Machines, n)
			worker.terminate()
		}
	}
}

// SetBootFaults sets how many times as long boots take, and that one in so many never ends.
func (c *Cloud) SetBootFaults(slowdown float64, neverBootsEvery int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.bootSlowdown, c.neverBootsEvery = slowdown, neverBootsEvery
}

// Launched counts all machines that were ever rented.
func (c *Cloud) Launched() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.launched
}

// DropResponses sets the chance that a request is carried out and not answered.
func (c *Cloud) DropResponses(p float64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.dropResponseChance = p
}

// DelayDeletions has deletions carried out late, and not answered.
func (c *Cloud) DelayDeletions(d time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.deletionDelay = d
}

func (c *Cloud) handleRequest(w http.ResponseWriter, f func() any) {
	time.Sleep(80 * time.Millisecond)
	c.mu.Lock()
	if c.outage {
		c.mu.Unlock()
		respond(w, 503, payload{"error": "trouble"})
		return
	}
	v := f()
	dropResponse := c.environment.chance(c.dropResponseChance)
	c.mu.Unlock()
	if dropResponse {
		panic(http.ErrAbortHandler)
	}
	if v == nil {
		respond(w, 503, payload{"error": "no capacity"})
		return
	}
	respond(w, 200, v)
}

func (w *Environment) chance(p float64) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.rng.Float64() < p
}

func (c *Cloud) launch(ctx context.Context, machineType, zone string, spot bool) string {
	c.launched++
	name := fmt.Sprintf("host-%06d", c.launched)
	ctx, stop := context.WithCancel(ctx)
	worker := &Worker{
		Name:         name,
		Addr:         c.environment.addresses.Worker(c.launched),
		Type:         machineType,
		Zone:         zone,
		Spot:         spot,
		environment:  c.environment,
		rng:          rand.New(rand.NewPCG(uint64(c.launched), 3)),
		stop:         stop,
		cachedImages: map[string]bool{},
	}
	c.Machines[name] = worker
	d := time.Duration(c.machineType(machineType).BootS * (0.6 + 0.9*worker.rng.Float64()) * 1e9)
	if c.bootSlowdown > 0 {
		d = time.Duration(float64(d) * c.bootSlowdown)
	}
	if c.neverBootsEvery > 0 && c.launched%c.neverBootsEvery == 0 {
		d = 24 * time.Hour
	}
	c.bootedAt[name] = time.Now().Add(d)
	go func() {
		select {
		case <-ctx.Done():
		case <-time.After(d):
			worker.run(ctx)
		}
	}()
	return name
}

// Reclaim takes a machine away without notice.
func (c *Cloud) Reclaim(name string) {
	c.mu.Lock()
	worker := c.Machines[name]
	delete(c.Machines, name)
	c.mu.Unlock()
	if worker != nil {
		worker.terminate()
	}
}

// ClientFor is for tests that talk to a stand-in themselves.
func (w *Environment) ClientFor(name string) *msgpackhttp.Client {
	return msgpackhttp.New(w.networkOf(name), 1, 4, time.Second)
}
