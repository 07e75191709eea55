package controller

import (
	"math/rand/v2"
	"net/http"
	"slices"
	"sync/atomic"
	"testing"
	"time"

	"fieldhill/internal/emulator"
	"fieldhill/wire"
)

// The tests in this file compare the states of a job that all controllers report within milliseconds of each other.

// pollInterval is the pause between polls right after a job's state has changed.
const pollInterval = 3 * time.Millisecond

// submitAndObserve submits jobs, numbered from first, with the given pause in between, and cancels some of them, a part
// of these within 4 ms after the first polls. It polls each job repeatedly right after its acceptance, its confirmed
// cancellation and its completion.
func submitAndObserve(w *emulator.Environment, rng *rand.Rand, first, jobs int, pause time.Duration) {
	for n := first; n < first+jobs; n++ {
		j := newHighArray(n, 1, 0.25, 1+4*rng.Float64())
		cancel, after := rng.IntN(3) == 0, randomMillis(rng, 0, 4)
		if rng.IntN(3) == 0 {
			cancel, after = true, randomMillis(rng, 0, 6000)
		}
		go func() {
			if code := w.Submit(j); code != 201 && code != 200 {
				return
			}
			w.PollRepeatedly(j, 4, pollInterval)
			if cancel {
				time.Sleep(after)
				go w.PollRepeatedly(j, 15, 100*time.Millisecond) // polls also while the cancellation is being written
				w.Cancel(j.ID)
				w.PollRepeatedly(j, 4, pollInterval)
				return
			}
			observeCompletion(w, j)
		}()
		time.Sleep(pause)
	}
}

// observeCompletion polls a job until it is done, but for at most about half a minute, and then polls it repeatedly
// right after its completion.
func observeCompletion(w *emulator.Environment, j *wire.JobSpec) {
	for range 100 {
		if code, s := w.Request("poll", j.ID, nil); code == 200 && s.State == wire.JobDone {
			w.PollRepeatedly(j, 4, pollInterval)
			return
		}
		time.Sleep(300 * time.Millisecond)
	}
}

// statusFault is a fault that TestStatusConsistency injects, with the minimum effects that the test requires of it.
type statusFault struct {
	name                string
	minRacingPolls      int      // minimum number of polls that race with a change of state
	lostWriteKinds      []string // kinds of writes of which at least one lost its response
	minLogResponsesLost int      // minimum number of log writes that lost their response
	begin               func(w *emulator.Environment, rng *rand.Rand) (end func())
}

// statusFaults are the faults of TestStatusConsistency.
var statusFaults = []statusFault{
	{
		name:           "no fault",
		minRacingPolls: 200,
		begin:          func(*emulator.Environment, *rand.Rand) func() { return func() {} },
	},
	{
		name:           "slow store",
		minRacingPolls: 150,
		begin: func(w *emulator.Environment, _ *rand.Rand) func() {
			w.Store.SetLatency(250 * time.Millisecond)
			return func() { w.Store.SetLatency(3 * time.Millisecond) }
		},
	},
	{
		name:           "answered from the log",
		minRacingPolls: 150,
		begin: func(w *emulator.Environment, _ *rand.Rand) func() {
			partitionControllers(w, true)
			return func() { partitionControllers(w, false) }
		},
	},
	{
		name:           "leaders refused by the store and restarted",
		minRacingPolls: 100,
		begin: func(w *emulator.Environment, rng *rand.Rand) func() {
			for range 2 {
				i := leaderOrFirst()
				w.RefuseStore(i, true)
				time.Sleep(randomMillis(rng, 3000, 4000))
				w.RefuseStore(i, false)
				time.Sleep(randomMillis(rng, 0, 2000))
				w.Restart(leaderOrFirst(), randomMillis(rng, 20, 300))
				time.Sleep(randomMillis(rng, 0, 4000))
			}
			return func() {}
		},
	},
	{
		name:                "lost responses",
		minRacingPolls:      100,
		minLogResponsesLost: 5,
		begin: func(w *emulator.Environment, _ *rand.Rand) func() {
			w.Store.DropResponses(0.5)
			return func() { w.Store.DropResponses(0) }
		},
	},
	{
		name:                "lost responses, answered from the log",
		minRacingPolls:      100,
		minLogResponsesLost: 5,
		lostWriteKinds:      []string{"put f/in"},
		begin: func(w *emulator.Environment, _ *rand.Rand) func() {
			w.Store.DropResponses(0.4)
			partitionControllers(w, true)
			// Direct commands are delayed, so that the tasks of a cancelled job do not end at once. Stop commands are
			// also sent with heartbeat responses.
			endDelay := delayCommands(w, 10*time.Second)
			return func() {
				w.Store.DropResponses(0)
				partitionControllers(w, false)
				endDelay()
			}
		},
	},
}

