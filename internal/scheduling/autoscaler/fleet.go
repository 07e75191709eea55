// Package fleet decides which machines to rent and which to return. It is pure:
// it reads the model, keeps what it has learnt of demand and capacity, and
// returns what to ask of the cloud.
//
// The size follows demand: waiting work is packed onto the room there is, with
// machines that are booting counted in full; what is left over asks for new
// machines, the cheapest per task first. Services that must start sooner than a
// machine boots get headroom for the arrivals of that time, and gangs that can't
// wait for a boot find machines kept for the usual number of them.
package autoscaler

import (
	"fmt"
	"math"
	"sort"

	"fieldhill/internal/config"
	"fieldhill/internal/model"
	"fieldhill/internal/scheduling/scheduler"
)

// Offer is something that can be rented.
type Offer struct {
	Type, Zone int32
	Spot       bool
}

// Hire is a wish.
type Hire struct {
	Offer
	Count int
	Why   string // what it is for, that of the most urgent
}

// Plan is what to ask of the cloud, and the headroom that low work must leave.
type Plan struct {
	Hires   []Hire
	Returns []*model.Machine
	// Drain are machines that only low work uses and that cost more than it is
	// worth: they get nothing new and are returned when empty.
	Drain    map[*model.Machine]bool
	Headroom float64
	// ForServices are the machines with GPUs that services need because there is
	// no other room for them; the rest is kept whole for work that uses GPUs.
	ForServices map[*model.Machine]int // how many tasks each
	// LowMay are the machines with GPUs that low work may use: it is worth them,
	// or they are kept anyway. Elsewhere it would hold a dear machine that its
	// last gang has left, for as long as its longest task runs.
	LowMay map[*model.Machine]bool
	// Vacate is a dear machine that only services hold, whose replicas all have
	// room elsewhere: they are moved, one at a time, and it is returned.
	Vacate *model.Machine
}

type refusal struct {
	until model.Time
	pause model.Time
}

// class is what was learnt of a class of jobs.
type class struct {
	kind    model.Kind
	need    scheduler.Room
	tasks   float64 // tasks of a job, averaged
	busy    float64 // seconds that a task keeps its place, averaged
	types   []int32
	zone    int32
	spot    bool
	spread  bool
	imageGB float64
	burst   float64 // largest job
	window  float64
}

// Fleet keeps what lasts.
type Fleet struct {
	Objectives []config.Objective
	Pending    map[Offer]int // asked for, without an answer yet
	refused    map[Offer]refusal
	classes    map[int32]*class
	gpuWork    scheduler.GPUWork // the last need seen of each class
	seen       map[model.JobID]bool
	vacating   *model.Machine
	over       []over
	counts     map[Offer]int  // machines of each offer
	apart      map[int32]bool // zones with suspect machines: what is rented there can't be reached
	boots      map[place]boots
	late       map[place]int // machines that should be up by now
	began      model.Time
	started    bool
	lastDecay  model.Time
}

// New makes a fleet.
func New(obj []config.Objective) *Fleet {
	return &Fleet{Objectives: obj, refused: map[Offer]refusal{}, classes: map[int32]*class{}, gpuWork: scheduler.GPUWork{}, apart: map[int32]bool{}, counts: map[Offer]int{}, boots: map[place]boots{}, late: map[place]int{}, seen: map[model.JobID]bool{}}
}

// Refused notes that the cloud had nothing of an offer; it is asked again after
// pauses that grow.
func (f *Fleet) Refused(o Offer, now model.Time) {
	r := f.refused[o]
	r.pause = min(max(2*r.pause, 10e9), 80e9)
	r.until = now + r.pause
	f.refused[o] = r
}

// RefusedTo tells how many offers that suit a job the cloud has refused lately, and in how long
// the first of them is asked for again.
func (f *Fleet) RefusedTo(m *model.Model, j *model.Job, now model.Time) (n int, in model.Time) {
	for o, r := range f.refused {
		t := &m.Types[o.Type]
		if r.until <= now || !j.Allowed(o.Type, o.Zone, o.Spot) || !scheduler.Whole(t).Holds(scheduler.Need(j)) {
			continue
		}
		if n++; n == 1 || r.until-now < in {
			in = r.until - now
		}
	}
	return n, in
}

