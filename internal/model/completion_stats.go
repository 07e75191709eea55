package model

import "math"

// CompletionStats counts what became of the jobs of a class or a team, as far as this replica has read of the log:
// jobs that were over before the snapshot it began with are not in it. A job has started when
// a task of it was placed; what was cancelled can't complete.
type CompletionStats struct {
	Jobs, Started, Done, Cancelled int
	Tasks, TasksDone               int     // of jobs that were not cancelled
	WantedSeconds, UpSeconds       float64 // replicas' seconds, while this node was the leader
	recent                         recentCompletions
}

// recentCompletions is what was completed of the jobs that were accepted not long ago; the older a job is, the less
// it counts.
type recentCompletions struct {
	jobs, tasks float64 // the sums of their weights at decayedAt
	decayedAt   Time
}

// decaySeconds is the time constant of a job's weight, in seconds since its acceptance: several of the longest jobs
// that arrays usually make, so that a class is neither behind for one slow job nor well for what it had an hour ago.
// Those that wait lose weight as those that are done do: large ones, which wait for long, would else be all that is
// left to count.
const decaySeconds = 600.0

// RecencyWeight is how much a job of an age counts, from 1 when it is accepted on.
func RecencyWeight(age Time) float64 { return math.Exp(-age.Seconds() / decaySeconds) }

// decay brings the sums to a later time.
func (r *recentCompletions) decay(now Time) {
	if now > r.decayedAt {
		factor := RecencyWeight(now - r.decayedAt)
		r.jobs *= factor
		r.tasks *= factor
		r.decayedAt = now
	}
}

// RecentlyCompleted tells how many jobs and tasks were completed, each with its weight.
func (s *CompletionStats) RecentlyCompleted(now Time) (jobs, tasks float64) {
	decayed := s.recent
	decayed.decay(now)
	return decayed.jobs, decayed.tasks
}

// completionTable holds what became of the jobs, by class and by team.
type completionTable struct {
	// ByClass is by the index of the class; it may be shorter than Model.Classes.
	ByClass []CompletionStats
	// ByTeam is by the index of the team.
	ByTeam []CompletionStats
}

// updateStats counts a change of a job for its class and its team.
func (t *completionTable) updateStats(j *Job, change func(s *CompletionStats)) {
	for int(j.Class) >= len(t.ByClass) {
		t.ByClass = append(t.ByClass, CompletionStats{})
	}
	change(&t.ByClass[j.Class])
	if j.Team != nil {
		change(&t.ByTeam[j.Team.Index])
	}
}

// recordAcceptance counts a job that was accepted.
func (t *completionTable) recordAcceptance(j *Job) {
	t.updateStats(j, func(s *CompletionStats) {
		s.Jobs++
		s.Tasks += len(j.Tasks)
	})
}

// recordStart notes that a task of a job was placed, or is done; the first one of a job counts.
func (t *completionTable) recordStart(j *Job) {
	if !j.started {
		j.started = true
		t.updateStats(j, func(s *CompletionStats) { s.Started++ })
	}
}

// recordTaskDone counts one more task of a job as completed.
func (t *completionTable) recordTaskDone(j *Job) {
	t.recordStart(j)
	t.updateStats(j, func(s *CompletionStats) { s.TasksDone++ })
}

// recordEnd notes that a job has come to its end.
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

// AccrueServiceTime counts the time of services' replicas since it was last called: what is wanted, and what of
// it was up, as far as this leader has observed.
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

// Availability is the share of the replicas' wanted time in which they were up, rounded to a thousandth; 1 where none
// was wanted.
func (s *CompletionStats) Availability() float64 {
	if s.WantedSeconds <= 0 {
		return 1
	}
	return math.Round(s.UpSeconds/s.WantedSeconds*1000) / 1000
}
