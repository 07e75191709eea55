package controller

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"testing"
	"time"

	"fieldhill/internal/emulator"
	"fieldhill/wire"
)

// queryAdmin asks a node on its operators' address.
func queryAdmin(w *emulator.Environment, i int, path string, out any) (status int, err error) {
	operator := w.Network.Host("operator")
	client := http.Client{
		Timeout: 5 * time.Second,
		Transport: &http.Transport{
			DisableKeepAlives: true,
			DialContext: func(ctx context.Context, _, a string) (net.Conn, error) {
				return operator.Dial(ctx, a, time.Second)
			},
		},
	}
	resp, err := client.Get("http://" + adminAddr(emulator.ControllerName(i)) + path)
	if err != nil {
		return 0, err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		out = &wire.AdminProblem{}
	}
	return resp.StatusCode, json.NewDecoder(resp.Body).Decode(out)
}

func queryPending(w *emulator.Environment, i int, id string) (*wire.Explanation, int) {
	var explanation wire.Explanation
	code, err := queryAdmin(w, i, wire.PathAdminJobs+"/"+id+wire.WhySuffix, &explanation)
	if err != nil {
		code = 0
	}
	return &explanation, code
}

func bindingCodes(explanation *wire.Explanation) (codes []string) {
	for _, r := range explanation.Reasons {
		if r.Binding {
			codes = append(codes, r.Code)
		}
	}
	return codes
}

// TestPendingReasons: the leader and the others say why, the same; a reason that changes is told
// anew; nothing that is asked starts or stops anything; and without a leader that is the reason.
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
			explanation, code := queryPending(w, (leader+k)%3, more.ID)
			if code != 200 {
				t.Fatalf("node %d answers %d", (leader+k)%3, code)
			}
			var limit *wire.Reason
			for i := range explanation.Reasons {
				if explanation.Reasons[i].Code == "team-limit" {
					limit = &explanation.Reasons[i]
				}
			}
			// One of the two has found its place within the limit.
			if explanation.Waiting != 1 || limit == nil || limit.Used != 24 || limit.Limit != 24 || limit.Need != 4 ||
				limit.Unit != "CPUs" ||
				limit.Count != 2 ||
				limit.First != big.ID {
				t.Errorf("node %d: %+v", (leader+k)%3, explanation)
			}
			if len(explanation.History) == 0 || explanation.History[0].Code != "team-limit" ||
				explanation.History[0].SinceS < 8 ||
				explanation.History[0].SinceS > 20 ||
				explanation.AgeS != 0 ||
				explanation.Node != emulator.ControllerName(leader) {
				t.Errorf("node %d tells of the past: %+v", (leader+k)%3, explanation)
			}
			if _, code := queryPending(w, leader, more.ID); code != 429 {
				t.Errorf("a second question at once got %d", code)
			}
			var queue wire.Queue
			code, err := queryAdmin(w, (leader+k)%3, wire.PathAdminQueue+"?reason=team-limit", &queue)
			if err != nil || code != 200 || len(queue.Jobs) != 1 || queue.Jobs[0].ID != more.ID ||
				queue.Jobs[0].Position != 1 ||
				queue.Tasks != 1 ||
				queue.More != 0 {
				t.Errorf("node %d lists %+v: %d, %v", (leader+k)%3, queue, code, err)
			}
			if code, err := queryAdmin(
				w,
				(leader+k)%3,
				wire.PathAdminQueue+"?team=blue",
				&queue,
			); err != nil || code != 200 ||
				len(queue.Jobs) != 0 {
				t.Errorf("node %d lists %+v of a team without jobs: %d, %v", (leader+k)%3, queue, code, err)
			}
			time.Sleep(2 * time.Second)
		}
		if startsAfter := w.Checker.Starts(); startsAfter != starts {
			t.Errorf("%d tasks were started while somebody asked", startsAfter-starts)
		}
		w.Cancel(big.ID)
		time.Sleep(20 * time.Second)
		if explanation, code := queryPending(
			w,
			leader,
			more.ID,
		); code != 200 || explanation.Waiting != 0 ||
			len(explanation.Reasons) != 0 {
			t.Errorf("of a job that runs: %+v, %d", explanation, code)
		}
		time.Sleep(2 * time.Second)
		if explanation, code := queryPending(
			w,
			(leader+1)%3,
			big.ID,
		); code != 200 ||
			explanation.State != wire.JobCancelled {
			t.Errorf("of a job that was cancelled: %+v, %d", explanation, code)
		}
		time.Sleep(2 * time.Second)
		if _, code := queryPending(w, leader, "req-777777"); code != 404 {
			t.Errorf("of an unknown job: %d", code)
		}
		wide := newWebService(3, 1)
		wide.Spread, wide.Tasks, wide.Zone = true, 2, new(string)
		*wide.Zone = "a" // and at most half of them may be there
		w.Submit(wide)
		time.Sleep(10 * time.Second)
		if explanation, code := queryPending(
			w,
			leader,
			wide.ID,
		); code != 200 || fmt.Sprint(bindingCodes(explanation)) != "[spread]" ||
			!explanation.Complete {
			t.Errorf("of a job that must be in one zone and may not: %+v, %d", explanation, code)
		}
		w.Store.SetOutage(true)
		w.Crash(leader)
		time.Sleep(4 * time.Second)
		if explanation, code := queryPending(
			w,
			(leader+1)%3,
			wide.ID,
		); code != 200 || fmt.Sprint(bindingCodes(explanation)) != "[no-leader]" ||
			explanation.AgeS <= 0 {
			t.Errorf("without a leader: %+v, %d", explanation, code)
		}
		w.Store.SetOutage(false)
	})
}
