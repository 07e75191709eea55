// Package sched decides what runs where. The ordinary path is DAD, data-aware
// task dispatching (Li and Tatebe): the free machine with the lowest score takes
// the task, and a task may wait some rounds for a busy machine that has its
// image. Around it stand what the paper does not treat: order among jobs, gangs,
// limits, room for urgent work, and preemption.
//
// The package is pure: it reads the model and calls a Doer for each decision;
// the Doer applies a placement to the model before it returns.
package sched

import (
	"sort"

	"fieldhill/internal/config"
	"fieldhill/internal/model"
)

// Params are the knobs of DAD and the site's objectives.
type Params struct {
	Beta       float64 // weight of locality against load
	Threshold  float64 // scores below it count as local
	WaitRounds int     // rounds that a task may wait for a busy local machine
	Objectives []config.Objective
}

// Doer carries out decisions.
type Doer interface {
	Place(j *model.Job, task int32, attempt uint32, mc *model.Machine)
	Stop(r *model.Run, hard bool, why string)
}

// Room is what a task takes, or what a machine has.
type Room struct{ CPUs, GPUs, Mem float64 }

// Plus adds.
func (a Room) Plus(b Room) Room { return Room{a.CPUs + b.CPUs, a.GPUs + b.GPUs, a.Mem + b.Mem} }

// Minus subtracts.
func (a Room) Minus(b Room) Room { return Room{a.CPUs - b.CPUs, a.GPUs - b.GPUs, a.Mem - b.Mem} }

// Holds tells whether b fits into a.
func (a Room) Holds(b Room) bool {
	const eps = 1e-6
	return a.CPUs+eps >= b.CPUs && a.GPUs+eps >= b.GPUs && a.Mem+eps >= b.Mem
}

// Need is what a task of a job takes.
func Need(j *model.Job) Room { return Room{j.Spec.CPUs, j.Spec.GPUs, j.Spec.MemoryGB} }

// Total is what a machine has.
func Total(m *model.Model, mc *model.Machine) Room {
	t := m.TypeOf(mc)
	return Room{t.CPUs, t.GPUs, t.MemoryGB}
}

func used(mc *model.Machine) Room { return Room{mc.CPUs, mc.GPUs, mc.Mem} }

// Sched keeps what lasts from round to round.
type Sched struct {
	P Params
	// Headroom is how many CPUs tasks of low urgency leave free for services
	// that must start at once.
	Headroom float64

	// ForServices are machines with GPUs that services may take, and how many tasks.
	ForServices map[*model.Machine]int

	// LowMay are the machines with GPUs that low work may use.
	LowMay map[*model.Machine]bool

	// Vacate is a machine whose replicas are to move, or nil.
	Vacate *model.Machine
	moved  model.Time

	service float64                 // the most CPUs that a service task takes
	claims  map[*model.Machine]Room // room kept for waiting urgent work this round
	shapes  map[int32]Room          // largest need seen of each class that uses GPUs
	free    float64                 // free CPUs where services go: ordinary machines without GPUs

}

// New makes a scheduler.
func New(p Params) *Sched { return &Sched{P: p, shapes: map[int32]Room{}} }

// Patience is how long a job may wait for room before others are stopped for it.
func (s *Sched) Patience(j *model.Job) model.Time {
	best := 30.0
	for _, o := range s.P.Objectives {
		if o.Kind == "wait" && o.Class == j.Spec.Class || o.Kind == "guarantee" && j.Guaranteed {
			best = min(best, o.WithinS)
		}
	}
	if j.Priority == model.Production {
		return config.Seconds(best * 0.05)
	}
	return config.Seconds(best * 0.15)
}

// Guarantees marks the jobs that fit, with their team's earlier unfinished
// jobs, into what the team is guaranteed.
func Guarantees(jobs []*model.Job) {
	sum := map[*model.Team]Room{}
	for _, j := range jobs {
		t := j.Team
		if t == nil || j.Cancelled {
			continue
		}
		n := float64(len(j.Tasks) - j.Done)
		r := sum[t].Plus(Room{CPUs: j.Spec.CPUs * n, GPUs: j.Spec.GPUs * n})
		sum[t] = r
		j.Guaranteed = (t.CPUs > 0 || j.Spec.CPUs == 0 || j.Spec.GPUs > 0) && (t.CPUs == 0 || r.CPUs <= t.CPUs+1e-6) && r.GPUs <= t.GPUs+1e-6 &&
			(t.GPUs > 0 || j.Spec.GPUs == 0)
	}
}

