// Package result defines the possible results of a request to a controller, so that components do not depend on how a
// result is transmitted. Packages api and adminapi convert results into HTTP statuses, headers and bodies.
package result

import (
	"net/http"
	"time"

	"fieldhill/internal/rpc"
	"fieldhill/wire"
)

// Result is the outcome of a request to a controller. Only the types of this package implement it.
type Result interface{ isResult() }

// Accepted means that this request recorded the job durably.
type Accepted struct{ Status wire.JobStatus }

// JobState is the status of a job that was already known.
type JobState struct{ Status wire.JobStatus }

// Invalid means that the request is malformed. For a submission it is a final rejection (IsRejection), which is never
// returned for a job that was accepted before.
type Invalid struct{ Reason string }

// Unschedulable means that no machine type can run the job. Like Invalid, it is a final rejection of a submission.
type Unschedulable struct{ Reason string }

// Unknown means that the requested id is not known.
type Unknown struct{ Reason string }

// Overloaded means that the request was rejected because of the load and not because of its content. In results for
// other controllers, Reason is empty.
type Overloaded struct {
	Reason     string
	RetryAfter time.Duration // transmitted in whole seconds; 0 for none
}

// NoLeader means that only the leader can handle the request, and that this controller neither holds a valid leader
// lease nor can reach the leader.
type NoLeader struct{}

// Unavailable means that the request cannot be handled at the moment. In results for other controllers, Reason may be
// empty.
type Unavailable struct {
	Reason     string
	RetryAfter time.Duration
}

// NotHandled means that the controller did not start or finish handling the request, for example because it was busy or
// stopping. Clients get the same status as for Unavailable. Only after this failure may a controller that relayed a
// heartbeat to the leader answer the agent in the leader's place.
type NotHandled struct {
	Reason     string
	RetryAfter time.Duration
}

// Redirected sends an agent to another controller: the one named Node or, if Node is empty, any other one.
type Redirected struct{ Node string }

// Renewed means that the lease of an agent was renewed under a fencing token. It carries commands for the agent.
type Renewed struct {
	FencingToken uint64
	Commands     []wire.Command
}

// NotLeader means that this controller is not the leader. It is returned only to other controllers.
type NotLeader struct{}

// Superseded means that the term of a singleton role has ended. It is returned to the controller that held the role.
type Superseded struct{ Reason string }

// Unsupported means that this controller does not know the operation or has it disabled.
type Unsupported struct{ Reason string }

// Done is the successful result of an operation between controllers. The encoding of the body depends on the operation;
// it may be empty.
type Done struct{ Body []byte }

// Explanation explains why a job is pending.
type Explanation struct{ *wire.Explanation }

// Queue lists pending jobs.
type Queue struct{ *wire.Queue }

// RoleList lists the singleton roles and their holders.
type RoleList struct{ *wire.RoleList }

// Forwarded is the response of another controller, passed on unchanged.
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

// IsUnavailable reports whether the request was not decided, so that it may succeed later or at another controller.
func IsUnavailable(r Result) bool {
	switch r := r.(type) {
	case NoLeader, Unavailable, NotHandled:
		return true
	case Forwarded:
		return r.Status == http.StatusServiceUnavailable
	}
	return false
}

// IsDone reports whether an operation between controllers succeeded.
func IsDone(r Result) bool {
	switch r := r.(type) {
	case Done:
		return true
	case Forwarded:
		return r.Status == http.StatusOK
	}
	return false
}

// IsRejection reports whether the result is the final rejection of a submission. A job that was accepted before is
// never rejected.
func IsRejection(r Result) bool {
	switch r.(type) {
	case Invalid, Unschedulable:
		return true
	}
	return false
}

// IsUnsupported reports whether the controller that responded does not support the operation, for example because it
// runs an older version.
func IsUnsupported(r Result) bool {
	switch r := r.(type) {
	case Unsupported:
		return true
	case Forwarded:
		return r.Status == http.StatusNotImplemented
	}
	return false
}
