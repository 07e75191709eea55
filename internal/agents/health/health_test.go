package health

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// rules have a heartbeat every 4 s: one is missed after 5 s, a machine is probed after 5.75 s and lost after 8.75 s.
var rules = Rules{
	HeartbeatS: 4, ProbeAfter: 5750 * time.Millisecond, SilentAfter: 8750 * time.Millisecond,
	CancelPatience: 60 * time.Second, Zones: 3,
}

// known is evidence that is known beforehand.
type known struct {
	cancelledFor                          Time
	cleared, leaseExpired, urgent, zoneUp bool
	low, free                             Room
}

func (k *known) CancelledFor() Time        { return k.cancelledFor }
func (k *known) Cleared() bool             { return k.cleared }
func (k *known) LeaseExpired() bool        { return k.leaseExpired }
func (k *known) MovableWork() (bool, Room) { return k.urgent, k.low }
func (k *known) FreeOutsideZone() Room     { return k.free }
func (k *known) ZoneMayBeAlive() bool      { return k.zoneUp }

// inZone are so many machines of zone 1 with tasks, from which nothing was received for so long.
func inZone(machines int, silentFor Time) []Machine {
	m := Machine{
		Zone: 1, Reported: true, Occupied: true, HasAddr: true, SinceHeartbeat: silentFor, SilentFor: silentFor,
	}
	return slices.Repeat([]Machine{m}, machines)
}

func census(machines []Machine) *Census {
	c := &Census{}
	for i := range machines {
		c.Add(&rules, &machines[i])
	}
	return c
}

func release(reason ReleaseReason) Action { return Action{Release, reason} }

var (
	raise, probe     = Action{Kind: RaiseToken}, Action{Kind: Probe}
	mark, suspect    = Action{Kind: MarkPartitioned}, Action{Kind: MarkSuspect}
	partitionActions = []Action{probe, mark, raise}
)

// suspectHeard makes a machine suspect that was heard of just now, by an answer that does not clear it yet.
func suspectHeard(m *Machine) { m.Suspect, m.SilentFor = true, 0 }

