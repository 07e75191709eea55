package commitfence

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"fieldhill/internal/testing/virtualtime"
)

func TestMain(m *testing.M) { virtualtime.MainRapid(m, 3000) }

// process is a reference model of one controller process, in true time: its lifetime, the rate of its clock, and the
// batches that it has seen.
type process struct {
	node               int
	startedAt, endedAt float64 // in true seconds; endedAt is 0 while it runs
	clockRate          float64
	watermarks         Watermarks
}

// confirmation records that a process confirmed a batch to a client at a true time.
type confirmation struct {
	at  float64
	seq uint64
}

// history is a reference model, in true time, of a controller that performs rounds (the requester) and of the other
// controllers.
type history struct {
	t             *rapid.T
	now           float64
	committed     uint64
	processes     []*process
	confirmations []confirmation

	requester           *process
	requesterSeq        uint64  // last batch that the requester has
	completeAt          float64 // when the requester was last complete, in true time
	requesterCompleteAt Time    // completeAt on the requester's clock

	proven, unproven int // numbers of rounds by outcome
}

func newHistory(t *rapid.T) *history {
	h := &history{t: t, processes: make([]*process, rapid.IntRange(0, 3).Draw(t, "others"))}
	h.requester = &process{clockRate: h.drawClockRate()}
	for i := range h.processes {
		h.processes[i] = &process{node: i, clockRate: h.drawClockRate()}
	}
	h.requesterCompleteAt = h.requesterTime()
	return h
}

func (h *history) drawClockRate() float64 {
	return 1 + rapid.SampledFrom([]float64{-0.0005, 0, 0.0005}).Draw(h.t, "drift")
}

func (h *history) requesterTime() Time { return Time(h.now * h.requester.clockRate * 1e9) }

// delay advances the time by the delay of a message.
func (h *history) delay(name string) {
	h.now += rapid.SampledFrom([]float64{0, 0.001, 1.9}).Draw(h.t, name)
}

func (h *history) confirm() {
	h.confirmations = append(h.confirmations, confirmation{h.now, h.committed})
}

// step performs one random event.
func (h *history) step() {
	h.now += rapid.SampledFrom([]float64{0.001, 0.3, 5, 60}).Draw(h.t, "pause")
	i := -1
	if len(h.processes) > 0 {
		i = rapid.IntRange(0, len(h.processes)-1).Draw(h.t, "node")
	}
	switch event := rapid.IntRange(0, 5).Draw(h.t, "event"); {
	case event == 0 && i >= 0: // a controller that has all earlier batches commits one, and may confirm it at once
		h.committed++
		h.processes[i].watermarks.Observe(h.committed)
		if rapid.Bool().Draw(h.t, "confirms") {
			h.confirm()
		}
	case event == 1 && i >= 0: // a controller reads the log and confirms what is in it
		h.processes[i].watermarks.Observe(h.committed)
		h.confirm()
	case event == 2 && i >= 0: // a controller restarts
		h.processes[i].endedAt = h.now
		h.processes[i] = &process{node: i, startedAt: h.now + 0.02, clockRate: h.drawClockRate()}
		h.now += 0.03
	case event == 3: // the requester reads the log
		h.requester.watermarks.Observe(h.committed)
		h.requesterSeq, h.completeAt, h.requesterCompleteAt = h.committed, h.now, h.requesterTime()
	case event == 4: // the requester commits and confirms a batch, then reloads a replica without it
		if rapid.IntRange(0, 9).Draw(h.t, "rare") == 0 {
			h.committed++
			h.requester.watermarks.Observe(h.committed)
			h.confirm()
		}
	case event == 5:
		h.runRound()
	}
}

// runRound asks all other processes for watermark reports. If BarrierRound.CompleteAt accepts the reports, no batch
// that the requester lacks may have been confirmed before the round began.
func (h *history) runRound() {
	startedAt := h.now
	watermarks := &h.requester.watermarks
	round := watermarks.BeginRound(h.requesterTime(), h.requesterCompleteAt, h.requesterSeq, len(h.processes))
	for n, other := range h.processes {
		h.delay("request delay")
		if rapid.IntRange(0, 9).Draw(h.t, "lost") == 0 {
			continue
		}
		age := Time((h.now - other.startedAt) * other.clockRate * 1e9)
		report, err := ReadReport(other.watermarks.Report(age).Append(nil))
		if err != nil {
			h.t.Fatal(err)
		}
		h.delay("response delay")
		round.Record(n, report, h.requesterTime())
	}
	at, ok := round.CompleteAt()
	if !ok {
		h.unproven++
		return
	}
	h.proven++
	for _, c := range h.confirmations {
		if c.seq > h.requesterSeq && c.at <= startedAt {
			h.t.Fatalf("batch %d was confirmed at %v; the requester has batch %d, was complete at %v, "+
				"and a round started at %v proved that it counts as complete",
				c.seq, c.at, h.requesterSeq, h.completeAt, startedAt)
		}
	}
	h.requesterCompleteAt, h.completeAt = at, startedAt
}

// TestNothingConfirmedUnknown draws histories of several controllers: batches are committed; processes see them,
// confirm them and end; the requester is complete at some time and asks later, while responses are delayed or lost. If
// BarrierRound.CompleteAt accepts the reports of a round, no batch that the requester lacks may have been confirmed
// before the round began.
func TestNothingConfirmedUnknown(t *testing.T) {
	proven, unproven := 0, 0
	rapid.Check(t, func(t *rapid.T) {
		h := newHistory(t)
		for range rapid.IntRange(1, 30).Draw(t, "steps") {
			h.step()
		}
		proven, unproven = proven+h.proven, unproven+h.unproven
	})
	if proven < 100 || unproven < 100 {
		t.Errorf("%d rounds succeeded and %d failed, want at least 100 of each", proven, unproven)
	}
}

// TestReportRoundTrip checks that a report is decoded as it was encoded, with its age rounded down to milliseconds, and
// that malformed reports are rejected.
func TestReportRoundTrip(t *testing.T) {
	report := WatermarkReport{Age: 1234567 * time.Microsecond, HighestSeq: 1 << 40}
	decoded, err := ReadReport(report.Append(nil))
	if err != nil || decoded.Age != 1234*time.Millisecond || decoded.HighestSeq != report.HighestSeq {
		t.Errorf("report was decoded as %+v, error %v; want %+v with its age rounded down to milliseconds",
			decoded, err, report)
	}
	for _, b := range [][]byte{nil, {5}, {5, 6, 7}, {0xff}} {
		if _, err := ReadReport(b); err == nil {
			t.Errorf("malformed report %v was decoded, want an error", b)
		}
	}
}
