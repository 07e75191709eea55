package codec

import (
	"bytes"
	"errors"
	"math"
	"testing"
)

// encodeRecord encodes one value of each type.
func encodeRecord() []byte {
	b := Uint(nil, 300)
	b = Float(b, -0.5)
	b = String(b, "x")
	b = Bytes(b, []byte{1, 2})
	b = Bool(b, true)
	return append(b, 7)
}

// TestRoundTrip checks that a record is decoded as it was encoded, without remaining data.
func TestRoundTrip(t *testing.T) {
	r := &Reader{Data: encodeRecord()}
	if v := r.Max(300); v != 300 {
		t.Errorf("varint decoded as %d, want 300", v)
	}
	if v := r.Float(); v != -0.5 {
		t.Errorf("float decoded as %g, want -0.5", v)
	}
	if v := r.String(); v != "x" {
		t.Errorf("string decoded as %q, want \"x\"", v)
	}
	if v := r.Bytes(); !bytes.Equal(v, []byte{1, 2}) {
		t.Errorf("bytes decoded as %v, want [1 2]", v)
	}
	if !r.Bool() {
		t.Error("bool decoded as false, want true")
	}
	if v := r.Byte(); v != 7 || !r.Done() {
		t.Errorf("last byte decoded as %d, want 7; done %v, error %v", v, r.Done(), r.Err)
	}
}

// TestMalformed checks that a truncated or invalid record gives an error, after which only zero values are decoded.
func TestMalformed(t *testing.T) {
	for name, read := range map[string]func(r *Reader){
		"varint over its limit": func(r *Reader) { r.Max(299) },
		"length past the end":   func(r *Reader) { r.Data = []byte{2, 0}; r.Bytes() },
		"float past the end":    func(r *Reader) { r.Data = r.Data[:7]; r.Float() },
		"byte past the end":     func(r *Reader) { r.Data = nil; r.Byte() },
		"bool past the end":     func(r *Reader) { r.Data = nil; r.Bool() },
		"bool of 2":             func(r *Reader) { r.Data = []byte{2}; r.Bool() },
		"varint past the end":   func(r *Reader) { r.Data = []byte{0x80}; r.Uint() },
		"varint of 65 bits":     func(r *Reader) { r.Data = bytes.Repeat([]byte{0xff}, 10); r.Uint() },
	} {
		t.Run(name, func(t *testing.T) {
			r := &Reader{Data: encodeRecord()}
			if read(r); !errors.Is(r.Err, ErrMalformed) || r.Done() {
				t.Fatalf("got error %v, want ErrMalformed; done %v", r.Err, r.Done())
			}
			if v := r.Uint() + uint64(r.Byte()) + math.Float64bits(r.Float()); v != 0 || len(r.String()) != 0 {
				t.Errorf("decoded %d after the error, want zero values", v)
			}
		})
	}
}
