package scheduler

import (
	"cmp"
	"slices"
	"sort"

	"fieldhill/internal/config"
	"fieldhill/internal/model"
	"fieldhill/internal/scheduling/pending"
)

// This file places gangs, all members or none.

// holderWaitShare is the part of its time to start that a gang waits for machines that have its image.
const holderWaitShare = 0.15

// anyZone is in the place of a zone where a gang may span them.
const anyZone = -1

// gangPlacement is a gang whose turn it is.
type gangPlacement struct {
	round   *round
	turn    *placementTurn
	job     *model.Job
	need    Resources // of a member
	members int       // that wait
	// withinQuota says that its team's limit holds all members; if not, shortfall is what is in the way.
	withinQuota bool
	shortfall   teamShortfall
}

// placeGang places all tasks of a gang or none. A gang that lost a member is preempted
// as a whole first; its next attempt begins when nothing of the old one is left.
func (r *round) placeGang(t *placementTurn) {
	j := t.job
	if j.Live > 0 {
		r.endAttempt(j)
		return
	}
	g := gangPlacement{round: r, turn: t, job: j, need: t.need, members: j.Waiting()}
	if !g.checkQuota() || g.placeOnFree() {
		return
	}
	willFit := false
	if g.members == 1 {
		willFit = r.preemptForTask(t)
	} else {
		willFit = g.claimRoom()
	}
	if willFit && !g.withinQuota {
		r.preemptInTeam(j, g.members, g.shortfall)
	}
}

// endAttempt preempts what is left of a gang that lost a member.
func (r *round) endAttempt(j *model.Job) {
	j.Scheduling.PendingReason = pending.Reason{Code: pending.AttemptEnding, Count: j.Live}
	for i := range j.Tasks {
		run := j.Tasks[i].Run
		if run == nil || run.Stop {
			continue
		}
		if run.Phase == model.Fetching && r.model.IsLongFetch(j, run.Machine) {
			continue // its fetch would be aborted, and begin anew with the next attempt
		}
		r.binder.Preempt(run, false, "gang member lost")
	}
}

// checkQuota tells whether the gang's team may have it, at once or when less urgent work of the team has left.
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

// placeOnFree places the gang on free machines. It tells whether its turn is over: it is placed, or there are machines
// and it waits for something else.
func (g *gangPlacement) placeOnFree() bool {
	r, t, j := g.round, g.turn, g.job
	kind, failedBefore := kindOf(j), j.Observed.FailedOn != nil
	if !failedBefore && coveredBy(r.infeasible.unplaceable, kind, g.need) {
		return false // not even one member finds room
	}
	plan := g.plan()
	switch {
	case plan == nil:
		if len(t.candidates) == 0 && !t.zoneLimited && !failedBefore {
			r.infeasible.unplaceable = append(r.infeasible.unplaceable, demandShape{kind, g.need})
		}
		return false
	case r.directives.AwaitingHeartbeats && slices.ContainsFunc(plan, g.isRemote):
		j.Scheduling.PendingReason = pending.Reason{Code: pending.AwaitingHeartbeats}
	case !g.withinQuota: // the machines are there: now its team's less urgent work leaves
		for _, view := range plan {
			view.claim(g.need)
		}
		r.preemptInTeam(j, g.members, g.shortfall)
	case g.preemptAtImageHolders(plan):
		j.Scheduling.PendingReason = pending.Reason{Code: pending.Preempting}
	default:
		g.bind(plan)
	}
	return true
}

func (g *gangPlacement) isRemote(view *machineView) bool {
	return g.round.isRemote(locality(g.round.model, g.job, view.machine))
}

// bind places the members, all with the attempt after the latest of any of them.
func (g *gangPlacement) bind(plan []*machineView) {
	attempt := uint32(0)
	for i := range g.job.Tasks {
		attempt = max(attempt, g.job.Tasks[i].Attempt)
	}
	for _, view := range plan {
		g.round.bind(g.job, view, g.job.NextWaiting(), attempt+1, g.round.scoreOn(g.job, view.machine))
	}
}

