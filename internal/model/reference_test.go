package model

import (
	"testing"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"fieldhill/internal/codec"
	"fieldhill/wire"
)

// referenceModel is a simple implementation of the replicated state for comparison, with maps and without counters.
type referenceModel struct {
	tasks  map[JobID][]string // "wait", "done" or the machine
	finals map[JobID]string
}

func (reference *referenceModel) apply(e *Entry) {
	switch e.Kind {
	case EntryAccept:
		for range e.Spec.Tasks {
			reference.tasks[e.Job] = append(reference.tasks[e.Job], "wait")
		}
	case EntryCancel:
		if reference.finals[e.Job] == "" {
			reference.finals[e.Job] = "cancelled"
		}
	case EntryPlace:
		reference.tasks[e.Job][e.Task] = string(rune('A' + e.Machine))
	case EntryAttemptEnded:
		reference.tasks[e.Job][e.Task] = "wait"
	case EntryTaskDone:
		reference.tasks[e.Job][e.Task] = "done"
		all := true
		for _, s := range reference.tasks[e.Job] {
			all = all && s == "done"
		}
		if all && reference.finals[e.Job] == "" {
			reference.finals[e.Job] = "done"
		}
	case EntryMachineGone:
		for _, ts := range reference.tasks {
			for i := range ts {
				if ts[i] == string(rune('A'+e.Machine)) {
					ts[i] = "wait"
				}
			}
		}
	}
}

// requireMatches compares the model with the reference and with the set of present machines.
func requireMatches(t *rapid.T, m *Model, reference *referenceModel, machines map[MachineID]bool) {
	cpus := 0.0
	for id, ts := range reference.tasks {
		placed := 0
		for i, s := range ts {
			if s != "wait" && s != "done" {
				placed++
			}
			requireTaskMatches(t, m, id, i, s)
		}
		cpus += float64(placed)
		requireJobMatches(t, m, id, ts, reference.finals[id], placed)
	}
	if m.Teams[0].UsedCPUs != cpus {
		t.Fatalf("team uses %g CPUs, want %g", m.Teams[0].UsedCPUs, cpus)
	}
	if len(m.Machines) != len(machines) || len(m.MachinesInOrder) != len(machines) {
		t.Fatalf("%d machines, want %d", len(m.Machines), len(machines))
	}
}

// requireTaskMatches compares a task with its reference state: "wait", "done" or the machine.
func requireTaskMatches(t *rapid.T, m *Model, id JobID, i int, want string) {
	j := m.Jobs[id]
	if want != "wait" && want != "done" {
		if j == nil || j.Tasks[i].Run == nil || string(rune('A'+j.Tasks[i].Run.Machine.ID)) != want {
			t.Fatalf("job %d task %d has no run on machine %s", id, i, want)
		}
	} else if j != nil && j.Tasks[i].Run != nil {
		t.Fatalf("job %d task %d has a run, want state %s", id, i, want)
	}
	if j != nil && (j.Tasks[i].State == Done) != (want == "done") {
		t.Fatalf("job %d task %d has state %v, want %s", id, i, j.Tasks[i].State, want)
	}
}

// requireJobMatches compares a job's final state and its counts with the reference.
func requireJobMatches(t *rapid.T, m *Model, id JobID, tasks []string, wantFinal string, placed int) {
	j := m.Jobs[id]
	final := map[Final]string{0: "", FinalDone: "done", FinalCancelled: "cancelled"}[m.Finals[id]]
	if want := wantFinal; placed > 0 && final != "" || placed == 0 && final != want {
		t.Fatalf("job %d has final state %q, want %q with %d placed tasks", id, final, wantFinal, placed)
	}
	if j == nil {
		return
	}
	if j.PlacedTasks != placed {
		t.Fatalf("job %d has %d placed tasks, want %d", id, j.PlacedTasks, placed)
	}
	if wantFinal != "" {
		return
	}
	want := 0
	for _, s := range tasks {
		if s == "wait" {
			want++
		}
	}
	if j.Waiting() != want || (want > 0) != (j.NextWaiting() >= 0) {
		t.Fatalf("job %d: %d tasks wait and the next is %d, want %d waiting tasks",
			id, j.Waiting(), j.NextWaiting(), want)
	}
}

// historyGenerator draws random entries that are valid in the current state of a model.
type historyGenerator struct {
	test     *rapid.T
	model    *Model
	machines map[MachineID]bool
	attempt  uint32
}

// draw returns a random entry, or nil if the drawn values give none that is valid in the model's current state.
func (h *historyGenerator) draw() *Entry {
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
		return NewAcceptance(testSpec(uint64(id), rapid.IntRange(1, 4).Draw(h.test, "tasks")), 5)
	case kind == 2 || kind == 3:
		return h.drawMachine(kind, machineID)
	case j != nil && kind >= 4:
		return h.drawJobChange(kind, j, task, machineID)
	}
	return nil
}

// drawMachine returns an entry that adds or removes a machine.
func (h *historyGenerator) drawMachine(kind int, id MachineID) *Entry {
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

// drawJobChange returns an entry that cancels a job, or that places, ends or completes one of its tasks.
func (h *historyGenerator) drawJobChange(kind int, j *Job, task int32, machine MachineID) *Entry {
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

// encodeAndDecode encodes an entry and returns the result of decoding it. It fails the test if decoding fails or leaves
// bytes unread.
func encodeAndDecode(t *rapid.T, e *Entry) *Entry {
	r := &codec.Reader{Data: e.Append(nil)}
	decoded, err := ReadEntry(r)
	if err != nil || !r.Done() {
		t.Fatalf("decode entry %+v: error %v, %d bytes left", e, err, len(r.Data))
	}
	return decoded
}

// snapshotAndRestore returns a model restored from a snapshot of m. It fails the test if the restored model gives a
// different snapshot.
func snapshotAndRestore(t *rapid.T, m *Model, seq uint64) *Model {
	snapshot := m.Snapshot()
	restored := New(params())
	if err := restored.Restore(snapshot, seq, 0); err != nil {
		t.Fatal(err)
	}
	if d := cmp.Diff(snapshot, restored.Snapshot()); d != "" {
		t.Fatalf("the restored model gives a different snapshot: %s", d)
	}
	return restored
}

// TestAgainstReferenceModel checks that the model and the reference are in the same state after each entry of random
// histories. Entries are encoded and decoded before they are applied, and the model is regularly restored from a
// snapshot.
func TestAgainstReferenceModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		h := &historyGenerator{test: t, model: New(params()), machines: map[MachineID]bool{}}
		reference := &referenceModel{tasks: map[JobID][]string{}, finals: map[JobID]string{}}
		_ = h.model.Apply(
			NewMachineType(&wire.MachineType{Name: "t", CPUs: 99, MemoryGB: 99, Zones: []string{"a"}}), 1, 0,
		)
		for seq := uint64(2); seq < 80; seq++ {
			e := h.draw()
			if e == nil {
				continue
			}
			if err := h.model.Apply(encodeAndDecode(t, e), seq, Time(seq)); err != nil {
				t.Fatal(err)
			}
			reference.apply(e)
			requireMatches(t, h.model, reference, h.machines)
			if seq%16 == 0 {
				h.model = snapshotAndRestore(t, h.model, seq)
				requireMatches(t, h.model, reference, h.machines)
			}
		}
	})
}
