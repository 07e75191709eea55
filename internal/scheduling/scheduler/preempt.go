package scheduler

import (
	"cmp"
	"container/heap"
	"slices"

	"fieldhill/internal/model"
)

// This file makes room for urgent work: what may be stopped, and what is.

// mayStop tells whether a run may be stopped for a job: it is of lower priority,
// or the job is within its team's guarantee and the run's team is beyond its own. What
// a team has of its guarantee that wants more stops nothing: whose turn it is changes with
// every task that ends, and two teams once stopped each other's tasks thousands of times.
func mayStop(r *model.Run, j *model.Job) bool {
	if r.Job == j || !r.Wanted() || r.Job.Kind == model.Service || r.Job.Rank >= j.Rank {
		// What is served before the job would be placed again before it, and
		// stopped again, round after round.
		return false
	}
	if r.Job.Priority < j.Priority {
		return true
	}
	if !j.Guaranteed || j.Spared || r.Job.Guaranteed || r.Job.Team == j.Team || r.Job.Team == nil {
		return false
	}
	t := r.Job.Team
	return t.UsedCPUs > t.CPUs+1e-6 && t.CPUs > 0 || t.UsedGPUs > t.GPUs+1e-6 && r.Job.Spec.GPUs > 0
}

// harm is what stopping a run costs, in CPU seconds that are done again.
func harm(r *model.Run, now model.Time) float64 {
	if r.StartedAt == 0 {
		return 0.5
	}
	lost := (now - r.StartedAt).Seconds()
	if r.Job.Spec.CheckpointS > 0 {
		lost = r.Job.Spec.SaveS + 1
	}
	return 1 + lost*max(r.Job.Spec.CPUs, 0.1)
}

// fetchS is how many seconds a machine takes to have a job's image, with the fetches that share the line; 0: it has it.
func fetchS(m *model.Model, j *model.Job, mc *model.Machine) float64 {
	rate := m.TypeOf(mc).FetchGBPerS
	if rate <= 0 || mc.Has(j.Image) {
		return 0
	}
	this, gb := mc.Fetches(j.Image)
	if !this {
		gb += j.Spec.ImageGB
	}
	return gb / rate
}

// idles is what a task of a job costs, in CPU seconds, while its machine fetches its image: its place is taken and it does nothing. It stands beside
// the harm of stopping others, so that room is made where the image is unless that undoes more than the fetch takes.
func idles(m *model.Model, j *model.Job, mc *model.Machine) float64 {
	return fetchS(m, j, mc) * max(j.Spec.CPUs, 0.1)
}

// option is a machine on which a task would find room once some runs are stopped.
type option struct {
	st   *seat
	cost float64
	runs []*model.Run
	at   int
}

type options []option

func (o options) Len() int { return len(o) }

func (o options) Swap(i, k int) { o[i], o[k] = o[k], o[i] }

func (o options) Less(i, k int) bool {
	return o[i].cost < o[k].cost || o[i].cost == o[k].cost && o[i].at < o[k].at
}

// Push is for heap.Interface.
func (o *options) Push(x any) { *o = append(*o, x.(option)) }

// Pop is for heap.Interface.
func (o *options) Pop() any {
	last := (*o)[len(*o)-1]
	*o = (*o)[:len(*o)-1]
	return last
}

// mostClaims bounds for how many tasks of a job room is made at once.
const mostClaims = 64

// makeRoom keeps room for tasks that find none: it claims what is being freed
// already, or else the machine where stopping others does the least harm, and
// stops them once the job has waited long enough. It tells whether there will be
// room for all of them.
func (s *Sched) makeRoom(m *model.Model, t *turn, now model.Time, do Doer) bool {
	j := t.j
	if j.Priority == model.Low && (!j.Guaranteed || j.Spared) || j.Faulty {
		return false
	}
	k := kindToStop(j)
	if j.FailedOn == nil && covered(s.stuck, k, t.need) {
		return false
	}
	z := zones{j: j}
	limited := false
	var opts options
	for i := range s.seats {
		st := &s.seats[i]
		if !s.suits(m, j, st, t.need) || !s.serviceMay(j, st) || !st.total.Minus(Firm(st.mc)).Minus(st.claim).Holds(t.need) {
			continue
		}
		if !z.allow(st.mc.Zone) {
			limited = true
			continue
		}
		if runs, cost, ok := s.victims(j, st, t.need, model.Production, now); ok {
			opts = append(opts, option{st, cost + idles(m, j, st.mc), runs, i})
		}
	}
	patient := s.Early || now-j.Began < s.patience(j)
	left := s.claimBest(m, j, t.need, opts, model.Production, !patient, "room for "+j.Spec.ID, now, do)
	if left > 0 && !limited && !j.Spec.Spread && j.FailedOn == nil {
		s.stuck = append(s.stuck, shape{k, t.need})
	}
	return left == 0
}

// claimBest claims room for the waiting tasks of a job where it costs least, and
// stops what is in the way, up to a priority, if it may. It returns how many found none.
func (s *Sched) claimBest(m *model.Model, j *model.Job, need Room, opts options, most model.Priority, stop bool, why string, now model.Time, do Doer) int {
	heap.Init(&opts)
	inZone := map[int32]int{} // claimed by this job
	left := min(j.Waiting(), mostClaims)
	for left > 0 && len(opts) > 0 {
		o := &opts[0]
		if zone := o.st.mc.Zone; j.Spec.Spread {
			if in, _ := j.ZoneCount(zone); in+inZone[zone]+1 > (len(j.Tasks)+1)/2 {
				heap.Pop(&opts)
				continue
			}
			inZone[zone]++
		}
		left--
		o.st.claim = o.st.claim.Plus(need)
		if stop {
			for _, r := range o.runs {
				do.Stop(r, false, why)
			}
			o.st.left = false
		}
		var ok bool
		if o.runs, o.cost, ok = s.victims(j, o.st, need, most, now); ok {
			o.cost += idles(m, j, o.st.mc)
			heap.Fix(&opts, 0)
		} else {
			heap.Pop(&opts)
		}
	}
	return left
}

