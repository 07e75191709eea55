package model

import (
	"testing"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"fieldhill/internal/codec"
	"fieldhill/wire"
)

// referenceModel is the slow, plain model of the replicated state: what each entry means,
// written down with maps and no counters.
type referenceModel struct {
	tasks  map[JobID][]string // "wait", "done" or the machine
	finals map[JobID]string
}

func (p *referenceModel) apply(e *Entry) {
	switch e.Kind {
	case EntryAccept:
		for range e.Spec.Tasks {
			p.tasks[e.Job] = append(p.tasks[e.Job], "wait")
		}
	case EntryCancel:
		if p.finals[e.Job] == "" {
			p.finals[e.Job] = "cancelled"
		}
	case EntryPlace:
		p.tasks[e.Job][e.Task] = string(rune('A' + e.Machine))
	case EntryEnded:
		p.tasks[e.Job][e.Task] = "wait"
	case EntryDone:
		p.tasks[e.Job][e.Task] = "done"
		all := true
		for _, s := range p.tasks[e.Job] {
			all = all && s == "done"
		}
		if all && p.finals[e.Job] == "" {
			p.finals[e.Job] = "done"
		}
	case EntryGone:
		for _, ts := range p.tasks {
			for i := range ts {
				if ts[i] == string(rune('A'+e.Machine)) {
					ts[i] = "wait"
				}
			}
		}
	}
}

// requireAgreement compares everything that the rules rest on.
func requireAgreement(t *rapid.T, m *Model, p *referenceModel, machines map[MachineID]bool) {
	cpus := 0.0
	for id, ts := range p.tasks {
		live := 0
		for i, s := range ts {
			if s != "wait" && s != "done" {
				live++
			}
			requireTaskAgreement(t, m, id, i, s)
		}
		cpus += float64(live)
		requireJobAgreement(t, m, id, ts, p.finals[id], live)
	}
	if m.Teams[0].UsedCPUs != cpus {
		t.Fatalf("team uses %g, plainly %g", m.Teams[0].UsedCPUs, cpus)
	}
	if len(m.Machines) != len(machines) || len(m.Order) != len(machines) {
		t.Fatalf("%d machines, plainly %d", len(m.Machines), len(machines))
	}
}

// requireTaskAgreement compares a task with what it plainly is: "wait", "done" or the machine.
func requireTaskAgreement(t *rapid.T, m *Model, id JobID, i int, plainly string) {
	j := m.Jobs[id]
	if plainly != "wait" && plainly != "done" {
		if j == nil || j.Tasks[i].Run == nil || string(rune('A'+j.Tasks[i].Run.Machine.ID)) != plainly {
			t.Fatalf("job %d task %d should be on %s", id, i, plainly)
		}
	} else if j != nil && j.Tasks[i].Run != nil {
		t.Fatalf("job %d task %d should not be placed", id, i)
	}
	if j != nil && (j.Tasks[i].State == Done) != (plainly == "done") {
		t.Fatalf("job %d task %d is %v, plainly %s", id, i, j.Tasks[i].State, plainly)
	}
}

// requireJobAgreement compares a job's end and its counts.
func requireJobAgreement(t *rapid.T, m *Model, id JobID, tasks []string, over string, live int) {
	j := m.Jobs[id]
	final := map[Final]string{0: "", FinalDone: "done", FinalCancelled: "cancelled"}[m.Finals[id]]
	if want := over; live > 0 && final != "" || live == 0 && final != want {
		t.Fatalf("job %d is %q, plainly %q with %d placed", id, final, over, live)
	}
	if j == nil {
		return
	}
	if j.Live != live {
		t.Fatalf("job %d counts %d placed, plainly %d", id, j.Live, live)
	}
	if over != "" {
		return
	}
	want := 0
	for _, s := range tasks {
		if s == "wait" {
			want++
		}
	}
	if j.Waiting() != want || (want > 0) != (j.NextWaiting() >= 0) {
		t.Fatalf("job %d: %d wait and the next is %d, plainly %d", id, j.Waiting(), j.NextWaiting(), want)
	}
}

// history draws entries that fit a model.
type history struct {
	test     *rapid.T
	model    *Model
	machines map[MachineID]bool
	attempt  uint32
}

