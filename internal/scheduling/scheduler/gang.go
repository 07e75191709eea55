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

// placeGang places all tasks of a gang or none. A gang that lost a member is stopped
// as a whole first; its next attempt begins when nothing of the old one is left.
func (s *Scheduler) placeGang(m *model.Model, t *placementTurn, now model.Time, binder Binder) {
	j := t.job
	if j.Live > 0 {
		j.Scheduling.PendingReason = pending.Reason{Code: pending.AttemptEnding, Count: j.Live}
		for i := range j.Tasks {
			if r := j.Tasks[i].Run; r != nil && !r.Stop {
				if r.Phase == model.Fetching && m.IsLongFetch(j, r.Machine) {
					continue // its fetch would be given up, and begin anew with the next attempt
				}
				binder.Preempt(r, false, "gang member lost")
			}
		}
		return
	}
	memberCount := j.Waiting()
	var shortfall teamShortfall
	allowed := s.teamLimitAllows(j, memberCount)
	if !allowed {
		j.Scheduling.PendingReason = s.TeamReason(j, memberCount)
		feasible := false
		if shortfall, feasible = s.teamPreemption(m, j, memberCount); !feasible {
			return
		}
	} else {
		j.Scheduling.PendingReason = pending.Reason{Code: pending.NoGangCapacity, Count: memberCount}
	}
	attempt := uint32(0)
	for i := range j.Tasks {
		attempt = max(attempt, j.Tasks[i].Attempt)
	}
	kind := kindOf(j)
	if j.Observed.FailedOn != nil || !coveredBy(s.unplaceable, kind, t.need) { // else not even one member finds room
		plan := s.planGang(m, t, memberCount)
		if s.AwaitingHeartbeats &&
			slices.ContainsFunc(
				plan,
				func(view *machineView) bool { return locality(m, j, view.machine)*s.Params.Beta >= s.Params.Threshold },
			) {
			j.Scheduling.PendingReason = pending.Reason{Code: pending.AwaitingHeartbeats}
			return
		}
		if plan != nil {
			if !allowed { // the machines are there: now its team's less urgent work leaves
				for _, view := range plan {
					view.claimed = view.claimed.Plus(t.need)
				}
				s.preemptInTeam(j, memberCount, shortfall, now, binder)
				return
			}
			if s.preemptAtImageHolders(m, t, memberCount, plan, now, binder) {
				j.Scheduling.PendingReason = pending.Reason{Code: pending.Preempting}
				return
			}
			for _, view := range plan {
				s.bind(
					m,
					j,
					view,
					j.NextWaiting(),
					attempt+1,
					s.score(locality(m, j, view.machine), load(m, view.machine)),
					binder,
				)
			}
			return
		}
		if len(t.candidates) == 0 && !t.zoneLimited && j.Observed.FailedOn == nil {
			s.unplaceable = append(s.unplaceable, demandShape{kind, t.need})
		}
	}
	found := false
	if memberCount == 1 {
		found = s.preemptForTask(m, t, now, binder)
	} else {
		found = s.preemptForGang(m, t, memberCount, now, binder)
	}
	if found && !allowed {
		s.preemptInTeam(j, memberCount, shortfall, now, binder)
	}
}

// planGang finds a machine for every member, or nil. Each zone is tried by
// itself when the job must stay in one.
func (s *Scheduler) planGang(m *model.Model, t *placementTurn, n int) []*machineView {
	s.buildCandidates(m, t)
	if !t.job.Spec.SameZone {
		plan, _ := s.planInZone(m, t, n, -1)
		return plan
	}
	var best []*machineView
	var bestSum float64
	tried := map[int32]bool{}
	for i := range t.candidates {
		z := t.candidates[i].view.machine.Zone
		if tried[z] {
			continue
		}
		tried[z] = true
		if plan, planSum := s.planInZone(m, t, n, z); plan != nil && (best == nil || planSum < bestSum) {
			best, bestSum = plan, planSum
		}
	}
	return best
}

// planInZone finds room for n members in a zone, or in all (-1), and the sum of the
// scores.
func (s *Scheduler) planInZone(m *model.Model, t *placementTurn, n int, zone int32) (plan []*machineView, sum float64) {
	need := t.need
	limit := len(t.job.Tasks)
	if t.job.Spec.Spread {
		limit = (len(t.job.Tasks) + 1) / 2
	}
	perZone := map[int32]int{}
	order := slices.Clone(t.candidates)
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
		if zone >= 0 && c.view.machine.Zone != zone {
			continue
		}
		for k := 1.0; len(plan) < n && perZone[c.view.machine.Zone] < limit; k++ {
			s.Examined++
			if !s.hasResources(m, t.job, c.view, Resources{need.CPUs * k, need.GPUs * k, need.MemoryGB * k}) {
				break
			}
			perZone[c.view.machine.Zone]++
			plan = append(plan, c.view)
			sum += c.score
		}
		if len(plan) == n {
			return plan, sum
		}
	}
	return nil, 0
}

// gangDemand is a gang that found no room in this round, also by stopping others.
type gangDemand struct {
	demandShape
	members  int
	sameZone bool
}

// gangKnownUnplaceable tells whether a gang needs at least what one that was served before it did not find: it stands
// behind it, so it may stop no more, and what was kept since only grew. With a hundred gangs waiting each of them
// looked through all machines in each round.
func (s *Scheduler) gangKnownUnplaceable(need demandShape, members int, oneZone bool) bool {
	for i := range s.unplaceableGangs {
		g := &s.unplaceableGangs[i]
		if g.kind == need.kind && need.need.Contains(g.need) && members >= g.members && (oneZone || !g.sameZone) {
			return true
		}
	}
	return false
}

