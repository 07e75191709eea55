// Package adminapi is the operators' interface of a controller: read-only questions about jobs and roles, in JSON, on
// an address of its own. It bounds and routes requests and spells results; a Service answers.
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
	"fieldhill/internal/result"
	"fieldhill/internal/rpc"
	"fieldhill/internal/scheduling/pending"
	"fieldhill/wire"
)

// Filter picks jobs of the queue; empty fields pick all. It is part of the frames between controllers as well.
type Filter struct {
	Team   string `json:"team,omitempty"`
	Class  string `json:"class,omitempty"`
	Reason string `json:"reason,omitempty"` // a code's name
	Limit  int    `json:"most"`             // how many jobs to list, 1 to wire.MaxQueued
}

// Service answers questions. Its methods are called by many goroutines.
type Service interface {
	// Explain says why a job is pending.
	Explain(ctx context.Context, id string) result.Result
	// Queue lists the pending jobs that a filter picks.
	Queue(ctx context.Context, filter Filter) result.Result
	// Roles lists the singleton roles and their holders.
	Roles(ctx context.Context) result.Result
}

// MaxConns bounds the connections to the operators' address, and with them the questions at once.
const MaxConns = 8

const (
	// defaultLimit is how many jobs of the queue are listed where the query does not say.
	defaultLimit = 50
	// maxQueryValue bounds the length of a value of a query.
	maxQueryValue = 200
)

// Serve answers on a listener until the context ends.
func Serve(ctx context.Context, listener net.Listener, service Service, logger *slog.Logger) error {
	return api.Serve(ctx, listener, &api.ConnLimiter{MaxConns: MaxConns}, Handler(service), logger)
}

// encoding is that of operators, and of the calls between controllers that are made for them.
var encoding = api.Encoding{
	Marshal: json.Marshal,
	Problem: func(reason string) any { return &wire.AdminProblem{Error: reason} },
}

// Respond spells a result for operators.
func Respond(r result.Result) *rpc.Response { return encoding.Respond(r) }

// Handler routes questions to a service.
func Handler(service Service) http.Handler {
	mux := http.NewServeMux()
	handle := func(pattern string, answer func(r *http.Request) result.Result) {
		mux.HandleFunc("GET "+pattern, func(w http.ResponseWriter, r *http.Request) {
			writeResponse(w, Respond(answer(r)))
		})
	}
	handle(wire.PathAdminJobs+"/{id}"+wire.WhySuffix, func(r *http.Request) result.Result {
		id := r.PathValue("id")
		if _, ok := wire.JobNumber(id); !ok {
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

// queryError says what is wrong with a field of a query; its text is part of the answer.
type queryError struct{ field, problem string }

// Error names the field first.
func (e *queryError) Error() string { return e.field + ": " + e.problem }

// readFilter reads a query; what it does not know is an error, or a misspelt filter would list all.
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

// writeResponse writes a response, and ends its line for whoever reads it in a terminal.
func writeResponse(w http.ResponseWriter, response *rpc.Response) {
	header := w.Header()
	header.Set("Content-Type", "application/json")
	if response.RetryAfter > 0 {
		header.Set("Retry-After", strconv.Itoa(response.RetryAfter))
	}
	w.WriteHeader(response.Status)
	_, _ = w.Write(append(response.Body, '\n'))
}
