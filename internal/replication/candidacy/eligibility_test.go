package candidacy

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"fieldhill/internal/testing/virtualtime"
)

// TestMain draws the same cases every time.
func TestMain(m *testing.M) { virtualtime.MainRapid(m, 200) }

const millisecond = time.Millisecond

// standsAfter is when a fresh process that sees no leader from its start on stands, asked as the controller asks; a
// minute if it does not until then.
func standsAfter(t *testing.T, eligibility *Eligibility, receive func(now Time)) Time {
	const until = time.Minute
	for now := Time(0); now < until; {
		if receive != nil {
			receive(now)
		}
		eligibility.RecordLeader(false, now)
		ok, retryAfter := eligibility.MayStand(now)
		if ok {
			return now
		}
		if retryAfter <= 0 {
			t.Fatalf("at %v it is to ask again in %v", now, retryAfter)
		}
		now += retryAfter
	}
	return until
}

// eligibilityAfterOwnLead is that of a process that has ended the leadership of its node's earlier one.
func eligibilityAfterOwnLead(peers int) *Eligibility {
	eligibility := New(DefaultRules, peers, 0)
	eligibility.RecordLeader(true, 0)
	return eligibility
}

// TestFreshProcessYields: how long a process that has just begun yields to others, by what it knows of them.
func TestFreshProcessYields(t *testing.T) {
	for _, c := range []struct {
		name   string
		others int
		report func(eligibility *Eligibility, now Time)
		from   Time
		to     Time
	}{
		{"alone", 0, nil, 0, 0},
		{"all are as cold", 2, func(eligibility *Eligibility, now Time) {
			eligibility.RecordStatus(0, Status{RecentIncarnations: 1}, now)
			eligibility.RecordStatus(1, Status{RecentIncarnations: 1}, now)
		}, 0, 0},
		{"nobody responds", 2, nil, 800 * millisecond, 1000 * millisecond},
		{"a warm one is there and does nothing", 2, func(eligibility *Eligibility, now Time) {
			eligibility.RecordStatus(0, Status{Warm: true, RecentIncarnations: 1}, now)
			eligibility.RecordStatus(1, Status{RecentIncarnations: 1}, now)
		}, 1500 * millisecond, 1700 * millisecond},
		{"the same after three ends lately", 2, func(eligibility *Eligibility, now Time) {
			eligibility.RecordStatus(0, Status{Warm: true, RecentIncarnations: 4}, now)
			eligibility.RecordStatus(1, Status{RecentIncarnations: 1}, now)
		}, 6000 * millisecond, 6200 * millisecond},
		{"a warm one responds once and then no more", 1, func(eligibility *Eligibility, now Time) {
			if now == 0 {
				eligibility.RecordStatus(0, Status{Warm: true, RecentIncarnations: 1}, now)
			}
		}, 1500 * millisecond, 1700 * millisecond},
		{"a warm one is lost", 1, func(eligibility *Eligibility, now Time) {
			if now == 0 {
				eligibility.RecordStatus(0, Status{Warm: true, RecentIncarnations: 3}, now)
			} else {
				eligibility.RecordUnreachable(0)
			}
		}, 800 * millisecond, 1000 * millisecond},
	} {
		t.Run(c.name, func(t *testing.T) {
			eligibility := eligibilityAfterOwnLead(c.others)
			at := standsAfter(t, eligibility, func(now Time) {
				if c.report != nil {
					c.report(eligibility, now)
				}
			})
			if at < c.from || at > c.to {
				t.Errorf("it stands after %v, should be from %v to %v", at, c.from, c.to)
			}
		})
	}
}

// TestNoLeaderToBeginWith: a process that finds no leader at all does not wait for those that don't respond, since a
// warm one would have stood before it began; but it yields to one that does.
func TestNoLeaderToBeginWith(t *testing.T) {
	if at := standsAfter(t, New(DefaultRules, 2, 0), nil); at != 0 {
		t.Errorf("it stands after %v", at)
	}
	eligibility := New(DefaultRules, 2, 0)
	at := standsAfter(t, eligibility, func(now Time) {
		eligibility.RecordStatus(0, Status{Warm: true, RecentIncarnations: 1}, now)
	})
	if at < DefaultRules.YieldToWarm {
		t.Errorf("beside a warm one it stands after %v", at)
	}
}

