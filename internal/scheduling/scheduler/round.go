package scheduler

import (
	"fieldhill/internal/model"
	"fieldhill/internal/scheduling/pending"
)

// round is the state of one scheduling round.
type round struct {
	params     *Params
	directives *Directives
	gpuDemand  GPUDemand
	model      *model.Model
	now        model.Time
	tick       bool // a DAD round interval has passed
	binder     Binder

	machines            []machineView // the machines available for placement
	freeServiceCPUs     float64       // free CPUs on on-demand machines without GPUs
	maxServiceCPUs      float64       // the largest CPU demand of a service task
	quota               teamQuota
	infeasible          infeasible
	partialGangClaimed  bool // a gang has claimed resources that do not suffice for all its members
	lowPriorityPlaced   int
	lowPriorityDeferred bool
	examined            int // number of times that a machine was checked for a job

	searchEveryGang bool // for tests: do not skip gangs known to be infeasible

	// Buffers reused across searches.
	victimPool     []victim
	teamVictimPool []victim
}

// machineView is a machine available for placement, with its state in this round.
type machineView struct {
	machine             *model.Machine
	capacity            Resources
	claimed             Resources // resources claimed for waiting work
	stopping            Resources // resources that stopping tasks are about to release
	stoppingKnown       bool      // stopping has been computed
	reservedForServices Resources // resources reserved for a replica that is to move there
}

// reset prepares the state for a new round and lists the available machines.
func (r *round) reset(jobs []*model.Job, reservations map[*model.Machine]reservation) {
	r.machines = r.machines[:0]
	r.freeServiceCPUs = 0
	r.quota.reset(len(r.model.Teams))
	r.infeasible.reset()
	r.partialGangClaimed = false
	r.lowPriorityPlaced = 0
	r.lowPriorityDeferred = false
	r.examined = 0
	r.maxServiceCPUs = 0
	for _, j := range jobs {
		if j.Kind == model.Service {
			r.maxServiceCPUs = max(r.maxServiceCPUs, j.Spec.CPUs)
		}
	}
	for _, machine := range r.model.MachinesInOrder {
		t := r.model.TypeOf(machine)
		if !machine.IsUsable() || !t.Known {
			continue
		}
		if t.GPUs == 0 && !machine.Spot {
			r.freeServiceCPUs += t.CPUs - machine.CPUs
		}
		view := machineView{machine: machine, capacity: TypeCapacity(t)}
		if len(reservations) > 0 {
			view.reservedForServices = reservations[machine].resources
		}
		r.machines = append(r.machines, view)
	}
}

// mayUse reports whether a job may use a machine, regardless of free resources.
func (r *round) mayUse(j *model.Job, view *machineView, need Resources) bool {
	r.examined++
	machine := view.machine
	return view.capacity.Contains(need) && j.AllowsMachine(machine.Type, machine.Zone, machine.Spot) &&
		(j.Observed.FailedOn == nil || !j.AvoidsMachine(machine, r.now)) &&
		(j.Kind == model.Service || !machine.ServicesOnly(r.now))
}

// serviceAllowed reports whether a service may use a machine, see Directives.serviceAllowed.
func (r *round) serviceAllowed(j *model.Job, view *machineView) bool {
	return r.directives.serviceAllowed(j, view.machine, view.capacity, r.gpuDemand)
}

// stoppingResources returns the resources of the tasks on the machine that are being preempted or whose job is
// cancelled.
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

// claim reserves resources of the machine for waiting work until the end of the round.
func (view *machineView) claim(need Resources) { view.claimed = view.claimed.Plus(need) }

// unclaimedWithoutServices returns the capacity of the machine that is neither used by services nor claimed.
func (view *machineView) unclaimedWithoutServices() Resources {
	return view.capacity.Minus(ServiceUsage(view.machine)).Minus(view.claimed)
}

// maxExpectedServices limits the number of expected service tasks for which other work leaves CPUs free on a machine.
const maxExpectedServices = 3

// hasResources reports whether a machine has resources for a task that are free now, not claimed for more urgent work,
// and not to be left free for services.
func (r *round) hasResources(j *model.Job, view *machineView, need Resources) bool {
	machine, total := view.machine, view.capacity
	free := total.Minus(Used(machine))
	if !free.Contains(need) {
		return false
	}
	if view.claimed != (Resources{}) && !free.Plus(view.stoppingResources()).Minus(view.claimed).Contains(need) {
		return false
	}
	if j.Priority < model.Production && view.reservedForServices != (Resources{}) &&
		!free.Minus(view.reservedForServices).Contains(need) {
		return false
	}
	if total.GPUs == 0 {
		return machine.Spot || j.Priority >= model.Production ||
			r.freeServiceCPUs-need.CPUs+epsilon >= r.directives.ServiceHeadroom
	}
	if j.Spec.GPUs == 0 && j.Priority == model.Low && !r.directives.LowPriorityAllowed[machine] {
		return false
	}
	if k := r.directives.ServiceSlots[machine]; k > 0 && j.Kind != model.Service && j.Spec.GPUs == 0 {
		// Other work leaves CPUs free for the services expected on this machine.
		if total.CPUs-machine.CPUs-need.CPUs < float64(min(k, maxExpectedServices))*r.maxServiceCPUs {
			return false
		}
	}
	return r.serviceAllowed(j, view)
}

// blocksGPUWork reports whether the services on a machine prevent some GPU work from fitting. With includeTask, one
// more task of the job counts as placed there.
func (r *round) blocksGPUWork(j *model.Job, view *machineView, includeTask bool) bool {
	serviceUsage := ServiceUsage(view.machine)
	if includeTask {
		serviceUsage = serviceUsage.Plus(TaskDemand(j))
	}
	return r.gpuDemand.BlockedBy(view.capacity, serviceUsage)
}

func (r *round) bind(j *model.Job, view *machineView, task int32, attempt uint32, score float64) {
	j.Scheduling.PendingReason = pending.Reason{}
	r.binder.Bind(j, task, attempt, view.machine, score)
	if view.capacity.GPUs > 0 && j.Kind == model.Service && r.directives.ServiceSlots[view.machine] > 0 {
		r.directives.ServiceSlots[view.machine]--
	}
	if view.capacity.GPUs == 0 && !view.machine.Spot {
		r.freeServiceCPUs -= j.Spec.CPUs
	}
}

// preemptionDelayed reports whether other work may not be preempted for a job yet: while the leader awaits heartbeats,
// and until the job has waited for its preemption delay.
func (r *round) preemptionDelayed(j *model.Job) bool {
	return r.directives.AwaitingHeartbeats || r.now-j.Observed.KnownSince < r.params.preemptionDelay(j)
}

// isRemote reports whether a machine with the given locality value is remote: its score is not below the DAD threshold
// even if the machine has no load.
func (r *round) isRemote(locality float64) bool { return locality*r.params.Beta >= r.params.Threshold }
