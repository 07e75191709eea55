// Package scheduler decides what runs where. The ordinary path is DAD, data-aware
// task dispatching (Li and Tatebe): the free machine with the lowest score takes
// the task, and a task may wait some rounds for a busy machine that has its
// image. Around it is what the paper does not treat: order among jobs, gangs,
// quotas, headroom for urgent work, and preemption.
//
// The package is pure: it reads the model and calls a Binder for each decision;
// the Binder applies a placement to the model before it returns.
package scheduler

import (
	"maps"
	"slices"

	"fieldhill/internal/config"
	"fieldhill/internal/model"
	"fieldhill/internal/scheduling/pending"
)

// Params are the parameters of DAD and the site's objectives.
type Params struct {
	Beta       float64 // weight of locality against load
	Threshold  float64 // scores below it count as local
	WaitRounds int     // rounds that a task may wait for a busy local machine
	Objectives []config.Objective
}

// Directives are what the leader has the scheduler respect until it changes them.
type Directives struct {
	// ServiceHeadroom is how many CPUs tasks of low urgency leave free for services
	// that must start at once.
	ServiceHeadroom float64

	// ServiceSlots are machines with GPUs that services may take, and how many tasks. Each one that is placed takes one
	// of them.
	ServiceSlots map[*model.Machine]int

	// LowPriorityAllowed are the machines with GPUs that low-priority work may use.
	LowPriorityAllowed map[*model.Machine]bool

	// LowPriorityLimit bounds the low-priority tasks placed in a round; 0: any number.
	LowPriorityLimit int

	// AwaitingHeartbeats says that not all machines with work have reported yet. Only what is urgent and finds its
	// image on one that has is placed, and nothing is preempted.
	AwaitingHeartbeats bool

	// OnlyJob is the one job that is served, nil: all. It is for rounds on copies.
	OnlyJob *model.Job

	// DrainTarget is a machine whose replicas are to move, or nil.
	DrainTarget *model.Machine
}

// Binder carries out decisions.
type Binder interface {
	// Bind places a task. The model has it when Bind returns.
	Bind(j *model.Job, task int32, attempt uint32, machine *model.Machine, score float64)
	// Preempt has a run stop; hard: without saving a checkpoint.
	Preempt(r *model.Run, hard bool, reason string)
}

// Scheduler holds what lasts from round to round.
type Scheduler struct {
	Params Params
	Directives

	// LowPriorityDeferred says that the last round left low-priority tasks for the next one because of their limit.
	LowPriorityDeferred bool
	// Examined counts the machines that the last round looked at, for tests of what a round costs.
	Examined int

	minimumShare minimumShare
	gpuDemand    GPUDemand // the largest need seen of each class
	moves        moves
	round        round // the last one; its lists are used again
}

// New makes a scheduler.
func New(p Params) *Scheduler {
	return &Scheduler{
		Params:    p,
		gpuDemand: GPUDemand{},
		moves:     moves{reservations: map[*model.Machine]reservation{}},
	}
}

// Round places what can be placed. With tick, a DAD round has passed, and what
// waits for a busy local machine has waited one more.
func (s *Scheduler) Round(m *model.Model, now model.Time, tick bool, binder Binder) {
	jobs := m.JobsInOrder()
	s.markOrder(m, jobs, now)
	s.observeGPUDemand(jobs)
	r := &s.round
	r.params, r.directives, r.gpuDemand = &s.Params, &s.Directives, s.gpuDemand
	r.model, r.now, r.tick, r.binder = m, now, tick, binder
	s.moves.expireReservations(now)
	r.begin(jobs, s.moves.reservations)
	r.placeAll(s.queue(m, jobs, now))
	if !s.AwaitingHeartbeats {
		s.moves.evacuate(r)
		s.moves.drainReplicas(r, jobs)
	}
	for _, j := range jobs {
		j.RecordReason(now)
	}
	s.LowPriorityDeferred, s.Examined = r.lowPriorityDeferred, r.examined
}

// observeGPUDemand notes the largest need of each class that uses GPUs.
func (s *Scheduler) observeGPUDemand(jobs []*model.Job) {
	for _, j := range jobs {
		if j.Spec.GPUs > 0 {
			seen, need := s.gpuDemand[j.Class], TaskDemand(j)
			s.gpuDemand[j.Class] = Resources{
				CPUs:     max(seen.CPUs, need.CPUs),
				GPUs:     max(seen.GPUs, need.GPUs),
				MemoryGB: max(seen.MemoryGB, need.MemoryGB),
			}
		}
	}
}

// DryRunCopy is a scheduler for a round on a copy of a model, whose machines it finds by number: it
// decides what this one would, and changes nothing of it.
func (s *Scheduler) DryRunCopy(m *model.Model) *Scheduler {
	copied := New(s.Params)
	copied.gpuDemand = maps.Clone(s.gpuDemand)
	copied.minimumShare = minimumShare{slices.Clone(s.minimumShare.classes), slices.Clone(s.minimumShare.teams)}
	copied.moves = s.moves.dryRunCopy(m)
	copied.ServiceHeadroom = s.ServiceHeadroom
	copied.LowPriorityLimit = s.LowPriorityLimit
	copied.ServiceSlots = map[*model.Machine]int{}
	for machine, n := range s.ServiceSlots {
		copied.ServiceSlots[m.Machines[machine.ID]] = n
	}
	copied.LowPriorityAllowed = map[*model.Machine]bool{}
	for machine, allowed := range s.LowPriorityAllowed {
		copied.LowPriorityAllowed[m.Machines[machine.ID]] = allowed
	}
	if s.DrainTarget != nil {
		copied.DrainTarget = m.Machines[s.DrainTarget.ID]
	}
	return copied
}

// TeamReason says how n more tasks of a job compare with their team's limit.
func (s *Scheduler) TeamReason(j *model.Job, n int) pending.Reason { return s.round.quota.reason(j, n) }

// ServiceAllowedOn tells whether a service may go to a machine as far as work that uses GPUs is
// concerned; everything else may.
func (s *Scheduler) ServiceAllowedOn(m *model.Model, j *model.Job, machine *model.Machine) bool {
	return s.serviceAllowed(j, machine, MachineCapacity(m, machine), s.gpuDemand)
}

// serviceAllowed tells whether a service may go to a machine. A service stays for
// long: it would take what a gang needs, and keep an expensive machine from being
// released. It goes to a machine that gangs use only as far as the autoscaler found
// no other room for services.
func (d *Directives) serviceAllowed(j *model.Job, machine *model.Machine, capacity Resources, gpus GPUDemand) bool {
	return j.Kind != model.Service || j.Spec.GPUs > 0 || capacity.GPUs == 0 || d.ServiceSlots[machine] > 0 ||
		!gpus.FitsAny(capacity)
}
