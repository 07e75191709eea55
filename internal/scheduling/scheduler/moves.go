package scheduler

import (
	"maps"
	"slices"

	"fieldhill/internal/model"
)

// This file moves replicas, and tasks that save checkpoints, off machines that are being drained or are about to be
// preempted by the cloud.

const (
	// moveInterval paces the moves of replicas, each of which causes a short downtime: one replica may move per
	// interval for every moveIntervalReplicas replicas. At one move per interval regardless of the number of replicas,
	// a fleet of 5000 replicas would take four minutes to leave the expensive machines that gangs are waiting for.
	moveInterval         = model.Time(300e6)
	moveIntervalReplicas = 1000
	minMoveInterval      = model.Time(50e6)
	// fetchMoveInterval is the time that must pass without any replica finding a machine that has its image before a
	// replica may be moved to a machine without its image. The moved replica is down while its image is fetched, so
	// such moves must be rare. Without such moves, a replica with a rare image would keep an expensive machine in use
	// for minutes.
	fetchMoveInterval = model.Time(5e9)
	// reservationTTL is how long resources are reserved for a replica that is to move; maxReservations limits the
	// number of reservations.
	reservationTTL  = model.Time(3e9)
	maxReservations = 8
	// maxEvacuations limits the number of runs that a round tries to evacuate.
	maxEvacuations = 32
)

// moves is the state of replica moves that is kept between rounds.
type moves struct {
	lastMoveAt model.Time
	// localTargetFoundAt is when a machine with the image was last found, or a replica was last moved to a machine
	// without the image; 0: no search yet.
	localTargetFoundAt model.Time
	reservations       map[*model.Machine]reservation
	// evacuateFrom is where the next round resumes evacuating runs.
	evacuateFrom evacuationCursor
}

// reservation holds the resources of a machine that work below production priority must leave free until the given
// time.
type reservation struct {
	resources Resources
	until     model.Time
}

func (mv *moves) expireReservations(now model.Time) {
	maps.DeleteFunc(mv.reservations, func(_ *model.Machine, r reservation) bool { return now > r.until })
}

// dryRunCopy returns a copy for a dry run on m, which is a copy of the model.
func (mv *moves) dryRunCopy(m *model.Model) moves {
	copied := *mv
	copied.reservations = map[*model.Machine]reservation{}
	for machine, r := range mv.reservations {
		copied.reservations[m.Machines[machine.ID]] = r
	}
	return copied
}

// drainReplicas moves one replica off the drain target, preferably to a machine that has its image. It moves none while
// any replica is waiting for placement or the last move was too recent.
func (mv *moves) drainReplicas(r *round, jobs []*model.Job) {
	target, now := r.directives.DrainTarget, r.now
	if target == nil || r.model.Machines[target.ID] != target || now-mv.lastMoveAt < minMoveInterval {
		return
	}
	replicas := 0
	for _, j := range jobs {
		if j.Kind == model.Service {
			if replicas += j.PlacedTasks; j.Waiting() > 0 {
				return
			}
		}
	}
	if now-mv.lastMoveAt < moveInterval*moveIntervalReplicas/model.Time(max(moveIntervalReplicas, replicas)) {
		return
	}
	mv.lastMoveAt = now
	if mv.moveReplica(r, true) || mv.localTargetFoundAt == 0 {
		mv.localTargetFoundAt = max(now, 1)
	} else if now-mv.localTargetFoundAt > fetchMoveInterval && mv.moveReplica(r, false) {
		mv.localTargetFoundAt = now
	}
}

// moveReplica moves a replica off the drain target. If withImage is true, the replica moves only to a machine that has
// its image. If no machine has free resources, it preempts low-priority work for a replica and reserves the resources
// until the replica moves. Without this, low-priority work that fills all other machines would keep the replicas on the
// drain target. It reports whether there was a suitable machine.
func (mv *moves) moveReplica(r *round, withImage bool) bool {
	var best preemptionChoice
	var bestNeed Resources
	for _, run := range r.directives.DrainTarget.Runs {
		j := run.Job
		if j.Kind != model.Service || !run.IsWanted() || run.Phase != model.Running {
			continue
		}
		need := TaskDemand(j)
		for i := range r.machines {
			view := &r.machines[i]
			if !r.mayMoveTo(run, view, need, withImage) {
				continue
			}
			if r.hasResources(j, view, need) {
				r.binder.Preempt(run, false, "machine draining for scale-in")
				return true
			}
			runs, cost, ok := r.victims(j, view, need, model.Normal)
			if ok && len(runs) > 0 && (best.view == nil || cost < best.cost) {
				best, bestNeed = preemptionChoice{view: view, cost: cost, runs: runs}, need
			}
		}
	}
	if best.view == nil || len(mv.reservations) >= maxReservations {
		return best.view != nil
	}
	mv.reservations[best.view.machine] = reservation{bestNeed, r.now + reservationTTL}
	for _, v := range best.runs {
		r.binder.Preempt(v, false, "capacity for replica of draining machine")
	}
	return true
}

