package oplog

import (
	"errors"
	"fmt"
)

// Errors that callers distinguish. The methods of Log and Compactor wrap them in an error that names the operation and
// the key or batch.
var (
	// ErrDeposed means that the key that fences a write has changed: another node, or none, leads or holds the role
	// now.
	ErrDeposed = errors.New("no longer the leader or role holder")
	// ErrSnapshotReplaced means that the manifest names a snapshot other than the one being written, which only a
	// compactor under another fence can cause.
	ErrSnapshotReplaced = errors.New("current snapshot was replaced by another compactor")
	// ErrWriteRejected means that the key-value store rejected a write as malformed, so a retry can't succeed.
	ErrWriteRejected = errors.New("write rejected as malformed")
)

// MissingKeyError means that a read of the log lacks a key whose existence other keys imply. The log was compacted
// during the read, so the read must be repeated.
type MissingKeyError struct {
	Key         string
	SnapshotSeq uint64 // last batch covered by the snapshot that the reader found
}

// Error names the missing key and the last batch covered by the snapshot.
func (e *MissingKeyError) Error() string {
	return fmt.Sprintf("key %s is missing (snapshot covers batches up to %d)", e.Key, e.SnapshotSeq)
}

// CorruptBatchError means that a batch exists but can't be decoded.
type CorruptBatchError struct {
	Seq uint64
	Err error
}

// Error names the batch and the decoding error.
func (e *CorruptBatchError) Error() string { return fmt.Sprintf("corrupt batch %d: %v", e.Seq, e.Err) }

// Unwrap returns the error met when decoding the batch.
func (e *CorruptBatchError) Unwrap() error { return e.Err }

// CorruptValueError means that the value of a key can't be decoded.
type CorruptValueError struct {
	Key string
	Err error
}

// Error names the key and the decoding error.
func (e *CorruptValueError) Error() string {
	return fmt.Sprintf("corrupt value of %s: %v", e.Key, e.Err)
}

// Unwrap returns the error met when decoding the value.
func (e *CorruptValueError) Unwrap() error { return e.Err }

// FormatVersionError means that a value has a format version that this program does not support.
type FormatVersionError struct{ Version int }

// Error names the unsupported version.
func (e *FormatVersionError) Error() string {
	return fmt.Sprintf("unsupported format version %d", e.Version)
}
