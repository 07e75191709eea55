// Package worker is the client of the workers' own interface.
package worker

import (
	"context"
	"errors"
	"time"

	"fieldhill/internal/host"
	"fieldhill/internal/mphttp"
	"fieldhill/wire"
)

// Client gives workers direct commands.
type Client struct {
	http    *mphttp.Client
	timeout time.Duration
}

// New makes a client; a command without an answer is given up after the timeout,
// and may be executed later all the same.
func New(via host.Net, timeout time.Duration, hosts int) *Client {
	return &Client{http: mphttp.New(via, 1, hosts, timeout), timeout: timeout}
}

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
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	var r wire.Report
	err := c.http.Do(ctx, "POST", addr, wire.PathOrders, o, &r, wire.MaxBody)
	if err == nil {
		return Executed, &r, nil
	}
	var se *mphttp.StatusError
	switch {
	case errors.As(err, &se) && se.Code == 409:
		if wire.Unmarshal(se.Body, &r) != nil {
			return Refused, nil, err
		}
		return Refused, &r, nil
	case errors.As(err, &se) && se.Code == 400:
		return Refused, nil, err
	case mphttp.Unsent(err):
		return Unsent, nil, err
	}
	return Unknown, nil, err
}
