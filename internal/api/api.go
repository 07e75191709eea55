// Package api is the HTTP face of a controller, for users, workers and health
// checks. It decodes, bounds and answers; what the answer is, a Service decides.
package api

import (
	"context"
	"errors"
	"io"
	"log/slog"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"golang.org/x/net/netutil"

	"fieldhill/internal/result"
	"fieldhill/internal/rpc"
	"fieldhill/wire"
)

// Service decides the answers.
type Service interface {
	Submit(ctx context.Context, body []byte) result.Result
	Status(ctx context.Context, id string) result.Result
	Cancel(ctx context.Context, id string) result.Result
	Heartbeat(ctx context.Context, r *wire.Heartbeat) result.Result
	Ready() bool
}

// RequestKinds name the requests that Handler tells of.
var RequestKinds = []string{"submit", "status", "cancel", "report"}

// ConnLimiter bounds and counts a server's open connections.
type ConnLimiter struct {
	MaxConns int // connections at once; further ones are not accepted until some have ended
	open     atomic.Int64
}

// NearLimit tells whether so many connections are open that workers are to give theirs back: they
// come every few seconds, while users and health checks need to get in at any time. A leader of
// more workers than connections used to accept nobody for as long as they held on to theirs.
func (c *ConnLimiter) NearLimit() bool { return c.open.Load()*8 > int64(c.MaxConns)*7 }

// onConnState is for http.Server.ConnState.
func (c *ConnLimiter) onConnState(_ net.Conn, s http.ConnState) {
	switch s {
	case http.StateNew:
		c.open.Add(1)
	case http.StateClosed, http.StateHijacked:
		c.open.Add(-1)
	}
}

// Handler routes requests to a service, and tells of each answer and how long it took. The
// crowd is that of the server that it will serve.
func Handler(
	s Service,
	logger *slog.Logger,
	limiter *ConnLimiter,
	onResponse func(kind string, status int, took time.Duration),
) http.Handler {
	mux := http.NewServeMux()
	handle := func(kind, pattern string, f func(w http.ResponseWriter, r *http.Request) result.Result) {
		mux.HandleFunc(pattern, func(w http.ResponseWriter, r *http.Request) {
			start := time.Now()
			response := Respond(f(w, r))
			onResponse(kind, response.Status, time.Since(start))
			writeResponse(w, response)
		})
	}
	handle("submit", "POST "+wire.PathJobs, func(w http.ResponseWriter, r *http.Request) result.Result {
		body, err := readBody(w, r)
		if err != nil {
			return result.Invalid{Reason: err.Error()}
		}
		return s.Submit(r.Context(), body)
	})
	handle("status", "GET "+wire.PathJobs+"/{id}", func(w http.ResponseWriter, r *http.Request) result.Result {
		return s.Status(r.Context(), r.PathValue("id"))
	})
	handle(
		"cancel",
		"POST "+wire.PathJobs+"/{id}"+wire.CancelSuffix,
		func(w http.ResponseWriter, r *http.Request) result.Result {
			return s.Cancel(r.Context(), r.PathValue("id"))
		},
	)
	mux.HandleFunc("GET "+wire.PathReady, func(w http.ResponseWriter, r *http.Request) {
		if s.Ready() {
			w.WriteHeader(http.StatusOK)
		} else {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	})
	handle("report", "POST "+wire.PathHeartbeat, func(w http.ResponseWriter, r *http.Request) result.Result {
		if limiter.NearLimit() {
			w.Header().Set("Connection", "close")
		}
		body, err := readBody(w, r)
		var heartbeat wire.Heartbeat
		if err == nil {
			err = wire.Unmarshal(body, &heartbeat)
		}
		if err == nil && (heartbeat.Machine == "" || heartbeat.AgentEpoch == 0) {
			err = errors.New("no machine or session")
		}
		if err != nil {
			logger.Warn("malformed heartbeat", "remote_addr", r.RemoteAddr, "err", err)
			return result.Invalid{Reason: err.Error()}
		}
		return s.Heartbeat(r.Context(), &heartbeat)
	})
	return mux
}

func readBody(w http.ResponseWriter, r *http.Request) ([]byte, error) {
	if r.ContentLength > wire.MaxBody {
		return nil, errors.New("body too large")
	}
	if n := r.ContentLength; n >= 0 {
		b := make([]byte, n)
		_, err := io.ReadFull(r.Body, b)
		return b, err
	}
	return io.ReadAll(http.MaxBytesReader(w, r.Body, wire.MaxBody))
}

func writeResponse(w http.ResponseWriter, response *rpc.Response) {
	h := w.Header()
	h["Content-Type"] = contentType
	h["Content-Length"] = []string{strconv.Itoa(len(response.Body))}
	if response.RetryAfter > 0 {
		h["Retry-After"] = []string{strconv.Itoa(response.RetryAfter)}
	}
	w.WriteHeader(response.Status)
	_, _ = w.Write(response.Body)
}

var contentType = []string{wire.ContentType}

// Serve answers on a listener until the context ends, with a bounded number of
// connections.
func Serve(ctx context.Context, ln net.Listener, limiter *ConnLimiter, h http.Handler, logger *slog.Logger) error {
	server := &http.Server{
		Handler:           h,
		ConnState:         limiter.onConnState,
		ReadHeaderTimeout: 10 * time.Second,
		ReadTimeout:       15 * time.Second,
		WriteTimeout:      15 * time.Second,
		IdleTimeout:       90 * time.Second,
		MaxHeaderBytes:    8 << 10,
		ErrorLog:          slog.NewLogLogger(trimmingHandler{logger.Handler()}, slog.LevelDebug),
	}
	stop := context.AfterFunc(ctx, func() { server.Close() })
	defer stop()
	err := server.Serve(netutil.LimitListener(ln, limiter.MaxConns))
	if ctx.Err() != nil || errors.Is(err, http.ErrServerClosed) {
		return ctx.Err()
	}
	return err
}

// trimmingHandler trims the server's own messages, which clients cause.
type trimmingHandler struct{ slog.Handler }

// Handle passes a record on.
func (q trimmingHandler) Handle(ctx context.Context, r slog.Record) error {
	r.Message = strings.TrimSpace(r.Message)
	return q.Handler.Handle(ctx, r)
}
