package api

import (
	"net/http"
	"time"

	"fieldhill/internal/result"
	"fieldhill/internal/rpc"
	"fieldhill/wire"
)

// Encoding spells results as the answers of one interface: statuses are the same for users, operators and other
// controllers, bodies are not.
type Encoding struct {
	Marshal func(message any) ([]byte, error)
	Problem func(reason string) any // the message that gives a reason
}

// encoding is that of users and agents, and of the calls between controllers that are made for them.
var encoding = Encoding{
	Marshal: wire.Marshal,
	Problem: func(reason string) any { return &wire.Problem{Error: reason} },
}

// Respond spells a result for users, agents and other controllers.
func Respond(r result.Result) *rpc.Response { return encoding.Respond(r) }

// noLeaderReason and noLeaderRetry are the answer to all requests that need the leader.
const (
	noLeaderReason = "no leader at the moment"
	noLeaderRetry  = time.Second
)

// Respond spells a result: the only place where results become HTTP statuses.
func (e *Encoding) Respond(r result.Result) *rpc.Response {
	switch r := r.(type) {
	case result.Forwarded:
		return r.Response
	case result.Done:
		return &rpc.Response{Status: http.StatusOK, Body: r.Body}
	case result.Accepted:
		return e.Message(http.StatusCreated, &r.Status)
	case result.JobState:
		return e.Message(http.StatusOK, &r.Status)
	case result.Renewed:
		return e.Message(http.StatusOK, &wire.HeartbeatResponse{FencingToken: r.FencingToken, Commands: r.Commands})
	case result.Explanation:
		return e.Message(http.StatusOK, r.Explanation)
	case result.Queue:
		return e.Message(http.StatusOK, r.Queue)
	case result.RoleList:
		return e.Message(http.StatusOK, r.RoleList)
	case result.Redirected:
		return e.Message(http.StatusMisdirectedRequest, &wire.Redirect{Node: r.Node})
	}
	return e.refuse(r)
}

// refuse spells a result that says why the request was not carried out.
func (e *Encoding) refuse(r result.Result) *rpc.Response {
	switch r := r.(type) {
	case result.Invalid:
		return e.problem(http.StatusBadRequest, r.Reason, 0)
	case result.Unschedulable:
		return e.problem(http.StatusUnprocessableEntity, r.Reason, 0)
	case result.Unknown:
		return e.problem(http.StatusNotFound, r.Reason, 0)
	case result.Superseded:
		return e.problem(http.StatusConflict, r.Reason, 0)
	case result.Unsupported:
		return e.problem(http.StatusNotImplemented, r.Reason, 0)
	case result.NotLeader:
		return &rpc.Response{Status: http.StatusGone}
	case result.Overloaded:
		return e.problem(http.StatusTooManyRequests, r.Reason, r.RetryAfter)
	case result.NoLeader:
		return e.problem(http.StatusServiceUnavailable, noLeaderReason, noLeaderRetry)
	case result.Unavailable:
		return e.problem(http.StatusServiceUnavailable, r.Reason, r.RetryAfter)
	case result.NotHandled:
		return e.problem(http.StatusServiceUnavailable, r.Reason, r.RetryAfter)
	}
	return &rpc.Response{Status: http.StatusInternalServerError} // no result at all: a fault of this program
}

// Message is a response that carries a message.
func (e *Encoding) Message(status int, message any) *rpc.Response {
	body, err := e.Marshal(message)
	if err != nil {
		return &rpc.Response{Status: http.StatusInternalServerError}
	}
	return &rpc.Response{Status: status, Body: body}
}

// problem is a response that gives a reason, or no body where there is none.
func (e *Encoding) problem(status int, reason string, retryAfter time.Duration) *rpc.Response {
	response := &rpc.Response{Status: status}
	if reason != "" {
		response = e.Message(status, e.Problem(reason))
	}
	response.RetryAfter = int(retryAfter / time.Second)
	return response
}
