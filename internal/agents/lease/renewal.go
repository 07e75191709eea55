// Package renewal keeps who renewed whose lease when, and so when a worker's lease has surely run out. It is pure.
//
// A worker's lease is renewed only by the answer of a controller, and counts from the sending of its report, which was
// before any controller read it. So each controller keeps a book of whom it answered last. A leader that has made a
// machine suspect by an entry asks the others: who has applied the entry renews that machine's lease no more, and tells
// when it last did. Once all have said so, the lease ends no later than its length after the last of these times. Where
// one of them can't be asked, only the bound that holds for any node does: what it keeps without the log, and a lease.
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

// maxEntries bounds a book. A fleet is smaller; beyond it the book begins anew, as that of a new process does.
const maxEntries = 20_000

// RenewalTable is when this process last renewed each machine's lease.
type RenewalTable struct {
	knownSince Time // what was before is not known: everything may have been renewed until then
	renewedAt  map[string]Time
}

// NewRenewalTable begins a book: the process begins, and what an earlier one did is not known.
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

// LastRenewal tells when a machine's lease was last renewed by this node, at the latest; kept is since when nothing
// was dropped.
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

// RenewalReport is what a node says of a zone's machines.
type RenewalReport struct {
	Age Time // since it began; what was before it does not know
	// since it last renewed a machine's lease; missing: not since it began, or longer ago than it keeps
	RenewalAges map[string]Time
}

// reportEntry is a machine's place in a word that may be too large.
type reportEntry struct {
	machine string
	age     Time
	suspect bool
	renewed bool // by this node, as far as it knows
}

// Report makes what a node says now of the machines of a zone, in most bytes. Exact ages matter for those that are
// suspect, so these come first, then those renewed last. Kept is for how long the node keeps what it did.
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

// size is how many bytes a machine takes in a word.
func (s *reportEntry) size() int {
	return varintLen(uint64(len(s.machine))) + len(s.machine) + varintLen(uint64(s.age/time.Millisecond))
}

// varintLen is how many bytes a number takes.
func varintLen(v uint64) int {
	const bitsEach = 7
	return (bits.Len64(v|1) + bitsEach - 1) / bitsEach
}

// truncate fills a word anew with as many machines as go into most bytes. Who reads it takes one that is missing for
// renewed when the process began, or longer ago, so the word then says that it began when the youngest of those left
// out was renewed: later than true, never earlier. The suspect ones that this node never renewed are named, so that
// this does not hold for them.
func (w *RenewalReport) truncate(list []reportEntry, maxBytes int) {
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
	clear(w.RenewalAges)
	size := 2 * binary.MaxVarintLen64
	for _, s := range list {
		if size += s.size(); size <= maxBytes {
			w.RenewalAges[s.machine] = s.age
		} else if s.renewed {
			w.Age = min(w.Age, s.age)
		}
	}
}

// LastRenewal tells when a machine's lease was last renewed by the node whose word this is, at the latest, if the
// word came at a time. Kept is for how long that node keeps what it did.
func (r RenewalReport) LastRenewal(machine string, receivedAt, retention Time) Time {
	if age, ok := r.RenewalAges[machine]; ok {
		return receivedAt - age
	}
	return receivedAt - min(r.Age, retention) // so long ago, or longer
}

// ErrMalformed says that a word is malformed.
var ErrMalformed = errors.New("renewal: malformed word")

// Append encodes a word: its age and each machine's, in milliseconds, rounded so that nothing seems longer ago than it
// is, by name, so that a word is always the same bytes.
func (r RenewalReport) Append(b []byte) []byte {
	b = codec.Uint(codec.Uint(b, uint64(r.Age/time.Millisecond)), uint64(len(r.RenewalAges)))
	for _, m := range slices.Sorted(maps.Keys(r.RenewalAges)) {
		b = codec.Uint(codec.String(b, m), uint64(r.RenewalAges[m]/time.Millisecond))
	}
	return b
}

// ReadReport decodes a word.
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
func milliseconds(v uint64) Time { return time.Duration(min(v, 365*24*3600*1000)) * time.Millisecond }

// ExpiryProof gathers what the others said of a suspect machine. The zero value has heard of none.
type ExpiryProof struct{ lastRenewals []Time }

// Record notes that a node, one of so many others, has applied the suspicion and renewed the lease last at a time.
func (p *ExpiryProof) Record(node, others int, last Time) {
	if len(p.lastRenewals) != others {
		p.lastRenewals = make([]Time, others)
		for i := range p.lastRenewals {
			p.lastRenewals[i] = -1
		}
	}
	if node >= 0 && node < others && p.lastRenewals[node] < 0 {
		p.lastRenewals[node] = max(last, 0)
	}
}

// CountsFrom tells from when the lease counts at the latest, given when this node renewed it last, if all others have
// said when they did.
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

// IsMissing tells whether a node has not said yet.
func (p *ExpiryProof) IsMissing(node, others int) bool {
	return len(p.lastRenewals) != others || p.lastRenewals[node] < 0
}

// Expired tells whether a lease that counts from a time has surely run out: clocks differ by up to a twentieth of a
// per cent, and four times that is allowed for.
func Expired(from, lease, now Time) bool {
	const drift = 500
	return now-from > lease+lease/drift+time.Second
}
