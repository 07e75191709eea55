package model

import (
	"fieldhill/internal/agents/staleness"
	"fieldhill/wire"
)

// This file implements the rules for what an agent's report proves about the runs on its machine.
//
// The start of a run can be in flight in three ways. While it may be in flight in any of them, the run's absence from a
// report proves nothing:
//   - In a direct command without a response. The agent may execute it until it has seen a higher token, so the start
//     is void once the agent reports one (unresolvedStarts).
//   - In the response to a report. The agent drops late responses and has at most one report in flight, so the start is
//     void when the next report arrives (startResponseSeq).
//   - In a command of an earlier leader (Inherited). The start is void once the agent reports a token of this term.
//
// The expiry of an agent's lease is known without a report if no replica can have renewed it. A machine that has been
// silent for long is marked as suspect by a log entry. Replicas that have read the entry do not renew the lease, and
// replicas with an older copy of the log stop renewing when that copy reaches its age bound. So once the entry has been
// committed for that bound plus a lease duration, the agent has ended all tasks on the machine, or will as soon as it
// executes anything, and a start still in flight names an agent epoch that is over. This is not evidence that the tasks
// have ended: a machine that hangs holds its tasks until it resumes. But no more work is lost by releasing the machine
// at that point, and the cloud's response to the release is evidence that the tasks have ended. If the leader receives
// a report from the agent before the release, it clears the suspicion before it responds. A leader whose term began
// after the entry counts the time from its own election. (Older versions logged EntryLeaseExpired when the lease had
// expired. Apply still supports that entry, and ends the machine's runs.)

// noCapacityBackoff is how long a job is not placed after a machine rejected one of its tasks for lack of resources. In
// that case the machine's actual usage differs from that in the model, and without a delay the job would be placed
// there again at once.
const noCapacityBackoff = Time(1e9)

// ReportVerdict is the result of evaluating a report.
type ReportVerdict struct {
	Freshness         staleness.Freshness // Stale and Unproven reports do not prove the machine's current state
	Entries           []*Entry            // entries to log and apply
	Faulty            []*Job              // jobs that this report shows to be faulty
	Cleared           []*Job              // jobs that were faulty and that this report shows not to be
	Slow              bool                // the report shows the machine to be slow
	GangReadyMachines []*Machine          // machines whose held gang members may be started now
	NeedsProbe        bool                // the report ends runs if it is current; a probe must confirm that it is
	Unexpected        []UnexpectedAttempt // the first attempts that cannot be on the machine
	UnexpectedCount   int                 // number of attempts that cannot be on the machine
}

// IsStale reports whether the report does not prove the machine's current state, so that the machine must be probed.
func (v *ReportVerdict) IsStale() bool {
	return v.Freshness == staleness.Stale || v.Freshness == staleness.Unproven
}

// observation is the state of the evaluation of one report.
type observation struct {
	model           *Model
	machine         *Machine
	report          *wire.Heartbeat
	isProbeResponse bool // response to a probe or command of this leader; otherwise unsolicited
	firstOfTerm     bool // the machine's first valid message in this term
	now             Time
	verdict         ReportVerdict
}

