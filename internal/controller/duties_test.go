package controller

import (
	"slices"
	"testing"
	"time"

	"fieldhill/internal/emulator"
	"fieldhill/internal/replication/singleton"
	"fieldhill/wire"
)

// inSpread runs f in a world whose nodes hold duties one by one.
func inSpread(t *testing.T, seed uint64, f func(w *emulator.World)) {
	oneByOne = true
	defer func() { oneByOne = false }()
	inWorld(t, seed, f)
}

// holderOf finds the node that holds a duty, or -1.
func holderOf(name singleton.Name) int {
	for i := range 3 {
		holds := false
		if n := nodeAt(i); n != nil && n.duties != nil {
			n.ask(func() { holds = n.duties.keepers[name].Trusted(n.now()) })
		}
		if holds {
			return i
		}
	}
	return -1
}

// known compares the machines that the cloud has with those that the leader knows, and demands that no rental is open.
func known(t *testing.T, w *emulator.World) {
	t.Helper()
	n := nodeAt(leaderOf())
	n.ask(func() {
		if len(n.m.Intents) > 0 {
			t.Errorf("rentals are still under way: %+v", n.m.Intents)
		}
		if up := len(w.Cloud.Up()); up != len(n.m.Order) {
			t.Errorf("%d machines are rented, %d are known", up, len(n.m.Order))
		}
	})
}

// TestDutiesElsewhere: who deals with the cloud need not lead, and when it stands still another goes on within the
// time of its lease; what it does when it wakes changes nothing.
func TestDutiesElsewhere(t *testing.T) {
	inSpread(t, 41, func(w *emulator.World) {
		time.Sleep(45 * time.Second) // the leader has had the time to give away what it took first
		leader, holder := leaderOf(), holderOf(singleton.Rent)
		if leader < 0 || holder < 0 || leader == holder {
			t.Fatalf("%d leads, %d deals with the cloud", leader, holder)
		}
		w.Submit(spec(1, wire.Array, 12, 20))
		waitFor(t, w, "req-000001", wire.JobRunning, 30*time.Second)
		w.Submit(web(2, 4, "small")) // machines are rented for it
		freeze(w, holder, 40*time.Second)
		began, rented := time.Now(), w.Cloud.Rented()
		w.Submit(web(3, 16, "large"))
		for w.Cloud.Rented() == rented && time.Since(began) < 30*time.Second {
			time.Sleep(100 * time.Millisecond)
		}
		if took := time.Since(began); took > 10*time.Second {
			t.Errorf("nothing was rented for %v after the holder stood still", took)
		}
		if h := holderOf(singleton.Rent); h == holder || h < 0 {
			t.Errorf("%d deals with the cloud", h)
		}
		waitFor(t, w, "req-000003", wire.JobRunning, 30*time.Second)
		time.Sleep(60 * time.Second)
		known(t, w)
		// Whoever is asked tells the same of who holds what.
		for i := range 3 {
			var d wire.Duties
			if _, err := askOp(w, i, wire.PathOpDuties, &d); err != nil || !d.Spread || len(d.Duties) != 2 || len(d.Rentals) != 0 {
				t.Fatalf("%d tells %+v, %v", i, d, err)
			}
			if at := holderOf(singleton.Rent); at >= 0 && d.Duties[0].Holder != emulator.NodeName(at) {
				t.Errorf("%d takes %s for who deals with the cloud, it is %d", i, d.Duties[0].Holder, at)
			}
		}
	})
}

// TestHolderWithoutCloud: a holder that alone does not reach the cloud gives the duty up, though it is well otherwise,
// and stands back; another one takes it. When none of them reaches it they have longer patience, and go on trying.
func TestHolderWithoutCloud(t *testing.T) {
	inSpread(t, 42, func(w *emulator.World) {
		time.Sleep(45 * time.Second)
		holder := holderOf(singleton.Rent)
		w.CutCloud(holder, true)
		time.Sleep(singleton.Usual(singleton.Rent).Patience + 8*time.Second)
		next := holderOf(singleton.Rent)
		if next == holder || next < 0 {
			t.Fatalf("%d deals with the cloud, which it does not reach", next)
		}
		w.Submit(web(1, 4, "small"))
		waitFor(t, w, "req-000001", wire.JobRunning, 40*time.Second)
		for i := range 3 {
			w.CutCloud(i, true)
		}
		moves, last, end := 0, next, time.Now().Add(5*time.Minute)
		for time.Now().Before(end) {
			time.Sleep(time.Second)
			if h := holderOf(singleton.Rent); h >= 0 && h != last {
				moves, last = moves+1, h
			}
		}
		if moves < 2 || moves > 9 {
			t.Errorf("the duty changed hands %d times in five minutes in which nobody could do it", moves)
		}
		for i := range 3 {
			w.CutCloud(i, false)
		}
		w.Submit(web(2, 16, "large"))
		waitFor(t, w, "req-000002", wire.JobRunning, 90*time.Second)
		time.Sleep(30 * time.Second)
		known(t, w)
	})
}

