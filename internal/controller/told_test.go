package controller

import (
	"math/rand/v2"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"fieldhill/internal/emulator"
	"fieldhill/wire"
)

// These tests look at what users are told, at all nodes and within milliseconds.

// closely is the pause between two questions of users who look closely.
const closely = 3 * time.Millisecond

// looking submits jobs, and looks at each closely right after it was accepted, after it was confirmed as cancelled, which some are at once, and after it ended.
func looking(w *emulator.World, rng *rand.Rand, first, jobs int, pause time.Duration) {
	for n := first; n < first+jobs; n++ {
		j := spec(n, wire.Array, 1, 1+4*rng.Float64())
		j.CPUs, j.Priority = 0.25, wire.High
		cancels, after := rng.IntN(3) == 0, time.Duration(rng.IntN(4))*time.Millisecond
		if rng.IntN(3) == 0 {
			cancels, after = true, time.Duration(rng.IntN(6000))*time.Millisecond
		}
		go func() {
			if code := w.Submit(j); code != 201 && code != 200 {
				return
			}
			w.Look(j, 4, closely)
			if cancels {
				time.Sleep(after)
				go w.Look(j, 15, 100*time.Millisecond) // also while the cancellation is being written
				w.Cancel(j.ID)
				w.Look(j, 4, closely)
				return
			}
			for range 100 {
				if code, s := w.Call("poll", j.ID, nil); code == 200 && s.State == wire.JobDone {
					w.Look(j, 4, closely)
					return
				}
				time.Sleep(300 * time.Millisecond)
			}
		}()
		time.Sleep(pause)
	}
}

// partLinks has the controllers not reach each other, or ends that: each answers by the state service alone.
func partLinks(w *emulator.World, apart bool) {
	for k := range 3 {
		w.CutNode(k, (k+1)%3, apart)
	}
}

// TestCloseLooks: users ask at all nodes within milliseconds, and repeat the submission, right after a job was accepted, ended or confirmed as cancelled, and some
// cancel at once; by every way in which a node answers. No node may say anything older than what any said, which the referee sees. The
// last ones have transactions carried out at once whose answers alone are lost, while the other nodes read what was written: a leader that did not know yet that its write of a
// cancellation went through called the job running.
func TestCloseLooks(t *testing.T) {
	for _, c := range []struct {
		name  string
		least int // close looks
		begin func(w *emulator.World, rng *rand.Rand) (end func())
	}{
		{"no trouble", 200, func(*emulator.World, *rand.Rand) func() { return func() {} }},
		{"slow", 150, func(w *emulator.World, _ *rand.Rand) func() {
			w.State.SetSlow(250 * time.Millisecond)
			return func() { w.State.SetSlow(3 * time.Millisecond) }
		}},
		{"by the log", 150, func(w *emulator.World, _ *rand.Rand) func() {
			partLinks(w, true)
			return func() { partLinks(w, false) }
		}},
		{"leaders refused and ended", 100, func(w *emulator.World, rng *rand.Rand) func() {
			for range 2 {
				i := max(0, leaderOf())
				w.RefuseState(i, true)
				time.Sleep(time.Duration(3000+rng.IntN(4000)) * time.Millisecond)
				w.RefuseState(i, false)
				time.Sleep(time.Duration(rng.IntN(2000)) * time.Millisecond)
				w.Restart(max(0, leaderOf()), time.Duration(20+rng.IntN(300))*time.Millisecond)
				time.Sleep(time.Duration(rng.IntN(4000)) * time.Millisecond)
			}
			return func() {}
		}},
		{"answers lost", 100, func(w *emulator.World, _ *rand.Rand) func() {
			w.State.LoseAnswers(0.5)
			return func() { w.State.LoseAnswers(0) }
		}},
		{"answers lost, by the log", 100, func(w *emulator.World, _ *rand.Rand) func() {
			w.State.LoseAnswers(0.4)
			partLinks(w, true)
			all := w.Cloud.Up()
			for _, wk := range all { // stops come with the answer to a report, so the cancelled job is not over at once
				wk.Hold(10 * time.Second)
			}
			return func() {
				w.State.LoseAnswers(0)
				partLinks(w, false)
				for _, wk := range all {
					wk.Hold(0)
				}
			}
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			lost := map[string]int{}
			meet(t, 1, 60, func(t *testing.T, w *emulator.World, seed uint64, rng *rand.Rand) {
				settle(w, 2)
				go looking(w, rand.New(rand.NewPCG(seed, 61)), 100, 30, 600*time.Millisecond)
				end := c.begin(w, rng)
				time.Sleep(20 * time.Second)
				end()
				time.Sleep(40 * time.Second)
				if k := w.Referee.CloseLooks(); k < c.least {
					t.Errorf("%d close looks: the meeting did not take place", k)
				}
				for n := 100; n < 130; n++ {
					if code, s := w.Call("poll", wire.JobID(uint64(n)), nil); code != 404 && (code != 200 || s.State != wire.JobDone && s.State != wire.JobCancelled) {
						t.Errorf("%d: %d %+v", n, code, s)
					}
				}
				for kind, k := range w.State.Lost() {
					lost[kind] += k
				}
			})
			if strings.HasPrefix(c.name, "answers lost") && (lost["put f/log"] < 5 || strings.HasSuffix(c.name, "log") && lost["put f/in"] == 0) {
				t.Errorf("answers were lost to %v: the meeting did not take place", lost)
			}
		})
	}
}

