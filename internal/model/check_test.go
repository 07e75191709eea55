package model

import (
	"encoding/binary"
	"fmt"
	"maps"
	"slices"
	"testing"

	"fieldhill/internal/agents/staleness"
	"fieldhill/internal/testing/modelcheck"
	"fieldhill/wire"
)

// This explores what one machine and its leaders can say to each other, in every order: reports, copies of them at any later time,
// questions, commands (starts, stops and reaps) that are late or lost, a task that ends by itself, a worker that begins anew under its name, with numbers that go on or begin at 1, a lease that
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
	relayHandsOn       // a relay that has answered a report itself gives the worker the leader's answer when that comes, whatever the worker has said since
	reapsEarly         // the end of an attempt is logged, and it is reaped, though a start of it may be under way; nothing fences that
)

type underWay struct {
	life, token, session uint64
	cmds                 []wire.Command
	answer               bool // to the report in flight
	heard                bool // its sender still waits for what comes of it
	q                    *staleness.Question
	term                 uint64
}

type sight struct {
	slip      slip
	m         *Model
	life      uint64
	session   uint64
	seq       uint64
	token     uint64
	holds     uint64 // the attempt that is on the machine, or was and is not reaped; 0: none
	exited    bool   // it ended
	early     uint64 // the attempt that is reaped as soon as it is seen to have ended
	elsewhere bool   // the task runs on another machine
	reports   []wire.Report
	waits     int // the report that waits for its answer, 1 is the first; 0: none
	net       []underWay
	question  *staleness.Question
	terms     int
	lapses    int
	broken    string
	relay     bool // a relay may answer reports by itself; the leader then gets them late
	late      int  // the report that a relay has answered and the leader has not had yet, 1 is the first; 0: none
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
	b := fmt.Appendf(nil, "%+v %v %v %v %v", mc.Reports, mc.Session, mc.Bump, mc.unsure, mc.dead)
	for _, r := range mc.Runs {
		b = fmt.Appendf(b, " %v/%v/%v/%v/%v/%v/%v", r.Attempt, r.Session, r.Phase, r.Inherited, r.answerSeq, r.Stop, r.goneFrom)
	}
	for _, x := range []uint64{w.life, w.session, w.seq, w.token, w.holds, w.early, uint64(w.waits), uint64(w.terms), uint64(w.lapses), w.m.TermBase} {
		b = binary.AppendUvarint(b, x)
	}
	b = fmt.Appendf(b, "%v %v %v %v %+v", w.elsewhere, w.exited, w.broken, w.late, w.reports)
	for _, u := range w.net {
		b = fmt.Appendf(b, "%v %v %v %v %v %v %+v", u.life, u.token, u.session, u.answer, u.heard, u.term, u.q)
		for _, c := range u.cmds {
			b = fmt.Appendf(b, " %v %v", c.Verb, c.Attempt)
		}
	}
	return string(fmt.Appendf(b, "%+v", w.question))
}

func (w sight) Broken() string { return w.broken }

// report is what the worker says now.
func (w *sight) report() *wire.Report {
	w.seq++
	r := report(w.session, w.seq, w.token)
	if w.holds != 0 {
		s := wire.TaskStatus{Task: theTask, Attempt: w.holds, State: wire.TaskRunning}
		if w.exited {
			s.State, s.Cause = wire.TaskExited, wire.CauseError
		}
		r.Tasks = append(r.Tasks, s)
	}
	return r
}

// observe gives the leader a message and has it apply what that proves.
func (w *sight) observe(r *wire.Report, q *staleness.Question) Verdict {
	mc := w.m.Order[0]
	bump := mc.Bump
	v := w.m.Observe(mc, r, q, 1)
	if w.slip == reapsEarly {
		mc.Bump = bump
	}
	if w.slip == sessionProves && v.Freshness == staleness.Unproven {
		for _, run := range mc.Runs {
			if run.Session < r.Session {
				v.Entries = append(v.Entries, &Entry{Kind: EntryEnded, Job: 7, Task: 0, Attempt: run.Attempt})
			}
		}
	}
	for _, e := range v.Entries {
		_ = w.m.Apply(e, 1, 1)
	}
	for _, s := range r.Tasks {
		if w.slip == reapsEarly && s.State == wire.TaskExited {
			w.early = s.Attempt
			_ = w.m.Apply(&Entry{Kind: EntryEnded, Job: 7, Task: 0, Attempt: uint32(s.Attempt)}, 1, 1)
		}
	}
	return v
}

// execute has the worker carry out commands.
func (w *sight) execute(cmds []wire.Command) {
	for _, c := range cmds {
		switch c.Verb {
		case wire.Start:
			switch {
			case w.holds == c.Attempt, w.holds != 0 && !w.exited: // known, or busy
			case w.holds != 0: // one attempt is enough to list here; the other is refused
			case w.elsewhere:
				w.broken = fmt.Sprintf("attempt %d starts while the task runs elsewhere", c.Attempt)
			case w.m.run(7, 0, uint32(c.Attempt)) == nil:
				w.broken = fmt.Sprintf("attempt %d starts, whose end is in the log", c.Attempt)
			default:
				w.holds = c.Attempt
			}
		case wire.Stop:
			w.exited = w.exited || w.holds == c.Attempt
		case wire.Forget:
			if w.holds == c.Attempt && w.exited {
				w.holds, w.exited = 0, false
			}
		}
	}
}

