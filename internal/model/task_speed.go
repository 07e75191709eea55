package model

import "math"

// This file estimates task durations and detects slow machines, both from completed tasks. Owners' estimates are often
// wrong, at times most of them in the same direction, and a faulty machine may run its tasks much slower than others.
// Both statistics are observations of the current leader and are not in the log, so another process that becomes the
// leader starts without them.
//
// Durations are compared as ratios and therefore averaged as logarithms: half as long and twice as long have the same
// weight. The peers of a task are the other tasks of its job, which share its estimate.

// average is a weighted mean of values, in which older values may count less.
type average struct{ weight, mean float64 }

// add adds a value. limit is the maximum total weight of all values. Once it is reached, each new value reduces the
// weights of the older ones.
func (a *average) add(value, weight, limit float64) {
	a.weight = min(a.weight+weight, limit)
	a.mean += (value - a.mean) * min(1, weight/a.weight)
}

const (
	biasWindowJobs = 20.0 // total weight, in jobs, over which the bias of a class is averaged
	biasPriorJobs  = 3.0  // weight of the owners' estimates, in jobs
	maxBias        = 4.0  // upper limit of the correction factor, and of its inverse

	slowdownWindowTasks = 8.0        // number of tasks over which a machine's slowdown is averaged
	minComparedTasks    = 4          // completed tasks of a job needed before other tasks are compared with them
	minComparedJobs     = 2          // jobs whose tasks must be slow, as the tasks of one job may differ by chance
	slowFactor          = 1.8        // a machine is slow if its tasks take this many times as long as their peers
	minTimedDuration    = Time(5e9)  // shorter tasks are not compared
	slowPeriod          = Time(60e9) // base of the time for which a slow machine gets only services (see markSlow)
	maxSlowDoublings    = 5
	longSilence         = Time(10e9) // a machine that has been silent for longer may have hung
)

// durationStats holds the bias of the owners' estimates as observed by the current leader.
type durationStats struct {
	classBias []average // by class: mean logarithm of the ratio of actual to estimated duration
}

// ExpectedSeconds returns the expected duration of a task of a job in seconds: the owner's estimate, corrected by the
// bias of its class.
func (d *durationStats) ExpectedSeconds(j *Job) float64 {
	if int(j.Class) >= len(d.classBias) {
		return j.Spec.EstimateS
	}
	bias := d.classBias[j.Class]
	factor := math.Exp(bias.mean * bias.weight / (bias.weight + biasPriorJobs))
	return j.Spec.EstimateS * max(1/maxBias, min(maxBias, factor))
}

// recordBias updates the bias of a job's class with the duration of one of its tasks, given as the logarithm of
// seconds.
func (d *durationStats) recordBias(j *Job, logSeconds float64) {
	if j.Spec.EstimateS <= 0 {
		return
	}
	for int(j.Class) >= len(d.classBias) {
		d.classBias = append(d.classBias, average{})
	}
	// All tasks of a job share its estimate, so together they count as one job.
	d.classBias[j.Class].add(logSeconds-math.Log(j.Spec.EstimateS), 1/float64(len(j.Tasks)), biasWindowJobs)
}

// recordDuration updates the statistics with the duration of a task that has completed on a machine. It reports whether
// the machine is thereby found to be slow.
func (d *durationStats) recordDuration(machine *Machine, r *Run, now Time) (slow bool) {
	j := r.Job
	took := now - r.StartedAt
	if r.StartedAt == 0 || took < minTimedDuration || r.Inherited || r.Attempt > 1 && j.Spec.CheckpointIntervalS > 0 ||
		r.StartedAt < machine.Contact.silenceEndedAt {
		return false // start not observed, too short to compare, resumed from a checkpoint, or possibly hung meanwhile
	}
	logSeconds := math.Log(took.Seconds())
	d.recordBias(j, logSeconds)
	if j.Kind != Array {
		return false // a gang runs at the speed of its slowest machine
	}
	if j.Observed.logDurations.weight >= minComparedTasks {
		machine.Health.recordSlowdown(r, logSeconds-j.Observed.logDurations.mean)
	}
	j.Observed.logDurations.add(logSeconds, 1, math.Inf(1))
	return !machine.IsSlow(now) && machine.Health.slowdown.weight >= minComparedTasks &&
		machine.Health.exceedsSlowFactor()
}

// recordSlowdown adds a completed task to the machine's slowdown. logRatio is the logarithm of the ratio of its
// duration to that of its peers.
func (h *MachineHealth) recordSlowdown(r *Run, logRatio float64) {
	if r.StartedAt < h.slowFoundAt {
		return
	}
	h.slowdown.add(logRatio, 1, slowdownWindowTasks)
	if logRatio < math.Log(slowFactor) {
		h.lastOnTimeStart = max(h.lastOnTimeStart, r.StartedAt)
	}
	if h.lastSlowdownJob != r.Job.ID {
		h.lastSlowdownJob = r.Job.ID
		h.slowdownJobs++
	}
}

// exceedsSlowFactor reports whether the tasks of several jobs that completed on the machine took slowFactor times as
// long as their peers on average.
func (h *MachineHealth) exceedsSlowFactor() bool {
	return h.slowdownJobs >= minComparedJobs && h.slowdown.mean > math.Log(slowFactor)
}

// IsSlow reports whether the machine was recently found to be slow. Speed does not matter to services, so the machine
// may get further services, and its runs stay.
func (machine *Machine) IsSlow(now Time) bool { return now < machine.Health.SlowUntil }

// markSlow restricts the machine to services until SlowUntil. The restriction lasts twice slowPeriod the first time and
// doubles with each further detection, up to maxSlowDoublings doublings of slowPeriod. After that it gets other tasks
// again, since the cause may have passed.
func (h *MachineHealth) markSlow(now Time) {
	h.slowCount++
	h.SlowUntil = now + slowPeriod<<min(h.slowCount, maxSlowDoublings)
	h.slowFoundAt = now
	h.slowdown = average{}
	h.slowdownJobs = 0
	h.lastSlowdownJob = 0
}

// DetectSlow reports whether the running tasks on a machine show that it is slow, and if so marks it as slow. At least
// minComparedTasks running tasks must be late (see isLate), and they must belong to at least two jobs unless completed
// tasks already exceed the slow factor. Completed tasks alone would show that the machine is slow much later.
func (d *durationStats) DetectSlow(machine *Machine, now Time) bool { return machine.detectSlow(now) }

func (machine *Machine) detectSlow(now Time) bool {
	if machine.IsSlow(now) {
		return false
	}
	lateRuns, severalJobs := 0, false
	var firstJob JobID
	for _, r := range machine.Runs {
		if !machine.isLate(r, now) {
			continue
		}
		if lateRuns++; lateRuns == 1 {
			firstJob = r.Job.ID
		}
		severalJobs = severalJobs || r.Job.ID != firstJob
	}
	if lateRuns < minComparedTasks || !severalJobs && !machine.Health.exceedsSlowFactor() {
		return false
	}
	machine.Health.markSlow(now)
	return true
}

// isLate reports whether a run has taken much longer than its peers and counts as evidence that its machine is slow. A
// run does not count if, since it started, another task was started on the machine and took less than slowFactor times
// as long as its peers, the machine was found to be slow, or the machine was silent for so long that it may have hung.
func (machine *Machine) isLate(r *Run, now Time) bool {
	peers := &r.Job.Observed.logDurations
	if r.Job.Kind != Array || peers.weight < minComparedTasks {
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
