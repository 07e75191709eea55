package staleness

import "testing"

func newStamp(session, seq, token uint64) Stamp { return Stamp{Number{session, seq}, token} }

// TestJudge: what a message proves, by who asked for it and what was heard before.
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
		name  string
		e     *Tracker
		w     Stamp
		least uint64
		asked bool
		want  Freshness
	}{
		{"the first report of a term may be of any time", trackerOf(), newStamp(3, 7, 99), 0, false, Unproven},
		{"unless it has a token of the term", trackerOf(), newStamp(3, 7, 100), 0, false, Fresh},
		{"or was asked for", trackerOf(), newStamp(3, 7, 0), 0, true, Fresh},
		{"a worker that the log knows in a later session began anew", trackerOf(), newStamp(1, 2, 0), 5, true, Restarted},
		{"which a report without a token of the term does not prove", trackerOf(), newStamp(1, 2, 0), 5, false, Unproven},
		{"a newer one", trackerOf(newStamp(1, 4, 100)), newStamp(1, 5, 100), 0, false, Fresh},
		{"the same again", trackerOf(newStamp(1, 4, 100)), newStamp(1, 4, 100), 0, false, Stale},
		{"an older session with a larger number", trackerOf(newStamp(2, 4, 100)), newStamp(1, 90, 100), 0, false, Stale},
		{"a token that goes back", trackerOf(newStamp(1, 4, 101)), newStamp(1, 5, 100), 0, false, Stale},
		{"an answer whose numbers go back", trackerOf(newStamp(1, 4, 101)), newStamp(1, 2, 0), 0, true, Restarted},
		{"an answer whose token alone goes back", trackerOf(newStamp(1, 4, 101)), newStamp(2, 5, 0), 0, true, Restarted},
	} {
		var question *Question
		if c.asked {
			question = c.e.Ask()
		}
		if freshness := c.e.Judge(c.w, term, c.least, question); freshness != c.want {
			t.Errorf("%s: %d, want %d", c.name, freshness, c.want)
		}
	}
}

// TestOvertaken: of two answers the later one counts, and an answer that a report overtook is no proof of a new life.
func TestOvertaken(t *testing.T) {
	tracker := &Tracker{}
	tracker.Accept(newStamp(1, 10, 100), Fresh, 0, true)
	question := tracker.Ask()
	tracker.Accept(newStamp(1, 12, 100), Fresh, 0, true)
	if freshness := tracker.Judge(newStamp(1, 11, 100), 100, 0, question); freshness != Stale {
		t.Errorf("an answer that was overtaken is %d", freshness)
	}
}

// TestRestartedIncarnation: after a worker began anew, copies from its earlier life have the higher numbers, and
// don't count; reports do once they show a token that was given out since.
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
		t.Error("a life that has not shown the new token is fenced")
	}
	if freshness := tracker.Judge(newStamp(1, 60, 100), 100, 0, nil); freshness != Stale {
		t.Errorf("a copy from the earlier life is %d", freshness)
	}
	if freshness := tracker.Judge(newStamp(1, 3, 101), 100, 0, nil); freshness != Fresh {
		t.Errorf("a report with the new token is %d", freshness)
	}
	tracker.Accept(newStamp(1, 3, 101), Fresh, 0, true)
	if !tracker.Fenced() || tracker.Incarnations() != 1 {
		t.Errorf("fenced %v, lives %d", tracker.Fenced(), tracker.Incarnations())
	}
}

// TestInboundPartition: a worker that does not show the token it was told, though it sent its next report, did not
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
		t.Errorf("an answer that arrived: met %v, deaf %v", acknowledged, tracker.OneWay())
	}
	tracker.RecordAnswer(101) // it has it: nothing is tried
	if acknowledged := tracker.Accept(newStamp(1, 4, 101), Fresh, 0, true); acknowledged || tracker.OneWay() {
		t.Errorf("nothing was tried: met %v, deaf %v", acknowledged, tracker.OneWay())
	}
}
