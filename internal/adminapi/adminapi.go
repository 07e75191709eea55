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
	Explain(ctx context.Context, id string) *rpc.Response
	Queue(ctx context.Context, f Filter) *rpc.Response
	Roles(ctx context.Context) *rpc.Response
}

// MaxConns bounds the connections to the operators' address, and with them the questions at once.
const MaxConns = 8

// Serve answers on a listener until the context ends.
func Serve(ctx context.Context, ln net.Listener, s Service, logger *slog.Logger) error {
	return api.Serve(ctx, ln, &api.ConnLimiter{MaxConns: MaxConns}, Handler(s), logger)
}

// Encode makes a reply with a message.
func Encode(status int, v any) *rpc.Response {
	b, err := json.Marshal(v)
	if err != nil { // only a number that is none can't be written
		return &rpc.Response{Status: http.StatusInternalServerError}
	}
	return &rpc.Response{Status: status, Body: b}
}

// Refuse makes a reply with a reason, and with when to come back if that is not 0.
func Refuse(status int, reason string, retryAfter int) *rpc.Response {
	r := Encode(status, &wire.AdminProblem{Error: reason})
	r.RetryAfter = retryAfter
	return r
}

// Handler routes questions to a service.
func Handler(s Service) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+wire.PathAdminJobs+"/{id}"+wire.WhySuffix, func(w http.ResponseWriter, r *http.Request) {
		id := r.PathValue("id")
		if _, ok := wire.JobNumber(id); !ok {
			writeResponse(
				w,
				Refuse(http.StatusBadRequest, fmt.Sprintf("id: %q is not a job's id, such as req-000412", id), 0),
			)
			return
		}
		writeResponse(w, s.Explain(r.Context(), id))
	})
	mux.HandleFunc("GET "+wire.PathAdminQueue, func(w http.ResponseWriter, r *http.Request) {
		f, err := readFilter(r)
		if err != nil {
			writeResponse(w, Refuse(http.StatusBadRequest, err.Error(), 0))
			return
		}
		writeResponse(w, s.Queue(r.Context(), f))
	})
	mux.HandleFunc("GET "+wire.PathAdminRoles, func(w http.ResponseWriter, r *http.Request) {
		writeResponse(w, s.Roles(r.Context()))
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

func writeResponse(w http.ResponseWriter, response *rpc.Response) {
	h := w.Header()
	h.Set("Content-Type", "application/json")
	if response.RetryAfter > 0 {
		h.Set("Retry-After", strconv.Itoa(response.RetryAfter))
	}
	w.WriteHeader(response.Status)
	_, _ = w.Write(append(response.Body, '\n'))
}
