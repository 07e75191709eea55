package model

import (
	"fieldhill/internal/agents/staleness"
	"fieldhill/wire"
)

// This file holds the evidence rules: what an agent's report proves, and what may
// be commanded after it.
//
// A run's start can be under way in three ways, and while one of them is open
// the run's absence from a report proves nothing:
//   - in a direct command without an answer: it may be executed as long as the
//     token it carried is the highest that the agent has seen, so it is over
//     once the agent reports a higher one (unresolvedStarts);
//   - in the answer to a report: the agent drops it after a while and has one
//     report in flight, so it is over when the next report arrives (answeredReportSeq);
//   - in a command of an earlier leader (Inherited): over once the agent
//     reports a token of this term.
//
// That an agent's lease has expired is known without its report, if no replica can have renewed it. A machine that has
// long been silent is made suspect by an entry: a replica that knows of it does not renew the lease, and a replica
// whose copy of the log is older stops at its bound, counted from that copy. So once the entry has been committed for
// that bound and a lease, the agent has ended everything on the machine, or will as soon as it executes anything; a
// start that is still under way names a session that is over. That is no evidence: a machine that hangs holds its tasks
// until it wakes. But nothing is lost any more by releasing it, and the cloud's answer to that is evidence. If the
// leader receives a report of the agent meanwhile it takes the suspicion back before it answers. A leader counts from
// its own election if the entry is older. (EntryLeaseExpired, by which older versions had the end of a lease end the
// runs, is still read.)

// busyPause is how long a job is not placed after its machine refused a task for want of room: what the machine holds
// is not what is believed of it, and a pause keeps the job from being placed there again and again.
const busyPause = Time(1e9)

// ReportVerdict is what Observe makes of a report.
type ReportVerdict struct {
	Freshness  staleness.Freshness // what the report proves; Stale and Unproven: nothing of now
	Entries    []*Entry            // what it is evidence for, to be logged and applied
	Faulty     []*Job              // jobs that this report shows to fail everywhere
	Slow       bool                // the report shows the machine to be slow
	GangReady  []*Machine          // whose gangs' members may be started now
	NeedsProbe bool                // the report would end runs that were there, if it is of now: a probe must tell
}

// IsStale tells whether the report proves nothing of now: the machine is to be probed.
func (v *ReportVerdict) IsStale() bool {
	return v.Freshness == staleness.Stale || v.Freshness == staleness.Unproven
}

// observation is one report while it is being judged.
type observation struct {
	model         *Model
	machine       *Machine
	report        *wire.Heartbeat
	isProbeAnswer bool // it answers a question of this leader; else it came by itself
	now           Time
	verdict       ReportVerdict
}

// Observe takes an agent's report, or the report that a question was answered with (question: what was known when it
// was asked), and returns the entries it is evidence for. The caller logs and applies them.
func (m *Model) Observe(machine *Machine, r *wire.Heartbeat, question *staleness.Question, now Time) ReportVerdict {
	o := observation{model: m, machine: machine, report: r, isProbeAnswer: question != nil, now: now}
	contact := &machine.Contact
	stamp := staleness.Stamp{Number: staleness.Number{Session: r.AgentEpoch, Seq: r.Seq}, Token: r.FencingToken}
	o.verdict.Freshness = contact.Reports.Judge(stamp, m.TermBase, machine.reachedSession(), question)
	if o.verdict.IsStale() {
		// Not even its session proves anything: it may be a copy from an earlier incarnation of the agent, whose
		// sessions had gone further than those of the present one.
		return o.verdict
	}
	isUncertain := o.acceptContact(stamp)
	o.acceptNotice()
	contact.fenceBelow(r.FencingToken)
	contact.beginObservation(now)
	for i := range r.Tasks {
		o.judgeListed(&r.Tasks[i])
	}
	for _, run := range machine.Runs {
		if run.seenObservation == contact.observation {
			continue
		}
		startAnswerSeq := run.answeredReportSeq
		if o.provesUnlistedGone(run) {
			o.logEnd(run.key())
		} else if startAnswerSeq != 0 && run.answeredReportSeq == 0 {
			isUncertain = true // the answer had its start, and it did not start
		}
	}
	if isUncertain {
		m.RaiseToken(machine)
	}
	return o.verdict
}

