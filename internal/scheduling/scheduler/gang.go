package scheduler

import (
	"cmp"
	"slices"
	"sort"

	"fieldhill/internal/config"
	"fieldhill/internal/model"
	"fieldhill/internal/scheduling/pending"
)

// This file implements gang placement: all members are placed or none.

// gangLocalWaitShare is how long a gang waits for machines that have its image, as a share of its start time limit.
const gangLocalWaitShare = 0.15

// anyZone stands for all zones together, for gangs that may span zones.
const anyZone = -1

// gangPlacement is an attempt to place a gang in the current round.
type gangPlacement struct {
	round     *round
	placement *jobPlacement
	job       *model.Job
	need      Resources // per member
	members   int       // number of waiting members
	// withinQuota reports whether the team limit allows all members. If not, shortfall is the amount that exceeds the
	// limit.
	withinQuota bool
	shortfall   teamShortfall
}

// placeGang places all tasks of a gang or none. If the gang lost a member, the rest of it is preempted first; the next
// attempt starts when no task of the previous one is left.
func (r *round) placeGang(p *jobPlacement) {
	j := p.job
	if j.PlacedTasks > 0 {
		r.endAttempt(j)
		return
	}
	g := gangPlacement{round: r, placement: p, job: j, need: p.need, members: j.Waiting()}
	if !g.checkQuota() || g.placeOnFreeMachines() {
		return
	}
	claimed := false
	if g.members == 1 {
		claimed = r.preemptForTask(p)
	} else {
		claimed = g.claimCapacity()
	}
	switch {
	case claimed && !g.withinQuota:
		r.preemptInTeam(j, g.members, g.shortfall)
	case claimed && g.members > 1:
		r.quota.reserve(j, g.members) // as preemptForTask does for one member
	}
}

// endAttempt preempts the remaining members of a gang that has lost a member.
func (r *round) endAttempt(j *model.Job) {
	j.Scheduling.PendingReason = pending.Reason{Code: pending.AttemptEnding, Count: j.PlacedTasks}
	for i := range j.Tasks {
		run := j.Tasks[i].Run
		if run == nil || run.Stop {
			continue
		}
		if run.Phase == model.Fetching && r.model.IsLongFetch(j, run.Machine) {
			continue // stopping it would abort the fetch, and the next attempt would restart it
		}
		r.binder.Preempt(run, false, "gang member lost")
	}
}

// checkQuota reports whether the team limit allows the gang, either now or once less urgent work of the team is
// preempted, and sets the pending reason of the gang.
func (g *gangPlacement) checkQuota() bool {
	r, j := g.round, g.job
	g.withinQuota = r.quota.allows(j, g.members)
	if g.withinQuota {
		j.Scheduling.PendingReason = pending.Reason{Code: pending.NoGangCapacity, Count: g.members}
		return true
	}
	j.Scheduling.PendingReason = r.quota.reason(j, g.members)
	feasible := false
	g.shortfall, feasible = r.teamPreemption(j, g.members)
	return feasible
}

// placeOnFreeMachines places the gang on free machines. It reports whether the gang needs no further step in this
// round: the gang is placed, or enough machines are free but the gang waits for another condition.
func (g *gangPlacement) placeOnFreeMachines() bool {
	r, p, j := g.round, g.placement, g.job
	key, failedBefore := constraintKeyOf(j), j.Observed.FailedOn != nil
	if !failedBefore && isKnownInfeasible(r.infeasible.unplaceable, key, g.need) {
		return false // no machine has resources for even one member
	}
	plan := g.plan()
	switch {
	case plan == nil:
		if len(p.candidates) == 0 && !p.zoneLimited && !failedBefore {
			r.infeasible.unplaceable = append(r.infeasible.unplaceable, demandShape{key, g.need})
		}
		return false
	case r.directives.AwaitingHeartbeats && slices.ContainsFunc(plan, g.isRemote):
		j.Scheduling.PendingReason = pending.Reason{Code: pending.AwaitingHeartbeats}
	case !g.withinQuota: // machines are available; preempt less urgent work of the team
		for _, view := range plan {
			view.claim(g.need)
		}
		r.preemptInTeam(j, g.members, g.shortfall)
	case g.preemptForImageLocality(plan):
		j.Scheduling.PendingReason = pending.Reason{Code: pending.Preempting}
	default:
		g.bind(plan)
	}
	return true
}

