package oplog

import (
	"errors"
	"fmt"
)

// Errors that callers tell apart. All come wrapped with the operation and the key or batch.
var (
	// ErrDeposed says that the key that fences a write has changed: another node leads or holds the role, or none
	// does.
	ErrDeposed = errors.New("no longer the leader")
	// ErrSnapshotReplaced says that another snapshot came into force than the one that was being written, which only
	// another leader can bring about.
	ErrSnapshotReplaced = errors.New("the snapshot in force was replaced by another leader")
	// ErrBudgetExhausted says that a write that may be left out was, since the log needs the write rate.
	ErrBudgetExhausted = errors.New("no room in the write budget")
	// ErrWriteRejected says that the key-value store calls a write malformed: repeating it would not help.
	ErrWriteRejected = errors.New("write rejected as malformed")
)

// MissingKeyError says that a key was not there that the others imply: the log changed under a reader, which must
// begin again.
type MissingKeyError struct {
	Key         string
	SnapshotSeq uint64 // to which number the snapshot was that the reader saw
}

// Error implements error.
func (e *MissingKeyError) Error() string {
	return fmt.Sprintf("%s is missing, the snapshot is to %d", e.Key, e.SnapshotSeq)
}

// CorruptBatchError says that a batch is there and can't be read.
type CorruptBatchError struct {
	Seq uint64
	Err error
}

// Error implements error.
func (e *CorruptBatchError) Error() string { return fmt.Sprintf("corrupt batch %d: %v", e.Seq, e.Err) }

// Unwrap gives the cause.
func (e *CorruptBatchError) Unwrap() error { return e.Err }

// CorruptValueError says that the value of a key can't be read.
type CorruptValueError struct {
	Key string
	Err error
}

// Error implements error.
func (e *CorruptValueError) Error() string {
	return fmt.Sprintf("corrupt value of %s: %v", e.Key, e.Err)
}

// Unwrap gives the cause.
func (e *CorruptValueError) Unwrap() error { return e.Err }

// FormatVersionError says that a value is of a version that this one does not read.
type FormatVersionError struct{ Version int }

// Error implements error.
func (e *FormatVersionError) Error() string {
	return fmt.Sprintf("format version %d is unknown", e.Version)
}
