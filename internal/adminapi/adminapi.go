// Package operate is the operators' face of a controller: read-only questions about jobs, in
// JSON, on an address of its own. It bounds and routes; a Service answers.
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

// Filter picks jobs of the queue; empty fields pick all.
type Filter struct {
	Team   string `json:"team,omitempty"`
	Class  string `json:"class,omitempty"`
	Reason string `json:"reason,omitempty"` // a code's name
	Limit  int    `json:"most"`             // how many jobs to list, 1 to wire.MostQueued
}

// Service answers. Bodies of replies are JSON.
type Service interface {
	Explain(ctx context.Context, id string) result.Result
	Queue(ctx context.Context, f Filter) result.Result
	Roles(ctx context.Context) result.Result
}

// MaxConns bounds the connections to the operators' address, and with them the questions at once.
const MaxConns = 8

// Serve answers on a listener until the context ends.
func Serve(ctx context.Context, ln net.Listener, s Service, logger *slog.Logger) error {
	return api.Serve(ctx, ln, &api.ConnLimiter{MaxConns: MaxConns}, Handler(s), logger)
}

// encoding is that of operators, and of the calls between controllers that are made for them.
var encoding = api.Encoding{
	Marshal: json.Marshal,
	Problem: func(reason string) any { return &wire.AdminProblem{Error: reason} },
}

// Respond spells a result for operators.
func Respond(r result.Result) *rpc.Response { return encoding.Respond(r) }

// Handler routes questions to a service.
func Handler(s Service) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+wire.PathAdminJobs+"/{id}"+wire.WhySuffix, func(w http.ResponseWriter, r *http.Request) {
		id := r.PathValue("id")
		if _, ok := wire.JobNumber(id); !ok {
			writeResult(w, result.Invalid{Reason: fmt.Sprintf("id: %q is not a job's id, such as req-000412", id)})
			return
		}
		writeResult(w, s.Explain(r.Context(), id))
	})
	mux.HandleFunc("GET "+wire.PathAdminQueue, func(w http.ResponseWriter, r *http.Request) {
		f, err := readFilter(r)
		if err != nil {
			writeResult(w, result.Invalid{Reason: err.Error()})
			return
		}
		writeResult(w, s.Queue(r.Context(), f))
	})
	mux.HandleFunc("GET "+wire.PathAdminRoles, func(w http.ResponseWriter, r *http.Request) {
		writeResult(w, s.Roles(r.Context()))
	})
	return mux
}

// readFilter reads a query; what it does not know is an error, or a misspelt filter would list all.
func readFilter(r *http.Request) (f Filter, err error) {
	f.Limit = 50
	for k, v := range r.URL.Query() {
		if len(v) != 1 || len(v[0]) > 200 {
			return f, fmt.Errorf("%s: given more than once, or too long", k)
		}
		switch k {
		case "team":
			f.Team = v[0]
		case "class":
			f.Class = v[0]
		case "reason":
			if f.Reason = v[0]; f.Reason != "" {
				if _, ok := pending.ParseCode(f.Reason); !ok {
					return f, fmt.Errorf("reason: %q is no code of docs/WHY.md", v[0])
				}
			}
		case "most":
			if f.Limit, err = strconv.Atoi(v[0]); err != nil || f.Limit < 1 || f.Limit > wire.MaxQueued {
				return f, fmt.Errorf("most: %q is not a number from 1 to %d", v[0], wire.MaxQueued)
			}
		default:
			return f, fmt.Errorf("%s: unknown; team, class, reason and most are known", k)
		}
	}
	return f, nil
}

func writeResult(w http.ResponseWriter, r result.Result) {
	response := Respond(r)
	h := w.Header()
	h.Set("Content-Type", "application/json")
	if response.RetryAfter > 0 {
		h.Set("Retry-After", strconv.Itoa(response.RetryAfter))
	}
	w.WriteHeader(response.Status)
	_, _ = w.Write(append(response.Body, '\n'))
}
