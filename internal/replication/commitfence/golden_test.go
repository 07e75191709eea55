package commitfence

import (
	"testing"
	"time"

	"fieldhill/internal/golden"
)

// TestGoldenWord: the answer to OpVouch is written and read as it always was.
func TestGoldenWord(t *testing.T) {
	write := func(w Word) []byte { return w.Append(nil) }
	golden.RoundTrip(t, "word.hex", Word{Age: 90*time.Minute + 7*time.Millisecond, High: 1 << 40}, write, Read)
	golden.RoundTrip(t, "word-none.hex", Word{}, write, Read)
}
