// Package agent is the client of the API of agents, the processes that run tasks on machines.
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

// Client sends direct commands and probes to agents.
type Client struct {
	transport *msgpackhttp.Client
	timeout   time.Duration
	slots     chan struct{} // holds an element for each command in flight
}

// New returns a client. A command without a response fails after the timeout, and may still be executed later.
//
// conns bounds the connections: half of them may be idle, and half may carry commands at the same time. The client must
// not use up the sockets of the process when a thousand machines get work at once, or when hundreds do not respond. The
// number of probes is not limited, but a probe closes all idle connections if there would be more than conns
// connections otherwise.
func New(network host.Net, timeout time.Duration, conns int) *Client {
	c := &Client{timeout: timeout, slots: make(chan struct{}, max(1, conns/2))}
	counted := &countingNetwork{Net: network, maxOpen: int64(conns), closeIdle: c.Close}
	c.transport = msgpackhttp.New(counted, 1, conns/2, timeout)
	return c
}

// countingNetwork counts established and pending connections, and calls closeIdle before it dials a connection above
// maxOpen.
type countingNetwork struct {
	host.Net
	maxOpen   int64
	open      atomic.Int64
	closeIdle func()
}

// Dial implements host.Net.
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

// countingConn is a connection that its network counts until the first call of Close.
type countingConn struct {
	net.Conn
	net  *countingNetwork
	once sync.Once
}

// Close closes the connection and removes it from the count.
func (c *countingConn) Close() error {
	c.once.Do(func() { c.net.open.Add(-1) })
	return c.Conn.Close()
}

// slotTimeout is how long a command waits while too many others are in flight. After this time the command is not sent,
// and the agent gets it in the response to its next heartbeat instead.
const slotTimeout = 500 * time.Millisecond

// ErrTooManyInFlight is returned for a command that was not sent because too many others are awaiting responses.
var ErrTooManyInFlight = errors.New("agent: too many commands in flight")

// Close closes idle connections.
func (c *Client) Close() { c.transport.Close() }

// CommandOutcome is the outcome of a direct command.
type CommandOutcome int

// Outcomes of a direct command. The numbers are part of the wire format between controllers.
const (
	Executed CommandOutcome = iota
	Refused                 // rejected, for example because of its fencing token or agent epoch: nothing was executed
	Unsent                  // certainly not sent
	Unknown                 // possibly executed, now or at any later time
)

// Probe requests a heartbeat from an agent.
func (c *Client) Probe(ctx context.Context, addr string, timeout time.Duration) (*wire.Heartbeat, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	var heartbeat wire.Heartbeat
	return &heartbeat, c.transport.Do(ctx, http.MethodGet, addr, wire.PathProbe, nil, &heartbeat, wire.MaxBody)
}

// SendCommands sends commands to an agent. It returns the outcome, and the heartbeat in the agent's response; if the
// response has no valid heartbeat, the heartbeat is nil and the error is set.
func (c *Client) SendCommands(
	ctx context.Context, addr string, batch *wire.CommandBatch,
) (CommandOutcome, *wire.Heartbeat, error) {
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
	err := c.transport.Do(ctx, http.MethodPost, addr, wire.PathCommands, batch, &heartbeat, wire.MaxBody)
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
