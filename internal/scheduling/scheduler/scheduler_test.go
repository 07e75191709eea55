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

// TestScoreMatchesPaper compares the score with a plain reading of the paper's
// formulas (1) and (2) for one file.
func TestScoreMatchesPaper(t *testing.T) {
	s := New(Params{Beta: 0.8})
	for _, size := range []float64{0, 1, 1e6, 6.2e9} {
		for _, on := range []bool{true, false} {
			locality := size // access cost of the file
			present := 0.0
			if on {
				locality, present = -size, size
			}
			paper := locality/(size+1)/2 + 0.5
			for _, load := range []float64{0, 0.3, 1} {
				want := paper*0.8 + load*0.2
				if actual := s.Params.score(fileLocality(present, size), load); math.Abs(actual-want) > 1e-12 {
					t.Errorf("size %g, there %v, load %g: %g, the paper says %g", size, on, load, actual, want)
				}
			}
		}
	}
}

// environment applies decisions to a model, as the controller does, and checks each
// against a plain reading of the rules.
type environment struct {
	test    *testing.T
	model   *model.Model
	seq     uint64
	placed  []string
	stopped []string
}

func (w *environment) apply(e *model.Entry) {
	w.seq++
	if err := w.model.Apply(e, w.seq, model.Time(w.seq)); err != nil {
		w.test.Fatal(err)
	}
}

// place has a task run on a machine, whatever the scheduler would say.
func (w *environment) place(job model.JobID, task int32, machine *model.Machine) {
	w.apply(&model.Entry{Kind: model.EntryPlace, Job: job, Task: task, Attempt: 1, Machine: machine.ID,
		Session: machine.Contact.Session})
}

func (w *environment) Bind(j *model.Job, task int32, attempt uint32, machine *model.Machine, _ float64) {
	w.apply(&model.Entry{Kind: model.EntryPlace, Job: j.ID, Task: task, Attempt: attempt, Machine: machine.ID,
		Session: machine.Contact.Session})
	w.placed = append(w.placed, fmt.Sprintf("%d/%d on %s", j.ID, task, machine.Info.Name))
	w.checkPlacement(j, machine)
}

// checkPlacement checks that a machine and a team hold what they have, and that the job allows where its tasks are.
func (w *environment) checkPlacement(j *model.Job, machine *model.Machine) {
	t := w.model.TypeOf(machine)
	var cpus, mem, team float64
	zones := map[string]int{}
	for _, o := range w.model.Order {
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
		w.test.Fatalf("%s holds %g CPUs and %g GB", machine.Info.Name, cpus, mem)
	case j.Team.CPUsMax > 0 && team > j.Team.CPUsMax:
		w.test.Fatalf("team %s uses %g CPUs", j.Team.Name, team)
	case machine.Spot && !j.Spec.Spot, j.Spec.Zone != nil && *j.Spec.Zone != zone, j.Spec.SameZone && len(zones) > 1:
		w.test.Fatalf("job %d does not allow %s", j.ID, machine.Info.Name)
	case j.Spec.Spread && zones[zone] > (len(j.Tasks)+1)/2:
		w.test.Fatalf("job %d has %d of %d tasks in zone %s", j.ID, zones[zone], len(j.Tasks), zone)
	}
}

func (w *environment) Preempt(r *model.Run, hard bool, reason string) {
	r.Stop = true
	w.stopped = append(w.stopped, wire.TaskID(uint64(r.Job.ID), int(r.Task)))
}

// endStopping ends what is preempted on a machine.
func (w *environment) endStopping(machine *model.Machine) {
	for _, r := range slices.Clone(machine.Runs) {
		if r.Stop {
			w.apply(&model.Entry{Kind: model.EntryEnded, Job: r.Job.ID, Task: r.Task, Attempt: r.Attempt})
		}
	}
}

// finish ends a run as done.
func (w *environment) finish(r *model.Run) {
	w.apply(&model.Entry{Kind: model.EntryDone, Job: r.Job.ID, Task: r.Task, Attempt: r.Attempt})
}

// finishSome ends those runs of a machine as done for which it is asked whether to and the answer is yes.
func (w *environment) finishSome(machine *model.Machine, isDone func() bool) {
	for _, r := range slices.Clone(machine.Runs) {
		if isDone() {
			w.finish(r)
		}
	}
}

