// Package commitfence tells whether something that ends agents' leases may have been confirmed that a node does not
// know of. It is pure.
//
// A node that can't read the log extends agents' leases only for a bound: a job cancelled meanwhile must lose its
// tasks in time. While the key-value store is unavailable for all, nothing can be confirmed that was not in the log
// before; but that a node can't tell, since it may be the only one that is refused. What it can tell is this. It was
// complete at some time (its replica of the log held all that was committed then). Whatever was confirmed since, to a
// user or to the agent lease table of a leader, was confirmed by a process of a controller that had the batch with
// it. So if it asks each of the other controllers, and all report
//
//   - that their process began before this node was complete: then no earlier process of theirs can have confirmed what
//     this node does not have, since that one was over by then;
//   - that their process has never seen a batch beyond the last one that this node has;
//
// then nothing that this node lacks had been confirmed when it asked: it was as good as complete at that time. The
// bound counts from there, and it may ask again. One controller that does not respond, that began later, or that has
// seen more, and the old bound stands. Reports have ages and log numbers, not times of day; a response that is late
// makes a process look younger than it is, never older.
//
// A report covers the whole past of its process, so a replica that is discarded and read anew takes nothing from it:
// Watermarks only grows.
package commitfence

import (
	"errors"
	"time"

	"fieldhill/internal/codec"
)

// Time is monotonic time since the process began.
type Time = time.Duration

// Watermarks is what a process has ever seen of the log. It outlives the replica, the leadership and its loss.
type Watermarks struct{ highest uint64 }

// Observe notes that all batches up to a number were seen to be committed.
func (w *Watermarks) Observe(seq uint64) { w.highest = max(w.highest, seq) }

// WatermarkReport is what a process reports of itself.
type WatermarkReport struct {
	Age     Time   // since it began
	Highest uint64 // the newest batch that it has ever seen to be committed
}

// Report is what this process reports now.
func (w *Watermarks) Report(now Time) WatermarkReport { return WatermarkReport{now, w.highest} }

// ErrMalformed says that a report can't be decoded.
var ErrMalformed = errors.New("commitfence: malformed watermark report")

// Append encodes a report; its age in milliseconds, rounded so that the process seems no older than it is.
func (r WatermarkReport) Append(b []byte) []byte {
	return codec.Uint(codec.Uint(b, uint64(r.Age/time.Millisecond)), r.Highest)
}

// ReadReport decodes a report. Its error is ErrMalformed.
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

// driftDivisor is by how much two clocks may differ, as one part in so many: twice what the platform allows for.
const driftDivisor = 1000

// BarrierRound is one round of read barriers: one request to each other controller.
type BarrierRound struct {
	startedAt   Time   // before the first request was sent
	completeAt  Time   // this node was complete then
	knownSeq    uint64 // the last batch that it has
	confirmed   []bool // by controller
	unconfirmed int    // how many conditions are not met yet
}

// BeginRound begins a round now, by a node that was complete at a time and has all batches up to a number.
func (w *Watermarks) BeginRound(now, complete Time, seq uint64, peers int) *BarrierRound {
	round := &BarrierRound{
		startedAt:   now,
		completeAt:  complete,
		knownSeq:    seq,
		confirmed:   make([]bool, peers),
		unconfirmed: peers,
	}
	if w.highest > seq {
		round.unconfirmed++ // for good: this process itself has seen more than its replica holds now
	}
	return round
}

// Record takes the report of another controller that came now, in response to a request of this round.
func (r *BarrierRound) Record(node int, report WatermarkReport, now Time) {
	age := report.Age - report.Age/driftDivisor // its clock may be fast
	if r.confirmed[node] || report.Highest > r.knownSeq || now-age > r.completeAt {
		return
	}
	r.confirmed[node] = true
	r.unconfirmed--
}

// Proven tells whether all have confirmed it, and then since when this node is as good as complete.
func (r *BarrierRound) Proven() (complete Time, ok bool) { return r.startedAt, r.unconfirmed == 0 }
