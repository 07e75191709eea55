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

// Binder carries out decisions.
type Binder interface {
	Bind(j *model.Job, task int32, attempt uint32, mc *model.Machine, score float64)
	Preempt(r *model.Run, hard bool, why string)
}

// Scheduler keeps what lasts from round to round.
type Scheduler struct {
	Params Params
	// ServiceHeadroom is how many CPUs tasks of low urgency leave free for services
	// that must start at once.
	ServiceHeadroom float64

	// ServiceSlots are machines with GPUs that services may take, and how many tasks.
	ServiceSlots map[*model.Machine]int

	// LowPriorityAllowed are the machines with GPUs that low work may use.
	LowPriorityAllowed map[*model.Machine]bool

	// LowPriorityLimit bounds the low tasks placed in a round; 0: any number. LowPriorityDeferred tells
	// that some were left for the next round because of it.
	LowPriorityLimit    int
	LowPriorityDeferred bool

	// AwaitingHeartbeats tells that not all machines with work are heard of yet. Only what is urgent and finds its
	// image on one that is is placed, and nothing is stopped.
	AwaitingHeartbeats bool

	// OnlyJob is the one job that is served, nil: all. It is for rounds on copies.
	OnlyJob *model.Job

	// DrainTarget is a machine whose replicas are to move, or nil.
	DrainTarget  *model.Machine
	lastMoveAt   model.Time
	localPlaceAt model.Time // when there last was a place with its image for a replica that moves; 0: never looked
	reservations map[*model.Machine]reservation
	// evacuateFrom is where the next round begins to move runs off machines that are to go.
	evacuateFrom evacuationCursor

	minimumShare   minimumShare
	maxServiceCPUs float64   // the most CPUs that a service task takes
	gpuDemand      GPUDemand // the largest need seen of each class

	// What holds for the round at hand.
	now               model.Time
	machines          []machineView // the machines that may be given work
	freeServiceCPUs   float64       // free CPUs where services go: ordinary machines without GPUs
	unplaceable       []demandShape // needs that found no free room
	unpreemptable     []demandShape // needs that found no room by stopping others either
	victimPool        []victim      // for victims
	teamVictimPool    []victim      // for teamPreemption
	lowPriorityPlaced int           // low tasks placed
	unplaceableGangs  []gangDemand  // gangs that found none either
	partialGangHeld   bool          // a gang keeps room that is too little for it
	reservedQuota     []Resources   // of each team's limit, what is kept for its waiting urgent work

	searchEveryGang bool // every gang looks for itself; for tests

	// Examined counts the machines that were looked at, for tests of what a round costs.
	Examined int
}

// machineView is a machine that may be given work, as this round sees it.
type machineView struct {
	machine             *model.Machine
	capacity            Resources
	claimed             Resources // kept for waiting urgent work
	stopping            Resources // what tasks told to stop will leave
	stoppingKnown       bool      // leave is known
	reservedForServices Resources // for services
}

// New makes a scheduler.
func New(p Params) *Scheduler {
	return &Scheduler{Params: p, gpuDemand: GPUDemand{}, reservations: map[*model.Machine]reservation{}}
}

// Round places what can be placed. With tick, a DAD round has passed, and what
// waits for a busy local machine has waited one more.
func (s *Scheduler) Round(m *model.Model, now model.Time, tick bool, binder Binder) {
	jobs := m.JobsInOrder()
	s.markOrder(m, jobs, now)
	s.maxServiceCPUs = 0
	for _, j := range jobs {
		if j.Kind == model.Service {
			s.maxServiceCPUs = max(s.maxServiceCPUs, j.Spec.CPUs)
		}
		if j.Spec.GPUs > 0 {
			r, n := s.gpuDemand[j.Class], TaskDemand(j)
			s.gpuDemand[j.Class] = Resources{max(r.CPUs, n.CPUs), max(r.GPUs, n.GPUs), max(r.MemoryGB, n.MemoryGB)}
		}
	}
	s.beginRound(m, now)
	queue := s.queue(m, jobs, now)
	for len(queue) > 0 {
		n := 1
		for n < len(queue) && queue[n].rank == queue[0].rank && !queue[n].shortestFirst && !queue[0].shortestFirst {
			n++
		}
		s.placeByTurns(m, queue[:n], now, tick, binder)
		queue = queue[n:]
	}
	if !s.AwaitingHeartbeats {
		s.evacuate(m, now, binder)
		s.drainReplicas(m, jobs, now, binder)
	}
	for _, j := range jobs {
		j.RecordReason(now)
	}
}