func newEnvironment(t *testing.T, machines int) *environment {
	t.Helper()
	w := &environment{test: t, model: model.New(&config.Params{
		Zones: []string{"a", "b"},
		Teams: []config.Team{{Name: "red", CPUs: 4, CPUsMax: 12}, {Name: "blue", CPUs: 8}},
	})}
	w.apply(&model.Entry{Kind: model.EntryType, Type: &wire.MachineType{
		Name: "t", CPUs: 4, MemoryGB: 8, CacheGB: 10, FetchGBPerS: 1, Zones: []string{"a", "b"},
	}})
	for i := range machines {
		id, zone := model.MachineID(i+1), string(rune('a'+i%2))
		info := &model.MachineInfo{Name: fmt.Sprint("m", i), Type: "t", Zone: zone, Spot: i%4 == 3}
		w.apply(&model.Entry{Kind: model.EntryMachine, Machine: id, Info: info})
		machine := w.model.Machines[id]
		machine.Contact.Reported, machine.Contact.Session = true, 1
	}
	return w
}

// submit submits a small low-priority array, as changed.
func (w *environment) submit(n uint64, change func(*wire.JobSpec)) *model.Job {
	s := &wire.JobSpec{
		ID: wire.JobID(n), Class: "c", Team: "blue", Shape: wire.Array, Priority: wire.Low,
		Tasks: 1, CPUs: 1, MemoryGB: 1, Image: "i", ImageGB: 1,
	}
	if change != nil {
		change(s)
	}
	w.apply(model.Accepted(s, 0))
	return w.model.Jobs[model.JobID(n)]
}

// webStartsSoon wants services of class web to start before web's image can be fetched.
var webStartsSoon = Params{
	Beta:       0.8,
	Threshold:  0.5,
	Objectives: []config.Objective{{Kind: "wait", Class: "web", WithinS: 1, Share: 0.9}},
}

// submitWeb submits a service whose image takes 3 s to fetch.
func (w *environment) submitWeb(n uint64, tasks int) *model.Job {
	return w.submit(n, func(s *wire.JobSpec) {
		s.Tasks, s.Class, s.Shape, s.Priority, s.Image, s.ImageGB = tasks, "web", wire.Service, wire.Production, "w", 3
	})
}

// TestRulesHoldAtRandom places random work, lets some of it end, and checks
// every placement against the rules.
func TestRulesHoldAtRandom(t *testing.T) {
	for seed := range uint64(30) {
		rng := rand.New(rand.NewPCG(seed, 4))
		w := newEnvironment(t, 8)
		s := New(Params{Beta: 0.8, Threshold: 0.5, WaitRounds: 2})
		n := uint64(0)
		for round := range 60 {
			for range rng.IntN(3) {
				n++
				w.submit(n, func(s *wire.JobSpec) { randomizeJob(rng, s) })
			}
			s.Round(w.model, model.Time(round)*2e9, true, w)
			for _, machine := range w.model.Order {
				for _, r := range slices.Clone(machine.Runs) {
					if r.Stop {
						w.apply(&model.Entry{Kind: model.EntryEnded, Job: r.Job.ID, Task: r.Task, Attempt: r.Attempt})
					} else if rng.IntN(4) == 0 {
						w.finish(r)
					}
				}
			}
		}
		if len(w.placed) < 20 {
			t.Errorf("seed %d: only %d tasks were placed", seed, len(w.placed))
		}
	}
}

// randomizeJob makes a job of any shape, priority, size and constraints.
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

// TestWaitForABusyHolder: a task waits the given rounds for a busy machine that
// has its image, and no longer; a job waits once and not for each task.
func TestWaitForABusyHolder(t *testing.T) {
	w := newEnvironment(t, 2)
	s := New(Params{Beta: 0.8, Threshold: 0.5, WaitRounds: 2})
	first := w.submit(1, func(s *wire.JobSpec) { s.Tasks = 4 })
	holder := w.model.Machines[1]
	holder.TouchImage(w.model, first, 0)
	s.Round(w.model, 0, true, w)
	if len(holder.Runs) != 4 {
		t.Fatalf("the holder of the image got %d of 4 tasks: %v", len(holder.Runs), w.placed)
	}
	second := w.submit(2, func(s *wire.JobSpec) { s.Tasks = 3 })
	for round := 1; round <= 2; round++ {
		for range 3 {
			if s.Round(w.model, 0, false, w); second.Live != 0 {
				t.Fatal("a round that an event woke counted as waiting")
			}
		}
		s.Round(w.model, 0, true, w)
		if reason := second.Scheduling.PendingReason; second.Live != 0 || reason.Code != pending.ImageBusy {
			t.Fatalf("round %d: %d tasks were placed, it waits for %q", round, second.Live, reason)
		}
	}
	s.Round(w.model, 0, true, w)
	if reason := second.Scheduling.PendingReason; second.Live != 3 || reason.IsSet() {
		t.Errorf("after the wait %d of 3 tasks are placed, it waits for %q", second.Live, reason)
	}
}

