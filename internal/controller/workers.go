package controller

import (
	"context"
	"errors"
	"net/http"
	"time"

	"fieldhill/internal/agents/relay"
	"fieldhill/internal/agents/staleness"
	"fieldhill/internal/api"
	"fieldhill/internal/config"
	"fieldhill/internal/model"
	"fieldhill/internal/platform/agent"
	"fieldhill/internal/replication/candidacy"
	"fieldhill/internal/rpc"
	"fieldhill/internal/scheduling/autoscaler"
	"fieldhill/wire"
)

// Report takes a worker's report.
func (n *Node) Report(ctx context.Context, r *wire.Report) *rpc.Reply {
	if a := n.passReport(ctx, r); a != nil {
		return a
	}
	return n.inLoop(ctx, func(send func(*rpc.Reply)) {
		if n.role != nil {
			n.reportToLeader(r, relay.Leader, send)
			return
		}
		send(n.reportToOther(r))
	})
}

// reportToLeader takes a report that came to this node, or through another one, by its index in the table of seats.
func (n *Node) reportToLeader(r *wire.Report, node int, send func(*rpc.Reply)) {
	mc := n.m.ByName[r.Machine]
	switch {
	case r.Token >= n.m.TermBase+1<<termBits:
		// The worker obeys a later term than this node's.
		send(api.Encode(http.StatusMisdirectedRequest, &wire.Redirect{}))
		return
	case !n.mayRenew():
		// Nobody may keep leases alive for longer than a cancellation that this
		// node can't know of leaves.
		send(api.Later("no leader at the moment", 1))
		return
	case !n.active() && n.others() && !n.keeps(r.Machine, false):
		// Another node may lead by now, or will soon.
		send(api.Encode(http.StatusMisdirectedRequest, &wire.Redirect{}))
		return
	case n.m.Tombs[r.Machine]:
		send(api.Later("this machine was returned", 1))
		return
	case mc == nil && !n.active():
		send(n.keepAlive(r))
		return
	case mc == nil:
		n.meet(r, send)
		return
	case mc.Suspect && !n.active():
		send(api.Later("no leader at the moment", 1))
		return
	case mc.Suspect:
		n.heardOfSuspect(mc, r, send)
		return
	}
	if to, move := n.moved(mc, node); move {
		n.stats.Moved.Inc()
		send(api.Encode(http.StatusMisdirectedRequest, &wire.Redirect{Node: to}))
		return
	}
	first := !mc.Reported
	v := n.observe(mc, r, nil)
	if v.Stale() {
		// It may be a copy from the past, or the word of a worker that began anew. It is answered, which is nothing to
		// whoever is not there, and asked. It is told nothing that it has to stop, though, so one whose answers to questions do not
		// arrive is not kept for longer than by a node that knows nothing of cancellations.
		n.ask1(mc, nil)
		if n.now()-mc.LastReport > n.set.KeepBound() {
			send(api.Later("this machine does not answer", 1))
			return
		}
		send(n.renew(r.Machine, n.m.Token(mc), []wire.Command{}))
		return
	}
	if first {
		n.dirty = true
	}
	send(n.tellMachine(mc))
}

// tellMachine is the answer to the report of a machine that was taken in.
func (n *Node) tellMachine(mc *model.Machine) *rpc.Reply {
	if !n.mayRenew() {
		return api.Later("no leader at the moment", 1)
	}
	mc.Reports.Tell(n.m.Token(mc))
	return n.renew(mc.Info.Name, n.m.Token(mc), n.m.Commands(mc, n.role.committed, true))
}

// heardOfSuspect takes the report of a machine whose lease is to run out. Before it is answered, which renews the lease, the
// suspicion is taken back by an entry; and that is done only if the machine answers now: a copy of a report from before the cut, or
// the word of one that hears nothing, would begin the count anew, again and again.
func (n *Node) heardOfSuspect(mc *model.Machine, r *wire.Report, send func(*rpc.Reply)) {
	if mc.Reported {
		n.observe(mc, r, nil) // what it proves by its numbers, it proves all the same
	}
	ro := n.role
	if !n.ask1(mc, func() {
		if n.role == ro && n.active() && n.m.Machines[mc.ID] == mc && !mc.Suspect {
			send(n.tellMachine(mc))
		} else {
			send(api.Later("its lease is to run out", 1))
		}
	}) {
		send(api.Later("its lease is to run out", 1))
	}
}