// TestStatusConsistency checks that no controller reports an older state of a job than any controller has reported
// before, which the invariant checker verifies. Users poll all controllers and resubmit the job to them within
// milliseconds after its acceptance, its end or its confirmed cancellation, through every path by which a controller
// answers. The "lost responses" faults apply writes but drop their responses, while other controllers read the writes.
// A leader whose write of a cancellation has an unknown outcome must not report the job as running, because another
// controller may already have reported it as cancelled.
func TestStatusConsistency(t *testing.T) {
	for _, fault := range statusFaults {
		t.Run(fault.name, func(t *testing.T) {
			lost := map[string]int{}
			runFaultCombination(t, 1, 60, func(t *testing.T, w *emulator.Environment, seed uint64, rng *rand.Rand) {
				startServices(w, 2)
				go submitAndObserve(w, rand.New(rand.NewPCG(seed, 61)), 100, 30, 600*time.Millisecond)
				end := fault.begin(w, rng)
				time.Sleep(20 * time.Second)
				end()
				time.Sleep(40 * time.Second)
				if k := w.Checker.RacingReads(); k < fault.minRacingPolls {
					t.Errorf("%d racing polls, want at least %d: the fault combination did not occur",
						k, fault.minRacingPolls)
				}
				for n := 100; n < 130; n++ {
					if err := pollEndedOrUnknown(w, wire.JobID(uint64(n))); err != nil {
						t.Error(err)
					}
				}
				for kind, k := range w.Store.DroppedResponses() {
					lost[kind] += k
				}
			})
			if lost["put f/log"] < fault.minLogResponsesLost ||
				slices.ContainsFunc(fault.lostWriteKinds, func(kind string) bool { return lost[kind] == 0 }) {
				t.Errorf("lost responses by kind of write: got %v, want at least %d of put f/log and one each of %v: "+
					"the fault combination did not occur", lost, fault.minLogResponsesLost, fault.lostWriteKinds)
			}
		})
	}
}

// TestCommitResponseLost checks the case in which the leader's write is applied and only its response is lost, while
// the other controllers read the write. The leader must not contradict what they report of the job's acceptance,
// cancellation or completion while it does not know the outcome of the write: for example, it must not report a job as
// running after others reported it as cancelled.
func TestCommitResponseLost(t *testing.T) {
	runFaultCombination(t, 2, 66, func(t *testing.T, w *emulator.Environment, _ uint64, rng *rand.Rand) {
		startServices(w, 2)
		leader := leaderOrFirst()
		running, ending := newHighArray(100, 1, 0.25, 500), newHighArray(101, 1, 0.25, 6)
		w.Submit(running)
		w.Submit(ending)
		waitRunning(w, ending.ID, time.Now())
		partitionControllers(w, true)
		endDelay := delayCommands(w, 10*time.Second) // so that the tasks of the cancelled job do not end at once
		time.Sleep(2 * time.Second)
		late := newJobSpec(102, wire.Array, 1, 500)
		lateBody := registerJob(t, w, late)
		for _, c := range []struct {
			event, id, state string
			request          func()
		}{
			{"cancellation", running.ID, wire.JobCancelled, func() { w.RequestAt(leader, "cancel", running.ID, nil) }},
			{"acceptance", late.ID, wire.JobPending, func() { w.RequestAt(leader, "submit", late.ID, lateBody) }},
			{"end", ending.ID, wire.JobDone, func() {}},
		} {
			w.Store.DropResponses(1)
			go c.request()
			var agreed atomic.Int64
			reported := waitLeaderAgrees(w, rng, leader, c.id, c.state, &agreed)
			w.Store.DropResponses(0)
			time.Sleep(3 * time.Second)
			if !reported || agreed.Load() == 0 {
				t.Errorf("%s: reported by another node: %v, by the leader %d times; want true, at least 1",
					c.event, reported, agreed.Load())
			}
			if w.Store.DroppedResponses()["put f/log"] == 0 {
				t.Errorf("%s: 0 responses to log writes were lost, want at least 1", c.event)
			}
		}
		partitionControllers(w, false)
		endDelay()
		time.Sleep(20 * time.Second)
		if k := w.Checker.RunningTasks(running.ID); k != 0 {
			t.Errorf("%d tasks of the cancelled job are running, want none", k)
		}
	})
}