// TestGangAllOrNone: a gang starts when every member finds room in one round, and
// with one attempt number.
func TestGangAllOrNone(t *testing.T) {
	w := newEnvironment(t, 2)
	s := New(Params{Beta: 0.8, Threshold: 0.5})
	g := w.submit(1, func(s *wire.JobSpec) { s.Shape, s.Tasks, s.CPUs, s.SameZone = wire.Gang, 2, 3, true })
	if s.Round(w.model, 0, true, w); g.Live != 0 || g.Scheduling.PendingReason.Code != pending.NoGangCapacity {
		t.Fatalf("half a gang was placed: %v, or it waits for %q", w.placed, g.Scheduling.PendingReason)
	}
	free := w.submit(2, func(s *wire.JobSpec) { s.Shape, s.Tasks, s.CPUs = wire.Gang, 2, 3 })
	if s.Round(w.model, 0, true, w); free.Live != 2 || free.Tasks[0].Attempt != free.Tasks[1].Attempt {
		t.Errorf("%d of 2 members are placed: %v", free.Live, w.placed)
	}
}

// TestPreemptionForUrgentWork: low-priority work gives way to a service, as little of it as will
// do, and what is freed is not given to low-priority work again.
func TestPreemptionForUrgentWork(t *testing.T) {
	w := newEnvironment(t, 1)
	s := New(Params{Beta: 0.8, Threshold: 0.5})
	low := w.submit(1, func(s *wire.JobSpec) { s.Tasks = 9 })
	s.Round(w.model, 0, true, w)
	web := w.submit(2, func(s *wire.JobSpec) { s.Shape, s.Priority, s.CPUs = wire.Service, wire.Production, 2 })
	s.Round(w.model, 100e9, false, w)
	s.Round(w.model, 101e9, false, w)
	if len(w.stopped) != 2 {
		t.Fatalf("stopped %v for a service of 2 CPUs", w.stopped)
	}
	for _, r := range append([]*model.Run(nil), w.model.Machines[1].Runs...) {
		if r.Stop {
			w.apply(&model.Entry{Kind: model.EntryEnded, Job: 1, Task: r.Task, Attempt: r.Attempt})
			s.Round(w.model, 102e9, false, w)
		}
	}
	if reason := low.Scheduling.PendingReason; web.Live != 1 || low.Live != 2 || reason.Code != pending.NoCapacity {
		t.Errorf("%d replicas and %d low-priority tasks are placed, the rest waits for %q", web.Live, low.Live, reason)
	}
}

// TestShortArraysFirst: when room is short, low-priority arrays are served shortest first,
// and what is late for good comes last, but for one task of it: it begins. Arrays of normal priority are served
// so as well; by turns all of them were late together.
func TestShortArraysFirst(t *testing.T) {
	w := newEnvironment(t, 1)
	finished := config.Objective{Kind: "finished", Class: "c", WithinS: 100, Share: 0.9}
	s := New(Params{Beta: 0.8, Threshold: 0.5, Objectives: []config.Objective{finished}})
	late := w.submit(1, func(s *wire.JobSpec) { s.Tasks = 9 }) // more than its team is guaranteed
	late.Observed.KnownSince = -200e9
	long := w.submit(2, func(s *wire.JobSpec) { s.Tasks, s.EstimateS = 20, 30 })
	short := w.submit(3, func(s *wire.JobSpec) { s.Tasks, s.EstimateS = 3, 30 })
	s.Round(w.model, 0, true, w)
	if short.Live != 3 || long.Live != 0 || late.Live != 1 {
		t.Errorf("placed %d of the short, %d of the long, %d of the late job", short.Live, long.Live, late.Live)
	}
	w.apply(&model.Entry{Kind: model.EntryDone, Job: 3, Task: 0, Attempt: 1})
	s.Round(w.model, 1e9, true, w)
	if long.Live != 1 || late.Live != 1 {
		t.Errorf("then placed %d of the long, %d of the late job", long.Live, late.Live)
	}
}

// TestNormalArraysInTime: of arrays of normal priority with deadlines those that can keep theirs go first, the smallest
// first.
func TestNormalArraysInTime(t *testing.T) {
	w := newEnvironment(t, 1)
	s := New(Params{Beta: 0.8, Threshold: 0.5, Objectives: []config.Objective{
		{Kind: "deadline", Class: "c", Share: 0.9},
		{Kind: "deadline", Class: "c", Times: 1.5, Share: 0.9},
	}})
	submitArray := func(n uint64, tasks int, due float64) *model.Job {
		j := w.submit(n, func(s *wire.JobSpec) {
			s.Priority, s.Tasks, s.EstimateS, s.DeadlineS = wire.Normal, tasks, 30, &due
		})
		j.Scheduling.Guaranteed = false
		return j
	}
	late, large, small := submitArray(1, 9, 20), submitArray(2, 20, 70), submitArray(3, 3, 70)
	s.Round(w.model, 5e9, true, w)
	if small.Live != 3 || large.Live != 1 || late.Live != 0 {
		t.Errorf("placed %d of the small, %d of the large, %d of the job that is late anyway",
			small.Live, large.Live, late.Live)
	}
}

