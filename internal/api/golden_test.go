package api

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"testing"
	"time"

	"fieldhill/internal/golden"
	"fieldhill/internal/result"
	"fieldhill/internal/rpc"
	"fieldhill/wire"
)

// scripted gives one answer to everything, and notes what it was asked.
type scripted struct {
	answer result.Result
	ready  bool
	asked  string
}

func (s *scripted) Submit(_ context.Context, body []byte) result.Result {
	s.asked = fmt.Sprintf("submit, %d bytes %.16x", len(body), body)
	return s.answer
}

func (s *scripted) Status(_ context.Context, id string) result.Result {
	s.asked = "status of " + id
	return s.answer
}

func (s *scripted) Cancel(_ context.Context, id string) result.Result {
	s.asked = "cancel " + id
	return s.answer
}

func (s *scripted) Heartbeat(_ context.Context, r *wire.Heartbeat) result.Result {
	body, _ := wire.Marshal(r)
	s.asked = "report\n" + golden.Body(body)
	return s.answer
}

func (s *scripted) Ready() bool { return s.ready }

// exchange is a request, and the answer of the service that it may reach.
type exchange struct {
	method, path string
	body         io.Reader
	answer       result.Result // nil: the service is not ready
	open         int           // connections
}

// goldenStatus is the state of a job that the service answers with.
var goldenStatus = wire.JobStatus{ID: "req-000412", State: wire.JobPending}

// jobExchanges has each kind of answer to users, and what is refused before the service is asked.
func jobExchanges() []exchange {
	ok := result.JobState{Status: goldenStatus}
	slow := result.Overloaded{Reason: "not now", RetryAfter: 2 * time.Second}
	noLeader := result.Unavailable{Reason: "no leader", RetryAfter: time.Second}
	unwritable := result.Forwarded{Response: encoding.Message(http.StatusOK, func() {})}
	unsupported := result.Forwarded{Response: &rpc.Response{Status: http.StatusNotImplemented}}
	job := wire.PathJobs + "/req-000412"
	long := make([]byte, wire.MaxBody+1)
	return []exchange{
		{"POST", wire.PathJobs, strings.NewReader("body"), result.Accepted{Status: goldenStatus}, 0},
		{"POST", wire.PathJobs, strings.NewReader("body"), ok, 0},
		{"POST", wire.PathJobs, strings.NewReader("body"), result.Invalid{Reason: "pieces: out of range"}, 0},
		{"POST", wire.PathJobs, strings.NewReader("body"), result.Unschedulable{Reason: "can never run"}, 0},
		{"POST", wire.PathJobs, strings.NewReader("body"), slow, 0},
		{"POST", wire.PathJobs, strings.NewReader("body"), noLeader, 0},
		{"POST", wire.PathJobs, strings.NewReader(""), ok, 0},
		{"POST", wire.PathJobs, bytes.NewReader(long[1:]), ok, 0},
		{"POST", wire.PathJobs, bytes.NewReader(long), ok, 0},
		{"POST", wire.PathJobs, io.MultiReader(bytes.NewReader(long[1:])), ok, 0}, // of unknown length
		{"POST", wire.PathJobs, io.MultiReader(bytes.NewReader(long)), ok, 0},
		{"POST", wire.PathJobs, strings.NewReader("body"), unwritable, 0}, // can't be written
		{"POST", wire.PathJobs, strings.NewReader("body"), unsupported, 0},
		{"GET", wire.PathJobs, nil, ok, 0},
		{"GET", job, nil, ok, 0},
		{"GET", job, nil, result.Unknown{Reason: "unknown"}, 0},
		{"POST", job, nil, ok, 0},
		{"GET", job + "%2Fx", nil, ok, 0},
		{"GET", job + "/x", nil, ok, 0},
		{"POST", job + wire.CancelSuffix, nil, ok, 0},
		{"GET", job + wire.CancelSuffix, nil, ok, 0},
		{"GET", wire.PathReady, nil, ok, 0},
		{"GET", wire.PathReady, nil, nil, 0},
		{"POST", wire.PathReady, nil, nil, 0},
	}
}

