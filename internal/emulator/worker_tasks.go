package emulator

import (
	"slices"
	"time"

	"fieldhill/wire"
)

// capacityTolerance is by how much the resources of a machine's tasks may exceed the machine's through rounding.
const capacityTolerance = 1e-9

// advance moves tasks on by a step, and begins a new epoch when the lease has expired.
func (w *Worker) advance() {
	if w.terminated {
		return
	}
	now := time.Now()
	if now.After(w.leaseExpiry) {
		for _, t := range w.tasks {
			w.removeTask(t, false)
		}
		w.tasks, w.changed = nil, true
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

// advanceFetching begins a task as soon as its image is there. One that has completed before is done at once.
func (w *Worker) advanceFetching(t *runningTask, now time.Time) {
	if !w.cachedImages[t.spec.Image] && now.Sub(t.stateSince) <= w.environment.imageFetchDuration() {
		return
	}
	w.cachedImages[t.spec.Image] = true
	t.onMachine = true
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

// advanceRunning ends a task that fails, whose gang has ended, or that is done.
func (w *Worker) advanceRunning(t *runningTask) {
	switch {
	case w.failsTasks || w.environment.isFailing(t.spec.ID):
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

func (w *Worker) setTaskState(t *runningTask, state string) {
	t.state, t.stateSince, w.changed = state, time.Now(), true
}

// exitTask ends a task, which the heartbeats contain until it is forgotten.
func (w *Worker) exitTask(t *runningTask, cause string, checkpointed bool) {
	w.setTaskState(t, wire.TaskExited)
	t.cause, t.checkpointed = cause, checkpointed
	w.removeTask(t, cause == wire.CauseDone)
}

// removeTask takes a task off the machine, as the invariant checker and the other members of its gang see it.
func (w *Worker) removeTask(t *runningTask, done bool) {
	if t.onMachine {
		t.onMachine = false
		w.environment.Checker.RecordExit(t.id, w, done)
	}
	if t.spec != nil && t.isGang() {
		w.environment.gangs.leave(t.id, t.attempt, done)
	}
}

// execute carries out commands. Those that don't fit the state of their task have no effect, as when they are repeated.
func (w *Worker) execute(commands []wire.Command) {
	for _, command := range commands {
		t := w.findTask(command.Task, command.Attempt)
		switch {
		case command.Verb == wire.Start && t == nil:
			w.startTask(command)
		case command.Verb == wire.Stop && t != nil && t.state != wire.TaskExited:
			w.stopTask(t, command.GraceS)
		case command.Verb == wire.Forget && t != nil && t.state == wire.TaskExited:
			w.tasks = slices.DeleteFunc(slices.Clone(w.tasks), func(other *runningTask) bool { return other == t })
			w.changed = true
		}
	}
}

func (w *Worker) findTask(id string, attempt uint64) (found *runningTask) {
	for _, t := range w.tasks {
		if t.id == id && t.attempt == attempt {
			found = t
		}
	}
	return found
}

// stopTask ends a task, after it has saved its progress if the grace is long enough for that. A stop without grace ends
// also a task that is about to save.
func (w *Worker) stopTask(t *runningTask, graceS *float64) {
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

// startTask begins to fetch a task's image, unless the machine can't run the task.
func (w *Worker) startTask(command wire.Command) {
	w.changed = true
	t := &runningTask{
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
	if cause := w.startRefusal(t); cause != "" {
		w.exitTask(t, cause, false)
	}
}

// startRefusal is the cause for which a machine can't run a task that is among its tasks already: another attempt of it
// is there, or the machine is too small for all of them. It is "" if the machine can.
func (w *Worker) startRefusal(t *runningTask) string {
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
