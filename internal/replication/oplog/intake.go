package oplog

import (
	"context"
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"

	"fieldhill/wire"
)

// The intake accepts jobs while the leader is unreachable: a node that has read the log writes the job under a separate
// key, and the current or next leader appends it to the log and deletes the key. A job is accepted once its key exists.
//
// Before a job is reported as unknown, its intake key must be read first and the log afterwards: the key is deleted
// only once the log has the job, so one of the two reads finds it. An intake key that is written late, or again, names
// a job that is in the log by then, so the leader deletes the key without appending the job again.

const prefixIntake = prefix + "in/"

func intakeKey(job uint64) string { return fmt.Sprintf("%s%015d", prefixIntake, job) }

// Intake is an accepted job that the leader has yet to append to the log.
type Intake struct {
	Job     uint64
	Data    []byte
	Version uint64 // version of the record's key; set by GetIntake
}

// intakeRecords reads and writes the intake keys.
type intakeRecords struct{ store *store }

// IntakeWrite is the outcome of writing an intake record. Unless LogMoved is set, the record exists.
type IntakeWrite struct {
	Created  bool   // by this write; otherwise there was a record already
	LogMoved bool   // nothing was written, and there was no record: the log has another end than required
	Revision uint64 // the store's revision at which the record was written or found
}

// PutIntake writes a job's intake record unless there is one. After an error there may be a record nevertheless.
func (r intakeRecords) PutIntake(ctx context.Context, intake Intake) (IntakeWrite, error) {
	return r.putIntake(ctx, intake)
}

// PutIntakeAtEnd is like PutIntake, but writes nothing unless the log still has the given end.
func (r intakeRecords) PutIntakeAtEnd(ctx context.Context, end End, intake Intake) (IntakeWrite, error) {
	return r.putIntake(ctx, intake, end.conditions()...)
}

// PutIntakeAsLeader is like PutIntake, but writes nothing unless the leader key is unchanged. The error wraps
// ErrDeposed if it has changed.
func (r intakeRecords) PutIntakeAsLeader(ctx context.Context, leader *Leader, intake Intake) (IntakeWrite, error) {
	return r.putIntake(ctx, intake, wire.Condition{Key: KeyLeader, Version: leader.Version})
}

func (r intakeRecords) putIntake(
	ctx context.Context, intake Intake, conditions ...wire.Condition,
) (IntakeWrite, error) {
	key := intakeKey(intake.Job)
	response, err := r.store.client.Txn(ctx, &wire.Txn{
		If:   append(conditions, wire.Condition{Key: key}),
		Then: []wire.Write{{Put: key, Value: &wire.LogValue{Version: FormatVersion, Data: encodeData(intake.Data)}}},
	})
	if err == nil {
		return IntakeWrite{Created: true, Revision: response.Revision}, nil
	}
	conflict, ok := decodeConflict(err)
	switch {
	case !ok:
		return IntakeWrite{}, fmt.Errorf("oplog: write %s: %w", key, err)
	case len(conditions) > 0 && slices.Contains(conflict.Failed, KeyLeader):
		return IntakeWrite{}, fmt.Errorf("oplog: write %s: %w", key, ErrDeposed)
	}
	logMoved := len(conditions) > 0 && !slices.Contains(conflict.Failed, key)
	return IntakeWrite{LogMoved: logMoved, Revision: conflict.Revision}, nil
}

// ReserveIntakeWrite takes the write of an intake record from the leader's write budget, if the budget has room for it
// and for the deletion of the record, and a third of a write burst is left for the log.
func (r intakeRecords) ReserveIntakeWrite() bool {
	writes := r.store.writeLimiter
	return writes.Tokens() >= 2+float64(writes.Burst())/3 && writes.AllowN(time.Now(), 1)
}

// GetIntake reads a job's intake record. It returns nil if there is none.
func (r intakeRecords) GetIntake(ctx context.Context, job uint64) (*Intake, error) {
	key := intakeKey(job)
	value, data, version, err := r.store.get(ctx, key)
	switch {
	case err != nil:
		return nil, fmt.Errorf("oplog: read %s: %w", key, err)
	case value == nil:
		return nil, nil
	}
	return &Intake{Job: job, Data: data, Version: version}, nil
}

// ListIntake reads all intake records. WatchIntake reports the records that are written after the returned revision.
func (r intakeRecords) ListIntake(ctx context.Context) (intakes []Intake, revision uint64, err error) {
	revision, err = r.store.rangeAll(ctx, prefixIntake, "", func(item *wire.Item) error {
		job, err := strconv.ParseUint(strings.TrimPrefix(item.Key, prefixIntake), 10, 64)
		if err != nil {
			return &CorruptValueError{Key: item.Key, Err: err}
		}
		_, data, err := decodeValue(item.Key, item.Value)
		if err != nil {
			return err
		}
		intakes = append(intakes, Intake{Job: job, Data: data})
		return nil
	})
	if err != nil {
		return nil, 0, fmt.Errorf("oplog: list %s: %w", prefixIntake, err)
	}
	return intakes, revision, nil
}

// WatchIntake waits up to hold for changes of the intake keys after a revision. It returns the revision after which to
// watch next, and whether a record was written.
func (r intakeRecords) WatchIntake(
	ctx context.Context, after uint64, hold time.Duration,
) (revision uint64, arrived bool, err error) {
	changes, err := r.store.client.Watch(ctx, prefixIntake, after, hold)
	if err != nil {
		return 0, false, fmt.Errorf("oplog: follow %s: %w", prefixIntake, err)
	}
	for _, event := range changes.Events {
		arrived = arrived || event.Put != ""
	}
	return max(after, changes.Revision), arrived, nil
}

// DeleteIntake deletes the intake records of jobs that are in the log. No request waits for these deletions, so they
// yield to other writes for some time (commitPaced). The error wraps ErrDeposed if the leader key has changed.
func (r intakeRecords) DeleteIntake(ctx context.Context, leader *Leader, jobs []uint64) error {
	fence := leader.Fence().condition()
	for len(jobs) > 0 {
		n := min(len(jobs), r.store.maxTxnOps, r.store.writeLimiter.Burst()/2)
		keys := make([]string, n)
		for i, job := range jobs[:n] {
			keys[i] = intakeKey(job)
		}
		deposed := func([]string) error { return ErrDeposed }
		if err := r.store.commitPaced(ctx, deleteTxn(fence, keys), deposed); err != nil {
			return fmt.Errorf("oplog: delete %d keys, the first being %s: %w", n, keys[0], err)
		}
		jobs = jobs[n:]
	}
	return nil
}
