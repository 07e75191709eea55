package commitfence

import (
	"testing"
	"time"

	"fieldhill/internal/golden"
)

// TestGoldenReport checks that the response to rpc.OpWatermark is encoded and decoded as recorded.
func TestGoldenReport(t *testing.T) {
	write := func(w WatermarkReport) []byte { return w.Append(nil) }
	report := WatermarkReport{Age: 90*time.Minute + 7*time.Millisecond, HighestSeq: 1 << 40}
	golden.RoundTrip(t, "word.hex", report, write, ReadReport)
	golden.RoundTrip(t, "word-none.hex", WatermarkReport{}, write, ReadReport)
}
