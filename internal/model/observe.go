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
//     report in flight, so it is over when the next report arrives (answerSeq);
//   - in a command of an earlier leader (Inherited): over once the worker
//     reports a token of this term.
//
// That a worker's lease is over is known without its word, if no node can have
// renewed it. A machine that has long said nothing is made suspect by an entry:
// a node that knows of it does not renew the lease, and a node whose copy of the
// log is older stops at its bound, counted from that copy. So once the entry has
// been committed for that bound and a lease, the worker has ended everything on the
// machine, or will as soon as it executes anything; a start that is still under way names a session that is over. That is
// no evidence: a machine that hangs holds its tasks until it wakes. But nothing is lost any more by returning it, and the cloud's answer to that is
// evidence. If the leader hears from the worker meanwhile it takes the suspicion back before it answers.
// A leader counts from its own election if the entry is older. (EntryLapsed, by which older versions had the end of a lease end the runs, is
// still read.)

// BeginTerm makes the node that holds the model a leader: nothing observed
// under earlier terms counts, and their commands may still be under way.
func (m *Model) BeginTerm(base uint64, now Time) {
	m.TermBase = base
	for _, mc := range m.Order {
		mc.Session, mc.Reports, mc.DeafSince, mc.MuteSince, mc.Bump = 0, staleness.Tracker{}, 0, 0, 0
		mc.Reported, mc.LastReport, mc.KnownSince, mc.Notice, mc.RentedAt, mc.Overdue = false, now, now, 0, 0, false
		mc.Sending, mc.NoDirect = false, false
		if mc.SuspectFrom = 0; mc.Suspect {
			mc.SuspectFrom = now
		}
		mc.unsure, mc.dead, mc.Renewals = nil, nil, lease.Proof{}
		for _, r := range mc.Runs {
			r.setPhase(Unseen)
			r.Inherited, r.answerSeq, r.Stop, r.goneFrom = true, 0, false, 0
		}
	}
}

// Lapsed tells whether the lease of a suspect machine has surely run out: since all that may have renewed it told when they last did (own is when
// this node did; others is how many there are besides it), or, where not all did, by the bound for which any node may go on with an old copy of the log.
func (mc *Machine) Lapsed(bound, duration, own, now Time, others int) bool {
	if !mc.Suspect || mc.SuspectFrom == 0 {
		return false
	}
	if from, all := mc.Renewals.From(others, own); all && lease.Over(from, duration, now) {
		return true
	}
	return lease.Over(mc.SuspectFrom, bound+duration, now)
}

// HoldsCancelled tells whether a machine has a task of a job that is cancelled.
func (mc *Machine) HoldsCancelled() bool {
	return slices.ContainsFunc(mc.Runs, func(r *Run) bool { return r.Job.Cancelled })
}

// CancelledSince is for how long a job that has a task on a machine has been cancelled, of several the longest.
func (m *Model) CancelledSince(mc *Machine, now Time) (since Time) {
	for _, r := range mc.Runs {
		switch {
		case !r.Job.Cancelled:
		case r.Job.CancelledFrom == 0:
			return math.MaxInt64 // for longer than this replica has followed
		default:
			since = max(since, now-r.Job.CancelledFrom)
		}
	}
	return since
}

// SuspectAt is the log's number of the entry that made a machine suspect.
func (mc *Machine) SuspectAt() uint64 { return mc.suspectSeq }

// SuspicionKnown notes that the entry with a number, which made a machine suspect,
// is committed now. An earlier one of several says nothing: between the two the
// machine was trusted, and a node that read so far may renew its lease.
func (mc *Machine) SuspicionKnown(seq uint64, now Time) {
	if mc.Suspect && mc.suspectSeq == seq {
		mc.SuspectFrom = now
	}
}

// Token is the token under which this leader commands a machine.
func (m *Model) Token(mc *Machine) uint64 { return m.TermBase + mc.Bump }

