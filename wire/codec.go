package wire

import (
	"errors"
	"math"

	"github.com/vmihailenco/msgpack/v5"
	"github.com/vmihailenco/msgpack/v5/msgpcode"
)

// maxDepth is the nesting depth up to which maps and lists are decoded, far more than the known fields of any message
// need.
const maxDepth = 16

// Marshal encodes a message as MessagePack.
func Marshal(v any) ([]byte, error) { return msgpack.Marshal(v) }

// Unmarshal decodes one message: a single map without trailing bytes. Unknown fields may be nested as deep as they are
// long (prune).
func Unmarshal(b []byte, v any) error {
	b, err := prune(b)
	if err != nil {
		return err
	}
	return msgpack.Unmarshal(b, v)
}

func isMap(c byte) bool {
	return msgpcode.IsFixedMap(c) || c == msgpcode.Map16 || c == msgpcode.Map32
}

func isArray(c byte) bool {
	return msgpcode.IsFixedArray(c) || c == msgpcode.Array16 || c == msgpcode.Array32
}

func isNil(d *msgpack.Decoder) bool {
	c, err := d.PeekCode()
	return err == nil && c == msgpcode.Nil
}

// decodeString decodes a string. It rejects binary data and nil, which the library would accept.
func decodeString(d *msgpack.Decoder) (string, error) {
	c, err := d.PeekCode()
	if err != nil {
		return "", err
	}
	if !msgpcode.IsString(c) {
		return "", errors.New("not text")
	}
	return d.DecodeString()
}

// decodeStrings decodes a list of strings; nil is decoded as a nil slice.
func decodeStrings(d *msgpack.Decoder) ([]string, error) {
	c, err := d.PeekCode()
	if err != nil {
		return nil, err
	}
	if c == msgpcode.Nil {
		return nil, d.DecodeNil()
	}
	if !isArray(c) {
		return nil, errors.New("not a list")
	}
	n, err := d.DecodeArrayLen()
	if err != nil {
		return nil, err
	}
	list := []string{}
	for range n {
		s, err := decodeString(d)
		if err != nil {
			return nil, err
		}
		list = append(list, s)
	}
	return list, nil
}

func decodeBool(d *msgpack.Decoder) (bool, error) {
	c, err := d.PeekCode()
	if err != nil {
		return false, err
	}
	if c != msgpcode.True && c != msgpcode.False {
		return false, errors.New("not a boolean")
	}
	return d.DecodeBool()
}

func isInt(c byte) bool {
	return msgpcode.IsFixedNum(c) || (c >= msgpcode.Uint8 && c <= msgpcode.Int64)
}

// decodeAmount decodes a finite number of at least 0.
func decodeAmount(d *msgpack.Decoder) (float64, error) {
	c, err := d.PeekCode()
	if err != nil {
		return 0, err
	}
	if !isInt(c) && c != msgpcode.Float && c != msgpcode.Double {
		return 0, errors.New("not a number")
	}
	f, err := d.DecodeFloat64()
	if err != nil {
		return 0, err
	}
	if math.IsNaN(f) || math.IsInf(f, 0) || f < 0 {
		return 0, errors.New("not a finite amount")
	}
	return f, nil
}

// decodeCount decodes an integer from 0 to MaxTasks in any of the integer encodings.
func decodeCount(d *msgpack.Decoder) (int, error) {
	c, err := d.PeekCode()
	if err != nil {
		return 0, err
	}
	if !isInt(c) {
		return 0, errors.New("not an integer")
	}
	if c == msgpcode.Uint64 {
		u, err := d.DecodeUint64()
		if err != nil || u > MaxTasks {
			return 0, errors.New("out of range")
		}
		return int(u), nil
	}
	n, err := d.DecodeInt64()
	if err != nil || n < 0 || n > MaxTasks {
		return 0, errors.New("out of range")
	}
	return int(n), nil
}
