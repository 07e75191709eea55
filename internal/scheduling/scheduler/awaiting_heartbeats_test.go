package scheduler

import (
	"slices"
	"testing"

	"fieldhill/internal/model"
	"fieldhill/internal/scheduling/pending"
	"fieldhill/wire"
)

// TestPlacementWhileAwaitingHeartbeats checks that a leader to which not all machines have reported yet places only
// urgent work whose image is on a machine that has reported, and preempts nothing. Other jobs have AwaitingHeartbeats
// as their pending reason and are placed once all machines have reported.
func TestPlacementWhileAwaitingHeartbeats(t *testing.T) {
	env := newEnvironment(t, 6)
	s := New(webStartParams)
	web := env.submitWeb(1, 1)
	s.Round(env.model, 1e9, true, env)
	if web.PlacedTasks != 1 {
		t.Fatalf("%d replicas of the first service placed, want 1", web.PlacedTasks)
	}
	local := web.Tasks[0].Run.Machine
	env.model.Observe(local, &wire.Heartbeat{
		AgentEpoch: 1,
		Seq:        1,
		Tasks:      []wire.TaskStatus{{Task: "req-000001/0", Attempt: 1, State: wire.TaskRunning}},
	}, nil, 2e9)
	low := env.submit(2, func(s *wire.JobSpec) { s.Tasks, s.Spot = 24, true })
	s.Round(env.model, 3e9, true, env)
	s.Round(env.model, 5e9, true, env)
	s.Round(env.model, 8e9, true, env)
	filled := low.PlacedTasks
	more, other := env.submitWeb(3, 1), env.submit(4, func(s *wire.JobSpec) {
		s.Class, s.Shape, s.Priority, s.Image, s.ImageGB = "web", wire.Service, wire.Production, "elsewhere", 3
	})
	late := env.submit(5, nil)
	// Free resources next to the replica, and on one machine without the image.
	env.finishFirst(local.Runs, func(r *model.Run) bool { return r.Job == low })
	for _, machine := range env.model.MachinesInOrder {
		if machine != local && !machine.Spot {
			env.finishFirst(machine.Runs, func(*model.Run) bool { return true })
			break
		}
	}
	s.AwaitingHeartbeats = true
	for i := range 20 {
		s.Round(env.model, model.Time(60+10*i)*1e9, true, env)
	}
	if more.PlacedTasks != 1 || other.PlacedTasks != 0 || late.PlacedTasks != 0 || len(env.stopped) != 0 {
		t.Errorf("awaiting heartbeats: placed %d with a local image, %d without, %d low-priority, want 1, 0, 0; "+
			"preempted %v of %d, want none",
			more.PlacedTasks, other.PlacedTasks, late.PlacedTasks, env.stopped, filled)
	}
	for _, j := range []*model.Job{other, late} {
		if j.Scheduling.PendingReason.Code != pending.AwaitingHeartbeats {
			t.Errorf("job %d: pending reason %v, want AwaitingHeartbeats", j.ID, j.Scheduling.PendingReason)
		}
	}
	s.AwaitingHeartbeats = false
	for i := range 3 {
		s.Round(env.model, model.Time(300+10*i)*1e9, true, env)
	}
	if other.PlacedTasks != 1 {
		t.Errorf("after all machines reported: %d replicas of the other service placed, want 1", other.PlacedTasks)
	}
}

// finishFirst completes the first run that pick selects.
func (env *environment) finishFirst(runs []*model.Run, pick func(*model.Run) bool) {
	if i := slices.IndexFunc(runs, pick); i >= 0 {
		env.finish(runs[i])
	}
}
