package model

import "fmt"

// UnknownKindError is that an entry of the log is of a kind that this version does not know.
type UnknownKindError struct{ Kind EntryKind }

// Error names the kind.
func (e *UnknownKindError) Error() string { return fmt.Sprintf("model: unknown entry kind %d", e.Kind) }

// RepeatedAcceptanceError is that an entry accepts a job that was accepted before.
type RepeatedAcceptanceError struct{ Job JobID }

// Error names the job.
func (e *RepeatedAcceptanceError) Error() string {
	return fmt.Sprintf("model: job %d accepted twice", e.Job)
}

// MisplacementError is that an entry places a task that can't be placed as the log stands: it or its machine is not
// known, or it does not wait.
type MisplacementError struct {
	Job     JobID
	Task    int32
	Machine MachineID
}

// Error names the task and the machine.
func (e *MisplacementError) Error() string {
	return fmt.Sprintf("model: placement of %d/%d on %d does not fit the log", e.Job, e.Task, e.Machine)
}

// Apply carries out one entry of the log, which has the number seq in it. An entry that is late or repeated changes
// nothing where that can happen; it is an error where the leader that logged it would have known better.
func (m *Model) Apply(e *Entry, seq uint64, now Time) error {
	switch e.Kind {
	case EntryAccept:
		return m.acceptJob(e, seq, now)
	case EntryCancel:
		m.cancelJob(e.Job, seq, now)
	case EntryPlace:
		return m.placeTask(e, seq, now)
	case EntryEnded:
		m.endAttempt(e, now)
	case EntryDone:
		m.completeTask(e, seq, now)
	case EntryMachine:
		m.addMachine(e, now)
	case EntryGone:
		m.removeMachine(e.Machine, now)
	case EntryRelease:
		m.releaseMachine(e.Machine, seq)
	case EntrySuspect:
		m.setSuspect(e.Machine, true, seq)
	case EntryTrust:
		m.setSuspect(e.Machine, false, seq)
	case EntryLeaseExpired:
		m.expireLease(e.Machine, seq, now)
	case EntryIntent:
		m.addIntent(Intent{
			Name: e.Info.Name, Type: e.Info.Type, Zone: e.Info.Zone, Spot: e.Info.Spot, Count: e.Count, Seq: seq,
		})
	case EntryIntentDone:
		m.removeIntent(e.Info.Name)
	case EntryType:
		m.setType(e.Type)
	default:
		return &UnknownKindError{e.Kind}
	}
	return nil
}

func (m *Model) acceptJob(e *Entry, seq uint64, now Time) error {
	if m.Jobs[e.Job] != nil || m.Finals[e.Job] != 0 {
		return &RepeatedAcceptanceError{e.Job}
	}
	m.addJob(e, seq, now)
	return nil
}

// addJob makes the job that an entry accepts.
func (m *Model) addJob(e *Entry, seq uint64, now Time) *Job {
	s := e.Spec
	j := &Job{
		ID: e.Job, Spec: s, Kind: kindOf(s.Shape), Priority: priorityOf(s.Priority), Team: m.teamByName[s.Team],
		Class: m.Classes.ID(s.Class), Image: m.Images.ID(s.Image), Zone: -1, TypesKey: typesKeyOf(s), At: e.At,
		Tasks: make([]Task, s.Tasks), AcceptSeq: seq, Observed: JobObservation{KnownSince: now},
	}
	if s.Zone != nil {
		j.Zone = m.Zones.ID(*s.Zone)
	}
	if s.Types != nil {
		j.Types = []int32{}
		for _, t := range s.Types {
			j.Types = append(j.Types, m.typeIndex(t))
		}
	}
	m.insertJob(j)
	m.recordAcceptance(j)
	return j
}

func (m *Model) cancelJob(id JobID, seq uint64, now Time) {
	if j := m.Jobs[id]; j != nil && !j.Cancelled {
		j.Cancelled = true
		j.FinalSeq = seq
		m.settle(j, now)
	}
}

