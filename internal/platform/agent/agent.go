// Package agent is the client of the API of the agents, the processes that run tasks on the machines.
package agent

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"fieldhill/internal/platform/host"
	"fieldhill/internal/platform/msgpackhttp"
	"fieldhill/wire"
)

// Client sends agents direct commands, and probes them.
type Client struct {
	transport *msgpackhttp.Client
	timeout   time.Duration
	slots     chan struct{} // for commands in flight
}

// New makes a client. A command that has no response fails after the timeout, and may be executed later all the same.
//
// conns bounds the connections: half of them may be idle, and half carry commands at once. When a thousand machines get
// work in the same moment, or hundreds do not respond, the client must not use up the sockets of the process. Probes
// beside them close idle connections where all together would be more.
func New(network host.Net, timeout time.Duration, conns int) *Client {
	c := &Client{timeout: timeout, slots: make(chan struct{}, max(1, conns/2))}
	counted := &countingNetwork{Net: network, maxOpen: int64(conns), closeIdle: c.Close}
	c.transport = msgpackhttp.New(counted, 1, conns/2, timeout)
	return c
}

// countingNetwork is a network whose connections, and tries to make one, are counted; before each one above maxOpen it
// calls closeIdle.
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

// countingConn counts until it is first closed.
type countingConn struct {
	net.Conn
	net  *countingNetwork
	once sync.Once
}

// Close closes the connection, which no longer counts.
func (c *countingConn) Close() error {
	c.once.Do(func() { c.net.open.Add(-1) })
	return c.Conn.Close()
}

// slotTimeout is how long a command waits until there are fewer in flight. Then it is left to the response to the
// agent's next heartbeat.
const slotTimeout = 500 * time.Millisecond

// ErrTooManyInFlight says that a command was not sent since too many others have no response yet.
var ErrTooManyInFlight = errors.New("agent: too many commands in flight")

// Close ends idle connections.
func (c *Client) Close() { c.transport.Close() }

// CommandFate is what became of a direct command.
type CommandFate int

// What may become of a command.
const (
	Executed CommandFate = iota
	Refused              // fencing token or agent epoch did not match: nothing was executed
	Unsent               // it surely was not sent
	Unknown              // it may be executed at any later time
)

// Probe asks an agent for its heartbeat.
func (c *Client) Probe(ctx context.Context, addr string, timeout time.Duration) (*wire.Heartbeat, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	var heartbeat wire.Heartbeat
	return &heartbeat, c.transport.Do(ctx, http.MethodGet, addr, wire.PathShow, nil, &heartbeat, wire.MaxBody)
}

// SendOrders sends commands. The heartbeat is the agent's, if it sent one.
func (c *Client) SendOrders(
	ctx context.Context, addr string, orders *wire.Orders,
) (CommandFate, *wire.Heartbeat, error) {
	timer := time.NewTimer(slotTimeout)
	defer timer.Stop()
	select {
	case c.slots <- struct{}{}:
		defer func() { <-c.slots }()
	case <-timer.C:
		return Unsent, nil, ErrTooManyInFlight
	case <-ctx.Done():
		return Unsent, nil, ctx.Err()
	}
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	var heartbeat wire.Heartbeat
	err := c.transport.Do(ctx, http.MethodPost, addr, wire.PathOrders, orders, &heartbeat, wire.MaxBody)
	if err == nil {
		return Executed, &heartbeat, nil
	}
	var statusErr *msgpackhttp.StatusError
	switch isStatus := errors.As(err, &statusErr); {
	case isStatus && statusErr.Code == http.StatusConflict:
		if wire.Unmarshal(statusErr.Body, &heartbeat) != nil {
			return Refused, nil, err
		}
		return Refused, &heartbeat, nil
	case isStatus && statusErr.Code == http.StatusBadRequest:
		return Refused, nil, err
	case msgpackhttp.IsUnsent(err):
		return Unsent, nil, err
	}
	return Unknown, nil, err
}