// TestJudge judges one machine, as it is changed from one that is well and has tasks, among three others of its zone.
func TestJudge(t *testing.T) {
	const lost = 9 * time.Second
	for _, test := range []struct {
		name             string
		others           Time // for how long nothing was received from the others
		change           func(m *Machine)
		evidence         known
		cloudUnavailable bool
		want             []Action
	}{
		{name: "well", change: func(*Machine) {}},
		{name: "silent", change: func(m *Machine) { m.SilentFor = 6 * time.Second }, want: []Action{probe}},
		{name: "lost", change: func(m *Machine) { m.SilentFor = lost },
			want: []Action{probe, release(HeartbeatsMissing)}},
		{name: "never up", change: func(m *Machine) { *m = Machine{Zone: 1, SilentFor: time.Hour} }},
		{name: "first heartbeat awaited, nothing placed", change: func(m *Machine) {
			m.Reported, m.Occupied, m.Suspect, m.SilentFor = false, false, true, 14*time.Second
		}, want: []Action{probe}},
		{name: "first heartbeat awaited, tasks placed", change: func(m *Machine) {
			m.Reported, m.SilentFor = false, lost
		}, want: []Action{probe, release(HeartbeatsMissing)}},
		{name: "releasing", change: func(m *Machine) { m.Releasing, m.SilentFor = true, time.Hour }},
		{name: "quarantined, tasks left", change: func(m *Machine) { m.Quarantined = true }},
		{name: "quarantined, empty", change: func(m *Machine) { m.Quarantined, m.Occupied = true, false },
			want: []Action{release(Quarantined)}},
		{name: "zone partitioned, a controller there", others: lost, change: func(m *Machine) { m.SilentFor = lost },
			evidence: known{zoneUp: true}, want: partitionActions},
		{name: "zone partitioned from all", others: lost, change: func(m *Machine) { m.SilentFor = lost },
			want: []Action{probe, mark, raise, suspect}},
		{name: "zone partitioned, empty", others: lost, change: func(m *Machine) {
			m.SilentFor, m.Occupied = lost, false
		}, want: partitionActions},
		{name: "zone partitioned for too long", others: lost, change: func(m *Machine) {
			m.SilentFor = 100 * time.Second
		}, want: []Action{probe, release(HeartbeatsMissing)}},
		{name: "cancelled tasks overdue", others: lost, change: func(m *Machine) { m.SilentFor = lost },
			evidence: known{cancelledFor: 61 * time.Second}, want: []Action{probe, release(CancelOverdue)}},
		{name: "cancelled tasks overdue, cleared", others: lost, change: func(m *Machine) { m.SilentFor = lost },
			evidence: known{cancelledFor: 61 * time.Second, cleared: true, zoneUp: true}, want: partitionActions},
		{name: "cancelled tasks overdue, no cloud", others: lost, change: func(m *Machine) { m.SilentFor = lost },
			evidence:         known{cancelledFor: 61 * time.Second, zoneUp: true},
			cloudUnavailable: true, want: partitionActions},
		{name: "lease expired, urgent work", others: lost, change: suspectHeard,
			evidence: known{leaseExpired: true, urgent: true}, want: []Action{release(NeededElsewhere)}},
		{name: "lease expired, room elsewhere", others: lost, change: suspectHeard,
			evidence: known{leaseExpired: true, low: Room{CPUs: 2}, free: Room{CPUs: 2}},
			want:     []Action{release(NeededElsewhere)}},
		{name: "lease expired, no room", others: lost, change: suspectHeard,
			evidence: known{leaseExpired: true, low: Room{GPUs: 2}, free: Room{CPUs: 9, GPUs: 1}}},
		{name: "lease expired, nothing movable", others: lost, change: suspectHeard,
			evidence: known{leaseExpired: true, free: Room{CPUs: 9}}},
	} {
		t.Run(test.name, func(t *testing.T) {
			machines := inZone(4, test.others)
			test.change(&machines[0])
			machines[0].SinceHeartbeat = machines[0].SilentFor
			round := (&Detector{}).Begin(&rules, census(machines), time.Hour, test.cloudUnavailable)
			if got := round.Judge(&machines[0], &test.evidence); !slices.Equal(got, test.want) {
				t.Errorf("got %v, want %v", got, test.want)
			}
		})
	}
}

// TestRoomIsGivenOnce: low-priority work of several machines does not count on the same room elsewhere.
func TestRoomIsGivenOnce(t *testing.T) {
	machines := inZone(3, time.Second)
	evidence := &known{leaseExpired: true, low: Room{CPUs: 2}, free: Room{CPUs: 5}}
	round := (&Detector{}).Begin(&rules, census(machines), time.Hour, false)
	released := 0
	for i := range machines {
		machines[i].Suspect = true
		released += len(round.Judge(&machines[i], evidence))
	}
	if released != 2 {
		t.Errorf("%d machines were released for room that two need", released)
	}
}

// TestPartitionAftermath: a zone counts as partitioned for a while after its last sign, also for what did not boot.
func TestPartitionAftermath(t *testing.T) {
	detector := &Detector{}
	detector.Begin(&rules, census(inZone(4, 9*time.Second)), time.Hour, false)
	for _, test := range []struct {
		after Time
		want  bool
	}{{0, false}, {15*time.Second - 1, false}, {15 * time.Second, true}} {
		round := detector.Begin(&rules, census(inZone(4, 0)), time.Hour+test.after, false)
		if got := round.ReleasesUnbooted(1); got != test.want {
			t.Errorf("%v after the last sign: %v", test.after, got)
		}
		if !round.ReleasesUnbooted(2) {
			t.Error("another zone counts as partitioned")
		}
	}
}

