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

// most bounds a book. A fleet is smaller; beyond it the book begins anew, as that of a new process does.
const most = 20_000

// Book is when this process last renewed each machine's lease.
type Book struct {
	from Time // what was before is not known: everything may have been renewed until then
	at   map[string]Time
}

// NewBook begins a book: the process begins, and what an earlier one did is not known.
func NewBook(now Time) *Book { return &Book{from: now, at: map[string]Time{}} }

// Renewed notes that a machine's lease is renewed now.
func (b *Book) Renewed(machine string, now Time) {
	if _, known := b.at[machine]; !known && len(b.at) >= most {
		b.from = now
		clear(b.at)
	}
	b.at[machine] = now
}

// Last tells when a machine's lease was last renewed by this node, at the latest; kept is since when nothing was dropped.
func (b *Book) Last(machine string, kept Time) Time { return max(b.from, b.at[machine], kept) }

// Forget drops what is older than a time.
func (b *Book) Forget(before Time) {
	for m, t := range b.at {
		if t < before {
			delete(b.at, m)
		}
	}
}

// Word is what a node says of a zone's machines.
type Word struct {
	Age  Time            // since it began; what was before it does not know
	Ages map[string]Time // since it last renewed a machine's lease; missing: not since it began, or longer ago than it keeps
}

// stated is a machine's place in a word that may be too large.
type stated struct {
	machine string
	age     Time
	suspect bool
	renewed bool // by this node, as far as it knows
}

// Word makes what a node says now of the machines of a zone, in most bytes. Exact ages matter for those that are
// suspect, so these come first, then those renewed last. Kept is for how long the node keeps what it did.
func (b *Book) Word(suspects, others []string, now, kept Time, most int) Word {
	age := now - b.from
	list := make([]stated, 0, len(suspects)+len(others))
	for _, m := range suspects {
		t, renewed := b.at[m]
		s := stated{machine: m, age: min(age, kept), suspect: true, renewed: renewed}
		if renewed {
			s.age = now - t
		}
		list = append(list, s)
	}
	for _, m := range others {
		if t, renewed := b.at[m]; renewed {
			list = append(list, stated{machine: m, age: now - t, renewed: true})
		}
	}
	w := Word{Age: age, Ages: map[string]Time{}}
	size := 2 * binary.MaxVarintLen64
	for _, s := range list {
		if s.renewed {
			w.Ages[s.machine] = s.age
			size += s.size()
		}
	}
	if size > most {
		w.fit(list, most)
	}
	return w
}

// size is how many bytes a machine takes in a word.
func (s *stated) size() int {
	return varint(uint64(len(s.machine))) + len(s.machine) + varint(uint64(s.age/time.Millisecond))
}

// varint is how many bytes a number takes.
func varint(v uint64) int {
	const bitsEach = 7
	return (bits.Len64(v|1) + bitsEach - 1) / bitsEach
}

// fit fills a word anew with as many machines as go into most bytes. Who reads it takes one that is missing for renewed
// when the process began, or longer ago, so the word then says that it began when the youngest of those left out was
// renewed: later than true, never earlier. The suspect ones that this node never renewed are named, so that this does
// not hold for them.
func (w *Word) fit(list []stated, most int) {
	rank := func(s stated) int {
		switch {
		case s.suspect && s.renewed:
			return 0
		case s.suspect:
			return 1
		}
		return 2
	}
	slices.SortFunc(list, func(a, b stated) int {
		return cmp.Or(cmp.Compare(rank(a), rank(b)), cmp.Compare(a.age, b.age), cmp.Compare(a.machine, b.machine))
	})
	clear(w.Ages)
	size := 2 * binary.MaxVarintLen64
	for _, s := range list {
		if size += s.size(); size <= most {
			w.Ages[s.machine] = s.age
		} else if s.renewed {
			w.Age = min(w.Age, s.age)
		}
	}
}

// Last tells when a machine's lease was last renewed by the node whose word this is, at the latest, if the word came at a time.
// Kept is for how long that node keeps what it did.
func (w Word) Last(machine string, came, kept Time) Time {
	if age, ok := w.Ages[machine]; ok {
		return came - age
	}
	return came - min(w.Age, kept) // so long ago, or longer
}

// ErrWord says that a word is malformed.
var ErrWord = errors.New("renewal: malformed word")

// Append encodes a word: its age and each machine's, in milliseconds, rounded so that nothing seems longer ago than it
// is, by name, so that a word is always the same bytes.
func (w Word) Append(b []byte) []byte {
	b = codec.Uint(codec.Uint(b, uint64(w.Age/time.Millisecond)), uint64(len(w.Ages)))
	for _, m := range slices.Sorted(maps.Keys(w.Ages)) {
		b = codec.Uint(codec.String(b, m), uint64(w.Ages[m]/time.Millisecond))
	}
	return b
}

// Read decodes a word.
func Read(b []byte) (Word, error) {
	r := codec.Reader{B: b}
	w := Word{Age: ms(r.Uint()), Ages: map[string]Time{}}
	for range r.Max(most) {
		m := r.String()
		w.Ages[m] = ms(r.Uint())
		if r.Err != nil {
			break
		}
	}
	if !r.Done() {
		return Word{}, ErrWord
	}
	return w, nil
}

// ms is so many milliseconds, a year at most.
func ms(v uint64) Time { return time.Duration(min(v, 365*24*3600*1000)) * time.Millisecond }

// Proof gathers what the others said of a suspect machine. The zero value has heard of none.
type Proof struct{ last []Time }

// Heard notes that a node, one of so many others, has applied the suspicion and renewed the lease last at a time.
func (p *Proof) Heard(node, others int, last Time) {
	if len(p.last) != others {
		p.last = make([]Time, others)
		for i := range p.last {
			p.last[i] = -1
		}
	}
	if node >= 0 && node < others && p.last[node] < 0 {
		p.last[node] = max(last, 0)
	}
}

// From tells from when the lease counts at the latest, given when this node renewed it last, if all others have said when they did.
func (p *Proof) From(others int, own Time) (from Time, all bool) {
	if len(p.last) != others {
		return 0, others == 0
	}
	from = own
	for _, t := range p.last {
		if t < 0 {
			return 0, false
		}
		from = max(from, t)
	}
	return from, true
}

// Missing tells whether a node has not said yet.
func (p *Proof) Missing(node, others int) bool { return len(p.last) != others || p.last[node] < 0 }

// Over tells whether a lease that counts from a time has surely run out: clocks differ by up to a twentieth of a per cent, and
// four times that is allowed for.
func Over(from, lease, now Time) bool {
	const drift = 500
	return now-from > lease+lease/drift+time.Second
}
