package oplog

import (
	"context"
	"encoding/base64"
	"errors"
	"fmt"
	"strconv"
	"strings"
	"time"

	"fieldhill/internal/platform/msgpackhttp"
	"fieldhill/wire"
)

// The intake takes jobs while the leader can't be reached: a node that has read
// the log writes the job under a key of its own, and the leader, or the next
// one, enters it into the log and deletes the key. A job counts as accepted once
// its key exists.
//
// So whoever is about to say that a job is unknown must look for its key first
// and at the log afterwards: the key is deleted only when the log has the job, so
// one of the two looks finds it. A key that is written late, or again, names a
// job that the log knows by then, and is deleted.

const prefixIn = prefix + "in/"

func keyIn(job uint64) string { return fmt.Sprintf("%s%015d", prefixIn, job) }

// Intake is a job that waits for the leader.
type Intake struct {
	Job  uint64
	Data []byte
}

// PutIntake writes a job. It is accepted if the error is nil; with another error
// it may be accepted all the same.
func (l *Log) PutIntake(ctx context.Context, in Intake) error {
	key := keyIn(in.Job)
	_, err := l.svc.Txn(ctx, &wire.Txn{
		If: []wire.Guard{{Key: key}},
		Then: []wire.Write{{Put: key, Value: &wire.LogValue{
			Version: version, Data: base64.StdEncoding.EncodeToString(in.Data)}}},
	})
	if msgpackhttp.Code(err) == 409 {
		return nil // it is there already
	}
	return err
}

// TryIntake writes a job beside the log, if the leader's budget has room for it
// and for the deletion, and some is left for the log.
func (l *Log) TryIntake(ctx context.Context, in Intake) error {
	if l.writes.Tokens() < 2+float64(l.writes.Burst())/3 || !l.writes.AllowN(time.Now(), 1) {
		return errBudget
	}
	return l.PutIntake(ctx, in)
}

var errBudget = errors.New("oplog: no room in the budget")

// GetIntake reads a job's key; nil if there is none.
func (l *Log) GetIntake(ctx context.Context, job uint64) (*Intake, error) {
	it, err := l.svc.Get(ctx, keyIn(job))
	if msgpackhttp.Code(err) == 404 {
		return nil, nil
	}
	if err != nil {
		return nil, err
	}
	_, data, err := decodeValue(it.Value)
	if err != nil {
		return nil, err
	}
	return &Intake{Job: job, Data: data}, nil
}

// ListIntake reads all waiting jobs and the revision from which to watch for more.
func (l *Log) ListIntake(ctx context.Context) (all []Intake, rev uint64, err error) {
	rev, err = l.all(ctx, prefixIn, "", func(it *wire.Item) error {
		job, err := strconv.ParseUint(strings.TrimPrefix(it.Key, prefixIn), 10, 64)
		if err != nil {
			return err
		}
		_, data, err := decodeValue(it.Value)
		if err != nil {
			return err
		}
		all = append(all, Intake{job, data})
		return nil
	})
	if err != nil {
		return nil, 0, err
	}
	return all, rev, nil
}

// WatchIntake waits until jobs came in after a revision.
func (l *Log) WatchIntake(ctx context.Context, after uint64, hold time.Duration) (rev uint64, some bool, err error) {
	ev, err := l.svc.Follow(ctx, prefixIn, after, hold)
	if err != nil {
		return 0, false, err
	}
	for _, e := range ev.Events {
		some = some || e.Put != ""
	}
	return max(after, ev.Revision), some, nil
}

// DropIntake deletes jobs that the log has. Nobody waits for that, so it takes what the
// budget has left over.
func (l *Log) DropIntake(ctx context.Context, ld *Leader, jobs []uint64) error {
	for len(jobs) > 0 {
		n := min(len(jobs), l.txnOps, l.writes.Burst()/2)
		t := &wire.Txn{If: []wire.Guard{{Key: KeyLeader, Version: ld.Version}}}
		for _, j := range jobs[:n] {
			t.Then = append(t.Then, wire.Write{Delete: keyIn(j)})
		}
		if err := l.paced(ctx, t, func([]string) error { return ErrDeposed }); err != nil {
			return err
		}
		jobs = jobs[n:]
	}
	return nil
}
