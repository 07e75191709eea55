package controller

import (
	"maps"
	"math"
	"sort"
	"time"

	"fieldhill/internal/config"
	"fieldhill/internal/model"
	"fieldhill/internal/scheduling/pending"
	"fieldhill/internal/scheduling/scheduler"
)

// This file is what the leader judges and does regularly.

func (n *Node) housekeep() {
	now := time.Now()
	gap := now.Sub(n.start) - model.Time(n.beat.Swap(int64(now.Sub(n.start))))
	if len(n.requests) == 0 {
		n.gate.Waited(max(0, gap-houseEvery), n.now())
	}
	if late := gap - houseEvery; late > lateMost {
		n.listensAgain(late)
	}
	if r := n.role; r != nil {
		r.lowMost = pace(r.lowMost, gap-houseEvery)
	}
	n.judgeReady()
	n.sayApart()
	n.askPast()
	n.tendDuties()
	n.tendRelay()
	n.forgetKept(now)
	r := n.role
	if r == nil || !n.active() {
		return
	}
	for mc := range r.touched {
		n.direct(mc)
	}
	if now.Sub(r.lastFleet) > 500*time.Millisecond && now.After(r.placeFrom) && !r.stalled() {
		r.lastFleet = now
		n.runFleet(r)
	}
	n.m.Watch(gap)
	n.tendSeats(r)
	n.sayTakeover(r)
	n.atDesk(now)
}

// mostKeptUntil is how many names of workers a node keeps beside two for each machine of the log. Reports are not
// authenticated, so a flood of names that were made up may be behind a larger number.
const mostKeptUntil = 20_000

// forgetKept drops what no longer counts of workers that came while this node did not lead. What still counts is
// kept at any size of the fleet: a worker whose entry is lost is kept for some seconds more, again and again, and
// never sent to look for the leader.
func (n *Node) forgetKept(now time.Time) {
	if now.Sub(n.keptSwept) >= forgetEvery {
		n.keptSwept = now
		maps.DeleteFunc(n.keepUntil, func(_ string, until time.Time) bool { return now.Sub(until) > keptFor })
		maps.DeleteFunc(n.cleared, func(_ model.MachineID, at time.Time) bool { return now.Sub(at) >= 2*apartEvery })
	}
	if len(n.keepUntil) > mostKeptUntil+2*len(n.m.Order) {
		clear(n.keepUntil)
	}
}

const (
	lowMany = 400 // low tasks in a round, when this node keeps up
	lowFew  = 4   // when it does not
	behind  = 25 * time.Millisecond
)

// pace is how many low tasks may be placed in a round, given how late the housekeeping
// came. A start costs a placement, its place in the log, a command and two or three
// reports: one huge array of tiny tasks used to take the whole processor of a small
// node, and users waited.
func pace(most int, late time.Duration) int {
	if late > behind {
		return max(lowFew, most/2)
	}
	return min(lowMany, most+most/8+1)
}

const (
	// stoodStill is how long the loop may do nothing before that is told, and counts as a gap in all that it hears.
	stoodStill = 4 * houseEvery
	// lateMost is how late the housekeeping may come before that time counts against nobody.
	lateMost = 100 * time.Millisecond
)

// listensAgain begins all detectors of silence anew by as much as this node did not
// listen itself: a process that was stopped, or starved, sees everybody silent at once,
// and what they said meanwhile still waits to be read. One that is late again and again, never for a second,
// hears of a part of the fleet only: four hundred machines that were well were once returned as silent
// within three seconds, when the cloud was back and a third of the fleet was to be replaced.
func (n *Node) listensAgain(late time.Duration) {
	now := n.now()
	for _, mc := range n.m.Order {
		mc.LastReport = min(now, mc.LastReport+late)
	}
	if late+houseEvery <= stoodStill {
		return
	}
	n.log.Info("this node stood still", "for", late+houseEvery)
	if r := n.role; r != nil {
		r.unheard, r.heard = time.Time{}, now
	}
}

