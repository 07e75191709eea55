package lease

import (
	"bytes"
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// drawDuration draws a whole number of milliseconds between two durations.
func drawDuration(rt *rapid.T, name string, from, to time.Duration) time.Duration {
	return from + time.Duration(rapid.IntRange(0, int((to-from)/time.Millisecond)).Draw(rt, name))*time.Millisecond
}

// TestLeaseNeverExpiresEarly checks that a lease is never considered expired too early. Controllers renew the lease and
// restart at random times, they are queried at a random time, and their reports arrive late or not at all.
func TestLeaseNeverExpiresEarly(t *testing.T) {
	const lease, retention = 24 * time.Second, 48 * time.Second
	const others = 2
	proven := 0
	rapid.Check(t, func(rt *rapid.T) {
		last := time.Duration(0) // last renewal by any controller
		var proof ExpiryProof
		// At queriedAt all controllers have applied the log entry that marks the machine as suspect, after which none
		// of them renews the lease.
		queriedAt := drawDuration(rt, "queried at", 60*time.Second, 100*time.Second)
		for i := range others {
			table, renewed := drawTable(rt, queriedAt)
			last = max(last, renewed)
			table.Forget(queriedAt - retention)
			body := table.Report([]string{"m"}, []string{"other"}, queriedAt, retention, 1<<20).Append(nil)
			report, err := ReadReport(body)
			if err != nil {
				rt.Fatal(err)
			}
			if rapid.IntRange(0, 9).Draw(rt, "received") > 0 {
				at := drawDuration(rt, "received at", queriedAt, queriedAt+time.Second)
				proof.Record(i, others, report.LastRenewal("m", at, retention))
			}
		}
		now := drawDuration(rt, "now", queriedAt+time.Second, queriedAt+time.Minute)
		start, complete := proof.LeaseStart(others, 0)
		if complete && Expired(start, lease, now) {
			proven++
			if now <= last+lease {
				rt.Errorf("lease renewed at %v is considered expired at %v", last, now)
			}
		}
	})
	if proven == 0 {
		t.Error("no drawn case proved that the lease expired, want at least one")
	}
}

// drawTable simulates renewals of the lease of machine m by a controller that restarts once, up to the time until. It
// returns the table of the current process and the time of the last renewal by either process.
func drawTable(rt *rapid.T, until time.Duration) (table *RenewalTable, last time.Duration) {
	started := drawDuration(rt, "started", 0, 60*time.Second)
	for _, process := range []struct{ start, end time.Duration }{{0, started}, {started, until}} {
		table = NewRenewalTable(process.start)
		at := process.start
		for range rapid.IntRange(0, 3).Draw(rt, "renewals") {
			if at < process.end {
				at = drawDuration(rt, "renewed", at, process.end)
				table.RecordRenewal("m", at)
				last = max(last, at)
			}
		}
	}
	return table, last
}

// largeZone is a zone with more machines than fit into a report, with a table of their renewals.
type largeZone struct {
	table            *RenewalTable
	suspects, others []string
}

// Time of the report on a largeZone, and retention period for its renewals.
const zoneNow, zoneRetention = time.Hour, 48 * time.Second

func drawLargeZone(rt *rapid.T) (zone largeZone) {
	const machines = 10_000
	started := time.Duration(rapid.IntRange(0, 3600).Draw(rt, "started")) * time.Second
	zone.table = NewRenewalTable(started)
	suspectInterval := rapid.IntRange(2, 50).Draw(rt, "one suspect machine in")
	unrenewedInterval := rapid.IntRange(2, 50).Draw(rt, "one machine without a renewal in")
	step := time.Duration(rapid.IntRange(1, 97).Draw(rt, "step")) * time.Millisecond
	oldest := max(step, zoneNow-started)
	for i := range machines {
		name := fmt.Sprintf("host-of-a-zone-%05d", i*7919%machines)
		if i%suspectInterval == 0 {
			zone.suspects = append(zone.suspects, name)
		} else {
			zone.others = append(zone.others, name)
		}
		if i%unrenewedInterval != 0 {
			zone.table.RecordRenewal(name, zoneNow-time.Duration(i)*step%oldest)
		}
	}
	return zone
}

// TestTruncatedReportIsConservative checks reports that are limited to fewer bytes than the zone needs. Such a report
// must keep to the limit, must not give any machine an earlier last renewal than the unlimited report does, and must be
// exact for suspect machines if all of them fit.
func TestTruncatedReportIsConservative(t *testing.T) {
	const maxBytes, maxExactSuspects = 79 << 10, 3000
	rapid.Check(t, func(rt *rapid.T) {
		zone := drawLargeZone(rt)
		unlimited := zone.table.Report(zone.suspects, zone.others, zoneNow, zoneRetention, 1<<30)
		limited := zone.table.Report(zone.suspects, zone.others, zoneNow, zoneRetention, maxBytes)
		body := limited.Append(nil)
		if len(body) > maxBytes || len(body) < maxBytes*9/10 {
			rt.Fatalf("report has %d bytes, want 90 to 100 %% of %d", len(body), maxBytes)
		}
		decoded, err := ReadReport(body)
		if err != nil {
			rt.Fatal(err)
		}
		for _, name := range slices.Concat(zone.suspects, zone.others) {
			checkTruncated(rt, name, unlimited, limited, decoded)
		}
		for _, name := range zone.suspects {
			exact := lastRenewalInZone(limited, name) == lastRenewalInZone(unlimited, name)
			if len(zone.suspects) <= maxExactSuspects && !exact {
				rt.Fatalf("last renewal of suspect machine %s is not exact", name)
			}
		}
		if len(limited.RenewalAges) == len(zone.suspects)+len(zone.others) {
			rt.Fatal("truncated report lists all machines, want fewer")
		}
	})
}

func lastRenewalInZone(r RenewalReport, machine string) Time {
	return r.LastRenewal(machine, zoneNow, zoneRetention)
}

// checkTruncated compares a machine's last renewal in a truncated report with that in the unlimited report, and with
// that in the decoded truncated report.
func checkTruncated(rt *rapid.T, name string, unlimited, limited, decoded RenewalReport) {
	reported, exact := lastRenewalInZone(limited, name), lastRenewalInZone(unlimited, name)
	if reported < exact {
		rt.Fatalf("%s was renewed at %v, truncated report has %v", name, exact, reported)
	}
	if d := lastRenewalInZone(decoded, name) - reported; d < 0 || d > time.Millisecond {
		rt.Fatalf("last renewal of %s is decoded %v later, want at most 1ms", name, d)
	}
	if _, listed := limited.RenewalAges[name]; listed && reported != exact {
		rt.Fatalf("%s is listed with %v, want %v", name, reported, exact)
	}
}

// TestReportEncodingIsDeterministic checks that machines are encoded in the order of their names.
func TestReportEncodingIsDeterministic(t *testing.T) {
	table := NewRenewalTable(0)
	names := []string{"c", "a", "e", "b", "d"}
	for i, name := range names {
		table.RecordRenewal(name, time.Duration(i)*time.Second)
	}
	want := []byte("\x88\x27\x05\x01a\xa0\x1f\x01b\xd0\x0f\x01c\x88\x27\x01d\xe8\x07\x01e\xb8\x17")
	for range 20 {
		if got := table.Report(nil, names, 5*time.Second, time.Minute, 100).Append(nil); !bytes.Equal(got, want) {
			t.Fatalf("got %q, want %q", got, want)
		}
	}
}

// TestProofNeedsAllOthers checks that a proof needs a report from every other controller, that only the first report of
// each controller counts, and that malformed reports are rejected.
func TestProofNeedsAllOthers(t *testing.T) {
	var proof ExpiryProof
	proof.Record(0, 2, 5*time.Second)
	if _, complete := proof.LeaseStart(2, 0); complete || proof.AwaitsReport(0, 2) || !proof.AwaitsReport(1, 2) {
		t.Error("after one of two reports, the proof is complete or does not await exactly the other report")
	}
	proof.Record(1, 2, 9*time.Second)
	proof.Record(1, 2, time.Second)
	if from, complete := proof.LeaseStart(2, 7*time.Second); !complete || from != 9*time.Second {
		t.Errorf("got start %v, complete %v; want 9s, true", from, complete)
	}
	if from, complete := (&ExpiryProof{}).LeaseStart(0, 7*time.Second); !complete || from != 7*time.Second {
		t.Errorf("single controller: got start %v, complete %v; want 7s, true", from, complete)
	}
	for _, b := range [][]byte{nil, {5}, {5, 2, 1, 'm', 3}, {5, 0, 7}} {
		if _, err := ReadReport(b); err == nil {
			t.Errorf("malformed report %v is accepted", b)
		}
	}
}
