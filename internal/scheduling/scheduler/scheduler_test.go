package scheduler

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"

	"fieldhill/internal/config"
	"fieldhill/internal/model"
	"fieldhill/internal/scheduling/pending"
	"fieldhill/wire"
)

// TestScoreMatchesPaper compares the score with a direct implementation of formulas (1) and (2) of the DAD paper for
// one file.
func TestScoreMatchesPaper(t *testing.T) {
	s := New(Params{Beta: 0.8})
	for _, size := range []float64{0, 1, 1e6, 6.2e9} {
		for _, isPresent := range []bool{true, false} {
			locality := size // cost of accessing the file, negative if it is present
			present := 0.0
			if isPresent {
				locality, present = -size, size
			}
			paper := locality/(size+1)/2 + 0.5
			for _, load := range []float64{0, 0.3, 1} {
				want := paper*0.8 + load*0.2
				if actual := s.Params.score(fileLocality(present, size), load); math.Abs(actual-want) > 1e-12 {
					t.Errorf("size %g, present %v, load %g: score %g, want %g as in the paper",
						size, isPresent, load, actual, want)
				}
			}
		}
	}
}

// environment is a Binder that applies decisions to a model, as the controller does, and checks each placement against
// the constraints.
type environment struct {
	test    *testing.T
	model   *model.Model
	seq     uint64
	placed  []string
	stopped []string
}

func (env *environment) apply(e *model.Entry) {
	env.seq++
	if err := env.model.Apply(e, env.seq, model.Time(env.seq)); err != nil {
		env.test.Fatal(err)
	}
}

// place puts the first task of a job on a machine, bypassing the scheduler.
func (env *environment) place(job model.JobID, machine *model.Machine) {
	env.apply(model.NewPlacement(job, 0, 1, machine.ID, machine.Contact.AgentEpoch))
}

// Bind applies a placement to the model and checks it.
func (env *environment) Bind(j *model.Job, task int32, attempt uint32, machine *model.Machine, _ float64) {
	env.apply(&model.Entry{Kind: model.EntryPlace, Job: j.ID, Task: task, Attempt: attempt, Machine: machine.ID,
		AgentEpoch: machine.Contact.AgentEpoch})
	env.placed = append(env.placed, fmt.Sprintf("%d/%d on %s", j.ID, task, machine.Info.Name))
	env.checkPlacement(j, machine)
}

// checkPlacement checks that the machine and the team are within their limits and that the constraints of the job allow
// the placement of all its tasks.
func (env *environment) checkPlacement(j *model.Job, machine *model.Machine) {
	t := env.model.TypeOf(machine)
	var cpus, mem, team float64
	zones := map[string]int{}
	for _, o := range env.model.MachinesInOrder {
		for _, r := range o.Runs {
			if o == machine {
				cpus, mem = cpus+r.Job.Spec.CPUs, mem+r.Job.Spec.MemoryGB
			}
			if r.Job.Team == j.Team {
				team += r.Job.Spec.CPUs
			}
			if r.Job == j {
				zones[o.Info.Zone]++
			}
		}
	}
	zone := machine.Info.Zone
	switch {
	case cpus > t.CPUs || mem > t.MemoryGB:
		env.test.Fatalf("machine %s is overcommitted: %g of %g CPUs and %g of %g GB in use",
			machine.Info.Name, cpus, t.CPUs, mem, t.MemoryGB)
	case j.Team.CPUsMax > 0 && team > j.Team.CPUsMax:
		env.test.Fatalf("team %s: %g CPUs in use, want at most its limit of %g", j.Team.Name, team, j.Team.CPUsMax)
	case machine.Spot && !j.Spec.Spot, j.Spec.Zone != nil && *j.Spec.Zone != zone, j.Spec.SameZone && len(zones) > 1:
		env.test.Fatalf("job %d was placed on %s, which its constraints exclude", j.ID, machine.Info.Name)
	case j.Spec.Spread && zones[zone] > (len(j.Tasks)+1)/2:
		env.test.Fatalf("job %d: %d of %d tasks in zone %s, want at most half", j.ID, zones[zone], len(j.Tasks), zone)
	}
}

// Preempt marks a run as stopping and records it.
func (env *environment) Preempt(r *model.Run, skipCheckpoint bool, reason string) {
	r.Stop = true
	env.stopped = append(env.stopped, wire.TaskID(uint64(r.Job.ID), int(r.Task)))
}

// endStopping ends the preempted runs on a machine.
func (env *environment) endStopping(machine *model.Machine) {
	for _, r := range slices.Clone(machine.Runs) {
		if r.Stop {
			env.apply(&model.Entry{Kind: model.EntryAttemptEnded, Job: r.Job.ID, Task: r.Task, Attempt: r.Attempt})
		}
	}
}

// finish marks the task of a run as completed in the model.
func (env *environment) finish(r *model.Run) {
	env.apply(&model.Entry{Kind: model.EntryTaskDone, Job: r.Job.ID, Task: r.Task, Attempt: r.Attempt})
}

// finishSome completes the runs of a machine for which isDone returns true. It calls isDone once per run.
func (env *environment) finishSome(machine *model.Machine, isDone func() bool) {
	for _, r := range slices.Clone(machine.Runs) {
		if isDone() {
			env.finish(r)
		}
	}
}

