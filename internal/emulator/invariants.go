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

// InvariantChecker observes every task on a machine and every response to a user, and records violations of the
// protocol's rules.
type InvariantChecker struct {
	mu                sync.Mutex
	limits            map[string][2]float64 // by team: maximum CPUs and GPUs, 0: unlimited
	maxCancelDuration time.Duration         // time within which a confirmed cancellation must take effect
	jobs              map[uint64]*jobRecord
	placements        map[string]map[string]bool // by task: machines on which it has started
	usage             map[string][2]float64      // by team: CPUs and GPUs of the tasks in placements
	violations        []string
	starts            int
	// racingReads counts the responses to requests sent within racingReadWindow after a user was first told that the
	// job is accepted, done or cancelled.
	racingReads       int
	startsAfterCancel int  // task starts after the cancellation of the job was confirmed
	faultsOver        bool // no more faults are injected
}

// maxUnansweredDuration is how long all polls of an accepted job may stay unanswered once all faults are over.
const maxUnansweredDuration = 75 * time.Second

func (c *InvariantChecker) setLimits(limits map[string][2]float64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.limits = limits
}

// MarkFaultsOver tells the checker that no more faults are injected. From then on, the checker also checks that jobs
// make progress and that polls are answered.
func (c *InvariantChecker) MarkFaultsOver() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.faultsOver = true
}

// RecordUnanswered records that a poll of a job got no response, or one with an error status. Once faults are over, it
// records a violation if all polls of an accepted job whose cancellation was not requested have failed for longer than
// maxUnansweredDuration.
func (c *InvariantChecker) RecordUnanswered(id string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	n, _ := wire.ParseJobID(id)
	job := c.jobs[n]
	switch {
	case job == nil || !c.faultsOver || !job.accepted || job.cancelRequested:
	case job.unansweredSince.IsZero():
		job.unansweredSince = time.Now()
	case time.Since(job.unansweredSince) > maxUnansweredDuration:
		c.recordViolation("forgotten", "no poll of %s was answered for %v", id, time.Since(job.unansweredSince))
		job.unansweredSince = time.Now()
	}
}

// jobRecord holds what users were told about a job, and the starts, placements and completions of its tasks.
type jobRecord struct {
	spec            *wire.JobSpec
	starts          int
	accepted        bool           // a user was told that the job is accepted
	done            map[int]bool   // completed tasks by index
	finalState      string         // done or cancelled, as a user was told; "" until then
	cancelRequested bool           // the job's user requested the cancellation
	cancelledAt     time.Time      // when the cancellation was confirmed; zero until then
	taskZones       map[int]string // zones of the tasks on machines, by task index
	stateChangedAt  time.Time      // when the state known to users last changed
	submittedAt     time.Time      // when the job's user first tried to submit it
	startedAt       time.Time      // when the first task started, or the last one of a gang; zero until then
	// unansweredSince is when the current series of failed polls began, once faults are over; zero if the latest poll
	// was answered.
	unansweredSince time.Time
	// placeableSince is when the job last became placeable, that is pending with canPlaceNext true, once faults are
	// over; zero while it is not placeable. A task start resets it.
	placeableSince       time.Time
	replicaUpSeconds     float64 // time that replicas were up after replicaStartupGrace, summed over replicas
	replicaWantedSeconds float64 // time that replicas should have been up after replicaStartupGrace, over all replicas
}

// NewInvariantChecker returns a checker, given the CPU and GPU limits of each team and the time within which a
// confirmed cancellation must take effect.
func NewInvariantChecker(limits map[string][2]float64, maxCancelDuration time.Duration) *InvariantChecker {
	return &InvariantChecker{
		limits:            limits,
		maxCancelDuration: maxCancelDuration,
		jobs:              map[uint64]*jobRecord{},
		placements:        map[string]map[string]bool{},
		usage:             map[string][2]float64{},
	}
}

func (c *InvariantChecker) recordViolation(rule, format string, args ...any) {
	c.violations = append(c.violations, time.Now().Format("15:04:05.000 ")+rule+": "+fmt.Sprintf(format, args...))
}

