package main

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
	"time"

	"fieldhill/internal/adminapi"
	"fieldhill/internal/golden"
	"fieldhill/internal/result"
	"fieldhill/wire"
)

// asProgram makes the test's binary the program, so that what people and scripts see is compared whole.
const asProgram = "FIELDHILL_TEST_AS_PROGRAM"

func TestMain(m *testing.M) {
	if os.Getenv(asProgram) != "" {
		main()
		os.Exit(0)
	}
	os.Exit(m.Run())
}

// run runs the program with no variables but these, on a terminal of 80 columns, and spells what came of it.
func run(t *testing.T, variables []string, args ...string) string {
	t.Helper()
	self, err := os.Executable()
	if err != nil {
		t.Fatal(err)
	}
	here, err := os.Getwd()
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithTimeout(t.Context(), time.Minute) // a controller that was started would not end
	defer cancel()
	c := exec.CommandContext(ctx, self, args...)
	c.Args[0] = "fieldhill"
	c.Env = append([]string{asProgram + "=1", "COLUMNS=80", "GORACE=atexit_sleep_ms=0"}, variables...)
	var out, errs bytes.Buffer
	c.Stdout, c.Stderr = &out, &errs
	err = c.Run()
	var exit *exec.ExitError
	if err != nil && !errors.As(err, &exit) {
		t.Fatal(err)
	}
	said := fmt.Sprintf("$ %s\n%s", strings.Join(append(variables, c.Args...), " "), out.String())
	if errs.Len() > 0 {
		said += "stderr: " + errs.String()
	}
	return strings.ReplaceAll(said, here+"/", "") + fmt.Sprintf("exit %d\n\n", c.ProcessState.ExitCode())
}

// settings is a file with every key, in the directory in which the tests run.
const settings = "testdata/golden/settings.toml"

// TestGoldenHelp: commands, flags, their defaults and variables, arguments and their explanations.
func TestGoldenHelp(t *testing.T) {
	var b strings.Builder
	for _, command := range []string{"", "serve", "check", "submit", "status", "cancel", "why", "queue", "ready",
		"version"} {
		b.WriteString(run(t, nil, append(strings.Fields(command), "--help")...))
	}
	golden.Check(t, "help.txt", []byte(b.String()))
	said := run(t, nil, "version")
	if !regexp.MustCompile(`^\$ fieldhill version\nfieldhill \d+\.\d+\.\d+( \w+)?\nexit 0\n`).MatchString(said) {
		t.Errorf("got\n%s", said)
	}
}