// Has notes that the cloud has some of an offer: it filled a request, or took a machine back. When
// machines died where it had no more, their replacements waited out a pause of up to 80 s that
// had begun before.
func (f *Fleet) Has(o Offer) { delete(f.refused, o) }

// within is the tightest time that the objectives give a class to start.
func (f *Fleet) within(m *model.Model, c int32) (float64, bool) {
	return config.StartWithin(f.Objectives, m.Classes.Name(c))
}

// finishIn is how long a job of a class may take in all by the objectives.
func (f *Fleet) finishIn(m *model.Model, j *model.Job) float64 {
	best := math.Inf(1)
	for _, o := range f.Objectives {
		if o.Class != j.Spec.Class {
			continue
		}
		switch {
		case o.Kind == "finished":
			best = min(best, o.WithinS)
		case o.Kind == "deadline" && j.Spec.DeadlineS != nil:
			best = min(best, *j.Spec.DeadlineS)
		}
	}
	if math.IsInf(best, 1) {
		if j.Spec.DeadlineS != nil {
			return *j.Spec.DeadlineS
		}
		return 300
	}
	return best
}

// worth is how many times the lowest price a task of an array may cost: the
// fewer may be late by the objectives, the more. Where many may be late, dear
// machines are not rented for them.
func (f *Fleet) worth(j *model.Job) float64 {
	share := 0.75
	for _, o := range f.Objectives {
		if o.Class == j.Spec.Class && (o.Kind == "finished" || o.Kind == "deadline") {
			share = max(share, o.Share)
		}
	}
	return 1 / max(0.01, 1-share)
}

// yieldS is how long it takes to stop low work and learn that its room is free.
const yieldS = 4.0

const memory = 240.0 // seconds over which arrivals are averaged

// learn watches the jobs that come.
func (f *Fleet) learn(m *model.Model, jobs []*model.Job, now model.Time) {
	if !f.started {
		f.started, f.began, f.lastDecay = true, now, now
		// What is there at the start says nothing of how often jobs come.
		for _, j := range jobs {
			f.seen[j.ID] = true
			f.note(m, j, false)
		}
		return
	}
	decay := math.Exp(-(now - f.lastDecay).Seconds() / memory)
	f.lastDecay = now
	for _, c := range f.classes {
		c.window *= decay
	}
	for _, j := range jobs {
		if !f.seen[j.ID] {
			f.seen[j.ID] = true
			f.note(m, j, true)
		}
	}
	if len(f.seen) > 4*len(m.Jobs)+1000 {
		for id := range f.seen {
			if m.Jobs[id] == nil {
				delete(f.seen, id)
			}
		}
	}
}

func (f *Fleet) note(m *model.Model, j *model.Job, arrived bool) {
	c := f.classes[j.Class]
	if c == nil {
		c = &class{tasks: float64(len(j.Tasks)), busy: m.Takes(j)}
		f.classes[j.Class] = c
	}
	c.kind, c.need, c.types, c.zone, c.spot = j.Kind, scheduler.Need(j), j.Types, j.Zone, j.Spec.Spot
	c.spread = j.Spec.Spread
	if delete(f.gpuWork, j.Class); c.need.GPUs > 0 {
		f.gpuWork[j.Class] = c.need
	}
	c.imageGB = max(j.Spec.ImageGB, 0.8*c.imageGB)
	c.tasks += (float64(len(j.Tasks)) - c.tasks) * 0.1
	c.busy += (m.Takes(j) - c.busy) * 0.1
	c.burst = max(c.burst*0.98, float64(len(j.Tasks)))
	if arrived {
		c.window += float64(len(j.Tasks))
	}
}

