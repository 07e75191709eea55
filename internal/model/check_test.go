package model

import (
	"encoding/binary"
	"fmt"
	"maps"
	"slices"
	"testing"

	"fieldhill/internal/check"
	"fieldhill/internal/hearing"
	"fieldhill/wire"
)

// This explores what one machine and its leaders can say to each other, in every order: reports, copies of them at any later time,
// questions, commands that are late or lost, a worker that begins anew under its name, with numbers that go on or begin at 1, a lease that
// runs out, and a new leader while the old one's commands are still under way. The model and its judgement of reports are the real ones.
//
// A command that was on its way to an earlier life ends with its connection: the new life does not know it.

// slip is what is done wrongly on purpose.
type slip int

const (
	right         slip = iota
	copyIsAnswer       // a copy of a report passes for the answer to a question, and the token in it is not looked at
	answerForgets      // a start under way in the answer to a report is not waited for
	lostForgets        // a direct start without an answer is taken for one that never left
	sessionProves      // the session of any report ends the runs of lower ones
)

type underWay struct {
	life, token, session uint64
	starts               []uint64 // attempts
	answer               bool     // to the report in flight
	heard                bool     // its sender still waits for what comes of it
	q                    *hearing.Question
	term                 uint64
}

type sight struct {
	slip      slip
	m         *Model
	life      uint64
	session   uint64
	seq       uint64
	token     uint64
	holds     uint64 // the attempt that runs on the machine; 0: none
	elsewhere bool   // the task runs on another machine
	reports   []wire.Report
	waits     int // the report that waits for its answer, 1 is the first; 0: none
	net       []underWay
	question  *hearing.Question
	terms     int
	lapses    int
	broken    string
}

const theTask = "req-000007/0"

func (w sight) clone() sight {
	m := w.m.Clone()
	for i, mc := range w.m.Order {
		m.Order[i].unsure, m.Order[i].dead = maps.Clone(mc.unsure), slices.Clone(mc.dead)
		m.ByName[mc.Info.Name] = m.Order[i]
	}
	w.m, w.reports, w.net = m, slices.Clone(w.reports), slices.Clone(w.net)
	return w
}

func (w sight) Key() string {
	mc := w.m.Order[0]
	b := fmt.Appendf(nil, "%+v %v %v %v %v", mc.Ear, mc.Session, mc.Bump, mc.unsure, mc.dead)
	for _, r := range mc.Runs {
		b = fmt.Appendf(b, " %v/%v/%v/%v/%v/%v", r.Attempt, r.Session, r.Phase, r.Inherited, r.answerSeq, r.Stop)
	}
	for _, x := range []uint64{w.life, w.session, w.seq, w.token, w.holds, uint64(w.waits), uint64(w.terms), uint64(w.lapses), w.m.TermBase} {
		b = binary.AppendUvarint(b, x)
	}
	b = fmt.Appendf(b, "%v %v %+v", w.elsewhere, w.broken, w.reports)
	for _, u := range w.net {
		q := u.q
		u.q = nil
		b = fmt.Appendf(b, "%+v %+v", u, q)
	}
	return string(fmt.Appendf(b, "%+v", w.question))
}

func (w sight) Broken() string { return w.broken }

// report is what the worker says now.
func (w *sight) report() *wire.Report {
	w.seq++
	r := report(w.session, w.seq, w.token)
	if w.holds != 0 {
		r.Tasks = append(r.Tasks, wire.TaskStatus{Task: theTask, Attempt: w.holds, State: wire.TaskRunning})
	}
	return r
}

// observe gives the leader a message and has it apply what that proves.
func (w *sight) observe(r *wire.Report, q *hearing.Question) Verdict {
	mc := w.m.Order[0]
	v := w.m.Observe(mc, r, q, 1)
	if w.slip == sessionProves && v.Sense == hearing.Unproven {
		for _, run := range mc.Runs {
			if run.Session < r.Session {
				v.Entries = append(v.Entries, &Entry{Kind: EntryEnded, Job: 7, Task: 0, Attempt: run.Attempt})
			}
		}
	}
	for _, e := range v.Entries {
		_ = w.m.Apply(e, 1, 1)
	}
	return v
}

