package health

import (
	"time"

	"fieldhill/internal/config"
)

// Census counts, by zone, the machines that were up and the silent ones among them. The zero value is empty.
type Census struct {
	zones map[int32]*zoneCount
}

type zoneCount struct {
	up                 int // machines that were up
	silent             int // of the machines that were up, those that missed a heartbeat or don't receive responses
	inboundPartitioned int // of the silent machines, those that don't receive responses
}

// Add counts a machine. A single missed heartbeat makes a machine silent here: when the first machine of a partitioned
// zone reaches SilentAfter, every other machine of the zone has missed a heartbeat too. Without a partition, few
// machines have missed one.
func (c *Census) Add(rules *Rules, m *Machine) {
	if !m.hasBeenUp() {
		return
	}
	if c.zones == nil {
		c.zones = map[int32]*zoneCount{}
	}
	count := c.zones[m.Zone]
	if count == nil {
		count = &zoneCount{}
		c.zones[m.Zone] = count
	}
	count.up++
	if m.InboundPartitioned || m.SinceHeartbeat > rules.missedHeartbeatAge() {
		count.silent++
	}
	if m.InboundPartitioned {
		count.inboundPartitioned++
	}
}

func (c *Census) inboundPartitioned(zone int32) int {
	if count := c.zones[zone]; count != nil {
		return count.inboundPartitioned
	}
	return 0
}

// Totals returns the number of machines that were up in all zones, and of the silent ones among them.
func (c *Census) Totals() (up, silent int) {
	for _, count := range c.zones {
		up, silent = up+count.up, silent+count.silent
	}
	return up, silent
}

func (c *Census) zonesWithSilent() (zones int) {
	for _, count := range c.zones {
		if count.silent > 0 {
			zones++
		}
	}
	return zones
}

const (
	// isolationGrace is how long most heartbeats may be missing, after machines were probed, before the leader
	// resigns. It exceeds the time-out of a probe.
	isolationGrace = 1500 * time.Millisecond
	// minIsolationMachines is the minimum number of machines whose silence indicates isolation rather than coincidence.
	minIsolationMachines = 3
	// isolationProbes is the approximate number of machines probed when most heartbeats are missing.
	isolationProbes = 12
)

// silenceLimit returns how long no heartbeat at all may arrive from the given number of machines before this indicates
// isolation: the time in which a dozen heartbeats are expected, and at least 1 s.
func (r *Rules) silenceLimit(machines int) Time {
	return max(time.Second, config.Seconds(12*r.HeartbeatS/float64(machines)))
}

// Reach describes how recently a leader received heartbeats, and whether it reaches another controller.
type Reach struct {
	SinceHeartbeat   Time // time since the last heartbeat of any machine
	SinceGracePeriod Time // time since the machines' grace period for finding this leader ended; negative before that
	PeerReachable    bool // another controller responds
}

// IsolationAction is a leader's reaction to its own isolation.
type IsolationAction uint8

// Reactions of a leader to its isolation.
const (
	NotIsolated   IsolationAction = iota // not isolated, or not yet known to be
	ProbeMachines                        // most heartbeats are missing: probe some machines (ProbeStride)
	Resign                               // most heartbeats are missing after probes too: let another controller lead
)

// CheckIsolation detects that this leader has lost its connection to the machines. While another controller is
// reachable, either no heartbeat at all has arrived for longer than silenceLimit or at least nine in ten machines are
// silent, in two or more zones if there are several, and probes do not change this. If the leader did not resign, the
// machines' leases would expire.
func (d *Detector) CheckIsolation(rules *Rules, census *Census, reach Reach, now Time) IsolationAction {
	total, silent := census.Totals()
	minZones := min(2, rules.Zones) // a partition of the only zone looks like isolation of the leader
	nothingReceived := total >= minIsolationMachines && len(census.zones) >= minZones &&
		reach.SinceHeartbeat > rules.silenceLimit(total)
	mostSilent := silent >= minIsolationMachines && silent*10 >= total*9 && census.zonesWithSilent() >= minZones
	// After an election, agents need time to find the new leader.
	if !reach.PeerReachable || !nothingReceived && !mostSilent ||
		reach.SinceGracePeriod < 2*config.Seconds(rules.HeartbeatS) {
		d.missingSince = 0
		return NotIsolated
	}
	if d.missingSince == 0 {
		d.missingSince = max(now, 1)
		return ProbeMachines
	}
	if now-d.missingSince < isolationGrace {
		return NotIsolated
	}
	return Resign
}

// ResetIsolation restarts the isolation detection after the leader's process stalled, because messages that arrived
// during the stall have not been read yet.
func (d *Detector) ResetIsolation() { d.missingSince = 0 }

// ProbeStride returns n such that every n-th machine is probed when most heartbeats are missing.
func ProbeStride(machines int) int { return max(1, machines/isolationProbes) }
