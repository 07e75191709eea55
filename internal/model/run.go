package model

// Phase is what the machine last reported of a run.
type Phase uint8

// The phases.
const (
	Unseen       Phase = iota // placed; its machine has not reported it yet
	Fetching                  // its image is being fetched
	AwaitingGang              // has its image and waits for the gang's other members
	Running
	Saving // writes a checkpoint
)

// Run is an attempt of a task that is placed and not evidently gone. What the log has of it is Job to PlacedSeq; the
// rest is observed or decided by this leader.
type Run struct {
	Job       *Job
	Task      int32
	Attempt   uint32
	Machine   *Machine
	Session   uint64 // the agent epoch in which it may be started
	PlacedSeq uint64 // the log's number of its placement

	Phase     Phase
	PlacedAt  Time
	StartedAt Time // when it was first observed running; 0: never
	Stop      bool // it is to be stopped
	Hard      bool // without a checkpoint
	Inherited bool // placed by an earlier leader, whose commands may be under way

	answeredReportSeq uint64 // the report whose answer carried its start; 0: none is under way
	goneFromToken     uint64 // a report that it is gone counts from this token on; 0: none said so
	seenObservation   uint64 // the last observation of its machine that listed it
}

// IsUnsent tells whether no start of the run can have been sent by anybody: starts
// go out once the placement is committed.
func (r *Run) IsUnsent(committed uint64) bool {
	return r.Phase == Unseen && !r.Inherited && r.PlacedSeq > committed
}

// IsWanted tells whether the run should go on.
func (r *Run) IsWanted() bool { return !r.Stop && !r.Job.Cancelled }

// runKey names an attempt.
type runKey struct {
	job     JobID
	task    int32
	attempt uint32
}

func (r *Run) key() runKey { return runKey{r.Job.ID, r.Task, r.Attempt} }

// setPhase notes a phase, and counts the run in or out of those that are running and of those that wait for an image.
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

// charge adds what a run uses to its machine and its team, or with sign -1 takes it off.
func (r *Run) charge(sign float64) {
	s, machine := r.Job.Spec, r.Machine
	machine.CPUs += sign * s.CPUs
	machine.GPUs += sign * s.GPUs
	machine.Mem += sign * s.MemoryGB
	if r.Job.Kind == Service && s.GPUs == 0 {
		machine.Reserved.CPUs += sign * s.CPUs
		machine.Reserved.Mem += sign * s.MemoryGB
	}
	if len(machine.Runs) == 0 {
		// no drift from rounding
		machine.CPUs, machine.GPUs, machine.Mem, machine.Reserved = 0, 0, 0, ReservedResources{}
	}
	if t := r.Job.Team; t != nil {
		t.UsedCPUs += sign * s.CPUs
		t.UsedGPUs += sign * s.GPUs
	}
}