// tier orders jobs: replicas of production services first, then work within a
// guarantee, then the rest; inside each by priority.
func tier(j *model.Job) int {
	t := int(j.Priority)
	if j.Guaranteed && j.Priority < model.Production {
		t += int(model.Production)
	} else if j.Priority == model.Production {
		t += 2 * int(model.Production)
	}
	return t
}

// shortFirst tells whether a job stands in the queue of low arrays, which is
// served shortest first instead of by turns: when there is more work than room,
// turns make every job late, and this way most are in time.
func shortFirst(j *model.Job) bool {
	return j.Kind == model.Array && j.Priority == model.Low && !j.Guaranteed
}

// remaining is the work of a job that is left, in CPU seconds as estimated.
func remaining(j *model.Job) float64 {
	return float64(len(j.Tasks)-j.Done) * max(1, j.Spec.EstimateS) * max(0.01, j.Spec.CPUs)
}

// hopeless tells whether a job is past the last time that an objective sets it.
func (s *Sched) hopeless(j *model.Job, now model.Time) bool {
	last := -1.0
	for _, o := range s.P.Objectives {
		switch {
		case o.Class != j.Spec.Class:
		case o.Kind == "finished":
			last = max(last, o.WithinS)
		case o.Kind == "deadline" && j.Spec.DeadlineS != nil:
			last = max(last, *j.Spec.DeadlineS*max(1, o.Times))
		}
	}
	return last >= 0 && (now-j.Began).Seconds() > last
}

// Round places what can be placed. With tick, a DAD round has passed, and what
// waits for a busy local machine has waited one more.
func (s *Sched) Round(m *model.Model, now model.Time, tick bool, do Doer) {
	jobs := m.JobsInOrder()
	Guarantees(jobs)
	active := jobs[:0:0]
	for _, j := range jobs {
		if j.Spec.GPUs > 0 {
			r := s.shapes[j.Class]
			n := Need(j)
			s.shapes[j.Class] = Room{max(r.CPUs, n.CPUs), max(r.GPUs, n.GPUs), max(r.Mem, n.Mem)}
		}
		if j.Waiting() > 0 && now >= j.NotBefore {
			active = append(active, j)
		}
	}
	sort.SliceStable(active, func(i, k int) bool {
		a, b := active[i], active[k]
		if ta, tb := tier(a), tier(b); ta != tb {
			return ta > tb
		}
		if !shortFirst(a) || !shortFirst(b) {
			return false
		}
		if la, lb := s.hopeless(a, now), s.hopeless(b, now); la != lb {
			return lb
		}
		return remaining(a) < remaining(b)
	})
	s.service = 0
	for _, j := range jobs {
		if j.Kind == model.Service {
			s.service = max(s.service, j.Spec.CPUs)
		}
	}
	s.claims = map[*model.Machine]Room{}
	s.free = 0
	for _, mc := range m.Order {
		if t := m.TypeOf(mc); mc.Usable() && t.GPUs == 0 && !mc.Spot {
			s.free += t.CPUs - mc.CPUs
		}
	}
	for len(active) > 0 {
		n := 1
		for n < len(active) && tier(active[n]) == tier(active[0]) && !shortFirst(active[0]) {
			n++
		}
		s.turns(m, active[:n], now, tick, do)
		active = active[n:]
	}
	s.evacuate(m, now, do)
	s.vacate(m, jobs, now, do)
}

// moveEvery paces the moves of replicas, each of which is down for a moment.
const moveEvery = model.Time(600e6)

// vacate moves one replica off the machine that is to be emptied, to where its
// image is already, and only while no other replica waits.
func (s *Sched) vacate(m *model.Model, jobs []*model.Job, now model.Time, do Doer) {
	if s.Vacate == nil || m.Machines[s.Vacate.ID] != s.Vacate || now-s.moved < moveEvery {
		return
	}
	for _, j := range jobs {
		if j.Kind == model.Service && j.Waiting() > 0 {
			return
		}
	}
	for _, r := range s.Vacate.Runs {
		j := r.Job
		if j.Kind != model.Service || !r.Wanted() || r.Phase != model.Running {
			continue
		}
		t := s.newTurn(m, j)
		for i := range t.cands {
			c := &t.cands[i]
			if c.mc != s.Vacate && c.mc.Has(j.Image) && s.hasRoom(m, j, c.mc, Need(j)) &&
				(c.mc.Zone == r.Machine.Zone || j.ZoneAllows(c.mc.Zone)) {
				s.moved = now
				do.Stop(r, false, "its machine is to be returned")
				return
			}
		}
	}
}