// meet takes the report of a machine that nobody knows: a rental whose answer was lost, or a copy from one that is long gone. It
// counts as a machine once it answers, or the cloud lists it.
func (n *Node) meet(r *wire.Report, send func(*rpc.Reply)) {
	ro := n.role
	later := api.Later("this machine is not known", 1)
	if len(ro.strangers) >= n.asksMost || ro.strangers[r.Machine] {
		send(later)
		return
	}
	ro.strangers[r.Machine] = true
	go func() {
		rep, err := n.worker.Show(ro.ctx, r.Addr, askFor)
		n.post(func() {
			delete(ro.strangers, r.Machine)
			if n.role != ro || !n.active() || err != nil || rep.Machine != r.Machine || n.m.Tombs[r.Machine] {
				send(later)
				return
			}
			if n.m.ByName[r.Machine] == nil {
				n.log.Info("machine reports", "machine", r.Machine, "type", rep.Type, "zone", rep.Zone, "spot", rep.Spot)
				n.propose(&model.Entry{Kind: model.EntryMachine, Machine: n.m.NextMachine, At: time.Now().UnixMilli(),
					Info: &model.MachineInfo{Name: rep.Machine, Addr: rep.Addr, Type: rep.Type, Zone: rep.Zone, Spot: rep.Spot}})
			}
			mc := n.m.ByName[r.Machine]
			n.observe(mc, rep, n.m.Ask(mc))
			n.dirty = true
			send(n.tellMachine(mc))
		})
	}()
}

var errNotSent = errors.New("controller: a relay did not send a command")

const (
	// ordersWithin is how long a worker has to answer a direct command.
	ordersWithin = 3 * time.Second
	// askFor is how long such a machine has to answer.
	askFor = 1200 * time.Millisecond
	// askEvery is how often one is asked at most, unless somebody waits for the answer.
	askEvery = time.Second
)

// ask1 asks a machine how it is now; then, if not nil, is called when it has answered or has not. It tells whether it asks.
func (n *Node) ask1(mc *model.Machine, then func()) bool {
	r := n.role
	if mc.Info.Addr == "" || r.asks >= n.asksMost || then == nil && n.now()-mc.AskedAt < askEvery {
		return false
	}
	r.asks++
	mc.AskedAt = n.now()
	addr, ways, q := mc.Info.Addr, n.waysTo(mc), n.m.Ask(mc)
	go func() {
		rep, err := n.show(r.ctx, ways, addr)
		n.post(func() {
			r.asks--
			if n.role == r && err == nil {
				n.answered(mc, rep, q)
			}
			if then != nil {
				then()
			}
		})
	}()
	return true
}

// answered takes the answer of a machine that was asked how it is.
func (n *Node) answered(mc *model.Machine, rep *wire.Report, q *staleness.Question) {
	if n.m.Machines[mc.ID] != mc || rep.Machine != mc.Info.Name {
		return
	}
	if mc.Suspect && n.active() {
		// From here on its lease is renewed again.
		n.log.Info("suspect machine answers", "machine", mc.Info.Name, "session", rep.Session)
		n.propose(&model.Entry{Kind: model.EntryTrust, Machine: mc.ID})
		n.dirty = true
	}
	first := !mc.Reported
	n.observe(mc, rep, q)
	mc.LastReport = n.now()
	n.dirty = n.dirty || first
}

