package controller

import "golang.org/x/time/rate"

// What a controller has under way at the same time, derived from the settings' limits on sockets and on the key-value
// store. docs/CAPACITY.md says up to which size of a fleet each holds.

const (
	intakeWriteShare   = 0.2 // of the key-value store's write rate, for jobs accepted without the leader
	intakeBurstSeconds = 2

	minZoneProbes     = 48
	minFollowUpProbes = 32
)

// newIntakeLimiter limits the jobs that one of so many controllers accepts without the leader to its part of a fifth
// of the key-value store's write rate, in bursts of two seconds' worth.
func newIntakeLimiter(writeRPS float64, controllers int) *rate.Limiter {
	share := writeRPS * intakeWriteShare / float64(controllers)
	return rate.NewLimiter(rate.Limit(share), max(1, int(intakeBurstSeconds*share)))
}

// zoneProbeLimit is how many silent machines of a zone are probed at the same time: a tenth of all sockets for all
// zones. Each zone has slots of its own: in a zone whose machines don't answer each probe holds its slot for more
// than a second, which must not keep machines of another zone from being probed before they count as failed.
func zoneProbeLimit(sockets, zones int) int { return max(minZoneProbes, sockets/(10*max(1, zones))) }

// followUpProbeLimit is how many machines are probed at the same time because of what their heartbeats said, and as
// many because they are unknown.
func followUpProbeLimit(sockets int) int { return max(minFollowUpProbes, sockets/32) }

// relayedProbeLimit is how many machines a relay probes at the same time for the leader.
func relayedProbeLimit(sockets int) int { return max(minRelayed, sockets/6) }

// relayedLimit bounds the heartbeats, and the direct commands, that a relay has under way at the same time: no more
// than half of the connections that it ends. Pings and users' requests use the same link.
func relayedLimit(connections int) int { return max(minRelayed, connections/2) }
