package api

import (
	"net/http"
	"time"

	"fieldhill/internal/result"
	"fieldhill/internal/rpc"
	"fieldhill/wire"
)

// Encoding converts results into responses of one API. The user API and the admin API have the same statuses, but
// different bodies.
type Encoding struct {
	Marshal func(message any) ([]byte, error) // encodes a message as a body
	Problem func(reason string) any           // returns the message of an error response
}

// encoding converts results into responses for users and agents, and for controllers that request them on behalf of
// users and agents.
var encoding = Encoding{
	Marshal: wire.Marshal,
	Problem: func(reason string) any { return &wire.Problem{Error: reason} },
}

// Respond converts a result into a response for users, agents and other controllers.
func Respond(r result.Result) *rpc.Response { return encoding.Respond(r) }

// Reason and Retry-After of the response for result.NoLeader.
const (
	noLeaderReason     = "no leader at the moment"
	noLeaderRetryAfter = time.Second
)

// Respond converts a result into a response. It is the only place that maps results to HTTP statuses.
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
	return e.respondError(r)
}

// respondError converts a result that means that the request was not carried out.
func (e *Encoding) respondError(r result.Result) *rpc.Response {
	switch r := r.(type) {
	case result.Invalid:
		return e.errorResponse(http.StatusBadRequest, r.Reason, 0)
	case result.Unschedulable:
		return e.errorResponse(http.StatusUnprocessableEntity, r.Reason, 0)
	case result.Unknown:
		return e.errorResponse(http.StatusNotFound, r.Reason, 0)
	case result.Superseded:
		return e.errorResponse(http.StatusConflict, r.Reason, 0)
	case result.Unsupported:
		return e.errorResponse(http.StatusNotImplemented, r.Reason, 0)
	case result.NotLeader:
		return &rpc.Response{Status: http.StatusGone}
	case result.Overloaded:
		return e.errorResponse(http.StatusTooManyRequests, r.Reason, r.RetryAfter)
	case result.NoLeader:
		return e.errorResponse(http.StatusServiceUnavailable, noLeaderReason, noLeaderRetryAfter)
	case result.Unavailable:
		return e.errorResponse(http.StatusServiceUnavailable, r.Reason, r.RetryAfter)
	case result.NotHandled:
		return e.errorResponse(http.StatusServiceUnavailable, r.Reason, r.RetryAfter)
	}
	return &rpc.Response{Status: http.StatusInternalServerError} // nil or an unknown type, which is a bug
}

// Message returns a response with the encoded message as its body, or with status 500 if the message can't be encoded.
func (e *Encoding) Message(status int, message any) *rpc.Response {
	body, err := e.Marshal(message)
	if err != nil {
		return &rpc.Response{Status: http.StatusInternalServerError}
	}
	return &rpc.Response{Status: status, Body: body}
}

// errorResponse returns a response with the reason in its body, or without a body if the reason is empty.
func (e *Encoding) errorResponse(status int, reason string, retryAfter time.Duration) *rpc.Response {
	response := &rpc.Response{Status: status}
	if reason != "" {
		response = e.Message(status, e.Problem(reason))
	}
	response.RetryAfter = int(retryAfter / time.Second)
	return response
}
