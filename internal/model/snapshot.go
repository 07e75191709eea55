package model

import (
	"fmt"
	"sort"

	"fieldhill/internal/codec"
	"fieldhill/wire"
)

// The versions of snapshots. 1: without suspects; 2: without machines that are being returned; 3: without
// rentals under way. The last is written only if there are any, so that nodes that don't know them, beside
// which none are logged, read what is written.
const (
	snapshotVersion = 4
	withoutIntents  = 3
)

// Snapshot writes the replicated part, in an order that depends on it alone.
func (m *Model) Snapshot() []byte {
	b := []byte{withoutIntents}
	if len(m.Intents) > 0 {
		b[0] = snapshotVersion
	}
	knownTypes := 0
	for i := range m.Types {
		if m.Types[i].Known {
			knownTypes++
		}
	}
	b = codec.Uint(b, uint64(knownTypes))
	for i := range m.Types {
		if m.Types[i].Known {
			b = appendType(b, &m.Types[i].MachineType)
		}
	}
	b = codec.Uint(b, uint64(m.NextMachine))
	b = codec.Uint(b, uint64(len(m.Order)))
	for _, machine := range m.Order {
		b = codec.Uint(b, uint64(machine.ID))
		b = codec.Uint(b, uint64(machine.At))
		b = appendInfo(b, &machine.Info)
		b = codec.Bool(b, machine.Suspect)
		b = codec.Bool(b, machine.Releasing)
		b = codec.Uint(b, uint64(len(machine.cache)))
		for _, c := range machine.cache {
			b = codec.String(b, m.Images.Name(c.image))
			b = codec.Float(b, c.sizeGB)
		}
	}
	b = codec.Uint(b, uint64(len(m.tombstoneRing)))
	for _, n := range m.tombstoneRing {
		b = codec.String(b, n)
	}
	for _, wantedFinal := range []Final{FinalDone, FinalCancelled} {
		ids := make([]JobID, 0, len(m.Finals))
		for id, final := range m.Finals {
			if final == wantedFinal {
				ids = append(ids, id)
			}
		}
		sort.Slice(ids, func(i, k int) bool { return ids[i] < ids[k] })
		b = codec.Uint(b, uint64(len(ids)))
		last := JobID(0)
		for _, id := range ids {
			b = codec.Uint(b, uint64(id-last))
			last = id
		}
	}
	jobs := m.JobsInOrder()
	b = codec.Uint(b, uint64(len(jobs)))
	for _, j := range jobs {
		b = codec.Uint(b, uint64(j.At))
		b = appendSpec(b, j.Spec)
		b = codec.Bool(b, j.Cancelled)
		b = appendTasks(b, j)
	}
	if len(m.Intents) > 0 {
		b = codec.Uint(b, uint64(len(m.Intents)))
		for _, i := range m.Intents {
			b = (&Entry{Kind: EntryIntent, Info: &MachineInfo{Name: i.Name, Type: i.Type, Zone: i.Zone, Spot: i.Spot}, Count: i.Count}).Append(
				b,
			)
		}
	}
	return b
}

// appendTasks writes runs of equal tasks as one, and placed tasks in full.
func appendTasks(b []byte, j *Job) []byte {
	for i := 0; i < len(j.Tasks); {
		t := &j.Tasks[i]
		n := 1
		for t.Run == nil && i+n < len(j.Tasks) && j.Tasks[i+n].Run == nil && j.Tasks[i+n].State == t.State && j.Tasks[i+n].Attempt == t.Attempt {
			n++
		}
		b = append(b, byte(t.State))
		b = codec.Uint(b, uint64(t.Attempt))
		b = codec.Uint(b, uint64(n))
		if t.Run != nil {
			b = codec.Uint(b, uint64(t.Run.Machine.ID))
			b = codec.Uint(b, t.Run.Session)
		}
		i += n
	}
	return b
}

