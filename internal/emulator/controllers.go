package emulator

import (
	"context"
	"fmt"
	"sync/atomic"
	"time"

	"fieldhill/internal/config"
	"fieldhill/internal/platform/host"
)

// ControllerFunc runs a controller until its context ends; callers pass the real one, or one that runs it as a process.
type ControllerFunc func(ctx context.Context, h host.Net, s *config.Settings) error

// ControllerName is the name of a controller in its settings.
func ControllerName(i int) string { return fmt.Sprintf("n%d", i) }

// controllerGroup starts and ends the controllers of a deployment, each in a goroutine that stands for its process.
type controllerGroup struct {
	ctx       context.Context // of the environment
	run       ControllerFunc
	networkOf networkFunc
	addresses Addresses
	params    *config.Params // of the environment; tests change them before a start
	processes []*controllerProcess
}

// controllerProcess is a controller and its present process, if it was started.
type controllerProcess struct {
	name, zone, userAddr, peerAddr string

	host   host.Net
	stop   context.CancelFunc
	done   chan struct{}
	killed *atomic.Bool // the process was ended between two statements
}

func newControllerGroup(
	ctx context.Context,
	run ControllerFunc,
	networkOf networkFunc,
	addresses Addresses,
	count int,
	params *config.Params,
) *controllerGroup {
	g := &controllerGroup{ctx: ctx, run: run, networkOf: networkOf, addresses: addresses, params: params}
	for i := range count {
		g.processes = append(g.processes, &controllerProcess{
			name:     ControllerName(i),
			zone:     params.Zones[i%len(params.Zones)],
			userAddr: addresses.Users(i),
			peerAddr: addresses.Peers(i),
		})
	}
	return g
}

// settings are those of a controller in a settings file.
func (g *controllerGroup) settings(process *controllerProcess) *config.Settings {
	settings := &config.Settings{
		Node:       process.name,
		Zone:       process.zone,
		Bind:       process.userAddr,
		PeerListen: process.peerAddr,
		Params:     *g.params,
		Endpoints:  config.Endpoints{Cloud: g.addresses.Cloud, KVStore: g.addresses.Store},
	}
	for _, other := range g.processes {
		if other != process {
			member := config.Member{Node: other.name, Zone: other.zone, Addr: other.peerAddr}
			settings.Members = append(settings.Members, member)
		}
	}
	return settings
}

// Start starts a controller.
func (g *controllerGroup) Start(i int) {
	process := g.processes[i]
	settings := g.settings(process)
	ctx, stop := context.WithCancel(g.ctx)
	done := make(chan struct{})
	h := g.networkOf(process.name)
	killed := &atomic.Bool{}
	process.host, process.stop, process.done, process.killed = h, stop, done, killed
	go func() {
		defer close(done)
		if err := g.run(ctx, h, settings); err != nil && ctx.Err() == nil && !killed.Load() {
			panic(err)
		}
	}()
}

// Crash ends a controller at once, and waits until it has.
func (g *controllerGroup) Crash(i int) {
	g.processes[i].stop()
	<-g.processes[i].done
}

// Kill ends a controller between two statements, as a process is ended that gets no signal: nothing that it would do in
// order reaches anybody, its leases and what it sent live on, and a new process may be started at once.
func (g *controllerGroup) Kill(i int) {
	process := g.processes[i]
	process.killed.Store(true) // its listeners end before it does
	if h, ok := process.host.(*Host); ok {
		h.Terminate()
	}
	process.stop()
}

// Restart kills a controller, whose next process begins after a while.
func (g *controllerGroup) Restart(i int, after time.Duration) {
	g.Kill(i)
	time.Sleep(after)
	g.Start(i)
}

// SetZone has a controller, which does not run, be in a zone from its next start on.
func (g *controllerGroup) SetZone(controller int, zone string) { g.processes[controller].zone = zone }

// UserAddr is where a controller takes requests.
func (g *controllerGroup) UserAddr(controller int) string { return g.processes[controller].userAddr }

// process is the controller of an index, which workers count on without end.
func (g *controllerGroup) process(index int) *controllerProcess {
	return g.processes[index%len(g.processes)]
}

// redirected is the index to which a worker turns that was redirected to a controller by name: that controller, or the
// next one if the name is unknown or the one that it asked.
func (g *controllerGroup) redirected(name string, last int) int {
	for i, process := range g.processes {
		if process.name == name && i != last%len(g.processes) {
			return i
		}
	}
	return last + 1
}