// commands is what the leader says now. What observe applied counts as committed.
func (w *sight) commands(answer bool) []wire.Command {
	mc := w.m.Order[0]
	w.m.SealDead(mc, 1)
	cmds := w.m.Commands(mc, 9, answer)
	if w.early != 0 {
		cmds = append(cmds, wire.Command{Verb: wire.Forget, Task: theTask, Attempt: w.early})
	}
	return cmds
}

func (w sight) Steps() (list []modelcheck.Step) {
	step := func(name string, f func(w *sight)) {
		n := w.clone()
		f(&n)
		list = append(list, modelcheck.Step{Name: name, To: n})
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
					mc.Reports.Tell(w.m.Token(mc))
					u.cmds = w.commands(true)
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
			if w.relay && w.late == 0 {
				step(fmt.Sprint("a relay answers report ", i, " by itself"), func(w *sight) { w.waits, w.late = 0, i+1 })
			}
		} else {
			step(fmt.Sprint("a copy of report ", i, " comes"), func(w *sight) {
				var q *staleness.Question
				if w.slip == copyIsAnswer {
					q = w.m.Ask(w.m.Order[0])
					r.Token = w.m.TermBase + 1<<20
				}
				w.observe(&r, q)
			})
		}
	}
	if w.late != 0 {
		step(fmt.Sprint("report ", w.late-1, " comes from the relay"), func(w *sight) {
			r := w.reports[w.late-1]
			w.late = 0
			if v := w.observe(&r, nil); v.Stale() {
				return
			}
			mc := w.m.Order[0]
			mc.Reports.Tell(w.m.Token(mc))
			u := underWay{life: w.life, session: r.Session, answer: true, token: w.m.Token(mc), term: w.m.TermBase, cmds: w.commands(true)}
			if w.slip == relayHandsOn {
				w.net = append(w.net, u)
			} // else the relay has no connection any more on which the worker waits for it
		})
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
		what := "the command"
		if u.answer {
			what = "the answer"
		}
		step(fmt.Sprintf("%s of term %d arrives", what, u.term>>24), func(w *sight) {
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
				w.execute(u.cmds)
			}
			if mc := w.m.Order[0]; u.heard && u.term == w.m.TermBase {
				w.m.Answered(mc, u.cmds, u.token, taken)
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
					w.m.Answered(mc, u.cmds, u.token, false)
				} else {
					w.m.Lost(mc, u.cmds, u.token)
				}
			})
		}
	}
	// There is one command to a machine at a time.
	if mc.Reported && len(w.net) < 2 && !slices.ContainsFunc(w.net, func(u underWay) bool { return u.heard && u.term == w.m.TermBase }) {
		step("the leader sends a command", func(w *sight) {
			mc := w.m.Order[0]
			cmds := w.commands(false)
			u := underWay{life: w.life, session: mc.Session, token: w.m.Token(mc), cmds: cmds, heard: true, q: w.m.Ask(mc), term: w.m.TermBase}
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
			if w.elsewhere = true; w.holds != 0 && !w.exited {
				w.broken = fmt.Sprintf("the task is started elsewhere while attempt %d is here", w.holds)
			}
		})
	}
	for _, run := range mc.Runs {
		if !run.Stop {
			step("the run is no longer wanted", func(w *sight) { w.m.Order[0].Runs[0].Stop = true })
		}
	}
	if w.holds != 0 && !w.exited {
		step("the task ends by itself", func(w *sight) { w.exited = true })
	}
	if w.life < 2 {
		for _, afresh := range []bool{false, true} {
			step(fmt.Sprint("the worker begins anew, afresh ", afresh), func(w *sight) {
				w.life, w.holds, w.exited, w.waits = w.life+1, 0, false, 0
				if w.session++; afresh {
					w.session, w.seq, w.token = 1, 0, 0
				}
			})
		}
	}
	if w.lapses == 0 {
		step("the worker's lease runs out", func(w *sight) {
			w.lapses, w.session, w.holds, w.exited = 1, w.session+1, 0, false
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

// walk takes steps by their names.
func walk(t *testing.T, w sight, names ...string) sight {
	t.Helper()
next:
	for _, name := range names {
		for _, s := range w.Steps() {
			if s.Name == name {
				w = s.To.(sight)
				continue next
			}
		}
		t.Fatalf("there is no step %q", name)
	}
	return w
}

// TestNoOrderStartsTwice explores the orders of all this, and finds what is done wrongly on purpose: from a task that was just placed, and from one that
// runs while another copy of its start is held up.
func TestNoOrderStartsTwice(t *testing.T) {
	held := []string{"the leader sends a command", "the leader gives a command up", "the worker reports", "report 0 arrives", "the answer of term 3 arrives", "the worker reports"}
	for _, c := range []struct {
		slip        slip
		from        []string
		depth, most int
		relay       bool
	}{
		{right, nil, 20, 20_000, false}, {right, held, 20, 20_000, false}, {copyIsAnswer, nil, 12, 60_000, false}, {answerForgets, nil, 12, 60_000, false}, {lostForgets, nil, 12, 60_000, false},
		{sessionProves, nil, 14, 150_000, false}, {reapsEarly, held, 14, 60_000, false},
		{right, nil, 20, 30_000, true}, {right, held, 20, 30_000, true}, {relayHandsOn, nil, 16, 60_000, true},
	} {
		w := walk(t, sightOf(t, c.slip), c.from...)
		w.relay = c.relay
		r := modelcheck.Explore(w, c.depth, c.most)
		if found := r.Broken != ""; found != (c.slip != right) {
			t.Errorf("slip %d: %s", c.slip, r)
		} else {
			t.Logf("slip %d: %s", c.slip, r)
		}
	}
}
