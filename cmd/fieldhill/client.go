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
	exitRefused = 2 // permanent error: the request is malformed, its job is unknown or can never run
	exitRetry   = 3 // temporary error: the request may be retried
)

// exitError is an error with an exit code of the program, which tells scripts whether to retry.
type exitError struct {
	code int
	text string
}

// Error returns the message for the user.
func (e *exitError) Error() string { return e.text }

// ExitCode returns the exit code of the program. It is called by kong.
func (e *exitError) ExitCode() int { return e.code }

// userAPIFlags are the flags of the commands that use the user API.
//
//nolint:lll // a struct tag cannot be broken over lines
type userAPIFlags struct {
	Addr    string        `name:"addr" env:"FIELDHILL_ADDR" required:"" help:"Address of a controller's user API, such as 10.0.0.1:8080."`
	Timeout time.Duration `default:"5s" help:"How long to wait for a response."`
}

// roundTrip sends a request to a controller and reads up to limit bytes of the response body. If no complete response
// was received, the error is an *exitError.
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
		return nil, nil, &exitError{exitRetry, fmt.Sprintf("no response from %s: %v", addr, err)}
	}
	defer func() { _ = resp.Body.Close() }() // ReadAll reports an incomplete body
	b, err := io.ReadAll(io.LimitReader(resp.Body, limit))
	if err != nil {
		return nil, nil, &exitError{exitRetry, fmt.Sprintf("incomplete response from %s: %v", addr, err)}
	}
	return resp, b, nil
}

// send sends a request and decodes a successful response into out, unless out is nil. For any other response it returns
// an *exitError.
func (f *userAPIFlags) send(method, path string, body []byte, out any) error {
	resp, b, err := roundTrip(f.Addr, method, path, body, f.Timeout, wire.MaxBody)
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
		text += "; retry after " + after + " s"
	}
	return &exitError{exitRetry, text}
}

func printStatus(s *wire.JobStatus) {
	fmt.Printf("%s %s, %d tasks done, %d running\n", s.ID, s.State, s.Done, s.Running)
}

// submitCmd submits a job described in a file.
type submitCmd struct {
	userAPIFlags
	File string `arg:"" help:"Job file (TOML), see docs/OPERATING.md." type:"existingfile"`
}

// jobFile is the format of job files. Its keys are the usual terms of cluster schedulers, even where the protocol uses
// other names.
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

// Values in job files and the corresponding values in the protocol.
var (
	shapes     = map[string]string{"array": wire.Array, "gang": wire.Gang, "service": wire.Service}
	priorities = map[string]string{
		"production": wire.Production,
		"high":       wire.High,
		"normal":     wire.Normal,
		"low":        wire.Low,
	}
)

// parseJobFile decodes a job file and translates it into a job specification of the protocol.
func parseJobFile(b []byte) (*wire.JobSpec, error) {
	var f jobFile
	d := toml.NewDecoder(bytes.NewReader(b))
	d.DisallowUnknownFields() // ignoring a misspelled field would submit an unintended job
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

// Run submits the job and prints its status. A malformed job is rejected without sending it to the controller.
func (c *submitCmd) Run() error {
	b, err := os.ReadFile(c.File)
	if err != nil {
		return err
	}
	spec, err := parseJobFile(b)
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

// jobCommand has the flags and the argument of the commands about one job.
type jobCommand struct {
	userAPIFlags
	ID string `arg:"" help:"Job ID."`
}

// printResult sends a request about the job and prints the job status in the response.
func (c *jobCommand) printResult(method, suffix string) error {
	var s wire.JobStatus
	if err := c.send(method, wire.PathJobs+"/"+c.ID+suffix, nil, &s); err != nil {
		return err
	}
	printStatus(&s)
	return nil
}

// statusCmd prints the status of a job.
type statusCmd struct{ jobCommand }

// Run requests the status of the job and prints it.
func (c *statusCmd) Run() error { return c.printResult(http.MethodGet, "") }

// cancelCmd cancels a job.
type cancelCmd struct{ jobCommand }

// Run cancels the job and prints its status.
func (c *cancelCmd) Run() error { return c.printResult(http.MethodPost, wire.CancelSuffix) }

// readyCmd checks whether a controller accepts requests.
type readyCmd struct{ userAPIFlags }

// Run prints ready, or returns an error if the controller does not accept requests.
func (c *readyCmd) Run() error {
	if err := c.send(http.MethodGet, wire.PathReady, nil, nil); err != nil {
		return err
	}
	fmt.Println("ready")
	return nil
}
