package scheduler

import (
	"math/rand/v2"
	"testing"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"fieldhill/internal/config"
	"fieldhill/internal/model"
	"fieldhill/wire"
)

// searchFairShare finds the fair share by trying: the most that a team may have while all get what they
// want of up to so much.
func searchFairShare(wants []float64, cpus float64) float64 {
	share := 0.0
	for p := 0.0; p < 1000; p += 0.25 {
		sum := 0.0
		for _, w := range wants {
			sum += min(w, p)
		}
		if sum > cpus {
			return share
		}
		share = p
	}
	return 1000
}

// TestFairShare compares the fair share with that of a plain search.
func TestFairShare(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		cpus := float64(rapid.IntRange(0, 100).Draw(rt, "cpus"))
		var teams []demandTotals
		var wants []float64
		for range rapid.IntRange(1, 6).Draw(rt, "teams") {
			w := float64(rapid.IntRange(0, 80).Draw(rt, "wants"))
			teams, wants = append(teams, demandTotals{wantedCPUs: w}), append(wants, w)
		}
		actual, want := min(1000, fairShare(teams, cpus)), searchFairShare(wants, cpus)
		if actual < want-1e-9 || actual > want+0.25 {
			rt.Errorf("%v of %g CPUs: the fair share is %g, plainly it is %g", wants, cpus, actual, want)
		}
	})
}

// TestMinimumShare: a class of large arrays that shortest first would leave out for good gets its turn, and
// stops having it once it is served.
func TestMinimumShare(t *testing.T) {
	w := newEnvironment(t, 4) // one of them is a spot machine
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
		for _, machine := range w.model.Order {
			w.finishSome(machine, func() bool { return true })
		}
	}
	for round := range 12 { // twelve CPUs in a round, and as much work of the small ones
		small()
		s.Round(w.model, model.Time(100+10*round)*1e9, true, w)
		end()
	}
	if share, _ := s.ClassStanding(large.Class); large.Done < 20 || share < minimumJobShare-0.1 {
		t.Errorf("%d of 30 tasks of the large array are done, served %.2f", large.Done, share)
	}
	if done := w.model.ByTeam[0].Done; done < 24 {
		t.Errorf("%d of 48 small arrays are done", done)
	}
}

// TestMinimumSharePreemptsNothing: what is under-served goes first, but neither it nor a part of a guarantee that its
// team has outgrown preempts other low-priority work: two teams once preempted each other's tasks by the thousand, each
// for what the other had just been preempted for.
func TestMinimumSharePreemptsNothing(t *testing.T) {
	w := newEnvironment(t, 6)
	s := New(Params{Beta: 0.8, Threshold: 0.5})
	w.model.Teams[0].CPUs, w.model.Teams[0].CPUsMax = 8, 0 // as much as blue has
	for n := range uint64(24) {
		w.submit(n+1, func(s *wire.JobSpec) {
			s.Tasks, s.EstimateS, s.Spot = 2, 30, true
			if s.Team = "red"; n < 12 {
				s.Team = "blue"
			}
		})
		if n == 11 { // blue fills all machines, far beyond its guarantee
			s.Round(w.model, 100e9, true, w)
		}
	}
	for round := range 20 {
		s.Round(w.model, model.Time(120+round)*1e9, true, w)
	}
	if len(w.placed) != 24 || len(w.stopped) > 0 {
		t.Errorf("%d low-priority tasks are placed, %d were preempted for equal ones", len(w.placed), len(w.stopped))
	}
	// The promise is kept to a team whose work all fits.
	for n := range uint64(10) {
		w.apply(&model.Entry{Kind: model.EntryCancel, Job: model.JobID(15 + n)})
	}
	if s.Round(w.model, 200e9, true, w); len(w.stopped) != 4 {
		t.Errorf("%d low-priority tasks were preempted for four that are within a guarantee", len(w.stopped))
	}
}

