package model

import "math"

// This file learns task durations from completions. Owners' estimates are often wrong, on some days mostly in one
// direction, and a faulty machine may run its tasks much slower than others. Both statistics are observations of the
// current leader; its successor starts anew.
//
// Durations are compared as ratios and therefore averaged as logarithms: half as long and twice as long have the same
// weight. The peers of a task are the other tasks of its job, which share its estimate.

// average is a weighted mean of recent values.
type average struct{ weight, mean float64 }

// add adds a value. The limit is the maximum total weight of all values; beyond it older values fade.
func (a *average) add(value, weight, limit float64) {
	a.weight = min(a.weight+weight, limit)
	a.mean += (value - a.mean) * min(1, weight/a.weight)
}

const (
	biasWindowJobs = 20.0 // number of jobs of a class over which its bias is averaged
	biasPriorJobs  = 3.0  // weight of the owners' estimates, in jobs
	maxBias        = 4.0  // upper limit of the correction factor, and of its inverse

	slowdownWindowTasks = 8.0 // number of tasks over which a machine's slowdown is averaged
	minComparedTasks    = 4   // completed tasks needed before others are compared with them
	minComparedJobs     = 2   // jobs that must agree, as the tasks of one job may differ by chance
	slowFactor          = 1.8 // a machine is slow if its tasks take this many times as long as their peers
	minTimedDuration    = Time(5e9)
	slowPeriod          = Time(60e9) // base time without arrays and gangs; doubles with each finding
	maxSlowDoublings    = 5
	longSilence         = Time(10e9) // a machine that has been silent for longer may have hung
)

// durationStats holds the error of the owners' estimates as learned by the current leader.
type durationStats struct {
	classBias []average // by class: mean logarithm of actual to estimated duration
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

// recordBias updates the bias of a job's class from the duration of one of its tasks.
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

// recordDuration learns from a task that has completed on a machine. It reports whether that shows the machine to be
// slow.
func (d *durationStats) recordDuration(machine *Machine, r *Run, now Time) (slow bool) {
	j := r.Job
	took := now - r.StartedAt
	if r.StartedAt == 0 || took < minTimedDuration || r.Inherited || r.Attempt > 1 && j.Spec.CheckpointIntervalS > 0 ||
		r.StartedAt < machine.Contact.silenceEndedAt {
		return false // start not observed, too short to compare, resumed from a checkpoint, or hung meanwhile
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

// recordSlowdown adds the duration of a task relative to its peers, as the logarithm of the ratio.
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

// exceedsSlowFactor reports whether completed tasks of more than one job took too long on the machine.
func (h *MachineHealth) exceedsSlowFactor() bool {
	return h.slowdownJobs >= minComparedJobs && h.slowdown.mean > math.Log(slowFactor)
}

// IsSlow reports whether the machine was recently found to be slow. Speed does not matter to services, so the machine
// keeps its services and may get more, and nothing moves off it.
func (machine *Machine) IsSlow(now Time) bool { return now < machine.Health.SlowUntil }

// markSlow restricts the machine to services for a while. Afterwards it is tried again, as the cause may have passed.
func (h *MachineHealth) markSlow(now Time) {
	h.slowCount++
	h.SlowUntil = now + slowPeriod<<min(h.slowCount, maxSlowDoublings)
	h.slowFoundAt = now
	h.slowdown = average{}
	h.slowdownJobs = 0
	h.lastSlowdownJob = 0
}

// DetectSlow reports whether tasks still running show a machine to be slow: tasks of two jobs have taken much longer
// than their peers, and no task that started as late as they did has completed in time. Tasks that complete on a slow
// machine show it as well, but much later.
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

// isLate reports whether a run has taken much longer than its peers, and its machine has not been cleared since the run
// started: by a task that completed in time, by an earlier finding that the machine is slow, or by a silence in which
// it may have hung.
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
