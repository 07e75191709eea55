// Package kvstore is the client of the key-value store, with a budget that bounds this node's share of its request
// rate.
//
// An answer other than 200 comes as a *msgpackhttp.StatusError, wrapped with the operation and the key; an error
// without a status means that the fate of the request is unknown, unless msgpackhttp.IsUnsent.
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

const (
	maxResponseBytes = 8 << 20

	dialTimeout  = 2 * time.Second
	callTimeout  = 2 * time.Second
	rangeTimeout = 4 * time.Second // a page has up to maxResponseBytes
	// maxConns bounds the connections to the store. maxUserReads of them at most carry reads for users: the election
	// and the log need some at any time.
	maxConns     = 8
	maxUserReads = 3
)

// Client talks to the key-value store.
type Client struct {
	transport       *msgpackhttp.Client
	addr            string
	budget          *rate.Limiter
	userBudget      *rate.Limiter // the part of it that reads for users may take
	userSlots       chan struct{} // reads for users in flight
	txnLatencyNanos atomic.Int64  // how long the store takes for a transaction, averaged
}

// New makes a client that sends at most rps requests a second. Requests for leases are not held back by the budget: a
// leader must not lose its lease since it reads much.
func New(network host.Net, addr string, rps float64) *Client {
	return &Client{
		transport:  msgpackhttp.New(network, maxConns, maxConns, dialTimeout),
		addr:       addr,
		budget:     rate.NewLimiter(rate.Limit(rps), max(1, int(rps))),
		userBudget: rate.NewLimiter(rate.Limit(rps/2), max(1, int(rps/4))),
		userSlots:  make(chan struct{}, maxUserReads),
	}
}

// ForUser runs a read that a user's request needs, within the part of the budget that users may take. Without it the
// polls of a moment without a leader use up the budget, and the election of the next one waits behind them.
func (c *Client) ForUser(ctx context.Context, timeout time.Duration, read func(context.Context) error) error {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	if err := c.userBudget.Wait(ctx); err != nil {
		return fmt.Errorf("kvstore: budget of users: %w", err)
	}
	select {
	case c.userSlots <- struct{}{}:
	case <-ctx.Done():
		return ctx.Err()
	}
	defer func() { <-c.userSlots }()
	return read(ctx)
}

// request is one call; what says it in errors.
type request struct {
	what         string
	method, path string
	in, out      any
	timeout      time.Duration
}

// do sends a request within the budget.
func (c *Client) do(ctx context.Context, r request) error {
	if err := c.budget.Wait(ctx); err != nil {
		return fmt.Errorf("kvstore: %s: %w", r.what, err)
	}
	return c.doUnbudgeted(ctx, r)
}

func (c *Client) doUnbudgeted(ctx context.Context, r request) error {
	ctx, cancel := context.WithTimeout(ctx, r.timeout)
	defer cancel()
	if err := c.transport.Do(ctx, r.method, c.addr, r.path, r.in, r.out, maxResponseBytes); err != nil {
		return fmt.Errorf("kvstore: %s: %w", r.what, err)
	}
	return nil
}

// Close ends idle connections.
func (c *Client) Close() { c.transport.Close() }

// Get reads a key. A missing key is a status error with code 404.
func (c *Client) Get(ctx context.Context, key string) (*wire.Item, error) {
	var item wire.Item
	return &item, c.do(ctx, request{
		what: "get " + key, method: http.MethodGet, path: wire.PathKeys + "/" + key, out: &item, timeout: callTimeout,
	})
}

// Range reads a page of the keys with a prefix, those behind after: at most limit, fewer if they are long.
func (c *Client) Range(ctx context.Context, prefix, after string, limit int) (*wire.Items, error) {
	query := url.Values{"starts": {prefix}, "most": {fmt.Sprint(limit)}}
	if after != "" {
		query.Set("after", after)
	}
	var page wire.Items
	return &page, c.do(ctx, request{
		what: "range " + prefix, method: http.MethodGet, path: wire.PathKeys + "?" + query.Encode(), out: &page,
		timeout: rangeTimeout,
	})
}

// Txn runs a transaction. A failed condition is a status error with code 409.
func (c *Client) Txn(ctx context.Context, txn *wire.Txn) (*wire.TxnResponse, error) {
	var answer wire.TxnResponse
	if err := c.budget.Wait(ctx); err != nil {
		return &answer, fmt.Errorf("kvstore: transaction: %w", err)
	}
	sent := time.Now()
	err := c.doUnbudgeted(ctx, request{
		what: "transaction", method: http.MethodPost, path: wire.PathTxn, in: txn, out: &answer, timeout: callTimeout,
	})
	if err == nil || msgpackhttp.StatusCode(err) == http.StatusConflict {
		previous := c.txnLatencyNanos.Load()
		c.txnLatencyNanos.Store(previous + (int64(time.Since(sent))-previous)*3/10)
	}
	return &answer, err
}

// TxnLatency is how long the store takes for a transaction. What a transaction waits for the budget of this node does
// not count: that is no reason to write more.
func (c *Client) TxnLatency() time.Duration { return time.Duration(c.txnLatencyNanos.Load()) }

// Grant asks for a lease.
func (c *Client) Grant(ctx context.Context, ttl time.Duration) (uint64, error) {
	var answer wire.LeaseResponse
	err := c.doUnbudgeted(ctx, request{
		what: "grant a lease", method: http.MethodPost, path: wire.PathLeases,
		in: &wire.LeaseRequest{TTLMillis: ttl.Milliseconds()}, out: &answer, timeout: callTimeout,
	})
	return answer.Lease, err
}

// Renew renews a lease. An ended one is a status error with code 404.
func (c *Client) Renew(ctx context.Context, lease uint64, timeout time.Duration) error {
	return c.doUnbudgeted(ctx, request{
		what: fmt.Sprintf("renew lease %d", lease), method: http.MethodPost,
		path: fmt.Sprintf("%s/%d/touch", wire.PathLeases, lease), timeout: timeout,
	})
}

// Revoke ends a lease at once.
func (c *Client) Revoke(ctx context.Context, lease uint64) error {
	return c.doUnbudgeted(ctx, request{
		what: fmt.Sprintf("revoke lease %d", lease), method: http.MethodDelete,
		path: fmt.Sprintf("%s/%d", wire.PathLeases, lease), timeout: callTimeout,
	})
}

// Follow waits up to hold for changes under a prefix after a revision. A status error with code 410 means that the
// store does not have them any more.
func (c *Client) Follow(ctx context.Context, prefix string, after uint64, hold time.Duration) (*wire.Events, error) {
	query := url.Values{"starts": {prefix}, "after": {fmt.Sprint(after)}, "hold_ms": {fmt.Sprint(hold.Milliseconds())}}
	var events wire.Events
	return &events, c.do(ctx, request{
		what: "follow " + prefix, method: http.MethodGet, path: wire.PathWatch + "?" + query.Encode(), out: &events,
		timeout: hold + callTimeout,
	})
}