// TestWrittenAndNotAnswered: the leader's write is carried out at once and only its answer is lost, while the other nodes read what it wrote. What they tell
// of a job's acceptance, cancellation and end the leader does not contradict while it does not know. It called a job running that they called cancelled.
func TestWrittenAndNotAnswered(t *testing.T) {
	meet(t, 2, 66, func(t *testing.T, w *emulator.World, seed uint64, rng *rand.Rand) {
		settle(w, 2)
		lead := max(0, leaderOf())
		running, ends := spec(100, wire.Array, 1, 500), spec(101, wire.Array, 1, 6)
		for _, j := range []*wire.JobSpec{running, ends} {
			j.CPUs, j.Priority = 0.25, wire.High
			w.Submit(j)
		}
		waitToRun(w, ends.ID, time.Now())
		partLinks(w, true)
		for _, wk := range w.Cloud.Up() { // it is not over at once
			wk.Hold(10 * time.Second)
		}
		time.Sleep(2 * time.Second)
		late := spec(102, wire.Array, 1, 500)
		b, _ := wire.Marshal(late)
		w.Referee.Know(late)
		for _, c := range []struct {
			what, id, state string
			ask             func()
		}{
			{"cancellation", running.ID, wire.JobCancelled, func() { w.CallAt(lead, "cancel", running.ID, nil) }},
			{"acceptance", late.ID, wire.JobPending, func() { w.CallAt(lead, "submit", late.ID, b) }},
			{"end", ends.ID, wire.JobDone, func() {}},
		} {
			w.State.LoseAnswers(1)
			go c.ask()
			first := ""
			var agree atomic.Int64
			for range 400 {
				time.Sleep(time.Duration(10+rng.IntN(20)) * time.Millisecond)
				code, s := w.CallAt((lead+1+rng.IntN(2))%3, "poll", c.id, nil)
				if first == "" && (code != 200 || s.State != c.state) {
					continue
				}
				first = c.state
				go func() { // the referee holds it against what was told
					if code, s := w.CallAt(lead, "poll", c.id, nil); code == 200 && s.State == c.state {
						agree.Add(1)
					}
				}()
				if agree.Load() > 0 {
					break
				}
			}
			w.State.LoseAnswers(0)
			time.Sleep(3 * time.Second)
			if first == "" || agree.Load() == 0 {
				t.Errorf("%s: another node said %q, the leader agreed %d times: the meeting did not take place", c.what, first, agree.Load())
			}
			if w.State.Lost()["put f/log"] == 0 {
				t.Errorf("%s: no answer was lost", c.what)
			}
		}
		partLinks(w, false)
		for _, wk := range w.Cloud.Up() {
			wk.Hold(0)
		}
		time.Sleep(20 * time.Second)
		if k := w.Referee.Running(running.ID); k != 0 {
			t.Errorf("%d tasks of the cancelled job run", k)
		}
	})
}

// TestCancelledAtTheEnd: users call off jobs at the moment of the end of their last task, with no other trouble; all ask and repeat the submission then. A job is
// told to be done or cancelled, never both.
func TestCancelledAtTheEnd(t *testing.T) {
	meet(t, 1, 62, func(t *testing.T, w *emulator.World, seed uint64, rng *rand.Rand) {
		settle(w, 2)
		w.CancelAtEnd(0.7)
		var ids []string
		for n := 100; n < 140; n++ {
			j := spec(n, wire.Array, 1+rng.IntN(2), 1+3*rng.Float64())
			j.CPUs, j.Priority = 0.25, wire.High
			ids = append(ids, j.ID)
			pause := time.Duration(200+rng.IntN(200)) * time.Millisecond
			go func() {
				w.Submit(j)
				for range 20 {
					time.Sleep(pause)
					w.Look(j, 1, closely)
				}
			}()
			time.Sleep(300 * time.Millisecond)
		}
		time.Sleep(40 * time.Second)
		if k := w.AtEnds(); k < 10 {
			t.Errorf("%d jobs were called off at their end: the meeting did not take place", k)
		}
		told := map[string]int{}
		for _, id := range ids {
			code, s := w.Call("poll", id, nil)
			if code != 200 || s.State != wire.JobDone && s.State != wire.JobCancelled {
				t.Errorf("%s: %d %+v", id, code, s)
				continue
			}
			told[s.State]++
		}
		if told[wire.JobDone] == 0 || told[wire.JobCancelled] == 0 {
			t.Errorf("told %v: the meeting did not take place", told)
		}
	})
}

