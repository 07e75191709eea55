// Package api is the HTTP interface of a controller for users, agents and health checks. The package decodes requests,
// limits their size and encodes the results; a Service handles the requests.
package api

import (
	"bytes"
	"context"
	"errors"
	"log/slog"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"fieldhill/internal/platform/connlimit"
	"fieldhill/internal/result"
	"fieldhill/internal/rpc"
	"fieldhill/wire"
)

// Service handles the requests of users, agents and the load balancer. Its methods are called concurrently.
type Service interface {
	// Submit accepts the job in the body. Submitting a job again has no further effect.
	Submit(ctx context.Context, body []byte) result.Result
	// Status returns the status of a job.
	Status(ctx context.Context, id string) result.Result
	// Cancel cancels a job and returns its status.
	Cancel(ctx context.Context, id string) result.Result
	// Heartbeat processes an agent's heartbeat and renews the agent's lease.
	Heartbeat(ctx context.Context, heartbeat *wire.Heartbeat) result.Result
	// Ready reports whether the load balancer may send requests to this controller.
	Ready() bool
}

// Request kinds. They are label values of metrics.
const (
	kindSubmit    = "submit"
	kindStatus    = "status"
	kindCancel    = "cancel"
	kindHeartbeat = "report"
)

// RequestKinds are the kinds of requests that Handler reports to onResponse.
var RequestKinds = []string{kindSubmit, kindStatus, kindCancel, kindHeartbeat}

