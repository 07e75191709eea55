package commitfence

import (
	"testing"
	"time"

	"fieldhill/internal/golden"
)

// TestGoldenWord: the answer to OpVouch is written and read as it always was.
func TestGoldenWord(t *testing.T) {
	write := func(w WatermarkReport) []byte { return w.Append(nil) }
	golden.RoundTrip(
		t,
		"word.hex",
		WatermarkReport{Age: 90*time.Minute + 7*time.Millisecond, Highest: 1 << 40},
		write,
		ReadReport,
	)
	golden.RoundTrip(t, "word-none.hex", WatermarkReport{}, write, ReadReport)
}