// TestOddRequests: what can't run, lacks a field or has a wrong one is refused for good, with one error that names the field, alike by the leader, by a follower that passes it
// on, and by the intake; a job that was accepted is never told so, whatever is sent under its id, also while only the intake has it; a cancellation of one that is done says done.
func TestOddRequests(t *testing.T) {
	inWorld(t, 64, func(w *emulator.World) {
		settle(w, 1)
		good := spec(10, wire.Array, 1, 2)
		w.Submit(good)
		waitFor(t, w, good.ID, wire.JobDone, time.Minute)
		lead := max(0, leaderOf())
		body := func(s *wire.JobSpec, field string, value any) []byte {
			b, _ := wire.Marshal(s)
			if field == "" {
				return b
			}
			var m map[string]any
			if err := wire.Unmarshal(b, &m); err != nil {
				t.Fatal(err)
			}
			if m[field] = value; value == missing {
				delete(m, field)
			}
			b, _ = wire.Marshal(m)
			return b
		}
		b := "b"
		odd := []struct {
			field string
			value any
			code  int
			spec  func(s *wire.JobSpec)
		}{
			{"cores", missing, 400, nil}, {"jobclass", missing, 400, nil}, {"spread", nil, 400, nil}, {"pieces", 0, 400, nil}, {"pieces", -3, 400, nil},
			{"mem_gb", "much", 400, nil}, {"cores", -1.0, 400, nil}, {"rank", "urgent", 400, nil}, {"shape", "heap", 400, nil}, {"due_s", "soon", 400, nil}, {"hall", 7, 400, nil},
			{"owner", "green", 422, nil}, {"cores", 17.0, 422, nil}, {"mem_gb", 65.0, 422, nil}, {"gpus", 1.0, 422, nil}, {"models", []string{"huge"}, 422, nil}, {"hall", "c", 422, nil},
			{"pieces", 30, 422, func(s *wire.JobSpec) { s.Shape = wire.Gang }},
			{"pieces", 3, 422, func(s *wire.JobSpec) { s.Shape, s.Spread, s.Zone = wire.Gang, true, &b }},
			{"pieces", 2, 422, func(s *wire.JobSpec) { s.Shape, s.Spread, s.SameZone = wire.Gang, true, true }},
		}
		all := func(how string, at []int, from int) {
			for k, o := range odd {
				s := spec(from+k, wire.Array, 1, 2)
				if o.spec != nil {
					o.spec(s)
				}
				for _, i := range at {
					if code, _ := w.CallAt(i, "submit", s.ID, body(s, o.field, o.value)); code != o.code {
						t.Errorf("%s, node %d: %s = %v got %d instead of %d", how, i, o.field, o.value, code, o.code)
					}
				}
			}
		}
		all("leader and followers", []int{lead, (lead + 1) % 3}, 1000)
		// A user who repeats what was accepted hears of it, whatever else is in the body.
		again := func(how string, id *wire.JobSpec, at int) {
			for _, o := range odd {
				if code, _ := w.CallAt(at, "submit", id.ID, body(id, o.field, o.value)); code != 200 && code != 503 && code != 429 {
					t.Errorf("%s: %s again with %s = %v got %d", how, id.ID, o.field, o.value, code)
				}
			}
		}
		again("done", good, lead)
		if code, s := w.CallAt(lead, "cancel", good.ID, nil); code != 200 || s.State != wire.JobDone {
			t.Errorf("a job that is done was cancelled: %d %+v", code, s)
		}
		// By the intake: the followers don't reach the leader.
		partLinks(w, true)
		time.Sleep(2 * time.Second)
		for k, o := range odd {
			s := spec(2000+k, wire.Array, 1, 2)
			if o.spec != nil {
				o.spec(s)
			}
			code := 0
			for range 40 { // the intake's share of the writes is small
				if code, _ = w.CallAt((lead+1)%3, "submit", s.ID, body(s, o.field, o.value)); code != http.StatusServiceUnavailable {
					break
				}
				time.Sleep(500 * time.Millisecond)
			}
			if code != o.code {
				t.Errorf("by the intake: %s = %v got %d instead of %d", o.field, o.value, code, o.code)
			}
		}
		// Only the intake has it: nobody leads.
		for k := range 3 {
			w.RefuseState(k, k == lead)
		}
		time.Sleep(500 * time.Millisecond)
		held := spec(3000, wire.Array, 1, 2)
		w.Referee.Know(held)
		code := 0
		for i := 0; code != 201 && i < 40; i++ {
			code, _ = w.CallAt((lead+1)%3, "submit", held.ID, body(held, "", nil))
			time.Sleep(50 * time.Millisecond)
		}
		if code != 201 {
			t.Errorf("the intake answered %d", code)
		}
		again("in the intake", held, (lead+2)%3)
		w.RefuseState(lead, false)
		partLinks(w, false)
		time.Sleep(8 * time.Second)
		again("taken up", held, max(0, leaderOf()))
		waitFor(t, w, held.ID, wire.JobDone, time.Minute)
	})
}

// missing stands for a field that is left out.
var missing = new(int)
