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

// gang places all tasks of a gang or none. A gang that lost a member is stopped
// as a whole first; its next attempt begins when nothing of the old one is left.
func (s *Sched) gang(m *model.Model, t *turn, now model.Time, do Doer) {
	j := t.j
	if j.Live > 0 {
		j.Why = pending.Reason{Code: pending.Ending, N: j.Live}
		for i := range j.Tasks {
			if r := j.Tasks[i].Run; r != nil && !r.Stop {
				if r.Phase == model.Fetching && m.LongFetch(j, r.Machine) {
					continue // its fetch would be given up, and begin anew with the next attempt
				}
				do.Stop(r, false, "the gang lost a member")
			}
		}
		return
	}
	n := j.Waiting()
	var leave teamLeave
	allowed := s.teamAllows(j, n)
	if !allowed {
		j.Why = s.TeamReason(j, n)
		could := false
		if leave, could = s.teamLeaves(m, j, n); !could {
			return
		}
	} else {
		j.Why = pending.Reason{Code: pending.Gang, N: n}
	}
	attempt := uint32(0)
	for i := range j.Tasks {
		attempt = max(attempt, j.Tasks[i].Attempt)
	}
	k := kindOf(j)
	if j.FailedOn != nil || !covered(s.full, k, t.need) { // else not even one member finds room
		plan := s.planGang(m, t, n)
		if s.Early && slices.ContainsFunc(plan, func(st *seat) bool { return locality(m, j, st.mc)*s.P.Beta >= s.P.Threshold }) {
			j.Why = pending.Reason{Code: pending.Listening}
			return
		}
		if plan != nil {
			if !allowed { // the machines are there: now its team's less urgent work leaves
				for _, st := range plan {
					st.claim = st.claim.Plus(t.need)
				}
				s.makeTeamRoom(j, n, leave, now, do)
				return
			}
			if s.roomAtHolders(m, t, n, plan, now, do) {
				j.Why = pending.Reason{Code: pending.Making}
				return
			}
			for _, st := range plan {
				s.put(m, j, st, j.NextWaiting(), attempt+1, s.score(locality(m, j, st.mc), load(m, st.mc)), do)
			}
			return
		}
		if len(t.cands) == 0 && !t.limited && j.FailedOn == nil {
			s.full = append(s.full, shape{k, t.need})
		}
	}
	found := false
	if n == 1 {
		found = s.makeRoom(m, t, now, do)
	} else {
		found = s.makeGangRoom(m, t, n, now, do)
	}
	if found && !allowed {
		s.makeTeamRoom(j, n, leave, now, do)
	}
}

// planGang finds a machine for every member, or nil. Each zone is tried by
// itself when the job must stay in one.
func (s *Sched) planGang(m *model.Model, t *turn, n int) []*seat {
	s.build(m, t)
	if !t.j.Spec.SameZone {
		plan, _ := s.planIn(m, t, n, -1)
		return plan
	}
	var best []*seat
	var bestSum float64
	tried := map[int32]bool{}
	for i := range t.cands {
		z := t.cands[i].st.mc.Zone
		if tried[z] {
			continue
		}
		tried[z] = true
		if plan, sum := s.planIn(m, t, n, z); plan != nil && (best == nil || sum < bestSum) {
			best, bestSum = plan, sum
		}
	}
	return best
}

// planIn finds room for n members in a zone, or in all (-1), and the sum of the
// scores.
func (s *Sched) planIn(m *model.Model, t *turn, n int, zone int32) (plan []*seat, sum float64) {
	need := t.need
	limit := len(t.j.Tasks)
	if t.j.Spec.Spread {
		limit = (len(t.j.Tasks) + 1) / 2
	}
	perZone := map[int32]int{}
	order := slices.Clone(t.cands)
	slices.SortFunc(order, func(a, b cand) int {
		if c := cmp.Compare(a.score, b.score); c != 0 {
			return c
		}
		return cmp.Compare(a.at, b.at)
	})
	// A member's place does not change the score of the next one: the gang is
	// placed in one round, as the round began.
	for i := range order {
		c := &order[i]
		if zone >= 0 && c.st.mc.Zone != zone {
			continue
		}
		for k := 1.0; len(plan) < n && perZone[c.st.mc.Zone] < limit; k++ {
			s.Looked++
			if !s.hasRoom(m, t.j, c.st, Room{need.CPUs * k, need.GPUs * k, need.Mem * k}) {
				break
			}
			perZone[c.st.mc.Zone]++
			plan = append(plan, c.st)
			sum += c.score
		}
		if len(plan) == n {
			return plan, sum
		}
	}
	return nil, 0
}

// gangShape is a gang that found no room in this round, also by stopping others.
type gangShape struct {
	shape
	members int
	oneZone bool
}

// crowded tells whether a gang needs at least what one that was served before it did not find: it stands behind it, so it may stop
// no more, and what was kept since only grew. With a hundred gangs waiting each of them looked through all machines in each round.
func (s *Sched) crowded(need shape, members int, oneZone bool) bool {
	for i := range s.gangs {
		g := &s.gangs[i]
		if g.kind == need.kind && need.need.Holds(g.need) && members >= g.members && (oneZone || !g.oneZone) {
			return true
		}
	}
	return false
}

