package controller

import (
	"testing"
	"time"

	"fieldhill/internal/emulator"
	"fieldhill/wire"
)

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

// newWebService is a production service of one task.
func newWebService(n int, cpus float64, types ...string) *wire.JobSpec {
	s := newJobSpec(n, wire.Service, 1, 0)
	s.Priority, s.Class, s.CPUs, s.Types = wire.Production, "web", cpus, types
	return s
}

// startServices waits until a node leads, submits services of three CPUs, and waits until they run.
func startServices(w *emulator.Environment, services int) {
	time.Sleep(6 * time.Second)
	for n := 1; n <= services; n++ {
		w.Submit(newWebService(n, 3, "small"))
	}
	time.Sleep(40 * time.Second)
}

// waitRunning waits until a task of a job runs, or a minute has passed since it began.
func waitRunning(w *emulator.Environment, id string, began time.Time) {
	for w.Checker.Running(id) == 0 && time.Since(began) < time.Minute {
		time.Sleep(50 * time.Millisecond)
	}
}

// waitState polls a job until it is in a state.
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