func newEnvironment(t *testing.T, machines int) *environment {
	t.Helper()
	env := &environment{test: t, model: model.New(&config.Params{
		Zones: []string{"a", "b"},
		Teams: []config.Team{{Name: "red", CPUs: 4, CPUsMax: 12}, {Name: "blue", CPUs: 8}},
	})}
	env.apply(&model.Entry{Kind: model.EntryType, Type: &wire.MachineType{
		Name: "t", CPUs: 4, MemoryGB: 8, CacheGB: 10, FetchGBPerS: 1, Zones: []string{"a", "b"},
	}})
	for i := range machines {
		id, zone := model.MachineID(i+1), string(rune('a'+i%2))
		info := &model.MachineInfo{Name: fmt.Sprint("m", i), Type: "t", Zone: zone, Spot: i%4 == 3}
		env.apply(&model.Entry{Kind: model.EntryMachine, Machine: id, Info: info})
		machine := env.model.Machines[id]
		machine.Contact.Reported, machine.Contact.AgentEpoch = true, 1
	}
	return env
}

// submit submits a low-priority array with one small task; change may modify its spec.
func (env *environment) submit(n uint64, change func(*wire.JobSpec)) *model.Job {
	s := &wire.JobSpec{
		ID: wire.JobID(n), Class: "c", Team: "blue", Shape: wire.Array, Priority: wire.Low,
		Tasks: 1, CPUs: 1, MemoryGB: 1, Image: "i", ImageGB: 1,
	}
	if change != nil {
		change(s)
	}
	env.apply(model.NewAcceptance(s, 0))
	return env.model.Jobs[model.JobID(n)]
}

// webStartParams has an objective for services of class web whose start time limit is shorter than the fetch of their
// image.
var webStartParams = Params{
	Beta:       0.8,
	Threshold:  0.5,
	Objectives: []config.Objective{{Kind: "wait", Class: "web", WithinS: 1, Share: 0.9}},
}

// submitWeb submits a service of class web whose image takes 3 s to fetch.
func (env *environment) submitWeb(n uint64, tasks int) *model.Job {
	return env.submit(n, func(s *wire.JobSpec) {
		s.Tasks, s.Class, s.Shape, s.Priority, s.Image, s.ImageGB = tasks, "web", wire.Service, wire.Production, "w", 3
	})
}

// TestPlacementConstraintsRandomized schedules random jobs, ends some of their runs, and checks every placement.
func TestPlacementConstraintsRandomized(t *testing.T) {
	for seed := range uint64(30) {
		rng := rand.New(rand.NewPCG(seed, 4))
		env := newEnvironment(t, 8)
		s := New(Params{Beta: 0.8, Threshold: 0.5, WaitRounds: 2})
		n := uint64(0)
		for round := range 60 {
			for range rng.IntN(3) {
				n++
				env.submit(n, func(s *wire.JobSpec) { randomizeJob(rng, s) })
			}
			s.Round(env.model, model.Time(round)*2e9, true, env)
			for _, machine := range env.model.MachinesInOrder {
				for _, r := range slices.Clone(machine.Runs) {
					if r.Stop {
						env.apply(&model.Entry{
							Kind: model.EntryAttemptEnded, Job: r.Job.ID, Task: r.Task, Attempt: r.Attempt,
						})
					} else if rng.IntN(4) == 0 {
						env.finish(r)
					}
				}
			}
		}
		if len(env.placed) < 20 {
			t.Errorf("seed %d: %d tasks placed, want at least 20", seed, len(env.placed))
		}
	}
}

// randomizeJob sets a random shape, priority, size and constraints.
func randomizeJob(rng *rand.Rand, s *wire.JobSpec) {
	s.Shape = []string{wire.Array, wire.Gang, wire.Service}[rng.IntN(3)]
	s.Priority = []string{wire.Low, wire.Normal, wire.High, wire.Production}[rng.IntN(4)]
	s.Tasks, s.CPUs, s.Image = 1+rng.IntN(5), float64(1+rng.IntN(3)), fmt.Sprint(rng.IntN(3))
	s.Spread, s.SameZone, s.Spot = rng.IntN(3) == 0, rng.IntN(3) == 0, rng.IntN(2) == 0
	if s.Spread {
		s.SameZone = false
	}
	if rng.IntN(2) == 0 {
		s.Team = "red"
	}
}

// TestWaitForBusyLocalMachine checks that a task waits WaitRounds rounds, and no longer, for a busy machine that has
// its image. The rounds are counted per job, not per task.
func TestWaitForBusyLocalMachine(t *testing.T) {
	env := newEnvironment(t, 2)
	s := New(Params{Beta: 0.8, Threshold: 0.5, WaitRounds: 2})
	first := env.submit(1, func(s *wire.JobSpec) { s.Tasks = 4 })
	local := env.model.Machines[1]
	local.TouchImage(env.model, first, 0)
	s.Round(env.model, 0, true, env)
	if len(local.Runs) != 4 {
		t.Fatalf("%d tasks placed on the machine with the image, want 4: %v", len(local.Runs), env.placed)
	}
	second := env.submit(2, func(s *wire.JobSpec) { s.Tasks = 3 })
	for round := 1; round <= 2; round++ {
		for range 3 {
			if s.Round(env.model, 0, false, env); second.PlacedTasks != 0 {
				t.Fatalf("%d tasks placed, want 0: a round without tick was counted as a wait round",
					second.PlacedTasks)
			}
		}
		s.Round(env.model, 0, true, env)
		if reason := second.Scheduling.PendingReason; second.PlacedTasks != 0 || reason.Code != pending.ImageBusy {
			t.Fatalf("round %d: %d tasks placed, want 0; pending reason %q, want ImageBusy",
				round, second.PlacedTasks, reason)
		}
	}
	s.Round(env.model, 0, true, env)
	if reason := second.Scheduling.PendingReason; second.PlacedTasks != 3 || reason.IsSet() {
		t.Errorf("after the wait: %d tasks placed, want 3; pending reason %q, want none", second.PlacedTasks, reason)
	}
}