// observe takes in a report, or the answer to a question, and logs what it proves.
func (n *Node) observe(mc *model.Machine, r *wire.Report, q *staleness.Question) model.Verdict {
	bad, deaf, first := mc.Bad, mc.DeafSince != 0, !mc.Reported
	v := n.m.Observe(mc, r, q, n.now())
	for _, e := range v.Entries {
		n.propose(e)
		n.dirty = true
	}
	if v.Stale() {
		return v
	}
	n.role.heard = n.now()
	n.role.note(n.role.asked(mc.Zone), true)
	n.learnAddr(mc, r.Addr)
	if first && mc.RentedAt != 0 {
		n.fleet.CameUp(mc.Type, mc.Zone, autoscaler.BootRatio(n.m, mc, n.now()))
	}
	switch {
	case v.Freshness == staleness.Restarted:
		n.log.Info("machine began anew under its name", "machine", mc.Info.Name, "session", r.Session, "seq", r.Seq, "tasks", len(mc.Runs))
		n.touch(mc) // a token that its earlier life can't have
	case v.Slow:
		n.saySlow(mc)
	case mc.Bad && !bad:
		n.sayDistrusted(mc)
	}
	if is := mc.DeafSince != 0; is != deaf {
		n.sayDeaf(mc)
	}
	if v.Ask {
		n.ask1(mc, nil)
	}
	n.m.SealDead(mc, n.role.seq())
	for _, j := range v.Faulty {
		n.log.Info("job fails on every machine: it is tried again with growing pauses", "job", j.Spec.ID, "class", j.Spec.Class, "failures", j.Errors)
	}
	for _, o := range v.Meet {
		n.touch(o)
	}
	if len(v.Entries) > 0 {
		n.touch(mc) // the worker is told to forget what is logged
	}
	if first && q != nil && mc.HoldsCancelled() {
		n.touch(mc) // its next report may be long in coming, while it looks for this leader
	}
	return v
}

func (n *Node) sayDeaf(mc *model.Machine) {
	n.log.Info("machine that is heard and does not hear", "machine", mc.Info.Name, "zone", mc.Info.Zone, "deaf", mc.DeafSince != 0, "tasks", len(mc.Runs))
}

// keepFirst and keepBack are how long a worker that does not reach the leader is
// kept by this node before it is sent to look for the leader: when it comes for the
// first time, and when it has come back.
const (
	keepFirst = 3 * time.Second
	keepBack  = 20 * time.Second
	// keptFor is how long after that a worker counts as one that comes back.
	keptFor = time.Minute
)

// learnAddr logs where a machine is, for the next leader to ask it.
func (n *Node) learnAddr(mc *model.Machine, addr string) {
	if addr == "" || mc.Info.Addr == addr {
		return
	}
	info := mc.Info
	info.Addr = addr
	n.propose(&model.Entry{Kind: model.EntryMachine, Machine: mc.ID, At: mc.At, Info: &info})
}

// reportToOther answers a worker when another node leads, or none.
func (n *Node) reportToOther(r *wire.Report) *rpc.Reply {
	now := time.Now()
	if !n.loaded {
		return api.Encode(http.StatusMisdirectedRequest, &wire.Redirect{})
	}
	if n.leader != nil && n.leader.Node != n.set.Node {
		l := n.links[n.leader.Node]
		if !n.keeps(r.Machine, l != nil && now.Sub(l.Heard()) < linkFresh) {
			return api.Encode(http.StatusMisdirectedRequest, &wire.Redirect{Node: n.leader.Node})
		}
	}
	return n.keepAlive(r)
}

// keeps tells whether a worker is kept by this node, which can't serve it, or sent to look for the leader; reached tells whether this
// node reaches the leader.
func (n *Node) keeps(machine string, reached bool) bool {
	now := time.Now()
	until, known := n.keepUntil[machine]
	if !known || now.Sub(until) > keptFor {
		// It comes for the first time, since the leader did not answer it, and
		// its lease may be near its end: it is kept before it is sent to look
		// for the leader again, which takes long when nothing answers.
		until = now.Add(keepFirst)
	} else if !reached && now.After(until) {
		until = now.Add(keepBack) // if it comes back, it is cut off from the leader too
		reached = true
	}
	if !reached || known {
		n.keepUntil[machine] = until
	}
	return !reached
}

// keepAlive renews a worker's lease under the worker's own token while no leader
// can. Nothing is started. Tasks of jobs that the log shows as cancelled are
// stopped, and what this node can't know of any more is why it ends after a
// bound: a job cancelled after the log was last read here still loses its tasks
// in time when the leases then run out.
func (n *Node) keepAlive(r *wire.Report) *rpc.Reply {
	if mc := n.m.ByName[r.Machine]; mc != nil && (mc.Suspect || n.startMayCome(mc, r)) {
		return api.Later("its lease is to run out", 1)
	}
	cmds := []wire.Command{}
	for _, t := range r.Tasks {
		num, _, ok := wire.ParseTaskID(t.Task)
		if !ok || t.State == wire.TaskExited || len(cmds) >= 300 {
			continue
		}
		id := model.JobID(num)
		j := n.m.Jobs[id]
		if n.m.Finals[id] == model.FinalCancelled || j != nil && j.Cancelled && (n.role == nil || j.FinalSeq <= n.role.committed) {
			cmds = append(cmds, wire.Command{Verb: wire.Stop, Task: t.Task, Attempt: t.Attempt, GraceS: new(float64)})
		}
	}
	if mc := n.m.ByName[r.Machine]; mc != nil {
		if delete(n.cleared, mc.ID); len(cmds) == 0 {
			n.cleared[mc.ID] = time.Now()
		}
	}
	return n.renew(r.Machine, r.Token, cmds)
}

