package model

import (
	"math"
	"slices"

	"fieldhill/internal/agents/lease"
	"fieldhill/internal/agents/staleness"
	"fieldhill/wire"
)

// This file holds the evidence rules: what a worker's word proves, and what may
// be said to it.
//
// A run's start can be under way in three ways, and while one of them is open
// the run's absence from a report proves nothing:
//   - in a direct command without an answer: it may be executed as long as the
//     token it carried is the highest that the worker has seen, so it is over
//     once the worker reports a higher one (unsure);
//   - in the answer to a report: the worker drops it after a while and has one
//     report in flight, so it is over when the next report arrives (answeredReportSeq);
//   - in a command of an earlier leader (Inherited): over once the worker
//     reports a token of this term.
//
// That a worker's lease is over is known without its word, if no node can have renewed it. A machine that has long
// said nothing is made suspect by an entry: a node that knows of it does not renew the lease, and a node whose copy
// of the log is older stops at its bound, counted from that copy. So once the entry has been committed for that bound
// and a lease, the worker has ended everything on the machine, or will as soon as it executes anything; a start that
// is still under way names a session that is over. That is no evidence: a machine that hangs holds its tasks until it
// wakes. But nothing is lost any more by returning it, and the cloud's answer to that is evidence. If the leader
// hears from the worker meanwhile it takes the suspicion back before it answers. A leader counts from its own
// election if the entry is older. (EntryLeaseExpired, by which older versions had the end of a lease end the runs, is
// still read.)

// BeginTerm makes the node that holds the model a leader: nothing observed
// under earlier terms counts, and their commands may still be under way.
func (m *Model) BeginTerm(base uint64, now Time) {
	m.TermBase = base
	for _, machine := range m.Order {
		machine.Contact.Session, machine.Contact.Reports, machine.Contact.InboundPartitionSince, machine.Contact.OutboundPartitionSince, machine.Contact.TokenBump = 0, staleness.Tracker{}, 0, 0, 0
		machine.Contact.Reported, machine.Contact.LastReport, machine.Contact.KnownSince, machine.Lifecycle.PreemptionAt, machine.Lifecycle.ProvisionedAt, machine.Lifecycle.BootOverdue = false, now, now, 0, 0, false
		machine.Contact.DirectInFlight, machine.Contact.DirectFailed = false, false
		if machine.Contact.SuspectFrom = 0; machine.Suspect {
			machine.Contact.SuspectFrom = now
		}
		machine.Contact.unresolvedStarts, machine.Contact.reapable, machine.Contact.Renewals = nil, nil, lease.ExpiryProof{}
		for _, r := range machine.Runs {
			r.setPhase(Unseen)
			r.Inherited, r.answeredReportSeq, r.Stop, r.goneFromToken = true, 0, false, 0
		}
	}
}

// LeaseExpired tells whether the lease of a suspect machine has surely run out: since all that may have renewed it
// told when they last did (own is when this node did; others is how many there are besides it), or, where not all
// did, by the bound for which any node may go on with an old copy of the log.
func (machine *Machine) LeaseExpired(bound, duration, ownRenewal, now Time, others int) bool {
	if !machine.Suspect || machine.Contact.SuspectFrom == 0 {
		return false
	}
	if from, complete := machine.Contact.Renewals.CountsFrom(
		others,
		ownRenewal,
	); complete &&
		lease.Expired(from, duration, now) {
		return true
	}
	return lease.Expired(machine.Contact.SuspectFrom, bound+duration, now)
}

// HasCancelledTask tells whether a machine has a task of a job that is cancelled.
func (machine *Machine) HasCancelledTask() bool {
	return slices.ContainsFunc(machine.Runs, func(r *Run) bool { return r.Job.Cancelled })
}

