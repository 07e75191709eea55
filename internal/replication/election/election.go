// Package election elects a leader by means of a lease in the key-value store.
//
// The leader key is attached to the lease, so it is deleted when the lease ends; the node that creates the key leads.
// The lease lasts at least its TTL from the time at which the last renewal reached the store, which is not before the
// renewal was sent. So a leader may act for the TTL after sending a successful renewal, as measured by its own
// monotonic clock, less the maximum drift between two clocks, without asking another node.
package election

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net/http"
	"time"

	"fieldhill/internal/platform/kvstore"
	"fieldhill/internal/platform/msgpackhttp"
	"fieldhill/internal/replication/oplog"
	"fieldhill/wire"
)

const (
	// leaseTTL is short because a failover waits for the lease to end. Several renewals fit into it, so that a slow
	// response does not end the leadership.
	leaseTTL      = 3000 * time.Millisecond
	renewInterval = 600 * time.Millisecond
	renewTimeout  = 1500 * time.Millisecond
	// maxClockDriftDivisor is the reciprocal of the maximum drift between two clocks; trustMargin is an additional
	// margin for scheduling delays of this process.
	maxClockDriftDivisor = 500
	trustMargin          = 20 * time.Millisecond
)

// TrustPeriod is how long after sending a successful renewal the lease is guaranteed to last.
const TrustPeriod = leaseTTL - leaseTTL/maxClockDriftDivisor - trustMargin

// ErrTaken means that the store refused to create the key that was to be acquired, for example because another node
// holds the key.
var ErrTaken = errors.New("key is held by another node")

// Leadership is one term of this node as leader.
type Leadership struct {
	oplog.Leader
	TrustedUntil time.Time // until when the lease is guaranteed to last without a further renewal
}

// Acquire tries once to become the leader of a new term. The error wraps ErrTaken if the store refused the write of the
// leader key, for example because another node leads.
func Acquire(ctx context.Context, store *kvstore.Client, node string, logger *slog.Logger) (*Leadership, error) {
	term, termVersion, err := readTerm(ctx, store)
	if err != nil {
		return nil, err
	}
	term++
	sent := time.Now()
	lease, version, err := AcquireKey(ctx, store, leaseTTL, oplog.KeyLeader, node, func(lease uint64) *wire.Txn {
		leader := &wire.LogValue{Version: oplog.FormatVersion, Term: term, Node: node, Lease: lease}
		return &wire.Txn{
			If: []wire.Condition{{Key: oplog.KeyLeader}, {Key: oplog.KeyTerm, Version: termVersion}},
			Then: []wire.Write{
				{Put: oplog.KeyTerm, Value: &wire.LogValue{Version: oplog.FormatVersion, Term: term}},
				{Put: oplog.KeyLeader, Lease: lease, Value: leader},
			},
		}
	}, logger)
	if err != nil {
		return nil, err
	}
	return &Leadership{
		Leader:       oplog.Leader{Node: node, Term: term, Lease: lease, Version: version},
		TrustedUntil: sent.Add(TrustPeriod),
	}, nil
}

// readTerm reads the number of the latest term and the version of its key; both are 0 before the first term.
func readTerm(ctx context.Context, store *kvstore.Client) (term, version uint64, err error) {
	item, err := store.Get(ctx, oplog.KeyTerm)
	if msgpackhttp.StatusCode(err) == http.StatusNotFound {
		return 0, 0, nil
	}
	if err != nil {
		return 0, 0, fmt.Errorf("election: read %s: %w", oplog.KeyTerm, err)
	}
	var value wire.LogValue
	if err := wire.Unmarshal(item.Value, &value); err != nil {
		return 0, 0, fmt.Errorf("election: decode %s: %w", oplog.KeyTerm, err)
	}
	return value.Term, item.Version, nil
}

// AcquireKey tries once to create a key attached to a lease of its own: the leader key, or that of a singleton role.
// makeTxn returns the transaction that creates the key with a value that names the node and the lease. AcquireKey
// returns the lease and the key's version. The lease lasts at least its TTL from the time of the call. The error wraps
// ErrTaken if the store refused the transaction, for example because another node holds the key.
func AcquireKey(
	ctx context.Context,
	store *kvstore.Client,
	ttl time.Duration,
	key, node string,
	makeTxn func(lease uint64) *wire.Txn,
	logger *slog.Logger,
) (lease, version uint64, err error) {
	if lease, err = store.Grant(ctx, ttl); err != nil {
		return 0, 0, fmt.Errorf("election: grant lease for %s: %w", key, err)
	}
	response, err := store.Txn(ctx, makeTxn(lease))
	if err == nil {
		return lease, response.Revision, nil
	}
	switch msgpackhttp.StatusCode(err) {
	case http.StatusConflict, http.StatusBadRequest, http.StatusTooManyRequests:
		_ = store.Revoke(ctx, lease) // best effort: without renewals the lease expires anyway
		return 0, 0, fmt.Errorf("election: acquire %s: %w", key, ErrTaken)
	}
	// Without a conclusive response the transaction may have been applied, or may be applied later. The state of the
	// key shows which. If the key is absent, revoking the lease ensures that the store refuses a copy of the
	// transaction that arrives late.
	logger.Debug("key acquisition outcome unknown", "key", key, "err", err)
	if version, ok := heldVersion(ctx, store, key, node, lease); ok {
		return lease, version, nil
	}
	_ = store.Revoke(ctx, lease)
	return 0, 0, fmt.Errorf("election: acquire %s: %w", key, err)
}

// heldVersion returns the version of a key if this node holds the key under the given lease; ok is false if it does
// not, or if the key can't be read or decoded.
func heldVersion(ctx context.Context, store *kvstore.Client, key, node string, lease uint64) (version uint64, ok bool) {
	item, err := store.Get(ctx, key)
	if err != nil {
		return 0, false
	}
	var value wire.LogValue
	if err := wire.Unmarshal(item.Value, &value); err != nil || value.Lease != lease || value.Node != node {
		return 0, false
	}
	return item.Version, true
}

// ErrStalled means that a leader no longer renews its lease because it makes no progress.
var ErrStalled = errors.New("leader makes no progress")

// RenewUntilLost renews the lease of a leadership until the context ends, until the lease has ended, in which case the
// error wraps oplog.ErrDeposed, or until inProgress returns false, in which case the error wraps ErrStalled. After
// every successful renewal, RenewUntilLost calls onRenewed with the time until which the lease is guaranteed to last.
func RenewUntilLost(
	ctx context.Context,
	store *kvstore.Client,
	leadership *Leadership,
	inProgress func() bool,
	onRenewed func(until time.Time),
) error {
	ticker := time.NewTicker(renewInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
		}
		if !inProgress() {
			return fmt.Errorf("election: renew lease of term %d: %w", leadership.Term, ErrStalled)
		}
		sent := time.Now()
		err := store.Renew(ctx, leadership.Lease, renewTimeout)
		switch {
		case err == nil:
			onRenewed(sent.Add(TrustPeriod))
		case msgpackhttp.StatusCode(err) == http.StatusNotFound:
			return fmt.Errorf("election: renew lease of term %d: lease ended: %w", leadership.Term, oplog.ErrDeposed)
		}
	}
}
