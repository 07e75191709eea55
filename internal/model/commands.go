package model

import "fieldhill/wire"

// maxCommands is the maximum number of commands per message to a machine. Further commands are sent after the machine's
// next report.
const maxCommands = 400

// Commands returns the commands to send to a machine now. committed is the highest committed log sequence number:
// commands for a run are sent only after its placement is committed. inResponse means that the commands are sent in the
// response to the last observed report rather than directly. Commands may raise the machine's token, so the token of
// the message is to be read afterwards.
func (m *Model) Commands(machine *Machine, committed uint64, inResponse bool) []wire.Command {
	commands := []wire.Command{}
	for _, d := range machine.Contact.reapable {
		if len(commands) >= maxCommands {
			return commands
		}
		if c, ok := m.reapCommand(machine, d, committed, inResponse); ok {
			commands = append(commands, c)
		}
	}
	for _, r := range machine.Runs {
		if len(commands) >= maxCommands {
			break
		}
		if c, ok := m.runCommand(r, committed, inResponse); ok {
			commands = append(commands, c)
		}
	}
	return commands
}

// reapCommand returns the command for an attempt that an agent lists but that has no run: to forget it if it has
// exited, otherwise to stop it.
func (t *leaderTerm) reapCommand(
	machine *Machine, d reapableTask, committed uint64, inResponse bool,
) (_ wire.Command, ok bool) {
	if !d.exited {
		return commandFor(d.key, wire.VerbStop, new(float64)), true
	}
	// If a start arrived after the agent had forgotten the attempt, the agent would run the attempt again. So the
	// attempt is forgotten only when no start of it, by this leader or an earlier one, can be in flight.
	contact := &machine.Contact
	_, open := contact.unresolvedStarts[d.key]
	if open {
		t.fenceStart(machine, d.key)
	}
	if open || committed < d.seq || contact.Reports.Token() < t.MinToken || !contact.Reports.Fenced() {
		return wire.Command{}, false
	}
	if !t.mayReap(machine, d.key, inResponse) {
		return wire.Command{}, false
	}
	return commandFor(d.key, wire.VerbForget, nil), true
}

// runCommand returns the command to start or stop a run, if one is due.
func (m *Model) runCommand(r *Run, committed uint64, inResponse bool) (_ wire.Command, ok bool) {
	contact := &r.Machine.Contact
	if r.AgentEpoch != contact.AgentEpoch || committed < r.PlacedSeq {
		return wire.Command{}, false
	}
	switch {
	case r.Job.Cancelled:
		// The stop does not have to wait for the cancellation to be committed. If the cancellation is lost, the stop
		// only ends this attempt, and the task is retried once the agent reports the end.
		return commandFor(r.key(), wire.VerbStop, new(float64)), true
	case r.Stop:
		grace := new(float64)
		if !r.SkipCheckpoint && r.Job.Spec.CheckpointIntervalS > 0 {
			*grace = r.Job.Spec.CheckpointWriteS + 1
		}
		return commandFor(r.key(), wire.VerbStop, grace), true
	case r.Phase == Unseen && !m.mustHoldStart(r):
		contact.recordSentStart(r.key(), m.Token(r.Machine))
		if inResponse {
			r.startResponseSeq = contact.Reports.Number().Seq
		}
		return commandFor(r.key(), wire.VerbStart, nil), true
	}
	return wire.Command{}, false
}

// commandFor returns a command for an attempt. grace applies to stops only: it is the time in seconds that the task has
// to write a checkpoint.
func commandFor(k runKey, verb string, grace *float64) wire.Command {
	return wire.Command{
		Verb: verb, Task: wire.TaskID(uint64(k.job), int(k.task)), Attempt: uint64(k.attempt), GraceS: grace,
	}
}

// Reasons of stop commands.
const (
	stopCancelled = "(job cancelled)"
	stopUnwanted  = "(preempted or moved)"
	stopUntracked = "(not placed here)"
)

// StopReason returns why an attempt on a machine is told to stop, for the log.
func (m *Model) StopReason(machine *Machine, command *wire.Command) string {
	job, task, _ := wire.ParseTaskID(command.Task)
	switch run := m.findRun(JobID(job), int32(task), uint32(command.Attempt)); {
	case run == nil || run.Machine != machine:
		return stopUntracked
	case run.Job.Cancelled:
		return stopCancelled
	}
	return stopUnwanted
}