// CancelledFor is for how long a job that has a task on a machine has been cancelled, of several the longest.
func (m *Model) CancelledFor(machine *Machine, now Time) (longest Time) {
	for _, r := range machine.Runs {
		switch {
		case !r.Job.Cancelled:
		case r.Job.Observed.CancelledFrom == 0:
			return math.MaxInt64 // for longer than this replica has followed
		default:
			longest = max(longest, now-r.Job.Observed.CancelledFrom)
		}
	}
	return longest
}

// SuspectSeq is the log's number of the entry that made a machine suspect.
func (machine *Machine) SuspectSeq() uint64 { return machine.suspectSeq }

// SuspicionCommitted notes that the entry with a number, which made a machine suspect,
// is committed now. An earlier one of several says nothing: between the two the
// machine was trusted, and a node that read so far may renew its lease.
func (machine *Machine) SuspicionCommitted(seq uint64, now Time) {
	if machine.Suspect && machine.suspectSeq == seq {
		machine.Contact.SuspectFrom = now
	}
}

// Token is the token under which this leader commands a machine.
func (m *Model) Token(machine *Machine) uint64 { return m.TermBase + machine.Contact.TokenBump }

// ReportVerdict is what Observe makes of a report.
type ReportVerdict struct {
	Freshness  staleness.Freshness // what the report proves; Old and Unproven: nothing of now
	Entries    []*Entry
	Faulty     []*Job     // jobs that this report shows to fail everywhere
	Slow       bool       // the report shows the machine to be slow
	GangReady  []*Machine // whose gangs' members may be told to start now
	NeedsProbe bool       // the report would end runs that were there, if it is of now: the machine is to be asked
}

// IsStale tells whether the report proves nothing of now: the machine is to be asked.
func (v *ReportVerdict) IsStale() bool {
	return v.Freshness == staleness.Stale || v.Freshness == staleness.Unproven
}

// BeginProbe notes what is known of a machine as a question goes to it, a look or a command.
func (m *Model) BeginProbe(machine *Machine) *staleness.Question {
	return machine.Contact.Reports.Ask()
}

// reachedSession is a session that a machine's worker is known, by the log, to have reached.
func (machine *Machine) reachedSession() (session uint64) {
	for _, r := range machine.Runs {
		session = max(session, r.Session)
	}
	return session
}

