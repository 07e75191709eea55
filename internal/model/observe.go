package model

import (
	"fieldhill/internal/agents/staleness"
	"fieldhill/wire"
)

// This file holds the evidence rules: what an agent's report proves, and which commands may be sent after it.
//
// The start of a run can be in flight in three ways. While one of them is open, the run's absence from a report proves
// nothing:
//   - In a direct command without a response. It may be executed as long as its token is the highest that the agent has
//     seen, so it is void once the agent reports a higher one (unresolvedStarts).
//   - In the response to a report. The agent drops late responses and has one report in flight, so it is void when the
//     next report arrives (startResponseSeq).
//   - In a command of an earlier leader (Inherited). It is void once the agent reports a token of this term.
//
// The expiry of an agent's lease is known without a report if no replica can have renewed it. A machine that has been
// silent for long is marked as suspect by a log entry. Replicas that have read the entry do not renew the lease, and
// replicas with an older copy of the log stop renewing when that copy reaches its age bound. So once the entry has been
// committed for that bound plus a lease duration, the agent has ended all tasks on the machine, or will as soon as it
// executes anything, and a start still in flight names an agent epoch that is over. This is not evidence that the tasks
// have ended: a machine that hangs holds its tasks until it resumes. But releasing the machine then loses nothing, and
// the cloud's response to the release is evidence. If the leader receives a report of the agent meanwhile, it clears
// the suspicion before it responds. A leader whose term began after the entry counts from its own election. (Older
// versions ended the runs on lease expiry with EntryLeaseExpired, which is still read.)

// noCapacityBackoff is how long a job is not placed after a machine rejected one of its tasks for lack of resources.
// The machine's actual usage then differs from the model's, and without a delay the job would be placed there again at
// once.
const noCapacityBackoff = Time(1e9)

// ReportVerdict is the result of evaluating a report.
type ReportVerdict struct {
	Freshness         staleness.Freshness // Stale and Unproven reports prove nothing about the present
	Entries           []*Entry            // entries to log and apply
	Faulty            []*Job              // jobs that this report shows to be faulty
	Slow              bool                // the report shows the machine to be slow
	GangReadyMachines []*Machine          // machines whose held gang members may be started now
	NeedsProbe        bool                // the report would end runs if it is current, which a probe must confirm
}

// IsStale reports whether the report proves nothing about the present, so that the machine must be probed.
func (v *ReportVerdict) IsStale() bool {
	return v.Freshness == staleness.Stale || v.Freshness == staleness.Unproven
}

// observation is the evaluation of one report.
type observation struct {
	model           *Model
	machine         *Machine
	report          *wire.Heartbeat
	isProbeResponse bool // response to a probe or command of this leader; otherwise unsolicited
	now             Time
	verdict         ReportVerdict
}

// Observe evaluates an agent's report and returns the entries that it is evidence for, which the caller logs and
// applies. If the report responds to a probe or a command, probe is what was known when that was sent; otherwise it is
// nil.
func (m *Model) Observe(machine *Machine, r *wire.Heartbeat, probe *staleness.ProbeBaseline, now Time) ReportVerdict {
	o := observation{model: m, machine: machine, report: r, isProbeResponse: probe != nil, now: now}
	contact := &machine.Contact
	stamp := staleness.Stamp{Number: staleness.Number{AgentEpoch: r.AgentEpoch, Seq: r.Seq}, Token: r.FencingToken}
	o.verdict.Freshness = contact.Reports.Judge(stamp, m.MinToken, machine.latestRunEpoch(), probe)
	if o.verdict.IsStale() {
		// Not even the agent epoch is valid: the report may be a delayed copy from an earlier incarnation of the agent
		// with higher epochs than the present one.
		return o.verdict
	}
	deliveryUncertain := o.updateContact(stamp)
	o.updatePreemptionNotice()
	contact.fenceBelow(r.FencingToken)
	contact.beginObservation(now)
	for i := range r.Tasks {
		o.handleListedAttempt(&r.Tasks[i])
	}
	for _, run := range machine.Runs {
		if run.lastListedIn == contact.observationCount {
			continue
		}
		pendingResponseSeq := run.startResponseSeq
		if o.absenceProvesEnd(run) {
			o.logEnd(run.key())
		} else if pendingResponseSeq != 0 && run.startResponseSeq == 0 {
			deliveryUncertain = true // the response carried the start, but the run did not start
		}
	}
	if deliveryUncertain {
		m.RaiseToken(machine)
	}
	return o.verdict
}

