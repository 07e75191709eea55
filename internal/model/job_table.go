package model

import "slices"

// jobTable is the replicated table of jobs. Live jobs are held in full. Of every other job only the final state is
// kept, which takes a few bytes and is never deleted.
type jobTable struct {
	// Live jobs: unfinished, or with runs that are not known to have ended.
	Jobs map[JobID]*Job
	// Final states of all other jobs.
	Finals map[JobID]Final
	// Number of uncompleted tasks of live jobs.
	LiveTasks int

	jobsInOrder   []*Job           // by acceptance: live jobs, and finished ones until the next JobsInOrder call
	finishedCount int              // number of finished jobs in jobsInOrder
	jobOrder      uint64           // Order of the next job
	finalSeqs     map[JobID]uint64 // log sequence numbers of final states that are not committed yet
}

func newJobTable() jobTable {
	return jobTable{Jobs: map[JobID]*Job{}, Finals: map[JobID]Final{}, finalSeqs: map[JobID]uint64{}}
}

func (t *jobTable) insertJob(j *Job) {
	j.Order = t.jobOrder
	t.jobOrder++
	t.Jobs[j.ID] = j
	t.jobsInOrder = append(t.jobsInOrder, j)
	t.countTasks(j, len(j.Tasks))
}

// countTasks changes the numbers of uncompleted tasks of the table and of the job's team.
func (t *jobTable) countTasks(j *Job, delta int) {
	t.LiveTasks += delta
	if j.Team != nil {
		j.Team.LiveTasks += delta
	}
}

func (t *jobTable) finishJob(j *Job, final Final) {
	t.Finals[j.ID] = final
	t.finalSeqs[j.ID] = j.FinalSeq
	delete(t.Jobs, j.ID)
	j.finished = true
	t.finishedCount++
}

// findRun returns the run of an attempt, or nil if the attempt was never placed or is known to have ended.
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

// JobsInOrder returns the live jobs in the order of acceptance. The slice belongs to the model and is valid until the
// next call.
func (t *jobTable) JobsInOrder() []*Job {
	if t.finishedCount > 0 {
		t.jobsInOrder = slices.DeleteFunc(t.jobsInOrder, func(j *Job) bool { return j.finished })
		t.finishedCount = 0
	}
	return t.jobsInOrder
}

// FinalSeq returns the log sequence number of the entry that decided a job's final state. The final state must not be
// reported to users before that entry is committed. FinalSeq is 0 once ForgetCommitted has dropped the number.
func (t *jobTable) FinalSeq(id JobID) uint64 { return t.finalSeqs[id] }

// ForgetCommitted drops the sequence numbers of final states that are committed.
func (t *jobTable) ForgetCommitted(committed uint64) {
	for id, s := range t.finalSeqs {
		if s <= committed {
			delete(t.finalSeqs, id)
		}
	}
}