// Observe takes a worker's report, or the report that a question was answered with (q: what was known when it was
// asked), and returns the entries it is evidence for. The caller logs and applies them.
func (m *Model) Observe(machine *Machine, r *wire.Heartbeat, question *staleness.Question, now Time) ReportVerdict {
	stamp := staleness.Stamp{Number: staleness.Number{Session: r.AgentEpoch, Seq: r.Seq}, Token: r.FencingToken}
	verdict := ReportVerdict{
		Freshness: machine.Contact.Reports.Judge(stamp, m.TermBase, machine.reachedSession(), question),
	}
	if verdict.IsStale() {
		// Not even its session proves anything: it may be a copy from an earlier life of the worker, whose sessions had
		// gone further than those of the present one.
		return verdict
	}
	isProbeAnswer := question != nil
	knownBefore := machine.Contact.Reported
	if verdict.Freshness == staleness.Restarted {
		machine.Contact.TokenBump++ // what was sent to its earlier life has lower tokens
	}
	tokenSeen := machine.Contact.Reports.Accept(stamp, verdict.Freshness, m.Token(machine), !isProbeAnswer)
	leaseExpired := !isProbeAnswer && knownBefore && r.AgentEpoch > machine.Contact.Session
	uncertain := leaseExpired || !isProbeAnswer && machine.Contact.DirectFailed
	session := machine.Contact.Session
	machine.Contact.Session = r.AgentEpoch
	machine.Contact.Reported, machine.Contact.LastReport = true, now
	switch {
	case !isProbeAnswer:
		machine.Contact.DirectFailed, machine.Contact.OutboundPartitionSince = false, 0
	case knownBefore && verdict.Freshness != staleness.Restarted && r.AgentEpoch > session && machine.Contact.OutboundPartitionSince == 0:
		// it is reached, and nobody renewed its lease: what it gets lasts for a lease
		machine.Contact.OutboundPartitionSince = max(now, 1)
	}
	switch {
	case machine.Contact.Reports.OneWay():
		machine.MarkInboundPartition(now)
	case tokenSeen || isProbeAnswer:
		machine.Contact.InboundPartitionSince = 0
	case leaseExpired:
		// its lease ran out although its reports were answered; the report after the next answer tells
		machine.MarkInboundPartition(now)
	}
	if r.NoticeS != nil {
		if machine.Lifecycle.PreemptionAt == 0 {
			machine.Lifecycle.PreemptionAt = now + Time(*r.NoticeS*1e9)
		}
	} else {
		machine.Lifecycle.PreemptionAt = 0
	}
	for k, u := range machine.Contact.unresolvedStarts {
		if r.FencingToken > max(u.awaiting, u.lost) {
			delete(machine.Contact.unresolvedStarts, k)
		}
	}
	if now-machine.Contact.lastObservedAt > longSilence {
		machine.Contact.silenceEndedAt = now
	}
	machine.Contact.lastObservedAt = now
	machine.Contact.observation++
	machine.Contact.reapable = machine.Contact.reapable[:0]
	for i := range r.Tasks {
		m.observeTask(machine, &r.Tasks[i], r, isProbeAnswer, &verdict, now)
	}
	for _, run := range machine.Runs {
		if run.seenObservation == machine.Contact.observation {
			continue
		}
		startAnswerSeq := run.answeredReportSeq
		if e := m.judgeUnlisted(machine, run, r, isProbeAnswer, &verdict); e != nil {
			verdict.Entries = append(verdict.Entries, e)
		} else if startAnswerSeq != 0 && run.answeredReportSeq == 0 {
			uncertain = true // it was told to start it, and has not
		}
	}
	if uncertain {
		m.RaiseToken(machine)
	}
	return verdict
}

// RaiseToken raises a machine's token, unless the worker is yet to show the last one: whether answers arrive is not
// known, and the report after the next answer tells.
func (m *Model) RaiseToken(machine *Machine) {
	if machine.Contact.Reports.Token() >= m.Token(machine) {
		machine.Contact.TokenBump++
	}
}

// MarkInboundPartition notes that what is said to a machine does not arrive, as far as is known.
func (machine *Machine) MarkInboundPartition(now Time) {
	if machine.Contact.InboundPartitionSince == 0 {
		machine.Contact.InboundPartitionSince = max(now, 1)
	}
}

// SilentFor is for how long a machine has not been heard of, or is known not to hear.
func (machine *Machine) SilentFor(now Time) Time {
	if machine.Contact.InboundPartitionSince != 0 {
		return max(now-machine.Contact.LastReport, now-machine.Contact.InboundPartitionSince)
	}
	return now - machine.Contact.LastReport
}

