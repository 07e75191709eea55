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
	"cmp"
	"container/heap"
	"slices"
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
	Place(j *model.Job, task int32, attempt uint32, mc *model.Machine, score float64)
	Stop(r *model.Run, hard bool, why string)
}

// Why a job waits, for its operator: what was in the way of its next task, or of a
// gang, when it was last looked at.
const (
	whyPaused = "paused after failures"
	whyFaulty = "fails on every machine, one task at a time is tried"
	whyTeam   = "its team's limit"
	whyRoom   = "no room on machines that suit it"
	whyGang   = "no room for all members at once"
	whyEnding = "its last attempt is ending"
	whyImage  = "waits for a busy machine with its image"
	whyMade   = "room is being made where its image is"
	whyPaced  = "low work is paced"
)

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

// GPUWork holds what the classes of work that uses GPUs need, as far as they were seen.
type GPUWork map[int32]Room

// Fits tells whether any of it fits a machine.
func (g GPUWork) Fits(total Room) bool {
	for _, need := range g {
		if total.Holds(need) {
			return true
		}
	}
	return false
}

// Spoiled tells whether some of it would fit a machine, but not beside what stays there.
func (g GPUWork) Spoiled(total, stays Room) bool {
	for _, need := range g {
		if total.Holds(need) && !total.Minus(stays).Holds(need) {
			return true
		}
	}
	return false
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

	// LowMost bounds the low tasks placed in a round; 0: any number. LowLeft tells
	// that some were left for the next round because of it.
	LowMost int
	LowLeft bool

	// Vacate is a machine whose replicas are to move, or nil.
	Vacate  *model.Machine
	moved   model.Time
	placeAt model.Time // when there last was a place with its image for a replica that moves; 0: never looked
	kept    map[*model.Machine]keep

	service float64 // the most CPUs that a service task takes
	gpuWork GPUWork // the largest need seen of each class

	// What holds for the round at hand.
	now   model.Time
	seats []seat   // the machines that may be given work
	free  float64  // free CPUs where services go: ordinary machines without GPUs
	full  []shape  // needs that found no free room
	stuck []shape  // needs that found no room by stopping others either
	pool  []victim // for victims
	crew  []victim // for teamLeaves
	low   int      // low tasks placed
	held  bool     // a gang keeps room that is too little for it
	owed  []Room   // of each team's limit, what is kept for its waiting urgent work

	// Looked counts the machines that were looked at, for tests of what a round costs.
	Looked int
}

// seat is a machine that may be given work, as this round sees it.
type seat struct {
	mc    *model.Machine
	total Room
	claim Room // kept for waiting urgent work
	leave Room // what tasks told to stop will leave
	left  bool // leave is known
	kept  Room // for services
}

// shape is what a job asks of a machine: jobs of the same kind of shape that
// need more than one which found nothing find nothing either, since room only
// shrinks in a round. It keeps a round's work from growing with what waits.
type shape struct {
	kind shapeKind
	need Room
}

type shapeKind struct {
	types                         string
	zone                          int32
	spot, service, gpus, prod, lo bool
	priority                      model.Priority // these three only where others are stopped
	guaranteed                    bool
	team                          *model.Team
}

func kindOf(j *model.Job) shapeKind {
	return shapeKind{types: j.TypesKey, zone: j.Zone, spot: j.Spec.Spot, service: j.Kind == model.Service, gpus: j.Spec.GPUs > 0,
		prod: j.Priority == model.Production, lo: j.Priority == model.Low}
}

// covered tells whether a need is at least one that found nothing.
func covered(list []shape, k shapeKind, need Room) bool {
	for i := range list {
		if list[i].kind == k && need.Holds(list[i].need) {
			return true
		}
	}
	return false
}

// New makes a scheduler.
func New(p Params) *Sched {
	return &Sched{P: p, gpuWork: GPUWork{}, kept: map[*model.Machine]keep{}}
}

