package controller

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"sync/atomic"
	"testing"
	"time"

	"fieldhill/internal/emulator"
	"fieldhill/wire"
)

// These tests bring about meetings with a change of leader.

// handOver has the lead change hands in a drawn way: the leader ends, is refused by the state service, or stands still; now and then in an outage for all. It
// returns what ends it.
func handOver(w *emulator.World, rng *rand.Rand) (end func()) {
	i := max(0, leaderOf())
	if rng.IntN(3) == 0 {
		w.State.SetOutage(true)
		time.AfterFunc(time.Duration(500+rng.IntN(5000))*time.Millisecond, func() { w.State.SetOutage(false) })
	}
	switch rng.IntN(3) {
	case 0:
		w.Restart(i, time.Duration(20+rng.IntN(900))*time.Millisecond)
	case 1:
		w.RefuseState(i, true)
		return func() { w.RefuseState(i, false) }
	default:
		freeze(w, i, 4*time.Second)
	}
	return func() {}
}

// TestCancelledAtHandOver: leaders change ten times in two minutes, also inside an outage, and jobs are cancelled in the seconds around each change, while their tasks fetch and
// run; with duties held one by one too. They are gone in time; what starts after the confirmation is counted.
func TestCancelledAtHandOver(t *testing.T) {
	defer func() { oneByOne = false }()
	for _, oneByOne = range []bool{false, true} {
		t.Run(fmt.Sprintf("duties one by one %v", oneByOne), cancelledAtHandOver)
	}
}

func cancelledAtHandOver(t *testing.T) {
	cancelled, late := atomic.Int64{}, 0
	meet(t, 1, 70, func(t *testing.T, w *emulator.World, seed uint64, rng *rand.Rand) {
		settle(w, 3)
		terms := map[uint64]bool{}
		n := 100
		for range 10 {
			for range 6 { // some fetch, some run when the lead changes
				j := spec(n, wire.Array, 1+rng.IntN(3), 30)
				j.CPUs, j.Priority, j.Image = 0.25, wire.High, fmt.Sprint("img-", n%9)
				n++
				cancel := time.Duration(500+rng.IntN(7000)) * time.Millisecond
				go func() {
					w.Submit(j)
					time.Sleep(cancel)
					if w.Cancel(j.ID) == 200 {
						cancelled.Add(1)
					}
				}()
				time.Sleep(time.Duration(rng.IntN(400)) * time.Millisecond)
			}
			end := handOver(w, rng)
			time.Sleep(time.Duration(6000+rng.IntN(3000)) * time.Millisecond)
			end()
			if nd := nodeAt(max(0, leaderOf())); nd != nil {
				nd.ask(func() {
					if nd.leader != nil {
						terms[nd.leader.Term] = true
					}
				})
			}
		}
		if len(terms) < 7 {
			t.Errorf("%d leaders were seen: the meeting did not take place", len(terms))
		}
		time.Sleep(70 * time.Second)
		for k := 100; k < n; k++ {
			if code, s := w.Call("poll", wire.JobID(uint64(k)), nil); code != 404 && (code != 200 || s.State != wire.JobDone && s.State != wire.JobCancelled) {
				t.Errorf("%d: %d %+v", k, code, s)
			}
		}
		if k := upOf(w, 3); k != 3 {
			t.Errorf("%d of 3 services run", k)
		}
		late += w.Referee.LateStarts()
	})
	t.Logf("%d jobs were cancelled, %d tasks started after that was confirmed", cancelled.Load(), late)
	if cancelled.Load() < 30 {
		t.Errorf("%d jobs were cancelled: the meeting did not take place", cancelled.Load())
	}
}

// TestCancelledAtTheRefusal: jobs are cancelled at the very moment at which the state service refuses the leader alone, and a second later it is out for all for longer than a
// cancellation has. Whoever was told so finds the tasks gone in time.
func TestCancelledAtTheRefusal(t *testing.T) {
	var told atomic.Int64
	meet(t, 2, 72, func(t *testing.T, w *emulator.World, seed uint64, rng *rand.Rand) {
		settle(w, 4)
		var ids []string
		for n := 100; n < 124; n++ {
			j := spec(n, wire.Array, 1+rng.IntN(2), 400)
			j.CPUs, j.Priority = 0.25, wire.High
			w.Submit(j)
			ids = append(ids, j.ID)
		}
		time.Sleep(15 * time.Second)
		lead := max(0, leaderOf())
		go func() {
			time.Sleep(time.Duration(rng.IntN(40)) * time.Millisecond)
			w.RefuseState(lead, true)
		}()
		for _, id := range ids[:20] {
			go func() {
				if code, _ := w.CallAt(lead, "cancel", id, nil); code == 200 {
					told.Add(1)
				}
			}()
			time.Sleep(2 * time.Millisecond)
		}
		time.Sleep(time.Second)
		w.State.SetOutage(true)
		time.Sleep(65 * time.Second)
		w.State.SetOutage(false)
		w.RefuseState(lead, false)
		time.Sleep(40 * time.Second)
		for _, id := range ids[20:] { // its user asked for nothing
			if w.Referee.Running(id) == 0 {
				t.Errorf("%s, which was not cancelled, does not run", id)
			}
		}
	})
	if told.Load() == 0 {
		t.Error("no cancellation was confirmed: the meeting did not take place")
	}
}

