package scheduler

import "fieldhill/internal/model"

// infeasible records the demands that no machine could satisfy in this round. Free resources only shrink during a
// round, so a demand with the same constraints that is at least as large cannot be satisfied either. Skipping such
// demands keeps the cost of a round from growing with the number of waiting jobs.
type infeasible struct {
	unplaceable   []demandShape // do not fit on free resources
	unpreemptable []demandShape // do not fit with preemption either
	gangs         []gangDemand  // gangs that fit neither way
}

func (f *infeasible) reset() {
	f.unplaceable, f.unpreemptable, f.gangs = f.unplaceable[:0], f.unpreemptable[:0], f.gangs[:0]
}

// demandShape is what a task of a job requires of a machine.
type demandShape struct {
	key  constraintKey
	need Resources
}

// constraintKey holds the properties that two jobs must have in common for the search result of one to apply to the
// other.
type constraintKey struct {
	types                                             string
	zone                                              int32
	spot, service, needsGPUs, production, lowPriority bool
	// Set only for searches with preemption.
	priority   model.Priority
	guaranteed bool
	team       *model.Team
}

func constraintKeyOf(j *model.Job) constraintKey {
	return constraintKey{
		types:       j.TypesKey,
		zone:        j.Zone,
		spot:        j.Spec.Spot,
		service:     j.Kind == model.Service,
		needsGPUs:   j.Spec.GPUs > 0,
		production:  j.Priority == model.Production,
		lowPriority: j.Priority == model.Low,
	}
}

// preemptionKeyOf returns the key for searches with preemption. It also includes the properties that determine which
// runs a job may preempt.
func preemptionKeyOf(j *model.Job) constraintKey {
	k := constraintKeyOf(j)
	k.priority, k.guaranteed, k.team = j.Priority, j.Scheduling.Guaranteed, j.Team
	return k
}

// isKnownInfeasible reports whether a demand is at least as large as one that failed under the same key.
func isKnownInfeasible(demands []demandShape, k constraintKey, need Resources) bool {
	for i := range demands {
		if demands[i].key == k && need.Contains(demands[i].need) {
			return true
		}
	}
	return false
}

// gangDemand is the demand of a gang that fits nowhere in this round, even with preemption.
type gangDemand struct {
	demandShape
	members  int
	sameZone bool
}

// isGangInfeasible reports whether a gang needs at least as much as an earlier gang that did not fit. The gang is
// behind the earlier one in the queue, so it may not preempt more, and claims have only grown since. Without this
// check, each of a hundred waiting gangs would search all machines in each round.
func (f *infeasible) isGangInfeasible(demand gangDemand) bool {
	for i := range f.gangs {
		g := &f.gangs[i]
		if g.key == demand.key && demand.need.Contains(g.need) && demand.members >= g.members &&
			(demand.sameZone || !g.sameZone) {
			return true
		}
	}
	return false
}
