package golden

import (
	"fmt"
	"testing"

	"github.com/vmihailenco/msgpack/v5"
)

// failureRecorder records the failures of a check. The test expects these failures, so they must not make it fail.
type failureRecorder struct {
	testing.TB
	failures []string
}

// Errorf records a failure.
func (r *failureRecorder) Errorf(format string, args ...any) {
	r.failures = append(r.failures, fmt.Sprintf(format, args...))
}

// TestGoldenChecksDetectDifferences verifies that the checks fail on changed bytes and on decoders that ignore a byte
// or a tag.
func TestGoldenChecksDetectDifferences(t *testing.T) {
	stored := []byte("\x00\x01\x02 0123456789 0123456789 0123456789")
	Check(t, "bytes.hex", stored)
	Check(t, "text.txt", []byte("text\n"))
	tagged, _ := msgpack.Marshal(map[string]int{"one": 1})
	for name, check := range map[string]func(testing.TB){
		"changed byte": func(t testing.TB) { Check(t, "bytes.hex", append([]byte{9}, stored[1:]...)) },
		"missing byte": func(t testing.TB) { Check(t, "bytes.hex", stored[:len(stored)-1]) },
		"extra byte":   func(t testing.TB) { Check(t, "bytes.hex", append(stored[:len(stored):len(stored)], 0)) },
		"changed text": func(t testing.TB) { Check(t, "text.txt", []byte("Text\n")) },
		"ignored byte": func(t testing.TB) {
			CheckDetectsByteChanges(t, "bytes.hex", func([]byte) ([]byte, error) { return stored, nil })
		},
		"ignored tag": func(t testing.TB) {
			CheckDetectsRenamedTags(t, "", tagged, func([]byte) ([]byte, error) { return tagged, nil })
		},
	} {
		r := &failureRecorder{TB: t}
		if !*update {
			if check(r); len(r.failures) == 0 {
				t.Errorf("%s: got no failure, want one", name)
			}
		}
	}
	CheckDetectsByteChanges(t, "bytes.hex", func(b []byte) ([]byte, error) { return b, nil })
	CheckDetectsRenamedTags(t, "", tagged, func(b []byte) ([]byte, error) { return b, nil })
}
