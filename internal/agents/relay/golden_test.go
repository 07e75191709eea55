package relay

import (
	"testing"

	"fieldhill/internal/golden"
	"fieldhill/wire"
)

func ptr[T any](v T) *T { return &v }

// TestGoldenMessages checks the wire format between a relay and the leader against the stored files. It covers each
// text that is encoded as a number, and texts that are encoded in full.
func TestGoldenMessages(t *testing.T) {
	full := &wire.Heartbeat{Machine: "host-1", Addr: "10.1.0.1:9", Type: "small", Zone: "a", Spot: true,
		AgentEpoch: 1 << 40, Seq: 300, FencingToken: 1<<63 + 5, ReclaimNoticeS: ptr(12.5)}
	states := []string{wire.TaskFetching, wire.TaskWaiting, wire.TaskRunning, wire.TaskCheckpointing, "other"}
	for i, state := range states {
		full.Tasks = append(full.Tasks, wire.TaskStatus{Task: "req-000007.0", Attempt: uint64(100 + i), State: state})
	}
	causes := []string{wire.CauseDone, wire.CauseStopped, wire.CausePeers, wire.CauseGangIncomplete, wire.CauseError,
		wire.CauseNoCapacity, wire.CauseBusy, wire.CauseUnknown, "another"}
	for i, cause := range causes {
		exited := wire.TaskStatus{Task: "t", State: wire.TaskExited, Cause: cause, Checkpointed: i%2 == 0}
		full.Tasks = append(full.Tasks, exited)
	}
	short := &wire.Heartbeat{Machine: "host-2", Tasks: []wire.TaskStatus{}}
	encodeReport := func(r *wire.Heartbeat) []byte { return AppendHeartbeat(nil, r) }
	golden.RoundTrip(t, "report.hex", full, encodeReport, ReadHeartbeat)
	golden.RoundTrip(t, "report-short.hex", short, encodeReport, ReadHeartbeat)

	batch := &wire.CommandBatch{FencingToken: 1 << 24, AgentEpoch: 3, Commands: []wire.Command{
		{Verb: wire.VerbStart, Task: "job-1.0", Attempt: 1},
		{Verb: wire.VerbStop, Task: "job-1.1", Attempt: 200, GraceS: ptr(0.0)},
		{Verb: wire.VerbStop, Task: "job-2.0", Attempt: 1, GraceS: ptr(2.5)},
		{Verb: wire.VerbForget, Task: "job-3.4095", Attempt: 3},
		{Verb: "another"},
	}}
	encodeBatch := func(o *wire.CommandBatch) []byte { return AppendCommands(nil, o) }
	golden.RoundTrip(t, "orders.hex", batch, encodeBatch, ReadCommands)
	golden.RoundTrip(t, "orders-none.hex", &wire.CommandBatch{Commands: []wire.Command{}}, encodeBatch, ReadCommands)

	encodeResult := func(o CommandResult) []byte { return o.Append(nil) }
	golden.RoundTrip(t, "outcome.hex", CommandResult{Outcome: 1, Report: short}, encodeResult, ReadCommandResult)
	golden.RoundTrip(t, "outcome-alone.hex", CommandResult{Outcome: 3}, encodeResult, ReadCommandResult)
	golden.RoundTrip(t, "offer.hex", Offer{Node: "node-2", HasCapacity: true},
		func(o Offer) []byte { return o.Append(nil) }, ReadOffer)
	golden.RoundTrip(t, "terms.hex", true, func(on bool) []byte {
		return AppendOfferResponse(nil, on)
	}, ReadOfferResponse)
}
