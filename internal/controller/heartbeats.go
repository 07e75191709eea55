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

// Heartbeat takes a worker's report.
func (n *Controller) Heartbeat(ctx context.Context, report *wire.Heartbeat) *rpc.Response {
	if reply := n.forwardReport(ctx, report); reply != nil {
		return reply
	}
	return n.respond(ctx, func(send func(*rpc.Response)) {
		if n.ownTerm != nil {
			n.onReportAsLeader(report, relay.Leader, send)
			return
		}
		send(n.onReportAsFollower(report))
	})
}

// onReportAsLeader takes a report that came to this node, or through another one, by its index in the table of seats.
func (n *Controller) onReportAsLeader(report *wire.Heartbeat, node int, send func(*rpc.Response)) {
	machine := n.model.ByName[report.Machine]
	switch {
	case report.FencingToken >= n.model.TermBase+1<<machineTokenBits:
		// The worker obeys a later term than this node's.
		send(api.Encode(http.StatusMisdirectedRequest, &wire.Redirect{}))
		return
	case !n.mayRenew():
		// Nobody may keep leases alive for longer than a cancellation that this
		// node can't know of leaves.
		send(api.RetryLater("no leader at the moment", 1))
		return
	case !n.isActive() && n.hasPossibleSuccessor() && !n.retainsWorker(report.Machine, false):
		// Another node may lead by now, or will soon.
		send(api.Encode(http.StatusMisdirectedRequest, &wire.Redirect{}))
		return
	case n.model.Tombstones[report.Machine]:
		send(api.RetryLater("this machine was returned", 1))
		return
	case machine == nil && !n.isActive():
		send(n.renewAsFollower(report))
		return
	case machine == nil:
		n.onUnknownMachine(report, send)
		return
	case machine.Suspect && !n.isActive():
		send(api.RetryLater("no leader at the moment", 1))
		return
	case machine.Suspect:
		n.onSuspectReport(machine, report, send)
		return
	}
	if to, move := n.redirectTarget(machine, node); move {
		n.metrics.Reassigned.Inc()
		send(api.Encode(http.StatusMisdirectedRequest, &wire.Redirect{Node: to}))
		return
	}
	firstReport := !machine.Reported
	verdict := n.observe(machine, report, nil)
	if verdict.IsStale() {
		// It may be a copy from the past, or the word of a worker that began anew. It is answered, which is nothing to
		// whoever is not there, and asked. It is told nothing that it has to stop, though, so one whose answers to questions do not
		// arrive is not kept for longer than by a node that knows nothing of cancellations.
		n.probeMachine(machine, nil)
		if n.now()-machine.LastReport > n.settings.StaleRenewalLimit() {
			send(api.RetryLater("this machine does not answer", 1))
			return
		}
		send(n.renew(report.Machine, n.model.Token(machine), []wire.Command{}))
		return
	}
	if firstReport {
		n.roundRequested = true
	}
	send(n.replyToMachine(machine))
}

// replyToMachine is the answer to the report of a machine that was taken in.
func (n *Controller) replyToMachine(machine *model.Machine) *rpc.Response {
	if !n.mayRenew() {
		return api.RetryLater("no leader at the moment", 1)
	}
	machine.Reports.RecordAnswer(n.model.Token(machine))
	return n.renew(machine.Info.Name, n.model.Token(machine), n.model.Commands(machine, n.ownTerm.committedSeq, true))
}

// onSuspectReport takes the report of a machine whose lease is to run out. Before it is answered, which renews the lease, the
// suspicion is taken back by an entry; and that is done only if the machine answers now: a copy of a report from before the cut, or
// the word of one that hears nothing, would begin the count anew, again and again.
func (n *Controller) onSuspectReport(machine *model.Machine, report *wire.Heartbeat, send func(*rpc.Response)) {
	if machine.Reported {
		n.observe(machine, report, nil) // what it proves by its numbers, it proves all the same
	}
	term := n.ownTerm
	if !n.probeMachine(machine, func() {
		if n.ownTerm == term && n.isActive() && n.model.Machines[machine.ID] == machine && !machine.Suspect {
			send(n.replyToMachine(machine))
		} else {
			send(api.RetryLater("its lease is to run out", 1))
		}
	}) {
		send(api.RetryLater("its lease is to run out", 1))
	}
}

