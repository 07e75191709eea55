package model

import (
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"fieldhill/internal/codec"
	"fieldhill/internal/config"
	"fieldhill/internal/testing/virtualtime"
	"fieldhill/wire"
)

func TestMain(m *testing.M) { virtualtime.MainRapid(m, 300) }

func params() *config.Params {
	return &config.Params{Zones: []string{"a", "b"}, Teams: []config.Team{{Name: "red", CPUsMax: 6}, {Name: "blue"}}}
}

func testSpec(n uint64, tasks int) *wire.JobSpec {
	return &wire.JobSpec{
		ID:       wire.JobID(n),
		Class:    "c",
		Team:     "red",
		Shape:    wire.Array,
		Priority: wire.Low,
		Tasks:    tasks,
		CPUs:     1,
		MemoryGB: 1,
		Image:    "i",
		ImageGB:  1,
	}
}

// testType is the machine type of the tests.
func testType() *wire.MachineType {
	return &wire.MachineType{Name: "t", CPUs: 4, MemoryGB: 8, CacheGB: 10, Zones: []string{"a"}}
}

func testInfo(n string) *MachineInfo { return &MachineInfo{Name: n, Addr: "x:1", Type: "t", Zone: "a"} }

// newPlacedModel makes a model with a job of two tasks, of which the first is placed on a
// machine in session 1, under a leader of term 3.
func newPlacedModel(t *testing.T) (*Model, *Machine, *Run) {
	t.Helper()
	m := New(params())
	applyAll(t, m, NewMachineType(testType()), NewMachine(1, 0, testInfo("host-1")), Accepted(testSpec(7, 2), 0))
	m.BeginTerm(3<<24, 0)
	machine := m.Machines[1]
	m.Observe(machine, testReport(1, 1, 3<<24), nil, 0)
	if err := m.Apply(NewPlacement(7, 0, 1, 1, 1), 4, 0); err != nil {
		t.Fatal(err)
	}
	return m, machine, m.Jobs[7].Tasks[0].Run
}

func testReport(session, seq, token uint64, tasks ...wire.TaskStatus) *wire.Heartbeat {
	return &wire.Heartbeat{
		Machine:      "host-1",
		Addr:         "x:1",
		Type:         "t",
		Zone:         "a",
		AgentEpoch:   session,
		Seq:          seq,
		FencingToken: token,
		Tasks:        tasks,
	}
}

// testStatus is what a report lists of the first attempt of the task that newPlacedModel places.
func testStatus(state, cause string) wire.TaskStatus {
	return wire.TaskStatus{Task: "req-000007/0", Attempt: 1, State: state, Cause: cause}
}

func verbs(cmds []wire.Command) (v []string) {
	for _, c := range cmds {
		v = append(v, c.Verb+" "+c.Task)
	}
	return v
}

// TestStartsWaitForCommit: no start goes out before its placement is committed, and
// until then, but for a new leader, the run can end without the machine's word.
func TestStartsWaitForCommit(t *testing.T) {
	m, machine, run := newPlacedModel(t)
	if c := m.Commands(machine, 3, true); len(c) != 0 || !run.IsUnsent(3) {
		t.Errorf("before its placement is committed: %v, unsent %v", verbs(c), run.IsUnsent(3))
	}
	if run.IsUnsent(4) {
		t.Error("unsent although its placement is committed")
	}
	if run.Inherited = true; run.IsUnsent(3) {
		t.Error("unsent by an earlier leader")
	}
	run.Inherited = false
	if d := cmp.Diff([]string{"run req-000007/0"}, verbs(m.Commands(machine, 4, true))); d != "" {
		t.Error(d)
	}
}