// rate is how many tasks of a class come in a second.
func (f *Fleet) rate(c *class, now model.Time) float64 {
	t := (now - f.began).Seconds()
	span := memory * (1 - math.Exp(-t/memory))
	return c.window / max(span, 30)
}

// slot is room on a machine that exists, boots or is wished for.
type slot struct {
	mc    *model.Machine
	offer Offer
	free  scheduler.Room
	total scheduler.Room
	used  bool
	wish  bool
	why   string // of a wish
	slow  bool   // for services only
}

type item struct {
	need    scheduler.Room
	types   []int32
	zone    int32
	spot    bool
	count   int
	service bool
	rank    model.Priority
	standby bool          // room to keep free, not work
	why     string        // for the log
	limit   float64       // how many times the cheapest price it is worth; 0: any
	perZone int           // how many may go to one zone; 0: any number
	inZone  map[int32]int // how many are there already
}

// mayUse tells whether a task may go to a slot's machine, room apart.
func (it *item) mayUse(s *slot) bool { return (!s.slow || it.service) && it.allows(s.offer) }

func (it *item) allows(o Offer) bool {
	if it.perZone > 0 && it.inZone[o.Zone] >= it.perZone {
		return false
	}
	if o.Spot && !it.spot || it.zone >= 0 && it.zone != o.Zone {
		return false
	}
	if it.types == nil {
		return true
	}
	for _, t := range it.types {
		if t == o.Type {
			return true
		}
	}
	return false
}

func (it *item) put(s *slot) {
	s.free = s.free.Minus(it.need)
	s.used = true
	if it.inZone != nil {
		it.inZone[s.offer.Zone]++
	}
}

// spread makes an item keep its job's spread over zones: without it a second
// replica would count on room in a zone where it may not go.
func (it *item) spread(j *model.Job) {
	if !j.Spec.Spread || len(j.Tasks) < 2 {
		return
	}
	it.perZone, it.inZone = (len(j.Tasks)+1)/2, map[int32]int{}
	for i := range j.Tasks {
		if r := j.Tasks[i].Run; r != nil {
			it.inZone[r.Machine.Zone]++
		}
	}
}

// Plan looks at demand and machines.
func (f *Fleet) Plan(m *model.Model, now model.Time) Plan {
	jobs := m.JobsInOrder()
	scheduler.Guarantees(m, jobs, now, f.Objectives)
	f.learn(m, jobs, now)
	f.over = f.over[:0]
	clear(f.apart)
	for _, mc := range m.Order {
		if mc.Suspect {
			f.apart[mc.Zone] = true
		}
	}
	f.count(m)
	slots := f.slots(m, now)
	items, headroom := f.items(m, jobs, now)
	p := Plan{Headroom: headroom, ForServices: map[*model.Machine]int{}, Drain: map[*model.Machine]bool{}}
	var worth []func(Offer) bool
	kept := map[*slot]bool{}
	for i := range items {
		if items[i].limit > 0 && !items[i].standby && worth == nil {
			p.Vacate = f.vacate(m, slots, p.ForServices)
			for _, s := range slots {
				kept[s] = s.used
			}
		}
		f.pack(m, &items[i], &slots, now, p.ForServices)
		if items[i].limit > 0 && !items[i].standby {
			worth = append(worth, f.affordable(m, &items[i]))
		}
	}
	f.overGangs(slots, p.ForServices)
	if worth == nil {
		p.Vacate = f.vacate(m, slots, p.ForServices)
	}
	f.vacating = p.Vacate
	p.LowMay = map[*model.Machine]bool{}
	for _, s := range slots {
		if s.mc == nil || s.total.GPUs == 0 {
			continue
		}
		gang := false
		for _, r := range s.mc.Runs {
			gang = gang || r.Job.Spec.GPUs > 0
		}
		p.LowMay[s.mc] = !f.gpuWork.Fits(s.total) || kept[s] && (!gang || scheduler.Firm(s.mc).CPUs > 0)
		for _, w := range worth {
			p.LowMay[s.mc] = p.LowMay[s.mc] || w(s.offer)
		}
	}
	count, first := map[Offer]int{}, map[Offer]int{}
	for i, s := range slots {
		if s.wish {
			if count[s.offer]++; count[s.offer] == 1 {
				first[s.offer] = i
			}
		}
	}
	for o, n := range count {
		p.Hires = append(p.Hires, Hire{o, n, slots[first[o]].why})
	}
	// In the order in which the demand asked: the most urgent first.
	sort.Slice(p.Hires, func(i, k int) bool { return first[p.Hires[i].Offer] < first[p.Hires[k].Offer] })
	for _, s := range slots {
		if s.mc != nil && !s.used && s.mc.Reported && len(s.mc.Runs) > 0 {
			p.Drain[s.mc] = true
		}
		if s.mc != nil && !s.used && f.returnable(m, s.mc, now) {
			p.Returns = append(p.Returns, s.mc)
		}
	}
	return p
}