// Restore fills an empty model from a snapshot taken at a log number.
func (m *Model) Restore(b []byte, seq uint64, now Time) error {
	if len(b) == 0 || b[0] < 1 || b[0] > snapshotVersion {
		return fmt.Errorf("model: snapshot of an unknown version")
	}
	r := &codec.Reader{Data: b[1:]}
	for range r.Max(uint64(len(b))) {
		if err := m.Apply(&Entry{Kind: EntryType, Type: readType(r)}, seq, now); err != nil || r.Err != nil {
			return codec.ErrShort
		}
	}
	next := MachineID(r.Max(1 << 31))
	for range r.Max(uint64(len(b))) {
		e := &Entry{Kind: EntryMachine, Machine: MachineID(r.Max(1 << 31)), At: int64(r.Uint())}
		e.Info = readInfo(r)
		suspect := b[0] >= 2 && r.Bool()
		releasing := b[0] >= 3 && r.Bool()
		if r.Err != nil {
			return r.Err
		}
		m.addMachine(e, now)
		machine := m.Machines[e.Machine]
		machine.Suspect, machine.Releasing, machine.ReleaseSeq = suspect, releasing, seq
		for range r.Max(uint64(len(b))) {
			machine.cache = append(machine.cache, cachedImage{m.Images.ID(r.String()), r.Float(), now})
		}
	}
	m.NextMachine = max(m.NextMachine, next)
	tombstones := r.Max(uint64(len(b)))
	m.maxFleetSize = max(m.maxFleetSize, (tombstones+1)/2) // who wrote this knew of as many
	for range tombstones {
		m.addTombstone(r.String())
	}
	for _, final := range []Final{FinalDone, FinalCancelled} {
		id := JobID(0)
		for range r.Max(uint64(len(b))) {
			id += JobID(r.Uint())
			m.Finals[id] = final
		}
	}
	for range r.Max(uint64(len(b))) {
		at := int64(r.Uint())
		s := readSpec(r)
		cancelled := r.Bool()
		n, ok := wire.JobNumber(s.ID)
		if r.Err != nil || !ok || s.Tasks < 1 {
			return codec.ErrShort
		}
		j := m.newJob(JobID(n), s, at, now)
		j.AcceptSeq = seq
		if err := m.restoreTasks(r, j, seq, now); err != nil {
			return err
		}
		if cancelled {
			j.Cancelled, j.FinalSeq = true, seq
		}
	}
	if b[0] > withoutIntents {
		for range r.Max(uint64(len(b))) {
			e, err := ReadEntry(r)
			if err != nil || e.Kind != EntryIntent {
				return codec.ErrShort
			}
			if err := m.Apply(e, seq, now); err != nil {
				return err
			}
		}
	}
	if !r.Done() {
		return codec.ErrShort
	}
	return nil
}

func (m *Model) restoreTasks(r *codec.Reader, j *Job, seq uint64, now Time) error {
	for i := 0; i < len(j.Tasks); {
		if len(r.Data) == 0 {
			return codec.ErrShort
		}
		state := TaskState(r.Data[0])
		r.Data = r.Data[1:]
		attempt := uint32(r.Max(1 << 31))
		n := r.Max(uint64(len(j.Tasks) - i))
		if r.Err != nil || n == 0 || state > Done {
			return codec.ErrShort
		}
		if state == Placed {
			e := &Entry{
				Kind:    EntryPlace,
				Job:     j.ID,
				Task:    int32(i),
				Attempt: attempt,
				Machine: MachineID(r.Max(1 << 31)),
				Session: r.Uint(),
			}
			if r.Err != nil || n != 1 {
				return codec.ErrShort
			}
			if err := m.placeTask(e, seq, now); err != nil {
				return err
			}
		}
		for k := range n {
			t := &j.Tasks[i+k]
			t.Attempt = attempt
			if state == Done {
				t.State = Done
				m.taskCompleted(j)
			}
		}
		i += n
	}
	return nil
}
