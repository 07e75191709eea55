package main

import (
	"bytes"
	"context"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"time"

	"fieldhill/wire"
)

const (
	userTimeout  = 5 * time.Second
	submitWindow = 60 * time.Second
)

// request sends a user's request to a controller on a connection of its own. The code is 0 without a response.
func request(ctx context.Context, method string, n *node, path string, body []byte) (code int, status wire.JobStatus) {
	code, status, _ = requestFully(ctx, method, n, path, body)
	return code, status
}

func requestFully(ctx context.Context, method string, n *node, path string, body []byte) (
	code int, status wire.JobStatus, retryAfter time.Duration,
) {
	ctx, cancel := context.WithTimeout(ctx, userTimeout)
	defer cancel()
	message, err := http.NewRequestWithContext(ctx, method, "http://"+n.bind+path, bytes.NewReader(body))
	if err != nil {
		return 0, status, 0
	}
	message.Close = true
	response, err := http.DefaultClient.Do(message)
	if err != nil {
		return 0, status, 0
	}
	defer func() { _ = response.Body.Close() }()
	answered, err := io.ReadAll(response.Body)
	if err != nil {
		return 0, status, 0
	}
	_ = wire.Unmarshal(answered, &status) // refusals hold no status
	seconds, _ := strconv.Atoi(response.Header.Get("Retry-After"))
	return response.StatusCode, status, time.Duration(seconds) * time.Second
}

// anyNode returns a controller that is ready, as the load balancer would choose.
func (p *platform) anyNode() *node {
	first := rand.IntN(len(p.nodes))
	for i := range p.nodes {
		n := p.nodes[(first+i)%len(p.nodes)]
		if code, _ := request(p.ctx, http.MethodGet, n, wire.PathReady, nil); code == http.StatusOK {
			return n
		}
	}
	return p.nodes[first]
}

// submit submits a job and repeats that as users do. It reports whether the job was accepted.
func (p *platform) submit(spec *wire.JobSpec) bool {
	p.register(spec)
	body, err := wire.Marshal(spec)
	if err != nil {
		panic(err)
	}
	for end := time.Now().Add(submitWindow); time.Now().Before(end) && p.ctx.Err() == nil; {
		n := p.anyNode()
		code, _, retryAfter := requestFully(p.ctx, http.MethodPost, n, wire.PathJobs, body)
		p.record.add("user submits %s (%s, %s, %d tasks of %g CPUs, %g GPUs and %g GB) to %s: %d", spec.ID, spec.Shape,
			spec.Priority, spec.Tasks, spec.CPUs, spec.GPUs, spec.MemoryGB, n.name, code)
		switch code {
		case http.StatusOK, http.StatusCreated:
			return true
		case http.StatusBadRequest, http.StatusUnprocessableEntity:
			return false
		}
		time.Sleep(max(time.Second, min(retryAfter, 30*time.Second)))
	}
	return false
}

// poll asks for the state of a job once, for the record.
func (p *platform) poll(spec *wire.JobSpec) {
	n := p.anyNode()
	code, status := request(p.ctx, http.MethodGet, n, wire.PathJobs+"/"+spec.ID, nil)
	p.record.add("user asks %s for %s: %d %s, %d done, %d running", n.name, spec.ID, code, status.State, status.Done,
		status.Running)
}
