// Package emulator emulates the environment of the service, for tests and for development deployments: an in-memory
// network, the key-value store, the cloud, the agents of machines, and users. Tests run the emulators in virtual time.
// The emulators delay, drop, reorder and refuse messages as the protocol allows. An invariant checker observes every
// task and records violations. The checker implements the protocol's rules in a simple, slow way and shares no logic
// with the service.
package emulator

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"fieldhill/internal/platform/host"
)

// Network is an in-memory network that emulates partitions and hosts that freeze.
type Network struct {
	mu             sync.Mutex
	listeners      map[string]*listener
	partitions     map[[2]string]bool   // by host and the address that it can't reach
	routes         map[net.Conn]string  // "host>address" of open connections
	pendingDialers map[net.Conn]string  // dialing hosts of connections that are not accepted yet
	frozenUntil    map[string]time.Time // by host: time until which it neither sends nor receives
}

// NewNetwork returns a network without hosts, partitions or frozen hosts.
func NewNetwork() *Network {
	return &Network{
		listeners:      map[string]*listener{},
		partitions:     map[[2]string]bool{},
		routes:         map[net.Conn]string{},
		pendingDialers: map[net.Conn]string{},
		frozenUntil:    map[string]time.Time{},
	}
}

// Freeze stops a host from sending, receiving and connecting for a duration, while its clock continues. Data sent to
// the host is delivered after this time.
func (n *Network) Freeze(host string, d time.Duration) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.frozenUntil[host] = time.Now().Add(d)
}

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

// hostConn is one host's end of a connection.
type hostConn struct {
	net.Conn
	network *Network
	host    string
	peer    string // at the listener's end the name of the dialing host, at the other end the dialed address
}

// RemoteAddr returns the name of the dialing host at the listener's end, and the dialed address at the other end.
func (c *hostConn) RemoteAddr() net.Addr { return memAddr(c.peer) }

// Read reads data. Data that arrives while the host is frozen is returned when the freeze has ended.
func (c *hostConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.network.waitUntilThawed(c.host)
	return n, err
}

// Write writes data, after waiting while the host is frozen.
func (c *hostConn) Write(b []byte) (int, error) {
	c.network.waitUntilThawed(c.host)
	return c.Conn.Write(b)
}

// listener receives the connections to one address of a host.
type listener struct {
	host    string
	network *Network
	addr    string
	conns   chan net.Conn
	done    chan struct{}
	once    sync.Once
}

// memAddr is an address on the in-memory network: a host name, or the host and port from Addresses.
type memAddr string

// Network returns the name of the in-memory network.
func (memAddr) Network() string { return "mem" }

// String returns the host name, or the host and port.
func (a memAddr) String() string { return string(a) }

// Accept returns the next connection, after waiting while the host is frozen.
func (l *listener) Accept() (net.Conn, error) {
	select {
	case c := <-l.conns:
		l.network.waitUntilThawed(l.host)
		l.network.mu.Lock()
		dialer := l.network.pendingDialers[c]
		delete(l.network.pendingDialers, c)
		l.network.mu.Unlock()
		return &hostConn{c, l.network, l.host, dialer}, nil
	case <-l.done:
		return nil, net.ErrClosed
	}
}

// Close removes the listener from the network, and closes the connections that were not accepted.
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
		if l.network.listeners[l.addr] == l {
			delete(l.network.listeners, l.addr)
		}
		l.network.mu.Unlock()
	})
	return nil
}

// Addr returns the address that the listener receives connections for.
func (l *listener) Addr() net.Addr { return memAddr(l.addr) }

// Host is the network interface of one process on a named host.
type Host struct {
	network    *Network
	name       string
	terminated atomic.Bool
}

// Host returns the network interface of a new process on the named host.
func (n *Network) Host(name string) *Host { return &Host{network: n, name: name} }

// errProcessTerminated is returned by Listen and Dial of a terminated process.
var errProcessTerminated = errors.New("emulator: network operation of a terminated process")

