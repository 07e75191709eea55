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

// TestReadJob: a description becomes a submission that the service accepts as
// well formed, and a misspelt one is refused with its reason.
func TestReadJob(t *testing.T) {
	spec, err := readJob([]byte(jobDescription))
	if err != nil {
		t.Fatal(err)
	}
	due := 900.0
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
		DeadlineS: &due,
	}
	if d := cmp.Diff(want, spec); d != "" {
		t.Error(d)
	}
	b, err := wire.Marshal(spec)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := wire.ParseJob(b); err != nil {
		t.Error(err)
	}
	for _, change := range [][2]string{
		{"tasks", "pieces"},
		{`"gang"`, `"group"`},
		{`"low"`, `"idle"`},
		{"= 8", "= eight"},
	} {
		if _, err := readJob([]byte(strings.Replace(jobDescription, change[0], change[1], 1))); err == nil {
			t.Errorf("%s instead of %s was taken", change[1], change[0])
		}
	}
}

// TestClientExitCodes: what is final and what is worth another try are told apart.
func TestClientExitCodes(t *testing.T) {
	status, after := http.StatusOK, ""
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Method != http.MethodPost || r.URL.Path != "/api/jobs/req-000001/cancel" {
			t.Errorf("%s %s", r.Method, r.URL.Path)
		}
		var b []byte
		if status == http.StatusOK {
			b, _ = wire.Marshal(&wire.JobStatus{ID: "req-000001", State: wire.JobCancelled})
		} else {
			b, _ = wire.Marshal(&wire.Problem{Error: "because"})
		}
		if after != "" {
			w.Header().Set("Retry-After", after)
		}
		w.WriteHeader(status)
		_, _ = w.Write(b)
	}))
	c := cancelCmd{jobCommand{target{strings.TrimPrefix(srv.URL, "http://"), 2 * time.Second}, "req-000001"}}
	if err := c.Run(); err != nil {
		t.Error(err)
	}
	for _, tc := range []struct {
		status, code int
		after, want  string
	}{
		{404, exitRefused, "", "because"},
		{422, exitRefused, "", "because"},
		{503, exitRetry, "7", "in 7 s"},
		{429, exitRetry, "", "because"},
	} {
		status, after = tc.status, tc.after
		var f *exitError
		if err := c.Run(); !errors.As(err, &f) || f.code != tc.code || !strings.Contains(f.text, tc.want) {
			t.Errorf("status %d: %v", tc.status, err)
		}
	}
	srv.Close()
	var f *exitError
	if err := c.Run(); !errors.As(err, &f) || f.code != exitRetry {
		t.Errorf("nobody there: %v", err)
	}
}