// TestGoldenSettings: what check prints, and what is said of flags and variables with values that are refused: each is
// read under its name.
func TestGoldenSettings(t *testing.T) {
	var b strings.Builder
	b.WriteString(run(t, nil, "check", settings))
	bad := filepath.Join(t.TempDir(), "bad.toml")
	if err := os.WriteFile(bad, []byte("node = 'n0'\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	for _, args := range [][]string{{"check", bad}, {"check", bad + "-none"}, {"check"}, {"--config", bad},
		{"serve", "--config", bad}, {"nonsense"}} {
		b.WriteString(strings.ReplaceAll(run(t, nil, args...), filepath.Dir(bad), "DIR"))
	}
	for _, flag := range []string{"--beta=2", "--threshold=3", "--wait-rounds=-1", "--round=1ms", "--metrics=x",
		"--operate=x", "--duties=x", "--log-level=loud", "--beta=x", "--nonsense"} {
		b.WriteString(run(t, nil, flag, "--config", settings))
	}
	for _, variable := range []string{"FIELDHILL_BETA=2", "FIELDHILL_THRESHOLD=3", "FIELDHILL_WAIT_ROUNDS=-1",
		"FIELDHILL_ROUND=1ms", "FIELDHILL_METRICS=x", "FIELDHILL_OPERATE=x", "FIELDHILL_DUTIES=x", "LOG_LEVEL=loud"} {
		b.WriteString(run(t, []string{variable}, "--config", settings))
	}
	golden.Check(t, "settings.txt", []byte(b.String()))
}

// TestGoldenDeploy: the deploy files' lines, and that the program knows the flags in them: it comes as far as the one
// that is wrong, which is given beside them.
func TestGoldenDeploy(t *testing.T) {
	files, err := filepath.Glob("../../deploy/*.toml")
	if err != nil {
		t.Fatal(err)
	}
	var b strings.Builder
	for _, file := range files {
		text, err := os.ReadFile(file)
		if err != nil {
			t.Fatal(err)
		}
		fmt.Fprintf(&b, "=== %s\n", filepath.Base(file))
		for line := range strings.Lines(string(text)) {
			if strings.HasPrefix(line, "#") {
				continue
			}
			b.WriteString(line)
			if command, ok := strings.CutPrefix(line, `run = "`); ok {
				flags := strings.Fields(strings.TrimSuffix(strings.TrimSpace(command), `"`))[1:]
				b.WriteString(run(t, []string{"LOG_LEVEL=loud"}, append(flags, settings)...))
			}
		}
	}
	golden.Check(t, "deploy.txt", []byte(b.String()))
}

// TestGoldenJobFile: a description with every field becomes the stored submission, and one with a field of
// another name is refused.
func TestGoldenJobFile(t *testing.T) {
	stored := golden.Read(t, "job.toml")
	spec, err := readJob(stored)
	if err != nil {
		t.Fatal(err)
	}
	body, err := wire.Marshal(spec)
	if err != nil {
		t.Fatal(err)
	}
	golden.Check(t, "job.hex", body)
	golden.Check(t, "job.txt", []byte(golden.Body(body)))
	for _, at := range regexp.MustCompile(`(?m)^\w+ =`).FindAllIndex(stored, -1) {
		planted := bytes.Clone(stored)
		planted[at[0]] = 'q'
		if _, err := readJob(planted); err == nil {
			t.Errorf("%s was taken", planted[at[0]:at[1]])
		}
	}
	var words strings.Builder
	for _, shape := range []string{"array", "gang", "service", "group", "daemon", ""} {
		for _, priority := range []string{"production", "high", "normal", "low", "idle", ""} {
			spec, err := readJob(fmt.Appendf(nil, "shape = %q\npriority = %q\n", shape, priority))
			if err != nil {
				fmt.Fprintf(&words, "%q %q: %v\n", shape, priority, err)
				continue
			}
			fmt.Fprintf(&words, "%q %q: %s %s\n", shape, priority, spec.Shape, spec.Priority)
		}
	}
	golden.Check(t, "words.txt", []byte(words.String()))
}

// TestGoldenClient: what each command of the client sends, prints and ends with, for each kind of answer.
func TestGoldenClient(t *testing.T) {
	r := golden.Record(t)
	at, operators := []string{"FIELDHILL_ADDR=" + r.Addr}, []string{"FIELDHILL_OPERATE=" + r.Addr}
	ask := func(code int, retryAfter string, answer []byte, variables []string, args ...string) {
		header := http.Header{}
		if retryAfter != "" {
			header.Set("Retry-After", retryAfter)
		}
		r.Reply(code, header, answer)
		r.Note("%s", run(t, variables, args...))
	}
	message := func(v any) []byte {
		b, err := wire.Marshal(v)
		if err != nil {
			t.Fatal(err)
		}
		return b
	}
	job := message(&wire.JobStatus{ID: "req-000412", State: wire.JobRunning, Done: 3, Running: 13})
	refused := message(&wire.Problem{Error: "because"})
	examples, err := filepath.Glob("../../deploy/examples/*.toml")
	if err != nil {
		t.Fatal(err)
	}
	for _, file := range append(examples, "testdata/golden/job.toml") {
		ask(http.StatusCreated, "", job, at, "submit", file)
	}
	ask(http.StatusOK, "", job, nil, "submit", "--addr", r.Addr, "--timeout=9s", examples[0])
	ask(http.StatusOK, "", job, at, "submit", "testdata/golden/bad-job.toml")
	ask(http.StatusOK, "", job, at, "status", "req-000412")
	ask(http.StatusOK, "", []byte("?"), at, "status", "req-000412")
	ask(http.StatusOK, "", job, at, "cancel", "req-000412")
	ask(http.StatusOK, "", nil, at, "ready")
	ask(http.StatusServiceUnavailable, "", nil, at, "ready")
	for _, code := range []int{400, 404, 422, 421, 429, 500, 503} {
		ask(code, "", refused, at, "status", "req-000412")
	}
	ask(http.StatusServiceUnavailable, "7", refused, at, "cancel", "req-000412")
	ask(http.StatusOK, "", job, nil, "status", "req-000412") // no address

	why := adminapi.Respond(result.Explanation{Explanation: &wire.Explanation{
		ID: "req-000412", State: wire.JobPending, Node: "n1", Waiting: 4,
		Starting: 2, WillPlace: 1, Partial: true, Pairs: [][2]string{{"queue", "no-room"}},
		Reasons: []wire.Reason{{Code: "no-room", Text: "no room"},
			{Code: "team-limit", Text: "its team's limit", Binding: true, PlacedWithout: 4, PreemptedWithout: 1}},
		History: []wire.ReasonPeriod{{Code: "paced", SinceS: 5}, {Code: "queue", SinceS: 65}}}}).Body
	queue := adminapi.Respond(result.Queue{Queue: &wire.Queue{Node: "n1", Tasks: 9, More: 2, Jobs: []wire.QueuedJob{
		{Position: 1, ID: "req-000412", Team: "red", Class: "train", Waiting: 4, Reason: "no-room", SinceS: 61.23},
		{ID: "req-000413", Team: "blue", Class: "web", Waiting: 5, Reason: "paused"}}}}).Body
	problem := adminapi.Respond(result.Unknown{Reason: "unknown"}).Body
	ask(http.StatusOK, "", why, operators, "why", "req-000412")
	ask(http.StatusOK, "", why, operators, "why", "req-000412", "--what-if")
	ask(http.StatusOK, "", why, nil, "why", "--operate", r.Addr, "--timeout=9s", "--json", "req-000412")
	ask(http.StatusOK, "", queue, operators, "queue")
	ask(http.StatusOK, "", queue, operators, "queue", "--team=red", "--class=train", "--reason=paced", "--most=500",
		"--json")
	ask(http.StatusNotFound, "", problem, operators, "why", "req-000412")
	ask(http.StatusServiceUnavailable, "7", problem, operators, "queue")
	golden.Check(t, "client.txt", r.Text())
}
