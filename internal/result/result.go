// Package result has the types of what comes of a request to a controller, so that the components of the program
// return what happened instead of how it will be spelled. The HTTP statuses, headers and bodies that stand for
// them begin at the edge, in packages api and adminapi.
package result

import (
	"net/http"
	"time"

	"fieldhill/internal/rpc"
	"fieldhill/wire"
)

// Result is what came of a request: one of the types of this package, and of no other.
type Result interface{ isResult() }

// Accepted says that the job was recorded for good, and that this request did it.
type Accepted struct{ Status wire.JobStatus }

// JobState is the state of a job that was known already.
type JobState struct{ Status wire.JobStatus }

// Invalid says that the request is malformed. For a job it is final, so it is never given for one that was accepted.
type Invalid struct{ Reason string }

// Unschedulable says that no machine type could ever run the job. It is final as Invalid is.
type Unschedulable struct{ Reason string }

// Unknown says that nothing is known by the name that was asked for.
type Unknown struct{ Reason string }

// Overloaded says that the request was refused because of the load, not for what it asks. Between controllers it has
// no reason.
type Overloaded struct {
	Reason     string
	RetryAfter time.Duration // in whole seconds on the wire; 0: not said
}

// NoLeader says that only the leader can answer, and that this controller neither leads for sure nor reaches one.
type NoLeader struct{}

// Unavailable says that the request can't be answered now. Between controllers it may have no reason.
type Unavailable struct {
	Reason     string
	RetryAfter time.Duration
}

// NotHandled says that the controller did not get to the request, or not through with it, in time. It is Unavailable
// to whoever asked, but a relay of heartbeats may act on it by itself, as on no other refusal.
type NotHandled struct {
	Reason     string
	RetryAfter time.Duration
}

// Redirected sends an agent to another controller.
type Redirected struct{ Node string } // "": to any other

// Renewed renews the lease of an agent under a fencing token, and gives it commands.
type Renewed struct {
	FencingToken uint64
	Commands     []wire.Command
}

// NotLeader tells another controller that this one does not lead, whatever it believed.
type NotLeader struct{}

// Superseded tells the holder of a singleton role that its term in it is over.
type Superseded struct{ Reason string }

// Unsupported says that this controller does not know the operation, or does not take part in it.
type Unsupported struct{ Reason string }

// Done is the answer of one controller to another for what was done: a body in the operation's own encoding, or none.
type Done struct{ Body []byte }

// Explanation is the answer to why a job is pending.
type Explanation struct{ *wire.Explanation }

// Queue lists pending jobs.
type Queue struct{ *wire.Queue }

// RoleList lists the singleton roles and their holders.
type RoleList struct{ *wire.RoleList }

// Forwarded is the answer of another controller, which is passed on as it came.
type Forwarded struct{ *rpc.Response }

func (Accepted) isResult()      {}
func (JobState) isResult()      {}
func (Invalid) isResult()       {}
func (Unschedulable) isResult() {}
func (Unknown) isResult()       {}
func (Overloaded) isResult()    {}
func (NoLeader) isResult()      {}
func (Unavailable) isResult()   {}
func (NotHandled) isResult()    {}
func (Redirected) isResult()    {}
func (Renewed) isResult()       {}
func (NotLeader) isResult()     {}
func (Superseded) isResult()    {}
func (Unsupported) isResult()   {}
func (Done) isResult()          {}
func (Explanation) isResult()   {}
func (Queue) isResult()         {}
func (RoleList) isResult()      {}
func (Forwarded) isResult()     {}

// IsUnavailable tells whether a result decides nothing about what was asked: the same request may be answered by
// another controller, or later.
func IsUnavailable(r Result) bool {
	switch r := r.(type) {
	case NoLeader, Unavailable, NotHandled:
		return true
	case Forwarded:
		return r.Status == http.StatusServiceUnavailable
	}
	return false
}

// IsDone tells whether the controller that was asked did what it was asked for.
func IsDone(r Result) bool {
	switch r := r.(type) {
	case Done:
		return true
	case Forwarded:
		return r.Status == http.StatusOK
	}
	return false
}

// IsRejection tells whether a result is a final refusal of a job that is not known: it is never given for a job that
// was accepted.
func IsRejection(r Result) bool {
	switch r.(type) {
	case Invalid, Unschedulable:
		return true
	}
	return false
}

// IsUnsupported tells whether the controller that was asked does not know the operation: it is of an older version.
func IsUnsupported(r Result) bool {
	switch r := r.(type) {
	case Unsupported:
		return true
	case Forwarded:
		return r.Status == http.StatusNotImplemented
	}
	return false
}