// onUnknownMachine takes the report of a machine that nobody knows: a rental whose answer was lost, or a copy from one that is long gone. It
// counts as a machine once it answers, or the cloud lists it.
func (n *Controller) onUnknownMachine(report *wire.Heartbeat, send func(*rpc.Response)) {
	term := n.ownTerm
	refusal := api.RetryLater("this machine is not known", 1)
	if len(term.unknownMachines) >= n.maxFollowUpProbes || term.unknownMachines[report.Machine] {
		send(refusal)
		return
	}
	term.unknownMachines[report.Machine] = true
	go func() {
		answer, err := n.agents.Probe(term.ctx, report.Addr, probeTimeout)
		n.post(func() {
			delete(term.unknownMachines, report.Machine)
			if n.ownTerm != term || !n.isActive() || err != nil || answer.Machine != report.Machine || n.model.Tombstones[report.Machine] {
				send(refusal)
				return
			}
			if n.model.ByName[report.Machine] == nil {
				n.log.Info("machine registered", "machine", report.Machine, "type", answer.Type, "zone", answer.Zone, "spot", answer.Spot)
				n.propose(&model.Entry{Kind: model.EntryMachine, Machine: n.model.NextMachine, At: time.Now().UnixMilli(),
					Info: &model.MachineInfo{Name: answer.Machine, Addr: answer.Addr, Type: answer.Type, Zone: answer.Zone, Spot: answer.Spot}})
			}
			machine := n.model.ByName[report.Machine]
			n.observe(machine, answer, n.model.BeginProbe(machine))
			n.roundRequested = true
			send(n.replyToMachine(machine))
		})
	}()
}

var errNotSent = errors.New("controller: a relay did not send a command")

const (
	// ordersTimeout is how long a worker has to answer a direct command.
	ordersTimeout = 3 * time.Second
	// probeTimeout is how long such a machine has to answer.
	probeTimeout = 1200 * time.Millisecond
	// probeInterval is how often one is asked at most, unless somebody waits for the answer.
	probeInterval = time.Second
)

// probeMachine asks a machine how it is now; then, if not nil, is called when it has answered or has not. It tells whether it asks.
func (n *Controller) probeMachine(machine *model.Machine, onDone func()) bool {
	term := n.ownTerm
	if machine.Info.Addr == "" || term.followUpProbes >= n.maxFollowUpProbes || onDone == nil && n.now()-machine.ProbedAt < probeInterval {
		return false
	}
	term.followUpProbes++
	machine.ProbedAt = n.now()
	addr, routes, question := machine.Info.Addr, n.routesTo(machine), n.model.BeginProbe(machine)
	go func() {
		report, err := n.queryMachine(term.ctx, routes, addr)
		n.post(func() {
			term.followUpProbes--
			if n.ownTerm == term && err == nil {
				n.onProbeAnswer(machine, report, question)
			}
			if onDone != nil {
				onDone()
			}
		})
	}()
	return true
}

// onProbeAnswer takes the answer of a machine that was asked how it is.
func (n *Controller) onProbeAnswer(machine *model.Machine, report *wire.Heartbeat, question *staleness.Question) {
	if n.model.Machines[machine.ID] != machine || report.Machine != machine.Info.Name {
		return
	}
	if machine.Suspect && n.isActive() {
		// From here on its lease is renewed again.
		n.log.Info("machine suspicion cleared", "machine", machine.Info.Name, "agent_epoch", report.AgentEpoch)
		n.propose(&model.Entry{Kind: model.EntryTrust, Machine: machine.ID})
		n.roundRequested = true
	}
	firstReport := !machine.Reported
	n.observe(machine, report, question)
	machine.LastReport = n.now()
	n.roundRequested = n.roundRequested || firstReport
}

// observe takes in a report, or the answer to a question, and logs what it proves.
func (n *Controller) observe(machine *model.Machine, report *wire.Heartbeat, question *staleness.Question) model.ReportVerdict {
	wasQuarantined, wasPartitioned, firstReport := machine.Quarantined, machine.InboundPartitionSince != 0, !machine.Reported
	verdict := n.model.Observe(machine, report, question, n.now())
	for _, e := range verdict.Entries {
		n.propose(e)
		n.roundRequested = true
	}
	if verdict.IsStale() {
		return verdict
	}
	n.ownTerm.lastHeartbeat = n.now()
	n.ownTerm.recordProbe(n.ownTerm.zoneProbe(machine.Zone), true)
	n.recordAddr(machine, report.Addr)
	if firstReport && machine.ProvisionedAt != 0 {
		n.autoscaler.OnBooted(machine.Type, machine.Zone, autoscaler.BootRatio(n.model, machine, n.now()))
	}
	switch {
	case verdict.Freshness == staleness.Restarted:
		n.log.Info("agent restarted", "machine", machine.Info.Name, "agent_epoch", report.AgentEpoch, "seq", report.Seq, "tasks", len(machine.Runs))
		n.markForCommands(machine) // a token that its earlier life can't have
	case verdict.Slow:
		n.logSlow(machine)
	case machine.Quarantined && !wasQuarantined:
		n.logQuarantined(machine)
	}
	if partitioned := machine.InboundPartitionSince != 0; partitioned != wasPartitioned {
		n.logInboundPartition(machine)
	}
	if verdict.NeedsProbe {
		n.probeMachine(machine, nil)
	}
	n.model.SealReapable(machine, n.ownTerm.nextSeq())
	for _, j := range verdict.Faulty {
		n.log.Info("job faulty, retrying with backoff", "job", j.Spec.ID, "class", j.Spec.Class, "failures", j.Errors)
	}
	for _, o := range verdict.GangReady {
		n.markForCommands(o)
	}
	if len(verdict.Entries) > 0 {
		n.markForCommands(machine) // the worker is told to forget what is logged
	}
	if firstReport && question != nil && machine.HasCancelledTask() {
		n.markForCommands(machine) // its next report may be long in coming, while it looks for this leader
	}
	return verdict
}

