package scheduler

import (
	"math/rand/v2"
	"slices"
	"testing"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"fieldhill/internal/config"
	"fieldhill/internal/model"
	"fieldhill/wire"
)

// plainPart finds the fair part by trying: the most that a team may have while all get what they
// want of up to so much.
func plainPart(wants []float64, cpus float64) float64 {
	part := 0.0
	for p := 0.0; p < 1000; p += 0.25 {
		sum := 0.0
		for _, w := range wants {
			sum += min(w, p)
		}
		if sum > cpus {
			return part
		}
		part = p
	}
	return 1000
}

// TestFairPart compares the fair part with that of a plain search.
func TestFairPart(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		cpus := float64(rapid.IntRange(0, 100).Draw(rt, "cpus"))
		var teams []tally
		var wants []float64
		for range rapid.IntRange(1, 6).Draw(rt, "teams") {
			w := float64(rapid.IntRange(0, 80).Draw(rt, "wants"))
			teams, wants = append(teams, tally{wants: w}), append(wants, w)
		}
		got, want := min(1000, fairPart(teams, cpus)), plainPart(wants, cpus)
		if got < want-1e-9 || got > want+0.25 {
			rt.Errorf("%v of %g CPUs: the fair part is %g, plainly it is %g", wants, cpus, got, want)
		}
	})
}

// TestFloor: a class of large arrays that shortest first would leave out for good gets its turn, and
// stops having it once it is served.
func TestFloor(t *testing.T) {
	w := newWorld(t, 4) // one of them is a spot machine
	s := New(Params{Beta: 0.8, Threshold: 0.5})
	n := uint64(0)
	small := func() {
		for range 4 {
			n++
			w.submit(n, func(s *wire.JobSpec) { s.Tasks, s.EstimateS, s.Team, s.Class = 3, 10, "red", "small" })
		}
	}
	large := w.submit(900, func(s *wire.JobSpec) { s.Tasks, s.EstimateS, s.Team, s.Class = 30, 10, "red", "large" })
	end := func() {
		for _, mc := range w.m.Order {
			for _, r := range append([]*model.Run(nil), mc.Runs...) {
				w.apply(&model.Entry{Kind: model.EntryDone, Job: r.Job.ID, Task: r.Task, Attempt: r.Attempt})
			}
		}
	}
	for round := range 12 { // twelve CPUs in a round, and as much work of the small ones
		small()
		s.Round(w.m, model.Time(100+10*round)*1e9, true, w)
		end()
	}
	if share, _ := s.ClassStanding(large.Class); large.Done < 20 || share < floorAt-0.1 {
		t.Errorf("%d of 30 tasks of the large array are done, served %.2f", large.Done, share)
	}
	if done := w.m.ByTeam[0].Done; done < 24 {
		t.Errorf("%d of 48 small arrays are done", done)
	}
}

// TestFloorStopsNothing: what is owed goes first, but neither it nor a part of a guarantee that its
// team has outgrown stops other low work: two teams once stopped each other's tasks by the thousand, each
// for what the other had just been stopped for.
func TestFloorStopsNothing(t *testing.T) {
	w := newWorld(t, 6)
	s := New(Params{Beta: 0.8, Threshold: 0.5})
	w.m.Teams[0].CPUs, w.m.Teams[0].CPUsMax = 8, 0 // as much as blue has
	for n := range uint64(24) {
		w.submit(n+1, func(s *wire.JobSpec) {
			s.Tasks, s.EstimateS, s.Spot = 2, 30, true
			if s.Team = "red"; n < 12 {
				s.Team = "blue"
			}
		})
		if n == 11 { // blue fills all machines, far beyond its guarantee
			s.Round(w.m, 100e9, true, w)
		}
	}
	for round := range 20 {
		s.Round(w.m, model.Time(120+round)*1e9, true, w)
	}
	if len(w.placed) != 24 || len(w.stopped) > 0 {
		t.Errorf("%d low tasks are placed, %d were stopped for others like them", len(w.placed), len(w.stopped))
	}
	// The promise is kept to a team whose work all fits.
	for n := range uint64(10) {
		w.apply(&model.Entry{Kind: model.EntryCancel, Job: model.JobID(15 + n)})
	}
	if s.Round(w.m, 200e9, true, w); len(w.stopped) != 4 {
		t.Errorf("%d low tasks were stopped for four that are within a guarantee", len(w.stopped))
	}
}

// TestOwedIsSpared: work of a class that is well served does not stop what is owed, though it is more
// urgent; while both are owed it does.
func TestOwedIsSpared(t *testing.T) {
	for _, well := range []bool{true, false} {
		w := newWorld(t, 3) // m0, m2 in zone a, m1 in b, 12 CPUs
		s := New(Params{Beta: 0.8, Threshold: 0.5})
		low := w.submit(1, func(s *wire.JobSpec) { s.Tasks, s.Team, s.Class, s.EstimateS = 40, "blue", "low", 20 })
		s.Round(w.m, 0, true, w)
		if low.Live != 12 {
			t.Fatalf("%d low tasks are placed", low.Live)
		}
		if well { // many of their class and team are done
			for n := range uint64(20) {
				w.submit(100+n, func(s *wire.JobSpec) { s.Team, s.Class = "red", "sim" })
				w.apply(&model.Entry{Kind: model.EntryDone, Job: model.JobID(100 + n), Task: 0})
			}
		}
		gang := w.submit(2, func(s *wire.JobSpec) {
			s.Shape, s.Priority, s.CPUs, s.Team, s.Class = wire.Gang, wire.High, 4, "red", "sim"
		})
		other := w.submit(3, func(s *wire.JobSpec) {
			s.Shape, s.Priority, s.CPUs, s.Team, s.Class, s.Tasks = wire.Gang, wire.High, 4, "red", "sim", 2
		})
		w.m.Teams[0].CPUs = 0 // no guarantee for them
		for round := range 5 {
			s.Round(w.m, model.Time(60+round)*1e9, true, w)
		}
		if _, owed := s.ClassStanding(gang.Class); owed == well {
			t.Fatalf("the gangs' class is owed %v", owed)
		}
		if (len(w.stopped) == 0) != well {
			t.Errorf("the gangs' class served well %v: %d low tasks were stopped; %d and %d members run", well, len(w.stopped), gang.Live, other.Live)
		}
	}
}