// Verdict is what Observe makes of a report.
type Verdict struct {
	Freshness staleness.Freshness // what the report proves; Old and Unproven: nothing of now
	Entries   []*Entry
	Faulty    []*Job     // jobs that this report shows to fail everywhere
	Slow      bool       // the report shows the machine to be slow
	Meet      []*Machine // whose gangs' members may be told to start now
	Ask       bool       // the report would end runs that were there, if it is of now: the machine is to be asked
}

// Stale tells whether the report proves nothing of now: the machine is to be asked.
func (v *Verdict) Stale() bool {
	return v.Freshness == staleness.Stale || v.Freshness == staleness.Unproven
}

// Ask notes what is known of a machine as a question goes to it, a look or a command.
func (m *Model) Ask(mc *Machine) *staleness.Question { return mc.Reports.Ask() }

// reached is a session that a machine's worker is known, by the log, to have reached.
func (mc *Machine) reached() (session uint64) {
	for _, r := range mc.Runs {
		session = max(session, r.Session)
	}
	return session
}

// Observe takes a worker's report, or the report that a question was answered with (q: what was known when it was
// asked), and returns the entries it is evidence for. The caller logs and applies them.
func (m *Model) Observe(mc *Machine, r *wire.Report, q *staleness.Question, now Time) Verdict {
	w := staleness.Stamp{Number: staleness.Number{Session: r.Session, Seq: r.Seq}, Token: r.Token}
	v := Verdict{Freshness: mc.Reports.Judge(w, m.TermBase, mc.reached(), q)}
	if v.Stale() {
		// Not even its session proves anything: it may be a copy from an earlier life of the worker, whose sessions had
		// gone further than those of the present one.
		return v
	}
	answer := q != nil
	known := mc.Reported
	if v.Freshness == staleness.Restarted {
		mc.Bump++ // what was sent to its earlier life has lower tokens
	}
	met := mc.Reports.Take(w, v.Freshness, m.Token(mc), !answer)
	lapsed := !answer && known && r.Session > mc.Session
	doubt := lapsed || !answer && mc.NoDirect
	session := mc.Session
	mc.Session = r.Session
	mc.Reported, mc.LastReport = true, now
	switch {
	case !answer:
		mc.NoDirect, mc.MuteSince = false, 0
	case known && v.Freshness != staleness.Restarted && r.Session > session && mc.MuteSince == 0:
		mc.MuteSince = max(now, 1) // it is reached, and nobody renewed its lease: what it gets lasts for a lease
	}
	switch {
	case mc.Reports.OneWay():
		mc.FoundDeaf(now)
	case met || answer:
		mc.DeafSince = 0
	case lapsed:
		mc.FoundDeaf(now) // its lease ran out although its reports were answered; the report after the next answer tells
	}
	if r.NoticeS != nil {
		if mc.Notice == 0 {
			mc.Notice = now + Time(*r.NoticeS*1e9)
		}
	} else {
		mc.Notice = 0
	}
	for k, u := range mc.unsure {
		if r.Token > max(u.open, u.lost) {
			delete(mc.unsure, k)
		}
	}
	if now-mc.listened > longGap {
		mc.gapAt = now
	}
	mc.listened = now
	mc.obs++
	mc.dead = mc.dead[:0]
	for i := range r.Tasks {
		m.observeTask(mc, &r.Tasks[i], r, answer, &v, now)
	}
	for _, run := range mc.Runs {
		if run.seen == mc.obs {
			continue
		}
		sent := run.answerSeq
		if e := m.absent(mc, run, r, answer, &v); e != nil {
			v.Entries = append(v.Entries, e)
		} else if sent != 0 && run.answerSeq == 0 {
			doubt = true // it was told to start it, and has not
		}
	}
	if doubt {
		m.Try(mc)
	}
	return v
}

