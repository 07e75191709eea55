package hearing

import "testing"

func word(session, seq, token uint64) Word { return Word{Number{session, seq}, token} }

// TestJudge: what a message proves, by who asked for it and what was heard before.
func TestJudge(t *testing.T) {
	const term = 100
	heard := func(words ...Word) *Ear {
		e := &Ear{}
		for _, w := range words {
			e.Take(w, New, 0, true)
		}
		return e
	}
	for _, c := range []struct {
		name  string
		e     *Ear
		w     Word
		least uint64
		asked bool
		want  Sense
	}{
		{"the first report of a term may be of any time", heard(), word(3, 7, 99), 0, false, Unproven},
		{"unless it has a token of the term", heard(), word(3, 7, 100), 0, false, New},
		{"or was asked for", heard(), word(3, 7, 0), 0, true, New},
		{"a worker that the log knows in a later session began anew", heard(), word(1, 2, 0), 5, true, Reborn},
		{"which a report without a token of the term does not prove", heard(), word(1, 2, 0), 5, false, Unproven},
		{"a newer one", heard(word(1, 4, 100)), word(1, 5, 100), 0, false, New},
		{"the same again", heard(word(1, 4, 100)), word(1, 4, 100), 0, false, Old},
		{"an older session with a larger number", heard(word(2, 4, 100)), word(1, 90, 100), 0, false, Old},
		{"a token that goes back", heard(word(1, 4, 101)), word(1, 5, 100), 0, false, Old},
		{"an answer whose numbers go back", heard(word(1, 4, 101)), word(1, 2, 0), 0, true, Reborn},
		{"an answer whose token alone goes back", heard(word(1, 4, 101)), word(2, 5, 0), 0, true, Reborn},
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
	e := &Ear{}
	e.Take(word(1, 10, 100), New, 0, true)
	q := e.Ask()
	e.Take(word(1, 12, 100), New, 0, true)
	if got := e.Judge(word(1, 11, 100), 100, 0, q); got != Old {
		t.Errorf("an answer that was overtaken is %d", got)
	}
}

// TestLives: after a worker began anew, copies from its earlier life have the higher numbers, and don't count; reports do once
// they show a token that was given out since.
func TestLives(t *testing.T) {
	e := &Ear{}
	e.Take(word(1, 50, 100), New, 0, true)
	q := e.Ask()
	w := word(1, 2, 0)
	if got := e.Judge(w, 100, 0, q); got != Reborn {
		t.Fatalf("an answer that goes back is %d", got)
	}
	e.Take(w, Reborn, 101, false)
	if e.Fenced() {
		t.Error("a life that has not shown the new token is fenced")
	}
	if got := e.Judge(word(1, 60, 100), 100, 0, nil); got != Old {
		t.Errorf("a copy from the earlier life is %d", got)
	}
	if got := e.Judge(word(1, 3, 101), 100, 0, nil); got != New {
		t.Errorf("a report with the new token is %d", got)
	}
	e.Take(word(1, 3, 101), New, 0, true)
	if !e.Fenced() || e.Lives() != 1 {
		t.Errorf("fenced %v, lives %d", e.Fenced(), e.Lives())
	}
}

// TestDeafEar: a worker that does not show the token it was told, though it sent its next report, did not get the answer.
func TestDeafEar(t *testing.T) {
	e := &Ear{}
	e.Take(word(1, 1, 100), New, 0, true)
	e.Tell(101)
	e.Take(word(1, 2, 100), New, 0, true)
	if !e.Deaf() {
		t.Error("an answer that did not arrive is not noticed")
	}
	e.Tell(101)
	if met := e.Take(word(1, 3, 101), New, 0, true); !met || e.Deaf() {
		t.Errorf("an answer that arrived: met %v, deaf %v", met, e.Deaf())
	}
	e.Tell(101) // it has it: nothing is tried
	if met := e.Take(word(1, 4, 101), New, 0, true); met || e.Deaf() {
		t.Errorf("nothing was tried: met %v, deaf %v", met, e.Deaf())
	}
}