// turns lets the jobs of a tier take turns, a task each, until none can go on.
func (s *Sched) turns(m *model.Model, jobs []*model.Job, now model.Time, tick bool, do Doer) {
	open := make([]*turn, 0, len(jobs))
	for _, j := range jobs {
		open = append(open, s.newTurn(m, j))
	}
	for len(open) > 0 {
		rest := open[:0]
		for _, t := range open {
			if s.step(m, t, now, tick, do) {
				rest = append(rest, t)
			}
		}
		open = rest
	}
}

// turn is a job with the machines that it may use and their locality.
type turn struct {
	j     *model.Job
	cands []cand
}

type cand struct {
	mc  *model.Machine
	loc float64
}

func (s *Sched) newTurn(m *model.Model, j *model.Job) *turn {
	t := &turn{j: j}
	for _, mc := range m.Order {
		if !mc.Usable() || !j.Allowed(mc.Type, mc.Zone, mc.Spot) || !m.TypeOf(mc).Known ||
			!Total(m, mc).Holds(Need(j)) || j.AvoidedOn[mc.ID] && len(j.AvoidedOn) < len(m.Order) {
			continue
		}
		t.cands = append(t.cands, cand{mc, Locality(m, j, mc)})
	}
	return t
}

// FileLocality is the paper's measure for one image, with the design's guard
// against zero: about 0 when the image is there, about 1 when it is not.
func FileLocality(presentBytes, totalBytes float64) float64 {
	missing := totalBytes - presentBytes
	return (missing-presentBytes)/(2*(totalBytes+1)) + 0.5
}

// Locality extends the paper's measure: an image that is being fetched counts as
// mostly there (it stays below the threshold on a loaded machine too), and a missing one is worse the longer its fetch will take with the
// fetches that share the line. Without it, tasks of a burst that needs one image
// wait for busy holders and then pile their fetches on the idlest machines.
func Locality(m *model.Model, j *model.Job, mc *model.Machine) float64 {
	size := j.Spec.ImageGB * 1e9
	if mc.Has(j.Image) {
		return FileLocality(size, size)
	}
	this, queue := mc.Fetches(j.Image)
	if this {
		return FileLocality(0.7*size, size)
	}
	loc := FileLocality(0, size)
	if rate := m.TypeOf(mc).FetchGBPerS; rate > 0 {
		loc += min(1, (queue+j.Spec.ImageGB)/rate/60)
	}
	return loc
}

// Score is the paper's: locality weighed against load.
func (s *Sched) Score(locality, load float64) float64 {
	return locality*s.P.Beta + load*(1-s.P.Beta)
}

func load(m *model.Model, mc *model.Machine) float64 {
	t := m.TypeOf(mc)
	if t.CPUs <= 0 {
		return 1
	}
	return min(1, mc.CPUs/t.CPUs)
}

// step tries to place the job's next task, or a whole gang. It tells whether the
// job may go on this round.
func (s *Sched) step(m *model.Model, t *turn, now model.Time, tick bool, do Doer) bool {
	j := t.j
	if j.Kind == model.Gang {
		s.gang(m, t, now, do)
		return false
	}
	task := j.NextWaiting()
	if task < 0 {
		return false
	}
	if !j.TeamAllows(1) {
		s.makeTeamRoom(m, j, now, do)
		return false
	}
	best, bestScore, wait := s.choose(m, t)
	if best == nil {
		s.makeRoom(m, t, now, do)
		return false
	}
	if bestScore >= s.P.Threshold && wait && j.Waited < s.P.WaitRounds && j.Kind != model.Service {
		if tick {
			j.Waited++
		}
		return false
	}
	s.put(m, t, best, task, j.Tasks[task].Attempt+1, do)
	return true
}

func (s *Sched) put(m *model.Model, t *turn, c *cand, task int32, attempt uint32, do Doer) {
	do.Place(t.j, task, attempt, c.mc)
	if s.ForServices[c.mc] > 0 && t.j.Kind == model.Service {
		s.ForServices[c.mc]--
	}
	if m.TypeOf(c.mc).GPUs == 0 && !c.mc.Spot {
		s.free -= t.j.Spec.CPUs
	}
	c.loc = Locality(m, t.j, c.mc)
}

