package controller

import (
	"log/slog"
	"testing"
	"time"

	"fieldhill/internal/emulator"
	"fieldhill/internal/platform/kvstore"
	"fieldhill/internal/replication/candidacy"
	"fieldhill/internal/replication/election"
	"fieldhill/internal/replication/oplog"
	"fieldhill/wire"
)

// leadsWithin waits until a node leads other than the one named, and returns it and how long that took.
func leadsWithin(t *testing.T, not int, within time.Duration) (i int, took time.Duration) {
	t.Helper()
	began := time.Now()
	for time.Since(began) < within {
		if i = leaderOf(); i >= 0 && i != not {
			return i, time.Since(began)
		}
		time.Sleep(10 * time.Millisecond)
	}
	t.Fatalf("nobody but node %d led within %v", not, within)
	return -1, 0
}

// TestCrashLoop: a leader that ends again and again, each time back within a fraction of a second, used to take the lead again
// itself, cold, while the others ran on. Now another leads as soon as its new process has ended the old lease, and keeps the
// lead through all later ends. Work goes on: nothing is started anew.
func TestCrashLoop(t *testing.T) {
	for k, back := range []time.Duration{20 * time.Millisecond, 200 * time.Millisecond, 300 * time.Millisecond} {
		inWorld(t, uint64(40+k), func(w *emulator.World) {
			time.Sleep(6 * time.Second)
			for n := 1; n <= 4; n++ {
				w.Submit(web(n, 1, "small"))
			}
			time.Sleep(30 * time.Second)
			starts := w.Referee.Starts()
			first := leaderOf()
			w.Restart(first, back)
			now, took := leadsWithin(t, first, 3*time.Second)
			if took > 500*time.Millisecond {
				t.Errorf("another node led %v after the new process began", took)
			}
			for range 8 {
				time.Sleep(2 * time.Second)
				w.Restart(first, back)
				time.Sleep(500 * time.Millisecond)
				if i := leaderOf(); i != now {
					t.Errorf("node %d leads instead of %d", i, now)
				}
			}
			time.Sleep(30 * time.Second)
			if k := w.Referee.Starts() - starts; k != 0 {
				t.Errorf("%d tasks were started anew", k)
			}
		})
	}
}

// TestAllFresh: where all processes are equally cold, or the others are gone or can't be heard of, a fresh one leads all the same.
func TestAllFresh(t *testing.T) {
	for name, c := range map[string]struct {
		end    func(w *emulator.World)
		within time.Duration
	}{
		"all end at once and are back one after the other": {func(w *emulator.World) {
			for i := range 3 {
				w.Kill(i)
			}
			for i := range 3 {
				time.Sleep(200 * time.Millisecond)
				w.Start(i)
			}
		}, 600 * time.Millisecond},
		"all end and one comes back": {func(w *emulator.World) {
			i := leaderOf()
			for k := range 3 {
				w.Kill(k)
			}
			time.Sleep(200 * time.Millisecond)
			w.Start(i)
		}, 1300 * time.Millisecond},
		"the others are parted from it": {func(w *emulator.World) {
			i := leaderOf()
			w.CutNode(i, (i+1)%3, true)
			w.CutNode(i, (i+2)%3, true)
			w.Kill((i + 1) % 3)
			w.Kill((i + 2) % 3)
			w.Restart(i, 200*time.Millisecond)
		}, 1300 * time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			inWorld(t, 50, func(w *emulator.World) {
				time.Sleep(6 * time.Second)
				w.Submit(web(1, 1, "small"))
				time.Sleep(20 * time.Second)
				c.end(w)
				_, took := leadsWithin(t, -1, 5*time.Second)
				t.Logf("led after %v", took)
				if took > c.within {
					t.Errorf("a node led after %v", took)
				}
			})
		})
	}
}

// TestPartedFreshStandsBack: a fresh process that hears of nobody, since links are refused, leaves the lead to a warm one
// that sees the same key go.
func TestPartedFreshStandsBack(t *testing.T) {
	inWorld(t, 51, func(w *emulator.World) {
		time.Sleep(10 * time.Second)
		i := leaderOf()
		w.CutNode(i, (i+1)%3, true)
		w.CutNode(i, (i+2)%3, true)
		time.Sleep(3 * time.Second)
		w.Restart(i, 200*time.Millisecond)
		leadsWithin(t, i, 500*time.Millisecond)
	})
}

// TestGhostLead: a transaction that takes the lead for a process that has ended is carried out after the next one has read the log.
// The key names a node that runs and does not lead; it ends that lease instead of everybody waiting for its end.
func TestGhostLead(t *testing.T) {
	inWorld(t, 54, func(w *emulator.World) {
		time.Sleep(10 * time.Second)
		i := leaderOf()
		var old oplog.Leader
		n := nodeAt(i)
		n.ask(func() { old = n.role.ld })
		svc := kvstore.New(w.Net.Host("late"), n.set.Endpoints.State, 100)
		defer svc.Close()
		w.Kill(i)
		for k := range 2 {
			freeze(w, (i+1+k)%3, 100*time.Millisecond)
		}
		if err := svc.Revoke(w.Context(), old.Lease); err != nil {
			t.Fatal(err)
		}
		won, err := election.Acquire(w.Context(), svc, emulator.NodeName((i+1)%3), slog.New(slog.DiscardHandler))
		if err != nil {
			t.Fatal(err)
		}
		began := time.Now()
		k, _ := leadsWithin(t, -1, 3*time.Second)
		if took := time.Since(began); took > 500*time.Millisecond {
			t.Errorf("a node led after %v", took)
		}
		n = nodeAt(k)
		n.ask(func() {
			if n.role.ld.Term != won.Term+1 {
				t.Errorf("term %d is led, after %d was nobody's", n.role.ld.Term, won.Term)
			}
		})
	})
}

