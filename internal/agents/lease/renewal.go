// Package lease records when controllers renewed agents' leases, and determines when a lease has certainly expired. It
// performs no I/O.
//
// Only a controller's response renews an agent's lease, and the lease runs from the time at which the agent sent the
// heartbeat, which precedes its receipt by any controller. Each controller keeps a table of the renewals that it
// granted. When a leader has marked a machine suspect in the log, it queries the other controllers. A controller that
// has applied that log entry no longer renews the machine's lease, and reports when it last did. Once all have
// reported, the lease ends at most one lease duration after the latest of these times. If a controller cannot be
// reached, the lease ends only after the time for which a controller may renew leases without access to the log, plus
// one lease duration.
package lease

import (
	"cmp"
	"encoding/binary"
	"errors"
	"maps"
	"math/bits"
	"slices"
	"time"

	"fieldhill/internal/codec"
)

// Time is monotonic time since the process started.
type Time = time.Duration

// maxEntries bounds the number of machines in a table. It exceeds the size of a fleet. A table that would exceed it is
// cleared, as if the process had restarted.
const maxEntries = 20_000

// maxAgeMilliseconds bounds decoded ages to one year.
const maxAgeMilliseconds = 365 * 24 * 3600 * 1000

// Allowance of Expired on top of the lease duration: a fraction of that duration for clock drift, and a fixed margin.
const (
	driftDivisor = 500 // 0.2 %: four times the maximum clock drift of 0.05 %
	expiryMargin = time.Second
)

// RenewalTable records when this process last renewed each machine's lease.
type RenewalTable struct {
	knownSince Time // earlier renewals are unknown: any lease may have been renewed until then
	renewedAt  map[string]Time
}

// NewRenewalTable returns an empty table for a process that starts now. Renewals by an earlier process are unknown.
func NewRenewalTable(now Time) *RenewalTable {
	return &RenewalTable{knownSince: now, renewedAt: map[string]Time{}}
}

// RecordRenewal records that a machine's lease is renewed now.
func (r *RenewalTable) RecordRenewal(machine string, now Time) {
	if _, known := r.renewedAt[machine]; !known && len(r.renewedAt) >= maxEntries {
		r.knownSince = now
		clear(r.renewedAt)
	}
	r.renewedAt[machine] = now
}

// LastRenewal returns the latest time at which this controller may have renewed a machine's lease. Renewals before
// retainedSince may have been dropped from the table.
func (r *RenewalTable) LastRenewal(machine string, retainedSince Time) Time {
	return max(r.knownSince, r.renewedAt[machine], retainedSince)
}

// Forget drops renewals before the given time.
func (r *RenewalTable) Forget(before Time) {
	for m, t := range r.renewedAt {
		if t < before {
			delete(r.renewedAt, m)
		}
	}
}

// RenewalReport is a controller's report on its renewals for the machines of a zone.
type RenewalReport struct {
	// Age is the age of the controller's table; earlier renewals are unknown.
	Age Time
	// RenewalAges is the age of the last renewal by machine. A machine is missing if its last renewal predates the
	// table or the retention period.
	RenewalAges map[string]Time
}

// reportEntry is a machine that is a candidate for a report of limited size.
type reportEntry struct {
	machine string
	age     Time
	suspect bool
	renewed bool // this controller has a record of renewing the lease
}

// Report returns the report on a zone's machines as of now, encoded in at most maxBytes. Exact ages matter only for
// suspect machines, so these take precedence, followed by the other machines in order of their last renewal, most
// recent first. retention is how long the controller keeps records of renewals.
func (r *RenewalTable) Report(suspects, others []string, now, retention Time, maxBytes int) RenewalReport {
	age := now - r.knownSince
	entries := make([]reportEntry, 0, len(suspects)+len(others))
	for _, m := range suspects {
		t, renewed := r.renewedAt[m]
		entry := reportEntry{machine: m, age: min(age, retention), suspect: true, renewed: renewed}
		if renewed {
			entry.age = now - t
		}
		entries = append(entries, entry)
	}
	for _, m := range others {
		if t, renewed := r.renewedAt[m]; renewed {
			entries = append(entries, reportEntry{machine: m, age: now - t, renewed: true})
		}
	}
	report := RenewalReport{Age: age, RenewalAges: map[string]Time{}}
	size := 2 * binary.MaxVarintLen64
	for _, entry := range entries {
		if entry.renewed {
			report.RenewalAges[entry.machine] = entry.age
			size += entry.size()
		}
	}
	if size > maxBytes {
		report.truncate(entries, maxBytes)
	}
	return report
}

// size returns the encoded size of an entry in bytes.
func (e *reportEntry) size() int {
	return varintLen(uint64(len(e.machine))) + len(e.machine) + varintLen(uint64(e.age/time.Millisecond))
}