// begin has the worker execute starts.
func (w *sight) begin(starts []uint64) {
	for _, a := range starts {
		switch {
		case w.holds == a, w.holds != 0: // known, or busy
		case w.elsewhere:
			w.broken = fmt.Sprintf("attempt %d starts while the task runs elsewhere", a)
		default:
			w.holds = a
		}
	}
}

func startsOf(cmds []wire.Command) (list []uint64) {
	for _, c := range cmds {
		if c.Verb == wire.Start {
			list = append(list, c.Attempt)
		}
	}
	return list
}

func (w sight) Steps() (list []check.Step) {
	step := func(name string, f func(w *sight)) {
		n := w.clone()
		f(&n)
		list = append(list, check.Step{Name: name, To: n})
	}
	mc, j := w.m.Order[0], w.m.Jobs[7]
	if w.waits == 0 && len(w.reports) < 3 {
		step("the worker reports", func(w *sight) {
			w.reports = append(w.reports, *w.report())
			w.waits = len(w.reports)
		})
	}
	for i := range w.reports {
		r := w.reports[i]
		if w.waits == i+1 {
			step(fmt.Sprint("report ", i, " arrives"), func(w *sight) {
				mc := w.m.Order[0]
				v := w.observe(&r, nil)
				u := underWay{life: w.life, session: r.Session, answer: true, token: w.m.Token(mc), term: w.m.TermBase}
				if !v.Stale() {
					mc.Ear.Tell(w.m.Token(mc))
					u.starts = startsOf(w.m.Commands(mc, 9, true))
					for _, run := range mc.Runs {
						if w.slip == answerForgets && run.answerSeq != 0 {
							run.answerSeq = 0
							run.setPhase(Fetching)
						}
					}
				}
				w.net = append(w.net, u)
				w.waits = -1 // answered, and the answer is under way
			})
			step("the worker gives its report up", func(w *sight) { w.waits = 0 })
		} else {
			step(fmt.Sprint("a copy of report ", i, " comes"), func(w *sight) {
				var q *hearing.Question
				if w.slip == copyIsAnswer {
					q = w.m.Ask(w.m.Order[0])
					r.Token = w.m.TermBase + 1<<20
				}
				w.observe(&r, q)
			})
		}
	}
	if w.waits == -1 {
		step("the answer is lost", func(w *sight) {
			w.net = slices.DeleteFunc(w.net, func(u underWay) bool { return u.answer })
			w.waits = 0
		})
	}
	if w.question == nil {
		step("the leader asks", func(w *sight) { w.question = w.m.Ask(w.m.Order[0]) })
	} else {
		step("the worker answers the question", func(w *sight) {
			q := w.question
			w.question = nil
			w.observe(w.report(), q)
		})
	}
	for i, u := range w.net {
		step(fmt.Sprintf("what was said in term %d arrives", u.term>>24), func(w *sight) {
			w.net = slices.Delete(w.net, i, i+1)
			if u.answer {
				w.waits = 0
			}
			if u.life != w.life {
				return
			}
			taken := u.session == w.session && u.token >= w.token
			if taken {
				w.token = u.token
				w.begin(u.starts)
			}
			if mc := w.m.Order[0]; u.heard && u.term == w.m.TermBase {
				w.m.Answered(mc, startCmds(u.starts), u.token, taken)
				w.observe(w.report(), u.q)
			}
		})
		if u.heard {
			step("the leader gives a command up", func(w *sight) {
				w.net[i].heard = false
				if u.term != w.m.TermBase {
					return
				}
				if mc := w.m.Order[0]; w.slip == lostForgets {
					w.m.Answered(mc, startCmds(u.starts), u.token, false)
				} else {
					w.m.Lost(mc, startCmds(u.starts), u.token)
				}
			})
		}
	}
	if mc.Reported && len(w.net) < 2 {
		step("the leader sends a command", func(w *sight) {
			mc := w.m.Order[0]
			cmds := w.m.Commands(mc, 9, false)
			u := underWay{life: w.life, session: mc.Session, token: w.m.Token(mc), starts: startsOf(cmds), heard: true, q: w.m.Ask(mc), term: w.m.TermBase}
			w.m.Sent(mc, cmds, u.token)
			w.net = append(w.net, u)
		})
	}
	if mc.Reported && j.Tasks[0].State == Waiting && j.Tasks[0].Attempt < 2 && !w.elsewhere {
		step("the task is placed here", func(w *sight) {
			mc := w.m.Order[0]
			_ = w.m.Apply(&Entry{Kind: EntryPlace, Job: 7, Task: 0, Attempt: w.m.Jobs[7].Tasks[0].Attempt + 1, Machine: mc.ID, Session: mc.Session}, 1, 1)
		})
	}
	if j.Tasks[0].State == Waiting && j.Tasks[0].Attempt > 0 && !w.elsewhere {
		step("the task is placed elsewhere", func(w *sight) {
			if w.elsewhere = true; w.holds != 0 {
				w.broken = fmt.Sprintf("the task is started elsewhere while attempt %d is here", w.holds)
			}
		})
	}
	for _, run := range mc.Runs {
		if !run.Stop {
			step("the run is no longer wanted", func(w *sight) { w.m.Order[0].Runs[0].Stop = true })
		}
	}
	if w.life < 2 {
		for _, afresh := range []bool{false, true} {
			step(fmt.Sprint("the worker begins anew, afresh ", afresh), func(w *sight) {
				w.life, w.holds, w.waits = w.life+1, 0, 0
				if w.session++; afresh {
					w.session, w.seq, w.token = 1, 0, 0
				}
			})
		}
	}
	if w.lapses == 0 {
		step("the worker's lease runs out", func(w *sight) {
			w.lapses, w.session, w.holds = 1, w.session+1, 0
		})
	}
	if w.terms == 0 {
		step("another node leads", func(w *sight) {
			w.terms++
			w.question = nil
			w.m.BeginTerm(w.m.TermBase+1<<24, 1)
		})
	}
	return list
}