// RegisterJob records that a user starts to submit a job.
func (c *InvariantChecker) RegisterJob(s *wire.JobSpec) {
	c.mu.Lock()
	defer c.mu.Unlock()
	n, _ := wire.ParseJobID(s.ID)
	if job := c.jobs[n]; job != nil { // a repeated submission, or a new job with the ID of a rejected one
		if !job.accepted && job.starts == 0 {
			job.spec = s
		}
		return
	}
	c.jobs[n] = &jobRecord{spec: s, done: map[int]bool{}, taskZones: map[int]string{}, submittedAt: time.Now()}
}

// RegisterFinishedJob records a job that was done before the test started.
func (c *InvariantChecker) RegisterFinishedJob(s *wire.JobSpec) {
	c.mu.Lock()
	defer c.mu.Unlock()
	n, _ := wire.ParseJobID(s.ID)
	job := &jobRecord{
		spec:        s,
		done:        map[int]bool{},
		taskZones:   map[int]string{},
		accepted:    true,
		finalState:  wire.JobDone,
		submittedAt: time.Now(),
	}
	for k := range s.Tasks {
		job.done[k] = true
	}
	c.jobs[n] = job
}

// Spec returns a job as its user submitted it, or nil if no job with the number was submitted.
func (c *InvariantChecker) Spec(n uint64) *wire.JobSpec {
	c.mu.Lock()
	defer c.mu.Unlock()
	if job := c.jobs[n]; job != nil {
		return job.spec
	}
	return nil
}

// RecordStart records that a task starts on a machine. It checks that the job was submitted and may use the machine,
// that the task is on no machine yet, that maxCancelDuration has not passed since the job's cancellation was confirmed,
// and that the team stays within its limits.
func (c *InvariantChecker) RecordStart(task string, worker *Worker) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.starts++
	n, k, _ := wire.ParseTaskID(task)
	job := c.jobs[n]
	if job == nil {
		c.recordViolation("invented", "%s starts, but was never submitted", task)
		return
	}
	if len(c.placements[task]) > 0 {
		c.recordViolation("ran_twice", "%s starts on %s while it is on %v", task, worker.Name, c.placements[task])
	}
	if c.placements[task] == nil {
		c.placements[task] = map[string]bool{}
	}
	c.checkPlacement(job, task, k, worker)
	if !job.cancelledAt.IsZero() && time.Since(job.cancelledAt) > c.maxCancelDuration {
		c.recordViolation("ran_cancelled", "%s starts %v after its cancellation", task, time.Since(job.cancelledAt))
	}
	if !job.cancelledAt.IsZero() {
		c.startsAfterCancel++
	}
	job.starts++
	job.placeableSince = time.Time{}
	if !c.placements[task][worker.Name] {
		c.placements[task][worker.Name] = true
		c.adjustUsage(job.spec, 1)
	}
	job.taskZones[k] = worker.Zone
	if job.startedAt.IsZero() && (job.spec.Shape != wire.Gang || len(job.taskZones) == job.spec.Tasks) {
		job.startedAt = time.Now()
	}
	c.checkQuota(job.spec.Team)
}

// checkPlacement checks that a task's job may use a machine, given the zones of the job's other tasks.
func (c *InvariantChecker) checkPlacement(job *jobRecord, task string, index int, worker *Worker) {
	sameZone, otherZones := 0, 0
	for other, zone := range job.taskZones {
		switch {
		case other == index:
		case zone == worker.Zone:
			sameZone++
		default:
			otherZones++
		}
	}
	spec := job.spec
	if !allowsMachine(spec, worker.Type, worker.Zone, worker.Spot) || spec.SameZone && otherZones > 0 ||
		spec.Spread && sameZone+1 > maxTasksPerZone(spec) {
		c.recordViolation("wrong_place",
			"%s on %s (%s, %s, spot %v) with %d other tasks in the zone and %d in other zones",
			task, worker.Name, worker.Type, worker.Zone, worker.Spot, sameZone, otherZones)
	}
}

