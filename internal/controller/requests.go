package controller

import (
	"time"

	"fieldhill/internal/result"
)

// responseTimeout bounds how long the answer to a user may wait for the log. A write that takes longer is still
// repeated, but its user is asked at once to come back.
const responseTimeout = 2500 * time.Millisecond

// noSuchJob is the answer where the name is no job's, or no job is known by it.
var noSuchJob = result.Unknown{Reason: "no such job"}