// TestGangsInTimeFirst: in a burst of gangs those that can still start in time go first, the
// smallest work first, and none waits past the last objective for it. In the order of arrival
// each waited for those that were late already, and nearly all were late.
func TestGangsInTimeFirst(t *testing.T) {
	w := newEnvironment(t, 1)
	s := New(Params{Beta: 0.8, Threshold: 0.5, Objectives: []config.Objective{
		{Kind: "wait", Class: "g", WithinS: 40},
		{Kind: "wait", Class: "g", WithinS: 60},
		{Kind: "wait", Class: "g", WithinS: 180},
	}})
	gang := func(n uint64, class string, estimate float64, began model.Time) *model.Job {
		j := w.submit(n, func(s *wire.JobSpec) {
			s.Shape, s.Priority, s.CPUs, s.Class, s.EstimateS = wire.Gang, wire.High, 4, class, estimate
		})
		j.Observed.KnownSince = began * 1e9
		return j
	}
	late, fresh, small, once := gang(1, "g", 120, 0), gang(2, "g", 100, 80), gang(3, "g", 50, 85), gang(4, "g", 10, 55)
	other, again := gang(5, "h", 200, 99), gang(6, "g", 300, 0)
	again.Tasks[0].Attempt = 1
	order := func(at model.Time) (ids []model.JobID) {
		for _, q := range s.queue(w.model, w.model.JobsInOrder(), at*1e9) {
			ids = append(ids, q.job.ID)
		}
		return ids
	}
	for _, c := range []struct {
		at   model.Time
		want []*model.Job
	}{
		{100, []*model.Job{other, again, small, fresh, once, late}}, // one is late for 40 s, one for 60 s too
		{119, []*model.Job{other, again, small, fresh, once, late}},
		{120, []*model.Job{late, other, again, small, fresh, once}}, // its last objective is near
		{190, []*model.Job{once, other, again, small, fresh, late}}, // it has missed that too
		{541, []*model.Job{late, other, again, once, small, fresh}}, // it has waited for long
	} {
		var want []model.JobID
		for _, j := range c.want {
			want = append(want, j.ID)
		}
		if actual := order(c.at); !slices.Equal(actual, want) {
			t.Errorf("after %d s the queue is %v, not %v", c.at, actual, want)
		}
	}
}

// referenceEnvironment checks each placement against a plain reading of DAD: no machine
// with room has a lower score.
type referenceEnvironment struct {
	*environment
	scheduler *Scheduler
}

func (p *referenceEnvironment) Bind(
	j *model.Job,
	task int32,
	attempt uint32,
	machine *model.Machine,
	reportedScore float64,
) {
	score := func(o *model.Machine) float64 {
		return p.scheduler.Params.score(locality(p.model, j, o), load(p.model, o))
	}
	best := score(machine)
	if d := reportedScore - best; d > 1e-9 || d < -1e-9 {
		p.test.Fatalf("job %d is said to go to %s with score %g, not %g", j.ID, machine.Info.Name, reportedScore, best)
	}
	for _, o := range p.model.Order {
		if o.IsUsable() && p.hasRoom(j, o) && score(o) < best-1e-9 {
			p.test.Fatalf("job %d went to %s with score %g, %s has %g",
				j.ID, machine.Info.Name, best, o.Info.Name, score(o))
		}
	}
	p.environment.Bind(j, task, attempt, machine, reportedScore)
}

// hasRoom tells whether a task of a job may go to a machine and fits there, by the model's plain rules.
func (w *environment) hasRoom(j *model.Job, machine *model.Machine) bool {
	return j.AllowsMachine(machine.Type, machine.Zone, machine.Spot) && w.model.Fits(j, machine) &&
		j.ZoneAllows(machine.Zone)
}