// choose finds the free machine with the lowest score, and whether a busy one is
// local (wait).
func (s *Sched) choose(m *model.Model, t *turn) (best *cand, bestScore float64, wait bool) {
	j := t.j
	need := Need(j)
	zones := map[int32]bool{}
	for i := range t.cands {
		c := &t.cands[i]
		ok, seen := zones[c.mc.Zone]
		if !seen {
			ok = j.ZoneAllows(c.mc.Zone)
			zones[c.mc.Zone] = ok
		}
		if !ok {
			continue
		}
		score := s.Score(c.loc, load(m, c.mc))
		if !s.hasRoom(m, j, c.mc, need) {
			wait = wait || score < s.P.Threshold
			continue
		}
		score += s.misfit(m, j, c.mc)
		if best == nil || score < bestScore {
			best, bestScore = c, score
		}
	}
	return best, bestScore, wait
}

// misfit makes machines with GPUs the last choice for work that uses none.
func (s *Sched) misfit(m *model.Model, j *model.Job, mc *model.Machine) float64 {
	if j.Spec.GPUs > 0 || m.TypeOf(mc).GPUs == 0 {
		return 0
	}
	if j.Kind == model.Service && s.spoils(m, j, mc, true) && !s.spoils(m, j, mc, false) {
		return 4 // better one that no gang fits any more
	}
	return 2
}

// suitsGPUWork tells whether work that uses GPUs, as it was seen, fits a machine.
func (s *Sched) suitsGPUWork(total Room) bool {
	for _, shape := range s.shapes {
		if total.Holds(shape) {
			return true
		}
	}
	return false
}

// spoils tells whether a gang that uses GPUs would not fit beside the services
// of a machine, with the job's task or without it.
func (s *Sched) spoils(m *model.Model, j *model.Job, mc *model.Machine, with bool) bool {
	firm := Firm(mc)
	if with {
		firm = firm.Plus(Need(j))
	}
	total := Total(m, mc)
	for _, shape := range s.shapes {
		if total.Holds(shape) && !total.Minus(firm).Holds(shape) {
			return true
		}
	}
	return false
}

// hasRoom tells whether a task may take room on a machine now: free, not claimed
// for more urgent work, and not what services are to find free.
func (s *Sched) hasRoom(m *model.Model, j *model.Job, mc *model.Machine, need Room) bool {
	total := Total(m, mc)
	if !total.Minus(used(mc)).Holds(need) {
		return false
	}
	if claim, ok := s.claims[mc]; ok {
		if !total.Minus(used(mc)).Plus(stopping(mc)).Minus(claim).Holds(need) {
			return false
		}
	}
	if total.GPUs == 0 && !mc.Spot && j.Priority < model.Production && s.free-need.CPUs < s.Headroom {
		return false
	}
	if total.GPUs > 0 && j.Spec.GPUs == 0 && j.Priority == model.Low && !s.LowMay[mc] {
		return false
	}
	if k := s.ForServices[mc]; k > 0 && j.Kind != model.Service && j.Spec.GPUs == 0 {
		// Where services are expected, other work leaves some of their room free.
		if total.CPUs-mc.CPUs-need.CPUs < float64(min(k, 3))*s.service {
			return false
		}
	}
	return s.serviceMay(m, j, mc)
}

// serviceMay tells whether a service may go to a machine. A service stays for
// long: it would take what a gang needs, and keep a dear machine from being
// returned. It goes to a machine that gangs use only as far as the fleet found
// no other room for services.
func (s *Sched) serviceMay(m *model.Model, j *model.Job, mc *model.Machine) bool {
	total := Total(m, mc)
	return j.Kind != model.Service || j.Spec.GPUs > 0 || total.GPUs == 0 || s.ForServices[mc] > 0 || !s.suitsGPUWork(total)
}

// stopping is the room that tasks told to stop will leave.
func stopping(mc *model.Machine) Room {
	var r Room
	for _, run := range mc.Runs {
		if !run.Wanted() {
			r = r.Plus(Need(run.Job))
		}
	}
	return r
}

// Firm is the room that services without GPUs have taken of a machine.
func Firm(mc *model.Machine) Room {
	var firm Room
	for _, r := range mc.Runs {
		if r.Job.Kind == model.Service && r.Job.Spec.GPUs == 0 {
			firm = firm.Plus(Need(r.Job))
		}
	}
	return firm
}

