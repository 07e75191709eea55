package controller

import (
	"time"

	"fieldhill/internal/result"
)

// responseTimeout limits how long a response to a user may wait for the log. A slower write is still retried, but the
// user is told to retry the request.
const responseTimeout = 2500 * time.Millisecond

// noSuchJob is the result if an ID is not a valid job ID, or no job with this ID is known.
var noSuchJob = result.Unknown{Reason: "no such job"}
