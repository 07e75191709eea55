package explanation

import (
	"fmt"
	"reflect"
	"testing"

	"github.com/google/go-cmp/cmp"

	"fieldhill/internal/config"
	"fieldhill/internal/model"
	"fieldhill/internal/scheduling/pending"
	"fieldhill/internal/scheduling/scheduler"
	"fieldhill/wire"
)

const now = model.Time(100e9)

// world is a site with two zones, machines of 4 CPUs, and one of 8 CPUs with GPUs.
type world struct {
	t   testing.TB
	m   *model.Model
	s   *scheduler.Sched
	seq uint64
}

func newWorld(t testing.TB) *world {
	w := &world{t: t, s: scheduler.New(scheduler.Params{Beta: 0.8, Threshold: 0.5, WaitRounds: 2})}
	w.m = model.New(&config.Params{Zones: []string{"a", "b"}, Teams: []config.Team{{Name: "red", CPUsMax: 100}, {Name: "blue", CPUs: 50}}})
	for _, ty := range []wire.MachineType{{Name: "small", CPUs: 4, MemoryGB: 16}, {Name: "large", CPUs: 8, GPUs: 2, MemoryGB: 64}, {Name: "tiny", CPUs: 1, MemoryGB: 2}} {
		ty.CacheGB, ty.FetchGBPerS, ty.Zones = 20, 1, []string{"a", "b"}
		w.apply(&model.Entry{Kind: model.EntryType, Type: &ty})
	}
	return w
}

func (w *world) apply(e *model.Entry) {
	w.t.Helper()
	w.seq++
	if err := w.m.Apply(e, w.seq, 0); err != nil {
		w.t.Fatal(err)
	}
}

func (w *world) machine(typ, zone string) *model.Machine {
	id := w.m.NextMachine
	w.apply(&model.Entry{Kind: model.EntryMachine, Machine: id, Info: &model.MachineInfo{Name: fmt.Sprint("m", id), Type: typ, Zone: zone}})
	mc := w.m.Machines[id]
	mc.Reported, mc.Session = true, 1
	return mc
}

// job accepts one of a task of 4 CPUs for small machines, unless it is changed.
func (w *world) job(n uint64, change func(*wire.JobSpec)) *model.Job {
	s := &wire.JobSpec{ID: wire.JobID(n), Class: "c", Team: "red", Shape: wire.Array, Priority: wire.Normal, Tasks: 1, CPUs: 4, MemoryGB: 4,
		Image: "i", ImageGB: 1, Types: []string{"small"}, EstimateS: 10}
	if change != nil {
		change(s)
	}
	w.apply(model.Accepted(s, 0))
	return w.m.Jobs[model.JobID(n)]
}

func (w *world) place(j *model.Job, task int32, mc *model.Machine) {
	w.apply(&model.Entry{Kind: model.EntryPlace, Job: j.ID, Task: task, Attempt: j.Tasks[task].Attempt + 1, Machine: mc.ID, Session: 1})
}

// fill has a machine taken by a job that does not give way.
func (w *world) fill(mc *model.Machine) {
	w.place(w.job(900+uint64(mc.ID), func(s *wire.JobSpec) {
		s.Priority, s.Team, s.Types, s.CPUs, s.MemoryGB = wire.Production, "blue", nil, w.m.TypeOf(mc).CPUs, 1
	}), 0, mc)
}

func (w *world) explain(j *model.Job) *Account {
	// The leader's scheduler has seen a round, as it has in the service.
	m := w.m.Clone()
	s := w.s.Dry(m)
	s.Round(m, now, true, &dry{m: m, j: m.Jobs[j.ID]})
	w.m.Jobs[j.ID].Why = m.Jobs[j.ID].Why
	c := w.m.Clone()
	return Explain(Scene{c, s.Dry(c), now}, j.ID, 200)
}