// acceptContact takes in what a report tells of the connection to the agent. It tells whether it is uncertain that
// answers arrive, so that the machine's token is to be raised.
func (o *observation) acceptContact(stamp staleness.Stamp) (isUncertain bool) {
	m, machine, contact := o.model, o.machine, &o.machine.Contact
	isRestarted := o.verdict.Freshness == staleness.Restarted
	if isRestarted {
		contact.TokenBump++ // what was sent to its earlier incarnation has lower tokens
	}
	tokenSeen := contact.Reports.Accept(stamp, o.verdict.Freshness, m.Token(machine), !o.isProbeAnswer)
	// Every session is newer than none, but only one that was observed in this term can have ended since.
	hasNewSession := contact.Reported && o.report.AgentEpoch > contact.Session
	leaseExpired := !o.isProbeAnswer && hasNewSession
	isUncertain = leaseExpired || !o.isProbeAnswer && contact.DirectFailed
	isReachedUnrenewed := o.isProbeAnswer && hasNewSession && !isRestarted
	contact.Session = o.report.AgentEpoch
	contact.Reported, contact.LastReport = true, o.now
	switch {
	case !o.isProbeAnswer:
		contact.DirectFailed, contact.OutboundPartitionSince = false, 0
	case isReachedUnrenewed && contact.OutboundPartitionSince == 0:
		// it is reached, and nobody renewed its lease: what it gets lasts for a lease
		contact.OutboundPartitionSince = max(o.now, 1)
	}
	switch {
	case contact.Reports.OneWay():
		contact.markInboundPartition(o.now)
	case tokenSeen || o.isProbeAnswer:
		contact.InboundPartitionSince = 0
	case leaseExpired:
		// its lease expired although its reports were answered; the report after the next answer tells
		contact.markInboundPartition(o.now)
	}
	return isUncertain
}

// acceptNotice takes in whether the cloud has announced that it takes the machine back.
func (o *observation) acceptNotice() {
	lifecycle := &o.machine.Lifecycle
	switch notice := o.report.NoticeS; {
	case notice == nil:
		lifecycle.PreemptionAt = 0
	case lifecycle.PreemptionAt == 0:
		lifecycle.PreemptionAt = o.now + Time(*notice*1e9)
	}
}

// beginObservation begins to take in what an agent lists.
func (c *MachineContact) beginObservation(now Time) {
	if now-c.lastObservedAt > longSilence {
		c.silenceEndedAt = now
	}
	c.lastObservedAt = now
	c.observation++
	c.reapable = c.reapable[:0]
}

// judgeListed judges an attempt that a report lists.
func (o *observation) judgeListed(s *wire.TaskStatus) {
	n, task, ok := wire.ParseTaskID(s.Task)
	if !ok || s.Attempt >= maxID {
		return
	}
	k := runKey{JobID(n), int32(task), uint32(s.Attempt)}
	contact := &o.machine.Contact
	run := o.model.findRun(k.job, k.task, k.attempt)
	if run == nil || run.Machine != o.machine || run.Session > contact.Session {
		o.judgeStray(k, s)
		return
	}
	run.seenObservation = contact.observation
	if !o.isProbeAnswer {
		// the agent has one report in flight: what answered the one before was taken or dropped
		run.answeredReportSeq = 0
	}
	if run.Session < contact.Session {
		// The agent forgot everything between the sessions; a task listed now
		// under an old attempt can't be, so the listing is not believed.
		if !o.model.startMayBeInFlight(o.machine, run) && o.provesGone(run) {
			o.logEnd(k)
		}
		return
	}
	run.goneFromToken = 0
	run.setListedPhase(s.State)
	if s.State == wire.TaskExited {
		o.judgeExit(run, s.Cause)
	} else {
		o.noteProgress(run)
	}
}

// judgeStray judges a listed attempt that has no run on the machine, so that it is to be forgotten, or stopped.
func (o *observation) judgeStray(k runKey, s *wire.TaskStatus) {
	exited := s.State == wire.TaskExited
	if j := o.model.Jobs[k.job]; exited && s.Cause == wire.CauseDone && j != nil && !j.Cancelled &&
		int(k.task) < len(j.Tasks) && j.Tasks[k.task].State == Waiting {
		// A result that was kept through a change of leaders still counts.
		o.log(NewCompletion(k.job, k.task, k.attempt))
	}
	o.machine.Contact.reapable = append(o.machine.Contact.reapable, reapableTask{key: k, exited: exited})
}

// setListedPhase takes in the state of a run that an agent lists. One that exited keeps the phase it was last in.
func (r *Run) setListedPhase(state string) {
	switch state {
	case wire.TaskFetching:
		r.setPhase(Fetching)
	case wire.TaskWaiting:
		r.setPhase(AwaitingGang)
	case wire.TaskRunning:
		r.setPhase(Running)
	case wire.TaskCheckpointing:
		r.setPhase(Saving)
	}
}