// Try raises a machine's token, unless the worker is yet to show the last one: whether answers arrive is not known, and the report
// after the next answer tells.
func (m *Model) Try(mc *Machine) {
	if mc.Reports.Token() >= m.Token(mc) {
		mc.Bump++
	}
}

// FoundDeaf notes that what is said to a machine does not arrive, as far as is known.
func (mc *Machine) FoundDeaf(now Time) {
	if mc.DeafSince == 0 {
		mc.DeafSince = max(now, 1)
	}
}

// Silence is for how long a machine has not been heard of, or is known not to hear.
func (mc *Machine) Silence(now Time) Time {
	if mc.DeafSince != 0 {
		return max(now-mc.LastReport, now-mc.DeafSince)
	}
	return now - mc.LastReport
}

func (m *Model) observeTask(mc *Machine, s *wire.TaskStatus, r *wire.Report, answer bool, v *Verdict, now Time) {
	n, task, ok := wire.ParseTaskID(s.Task)
	if !ok || s.Attempt >= 1<<31 {
		return
	}
	k := runKey{JobID(n), int32(task), uint32(s.Attempt)}
	run := m.run(k.job, k.task, k.attempt)
	if run != nil && run.Machine != mc {
		run = nil
	}
	exited := s.State == wire.TaskExited
	if run == nil || run.Session > mc.Session {
		d := deadTask{key: k, exited: exited}
		if j := m.Jobs[k.job]; exited && s.Cause == wire.CauseDone && j != nil && !j.Cancelled && int(task) < len(j.Tasks) &&
			j.Tasks[task].State == Waiting {
			// A result that was kept through a change of leaders still counts.
			v.Entries = append(v.Entries, &Entry{Kind: EntryDone, Job: k.job, Task: k.task, Attempt: k.attempt})
		}
		mc.dead = append(mc.dead, d)
		return
	}
	run.seen = mc.obs
	if !answer {
		run.answerSeq = 0 // the worker has one report in flight: what answered the one before was taken or dropped
	}
	if run.Session < mc.Session {
		// The worker forgot everything between the sessions; a task listed now
		// under an old attempt can't be, so the listing is not believed.
		if m.mayStart(mc, run) || !m.shown(mc, run, r, answer, v) {
			return
		}
		v.Entries = append(v.Entries, &Entry{Kind: EntryEnded, Job: k.job, Task: k.task, Attempt: k.attempt})
		return
	}
	run.goneFrom = 0
	switch s.State {
	case wire.TaskFetching:
		run.setPhase(Fetching)
	case wire.TaskWaiting:
		run.setPhase(Gathering)
	case wire.TaskRunning:
		run.setPhase(Running)
	case wire.TaskSaving:
		run.setPhase(Saving)
	}
	if !exited {
		m.mayStart(mc, run) // one whose fate is not known is fenced long before the task ends
		if run.Phase >= Gathering {
			if !mc.Has(run.Job.Image) {
				v.Meet = append(v.Meet, run.Job.meet()...)
			}
			mc.Touch(m, run.Job, now)
		}
		if run.Phase >= Running && run.StartedAt == 0 {
			run.StartedAt = now
		}
		return
	}
	if s.Cause != wire.CauseDone && (m.mayStart(mc, run) || run.answerSeq != 0) {
		// What it lists is not started again. But if the worker has begun anew since, it may be, by the start that is under way: the end
		// counts as soon as the worker shows the token that fences that. So it may, once it is reaped, by the same start in an answer to a report
		// that is held up: what a question or a direct command showed waits for the next report.
		if run.Phase == Unseen {
			run.setPhase(Fetching) // it need not be told to start it again
		}
		return
	}
	mc.dead = append(mc.dead, deadTask{key: k, exited: true})
	kind := EntryEnded
	switch s.Cause {
	case wire.CauseDone:
		kind = EntryDone
		mc.absolve(run.Job)
		if m.timed(mc, run, now) {
			mc.foundSlow(now)
			v.Slow = true
		}
	case wire.CauseError:
		if m.blame(mc, run.Job, now) {
			v.Faulty = append(v.Faulty, run.Job)
		}
	case wire.CauseNoRoom, wire.CauseBusy, wire.CauseUnknown:
		// What the machine holds is not what is believed of it; a pause keeps
		// the job from being thrown at it again and again.
		run.Job.NotBefore = max(run.Job.NotBefore, now+Time(1e9))
	}
	v.Entries = append(v.Entries, &Entry{Kind: kind, Job: k.job, Task: k.task, Attempt: k.attempt})
}

