package model

import (
	"fmt"

	"fieldhill/internal/codec"
	"fieldhill/wire"
)

// EntryKind tells what an entry of the log records.
type EntryKind uint8

// The kinds of entries. Their numbers are part of the log's format.
const (
	EntryAccept       EntryKind = iota + 1 // a job was accepted
	EntryCancel                            // a job was cancelled
	EntryPlace                             // a task may from now on be started on a machine
	EntryEnded                             // an attempt is evidently gone, its task waits again
	EntryDone                              // a task completed
	EntryMachine                           // a machine is known
	EntryGone                              // a machine is evidently gone
	EntryType                              // a machine type, as the cloud describes it
	EntrySuspect                           // from now on only the leader may renew a machine's lease
	EntryTrust                             // a suspect machine has reported to the leader
	EntryLeaseExpired                      // a suspect machine's lease has surely run out, and its tasks are gone
	EntryRelease                           // a machine may from now on be returned at any moment
	EntryIntent                            // machines may from now on be rented under a name
	EntryIntentDone                        // what became of that is known
)

// Entry is one record of the log.
type Entry struct {
	Kind    EntryKind
	Job     JobID
	Task    int32
	Attempt uint32
	Machine MachineID
	Session uint64
	At      int64 // time of day in ms, for the entries that begin something
	Spec    *wire.JobSpec
	Info    *MachineInfo // of an intent: the request's name, and what is asked for
	Count   int          // of an intent: how many machines
	Type    *wire.MachineType
}

// MachineInfo is what identifies a machine.
type MachineInfo struct {
	Name, Addr, Type, Zone string
	Spot                   bool
}

// Append encodes an entry.
func (e *Entry) Append(b []byte) []byte {
	b = append(b, byte(e.Kind))
	switch e.Kind {
	case EntryAccept:
		b = codec.Uint(b, uint64(e.At))
		b = appendSpec(b, e.Spec)
	case EntryCancel:
		b = codec.Uint(b, uint64(e.Job))
	case EntryPlace:
		b = codec.Uint(b, uint64(e.Job))
		b = codec.Uint(b, uint64(e.Task))
		b = codec.Uint(b, uint64(e.Attempt))
		b = codec.Uint(b, uint64(e.Machine))
		b = codec.Uint(b, e.Session)
	case EntryEnded, EntryDone:
		b = codec.Uint(b, uint64(e.Job))
		b = codec.Uint(b, uint64(e.Task))
		b = codec.Uint(b, uint64(e.Attempt))
	case EntryMachine:
		b = codec.Uint(b, uint64(e.Machine))
		b = codec.Uint(b, uint64(e.At))
		b = appendInfo(b, e.Info)
	case EntryGone, EntrySuspect, EntryTrust, EntryLeaseExpired, EntryRelease:
		b = codec.Uint(b, uint64(e.Machine))
	case EntryIntent:
		b = appendInfo(b, e.Info)
		b = codec.Uint(b, uint64(e.Count))
	case EntryIntentDone:
		b = codec.String(b, e.Info.Name)
	case EntryType:
		b = appendType(b, e.Type)
	}
	return b
}

// ReadEntry decodes one entry.
func ReadEntry(r *codec.Reader) (*Entry, error) {
	if r.Err != nil || len(r.Data) == 0 {
		return nil, codec.ErrShort
	}
	e := &Entry{Kind: EntryKind(r.Data[0])}
	r.Data = r.Data[1:]
	switch e.Kind {
	case EntryAccept:
		e.At = int64(r.Uint())
		e.Spec = readSpec(r)
		if r.Err == nil {
			n, ok := wire.JobNumber(e.Spec.ID)
			if !ok {
				return nil, fmt.Errorf("model: %q is no job id", e.Spec.ID)
			}
			e.Job = JobID(n)
		}
	case EntryCancel:
		e.Job = JobID(r.Uint())
	case EntryPlace:
		e.Job = JobID(r.Uint())
		e.Task = int32(r.Max(wire.MaxTasks))
		e.Attempt = uint32(r.Max(1 << 31))
		e.Machine = MachineID(r.Max(1 << 31))
		e.Session = r.Uint()
	case EntryEnded, EntryDone:
		e.Job = JobID(r.Uint())
		e.Task = int32(r.Max(wire.MaxTasks))
		e.Attempt = uint32(r.Max(1 << 31))
	case EntryMachine:
		e.Machine = MachineID(r.Max(1 << 31))
		e.At = int64(r.Uint())
		e.Info = readInfo(r)
	case EntryGone, EntrySuspect, EntryTrust, EntryLeaseExpired, EntryRelease:
		e.Machine = MachineID(r.Max(1 << 31))
	case EntryIntent:
		e.Info = readInfo(r)
		e.Count = r.Max(wire.MaxScaleOut)
	case EntryIntentDone:
		e.Info = &MachineInfo{Name: r.String()}
	case EntryType:
		e.Type = readType(r)
	default:
		return nil, fmt.Errorf("model: unknown entry kind %d", e.Kind)
	}
	return e, r.Err
}