// noteProgress takes in that a run is under way.
func (o *observation) noteProgress(run *Run) {
	o.model.startMayBeInFlight(o.machine, run) // one whose fate is not known is fenced long before the task ends
	if run.Phase >= AwaitingGang {
		if !o.machine.HasImage(run.Job.Image) {
			o.verdict.GangReady = append(o.verdict.GangReady, run.Job.machinesAwaitingMember()...)
		}
		o.machine.TouchImage(o.model, run.Job, o.now)
	}
	if run.Phase >= Running && run.StartedAt == 0 {
		run.StartedAt = o.now
	}
}

// judgeExit judges a run that is listed as ended.
func (o *observation) judgeExit(run *Run, cause string) {
	if cause != wire.CauseDone && (o.model.startMayBeInFlight(o.machine, run) || run.answeredReportSeq != 0) {
		// What it lists is not started again. But if the agent has restarted since, it may be, by the start that is
		// under way: the end counts as soon as the agent shows the token that fences that. So it may, once it is
		// reaped, by the same start in an answer to a report that is held up: what a probe or a direct command
		// showed waits for the next report.
		if run.Phase == Unseen {
			run.setPhase(Fetching) // it need not be commanded to start again
		}
		return
	}
	k := run.key()
	o.machine.Contact.reapable = append(o.machine.Contact.reapable, reapableTask{key: k, exited: true})
	switch cause {
	case wire.CauseDone:
		o.noteCompletion(run)
		o.log(NewCompletion(k.job, k.task, k.attempt))
		return
	case wire.CauseError:
		if attributeFailure(o.machine, run.Job, o.now) {
			o.verdict.Faulty = append(o.verdict.Faulty, run.Job)
		}
	case wire.CauseNoCapacity, wire.CauseBusy, wire.CauseUnknown:
		run.Job.Scheduling.NotBefore = max(run.Job.Scheduling.NotBefore, o.now+busyPause)
	}
	o.logEnd(k)
}

// noteCompletion learns from a run that completed: its job and its machine work, and how long it took.
func (o *observation) noteCompletion(run *Run) {
	o.machine.Health.clearFailures()
	run.Job.clearFailures()
	if o.model.recordDuration(o.machine, run, o.now) {
		o.machine.Health.markSlow(o.now)
		o.verdict.Slow = true
	}
}

// provesUnlistedGone judges a run that a report does not list: whether it is evidently gone.
func (o *observation) provesUnlistedGone(run *Run) bool {
	m, r, contact := o.model, o.report, &o.machine.Contact
	if run.Session < r.AgentEpoch {
		// A newer session: everything of the older one is gone, and commands for it are refused. Unless the agent
		// has restarted since it sent this, with numbers that begin at 1: then the older session may be that of its
		// present incarnation, in which the run may be, or be started by what is on its way.
		return !m.startMayBeInFlight(o.machine, run) && o.provesGone(run)
	}
	if !contact.Reports.Fenced() {
		return false // a start that was sent to an earlier incarnation may come to this one
	}
	if run.Session > r.AgentEpoch {
		return contact.Reports.Incarnations() > 0 // if so, it is of an earlier one
	}
	if !o.isProbeAnswer && run.answeredReportSeq != 0 && r.Seq > run.answeredReportSeq {
		run.answeredReportSeq = 0
	}
	if run.answeredReportSeq != 0 {
		return false
	}
	if _, open := contact.unresolvedStarts[run.key()]; open {
		if !run.IsWanted() {
			m.fenceStart(o.machine, run.key())
		}
		return false
	}
	if run.Inherited && r.FencingToken < m.TermBase {
		return false
	}
	if run.Phase == Unseen {
		return !run.IsWanted()
	}
	return o.provesGone(run)
}

// provesGone tells whether a report may end a run that was there by not listing it, or by a newer session. That is so
// rare that it may take a probe: a report that an agent sent before it restarted, with numbers that begin at 1,
// may come after newer ones whose numbers are no higher. So the machine is probed, and its answer counts at once; a
// report counts if it shows a token that was first given out after one like it was received.
func (o *observation) provesGone(run *Run) bool {
	if o.isProbeAnswer || run.goneFromToken != 0 && o.report.FencingToken >= run.goneFromToken {
		return true
	}
	if run.goneFromToken == 0 {
		if !o.verdict.NeedsProbe {
			o.machine.Contact.TokenBump++
		}
		run.goneFromToken, o.verdict.NeedsProbe = o.model.Token(o.machine), true
	}
	return false
}

// log adds an entry that the report is evidence for.
func (o *observation) log(e *Entry) { o.verdict.Entries = append(o.verdict.Entries, e) }

// logEnd adds the entry that an attempt is gone.
func (o *observation) logEnd(k runKey) { o.log(NewAttemptEnd(k.job, k.task, k.attempt)) }
