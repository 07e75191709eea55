package controller

import (
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"fieldhill/internal/emulator"
	"fieldhill/internal/metrics"
	"fieldhill/internal/platform/msgpackhttp"
	"fieldhill/wire"
)

// TestBalancer: what stands between users and controllers where the service is tried out
// passes over a controller that has ended, and lets the referee see the answers.
func TestBalancer(t *testing.T) {
	runCluster(t, 26, func(w *emulator.Environment) {
		const at = "10.3.0.1:80"
		if err := w.ServeBalancer(w.Context(), at); err != nil {
			t.Fatal(err)
		}
		c := w.ClientFor("user")
		defer c.Close()
		do := func(path string, in any) (s wire.JobStatus, err error) {
			ctx, cancel := context.WithTimeout(w.Context(), 3*time.Second)
			defer cancel()
			return s, c.Do(ctx, "POST", at, path, in, &s, wire.MaxBody)
		}
		if _, err := do(wire.PathJobs, newJobSpec(1, wire.Array, 1, 500)); msgpackhttp.StatusCode(err) != 503 {
			t.Errorf("before any controller is ready: %v", err)
		}
		time.Sleep(6 * time.Second)
		w.Crash((findLeader() + 1) % 3)
		time.Sleep(3 * time.Second)
		for n := 1; n <= 6; n++ {
			if _, err := do(wire.PathJobs, newJobSpec(n, wire.Array, 1, 500)); msgpackhttp.StatusCode(err) != 201 {
				t.Errorf("job %d: %v", n, err)
			}
		}
		if s, err := do(
			wire.PathJobs+"/req-000002"+wire.CancelSuffix,
			struct{}{},
		); err != nil ||
			s.State != wire.JobCancelled {
			t.Errorf("cancellation: %v %v", s, err)
		}
		if finished, accepted := w.Checker.Finished(); finished != 1 || accepted != 6 {
			t.Errorf("the referee knows of %d jobs, %d over", accepted, finished)
		}
	})
}

// TestMetricsPage: the operators' page of a leader tells who leads, what it has and how
// many requests it answered, and a follower's agrees on the jobs.
func TestMetricsPage(t *testing.T) {
	runCluster(t, 27, func(w *emulator.Environment) {
		time.Sleep(6 * time.Second)
		w.Submit(newJobSpec(1, wire.Array, 3, 500))
		w.Submit(newJobSpec(2, wire.Array, 2, 500))
		time.Sleep(30 * time.Second)
		i := findLeader()
		for range 4 {
			w.RequestAt(i, "poll", "req-000001", nil)
		}
		w.RequestAt(i, "poll", "nonsense", nil)
		read := func(i int) string {
			h := w.Network.Host("operator")
			c := http.Client{
				Transport: &http.Transport{
					DisableKeepAlives: true,
					DialContext: func(ctx context.Context, _, a string) (net.Conn, error) {
						return h.Dial(ctx, a, time.Second)
					},
				},
			}
			resp, err := c.Get("http://" + metricsAddr(emulator.ControllerName(i)) + metrics.Path)
			if err != nil {
				t.Fatal(err)
			}
			defer resp.Body.Close()
			b, err := io.ReadAll(resp.Body)
			if err != nil {
				t.Fatal(err)
			}
			return "\n" + string(b)
		}
		page := read(i)
		for _, want := range []string{"fieldhill_leads 1", "fieldhill_term 1", "fieldhill_jobs 2", `fieldhill_tasks{state="placed"} 5`, `fieldhill_tasks{state="waiting"} 0`,
			"fieldhill_tasks_placed_total 5", `fieldhill_answers_total{request="status",answer="ok"} 4`, `fieldhill_answers_total{request="status",answer="refused"} 1`,
			`fieldhill_request_seconds_count{request="status"} 5`} {
			if !strings.Contains(page, "\n"+want+"\n") {
				t.Errorf("%s is missing", want)
			}
		}
		if page := read(
			(i + 1) % 3,
		); !strings.Contains(page, "\nfieldhill_leads 0\n") ||
			!strings.Contains(page, "\nfieldhill_jobs 2\n") {
			t.Error("a follower has another view")
		}
		if t.Failed() {
			t.Log(page)
		}
	})
}
