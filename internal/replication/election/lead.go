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
	// ttl is the lease's time. A takeover waits for its end, so it is short;
	// several renewals fit in, so that a slow answer does not cost the lead.
	ttl   = 3000 * time.Millisecond
	every = 600 * time.Millisecond
)

// Trust is how long after sending a renewal the lease surely lasts.
const Trust = ttl - ttl/500 - 20*time.Millisecond

// ErrTaken says that another node has the key, or leads.
var ErrTaken = errors.New("lead: another node has it")

// Won is a leadership.
type Won struct {
	oplog.Leader
	Until time.Time // trusted until here without a further renewal
}

// Acquire tries to become the leader, once.
func Acquire(ctx context.Context, svc *kvstore.Client, node string, logger *slog.Logger) (*Won, error) {
	var term, termVer uint64
	it, err := svc.Get(ctx, oplog.KeyTerm)
	switch {
	case err == nil:
		var v wire.LogValue
		if err := wire.Unmarshal(it.Value, &v); err != nil {
			return nil, err
		}
		term, termVer = v.Term, it.Version
	case msgpackhttp.Code(err) != 404:
		return nil, err
	}
	term++
	sent := time.Now()
	lease, version, err := Take(ctx, svc, ttl, oplog.KeyLeader, node, func(lease uint64) *wire.Txn {
		return &wire.Txn{
			If: []wire.Guard{{Key: oplog.KeyLeader}, {Key: oplog.KeyTerm, Version: termVer}},
			Then: []wire.Write{
				{Put: oplog.KeyTerm, Value: &wire.LogValue{Version: 1, Term: term}},
				{Put: oplog.KeyLeader, Lease: lease, Value: &wire.LogValue{Version: 1, Term: term, Node: node, Lease: lease}},
			},
		}
	}, logger)
	if err != nil {
		return nil, err
	}
	return &Won{Leader: oplog.Leader{Node: node, Term: term, Lease: lease, Version: version}, Until: sent.Add(Trust)}, nil
}

// Take tries once to make a key that hangs on a lease of its own: the leader's, or that of a duty. txn gives the
// transaction that makes it, whose value names the node and the lease. It returns the key's version. The lease may be
// trusted for its time from before the call.
func Take(ctx context.Context, svc *kvstore.Client, ttl time.Duration, key, node string, txn func(lease uint64) *wire.Txn, logger *slog.Logger) (lease, version uint64, err error) {
	if lease, err = svc.Grant(ctx, ttl); err != nil {
		return 0, 0, err
	}
	ans, err := svc.Txn(ctx, txn(lease))
	if err == nil {
		return lease, ans.Revision, nil
	}
	if code := msgpackhttp.Code(err); code == 409 || code == 400 || code == 429 {
		_ = svc.Revoke(ctx, lease) // a courtesy: it ends by itself anyway
		return 0, 0, ErrTaken
	}
	// No answer, or one that says nothing: the transaction may have been
	// applied, or may be later. The key says so; if it is not there, ending the
	// lease makes sure that a late copy is refused.
	logger.Debug("taking a key without a result", "key", key, "err", err)
	it, gerr := svc.Get(ctx, key)
	if gerr == nil {
		var v wire.LogValue
		if wire.Unmarshal(it.Value, &v) == nil && v.Lease == lease && v.Node == node {
			return lease, it.Version, nil
		}
	}
	_ = svc.Revoke(ctx, lease)
	return 0, 0, err
}

// Keep renews the lease until the context ends or the lease is over, calling
// renewed with the time until which the lead may be trusted.
func Keep(ctx context.Context, svc *kvstore.Client, won *Won, renewed func(until time.Time)) error {
	tick := time.NewTicker(every)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-tick.C:
		}
		sent := time.Now()
		err := svc.Renew(ctx, won.Lease, 1500*time.Millisecond)
		switch code := msgpackhttp.Code(err); {
		case err == nil:
			renewed(sent.Add(Trust))
		case code == 404:
			return oplog.ErrDeposed
		}
	}
}