// TestCheckIsolation: a leader resigns only if nearly all machines are silent, in two zones, while another controller
// is reached, and still after it had time to probe them.
func TestCheckIsolation(t *testing.T) {
	fleet := func(silentFor Time, zones int32) *Census {
		machines := slices.Concat(inZone(4, silentFor), inZone(4, silentFor))
		for i := range machines {
			machines[i].Zone = int32(i) % zones
		}
		return census(machines)
	}
	reach := Reach{SinceHeartbeat: 7 * time.Second, SinceGrace: time.Minute, PeerReachable: true}
	for _, test := range []struct {
		name   string
		census *Census
		change func(r *Reach)
		want   bool
	}{
		{"all silent", fleet(6*time.Second, 2), func(*Reach) {}, true},
		{"all silent, a heartbeat of late", fleet(6*time.Second, 2), func(r *Reach) { r.SinceHeartbeat = 0 }, true},
		{"nothing received", fleet(4*time.Second, 2), func(*Reach) {}, true},
		{"nothing received for less long", fleet(4*time.Second, 2), func(r *Reach) { r.SinceHeartbeat /= 2 }, false},
		{"one zone", fleet(6*time.Second, 1), func(*Reach) {}, false},
		{"no controller reached", fleet(6*time.Second, 2), func(r *Reach) { r.PeerReachable = false }, false},
		{"new leader", fleet(6*time.Second, 2), func(r *Reach) { r.SinceGrace = 7 * time.Second }, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			detector, r := &Detector{}, reach
			test.change(&r)
			var got []IsolationAction
			for _, after := range []Time{0, 1500*time.Millisecond - 1, 1500 * time.Millisecond} {
				got = append(got, detector.CheckIsolation(&rules, test.census, r, time.Hour+after))
			}
			want := []IsolationAction{NotIsolated, NotIsolated, NotIsolated}
			if test.want {
				want = []IsolationAction{ProbeMachines, NotIsolated, Resign}
			}
			if !slices.Equal(got, want) {
				t.Errorf("got %v, want %v", got, want)
			}
		})
	}
}

// TestJudgeAgainstModel judges random fleets for some rounds, and compares the actions with those of plainRound.
func TestJudgeAgainstModel(t *testing.T) {
	seen := map[Action]int{}
	for seed := range uint64(2000) {
		rng := rand.New(rand.NewPCG(seed, 1))
		detector, plain, nextCheck := &Detector{}, &plainRound{until: map[int32]Time{}}, Time(0)
		plain.now = time.Second
		for range 4 {
			plain.now += Time(rng.Int64N(int64(8 * time.Second)))
			machines, evidence := randomFleet(rng)
			plain.cloudUnavailable, plain.checks = rng.IntN(4) == 0, plain.now > nextCheck
			if plain.checks {
				nextCheck = plain.now + 5*time.Second
			}
			plain.count(machines)
			round := detector.Begin(&rules, census(machines), plain.now, plain.cloudUnavailable)
			for i := range machines {
				got, want := round.Judge(&machines[i], &evidence[i]), plain.judge(&machines[i], &evidence[i])
				if !slices.Equal(got, want) {
					t.Fatalf("seed %d, machine %d: got %v, want %v", seed, i, got, want)
				}
				for _, action := range got {
					seen[action]++
				}
			}
		}
	}
	for _, action := range []Action{raise, probe, mark, suspect, release(HeartbeatsMissing), release(Quarantined),
		release(CancelOverdue), release(NeededElsewhere)} {
		if seen[action] < 100 {
			t.Errorf("%v was decided only %d times", action, seen[action])
		}
	}
}

