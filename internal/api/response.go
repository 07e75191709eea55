package api

import (
	"time"

	"fieldhill/internal/result"
	"fieldhill/internal/rpc"
)

// Encode makes a response with a message. It, Refuse and RetryLater are for what does not use results yet.
func Encode(status int, v any) *rpc.Response { return encoding.Message(status, v) }

// Refuse makes a response with a reason.
func Refuse(status int, reason string) *rpc.Response { return encoding.problem(status, reason, 0) }

// RetryLater makes a response that tells when to come back.
func RetryLater(reason string, seconds int) *rpc.Response {
	return Respond(result.Unavailable{Reason: reason, RetryAfter: time.Duration(seconds) * time.Second})
}