// makeGangRoom keeps room for all members of a gang, in one zone if it must be:
// where stopping others does the least harm. If there is not enough anywhere,
// the first gang in the queue keeps what it finds in the best zone: without
// that, gangs of several machines would wait for as long as smaller ones come. It
// tells whether there will be room for all.
func (s *Sched) makeGangRoom(m *model.Model, t *turn, n int, now model.Time, do Doer) bool {
	j := t.j
	if j.Spec.Spread || j.Faulty {
		return false
	}
	k := kindToStop(j)
	hard := shape{k, t.need}
	if s.held && !s.plain && j.FailedOn == nil && s.crowded(hard, n, j.Spec.SameZone) {
		return false
	}
	best, _ := s.cheapest(m, t, n, now)
	whole := len(best) == n
	if !whole {
		if j.FailedOn == nil {
			s.gangs = append(s.gangs, gangShape{hard, n, j.Spec.SameZone})
		}
		if s.held {
			return false
		}
		s.held = true
	}
	patient := s.Early || now-j.Began < s.patience(j)
	for _, o := range best {
		o.st.claim = o.st.claim.Plus(t.need)
		if whole && !patient { // nothing is stopped for a part of a gang
			for _, r := range o.runs {
				do.Stop(r, false, "room for "+j.Spec.ID)
			}
			o.st.left = false
		}
	}
	return whole
}

// cheapest finds the room for a gang, or for as many members as possible, that costs least: what is undone by stopping others, and
// what the members lose while the image is fetched.
func (s *Sched) cheapest(m *model.Model, t *turn, n int, now model.Time) (best []option, bestCost float64) {
	j := t.j
	zones := map[int32][]option{} // room for one more member each; runs are those of the earlier ones there too
	could := map[int32]int{}      // members that find room when other gangs end
	for i := range s.seats {
		st := &s.seats[i]
		if !s.suits(m, j, st, t.need) || !s.serviceMay(j, st) {
			continue
		}
		zone := st.mc.Zone
		if !j.Spec.SameZone {
			zone = -1
		}
		for r := st.total.Minus(Firm(st.mc)); could[zone] < n && r.Holds(t.need); r = r.Minus(t.need) {
			could[zone]++
		}
		before := 0.0
		for k := 1.0; int(k) <= n; k++ {
			need := Room{t.need.CPUs * k, t.need.GPUs * k, t.need.Mem * k}
			if !st.total.Minus(Firm(st.mc)).Minus(st.claim).Holds(need) {
				break
			}
			runs, cost, ok := s.victims(j, st, need, model.Production, now)
			if !ok {
				break
			}
			zones[zone] = append(zones[zone], option{st, cost - before + idles(m, j, st.mc), runs, i})
			before = cost
		}
	}
	for zone, list := range zones {
		if could[zone] < n {
			continue
		}
		sort.Stable(options(list))
		list = list[:min(n, len(list))]
		cost := 0.0
		for _, o := range list {
			cost += o.cost
		}
		if len(list) > len(best) || len(list) == len(best) && (cost < bestCost || cost == bestCost && list[0].at < best[0].at) {
			best, bestCost = list, cost
		}
	}
	return best, bestCost
}

// roomAtHolders makes room for a gang on machines that have its image, though there are free ones that have not, if less is undone by that
// than its members would lose while they fetch. That is DAD's wait for a busy holder as far as a gang can use it: where an image takes ten
// times as long as the two rounds, low work leaves a holder within a moment, and members that fetch for very different times would not meet before
// the first of them gives up. It tells whether the gang waits for that, which it does for a part of its time only.
func (s *Sched) roomAtHolders(m *model.Model, t *turn, n int, plan []*seat, now model.Time, do Doer) bool {
	j := t.j
	if s.Early || j.Spec.Spread || j.Faulty {
		return false
	}
	slowest := 0.0
	for _, st := range plan {
		slowest = max(slowest, fetchS(m, j, st.mc))
	}
	within, ok := s.startWithin(j)
	if !ok || slowest == 0 || j.LocalSince != 0 && now-j.LocalSince > config.Seconds(within*0.15) {
		return false
	}
	best, cost := s.cheapest(m, t, n, now)
	if len(best) < n || cost >= slowest*max(j.Spec.CPUs, 0.1)*float64(n) {
		return false
	}
	waits := false
	for _, o := range best {
		if fetchS(m, j, o.st.mc) >= slowest {
			return false // its last member would start no sooner
		}
		waits = waits || len(o.runs) > 0 || !s.hasRoom(m, j, o.st, t.need)
	}
	if !waits {
		return false
	}
	if j.LocalSince == 0 {
		j.LocalSince = now
	}
	for _, o := range best {
		o.st.claim = o.st.claim.Plus(t.need)
		for _, r := range o.runs {
			do.Stop(r, false, "room where its image is, for "+j.Spec.ID)
		}
		o.st.left = false
	}
	return true
}
