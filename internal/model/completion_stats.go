package model

import "math"

// CompletionStats counts the outcomes of the jobs of a class or team that this replica has read from the log; jobs that
// ended before the snapshot from which the replica was restored are not included. A job counts as started when one of
// its tasks is placed or completed. Cancelled jobs cannot complete, so their tasks are not counted.
type CompletionStats struct {
	Jobs, Started, Done, Cancelled int
	Tasks, TasksDone               int     // of jobs that were not cancelled
	WantedSeconds, UpSeconds       float64 // seconds of service replicas, wanted and up, while this node led
	recent                         recentCompletions
}

// recentCompletions sums the completed jobs and tasks, weighted by RecencyWeight of the time since this replica learned
// of each job.
type recentCompletions struct {
	jobs, tasks float64 // sums of the weights as of decayedAt
	decayedAt   Time
}

// decaySeconds is the time constant of the exponential weight of a job, in seconds since its acceptance. It spans
// several of the longest typical array jobs, so that neither one slow job nor jobs accepted an hour ago dominate the
// figures of a class. The weights of waiting and completed jobs must decay alike; otherwise large jobs, which wait for
// long, would dominate.
const decaySeconds = 600.0

// RecencyWeight returns the weight of a job of the given age: 1 at its acceptance, decaying exponentially.
func RecencyWeight(age Time) float64 { return math.Exp(-age.Seconds() / decaySeconds) }

// decay reduces the sums to their weights at a later time.
func (r *recentCompletions) decay(now Time) {
	if now > r.decayedAt {
		factor := RecencyWeight(now - r.decayedAt)
		r.jobs *= factor
		r.tasks *= factor
		r.decayedAt = now
	}
}

// RecentlyCompleted returns the weighted numbers of completed jobs and tasks.
func (s *CompletionStats) RecentlyCompleted(now Time) (jobs, tasks float64) {
	decayed := s.recent
	decayed.decay(now)
	return decayed.jobs, decayed.tasks
}

// completionTable holds the completion statistics by class and by team.
type completionTable struct {
	// Statistics by class index. The slice may be shorter than Model.Classes.
	ByClass []CompletionStats
	// Statistics by team index.
	ByTeam []CompletionStats
}

// updateStats applies a change to the statistics of a job's class and team.
func (t *completionTable) updateStats(j *Job, change func(s *CompletionStats)) {
	for int(j.Class) >= len(t.ByClass) {
		t.ByClass = append(t.ByClass, CompletionStats{})
	}
	change(&t.ByClass[j.Class])
	if j.Team != nil {
		change(&t.ByTeam[j.Team.Index])
	}
}

func (t *completionTable) recordAcceptance(j *Job) {
	t.updateStats(j, func(s *CompletionStats) {
		s.Jobs++
		s.Tasks += len(j.Tasks)
	})
}

// recordStart counts a job as started when the first of its tasks is placed or completed.
func (t *completionTable) recordStart(j *Job) {
	if !j.started {
		j.started = true
		t.updateStats(j, func(s *CompletionStats) { s.Started++ })
	}
}

func (t *completionTable) recordTaskCompletion(j *Job) {
	t.recordStart(j)
	t.updateStats(j, func(s *CompletionStats) { s.TasksDone++ })
}

// recordEnd counts a completed or cancelled job in the statistics of its class and team. The tasks of a cancelled job
// are no longer counted.
func (t *completionTable) recordEnd(j *Job, now Time) {
	t.updateStats(j, func(s *CompletionStats) {
		if j.Cancelled {
			s.Cancelled++
			s.Tasks -= len(j.Tasks)
			s.TasksDone -= j.Done
			return
		}
		s.Done++
		s.recent.decay(now)
		weight := RecencyWeight(now - j.Observed.KnownSince)
		s.recent.jobs += weight
		s.recent.tasks += weight * float64(len(j.Tasks))
	})
}

// AccrueServiceTime adds elapsed, the time since the last call, to the wanted seconds of all service replicas, and to
// the up seconds of those that this leader observes running.
func (m *Model) AccrueServiceTime(elapsed Time) {
	seconds := elapsed.Seconds()
	for _, j := range m.JobsInOrder() {
		if j.Kind == Service && !j.Cancelled {
			m.updateStats(j, func(s *CompletionStats) {
				s.WantedSeconds += seconds * float64(len(j.Tasks))
				s.UpSeconds += seconds * float64(j.Running)
			})
		}
	}
}

// Availability returns the share of the wanted replica time in which replicas were up, rounded to three decimals. It is
// 1 if no replicas were wanted.
func (s *CompletionStats) Availability() float64 {
	if s.WantedSeconds <= 0 {
		return 1
	}
	return math.Round(s.UpSeconds/s.WantedSeconds*1000) / 1000
}