func (g *gangPlacement) isRemote(view *machineView) bool {
	return g.round.isRemote(locality(g.round.model, g.job, view.machine))
}

// bind places all members with the same attempt number, one above the highest of any member.
func (g *gangPlacement) bind(plan []*machineView) {
	attempt := uint32(0)
	for i := range g.job.Tasks {
		attempt = max(attempt, g.job.Tasks[i].Attempt)
	}
	for _, view := range plan {
		g.round.bind(g.job, view, g.job.NextWaiting(), attempt+1, g.round.scoreOn(g.job, view.machine))
	}
}

// plan returns a machine for every member, or nil. If the gang must stay in one zone, each zone is tried separately.
func (g *gangPlacement) plan() []*machineView {
	p := g.placement
	g.round.buildCandidates(p)
	if !g.job.Spec.SameZone {
		plan, _ := g.planInZone(anyZone)
		return plan
	}
	var best []*machineView
	var bestSum float64
	tried := map[int32]bool{}
	for i := range p.candidates {
		zone := p.candidates[i].view.machine.Zone
		if tried[zone] {
			continue
		}
		tried[zone] = true
		if plan, planSum := g.planInZone(zone); plan != nil && (best == nil || planSum < bestSum) {
			best, bestSum = plan, planSum
		}
	}
	return best
}

// planInZone finds machines for all members in a zone, or in all zones together if zone is anyZone. It returns a nil
// plan if they do not all fit, or else the machines and the sum of their scores.
func (g *gangPlacement) planInZone(zone int32) (plan []*machineView, sum float64) {
	maxPerZone := len(g.job.Tasks)
	if g.job.Spec.Spread {
		maxPerZone = (len(g.job.Tasks) + 1) / 2
	}
	perZone := map[int32]int{}
	order := slices.Clone(g.placement.candidates)
	slices.SortFunc(order, func(a, b candidate) int {
		if c := cmp.Compare(a.score, b.score); c != 0 {
			return c
		}
		return cmp.Compare(a.index, b.index)
	})
	// Scores are not updated as members are assigned: all members are placed on the basis of the state at the beginning
	// of the round.
	for i := range order {
		c := &order[i]
		candidateZone := c.view.machine.Zone
		if zone >= 0 && candidateZone != zone {
			continue
		}
		for k := 1.0; len(plan) < g.members && perZone[candidateZone] < maxPerZone; k++ {
			g.round.examined++
			if !g.round.hasResources(g.job, c.view, g.need.Scaled(k)) {
				break
			}
			perZone[candidateZone]++
			plan = append(plan, c.view)
			sum += c.score
		}
		if len(plan) == g.members {
			return plan, sum
		}
	}
	return nil, 0
}

// claimCapacity claims resources for all members where preemption costs least, in a single zone if the gang requires
// it. If no zone has enough, the first such gang in the queue that is not faulty claims what is available in the best
// zone. Without this, smaller gangs that keep arriving would keep a multi-machine gang waiting indefinitely.
// claimCapacity reports whether the claims suffice for all members.
func (g *gangPlacement) claimCapacity() bool {
	r, j := g.round, g.job
	if j.Spec.Spread {
		return false
	}
	failedBefore := j.Observed.FailedOn != nil
	demand := gangDemand{demandShape{preemptionKeyOf(j), g.need}, g.members, j.Spec.SameZone}
	if r.partialGangClaimed && !r.searchEveryGang && !failedBefore && r.infeasible.isGangInfeasible(demand) {
		return false
	}
	best, _ := g.cheapestCapacity()
	complete := len(best) == g.members
	if !complete {
		if !failedBefore {
			r.infeasible.gangs = append(r.infeasible.gangs, demand)
		}
		if r.partialGangClaimed || j.Observed.Faulty {
			return false
		}
		r.partialGangClaimed = true
	}
	mayPreempt := complete && !r.preemptionDelayed(j) // preempt nothing if not all members would fit
	for i := range best {
		best[i].view.claim(g.need)
		if mayPreempt {
			r.preemptAll(&best[i], "capacity for job "+j.Spec.ID)
		}
	}
	return complete
}

// gangCapacity is the capacity for members of a gang in one zone, or in all zones together.
type gangCapacity struct {
	choices    []preemptionChoice // one per member; runs include those of earlier choices on the machine
	maxMembers int                // number of members that would fit if all work except services ended
}

