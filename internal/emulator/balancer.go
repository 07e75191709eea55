package emulator

import (
	"context"
	"io"
	"net/http"
	"sync"
	"time"

	"fieldhill/wire"
)

// Balance plays the load balancer of a deployment that people try out: users send their
// requests to an address, and the referee hears of every job and answer. It passes over
// nodes that are not ready, and tries three at most.
func (w *World) Balance(ctx context.Context, addr string) error {
	ln, err := w.via("balancer").Listen(addr)
	if err != nil {
		return err
	}
	b := &balancer{world: w, ready: make([]bool, len(w.nodes))}
	for i := range w.nodes {
		go b.probe(ctx, i)
	}
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+wire.PathJobs, func(rw http.ResponseWriter, r *http.Request) {
		body, err := io.ReadAll(http.MaxBytesReader(rw, r.Body, wire.MaxBody))
		if err != nil {
			answer(rw, http.StatusBadRequest, m{"error": err.Error()})
			return
		}
		id := ""
		if s, err := wire.ParseJob(body); err == nil {
			id = s.ID
			w.Referee.Know(s)
		}
		b.pass(rw, r, "submit", id, body)
	})
	mux.HandleFunc("GET "+wire.PathJobs+"/{id}", func(rw http.ResponseWriter, r *http.Request) {
		b.pass(rw, r, "poll", r.PathValue("id"), nil)
	})
	mux.HandleFunc("POST "+wire.PathJobs+"/{id}"+wire.CancelSuffix, func(rw http.ResponseWriter, r *http.Request) {
		b.pass(rw, r, "cancel", r.PathValue("id"), nil)
	})
	mux.HandleFunc("GET "+wire.PathReady, func(rw http.ResponseWriter, r *http.Request) {
		if len(b.choose()) == 0 {
			rw.WriteHeader(http.StatusServiceUnavailable)
		}
	})
	serve(ctx, ln, mux)
	return nil
}

type balancer struct {
	world *World
	mu    sync.Mutex
	ready []bool
	turn  int
}

// probe asks a node about once a second whether it is ready.
func (b *balancer) probe(ctx context.Context, i int) {
	c := http.Client{Transport: &http.Transport{DialContext: dialer(b.world.via("balancer"))}, Timeout: time.Second}
	for ctx.Err() == nil {
		resp, err := c.Get("http://" + b.world.nodes[i].bind + wire.PathReady)
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

// choose names the nodes that are ready, each time beginning with the next one.
func (b *balancer) choose() (at []int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.turn++
	for k := range b.ready {
		if i := (b.turn + k) % len(b.ready); b.ready[i] {
			at = append(at, i)
		}
	}
	return at
}

func (b *balancer) pass(rw http.ResponseWriter, r *http.Request, what, id string, body []byte) {
	for k, i := range b.choose() {
		if k == 3 {
			break
		}
		code, header, got, _ := b.world.askAt(r.Context(), i, what, id, body)
		if code == 0 {
			continue
		}
		for _, h := range []string{"Content-Type", "Retry-After"} {
			if v := header.Get(h); v != "" {
				rw.Header().Set(h, v)
			}
		}
		rw.WriteHeader(code)
		_, _ = rw.Write(got)
		return
	}
	rw.Header().Set("Retry-After", "1")
	answer(rw, http.StatusServiceUnavailable, m{"error": "no controller answers"})
}
