package emulator

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"fieldhill/wire"
)

const (
	checkEvery  = 500 * time.Millisecond
	replicaFrom = 15 * time.Second // from a submission on until then no replica need be up
)

// Count is what became of the jobs of a class or a team, of those that could end: accepted or not, but for those
// whose users cancelled them. Services don't end; what counts is the time that their replicas were up.
type Count struct {
	Jobs, Begun, Done int
	Tasks, TasksDone  int
	Wanted, Up        float64 // replicas' seconds
}

// Shares are what was served, in each reading: of jobs done, of tasks done, and of replicas' time; 1 where there
// are none.
func (c *Count) Shares() (jobs, tasks, up float64) {
	jobs, tasks, up = 1, 1, 1
	if c.Jobs > 0 {
		jobs, tasks = float64(c.Done)/float64(c.Jobs), float64(c.TasksDone)/float64(c.Tasks)
	}
	if c.Wanted > 0 {
		up = c.Up / c.Wanted
	}
	return jobs, tasks, up
}

func (c *Count) String() string {
	s := ""
	if c.Jobs > 0 {
		s = fmt.Sprintf("begun %d, done %d of %d jobs; %d of %d tasks", c.Begun, c.Done, c.Jobs, c.TasksDone, c.Tasks)
	}
	if c.Wanted > 0 {
		s += fmt.Sprintf(" replicas up %.3f", c.Up/c.Wanted)
	}
	return s
}

// Served counts by class and by team.
func (f *Referee) Served() (classes, teams map[string]*Count) {
	f.mu.Lock()
	defer f.mu.Unlock()
	classes, teams = map[string]*Count{}, map[string]*Count{}
	at := func(m map[string]*Count, name string) *Count {
		if m[name] == nil {
			m[name] = &Count{}
		}
		return m[name]
	}
	for _, t := range f.jobs {
		for _, c := range []*Count{at(classes, t.spec.Class), at(teams, t.spec.Team)} {
			if t.spec.Shape == wire.Service {
				c.Wanted, c.Up = c.Wanted+t.wantedS, c.Up+t.upS
				continue
			}
			if t.asked {
				continue
			}
			c.Jobs, c.Tasks, c.TasksDone = c.Jobs+1, c.Tasks+t.spec.Tasks, c.TasksDone+len(t.done)
			if t.starts > 0 {
				c.Begun++
			}
			if len(t.done) == t.spec.Tasks {
				c.Done++
			}
		}
	}
	return classes, teams
}

// beginsBy is how soon also the largest jobs are to begin.
const beginsBy = 4 * time.Minute

// Largest is how the largest jobs of a class were served: those of the most tasks, and the tenth that takes most.
type Largest struct {
	Jobs, Begun int
	Late        int           // begun after more than four minutes, or waiting for longer
	Worst       time.Duration // wait for the beginning, so far
}

// Largest counts them by class, of jobs that were not cancelled and came at least a while ago.
func (f *Referee) Largest(since time.Duration) map[string]*Largest {
	f.mu.Lock()
	defer f.mu.Unlock()
	by := map[string][]*truth{}
	for _, t := range f.jobs {
		if t.accepted && !t.asked && time.Since(t.known) >= since {
			by[t.spec.Class] = append(by[t.spec.Class], t)
		}
	}
	takes := func(t *truth) float64 { return float64(t.spec.Tasks) * (t.spec.CPUs + 8*t.spec.GPUs) }
	out := map[string]*Largest{}
	for class, list := range by {
		slices.SortFunc(list, func(a, b *truth) int { return cmp.Compare(takes(b), takes(a)) })
		most := slices.MaxFunc(list, func(a, b *truth) int { return cmp.Compare(a.spec.Tasks, b.spec.Tasks) }).spec.Tasks
		l := &Largest{}
		for i, t := range list {
			if i >= (len(list)+9)/10 && t.spec.Tasks < most {
				continue
			}
			wait := time.Since(t.known)
			l.Jobs++
			if !t.begun.IsZero() {
				l.Begun++
				wait = t.begun.Sub(t.known)
			}
			if l.Worst = max(l.Worst, wait); wait > beginsBy {
				l.Late++
			}
		}
		out[class] = l
	}
	return out
}
