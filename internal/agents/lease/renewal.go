// Package lease records who renewed which agent's lease when, and so when an agent's lease has surely expired. It is
// pure.
//
// An agent's lease is renewed only by the answer of a controller, and counts from the sending of its heartbeat, which
// was before any controller read it. So each controller has a table of whom it answered last. A leader that has made a
// machine suspect by an entry asks the others: who has applied the entry renews that machine's lease no more, and
// reports when it last did. Once all have reported, the lease ends no later than its length after the last of these
// times. Where one of them can't be asked, only the bound that holds for any controller does: for how long it renews
// without the log, and a lease.
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

// Time is steady time since the process began.
type Time = time.Duration

// maxEntries bounds a table. A fleet is smaller; beyond it the table begins anew, as that of a new process does.
const maxEntries = 20_000

// maxAgeMilliseconds bounds the ages that are read: a year.
const maxAgeMilliseconds = 365 * 24 * 3600 * 1000

// What Expired allows for, beside the lease: a part of it for the drift of clocks, and a margin.
const (
	driftDivisor = 500
	expiryMargin = time.Second
)

// RenewalTable is when this process last renewed each machine's lease.
type RenewalTable struct {
	knownSince Time // what was before is not known: everything may have been renewed until then
	renewedAt  map[string]Time
}

// NewRenewalTable makes an empty table: the process begins, and what an earlier one did is not known.
func NewRenewalTable(now Time) *RenewalTable {
	return &RenewalTable{knownSince: now, renewedAt: map[string]Time{}}
}

// Renewed notes that a machine's lease is renewed now.
func (r *RenewalTable) Renewed(machine string, now Time) {
	if _, known := r.renewedAt[machine]; !known && len(r.renewedAt) >= maxEntries {
		r.knownSince = now
		clear(r.renewedAt)
	}
	r.renewedAt[machine] = now
}

// LastRenewal is when a machine's lease was last renewed by this controller, at the latest; retainedSince is since when
// nothing was dropped.
func (r *RenewalTable) LastRenewal(machine string, retainedSince Time) Time {
	return max(r.knownSince, r.renewedAt[machine], retainedSince)
}

// Forget drops what is older than a time.
func (r *RenewalTable) Forget(before Time) {
	for m, t := range r.renewedAt {
		if t < before {
			delete(r.renewedAt, m)
		}
	}
}

// RenewalReport is what a controller reports of a zone's machines.
type RenewalReport struct {
	// Age is since when it has a table; what was before it does not know.
	Age Time
	// RenewalAges are how long ago it last renewed each machine's lease; missing: not since its table began, or longer
	// ago than it retains.
	RenewalAges map[string]Time
}

// reportEntry is a machine in a report that may be too large.
type reportEntry struct {
	machine string
	age     Time
	suspect bool
	renewed bool // by this controller, as far as it knows
}

// Report makes what a controller reports now of the machines of a zone, in at most maxBytes. Exact ages matter for
// those that are suspect, so these come first, then those renewed last. Retention is for how long the controller
// retains what it did.
func (r *RenewalTable) Report(suspects, others []string, now, retention Time, maxBytes int) RenewalReport {
	age := now - r.knownSince
	list := make([]reportEntry, 0, len(suspects)+len(others))
	for _, m := range suspects {
		t, renewed := r.renewedAt[m]
		s := reportEntry{machine: m, age: min(age, retention), suspect: true, renewed: renewed}
		if renewed {
			s.age = now - t
		}
		list = append(list, s)
	}
	for _, m := range others {
		if t, renewed := r.renewedAt[m]; renewed {
			list = append(list, reportEntry{machine: m, age: now - t, renewed: true})
		}
	}
	report := RenewalReport{Age: age, RenewalAges: map[string]Time{}}
	size := 2 * binary.MaxVarintLen64
	for _, s := range list {
		if s.renewed {
			report.RenewalAges[s.machine] = s.age
			size += s.size()
		}
	}
	if size > maxBytes {
		report.truncate(list, maxBytes)
	}
	return report
}