// heartbeatExchanges has each kind of answer to agents, and what is refused before the service is asked.
func heartbeatExchanges(t *testing.T) []exchange {
	t.Helper()
	report, err := wire.Marshal(&wire.Heartbeat{Machine: "m-7", Addr: "10.1.0.7:70", Type: "g8", Zone: "a",
		AgentEpoch: 1 << 40, Seq: 3,
		Tasks: []wire.TaskStatus{{Task: "req-000412/3", Attempt: 2, State: wire.TaskRunning}}})
	if err != nil {
		t.Fatal(err)
	}
	nobody, err := wire.Marshal(&wire.Heartbeat{Machine: "m-7"})
	if err != nil {
		t.Fatal(err)
	}
	taken := result.Renewed{FencingToken: 7, Commands: []wire.Command{{Verb: wire.Start,
		Task: "req-000412/3", Attempt: 2}}}
	return []exchange{
		{"POST", wire.PathHeartbeat, bytes.NewReader(report), taken, 0},
		{"POST", wire.PathHeartbeat, bytes.NewReader(report), taken, 7},
		{"POST", wire.PathHeartbeat, bytes.NewReader(report), taken, 8},
		{"POST", wire.PathHeartbeat, bytes.NewReader(report), result.Redirected{Node: "n2"}, 0},
		{"POST", wire.PathHeartbeat, bytes.NewReader(report), result.Redirected{}, 0},
		{"POST", wire.PathHeartbeat, bytes.NewReader(report), result.NotLeader{}, 0},
		{"POST", wire.PathHeartbeat, bytes.NewReader(report[:20]), taken, 0},
		{"POST", wire.PathHeartbeat, bytes.NewReader(nobody), taken, 0},
		{"POST", wire.PathHeartbeat, strings.NewReader("?"), taken, 0},
		{"GET", wire.PathHeartbeat, nil, taken, 0},
	}
}

// TestGoldenHTTP: routes, statuses, headers and bodies are those of the stored file, for each kind of answer and for
// what is refused before anybody is asked.
func TestGoldenHTTP(t *testing.T) {
	elsewhere := []exchange{
		{"GET", "/", nil, result.JobState{Status: goldenStatus}, 0},
		{"GET", wire.PathAdminQueue, nil, result.JobState{Status: goldenStatus}, 0},
	}
	var b strings.Builder
	for _, c := range slices.Concat(jobExchanges(), heartbeatExchanges(t), elsewhere) {
		s, limiter := &scripted{answer: c.answer, ready: c.answer != nil}, &ConnLimiter{MaxConns: 8}
		for range c.open {
			limiter.onConnState(nil, http.StateNew)
		}
		fmt.Fprintf(&b, "=== %s %s", c.method, c.path)
		if c.open > 0 {
			fmt.Fprintf(&b, " with %d of %d connections open", c.open, limiter.MaxConns)
		}
		counted := ""
		h := Handler(s, slog.New(slog.DiscardHandler), limiter, func(kind string, status int, _ time.Duration) {
			counted = fmt.Sprintf("counted as %s %d\n", kind, status)
		})
		w := httptest.NewRecorder()
		h.ServeHTTP(w, httptest.NewRequest(c.method, c.path, c.body))
		if s.asked != "" {
			fmt.Fprintf(&b, "\nasked: %s", strings.TrimSuffix(s.asked, "\n"))
		}
		fmt.Fprintf(&b, "\n%s%d\n%s", counted, w.Code, golden.Message(w.Header(), w.Body.Bytes()))
	}
	fmt.Fprintf(&b, "=== kinds %q\n", RequestKinds)
	golden.Check(t, "http.txt", []byte(b.String()))
}
