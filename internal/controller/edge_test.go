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

// TestLoadBalancer checks that the load balancer in front of the controllers of a local cluster skips a controller that
// has ended, and reports the responses to the invariant checker.
func TestLoadBalancer(t *testing.T) {
	runCluster(t, 26, func(w *emulator.Environment) {
		const addr = "10.3.0.1:80"
		if err := w.ServeBalancer(w.Context(), addr); err != nil {
			t.Fatal(err)
		}
		client := w.ClientFor("user")
		defer client.Close()
		do := func(path string, in any) (status wire.JobStatus, err error) {
			ctx, cancel := context.WithTimeout(w.Context(), 3*time.Second)
			defer cancel()
			return status, client.Do(ctx, "POST", addr, path, in, &status, wire.MaxBody)
		}
		if _, err := do(wire.PathJobs, newJobSpec(1, wire.Array, 1, 500)); msgpackhttp.StatusCode(err) != 503 {
			t.Errorf("submission before any controller is ready: got error %v, want status 503", err)
		}
		time.Sleep(6 * time.Second)
		w.StopAndWait((findLeader() + 1) % 3)
		time.Sleep(3 * time.Second)
		for n := 1; n <= 6; n++ {
			if _, err := do(wire.PathJobs, newJobSpec(n, wire.Array, 1, 500)); msgpackhttp.StatusCode(err) != 201 {
				t.Errorf("submission of job %d: got error %v, want status 201", n, err)
			}
		}
		status, err := do(wire.PathJobs+"/req-000002"+wire.CancelSuffix, struct{}{})
		if err != nil || status.State != wire.JobCancelled {
			t.Errorf("cancellation: got state %q, error %v; want %q", status.State, err, wire.JobCancelled)
		}
		if finished, accepted := w.Checker.JobCounts(); finished != 1 || accepted != 6 {
			t.Errorf("the invariant checker recorded %d accepted jobs, %d ended; want 6 and 1", accepted, finished)
		}
	})
}

// operatorClient returns an HTTP client on an operator's host in the emulated network.
func operatorClient(w *emulator.Environment) *http.Client {
	operator := w.Network.Host("operator")
	return &http.Client{
		Timeout: 5 * time.Second,
		Transport: &http.Transport{
			DisableKeepAlives: true,
			DialContext: func(ctx context.Context, _, addr string) (net.Conn, error) {
				return operator.Dial(ctx, addr, time.Second)
			},
		},
	}
}

// readMetrics returns the text of a controller's metrics page.
func readMetrics(t *testing.T, w *emulator.Environment, i int) string {
	t.Helper()
	resp, err := operatorClient(w).Get("http://" + metricsAddr(emulator.ControllerName(i)) + metrics.Path)
	if err != nil {
		t.Fatal(err)
	}
	page, err := io.ReadAll(resp.Body)
	if err != nil {
		t.Fatal(err)
	}
	if err := resp.Body.Close(); err != nil {
		t.Error(err)
	}
	return string(page)
}

// TestMetricsPage checks that the leader's metrics report leadership, jobs, tasks and request counts, and that a
// follower's metrics report the same jobs.
func TestMetricsPage(t *testing.T) {
	runCluster(t, 27, func(w *emulator.Environment) {
		time.Sleep(6 * time.Second)
		w.Submit(newJobSpec(1, wire.Array, 3, 500))
		w.Submit(newJobSpec(2, wire.Array, 2, 500))
		time.Sleep(30 * time.Second)
		leader := findLeader()
		for range 4 {
			w.RequestAt(leader, "poll", "req-000001", nil)
		}
		w.RequestAt(leader, "poll", "nonsense", nil)
		page := readMetrics(t, w, leader)
		for _, want := range []string{
			"fieldhill_leads 1",
			"fieldhill_term 1",
			"fieldhill_jobs 2",
			`fieldhill_tasks{state="placed"} 5`,
			`fieldhill_tasks{state="waiting"} 0`,
			"fieldhill_tasks_placed_total 5",
			`fieldhill_answers_total{request="status",answer="ok"} 4`,
			`fieldhill_answers_total{request="status",answer="refused"} 1`,
			`fieldhill_request_seconds_count{request="status"} 5`,
		} {
			if !strings.Contains("\n"+page, "\n"+want+"\n") {
				t.Errorf("the metrics page lacks %q", want)
			}
		}
		followerPage := "\n" + readMetrics(t, w, (leader+1)%3)
		if !strings.Contains(followerPage, "\nfieldhill_leads 0\n") ||
			!strings.Contains(followerPage, "\nfieldhill_jobs 2\n") {
			t.Error("the follower's metrics page lacks fieldhill_leads 0 or fieldhill_jobs 2")
		}
		if t.Failed() {
			t.Log(page)
		}
	})
}