// Observe evaluates an agent's report. The caller logs and applies the entries in the verdict. If the report responds
// to a probe or a command, probe is the result of the BeginProbe call made when the probe or command was sent;
// otherwise probe is nil.
func (m *Model) Observe(machine *Machine, r *wire.Heartbeat, probe *staleness.ProbeBaseline, now Time) ReportVerdict {
	o := observation{
		model: m, machine: machine, report: r, isProbeResponse: probe != nil, now: now,
		firstOfTerm: !machine.Contact.Reported,
	}
	contact := &machine.Contact
	stamp := staleness.Stamp{Number: staleness.Number{AgentEpoch: r.AgentEpoch, Seq: r.Seq}, Token: r.FencingToken}
	o.verdict.Freshness = contact.Reports.Judge(stamp, m.MinToken, machine.latestRunEpoch(), probe)
	if o.verdict.IsStale() {
		// Even the agent epoch must not be used: the report may be a delayed copy from an earlier incarnation of the
		// agent, whose epochs may be higher than those of the present one.
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
	// AgentEpoch is 0 until the first report of the term, so the first report does not show that an earlier epoch has
	// ended.
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
		// The agent is reachable but its lease was not renewed, so any task placed on the machine is ended after one
		// lease duration at most.
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
	switch notice := o.report.ReclaimNoticeS; {
	case notice == nil:
		lifecycle.PreemptionAt = 0
	case lifecycle.PreemptionAt == 0:
		lifecycle.PreemptionAt = o.now + Time(*notice*1e9)
	}
}

// beginObservation records the time of a valid message, and resets the list of attempts to reap.
func (c *MachineContact) beginObservation(now Time) {
	if now-c.lastObservedAt > longSilence {
		c.silenceEndedAt = now
	}
	c.lastObservedAt = now
	c.observationCount++
	c.previousReapable, c.reapable = c.reapable, c.previousReapable[:0]
}

// handleListedAttempt evaluates the status of one attempt in a report.
func (o *observation) handleListedAttempt(s *wire.TaskStatus) {
	n, task, ok := wire.ParseTaskID(s.Task)
	if !ok || s.Attempt >= maxID {
		o.recordUnexpected(s, InvalidAttempt)
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
		// The agent ended all tasks between the two epochs, so an attempt of the older epoch has ended, whatever status
		// is listed for it.
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

// handleUntrackedAttempt evaluates a listed attempt that has no run on the machine. The agent must forget it or, if it
// has not exited, stop it.
func (o *observation) handleUntrackedAttempt(k runKey, s *wire.TaskStatus) {
	exited := s.State == wire.TaskExited
	o.checkUntracked(k, s)
	if j := o.model.Jobs[k.job]; exited && s.Cause == wire.CauseDone && j != nil && !j.Cancelled &&
		int(k.task) < len(j.Tasks) && j.Tasks[k.task].State == Waiting {
		// A completion still counts if the attempt no longer has a run, for example because the agent kept the result
		// across a change of leaders.
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

// recordProgress evaluates a run that is listed as not exited: it fences a start that may be in flight, updates the
// machine's image cache and the time at which the run started, and, if the image is new on the machine, collects the
// machines on which held members of the run's gang may be started now.
func (o *observation) recordProgress(run *Run) {
	o.model.startMayBeInFlight(o.machine, run) // fence a start in flight now, so that it does not delay the run's end
	if run.Phase >= AwaitingGang {
		if !o.machine.HasImage(run.Job.Image) {
			o.verdict.GangReadyMachines = append(o.verdict.GangReadyMachines, run.Job.machinesAwaitingMember()...)
		}
		o.machine.TouchImage(o.model, run.Job, o.now)
	}
	if run.Phase >= Running && run.StartedAt == 0 {
		run.StartedAt = o.now
	}
	if run.Job.Observed.Faulty && run.outlivesFailures(o.now) {
		o.clearFaulty(run.Job)
	}
}

// clearFaulty clears the faulty state of a job that the report shows not to be faulty.
func (o *observation) clearFaulty(j *Job) {
	if j.clearFailures() {
		o.verdict.Cleared = append(o.verdict.Cleared, j)
	}
}

// handleExit evaluates a run that is listed as exited. It logs the completion or the end of the attempt, once that is
// certain.
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
		if attributeFailure(o.machine, run, o.now) {
			o.verdict.Faulty = append(o.verdict.Faulty, run.Job)
		}
	case wire.CauseNoCapacity, wire.CauseBusy, wire.CauseUnknown:
		run.Job.Scheduling.NotBefore = max(run.Job.Scheduling.NotBefore, o.now+noCapacityBackoff)
	}
	o.logEnd(k)
}

// recordCompletion updates the statistics for a completed run: it clears the failures of the job and of the machine,
// and records the duration.
func (o *observation) recordCompletion(run *Run) {
	o.machine.Health.onCompletion()
	o.clearFaulty(run.Job)
	if o.model.recordDuration(o.machine, run, o.now) {
		o.machine.Health.markSlow(o.now)
		o.verdict.Slow = true
	}
}

// absenceProvesEnd reports whether the absence of a run from a report proves that the run has ended.
func (o *observation) absenceProvesEnd(run *Run) bool {
	m, r, contact := o.model, o.report, &o.machine.Contact
	if run.AgentEpoch < r.AgentEpoch {
		// Once an agent is in a newer epoch, it has ended all tasks of the older one and rejects commands for it. The
		// exception is an agent that has restarted with numbers from 1 after it sent this report: the older epoch may
		// then be that of its present incarnation, in which the run may exist or be started by a command in flight.
		return !m.startMayBeInFlight(o.machine, run) && o.provesEnd(run)
	}
	if !contact.Reports.Fenced() {
		return false // a start sent to an earlier incarnation may reach this one
	}
	if run.AgentEpoch > r.AgentEpoch {
		return contact.Reports.Incarnations() > 0 // after a restart, the run's epoch is of an earlier incarnation
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

// provesEnd reports whether a report that does not list a run, or that shows a newer epoch, is sufficient evidence that
// the run has ended. A response to a probe is sufficient. Any other report may be older than it seems: a report that an
// agent sent before it restarted with numbers from 1 may arrive after newer reports whose numbers are no higher. So the
// first such report only causes a probe, which is affordable because these reports are rare, and raises the token. A
// later report is sufficient if it shows the raised token.
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