// patience is how long a job may wait for room before others are stopped for it.
func (s *Sched) patience(j *model.Job) model.Time {
	best := 30.0
	if within, ok := s.startWithin(j); ok {
		best = min(best, within)
	}
	for _, o := range s.P.Objectives {
		if o.Kind == "guarantee" && j.Guaranteed {
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
func Guarantees(m *model.Model, jobs []*model.Job) {
	sum := make([]Room, len(m.Teams))
	for _, j := range jobs {
		t := j.Team
		if t == nil || j.Cancelled {
			continue
		}
		n := float64(len(j.Tasks) - j.Done)
		r := &sum[t.Index]
		r.CPUs, r.GPUs = r.CPUs+j.Spec.CPUs*n, r.GPUs+j.Spec.GPUs*n
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

// remaining is the work of a job that is left, in CPU seconds as expected.
func remaining(m *model.Model, j *model.Job) float64 {
	return float64(len(j.Tasks)-j.Done) * max(1, m.Takes(j)) * max(0.01, j.Spec.CPUs)
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

// queued is a job that wants room, with what its place in the queue follows from.
type queued struct {
	j        *model.Job
	tier     int
	call     call
	short    bool
	hopeless bool
	left     float64 // CPU seconds of work, where the smallest goes first
}

// queue lists the jobs that want room, in the order in which they are served.
func (s *Sched) queue(m *model.Model, jobs []*model.Job, now model.Time) []queued {
	var q []queued
	for _, j := range jobs {
		switch {
		case j.Waiting() == 0:
			continue
		case now < j.NotBefore:
			j.Why = whyPaused
			continue
		case j.Faulty && j.Kind != model.Gang && j.Live > 0:
			j.Why = whyFaulty
			continue
		}
		e := queued{j: j, tier: tier(j), short: shortFirst(j)}
		e.call, e.left = s.callOf(m, j, now)
		if e.short {
			e.hopeless, e.left = s.hopeless(j, now), remaining(m, j)
		}
		q = append(q, e)
	}
	slices.SortStableFunc(q, func(a, b queued) int {
		switch {
		case a.tier != b.tier:
			return cmp.Compare(b.tier, a.tier)
		case a.call != b.call:
			return cmp.Compare(a.call, b.call)
		case a.hopeless != b.hopeless:
			if a.hopeless {
				return 1
			}
			return -1
		}
		return cmp.Compare(a.left, b.left)
	})
	return q
}

// Round places what can be placed. With tick, a DAD round has passed, and what
// waits for a busy local machine has waited one more.
func (s *Sched) Round(m *model.Model, now model.Time, tick bool, do Doer) {
	jobs := m.JobsInOrder()
	Guarantees(m, jobs)
	s.service = 0
	for _, j := range jobs {
		if j.Kind == model.Service {
			s.service = max(s.service, j.Spec.CPUs)
		}
		if j.Spec.GPUs > 0 {
			r, n := s.gpuWork[j.Class], Need(j)
			s.gpuWork[j.Class] = Room{max(r.CPUs, n.CPUs), max(r.GPUs, n.GPUs), max(r.Mem, n.Mem)}
		}
	}
	s.sit(m, now)
	q := s.queue(m, jobs, now)
	for len(q) > 0 {
		n := 1
		for n < len(q) && q[n].tier == q[0].tier && !q[n].short && !q[0].short {
			n++
		}
		s.turns(m, q[:n], now, tick, do)
		q = q[n:]
	}
	s.evacuate(m, now, do)
	s.vacate(m, jobs, now, do)
}

// sit lists the machines of a round.
func (s *Sched) sit(m *model.Model, now model.Time) {
	s.seats, s.full, s.stuck, s.free, s.Looked, s.held = s.seats[:0], s.full[:0], s.stuck[:0], 0, 0, false
	s.now, s.low, s.LowLeft = now, 0, false
	s.owed = append(s.owed[:0], make([]Room, len(m.Teams))...)
	for mc, k := range s.kept {
		if now > k.until {
			delete(s.kept, mc)
		}
	}
	for _, mc := range m.Order {
		t := m.TypeOf(mc)
		if !mc.Usable() || !t.Known {
			continue
		}
		if t.GPUs == 0 && !mc.Spot {
			s.free += t.CPUs - mc.CPUs
		}
		st := seat{mc: mc, total: Total(m, mc)}
		if len(s.kept) > 0 {
			st.kept = s.kept[mc].room
		}
		s.seats = append(s.seats, st)
	}
}

// suits tells whether a job may use a machine at all.
func (s *Sched) suits(m *model.Model, j *model.Job, st *seat, need Room) bool {
	s.Looked++
	return st.total.Holds(need) && j.Allowed(st.mc.Type, st.mc.Zone, st.mc.Spot) &&
		(j.FailedOn == nil || !j.Avoids(st.mc, s.now)) && (j.Kind == model.Service || !st.mc.IsSlow(s.now))
}

const (
	// moveEvery paces the moves of replicas, each of which is down for a moment.
	moveEvery = model.Time(300e6)
	// fetchEvery paces those to where the image is not, each of which is down for as
	// long as its fetch takes: one rare image used to keep a dear machine for minutes.
	fetchEvery = model.Time(5e9)
)

// vacate moves one replica off the machine that is to be emptied, to where its
// image is already if there is such a place, and only while no other replica waits.
func (s *Sched) vacate(m *model.Model, jobs []*model.Job, now model.Time, do Doer) {
	if s.Vacate == nil || m.Machines[s.Vacate.ID] != s.Vacate || now-s.moved < moveEvery {
		return
	}
	s.moved = now
	for _, j := range jobs {
		if j.Kind == model.Service && j.Waiting() > 0 {
			return
		}
	}
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
			if runs, cost, ok := s.victims(j, st, need, model.Low, now); ok && len(runs) > 0 && (best.st == nil || cost < best.cost) {
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

// turns lets the jobs of a tier take turns, a task each, until none can go on.
func (s *Sched) turns(m *model.Model, jobs []queued, now model.Time, tick bool, do Doer) {
	open := make([]*turn, 0, len(jobs))
	for i := range jobs {
		open = append(open, &turn{j: jobs[i].j, need: Need(jobs[i].j)})
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

// turn is a job with the machines that have room for it, the lowest score first.
// A score is looked at again when its machine is about to be taken: others may
// have taken room there meanwhile, which only makes it worse.
type turn struct {
	j       *model.Job
	need    Room
	built   bool
	cands   []cand
	limited bool // some machine was passed over for its zone
	wait    bool // a busy machine is local
}

type cand struct {
	st    *seat
	loc   float64
	score float64
	at    int
}

func (t *turn) Len() int      { return len(t.cands) }
func (t *turn) Swap(i, k int) { t.cands[i], t.cands[k] = t.cands[k], t.cands[i] }
func (t *turn) Less(i, k int) bool {
	a, b := &t.cands[i], &t.cands[k]
	return a.score < b.score || a.score == b.score && a.at < b.at
}

// Push is for heap.Interface.
func (t *turn) Push(x any) { t.cands = append(t.cands, x.(cand)) }

// Pop is for heap.Interface.
func (t *turn) Pop() any {
	c := t.cands[len(t.cands)-1]
	t.cands = t.cands[:len(t.cands)-1]
	return c
}

// zones tells which zones take one more task of a job, asking once for each.
type zones struct {
	j     *model.Job
	known [16]int8 // 0: not asked, 1: yes, 2: no
}

func (z *zones) allow(zone int32) bool {
	if !z.j.Spec.SameZone && !z.j.Spec.Spread {
		return true
	}
	if int(zone) >= len(z.known) {
		return z.j.ZoneAllows(zone)
	}
	if z.known[zone] == 0 {
		z.known[zone] = 2
		if z.j.ZoneAllows(zone) {
			z.known[zone] = 1
		}
	}
	return z.known[zone] == 1
}

// build finds the machines for a turn.
func (s *Sched) build(m *model.Model, t *turn) {
	t.built = true
	j := t.j
	z := zones{j: j}
	for i := range s.seats {
		st := &s.seats[i]
		if !s.suits(m, j, st, t.need) {
			continue
		}
		if !z.allow(st.mc.Zone) {
			t.limited = true
			continue
		}
		if !s.hasRoom(m, j, st, t.need) {
			if !t.wait && s.mayWait(j) {
				t.wait = s.score(locality(m, j, st.mc), load(m, st.mc)) < s.P.Threshold
			}
			continue
		}
		loc := locality(m, j, st.mc)
		t.cands = append(t.cands, cand{st, loc, s.score(loc, load(m, st.mc)) + s.misfit(m, j, st), i})
	}
	heap.Init(t)
}

// fileLocality is the paper's measure for one image, with the design's guard
// against zero: about 0 when the image is there, about 1 when it is not.
func fileLocality(presentBytes, totalBytes float64) float64 {
	missing := totalBytes - presentBytes
	return (missing-presentBytes)/(2*(totalBytes+1)) + 0.5
}

// locality extends the paper's measure: an image that is being fetched counts as
// mostly there (it stays below the threshold on a loaded machine too), and a missing one is worse the longer its fetch will take with the
// fetches that share the line. Without it, tasks of a burst that needs one image
// wait for busy holders and then pile their fetches on the idlest machines.
func locality(m *model.Model, j *model.Job, mc *model.Machine) float64 {
	size := j.Spec.ImageGB * 1e9
	if mc.Has(j.Image) {
		return fileLocality(size, size)
	}
	this, queue := mc.Fetches(j.Image)
	if this {
		return fileLocality(0.7*size, size)
	}
	loc := fileLocality(0, size)
	if rate := m.TypeOf(mc).FetchGBPerS; rate > 0 {
		loc += min(1, (queue+j.Spec.ImageGB)/rate/60)
	}
	return loc
}

// score is the paper's: locality weighed against load.
func (s *Sched) score(locality, load float64) float64 {
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
	if s.LowMost > 0 && j.Priority == model.Low {
		if s.low >= s.LowMost {
			s.LowLeft, j.Why = true, whyPaced
			return false
		}
		s.low++
	}
	if !s.teamAllows(j, 1) {
		j.Why = whyTeam
		if leave, could := s.teamLeaves(m, j, 1); could {
			s.makeTeamRoom(j, 1, leave, now, do)
		}
		return false
	}
	k := kindOf(j)
	j.Why = whyRoom
	if j.FailedOn == nil && !t.built && covered(s.full, k, t.need) {
		s.makeRoom(m, t, now, do)
		return false
	}
	best := s.choose(m, t)
	if best == nil {
		if j.FailedOn == nil && !t.limited {
			s.full = append(s.full, shape{k, t.need})
		}
		s.makeRoom(m, t, now, do)
		return false
	}
	if best.score >= s.P.Threshold && t.wait && s.mayWait(j) {
		if tick {
			j.Waited++
		}
		j.Why = whyImage
		return false
	}
	if best.loc*s.P.Beta >= s.P.Threshold && s.localRoom(m, t, best, now, do) {
		j.Why = whyMade
		return false
	}
	s.put(m, j, best.st, task, j.Tasks[task].Attempt+1, best.score, do)
	best.loc = locality(m, j, best.st.mc)
	best.score = s.score(best.loc, load(m, best.st.mc)) + s.misfit(m, j, best.st)
	heap.Fix(t, 0)
	return !j.Faulty
}

// startWithin is how soon a job's tasks are to start by the objectives.
func (s *Sched) startWithin(j *model.Job) (float64, bool) {
	return config.StartWithin(s.P.Objectives, j.Spec.Class)
}

// localRoom lets low work make room for a service where its image is, when the
// free machines would have to fetch it for longer than the service may take to
// start. Low work that stops has left within a moment. It tells whether the
// service should wait for that; it does so for a part of its time only.
func (s *Sched) localRoom(m *model.Model, t *turn, free *cand, now model.Time, do Doer) bool {
	j := t.j
	if j.Kind != model.Service {
		return false
	}
	if !s.fetchIsLate(m, j, free.st.mc) {
		return false
	}
	within, _ := s.startWithin(j)
	if since := now - j.LocalSince; j.LocalSince != 0 && since < localAgain && since > config.Seconds(within*0.6) {
		return false // once for all its tasks, not for each
	}
	z := zones{j: j}
	var opts options
	for i := range s.seats {
		st := &s.seats[i]
		if !s.suits(m, j, st, t.need) || !st.mc.Has(j.Image) || !s.serviceMay(j, st) || !z.allow(st.mc.Zone) ||
			!st.total.Minus(Firm(st.mc)).Minus(st.claim).Holds(t.need) {
			continue
		}
		if runs, cost, ok := s.victims(j, st, t.need, model.Low, now); ok {
			opts = append(opts, option{st, cost, runs, i})
		}
	}
	found := len(opts) > 0
	s.claimBest(j, t.need, opts, model.Low, true, "room where its image is, for "+j.Spec.ID, now, do)
	if found && (j.LocalSince == 0 || now-j.LocalSince >= localAgain) {
		j.LocalSince = now
	}
	return found
}

// localAgain is after how long a service may wait anew for room where its image is.
const localAgain = model.Time(60e9)

// mayWait tells whether a job may wait another round for a busy local machine.
func (s *Sched) mayWait(j *model.Job) bool {
	return j.Kind != model.Service && j.Waited < s.P.WaitRounds
}

func (s *Sched) put(m *model.Model, j *model.Job, st *seat, task int32, attempt uint32, score float64, do Doer) {
	j.Why = ""
	do.Place(j, task, attempt, st.mc, score)
	if st.total.GPUs > 0 && j.Kind == model.Service && s.ForServices[st.mc] > 0 {
		s.ForServices[st.mc]--
	}
	if st.total.GPUs == 0 && !st.mc.Spot {
		s.free -= j.Spec.CPUs
	}
}

// choose finds the free machine with the lowest score, which is then the first
// candidate, or nil.
func (s *Sched) choose(m *model.Model, t *turn) *cand {
	if !t.built {
		s.build(m, t)
	}
	j := t.j
	z := zones{j: j}
	for len(t.cands) > 0 {
		c := &t.cands[0]
		if !z.allow(c.st.mc.Zone) {
			t.limited = true
			heap.Pop(t)
			continue
		}
		s.Looked++
		score := s.score(c.loc, load(m, c.st.mc))
		if !s.hasRoom(m, j, c.st, t.need) {
			t.wait = t.wait || score < s.P.Threshold
			heap.Pop(t)
			continue
		}
		if score += s.misfit(m, j, c.st); score > c.score {
			c.score = score
			heap.Fix(t, 0)
			continue
		}
		return c
	}
	return nil
}

// misfit makes machines with GPUs the last choice for work that uses none.
func (s *Sched) misfit(m *model.Model, j *model.Job, st *seat) float64 {
	if j.Spec.GPUs > 0 || st.total.GPUs == 0 {
		return 0
	}
	if j.Kind == model.Service && s.spoils(j, st, true) && !s.spoils(j, st, false) {
		return 4 // better one that no gang fits any more
	}
	if j.Kind == model.Service && st.mc.Has(j.Image) && !s.gpuWork.Fits(st.total) && s.fetchIsLate(m, j, st.mc) {
		// No work needs its GPUs, and elsewhere the service would be late. Low work
		// used to make room here, for which the service then did not come.
		return 0.5
	}
	return 2
}

// fetchIsLate tells whether a job's tasks start later than they are to if a machine has
// to fetch their image.
func (s *Sched) fetchIsLate(m *model.Model, j *model.Job, mc *model.Machine) bool {
	within, ok := s.startWithin(j)
	rate := m.TypeOf(mc).FetchGBPerS
	return ok && rate > 0 && j.Spec.ImageGB/rate > within
}

// spoils tells whether a gang that uses GPUs would not fit beside the services
// of a machine, with the job's task or without it.
func (s *Sched) spoils(j *model.Job, st *seat, with bool) bool {
	firm := Firm(st.mc)
	if with {
		firm = firm.Plus(Need(j))
	}
	return s.gpuWork.Spoiled(st.total, firm)
}

// hasRoom tells whether a task may take room on a machine now: free, not claimed
// for more urgent work, and not what services are to find free.
func (s *Sched) hasRoom(m *model.Model, j *model.Job, st *seat, need Room) bool {
	mc, total := st.mc, st.total
	free := total.Minus(used(mc))
	if !free.Holds(need) {
		return false
	}
	if st.claim != (Room{}) && !free.Plus(st.leaving()).Minus(st.claim).Holds(need) {
		return false
	}
	if j.Priority < model.Production && st.kept != (Room{}) && !free.Minus(st.kept).Holds(need) {
		return false
	}
	if total.GPUs == 0 {
		return mc.Spot || j.Priority >= model.Production || s.free-need.CPUs >= s.Headroom
	}
	if j.Spec.GPUs == 0 && j.Priority == model.Low && !s.LowMay[mc] {
		return false
	}
	if k := s.ForServices[mc]; k > 0 && j.Kind != model.Service && j.Spec.GPUs == 0 {
		// Where services are expected, other work leaves some of their room free.
		if total.CPUs-mc.CPUs-need.CPUs < float64(min(k, 3))*s.service {
			return false
		}
	}
	return s.serviceMay(j, st)
}

// serviceMay tells whether a service may go to a machine. A service stays for
// long: it would take what a gang needs, and keep a dear machine from being
// returned. It goes to a machine that gangs use only as far as the fleet found
// no other room for services.
func (s *Sched) serviceMay(j *model.Job, st *seat) bool {
	return j.Kind != model.Service || j.Spec.GPUs > 0 || st.total.GPUs == 0 || s.ForServices[st.mc] > 0 || !s.gpuWork.Fits(st.total)
}

// leaving is the room that tasks told to stop will leave.
func (st *seat) leaving() Room {
	if !st.left {
		st.left, st.leave = true, Room{}
		for _, run := range st.mc.Runs {
			if !run.Wanted() {
				st.leave = st.leave.Plus(Need(run.Job))
			}
		}
	}
	return st.leave
}

// Firm is the room that services without GPUs have taken of a machine.
func Firm(mc *model.Machine) Room { return Room{mc.Firm.CPUs, mc.Firm.GPUs, mc.Firm.Mem} }

// gang places all tasks of a gang or none. A gang that lost a member is stopped
// as a whole first; its next attempt begins when nothing of the old one is left.
func (s *Sched) gang(m *model.Model, t *turn, now model.Time, do Doer) {
	j := t.j
	if j.Live > 0 {
		j.Why = whyEnding
		for i := range j.Tasks {
			if r := j.Tasks[i].Run; r != nil && !r.Stop {
				do.Stop(r, false, "the gang lost a member")
			}
		}
		return
	}
	n := j.Waiting()
	var leave teamLeave
	allowed := s.teamAllows(j, n)
	if !allowed {
		j.Why = whyTeam
		could := false
		if leave, could = s.teamLeaves(m, j, n); !could {
			return
		}
	} else {
		j.Why = whyGang
	}
	attempt := uint32(0)
	for i := range j.Tasks {
		attempt = max(attempt, j.Tasks[i].Attempt)
	}
	k := kindOf(j)
	if j.FailedOn != nil || !covered(s.full, k, t.need) { // else not even one member finds room
		if plan := s.planGang(m, t, n); plan != nil {
			if !allowed { // the machines are there: now its team's less urgent work leaves
				for _, st := range plan {
					st.claim = st.claim.Plus(t.need)
				}
				s.makeTeamRoom(j, n, leave, now, do)
				return
			}
			for _, st := range plan {
				s.put(m, j, st, j.NextWaiting(), attempt+1, s.score(locality(m, j, st.mc), load(m, st.mc)), do)
			}
			return
		}
		if len(t.cands) == 0 && !t.limited && j.FailedOn == nil {
			s.full = append(s.full, shape{k, t.need})
		}
	}
	found := false
	if n == 1 {
		found = s.makeRoom(m, t, now, do)
	} else {
		found = s.makeGangRoom(m, t, n, now, do)
	}
	if found && !allowed {
		s.makeTeamRoom(j, n, leave, now, do)
	}
}

// planGang finds a machine for every member, or nil. Each zone is tried by
// itself when the job must stay in one.
func (s *Sched) planGang(m *model.Model, t *turn, n int) []*seat {
	s.build(m, t)
	if !t.j.Spec.SameZone {
		plan, _ := s.planIn(m, t, n, -1)
		return plan
	}
	var best []*seat
	var bestSum float64
	tried := map[int32]bool{}
	for i := range t.cands {
		z := t.cands[i].st.mc.Zone
		if tried[z] {
			continue
		}
		tried[z] = true
		if plan, sum := s.planIn(m, t, n, z); plan != nil && (best == nil || sum < bestSum) {
			best, bestSum = plan, sum
		}
	}
	return best
}

// planIn finds room for n members in a zone, or in all (-1), and the sum of the
// scores.
func (s *Sched) planIn(m *model.Model, t *turn, n int, zone int32) (plan []*seat, sum float64) {
	need := t.need
	limit := len(t.j.Tasks)
	if t.j.Spec.Spread {
		limit = (len(t.j.Tasks) + 1) / 2
	}
	perZone := map[int32]int{}
	order := slices.Clone(t.cands)
	slices.SortFunc(order, func(a, b cand) int {
		if c := cmp.Compare(a.score, b.score); c != 0 {
			return c
		}
		return cmp.Compare(a.at, b.at)
	})
	// A member's place does not change the score of the next one: the gang is
	// placed in one round, as the round began.
	for i := range order {
		c := &order[i]
		if zone >= 0 && c.st.mc.Zone != zone {
			continue
		}
		for k := 1.0; len(plan) < n && perZone[c.st.mc.Zone] < limit; k++ {
			s.Looked++
			if !s.hasRoom(m, t.j, c.st, Room{need.CPUs * k, need.GPUs * k, need.Mem * k}) {
				break
			}
			perZone[c.st.mc.Zone]++
			plan = append(plan, c.st)
			sum += c.score
		}
		if len(plan) == n {
			return plan, sum
		}
	}
	return nil, 0
}

// mayStop tells whether a run may be stopped for a job: it is of lower priority,
// or the job is within its team's guarantee and the run's team is beyond its own.
func mayStop(r *model.Run, j *model.Job) bool {
	if r.Job == j || !r.Wanted() || r.Job.Kind == model.Service || tier(r.Job) >= tier(j) {
		// What is served before the job would be placed again before it, and
		// stopped again, round after round.
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

// option is a machine on which a task would find room once some runs are stopped.
type option struct {
	st   *seat
	cost float64
	runs []*model.Run
	at   int
}

type options []option

func (o options) Len() int      { return len(o) }
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
	if j.Priority == model.Low && !j.Guaranteed || j.Faulty {
		return false
	}
	k := kindOf(j)
	k.priority, k.guaranteed, k.team = j.Priority, j.Guaranteed, j.Team
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
			opts = append(opts, option{st, cost, runs, i})
		}
	}
	patient := now-j.Began < s.patience(j)
	left := s.claimBest(j, t.need, opts, model.Production, !patient, "room for "+j.Spec.ID, now, do)
	if left > 0 && !limited && !j.Spec.Spread && j.FailedOn == nil {
		s.stuck = append(s.stuck, shape{k, t.need})
	}
	return left == 0
}

// claimBest claims room for the waiting tasks of a job where it costs least, and
// stops what is in the way, up to a priority, if it may. It returns how many found none.
func (s *Sched) claimBest(j *model.Job, need Room, opts options, most model.Priority, stop bool, why string, now model.Time, do Doer) int {
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
			heap.Fix(&opts, 0)
		} else {
			heap.Pop(&opts)
		}
	}
	return left
}

// makeGangRoom keeps room for all members of a gang, in one zone if it must be:
// where stopping others does the least harm. If there is not enough anywhere,
// the first gang in the queue keeps what it finds in the best zone: without
// that, gangs of several machines would wait for as long as smaller ones come. It
// tells whether there will be room for all.
func (s *Sched) makeGangRoom(m *model.Model, t *turn, n int, now model.Time, do Doer) bool {
	j := t.j
	if j.Spec.Spread || j.Faulty {
		return false
	}
	zones := map[int32][]option{} // room for one more member each; runs are those of the earlier ones there too
	could := map[int32]int{}      // members that find room when other gangs end
	for i := range s.seats {
		st := &s.seats[i]
		if !s.suits(m, j, st, t.need) || !s.serviceMay(j, st) {
			continue
		}
		zone := st.mc.Zone
		if !j.Spec.SameZone {
			zone = -1
		}
		for r := st.total.Minus(Firm(st.mc)); could[zone] < n && r.Holds(t.need); r = r.Minus(t.need) {
			could[zone]++
		}
		before := 0.0
		for k := 1.0; int(k) <= n; k++ {
			need := Room{t.need.CPUs * k, t.need.GPUs * k, t.need.Mem * k}
			if !st.total.Minus(Firm(st.mc)).Minus(st.claim).Holds(need) {
				break
			}
			runs, cost, ok := s.victims(j, st, need, model.Production, now)
			if !ok {
				break
			}
			zones[zone] = append(zones[zone], option{st, cost - before, runs, i})
			before = cost
		}
	}
	var best []option
	bestCost := 0.0
	for zone, list := range zones {
		if could[zone] < n {
			continue
		}
		sort.Stable(options(list))
		list = list[:min(n, len(list))]
		cost := 0.0
		for _, o := range list {
			cost += o.cost
		}
		if len(list) > len(best) || len(list) == len(best) && (cost < bestCost || cost == bestCost && list[0].at < best[0].at) {
			best, bestCost = list, cost
		}
	}
	whole := len(best) == n
	if !whole {
		if s.held {
			return false
		}
		s.held = true
	}
	patient := now-j.Began < s.patience(j)
	for _, o := range best {
		o.st.claim = o.st.claim.Plus(t.need)
		if whole && !patient { // nothing is stopped for a part of a gang
			for _, r := range o.runs {
				do.Stop(r, false, "room for "+j.Spec.ID)
			}
			o.st.left = false
		}
	}
	return whole
}

type victim struct {
	r    *model.Run
	harm float64
}

// victims finds runs of at most a priority whose end makes room on a machine, least
// harm first.
func (s *Sched) victims(j *model.Job, st *seat, need Room, most model.Priority, now model.Time) ([]*model.Run, float64, bool) {
	room := st.total.Minus(used(st.mc)).Plus(st.leaving()).Minus(st.claim)
	if room.Holds(need) {
		return nil, 0, true
	}
	pool := s.pool[:0]
	could := room
	for _, r := range st.mc.Runs {
		if r.Job.Priority <= most && mayStop(r, j) {
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

// teamAllows tells whether n more tasks keep the team's limit, and what of it is
// kept for the team's more urgent work.
func (s *Sched) teamAllows(j *model.Job, n int) bool {
	t := j.Team
	if t == nil || !j.TeamAllows(n) {
		return false
	}
	o, c := s.owed[t.Index], j.Spec
	return (t.CPUsMax == 0 || o.CPUs == 0 || t.UsedCPUs+o.CPUs+c.CPUs*float64(n) <= t.CPUsMax+1e-6) &&
		(t.GPUsMax == 0 || o.GPUs == 0 || t.UsedGPUs+o.GPUs+c.GPUs*float64(n) <= t.GPUsMax+1e-6)
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
	return r.Job.Priority < j.Priority && r.Job.Kind != model.Service && tier(r.Job) < tier(j)
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
	if now-j.Began < s.patience(j) {
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

// mostMoves bounds how many runs a round tries to move off machines that are to go.
const mostMoves = 32

// evacuate moves replicas off machines that are to go, one of a job at a time
// and only where there is room for them. A machine whose return is under way is
// left alone: the cloud's answer is the end of what it holds.
func (s *Sched) evacuate(m *model.Model, now model.Time, do Doer) {
	tries := 0
	for _, mc := range m.Order {
		if !mc.Leaves() || !mc.Reported || mc.Releasing || mc.Suspect {
			continue
		}
		for _, r := range mc.Runs {
			j := r.Job
			if j.Kind != model.Service && j.Spec.CheckpointS == 0 || !r.Wanted() || j.Waiting() > 0 || moving(j) {
				continue // one at a time
			}
			if tries++; tries > mostMoves {
				return
			}
			need := Need(j)
			for i := range s.seats {
				st := &s.seats[i]
				if s.suits(m, j, st, need) && s.hasRoom(m, j, st, need) && (st.mc.Zone == mc.Zone || j.ZoneAllows(st.mc.Zone)) {
					st.claim = st.claim.Plus(need)
					do.Stop(r, false, "its machine is to go")
					break
				}
			}
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
