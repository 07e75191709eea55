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

// askOp asks a node on its operators' address.
func askOp(w *emulator.World, i int, path string, out any) (status int, err error) {
	h := w.Net.Host("operator")
	c := http.Client{Timeout: 5 * time.Second, Transport: &http.Transport{DisableKeepAlives: true, DialContext: func(ctx context.Context, _, a string) (net.Conn, error) {
		return h.Dial(ctx, a, time.Second)
	}}}
	resp, err := c.Get("http://" + operateOf(emulator.NodeName(i)) + path)
	if err != nil {
		return 0, err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		out = &wire.OpProblem{}
	}
	return resp.StatusCode, json.NewDecoder(resp.Body).Decode(out)
}

func askWhy(w *emulator.World, i int, id string) (*wire.Explanation, int) {
	var e wire.Explanation
	code, err := askOp(w, i, wire.PathOpJobs+"/"+id+wire.WhySuffix, &e)
	if err != nil {
		code = 0
	}
	return &e, code
}

func binding(e *wire.Explanation) (codes []string) {
	for _, r := range e.Reasons {
		if r.Binds {
			codes = append(codes, r.Code)
		}
	}
	return codes
}

// TestWhyAJobWaits: the leader and the others say why, the same; a reason that changes is told
// anew; nothing that is asked starts or stops anything; and without a leader that is the reason.
func TestWhyAJobWaits(t *testing.T) {
	inWorld(t, 31, func(w *emulator.World) {
		time.Sleep(6 * time.Second)
		big := web(1, 4)
		big.Tasks = 5 // 20 of the team's 24 CPUs
		w.Submit(big)
		waitToRun(w, big.ID, time.Now())
		time.Sleep(20 * time.Second)
		more := web(2, 4)
		more.Tasks = 2
		w.Submit(more)
		time.Sleep(10 * time.Second)
		starts, leader := w.Referee.Starts(), leaderOf()
		for k := range 3 {
			e, code := askWhy(w, (leader+k)%3, more.ID)
			if code != 200 {
				t.Fatalf("node %d answers %d", (leader+k)%3, code)
			}
			var limit *wire.Reason
			for i := range e.Reasons {
				if e.Reasons[i].Code == "team-limit" {
					limit = &e.Reasons[i]
				}
			}
			// One of the two has found its place within the limit.
			if e.Waiting != 1 || limit == nil || limit.Used != 24 || limit.Limit != 24 || limit.Need != 4 || limit.Of != "CPUs" || limit.Number != 2 || limit.First != big.ID {
				t.Errorf("node %d: %+v", (leader+k)%3, e)
			}
			if len(e.Past) == 0 || e.Past[0].Code != "team-limit" || e.Past[0].SinceS < 8 || e.Past[0].SinceS > 20 || e.AgeS != 0 || e.Node != emulator.NodeName(leader) {
				t.Errorf("node %d tells of the past: %+v", (leader+k)%3, e)
			}
			if _, code := askWhy(w, leader, more.ID); code != 429 {
				t.Errorf("a second question at once got %d", code)
			}
			var q wire.Queue
			code, err := askOp(w, (leader+k)%3, wire.PathOpQueue+"?reason=team-limit", &q)
			if err != nil || code != 200 || len(q.Jobs) != 1 || q.Jobs[0].ID != more.ID || q.Jobs[0].Place != 1 || q.Tasks != 1 || q.More != 0 {
				t.Errorf("node %d lists %+v: %d, %v", (leader+k)%3, q, code, err)
			}
			if code, err := askOp(w, (leader+k)%3, wire.PathOpQueue+"?team=blue", &q); err != nil || code != 200 || len(q.Jobs) != 0 {
				t.Errorf("node %d lists %+v of a team without jobs: %d, %v", (leader+k)%3, q, code, err)
			}
			time.Sleep(2 * time.Second)
		}
		if got := w.Referee.Starts(); got != starts {
			t.Errorf("%d tasks were started while somebody asked", got-starts)
		}
		w.Cancel(big.ID)
		time.Sleep(20 * time.Second)
		if e, code := askWhy(w, leader, more.ID); code != 200 || e.Waiting != 0 || len(e.Reasons) != 0 {
			t.Errorf("of a job that runs: %+v, %d", e, code)
		}
		time.Sleep(2 * time.Second)
		if e, code := askWhy(w, (leader+1)%3, big.ID); code != 200 || e.State != wire.JobCancelled {
			t.Errorf("of a job that was cancelled: %+v, %d", e, code)
		}
		time.Sleep(2 * time.Second)
		if _, code := askWhy(w, leader, "req-777777"); code != 404 {
			t.Errorf("of an unknown job: %d", code)
		}
		wide := web(3, 1)
		wide.Spread, wide.Tasks, wide.Zone = true, 2, new(string)
		*wide.Zone = "a" // and at most half of them may be there
		w.Submit(wide)
		time.Sleep(10 * time.Second)
		if e, code := askWhy(w, leader, wide.ID); code != 200 || fmt.Sprint(binding(e)) != "[spread]" || !e.Complete {
			t.Errorf("of a job that must be in one zone and may not: %+v, %d", e, code)
		}
		w.State.SetOutage(true)
		w.Crash(leader)
		time.Sleep(4 * time.Second)
		if e, code := askWhy(w, (leader+1)%3, wide.ID); code != 200 || fmt.Sprint(binding(e)) != "[no-leader]" || e.AgeS <= 0 {
			t.Errorf("without a leader: %+v, %d", e, code)
		}
		w.State.SetOutage(false)
	})
}
