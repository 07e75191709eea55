package emulator

import (
	"fmt"
	"math"
	"net/http"
	"slices"
	"sync"
	"time"

	"fieldhill/wire"
)

// InvariantChecker sees every task that is on a machine and every answer to a user, and records each violation of the
// protocol's rules.
type InvariantChecker struct {
	mu          sync.Mutex
	limits      map[string][2]float64 // by team: CPUs and GPUs at most, 0 for no limit
	cancelBound time.Duration         // within which a confirmed cancellation must take effect
	jobs        map[uint64]*jobRecord
	placements  map[string]map[string]bool // by task: machines that have its image and run it
	usage       map[string][2]float64      // by team: CPUs and GPUs of the tasks in placements
	violations  []string
	starts      int
	// racingReads counts the answers to questions that came within a moment after a job was accepted, ended or
	// cancelled.
	racingReads       int
	startsAfterCancel int  // starts of jobs whose cancellation was confirmed
	faultsOver        bool // no fault is injected any more
}

// forgottenAfter is for how long all questions about an accepted job may stay unanswered once all faults are over.
const forgottenAfter = 75 * time.Second

// setLimits replaces the teams' limits.
func (c *InvariantChecker) setLimits(limits map[string][2]float64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.limits = limits
}

// MarkFaultsOver has the checker demand progress: no fault is injected any more.
func (c *InvariantChecker) MarkFaultsOver() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.faultsOver = true
}

// RecordUnanswered records a question about a job that got no answer: none at all, or a refusal, which is none.
func (c *InvariantChecker) RecordUnanswered(id string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	n, _ := wire.JobNumber(id)
	t := c.jobs[n]
	switch {
	case t == nil || !c.faultsOver || !t.accepted || t.cancelRequested:
	case t.unansweredSince.IsZero():
		t.unansweredSince = time.Now()
	case time.Since(t.unansweredSince) > forgottenAfter:
		c.violate("forgotten", "no question about %s was answered for %v", id, time.Since(t.unansweredSince))
		t.unansweredSince = time.Now()
	}
}

// jobRecord is what users were answered about a job, and what its tasks did.
type jobRecord struct {
	spec            *wire.JobSpec
	starts          int
	accepted        bool         // as a user was answered
	done            map[int]bool // tasks
	finalState      string       // as a user was answered; "" for none
	cancelRequested bool         // its user asked to cancel it
	cancelledAt     time.Time    // when that was confirmed
	taskZones       map[int]string
	stateChangedAt  time.Time // when a user was answered first that it is accepted, done or cancelled
	submittedAt     time.Time // when its user began to submit it
	startedAt       time.Time // when its first task started, of a gang all at once; zero: not yet
	// unansweredSince is since when no question about it was answered, all faults over; zero: the last one was.
	unansweredSince time.Time
	// placeableSince is since when a task of it waits, all faults over, though a machine that fits has room and its
	// team is under its limit.
	placeableSince       time.Time
	replicaUpSeconds     float64 // replicas' seconds, from replicaStartupGrace on
	replicaWantedSeconds float64
}

// NewInvariantChecker makes a checker for teams' limits and a bound of cancellations.
func NewInvariantChecker(limits map[string][2]float64, cancelBound time.Duration) *InvariantChecker {
	return &InvariantChecker{
		limits:      limits,
		cancelBound: cancelBound,
		jobs:        map[uint64]*jobRecord{},
		placements:  map[string]map[string]bool{},
		usage:       map[string][2]float64{},
	}
}

// violate records a violation of a rule.
func (c *InvariantChecker) violate(rule, format string, args ...any) {
	c.violations = append(c.violations, time.Now().Format("15:04:05.000 ")+rule+": "+fmt.Sprintf(format, args...))
}

// RegisterJob records that a user begins to submit a job.
func (c *InvariantChecker) RegisterJob(s *wire.JobSpec) {
	c.mu.Lock()
	defer c.mu.Unlock()
	n, _ := wire.JobNumber(s.ID)
	if t := c.jobs[n]; t != nil { // a repeat, or a new try after a refusal
		if !t.accepted && t.starts == 0 {
			t.spec = s
		}
		return
	}
	c.jobs[n] = &jobRecord{spec: s, done: map[int]bool{}, taskZones: map[int]string{}, submittedAt: time.Now()}
}

// RegisterFinishedJob records a job that was done long ago.
func (c *InvariantChecker) RegisterFinishedJob(s *wire.JobSpec) {
	c.mu.Lock()
	defer c.mu.Unlock()
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
	c.jobs[n] = t
}

// Spec is a job as it was submitted, for the workers; nil if nobody submitted it.
func (c *InvariantChecker) Spec(n uint64) *wire.JobSpec {
	c.mu.Lock()
	defer c.mu.Unlock()
	if t := c.jobs[n]; t != nil {
		return t.spec
	}
	return nil
}