// TestLateStartIsFenced: a start whose direct command got no answer may run at any later
// time, so its task counts as placed until the worker has seen a higher token.
func TestLateStartIsFenced(t *testing.T) {
	m, machine, run := newPlacedModel(t)
	cmds := m.Commands(machine, 4, false)
	m.StartsSent(machine, cmds, m.Token(machine))
	m.StartsLost(machine, cmds, m.Token(machine))
	run.Stop = true
	if v := m.Observe(machine, testReport(1, 2, 3<<24), nil, 1); len(v.Entries) != 0 {
		t.Fatal("the run was declared gone while its start may still be executed")
	}
	if m.Token(machine) != 3<<24+1 {
		t.Fatalf("the machine's token is %d: the late start is not fenced", m.Token(machine))
	}
	if v := m.Observe(machine, testReport(1, 3, 3<<24), nil, 1); len(v.Entries) != 0 {
		t.Fatal("gone before the worker has seen the higher token")
	}
	v := m.Observe(machine, testReport(1, 4, 3<<24+1), nil, 1)
	if len(v.Entries) != 1 || v.Entries[0].Kind != EntryEnded {
		t.Fatalf("not gone although the late start can't be executed any more: %v", v.Entries)
	}
}

// TestTwoLostCopiesOfAStart: the answer to the second copy of a start says nothing about
// the first one, if both carry the same token.
func TestTwoLostCopiesOfAStart(t *testing.T) {
	m, machine, _ := newPlacedModel(t)
	cmds := m.Commands(machine, 4, false)
	token := m.Token(machine)
	m.StartsSent(machine, cmds, token)
	m.StartsLost(machine, cmds, token)
	m.StartsSent(machine, cmds, token)
	m.StartsAnswered(machine, cmds, token, true)
	failed := testStatus(wire.TaskExited, wire.CauseError)
	v := m.Observe(machine, testReport(1, 2, token, failed), m.BeginProbe(machine), 1)
	for _, e := range v.Entries {
		_ = m.Apply(e, 5, 1)
	}
	m.SealReapable(machine, 5)
	for _, c := range m.Commands(machine, 9, true) {
		if c.Verb == wire.Forget {
			t.Error("the attempt is forgotten while a copy of its start is under way: it would run again")
		}
	}
	m.Observe(machine, testReport(1, 3, m.Token(machine), failed), nil, 2)
	m.SealReapable(machine, 5)
	if d := cmp.Diff([]string{"reap req-000007/0"}, verbs(m.Commands(machine, 9, true))); d != "" {
		t.Error(d)
	}
}

// TestInheritedStart: after a change of leaders a start of the old one may be
// under way until the worker reports a token of the new term.
func TestInheritedStart(t *testing.T) {
	m, machine, _ := newPlacedModel(t)
	_ = m.Apply(&Entry{Kind: EntryCancel, Job: 7}, 5, 0)
	m.BeginTerm(4<<24, 0)
	if v := m.Observe(machine, testReport(1, 5, 3<<24), nil, 1); len(v.Entries) != 0 {
		t.Fatal("gone under the old token")
	}
	if v := m.Observe(machine, testReport(1, 6, 4<<24), nil, 1); len(v.Entries) != 1 {
		t.Fatal("not gone under the new token")
	}
}

func TestEvidenceBySession(t *testing.T) {
	m, machine, run := newPlacedModel(t)
	run.Phase = Running
	run.Job.Running = 1
	if v := m.Observe(machine, testReport(1, 1, 3<<24), nil, 1); !v.IsStale() {
		t.Error("an old report was believed")
	}
	// A report may have been sent by an earlier life of the worker, whose sessions had gone further: it has the
	// machine asked, and counts once it shows a token that was given out since.
	v := m.Observe(machine, testReport(2, 1, 3<<24), nil, 1)
	if len(v.Entries) != 0 || !v.NeedsProbe {
		t.Errorf("a report's newer session ends what ran in the older by itself: %v, asked %v", v.Entries, v.NeedsProbe)
	}
	raised := m.Token(machine)
	if raised <= 3<<24 {
		t.Error("no token was raised that only the present worker can show")
	}
	if v := m.Observe(machine, testReport(2, 2, raised-1), nil, 1); len(v.Entries) != 0 {
		t.Errorf("the same without the raised token: %v", v.Entries)
	}
	v = m.Observe(machine, testReport(2, 3, raised), nil, 1)
	if len(v.Entries) != 1 || v.Entries[0].Kind != EntryEnded {
		t.Errorf("a newer session ends what ran in the older: %v", v.Entries)
	}
	// The answer to a question counts at once, for a newer session as for a run that is not there any more.
	for _, session := range []uint64{1, 2} {
		m, machine, run := newPlacedModel(t)
		run.Phase = Running
		run.Job.Running = 1
		v := m.Observe(machine, testReport(session, 9, 3<<24), m.BeginProbe(machine), 1)
		if len(v.Entries) != 1 || v.Entries[0].Kind != EntryEnded {
			t.Errorf("the answer to a question, session %d: %v", session, v.Entries)
		}
	}
}

