package model

import (
	"maps"
	"slices"

	"fieldhill/internal/agents/staleness"
	"fieldhill/wire"
)

// leaderTerm holds the lowest fencing token of the current leader's term. The tokens that agents have seen determine
// which commands may still be executed.
type leaderTerm struct {
	// The lowest fencing token of the current term.
	MinToken uint64
}

// startTokens holds the fencing tokens of the direct starts of an attempt: that of the start whose response is awaited,
// and the highest of those that got no response. 0 means that there is no such start.
type startTokens struct{ pending, unanswered uint64 }

// reapableTask is an attempt that an agent lists although it has no run or has exited, so that the agent must stop or
// forget it.
type reapableTask struct {
	key    runKey
	exited bool   // the attempt has exited and must be forgotten; otherwise it must be stopped
	seq    uint64 // log sequence number that must be committed before the attempt is forgotten; 0: not logged yet
}

// Token returns the fencing token with which this leader commands a machine.
func (t *leaderTerm) Token(machine *Machine) uint64 { return t.MinToken + machine.Contact.TokenOffset }

// RaiseToken raises a machine's token, unless the agent has not reported the current token yet. It is used when
// delivery of responses is uncertain: if the report that follows the next response shows the raised token, the response
// arrived.
func (t *leaderTerm) RaiseToken(machine *Machine) {
	if machine.Contact.Reports.Token() >= t.Token(machine) {
		machine.Contact.TokenOffset++
	}
}

// fenceStart raises a machine's token above those of the starts of an attempt that got no response, so that the agent
// rejects these starts once it has seen the new token. This needs no log write, because a leader may set the low bits
// of its tokens freely.
func (t *leaderTerm) fenceStart(machine *Machine, k runKey) {
	if u := machine.Contact.unresolvedStarts[k]; u.unanswered >= t.Token(machine) {
		machine.Contact.TokenOffset++
	}
}

// mayReap reports whether the agent may be told now to forget an exited attempt. After that, a copy of an earlier start
// would run the attempt again, so the agent must receive a token above those of all starts of the attempt with the
// command or before it. If it has none, the token is raised, but only for a direct command: raised in a response, it
// would make the agent reject direct commands that are in flight.
func (t *leaderTerm) mayReap(machine *Machine, k runKey, inResponse bool) bool {
	if !t.startSentUnderToken(machine, k) {
		return true
	}
	if !inResponse {
		machine.Contact.TokenOffset++
	}
	return !inResponse
}

// startSentUnderToken reports whether a start of an attempt was sent under the machine's current token, so that only a
// raised one fences copies of it.
func (t *leaderTerm) startSentUnderToken(machine *Machine, k runKey) bool {
	return machine.Contact.sentStarts[k] >= t.Token(machine)
}

// FenceUnprovenAgent raises a machine's token before the response to a report that proves nothing, if the report shows
// a lower token than the agent is known to have. Its sender may be a new incarnation of the agent that has seen no
// token, in the epoch of the earlier incarnation: copies of starts sent to that one must not be executed after the
// response.
func (t *leaderTerm) FenceUnprovenAgent(machine *Machine, report *wire.Heartbeat) {
	contact := &machine.Contact
	if report.FencingToken >= contact.Reports.Token() {
		return
	}
	for k := range contact.sentStarts {
		if t.startSentUnderToken(machine, k) {
			contact.TokenOffset++
			return
		}
	}
}

// NeedsDirectReap reports whether the machine holds an exited attempt that it can be told to forget by a direct command
// but not in a response, because the command needs a raised token.
func (t *leaderTerm) NeedsDirectReap(machine *Machine, committed uint64) bool {
	return slices.ContainsFunc(machine.Contact.reapable, func(d reapableTask) bool {
		return d.exited && d.seq <= committed && t.startSentUnderToken(machine, d.key)
	})
}

// startMayBeInFlight reports whether a direct start of a run may be in flight. If a start got no response,
// startMayBeInFlight also raises the machine's token: once the agent has seen the new token, it rejects the start in
// any epoch.
func (t *leaderTerm) startMayBeInFlight(machine *Machine, run *Run) bool {
	_, open := machine.Contact.unresolvedStarts[run.key()]
	if open {
		t.fenceStart(machine, run.key())
	}
	return open
}

// BeginProbe returns the baseline for a probe or a command that is about to be sent to a machine: the newest message
// received from the machine so far. The baseline is passed to Observe with the agent's response, and with no other
// report.
func (t *leaderTerm) BeginProbe(machine *Machine) *staleness.ProbeBaseline {
	return machine.Contact.Reports.ProbeBaseline()
}

