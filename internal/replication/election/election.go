// Package election elects one leader by a lease in the key-value store.
//
// The leader key is attached to the lease, so it is deleted when the lease ends; the node that creates it leads. The
// lease can't end earlier than its time after the last renewal reached the store, which is not before the renewal was
// sent; so a leader may trust its own monotonic clock until that long after sending, less the drift of two clocks,
// and needs no answer of another node.
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
	// leaseTTL is the time of the lease. A failover waits for its end, so it is short; several renewals fit in, so
	// that a slow answer does not cost the leadership.
	leaseTTL      = 3000 * time.Millisecond
	renewInterval = 600 * time.Millisecond
	renewTimeout  = 1500 * time.Millisecond
	// maxClockDriftDivisor is by how much two clocks may differ, as one part in so many, and trustMargin what is left
	// beside that for the scheduling of this process.
	maxClockDriftDivisor = 500
	trustMargin          = 20 * time.Millisecond
)

// TrustPeriod is how long after sending a renewal the lease surely lasts.
const TrustPeriod = leaseTTL - leaseTTL/maxClockDriftDivisor - trustMargin

// ErrTaken says that another node holds the key.
var ErrTaken = errors.New("the key is taken")

// Leadership is one term of this node as leader.
type Leadership struct {
	oplog.Leader
	TrustedUntil time.Time // trusted until here without a further renewal
}

// Acquire tries to become the leader, once. The error is ErrTaken if another node is.
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

// readTerm reads the number of the last term, and the version of its key; both are 0 before the first.
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
		return 0, 0, fmt.Errorf("election: read %s: %w", oplog.KeyTerm, err)
	}
	return value.Term, item.Version, nil
}

// AcquireKey tries once to make a key that hangs on a lease of its own: the leader's, or that of a singleton role.
// makeTxn gives the transaction that makes it, whose value names the node and the lease. It returns the key's
// version. The lease may be trusted for its time from before the call. The error is ErrTaken if another node holds
// the key.
func AcquireKey(
	ctx context.Context,
	store *kvstore.Client,
	ttl time.Duration,
	key, node string,
	makeTxn func(lease uint64) *wire.Txn,
	logger *slog.Logger,
) (lease, version uint64, err error) {
	if lease, err = store.Grant(ctx, ttl); err != nil {
		return 0, 0, fmt.Errorf("election: lease for %s: %w", key, err)
	}
	answer, err := store.Txn(ctx, makeTxn(lease))
	if err == nil {
		return lease, answer.Revision, nil
	}
	switch msgpackhttp.StatusCode(err) {
	case http.StatusConflict, http.StatusBadRequest, http.StatusTooManyRequests:
		_ = store.Revoke(ctx, lease) // a courtesy: it ends by itself anyway
		return 0, 0, fmt.Errorf("election: acquire %s: %w", key, ErrTaken)
	}
	// No answer, or one that says nothing: the transaction may have been applied, or may be later. The key says so;
	// if it is not there, ending the lease makes sure that a late copy is refused.
	logger.Debug("key acquisition outcome unknown", "key", key, "err", err)
	if version, ok := heldVersion(ctx, store, key, node, lease); ok {
		return lease, version, nil
	}
	_ = store.Revoke(ctx, lease)
	return 0, 0, fmt.Errorf("election: acquire %s: %w", key, err)
}

// heldVersion reads the version of a key, if this node holds it under a lease.
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

// RenewUntilLost renews the lease until the context ends or the lease is over, then with oplog.ErrDeposed. It calls
// onRenewed with the time until which the leadership may be trusted.
func RenewUntilLost(
	ctx context.Context, store *kvstore.Client, leadership *Leadership, onRenewed func(until time.Time),
) error {
	ticker := time.NewTicker(renewInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
		}
		sent := time.Now()
		err := store.Renew(ctx, leadership.Lease, renewTimeout)
		switch {
		case err == nil:
			onRenewed(sent.Add(TrustPeriod))
		case msgpackhttp.StatusCode(err) == http.StatusNotFound:
			return fmt.Errorf("election: lease of term %d ended: %w", leadership.Term, oplog.ErrDeposed)
		}
	}
}