// returnable tells whether an unneeded machine has been idle for long enough: it
// takes a boot to get one back.
func (f *Fleet) returnable(m *model.Model, mc *model.Machine, now model.Time) bool {
	if len(mc.Runs) > 0 || mc.Releasing {
		return false
	}
	t := m.TypeOf(mc)
	keep := config.Seconds(max(15, t.BootS*0.6))
	return mc.Reported && now-max(mc.IdleSince, mc.KnownSince) > keep
}

func (f *Fleet) slots(m *model.Model, now model.Time) []*slot {
	var out []*slot
	for _, mc := range m.Order {
		t := m.TypeOf(mc)
		if !t.Known || mc.Bad || mc.Releasing || mc.Notice != 0 || mc.Suspect || mc.DeafSince != 0 || mc.Overdue {
			continue
		}
		if !mc.Reported && f.apart[mc.Zone] {
			continue // it boots for the end of the cut
		}
		total := scheduler.Total(m, mc)
		s := &slot{mc: mc, offer: Offer{mc.Type, mc.Zone, mc.Spot}, total: total, free: total, slow: mc.ServicesOnly(now)}
		for _, r := range mc.Runs {
			// Low work gives way, so its room is not lost to what is more
			// urgent; it is packed again behind it.
			if !yields(r.Job) {
				s.used = true
				s.free = s.free.Minus(scheduler.Need(r.Job))
			}
		}
		out = append(out, s)
	}
	for o, n := range f.Pending {
		if f.apart[o.Zone] {
			continue
		}
		t := &m.Types[o.Type]
		total := scheduler.Whole(t)
		for range n {
			out = append(out, &slot{offer: o, total: total, free: total})
		}
	}
	// Fuller machines first, so that empty ones stay unused and can go.
	sort.SliceStable(out, func(i, k int) bool { return out[i].used && !out[k].used })
	return out
}

func yields(j *model.Job) bool {
	return j.Kind == model.Array && j.Priority == model.Low
}