// TestLateResultStillCounts: a result that is reported after its attempt was given up by an
// earlier leader still counts, if the task waits.
func TestLateResultStillCounts(t *testing.T) {
	m, machine, _ := newPlacedModel(t)
	_ = m.Apply(&Entry{Kind: EntryEnded, Job: 7, Task: 0, Attempt: 1}, 5, 0)
	v := m.Observe(machine, testReport(1, 2, 3<<24, testStatus(wire.TaskExited, wire.CauseDone)), nil, 1)
	if len(v.Entries) != 1 || v.Entries[0].Kind != EntryDone {
		t.Errorf("got %v", v.Entries)
	}
}

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

// TestLongHistory: what a finished job leaves behind is a few bytes, so a
// recovery stays short after a very long life.
func TestLongHistory(t *testing.T) {
	m := New(params())
	const n = 50_000
	for i := range uint64(n) {
		_ = m.Apply(&Entry{Kind: EntryAccept, Job: JobID(i), Spec: testSpec(i, 1)}, i, 0)
		_ = m.Apply(&Entry{Kind: EntryCancel, Job: JobID(i)}, i, 0)
	}
	m.ForgetCommitted(n)
	snapshot := m.Snapshot()
	if len(snapshot) > 2*n {
		t.Errorf("the snapshot has %d bytes for %d finished jobs", len(snapshot), n)
	}
	began := time.Now()
	restored := New(params())
	if err := restored.Restore(snapshot, 1, 0); err != nil {
		t.Fatal(err)
	}
	if len(restored.Finals) != n || len(restored.Jobs) != 0 || m.LiveTasks != 0 {
		t.Errorf("%d final states, %d jobs, %d tasks after %v",
			len(restored.Finals), len(restored.Jobs), m.LiveTasks, time.Since(began))
	}
}

// FuzzDecode: whatever the log holds, reading it ends in an error, not a panic.
func FuzzDecode(f *testing.F) {
	m := New(params())
	_ = m.Apply(&Entry{Kind: EntryMachine, Machine: 1, Info: testInfo("host-1")}, 1, 0)
	_ = m.Apply(&Entry{Kind: EntryAccept, Job: 7, Spec: testSpec(7, 3)}, 1, 0)
	_ = m.Apply(&Entry{Kind: EntryPlace, Job: 7, Attempt: 1, Machine: 1, Session: 1}, 1, 0)
	f.Add(m.Snapshot())
	f.Add((&Entry{Kind: EntryAccept, Spec: testSpec(7, 3)}).Append(nil))
	f.Add((&Entry{Kind: EntryPlace, Job: 7, Attempt: 1, Machine: 1, Session: 1}).Append(nil))
	f.Add([]byte{snapshotVersion, 0xff, 0xff, 0xff, 0xff, 0x0f})
	f.Fuzz(func(t *testing.T, b []byte) {
		if m := New(params()); m.Restore(b, 1, 0) == nil && len(m.Jobs) > 0 && m.LiveTasks == 0 && len(m.Finals) == 0 {
			for _, j := range m.Jobs {
				if j.Waiting() != 0 {
					t.Error("a restored job waits for nothing")
				}
			}
		}
		r := &codec.Reader{Data: b}
		for len(r.Data) > 0 {
			if _, err := ReadEntry(r); err != nil {
				return
			}
		}
	})
}