// TestChoiceMatchesDAD compares the ordered candidates with a full scan at each
// placement, and what is left waiting with whether anything fits.
func TestChoiceMatchesDAD(t *testing.T) {
	for seed := range uint64(20) {
		rng := rand.New(rand.NewPCG(seed, 9))
		w := newEnvironment(t, 12)
		s := New(Params{Beta: 0.8, Threshold: 0.5})
		n := uint64(0)
		for round := range 30 {
			for range rng.IntN(4) {
				n++
				w.submit(n, func(s *wire.JobSpec) {
					s.Tasks, s.CPUs, s.MemoryGB = 1+rng.IntN(6), float64(1+rng.IntN(6))/2, float64(1+rng.IntN(3))
					s.Image, s.ImageGB, s.Spread, s.Spot = fmt.Sprint(n), 1, rng.IntN(2) == 0, rng.IntN(2) == 0
					if rng.IntN(3) == 0 {
						s.Team = "red"
					}
				})
			}
			s.Round(w.model, model.Time(round)*2e9, true, &referenceEnvironment{w, s})
			if j, machine := w.waitsThoughItFits(); j != nil {
				t.Fatalf("seed %d: job %d waits although %s has room", seed, j.ID, machine.Info.Name)
			}
			for _, machine := range w.model.Order {
				w.finishSome(machine, func() bool { return rng.IntN(3) == 0 })
			}
		}
	}
}

// waitsThoughItFits finds a job that waits though its team's limit allows a task and a machine has room for it.
func (w *environment) waitsThoughItFits() (*model.Job, *model.Machine) {
	for _, j := range w.model.JobsInOrder() {
		if j.Waiting() == 0 || !j.TeamLimitAllows(1) {
			continue
		}
		for _, machine := range w.model.Order {
			if w.hasRoom(j, machine) {
				return j, machine
			}
		}
	}
	return nil, nil
}

// TestRoundCostsWhatChanged: on a large full site a round looks at the machines a
// few times, not once for every job that waits. Every waiting job used to scan
// them all, each time anything happened anywhere.
func TestRoundCostsWhatChanged(t *testing.T) {
	w := newEnvironment(t, 400)
	s := New(Params{Beta: 0.8, Threshold: 0.5})
	w.submit(1, func(s *wire.JobSpec) { s.Tasks, s.Spot, s.Priority = 1600, true, wire.Normal })
	s.Round(w.model, 0, true, w)
	if len(w.placed) != 1600 {
		t.Fatalf("%d tasks fill the machines", len(w.placed))
	}
	for n := range uint64(200) {
		w.submit(2+n, func(s *wire.JobSpec) {
			s.Tasks, s.Spot, s.CPUs = 50, true, 1+float64(n%5)/10
			if n%4 == 0 {
				s.Priority = wire.High // room is made for it
			}
		})
	}
	s.Round(w.model, 60e9, true, w)
	s.Round(w.model, 62e9, false, w)
	if limit := 40 * 400; s.Examined > limit {
		t.Errorf("a round looked at machines %d times, for 400 machines and 200 waiting jobs", s.Examined)
	}
	placed := len(w.placed)
	r := w.model.Machines[7].Runs[0]
	w.apply(&model.Entry{Kind: model.EntryDone, Job: 1, Task: r.Task, Attempt: r.Attempt})
	if s.Round(w.model, 64e9, false, w); len(w.placed) != placed+1 {
		t.Errorf("%d tasks were placed in the room that one left", len(w.placed)-placed)
	}
}

// TestHigherRankedIsNotPreempted: a job of high priority beyond its team's guarantee
// does not preempt low-priority work within one, which is served before it: that was placed
// again and preempted again many times a second.
func TestHigherRankedIsNotPreempted(t *testing.T) {
	w := newEnvironment(t, 1)
	w.model.Teams[0].CPUs = 3 // red's guarantee is for neither of its gangs
	s := New(Params{Beta: 0.8, Threshold: 0.5})
	low := w.submit(1, func(s *wire.JobSpec) { s.Tasks, s.CPUs, s.MemoryGB = 4, 1, 2 }) // blue: 4 of 8 CPUs guaranteed
	high := w.submit(2, func(s *wire.JobSpec) {
		s.Shape, s.Team, s.Priority, s.CPUs, s.Tasks = wire.Gang, "red", wire.High, 4, 3
	})
	one := w.submit(3, func(s *wire.JobSpec) { s.Shape, s.Team, s.Priority, s.CPUs = wire.Gang, "red", wire.High, 4 })
	for i := range 5 {
		s.Round(w.model, model.Time(100+i)*1e9, true, w)
	}
	if low.Live != 4 || len(w.stopped) != 0 || high.Live+one.Live != 0 {
		t.Errorf("%d low-priority tasks are placed, %v were preempted", low.Live, w.stopped)
	}
}