// gang places all tasks of a gang or none. A gang that lost a member is stopped
// as a whole first; its next attempt begins when nothing of the old one is left.
func (s *Sched) gang(m *model.Model, t *turn, now model.Time, do Doer) {
	j := t.j
	if j.Live > 0 {
		for i := range j.Tasks {
			if r := j.Tasks[i].Run; r != nil && !r.Stop {
				do.Stop(r, false, "the gang lost a member")
			}
		}
		return
	}
	n := j.Waiting()
	if !j.TeamAllows(n) {
		s.makeTeamRoom(m, j, now, do)
		return
	}
	attempt := uint32(0)
	for i := range j.Tasks {
		attempt = max(attempt, j.Tasks[i].Attempt)
	}
	if plan := s.planGang(m, t, n); plan != nil {
		for _, c := range plan {
			s.put(m, t, c, j.NextWaiting(), attempt+1, do)
		}
		return
	}
	if n == 1 {
		s.makeRoom(m, t, now, do)
	}
}

// planGang finds a machine for every member, or nil. Each zone is tried by
// itself when the job must stay in one.
func (s *Sched) planGang(m *model.Model, t *turn, n int) []*cand {
	if !t.j.Spec.SameZone {
		return s.planIn(m, t, n, -1)
	}
	var best []*cand
	var bestSum float64
	tried := map[int32]bool{}
	for i := range t.cands {
		z := t.cands[i].mc.Zone
		if tried[z] {
			continue
		}
		tried[z] = true
		plan := s.planIn(m, t, n, z)
		sum := 0.0
		for _, c := range plan {
			sum += s.Score(c.loc, load(m, c.mc))
		}
		if plan != nil && (best == nil || sum < bestSum) {
			best, bestSum = plan, sum
		}
	}
	return best
}

func (s *Sched) planIn(m *model.Model, t *turn, n int, zone int32) []*cand {
	need := Need(t.j)
	limit := len(t.j.Tasks)
	if t.j.Spec.Spread {
		limit = (len(t.j.Tasks) + 1) / 2
	}
	taken := map[*cand]int{}
	perZone := map[int32]int{}
	var plan []*cand
	for range n {
		var best *cand
		var bestScore float64
		for i := range t.cands {
			c := &t.cands[i]
			if zone >= 0 && c.mc.Zone != zone || perZone[c.mc.Zone] >= limit {
				continue
			}
			k := float64(taken[c] + 1)
			if !s.hasRoom(m, t.j, c.mc, Room{need.CPUs * k, need.GPUs * k, need.Mem * k}) {
				continue
			}
			score := s.Score(c.loc, load(m, c.mc)) + s.misfit(m, t.j, c.mc)
			if best == nil || score < bestScore {
				best, bestScore = c, score
			}
		}
		if best == nil {
			return nil
		}
		taken[best]++
		perZone[best.mc.Zone]++
		plan = append(plan, best)
	}
	return plan
}

