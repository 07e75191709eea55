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

// searchFairShare finds the fair share by linear search: the largest limit for which the sum of the demands, each
// capped at the limit, does not exceed the CPUs.
func searchFairShare(wants []float64, cpus float64) float64 {
	share := 0.0
	for limit := 0.0; limit < 1000; limit += 0.25 {
		sum := 0.0
		for _, want := range wants {
			sum += min(want, limit)
		}
		if sum > cpus {
			return share
		}
		share = limit
	}
	return 1000
}

// TestFairShare compares fairShare with a linear search on random demands.
func TestFairShare(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		cpus := float64(rapid.IntRange(0, 100).Draw(rt, "cpus"))
		var teams []demandTotals
		var wants []float64
		for range rapid.IntRange(1, 6).Draw(rt, "teams") {
			wanted := float64(rapid.IntRange(0, 80).Draw(rt, "wants"))
			teams, wants = append(teams, demandTotals{wantedCPUs: wanted}), append(wants, wanted)
		}
		actual, want := min(1000, fairShare(teams, cpus)), searchFairShare(wants, cpus)
		if actual < want-1e-9 || actual > want+0.25 {
			rt.Errorf("demands %v, %g CPUs: fair share %g, want %g", wants, cpus, actual, want)
		}
	})
}

// TestMinimumShare checks that a class of large arrays, which shortest first would starve, is served until it reaches
// the minimum share, and that the other class is still served.
func TestMinimumShare(t *testing.T) {
	env := newEnvironment(t, 4) // one is a spot machine
	s := New(Params{Beta: 0.8, Threshold: 0.5})
	n := uint64(0)
	small := func() {
		for range 4 {
			n++
			env.submit(n, func(s *wire.JobSpec) { s.Tasks, s.EstimateS, s.Team, s.Class = 3, 10, "red", "small" })
		}
	}
	large := env.submit(900, func(s *wire.JobSpec) { s.Tasks, s.EstimateS, s.Team, s.Class = 30, 10, "red", "large" })
	end := func() {
		for _, machine := range env.model.MachinesInOrder {
			env.finishSome(machine, func() bool { return true })
		}
	}
	for round := range 12 { // each round submits 12 small tasks of 1 CPU, enough for all 12 CPUs
		small()
		s.Round(env.model, model.Time(100+10*round)*1e9, true, env)
		end()
	}
	if share, _ := s.ClassShare(large.Class); large.Done < 20 || share < minimumJobShare-0.1 {
		t.Errorf("%d of 30 tasks of the large array completed, want at least 20; served share %.2f", large.Done, share)
	}
	if done := env.model.ByTeam[0].Done; done < 24 {
		t.Errorf("%d of 48 small arrays completed, want at least 24", done)
	}
}

// TestMinimumShareDoesNotPreempt checks that neither under-served work nor work in a deferrable part of a guarantee
// preempts other low-priority work. Otherwise two teams can preempt each other's tasks in a loop, each for the work
// that was just preempted.
func TestMinimumShareDoesNotPreempt(t *testing.T) {
	env := newEnvironment(t, 6)
	s := New(Params{Beta: 0.8, Threshold: 0.5})
	env.model.Teams[0].CPUs, env.model.Teams[0].CPUsMax = 8, 0 // the same guarantee as team blue
	for n := range uint64(24) {
		env.submit(n+1, func(s *wire.JobSpec) {
			s.Tasks, s.EstimateS, s.Spot = 2, 30, true
			if s.Team = "red"; n < 12 {
				s.Team = "blue"
			}
		})
		if n == 11 { // blue fills all machines, far above its guarantee
			s.Round(env.model, 100e9, true, env)
		}
	}
	for round := range 20 {
		s.Round(env.model, model.Time(120+round)*1e9, true, env)
	}
	if len(env.placed) != 24 || len(env.stopped) > 0 {
		t.Errorf("%d low-priority tasks placed, want 24; %d preempted for equal work, want 0",
			len(env.placed), len(env.stopped))
	}
	// A team does preempt if all its work fits into its guarantee.
	for n := range uint64(10) {
		env.apply(&model.Entry{Kind: model.EntryCancel, Job: model.JobID(15 + n)})
	}
	if s.Round(env.model, 200e9, true, env); len(env.stopped) != 4 {
		t.Errorf("%d low-priority tasks preempted for 4 tasks within a guarantee, want 4", len(env.stopped))
	}
}

