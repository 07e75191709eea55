package model

import "math"

// CompletionStats counts what became of the jobs of a class or a team, as far as this node has read of the log:
// jobs that were over before the snapshot it began with are not in it. A job has begun when
// a task of it was placed; what was cancelled could not end.
type CompletionStats struct {
	Jobs, Started, Done, Cancelled int
	Tasks, TasksDone               int     // of jobs that were not cancelled
	WantedSeconds, UpSeconds       float64 // replicas' seconds, while this node led
	recent                         recentCompletions
}

// recentCompletions is what was completed of the jobs that came not long ago; the older a job is, the less it counts.
type recentCompletions struct {
	jobs, tasks float64
	decayedAt   Time
}

// decaySeconds is over how long a job fades, in seconds from its coming: several of the longest jobs that arrays
// usually make, so that a class is neither behind for one slow job nor well for what it had an hour ago. Those that
// wait fade as those that are done do: large ones, which wait for long, would else be all that is left to count.
const decaySeconds = 600.0

// RecencyWeight is how much a job counts, from 1 when it comes on.
func RecencyWeight(age Time) float64 { return math.Exp(-age.Seconds() / decaySeconds) }

func (l *recentCompletions) decay(now Time) {
	if now > l.decayedAt {
		factor := RecencyWeight(now - l.decayedAt)
		l.jobs, l.tasks, l.decayedAt = l.jobs*factor, l.tasks*factor, now
	}
}

// RecentlyCompleted tells how many jobs and tasks were completed, each with its weight.
func (s *CompletionStats) RecentlyCompleted(now Time) (jobs, tasks float64) {
	decayed := s.recent
	decayed.decay(now)
	return decayed.jobs, decayed.tasks
}

// statsOf lists what counts a job: its class and its team.
func (m *Model) statsOf(j *Job) []*CompletionStats {
	for int(j.Class) >= len(m.ByClass) {
		m.ByClass = append(m.ByClass, CompletionStats{})
	}
	list := []*CompletionStats{&m.ByClass[j.Class]}
	if j.Team != nil {
		list = append(list, &m.ByTeam[j.Team.Index])
	}
	return list
}

// updateStats counts a change of a job for its class and its team.
func (m *Model) updateStats(j *Job, update func(s *CompletionStats)) {
	for _, s := range m.statsOf(j) {
		update(s)
	}
}

// markStarted notes that a task of a job was placed, or is done.
func (m *Model) markStarted(j *Job) {
	if !j.started {
		j.started = true
		m.updateStats(j, func(s *CompletionStats) { s.Started++ })
	}
}

// recordEnd notes that a job has come to its end.
func (m *Model) recordEnd(j *Job, now Time) {
	m.updateStats(j, func(s *CompletionStats) {
		if j.Cancelled {
			s.Cancelled++
			s.Tasks, s.TasksDone = s.Tasks-len(j.Tasks), s.TasksDone-j.Done
			return
		}
		s.Done++
		s.recent.decay(now)
		weight := RecencyWeight(now - j.Observed.KnownSince)
		s.recent.jobs, s.recent.tasks = s.recent.jobs+weight, s.recent.tasks+weight*float64(len(j.Tasks))
	})
}

// AccrueServiceTime counts the time of services' replicas since it was last called: what is wanted, and what of
// it was up, as far as this node, which leads, has heard.
func (m *Model) AccrueServiceTime(elapsed Time) {
	seconds := elapsed.Seconds()
	for _, j := range m.JobsInOrder() {
		if j.Kind == Service && !j.Cancelled {
			m.updateStats(j, func(c *CompletionStats) {
				c.WantedSeconds, c.UpSeconds = c.WantedSeconds+seconds*float64(
					len(j.Tasks),
				), c.UpSeconds+seconds*float64(
					j.Running,
				)
			})
		}
	}
}

// Availability is the share of the replicas' time that was up, rounded to a thousandth; 1 where none was wanted.
func (s *CompletionStats) Availability() float64 {
	if s.WantedSeconds <= 0 {
		return 1
	}
	return math.Round(s.UpSeconds/s.WantedSeconds*1000) / 1000
}
