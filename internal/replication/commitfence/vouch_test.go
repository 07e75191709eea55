package commitfence

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"fieldhill/internal/testing/virtualtime"
)

func TestMain(m *testing.M) { virtualtime.Drawn(m, 3000) }

// process is a plain account of one process of a controller, in true time: when it lived, how fast its clock is, and when it learnt of each batch.
type process struct {
	node         int
	begun, ended float64 // ended 0: it lives
	rate         float64
	past         Past
}

// TestNothingConfirmedUnknown draws histories of some controllers: batches are committed, processes learn of them, confirm them and end; the
// asker is complete at some time and asks later, while answers come late or not at all. Whenever all vouch, a plain account of who confirmed what
// must have nothing confirmed before the questions that the asker lacks.
func TestNothingConfirmedUnknown(t *testing.T) {
	proven, denied := 0, 0
	rapid.Check(t, func(t *rapid.T) {
		others := rapid.IntRange(0, 3).Draw(t, "others")
		clock := func() float64 { return 1 + rapid.SampledFrom([]float64{-0.0005, 0, 0.0005}).Draw(t, "drift") }
		me := &process{rate: clock()}
		live := make([]*process, others)
		for i := range live {
			live[i] = &process{node: i, rate: clock()}
		}
		now, complete, mySeq := 0.0, 0.0, uint64(0)
		committed := uint64(0)
		type told struct {
			at  float64
			seq uint64
		}
		var confirmed []told
		mine := func() Time { return Time(now * me.rate * 1e9) }
		isComplete := mine()
		for range rapid.IntRange(1, 30).Draw(t, "steps") {
			now += rapid.SampledFrom([]float64{0.001, 0.3, 5, 60}).Draw(t, "later")
			i := -1
			if others > 0 {
				i = rapid.IntRange(0, others-1).Draw(t, "node")
			}
			switch what := rapid.IntRange(0, 5).Draw(t, "what"); {
			case what == 0 && i >= 0: // it commits a batch, having all before, and may confirm it at once
				committed++
				live[i].past.Saw(committed)
				if rapid.Bool().Draw(t, "tells") {
					confirmed = append(confirmed, told{now, committed})
				}
			case what == 1 && i >= 0: // it reads the log, and tells what is in it
				live[i].past.Saw(committed)
				confirmed = append(confirmed, told{now, committed})
			case what == 2 && i >= 0: // it ends, and is back
				live[i].ended = now
				live[i] = &process{node: i, begun: now + 0.02, rate: clock()}
				now += 0.03
			case what == 3: // the asker reads the log
				me.past.Saw(committed)
				mySeq, complete, isComplete = committed, now, mine()
			case what == 4: // the asker itself commits a batch and tells of it; its copy, which was thrown away, is the one from before
				if rapid.IntRange(0, 9).Draw(t, "rare") == 0 {
					committed++
					me.past.Saw(committed)
					confirmed = append(confirmed, told{now, committed})
				}
			case what == 5: // it asks
				asked := now
				r := me.past.Begin(mine(), isComplete, mySeq, others)
				for n := range live {
					now += rapid.SampledFrom([]float64{0, 0.001, 1.9}).Draw(t, "on the way")
					if rapid.IntRange(0, 9).Draw(t, "lost") == 0 {
						continue
					}
					w, err := Read(live[n].past.Word(Time((now - live[n].begun) * live[n].rate * 1e9)).Append(nil))
					if err != nil {
						t.Fatal(err)
					}
					now += rapid.SampledFrom([]float64{0, 0.001, 1.9}).Draw(t, "back")
					r.Heard(n, w, mine())
				}
				at, ok := r.Proven()
				if !ok {
					denied++
					continue
				}
				proven++
				for _, c := range confirmed {
					if c.seq > mySeq && c.at <= asked {
						t.Fatalf("batch %d was confirmed at %v; the asker has %d, was complete at %v, and was told at %v that it is as good as complete", c.seq, c.at, mySeq, complete, asked)
					}
				}
				isComplete, complete = at, asked
			}
		}
	})
	if proven < 100 || denied < 100 {
		t.Errorf("%d rounds proved it and %d did not: too few of one kind", proven, denied)
	}
}

func TestWordIsRead(t *testing.T) {
	w := Word{Age: 1234567 * time.Microsecond, High: 1 << 40}
	got, err := Read(w.Append(nil))
	if err != nil || got.Age != 1234*time.Millisecond || got.High != w.High {
		t.Errorf("%+v, %v", got, err)
	}
	for _, b := range [][]byte{nil, {5}, {5, 6, 7}, {0xff}} {
		if _, err := Read(b); err == nil {
			t.Errorf("%v was read", b)
		}
	}
}