// Handler routes requests to a service, and calls onResponse with the kind, status and duration of each user request
// and heartbeat. The limiter must be the one passed to Serve with the handler.
func Handler(
	service Service,
	logger *slog.Logger,
	limiter *connlimit.Limiter,
	onResponse func(kind string, status int, took time.Duration),
) http.Handler {
	mux := http.NewServeMux()
	handle := func(kind, pattern string, serve func(w http.ResponseWriter, r *http.Request) result.Result) {
		mux.HandleFunc(pattern, func(w http.ResponseWriter, r *http.Request) {
			start := time.Now()
			if r.ContentLength == 0 {
				connOf(r).RequestRead()
			}
			response := Respond(serve(w, r))
			onResponse(kind, response.Status, time.Since(start))
			writeResponse(w, response)
		})
	}
	handle(kindSubmit, "POST "+wire.PathJobs, func(w http.ResponseWriter, r *http.Request) result.Result {
		body, err := readBody(w, r)
		if err == nil && len(body) > wire.MaxBody {
			body, err = wire.CompactJob(body) // so that it can be forwarded
		}
		if err != nil {
			return result.Invalid{Reason: err.Error()}
		}
		return service.Submit(r.Context(), body)
	})
	jobPath := wire.PathJobs + "/{id}"
	handle(kindStatus, "GET "+jobPath, func(_ http.ResponseWriter, r *http.Request) result.Result {
		return service.Status(r.Context(), r.PathValue("id"))
	})
	handle(kindCancel, "POST "+jobPath+wire.CancelSuffix, func(w http.ResponseWriter, r *http.Request) result.Result {
		if _, err := readBody(w, r); err != nil { // cancellations have no fields
			return result.Invalid{Reason: err.Error()}
		}
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
	mux.HandleFunc("GET "+wire.PathReady, func(w http.ResponseWriter, r *http.Request) {
		connOf(r).RequestRead()
		if service.Ready() {
			w.WriteHeader(http.StatusOK)
		} else {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	})
	return mux
}

// Errors that reject a request because of its body. Their texts are sent in the response.
var (
	errBodyTooLarge     = errors.New("body too large")
	errNoMachineOrEpoch = errors.New("no machine or session")
)

// maxPreallocated is the number of bytes of a body for which memory is taken before they have arrived. Most bodies are
// smaller, and take no second allocation.
const maxPreallocated = 8 << 10

// readBody reads a request body. It returns an error if the body exceeds wire.MaxBody bytes in its JSON form. The
// memory that it takes beyond maxPreallocated grows with what has arrived, not with what the client announces.
func readBody(w http.ResponseWriter, r *http.Request) ([]byte, error) {
	if r.ContentLength > wire.MaxEncodedBody {
		return nil, errBodyTooLarge
	}
	announced := min(max(r.ContentLength, 0), maxPreallocated)
	buffer := bytes.NewBuffer(make([]byte, 0, announced+bytes.MinRead)) // ReadFrom needs MinRead to see the end
	if _, err := buffer.ReadFrom(http.MaxBytesReader(w, r.Body, wire.MaxEncodedBody)); err != nil {
		return nil, err
	}
	connOf(r).RequestRead()
	body := buffer.Bytes()
	if len(body) > wire.MaxBody && wire.CheckSize(body) != nil {
		return nil, errBodyTooLarge
	}
	return body, nil
}

// connKey is the key of the connection in the context of a request.
type connKey struct{}

// connOf returns the connection of a request, or nil if the request was not received by Serve.
func connOf(r *http.Request) *connlimit.Conn {
	conn, _ := r.Context().Value(connKey{}).(*connlimit.Conn)
	return conn
}

// onConnState reports idle connections to their limiter; it is the http.Server.ConnState hook.
func onConnState(conn net.Conn, state http.ConnState) {
	if limited, ok := conn.(*connlimit.Conn); ok && state == http.StateIdle {
		limited.Idle()
	}
}

// readHeartbeat decodes a heartbeat and checks that it identifies its sender.
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
		return nil, errNoMachineOrEpoch
	}
	return heartbeat, nil
}

var contentType = []string{wire.ContentType}

// writeResponse writes a response. It sets headers without canonicalizing their names, because it is on the hot path of
// heartbeats.
func writeResponse(w http.ResponseWriter, response *rpc.Response) {
	header := w.Header()
	header["Content-Type"] = contentType
	header["Content-Length"] = []string{strconv.Itoa(len(response.Body))}
	if response.RetryAfter > 0 {
		header["Retry-After"] = []string{strconv.Itoa(response.RetryAfter)}
	}
	w.WriteHeader(response.Status)
	_, _ = w.Write(response.Body) // a client that did not receive the response retries
}

// Time and size limits of a server. They are low because requests are small and responses take seconds at most.
const (
	readHeaderTimeout = 10 * time.Second
	readTimeout       = 15 * time.Second
	writeTimeout      = 15 * time.Second
	idleTimeout       = 90 * time.Second
	maxHeaderBytes    = 8 << 10
)

// Serve serves HTTP on a listener until the context is done, within the limiter's limits.
func Serve(
	ctx context.Context, listener net.Listener, limiter *connlimit.Limiter, handler http.Handler, logger *slog.Logger,
) error {
	server := &http.Server{
		Handler:   handler,
		ConnState: onConnState,
		ConnContext: func(ctx context.Context, conn net.Conn) context.Context {
			return context.WithValue(ctx, connKey{}, conn)
		},
		ReadHeaderTimeout: readHeaderTimeout,
		ReadTimeout:       readTimeout,
		WriteTimeout:      writeTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
		ErrorLog:          slog.NewLogLogger(trimmingHandler{logger.Handler()}, slog.LevelDebug),
	}
	stop := context.AfterFunc(ctx, func() { _ = server.Close() }) // makes server.Serve below return
	defer stop()
	err := server.Serve(limiter.Listen(listener))
	if ctx.Err() != nil || errors.Is(err, http.ErrServerClosed) {
		return ctx.Err()
	}
	return err
}

// trimmingHandler is a slog.Handler that trims white space around messages. It is used for the messages of http.Server,
// which end in a newline and report errors caused by clients.
type trimmingHandler struct{ slog.Handler }

// Handle trims the message of a record and passes the record on.
func (h trimmingHandler) Handle(ctx context.Context, record slog.Record) error {
	record.Message = strings.TrimSpace(record.Message)
	return h.Handler.Handle(ctx, record)
}
