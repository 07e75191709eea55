package emulator

import (
	"slices"
	"time"

	"fieldhill/wire"
)

// capacityTolerance is the amount by which the summed resources of tasks may exceed those of a machine, to allow for
// rounding errors.
const capacityTolerance = 1e-9

// advance simulates one tick of all tasks on the machine. If the lease has expired, it instead ends all tasks and
// starts a new epoch.
func (w *Worker) advance() {
	if w.terminated {
		return
	}
	now := time.Now()
	if now.After(w.leaseExpiry) {
		for _, t := range w.tasks {
			w.removeTask(t, false)
		}
		w.tasks, w.heartbeatDue = nil, true
		w.epoch++
		w.leaseExpiry = now.Add(w.environment.leaseDuration)
	}
	for _, t := range w.tasks {
		switch t.state {
		case wire.TaskFetching:
			w.advanceFetching(t, now)
		case wire.TaskWaiting:
			if w.environment.gangs.isComplete(t.id, t.attempt, t.spec.Tasks) {
				w.setTaskState(t, wire.TaskRunning)
			} else if now.Sub(t.stateSince) > w.environment.gangs.timeout {
				w.exitTask(t, wire.CauseGangIncomplete, false)
			}
		case wire.TaskRunning:
			w.advanceRunning(t)
		case wire.TaskCheckpointing:
			if now.Sub(t.stateSince).Seconds() > t.spec.CheckpointWriteS {
				w.exitTask(t, wire.CauseStopped, true)
			}
		}
	}
}

// advanceFetching starts a task once its image is fetched. A task that an earlier attempt completed, or whose gang has
// finished, is done at once. A member of an unfinished gang waits for the other members.
func (w *Worker) advanceFetching(t *taskAttempt, now time.Time) {
	if !w.cachedImages[t.spec.Image] && now.Sub(t.stateSince) <= w.environment.imageFetchDuration() {
		return
	}
	w.cachedImages[t.spec.Image] = true
	t.recordedOnMachine = true
	w.environment.Checker.RecordStart(t.id, w)
	switch {
	case w.environment.Checker.isDone(t.id) || t.isGang() && w.environment.gangs.isFinished(t.id):
		w.exitTask(t, wire.CauseDone, false)
	case t.isGang():
		w.environment.gangs.join(t.id, t.attempt)
		w.setTaskState(t, wire.TaskWaiting)
	default:
		w.setTaskState(t, wire.TaskRunning)
	}
}

// advanceRunning simulates one tick of a running task: it ends the task if the task fails, or if its gang has finished
// or has lost a member. Otherwise it reduces the remaining runtime, and ends the task as done when none is left; a
// service runs until it is stopped.
func (w *Worker) advanceRunning(t *taskAttempt) {
	switch {
	case w.failAllTasks || w.environment.isFailing(t.spec.ID):
		w.exitTask(t, wire.CauseError, false)
	case t.isGang() && w.environment.gangs.isFinished(t.id):
		w.exitTask(t, wire.CauseDone, false)
	case t.isGang() && !w.environment.gangs.isComplete(t.id, t.attempt, t.spec.Tasks):
		w.exitTask(t, wire.CausePeers, false)
	case t.spec.Shape != wire.Service:
		if t.remaining -= tickInterval; t.remaining <= 0 {
			w.environment.onTaskEnding(t.id)
			w.exitTask(t, wire.CauseDone, false)
		}
	}
}

func (w *Worker) setTaskState(t *taskAttempt, state string) {
	t.state, t.stateSince, w.heartbeatDue = state, time.Now(), true
}

// exitTask ends a task with a cause. Heartbeats report the ended task until a forget command for it arrives.
func (w *Worker) exitTask(t *taskAttempt, cause string, checkpointed bool) {
	w.setTaskState(t, wire.TaskExited)
	t.cause, t.checkpointed = cause, checkpointed
	w.removeTask(t, cause == wire.CauseDone)
}

