// Package vouch tells whether something that ends leases may have been confirmed that a node does not know of. It is
// pure.
//
// A node that can't read the log keeps workers' leases only for a bound: a job cancelled meanwhile must lose its
// tasks in time. While the state service is down for all, nothing can be confirmed that was not in the log before;
// but that a node can't tell, since it may be the only one that is refused. What it can tell is this. It was complete
// at some time (its copy of the log held all that was committed then). Whatever was confirmed since, to a user or to
// whoever counts the time of a lease, was confirmed by a process of a controller that had the batch with it. So if it
// asks each of the other controllers, and all say
//
//   - that their process began before this node was complete: then no earlier process of theirs can have confirmed what this node does not
//     have, since that one was over by then;
//   - that their process has never seen a batch beyond the last one that this node has;
//
// then nothing that this node lacks had been confirmed when it asked: it was as good as complete at that time. The
// bound counts from there, and it may ask again. One controller that does not answer, that began later, or that has
// seen more, and the old bound stands. What is told are ages and log numbers, not times of day; an answer that is
// late makes a process look younger than it is, never older.
//
// An answer speaks for the whole of the past of its process, so a copy that is thrown away and read anew takes
// nothing from it: Past only grows.
package commitfence

import (
	"errors"
	"time"

	"fieldhill/internal/codec"
)

// Time is steady time since the process began.
type Time = time.Duration

// Watermarks is what a process has ever seen of the log. It outlives the copy, the lead and its loss.
type Watermarks struct{ highest uint64 }

// Observe notes that all batches up to a number were seen to be committed.
func (w *Watermarks) Observe(seq uint64) { w.highest = max(w.highest, seq) }

// WatermarkReport is what a process says of itself.
type WatermarkReport struct {
	Age     Time   // since it began
	Highest uint64 // the newest batch that it has ever seen to be committed
}

// Report is what this process says now.
func (w *Watermarks) Report(now Time) WatermarkReport { return WatermarkReport{now, w.highest} }

// ErrMalformed says that a word is malformed.
var ErrMalformed = errors.New("vouch: malformed word")

// Append encodes a word; its age in milliseconds, rounded so that the process seems no older than it is.
func (r WatermarkReport) Append(b []byte) []byte {
	return codec.Uint(codec.Uint(b, uint64(r.Age/time.Millisecond)), r.Highest)
}

// ReadReport decodes a word.
func ReadReport(b []byte) (WatermarkReport, error) {
	r := codec.Reader{Data: b}
	report := WatermarkReport{Age: time.Duration(min(r.Uint(), maxAgeMillis)) * time.Millisecond, Highest: r.Uint()}
	if !r.Done() {
		return WatermarkReport{}, ErrMalformed
	}
	return report, nil
}

// maxAgeMillis is an age in milliseconds, ten years, beyond which it makes no difference.
const maxAgeMillis = 10 * 365 * 24 * 3600 * 1000

// driftDivisor is how much two clocks may differ, as one part in so many: twice what the platform allows for.
const driftDivisor = 1000

// BarrierRound is one round of questions to all other controllers.
type BarrierRound struct {
	startedAt   Time   // before the first question went out
	completeAt  Time   // this node was complete then
	knownSeq    uint64 // the last batch that it has
	confirmed   []bool
	unconfirmed int
}

// BeginRound begins a round of questions now, by a node that was complete at a time and has all batches up to a number.
func (w *Watermarks) BeginRound(now, complete Time, seq uint64, peers int) *BarrierRound {
	round := &BarrierRound{
		startedAt:   now,
		completeAt:  complete,
		knownSeq:    seq,
		confirmed:   make([]bool, peers),
		unconfirmed: peers,
	}
	if w.highest > seq {
		round.unconfirmed++ // this process itself has seen more than its copy holds now
	}
	return round
}

// Record takes in the word of another controller that came now, in answer to a question of this round.
func (r *BarrierRound) Record(node int, report WatermarkReport, now Time) {
	// Its clock may be fast: it is no older than it says, less the drift.
	if age := report.Age - report.Age/driftDivisor; r.confirmed[node] || report.Highest > r.knownSeq ||
		now-age > r.completeAt {
		return
	}
	r.confirmed[node] = true
	r.unconfirmed--
}

// Proven tells whether all have vouched, and then since when this node is as good as complete.
func (r *BarrierRound) Proven() (complete Time, ok bool) { return r.startedAt, r.unconfirmed == 0 }
