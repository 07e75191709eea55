package model

// This file attributes task failures to faulty jobs or to faulty machines. A faulty job fails on every machine and a
// faulty machine fails every task, so a first failure is ambiguous. A failed task is therefore retried on another
// machine at once, and the outcome there decides:
//
//   - A job is faulty if none of its tasks ever completed and it failed on two machines. Its failures are not counted
//     against any machine. One task of it at a time is tried, or the whole gang, with a backoff.
//   - A machine is cordoned, that is, it gets no new tasks, if two jobs that are not faulty failed on it and no task
//     has completed on it since the first of these failures. It is quarantined once both jobs completed a task
//     elsewhere, or if they have still not proved faulty after cordonPeriod. Its tasks then move to other machines, and
//     it is released when it is empty. A machine that cannot be vacated leaves quarantine after quarantinePeriod, or
//     once the jobs are cancelled or prove faulty: jobs that may run on one machine only never prove faulty.
//
// Decisions use only the failures and completions reported so far. A completion clears the faulty state of its job and
// the cordon of its machine. A task that clearly outlives the failed tasks of its job also clears the faulty state of
// the job: replicas of a service never complete, and a task of an array may run for long.

const (
	// How long a job is not placed again on a machine where it failed.
	avoidPeriod = Time(60e9)
	// How long a machine stays cordoned before it is quarantined, unless the jobs that failed on it prove faulty.
	cordonPeriod = Time(10e9)
	// How long a machine stays quarantined before tasks are tried on it again.
	quarantinePeriod = Time(60e9)
	// Base of the exponential backoff of a faulty job. The first backoff is twice as long and each further one doubles,
	// up to maxBackoffDoublings doublings.
	faultyBackoff       = Time(2e9)
	maxBackoffDoublings = 5
	// How long a task must have run to prove that its job is not faulty: minProvingRun, and provingRunFactor times as
	// long as the longest run of its failed tasks.
	minProvingRun    = Time(10e9)
	provingRunFactor = 2
	// Number of machines on which a job must fail to be faulty.
	minFaultyMachines = 2
	// Number of non-faulty jobs that must fail on a machine for the machine to be cordoned.
	minFailedJobs = 2
)

// attributeFailure records the failure of a run on a machine. If the job is faulty and not backing off, it starts a
// backoff. It also updates whether the machine is cordoned or quarantined. It reports whether the failure made the job
// faulty.
func attributeFailure(machine *Machine, run *Run, now Time) (becameFaulty bool) {
	j := run.Job
	machine.Health.addFailure(j)
	j.Observed.longestFailure = max(j.Observed.longestFailure, run.runningFor(now))
	if becameFaulty = j.addFailure(machine.ID, now); j.Observed.Faulty && now >= j.Scheduling.NotBefore {
		// The backoff doubles at most once per retry of the job, since tasks that run at the same time also fail
		// together.
		j.Observed.backoffs++
		j.Scheduling.NotBefore = now + faultyBackoff<<min(j.Observed.backoffs, maxBackoffDoublings)
	}
	machine.Health.updateQuarantine(now)
	return becameFaulty
}

// addFailure records a failure of the job on a machine. It reports whether the failure made the job faulty.
func (j *Job) addFailure(machine MachineID, now Time) (becameFaulty bool) {
	observed := &j.Observed
	if observed.FailedOn == nil {
		observed.FailedOn = map[MachineID]Time{}
	}
	observed.FailedOn[machine] = now
	observed.Errors++
	if observed.Faulty || j.Done > 0 || len(observed.FailedOn) < minFaultyMachines {
		return false
	}
	observed.Faulty = true
	return true
}

// clearFailures clears the job's faulty state, and reports whether the job was faulty. It is called when one of its
// tasks completes or outlives the failed ones, which proves that the job is not faulty.
func (j *Job) clearFailures() (wasFaulty bool) {
	if wasFaulty = j.Observed.Faulty; wasFaulty {
		j.Observed.Faulty, j.Observed.backoffs, j.Scheduling.NotBefore = false, 0, 0
	}
	return wasFaulty
}

// outlivesFailures reports whether the run proves that its job is not faulty. Members of a gang prove nothing: they run
// on until they notice that another member has failed.
func (r *Run) outlivesFailures(now Time) bool {
	required := max(minProvingRun, provingRunFactor*r.Job.Observed.longestFailure)
	return r.Job.Kind != Gang && r.runningFor(now) >= required
}

// addFailure records a failure of a job on the machine.
func (h *MachineHealth) addFailure(j *Job) {
	h.Failures++
	if h.FailedJobs == nil {
		h.FailedJobs = map[JobID]*Job{}
	}
	h.FailedJobs[j.ID] = j
}

// onCompletion clears the machine's failures and its cordon, unless it is quarantined already, when a task completes on
// the machine. The completion proves that not every task fails there.
func (h *MachineHealth) onCompletion() {
	if !h.Quarantined {
		h.clearFailures()
	}
}

// clearFailures clears the machine's failures, its cordon and its quarantine.
func (h *MachineHealth) clearFailures() {
	h.Failures, h.FailedJobs, h.CordonedSince, h.Quarantined = 0, nil, 0, false
}

// UpdateQuarantine re-evaluates whether a machine is cordoned or quarantined: tasks of the jobs that failed on it may
// since have completed or failed elsewhere.
func (t *leaderTerm) UpdateQuarantine(machine *Machine, now Time) {
	machine.Health.updateQuarantine(now)
}

func (h *MachineHealth) updateQuarantine(now Time) {
	nonFaultyJobs, completedJobs := 0, 0
	for _, j := range h.FailedJobs {
		if j.Done > 0 {
			completedJobs++
		}
		if !j.Observed.Faulty && (!j.Cancelled || j.Done > 0) {
			nonFaultyJobs++
		}
	}
	if nonFaultyJobs < minFailedJobs {
		h.CordonedSince, h.Quarantined = 0, false
		return
	}
	if h.CordonedSince == 0 {
		h.CordonedSince = max(now, 1)
	}
	cordonedFor := now - h.CordonedSince
	switch {
	case cordonedFor > cordonPeriod+quarantinePeriod:
		h.clearFailures()
	case completedJobs >= minFailedJobs || cordonedFor > cordonPeriod:
		h.Quarantined = true
	}
}
