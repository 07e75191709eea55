package pending

import (
	"testing"
	"time"
)

// TestCodesHaveText checks that every code has a unique name and a sentence.
func TestCodesHaveText(t *testing.T) {
	names := map[string]Code{}
	for c := range numCodes {
		if texts[c].name == "" || texts[c].sentence == "" {
			t.Errorf("code %d: name %q, sentence %q; want both set", c, texts[c].name, texts[c].sentence)
		}
		if other, ok := names[c.String()]; ok {
			t.Errorf("codes %d and %d have the same name %s, want unique names", other, c, c)
		}
		names[c.String()] = c
	}
	r := Reason{
		Code:      TeamLimit,
		Count:     3,
		Unit:      "GPUs",
		Need:      4,
		Used:      62,
		Limit:     64,
		First:     "req-000007",
		Remaining: 1500 * time.Millisecond,
	}
	want := "its team's limit: 3, 4 GPUs needed, 62 of 64 in use, first req-000007, for 1.5s"
	if text := r.String(); text != want {
		t.Errorf("String of %+v: got %q, want %q", r, text, want)
	}
}
