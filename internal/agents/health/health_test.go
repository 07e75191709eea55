package health

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// rules have a heartbeat interval of 4 s: a heartbeat is missed after 5 s, a machine is probed after 5.75 s and lost
// after 8.75 s.
var rules = Rules{
	HeartbeatS: 4, ProbeAfter: 5750 * time.Millisecond, SilentAfter: 8750 * time.Millisecond,
	CancelReleaseDelay: 60 * time.Second, Zones: 3,
}

// fakeEvidence implements Evidence with fixed values.
type fakeEvidence struct {
	cancelledFor                          Time
	cleared, leaseExpired, urgent, zoneUp bool
	low, free                             Resources
}

func (e *fakeEvidence) CancelledFor() Time              { return e.cancelledFor }
func (e *fakeEvidence) Cleared() bool                   { return e.cleared }
func (e *fakeEvidence) LeaseExpired() bool              { return e.leaseExpired }
func (e *fakeEvidence) MovableTasks() (bool, Resources) { return e.urgent, e.low }
func (e *fakeEvidence) FreeOutsideZone() Resources      { return e.free }
func (e *fakeEvidence) ZoneMayBeAlive() bool            { return e.zoneUp }

// machinesInZone returns machines with tasks in zone 1 that have been silent for the given time.
func machinesInZone(machines int, silentFor Time) []Machine {
	m := Machine{
		Zone: 1, Reported: true, Occupied: true, HasAddr: true, SinceHeartbeat: silentFor, SilentFor: silentFor,
	}
	return slices.Repeat([]Machine{m}, machines)
}

func censusOf(machines []Machine) *Census {
	c := &Census{}
	for i := range machines {
		c.Add(&rules, &machines[i])
	}
	return c
}

func release(reason ReleaseReason) Action { return Action{Release, reason} }

var (
	raiseToken, probe            = Action{Kind: RaiseToken}, Action{Kind: Probe}
	markPartitioned, markSuspect = Action{Kind: MarkPartitioned}, Action{Kind: MarkSuspect}
	partitionActions             = []Action{probe, markPartitioned, raiseToken}
)

// makeSuspectButHeard marks a machine as suspect although a message from it has just arrived. This is the state until
// the log entry that clears the suspicion is applied.
func makeSuspectButHeard(m *Machine) { m.Suspect, m.SilentFor = true, 0 }

// TestJudge checks the actions on one machine in a zone of four. Each case modifies a healthy machine with tasks.
func TestJudge(t *testing.T) {
	const lost, overdue = 9 * time.Second, 61 * time.Second
	for _, test := range []struct {
		name             string
		others           Time // silence of the other machines
		change           func(m *Machine)
		evidence         fakeEvidence
		cloudUnavailable bool
		want             []Action
	}{
		{name: "healthy", change: func(*Machine) {}},
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
		{name: "zone partitioned with a controller", others: lost, change: func(m *Machine) { m.SilentFor = lost },
			evidence: fakeEvidence{zoneUp: true}, want: partitionActions},
		{name: "zone partitioned from all controllers", others: lost, change: func(m *Machine) { m.SilentFor = lost },
			want: []Action{probe, markPartitioned, raiseToken, markSuspect}},
		{name: "zone partitioned, empty", others: lost, change: func(m *Machine) {
			m.SilentFor, m.Occupied = lost, false
		}, want: partitionActions},
		{name: "zone partitioned for too long", others: lost, change: func(m *Machine) {
			m.SilentFor = 100 * time.Second
		}, want: []Action{probe, release(HeartbeatsMissing)}},
		{name: "cancelled tasks overdue", others: lost, change: func(m *Machine) { m.SilentFor = lost },
			evidence: fakeEvidence{cancelledFor: overdue}, want: []Action{probe, release(CancelOverdue)}},
		{name: "cancelled tasks overdue, cleared", others: lost, change: func(m *Machine) { m.SilentFor = lost },
			evidence: fakeEvidence{cancelledFor: overdue, cleared: true, zoneUp: true}, want: partitionActions},
		{name: "cancelled tasks overdue, cloud down", others: lost, change: func(m *Machine) { m.SilentFor = lost },
			evidence:         fakeEvidence{cancelledFor: overdue, zoneUp: true},
			cloudUnavailable: true, want: partitionActions},
		{name: "lease expired, urgent tasks", others: lost, change: makeSuspectButHeard,
			evidence: fakeEvidence{leaseExpired: true, urgent: true}, want: []Action{release(NeededElsewhere)}},
		{name: "lease expired, room elsewhere", others: lost, change: makeSuspectButHeard,
			evidence: fakeEvidence{leaseExpired: true, low: Resources{CPUs: 2}, free: Resources{CPUs: 2}},
			want:     []Action{release(NeededElsewhere)}},
		{name: "lease expired, no room", others: lost, change: makeSuspectButHeard,
			evidence: fakeEvidence{leaseExpired: true, low: Resources{GPUs: 2}, free: Resources{CPUs: 9, GPUs: 1}}},
		{name: "lease expired, nothing movable", others: lost, change: makeSuspectButHeard,
			evidence: fakeEvidence{leaseExpired: true, free: Resources{CPUs: 9}}},
	} {
		t.Run(test.name, func(t *testing.T) {
			machines := machinesInZone(4, test.others)
			test.change(&machines[0])
			machines[0].SinceHeartbeat = machines[0].SilentFor
			round := (&Detector{}).Begin(&rules, censusOf(machines), time.Hour, test.cloudUnavailable)
			if got := round.Judge(&machines[0], &test.evidence); !slices.Equal(got, test.want) {
				t.Errorf("got %v, want %v", got, test.want)
			}
		})
	}
}

