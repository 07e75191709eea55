package pending

import (
	"testing"
	"time"
)

// TestCodesAreTold: every code has a name of its own and a sentence, since programs and
// operators look for them.
func TestCodesAreTold(t *testing.T) {
	names := map[string]Code{}
	for c := range codes {
		if texts[c].name == "" || texts[c].says == "" {
			t.Errorf("code %d has no name or no sentence", c)
		}
		if o, ok := names[c.String()]; ok {
			t.Errorf("codes %d and %d are both called %s", o, c, c)
		}
		names[c.String()] = c
	}
	r := Reason{Code: Team, N: 3, Of: "GPUs", Need: 4, Used: 62, Limit: 64, Who: "req-000007", In: 1500 * time.Millisecond}
	if got, want := r.String(), "its team's limit: 3, 4 GPUs needed, 62 of 64 in use, first req-000007, for 1.5s"; got != want {
		t.Errorf("%q, not %q", got, want)
	}
}
