// Package emulator emulates the outside world, for tests and for trying the service out: a network in memory, the
// key-value store, the cloud, the agents of machines, and users. Tests run it in virtual time; it delays, loses,
// reorders and refuses as the protocol allows. An invariant checker sees every task and records violations; it is a
// slow, plain reading of the protocol and shares no logic with the service.
package emulator

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"fieldhill/internal/platform/host"
)

// Network connects hosts in memory.
type Network struct {
	mu             sync.Mutex
	ports          map[string]*listener
	partitions     map[[2]string]bool   // host and address that it can't reach
	routes         map[net.Conn]string  // host and address, of open connections
	pendingDialers map[net.Conn]string  // who dialled, of connections that are not accepted yet
	frozenUntil    map[string]time.Time // hosts that neither send nor receive
}

// NewNetwork makes an empty network.
func NewNetwork() *Network {
	return &Network{
		ports:          map[string]*listener{},
		partitions:     map[[2]string]bool{},
		routes:         map[net.Conn]string{},
		pendingDialers: map[net.Conn]string{},
		frozenUntil:    map[string]time.Time{},
	}
}

// Freeze has a host neither send nor receive nor connect for a while, during which its clocks run on. What it was sent
// waits.
func (n *Network) Freeze(host string, d time.Duration) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.frozenUntil[host] = time.Now().Add(d)
}

// waitUntilThawed waits while a host is frozen.
func (n *Network) waitUntilThawed(host string) {
	for {
		n.mu.Lock()
		d := time.Until(n.frozenUntil[host])
		n.mu.Unlock()
		if d <= 0 {
			return
		}
		time.Sleep(d)
	}
}

// hostConn is a connection as one host has it.
type hostConn struct {
	net.Conn
	network *Network
	host    string
	peer    string // the other host, as the listener sees it
}

// RemoteAddr is the name of the host that dialled.
func (c *hostConn) RemoteAddr() net.Addr { return memAddr(c.peer) }

// Read holds back what arrives while the host is frozen.
func (c *hostConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.network.waitUntilThawed(c.host)
	return n, err
}

// Write waits while the host is frozen.
func (c *hostConn) Write(b []byte) (int, error) {
	c.network.waitUntilThawed(c.host)
	return c.Conn.Write(b)
}

// listener accepts the connections to an address.
type listener struct {
	host    string
	network *Network
	addr    string
	conns   chan net.Conn
	done    chan struct{}
	once    sync.Once
}

// memAddr is an address in memory: a host's name, or a host and port as the deployment spells it.
type memAddr string

func (memAddr) Network() string  { return "mem" }
func (a memAddr) String() string { return string(a) }

func (l *listener) Accept() (net.Conn, error) {
	select {
	case c := <-l.conns:
		l.network.waitUntilThawed(l.host)
		l.network.mu.Lock()
		from := l.network.pendingDialers[c]
		delete(l.network.pendingDialers, c)
		l.network.mu.Unlock()
		return &hostConn{c, l.network, l.host, from}, nil
	case <-l.done:
		return nil, net.ErrClosed
	}
}

func (l *listener) Close() error {
	l.once.Do(func() {
		close(l.done)
		for {
			select {
			case c := <-l.conns: // never accepted
				_ = c.Close()
				continue
			default:
			}
			break
		}
		l.network.mu.Lock()
		if l.network.ports[l.addr] == l {
			delete(l.network.ports, l.addr)
		}
		l.network.mu.Unlock()
	})
	return nil
}

func (l *listener) Addr() net.Addr { return memAddr(l.addr) }

// Host is the network as one host sees it, or rather one process on it.
type Host struct {
	network *Network
	name    string
	ended   atomic.Bool
}

// Host returns the network as a host sees it, for a new process on it.
func (n *Network) Host(name string) *Host { return &Host{network: n, name: name} }

// errProcessEnded is the error of everything that a terminated process still tries.
var errProcessEnded = errors.New("this process has ended")

// Terminate ends a process: its connections are reset, its listeners are gone, and nothing more that it does is seen by
// anybody. What it sent before is still carried out.
func (h *Host) Terminate() {
	h.ended.Store(true)
	h.network.mu.Lock()
	var listeners []*listener
	for _, l := range h.network.ports {
		if l.host == h.name {
			listeners = append(listeners, l)
		}
	}
	var resetConns []net.Conn
	for c, route := range h.network.routes {
		from, to, _ := strings.Cut(route, ">")
		if from == h.name || slices.ContainsFunc(listeners, func(l *listener) bool { return l.addr == to }) {
			resetConns = append(resetConns, c)
			delete(h.network.routes, c)
		}
	}
	h.network.mu.Unlock()
	for _, l := range listeners {
		_ = l.Close()
	}
	resetAll(resetConns)
}

// Listen listens on an address.
func (h *Host) Listen(a string) (net.Listener, error) {
	if h.ended.Load() {
		return nil, errProcessEnded
	}
	h.network.mu.Lock()
	defer h.network.mu.Unlock()
	if h.network.ports[a] != nil {
		return nil, errors.New("address in use")
	}
	l := &listener{host: h.name, network: h.network, addr: a, conns: make(chan net.Conn, 16), done: make(chan struct{})}
	h.network.ports[a] = l
	return l, nil
}

// Dial connects to an address. Behind a partition it hangs until the timeout.
func (h *Host) Dial(ctx context.Context, a string, timeout time.Duration) (net.Conn, error) {
	time.Sleep(time.Millisecond)
	h.network.waitUntilThawed(h.name)
	if h.ended.Load() {
		return nil, errProcessEnded
	}
	h.network.mu.Lock()
	l := h.network.ports[a]
	unreachable := h.network.partitions[[2]string{h.name, a}]
	h.network.mu.Unlock()
	if unreachable {
		t := time.NewTimer(timeout)
		defer t.Stop()
		select {
		case <-t.C:
			return nil, errors.New("timeout")
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
	if l == nil {
		return nil, errors.New("connection refused")
	}
	client, server := net.Pipe()
	h.network.mu.Lock()
	h.network.routes[client] = h.name + ">" + a
	h.network.pendingDialers[server] = h.name
	h.network.mu.Unlock()
	select {
	case l.conns <- server:
		return &hostConn{client, h.network, h.name, a}, nil
	case <-l.done:
		return nil, errors.New("connection refused")
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// SetPartition partitions a host from an address, or ends that; open connections from the host to the address are reset
// when the partition begins.
func (n *Network) SetPartition(host, a string, partitioned bool) {
	n.mu.Lock()
	n.partitions[[2]string{host, a}] = partitioned
	var resetConns []net.Conn
	for c, route := range n.routes {
		if partitioned && route == host+">"+a {
			resetConns = append(resetConns, c)
			delete(n.routes, c)
		}
	}
	n.mu.Unlock()
	resetAll(resetConns)
}

// resetAll closes connections in memory, which can't fail.
func resetAll(conns []net.Conn) {
	for _, c := range conns {
		_ = c.Close()
	}
}

// dialTimeout is how long users and the load balancer wait for a connection.
const dialTimeout = 500 * time.Millisecond

func dialFunc(h host.Net) func(context.Context, string, string) (net.Conn, error) {
	return func(ctx context.Context, _, a string) (net.Conn, error) { return h.Dial(ctx, a, dialTimeout) }
}

// bodyReader is nil for no body, which an empty reader would not be.
func bodyReader(b []byte) io.Reader {
	if b == nil {
		return nil
	}
	return bytes.NewReader(b)
}
