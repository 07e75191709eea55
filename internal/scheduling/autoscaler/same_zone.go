package autoscaler

import (
	"math"

	"fieldhill/internal/model"
)

// This file chooses the zone for the tasks of jobs that must run in a single zone.

// applySameZone restricts the demand of a job that must run in a single zone. Tasks placed on machines that are not
// suspect determine the zone. Without such tasks, the zone is chosen when the demand is packed. Without the
// restriction, free machines in several zones would count as room for a job that the scheduler cannot place on them.
func (d *demand) applySameZone(j *model.Job) {
	if !j.Spec.SameZone || len(j.Tasks) < 2 || d.zone >= 0 {
		return
	}
	d.sameZone = true
	for i := range j.Tasks {
		if r := j.Tasks[i].Run; r != nil && !r.Machine.Suspect {
			d.zone = r.Machine.Zone
			return
		}
	}
}

// chooseZone returns the zone for a demand that must be placed in a single zone: the first one with room for all tasks,
// or else the one in which the missing machines cost least. If no zone has machines to request, it is the zone with the
// most room, where the machines are kept until more can be requested.
func (p *planner) chooseZone(d *demand) int32 {
	room, complete := p.roomByZone(d)
	if complete >= 0 {
		return complete
	}
	chosen, lowestCost, mostRoom := int32(-1), math.Inf(1), -1
	for zone, fits := range room {
		inZone := *d
		inZone.zone = int32(zone)
		missing := d.count - fits
		cost := math.Inf(1)
		if offer, ok := p.autoscaler.cheapest(p.model, &inZone, missing, p.now); ok {
			price, _ := pricePerTask(p.model, &inZone, offer, missing)
			cost = price * float64(missing)
		}
		if cost < lowestCost || cost == lowestCost && fits > mostRoom {
			chosen, lowestCost, mostRoom = int32(zone), cost, fits
		}
	}
	return chosen
}

// roomByZone returns how many tasks of a demand fit on the suitable slots in each zone, and the first zone in which all
// of them fit, or -1.
func (p *planner) roomByZone(d *demand) (room []int, complete int32) {
	room = make([]int, p.model.Zones.Len())
	isAffordable := affordable(p.model, d)
	for _, s := range p.slots {
		zone := s.offer.Zone
		if !d.suits(s) || !d.canUse(s) || d.maxPriceFactor > 0 && !s.used && !isAffordable(s.offer) {
			continue
		}
		room[zone] += s.free.Count(d.taskResources, d.count-room[zone])
		if room[zone] >= d.count {
			return room, zone
		}
	}
	return room, -1
}