// preemptForGang keeps room for all members of a gang, in one zone if it must be:
// where stopping others does the least harm. If there is not enough anywhere,
// the first gang in the queue keeps what it finds in the best zone: without
// that, gangs of several machines would wait for as long as smaller ones come. It
// tells whether there will be room for all.
func (s *Scheduler) preemptForGang(m *model.Model, t *placementTurn, n int, now model.Time, binder Binder) bool {
	j := t.job
	if j.Spec.Spread || j.Observed.Faulty {
		return false
	}
	kind := preemptionKindOf(j)
	demand := demandShape{kind, t.need}
	if s.partialGangHeld && !s.searchEveryGang && j.Observed.FailedOn == nil &&
		s.gangKnownUnplaceable(demand, n, j.Spec.SameZone) {
		return false
	}
	best, _ := s.cheapestGangRoom(m, t, n, now)
	complete := len(best) == n
	if !complete {
		if j.Observed.FailedOn == nil {
			s.unplaceableGangs = append(s.unplaceableGangs, gangDemand{demand, n, j.Spec.SameZone})
		}
		if s.partialGangHeld {
			return false
		}
		s.partialGangHeld = true
	}
	patient := s.AwaitingHeartbeats || now-j.Observed.KnownSince < s.preemptAfter(j)
	for _, o := range best {
		o.view.claimed = o.view.claimed.Plus(t.need)
		if complete && !patient { // nothing is stopped for a part of a gang
			for _, r := range o.runs {
				binder.Preempt(r, false, "capacity for job "+j.Spec.ID)
			}
			o.view.stoppingKnown = false
		}
	}
	return complete
}

// cheapestGangRoom finds the room for a gang, or for as many members as possible, that costs least: what is undone by
// stopping others, and what the members lose while the image is fetched.
func (s *Scheduler) cheapestGangRoom(
	m *model.Model,
	t *placementTurn,
	n int,
	now model.Time,
) (best []preemptionChoice, bestCost float64) {
	j := t.job
	// room for one more member each; runs are those of the earlier ones there too
	zones := map[int32][]preemptionChoice{}
	possibleMembers := map[int32]int{} // members that find room when other gangs end
	for i := range s.machines {
		view := &s.machines[i]
		if !s.mayUse(m, j, view, t.need) || !s.serviceAllowed(j, view) {
			continue
		}
		zone := view.machine.Zone
		if !j.Spec.SameZone {
			zone = -1
		}
		for r := view.capacity.Minus(Reserved(view.machine)); possibleMembers[zone] < n && r.Contains(t.need); r = r.Minus(t.need) {
			possibleMembers[zone]++
		}
		previousCost := 0.0
		for k := 1.0; int(k) <= n; k++ {
			need := Resources{t.need.CPUs * k, t.need.GPUs * k, t.need.MemoryGB * k}
			if !view.capacity.Minus(Reserved(view.machine)).Minus(view.claimed).Contains(need) {
				break
			}
			runs, cost, ok := s.victims(j, view, need, model.Production, now)
			if !ok {
				break
			}
			zones[zone] = append(
				zones[zone],
				preemptionChoice{view, cost - previousCost + fetchIdleCost(m, j, view.machine), runs, i},
			)
			previousCost = cost
		}
	}
	for zone, list := range zones {
		if possibleMembers[zone] < n {
			continue
		}
		sort.Stable(choiceHeap(list))
		list = list[:min(n, len(list))]
		cost := 0.0
		for _, o := range list {
			cost += o.cost
		}
		if len(list) > len(best) ||
			len(list) == len(best) && (cost < bestCost || cost == bestCost && list[0].index < best[0].index) {
			best, bestCost = list, cost
		}
	}
	return best, bestCost
}

// preemptAtImageHolders makes room for a gang on machines that have its image, though there are free ones that have
// not, if less is undone by that than its members would lose while they fetch. That is DAD's wait for a busy holder
// as far as a gang can use it: where an image takes ten times as long as the two rounds, low work leaves a holder
// within a moment, and members that fetch for very different times would not meet before the first of them gives up.
// It tells whether the gang waits for that, which it does for a part of its time only.
func (s *Scheduler) preemptAtImageHolders(
	m *model.Model,
	t *placementTurn,
	n int,
	plan []*machineView,
	now model.Time,
	binder Binder,
) bool {
	j := t.job
	if s.AwaitingHeartbeats || j.Spec.Spread || j.Observed.Faulty {
		return false
	}
	slowest := 0.0
	for _, view := range plan {
		slowest = max(slowest, fetchSeconds(m, j, view.machine))
	}
	within, ok := s.startWithin(j)
	if !ok || slowest == 0 ||
		j.Scheduling.LocalRoomSince != 0 && now-j.Scheduling.LocalRoomSince > config.Seconds(within*0.15) {
		return false
	}
	best, cost := s.cheapestGangRoom(m, t, n, now)
	if len(best) < n || cost >= slowest*max(j.Spec.CPUs, 0.1)*float64(n) {
		return false
	}
	waits := false
	for _, o := range best {
		if fetchSeconds(m, j, o.view.machine) >= slowest {
			return false // its last member would start no sooner
		}
		waits = waits || len(o.runs) > 0 || !s.hasResources(m, j, o.view, t.need)
	}
	if !waits {
		return false
	}
	if j.Scheduling.LocalRoomSince == 0 {
		j.Scheduling.LocalRoomSince = now
	}
	for _, o := range best {
		o.view.claimed = o.view.claimed.Plus(t.need)
		for _, r := range o.runs {
			binder.Preempt(r, false, "image locality, for job "+j.Spec.ID)
		}
		o.view.stoppingKnown = false
	}
	return true
}
