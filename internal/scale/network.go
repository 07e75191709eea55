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
	storePort   = 7000
	cloudPort   = 7001
	userAPIPort = 8080
	peerPort    = 8081
	metricsPort = 8082
	// defaultNetByte is the default second byte of the first region's loopback addresses.
	defaultNetByte = 10
	// workersPerSubnet is the number of workers whose addresses share the third byte.
	workersPerSubnet = 250
)

// regionAddresses returns the addresses of a region, all in 127.netByte.0.0/16.
func regionAddresses(netByte int) emulator.Addresses {
	return emulator.Addresses{
		Store: fmt.Sprintf("127.%d.255.1:%d", netByte, storePort),
		Cloud: fmt.Sprintf("127.%d.255.1:%d", netByte, cloudPort),
		Users: func(i int) string { return fmt.Sprintf("127.%d.254.%d:%d", netByte, i+1, userAPIPort) },
		Peers: func(i int) string { return fmt.Sprintf("127.%d.254.%d:%d", netByte, i+1, peerPort) },
		Worker: func(i int) string {
			return fmt.Sprintf("127.%d.%d.%d:%d", netByte, i/workersPerSubnet, i%workersPerSubnet+1, workerPort+netByte)
		},
	}
}

// metricsAddr returns the address of a controller's metrics page.
func metricsAddr(netByte, controller int) string {
	return fmt.Sprintf("127.%d.254.%d:%d", netByte, controller+1, metricsPort)
}

// traffic counts the bytes transferred over a group of connections, protocol headers included, and how many are open.
type traffic struct{ in, out, open atomic.Int64 }

// countedConn is a connection whose bytes are counted in a traffic, and which is counted as open until it is closed.
type countedConn struct {
	net.Conn
	traffic *traffic
	once    sync.Once
}

func countConn(c net.Conn, t *traffic) net.Conn {
	t.open.Add(1)
	return &countedConn{Conn: c, traffic: t}
}

// Read reads data and counts the received bytes.
func (c *countedConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.traffic.in.Add(int64(n))
	return n, err
}

// Write writes data and counts the sent bytes.
func (c *countedConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.traffic.out.Add(int64(n))
	return n, err
}

// Close closes the connection. Only the first call reduces the number of open connections.
func (c *countedConn) Close() error {
	c.once.Do(func() { c.traffic.open.Add(-1) })
	return c.Conn.Close()
}

// network is the loopback network of a region as the emulators see it. All workers listen on one shared socket, at
// different addresses, because thousands of sockets would exceed this process's limit of open files.
type network struct {
	workerTraffic, otherTraffic traffic
	mu                          sync.Mutex
	listeners                   map[string]*workerListener
	sharedListener              net.Listener
}

func newNetwork(ctx context.Context, netByte int) (*network, error) {
	shared, err := net.Listen("tcp", fmt.Sprintf("0.0.0.0:%d", workerPort+netByte))
	if err != nil {
		return nil, err
	}
	n := &network{listeners: map[string]*workerListener{}, sharedListener: shared}
	context.AfterFunc(ctx, func() { _ = shared.Close() })
	go n.accept()
	return n, nil
}

// accept dispatches each connection to the worker that listens on its local address.
func (n *network) accept() {
	for {
		c, err := n.sharedListener.Accept()
		if err != nil {
			return
		}
		n.mu.Lock()
		l := n.listeners[c.LocalAddr().String()]
		n.mu.Unlock()
		if l == nil || !l.enqueue(countConn(c, &n.workerTraffic)) {
			_ = c.Close() // the worker does not listen, or its queue is full; the client sees a closed connection
		}
	}
}

// hostNetwork returns the network as the named host sees it.
func (n *network) hostNetwork(name string) host.Net {
	return &hostNet{network: n, worker: strings.HasPrefix(name, "host-")}
}

// hostNet is the network as one host sees it.
type hostNet struct {
	network *network
	worker  bool // the host is a worker's machine
}

func (h *hostNet) traffic() *traffic {
	if h.worker {
		return &h.network.workerTraffic
	}
	return &h.network.otherTraffic
}

// Listen creates a listener. A worker's listener receives its connections from the shared socket.
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

// Dial connects to an address, and counts the connection.
func (h *hostNet) Dial(ctx context.Context, addr string, timeout time.Duration) (net.Conn, error) {
	c, err := host.TCP{}.Dial(ctx, addr, timeout)
	if err != nil {
		return nil, err
	}
	return countConn(c, h.traffic()), nil
}

// workerListener receives the connections to one worker's address from the shared socket.
type workerListener struct {
	network *network
	addr    string
	conns   chan net.Conn
	closed  chan struct{}
	once    sync.Once
}

// enqueue queues a connection for the worker. It returns false, without queueing the connection, if the queue is full.
func (l *workerListener) enqueue(c net.Conn) bool {
	select {
	case l.conns <- c:
		return true
	default:
		return false
	}
}

// Accept returns the next connection to the worker.
func (l *workerListener) Accept() (net.Conn, error) {
	select {
	case c := <-l.conns:
		return c, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

// Close stops the dispatch of connections to the worker.
func (l *workerListener) Close() error {
	l.once.Do(func() {
		l.network.mu.Lock()
		delete(l.network.listeners, l.addr)
		l.network.mu.Unlock()
		close(l.closed)
	})
	return nil
}

// Addr returns the worker's address.
func (l *workerListener) Addr() net.Addr { return workerAddr(l.addr) }

// workerAddr is a worker's address on the shared socket.
type workerAddr string

// Network returns the name of the network.
func (workerAddr) Network() string { return "tcp" }

// String returns the address as host:port.
func (a workerAddr) String() string { return string(a) }
