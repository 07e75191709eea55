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

// standsAfter is when a fresh process that sees no leader from its start on stands, asked as the storage asks.
func standsAfter(t *testing.T, eligibility *Eligibility, until Time, receive func(now Time)) Time {
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

// eligibilityAfterOwnLead is a watch of a process that has ended its earlier one's lead.
func eligibilityAfterOwnLead(peers int) *Eligibility {
	eligibility := New(DefaultRules, peers, 0)
	eligibility.RecordLeader(true, 0)
	return eligibility
}

// TestFreshProcessYields: how long a process that has just begun leaves the lead to others, by what it knows of them.
func TestFreshProcessYields(t *testing.T) {
	for _, c := range []struct {
		name   string
		others int
		heard  func(eligibility *Eligibility, now Time)
		from   Time
		to     Time
	}{
		{"alone", 0, nil, 0, 0},
		{"all are as cold", 2, func(eligibility *Eligibility, now Time) {
			eligibility.RecordStatus(0, Status{RecentIncarnations: 1}, now)
			eligibility.RecordStatus(1, Status{RecentIncarnations: 1}, now)
		}, 0, 0},
		{"nobody is heard of", 2, nil, 800 * millisecond, 1000 * millisecond},
		{"a warm one is there and does nothing", 2, func(eligibility *Eligibility, now Time) {
			eligibility.RecordStatus(0, Status{Warm: true, RecentIncarnations: 1}, now)
			eligibility.RecordStatus(1, Status{RecentIncarnations: 1}, now)
		}, 1500 * millisecond, 1700 * millisecond},
		{"the same after three ends lately", 2, func(eligibility *Eligibility, now Time) {
			eligibility.RecordStatus(0, Status{Warm: true, RecentIncarnations: 4}, now)
			eligibility.RecordStatus(1, Status{RecentIncarnations: 1}, now)
		}, 6000 * millisecond, 6200 * millisecond},
		{"a warm one is heard of once and then no more", 1, func(eligibility *Eligibility, now Time) {
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
			at := standsAfter(t, eligibility, time.Minute, func(now Time) {
				if c.heard != nil {
					c.heard(eligibility, now)
				}
			})
			if at < c.from || at > c.to {
				t.Errorf("it stands after %v, should be from %v to %v", at, c.from, c.to)
			}
		})
	}
}

// TestNoLeaderToBeginWith: a process that finds no leader at all does not wait for those that it can't hear of, since
// a warm one would have stood before it began; but it leaves the lead to one that it hears of.
func TestNoLeaderToBeginWith(t *testing.T) {
	if at := standsAfter(t, New(DefaultRules, 2, 0), time.Minute, nil); at != 0 {
		t.Errorf("it stands after %v", at)
	}
	eligibility := New(DefaultRules, 2, 0)
	if at := standsAfter(
		t,
		eligibility,
		time.Minute,
		func(now Time) { eligibility.RecordStatus(0, Status{Warm: true, RecentIncarnations: 1}, now) },
	); at < DefaultRules.YieldToWarm {
		t.Errorf("beside a warm one it stands after %v", at)
	}
}

// TestWarmProcessStandsAtOnce: a process that has run for a while stands at once, and none stands while a leader is
// known.
func TestWarmProcessStandsAtOnce(t *testing.T) {
	eligibility := New(DefaultRules, 1, 0)
	now := DefaultRules.FreshFor
	eligibility.RecordStatus(0, Status{Warm: true, RecentIncarnations: 1}, now)
	eligibility.RecordLeader(true, now)
	if ok, _ := eligibility.MayStand(now); ok {
		t.Error("it stands beside a leader")
	}
	eligibility.RecordLeader(false, now)
	if ok, _ := eligibility.MayStand(now); !ok {
		t.Error("it stands back though it is not fresh")
	}
}

// TestRecentIncarnationsAreCounted: processes are counted once each, and for as long as they say; the one that asks
// is never forgotten.
func TestRecentIncarnationsAreCounted(t *testing.T) {
	eligibility := New(DefaultRules, 1, 0)
	for i := range 40 {
		for range 3 {
			if actual, want := eligibility.RecordIncarnation(
				0,
				uint64(i),
				Time(i)*time.Second,
			), min(
				i+1,
				maxIncarnations,
			); actual != want {
				t.Fatalf("%d processes met, should be %d", actual, want)
			}
		}
	}
	if actual := eligibility.RecordIncarnation(0, 39, time.Hour); actual != 1 {
		t.Errorf("%d processes met within the last minutes, should be 1", actual)
	}
}

// TestSomeNodeAlwaysStands: whatever is heard, a node that sees no leader stands before long.
func TestSomeNodeAlwaysStands(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		eligibility := eligibilityAfterOwnLead(3)
		limit := DefaultRules.MaxYield + DefaultRules.YieldToUnreachable
		at := standsAfter(t, eligibility, time.Minute, func(now Time) {
			for i := range 3 {
				switch rapid.IntRange(0, 3).Draw(r, "word") {
				case 0:
					eligibility.RecordStatus(
						i,
						Status{
							Warm:               rapid.Bool().Draw(r, "warm"),
							RecentIncarnations: rapid.IntRange(0, maxIncarnations).Draw(r, "met"),
						},
						now,
					)
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
	if node, incarnation, err := ReadQuery(
		AppendQuery(nil, "n1", 1<<60),
	); err != nil || node != "n1" ||
		incarnation != 1<<60 {
		t.Error(node, incarnation, err)
	}
	encoded := AppendQuery(nil, "n1", 7)
	for i := range encoded {
		if _, _, err := ReadQuery(encoded[:i]); err == nil {
			t.Errorf("an ask cut after %d bytes was read", i)
		}
	}
	for _, b := range [][]byte{nil, {9}, {statusVersion}, {statusVersion, 1}, {statusVersion, 1, 200, 1}, append(Status{}.Append(nil), 0)} {
		if status, err := ReadStatus(b); err == nil {
			t.Errorf("%v was read as %+v", b, status)
		}
	}
}

// TestTimeline: parts count from the first one that is known, each once.
func TestTimeline(t *testing.T) {
	var timeline Timeline
	if _, ok := timeline.ReachedAfter(Leading); ok || timeline.IsComplete() {
		t.Error("a takeover that did not begin has parts")
	}
	for p := Elected; p < PhaseCount; p++ { // the first node of all notices nothing
		if !timeline.Mark(p, Time(p)*time.Second) || timeline.Mark(p, time.Hour) {
			t.Errorf("%v is not marked once", p)
		}
	}
	if after, ok := timeline.ReachedAfter(Leading); !ok || after != 2*time.Second || timeline.IsComplete() {
		t.Errorf("it led after %v (%v)", after, ok)
	}
	if timeline.Mark(LeaderLost, 0); !timeline.IsComplete() {
		t.Error("all parts have come")
	}
	if after, _ := timeline.ReachedAfter(Leading); after != 3*time.Second {
		t.Errorf("it led %v after it was noticed", after)
	}
	for p := range PhaseCount {
		if p.String() == "?" || p.String() == "" {
			t.Errorf("part %d has no name", p)
		}
	}
}