// giveUp has a machine returned, once the log has it; its tasks are gone when the
// cloud says so.
func (n *Node) giveUp(mc *model.Machine, why string) {
	if mc.Releasing {
		return
	}
	n.propose(&model.Entry{Kind: model.EntryRelease, Machine: mc.ID})
	n.stats.Returned.Inc()
	n.log.Info("returning a machine", "machine", mc.Info.Name, "type", mc.Info.Type, "zone", mc.Info.Zone, "tasks", len(mc.Runs), "why", why)
}

// runFleet rents and returns.
func (n *Node) runFleet(r *role) {
	if !n.m.TypesKnown() {
		return
	}
	n.judgeMachines(r)
	n.summary(r)
	now := n.now()
	n.fleet.Pending = n.rentals()
	p := n.fleet.Plan(n.m, now)
	n.sched.Vacate = p.Vacate
	n.sched.Headroom, n.sched.ForServices, n.sched.LowMay = p.Headroom, p.ForServices, p.LowMay
	for _, mc := range n.m.Order {
		if mc.Draining != p.Drain[mc] {
			n.log.Info("machine only for low work that it costs too much for", "machine", mc.Info.Name, "type", mc.Info.Type, "draining", !mc.Draining)
			mc.Draining = !mc.Draining
			n.dirty = true
		}
	}
	for _, mc := range p.Returns {
		if r.cloudDown {
			break // it could not be returned, and not be used either
		}
		n.giveUp(mc, "it is idle and nothing needs it")
	}
	// The cloud's rate is small, so few requests are under way at once and none
	// twice for the same offer: the answer to the first tells what is left.
	under := max(2, int(n.set.Params.Cloud.RPS))
	for _, h := range p.Hires {
		if len(n.fleet.Pending) >= under {
			break
		}
		if n.fleet.Pending[h.Offer] == 0 {
			n.hire(r, h)
			n.fleet.Pending[h.Offer] += h.Count
		}
	}
}

func (n *Node) sayDistrusted(mc *model.Machine) {
	n.log.Info("machine distrusted: tasks of several jobs failed on it", "machine", mc.Info.Name, "failures", mc.Failures)
}

func (n *Node) saySlow(mc *model.Machine) {
	n.log.Info("machine is slow: tasks take much longer on it than their peers elsewhere", "machine", mc.Info.Name, "tasks", len(mc.Runs), "for", mc.SlowUntil-n.now())
}

// lateEvery paces the look for machines that are slow, which reads all runs.
const lateEvery = 5 * time.Second

const (
	waitsLong = model.Time(20e9) // a job that waits for longer has a line of its own, whenever its reason changes
	mostLines = 10               // of those at once
)

// sayWaiting logs how many tasks wait, by class and by reason, and which jobs do for long.
func (n *Node) sayWaiting(r *role) {
	classes, reasons, said := map[string]int{}, map[string]int{}, map[model.JobID]pending.Code{}
	var long []*model.Job
	for _, j := range n.m.JobsInOrder() {
		k := j.Waiting()
		if k == 0 {
			continue
		}
		classes[j.Spec.Class] += k
		reasons[j.Why.Code.String()] += k
		if j.Why.Is() && r.said[j.ID] == j.Why.Code {
			said[j.ID] = j.Why.Code
		} else if j.Why.Is() && n.now()-j.Began > waitsLong && len(long) < mostLines {
			long = append(long, j)
		}
	}
	for _, j := range long {
		said[j.ID] = j.Why.Code
		n.log.Info("job waits", "job", j.Spec.ID, "class", j.Spec.Class, "team", j.Spec.Team, "tasks", j.Waiting(), "why", j.Why.Code, "says", j.Why)
	}
	r.said = said
	n.log.Info("work", "jobs", len(n.m.Jobs), "waiting", classes, "why", reasons)
	n.sayServed()
}

