package emulator

import (
	"context"
	"io"
	"net/http"
	"sync"
	"time"

	"fieldhill/wire"
)

// ServeBalancer plays the load balancer of a deployment that people try out: users send their
// requests to an address, and the referee hears of every job and answer. It passes over
// nodes that are not ready, and tries three at most.
func (w *Environment) ServeBalancer(ctx context.Context, addr string) error {
	ln, err := w.networkOf("balancer").Listen(addr)
	if err != nil {
		return err
	}
	b := &balancer{environment: w, ready: make([]bool, len(w.controllers))}
	for i := range w.controllers {
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
		b.forward(rw, r, "submit", id, body)
	})
	mux.HandleFunc("GET "+wire.PathJobs+"/{id}", func(rw http.ResponseWriter, r *http.Request) {
		b.forward(rw, r, "poll", r.PathValue("id"), nil)
	})
	mux.HandleFunc("POST "+wire.PathJobs+"/{id}"+wire.CancelSuffix, func(rw http.ResponseWriter, r *http.Request) {
		b.forward(rw, r, "cancel", r.PathValue("id"), nil)
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
	ready       []bool
	nextTurn    int
}

// probe asks a node about once a second whether it is ready.
func (b *balancer) probe(ctx context.Context, i int) {
	c := http.Client{
		Transport: &http.Transport{DialContext: dialFunc(b.environment.networkOf("balancer"))},
		Timeout:   time.Second,
	}
	for ctx.Err() == nil {
		resp, err := c.Get("http://" + b.environment.controllers[i].userAddr + wire.PathReady)
		ok := err == nil && resp.StatusCode == http.StatusOK
		if err == nil {
			resp.Body.Close()
		}
		b.mu.Lock()
		b.ready[i] = ok
		b.mu.Unlock()
		select {
		case <-ctx.Done():
		case <-time.After(time.Second):
		}
	}
}

// readyControllers names the nodes that are ready, each time beginning with the next one.
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

func (b *balancer) forward(rw http.ResponseWriter, r *http.Request, operation, id string, body []byte) {
	for k, i := range b.readyControllers() {
		if k == 3 {
			break
		}
		code, header, responseBody, _ := b.environment.sendRequest(r.Context(), i, operation, id, body)
		if code == 0 {
			continue
		}
		for _, h := range []string{"Content-Type", "Retry-After"} {
			if v := header.Get(h); v != "" {
				rw.Header().Set(h, v)
			}
		}
		rw.WriteHeader(code)
		_, _ = rw.Write(responseBody)
		return
	}
	rw.Header().Set("Retry-After", "1")
	respond(rw, http.StatusServiceUnavailable, payload{"error": "no controller answers"})
}
