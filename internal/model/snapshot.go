package model

import (
	"errors"
	"fmt"
	"slices"

	"fieldhill/internal/codec"
	"fieldhill/internal/intern"
	"fieldhill/wire"
)

// Snapshot versions. Version 1 has no suspect flag, version 2 no releasing flag and version 3 no intents. Version 4 is
// written only if there are intents, so that nodes that support version 3 at most can read all other snapshots; no
// intents are logged while such nodes are members.
const (
	snapshotVersion           = 4
	lastVersionWithoutIntents = 3
	firstVersionWithSuspect   = 2
	firstVersionWithReleasing = 3
)

// Sections of a snapshot in stored order, as reported by CorruptSnapshotError.
const (
	sectionVersion    = "version"
	sectionTypes      = "machine types"
	sectionMachines   = "machines"
	sectionTombstones = "tombstones"
	sectionFinals     = "final states"
	sectionJobs       = "jobs"
	sectionIntents    = "intents"
	sectionEnd        = "end"
)

// ErrUnknownVersion is the cause that a CorruptSnapshotError reports for a snapshot version that this program does not
// support.
var ErrUnknownVersion = errors.New("unknown version")

// CorruptSnapshotError reports a snapshot that cannot be decoded, and the section in which decoding failed.
type CorruptSnapshotError struct {
	Section string
	Err     error
}

// Error names the section, and the cause.
func (e *CorruptSnapshotError) Error() string {
	return fmt.Sprintf("model: restore snapshot: section %q: %v", e.Section, e.Err)
}

// Unwrap returns the cause: why the section cannot be decoded.
func (e *CorruptSnapshotError) Unwrap() error { return e.Err }

// Snapshot returns the encoded replicated state, with the inferred image caches of the machines. Equal states have
// equal encodings.
func (m *Model) Snapshot() []byte {
	b := []byte{lastVersionWithoutIntents}
	if len(m.Intents) > 0 {
		b[0] = snapshotVersion
	}
	b = m.appendTypes(b)
	b = m.appendMachines(b, &m.Images)
	b = m.appendTombstones(b)
	b = m.appendFinals(b)
	b = m.appendJobs(b)
	if len(m.Intents) > 0 {
		b = m.appendIntents(b)
	}
	return b
}

func (c *catalog) appendTypes(b []byte) []byte {
	known := 0
	for i := range c.Types {
		if c.Types[i].Known {
			known++
		}
	}
	b = codec.Uint(b, uint64(known))
	for i := range c.Types {
		if c.Types[i].Known {
			b = appendType(b, &c.Types[i].MachineType)
		}
	}
	return b
}

func (t *machineTable) appendMachines(b []byte, images *intern.Table) []byte {
	b = codec.Uint(b, uint64(t.NextMachine))
	b = codec.Uint(b, uint64(len(t.MachinesInOrder)))
	for _, machine := range t.MachinesInOrder {
		b = codec.Uint(b, uint64(machine.ID))
		b = codec.Uint(b, uint64(machine.FirstLoggedMS))
		b = appendInfo(b, &machine.Info)
		b = codec.Bool(b, machine.Suspect)
		b = codec.Bool(b, machine.Releasing)
		b = codec.Uint(b, uint64(len(machine.cache)))
		for _, c := range machine.cache {
			b = codec.String(b, images.Name(c.image))
			b = codec.Float(b, c.sizeGB)
		}
	}
	return b
}

func (t *machineTable) appendTombstones(b []byte) []byte { return appendStrings(b, t.tombstoneQueue) }

// appendFinals encodes the IDs of the jobs with each final state. The IDs are sorted, and each is stored as the
// difference to the previous one, so that most take one byte.
func (t *jobTable) appendFinals(b []byte) []byte {
	for _, wanted := range []Final{FinalDone, FinalCancelled} {
		ids := make([]JobID, 0, len(t.Finals))
		for id, final := range t.Finals {
			if final == wanted {
				ids = append(ids, id)
			}
		}
		slices.Sort(ids)
		b = codec.Uint(b, uint64(len(ids)))
		last := JobID(0)
		for _, id := range ids {
			b = codec.Uint(b, uint64(id-last))
			last = id
		}
	}
	return b
}

func (t *jobTable) appendJobs(b []byte) []byte {
	jobs := t.JobsInOrder()
	b = codec.Uint(b, uint64(len(jobs)))
	for _, j := range jobs {
		b = codec.Uint(b, uint64(j.AcceptedAtMS))
		b = appendSpec(b, j.Spec)
		b = codec.Bool(b, j.Cancelled)
		b = appendTasks(b, j.Tasks)
	}
	return b
}

// appendTasks encodes the tasks of a job. A sequence of equal tasks is run-length encoded; placed tasks are encoded one
// by one.
func appendTasks(b []byte, tasks []Task) []byte {
	for i := 0; i < len(tasks); {
		t := &tasks[i]
		n := 1
		for i+n < len(tasks) && t.Run == nil && tasks[i+n] == *t {
			n++
		}
		b = append(b, byte(t.State))
		b = codec.Uint(b, uint64(t.Attempt))
		b = codec.Uint(b, uint64(n))
		if t.Run != nil {
			b = codec.Uint(b, uint64(t.Run.Machine.ID))
			b = codec.Uint(b, t.Run.AgentEpoch)
		}
		i += n
	}
	return b
}

