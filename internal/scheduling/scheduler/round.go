package scheduler

import (
	"fieldhill/internal/model"
	"fieldhill/internal/scheduling/pending"
)

// round is what holds for the round at hand.
type round struct {
	params     *Params
	directives *Directives
	gpuDemand  GPUDemand
	model      *model.Model
	now        model.Time
	tick       bool // a DAD round has passed
	binder     Binder

	machines            []machineView // the machines that may be given work
	freeServiceCPUs     float64       // free CPUs where services go: ordinary machines without GPUs
	maxServiceCPUs      float64       // the most CPUs that a service task takes
	quota               teamQuota
	infeasible          infeasible
	partialGangHeld     bool // a gang claims room that is too little for it
	lowPriorityPlaced   int
	lowPriorityDeferred bool
	examined            int // machines looked at

	searchEveryGang bool // infeasible gangs are not remembered; for tests

	// Lists that are used again from search to search.
	victimPool     []victim
	teamVictimPool []victim
}

// machineView is a machine that may be given work, as this round sees it.
type machineView struct {
	machine             *model.Machine
	capacity            Resources
	claimed             Resources // for waiting urgent work
	stopping            Resources // what preempted tasks will leave
	stoppingKnown       bool      // stopping is up to date
	reservedForServices Resources // for a replica that is to move there
}

// begin lists the machines of a round, and forgets what held for the last one.
func (r *round) begin(jobs []*model.Job, reservations map[*model.Machine]reservation) {
	r.machines = r.machines[:0]
	r.freeServiceCPUs = 0
	r.quota.begin(len(r.model.Teams))
	r.infeasible.begin()
	r.partialGangHeld = false
	r.lowPriorityPlaced = 0
	r.lowPriorityDeferred = false
	r.examined = 0
	r.maxServiceCPUs = 0
	for _, j := range jobs {
		if j.Kind == model.Service {
			r.maxServiceCPUs = max(r.maxServiceCPUs, j.Spec.CPUs)
		}
	}
	for _, machine := range r.model.Order {
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

// mayUse tells whether a job may use a machine at all.
func (r *round) mayUse(j *model.Job, view *machineView, need Resources) bool {
	r.examined++
	machine := view.machine
	return view.capacity.Contains(need) && j.AllowsMachine(machine.Type, machine.Zone, machine.Spot) &&
		(j.Observed.FailedOn == nil || !j.Avoids(machine, r.now)) &&
		(j.Kind == model.Service || !machine.ServicesOnly(r.now))
}

// serviceAllowed tells whether a service may go to a machine, see Directives.
func (r *round) serviceAllowed(j *model.Job, view *machineView) bool {
	return r.directives.serviceAllowed(j, view.machine, view.capacity, r.gpuDemand)
}

// stoppingResources is what tasks that are being preempted will leave.
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

// claim keeps resources of the machine for work that waits for them, in this round.
func (view *machineView) claim(need Resources) { view.claimed = view.claimed.Plus(need) }

// unclaimedWithoutServices is what the machine has beside its services and what is claimed.
func (view *machineView) unclaimedWithoutServices() Resources {
	return view.capacity.Minus(Reserved(view.machine)).Minus(view.claimed)
}

// maxExpectedServices bounds for how many expected services a machine's resources are left free.
const maxExpectedServices = 3

// hasResources tells whether a task may take resources of a machine now: free, not claimed
// for more urgent work, and not what services are to find free.
func (r *round) hasResources(j *model.Job, view *machineView, need Resources) bool {
	machine, total := view.machine, view.capacity
	free := total.Minus(used(machine))
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
			r.freeServiceCPUs-need.CPUs >= r.directives.ServiceHeadroom
	}
	if j.Spec.GPUs == 0 && j.Priority == model.Low && !r.directives.LowPriorityAllowed[machine] {
		return false
	}
	if k := r.directives.ServiceSlots[machine]; k > 0 && j.Kind != model.Service && j.Spec.GPUs == 0 {
		// Where services are expected, other work leaves some of their room free.
		if total.CPUs-machine.CPUs-need.CPUs < float64(min(k, maxExpectedServices))*r.maxServiceCPUs {
			return false
		}
	}
	return r.serviceAllowed(j, view)
}

// blocksGPUWork tells whether a gang that uses GPUs would not fit beside the services
// of a machine, with the job's task or without it.
func (r *round) blocksGPUWork(j *model.Job, view *machineView, with bool) bool {
	reserved := Reserved(view.machine)
	if with {
		reserved = reserved.Plus(TaskDemand(j))
	}
	return r.gpuDemand.BlockedBy(view.capacity, reserved)
}

// bind places a task.
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

// isPatient tells whether a job still waits before others are preempted for it.
func (r *round) isPatient(j *model.Job) bool {
	return r.directives.AwaitingHeartbeats || r.now-j.Observed.KnownSince < r.params.preemptAfter(j)
}

// isRemote tells whether a place is not local in the sense of DAD, load apart.
func (r *round) isRemote(locality float64) bool { return locality*r.params.Beta >= r.params.Threshold }
