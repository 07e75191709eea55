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

const maxResponseBytes = 8 << 20

// Client talks to the state service.
type Client struct {
	transport       *msgpackhttp.Client
	addr            string
	budget          *rate.Limiter
	userBudget      *rate.Limiter
	userSlots       chan struct{}
	txnLatencyNanos atomic.Int64 // how long the service takes for a transaction, averaged
}

// maxUserReads is how many reads for users may be under way together: the connections
// are few, and the lead and the log need some at any time.
const maxUserReads = 3

// New makes a client that sends at most rps requests a second. Renewals of a
// lease are not held back by the budget.
func New(network host.Net, addr string, rps float64) *Client {
	return &Client{
		transport: msgpackhttp.New(network, 8, 8, 2*time.Second),
		addr:      addr,
		budget:    rate.NewLimiter(rate.Limit(rps), max(1, int(rps))),
		userBudget: rate.NewLimiter(
			rate.Limit(rps/2),
			max(1, int(rps/4)),
		),
		userSlots: make(chan struct{}, maxUserReads),
	}
}

// ForUser runs a read that a user's request needs, within the part of the budget
// that users may take. Without it the polls of a moment without a leader use up
// the budget, and the election of the next one waits behind them.
func (c *Client) ForUser(ctx context.Context, timeout time.Duration, read func(context.Context) error) error {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	if err := c.userBudget.Wait(ctx); err != nil {
		return err
	}
	select {
	case c.userSlots <- struct{}{}:
	case <-ctx.Done():
		return ctx.Err()
	}
	defer func() { <-c.userSlots }()
	return read(ctx)
}

func (c *Client) do(ctx context.Context, method, path string, in, out any, timeout time.Duration) error {
	if err := c.budget.Wait(ctx); err != nil {
		return err
	}
	return c.doUnbudgeted(ctx, method, path, in, out, timeout)
}

func (c *Client) doUnbudgeted(ctx context.Context, method, path string, in, out any, timeout time.Duration) error {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	return c.transport.Do(ctx, method, c.addr, path, in, out, maxResponseBytes)
}

// Close ends idle connections.
func (c *Client) Close() { c.transport.Close() }

// Get reads a key. A missing key is a status error with code 404.
func (c *Client) Get(ctx context.Context, key string) (*wire.Item, error) {
	var item wire.Item
	return &item, c.do(ctx, "GET", wire.PathKeys+"/"+key, nil, &item, 2*time.Second)
}

// Range reads a page of keys.
func (c *Client) Range(ctx context.Context, prefix, after string, limit int) (*wire.Items, error) {
	query := url.Values{"starts": {prefix}, "most": {fmt.Sprint(limit)}}
	if after != "" {
		query.Set("after", after)
	}
	var page wire.Items
	return &page, c.do(ctx, "GET", wire.PathKeys+"?"+query.Encode(), nil, &page, 4*time.Second)
}

// Txn runs a transaction. A failed condition is a status error with code 409.
func (c *Client) Txn(ctx context.Context, txn *wire.Txn) (*wire.TxnResponse, error) {
	var answer wire.TxnResponse
	if err := c.budget.Wait(ctx); err != nil {
		return &answer, err
	}
	sent := time.Now()
	err := c.doUnbudgeted(ctx, "POST", wire.PathTxn, txn, &answer, 2*time.Second)
	if err == nil || msgpackhttp.StatusCode(err) == http.StatusConflict {
		previous := c.txnLatencyNanos.Load()
		c.txnLatencyNanos.Store(previous + (int64(time.Since(sent))-previous)*3/10)
	}
	return &answer, err
}

// TxnLatency is how long the service takes for a transaction. What a transaction waits
// for the budget of this node does not count: that is no reason to write more.
func (c *Client) TxnLatency() time.Duration { return time.Duration(c.txnLatencyNanos.Load()) }

// Grant asks for a lease.
func (c *Client) Grant(ctx context.Context, ttl time.Duration) (uint64, error) {
	var answer wire.LeaseResponse
	err := c.doUnbudgeted(
		ctx,
		"POST",
		wire.PathLeases,
		&wire.LeaseRequest{TTLMillis: ttl.Milliseconds()},
		&answer,
		2*time.Second,
	)
	return answer.Lease, err
}

// Renew renews a lease. An ended one is a status error with code 404.
func (c *Client) Renew(ctx context.Context, lease uint64, timeout time.Duration) error {
	return c.doUnbudgeted(ctx, "POST", fmt.Sprintf("%s/%d/touch", wire.PathLeases, lease), nil, nil, timeout)
}

// Revoke ends a lease at once.
func (c *Client) Revoke(ctx context.Context, lease uint64) error {
	return c.doUnbudgeted(ctx, "DELETE", fmt.Sprintf("%s/%d", wire.PathLeases, lease), nil, nil, 2*time.Second)
}

// Follow waits for changes under a prefix.
func (c *Client) Follow(ctx context.Context, prefix string, after uint64, hold time.Duration) (*wire.Events, error) {
	query := url.Values{"starts": {prefix}, "after": {fmt.Sprint(after)}, "hold_ms": {fmt.Sprint(hold.Milliseconds())}}
	var events wire.Events
	return &events, c.do(ctx, "GET", wire.PathWatch+"?"+query.Encode(), nil, &events, hold+2*time.Second)
}