// beginRound lists the machines of a round.
func (s *Scheduler) beginRound(m *model.Model, now model.Time) {
	s.machines, s.unplaceable, s.unpreemptable, s.unplaceableGangs, s.freeServiceCPUs, s.Examined, s.partialGangHeld = s.machines[:0], s.unplaceable[:0], s.unpreemptable[:0], s.unplaceableGangs[:0], 0, 0, false
	s.now, s.lowPriorityPlaced, s.LowPriorityDeferred = now, 0, false
	s.reservedQuota = append(s.reservedQuota[:0], make([]Resources, len(m.Teams))...)
	for machine, k := range s.reservations {
		if now > k.until {
			delete(s.reservations, machine)
		}
	}
	for _, machine := range m.Order {
		t := m.TypeOf(machine)
		if !machine.IsUsable() || !t.Known {
			continue
		}
		if t.GPUs == 0 && !machine.Spot {
			s.freeServiceCPUs += t.CPUs - machine.CPUs
		}
		view := machineView{machine: machine, capacity: MachineCapacity(m, machine)}
		if len(s.reservations) > 0 {
			view.reservedForServices = s.reservations[machine].resources
		}
		s.machines = append(s.machines, view)
	}
}

// mayUse tells whether a job may use a machine at all.
func (s *Scheduler) mayUse(m *model.Model, j *model.Job, view *machineView, need Resources) bool {
	s.Examined++
	return view.capacity.Contains(need) && j.AllowsMachine(view.machine.Type, view.machine.Zone, view.machine.Spot) &&
		(j.Observed.FailedOn == nil || !j.Avoids(view.machine, s.now)) && (j.Kind == model.Service || !view.machine.ServicesOnly(s.now))
}

// stoppingResources is the room that tasks told to stop will leave.
func (view *machineView) stoppingResources() Resources {
	if !view.stoppingKnown {
		view.stoppingKnown, view.stopping = true, Resources{}
		for _, run := range view.machine.Runs {
			if !run.IsWanted() {
				view.stopping = view.stopping.Plus(TaskDemand(run.Job))
			}
		}
	}
	return view.stopping
}

// DryRunCopy is a scheduler for a round on a copy of a model, whose machines it finds by number: it
// decides what this one would, and changes nothing of it.
func (s *Scheduler) DryRunCopy(m *model.Model) *Scheduler {
	copied := New(s.Params)
	copied.ServiceHeadroom, copied.LowPriorityLimit, copied.lastMoveAt, copied.localPlaceAt = s.ServiceHeadroom, s.LowPriorityLimit, s.lastMoveAt, s.localPlaceAt
	copied.evacuateFrom = s.evacuateFrom
	copied.gpuDemand = maps.Clone(s.gpuDemand)
	copied.minimumShare = minimumShare{slices.Clone(s.minimumShare.classes), slices.Clone(s.minimumShare.teams)}
	copied.ServiceSlots, copied.LowPriorityAllowed = map[*model.Machine]int{}, map[*model.Machine]bool{}
	for machine, k := range s.ServiceSlots {
		copied.ServiceSlots[m.Machines[machine.ID]] = k
	}
	for machine, allowed := range s.LowPriorityAllowed {
		copied.LowPriorityAllowed[m.Machines[machine.ID]] = allowed
	}
	for machine, k := range s.reservations {
		copied.reservations[m.Machines[machine.ID]] = k
	}
	if s.DrainTarget != nil {
		copied.DrainTarget = m.Machines[s.DrainTarget.ID]
	}
	return copied
}
