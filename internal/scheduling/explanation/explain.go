// Package explain tells, for one job at one instant, every reason for which it waits, and which
// of them bind. That is a claim which is checked, not a ranking: a reason binds if lifting it
// alone changes what the next round does for the job, and a set of reasons is complete if
// lifting all of them starts it. Both are found by the real scheduler, in rounds on copies of the model
// that nobody else sees. It is pure.
package explanation

import (
	"strings"

	"fieldhill/internal/model"
	"fieldhill/internal/scheduling/pending"
	"fieldhill/internal/scheduling/scheduler"
)

// Outcome is what a round does for a job.
type Outcome struct {
	Placed int // tasks that get a place
	Room   int // tasks of others that are told to stop for it
}

// better tells whether a round does more for the job than another: it places more, or makes room
// where none was made.
func (o Outcome) better(than Outcome) bool {
	return o.Placed > than.Placed || o.Placed == than.Placed && o.Room > 0 && than.Room == 0
}

// Finding is a reason that holds.
type Finding struct {
	pending.Reason
	Binds   bool    // lifting it alone changes what the next round does
	Outcome Outcome // with it lifted
}

// Account is what there is to say of a job.
type Account struct {
	Waiting  int               // tasks that want a place
	Now      Outcome           // of the next round, as things are
	Findings []Finding         // in the order in which a task meets them
	Together [][2]pending.Code // pairs of which neither helps alone
	All      Outcome           // with every reason lifted
	Complete bool              // lifting all of them starts every waiting task
	Cut      bool              // not all pairs were tried
}

// Scene is what a job is explained in: a copy of the model (model.Model.Clone), and the leader's
// scheduler for that copy (sched.Sched.Dry). Nobody else uses either meanwhile.
type Scene struct {
	Model *model.Model
	Sched *scheduler.Sched
	Now   model.Time
}

// trial is a round to be played.
type trial struct {
	m   *model.Model
	s   *scheduler.Sched
	j   *model.Job
	now model.Time
}

// Explain accounts for a job; nil if it is not live. It plays a round for each reason that holds
// and for each pair of those that don't bind, as far as so many rounds in all reach.
func Explain(sc Scene, id model.JobID, rounds int) *Account {
	j := sc.Model.Jobs[id]
	if j == nil {
		return nil
	}
	a := &Account{Waiting: j.Waiting()}
	if a.Waiting == 0 {
		return a
	}
	a.Now = sc.play(id)
	var held []lift
	for _, l := range lifts {
		if r, ok := l.holds(&trial{sc.Model, sc.Sched, j, sc.Now}); ok {
			r.Code = l.code
			held = append(held, l)
			a.Findings = append(a.Findings, Finding{Reason: r})
		}
	}
	// Without another reason a task may be made to wait for a busy holder of its image, for a few
	// rounds. That is a reason of its own: all others are compared without it.
	patient := sc.play(id, noWait)
	for i := range a.Findings {
		f := &a.Findings[i]
		if f.Code == pending.Image {
			f.Outcome = patient
			f.Binds = f.Outcome.better(a.Now)
			continue
		}
		f.Outcome = sc.play(id, held[i], noWait)
		f.Binds = f.Outcome.better(patient)
	}
	a.All = sc.play(id, append(held, noWait)...)
	a.Complete = a.All.Placed >= a.Waiting || a.All.Placed > 0 && j.Faulty
	for i := range held {
		for k := i + 1; k < len(held) && !a.Findings[i].Binds; k++ {
			if a.Findings[k].Binds {
				continue
			}
			if rounds--; rounds < len(held)+3 {
				a.Cut = true
				return a
			}
			if sc.play(id, held[i], held[k], noWait).better(patient) {
				a.Together = append(a.Together, [2]pending.Code{held[i].code, held[k].code})
			}
		}
	}
	return a
}

// play is the outcome of the next round with some reasons lifted.
func (sc Scene) play(id model.JobID, lifted ...lift) Outcome {
	m := sc.Model.Clone()
	t := &trial{m, sc.Sched.Dry(m), m.Jobs[id], sc.Now}
	for _, l := range lifted {
		l.lift(t)
	}
	d := &dry{m: m, j: t.j}
	t.s.Round(m, t.now, true, d)
	return d.Outcome
}

// dry carries decisions out on a copy (sched.Doer). Nothing is logged or sent.
type dry struct {
	Outcome
	m   *model.Model
	j   *model.Job
	seq uint64
}

// Place applies a placement.
func (d *dry) Place(j *model.Job, task int32, attempt uint32, mc *model.Machine, _ float64) {
	d.seq++
	// An entry that does not apply would be one that the scheduler should not have decided; then
	// it counts for nothing here, as there.
	if d.m.Apply(&model.Entry{Kind: model.EntryPlace, Job: j.ID, Task: task, Attempt: attempt, Machine: mc.ID, Session: mc.Session}, d.seq, 0) == nil && j == d.j {
		d.Placed++
	}
}

// Stop marks a run, and notes for whom.
func (d *dry) Stop(r *model.Run, hard bool, says string) {
	if r.Stop = true; r.Job != d.j && strings.HasSuffix(says, " "+d.j.Spec.ID) {
		d.Room++
	}
}
