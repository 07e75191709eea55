package candidacy

import (
	"testing"

	"fieldhill/internal/golden"
)

// TestGoldenPing checks that the query in a ping and the status in its response are encoded and decoded as recorded,
// and that other versions are rejected.
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
	version2 := golden.Read(t, "word.hex")
	version2[0] = 2
	if _, err := ReadStatus(version2); err == nil {
		t.Error("a status of version 2 was decoded, want an error")
	}
	if _, _, err := ReadQuery(append([]byte{2}, golden.Read(t, "ask.hex")[1:]...)); err == nil {
		t.Error("a query of version 2 was decoded, want an error")
	}
}
