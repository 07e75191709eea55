package model

import (
	"strings"

	"fieldhill/internal/scheduling/pending"
	"fieldhill/wire"
)

// JobID is a job's number.
type JobID uint64

// Kind is a job's shape.
type Kind uint8

// The shapes.
const (
	Array   Kind = iota // independent tasks
	Gang                // tasks that run together or not at all
	Service             // replicas without an end
)

// Priority orders jobs; higher is more urgent.
type Priority uint8

// The priorities.
const (
	Low Priority = iota
	Normal
	High
	Production
)

// Final is how a job ended.
type Final uint8

// The final states.
const (
	FinalDone Final = iota + 1
	FinalCancelled
)

// TaskState is the replicated state of a task.
type TaskState uint8

// The states of a task.
const (
	Waiting TaskState = iota // has no run, and wants one unless its job is over
	Placed                   // has a run
	Done                     // completed
)

// Task is one task of a job.
type Task struct {
	State   TaskState
	Attempt uint32 // the latest attempt; 0: none yet
	Run     *Run   // the attempt that is not evidently gone; nil: none
}

// Job is an accepted job that is not over, or has tasks that are not gone. Its own fields are replicated, but for
// Running; what was observed of it and what the scheduler holds of it are apart.
type Job struct {
	ID        JobID
	Spec      *wire.JobSpec // as submitted; never changed, and shared by clones
	Kind      Kind
	Priority  Priority
	Team      *Team   // nil: the settings don't name it
	Class     int32   // in Model.Classes
	Image     int32   // in Model.Images
	Zone      int32   // in Model.Zones; -1: any
	Types     []int32 // in Model.Types; nil: any
	TypesKey  string  // equal for jobs that allow the same types
	Tasks     []Task
	Done      int // tasks that completed
	Live      int // tasks with a Run
	Running   int // runs observed running or checkpointing
	Cancelled bool
	Order     uint64 // order of acceptance
	At        int64  // time of day of acceptance, ms
	AcceptSeq uint64 // the log's number of its acceptance
	FinalSeq  uint64 // the log's number of the entry that decided its end; 0: undecided

	retryTasks []int32 // tasks that wait again after an attempt, the next one last
	nextTask   int32   // all before it were placed or are done
	settled    bool    // it has its final state, and leaves jobsInOrder at the next look
	started    bool    // a task of it was placed

	Scheduling JobScheduling
	Observed   JobObservation
}

// JobScheduling is what the leader's scheduler holds of a job between rounds. It is not in the log: a new leader
// begins with the zero value.
type JobScheduling struct {
	WaitedRounds  int            // rounds spent waiting for a busy machine with the image
	PendingReason pending.Reason // why its next task was not placed when last considered
	reasonHistory [maxReasonHistory]ReasonSince
	// NotBefore is until when it is not placed, after attempts that failed for a reason that takes time to pass.
	NotBefore Time
	// LocalRoomSince is since when room is being made on machines that have its image; 0: it is not.
	LocalRoomSince Time
	// WithinGuarantee says that it fits into its team's guarantee together with the team's earlier unfinished jobs.
	WithinGuarantee bool
	Guaranteed      bool // it is placed as one within the guarantee
	Deferrable      bool // its part of the guarantee may wait for classes and teams that are under-served
	UnderServed     bool // its class or team gets less than its minimum share
	Rank            int  // jobs of a higher rank are placed first
}

// JobObservation is what this replica, or this leader, has observed of a job. It is not in the log.
type JobObservation struct {
	// CancelledFrom is from when its cancellation counts at the earliest; 0: for longer than this replica has followed.
	CancelledFrom Time
	Errors        int                // attempts that failed
	FailedOn      map[MachineID]Time // machines where a task of it failed, and when last
	Faulty        bool               // it fails on every machine, as far as was observed
	pauses        int                // how often it was paused for that
	taskTimes     average            // of its completed tasks' durations, in logarithms of seconds
	KnownSince    Time               // when this replica learnt of it
}

func kindOf(s string) Kind {
	switch s {
	case wire.Gang:
		return Gang
	case wire.Service:
		return Service
	}
	return Array
}

func priorityOf(s string) Priority {
	switch s {
	case wire.Production:
		return Production
	case wire.High:
		return High
	case wire.Normal:
		return Normal
	}
	return Low
}

// typesKeyOf makes a key that is equal for jobs that allow the same types. "" is that of jobs that allow any.
func typesKeyOf(s *wire.JobSpec) string {
	if s.Types == nil {
		return ""
	}
	return "=" + strings.Join(s.Types, "=")
}

// Waiting counts the tasks that want a place.
func (j *Job) Waiting() int {
	if j.Cancelled {
		return 0
	}
	return len(j.Tasks) - j.Done - j.Live
}

// NextWaiting finds a task that wants a place, or -1. Tasks that were placed before come first.
func (j *Job) NextWaiting() int32 {
	if j.Waiting() == 0 {
		return -1
	}
	for n := len(j.retryTasks); n > 0; n-- {
		t := j.retryTasks[n-1]
		if j.Tasks[t].State == Waiting {
			return t
		}
		j.retryTasks = j.retryTasks[:n-1]
	}
	for ; int(j.nextTask) < len(j.Tasks); j.nextTask++ {
		if j.Tasks[j.nextTask].State == Waiting {
			return j.nextTask
		}
	}
	return -1
}

// ZoneCount counts the tasks that are placed in a zone, and in any other.
func (j *Job) ZoneCount(zone int32) (inZone, elsewhere int) {
	if j.Live == 0 {
		return 0, 0
	}
	for i := range j.Tasks {
		if r := j.Tasks[i].Run; r != nil {
			if r.Machine.Zone == zone {
				inZone++
			} else {
				elsewhere++
			}
		}
	}
	return inZone, elsewhere
}

// AllowsMachine tells whether a job may use a machine's type, zone and kind at all.
func (j *Job) AllowsMachine(typ, zone int32, spot bool) bool {
	if spot && !j.Spec.Spot || j.Zone >= 0 && j.Zone != zone {
		return false
	}
	if j.Types == nil {
		return true
	}
	for _, t := range j.Types {
		if t == typ {
			return true
		}
	}
	return false
}

// ZoneAllows tells whether one more task of the job may start in a zone, given
// where the others are. Tasks of old attempts count until they are gone.
func (j *Job) ZoneAllows(zone int32) bool {
	if !j.Spec.SameZone && !j.Spec.Spread {
		return true
	}
	inZone, elsewhere := j.ZoneCount(zone)
	if j.Spec.SameZone && elsewhere > 0 {
		return false
	}
	return !j.Spec.Spread || inZone+1 <= (len(j.Tasks)+1)/2
}

// TeamLimitAllows tells whether n more tasks keep the team's quota.
func (j *Job) TeamLimitAllows(n int) bool {
	t := j.Team
	if t == nil {
		return false
	}
	return (t.CPUsMax == 0 || t.UsedCPUs+j.Spec.CPUs*float64(n) <= t.CPUsMax+epsilon) &&
		(t.GPUsMax == 0 || t.UsedGPUs+j.Spec.GPUs*float64(n) <= t.GPUsMax+epsilon)
}

// Avoids tells whether a job failed on a machine so recently that it goes elsewhere.
func (j *Job) Avoids(machine *Machine, now Time) bool {
	at, failed := j.Observed.FailedOn[machine.ID]
	return failed && now-at < avoidPeriod
}
