package controller

import "golang.org/x/time/rate"

// Concurrency and rate limits of a controller, derived from the limits on sockets and on the key-value store in the
// settings. docs/CAPACITY.md lists the fleet size up to which each is sufficient.

const (
	intakeWriteShare   = 0.2 // of the key-value store's write rate, for jobs accepted without a leader
	intakeBurstSeconds = 2   // bursts are as large as the rate over this time

	minZoneProbes     = 48 // lower bound of zoneProbeLimit
	minFollowUpProbes = 32 // lower bound of followUpProbeLimit
)

// newIntakeLimiter returns the limiter for the jobs that a controller accepts without a leader. Its rate is an equal
// share, among the given number of controllers, of intakeWriteShare of the key-value store's write rate; its bursts are
// as large as the rate over intakeBurstSeconds.
func newIntakeLimiter(writeRPS float64, controllers int) *rate.Limiter {
	share := writeRPS * intakeWriteShare / float64(controllers)
	return rate.NewLimiter(rate.Limit(share), max(1, int(intakeBurstSeconds*share)))
}

// zoneProbeLimit returns how many silent machines of one zone may be probed concurrently: a tenth of all sockets,
// divided by the number of zones, but at least minZoneProbes. The limit is per zone because an unanswered probe holds
// its slot for more than a second: a zone whose machines do not answer must not keep machines of other zones from being
// probed before they count as failed.
func zoneProbeLimit(sockets, zones int) int { return max(minZoneProbes, sockets/(10*max(1, zones))) }

// followUpProbeLimit returns how many machines may be probed concurrently because of the content of their heartbeats;
// the same limit applies separately to unknown machines.
func followUpProbeLimit(sockets int) int { return max(minFollowUpProbes, sockets/32) }

// relayedProbeLimit returns how many machines a relay may probe concurrently for the leader.
func relayedProbeLimit(sockets int) int { return max(minRelayLimit, sockets/6) }

// relayedLimit returns how many heartbeats, and how many direct commands, a relay may forward concurrently: half as
// many as the connections that it accepts, because pings and users' requests share the link to the leader, but at least
// minRelayLimit.
func relayedLimit(connections int) int { return max(minRelayLimit, connections/2) }