// absent judges a run that a report does not list.
func (m *Model) absent(mc *Machine, run *Run, r *wire.Report, answer bool, v *Verdict) *Entry {
	gone := &Entry{Kind: EntryEnded, Job: run.Job.ID, Task: run.Task, Attempt: run.Attempt}
	if run.Session < r.Session {
		// A newer session: everything of the older one is gone, and commands for it are refused. Unless the worker has begun
		// anew since it sent this, with numbers that begin at 1: then the older session may be that of its present life, in which
		// the run may be, or be started by what is on its way.
		if m.mayStart(mc, run) || !m.shown(mc, run, r, answer, v) {
			return nil
		}
		return gone
	}
	if !mc.Reports.Fenced() {
		return nil // a start that was sent to an earlier life may come to this one
	}
	if run.Session > r.Session {
		if mc.Reports.Incarnations() > 0 {
			return gone // of an earlier life
		}
		return nil
	}
	if !answer && run.answerSeq != 0 && r.Seq > run.answerSeq {
		run.answerSeq = 0
	}
	if run.answerSeq != 0 {
		return nil
	}
	if _, open := mc.unsure[run.key()]; open {
		if !run.Wanted() {
			m.fence(mc, run.key())
		}
		return nil
	}
	if run.Inherited && r.Token < m.TermBase {
		return nil
	}
	if run.Phase == Unseen && !run.Wanted() || run.Phase != Unseen && m.shown(mc, run, r, answer, v) {
		return gone
	}
	return nil
}

// shown tells whether a report may end a run that was there by not listing it, or by a newer session. That is so rare that it may take a question: a
// report that a worker sent before it began anew, with numbers that begin at 1, may come after newer ones whose numbers are no higher. So the machine is asked, and
// its answer counts at once; a report counts if it shows a token that was first given out after one like it was heard.
func (m *Model) shown(mc *Machine, run *Run, r *wire.Report, answer bool, v *Verdict) bool {
	if answer || run.goneFrom != 0 && r.Token >= run.goneFrom {
		return true
	}
	if run.goneFrom == 0 {
		if !v.Ask {
			mc.Bump++
		}
		run.goneFrom, v.Ask = m.Token(mc), true
	}
	return false
}

// mayStart tells whether a start of a run in an earlier session may be under way, and raises the token above it if so: once the worker has
// the new token the start is refused, whatever the worker's session is by then.
func (m *Model) mayStart(mc *Machine, run *Run) bool {
	_, open := mc.unsure[run.key()]
	if open {
		m.fence(mc, run.key())
	}
	return open
}

// SealDead notes the log number that carries what the last report proved:
// exited attempts are forgotten by the worker only after it is committed,
// because their listing is the evidence.
func (m *Model) SealDead(mc *Machine, seq uint64) {
	for i := range mc.dead {
		if mc.dead[i].seq == 0 {
			mc.dead[i].seq = seq
		}
	}
}