func (m *Model) observeTask(
	machine *Machine,
	s *wire.TaskStatus,
	r *wire.Heartbeat,
	isProbeAnswer bool,
	verdict *ReportVerdict,
	now Time,
) {
	n, task, ok := wire.ParseTaskID(s.Task)
	if !ok || s.Attempt >= 1<<31 {
		return
	}
	k := runKey{JobID(n), int32(task), uint32(s.Attempt)}
	run := m.findRun(k.job, k.task, k.attempt)
	if run != nil && run.Machine != machine {
		run = nil
	}
	exited := s.State == wire.TaskExited
	if run == nil || run.Session > machine.Contact.Session {
		reapable := reapableTask{key: k, exited: exited}
		if j := m.Jobs[k.job]; exited && s.Cause == wire.CauseDone && j != nil && !j.Cancelled &&
			int(task) < len(j.Tasks) &&
			j.Tasks[task].State == Waiting {
			// A result that was kept through a change of leaders still counts.
			verdict.Entries = append(
				verdict.Entries,
				&Entry{Kind: EntryDone, Job: k.job, Task: k.task, Attempt: k.attempt},
			)
		}
		machine.Contact.reapable = append(machine.Contact.reapable, reapable)
		return
	}
	run.seenObservation = machine.Contact.observation
	if !isProbeAnswer {
		// the worker has one report in flight: what answered the one before was taken or dropped
		run.answeredReportSeq = 0
	}
	if run.Session < machine.Contact.Session {
		// The worker forgot everything between the sessions; a task listed now
		// under an old attempt can't be, so the listing is not believed.
		if m.startMayBeInFlight(machine, run) || !m.provesGone(machine, run, r, isProbeAnswer, verdict) {
			return
		}
		verdict.Entries = append(
			verdict.Entries,
			&Entry{Kind: EntryEnded, Job: k.job, Task: k.task, Attempt: k.attempt},
		)
		return
	}
	run.goneFromToken = 0
	switch s.State {
	case wire.TaskFetching:
		run.setPhase(Fetching)
	case wire.TaskWaiting:
		run.setPhase(AwaitingGang)
	case wire.TaskRunning:
		run.setPhase(Running)
	case wire.TaskCheckpointing:
		run.setPhase(Saving)
	}
	if !exited {
		m.startMayBeInFlight(machine, run) // one whose fate is not known is fenced long before the task ends
		if run.Phase >= AwaitingGang {
			if !machine.HasImage(run.Job.Image) {
				verdict.GangReady = append(verdict.GangReady, run.Job.machinesAwaitingMember()...)
			}
			machine.TouchImage(m, run.Job, now)
		}
		if run.Phase >= Running && run.StartedAt == 0 {
			run.StartedAt = now
		}
		return
	}
	if s.Cause != wire.CauseDone && (m.startMayBeInFlight(machine, run) || run.answeredReportSeq != 0) {
		// What it lists is not started again. But if the worker has begun anew since, it may be, by the start that is
		// under way: the end counts as soon as the worker shows the token that fences that. So it may, once it is
		// reaped, by the same start in an answer to a report that is held up: what a question or a direct command
		// showed waits for the next report.
		if run.Phase == Unseen {
			run.setPhase(Fetching) // it need not be told to start it again
		}
		return
	}
	machine.Contact.reapable = append(machine.Contact.reapable, reapableTask{key: k, exited: true})
	entryKind := EntryEnded
	switch s.Cause {
	case wire.CauseDone:
		entryKind = EntryDone
		machine.clearFailures(run.Job)
		if m.recordDuration(machine, run, now) {
			machine.markSlow(now)
			verdict.Slow = true
		}
	case wire.CauseError:
		if m.attributeFailure(machine, run.Job, now) {
			verdict.Faulty = append(verdict.Faulty, run.Job)
		}
	case wire.CauseNoCapacity, wire.CauseBusy, wire.CauseUnknown:
		// What the machine holds is not what is believed of it; a pause keeps
		// the job from being thrown at it again and again.
		run.Job.Scheduling.NotBefore = max(run.Job.Scheduling.NotBefore, now+Time(1e9))
	}
	verdict.Entries = append(verdict.Entries, &Entry{Kind: entryKind, Job: k.job, Task: k.task, Attempt: k.attempt})
}