func randomFleet(rng *rand.Rand) ([]Machine, []known) {
	flip := func() bool { return rng.IntN(2) == 0 }
	room := func() Room { return Room{float64(rng.IntN(4)), float64(rng.IntN(2))} }
	silences := []Time{
		0, 5500 * time.Millisecond, 6 * time.Second, 10 * time.Second, 15 * time.Second, 100 * time.Second,
	}
	usual, free := silences[rng.IntN(len(silences))], []Room{room(), room(), room()}
	machines, evidence := make([]Machine, 1+rng.IntN(12)), make([]known, 12)
	for i := range machines {
		m := &machines[i]
		*m = Machine{
			Zone: int32(rng.IntN(3)), Reported: rng.IntN(4) > 0, Occupied: flip(), HasAddr: flip(),
			Suspect: rng.IntN(3) == 0, Releasing: rng.IntN(6) == 0, Quarantined: rng.IntN(5) == 0,
			InboundPartitioned: rng.IntN(4) == 0, SinceHeartbeat: usual,
		}
		if rng.IntN(3) == 0 {
			m.SinceHeartbeat = silences[rng.IntN(len(silences))]
		}
		m.SilentFor = m.SinceHeartbeat
		evidence[i] = known{
			cancelledFor: silences[rng.IntN(len(silences))], cleared: flip(), leaseExpired: flip(),
			urgent: rng.IntN(4) == 0, zoneUp: flip(), low: room(), free: free[m.Zone],
		}
	}
	return machines, evidence
}

// plainRound is a round as it was first written, over maps by zone.
type plainRound struct {
	now                      Time
	up, silent, inbound      map[int32]int
	until                    map[int32]Time
	room                     map[int32]*Room
	checks, cloudUnavailable bool
}

func wasUp(m *Machine) bool { return m.Reported || m.Occupied || m.Suspect }

func (p *plainRound) count(machines []Machine) {
	p.up, p.silent, p.inbound, p.room = map[int32]int{}, map[int32]int{}, map[int32]int{}, map[int32]*Room{}
	for i := range machines {
		m := &machines[i]
		if !wasUp(m) {
			continue
		}
		p.up[m.Zone]++
		if m.InboundPartitioned || m.SinceHeartbeat > 5*time.Second {
			p.silent[m.Zone]++
		}
		if m.InboundPartitioned {
			p.inbound[m.Zone]++
		}
	}
}

// judge is what is done about a machine, in order.
func (p *plainRound) judge(m *Machine, e *known) (actions []Action) {
	if p.checks && p.inbound[m.Zone] >= 2 && m.Reported {
		actions = append(actions, raise)
	}
	if !m.Releasing && wasUp(m) && m.SilentFor > rules.ProbeAfter {
		actions = append(actions, probe)
	}
	if p.silent[m.Zone] >= 3 && p.silent[m.Zone]*2 > p.up[m.Zone] {
		p.until[m.Zone] = p.now + 15*time.Second
	}
	limit := rules.SilentAfter
	if !m.Reported && (!m.Occupied || !m.HasAddr) {
		limit += 6 * time.Second
	}
	lost := wasUp(m) && m.SilentFor > limit
	partitioned := p.now < p.until[m.Zone] && m.SilentFor < 100*time.Second
	switch reason := p.moves(m, e, lost); {
	case m.Releasing:
	case reason != "":
		actions = append(actions, release(reason))
	case m.Quarantined && !m.Occupied:
		actions = append(actions, release(Quarantined))
	case lost && !partitioned:
		actions = append(actions, release(HeartbeatsMissing))
	case lost && !m.Suspect && m.Occupied && !e.zoneUp:
		actions = append(actions, mark, raise, suspect)
	case lost:
		actions = append(actions, mark, raise)
	}
	return actions
}

// moves is why a machine is released for what it holds; "": it is not.
func (p *plainRound) moves(m *Machine, e *known, lost bool) ReleaseReason {
	if m.Releasing || !m.Occupied || p.cloudUnavailable {
		return ""
	}
	if (lost || m.Suspect) && e.cancelledFor > rules.CancelPatience && !e.cleared {
		return CancelOverdue
	}
	if !m.Suspect || !e.leaseExpired {
		return ""
	}
	if e.urgent {
		return NeededElsewhere
	}
	if p.room[m.Zone] == nil {
		p.room[m.Zone] = &Room{e.free.CPUs, e.free.GPUs}
	}
	room := p.room[m.Zone]
	if (e.low == Room{}) || e.low.CPUs > room.CPUs || e.low.GPUs > room.GPUs {
		return ""
	}
	*room = Room{room.CPUs - e.low.CPUs, room.GPUs - e.low.GPUs}
	return NeededElsewhere
}