// TestAskedBeforeItKnows: a process that has just begun, of which nobody noticed that the one before it ended, is asked at once.
// It calls no job unknown, ends no worker's lease, and says when to come back.
func TestAskedBeforeItKnows(t *testing.T) {
	inWorld(t, 52, func(w *emulator.World) {
		time.Sleep(6 * time.Second)
		w.Submit(web(1, 1, "small"))
		time.Sleep(20 * time.Second)
		i := (leaderOf() + 1) % 3
		w.State.SetSlow(400 * time.Millisecond) // so that there is time to ask
		w.Restart(i, 20*time.Millisecond)
		time.Sleep(20 * time.Millisecond)
		n := nodeAt(i)
		loaded := true
		n.ask(func() { loaded = n.loaded })
		if loaded {
			t.Error("the log was read already: the test is for before")
		}
		if a := n.Report(w.Context(), &wire.Report{Machine: "host-000001", Session: 1, Seq: 1}); a.Status != 421 {
			t.Errorf("a report got %d", a.Status)
		}
		for range 10 { // the job that there is, at any time from here on
			if code, _ := w.CallAt(i, "poll", "req-000001", nil); code != 200 && code != 503 {
				t.Errorf("a poll got %d", code)
			}
			time.Sleep(100 * time.Millisecond)
		}
		w.State.SetSlow(3 * time.Millisecond)
		time.Sleep(40 * time.Second)
		if k := w.Referee.Running("req-000001"); k != 1 {
			t.Errorf("%d replicas run", k)
		}
	})
}

// TestInTouchWhenIdle: where nothing happens a follower is in touch with the state service all the same. By the age of
// its replica it was not for a third of the time, and passed users on to others.
func TestInTouchWhenIdle(t *testing.T) {
	inWorld(t, 53, func(w *emulator.World) {
		time.Sleep(30 * time.Second)
		n := nodeAt((leaderOf() + 1) % 3)
		for range 100 {
			time.Sleep(107 * time.Millisecond)
			if _, in := n.standing(); !in {
				t.Fatal("a follower says that it does not reach the state service")
			}
		}
		w.State.SetOutage(true)
		time.Sleep(2*followFor + linkFresh) // a watch that was open may still be answered
		if _, in := n.standing(); in {
			t.Error("a follower says in an outage that it reaches the state service")
		}
		w.State.SetOutage(false)
	})
}

// TestTakeoverInParts: one silent machine with work does not keep what is urgent from its place: it is placed while the machine is
// still asked, which takes more than a second. Every part of the takeover is known, in its order.
func TestTakeoverInParts(t *testing.T) {
	inWorld(t, 55, func(w *emulator.World) {
		settle(w, 5)
		hangOne(w, 40*time.Second)
		i := leaderOf()
		w.Restart(i, 200*time.Millisecond)
		k, _ := leadsWithin(t, i, 3*time.Second)
		began := time.Now()
		j := web(10, 0.5, "small")
		w.Submit(j)
		waitToRun(w, j.ID, began)
		if d := time.Since(began); d > time.Second {
			t.Errorf("a service ran %v after the lead", d)
		}
		time.Sleep(3 * time.Second)
		var line candidacy.Timeline
		n := nodeAt(k)
		n.ask(func() { line = n.role.line })
		last := time.Duration(-1)
		for p := range candidacy.Heard {
			after, came := line.After(p)
			if !came || after < last {
				t.Errorf("%s: %v, %v; the part before it came after %v", p, came, after, last)
			}
			last = after
		}
		leads, _ := line.After(candidacy.Leads)
		heard, came := line.After(candidacy.Heard)
		if !came || leads > 500*time.Millisecond || heard-leads < time.Second {
			t.Errorf("it led after %v, and had heard of all after %v (%v)", leads, heard, came)
		}
	})
}

// TestTakeoverWithZoneCut: a new leader does not wait for each machine of a zone that is cut off: once some were asked in vain, and none of
// it was heard of while others were, the rest is not waited for, and not asked before them. They count as placed where they are.
func TestTakeoverWithZoneCut(t *testing.T) {
	defer func(n int) { probesAtOnce = n }(probesAtOnce)
	probesAtOnce = 6
	inWorldOf(t, 56, usualTeams, func(w *emulator.World) {
		w.Cloud.Capacity(20)
		settle(w, 20)
		first := leaderOf()
		starts := w.Referee.Starts()
		held := 0
		for _, wk := range w.Cloud.Up() {
			if wk.Zone == "b" && w.Referee.Holds(wk.Name) {
				held++
			}
		}
		if held < muteAfter+2 {
			t.Fatalf("zone b holds work on %d machines only", held)
		}
		for k := range 3 {
			w.CutWorkers("b", k, true)
		}
		w.Restart(first, 200*time.Millisecond)
		k, _ := leadsWithin(t, first, 3*time.Second)
		time.Sleep(4 * time.Second)
		n := nodeAt(k)
		n.ask(func() {
			leads, _ := n.role.line.After(candidacy.Leads)
			if heard, came := n.role.line.After(candidacy.Heard); !came || heard-leads > 2*time.Second {
				t.Errorf("it had heard of all that can be heard of %v after it led (%v)", heard-leads, came)
			}
		})
		for k := range 3 {
			w.CutWorkers("b", k, false)
		}
		time.Sleep(20 * time.Second)
		if d := w.Referee.Starts() - starts; d != 0 {
			t.Errorf("%d tasks were started anew", d)
		}
	})
}