// removeTask reports to the invariant checker and the gang registry that a task is no longer on the machine.
func (w *Worker) removeTask(t *taskAttempt, done bool) {
	if t.recordedOnMachine {
		t.recordedOnMachine = false
		w.environment.Checker.RecordExit(t.id, w, done)
	}
	if t.spec != nil && t.isGang() {
		w.environment.gangs.leave(t.id, t.attempt, done)
	}
}

// execute applies a controller's start, stop and forget commands to the tasks on the machine. It ignores commands that
// don't apply to the state of their task, such as repeated ones.
func (w *Worker) execute(commands []wire.Command) {
	for _, command := range commands {
		t := w.findTask(command.Task, command.Attempt)
		switch {
		case command.Verb == wire.VerbStart && t == nil:
			w.startTask(command)
		case command.Verb == wire.VerbStop && t != nil && t.state != wire.TaskExited:
			w.stopTask(t, command.GraceS)
		case command.Verb == wire.VerbForget && t != nil && t.state == wire.TaskExited:
			w.tasks = slices.DeleteFunc(slices.Clone(w.tasks), func(other *taskAttempt) bool { return other == t })
			w.heartbeatDue = true
		}
	}
}

func (w *Worker) findTask(id string, attempt uint64) (found *taskAttempt) {
	for _, t := range w.tasks {
		if t.id == id && t.attempt == attempt {
			found = t
		}
	}
	return found
}

// stopTask ends a task. A running task writes a checkpoint first if its job uses checkpoints and the grace period is
// long enough for the write. A stop without a grace period also ends a task that is writing a checkpoint.
func (w *Worker) stopTask(t *taskAttempt, graceS *float64) {
	grace := 0.0
	if graceS != nil {
		grace = *graceS
	}
	canCheckpoint := t.spec.CheckpointIntervalS > 0 && grace >= t.spec.CheckpointWriteS
	switch {
	case t.state == wire.TaskCheckpointing && grace > 0:
	case t.state == wire.TaskRunning && canCheckpoint:
		w.setTaskState(t, wire.TaskCheckpointing)
	default:
		w.exitTask(t, wire.CauseStopped, false)
	}
}

// startTask adds a task to the machine, which first fetches the task's image. The task ends at once if its job is
// unknown or the machine can't run it.
func (w *Worker) startTask(command wire.Command) {
	w.heartbeatDue = true
	t := &taskAttempt{
		id:         command.Task,
		attempt:    command.Attempt,
		stateSince: time.Now(),
		state:      wire.TaskFetching,
	}
	w.tasks = append(w.tasks, t)
	n, _, _ := wire.ParseTaskID(command.Task)
	t.spec = w.environment.Checker.Spec(n)
	if t.spec == nil {
		w.exitTask(t, wire.CauseUnknown, false)
		return
	}
	if w.environment.onTaskStart != nil {
		w.environment.onTaskStart(t.spec)
	}
	t.remaining = time.Duration(float64(w.environment.taskDuration(t.spec.EstimateS)) * (0.7 + w.rng.Float64()))
	if cause := w.refusalCause(t); cause != "" {
		w.exitTask(t, cause, false)
	}
}

// refusalCause returns why the machine can't run a task that was just added to w.tasks: another attempt of the task is
// still on the machine, or the machine lacks resources. It returns "" if the machine can run the task.
func (w *Worker) refusalCause(t *taskAttempt) string {
	cpus, gpus, memory := 0.0, 0.0, 0.0
	for _, other := range w.tasks {
		if other.state == wire.TaskExited {
			continue
		}
		if other != t && other.id == t.id {
			return wire.CauseBusy
		}
		cpus += other.spec.CPUs
		gpus += other.spec.GPUs
		memory += other.spec.MemoryGB
	}
	machine := w.environment.Cloud.machineType(w.Type)
	if cpus > machine.CPUs+capacityTolerance || gpus > machine.GPUs+capacityTolerance ||
		memory > machine.MemoryGB+capacityTolerance {
		return wire.CauseNoCapacity
	}
	return ""
}
