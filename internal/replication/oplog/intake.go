package oplog

import (
	"context"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"time"

	"fieldhill/internal/platform/msgpackhttp"
	"fieldhill/wire"
)

// The intake takes jobs while the leader can't be reached: a node that has read the log writes the job under a key of
// its own, and the leader, or the next one, enters it into the log and deletes the key. A job counts as accepted once
// its key exists.
//
// So whoever is about to say that a job is unknown must look for its key first and at the log afterwards: the key is
// deleted only when the log has the job, so one of the two looks finds it. A key that is written late, or again,
// names a job that the log knows by then, and is deleted.

const prefixIntake = prefix + "in/"

func intakeKey(job uint64) string { return fmt.Sprintf("%s%015d", prefixIntake, job) }

// Intake is a job that waits for the leader.
type Intake struct {
	Job  uint64
	Data []byte
}

// intakeRecords are the jobs that were accepted beside the log.
type intakeRecords struct{ store *store }

// PutIntake writes a job. It is accepted if the error is nil; with another error it may be accepted all the same.
func (r intakeRecords) PutIntake(ctx context.Context, in Intake) error {
	key := intakeKey(in.Job)
	_, err := r.store.client.Txn(ctx, &wire.Txn{
		If:   []wire.Condition{{Key: key}},
		Then: []wire.Write{{Put: key, Value: &wire.LogValue{Version: FormatVersion, Data: encodeData(in.Data)}}},
	})
	if err == nil || msgpackhttp.StatusCode(err) == http.StatusConflict { // in a conflict it is there already
		return nil
	}
	return fmt.Errorf("oplog: write %s: %w", key, err)
}

// TryIntake writes a job beside the log, if the leader's budget has room for it and for the deletion, and some is
// left for the log; else the error is ErrBudgetExhausted.
func (r intakeRecords) TryIntake(ctx context.Context, in Intake) error {
	writes := r.store.writes
	if writes.Tokens() < 2+float64(writes.Burst())/3 || !writes.AllowN(time.Now(), 1) {
		return fmt.Errorf("oplog: write %s: %w", intakeKey(in.Job), ErrBudgetExhausted)
	}
	return r.PutIntake(ctx, in)
}

// GetIntake reads a job's key; nil if there is none.
func (r intakeRecords) GetIntake(ctx context.Context, job uint64) (*Intake, error) {
	key := intakeKey(job)
	value, data, _, err := r.store.get(ctx, key)
	switch {
	case err != nil:
		return nil, fmt.Errorf("oplog: read %s: %w", key, err)
	case value == nil:
		return nil, nil
	}
	return &Intake{Job: job, Data: data}, nil
}

// ListIntake reads all waiting jobs and the revision from which to watch for more.
func (r intakeRecords) ListIntake(ctx context.Context) (all []Intake, revision uint64, err error) {
	revision, err = r.store.rangeAll(ctx, prefixIntake, "", func(item *wire.Item) error {
		job, err := strconv.ParseUint(strings.TrimPrefix(item.Key, prefixIntake), 10, 64)
		if err != nil {
			return &CorruptValueError{Key: item.Key, Err: err}
		}
		_, data, err := decodeValue(item.Key, item.Value)
		if err != nil {
			return err
		}
		all = append(all, Intake{job, data})
		return nil
	})
	if err != nil {
		return nil, 0, fmt.Errorf("oplog: list %s: %w", prefixIntake, err)
	}
	return all, revision, nil
}

// WatchIntake waits until jobs came in after a revision.
func (r intakeRecords) WatchIntake(
	ctx context.Context, after uint64, hold time.Duration,
) (revision uint64, arrived bool, err error) {
	changes, err := r.store.client.Follow(ctx, prefixIntake, after, hold)
	if err != nil {
		return 0, false, fmt.Errorf("oplog: follow %s: %w", prefixIntake, err)
	}
	for _, event := range changes.Events {
		arrived = arrived || event.Put != ""
	}
	return max(after, changes.Revision), arrived, nil
}

// DropIntake deletes jobs that the log has. Nobody waits for that, so it takes what the budget has left over.
func (r intakeRecords) DropIntake(ctx context.Context, leader *Leader, jobs []uint64) error {
	fence := leader.Fence().condition()
	for len(jobs) > 0 {
		n := min(len(jobs), r.store.maxTxnOps, r.store.writes.Burst()/2)
		keys := make([]string, n)
		for i, job := range jobs[:n] {
			keys[i] = intakeKey(job)
		}
		deposed := func([]string) error { return ErrDeposed }
		if err := r.store.commitPaced(ctx, deleteTxn(fence, keys), deposed); err != nil {
			return fmt.Errorf("oplog: delete %s and %d more: %w", keys[0], n-1, err)
		}
		jobs = jobs[n:]
	}
	return nil
}