// TestGangOfSeveralGetsRoom: low-priority work gives way to a gang that needs several
// machines, and gangs of one machine do not take, one after the other, what the
// first in the queue has waited for for long.
func TestGangOfSeveralGetsRoom(t *testing.T) {
	w := newEnvironment(t, 4) // a, b, a, b (spot)
	s := New(Params{Beta: 0.8, Threshold: 0.5})
	gang := func(n uint64, tasks int) *model.Job {
		return w.submit(n, func(s *wire.JobSpec) {
			s.Shape, s.Priority, s.CPUs, s.Tasks, s.SameZone = wire.Gang, wire.High, 4, tasks, true
		})
	}
	end := func(j *model.Job) {
		for i := range j.Tasks {
			if r := j.Tasks[i].Run; r != nil {
				w.apply(&model.Entry{Kind: model.EntryDone, Job: j.ID, Task: r.Task, Attempt: r.Attempt})
			}
		}
	}
	one, other := gang(1, 1), gang(2, 1)
	s.Round(w.model, 0, true, w)
	low := w.submit(3, func(s *wire.JobSpec) { s.Tasks, s.Team = 5, "red" }) // beyond its guarantee
	s.Round(w.model, 1e9, true, w)
	pair, late := gang(4, 2), gang(5, 1)
	s.Round(w.model, 700e9, true, w)
	if one.Live != 1 || other.Live != 1 || low.Live != 4 || pair.Live != 0 || len(w.stopped) != 0 {
		t.Fatalf("placed %v, stopped %v for a part of a gang", w.placed, w.stopped)
	}
	end(one)
	s.Round(w.model, 701e9, true, w)
	if late.Live != 0 || len(w.stopped) != 4 {
		t.Fatalf("%d members of a later gang are placed, stopped %v", late.Live, w.stopped)
	}
	for i := range 4 {
		w.apply(&model.Entry{Kind: model.EntryEnded, Job: 3, Task: int32(i), Attempt: 1})
	}
	if s.Round(w.model, 702e9, true, w); pair.Live != 2 {
		t.Errorf("%d of 2 members are placed: %v", pair.Live, w.placed)
	}
}

// TestDrainMakesRoom: replicas leave a machine that is to be released although low-priority
// work fills every other one.
func TestDrainMakesRoom(t *testing.T) {
	w := newEnvironment(t, 2)
	s := New(Params{Beta: 0.8, Threshold: 0.5})
	web := w.submit(1, func(s *wire.JobSpec) { s.Shape, s.Priority = wire.Service, wire.Production })
	s.Round(w.model, 0, true, w)
	from, to := w.model.Machines[1], w.model.Machines[2]
	run := web.Tasks[0].Run
	run.Phase = model.Running
	to.TouchImage(w.model, web, 0)
	from.Lifecycle.Draining = true // nothing else goes there
	w.submit(2, func(s *wire.JobSpec) { s.Tasks, s.Team, s.Image = 9, "red", "j" })
	s.Round(w.model, 10e9, true, w)
	if len(to.Runs) != 4 {
		t.Fatalf("low-priority work does not fill the other machine: %v", w.placed)
	}
	from.Lifecycle.Draining = false
	s.DrainTarget = from
	s.Round(w.model, 20e9, true, w)
	if len(w.stopped) != 1 || run.Stop {
		t.Fatalf("stopped %v", w.stopped)
	}
	for _, r := range to.Runs {
		if r.Stop {
			w.apply(&model.Entry{Kind: model.EntryEnded, Job: 2, Task: r.Task, Attempt: r.Attempt})
			break
		}
	}
	from.Lifecycle.Draining = true
	s.Round(w.model, 20.3e9, true, w)
	from.Lifecycle.Draining = false
	if len(to.Runs) != 3 {
		t.Fatalf("low-priority work took the room again: %v", w.placed)
	}
	if s.Round(w.model, 21e9, true, w); !run.Stop {
		t.Error("the replica was not moved to the room made for it")
	}
}

// TestMovesArePacedByNumber: the more replicas there are, the sooner one of them may move. At one
// in 0.3 s a fleet of five thousand took four minutes to leave the expensive machines that gangs waited for.
func TestMovesArePacedByNumber(t *testing.T) {
	w := newEnvironment(t, 700)
	s := New(Params{Beta: 0.8, Threshold: 0.5})
	web := w.submit(1, func(s *wire.JobSpec) { s.Tasks, s.Shape, s.Priority = 2000, wire.Service, wire.Production })
	s.Round(w.model, 0, true, w)
	for _, machine := range w.model.Order {
		machine.TouchImage(w.model, web, 0)
		for _, r := range machine.Runs {
			r.Phase = model.Running
		}
	}
	s.DrainTarget = w.model.Machines[1]
	for at := model.Time(10e9); at < 10.6e9; at += 50e6 {
		s.Round(w.model, at, false, w)
	}
	if web.Live != 2000 || len(w.stopped) != 4 {
		t.Errorf("of %d replicas, %d were moved in 0.6 s", web.Live, len(w.stopped))
	}
}

