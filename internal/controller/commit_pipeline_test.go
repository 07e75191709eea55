package controller

import (
	"bytes"
	"slices"
	"sync"
	"testing"
	"time"

	"fieldhill/internal/api"
	"fieldhill/internal/emulator"
	"fieldhill/internal/model"
	"fieldhill/internal/replication/oplog"
	"fieldhill/internal/result"
	"fieldhill/wire"
)

// TestLogWriteBudget: ends and placements of low work are batched, and a compaction takes what is left of the store's
// rate, so that a submission finds the log idle. The log used to be written as often as the store allows, at any load.
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
		if rate := float64(after-before) / span; rate > 8 {
			t.Errorf("%.1f writes a second for one submission a second and low work", rate)
		}
	})
}

// TestSubmissionsWithSlowStore: where a write to the store takes long, a submission does not wait for the batch under
// way and then for its own, and no job is lost or accepted twice.
func TestSubmissionsWithSlowStore(t *testing.T) {
	runCluster(t, 13, func(w *emulator.Environment) {
		time.Sleep(6 * time.Second)
		w.Submit(newJobSpec(400, wire.Array, 40, 2)) // keeps the log busy
		time.Sleep(20 * time.Second)
		w.Store.SetLatency(150 * time.Millisecond)
		time.Sleep(2 * time.Second)
		const pairs = 12
		latencies := make([]time.Duration, 0, pairs)
		var mu sync.Mutex
		var users sync.WaitGroup
		for i := range 2 * pairs { // two come close together, twice a second or so
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
					latencies = append(latencies, time.Since(began))
				}
			})
		}
		users.Wait()
		slices.Sort(latencies)
		if median := latencies[len(latencies)/2]; median > 200*time.Millisecond {
			t.Errorf("half of the second submissions took more than %v, a write takes 150 ms", median)
		}
		for i := range 2 * pairs {
			waitState(t, w, wire.JobID(uint64(401+i)), wire.JobDone, 2*time.Minute)
		}
	})
}

// TestIntakeRecordsDeletedOnce: the record of a job that the log knows is deleted once, however often the leader reads
// the intake meanwhile. Each read used to have everything in it deleted again; in a flood of tiny jobs that came by the
// intake, these deletions took the log's share of the store's rate for a minute and longer.
func TestIntakeRecordsDeletedOnce(t *testing.T) {
	runCluster(t, 23, func(w *emulator.Environment) {
		time.Sleep(6 * time.Second)
		leader := nodeAt(findLeader())
		var records []oplog.Intake
		for k := range 24 {
			s := newJobSpec(100+k, wire.Array, 1, 500)
			w.Submit(s)
			records = append(records, oplog.Intake{Job: uint64(100 + k), Data: model.Accepted(s, 0).Append(nil)})
		}
		time.Sleep(20 * time.Second)
		w.Store.SetLatency(100 * time.Millisecond)
		before, _ := w.Store.Load()
		for i, record := range records {
			go func() {
				time.Sleep(time.Duration(i) * 60 * time.Millisecond)
				if err := leader.oplog.PutIntake(leader.ctx, record); err != nil {
					t.Error(err)
				}
			}()
		}
		time.Sleep(2 * time.Second)
		w.Submit(newJobSpec(200, wire.Array, 1, 500))
		time.Sleep(20 * time.Second)
		after, _ := w.Store.Load()
		if k := after - before; k > 2*len(records)+10 { // a record, its deletion, and little else
			t.Errorf("%d writes for %d records", k, len(records))
		}
		if left, _, err := leader.oplog.ListIntake(leader.ctx); err != nil || len(left) > 0 {
			t.Errorf("%d records are left, %v", len(left), err)
		}
	})
}

// TestCancellationNotReportedBeforeCommit: a job that is cancelled while its acceptance is being written is not
// reported as cancelled to a user who polled before, until the log has the cancellation too.
func TestCancellationNotReportedBeforeCommit(t *testing.T) {
	runCluster(t, 25, func(w *emulator.Environment) {
		time.Sleep(6 * time.Second)
		w.Store.SetLatency(200 * time.Millisecond)
		leader, s := nodeAt(findLeader()), newJobSpec(1, wire.Array, 1, 500)
		var committedAtReport []uint64
		record := func(r result.Result) {
			if bytes.Contains(api.Respond(r).Body, []byte(wire.JobCancelled)) {
				committedAtReport = append(committedAtReport, leader.term.ownTerm.commits.committedSeq)
			}
		}
		w.Checker.RegisterJob(s)
		leader.loop.postAndWait(func() { leader.submissions.accept(1, s, nil, record) })
		time.Sleep(100 * time.Millisecond) // it is being written
		var finalSeq uint64
		leader.loop.postAndWait(func() {
			leader.jobStatus.respondIfKnown(1, record)
			leader.cancellations.cancelJob(1, record)
			finalSeq = leader.replica.model.FinalSeq(1)
		})
		time.Sleep(5 * time.Second)
		leader.loop.postAndWait(func() {
			if len(committedAtReport) != 2 || slices.Min(committedAtReport) < finalSeq {
				t.Errorf("the end was reported with %v committed, it is in %d", committedAtReport, finalSeq)
			}
		})
	})
}
