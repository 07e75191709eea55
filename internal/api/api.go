// Package api is the HTTP interface of a controller for users, agents and health checks. It decodes and bounds requests
// and spells results; a Service decides what comes of them.
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

// Service decides what comes of requests. Its methods are called by many goroutines.
type Service interface {
	// Submit accepts the job that the body has, each job once.
	Submit(ctx context.Context, body []byte) result.Result
	// Status returns the state of a job.
	Status(ctx context.Context, id string) result.Result
	// Cancel cancels a job and returns its state.
	Cancel(ctx context.Context, id string) result.Result
	// Heartbeat takes in an agent's heartbeat and renews its lease.
	Heartbeat(ctx context.Context, heartbeat *wire.Heartbeat) result.Result
	// Ready tells whether the load balancer may send requests here.
	Ready() bool
}

// The kinds of requests, as metrics name them.
const (
	kindSubmit    = "submit"
	kindStatus    = "status"
	kindCancel    = "cancel"
	kindHeartbeat = "report"
)

// RequestKinds are the kinds of requests that Handler reports to its observer.
var RequestKinds = []string{kindSubmit, kindStatus, kindCancel, kindHeartbeat}

// ConnLimiter bounds and counts a server's open connections.
type ConnLimiter struct {
	MaxConns int // connections at once; further ones are not accepted until some have ended
	open     atomic.Int64
}

// NearLimit tells whether so many connections are open that agents are to close theirs: they come every few seconds,
// while users and health checks need to get in at any time. A leader with more agents than connections used to accept
// nobody else until they closed theirs.
func (c *ConnLimiter) NearLimit() bool { return c.open.Load()*8 > int64(c.MaxConns)*7 }

// onConnState is for http.Server.ConnState.
func (c *ConnLimiter) onConnState(_ net.Conn, state http.ConnState) {
	switch state {
	case http.StateNew:
		c.open.Add(1)
	case http.StateClosed, http.StateHijacked:
		c.open.Add(-1)
	}
}

// Handler routes requests to a service, and reports each answer with the time that it took. The limiter is that of the
// server that it will serve.
func Handler(
	service Service,
	logger *slog.Logger,
	limiter *ConnLimiter,
	onResponse func(kind string, status int, took time.Duration),
) http.Handler {
	mux := http.NewServeMux()
	handle := func(kind, pattern string, answer func(w http.ResponseWriter, r *http.Request) result.Result) {
		mux.HandleFunc(pattern, func(w http.ResponseWriter, r *http.Request) {
			start := time.Now()
			response := Respond(answer(w, r))
			onResponse(kind, response.Status, time.Since(start))
			writeResponse(w, response)
		})
	}
	handle(kindSubmit, "POST "+wire.PathJobs, func(w http.ResponseWriter, r *http.Request) result.Result {
		body, err := readBody(w, r)
		if err != nil {
			return result.Invalid{Reason: err.Error()}
		}
		return service.Submit(r.Context(), body)
	})
	jobPath := wire.PathJobs + "/{id}"
	handle(kindStatus, "GET "+jobPath, func(_ http.ResponseWriter, r *http.Request) result.Result {
		return service.Status(r.Context(), r.PathValue("id"))
	})
	handle(kindCancel, "POST "+jobPath+wire.CancelSuffix, func(_ http.ResponseWriter, r *http.Request) result.Result {
		return service.Cancel(r.Context(), r.PathValue("id"))
	})
	handle(kindHeartbeat, "POST "+wire.PathHeartbeat, func(w http.ResponseWriter, r *http.Request) result.Result {
		if limiter.NearLimit() {
			w.Header().Set("Connection", "close")
		}
		heartbeat, err := readHeartbeat(w, r)
		if err != nil {
			logger.Warn("malformed heartbeat", "remote_addr", r.RemoteAddr, "err", err)
			return result.Invalid{Reason: err.Error()}
		}
		return service.Heartbeat(r.Context(), heartbeat)
	})
	mux.HandleFunc("GET "+wire.PathReady, func(w http.ResponseWriter, _ *http.Request) {
		if service.Ready() {
			w.WriteHeader(http.StatusOK)
		} else {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	})
	return mux
}

// What is wrong with a body; the texts are part of the answer.
var (
	errBodyTooLarge = errors.New("body too large")
	errNoSender     = errors.New("no machine or session")
)

// readBody reads the body of a request, of no more than wire.MaxBody bytes.
func readBody(w http.ResponseWriter, r *http.Request) ([]byte, error) {
	if r.ContentLength > wire.MaxBody {
		return nil, errBodyTooLarge
	}
	if length := r.ContentLength; length >= 0 {
		body := make([]byte, length)
		_, err := io.ReadFull(r.Body, body)
		return body, err
	}
	return io.ReadAll(http.MaxBytesReader(w, r.Body, wire.MaxBody))
}

// readHeartbeat reads a heartbeat that says whose it is.
func readHeartbeat(w http.ResponseWriter, r *http.Request) (*wire.Heartbeat, error) {
	body, err := readBody(w, r)
	if err != nil {
		return nil, err
	}
	heartbeat := &wire.Heartbeat{}
	if err := wire.Unmarshal(body, heartbeat); err != nil {
		return nil, err
	}
	if heartbeat.Machine == "" || heartbeat.AgentEpoch == 0 {
		return nil, errNoSender
	}
	return heartbeat, nil
}

var contentType = []string{wire.ContentType}

// writeResponse writes a response. Header values are set without canonicalization: heartbeats make it the busiest
// function of a server.
func writeResponse(w http.ResponseWriter, response *rpc.Response) {
	header := w.Header()
	header["Content-Type"] = contentType
	header["Content-Length"] = []string{strconv.Itoa(len(response.Body))}
	if response.RetryAfter > 0 {
		header["Retry-After"] = []string{strconv.Itoa(response.RetryAfter)}
	}
	w.WriteHeader(response.Status)
	_, _ = w.Write(response.Body) // who does not take the answer asks again
}

// Time and size limits of a server. Requests are small, and answers come within seconds.
const (
	readHeaderTimeout = 10 * time.Second
	readTimeout       = 15 * time.Second
	writeTimeout      = 15 * time.Second
	idleTimeout       = 90 * time.Second
	maxHeaderBytes    = 8 << 10
)

// Serve answers on a listener until the context ends, with a bounded number of connections.
func Serve(
	ctx context.Context, listener net.Listener, limiter *ConnLimiter, handler http.Handler, logger *slog.Logger,
) error {
	server := &http.Server{
		Handler:           handler,
		ConnState:         limiter.onConnState,
		ReadHeaderTimeout: readHeaderTimeout,
		ReadTimeout:       readTimeout,
		WriteTimeout:      writeTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
		ErrorLog:          slog.NewLogLogger(trimmingHandler{logger.Handler()}, slog.LevelDebug),
	}
	stop := context.AfterFunc(ctx, func() { _ = server.Close() }) // the listener's error ends Serve below
	defer stop()
	err := server.Serve(netutil.LimitListener(listener, limiter.MaxConns))
	if ctx.Err() != nil || errors.Is(err, http.ErrServerClosed) {
		return ctx.Err()
	}
	return err
}

// trimmingHandler trims the server's own messages, which clients cause.
type trimmingHandler struct{ slog.Handler }

// Handle passes a record on.
func (h trimmingHandler) Handle(ctx context.Context, record slog.Record) error {
	record.Message = strings.TrimSpace(record.Message)
	return h.Handler.Handle(ctx, record)
}
