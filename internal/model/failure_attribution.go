package model

// This file tells faulty jobs from faulty machines. A job that was submitted with a
// mistake fails on every machine, a faulty machine fails whatever it is given, and
// the first failure looks the same. So a job is retried elsewhere at once, and what
// happens there decides:
//
//   - a job none of whose tasks ever completed, and that failed on two machines, is
//     faulty: its failures are held against no machine;
//   - a machine on which two jobs failed that are not faulty, with nothing completed
//     in between, is in doubt: it gets nothing new. It is quarantined for good once
//     both jobs completed something elsewhere, or when a while has passed and they
//     are still not faulty.
//
// Both are judged by what is known at the time, so a wrong judgement is taken back by
// the first completion.

const (
	// avoidPeriod is how long a job stays off a machine where it failed.
	avoidPeriod = Time(60e9)
	// doubtPeriod is how long jobs that failed on a machine have to fail elsewhere.
	doubtPeriod = Time(10e9)
	// faultyPause is how long a faulty job is paused, the first time twice as long and so on, up to maxPauseDoublings.
	faultyPause       = Time(2e9)
	maxPauseDoublings = 5
	// minFaultyMachines is on how many machines a job fails that is faulty.
	minFaultyMachines = 2
	// minAccusers is how many jobs that are not faulty fail on a machine that is in doubt.
	minAccusers = 2
)

// attributeFailure counts a failure against machine and job. It tells whether it shows the job
// to be faulty.
func attributeFailure(machine *Machine, j *Job, now Time) (becameFaulty bool) {
	machine.Health.addFailure(j)
	if becameFaulty = j.addFailure(machine.ID, now); j.Observed.Faulty && now >= j.Scheduling.NotBefore {
		// One failure a pause counts: tasks that were under way fail together.
		j.Observed.pauses++
		j.Scheduling.NotBefore = now + faultyPause<<min(j.Observed.pauses, maxPauseDoublings)
	}
	machine.Health.updateQuarantine(now)
	return becameFaulty
}

// addFailure counts a failure of a job on a machine. It tells whether it shows the job to be faulty.
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

// clearFailures notes that a task of a job completed: it does not fail everywhere.
func (j *Job) clearFailures() {
	if j.Observed.Faulty {
		j.Observed.Faulty, j.Observed.pauses, j.Scheduling.NotBefore = false, 0, 0
	}
}

// addFailure counts a failure of a job on the machine.
func (h *MachineHealth) addFailure(j *Job) {
	h.Failures++
	if h.FailedJobs == nil {
		h.FailedJobs = map[JobID]*Job{}
	}
	h.FailedJobs[j.ID] = j
}

// clearFailures notes that a task completed on the machine: it does not fail everything.
func (h *MachineHealth) clearFailures() {
	h.Failures, h.FailedJobs, h.DoubtSince = 0, nil, 0
}

// UpdateQuarantine judges a machine by the jobs that failed on it, which may since have completed or failed elsewhere.
func (t *leaderTerm) UpdateQuarantine(machine *Machine, now Time) {
	machine.Health.updateQuarantine(now)
}

func (h *MachineHealth) updateQuarantine(now Time) {
	accusers, provenJobs := 0, 0
	for _, j := range h.FailedJobs {
		if j.Done > 0 {
			provenJobs++
		}
		if !j.Observed.Faulty && (!j.Cancelled || j.Done > 0) {
			accusers++
		}
	}
	switch {
	case h.Quarantined:
	case accusers < minAccusers:
		h.DoubtSince = 0
	case provenJobs >= minAccusers || h.DoubtSince != 0 && now-h.DoubtSince > doubtPeriod:
		h.Quarantined = true
	case h.DoubtSince == 0:
		h.DoubtSince = max(now, 1)
	}
}
