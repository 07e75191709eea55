package agent

import (
	"context"
	"fmt"
	"testing"
	"time"

	"fieldhill/internal/golden"
	"fieldhill/internal/platform/host"
	"fieldhill/wire"
)

// TestGoldenRequests compares commands and probes to agents, and the outcome and heartbeat derived from each response,
// with the stored file.
func TestGoldenRequests(t *testing.T) {
	report, err := wire.Marshal(&wire.Heartbeat{Machine: "m-7", Addr: "10.1.0.7:70", Type: "g8", AgentEpoch: 1 << 40,
		Seq: 3, FencingToken: 7,
		Tasks: []wire.TaskStatus{{Task: "req-000412/3", Attempt: 2, State: wire.TaskExited, Cause: wire.CauseDone,
			Checkpointed: true}}})
	if err != nil {
		t.Fatal(err)
	}
	recorder := golden.NewRecorder(t)
	c := New(host.TCP{}, 10*time.Second, 4)
	defer c.Close()
	grace := 2.5
	batch := &wire.CommandBatch{FencingToken: 7, AgentEpoch: 1 << 40, Commands: []wire.Command{
		{Verb: wire.VerbStart, Task: "req-000412/3", Attempt: 2},
		{Verb: wire.VerbStop, Task: "req-000412/4", Attempt: 1, GraceS: &grace},
		{Verb: wire.VerbForget, Task: "req-000412/5", Attempt: 9}}}
	describe := func(heartbeat *wire.Heartbeat) string {
		if heartbeat == nil {
			return "none\n"
		}
		b, _ := wire.Marshal(heartbeat)
		return golden.FormatBody(b)
	}
	for _, response := range []struct {
		status int
		body   []byte
	}{{200, report}, {200, []byte("?")}, {200, nil}, {409, report}, {409, nil}, {400, nil}, {404, nil}, {500, nil},
		{503, nil}} {
		recorder.Reply(response.status, nil, response.body)
		recorder.Note("=== orders, answered with %d and %d bytes", response.status, len(response.body))
		outcome, got, err := c.SendCommands(context.Background(), recorder.Addr, batch)
		recorder.Note("fate %d, error %v, report %s", int(outcome), err, describe(got))
	}
	for _, response := range []struct {
		status int
		body   []byte
	}{{200, report}, {200, nil}, {404, nil}} {
		recorder.Reply(response.status, nil, response.body)
		recorder.Note("=== show, answered with %d and %d bytes", response.status, len(response.body))
		got, err := c.Probe(context.Background(), recorder.Addr, 10*time.Second)
		recorder.Note("error %v, report %s", err, describe(got))
	}
	outcome, _, err := c.SendCommands(context.Background(), "127.0.0.1:0", batch) // no connection can be made
	recorder.Note("=== orders to nobody\nfate %d, error %t", int(outcome), err != nil)
	recorder.Note("=== fates %s", fmt.Sprint(int(Executed), int(Refused), int(Unsent), int(Unknown)))
	golden.Check(t, "requests.txt", recorder.Text())
}
