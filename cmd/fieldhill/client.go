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

// exitError is an error with an exit code.
type exitError struct {
	code int
	text string
}

func (f *exitError) Error() string { return f.text }

// ExitCode is read by kong.
func (f *exitError) ExitCode() int { return f.code }

// target is the controller that a client command talks to.
type target struct {
	Addr    string        `name:"addr" env:"FIELDHILL_ADDR" required:"" help:"A controller's address for users, such as 10.0.0.1:8080."`
	Timeout time.Duration `default:"5s" help:"How long to wait for an answer."`
}

// roundTrip sends a request to a controller and reads the answer up to a limit of bytes.
func roundTrip(
	addr, method, path string,
	body []byte,
	timeout time.Duration,
	limit int64,
) (*http.Response, []byte, error) {
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
	defer resp.Body.Close()
	b, err := io.ReadAll(io.LimitReader(resp.Body, limit))
	if err != nil {
		return nil, nil, &exitError{exitRetry, fmt.Sprintf("no whole answer from %s: %v", addr, err)}
	}
	return resp, b, nil
}

// send sends a request and decodes a good answer into out.
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

type submitCmd struct {
	target
	File string `arg:"" help:"The job's description (TOML), see docs/OPERATING.md." type:"existingfile"`
}

// jobFile is a job as its owner writes it down.
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

var (
	shapes     = map[string]string{"array": wire.Array, "gang": wire.Gang, "service": wire.Service}
	priorities = map[string]string{
		"production": wire.Production,
		"high":       wire.High,
		"normal":     wire.Normal,
		"low":        wire.Low,
	}
)

// readJob reads a description and puts it into the platform's words.
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

// jobCommand names a job at a controller.
type jobCommand struct {
	target
	ID string `arg:"" help:"The job's id."`
}

// printResult sends a request about the job and prints how it is.
func (a *jobCommand) printResult(method, suffix string) error {
	var s wire.JobStatus
	if err := a.send(method, wire.PathJobs+"/"+a.ID+suffix, nil, &s); err != nil {
		return err
	}
	printStatus(&s)
	return nil
}

type statusCmd struct{ jobCommand }

func (c *statusCmd) Run() error { return c.printResult(http.MethodGet, "") }

type cancelCmd struct{ jobCommand }

func (c *cancelCmd) Run() error { return c.printResult(http.MethodPost, wire.CancelSuffix) }

type readyCmd struct{ target }

func (c *readyCmd) Run() error {
	if err := c.send(http.MethodGet, wire.PathReady, nil, nil); err != nil {
		return err
	}
	fmt.Println("ready")
	return nil
}