// TestLowWorkLeavesWhereTheImageIs: a service that must start sooner than an image is
// fetched gets the place of a low-priority task on a machine that has it, and if that
// takes too long any other place.
func TestLowWorkLeavesWhereTheImageIs(t *testing.T) {
	w := newEnvironment(t, 3)
	s := New(webStartsSoon)
	w.submit(1, func(s *wire.JobSpec) { s.Tasks, s.Image = 4, "j" })
	s.Round(w.model, 0, true, w)
	full := w.model.Machines[1]
	if len(full.Runs) != 4 {
		t.Fatalf("placed %v", w.placed)
	}
	first := w.submitWeb(2, 1)
	full.TouchImage(w.model, first, 0)
	s.Round(w.model, 10e9, false, w)
	if first.Live != 0 || len(w.stopped) != 1 {
		t.Fatalf("placed %v, stopped %v", w.placed, w.stopped)
	}
	w.endStopping(full)
	if s.Round(w.model, 10.2e9, false, w); first.Live != 1 || first.Tasks[0].Run.Machine != full {
		t.Fatalf("placed %v", w.placed)
	}
	second := w.submitWeb(3, 2)
	s.Round(w.model, 20e9, false, w) // a low-priority task is preempted and does not answer
	if s.Round(w.model, 20.3e9, false, w); second.Live != 0 || len(w.stopped) != 3 {
		t.Fatalf("placed %v, stopped %v", w.placed, w.stopped)
	}
	s.Round(w.model, 20.7e9, false, w)
	if second.Live != 2 || second.Tasks[0].Run.Machine == full || len(w.stopped) != 3 {
		t.Errorf("after waiting in vain: placed %v, stopped %v", w.placed, w.stopped)
	}
}

// TestTeamLimitIsReserved: a gang with its team's limit in the way has the team's less
// urgent work preempted once, the limit is reserved for it, and it starts. Before, others of
// the team took what was freed within the same round, for as long as there were any; and
// work that is served before the gang was preempted for it and placed again before it.
func TestTeamLimitIsReserved(t *testing.T) {
	for _, guaranteed := range []bool{false, true} {
		w := newEnvironment(t, 16)
		s := New(Params{Beta: 0.8, Threshold: 0.5})
		if guaranteed { // what is within it stays new
			s.Params.Objectives = []config.Objective{{Kind: "guarantee", WithinS: 100}}
		}
		w.submit(1, func(s *wire.JobSpec) { s.Team, s.Tasks, s.Priority = "red", 4, wire.High }) // fills the guarantee
		low := w.submit(2, func(s *wire.JobSpec) { s.Team, s.Tasks = "red", 40 })
		if guaranteed {
			w.model.Teams[0].CPUs = 60
		}
		s.Round(w.model, 0, true, w) // the team is at its limit of 12
		cpus, reason := w.model.Teams[0].UsedCPUs, low.Scheduling.PendingReason
		if cpus != 12 || low.Live != 8 || reason.Code != pending.TeamLimit {
			t.Fatalf("the team uses %g CPUs, the rest waits for %q", cpus, reason)
		}
		gang := w.submit(3, func(s *wire.JobSpec) {
			s.Team, s.Shape, s.Tasks, s.CPUs, s.Priority = "red", wire.Gang, 1, 4, wire.High
		})
		if guaranteed {
			w.model.Teams[0].CPUs = 44 // the first two are within it, the gang is not
		}
		for round := range 40 {
			s.Round(w.model, model.Time(20+round)*1e9, true, w)
			for _, machine := range w.model.Order { // what is preempted leaves
				w.endStopping(machine)
			}
		}
		if guaranteed {
			if len(w.stopped) != 0 {
				t.Errorf("%d tasks that go first were preempted", len(w.stopped))
			}
			continue
		}
		if gang.Live != 1 || len(w.stopped) != 4 {
			t.Errorf("%d tasks of the gang run, %d tasks were preempted for its 4 CPUs", gang.Live, len(w.stopped))
		}
	}
}