// waitLeaderAgrees polls a job at the other controllers until one of them reports the state, and from then on also at
// the leader until the leader reports the same state, but at most 400 times. The invariant checker compares the
// answers. waitLeaderAgrees adds the leader's matching answers to agreed, and returns whether another controller
// reported the state.
func waitLeaderAgrees(
	w *emulator.Environment,
	rng *rand.Rand,
	leader int,
	id, state string,
	agreed *atomic.Int64,
) (reported bool) {
	for range 400 {
		time.Sleep(randomMillis(rng, 10, 20))
		code, s := w.RequestAt((leader+1+rng.IntN(2))%3, "poll", id, nil)
		if !reported && (code != 200 || s.State != state) {
			continue
		}
		reported = true
		go func() {
			if code, s := w.RequestAt(leader, "poll", id, nil); code == 200 && s.State == state {
				agreed.Add(1)
			}
		}()
		if agreed.Load() > 0 {
			break
		}
	}
	return reported
}

// TestCancelAtCompletion checks that a job is reported either as done or as cancelled, never as both, if users cancel
// it at the moment at which its last task completes. No faults are injected, and users poll each job at all
// controllers.
func TestCancelAtCompletion(t *testing.T) {
	runFaultCombination(t, 1, 62, func(t *testing.T, w *emulator.Environment, _ uint64, rng *rand.Rand) {
		startServices(w, 2)
		w.CancelAtEnd(0.7)
		var ids []string
		for n := 100; n < 140; n++ {
			j := newHighArray(n, 1+rng.IntN(2), 0.25, 1+3*rng.Float64())
			ids = append(ids, j.ID)
			pause := randomMillis(rng, 200, 200)
			go func() {
				w.Submit(j)
				for range 20 {
					time.Sleep(pause)
					w.PollRepeatedly(j, 1, pollInterval)
				}
			}()
			time.Sleep(300 * time.Millisecond)
		}
		time.Sleep(40 * time.Second)
		if k := w.CancelledAtEnd(); k < 10 {
			t.Errorf("%d jobs were cancelled at completion, want at least 10: the fault combination did not occur", k)
		}
		states := map[string]int{}
		for _, id := range ids {
			code, s := w.Request("poll", id, nil)
			if err := endedError(id, code, s); err != nil {
				t.Error(err)
				continue
			}
			states[s.State]++
		}
		if states[wire.JobDone] == 0 || states[wire.JobCancelled] == 0 {
			t.Errorf("got final states %v, want done and cancelled jobs: the fault combination did not occur", states)
		}
	})
}

// invalidField is a field value that makes a submission invalid, and the status code with which such a submission is
// refused.
type invalidField struct {
	field string
	value any
	code  int
	spec  func(s *wire.JobSpec) // further changes needed to make the job invalid, or nil
}

// TestInvalidRequests checks that jobs that can't run, lack a field or have an invalid one are refused permanently,
// with the same status by the leader, by a follower that forwards the request, and by the intake. A submission with
// the ID of an accepted job is never refused permanently, whatever else it contains, even while the job is only in the
// intake. A cancellation of a completed job returns that the job is done.
func TestInvalidRequests(t *testing.T) {
	runCluster(t, 64, func(w *emulator.Environment) {
		startServices(w, 1)
		completed := newJobSpec(10, wire.Array, 1, 2)
		w.Submit(completed)
		waitState(t, w, completed.ID, wire.JobDone, time.Minute)
		leader := leaderOrFirst()
		for k, f := range invalidFields {
			s := f.newJob(1000 + k)
			for _, i := range []int{leader, (leader + 1) % 3} {
				if code, _ := w.RequestAt(i, "submit", s.ID, f.body(t, s)); code != f.code {
					t.Errorf("node %d: %s = %v got status %d, want %d", i, f.field, f.value, code, f.code)
				}
			}
		}
		checkResubmission(t, w, "done", completed, leader)
		if code, s := w.RequestAt(leader, "cancel", completed.ID, nil); code != 200 || s.State != wire.JobDone {
			t.Errorf("cancellation of a completed job got status %d, %+v; want it reported as done", code, s)
		}
		partitionControllers(w, true)
		time.Sleep(2 * time.Second)
		checkInvalidAtIntake(t, w, (leader+1)%3)
		for k := range 3 { // without a leader, the next job stays in the intake
			w.RefuseStore(k, k == leader)
		}
		time.Sleep(500 * time.Millisecond)
		intakeOnly := newJobSpec(3000, wire.Array, 1, 2)
		body, code := registerJob(t, w, intakeOnly), 0
		for i := 0; code != 201 && i < 40; i++ {
			code, _ = w.RequestAt((leader+1)%3, "submit", intakeOnly.ID, body)
			time.Sleep(50 * time.Millisecond)
		}
		if code != 201 {
			t.Errorf("submission to the intake got status %d, want 201", code)
		}
		checkResubmission(t, w, "in the intake", intakeOnly, (leader+2)%3)
		w.RefuseStore(leader, false)
		partitionControllers(w, false)
		time.Sleep(8 * time.Second)
		checkResubmission(t, w, "in the log", intakeOnly, leaderOrFirst())
		waitState(t, w, intakeOnly.ID, wire.JobDone, time.Minute)
	})
}

