package controller

import (
	"time"

	"fieldhill/internal/model"
	"fieldhill/internal/replication/candidacy"
	"fieldhill/internal/scheduling/scheduler"
	"fieldhill/wire"
)

// schedulingRounds runs the scheduler regularly and when something changed, and carries out what it decides: it is the
// scheduler.Binder that writes placements into the log. The scheduler is the leader's alone, begins anew with each term
// and is used in the loop alone; what it remembers from round to round is lost with the term.
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

// schedulingRoundsTerm is what schedulingRounds has for one term of leadership.
type schedulingRoundsTerm struct {
	lowPriorityLimit int // tasks of low priority that a round may place; the maintenance sets it
}

// Bind logs and applies a placement (scheduler.Binder).
func (sr *schedulingRounds) Bind(job *model.Job, task int32, attempt uint32, machine *model.Machine, score float64) {
	sr.log.Debug("task placed", "job", job.Spec.ID, "task", task, "attempt", attempt, "machine", machine.Info.Name,
		"image_cached", machine.HasImage(job.Image), "score", score)
	sr.metrics.Placed.Inc()
	sr.term.ownTerm.leadership.timeline.Mark(candidacy.FirstPlacement, sr.now())
	sr.commits.propose(model.NewPlacement(job.ID, task, attempt, machine.ID, machine.Contact.Session))
	sr.dispatch.markForCommands(machine)
}

// Preempt has a run stopped (scheduler.Binder). It needs no entry of the log: a stop that is lost with its leader is
// decided again.
func (sr *schedulingRounds) Preempt(run *model.Run, hard bool, reason string) {
	if run.Stop {
		return
	}
	sr.log.Info("task preempted", "task", wire.TaskID(uint64(run.Job.ID), int(run.Task)),
		"machine", run.Machine.Info.Name, "reason", reason)
	run.Stop, run.Hard = true, hard
	sr.metrics.Stopped.Inc()
	sr.dispatch.stopRun(run)
}

// runScheduler runs a round as the leader, unless the log is behind. regular tells a periodic round from one that an
// event requested.
func (sr *schedulingRounds) runScheduler(regular bool) {
	term := sr.term.ownTerm
	sr.loop.roundRequested = false
	if term == nil || !sr.term.isActive() || term.stalled() {
		return
	}
	sr.loop.lastRound = time.Now()
	// Before all machines with work have reported, only what is urgent and finds its image where it may go at once is
	// placed, and nothing is preempted: the decisions would be made of a part of the fleet only.
	sr.scheduler.AwaitingHeartbeats = sr.loop.lastRound.Before(term.leadership.reportGraceEnd) &&
		!sr.probes.allMachinesReported()
	if !sr.scheduler.AwaitingHeartbeats {
		term.leadership.timeline.Mark(candidacy.AgentsAccounted, sr.now())
	}
	sr.scheduler.LowPriorityLimit = term.rounds.lowPriorityLimit
	sr.scheduler.Round(sr.replica.model, sr.now(), regular, sr)
	sr.loop.roundRequested = sr.loop.roundRequested || sr.scheduler.LowPriorityDeferred
	// Rounds share a processor with users and agents: the more they cost, the further apart events may request them.
	elapsed := time.Since(sr.loop.lastRound)
	sr.metrics.SchedulingRound.Update(elapsed.Seconds())
	sr.loop.roundGap = min(maxRoundGap, max(minRoundGap, roundGapFactor*elapsed))
}