// TestServiceTakesSpareGPUs: a service that would be late after a fetch goes to a machine
// whose GPUs no work needs, if its image is there. Low-priority work used to be preempted there for
// it, and then the service went to where it had to fetch.
func TestServiceTakesSpareGPUs(t *testing.T) {
	w := newEnvironment(t, 2)
	w.apply(&model.Entry{Kind: model.EntryType, Type: &wire.MachineType{
		Name: "g", CPUs: 4, GPUs: 2, MemoryGB: 8, CacheGB: 10, FetchGBPerS: 1, Zones: []string{"a"},
	}})
	info := &model.MachineInfo{Name: "m9", Type: "g", Zone: "a"}
	w.apply(&model.Entry{Kind: model.EntryMachine, Machine: 9, Info: info})
	spare := w.model.Machines[9]
	spare.Contact.Reported, spare.Contact.Session = true, 1
	s := New(webStartsSoon)
	s.LowPriorityAllowed = map[*model.Machine]bool{spare: true}
	w.submit(1, func(s *wire.JobSpec) { s.Tasks, s.Image, s.Types = 4, "j", []string{"g"} })
	s.Round(w.model, 0, true, w)
	web := w.submitWeb(2, 1)
	spare.TouchImage(w.model, web, 0)
	s.Round(w.model, 10e9, false, w)
	if web.Live != 0 || len(w.stopped) != 1 {
		t.Fatalf("placed %v, stopped %v", w.placed, w.stopped)
	}
	w.endStopping(spare)
	if s.Round(w.model, 10.2e9, false, w); web.Live != 1 || web.Tasks[0].Run.Machine != spare {
		t.Errorf("placed %v, stopped %v", w.placed, w.stopped)
	}
}

// TestLowWorkIsPaced: a bound on the low-priority tasks of a round leaves the rest for the next one,
// and holds up nothing else. Starts of tiny tasks used to take a small controller's processor.
func TestLowWorkIsPaced(t *testing.T) {
	w := newEnvironment(t, 8)
	s := New(Params{Beta: 0.8, Threshold: 0.5})
	s.LowPriorityLimit = 5
	low := w.submit(1, func(s *wire.JobSpec) { s.Tasks, s.CPUs, s.MemoryGB = 20, 0.5, 0.1 })
	web := w.submit(2, func(s *wire.JobSpec) { s.Tasks, s.Shape, s.Priority = 6, wire.Service, wire.Production })
	for round := range 4 {
		s.Round(w.model, model.Time(round)*1e9, true, w)
		if low.Live != 5*(round+1) || web.Live != 6 || s.LowPriorityDeferred != (round < 3) {
			t.Fatalf("round %d: %d low-priority tasks, %d replicas, deferred %v",
				round, low.Live, web.Live, s.LowPriorityDeferred)
		}
	}
}

// TestSlowMachineIsForServices: a machine that was found to be slow gets services, whose
// work it does not slow down, and nothing else until it is tried again.
func TestSlowMachineIsForServices(t *testing.T) {
	w := newEnvironment(t, 1)
	s := New(Params{Beta: 0.8, Threshold: 0.5})
	w.model.Machines[1].Health.SlowUntil = 60e9
	array := w.submit(1, func(s *wire.JobSpec) { s.Tasks = 2 })
	web := w.submit(2, func(s *wire.JobSpec) { s.Shape, s.Priority = wire.Service, wire.Production })
	if s.Round(w.model, 1e9, true, w); array.Live != 0 || web.Live != 1 {
		t.Errorf("%d tasks of the array and %d replicas are placed", array.Live, web.Live)
	}
	if s.Round(w.model, 61e9, true, w); array.Live != 2 {
		t.Errorf("later %d tasks of the array are placed", array.Live)
	}
}

// TestGangPreemptsAtImageHolders: low-priority work makes room for a gang where its image is, if less is undone by that
// than the gang would lose while free machines fetch the image; it does not where the fetch is short.
func TestGangPreemptsAtImageHolders(t *testing.T) {
	for _, c := range []struct {
		gb   float64
		stop bool
	}{{40, true}, {2, false}} {
		w := newEnvironment(t, 6)
		wait := config.Objective{Kind: "wait", Class: "g", WithinS: 60, Share: 0.9}
		s := New(Params{Beta: 0.8, Threshold: 0.5, Objectives: []config.Objective{wait}})
		gang := w.submit(9, func(s *wire.JobSpec) {
			s.Class, s.Shape, s.Priority, s.Tasks, s.CPUs = "g", wire.Gang, wire.High, 2, 4
			s.Image, s.ImageGB = "big", c.gb
		})
		low := w.submit(1, func(s *wire.JobSpec) { s.Tasks = 8 })
		for i, id := range []model.MachineID{1, 2} { // both have the gang's image, and are full of low-priority work
			machine := w.model.Machines[id]
			machine.TouchImage(w.model, gang, 0)
			for k := range 4 {
				task := int32(4*i + k)
				w.apply(&model.Entry{Kind: model.EntryPlace, Job: 1, Task: task, Attempt: 1, Machine: id, Session: 1})
				low.Tasks[task].Run.StartedAt = 1e9
			}
		}
		s.Round(w.model, 3e9, true, w)
		if stopped := len(w.stopped) > 0; stopped != c.stop || c.stop != (gang.Live == 0) {
			t.Errorf("image of %g GB: %d stopped, %d members placed, waits for %q",
				c.gb, len(w.stopped), gang.Live, gang.Scheduling.PendingReason)
		}
	}
}