// mayStop tells whether a run may be stopped for a job: it is of lower priority,
// or the job is within its team's guarantee and the run's team is beyond its own.
func mayStop(r *model.Run, j *model.Job) bool {
	if r.Job == j || !r.Wanted() || r.Job.Kind == model.Service {
		return false
	}
	if r.Job.Priority < j.Priority {
		return true
	}
	if !j.Guaranteed || r.Job.Guaranteed || r.Job.Team == j.Team || r.Job.Team == nil {
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

// makeRoom keeps room for a task that finds none: it claims what is being freed
// already, or else the machine where stopping others does the least harm, and
// stops them once the job has waited long enough.
func (s *Sched) makeRoom(m *model.Model, t *turn, now model.Time, do Doer) {
	j := t.j
	need := Need(j)
	if j.Priority == model.Low && !j.Guaranteed {
		return
	}
	left := j.Waiting()
	patient := now-j.Began < s.Patience(j)
	for ; left > 0; left-- {
		var best *model.Machine
		var bestRuns []*model.Run
		bestHarm := 0.0
		for i := range t.cands {
			mc := t.cands[i].mc
			if !j.ZoneAllows(mc.Zone) || !s.serviceMay(m, j, mc) {
				continue
			}
			runs, cost, ok := s.victims(m, j, mc, need, now)
			if ok && (best == nil || cost < bestHarm) {
				best, bestRuns, bestHarm = mc, runs, cost
			}
		}
		if best == nil {
			return
		}
		s.claims[best] = s.claims[best].Plus(need)
		if patient {
			continue
		}
		for _, r := range bestRuns {
			do.Stop(r, false, "room for "+j.Spec.ID)
		}
	}
}

// victims finds runs whose end makes room on a machine, least harm first.
func (s *Sched) victims(m *model.Model, j *model.Job, mc *model.Machine, need Room, now model.Time) ([]*model.Run, float64, bool) {
	total := Total(m, mc)
	room := total.Minus(used(mc)).Plus(stopping(mc)).Minus(s.claims[mc])
	if room.Holds(need) {
		return nil, 0, true
	}
	var pool []*model.Run
	for _, r := range mc.Runs {
		if mayStop(r, j) {
			pool = append(pool, r)
		}
	}
	sort.SliceStable(pool, func(a, b int) bool {
		if pool[a].Job.Priority != pool[b].Job.Priority {
			return pool[a].Job.Priority < pool[b].Job.Priority
		}
		return harm(pool[a], now) < harm(pool[b], now)
	})
	cost := 0.0
	for i, r := range pool {
		room = room.Plus(Need(r.Job))
		cost += harm(r, now)
		if room.Holds(need) {
			return pool[:i+1], cost, true
		}
	}
	return nil, 0, false
}

// makeTeamRoom stops less urgent work of the job's own team when the team's
// limit stands in the way.
func (s *Sched) makeTeamRoom(m *model.Model, j *model.Job, now model.Time, do Doer) {
	if j.Team == nil || now-j.Began < s.Patience(j) {
		return
	}
	n := 1
	if j.Kind == model.Gang {
		n = j.Waiting()
	}
	cpus, gpus := j.Team.UsedCPUs+j.Spec.CPUs*float64(n)-j.Team.CPUsMax, j.Team.UsedGPUs+j.Spec.GPUs*float64(n)-j.Team.GPUsMax
	if j.Team.CPUsMax == 0 {
		cpus = 0
	}
	if j.Team.GPUsMax == 0 {
		gpus = 0
	}
	var pool []*model.Run
	for _, mc := range m.Order {
		for _, r := range mc.Runs {
			if r.Job.Team != j.Team {
				continue
			}
			if !r.Wanted() {
				cpus, gpus = cpus-r.Job.Spec.CPUs, gpus-r.Job.Spec.GPUs
			} else if r.Job.Priority < j.Priority && r.Job.Kind != model.Service {
				pool = append(pool, r)
			}
		}
	}
	sort.SliceStable(pool, func(a, b int) bool { return harm(pool[a], now) < harm(pool[b], now) })
	for _, r := range pool {
		if cpus <= 1e-6 && gpus <= 1e-6 {
			return
		}
		if cpus > 1e-6 && r.Job.Spec.CPUs == 0 || cpus <= 1e-6 && r.Job.Spec.GPUs == 0 {
			continue
		}
		cpus, gpus = cpus-r.Job.Spec.CPUs, gpus-r.Job.Spec.GPUs
		do.Stop(r, false, "its team's limit, for "+j.Spec.ID)
	}
}

// evacuate moves replicas off machines that are to go, one of a job at a time
// and only where there is room for them.
func (s *Sched) evacuate(m *model.Model, now model.Time, do Doer) {
	for _, mc := range m.Order {
		if mc.Usable() || !mc.Reported {
			continue
		}
		for _, r := range mc.Runs {
			j := r.Job
			if j.Kind != model.Service && j.Spec.CheckpointS == 0 || !r.Wanted() {
				continue
			}
			if j.Waiting() > 0 {
				continue // one at a time
			}
			moving := false
			for i := range j.Tasks {
				if o := j.Tasks[i].Run; o != nil && o.Stop {
					moving = true
				}
			}
			if moving {
				continue
			}
			t := s.newTurn(m, j)
			for i := range t.cands {
				c := &t.cands[i]
				if s.hasRoom(m, j, c.mc, Need(j)) && (c.mc.Zone == mc.Zone || j.ZoneAllows(c.mc.Zone)) {
					s.claims[c.mc] = s.claims[c.mc].Plus(Need(j))
					do.Stop(r, false, "its machine is to go")
					break
				}
			}
		}
	}
}