// mayMoveTo reports whether a replica may move from the drain target to a machine, regardless of free resources.
func (r *round) mayMoveTo(run *model.Run, view *machineView, need Resources, withImage bool) bool {
	j, machine := run.Job, view.machine
	return machine != r.directives.DrainTarget && r.mayUse(j, view, need) &&
		(!withImage || machine.HasImage(j.Image)) && r.serviceAllowed(j, view) &&
		(machine.Zone == run.Machine.Zone || j.ZoneAllows(machine.Zone))
}

// evacuationCandidate is a run on a machine that is being vacated, with the position of the run.
type evacuationCandidate struct {
	run    *model.Run
	cursor evacuationCursor
}

// evacuationCursor is the position of a run in the order of evacuation: its machine and its index among the runs of
// that machine.
type evacuationCursor struct {
	machine model.MachineID
	run     int
}

// before reports whether c precedes o in order of machine ID and run index.
func (c evacuationCursor) before(o evacuationCursor) bool {
	return c.machine < o.machine || c.machine == o.machine && c.run < o.run
}

// evacuationCandidates lists the runs to move off machines that are being vacated. Machines that are being released are
// skipped, because their runs end when the cloud confirms the release. Suspect machines and those that have not
// reported to this leader are skipped too.
func evacuationCandidates(m *model.Model) (list []evacuationCandidate) {
	for _, machine := range m.MachinesInOrder {
		if !machine.IsLeaving() || !machine.Contact.Reported || machine.Releasing || machine.Suspect {
			continue
		}
		for i, r := range machine.Runs {
			if r.Job.Kind == model.Service || r.Job.Spec.CheckpointIntervalS != 0 {
				list = append(list, evacuationCandidate{r, evacuationCursor{machine.ID, i}})
			}
		}
	}
	return list
}

// evacuate moves runs off machines that are being vacated, one task of a job at a time and only if another machine has
// resources for the task. If there are more candidates than maxEvacuations, the next round resumes after the last
// candidate tried, so that runs that fit on no machine do not block the others.
func (mv *moves) evacuate(r *round) {
	candidates := evacuationCandidates(r.model)
	first := max(0, slices.IndexFunc(candidates, func(c evacuationCandidate) bool {
		return !c.cursor.before(mv.evacuateFrom)
	}))
	mv.evacuateFrom = evacuationCursor{}
	attempts := 0
	for i := range candidates {
		c := candidates[(first+i)%len(candidates)]
		if !c.run.IsWanted() || c.run.Job.Waiting() > 0 || hasStoppingTask(c.run.Job) {
			continue // one task of a job at a time
		}
		if attempts++; attempts > maxEvacuations {
			mv.evacuateFrom = c.cursor
			return
		}
		r.evacuateRun(c.run)
	}
}

// evacuateRun preempts a run if another machine has resources for it, so that its task continues there.
func (r *round) evacuateRun(run *model.Run) {
	j, need := run.Job, TaskDemand(run.Job)
	for i := range r.machines {
		view := &r.machines[i]
		zoneAllowed := view.machine.Zone == run.Machine.Zone || j.ZoneAllows(view.machine.Zone)
		if r.mayUse(j, view, need) && r.hasResources(j, view, need) && zoneAllowed {
			view.claim(need)
			r.binder.Preempt(run, false, "machine evacuation")
			return
		}
	}
}

// hasStoppingTask reports whether a task of a job is being preempted.
func hasStoppingTask(j *model.Job) bool {
	for i := range j.Tasks {
		if run := j.Tasks[i].Run; run != nil && run.Stop {
			return true
		}
	}
	return false
}