// TestEachCause builds every cause that keeps a job from its place, one at a time: it is found,
// it binds, and lifting all that holds starts the job.
func TestEachCause(t *testing.T) {
	cases := map[pending.Code]func(w *world) *model.Job{
		pending.Paused: func(w *world) *model.Job {
			w.machine("small", "a")
			j := w.job(1, nil)
			j.NotBefore, j.Errors = now+5e9, 2
			return j
		},
		pending.Faulty: func(w *world) *model.Job {
			w.machine("small", "a")
			j := w.job(1, func(s *wire.JobSpec) { s.Tasks = 2 })
			w.place(j, 0, w.machine("small", "a"))
			j.Faulty = true
			return j
		},
		pending.Failed: func(w *world) *model.Job {
			mc, j := w.machine("small", "a"), w.job(1, nil)
			j.FailedOn = map[model.MachineID]model.Time{mc.ID: now}
			return j
		},
		pending.Ending: func(w *world) *model.Job {
			j := w.job(1, func(s *wire.JobSpec) { s.Shape, s.Tasks = wire.Gang, 2 })
			w.place(j, 0, w.machine("small", "a"))
			w.machine("small", "a")
			return j
		},
		pending.Queue: func(w *world) *model.Job {
			w.machine("small", "a")
			w.job(2, func(s *wire.JobSpec) { s.Priority = wire.High })
			return w.job(1, nil)
		},
		pending.Paced: func(w *world) *model.Job {
			w.s.LowMost = 1
			w.machine("small", "a")
			return w.job(1, func(s *wire.JobSpec) { s.Tasks, s.CPUs, s.Priority = 3, 1, wire.Low })
		},
		pending.Team: func(w *world) *model.Job {
			w.machine("small", "a")
			w.m.Teams[0].CPUsMax = 3
			return w.job(1, nil)
		},
		pending.Small: func(w *world) *model.Job {
			w.machine("tiny", "a")
			return w.job(1, func(s *wire.JobSpec) { s.Types = []string{"tiny"} })
		},
		pending.Booting:    func(w *world) *model.Job { w.machine("small", "a").Reported = false; return w.job(1, nil) },
		pending.Returning:  func(w *world) *model.Job { w.machine("small", "a").Releasing = true; return w.job(1, nil) },
		pending.Suspect:    func(w *world) *model.Job { w.machine("small", "a").Suspect = true; return w.job(1, nil) },
		pending.Distrusted: func(w *world) *model.Job { w.machine("small", "a").DoubtSince = 1; return w.job(1, nil) },
		pending.Draining:   func(w *world) *model.Job { w.machine("small", "a").Draining = true; return w.job(1, nil) },
		pending.Slow:       func(w *world) *model.Job { w.machine("small", "a").SlowUntil = now + 1; return w.job(1, nil) },
		pending.Spread: func(w *world) *model.Job {
			j := w.job(1, func(s *wire.JobSpec) { s.Tasks, s.CPUs, s.Spread = 2, 2, true })
			w.place(j, 0, w.machine("small", "a"))
			return j
		},
		pending.SameZone: func(w *world) *model.Job {
			w.machine("small", "a")
			w.machine("small", "b")
			return w.job(1, func(s *wire.JobSpec) { s.Shape, s.Tasks, s.SameZone = wire.Gang, 2, true })
		},
		pending.Headroom: func(w *world) *model.Job {
			w.machine("small", "a")
			w.s.Headroom = 2
			return w.job(1, nil)
		},
		pending.Dear: func(w *world) *model.Job {
			w.machine("large", "a")
			return w.job(1, func(s *wire.JobSpec) { s.Types, s.Priority = nil, wire.Low })
		},
		pending.ForGPUs: func(w *world) *model.Job {
			w.machine("large", "a")
			w.place(w.job(2, func(s *wire.JobSpec) { s.Types, s.GPUs, s.Shape = []string{"large"}, 1, wire.Gang }), 0, w.machine("large", "b"))
			return w.job(1, func(s *wire.JobSpec) { s.Types, s.Shape, s.CPUs = nil, wire.Service, 6 })
		},
		pending.Image: func(w *world) *model.Job {
			busy := w.machine("small", "a")
			w.place(w.job(2, func(s *wire.JobSpec) { s.CPUs = 3 }), 0, busy)
			busy.Runs[0].Phase = model.Running
			busy.Touch(w.m, w.m.Jobs[2], now)
			w.machine("small", "b")
			return w.job(1, nil)
		},
		pending.Full: func(w *world) *model.Job { w.fill(w.machine("small", "a")); return w.job(1, nil) },
	}
	for _, l := range lifts {
		if cases[l.code] == nil {
			t.Errorf("no case for %s", l.code)
		}
	}
	for code, build := range cases {
		w := newWorld(t)
		j := build(w)
		before := snapshot(w)
		a := w.explain(j)
		found := false
		for _, f := range a.Findings {
			if f.Code == code {
				found = true
				if !f.Binds {
					t.Errorf("%s holds and does not bind: now %+v, without it %+v", code, a.Now, f.Outcome)
				}
			}
		}
		if !found {
			t.Errorf("%s is not found, but %v; now %+v", code, a.Findings, a.Now)
		}
		if !a.Complete {
			t.Errorf("%s: with all reasons lifted %+v of %d", code, a.All, a.Waiting)
		}
		if d := cmp.Diff(before, snapshot(w)); d != "" {
			t.Errorf("%s: explaining changed the model: %s", code, d)
		}
	}
}