// DeadWaits tells whether an exited attempt waits for the log to be forgotten.
func (m *Model) DeadWaits(mc *Machine, committed uint64) bool {
	for _, d := range mc.dead {
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
func (m *Model) Commands(mc *Machine, committed uint64, viaAnswer bool) []wire.Command {
	cmds := []wire.Command{}
	for _, d := range mc.dead {
		if len(cmds) >= maxCommands {
			return cmds
		}
		c := wire.Command{Task: wire.TaskID(uint64(d.key.job), int(d.key.task)), Attempt: uint64(d.key.attempt)}
		if d.exited {
			_, open := mc.unsure[d.key]
			// After it is forgotten a repeated start would run it again, so no
			// start of it may be under way, from this leader or another.
			if open || committed < d.seq || mc.Reports.Token() < m.TermBase || !mc.Reports.Fenced() {
				if open {
					m.fence(mc, d.key)
				}
				continue
			}
			c.Verb = wire.Forget
		} else {
			c.Verb, c.GraceS = wire.Stop, new(float64)
		}
		cmds = append(cmds, c)
	}
	for _, r := range mc.Runs {
		if len(cmds) >= maxCommands {
			break
		}
		if r.Session != mc.Session {
			continue
		}
		c := wire.Command{Task: wire.TaskID(uint64(r.Job.ID), int(r.Task)), Attempt: uint64(r.Attempt)}
		switch {
		case r.Wanted() && r.Phase == Unseen && committed >= r.Seq:
			if m.holds(r) {
				continue
			}
			c.Verb = wire.Start
			if viaAnswer {
				r.answerSeq = mc.Reports.Number().Seq
			}
		case r.Stop && !r.Job.Cancelled && committed >= r.Seq:
			c.Verb, c.GraceS = wire.Stop, new(float64)
			if !r.Hard && r.Job.Spec.CheckpointS > 0 {
				*c.GraceS = r.Job.Spec.SaveS + 1
			}
		case r.Job.Cancelled && committed >= r.Seq:
			// The cancellation itself need not be in the log yet: nothing is told by a stop, and one that is sent in vain
			// ends an attempt, which is reported and followed by another.
			c.Verb, c.GraceS = wire.Stop, new(float64)
		default:
			continue
		}
		cmds = append(cmds, c)
	}
	return cmds
}

// fence raises a machine's token above a start that may still be under way, so
// that it can't be executed once the worker has seen the new one. It needs no
// write: the low bits of a token belong to the leader.
func (m *Model) fence(mc *Machine, k runKey) {
	if u := mc.unsure[k]; u.lost >= m.Token(mc) {
		mc.Bump++
	}
}

// Sent notes that starts are going out in a direct command.
func (m *Model) Sent(mc *Machine, cmds []wire.Command, token uint64) {
	eachStart(cmds, func(k runKey) {
		if mc.unsure == nil {
			mc.unsure = map[runKey]underway{}
		}
		u := mc.unsure[k]
		u.open = token
		mc.unsure[k] = u
	})
}

// Answered notes that a direct command was answered, or surely not sent: this
// copy is not under way. An earlier one without an answer still is, unless its
// token was lower than the one the worker has now accepted.
func (m *Model) Answered(mc *Machine, cmds []wire.Command, token uint64, accepted bool) {
	eachStart(cmds, func(k runKey) {
		u, ok := mc.unsure[k]
		if !ok {
			return
		}
		if u.open == token {
			u.open = 0
		}
		if accepted && u.lost < token {
			u.lost = 0
		}
		if u.open == 0 && u.lost == 0 {
			delete(mc.unsure, k)
		} else {
			mc.unsure[k] = u
		}
	})
}

// Lost notes that a direct command got no answer: it may be executed later.
func (m *Model) Lost(mc *Machine, cmds []wire.Command, token uint64) {
	mc.NoDirect = true
	eachStart(cmds, func(k runKey) {
		if u, ok := mc.unsure[k]; ok {
			u.lost = max(u.lost, token)
			if u.open == token {
				u.open = 0
			}
			mc.unsure[k] = u
		}
	})
}

func eachStart(cmds []wire.Command, f func(runKey)) {
	for _, c := range cmds {
		if c.Verb == wire.Start {
			n, task, _ := wire.ParseTaskID(c.Task)
			f(runKey{JobID(n), int32(task), uint32(c.Attempt)})
		}
	}
}
