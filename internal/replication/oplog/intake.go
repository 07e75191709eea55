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

const prefixIntake = prefix + "in/"

func intakeKey(job uint64) string { return fmt.Sprintf("%s%015d", prefixIntake, job) }

// Intake is a job that waits for the leader.
type Intake struct {
	Job  uint64
	Data []byte
}

// PutIntake writes a job. It is accepted if the error is nil; with another error
// it may be accepted all the same.
func (l *Log) PutIntake(ctx context.Context, in Intake) error {
	key := intakeKey(in.Job)
	_, err := l.store.Txn(ctx, &wire.Txn{
		If: []wire.Condition{{Key: key}},
		Then: []wire.Write{{Put: key, Value: &wire.LogValue{
			Version: formatVersion, Data: base64.StdEncoding.EncodeToString(in.Data)}}},
	})
	if msgpackhttp.StatusCode(err) == 409 {
		return nil // it is there already
	}
	return err
}

// TryIntake writes a job beside the log, if the leader's budget has room for it
// and for the deletion, and some is left for the log.
func (l *Log) TryIntake(ctx context.Context, in Intake) error {
	if l.writes.Tokens() < 2+float64(l.writes.Burst())/3 || !l.writes.AllowN(time.Now(), 1) {
		return errBudgetExhausted
	}
	return l.PutIntake(ctx, in)
}

var errBudgetExhausted = errors.New("oplog: no room in the budget")

// GetIntake reads a job's key; nil if there is none.
func (l *Log) GetIntake(ctx context.Context, job uint64) (*Intake, error) {
	it, err := l.store.Get(ctx, intakeKey(job))
	if msgpackhttp.StatusCode(err) == 404 {
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
func (l *Log) ListIntake(ctx context.Context) (all []Intake, revision uint64, err error) {
	revision, err = l.rangeAll(ctx, prefixIntake, "", func(it *wire.Item) error {
		job, err := strconv.ParseUint(strings.TrimPrefix(it.Key, prefixIntake), 10, 64)
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
	return all, revision, nil
}

// WatchIntake waits until jobs came in after a revision.
func (l *Log) WatchIntake(
	ctx context.Context,
	after uint64,
	hold time.Duration,
) (revision uint64, arrived bool, err error) {
	changes, err := l.store.Follow(ctx, prefixIntake, after, hold)
	if err != nil {
		return 0, false, err
	}
	for _, e := range changes.Events {
		arrived = arrived || e.Put != ""
	}
	return max(after, changes.Revision), arrived, nil
}

// DropIntake deletes jobs that the log has. Nobody waits for that, so it takes what the
// budget has left over.
func (l *Log) DropIntake(ctx context.Context, leader *Leader, jobs []uint64) error {
	for len(jobs) > 0 {
		n := min(len(jobs), l.maxTxnOps, l.writes.Burst()/2)
		txn := &wire.Txn{If: []wire.Condition{{Key: KeyLeader, Version: leader.Version}}}
		for _, j := range jobs[:n] {
			txn.Then = append(txn.Then, wire.Write{Delete: intakeKey(j)})
		}
		if err := l.commitPaced(ctx, txn, func([]string) error { return ErrDeposed }); err != nil {
			return err
		}
		jobs = jobs[n:]
	}
	return nil
}