// TestWarmProcessStandsAtOnce: a process that has run for a while stands at once, and none stands while a leader is
// known.
func TestWarmProcessStandsAtOnce(t *testing.T) {
	eligibility := New(DefaultRules, 1, 0)
	now := DefaultRules.FreshPeriod
	eligibility.RecordStatus(0, Status{Warm: true, RecentIncarnations: 1}, now)
	eligibility.RecordLeader(true, now)
	if ok, _ := eligibility.MayStand(now); ok {
		t.Error("it stands beside a leader")
	}
	eligibility.RecordLeader(false, now)
	if ok, _ := eligibility.MayStand(now); !ok {
		t.Error("it yields though it is not fresh")
	}
}

// TestRecentIncarnationsAreCounted: processes are counted once each, and for as long as they say; the one that asks
// is never forgotten.
func TestRecentIncarnationsAreCounted(t *testing.T) {
	eligibility := New(DefaultRules, 1, 0)
	for i := range 40 {
		for range 3 {
			actual, want := eligibility.RecordIncarnation(0, uint64(i), Time(i)*time.Second), min(i+1, maxIncarnations)
			if actual != want {
				t.Fatalf("%d processes seen, should be %d", actual, want)
			}
		}
	}
	if actual := eligibility.RecordIncarnation(0, 39, time.Hour); actual != 1 {
		t.Errorf("%d processes seen within the last minutes, should be 1", actual)
	}
}

// TestSomeNodeAlwaysStands: whatever the others report, a node that sees no leader stands before long.
func TestSomeNodeAlwaysStands(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		eligibility := eligibilityAfterOwnLead(3)
		limit := DefaultRules.MaxYield + DefaultRules.YieldToUnreachable
		at := standsAfter(t, eligibility, func(now Time) {
			for i := range 3 {
				switch rapid.IntRange(0, 3).Draw(r, "status") {
				case 0:
					warm := rapid.Bool().Draw(r, "warm")
					recent := rapid.IntRange(0, maxIncarnations).Draw(r, "incarnations")
					eligibility.RecordStatus(i, Status{Warm: warm, RecentIncarnations: recent}, now)
				case 1:
					eligibility.RecordUnreachable(i)
				}
			}
		})
		if at > limit {
			r.Fatalf("nobody stood for %v", at)
		}
	})
}

func TestStatusRoundTrip(t *testing.T) {
	for _, status := range []Status{{}, {true, 3}, {false, maxIncarnations}} {
		if decoded, err := ReadStatus(status.Append(nil)); err != nil || decoded != status {
			t.Errorf("%+v came back as %+v, %v", status, decoded, err)
		}
	}
	node, incarnation, err := ReadQuery(AppendQuery(nil, "n1", 1<<60))
	if err != nil || node != "n1" || incarnation != 1<<60 {
		t.Error(node, incarnation, err)
	}
	encoded := AppendQuery(nil, "n1", 7)
	for i := range encoded {
		if _, _, err := ReadQuery(encoded[:i]); err == nil {
			t.Errorf("a query truncated after %d bytes was read", i)
		}
	}
	for _, b := range [][]byte{
		nil, {9}, {statusVersion}, {statusVersion, 1}, {statusVersion, 1, 200, 1}, append(Status{}.Append(nil), 0),
	} {
		if status, err := ReadStatus(b); err == nil {
			t.Errorf("%v was read as %+v", b, status)
		}
	}
}

// TestTimeline: phases count from the first one that is known, each once.
func TestTimeline(t *testing.T) {
	var timeline Timeline
	if _, ok := timeline.ReachedAfter(Leading); ok || timeline.IsComplete() {
		t.Error("a failover that did not begin has phases")
	}
	for p := Elected; p < PhaseCount; p++ { // the first leader of all has not seen the loss of another
		if !timeline.Mark(p, Time(p)*time.Second) || timeline.Mark(p, time.Hour) {
			t.Errorf("%v is not marked once", p)
		}
	}
	if after, ok := timeline.ReachedAfter(Leading); !ok || after != 2*time.Second || timeline.IsComplete() {
		t.Errorf("it led after %v (%v)", after, ok)
	}
	if timeline.Mark(LeaderLost, 0); !timeline.IsComplete() {
		t.Error("all phases are reached")
	}
	if after, _ := timeline.ReachedAfter(Leading); after != 3*time.Second {
		t.Errorf("it led %v after it was noticed", after)
	}
	for p := range PhaseCount {
		if p.String() == "?" || p.String() == "" {
			t.Errorf("phase %d has no name", p)
		}
	}
}
