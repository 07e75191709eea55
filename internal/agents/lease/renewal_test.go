package lease

import (
	"bytes"
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// TestLeaseNeverExpiresEarly holds the proof against a plain world: controllers that renew a lease at drawn times,
// end and begin anew, and are asked at drawn times, whose word is under way for a while. Never is the lease taken for
// over before it is.
func TestLeaseNeverExpiresEarly(t *testing.T) {
	const lease, retention = 24 * time.Second, 48 * time.Second
	proven := 0
	rapid.Check(t, func(rt *rapid.T) {
		const others = 2
		at := func(name string, from, to time.Duration) time.Duration {
			return from + time.Duration(
				rapid.IntRange(0, int((to-from)/time.Millisecond)).Draw(rt, name),
			)*time.Millisecond
		}
		last := time.Duration(0) // when the lease was last renewed by anybody
		var proof ExpiryProof
		// the suspicion is known to all by then, and nobody renews any more
		from := at("asked", 60*time.Second, 100*time.Second)
		for i := range others {
			began := at("began", 0, 60*time.Second)
			processStarts := []time.Duration{0, began} // an earlier process, and this one
			var table *RenewalTable
			for k, processTime := range processStarts {
				table = NewRenewalTable(processTime)
				end := from
				if k == 0 {
					end = began
				}
				for range rapid.IntRange(0, 3).Draw(rt, "renewals") {
					if processTime < end {
						processTime = at("renewed", processTime, end)
						table.Renewed("m", processTime)
						last = max(last, processTime)
					}
				}
			}
			table.Forget(from - retention)
			report, err := ReadReport(
				table.Report([]string{"m"}, []string{"other"}, from, retention, 1<<20).Append(nil),
			)
			if err != nil {
				rt.Fatal(err)
			}
			if rapid.IntRange(0, 9).Draw(rt, "heard") > 0 {
				proof.Record(i, others, report.LastRenewal("m", at("came", from, from+time.Second), retention))
			}
		}
		now := at("now", from+time.Second, from+time.Minute)
		counts, complete := proof.CountsFrom(others, 0)
		if complete && Expired(counts, lease, now) {
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

// TestWordFits: a word of more machines than go into a frame has only so many bytes. Of none does it say that its
// lease was renewed earlier than the whole word does, and of the suspect ones that fit it says the same.
func TestWordFits(t *testing.T) {
	const most, kept, now, names = 79 << 10, 48 * time.Second, time.Hour, 10_000
	rapid.Check(t, func(rt *rapid.T) {
		b := NewRenewalTable(time.Duration(rapid.IntRange(0, 3600).Draw(rt, "began")) * time.Second)
		suspectOf := rapid.IntRange(2, 50).Draw(rt, "one in so many is suspect")
		absentOf := rapid.IntRange(2, 50).Draw(rt, "one in so many was never renewed here")
		step := time.Duration(rapid.IntRange(1, 97).Draw(rt, "step")) * time.Millisecond
		oldest := max(step, now-b.knownSince)
		var all, suspects, others []string
		for i := range names {
			name := fmt.Sprintf("host-of-a-zone-%05d", i*7919%names)
			if all = append(all, name); i%suspectOf == 0 {
				suspects = append(suspects, name)
			} else {
				others = append(others, name)
			}
			if i%absentOf != 0 {
				b.Renewed(name, now-time.Duration(i)*step%oldest)
			}
		}
		whole := b.Report(suspects, others, now, kept, 1<<30)
		fits := b.Report(suspects, others, now, kept, most)
		body := fits.Append(nil)
		if len(body) > most || len(body) < most*9/10 {
			rt.Fatalf("%d bytes of at most %d", len(body), most)
		}
		read, err := ReadReport(body)
		if err != nil {
			rt.Fatal(err)
		}
		left := 0
		for _, name := range all {
			cut, exact := fits.LastRenewal(name, now, kept), whole.LastRenewal(name, now, kept)
			if cut < exact {
				rt.Fatalf("%s was renewed at %v, the word that fits has %v", name, exact, cut)
			}
			if d := read.LastRenewal(name, now, kept) - cut; d < 0 || d > time.Millisecond {
				rt.Fatalf("%s is read as %v later", name, d)
			}
			if _, listed := fits.RenewalAges[name]; listed && cut != exact {
				rt.Fatalf("%s is listed with %v instead of %v", name, cut, exact)
			} else if !listed {
				left++
			}
		}
		const fitSurely = 3000
		for _, name := range suspects {
			if len(suspects) <= fitSurely && fits.LastRenewal(name, now, kept) != whole.LastRenewal(name, now, kept) {
				rt.Fatalf("%s is suspect, and not told exactly", name)
			}
		}
		if left == 0 {
			rt.Fatal("all fit")
		}
	})
}

// TestWordIsTheSame: a word is the same bytes each time.
func TestWordIsTheSame(t *testing.T) {
	b := NewRenewalTable(0)
	names := []string{"c", "a", "e", "b", "d"}
	for i, name := range names {
		b.Renewed(name, time.Duration(i)*time.Second)
	}
	want := []byte("\x88\x27\x05\x01a\xa0\x1f\x01b\xd0\x0f\x01c\x88\x27\x01d\xe8\x07\x01e\xb8\x17")
	for range 20 {
		if got := b.Report(nil, names, 5*time.Second, time.Minute, 100).Append(nil); !bytes.Equal(got, want) {
			t.Fatalf("%q instead of %q", got, want)
		}
	}
}

// TestProofNeedsAllOthers: all have to say so, each counts once for a suspicion, and a malformed word is refused.
func TestProofNeedsAllOthers(t *testing.T) {
	var proof ExpiryProof
	proof.Record(0, 2, 5*time.Second)
	if _, complete := proof.CountsFrom(2, 0); complete || proof.IsMissing(0, 2) || !proof.IsMissing(1, 2) {
		t.Error("one of two is enough")
	}
	proof.Record(1, 2, 9*time.Second)
	proof.Record(1, 2, time.Second)
	if from, complete := proof.CountsFrom(2, 7*time.Second); !complete || from != 9*time.Second {
		t.Errorf("counts from %v, all %v", from, complete)
	}
	if from, complete := (&ExpiryProof{}).CountsFrom(0, 7*time.Second); !complete || from != 7*time.Second {
		t.Errorf("alone: counts from %v, all %v", from, complete)
	}
	for _, b := range [][]byte{nil, {5}, {5, 2, 1, 'm', 3}, {5, 0, 7}} {
		if _, err := ReadReport(b); err == nil {
			t.Errorf("%v is taken for a word", b)
		}
	}
}