// TestGangAllOrNone checks that a gang starts only if all members fit in one round, and with a single attempt number.
func TestGangAllOrNone(t *testing.T) {
	env := newEnvironment(t, 2)
	s := New(Params{Beta: 0.8, Threshold: 0.5})
	g := env.submit(1, func(s *wire.JobSpec) { s.Shape, s.Tasks, s.CPUs, s.SameZone = wire.Gang, 2, 3, true })
	s.Round(env.model, 0, true, env)
	if g.PlacedTasks != 0 || g.Scheduling.PendingReason.Code != pending.NoGangCapacity {
		t.Fatalf("gang that does not fit: placed %v, want none; pending reason %q, want NoGangCapacity",
			env.placed, g.Scheduling.PendingReason)
	}
	free := env.submit(2, func(s *wire.JobSpec) { s.Shape, s.Tasks, s.CPUs = wire.Gang, 2, 3 })
	if s.Round(env.model, 0, true, env); free.PlacedTasks != 2 || free.Tasks[0].Attempt != free.Tasks[1].Attempt {
		t.Errorf("gang that fits: %d members placed, want 2 with the same attempt number: %v",
			free.PlacedTasks, env.placed)
	}
}

// TestPreemptionForUrgentWork checks that no more low-priority tasks are preempted for a service than necessary, and
// that the released resources are not given to low-priority work again.
func TestPreemptionForUrgentWork(t *testing.T) {
	env := newEnvironment(t, 1)
	s := New(Params{Beta: 0.8, Threshold: 0.5})
	low := env.submit(1, func(s *wire.JobSpec) { s.Tasks = 9 })
	s.Round(env.model, 0, true, env)
	web := env.submit(2, func(s *wire.JobSpec) { s.Shape, s.Priority, s.CPUs = wire.Service, wire.Production, 2 })
	s.Round(env.model, 100e9, false, env)
	s.Round(env.model, 101e9, false, env)
	if len(env.stopped) != 2 {
		t.Fatalf("preempted %v for a service of 2 CPUs, want 2 tasks", env.stopped)
	}
	for _, r := range append([]*model.Run(nil), env.model.Machines[1].Runs...) {
		if r.Stop {
			env.apply(&model.Entry{Kind: model.EntryAttemptEnded, Job: 1, Task: r.Task, Attempt: r.Attempt})
			s.Round(env.model, 102e9, false, env)
		}
	}
	reason := low.Scheduling.PendingReason
	if web.PlacedTasks != 1 || low.PlacedTasks != 2 || reason.Code != pending.NoCapacity {
		t.Errorf("%d replicas and %d low-priority tasks placed, want 1 and 2; pending reason %q, want NoCapacity",
			web.PlacedTasks, low.PlacedTasks, reason)
	}
}

// TestShortArraysFirst checks that low-priority arrays are served shortest first when resources are short. An array
// that misses all its objectives comes last, except for one task that is started after startDeadline. Arrays of normal
// priority are ordered the same way, since round-robin would make all of them late.
func TestShortArraysFirst(t *testing.T) {
	env := newEnvironment(t, 1)
	finished := config.Objective{Kind: "finished", Class: "c", WithinS: 100, Share: 0.9}
	s := New(Params{Beta: 0.8, Threshold: 0.5, Objectives: []config.Objective{finished}})
	late := env.submit(1, func(s *wire.JobSpec) { s.Tasks = 9 }) // exceeds the guarantee of its team, 8 CPUs
	late.Observed.KnownSince = -200e9
	long := env.submit(2, func(s *wire.JobSpec) { s.Tasks, s.EstimateS = 20, 30 })
	short := env.submit(3, func(s *wire.JobSpec) { s.Tasks, s.EstimateS = 3, 30 })
	s.Round(env.model, 0, true, env)
	if short.PlacedTasks != 3 || long.PlacedTasks != 0 || late.PlacedTasks != 1 {
		t.Errorf("tasks placed: short job %d, long job %d, late job %d; want 3, 0, 1",
			short.PlacedTasks, long.PlacedTasks, late.PlacedTasks)
	}
	env.apply(&model.Entry{Kind: model.EntryTaskDone, Job: 3, Task: 0, Attempt: 1})
	s.Round(env.model, 1e9, true, env)
	if long.PlacedTasks != 1 || late.PlacedTasks != 1 {
		t.Errorf("tasks placed after one of the short job completed: long job %d, late job %d; want 1, 1",
			long.PlacedTasks, late.PlacedTasks)
	}
}

// TestNormalArraysByDeadline checks that among arrays of normal priority with deadlines, those that can meet their
// deadline are served first, smallest first.
func TestNormalArraysByDeadline(t *testing.T) {
	env := newEnvironment(t, 1)
	s := New(Params{Beta: 0.8, Threshold: 0.5, Objectives: []config.Objective{
		{Kind: "deadline", Class: "c", Share: 0.9},
		{Kind: "deadline", Class: "c", Times: 1.5, Share: 0.9},
	}})
	submitArray := func(n uint64, tasks int, due float64) *model.Job {
		j := env.submit(n, func(s *wire.JobSpec) {
			s.Priority, s.Tasks, s.EstimateS, s.DeadlineS = wire.Normal, tasks, 30, &due
		})
		j.Scheduling.Guaranteed = false
		return j
	}
	late, large, small := submitArray(1, 9, 20), submitArray(2, 20, 70), submitArray(3, 3, 70)
	s.Round(env.model, 5e9, true, env)
	if small.PlacedTasks != 3 || large.PlacedTasks != 1 || late.PlacedTasks != 0 {
		t.Errorf("tasks placed: small job %d, large job %d, late job %d; want 3, 1, 0",
			small.PlacedTasks, large.PlacedTasks, late.PlacedTasks)
	}
}

