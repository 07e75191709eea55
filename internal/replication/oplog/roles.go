package oplog

import (
	"context"
	"fmt"
	"strings"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"fieldhill/wire"
)

// The keys of singleton roles. Who holds one: held/ROLE, on a lease. How many holders in a row made no progress:
// stuck/ROLE. Which nodes know of roles and take part: part/NODE, for good; a node without one is an older one, or
// was started without.
const (
	prefixRole        = prefix + "duty/"
	prefixHolder      = prefixRole + "held/"
	prefixStalled     = prefixRole + "stuck/"
	prefixParticipant = prefixRole + "part/"
)

// RoleKey is the key of the holder of a role; its version is the holder's term.
func RoleKey(role string) string { return prefixHolder + role }

// RoleUpdate is the state of one key of the roles, or that it was deleted. One of HeldRole, StalledRole and
// Participant is set, and says what kind of key it is.
type RoleUpdate struct {
	HeldRole    string // a role that is held, or was
	StalledRole string // a role whose holders made no progress
	Participant string // a node that takes part
	Deleted     bool
	Node        string // the holder, or the participant
	Term        uint64 // the revision of the change
	Lease       uint64 // on which the key hangs
	Count       int    // how many holders in a row made no progress
}

// roleRecords are the keys of singleton roles.
type roleRecords struct{ store *store }

// decodeRoleUpdate reads a key of the roles; what it can't read is passed over.
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
		value, _, err := decodeValue(key, raw)
		if err != nil {
			return update, false
		}
		update.Node, update.Lease, update.Count = value.Node, value.Lease, value.Count
	}
	return update, true
}

// Roles reads all keys of the roles, and the revision from which to follow them.
func (r roleRecords) Roles(ctx context.Context) (list []RoleUpdate, revision uint64, err error) {
	revision, err = r.store.rangeAll(ctx, prefixRole, "", func(item *wire.Item) error {
		if update, ok := decodeRoleUpdate(item.Key, item.Value, item.Version, false); ok {
			list = append(list, update)
		}
		return nil
	})
	if err != nil {
		return nil, 0, fmt.Errorf("oplog: list %s: %w", prefixRole, err)
	}
	return list, revision, nil
}

// FollowRoles waits for changes after a revision.
func (r roleRecords) FollowRoles(
	ctx context.Context, after uint64, hold time.Duration,
) (list []RoleUpdate, revision uint64, err error) {
	changes, err := r.store.client.Follow(ctx, prefixRole, after, hold)
	if err != nil {
		return nil, 0, fmt.Errorf("oplog: follow %s: %w", prefixRole, err)
	}
	for _, event := range changes.Events {
		key, deleted := event.Put, false
		if key == "" {
			key, deleted = event.Delete, true
		}
		if update, ok := decodeRoleUpdate(key, event.Value, event.Version, deleted); ok {
			list = append(list, update)
		}
	}
	return list, max(after, changes.Revision), nil
}

// AcquireRoleTxn is the transaction that makes the key of a role's holder, if there is none.
func AcquireRoleTxn(role, node string, lease uint64) *wire.Txn {
	key := RoleKey(role)
	return &wire.Txn{
		If: []wire.Condition{{Key: key}},
		Then: []wire.Write{
			{Put: key, Lease: lease, Value: &wire.LogValue{Version: FormatVersion, Node: node, Lease: lease}},
		},
	}
}

// PutStalledHolders writes how many holders of a role in a row made no progress, if the one of a term still holds it.
func (r roleRecords) PutStalledHolders(ctx context.Context, role string, term uint64, holders int) error {
	key := prefixStalled + role
	_, err := r.store.client.Txn(ctx, &wire.Txn{
		If:   []wire.Condition{{Key: RoleKey(role), Version: term}},
		Then: []wire.Write{{Put: key, Value: &wire.LogValue{Version: FormatVersion, Count: holders}}},
	})
	if err != nil {
		return fmt.Errorf("oplog: write %s: %w", key, err)
	}
	return nil
}

// SetParticipation says that a node takes part in roles, or that it does not any more.
func (r roleRecords) SetParticipation(ctx context.Context, node string, participates bool) error {
	key := prefixParticipant + node
	write := wire.Write{Delete: key}
	if participates {
		write = wire.Write{Put: key, Value: &wire.LogValue{Version: FormatVersion, Node: node}}
	}
	if _, err := r.store.client.Txn(ctx, &wire.Txn{Then: []wire.Write{write}}); err != nil {
		return fmt.Errorf("oplog: write %s: %w", key, err)
	}
	return nil
}
