package main

import (
	"context"
	"fmt"
	"math"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"

	"fieldhill/internal/config"
	"fieldhill/internal/emulator"
	"fieldhill/internal/platform/host"
	"fieldhill/internal/platform/msgpackhttp"
	"fieldhill/internal/replication/oplog"
	"fieldhill/internal/supervisor"
	"fieldhill/wire"
)

// platform is a small deployment on loopback: the state service, the cloud with its machines, and three controllers as
// processes.
type platform struct {
	*ledger
	ctx      context.Context
	record   *record
	params   config.Params
	types    []wire.MachineType
	capacity func(pool) int
	boot     time.Duration
	nodes    []*node
	store    *emulator.KVStore
	state    string         // address of the state service
	running  sync.WaitGroup // supervised controllers
	kill     func(node string) bool

	mu       sync.Mutex
	machines []*machine
	hires    map[string][]string
	listed   []wire.ListedMachine
}

// node is a controller.
type node struct{ name, zone, bind, peers string }

// plan says what a case deploys.
type plan struct {
	params   config.Params
	types    []wire.MachineType
	capacity func(pool) int
	boot     time.Duration // how long all machines boot; 0: as usual for their type
}

// settings of a small deployment, from those in DEPLOY.
func smallParams(teams ...config.Team) config.Params {
	return config.Params{
		InitialSize: 3,
		Zones:       []string{"asansol", "rajarhat", "salt-lake"},
		TimeBoundMS: 1000,
		Teams:       teams,
		Workers:     config.Workers{HeartbeatS: 3, LeaseS: 24, GangWaitS: 40, GangPeerS: 5, CancelS: 49},
		KVStore:     config.KVStore{RPS: 100, WriteRPS: 20, ValueKB: 8, TxnOps: 12},
		Cloud:       config.Cloud{RPS: 8, ListLagS: 6},
		Limits:      config.Limits{CPUShare: 0.48, MemoryMB: 179, MaxSockets: 2500},
	}
}

// majhari is the machine type of 16 CPUs of the heat utility, which boots faster here.
func majhari() wire.MachineType {
	return wire.MachineType{
		Name: "majhari", CPUs: 16, MemoryGB: 64, CacheGB: 40, FetchGBPerS: 1, Price: 0.62, SpotPrice: 0.23, BootS: 3,
		Zones: []string{"asansol", "rajarhat", "salt-lake"},
	}
}

const (
	nodeCount    = 3
	restartDelay = 5 * time.Second
	// listenTimeout is how long the controllers may take until one of them is ready.
	listenTimeout = 20 * time.Second
	seed          = 1
)

// deploy starts everything; it ends with the context.
func deploy(ctx context.Context, rec *record, dir string, p plan) (*platform, error) {
	d := &platform{
		ledger: newLedger(), ctx: ctx, record: rec, params: p.params, types: p.types, capacity: p.capacity,
		boot:  p.boot,
		store: emulator.NewKVStore(seed), hires: map[string][]string{},
	}
	cloud, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	addrs, err := freeAddrs(1 + 2*nodeCount)
	if err != nil {
		return nil, err
	}
	d.state = addrs[0]
	if err := d.store.Serve(ctx, host.TCP{}, d.state); err != nil {
		return nil, err
	}
	d.store.SetRateLimits(p.params.KVStore.RPS, p.params.KVStore.WriteRPS)
	for i := range nodeCount {
		zone := p.params.Zones[i%len(p.params.Zones)]
		d.nodes = append(d.nodes, &node{fmt.Sprint("stroj-", i), zone, addrs[1+2*i], addrs[2+2*i]})
	}
	d.serveCloud(ctx, cloud)
	run, err := runCommand()
	if err != nil {
		return nil, err
	}
	endpoints := config.Endpoints{Cloud: cloud.Addr().String(), KVStore: addrs[0]}
	processes := &supervisor.Supervisor{
		Executable: run, Dir: dir, RestartDelay: restartDelay, OnEvent: func(s string) { rec.add("%s", s) },
	}
	d.kill = processes.Kill
	for _, n := range d.nodes {
		d.running.Go(func() {
			if err := processes.Run(ctx, d.settings(n, endpoints)); err != nil {
				rec.say("controller %s: %v", n.name, err)
			}
		})
	}
	return d, d.awaitReady(ctx)
}

