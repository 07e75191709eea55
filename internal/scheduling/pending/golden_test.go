package pending

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"fieldhill/internal/golden"
)

// TestGoldenCodes checks that the names and sentences of the codes, which programs and people rely on, do not change,
// and that ParseCode is the inverse of Code.String.
func TestGoldenCodes(t *testing.T) {
	var lines []string
	for c := range numCodes {
		r := Reason{Code: c}
		lines = append(lines, fmt.Sprintf("%s: %s\n", c, r.Summary()))
		if found, ok := ParseCode(c.String()); !ok || found != c {
			t.Errorf("ParseCode(%q) = %s, %v; want %s, true", c.String(), found, ok, c)
		}
	}
	slices.Sort(lines)
	r := Reason{Code: TeamLimit, Count: 3, Unit: "GPUs", Need: 4, Used: 62, Limit: 64, First: "req-000007",
		Remaining: 1500 * time.Millisecond}
	lines = append(lines, "\n"+r.String()+"\n")
	r.Limit = 0
	lines = append(lines, r.String()+"\n", numCodes.String()+"\n")
	golden.Check(t, "codes.txt", []byte(strings.Join(lines, "")))
}
