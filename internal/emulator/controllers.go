package emulator

import (
	"context"
	"fmt"
	"sync/atomic"
	"time"

	"fieldhill/internal/config"
	"fieldhill/internal/platform/host"
)

// ControllerFunc runs a controller until its context ends, either in this process or as a child process.
type ControllerFunc func(ctx context.Context, h host.Net, s *config.Settings) error

// ControllerName returns the name that a controller, given by its index, has in the settings.
func ControllerName(i int) string { return fmt.Sprintf("n%d", i) }

// controllerGroup starts and stops the controllers of a deployment, each in a goroutine that represents its process.
type controllerGroup struct {
	ctx       context.Context // context of the environment
	run       ControllerFunc
	networkOf networkFunc
	addresses Addresses
	params    *config.Params // parameters of the environment; tests may change them before a controller starts
	processes []*controllerProcess
}

// controllerProcess is a controller and, if it was started, its current process.
type controllerProcess struct {
	name, zone, userAddr, peerAddr string

	host   host.Net
	stop   context.CancelFunc
	done   chan struct{}
	killed *atomic.Bool // Kill has ended the process
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

// settings returns the settings of a controller, as config.Load would read them from its settings file.
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

// Start starts a controller with settings made from the environment's current parameters.
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

// StopAndWait cancels a controller's context and waits until the controller has returned.
func (g *controllerGroup) StopAndWait(i int) {
	g.processes[i].stop()
	<-g.processes[i].done
}

// Kill ends a controller like an uncatchable signal, at any point of its execution: its shutdown has no effect on other
// hosts, its leases stay valid and requests already sent are still processed. A new process may be started at once.
func (g *controllerGroup) Kill(i int) {
	process := g.processes[i]
	process.killed.Store(true) // before the listeners close, so that the resulting errors are ignored
	if h, ok := process.host.(*Host); ok {
		h.Terminate()
	}
	process.stop()
}

// Restart kills a controller and starts it again after a delay.
func (g *controllerGroup) Restart(i int, after time.Duration) {
	g.Kill(i)
	time.Sleep(after)
	g.Start(i)
}

// SetZone sets the zone of a controller, effective from its next start. The controller must not be running.
func (g *controllerGroup) SetZone(controller int, zone string) { g.processes[controller].zone = zone }

// UserAddr returns the address at which a controller serves users.
func (g *controllerGroup) UserAddr(controller int) string { return g.processes[controller].userAddr }

// process returns a controller by index modulo the number of controllers, since workers increment the index without
// bound.
func (g *controllerGroup) process(index int) *controllerProcess {
	return g.processes[index%len(g.processes)]
}

// redirectIndex returns the index of the controller to use after a redirect by name: the named controller, or the next
// one if the name is unknown or is that of the controller that sent the redirect.
func (g *controllerGroup) redirectIndex(name string, lastIndex int) int {
	for i, process := range g.processes {
		if process.name == name && i != lastIndex%len(g.processes) {
			return i
		}
	}
	return lastIndex + 1
}