// TestJudgeUnresponsiveMachine checks when a machine that has not answered a new leader is released because of
// cancelled tasks.
func TestJudgeUnresponsiveMachine(t *testing.T) {
	for _, test := range []struct {
		name                    string
		silentFor, cancelledFor Time
		want                    []Action
	}{
		{"overdue", 4100 * time.Millisecond, 61 * time.Second, []Action{probe, release(CancelOverdue)}},
		{"overdue, silent for a moment", 4 * time.Second, 61 * time.Second, []Action{probe}},
		{"in time", 4100 * time.Millisecond, 59 * time.Second, nil},
	} {
		machines := machinesInZone(4, 0)
		m := &machines[0]
		m.Reported, m.Unresponsive, m.SilentFor, m.SinceHeartbeat = false, true, test.silentFor, test.silentFor
		round := (&Detector{}).Begin(&rules, censusOf(machines), time.Hour, false)
		if got := round.Judge(m, &fakeEvidence{cancelledFor: test.cancelledFor}); !slices.Equal(got, test.want) {
			t.Errorf("%s: got %v, want %v", test.name, got, test.want)
		}
	}
}

// TestFreeResourcesAreUsedOnce checks that free resources in other zones are not counted twice for the low-priority
// tasks of several machines.
func TestFreeResourcesAreUsedOnce(t *testing.T) {
	machines := machinesInZone(3, time.Second)
	evidence := &fakeEvidence{leaseExpired: true, low: Resources{CPUs: 2}, free: Resources{CPUs: 5}}
	round := (&Detector{}).Begin(&rules, censusOf(machines), time.Hour, false)
	released := 0
	for i := range machines {
		machines[i].Suspect = true
		released += len(round.Judge(&machines[i], evidence))
	}
	if released != 2 {
		t.Errorf("%d machines were released, want 2: there is room for the tasks of two", released)
	}
}

// TestPartitionRecovery checks that a zone is considered partitioned for partitionRecovery after the last detection,
// and that its machines that did not boot are not released until then.
func TestPartitionRecovery(t *testing.T) {
	detector := &Detector{}
	detector.Begin(&rules, censusOf(machinesInZone(4, 9*time.Second)), time.Hour, false)
	for _, test := range []struct {
		after Time
		want  bool
	}{{0, false}, {15*time.Second - 1, false}, {15 * time.Second, true}} {
		round := detector.Begin(&rules, censusOf(machinesInZone(4, 0)), time.Hour+test.after, false)
		if got := round.ReleasesUnbooted(1); got != test.want {
			t.Errorf("%v after the last detection: ReleasesUnbooted returned %v, want %v", test.after, got, test.want)
		}
		if !round.ReleasesUnbooted(2) {
			t.Error("another zone is considered partitioned")
		}
	}
}

