package controller

import (
	"context"
	"fmt"
	"testing"
	"time"

	"fieldhill/internal/mphttp"
	"fieldhill/internal/standin"
	"fieldhill/wire"
)

// askWhy asks a node why a job waits.
func askWhy(w *standin.World, i int, id string) (*wire.Explanation, error) {
	c := mphttp.New(w.Net.Host("operator"), 1, 1, time.Second)
	defer c.Close()
	var e wire.Explanation
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	return &e, c.Do(ctx, "GET", fmt.Sprintf("10.0.0.%d:80", i+1), wire.PathJobs+"/"+id+wire.WhySuffix, nil, &e, wire.MaxBody)
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
	inWorld(t, 31, func(w *standin.World) {
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
			e, err := askWhy(w, (leader+k)%3, more.ID)
			if err != nil {
				t.Fatal(err)
			}
			var limit *wire.Reason
			for i := range e.Reasons {
				if e.Reasons[i].Code == "team-limit" {
					limit = &e.Reasons[i]
				}
			}
			// One of the two has found its place within the limit.
			if e.Waiting != 1 || limit == nil || limit.Used != 24 || limit.Limit != 24 || limit.Need != 4 || limit.Of != "CPUs" {
				t.Errorf("node %d: %+v", (leader+k)%3, e)
			}
			if _, err := askWhy(w, leader, more.ID); mphttp.Code(err) != 429 {
				t.Errorf("a second question at once got %v", err)
			}
			time.Sleep(2 * time.Second)
		}
		if got := w.Referee.Starts(); got != starts {
			t.Errorf("%d tasks were started while somebody asked", got-starts)
		}
		w.Cancel(big.ID)
		time.Sleep(20 * time.Second)
		if e, err := askWhy(w, leader, more.ID); err != nil || e.Waiting != 0 || len(e.Reasons) != 0 {
			t.Errorf("of a job that runs: %+v, %v", e, err)
		}
		time.Sleep(2 * time.Second)
		if e, err := askWhy(w, (leader+1)%3, big.ID); err != nil || e.State != wire.JobCancelled {
			t.Errorf("of a job that was cancelled: %+v, %v", e, err)
		}
		time.Sleep(2 * time.Second)
		if _, err := askWhy(w, leader, "req-777777"); mphttp.Code(err) != 404 {
			t.Errorf("of an unknown job: %v", err)
		}
		wide := web(3, 1)
		wide.Spread, wide.Tasks, wide.Zone = true, 2, new(string)
		*wide.Zone = "a" // and at most half of them may be there
		w.Submit(wide)
		time.Sleep(10 * time.Second)
		if e, err := askWhy(w, leader, wide.ID); err != nil || fmt.Sprint(binding(e)) != "[spread]" || !e.Complete {
			t.Errorf("of a job that must be in one zone and may not: %+v, %v", e, err)
		}
		w.State.SetOutage(true)
		w.Crash(leader)
		time.Sleep(4 * time.Second)
		if e, err := askWhy(w, (leader+1)%3, wide.ID); err != nil || fmt.Sprint(binding(e)) != "[no-leader]" {
			t.Errorf("without a leader: %+v, %v", e, err)
		}
		w.State.SetOutage(false)
	})
}