// TestOutboundPartitionedMachine: a machine that answers with a newer session, while no report of it comes, lost its
// lease though it is reached: it gets services only, until a report comes.
func TestOutboundPartitionedMachine(t *testing.T) {
	m, machine, _ := newPlacedModel(t)
	token := m.Token(machine)
	if m.Observe(machine, testReport(1, 2, token), m.BeginProbe(machine), 1); machine.ServicesOnly(1) {
		t.Error("one that answers in its session counts as mute")
	}
	m.Observe(machine, testReport(2, 5, token), m.BeginProbe(machine), 2)
	if !machine.ServicesOnly(2) || !machine.IsUsable() {
		t.Error("its lease ran out under our questions, and it gets all work, or none")
	}
	if m.Observe(machine, testReport(1, 3, token), nil, 3); !machine.ServicesOnly(3) {
		t.Error("an old report counts")
	}
	if m.Observe(machine, testReport(2, 6, m.Token(machine)), nil, 4); machine.ServicesOnly(4) {
		t.Error("its reports come again, and it still gets services only")
	}
}

// TestSuspectLeaseExpiry: the lease of a suspect machine is over once the entry has
// been committed for the bound and a lease, not a moment earlier; a report takes the
// suspicion back, and a new leader counts anew. The entry by which older versions ended the runs then is still read.
func TestSuspectLeaseExpiry(t *testing.T) {
	const bound, lease = 20 * time.Second, 24 * time.Second
	m, machine, run := newPlacedModel(t)
	seq := uint64(8)
	apply := func(k EntryKind, now Time) {
		t.Helper()
		seq++
		if err := m.Apply(&Entry{Kind: k, Machine: 1}, seq, now); err != nil {
			t.Fatal(err)
		}
	}
	apply(EntrySuspect, 5*time.Second)
	apply(EntryTrust, 6*time.Second)
	apply(EntrySuspect, 10*time.Second)
	machine.SuspicionCommitted(9, 10*time.Second) // the first one is committed, the second is not
	if machine.LeaseExpired(bound, lease, 0, time.Hour, 2) || machine.IsUsable() {
		t.Error("gone before the entry was committed, or still in use")
	}
	machine.SuspicionCommitted(11, 11*time.Second)
	if machine.LeaseExpired(bound, lease, 0, machine.Contact.SuspectFrom+bound+lease+Time(0.9e9), 2) ||
		!machine.LeaseExpired(bound, lease, 0, machine.Contact.SuspectFrom+bound+lease+Time(1.2e9), 2) {
		t.Error("not gone a second after the bound and the lease")
	}
	again := New(params())
	if err := again.Restore(m.Snapshot(), 9, 0); err != nil {
		t.Fatal(err)
	}
	again.BeginTerm(4<<24, time.Minute)
	if o := again.Machines[1]; !o.Suspect || o.LeaseExpired(bound, lease, 0, time.Minute+bound+lease, 2) ||
		!o.LeaseExpired(bound, lease, 0, 2*time.Minute, 2) {
		t.Error("a new leader does not count from its own election")
	}
	apply(EntryTrust, 12*time.Second)
	if machine.LeaseExpired(bound, lease, 0, time.Hour, 2) || !machine.IsUsable() || len(machine.Runs) != 1 {
		t.Error("the suspicion was not taken back")
	}
	apply(EntrySuspect, 13*time.Second)
	apply(EntryLeaseExpired, time.Minute)
	if len(machine.Runs) != 0 || m.Jobs[7].Tasks[0].State != Waiting || run.Machine.IsUsable() {
		t.Error("after the lease its task does not wait again, or the machine is in use")
	}
}

// TestAddressOfProvisionedMachine: what a machine tells of its address is kept for the
// next leader, in the log and in snapshots.
func TestAddressOfProvisionedMachine(t *testing.T) {
	m := New(params())
	for _, addr := range []string{"", "x:9", ""} {
		i := testInfo("host-1")
		i.Addr = addr
		if err := m.Apply(&Entry{Kind: EntryMachine, Machine: 1, Info: i}, 1, 0); err != nil {
			t.Fatal(err)
		}
	}
	again := New(params())
	if err := again.Restore(m.Snapshot(), 1, 0); err != nil {
		t.Fatal(err)
	}
	if len(again.Order) != 1 || again.Order[0].Info.Addr != "x:9" {
		t.Errorf("%d machines, the address is %q", len(again.Order), again.Order[0].Info.Addr)
	}
}