// TestUnderServedIsNotPreempted: work of a class that is well served does not preempt what is under-served, though it
// is more urgent; while both are under-served it does.
func TestUnderServedIsNotPreempted(t *testing.T) {
	for _, wellServed := range []bool{true, false} {
		w := newEnvironment(t, 3) // m0, m2 in zone a, m1 in b, 12 CPUs
		s := New(Params{Beta: 0.8, Threshold: 0.5})
		low := w.submit(1, func(s *wire.JobSpec) { s.Tasks, s.Team, s.Class, s.EstimateS = 40, "blue", "low", 20 })
		s.Round(w.model, 0, true, w)
		if low.Live != 12 {
			t.Fatalf("%d low-priority tasks are placed", low.Live)
		}
		if wellServed { // many of their class and team are done
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
		w.model.Teams[0].CPUs = 0 // no guarantee for them
		for round := range 5 {
			s.Round(w.model, model.Time(60+round)*1e9, true, w)
		}
		if _, underServed := s.ClassStanding(gang.Class); underServed == wellServed {
			t.Fatalf("the gangs' class is under-served %v", underServed)
		}
		if (len(w.stopped) == 0) != wellServed {
			t.Errorf("the gangs' class served well %v: %d low-priority tasks were preempted; %d and %d members run",
				wellServed, len(w.stopped), gang.Live, other.Live)
		}
	}
}

// TestUnderServedGangsSmallestFirst: of a team whose gangs want more than there is, large early ones kept many small
// late ones from starting, by being first for the guarantee and first of all after a minute's waiting, and less than
// half of the class was done. While the class is under-served the small ones pass; who has waited for very long passes
// them in turn.
func TestUnderServedGangsSmallestFirst(t *testing.T) {
	w := newEnvironment(t, 4)
	w.model.Teams[0].CPUs, w.model.Teams[0].CPUsMax = 32, 0
	// red wants more than its guarantee
	w.submit(100, func(s *wire.JobSpec) { s.Team, s.Tasks, s.Types = "red", 40, []string{"none"} })
	guarantee := config.Objective{Kind: "guarantee", WithinS: 5, Share: 0.9}
	s := New(Params{Beta: 0.8, Threshold: 0.5, Objectives: []config.Objective{guarantee}})
	n := uint64(0)
	gang := func(tasks int) *model.Job {
		n++
		return w.submit(n, func(s *wire.JobSpec) {
			s.Shape, s.Team, s.Class, s.Priority = wire.Gang, "red", "sim", wire.High
			s.CPUs, s.Tasks, s.EstimateS, s.Spot = 4, tasks, 100, true
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
	s.Round(w.model, 0, true, w)
	large := []*model.Job{gang(4), gang(4), gang(4)}
	var small []*model.Job
	for range 6 {
		small = append(small, gang(1))
	}
	s.Round(w.model, 90e9, true, w) // now the class is under-served
	if first.Live != 4 || len(w.stopped) != 0 {
		t.Fatalf("the first gang has %d tasks, %v were preempted", first.Live, w.stopped)
	}
	end(first)
	s.Round(w.model, 100e9, true, w)
	begun := 0
	for _, j := range small {
		begun += j.Live
	}
	if begun != 4 || len(w.stopped) != 0 {
		t.Fatalf("%d small gangs began, should be 4; %v were preempted", begun, w.stopped)
	}
	for _, j := range small {
		end(j)
	}
	s.Round(w.model, 700e9, true, w)
	if large[0].Live != 4 {
		t.Errorf("after 700 s the first large gang has %d tasks in their places", large[0].Live)
	}
}

// TestGangPruningChangesNothing: gangs that don't look for room, since one before them found none, decide as if they
// had looked.
func TestGangPruningChangesNothing(t *testing.T) {
	pruned, plain := 0, 0
	for seed := range uint64(40) {
		asIs, examined := playGangs(t, seed, false)
		pruned += examined
		reference, examined := playGangs(t, seed, true)
		plain += examined
		d := cmp.Diff(reference.placed, asIs.placed) + cmp.Diff(reference.stopped, asIs.stopped)
		if d != "" {
			t.Fatalf("seed %d: decided otherwise (-plain +as it is): %s", seed, d)
		}
	}
	if t.Logf("looked at %d machines, plainly at %d", pruned, plain); pruned >= plain {
		t.Errorf("looked at %d machines, plainly at %d", pruned, plain)
	}
}

// playGangs plays rounds of random work, most of it gangs, and counts the machines that were looked at.
func playGangs(t *testing.T, seed uint64, searchEveryGang bool) (w *environment, examined int) {
	t.Helper()
	rng := rand.New(rand.NewPCG(seed, 5))
	w = newEnvironment(t, 10)
	s := New(Params{Beta: 0.8, Threshold: 0.5, WaitRounds: 2})
	s.round.searchEveryGang = searchEveryGang
	n := uint64(0)
	for round := range 50 {
		for range rng.IntN(4) {
			n++
			w.submit(n, func(s *wire.JobSpec) {
				s.Team = []string{"red", "blue"}[rng.IntN(2)]
				s.Tasks, s.CPUs, s.Spot = 1+rng.IntN(4), float64(1+rng.IntN(4)), rng.IntN(2) == 0
				if rng.IntN(4) > 0 {
					s.Shape, s.SameZone = wire.Gang, rng.IntN(2) == 0
					s.Priority = []string{wire.Normal, wire.High}[rng.IntN(2)]
				}
			})
		}
		s.Round(w.model, model.Time(round)*10e9, true, w)
		examined += s.Examined
		for _, machine := range w.model.Order {
			w.endStopping(machine)
			w.finishSome(machine, func() bool { return rng.IntN(5) == 0 })
		}
	}
	return w, examined
}