// draw makes the next entry, nil if what was drawn does not fit the model.
func (h *history) draw() *Entry {
	id := JobID(rapid.IntRange(1, 5).Draw(h.test, "job"))
	machineID := MachineID(rapid.IntRange(1, 4).Draw(h.test, "machine"))
	j := h.model.Jobs[id]
	var task int32
	if j != nil {
		task = int32(rapid.IntRange(0, len(j.Tasks)-1).Draw(h.test, "task"))
	}
	kind := rapid.IntRange(0, 9).Draw(h.test, "kind")
	switch {
	case kind <= 1 && j == nil && h.model.Finals[id] == 0:
		return Accepted(testSpec(uint64(id), rapid.IntRange(1, 4).Draw(h.test, "tasks")), 5)
	case kind == 2 || kind == 3:
		return h.drawMachine(kind, machineID)
	case j != nil && kind >= 4:
		return h.drawChange(kind, j, task, machineID)
	}
	return nil
}

// drawMachine has a machine come or go.
func (h *history) drawMachine(kind int, id MachineID) *Entry {
	switch {
	case kind == 2 && !h.machines[id] && id >= h.model.NextMachine:
		h.machines[id] = true
		return NewMachine(id, 0, testInfo(string(rune('A'+id))))
	case kind == 3 && rapid.IntRange(0, 3).Draw(h.test, "rarely") == 0:
		delete(h.machines, id)
		return NewMachineGone(id)
	}
	return nil
}

// drawChange changes a job: it is cancelled, or one of its tasks is placed, ends or completes.
func (h *history) drawChange(kind int, j *Job, task int32, machine MachineID) *Entry {
	t := &j.Tasks[task]
	switch {
	case kind == 4 && rapid.IntRange(0, 2).Draw(h.test, "rarely") == 0:
		return NewCancellation(j.ID)
	case kind >= 5 && kind <= 7 && !j.Cancelled && t.State == Waiting && h.machines[machine]:
		h.attempt++
		return NewPlacement(j.ID, task, h.attempt, machine, 1)
	case kind >= 8 && t.Run != nil && rapid.Bool().Draw(h.test, "done"):
		return NewCompletion(j.ID, task, t.Attempt)
	case kind >= 8 && t.Run != nil:
		return NewAttemptEnd(j.ID, task, t.Attempt)
	}
	return nil
}

// throughLog is an entry as the log gives it back.
func throughLog(t *rapid.T, e *Entry) *Entry {
	r := &codec.Reader{Data: e.Append(nil)}
	decoded, err := ReadEntry(r)
	if err != nil || !r.Done() {
		t.Fatalf("%+v does not survive the log: %v", e, err)
	}
	return decoded
}

// throughSnapshot is a model as its snapshot gives it back.
func throughSnapshot(t *rapid.T, m *Model, seq uint64) *Model {
	snapshot := m.Snapshot()
	restored := New(params())
	if err := restored.Restore(snapshot, seq, 0); err != nil {
		t.Fatal(err)
	}
	if d := cmp.Diff(snapshot, restored.Snapshot()); d != "" {
		t.Fatalf("a snapshot does not survive itself: %s", d)
	}
	return restored
}

// TestAgainstReferenceModel drives random histories through the model and the plain
// one, by way of the log's encoding, and through snapshots now and then.
func TestAgainstReferenceModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		h := &history{test: t, model: New(params()), machines: map[MachineID]bool{}}
		reference := &referenceModel{tasks: map[JobID][]string{}, finals: map[JobID]string{}}
		_ = h.model.Apply(
			NewMachineType(&wire.MachineType{Name: "t", CPUs: 99, MemoryGB: 99, Zones: []string{"a"}}), 1, 0,
		)
		for seq := uint64(2); seq < 80; seq++ {
			e := h.draw()
			if e == nil {
				continue
			}
			if err := h.model.Apply(throughLog(t, e), seq, Time(seq)); err != nil {
				t.Fatal(err)
			}
			reference.apply(e)
			requireAgreement(t, h.model, reference, h.machines)
			if seq%16 == 0 {
				h.model = throughSnapshot(t, h.model, seq)
				requireAgreement(t, h.model, reference, h.machines)
			}
		}
	})
}