// TestOwedGangsSmallestFirst: of a team whose gangs want more than there is, large early ones kept many small late ones from
// starting, by being first for the guarantee and first of all after a minute's waiting, and less than half of the class was
// done. While the class is owed the small ones pass; who has waited for very long passes them in turn.
func TestOwedGangsSmallestFirst(t *testing.T) {
	w := newWorld(t, 4)
	w.m.Teams[0].CPUs, w.m.Teams[0].CPUsMax = 32, 0
	w.submit(100, func(s *wire.JobSpec) { s.Team, s.Tasks, s.Types = "red", 40, []string{"none"} }) // red wants more than its guarantee
	s := New(Params{Beta: 0.8, Threshold: 0.5, Objectives: []config.Objective{{Kind: "guarantee", WithinS: 5, Share: 0.9}}})
	n := uint64(0)
	gang := func(tasks int) *model.Job {
		n++
		return w.submit(n, func(s *wire.JobSpec) {
			s.Shape, s.Team, s.Class, s.Priority, s.CPUs, s.Tasks, s.EstimateS, s.Spot = wire.Gang, "red", "sim", wire.High, 4, tasks, 100, true
		})
	}
	end := func(j *model.Job) {
		for i := range j.Tasks {
			if r := j.Tasks[i].Run; r != nil {
				w.apply(&model.Entry{Kind: model.EntryDone, Job: j.ID, Task: r.Task, Attempt: r.Attempt})
			}
		}
	}
	first := gang(4)
	s.Round(w.m, 0, true, w)
	large := []*model.Job{gang(4), gang(4), gang(4)}
	var small []*model.Job
	for range 6 {
		small = append(small, gang(1))
	}
	s.Round(w.m, 90e9, true, w) // now the class is owed
	if first.Live != 4 || len(w.stopped) != 0 {
		t.Fatalf("the first gang has %d tasks, %v were stopped", first.Live, w.stopped)
	}
	end(first)
	s.Round(w.m, 100e9, true, w)
	begun := 0
	for _, j := range small {
		begun += j.Live
	}
	if begun != 4 || len(w.stopped) != 0 {
		t.Fatalf("%d small gangs began, should be 4; %v were stopped", begun, w.stopped)
	}
	for _, j := range small {
		end(j)
	}
	s.Round(w.m, 700e9, true, w)
	if large[0].Live != 4 {
		t.Errorf("after 700 s the first large gang has %d tasks in their places", large[0].Live)
	}
}

// TestCrowdedGangsAsPlain: gangs that don't look for room, since one before them found none, decide as if they had looked.
func TestCrowdedGangsAsPlain(t *testing.T) {
	looked := [2]int{}
	for seed := range uint64(40) {
		var worlds [2]*world
		for k := range worlds {
			rng := rand.New(rand.NewPCG(seed, 5))
			w := newWorld(t, 10)
			worlds[k] = w
			s := New(Params{Beta: 0.8, Threshold: 0.5, WaitRounds: 2})
			s.plain = k == 1
			n := uint64(0)
			for round := range 50 {
				for range rng.IntN(4) {
					n++
					w.submit(n, func(s *wire.JobSpec) {
						s.Team = []string{"red", "blue"}[rng.IntN(2)]
						s.Tasks, s.CPUs, s.Spot = 1+rng.IntN(4), float64(1+rng.IntN(4)), rng.IntN(2) == 0
						if rng.IntN(4) > 0 {
							s.Shape, s.SameZone, s.Priority = wire.Gang, rng.IntN(2) == 0, []string{wire.Normal, wire.High}[rng.IntN(2)]
						}
					})
				}
				s.Round(w.m, model.Time(round)*10e9, true, w)
				looked[k] += s.Looked
				for _, mc := range w.m.Order {
					w.leave(mc)
					for _, r := range slices.Clone(mc.Runs) {
						if rng.IntN(5) == 0 {
							w.apply(&model.Entry{Kind: model.EntryDone, Job: r.Job.ID, Task: r.Task, Attempt: r.Attempt})
						}
					}
				}
			}
		}
		if d := cmp.Diff(worlds[1].placed, worlds[0].placed) + cmp.Diff(worlds[1].stopped, worlds[0].stopped); d != "" {
			t.Fatalf("seed %d: decided otherwise (-plain +as it is): %s", seed, d)
		}
	}
	if t.Logf("looked at %d machines, plainly at %d", looked[0], looked[1]); looked[0] >= looked[1] {
		t.Errorf("looked at %d machines, plainly at %d", looked[0], looked[1])
	}
}