// TestRentalAnswerLost: the answer to a rental is lost, and all controllers end. The log has what was asked for, and the next
// holder asks again under that name: nothing is rented twice.
func TestRentalAnswerLost(t *testing.T) {
	inSpread(t, 43, func(w *emulator.World) {
		time.Sleep(10 * time.Second)
		w.Cloud.LoseAnswers(1)
		w.Submit(web(1, 4, "small"))
		for w.Cloud.Rented() == 0 {
			time.Sleep(20 * time.Millisecond)
		}
		for i := range 3 {
			w.Crash(i)
		}
		rented := w.Cloud.Rented()
		w.Cloud.LoseAnswers(0)
		time.Sleep(3 * time.Second)
		for i := range 3 {
			w.Start(i)
		}
		waitFor(t, w, "req-000001", wire.JobRunning, 40*time.Second)
		time.Sleep(20 * time.Second)
		known(t, w)
		if again := w.Cloud.Rented(); again > rented+1 { // one to stand by
			t.Errorf("%d machines were rented before, %d after", rented, again)
		}
	})
}

// TestOlderNodeBeside: while one node knows nothing of duties, or was started without, the leader does it all, and logs
// nothing that such a node can't read.
func TestOlderNodeBeside(t *testing.T) {
	inSpread(t, 44, func(w *emulator.World) {
		time.Sleep(10 * time.Second)
		w.Crash(2)
		oneByOne = false
		w.Start(2)
		time.Sleep(5 * time.Second)
		for _, name := range []singleton.Name{singleton.Rent, singleton.Clean} {
			if h := holderOf(name); h >= 0 {
				t.Errorf("%d holds %v beside a node that takes no part", h, name)
			}
		}
		w.Submit(web(1, 4, "small"))
		waitFor(t, w, "req-000001", wire.JobRunning, 40*time.Second)
		known(t, w)
		w.Crash(2)
		oneByOne = true
		w.Start(2)
		time.Sleep(10 * time.Second)
		if holderOf(singleton.Rent) < 0 {
			t.Error("nobody deals with the cloud, though all nodes take part")
		}
		w.Submit(web(2, 16, "large"))
		waitFor(t, w, "req-000002", wire.JobRunning, 40*time.Second)
	})
}

// TestNextAct measures how long it takes from the moment at which who deals with the cloud stands still to the next rental:
// with the duty held by itself, and with the leader holding all. It is played with -hard.
func TestNextAct(t *testing.T) {
	if !*hard {
		t.Skip("a measurement: -hard")
	}
	for _, spread := range []bool{false, true} {
		var took []time.Duration
		for seed := uint64(1); seed <= 20; seed++ {
			oneByOne = spread
			inWorld(t, seed, func(w *emulator.World) {
				time.Sleep(45*time.Second + time.Duration(seed)*130*time.Millisecond)
				holder := leaderOf()
				if spread {
					holder = holderOf(singleton.Rent)
				}
				freeze(w, holder, 40*time.Second)
				began, rented := time.Now(), w.Cloud.Rented()
				job := web(3, 16, "large") // by a node that does not stand still
				body, _ := wire.Marshal(job)
				w.Referee.Know(job)
				w.CallAt((holder+1)%3, "submit", job.ID, body)
				for w.Cloud.Rented() == rented && time.Since(began) < 60*time.Second {
					time.Sleep(20 * time.Millisecond)
				}
				took = append(took, time.Since(began))
				writes, _ := w.State.Load()
				time.Sleep(time.Minute)
				if after, _ := w.State.Load(); seed == 20 {
					t.Logf("spread %v: %d writes in a minute without work", spread, after-writes)
				}
			})
		}
		oneByOne = false
		slices.Sort(took)
		t.Logf("spread %v: next rental after %v in the middle, %v at worst", spread, took[len(took)/2], took[len(took)-1])
	}
}