// size is how many bytes a machine takes in a report.
func (s *reportEntry) size() int {
	return varintLen(uint64(len(s.machine))) + len(s.machine) + varintLen(uint64(s.age/time.Millisecond))
}

// varintLen is how many bytes a number takes.
func varintLen(v uint64) int {
	const bitsEach = 7
	return (bits.Len64(v|1) + bitsEach - 1) / bitsEach
}

// truncate fills a report anew with as many machines as go into maxBytes. Who reads it takes one that is missing for
// renewed when the table began, or longer ago, so the report then says that it began when the youngest of those left
// out was renewed: later than true, never earlier. The suspect ones that this controller never renewed are named, so
// that this does not hold for them.
func (r *RenewalReport) truncate(list []reportEntry, maxBytes int) {
	rank := func(s reportEntry) int {
		switch {
		case s.suspect && s.renewed:
			return 0
		case s.suspect:
			return 1
		}
		return 2
	}
	slices.SortFunc(list, func(a, b reportEntry) int {
		return cmp.Or(cmp.Compare(rank(a), rank(b)), cmp.Compare(a.age, b.age), cmp.Compare(a.machine, b.machine))
	})
	clear(r.RenewalAges)
	size := 2 * binary.MaxVarintLen64
	for _, s := range list {
		if size += s.size(); size <= maxBytes {
			r.RenewalAges[s.machine] = s.age
		} else if s.renewed {
			r.Age = min(r.Age, s.age)
		}
	}
}

// LastRenewal is when a machine's lease was last renewed by the controller whose report this is, at the latest, if the
// report was received at a time. Retention is for how long that controller retains what it did.
func (r RenewalReport) LastRenewal(machine string, receivedAt, retention Time) Time {
	if age, ok := r.RenewalAges[machine]; ok {
		return receivedAt - age
	}
	return receivedAt - min(r.Age, retention) // so long ago, or longer
}

// ErrMalformed says that a report can't be read.
var ErrMalformed = errors.New("lease: malformed renewal report")

// Append encodes a report: its age and each machine's, in milliseconds, rounded so that nothing seems longer ago than
// it is, by name, so that a report is always the same bytes.
func (r RenewalReport) Append(b []byte) []byte {
	b = codec.Uint(codec.Uint(b, uint64(r.Age/time.Millisecond)), uint64(len(r.RenewalAges)))
	for _, m := range slices.Sorted(maps.Keys(r.RenewalAges)) {
		b = codec.Uint(codec.String(b, m), uint64(r.RenewalAges[m]/time.Millisecond))
	}
	return b
}

// ReadReport decodes a report.
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

// milliseconds is so many milliseconds, a year at most.
func milliseconds(v uint64) Time { return time.Duration(min(v, maxAgeMilliseconds)) * time.Millisecond }

// ExpiryProof gathers what the other controllers reported of a suspect machine. The zero value has no report yet.
type ExpiryProof struct {
	lastRenewals []Time // by the other controller; -1: it has not reported
}

// Record notes that a controller, one of so many others, has applied the suspicion and renewed the lease last at a
// time.
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

// CountsFrom is from when the lease counts at the latest, given when this controller renewed it last, if all others
// have reported when they did.
func (p *ExpiryProof) CountsFrom(others int, own Time) (from Time, complete bool) {
	if len(p.lastRenewals) != others {
		return 0, others == 0
	}
	from = own
	for _, t := range p.lastRenewals {
		if t < 0 {
			return 0, false
		}
		from = max(from, t)
	}
	return from, true
}

// IsMissing tells whether a controller has not reported yet.
func (p *ExpiryProof) IsMissing(controller, others int) bool {
	return len(p.lastRenewals) != others || p.lastRenewals[controller] < 0
}

// Expired tells whether a lease that counts from a time has surely expired: clocks differ by up to a twentieth of a
// per cent, and four times that is allowed for.
func Expired(from, lease, now Time) bool {
	return now-from > lease+lease/driftDivisor+expiryMargin
}
