package renewal

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// TestLeaseOver holds the proof against a plain world: controllers that renew a lease at drawn times, end and begin anew, and are asked at
// drawn times, whose word is under way for a while. Never is the lease taken for over before it is.
func TestLeaseOver(t *testing.T) {
	const lease, kept = 24 * time.Second, 48 * time.Second
	proven := 0
	rapid.Check(t, func(rt *rapid.T) {
		const others = 2
		at := func(name string, from, to time.Duration) time.Duration {
			return from + time.Duration(rapid.IntRange(0, int((to-from)/time.Millisecond)).Draw(rt, name))*time.Millisecond
		}
		last := time.Duration(0) // when the lease was last renewed by anybody
		var proof Proof
		from := at("asked", 60*time.Second, 100*time.Second) // the suspicion is known to all by then, and nobody renews any more
		for i := range others {
			began := at("began", 0, 60*time.Second)
			lives := []time.Duration{0, began} // an earlier process, and this one
			var b *Book
			for k, life := range lives {
				b = NewBook(life)
				end := from
				if k == 0 {
					end = began
				}
				for range rapid.IntRange(0, 3).Draw(rt, "renewals") {
					if life < end {
						life = at("renewed", life, end)
						b.Renewed("m", life)
						last = max(last, life)
					}
				}
			}
			b.Forget(from - kept)
			w, err := Read(b.Word([]string{"m", "other"}, from).Append(nil))
			if err != nil {
				rt.Fatal(err)
			}
			if rapid.IntRange(0, 9).Draw(rt, "heard") > 0 {
				proof.Heard(i, others, w.Last("m", at("came", from, from+time.Second), kept))
			}
		}
		now := at("now", from+time.Second, from+time.Minute)
		counts, all := proof.From(others, 0)
		if all && Over(counts, lease, now) {
			proven++
			if now <= last+lease {
				rt.Errorf("the lease is taken for over at %v, it was renewed at %v", now, last)
			}
		}
	})
	if proven == 0 {
		t.Error("no lease was ever proven over")
	}
}

// TestWordOfOthers: all have to say so, each counts once for a suspicion, and a malformed word is refused.
func TestWordOfOthers(t *testing.T) {
	var p Proof
	p.Heard(0, 2, 5*time.Second)
	if _, all := p.From(2, 0); all || p.Missing(0, 2) || !p.Missing(1, 2) {
		t.Error("one of two is enough")
	}
	p.Heard(1, 2, 9*time.Second)
	p.Heard(1, 2, time.Second)
	if from, all := p.From(2, 7*time.Second); !all || from != 9*time.Second {
		t.Errorf("counts from %v, all %v", from, all)
	}
	if from, all := (&Proof{}).From(0, 7*time.Second); !all || from != 7*time.Second {
		t.Errorf("alone: counts from %v, all %v", from, all)
	}
	for _, b := range [][]byte{nil, {5}, {5, 2, 1, 'm', 3}, {5, 0, 7}} {
		if _, err := Read(b); err == nil {
			t.Errorf("%v is taken for a word", b)
		}
	}
}
