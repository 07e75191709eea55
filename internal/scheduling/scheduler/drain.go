package scheduler

import (
	"slices"

	"fieldhill/internal/model"
)

// This file moves replicas off machines that are to go.

const (
	// moveInterval paces the moves of replicas, each of which is down for a moment: of so many
	// replicas one may move in this time. Without a measure for their number, a fleet of five
	// thousand took four minutes to take its replicas off the dear machines that gangs waited for.
	moveInterval         = model.Time(300e6)
	moveIntervalReplicas = 1000
	minMoveInterval      = model.Time(50e6)
	// fetchMoveInterval paces those to where the image is not, each of which is down for as
	// long as its fetch takes: one rare image used to keep a dear machine for minutes.
	fetchMoveInterval = model.Time(5e9)
)

// drainReplicas moves one replica off the machine that is to be emptied, to where its
// image is already if there is such a place, and only while no other replica waits.
func (s *Scheduler) drainReplicas(m *model.Model, jobs []*model.Job, now model.Time, binder Binder) {
	if s.DrainTarget == nil || m.Machines[s.DrainTarget.ID] != s.DrainTarget || now-s.lastMoveAt < minMoveInterval {
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
	if now-s.lastMoveAt < moveInterval*moveIntervalReplicas/model.Time(max(moveIntervalReplicas, replicas)) {
		return
	}
	s.lastMoveAt = now
	if s.moveReplica(m, true, now, binder) || s.localPlaceAt == 0 {
		s.localPlaceAt = max(now, 1)
	} else if now-s.localPlaceAt > fetchMoveInterval && s.moveReplica(m, false, now, binder) {
		s.localPlaceAt = now
	}
}

// moveReplica moves a replica off the machine that is to be emptied, or has low work make
// room for one, which is kept until it moves: otherwise replicas stayed where they are
// for as long as there was low work to fill every other machine. It tells whether there
// was a place.
func (s *Scheduler) moveReplica(m *model.Model, withImage bool, now model.Time, binder Binder) bool {
	var best preemptionChoice
	var bestNeed Resources
	for _, r := range s.DrainTarget.Runs {
		j := r.Job
		if j.Kind != model.Service || !r.IsWanted() || r.Phase != model.Running {
			continue
		}
		need := TaskDemand(j)
		for i := range s.machines {
			view := &s.machines[i]
			if view.machine == s.DrainTarget || !s.mayUse(m, j, view, need) ||
				withImage && !view.machine.HasImage(j.Image) ||
				!s.serviceAllowed(j, view) ||
				view.machine.Zone != r.Machine.Zone && !j.ZoneAllows(view.machine.Zone) {
				continue
			}
			if s.hasResources(m, j, view, need) {
				binder.Preempt(r, false, "machine draining for scale-in")
				return true
			}
			if runs, cost, ok := s.victims(
				j,
				view,
				need,
				model.Normal,
				now,
			); ok && len(runs) > 0 &&
				(best.view == nil || cost < best.cost) {
				best, bestNeed = preemptionChoice{view: view, cost: cost, runs: runs}, need
			}
		}
	}
	if best.view == nil || len(s.reservations) >= maxReservations {
		return best.view != nil
	}
	s.reservations[best.view.machine] = reservation{bestNeed, now + reservationTTL}
	for _, v := range best.runs {
		binder.Preempt(v, false, "capacity for replica of draining machine")
	}
	return true
}

// reservation is room on a machine that less urgent work leaves to services for a while.
type reservation struct {
	resources Resources
	until     model.Time
}

const (
	reservationTTL  = model.Time(3e9)
	maxReservations = 8
)

// maxEvacuations bounds how many runs a round tries to move off machines that are to go.
const maxEvacuations = 32

// evacuee is a run on a machine that is to go, by its place among those of its machine.
type evacuee struct {
	run    *model.Run
	cursor evacuationCursor
}

// evacuationCursor is a machine, and a place among those of its runs that are to move.
type evacuationCursor struct {
	machine model.MachineID
	run     int
}

// before tells whether a place comes before another one. Machines are in the order of their numbers.
func (p evacuationCursor) before(o evacuationCursor) bool {
	return p.machine < o.machine || p.machine == o.machine && p.run < o.run
}

// evacuees lists the runs that are to move off machines that are to go. A machine whose return is under way is
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
func (s *Scheduler) evacuate(m *model.Model, now model.Time, binder Binder) {
	list := evacuees(m)
	from := max(0, slices.IndexFunc(list, func(l evacuee) bool { return !l.cursor.before(s.evacuateFrom) }))
	s.evacuateFrom = evacuationCursor{}
	tries := 0
	for i := range list {
		l := list[(from+i)%len(list)]
		if !l.run.IsWanted() || l.run.Job.Waiting() > 0 || hasStoppingTask(l.run.Job) {
			continue // one at a time
		}
		if tries++; tries > maxEvacuations {
			s.evacuateFrom = l.cursor
			return
		}
		s.evacuateRun(m, l.run, binder)
	}
}

// evacuateRun has a run end, to go on elsewhere, if there is room for it.
func (s *Scheduler) evacuateRun(m *model.Model, r *model.Run, binder Binder) {
	j, need := r.Job, TaskDemand(r.Job)
	for i := range s.machines {
		view := &s.machines[i]
		zoneMay := view.machine.Zone == r.Machine.Zone || j.ZoneAllows(view.machine.Zone)
		if s.mayUse(m, j, view, need) && s.hasResources(m, j, view, need) && zoneMay {
			view.claimed = view.claimed.Plus(need)
			binder.Preempt(r, false, "machine evacuation")
			return
		}
	}
}

// hasStoppingTask tells whether a task of a job is being stopped.
func hasStoppingTask(j *model.Job) bool {
	for i := range j.Tasks {
		if o := j.Tasks[i].Run; o != nil && o.Stop {
			return true
		}
	}
	return false
}
