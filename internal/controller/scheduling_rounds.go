package controller

import (
	"time"

	"fieldhill/internal/model"
	"fieldhill/internal/replication/candidacy"
	"fieldhill/internal/scheduling/scheduler"
	"fieldhill/wire"
)

// schedulingRounds runs the scheduler periodically and after changes, and applies its decisions: it implements
// scheduler.Binder and writes placements to the log. The scheduler exists only on the leader and is used only on the
// event loop. It is created anew for each term, so state that it keeps between rounds is lost with the term.
type schedulingRounds struct {
	*environment
	commits  *commitPipeline
	dispatch *commandDispatcher
	loop     *eventLoop
	probes   *probes
	replica  *replica
	term     *termState

	scheduler *scheduler.Scheduler
}

// schedulingRoundsTerm is the state of schedulingRounds for one term of leadership.
type schedulingRoundsTerm struct {
	lowPriorityLimit int // low-priority tasks that a round may place; see nextLowPriorityLimit
}

// Bind implements scheduler.Binder: it writes a placement to the log and applies it.
func (sr *schedulingRounds) Bind(job *model.Job, task int32, attempt uint32, machine *model.Machine, score float64) {
	sr.log.Debug("task placed", "job", job.Spec.ID, "task", task, "attempt", attempt, "machine", machine.Info.Name,
		"image_cached", machine.HasImage(job.Image), "score", score)
	sr.metrics.TasksPlaced.Inc()
	sr.term.ownTerm.leadership.timeline.Mark(candidacy.FirstPlacement, sr.now())
	sr.commits.propose(model.NewPlacement(job.ID, task, attempt, machine.ID, machine.Contact.AgentEpoch))
	sr.dispatch.markForCommands(machine)
}

// Preempt implements scheduler.Binder: it stops a run. No log entry is needed: if the stop is lost with the leader's
// term, the next leader decides again whether to preempt.
func (sr *schedulingRounds) Preempt(run *model.Run, skipCheckpoint bool, reason string) {
	if run.Stop {
		return
	}
	sr.log.Info("task preempted", "task", wire.TaskID(uint64(run.Job.ID), int(run.Task)),
		"machine", run.Machine.Info.Name, "reason", reason)
	run.Stop, run.SkipCheckpoint = true, skipCheckpoint
	sr.metrics.TasksStopped.Inc()
	sr.dispatch.stopRun(run)
}

// runScheduler runs a scheduling round as the leader, unless log writes are stalled. regular distinguishes a periodic
// round from one requested by an event.
func (sr *schedulingRounds) runScheduler(regular bool) {
	term := sr.term.ownTerm
	sr.loop.roundRequested = false
	if term == nil || !sr.term.isActive() || term.stalled() {
		return
	}
	sr.loop.lastRound = time.Now()
	// Until all machines with tasks have sent a heartbeat, the round places only urgent tasks whose image is already
	// cached on a machine that suits them, and preempts nothing, since it sees only part of the fleet.
	sr.scheduler.AwaitingHeartbeats = sr.loop.lastRound.Before(term.leadership.reportGraceEnd) &&
		!sr.probes.allMachinesReported()
	if !sr.scheduler.AwaitingHeartbeats {
		term.leadership.timeline.Mark(candidacy.AgentsAccounted, sr.now())
	}
	sr.scheduler.LowPriorityLimit = term.rounds.lowPriorityLimit
	sr.scheduler.Round(sr.replica.model, sr.now(), regular, sr)
	sr.loop.roundRequested = sr.loop.roundRequested || sr.scheduler.LowPriorityDeferred
	// Rounds share the CPU with requests from users and agents, so the minimum gap between rounds requested by events
	// grows with their duration.
	elapsed := time.Since(sr.loop.lastRound)
	sr.metrics.SchedulingRound.Update(elapsed.Seconds())
	sr.loop.roundGap = min(maxRoundGap, max(minRoundGap, roundGapFactor*elapsed))
}