// updateContact records what a report shows about the connection to the agent. It reports whether delivery of responses
// is uncertain, so that the machine's token must be raised.
func (o *observation) updateContact(stamp staleness.Stamp) (deliveryUncertain bool) {
	m, machine, contact := o.model, o.machine, &o.machine.Contact
	agentRestarted := o.verdict.Freshness == staleness.Restarted
	if agentRestarted {
		contact.TokenOffset++ // messages to the earlier incarnation carry lower tokens
	}
	tokenSeen := contact.Reports.Accept(stamp, o.verdict.Freshness, m.Token(machine), !o.isProbeResponse)
	// Any epoch is higher than the initial zero, but only an epoch observed in this term can have ended since.
	hasNewEpoch := contact.Reported && o.report.AgentEpoch > contact.AgentEpoch
	leaseExpired := !o.isProbeResponse && hasNewEpoch
	deliveryUncertain = leaseExpired || !o.isProbeResponse && contact.DirectFailed
	answeredWithoutRenewal := o.isProbeResponse && hasNewEpoch && !agentRestarted
	contact.AgentEpoch = o.report.AgentEpoch
	contact.Reported, contact.LastReport = true, o.now
	switch {
	case !o.isProbeResponse:
		contact.DirectFailed, contact.OutboundPartitionSince = false, 0
	case answeredWithoutRenewal && contact.OutboundPartitionSince == 0:
		// The agent is reachable but its lease was not renewed, so any task that it gets lasts for one lease at most.
		contact.OutboundPartitionSince = max(o.now, 1)
	}
	switch {
	case contact.Reports.InboundPartitioned():
		contact.markInboundPartition(o.now)
	case tokenSeen || o.isProbeResponse:
		contact.InboundPartitionSince = 0
	case leaseExpired:
		// The lease expired although the reports were answered. The report after the next response shows whether
		// responses arrive.
		contact.markInboundPartition(o.now)
	}
	return deliveryUncertain
}

// updatePreemptionNotice records whether the cloud has announced that it will reclaim the machine.
func (o *observation) updatePreemptionNotice() {
	lifecycle := &o.machine.Lifecycle
	switch notice := o.report.NoticeS; {
	case notice == nil:
		lifecycle.PreemptionAt = 0
	case lifecycle.PreemptionAt == 0:
		lifecycle.PreemptionAt = o.now + Time(*notice*1e9)
	}
}

// beginObservation prepares for recording the attempts that a report lists.
func (c *MachineContact) beginObservation(now Time) {
	if now-c.lastObservedAt > longSilence {
		c.silenceEndedAt = now
	}
	c.lastObservedAt = now
	c.observationCount++
	c.reapable = c.reapable[:0]
}

// handleListedAttempt evaluates an attempt that a report lists.
func (o *observation) handleListedAttempt(s *wire.TaskStatus) {
	n, task, ok := wire.ParseTaskID(s.Task)
	if !ok || s.Attempt >= maxID {
		return
	}
	k := runKey{JobID(n), int32(task), uint32(s.Attempt)}
	contact := &o.machine.Contact
	run := o.model.findRun(k.job, k.task, k.attempt)
	if run == nil || run.Machine != o.machine || run.AgentEpoch > contact.AgentEpoch {
		o.handleUntrackedAttempt(k, s)
		return
	}
	run.lastListedIn = contact.observationCount
	if !o.isProbeResponse {
		// The agent has one report in flight, so it has received or dropped the response to the previous one.
		run.startResponseSeq = 0
	}
	if run.AgentEpoch < contact.AgentEpoch {
		// The agent ended all tasks between the two epochs, so a task that is listed now under an old attempt is not
		// trusted.
		if !o.model.startMayBeInFlight(o.machine, run) && o.provesEnd(run) {
			o.logEnd(k)
		}
		return
	}
	run.endMinToken = 0
	run.setListedPhase(s.State)
	if s.State == wire.TaskExited {
		o.handleExit(run, s.Cause)
	} else {
		o.recordProgress(run)
	}
}

// handleUntrackedAttempt evaluates a listed attempt that has no run on the machine, so that it must be forgotten or
// stopped.
func (o *observation) handleUntrackedAttempt(k runKey, s *wire.TaskStatus) {
	exited := s.State == wire.TaskExited
	if j := o.model.Jobs[k.job]; exited && s.Cause == wire.CauseDone && j != nil && !j.Cancelled &&
		int(k.task) < len(j.Tasks) && j.Tasks[k.task].State == Waiting {
		// A result that the agent kept across a change of leaders still counts.
		o.log(NewCompletion(k.job, k.task, k.attempt))
	}
	o.machine.Contact.reapable = append(o.machine.Contact.reapable, reapableTask{key: k, exited: exited})
}

// setListedPhase records the state of a run as listed by the agent. A run that exited keeps its last phase.
func (r *Run) setListedPhase(state string) {
	switch state {
	case wire.TaskFetching:
		r.setPhase(Fetching)
	case wire.TaskWaiting:
		r.setPhase(AwaitingGang)
	case wire.TaskRunning:
		r.setPhase(Running)
	case wire.TaskCheckpointing:
		r.setPhase(Checkpointing)
	}
}

