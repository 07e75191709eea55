package model

// Phase is the state of a run as last reported by its machine.
type Phase uint8

// Phases of a run.
const (
	Unseen       Phase = iota // placed, but not yet reported by its machine
	Fetching                  // fetching its image
	AwaitingGang              // has its image and waits for the other gang members
	Running
	Checkpointing // writing a checkpoint
)

// Run is an attempt of a task that is placed and not known to have ended. The fields from Job to PlacedSeq are
// replicated; the others are observed or decided by the current leader.
type Run struct {
	Job        *Job
	Task       int32
	Attempt    uint32
	Machine    *Machine
	AgentEpoch uint64 // only agent epoch in which the run may be started
	PlacedSeq  uint64 // log sequence number of the placement

	Phase          Phase
	PlacedAt       Time
	StartedAt      Time // when the run was first observed running; 0: never
	Stop           bool // the scheduler wants the run to stop
	SkipCheckpoint bool // stop without a checkpoint
	Inherited      bool // placed in an earlier term, from which commands may be in flight

	startResponseSeq uint64 // sequence number of the report whose response carried the start; 0: none in flight
	endMinToken      uint64 // lowest token with which a report proves the end; 0: no report has suggested an end
	lastListedIn     uint64 // observationCount of the machine when a report last listed the run
}

// IsUnsent reports whether no leader can have sent a start of the run: a start is sent only after the placement is
// committed.
func (r *Run) IsUnsent(committed uint64) bool {
	return r.Phase == Unseen && !r.Inherited && r.PlacedSeq > committed
}

// runningFor returns the time since the run was first observed running; 0 if it never was.
func (r *Run) runningFor(now Time) Time {
	if r.StartedAt == 0 {
		return 0
	}
	return now - r.StartedAt
}

// IsWanted reports whether the run should continue: it is neither to be stopped nor part of a cancelled job.
func (r *Run) IsWanted() bool { return !r.Stop && !r.Job.Cancelled }

// runKey identifies an attempt of a task.
type runKey struct {
	job     JobID
	task    int32
	attempt uint32
}

func (r *Run) key() runKey { return runKey{r.Job.ID, r.Task, r.Attempt} }

// setPhase sets the phase, and updates the job's number of running tasks and the machine's pending fetches.
func (r *Run) setPhase(p Phase) {
	wasRunning, isRunning := r.Phase >= Running, p >= Running
	if wasRunning != isRunning {
		if isRunning {
			r.Job.Running++
		} else {
			r.Job.Running--
		}
	}
	if fetched := p > Fetching; fetched != (r.Phase > Fetching) {
		if fetched {
			r.Machine.countFetch(r, -1)
		} else {
			r.Machine.countFetch(r, 1)
		}
	}
	r.Phase = p
}

// addUsage adds (sign 1) or subtracts (sign -1) the run's resources to or from the usage of its machine and team.
func (r *Run) addUsage(sign float64) {
	s, machine := r.Job.Spec, r.Machine
	machine.CPUs += sign * s.CPUs
	machine.GPUs += sign * s.GPUs
	machine.Mem += sign * s.MemoryGB
	if r.Job.Kind == Service && s.GPUs == 0 {
		machine.Reserved.CPUs += sign * s.CPUs
		machine.Reserved.Mem += sign * s.MemoryGB
		machine.Reserved.Tasks += sign
	}
	if len(machine.Runs) == 0 {
		// Without runs the usage is zero. Setting it removes accumulated rounding errors.
		machine.CPUs, machine.GPUs, machine.Mem, machine.Reserved = 0, 0, 0, ReservedResources{}
	}
	if t := r.Job.Team; t != nil {
		t.UsedCPUs += sign * s.CPUs
		t.UsedGPUs += sign * s.GPUs
	}
}
