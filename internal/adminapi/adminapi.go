// Package adminapi is the HTTP interface of a controller for operators: read-only queries about jobs and roles, in
// JSON, on a separate address. The package validates and routes requests and encodes the results; a Service handles the
// requests.
package adminapi

import (
	"context"
	"encoding/json"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"strconv"

	"fieldhill/internal/api"
	"fieldhill/internal/platform/connlimit"
	"fieldhill/internal/result"
	"fieldhill/internal/rpc"
	"fieldhill/internal/scheduling/pending"
	"fieldhill/wire"
)

// Filter selects jobs of the queue; an empty field matches all jobs. Controllers also send filters to each other as
// JSON.
type Filter struct {
	Team   string `json:"team,omitempty"`
	Class  string `json:"class,omitempty"`
	Reason string `json:"reason,omitempty"` // name of a pending reason code
	Limit  int    `json:"most"`             // maximum number of jobs to list, from 1 to wire.MaxQueued
}

// Service handles the requests of operators. Its methods are called concurrently.
type Service interface {
	// Explain returns the reasons why a job is pending.
	Explain(ctx context.Context, id string) result.Result
	// Queue lists the pending jobs that match a filter.
	Queue(ctx context.Context, filter Filter) result.Result
	// Roles lists the singleton roles and their holders.
	Roles(ctx context.Context) result.Result
}

// MaxConns is the maximum number of connections to the admin API, and thereby of concurrent requests.
const MaxConns = 8

const (
	// defaultLimit is the Filter.Limit of a query that does not set a limit.
	defaultLimit = 50
	// maxQueryValue is the maximum length in bytes of a query parameter's value.
	maxQueryValue = 200
)

// Serve serves the admin API on a listener until the context is done.
func Serve(ctx context.Context, listener net.Listener, service Service, logger *slog.Logger) error {
	return api.Serve(ctx, listener, &connlimit.Limiter{MaxConns: MaxConns}, Handler(service), logger)
}

// encoding converts results into responses for operators, and for controllers that request them on behalf of operators.
var encoding = api.Encoding{
	Marshal: json.Marshal,
	Problem: func(reason string) any { return &wire.AdminProblem{Error: reason} },
}

// Respond converts a result into a response for operators.
func Respond(r result.Result) *rpc.Response { return encoding.Respond(r) }

// Handler returns a handler that validates requests, passes them to a service and encodes the results.
func Handler(service Service) http.Handler {
	mux := http.NewServeMux()
	handle := func(pattern string, answer func(r *http.Request) result.Result) {
		mux.HandleFunc("GET "+pattern, func(w http.ResponseWriter, r *http.Request) {
			writeResponse(w, Respond(answer(r)))
		})
	}
	handle(wire.PathAdminJobs+"/{id}"+wire.WhySuffix, func(r *http.Request) result.Result {
		id := r.PathValue("id")
		if _, ok := wire.ParseJobID(id); !ok {
			return result.Invalid{Reason: fmt.Sprintf("id: %q is not a job's id, such as req-000412", id)}
		}
		return service.Explain(r.Context(), id)
	})
	handle(wire.PathAdminQueue, func(r *http.Request) result.Result {
		filter, err := readFilter(r)
		if err != nil {
			return result.Invalid{Reason: err.Error()}
		}
		return service.Queue(r.Context(), filter)
	})
	handle(wire.PathAdminRoles, func(r *http.Request) result.Result { return service.Roles(r.Context()) })
	return mux
}

// queryError reports an invalid query parameter. Its text is sent in the response.
type queryError struct{ field, problem string }

// Error names the parameter and the problem.
func (e *queryError) Error() string { return e.field + ": " + e.problem }

// readFilter decodes the query parameters. An unknown parameter is an error, because a query with a misspelled one
// would otherwise match all jobs.
func readFilter(r *http.Request) (filter Filter, err error) {
	filter.Limit = defaultLimit
	for field, values := range r.URL.Query() {
		if len(values) != 1 || len(values[0]) > maxQueryValue {
			return filter, &queryError{field, "given more than once, or too long"}
		}
		value := values[0]
		switch field {
		case "team":
			filter.Team = value
		case "class":
			filter.Class = value
		case "reason":
			filter.Reason = value
			if _, ok := pending.ParseCode(value); value != "" && !ok {
				return filter, &queryError{field, fmt.Sprintf("%q is no code of docs/WHY.md", value)}
			}
		case "most":
			filter.Limit, err = strconv.Atoi(value)
			if err != nil || filter.Limit < 1 || filter.Limit > wire.MaxQueued {
				problem := fmt.Sprintf("%q is not a number from 1 to %d", value, wire.MaxQueued)
				return filter, &queryError{field, problem}
			}
		default:
			return filter, &queryError{field, "unknown; team, class, reason and most are known"}
		}
	}
	return filter, nil
}

// writeResponse writes a response, followed by a newline for display in a terminal.
func writeResponse(w http.ResponseWriter, response *rpc.Response) {
	header := w.Header()
	header.Set("Content-Type", "application/json")
	if response.RetryAfter > 0 {
		header.Set("Retry-After", strconv.Itoa(response.RetryAfter))
	}
	w.WriteHeader(response.Status)
	_, _ = w.Write(append(response.Body, '\n'))
}