func startCmds(attempts []uint64) (cmds []wire.Command) {
	for _, a := range attempts {
		cmds = append(cmds, wire.Command{Verb: wire.Start, Task: theTask, Attempt: a})
	}
	return cmds
}

func sightOf(t *testing.T, s slip) sight {
	t.Helper()
	m := New(params())
	for i, e := range []*Entry{
		{Kind: EntryType, Type: &wire.MachineType{Name: "t", CPUs: 4, MemoryGB: 8, CacheGB: 10, Zones: []string{"a"}}},
		{Kind: EntryMachine, Machine: 1, Info: info("host-1")},
		{Kind: EntryAccept, Job: 7, Spec: spec(7, 1)},
	} {
		if err := m.Apply(e, uint64(i+1), 0); err != nil {
			t.Fatal(err)
		}
	}
	m.BeginTerm(3<<24, 0)
	w := sight{slip: s, m: m, session: 1, life: 1, token: 3 << 24}
	w.observe(w.report(), m.Ask(m.Order[0]))
	if err := m.Apply(&Entry{Kind: EntryPlace, Job: 7, Task: 0, Attempt: 1, Machine: 1, Session: 1}, 4, 0); err != nil {
		t.Fatal(err)
	}
	return w
}

// TestNoOrderStartsTwice explores the orders of all this, and finds what is done wrongly on purpose.
func TestNoOrderStartsTwice(t *testing.T) {
	for _, c := range []struct {
		slip        slip
		depth, most int
	}{{right, 20, 12_000}, {copyIsAnswer, 12, 60_000}, {answerForgets, 12, 60_000}, {lostForgets, 12, 60_000}, {sessionProves, 14, 150_000}} {
		r := check.Explore(sightOf(t, c.slip), c.depth, c.most)
		if found := r.Broken != ""; found != (c.slip != right) {
			t.Errorf("slip %d: %s", c.slip, r)
		} else {
			t.Logf("slip %d: %s", c.slip, r)
		}
	}
}
