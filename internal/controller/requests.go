package controller

import (
	"time"

	"fieldhill/internal/result"
)

// responseTimeout limits how long a user's request may wait for a response that depends on the log. A log write that
// takes longer is still retried, but the user is told to retry the request.
const responseTimeout = 2500 * time.Millisecond

// noSuchJob is the result of a request for a job whose ID is invalid or unknown.
var noSuchJob = result.Unknown{Reason: "no such job"}
