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

// standsAfter returns how long after its start a fresh process that sees no leader stands for election, or a minute if
// it has not stood by then. Like the controller, it calls MayBeCandidate again after each retryAfter. Before each call,
// receive may record what has arrived from the peers.
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

// eligibilityAfterOwnLeadership returns the eligibility of a process at its start, if the previous process of its node
// was the leader.
func eligibilityAfterOwnLeadership(peers int) *Eligibility {
	eligibility := New(DefaultRules, peers, 0)
	eligibility.RecordLeader(true, 0)
	return eligibility
}

// TestFreshProcessYields checks how long a fresh process yields, depending on the status and reachability of its peers.
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
// respond, since a warm peer would have stood before this process started. It must still yield to a warm peer that
// responds.
func TestNoLeaderToBeginWith(t *testing.T) {
	if at := standsAfter(t, New(DefaultRules, 2, 0), nil); at != 0 {
		t.Errorf("a process without responses stands after %v, want 0", at)
	}
	eligibility := New(DefaultRules, 2, 0)
	at := standsAfter(t, eligibility, func(now Time) {
		eligibility.RecordStatus(0, Status{Warm: true, RecentIncarnations: 1}, now)
	})
	if at < DefaultRules.YieldToWarm {
		t.Errorf("a process with a warm peer stands after %v, want at least %v", at, DefaultRules.YieldToWarm)
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
		t.Error("MayBeCandidate returned true while a leader is known, want false")
	}
	eligibility.RecordLeader(false, now)
	if ok, _ := eligibility.MayBeCandidate(now); !ok {
		t.Error("MayBeCandidate returned false for a process that is not fresh, want true")
	}
}

// TestRecentIncarnationsAreCounted checks that each process of a peer is counted once and is forgotten after
// RestartMemory, except for the one that sends the current ping.
func TestRecentIncarnationsAreCounted(t *testing.T) {
	eligibility := New(DefaultRules, 1, 0)
	for i := range 40 {
		for range 3 {
			actual, want := eligibility.RecordIncarnation(0, uint64(i), Time(i)*time.Second), min(i+1, maxIncarnations)
			if actual != want {
				t.Fatalf("RecordIncarnation counted %d recent processes, want %d", actual, want)
			}
		}
	}
	if actual := eligibility.RecordIncarnation(0, 39, time.Hour); actual != 1 {
		t.Errorf("RecordIncarnation counted %d recent processes after an hour, want 1", actual)
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

// TestStatusRoundTrip checks that statuses and queries are decoded as they were encoded, and that truncated and
// malformed ones are rejected.
func TestStatusRoundTrip(t *testing.T) {
	for _, status := range []Status{{}, {true, 3}, {false, maxIncarnations}} {
		if decoded, err := ReadStatus(status.Append(nil)); err != nil || decoded != status {
			t.Errorf("status was decoded as %+v, error %v; want %+v", decoded, err, status)
		}
	}
	node, incarnation, err := ReadQuery(AppendQuery(nil, "n1", 1<<60))
	if err != nil || node != "n1" || incarnation != 1<<60 {
		t.Errorf("query was decoded as node %q, incarnation %d, error %v; want node n1, incarnation 1<<60",
			node, incarnation, err)
	}
	encoded := AppendQuery(nil, "n1", 7)
	for i := range encoded {
		if _, _, err := ReadQuery(encoded[:i]); err == nil {
			t.Errorf("a query truncated to %d of %d bytes was decoded, want an error", i, len(encoded))
		}
	}
	for _, b := range [][]byte{
		nil, {9}, {statusVersion}, {statusVersion, 1}, {statusVersion, 1, 200, 1}, append(Status{}.Append(nil), 0),
	} {
		if status, err := ReadStatus(b); err == nil {
			t.Errorf("malformed status %v was decoded as %+v, want an error", b, status)
		}
	}
}

// TestTimeline checks that each phase is recorded once and measured from the first recorded phase.
func TestTimeline(t *testing.T) {
	var timeline Timeline
	if _, ok := timeline.ReachedAfter(Leading); ok || timeline.IsComplete() {
		t.Errorf("empty timeline: Leading reached %v, complete %v; want both false", ok, timeline.IsComplete())
	}
	for p := Elected; p < PhaseCount; p++ { // LeaderLost is absent: the first leader of a cluster has no predecessor
		if !timeline.Mark(p, Time(p)*time.Second) || timeline.Mark(p, time.Hour) {
			t.Errorf("phase %v: want true from the first Mark and false from the second", p)
		}
	}
	if after, ok := timeline.ReachedAfter(Leading); !ok || after != 2*time.Second || timeline.IsComplete() {
		t.Errorf("Leading reached %v, after %v, timeline complete %v; want true, 2s, false",
			ok, after, timeline.IsComplete())
	}
	if timeline.Mark(LeaderLost, 0); !timeline.IsComplete() {
		t.Error("IsComplete returned false with all phases marked, want true")
	}
	if after, _ := timeline.ReachedAfter(Leading); after != 3*time.Second {
		t.Errorf("Leading reached %v after LeaderLost, want 3s", after)
	}
	for p := range PhaseCount {
		if p.String() == "?" || p.String() == "" {
			t.Errorf("phase %d has no name", p)
		}
	}
}