// touch marks a machine as having something to be told.
func (n *Node) touch(mc *model.Machine) {
	if r := n.role; r != nil {
		r.touched[mc] = true
	}
}

// direct gives a machine its commands at once instead of with its next report.
func (n *Node) direct(mc *model.Machine) {
	r := n.role
	if r == nil || mc.Sending {
		return
	}
	if n.m.Machines[mc.ID] != mc || mc.NoDirect || !mc.Reported || mc.Info.Addr == "" || mc.Releasing {
		delete(r.touched, mc)
		return
	}
	cmds := n.m.Commands(mc, r.committed, false)
	// What waits for the log is told once it is there, not by asking again at
	// once: that would be a loop of commands that say nothing new.
	delete(r.touched, mc)
	if n.waitsForLog(mc) {
		r.later[mc] = true
	}
	if len(cmds) == 0 && mc.Reports.Fenced() {
		return
	}
	token, q := n.m.Token(mc), n.m.Ask(mc)
	n.m.Sent(mc, cmds, token)
	mc.Sending = true
	r.line.Mark(candidacy.Sent, n.now())
	o := &wire.Orders{Token: token, Session: mc.Session, Commands: cmds}
	addr, via := mc.Info.Addr, n.relayFor(mc)
	go func() {
		fate, rep, err := n.sendOrders(r.ctx, via, addr, o)
		n.post(func() {
			if n.role != r {
				return
			}
			mc.Sending = false
			if n.m.Machines[mc.ID] != mc {
				return
			}
			switch fate {
			case agent.Unknown:
				n.log.Debug("command without an answer", "machine", mc.Info.Name, "err", err)
				n.m.Lost(mc, cmds, token)
				n.ask1(mc, func() {
					// Reports may go on to come from it.
					if n.role == r && n.m.Machines[mc.ID] == mc && n.now()-mc.LastReport > askFor && mc.NoDirect && mc.DeafSince == 0 {
						mc.FoundDeaf(n.now())
						n.m.Try(mc)
						n.sayDeaf(mc)
					}
				})
			case agent.Unsent:
				n.m.Answered(mc, cmds, token, false)
				mc.NoDirect = true
			case agent.Refused:
				n.m.Answered(mc, cmds, token, false)
			case agent.Executed:
				r.line.Mark(candidacy.Executed, n.now())
				n.m.Answered(mc, cmds, token, true)
			}
			if rep != nil && rep.Machine == mc.Info.Name {
				n.observe(mc, rep, q)
			}
			if r.touched[mc] {
				n.direct(mc)
			}
		})
	}()
}

// waitsForLog tells whether a machine has a placement that is not committed yet.
func (n *Node) waitsForLog(mc *model.Machine) bool {
	for _, run := range mc.Runs {
		if run.Seq > n.role.committed || run.Job.FinalSeq > n.role.committed {
			return true
		}
	}
	return n.m.DeadWaits(mc, n.role.committed)
}

// Place logs and applies a placement (sched.Doer).
func (n *Node) Place(j *model.Job, task int32, attempt uint32, mc *model.Machine, score float64) {
	n.log.Debug("placed", "job", j.Spec.ID, "task", task, "attempt", attempt, "machine", mc.Info.Name, "image", mc.Has(j.Image), "score", score)
	n.stats.Placed.Inc()
	n.role.line.Mark(candidacy.Placed, n.now())
	n.propose(&model.Entry{Kind: model.EntryPlace, Job: j.ID, Task: task, Attempt: attempt, Machine: mc.ID, Session: mc.Session})
	n.touch(mc)
}