// timing plays tasks that take given times, and a worker that reports every 3 s.
type timing struct {
	test      *testing.T
	model     *Model
	now       Time
	logSeq    uint64
	reportSeq uint64
}

func (x *timing) apply(e *Entry) {
	x.test.Helper()
	x.logSeq++
	if err := x.model.Apply(e, x.logSeq, x.now); err != nil {
		x.test.Fatal(err)
	}
}

// run has a task run on a machine for so many seconds, in which it says nothing for
// silent seconds. It tells whether the machine was found to be slow.
func (x *timing) run(job uint64, task int32, machineID MachineID, tookS, silentS float64) (slow bool) {
	x.test.Helper()
	machine := x.model.Machines[machineID]
	sendReport := func(state, cause string) {
		x.reportSeq++
		status := wire.TaskStatus{Task: wire.TaskID(job, int(task)), Attempt: 1, State: state, Cause: cause}
		v := x.model.Observe(machine, testReport(1, x.reportSeq, 3<<24, status), nil, x.now)
		slow = slow || v.Slow
		for _, e := range v.Entries {
			x.apply(e)
		}
	}
	x.apply(&Entry{Kind: EntryPlace, Job: JobID(job), Task: task, Attempt: 1, Machine: machineID, Session: 1})
	for left := config.Seconds(tookS); left > 0; {
		sendReport(wire.TaskRunning, "")
		step := min(left, config.Seconds(max(3, silentS)))
		x.now, left, silentS = x.now+step, left-step, 0
	}
	sendReport(wire.TaskExited, wire.CauseDone)
	return slow
}

// newTiming makes a leader with three machines that have reported, and thirty jobs whose owners give an estimate.
func newTiming(t *testing.T, estimate float64) *timing {
	t.Helper()
	x := &timing{test: t, model: New(params()), now: 1}
	x.apply(NewMachineType(testType()))
	for n := MachineID(1); n <= 3; n++ {
		x.apply(&Entry{Kind: EntryMachine, Machine: n, Info: testInfo(fmt.Sprintf("host-%d", n))})
	}
	x.model.BeginTerm(3<<24, 0)
	for n := MachineID(1); n <= 3; n++ {
		x.model.Observe(x.model.Machines[n], testReport(1, 1, 3<<24), nil, x.now)
	}
	x.reportSeq = 1
	for n := uint64(1); n <= 30; n++ {
		s := testSpec(n, 20)
		s.EstimateS = estimate
		x.apply(&Entry{Kind: EntryAccept, Job: JobID(n), Spec: s})
	}
	return x
}

// TestEstimatesAreCorrected: owners whose estimates are wrong in one direction are
// corrected after some jobs, and one job with many tasks does not count as many.
func TestEstimatesAreCorrected(t *testing.T) {
	x := newTiming(t, 20)
	last := x.model.Jobs[30]
	if actual := x.model.ExpectedSeconds(last); actual != 20 {
		t.Errorf("at first a task is expected to take %g s", actual)
	}
	for task := range int32(20) {
		x.run(1, task, 1, 60, 0)
	}
	if actual := x.model.ExpectedSeconds(last); actual > 28 {
		t.Errorf("after one job a task is expected to take %g s", actual)
	}
	for n := uint64(2); n <= 28; n++ {
		for task := range int32(20) {
			x.run(n, task, 1, 60, 0)
		}
	}
	if actual := x.model.ExpectedSeconds(last); actual < 45 || actual > 60 {
		t.Errorf("tasks of 20 s take 60 s, %g s are expected", actual)
	}
}

