package model

import (
	"fmt"
	"testing"

	"fieldhill/internal/config"
	"fieldhill/wire"
)

// speedFixture simulates tasks with given durations and an agent that reports every 3 s.
type speedFixture struct {
	test      *testing.T
	model     *Model
	now       Time
	logSeq    uint64
	reportSeq uint64
}

func (f *speedFixture) apply(e *Entry) {
	f.test.Helper()
	f.logSeq++
	if err := f.model.Apply(e, f.logSeq, f.now); err != nil {
		f.test.Fatal(err)
	}
}

// run simulates a task that takes tookS seconds on a machine whose agent is silent for the first silentS seconds. It
// reports whether the machine was found to be slow.
func (f *speedFixture) run(job uint64, task int32, machineID MachineID, tookS, silentS float64) (slow bool) {
	f.test.Helper()
	machine := f.model.Machines[machineID]
	sendReport := func(state, cause string) {
		f.reportSeq++
		status := wire.TaskStatus{Task: wire.TaskID(job, int(task)), Attempt: 1, State: state, Cause: cause}
		v := f.model.Observe(machine, testReport(1, f.reportSeq, 3<<24, status), nil, f.now)
		slow = slow || v.Slow
		for _, e := range v.Entries {
			f.apply(e)
		}
	}
	f.apply(&Entry{Kind: EntryPlace, Job: JobID(job), Task: task, Attempt: 1, Machine: machineID, AgentEpoch: 1})
	for left := config.Seconds(tookS); left > 0; {
		sendReport(wire.TaskRunning, "")
		step := min(left, config.Seconds(max(3, silentS)))
		f.now, left, silentS = f.now+step, left-step, 0
	}
	sendReport(wire.TaskExited, wire.CauseDone)
	return slow
}

// newSpeedFixture returns a fixture whose model has three machines that have reported and 30 jobs with the given
// estimated run time in seconds.
func newSpeedFixture(t *testing.T, estimate float64) *speedFixture {
	t.Helper()
	f := &speedFixture{test: t, model: New(params()), now: 1}
	f.apply(NewMachineType(testType()))
	for n := MachineID(1); n <= 3; n++ {
		f.apply(&Entry{Kind: EntryMachine, Machine: n, Info: testInfo(fmt.Sprintf("host-%d", n))})
	}
	f.model.BeginTerm(3<<24, 0)
	for n := MachineID(1); n <= 3; n++ {
		f.model.Observe(f.model.Machines[n], testReport(1, 1, 3<<24), nil, f.now)
	}
	f.reportSeq = 1
	for n := uint64(1); n <= 30; n++ {
		s := testSpec(n, 20)
		s.EstimateS = estimate
		f.apply(&Entry{Kind: EntryAccept, Job: JobID(n), Spec: s})
	}
	return f
}

// TestEstimateBiasCorrection checks that estimates which are consistently too low are corrected after several jobs, and
// that one job with many tasks counts as one job only.
func TestEstimateBiasCorrection(t *testing.T) {
	f := newSpeedFixture(t, 20)
	last := f.model.Jobs[30]
	if actual := f.model.ExpectedSeconds(last); actual != 20 {
		t.Errorf("initially: got expected duration %g s, want 20 s", actual)
	}
	for task := range int32(20) {
		f.run(1, task, 1, 60, 0)
	}
	if actual := f.model.ExpectedSeconds(last); actual > 28 {
		t.Errorf("after one job: got expected duration %g s, want at most 28 s", actual)
	}
	for n := uint64(2); n <= 28; n++ {
		for task := range int32(20) {
			f.run(n, task, 1, 60, 0)
		}
	}
	if actual := f.model.ExpectedSeconds(last); actual < 45 || actual > 60 {
		t.Errorf("after 28 jobs estimated at 20 s that took 60 s: got expected duration %g s, want 45 to 60 s", actual)
	}
}

// TestSlowMachine checks that a machine is found to be slow if tasks take much longer on it than the same jobs' tasks
// elsewhere. A machine must not be found to be slow if it is only slightly slower, if only tasks of one job took long
// on it, or if it hung meanwhile.
func TestSlowMachine(t *testing.T) {
	for _, c := range []struct {
		name         string
		took, silent float64
		jobs         uint64
		want         bool
	}{
		{"three times as long", 60, 0, 3, true},
		{"a tenth longer", 22, 0, 3, false},
		{"one job only", 60, 0, 1, false},
		{"hung", 60, 40, 3, false},
	} {
		f := newSpeedFixture(t, 10) // all tasks take twice their estimate
		slow := false
		for n := uint64(1); n <= c.jobs; n++ {
			for task := range int32(8) {
				if f.run(n, task, 1+MachineID(task%2), 20, 0) {
					t.Fatalf("%s: a normal machine was found to be slow", c.name)
				}
			}
			for task := int32(8); task < 12; task++ {
				slow = f.run(n, task, 3, c.took, c.silent) || slow
			}
		}
		if f.model.DetectSlow(f.model.Machines[3], f.now) {
			t.Errorf("%s: machine without running tasks was found to be slow by DetectSlow", c.name)
		}
		if machine := f.model.Machines[3]; slow != c.want || machine.IsSlow(f.now) != c.want ||
			machine.IsSlow(f.now+2*slowPeriod) {
			t.Errorf("%s: found to be slow: %v, slow now: %v; want %v, and no longer after two periods",
				c.name, slow, machine.IsSlow(f.now), c.want)
		}
	}
}

// TestDetectSlowFromRunningTasks checks that DetectSlow finds a machine to be slow if running tasks of two jobs take
// much longer than their peers, unless a task that started later on the machine has completed about as fast as its
// peers.
func TestDetectSlowFromRunningTasks(t *testing.T) {
	for _, c := range []struct {
		name string
		jobs uint64
		good bool
		want bool
	}{{"two jobs", 2, false, true}, {"one job", 1, false, false}, {"a later task in time", 2, true, false}} {
		f := newSpeedFixture(t, 10)
		for n := uint64(1); n <= 3; n++ {
			for task := range int32(8) {
				f.run(n, task, 1, 20, 0)
			}
		}
		machine, now := f.model.Machines[3], Time(0)
		var tasks []wire.TaskStatus
		for k := range uint64(4) {
			n := 1 + k%c.jobs
			f.apply(&Entry{Kind: EntryPlace, Job: JobID(n), Task: int32(10 + k), Attempt: 1, Machine: 3, AgentEpoch: 1})
			tasks = append(tasks, wire.TaskStatus{Task: wire.TaskID(n, int(10+k)), Attempt: 1, State: wire.TaskRunning})
		}
		began := f.now
		for f.now < began+config.Seconds(80) {
			f.reportSeq++
			f.model.Observe(machine, testReport(1, f.reportSeq, 3<<24, tasks...), nil, f.now)
			if now == 0 && f.model.DetectSlow(machine, f.now) {
				now = f.now - began
			}
			if c.good && f.now == began+config.Seconds(3) {
				later := &Run{Job: f.model.Jobs[3], Machine: machine, Attempt: 1, StartedAt: f.now}
				f.model.recordDuration(machine, later, f.now+config.Seconds(20))
			}
			f.now += config.Seconds(3)
		}
		if (now != 0) != c.want || c.want && now > config.Seconds(42) {
			t.Errorf("%s: found to be slow after %v (0: never), want detection within 42 s: %v", c.name, now, c.want)
		}
	}
}
