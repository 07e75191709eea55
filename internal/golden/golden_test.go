package golden

import (
	"fmt"
	"testing"

	"github.com/vmihailenco/msgpack/v5"
)

// failureRecorder records the failures of a check, in place of failing the test that plants the difference.
type failureRecorder struct {
	testing.TB
	failures []string
}

// Errorf is called by the check.
func (r *failureRecorder) Errorf(format string, args ...any) {
	r.failures = append(r.failures, fmt.Sprintf(format, args...))
}

// TestGoldenFindsDifferences shows that the checks fail: on other bytes, and on readers that miss a byte or a tag.
func TestGoldenFindsDifferences(t *testing.T) {
	stored := []byte("\x00\x01\x02 0123456789 0123456789 0123456789")
	Check(t, "bytes.hex", stored)
	Check(t, "text.txt", []byte("text\n"))
	tagged, _ := msgpack.Marshal(map[string]int{"one": 1})
	for name, check := range map[string]func(testing.TB){
		"one byte": func(t testing.TB) { Check(t, "bytes.hex", append([]byte{9}, stored[1:]...)) },
		"one less": func(t testing.TB) { Check(t, "bytes.hex", stored[:len(stored)-1]) },
		"one more": func(t testing.TB) { Check(t, "bytes.hex", append(stored[:len(stored):len(stored)], 0)) },
		"text":     func(t testing.TB) { Check(t, "text.txt", []byte("Text\n")) },
		"unread byte": func(t testing.TB) {
			FlipFinds(t, "bytes.hex", func([]byte) ([]byte, error) { return stored, nil })
		},
		"unread tag": func(t testing.TB) {
			TagFinds(t, "", tagged, func([]byte) ([]byte, error) { return tagged, nil })
		},
	} {
		r := &failureRecorder{TB: t}
		if !*update {
			if check(r); len(r.failures) == 0 {
				t.Errorf("%s: not found", name)
			}
		}
	}
	FlipFinds(t, "bytes.hex", func(b []byte) ([]byte, error) { return b, nil })
	TagFinds(t, "", tagged, func(b []byte) ([]byte, error) { return b, nil })
}
