package health

import (
	"time"

	"fieldhill/internal/config"
)

// Census counts by zone the machines that came up, and how many of them are silent. The zero value is empty.
type Census struct {
	zones map[int32]*zoneCount
}

type zoneCount struct {
	up                 int // machines that came up
	silent             int // of these, those whose last heartbeat was missed, or that don't receive answers
	inboundPartitioned int // of these, those that don't receive answers
}

// Add counts a machine. When the first machine of a partitioned zone has been silent for too long, every other one has
// missed a heartbeat too; outside a partition few have.
func (c *Census) Add(rules *Rules, m *Machine) {
	if !m.wasUp() {
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
	if m.InboundPartitioned || m.SinceHeartbeat > rules.heartbeatMissed() {
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

// Totals are how many machines came up in all zones, and how many of these are silent.
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
	// isolationGrace is for how long hardly any heartbeat may arrive, though some machines are probed, before the
	// leader resigns: longer than they have to answer.
	isolationGrace = 1500 * time.Millisecond
	// minIsolationMachines is from how many machines on the silence of most is no accident.
	minIsolationMachines = 3
	// isolationProbes is about how many machines are probed when hardly any heartbeat arrives.
	isolationProbes = 12
)

// silenceLimit is for how long no heartbeat at all may arrive from so many machines before that is no accident: a dozen
// are missing by then.
func (r *Rules) silenceLimit(machines int) Time {
	return max(time.Second, config.Seconds(12*r.HeartbeatS/float64(machines)))
}

// Reach is what a leader has observed of its own connections.
type Reach struct {
	SinceHeartbeat Time // since any heartbeat arrived
	SinceGrace     Time // since all machines should have found this leader; negative: they still have time
	PeerReachable  bool // another controller answers
}

// IsolationAction is what a leader does about its own isolation.
type IsolationAction uint8

// The actions about the leader's own isolation.
const (
	NotIsolated   IsolationAction = iota // or not for long enough to tell
	ProbeMachines                        // hardly any heartbeat arrives: probe some machines (ProbeStride)
	Resign                               // probes were not answered either: another controller leads better
)

// CheckIsolation tells whether the machines of all zones are silent at once and don't answer when probed, while another
// controller is reached. Then it is this leader that has lost them, and their leases would expire under it.
func (d *Detector) CheckIsolation(rules *Rules, census *Census, reach Reach, now Time) IsolationAction {
	total, silent := census.Totals()
	minZones := min(2, rules.Zones) // where there is only one zone, its partition looks the same
	nothingReceived := total >= minIsolationMachines && len(census.zones) >= minZones &&
		reach.SinceHeartbeat > rules.silenceLimit(total)
	mostSilent := silent >= minIsolationMachines && silent*10 >= total*9 && census.zonesWithSilent() >= minZones
	// Agents look for a new leader first.
	if !reach.PeerReachable || !nothingReceived && !mostSilent ||
		reach.SinceGrace < 2*config.Seconds(rules.HeartbeatS) {
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

// OnStall begins the detection of the leader's own isolation anew: its process stood still, and what machines sent
// meanwhile is still to be read.
func (d *Detector) OnStall() { d.missingSince = 0 }

// ProbeStride is every how many of all machines one is probed when hardly any heartbeat arrives.
func ProbeStride(machines int) int { return max(1, machines/isolationProbes) }