// runCommand returns the program that the deploy file names.
func runCommand() (string, error) {
	deployFile, err := os.ReadFile("deploy/service.toml")
	if err != nil {
		return "", err
	}
	for line := range strings.Lines(string(deployFile)) {
		if value, ok := strings.CutPrefix(line, "run = "); ok {
			command, err := strconv.Unquote(strings.TrimSpace(value))
			if program, arg, _ := strings.Cut(command, " "); err == nil && arg == "--config" {
				_, err = os.Stat(program)
				return program, err
			}
		}
	}
	return "", fmt.Errorf("deploy/service.toml has no run command of the form PROGRAM --config")
}

func (p *platform) settings(self *node, endpoints config.Endpoints) *config.Settings {
	settings := &config.Settings{
		Node: self.name, Zone: self.zone, Bind: self.bind, PeerListen: self.peers, Params: p.params,
		Endpoints: endpoints,
	}
	for _, n := range p.nodes {
		if n != self {
			settings.Members = append(settings.Members, config.Member{Node: n.name, Zone: n.zone, Addr: n.peers})
		}
	}
	return settings
}

// freeAddrs returns loopback addresses with free ports.
func freeAddrs(count int) (addrs []string, err error) {
	for range count {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return nil, err
		}
		defer func() { _ = listener.Close() }() // closed together, so that no port is returned twice
		addrs = append(addrs, listener.Addr().String())
	}
	return addrs, nil
}

func (p *platform) awaitReady(ctx context.Context) error {
	for deadline := time.Now().Add(listenTimeout); time.Now().Before(deadline) && ctx.Err() == nil; {
		for _, n := range p.nodes {
			if code, _ := request(ctx, http.MethodGet, n, wire.PathReady, nil); code == http.StatusOK {
				return nil
			}
		}
		time.Sleep(tickInterval)
	}
	return fmt.Errorf("no controller is ready after %v", listenTimeout)
}

// killLeader kills the controller that leads, according to the state service.
func (p *platform) killLeader() {
	client := msgpackhttp.New(host.TCP{}, 1, 1, time.Second)
	defer client.Close()
	var item wire.Item
	var value wire.LogValue
	err := client.Do(p.ctx, http.MethodGet, p.state, wire.PathKeys+"/"+oplog.KeyLeader, nil, &item, wire.MaxBody)
	if err == nil {
		err = wire.Unmarshal(item.Value, &value)
	}
	p.record.say("kill the leader, %s: %v, %v", value.Node, p.kill(value.Node), err)
}

// allMachines returns the machines that were ever rented.
func (p *platform) allMachines() []*machine {
	p.mu.Lock()
	defer p.mu.Unlock()
	return append([]*machine(nil), p.machines...)
}

func (p *platform) lease() time.Duration {
	return time.Duration(p.params.Workers.LeaseS * float64(time.Second))
}

func (p *platform) started(m *machine, t *task) {
	p.put(m, t)
	if t.spec.Tasks <= maxRecorded {
		p.record.add("%s starts %s, attempt %d", m.name, t.id, t.attempt)
	}
}

func (p *platform) left(m *machine, t *task, why string) {
	p.take(m, t)
	if t.spec.Tasks <= maxRecorded {
		p.record.add("%s ends %s, attempt %d: %s", m.name, t.id, t.attempt, why)
	}
}

// maxRecorded is the number of tasks up to which the tasks of a job are recorded one by one.
const maxRecorded = 100

// answer writes a message as the response to a request.
func answer(w http.ResponseWriter, code int, message any) {
	body, err := wire.Marshal(message)
	if err != nil {
		panic(err)
	}
	w.Header().Set("Content-Type", wire.ContentType)
	w.WriteHeader(code)
	_, _ = w.Write(body) // a client that is gone needs no answer
}

// jsonSize returns the size of a report in the form in which PROTOCOL counts it.
func jsonSize(report *wire.Heartbeat) int {
	size := len(`{"box":"","endpoint":"","model":"","hall":"","loaners":false,"shift":,"tick":,"baton":,` +
		`"recall_s":null,"pieces":[]}`)
	size += len(report.Machine) + len(report.Addr) + len(report.Type) + len(report.Zone)
	size += digits(report.AgentEpoch) + digits(report.Seq) + digits(report.FencingToken)
	for _, t := range report.Tasks {
		size += len(`{"piece":"","try":,"status":""},`) + len(t.Task) + digits(t.Attempt) + len(t.State)
		if t.Cause != "" {
			size += len(`,"cause":""`) + len(t.Cause)
		}
	}
	return size
}

func digits(n uint64) int { return 1 + int(math.Log10(float64(max(n, 1)))) }