// RecordStart records that a task has its image on a machine, and checks whether it may run there.
func (c *InvariantChecker) RecordStart(task string, worker *Worker) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.starts++
	n, k, _ := wire.ParseTaskID(task)
	t := c.jobs[n]
	if t == nil {
		c.violate("invented", "%s starts, nobody submitted it", task)
		return
	}
	if len(c.placements[task]) > 0 {
		c.violate("ran_twice", "%s starts on %s and is on %v", task, worker.Name, c.placements[task])
	}
	if c.placements[task] == nil {
		c.placements[task] = map[string]bool{}
	}
	c.checkPlacement(t, task, k, worker)
	if !t.cancelledAt.IsZero() && time.Since(t.cancelledAt) > c.cancelBound {
		c.violate("ran_cancelled", "%s starts %v after its cancellation", task, time.Since(t.cancelledAt))
	}
	if !t.cancelledAt.IsZero() {
		c.startsAfterCancel++
	}
	t.starts++
	t.placeableSince = time.Time{}
	if !c.placements[task][worker.Name] {
		c.placements[task][worker.Name] = true
		c.adjustUsage(t.spec, 1)
	}
	t.taskZones[k] = worker.Zone
	if t.startedAt.IsZero() && (t.spec.Shape != wire.Gang || len(t.taskZones) == t.spec.Tasks) {
		t.startedAt = time.Now()
	}
	c.checkQuota(t.spec.Team)
}

// checkPlacement checks whether a machine is one that a task's job may use, beside the job's other tasks.
func (c *InvariantChecker) checkPlacement(t *jobRecord, task string, index int, worker *Worker) {
	sameZone, otherZones := 0, 0
	for other, zone := range t.taskZones {
		switch {
		case other == index:
		case zone == worker.Zone:
			sameZone++
		default:
			otherZones++
		}
	}
	s := t.spec
	if !allowsMachine(s, worker.Type, worker.Zone, worker.Spot) || s.SameZone && otherZones > 0 ||
		s.Spread && sameZone+1 > maxTasksPerZone(s) {
		c.violate("wrong_place", "%s on %s (%s, %s, spot %v) with %d there and %d elsewhere",
			task, worker.Name, worker.Type, worker.Zone, worker.Spot, sameZone, otherZones)
	}
}

// allowsMachine reports whether a job may use machines of a type, zone and kind.
func allowsMachine(s *wire.JobSpec, machineType, zone string, spot bool) bool {
	return (s.Types == nil || slices.Contains(s.Types, machineType)) &&
		(s.Zone == nil || *s.Zone == zone) &&
		(!spot || s.Spot)
}

// maxTasksPerZone is how many tasks of a spread job one zone may have.
func maxTasksPerZone(s *wire.JobSpec) int { return (s.Tasks + 1) / 2 }

// adjustUsage adds the resources of so many tasks of a job to its team's.
func (c *InvariantChecker) adjustUsage(s *wire.JobSpec, tasks float64) {
	u := c.usage[s.Team]
	c.usage[s.Team] = [2]float64{u[0] + tasks*s.CPUs, u[1] + tasks*s.GPUs}
}

// roundingTolerance is by how much a sum may be off after many changes.
const roundingTolerance = 1e-6

// checkQuota checks whether a team uses more than its limit.
func (c *InvariantChecker) checkQuota(team string) {
	u := c.usage[team]
	limit := c.limits[team]
	if limit[0] > 0 && u[0] > limit[0]+roundingTolerance || limit[1] > 0 && u[1] > limit[1]+roundingTolerance {
		c.violate("quota", "%s uses %g CPUs and %g GPUs", team, u[0], u[1])
	}
}

// recomputeUsage adds up plainly what the teams use, with which the sums in usage must agree.
func (c *InvariantChecker) recomputeUsage() map[string][2]float64 {
	sum := map[string][2]float64{}
	for task, machines := range c.placements {
		n, _, _ := wire.ParseTaskID(task)
		s := c.jobs[n].spec
		u, k := sum[s.Team], float64(len(machines))
		sum[s.Team] = [2]float64{u[0] + k*s.CPUs, u[1] + k*s.GPUs}
	}
	return sum
}

// RecordExit records that a task is off a machine.
func (c *InvariantChecker) RecordExit(task string, worker *Worker, done bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	n, k, _ := wire.ParseTaskID(task)
	t := c.jobs[n]
	if t == nil {
		return
	}
	if c.placements[task][worker.Name] {
		c.adjustUsage(t.spec, -1)
	}
	delete(c.placements[task], worker.Name)
	if len(c.placements[task]) == 0 {
		delete(c.placements, task)
		delete(t.taskZones, k)
	}
	if done {
		t.done[k] = true
	}
}

