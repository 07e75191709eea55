package scheduler

import "fieldhill/internal/model"

// infeasible is what found no room in this round: jobs of the same shape that need at least as much find
// none either, since room only shrinks in a round. It keeps a round's work from growing with what waits.
type infeasible struct {
	unplaceable   []demandShape // found no free room
	unpreemptable []demandShape // found none by preempting others either
	gangs         []gangDemand  // gangs that found none either way
}

func (f *infeasible) begin() {
	f.unplaceable, f.unpreemptable, f.gangs = f.unplaceable[:0], f.unpreemptable[:0], f.gangs[:0]
}

// demandShape is what a job asks of a machine.
type demandShape struct {
	kind shapeKind
	need Resources
}

// shapeKind is what two jobs must have in common for one's search to say something of the other's.
type shapeKind struct {
	types                                             string
	zone                                              int32
	spot, service, needsGPUs, production, lowPriority bool
	// These only where others are preempted.
	priority   model.Priority
	guaranteed bool
	team       *model.Team
}

func kindOf(j *model.Job) shapeKind {
	return shapeKind{
		types:       j.TypesKey,
		zone:        j.Zone,
		spot:        j.Spec.Spot,
		service:     j.Kind == model.Service,
		needsGPUs:   j.Spec.GPUs > 0,
		production:  j.Priority == model.Production,
		lowPriority: j.Priority == model.Low,
	}
}

// preemptionKindOf is the kind where others are preempted: whom a job may preempt is part of it.
func preemptionKindOf(j *model.Job) shapeKind {
	k := kindOf(j)
	k.priority, k.guaranteed, k.team = j.Priority, j.Scheduling.Guaranteed, j.Team
	return k
}

// coveredBy tells whether a need is at least one that found nothing.
func coveredBy(list []demandShape, k shapeKind, need Resources) bool {
	for i := range list {
		if list[i].kind == k && need.Contains(list[i].need) {
			return true
		}
	}
	return false
}

// gangDemand is a gang that found no room in this round, also by preempting others.
type gangDemand struct {
	demandShape
	members  int
	sameZone bool
}

// coversGang tells whether a gang needs at least what one that was served before it did not find: it is behind it
// in the queue, so it may preempt no more, and what was claimed since only grew. With a hundred gangs waiting each of
// them looked through all machines in each round.
func (f *infeasible) coversGang(demand gangDemand) bool {
	for i := range f.gangs {
		g := &f.gangs[i]
		if g.kind == demand.kind && demand.need.Contains(g.need) && demand.members >= g.members &&
			(demand.sameZone || !g.sameZone) {
			return true
		}
	}
	return false
}