// cheapestCapacity finds the cheapest capacity for the gang, or for as many members as possible. The cost is the work
// lost by preemption plus the time that members would be idle while their image is fetched.
func (g *gangPlacement) cheapestCapacity() (best []preemptionChoice, bestCost float64) {
	for _, capacity := range g.capacityByZone() {
		if capacity.maxMembers < g.members || len(capacity.choices) == 0 {
			continue
		}
		sort.Stable(choiceHeap(capacity.choices))
		choices := capacity.choices[:min(g.members, len(capacity.choices))]
		cost := 0.0
		for i := range choices {
			cost += choices[i].cost
		}
		if len(choices) > len(best) ||
			len(choices) == len(best) && (cost < bestCost || cost == bestCost && choices[0].index < best[0].index) {
			best, bestCost = choices, cost
		}
	}
	return best, bestCost
}

// capacityByZone returns the capacity in each zone, or in all zones together if the gang may span them.
func (g *gangPlacement) capacityByZone() map[int32]*gangCapacity {
	r, j := g.round, g.job
	capacities := map[int32]*gangCapacity{}
	for i := range r.machines {
		view := &r.machines[i]
		if !r.mayUse(j, view, g.need) || !r.serviceAllowed(j, view) {
			continue
		}
		zone := view.machine.Zone
		if !j.Spec.SameZone {
			zone = anyZone
		}
		capacity := capacities[zone]
		if capacity == nil {
			capacity = &gangCapacity{}
			capacities[zone] = capacity
		}
		free := view.capacity.Minus(ServiceUsage(view.machine))
		for capacity.maxMembers < g.members && free.Contains(g.need) {
			capacity.maxMembers++
			free = free.Minus(g.need)
		}
		capacity.choices = g.appendChoices(capacity.choices, view, i)
	}
	return capacities
}

// appendChoices appends one choice for each further member that fits on a machine. The cost of a choice is what it adds
// to the cost of the previous choices on the machine.
func (g *gangPlacement) appendChoices(choices []preemptionChoice, view *machineView, index int) []preemptionChoice {
	r, j := g.round, g.job
	previousCost := 0.0
	for k := 1.0; int(k) <= g.members; k++ {
		need := g.need.Scaled(k)
		if !view.unclaimedWithoutServices().Contains(need) {
			break
		}
		runs, cost, ok := r.victims(j, view, need, model.Production)
		if !ok {
			break
		}
		added := cost - previousCost + fetchIdleCost(r.model, j, view.machine)
		choices = append(choices, preemptionChoice{view, added, runs, index})
		previousCost = cost
	}
	return choices
}

// preemptForImageLocality preempts work on machines that have the image of the gang, although machines without it are
// free, if that loses less work than the members would lose while fetching the image. For gangs this preemption
// replaces the wait for a busy local machine in DAD: where a fetch takes ten times as long as the two rounds of that
// wait, preempting low-priority work is quicker. Moreover, members with very different fetch times would not all start
// before the first one times out. The function reports whether the gang waits for these machines, which it does for a
// limited share of its start time limit.
func (g *gangPlacement) preemptForImageLocality(plan []*machineView) bool {
	r, j := g.round, g.job
	if r.directives.AwaitingHeartbeats || j.Spec.Spread || j.Observed.Faulty {
		return false
	}
	slowest := 0.0
	for _, view := range plan {
		slowest = max(slowest, fetchSeconds(r.model, j, view.machine))
	}
	within, ok := r.params.startWithin(j)
	waitingSince := j.Scheduling.LocalWaitSince
	if !ok || slowest == 0 || waitingSince != 0 && r.now-waitingSince > config.Seconds(within*gangLocalWaitShare) {
		return false
	}
	best, cost := g.cheapestCapacity()
	if len(best) < g.members || cost >= slowest*max(j.Spec.CPUs, minCostCPUs)*float64(g.members) {
		return false
	}
	mustWait := false
	for _, c := range best {
		if fetchSeconds(r.model, j, c.view.machine) >= slowest {
			return false // the slowest member would not start sooner
		}
		mustWait = mustWait || len(c.runs) > 0 || !r.hasResources(j, c.view, g.need)
	}
	if !mustWait {
		return false
	}
	if waitingSince == 0 {
		j.Scheduling.LocalWaitSince = r.now
	}
	for i := range best {
		best[i].view.claim(g.need)
		r.preemptAll(&best[i], "image locality, for job "+j.Spec.ID)
	}
	return true
}
