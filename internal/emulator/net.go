// Package standin plays the outside world, for tests and for trying the service out: a
// network in memory, the state service, the cloud, workers and users. Tests run it in
// virtual time; it delays, loses, reorders and refuses as the protocol allows. A referee watches
// every task and keeps a list of broken rules; it is a slow, plain reading of
// the protocol and shares no logic with the service.
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
	mu    sync.Mutex
	ports map[string]*listener
	down  map[string]bool // addresses whose host is without power: nothing answers
	cut   map[[2]string]bool
	conns map[net.Conn]string
	from  map[net.Conn]string  // who dialled, of connections that are not accepted yet
	still map[string]time.Time // hosts that stand still, and until when
}

// NewNetwork makes an empty network.
func NewNetwork() *Network {
	return &Network{ports: map[string]*listener{}, down: map[string]bool{}, cut: map[[2]string]bool{}, conns: map[net.Conn]string{}, from: map[net.Conn]string{}, still: map[string]time.Time{}}
}

// Freeze has a host stand still: it neither sends nor receives nor connects until
// then, while its clocks run on. What it was sent waits.
func (n *Network) Freeze(host string, d time.Duration) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.still[host] = time.Now().Add(d)
}

// thaw waits while a host stands still.
func (n *Network) thaw(host string) {
	for {
		n.mu.Lock()
		d := time.Until(n.still[host])
		n.mu.Unlock()
		if d <= 0 {
			return
		}
		time.Sleep(d)
	}
}

// ofHost is a connection as one host has it.
type ofHost struct {
	net.Conn
	net  *Network
	host string
	peer string // the other host, as who was dialled sees it
}

// RemoteAddr tells who dialled.
func (c *ofHost) RemoteAddr() net.Addr { return addr(c.peer) }

func (c *ofHost) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.net.thaw(c.host)
	return n, err
}

func (c *ofHost) Write(b []byte) (int, error) {
	c.net.thaw(c.host)
	return c.Conn.Write(b)
}

type listener struct {
	host string
	net  *Network
	addr string
	ch   chan net.Conn
	done chan struct{}
	once sync.Once
}

type addr string

func (addr) Network() string  { return "mem" }
func (a addr) String() string { return string(a) }

func (l *listener) Accept() (net.Conn, error) {
	select {
	case c := <-l.ch:
		l.net.thaw(l.host)
		l.net.mu.Lock()
		from := l.net.from[c]
		delete(l.net.from, c)
		l.net.mu.Unlock()
		return &ofHost{c, l.net, l.host, from}, nil
	case <-l.done:
		return nil, net.ErrClosed
	}
}

func (l *listener) Close() error {
	l.once.Do(func() {
		close(l.done)
		for {
			select {
			case c := <-l.ch: // never accepted
				c.Close()
				continue
			default:
			}
			break
		}
		l.net.mu.Lock()
		if l.net.ports[l.addr] == l {
			delete(l.net.ports, l.addr)
		}
		l.net.mu.Unlock()
	})
	return nil
}

func (l *listener) Addr() net.Addr { return addr(l.addr) }

// Host is the network as one host sees it, or rather one process on it.
type Host struct {
	net   *Network
	name  string
	ended atomic.Bool
}

// Host returns the view of a host.
func (n *Network) Host(name string) *Host { return &Host{net: n, name: name} }

// errEnded is what a process would see that has ended already.
var errEnded = errors.New("this process has ended")

// End ends a process: its connections are reset, its listeners are gone, and nothing more that it does is seen by
// anybody. What it sent before is still carried out.
func (h *Host) End() {
	h.ended.Store(true)
	h.net.mu.Lock()
	var ports []*listener
	for _, l := range h.net.ports {
		if l.host == h.name {
			ports = append(ports, l)
		}
	}
	var reset []net.Conn
	for c, who := range h.net.conns {
		from, to, _ := strings.Cut(who, ">")
		if from == h.name || slices.ContainsFunc(ports, func(l *listener) bool { return l.addr == to }) {
			reset = append(reset, c)
			delete(h.net.conns, c)
		}
	}
	h.net.mu.Unlock()
	for _, l := range ports {
		l.Close()
	}
	for _, c := range reset {
		c.Close()
	}
}

// Listen listens on an address.
func (h *Host) Listen(a string) (net.Listener, error) {
	if h.ended.Load() {
		return nil, errEnded
	}
	h.net.mu.Lock()
	defer h.net.mu.Unlock()
	if h.net.ports[a] != nil {
		return nil, errors.New("address in use")
	}
	l := &listener{host: h.name, net: h.net, addr: a, ch: make(chan net.Conn, 16), done: make(chan struct{})}
	h.net.ports[a] = l
	return l, nil
}

// Dial connects to an address. Behind a cut, or to a host without power, it
// hangs until the timeout.
func (h *Host) Dial(ctx context.Context, a string, timeout time.Duration) (net.Conn, error) {
	time.Sleep(time.Millisecond)
	h.net.thaw(h.name)
	if h.ended.Load() {
		return nil, errEnded
	}
	h.net.mu.Lock()
	l := h.net.ports[a]
	mute := h.net.down[a] || h.net.cut[[2]string{h.name, a}]
	h.net.mu.Unlock()
	if mute {
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
	h.net.mu.Lock()
	h.net.conns[client] = h.name + ">" + a
	h.net.from[server] = h.name
	h.net.mu.Unlock()
	select {
	case l.ch <- server:
		return &ofHost{client, h.net, h.name, a}, nil
	case <-l.done:
		return nil, errors.New("connection refused")
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// Cut parts a host from an address, or joins them; open connections between
// them are reset when they part.
func (n *Network) Cut(host, a string, apart bool) {
	n.mu.Lock()
	n.cut[[2]string{host, a}] = apart
	var reset []net.Conn
	for c, who := range n.conns {
		if apart && who == host+">"+a {
			reset = append(reset, c)
			delete(n.conns, c)
		}
	}
	n.mu.Unlock()
	for _, c := range reset {
		c.Close()
	}
}

func dialer(h host.Net) func(context.Context, string, string) (net.Conn, error) {
	return func(ctx context.Context, _, a string) (net.Conn, error) { return h.Dial(ctx, a, 500*time.Millisecond) }
}

func readerOf(b []byte) io.Reader {
	if b == nil {
		return nil
	}
	return bytes.NewReader(b)
}
