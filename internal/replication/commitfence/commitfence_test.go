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

// TestNothingConfirmedUnknown draws histories of some controllers: batches are committed, processes learn of them,
// confirm them and end; the asker is complete at some time and asks later, while answers come late or not at all.
// Whenever all vouch, a plain account of who confirmed what must have nothing confirmed before the questions that the
// asker lacks.
func TestNothingConfirmedUnknown(t *testing.T) {
	proven, denied := 0, 0
	rapid.Check(t, func(t *rapid.T) {
		others := rapid.IntRange(0, 3).Draw(t, "others")
		clock := func() float64 { return 1 + rapid.SampledFrom([]float64{-0.0005, 0, 0.0005}).Draw(t, "drift") }
		asker := &process{rate: clock()}
		processes := make([]*process, others)
		for i := range processes {
			processes[i] = &process{node: i, rate: clock()}
		}
		now, complete, askerSeq := 0.0, 0.0, uint64(0)
		committed := uint64(0)
		type confirmation struct {
			at  float64
			seq uint64
		}
		var confirmed []confirmation
		askerTime := func() Time { return Time(now * asker.rate * 1e9) }
		askerCompleteAt := askerTime()
		for range rapid.IntRange(1, 30).Draw(t, "steps") {
			now += rapid.SampledFrom([]float64{0.001, 0.3, 5, 60}).Draw(t, "later")
			i := -1
			if others > 0 {
				i = rapid.IntRange(0, others-1).Draw(t, "node")
			}
			switch event := rapid.IntRange(0, 5).Draw(t, "what"); {
			case event == 0 && i >= 0: // it commits a batch, having all before, and may confirm it at once
				committed++
				processes[i].watermarks.Observe(committed)
				if rapid.Bool().Draw(t, "tells") {
					confirmed = append(confirmed, confirmation{now, committed})
				}
			case event == 1 && i >= 0: // it reads the log, and tells what is in it
				processes[i].watermarks.Observe(committed)
				confirmed = append(confirmed, confirmation{now, committed})
			case event == 2 && i >= 0: // it ends, and is back
				processes[i].ended = now
				processes[i] = &process{node: i, begun: now + 0.02, rate: clock()}
				now += 0.03
			case event == 3: // the asker reads the log
				asker.watermarks.Observe(committed)
				askerSeq, complete, askerCompleteAt = committed, now, askerTime()
			case event == 4: // the asker itself commits a batch and tells of it; its copy, which was thrown away, is the one from before
				if rapid.IntRange(0, 9).Draw(t, "rare") == 0 {
					committed++
					asker.watermarks.Observe(committed)
					confirmed = append(confirmed, confirmation{now, committed})
				}
			case event == 5: // it asks
				asked := now
				round := asker.watermarks.BeginRound(askerTime(), askerCompleteAt, askerSeq, others)
				for n := range processes {
					now += rapid.SampledFrom([]float64{0, 0.001, 1.9}).Draw(t, "on the way")
					if rapid.IntRange(0, 9).Draw(t, "lost") == 0 {
						continue
					}
					report, err := ReadReport(
						processes[n].watermarks.Report(Time((now - processes[n].begun) * processes[n].rate * 1e9)).
							Append(nil),
					)
					if err != nil {
						t.Fatal(err)
					}
					now += rapid.SampledFrom([]float64{0, 0.001, 1.9}).Draw(t, "back")
					round.Record(n, report, askerTime())
				}
				at, ok := round.Proven()
				if !ok {
					denied++
					continue
				}
				proven++
				for _, c := range confirmed {
					if c.seq > askerSeq && c.at <= asked {
						t.Fatalf(
							"batch %d was confirmed at %v; the asker has %d, was complete at %v, and was told at %v that it is as good as complete",
							c.seq,
							c.at,
							askerSeq,
							complete,
							asked,
						)
					}
				}
				askerCompleteAt, complete = at, asked
			}
		}
	})
	if proven < 100 || denied < 100 {
		t.Errorf("%d rounds proved it and %d did not: too few of one kind", proven, denied)
	}
}

func TestReportRoundTrip(t *testing.T) {
	report := WatermarkReport{Age: 1234567 * time.Microsecond, Highest: 1 << 40}
	decoded, err := ReadReport(report.Append(nil))
	if err != nil || decoded.Age != 1234*time.Millisecond || decoded.Highest != report.Highest {
		t.Errorf("%+v, %v", decoded, err)
	}
	for _, b := range [][]byte{nil, {5}, {5, 6, 7}, {0xff}} {
		if _, err := ReadReport(b); err == nil {
			t.Errorf("%v was read", b)
		}
	}
}
