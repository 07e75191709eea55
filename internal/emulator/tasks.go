package emulator

import (
	"fmt"
	"sync"
	"time"

	"fieldhill/wire"
)

// taskBehavior determines how long tasks take and which jobs fail, on all machines.
type taskBehavior struct {
	onTaskStart func(s *wire.JobSpec) // may be nil

	mu            sync.Mutex
	fetchDuration time.Duration
	runtimeFactor float64         // factor on the estimated runtime of tasks; 0 means 1
	failingJobs   map[string]bool // jobs whose tasks fail on every machine
}

func newTaskBehavior(onTaskStart func(s *wire.JobSpec)) *taskBehavior {
	return &taskBehavior{
		onTaskStart:   onTaskStart,
		fetchDuration: defaultFetchDuration,
		failingJobs:   map[string]bool{},
	}
}

// FailJob makes every task of a job fail on every machine.
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

// SetFetchDuration sets how long a machine takes to fetch an image.
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

// SetRuntimeFactor sets a factor on the owners' estimates of the runtime of tasks. The actual runtime of a task also
// depends on a random factor (see taskDuration).
func (b *taskBehavior) SetRuntimeFactor(factor float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.runtimeFactor = factor
}

// taskDuration returns the owner's estimate of a task's runtime, given in seconds, times the runtime factor. The actual
// runtime is the result times a random factor from 0.7 to 1.7, which the worker chooses.
func (b *taskBehavior) taskDuration(estimateS float64) time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.runtimeFactor > 0 {
		estimateS *= b.runtimeFactor
	}
	return time.Duration(estimateS * float64(time.Second))
}

// gangRegistry tracks which tasks of gangs are ready to run on their machines. The tasks of a gang start and end
// together.
type gangRegistry struct {
	timeout time.Duration // how long a member waits for the others to join

	mu       sync.Mutex
	members  map[string]map[string]bool // tasks that have joined, by job and attempt
	finished map[uint64]bool            // by job number
}

func newGangRegistry(timeout time.Duration) *gangRegistry {
	return &gangRegistry{timeout: timeout, members: map[string]map[string]bool{}, finished: map[uint64]bool{}}
}

func gangAttemptKey(task string, attempt uint64) string {
	n, _, _ := wire.ParseTaskID(task)
	return fmt.Sprint(n, "#", attempt)
}

// join adds a task to its gang's attempt.
func (g *gangRegistry) join(task string, attempt uint64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	key := gangAttemptKey(task, attempt)
	if g.members[key] == nil {
		g.members[key] = map[string]bool{}
	}
	g.members[key][task] = true
}

// leave removes a task from its gang's attempt; done means that the whole gang has finished.
func (g *gangRegistry) leave(task string, attempt uint64, done bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if done {
		n, _, _ := wire.ParseTaskID(task)
		g.finished[n] = true
	}
	delete(g.members[gangAttemptKey(task, attempt)], task)
}

// isComplete reports whether all members of a gang's attempt have joined.
func (g *gangRegistry) isComplete(task string, attempt uint64, gangSize int) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return len(g.members[gangAttemptKey(task, attempt)]) == gangSize
}

// isFinished reports whether a gang is done. Its tasks complete together; the result is kept for members that a
// controller restarts because it has not seen their completion.
func (g *gangRegistry) isFinished(task string) bool {
	n, _, _ := wire.ParseTaskID(task)
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.finished[n]
}
