package oplog

import (
	"context"
	"log/slog"
	"strings"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"fieldhill/wire"
)

// The keys of duties. Who holds one: held/DUTY, on a lease. How many holders in a row got nowhere: stuck/DUTY. Which nodes
// know of duties and take part: part/NODE, for good; a node without one is an older one, or was started without.
const (
	prefixDuty = prefix + "duty/"
	heldDuty   = prefixDuty + "held/"
	stuckDuty  = prefixDuty + "stuck/"
	partDuty   = prefixDuty + "part/"
)

// DutyKey is the key of who holds a duty.
func DutyKey(duty string) string { return heldDuty + duty }

// DutyNews is a change of a key of duties, or that there is none.
type DutyNews struct {
	Held, Stuck, Part string // one of them: the duty, or the node
	Gone              bool
	Node              string // who holds it
	Term, Lease       uint64 // the number of the change; on which lease the key hangs
	Count             int
}

func dutyNews(key string, raw msgpack.RawMessage, version uint64, gone bool) (n DutyNews, ok bool) {
	n.Term, n.Gone = version, gone
	switch {
	case strings.HasPrefix(key, heldDuty):
		n.Held = key[len(heldDuty):]
	case strings.HasPrefix(key, stuckDuty):
		n.Stuck = key[len(stuckDuty):]
	case strings.HasPrefix(key, partDuty):
		n.Part = key[len(partDuty):]
	default:
		return n, false
	}
	if !gone {
		v, _, err := decodeValue(raw)
		if err != nil {
			return n, false
		}
		n.Node, n.Lease, n.Count = v.Node, v.Lease, v.Count
	}
	return n, true
}

// Duties reads all of their keys, and the number of the change up to which that is.
func (l *Log) Duties(ctx context.Context) (list []DutyNews, rev uint64, err error) {
	rev, err = l.all(ctx, prefixDuty, "", func(it *wire.Item) error {
		if n, ok := dutyNews(it.Key, it.Value, it.Version, false); ok {
			list = append(list, n)
		}
		return nil
	})
	if err != nil {
		return nil, 0, err
	}
	return list, rev, nil
}

// FollowDuties waits for changes after one.
func (l *Log) FollowDuties(ctx context.Context, after uint64, hold time.Duration) (list []DutyNews, rev uint64, err error) {
	ev, err := l.svc.Follow(ctx, prefixDuty, after, hold)
	if err != nil {
		return nil, 0, err
	}
	for _, e := range ev.Events {
		key, gone := e.Put, false
		if key == "" {
			key, gone = e.Delete, true
		}
		if n, ok := dutyNews(key, e.Value, e.Version, gone); ok {
			list = append(list, n)
		}
	}
	return list, max(after, ev.Revision), nil
}

// TakeDuty is the transaction that makes the key of who holds a duty, if there is none.
func TakeDuty(duty, node string, lease uint64) *wire.Txn {
	key := DutyKey(duty)
	return &wire.Txn{If: []wire.Guard{{Key: key}}, Then: []wire.Write{{Put: key, Lease: lease, Value: &wire.LogValue{Version: version, Node: node, Lease: lease}}}}
}

// PutStuck writes how many holders of a duty in a row got nowhere, if this one still holds it.
func (l *Log) PutStuck(ctx context.Context, duty string, term uint64, n int) error {
	_, err := l.svc.Txn(ctx, &wire.Txn{If: []wire.Guard{{Key: DutyKey(duty), Version: term}},
		Then: []wire.Write{{Put: stuckDuty + duty, Value: &wire.LogValue{Version: version, Count: n}}}})
	return err
}

// TakePart says that a node takes part in duties, or that it does not any more.
func (l *Log) TakePart(ctx context.Context, node string, part bool) error {
	w := wire.Write{Delete: partDuty + node}
	if part {
		w = wire.Write{Put: partDuty + node, Value: &wire.LogValue{Version: version, Node: node}}
	}
	_, err := l.svc.Txn(ctx, &wire.Txn{Then: []wire.Write{w}})
	return err
}

// Beside makes a log of the same state service that takes a part of the write rate of its own, for who cleans up and
// does not lead.
func (l *Log) Beside(writeRPS, part float64, logger *slog.Logger) *Log {
	return &Log{svc: l.svc, maxData: l.maxData, txnOps: l.txnOps, logger: logger, writes: limiter(writeRPS * part)}
}