// TestSlowMachine: a machine on which tasks take much longer than the same jobs' tasks
// elsewhere is distrusted; one that is a little slower, that has the long tasks of one job
// by chance, or that hung, is not.
func TestSlowMachine(t *testing.T) {
	for _, c := range []struct {
		name         string
		took, silent float64
		jobs         uint64
		want         bool
	}{
		{"three times as long", 60, 0, 3, true},
		{"a tenth longer", 22, 0, 3, false},
		{"one job only", 60, 0, 1, false},
		{"hung", 60, 40, 3, false},
	} {
		x := newTiming(t, 10) // all take twice as long as their owners think
		slow := false
		for n := uint64(1); n <= c.jobs; n++ {
			for task := range int32(8) {
				if x.run(n, task, 1+MachineID(task%2), 20, 0) {
					t.Fatalf("%s: a good machine is slow", c.name)
				}
			}
			for task := int32(8); task < 12; task++ {
				slow = x.run(n, task, 3, c.took, c.silent) || slow
			}
		}
		if x.model.DetectSlow(x.model.Machines[3], x.now) {
			t.Errorf("%s: nothing runs, and it is late", c.name)
		}
		if machine := x.model.Machines[3]; slow != c.want || machine.IsSlow(x.now) != c.want ||
			machine.IsSlow(x.now+2*slowPeriod) {
			t.Errorf("%s: found slow %v, slow now %v", c.name, slow, machine.IsSlow(x.now))
		}
	}
}

// TestLateTasksShowSlowMachine: tasks of two jobs that run for much longer than their peers
// did show their machine to be slow before they complete, unless one that began after them
// completed in time.
func TestLateTasksShowSlowMachine(t *testing.T) {
	for _, c := range []struct {
		name string
		jobs uint64
		good bool
		want bool
	}{{"two jobs", 2, false, true}, {"one job", 1, false, false}, {"a later one in time", 2, true, false}} {
		x := newTiming(t, 10)
		for n := uint64(1); n <= 3; n++ {
			for task := range int32(8) {
				x.run(n, task, 1, 20, 0)
			}
		}
		machine, now := x.model.Machines[3], Time(0)
		var tasks []wire.TaskStatus
		for k := range uint64(4) {
			n := 1 + k%c.jobs
			x.apply(&Entry{Kind: EntryPlace, Job: JobID(n), Task: int32(10 + k), Attempt: 1, Machine: 3, Session: 1})
			tasks = append(tasks, wire.TaskStatus{Task: wire.TaskID(n, int(10+k)), Attempt: 1, State: wire.TaskRunning})
		}
		began := x.now
		for x.now < began+config.Seconds(80) {
			x.reportSeq++
			x.model.Observe(machine, testReport(1, x.reportSeq, 3<<24, tasks...), nil, x.now)
			if now == 0 && x.model.DetectSlow(machine, x.now) {
				now = x.now - began
			}
			if c.good && x.now == began+config.Seconds(3) {
				later := &Run{Job: x.model.Jobs[3], Machine: machine, Attempt: 1, StartedAt: x.now}
				x.model.recordDuration(machine, later, x.now+config.Seconds(20))
			}
			x.now += config.Seconds(3)
		}
		if (now != 0) != c.want || c.want && now > config.Seconds(42) {
			t.Errorf("%s: found after %v", c.name, now)
		}
	}
}

// TestIntentsInSnapshots: rentals under way survive in snapshots, in the order of the log, and a snapshot without any
// is of the version that nodes which don't know them read.
func TestIntentsInSnapshots(t *testing.T) {
	m := New(params())
	apply := func(seq uint64, e *Entry) {
		decoded, err := ReadEntry(&codec.Reader{Data: e.Append(nil)})
		if err != nil {
			t.Fatal(err)
		}
		if err := m.Apply(decoded, seq, 0); err != nil {
			t.Fatal(err)
		}
	}
	intent := func(name string, n int) *Entry {
		return &Entry{Kind: EntryIntent, Info: &MachineInfo{Name: name, Type: "t", Zone: "a", Spot: n%2 == 0}, Count: n}
	}
	for i, name := range []string{"x", "y", "x", "z"} { // one is repeated
		apply(uint64(i+1), intent(name, i+1))
	}
	apply(5, &Entry{Kind: EntryIntentDone, Info: &MachineInfo{Name: "y"}})
	again := New(params())
	if err := again.Restore(m.Snapshot(), 5, 0); err != nil {
		t.Fatal(err)
	}
	want := []Intent{{"x", "t", "a", false, 1, 5}, {"z", "t", "a", true, 4, 5}}
	if d := cmp.Diff(want, again.Intents); d != "" {
		t.Error(d)
	}
	for _, name := range []string{"x", "z"} {
		apply(6, &Entry{Kind: EntryIntentDone, Info: &MachineInfo{Name: name}})
	}
	if b := m.Snapshot(); b[0] != withoutIntents || len(m.Intents) != 0 {
		t.Errorf("a snapshot without rentals is of version %d", b[0])
	}
}

