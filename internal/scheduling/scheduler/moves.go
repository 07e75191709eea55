package scheduler

import (
	"maps"
	"slices"

	"fieldhill/internal/model"
)

// This file moves replicas off machines that are to go.

const (
	// moveInterval paces the moves of replicas, each of which is down for a moment: of so many
	// replicas one may move in this time. Without a measure for their number, a fleet of five
	// thousand took four minutes to take its replicas off the expensive machines that gangs waited for.
	moveInterval         = model.Time(300e6)
	moveIntervalReplicas = 1000
	minMoveInterval      = model.Time(50e6)
	// fetchMoveInterval paces those to where the image is not, each of which is down for as
	// long as its fetch takes: one rare image used to keep an expensive machine for minutes.
	fetchMoveInterval = model.Time(5e9)
	// reservationTTL is how long resources are reserved for a replica that is to move, maxReservations for how many.
	reservationTTL  = model.Time(3e9)
	maxReservations = 8
	// maxEvacuations bounds how many runs a round tries to move off machines that are to go.
	maxEvacuations = 32
)

// moves is what lasts of the moves from round to round.
type moves struct {
	lastMoveAt   model.Time
	localPlaceAt model.Time // when there last was a machine with its image for a replica that moves; 0: never looked
	reservations map[*model.Machine]reservation
	// evacuateFrom is where the next round begins to move runs off machines that are to go.
	evacuateFrom evacuationCursor
}

// reservation is resources of a machine that less urgent work leaves to services for a while.
type reservation struct {
	resources Resources
	until     model.Time
}

func (mv *moves) expireReservations(now model.Time) {
	maps.DeleteFunc(mv.reservations, func(_ *model.Machine, r reservation) bool { return now > r.until })
}

// dryRunCopy is for a round on a copy of a model.
func (mv *moves) dryRunCopy(m *model.Model) moves {
	copied := *mv
	copied.reservations = map[*model.Machine]reservation{}
	for machine, r := range mv.reservations {
		copied.reservations[m.Machines[machine.ID]] = r
	}
	return copied
}

// drainReplicas moves one replica off the machine that is to be emptied, to where its
// image is already if there is such a machine, and only while no other replica waits.
func (mv *moves) drainReplicas(r *round, jobs []*model.Job) {
	target, now := r.directives.DrainTarget, r.now
	if target == nil || r.model.Machines[target.ID] != target || now-mv.lastMoveAt < minMoveInterval {
		return
	}
	replicas := 0
	for _, j := range jobs {
		if j.Kind == model.Service {
			if replicas += j.Live; j.Waiting() > 0 {
				return
			}
		}
	}
	if now-mv.lastMoveAt < moveInterval*moveIntervalReplicas/model.Time(max(moveIntervalReplicas, replicas)) {
		return
	}
	mv.lastMoveAt = now
	if mv.moveReplica(r, true) || mv.localPlaceAt == 0 {
		mv.localPlaceAt = max(now, 1)
	} else if now-mv.localPlaceAt > fetchMoveInterval && mv.moveReplica(r, false) {
		mv.localPlaceAt = now
	}
}

// moveReplica moves a replica off the machine that is to be emptied, or has low-priority work make
// room for one, which is reserved until it moves: otherwise replicas stayed where they are
// for as long as there was low-priority work to fill every other machine. It tells whether there
// was a machine.
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

// mayMoveTo tells whether a replica may move off the machine that is to be emptied to another one, resources apart.
func (r *round) mayMoveTo(run *model.Run, view *machineView, need Resources, withImage bool) bool {
	j, machine := run.Job, view.machine
	return machine != r.directives.DrainTarget && r.mayUse(j, view, need) &&
		(!withImage || machine.HasImage(j.Image)) && r.serviceAllowed(j, view) &&
		(machine.Zone == run.Machine.Zone || j.ZoneAllows(machine.Zone))
}

// evacuee is a run on a machine that is to go, by its position among those of its machine.
type evacuee struct {
	run    *model.Run
	cursor evacuationCursor
}

// evacuationCursor is a machine, and a position among those of its runs that are to move.
type evacuationCursor struct {
	machine model.MachineID
	run     int
}

// before tells whether a position comes before another one. Machines are in the order of their numbers.
func (c evacuationCursor) before(o evacuationCursor) bool {
	return c.machine < o.machine || c.machine == o.machine && c.run < o.run
}

// evacuees lists the runs that are to move off machines that are to go. A machine whose release is under way is
// left alone: the cloud's answer is the end of what it holds.
func evacuees(m *model.Model) (list []evacuee) {
	for _, machine := range m.Order {
		if !machine.IsLeaving() || !machine.Contact.Reported || machine.Releasing || machine.Suspect {
			continue
		}
		for i, r := range machine.Runs {
			if r.Job.Kind == model.Service || r.Job.Spec.CheckpointIntervalS != 0 {
				list = append(list, evacuee{r, evacuationCursor{machine.ID, i}})
			}
		}
	}
	return list
}

// evacuate moves replicas off machines that are to go, one of a job at a time and only where there is room for them.
// Where there are more than a round tries, the next one goes on behind them: those that find no room must not keep
// the others from theirs.
func (mv *moves) evacuate(r *round) {
	list := evacuees(r.model)
	from := max(0, slices.IndexFunc(list, func(e evacuee) bool { return !e.cursor.before(mv.evacuateFrom) }))
	mv.evacuateFrom = evacuationCursor{}
	tries := 0
	for i := range list {
		e := list[(from+i)%len(list)]
		if !e.run.IsWanted() || e.run.Job.Waiting() > 0 || hasStoppingTask(e.run.Job) {
			continue // one at a time
		}
		if tries++; tries > maxEvacuations {
			mv.evacuateFrom = e.cursor
			return
		}
		r.evacuateRun(e.run)
	}
}

// evacuateRun has a run stop, to go on elsewhere, if there is room for it.
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

// hasStoppingTask tells whether a task of a job is being preempted.
func hasStoppingTask(j *model.Job) bool {
	for i := range j.Tasks {
		if o := j.Tasks[i].Run; o != nil && o.Stop {
			return true
		}
	}
	return false
}
