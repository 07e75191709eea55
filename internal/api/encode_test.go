package api

import (
	"fmt"
	"testing"
	"time"

	"fieldhill/internal/result"
	"fieldhill/internal/rpc"
	"fieldhill/wire"
)

// TestRespond checks the status, Retry-After and body of the response for each type of result, and that a nil result
// gives status 500.
func TestRespond(t *testing.T) {
	forwarded := &rpc.Response{Status: 299, RetryAfter: 5, Body: []byte("unchanged")}
	for _, c := range []struct {
		result             result.Result
		status, retryAfter int
		reason             string // in the wire.Problem of the body; "" if the body is not a wire.Problem
		empty              bool
	}{
		{result.Accepted{}, 201, 0, "", false},
		{result.JobState{}, 200, 0, "", false},
		{result.Renewed{}, 200, 0, "", false},
		{result.Explanation{Explanation: &wire.Explanation{}}, 200, 0, "", false},
		{result.Queue{Queue: &wire.Queue{}}, 200, 0, "", false},
		{result.RoleList{RoleList: &wire.RoleList{}}, 200, 0, "", false},
		{result.Done{}, 200, 0, "", true},
		{result.Done{Body: []byte{1}}, 200, 0, "", false},
		{result.Redirected{Node: "n2"}, 421, 0, "", false},
		{result.Invalid{Reason: "r"}, 400, 0, "r", false},
		{result.Unknown{Reason: "r"}, 404, 0, "r", false},
		{result.Superseded{Reason: "r"}, 409, 0, "r", false},
		{result.NotLeader{}, 410, 0, "", true},
		{result.Unschedulable{Reason: "r"}, 422, 0, "r", false},
		{result.Overloaded{}, 429, 0, "", true},
		{result.Overloaded{Reason: "r", RetryAfter: 2999 * time.Millisecond}, 429, 2, "r", false},
		{result.Unsupported{Reason: "r"}, 501, 0, "r", false},
		{result.NoLeader{}, 503, 1, "no leader at the moment", false},
		{result.Unavailable{}, 503, 0, "", true},
		{result.Unavailable{Reason: "r", RetryAfter: 10 * time.Second}, 503, 10, "r", false},
		{result.NotHandled{Reason: "r", RetryAfter: time.Second}, 503, 1, "r", false},
		{result.Forwarded{Response: forwarded}, 299, 5, "", false},
		{nil, 500, 0, "", true},
	} {
		t.Run(fmt.Sprintf("%T %d", c.result, c.status), func(t *testing.T) {
			got := Respond(c.result)
			if got.Status != c.status || got.RetryAfter != c.retryAfter || (len(got.Body) == 0) != c.empty {
				t.Errorf("response for %+v: got %+v, want status %d, Retry-After %d, empty body %v",
					c.result, got, c.status, c.retryAfter, c.empty)
			}
			var problem wire.Problem
			err := wire.Unmarshal(got.Body, &problem)
			if c.reason != "" && (err != nil || problem.Error != c.reason) {
				t.Errorf("response for %+v: got reason %q, %v, want %q", c.result, problem.Error, err, c.reason)
			}
		})
	}
}