// items lists what wants room, most urgent first.
func (f *Fleet) items(m *model.Model, jobs []*model.Job, now model.Time) ([]item, float64) {
	var urgent, standby, low []item
	// What is on suspect machines will want room elsewhere when their leases have
	// run out; machines for it can boot meanwhile. And low work could give way.
	lapsing := map[*model.Job]int{}
	yielding := make([]scheduler.Room, len(m.Teams))
	for _, mc := range m.Order {
		for _, r := range mc.Runs {
			if mc.Suspect && r.Job.Kind != model.Array && !r.Job.Cancelled {
				lapsing[r.Job]++
			}
			if t := r.Job.Team; t != nil && yields(r.Job) {
				yielding[t.Index] = yielding[t.Index].Plus(scheduler.Need(r.Job))
			}
		}
	}
	for _, j := range jobs {
		n := j.Waiting() + lapsing[j]
		if n == 0 && !yields(j) || j.Team == nil || j.Cancelled || j.Faulty {
			continue // what fails everywhere is worth no machine
		}
		n = min(n, teamRoom(j, yielding)+lapsing[j])
		it := item{need: scheduler.Need(j), types: j.Types, zone: j.Zone, spot: j.Spec.Spot, count: n, service: j.Kind == model.Service, rank: j.Priority, why: "for " + j.Spec.ID}
		it.spread(j)
		if j.Kind != model.Array {
			urgent = append(urgent, it)
			continue
		}
		it.count = min(n, f.parallel(m, j, now))
		it.limit = f.worth(j)
		if !yields(j) {
			urgent = append(urgent, it)
		} else {
			it.count += j.Live
			low = append(low, it)
		}
	}
	headroom := 0.0
	ids := make([]int32, 0, len(f.classes))
	for id := range f.classes {
		ids = append(ids, id)
	}
	sort.Slice(ids, func(i, k int) bool { return ids[i] < ids[k] })
	for _, id := range ids {
		c := f.classes[id]
		within, ok := f.within(m, id)
		if !ok {
			continue
		}
		boot, fetch := f.coldStart(m, c)
		if boot+fetch < within*0.5 {
			continue // a machine can be had in time
		}
		r := f.rate(c, now)
		var n float64
		switch c.kind {
		case model.Service:
			mean := r * (boot*1.5 + 10)
			n = mean + 2*math.Sqrt(mean*max(1, c.tasks)) + c.burst
			// Low work gives way within seconds; only what must start sooner than
			// that needs room that is free already.
			if within-fetch < yieldS {
				headroom += (r*2*yieldS + 1.5*c.burst) * c.need.CPUs
			}
		case model.Gang:
			// The usual number at once, by Little's law, less those that run.
			usual := r * (c.busy*1.2 + fetch)
			n = math.Round(usual+0.7*math.Sqrt(usual)) - float64(liveOf(jobs, id))
			n = min(n, math.Ceil(r*boot))
		default:
			continue
		}
		if k := int(math.Ceil(n)); k > 0 {
			it := item{need: c.need, types: c.types, zone: c.zone, spot: c.spot && c.kind != model.Service, count: k, service: c.kind == model.Service, standby: true, limit: 6, why: "for expected tasks of " + m.Classes.Name(id)}
			if c.spread && k > 1 {
				it.perZone, it.inZone = k/2+1, map[int32]int{}
			}
			standby = append(standby, it)
		}
	}
	sort.SliceStable(urgent, func(i, k int) bool { return urgent[i].rank > urgent[k].rank })
	return append(append(urgent, standby...), low...), headroom
}

func liveOf(jobs []*model.Job, class int32) int {
	n := 0
	for _, j := range jobs {
		if j.Class == class && !j.Cancelled {
			n += len(j.Tasks) - j.Done
		}
	}
	return n
}

// coldStart is how long it takes from renting the best machine for a class to
// having an image there.
func (f *Fleet) coldStart(m *model.Model, c *class) (boot, fetch float64) {
	boot = math.Inf(1)
	for i := range m.Types {
		t := &m.Types[i]
		it := item{types: c.types, zone: -1}
		if !t.Known || !scheduler.Whole(t).Holds(c.need) || !it.allows(Offer{Type: int32(i)}) {
			continue
		}
		for _, z := range t.ZoneIDs {
			if s := f.bootS(m, int32(i), z); s < boot {
				boot = s
				fetch = c.imageGB / max(t.FetchGBPerS, 0.01)
			}
		}
	}
	if math.IsInf(boot, 1) {
		return 0, 0
	}
	return boot, fetch
}

