package emulator

import (
	"fmt"
	"math"
	"slices"
	"sync"
	"time"

	"fieldhill/wire"
)

// InvariantChecker sees every task that is on a machine and every answer to a user, and
// notes each broken rule.
type InvariantChecker struct {
	mu          sync.Mutex
	limits      map[string][2]float64 // team: CPUs, GPUs at most
	cancelBound time.Duration
	jobs        map[uint64]*jobRecord
	placements  map[string]map[string]bool // task: machines where it has its image and is not gone
	usage       map[string][2]float64      // team: CPUs and GPUs of what is in on
	violations  []string
	starts      int
	// answers to questions that came within a moment after a job was accepted, ended or cancelled
	racingReads       int
	startsAfterCancel int  // starts of jobs whose cancellation was confirmed
	faultsOver        bool // all troubles are over
}

// forgottenAfter is for how long all questions about an accepted job may stay unanswered once all troubles are over.
const forgottenAfter = 75 * time.Second

// MarkFaultsOver tells the referee that all troubles are over.
func (f *InvariantChecker) MarkFaultsOver() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.faultsOver = true
}

// RecordUnanswered notes a question about a job that got no answer: none at all, or a refusal, which is none.
func (f *InvariantChecker) RecordUnanswered(id string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	n, _ := wire.JobNumber(id)
	t := f.jobs[n]
	switch {
	case t == nil || !f.faultsOver || !t.accepted || t.cancelRequested:
	case t.unansweredSince.IsZero():
		t.unansweredSince = time.Now()
	case time.Since(t.unansweredSince) > forgottenAfter:
		f.violate("forgotten", "no question about %s was answered for %v", id, time.Since(t.unansweredSince))
		t.unansweredSince = time.Now()
	}
}

type jobRecord struct {
	spec            *wire.JobSpec
	starts          int
	accepted        bool
	done            map[int]bool
	finalState      string
	cancelRequested bool // its user asked to cancel it
	cancelledAt     time.Time
	taskZones       map[int]string // where each task is
	stateChangedAt  time.Time      // when it was told to be accepted, done or cancelled
	submittedAt     time.Time      // when its user began to submit it
	startedAt       time.Time      // when its first task started, of a gang all at once; zero: not yet
	// since when no question about it was answered, all troubles over; zero: the last one was
	unansweredSince time.Time
	// since when a task of it waits, all troubles over, though a machine that fits has room and its team is under its
	// limit
	placeableSince       time.Time
	replicaUpSeconds     float64 // replicas' seconds, from replicaStartupGrace on
	replicaWantedSeconds float64
}

// NewInvariantChecker makes a referee for teams' limits.
func NewInvariantChecker(limits map[string][2]float64, cancelBound time.Duration) *InvariantChecker {
	return &InvariantChecker{
		limits:      limits,
		cancelBound: cancelBound,
		jobs:        map[uint64]*jobRecord{},
		placements:  map[string]map[string]bool{},
		usage:       map[string][2]float64{},
	}
}

func (f *InvariantChecker) violate(rule, format string, args ...any) {
	f.violations = append(f.violations, time.Now().Format("15:04:05.000 ")+rule+": "+fmt.Sprintf(format, args...))
}

// RegisterJob tells the referee of a job that a user begins to submit.
func (f *InvariantChecker) RegisterJob(s *wire.JobSpec) {
	f.mu.Lock()
	defer f.mu.Unlock()
	n, _ := wire.JobNumber(s.ID)
	if t := f.jobs[n]; t != nil { // a repeat, or a new try after a refusal
		if !t.accepted && t.starts == 0 {
			t.spec = s
		}
		return
	}
	f.jobs[n] = &jobRecord{spec: s, done: map[int]bool{}, taskZones: map[int]string{}, submittedAt: time.Now()}
}

