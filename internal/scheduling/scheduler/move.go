package scheduler

import (
	"slices"

	"fieldhill/internal/model"
)

// This file moves replicas off machines that are to go.

const (
	// moveEvery paces the moves of replicas, each of which is down for a moment: of so many
	// replicas one may move in this time. Without a measure for their number, a fleet of five
	// thousand took four minutes to take its replicas off the dear machines that gangs waited for.
	moveEvery = model.Time(300e6)
	moveOf    = 1000
	moveLeast = model.Time(50e6)
	// fetchEvery paces those to where the image is not, each of which is down for as
	// long as its fetch takes: one rare image used to keep a dear machine for minutes.
	fetchEvery = model.Time(5e9)
)

// vacate moves one replica off the machine that is to be emptied, to where its
// image is already if there is such a place, and only while no other replica waits.
func (s *Sched) vacate(m *model.Model, jobs []*model.Job, now model.Time, do Doer) {
	if s.Vacate == nil || m.Machines[s.Vacate.ID] != s.Vacate || now-s.moved < moveLeast {
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
	if now-s.moved < moveEvery*moveOf/model.Time(max(moveOf, replicas)) {
		return
	}
	s.moved = now
	if s.moveOne(m, true, now, do) || s.placeAt == 0 {
		s.placeAt = max(now, 1)
	} else if now-s.placeAt > fetchEvery && s.moveOne(m, false, now, do) {
		s.placeAt = now
	}
}

// moveOne moves a replica off the machine that is to be emptied, or has low work make
// room for one, which is kept until it moves: otherwise replicas stayed where they are
// for as long as there was low work to fill every other machine. It tells whether there
// was a place.
func (s *Sched) moveOne(m *model.Model, image bool, now model.Time, do Doer) bool {
	var best option
	var bestNeed Room
	for _, r := range s.Vacate.Runs {
		j := r.Job
		if j.Kind != model.Service || !r.Wanted() || r.Phase != model.Running {
			continue
		}
		need := Need(j)
		for i := range s.seats {
			st := &s.seats[i]
			if st.mc == s.Vacate || !s.suits(m, j, st, need) || image && !st.mc.Has(j.Image) || !s.serviceMay(j, st) ||
				st.mc.Zone != r.Machine.Zone && !j.ZoneAllows(st.mc.Zone) {
				continue
			}
			if s.hasRoom(m, j, st, need) {
				do.Stop(r, false, "its machine is to be returned")
				return true
			}
			if runs, cost, ok := s.victims(j, st, need, model.Normal, now); ok && len(runs) > 0 && (best.st == nil || cost < best.cost) {
				best, bestNeed = option{st: st, cost: cost, runs: runs}, need
			}
		}
	}
	if best.st == nil || len(s.kept) >= mostKept {
		return best.st != nil
	}
	s.kept[best.st.mc] = keep{bestNeed, now + keepFor}
	for _, v := range best.runs {
		do.Stop(v, false, "room for a replica whose machine is to be returned")
	}
	return true
}

// keep is room on a machine that less urgent work leaves to services for a while.
type keep struct {
	room  Room
	until model.Time
}

const (
	keepFor  = model.Time(3e9)
	mostKept = 8
)

// mostMoves bounds how many runs a round tries to move off machines that are to go.
const mostMoves = 32

// leaver is a run on a machine that is to go, by its place among those of its machine.
type leaver struct {
	run *model.Run
	at  leavingPlace
}

// leavingPlace is a machine, and a place among those of its runs that are to move.
type leavingPlace struct {
	machine model.MachineID
	run     int
}

// before tells whether a place comes before another one. Machines are in the order of their numbers.
func (p leavingPlace) before(o leavingPlace) bool {
	return p.machine < o.machine || p.machine == o.machine && p.run < o.run
}

// leavers lists the runs that are to move off machines that are to go. A machine whose return is under way is
// left alone: the cloud's answer is the end of what it holds.
func leavers(m *model.Model) (list []leaver) {
	for _, mc := range m.Order {
		if !mc.Leaves() || !mc.Reported || mc.Releasing || mc.Suspect {
			continue
		}
		for i, r := range mc.Runs {
			if r.Job.Kind == model.Service || r.Job.Spec.CheckpointS != 0 {
				list = append(list, leaver{r, leavingPlace{mc.ID, i}})
			}
		}
	}
	return list
}

// evacuate moves replicas off machines that are to go, one of a job at a time and only where there is room for them.
// Where there are more than a round tries, the next one goes on behind them: those that find no room must not keep
// the others from theirs.
func (s *Sched) evacuate(m *model.Model, now model.Time, do Doer) {
	list := leavers(m)
	from := max(0, slices.IndexFunc(list, func(l leaver) bool { return !l.at.before(s.evacuateFrom) }))
	s.evacuateFrom = leavingPlace{}
	tries := 0
	for i := range list {
		l := list[(from+i)%len(list)]
		if !l.run.Wanted() || l.run.Job.Waiting() > 0 || moving(l.run.Job) {
			continue // one at a time
		}
		if tries++; tries > mostMoves {
			s.evacuateFrom = l.at
			return
		}
		s.moveAway(m, l.run, do)
	}
}

// moveAway has a run end, to go on elsewhere, if there is room for it.
func (s *Sched) moveAway(m *model.Model, r *model.Run, do Doer) {
	j, need := r.Job, Need(r.Job)
	for i := range s.seats {
		st := &s.seats[i]
		zoneMay := st.mc.Zone == r.Machine.Zone || j.ZoneAllows(st.mc.Zone)
		if s.suits(m, j, st, need) && s.hasRoom(m, j, st, need) && zoneMay {
			st.claim = st.claim.Plus(need)
			do.Stop(r, false, "its machine is to go")
			return
		}
	}
}

// moving tells whether a task of a job is being stopped.
func moving(j *model.Job) bool {
	for i := range j.Tasks {
		if o := j.Tasks[i].Run; o != nil && o.Stop {
			return true
		}
	}
	return false
}
