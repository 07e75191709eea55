package commitfence

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"fieldhill/internal/testing/virtualtime"
)

func TestMain(m *testing.M) { virtualtime.MainRapid(m, 3000) }

// process is a plain account of one process of a controller, in true time: when it lived, how fast its clock is, and
// when it learnt of each batch.
type process struct {
	node         int
	begun, ended float64 // ended 0: it lives
	rate         float64
	watermarks   Watermarks
}

// confirmation is that a process told somebody of a batch, at a true time.
type confirmation struct {
	at  float64
	seq uint64
}

// history is a plain account of some controllers and of the asker, in true time.
type history struct {
	t         *rapid.T
	now       float64
	committed uint64
	processes []*process
	confirmed []confirmation

	asker           *process
	askerSeq        uint64  // the batches that it has
	complete        float64 // when it was complete, in true time
	askerCompleteAt Time    // and on its clock

	proven, denied int // rounds
}

func newHistory(t *rapid.T) *history {
	h := &history{t: t, processes: make([]*process, rapid.IntRange(0, 3).Draw(t, "others"))}
	h.asker = &process{rate: h.clock()}
	for i := range h.processes {
		h.processes[i] = &process{node: i, rate: h.clock()}
	}
	h.askerCompleteAt = h.askerTime()
	return h
}

func (h *history) clock() float64 {
	return 1 + rapid.SampledFrom([]float64{-0.0005, 0, 0.0005}).Draw(h.t, "drift")
}

func (h *history) askerTime() Time { return Time(h.now * h.asker.rate * 1e9) }

// delay lets a message take some time.
func (h *history) delay(name string) {
	h.now += rapid.SampledFrom([]float64{0, 0.001, 1.9}).Draw(h.t, name)
}

func (h *history) confirm() { h.confirmed = append(h.confirmed, confirmation{h.now, h.committed}) }

// step is one event.
func (h *history) step() {
	h.now += rapid.SampledFrom([]float64{0.001, 0.3, 5, 60}).Draw(h.t, "later")
	i := -1
	if len(h.processes) > 0 {
		i = rapid.IntRange(0, len(h.processes)-1).Draw(h.t, "node")
	}
	switch event := rapid.IntRange(0, 5).Draw(h.t, "what"); {
	case event == 0 && i >= 0: // it commits a batch, having all before, and may confirm it at once
		h.committed++
		h.processes[i].watermarks.Observe(h.committed)
		if rapid.Bool().Draw(h.t, "tells") {
			h.confirm()
		}
	case event == 1 && i >= 0: // it reads the log, and confirms what is in it
		h.processes[i].watermarks.Observe(h.committed)
		h.confirm()
	case event == 2 && i >= 0: // it ends, and is back
		h.processes[i].ended = h.now
		h.processes[i] = &process{node: i, begun: h.now + 0.02, rate: h.clock()}
		h.now += 0.03
	case event == 3: // the asker reads the log
		h.asker.watermarks.Observe(h.committed)
		h.askerSeq, h.complete, h.askerCompleteAt = h.committed, h.now, h.askerTime()
	case event == 4: // the asker itself commits a batch and confirms it; its replica, read anew, is the one from before
		if rapid.IntRange(0, 9).Draw(h.t, "rare") == 0 {
			h.committed++
			h.asker.watermarks.Observe(h.committed)
			h.confirm()
		}
	case event == 5:
		h.ask()
	}
}

// ask is a round; if it proves anything, no batch may have been confirmed before that the asker lacks.
func (h *history) ask() {
	asked := h.now
	round := h.asker.watermarks.BeginRound(h.askerTime(), h.askerCompleteAt, h.askerSeq, len(h.processes))
	for n, other := range h.processes {
		h.delay("on the way")
		if rapid.IntRange(0, 9).Draw(h.t, "lost") == 0 {
			continue
		}
		age := Time((h.now - other.begun) * other.rate * 1e9)
		report, err := ReadReport(other.watermarks.Report(age).Append(nil))
		if err != nil {
			h.t.Fatal(err)
		}
		h.delay("back")
		round.Record(n, report, h.askerTime())
	}
	at, ok := round.Proven()
	if !ok {
		h.denied++
		return
	}
	h.proven++
	for _, c := range h.confirmed {
		if c.seq > h.askerSeq && c.at <= asked {
			h.t.Fatalf("batch %d was confirmed at %v; the asker has %d, was complete at %v, "+
				"and was proven at %v as good as complete", c.seq, c.at, h.askerSeq, h.complete, asked)
		}
	}
	h.askerCompleteAt, h.complete = at, asked
}

// TestNothingConfirmedUnknown draws histories of some controllers: batches are committed, processes learn of them,
// confirm them and end; the asker is complete at some time and asks later, while responses come late or not at all.
// Whenever all confirm, a plain account of what was confirmed must have nothing confirmed before the requests that
// the asker lacks.
func TestNothingConfirmedUnknown(t *testing.T) {
	proven, denied := 0, 0
	rapid.Check(t, func(t *rapid.T) {
		h := newHistory(t)
		for range rapid.IntRange(1, 30).Draw(t, "steps") {
			h.step()
		}
		proven, denied = proven+h.proven, denied+h.denied
	})
	if proven < 100 || denied < 100 {
		t.Errorf("%d rounds proved it and %d did not: too few of one kind", proven, denied)
	}
}

func TestReportRoundTrip(t *testing.T) {
	report := WatermarkReport{Age: 1234567 * time.Microsecond, HighestSeq: 1 << 40}
	decoded, err := ReadReport(report.Append(nil))
	if err != nil || decoded.Age != 1234*time.Millisecond || decoded.HighestSeq != report.HighestSeq {
		t.Errorf("%+v, %v", decoded, err)
	}
	for _, b := range [][]byte{nil, {5}, {5, 6, 7}, {0xff}} {
		if _, err := ReadReport(b); err == nil {
			t.Errorf("%v was read", b)
		}
	}
}
