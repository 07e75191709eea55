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

// InstanceOffer is something that can be rented.
type InstanceOffer struct {
	Type, Zone int32
	Spot       bool
}

// ScaleOut is a wish.
type ScaleOut struct {
	InstanceOffer
	Count   int
	Purpose string // what it is for, that of the most urgent
}

// Plan is what to ask of the cloud, and the headroom that low work must leave.
type Plan struct {
	ScaleOuts []ScaleOut
	ScaleIn   []*model.Machine
	// Drain are machines that only low work uses and that cost more than it is
	// worth: they get nothing new and are returned when empty.
	Drain    map[*model.Machine]bool
	Headroom float64
	// ForServices are the machines with GPUs that services need because there is
	// no other room for them; the rest is kept whole for work that uses GPUs.
	ForServices map[*model.Machine]int // how many tasks each
	// LowPriorityAllowed are the machines with GPUs that low work may use: it is worth them,
	// or they are kept anyway. Elsewhere it would hold a dear machine that its
	// last gang has left, for as long as its longest task runs.
	LowPriorityAllowed map[*model.Machine]bool
	// Vacate is a dear machine that only services hold, whose replicas all have
	// room elsewhere: they are moved, one at a time, and it is returned.
	Vacate *model.Machine
}

type refusal struct {
	until   model.Time
	backoff model.Time
}

// jobClass is what was learnt of a class of jobs.
type jobClass struct {
	kind        model.Kind
	need        scheduler.Resources
	tasksPerJob float64 // tasks of a job, averaged
	runSeconds  float64 // seconds that a task keeps its place, averaged
	types       []int32
	zone        int32
	spot        bool
	spread      bool
	imageGB     float64
	largestJob  float64 // largest job
	arrivals    float64
}

// Autoscaler keeps what lasts.
type Autoscaler struct {
	Objectives       []config.Objective
	InFlight         map[InstanceOffer]int // asked for, without an answer yet
	refusals         map[InstanceOffer]refusal
	classes          map[int32]*jobClass
	gpuWork          scheduler.GPUDemand // the last need seen of each class
	seenJobs         map[model.JobID]bool
	vacating         *model.Machine
	unplaced         []unplacedServices
	machineCounts    map[InstanceOffer]int // machines of each offer
	partitionedZones map[int32]bool        // zones with suspect machines: what is rented there can't be reached
	bootTimes        map[typeZone]bootStats
	lateMachines     map[typeZone]int // machines that should be up by now
	learningSince    model.Time
	started          bool
	lastDecay        model.Time
}

// New makes a fleet.
func New(obj []config.Objective) *Autoscaler {
	return &Autoscaler{
		Objectives:       obj,
		refusals:         map[InstanceOffer]refusal{},
		classes:          map[int32]*jobClass{},
		gpuWork:          scheduler.GPUDemand{},
		partitionedZones: map[int32]bool{},
		machineCounts:    map[InstanceOffer]int{},
		bootTimes:        map[typeZone]bootStats{},
		lateMachines:     map[typeZone]int{},
		seenJobs:         map[model.JobID]bool{},
	}
}

// OnRefused notes that the cloud had nothing of an offer; it is asked again after
// pauses that grow.
func (a *Autoscaler) OnRefused(o InstanceOffer, now model.Time) {
	r := a.refusals[o]
	r.backoff = min(max(2*r.backoff, 10e9), 80e9)
	r.until = now + r.backoff
	a.refusals[o] = r
}

// RefusalsFor tells how many offers that suit a job the cloud has refused lately, and in how long
// the first of them is asked for again.
func (a *Autoscaler) RefusalsFor(m *model.Model, j *model.Job, now model.Time) (n int, retryIn model.Time) {
	for o, r := range a.refusals {
		t := &m.Types[o.Type]
		if r.until <= now || !j.AllowsMachine(o.Type, o.Zone, o.Spot) ||
			!scheduler.TypeCapacity(t).Contains(scheduler.TaskDemand(j)) {
			continue
		}
		if n++; n == 1 || r.until-now < retryIn {
			retryIn = r.until - now
		}
	}
	return n, retryIn
}

