package lease

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"fieldhill/internal/golden"
)

// TestGoldenReport: the answer to OpRenewed is written and read as it always was.
func TestGoldenReport(t *testing.T) {
	write := func(r RenewalReport) []byte { return r.Append(nil) }
	none := RenewalReport{Age: time.Hour, RenewalAges: map[string]Time{}}
	golden.RoundTrip(t, "word-none.hex", none, write, ReadReport)
	one := RenewalReport{Age: 2 * time.Second, RenewalAges: map[string]Time{"host-1": 1500 * time.Millisecond}}
	golden.RoundTrip(t, "word-one.hex", one, write, ReadReport)
	// The order of several is not part of the format: the file stands for one that was received.
	several := RenewalReport{Age: 3 * time.Second,
		RenewalAges: map[string]Time{"host-1": 0, "host-22": time.Millisecond, "h3": time.Minute}}
	if golden.Updating() {
		golden.Check(t, "word-three.hex", write(several))
	}
	got, err := ReadReport(golden.Read(t, "word-three.hex"))
	if diff := cmp.Diff(several, got); diff != "" || err != nil {
		t.Error(err, diff)
	}
	if a, b := len(write(several)), len(golden.Read(t, "word-three.hex")); a != b {
		t.Errorf("%d bytes are written, and were %d", a, b)
	}
}
