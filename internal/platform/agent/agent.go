// Package worker is the client of the workers' own interface.
package agent

import (
	"context"
	"errors"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"fieldhill/internal/platform/host"
	"fieldhill/internal/platform/msgpackhttp"
	"fieldhill/wire"
)

// Client gives workers direct commands.
type Client struct {
	transport *msgpackhttp.Client
	timeout   time.Duration
	slots     chan struct{} // for commands under way
}

// New makes a client; a command without an answer is given up after the timeout,
// and may be executed later all the same. It keeps up to half of so many connections when they
// are idle, and sends as many commands at once: when a thousand machines are given work in the
// same moment, or hundreds do not answer, its sockets must not be all that the process has.
// Questions beside them make idle connections close where all together were more.
func New(network host.Net, timeout time.Duration, conns int) *Client {
	c := &Client{timeout: timeout, slots: make(chan struct{}, max(1, conns/2))}
	c.transport = msgpackhttp.New(
		&countingNetwork{Net: network, maxOpen: int64(conns), closeIdle: c.Close},
		1,
		conns/2,
		timeout,
	)
	return c
}

// countingNetwork is a network whose connections, and tries to make one, are counted; at each one above the bound
// spare is called first.
type countingNetwork struct {
	host.Net
	maxOpen   int64
	open      atomic.Int64
	closeIdle func()
}

// Dial connects to an address.
func (n *countingNetwork) Dial(ctx context.Context, addr string, timeout time.Duration) (net.Conn, error) {
	if n.open.Add(1) > n.maxOpen {
		n.closeIdle()
	}
	c, err := n.Net.Dial(ctx, addr, timeout)
	if err != nil {
		n.open.Add(-1)
		return nil, err
	}
	return &countingConn{Conn: c, net: n}, nil
}

type countingConn struct {
	net.Conn
	net  *countingNetwork
	once sync.Once
}

// Close closes the connection, which counts no more.
func (c *countingConn) Close() error {
	c.once.Do(func() { c.net.open.Add(-1) })
	return c.Conn.Close()
}

// slotTimeout is how long a command waits until there are fewer under way. Then it is left to the
// answer to the worker's next report.
const slotTimeout = 500 * time.Millisecond

var errTooManyInFlight = errors.New("worker: too many commands are under way")

// Close ends idle connections.
func (c *Client) Close() { c.transport.Close() }

// CommandFate is what became of a direct command.
type CommandFate int

// The fates.
const (
	Executed CommandFate = iota
	Refused              // token or session did not match: nothing was executed
	Unsent               // it surely never left
	Unknown              // it may be executed at any later time
)

// Probe asks for a worker's report.
func (c *Client) Probe(ctx context.Context, addr string, timeout time.Duration) (*wire.Heartbeat, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	var report wire.Heartbeat
	return &report, c.transport.Do(ctx, "GET", addr, wire.PathShow, nil, &report, wire.MaxBody)
}

// SendOrders sends commands. The report is the worker's, if it sent one.
func (c *Client) SendOrders(
	ctx context.Context,
	addr string,
	orders *wire.Orders,
) (CommandFate, *wire.Heartbeat, error) {
	timer := time.NewTimer(slotTimeout)
	defer timer.Stop()
	select {
	case c.slots <- struct{}{}:
		defer func() { <-c.slots }()
	case <-timer.C:
		return Unsent, nil, errTooManyInFlight
	case <-ctx.Done():
		return Unsent, nil, ctx.Err()
	}
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	var report wire.Heartbeat
	err := c.transport.Do(ctx, "POST", addr, wire.PathOrders, orders, &report, wire.MaxBody)
	if err == nil {
		return Executed, &report, nil
	}
	var statusErr *msgpackhttp.StatusError
	switch {
	case errors.As(err, &statusErr) && statusErr.Code == 409:
		if wire.Unmarshal(statusErr.Body, &report) != nil {
			return Refused, nil, err
		}
		return Refused, &report, nil
	case errors.As(err, &statusErr) && statusErr.Code == 400:
		return Refused, nil, err
	case msgpackhttp.IsUnsent(err):
		return Unsent, nil, err
	}
	return Unknown, nil, err
}
