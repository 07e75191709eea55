package emulator

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"fieldhill/wire"
)

const (
	checkInterval       = 500 * time.Millisecond
	replicaStartupGrace = 15 * time.Second // from a submission on until then no replica need be up
)

// ServedCount is what became of the jobs of a class or a team, of those that could end: accepted or not, but for those
// whose users cancelled them. Services don't end; what counts is the time that their replicas were up.
type ServedCount struct {
	Jobs, Started, Done                    int
	Tasks, TasksDone                       int
	ReplicaWantedSeconds, ReplicaUpSeconds float64 // replicas' seconds
}

// Shares are what was served, in each reading: of jobs done, of tasks done, and of replicas' time; 1 where there
// are none.
func (c *ServedCount) Shares() (jobs, tasks, up float64) {
	jobs, tasks, up = 1, 1, 1
	if c.Jobs > 0 {
		jobs, tasks = float64(c.Done)/float64(c.Jobs), float64(c.TasksDone)/float64(c.Tasks)
	}
	if c.ReplicaWantedSeconds > 0 {
		up = c.ReplicaUpSeconds / c.ReplicaWantedSeconds
	}
	return jobs, tasks, up
}

func (c *ServedCount) String() string {
	s := ""
	if c.Jobs > 0 {
		s = fmt.Sprintf("begun %d, done %d of %d jobs; %d of %d tasks", c.Started, c.Done, c.Jobs, c.TasksDone, c.Tasks)
	}
	if c.ReplicaWantedSeconds > 0 {
		s += fmt.Sprintf(" replicas up %.3f", c.ReplicaUpSeconds/c.ReplicaWantedSeconds)
	}
	return s
}

// ServedCounts counts by class and by team.
func (f *InvariantChecker) ServedCounts() (classes, teams map[string]*ServedCount) {
	f.mu.Lock()
	defer f.mu.Unlock()
	classes, teams = map[string]*ServedCount{}, map[string]*ServedCount{}
	at := func(m map[string]*ServedCount, name string) *ServedCount {
		if m[name] == nil {
			m[name] = &ServedCount{}
		}
		return m[name]
	}
	for _, t := range f.jobs {
		for _, c := range []*ServedCount{at(classes, t.spec.Class), at(teams, t.spec.Team)} {
			if t.spec.Shape == wire.Service {
				c.ReplicaWantedSeconds, c.ReplicaUpSeconds = c.ReplicaWantedSeconds+t.replicaWantedSeconds, c.ReplicaUpSeconds+t.replicaUpSeconds
				continue
			}
			if t.cancelRequested {
				continue
			}
			c.Jobs, c.Tasks, c.TasksDone = c.Jobs+1, c.Tasks+t.spec.Tasks, c.TasksDone+len(t.done)
			if t.starts > 0 {
				c.Started++
			}
			if len(t.done) == t.spec.Tasks {
				c.Done++
			}
		}
	}
	return classes, teams
}

// largestStartBound is how soon also the largest jobs are to begin.
const largestStartBound = 4 * time.Minute

// LargestJobs is how the largest jobs of a class were served: those of the most tasks, and the tenth that takes most.
type LargestJobs struct {
	Jobs, Started int
	Late          int           // begun after more than four minutes, or waiting for longer
	WorstWait     time.Duration // wait for the beginning, so far
}

// LargestByClass counts them by class, of jobs that were not cancelled and came at least a while ago.
func (f *InvariantChecker) LargestByClass(since time.Duration) map[string]*LargestJobs {
	f.mu.Lock()
	defer f.mu.Unlock()
	byClass := map[string][]*jobRecord{}
	for _, t := range f.jobs {
		if t.accepted && !t.cancelRequested && time.Since(t.submittedAt) >= since {
			byClass[t.spec.Class] = append(byClass[t.spec.Class], t)
		}
	}
	resourceDemand := func(t *jobRecord) float64 { return float64(t.spec.Tasks) * (t.spec.CPUs + 8*t.spec.GPUs) }
	out := map[string]*LargestJobs{}
	for class, list := range byClass {
		slices.SortFunc(list, func(a, b *jobRecord) int { return cmp.Compare(resourceDemand(b), resourceDemand(a)) })
		maxTasks := slices.MaxFunc(
			list,
			func(a, b *jobRecord) int { return cmp.Compare(a.spec.Tasks, b.spec.Tasks) },
		).spec.Tasks
		l := &LargestJobs{}
		for i, t := range list {
			if i >= (len(list)+9)/10 && t.spec.Tasks < maxTasks {
				continue
			}
			wait := time.Since(t.submittedAt)
			l.Jobs++
			if !t.startedAt.IsZero() {
				l.Started++
				wait = t.startedAt.Sub(t.submittedAt)
			}
			if l.WorstWait = max(l.WorstWait, wait); wait > largestStartBound {
				l.Late++
			}
		}
		out[class] = l
	}
	return out
}
