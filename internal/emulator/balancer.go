package emulator

import (
	"context"
	"io"
	"net/http"
	"sync"
	"time"

	"fieldhill/wire"
)

// maxForwards is the maximum number of controllers that the load balancer tries for a request.
const maxForwards = 3

// probeInterval is the interval between the readiness probes of a controller.
const probeInterval = time.Second

// ServeBalancer starts the emulated load balancer of a development deployment on an address, and returns. The load
// balancer forwards users' requests to controllers that are ready, and passes every submitted job and every response to
// the invariant checker.
func (e *Environment) ServeBalancer(ctx context.Context, addr string) error {
	ln, err := e.networkOf("balancer").Listen(addr)
	if err != nil {
		return err
	}
	b := &loadBalancer{environment: e, ready: make([]bool, len(e.processes))}
	for i := range e.processes {
		go b.probe(ctx, i)
	}
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+wire.PathJobs, func(rw http.ResponseWriter, r *http.Request) {
		body, err := io.ReadAll(http.MaxBytesReader(rw, r.Body, wire.MaxBody))
		if err != nil {
			respond(rw, http.StatusBadRequest, payload{"error": err.Error()})
			return
		}
		id := ""
		if spec, err := wire.ParseJob(body); err == nil {
			id = spec.ID
			e.Checker.RegisterJob(spec)
		}
		b.forward(rw, r, operationSubmit, id, body)
	})
	mux.HandleFunc("GET "+wire.PathJobs+"/{id}", func(rw http.ResponseWriter, r *http.Request) {
		b.forward(rw, r, operationPoll, r.PathValue("id"), nil)
	})
	mux.HandleFunc("POST "+wire.PathJobs+"/{id}"+wire.CancelSuffix, func(rw http.ResponseWriter, r *http.Request) {
		b.forward(rw, r, operationCancel, r.PathValue("id"), nil)
	})
	mux.HandleFunc("GET "+wire.PathReady, func(rw http.ResponseWriter, r *http.Request) {
		if len(b.readyControllers()) == 0 {
			rw.WriteHeader(http.StatusServiceUnavailable)
		}
	})
	serve(ctx, ln, mux)
	return nil
}

// loadBalancer forwards users' requests to ready controllers.
type loadBalancer struct {
	environment *Environment
	mu          sync.Mutex
	ready       []bool // by controller
	nextIndex   int    // index at which the next search for a ready controller starts
}

// probe updates the readiness of a controller every probeInterval.
func (b *loadBalancer) probe(ctx context.Context, i int) {
	c := http.Client{
		Transport: &http.Transport{DialContext: dialFunc(b.environment.networkOf("balancer"))},
		Timeout:   probeInterval,
	}
	for ctx.Err() == nil {
		resp, err := c.Get("http://" + b.environment.UserAddr(i) + wire.PathReady)
		ok := err == nil && resp.StatusCode == http.StatusOK
		if err == nil {
			_ = resp.Body.Close() // only the status is used
		}
		b.mu.Lock()
		b.ready[i] = ok
		b.mu.Unlock()
		select {
		case <-ctx.Done():
		case <-time.After(probeInterval):
		}
	}
}

// readyControllers returns the indices of the controllers that are ready. The search for them starts one index further
// at each call (round-robin).
func (b *loadBalancer) readyControllers() (ready []int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.nextIndex++
	for k := range b.ready {
		if i := (b.nextIndex + k) % len(b.ready); b.ready[i] {
			ready = append(ready, i)
		}
	}
	return ready
}

// repeatElsewhere submits an accepted job once more, to the controller after the one that accepted it, so that the
// invariant checker sees what a repeated submission is answered.
func (b *loadBalancer) repeatElsewhere(accepting int, id string, body []byte) {
	other := (accepting + 1) % len(b.environment.processes)
	go b.environment.send(b.environment.ctx, other, operationSubmit, id, body)
}

// forward sends a request to up to maxForwards ready controllers, one after the other, until one answers. If none
// answers, it responds with 503.
func (b *loadBalancer) forward(rw http.ResponseWriter, r *http.Request, operation, id string, body []byte) {
	ready := b.readyControllers()
	for _, i := range ready[:min(len(ready), maxForwards)] {
		response := b.environment.send(r.Context(), i, operation, id, body)
		if response.code == 0 {
			continue
		}
		for _, name := range []string{"Content-Type", "Retry-After"} {
			if value := response.header.Get(name); value != "" {
				rw.Header().Set(name, value)
			}
		}
		rw.WriteHeader(response.code)
		_, _ = rw.Write(response.body)
		if operation == operationSubmit && response.code < http.StatusMultipleChoices {
			b.repeatElsewhere(i, id, body)
		}
		return
	}
	rw.Header().Set("Retry-After", "1")
	respond(rw, http.StatusServiceUnavailable, payload{"error": "no controller answers"})
}
