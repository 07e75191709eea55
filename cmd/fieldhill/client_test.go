package main

import (
	"errors"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"fieldhill/wire"
)

const jobDescription = `id = "req-000412"
class = "train"
team = "vision"
shape = "gang"
priority = "low"
tasks = 4
cpus = 8
memory_gb = 64.5
image = "img-07"
image_gb = 6.2
same_zone = true
estimate_s = 240
deadline_s = 900
`

// TestParseJobFile checks that a job file is translated into a valid job specification, and that unknown keys and
// invalid values are rejected.
func TestParseJobFile(t *testing.T) {
	spec, err := parseJobFile([]byte(jobDescription))
	if err != nil {
		t.Fatal(err)
	}
	deadlineS := 900.0
	want := &wire.JobSpec{
		ID:        "req-000412",
		Class:     "train",
		Team:      "vision",
		Shape:     wire.Gang,
		Priority:  wire.Low,
		Tasks:     4,
		CPUs:      8,
		MemoryGB:  64.5,
		Image:     "img-07",
		ImageGB:   6.2,
		SameZone:  true,
		EstimateS: 240,
		DeadlineS: &deadlineS,
	}
	if d := cmp.Diff(want, spec); d != "" {
		t.Errorf("parseJobFile (-want +got):\n%s", d)
	}
	b, err := wire.Marshal(spec)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := wire.ParseJob(b); err != nil {
		t.Errorf("ParseJob of the encoded job: got error %v, want none", err)
	}
	for _, change := range [][2]string{
		{"tasks", "pieces"},
		{`"gang"`, `"group"`},
		{`"low"`, `"idle"`},
		{"= 8", "= eight"},
	} {
		if _, err := parseJobFile([]byte(strings.Replace(jobDescription, change[0], change[1], 1))); err == nil {
			t.Errorf("%s in place of %s: got no error, want one", change[1], change[0])
		}
	}
}

// TestClientExitCodes checks that permanent and temporary errors have different exit codes.
func TestClientExitCodes(t *testing.T) {
	status, retryAfter := http.StatusOK, ""
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Method != http.MethodPost || r.URL.Path != "/api/jobs/req-000001/cancel" {
			t.Errorf("got request %s %s, want POST /api/jobs/req-000001/cancel", r.Method, r.URL.Path)
		}
		var b []byte
		if status == http.StatusOK {
			b, _ = wire.Marshal(&wire.JobStatus{ID: "req-000001", State: wire.JobCancelled})
		} else {
			b, _ = wire.Marshal(&wire.Problem{Error: "because"})
		}
		if retryAfter != "" {
			w.Header().Set("Retry-After", retryAfter)
		}
		w.WriteHeader(status)
		_, _ = w.Write(b)
	}))
	c := cancelCmd{jobCommand{userAPIFlags{strings.TrimPrefix(srv.URL, "http://"), 2 * time.Second}, "req-000001"}}
	if err := c.Run(); err != nil {
		t.Error(err)
	}
	for _, tc := range []struct {
		status, code int
		after, want  string
	}{
		{404, exitRefused, "", "because"},
		{422, exitRefused, "", "because"},
		{503, exitRetry, "7", "retry after 7 s"},
		{429, exitRetry, "", "because"},
	} {
		status, retryAfter = tc.status, tc.after
		var f *exitError
		if err := c.Run(); !errors.As(err, &f) || f.code != tc.code || !strings.Contains(f.text, tc.want) {
			t.Errorf("status %d: got error %v, want exit code %d and text %q", tc.status, err, tc.code, tc.want)
		}
	}
	srv.Close()
	var f *exitError
	if err := c.Run(); !errors.As(err, &f) || f.code != exitRetry {
		t.Errorf("server not running: got error %v, want exit code %d", err, exitRetry)
	}
}