// sayServed logs how each team is served, and those classes that are served worst: what a class is called
// is its users' affair, and there may be any number of them.
func (n *Node) sayServed() {
	type line struct {
		what, name string
		share      float64
		owed       bool
		s          *model.Served
	}
	var lines []line
	for i := range n.m.ByClass {
		share, owed := n.sched.ClassStanding(int32(i))
		lines = append(lines, line{"class", n.m.Classes.Name(int32(i)), share, owed, &n.m.ByClass[i]})
	}
	sort.SliceStable(lines, func(i, k int) bool { return lines[i].share < lines[k].share })
	lines = lines[:min(len(lines), mostLines)]
	for i := range n.m.ByTeam {
		share, owed := n.sched.TeamStanding(i)
		lines = append(lines, line{"team", n.m.Teams[i].Name, share, owed, &n.m.ByTeam[i]})
	}
	for _, l := range lines {
		n.log.Info("served", l.what, l.name, "share", math.Round(l.share*1000)/1000, "owed", l.owed, "jobs", l.s.Jobs, "begun", l.s.Begun, "done", l.s.Done,
			"cancelled", l.s.Cancelled, "tasks", l.s.Tasks, "tasks_done", l.s.TasksDone, "replicas_up", l.s.Up())
	}
}

// summary logs now and then what the machines are used for.
func (n *Node) summary(r *role) {
	if time.Since(r.lastSummary) < 20*time.Second {
		return
	}
	r.lastSummary = time.Now()
	type sum struct {
		up, booting, idle              int
		total, services, gangs, arrays float64
	}
	sums := map[string]*sum{}
	var names []string
	for _, mc := range n.m.Order {
		name := mc.Info.Type
		if mc.Spot {
			name += "/spot"
		}
		s := sums[name]
		if s == nil {
			s = &sum{}
			sums[name] = s
			names = append(names, name)
		}
		if !mc.Reported {
			s.booting++
			continue
		}
		s.up++
		if len(mc.Runs) == 0 {
			s.idle++
		}
		s.total += n.m.TypeOf(mc).CPUs
		for _, run := range mc.Runs {
			switch run.Job.Kind {
			case model.Service:
				s.services += run.Job.Spec.CPUs
			case model.Gang:
				s.gangs += run.Job.Spec.CPUs
			default:
				s.arrays += run.Job.Spec.CPUs
			}
		}
	}
	sort.Strings(names)
	for _, name := range names {
		s := sums[name]
		n.log.Info("machines", "type", name, "up", s.up, "booting", s.booting, "idle", s.idle, "cpus", s.total,
			"services", s.services, "gangs", s.gangs, "arrays", s.arrays)
	}
	n.sayWaiting(r)
}