// RegisterFinishedJob tells the referee of a job that was done long ago.
func (f *InvariantChecker) RegisterFinishedJob(s *wire.JobSpec) {
	f.mu.Lock()
	defer f.mu.Unlock()
	n, _ := wire.JobNumber(s.ID)
	t := &jobRecord{
		spec:        s,
		done:        map[int]bool{},
		taskZones:   map[int]string{},
		accepted:    true,
		finalState:  wire.JobDone,
		submittedAt: time.Now(),
	}
	for k := range s.Tasks {
		t.done[k] = true
	}
	f.jobs[n] = t
}

// Spec finds a job, as workers do.
func (f *InvariantChecker) Spec(n uint64) *wire.JobSpec {
	f.mu.Lock()
	defer f.mu.Unlock()
	if t := f.jobs[n]; t != nil {
		return t.spec
	}
	return nil
}

// RecordStart notes that a task has its image on a machine.
func (f *InvariantChecker) RecordStart(task string, worker *Worker) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.starts++
	n, k, _ := wire.ParseTaskID(task)
	t := f.jobs[n]
	if t == nil {
		f.violate("invented", "%s starts, nobody submitted it", task)
		return
	}
	if len(f.placements[task]) > 0 {
		f.violate("ran_twice", "%s starts on %s and is on %v", task, worker.Name, f.placements[task])
	}
	if f.placements[task] == nil {
		f.placements[task] = map[string]bool{}
	}
	s := t.spec
	okType := s.Types == nil
	for _, x := range s.Types {
		okType = okType || x == worker.Type
	}
	sameZone, otherZones := 0, 0
	for i, z := range t.taskZones {
		if i == k {
			continue
		}
		if z == worker.Zone {
			sameZone++
		} else {
			otherZones++
		}
	}
	if !okType || s.Zone != nil && *s.Zone != worker.Zone || worker.Spot && !s.Spot || s.SameZone && otherZones > 0 ||
		s.Spread && sameZone+1 > (s.Tasks+1)/2 {
		f.violate(
			"wrong_place",
			"%s on %s (%s, %s, spot %v) with %d there and %d elsewhere",
			task,
			worker.Name,
			worker.Type,
			worker.Zone,
			worker.Spot,
			sameZone,
			otherZones,
		)
	}
	if !t.cancelledAt.IsZero() && time.Since(t.cancelledAt) > f.cancelBound {
		f.violate("ran_cancelled", "%s starts %v after its cancellation", task, time.Since(t.cancelledAt))
	}
	if !t.cancelledAt.IsZero() {
		f.startsAfterCancel++
	}
	t.starts++
	t.placeableSince = time.Time{}
	if !f.placements[task][worker.Name] {
		f.placements[task][worker.Name] = true
		f.adjustUsage(s, 1)
	}
	t.taskZones[k] = worker.Zone
	if t.startedAt.IsZero() && (s.Shape != wire.Gang || len(t.taskZones) == s.Tasks) {
		t.startedAt = time.Now()
	}
	f.checkQuota(s.Team)
}

// adjustUsage notes that so many tasks more of a job are on machines.
func (f *InvariantChecker) adjustUsage(s *wire.JobSpec, tasks float64) {
	u := f.usage[s.Team]
	f.usage[s.Team] = [2]float64{u[0] + tasks*s.CPUs, u[1] + tasks*s.GPUs}
}

// roundingTolerance is by how much a sum that was kept through many changes may be off.
const roundingTolerance = 1e-6

func (f *InvariantChecker) checkQuota(team string) {
	u := f.usage[team]
	if l := f.limits[team]; u[0] > l[0]+roundingTolerance && l[0] > 0 || u[1] > l[1]+roundingTolerance && l[1] > 0 {
		f.violate("quota", "%s uses %g CPUs and %g GPUs", team, u[0], u[1])
	}
}

// recomputeUsage adds up plainly what the teams use, which the sums that are kept must agree with.
func (f *InvariantChecker) recomputeUsage() map[string][2]float64 {
	sum := map[string][2]float64{}
	for task, machines := range f.placements {
		n, _, _ := wire.ParseTaskID(task)
		s := f.jobs[n].spec
		u, k := sum[s.Team], float64(len(machines))
		sum[s.Team] = [2]float64{u[0] + k*s.CPUs, u[1] + k*s.GPUs}
	}
	return sum
}

