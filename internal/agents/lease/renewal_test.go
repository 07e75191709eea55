package lease

import (
	"bytes"
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// drawMilliseconds draws a time between two.
func drawMilliseconds(rt *rapid.T, name string, from, to time.Duration) time.Duration {
	return from + time.Duration(rapid.IntRange(0, int((to-from)/time.Millisecond)).Draw(rt, name))*time.Millisecond
}

// TestLeaseNeverExpiresEarly holds the proof against a plain model: controllers that renew a lease at drawn times,
// end and begin anew, and are asked at drawn times, whose reports are under way for a while. Never does the lease count
// as expired before it is.
func TestLeaseNeverExpiresEarly(t *testing.T) {
	const lease, retention = 24 * time.Second, 48 * time.Second
	const others = 2
	proven := 0
	rapid.Check(t, func(rt *rapid.T) {
		last := time.Duration(0) // when the lease was last renewed by anybody
		var proof ExpiryProof
		// The suspicion is known to all by then, and nobody renews any more.
		from := drawMilliseconds(rt, "asked", 60*time.Second, 100*time.Second)
		for i := range others {
			table, renewed := drawTable(rt, from)
			last = max(last, renewed)
			table.Forget(from - retention)
			body := table.Report([]string{"m"}, []string{"other"}, from, retention, 1<<20).Append(nil)
			report, err := ReadReport(body)
			if err != nil {
				rt.Fatal(err)
			}
			if rapid.IntRange(0, 9).Draw(rt, "received") > 0 {
				at := drawMilliseconds(rt, "received at", from, from+time.Second)
				proof.Record(i, others, report.LastRenewal("m", at, retention))
			}
		}
		now := drawMilliseconds(rt, "now", from+time.Second, from+time.Minute)
		counts, complete := proof.CountsFrom(others, 0)
		if complete && Expired(counts, lease, now) {
			proven++
			if now <= last+lease {
				rt.Errorf("the lease counts as expired at %v, it was renewed at %v", now, last)
			}
		}
	})
	if proven == 0 {
		t.Error("no lease was ever proven to have expired")
	}
}

// drawTable has an earlier process of a controller and its present one renew the lease of m until a time, and returns
// the table of the present one and when the lease was last renewed by either.
func drawTable(rt *rapid.T, until time.Duration) (table *RenewalTable, last time.Duration) {
	began := drawMilliseconds(rt, "began", 0, 60*time.Second)
	for _, process := range []struct{ start, end time.Duration }{{0, began}, {began, until}} {
		table = NewRenewalTable(process.start)
		at := process.start
		for range rapid.IntRange(0, 3).Draw(rt, "renewals") {
			if at < process.end {
				at = drawMilliseconds(rt, "renewed", at, process.end)
				table.Renewed("m", at)
				last = max(last, at)
			}
		}
	}
	return table, last
}

// largeZone is a zone of more machines than go into a frame, and a table of their renewals.
type largeZone struct {
	table            *RenewalTable
	suspects, others []string
}

// The time at which the zone is reported, and for how long renewals are retained.
const zoneNow, zoneRetention = time.Hour, 48 * time.Second

func drawLargeZone(rt *rapid.T) (zone largeZone) {
	const machines = 10_000
	began := time.Duration(rapid.IntRange(0, 3600).Draw(rt, "began")) * time.Second
	zone.table = NewRenewalTable(began)
	suspectOf := rapid.IntRange(2, 50).Draw(rt, "one in so many is suspect")
	absentOf := rapid.IntRange(2, 50).Draw(rt, "one in so many was never renewed here")
	step := time.Duration(rapid.IntRange(1, 97).Draw(rt, "step")) * time.Millisecond
	oldest := max(step, zoneNow-began)
	for i := range machines {
		name := fmt.Sprintf("host-of-a-zone-%05d", i*7919%machines)
		if i%suspectOf == 0 {
			zone.suspects = append(zone.suspects, name)
		} else {
			zone.others = append(zone.others, name)
		}
		if i%absentOf != 0 {
			zone.table.Renewed(name, zoneNow-time.Duration(i)*step%oldest)
		}
	}
	return zone
}

// TestReportFits: a report of more machines than go into a frame has only so many bytes. Of none does it say that its
// lease was renewed earlier than the whole report does, and of the suspect ones that fit it says the same.
func TestReportFits(t *testing.T) {
	const maxBytes, fitSurely = 79 << 10, 3000
	rapid.Check(t, func(rt *rapid.T) {
		zone := drawLargeZone(rt)
		whole := zone.table.Report(zone.suspects, zone.others, zoneNow, zoneRetention, 1<<30)
		fits := zone.table.Report(zone.suspects, zone.others, zoneNow, zoneRetention, maxBytes)
		body := fits.Append(nil)
		if len(body) > maxBytes || len(body) < maxBytes*9/10 {
			rt.Fatalf("%d bytes of at most %d", len(body), maxBytes)
		}
		read, err := ReadReport(body)
		if err != nil {
			rt.Fatal(err)
		}
		for _, name := range slices.Concat(zone.suspects, zone.others) {
			checkFitting(rt, name, whole, fits, read)
		}
		for _, name := range zone.suspects {
			if len(zone.suspects) <= fitSurely && lastInZone(fits, name) != lastInZone(whole, name) {
				rt.Fatalf("%s is suspect, and not reported exactly", name)
			}
		}
		if len(fits.RenewalAges) == len(zone.suspects)+len(zone.others) {
			rt.Fatal("all fit")
		}
	})
}

func lastInZone(r RenewalReport, machine string) Time {
	return r.LastRenewal(machine, zoneNow, zoneRetention)
}

// checkFitting checks what a report that fits says of a machine, and what is read of it.
func checkFitting(rt *rapid.T, name string, whole, fits, read RenewalReport) {
	truncated, exact := lastInZone(fits, name), lastInZone(whole, name)
	if truncated < exact {
		rt.Fatalf("%s was renewed at %v, the report that fits has %v", name, exact, truncated)
	}
	if d := lastInZone(read, name) - truncated; d < 0 || d > time.Millisecond {
		rt.Fatalf("%s is read as %v later", name, d)
	}
	if _, listed := fits.RenewalAges[name]; listed && truncated != exact {
		rt.Fatalf("%s is listed with %v instead of %v", name, truncated, exact)
	}
}

// TestReportIsTheSame: a report is the same bytes each time.
func TestReportIsTheSame(t *testing.T) {
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

// TestProofNeedsAllOthers: all have to report, each counts once for a suspicion, and a malformed report is refused.
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
			t.Errorf("%v is taken for a report", b)
		}
	}
}
