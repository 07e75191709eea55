package model

import (
	"slices"

	"fieldhill/wire"
)

// maxUnexpectedAttempts is the maximum number of unexpected attempts that a verdict describes. Reports are not
// authenticated and may list any number of them.
const maxUnexpectedAttempts = 4

// UnexpectedAttempt is an attempt that an agent lists although it cannot be on its machine according to the model. It
// shows that the agent has executed a command that it should not have received, or that its report is wrong.
type UnexpectedAttempt struct {
	Task    string
	Attempt uint64
	State   string
	Reason  UnexpectedReason
}

// UnexpectedReason is why an attempt cannot be on a machine.
type UnexpectedReason string

// Reasons why an attempt cannot be on a machine.
const (
	InvalidAttempt  UnexpectedReason = "invalid task or attempt number"
	UnknownJob      UnexpectedReason = "unknown job"
	JobOver         UnexpectedReason = "job over"
	PlacedElsewhere UnexpectedReason = "task placed elsewhere"
	AttemptEnded    UnexpectedReason = "attempt ended before"
)

// recordUnexpected counts an unexpected attempt in the verdict, and describes the first of them.
func (o *observation) recordUnexpected(s *wire.TaskStatus, reason UnexpectedReason) {
	o.verdict.UnexpectedCount++
	if len(o.verdict.Unexpected) < maxUnexpectedAttempts {
		o.verdict.Unexpected = append(o.verdict.Unexpected, UnexpectedAttempt{
			Task: s.Task, Attempt: s.Attempt, State: s.State, Reason: reason,
		})
	}
}

// checkUntracked records a listed attempt without a run if it is unexpected. An exited attempt is expected until the
// agent is told to forget it: the previous report listed it as well, or another leader may have logged its end.
func (o *observation) checkUntracked(k runKey, s *wire.TaskStatus) {
	if s.State == wire.TaskExited && (o.firstOfTerm || o.machine.Contact.wasReapable(k)) {
		return
	}
	o.recordUnexpected(s, o.model.unexpectedReason(o.machine, k))
}

// wasReapable reports whether the previous report listed an attempt that was to be stopped or forgotten.
func (c *MachineContact) wasReapable(k runKey) bool {
	return slices.ContainsFunc(c.previousReapable, func(d reapableTask) bool { return d.key == k })
}

// unexpectedReason returns why an attempt that has no run on a machine cannot be there.
func (m *Model) unexpectedReason(machine *Machine, k runKey) UnexpectedReason {
	job := m.Jobs[k.job]
	_, over := m.Finals[k.job]
	switch {
	case job == nil && !over:
		return UnknownJob
	case job == nil:
		return JobOver
	case int(k.task) >= len(job.Tasks):
		return InvalidAttempt
	}
	if run := job.Tasks[k.task].Run; run != nil && run.Machine != machine {
		return PlacedElsewhere
	}
	return AttemptEnded
}