// RecordExit notes that a task is off a machine.
func (f *InvariantChecker) RecordExit(task string, worker *Worker, done bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	n, k, _ := wire.ParseTaskID(task)
	t := f.jobs[n]
	if t == nil {
		return
	}
	if f.placements[task][worker.Name] {
		f.adjustUsage(t.spec, -1)
	}
	delete(f.placements[task], worker.Name)
	if len(f.placements[task]) == 0 {
		delete(f.placements, task)
		delete(t.taskZones, k)
	}
	if done {
		t.done[k] = true
	}
}

// Check looks for tasks of cancelled jobs that are still there, and counts the time of replicas. It is called
// every checkInterval.
func (f *InvariantChecker) Check() {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, t := range f.jobs {
		if t.spec.Shape == wire.Service && t.accepted && !t.cancelRequested &&
			time.Since(t.submittedAt) > replicaStartupGrace {
			t.replicaWantedSeconds += checkInterval.Seconds() * float64(t.spec.Tasks)
			t.replicaUpSeconds += checkInterval.Seconds() * float64(len(t.taskZones))
		}
	}
	recomputed := f.recomputeUsage()
	for team, u := range f.usage {
		if p := recomputed[team]; math.Abs(u[0]-p[0]) > roundingTolerance || math.Abs(u[1]-p[1]) > roundingTolerance {
			f.violate("miscounted", "%s uses %v, counted as %v", team, p, u)
		}
		f.usage[team] = recomputed[team]
	}
	for task, machines := range f.placements {
		n, _, _ := wire.ParseTaskID(task)
		if t := f.jobs[n]; !t.cancelledAt.IsZero() && time.Since(t.cancelledAt) > f.cancelBound {
			f.violate(
				"ran_cancelled",
				"%s is on %v %v after its cancellation",
				task,
				machines,
				time.Since(t.cancelledAt),
			)
			t.cancelledAt = time.Now() // once is enough
		}
	}
}

// RecordCancelRequest notes that a user begins to ask for a cancellation.
func (f *InvariantChecker) RecordCancelRequest(id string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	n, _ := wire.JobNumber(id)
	if t := f.jobs[n]; t != nil {
		t.cancelRequested = true
	}
}

// ClientView is what users had been told of a job when a request began. Only against
// that may its answer be held: what another user is told meanwhile may be newer.
type ClientView struct {
	accepted    bool
	finalState  string
	justChanged bool // that had just been told
}

// racingReadWindow is within which time after that a question counts as a close look.
const racingReadWindow = 100 * time.Millisecond

// ClientViewOf returns what users know of a job now.
func (f *InvariantChecker) ClientViewOf(id string) ClientView {
	f.mu.Lock()
	defer f.mu.Unlock()
	n, _ := wire.JobNumber(id)
	if t := f.jobs[n]; t != nil {
		return ClientView{
			t.accepted,
			t.finalState,
			!t.stateChangedAt.IsZero() && time.Since(t.stateChangedAt) < racingReadWindow,
		}
	}
	return ClientView{}
}