// Stop marks a run to be stopped (sched.Doer). It needs no log: a stop that is
// lost with its leader is decided again.
func (n *Node) Stop(r *model.Run, hard bool, why string) {
	if r.Stop {
		return
	}
	n.log.Info("stopping a task", "task", wire.TaskID(uint64(r.Job.ID), int(r.Task)), "machine", r.Machine.Info.Name, "why", why)
	r.Stop, r.Hard = true, hard
	n.stats.Stopped.Inc()
	n.stopped(r)
}

// stopped has a run end that is to be stopped, or whose job is cancelled: at once if nothing of it has left this node, or else by telling its machine.
func (n *Node) stopped(r *model.Run) {
	if r.Unsent(n.role.committed) {
		// Its placement is on the way into the log and nothing else happened: the
		// room need not wait for the log and for the machine's word.
		n.propose(&model.Entry{Kind: model.EntryEnded, Job: r.Job.ID, Task: r.Task, Attempt: r.Attempt})
		n.dirty = true
		return
	}
	n.touch(r.Machine)
	n.direct(r.Machine)
}

// round runs the scheduler.
func (n *Node) round(tick bool) {
	r := n.role
	n.dirty = false
	if r == nil || !n.active() || r.stalled() {
		return
	}
	n.lastRound = time.Now()
	// Before all machines with work are heard of, only what is urgent and finds its image where it may go at once is
	// placed, and nothing is stopped: what is decided knows a part of the fleet only.
	n.sched.Early = n.lastRound.Before(r.placeFrom) && !n.allReported()
	if !n.sched.Early {
		r.line.Mark(candidacy.Heard, n.now())
	}
	n.sched.LowMost = r.lowMost
	n.sched.Round(n.m, n.now(), tick, n)
	n.dirty = n.dirty || n.sched.LowLeft
	// Rounds share a processor with users and workers: the dearer they are, the
	// further apart events may wake them.
	took := time.Since(n.lastRound)
	n.stats.Round.Update(took.Seconds())
	n.gap = min(maxGap, max(minGap, gapTimes*took))
}

// probeAfter is how long a machine may say nothing before it is asked itself:
// the longest pause between two reports and some time on the way.
func (n *Node) probeAfter() time.Duration {
	return config.Seconds(n.set.Params.Workers.ReportS*1.25 + 0.75)
}

// silentAfter is how long a machine may say nothing, also when asked, before it
// is given up.
func (n *Node) silentAfter() time.Duration { return n.probeAfter() + 3*time.Second }

// probesOfZone is how many silent machines of a zone are asked at the same time: a tenth of all sockets for all
// zones. Each zone has places of its own, so that a zone whose machines don't answer, each of which holds its place
// for more than a second, keeps no machine of another one from being asked before it is given up.
func probesOfZone(sockets, zones int) int { return max(48, sockets/(10*max(1, zones))) }

// asksAtOnce is how many machines are asked at the same time because of what they said, and as many because nobody
// knows them.
func asksAtOnce(sockets int) int { return max(32, sockets/32) }

// questionsAtOnce is how many machines a relay asks at the same time for the leader.
func questionsAtOnce(sockets int) int { return max(leastRelayed, sockets/6) }

// probe asks a silent machine how it is. A worker that lost its node may take
// long to find the leader; one that is dead or hangs does not answer at all.
// With first it is not asked any more once its zone is known to be mute.
func (n *Node) probe(mc *model.Machine, first bool) {
	r := n.role
	if mc.Probing || mc.Sending || mc.Info.Addr == "" {
		return
	}
	mc.Probing = true
	addr, ways, zone := mc.Info.Addr, n.waysTo(mc), r.asked(mc.Zone)
	q := n.m.Ask(mc)
	go func() {
		select {
		case zone.probes <- struct{}{}:
		case <-r.ctx.Done():
			return
		}
		defer zone.probes.release()
		if first && zone.mute.Load() {
			n.post(func() { mc.Probing = false })
			return
		}
		rep, err := n.show(r.ctx, ways, addr)
		n.post(func() {
			mc.Probing = false
			if n.role == r && err != nil && !mc.Reported {
				r.inVain[mc] = true
				r.note(zone, false)
				n.dirty = true
			}
			if n.role == r && err == nil {
				n.answered(mc, rep, q)
			}
		})
	}()
}
