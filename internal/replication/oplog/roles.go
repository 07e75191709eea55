package oplog

import (
	"context"
	"log/slog"
	"strings"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"fieldhill/wire"
)

// The keys of duties. Who holds one: held/DUTY, on a lease. How many holders in a row got nowhere: stuck/DUTY. Which
// nodes know of duties and take part: part/NODE, for good; a node without one is an older one, or was started
// without.
const (
	prefixRole        = prefix + "duty/"
	prefixHolder      = prefixRole + "held/"
	prefixStalled     = prefixRole + "stuck/"
	prefixParticipant = prefixRole + "part/"
)

// RoleKey is the key of who holds a duty.
func RoleKey(role string) string { return prefixHolder + role }

// RoleUpdate is a change of a key of duties, or that there is none.
type RoleUpdate struct {
	HeldRole, StalledRole, Participant string // one of them: the duty, or the node
	Deleted                            bool
	Node                               string // who holds it
	Term, Lease                        uint64 // the number of the change; on which lease the key hangs
	Count                              int
}

func decodeRoleUpdate(key string, raw msgpack.RawMessage, version uint64, deleted bool) (update RoleUpdate, ok bool) {
	update.Term, update.Deleted = version, deleted
	switch {
	case strings.HasPrefix(key, prefixHolder):
		update.HeldRole = key[len(prefixHolder):]
	case strings.HasPrefix(key, prefixStalled):
		update.StalledRole = key[len(prefixStalled):]
	case strings.HasPrefix(key, prefixParticipant):
		update.Participant = key[len(prefixParticipant):]
	default:
		return update, false
	}
	if !deleted {
		value, _, err := decodeValue(raw)
		if err != nil {
			return update, false
		}
		update.Node, update.Lease, update.Count = value.Node, value.Lease, value.Count
	}
	return update, true
}

// Roles reads all of their keys, and the number of the change up to which that is.
func (l *Log) Roles(ctx context.Context) (list []RoleUpdate, revision uint64, err error) {
	revision, err = l.rangeAll(ctx, prefixRole, "", func(it *wire.Item) error {
		if n, ok := decodeRoleUpdate(it.Key, it.Value, it.Version, false); ok {
			list = append(list, n)
		}
		return nil
	})
	if err != nil {
		return nil, 0, err
	}
	return list, revision, nil
}

// FollowRoles waits for changes after one.
func (l *Log) FollowRoles(
	ctx context.Context,
	after uint64,
	hold time.Duration,
) (list []RoleUpdate, revision uint64, err error) {
	changes, err := l.store.Follow(ctx, prefixRole, after, hold)
	if err != nil {
		return nil, 0, err
	}
	for _, e := range changes.Events {
		key, deleted := e.Put, false
		if key == "" {
			key, deleted = e.Delete, true
		}
		if n, ok := decodeRoleUpdate(key, e.Value, e.Version, deleted); ok {
			list = append(list, n)
		}
	}
	return list, max(after, changes.Revision), nil
}

// AcquireRoleTxn is the transaction that makes the key of who holds a duty, if there is none.
func AcquireRoleTxn(role, node string, lease uint64) *wire.Txn {
	key := RoleKey(role)
	return &wire.Txn{
		If: []wire.Condition{{Key: key}},
		Then: []wire.Write{
			{Put: key, Lease: lease, Value: &wire.LogValue{Version: formatVersion, Node: node, Lease: lease}},
		},
	}
}

// PutStalledHolders writes how many holders of a duty in a row got nowhere, if this one still holds it.
func (l *Log) PutStalledHolders(ctx context.Context, role string, term uint64, holders int) error {
	_, err := l.store.Txn(ctx, &wire.Txn{If: []wire.Condition{{Key: RoleKey(role), Version: term}},
		Then: []wire.Write{{Put: prefixStalled + role, Value: &wire.LogValue{Version: formatVersion, Count: holders}}}})
	return err
}

// SetParticipation says that a node takes part in duties, or that it does not any more.
func (l *Log) SetParticipation(ctx context.Context, node string, participates bool) error {
	write := wire.Write{Delete: prefixParticipant + node}
	if participates {
		write = wire.Write{Put: prefixParticipant + node, Value: &wire.LogValue{Version: formatVersion, Node: node}}
	}
	_, err := l.store.Txn(ctx, &wire.Txn{Then: []wire.Write{write}})
	return err
}

// WithWriteShare makes a log of the same state service that takes a part of the write rate of its own, for who cleans
// up and does not lead.
func (l *Log) WithWriteShare(writeRPS, share float64, logger *slog.Logger) *Log {
	return &Log{
		store:     l.store,
		maxData:   l.maxData,
		maxTxnOps: l.maxTxnOps,
		logger:    logger,
		writes:    newLimiter(writeRPS * share),
	}
}
