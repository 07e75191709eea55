package main

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"time"

	"github.com/pelletier/go-toml/v2"

	"fieldhill/wire"
)

// Exit codes of the client commands.
const (
	exitRefused = 2 // the answer is final: malformed, unknown, or can never run
	exitRetry   = 3 // not now: ask again
)

// exitError ends the program with an exit code that tells scripts whether to try again.
type exitError struct {
	code int
	text string
}

// Error is what the program prints before it ends.
func (e *exitError) Error() string { return e.text }

// ExitCode is called by kong.
func (e *exitError) ExitCode() int { return e.code }

// target is the user API that a client command talks to.
//
//nolint:lll // a struct tag cannot be broken over lines
type target struct {
	Addr    string        `name:"addr" env:"FIELDHILL_ADDR" required:"" help:"A controller's address for users, such as 10.0.0.1:8080."`
	Timeout time.Duration `default:"5s" help:"How long to wait for an answer."`
}

// roundTrip sends a request to a controller and reads up to limit bytes of the answer. The error is an *exitError if
// no answer came.
func roundTrip(addr, method, path string, body []byte, timeout time.Duration, limit int64) (
	*http.Response, []byte, error,
) {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+addr+path, bytes.NewReader(body))
	if err != nil {
		return nil, nil, err
	}
	if body != nil {
		req.Header.Set("Content-Type", wire.ContentType)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return nil, nil, &exitError{exitRetry, fmt.Sprintf("no answer from %s: %v", addr, err)}
	}
	defer func() { _ = resp.Body.Close() }() // the body was read, or the error of reading it is returned
	b, err := io.ReadAll(io.LimitReader(resp.Body, limit))
	if err != nil {
		return nil, nil, &exitError{exitRetry, fmt.Sprintf("no whole answer from %s: %v", addr, err)}
	}
	return resp, b, nil
}

// send sends a request and decodes an answer of success into out, unless that is nil. Any other answer becomes an
// *exitError.
func (t *target) send(method, path string, body []byte, out any) error {
	resp, b, err := roundTrip(t.Addr, method, path, body, t.Timeout, wire.MaxBody)
	if err != nil {
		return err
	}
	if resp.StatusCode == http.StatusOK || resp.StatusCode == http.StatusCreated {
		if out == nil {
			return nil
		}
		return wire.Unmarshal(b, out)
	}
	text := resp.Status
	var p wire.Problem
	if wire.Unmarshal(b, &p) == nil && p.Error != "" {
		text += ": " + p.Error
	}
	switch resp.StatusCode {
	case http.StatusBadRequest, http.StatusNotFound, http.StatusUnprocessableEntity:
		return &exitError{exitRefused, text}
	}
	if after := resp.Header.Get("Retry-After"); after != "" {
		text += "; ask again in " + after + " s"
	}
	return &exitError{exitRetry, text}
}

func printStatus(s *wire.JobStatus) {
	fmt.Printf("%s %s, %d tasks done, %d running\n", s.ID, s.State, s.Done, s.Running)
}

// submitCmd submits a job that is described in a file.
type submitCmd struct {
	target
	File string `arg:"" help:"The job's description (TOML), see docs/OPERATING.md." type:"existingfile"`
}

// jobFile is a job as its owner describes it, with the field's terms for keys where the protocol has words of its own.
type jobFile struct {
	ID                  string   `toml:"id"`
	Class               string   `toml:"class"`
	Team                string   `toml:"team"`
	Shape               string   `toml:"shape"`
	Priority            string   `toml:"priority"`
	Tasks               int      `toml:"tasks"`
	CPUs                float64  `toml:"cpus"`
	GPUs                float64  `toml:"gpus"`
	MemoryGB            float64  `toml:"memory_gb"`
	Image               string   `toml:"image"`
	ImageGB             float64  `toml:"image_gb"`
	Types               []string `toml:"types"`
	Zone                *string  `toml:"zone"`
	SameZone            bool     `toml:"same_zone"`
	Spread              bool     `toml:"spread"`
	Spot                bool     `toml:"spot"`
	EstimateS           float64  `toml:"estimate_s"`
	CheckpointIntervalS float64  `toml:"checkpoint_s"`
	CheckpointWriteS    float64  `toml:"save_s"`
	DeadlineS           *float64 `toml:"deadline_s"`
}

