package explanation

import (
	"slices"

	"fieldhill/internal/model"
	"fieldhill/internal/scheduling/pending"
	"fieldhill/internal/scheduling/scheduler"
	"fieldhill/wire"
)

// constraint is a possible reason why a job is waiting, with a way to lift it in a simulation. holds reports whether
// the reason applies to the job and returns its figures; lift makes the reason no longer apply.
type constraint struct {
	code  pending.Code
	holds func(s *simulation) (pending.Reason, bool)
	lift  func(s *simulation)
}

// constraints lists all constraints, in the order in which the scheduler checks them for a waiting task.
var constraints = slices.Concat(jobConstraints, machineConstraints, placementConstraints)

// jobConstraints are the constraints that concern the job itself, its queue position and its team.
var jobConstraints = []constraint{
	{
		code: pending.BackingOff,
		holds: func(s *simulation) (pending.Reason, bool) {
			remaining := s.job.Scheduling.NotBefore - s.now
			return pending.Reason{Count: s.job.Observed.Errors, Remaining: remaining}, remaining > 0
		},
		lift: func(s *simulation) { s.job.Scheduling.NotBefore = 0 },
	},
	{
		code: pending.Faulty,
		holds: func(s *simulation) (pending.Reason, bool) {
			return pending.Reason{Count: s.job.Observed.Errors}, s.job.Observed.Faulty
		},
		lift: func(s *simulation) { s.job.Observed.Faulty = false },
	},
	{
		code: pending.AttemptEnding,
		holds: func(s *simulation) (pending.Reason, bool) {
			return pending.Reason{Count: s.job.PlacedTasks}, s.job.Kind == model.Gang && s.job.PlacedTasks > 0
		},
		lift: (*simulation).endAttempt,
	},
	{
		code: pending.QueuedBehind,
		holds: func(s *simulation) (r pending.Reason, ok bool) {
			ahead := s.scheduler.JobsAhead(s.model, s.job, s.now)
			if len(ahead) > 0 {
				r.Count, r.First = len(ahead), ahead[0].Spec.ID
			}
			return r, r.Count > 0
		},
		lift: func(s *simulation) { s.scheduler.OnlyJob = s.job },
	},
	{
		code: pending.Throttled,
		holds: func(s *simulation) (pending.Reason, bool) {
			limit := s.scheduler.LowPriorityLimit
			return pending.Reason{Count: limit},
				limit > 0 && s.job.Priority == model.Low && s.job.Waiting() > limit
		},
		lift: func(s *simulation) { s.scheduler.LowPriorityLimit = 0 },
	},
	{
		code:  pending.TeamLimit,
		holds: (*simulation).teamLimitReason,
		lift: func(s *simulation) {
			// The team is copied so that its limit still applies to other jobs.
			team := model.Team{}
			if s.job.Team != nil {
				team = *s.job.Team
			}
			team.CPUsMax, team.GPUsMax = 0, 0
			s.job.Team = &team
		},
	},
	{
		code: pending.TooSmall,
		holds: func(s *simulation) (r pending.Reason, ok bool) {
			r.Count, r.First = s.countMachines(func(machine *model.Machine) bool {
				return s.jobAllows(machine) && !s.capacity(machine).Contains(scheduler.TaskDemand(s.job))
			})
			r.Unit, r.Need = "CPUs", s.job.Spec.CPUs
			return r, r.Count > 0
		},
		lift: (*simulation).enlargeTypes,
	},
}

// machineConstraints are the constraints that make machines unusable.
var machineConstraints = []constraint{
	machineConstraint(
		pending.Booting,
		func(_ *simulation, machine *model.Machine) bool {
			return !machine.Contact.Reported && !machine.Releasing && !machine.Suspect
		},
		func(machine *model.Machine) { machine.Contact.Reported = true },
	),
	machineConstraint(
		pending.Releasing,
		func(_ *simulation, machine *model.Machine) bool { return machine.Releasing },
		func(machine *model.Machine) { machine.Releasing, machine.Contact.Reported = false, true },
	),
	machineConstraint(
		pending.Suspect,
		func(_ *simulation, machine *model.Machine) bool { return machine.Suspect },
		func(machine *model.Machine) { machine.Suspect, machine.Contact.Reported = false, true },
	),
	machineConstraint(
		pending.Quarantined,
		func(_ *simulation, machine *model.Machine) bool {
			return machine.Health.Quarantined || machine.Health.CordonedSince != 0
		},
		func(machine *model.Machine) { machine.Health.Quarantined, machine.Health.CordonedSince = false, 0 },
	),
	machineConstraint(
		pending.Draining,
		func(_ *simulation, machine *model.Machine) bool {
			return machine.Lifecycle.Draining || machine.Lifecycle.PreemptionAt != 0
		},
		func(machine *model.Machine) { machine.Lifecycle.Draining, machine.Lifecycle.PreemptionAt = false, 0 },
	),
	machineConstraint(
		pending.Slow,
		func(s *simulation, machine *model.Machine) bool {
			return machine.ServicesOnly(s.now) && s.job.Kind != model.Service
		},
		func(machine *model.Machine) { machine.Health.SlowUntil, machine.Contact.OutboundPartitionSince = 0, 0 },
	),
}