// TestGangsOnTimeFirst checks that in a burst of gangs those that can still meet their start objectives are served
// first, those with the least work before the others, and that no gang is passed over beyond its last objective. In
// arrival order, each gang would wait for earlier gangs that are late already, and nearly all gangs would be late.
func TestGangsOnTimeFirst(t *testing.T) {
	env := newEnvironment(t, 1)
	s := New(Params{Beta: 0.8, Threshold: 0.5, Objectives: []config.Objective{
		{Kind: "wait", Class: "g", WithinS: 40},
		{Kind: "wait", Class: "g", WithinS: 60},
		{Kind: "wait", Class: "g", WithinS: 180},
	}})
	gang := func(n uint64, class string, estimate float64, submitted model.Time) *model.Job {
		j := env.submit(n, func(s *wire.JobSpec) {
			s.Shape, s.Priority, s.CPUs, s.Class, s.EstimateS = wire.Gang, wire.High, 4, class, estimate
		})
		j.Observed.KnownSince = submitted * 1e9
		return j
	}
	late, fresh, small, once := gang(1, "g", 120, 0), gang(2, "g", 100, 80), gang(3, "g", 50, 85), gang(4, "g", 10, 55)
	other, again := gang(5, "h", 200, 99), gang(6, "g", 300, 0)
	again.Tasks[0].Attempt = 1
	order := func(at model.Time) (ids []model.JobID) {
		for _, q := range s.queue(env.model, env.model.JobsInOrder(), at*1e9) {
			ids = append(ids, q.job.ID)
		}
		return ids
	}
	for _, c := range []struct {
		at   model.Time
		want []*model.Job
	}{
		{100, []*model.Job{other, again, small, fresh, once, late}}, // once misses 40 s; late, 40 and 60 s
		{119, []*model.Job{other, again, small, fresh, once, late}},
		{120, []*model.Job{late, other, again, small, fresh, once}}, // the last objective of late is near
		{190, []*model.Job{once, other, again, small, fresh, late}}, // late misses all; the last one of once is near
		{541, []*model.Job{late, other, again, once, small, fresh}}, // late has waited for 3 times its last objective
	} {
		var want []model.JobID
		for _, j := range c.want {
			want = append(want, j.ID)
		}
		if actual := order(c.at); !slices.Equal(actual, want) {
			t.Errorf("queue after %d s: got %v, want %v", c.at, actual, want)
		}
	}
}

// referenceEnvironment also checks each placement against the definition of DAD: no other machine with free resources
// has a lower score.
type referenceEnvironment struct {
	*environment
	scheduler *Scheduler
}

// Bind checks the score of the machine and applies the placement.
func (env *referenceEnvironment) Bind(
	j *model.Job,
	task int32,
	attempt uint32,
	machine *model.Machine,
	reportedScore float64,
) {
	score := func(o *model.Machine) float64 {
		return env.scheduler.Params.score(locality(env.model, j, o), load(env.model, o))
	}
	best := score(machine)
	if d := reportedScore - best; d > 1e-9 || d < -1e-9 {
		env.test.Fatalf("job %d placed on %s with reported score %g, want %g",
			j.ID, machine.Info.Name, reportedScore, best)
	}
	for _, o := range env.model.MachinesInOrder {
		if o.IsUsable() && env.fits(j, o) && score(o) < best-1e-9 {
			env.test.Fatalf("job %d placed on %s with score %g, want %s with the lower score %g",
				j.ID, machine.Info.Name, best, o.Info.Name, score(o))
		}
	}
	env.environment.Bind(j, task, attempt, machine, reportedScore)
}

// fits reports whether the rules of the model allow another task of a job on a machine and the task fits there.
func (env *environment) fits(j *model.Job, machine *model.Machine) bool {
	return j.AllowsMachine(machine.Type, machine.Zone, machine.Spot) && env.model.Fits(j, machine) &&
		j.ZoneAllows(machine.Zone)
}

// TestPlacementMatchesDAD compares each placement with a full scan of the machines, and checks that no job is left
// waiting although one of its tasks fits on a machine.
func TestPlacementMatchesDAD(t *testing.T) {
	for seed := range uint64(20) {
		rng := rand.New(rand.NewPCG(seed, 9))
		env := newEnvironment(t, 12)
		s := New(Params{Beta: 0.8, Threshold: 0.5})
		n := uint64(0)
		for round := range 30 {
			for range rng.IntN(4) {
				n++
				env.submit(n, func(s *wire.JobSpec) {
					s.Tasks, s.CPUs, s.MemoryGB = 1+rng.IntN(6), float64(1+rng.IntN(6))/2, float64(1+rng.IntN(3))
					s.Image, s.ImageGB, s.Spread, s.Spot = fmt.Sprint(n), 1, rng.IntN(2) == 0, rng.IntN(2) == 0
					if rng.IntN(3) == 0 {
						s.Team = "red"
					}
				})
			}
			s.Round(env.model, model.Time(round)*2e9, true, &referenceEnvironment{env, s})
			if j, machine := env.findPlaceableJob(); j != nil {
				t.Fatalf("seed %d: job %d is waiting, want it placed on %s, where it fits",
					seed, j.ID, machine.Info.Name)
			}
			for _, machine := range env.model.MachinesInOrder {
				env.finishSome(machine, func() bool { return rng.IntN(3) == 0 })
			}
		}
	}
}

// findPlaceableJob returns a waiting job whose team limit allows another task, and a machine on which that task fits.
// It returns nil if there is none.
func (env *environment) findPlaceableJob() (*model.Job, *model.Machine) {
	for _, j := range env.model.JobsInOrder() {
		if j.Waiting() == 0 || !j.TeamLimitAllows(1) {
			continue
		}
		for _, machine := range env.model.MachinesInOrder {
			if env.fits(j, machine) {
				return j, machine
			}
		}
	}
	return nil, nil
}