// recordProgress records that a run is in progress.
func (o *observation) recordProgress(run *Run) {
	o.model.startMayBeInFlight(o.machine, run) // fences an unresolved start well before the task ends
	if run.Phase >= AwaitingGang {
		if !o.machine.HasImage(run.Job.Image) {
			o.verdict.GangReadyMachines = append(o.verdict.GangReadyMachines, run.Job.machinesAwaitingMember()...)
		}
		o.machine.TouchImage(o.model, run.Job, o.now)
	}
	if run.Phase >= Running && run.StartedAt == 0 {
		run.StartedAt = o.now
	}
}

// handleExit evaluates a run that is listed as exited.
func (o *observation) handleExit(run *Run, cause string) {
	if cause != wire.CauseDone && (o.model.startMayBeInFlight(o.machine, run) || run.startResponseSeq != 0) {
		// The agent does not start a listed attempt again. But if it has restarted since, a start in flight may run the
		// attempt again, so the exit counts only when the agent shows the token that fences that start. Likewise, once
		// the attempt is reaped, a start in a delayed response to a report may run it again, so an exit shown by a
		// probe or a direct command counts only with the next report.
		if run.Phase == Unseen {
			run.setPhase(Fetching) // no further start command is needed
		}
		return
	}
	k := run.key()
	o.machine.Contact.reapable = append(o.machine.Contact.reapable, reapableTask{key: k, exited: true})
	switch cause {
	case wire.CauseDone:
		o.recordCompletion(run)
		o.log(NewCompletion(k.job, k.task, k.attempt))
		return
	case wire.CauseError:
		if attributeFailure(o.machine, run.Job, o.now) {
			o.verdict.Faulty = append(o.verdict.Faulty, run.Job)
		}
	case wire.CauseNoCapacity, wire.CauseBusy, wire.CauseUnknown:
		run.Job.Scheduling.NotBefore = max(run.Job.Scheduling.NotBefore, o.now+noCapacityBackoff)
	}
	o.logEnd(k)
}

// recordCompletion updates the health and speed statistics: the job and the machine work, and the duration is known.
func (o *observation) recordCompletion(run *Run) {
	o.machine.Health.clearFailures()
	run.Job.clearFailures()
	if o.model.recordDuration(o.machine, run, o.now) {
		o.machine.Health.markSlow(o.now)
		o.verdict.Slow = true
	}
}

// absenceProvesEnd reports whether the absence of a run from a report proves that the run has ended.
func (o *observation) absenceProvesEnd(run *Run) bool {
	m, r, contact := o.model, o.report, &o.machine.Contact
	if run.AgentEpoch < r.AgentEpoch {
		// In a newer epoch all tasks of the older one have ended and commands for it are rejected. The exception is an
		// agent that has restarted with numbers from 1 after it sent this report: the older epoch may then be that of
		// its present incarnation, in which the run may exist or be started by a command in flight.
		return !m.startMayBeInFlight(o.machine, run) && o.provesEnd(run)
	}
	if !contact.Reports.Fenced() {
		return false // a start sent to an earlier incarnation may reach this one
	}
	if run.AgentEpoch > r.AgentEpoch {
		return contact.Reports.Incarnations() > 0 // then the epoch is of an earlier incarnation
	}
	if !o.isProbeResponse && run.startResponseSeq != 0 && r.Seq > run.startResponseSeq {
		run.startResponseSeq = 0
	}
	if run.startResponseSeq != 0 {
		return false
	}
	if _, open := contact.unresolvedStarts[run.key()]; open {
		if !run.IsWanted() {
			m.fenceStart(o.machine, run.key())
		}
		return false
	}
	if run.Inherited && r.FencingToken < m.MinToken {
		return false
	}
	if run.Phase == Unseen {
		return !run.IsWanted()
	}
	return o.provesEnd(run)
}

// provesEnd reports whether a report that does not list a run, or that shows a newer epoch, may end the run. This is
// rare enough to confirm it by a probe: a report that an agent sent before it restarted with numbers from 1 may arrive
// after newer reports with numbers that are no higher. So the machine is probed, and the response to the probe counts
// at once. A report counts if it shows a token that was first issued after such a report was received.
func (o *observation) provesEnd(run *Run) bool {
	if o.isProbeResponse || run.endMinToken != 0 && o.report.FencingToken >= run.endMinToken {
		return true
	}
	if run.endMinToken == 0 {
		if !o.verdict.NeedsProbe {
			o.machine.Contact.TokenOffset++
		}
		run.endMinToken, o.verdict.NeedsProbe = o.model.Token(o.machine), true
	}
	return false
}

func (o *observation) log(e *Entry) { o.verdict.Entries = append(o.verdict.Entries, e) }

func (o *observation) logEnd(k runKey) { o.log(NewAttemptEnd(k.job, k.task, k.attempt)) }
