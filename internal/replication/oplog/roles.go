package oplog

import (
	"context"
	"fmt"
	"strings"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"fieldhill/wire"
)

// Keys of singleton roles. held/ROLE names the holder and is attached to the holder's lease. stuck/ROLE counts the
// consecutive holders that made no progress. part/NODE marks a node that takes part in roles, and is not attached to a
// lease. A node without such a key runs an older version or was started without roles.
const (
	prefixRole        = prefix + "duty/"
	prefixHolder      = prefixRole + "held/"
	prefixStalled     = prefixRole + "stuck/"
	prefixParticipant = prefixRole + "part/"
)

// RoleKey returns the key that names the holder of a role. The key's version is the holder's term.
func RoleKey(role string) string { return prefixHolder + role }

// RoleUpdate is the state of one role key, or its deletion. Exactly one of HeldRole, StalledRole and Participant is
// set, which identifies the kind of key.
type RoleUpdate struct {
	HeldRole    string // role whose holder key changed
	StalledRole string // role whose count of stalled holders changed
	Participant string // node whose participation changed
	Deleted     bool
	Node        string // holder or participant
	Term        uint64 // version of the key, or revision of its deletion
	Lease       uint64 // lease to which the key is attached
	Count       int    // consecutive holders without progress
}

// roleRecords reads and writes the keys of singleton roles.
type roleRecords struct{ store *store }

// decodeRoleUpdate decodes the state of a role key. ok is false for an unknown key or a value that can't be decoded.
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

// Roles reads the state of all role keys. FollowRoles reports the changes after the returned revision.
func (r roleRecords) Roles(ctx context.Context) (updates []RoleUpdate, revision uint64, err error) {
	revision, err = r.store.rangeAll(ctx, prefixRole, "", func(item *wire.Item) error {
		if update, ok := decodeRoleUpdate(item.Key, item.Value, item.Version, false); ok {
			updates = append(updates, update)
		}
		return nil
	})
	if err != nil {
		return nil, 0, fmt.Errorf("oplog: list %s: %w", prefixRole, err)
	}
	return updates, revision, nil
}

// FollowRoles waits up to hold for changes of role keys after a revision. It returns the changes and the revision after
// which to follow next.
func (r roleRecords) FollowRoles(
	ctx context.Context, after uint64, hold time.Duration,
) (updates []RoleUpdate, revision uint64, err error) {
	changes, err := r.store.client.Watch(ctx, prefixRole, after, hold)
	if err != nil {
		return nil, 0, fmt.Errorf("oplog: follow %s: %w", prefixRole, err)
	}
	for _, event := range changes.Events {
		key, deleted := event.Put, false
		if key == "" {
			key, deleted = event.Delete, true
		}
		if update, ok := decodeRoleUpdate(key, event.Value, event.Version, deleted); ok {
			updates = append(updates, update)
		}
	}
	return updates, max(after, changes.Revision), nil
}

// AcquireRoleTxn returns the transaction that creates a role's holder key unless it exists.
func AcquireRoleTxn(role, node string, lease uint64) *wire.Txn {
	key := RoleKey(role)
	return &wire.Txn{
		If: []wire.Condition{{Key: key}},
		Then: []wire.Write{
			{Put: key, Lease: lease, Value: &wire.LogValue{Version: FormatVersion, Node: node, Lease: lease}},
		},
	}
}

// PutStalledHolders stores the number of consecutive holders of a role that made no progress, provided that the holder
// of the given term still holds the role.
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

// SetParticipation records whether a node takes part in singleton roles.
func (r roleRecords) SetParticipation(ctx context.Context, node string, participates bool) error {
	key := prefixParticipant + node
	write := wire.Write{Delete: key}
	if participates {
		write = wire.Write{Put: key, Value: &wire.LogValue{Version: FormatVersion, Node: node}}
	}
	if _, err := r.store.client.Txn(ctx, &wire.Txn{Then: []wire.Write{write}}); err != nil {
		return fmt.Errorf("oplog: set participation of node %s: %w", node, err)
	}
	return nil
}
