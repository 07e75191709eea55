// Package sched decides what runs where. The ordinary path is DAD, data-aware
// task dispatching (Li and Tatebe): the free machine with the lowest score takes
// the task, and a task may wait some rounds for a busy machine that has its
// image. Around it stand what the paper does not treat: order among jobs, gangs,
// limits, room for urgent work, and preemption.
//
// The package is pure: it reads the model and calls a Doer for each decision;
// the Doer applies a placement to the model before it returns.
package scheduler

import (
	"maps"
	"slices"

	"fieldhill/internal/config"
	"fieldhill/internal/model"
)

// Params are the knobs of DAD and the site's objectives.
type Params struct {
	Beta       float64 // weight of locality against load
	Threshold  float64 // scores below it count as local
	WaitRounds int     // rounds that a task may wait for a busy local machine
	Objectives []config.Objective
}

// Doer carries out decisions.
type Doer interface {
	Place(j *model.Job, task int32, attempt uint32, mc *model.Machine, score float64)
	Stop(r *model.Run, hard bool, why string)
}

// Sched keeps what lasts from round to round.
type Sched struct {
	P Params
	// Headroom is how many CPUs tasks of low urgency leave free for services
	// that must start at once.
	Headroom float64

	// ForServices are machines with GPUs that services may take, and how many tasks.
	ForServices map[*model.Machine]int

	// LowMay are the machines with GPUs that low work may use.
	LowMay map[*model.Machine]bool

	// LowMost bounds the low tasks placed in a round; 0: any number. LowLeft tells
	// that some were left for the next round because of it.
	LowMost int
	LowLeft bool

	// Early tells that not all machines with work are heard of yet. Only what is urgent and finds its image on one that is
	// is placed, and nothing is stopped.
	Early bool

	// Only is the one job that is served, nil: all. It is for rounds on copies.
	Only *model.Job

	// Vacate is a machine whose replicas are to move, or nil.
	Vacate  *model.Machine
	moved   model.Time
	placeAt model.Time // when there last was a place with its image for a replica that moves; 0: never looked
	kept    map[*model.Machine]keep
	// evacuateFrom is where the next round begins to move runs off machines that are to go.
	evacuateFrom leavingPlace

	floor   floor
	service float64 // the most CPUs that a service task takes
	gpuWork GPUWork // the largest need seen of each class

	// What holds for the round at hand.
	now   model.Time
	seats []seat      // the machines that may be given work
	free  float64     // free CPUs where services go: ordinary machines without GPUs
	full  []shape     // needs that found no free room
	stuck []shape     // needs that found no room by stopping others either
	pool  []victim    // for victims
	crew  []victim    // for teamLeaves
	low   int         // low tasks placed
	gangs []gangShape // gangs that found none either
	held  bool        // a gang keeps room that is too little for it
	owed  []Room      // of each team's limit, what is kept for its waiting urgent work

	plain bool // every gang looks for itself; for tests

	// Looked counts the machines that were looked at, for tests of what a round costs.
	Looked int
}

// seat is a machine that may be given work, as this round sees it.
type seat struct {
	mc    *model.Machine
	total Room
	claim Room // kept for waiting urgent work
	leave Room // what tasks told to stop will leave
	left  bool // leave is known
	kept  Room // for services
}

// New makes a scheduler.
func New(p Params) *Sched {
	return &Sched{P: p, gpuWork: GPUWork{}, kept: map[*model.Machine]keep{}}
}

// Round places what can be placed. With tick, a DAD round has passed, and what
// waits for a busy local machine has waited one more.
func (s *Sched) Round(m *model.Model, now model.Time, tick bool, do Doer) {
	jobs := m.JobsInOrder()
	s.order(m, jobs, now)
	s.service = 0
	for _, j := range jobs {
		if j.Kind == model.Service {
			s.service = max(s.service, j.Spec.CPUs)
		}
		if j.Spec.GPUs > 0 {
			r, n := s.gpuWork[j.Class], Need(j)
			s.gpuWork[j.Class] = Room{max(r.CPUs, n.CPUs), max(r.GPUs, n.GPUs), max(r.Mem, n.Mem)}
		}
	}
	s.sit(m, now)
	q := s.queue(m, jobs, now)
	for len(q) > 0 {
		n := 1
		for n < len(q) && q[n].rank == q[0].rank && !q[n].short && !q[0].short {
			n++
		}
		s.turns(m, q[:n], now, tick, do)
		q = q[n:]
	}
	if !s.Early {
		s.evacuate(m, now, do)
		s.vacate(m, jobs, now, do)
	}
	for _, j := range jobs {
		j.NoteWhy(now)
	}
}

// sit lists the machines of a round.
func (s *Sched) sit(m *model.Model, now model.Time) {
	s.seats, s.full, s.stuck, s.gangs, s.free, s.Looked, s.held = s.seats[:0], s.full[:0], s.stuck[:0], s.gangs[:0], 0, 0, false
	s.now, s.low, s.LowLeft = now, 0, false
	s.owed = append(s.owed[:0], make([]Room, len(m.Teams))...)
	for mc, k := range s.kept {
		if now > k.until {
			delete(s.kept, mc)
		}
	}
	for _, mc := range m.Order {
		t := m.TypeOf(mc)
		if !mc.Usable() || !t.Known {
			continue
		}
		if t.GPUs == 0 && !mc.Spot {
			s.free += t.CPUs - mc.CPUs
		}
		st := seat{mc: mc, total: Total(m, mc)}
		if len(s.kept) > 0 {
			st.kept = s.kept[mc].room
		}
		s.seats = append(s.seats, st)
	}
}

// suits tells whether a job may use a machine at all.
func (s *Sched) suits(m *model.Model, j *model.Job, st *seat, need Room) bool {
	s.Looked++
	return st.total.Holds(need) && j.Allowed(st.mc.Type, st.mc.Zone, st.mc.Spot) &&
		(j.FailedOn == nil || !j.Avoids(st.mc, s.now)) && (j.Kind == model.Service || !st.mc.ServicesOnly(s.now))
}

// leaving is the room that tasks told to stop will leave.
func (st *seat) leaving() Room {
	if !st.left {
		st.left, st.leave = true, Room{}
		for _, run := range st.mc.Runs {
			if !run.Wanted() {
				st.leave = st.leave.Plus(Need(run.Job))
			}
		}
	}
	return st.leave
}

// Dry is a scheduler for a round on a copy of a model, whose machines it finds by number: it
// decides what this one would, and changes nothing of it.
func (s *Sched) Dry(m *model.Model) *Sched {
	d := New(s.P)
	d.Headroom, d.LowMost, d.moved, d.placeAt = s.Headroom, s.LowMost, s.moved, s.placeAt
	d.evacuateFrom = s.evacuateFrom
	d.gpuWork = maps.Clone(s.gpuWork)
	d.floor = floor{slices.Clone(s.floor.classes), slices.Clone(s.floor.teams)}
	d.ForServices, d.LowMay = map[*model.Machine]int{}, map[*model.Machine]bool{}
	for mc, k := range s.ForServices {
		d.ForServices[m.Machines[mc.ID]] = k
	}
	for mc, may := range s.LowMay {
		d.LowMay[m.Machines[mc.ID]] = may
	}
	for mc, k := range s.kept {
		d.kept[m.Machines[mc.ID]] = k
	}
	if s.Vacate != nil {
		d.Vacate = m.Machines[s.Vacate.ID]
	}
	return d
}