func (t *machineTable) appendIntents(b []byte) []byte {
	b = codec.Uint(b, uint64(len(t.Intents)))
	for _, i := range t.Intents {
		b = NewIntent(&MachineInfo{Name: i.Name, Type: i.Type, Zone: i.Zone, Spot: i.Spot}, i.Count).Append(b)
	}
	return b
}

// Restore fills an empty model from a snapshot that was taken at the given log sequence number. After an error the
// model must not be used.
func (m *Model) Restore(b []byte, seq uint64, now Time) error {
	if len(b) == 0 || b[0] < 1 || b[0] > snapshotVersion {
		return &CorruptSnapshotError{sectionVersion, ErrUnknownVersion}
	}
	r := &restorer{
		Reader: codec.Reader{Data: b[1:]}, model: m, version: b[0], limit: uint64(len(b)), seq: seq, now: now,
	}
	for _, section := range []struct {
		name string
		read func() error
	}{
		{sectionTypes, r.readTypes},
		{sectionMachines, r.readMachines},
		{sectionTombstones, r.readTombstones},
		{sectionFinals, r.readFinals},
		{sectionJobs, r.readJobs},
		{sectionIntents, r.readIntents},
	} {
		err := section.read()
		if err == nil {
			err = r.Err
		}
		if err != nil {
			return &CorruptSnapshotError{section.name, err}
		}
	}
	if !r.Done() {
		return &CorruptSnapshotError{sectionEnd, codec.ErrMalformed}
	}
	return nil
}

// restorer decodes the sections of a snapshot into a model.
type restorer struct {
	codec.Reader
	model   *Model
	version byte
	limit   uint64 // upper bound of any decoded count: the length of the snapshot
	seq     uint64 // log sequence number of the snapshot
	now     Time
}

// count reads the number of records that follow.
func (r *restorer) count() int { return r.Max(r.limit) }

func (r *restorer) readTypes() error {
	for range r.count() {
		t := readType(&r.Reader)
		if r.Err != nil {
			return r.Err
		}
		r.model.setType(t)
	}
	return nil
}

func (r *restorer) readMachines() error {
	m := r.model
	next := MachineID(r.Max(maxID))
	for range r.count() {
		e := NewMachine(MachineID(r.Max(maxID)), int64(r.Uint()), readInfo(&r.Reader))
		suspect := r.version >= firstVersionWithSuspect && r.Bool()
		releasing := r.version >= firstVersionWithReleasing && r.Bool()
		if r.Err != nil {
			return r.Err
		}
		m.addMachine(e, r.now)
		machine := m.Machines[e.Machine]
		machine.Suspect, machine.Releasing, machine.ReleaseSeq = suspect, releasing, r.seq
		for range r.count() {
			machine.cache = append(machine.cache, cachedImage{m.Images.ID(r.String()), r.Float(), r.now})
		}
	}
	m.NextMachine = max(m.NextMachine, next)
	return nil
}

func (r *restorer) readTombstones() error {
	m := r.model
	n := r.count()
	m.maxFleetSize = max(m.maxFleetSize, (n+1)/2) // the snapshot has up to twice the largest fleet size of its writer
	for range n {
		m.addTombstone(r.String())
	}
	return nil
}

func (r *restorer) readFinals() error {
	for _, final := range []Final{FinalDone, FinalCancelled} {
		id := JobID(0)
		for range r.count() {
			id += JobID(r.Uint())
			r.model.Finals[id] = final
		}
	}
	return nil
}

func (r *restorer) readJobs() error {
	for range r.count() {
		at := int64(r.Uint())
		spec := readSpec(&r.Reader)
		cancelled := r.Bool()
		if r.Err != nil {
			return r.Err
		}
		if _, ok := wire.ParseJobID(spec.ID); !ok {
			return &JobIDError{spec.ID}
		}
		if spec.Tasks < 1 {
			return codec.ErrMalformed
		}
		j := r.model.addJob(NewAcceptance(spec, at), r.seq, r.now)
		if err := r.readTasks(j); err != nil {
			return err
		}
		if cancelled {
			j.Cancelled, j.FinalSeq = true, r.seq
		}
	}
	return nil
}

func (r *restorer) readTasks(j *Job) error {
	for i := 0; i < len(j.Tasks); {
		state := TaskState(r.Byte())
		attempt := uint32(r.Max(maxID))
		n := r.Max(uint64(len(j.Tasks) - i))
		if r.Err != nil || n == 0 || state > Done || state == Placed && n != 1 {
			return codec.ErrMalformed
		}
		if state == Placed {
			e := NewPlacement(j.ID, int32(i), attempt, MachineID(r.Max(maxID)), r.Uint())
			if r.Err != nil {
				return r.Err
			}
			if err := r.model.placeTask(e, r.seq, r.now); err != nil {
				return err
			}
		}
		for k := range n {
			t := &j.Tasks[i+k]
			t.Attempt = attempt
			if state == Done {
				t.State = Done
				r.model.countCompletion(j)
			}
		}
		i += n
	}
	return nil
}

func (r *restorer) readIntents() error {
	if r.version <= lastVersionWithoutIntents {
		return nil
	}
	for range r.count() {
		e, err := ReadEntry(&r.Reader)
		if err != nil {
			return err
		}
		if e.Kind != EntryIntent {
			return codec.ErrMalformed
		}
		if err := r.model.Apply(e, r.seq, r.now); err != nil {
			return err
		}
	}
	return nil
}