// judgeUnlisted judges a run that a report does not list.
func (m *Model) judgeUnlisted(
	machine *Machine,
	run *Run,
	r *wire.Heartbeat,
	isProbeAnswer bool,
	verdict *ReportVerdict,
) *Entry {
	gone := &Entry{Kind: EntryEnded, Job: run.Job.ID, Task: run.Task, Attempt: run.Attempt}
	if run.Session < r.AgentEpoch {
		// A newer session: everything of the older one is gone, and commands for it are refused. Unless the worker
		// has begun anew since it sent this, with numbers that begin at 1: then the older session may be that of its
		// present life, in which the run may be, or be started by what is on its way.
		if m.startMayBeInFlight(machine, run) || !m.provesGone(machine, run, r, isProbeAnswer, verdict) {
			return nil
		}
		return gone
	}
	if !machine.Contact.Reports.Fenced() {
		return nil // a start that was sent to an earlier life may come to this one
	}
	if run.Session > r.AgentEpoch {
		if machine.Contact.Reports.Incarnations() > 0 {
			return gone // of an earlier life
		}
		return nil
	}
	if !isProbeAnswer && run.answeredReportSeq != 0 && r.Seq > run.answeredReportSeq {
		run.answeredReportSeq = 0
	}
	if run.answeredReportSeq != 0 {
		return nil
	}
	if _, open := machine.Contact.unresolvedStarts[run.key()]; open {
		if !run.IsWanted() {
			m.fenceStart(machine, run.key())
		}
		return nil
	}
	if run.Inherited && r.FencingToken < m.TermBase {
		return nil
	}
	if run.Phase == Unseen && !run.IsWanted() ||
		run.Phase != Unseen && m.provesGone(machine, run, r, isProbeAnswer, verdict) {
		return gone
	}
	return nil
}

// provesGone tells whether a report may end a run that was there by not listing it, or by a newer session. That is so
// rare that it may take a question: a report that a worker sent before it began anew, with numbers that begin at 1,
// may come after newer ones whose numbers are no higher. So the machine is asked, and its answer counts at once; a
// report counts if it shows a token that was first given out after one like it was heard.
func (m *Model) provesGone(
	machine *Machine,
	run *Run,
	r *wire.Heartbeat,
	isProbeAnswer bool,
	verdict *ReportVerdict,
) bool {
	if isProbeAnswer || run.goneFromToken != 0 && r.FencingToken >= run.goneFromToken {
		return true
	}
	if run.goneFromToken == 0 {
		if !verdict.NeedsProbe {
			machine.Contact.TokenBump++
		}
		run.goneFromToken, verdict.NeedsProbe = m.Token(machine), true
	}
	return false
}

// startMayBeInFlight tells whether a start of a run in an earlier session may be under way, and raises the token
// above it if so: once the worker has the new token the start is refused, whatever the worker's session is by then.
func (m *Model) startMayBeInFlight(machine *Machine, run *Run) bool {
	_, open := machine.Contact.unresolvedStarts[run.key()]
	if open {
		m.fenceStart(machine, run.key())
	}
	return open
}

// SealReapable notes the log number that carries what the last report proved:
// exited attempts are forgotten by the worker only after it is committed,
// because their listing is the evidence.
func (m *Model) SealReapable(machine *Machine, seq uint64) {
	for i := range machine.Contact.reapable {
		if machine.Contact.reapable[i].seq == 0 {
			machine.Contact.reapable[i].seq = seq
		}
	}
}

// ReapPending tells whether an exited attempt waits for the log to be forgotten.
func (m *Model) ReapPending(machine *Machine, committed uint64) bool {
	for _, d := range machine.Contact.reapable {
		if d.seq > committed {
			return true
		}
	}
	return false
}

const maxCommands = 400