// placementConstraints are the constraints that keep the tasks of the job off usable machines.
var placementConstraints = []constraint{
	{
		code: pending.FailedBefore,
		holds: func(s *simulation) (r pending.Reason, ok bool) {
			r.Count, r.First = s.countMachines(func(machine *model.Machine) bool {
				return s.job.Observed.FailedOn != nil && s.job.AvoidsMachine(machine, s.now)
			})
			return r, r.Count > 0
		},
		lift: func(s *simulation) { s.job.Observed.FailedOn = nil },
	},
	{
		code: pending.ZoneSpread,
		holds: func(s *simulation) (pending.Reason, bool) {
			return pending.Reason{Count: (len(s.job.Tasks) + 1) / 2}, s.job.Spec.Spread && s.hasFullZone()
		},
		lift: func(s *simulation) { s.copySpec().Spread = false },
	},
	{
		code: pending.SameZone,
		holds: func(s *simulation) (pending.Reason, bool) {
			return pending.Reason{}, s.job.Spec.SameZone && (s.hasFullZone() || minTasksAtOnce(s.job) > 1)
		},
		lift: func(s *simulation) { s.copySpec().SameZone = false },
	},
	{
		code: pending.Headroom,
		holds: func(s *simulation) (pending.Reason, bool) {
			headroom := s.scheduler.ServiceHeadroom
			return pending.Reason{Unit: "CPUs", Need: headroom}, headroom > 0 && s.job.Priority < model.Production
		},
		lift: func(s *simulation) { s.scheduler.ServiceHeadroom = 0 },
	},
	{
		code: pending.TooExpensive,
		holds: func(s *simulation) (r pending.Reason, ok bool) {
			r.Count, r.First = s.countMachines(func(machine *model.Machine) bool {
				return s.fits(machine) && s.capacity(machine).GPUs > 0 && !s.scheduler.LowPriorityAllowed[machine]
			})
			return r, r.Count > 0 && s.job.Spec.GPUs == 0 && s.job.Priority == model.Low
		},
		lift: func(s *simulation) {
			for _, machine := range s.model.MachinesInOrder {
				s.scheduler.LowPriorityAllowed[machine] = true
			}
		},
	},
	{
		code: pending.ReservedForGPUs,
		holds: func(s *simulation) (r pending.Reason, ok bool) {
			r.Count, r.First = s.countMachines(func(machine *model.Machine) bool {
				return s.fits(machine) && !s.scheduler.ServiceAllowedOn(s.model, s.job, machine)
			})
			return r, r.Count > 0
		},
		lift: func(s *simulation) {
			for _, machine := range s.model.MachinesInOrder {
				s.scheduler.ServiceSlots[machine] += s.job.Waiting()
			}
		},
	},
	imageWait,
	{
		code:  pending.NoCapacity,
		holds: (*simulation).capacityReason,
		lift:  (*simulation).addMachines,
	},
}

// imageWait is the constraint that the job waits for a busy machine that has its image, as the DAD algorithm prescribes
// (see package scheduler).
var imageWait = constraint{
	code: pending.ImageBusy,
	holds: func(s *simulation) (pending.Reason, bool) {
		return pending.Reason{Count: s.scheduler.Params.WaitRounds - s.job.Scheduling.WaitedRounds},
			s.job.Scheduling.PendingReason.Code == pending.ImageBusy
	},
	lift: func(s *simulation) { s.job.Scheduling.WaitedRounds = s.scheduler.Params.WaitRounds },
}

// machineConstraint returns a constraint that applies if excludes holds for a machine that suits the job. restore makes
// such a machine usable.
func machineConstraint(
	code pending.Code,
	excludes func(s *simulation, machine *model.Machine) bool,
	restore func(machine *model.Machine),
) constraint {
	return constraint{
		code: code,
		holds: func(s *simulation) (r pending.Reason, ok bool) {
			r.Count, r.First = s.countMachines(func(machine *model.Machine) bool {
				return s.fits(machine) && excludes(s, machine)
			})
			return r, r.Count > 0
		},
		lift: func(s *simulation) {
			for _, machine := range s.model.MachinesInOrder {
				if s.fits(machine) && excludes(s, machine) {
					restore(machine)
				}
			}
		},
	}
}

// minTasksAtOnce returns the minimum number of tasks of a job that must start together.
func minTasksAtOnce(j *model.Job) int {
	if j.Kind == model.Gang {
		return len(j.Tasks) - j.Done
	}
	return 1
}

// copySpec replaces the job's spec by a copy that may be modified.
func (s *simulation) copySpec() *wire.JobSpec {
	spec := *s.job.Spec
	s.job.Spec = &spec
	return &spec
}
