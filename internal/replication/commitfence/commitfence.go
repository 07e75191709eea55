// Package commitfence determines whether a change that ends agents' leases may have been confirmed without this node's
// knowledge. It does no I/O.
//
// A node that can't read the log extends agents' leases only for a bounded time, since the tasks of a job that was
// cancelled in the meantime must stop within the permitted time. While the key-value store is unavailable to all nodes,
// no change can be confirmed that was not in the log before. But a node can't distinguish such an outage from the loss
// of its own connection to the store. The node knows when it was last complete, that is, when its replica of the log
// held every committed batch. A batch that was confirmed after that, to a user or to the agent lease table of a leader,
// was confirmed by a controller process that had seen the batch. So the node asks each of the other controllers, and
// requires that all report
//
//   - that their process started before this node was complete, so that any earlier process of the same controller had
//     ended by then and can't have confirmed a batch that this node lacks; and
//   - that their process has never seen a batch beyond the last one that this node has.
//
// If all controllers report both, no batch that this node lacks had been confirmed when the node asked: the node counts
// as complete at the time of asking. The bounded time for extending leases then starts anew at that time, and the node
// may ask again. If a controller does not respond, started later or has seen a later batch, the bounded time does not
// start anew. Reports hold ages and batch numbers rather than wall-clock times; a delayed response makes a process seem
// younger than it is, never older.
//
// A report covers the entire life of its process: a batch that the process has seen stays in its Watermarks even if the
// process discards and reloads its replica.
package commitfence

import (
	"errors"
	"time"

	"fieldhill/internal/codec"
)

// Time is monotonic time since the process started.
type Time = time.Duration

// Watermarks holds the number of the newest batch that this process has ever known to be committed. It is kept when the
// replica is discarded and when the process gains or loses the leadership.
type Watermarks struct{ highestSeq uint64 }

// Observe records that all batches up to seq are known to be committed.
func (w *Watermarks) Observe(seq uint64) { w.highestSeq = max(w.highestSeq, seq) }

// WatermarkReport is the response of a controller process to a request of a BarrierRound.
type WatermarkReport struct {
	Age        Time   // time since the process started
	HighestSeq uint64 // newest batch that the process has ever known to be committed
}

// Report returns the response of this process to a request that it receives at the given time.
func (w *Watermarks) Report(now Time) WatermarkReport { return WatermarkReport{now, w.highestSeq} }

// ErrMalformed means that a report can't be decoded.
var ErrMalformed = errors.New("commitfence: malformed watermark report")

// Append appends the encoded report to b. The age is rounded down to milliseconds, so that the process never seems
// older than it is.
func (r WatermarkReport) Append(b []byte) []byte {
	return codec.Uint(codec.Uint(b, uint64(r.Age/time.Millisecond)), r.HighestSeq)
}

// ReadReport decodes a report. The error, if any, is ErrMalformed.
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

// driftDivisor is the reciprocal of the assumed maximum drift between two clocks, which is twice the drift that the
// platform allows.
const driftDivisor = 1000

// BarrierRound evaluates the responses to one request to each of the other controllers, as described in the package
// comment.
type BarrierRound struct {
	startedAt   Time   // start of the round, before the first request was sent
	completeAt  Time   // when this node was last complete
	knownSeq    uint64 // last batch that this node has
	confirmed   []bool // by peer: its report met both conditions of the package comment
	unconfirmed int    // number of peers not yet confirmed, plus one if the round can't succeed
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
		round.unconfirmed++ // never decremented: this process has seen batches that its replica lacks
	}
	return round
}

// Record processes the report of another controller, received now in response to a request of this round. It marks that
// controller as confirmed if the report meets both conditions of the package comment.
func (r *BarrierRound) Record(node int, report WatermarkReport, now Time) {
	age := report.Age - report.Age/driftDivisor // the peer's clock may be fast
	if r.confirmed[node] || report.HighestSeq > r.knownSeq || now-age > r.completeAt {
		return
	}
	r.confirmed[node] = true
	r.unconfirmed--
}

// CompleteAt reports whether the reports of all peers met both conditions of the package comment, and this process has
// seen no batch that its replica lacked at the start of the round. If so, this node counts as complete at completeAt,
// the start of the round.
func (r *BarrierRound) CompleteAt() (completeAt Time, ok bool) {
	return r.startedAt, r.unconfirmed == 0
}