// Commands says what to tell a machine now. Starts go out only when their
// placement is committed. With viaAnswer the commands go with the answer to the
// report last observed.
func (m *Model) Commands(machine *Machine, committed uint64, viaAnswer bool) []wire.Command {
	commands := []wire.Command{}
	for _, d := range machine.Contact.reapable {
		if len(commands) >= maxCommands {
			return commands
		}
		c := wire.Command{Task: wire.TaskID(uint64(d.key.job), int(d.key.task)), Attempt: uint64(d.key.attempt)}
		if d.exited {
			_, open := machine.Contact.unresolvedStarts[d.key]
			// After it is forgotten a repeated start would run it again, so no
			// start of it may be under way, from this leader or another.
			if open || committed < d.seq || machine.Contact.Reports.Token() < m.TermBase ||
				!machine.Contact.Reports.Fenced() {
				if open {
					m.fenceStart(machine, d.key)
				}
				continue
			}
			c.Verb = wire.Forget
		} else {
			c.Verb, c.GraceS = wire.Stop, new(float64)
		}
		commands = append(commands, c)
	}
	for _, r := range machine.Runs {
		if len(commands) >= maxCommands {
			break
		}
		if r.Session != machine.Contact.Session {
			continue
		}
		c := wire.Command{Task: wire.TaskID(uint64(r.Job.ID), int(r.Task)), Attempt: uint64(r.Attempt)}
		switch {
		case r.IsWanted() && r.Phase == Unseen && committed >= r.PlacedSeq:
			if m.mustHoldStart(r) {
				continue
			}
			c.Verb = wire.Start
			if viaAnswer {
				r.answeredReportSeq = machine.Contact.Reports.Number().Seq
			}
		case r.Stop && !r.Job.Cancelled && committed >= r.PlacedSeq:
			c.Verb, c.GraceS = wire.Stop, new(float64)
			if !r.Hard && r.Job.Spec.CheckpointIntervalS > 0 {
				*c.GraceS = r.Job.Spec.CheckpointWriteS + 1
			}
		case r.Job.Cancelled && committed >= r.PlacedSeq:
			// The cancellation itself need not be in the log yet: nothing is told by a stop, and one that is sent in
			// vain ends an attempt, which is reported and followed by another.
			c.Verb, c.GraceS = wire.Stop, new(float64)
		default:
			continue
		}
		commands = append(commands, c)
	}
	return commands
}

// fenceStart raises a machine's token above a start that may still be under way, so
// that it can't be executed once the worker has seen the new one. It needs no
// write: the low bits of a token belong to the leader.
func (m *Model) fenceStart(machine *Machine, k runKey) {
	if u := machine.Contact.unresolvedStarts[k]; u.lost >= m.Token(machine) {
		machine.Contact.TokenBump++
	}
}

// StartsSent notes that starts are going out in a direct command.
func (m *Model) StartsSent(machine *Machine, commands []wire.Command, token uint64) {
	forEachStart(commands, func(k runKey) {
		if machine.Contact.unresolvedStarts == nil {
			machine.Contact.unresolvedStarts = map[runKey]startTokens{}
		}
		u := machine.Contact.unresolvedStarts[k]
		u.awaiting = token
		machine.Contact.unresolvedStarts[k] = u
	})
}

// StartsAnswered notes that a direct command was answered, or surely not sent: this
// copy is not under way. An earlier one without an answer still is, unless its
// token was lower than the one the worker has now accepted.
func (m *Model) StartsAnswered(machine *Machine, commands []wire.Command, token uint64, accepted bool) {
	forEachStart(commands, func(k runKey) {
		u, ok := machine.Contact.unresolvedStarts[k]
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
			delete(machine.Contact.unresolvedStarts, k)
		} else {
			machine.Contact.unresolvedStarts[k] = u
		}
	})
}

// StartsLost notes that a direct command got no answer: it may be executed later.
func (m *Model) StartsLost(machine *Machine, commands []wire.Command, token uint64) {
	machine.Contact.DirectFailed = true
	forEachStart(commands, func(k runKey) {
		if u, ok := machine.Contact.unresolvedStarts[k]; ok {
			u.lost = max(u.lost, token)
			if u.awaiting == token {
				u.awaiting = 0
			}
			machine.Contact.unresolvedStarts[k] = u
		}
	})
}

func forEachStart(commands []wire.Command, f func(runKey)) {
	for _, c := range commands {
		if c.Verb == wire.Start {
			n, task, _ := wire.ParseTaskID(c.Task)
			f(runKey{JobID(n), int32(task), uint32(c.Attempt)})
		}
	}
}