// checkResubmission requires that a submission with an accepted job's ID returns the job's status or a retryable error,
// even if the rest of the body is invalid.
func checkResubmission(t *testing.T, w *emulator.Environment, phase string, accepted *wire.JobSpec, node int) {
	t.Helper()
	for _, f := range invalidFields {
		code, _ := w.RequestAt(node, "submit", accepted.ID, f.body(t, accepted))
		if code != 200 && code != 503 && code != 429 {
			t.Errorf("%s: resubmission of %s with %s = %v got status %d, want 200, 429 or 503",
				phase, accepted.ID, f.field, f.value, code)
		}
	}
}

// checkInvalidAtIntake requires that a controller partitioned from the leader refuses all invalid jobs at the intake.
func checkInvalidAtIntake(t *testing.T, w *emulator.Environment, node int) {
	t.Helper()
	for k, f := range invalidFields {
		s := f.newJob(2000 + k)
		body, code := f.body(t, s), 0
		for range 40 { // the intake may be busy: its share of the store's write rate is small
			if code, _ = w.RequestAt(node, "submit", s.ID, body); code != http.StatusServiceUnavailable {
				break
			}
			time.Sleep(500 * time.Millisecond)
		}
		if code != f.code {
			t.Errorf("at the intake: %s = %v got status %d, want %d", f.field, f.value, code, f.code)
		}
	}
}

// missingField is the value of an invalidField whose field is left out of the submission.
var missingField = new(int)

// invalidFields are the invalid submissions of TestInvalidRequests.
var invalidFields = []invalidField{
	{"cores", missingField, 400, nil},
	{"jobclass", missingField, 400, nil},
	{"spread", nil, 400, nil},
	{"pieces", 0, 400, nil},
	{"pieces", -3, 400, nil},
	{"mem_gb", "much", 400, nil},
	{"cores", -1.0, 400, nil},
	{"rank", "urgent", 400, nil},
	{"shape", "heap", 400, nil},
	{"due_s", "soon", 400, nil},
	{"hall", 7, 400, nil},
	{"owner", "green", 422, nil},
	{"cores", 17.0, 422, nil},
	{"mem_gb", 65.0, 422, nil},
	{"gpus", 1.0, 422, nil},
	{"models", []string{"huge"}, 422, nil},
	{"hall", "c", 422, nil},
	{"pieces", 30, 422, func(s *wire.JobSpec) { s.Shape = wire.Gang }},
	{"pieces", 3, 422, func(s *wire.JobSpec) { s.Shape, s.Spread, s.Zone = wire.Gang, true, new("b") }},
	{"pieces", 2, 422, func(s *wire.JobSpec) { s.Shape, s.Spread, s.SameZone = wire.Gang, true, true }},
}

// newJob returns job n, to which the invalid field has not been applied yet.
func (f *invalidField) newJob(n int) *wire.JobSpec {
	s := newJobSpec(n, wire.Array, 1, 2)
	if f.spec != nil {
		f.spec(s)
	}
	return s
}

// body encodes the submission of a job with the invalid field applied.
func (f *invalidField) body(t *testing.T, s *wire.JobSpec) []byte {
	t.Helper()
	var fields map[string]any
	if err := wire.Unmarshal(mustMarshal(t, s), &fields); err != nil {
		t.Fatal(err)
	}
	if fields[f.field] = f.value; f.value == missingField {
		delete(fields, f.field)
	}
	return mustMarshal(t, fields)
}
