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

// intake has the jobs taken without the leader, as records of their own in the key-value store, until the leader enters
// them into the log, each once. Any controller that follows may write a record; only the leader, under its term,
// deletes it.
type intake struct {
	*environment
	commits *commitPipeline
	loop    *eventLoop
	replica *replica
	term    *termState

	limiter *rate.Limiter // of jobs taken without the leader; request goroutines use it
}

// intakeTerm is what intake has for one term of leadership. The loop owns it.
type intakeTerm struct {
	dropping     map[uint64]bool // jobs that the log has or soon has, and whose records go then
	droppable    []uint64        // those of them that the log has for sure: their records may go now
	dropInFlight bool            // a deletion is under way
	rescanNeeded bool            // the intake is to be listed again after that
}

const (
	// followerIntakeShare is the share of the write rate that all controllers together may use while the leader is
	// there and only slow; leaderlessIntakeShare is that while there is none, since nobody else writes then.
	followerIntakeShare   = 0.2
	leaderlessIntakeShare = 0.8
)

// allow bounds the jobs taken without the leader. Each costs two changes of the key-value store, one of them the
// leader's, beside its place in the log.
func (in *intake) allow() bool {
	share := followerIntakeShare
	in.loop.postAndWait(func() {
		if in.term.leader == nil {
			share = leaderlessIntakeShare
			return
		}
		link := in.links[in.term.leader.Node]
		if link != nil && !isReached(link) {
			share = leaderlessIntakeShare
		}
	})
	limit := rate.Limit(in.settings.Params.KVStore.WriteRPS * share / float64(len(in.settings.Members)+1))
	if in.limiter.Limit() != limit {
		in.limiter.SetLimit(limit)
	}
	return in.limiter.Allow()
}

// ingest enters jobs of the intake into the log, and has their records deleted once the log has them.
func (in *intake) ingest(term *leaderTerm, records []oplog.Intake) {
	if in.term.ownTerm != term || len(records) == 0 {
		return
	}
	var ingested []uint64
	seq := uint64(0) // of the batch that has the last of them
	for _, record := range records {
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
		seq = max(seq, in.ingestEntry(entry))
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

// ingestEntry enters a job into the log, unless the log has it. It returns the number of the batch that has the job.
func (in *intake) ingestEntry(entry *model.Entry) uint64 {
	if in.replica.model.Jobs[entry.Job] == nil && in.replica.model.Finals[entry.Job] == 0 {
		in.commits.propose(entry)
		in.loop.requestRound()
		in.log.Info("job ingested from intake", "job", entry.Spec.ID)
	}
	if job := in.replica.model.Jobs[entry.Job]; job != nil {
		return job.AcceptSeq
	}
	return in.replica.model.FinalSeq(entry.Job)
}

// dropCommitted deletes the records of jobs that the log has, each once and one transaction at a time. Each listing of
// the intake used to have all that it found deleted again; in a flood that came by the intake, these deletions took the
// whole write budget for a minute.
func (in *intake) dropCommitted(term *leaderTerm) {
	if term.intake.dropInFlight || len(term.intake.droppable) == 0 {
		return
	}
	jobs := term.intake.droppable
	term.intake.droppable, term.intake.dropInFlight = nil, true
	go func() {
		err := in.oplog.DropIntake(term.ctx, &term.leader, jobs)
		in.loop.post(func() { in.onDropped(term, jobs, err) })
	}()
}

// onDropped goes on after a deletion: with the next one, or with a new listing if there is none.
func (in *intake) onDropped(term *leaderTerm, jobs []uint64, err error) {
	term.intake.dropInFlight = false
	if in.term.ownTerm != term {
		return
	}
	if err == nil {
		for _, job := range jobs {
			delete(term.intake.dropping, job)
		}
	}
	in.dropCommitted(term)
	if term.intake.dropInFlight || !term.intake.rescanNeeded {
		return
	}
	term.intake.rescanNeeded = false
	go func() {
		if records, _, err := in.oplog.ListIntake(term.ctx); err == nil {
			in.loop.post(func() { in.ingest(term, records) })
		}
	}()
}

// resolve makes sure that the leader knows a job that another controller may have accepted without it. It reports
// whether it could find out. It is for the goroutine of a request.
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

const (
	intakeWatchTimeout = 10 * time.Second       // how long a watch waits for a change
	intakeRetryDelay   = 300 * time.Millisecond // between a failure and the next listing
)

// watch ingests the jobs that come in by the intake while this controller leads, until the term ends.
func (in *intake) watch(term *leaderTerm, revision uint64) {
	for term.ctx.Err() == nil {
		nextRevision, changed, err := in.oplog.WatchIntake(term.ctx, revision, intakeWatchTimeout)
		if err == nil && !changed {
			revision = nextRevision
			continue
		}
		var records []oplog.Intake
		if err == nil || msgpackhttp.StatusCode(err) == http.StatusGone { // gone: changes since then are compacted
			records, nextRevision, err = in.oplog.ListIntake(term.ctx)
		}
		if err != nil {
			sleep(term.ctx, intakeRetryDelay)
			continue
		}
		revision = nextRevision
		in.loop.postAndWait(func() { in.ingest(term, records) })
	}
}

// lookup returns the record of a job that waits in the intake, or nil, for a user.
func (in *intake) lookup(ctx context.Context, job uint64) (record *oplog.Intake, err error) {
	err = in.store.ForUser(ctx, responseTimeout, func(ctx context.Context) error {
		record, err = in.oplog.GetIntake(ctx, job)
		return err
	})
	return record, err
}
