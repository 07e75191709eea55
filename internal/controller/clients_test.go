package controller

import (
	"math/rand/v2"
	"testing"
	"time"

	"fieldhill/internal/emulator"
	"fieldhill/wire"
)

// newJobSpec returns job n: low priority, team red, one CPU per task, with the given shape, number of tasks, and
// runtime in seconds.
func newJobSpec(n int, shape string, tasks int, run float64) *wire.JobSpec {
	return &wire.JobSpec{
		ID:        wire.JobID(uint64(n)),
		Class:     "batch",
		Team:      "red",
		Shape:     shape,
		Priority:  wire.Low,
		Tasks:     tasks,
		CPUs:      1,
		MemoryGB:  2,
		Image:     "img",
		ImageGB:   1,
		EstimateS: run,
	}
}

// newWebService returns a production service with one replica.
func newWebService(n int, cpus float64, types ...string) *wire.JobSpec {
	s := newJobSpec(n, wire.Service, 1, 0)
	s.Priority, s.Class, s.CPUs, s.Types = wire.Production, "web", cpus, types
	return s
}

// newReplicatedService returns a production service with the given number of one-CPU replicas.
func newReplicatedService(n, replicas int) *wire.JobSpec {
	s := newWebService(n, 1)
	s.Tasks = replicas
	return s
}

// newHighArray returns a high-priority array, which is placed before low-priority jobs.
func newHighArray(n, tasks int, cpus, run float64) *wire.JobSpec {
	s := newJobSpec(n, wire.Array, tasks, run)
	s.CPUs, s.Priority = cpus, wire.High
	return s
}

// toGang turns a job into a gang of the given number of tasks that writes a checkpoint every three seconds.
func toGang(s *wire.JobSpec, tasks int) {
	s.Shape, s.Tasks = wire.Gang, tasks
	s.CheckpointIntervalS, s.CheckpointWriteS = 3, 1
}

// randomizeShape turns a job into a gang or a replicated service, with a probability of 1/4 each, and otherwise leaves
// it unchanged.
func randomizeShape(s *wire.JobSpec, rng *rand.Rand) {
	switch rng.IntN(4) {
	case 0:
		toGang(s, 1+rng.IntN(3))
		s.Priority = wire.High
	case 1:
		s.Shape, s.Tasks, s.Spread = wire.Service, 1+rng.IntN(3), true
		s.Class, s.Priority = "web", wire.Production
	}
}

// randomMillis returns a random duration in [from, from+span) milliseconds.
func randomMillis(rng *rand.Rand, from, span int) time.Duration {
	return time.Duration(from+rng.IntN(span)) * time.Millisecond
}

// randomSeconds returns a random duration in [from, from+span) seconds.
func randomSeconds(rng *rand.Rand, from, span int) time.Duration {
	return time.Duration(from+rng.IntN(span)) * time.Second
}

// startServices waits for a leader, submits services of three CPUs, and waits until they run.
func startServices(w *emulator.Environment, services int) {
	time.Sleep(6 * time.Second)
	submitServices(w, 1, services)
	time.Sleep(40 * time.Second)
}

// submitServices submits services of three CPUs, each of which needs a small machine to itself.
func submitServices(w *emulator.Environment, first, last int) {
	for n := first; n <= last; n++ {
		w.Submit(newWebService(n, 3, "small"))
	}
}

// waitRunning waits until a task of a job runs, but not longer than a minute after began.
func waitRunning(w *emulator.Environment, id string, began time.Time) {
	for w.Checker.RunningTasks(id) == 0 && time.Since(began) < time.Minute {
		time.Sleep(50 * time.Millisecond)
	}
}

// waitState polls a job until it is in the given state, and reports a test failure if that takes longer than within.
func waitState(t *testing.T, w *emulator.Environment, id, state string, within time.Duration) {
	t.Helper()
	end := time.Now().Add(within)
	for {
		if code, s := w.Request("poll", id, nil); code == 200 && s.State == state {
			return
		}
		if time.Now().After(end) {
			t.Errorf("%s is not %s after %v", id, state, within)
			return
		}
		time.Sleep(500 * time.Millisecond)
	}
}

// mustMarshal encodes a message in its wire format. It fails the test if the encoding fails.
func mustMarshal(t *testing.T, message any) []byte {
	t.Helper()
	b, err := wire.Marshal(message)
	if err != nil {
		t.Fatal(err)
	}
	return b
}