// snapshot is what must not change: the replicated part, and what was seen of machines.
func snapshot(w *world) (out []string) {
	out = append(out, string(w.m.Snapshot()), fmt.Sprint(w.s.Headroom, w.s.LowMost, w.s.Only, len(w.s.ForServices), len(w.s.LowMay)))
	for _, mc := range w.m.Order {
		out = append(out, fmt.Sprint(mc.Info.Name, mc.Reported, mc.Releasing, mc.Suspect, mc.DoubtSince, mc.Draining, mc.SlowUntil, mc.CPUs, len(mc.Runs)))
	}
	for _, j := range w.m.JobsInOrder() {
		out = append(out, fmt.Sprint(j.ID, j.NotBefore, j.Waited, j.Faulty, j.Live, j.Team.CPUsMax, j.Spec.Spread, len(j.FailedOn)))
	}
	return out
}

// TestTwoCausesAtOnce: where two reasons bind together, neither is said to bind alone.
func TestTwoCausesAtOnce(t *testing.T) {
	w := newWorld(t)
	w.machine("small", "a").Draining = true
	w.m.Teams[0].CPUsMax = 3
	a := w.explain(w.job(1, nil))
	for _, f := range a.Findings {
		if f.Binds {
			t.Errorf("%s is said to bind alone", f.Code)
		}
	}
	want := [2]pending.Code{pending.Team, pending.Draining}
	some := false
	for _, p := range a.Together {
		some = some || p == want
	}
	if !some || !a.Complete {
		t.Errorf("together %v, complete %v; wanted %v among them", a.Together, a.Complete, want)
	}
}

// TestNothingWaits: a job that runs, and one that is unknown.
func TestNothingWaits(t *testing.T) {
	w := newWorld(t)
	j := w.job(1, nil)
	w.place(j, 0, w.machine("small", "a"))
	if a := w.explain(j); a.Waiting != 0 || len(a.Findings) != 0 {
		t.Errorf("of a job that runs: %+v", a)
	}
	if a := Explain(Scene{w.m.Clone(), scheduler.New(w.s.P), now}, 77, 10); a != nil {
		t.Errorf("of an unknown job: %+v", a)
	}
}

// TestRoundsAreBounded: a job for which everything holds takes no more rounds than allowed.
func TestRoundsAreBounded(t *testing.T) {
	w := newWorld(t)
	w.fill(w.machine("small", "a"))
	for _, set := range []func(*model.Machine){
		func(mc *model.Machine) { mc.Releasing = true }, func(mc *model.Machine) { mc.Suspect = true }, func(mc *model.Machine) { mc.DoubtSince = 1 },
		func(mc *model.Machine) { mc.Draining = true }, func(mc *model.Machine) { mc.Reported = false }} {
		set(w.machine("small", "a"))
	}
	w.m.Teams[0].CPUsMax = 3
	j := w.job(1, nil)
	c := w.m.Clone()
	if a := Explain(Scene{c, w.s.Dry(c), now}, j.ID, 8); !a.Cut || len(a.Findings) < 5 {
		t.Errorf("with few rounds: cut %v, %d findings", a.Cut, len(a.Findings))
	}
	if a := w.explain(j); a.Cut || !a.Complete {
		t.Errorf("with enough rounds: cut %v, complete %v", a.Cut, a.Complete)
	}
}

// TestCloneIsWhole: a round on a copy decides what it does on the model.
func TestCloneIsWhole(t *testing.T) {
	w := newWorld(t)
	for i := range 6 {
		w.machine([]string{"small", "large"}[i%2], []string{"a", "b"}[i/3])
	}
	for n := range uint64(8) {
		w.job(n+1, func(s *wire.JobSpec) { s.Types, s.CPUs, s.Tasks, s.Spread = nil, float64(1+n%4), int(1+n%3), n%2 == 0 })
	}
	c := w.m.Clone()
	on := func(m *model.Model) (out []string) {
		s := w.s.Dry(m)
		s.Round(m, now, true, &dry{m: m})
		for _, mc := range m.Order {
			for _, r := range mc.Runs {
				out = append(out, fmt.Sprintf("%d/%d on %s", r.Job.ID, r.Task, mc.Info.Name))
			}
		}
		return out
	}
	if a, b := on(c), on(w.m); len(a) == 0 || !reflect.DeepEqual(a, b) {
		t.Errorf("on the copy %v, on the model %v", a, b)
	}
}
