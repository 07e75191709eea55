package controller

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"fieldhill/internal/codec"
	"fieldhill/internal/model"
	"fieldhill/internal/peer"
	"fieldhill/internal/renewal"
	"fieldhill/internal/standin"
	"fieldhill/wire"
)

// These tests hold bounds on numbers of things against fleets of 4,000 machines and more.

// waitForLeader waits until a node leads, and returns it and one that does not.
func waitForLeader(t *testing.T) (leads, other int) {
	t.Helper()
	for range 200 {
		if i := leaderOf(); i >= 0 {
			return i, (i + 1) % 3
		}
		time.Sleep(100 * time.Millisecond)
	}
	t.Error("nobody leads")
	return 0, 1
}

// TestRenewalsOfALargeZone: the leader learns when the leases of a zone of 4,000 machines with names of twenty letters were
// renewed last, and the link to the node that it asks stays.
func TestRenewalsOfALargeZone(t *testing.T) {
	const machines = 4000
	inWorld(t, 61, func(w *standin.World) {
		time.Sleep(6 * time.Second)
		leads, other := waitForLeader(t)
		leader, asked := nodeAt(leads), nodeAt(other)
		name := func(i int) string { return fmt.Sprintf("host-of-a-zone-%05d", i) }
		var suspicion uint64
		asked.ask(func() {
			suspicion = asked.applied
			for i := range machines {
				entry := &model.Entry{Kind: model.EntryMachine, Machine: model.MachineID(100_000 + i),
					Info: &model.MachineInfo{Name: name(i), Type: "small", Zone: "a"}}
				if err := asked.m.Apply(entry, asked.applied, asked.now()); err != nil {
					t.Error(err)
				}
				asked.book.Renewed(name(i), asked.now()-time.Duration(i)*time.Millisecond)
			}
			_ = asked.m.Apply(&model.Entry{Kind: model.EntrySuspect, Machine: 100_000 + machines - 1}, asked.applied, asked.now())
		})
		link := leader.links[standin.NodeName(other)]
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		call := &peer.Call{Op: peer.OpRenewed, ID: "a", Body: codec.Uint(nil, suspicion)}
		a, err := link.Call(ctx, call)
		if err != nil || a.Status != http.StatusOK {
			t.Errorf("the question about a large zone: %+v, %v", a, err)
			return
		}
		word, err := renewal.Read(a.Body)
		if err != nil {
			t.Error(err)
			return
		}
		if age := word.Ages[name(machines-1)]; age < (machines-1)*time.Millisecond || age > (machines+1000)*time.Millisecond {
			t.Errorf("the suspect machine was renewed %v ago", age)
		}
		if time.Since(link.Heard()) > linkFresh {
			t.Error("the link is down")
		}
	})
}

// TestQueueThroughAFollower: an operator who asks a follower for as many jobs as may be asked for is told of those that fit,
// and how many more there are, and the follower keeps its leader.
func TestQueueThroughAFollower(t *testing.T) {
	const jobs, run = 500, 6 // the team's limit has room for so many more
	inWorld(t, 62, func(w *standin.World) {
		time.Sleep(6 * time.Second)
		leads, other := waitForLeader(t)
		for i := range jobs + run {
			job := web(i+1, 4)
			job.Class = fmt.Sprintf("%s-%04d", strings.Repeat("class", 10), i)
			if code := w.Submit(job); code != http.StatusOK && code != http.StatusCreated {
				t.Errorf("job %d: %d", i, code)
				return
			}
		}
		time.Sleep(20 * time.Second)
		link := nodeAt(other).links[standin.NodeName(leads)]
		for _, node := range []int{leads, other} {
			var q wire.Queue
			code, err := askOp(w, node, wire.PathOpQueue+fmt.Sprintf("?most=%d", wire.MostQueued), &q)
			if err != nil || code != http.StatusOK {
				t.Errorf("node %d answers %d, %v", node, code, err)
				continue
			}
			if len(q.Jobs)+q.More != jobs || q.Tasks != jobs || len(q.Jobs) < 100 {
				t.Errorf("node %d lists %d jobs of %d tasks, and %d more", node, len(q.Jobs), q.Tasks, q.More)
			}
			if node == leads && q.More > 0 {
				t.Errorf("the leader itself leaves out %d", q.More)
			}
		}
		if time.Since(link.Heard()) > linkFresh {
			t.Error("the link to the leader is down")
		}
	})
}