// RecordResponse notes an answer that a user got: of a submission, a poll or a cancellation.
func (f *InvariantChecker) RecordResponse(
	id string,
	operation string,
	before ClientView,
	code int,
	status *wire.JobStatus,
) {
	f.mu.Lock()
	defer f.mu.Unlock()
	n, _ := wire.JobNumber(id)
	t := f.jobs[n]
	switch {
	case t == nil:
		if code == 200 || code == 201 {
			f.violate("invented", "%s of %s got %d", operation, id, code)
		}
		return
	case before.accepted && (code == 404 || operation == "submit" && (code == 400 || code == 422)):
		f.violate("forgotten", "%s of %s got %d", operation, id, code)
	case code != 200 && code != 201:
		return
	}
	if before.justChanged {
		f.racingReads++
	}
	t.unansweredSince = time.Time{}
	if wasAccepted := t.accepted; operation == "submit" || operation == "poll" {
		if t.accepted = true; !wasAccepted {
			t.stateChangedAt = time.Now()
		}
	}
	if status.State == wire.JobDone && len(t.done) < t.spec.Tasks {
		f.violate("not_done", "%s of %s says done, %d of %d are", operation, id, len(t.done), t.spec.Tasks)
	}
	if before.finalState != "" && status.State != before.finalState {
		f.violate("went_back", "%s was called %s and now %s", id, before.finalState, status.State)
	}
	if status.State == wire.JobCancelled && !t.cancelRequested {
		f.violate("went_back", "%s is called cancelled, its user did not cancel it", id)
	}
	if status.State == wire.JobDone || status.State == wire.JobCancelled {
		if t.finalState == "" {
			t.stateChangedAt = time.Now()
		}
		t.finalState = status.State
	}
	if status.State == wire.JobCancelled && t.cancelledAt.IsZero() {
		t.cancelledAt = time.Now()
	}
}

// Violations lists the broken rules.
func (f *InvariantChecker) Violations() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return append([]string(nil), f.violations...)
}

// isLastTask tells whether a task is the only one of its job that is not done.
func (f *InvariantChecker) isLastTask(task string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	n, k, _ := wire.ParseTaskID(task)
	t := f.jobs[n]
	return t != nil && t.accepted && !t.cancelRequested && !t.done[k] && len(t.done) == t.spec.Tasks-1
}

// RacingReads counts the answers to questions that came within a moment after a job was told to be accepted, done or
// cancelled.
func (f *InvariantChecker) RacingReads() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.racingReads
}

// OpenJobs lists some jobs that have tasks on machines, and that nobody has asked to cancel.
func (f *InvariantChecker) OpenJobs(limit int) (ids []string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, t := range f.jobs {
		if t.accepted && !t.cancelRequested && t.finalState == "" && len(t.taskZones) > 0 {
			ids = append(ids, t.spec.ID)
		}
	}
	slices.Sort(ids)
	return ids[:min(limit, len(ids))]
}

// isDone tells whether a task completed: its result is kept, and if it is started again it is done at once.
func (f *InvariantChecker) isDone(task string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	n, k, _ := wire.ParseTaskID(task)
	t := f.jobs[n]
	return t != nil && t.done[k]
}

// StartsAfterCancel counts the tasks that were started after the cancellation of their job was confirmed, within the
// time that the protocol leaves.
func (f *InvariantChecker) StartsAfterCancel() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.startsAfterCancel
}

// Starts counts the tasks that were started.
func (f *InvariantChecker) Starts() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.starts
}

// StartsOf counts the tasks of a job that were started.
func (f *InvariantChecker) StartsOf(id string) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	n, _ := wire.JobNumber(id)
	if t := f.jobs[n]; t != nil {
		return t.starts
	}
	return 0
}

// Finished counts the jobs that were told to be over, and all that were accepted.
func (f *InvariantChecker) Finished() (finished, accepted int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, t := range f.jobs {
		if t.accepted {
			accepted++
		}
		if t.finalState != "" {
			finished++
		}
	}
	return
}

// Running counts the tasks of a job that are on machines.
func (f *InvariantChecker) Running(id string) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	n, _ := wire.JobNumber(id)
	if t := f.jobs[n]; t != nil {
		return len(t.taskZones)
	}
	return 0
}

// UsedCPUs is how many CPUs a team's tasks use.
func (f *InvariantChecker) UsedCPUs(team string) (cpus float64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.usage[team][0]
}

// Tasks counts all tasks that are on machines.
func (f *InvariantChecker) Tasks() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.placements)
}

// HasTasks tells whether any task is on a machine.
func (f *InvariantChecker) HasTasks(machine string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, machines := range f.placements {
		if machines[machine] {
			return true
		}
	}
	return false
}