// teamRoom is how many more tasks of a job its team's limit allows. Low work of the
// team is not in the way of what is more urgent: it is stopped once there are
// machines, so they must be rented although the limit is full of it.
func teamRoom(j *model.Job, yielding []scheduler.Room) int {
	t, n := j.Team, math.Inf(1)
	var low scheduler.Room
	if j.Priority > model.Low {
		low = yielding[t.Index]
	}
	if t.CPUsMax > 0 && j.Spec.CPUs > 0 {
		n = min(n, (t.CPUsMax-t.UsedCPUs+low.CPUs)/j.Spec.CPUs+1e-6)
	}
	if t.GPUsMax > 0 && j.Spec.GPUs > 0 {
		n = min(n, (t.GPUsMax-t.UsedGPUs+low.GPUs)/j.Spec.GPUs+1e-6)
	}
	if n > 1e6 {
		return 1e6
	}
	return max(0, int(n))
}

// parallel is how many tasks of an array must run at once for it to be done
// within half of what its objective leaves.
func (f *Fleet) parallel(m *model.Model, j *model.Job, now model.Time) int {
	est := max(5, m.Takes(j)) + 8
	left := f.finishIn(m, j)*0.6 - (now - j.Began).Seconds()
	rounds := math.Floor(left / est)
	if rounds < 1 {
		return j.Waiting()
	}
	return max(0, int(math.Ceil(float64(j.Waiting()+j.Live)/rounds))-j.Live)
}

// pack puts an item's tasks onto slots, wishing for machines where room ends.
func (f *Fleet) pack(m *model.Model, it *item, slots *[]*slot, now model.Time, forServices map[*model.Machine]int) {
	left := it.count
	into := func(s *slot, may func(*slot) bool) {
		for left > 0 && may(s) && s.free.Holds(it.need) && it.mayUse(s) {
			it.put(s)
			left--
			if it.service && !it.standby && s.mc != nil && s.total.GPUs > 0 {
				forServices[s.mc]++
			}
		}
	}
	fill := func(may func(*slot) bool) {
		for _, s := range *slots {
			if left <= 0 {
				return
			}
			into(s, may)
		}
	}
	all := func(*slot) bool { return true }
	plain := it.need.GPUs == 0
	if it.limit > 0 {
		// First what is there anyway, then what it is worth paying for.
		fill(func(s *slot) bool { return s.used && (!plain || s.total.GPUs == 0) })
		worth := f.affordable(m, it)
		fill(func(s *slot) bool { return (!plain || s.total.GPUs == 0 || !it.standby) && worth(s.offer) })
	} else {
		fill(func(s *slot) bool { return !plain || s.total.GPUs == 0 })
	}
	if plain {
		// Work without GPUs is not to keep machines with GPUs that are idle.
		if it.service {
			fill(func(s *slot) bool { return s.total.GPUs > 0 && !f.gpuWork.Fits(s.total) && s.used })
			f.fullest(*slots, func(s *slot) {
				was := left
				if into(s, f.spoiled); it.standby && left < was {
					forServices[s.mc] += was - left // it is theirs already
				}
			})
		} else {
			fill(func(s *slot) bool { return s.used })
		}
	}
	for left > 0 {
		o, ok := f.cheapest(m, it, left, now)
		if plain && it.service && !it.standby && (!ok || m.Types[o.Type].GPUs > 0) {
			// Nothing without GPUs can be rented: take one with GPUs that is there.
			before := left
			f.fullest(*slots, func(s *slot) { into(s, all) })
			fill(func(s *slot) bool { return s.mc != nil && s.mc.Reported })
			fill(all)
			if left < before {
				continue
			}
		}
		if !ok && plain && it.service && !it.standby {
			f.over = append(f.over, over{it, left})
		}
		if !ok || plain && it.standby && m.Types[o.Type].GPUs > 0 {
			// Machines with GPUs are not rented to stand idle for work without.
			return
		}
		t := &m.Types[o.Type]
		total := scheduler.Whole(t)
		s := &slot{offer: o, total: total, free: total, used: true, wish: true, why: it.why}
		for left > 0 && s.free.Holds(it.need) && it.allows(o) {
			it.put(s)
			left--
		}
		*slots = append(*slots, s)
		if wishes(*slots) >= 60 {
			return
		}
	}
}

// over is services for which there is no room and nothing to be rented.
type over struct {
	it   *item
	left int
}