// allowsMachine reports whether a job may use machines of a type and zone, either spot or on-demand ones.
func allowsMachine(s *wire.JobSpec, machineType, zone string, spot bool) bool {
	return (s.Types == nil || slices.Contains(s.Types, machineType)) &&
		(s.Zone == nil || *s.Zone == zone) &&
		(!spot || s.Spot)
}

// maxTasksPerZone returns the maximum number of tasks of a spread job in one zone.
func maxTasksPerZone(s *wire.JobSpec) int { return (s.Tasks + 1) / 2 }

// adjustUsage adds the resources of the given number of tasks of a job to the usage of its team.
func (c *InvariantChecker) adjustUsage(s *wire.JobSpec, tasks float64) {
	used := c.usage[s.Team]
	c.usage[s.Team] = [2]float64{used[0] + tasks*s.CPUs, used[1] + tasks*s.GPUs}
}

// roundingTolerance is the tolerance, in CPUs or GPUs, for rounding errors that accumulate in usage over many changes.
const roundingTolerance = 1e-6

// checkQuota checks that a team does not exceed its limits.
func (c *InvariantChecker) checkQuota(team string) {
	used := c.usage[team]
	limit := c.limits[team]
	if limit[0] > 0 && used[0] > limit[0]+roundingTolerance || limit[1] > 0 && used[1] > limit[1]+roundingTolerance {
		c.recordViolation("quota", "%s uses %g CPUs and %g GPUs", team, used[0], used[1])
	}
}

// recomputeUsage computes the usage of the teams from placements; the incrementally updated usage must agree with it.
func (c *InvariantChecker) recomputeUsage() map[string][2]float64 {
	sum := map[string][2]float64{}
	for task, machines := range c.placements {
		n, _, _ := wire.ParseTaskID(task)
		s := c.jobs[n].spec
		used, machineCount := sum[s.Team], float64(len(machines))
		sum[s.Team] = [2]float64{used[0] + machineCount*s.CPUs, used[1] + machineCount*s.GPUs}
	}
	return sum
}

// RecordExit records that a task has ended on a machine; done means that it completed.
func (c *InvariantChecker) RecordExit(task string, worker *Worker, done bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	n, k, _ := wire.ParseTaskID(task)
	job := c.jobs[n]
	if job == nil {
		return
	}
	if c.placements[task][worker.Name] {
		c.adjustUsage(job.spec, -1)
	}
	delete(c.placements[task], worker.Name)
	if len(c.placements[task]) == 0 {
		delete(c.placements, task)
		delete(job.taskZones, k)
	}
	if done {
		job.done[k] = true
	}
}

// Check checks that tasks of cancelled jobs leave their machines within maxCancelDuration, and that the checker's own
// usage sums are correct. It also accumulates the replica times, for which it must be called every checkInterval.
func (c *InvariantChecker) Check() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, job := range c.jobs {
		if job.spec.Shape == wire.Service && job.accepted && !job.cancelRequested &&
			time.Since(job.submittedAt) > replicaStartupGrace {
			job.replicaWantedSeconds += checkInterval.Seconds() * float64(job.spec.Tasks)
			job.replicaUpSeconds += checkInterval.Seconds() * float64(len(job.taskZones))
		}
	}
	recomputed := c.recomputeUsage()
	for team, recorded := range c.usage {
		actual := recomputed[team]
		if math.Abs(recorded[0]-actual[0]) > roundingTolerance || math.Abs(recorded[1]-actual[1]) > roundingTolerance {
			c.recordViolation("miscounted", "%s uses %v, but is recorded as using %v", team, actual, recorded)
		}
		c.usage[team] = recomputed[team]
	}
	for task, machines := range c.placements {
		n, _, _ := wire.ParseTaskID(task)
		job := c.jobs[n]
		if sinceCancel := time.Since(job.cancelledAt); !job.cancelledAt.IsZero() && sinceCancel > c.maxCancelDuration {
			c.recordViolation("ran_cancelled", "%s is on %v %v after its cancellation", task, machines, sinceCancel)
			job.cancelledAt = time.Now() // so that the violation is not reported again at each check
		}
	}
}