func (n *Controller) logInboundPartition(machine *model.Machine) {
	n.log.Info("machine inbound partition changed", "machine", machine.Info.Name, "zone", machine.Info.Zone, "inbound_partition", machine.InboundPartitionSince != 0, "tasks", len(machine.Runs))
}

// firstRetention and repeatRetention are how long a worker that does not reach the leader is
// kept by this node before it is sent to look for the leader: when it comes for the
// first time, and when it has come back.
const (
	firstRetention  = 3 * time.Second
	repeatRetention = 20 * time.Second
	// returnWindow is how long after that a worker counts as one that comes back.
	returnWindow = time.Minute
)

// recordAddr logs where a machine is, for the next leader to ask it.
func (n *Controller) recordAddr(machine *model.Machine, addr string) {
	if addr == "" || machine.Info.Addr == addr {
		return
	}
	info := machine.Info
	info.Addr = addr
	n.propose(&model.Entry{Kind: model.EntryMachine, Machine: machine.ID, At: machine.At, Info: &info})
}

// onReportAsFollower answers a worker when another node leads, or none.
func (n *Controller) onReportAsFollower(report *wire.Heartbeat) *rpc.Response {
	now := time.Now()
	if !n.loaded {
		return api.Encode(http.StatusMisdirectedRequest, &wire.Redirect{})
	}
	if n.leader != nil && n.leader.Node != n.settings.Node {
		link := n.links[n.leader.Node]
		if !n.retainsWorker(report.Machine, link != nil && now.Sub(link.LastResponse()) < linkFreshness) {
			return api.Encode(http.StatusMisdirectedRequest, &wire.Redirect{Node: n.leader.Node})
		}
	}
	return n.renewAsFollower(report)
}

// retainsWorker tells whether a worker is kept by this node, which can't serve it, or sent to look for the leader; reached tells whether this
// node reaches the leader.
func (n *Controller) retainsWorker(machine string, reached bool) bool {
	now := time.Now()
	until, known := n.noRedirectUntil[machine]
	if !known || now.Sub(until) > returnWindow {
		// It comes for the first time, since the leader did not answer it, and
		// its lease may be near its end: it is kept before it is sent to look
		// for the leader again, which takes long when nothing answers.
		until = now.Add(firstRetention)
	} else if !reached && now.After(until) {
		until = now.Add(repeatRetention) // if it comes back, it is cut off from the leader too
		reached = true
	}
	if !reached || known {
		n.noRedirectUntil[machine] = until
	}
	return !reached
}

// renewAsFollower renews a worker's lease under the worker's own token while no leader
// can. Nothing is started. Tasks of jobs that the log shows as cancelled are
// stopped, and what this node can't know of any more is why it ends after a
// bound: a job cancelled after the log was last read here still loses its tasks
// in time when the leases then run out.
func (n *Controller) renewAsFollower(report *wire.Heartbeat) *rpc.Response {
	if machine := n.model.ByName[report.Machine]; machine != nil && (machine.Suspect || n.delayedStartPossible(machine, report)) {
		return api.RetryLater("its lease is to run out", 1)
	}
	commands := []wire.Command{}
	for _, t := range report.Tasks {
		num, _, ok := wire.ParseTaskID(t.Task)
		if !ok || t.State == wire.TaskExited || len(commands) >= 300 {
			continue
		}
		id := model.JobID(num)
		j := n.model.Jobs[id]
		if n.model.Finals[id] == model.FinalCancelled || j != nil && j.Cancelled && (n.ownTerm == nil || j.FinalSeq <= n.ownTerm.committedSeq) {
			commands = append(commands, wire.Command{Verb: wire.Stop, Task: t.Task, Attempt: t.Attempt, GraceS: new(float64)})
		}
	}
	if machine := n.model.ByName[report.Machine]; machine != nil {
		if delete(n.clearedMachines, machine.ID); len(commands) == 0 {
			n.clearedMachines[machine.ID] = time.Now()
		}
	}
	return n.renew(report.Machine, report.FencingToken, commands)
}

