// Package kvstore is the client of the key-value store. It limits this node to its share of the store's request rate.
//
// A response with a status other than 200 is returned as a *msgpackhttp.StatusError, wrapped in an error that names the
// operation and its key, prefix or lease, if it has one. After an error without a status, the outcome of the request is
// unknown, unless msgpackhttp.IsUnsent reports true.
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
	rangeTimeout = 4 * time.Second // longer, since a page has up to maxResponseBytes
	// maxConns bounds the connections to the store, and maxUserReads those in use for user requests: some must be free
	// for the election and the log at any time.
	maxConns     = 8
	maxUserReads = 3
)

// Client sends requests to the key-value store, within a budget of requests per second.
type Client struct {
	transport       *msgpackhttp.Client
	addr            string
	budget          *rate.Limiter
	userBudget      *rate.Limiter // additional limit for user requests, which use budget too
	userSlots       chan struct{} // holds an element for each read for a user request in flight
	txnLatencyNanos atomic.Int64  // moving average of the latency of transactions
}

// New returns a client that sends at most rps requests per second. Lease requests are exempt from the budget, so that a
// leader does not lose its lease because of many other requests.
func New(network host.Net, addr string, rps float64) *Client {
	return &Client{
		transport:  msgpackhttp.New(network, maxConns, maxConns, dialTimeout),
		addr:       addr,
		budget:     rate.NewLimiter(rate.Limit(rps), max(1, int(rps))),
		userBudget: rate.NewLimiter(rate.Limit(rps/2), max(1, int(rps/4))),
		userSlots:  make(chan struct{}, maxUserReads),
	}
}

// ForUser runs a read on behalf of a user request, within the part of the budget that is available to users. Without
// this limit, users that poll while there is no leader could exhaust the budget and delay the next election.
func (c *Client) ForUser(ctx context.Context, timeout time.Duration, read func(context.Context) error) error {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	if err := c.userBudget.Wait(ctx); err != nil {
		return fmt.Errorf("kvstore: wait for request budget of users: %w", err)
	}
	select {
	case c.userSlots <- struct{}{}:
	case <-ctx.Done():
		return ctx.Err()
	}
	defer func() { <-c.userSlots }()
	return read(ctx)
}

// request holds the parameters of an HTTP request to the key-value store. Errors name the request by its operation.
type request struct {
	operation    string
	method, path string
	in, out      any
	timeout      time.Duration
}

// do waits until the budget permits a request, and sends the request.
func (c *Client) do(ctx context.Context, r request) error {
	if err := c.budget.Wait(ctx); err != nil {
		return fmt.Errorf("kvstore: %s: wait for request budget: %w", r.operation, err)
	}
	return c.doUnbudgeted(ctx, r)
}

func (c *Client) doUnbudgeted(ctx context.Context, r request) error {
	ctx, cancel := context.WithTimeout(ctx, r.timeout)
	defer cancel()
	if err := c.transport.Do(ctx, r.method, c.addr, r.path, r.in, r.out, maxResponseBytes); err != nil {
		return fmt.Errorf("kvstore: %s: %w", r.operation, err)
	}
	return nil
}

// Close closes idle connections.
func (c *Client) Close() { c.transport.Close() }

// Get reads a key. A missing key results in a status error with code 404.
func (c *Client) Get(ctx context.Context, key string) (*wire.Item, error) {
	var item wire.Item
	return &item, c.do(ctx, request{
		operation: "get " + key, method: http.MethodGet, path: wire.PathKeys + "/" + key, out: &item,
		timeout: callTimeout,
	})
}

// Range reads a page of the items whose keys have the given prefix and sort after the key named by after. The page has
// at most limit items, and fewer if they are large.
func (c *Client) Range(ctx context.Context, prefix, after string, limit int) (*wire.Items, error) {
	query := url.Values{"starts": {prefix}, "most": {fmt.Sprint(limit)}}
	if after != "" {
		query.Set("after", after)
	}
	var page wire.Items
	return &page, c.do(ctx, request{
		operation: "range " + prefix, method: http.MethodGet, path: wire.PathKeys + "?" + query.Encode(), out: &page,
		timeout: rangeTimeout,
	})
}

// Txn executes a transaction. A failed condition results in a status error with code 409.
func (c *Client) Txn(ctx context.Context, txn *wire.Txn) (*wire.TxnResponse, error) {
	var response wire.TxnResponse
	if err := c.budget.Wait(ctx); err != nil {
		return &response, fmt.Errorf("kvstore: transaction: wait for request budget: %w", err)
	}
	sent := time.Now()
	err := c.doUnbudgeted(ctx, request{
		operation: "transaction", method: http.MethodPost, path: wire.PathTxn, in: txn, out: &response,
		timeout: callTimeout,
	})
	if err == nil || msgpackhttp.StatusCode(err) == http.StatusConflict {
		previous := c.txnLatencyNanos.Load()
		c.txnLatencyNanos.Store(previous + (int64(time.Since(sent))-previous)*3/10)
	}
	return &response, err
}

// TxnLatency returns a moving average of the store's response time to transactions. It excludes the wait for the budget
// of this node: callers send additional writes while the store is slow, and an exhausted budget must not cause such
// writes.
func (c *Client) TxnLatency() time.Duration { return time.Duration(c.txnLatencyNanos.Load()) }

// Grant creates a lease and returns its ID.
func (c *Client) Grant(ctx context.Context, ttl time.Duration) (uint64, error) {
	var response wire.LeaseResponse
	err := c.doUnbudgeted(ctx, request{
		operation: "grant a lease", method: http.MethodPost, path: wire.PathLeases,
		in: &wire.LeaseRequest{TTLMillis: ttl.Milliseconds()}, out: &response, timeout: callTimeout,
	})
	return response.Lease, err
}

// Renew renews a lease. An expired lease results in a status error with code 404.
func (c *Client) Renew(ctx context.Context, lease uint64, timeout time.Duration) error {
	return c.doUnbudgeted(ctx, request{
		operation: fmt.Sprintf("renew lease %d", lease), method: http.MethodPost,
		path: fmt.Sprintf("%s/%d/touch", wire.PathLeases, lease), timeout: timeout,
	})
}

// Revoke ends a lease immediately.
func (c *Client) Revoke(ctx context.Context, lease uint64) error {
	return c.doUnbudgeted(ctx, request{
		operation: fmt.Sprintf("revoke lease %d", lease), method: http.MethodDelete,
		path: fmt.Sprintf("%s/%d", wire.PathLeases, lease), timeout: callTimeout,
	})
}

// Watch returns the changes of keys with a prefix that were made after the given revision. If there are none, it waits
// for one for up to hold. A status error with code 410 means that the store no longer has all changes after that
// revision.
func (c *Client) Watch(ctx context.Context, prefix string, after uint64, hold time.Duration) (*wire.Events, error) {
	query := url.Values{"starts": {prefix}, "after": {fmt.Sprint(after)}, "hold_ms": {fmt.Sprint(hold.Milliseconds())}}
	var events wire.Events
	return &events, c.do(ctx, request{
		operation: "follow " + prefix, method: http.MethodGet, path: wire.PathWatch + "?" + query.Encode(),
		out: &events, timeout: hold + callTimeout,
	})
}
