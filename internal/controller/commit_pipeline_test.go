package controller

import (
	"bytes"
	"slices"
	"sync"
	"testing"
	"time"

	"fieldhill/internal/emulator"
	"fieldhill/internal/model"
	"fieldhill/internal/replication/oplog"
	"fieldhill/internal/rpc"
	"fieldhill/wire"
)

// TestLogWriteBudget: ends and placements of low work gather, and a compaction
// takes what is left over, so that a submission finds the log free. The log used
// to be written as often as the state service allows, at any load.
func TestLogWriteBudget(t *testing.T) {
	runCluster(t, 11, func(w *emulator.Environment) {
		time.Sleep(6 * time.Second)
		for i := range 6 {
			w.Submit(newJobSpec(100+i, wire.Array, 60, 3))
		}
		time.Sleep(40 * time.Second) // machines boot
		before, _ := w.Store.Load()
		const span = 20
		for i := range span {
			began := time.Now()
			if c := w.Submit(newJobSpec(200+i, wire.Array, 1, 1)); c != 201 {
				t.Errorf("submission got %d", c)
			}
			if d := time.Since(began); d > 150*time.Millisecond {
				t.Errorf("a submission took %v", d)
			}
			time.Sleep(time.Until(began.Add(time.Second)))
		}
		after, _ := w.Store.Load()
		if per := float64(after-before) / span; per > 8 {
			t.Errorf("%.1f writes a second for one submission a second and low work", per)
		}
	})
}

// TestSlowStateService: with a slow state service a submission does not wait for
// the batch under way and then for its own, and no job is lost or taken twice.
func TestSlowStateService(t *testing.T) {
	runCluster(t, 13, func(w *emulator.Environment) {
		time.Sleep(6 * time.Second)
		w.Submit(newJobSpec(400, wire.Array, 40, 2)) // keeps the log busy
		time.Sleep(20 * time.Second)
		w.Store.SetLatency(150 * time.Millisecond)
		time.Sleep(2 * time.Second)
		const n = 12
		took := make([]time.Duration, 0, 2*n)
		var mu sync.Mutex
		var users sync.WaitGroup
		for i := range 2 * n { // two come close together, twice a second or so
			users.Go(func() {
				time.Sleep(time.Duration(i/2)*650*time.Millisecond + time.Duration(i%2)*40*time.Millisecond)
				j := newJobSpec(401+i, wire.Array, 4, 2)
				w.Checker.RegisterJob(j)
				b, _ := wire.Marshal(j)
				began := time.Now()
				if code, _ := w.Request("submit", j.ID, b); code != 201 && code != 200 {
					t.Errorf("a submission got %d", code)
				}
				mu.Lock()
				defer mu.Unlock()
				if i%2 == 1 {
					took = append(took, time.Since(began))
				}
			})
		}
		users.Wait()
		slices.Sort(took)
		if q := took[len(took)/2]; q > 200*time.Millisecond {
			t.Errorf("half of the second ones took more than %v, a write takes 150 ms", q)
		}
		for i := range 2 * n {
			waitState(t, w, wire.JobID(uint64(401+i)), wire.JobDone, 2*time.Minute)
		}
	})
}

// TestIntakeRecordsDeletedOnce: the record of a job that the log knows is deleted once, however
// often the leader looks at the intake meanwhile. Each look used to have everything in it
// deleted again; in a flood of tiny jobs that came by the intake, these deletions took
// the log's share of the state service for a minute and longer.
func TestIntakeRecordsDeletedOnce(t *testing.T) {
	runCluster(t, 23, func(w *emulator.Environment) {
		time.Sleep(6 * time.Second)
		leader := nodeAt(findLeader())
		var all []oplog.Intake
		for k := range 24 {
			s := newJobSpec(100+k, wire.Array, 1, 500)
			w.Submit(s)
			all = append(all, oplog.Intake{Job: uint64(100 + k), Data: model.Accepted(s, 0).Append(nil)})
		}
		time.Sleep(20 * time.Second)
		w.Store.SetLatency(100 * time.Millisecond)
		before, _ := w.Store.Load()
		for i, in := range all {
			go func() {
				time.Sleep(time.Duration(i) * 60 * time.Millisecond)
				if err := leader.oplog.PutIntake(leader.ctx, in); err != nil {
					t.Error(err)
				}
			}()
		}
		time.Sleep(2 * time.Second)
		w.Submit(newJobSpec(200, wire.Array, 1, 500))
		time.Sleep(20 * time.Second)
		after, _ := w.Store.Load()
		if k := after - before; k > 2*len(all)+10 { // a record, its deletion, and little else
			t.Errorf("%d writes for %d records", k, len(all))
		}
		if in, _, err := leader.oplog.ListIntake(leader.ctx); err != nil || len(in) > 0 {
			t.Errorf("%d records are left, %v", len(in), err)
		}
	})
}

// TestCancellationNotReportedBeforeCommit: a job that is cancelled while its acceptance is being written is not
// called cancelled to one who asked before, until the log has that too.
func TestCancellationNotReportedBeforeCommit(t *testing.T) {
	runCluster(t, 25, func(w *emulator.Environment) {
		time.Sleep(6 * time.Second)
		w.Store.SetLatency(200 * time.Millisecond)
		leader, s := nodeAt(findLeader()), newJobSpec(1, wire.Array, 1, 500)
		var reportedAt []uint64 // of the cancellation: what the log had then
		record := func(r *rpc.Response) {
			if bytes.Contains(r.Body, []byte(wire.JobCancelled)) {
				reportedAt = append(reportedAt, leader.term.ownTerm.commits.committedSeq)
			}
		}
		w.Checker.RegisterJob(s)
		leader.loop.postAndWait(func() { leader.submissions.accept(1, s, nil, record) })
		time.Sleep(100 * time.Millisecond) // it is being written
		var end uint64
		leader.loop.postAndWait(func() {
			leader.jobStatus.respondIfKnown(1, record)
			leader.cancellations.cancelJob(1, record)
			end = leader.replica.model.FinalSeq(1)
		})
		time.Sleep(5 * time.Second)
		leader.loop.postAndWait(func() {
			if len(reportedAt) != 2 || slices.Min(reportedAt) < end {
				t.Errorf("told of the end with %v in the log, it is in %d", reportedAt, end)
			}
		})
	})
}
