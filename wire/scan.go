package wire

import (
	"encoding/binary"
	"errors"
	"math"
	"slices"
	"strconv"

	"github.com/vmihailenco/msgpack/v5/msgpcode"
)

// Errors of malformed messages. Their texts are sent to the client.
var (
	errEmptyBody   = errors.New("empty body")
	errNotMap      = errors.New("not a map")
	errTrailing    = errors.New("bytes behind the message")
	errTruncated   = errors.New("body ends within a value")
	errBinary      = errors.New("binary data")
	errKeyNotText  = errors.New("a key that is not text")
	errUnknownCode = errors.New("a value of an unknown type")
	errTooLarge    = errors.New("body too large")
)

// valueKind is the kind of an encoded value.
type valueKind int

const (
	scalarValue valueKind = iota
	textValue
	listValue
	mapValue
)

// valueHead describes an encoded value. Lists and maps are described without the values that they contain.
type valueHead struct {
	kind     valueKind
	size     int // in bytes
	children int // values in a list, keys and values in a map
}

// readHead reads the head of the value at the beginning of b.
func readHead(b []byte) (head valueHead, err error) {
	if len(b) == 0 {
		return head, errTruncated
	}
	code := b[0]
	switch {
	case msgpcode.IsFixedNum(code):
		head.size = 1
	case msgpcode.IsFixedString(code):
		head = valueHead{kind: textValue, size: 1 + int(code&msgpcode.FixedStrMask)}
	case msgpcode.IsFixedArray(code):
		head = valueHead{listValue, 1, int(code & msgpcode.FixedArrayMask)}
	case msgpcode.IsFixedMap(code):
		head = valueHead{mapValue, 1, 2 * int(code&msgpcode.FixedMapMask)}
	default:
		head, err = readLongHead(b)
	}
	if err == nil && (head.size > len(b) || head.children > len(b)) { // each of the values takes a byte at least
		err = errTruncated
	}
	return head, err
}

// readLongHead reads the head of a value whose first byte is only a type code.
func readLongHead(b []byte) (head valueHead, err error) {
	switch code := b[0]; code {
	case msgpcode.Nil, msgpcode.False, msgpcode.True:
		return valueHead{size: 1}, nil
	case msgpcode.Uint8, msgpcode.Int8:
		return valueHead{size: 2}, nil
	case msgpcode.Uint16, msgpcode.Int16:
		return valueHead{size: 3}, nil
	case msgpcode.Uint32, msgpcode.Int32, msgpcode.Float:
		return valueHead{size: 5}, nil
	case msgpcode.Uint64, msgpcode.Int64, msgpcode.Double:
		return valueHead{size: 9}, nil
	case msgpcode.Str8, msgpcode.Str16, msgpcode.Str32:
		width := 1 << (code - msgpcode.Str8)
		n, err := readLength(b[1:], width)
		return valueHead{kind: textValue, size: 1 + width + n}, err
	case msgpcode.Array16, msgpcode.Array32:
		width := 2 << (code - msgpcode.Array16)
		n, err := readLength(b[1:], width)
		return valueHead{listValue, 1 + width, n}, err
	case msgpcode.Map16, msgpcode.Map32:
		width := 2 << (code - msgpcode.Map16)
		n, err := readLength(b[1:], width)
		return valueHead{mapValue, 1 + width, 2 * n}, err
	default:
		if msgpcode.IsBin(code) || msgpcode.IsExt(code) {
			return head, errBinary
		}
		return head, errUnknownCode
	}
}

// readLength reads a length that is encoded in the given number of bytes.
func readLength(b []byte, width int) (int, error) {
	if len(b) < width {
		return 0, errTruncated
	}
	switch width {
	case 1:
		return int(b[0]), nil
	case 2:
		return int(binary.BigEndian.Uint16(b)), nil
	}
	return int(binary.BigEndian.Uint32(b)), nil
}

// openValue is a list or map that scan has not left yet.
type openValue struct {
	isMap bool
	left  int32 // values still to come, and keys
}

// scan walks over the value that begins at pos and returns where it ends. It does not recurse, since unknown fields may
// be nested as deep as their message is long. It rejects values that occur in no message: maps with keys that are not
// text, binary data and extensions. It calls onValue with the head of each value, and with the number of lists and maps
// around it.
func scan(b []byte, pos int, onValue func(pos int, head valueHead, depth int)) (end int, err error) {
	open := make([]openValue, 0, 2*maxDepth)
	for {
		head, err := readHead(b[pos:])
		if err != nil {
			return 0, err
		}
		if n := len(open); n > 0 {
			if open[n-1].isMap && open[n-1].left%2 == 0 && head.kind != textValue {
				return 0, errKeyNotText
			}
			open[n-1].left--
		}
		onValue(pos, head, len(open))
		pos += head.size
		if head.children > 0 {
			open = append(open, openValue{isMap: head.kind == mapValue, left: int32(head.children)})
			continue
		}
		for len(open) > 0 && open[len(open)-1].left == 0 {
			open = open[:len(open)-1]
		}
		if len(open) == 0 {
			return pos, nil
		}
	}
}