// TestCheckIsolation checks that a leader resigns only if nearly all machines of at least two zones are silent while
// another controller is reachable, and if this is still so after the time for probes.
func TestCheckIsolation(t *testing.T) {
	fleet := func(silentFor Time, zones int32) *Census {
		machines := slices.Concat(machinesInZone(4, silentFor), machinesInZone(4, silentFor))
		for i := range machines {
			machines[i].Zone = int32(i) % zones
		}
		return censusOf(machines)
	}
	reach := Reach{SinceHeartbeat: 7 * time.Second, SinceGracePeriod: time.Minute, PeerReachable: true}
	for _, test := range []struct {
		name   string
		census *Census
		change func(r *Reach)
		want   bool
	}{
		{"all silent", fleet(6*time.Second, 2), func(*Reach) {}, true},
		{"all silent, a recent heartbeat", fleet(6*time.Second, 2), func(r *Reach) { r.SinceHeartbeat = 0 }, true},
		{"nothing received", fleet(4*time.Second, 2), func(*Reach) {}, true},
		{"nothing received, below the limit", fleet(4*time.Second, 2), func(r *Reach) { r.SinceHeartbeat /= 2 }, false},
		{"one zone", fleet(6*time.Second, 1), func(*Reach) {}, false},
		{"no controller reachable", fleet(6*time.Second, 2), func(r *Reach) { r.PeerReachable = false }, false},
		{"new leader", fleet(6*time.Second, 2), func(r *Reach) { r.SinceGracePeriod = 7 * time.Second }, false},
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

// TestJudgeAgainstModel checks that the actions on random fleets over several rounds equal those of referenceRound.
func TestJudgeAgainstModel(t *testing.T) {
	seen := map[Action]int{}
	for seed := range uint64(2000) {
		rng := rand.New(rand.NewPCG(seed, 1))
		detector, reference, nextCheck := &Detector{}, &referenceRound{partitionedUntil: map[int32]Time{}}, Time(0)
		reference.now = time.Second
		for range 4 {
			reference.now += Time(rng.Int64N(int64(8 * time.Second)))
			machines, evidence := randomFleet(rng)
			reference.cloudUnavailable, reference.checksLateness = rng.IntN(4) == 0, reference.now > nextCheck
			if reference.checksLateness {
				nextCheck = reference.now + 5*time.Second
			}
			reference.count(machines)
			round := detector.Begin(&rules, censusOf(machines), reference.now, reference.cloudUnavailable)
			for i := range machines {
				got, want := round.Judge(&machines[i], &evidence[i]), reference.judge(&machines[i], &evidence[i])
				if !slices.Equal(got, want) {
					t.Fatalf("seed %d, machine %d: got %v, want %v", seed, i, got, want)
				}
				for _, action := range got {
					seen[action]++
				}
			}
		}
	}
	for _, action := range []Action{raiseToken, probe, markPartitioned, markSuspect, release(HeartbeatsMissing),
		release(Quarantined), release(CancelOverdue), release(NeededElsewhere)} {
		if seen[action] < 100 {
			t.Errorf("%v was decided %d times, want at least 100", action, seen[action])
		}
	}
}

func randomFleet(rng *rand.Rand) ([]Machine, []fakeEvidence) {
	flip := func() bool { return rng.IntN(2) == 0 }
	resources := func() Resources { return Resources{float64(rng.IntN(4)), float64(rng.IntN(2))} }
	silences := []Time{
		0, 5500 * time.Millisecond, 6 * time.Second, 10 * time.Second, 15 * time.Second, 100 * time.Second,
	}
	usual, free := silences[rng.IntN(len(silences))], []Resources{resources(), resources(), resources()}
	machines, evidence := make([]Machine, 1+rng.IntN(12)), make([]fakeEvidence, 12)
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
		m.SilentFor, m.Unresponsive = m.SinceHeartbeat, !m.Reported && flip()
		evidence[i] = fakeEvidence{
			cancelledFor: silences[rng.IntN(len(silences))], cleared: flip(), leaseExpired: flip(),
			urgent: rng.IntN(4) == 0, zoneUp: flip(), low: resources(), free: free[m.Zone],
		}
	}
	return machines, evidence
}

// referenceRound is a reference implementation of Round that uses a map by zone for each count.
type referenceRound struct {
	now                              Time
	up, silent, inbound              map[int32]int
	partitionedUntil                 map[int32]Time
	freeResources                    map[int32]*Resources
	checksLateness, cloudUnavailable bool
}

func hasBeenUp(m *Machine) bool { return m.Reported || m.Occupied || m.Suspect }

func (r *referenceRound) count(machines []Machine) {
	r.up, r.silent, r.inbound = map[int32]int{}, map[int32]int{}, map[int32]int{}
	r.freeResources = map[int32]*Resources{}
	for i := range machines {
		m := &machines[i]
		if !hasBeenUp(m) {
			continue
		}
		r.up[m.Zone]++
		if m.InboundPartitioned || m.SinceHeartbeat > 5*time.Second {
			r.silent[m.Zone]++
		}
		if m.InboundPartitioned {
			r.inbound[m.Zone]++
		}
	}
}

// judge returns the expected actions on a machine, in order.
func (r *referenceRound) judge(m *Machine, evidence *fakeEvidence) (actions []Action) {
	if r.checksLateness && r.inbound[m.Zone] >= 2 && m.Reported {
		actions = append(actions, raiseToken)
	}
	overdue := evidence.cancelledFor > rules.CancelReleaseDelay
	if !m.Releasing && (hasBeenUp(m) && m.SilentFor > rules.ProbeAfter || m.Unresponsive && overdue) {
		actions = append(actions, probe)
	}
	if r.silent[m.Zone] >= 3 && r.silent[m.Zone]*2 > r.up[m.Zone] {
		r.partitionedUntil[m.Zone] = r.now + 15*time.Second
	}
	limit := rules.SilentAfter
	if !m.Reported && (!m.Occupied || !m.HasAddr) {
		limit += 6 * time.Second
	}
	lost := hasBeenUp(m) && m.SilentFor > limit
	partitioned := r.now < r.partitionedUntil[m.Zone] && m.SilentFor < 100*time.Second
	switch reason := r.releaseReason(m, evidence, lost); {
	case m.Releasing:
	case reason != "":
		actions = append(actions, release(reason))
	case m.Quarantined && !m.Occupied:
		actions = append(actions, release(Quarantined))
	case lost && !partitioned:
		actions = append(actions, release(HeartbeatsMissing))
	case lost && !m.Suspect && m.Occupied && !evidence.zoneUp:
		actions = append(actions, markPartitioned, raiseToken, markSuspect)
	case lost:
		actions = append(actions, markPartitioned, raiseToken)
	}
	return actions
}

// releaseReason returns the reason to release a machine because of its tasks, or "" if there is none.
func (r *referenceRound) releaseReason(m *Machine, evidence *fakeEvidence, lost bool) ReleaseReason {
	if m.Releasing || !m.Occupied || r.cloudUnavailable {
		return ""
	}
	unanswered := m.Unresponsive && m.SilentFor > 4*time.Second
	if (lost || m.Suspect || unanswered) && evidence.cancelledFor > rules.CancelReleaseDelay && !evidence.cleared {
		return CancelOverdue
	}
	if !m.Suspect || !evidence.leaseExpired {
		return ""
	}
	if evidence.urgent {
		return NeededElsewhere
	}
	if r.freeResources[m.Zone] == nil {
		r.freeResources[m.Zone] = &Resources{evidence.free.CPUs, evidence.free.GPUs}
	}
	free := r.freeResources[m.Zone]
	if (evidence.low == Resources{}) || evidence.low.CPUs > free.CPUs || evidence.low.GPUs > free.GPUs {
		return ""
	}
	*free = Resources{free.CPUs - evidence.low.CPUs, free.GPUs - evidence.low.GPUs}
	return NeededElsewhere
}
