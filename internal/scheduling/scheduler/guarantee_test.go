package scheduler

import (
	"slices"
	"testing"

	"pgregory.net/rapid"

	"fieldhill/internal/model"
	"fieldhill/internal/testing/virtualtime"
	"fieldhill/wire"
)

func TestMain(m *testing.M) { virtualtime.MainRapid(m, 500) }

// TestGuaranteeDistribution checks that a team that wants more than its guarantee spends it on its urgent work first
// and then on the arrays with the least remaining work. If the oldest jobs held all of it, low-priority arrays would be
// served first come, first served, and with twice as much work as there are machines, half of a class would never
// start.
func TestGuaranteeDistribution(t *testing.T) {
	env := newEnvironment(t, 2)
	large := env.submit(1, func(s *wire.JobSpec) { s.Tasks, s.EstimateS = 8, 30 }) // the whole guarantee of team blue
	small := env.submit(2, func(s *wire.JobSpec) { s.Tasks, s.EstimateS = 2, 30 })
	s := New(Params{Beta: 0.8, Threshold: 0.5})
	mark := func(at model.Time) { UpdateGuarantees(env.model, env.model.JobsInOrder(), at, nil) }
	if mark(1e9); !large.Scheduling.Guaranteed || small.Scheduling.Guaranteed || !large.Scheduling.WithinGuarantee {
		t.Errorf(
			"new: large array guaranteed %v, want true; small array beyond the guarantee %v, want false",
			large.Scheduling.Guaranteed,
			small.Scheduling.Guaranteed,
		)
	}
	if mark(60e9); large.Scheduling.Guaranteed || !small.Scheduling.Guaranteed || !large.Scheduling.WithinGuarantee {
		t.Errorf(
			"no longer new: large array guaranteed %v, want false; small array %v, want true",
			large.Scheduling.Guaranteed,
			small.Scheduling.Guaranteed,
		)
	}
	if s.Round(env.model, 60e9, true, env); small.PlacedTasks != 2 {
		t.Errorf("%d tasks of the small array placed, want 2: %v", small.PlacedTasks, env.placed)
	}
	gang := env.submit(3, func(s *wire.JobSpec) { s.Shape, s.Priority, s.Tasks, s.CPUs = wire.Gang, wire.High, 2, 4 })
	if mark(61e9); !gang.Scheduling.Guaranteed || gang.Scheduling.WithinGuarantee || small.Scheduling.Guaranteed {
		t.Errorf(
			"with a gang: gang guaranteed %v, want true; small array %v, want false",
			gang.Scheduling.Guaranteed,
			small.Scheduling.Guaranteed,
		)
	}
	// A gang does not overtake an earlier, larger gang that does not fit.
	env.apply(&model.Entry{Kind: model.EntryCancel, Job: 3})
	big := env.submit(4, func(s *wire.JobSpec) { s.Shape, s.Priority, s.Tasks, s.CPUs = wire.Gang, wire.High, 3, 4 })
	one := env.submit(5, func(s *wire.JobSpec) { s.Shape, s.Priority, s.CPUs = wire.Gang, wire.High, 4 })
	if mark(62e9); big.Scheduling.Guaranteed || one.Scheduling.Guaranteed {
		t.Errorf(
			"large gang guaranteed %v, small gang behind it %v; want false for both",
			big.Scheduling.Guaranteed,
			one.Scheduling.Guaranteed,
		)
	}
}

// TestGuaranteeInvariants checks three properties for random jobs of two teams: the guaranteed work of a team never
// exceeds its guarantee, all work of a team is guaranteed if it fits, and so is new work that fits together with the
// earlier jobs of the team.
func TestGuaranteeInvariants(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		env := newEnvironment(t, 1)
		now := model.Time(30e9)
		for n := range uint64(rapid.IntRange(1, 12).Draw(rt, "jobs")) {
			j := env.submit(n+1, func(s *wire.JobSpec) {
				s.Team = rapid.SampledFrom([]string{"red", "blue"}).Draw(rt, "team")
				s.Shape = rapid.SampledFrom([]string{wire.Array, wire.Gang, wire.Service}).Draw(rt, "shape")
				s.Priority = rapid.SampledFrom([]string{wire.Low, wire.Normal, wire.High, wire.Production}).
					Draw(rt, "priority")
				s.Tasks = rapid.IntRange(1, 4).Draw(rt, "tasks")
				s.CPUs = float64(rapid.IntRange(1, 3).Draw(rt, "cpus"))
				s.EstimateS = 20
			})
			j.Observed.KnownSince = model.Time(rapid.IntRange(0, 30).Draw(rt, "submitted")) * 1e9
		}
		jobs := env.model.JobsInOrder()
		UpdateGuarantees(env.model, jobs, now, nil)
		for _, team := range env.model.Teams {
			ofTeam := slices.DeleteFunc(slices.Clone(jobs), func(j *model.Job) bool { return j.Team != team })
			checkGuarantees(rt, team, ofTeam, now)
		}
	})
}

// checkGuarantees checks the properties listed at TestGuaranteeInvariants for the jobs of one team, given in order of
// acceptance.
func checkGuarantees(rt *rapid.T, team *model.Team, jobs []*model.Job, now model.Time) {
	all, guaranteed := 0.0, 0.0
	for _, j := range jobs {
		cpus := j.Spec.CPUs * float64(len(j.Tasks))
		if all += cpus; j.Scheduling.Guaranteed {
			guaranteed += cpus
		}
		if within := j.Scheduling.WithinGuarantee; within != (all <= team.CPUs) {
			rt.Errorf("job %d: WithinGuarantee is %v, want %v: the jobs up to it want %g CPUs of a guarantee of %g",
				j.ID, within, !within, all, team.CPUs)
		}
		if j.Scheduling.WithinGuarantee && !j.Scheduling.Guaranteed &&
			(j.Kind != model.Array || j.Priority > model.Low || now-j.Observed.KnownSince <= 10e9) {
			rt.Errorf("job %d: Guaranteed is false, want true because it fits together with the earlier jobs", j.ID)
		}
	}
	if guaranteed > team.CPUs {
		rt.Errorf("team %s: %g CPUs guaranteed, want at most the guarantee of %g", team.Name, guaranteed, team.CPUs)
	}
	for _, j := range jobs {
		if all <= team.CPUs && !j.Scheduling.Guaranteed {
			rt.Errorf("team %s: Guaranteed is false for job %d, want true because all jobs fit", team.Name, j.ID)
		}
	}
}