// The words of job files, and how the protocol spells them.
var (
	shapes     = map[string]string{"array": wire.Array, "gang": wire.Gang, "service": wire.Service}
	priorities = map[string]string{
		"production": wire.Production,
		"high":       wire.High,
		"normal":     wire.Normal,
		"low":        wire.Low,
	}
)

// readJob reads a description and translates it into a submission of the protocol.
func readJob(b []byte) (*wire.JobSpec, error) {
	var f jobFile
	d := toml.NewDecoder(bytes.NewReader(b))
	d.DisallowUnknownFields() // a misspelt field would be a job other than meant
	if err := d.Decode(&f); err != nil {
		var strict *toml.StrictMissingError
		if errors.As(err, &strict) {
			return nil, fmt.Errorf("unknown field:\n%s", strict.String())
		}
		return nil, err
	}
	shape, ok := shapes[f.Shape]
	if !ok {
		return nil, fmt.Errorf("shape %q is none of array, gang, service", f.Shape)
	}
	priority, ok := priorities[f.Priority]
	if !ok {
		return nil, fmt.Errorf("priority %q is none of production, high, normal, low", f.Priority)
	}
	return &wire.JobSpec{
		ID:                  f.ID,
		Class:               f.Class,
		Team:                f.Team,
		Shape:               shape,
		Priority:            priority,
		Tasks:               f.Tasks,
		CPUs:                f.CPUs,
		GPUs:                f.GPUs,
		MemoryGB:            f.MemoryGB,
		Image:               f.Image,
		ImageGB:             f.ImageGB,
		Types:               f.Types,
		Zone:                f.Zone,
		SameZone:            f.SameZone,
		Spread:              f.Spread,
		Spot:                f.Spot,
		EstimateS:           f.EstimateS,
		CheckpointIntervalS: f.CheckpointIntervalS,
		CheckpointWriteS:    f.CheckpointWriteS,
		DeadlineS:           f.DeadlineS,
	}, nil
}

// Run carries out the command. What the service would refuse as malformed is refused without asking it.
func (c *submitCmd) Run() error {
	b, err := os.ReadFile(c.File)
	if err != nil {
		return err
	}
	spec, err := readJob(b)
	if err != nil {
		return &exitError{exitRefused, c.File + ": " + err.Error()}
	}
	body, err := wire.Marshal(spec)
	if err != nil {
		return err
	}
	if _, err := wire.ParseJob(body); err != nil {
		return &exitError{exitRefused, c.File + ": " + err.Error()}
	}
	var s wire.JobStatus
	if err := c.send(http.MethodPost, wire.PathJobs, body, &s); err != nil {
		return err
	}
	printStatus(&s)
	return nil
}

// jobCommand is a command about one job.
type jobCommand struct {
	target
	ID string `arg:"" help:"The job's id."`
}

// printResult sends a request about the job and prints the status in the answer.
func (c *jobCommand) printResult(method, suffix string) error {
	var s wire.JobStatus
	if err := c.send(method, wire.PathJobs+"/"+c.ID+suffix, nil, &s); err != nil {
		return err
	}
	printStatus(&s)
	return nil
}

// statusCmd prints how a job is.
type statusCmd struct{ jobCommand }

// Run carries out the command.
func (c *statusCmd) Run() error { return c.printResult(http.MethodGet, "") }

// cancelCmd cancels a job.
type cancelCmd struct{ jobCommand }

// Run carries out the command.
func (c *cancelCmd) Run() error { return c.printResult(http.MethodPost, wire.CancelSuffix) }

// readyCmd asks whether a controller takes requests.
type readyCmd struct{ target }

// Run carries out the command.
func (c *readyCmd) Run() error {
	if err := c.send(http.MethodGet, wire.PathReady, nil, nil); err != nil {
		return err
	}
	fmt.Println("ready")
	return nil
}
