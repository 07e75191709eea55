package scheduler

import (
	"slices"
	"testing"

	"fieldhill/internal/model"
	"fieldhill/internal/scheduling/pending"
	"fieldhill/wire"
)

// TestPlacementWhileAwaitingHeartbeats: a leader to which not all machines have reported yet places what is urgent and
// finds its image on one that has, and nothing else; it preempts nothing. What waits says why, and goes once
// all have reported.
func TestPlacementWhileAwaitingHeartbeats(t *testing.T) {
	w := newEnvironment(t, 6)
	s := New(webStartsSoon)
	web := w.submitWeb(1, 1)
	s.Round(w.model, 1e9, true, w)
	if web.Live != 1 {
		t.Fatal("the first replica has no place")
	}
	holder := web.Tasks[0].Run.Machine
	w.model.Observe(holder, &wire.Heartbeat{
		AgentEpoch: 1,
		Seq:        1,
		Tasks:      []wire.TaskStatus{{Task: "req-000001/0", Attempt: 1, State: wire.TaskRunning}},
	}, nil, 2e9)
	low := w.submit(2, func(s *wire.JobSpec) { s.Tasks, s.Spot = 24, true })
	s.Round(w.model, 3e9, true, w)
	s.Round(w.model, 5e9, true, w)
	s.Round(w.model, 8e9, true, w)
	filled := low.Live
	more, other := w.submitWeb(3, 1), w.submit(4, func(s *wire.JobSpec) {
		s.Class, s.Shape, s.Priority, s.Image, s.ImageGB = "web", wire.Service, wire.Production, "elsewhere", 3
	})
	late := w.submit(5, nil)
	// There is room beside the replica, and on one machine without the image.
	w.finishFirst(holder.Runs, func(r *model.Run) bool { return r.Job == low })
	for _, machine := range w.model.Order {
		if machine != holder && !machine.Spot {
			w.finishFirst(machine.Runs, func(*model.Run) bool { return true })
			break
		}
	}
	s.AwaitingHeartbeats = true
	for i := range 20 {
		s.Round(w.model, model.Time(60+10*i)*1e9, true, w)
	}
	if more.Live != 1 || other.Live != 0 || late.Live != 0 || len(w.stopped) != 0 {
		t.Errorf("early: %d with its image there, %d without, %d low, %v stopped (%d low-priority tasks ran)",
			more.Live, other.Live, late.Live, w.stopped, filled)
	}
	for _, j := range []*model.Job{other, late} {
		if j.Scheduling.PendingReason.Code != pending.AwaitingHeartbeats {
			t.Errorf("job %d waits for %v", j.ID, j.Scheduling.PendingReason)
		}
	}
	s.AwaitingHeartbeats = false
	for i := range 3 {
		s.Round(w.model, model.Time(300+10*i)*1e9, true, w)
	}
	if other.Live != 1 {
		t.Errorf("once all have reported the other service has %d replicas", other.Live)
	}
}

// finishFirst has the first of some runs that is picked end as done.
func (w *environment) finishFirst(runs []*model.Run, pick func(*model.Run) bool) {
	if i := slices.IndexFunc(runs, pick); i >= 0 {
		w.finish(runs[i])
	}
}
