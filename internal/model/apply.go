package model

import "fmt"

// UnknownKindError reports a log entry whose kind this version does not support.
type UnknownKindError struct{ Kind EntryKind }

// Error names the unknown kind.
func (e *UnknownKindError) Error() string {
	return fmt.Sprintf("model: log entry of unknown kind %d", e.Kind)
}

// DuplicateAcceptanceError reports a log entry that accepts a job a second time.
type DuplicateAcceptanceError struct{ Job JobID }

// Error names the job.
func (e *DuplicateAcceptanceError) Error() string {
	return fmt.Sprintf("model: accept job %d: job was accepted before", e.Job)
}

// InvalidPlacementError reports a placement that conflicts with the replicated state: the job, the task or the machine
// is unknown, the job is cancelled, or the task is not waiting.
type InvalidPlacementError struct {
	Job     JobID
	Task    int32
	Machine MachineID
}

// Error names the task and the machine.
func (e *InvalidPlacementError) Error() string {
	return fmt.Sprintf("model: place task %d/%d on machine %d: "+
		"unknown task or machine, job cancelled, or task not waiting", e.Job, e.Task, e.Machine)
}

// Apply applies the log entry with sequence number seq. Entries that can be late or repeated in normal operation are
// ignored if they no longer apply. Apply returns an error if the kind of the entry is unknown, or if a leader must not
// log the entry in the current state.
func (m *Model) Apply(e *Entry, seq uint64, now Time) error {
	switch e.Kind {
	case EntryAccept:
		return m.acceptJob(e, seq, now)
	case EntryCancel:
		m.cancelJob(e.Job, seq, now)
	case EntryPlace:
		return m.placeTask(e, seq, now)
	case EntryAttemptEnded:
		m.endAttempt(e, now)
	case EntryTaskDone:
		m.completeTask(e, seq, now)
	case EntryMachine:
		m.addMachine(e, now)
	case EntryMachineGone:
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
		return &DuplicateAcceptanceError{e.Job}
	}
	m.addJob(e, seq, now)
	return nil
}

// addJob creates the job that an acceptance entry describes.
func (m *Model) addJob(e *Entry, seq uint64, now Time) *Job {
	s := e.Spec
	j := &Job{
		ID: e.Job, Spec: s, Kind: kindOf(s.Shape), Priority: priorityOf(s.Priority), Team: m.teamByName[s.Team],
		Class: m.Classes.ID(s.Class), Image: m.Images.ID(s.Image), Zone: -1, TypesKey: typesKeyOf(s),
		Tasks: make([]Task, s.Tasks), AcceptedAtMS: e.WallTimeMS, AcceptSeq: seq,
		Observed: JobObservation{KnownSince: now},
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
		m.finishIfOver(j, now)
	}
}

// placeTask creates the run for a placement entry and marks its task as placed.
func (m *Model) placeTask(e *Entry, seq uint64, now Time) error {
	j, machine := m.Jobs[e.Job], m.Machines[e.Machine]
	if j == nil || machine == nil || int(e.Task) >= len(j.Tasks) || j.Tasks[e.Task].State != Waiting || j.Cancelled {
		return &InvalidPlacementError{e.Job, e.Task, e.Machine}
	}
	r := &Run{
		Job: j, Task: e.Task, Attempt: e.Attempt, Machine: machine, AgentEpoch: e.AgentEpoch,
		PlacedSeq: seq, PlacedAt: now,
	}
	t := &j.Tasks[e.Task]
	t.State, t.Attempt, t.Run = Placed, e.Attempt, r
	j.PlacedTasks++
	m.recordStart(j)
	machine.Runs = append(machine.Runs, r)
	machine.countFetch(r, 1)
	r.addUsage(1)
	return nil
}

// endAttempt drops the run of an attempt that is known to have ended. Its task waits again.
func (m *Model) endAttempt(e *Entry, now Time) {
	if r := m.findRun(e.Job, e.Task, e.Attempt); r != nil {
		m.dropRun(r, now)
		m.finishIfOver(r.Job, now)
	}
}

// completeTask marks a task as completed. The attempt that completed the task need not be the current one: the end of
// that attempt may have been logged before its completion was reported.
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
	m.finishIfOver(j, now)
}

func (m *Model) countCompletion(j *Job) {
	j.Done++
	m.countTasks(j, -1)
	m.recordTaskCompletion(j)
}

// dropRun detaches a run from its machine and its job, and marks its task as waiting again. completeTask, which also
// calls dropRun, then marks the task as completed.
func (m *Model) dropRun(r *Run, now Time) {
	r.setPhase(Unseen)
	j, machine := r.Job, r.Machine
	machine.countFetch(r, -1)
	machine.removeRun(r)
	if len(machine.Runs) == 0 {
		machine.Lifecycle.IdleSince = now
	}
	r.addUsage(-1)
	j.PlacedTasks--
	t := &j.Tasks[r.Task]
	t.Run = nil
	if t.State == Placed {
		t.State = Waiting
		j.retryTasks = append(j.retryTasks, r.Task)
	}
}

// dropRuns drops all runs of a machine, and finishes the cancelled jobs that have no more runs.
func (m *Model) dropRuns(machine *Machine, now Time) {
	for len(machine.Runs) > 0 {
		r := machine.Runs[0]
		m.dropRun(r, now)
		m.finishIfOver(r.Job, now)
	}
}

// finishIfOver replaces a cancelled or completed job by its final state once it has no more runs.
func (m *Model) finishIfOver(j *Job, now Time) {
	if j.PlacedTasks > 0 || m.Jobs[j.ID] != j {
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

// addMachine creates the machine that an entry describes. If a machine with that name exists, only its address is
// updated; if a machine with that ID exists, the entry is ignored.
func (m *Model) addMachine(e *Entry, now Time) {
	if m.updateAddress(e.Info) || m.Machines[e.Machine] != nil {
		return
	}
	m.insertMachine(&Machine{
		ID: e.Machine, Info: *e.Info, Type: m.typeIndex(e.Info.Type), Zone: m.Zones.ID(e.Info.Zone), Spot: e.Info.Spot,
		FirstLoggedMS: e.WallTimeMS, Contact: MachineContact{KnownSince: now},
		Lifecycle: MachineLifecycle{IdleSince: now},
	})
}

func (m *Model) removeMachine(id MachineID, now Time) {
	if machine := m.Machines[id]; machine != nil {
		m.dropRuns(machine, now)
		m.deleteMachine(machine)
	}
}

// expireLease applies EntryLeaseExpired: it marks a machine as suspect and drops its runs, because its lease has
// certainly expired. This version does not write such entries, but must apply those that older versions logged.
func (m *Model) expireLease(id MachineID, seq uint64, now Time) {
	m.setSuspect(id, true, seq)
	if machine := m.Machines[id]; machine != nil {
		m.dropRuns(machine, now)
	}
}
