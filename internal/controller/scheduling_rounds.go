package controller

import (
	"time"

	"fieldhill/internal/model"
	"fieldhill/internal/replication/candidacy"
	"fieldhill/internal/scheduling/scheduler"
	"fieldhill/wire"
)

// schedulingRounds runs the scheduler when something changed, and carries its decisions out (sched.Doer).
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

// schedulingRoundsTerm is what schedulingRounds keeps for one term of leadership.
type schedulingRoundsTerm struct {
	lowPriorityLimit int // low tasks to be placed in a round
}

// Bind logs and applies a placement (sched.Doer).
func (sr *schedulingRounds) Bind(j *model.Job, task int32, attempt uint32, machine *model.Machine, score float64) {
	sr.log.Debug("task placed", "job", j.Spec.ID, "task", task, "attempt", attempt, "machine", machine.Info.Name,
		"image_cached", machine.HasImage(j.Image), "score", score)
	sr.metrics.Placed.Inc()
	sr.term.ownTerm.leadership.timeline.Mark(candidacy.FirstPlacement, sr.now())
	sr.commits.propose(
		&model.Entry{
			Kind:    model.EntryPlace,
			Job:     j.ID,
			Task:    task,
			Attempt: attempt,
			Machine: machine.ID,
			Session: machine.Contact.Session,
		},
	)
	sr.dispatch.markForCommands(machine)
}

// Preempt marks a run to be stopped (sched.Doer). It needs no log: a stop that is
// lost with its leader is decided again.
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

// runScheduler runs the scheduler.
func (sr *schedulingRounds) runScheduler(tick bool) {
	term := sr.term.ownTerm
	sr.loop.roundRequested = false
	if term == nil || !sr.term.isActive() || term.stalled() {
		return
	}
	sr.loop.lastRound = time.Now()
	// Before all machines with work are heard of, only what is urgent and finds its image where it may go at once is
	// placed, and nothing is stopped: what is decided knows a part of the fleet only.
	sr.scheduler.AwaitingHeartbeats = sr.loop.lastRound.Before(term.leadership.reportGraceEnd) &&
		!sr.probes.allMachinesReported()
	if !sr.scheduler.AwaitingHeartbeats {
		term.leadership.timeline.Mark(candidacy.AgentsAccounted, sr.now())
	}
	sr.scheduler.LowPriorityLimit = term.rounds.lowPriorityLimit
	sr.scheduler.Round(sr.replica.model, sr.now(), tick, sr)
	sr.loop.roundRequested = sr.loop.roundRequested || sr.scheduler.LowPriorityDeferred
	// Rounds share a processor with users and workers: the dearer they are, the
	// further apart events may wake them.
	elapsed := time.Since(sr.loop.lastRound)
	sr.metrics.SchedulingRound.Update(elapsed.Seconds())
	sr.loop.roundGap = min(maxRoundGap, max(minRoundGap, roundGapFactor*elapsed))
}
