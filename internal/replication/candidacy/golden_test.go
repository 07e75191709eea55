package candidacy

import (
	"testing"

	"fieldhill/internal/golden"
)

// TestGoldenWords: what a ping asks and what is answered are written and read as they always were, and those of another
// version are refused.
func TestGoldenWords(t *testing.T) {
	type ask struct {
		Node string
		Life uint64
	}
	golden.RoundTrip(t, "ask.hex", ask{Node: "node-3", Life: 1 << 63},
		func(a ask) []byte { return AppendQuery(nil, a.Node, a.Life) },
		func(b []byte) (a ask, err error) { a.Node, a.Life, err = ReadQuery(b); return })
	write := func(w Status) []byte { return w.Append(nil) }
	golden.RoundTrip(t, "word.hex", Status{Warm: true, RecentIncarnations: maxIncarnations}, write, ReadStatus)
	golden.RoundTrip(t, "word-cold.hex", Status{}, write, ReadStatus)
	later := golden.Read(t, "word.hex")
	later[0] = 2
	if _, err := ReadStatus(later); err == nil {
		t.Error("a word of version 2 is read")
	}
	if _, _, err := ReadQuery(append([]byte{2}, golden.Read(t, "ask.hex")[1:]...)); err == nil {
		t.Error("a question of version 2 is read")
	}
}
