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
	http    *msgpackhttp.Client
	timeout time.Duration
	room    chan struct{} // for commands under way
}

// New makes a client; a command without an answer is given up after the timeout,
// and may be executed later all the same. It keeps up to half of so many connections when they
// are idle, and sends as many commands at once: when a thousand machines are given work in the
// same moment, or hundreds do not answer, its sockets must not be all that the process has.
// Questions beside them make idle connections close where all together were more.
func New(via host.Net, timeout time.Duration, conns int) *Client {
	c := &Client{timeout: timeout, room: make(chan struct{}, max(1, conns/2))}
	c.http = msgpackhttp.New(&counted{Net: via, most: int64(conns), spare: c.Close}, 1, conns/2, timeout)
	return c
}

// counted is a network whose connections, and tries to make one, are counted; at each one above the bound spare is
// called first.
type counted struct {
	host.Net
	most  int64
	open  atomic.Int64
	spare func()
}

// Dial connects to an address.
func (n *counted) Dial(ctx context.Context, addr string, timeout time.Duration) (net.Conn, error) {
	if n.open.Add(1) > n.most {
		n.spare()
	}
	c, err := n.Net.Dial(ctx, addr, timeout)
	if err != nil {
		n.open.Add(-1)
		return nil, err
	}
	return &countedConn{Conn: c, net: n}, nil
}

type countedConn struct {
	net.Conn
	net  *counted
	once sync.Once
}

// Close closes the connection, which counts no more.
func (c *countedConn) Close() error {
	c.once.Do(func() { c.net.open.Add(-1) })
	return c.Conn.Close()
}

// waitRoom is how long a command waits until there are fewer under way. Then it is left to the
// answer to the worker's next report.
const waitRoom = 500 * time.Millisecond

var errCrowded = errors.New("worker: too many commands are under way")

// Close ends idle connections.
func (c *Client) Close() { c.http.Close() }

// Fate is what became of a direct command.
type Fate int

// The fates.
const (
	Executed Fate = iota
	Refused       // token or session did not match: nothing was executed
	Unsent        // it surely never left
	Unknown       // it may be executed at any later time
)

// Show asks for a worker's report.
func (c *Client) Show(ctx context.Context, addr string, timeout time.Duration) (*wire.Report, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	var r wire.Report
	return &r, c.http.Do(ctx, "GET", addr, wire.PathShow, nil, &r, wire.MaxBody)
}

// Orders sends commands. The report is the worker's, if it sent one.
func (c *Client) Orders(ctx context.Context, addr string, o *wire.Orders) (Fate, *wire.Report, error) {
	wait := time.NewTimer(waitRoom)
	defer wait.Stop()
	select {
	case c.room <- struct{}{}:
		defer func() { <-c.room }()
	case <-wait.C:
		return Unsent, nil, errCrowded
	case <-ctx.Done():
		return Unsent, nil, ctx.Err()
	}
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	var r wire.Report
	err := c.http.Do(ctx, "POST", addr, wire.PathOrders, o, &r, wire.MaxBody)
	if err == nil {
		return Executed, &r, nil
	}
	var se *msgpackhttp.StatusError
	switch {
	case errors.As(err, &se) && se.Code == 409:
		if wire.Unmarshal(se.Body, &r) != nil {
			return Refused, nil, err
		}
		return Refused, &r, nil
	case errors.As(err, &se) && se.Code == 400:
		return Refused, nil, err
	case msgpackhttp.Unsent(err):
		return Unsent, nil, err
	}
	return Unknown, nil, err
}