// TestRoundCostIsBounded checks that on a large, full site a round checks each machine a few times, and not once for
// every waiting job. Without the record of infeasible demands, the search for every waiting job scans all machines in
// every round.
func TestRoundCostIsBounded(t *testing.T) {
	env := newEnvironment(t, 400)
	s := New(Params{Beta: 0.8, Threshold: 0.5})
	env.submit(1, func(s *wire.JobSpec) { s.Tasks, s.Spot, s.Priority = 1600, true, wire.Normal })
	s.Round(env.model, 0, true, env)
	if len(env.placed) != 1600 {
		t.Fatalf("%d tasks placed, want 1600 to fill the machines", len(env.placed))
	}
	for n := range uint64(200) {
		env.submit(2+n, func(s *wire.JobSpec) {
			s.Tasks, s.Spot, s.CPUs = 50, true, 1+float64(n%5)/10
			if n%4 == 0 {
				s.Priority = wire.High // preemption is considered
			}
		})
	}
	s.Round(env.model, 60e9, true, env)
	s.Round(env.model, 62e9, false, env)
	if limit := 40 * 400; s.Examined > limit {
		t.Errorf("%d machine checks in a round for 400 machines and 200 waiting jobs, want at most %d",
			s.Examined, limit)
	}
	placed := len(env.placed)
	r := env.model.Machines[7].Runs[0]
	env.apply(&model.Entry{Kind: model.EntryTaskDone, Job: 1, Task: r.Task, Attempt: r.Attempt})
	if s.Round(env.model, 64e9, false, env); len(env.placed) != placed+1 {
		t.Errorf("%d tasks placed after one completed, want 1", len(env.placed)-placed)
	}
}

// TestHigherRankedIsNotPreempted checks that a high-priority job beyond its team's guarantee does not preempt
// low-priority work within a guarantee, which ranks above the job. Otherwise the low-priority work is placed again and
// preempted again in a loop.
func TestHigherRankedIsNotPreempted(t *testing.T) {
	env := newEnvironment(t, 1)
	env.model.Teams[0].CPUs = 3 // covers neither of the gangs of team red
	s := New(Params{Beta: 0.8, Threshold: 0.5})
	low := env.submit(1, func(s *wire.JobSpec) { s.Tasks, s.CPUs, s.MemoryGB = 4, 1, 2 }) // within the guarantee
	high := env.submit(2, func(s *wire.JobSpec) {
		s.Shape, s.Team, s.Priority, s.CPUs, s.Tasks = wire.Gang, "red", wire.High, 4, 3
	})
	one := env.submit(3, func(s *wire.JobSpec) { s.Shape, s.Team, s.Priority, s.CPUs = wire.Gang, "red", wire.High, 4 })
	for i := range 5 {
		s.Round(env.model, model.Time(100+i)*1e9, true, env)
	}
	if low.PlacedTasks != 4 || len(env.stopped) != 0 || high.PlacedTasks+one.PlacedTasks != 0 {
		t.Errorf("%d low-priority tasks placed, want 4; %v preempted, want none; %d gang members placed, want 0",
			low.PlacedTasks, env.stopped, high.PlacedTasks+one.PlacedTasks)
	}
}

// TestMultiMachineGangGetsCapacity checks that low-priority work is preempted for a gang that needs several machines,
// and that later single-machine gangs do not take the machines that the first gang in the queue has claimed.
func TestMultiMachineGangGetsCapacity(t *testing.T) {
	env := newEnvironment(t, 4) // in zones a, b, a and b; the last one is a spot machine
	s := New(Params{Beta: 0.8, Threshold: 0.5})
	gang := func(n uint64, tasks int) *model.Job {
		return env.submit(n, func(s *wire.JobSpec) {
			s.Shape, s.Priority, s.CPUs, s.Tasks, s.SameZone = wire.Gang, wire.High, 4, tasks, true
		})
	}
	end := func(j *model.Job) {
		for i := range j.Tasks {
			if r := j.Tasks[i].Run; r != nil {
				env.apply(&model.Entry{Kind: model.EntryTaskDone, Job: j.ID, Task: r.Task, Attempt: r.Attempt})
			}
		}
	}
	one, other := gang(1, 1), gang(2, 1)
	s.Round(env.model, 0, true, env)
	low := env.submit(3, func(s *wire.JobSpec) { s.Tasks, s.Team = 5, "red" }) // exceeds the guarantee of team red
	s.Round(env.model, 1e9, true, env)
	pair, late := gang(4, 2), gang(5, 1)
	s.Round(env.model, 700e9, true, env)
	if one.PlacedTasks != 1 || other.PlacedTasks != 1 || low.PlacedTasks != 4 || pair.PlacedTasks != 0 ||
		len(env.stopped) != 0 {
		t.Fatalf("placed %v; preempted %v for a gang that does not fit, want none", env.placed, env.stopped)
	}
	end(one)
	s.Round(env.model, 701e9, true, env)
	if late.PlacedTasks != 0 || len(env.stopped) != 4 {
		t.Fatalf("%d members of a later gang placed, want 0; preempted %v, want 4 tasks", late.PlacedTasks, env.stopped)
	}
	for i := range 4 {
		env.apply(&model.Entry{Kind: model.EntryAttemptEnded, Job: 3, Task: int32(i), Attempt: 1})
	}
	if s.Round(env.model, 702e9, true, env); pair.PlacedTasks != 2 {
		t.Errorf("%d members of the gang of two placed, want 2: %v", pair.PlacedTasks, env.placed)
	}
}