// StartsSent records that commands, some of which may be starts, are being sent to a machine directly with the given
// token.
func (t *leaderTerm) StartsSent(machine *Machine, commands []wire.Command, token uint64) {
	machine.Contact.startsSent(commands, token)
}

// StartsAnswered records that direct commands got a response or were certainly not sent, so that they are not in
// flight. Earlier copies of their starts that got no response may still be in flight, unless the agent has now accepted
// a higher token.
func (t *leaderTerm) StartsAnswered(machine *Machine, commands []wire.Command, token uint64, accepted bool) {
	machine.Contact.startsAnswered(commands, token, accepted)
}

// StartsUnanswered records that direct commands got no response and may be executed later.
func (t *leaderTerm) StartsUnanswered(machine *Machine, commands []wire.Command, token uint64) {
	machine.Contact.startsUnanswered(commands, token)
}

// SetReapableSeq records seq as the log sequence number of the entries that result from the last report. The agent may
// forget the exited attempts only after that number is committed, because their listing is the evidence for the
// entries.
func (t *leaderTerm) SetReapableSeq(machine *Machine, seq uint64) {
	machine.Contact.setReapableSeq(seq)
}

// HasPendingReap reports whether an exited attempt on the machine cannot be forgotten yet because of entries that are
// not committed.
func (t *leaderTerm) HasPendingReap(machine *Machine, committed uint64) bool {
	return machine.Contact.hasPendingReap(committed)
}

// CancelledFor returns the longest time for which a job with a task on the machine has been cancelled: 0 if there is no
// such job, and math.MaxInt64 if one was cancelled before this replica began to follow the log.
func (t *leaderTerm) CancelledFor(machine *Machine, now Time) Time { return machine.cancelledFor(now) }

func (c *MachineContact) startsSent(commands []wire.Command, token uint64) {
	forEachStart(commands, func(k runKey) {
		if c.unresolvedStarts == nil {
			c.unresolvedStarts = map[runKey]startTokens{}
		}
		u := c.unresolvedStarts[k]
		u.pending = token
		c.unresolvedStarts[k] = u
	})
}

func (c *MachineContact) startsAnswered(commands []wire.Command, token uint64, accepted bool) {
	forEachStart(commands, func(k runKey) {
		u, ok := c.unresolvedStarts[k]
		if !ok {
			return
		}
		if u.pending == token {
			u.pending = 0
		}
		if accepted && u.unanswered < token {
			u.unanswered = 0
		}
		if u.pending == 0 && u.unanswered == 0 {
			delete(c.unresolvedStarts, k)
		} else {
			c.unresolvedStarts[k] = u
		}
	})
}

func (c *MachineContact) startsUnanswered(commands []wire.Command, token uint64) {
	c.DirectFailed = true
	forEachStart(commands, func(k runKey) {
		if u, ok := c.unresolvedStarts[k]; ok {
			u.unanswered = max(u.unanswered, token)
			if u.pending == token {
				u.pending = 0
			}
			c.unresolvedStarts[k] = u
		}
	})
}

// fenceBelow drops the starts whose tokens are lower than one that the agent has seen, because the agent rejects them.
func (c *MachineContact) fenceBelow(seen uint64) {
	maps.DeleteFunc(c.sentStarts, func(_ runKey, token uint64) bool { return token < seen })
	for k, u := range c.unresolvedStarts {
		if seen > max(u.pending, u.unanswered) {
			delete(c.unresolvedStarts, k)
		}
	}
}

func (c *MachineContact) setReapableSeq(seq uint64) {
	for i := range c.reapable {
		if c.reapable[i].seq == 0 {
			c.reapable[i].seq = seq
		}
	}
}

func (c *MachineContact) hasPendingReap(committed uint64) bool {
	for _, d := range c.reapable {
		if d.seq > committed {
			return true
		}
	}
	return false
}

// recordSentStart records that a start of an attempt is sent under the given token.
func (c *MachineContact) recordSentStart(k runKey, token uint64) {
	if c.sentStarts == nil {
		c.sentStarts = map[runKey]uint64{}
	}
	c.sentStarts[k] = max(c.sentStarts[k], token)
}

// forEachStart calls f with the attempt of each start command.
func forEachStart(commands []wire.Command, f func(runKey)) {
	for _, c := range commands {
		if c.Verb == wire.VerbStart {
			n, task, _ := wire.ParseTaskID(c.Task)
			f(runKey{JobID(n), int32(task), uint32(c.Attempt)})
		}
	}
}
