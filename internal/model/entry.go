package model

import "fieldhill/wire"

// EntryKind identifies what a log entry records.
type EntryKind uint8

// The kinds of entries. The numbers are part of the stored format.
const (
	EntryAccept       EntryKind = iota + 1 // job accepted
	EntryCancel                            // job cancelled
	EntryPlace                             // task may be started on a machine from now on
	EntryAttemptEnded                      // attempt known to have ended; its task waits again
	EntryTaskDone                          // task completed
	EntryMachine                           // machine added, or its address updated
	EntryMachineGone                       // machine known to be gone
	EntryType                              // machine type as described by the cloud
	EntrySuspect                           // only the leader may renew the lease of the machine's agent from now on
	EntryTrust                             // suspect machine has reported to the leader
	EntryLeaseExpired                      // lease of a suspect machine expired, ending its runs; read, not written
	EntryRelease                           // machine may be released at any time from now on
	EntryIntent                            // machines may be provisioned under a request name from now on
	EntryIntentDone                        // result of the scale-out request is known
)

// Entry is one log record. Its kind determines which other fields are set; the constructors take exactly the fields of
// their kind.
type Entry struct {
	Kind       EntryKind
	Job        JobID
	Task       int32
	Attempt    uint32
	Machine    MachineID
	AgentEpoch uint64 // EntryPlace: agent epoch in which the task may be started
	WallTimeMS int64  // wall-clock time in ms; EntryAccept and EntryMachine
	Spec       *wire.JobSpec
	Info       *MachineInfo // EntryIntent: request name and requested type, zone and pricing
	Count      int          // EntryIntent: number of machines
	Type       *wire.MachineType
}

// NewAcceptance returns the entry that accepts a job. wallTimeMS is the wall-clock time of the acceptance.
func NewAcceptance(spec *wire.JobSpec, wallTimeMS int64) *Entry {
	n, _ := wire.ParseJobID(spec.ID)
	return &Entry{Kind: EntryAccept, Job: JobID(n), Spec: spec, WallTimeMS: wallTimeMS}
}

// NewCancellation returns the entry that cancels a job.
func NewCancellation(job JobID) *Entry { return &Entry{Kind: EntryCancel, Job: job} }

// NewPlacement returns the entry that allows an attempt of a task to be started on a machine. epoch is the only epoch
// of the machine's agent in which the attempt may be started.
func NewPlacement(job JobID, task int32, attempt uint32, machine MachineID, epoch uint64) *Entry {
	return &Entry{Kind: EntryPlace, Job: job, Task: task, Attempt: attempt, Machine: machine, AgentEpoch: epoch}
}

// NewAttemptEnd returns the entry that records the end of an attempt without completion; its task waits again.
func NewAttemptEnd(job JobID, task int32, attempt uint32) *Entry {
	return &Entry{Kind: EntryAttemptEnded, Job: job, Task: task, Attempt: attempt}
}

// NewCompletion returns the entry that records that an attempt completed its task.
func NewCompletion(job JobID, task int32, attempt uint32) *Entry {
	return &Entry{Kind: EntryTaskDone, Job: job, Task: task, Attempt: attempt}
}

// NewMachine returns the entry that adds a machine, or updates its address. wallTimeMS is the current wall-clock time.
func NewMachine(id MachineID, wallTimeMS int64, info *MachineInfo) *Entry {
	return &Entry{Kind: EntryMachine, Machine: id, WallTimeMS: wallTimeMS, Info: info}
}

// NewMachineGone returns the entry that removes a machine that is known to be gone.
func NewMachineGone(id MachineID) *Entry { return &Entry{Kind: EntryMachineGone, Machine: id} }

// NewMachineType returns the entry that adds a machine type as described by the cloud, or replaces its description.
func NewMachineType(machineType *wire.MachineType) *Entry {
	return &Entry{Kind: EntryType, Type: machineType}
}

// NewSuspicion returns the entry that marks a machine as suspect, after which only the leader may renew its lease.
func NewSuspicion(id MachineID) *Entry { return &Entry{Kind: EntrySuspect, Machine: id} }

// NewSuspicionCleared returns the entry that clears the suspicion of a machine, after which any replica may renew its
// lease.
func NewSuspicionCleared(id MachineID) *Entry { return &Entry{Kind: EntryTrust, Machine: id} }

// NewRelease returns the entry after which a machine may be released at any time.
func NewRelease(id MachineID) *Entry { return &Entry{Kind: EntryRelease, Machine: id} }

// NewIntent returns the entry after which machines may be provisioned under the request name in info, with its type,
// zone and pricing.
func NewIntent(info *MachineInfo, count int) *Entry {
	return &Entry{Kind: EntryIntent, Info: info, Count: count}
}

// NewIntentDone returns the entry that removes the intent of a scale-out request whose result is known.
func NewIntentDone(name string) *Entry {
	return &Entry{Kind: EntryIntentDone, Info: &MachineInfo{Name: name}}
}
