package emulator

import (
	"context"
	"io"
	"net/http"
	"sync"
	"time"

	"fieldhill/wire"
)

// maxForwards is to how many controllers the load balancer forwards a request at most.
const maxForwards = 3

// probeInterval is how often the load balancer asks a controller whether it is ready.
const probeInterval = time.Second

// ServeBalancer emulates the load balancer of a deployment that people try out: users send their requests to an
// address, and the invariant checker sees every job and answer. It passes over controllers that are not ready.
func (w *Environment) ServeBalancer(ctx context.Context, addr string) error {
	ln, err := w.networkOf("balancer").Listen(addr)
	if err != nil {
		return err
	}
	b := &balancer{environment: w, ready: make([]bool, len(w.processes))}
	for i := range w.processes {
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
		if s, err := wire.ParseJob(body); err == nil {
			id = s.ID
			w.Checker.RegisterJob(s)
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

type balancer struct {
	environment *Environment
	mu          sync.Mutex
	ready       []bool // by controller
	nextTurn    int    // where the search for a ready controller begins
}

// probe asks a controller every probeInterval whether it is ready.
func (b *balancer) probe(ctx context.Context, i int) {
	c := http.Client{
		Transport: &http.Transport{DialContext: dialFunc(b.environment.networkOf("balancer"))},
		Timeout:   probeInterval,
	}
	for ctx.Err() == nil {
		resp, err := c.Get("http://" + b.environment.UserAddr(i) + wire.PathReady)
		ok := err == nil && resp.StatusCode == http.StatusOK
		if err == nil {
			_ = resp.Body.Close() // the status is all that counts
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

// readyControllers lists the controllers that are ready, each time beginning with the next one.
func (b *balancer) readyControllers() (ready []int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.nextTurn++
	for k := range b.ready {
		if i := (b.nextTurn + k) % len(b.ready); b.ready[i] {
			ready = append(ready, i)
		}
	}
	return ready
}

// forward passes a request on until a controller answers.
func (b *balancer) forward(rw http.ResponseWriter, r *http.Request, operation, id string, body []byte) {
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
		return
	}
	rw.Header().Set("Retry-After", "1")
	respond(rw, http.StatusServiceUnavailable, payload{"error": "no controller answers"})
}
