package codec

import (
	"bytes"
	"errors"
	"math"
	"testing"
)

// record writes one of each.
func record() []byte {
	b := Uint(nil, 300)
	b = Float(b, -0.5)
	b = String(b, "x")
	b = Bytes(b, []byte{1, 2})
	b = Bool(b, true)
	return append(b, 7)
}

// TestRoundTrip: what was written is read, and nothing is left.
func TestRoundTrip(t *testing.T) {
	r := &Reader{Data: record()}
	if v := r.Max(300); v != 300 {
		t.Errorf("a varint is read as %d", v)
	}
	if v := r.Float(); v != -0.5 {
		t.Errorf("a float is read as %g", v)
	}
	if v := r.String(); v != "x" {
		t.Errorf("a text is read as %q", v)
	}
	if v := r.Bytes(); !bytes.Equal(v, []byte{1, 2}) {
		t.Errorf("bytes are read as %v", v)
	}
	if !r.Bool() {
		t.Error("true is read as false")
	}
	if v := r.Byte(); v != 7 || !r.Done() {
		t.Errorf("the last byte is read as %d, the end is reached %v, %v", v, r.Done(), r.Err)
	}
}

// TestMalformed: a record that ends early or holds what can't be makes an error, which stays.
func TestMalformed(t *testing.T) {
	for name, read := range map[string]func(r *Reader){
		"varint over its limit": func(r *Reader) { r.Max(299) },
		"length past the end":   func(r *Reader) { r.Data = []byte{2, 0}; r.Bytes() },
		"float past the end":    func(r *Reader) { r.Data = r.Data[:7]; r.Float() },
		"byte past the end":     func(r *Reader) { r.Data = nil; r.Byte() },
		"truth past the end":    func(r *Reader) { r.Data = nil; r.Bool() },
		"truth of 2":            func(r *Reader) { r.Data = []byte{2}; r.Bool() },
		"varint past the end":   func(r *Reader) { r.Data = []byte{0x80}; r.Uint() },
		"varint of 65 bits":     func(r *Reader) { r.Data = bytes.Repeat([]byte{0xff}, 10); r.Uint() },
	} {
		t.Run(name, func(t *testing.T) {
			r := &Reader{Data: record()}
			if read(r); !errors.Is(r.Err, ErrShort) || r.Done() {
				t.Fatalf("read with %v", r.Err)
			}
			if v := r.Uint() + uint64(r.Byte()) + math.Float64bits(r.Float()); v != 0 || len(r.String()) != 0 {
				t.Errorf("after the error %d is read", v)
			}
		})
	}
}
