package controller

import (
	"context"
	"net/http"
	"time"

	"golang.org/x/time/rate"

	"fieldhill/internal/codec"
	"fieldhill/internal/model"
	"fieldhill/internal/platform/msgpackhttp"
	"fieldhill/internal/replication/oplog"
)

// intake keeps jobs accepted without the leader until the leader enters them into the log, once each.
type intake struct {
	*environment
	commits *commitPipeline
	loop    *eventLoop
	replica *replica
	term    *termState

	limiter *rate.Limiter // of jobs taken without the leader
}

// intakeTerm is what intake keeps for one term of leadership.
type intakeTerm struct {
	dropping     map[uint64]bool // jobs of the intake that the log has, whose records are being deleted
	droppable    []uint64        // those of them that may go now
	dropInFlight bool
	rescanNeeded bool // at the intake, after that
}

// allow bounds the jobs taken without the leader. Each costs two changes of the state
// service, one of them the leader's, beside its place in the log: all nodes together may
// use a fifth of what it takes while the leader is there and only slow, and most of it
// while there is none, since then nobody else writes.
func (in *intake) allow() bool {
	share := 0.2
	in.loop.postAndWait(func() {
		if in.term.leader == nil {
			share = 0.8
		} else if link := in.links[in.term.leader.Node]; link != nil && time.Since(link.LastResponse()) > linkFreshness {
			share = 0.8
		}
	})
	limit := rate.Limit(in.settings.Params.KVStore.WriteRPS * share / float64(len(in.settings.Members)+1))
	if in.limiter.Limit() != limit {
		in.limiter.SetLimit(limit)
	}
	return in.limiter.Allow()
}

// ingest enters jobs of the intake into the log, and deletes their keys once the
// log has them.
func (in *intake) ingest(term *leaderTerm, jobs []oplog.Intake) {
	if in.term.ownTerm != term || len(jobs) == 0 {
		return
	}
	var ingested []uint64
	seq := uint64(0)
	for _, record := range jobs {
		if term.intake.dropping[record.Job] {
			term.intake.rescanNeeded = true // it may have been written again meanwhile
			continue
		}
		entry, err := model.ReadEntry(&codec.Reader{Data: record.Data})
		if err != nil || entry.Kind != model.EntryAccept || uint64(entry.Job) != record.Job {
			in.log.Error("malformed intake record", "job", record.Job, "err", err)
			continue
		}
		ingested = append(ingested, record.Job)
		term.intake.dropping[record.Job] = true
		if in.replica.model.Jobs[entry.Job] == nil && in.replica.model.Finals[entry.Job] == 0 {
			in.commits.propose(entry)
			in.loop.roundRequested = true
			in.log.Info("job ingested from intake", "job", entry.Spec.ID)
		}
		if j := in.replica.model.Jobs[entry.Job]; j != nil {
			seq = max(seq, j.AcceptSeq)
		} else {
			seq = max(seq, in.replica.model.FinalSeq(entry.Job))
		}
	}
	if len(ingested) == 0 {
		return
	}
	in.commits.whenCommitted(seq, func(ok bool) {
		if ok {
			term.intake.droppable = append(term.intake.droppable, ingested...)
			in.dropCommitted(term)
		}
	})
}

// dropCommitted deletes the records of jobs that the log has, each once and one transaction at a
// time. Each look at the intake used to have all that it saw deleted again; in a flood
// that came by the intake, these deletions took the whole budget for a minute.
func (in *intake) dropCommitted(term *leaderTerm) {
	if term.intake.dropInFlight || len(term.intake.droppable) == 0 {
		return
	}
	jobs := term.intake.droppable
	term.intake.droppable, term.intake.dropInFlight = nil, true
	go func() {
		err := in.oplog.DropIntake(term.ctx, &term.leader, jobs)
		in.loop.post(func() {
			term.intake.dropInFlight = false
			if in.term.ownTerm != term {
				return
			}
			if err == nil {
				for _, j := range jobs {
					delete(term.intake.dropping, j)
				}
			}
			if in.dropCommitted(term); !term.intake.dropInFlight && term.intake.rescanNeeded {
				term.intake.rescanNeeded = false
				go func() {
					if records, _, err := in.oplog.ListIntake(term.ctx); err == nil {
						in.loop.post(func() { in.ingest(term, records) })
					}
				}()
			}
		})
	}()
}

// resolve makes sure that the leader knows a job that another node may have
// accepted without it. It reports whether it could find out.
func (in *intake) resolve(ctx context.Context, jobNumber uint64) bool {
	var term *leaderTerm
	known := false
	in.loop.postAndWait(func() {
		term = in.term.ownTerm
		known = term == nil || in.replica.model.Jobs[model.JobID(jobNumber)] != nil ||
			in.replica.model.Finals[model.JobID(jobNumber)] != 0
	})
	if known {
		return true
	}
	record, err := in.lookup(ctx, jobNumber)
	if err != nil {
		return false
	}
	if record != nil {
		in.loop.postAndWait(func() { in.ingest(term, []oplog.Intake{*record}) })
	}
	return true
}

// watch takes up the jobs that come in while this node leads.
func (in *intake) watch(term *leaderTerm, revision uint64) {
	for term.ctx.Err() == nil {
		nextRevision, changed, err := in.oplog.WatchIntake(term.ctx, revision, 10*time.Second)
		if err == nil && !changed {
			revision = nextRevision
			continue
		}
		var records []oplog.Intake
		if err == nil || msgpackhttp.StatusCode(err) == http.StatusGone {
			records, nextRevision, err = in.oplog.ListIntake(term.ctx)
		}
		if err != nil {
			select {
			case <-term.ctx.Done():
			case <-time.After(300 * time.Millisecond):
			}
			continue
		}
		revision = nextRevision
		in.loop.postAndWait(func() { in.ingest(term, records) })
	}
}

// lookup looks for a job that waits for the leader, for a user.
func (in *intake) lookup(ctx context.Context, job uint64) (record *oplog.Intake, err error) {
	err = in.store.ForUser(ctx, responseTimeout, func(ctx context.Context) error {
		record, err = in.oplog.GetIntake(ctx, job)
		return err
	})
	return record, err
}
