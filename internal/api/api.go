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

	"fieldhill/internal/rpc"
	"fieldhill/wire"
)

// Service decides the answers.
type Service interface {
	Submit(ctx context.Context, body []byte) *rpc.Reply
	Status(ctx context.Context, id string) *rpc.Reply
	Cancel(ctx context.Context, id string) *rpc.Reply
	Report(ctx context.Context, r *wire.Report) *rpc.Reply
	Ready() bool
}

// Encode makes a reply with a message.
func Encode(status int, v any) *rpc.Reply {
	b, err := wire.Marshal(v)
	if err != nil {
		return &rpc.Reply{Status: http.StatusInternalServerError}
	}
	return &rpc.Reply{Status: status, Body: b}
}

// Refuse makes a reply with a reason.
func Refuse(status int, reason string) *rpc.Reply {
	return Encode(status, &wire.Problem{Error: reason})
}

// Later makes a reply that tells when to come back.
func Later(reason string, seconds int) *rpc.Reply {
	r := Refuse(http.StatusServiceUnavailable, reason)
	r.RetryAfter = seconds
	return r
}

// Kinds name the requests that Handler tells of.
var Kinds = []string{"submit", "status", "cancel", "report"}

// Crowd bounds and counts a server's open connections.
type Crowd struct {
	Most int // connections at once; further ones are not accepted until some have ended
	open atomic.Int64
}

// Dense tells whether so many connections are open that workers are to give theirs back: they
// come every few seconds, while users and health checks need to get in at any time. A leader of
// more workers than connections used to accept nobody for as long as they held on to theirs.
func (c *Crowd) Dense() bool { return c.open.Load()*8 > int64(c.Most)*7 }

// note is for http.Server.ConnState.
func (c *Crowd) note(_ net.Conn, s http.ConnState) {
	switch s {
	case http.StateNew:
		c.open.Add(1)
	case http.StateClosed, http.StateHijacked:
		c.open.Add(-1)
	}
}

// Handler routes requests to a service, and tells of each answer and how long it took. The
// crowd is that of the server that it will serve.
func Handler(s Service, logger *slog.Logger, crowd *Crowd, answered func(kind string, status int, took time.Duration)) http.Handler {
	mux := http.NewServeMux()
	handle := func(kind, pattern string, f func(w http.ResponseWriter, r *http.Request) *rpc.Reply) {
		mux.HandleFunc(pattern, func(w http.ResponseWriter, r *http.Request) {
			began := time.Now()
			a := f(w, r)
			answered(kind, a.Status, time.Since(began))
			write(w, a)
		})
	}
	handle("submit", "POST "+wire.PathJobs, func(w http.ResponseWriter, r *http.Request) *rpc.Reply {
		body, err := readBody(w, r)
		if err != nil {
			return Refuse(http.StatusBadRequest, err.Error())
		}
		return s.Submit(r.Context(), body)
	})
	handle("status", "GET "+wire.PathJobs+"/{id}", func(w http.ResponseWriter, r *http.Request) *rpc.Reply {
		return s.Status(r.Context(), r.PathValue("id"))
	})
	handle("cancel", "POST "+wire.PathJobs+"/{id}"+wire.CancelSuffix, func(w http.ResponseWriter, r *http.Request) *rpc.Reply {
		return s.Cancel(r.Context(), r.PathValue("id"))
	})
	mux.HandleFunc("GET "+wire.PathReady, func(w http.ResponseWriter, r *http.Request) {
		if s.Ready() {
			w.WriteHeader(http.StatusOK)
		} else {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	})
	handle("report", "POST "+wire.PathReport, func(w http.ResponseWriter, r *http.Request) *rpc.Reply {
		if crowd.Dense() {
			w.Header().Set("Connection", "close")
		}
		body, err := readBody(w, r)
		var rep wire.Report
		if err == nil {
			err = wire.Unmarshal(body, &rep)
		}
		if err == nil && (rep.Machine == "" || rep.Session == 0) {
			err = errors.New("no machine or session")
		}
		if err != nil {
			logger.Warn("malformed report", "from", r.RemoteAddr, "err", err)
			return Refuse(http.StatusBadRequest, err.Error())
		}
		return s.Report(r.Context(), &rep)
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

func write(w http.ResponseWriter, a *rpc.Reply) {
	h := w.Header()
	h["Content-Type"] = contentType
	h["Content-Length"] = []string{strconv.Itoa(len(a.Body))}
	if a.RetryAfter > 0 {
		h["Retry-After"] = []string{strconv.Itoa(a.RetryAfter)}
	}
	w.WriteHeader(a.Status)
	_, _ = w.Write(a.Body)
}

var contentType = []string{wire.ContentType}

// Serve answers on a listener until the context ends, with a bounded number of
// connections.
func Serve(ctx context.Context, ln net.Listener, crowd *Crowd, h http.Handler, logger *slog.Logger) error {
	srv := &http.Server{
		Handler: h, ConnState: crowd.note, ReadHeaderTimeout: 10 * time.Second, ReadTimeout: 15 * time.Second, WriteTimeout: 15 * time.Second,
		IdleTimeout: 90 * time.Second, MaxHeaderBytes: 8 << 10,
		ErrorLog: slog.NewLogLogger(quiet{logger.Handler()}, slog.LevelDebug),
	}
	stop := context.AfterFunc(ctx, func() { srv.Close() })
	defer stop()
	err := srv.Serve(netutil.LimitListener(ln, crowd.Most))
	if ctx.Err() != nil || errors.Is(err, http.ErrServerClosed) {
		return ctx.Err()
	}
	return err
}

// quiet trims the server's own messages, which clients cause.
type quiet struct{ slog.Handler }

// Handle passes a record on.
func (q quiet) Handle(ctx context.Context, r slog.Record) error {
	r.Message = strings.TrimSpace(r.Message)
	return q.Handler.Handle(ctx, r)
}
