package staleness

import "testing"

func stamp(session, seq, token uint64) Stamp { return Stamp{Number{session, seq}, token} }

// TestJudge: what a message proves, by who asked for it and what was heard before.
func TestJudge(t *testing.T) {
	const term = 100
	heard := func(words ...Stamp) *Tracker {
		e := &Tracker{}
		for _, w := range words {
			e.Take(w, Fresh, 0, true)
		}
		return e
	}
	for _, c := range []struct {
		name  string
		e     *Tracker
		w     Stamp
		least uint64
		asked bool
		want  Freshness
	}{
		{"the first report of a term may be of any time", heard(), stamp(3, 7, 99), 0, false, Unproven},
		{"unless it has a token of the term", heard(), stamp(3, 7, 100), 0, false, Fresh},
		{"or was asked for", heard(), stamp(3, 7, 0), 0, true, Fresh},
		{"a worker that the log knows in a later session began anew", heard(), stamp(1, 2, 0), 5, true, Restarted},
		{"which a report without a token of the term does not prove", heard(), stamp(1, 2, 0), 5, false, Unproven},
		{"a newer one", heard(stamp(1, 4, 100)), stamp(1, 5, 100), 0, false, Fresh},
		{"the same again", heard(stamp(1, 4, 100)), stamp(1, 4, 100), 0, false, Stale},
		{"an older session with a larger number", heard(stamp(2, 4, 100)), stamp(1, 90, 100), 0, false, Stale},
		{"a token that goes back", heard(stamp(1, 4, 101)), stamp(1, 5, 100), 0, false, Stale},
		{"an answer whose numbers go back", heard(stamp(1, 4, 101)), stamp(1, 2, 0), 0, true, Restarted},
		{"an answer whose token alone goes back", heard(stamp(1, 4, 101)), stamp(2, 5, 0), 0, true, Restarted},
	} {
		var q *Question
		if c.asked {
			q = c.e.Ask()
		}
		if got := c.e.Judge(c.w, term, c.least, q); got != c.want {
			t.Errorf("%s: %d, want %d", c.name, got, c.want)
		}
	}
}

// TestOvertaken: of two answers the later one counts, and an answer that a report overtook is no proof of a new life.
func TestOvertaken(t *testing.T) {
	e := &Tracker{}
	e.Take(stamp(1, 10, 100), Fresh, 0, true)
	q := e.Ask()
	e.Take(stamp(1, 12, 100), Fresh, 0, true)
	if got := e.Judge(stamp(1, 11, 100), 100, 0, q); got != Stale {
		t.Errorf("an answer that was overtaken is %d", got)
	}
}

// TestLives: after a worker began anew, copies from its earlier life have the higher numbers, and don't count; reports do once
// they show a token that was given out since.
func TestLives(t *testing.T) {
	e := &Tracker{}
	e.Take(stamp(1, 50, 100), Fresh, 0, true)
	q := e.Ask()
	w := stamp(1, 2, 0)
	if got := e.Judge(w, 100, 0, q); got != Restarted {
		t.Fatalf("an answer that goes back is %d", got)
	}
	e.Take(w, Restarted, 101, false)
	if e.Fenced() {
		t.Error("a life that has not shown the new token is fenced")
	}
	if got := e.Judge(stamp(1, 60, 100), 100, 0, nil); got != Stale {
		t.Errorf("a copy from the earlier life is %d", got)
	}
	if got := e.Judge(stamp(1, 3, 101), 100, 0, nil); got != Fresh {
		t.Errorf("a report with the new token is %d", got)
	}
	e.Take(stamp(1, 3, 101), Fresh, 0, true)
	if !e.Fenced() || e.Incarnations() != 1 {
		t.Errorf("fenced %v, lives %d", e.Fenced(), e.Incarnations())
	}
}

// TestDeafEar: a worker that does not show the token it was told, though it sent its next report, did not get the answer.
func TestDeafEar(t *testing.T) {
	e := &Tracker{}
	e.Take(stamp(1, 1, 100), Fresh, 0, true)
	e.Tell(101)
	e.Take(stamp(1, 2, 100), Fresh, 0, true)
	if !e.OneWay() {
		t.Error("an answer that did not arrive is not noticed")
	}
	e.Tell(101)
	if met := e.Take(stamp(1, 3, 101), Fresh, 0, true); !met || e.OneWay() {
		t.Errorf("an answer that arrived: met %v, deaf %v", met, e.OneWay())
	}
	e.Tell(101) // it has it: nothing is tried
	if met := e.Take(stamp(1, 4, 101), Fresh, 0, true); met || e.OneWay() {
		t.Errorf("nothing was tried: met %v, deaf %v", met, e.OneWay())
	}
}