// OnAvailable notes that the cloud has some of an offer: it filled a request, or took a machine back. When
// machines died where it had no more, their replacements waited out a pause of up to 80 s that
// had begun before.
func (a *Autoscaler) OnAvailable(o InstanceOffer) { delete(a.refusals, o) }

// startWithin is the tightest time that the objectives give a class to start.
func (a *Autoscaler) startWithin(m *model.Model, c int32) (float64, bool) {
	return config.StartWithin(a.Objectives, m.Classes.Name(c))
}

// finishWithin is how long a job of a class may take in all by the objectives.
func (a *Autoscaler) finishWithin(m *model.Model, j *model.Job) float64 {
	best := math.Inf(1)
	for _, o := range a.Objectives {
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

// maxPriceFactor is how many times the lowest price a task of an array may cost: the
// fewer may be late by the objectives, the more. Where many may be late, dear
// machines are not rented for them.
func (a *Autoscaler) maxPriceFactor(j *model.Job) float64 {
	share := 0.75
	for _, o := range a.Objectives {
		if o.Class == j.Spec.Class && (o.Kind == "finished" || o.Kind == "deadline") {
			share = max(share, o.Share)
		}
	}
	return 1 / max(0.01, 1-share)
}

// preemptSeconds is how long it takes to stop low work and learn that its room is free.
const preemptSeconds = 4.0

const averagingSeconds = 240.0 // seconds over which arrivals are averaged

// observeArrivals watches the jobs that come.
func (a *Autoscaler) observeArrivals(m *model.Model, jobs []*model.Job, now model.Time) {
	if !a.started {
		a.started, a.learningSince, a.lastDecay = true, now, now
		// What is there at the start says nothing of how often jobs come.
		for _, j := range jobs {
			a.seenJobs[j.ID] = true
			a.recordJob(m, j, false)
		}
		return
	}
	decay := math.Exp(-(now - a.lastDecay).Seconds() / averagingSeconds)
	a.lastDecay = now
	for _, c := range a.classes {
		c.arrivals *= decay
	}
	for _, j := range jobs {
		if !a.seenJobs[j.ID] {
			a.seenJobs[j.ID] = true
			a.recordJob(m, j, true)
		}
	}
	if len(a.seenJobs) > 4*len(m.Jobs)+1000 {
		for id := range a.seenJobs {
			if m.Jobs[id] == nil {
				delete(a.seenJobs, id)
			}
		}
	}
}

func (a *Autoscaler) recordJob(m *model.Model, j *model.Job, arrived bool) {
	c := a.classes[j.Class]
	if c == nil {
		c = &jobClass{tasksPerJob: float64(len(j.Tasks)), runSeconds: m.ExpectedSeconds(j)}
		a.classes[j.Class] = c
	}
	c.kind, c.need, c.types, c.zone, c.spot = j.Kind, scheduler.TaskDemand(j), j.Types, j.Zone, j.Spec.Spot
	c.spread = j.Spec.Spread
	if delete(a.gpuWork, j.Class); c.need.GPUs > 0 {
		a.gpuWork[j.Class] = c.need
	}
	c.imageGB = max(j.Spec.ImageGB, 0.8*c.imageGB)
	c.tasksPerJob += (float64(len(j.Tasks)) - c.tasksPerJob) * 0.1
	c.runSeconds += (m.ExpectedSeconds(j) - c.runSeconds) * 0.1
	c.largestJob = max(c.largestJob*0.98, float64(len(j.Tasks)))
	if arrived {
		c.arrivals += float64(len(j.Tasks))
	}
}

// arrivalRate is how many tasks of a class come in a second.
func (a *Autoscaler) arrivalRate(c *jobClass, now model.Time) float64 {
	t := (now - a.learningSince).Seconds()
	span := averagingSeconds * (1 - math.Exp(-t/averagingSeconds))
	return c.arrivals / max(span, 30)
}

// slot is room on a machine that exists, boots or is wished for.
type slot struct {
	machine      *model.Machine
	offer        InstanceOffer
	free         scheduler.Resources
	total        scheduler.Resources
	used         bool
	planned      bool
	purpose      string // of a wish
	servicesOnly bool   // for services only
}

type demand struct {
	need           scheduler.Resources
	types          []int32
	zone           int32
	spot           bool
	count          int
	service        bool
	priority       model.Priority
	standby        bool          // room to keep free, not work
	purpose        string        // for the log
	maxPriceFactor float64       // how many times the cheapest price it is worth; 0: any
	maxPerZone     int           // how many may go to one zone; 0: any number
	inZone         map[int32]int // how many are there already
}

// canUse tells whether a task may go to a slot's machine, room apart.
func (it *demand) canUse(s *slot) bool { return (!s.servicesOnly || it.service) && it.allows(s.offer) }

func (it *demand) allows(o InstanceOffer) bool {
	if it.maxPerZone > 0 && it.inZone[o.Zone] >= it.maxPerZone {
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

func (it *demand) placeOn(s *slot) {
	s.free = s.free.Minus(it.need)
	s.used = true
	if it.inZone != nil {
		it.inZone[s.offer.Zone]++
	}
}

// applySpread makes an item keep its job's spread over zones: without it a second
// replica would count on room in a zone where it may not go.
func (it *demand) applySpread(j *model.Job) {
	if !j.Spec.Spread || len(j.Tasks) < 2 {
		return
	}
	it.maxPerZone, it.inZone = (len(j.Tasks)+1)/2, map[int32]int{}
	for i := range j.Tasks {
		if r := j.Tasks[i].Run; r != nil {
			it.inZone[r.Machine.Zone]++
		}
	}
}

// Plan looks at demand and machines.
func (a *Autoscaler) Plan(m *model.Model, now model.Time) Plan {
	jobs := m.JobsInOrder()
	scheduler.MarkGuarantees(m, jobs, now, a.Objectives)
	a.observeArrivals(m, jobs, now)
	a.unplaced = a.unplaced[:0]
	clear(a.partitionedZones)
	for _, mc := range m.Order {
		if mc.Suspect {
			a.partitionedZones[mc.Zone] = true
		}
	}
	a.countMachines(m)
	slots := a.slots(m, now)
	demands, headroom := a.demands(m, jobs, now)
	p := Plan{Headroom: headroom, ForServices: map[*model.Machine]int{}, Drain: map[*model.Machine]bool{}}
	var affordable []func(InstanceOffer) bool
	reserved := map[*slot]bool{}
	for i := range demands {
		if demands[i].maxPriceFactor > 0 && !demands[i].standby && affordable == nil {
			p.Vacate = a.vacate(m, slots, p.ForServices)
			for _, s := range slots {
				reserved[s] = s.used
			}
		}
		a.pack(m, &demands[i], &slots, now, p.ForServices)
		if demands[i].maxPriceFactor > 0 && !demands[i].standby {
			affordable = append(affordable, a.affordable(m, &demands[i]))
		}
	}
	a.displaceGangs(slots, p.ForServices)
	if affordable == nil {
		p.Vacate = a.vacate(m, slots, p.ForServices)
	}
	a.vacating = p.Vacate
	p.LowPriorityAllowed = map[*model.Machine]bool{}
	for _, s := range slots {
		if s.machine == nil || s.total.GPUs == 0 {
			continue
		}
		hasGang := false
		for _, r := range s.machine.Runs {
			hasGang = hasGang || r.Job.Spec.GPUs > 0
		}
		p.LowPriorityAllowed[s.machine] = !a.gpuWork.FitsAny(s.total) ||
			reserved[s] && (!hasGang || scheduler.Reserved(s.machine).CPUs > 0)
		for _, isAffordable := range affordable {
			p.LowPriorityAllowed[s.machine] = p.LowPriorityAllowed[s.machine] || isAffordable(s.offer)
		}
	}
	count, first := map[InstanceOffer]int{}, map[InstanceOffer]int{}
	for i, s := range slots {
		if s.planned {
			if count[s.offer]++; count[s.offer] == 1 {
				first[s.offer] = i
			}
		}
	}
	for o, n := range count {
		p.ScaleOuts = append(p.ScaleOuts, ScaleOut{o, n, slots[first[o]].purpose})
	}
	// In the order in which the demand asked: the most urgent first.
	sort.Slice(
		p.ScaleOuts,
		func(i, k int) bool { return first[p.ScaleOuts[i].InstanceOffer] < first[p.ScaleOuts[k].InstanceOffer] },
	)
	for _, s := range slots {
		if s.machine != nil && !s.used && s.machine.Contact.Reported && len(s.machine.Runs) > 0 {
			p.Drain[s.machine] = true
		}
		if s.machine != nil && !s.used && a.returnable(m, s.machine, now) {
			p.ScaleIn = append(p.ScaleIn, s.machine)
		}
	}
	return p
}

// returnable tells whether an unneeded machine has been idle for long enough: it
// takes a boot to get one back.
func (a *Autoscaler) returnable(m *model.Model, mc *model.Machine, now model.Time) bool {
	if len(mc.Runs) > 0 || mc.Releasing {
		return false
	}
	t := m.TypeOf(mc)
	minIdle := config.Seconds(max(15, t.BootS*0.6))
	return mc.Contact.Reported && now-max(mc.Lifecycle.IdleSince, mc.Contact.KnownSince) > minIdle
}

func (a *Autoscaler) slots(m *model.Model, now model.Time) []*slot {
	var out []*slot
	for _, mc := range m.Order {
		t := m.TypeOf(mc)
		if !t.Known || mc.Health.Quarantined || mc.Releasing || mc.Lifecycle.PreemptionAt != 0 || mc.Suspect ||
			mc.Contact.InboundPartitionSince != 0 ||
			mc.Lifecycle.BootOverdue {
			continue
		}
		if !mc.Contact.Reported && a.partitionedZones[mc.Zone] {
			continue // it boots for the end of the cut
		}
		total := scheduler.MachineCapacity(m, mc)
		s := &slot{
			machine:      mc,
			offer:        InstanceOffer{mc.Type, mc.Zone, mc.Spot},
			total:        total,
			free:         total,
			servicesOnly: mc.ServicesOnly(now),
		}
		for _, r := range mc.Runs {
			// Low work gives way, so its room is not lost to what is more
			// urgent; it is packed again behind it.
			if !isPreemptible(r.Job) {
				s.used = true
				s.free = s.free.Minus(scheduler.TaskDemand(r.Job))
			}
		}
		out = append(out, s)
	}
	for o, n := range a.InFlight {
		if a.partitionedZones[o.Zone] {
			continue
		}
		t := &m.Types[o.Type]
		total := scheduler.TypeCapacity(t)
		for range n {
			out = append(out, &slot{offer: o, total: total, free: total})
		}
	}
	// Fuller machines first, so that empty ones stay unused and can go.
	sort.SliceStable(out, func(i, k int) bool { return out[i].used && !out[k].used })
	return out
}

func isPreemptible(j *model.Job) bool {
	return j.Kind == model.Array && j.Priority == model.Low
}

// demands lists what wants room, most urgent first.
func (a *Autoscaler) demands(m *model.Model, jobs []*model.Job, now model.Time) ([]demand, float64) {
	var urgent, standby, low []demand
	// What is on suspect machines will want room elsewhere when their leases have
	// run out; machines for it can boot meanwhile. And low work could give way.
	expiring := map[*model.Job]int{}
	preemptible := make([]scheduler.Resources, len(m.Teams))
	for _, mc := range m.Order {
		for _, r := range mc.Runs {
			if mc.Suspect && r.Job.Kind != model.Array && !r.Job.Cancelled {
				expiring[r.Job]++
			}
			if t := r.Job.Team; t != nil && isPreemptible(r.Job) {
				preemptible[t.Index] = preemptible[t.Index].Plus(scheduler.TaskDemand(r.Job))
			}
		}
	}
	for _, j := range jobs {
		n := j.Waiting() + expiring[j]
		if n == 0 && !isPreemptible(j) || j.Team == nil || j.Cancelled || j.Observed.Faulty {
			continue // what fails everywhere is worth no machine
		}
		n = min(n, teamAllowance(j, preemptible)+expiring[j])
		it := demand{
			need:     scheduler.TaskDemand(j),
			types:    j.Types,
			zone:     j.Zone,
			spot:     j.Spec.Spot,
			count:    n,
			service:  j.Kind == model.Service,
			priority: j.Priority,
			purpose:  "demand of job " + j.Spec.ID,
		}
		it.applySpread(j)
		if j.Kind != model.Array {
			urgent = append(urgent, it)
			continue
		}
		it.count = min(n, a.requiredParallelism(m, j, now))
		it.maxPriceFactor = a.maxPriceFactor(j)
		if !isPreemptible(j) {
			urgent = append(urgent, it)
		} else {
			it.count += j.Live
			low = append(low, it)
		}
	}
	headroom := 0.0
	ids := make([]int32, 0, len(a.classes))
	for id := range a.classes {
		ids = append(ids, id)
	}
	sort.Slice(ids, func(i, k int) bool { return ids[i] < ids[k] })
	for _, id := range ids {
		c := a.classes[id]
		within, ok := a.startWithin(m, id)
		if !ok {
			continue
		}
		boot, fetch := a.coldStart(m, c)
		if boot+fetch < within*0.5 {
			continue // a machine can be had in time
		}
		r := a.arrivalRate(c, now)
		var n float64
		switch c.kind {
		case model.Service:
			mean := r * (boot*1.5 + 10)
			n = mean + 2*math.Sqrt(mean*max(1, c.tasksPerJob)) + c.largestJob
			// Low work gives way within seconds; only what must start sooner than
			// that needs room that is free already.
			if within-fetch < preemptSeconds {
				headroom += (r*2*preemptSeconds + 1.5*c.largestJob) * c.need.CPUs
			}
		case model.Gang:
			// The usual number at once, by Little's law, less those that run.
			expected := r * (c.runSeconds*1.2 + fetch)
			n = math.Round(expected+0.7*math.Sqrt(expected)) - float64(liveTasks(jobs, id))
			n = min(n, math.Ceil(r*boot))
		default:
			continue
		}
		if k := int(math.Ceil(n)); k > 0 {
			it := demand{
				need:           c.need,
				types:          c.types,
				zone:           c.zone,
				spot:           c.spot && c.kind != model.Service,
				count:          k,
				service:        c.kind == model.Service,
				standby:        true,
				maxPriceFactor: 6,
				purpose:        "expected demand of class " + m.Classes.Name(id),
			}
			if c.spread && k > 1 {
				it.maxPerZone, it.inZone = k/2+1, map[int32]int{}
			}
			standby = append(standby, it)
		}
	}
	sort.SliceStable(urgent, func(i, k int) bool { return urgent[i].priority > urgent[k].priority })
	return append(append(urgent, standby...), low...), headroom
}

func liveTasks(jobs []*model.Job, class int32) int {
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
func (a *Autoscaler) coldStart(m *model.Model, c *jobClass) (boot, fetch float64) {
	boot = math.Inf(1)
	for i := range m.Types {
		t := &m.Types[i]
		it := demand{types: c.types, zone: -1}
		if !t.Known || !scheduler.TypeCapacity(t).Contains(c.need) || !it.allows(InstanceOffer{Type: int32(i)}) {
			continue
		}
		for _, z := range t.ZoneIDs {
			if s := a.bootSeconds(m, int32(i), z); s < boot {
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

// teamAllowance is how many more tasks of a job its team's limit allows. Low work of the
// team is not in the way of what is more urgent: it is stopped once there are
// machines, so they must be rented although the limit is full of it.
func teamAllowance(j *model.Job, preemptible []scheduler.Resources) int {
	t, n := j.Team, math.Inf(1)
	var lowPriority scheduler.Resources
	if j.Priority > model.Low {
		lowPriority = preemptible[t.Index]
	}
	if t.CPUsMax > 0 && j.Spec.CPUs > 0 {
		n = min(n, (t.CPUsMax-t.UsedCPUs+lowPriority.CPUs)/j.Spec.CPUs+1e-6)
	}
	if t.GPUsMax > 0 && j.Spec.GPUs > 0 {
		n = min(n, (t.GPUsMax-t.UsedGPUs+lowPriority.GPUs)/j.Spec.GPUs+1e-6)
	}
	if n > 1e6 {
		return 1e6
	}
	return max(0, int(n))
}

// requiredParallelism is how many tasks of an array must run at once for it to be done
// within half of what its objective leaves.
func (a *Autoscaler) requiredParallelism(m *model.Model, j *model.Job, now model.Time) int {
	est := max(5, m.ExpectedSeconds(j)) + 8
	left := a.finishWithin(m, j)*0.6 - (now - j.Observed.KnownSince).Seconds()
	rounds := math.Floor(left / est)
	if rounds < 1 {
		return j.Waiting()
	}
	return max(0, int(math.Ceil(float64(j.Waiting()+j.Live)/rounds))-j.Live)
}

// pack puts an item's tasks onto slots, wishing for machines where room ends.
func (a *Autoscaler) pack(
	m *model.Model,
	it *demand,
	slots *[]*slot,
	now model.Time,
	forServices map[*model.Machine]int,
) {
	left := it.count
	fillSlot := func(s *slot, allowed func(*slot) bool) {
		for left > 0 && allowed(s) && s.free.Contains(it.need) && it.canUse(s) {
			it.placeOn(s)
			left--
			if it.service && !it.standby && s.machine != nil && s.total.GPUs > 0 {
				forServices[s.machine]++
			}
		}
	}
	fill := func(allowed func(*slot) bool) {
		for _, s := range *slots {
			if left <= 0 {
				return
			}
			fillSlot(s, allowed)
		}
	}
	all := func(*slot) bool { return true }
	withoutGPUs := it.need.GPUs == 0
	if it.maxPriceFactor > 0 {
		// First what is there anyway, then what it is worth paying for.
		fill(func(s *slot) bool { return s.used && (!withoutGPUs || s.total.GPUs == 0) })
		worth := a.affordable(m, it)
		fill(func(s *slot) bool { return (!withoutGPUs || s.total.GPUs == 0 || !it.standby) && worth(s.offer) })
	} else {
		fill(func(s *slot) bool { return !withoutGPUs || s.total.GPUs == 0 })
	}
	if withoutGPUs {
		// Work without GPUs is not to keep machines with GPUs that are idle.
		if it.service {
			fill(func(s *slot) bool { return s.total.GPUs > 0 && !a.gpuWork.FitsAny(s.total) && s.used })
			a.eachServiceMachine(*slots, func(s *slot) {
				before := left
				if fillSlot(s, a.isFragmented); it.standby && left < before {
					forServices[s.machine] += before - left // it is theirs already
				}
			})
		} else {
			fill(func(s *slot) bool { return s.used })
		}
	}
	for left > 0 {
		o, ok := a.cheapest(m, it, left, now)
		if withoutGPUs && it.service && !it.standby && (!ok || m.Types[o.Type].GPUs > 0) {
			// Nothing without GPUs can be rented: take one with GPUs that is there.
			before := left
			a.eachServiceMachine(*slots, func(s *slot) { fillSlot(s, all) })
			fill(func(s *slot) bool { return s.machine != nil && s.machine.Contact.Reported })
			fill(all)
			if left < before {
				continue
			}
		}
		if !ok && withoutGPUs && it.service && !it.standby {
			a.unplaced = append(a.unplaced, unplacedServices{it, left})
		}
		if !ok || withoutGPUs && it.standby && m.Types[o.Type].GPUs > 0 {
			// Machines with GPUs are not rented to stand idle for work without.
			return
		}
		t := &m.Types[o.Type]
		total := scheduler.TypeCapacity(t)
		s := &slot{offer: o, total: total, free: total, used: true, planned: true, purpose: it.purpose}
		for left > 0 && s.free.Contains(it.need) && it.allows(o) {
			it.placeOn(s)
			left--
		}
		*slots = append(*slots, s)
		if plannedCount(*slots) >= 60 {
			return
		}
	}
}

// unplacedServices is services for which there is no room and nothing to be rented.
type unplacedServices struct {
	demand    *demand
	remaining int
}

// displaceGangs lets services onto machines of gangs that are less urgent, when there
// is no other room and nothing to be rented: what is behind them in the queue has to
// leave. A gang leaves only for services that fill half of its room: for a few, a place
// is free elsewhere before long, and the gang would lose more than they gain.
func (a *Autoscaler) displaceGangs(slots []*slot, forServices map[*model.Machine]int) {
	for _, s := range slots {
		if len(a.unplaced) == 0 {
			return
		}
		if s.machine == nil || !s.machine.Contact.Reported || s.total.GPUs == 0 {
			continue
		}
		freed := s.free
		for _, r := range s.machine.Runs {
			if r.Job.Spec.GPUs > 0 && r.Job.Kind == model.Gang && r.Job.Priority < a.unplaced[0].demand.priority {
				freed = freed.Plus(scheduler.TaskDemand(r.Job))
			}
		}
		if freed == s.free {
			continue
		}
		var taken []int // how many of each
		free, allowed := freed, 0.0
		for _, o := range a.unplaced {
			n := 0
			for n < o.remaining && free.Contains(o.demand.need) && o.demand.canUse(s) {
				free = free.Minus(o.demand.need)
				n++
			}
			taken = append(taken, n)
			allowed += float64(n) * o.demand.need.CPUs
		}
		if 2*allowed < freed.CPUs {
			continue
		}
		rest := a.unplaced[:0]
		for k, o := range a.unplaced {
			for range taken[k] {
				if o.demand.canUse(s) {
					o.demand.placeOn(s)
					forServices[s.machine]++
					o.remaining--
				}
			}
			if o.remaining > 0 {
				rest = append(rest, o)
			}
		}
		a.unplaced = rest
	}
}

// eachServiceMachine calls a function for the machines with GPUs that hold services, the
// one with most of them first: the fewer machines they keep, the better.
func (a *Autoscaler) eachServiceMachine(slots []*slot, each func(*slot)) {
	var candidates []*slot
	for _, s := range slots {
		if s.machine != nil && s.machine != a.vacating && s.total.GPUs > 0 && scheduler.Reserved(s.machine).CPUs > 0 {
			candidates = append(candidates, s)
		}
	}
	sort.SliceStable(candidates, func(i, k int) bool {
		return scheduler.Reserved(candidates[i].machine).CPUs > scheduler.Reserved(candidates[k].machine).CPUs
	})
	for _, s := range candidates {
		each(s)
	}
}

// vacate looks for the machine with GPUs that the fewest services hold, and for
// room for all of them elsewhere, beside what waits and what is kept free. The
// places on other such machines are allowed to services.
func (a *Autoscaler) vacate(m *model.Model, slots []*slot, forServices map[*model.Machine]int) *model.Machine {
	var victim *slot
	for _, s := range slots {
		if s.machine == nil || !s.machine.Contact.Reported || s.total.GPUs == 0 || !a.gpuWork.FitsAny(s.total) ||
			forServices[s.machine] > 0 {
			continue
		}
		reserved := scheduler.Reserved(s.machine)
		if reserved.CPUs == 0 || s.total.Minus(reserved).Minus(s.free).CPUs > 1e-6 { // a gang is there, or comes
			continue
		}
		if victim == nil || reserved.CPUs < scheduler.Reserved(victim.machine).CPUs {
			victim = s
		}
	}
	if victim == nil {
		return nil
	}
	extra := map[*model.Machine]int{}
	taken := map[*slot]scheduler.Resources{}
	for _, r := range victim.machine.Runs {
		j := r.Job
		if j.Kind != model.Service {
			continue
		}
		if !r.IsWanted() {
			continue
		}
		need := scheduler.TaskDemand(j)
		fits := func(s *slot) bool {
			return s != victim && s.machine != nil && s.machine.IsUsable() &&
				j.AllowsMachine(s.machine.Type, s.machine.Zone, s.machine.Spot) &&
				(s.machine.Zone == victim.machine.Zone || j.ZoneAllows(s.machine.Zone)) &&
				s.free.Minus(taken[s]).Contains(need)
		}
		var target *slot
		for _, s := range slots {
			if s.total.GPUs == 0 && fits(s) &&
				(target == nil || s.machine.HasImage(j.Image) && !target.machine.HasImage(j.Image)) {
				target = s
			}
		}
		if target == nil {
			a.eachServiceMachine(slots, func(s *slot) {
				if target == nil && a.isFragmented(s) && fits(s) {
					target = s
					extra[s.machine]++
				}
			})
		}
		if target == nil {
			return nil
		}
		taken[target] = taken[target].Plus(need)
	}
	for mc, k := range extra {
		forServices[mc] += k
	}
	return victim.machine
}

// isFragmented tells whether services took a machine with GPUs already, so that the
// largest work that uses GPUs does not fit beside them.
func (a *Autoscaler) isFragmented(s *slot) bool {
	return s.machine != nil && a.gpuWork.BlockedBy(s.total, scheduler.Reserved(s.machine))
}

func plannedCount(slots []*slot) int {
	n := 0
	for _, s := range slots {
		if s.planned {
			n++
		}
	}
	return n
}

// pricePerTask is what a task of an item costs an hour on an offer, when so many of
// them are to be placed; false: it does not fit or may not go there.
func (a *Autoscaler) pricePerTask(m *model.Model, it *demand, o InstanceOffer, left int) (float64, bool) {
	t := &m.Types[o.Type]
	fit := 0
	for r := scheduler.TypeCapacity(t); fit < left && r.Contains(it.need); fit++ {
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

// eachOffer calls a function for everything that the cloud may rent out.
func eachOffer(m *model.Model, each func(InstanceOffer)) {
	for i := range m.Types {
		for _, z := range m.Types[i].ZoneIDs {
			each(InstanceOffer{int32(i), z, false})
			each(InstanceOffer{int32(i), z, true})
		}
	}
}

// affordable tells which offers an item is worth: those that cost, when full, no
// more than so many times the cheapest one.
func (a *Autoscaler) affordable(m *model.Model, it *demand) func(InstanceOffer) bool {
	cheapest := math.Inf(1)
	eachOffer(m, func(o InstanceOffer) {
		if p, ok := a.pricePerTask(m, it, o, math.MaxInt32); ok {
			cheapest = min(cheapest, p)
		}
	})
	// Asked for each machine, and the same for all of an offer: looked at once.
	zones := m.Zones.Len()
	index := func(o InstanceOffer) int {
		i := 2 * (int(o.Type)*zones + int(o.Zone))
		if o.Spot {
			i++
		}
		return i
	}
	verdicts := make([]int8, 2*len(m.Types)*zones) // 0: not looked at, 1: yes, -1: no
	return func(o InstanceOffer) bool {
		verdict := &verdicts[index(o)]
		if *verdict == 0 {
			*verdict = -1
			if p, ok := a.pricePerTask(
				m,
				it,
				o,
				math.MaxInt32,
			); ok &&
				(it.maxPriceFactor == 0 || p <= cheapest*it.maxPriceFactor) {
				*verdict = 1
			}
		}
		return *verdict > 0
	}
}

// countMachines counts the machines of each offer, so that equal offers take turns.
func (a *Autoscaler) countMachines(m *model.Model) {
	clear(a.machineCounts)
	for _, mc := range m.Order {
		a.machineCounts[InstanceOffer{mc.Type, mc.Zone, mc.Spot}]++
	}
}

// cheapest finds the offer that costs least for what is left of an item.
func (a *Autoscaler) cheapest(m *model.Model, it *demand, left int, now model.Time) (best InstanceOffer, found bool) {
	isAffordable := a.affordable(m, it)
	bestCost := math.Inf(1)
	eachOffer(m, func(o InstanceOffer) {
		cost, ok := a.pricePerTask(m, it, o, left)
		if !ok || a.refusals[o].until > now || a.partitionedZones[o.Zone] || !isAffordable(o) {
			return
		}
		if cost *= (1 + 0.02*float64(a.machineCounts[o])) * a.latePenalty(o); cost < bestCost {
			best, bestCost, found = o, cost, true
		}
	})
	return best, found
}

// RequestName makes a rental request's name that no other node, term or restart uses:
// terms are never used twice.
func RequestName(term uint64, n int) string { return fmt.Sprintf("fh-%d-%d", term, n) }
