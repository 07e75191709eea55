package model

import "slices"

// jobTable is the replicated table of jobs: those that are live in full, and of the others how they ended, which costs
// a few bytes each and is kept for good.
type jobTable struct {
	// Jobs are the live ones: not over, or with tasks that are not gone.
	Jobs map[JobID]*Job
	// Finals are the final states of all others.
	Finals map[JobID]Final
	// LiveTasks counts the tasks of the live jobs that are not completed.
	LiveTasks int

	jobsInOrder  []*Job           // the live ones in the order of acceptance, and settled ones until the next look
	settledCount int              // how many of jobsInOrder are settled
	jobOrder     uint64           // the Order of the next job
	finalSeqs    map[JobID]uint64 // the log's numbers of final states that are not committed yet
}

func newJobTable() jobTable {
	return jobTable{Jobs: map[JobID]*Job{}, Finals: map[JobID]Final{}, finalSeqs: map[JobID]uint64{}}
}

// insertJob takes in a job that was just accepted.
func (t *jobTable) insertJob(j *Job) {
	j.Order = t.jobOrder
	t.jobOrder++
	t.Jobs[j.ID] = j
	t.jobsInOrder = append(t.jobsInOrder, j)
	t.countTasks(j, len(j.Tasks))
}

// countTasks counts a job's tasks that are not completed in or out.
func (t *jobTable) countTasks(j *Job, delta int) {
	t.LiveTasks += delta
	if j.Team != nil {
		j.Team.LiveTasks += delta
	}
}

// finishJob replaces a job by its final state.
func (t *jobTable) finishJob(j *Job, final Final) {
	t.Finals[j.ID] = final
	t.finalSeqs[j.ID] = j.FinalSeq
	delete(t.Jobs, j.ID)
	j.settled = true
	t.settledCount++
}

// findRun finds the run of an attempt, nil if that attempt is evidently gone or was never placed.
func (t *jobTable) findRun(job JobID, task int32, attempt uint32) *Run {
	j := t.Jobs[job]
	if j == nil || task < 0 || int(task) >= len(j.Tasks) {
		return nil
	}
	if r := j.Tasks[task].Run; r != nil && r.Attempt == attempt {
		return r
	}
	return nil
}

// JobsInOrder lists the live jobs in the order of acceptance. The list is the
// model's own, kept in order as jobs come and go: it may be read until the next
// call.
func (t *jobTable) JobsInOrder() []*Job {
	if t.settledCount > 0 {
		t.jobsInOrder = slices.DeleteFunc(t.jobsInOrder, func(j *Job) bool { return j.settled })
		t.settledCount = 0
	}
	return t.jobsInOrder
}

// FinalSeq is the log's number of the entry that made a job final, for answers that must not
// run ahead of the log; 0 once that is committed.
func (t *jobTable) FinalSeq(id JobID) uint64 { return t.finalSeqs[id] }

// ForgetCommitted drops bookkeeping that only matters until its entry is committed.
func (t *jobTable) ForgetCommitted(committed uint64) {
	for id, s := range t.finalSeqs {
		if s <= committed {
			delete(t.finalSeqs, id)
		}
	}
}