// markForCommands marks a machine as having something to be told.
func (n *Controller) markForCommands(machine *model.Machine) {
	if term := n.ownTerm; term != nil {
		term.dirtyMachines[machine] = true
	}
}

// sendDirect gives a machine its commands at once instead of with its next report.
func (n *Controller) sendDirect(machine *model.Machine) {
	term := n.ownTerm
	if term == nil || machine.DirectInFlight {
		return
	}
	if n.model.Machines[machine.ID] != machine || machine.DirectFailed || !machine.Reported || machine.Info.Addr == "" || machine.Releasing {
		delete(term.dirtyMachines, machine)
		return
	}
	commands := n.model.Commands(machine, term.committedSeq, false)
	// What waits for the log is told once it is there, not by asking again at
	// once: that would be a loop of commands that say nothing new.
	delete(term.dirtyMachines, machine)
	if n.hasUncommitted(machine) {
		term.dirtyAfterCommit[machine] = true
	}
	if len(commands) == 0 && machine.Reports.Fenced() {
		return
	}
	token, question := n.model.Token(machine), n.model.BeginProbe(machine)
	n.model.StartsSent(machine, commands, token)
	machine.DirectInFlight = true
	term.timeline.Mark(candidacy.FirstCommand, n.now())
	orders := &wire.Orders{FencingToken: token, AgentEpoch: machine.Session, Commands: commands}
	addr, via := machine.Info.Addr, n.relayFor(machine)
	go func() {
		fate, report, err := n.sendOrders(term.ctx, via, addr, orders)
		n.post(func() {
			if n.ownTerm != term {
				return
			}
			machine.DirectInFlight = false
			if n.model.Machines[machine.ID] != machine {
				return
			}
			switch fate {
			case agent.Unknown:
				n.log.Debug("command outcome unknown", "machine", machine.Info.Name, "err", err)
				n.model.StartsLost(machine, commands, token)
				n.probeMachine(machine, func() {
					// Reports may go on to come from it.
					if n.ownTerm == term && n.model.Machines[machine.ID] == machine && n.now()-machine.LastReport > probeTimeout && machine.DirectFailed && machine.InboundPartitionSince == 0 {
						machine.MarkInboundPartition(n.now())
						n.model.RaiseToken(machine)
						n.logInboundPartition(machine)
					}
				})
			case agent.Unsent:
				n.model.StartsAnswered(machine, commands, token, false)
				machine.DirectFailed = true
			case agent.Refused:
				n.model.StartsAnswered(machine, commands, token, false)
			case agent.Executed:
				term.timeline.Mark(candidacy.FirstExecution, n.now())
				n.model.StartsAnswered(machine, commands, token, true)
			}
			if report != nil && report.Machine == machine.Info.Name {
				n.observe(machine, report, question)
			}
			if term.dirtyMachines[machine] {
				n.sendDirect(machine)
			}
		})
	}()
}

// hasUncommitted tells whether a machine has a placement that is not committed yet.
func (n *Controller) hasUncommitted(machine *model.Machine) bool {
	for _, run := range machine.Runs {
		if run.PlacedSeq > n.ownTerm.committedSeq || run.Job.FinalSeq > n.ownTerm.committedSeq {
			return true
		}
	}
	return n.model.ReapPending(machine, n.ownTerm.committedSeq)
}

// Bind logs and applies a placement (sched.Doer).
func (n *Controller) Bind(j *model.Job, task int32, attempt uint32, machine *model.Machine, score float64) {
	n.log.Debug("task placed", "job", j.Spec.ID, "task", task, "attempt", attempt, "machine", machine.Info.Name, "image_cached", machine.HasImage(j.Image), "score", score)
	n.metrics.Placed.Inc()
	n.ownTerm.timeline.Mark(candidacy.FirstPlacement, n.now())
	n.propose(&model.Entry{Kind: model.EntryPlace, Job: j.ID, Task: task, Attempt: attempt, Machine: machine.ID, Session: machine.Session})
	n.markForCommands(machine)
}