type victim struct {
	r    *model.Run
	harm float64
}

// victims finds runs of at most a priority whose end makes room on a machine, least
// harm first. Up to normal rank these are tasks of arrays: they leave within a moment, and nobody waits for them.
func (s *Sched) victims(j *model.Job, st *seat, need Room, most model.Priority, now model.Time) ([]*model.Run, float64, bool) {
	room := st.total.Minus(used(st.mc)).Plus(st.leaving()).Minus(st.claim)
	if room.Holds(need) {
		return nil, 0, true
	}
	pool := s.pool[:0]
	could := room
	for _, r := range st.mc.Runs {
		if r.Job.Priority <= most && mayStop(r, j) && (most > model.Normal || notByTurns(r.Job)) {
			pool = append(pool, victim{r, harm(r, now)})
			could = could.Plus(Need(r.Job))
		}
	}
	s.pool = pool
	if !could.Holds(need) {
		return nil, 0, false
	}
	slices.SortStableFunc(pool, func(a, b victim) int {
		if c := cmp.Compare(a.r.Job.Priority, b.r.Job.Priority); c != 0 {
			return c
		}
		return cmp.Compare(a.harm, b.harm)
	})
	cost := 0.0
	for i, v := range pool {
		room = room.Plus(Need(v.r.Job))
		cost += v.harm
		if room.Holds(need) {
			runs := make([]*model.Run, i+1)
			for k := range runs {
				runs[k] = pool[k].r
			}
			return runs, cost, true
		}
	}
	return nil, 0, false
}

// lacks is by how much n tasks of a job are over their team's limit, beside what is
// kept for more urgent work.
func (s *Sched) lacks(j *model.Job, n int) (cpus, gpus float64) {
	t, o := j.Team, s.owed[j.Team.Index]
	if t.CPUsMax > 0 {
		cpus = t.UsedCPUs + o.CPUs + j.Spec.CPUs*float64(n) - t.CPUsMax
	}
	if t.GPUsMax > 0 {
		gpus = t.UsedGPUs + o.GPUs + j.Spec.GPUs*float64(n) - t.GPUsMax
	}
	return cpus, gpus
}

// leavesTeam tells whether a run may be stopped for a job of its own team that finds
// their limit in the way. What is served before the job would be placed again before
// it, and stopped again, round after round: a gang that was behind its team's
// guaranteed arrays once had 147,000 tasks stopped and never started.
func leavesTeam(r *model.Run, j *model.Job) bool {
	return r.Job.Priority < j.Priority && r.Job.Kind != model.Service && r.Job.Rank < j.Rank
}

// teamLeave is what stands in the way of a job at its team's limit: by how much the team
// is over it once all that was told to stop has left, and the runs that may be stopped.
type teamLeave struct {
	cpus, gpus float64
	pool       []victim
}

// teamLeaves looks through the runs of a job's team, and tells whether its limit would hold
// n tasks of the job once its less urgent work has left.
func (s *Sched) teamLeaves(m *model.Model, j *model.Job, n int) (l teamLeave, could bool) {
	if j.Team == nil || j.Priority == model.Low || j.Faulty {
		return l, false
	}
	l.cpus, l.gpus = s.lacks(j, n)
	cpus, gpus := l.cpus, l.gpus
	l.pool = s.crew[:0]
	for _, mc := range m.Order {
		for _, r := range mc.Runs {
			if r.Job.Team != j.Team {
				continue
			}
			c := r.Job.Spec
			switch {
			case !r.Wanted():
				l.cpus, l.gpus = l.cpus-c.CPUs, l.gpus-c.GPUs
			case leavesTeam(r, j):
				l.pool = append(l.pool, victim{r, harm(r, s.now)})
			default:
				continue
			}
			cpus, gpus = cpus-c.CPUs, gpus-c.GPUs
		}
	}
	s.crew = l.pool
	return l, cpus <= 1e-6 && gpus <= 1e-6
}

// makeTeamRoom stops less urgent work of the job's own team when the team's limit
// stands in the way, and keeps what that leaves of the limit for the job.
func (s *Sched) makeTeamRoom(j *model.Job, n int, l teamLeave, now model.Time, do Doer) {
	o := &s.owed[j.Team.Index]
	*o = o.Plus(Room{CPUs: j.Spec.CPUs * float64(n), GPUs: j.Spec.GPUs * float64(n)})
	if s.Early || now-j.Began < s.patience(j) {
		return
	}
	for _, v := range l.pool {
		if !v.r.Wanted() { // stopped since, for room on its machine
			l.cpus, l.gpus = l.cpus-v.r.Job.Spec.CPUs, l.gpus-v.r.Job.Spec.GPUs
		}
	}
	slices.SortStableFunc(l.pool, func(a, b victim) int { return cmp.Compare(a.harm, b.harm) })
	for _, v := range l.pool {
		r := v.r
		if l.cpus <= 1e-6 && l.gpus <= 1e-6 {
			return
		}
		if !r.Wanted() || l.cpus > 1e-6 && r.Job.Spec.CPUs == 0 || l.cpus <= 1e-6 && r.Job.Spec.GPUs == 0 {
			continue
		}
		l.cpus, l.gpus = l.cpus-r.Job.Spec.CPUs, l.gpus-r.Job.Spec.GPUs
		do.Stop(r, false, "its team's limit, for "+j.Spec.ID)
	}
}