// TestUnderServedIsNotPreempted checks that more urgent work of a well-served class does not preempt under-served work,
// and that more urgent work of another under-served class does.
func TestUnderServedIsNotPreempted(t *testing.T) {
	for _, wellServed := range []bool{true, false} {
		env := newEnvironment(t, 3) // m0 and m2 in zone a, m1 in zone b; 12 CPUs in total
		s := New(Params{Beta: 0.8, Threshold: 0.5})
		low := env.submit(1, func(s *wire.JobSpec) { s.Tasks, s.Team, s.Class, s.EstimateS = 40, "blue", "low", 20 })
		s.Round(env.model, 0, true, env)
		if low.PlacedTasks != 12 {
			t.Fatalf("%d low-priority tasks placed, want 12", low.PlacedTasks)
		}
		if wellServed { // many jobs of the class and team of the gangs have completed
			for n := range uint64(20) {
				env.submit(100+n, func(s *wire.JobSpec) { s.Team, s.Class = "red", "sim" })
				env.apply(&model.Entry{Kind: model.EntryTaskDone, Job: model.JobID(100 + n), Task: 0})
			}
		}
		gang := env.submit(2, func(s *wire.JobSpec) {
			s.Shape, s.Priority, s.CPUs, s.Team, s.Class = wire.Gang, wire.High, 4, "red", "sim"
		})
		other := env.submit(3, func(s *wire.JobSpec) {
			s.Shape, s.Priority, s.CPUs, s.Team, s.Class, s.Tasks = wire.Gang, wire.High, 4, "red", "sim", 2
		})
		env.model.Teams[0].CPUs = 0 // no guarantee for the gangs
		for round := range 5 {
			s.Round(env.model, model.Time(60+round)*1e9, true, env)
		}
		if _, underServed := s.ClassShare(gang.Class); underServed == wellServed {
			t.Fatalf("under-served state of the gangs' class: got %v, want %v", underServed, !wellServed)
		}
		if (len(env.stopped) == 0) != wellServed {
			t.Errorf("gangs' class well served %v: %d low-priority tasks preempted, want 0 only if well served; "+
				"%d and %d members placed",
				wellServed, len(env.stopped), gang.PlacedTasks, other.PlacedTasks)
		}
	}
}

