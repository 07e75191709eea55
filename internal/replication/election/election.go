// Package lead elects one leader by a lease in the state service.
//
// The leader key is attached to the lease, so it disappears when the lease ends;
// who creates it leads. The lease can't end earlier than its time after the last
// renewal reached the service, which is not before the renewal was sent; so a
// leader may trust its own steady clock until that long after sending, less the
// drift of two clocks, and needs nobody's word.
package election

import (
	"context"
	"errors"
	"log/slog"
	"time"

	"fieldhill/internal/platform/kvstore"
	"fieldhill/internal/platform/msgpackhttp"
	"fieldhill/internal/replication/oplog"
	"fieldhill/wire"
)

const (
	// leaseTTL is the lease's time. A takeover waits for its end, so it is short;
	// several renewals fit in, so that a slow answer does not cost the lead.
	leaseTTL      = 3000 * time.Millisecond
	renewInterval = 600 * time.Millisecond
)

// TrustPeriod is how long after sending a renewal the lease surely lasts.
const TrustPeriod = leaseTTL - leaseTTL/500 - 20*time.Millisecond

// ErrTaken says that another node has the key, or leads.
var ErrTaken = errors.New("lead: another node has it")

// Leadership is a leadership.
type Leadership struct {
	oplog.Leader
	TrustedUntil time.Time // trusted until here without a further renewal
}

// Acquire tries to become the leader, once.
func Acquire(ctx context.Context, store *kvstore.Client, node string, logger *slog.Logger) (*Leadership, error) {
	var term, termVersion uint64
	item, err := store.Get(ctx, oplog.KeyTerm)
	switch {
	case err == nil:
		var value wire.LogValue
		if err := wire.Unmarshal(item.Value, &value); err != nil {
			return nil, err
		}
		term, termVersion = value.Term, item.Version
	case msgpackhttp.StatusCode(err) != 404:
		return nil, err
	}
	term++
	sent := time.Now()
	lease, version, err := AcquireKey(ctx, store, leaseTTL, oplog.KeyLeader, node, func(lease uint64) *wire.Txn {
		return &wire.Txn{
			If: []wire.Condition{{Key: oplog.KeyLeader}, {Key: oplog.KeyTerm, Version: termVersion}},
			Then: []wire.Write{
				{Put: oplog.KeyTerm, Value: &wire.LogValue{Version: 1, Term: term}},
				{
					Put:   oplog.KeyLeader,
					Lease: lease,
					Value: &wire.LogValue{Version: 1, Term: term, Node: node, Lease: lease},
				},
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

// AcquireKey tries once to make a key that hangs on a lease of its own: the leader's, or that of a duty. txn gives the
// transaction that makes it, whose value names the node and the lease. It returns the key's version. The lease may be
// trusted for its time from before the call.
func AcquireKey(
	ctx context.Context,
	store *kvstore.Client,
	ttl time.Duration,
	key, node string,
	makeTxn func(lease uint64) *wire.Txn,
	logger *slog.Logger,
) (lease, version uint64, err error) {
	if lease, err = store.Grant(ctx, ttl); err != nil {
		return 0, 0, err
	}
	answer, err := store.Txn(ctx, makeTxn(lease))
	if err == nil {
		return lease, answer.Revision, nil
	}
	if code := msgpackhttp.StatusCode(err); code == 409 || code == 400 || code == 429 {
		_ = store.Revoke(ctx, lease) // a courtesy: it ends by itself anyway
		return 0, 0, ErrTaken
	}
	// No answer, or one that says nothing: the transaction may have been
	// applied, or may be later. The key says so; if it is not there, ending the
	// lease makes sure that a late copy is refused.
	logger.Debug("key acquisition outcome unknown", "key", key, "err", err)
	item, getErr := store.Get(ctx, key)
	if getErr == nil {
		var value wire.LogValue
		if wire.Unmarshal(item.Value, &value) == nil && value.Lease == lease && value.Node == node {
			return lease, item.Version, nil
		}
	}
	_ = store.Revoke(ctx, lease)
	return 0, 0, err
}

// RenewUntilLost renews the lease until the context ends or the lease is over, calling
// renewed with the time until which the lead may be trusted.
func RenewUntilLost(
	ctx context.Context,
	store *kvstore.Client,
	leadership *Leadership,
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
		sent := time.Now()
		err := store.Renew(ctx, leadership.Lease, 1500*time.Millisecond)
		switch code := msgpackhttp.StatusCode(err); {
		case err == nil:
			onRenewed(sent.Add(TrustPeriod))
		case code == 404:
			return oplog.ErrDeposed
		}
	}
}
