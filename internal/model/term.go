package model

import (
	"fieldhill/internal/agents/staleness"
	"fieldhill/wire"
)

// leaderTerm is what a leader needs for its dialogue with the agents: the fencing tokens of its term, and by them what
// of its commands may still be executed.
type leaderTerm struct {
	// TermBase is the lowest fencing token of the present term.
	TermBase uint64
}

// startTokens holds the tokens of direct starts: of the one that waits for its
// answer, and of the last one that got none. 0: none.
type startTokens struct{ awaiting, lost uint64 }

// reapableTask is an attempt that an agent lists and that has no run any more.
type reapableTask struct {
	key    runKey
	exited bool   // it is to be forgotten; else stopped
	seq    uint64 // the log's number up to which that must be committed first; 0: not logged yet
}

// Token is the fencing token under which this leader commands a machine.
func (t *leaderTerm) Token(machine *Machine) uint64 { return t.TermBase + machine.Contact.TokenBump }

// RaiseToken raises a machine's token, unless the agent is yet to show the last one: whether answers arrive is not
// known, and the report after the next answer tells.
func (t *leaderTerm) RaiseToken(machine *Machine) {
	if machine.Contact.Reports.Token() >= t.Token(machine) {
		machine.Contact.TokenBump++
	}
}

// fenceStart raises a machine's token above a start that may still be under way, so
// that it can't be executed once the agent has seen the new one. It needs no
// write: the low bits of a token belong to the leader.
func (t *leaderTerm) fenceStart(machine *Machine, k runKey) {
	if u := machine.Contact.unresolvedStarts[k]; u.lost >= t.Token(machine) {
		machine.Contact.TokenBump++
	}
}

// startMayBeInFlight tells whether a start of a run in an earlier session may be under way, and raises the token
// above it if so: once the agent has the new token the start is refused, whatever the agent's session is by then.
func (t *leaderTerm) startMayBeInFlight(machine *Machine, run *Run) bool {
	_, open := machine.Contact.unresolvedStarts[run.key()]
	if open {
		t.fenceStart(machine, run.key())
	}
	return open
}

// BeginProbe notes what is known of a machine as a question goes to it, a probe or a command. Only a report that was
// made after it, in answer to it, may be judged by that.
func (t *leaderTerm) BeginProbe(machine *Machine) *staleness.Question {
	return machine.Contact.Reports.Ask()
}

// StartsSent notes that starts are going out in a direct command.
func (t *leaderTerm) StartsSent(machine *Machine, commands []wire.Command, token uint64) {
	machine.Contact.startsSent(commands, token)
}

// StartsAnswered notes that a direct command was answered, or surely not sent: this
// copy is not under way. An earlier one without an answer still is, unless its
// token was lower than the one the agent has now accepted.
func (t *leaderTerm) StartsAnswered(machine *Machine, commands []wire.Command, token uint64, accepted bool) {
	machine.Contact.startsAnswered(commands, token, accepted)
}

// StartsLost notes that a direct command got no answer: it may be executed later.
func (t *leaderTerm) StartsLost(machine *Machine, commands []wire.Command, token uint64) {
	machine.Contact.startsLost(commands, token)
}

// SealReapable notes the log's number that carries what the last report proved:
// exited attempts are forgotten by the agent only after it is committed,
// because their listing is the evidence.
func (t *leaderTerm) SealReapable(machine *Machine, seq uint64) { machine.Contact.sealReapable(seq) }

// ReapPending tells whether an exited attempt waits for the log to be forgotten.
func (t *leaderTerm) ReapPending(machine *Machine, committed uint64) bool {
	return machine.Contact.reapPending(committed)
}

// CancelledFor is for how long a job that has a task on a machine has been cancelled, of several the longest.
func (t *leaderTerm) CancelledFor(machine *Machine, now Time) Time { return machine.cancelledFor(now) }

func (c *MachineContact) startsSent(commands []wire.Command, token uint64) {
	forEachStart(commands, func(k runKey) {
		if c.unresolvedStarts == nil {
			c.unresolvedStarts = map[runKey]startTokens{}
		}
		u := c.unresolvedStarts[k]
		u.awaiting = token
		c.unresolvedStarts[k] = u
	})
}

func (c *MachineContact) startsAnswered(commands []wire.Command, token uint64, accepted bool) {
	forEachStart(commands, func(k runKey) {
		u, ok := c.unresolvedStarts[k]
		if !ok {
			return
		}
		if u.awaiting == token {
			u.awaiting = 0
		}
		if accepted && u.lost < token {
			u.lost = 0
		}
		if u.awaiting == 0 && u.lost == 0 {
			delete(c.unresolvedStarts, k)
		} else {
			c.unresolvedStarts[k] = u
		}
	})
}

func (c *MachineContact) startsLost(commands []wire.Command, token uint64) {
	c.DirectFailed = true
	forEachStart(commands, func(k runKey) {
		if u, ok := c.unresolvedStarts[k]; ok {
			u.lost = max(u.lost, token)
			if u.awaiting == token {
				u.awaiting = 0
			}
			c.unresolvedStarts[k] = u
		}
	})
}

// fenceBelow forgets the starts that carried a token below one that the agent has seen: they are refused.
func (c *MachineContact) fenceBelow(seen uint64) {
	for k, u := range c.unresolvedStarts {
		if seen > max(u.awaiting, u.lost) {
			delete(c.unresolvedStarts, k)
		}
	}
}

func (c *MachineContact) sealReapable(seq uint64) {
	for i := range c.reapable {
		if c.reapable[i].seq == 0 {
			c.reapable[i].seq = seq
		}
	}
}

func (c *MachineContact) reapPending(committed uint64) bool {
	for _, d := range c.reapable {
		if d.seq > committed {
			return true
		}
	}
	return false
}

// forEachStart calls f with the attempt of each start among commands.
func forEachStart(commands []wire.Command, f func(runKey)) {
	for _, c := range commands {
		if c.Verb == wire.Start {
			n, task, _ := wire.ParseTaskID(c.Task)
			f(runKey{JobID(n), int32(task), uint32(c.Attempt)})
		}
	}
}
