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

// TestGuaranteeIsAnAmount: a team that wants more than its guarantee spends it on its urgent work
// and then on its arrays that need least. Its oldest used to have all of it: on a day with work for
// twice the machines that was first come, first served, and half of a class never started.
func TestGuaranteeIsAnAmount(t *testing.T) {
	w := newEnvironment(t, 2)
	large := w.submit(1, func(s *wire.JobSpec) { s.Tasks, s.EstimateS = 8, 30 }) // all of blue's 8 CPUs
	small := w.submit(2, func(s *wire.JobSpec) { s.Tasks, s.EstimateS = 2, 30 })
	s := New(Params{Beta: 0.8, Threshold: 0.5})
	mark := func(at model.Time) { MarkGuarantees(w.model, w.model.JobsInOrder(), at, nil) }
	if mark(1e9); !large.Scheduling.Guaranteed || small.Scheduling.Guaranteed || !large.Scheduling.WithinGuarantee {
		t.Errorf(
			"new: the first is guaranteed %v, the one beyond %v",
			large.Scheduling.Guaranteed,
			small.Scheduling.Guaranteed,
		)
	}
	if mark(60e9); large.Scheduling.Guaranteed || !small.Scheduling.Guaranteed || !large.Scheduling.WithinGuarantee {
		t.Errorf(
			"later: the large one is guaranteed %v, the small one %v",
			large.Scheduling.Guaranteed,
			small.Scheduling.Guaranteed,
		)
	}
	if s.Round(w.model, 60e9, true, w); small.Live != 2 {
		t.Errorf("%d tasks of the small array run: %v", small.Live, w.placed)
	}
	gang := w.submit(3, func(s *wire.JobSpec) { s.Shape, s.Priority, s.Tasks, s.CPUs = wire.Gang, wire.High, 2, 4 })
	if mark(61e9); !gang.Scheduling.Guaranteed || gang.Scheduling.WithinGuarantee || small.Scheduling.Guaranteed {
		t.Errorf(
			"urgent: the gang is guaranteed %v, the small array %v",
			gang.Scheduling.Guaranteed,
			small.Scheduling.Guaranteed,
		)
	}
	// A gang that does not fit beside the first one is not passed by a smaller one.
	w.apply(&model.Entry{Kind: model.EntryCancel, Job: 3})
	big := w.submit(4, func(s *wire.JobSpec) { s.Shape, s.Priority, s.Tasks, s.CPUs = wire.Gang, wire.High, 3, 4 })
	one := w.submit(5, func(s *wire.JobSpec) { s.Shape, s.Priority, s.CPUs = wire.Gang, wire.High, 4 })
	if mark(62e9); big.Scheduling.Guaranteed || one.Scheduling.Guaranteed {
		t.Errorf(
			"of two gangs the large one is guaranteed %v, the small one behind it %v",
			big.Scheduling.Guaranteed,
			one.Scheduling.Guaranteed,
		)
	}
}

// TestGuaranteesAtRandom holds the marks against what must hold whatever the jobs are: never more
// than the guarantee, all of a team that fits into it, and new work that fits beside the earlier.
func TestGuaranteesAtRandom(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		w := newEnvironment(t, 1)
		now := model.Time(30e9)
		for n := range uint64(rapid.IntRange(1, 12).Draw(rt, "jobs")) {
			j := w.submit(n+1, func(s *wire.JobSpec) {
				s.Team = rapid.SampledFrom([]string{"red", "blue"}).Draw(rt, "team")
				s.Shape = rapid.SampledFrom([]string{wire.Array, wire.Gang, wire.Service}).Draw(rt, "shape")
				s.Priority = rapid.SampledFrom([]string{wire.Low, wire.Normal, wire.High, wire.Production}).
					Draw(rt, "priority")
				s.Tasks = rapid.IntRange(1, 4).Draw(rt, "tasks")
				s.CPUs = float64(rapid.IntRange(1, 3).Draw(rt, "cpus"))
				s.EstimateS = 20
			})
			j.Observed.KnownSince = model.Time(rapid.IntRange(0, 30).Draw(rt, "began")) * 1e9
		}
		jobs := w.model.JobsInOrder()
		MarkGuarantees(w.model, jobs, now, nil)
		for _, team := range w.model.Teams {
			ofTeam := slices.DeleteFunc(slices.Clone(jobs), func(j *model.Job) bool { return j.Team != team })
			checkGuarantees(rt, team, ofTeam, now)
		}
	})
}

// checkGuarantees checks the marks of a team's jobs.
func checkGuarantees(rt *rapid.T, team *model.Team, jobs []*model.Job, now model.Time) {
	all, guaranteed := 0.0, 0.0
	for _, j := range jobs {
		cpus := j.Spec.CPUs * float64(len(j.Tasks))
		if all += cpus; j.Scheduling.Guaranteed {
			guaranteed += cpus
		}
		if within := j.Scheduling.WithinGuarantee; within != (all <= team.CPUs) {
			rt.Errorf("job %d is within %v, the team's jobs up to it want %g of %g", j.ID, within, all, team.CPUs)
		}
		if j.Scheduling.WithinGuarantee && !j.Scheduling.Guaranteed &&
			(j.Kind != model.Array || j.Priority > model.Low || now-j.Observed.KnownSince <= 10e9) {
			rt.Errorf("job %d fits beside the earlier ones and is not served so", j.ID)
		}
	}
	if guaranteed > team.CPUs {
		rt.Errorf("%s: %g CPUs are guaranteed of %g", team.Name, guaranteed, team.CPUs)
	}
	for _, j := range jobs {
		if all <= team.CPUs && !j.Scheduling.Guaranteed {
			rt.Errorf("all of %s fits, job %d is not guaranteed", team.Name, j.ID)
		}
	}
}