// TestReportFromEarlierIncarnation: the first report that a new leader gets of a machine may be a copy from an
// earlier life of its worker, whose sessions had gone further than those of the present one. Its session once passed
// for a proof that the runs of a lower one are gone, and they were started elsewhere while they ran.
func TestReportFromEarlierIncarnation(t *testing.T) {
	m, machine, run := newPlacedModel(t) // a run in session 1 of the present life
	m.BeginTerm(4<<24, 0)
	if v := m.Observe(machine, testReport(2, 45, 2<<24), nil, 1); len(v.Entries) != 0 || !v.IsStale() {
		t.Errorf("a copy of session 2 proves %d ends", len(v.Entries))
	}
	running := testStatus(wire.TaskRunning, "")
	v := m.Observe(machine, testReport(1, 7, 3<<24, running), m.BeginProbe(machine), 2)
	if len(v.Entries) != 0 || run.Phase != Running {
		t.Errorf("an answer that lists the run proves %d ends, phase %d", len(v.Entries), run.Phase)
	}
}

// fleetHistory has machines come and go.
type fleetHistory struct {
	test  *testing.T
	model *Model
}

func (h *fleetHistory) name(i int) string { return fmt.Sprintf("host-%06d", i) }

func (h *fleetHistory) provision(from, to int) {
	h.test.Helper()
	for i := from; i < to; i++ {
		applyAll(h.test, h.model, NewMachine(MachineID(i+1), 0, testInfo(h.name(i))))
	}
}

func (h *fleetHistory) lose(from, to int) {
	h.test.Helper()
	for i := from; i < to; i++ {
		applyAll(h.test, h.model, NewMachineGone(MachineID(i+1)))
	}
}

// requireRemembered checks that none of the first n machines is forgotten.
func (h *fleetHistory) requireRemembered(when string, n int) {
	h.test.Helper()
	for i := range n {
		if !h.model.Tombstones[h.name(i)] {
			h.test.Fatalf("%s: machine %d of %d is forgotten", when, i, n)
		}
	}
}

// TestGoneZoneIsRemembered: as many machines as a fleet ever had may be lost twice over, and none of their names is
// forgotten, also not by a node that begins from a snapshot: a late report or a lagging list would bring it back.
func TestGoneZoneIsRemembered(t *testing.T) {
	for _, fleet := range []int{512, 1024, 4000, 10_000} {
		t.Run(fmt.Sprint(fleet), func(t *testing.T) {
			h := &fleetHistory{test: t, model: New(params())}
			h.provision(0, fleet)
			h.lose(0, fleet/2)
			h.requireRemembered("half is lost", fleet/2)
			h.lose(fleet/2, fleet)
			h.requireRemembered("all are lost", fleet)
			restored := New(params())
			if err := restored.Restore(h.model.Snapshot(), 1, 0); err != nil {
				t.Fatal(err)
			}
			h.model = restored
			h.requireRemembered("from a snapshot", fleet)
			h.provision(fleet, 2*fleet)
			h.lose(fleet, 2*fleet)
			h.requireRemembered("all are lost again", 2*fleet)
			h.provision(2*fleet, 3*fleet)
			h.lose(2*fleet, 3*fleet)
			if kept := max(minTombstones, 2*fleet); len(h.model.Tombstones) != kept {
				t.Errorf("%d names are kept, not %d", len(h.model.Tombstones), kept)
			}
		})
	}
}