// RecordCancelRequest records that a user is about to request the cancellation of a job.
func (c *InvariantChecker) RecordCancelRequest(id string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	n, _ := wire.ParseJobID(id)
	if job := c.jobs[n]; job != nil {
		job.cancelRequested = true
	}
}

// ClientView is what users had been told about a job when a request was sent. The response to the request is checked
// only against this view, because another user may be told a newer state before the response arrives.
type ClientView struct {
	accepted    bool
	finalState  string
	justChanged bool // the state changed within racingReadWindow before the request
}

// racingReadWindow is the time after a change of a job's state within which a request counts as a racing read.
const racingReadWindow = 100 * time.Millisecond

// ClientViewOf returns what users have been told about a job so far.
func (c *InvariantChecker) ClientViewOf(id string) ClientView {
	c.mu.Lock()
	defer c.mu.Unlock()
	n, _ := wire.ParseJobID(id)
	job := c.jobs[n]
	if job == nil {
		return ClientView{}
	}
	return ClientView{
		accepted:    job.accepted,
		finalState:  job.finalState,
		justChanged: !job.stateChangedAt.IsZero() && time.Since(job.stateChangedAt) < racingReadWindow,
	}
}

// RecordResponse records the response to a submission, poll or cancellation, and checks that it is consistent with what
// users had been told before the request and with what the tasks did.
func (c *InvariantChecker) RecordResponse(id, operation string, before ClientView, code int, status *wire.JobStatus) {
	c.mu.Lock()
	defer c.mu.Unlock()
	n, _ := wire.ParseJobID(id)
	job := c.jobs[n]
	ok := code == http.StatusOK || code == http.StatusCreated
	if job == nil {
		if ok {
			c.recordViolation("invented", "%s of %s, which was never submitted, got status %d", operation, id, code)
		}
		return
	}
	if denied := deniesAcceptedJob(operation, code); before.accepted && denied {
		c.recordViolation("forgotten", "%s of %s, which was accepted, got status %d", operation, id, code)
	} else if !ok {
		return
	}
	if before.justChanged {
		c.racingReads++
	}
	job.unansweredSince = time.Time{}
	if !job.accepted && (operation == operationSubmit || operation == operationPoll) {
		job.accepted = true
		job.stateChangedAt = time.Now()
	}
	c.recordState(job, operation, before, status)
}

// deniesAcceptedJob reports whether a status code denies that the job was accepted before the request was sent. A
// repeated submission must not be answered with 201, which says that the job is new.
func deniesAcceptedJob(operation string, code int) bool {
	if code == http.StatusNotFound {
		return true
	}
	rejected := code == http.StatusBadRequest || code == http.StatusUnprocessableEntity
	return operation == operationSubmit && (rejected || code == http.StatusCreated)
}

// recordState checks and records the job state in a successful response.
func (c *InvariantChecker) recordState(job *jobRecord, operation string, before ClientView, status *wire.JobStatus) {
	id := job.spec.ID
	if status.State == wire.JobDone && len(job.done) < job.spec.Tasks {
		c.recordViolation("not_done", "%s of %s returned done with %d of %d tasks done",
			operation, id, len(job.done), job.spec.Tasks)
	}
	if before.finalState != "" && status.State != before.finalState {
		c.recordViolation("went_back", "%s was reported as %s and now as %s", id, before.finalState, status.State)
	}
	if status.State == wire.JobCancelled && !job.cancelRequested {
		c.recordViolation("went_back", "%s is reported as cancelled, but its user did not cancel it", id)
	}
	if status.State == wire.JobDone || status.State == wire.JobCancelled {
		if job.finalState == "" {
			job.stateChangedAt = time.Now()
		}
		job.finalState = status.State
	}
	if status.State == wire.JobCancelled && job.cancelledAt.IsZero() {
		job.cancelledAt = time.Now()
	}
}
