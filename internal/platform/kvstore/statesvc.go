// Package statesvc is the client of the state service, with a budget that keeps
// this node's share of its request rate.
package kvstore

import (
	"context"
	"fmt"
	"net/http"
	"net/url"
	"sync/atomic"
	"time"

	"golang.org/x/time/rate"

	"fieldhill/internal/platform/host"
	"fieldhill/internal/platform/msgpackhttp"
	"fieldhill/wire"
)

const maxAnswer = 8 << 20

// Client talks to the state service.
type Client struct {
	http   *msgpackhttp.Client
	addr   string
	budget *rate.Limiter
	users  *rate.Limiter
	slots  chan struct{}
	writes atomic.Int64 // how long the service takes for a transaction, averaged
}

// atOnce is how many reads for users may be under way together: the connections
// are few, and the lead and the log need some at any time.
const atOnce = 3

// New makes a client that sends at most rps requests a second. Renewals of a
// lease are not held back by the budget.
func New(via host.Net, addr string, rps float64) *Client {
	return &Client{http: msgpackhttp.New(via, 8, 8, 2*time.Second), addr: addr, budget: rate.NewLimiter(rate.Limit(rps), max(1, int(rps))),
		users: rate.NewLimiter(rate.Limit(rps/2), max(1, int(rps/4))), slots: make(chan struct{}, atOnce)}
}

// ForUser runs a read that a user's request needs, within the part of the budget
// that users may take. Without it the polls of a moment without a leader use up
// the budget, and the election of the next one waits behind them.
func (c *Client) ForUser(ctx context.Context, within time.Duration, read func(context.Context) error) error {
	ctx, cancel := context.WithTimeout(ctx, within)
	defer cancel()
	if err := c.users.Wait(ctx); err != nil {
		return err
	}
	select {
	case c.slots <- struct{}{}:
	case <-ctx.Done():
		return ctx.Err()
	}
	defer func() { <-c.slots }()
	return read(ctx)
}

func (c *Client) do(ctx context.Context, method, path string, in, out any, timeout time.Duration) error {
	if err := c.budget.Wait(ctx); err != nil {
		return err
	}
	return c.urgent(ctx, method, path, in, out, timeout)
}

func (c *Client) urgent(ctx context.Context, method, path string, in, out any, timeout time.Duration) error {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	return c.http.Do(ctx, method, c.addr, path, in, out, maxAnswer)
}

// Close ends idle connections.
func (c *Client) Close() { c.http.Close() }

// Get reads a key. A missing key is a status error with code 404.
func (c *Client) Get(ctx context.Context, key string) (*wire.Item, error) {
	var it wire.Item
	return &it, c.do(ctx, "GET", wire.PathKeys+"/"+key, nil, &it, 2*time.Second)
}

// Range reads a page of keys.
func (c *Client) Range(ctx context.Context, prefix, after string, limit int) (*wire.Items, error) {
	q := url.Values{"starts": {prefix}, "most": {fmt.Sprint(limit)}}
	if after != "" {
		q.Set("after", after)
	}
	var p wire.Items
	return &p, c.do(ctx, "GET", wire.PathKeys+"?"+q.Encode(), nil, &p, 4*time.Second)
}

// Txn runs a transaction. A failed condition is a status error with code 409.
func (c *Client) Txn(ctx context.Context, t *wire.Txn) (*wire.TxnAnswer, error) {
	var a wire.TxnAnswer
	if err := c.budget.Wait(ctx); err != nil {
		return &a, err
	}
	sent := time.Now()
	err := c.urgent(ctx, "POST", wire.PathTxn, t, &a, 2*time.Second)
	if err == nil || msgpackhttp.Code(err) == http.StatusConflict {
		was := c.writes.Load()
		c.writes.Store(was + (int64(time.Since(sent))-was)*3/10)
	}
	return &a, err
}

// WriteTime is how long the service takes for a transaction. What a transaction waits
// for the budget of this node does not count: that is no reason to write more.
func (c *Client) WriteTime() time.Duration { return time.Duration(c.writes.Load()) }

// Grant asks for a lease.
func (c *Client) Grant(ctx context.Context, ttl time.Duration) (uint64, error) {
	var a wire.LeaseAnswer
	err := c.urgent(ctx, "POST", wire.PathLeases, &wire.LeaseAsk{TTLMillis: ttl.Milliseconds()}, &a, 2*time.Second)
	return a.Lease, err
}

// Renew renews a lease. An ended one is a status error with code 404.
func (c *Client) Renew(ctx context.Context, lease uint64, timeout time.Duration) error {
	return c.urgent(ctx, "POST", fmt.Sprintf("%s/%d/touch", wire.PathLeases, lease), nil, nil, timeout)
}

// Revoke ends a lease at once.
func (c *Client) Revoke(ctx context.Context, lease uint64) error {
	return c.urgent(ctx, "DELETE", fmt.Sprintf("%s/%d", wire.PathLeases, lease), nil, nil, 2*time.Second)
}

// Follow waits for changes under a prefix.
func (c *Client) Follow(ctx context.Context, prefix string, after uint64, hold time.Duration) (*wire.Events, error) {
	q := url.Values{"starts": {prefix}, "after": {fmt.Sprint(after)}, "hold_ms": {fmt.Sprint(hold.Milliseconds())}}
	var e wire.Events
	return &e, c.do(ctx, "GET", wire.PathFollow+"?"+q.Encode(), nil, &e, hold+2*time.Second)
}