// TestDrainPreemptsLowPriorityWork checks that replicas leave a machine that is to be released even if low-priority
// work fills all other machines.
func TestDrainPreemptsLowPriorityWork(t *testing.T) {
	env := newEnvironment(t, 2)
	s := New(Params{Beta: 0.8, Threshold: 0.5})
	web := env.submit(1, func(s *wire.JobSpec) { s.Shape, s.Priority = wire.Service, wire.Production })
	s.Round(env.model, 0, true, env)
	from, to := env.model.Machines[1], env.model.Machines[2]
	run := web.Tasks[0].Run
	run.Phase = model.Running
	to.TouchImage(env.model, web, 0)
	from.Lifecycle.Draining = true // excludes the machine from placement
	env.submit(2, func(s *wire.JobSpec) { s.Tasks, s.Team, s.Image = 9, "red", "j" })
	s.Round(env.model, 10e9, true, env)
	if len(to.Runs) != 4 {
		t.Fatalf("%d tasks on the other machine, want 4 low-priority tasks that fill it: placed %v",
			len(to.Runs), env.placed)
	}
	from.Lifecycle.Draining = false
	s.DrainTarget = from
	s.Round(env.model, 20e9, true, env)
	if len(env.stopped) != 1 || run.Stop {
		t.Fatalf("preempted %v, want one low-priority task", env.stopped)
	}
	for _, r := range to.Runs {
		if r.Stop {
			env.apply(&model.Entry{Kind: model.EntryAttemptEnded, Job: 2, Task: r.Task, Attempt: r.Attempt})
			break
		}
	}
	from.Lifecycle.Draining = true
	s.Round(env.model, 20.3e9, true, env)
	from.Lifecycle.Draining = false
	if len(to.Runs) != 3 {
		t.Fatalf("%d tasks on the machine with reserved resources, want 3: placed %v", len(to.Runs), env.placed)
	}
	if s.Round(env.model, 21e9, true, env); !run.Stop {
		t.Error("replica on the drain target is not preempted, want it to move to the reserved resources")
	}
}

// TestMoveRateScalesWithReplicas checks that the interval between moves shrinks with the number of replicas. At a fixed
// interval of 0.3 s, a fleet of 5000 replicas would take four minutes to leave the expensive machines that gangs are
// waiting for.
func TestMoveRateScalesWithReplicas(t *testing.T) {
	env := newEnvironment(t, 700)
	s := New(Params{Beta: 0.8, Threshold: 0.5})
	web := env.submit(1, func(s *wire.JobSpec) { s.Tasks, s.Shape, s.Priority = 2000, wire.Service, wire.Production })
	s.Round(env.model, 0, true, env)
	for _, machine := range env.model.MachinesInOrder {
		machine.TouchImage(env.model, web, 0)
		for _, r := range machine.Runs {
			r.Phase = model.Running
		}
	}
	s.DrainTarget = env.model.Machines[1]
	for at := model.Time(10e9); at < 10.6e9; at += 50e6 {
		s.Round(env.model, at, false, env)
	}
	if web.PlacedTasks != 2000 || len(env.stopped) != 4 {
		t.Errorf("%d replicas live, want 2000; %d moved in 0.6 s, want 4", web.PlacedTasks, len(env.stopped))
	}
}

// TestServicePreemptsForImageLocality checks that a service with a start time limit shorter than its image fetch
// preempts a low-priority task on a machine that has the image, and uses another machine if that task does not stop
// soon enough.
func TestServicePreemptsForImageLocality(t *testing.T) {
	env := newEnvironment(t, 3)
	s := New(webStartParams)
	env.submit(1, func(s *wire.JobSpec) { s.Tasks, s.Image = 4, "j" })
	s.Round(env.model, 0, true, env)
	full := env.model.Machines[1]
	if len(full.Runs) != 4 {
		t.Fatalf("placed %v, want 4 tasks on %s", env.placed, full.Info.Name)
	}
	first := env.submitWeb(2, 1)
	full.TouchImage(env.model, first, 0)
	s.Round(env.model, 10e9, false, env)
	if first.PlacedTasks != 0 || len(env.stopped) != 1 {
		t.Fatalf("placed %v, want no replica; preempted %v, want 1 task", env.placed, env.stopped)
	}
	env.endStopping(full)
	if s.Round(env.model, 10.2e9, false, env); first.PlacedTasks != 1 || first.Tasks[0].Run.Machine != full {
		t.Fatalf("placed %v, want the replica on %s", env.placed, full.Info.Name)
	}
	second := env.submitWeb(3, 2)
	s.Round(env.model, 20e9, false, env) // low-priority tasks are preempted but do not stop
	if s.Round(env.model, 20.3e9, false, env); second.PlacedTasks != 0 || len(env.stopped) != 3 {
		t.Fatalf("placed %v, want no further replica; preempted %v, want 3 tasks", env.placed, env.stopped)
	}
	s.Round(env.model, 20.7e9, false, env)
	if second.PlacedTasks != 2 || second.Tasks[0].Run.Machine == full || len(env.stopped) != 3 {
		t.Errorf("after the wait timed out: placed %v, want 2 replicas, none on %s; preempted %v, want 3 tasks",
			env.placed, full.Info.Name, env.stopped)
	}
}

// TestTeamLimitPreemptsWithoutMachine guards against preempting work of a team that is at its limit for a task that has
// no machine anyway: the work is placed again and preempted again, dozens of times, and neither is ever done.
func TestTeamLimitPreemptsWithoutMachine(t *testing.T) {
	for _, blocked := range []bool{true, false} {
		env := newEnvironment(t, 2)
		env.model.Teams[0].CPUsMax = 6
		if blocked {
			env.submit(1, func(s *wire.JobSpec) { s.Shape, s.Priority, s.CPUs = wire.Service, wire.Production, 4 })
			env.place(1, env.model.Machines[1])
		}
		env.submit(2, func(s *wire.JobSpec) { s.Team, s.CPUs = "red", 4 })
		env.place(2, env.model.Machines[2])
		zone := "a"
		env.submit(3, func(s *wire.JobSpec) { s.Team, s.Priority, s.CPUs, s.Zone = "red", wire.High, 4, &zone })
		New(Params{Beta: 0.8, Threshold: 0.5}).Round(env.model, 60e9, true, env)
		if preempted := len(env.stopped) > 0; preempted == blocked {
			t.Errorf("the only machine is taken: %v; preempted %v", blocked, env.stopped)
		}
	}
}

