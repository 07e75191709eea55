package autoscaler

import (
	"fieldhill/internal/config"
	"fieldhill/internal/model"
	"fieldhill/internal/scheduling/scheduler"
)

// maxPlannedMachines limits the number of machines that one plan requests. The next plan requests the remaining ones.
const maxPlannedMachines = 60

// minIdleBootShare and minIdleSeconds determine when an unneeded machine is released: once it has been idle for
// minIdleBootShare of its boot time, but at least for minIdleSeconds, since replacing it takes a full boot.
const (
	minIdleBootShare = 0.6
	minIdleSeconds   = 15
)

// planner is the state of one call of Plan.
type planner struct {
	autoscaler *Autoscaler
	model      *model.Model
	now        model.Time
	slots      []*slot
	plan       Plan
	// unplaced are the service tasks that fit on no machine and for which no machine can be provisioned.
	unplaced []unplacedServices
	// affordableOffers holds a filter for the affordable offers of each array demand packed so far.
	affordableOffers []offerFilter
	// usedBeforeBatch records which slots were in use when the first array demand was packed.
	usedBeforeBatch map[*slot]bool
}

// Plan determines which machines to request and release for the current demand.
func (a *Autoscaler) Plan(m *model.Model, now model.Time) Plan {
	jobs := m.JobsInOrder()
	scheduler.UpdateGuarantees(m, jobs, now, a.Objectives)
	a.arrivals.observe(m, jobs, now)
	a.observeFleet(m)
	p := planner{autoscaler: a, model: m, now: now, slots: a.slots(m, now), usedBeforeBatch: map[*slot]bool{}}
	p.plan = Plan{
		Draining:           map[*model.Machine]bool{},
		ServiceSlots:       map[*model.Machine]int{},
		LowPriorityAllowed: map[*model.Machine]bool{},
	}
	p.packAll(a.demands(m, jobs, now))
	p.displaceGangs()
	if p.affordableOffers == nil {
		p.plan.DrainTarget = p.selectDrainTarget()
	}
	a.drainTarget = p.plan.DrainTarget
	p.allowLowPriority()
	p.requestPlanned()
	p.releaseUnused()
	return p.plan
}

// packAll packs the demands in order. The drain target is selected before the first array demand is packed, because
// arrays do not justify keeping a machine.
func (p *planner) packAll(demands []demand) {
	for i := range demands {
		d := &demands[i]
		isBatch := d.maxPriceFactor > 0 && !d.standby
		if isBatch && p.affordableOffers == nil {
			p.plan.DrainTarget = p.selectDrainTarget()
			for _, s := range p.slots {
				p.usedBeforeBatch[s] = s.used
			}
		}
		p.pack(d)
		if isBatch {
			p.affordableOffers = append(p.affordableOffers, affordable(p.model, d))
		}
	}
}

// allowLowPriority determines which machines with GPUs low-priority work may use.
func (p *planner) allowLowPriority() {
	for _, s := range p.slots {
		if s.machine == nil || s.total.GPUs == 0 {
			continue
		}
		allowed := p.isKeptForOthers(s)
		for _, isAffordable := range p.affordableOffers {
			allowed = allowed || isAffordable(s.offer)
		}
		p.plan.LowPriorityAllowed[s.machine] = allowed
	}
}

// isKeptForOthers reports whether low-priority work may use the machine of a slot with GPUs although its price is not
// justified by this work: either no GPU work fits there, or the machine is kept for other work that this work does not
// outlast.
func (p *planner) isKeptForOthers(s *slot) bool {
	return !p.autoscaler.arrivals.gpuDemand.FitsAny(s.total) ||
		p.usedBeforeBatch[s] && s.machine != nil &&
			(!s.hasGPUWork() || scheduler.ServiceUsage(s.machine).CPUs > 0)
}

// requestPlanned adds the requests for the planned machines, in the order of their demand, most urgent first.
func (p *planner) requestPlanned() {
	index := map[InstanceOffer]int{}
	for _, s := range p.slots {
		if !s.planned {
			continue
		}
		i, ok := index[s.offer]
		if !ok {
			i = len(p.plan.ScaleOuts)
			index[s.offer] = i
			p.plan.ScaleOuts = append(p.plan.ScaleOuts, ScaleOut{InstanceOffer: s.offer, Purpose: s.purpose})
		}
		p.plan.ScaleOuts[i].Count++
	}
}

// releaseUnused drains the machines that no packed demand uses but on which low-priority work still runs, and releases
// the machines that have been idle for the minimum time.
func (p *planner) releaseUnused() {
	for _, s := range p.slots {
		if s.machine == nil || s.used {
			continue
		}
		if s.machine.Contact.Reported && len(s.machine.Runs) > 0 {
			p.plan.Draining[s.machine] = true
		}
		if isReleasable(p.model, s.machine, p.now) {
			p.plan.ScaleIn = append(p.plan.ScaleIn, s.machine)
		}
	}
}

// isReleasable reports whether an unneeded machine has been idle for the minimum time.
func isReleasable(m *model.Model, machine *model.Machine, now model.Time) bool {
	if len(machine.Runs) > 0 || machine.Releasing {
		return false
	}
	minIdle := config.Seconds(max(minIdleSeconds, m.TypeOf(machine).BootS*minIdleBootShare))
	return machine.Contact.Reported && now-max(machine.Lifecycle.IdleSince, machine.Contact.KnownSince) > minIdle
}