// Preempt marks a run to be stopped (sched.Doer). It needs no log: a stop that is
// lost with its leader is decided again.
func (n *Controller) Preempt(run *model.Run, hard bool, reason string) {
	if run.Stop {
		return
	}
	n.log.Info("task preempted", "task", wire.TaskID(uint64(run.Job.ID), int(run.Task)), "machine", run.Machine.Info.Name, "reason", reason)
	run.Stop, run.Hard = true, hard
	n.metrics.Stopped.Inc()
	n.stopRun(run)
}

// stopRun has a run end that is to be stopped, or whose job is cancelled: at once if nothing of it has left this node, or else by telling its machine.
func (n *Controller) stopRun(run *model.Run) {
	if run.IsUnsent(n.ownTerm.committedSeq) {
		// Its placement is on the way into the log and nothing else happened: the
		// room need not wait for the log and for the machine's word.
		n.propose(&model.Entry{Kind: model.EntryEnded, Job: run.Job.ID, Task: run.Task, Attempt: run.Attempt})
		n.roundRequested = true
		return
	}
	n.markForCommands(run.Machine)
	n.sendDirect(run.Machine)
}

// runScheduler runs the scheduler.
func (n *Controller) runScheduler(tick bool) {
	term := n.ownTerm
	n.roundRequested = false
	if term == nil || !n.isActive() || term.stalled() {
		return
	}
	n.lastRound = time.Now()
	// Before all machines with work are heard of, only what is urgent and finds its image where it may go at once is
	// placed, and nothing is stopped: what is decided knows a part of the fleet only.
	n.scheduler.AwaitingHeartbeats = n.lastRound.Before(term.reportGraceEnd) && !n.allMachinesReported()
	if !n.scheduler.AwaitingHeartbeats {
		term.timeline.Mark(candidacy.AgentsAccounted, n.now())
	}
	n.scheduler.LowPriorityLimit = term.lowPriorityLimit
	n.scheduler.Round(n.model, n.now(), tick, n)
	n.roundRequested = n.roundRequested || n.scheduler.LowPriorityDeferred
	// Rounds share a processor with users and workers: the dearer they are, the
	// further apart events may wake them.
	elapsed := time.Since(n.lastRound)
	n.metrics.SchedulingRound.Update(elapsed.Seconds())
	n.roundGap = min(maxRoundGap, max(minRoundGap, roundGapFactor*elapsed))
}

// probeAfter is how long a machine may say nothing before it is asked itself:
// the longest pause between two reports and some time on the way.
func (n *Controller) probeAfter() time.Duration {
	return config.Seconds(n.settings.Params.Workers.HeartbeatS*1.25 + 0.75)
}

// silentAfter is how long a machine may say nothing, also when asked, before it
// is given up.
func (n *Controller) silentAfter() time.Duration { return n.probeAfter() + 3*time.Second }

// zoneProbeLimit is how many silent machines of a zone are asked at the same time: a tenth of all sockets for all
// zones. Each zone has places of its own, so that a zone whose machines don't answer, each of which holds its place
// for more than a second, keeps no machine of another one from being asked before it is given up.
func zoneProbeLimit(sockets, zones int) int { return max(48, sockets/(10*max(1, zones))) }

// followUpProbeLimit is how many machines are asked at the same time because of what they said, and as many because nobody
// knows them.
func followUpProbeLimit(sockets int) int { return max(32, sockets/32) }

// relayedProbeLimit is how many machines a relay asks at the same time for the leader.
func relayedProbeLimit(sockets int) int { return max(minRelayed, sockets/6) }

// probeSilent asks a silent machine how it is. A worker that lost its node may take
// long to find the leader; one that is dead or hangs does not answer at all.
// With first it is not asked any more once its zone is known to be mute.
func (n *Controller) probeSilent(machine *model.Machine, skipIfZoneSilent bool) {
	term := n.ownTerm
	if machine.Probing || machine.DirectInFlight || machine.Info.Addr == "" {
		return
	}
	machine.Probing = true
	addr, routes, zone := machine.Info.Addr, n.routesTo(machine), term.zoneProbe(machine.Zone)
	question := n.model.BeginProbe(machine)
	go func() {
		select {
		case zone.slots <- struct{}{}:
		case <-term.ctx.Done():
			return
		}
		defer zone.slots.release()
		if skipIfZoneSilent && zone.silent.Load() {
			n.post(func() { machine.Probing = false })
			return
		}
		report, err := n.queryMachine(term.ctx, routes, addr)
		n.post(func() {
			machine.Probing = false
			if n.ownTerm == term && err != nil && !machine.Reported {
				term.unresponsive[machine] = true
				term.recordProbe(zone, false)
				n.roundRequested = true
			}
			if n.ownTerm == term && err == nil {
				n.onProbeAnswer(machine, report, question)
			}
		})
	}()
}
