package result

import (
	"testing"

	"fieldhill/internal/rpc"
)

// TestPredicates checks the predicates on results, and that they classify a forwarded response by its status.
func TestPredicates(t *testing.T) {
	for _, c := range []struct {
		result                                   Result
		unavailable, done, rejected, unsupported bool
	}{
		{nil, false, false, false, false},
		{Accepted{}, false, false, false, false},
		{NoLeader{}, true, false, false, false},
		{Unavailable{}, true, false, false, false},
		{NotHandled{}, true, false, false, false},
		{Overloaded{}, false, false, false, false},
		{Done{}, false, true, false, false},
		{Invalid{}, false, false, true, false},
		{Unschedulable{}, false, false, true, false},
		{Unsupported{}, false, false, false, true},
		{Forwarded{&rpc.Response{Status: 200}}, false, true, false, false},
		// A rejection by another controller is not final: it is based on the state that the other controller knows.
		{Forwarded{&rpc.Response{Status: 400}}, false, false, false, false},
		{Forwarded{&rpc.Response{Status: 429}}, false, false, false, false},
		{Forwarded{&rpc.Response{Status: 501}}, false, false, false, true},
		{Forwarded{&rpc.Response{Status: 503}}, true, false, false, false},
	} {
		got := [4]bool{IsUnavailable(c.result), IsDone(c.result), IsRejection(c.result), IsUnsupported(c.result)}
		if got != [4]bool{c.unavailable, c.done, c.rejected, c.unsupported} {
			t.Errorf("%T%+v: got unavailable, done, rejected, unsupported = %v, want %v", c.result, c.result, got,
				[4]bool{c.unavailable, c.done, c.rejected, c.unsupported})
		}
	}
}
