package scale

import (
	"context"
	"fmt"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"fieldhill/internal/emulator"
	"fieldhill/internal/platform/host"
)

const (
	workerPort  = 9000
	statePort   = 7000
	cloudPort   = 7001
	usersPort   = 8080
	peersPort   = 8081
	metricsPort = 8082
	// defaultNetByte is the second byte of the first region's loopback addresses, unless the options have another.
	defaultNetByte = 10
	// workersPerSubnet is how many workers share the third byte of an address.
	workersPerSubnet = 250
)

// regionAddresses are the addresses of a region, all in 127.net.0.0/16.
func regionAddresses(netByte int) emulator.Addresses {
	return emulator.Addresses{
		Store: fmt.Sprintf("127.%d.255.1:%d", netByte, statePort),
		Cloud: fmt.Sprintf("127.%d.255.1:%d", netByte, cloudPort),
		Users: func(i int) string { return fmt.Sprintf("127.%d.254.%d:%d", netByte, i+1, usersPort) },
		Peers: func(i int) string { return fmt.Sprintf("127.%d.254.%d:%d", netByte, i+1, peersPort) },
		Worker: func(i int) string {
			return fmt.Sprintf("127.%d.%d.%d:%d", netByte, i/workersPerSubnet, i%workersPerSubnet+1, workerPort+netByte)
		},
	}
}

// metricsAddr is where a controller has its metrics page.
func metricsAddr(netByte, controller int) string {
	return fmt.Sprintf("127.%d.254.%d:%d", netByte, controller+1, metricsPort)
}

// traffic counts the bytes of one kind of connection, headers included, and the connections that are open.
type traffic struct{ in, out, open atomic.Int64 }

// countedConn counts its bytes and itself.
type countedConn struct {
	net.Conn
	traffic *traffic
	once    sync.Once
}

func countConn(c net.Conn, t *traffic) net.Conn {
	t.open.Add(1)
	return &countedConn{Conn: c, traffic: t}
}

// Read counts what is received.
func (c *countedConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.traffic.in.Add(int64(n))
	return n, err
}

// Write counts what is sent.
func (c *countedConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.traffic.out.Add(int64(n))
	return n, err
}

// Close counts the connection as closed, once.
func (c *countedConn) Close() error {
	c.once.Do(func() { c.traffic.open.Add(-1) })
	return c.Conn.Close()
}

// network is a region's part of the loopback network as the emulators see it. Workers listen at addresses of their
// own behind one socket, because thousands of listeners would use up this process's files.
type network struct {
	workers, others traffic
	mu              sync.Mutex
	listeners       map[string]*workerListener
	shared          net.Listener
}

func newNetwork(ctx context.Context, netByte int) (*network, error) {
	shared, err := net.Listen("tcp", fmt.Sprintf("0.0.0.0:%d", workerPort+netByte))
	if err != nil {
		return nil, err
	}
	created := &network{listeners: map[string]*workerListener{}, shared: shared}
	context.AfterFunc(ctx, func() { _ = shared.Close() })
	go created.accept()
	return created, nil
}

// accept hands each connection to the worker at whose address it was made.
func (n *network) accept() {
	for {
		c, err := n.shared.Accept()
		if err != nil {
			return
		}
		n.mu.Lock()
		l := n.listeners[c.LocalAddr().String()]
		n.mu.Unlock()
		if l == nil || !l.enqueue(countConn(c, &n.workers)) {
			_ = c.Close() // nobody listens: the dialler sees it closed
		}
	}
}

// hostNetwork is the network as a host sees it.
func (n *network) hostNetwork(name string) host.Net {
	return &hostNet{network: n, worker: strings.HasPrefix(name, "host-")}
}

// hostNet is the network as a host sees it.
type hostNet struct {
	network *network
	worker  bool
}

func (h *hostNet) traffic() *traffic {
	if h.worker {
		return &h.network.workers
	}
	return &h.network.others
}

// Listen listens on an address.
func (h *hostNet) Listen(addr string) (net.Listener, error) {
	if !h.worker {
		return host.TCP{}.Listen(addr)
	}
	l := &workerListener{network: h.network, addr: addr, conns: make(chan net.Conn, 16), closed: make(chan struct{})}
	h.network.mu.Lock()
	defer h.network.mu.Unlock()
	h.network.listeners[addr] = l
	return l, nil
}

// Dial connects to an address.
func (h *hostNet) Dial(ctx context.Context, addr string, timeout time.Duration) (net.Conn, error) {
	c, err := host.TCP{}.Dial(ctx, addr, timeout)
	if err != nil {
		return nil, err
	}
	return countConn(c, h.traffic()), nil
}

// workerListener gets the connections to one worker's address from the shared socket.
type workerListener struct {
	network *network
	addr    string
	conns   chan net.Conn
	closed  chan struct{}
	once    sync.Once
}

// enqueue hands a connection to the worker, and reports false if it does not keep up.
func (l *workerListener) enqueue(c net.Conn) bool {
	select {
	case l.conns <- c:
		return true
	default:
		return false
	}
}

// Accept waits for a connection.
func (l *workerListener) Accept() (net.Conn, error) {
	select {
	case c := <-l.conns:
		return c, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

// Close ends the listener.
func (l *workerListener) Close() error {
	l.once.Do(func() {
		l.network.mu.Lock()
		delete(l.network.listeners, l.addr)
		l.network.mu.Unlock()
		close(l.closed)
	})
	return nil
}

// Addr is where it listens.
func (l *workerListener) Addr() net.Addr { return workerAddr(l.addr) }

// workerAddr is an address behind the shared socket.
type workerAddr string

func (workerAddr) Network() string  { return "tcp" }
func (a workerAddr) String() string { return string(a) }
