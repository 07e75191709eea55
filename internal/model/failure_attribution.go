package model

// This file tells faulty jobs from faulty machines. A job that was submitted with a
// mistake fails on every machine, a faulty machine fails whatever it is given, and
// the first failure looks the same. So a job is retried elsewhere at once, and what
// happens there decides:
//
//   - a job none of whose tasks ever completed, and that failed on two machines, is
//     faulty: its failures speak against no machine;
//   - a machine on which two jobs failed that are not faulty, with nothing completed
//     in between, is in doubt: it gets nothing new. It is distrusted for good once
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
)

// attributeFailure counts a failure against machine and job. It tells whether it shows the job
// to be faulty.
func (m *Model) attributeFailure(machine *Machine, j *Job, now Time) (becameFaulty bool) {
	machine.Health.Failures++
	if machine.Health.FailedJobs == nil {
		machine.Health.FailedJobs = map[JobID]*Job{}
	}
	machine.Health.FailedJobs[j.ID] = j
	if j.Observed.FailedOn == nil {
		j.Observed.FailedOn = map[MachineID]Time{}
	}
	j.Observed.FailedOn[machine.ID] = now
	j.Observed.Errors++
	if !j.Observed.Faulty && j.Done == 0 && len(j.Observed.FailedOn) >= 2 {
		j.Observed.Faulty, becameFaulty = true, true
	}
	if j.Observed.Faulty && now >= j.Scheduling.NotBefore {
		// One failure a pause counts: tasks that were under way fail together.
		j.Observed.pauses++
		j.Scheduling.NotBefore = now + Time(2e9)<<min(j.Observed.pauses, 5)
	}
	m.UpdateQuarantine(machine, now)
	return becameFaulty
}

// clearFailures notes that a task of a job completed on a machine: neither fails everything.
func (machine *Machine) clearFailures(j *Job) {
	machine.Health.Failures, machine.Health.FailedJobs, machine.Health.DoubtSince = 0, nil, 0
	if j.Observed.Faulty {
		j.Observed.Faulty, j.Observed.pauses, j.Scheduling.NotBefore = false, 0, 0
	}
}

// Avoids tells whether a job failed on a machine so lately that it goes elsewhere.
func (j *Job) Avoids(machine *Machine, now Time) bool {
	at, failed := j.Observed.FailedOn[machine.ID]
	return failed && now-at < avoidPeriod
}

// UpdateQuarantine judges a machine by the jobs that failed on it.
func (m *Model) UpdateQuarantine(machine *Machine, now Time) {
	accusers, provenJobs := 0, 0
	for _, j := range machine.Health.FailedJobs {
		if j.Done > 0 {
			provenJobs++
		}
		if !j.Observed.Faulty && (!j.Cancelled || j.Done > 0) {
			accusers++
		}
	}
	switch {
	case machine.Health.Quarantined:
	case accusers < 2:
		machine.Health.DoubtSince = 0
	case provenJobs >= 2 || machine.Health.DoubtSince != 0 && now-machine.Health.DoubtSince > doubtPeriod:
		machine.Health.Quarantined = true
	case machine.Health.DoubtSince == 0:
		machine.Health.DoubtSince = max(now, 1)
	}
}

// IsLeaving tells whether what is on a machine is to move to others.
func (machine *Machine) IsLeaving() bool {
	return machine.Lifecycle.Draining || machine.Health.Quarantined || machine.Lifecycle.PreemptionAt != 0
}
