package model

import (
	"fmt"

	"fieldhill/internal/codec"
	"fieldhill/wire"
)

// This file implements the stored format of entries and their fields. The format must not change; testdata/golden
// covers every kind of entry.

// maxID is the upper limit of attempt numbers and machine IDs when decoding, far above any count that occurs.
const maxID = 1 << 31

// JobIDError reports a stored job specification whose ID is not a valid job ID.
type JobIDError struct{ ID string }

// Error names the invalid ID.
func (e *JobIDError) Error() string { return fmt.Sprintf("model: decode job: invalid job ID %q", e.ID) }

// Append appends the encoded entry to b and returns the extended slice.
func (e *Entry) Append(b []byte) []byte {
	b = append(b, byte(e.Kind))
	switch e.Kind {
	case EntryAccept:
		b = codec.Uint(b, uint64(e.WallTimeMS))
		b = appendSpec(b, e.Spec)
	case EntryCancel:
		b = codec.Uint(b, uint64(e.Job))
	case EntryPlace:
		b = codec.Uint(b, uint64(e.Job))
		b = codec.Uint(b, uint64(e.Task))
		b = codec.Uint(b, uint64(e.Attempt))
		b = codec.Uint(b, uint64(e.Machine))
		b = codec.Uint(b, e.AgentEpoch)
	case EntryAttemptEnded, EntryTaskDone:
		b = codec.Uint(b, uint64(e.Job))
		b = codec.Uint(b, uint64(e.Task))
		b = codec.Uint(b, uint64(e.Attempt))
	case EntryMachine:
		b = codec.Uint(b, uint64(e.Machine))
		b = codec.Uint(b, uint64(e.WallTimeMS))
		b = appendInfo(b, e.Info)
	case EntryMachineGone, EntrySuspect, EntryTrust, EntryLeaseExpired, EntryRelease:
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

// ReadEntry decodes one entry and advances the reader past it.
func ReadEntry(r *codec.Reader) (*Entry, error) {
	e := &Entry{Kind: EntryKind(r.Byte())}
	if r.Err != nil {
		return nil, r.Err
	}
	switch e.Kind {
	case EntryAccept:
		e.WallTimeMS = int64(r.Uint())
		e.Spec = readSpec(r)
		if r.Err == nil {
			n, ok := wire.ParseJobID(e.Spec.ID)
			if !ok {
				return nil, &JobIDError{e.Spec.ID}
			}
			e.Job = JobID(n)
		}
	case EntryCancel:
		e.Job = JobID(r.Uint())
	case EntryPlace:
		e.Job = JobID(r.Uint())
		e.Task = int32(r.Max(wire.MaxTasks))
		e.Attempt = uint32(r.Max(maxID))
		e.Machine = MachineID(r.Max(maxID))
		e.AgentEpoch = r.Uint()
	case EntryAttemptEnded, EntryTaskDone:
		e.Job = JobID(r.Uint())
		e.Task = int32(r.Max(wire.MaxTasks))
		e.Attempt = uint32(r.Max(maxID))
	case EntryMachine:
		e.Machine = MachineID(r.Max(maxID))
		e.WallTimeMS = int64(r.Uint())
		e.Info = readInfo(r)
	case EntryMachineGone, EntrySuspect, EntryTrust, EntryLeaseExpired, EntryRelease:
		e.Machine = MachineID(r.Max(maxID))
	case EntryIntent:
		e.Info = readInfo(r)
		e.Count = r.Max(wire.MaxScaleOut)
	case EntryIntentDone:
		e.Info = &MachineInfo{Name: r.String()}
	case EntryType:
		e.Type = readType(r)
	default:
		return nil, &UnknownKindError{e.Kind}
	}
	return e, r.Err
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

// typeNumbers returns the numeric fields of a machine type in stored order.
func typeNumbers(t *wire.MachineType) [8]*float64 {
	return [...]*float64{
		&t.CPUs, &t.GPUs, &t.MemoryGB, &t.CacheGB, &t.FetchGBPerS, &t.Price, &t.SpotPrice, &t.BootS,
	}
}

func appendType(b []byte, t *wire.MachineType) []byte {
	b = codec.String(b, t.Name)
	for _, f := range typeNumbers(t) {
		b = codec.Float(b, *f)
	}
	return appendStrings(b, t.Zones)
}

func readType(r *codec.Reader) *wire.MachineType {
	t := &wire.MachineType{Name: r.String()}
	for _, f := range typeNumbers(t) {
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

// specStrings returns the string fields of a job specification, except the optional Zone, in stored order. specNumbers
// returns the numeric fields except Tasks and DeadlineS.
func specStrings(s *wire.JobSpec) [6]*string {
	return [...]*string{&s.ID, &s.Class, &s.Team, &s.Shape, &s.Priority, &s.Image}
}

func specNumbers(s *wire.JobSpec) [7]*float64 {
	return [...]*float64{
		&s.CPUs, &s.GPUs, &s.MemoryGB, &s.ImageGB, &s.EstimateS, &s.CheckpointIntervalS, &s.CheckpointWriteS,
	}
}

func appendSpec(b []byte, s *wire.JobSpec) []byte {
	for _, v := range specStrings(s) {
		b = codec.String(b, *v)
	}
	b = codec.Uint(b, uint64(s.Tasks))
	for _, f := range specNumbers(s) {
		b = codec.Float(b, *f)
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
	for _, v := range specStrings(s) {
		*v = r.String()
	}
	s.Tasks = r.Max(wire.MaxTasks)
	for _, f := range specNumbers(s) {
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
