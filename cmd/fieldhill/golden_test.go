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

// runMainEnv makes the test binary run as fieldhill, so that tests compare the complete output and exit code of the
// program.
const runMainEnv = "FIELDHILL_TEST_AS_PROGRAM"

func TestMain(m *testing.M) {
	if os.Getenv(runMainEnv) != "" {
		main()
		os.Exit(0)
	}
	os.Exit(m.Run())
}

// runProgram runs fieldhill with the given environment variables only, for a terminal of 80 columns, and returns the
// command line, the output and the exit code as text.
func runProgram(t *testing.T, env []string, args ...string) string {
	t.Helper()
	executable, err := os.Executable()
	if err != nil {
		t.Fatal(err)
	}
	workDir, err := os.Getwd()
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithTimeout(t.Context(), time.Minute) // a controller started by mistake would not exit
	defer cancel()
	c := exec.CommandContext(ctx, executable, args...)
	c.Args[0] = "fieldhill"
	c.Env = append([]string{runMainEnv + "=1", "COLUMNS=80", "GORACE=atexit_sleep_ms=0"}, env...)
	var stdout, stderr bytes.Buffer
	c.Stdout, c.Stderr = &stdout, &stderr
	err = c.Run()
	var exitErr *exec.ExitError
	if err != nil && !errors.As(err, &exitErr) {
		t.Fatal(err)
	}
	output := fmt.Sprintf("$ %s\n%s", strings.Join(append(env, c.Args...), " "), stdout.String())
	if stderr.Len() > 0 {
		output += "stderr: " + stderr.String()
	}
	return strings.ReplaceAll(output, workDir+"/", "") + fmt.Sprintf("exit %d\n\n", c.ProcessState.ExitCode())
}

// settingsFile is a settings file with every key, relative to the package directory.
const settingsFile = "testdata/golden/settings.toml"

// TestGoldenHelp checks the help texts: commands, arguments, and flags with their defaults and environment variables.
func TestGoldenHelp(t *testing.T) {
	var b strings.Builder
	for _, command := range []string{"", "serve", "check", "submit", "status", "cancel", "why", "queue", "ready",
		"version"} {
		b.WriteString(runProgram(t, nil, append(strings.Fields(command), "--help")...))
	}
	golden.Check(t, "help.txt", []byte(b.String()))
	output := runProgram(t, nil, "version")
	if !regexp.MustCompile(`^\$ fieldhill version\nfieldhill \d+\.\d+\.\d+( \w+)?\nexit 0\n`).MatchString(output) {
		t.Errorf("version: got\n%s\nwant a version number and exit code 0", output)
	}
}

// TestGoldenSettings checks the output of the check command, and the errors for invalid values of flags and environment
// variables. These errors show that each flag and variable is read under its name.
func TestGoldenSettings(t *testing.T) {
	var b strings.Builder
	b.WriteString(runProgram(t, nil, "check", settingsFile))
	invalidFile := filepath.Join(t.TempDir(), "bad.toml")
	if err := os.WriteFile(invalidFile, []byte("node = 'n0'\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	for _, args := range [][]string{{"check", invalidFile}, {"check", invalidFile + "-none"}, {"check"},
		{"--config", invalidFile}, {"serve", "--config", invalidFile}, {"nonsense"}} {
		b.WriteString(strings.ReplaceAll(runProgram(t, nil, args...), filepath.Dir(invalidFile), "DIR"))
	}
	for _, flag := range []string{"--beta=2", "--threshold=3", "--wait-rounds=-1", "--round=1ms", "--metrics=x",
		"--operate=x", "--duties=x", "--log-level=loud", "--beta=x", "--nonsense"} {
		b.WriteString(runProgram(t, nil, flag, "--config", settingsFile))
	}
	for _, variable := range []string{"FIELDHILL_BETA=2", "FIELDHILL_THRESHOLD=3", "FIELDHILL_WAIT_ROUNDS=-1",
		"FIELDHILL_ROUND=1ms", "FIELDHILL_METRICS=x", "FIELDHILL_OPERATE=x", "FIELDHILL_DUTIES=x", "LOG_LEVEL=loud"} {
		b.WriteString(runProgram(t, []string{variable}, "--config", settingsFile))
	}
	golden.Check(t, "settings.txt", []byte(b.String()))
}

// TestGoldenDeploy compares the lines of the deploy files with the golden file, and checks that the program accepts the
// flags in them: it runs the program with these flags and an invalid log level, and expects an error only about the log
// level.
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
				b.WriteString(runProgram(t, []string{"LOG_LEVEL=loud"}, append(flags, settingsFile)...))
			}
		}
	}
	golden.Check(t, "deploy.txt", []byte(b.String()))
}