// TestPreemptionForTaskRepeats guards against a task that never starts and for which others are preempted in each
// round: while its team's limit is freed, other work takes the machine, or while a machine is freed, work of the team
// takes the limit.
func TestPreemptionForTaskRepeats(t *testing.T) {
	zone := "a" // of the urgent task
	for _, c := range []struct {
		name             string
		running, waiting string // teams of the low-priority tasks
		machine          model.MachineID
	}{
		{"limit freed first", "red", "blue", 2},
		{"machine freed first", "blue", "red", 1},
	} {
		env := newEnvironment(t, 2)
		env.model.Teams[0].CPUsMax = 4
		env.submit(1, func(s *wire.JobSpec) { s.Team, s.CPUs = c.running, 4 })
		env.place(1, env.model.Machines[c.machine])
		j := env.submit(2, func(s *wire.JobSpec) { s.Team, s.Priority, s.CPUs, s.Zone = "red", wire.High, 4, &zone })
		env.submit(3, func(s *wire.JobSpec) { s.Team, s.CPUs = c.waiting, 4 })
		s := New(Params{Beta: 0.8, Threshold: 0.5})
		for now := model.Time(60e9); now < 63e9; now += 1e9 {
			s.Round(env.model, now, true, env)
			env.endStopping(env.model.Machines[1])
			env.endStopping(env.model.Machines[2])
		}
		if j.PlacedTasks != 1 || len(env.stopped) != 1 {
			t.Errorf("%s: %d urgent tasks placed, preempted %v; want 1, one task", c.name, j.PlacedTasks, env.stopped)
		}
	}
}

// TestLastTaskWaitsForeverByRounding guards against a task that is kept from the last free CPUs, which suffice for it,
// because the sum of the CPUs in use is rounded.
func TestLastTaskWaitsForeverByRounding(t *testing.T) {
	env := newEnvironment(t, 1)
	j := env.submit(1, func(s *wire.JobSpec) { s.Tasks, s.CPUs, s.MemoryGB = 12, 1.0/3, 0.1 })
	New(Params{Beta: 0.8, Threshold: 0.5}).Round(env.model, 60e9, true, env)
	if j.PlacedTasks != 12 {
		t.Errorf("%d tasks of 1/3 CPU placed on 4 CPUs, want 12: %v", j.PlacedTasks, j.Scheduling.PendingReason)
	}
}

// TestTeamLimitIsReserved checks that for a gang beyond its team limit, less urgent work of the team is preempted once,
// and that the released part of the limit stays reserved until the gang starts. Without the reservation, other jobs of
// the team take it within the same round. Work that ranks above the gang must not be preempted, since it would be
// placed again before the gang.
func TestTeamLimitIsReserved(t *testing.T) {
	for _, guaranteed := range []bool{false, true} {
		env := newEnvironment(t, 16)
		s := New(Params{Beta: 0.8, Threshold: 0.5})
		if guaranteed { // jobs within the guarantee count as new throughout the test
			s.Params.Objectives = []config.Objective{{Kind: "guarantee", WithinS: 100}}
		}
		env.submit(1, func(s *wire.JobSpec) { s.Team, s.Tasks, s.Priority = "red", 4, wire.High }) // whole guarantee
		low := env.submit(2, func(s *wire.JobSpec) { s.Team, s.Tasks = "red", 40 })
		if guaranteed {
			env.model.Teams[0].CPUs = 60
		}
		s.Round(env.model, 0, true, env) // the team reaches its limit of 12 CPUs
		cpus, reason := env.model.Teams[0].UsedCPUs, low.Scheduling.PendingReason
		if cpus != 12 || low.PlacedTasks != 8 || reason.Code != pending.TeamLimit {
			t.Fatalf("team uses %g CPUs, want 12; %d low-priority tasks, want 8; pending reason %q, want TeamLimit",
				cpus, low.PlacedTasks, reason)
		}
		gang := env.submit(3, func(s *wire.JobSpec) {
			s.Team, s.Shape, s.Tasks, s.CPUs, s.Priority = "red", wire.Gang, 1, 4, wire.High
		})
		if guaranteed {
			env.model.Teams[0].CPUs = 44 // covers the first two jobs but not the gang
		}
		for round := range 40 {
			s.Round(env.model, model.Time(20+round)*1e9, true, env)
			for _, machine := range env.model.MachinesInOrder { // preempted tasks end
				env.endStopping(machine)
			}
		}
		if guaranteed {
			if len(env.stopped) != 0 {
				t.Errorf("%d tasks that rank above the gang were preempted, want 0", len(env.stopped))
			}
			continue
		}
		if gang.PlacedTasks != 1 || len(env.stopped) != 4 {
			t.Errorf("%d gang members running, want 1; %d tasks preempted for its 4 CPUs, want 4",
				gang.PlacedTasks, len(env.stopped))
		}
	}
}