// placeTask gives a task a run.
func (m *Model) placeTask(e *Entry, seq uint64, now Time) error {
	j, machine := m.Jobs[e.Job], m.Machines[e.Machine]
	if j == nil || machine == nil || int(e.Task) >= len(j.Tasks) || j.Tasks[e.Task].State != Waiting || j.Cancelled {
		return &MisplacementError{e.Job, e.Task, e.Machine}
	}
	r := &Run{
		Job: j, Task: e.Task, Attempt: e.Attempt, Machine: machine, Session: e.Session, PlacedSeq: seq, PlacedAt: now,
	}
	t := &j.Tasks[e.Task]
	t.State, t.Attempt, t.Run = Placed, e.Attempt, r
	j.Live++
	m.recordStart(j)
	machine.Runs = append(machine.Runs, r)
	machine.countFetch(r, 1)
	r.charge(1)
	return nil
}

// endAttempt drops the run of an attempt that is evidently gone; its task waits again.
func (m *Model) endAttempt(e *Entry, now Time) {
	if r := m.findRun(e.Job, e.Task, e.Attempt); r != nil {
		m.dropRun(r, now)
		m.settle(r.Job, now)
	}
}

// completeTask notes that a task completed, whatever its attempt: also the result of one that was given up counts.
func (m *Model) completeTask(e *Entry, seq uint64, now Time) {
	j := m.Jobs[e.Job]
	if j == nil || int(e.Task) >= len(j.Tasks) {
		return
	}
	t := &j.Tasks[e.Task]
	if r := t.Run; r != nil {
		r.Machine.TouchImage(m, j, now)
		m.dropRun(r, now)
	}
	if t.State != Done {
		t.State = Done
		m.countCompletion(j)
	}
	if j.Done == len(j.Tasks) && !j.Cancelled {
		j.FinalSeq = seq
	}
	m.settle(j, now)
}

// countCompletion counts one more task of a job as completed.
func (m *Model) countCompletion(j *Job) {
	j.Done++
	m.countTasks(j, -1)
	m.recordTaskDone(j)
}

// dropRun takes a run off its machine and its job. Its task waits again, unless it is completed next.
func (m *Model) dropRun(r *Run, now Time) {
	r.setPhase(Unseen)
	j, machine := r.Job, r.Machine
	machine.countFetch(r, -1)
	machine.removeRun(r)
	if len(machine.Runs) == 0 {
		machine.Lifecycle.IdleSince = now
	}
	r.charge(-1)
	j.Live--
	t := &j.Tasks[r.Task]
	t.Run = nil
	if t.State == Placed {
		t.State = Waiting
		j.retryTasks = append(j.retryTasks, r.Task)
	}
}

// dropRuns notes that everything on a machine is gone.
func (m *Model) dropRuns(machine *Machine, now Time) {
	for len(machine.Runs) > 0 {
		r := machine.Runs[0]
		m.dropRun(r, now)
		m.settle(r.Job, now)
	}
}

// settle turns a job whose tasks are all gone, and which is over, into its final state.
func (m *Model) settle(j *Job, now Time) {
	if j.Live > 0 || m.Jobs[j.ID] != j {
		return
	}
	var final Final
	switch {
	case j.Cancelled:
		final = FinalCancelled
	case j.Done == len(j.Tasks):
		final = FinalDone
	default:
		return
	}
	m.countTasks(j, j.Done-len(j.Tasks))
	m.recordEnd(j, now)
	m.finishJob(j, final)
}

// addMachine makes the machine that an entry names. One that is known by its name is not made twice, but the entry may
// tell where it is.
func (m *Model) addMachine(e *Entry, now Time) {
	if m.updateAddress(e.Info) || m.Machines[e.Machine] != nil {
		return
	}
	m.insertMachine(&Machine{
		ID: e.Machine, Info: *e.Info, Type: m.typeIndex(e.Info.Type), Zone: m.Zones.ID(e.Info.Zone), Spot: e.Info.Spot,
		At: e.At, Contact: MachineContact{KnownSince: now}, Lifecycle: MachineLifecycle{IdleSince: now},
	})
}

func (m *Model) removeMachine(id MachineID, now Time) {
	if machine := m.Machines[id]; machine != nil {
		m.dropRuns(machine, now)
		m.deleteMachine(machine)
	}
}

// expireLease makes a machine suspect whose lease has surely expired, so that its runs are gone. Older versions logged
// that; the present one reads it.
func (m *Model) expireLease(id MachineID, seq uint64, now Time) {
	m.setSuspect(id, true, seq)
	if machine := m.Machines[id]; machine != nil {
		m.dropRuns(machine, now)
	}
}