// overGangs lets services onto machines of gangs that are less urgent, when there
// is no other room and nothing to be rented: what is behind them in the queue has to
// leave. A gang leaves only for services that fill half of its room: for a few, a place
// is free elsewhere before long, and the gang would lose more than they gain.
func (f *Fleet) overGangs(slots []*slot, forServices map[*model.Machine]int) {
	for _, s := range slots {
		if len(f.over) == 0 {
			return
		}
		if s.mc == nil || !s.mc.Reported || s.total.GPUs == 0 {
			continue
		}
		leaves := s.free
		for _, r := range s.mc.Runs {
			if r.Job.Spec.GPUs > 0 && r.Job.Kind == model.Gang && r.Job.Priority < f.over[0].it.rank {
				leaves = leaves.Plus(scheduler.Need(r.Job))
			}
		}
		if leaves == s.free {
			continue
		}
		var take []int // how many of each
		room, allowed := leaves, 0.0
		for _, o := range f.over {
			n := 0
			for n < o.left && room.Holds(o.it.need) && o.it.mayUse(s) {
				room = room.Minus(o.it.need)
				n++
			}
			take = append(take, n)
			allowed += float64(n) * o.it.need.CPUs
		}
		if 2*allowed < leaves.CPUs {
			continue
		}
		rest := f.over[:0]
		for k, o := range f.over {
			for range take[k] {
				if o.it.mayUse(s) {
					o.it.put(s)
					forServices[s.mc]++
					o.left--
				}
			}
			if o.left > 0 {
				rest = append(rest, o)
			}
		}
		f.over = rest
	}
}

// fullest calls a function for the machines with GPUs that hold services, the
// one with most of them first: the fewer machines they keep, the better.
func (f *Fleet) fullest(slots []*slot, each func(*slot)) {
	var some []*slot
	for _, s := range slots {
		if s.mc != nil && s.mc != f.vacating && s.total.GPUs > 0 && scheduler.Firm(s.mc).CPUs > 0 {
			some = append(some, s)
		}
	}
	sort.SliceStable(some, func(i, k int) bool { return scheduler.Firm(some[i].mc).CPUs > scheduler.Firm(some[k].mc).CPUs })
	for _, s := range some {
		each(s)
	}
}

// vacate looks for the machine with GPUs that the fewest services hold, and for
// room for all of them elsewhere, beside what waits and what is kept free. The
// places on other such machines are allowed to services.
func (f *Fleet) vacate(m *model.Model, slots []*slot, forServices map[*model.Machine]int) *model.Machine {
	var v *slot
	for _, s := range slots {
		if s.mc == nil || !s.mc.Reported || s.total.GPUs == 0 || !f.gpuWork.Fits(s.total) || forServices[s.mc] > 0 {
			continue
		}
		firm := scheduler.Firm(s.mc)
		if firm.CPUs == 0 || s.total.Minus(firm).Minus(s.free).CPUs > 1e-6 { // a gang is there, or comes
			continue
		}
		if v == nil || firm.CPUs < scheduler.Firm(v.mc).CPUs {
			v = s
		}
	}
	if v == nil {
		return nil
	}
	extra := map[*model.Machine]int{}
	taken := map[*slot]scheduler.Room{}
	for _, r := range v.mc.Runs {
		j := r.Job
		if j.Kind != model.Service {
			continue
		}
		if !r.Wanted() {
			continue
		}
		need := scheduler.Need(j)
		fits := func(s *slot) bool {
			return s != v && s.mc != nil && s.mc.Usable() && j.Allowed(s.mc.Type, s.mc.Zone, s.mc.Spot) &&
				(s.mc.Zone == v.mc.Zone || j.ZoneAllows(s.mc.Zone)) && s.free.Minus(taken[s]).Holds(need)
		}
		var to *slot
		for _, s := range slots {
			if s.total.GPUs == 0 && fits(s) && (to == nil || s.mc.Has(j.Image) && !to.mc.Has(j.Image)) {
				to = s
			}
		}
		if to == nil {
			f.fullest(slots, func(s *slot) {
				if to == nil && f.spoiled(s) && fits(s) {
					to = s
					extra[s.mc]++
				}
			})
		}
		if to == nil {
			return nil
		}
		taken[to] = taken[to].Plus(need)
	}
	for mc, k := range extra {
		forServices[mc] += k
	}
	return v.mc
}

