package model

import "math"

// This file learns from what completes how long work takes. Owners' estimates are often
// wrong, on some days mostly in one direction, and a faulty machine may run its tasks much
// slower than others do. Both are the leader's own observations; its successor learns anew.
//
// Times are compared as ratios, so in logarithms: half as long and twice as long weigh the
// same. Peers of a task are the other tasks of its job, which have the same estimate.

// average is a mean of recent values.
type average struct{ weight, mean float64 }

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
	slowFactor       = 1.8 // a machine is slow if its tasks take so many times as long as their peers
	minTimedDuration = Time(5e9)
	slowPeriod       = Time(60e9) // it gets no arrays and gangs for so long, each time twice as long
	longSilence      = Time(10e9) // a machine that said nothing for so long may have hung
)

// ExpectedSeconds is how long a task of a job is expected to run, in seconds: its owner's estimate,
// corrected by how wrong those of its class have been.
func (m *Model) ExpectedSeconds(j *Job) float64 {
	if int(j.Class) >= len(m.classBias) {
		return j.Spec.EstimateS
	}
	bias := m.classBias[j.Class]
	factor := math.Exp(bias.mean * bias.weight / (bias.weight + biasPriorJobs))
	return j.Spec.EstimateS * max(1/maxBias, min(maxBias, factor))
}

// recordDuration learns from a task that has completed on a machine. It tells whether that shows
// the machine to be slow.
func (m *Model) recordDuration(machine *Machine, r *Run, now Time) (slow bool) {
	j := r.Job
	took := now - r.StartedAt
	if r.StartedAt == 0 || took < minTimedDuration || r.Inherited || r.Attempt > 1 && j.Spec.CheckpointIntervalS > 0 ||
		r.StartedAt < machine.Contact.silenceEndedAt {
		return false // seen too late, too short to tell, continued from a checkpoint, or hung meanwhile
	}
	logSeconds := math.Log(took.Seconds())
	if j.Spec.EstimateS > 0 {
		for int(j.Class) >= len(m.classBias) {
			m.classBias = append(m.classBias, average{})
		}
		// A job counts once, however many tasks it has: they share the estimate.
		m.classBias[j.Class].add(logSeconds-math.Log(j.Spec.EstimateS), 1/float64(len(j.Tasks)), biasWindowJobs)
	}
	if j.Kind != Array {
		return false // the slowest machine sets a gang's speed
	}
	if j.Observed.taskTimes.weight >= minPaceTasks && r.StartedAt >= machine.Health.slowFoundAt {
		machine.Health.pace.add(logSeconds-j.Observed.taskTimes.mean, 1, paceWindowTasks)
		if logSeconds-j.Observed.taskTimes.mean < math.Log(slowFactor) {
			machine.Health.lastOnTimeStart = max(machine.Health.lastOnTimeStart, r.StartedAt)
		}
		if machine.Health.lastPaceJob != j.ID {
			machine.Health.lastPaceJob = j.ID
			machine.Health.paceJobs++
		}
	}
	j.Observed.taskTimes.add(logSeconds, 1, math.Inf(1))
	// One job's tasks may differ by chance: two of them must agree.
	return !machine.IsSlow(now) && machine.Health.pace.weight >= minPaceTasks && machine.Health.paceJobs >= 2 &&
		machine.Health.pace.mean > math.Log(slowFactor)
}

// IsSlow tells whether a machine was found to be slow lately. Speed is nothing to
// services, so it keeps them, and its place for more; nothing moves off it.
func (machine *Machine) IsSlow(now Time) bool { return now < machine.Health.SlowUntil }

// ServicesOnly tells whether a machine gets services only: it is slow, which is nothing to them, or its reports reach
// no controller, so that what runs there is ended with its lease again and again, by which services lose a moment and
// the rest all that it did.
func (machine *Machine) ServicesOnly(now Time) bool {
	return machine.IsSlow(now) || machine.Contact.OutboundPartitionSince != 0
}

// markSlow has a machine get only services for a while. Then it is tried again: what
// slows machines may pass.
func (machine *Machine) markSlow(now Time) {
	machine.Health.slowCount++
	machine.Health.SlowUntil = now + slowPeriod<<min(machine.Health.slowCount, 5)
	machine.Health.slowFoundAt, machine.Health.pace, machine.Health.paceJobs, machine.Health.lastPaceJob = now, average{}, 0, 0
}

// DetectSlow tells whether a machine shows to be slow by what still runs there: tasks of two
// jobs have taken much longer than their peers, and none that began as late as they did has
// completed in time. What a slow machine completes shows it too, but long after.
func (m *Model) DetectSlow(machine *Machine, now Time) bool {
	if machine.IsSlow(now) {
		return false
	}
	lateRuns, twoJobs := 0, false
	var firstJob JobID
	for _, r := range machine.Runs {
		j := r.Job
		if j.Kind != Array || j.Observed.taskTimes.weight < minPaceTasks || r.Phase != Running || r.Stop || r.Inherited || r.StartedAt == 0 ||
			r.StartedAt < machine.Contact.silenceEndedAt ||
			r.StartedAt <= max(machine.Health.lastOnTimeStart, machine.Health.slowFoundAt) ||
			now-r.StartedAt < minTimedDuration ||
			math.Log((now-r.StartedAt).Seconds())-j.Observed.taskTimes.mean < math.Log(slowFactor) {
			continue
		}
		if lateRuns++; lateRuns == 1 {
			firstJob = j.ID
		}
		twoJobs = twoJobs || j.ID != firstJob
	}
	if lateRuns < minPaceTasks ||
		!twoJobs && (machine.Health.paceJobs < 2 || machine.Health.pace.mean <= math.Log(slowFactor)) {
		return false
	}
	machine.markSlow(now)
	return true
}
