// Package codec holds the primitives of the hand-written binary formats: the
// frames between controllers and the records in the log. Lengths and counts are
// varints; a Reader keeps its first error and reads zero values from then on, so
// that a record is read straight through and checked once.
package codec

import (
	"encoding/binary"
	"errors"
	"math"
)

// ErrShort says that a record ended early or holds an impossible length.
var ErrShort = errors.New("codec: truncated or malformed")

// Uint appends a number as a varint.
func Uint(b []byte, v uint64) []byte { return binary.AppendUvarint(b, v) }

// Float appends a float, in eight bytes.
func Float(b []byte, f float64) []byte {
	return binary.LittleEndian.AppendUint64(b, math.Float64bits(f))
}

// String appends a length and text.
func String(b []byte, s string) []byte {
	return append(Uint(b, uint64(len(s))), s...)
}

// Bytes appends a length and bytes.
func Bytes(b, s []byte) []byte {
	return append(Uint(b, uint64(len(s))), s...)
}

// Bool appends one byte.
func Bool(b []byte, v bool) []byte {
	if v {
		return append(b, 1)
	}
	return append(b, 0)
}

// Reader reads what the functions above wrote.
type Reader struct {
	Data []byte // what is not read yet
	Err  error  // the first error; nil: all was read well so far
}

// fail ends the reading: nothing after a malformed field can be told apart.
func (r *Reader) fail() {
	r.Err = ErrShort
	r.Data = nil
}

// Uint reads a varint.
func (r *Reader) Uint() uint64 {
	v, n := binary.Uvarint(r.Data)
	if n <= 0 {
		r.fail()
		return 0
	}
	r.Data = r.Data[n:]
	return v
}

// Max reads a varint that must not exceed a limit, such as a count that memory is made for.
func (r *Reader) Max(limit uint64) int {
	v := r.Uint()
	if v > limit {
		r.fail()
		return 0
	}
	return int(v)
}

// Float reads a float.
func (r *Reader) Float() float64 {
	if len(r.Data) < 8 {
		r.fail()
		return 0
	}
	v := math.Float64frombits(binary.LittleEndian.Uint64(r.Data))
	r.Data = r.Data[8:]
	return v
}

// Bytes reads a length and bytes; they alias the input.
func (r *Reader) Bytes() []byte {
	n := r.Uint()
	if r.Err != nil || n > uint64(len(r.Data)) {
		r.fail()
		return nil
	}
	v := r.Data[:n]
	r.Data = r.Data[n:]
	return v
}

// String reads a length and text.
func (r *Reader) String() string { return string(r.Bytes()) }

// Byte reads one byte.
func (r *Reader) Byte() byte {
	if len(r.Data) < 1 {
		r.fail()
		return 0
	}
	v := r.Data[0]
	r.Data = r.Data[1:]
	return v
}

// Bool reads one byte, which must be 0 or 1.
func (r *Reader) Bool() bool {
	if len(r.Data) < 1 || r.Data[0] > 1 {
		r.fail()
		return false
	}
	v := r.Data[0] == 1
	r.Data = r.Data[1:]
	return v
}

// Done tells whether everything was read without an error.
func (r *Reader) Done() bool { return r.Err == nil && len(r.Data) == 0 }
