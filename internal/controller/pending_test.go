package controller

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"testing"
	"time"

	"fieldhill/internal/emulator"
	"fieldhill/wire"
)

// queryAdmin requests a path of the admin API of the controller with index i, decodes the response into out, and
// returns the HTTP status.
func queryAdmin(w *emulator.Environment, i int, path string, out any) (status int, err error) {
	resp, err := operatorClient(w).Get("http://" + adminAddr(emulator.ControllerName(i)) + path)
	if err != nil {
		return 0, err
	}
	if resp.StatusCode != http.StatusOK {
		out = &wire.AdminProblem{}
	}
	err = json.NewDecoder(resp.Body).Decode(out)
	return resp.StatusCode, errors.Join(err, resp.Body.Close())
}

// queryPending asks the controller with index i why a job is pending. The returned status is 0 if there is no response.
func queryPending(w *emulator.Environment, i int, id string) (*wire.Explanation, int) {
	var explanation wire.Explanation
	code, err := queryAdmin(w, i, wire.PathAdminJobs+"/"+id+wire.WhySuffix, &explanation)
	if err != nil {
		code = 0
	}
	return &explanation, code
}

// bindingCodes returns the codes of the binding reasons, which are the reasons that keep the job pending.
func bindingCodes(explanation *wire.Explanation) (codes []string) {
	for _, r := range explanation.Reasons {
		if r.Binding {
			codes = append(codes, r.Code)
		}
	}
	return codes
}

// TestPendingReasons checks that all controllers return the same reasons for a pending job, that a change of the
// reasons is reported, that explanations start no tasks, and that the missing leader is given as the reason while there
// is no leader.
func TestPendingReasons(t *testing.T) {
	runCluster(t, 31, func(w *emulator.Environment) {
		time.Sleep(6 * time.Second)
		big := newWebService(1, 4)
		big.Tasks = 5 // 20 of the team's 24 CPUs
		w.Submit(big)
		waitRunning(w, big.ID, time.Now())
		time.Sleep(20 * time.Second)
		more := newWebService(2, 4)
		more.Tasks = 2
		w.Submit(more)
		time.Sleep(10 * time.Second)
		starts, leader := w.Checker.Starts(), findLeader()
		for k := range 3 {
			node := (leader + k) % 3
			checkTeamLimitReason(t, w, node, leader, big.ID, more.ID)
			if _, code := queryPending(w, leader, more.ID); code != 429 {
				t.Errorf("a second explanation without a pause got status %d, want 429", code)
			}
			checkQueueListing(t, w, node, more.ID)
			time.Sleep(2 * time.Second)
		}
		if again := w.Checker.Starts() - starts; again != 0 {
			t.Errorf("%d tasks were started during the explanations, want none", again)
		}
		w.Cancel(big.ID)
		time.Sleep(20 * time.Second)
		explanation, code := queryPending(w, leader, more.ID)
		if code != 200 || explanation.Waiting != 0 || len(explanation.Reasons) != 0 {
			t.Errorf("explanation of a running job: got %+v, status %d; want 200 without reasons or waiting tasks",
				explanation, code)
		}
		time.Sleep(2 * time.Second)
		explanation, code = queryPending(w, (leader+1)%3, big.ID)
		if code != 200 || explanation.State != wire.JobCancelled {
			t.Errorf("explanation of a cancelled job: got %+v, status %d; want status 200 and state %q",
				explanation, code, wire.JobCancelled)
		}
		time.Sleep(2 * time.Second)
		if _, code := queryPending(w, leader, "req-777777"); code != 404 {
			t.Errorf("explanation of an unknown job got status %d, want 404", code)
		}
		checkSpreadAndNoLeaderReasons(t, w, leader)
	})
}

// checkTeamLimitReason requires that a controller reports the team's limit as the reason why a task is pending: a
// running job uses 20 of the team's 24 CPUs, so only one of the two tasks of the pending job, of 4 CPUs each, is within
// the limit.
func checkTeamLimitReason(t *testing.T, w *emulator.Environment, node, leader int, running, pending string) {
	t.Helper()
	explanation, code := queryPending(w, node, pending)
	if code != 200 {
		t.Fatalf("node %d: explanation returned status %d, want 200", node, code)
	}
	var limit wire.Reason
	for _, r := range explanation.Reasons {
		if r.Code == "team-limit" {
			limit = r
		}
	}
	if explanation.Waiting != 1 || limit.Used != 24 || limit.Limit != 24 || limit.Need != 4 || limit.Unit != "CPUs" ||
		limit.Count != 2 || limit.First != running {
		t.Errorf("node %d: got explanation %+v, want 1 waiting task, 4 CPUs needed, 24 of 24 used, count 2, first %s",
			node, explanation, running)
	}
	history := explanation.History
	if len(history) == 0 || history[0].Code != "team-limit" || history[0].SinceS < 8 || history[0].SinceS > 20 ||
		explanation.AgeS != 0 || explanation.Node != emulator.ControllerName(leader) {
		t.Errorf("node %d: got explanation %+v, want one by the leader, without age, with team-limit for 8 s to 20 s",
			node, explanation)
	}
}

// checkQueueListing requires that a controller lists exactly one job with a task pending because of the team's limit,
// and no jobs of a team that has none.
func checkQueueListing(t *testing.T, w *emulator.Environment, node int, pending string) {
	t.Helper()
	var queue wire.Queue
	code, err := queryAdmin(w, node, wire.PathAdminQueue+"?reason=team-limit", &queue)
	if err != nil || code != 200 || len(queue.Jobs) != 1 || queue.Jobs[0].ID != pending ||
		queue.Jobs[0].Position != 1 || queue.Tasks != 1 || queue.More != 0 {
		t.Errorf("node %d lists %+v by reason, status %d, error %v; want only %s", node, queue, code, err, pending)
	}
	code, err = queryAdmin(w, node, wire.PathAdminQueue+"?team=blue", &queue)
	if err != nil || code != 200 || len(queue.Jobs) != 0 {
		t.Errorf("node %d lists %+v for a team without jobs, status %d, error %v; want no jobs", node, queue, code, err)
	}
}

// checkSpreadAndNoLeaderReasons requires that the spread constraint is the only binding reason of a job whose spread
// and zone constraints conflict, and that, once there is no leader, the missing leader is the only binding reason.
func checkSpreadAndNoLeaderReasons(t *testing.T, w *emulator.Environment, leader int) {
	t.Helper()
	zone := "a"
	wide := newReplicatedService(3, 2)
	wide.Spread, wide.Zone = true, &zone // conflicts with spread: at most half of the tasks may be in one zone
	w.Submit(wide)
	time.Sleep(10 * time.Second)
	explanation, code := queryPending(w, leader, wide.ID)
	if code != 200 || fmt.Sprint(bindingCodes(explanation)) != "[spread]" || !explanation.Complete {
		t.Errorf("explanation of a job that can't be spread: got %+v, status %d; want only reason spread",
			explanation, code)
	}
	w.Store.SetOutage(true)
	w.StopAndWait(leader)
	time.Sleep(4 * time.Second)
	explanation, code = queryPending(w, (leader+1)%3, wide.ID)
	if code != 200 || fmt.Sprint(bindingCodes(explanation)) != "[no-leader]" || explanation.AgeS <= 0 {
		t.Errorf("explanation without a leader: got %+v, status %d; want only reason no-leader", explanation, code)
	}
	w.Store.SetOutage(false)
}
