package lease

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"fieldhill/internal/golden"
)

// TestGoldenReport checks the wire format of the response to rpc.OpRenewals against the stored files.
func TestGoldenReport(t *testing.T) {
	encode := func(r RenewalReport) []byte { return r.Append(nil) }
	none := RenewalReport{Age: time.Hour, RenewalAges: map[string]Time{}}
	golden.RoundTrip(t, "word-none.hex", none, encode, ReadReport)
	one := RenewalReport{Age: 2 * time.Second, RenewalAges: map[string]Time{"host-1": 1500 * time.Millisecond}}
	golden.RoundTrip(t, "word-one.hex", one, encode, ReadReport)
	// The order of machines is not part of the format. The test therefore compares the report decoded from the file,
	// but only the length of the encoded report.
	several := RenewalReport{Age: 3 * time.Second,
		RenewalAges: map[string]Time{"host-1": 0, "host-22": time.Millisecond, "h3": time.Minute}}
	if golden.Updating() {
		golden.Check(t, "word-three.hex", encode(several))
	}
	got, err := ReadReport(golden.Read(t, "word-three.hex"))
	if diff := cmp.Diff(several, got); diff != "" || err != nil {
		t.Error(err, diff)
	}
	if a, b := len(encode(several)), len(golden.Read(t, "word-three.hex")); a != b {
		t.Errorf("encoded report has %d bytes, want %d as in the stored file", a, b)
	}
}
