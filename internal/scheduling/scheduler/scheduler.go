// Package scheduler assigns tasks to machines. The core algorithm is DAD, data-aware task dispatching (Li and Tatebe):
// a task is placed on the free machine with the lowest score, and may wait a bounded number of rounds for a busy
// machine that already has its image. The package extends the paper with job ordering, gang scheduling, team quotas,
// headroom for urgent work, and preemption.
//
// The package does no I/O: it reads the model and calls a Binder for each decision. The Binder must apply a placement
// to the model before it returns.
package scheduler

import (
	"maps"
	"slices"

	"fieldhill/internal/config"
	"fieldhill/internal/model"
	"fieldhill/internal/scheduling/pending"
)

// Params holds the DAD parameters and the objectives of the site.
type Params struct {
	Beta       float64 // weight of locality relative to load
	Threshold  float64 // a machine with a lower score is local
	WaitRounds int     // maximum number of rounds to wait for a busy local machine
	Objectives []config.Objective
}

// Directives are constraints that the leader sets. They apply until the leader changes them.
type Directives struct {
	// ServiceHeadroom is the number of CPUs that tasks below production priority leave free for services that must
	// start immediately.
	ServiceHeadroom float64

	// ServiceSlots maps machines with GPUs that services may use to the number of service tasks each may still take. A
	// placement uses up one slot.
	ServiceSlots map[*model.Machine]int

	// LowPriorityAllowed is the set of machines with GPUs that low-priority work without GPUs may use.
	LowPriorityAllowed map[*model.Machine]bool

	// LowPriorityLimit is the maximum number of low-priority tasks placed in a round; 0 means no limit.
	LowPriorityLimit int

	// AwaitingHeartbeats is set while some machines with running work have not reported to this leader yet. Only urgent
	// work whose image is on a machine that has reported is placed, and nothing is preempted.
	AwaitingHeartbeats bool

	// OnlyJob restricts the round to a single job; nil means all jobs. It is used for dry runs on a copy of the model.
	OnlyJob *model.Job

	// DrainTarget is the machine whose replicas are moved to other machines, or nil.
	DrainTarget *model.Machine
}

// Binder executes scheduling decisions.
type Binder interface {
	// Bind places a task. It applies the placement to the model before it returns.
	Bind(j *model.Job, task int32, attempt uint32, machine *model.Machine, score float64)
	// Preempt stops a run. If skipCheckpoint is true, the run does not save a checkpoint first. If the run is preempted
	// for a job, the reason ends with a space and the ID of that job; dry runs rely on this to recognize the job.
	Preempt(r *model.Run, skipCheckpoint bool, reason string)
}

// Scheduler places waiting tasks in rounds and preempts other work for them. It holds the state that is kept between
// rounds.
type Scheduler struct {
	Params Params
	Directives

	// LowPriorityDeferred is set if the last round left work for the next one: low-priority tasks beyond
	// LowPriorityLimit, or the rest of an array whose first task was placed because its start was overdue.
	LowPriorityDeferred bool
	// Examined is the number of times that the last round checked a machine for a job. Tests use it to bound the cost
	// of a round.
	Examined int

	minimumShare minimumShare
	gpuDemand    GPUDemand // the largest demand seen per class
	moves        moves
	round        round // state of the latest round; its slices are reused
}

// New returns a scheduler with the given parameters and no directives.
func New(p Params) *Scheduler {
	return &Scheduler{
		Params:    p,
		gpuDemand: GPUDemand{},
		moves:     moves{reservations: map[*model.Machine]reservation{}},
	}
}

// Round runs one scheduling round. tick reports whether a DAD round interval has passed, in which case jobs that wait
// for a busy machine with their image have waited one more round.
func (s *Scheduler) Round(m *model.Model, now model.Time, tick bool, binder Binder) {
	jobs := m.JobsInOrder()
	s.updateSortInputs(m, jobs, now)
	s.observeGPUDemand(jobs)
	r := &s.round
	r.params, r.directives, r.gpuDemand = &s.Params, &s.Directives, s.gpuDemand
	r.model, r.now, r.tick, r.binder = m, now, tick, binder
	s.moves.expireReservations(now)
	r.reset(jobs, s.moves.reservations)
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

// observeGPUDemand updates the largest demand seen for each class that uses GPUs.
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

// DryRunCopy returns a scheduler for a dry run on m, a copy of the model; machines are matched by ID. The copy shares
// no state with s and makes the same decisions, except that AwaitingHeartbeats and OnlyJob are not copied.
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

// TeamLimitReason returns the pending reason for n more tasks of a job with respect to the limit of its team.
func (s *Scheduler) TeamLimitReason(j *model.Job, n int) pending.Reason {
	return s.round.quota.reason(j, n)
}

// ServiceAllowedOn reports whether the reservation of machines for GPU work permits a job on a machine. Only services
// without GPUs are restricted.
func (s *Scheduler) ServiceAllowedOn(m *model.Model, j *model.Job, machine *model.Machine) bool {
	return s.serviceAllowed(j, machine, MachineCapacity(m, machine), s.gpuDemand)
}

// serviceAllowed reports whether a service may use a machine. A service is long-lived: on a machine with GPUs it would
// take resources that a gang needs and keep an expensive machine from being released. It may use a machine on which GPU
// work fits only if the autoscaler has granted slots there because services have no capacity elsewhere.
func (d *Directives) serviceAllowed(j *model.Job, machine *model.Machine, capacity Resources, gpus GPUDemand) bool {
	return j.Kind != model.Service || j.Spec.GPUs > 0 || capacity.GPUs == 0 || d.ServiceSlots[machine] > 0 ||
		!gpus.FitsAny(capacity)
}
