package autoscaler

import (
	"fieldhill/internal/config"
	"fieldhill/internal/model"
	"fieldhill/internal/scheduling/scheduler"
)

// maxPlannedMachines bounds the machines that one plan asks for; the next plan goes on from there.
const maxPlannedMachines = 60

// A machine that nothing needs is released once it has been idle for this part of its time to boot, and for so many
// seconds at least: it takes a boot to get one back.
const (
	minIdleBootShare = 0.6
	minIdleSeconds   = 15
)

// planning is a plan in the making.
type planning struct {
	autoscaler *Autoscaler
	model      *model.Model
	now        model.Time
	slots      []*slot
	plan       Plan
	// unplaced are services for which there is no room and nothing to be provisioned.
	unplaced []unplacedServices
	// affordable are, for each demand of arrays so far, the offers that it is worth.
	affordable []offerFilter
	// reserved are the slots that more urgent demand than that of arrays uses.
	reserved map[*slot]bool
}

// Plan looks at demand and machines, and decides what to ask of the cloud.
func (a *Autoscaler) Plan(m *model.Model, now model.Time) Plan {
	jobs := m.JobsInOrder()
	scheduler.MarkGuarantees(m, jobs, now, a.Objectives)
	a.arrivals.observe(m, jobs, now)
	a.observeFleet(m)
	p := planning{autoscaler: a, model: m, now: now, slots: a.slots(m, now), reserved: map[*slot]bool{}}
	demands, headroom := a.demands(m, jobs, now)
	p.plan = Plan{
		Headroom:           headroom,
		Drain:              map[*model.Machine]bool{},
		ForServices:        map[*model.Machine]int{},
		LowPriorityAllowed: map[*model.Machine]bool{},
	}
	p.packAll(demands)
	p.displaceGangs()
	if p.affordable == nil {
		p.plan.Vacate = p.findVacatable()
	}
	a.vacating = p.plan.Vacate
	p.allowLowPriority()
	p.requestPlanned()
	p.releaseUnused()
	return p.plan
}

// packAll packs the demands in their order. Which machine to vacate is decided when all that is more urgent than
// arrays has its place: they don't keep a machine for themselves.
func (p *planning) packAll(demands []demand) {
	for i := range demands {
		d := &demands[i]
		isBatch := d.maxPriceFactor > 0 && !d.standby
		if isBatch && p.affordable == nil {
			p.plan.Vacate = p.findVacatable()
			for _, s := range p.slots {
				p.reserved[s] = s.used
			}
		}
		p.pack(d)
		if isBatch {
			p.affordable = append(p.affordable, affordable(p.model, d))
		}
	}
}

// allowLowPriority decides which machines with GPUs low-priority work may use.
func (p *planning) allowLowPriority() {
	for _, s := range p.slots {
		if s.machine == nil || s.total.GPUs == 0 {
			continue
		}
		allowed := !p.autoscaler.arrivals.gpuWork.FitsAny(s.total) ||
			p.reserved[s] && (!s.hasGPUWork() || scheduler.Reserved(s.machine).CPUs > 0)
		for _, isAffordable := range p.affordable {
			allowed = allowed || isAffordable(s.offer)
		}
		p.plan.LowPriorityAllowed[s.machine] = allowed
	}
}

// requestPlanned makes the requests for the planned machines, in the order in which the demand asked: the most urgent
// first.
func (p *planning) requestPlanned() {
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

// releaseUnused lists the machines that nothing was packed onto: those that low-priority work still uses are drained,
// those that have been idle for long enough are released.
func (p *planning) releaseUnused() {
	for _, s := range p.slots {
		if s.machine == nil || s.used {
			continue
		}
		if s.machine.Contact.Reported && len(s.machine.Runs) > 0 {
			p.plan.Drain[s.machine] = true
		}
		if isReleasable(p.model, s.machine, p.now) {
			p.plan.ScaleIn = append(p.plan.ScaleIn, s.machine)
		}
	}
}

// isReleasable tells whether an unneeded machine has been idle for long enough.
func isReleasable(m *model.Model, machine *model.Machine, now model.Time) bool {
	if len(machine.Runs) > 0 || machine.Releasing {
		return false
	}
	minIdle := config.Seconds(max(minIdleSeconds, m.TypeOf(machine).BootS*minIdleBootShare))
	return machine.Contact.Reported && now-max(machine.Lifecycle.IdleSince, machine.Contact.KnownSince) > minIdle
}
