package candidacy

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"fieldhill/internal/testing/virtualtime"
)

// TestMain draws the same cases every time.
func TestMain(m *testing.M) { virtualtime.Drawn(m, 200) }

const ms = time.Millisecond

// stood is when a fresh process that sees no leader from its start on stands, asked as the storage asks.
func stood(t *testing.T, w *Watch, until Time, heard func(now Time)) Time {
	for now := Time(0); now < until; {
		if heard != nil {
			heard(now)
		}
		w.Leads(false, now)
		ok, again := w.May(now)
		if ok {
			return now
		}
		if again <= 0 {
			t.Fatalf("at %v it is to ask again in %v", now, again)
		}
		now += again
	}
	return until
}

// endsOwn is a watch of a process that has ended its earlier one's lead.
func endsOwn(others int) *Watch {
	w := New(Usual, others, 0)
	w.Leads(true, 0)
	return w
}

// TestFreshStandsBack: how long a process that has just begun leaves the lead to others, by what it knows of them.
func TestFreshStandsBack(t *testing.T) {
	for _, c := range []struct {
		name   string
		others int
		heard  func(w *Watch, now Time)
		from   Time
		to     Time
	}{
		{"alone", 0, nil, 0, 0},
		{"all are as cold", 2, func(w *Watch, now Time) {
			w.Heard(0, Word{Met: 1}, now)
			w.Heard(1, Word{Met: 1}, now)
		}, 0, 0},
		{"nobody is heard of", 2, nil, 800 * ms, 1000 * ms},
		{"a warm one is there and does nothing", 2, func(w *Watch, now Time) {
			w.Heard(0, Word{Warm: true, Met: 1}, now)
			w.Heard(1, Word{Met: 1}, now)
		}, 1500 * ms, 1700 * ms},
		{"the same after three ends lately", 2, func(w *Watch, now Time) {
			w.Heard(0, Word{Warm: true, Met: 4}, now)
			w.Heard(1, Word{Met: 1}, now)
		}, 6000 * ms, 6200 * ms},
		{"a warm one is heard of once and then no more", 1, func(w *Watch, now Time) {
			if now == 0 {
				w.Heard(0, Word{Warm: true, Met: 1}, now)
			}
		}, 1500 * ms, 1700 * ms},
		{"a warm one is lost", 1, func(w *Watch, now Time) {
			if now == 0 {
				w.Heard(0, Word{Warm: true, Met: 3}, now)
			} else {
				w.Lost(0)
			}
		}, 800 * ms, 1000 * ms},
	} {
		t.Run(c.name, func(t *testing.T) {
			w := endsOwn(c.others)
			at := stood(t, w, time.Minute, func(now Time) {
				if c.heard != nil {
					c.heard(w, now)
				}
			})
			if at < c.from || at > c.to {
				t.Errorf("it stands after %v, should be from %v to %v", at, c.from, c.to)
			}
		})
	}
}

// TestNoLeaderToBeginWith: a process that finds no leader at all does not wait for those that it can't hear of, since a warm one
// would have stood before it began; but it leaves the lead to one that it hears of.
func TestNoLeaderToBeginWith(t *testing.T) {
	if at := stood(t, New(Usual, 2, 0), time.Minute, nil); at != 0 {
		t.Errorf("it stands after %v", at)
	}
	w := New(Usual, 2, 0)
	if at := stood(t, w, time.Minute, func(now Time) { w.Heard(0, Word{Warm: true, Met: 1}, now) }); at < Usual.Behind {
		t.Errorf("beside a warm one it stands after %v", at)
	}
}

// TestNotFreshStands: a process that has run for a while stands at once, and none stands while a leader is known.
func TestNotFreshStands(t *testing.T) {
	w := New(Usual, 1, 0)
	now := Usual.Fresh
	w.Heard(0, Word{Warm: true, Met: 1}, now)
	w.Leads(true, now)
	if ok, _ := w.May(now); ok {
		t.Error("it stands beside a leader")
	}
	w.Leads(false, now)
	if ok, _ := w.May(now); !ok {
		t.Error("it stands back though it is not fresh")
	}
}

// TestMetLately: processes are counted once each, and for as long as they say; the one that asks is never forgotten.
func TestMetLately(t *testing.T) {
	w := New(Usual, 1, 0)
	for i := range 40 {
		for range 3 {
			if got, want := w.Met(0, uint64(i), Time(i)*time.Second), min(i+1, mostMet); got != want {
				t.Fatalf("%d processes met, should be %d", got, want)
			}
		}
	}
	if got := w.Met(0, 39, time.Hour); got != 1 {
		t.Errorf("%d processes met within the last minutes, should be 1", got)
	}
}

// TestSomebodyStands: whatever is heard, a node that sees no leader stands before long.
func TestSomebodyStands(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		w := endsOwn(3)
		most := Usual.Most + Usual.Unheard
		at := stood(t, w, time.Minute, func(now Time) {
			for i := range 3 {
				switch rapid.IntRange(0, 3).Draw(r, "word") {
				case 0:
					w.Heard(i, Word{Warm: rapid.Bool().Draw(r, "warm"), Met: rapid.IntRange(0, mostMet).Draw(r, "met")}, now)
				case 1:
					w.Lost(i)
				}
			}
		})
		if at > most {
			r.Fatalf("nobody stood for %v", at)
		}
	})
}

func TestWordsThereAndBack(t *testing.T) {
	for _, w := range []Word{{}, {true, 3}, {false, mostMet}} {
		if got, err := ReadWord(w.Append(nil)); err != nil || got != w {
			t.Errorf("%+v came back as %+v, %v", w, got, err)
		}
	}
	if node, life, err := ReadAsk(AppendAsk(nil, "n1", 1<<60)); err != nil || node != "n1" || life != 1<<60 {
		t.Error(node, life, err)
	}
	whole := AppendAsk(nil, "n1", 7)
	for i := range whole {
		if _, _, err := ReadAsk(whole[:i]); err == nil {
			t.Errorf("an ask cut after %d bytes was read", i)
		}
	}
	for _, b := range [][]byte{nil, {9}, {wordVersion}, {wordVersion, 1}, {wordVersion, 1, 200, 1}, append(Word{}.Append(nil), 0)} {
		if w, err := ReadWord(b); err == nil {
			t.Errorf("%v was read as %+v", b, w)
		}
	}
}

// TestTimeline: parts count from the first one that is known, each once.
func TestTimeline(t *testing.T) {
	var line Timeline
	if _, came := line.After(Leads); came || line.Whole() {
		t.Error("a takeover that did not begin has parts")
	}
	for p := Elected; p < Parts; p++ { // the first node of all notices nothing
		if !line.Mark(p, Time(p)*time.Second) || line.Mark(p, time.Hour) {
			t.Errorf("%v is not marked once", p)
		}
	}
	if after, came := line.After(Leads); !came || after != 2*time.Second || line.Whole() {
		t.Errorf("it led after %v (%v)", after, came)
	}
	if line.Mark(Noticed, 0); !line.Whole() {
		t.Error("all parts have come")
	}
	if after, _ := line.After(Leads); after != 3*time.Second {
		t.Errorf("it led %v after it was noticed", after)
	}
	for p := range Parts {
		if p.String() == "?" || p.String() == "" {
			t.Errorf("part %d has no name", p)
		}
	}
}