// TestServiceUsesUnneededGPUs checks that a service that would be late after an image fetch is placed on a machine with
// GPUs that has its image and whose GPUs no work needs. Without the lower penalty for such machines, low-priority work
// is preempted on the machine while the service is placed on another machine, which has to fetch the image.
func TestServiceUsesUnneededGPUs(t *testing.T) {
	env := newEnvironment(t, 2)
	env.apply(&model.Entry{Kind: model.EntryType, Type: &wire.MachineType{
		Name: "g", CPUs: 4, GPUs: 2, MemoryGB: 8, CacheGB: 10, FetchGBPerS: 1, Zones: []string{"a"},
	}})
	info := &model.MachineInfo{Name: "m9", Type: "g", Zone: "a"}
	env.apply(&model.Entry{Kind: model.EntryMachine, Machine: 9, Info: info})
	spare := env.model.Machines[9]
	spare.Contact.Reported, spare.Contact.AgentEpoch = true, 1
	s := New(webStartParams)
	s.LowPriorityAllowed = map[*model.Machine]bool{spare: true}
	env.submit(1, func(s *wire.JobSpec) { s.Tasks, s.Image, s.Types = 4, "j", []string{"g"} })
	s.Round(env.model, 0, true, env)
	web := env.submitWeb(2, 1)
	spare.TouchImage(env.model, web, 0)
	s.Round(env.model, 10e9, false, env)
	if web.PlacedTasks != 0 || len(env.stopped) != 1 {
		t.Fatalf("placed %v, want no replica; preempted %v, want 1 task", env.placed, env.stopped)
	}
	env.endStopping(spare)
	if s.Round(env.model, 10.2e9, false, env); web.PlacedTasks != 1 || web.Tasks[0].Run.Machine != spare {
		t.Errorf("placed %v, want the replica on %s; preempted %v", env.placed, spare.Info.Name, env.stopped)
	}
}

// TestLowPriorityLimit checks that LowPriorityLimit defers the remaining low-priority tasks to the next round and
// delays no other tasks. The limit keeps bursts of tiny tasks from using up the CPU time of a small controller.
func TestLowPriorityLimit(t *testing.T) {
	env := newEnvironment(t, 8)
	s := New(Params{Beta: 0.8, Threshold: 0.5})
	s.LowPriorityLimit = 5
	low := env.submit(1, func(s *wire.JobSpec) { s.Tasks, s.CPUs, s.MemoryGB = 20, 0.5, 0.1 })
	web := env.submit(2, func(s *wire.JobSpec) { s.Tasks, s.Shape, s.Priority = 6, wire.Service, wire.Production })
	for round := range 4 {
		s.Round(env.model, model.Time(round)*1e9, true, env)
		if low.PlacedTasks != 5*(round+1) || web.PlacedTasks != 6 || s.LowPriorityDeferred != (round < 3) {
			t.Fatalf("round %d: %d low-priority tasks and %d replicas placed, deferred %v; want %d, 6, %v",
				round, low.PlacedTasks, web.PlacedTasks, s.LowPriorityDeferred, 5*(round+1), round < 3)
		}
	}
}

// TestSlowMachineAcceptsOnlyServices checks that a machine marked as slow accepts only services, which the slowness
// does not delay, until the mark expires.
func TestSlowMachineAcceptsOnlyServices(t *testing.T) {
	env := newEnvironment(t, 1)
	s := New(Params{Beta: 0.8, Threshold: 0.5})
	env.model.Machines[1].Health.SlowUntil = 60e9
	array := env.submit(1, func(s *wire.JobSpec) { s.Tasks = 2 })
	web := env.submit(2, func(s *wire.JobSpec) { s.Shape, s.Priority = wire.Service, wire.Production })
	if s.Round(env.model, 1e9, true, env); array.PlacedTasks != 0 || web.PlacedTasks != 1 {
		t.Errorf("%d array tasks and %d replicas placed, want 0 and 1", array.PlacedTasks, web.PlacedTasks)
	}
	if s.Round(env.model, 61e9, true, env); array.PlacedTasks != 2 {
		t.Errorf("after the mark expired: %d array tasks placed, want 2", array.PlacedTasks)
	}
}

// TestGangPreemptsForImageLocality checks that low-priority work is preempted for a gang on machines that have its
// image if that loses less work than the gang would lose while fetching the image, and that nothing is preempted if the
// fetch is short.
func TestGangPreemptsForImageLocality(t *testing.T) {
	for _, c := range []struct {
		imageGB     float64
		wantPreempt bool
	}{{40, true}, {2, false}} {
		env := newEnvironment(t, 6)
		wait := config.Objective{Kind: "wait", Class: "g", WithinS: 60, Share: 0.9}
		s := New(Params{Beta: 0.8, Threshold: 0.5, Objectives: []config.Objective{wait}})
		gang := env.submit(9, func(s *wire.JobSpec) {
			s.Class, s.Shape, s.Priority, s.Tasks, s.CPUs = "g", wire.Gang, wire.High, 2, 4
			s.Image, s.ImageGB = "big", c.imageGB
		})
		low := env.submit(1, func(s *wire.JobSpec) { s.Tasks = 8 })
		for i, id := range []model.MachineID{1, 2} { // both machines have the image and are full of low-priority work
			machine := env.model.Machines[id]
			machine.TouchImage(env.model, gang, 0)
			for k := range 4 {
				task := int32(4*i + k)
				env.apply(&model.Entry{
					Kind: model.EntryPlace, Job: 1, Task: task, Attempt: 1, Machine: id, AgentEpoch: 1,
				})
				low.Tasks[task].Run.StartedAt = 1e9
			}
		}
		s.Round(env.model, 3e9, true, env)
		if preempted := len(env.stopped) > 0; preempted != c.wantPreempt || c.wantPreempt != (gang.PlacedTasks == 0) {
			t.Errorf("image of %g GB: %d tasks preempted and %d members placed, pending reason %q; want preemption: %v",
				c.imageGB, len(env.stopped), gang.PlacedTasks, gang.Scheduling.PendingReason, c.wantPreempt)
		}
	}
}