// varintLen returns the length of a number's varint encoding in bytes.
func varintLen(v uint64) int {
	const payloadBits = 7
	return (bits.Len64(v|1) + payloadBits - 1) / payloadBits
}

// truncate refills a report, in order of precedence, with the machines that fit into maxBytes. A reader assumes that a
// missing machine was renewed no later than the start of the table, so Age is lowered to that of the most recently
// renewed machine that is left out. This errs only towards later renewals. Suspect machines that this controller never
// renewed are listed explicitly, so that the lowered Age does not apply to them.
func (r *RenewalReport) truncate(entries []reportEntry, maxBytes int) {
	rank := func(e reportEntry) int {
		switch {
		case e.suspect && e.renewed:
			return 0
		case e.suspect:
			return 1
		}
		return 2
	}
	slices.SortFunc(entries, func(a, b reportEntry) int {
		return cmp.Or(cmp.Compare(rank(a), rank(b)), cmp.Compare(a.age, b.age), cmp.Compare(a.machine, b.machine))
	})
	clear(r.RenewalAges)
	size := 2 * binary.MaxVarintLen64
	for _, e := range entries {
		if size += e.size(); size <= maxBytes {
			r.RenewalAges[e.machine] = e.age
		} else if e.renewed {
			r.Age = min(r.Age, e.age)
		}
	}
}

// LastRenewal returns the latest time at which the reporting controller may have renewed a machine's lease, for a
// report received at receivedAt. retention is how long that controller keeps records of renewals.
func (r RenewalReport) LastRenewal(machine string, receivedAt, retention Time) Time {
	if age, ok := r.RenewalAges[machine]; ok {
		return receivedAt - age
	}
	return receivedAt - min(r.Age, retention) // upper bound for a machine that is not listed
}

// ErrMalformed is returned for a report that cannot be decoded.
var ErrMalformed = errors.New("lease: malformed renewal report")

// Append appends the encoded report to b. Ages are in milliseconds, rounded down so that no renewal appears older than
// it is. Machines are sorted by name to make the encoding deterministic.
func (r RenewalReport) Append(b []byte) []byte {
	b = codec.Uint(codec.Uint(b, uint64(r.Age/time.Millisecond)), uint64(len(r.RenewalAges)))
	for _, m := range slices.Sorted(maps.Keys(r.RenewalAges)) {
		b = codec.Uint(codec.String(b, m), uint64(r.RenewalAges[m]/time.Millisecond))
	}
	return b
}

// ReadReport decodes a report. The error, if any, is ErrMalformed.
func ReadReport(b []byte) (RenewalReport, error) {
	r := codec.Reader{Data: b}
	report := RenewalReport{Age: milliseconds(r.Uint()), RenewalAges: map[string]Time{}}
	for range r.Max(maxEntries) {
		m := r.String()
		report.RenewalAges[m] = milliseconds(r.Uint())
		if r.Err != nil {
			break
		}
	}
	if !r.Done() {
		return RenewalReport{}, ErrMalformed
	}
	return report, nil
}

// milliseconds converts a decoded number of milliseconds, capped at maxAgeMilliseconds.
func milliseconds(v uint64) Time { return time.Duration(min(v, maxAgeMilliseconds)) * time.Millisecond }

// ExpiryProof collects the other controllers' last renewals of a suspect machine's lease. The zero value contains no
// reports.
type ExpiryProof struct {
	lastRenewals []Time // indexed by controller; -1: has not reported
}

// Record stores the time of the last renewal by a controller that has applied the log entry marking the machine as
// suspect. controller is its index among the other controllers, whose number is others. Only the first report of each
// controller counts.
func (p *ExpiryProof) Record(controller, others int, last Time) {
	if len(p.lastRenewals) != others {
		p.lastRenewals = make([]Time, others)
		for i := range p.lastRenewals {
			p.lastRenewals[i] = -1
		}
	}
	if controller >= 0 && controller < others && p.lastRenewals[controller] < 0 {
		p.lastRenewals[controller] = max(last, 0)
	}
}

// LeaseStart returns the latest possible start of the lease, given this controller's own last renewal. Until all other
// controllers have reported, complete is false and start is 0.
func (p *ExpiryProof) LeaseStart(others int, ownRenewal Time) (start Time, complete bool) {
	if len(p.lastRenewals) != others {
		return 0, others == 0
	}
	start = ownRenewal
	for _, t := range p.lastRenewals {
		if t < 0 {
			return 0, false
		}
		start = max(start, t)
	}
	return start, true
}

// AwaitsReport reports whether the controller with the given index has not reported yet.
func (p *ExpiryProof) AwaitsReport(controller, others int) bool {
	return len(p.lastRenewals) != others || p.lastRenewals[controller] < 0
}

// Expired reports whether a lease that started at the given time has certainly expired, allowing for clock drift.
func Expired(start, duration, now Time) bool {
	return now-start > duration+duration/driftDivisor+expiryMargin
}
