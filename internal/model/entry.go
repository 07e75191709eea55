package model

import "fieldhill/wire"

// EntryKind tells what an entry of the log records.
type EntryKind uint8

// The kinds of entries. Their numbers are part of the log's format.
const (
	EntryAccept       EntryKind = iota + 1 // a job was accepted
	EntryCancel                            // a job was cancelled
	EntryPlace                             // a task may from now on be started on a machine
	EntryEnded                             // an attempt is evidently gone, its task waits again
	EntryDone                              // a task completed
	EntryMachine                           // a machine is known, or its address
	EntryGone                              // a machine is evidently gone
	EntryType                              // a machine type, as the cloud describes it
	EntrySuspect                           // from now on only the leader may renew the lease of a machine's agent
	EntryTrust                             // a suspect machine has reported to the leader
	EntryLeaseExpired                      // a suspect machine's lease has surely expired, and its tasks are gone
	EntryRelease                           // a machine may from now on be released at any moment
	EntryIntent                            // machines may from now on be provisioned under a name
	EntryIntentDone                        // the result of that is known
)

// Entry is one record of the log. It is an envelope: which fields count depends on the kind, and the constructors
// (NewPlacement and so on) take exactly those.
type Entry struct {
	Kind    EntryKind
	Job     JobID
	Task    int32
	Attempt uint32
	Machine MachineID
	Session uint64 // of a placement: the agent epoch in which the task may be started
	At      int64  // time of day in ms, for the entries that begin something
	Spec    *wire.JobSpec
	Info    *MachineInfo // of an intent: the request's name, and what is asked for
	Count   int          // of an intent: how many machines
	Type    *wire.MachineType
}

// Accepted makes the entry that accepts a job, at a time of day in ms.
func Accepted(spec *wire.JobSpec, at int64) *Entry {
	n, _ := wire.JobNumber(spec.ID)
	return &Entry{Kind: EntryAccept, Job: JobID(n), Spec: spec, At: at}
}

// NewCancellation makes the entry that cancels a job.
func NewCancellation(job JobID) *Entry { return &Entry{Kind: EntryCancel, Job: job} }

// NewPlacement makes the entry after which an attempt of a task may be started on a machine, in an agent epoch.
func NewPlacement(job JobID, task int32, attempt uint32, machine MachineID, session uint64) *Entry {
	return &Entry{Kind: EntryPlace, Job: job, Task: task, Attempt: attempt, Machine: machine, Session: session}
}

// NewAttemptEnd makes the entry that an attempt is evidently gone, so that its task waits again.
func NewAttemptEnd(job JobID, task int32, attempt uint32) *Entry {
	return &Entry{Kind: EntryEnded, Job: job, Task: task, Attempt: attempt}
}

// NewCompletion makes the entry that a task completed, in an attempt.
func NewCompletion(job JobID, task int32, attempt uint32) *Entry {
	return &Entry{Kind: EntryDone, Job: job, Task: task, Attempt: attempt}
}

// NewMachine makes the entry that names a machine, at a time of day in ms, or tells the address of one that is named.
func NewMachine(id MachineID, at int64, info *MachineInfo) *Entry {
	return &Entry{Kind: EntryMachine, Machine: id, At: at, Info: info}
}

// NewMachineGone makes the entry that a machine is evidently gone.
func NewMachineGone(id MachineID) *Entry { return &Entry{Kind: EntryGone, Machine: id} }

// NewMachineType makes the entry that describes a machine type.
func NewMachineType(described *wire.MachineType) *Entry {
	return &Entry{Kind: EntryType, Type: described}
}

// NewSuspicion makes the entry that makes a machine suspect, after which only the leader may renew its lease.
func NewSuspicion(id MachineID) *Entry { return &Entry{Kind: EntrySuspect, Machine: id} }

// NewTrust makes the entry that takes a suspicion back.
func NewTrust(id MachineID) *Entry { return &Entry{Kind: EntryTrust, Machine: id} }

// NewRelease makes the entry after which a machine may be released at any moment.
func NewRelease(id MachineID) *Entry { return &Entry{Kind: EntryRelease, Machine: id} }

// NewIntent makes the entry after which machines may be provisioned under a name. The info has that name, and the
// type, zone and kind that are asked for.
func NewIntent(info *MachineInfo, count int) *Entry {
	return &Entry{Kind: EntryIntent, Info: info, Count: count}
}

// NewIntentDone makes the entry that the result of the request of a name is known.
func NewIntentDone(name string) *Entry {
	return &Entry{Kind: EntryIntentDone, Info: &MachineInfo{Name: name}}
}