// TestOldReportsForTheNextLeader: copies of reports are kept, of machines that were returned, that began anew, whose sessions went on, that hang and that are suspect, and reach every
// controller just as a new leader begins, and a moment before and after. They prove nothing: nothing starts twice, and nothing anew that ran.
func TestOldReportsForTheNextLeader(t *testing.T) {
	meet(t, 2, 74, func(t *testing.T, w *emulator.World, seed uint64, rng *rand.Rand) {
		settle(w, 5)
		w.KeepCopies(0.5)
		sent, n := 0, 100
		for range 4 {
			for range 4 {
				j := spec(n, wire.Array, 1+rng.IntN(4), 4+30*rng.Float64())
				j.CPUs, j.Priority = 0.5, wire.High
				n++
				w.Submit(j)
			}
			time.Sleep(time.Duration(5000+rng.IntN(8000)) * time.Millisecond)
			for _, wk := range w.Cloud.Up() {
				switch rng.IntN(8) {
				case 0:
					wk.Reboot(rng.IntN(2) == 0)
				case 1:
					wk.Hang(time.Duration(rng.IntN(20)) * time.Second)
				case 2:
					if !w.Referee.Holds(wk.Name) {
						w.Cloud.Take(wk.Name)
					}
				}
			}
			if rng.IntN(2) == 0 {
				cutZoneB(w, true)
				time.Sleep(time.Duration(rng.IntN(15000)) * time.Millisecond)
			}
			old := max(0, leaderOf())
			w.Kill(old)
			for _, wk := range w.Cloud.Up() { // the copies are there before the answers to the next leader's questions
				if rng.IntN(3) > 0 {
					wk.Hang(time.Duration(3000+rng.IntN(3000)) * time.Millisecond)
				}
			}
			for began := time.Now(); time.Since(began) < 15*time.Second; {
				if l := leaderOf(); l >= 0 && l != old {
					sent += w.SendKept()
					break
				}
				if rng.IntN(40) == 0 {
					w.SendKept()
				}
				time.Sleep(20 * time.Millisecond)
			}
			time.Sleep(time.Duration(rng.IntN(2000)) * time.Millisecond)
			w.SendKept()
			cutZoneB(w, false)
			w.Start(old)
		}
		w.KeepCopies(0)
		if sent < 40 {
			t.Errorf("%d copies came as a leader began: the meeting did not take place", sent)
		}
		for k := 100; k < n; k++ {
			waitFor(t, w, wire.JobID(uint64(k)), wire.JobDone, 3*time.Minute)
		}
		if k := upOf(w, 5); k != 5 {
			t.Errorf("%d of 5 services run", k)
		}
	})
}

// TestAtTheLimit: every team is at its limit, with more waiting, while jobs are cancelled whose machines are cut off or hang, and the leader changes. What a cancelled job still has
// counts until it is evidently gone, through the log and its snapshot (a compaction every few batches): no team goes over its limit. Afterwards each has all of it again.
func TestAtTheLimit(t *testing.T) {
	defer func() { compactEvery = 0 }()
	compactEvery = 5
	meet(t, 2, 76, func(t *testing.T, w *emulator.World, seed uint64, rng *rand.Rand) {
		settle(w, 1)
		teams := []string{"red", "blue"}
		n := 100
		submit := func(team string, run float64) string {
			j := spec(n, wire.Array, 2, run)
			n++
			j.Team, j.Priority, j.CPUs = team, wire.High, 1
			if rng.IntN(3) == 0 {
				j.Shape, j.CheckpointS, j.SaveS = wire.Gang, 3, 2
			}
			w.Submit(j)
			return j.ID
		}
		ids := map[string][]string{}
		for _, team := range teams {
			for range 14 { // more than the limit, which is 24 and 20 CPUs
				ids[team] = append(ids[team], submit(team, 1000))
			}
		}
		time.Sleep(45 * time.Second)
		atLimit := func(when string) {
			for _, team := range teams {
				l := w.Params.Teams[slices.IndexFunc(w.Params.Teams, func(t teamOf) bool { return t.Name == team })].CPUsMax
				if used := w.Referee.Used(team); used < l-1.5 { // jobs come in pairs of tasks of one CPU, beside a service of three
					t.Errorf("%s: %s uses %g of %g CPUs", when, team, used, l)
				}
			}
		}
		atLimit("before")
		if t.Failed() {
			t.Fatal("the meeting did not take place")
		}
		cut := 0
		for range 3 {
			lasts := time.Duration(10+rng.IntN(60)) * time.Second
			if rng.IntN(2) == 0 {
				cutZoneB(w, true)
				if rng.IntN(2) == 0 {
					cutZone(w, true)
				}
			}
			for _, wk := range w.Cloud.Up() {
				if rng.IntN(3) == 0 {
					wk.Hang(time.Duration(rng.IntN(int(lasts))))
				}
			}
			for _, team := range teams {
				for range 4 {
					k := rng.IntN(len(ids[team]))
					id := ids[team][k]
					ids[team] = slices.Delete(ids[team], k, k+1)
					cut += w.Referee.Running(id)
					go w.Cancel(id)
					ids[team] = append(ids[team], submit(team, 1000)) // what waits goes for the room
				}
			}
			time.Sleep(time.Duration(rng.IntN(3000)) * time.Millisecond)
			w.Restart(max(0, leaderOf()), time.Duration(20+rng.IntN(900))*time.Millisecond)
			time.Sleep(lasts)
			cutZoneB(w, false)
			cutZone(w, false)
			time.Sleep(time.Duration(rng.IntN(10000)) * time.Millisecond)
		}
		if cut < 12 {
			t.Errorf("%d tasks were on machines as their jobs were cancelled: the meeting did not take place", cut)
		}
		time.Sleep(60 * time.Second)
		atLimit("afterwards")
	})
}
