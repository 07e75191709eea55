// Package commitfence tells whether a change that ends agents' leases may have been confirmed without this node's
// knowledge. It does no I/O.
//
// A node that can't read the log extends agents' leases only for a bounded time, since a job that was cancelled in the
// meantime must lose its tasks in time. While the key-value store is unavailable to all nodes, nothing can be confirmed
// that was not in the log before. But a node can't tell whether the store is unavailable to all or to itself alone. It
// can rely on this: it was complete at some time, when its replica of the log held everything committed. Whatever was
// confirmed since, to a user or to the agent lease table of a leader, was confirmed by a controller process that had
// seen the batch. So it asks each of the other controllers, and requires that all report
//
//   - that their process started before this node was complete, so that no earlier process of theirs, which had ended
//     by then, can have confirmed anything that this node lacks; and
//   - that their process has never seen a batch beyond the last one that this node has.
//
// Then nothing that this node lacks had been confirmed when it asked: it was as good as complete at that time. The
// bounded time counts from there, and the node may ask again. If one controller does not respond, started later or has
// seen more, the previous bound stands. Reports hold ages and batch numbers rather than wall-clock times; a delayed
// response makes a process seem younger than it is, never older.
//
// A report covers the entire life of its process, and Watermarks only grows, so discarding and reloading a replica
// loses nothing.
package commitfence

import (
	"errors"
	"time"

	"fieldhill/internal/codec"
)

// Time is monotonic time since the process started.
type Time = time.Duration

// Watermarks holds the newest batch that a process has ever seen in the log. It outlives the replica, and the gain and
// loss of leadership.
type Watermarks struct{ highestSeq uint64 }

// Observe records that all batches up to a number are known to be committed.
func (w *Watermarks) Observe(seq uint64) { w.highestSeq = max(w.highestSeq, seq) }

// WatermarkReport is what a process reports about itself.
type WatermarkReport struct {
	Age        Time   // time since the process started
	HighestSeq uint64 // newest batch that it has ever known to be committed
}

// Report returns the current report of this process.
func (w *Watermarks) Report(now Time) WatermarkReport { return WatermarkReport{now, w.highestSeq} }

// ErrMalformed means that a report can't be decoded.
var ErrMalformed = errors.New("commitfence: malformed watermark report")

// Append appends the encoded report. The age is rounded down to milliseconds, so that the process never seems older
// than it is.
func (r WatermarkReport) Append(b []byte) []byte {
	return codec.Uint(codec.Uint(b, uint64(r.Age/time.Millisecond)), r.HighestSeq)
}

// ReadReport decodes a report. Its error is ErrMalformed.
func ReadReport(b []byte) (WatermarkReport, error) {
	r := codec.Reader{Data: b}
	report := WatermarkReport{Age: time.Duration(min(r.Uint(), maxAgeMillis)) * time.Millisecond, HighestSeq: r.Uint()}
	if !r.Done() {
		return WatermarkReport{}, ErrMalformed
	}
	return report, nil
}

// maxAgeMillis, ten years, bounds a decoded age so that its conversion to nanoseconds can't overflow. A greater age
// would make no difference.
const maxAgeMillis = 10 * 365 * 24 * 3600 * 1000

// driftDivisor gives the assumed maximum drift between two clocks, as one part in this number: twice the drift that the
// platform allows.
const driftDivisor = 1000

// BarrierRound is one round of read barriers: one request to each other controller.
type BarrierRound struct {
	startedAt   Time   // start of the round, before the first request was sent
	completeAt  Time   // when this node was last complete
	knownSeq    uint64 // last batch that this node has
	confirmed   []bool // by peer
	unconfirmed int    // number of conditions not yet met
}

// BeginRound starts a round for a node that was complete at the given time and has all batches up to seq.
func (w *Watermarks) BeginRound(now, completeAt Time, seq uint64, peers int) *BarrierRound {
	round := &BarrierRound{
		startedAt:   now,
		completeAt:  completeAt,
		knownSeq:    seq,
		confirmed:   make([]bool, peers),
		unconfirmed: peers,
	}
	if w.highestSeq > seq {
		round.unconfirmed++ // never met: this process itself has seen more than its replica holds
	}
	return round
}

// Record records the report of another controller, received now in response to a request of this round.
func (r *BarrierRound) Record(node int, report WatermarkReport, now Time) {
	age := report.Age - report.Age/driftDivisor // the peer's clock may be fast
	if r.confirmed[node] || report.HighestSeq > r.knownSeq || now-age > r.completeAt {
		return
	}
	r.confirmed[node] = true
	r.unconfirmed--
}

// CompleteAt returns the time at which this node was as good as complete, and whether all peers have confirmed.
func (r *BarrierRound) CompleteAt() (completeAt Time, ok bool) {
	return r.startedAt, r.unconfirmed == 0
}
