package candidacy

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"fieldhill/internal/testing/virtualtime"
)

// TestMain makes rapid draw the same cases in every run.
func TestMain(m *testing.M) { virtualtime.MainRapid(m, 200) }

const millisecond = time.Millisecond

// standsAfter returns when a fresh process that sees no leader from its start stands for election if it asks as often
// as the controller does, or a minute if it does not stand before that. receive is called before each time it asks.
func standsAfter(t *testing.T, eligibility *Eligibility, receive func(now Time)) Time {
	const until = time.Minute
	for now := Time(0); now < until; {
		if receive != nil {
			receive(now)
		}
		eligibility.RecordLeader(false, now)
		ok, retryAfter := eligibility.MayBeCandidate(now)
		if ok {
			return now
		}
		if retryAfter <= 0 {
			t.Fatalf("at %v: retryAfter is %v, want a positive duration", now, retryAfter)
		}
		now += retryAfter
	}
	return until
}

// eligibilityAfterOwnLeadership returns the eligibility of a process that has just ended the leadership of its node's
// previous process.
func eligibilityAfterOwnLeadership(peers int) *Eligibility {
	eligibility := New(DefaultRules, peers, 0)
	eligibility.RecordLeader(true, 0)
	return eligibility
}

// TestFreshProcessYields checks how long a fresh process yields, depending on what it knows of its peers.
func TestFreshProcessYields(t *testing.T) {
	for _, c := range []struct {
		name     string
		peers    int
		report   func(eligibility *Eligibility, now Time)
		earliest Time
		latest   Time
	}{
		{"alone", 0, nil, 0, 0},
		{"all peers cold", 2, func(eligibility *Eligibility, now Time) {
			eligibility.RecordStatus(0, Status{RecentIncarnations: 1}, now)
			eligibility.RecordStatus(1, Status{RecentIncarnations: 1}, now)
		}, 0, 0},
		{"no response", 2, nil, 800 * millisecond, 1000 * millisecond},
		{"warm peer that never stands", 2, func(eligibility *Eligibility, now Time) {
			eligibility.RecordStatus(0, Status{Warm: true, RecentIncarnations: 1}, now)
			eligibility.RecordStatus(1, Status{RecentIncarnations: 1}, now)
		}, 1500 * millisecond, 1700 * millisecond},
		{"warm peer, three recent restarts", 2, func(eligibility *Eligibility, now Time) {
			eligibility.RecordStatus(0, Status{Warm: true, RecentIncarnations: 4}, now)
			eligibility.RecordStatus(1, Status{RecentIncarnations: 1}, now)
		}, 6000 * millisecond, 6200 * millisecond},
		{"warm peer responds only once", 1, func(eligibility *Eligibility, now Time) {
			if now == 0 {
				eligibility.RecordStatus(0, Status{Warm: true, RecentIncarnations: 1}, now)
			}
		}, 1500 * millisecond, 1700 * millisecond},
		{"warm peer becomes unreachable", 1, func(eligibility *Eligibility, now Time) {
			if now == 0 {
				eligibility.RecordStatus(0, Status{Warm: true, RecentIncarnations: 3}, now)
			} else {
				eligibility.RecordUnreachable(0)
			}
		}, 800 * millisecond, 1000 * millisecond},
	} {
		t.Run(c.name, func(t *testing.T) {
			eligibility := eligibilityAfterOwnLeadership(c.peers)
			at := standsAfter(t, eligibility, func(now Time) {
				if c.report != nil {
					c.report(eligibility, now)
				}
			})
			if at < c.earliest || at > c.latest {
				t.Errorf("stands after %v, want %v to %v", at, c.earliest, c.latest)
			}
		})
	}
}

// TestNoLeaderToBeginWith checks that a process that has never seen a leader does not wait for peers that do not
// respond, since a warm one would have stood before this process started, but that it yields to a warm peer that
// responds.
func TestNoLeaderToBeginWith(t *testing.T) {
	if at := standsAfter(t, New(DefaultRules, 2, 0), nil); at != 0 {
		t.Errorf("without responses it stands after %v, want 0", at)
	}
	eligibility := New(DefaultRules, 2, 0)
	at := standsAfter(t, eligibility, func(now Time) {
		eligibility.RecordStatus(0, Status{Warm: true, RecentIncarnations: 1}, now)
	})
	if at < DefaultRules.YieldToWarm {
		t.Errorf("with a warm peer it stands after %v, want at least %v", at, DefaultRules.YieldToWarm)
	}
}