// Accepted makes the entry that accepts a job.
func Accepted(spec *wire.JobSpec, at int64) *Entry {
	n, _ := wire.JobNumber(spec.ID)
	return &Entry{Kind: EntryAccept, Job: JobID(n), Spec: spec, At: at}
}

func appendInfo(b []byte, i *MachineInfo) []byte {
	b = codec.String(b, i.Name)
	b = codec.String(b, i.Addr)
	b = codec.String(b, i.Type)
	b = codec.String(b, i.Zone)
	return codec.Bool(b, i.Spot)
}

func readInfo(r *codec.Reader) *MachineInfo {
	return &MachineInfo{Name: r.String(), Addr: r.String(), Type: r.String(), Zone: r.String(), Spot: r.Bool()}
}

func appendType(b []byte, t *wire.MachineType) []byte {
	b = codec.String(b, t.Name)
	for _, f := range []float64{t.CPUs, t.GPUs, t.MemoryGB, t.CacheGB, t.FetchGBPerS, t.Price, t.SpotPrice, t.BootS} {
		b = codec.Float(b, f)
	}
	return appendStrings(b, t.Zones)
}

func readType(r *codec.Reader) *wire.MachineType {
	t := &wire.MachineType{Name: r.String()}
	for _, f := range []*float64{&t.CPUs, &t.GPUs, &t.MemoryGB, &t.CacheGB, &t.FetchGBPerS, &t.Price, &t.SpotPrice, &t.BootS} {
		*f = r.Float()
	}
	t.Zones = readStrings(r)
	return t
}

func appendStrings(b []byte, s []string) []byte {
	b = codec.Uint(b, uint64(len(s)))
	for _, v := range s {
		b = codec.String(b, v)
	}
	return b
}

func readStrings(r *codec.Reader) []string {
	n := r.Max(uint64(len(r.Data)))
	s := make([]string, 0, n)
	for range n {
		s = append(s, r.String())
	}
	return s
}

func appendSpec(b []byte, s *wire.JobSpec) []byte {
	for _, v := range []string{s.ID, s.Class, s.Team, s.Shape, s.Priority, s.Image} {
		b = codec.String(b, v)
	}
	b = codec.Uint(b, uint64(s.Tasks))
	for _, f := range []float64{s.CPUs, s.GPUs, s.MemoryGB, s.ImageGB, s.EstimateS, s.CheckpointIntervalS, s.CheckpointWriteS} {
		b = codec.Float(b, f)
	}
	b = codec.Bool(b, s.SameZone)
	b = codec.Bool(b, s.Spread)
	b = codec.Bool(b, s.Spot)
	b = codec.Bool(b, s.Types != nil)
	if s.Types != nil {
		b = appendStrings(b, s.Types)
	}
	b = codec.Bool(b, s.Zone != nil)
	if s.Zone != nil {
		b = codec.String(b, *s.Zone)
	}
	b = codec.Bool(b, s.DeadlineS != nil)
	if s.DeadlineS != nil {
		b = codec.Float(b, *s.DeadlineS)
	}
	return b
}

func readSpec(r *codec.Reader) *wire.JobSpec {
	s := &wire.JobSpec{}
	for _, v := range []*string{&s.ID, &s.Class, &s.Team, &s.Shape, &s.Priority, &s.Image} {
		*v = r.String()
	}
	s.Tasks = r.Max(wire.MaxTasks)
	for _, f := range []*float64{&s.CPUs, &s.GPUs, &s.MemoryGB, &s.ImageGB, &s.EstimateS, &s.CheckpointIntervalS, &s.CheckpointWriteS} {
		*f = r.Float()
	}
	s.SameZone = r.Bool()
	s.Spread = r.Bool()
	s.Spot = r.Bool()
	if r.Bool() {
		s.Types = readStrings(r)
	}
	if r.Bool() {
		z := r.String()
		s.Zone = &z
	}
	if r.Bool() {
		d := r.Float()
		s.DeadlineS = &d
	}
	return s
}