// TestGoldenJobFile checks that a job file with every key is translated into the stored request body, and that renaming
// any key is an error.
func TestGoldenJobFile(t *testing.T) {
	stored := golden.Read(t, "job.toml")
	spec, err := parseJobFile(stored)
	if err != nil {
		t.Fatal(err)
	}
	body, err := wire.Marshal(spec)
	if err != nil {
		t.Fatal(err)
	}
	golden.Check(t, "job.hex", body)
	golden.Check(t, "job.txt", []byte(golden.FormatBody(body)))
	for _, keyRange := range regexp.MustCompile(`(?m)^\w+ =`).FindAllIndex(stored, -1) {
		renamed := bytes.Clone(stored)
		renamed[keyRange[0]] = 'q'
		if _, err := parseJobFile(renamed); err == nil {
			t.Errorf("unknown key %s: got no error, want one", renamed[keyRange[0]:keyRange[1]])
		}
	}
	var translations strings.Builder
	for _, shape := range []string{"array", "gang", "service", "group", "daemon", ""} {
		for _, priority := range []string{"production", "high", "normal", "low", "idle", ""} {
			spec, err := parseJobFile(fmt.Appendf(nil, "shape = %q\npriority = %q\n", shape, priority))
			if err != nil {
				fmt.Fprintf(&translations, "%q %q: %v\n", shape, priority, err)
				continue
			}
			fmt.Fprintf(&translations, "%q %q: %s %s\n", shape, priority, spec.Shape, spec.Priority)
		}
	}
	golden.Check(t, "words.txt", []byte(translations.String()))
}

// TestGoldenClient checks the request, the output and the exit code of each client command for each kind of response.
func TestGoldenClient(t *testing.T) {
	r := golden.NewRecorder(t)
	userEnv, adminEnv := []string{"FIELDHILL_ADDR=" + r.Addr}, []string{"FIELDHILL_OPERATE=" + r.Addr}
	record := func(code int, retryAfter string, body []byte, env []string, args ...string) {
		header := http.Header{}
		if retryAfter != "" {
			header.Set("Retry-After", retryAfter)
		}
		r.Reply(code, header, body)
		r.Note("%s", runProgram(t, env, args...))
	}
	encode := func(v any) []byte {
		b, err := wire.Marshal(v)
		if err != nil {
			t.Fatal(err)
		}
		return b
	}
	job := encode(&wire.JobStatus{ID: "req-000412", State: wire.JobRunning, Done: 3, Running: 13})
	refused := encode(&wire.Problem{Error: "because"})
	examples, err := filepath.Glob("../../deploy/examples/*.toml")
	if err != nil {
		t.Fatal(err)
	}
	for _, file := range append(examples, "testdata/golden/job.toml") {
		record(http.StatusCreated, "", job, userEnv, "submit", file)
	}
	record(http.StatusOK, "", job, nil, "submit", "--addr", r.Addr, "--timeout=9s", examples[0])
	record(http.StatusOK, "", job, userEnv, "submit", "testdata/golden/bad-job.toml")
	record(http.StatusOK, "", job, userEnv, "status", "req-000412")
	record(http.StatusOK, "", []byte("?"), userEnv, "status", "req-000412")
	record(http.StatusOK, "", job, userEnv, "cancel", "req-000412")
	record(http.StatusOK, "", nil, userEnv, "ready")
	record(http.StatusServiceUnavailable, "", nil, userEnv, "ready")
	for _, code := range []int{400, 404, 422, 421, 429, 500, 503} {
		record(code, "", refused, userEnv, "status", "req-000412")
	}
	record(http.StatusServiceUnavailable, "7", refused, userEnv, "cancel", "req-000412")
	record(http.StatusOK, "", job, nil, "status", "req-000412") // without an address

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
	record(http.StatusOK, "", why, adminEnv, "why", "req-000412")
	record(http.StatusOK, "", why, adminEnv, "why", "req-000412", "--what-if")
	record(http.StatusOK, "", why, nil, "why", "--operate", r.Addr, "--timeout=9s", "--json", "req-000412")
	record(http.StatusOK, "", queue, adminEnv, "queue")
	record(http.StatusOK, "", queue, adminEnv, "queue", "--team=red", "--class=train", "--reason=paced", "--most=500",
		"--json")
	record(http.StatusNotFound, "", problem, adminEnv, "why", "req-000412")
	record(http.StatusServiceUnavailable, "7", problem, adminEnv, "queue")
	golden.Check(t, "client.txt", r.Text())
}