// spoiled tells whether services took a machine with GPUs already, so that the
// largest work that uses GPUs does not fit beside them.
func (f *Fleet) spoiled(s *slot) bool {
	return s.mc != nil && f.gpuWork.Spoiled(s.total, scheduler.Firm(s.mc))
}

func wishes(slots []*slot) int {
	n := 0
	for _, s := range slots {
		if s.wish {
			n++
		}
	}
	return n
}

// price is what a task of an item costs an hour on an offer, when so many of
// them are to be placed; false: it does not fit or may not go there.
func (f *Fleet) price(m *model.Model, it *item, o Offer, left int) (float64, bool) {
	t := &m.Types[o.Type]
	fit := 0
	for r := scheduler.Whole(t); fit < left && r.Holds(it.need); fit++ {
		r = r.Minus(it.need)
	}
	if !t.Known || fit == 0 || !it.allows(o) {
		return 0, false
	}
	price := t.Price
	if o.Spot {
		price = t.SpotPrice * 1.3 // some are taken, and their work with them
	}
	return price / float64(fit) * (1 + t.BootS/300), true
}

// offers calls a function for everything that the cloud may rent out.
func offers(m *model.Model, each func(Offer)) {
	for i := range m.Types {
		for _, z := range m.Types[i].ZoneIDs {
			each(Offer{int32(i), z, false})
			each(Offer{int32(i), z, true})
		}
	}
}

// affordable tells which offers an item is worth: those that cost, when full, no
// more than so many times the cheapest one.
func (f *Fleet) affordable(m *model.Model, it *item) func(Offer) bool {
	floor := math.Inf(1)
	offers(m, func(o Offer) {
		if p, ok := f.price(m, it, o, math.MaxInt32); ok {
			floor = min(floor, p)
		}
	})
	// Asked for each machine, and the same for all of an offer: looked at once.
	zones := m.Zones.Len()
	at := func(o Offer) int {
		i := 2 * (int(o.Type)*zones + int(o.Zone))
		if o.Spot {
			i++
		}
		return i
	}
	worth := make([]int8, 2*len(m.Types)*zones) // 0: not looked at, 1: yes, -1: no
	return func(o Offer) bool {
		w := &worth[at(o)]
		if *w == 0 {
			*w = -1
			if p, ok := f.price(m, it, o, math.MaxInt32); ok && (it.limit == 0 || p <= floor*it.limit) {
				*w = 1
			}
		}
		return *w > 0
	}
}

// count counts the machines of each offer, so that equal offers take turns.
func (f *Fleet) count(m *model.Model) {
	clear(f.counts)
	for _, mc := range m.Order {
		f.counts[Offer{mc.Type, mc.Zone, mc.Spot}]++
	}
}

// cheapest finds the offer that costs least for what is left of an item.
func (f *Fleet) cheapest(m *model.Model, it *item, left int, now model.Time) (best Offer, found bool) {
	worth := f.affordable(m, it)
	bestCost := math.Inf(1)
	offers(m, func(o Offer) {
		cost, ok := f.price(m, it, o, left)
		if !ok || f.refused[o].until > now || f.apart[o.Zone] || !worth(o) {
			return
		}
		if cost *= (1 + 0.02*float64(f.counts[o])) * f.avoid(o); cost < bestCost {
			best, bestCost, found = o, cost, true
		}
	})
	return best, found
}

// Name makes a rental request's name that no other node, term or restart uses:
// terms are never used twice.
func Name(term uint64, n int) string { return fmt.Sprintf("fh-%d-%d", term, n) }