// TestUnderServedGangsSmallestFirst checks that while a class is under-served its small gangs overtake larger, earlier
// ones, until the larger ones have waited for underServedMaxWaitSeconds. If large gangs were the first to receive the
// guarantee, and were served before all others after a minute of waiting, they would keep many small gangs from
// starting, and less than half of the class would be served.
func TestUnderServedGangsSmallestFirst(t *testing.T) {
	env := newEnvironment(t, 4)
	env.model.Teams[0].CPUs, env.model.Teams[0].CPUsMax = 32, 0
	// This job makes team red want more than its guarantee.
	env.submit(100, func(s *wire.JobSpec) { s.Team, s.Tasks, s.Types = "red", 40, []string{"none"} })
	guarantee := config.Objective{Kind: "guarantee", WithinS: 5, Share: 0.9}
	s := New(Params{Beta: 0.8, Threshold: 0.5, Objectives: []config.Objective{guarantee}})
	n := uint64(0)
	gang := func(tasks int) *model.Job {
		n++
		return env.submit(n, func(s *wire.JobSpec) {
			s.Shape, s.Team, s.Class, s.Priority = wire.Gang, "red", "sim", wire.High
			s.CPUs, s.Tasks, s.EstimateS, s.Spot = 4, tasks, 100, true
		})
	}
	end := func(j *model.Job) {
		for i := range j.Tasks {
			if r := j.Tasks[i].Run; r != nil {
				env.apply(&model.Entry{Kind: model.EntryTaskDone, Job: j.ID, Task: r.Task, Attempt: r.Attempt})
			}
		}
	}
	first := gang(4)
	s.Round(env.model, 0, true, env)
	large := []*model.Job{gang(4), gang(4), gang(4)}
	var small []*model.Job
	for range 6 {
		small = append(small, gang(1))
	}
	s.Round(env.model, 90e9, true, env) // the class is under-served from here on
	if first.PlacedTasks != 4 || len(env.stopped) != 0 {
		t.Fatalf("first gang: %d members placed, want 4; %v preempted, want none", first.PlacedTasks, env.stopped)
	}
	end(first)
	s.Round(env.model, 100e9, true, env)
	placed := 0
	for _, j := range small {
		placed += j.PlacedTasks
	}
	if placed != 4 || len(env.stopped) != 0 {
		t.Fatalf("%d small gangs placed, want 4; %v preempted, want none", placed, env.stopped)
	}
	for _, j := range small {
		end(j)
	}
	s.Round(env.model, 700e9, true, env)
	if large[0].PlacedTasks != 4 {
		t.Errorf("after 700 s: %d members of the first large gang placed, want 4", large[0].PlacedTasks)
	}
}

// TestGangPruningKeepsDecisions checks that skipping the search for gangs that are known to be infeasible does not
// change any decision.
func TestGangPruningKeepsDecisions(t *testing.T) {
	prunedChecks, referenceChecks := 0, 0
	for seed := range uint64(40) {
		pruned, examined := simulateGangs(t, seed, false)
		prunedChecks += examined
		reference, examined := simulateGangs(t, seed, true)
		referenceChecks += examined
		diff := cmp.Diff(reference.placed, pruned.placed) + cmp.Diff(reference.stopped, pruned.stopped)
		if diff != "" {
			t.Fatalf("seed %d: decisions differ (-reference +pruned): %s", seed, diff)
		}
	}
	t.Logf("%d machine checks with pruning, %d without", prunedChecks, referenceChecks)
	if prunedChecks >= referenceChecks {
		t.Errorf("%d machine checks with pruning, want fewer than %d", prunedChecks, referenceChecks)
	}
}

// simulateGangs runs scheduling rounds with random jobs, most of them gangs, and counts the machine checks.
func simulateGangs(t *testing.T, seed uint64, searchEveryGang bool) (env *environment, examined int) {
	t.Helper()
	rng := rand.New(rand.NewPCG(seed, 5))
	env = newEnvironment(t, 10)
	s := New(Params{Beta: 0.8, Threshold: 0.5, WaitRounds: 2})
	s.round.searchEveryGang = searchEveryGang
	n := uint64(0)
	for round := range 50 {
		for range rng.IntN(4) {
			n++
			env.submit(n, func(s *wire.JobSpec) {
				s.Team = []string{"red", "blue"}[rng.IntN(2)]
				s.Tasks, s.CPUs, s.Spot = 1+rng.IntN(4), float64(1+rng.IntN(4)), rng.IntN(2) == 0
				if rng.IntN(4) > 0 {
					s.Shape, s.SameZone = wire.Gang, rng.IntN(2) == 0
					s.Priority = []string{wire.Normal, wire.High}[rng.IntN(2)]
				}
			})
		}
		s.Round(env.model, model.Time(round)*10e9, true, env)
		examined += s.Examined
		for _, machine := range env.model.MachinesInOrder {
			env.endStopping(machine)
			env.finishSome(machine, func() bool { return rng.IntN(5) == 0 })
		}
	}
	return env, examined
}
