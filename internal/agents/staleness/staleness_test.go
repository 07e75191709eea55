package staleness

import "testing"

func newStamp(session, seq, token uint64) Stamp { return Stamp{Number{session, seq}, token} }

// TestJudge: what a message proves, by who asked for it and what was received before.
func TestJudge(t *testing.T) {
	const term = 100
	trackerOf := func(stamps ...Stamp) *Tracker {
		tracker := &Tracker{}
		for _, w := range stamps {
			tracker.Accept(w, Fresh, 0, true)
		}
		return tracker
	}
	for _, c := range []struct {
		name       string
		tracker    *Tracker
		stamp      Stamp
		minSession uint64
		asked      bool
		want       Freshness
	}{
		{"the first heartbeat of a term may be of any time",
			trackerOf(), newStamp(3, 7, 99), 0, false, Unproven},
		{"unless it has a token of the term",
			trackerOf(), newStamp(3, 7, 100), 0, false, Fresh},
		{"or was asked for",
			trackerOf(), newStamp(3, 7, 0), 0, true, Fresh},
		{"an agent that the log knows in a later epoch has restarted",
			trackerOf(), newStamp(1, 2, 0), 5, true, Restarted},
		{"which a heartbeat without a token of the term does not prove",
			trackerOf(), newStamp(1, 2, 0), 5, false, Unproven},
		{"a newer one",
			trackerOf(newStamp(1, 4, 100)), newStamp(1, 5, 100), 0, false, Fresh},
		{"the same again",
			trackerOf(newStamp(1, 4, 100)), newStamp(1, 4, 100), 0, false, Stale},
		{"an older epoch with a larger number",
			trackerOf(newStamp(2, 4, 100)), newStamp(1, 90, 100), 0, false, Stale},
		{"a token that goes back",
			trackerOf(newStamp(1, 4, 101)), newStamp(1, 5, 100), 0, false, Stale},
		{"an answer whose numbers go back",
			trackerOf(newStamp(1, 4, 101)), newStamp(1, 2, 0), 0, true, Restarted},
		{"an answer whose token alone goes back",
			trackerOf(newStamp(1, 4, 101)), newStamp(2, 5, 0), 0, true, Restarted},
	} {
		var question *Question
		if c.asked {
			question = c.tracker.Ask()
		}
		if freshness := c.tracker.Judge(c.stamp, term, c.minSession, question); freshness != c.want {
			t.Errorf("%s: %d, want %d", c.name, freshness, c.want)
		}
	}
}

// TestOvertaken: of two answers the later one counts, and one that a heartbeat overtook is no proof of a restart.
func TestOvertaken(t *testing.T) {
	tracker := &Tracker{}
	tracker.Accept(newStamp(1, 10, 100), Fresh, 0, true)
	question := tracker.Ask()
	tracker.Accept(newStamp(1, 12, 100), Fresh, 0, true)
	if freshness := tracker.Judge(newStamp(1, 11, 100), 100, 0, question); freshness != Stale {
		t.Errorf("an answer that was overtaken is %d", freshness)
	}
}

// TestRestartedIncarnation: after an agent restarted, copies from its earlier incarnation have the higher numbers, and
// don't count; heartbeats do once they show a token that was given out since.
func TestRestartedIncarnation(t *testing.T) {
	tracker := &Tracker{}
	tracker.Accept(newStamp(1, 50, 100), Fresh, 0, true)
	question := tracker.Ask()
	answer := newStamp(1, 2, 0)
	if freshness := tracker.Judge(answer, 100, 0, question); freshness != Restarted {
		t.Fatalf("an answer that goes back is %d", freshness)
	}
	tracker.Accept(answer, Restarted, 101, false)
	if tracker.Fenced() {
		t.Error("an incarnation that has not shown the new token is fenced")
	}
	if freshness := tracker.Judge(newStamp(1, 60, 100), 100, 0, nil); freshness != Stale {
		t.Errorf("a copy from the earlier incarnation is %d", freshness)
	}
	if freshness := tracker.Judge(newStamp(1, 3, 101), 100, 0, nil); freshness != Fresh {
		t.Errorf("a heartbeat with the new token is %d", freshness)
	}
	tracker.Accept(newStamp(1, 3, 101), Fresh, 0, true)
	if !tracker.Fenced() || tracker.Incarnations() != 1 {
		t.Errorf("fenced %v, incarnations %d", tracker.Fenced(), tracker.Incarnations())
	}
}

// TestInboundPartition: an agent that does not show the token it was sent, though it sent its next heartbeat, did not
// get the answer.
func TestInboundPartition(t *testing.T) {
	tracker := &Tracker{}
	tracker.Accept(newStamp(1, 1, 100), Fresh, 0, true)
	tracker.RecordAnswer(101)
	tracker.Accept(newStamp(1, 2, 100), Fresh, 0, true)
	if !tracker.OneWay() {
		t.Error("an answer that did not arrive is not noticed")
	}
	tracker.RecordAnswer(101)
	if acknowledged := tracker.Accept(newStamp(1, 3, 101), Fresh, 0, true); !acknowledged || tracker.OneWay() {
		t.Errorf("an answer that arrived: acknowledged %v, one-way %v", acknowledged, tracker.OneWay())
	}
	tracker.RecordAnswer(101) // it has it: nothing is tried
	if acknowledged := tracker.Accept(newStamp(1, 4, 101), Fresh, 0, true); acknowledged || tracker.OneWay() {
		t.Errorf("nothing was tried: acknowledged %v, one-way %v", acknowledged, tracker.OneWay())
	}
}