// TestWarmProcessStandsAtOnce checks that a process that is no longer fresh stands at once, and that no process stands
// while a leader is known.
func TestWarmProcessStandsAtOnce(t *testing.T) {
	eligibility := New(DefaultRules, 1, 0)
	now := DefaultRules.FreshPeriod
	eligibility.RecordStatus(0, Status{Warm: true, RecentIncarnations: 1}, now)
	eligibility.RecordLeader(true, now)
	if ok, _ := eligibility.MayBeCandidate(now); ok {
		t.Error("stands while a leader is known")
	}
	eligibility.RecordLeader(false, now)
	if ok, _ := eligibility.MayBeCandidate(now); !ok {
		t.Error("yields although it is not fresh")
	}
}

// TestRecentIncarnationsAreCounted checks that each process is counted once and is forgotten after RestartMemory,
// except for the requesting one.
func TestRecentIncarnationsAreCounted(t *testing.T) {
	eligibility := New(DefaultRules, 1, 0)
	for i := range 40 {
		for range 3 {
			actual, want := eligibility.RecordIncarnation(0, uint64(i), Time(i)*time.Second), min(i+1, maxIncarnations)
			if actual != want {
				t.Fatalf("%d recent processes, want %d", actual, want)
			}
		}
	}
	if actual := eligibility.RecordIncarnation(0, 39, time.Hour); actual != 1 {
		t.Errorf("%d recent processes after an hour, want 1", actual)
	}
}

// TestSomeNodeAlwaysStands checks that a node that sees no leader stands within a bounded time, whatever its peers
// report.
func TestSomeNodeAlwaysStands(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		eligibility := eligibilityAfterOwnLeadership(3)
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
			r.Fatalf("stands after %v, want at most %v", at, limit)
		}
	})
}

func TestStatusRoundTrip(t *testing.T) {
	for _, status := range []Status{{}, {true, 3}, {false, maxIncarnations}} {
		if decoded, err := ReadStatus(status.Append(nil)); err != nil || decoded != status {
			t.Errorf("%+v was decoded as %+v, %v", status, decoded, err)
		}
	}
	node, incarnation, err := ReadQuery(AppendQuery(nil, "n1", 1<<60))
	if err != nil || node != "n1" || incarnation != 1<<60 {
		t.Errorf("query was decoded as node %q, incarnation %d, %v", node, incarnation, err)
	}
	encoded := AppendQuery(nil, "n1", 7)
	for i := range encoded {
		if _, _, err := ReadQuery(encoded[:i]); err == nil {
			t.Errorf("a query truncated to %d bytes was decoded", i)
		}
	}
	for _, b := range [][]byte{
		nil, {9}, {statusVersion}, {statusVersion, 1}, {statusVersion, 1, 200, 1}, append(Status{}.Append(nil), 0),
	} {
		if status, err := ReadStatus(b); err == nil {
			t.Errorf("malformed status %v was decoded as %+v", b, status)
		}
	}
}

// TestTimeline checks that each phase is recorded once and measured from the first recorded phase.
func TestTimeline(t *testing.T) {
	var timeline Timeline
	if _, ok := timeline.ReachedAfter(Leading); ok || timeline.IsComplete() {
		t.Error("an empty timeline has phases")
	}
	for p := Elected; p < PhaseCount; p++ { // the first leader of a cluster has not seen the loss of another
		if !timeline.Mark(p, Time(p)*time.Second) || timeline.Mark(p, time.Hour) {
			t.Errorf("%v is not marked exactly once", p)
		}
	}
	if after, ok := timeline.ReachedAfter(Leading); !ok || after != 2*time.Second || timeline.IsComplete() {
		t.Errorf("leading after %v (%v), want 2s; complete: %v", after, ok, timeline.IsComplete())
	}
	if timeline.Mark(LeaderLost, 0); !timeline.IsComplete() {
		t.Error("all phases are marked, but the timeline is not complete")
	}
	if after, _ := timeline.ReachedAfter(Leading); after != 3*time.Second {
		t.Errorf("leading %v after the loss was noticed, want 3s", after)
	}
	for p := range PhaseCount {
		if p.String() == "?" || p.String() == "" {
			t.Errorf("phase %d has no name", p)
		}
	}
}
