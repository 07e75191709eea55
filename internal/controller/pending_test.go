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

// queryAdmin asks a controller's admin API and returns the HTTP status.
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

// queryPending asks a controller why a job is pending; the status is 0 without an answer.
func queryPending(w *emulator.Environment, i int, id string) (*wire.Explanation, int) {
	var explanation wire.Explanation
	code, err := queryAdmin(w, i, wire.PathAdminJobs+"/"+id+wire.WhySuffix, &explanation)
	if err != nil {
		code = 0
	}
	return &explanation, code
}

// bindingCodes returns the codes of the reasons that keep a job pending.
func bindingCodes(explanation *wire.Explanation) (codes []string) {
	for _, r := range explanation.Reasons {
		if r.Binding {
			codes = append(codes, r.Code)
		}
	}
	return codes
}

// TestPendingReasons: the leader and the others give the same reasons for a pending job; a reason that changes is given
// anew; no question starts or stops anything; and the lack of a leader is given as the reason.
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
				t.Errorf("a second question at once got %d", code)
			}
			checkQueueListing(t, w, node, more.ID)
			time.Sleep(2 * time.Second)
		}
		if again := w.Checker.Starts() - starts; again != 0 {
			t.Errorf("%d tasks were started by questions", again)
		}
		w.Cancel(big.ID)
		time.Sleep(20 * time.Second)
		explanation, code := queryPending(w, leader, more.ID)
		if code != 200 || explanation.Waiting != 0 || len(explanation.Reasons) != 0 {
			t.Errorf("of a job that runs: %+v, %d", explanation, code)
		}
		time.Sleep(2 * time.Second)
		explanation, code = queryPending(w, (leader+1)%3, big.ID)
		if code != 200 || explanation.State != wire.JobCancelled {
			t.Errorf("of a job that was cancelled: %+v, %d", explanation, code)
		}
		time.Sleep(2 * time.Second)
		if _, code := queryPending(w, leader, "req-777777"); code != 404 {
			t.Errorf("of an unknown job: %d", code)
		}
		checkSpreadAndNoLeaderReasons(t, w, leader)
	})
}

// checkTeamLimitReason requires that a controller names the team's limit, which a running job uses up, as the reason
// for the pending task of another job, one of whose two tasks has found its place within the limit.
func checkTeamLimitReason(t *testing.T, w *emulator.Environment, node, leader int, running, pending string) {
	t.Helper()
	explanation, code := queryPending(w, node, pending)
	if code != 200 {
		t.Fatalf("node %d answers %d", node, code)
	}
	var limit wire.Reason
	for _, r := range explanation.Reasons {
		if r.Code == "team-limit" {
			limit = r
		}
	}
	if explanation.Waiting != 1 || limit.Used != 24 || limit.Limit != 24 || limit.Need != 4 || limit.Unit != "CPUs" ||
		limit.Count != 2 || limit.First != running {
		t.Errorf("node %d: %+v", node, explanation)
	}
	history := explanation.History
	if len(history) == 0 || history[0].Code != "team-limit" || history[0].SinceS < 8 || history[0].SinceS > 20 ||
		explanation.AgeS != 0 || explanation.Node != emulator.ControllerName(leader) {
		t.Errorf("node %d reports the history: %+v", node, explanation)
	}
}

// checkQueueListing requires that a controller lists exactly one job with a task that the team's limit keeps pending.
func checkQueueListing(t *testing.T, w *emulator.Environment, node int, pending string) {
	t.Helper()
	var queue wire.Queue
	code, err := queryAdmin(w, node, wire.PathAdminQueue+"?reason=team-limit", &queue)
	if err != nil || code != 200 || len(queue.Jobs) != 1 || queue.Jobs[0].ID != pending ||
		queue.Jobs[0].Position != 1 || queue.Tasks != 1 || queue.More != 0 {
		t.Errorf("node %d lists %+v: %d, %v", node, queue, code, err)
	}
	code, err = queryAdmin(w, node, wire.PathAdminQueue+"?team=blue", &queue)
	if err != nil || code != 200 || len(queue.Jobs) != 0 {
		t.Errorf("node %d lists %+v of a team without jobs: %d, %v", node, queue, code, err)
	}
}

// checkSpreadAndNoLeaderReasons requires that a job which can't be spread gets that as the only binding reason, and the
// lack of a leader once there is none.
func checkSpreadAndNoLeaderReasons(t *testing.T, w *emulator.Environment, leader int) {
	t.Helper()
	zone := "a"
	wide := newReplicatedService(3, 2)
	wide.Spread, wide.Zone = true, &zone // and at most half of the tasks may be in a zone
	w.Submit(wide)
	time.Sleep(10 * time.Second)
	explanation, code := queryPending(w, leader, wide.ID)
	if code != 200 || fmt.Sprint(bindingCodes(explanation)) != "[spread]" || !explanation.Complete {
		t.Errorf("of a job that must be in one zone and may not: %+v, %d", explanation, code)
	}
	w.Store.SetOutage(true)
	w.Crash(leader)
	time.Sleep(4 * time.Second)
	explanation, code = queryPending(w, (leader+1)%3, wide.ID)
	if code != 200 || fmt.Sprint(bindingCodes(explanation)) != "[no-leader]" || explanation.AgeS <= 0 {
		t.Errorf("without a leader: %+v, %d", explanation, code)
	}
	w.Store.SetOutage(false)
}
