package emulator

import (
	"fmt"
	"sync"
	"time"

	"fieldhill/wire"
)

// taskBehavior is how long tasks take and which fail, on all machines alike.
type taskBehavior struct {
	onTaskStart func(s *wire.JobSpec) // nil for none

	mu            sync.Mutex
	fetchDuration time.Duration
	runtimeFactor float64         // tasks run so many times as long as their owners say; 0: 1
	failingJobs   map[string]bool // jobs whose tasks fail on every machine
}

func newTaskBehavior(onTaskStart func(s *wire.JobSpec)) *taskBehavior {
	return &taskBehavior{
		onTaskStart:   onTaskStart,
		fetchDuration: defaultFetchDuration,
		failingJobs:   map[string]bool{},
	}
}

// FailJob has every task of a job fail wherever it starts.
func (b *taskBehavior) FailJob(id string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.failingJobs[id] = true
}

func (b *taskBehavior) isFailing(id string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.failingJobs[id]
}

// SetFetchDuration sets how long a machine takes to fetch an image, from now on.
func (b *taskBehavior) SetFetchDuration(d time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.fetchDuration = d
}

func (b *taskBehavior) imageFetchDuration() time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.fetchDuration
}

// SetRuntimeFactor has tasks run so many times as long as their owners say.
func (b *taskBehavior) SetRuntimeFactor(factor float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.runtimeFactor = factor
}

// taskDuration is how long a task runs of which its owner expects so many seconds.
func (b *taskBehavior) taskDuration(estimateS float64) time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.runtimeFactor > 0 {
		estimateS *= b.runtimeFactor
	}
	return time.Duration(estimateS * float64(time.Second))
}

// gangTable is what the members of gangs know of each other: they begin together and end together.
type gangTable struct {
	timeout time.Duration // for which a member waits for the others

	mu       sync.Mutex
	members  map[string]map[string]bool // job and attempt: the tasks that gathered
	finished map[uint64]bool            // jobs
}

func newGangTable(timeout time.Duration) *gangTable {
	return &gangTable{timeout: timeout, members: map[string]map[string]bool{}, finished: map[uint64]bool{}}
}

func gangAttemptKey(task string, attempt uint64) string {
	n, _, _ := wire.ParseTaskID(task)
	return fmt.Sprint(n, "#", attempt)
}

// join has a task gather with the others of its gang's attempt.
func (g *gangTable) join(task string, attempt uint64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	key := gangAttemptKey(task, attempt)
	if g.members[key] == nil {
		g.members[key] = map[string]bool{}
	}
	g.members[key][task] = true
}

// leave takes a task out of its gang's attempt; done says that the gang has finished with it.
func (g *gangTable) leave(task string, attempt uint64, done bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if done {
		n, _, _ := wire.ParseTaskID(task)
		g.finished[n] = true
	}
	delete(g.members[gangAttemptKey(task, attempt)], task)
}

// isComplete reports whether all members of a gang's attempt are there.
func (g *gangTable) isComplete(task string, attempt uint64, members int) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return len(g.members[gangAttemptKey(task, attempt)]) == members
}

// isFinished reports whether a gang is done: its tasks complete together, and the result stays for those whose end no
// controller has seen.
func (g *gangTable) isFinished(task string) bool {
	n, _, _ := wire.ParseTaskID(task)
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.finished[n]
}