// judgeMachines gives up machines that are silent, faulty or never came up, and
// returns those in a zone that is cut off whose work is over and wanted elsewhere.
func (n *Node) judgeMachines(r *role) {
	now := n.now()
	silent := n.silentAfter()
	up, mute, deaf := map[int32]int{}, map[int32]int{}, map[int32]int{}
	quiet := func(mc *model.Machine) bool {
		limit := silent
		if !mc.Reported && (len(mc.Runs) == 0 || mc.Info.Addr == "") {
			// Its worker may still be looking for the leader. One with work is asked
			// as soon as a node leads, and says nothing only if it hangs or is gone.
			limit += 6 * time.Second
		}
		return mc.Silence(now) > limit
	}
	// A suspect machine was up too, though a new leader finds nothing on it: a
	// whole zone was returned as never having come up, just as its cut ended.
	was := func(mc *model.Machine) bool { return mc.Reported || len(mc.Runs) > 0 || mc.Suspect }
	for _, mc := range n.m.Order {
		if was(mc) {
			up[mc.Zone]++
			// When the first machine of a cut zone is given up, every other one
			// has missed a report too; outside a cut few have.
			if mc.DeafSince != 0 || now-mc.LastReport > config.Seconds(n.set.Params.Workers.ReportS*1.25) {
				mute[mc.Zone]++
			}
			if mc.DeafSince != 0 {
				deaf[mc.Zone]++
			}
		}
	}
	n.judgeSelf(r, up, mute)
	n.askRenewals(r)
	ask, free := false, map[int32]*scheduler.Room{}
	look := time.Since(r.lastLate) > lateEvery
	if look {
		r.lastLate = time.Now()
	}
	for _, mc := range n.m.Order {
		if look && deaf[mc.Zone] >= deafSome && mc.Reported {
			n.m.Try(mc) // the others of its zone hear as little, most likely
		}
		if look && n.m.FindLate(mc, now) {
			n.saySlow(mc)
		}
		if doubt := mc.DoubtSince; doubt != 0 && !mc.Bad {
			n.m.Distrust(mc, now)
			switch {
			case mc.Bad:
				n.sayDistrusted(mc)
			case mc.DoubtSince == 0:
				n.dirty = true // of use again: its jobs fail elsewhere too
			}
		}
		if !mc.Releasing && was(mc) && mc.Silence(now) > n.probeAfter() {
			n.probe(mc, false)
		}
		// Many machines of a zone silent at once look like a cut, in which they
		// go on working; one or two look dead or hung. After a cut the workers
		// need some time to find the leader again.
		cut := mute[mc.Zone] >= 3 && mute[mc.Zone]*2 > up[mc.Zone]
		if cut {
			r.cutUntil[mc.Zone] = now + 15*time.Second
		}
		cut = cut || now < r.cutUntil[mc.Zone]
		switch {
		case mc.Releasing:
		case n.toReturnOfCut(r, mc, was(mc) && quiet(mc), free):
		case mc.Bad && len(mc.Runs) == 0:
			n.giveUp(mc, "it is faulty")
		case was(mc) && quiet(mc):
			if !cut || mc.Silence(now) >= cutPatience {
				n.giveUp(mc, "it is silent")
				continue
			}
			// Idle ones, too: what was placed on them would wait for the end of the cut.
			mc.FoundDeaf(now)
			n.m.Try(mc)
			if !mc.Suspect && len(mc.Runs) > 0 {
				ask = true
				if !n.goesOn(r, n.m.Zones.Name(mc.Zone)) {
					n.suspect(mc)
				}
			}
		}
	}
	for _, mc := range n.fleet.JudgeBoots(n.m, time.Now().UnixMilli(), now, silent+10*time.Second) {
		if now >= r.cutUntil[mc.Zone] {
			n.giveUp(mc, "it never came up")
		}
	}
	if ask && !r.asking && time.Since(r.lastAsked) > apartEvery/2 {
		n.askApart(r)
	}
}

// deafSome is how many machines of a zone that do not hear have the others tried.
const deafSome = 2

// unheardFor is how long hardly any machine may be heard of, though some are asked,
// before the lead is handed over: longer than they have to answer.
const unheardFor = 1500 * time.Millisecond

// quietFor is how long nothing at all may come from so many machines before that is
// no accident: a dozen reports are missing.
func (n *Node) quietFor(machines int) time.Duration {
	return max(time.Second, config.Seconds(12*n.set.Params.Workers.ReportS/float64(machines)))
}

// judgeSelf hands the lead over when the machines of all zones are silent at once
// and don't answer when asked, while another controller is there: then it is this
// node that has lost them, and their leases would run out under it.
func (n *Node) judgeSelf(r *role, up, mute map[int32]int) {
	all, silent, zones := 0, 0, 0
	for z, k := range up {
		all, silent = all+k, silent+mute[z]
		if mute[z] > 0 {
			zones++
		}
	}
	other := false
	for _, l := range n.links {
		other = other || time.Since(l.Heard()) < linkFresh
	}
	now := time.Now()
	some := min(2, len(n.set.Params.Zones)) // where there is only one zone a cut of it looks the same
	quiet := all >= 3 && len(up) >= some && n.now()-r.heard > n.quietFor(all)
	most := silent >= 3 && silent*10 >= all*9 && zones >= some
	// A new leader is looked for first.
	if !other || !quiet && !most || now.Sub(r.placeFrom) < 2*config.Seconds(n.set.Params.Workers.ReportS) {
		r.unheard = time.Time{}
		return
	}
	if r.unheard.IsZero() {
		r.unheard = now
		for i, mc := range n.m.Order {
			if i%max(1, len(n.m.Order)/askSome) == 0 {
				n.probe(mc, false)
			}
		}
	}
	if now.Sub(r.unheard) < unheardFor {
		return
	}
	n.log.Info("handing over the lead: hardly any machine is heard of", "machines", all, "silent", silent)
	r.leaving = true
	n.trustUntil(r, time.Time{}) // from here on it decides nothing
	select {
	case r.errs <- errUnheard:
	default:
	}
}

