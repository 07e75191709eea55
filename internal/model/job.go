package model

import (
	"strings"

	"fieldhill/internal/scheduling/pending"
	"fieldhill/wire"
)

// JobID is the numeric part of a job's ID.
type JobID uint64

// Kind is the shape of a job, which determines how its tasks are placed.
type Kind uint8

// Kinds of jobs.
const (
	Array   Kind = iota // independent tasks
	Gang                // tasks that run at the same time or not at all
	Service             // long-running replicas
)

// Priority is the scheduling priority of a job; higher values are more urgent.
type Priority uint8

// Job priorities, in ascending order.
const (
	Low Priority = iota
	Normal
	High
	Production
)

// Final is the state in which a job ended. jobTable keeps it in place of the Job once the job is no longer live.
type Final uint8

// Final states of a job.
const (
	FinalDone Final = iota + 1
	FinalCancelled
)

// TaskState is the replicated state of a task.
type TaskState uint8

// States of a task.
const (
	Waiting TaskState = iota // has no run; needs a run unless its job is cancelled
	Placed                   // has a run
	Done                     // completed
)

// Task is the replicated state of one task of a job.
type Task struct {
	State   TaskState
	Attempt uint32 // number of the latest attempt; 0: none yet
	Run     *Run   // the current attempt; nil if none is placed or it is known to have ended
}

// Job is an accepted job that is unfinished or still has runs. Its own fields are replicated, except Running. Scheduler
// state and observations, which are not replicated, are in Scheduling and Observed.
type Job struct {
	ID           JobID
	Spec         *wire.JobSpec // as submitted; immutable and shared by clones
	Kind         Kind
	Priority     Priority
	Team         *Team   // nil: not in the configuration
	Class        int32   // index in Model.Classes
	Image        int32   // index in Model.Images
	Zone         int32   // index in Model.Zones; -1: any
	Types        []int32 // indexes in Model.Types; nil: any
	TypesKey     string  // equal for jobs that allow the same machine types
	Tasks        []Task
	Done         int // completed tasks
	PlacedTasks  int // placed tasks, that is, with a Run
	Running      int // runs observed as running or checkpointing
	Cancelled    bool
	Order        uint64 // position in the order of acceptance
	AcceptedAtMS int64  // wall-clock time of acceptance, ms
	AcceptSeq    uint64 // log sequence number of the acceptance
	FinalSeq     uint64 // log sequence number of the entry that decided the final state; 0: undecided

	retryTasks []int32 // stack of tasks that wait again after an attempt
	nextTask   int32   // all tasks with a lower index have been placed or completed
	finished   bool    // has a final state; removed from jobsInOrder by the next JobsInOrder call
	started    bool    // a task has been placed or completed

	Scheduling JobScheduling
	Observed   JobObservation
}

// JobScheduling is the scheduler's state of a job between rounds. It is not in the log; a new leader starts from the
// zero value.
type JobScheduling struct {
	WaitedRounds  int            // rounds spent waiting for a busy machine that has the image
	PendingReason pending.Reason // why the next task was not placed in the last round that considered it
	reasonHistory [maxReasonHistory]ReasonSince
	// No task of the job is placed before this time, because an attempt failed for a reason that is likely to persist
	// for a while.
	NotBefore Time
	// When the scheduler last began to free capacity for the job on machines that have its image; 0: never.
	LocalWaitSince Time
	// The job and its team's earlier unfinished jobs together fit into the team's guarantee.
	WithinGuarantee bool
	Guaranteed      bool // scheduled as a job within the guarantee
	Deferrable      bool // even if guaranteed, the job may wait for under-served classes and teams
	UnderServed     bool // its class or team gets less than its minimum share
	Rank            int  // jobs with a higher rank are placed first
}

// JobObservation is what this process has observed of a job, as a replica or as the leader. It is not in the log.
type JobObservation struct {
	// Earliest time at which the job can have been cancelled; 0: before this replica began to follow the log.
	CancelledSince Time
	Errors         int                // failed attempts
	FailedOn       map[MachineID]Time // time of the last failure by machine
	Faulty         bool               // failed on several machines, and no task completed or outlived the failures
	backoffs       int                // number of backoffs since it became faulty
	longestFailure Time               // longest time for which a task that failed was observed running
	logDurations   average            // mean logarithm of the durations of completed tasks in seconds
	KnownSince     Time               // when this replica learned of the job
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

// typesKeyOf returns a key that is equal for jobs that allow the same machine types. It is "" for jobs that allow all
// types.
func typesKeyOf(s *wire.JobSpec) string {
	if s.Types == nil {
		return ""
	}
	return "=" + strings.Join(s.Types, "=")
}

// Waiting returns the number of tasks that need a placement.
func (j *Job) Waiting() int {
	if j.Cancelled {
		return 0
	}
	return len(j.Tasks) - j.Done - j.PlacedTasks
}

// Placeable returns the number of tasks that may be placed now. Of a faulty job this is one task, and only while no
// other is placed; gangs are tried as a whole.
func (j *Job) Placeable() int {
	switch {
	case !j.Observed.Faulty || j.Kind == Gang:
		return j.Waiting()
	case j.PlacedTasks > 0:
		return 0
	}
	return min(1, j.Waiting())
}

// NextWaiting returns a task that needs a placement, or -1 if there is none. Tasks of which an earlier attempt has
// ended come first.
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

// ZoneCount returns the numbers of the job's tasks that are placed in the given zone and in all other zones.
func (j *Job) ZoneCount(zone int32) (inZone, elsewhere int) {
	if j.PlacedTasks == 0 {
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

// AllowsMachine reports whether the job's constraints admit a machine of the given type, zone and pricing.
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

// ZoneAllows reports whether the same-zone and spread constraints admit one more task in a zone. Runs of old attempts
// count until they are known to have ended.
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

// TeamLimitAllows reports whether n more tasks of the job stay within its team's limits. It is false if the team is not
// configured.
func (j *Job) TeamLimitAllows(n int) bool {
	t := j.Team
	if t == nil {
		return false
	}
	return (t.CPUsMax == 0 || t.UsedCPUs+j.Spec.CPUs*float64(n) <= t.CPUsMax+epsilon) &&
		(t.GPUsMax == 0 || t.UsedGPUs+j.Spec.GPUs*float64(n) <= t.GPUsMax+epsilon)
}

// AvoidsMachine reports whether the job failed on the machine within avoidPeriod.
func (j *Job) AvoidsMachine(machine *Machine, now Time) bool {
	at, failed := j.Observed.FailedOn[machine.ID]
	return failed && now-at < avoidPeriod
}
