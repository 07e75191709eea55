package model

import "math"

// This file learns from what completes how long work takes. Owners' estimates are often
// wrong, on some days mostly in one direction, and a faulty machine may run its tasks much
// slower than others do. Both are the leader's own observations; its successor learns anew.
//
// Durations are compared as ratios, so in logarithms: half as long and twice as long weigh the
// same. Peers of a task are the other tasks of its job, which have the same estimate.

// average is a mean of recent values.
type average struct{ weight, mean float64 }

// add takes in a value. The limit is for how much weight all values together count at most: older ones fade.
func (a *average) add(value, weight, limit float64) {
	a.weight = min(a.weight+weight, limit)
	a.mean += (value - a.mean) * min(1, weight/a.weight)
}

const (
	biasWindowJobs = 20.0 // jobs of a class that its bias is the average of
	biasPriorJobs  = 3.0  // jobs' worth of trust in the owners
	maxBias        = 4.0  // a bias beyond that is not believed

	paceWindowTasks  = 8.0 // tasks that a machine's pace is the average of
	minPaceTasks     = 4   // tasks that must have completed before one is judged by another
	minPaceJobs      = 2   // jobs that must agree: one job's tasks may differ by chance
	slowFactor       = 1.8 // a machine is slow if its tasks take so many times as long as their peers
	minTimedDuration = Time(5e9)
	slowPeriod       = Time(60e9) // it gets no arrays and gangs for so long, each time twice as long
	maxSlowDoublings = 5
	longSilence      = Time(10e9) // a machine of which nothing came for so long may have hung
)

// durationStats holds what this leader has learnt of how wrong owners' estimates are.
type durationStats struct {
	classBias []average // by class: by how much, in logarithms
}

// ExpectedSeconds is how long a task of a job is expected to run, in seconds: its owner's estimate,
// corrected by how wrong those of its class have been.
func (d *durationStats) ExpectedSeconds(j *Job) float64 {
	if int(j.Class) >= len(d.classBias) {
		return j.Spec.EstimateS
	}
	bias := d.classBias[j.Class]
	factor := math.Exp(bias.mean * bias.weight / (bias.weight + biasPriorJobs))
	return j.Spec.EstimateS * max(1/maxBias, min(maxBias, factor))
}

// recordBias learns how wrong the estimate of a job was, from the duration of one of its tasks.
func (d *durationStats) recordBias(j *Job, logSeconds float64) {
	if j.Spec.EstimateS <= 0 {
		return
	}
	for int(j.Class) >= len(d.classBias) {
		d.classBias = append(d.classBias, average{})
	}
	// A job counts once, however many tasks it has: they share the estimate.
	d.classBias[j.Class].add(logSeconds-math.Log(j.Spec.EstimateS), 1/float64(len(j.Tasks)), biasWindowJobs)
}

// recordDuration learns from a task that has completed on a machine. It tells whether that shows
// the machine to be slow.
func (d *durationStats) recordDuration(machine *Machine, r *Run, now Time) (slow bool) {
	j := r.Job
	took := now - r.StartedAt
	if r.StartedAt == 0 || took < minTimedDuration || r.Inherited || r.Attempt > 1 && j.Spec.CheckpointIntervalS > 0 ||
		r.StartedAt < machine.Contact.silenceEndedAt {
		return false // observed too late, too short to tell, continued from a checkpoint, or hung meanwhile
	}
	logSeconds := math.Log(took.Seconds())
	d.recordBias(j, logSeconds)
	if j.Kind != Array {
		return false // the slowest machine sets a gang's speed
	}
	if j.Observed.taskTimes.weight >= minPaceTasks {
		machine.Health.recordPace(r, logSeconds-j.Observed.taskTimes.mean)
	}
	j.Observed.taskTimes.add(logSeconds, 1, math.Inf(1))
	return !machine.IsSlow(now) && machine.Health.pace.weight >= minPaceTasks && machine.Health.isPaceSlow()
}

// recordPace takes in how long a task took against its peers, as the logarithm of the ratio.
func (h *MachineHealth) recordPace(r *Run, logRatio float64) {
	if r.StartedAt < h.slowFoundAt {
		return
	}
	h.pace.add(logRatio, 1, paceWindowTasks)
	if logRatio < math.Log(slowFactor) {
		h.lastOnTimeStart = max(h.lastOnTimeStart, r.StartedAt)
	}
	if h.lastPaceJob != r.Job.ID {
		h.lastPaceJob = r.Job.ID
		h.paceJobs++
	}
}

// isPaceSlow tells whether what completed on the machine took too long, by more than one job.
func (h *MachineHealth) isPaceSlow() bool {
	return h.paceJobs >= minPaceJobs && h.pace.mean > math.Log(slowFactor)
}

// IsSlow tells whether a machine was found to be slow recently. Speed is nothing to
// services, so it keeps them, and its place for more; nothing moves off it.
func (machine *Machine) IsSlow(now Time) bool { return now < machine.Health.SlowUntil }

// markSlow has a machine get only services for a while. Then it is tried again: what
// slows machines may pass.
func (h *MachineHealth) markSlow(now Time) {
	h.slowCount++
	h.SlowUntil = now + slowPeriod<<min(h.slowCount, maxSlowDoublings)
	h.slowFoundAt = now
	h.pace = average{}
	h.paceJobs = 0
	h.lastPaceJob = 0
}

// DetectSlow tells whether a machine shows to be slow by what still runs there: tasks of two
// jobs have taken much longer than their peers, and none that started as late as they did has
// completed in time. What a slow machine completes shows it too, but long after.
func (d *durationStats) DetectSlow(machine *Machine, now Time) bool { return machine.detectSlow(now) }

func (machine *Machine) detectSlow(now Time) bool {
	if machine.IsSlow(now) {
		return false
	}
	lateRuns, twoJobs := 0, false
	var firstJob JobID
	for _, r := range machine.Runs {
		if !machine.isLate(r, now) {
			continue
		}
		if lateRuns++; lateRuns == 1 {
			firstJob = r.Job.ID
		}
		twoJobs = twoJobs || r.Job.ID != firstJob
	}
	if lateRuns < minPaceTasks || !twoJobs && !machine.Health.isPaceSlow() {
		return false
	}
	machine.Health.markSlow(now)
	return true
}

// isLate tells whether a run has taken much longer than its peers did, and its machine has not been cleared since it
// started: by a task that completed in time, by having been found slow before, or by a silence in which it may have
// hung.
func (machine *Machine) isLate(r *Run, now Time) bool {
	peers := &r.Job.Observed.taskTimes
	if r.Job.Kind != Array || peers.weight < minPaceTasks {
		return false
	}
	if r.Phase != Running || r.Stop || r.Inherited || r.StartedAt == 0 {
		return false
	}
	if r.StartedAt < machine.Contact.silenceEndedAt ||
		r.StartedAt <= max(machine.Health.lastOnTimeStart, machine.Health.slowFoundAt) {
		return false
	}
	took := now - r.StartedAt
	return took >= minTimedDuration && math.Log(took.Seconds())-peers.mean >= math.Log(slowFactor)
}