// plan finds a machine for every member, or nil. Each zone is tried by
// itself when the job must stay in one.
func (g *gangPlacement) plan() []*machineView {
	t := g.turn
	g.round.buildCandidates(t)
	if !g.job.Spec.SameZone {
		plan, _ := g.planInZone(anyZone)
		return plan
	}
	var best []*machineView
	var bestSum float64
	tried := map[int32]bool{}
	for i := range t.candidates {
		zone := t.candidates[i].view.machine.Zone
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

// planInZone finds room for the members in a zone, or in all, and the sum of the scores.
func (g *gangPlacement) planInZone(zone int32) (plan []*machineView, sum float64) {
	maxPerZone := len(g.job.Tasks)
	if g.job.Spec.Spread {
		maxPerZone = (len(g.job.Tasks) + 1) / 2
	}
	perZone := map[int32]int{}
	order := slices.Clone(g.turn.candidates)
	slices.SortFunc(order, func(a, b candidate) int {
		if c := cmp.Compare(a.score, b.score); c != 0 {
			return c
		}
		return cmp.Compare(a.index, b.index)
	})
	// A member's place does not change the score of the next one: the gang is
	// placed in one round, as the round began.
	for i := range order {
		c := &order[i]
		candidateZone := c.view.machine.Zone
		if zone >= 0 && candidateZone != zone {
			continue
		}
		for k := 1.0; len(plan) < g.members && perZone[candidateZone] < maxPerZone; k++ {
			g.round.examined++
			if !g.round.hasResources(g.job, c.view, g.need.times(k)) {
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

// claimRoom claims room for all members, in one zone if it must be:
// where preempting others costs least. If there is not enough anywhere,
// the first gang in the queue claims what it finds in the best zone: without
// that, gangs of several machines would wait for as long as smaller ones come. It
// tells whether there will be room for all.
func (g *gangPlacement) claimRoom() bool {
	r, j := g.round, g.job
	if j.Spec.Spread || j.Observed.Faulty {
		return false
	}
	failedBefore := j.Observed.FailedOn != nil
	demand := gangDemand{demandShape{preemptionKindOf(j), g.need}, g.members, j.Spec.SameZone}
	if r.partialGangHeld && !r.searchEveryGang && !failedBefore && r.infeasible.coversGang(demand) {
		return false
	}
	best, _ := g.cheapestRoom()
	complete := len(best) == g.members
	if !complete {
		if !failedBefore {
			r.infeasible.gangs = append(r.infeasible.gangs, demand)
		}
		if r.partialGangHeld {
			return false
		}
		r.partialGangHeld = true
	}
	mayPreempt := complete && !r.isPatient(j) // nothing is preempted for a part of a gang
	for i := range best {
		best[i].view.claim(g.need)
		if mayPreempt {
			r.preemptAll(&best[i], "capacity for job "+j.Spec.ID)
		}
	}
	return complete
}

// gangRoom is the room for members of a gang in a zone.
type gangRoom struct {
	choices         []preemptionChoice // room for one member each; runs are those of the earlier ones there too
	possibleMembers int                // members that find room when other gangs end
}

// cheapestRoom finds the room for the gang, or for as many members as possible, that costs least: what is undone by
// preempting others, and what the members lose while the image is fetched.
func (g *gangPlacement) cheapestRoom() (best []preemptionChoice, bestCost float64) {
	for _, room := range g.roomByZone() {
		if room.possibleMembers < g.members || len(room.choices) == 0 {
			continue
		}
		sort.Stable(choiceHeap(room.choices))
		list := room.choices[:min(g.members, len(room.choices))]
		cost := 0.0
		for i := range list {
			cost += list[i].cost
		}
		if len(list) > len(best) ||
			len(list) == len(best) && (cost < bestCost || cost == bestCost && list[0].index < best[0].index) {
			best, bestCost = list, cost
		}
	}
	return best, bestCost
}

// roomByZone lists the room for members in each zone, or in all together if the gang may span them.
func (g *gangPlacement) roomByZone() map[int32]*gangRoom {
	r, j := g.round, g.job
	rooms := map[int32]*gangRoom{}
	for i := range r.machines {
		view := &r.machines[i]
		if !r.mayUse(j, view, g.need) || !r.serviceAllowed(j, view) {
			continue
		}
		zone := view.machine.Zone
		if !j.Spec.SameZone {
			zone = anyZone
		}
		room := rooms[zone]
		if room == nil {
			room = &gangRoom{}
			rooms[zone] = room
		}
		free := view.capacity.Minus(Reserved(view.machine))
		for room.possibleMembers < g.members && free.Contains(g.need) {
			room.possibleMembers++
			free = free.Minus(g.need)
		}
		room.choices = g.appendChoices(room.choices, view, i)
	}
	return rooms
}

// appendChoices adds the room for members on a machine: each choice costs what it adds to those before it.
func (g *gangPlacement) appendChoices(choices []preemptionChoice, view *machineView, index int) []preemptionChoice {
	r, j := g.round, g.job
	previousCost := 0.0
	for k := 1.0; int(k) <= g.members; k++ {
		need := g.need.times(k)
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

// preemptAtImageHolders makes room for a gang on machines that have its image, though there are free ones that have
// not, if less is undone by that than its members would lose while they fetch. That is DAD's wait for a busy holder
// as far as a gang can use it: where an image takes ten times as long as the two rounds, low-priority work leaves a
// holder within a moment, and members that fetch for very different times would not meet before the first of them times
// out. It tells whether the gang waits for that, which it does for a part of its time only.
func (g *gangPlacement) preemptAtImageHolders(plan []*machineView) bool {
	r, j := g.round, g.job
	if r.directives.AwaitingHeartbeats || j.Spec.Spread || j.Observed.Faulty {
		return false
	}
	slowest := 0.0
	for _, view := range plan {
		slowest = max(slowest, fetchSeconds(r.model, j, view.machine))
	}
	within, ok := r.params.startWithin(j)
	roomSince := j.Scheduling.LocalRoomSince
	if !ok || slowest == 0 || roomSince != 0 && r.now-roomSince > config.Seconds(within*holderWaitShare) {
		return false
	}
	best, cost := g.cheapestRoom()
	if len(best) < g.members || cost >= slowest*max(j.Spec.CPUs, minCostCPUs)*float64(g.members) {
		return false
	}
	waits := false
	for _, c := range best {
		if fetchSeconds(r.model, j, c.view.machine) >= slowest {
			return false // its last member would start no sooner
		}
		waits = waits || len(c.runs) > 0 || !r.hasResources(j, c.view, g.need)
	}
	if !waits {
		return false
	}
	if roomSince == 0 {
		j.Scheduling.LocalRoomSince = r.now
	}
	for i := range best {
		best[i].view.claim(g.need)
		r.preemptAll(&best[i], "image locality, for job "+j.Spec.ID)
	}
	return true
}