// Check checks what can only be seen over time: tasks of cancelled jobs that are still there, and the checker's own
// sums. It counts the time of replicas, and is called every checkInterval.
func (c *InvariantChecker) Check() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, t := range c.jobs {
		if t.spec.Shape == wire.Service && t.accepted && !t.cancelRequested &&
			time.Since(t.submittedAt) > replicaStartupGrace {
			t.replicaWantedSeconds += checkInterval.Seconds() * float64(t.spec.Tasks)
			t.replicaUpSeconds += checkInterval.Seconds() * float64(len(t.taskZones))
		}
	}
	recomputed := c.recomputeUsage()
	for team, u := range c.usage {
		if p := recomputed[team]; math.Abs(u[0]-p[0]) > roundingTolerance || math.Abs(u[1]-p[1]) > roundingTolerance {
			c.violate("miscounted", "%s uses %v, counted as %v", team, p, u)
		}
		c.usage[team] = recomputed[team]
	}
	for task, machines := range c.placements {
		n, _, _ := wire.ParseTaskID(task)
		t := c.jobs[n]
		if late := time.Since(t.cancelledAt); !t.cancelledAt.IsZero() && late > c.cancelBound {
			c.violate("ran_cancelled", "%s is on %v %v after its cancellation", task, machines, late)
			t.cancelledAt = time.Now() // once is enough
		}
	}
}

// RecordCancelRequest records that a user begins to ask for a cancellation.
func (c *InvariantChecker) RecordCancelRequest(id string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	n, _ := wire.JobNumber(id)
	if t := c.jobs[n]; t != nil {
		t.cancelRequested = true
	}
}

// ClientView is what users had been answered about a job when a request began. Its answer may be compared with that
// alone: what another user is answered meanwhile may be newer.
type ClientView struct {
	accepted    bool
	finalState  string
	justChanged bool // within racingReadWindow
}

// racingReadWindow is within which time after a change a question counts as a racing read.
const racingReadWindow = 100 * time.Millisecond

// ClientViewOf is what users have been answered about a job by now.
func (c *InvariantChecker) ClientViewOf(id string) ClientView {
	c.mu.Lock()
	defer c.mu.Unlock()
	n, _ := wire.JobNumber(id)
	t := c.jobs[n]
	if t == nil {
		return ClientView{}
	}
	return ClientView{
		accepted:    t.accepted,
		finalState:  t.finalState,
		justChanged: !t.stateChangedAt.IsZero() && time.Since(t.stateChangedAt) < racingReadWindow,
	}
}

// RecordResponse records an answer that a user got to a submission, a poll or a cancellation, and checks whether it
// agrees with what users had been answered before and with what the tasks did.
func (c *InvariantChecker) RecordResponse(id, operation string, before ClientView, code int, status *wire.JobStatus) {
	c.mu.Lock()
	defer c.mu.Unlock()
	n, _ := wire.JobNumber(id)
	t := c.jobs[n]
	ok := code == http.StatusOK || code == http.StatusCreated
	if t == nil {
		if ok {
			c.violate("invented", "%s of %s got %d", operation, id, code)
		}
		return
	}
	if forgets := isForgetful(operation, code); before.accepted && forgets {
		c.violate("forgotten", "%s of %s got %d", operation, id, code)
	} else if !ok {
		return
	}
	if before.justChanged {
		c.racingReads++
	}
	t.unansweredSince = time.Time{}
	if !t.accepted && (operation == operationSubmit || operation == operationPoll) {
		t.accepted = true
		t.stateChangedAt = time.Now()
	}
	c.recordState(t, operation, before, status)
}

// isForgetful reports whether an answer denies that a job exists that was accepted.
func isForgetful(operation string, code int) bool {
	malformed := code == http.StatusBadRequest || code == http.StatusUnprocessableEntity
	return code == http.StatusNotFound || operation == operationSubmit && malformed
}

// recordState checks and records the state of a job in an answer.
func (c *InvariantChecker) recordState(t *jobRecord, operation string, before ClientView, status *wire.JobStatus) {
	id := t.spec.ID
	if status.State == wire.JobDone && len(t.done) < t.spec.Tasks {
		c.violate("not_done", "%s of %s says done, %d of %d are", operation, id, len(t.done), t.spec.Tasks)
	}
	if before.finalState != "" && status.State != before.finalState {
		c.violate("went_back", "%s was called %s and now %s", id, before.finalState, status.State)
	}
	if status.State == wire.JobCancelled && !t.cancelRequested {
		c.violate("went_back", "%s is called cancelled, its user did not cancel it", id)
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
