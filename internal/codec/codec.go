// Package codec implements the primitives of the binary formats of frames between controllers and of log records.
// Lengths and counts are varints. After an error, a Reader returns only zero values, so that callers can decode a whole
// record and check for an error once at the end.
package codec

import (
	"encoding/binary"
	"errors"
	"math"
)

// ErrMalformed reports a record that is truncated or has an invalid value.
var ErrMalformed = errors.New("codec: truncated or malformed data")

// Uint appends a number as an unsigned varint.
func Uint(b []byte, v uint64) []byte { return binary.AppendUvarint(b, v) }

// Float appends a float64 in eight bytes, little endian.
func Float(b []byte, f float64) []byte {
	return binary.LittleEndian.AppendUint64(b, math.Float64bits(f))
}

// String appends a length-prefixed string.
func String(b []byte, s string) []byte {
	return append(Uint(b, uint64(len(s))), s...)
}

// Bytes appends a length-prefixed byte slice.
func Bytes(b, s []byte) []byte {
	return append(Uint(b, uint64(len(s))), s...)
}

// Bool appends a boolean as one byte, 0 or 1.
func Bool(b []byte, v bool) []byte {
	if v {
		return append(b, 1)
	}
	return append(b, 0)
}

// Reader decodes values that the functions of this package appended, in the same order.
type Reader struct {
	Data []byte // data that is not decoded yet
	Err  error  // ErrMalformed once a value could not be decoded
}

// fail sets the error and discards the remaining data, because the field boundaries after a malformed field are
// unknown.
func (r *Reader) fail() {
	r.Err = ErrMalformed
	r.Data = nil
}

// Uint decodes an unsigned varint.
func (r *Reader) Uint() uint64 {
	v, n := binary.Uvarint(r.Data)
	if n <= 0 {
		r.fail()
		return 0
	}
	r.Data = r.Data[n:]
	return v
}

// Max decodes an unsigned varint and fails if it exceeds a limit. It is used for numbers with a valid range, such as
// the count of elements to allocate.
func (r *Reader) Max(limit uint64) int {
	v := r.Uint()
	if v > limit {
		r.fail()
		return 0
	}
	return int(v)
}

// Float decodes a float64 of eight bytes, little endian.
func (r *Reader) Float() float64 {
	if len(r.Data) < 8 {
		r.fail()
		return 0
	}
	v := math.Float64frombits(binary.LittleEndian.Uint64(r.Data))
	r.Data = r.Data[8:]
	return v
}

// Bytes decodes a length-prefixed byte slice. The result shares memory with Data.
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

// String decodes a length-prefixed string.
func (r *Reader) String() string { return string(r.Bytes()) }

// Byte decodes one byte.
func (r *Reader) Byte() byte {
	if len(r.Data) < 1 {
		r.fail()
		return 0
	}
	v := r.Data[0]
	r.Data = r.Data[1:]
	return v
}

// Bool decodes a boolean from one byte, which must be 0 or 1.
func (r *Reader) Bool() bool {
	if len(r.Data) < 1 || r.Data[0] > 1 {
		r.fail()
		return false
	}
	v := r.Data[0] == 1
	r.Data = r.Data[1:]
	return v
}

// Done reports whether all data was decoded without an error.
func (r *Reader) Done() bool { return r.Err == nil && len(r.Data) == 0 }
