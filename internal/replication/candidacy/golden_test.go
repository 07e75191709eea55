package candidacy

import (
	"testing"

	"fieldhill/internal/golden"
)

// TestGoldenPing: the query in a ping and the status in its response are written and read as they always were, and
// those of another version are refused.
func TestGoldenPing(t *testing.T) {
	type query struct {
		Node        string
		Incarnation uint64
	}
	golden.RoundTrip(t, "ask.hex", query{Node: "node-3", Incarnation: 1 << 63},
		func(q query) []byte { return AppendQuery(nil, q.Node, q.Incarnation) },
		func(b []byte) (q query, err error) { q.Node, q.Incarnation, err = ReadQuery(b); return })
	write := func(s Status) []byte { return s.Append(nil) }
	golden.RoundTrip(t, "word.hex", Status{Warm: true, RecentIncarnations: maxIncarnations}, write, ReadStatus)
	golden.RoundTrip(t, "word-cold.hex", Status{}, write, ReadStatus)
	later := golden.Read(t, "word.hex")
	later[0] = 2
	if _, err := ReadStatus(later); err == nil {
		t.Error("a status of version 2 is read")
	}
	if _, _, err := ReadQuery(append([]byte{2}, golden.Read(t, "ask.hex")[1:]...)); err == nil {
		t.Error("a query of version 2 is read")
	}
}
