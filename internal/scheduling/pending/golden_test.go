package pending

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"fieldhill/internal/golden"
)

// TestGoldenCodes: programs look for the codes' names, and people for their sentences.
func TestGoldenCodes(t *testing.T) {
	var lines []string
	for c := range codes {
		r := Reason{Code: c}
		lines = append(lines, fmt.Sprintf("%s: %s\n", c, r.Says()))
		if found, ok := Find(c.String()); !ok || found != c {
			t.Errorf("%s is found as %s, %v", c, found, ok)
		}
	}
	slices.Sort(lines)
	r := Reason{Code: Team, N: 3, Of: "GPUs", Need: 4, Used: 62, Limit: 64, Who: "req-000007",
		In: 1500 * time.Millisecond}
	lines = append(lines, "\n"+r.String()+"\n")
	r.Limit = 0
	lines = append(lines, r.String()+"\n", codes.String()+"\n")
	golden.Check(t, "codes.txt", []byte(strings.Join(lines, "")))
}
