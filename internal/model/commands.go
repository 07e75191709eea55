package model

import "fieldhill/wire"

// maxCommands is how many commands a machine gets at once. The rest follow with its next report.
const maxCommands = 400

// Commands lists what a machine is to be commanded now. Starts go out only when their
// placement is committed. With viaAnswer the commands go with the answer to the
// report last observed.
func (m *Model) Commands(machine *Machine, committed uint64, viaAnswer bool) []wire.Command {
	commands := []wire.Command{}
	for _, d := range machine.Contact.reapable {
		if len(commands) >= maxCommands {
			return commands
		}
		if c, ok := m.reapCommand(machine, d, committed); ok {
			commands = append(commands, c)
		}
	}
	for _, r := range machine.Runs {
		if len(commands) >= maxCommands {
			break
		}
		if c, ok := m.runCommand(r, committed, viaAnswer); ok {
			commands = append(commands, c)
		}
	}
	return commands
}

// reapCommand is the command for an attempt that an agent lists and that has no run: to forget it, or to stop it.
func (t *leaderTerm) reapCommand(machine *Machine, d reapableTask, committed uint64) (_ wire.Command, ok bool) {
	if !d.exited {
		return commandFor(d.key, wire.Stop, new(float64)), true
	}
	// After it is forgotten a repeated start would run it again, so no
	// start of it may be under way, from this leader or another.
	contact := &machine.Contact
	_, open := contact.unresolvedStarts[d.key]
	if open {
		t.fenceStart(machine, d.key)
	}
	if open || committed < d.seq || contact.Reports.Token() < t.TermBase || !contact.Reports.Fenced() {
		return wire.Command{}, false
	}
	return commandFor(d.key, wire.Forget, nil), true
}

// runCommand is the command for a run: to start it or to stop it.
func (m *Model) runCommand(r *Run, committed uint64, viaAnswer bool) (_ wire.Command, ok bool) {
	contact := &r.Machine.Contact
	if r.Session != contact.Session || committed < r.PlacedSeq {
		return wire.Command{}, false
	}
	switch {
	case r.Job.Cancelled:
		// The cancellation itself need not be in the log yet: nothing is promised by a stop, and one that is sent in
		// vain ends an attempt, which is reported and followed by another.
		return commandFor(r.key(), wire.Stop, new(float64)), true
	case r.Stop:
		grace := new(float64)
		if !r.Hard && r.Job.Spec.CheckpointIntervalS > 0 {
			*grace = r.Job.Spec.CheckpointWriteS + 1
		}
		return commandFor(r.key(), wire.Stop, grace), true
	case r.Phase == Unseen && !m.mustHoldStart(r):
		if viaAnswer {
			r.answeredReportSeq = contact.Reports.Number().Seq
		}
		return commandFor(r.key(), wire.Start, nil), true
	}
	return wire.Command{}, false
}

// commandFor makes a command for an attempt. The grace is for a stop: how many seconds the task has for a checkpoint.
func commandFor(k runKey, verb string, grace *float64) wire.Command {
	return wire.Command{
		Verb: verb, Task: wire.TaskID(uint64(k.job), int(k.task)), Attempt: uint64(k.attempt), GraceS: grace,
	}
}