// checkMessage returns an error unless the bytes are a single map.
func checkMessage(b []byte, onValue func(pos int, head valueHead, depth int)) error {
	switch {
	case len(b) == 0:
		return errEmptyBody
	case !isMap(b[0]):
		return errNotMap
	}
	end, err := scan(b, 0, onValue)
	if err == nil && end < len(b) {
		return errTrailing
	}
	return err
}

// prune checks that the bytes are a single map, and replaces lists and maps that are nested deeper than maxDepth by
// nil. Only unknown fields contain such values. The library skips them by recursion, so that they could exhaust the
// stack.
func prune(b []byte) ([]byte, error) {
	var deep []int // positions of the lists and maps to be replaced
	err := checkMessage(b, func(pos int, head valueHead, depth int) {
		if depth == maxDepth+1 && head.children > 0 {
			deep = append(deep, pos)
		}
	})
	if err != nil || len(deep) == 0 {
		return b, err
	}
	pruned, copied := make([]byte, 0, len(b)), 0
	for _, start := range deep {
		pruned = append(append(pruned, b[copied:start]...), msgpcode.Nil)
		copied, _ = scan(b, start, func(int, valueHead, int) {}) // checked above
	}
	return append(pruned, b[copied:]...), nil
}

// CheckSize returns an error if the bytes are not a message, or if the message is larger than MaxBody in the JSON form,
// in which the protocol counts.
func CheckSize(b []byte) error {
	size := 0
	err := checkMessage(b, func(pos int, head valueHead, _ int) {
		size += jsonSize(b[pos:pos+head.size], head)
	})
	if err == nil && size > MaxBody {
		return errTooLarge
	}
	return err
}

// jsonSize returns the size of the shortest JSON form of a value, without the values in a list or map, and with the
// separator behind it.
func jsonSize(b []byte, head valueHead) int {
	const separator, delimiters = 1, 2
	switch head.kind {
	case listValue, mapValue:
		return delimiters + separator - min(1, head.children) // there is no separator behind the last of the children
	case textValue:
		return delimiters + separator + textLength(b)
	case scalarValue:
	}
	return separator + numberLength(b)
}

// textLength returns the number of bytes of a text.
func textLength(b []byte) int {
	switch b[0] {
	case msgpcode.Str8:
		return len(b) - 2
	case msgpcode.Str16:
		return len(b) - 3
	case msgpcode.Str32:
		return len(b) - 5
	}
	return len(b) - 1
}

// numberLength returns the length of the JSON form of a number, a boolean or nil.
func numberLength(b []byte) int {
	value := uint64(b[0])
	if len(b) > 1 {
		value = 0
		for _, digit := range b[1:] {
			value = value<<8 | uint64(digit)
		}
	}
	switch b[0] {
	case msgpcode.Nil, msgpcode.True:
		return len("null")
	case msgpcode.False:
		return len("false")
	case msgpcode.Float:
		return len(strconv.FormatFloat(float64(math.Float32frombits(uint32(value))), 'g', -1, 32))
	case msgpcode.Double:
		return len(strconv.FormatFloat(math.Float64frombits(value), 'g', -1, 64))
	case msgpcode.Uint8, msgpcode.Uint16, msgpcode.Uint32, msgpcode.Uint64:
		return len(strconv.FormatUint(value, 10))
	}
	const byteBits, wordBits = 8, 64
	shift := wordBits - byteBits*max(1, len(b)-1) // extends the sign
	return len(strconv.FormatInt(int64(value<<shift)>>shift, 10))
}

// CompactJob returns a submission without its unknown fields.
func CompactJob(b []byte) ([]byte, error) {
	if err := checkMessage(b, func(int, valueHead, int) {}); err != nil {
		return nil, err
	}
	head, err := readHead(b)
	if err != nil {
		return nil, err
	}
	known, fields := []byte(nil), 0
	for pos := head.size; pos < len(b); {
		key, end, err := readField(b, pos)
		if err != nil {
			return nil, err
		}
		if slices.Contains(requiredFields, key) || slices.Contains(optionalFields, key) {
			known = append(known, b[pos:end]...)
			fields++
		}
		pos = end
	}
	compact := binary.BigEndian.AppendUint32([]byte{msgpcode.Map32}, uint32(fields))
	return append(compact, known...), nil
}

// readField returns the key of the map entry at pos, and where the entry ends.
func readField(b []byte, pos int) (key string, end int, err error) {
	head, err := readHead(b[pos:])
	if err != nil {
		return "", 0, err
	}
	value := pos + head.size
	key = string(b[value-textLength(b[pos:value]) : value])
	end, err = scan(b, value, func(int, valueHead, int) {})
	return key, end, err
}