// askSome is about how many machines are asked when nothing is heard of any.
const askSome = 12

// cutPatience is after how long a silent machine is returned although its zone
// looks cut off.
const cutPatience = 100 * time.Second

// toReturnOfCut returns a machine of a cut zone if that is due, and tells whether it did. That its lease is over does not prove its tasks gone: one that
// hangs ends them only when it wakes, and they count until then (ran_twice, and ran_cancelled). The cloud's answer proves it, hung or
// not, and the cloud belongs to no zone. Before the lease is over the machine is left alone, since work in a cut zone goes on; afterwards it is returned if it holds
// urgent work that may run elsewhere, or low work that finds free room there. Of the other machines nothing would be gained, and they are there when the cut ends: when all of a
// zone were returned, half of them for low work that then waited elsewhere, a third of the fleet had to boot anew. What a cancelled job has there its worker ends in time by itself, unless it hangs: such a machine is returned before the time is over, also if its zone
// is only parted from this node, unless the controller there has just heard that nothing of the kind is left. While the cloud is down nothing is proven, and
// nothing is marked either: the end of the cut may come first.
func (n *Node) toReturnOfCut(r *role, mc *model.Machine, quiet bool, free map[int32]*scheduler.Room) bool {
	if len(mc.Runs) == 0 || r.cloudDown {
		return false
	}
	switch now := n.now(); {
	case (quiet || mc.Suspect) && n.m.CancelledSince(mc, now) > n.cancelPatience() && !r.isClear(mc.ID):
		n.giveUp(mc, "it is in a zone that is cut off, and holds what was cancelled long ago")
	case mc.Suspect && mc.Lapsed(n.set.KeepBound(), n.lease(), n.ownRenewal(mc), now, len(n.set.Members)) && n.wantedElsewhere(mc, free):
		n.giveUp(mc, "it is in a zone that is cut off, its lease is over, and its work is wanted elsewhere")
	default:
		return false
	}
	return true
}

// wantedElsewhere tells whether what is on a machine is to go on in another zone now. free is what was found to be free outside of each zone, and is not given to others yet.
func (n *Node) wantedElsewhere(mc *model.Machine, free map[int32]*scheduler.Room) bool {
	urgent, low := scheduler.Movable(mc)
	if urgent || low.CPUs == 0 && low.GPUs == 0 {
		return urgent
	}
	f := free[mc.Zone]
	if f == nil {
		room := scheduler.Outside(n.m, mc.Zone)
		room.CPUs -= n.sched.Headroom // that is not for low work
		f = &room
		free[mc.Zone] = f
	}
	if low.CPUs > f.CPUs || low.GPUs > f.GPUs {
		return false
	}
	*f = f.Minus(low)
	return true
}

// cancelPatience is for how long a cancelled job may keep tasks on a machine of a cut zone before the machine is returned: its worker ends them
// in time by itself, unless it hangs, and the rest of the time that a cancellation has is for the cloud.
func (n *Node) cancelPatience() model.Time {
	return config.Seconds(n.set.Params.Workers.CancelS * 3 / 4)
}

// suspect makes a machine suspect: its lease runs out. When that is over it is returned if its work may run elsewhere; otherwise
// it is left where it is, and of use again when the cut is over.
func (n *Node) suspect(mc *model.Machine) {
	n.log.Info("machine in a zone that is cut off is suspect", "machine", mc.Info.Name, "zone", mc.Info.Zone, "tasks", len(mc.Runs))
	seq := n.propose(&model.Entry{Kind: model.EntrySuspect, Machine: mc.ID})
	n.whenCommitted(seq, func(ok bool) {
		if ok {
			mc.SuspicionKnown(seq, n.now())
		}
	})
}