// Causes of failed Listen and Dial calls. The returned errors wrap them and name the operation and the address.
var (
	errAddressInUse      = errors.New("address in use")
	errConnectionRefused = errors.New("connection refused")
	errTimeout           = errors.New("timeout")
)

// Terminate ends a process as seen by the network: its connections and listeners are closed, and its later network
// operations fail. Requests that the process has sent before are still processed.
func (h *Host) Terminate() {
	h.terminated.Store(true)
	h.network.mu.Lock()
	var listeners []*listener
	for _, l := range h.network.listeners {
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
	closeAll(resetConns)
}

// Listen creates a listener on an address. It fails if another listener has the address.
func (h *Host) Listen(addr string) (net.Listener, error) {
	if h.terminated.Load() {
		return nil, errProcessTerminated
	}
	h.network.mu.Lock()
	defer h.network.mu.Unlock()
	if h.network.listeners[addr] != nil {
		return nil, fmt.Errorf("emulator: listen on %s: %w", addr, errAddressInUse)
	}
	l := &listener{
		host:    h.name,
		network: h.network,
		addr:    addr,
		conns:   make(chan net.Conn, 16),
		done:    make(chan struct{}),
	}
	h.network.listeners[addr] = l
	return l, nil
}

// Dial connects to an address. During a partition of the host from the address, it fails when the timeout has passed or
// the context ends.
func (h *Host) Dial(ctx context.Context, addr string, timeout time.Duration) (net.Conn, error) {
	time.Sleep(time.Millisecond)
	h.network.waitUntilThawed(h.name)
	if h.terminated.Load() {
		return nil, errProcessTerminated
	}
	h.network.mu.Lock()
	l := h.network.listeners[addr]
	unreachable := h.network.partitions[[2]string{h.name, addr}]
	h.network.mu.Unlock()
	if unreachable {
		t := time.NewTimer(timeout)
		defer t.Stop()
		select {
		case <-t.C:
			return nil, fmt.Errorf("emulator: dial %s: %w", addr, errTimeout)
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
	if l == nil {
		return nil, fmt.Errorf("emulator: dial %s: %w", addr, errConnectionRefused)
	}
	client, server := net.Pipe()
	h.network.mu.Lock()
	h.network.routes[client] = h.name + ">" + addr
	h.network.pendingDialers[server] = h.name
	h.network.mu.Unlock()
	select {
	case l.conns <- server:
		return &hostConn{client, h.network, h.name, addr}, nil
	case <-l.done:
		return nil, fmt.Errorf("emulator: dial %s: %w", addr, errConnectionRefused)
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// SetPartition starts or ends a partition of a host from an address. Open connections from the host to the address are
// closed when the partition starts.
func (n *Network) SetPartition(host, addr string, partitioned bool) {
	n.mu.Lock()
	n.partitions[[2]string{host, addr}] = partitioned
	var resetConns []net.Conn
	for c, route := range n.routes {
		if partitioned && route == host+">"+addr {
			resetConns = append(resetConns, c)
			delete(n.routes, c)
		}
	}
	n.mu.Unlock()
	closeAll(resetConns)
}

// closeAll closes connections. It ignores errors, since closing an in-memory connection can't fail.
func closeAll(conns []net.Conn) {
	for _, c := range conns {
		_ = c.Close()
	}
}

// dialTimeout is the time after which users and the load balancer give up connecting to a controller.
const dialTimeout = 500 * time.Millisecond

func dialFunc(h host.Net) func(context.Context, string, string) (net.Conn, error) {
	return func(ctx context.Context, _, addr string) (net.Conn, error) { return h.Dial(ctx, addr, dialTimeout) }
}

// bodyReader returns a reader of a request body. For a nil body it returns nil, because a request with an empty reader
// would have a body.
func bodyReader(b []byte) io.Reader {
	if b == nil {
		return nil
	}
	return bytes.NewReader(b)
}
